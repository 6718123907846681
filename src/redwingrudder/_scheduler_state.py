"""Job and gang records, timers and shared state of one scheduler."""

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
    """Actions that the scheduler carries out when a timer expires.

    ``UNPARK`` queues a delayed job again. ``PLACEMENT`` has no action of its
    own: handling any event includes the placement that is due.
    """

    EXPIRY = "expiry"
    TARGET = "target"
    UNPARK = "unpark"
    FORGET = "forget"
    PLACEMENT = "placement"


class Timer(NamedTuple):
    """Entry of the timer queue, ordered by ``at`` in Unix seconds."""

    at: float
    serial: int
    kind: TimerKind
    job_id: str


class TimerQueue:
    """Timers ordered by their time.

    Timers cannot be cancelled. The handler of a timer checks whether it still
    applies when it expires.
    """

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._serial = 0

    def add(self, at: float, kind: TimerKind, job_id: str = "") -> None:
        """Add a timer that expires at ``at`` (Unix seconds)."""
        self._serial += 1
        heapq.heappush(self._heap, Timer(at, self._serial, kind, job_id))

    def pop_due(self, now: float) -> Timer | None:
        """Remove and return the first expired timer, or return None."""
        if self._heap and self._heap[0].at <= now:
            return heapq.heappop(self._heap)
        return None

    def next_at(self) -> float | None:
        """Return the time of the next timer, or None for an empty queue."""
        return self._heap[0].at if self._heap else None


class JobRecord(NamedTuple):
    """A job and its progress; times are seconds since the Unix epoch.

    Attributes:
        state: State of ``job.scxml``.
        submitted: Whether the job was submitted to this owner. False for a
            job that is known only from the report of a worker.
        recorded: Whether the store holds the job.
        start_recorded: Whether a previous owner recorded a start of this
            non-idempotent job.
        may_have_run: True once a start was sent, and for a job that a
            previous owner may have started.
        target_at: Time by which the job should be complete.
        attempts: Number of attempts started, without preempted ones.
        waits_for_recovery: Whether the job must not be queued before recovery
            has ended.
        parked_until: The job is not placed before this time.
        avoided: Workers on which the job failed. They are used again from
            ``avoided_until`` on.
        results: Results of the tasks, ordered by task index.
    """

    job_id: str
    spec: JobSpec
    submitted_at: float
    state: str
    submitted: bool
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
    """Reason for stopping or releasing a gang before it succeeded."""

    NONE = "none"
    CANCELLED = "cancelled"
    EXPIRED = "expired"
    PREEMPTED = "preempted"
    FAILED = "task_failed"
    LOST = "worker_lost"
    REFUSED = "refused"
    BUSY = "busy"


class GangRecord(NamedTuple):
    """One attempt to run a job on a set of workers.

    A member is identified by the id of its worker; the sets hold these ids.

    Attributes:
        state: State of ``gang.scxml``.
        member_count: Number of members of the whole gang. During recovery
            ``members_by_worker`` may hold fewer.
        reserved: Members that confirmed their reservation.
        started: Members that confirmed their start.
        start_sent: Members to which a start was sent.
        stop_sent: Members to which a stop or a release was sent.
        released: Members that hold no resources any more, because their
            worker released them, refused them or was lost.
        unheld: Members whose resources are still used by borrowers.
        borrowers: Ids of the gangs that must stop before this one starts.
        may_have_run: Whether a member that has not reported may have started.
        recovered: Whether the gang was rebuilt from the reports of workers.
            Its real start time is not known.
        probed_worker: Quarantined worker that this gang probes.
        charged: Service accounted for in advance, in accelerator-seconds.
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
    stop_sent: set[str]
    released: set[str]
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
        """Whether a result is known for every task of a member."""
        tasks = self.members_by_worker[worker_id].tasks
        return all(task in self.results_by_task for task in tasks)

    @property
    def all_reserved(self) -> bool:
        """Whether every member of the whole gang confirmed its reservation."""
        return len(self.reserved) == self.member_count

    @property
    def all_started(self) -> bool:
        """Whether every member of the whole gang confirmed its start."""
        return len(self.started) == self.member_count

    @property
    def all_released(self) -> bool:
        """Whether every member of ``members_by_worker`` was released."""
        return all(worker_id in self.released for worker_id in self.members_by_worker)

    @property
    def all_ended(self) -> bool:
        """Whether every ``members_by_worker`` entry ended or was released."""
        return all(
            worker_id in self.released or self.member_ended(worker_id)
            for worker_id in self.members_by_worker
        )

    @property
    def succeeded(self) -> bool:
        """Whether a successful result is known for every task of the job."""
        return len(self.results_by_task) == self.spec.tasks and all(
            result.outcome is TaskOutcome.SUCCEEDED
            for result in self.results_by_task.values()
        )


class Context:
    """State shared by the parts of one scheduler.

    Attributes:
        owner: Epoch of the owner as a component of each gang id, so that
            two owners never create the same id.
        guarantees: Assignment of guaranteed cells to workers.
        effects: Effects of the event that is being handled.
        now: Time of the event that is being handled.
        created_at: Time of the first event.
        recovered: Whether recovery has ended, see ``RecoveryEnded``.
        resources_changed: Whether a full placement pass is needed.
        freed_workers: Workers with resources freed since the last pass.
        cells_changed: Whether the cells have to be assigned again.
        quarantined: Quarantined workers at the last check.
        probes: Quarantined workers that may be probed with one job.
    """

    def __init__(
        self, failure_domain: str, policies: PolicySet, guarantees: CellTable
    ) -> None:
        self.failure_domain = failure_domain
        self.owner = ""
        self.policies = policies
        self.guarantees = guarantees
        self.fleet = Fleet()
        self.configuration: Configuration | None = None
        self.timers = TimerQueue()
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
        """Add an effect to those that ``Scheduler.handle`` returns."""
        self.effects.append(effect)

    def release(self, gang_id: str, worker_id: str) -> None:
        """Free the resources of a member; its worker counts as freed."""
        self.fleet.release_member(gang_id, worker_id)
        self.freed_workers.add(worker_id)
