"""Model of an advice service that takes time for each call."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from ..coordination.gateways import Advice, AdviceService
from ..exceptions import OutcomeUnknownError, OverloadedError
from ..workflows.model import TaskKey

MAX_WAITING_CALLS = 32  # beyond the one that is handled
OVERLOAD_RETRY_AFTER_S = 0.5


class AdviceCall(NamedTuple):
    """A call of the service.

    Attributes:
        step: The step, as the key of its first task.
        worker_ids: The workers that it names.
        sent_at: Time at which it was sent, in clock seconds.
        reply: Fires with the reply or an error.
    """

    step: TaskKey
    worker_ids: tuple[str, ...]
    sent_at: float
    reply: Deferred


class AdviceModel(AdviceService):
    """Handles the calls of one node one at a time, in turn.

    A call that its caller has given up still takes its turn. Tickets are
    valid from the reply on.

    Args:
        clock: Clock of the simulation.
        decision_s: Time of a call in seconds.
        period_s: Additional time for each worker that is named, in seconds.
        valid_s: Validity of tickets in seconds.
        is_allowed: Whether a worker may run a step.

    Attributes:
        calls: All calls that were handled, in their order.
        most_waiting: Largest number of calls that waited at a time, the one
            that is handled included.
        stands_still_until: Clock seconds until which no call is handled.
        error: Raised in place of a reply at the end of each call, None for
            replies.
    """

    def __init__(
        self,
        clock: IReactorTime,
        decision_s: float,
        period_s: float,
        valid_s: float,
        is_allowed: Callable[[TaskKey, str], bool] = lambda step, worker_id: True,
    ) -> None:
        self._clock = clock
        self._decision_s = decision_s
        self._period_s = period_s
        self._valid_s = valid_s
        self._is_allowed = is_allowed
        self._waiting: deque[AdviceCall] = deque()
        self._busy = False
        self._ends_at_by_ticket: dict[str, float] = {}
        self.calls: list[AdviceCall] = []
        self.most_waiting = 0
        self.stands_still_until = 0.0
        self.error: Exception | None = None

    async def ask(
        self, step: TaskKey, worker_ids: tuple[str, ...], timeout_s: float
    ) -> Advice:
        """See base class."""
        if len(self._waiting) >= MAX_WAITING_CALLS:
            raise OverloadedError(
                "too many calls are waiting", retry_after_s=OVERLOAD_RETRY_AFTER_S
            )
        call = AdviceCall(
            step._replace(index=0), worker_ids, self._clock.seconds(), Deferred()
        )
        limit = self._clock.callLater(timeout_s, self._give_up, call)
        self._waiting.append(call)
        self.most_waiting = max(self.most_waiting, len(self._waiting))
        self._handle_next()
        try:
            return await call.reply
        finally:
            if limit.active():
                limit.cancel()

    def is_valid(self, ticket: str, key: TaskKey, worker_id: str) -> bool:
        """Return whether a ticket holds for a start on a worker now."""
        step_key = key._replace(index=0)
        issued_for = ticket.rpartition("/")[0] == _ticket_name(step_key, worker_id)
        ends_at = self._ends_at_by_ticket.get(ticket, 0.0)
        return issued_for and self._clock.seconds() <= ends_at

    def _give_up(self, call: AdviceCall) -> None:
        if not call.reply.called:
            call.reply.errback(OutcomeUnknownError("no reply in time"))

    def _handle_next(self) -> None:
        if self._busy or not self._waiting:
            return
        self._busy = True
        call = self._waiting.popleft()
        call_s = self._decision_s + self._period_s * len(call.worker_ids)
        idle_s = max(self.stands_still_until - self._clock.seconds(), 0.0)
        self._clock.callLater(idle_s + call_s, self._reply, call)

    def _reply(self, call: AdviceCall) -> None:
        self._busy = False
        self.calls.append(call)
        if not call.reply.called:
            if self.error is not None:
                call.reply.errback(self.error)
            else:
                call.reply.callback(Advice(self._issue(call), self._valid_s))
        self._handle_next()

    def _issue(self, call: AdviceCall) -> dict[str, str]:
        now = self._clock.seconds()
        ticket_by_worker = {
            worker_id: f"{_ticket_name(call.step, worker_id)}/{now}"
            for worker_id in call.worker_ids
            if self._is_allowed(call.step, worker_id)
        }
        for ticket in ticket_by_worker.values():
            self._ends_at_by_ticket[ticket] = now + self._valid_s
        return ticket_by_worker


def _ticket_name(step: TaskKey, worker_id: str) -> str:
    return f"{step.workflow_id}.{step.occurrence}.{step.step}/{worker_id}"
