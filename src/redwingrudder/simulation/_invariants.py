"""Rules that hold in every history."""

import abc
import enum
from typing import NamedTuple

from ..workflows.model import EndKind
from ._history import Cancellation, History
from ._run_records import RunInterval, find_overlaps

CANCEL_BOUND_S = 3.0  # from a stored cancellation to the last start


class ViolationClass(enum.StrEnum):
    """Classes of violations; a window that is known is no new finding."""

    LATE_START = "late start at a new process"
    OTHER = "other"


class Violation(NamedTuple):
    """A broken invariant.

    Attributes:
        invariant: Name of the invariant.
        runs: The runs that break it.
    """

    invariant: str
    runs: tuple[RunInterval, ...]

    @property
    def classification(self) -> ViolationClass:
        """Whether a start that was sent to an earlier process broke it."""
        if any(run.is_late_start for run in self.runs):
            return ViolationClass.LATE_START
        return ViolationClass.OTHER

    def __str__(self) -> str:
        """Return the invariant and the runs in one line."""
        runs = ", ".join(
            f"run {run.run} of {run.key.workflow_id}.{run.key.step}.{run.key.index}"
            f" on {run.worker_id}.{run.process_started_ms}"
            f" (sent to {run.worker_id}.{run.sent_to_ms})"
            f" {run.begin:.3f} to {run.end:.3f} s"
            for run in self.runs
        )
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


class AtMostOneRun(Invariant):
    """Two runs of one task never go on at the same time."""

    name = "at most one run of a task"

    def violations(self, history: History) -> list[Violation]:
        """See base class."""
        return [
            Violation(self.name, pair) for pair in find_overlaps(list(history.runs))
        ]


class NoStartAfterDone(Invariant):
    """No run of a task begins after its end as done was acknowledged.

    An end that the worker listed only after its lease had lapsed may come
    after the next run of the task was started.
    """

    name = "no start after an acknowledged end as done"

    def violations(self, history: History) -> list[Violation]:
        """See base class."""
        return [
            Violation(self.name, (acknowledged.interval, run))
            for acknowledged in history.acknowledged
            if acknowledged.end.kind is EndKind.DONE and not acknowledged.lease_lapsed
            for run in history.runs
            if run.key == acknowledged.end.key
            and run.begin > acknowledged.acknowledged_at
        ]


class NoStartAfterCancel(Invariant):
    """No run begins more than ``CANCEL_BOUND_S`` after its cancellation.

    A start that was sent before the cancellation may reach its process later
    if a stop of the run was sent in time and has not reached it either. The
    run has to end within the bound then.
    """

    name = f"no start {CANCEL_BOUND_S:g} s after a stored cancellation"

    def violations(self, history: History) -> list[Violation]:
        """See base class."""
        return [
            Violation(self.name, (run,))
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


INVARIANTS: tuple[Invariant, ...] = (
    AtMostOneRun(),
    NoStartAfterDone(),
    NoStartAfterCancel(),
)


def find_violations(history: History) -> list[Violation]:
    """Return all violations of all invariants."""
    return [
        violation
        for invariant in INVARIANTS
        for violation in invariant.violations(history)
    ]
