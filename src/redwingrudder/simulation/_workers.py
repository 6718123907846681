"""Model of workers that restart under their id and carry out calls late."""

import abc
import math
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.interfaces import IReactorTime

from .._background import pause
from ..coordination.gateways import (
    ChannelFactory,
    CommandReply,
    WorkerChannel,
    WorkerReport,
)
from ..exceptions import OutcomeUnknownError, UnavailableError
from ..workflows.model import (
    EndKind,
    RunEnd,
    RunReport,
    StartRun,
    StopRun,
    TaskKey,
    ThrottleRun,
    WorkerFacts,
)

MAX_LEASE_S = 6.0  # longer leases are shortened to this
POLL_CHECK_INTERVAL_S = 0.05  # between checks of a waiting poll for ends
FIRST_CLOCK_MS = 1  # reading of a worker's clock when its process starts
PROGRESS_PERCENT = 10.0  # that is reported of each run


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


class RunBehaviour(abc.ABC):
    """Decides when the runs of workers end."""

    @abc.abstractmethod
    def stop_duration_s(self, key: TaskKey, run: int) -> float:
        """Return how long a run goes on after its stop was accepted."""

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


class _Sent(NamedTuple):
    """Start time of the process that a call was sent to, and when."""

    to_ms: int
    at: float


class _CurrentRun(NamedTuple):
    """A run that is executed: its number and the time of its start."""

    run: int
    begin: float


