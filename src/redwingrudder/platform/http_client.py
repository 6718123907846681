"""HTTP client for JSON calls over persistent connections."""

import io
import json
from typing import Any, NamedTuple

from twisted.internet.defer import ensureDeferred
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.interfaces import IReactorTCP
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    RequestNotSent,
)
from twisted.web.http_headers import Headers

from .._http_body import BodyCollector
from .._http_endpoints import AddressEndpoints
from ..exceptions import OutcomeUnknownError, UnavailableError

CONNECT_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 20.0  # below the time after which servers close
REPLY_LIMIT_BYTES = 16 * 1024 * 1024
JSON_TYPE = b"application/json"


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
        self._reactor = reactor
        self._base = f"http://{address}".encode()
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = connections
        self._pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        # A repeated request could take effect twice; callers decide on it.
        self._pool.retryAutomatically = False
        endpoints = AddressEndpoints(reactor, CONNECT_TIMEOUT_S)
        self._agent = Agent.usingEndpointFactory(reactor, endpoints, self._pool)

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
            OutcomeUnknownError: It was sent, and no answer arrived in time.
        """
        exchange = ensureDeferred(self._exchange(method, path, body, headers or {}))
        exchange.addTimeout(timeout_s, self._reactor)
        try:
            return await exchange
        except (ConnectError, ConnectingCancelledError, RequestNotSent) as error:
            raise UnavailableError(f"{path}: {type(error).__name__}") from error
        except Exception as error:
            # The HTTP client raises many unrelated types for a broken
            # connection; all of them mean that there is no answer.
            raise OutcomeUnknownError(f"{path}: {type(error).__name__}") from error

    def reset(self) -> None:
        """Drop idle connections, which may have gone silent."""
        self._pool.closeCachedConnections()

    async def _exchange(
        self, method: str, path: str, body: dict[str, Any] | None, extra: dict[str, str]
    ) -> JsonReply:
        headers, producer = Headers(), None
        for name, value in extra.items():
            headers.addRawHeader(name.encode(), value.encode())
        if body is not None:
            headers.addRawHeader(b"Content-Type", JSON_TYPE)
            content = json.dumps(body, separators=(",", ":")).encode()
            producer = FileBodyProducer(io.BytesIO(content))
        url = self._base + path.encode("ascii")
        response = await self._agent.request(method.encode(), url, headers, producer)
        collector = BodyCollector(REPLY_LIMIT_BYTES)
        response.deliverBody(collector)
        content = await collector.body
        document = json.loads(content) if content.strip() else {}
        if not isinstance(document, dict):
            raise ValueError("the answer is not an object")
        return JsonReply(response.code, document)
