"""HTTP client for the JSON services of the platform."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.interfaces import IReactorTCP

from .._checked_json import parse_json
from .._http_client import HttpClient
from ..exceptions import OutcomeUnknownError

CONNECT_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 20.0  # shorter than the idle timeout of the servers


class JsonReply(NamedTuple):
    """An HTTP response; ``body`` is {} when the response has no content."""

    status: int
    body: dict[str, Any]


class JsonClient:
    """Sends JSON requests to one address.

    Args:
        reactor: The Twisted reactor.
        address: "host:port" of the server.
        connections: Maximum number of idle connections that are kept open.
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
        transfer_s: float = 0.0,
        on_progress: Callable[[], None] | None = None,
        may_send: Callable[[], bool] | None = None,
    ) -> JsonReply:
        """Send a request and return the reply, whatever its status.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Sent as JSON; None sends no content.
            timeout_s: Seconds to wait for the reply to begin.
            headers: Additional HTTP headers.
            transfer_s: Additional seconds for a reply that keeps arriving.
            on_progress: Called for each part of the reply's body.
            may_send: Evaluated immediately before a request with a body is
                written; it is not sent if this returns False.

        Raises:
            UnavailableError: The request was not sent.
            OutcomeUnknownError: The request was sent, but no reply arrived
                in time, or the reply is not a JSON object.
        """
        content = None
        if body is not None:
            content = json.dumps(body, separators=(",", ":")).encode()
        response = await self._client.send(
            method,
            self._base + path,
            content,
            timeout_s,
            headers,
            transfer_s,
            on_progress,
            may_send,
        )
        try:
            document = parse_json(response.content) if response.content.strip() else {}
            if not isinstance(document, dict):
                raise ValueError("the reply is not a JSON object")
        except ValueError as error:
            raise OutcomeUnknownError(f"malformed reply to {path}: {error}") from error
        return JsonReply(response.status, document)

    def reset(self) -> None:
        """Close idle connections, whose peer may be unreachable by now."""
        self._client.reset()
