"""HTTP transport of the store client."""

import abc
import io
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import (
    Agent,
    ContentDecoderAgent,
    FileBodyProducer,
    GzipDecoder,
    HTTPConnectionPool,
    RequestNotSent,
)
from twisted.web.http_headers import Headers

from ._http_body import BodyCollector
from ._http_endpoints import AddressEndpoints
from ._store_codec import EncodedCall
from .exceptions import OutcomeUnknownError, StoreUnavailableError
from .platform_api import DOMAIN_HEADER

CONNECT_TIMEOUT_S = 1.0  # of a stream: until the response headers arrive
MAX_REPLY_BYTES = 32_000_000
MAX_LINE_BYTES = 8_000_000  # of one line of a watch stream
MAX_IDLE_CONNECTIONS = 8
IDLE_TIMEOUT_S = 60.0


class TransportReply(NamedTuple):
    """An HTTP response; ``etag`` is "" if it has no ETag header."""

    status: int
    body: bytes
    etag: str = ""


class StreamEnded(NamedTuple):
    """Reason for the end of a stream.

    ``too_long`` means that a line was longer than ``MAX_LINE_BYTES``.
    """

    detail: str
    too_long: bool = False


class OpenStream(abc.ABC):
    """A stream that is being opened or read."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection; no callback is called afterwards."""


class StoreTransport(abc.ABC):
    """Connection of the store client to the platform."""

    @abc.abstractmethod
    async def call(self, request: EncodedCall, timeout_s: float) -> TransportReply:
        """Send a request and return the reply, whatever its status.

        Raises:
            StoreUnavailableError: The request was not sent.
            OutcomeUnknownError: The request was sent, but no complete reply
                arrived within ``timeout_s`` seconds.
        """

    @abc.abstractmethod
    def open_stream(
        self,
        request: EncodedCall,
        on_line: Callable[[bytes], None],
        on_end: Callable[[StreamEnded], None],
    ) -> OpenStream:
        """Open a stream of lines.

        Callbacks are called only after this method has returned; ``on_end``
        is called at most once.
        """

    @abc.abstractmethod
    def close(self) -> Deferred | None:
        """Cancel all calls and close all idle connections."""


class HttpTransport(StoreTransport):
    """Connects to the platform over HTTP with persistent connections.

    Args:
        reactor: The Twisted reactor.
        base_url: For example ``http://10.0.0.1:2379``.
        failure_domain: Domain of this node, sent in a header of each request.
    """

    def __init__(self, reactor: Any, base_url: str, failure_domain: str) -> None:
        self._reactor = reactor
        self._base_url = base_url.rstrip("/")
        self._headers = Headers(
            {DOMAIN_HEADER: [failure_domain], "Content-Type": ["application/json"]}
        )
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        endpoints = AddressEndpoints(reactor, CONNECT_TIMEOUT_S)
        agent = Agent.usingEndpointFactory(reactor, endpoints, self._pool)
        self._agent = ContentDecoderAgent(agent, [(b"gzip", GzipDecoder)])
        self._exchanges: set[Deferred] = set()
        self._closed = False

    async def call(self, request: EncodedCall, timeout_s: float) -> TransportReply:
        """See base class."""
        if self._closed:
            raise StoreUnavailableError("the transport is closed")
        exchange = Deferred.fromCoroutine(self._exchange(request))
        exchange.addTimeout(timeout_s, self._reactor)
        self._exchanges.add(exchange)
        try:
            return await exchange
        except (ConnectError, ConnectingCancelledError, RequestNotSent) as error:
            raise StoreUnavailableError(
                f"connection to the store failed: {error}"
            ) from None
        except Exception as error:
            raise OutcomeUnknownError(f"no reply of the store: {error!r}") from None
        finally:
            self._exchanges.discard(exchange)

    def open_stream(
        self,
        request: EncodedCall,
        on_line: Callable[[bytes], None],
        on_end: Callable[[StreamEnded], None],
    ) -> OpenStream:
        """See base class."""
        response = self._send(request)
        response.addTimeout(CONNECT_TIMEOUT_S, self._reactor)
        return _HttpStream(response, on_line, on_end)

    def close(self) -> Deferred:
        """See base class."""
        self._closed = True
        for exchange in list(self._exchanges):
            exchange.cancel()
        return self._pool.closeCachedConnections()

    async def _exchange(self, request: EncodedCall) -> TransportReply:
        response = await self._send(request)
        reader = BodyCollector(MAX_REPLY_BYTES)
        response.deliverBody(reader)
        etags = response.headers.getRawHeaders("ETag", [""])
        return TransportReply(response.code, await reader.body, etags[0])

    def _send(self, request: EncodedCall) -> Deferred:
        method, producer = b"GET", None
        if request.body is not None:
            method, producer = b"POST", FileBodyProducer(io.BytesIO(request.body))
        headers = self._headers
        if request.etag:
            headers = headers.copy()
            headers.setRawHeaders("If-None-Match", [request.etag])
        url = f"{self._base_url}{request.path}".encode()
        return self._agent.request(method, url, headers, producer)


class _HttpStream(OpenStream):
    """Passes the body of a response on line by line."""

    def __init__(
        self,
        response: Deferred,
        on_line: Callable[[bytes], None],
        on_end: Callable[[StreamEnded], None],
    ) -> None:
        self._response = response
        self._on_line = on_line
        self._on_end = on_end
        self._closed = False
        self._reader: _LineReader | None = None
        response.addCallbacks(self._start_reading, self._request_failed)

    def close(self) -> None:
        """See base class."""
        self._closed = True
        if self._reader is not None:
            self._reader.abort()
        else:
            self._response.cancel()

    def line_received(self, line: bytes) -> None:
        """Pass a line on unless the stream is closed."""
        if not self._closed:
            self._on_line(line)

    def end(self, ended: StreamEnded) -> None:
        """Report the end unless the stream was closed or has ended before."""
        if not self._closed:
            self._closed = True
            self._on_end(ended)

    def _start_reading(self, response: Any) -> None:
        if response.code != 200:
            response.deliverBody(_DiscardBody())
            self.end(StreamEnded(f"the store answered {response.code}"))
            return
        self._reader = _LineReader(self)
        response.deliverBody(self._reader)

    def _request_failed(self, failure: Failure) -> None:
        self.end(StreamEnded(str(failure.value)))


class _LineReader(Protocol):
    """Splits a response into lines with bounded memory.

    An unfinished line of more than ``MAX_LINE_BYTES`` ends the stream.
    """

    def __init__(self, stream: _HttpStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        search_from = len(self._buffer)
        self._buffer += data
        end = self._buffer.find(b"\n", search_from)
        while end >= 0:
            line = bytes(self._buffer[:end])
            del self._buffer[: end + 1]
            self._stream.line_received(line)
            end = self._buffer.find(b"\n")
        if len(self._buffer) > MAX_LINE_BYTES:
            self._stream.end(
                StreamEnded(f"a line exceeds {MAX_LINE_BYTES} bytes", too_long=True)
            )
            self.abort()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        self._stream.end(StreamEnded(str(reason.value)))


class _DiscardBody(Protocol):
    """Closes the connection without reading the body of an error."""

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.loseConnection()
