"""Model of one process of a worker."""

import abc
import math
from typing import TYPE_CHECKING, NamedTuple

from ..coordination.gateways import CommandReply, WorkerReport
from ..workflows.model import EndKind, RunEnd, RunReport, TaskKey
from ._run_records import (
    AcknowledgedEnd,
    ProducedCheckpoint,
    RunInterval,
    run_label,
)

if TYPE_CHECKING:
    from ._workers import ProtocolWorker

MAX_LEASE_S = 6.0  # longer leases are shortened to this
FIRST_CLOCK_MS = 1  # reading of a worker's clock when its process starts
PROGRESS_PERCENT = 10.0  # that is reported of runs without a known duration


class RunBehaviour(abc.ABC):
    """Decides when the runs of workers end."""

    @abc.abstractmethod
    def stop_duration_s(self, key: TaskKey, run: int) -> float:
        """Return how long a run goes on after its stop was accepted."""

    def checkpoint_interval_s(self, key: TaskKey) -> float | None:
        """Return the time between checkpoints, None if there are none."""
        return None

    def progress_percent(self, key: TaskKey, elapsed_s: float) -> float:
        """Return the reported progress of a run, in percent."""
        return PROGRESS_PERCENT

    def accepts_ticket(
        self, process: "WorkerProcess", key: TaskKey, ticket: str
    ) -> bool:
        """Return whether a start with a ticket, "" for none, may begin."""
        return True

    def begun(self, process: "WorkerProcess", key: TaskKey, run: int) -> None:
        """Handle the begin of a run."""

    def ended(
        self, process: "WorkerProcess", key: TaskKey, run: int, kind: EndKind
    ) -> None:
        """Handle the end of a run, which may be in the past."""


class EndlessRuns(RunBehaviour):
    """Lets runs go on until they are stopped, which takes no time."""

    def stop_duration_s(self, key: TaskKey, run: int) -> float:
        """See base class."""
        return 0.0


class Sent(NamedTuple):
    """Start time of the process that a call was sent to, and when."""

    to_ms: int
    at: float


class _CurrentRun(NamedTuple):
    """A run that is executed.

    Attributes:
        run: Its number.
        begin: Time of its start in clock seconds.
        checkpoint: Checkpoint that it resumed from, "" for none.
    """

    run: int
    begin: float
    checkpoint: str


