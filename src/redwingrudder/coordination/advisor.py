"""Sends the coordinator's requests to the advice service."""

import logging

from .._background import pause, run
from .._chart_runner import ChartRunner
from ..actors import Actor, ActorSystem, Handler
from ..exceptions import OverloadedError, RedwingrudderError, UnavailableError
from ..statecharts import load_chart
from ..workflows.advice import Tickets
from ..workflows.model import AskAdvice, TaskKey
from .gateways import ADVISOR, COORDINATOR, AdviceService
from .messages import AdviceGiven

# Time limit of a call beyond the time that the service is expected to take.
TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.25  # delay before a failed request is reported
MAX_RETRY_DELAY_S = 2.0

_EVENTS = frozenset({"requested", "ended"})
_ACTIONS = frozenset({"call", "hold", "release_held"})
_CHART = load_chart("advisor", _EVENTS, _ACTIONS)
_logger = logging.getLogger(__name__)


class Advisor(Actor):
    """Actor that owns the connection to the advice service.

    One call is under way at a time: further ones would wait inside the
    service, where they can be neither reordered nor withdrawn. A request that
    arrives during a call, as from a new term, waits for its end; a still newer
    one takes its place.

    Args:
        system: The node's actor system.
        service: Decides which workers may run tasks of the queues that need
            advice; None if no advice service is configured.
    """

    def __init__(self, system: ActorSystem, service: AdviceService | None) -> None:
        self._service = service
        self._held: AskAdvice | None = None
        self._chart = ChartRunner(
            _CHART,
            {
                "call": lambda request: run(self._call(request), self.name),
                "hold": self._hold,
                "release_held": lambda _: self._release_held(),
            },
        )
        super().__init__(system, ADVISOR)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {AskAdvice: lambda request: self._chart.step("requested", request)}

    def _hold(self, request: AskAdvice) -> None:
        replaced, self._held = self._held, request
        if replaced is not None:
            self.tell(COORDINATOR, AdviceGiven(replaced, None))

    def _release_held(self) -> None:
        request, self._held = self._held, None
        if request is not None:
            self._chart.step("requested", request)

    async def _call(self, request: AskAdvice) -> None:
        """Send a request, and report its outcome to COORDINATOR."""
        tickets = await self._ask_service(request)
        self._chart.step("ended")
        self.tell(COORDINATOR, AdviceGiven(request, tickets))

    async def _ask_service(self, request: AskAdvice) -> Tickets | None:
        """Return the reply, None after an error and a delay."""
        sent_at = self.system.clock.seconds()
        step_key = TaskKey(request.workflow_id, request.occurrence, request.step, 0)
        retry_delay_s = RETRY_DELAY_S
        try:
            if self._service is None:
                raise UnavailableError("no advice service is configured")
            advice = await self._service.ask(
                step_key, request.worker_ids, TIMEOUT_S + request.call_s
            )
            received_at = self.system.clock.seconds()
            return Tickets(advice.tickets, advice.valid_s, sent_at, received_at)
        except RedwingrudderError as error:
            if isinstance(error, OverloadedError):
                retry_delay_s = error.retry_after_s or RETRY_DELAY_S
            _logger.info(
                "request to the advice service failed",
                extra={"job": request.workflow_id, "error": str(error)},
            )
        except Exception:
            _logger.exception(
                "request to the advice service failed unexpectedly",
                extra={"job": request.workflow_id},
            )
        await pause(self.system.clock, min(retry_delay_s, MAX_RETRY_DELAY_S))
        return None
