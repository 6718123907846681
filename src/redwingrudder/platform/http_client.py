"""JSON calls to one address of the platform."""

import json
from typing import Any, NamedTuple

from twisted.internet.interfaces import IReactorTCP

from .._http_client import HttpClient
from ..exceptions import OutcomeUnknownError

CONNECT_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 20.0  # below the time after which servers close


class JsonReply(NamedTuple):
    """An answer; ``body`` is {} when it has none."""

    status: int
    body: dict[str, Any]


class JsonClient:
    """Sends JSON to one address.

    Args:
        reactor: Provides connections.
        address: "host:port".
        connections: Idle connections that are kept.
    """

    def __init__(self, reactor: IReactorTCP, address: str, connections: int) -> None:
        self._base = f"http://{address}"
        self._client = HttpClient(
            reactor, connections, CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S
        )

    async def call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> JsonReply:
        """Send a request and return the answer.

        Raises:
            UnavailableError: The request was surely not sent.
            OutcomeUnknownError: It was sent, and no answer that can be read
                arrived in time.
        """
        content = None
        if body is not None:
            content = json.dumps(body, separators=(",", ":")).encode()
        answer = await self._client.send(
            method, self._base + path, content, timeout_s, headers
        )
        try:
            document = json.loads(answer.content) if answer.content.strip() else {}
            if not isinstance(document, dict):
                raise ValueError("the answer is not an object")
        except ValueError as error:
            raise OutcomeUnknownError(f"{path}: {error}") from error
        return JsonReply(answer.status, document)

    def reset(self) -> None:
        """Drop idle connections, which may have gone silent."""
        self._client.reset()
