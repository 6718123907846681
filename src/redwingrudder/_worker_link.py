"""The actor that links a domain's owner to one worker."""

from collections.abc import Callable, Coroutine

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
    Expectation,
    Signal,
    read_claim,
    read_command,
    read_poll,
    read_probe,
)
from ._worker_transport import WorkerAnswer, WorkerTransport
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

POLL_SHARE = 1 / 3  # of the lease: the longest wait of a poll
TIMEOUT_SHARE = 1 / 6  # of the lease: leaves time for probes before it lapses
CLAIM_TIMEOUT_S = 2.0
COMMAND_TIMEOUT_S = 5.0
POLL_MARGIN_S = 3.0  # a poll without answer this long after its wait failed
LAPSE_MARGIN_S = 1.0  # for a worker whose clock runs slower
OUTBOX_RETRY_S = 0.1  # when the mailbox of the dispatcher is full

_PROBE_TIMER = "probe"
_LAPSE_TIMER = "lapse"
_OUTBOX_TIMER = "outbox"
_RETRY_TIMER = "retry:"  # followed by the gang id

_PROBE_PATH = "/v1/state"

_Read = Callable[[WorkerAnswer, Expectation], Signal]


class WorkerLink(Actor):
    """Claims one worker, renews its lease and carries commands to it.

    The worker counts as lost ``lease_s`` and a margin after the last command
    was sent to it, answered or not, so it has stopped its tasks by then.
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
        self._claims_unseen = 0
        self._draining_told = False
        self._failures = 0
        # Replies to requests of an earlier call or claim are ignored.
        self._call_number = 0
        self._session = 0
        self._log = LinkLog(settings.worker_id)
        self._queue = CommandQueue()
        self._outbox = Outbox(system, DISPATCHER)
        self._calls: set[Deferred] = set()
        self._actions_by_name: dict[str, Callable[[Signal], None]] = {
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
            ReserveMember: self._take_command,
            StartMember: self._take_command,
            ReleaseMember: self._take_command,
            StopMember: self._take_command,
            ClaimHandled: self._see_claim,
            EpochRaised: self._raise_epoch,
            CloseLink: self._close,
            TimerFired: self._fire,
        }

    def start(self) -> None:
        """Claim the worker."""
        self._claim()
        self._watch_lease()

    def stop(self) -> None:
        """End the link; the worker and its tasks are left alone."""
        if self._state not in CHART.final_states:
            self._step(Signal("close"))
        for call in list(self._calls):
            call.cancel()

    def _now(self) -> float:
        return self.system.clock.seconds()

    def _step(self, signal: Signal) -> None:
        transition = CHART.step(self._state, signal.event)
        self._state = transition.target
        for action in transition.actions:
            self._actions_by_name[action](signal)
        if self._state in CHART.final_states:
            self._end()

    def _end(self) -> None:
        self._call_number += 1
        self._session += 1
        timers = [_PROBE_TIMER, _LAPSE_TIMER, _OUTBOX_TIMER]
        timers += [_RETRY_TIMER + gang_id for gang_id in self._queue.gang_ids()]
        for timer in timers:
            self.tell(TIMERS, Unsubscribe(self.name, timer))
        self.system.unregister(self)

    def _fire(self, fired: TimerFired) -> None:
        if self._state in CHART.final_states:
            return
        if fired.timer == _PROBE_TIMER:
            self._step(Signal("probe_due"))
        elif fired.timer == _LAPSE_TIMER:
            self._check_lapse()
        elif fired.timer == _OUTBOX_TIMER:
            self._flush_outbox()
        else:
            self._queue.retry(fired.timer.removeprefix(_RETRY_TIMER))
            self._send_commands()

    # Claims, polls and probes: at most one of them awaits an answer.

    def _claim(self, _: Signal | None = None) -> None:
        request = ClaimRequest(
            epoch=list(self._epoch),
            node_id=self._settings.node_id,
            lease_s=self._settings.lease_s,
        )
        self._call("/v1/claim", request, self._timeout_s(CLAIM_TIMEOUT_S), read_claim)

    def _poll(self, _: Signal | None = None) -> None:
        wait_s = self._settings.lease_s * POLL_SHARE
        request = PollRequest(
            epoch=list(self._epoch), after=self._sequence, wait_s=wait_s
        )
        timeout_s = wait_s + self._timeout_s(POLL_MARGIN_S)
        self._call("/v1/poll", request, timeout_s, read_poll)

    def _probe(self, _: Signal) -> None:
        self._call(_PROBE_PATH, None, self._timeout_s(CLAIM_TIMEOUT_S), read_probe)

    def _call(self, path: str, body: object, timeout_s: float, read: _Read) -> None:
        self._call_number += 1
        self._run(self._await_call(self._call_number, path, body, timeout_s, read))

    async def _await_call(
        self, number: int, path: str, body: object, timeout_s: float, read: _Read
    ) -> None:
        try:
            answer = await self._send(path, body, timeout_s)
            signal = read(answer, self._expectation())
        except UnavailableError as error:
            signal = self._note_failure(path, error)
        if number != self._call_number:
            return
        if signal.event in ("claimed", "polled"):
            self._failures = 0
            self.tell(TIMERS, Unsubscribe(self.name, _LAPSE_TIMER))
        self._step(signal)

    async def _send(self, path: str, body: object, timeout_s: float) -> WorkerAnswer:
        address = self._settings.address
        if path == _PROBE_PATH:
            return await self._transport.get(address, path, timeout_s)
        self._renewal_sent_at = self._now()
        return await self._transport.post(address, path, body, timeout_s)

    def _timeout_s(self, longest_s: float) -> float:
        return min(longest_s, self._settings.lease_s * TIMEOUT_SHARE)

    # Actions of the chart.

    def _report_claimed(self, signal: Signal) -> None:
        if signal.claim is None or signal.report is None:
            return
        self._boot_id = signal.claim["boot_id"]
        self._sequence = signal.claim["sequence"]
        self._draining_told = signal.report.draining
        self._claims_unseen += 1
        self._tell_event(WorkerClaimed(signal.report))

    def _deliver_events(self, signal: Signal) -> None:
        if signal.poll is None:
            return
        self._note_draining(signal.poll["draining"])
        for body in signal.poll["events"]:
            if body["sequence"] > self._sequence:
                self._sequence = body["sequence"]
                result = codec.result_from_body(body)
                worker_id = self._settings.worker_id
                self._tell_event(TaskEnded(body["gang_id"], worker_id, result))

    def _report_lost(self, signal: Signal) -> None:
        self._session += 1
        for gang_id in self._queue.gang_ids():
            self.tell(TIMERS, Unsubscribe(self.name, _RETRY_TIMER + gang_id))
        self._queue = CommandQueue()
        self._boot_id = ""
        self._failures = 0
        self.tell(TIMERS, Unsubscribe(self.name, _LAPSE_TIMER))
        self._tell_event(WorkerLost(self._settings.worker_id, signal.event))

    def _report_fenced(self, signal: Signal) -> None:
        self.tell(OWNERSHIP, Fenced(self._epoch, signal.highest))

    def _watch_lease(self, _: Signal | None = None) -> None:
        delay_s = self._lapse_at() - self._now()
        self.tell(TIMERS, Subscribe(self.name, _LAPSE_TIMER, delay_s))

    def _lapse_at(self) -> float:
        return self._renewal_sent_at + self._settings.lease_s + LAPSE_MARGIN_S

    def _check_lapse(self) -> None:
        if self._now() < self._lapse_at():
            self._watch_lease()
        else:
            self._step(Signal("lease_lapsed"))

    def _retry_probe(self, _: Signal) -> None:
        self._failures += 1
        delay_s = backoff_s(self._failures)
        self.tell(TIMERS, Subscribe(self.name, _PROBE_TIMER, delay_s))

    def _resume_commands(self, _: Signal) -> None:
        for gang_id in self._queue.gang_ids():
            self._queue.retry(gang_id)
        self._send_commands()

    # Messages of the dispatcher.

    def _see_claim(self, _: ClaimHandled) -> None:
        self._claims_unseen -= 1

    def _raise_epoch(self, raised: EpochRaised) -> None:
        if raised.epoch > self._epoch and self._state not in CHART.final_states:
            self._epoch = raised.epoch
            self._step(Signal("epoch_raised"))

    def _close(self, _: CloseLink) -> None:
        self.stop()

    def _take_command(self, command: Command) -> None:
        if not self._boot_id or self._claims_unseen:
            # WorkerLost has been told and settles this command.
            self._log.dropped(command)
            return
        if self._queue.add(command):
            self._send_commands()
            return
        refusal = refusal_of(command, self._settings.worker_id, OVERLOADED_CODE)
        if refusal is not None:
            self._tell_event(refusal)

    # Commands in flight.

    def _send_commands(self) -> None:
        while self._state == "linked":
            pending = self._queue.take()
            if pending is None:
                return
            self._run(self._call_command(pending, self._session))

    async def _call_command(self, pending: PendingCommand, session: int) -> None:
        command = pending.command
        path = path_of(command)
        try:
            body = body_of(command, self._epoch)
            timeout_s = self._timeout_s(COMMAND_TIMEOUT_S)
            answer = await self._send(path, body, timeout_s)
            if session == self._session:
                self._settle_command(pending, answer)
        except UnavailableError as error:
            self._note_failure(path, error)
            if session == self._session:
                self._postpone(command.gang_id)
        if session == self._session:
            self._send_commands()

    def _settle_command(self, pending: PendingCommand, answer: WorkerAnswer) -> None:
        reply = read_command(answer, self._expectation())
        if isinstance(reply, Signal):
            self._step(reply)
            return
        if not reply["accepted"]:
            self._log.refusal(pending.command, reply.get("code", ""))
        worker_id = self._settings.worker_id
        self._queue.settle(pending.command.gang_id)
        event = answer_of(pending, worker_id, reply)
        if event is not None:
            self._tell_event(event)
        self._note_draining(reply["draining"])

    def _postpone(self, gang_id: str) -> None:
        delay_s = backoff_s(self._queue.postpone(gang_id))
        self.tell(TIMERS, Subscribe(self.name, _RETRY_TIMER + gang_id, delay_s))

    # Helpers.

    def _expectation(self) -> Expectation:
        settings = self._settings
        return Expectation(
            settings.worker_id, settings.address, self._epoch, self._boot_id
        )

    def _run(self, call: Coroutine) -> None:
        running = ensureDeferred(call)
        running.addErrback(self._log.fault)
        self._calls.add(running)
        running.addBoth(lambda _: self._calls.discard(running))

    def _note_draining(self, draining: bool) -> None:
        if draining and not self._draining_told:
            self._draining_told = True
            self._tell_event(WorkerDraining(self._settings.worker_id))

    def _tell_event(self, event: Event) -> None:
        self._outbox.add(LinkEvent(self._settings.number, event))
        self._flush_outbox()

    def _flush_outbox(self) -> None:
        if not self._outbox.flush():
            self.tell(TIMERS, Subscribe(self.name, _OUTBOX_TIMER, OUTBOX_RETRY_S))

    def _note_failure(self, path: str, error: UnavailableError) -> Signal:
        if self._state not in CHART.final_states:
            self._log.failure(path, error)
        return Signal("unreachable")
