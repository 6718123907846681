"""Rules that hold in every history."""

import abc
import enum
import math
from typing import NamedTuple

from ..workflows.model import EndKind, TaskKey
from ._disruptions import has_calm_stretch
from ._history import Cancellation, History, JobOutcome
from ._run_records import RunInterval, SentStart, find_overlaps
from ._schedule import MAX_STOP_S

CANCEL_BOUND_S = 3.0  # from a stored cancellation to the last start
CONTACT_BOUND_S = 3.0  # from a late start to the stop of its run


class ViolationClass(enum.StrEnum):
    """Classes of violations; a window that is known is no new finding."""

    LATE_START = "late start at a new process"
    BESIDE_DISRUPTION = "beside a disruption"
    OTHER = "other"


class Wait(NamedTuple):
    """A time in which a job, or a task of a service, had nothing running."""

    workflow_id: str
    begin: float
    end: float

    def describe(self) -> str:
        """Return the wait in one line."""
        return f"{self.workflow_id} waited from {self.begin:.3f} to {self.end:.3f} s"


class Violation(NamedTuple):
    """A broken invariant.

    Attributes:
        invariant: Name of the invariant.
        runs: The runs, starts of runs or waits that break it.
        classification: Class of the violation.
    """

    invariant: str
    runs: tuple[RunInterval | SentStart | Wait, ...]
    classification: ViolationClass

    def __str__(self) -> str:
        """Return the invariant and the runs in one line."""
        runs = ", ".join(run.describe() for run in self.runs)
        return f"{self.invariant}, {self.classification}: {runs}"


class Invariant(abc.ABC):
    """A rule on histories.

    Attributes:
        name: Name of the rule in reports.
    """

    name: str

    @abc.abstractmethod
    def violations(self, history: History) -> list[Violation]:
        """Return all places where a history breaks the rule."""

    def violation(self, *runs: RunInterval) -> Violation:
        """Return a violation, classified by the starts of its runs."""
        if any(run.is_late_start for run in runs):
            return Violation(self.name, runs, ViolationClass.LATE_START)
        return Violation(self.name, runs, ViolationClass.OTHER)


class AtMostOneRun(Invariant):
    """Two runs of one task never go on at the same time."""

    name = "at most one run of a task"

    def violations(self, history: History) -> list[Violation]:
        """See base class."""
        return [self.violation(*pair) for pair in find_overlaps(list(history.runs))]


class NoStartAfterDone(Invariant):
    """No run of a task begins after its end as done was acknowledged.

    An end that the worker listed only after its lease had lapsed may come
    after the next run of the task was started.
    """

    name = "no start after an acknowledged end as done"

    def violations(self, history: History) -> list[Violation]:
        """See base class."""
        return [
            self.violation(acknowledged.interval, run)
            for acknowledged in history.acknowledged
            if acknowledged.end.kind is EndKind.DONE and not acknowledged.lease_lapsed
            for run in history.runs
            if run.key == acknowledged.end.key
            and run.begin > acknowledged.acknowledged_at
        ]


class NoStartAfterCancel(Invariant):
    """No run begins more than ``CANCEL_BOUND_S`` after its cancellation.

    A start that was sent before the cancellation may reach its process later
    if a stop of the run was sent in time and has not reached it either, late
    or because the worker cannot be called. The run has to end within the
    bound then.
    """

    name = f"no start {CANCEL_BOUND_S:g} s after a stored cancellation"

    def violations(self, history: History) -> list[Violation]:
        """See base class."""
        return [
            self.violation(run)
            for cancellation in history.cancellations
            for run in history.runs
            if run.key.workflow_id == cancellation.workflow_id
            and run.begin > cancellation.stored_at + CANCEL_BOUND_S
            and not _is_stopped_late(run, cancellation, history)
        ]


def _is_stopped_late(
    run: RunInterval, cancellation: Cancellation, history: History
) -> bool:
    """Return whether both the start and the stops of a run were late."""
    if run.is_late_start or run.sent_at > cancellation.stored_at:
        return False
    has_stop = any(
        (stop.key, stop.run, stop.worker_id, stop.process_started_ms)
        == (run.key, run.run, run.worker_id, run.process_started_ms)
        and 0 <= stop.sent_at - cancellation.stored_at <= CANCEL_BOUND_S
        for stop in history.stops
    )
    return has_stop and run.end <= run.begin + CANCEL_BOUND_S


