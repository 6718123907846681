"""The platform's advice service."""

from ..coordination.gateways import Advice, AdviceService
from ..exceptions import OverloadedError, UnavailableError
from ..workflows.model import TaskKey
from .http_client import JsonClient

CONNECTIONS = 1  # the service handles one call of a node at a time
TIMEOUT_S = 5.0  # a question about many workers takes seconds


class PlatformAdvice(AdviceService):
    """Asks the service; it answers in turn.

    Args:
        client: Connections to it.
    """

    def __init__(self, client: JsonClient) -> None:
        self._client = client

    async def ask(self, step: TaskKey, worker_ids: tuple[str, ...]) -> Advice:
        """See base class."""
        name = f"{step.workflow_id}.{step.occurrence}.{step.step}"
        body = {"step": name, "workers": list(worker_ids)}
        reply = await self._client.call(
            "POST", "/redwingrudder/advise", body, TIMEOUT_S
        )
        if reply.status == 429:
            raise OverloadedError("too many questions wait", retry_after_s=0.5)
        if reply.status != 200:
            raise UnavailableError(f"the advice service answered {reply.status}")
        try:
            tickets = {row[0]: str(row[1]) for row in reply.body["allowed"]}
            return Advice(tickets, reply.body["validMs"] / 1000)
        except (KeyError, TypeError, IndexError) as error:
            raise UnavailableError(f"unreadable advice: {error!r}") from error
