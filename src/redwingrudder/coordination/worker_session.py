"""The coordinator's conversation with one worker."""

import logging
import math

from .._background import pause, run
from .._chart_runner import ChartRunner
from ..actors import Actor, ActorSystem, Handler
from ..exceptions import RedwingrudderError
from ..statecharts import load_chart
from ..timers import TIMERS, Subscribe, TimerFired
from ..workflows.model import StartRun, StopRun, ThrottleRun, WorkerFacts
from .gateways import (
    COORDINATOR,
    LEADERSHIP,
    CommandReply,
    WorkerChannel,
    WorkerReport,
    WorkerTimes,
)
from .leadership import LEASE_TTL_S, boot_clock
from .messages import (
    AcknowledgeEnds,
    AllowLeaseExtension,
    Fenced,
    RegistryEntryRemoved,
    StartSettled,
    ThrottleUnanswered,
    UpdateFacts,
    WorkerLeaseLapsed,
    WorkerPolled,
    WorkerSilent,
)

POLL_WAIT_S = 1.0  # an idle poll; also how old progress figures may be
POLL_MARGIN_S = 0.8  # answer time on top of the wait
COMMAND_TIMEOUTS_S = (0.4, 0.5, 0.8)  # of a start, sent again each time
STOP_TIMEOUT_S = 0.5
STOP_RETRY_S = 0.3
SILENT_AFTER_S = 2.0  # without any answer
RETRY_S = 0.3
BUSY_POLL_INTERVAL_S = 0.25  # between polls while ends wait for their record
MIN_POLL_DURATION_S = 0.05  # an answer sooner than this did not wait
CLOCK_DRIFT = 0.02  # a worker's clock may be this much slow
LAPSE_MARGIN_S = 0.3
# Below the three heartbeats after which a silent worker's entry ends.
LEFT_HEARTBEATS = 2

_EVENTS = frozenset({"answered", "unanswered", "silent", "lapsed"})
_ACTIONS = frozenset({"report_silent", "report_lapsed"})
_CHART = load_chart("worker_session", _EVENTS, _ACTIONS)
_logger = logging.getLogger(__name__)


