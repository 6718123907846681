"""Client of the platform's advice service."""

from .._checked_json import Fields
from ..coordination.gateways import Advice, AdviceService
from ..exceptions import OverloadedError, UnavailableError
from ..workflows.model import TaskKey
from .http_client import JsonClient

MAX_IDLE_CONNECTIONS = 1  # the service handles one call of a node at a time
OVERLOAD_RETRY_AFTER_S = 0.5


class PlatformAdvice(AdviceService):
    """Asks the advice service which workers may run a step.

    The service answers the requests of a node one after the other.

    Args:
        client: HTTP client for the address of the service.
    """

    def __init__(self, client: JsonClient) -> None:
        self._client = client

    async def ask(
        self, step: TaskKey, worker_ids: tuple[str, ...], timeout_s: float
    ) -> Advice:
        """See base class."""
        step_name = f"{step.workflow_id}.{step.occurrence}.{step.step}"
        body = {"step": step_name, "workers": list(worker_ids)}
        reply = await self._client.call(
            "POST", "/redwingrudder/advise", body, timeout_s
        )
        if reply.status == 429:
            raise OverloadedError(
                "the advice service answered 429: too many requests are waiting",
                retry_after_s=OVERLOAD_RETRY_AFTER_S,
            )
        if reply.status != 200:
            raise UnavailableError(f"the advice service answered {reply.status}")
        try:
            body = Fields(reply.body, "reply")
            tickets = {row.text(0): row.text(1) for row in body.rows("allowed")}
            return Advice(tickets, body.seconds("validMs"))
        except ValueError as error:
            raise UnavailableError(
                f"malformed reply of the advice service: {error}"
            ) from error
