"""Actor that connects the owner of a failure domain to one worker."""

from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred, ensureDeferred

from . import _worker_codec as codec
from ._worker_chart import CHART
from ._worker_commands import (
    OVERLOADED_CODE,
    Command,
    CommandQueue,
    PendingCommand,
    answer_of,
    backoff_s,
    body_of,
    is_refusable,
    path_of,
    refusal_of,
)
from ._worker_log import LinkLog
from ._worker_messages import (
    ClaimHandled,
    CloseLink,
    LinkEvent,
    LinkSettings,
    link_name,
)
from ._worker_outbox import Outbox
from ._worker_replies import (
    ChartEvent,
    Expectation,
    read_claim,
    read_command,
    read_poll,
    read_probe,
)
from ._worker_transport import WorkerResponse, WorkerTransport
from .actors import Actor, ActorSystem, Handler
from .exceptions import UnavailableError
from .messages import (
    Event,
    ReleaseMember,
    ReserveMember,
    StartMember,
    StopMember,
    TaskEnded,
    WorkerClaimed,
    WorkerDraining,
    WorkerLost,
)
from .requests import DISPATCHER, OWNERSHIP, EpochRaised, Fenced
from .timers import TIMERS, Subscribe, TimerFired, Unsubscribe
from .worker_api import ClaimRequest, PollRequest

# Shares of the lease duration. The time-outs are short enough that probes can
# still be sent before the lease lapses.
POLL_WAIT_LEASE_SHARE = 1 / 3
TIMEOUT_LEASE_SHARE = 1 / 6
CLAIM_TIMEOUT_S = 2.0
COMMAND_TIMEOUT_S = 5.0
POLL_ANSWER_MARGIN_S = 3.0  # time for the reply once the wait of a long poll ends
LAPSE_MARGIN_S = 1.0  # allows for a worker whose clock runs slower
OUTBOX_RETRY_S = 0.1  # while the mailbox of the dispatcher is full
CLOCK_DIGITS = 3  # times of a worker's clock are told in milliseconds

_PROBE_TIMER = "probe"
_LAPSE_TIMER = "lapse"
_OUTBOX_TIMER = "outbox"
_RETRY_TIMER = "retry:"  # followed by the gang id

_CLAIM_PATH = "/v1/claim"
_PROBE_PATH = "/v1/state"


class _ClockReading(NamedTuple):
    """Time of a worker's clock, and of the node's clock when it was received.

    Both are in seconds.
    """

    worker_s: float
    received_at: float


_ReplyReader = Callable[[WorkerResponse, Expectation], ChartEvent]