class WorkerProcess:
    """One process of a worker: runs under a fencing token and a lease.

    Args:
        worker: The worker.
        started_ms: Start time, which identifies the process.

    Attributes:
        started_ms: Start time in milliseconds.
        runs_by_key: Runs that are executed: number and time of the start.
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
        self._sent_by_key: dict[TaskKey, _Sent] = {}
        self._interval_by_number: dict[int, RunInterval] = {}
        self._lapsed_at = -math.inf

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
        sent: _Sent | None = None,
    ) -> CommandReply:
        """Start a run; a start of a run that goes on changes nothing.

        Args:
            fence: Fencing token.
            key: Key of the task.
            run: Number of the run.
            lease_until_ms: End of the lease on the worker's clock.
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
        self._extend_lease(lease_until_ms)
        self.runs_by_key[key] = _CurrentRun(run, self._clock.seconds())
        self._sent_by_key[key] = sent or _Sent(self.started_ms, self._clock.seconds())
        self._worker.log(f"begins {_label(key, run)}")
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
        running = tuple(
            RunReport(key, current.run, "", PROGRESS_PERCENT)
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
        run, begin = self.runs_by_key.pop(key)
        at = self._clock.seconds() if at is None else at
        interval = self.interval(key, run, begin, at)
        self._worker.intervals.append(interval)
        self._closed_run_by_key[key] = max(self._closed_run_by_key.get(key, 0), run)
        self._last_number += 1
        self._interval_by_number[self._last_number] = interval
        self.ends.append(RunEnd(self._last_number, key, run, kind, ""))
        self._worker.log(f"ends {_label(key, run)} as {kind}")
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
        self._worker.log(f"end of {_label(end.key, end.run)} is acknowledged")

    def _raise_fence(self, fence: int) -> bool:
        self._highest_fence = max(self._highest_fence, fence)
        return fence == self._highest_fence

    def _extend_lease(self, lease_until_ms: int) -> None:
        lease_s = min((lease_until_ms - self.clock_ms) / 1000, MAX_LEASE_S)
        self.leases_end_at = max(self.leases_end_at, self._clock.seconds() + lease_s)

    def _reply(self, reason: str) -> CommandReply:
        return CommandReply(not reason, reason, self.clock_ms)


class LateCall(NamedTuple):
    """A call that is carried out later.

    Attributes:
        name: Name of the call.
        arguments: Its arguments.
        sent: To which process it was sent and when.
    """

    name: str
    arguments: tuple
    sent: _Sent


class ProtocolWorker:
    """A worker that may restart under its id.

    Args:
        clock: Clock of the simulation.
        worker_id: Id of the worker.
        behaviour: Decides when runs end.
        log: Called with a line about each event.

    Attributes:
        process: Its process.
        intervals: Runs that have ended or were lost with their process.
        acknowledged: Ends that were acknowledged, of all processes.
        silent: No call is carried out, and none can be sent.
        mute: No call is carried out, and none gets a reply.
        late: Names of calls that get no reply and are carried out by
            ``carry_out_late_calls``.
        late_calls: Calls to carry out later.
        delays_s: Delay of the calls that get no reply and are carried out
            after it, by name of the call.
        fences: Fencing tokens of all calls that were sent, in their order.
        stops: All stops that were sent and might reach the worker.
    """

    def __init__(
        self,
        clock: IReactorTime,
        worker_id: str,
        behaviour: RunBehaviour | None = None,
        log: Callable[[str], None] = lambda line: None,
    ) -> None:
        self.clock = clock
        self.worker_id = worker_id
        self.behaviour = behaviour or EndlessRuns()
        self._log = log
        self.process = WorkerProcess(self, 1)
        self.intervals: list[RunInterval] = []
        self.acknowledged: list[AcknowledgedEnd] = []
        self.silent = False
        self.mute = False
        self.late: set[str] = set()
        self.late_calls: list[LateCall] = []
        self.delays_s: dict[str, float] = {}
        self.fences: list[int] = []
        self.stops: list[SentStop] = []

    def log(self, line: str) -> None:
        """Log a line about the current process."""
        self._log(f"{self.worker_id}.{self.process.started_ms} {line}")

    def restart(self) -> None:
        """Replace the process by one that knows nothing of the last one."""
        self.process.expire()
        for key in list(self.process.runs_by_key):
            self.process.end(key, EndKind.FAILED)
        self.process = WorkerProcess(self, self.process.started_ms + 1)

    def carry_out_late_calls(self) -> list[CommandReply | WorkerReport]:
        """Let the current process carry out the calls that were late."""
        late_calls, self.late_calls = self.late_calls, []
        return [self._carry_out(call) for call in late_calls]

    def all_intervals(self) -> list[RunInterval]:
        """Return the intervals of all runs, those that go on included."""
        self.process.expire()
        return self.intervals + [
            self.process.interval(key, run, begin, math.inf)
            for key, (run, begin) in self.process.runs_by_key.items()
        ]

    async def call(self, name: str, timeout_s: float, fence: int, *args: Any) -> Any:
        """Carry out a call now or later, or not at all."""
        self.fences.append(fence)
        if self.silent:
            await pause(self.clock, timeout_s)
            raise UnavailableError("the worker does not answer")
        sent = _Sent(self.process.started_ms, self.clock.seconds())
        call = LateCall(name, (fence, *args), sent)
        if name == "stop":
            self.stops.append(SentStop(*args, self.worker_id, *sent))
        if self.mute or name in self.late or name in self.delays_s:
            if not self.mute:
                self._postpone(call)
            await pause(self.clock, timeout_s)
            raise OutcomeUnknownError("the worker does not answer in time")
        return self._carry_out(call)

    async def poll(self, timeout_s: float, wait_s: float, *args: Any) -> Any:
        """Carry out a poll, and reply as soon as there is an end."""
        process = self.process
        reply = await self.call("poll", timeout_s, *args)
        deadline = self.clock.seconds() + wait_s
        while (
            isinstance(reply, WorkerReport)
            and not reply.ended
            and self.clock.seconds() < deadline
        ):
            await pause(self.clock, POLL_CHECK_INTERVAL_S)
            if self.silent or self.process is not process:
                raise UnavailableError("the connection was lost")
            if self.mute:
                await pause(self.clock, timeout_s - wait_s)
                raise OutcomeUnknownError("the worker does not answer in time")
            reply = process.report()
        return reply

    def _postpone(self, call: LateCall) -> None:
        if call.name in self.late:
            self.late_calls.append(call)
            return
        delay_s = self.delays_s[call.name]
        if call.name != "poll":
            key, run = call.arguments[1:3]
            self.log(f"{call.name} of {_label(key, run)} is late by {delay_s:.1f} s")
        self.clock.callLater(delay_s, self._carry_out, call)

    def _carry_out(self, call: LateCall) -> CommandReply | WorkerReport:
        if call.name == "start":
            reply = self.process.start(*call.arguments, sent=call.sent)
        else:
            reply = getattr(self.process, call.name)(*call.arguments)
        if call.name != "poll" and not reply.accepted:
            key, run = call.arguments[1:3]
            self.log(f"rejects {call.name} of {_label(key, run)}: {reply.reason}")
        return reply


class ProtocolChannel(WorkerChannel):
    """Channel to a ``ProtocolWorker``."""

    def __init__(self, worker: ProtocolWorker) -> None:
        self.worker = worker

    async def start(
        self, run: StartRun, lease_until_ms: int, fence: int, timeout_s: float
    ) -> CommandReply:
        """See base class."""
        return await self.worker.call(
            "start", timeout_s, fence, run.key, run.run, lease_until_ms
        )

    async def stop(
        self, run: StartRun | StopRun, fence: int, timeout_s: float
    ) -> CommandReply:
        """See base class."""
        return await self.worker.call("stop", timeout_s, fence, run.key, run.run)

    async def throttle(
        self, run: ThrottleRun, fence: int, timeout_s: float
    ) -> CommandReply:
        """See base class."""
        raise UnavailableError("not supported")

    async def poll(
        self,
        fence: int,
        acknowledged_end: int,
        lease_until_ms: int,
        wait_s: float,
        timeout_s: float,
    ) -> WorkerReport | CommandReply:
        """See base class."""
        return await self.worker.poll(
            timeout_s, wait_s, fence, acknowledged_end, lease_until_ms
        )

    def reset(self) -> None:
        """See base class."""

    def close(self) -> None:
        """See base class."""


class ProtocolWorkers(ChannelFactory):
    """Opens channels to the workers that are given by their id.

    Args:
        clock: Clock of the simulation.
        worker_ids: Ids of the workers.
        behaviour: Decides when runs end.
        log: Called with a line about each event.

    Attributes:
        workers_by_id: The workers.
        opened: Worker of each channel that was opened.
    """

    def __init__(
        self,
        clock: IReactorTime,
        *worker_ids: str,
        behaviour: RunBehaviour | None = None,
        log: Callable[[str], None] = lambda line: None,
    ) -> None:
        self.opened: list[str] = []
        self.workers_by_id = {
            worker_id: ProtocolWorker(clock, worker_id, behaviour, log)
            for worker_id in worker_ids
        }

    def open(self, facts: WorkerFacts) -> ProtocolChannel:
        """See base class."""
        self.opened.append(facts.worker_id)
        return ProtocolChannel(self.workers_by_id[facts.worker_id])

    def intervals(self) -> list[RunInterval]:
        """Return the intervals of all runs in the order of their begin."""
        intervals = [
            interval
            for worker in self.workers_by_id.values()
            for interval in worker.all_intervals()
        ]
        return sorted(intervals, key=lambda interval: interval.begin)

    def overlapping_runs(self) -> list[tuple[RunInterval, RunInterval]]:
        """Return the pairs of runs of one task that overlap in time."""
        return find_overlaps(self.intervals())


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


def _label(key: TaskKey, run: int) -> str:
    """Return a short name of a run for the log."""
    return f"run {run} of {key.workflow_id}.{key.step}.{key.index}"
