"""How a worker link reaches its worker: HTTP with persistent connections."""

import abc
import json
from typing import Any, NamedTuple

import treq
from twisted.internet.interfaces import IReactorTCP
from twisted.web.client import Agent, HTTPConnectionPool

from .exceptions import UnavailableError

CONNECTIONS_PER_WORKER = 6  # one long poll and the commands in flight
CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 120.0  # above the interval of the polls
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
    """The shipped transport.

    Args:
        reactor: Provides connections.
    """

    def __init__(self, reactor: IReactorTCP) -> None:
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = CONNECTIONS_PER_WORKER
        self._pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        # The link retries itself, with a bound on its attempts in flight.
        self._pool.retryAutomatically = False
        agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)
        self._client = treq.client.HTTPClient(agent)
        self._reactor = reactor

    async def post(
        self, address: str, path: str, body: Any, timeout_s: float
    ) -> WorkerAnswer:
        """See base class."""
        content = json.dumps(body).encode()
        return await self._request("POST", address, path, content, timeout_s)

    async def get(self, address: str, path: str, timeout_s: float) -> WorkerAnswer:
        """See base class."""
        return await self._request("GET", address, path, None, timeout_s)

    async def _request(
        self,
        method: str,
        address: str,
        path: str,
        content: bytes | None,
        timeout_s: float,
    ) -> WorkerAnswer:
        try:
            response = await self._client.request(
                method,
                f"http://{address}{path}",
                data=content,
                headers={"content-type": "application/json"},
                timeout=timeout_s,
                reactor=self._reactor,
                unbuffered=True,
            )
            reply = await self._read(response, timeout_s)
        except Exception as error:
            # The HTTP client raises many unrelated types for a broken
            # connection; all of them mean that there is no answer.
            detail = f"{path} at {address}: {type(error).__name__}"
            raise UnavailableError(detail) from error
        return WorkerAnswer(response.code, reply)

    async def close(self) -> None:
        """See base class."""
        await self._pool.closeCachedConnections()

    async def _read(self, response: Any, timeout_s: float) -> bytes:
        parts: list[bytes] = []
        size = 0

        def collect(part: bytes) -> None:
            nonlocal size
            size += len(part)
            if size > REPLY_LIMIT_BYTES:
                raise ValueError(f"reply exceeds {REPLY_LIMIT_BYTES} bytes")
            parts.append(part)

        reading = treq.collect(response, collect)
        reading.addTimeout(timeout_s, self._reactor)
        await reading
        return b"".join(parts)
