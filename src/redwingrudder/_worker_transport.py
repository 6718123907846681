"""How a worker link reaches its worker: HTTP with persistent connections."""

import abc
import io
import json
from typing import Any, NamedTuple

from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IReactorTCP
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
)
from twisted.web.http_headers import Headers

from ._http_body import BodyCollector
from ._http_endpoints import AddressEndpoints
from .exceptions import UnavailableError

CONNECTIONS_PER_WORKER = 6  # one long poll and the commands in flight
CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 45.0  # below the 60 s after which many servers close
REPLY_LIMIT_BYTES = 16_777_216


class WorkerAnswer(NamedTuple):
    """An HTTP answer of a worker."""

    status: int
    content: bytes


class WorkerTransport(abc.ABC):
    """Carries requests to workers; tests use one without sockets."""

    @abc.abstractmethod
    async def post(
        self, address: str, path: str, body: Any, timeout_s: float
    ) -> WorkerAnswer:
        """Send a command and return the answer.

        Raises:
            UnavailableError: There was no answer within ``timeout_s``; the
                command may have taken effect.
        """

    @abc.abstractmethod
    async def get(self, address: str, path: str, timeout_s: float) -> WorkerAnswer:
        """Read from a worker, which renews no lease; raises as ``post``."""

    async def close(self) -> None:
        """Close the idle connections."""


class HttpTransport(WorkerTransport):
    """The shipped transport; it sends few bytes, as most polls are empty.

    Args:
        reactor: Provides connections.
    """

    def __init__(self, reactor: IReactorTCP) -> None:
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = CONNECTIONS_PER_WORKER
        self._pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        # The link retries itself, with a bound on its attempts in flight.
        self._pool.retryAutomatically = False
        endpoints = AddressEndpoints(reactor, CONNECT_TIMEOUT_S)
        self._agent = Agent.usingEndpointFactory(reactor, endpoints, self._pool)

    async def post(
        self, address: str, path: str, body: Any, timeout_s: float
    ) -> WorkerAnswer:
        """See base class."""
        content = json.dumps(body, separators=(",", ":")).encode()
        return await self._request(b"POST", address, path, content, timeout_s)

    async def get(self, address: str, path: str, timeout_s: float) -> WorkerAnswer:
        """See base class."""
        return await self._request(b"GET", address, path, None, timeout_s)

    async def close(self) -> None:
        """See base class."""
        await self._pool.closeCachedConnections()

    async def _request(
        self,
        method: bytes,
        address: str,
        path: str,
        content: bytes | None,
        timeout_s: float,
    ) -> WorkerAnswer:
        exchange = ensureDeferred(self._exchange(method, address, path, content))
        exchange.addTimeout(timeout_s, self._reactor)
        try:
            return await exchange
        except Exception as error:
            # The HTTP client raises many unrelated types for a broken
            # connection; all of them mean that there is no answer.
            detail = f"{path} at {address}: {type(error).__name__}"
            raise UnavailableError(detail) from error

    async def _exchange(
        self, method: bytes, address: str, path: str, content: bytes | None
    ) -> WorkerAnswer:
        headers, producer = None, None
        if content is not None:
            headers = Headers({b"content-type": [b"application/json"]})
            producer = FileBodyProducer(io.BytesIO(content))
        url = f"http://{address}{path}".encode()
        response = await self._agent.request(method, url, headers, producer)
        collector = BodyCollector(REPLY_LIMIT_BYTES)
        response.deliverBody(collector)
        return WorkerAnswer(response.code, await collector.body)