class WorkerLink(Actor):
    """Claims one worker, renews its lease and sends commands to it.

    Every command renews the lease, even when its reply is lost. A worker that
    does not answer therefore counts as lost only ``lease_s`` plus
    ``LAPSE_MARGIN_S`` after the last command was sent to it. By then its
    lease has lapsed and it has stopped its tasks, even if it executes a
    command late: each one tells the time on the worker's clock at which the
    lease that it renews ends.

    Args:
        system: The actors of the node.
        settings: The worker, the epoch and the lease duration.
        transport: Sends the requests.
    """

    def __init__(
        self, system: ActorSystem, settings: LinkSettings, transport: WorkerTransport
    ) -> None:
        self._settings = settings
        self._transport = transport
        self._epoch = settings.epoch
        self._state = CHART.initial
        self._boot_id = ""
        self._sequence = 0
        self._renewal_sent_at = system.clock.seconds()
        self._clock_reading: _ClockReading | None = None
        self._unhandled_claims = 0
        self._draining_reported = False
        self._failures_in_a_row = 0
        # The reply to a call is ignored when a later call was started. The
        # reply to a command is ignored when its queue was replaced.
        self._call_number = 0
        self._queue_generation = 0
        self._log = LinkLog(settings.worker_id)
        self._queue = CommandQueue()
        self._outbox = Outbox(system, DISPATCHER)
        self._calls_in_progress: set[Deferred] = set()
        self._actions_by_name: dict[str, Callable[[ChartEvent], None]] = {
            "claim": self._claim,
            "report_claimed": self._report_claimed,
            "poll": self._poll,
            "probe": self._probe,
            "retry_probe": self._retry_probe,
            "report_fenced": self._report_fenced,
            "report_lost": self._report_lost,
            "deliver_events": self._deliver_events,
            "watch_lease": self._watch_lease,
            "resume_commands": self._resume_commands,
        }
        super().__init__(system, link_name(settings.worker_id))

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            ReserveMember: self._queue_command,
            StartMember: self._queue_command,
            ReleaseMember: self._queue_command,
            StopMember: self._queue_command,
            ClaimHandled: self._claim_handled,
            EpochRaised: self._raise_epoch,
            CloseLink: self._close,
            TimerFired: self._timer_fired,
        }

    def start(self) -> None:
        """Send the first probe and start the lease timer."""
        self._step(ChartEvent("probe_due"))
        self._watch_lease()

    def stop(self) -> None:
        """Close the link and cancel its requests.

        Nothing is sent to the worker; its tasks run on until its lease
        lapses or another node claims it.
        """
        if self._state not in CHART.final_states:
            self._step(ChartEvent("close"))
        for call in list(self._calls_in_progress):
            call.cancel()

    def _now(self) -> float:
        return self.system.clock.seconds()

    def _step(self, chart_event: ChartEvent) -> None:
        transition = CHART.step(self._state, chart_event.name)
        self._state = transition.target
        for action in transition.actions:
            self._actions_by_name[action](chart_event)
        if self._state in CHART.final_states:
            self._end()

    def _end(self) -> None:
        self._call_number += 1
        self._queue_generation += 1
        timers = [_PROBE_TIMER, _LAPSE_TIMER, _OUTBOX_TIMER]
        timers += [_RETRY_TIMER + gang_id for gang_id in self._queue.gang_ids()]
        for timer in timers:
            self.tell(TIMERS, Unsubscribe(self.name, timer))
        self.system.unregister(self)

    def _timer_fired(self, fired: TimerFired) -> None:
        if self._state in CHART.final_states:
            return
        if fired.timer == _PROBE_TIMER:
            self._step(ChartEvent("probe_due"))
        elif fired.timer == _LAPSE_TIMER:
            self._check_lease()
        elif fired.timer == _OUTBOX_TIMER:
            self._flush_outbox()
        else:
            self._queue.make_ready(fired.timer.removeprefix(_RETRY_TIMER))
            self._send_commands()

    # Claims, polls and probes. Only the reply to the latest of them is used.

    def _claim(self, _: ChartEvent) -> None:
        request = ClaimRequest(
            epoch=list(self._epoch),
            node_id=self._settings.node_id,
            lease_s=self._settings.lease_s,
        )
        self._call(_CLAIM_PATH, request, self._timeout_s(CLAIM_TIMEOUT_S), read_claim)

    def _poll(self, _: ChartEvent | None = None) -> None:
        wait_s = self._settings.lease_s * POLL_WAIT_LEASE_SHARE
        request = PollRequest(
            epoch=list(self._epoch), after=self._sequence, wait_s=wait_s
        )
        timeout_s = wait_s + self._timeout_s(POLL_ANSWER_MARGIN_S)
        self._call("/v1/poll", request, timeout_s, read_poll)

    def _probe(self, _: ChartEvent) -> None:
        self._call(_PROBE_PATH, None, self._timeout_s(CLAIM_TIMEOUT_S), read_probe)

    def _call(
        self, path: str, body: object, timeout_s: float, read_reply: _ReplyReader
    ) -> None:
        self._call_number += 1
        self._run(
            self._await_call(self._call_number, path, body, timeout_s, read_reply)
        )

    async def _await_call(
        self,
        call_number: int,
        path: str,
        body: object,
        timeout_s: float,
        read_reply: _ReplyReader,
    ) -> None:
        try:
            response = await self._send(path, body, timeout_s)
            chart_event = read_reply(response, self._expectation())
        except UnavailableError as error:
            chart_event = self._handle_failed_call(path, error)
        if call_number != self._call_number:
            return
        self._read_clock(chart_event)
        if chart_event.name in ("claimed", "polled"):
            self._failures_in_a_row = 0
            self.tell(TIMERS, Unsubscribe(self.name, _LAPSE_TIMER))
        self._step(chart_event)

    async def _send(self, path: str, body: Any, timeout_s: float) -> WorkerResponse:
        address = self._settings.address
        if path == _PROBE_PATH:
            return await self._transport.get(address, path, timeout_s)
        if path != _CLAIM_PATH:
            body = {**body, "boot_id": self._boot_id}
        self._renewal_sent_at = self._now()
        reading = self._clock_reading
        if reading is not None:
            lease_end = self._renewal_sent_at + self._settings.lease_s
            lease_until_s = reading.worker_s + lease_end - reading.received_at
            body = {**body, "lease_until_s": round(lease_until_s, CLOCK_DIGITS)}
        return await self._transport.post(address, path, body, timeout_s)

    def _read_clock(self, chart_event: ChartEvent) -> None:
        reply = chart_event.poll or chart_event.claim
        if reply is not None and "clock_s" in reply:
            self._clock_reading = _ClockReading(reply["clock_s"], self._now())

    def _timeout_s(self, limit_s: float) -> float:
        return min(limit_s, self._settings.lease_s * TIMEOUT_LEASE_SHARE)

    # Actions of the state chart.

    def _report_claimed(self, chart_event: ChartEvent) -> None:
        if chart_event.claim is None or chart_event.report is None:
            return
        self._boot_id = chart_event.claim["boot_id"]
        self._sequence = chart_event.claim["sequence"]
        self._draining_reported = chart_event.report.draining
        self._unhandled_claims += 1
        self._send_event(WorkerClaimed(chart_event.report))

    def _deliver_events(self, chart_event: ChartEvent) -> None:
        if chart_event.poll is None:
            return
        self._report_draining(chart_event.poll["draining"])
        for body in chart_event.poll["events"]:
            if body["sequence"] > self._sequence:
                self._sequence = body["sequence"]
                result = codec.result_from_body(body)
                worker_id = self._settings.worker_id
                self._send_event(TaskEnded(body["gang_id"], worker_id, result))

    def _report_lost(self, chart_event: ChartEvent) -> None:
        self._queue_generation += 1
        for gang_id in self._queue.gang_ids():
            self.tell(TIMERS, Unsubscribe(self.name, _RETRY_TIMER + gang_id))
        self._queue = CommandQueue()
        self._boot_id = ""
        self._clock_reading = None
        self._failures_in_a_row = 0
        self.tell(TIMERS, Unsubscribe(self.name, _LAPSE_TIMER))
        self._send_event(WorkerLost(self._settings.worker_id, chart_event.name))

    def _report_fenced(self, chart_event: ChartEvent) -> None:
        self.tell(OWNERSHIP, Fenced(self._epoch, chart_event.highest_epoch))

    def _watch_lease(self, _: ChartEvent | None = None) -> None:
        delay_s = self._loss_time() - self._now()
        self.tell(TIMERS, Subscribe(self.name, _LAPSE_TIMER, delay_s))

    def _loss_time(self) -> float:
        return self._renewal_sent_at + self._settings.lease_s + LAPSE_MARGIN_S

    def _check_lease(self) -> None:
        if self._now() < self._loss_time():
            self._watch_lease()
        else:
            self._step(ChartEvent("lease_lapsed"))

    def _retry_probe(self, _: ChartEvent) -> None:
        self._failures_in_a_row += 1
        delay_s = backoff_s(self._failures_in_a_row)
        self.tell(TIMERS, Subscribe(self.name, _PROBE_TIMER, delay_s))

    def _resume_commands(self, _: ChartEvent) -> None:
        for gang_id in self._queue.gang_ids():
            self._queue.make_ready(gang_id)
        self._send_commands()

    # Messages from the dispatcher.

    def _claim_handled(self, _: ClaimHandled) -> None:
        self._unhandled_claims -= 1

    def _raise_epoch(self, raised: EpochRaised) -> None:
        if raised.epoch > self._epoch and self._state not in CHART.final_states:
            self._epoch = raised.epoch
            self._step(ChartEvent("epoch_raised"))

    def _close(self, _: CloseLink) -> None:
        self.stop()

    def _queue_command(self, command: Command) -> None:
        if not self._boot_id or self._unhandled_claims:
            # The dispatcher has been sent WorkerLost, which takes the place of
            # the answer to this command.
            self._log.dropped_command(command)
            return
        if self._queue.add(command):
            self._send_commands()
            return
        refusal_event = refusal_of(command, self._settings.worker_id, OVERLOADED_CODE)
        if refusal_event is not None:
            self._send_event(refusal_event)

    # Commands for gang members.

    def _send_commands(self) -> None:
        while self._state == "linked":
            pending = self._queue.take_next()
            if pending is None:
                return
            self._run(self._call_command(pending, self._queue_generation))

    async def _call_command(
        self, pending: PendingCommand, queue_generation: int
    ) -> None:
        command = pending.command
        path = path_of(command)
        try:
            body = body_of(command, self._epoch)
            timeout_s = self._timeout_s(COMMAND_TIMEOUT_S)
            response = await self._send(path, body, timeout_s)
            if queue_generation == self._queue_generation:
                self._handle_command_reply(pending, response)
        except UnavailableError as error:
            self._handle_failed_call(path, error)
            if queue_generation == self._queue_generation:
                self._schedule_command_retry(command.gang_id)
        if queue_generation == self._queue_generation:
            self._send_commands()

    def _handle_command_reply(
        self, pending: PendingCommand, response: WorkerResponse
    ) -> None:
        refusable = is_refusable(pending)
        reply = read_command(response, self._expectation(), refusable)
        if isinstance(reply, ChartEvent):
            self._step(reply)
            return
        if not reply["accepted"]:
            self._log.refused_command(pending.command, reply.get("code", ""))
        worker_id = self._settings.worker_id
        self._queue.remove_answered(pending.command.gang_id)
        event = answer_of(pending, worker_id, reply)
        if event is not None:
            self._send_event(event)
        self._report_draining(reply["draining"])

    def _schedule_command_retry(self, gang_id: str) -> None:
        delay_s = backoff_s(self._queue.postpone(gang_id))
        self.tell(TIMERS, Subscribe(self.name, _RETRY_TIMER + gang_id, delay_s))

    def _expectation(self) -> Expectation:
        settings = self._settings
        return Expectation(
            settings.worker_id, settings.address, self._epoch, self._boot_id
        )

    def _run(self, call: Coroutine) -> None:
        deferred = ensureDeferred(call)
        deferred.addErrback(self._log.unexpected_error)
        self._calls_in_progress.add(deferred)
        deferred.addBoth(lambda _: self._calls_in_progress.discard(deferred))

    def _report_draining(self, draining: bool) -> None:
        if draining and not self._draining_reported:
            self._draining_reported = True
            self._send_event(WorkerDraining(self._settings.worker_id))

    def _send_event(self, event: Event) -> None:
        self._outbox.add(LinkEvent(self._settings.number, event))
        self._flush_outbox()

    def _flush_outbox(self) -> None:
        if not self._outbox.flush():
            self.tell(TIMERS, Subscribe(self.name, _OUTBOX_TIMER, OUTBOX_RETRY_S))

    def _handle_failed_call(self, path: str, error: UnavailableError) -> ChartEvent:
        if self._state not in CHART.final_states:
            self._log.failed_call(path, error)
        return ChartEvent("unreachable")
