"""Model of workers that restart under their id and carry out calls late."""

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
    StartRun,
    StopRun,
    ThrottleRun,
    WorkerFacts,
)
from ._run_records import (
    AcknowledgedEnd,
    ProducedCheckpoint,
    RunInterval,
    SentStart,
    SentStop,
    find_overlaps,
    run_label,
)
from ._worker_process import EndlessRuns, RunBehaviour, Sent, WorkerProcess

POLL_CHECK_INTERVAL_S = 0.05  # between checks of a waiting poll for ends


class LateCall(NamedTuple):
    """A call that is carried out later.

    Attributes:
        name: Name of the call.
        arguments: Its arguments.
        sent: To which process it was sent and when.
    """

    name: str
    arguments: tuple
    sent: Sent


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
        rejections_by_name: Reason with which calls are rejected that the
            worker does not carry out, by name of the call.
        fences: Fencing tokens of all calls that were sent, in their order.
        starts: All starts that were sent and might reach the worker.
        stops: All stops that were sent, those to a silent worker included.
        checkpoints: What its runs have produced, by checkpoint.
        connect_s: Time in seconds until a call is written.
        carried_out_late_at: Times at which late calls were carried out.
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
        self.rejections_by_name: dict[str, str] = {}
        self.fences: list[int] = []
        self.starts: list[SentStart] = []
        self.stops: list[SentStop] = []
        self.checkpoints: dict[str, ProducedCheckpoint] = {}
        self.connect_s = 0.0
        self.carried_out_late_at: list[float] = []

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
        return [self._carry_out_late(call) for call in late_calls]

    def all_intervals(self) -> list[RunInterval]:
        """Return the intervals of all runs, those that go on included."""
        self.process.expire()
        return self.intervals + [
            self.process.interval(key, run, begin, math.inf)
            for key, (run, begin, _) in self.process.runs_by_key.items()
        ]

    async def call(
        self,
        name: str,
        timeout_s: float,
        may_send: Callable[[], bool],
        fence: int,
        *args: Any,
    ) -> Any:
        """Carry out a call now or later, or not at all."""
        if self.connect_s:
            await pause(self.clock, self.connect_s)
        if not may_send():
            raise UnavailableError("the call was not sent")
        self.fences.append(fence)
        sent = Sent(self.process.started_ms, self.clock.seconds())
        if name == "stop":
            self.stops.append(SentStop(*args, self.worker_id, *sent))
        if self.silent:
            await pause(self.clock, timeout_s)
            raise UnavailableError("the worker does not answer")
        call = LateCall(name, (fence, *args), sent)
        if name == "start":
            key, run, _, *content = args
            payload, checkpoint, *_ = content or ("", "")
            start = SentStart(key, run, payload, checkpoint, self.worker_id, sent.at)
            self.starts.append(start)
        if self.mute or name in self.late or name in self.delays_s:
            if not self.mute:
                self._postpone(call)
            await pause(self.clock, timeout_s)
            raise OutcomeUnknownError("the worker does not answer in time")
        if name in self.rejections_by_name:
            reason = self.rejections_by_name[name]
            return CommandReply(False, reason, self.process.clock_ms)
        return self._carry_out(call)

    async def poll(
        self,
        timeout_s: float,
        may_send: Callable[[], bool],
        wait_s: float,
        *args: Any,
    ) -> Any:
        """Carry out a poll, and reply as soon as there is an end."""
        process = self.process
        reply = await self.call("poll", timeout_s, may_send, *args)
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
            self.log(f"{call.name} of {run_label(key, run)} is late by {delay_s:.1f} s")
        self.clock.callLater(delay_s, self._carry_out_late, call)

    def _carry_out_late(self, call: LateCall) -> CommandReply | WorkerReport:
        self.carried_out_late_at.append(self.clock.seconds())
        return self._carry_out(call)

    def _carry_out(self, call: LateCall) -> CommandReply | WorkerReport:
        if call.name == "start":
            reply = self.process.start(*call.arguments, sent=call.sent)
        else:
            reply = getattr(self.process, call.name)(*call.arguments)
        if call.name != "poll" and not reply.accepted:
            key, run = call.arguments[1:3]
            self.log(f"rejects {call.name} of {run_label(key, run)}: {reply.reason}")
        return reply


class ProtocolChannel(WorkerChannel):
    """Channel to a ``ProtocolWorker``."""

    def __init__(self, worker: ProtocolWorker) -> None:
        self.worker = worker

    async def start(
        self,
        run: StartRun,
        lease_until_ms: int,
        fence: int,
        timeout_s: float,
        may_send: Callable[[], bool],
    ) -> CommandReply:
        """See base class."""
        return await self.worker.call(
            "start",
            timeout_s,
            may_send,
            fence,
            run.key,
            run.run,
            lease_until_ms,
            run.payload,
            run.checkpoint,
            run.ticket,
        )

    async def stop(
        self,
        run: StartRun | StopRun,
        fence: int,
        timeout_s: float,
        may_send: Callable[[], bool],
    ) -> CommandReply:
        """See base class."""
        return await self.worker.call(
            "stop", timeout_s, may_send, fence, run.key, run.run
        )

    async def throttle(
        self,
        run: ThrottleRun,
        fence: int,
        timeout_s: float,
        may_send: Callable[[], bool],
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
        may_send: Callable[[], bool],
    ) -> WorkerReport | CommandReply:
        """See base class."""
        return await self.worker.poll(
            timeout_s, may_send, wait_s, fence, acknowledged_end, lease_until_ms
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