class WorkerSession(Actor):
    """Owns the connections to one incarnation of a worker.

    Args:
        system: The node's actors.
        facts: The worker.
        channel: Connections to it.
        fence: Term of the coordinator.
        times: What the platform says of workers.
        unsettled: Runs whose orders may still arrive; they are stopped before
            the first poll.
    """

    def __init__(
        self,
        system: ActorSystem,
        facts: WorkerFacts,
        channel: WorkerChannel,
        fence: int,
        times: WorkerTimes,
        unsettled: tuple[StopRun, ...] = (),
    ) -> None:
        self._facts = facts
        self._channel = channel
        self._fence = fence
        self._lease_s = times.longest_lease_s
        self._heartbeat_s = times.heartbeat_s
        self._chart = ChartRunner(
            _CHART,
            {
                "report_silent": lambda _: self._report_silent(),
                "report_lapsed": lambda _: self._report_lapsed(),
            },
        )
        self._unsettled = unsettled
        self._allowed = True
        self._seen = 0
        self._unseen = 0
        self._answered_at = boot_clock()
        # Until this boot-clock time a run of any coordinator may exist.
        self._leased_until = boot_clock() + prior_lease_timeout_s(self._lease_s)
        self._clock_ms = 0
        self._clock_at = 0.0
        self._polling = False
        # When the newest poll that was answered had been sent.
        self._heard_at = 0.0
        # When the worker left the registry by itself, as it seems.
        self._left_at = math.inf
        self._present = False
        self._closed = False
        self._starting: set[tuple] = set()
        super().__init__(system, session_name(facts.worker_id))

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            TimerFired: lambda _: self._poll_soon(),
            StartRun: lambda message: run(self._start(message), self.name) and None,
            ThrottleRun: lambda message: (
                run(self._throttle(message), self.name) and None
            ),
            StopRun: lambda message: run(self._stop(message), self.name) and None,
            AcknowledgeEnds: self._acknowledge,
            AllowLeaseExtension: self._set_allowed,
            UpdateFacts: self._update,
            RegistryEntryRemoved: self._entry_removed,
        }

    def start(self) -> None:
        """Raise the worker's fence and list its runs."""
        if self._unsettled:
            self._polling = True
            run(self._stop_unsettled_then_poll(), self.name)
        else:
            self._poll_soon()

    def stop(self) -> None:
        """Close the connections."""
        self._closed = True
        self._channel.close()

    def _update(self, message: UpdateFacts) -> None:
        self._facts = message.facts
        self._left_at = math.inf

    def _entry_removed(self, message: RegistryEntryRemoved) -> None:
        """Tell a worker that has left from one that has fallen silent.

        An entry that ends by silence does so after three heartbeats, so a
        drained worker that was heard of later than that has left by itself,
        and nothing runs on it. It is polled once more to be sure.
        """
        now = boot_clock()
        unheard_s = now - self._heard_at
        if message.drained and unheard_s < LEFT_HEARTBEATS * self._heartbeat_s:
            self._left_at = now
            self._poll_soon()

    def _set_allowed(self, message: AllowLeaseExtension) -> None:
        self._allowed = message.allowed

    def _acknowledge(self, message: AcknowledgeEnds) -> None:
        self._seen = max(self._seen, message.number)
        self._poll_soon()

    def _poll_soon(self) -> None:
        if not self._polling and not self._closed:
            self._polling = True
            run(self._poll(), self.name)

    async def _stop_unsettled_then_poll(self) -> None:
        for stop in self._unsettled:
            await self._send_stop(stop)
        self._polling = False
        self._poll_soon()

    async def _poll(self) -> None:
        """Poll once; the answer decides when to poll again."""
        wait_s = POLL_WAIT_S if self._unseen <= self._seen else 0.0
        if self._chart.state != "answering":
            wait_s = 0.0
        sent_at = boot_clock()
        try:
            reply = await self._send_poll(wait_s)
        finally:
            self._polling = False
        if self._closed:
            return
        if reply is None:
            self._unanswered(sent_at)
            self._poll_later(RETRY_S)
        elif isinstance(reply, CommandReply):
            self._refused(reply)
            self._poll_later(RETRY_S)
        else:
            self._take_report(reply, sent_at)

    async def _send_poll(self, wait_s: float) -> WorkerReport | CommandReply | None:
        """Return the worker's answer, None without one."""
        try:
            return await self._channel.poll(
                self._fence,
                self._seen,
                self._extend_lease(),
                wait_s,
                wait_s + POLL_MARGIN_S,
            )
        except RedwingrudderError as error:
            _logger.info(
                "look unanswered",
                extra={"worker": self._facts.worker_id, "error": str(error)},
            )
            return None

    def _take_report(self, reply: WorkerReport, sent_at: float) -> None:
        self._answered(reply.clock_ms)
        self._heard_at = max(self._heard_at, sent_at)
        at_once = boot_clock() - sent_at < MIN_POLL_DURATION_S
        self._present = bool(reply.running) or bool(self._starting)
        self._unseen = max((end.number for end in reply.ended), default=self._unseen)
        self.tell(COORDINATOR, WorkerPolled(self._facts.worker_id, reply))
        if self._unseen > self._seen:
            self._poll_later(BUSY_POLL_INTERVAL_S)
        elif self._present and not (at_once and not reply.ended):
            self._poll_soon()
        elif self._present:
            # A worker that does not wait would be asked without a pause.
            self._poll_later(BUSY_POLL_INTERVAL_S)
        else:
            self._poll_later(POLL_WAIT_S)

    def _poll_later(self, delay_s: float) -> None:
        if not self._closed:
            self.tell(TIMERS, Subscribe(self.name, "look", delay_s))

    def _refused(self, reply: CommandReply) -> None:
        if reply.reason == "fenced":
            self.tell(LEADERSHIP, Fenced(self._facts.worker_id))
        elif reply.reason == "other_life":
            # The incarnation that this session talks to is over.
            self._leased_until = 0.0
        self._unanswered()

    def _answered(self, clock_ms: int) -> None:
        self._answered_at = boot_clock()
        self._left_at = math.inf
        if clock_ms:
            self._clock_ms, self._clock_at = clock_ms, self._answered_at
        self._chart.step("answered")

    def _unanswered(self, poll_sent_at: float = 0.0) -> None:
        """Take note of a call without an answer; 0.0 stands for no poll."""
        self._channel.reset()
        self._chart.step("unanswered")
        now = boot_clock()
        left = poll_sent_at > self._left_at
        if left:
            self._leased_until = 0.0
        if left or now - self._answered_at > SILENT_AFTER_S:
            self._chart.step("silent")
        if now > self._leased_until:
            self._chart.step("lapsed")

    def _extend_lease(self) -> int:
        """Return the lease's new end on the worker's clock, 0 for none.

        A silent worker's lease is left to lapse, so that its tasks can be
        started elsewhere.
        """
        if not self._allowed or not self._clock_ms:
            return 0
        if self._chart.state in ("silent", "lapsed"):
            return 0
        return self._lease_until()

    def _lease_until(self) -> int:
        now = boot_clock()
        elapsed = now - self._clock_at
        until_ms = self._clock_ms + int((elapsed + self._lease_s) * 1000)
        # The clock read at least clock_ms at clock_at and may be slow.
        longest = (until_ms - self._clock_ms) / 1000 / (1 - CLOCK_DRIFT)
        self._leased_until = max(
            self._leased_until, self._clock_at + longest + LAPSE_MARGIN_S
        )
        return until_ms

    async def _start(self, message: StartRun) -> None:
        identity = (message.key, message.run)
        self._starting.add(identity)
        try:
            reply = await self._send_start(message)
            if reply.reason in ("unanswered", "outdated"):
                await self._poll_for_end()
        finally:
            self._starting.discard(identity)
        if self._closed:
            return
        if reply.reason == "fenced":
            self.tell(LEADERSHIP, Fenced(self._facts.worker_id))
        self.tell(COORDINATOR, StartSettled(message, reply))
        if not self._polling and reply.accepted:
            self._poll_soon()

    async def _send_start(self, message: StartRun) -> CommandReply:
        """Send a start until it is answered, else make it void."""
        for timeout_s in COMMAND_TIMEOUTS_S:
            if self._closed or not self._allowed or not self._clock_ms:
                break
            try:
                reply = await self._channel.start(
                    message, self._lease_until(), self._fence, timeout_s
                )
                self._answered(reply.clock_ms)
                return reply
            except RedwingrudderError as error:
                _logger.info(
                    "start unanswered",
                    extra={
                        "job": message.key.workflow_id,
                        "worker": self._facts.worker_id,
                        "run": message.run,
                        "error": str(error),
                    },
                )
                self._unanswered()
        await self._send_stop(message)
        return CommandReply(False, "unanswered")

    async def _poll_for_end(self) -> None:
        """Poll once more before a start is settled as not begun.

        A start without an answer may have begun a run that has ended since,
        and that would be repeated. The coordinator gets its end first.
        """
        while not self._closed and self._chart.state != "lapsed":
            sent_at = boot_clock()
            reply = await self._send_poll(0.0)
            if reply is None:
                self._unanswered(sent_at)
                await pause(self.system.clock, RETRY_S)
                continue
            if isinstance(reply, CommandReply):
                self._refused(reply)
            elif not self._closed:
                self._take_report(reply, sent_at)
            return

    async def _stop(self, message: StopRun) -> None:
        await self._send_stop(message)
        if not self._closed:
            self._poll_soon()

    async def _throttle(self, message: ThrottleRun) -> None:
        """Send a throttle command; a later one corrects one that is lost."""
        try:
            reply = await self._channel.throttle(message, self._fence, STOP_TIMEOUT_S)
            self._answered(reply.clock_ms)
        except RedwingrudderError as error:
            _logger.info(
                "pace unanswered",
                extra={"worker": self._facts.worker_id, "error": str(error)},
            )
            self.tell(COORDINATOR, ThrottleUnanswered(message))

    async def _send_stop(self, message: StartRun | StopRun) -> None:
        """Repeat a stop until the worker answers or its lease has lapsed."""
        while not self._closed and self._chart.state != "lapsed":
            try:
                reply = await self._channel.stop(message, self._fence, STOP_TIMEOUT_S)
                self._answered(reply.clock_ms)
                if reply.reason == "fenced":
                    self.tell(LEADERSHIP, Fenced(self._facts.worker_id))
                return
            except RedwingrudderError as error:
                _logger.info(
                    "stop unanswered",
                    extra={
                        "job": message.key.workflow_id,
                        "worker": self._facts.worker_id,
                        "run": message.run,
                        "error": str(error),
                    },
                )
                self._unanswered()
            await pause(self.system.clock, STOP_RETRY_S)

    def _report_silent(self) -> None:
        self.tell(COORDINATOR, WorkerSilent(self._facts.worker_id))

    def _report_lapsed(self) -> None:
        self.tell(COORDINATOR, WorkerLeaseLapsed(self._facts.worker_id))


def session_name(worker_id: str) -> str:
    """Return the name of a worker's session among the actors."""
    return f"worker {worker_id}"


def prior_lease_timeout_s(longest_lease_s: float) -> float:
    """Return for how long runs of an earlier coordinator may go on.

    That coordinator may be cut off and extend leases until its own lease at
    the store lapses, also when it refuses connections.
    """
    return LEASE_TTL_S + longest_lease_s / (1 - CLOCK_DRIFT) + LAPSE_MARGIN_S