class NoRunAfterCancel(Invariant):
    """A run is gone in time after its cancellation, or after its late begin.

    The bound counts in stretches in which nothing disturbs the calls of the
    run's worker, the coordinator or its store. A run that is gone later, but
    before such a stretch was over, is reported in a class of its own.
    """

    name = (
        f"no run {CANCEL_BOUND_S:g} s and its stop after a cancellation,"
        f" or {CONTACT_BOUND_S:g} s and its stop after a late begin"
    )

    def violations(self, history: History) -> list[Violation]:
        """See base class."""
        return [
            Violation(self.name, (run,), self._classify(run, since, bound_s, history))
            for cancellation in history.cancellations
            for run in history.runs
            if run.key.workflow_id == cancellation.workflow_id
            for since, bound_s in (self._bound(run, cancellation),)
            if min(run.end, history.ended_at) > since + bound_s
        ]

    def _bound(
        self, run: RunInterval, cancellation: Cancellation
    ) -> tuple[float, float]:
        """Return from when on a run may go on, and for how long."""
        if run.is_begun_late and run.begin > cancellation.stored_at:
            return run.begin, CONTACT_BOUND_S + MAX_STOP_S
        return cancellation.stored_at, CANCEL_BOUND_S + MAX_STOP_S

    def _classify(
        self, run: RunInterval, since: float, bound_s: float, history: History
    ) -> ViolationClass:
        """Return whether a run goes on after a calm stretch of its bound."""
        end = min(run.end, history.ended_at)
        if has_calm_stretch(history.disruptions, run.worker_id, since, end, bound_s):
            return ViolationClass.OTHER
        return ViolationClass.BESIDE_DISRUPTION


class StartsAsSubmitted(Invariant):
    """A start is of a task of a submitted job and has that job's payload.

    Its checkpoint is empty or one that this task, or a member of its gang,
    has produced; all members of a gang start from the same.
    """

    name = "each start as its job was submitted"

    def violations(self, history: History) -> list[Violation]:
        """See base class."""
        jobs_by_id = {job.workflow_id: job for job in history.jobs}
        listed_at: dict[tuple[TaskKey, str], float] = {}
        for produced in history.checkpoints:
            job = jobs_by_id.get(produced.key.workflow_id)
            saved = (_saved_key(produced.key, job), produced.checkpoint)
            listed_at.setdefault(saved, produced.listed_at)
        first_by_gang_run: dict[tuple[TaskKey, int], SentStart] = {}
        violations = []
        for start in history.starts:
            job = jobs_by_id.get(start.key.workflow_id)
            key = _saved_key(start.key, job)
            first = first_by_gang_run.setdefault((key, start.run), start)
            saved_at = listed_at.get((key, start.checkpoint), math.inf)
            is_saved = not start.checkpoint or saved_at <= start.sent_at
            if not (is_saved and _is_submitted(start, job)):
                violations.append(self._finding(start))
            elif _is_member(key, job) and start.checkpoint != first.checkpoint:
                violations.append(self._finding(first, start))
        return violations

    def _finding(self, *starts: SentStart) -> Violation:
        return Violation(self.name, starts, ViolationClass.OTHER)


def _saved_key(key: TaskKey, job: JobOutcome | None) -> TaskKey:
    """Return the key under which a task's checkpoints are known."""
    return key._replace(index=0) if _is_member(key, job) else key


def _is_member(key: TaskKey, job: JobOutcome | None) -> bool:
    """Return whether a task is a member of a gang."""
    return job is not None and job.gang and key.step == 0


def _is_submitted(start: SentStart, job: JobOutcome | None) -> bool:
    """Return whether a start is of a task that was submitted."""
    if job is None or start.sent_at < job.submitted_at:
        return False
    occurrence, step, index = start.key[1:]
    is_task = occurrence == 0 and 0 <= step < len(job.tasks_by_step)
    is_task = is_task and 0 <= index < job.tasks_by_step[step]
    return is_task and start.payload == job.payload


INVARIANTS: tuple[Invariant, ...] = (
    AtMostOneRun(),
    NoStartAfterDone(),
    NoStartAfterCancel(),
    NoRunAfterCancel(),
    StartsAsSubmitted(),
)
