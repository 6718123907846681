"""Asks the advice service on behalf of the coordinator."""

import logging

from .._background import pause, run
from ..actors import Actor, ActorSystem, Handler
from ..exceptions import RedwingrudderError, UnavailableError
from ..workflows.model import AskAdvice, TaskKey
from .gateways import ADVISOR, COORDINATOR, AdviceService
from .messages import AdviceGiven

RETRY_S = 0.25  # until an unanswered question may be asked again

_logger = logging.getLogger(__name__)


class Advisor(Actor):
    """Owns the connection to the advice service.

    Args:
        system: The node's actors.
        service: Permits starts of some queues; None if there is none.
    """

    def __init__(self, system: ActorSystem, service: AdviceService | None) -> None:
        self._service = service
        super().__init__(system, ADVISOR)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {AskAdvice: lambda m: run(self._ask_service(m), self.name) and None}

    async def _ask_service(self, question: AskAdvice) -> None:
        asked_at = self.system.clock.seconds()
        advice = None
        step = TaskKey(question.workflow_id, question.occurrence, question.step, 0)
        try:
            if self._service is None:
                raise UnavailableError("no advice service is configured")
            advice = await self._service.ask(step, question.worker_ids)
        except RedwingrudderError as error:
            _logger.info(
                "advice unanswered",
                extra={"job": question.workflow_id, "error": str(error)},
            )
            await pause(self.system.clock, RETRY_S)
        self.tell(COORDINATOR, AdviceGiven(question, advice, asked_at))
