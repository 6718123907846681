"""HTTP client over persistent connections."""

import io
from typing import NamedTuple

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.interfaces import IReactorTCP
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    RequestNotSent,
)
from twisted.web.http_headers import Headers

from ._http_body import BodyCollector
from ._http_endpoints import AddressEndpoints
from .exceptions import OutcomeUnknownError, UnavailableError

REPLY_LIMIT_BYTES = 16 * 1024 * 1024


class HttpResponse(NamedTuple):
    """An HTTP answer."""

    status: int
    content: bytes


class HttpClient:
    """Sends requests; a request that failed is never repeated.

    Args:
        reactor: Provides connections.
        connections: Idle connections that are kept for an address.
        connect_timeout_s: Seconds after which an attempt is given up.
        idle_timeout_s: Seconds after which an idle connection is closed.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        connections: int,
        connect_timeout_s: float,
        idle_timeout_s: float,
    ) -> None:
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = connections
        self._pool.cachedConnectionTimeout = idle_timeout_s
        # A repeated request could take effect twice; callers decide on it.
        self._pool.retryAutomatically = False
        endpoints = AddressEndpoints(reactor, connect_timeout_s)
        self._agent = Agent.usingEndpointFactory(reactor, endpoints, self._pool)

    async def send(
        self,
        method: str,
        url: str,
        content: bytes | None,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> HttpResponse:
        """Send a request, with JSON unless the content is None.

        Raises:
            UnavailableError: The request was surely not sent.
            OutcomeUnknownError: It was sent, and no answer arrived in time.
        """
        exchange = ensureDeferred(self._exchange(method, url, content, headers or {}))
        exchange.addTimeout(timeout_s, self._reactor)
        try:
            return await exchange
        except (ConnectError, ConnectingCancelledError, RequestNotSent) as error:
            raise UnavailableError(f"{url}: {type(error).__name__}") from error
        except Exception as error:
            # The HTTP client raises many unrelated types for a broken
            # connection; all of them mean that there is no answer.
            raise OutcomeUnknownError(f"{url}: {type(error).__name__}") from error

    def reset(self) -> Deferred:
        """Close the idle connections; fires when they are closed."""
        return self._pool.closeCachedConnections()

    async def _exchange(
        self, method: str, url: str, content: bytes | None, extra: dict[str, str]
    ) -> HttpResponse:
        headers, producer = Headers(), None
        for name, value in extra.items():
            headers.addRawHeader(name.encode(), value.encode())
        if content is not None:
            headers.addRawHeader(b"Content-Type", b"application/json")
            producer = FileBodyProducer(io.BytesIO(content))
        response = await self._agent.request(
            method.encode(), url.encode("ascii"), headers, producer
        )
        collector = BodyCollector(REPLY_LIMIT_BYTES)
        response.deliverBody(collector)
        return HttpResponse(response.code, await collector.body)
