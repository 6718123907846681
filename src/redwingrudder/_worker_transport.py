"""Transport between worker links and workers.

The workers are reached over HTTP with persistent connections.
"""

import abc
import json
from typing import Any

from twisted.internet.interfaces import IReactorTCP

from ._http_client import HttpClient
from ._http_client import HttpResponse as WorkerResponse
from .exceptions import OutcomeUnknownError, UnavailableError

CONNECTIONS_PER_WORKER = 6  # for a long poll and the commands in flight
CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 45.0  # many servers close idle connections after 60 s


class WorkerTransport(abc.ABC):
    """Sends requests to workers.

    It is abstract so that tests can replace it by one without sockets.
    """

    @abc.abstractmethod
    async def post(
        self, address: str, path: str, body: Any, timeout_s: float
    ) -> WorkerResponse:
        """Send a POST request and return the response.

        Args:
            address: The ``host:port`` of the worker.
            path: URL path of the request.
            body: Value that is sent as JSON.
            timeout_s: Longest time to wait for the response in seconds.

        Raises:
            UnavailableError: No response arrived in time, but the command may
                have taken effect.
        """

    @abc.abstractmethod
    async def get(self, address: str, path: str, timeout_s: float) -> WorkerResponse:
        """Send a GET request, which does not renew the worker's lease.

        Args:
            address: The ``host:port`` of the worker.
            path: URL path of the request.
            timeout_s: Longest time to wait for the response in seconds.

        Raises:
            UnavailableError: No response arrived in time.
        """

    async def close(self) -> None:
        """Close idle connections; without sockets there are none."""


class HttpTransport(WorkerTransport):
    """Transport over HTTP.

    Requests are kept short, because most of the traffic is polls that return
    no events.

    Args:
        reactor: Twisted reactor that opens the connections.
    """

    def __init__(self, reactor: IReactorTCP) -> None:
        self._client = HttpClient(
            reactor, CONNECTIONS_PER_WORKER, CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S
        )

    async def post(
        self, address: str, path: str, body: Any, timeout_s: float
    ) -> WorkerResponse:
        """See base class."""
        content = json.dumps(body, separators=(",", ":")).encode()
        return await self._request("POST", address, path, content, timeout_s)

    async def get(self, address: str, path: str, timeout_s: float) -> WorkerResponse:
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
    ) -> WorkerResponse:
        """Send a request.

        Raises:
            UnavailableError: There was no response. The callers need not
                know whether the request was sent.
        """
        url = f"http://{address}{path}"
        try:
            return await self._client.send(method, url, content, timeout_s)
        except OutcomeUnknownError as error:
            raise UnavailableError(error.detail) from error