class WorkerProcess:
    """One process of a worker: runs under a fencing token and a lease.

    Args:
        worker: The worker.
        started_ms: Start time, which identifies the process.

    Attributes:
        started_ms: Start time in milliseconds.
        runs_by_key: Runs that are executed.
        ends: Ends that are not acknowledged.
        acknowledged: Ends that a poll has acknowledged.
        leases_end_at: End of the lease in clock seconds.
    """

    def __init__(self, worker: "ProtocolWorker", started_ms: int) -> None:
        self._worker = worker
        self._clock = worker.clock
        self._started_at = worker.clock.seconds()
        self.started_ms = started_ms
        self.runs_by_key: dict[TaskKey, _CurrentRun] = {}
        self.ends: list[RunEnd] = []
        self.acknowledged: list[RunEnd] = []
        self.leases_end_at = 0.0
        self._highest_fence = 0
        self._last_number = 0
        self._closed_run_by_key: dict[TaskKey, int] = {}
        self._sent_by_key: dict[TaskKey, Sent] = {}
        self._interval_by_number: dict[int, RunInterval] = {}
        self._lapsed_at = -math.inf

    @property
    def worker_id(self) -> str:
        """Id of the worker."""
        return self._worker.worker_id

    @property
    def clock_ms(self) -> int:
        """Reading of the worker's clock in milliseconds."""
        return FIRST_CLOCK_MS + int((self._clock.seconds() - self._started_at) * 1000)

    def start(
        self,
        fence: int,
        key: TaskKey,
        run: int,
        lease_until_ms: int,
        payload: str = "",
        checkpoint: str = "",
        ticket: str = "",
        sent: Sent | None = None,
    ) -> CommandReply:
        """Start a run; a start of a run that goes on changes nothing.

        Args:
            fence: Fencing token.
            key: Key of the task.
            run: Number of the run.
            lease_until_ms: End of the lease on the worker's clock.
            payload: Payload of the workflow.
            checkpoint: Checkpoint to resume from, "" for none.
            ticket: Ticket of the advice service, "" for none.
            sent: To which process the call was sent and when, None for a call
                to this process that is not late.
        """
        self.expire()
        if not self._raise_fence(fence):
            return self._reply("fenced")
        current = self.runs_by_key.get(key)
        if current is not None and current.run == run:
            self._extend_lease(lease_until_ms)
            return self._reply("")
        if current is not None or run <= self._closed_run_by_key.get(key, 0):
            self._extend_lease(lease_until_ms)
            return self._reply("outdated")
        if lease_until_ms <= self.clock_ms:
            return self._reply("lapsed")
        if not self._worker.behaviour.accepts_ticket(self, key, ticket):
            return self._reply("permit")
        self._extend_lease(lease_until_ms)
        self.runs_by_key[key] = _CurrentRun(run, self._clock.seconds(), checkpoint)
        self._sent_by_key[key] = sent or Sent(self.started_ms, self._clock.seconds())
        self._worker.log(f"begins {run_label(key, run)}")
        self._worker.behaviour.begun(self, key, run)
        return self._reply("")

    def stop(self, fence: int, key: TaskKey, run: int) -> CommandReply:
        """Stop a run; starts up to its number are rejected from now on."""
        self.expire()
        if not self._raise_fence(fence):
            return self._reply("fenced")
        current = self.runs_by_key.get(key)
        if current is not None and current.run == run:
            duration_s = self._worker.behaviour.stop_duration_s(key, run)
            if duration_s:
                self._clock.callLater(
                    duration_s, self.finish, key, run, EndKind.STOPPED
                )
            else:
                self.end(key, EndKind.STOPPED)
        closed = self._closed_run_by_key
        closed[key] = max(closed.get(key, 0), run)
        return self._reply("")

    def poll(
        self, fence: int, acknowledged_end: int, lease_until_ms: int
    ) -> CommandReply | WorkerReport:
        """Extend the lease, forget acknowledged ends and list all runs."""
        self.expire()
        if not self._raise_fence(fence):
            return self._reply("fenced")
        for end in self.ends:
            if end.number <= acknowledged_end:
                self._acknowledge(end)
        self.ends = [end for end in self.ends if end.number > acknowledged_end]
        if lease_until_ms:
            self._extend_lease(lease_until_ms)
        return self.report()

    def report(self) -> WorkerReport:
        """Return the lists of all runs and of the ends."""
        self.expire()
        now = self._clock.seconds()
        running = tuple(
            RunReport(
                key,
                current.run,
                self._save(key, now),
                self._worker.behaviour.progress_percent(key, now - current.begin),
            )
            for key, current in self.runs_by_key.items()
        )
        return WorkerReport(self.clock_ms, self.started_ms, running, tuple(self.ends))

    def finish(self, key: TaskKey, run: int, kind: EndKind) -> None:
        """End a run if it still goes on and the lease has not expired."""
        self.expire()
        current = self.runs_by_key.get(key)
        if current is not None and current.run == run:
            self.end(key, kind)

    def end(self, key: TaskKey, kind: EndKind, at: float | None = None) -> None:
        """End a run; without ``at``, at this moment."""
        at = self._clock.seconds() if at is None else at
        checkpoint = self._save(key, at, is_stopped=kind is EndKind.STOPPED)
        run, begin, _ = self.runs_by_key.pop(key)
        interval = self.interval(key, run, begin, at)
        self._worker.intervals.append(interval)
        self._closed_run_by_key[key] = max(self._closed_run_by_key.get(key, 0), run)
        self._last_number += 1
        self._interval_by_number[self._last_number] = interval
        self.ends.append(RunEnd(self._last_number, key, run, kind, checkpoint))
        self._worker.log(f"ends {run_label(key, run)} as {kind}")
        self._worker.behaviour.ended(self, key, run, kind)

    def interval(self, key: TaskKey, run: int, begin: float, end: float) -> RunInterval:
        """Return the interval of a run of this process."""
        return RunInterval(
            key,
            run,
            self._worker.worker_id,
            begin,
            end,
            self.started_ms,
            *self._sent_by_key[key],
        )

    def expire(self) -> None:
        """End all runs if the lease has expired."""
        if self._clock.seconds() >= self.leases_end_at:
            self._lapsed_at = self._clock.seconds()
            for key in list(self.runs_by_key):
                self.end(key, EndKind.LAPSED, self.leases_end_at)

    def _save(self, key: TaskKey, at: float, is_stopped: bool = False) -> str:
        """Return the newest checkpoint of a run, which is listed now."""
        current = self.runs_by_key[key]
        interval_s = self._worker.behaviour.checkpoint_interval_s(key)
        if interval_s is None:
            return ""
        count = int((at - current.begin) / interval_s) + is_stopped
        if not count:
            return current.checkpoint
        name = f"{run_label(key, current.run)} on {self._worker.worker_id}"
        checkpoint = f"{name}.{self.started_ms}, {count}"
        produced = ProducedCheckpoint(key, checkpoint, self._clock.seconds())
        self._worker.checkpoints.setdefault(checkpoint, produced)
        return checkpoint

    def _acknowledge(self, end: RunEnd) -> None:
        self.acknowledged.append(end)
        interval = self._interval_by_number[end.number]
        self._worker.acknowledged.append(
            AcknowledgedEnd(
                end,
                self._worker.worker_id,
                self._clock.seconds(),
                self._lapsed_at > interval.end,
                interval,
            )
        )
        self._worker.log(f"end of {run_label(end.key, end.run)} is acknowledged")

    def _raise_fence(self, fence: int) -> bool:
        self._highest_fence = max(self._highest_fence, fence)
        return fence == self._highest_fence

    def _extend_lease(self, lease_until_ms: int) -> None:
        lease_s = min((lease_until_ms - self.clock_ms) / 1000, MAX_LEASE_S)
        self.leases_end_at = max(self.leases_end_at, self._clock.seconds() + lease_s)

    def _reply(self, reason: str) -> CommandReply:
        return CommandReply(not reason, reason, self.clock_ms)
