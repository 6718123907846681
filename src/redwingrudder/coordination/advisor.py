"""Sends the coordinator's requests to the advice service."""

import logging

from .._background import pause, run
from ..actors import Actor, ActorSystem, Handler
from ..exceptions import RedwingrudderError, UnavailableError
from ..workflows.model import AskAdvice, TaskKey
from .gateways import ADVISOR, COORDINATOR, AdviceService
from .messages import AdviceGiven

RETRY_DELAY_S = 0.25  # delay before a failed request is reported to the engine

_logger = logging.getLogger(__name__)


class Advisor(Actor):
    """Actor that owns the connection to the advice service.

    Args:
        system: The node's actor system.
        service: Decides which workers may run tasks of the queues that need
            advice; None if no advice service is configured.
    """

    def __init__(self, system: ActorSystem, service: AdviceService | None) -> None:
        self._service = service
        super().__init__(system, ADVISOR)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {AskAdvice: lambda m: run(self._ask_service(m), self.name) and None}

    async def _ask_service(self, request: AskAdvice) -> None:
        asked_at = self.system.clock.seconds()
        advice = None
        step_key = TaskKey(request.workflow_id, request.occurrence, request.step, 0)
        try:
            if self._service is None:
                raise UnavailableError("no advice service is configured")
            advice = await self._service.ask(step_key, request.worker_ids)
        except RedwingrudderError as error:
            _logger.info(
                "request to the advice service failed",
                extra={"job": request.workflow_id, "error": str(error)},
            )
            # The engine may send the request again once it gets the result.
            await pause(self.system.clock, RETRY_DELAY_S)
        except Exception:
            _logger.exception(
                "request to the advice service failed unexpectedly",
                extra={"job": request.workflow_id},
            )
            await pause(self.system.clock, RETRY_DELAY_S)
        self.tell(COORDINATOR, AdviceGiven(request, advice, asked_at))
