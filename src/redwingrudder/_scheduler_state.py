"""Records and shared state of one scheduler."""

import enum
import heapq
from typing import NamedTuple

from .fleet import Fleet
from .guarantees import CellTable
from .messages import Effect
from .model import (
    Configuration,
    JobClass,
    JobSpec,
    MemberPlacement,
    TaskOutcome,
    TaskResult,
)
from .policies import PolicySet


class TimerKind(enum.StrEnum):
    """What becomes due at a time."""

    EXPIRY = "expiry"
    TARGET = "target"
    UNPARK = "unpark"
    FORGET = "forget"
    PLACEMENT = "placement"


class Due(NamedTuple):
    """One entry of the time queue, ordered by time."""

    at: float
    serial: int
    kind: TimerKind
    job_id: str


class TimeQueue:
    """What happens by time; entries that no longer apply stay until due."""

    def __init__(self) -> None:
        self._heap: list[Due] = []
        self._serial = 0

    def add(self, at: float, kind: TimerKind, job_id: str = "") -> None:
        """Remember that something is due."""
        self._serial += 1
        heapq.heappush(self._heap, Due(at, self._serial, kind, job_id))

    def pop_due(self, now: float) -> Due | None:
        """Return the next entry that is due, if any."""
        if self._heap and self._heap[0].at <= now:
            return heapq.heappop(self._heap)
        return None

    def next_at(self) -> float | None:
        """Return the time of the next entry, if any."""
        return self._heap[0].at if self._heap else None


class JobRecord(NamedTuple):
    """A job; ``state`` is a state of ``job.scxml``.

    ``known`` tells that the job was submitted to this owner, not only
    reported by a worker. ``may_have_run`` is true once a start was sent, and
    for an idempotent job that a previous owner may have started. ``avoided``
    are workers on which the job failed; they are used again from
    ``avoided_until`` on.
    """

    job_id: str
    spec: JobSpec
    submitted_at: float
    state: str
    known: bool
    recorded: bool
    start_recorded: bool
    may_have_run: bool
    job_class: JobClass | None = None
    target_at: float = float("inf")
    target_missed: bool = False
    reason: str = ""
    gang_id: str | None = None
    attempts: int = 0
    waits_for_recovery: bool = False
    parked_until: float = 0.0
    avoided: frozenset[str] = frozenset()
    avoided_until: float = 0.0
    finished_at: float | None = None
    results: tuple[str, ...] = ()


class GangStopCause(enum.StrEnum):
    """Why a gang is stopped or released before it succeeded."""

    NONE = "none"
    CANCELLED = "cancelled"
    EXPIRED = "expired"
    PREEMPTED = "preempted"
    FAILED = "task_failed"
    LOST = "worker_lost"
    REFUSED = "refused"
    BUSY = "busy"


class GangRecord(NamedTuple):
    """One attempt to run a job; ``state`` is a state of ``gang.scxml``.

    The sets hold worker ids: members that confirmed their reservation or
    start, members to which a start was sent, members that were asked to
    release or stop, and members that hold nothing any more. ``charged`` is
    the service that was accounted for in advance, in accelerator-seconds.
    ``borrowers`` are the gangs that must stop first. ``may_have_run`` is
    true when an unreported member may have started. The start time of a
    ``recovered`` gang is not known.
    """

    gang_id: str
    job_id: str
    spec: JobSpec
    submitted_at: float
    state: str
    member_count: int
    members_by_worker: dict[str, MemberPlacement]
    reserved: set[str]
    started: set[str]
    start_sent: set[str]
    asked: set[str]
    gone: set[str]
    unheld: set[str]
    results_by_task: dict[int, TaskResult]
    borrowers: tuple[str, ...] = ()
    cause: GangStopCause = GangStopCause.NONE
    reason: str = ""
    may_have_run: bool = False
    recovered: bool = False
    probed_worker: str | None = None
    started_at: float = 0.0
    expected_run_s: float = 0.0
    charged: float = 0.0

    def member_ended(self, worker_id: str) -> bool:
        """Whether all tasks of a member have ended."""
        tasks = self.members_by_worker[worker_id].tasks
        return all(task in self.results_by_task for task in tasks)

    @property
    def all_reserved(self) -> bool:
        """Whether every member has confirmed its reservation."""
        return len(self.reserved) == self.member_count

    @property
    def all_started(self) -> bool:
        """Whether every member has confirmed its start."""
        return len(self.started) == self.member_count

    @property
    def all_released(self) -> bool:
        """Whether no member holds anything."""
        return all(w in self.gone for w in self.members_by_worker)

    @property
    def all_ended(self) -> bool:
        """Whether no member runs any more."""
        return all(
            w in self.gone or self.member_ended(w) for w in self.members_by_worker
        )

    @property
    def succeeded(self) -> bool:
        """Whether every task of the job ended successfully."""
        return len(self.results_by_task) == self.spec.tasks and all(
            result.outcome is TaskOutcome.SUCCEEDED
            for result in self.results_by_task.values()
        )


class Context:
    """What the parts of one scheduler share."""

    def __init__(
        self, failure_domain: str, policies: PolicySet, guarantees: CellTable
    ) -> None:
        self.failure_domain = failure_domain
        # Part of every gang id, so that two owners never form the same one.
        self.owner = ""
        self.policies = policies
        self.guarantees = guarantees
        self.fleet = Fleet()
        self.configuration: Configuration | None = None
        self.times = TimeQueue()
        self.effects: list[Effect] = []
        self.now = 0.0
        self.created_at: float | None = None
        self.recovered = False
        self.resources_changed = False
        self.freed_workers: set[str] = set()
        self.cells_changed = False
        self.quarantined: frozenset[str] = frozenset()
        self.probes: frozenset[str] = frozenset()

    def emit(self, effect: Effect) -> None:
        """Add an effect of the event that is being handled."""
        self.effects.append(effect)

    def release(self, gang_id: str, worker_id: str) -> None:
        """Free what a member holds."""
        self.fleet.release_member(gang_id, worker_id)
        self.freed_workers.add(worker_id)
