"""How a worker link reaches its worker: HTTP with persistent connections."""

import abc
import json
from typing import Any

from twisted.internet.interfaces import IReactorTCP

from ._http_client import HttpClient
from ._http_client import HttpResponse as WorkerAnswer
from .exceptions import OutcomeUnknownError, UnavailableError

CONNECTIONS_PER_WORKER = 6  # one long poll and the commands in flight
CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 45.0  # below the 60 s after which many servers close


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
        self._client = HttpClient(
            reactor, CONNECTIONS_PER_WORKER, CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S
        )

    async def post(
        self, address: str, path: str, body: Any, timeout_s: float
    ) -> WorkerAnswer:
        """See base class."""
        content = json.dumps(body, separators=(",", ":")).encode()
        return await self._request("POST", address, path, content, timeout_s)

    async def get(self, address: str, path: str, timeout_s: float) -> WorkerAnswer:
        """See base class."""
        return await self._request("GET", address, path, None, timeout_s)

    async def close(self) -> None:
        """See base class."""
        await self._client.reset()

    async def _request(
        self,
        method: str,
        address: str,
        path: str,
        content: bytes | None,
        timeout_s: float,
    ) -> WorkerAnswer:
        """Send a request; callers do not tell failures to send from others."""
        url = f"http://{address}{path}"
        try:
            return await self._client.send(method, url, content, timeout_s)
        except OutcomeUnknownError as error:
            raise UnavailableError(error.detail) from error
