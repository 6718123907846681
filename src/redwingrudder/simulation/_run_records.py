"""Records of what the model of a worker has done."""

from typing import NamedTuple

from ..workflows.model import RunEnd, TaskKey


class RunInterval(NamedTuple):
    """Time in which a run was executed.

    Attributes:
        key: Key of the task.
        run: Number of the run.
        worker_id: The worker.
        begin: Time of the start in clock seconds.
        end: Time of the end in clock seconds, infinite while the run goes on.
        process_started_ms: Start time of the process that executed the run.
        sent_to_ms: Start time of the process to which the start was sent.
        sent_at: Time at which the start was sent, in clock seconds.
    """

    key: TaskKey
    run: int
    worker_id: str
    begin: float
    end: float
    process_started_ms: int = 0
    sent_to_ms: int = 0
    sent_at: float = 0.0

    @property
    def is_late_start(self) -> bool:
        """Whether the start was sent to an earlier process of the worker."""
        return self.sent_to_ms != self.process_started_ms

    @property
    def is_begun_late(self) -> bool:
        """Whether the start was carried out later than it was sent."""
        return self.is_late_start or self.begin > self.sent_at

    def describe(self) -> str:
        """Return the run in one line."""
        return (
            f"{run_label(self.key, self.run)}"
            f" on {self.worker_id}.{self.process_started_ms}"
            f" (sent to {self.worker_id}.{self.sent_to_ms})"
            f" {self.begin:.3f} to {self.end:.3f} s"
        )


class SentStart(NamedTuple):
    """A start that was sent, whether or not it was carried out.

    Attributes:
        key: Key of the task.
        run: Number of the run.
        payload: Payload that the run gets.
        checkpoint: Checkpoint to resume from, "" for none.
        worker_id: The worker.
        sent_at: Time in clock seconds.
    """

    key: TaskKey
    run: int
    payload: str
    checkpoint: str
    worker_id: str
    sent_at: float

    def describe(self) -> str:
        """Return the start in one line."""
        return (
            f"start of {run_label(self.key, self.run)} to {self.worker_id}"
            f" at {self.sent_at:.3f} s with {self.payload!r}"
            f" and checkpoint {self.checkpoint!r}"
        )


class ProducedCheckpoint(NamedTuple):
    """A checkpoint that a run has produced and a worker has listed.

    Attributes:
        key: Key of the task.
        checkpoint: The checkpoint.
        listed_at: Time at which it was first listed, in clock seconds.
    """

    key: TaskKey
    checkpoint: str
    listed_at: float


class SentStop(NamedTuple):
    """A stop that was sent, whether or not it was carried out.

    Attributes:
        key: Key of the task.
        run: Number of the run.
        worker_id: The worker.
        process_started_ms: Start time of the process to which it was sent.
        sent_at: Time in clock seconds.
    """

    key: TaskKey
    run: int
    worker_id: str
    process_started_ms: int
    sent_at: float


class AcknowledgedEnd(NamedTuple):
    """An end that a poll has acknowledged.

    Attributes:
        end: The end as it was listed.
        worker_id: The worker.
        acknowledged_at: Time of the poll in clock seconds.
        lease_lapsed: Whether the worker was without a lease at some time
            between the end and the poll.
        interval: The run that has ended.
    """

    end: RunEnd
    worker_id: str
    acknowledged_at: float
    lease_lapsed: bool
    interval: RunInterval


def find_overlaps(
    intervals: list[RunInterval],
) -> list[tuple[RunInterval, RunInterval]]:
    """Return the pairs of runs of one task that overlap in time.

    Args:
        intervals: Runs in the order of their begin.
    """
    intervals_by_key: dict[TaskKey, list[RunInterval]] = {}
    for interval in intervals:
        intervals_by_key.setdefault(interval.key, []).append(interval)
    return [
        (first, second)
        for runs in intervals_by_key.values()
        for number, first in enumerate(runs)
        for second in runs[number + 1 :]
        if second.begin < first.end
    ]


def run_label(key: TaskKey, run: int) -> str:
    """Return a short name of a run for the log."""
    return f"run {run} of {key.workflow_id}.{key.step}.{key.index}"
