"""HTTP client with persistent connections."""

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.interfaces import IReactorTCP, IReactorTime
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    RequestGenerationFailed,
    RequestNotSent,
)
from twisted.web.http_headers import Headers

from ._http_body import BodyCollector
from ._http_endpoints import AddressEndpoints
from ._http_producer import ConditionalBody, SendConditionError
from ._transfer_limit import TransferLimit
from .exceptions import OutcomeUnknownError, UnavailableError

REPLY_LIMIT_BYTES = 16 * 1024 * 1024


class HttpResponse(NamedTuple):
    """An HTTP response with its whole body."""

    status: int
    content: bytes


class HttpClient:
    """Sends requests; failed requests are never repeated.

    Args:
        reactor: Opens the connections.
        connections: Maximum number of idle connections kept per address.
        connect_timeout_s: Timeout of a connection attempt, in seconds.
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
        # A repeated request could take effect twice, so only the caller may
        # repeat it.
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
        transfer_s: float = 0.0,
        on_progress: Callable[[], None] | None = None,
        may_send: Callable[[], bool] | None = None,
    ) -> HttpResponse:
        """Send a request, with a JSON body unless ``content`` is None.

        A request with a body is not written once ``timeout_s`` has passed: in
        a process that was paused, a new connection may be reported before the
        time limit.

        Args:
            method: HTTP method.
            url: URL of the resource.
            content: Body of the request.
            timeout_s: Seconds until the response begins.
            headers: Additional HTTP headers.
            transfer_s: Additional seconds for a response that has begun, as
                long as its parts are at most ``timeout_s`` apart.
            on_progress: Called for each part of the response's body.
            may_send: Evaluated immediately before a request with a body is
                written, after a connection was opened if necessary. It is not
                written if this returns False.

        Raises:
            UnavailableError: The request was definitely not sent.
            OutcomeUnknownError: The request may have been sent, but no
                complete response arrived in time.
        """
        collector = BodyCollector(REPLY_LIMIT_BYTES)
        clock: IReactorTime = self._reactor
        begun_at = clock.seconds()

        def may_write() -> bool:
            is_in_time = clock.seconds() - begun_at <= timeout_s
            return is_in_time and (may_send is None or may_send())

        body = None if content is None else ConditionalBody(content, may_write)
        pending = ensureDeferred(
            self._request(method, url, body, headers or {}, collector)
        )
        limit = TransferLimit(self._reactor, pending, timeout_s, transfer_s)

        def record_progress() -> None:
            limit.extend()
            if on_progress is not None:
                on_progress()

        collector.on_part = record_progress
        try:
            return await pending
        except (ConnectError, ConnectingCancelledError, RequestNotSent) as error:
            raise UnavailableError(
                f"request to {url} was not sent: {type(error).__name__}"
            ) from error
        except Exception as error:
            if _is_withheld(error):
                raise UnavailableError(
                    f"request to {url} was not sent: it is out of date"
                ) from error
            # Twisted's HTTP client raises many unrelated exception types for a
            # broken connection; all of them mean that there is no response.
            reason = "time limit" if limit.expired else type(error).__name__
            raise OutcomeUnknownError(
                f"no complete response from {url}: {reason} "
                f"after {collector.size_bytes} bytes"
            ) from error

    def reset(self) -> Deferred:
        """Close the idle connections.

        Returns:
            A Deferred that fires when they are closed.
        """
        return self._pool.closeCachedConnections()

    async def _request(
        self,
        method: str,
        url: str,
        body: ConditionalBody | None,
        extra_headers: dict[str, str],
        collector: BodyCollector,
    ) -> HttpResponse:
        headers = Headers()
        for name, value in extra_headers.items():
            headers.addRawHeader(name.encode(), value.encode())
        if body is not None:
            headers.addRawHeader(b"Content-Type", b"application/json")
        response = await self._agent.request(
            method.encode(), url.encode("ascii"), headers, body
        )
        response.deliverBody(collector)
        return HttpResponse(response.code, await collector.body)


def _is_withheld(error: Exception) -> bool:
    """Return whether a request was not written by its ``ConditionalBody``."""
    return isinstance(error, RequestGenerationFailed) and any(
        reason.check(SendConditionError) for reason in error.reasons
    )
