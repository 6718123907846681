"""HTTP connections to the platform."""

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

CONNECT_TIMEOUT_S = 1.0
REPLY_LIMIT = 32_000_000  # bytes
LINE_LIMIT = 8_000_000  # bytes of one line of a watch
CONNECTIONS = 8  # persistent connections
IDLE_CONNECTION_S = 60.0


class TransportReply(NamedTuple):
    """An HTTP answer."""

    status: int
    body: bytes
    etag: str = ""


class StreamEnded(NamedTuple):
    """Why a stream ended; ``too_long`` means a line above the limit."""

    detail: str
    too_long: bool = False


class OpenStream(abc.ABC):
    """A stream that is being opened or read."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection; no callback is called any more."""


class StoreTransport(abc.ABC):
    """How the store client reaches the platform."""

    @abc.abstractmethod
    async def call(self, request: EncodedCall, timeout_s: float) -> TransportReply:
        """Send a request and return the answer.

        Raises:
            StoreUnavailableError: The request was surely not sent.
            OutcomeUnknownError: It was sent, and no answer arrived in time.
        """

    @abc.abstractmethod
    def open_stream(
        self,
        request: EncodedCall,
        on_line: Callable[[bytes], None],
        on_end: Callable[[StreamEnded], None],
    ) -> OpenStream:
        """Open a stream of lines.

        No callback is called before this returns; ``on_end`` is called at
        most once.
        """

    @abc.abstractmethod
    def close(self) -> Deferred | None:
        """Cancel all calls and close all idle connections."""


class HttpTransport(StoreTransport):
    """Reaches the platform over HTTP with persistent connections.

    Args:
        reactor: The twisted reactor.
        base_url: For example ``http://10.0.0.1:2379``.
        failure_domain: Sent with every request.
    """

    def __init__(self, reactor: Any, base_url: str, failure_domain: str) -> None:
        self._reactor = reactor
        self._base_url = base_url.rstrip("/")
        self._headers = Headers(
            {DOMAIN_HEADER: [failure_domain], "Content-Type": ["application/json"]}
        )
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = CONNECTIONS
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_S
        endpoints = AddressEndpoints(reactor, CONNECT_TIMEOUT_S)
        agent = Agent.usingEndpointFactory(reactor, endpoints, self._pool)
        self._agent = ContentDecoderAgent(agent, [(b"gzip", GzipDecoder)])
        self._exchanges: set[Deferred] = set()
        self._closed = False

    async def call(self, request: EncodedCall, timeout_s: float) -> TransportReply:
        """See base class."""
        if self._closed:
            raise StoreUnavailableError("the connection is closed")
        exchange = Deferred.fromCoroutine(self._exchange(request))
        exchange.addTimeout(timeout_s, self._reactor)
        self._exchanges.add(exchange)
        try:
            return await exchange
        except (ConnectError, ConnectingCancelledError, RequestNotSent) as error:
            raise StoreUnavailableError(f"not connected: {error}") from None
        except Exception as error:
            raise OutcomeUnknownError(f"no answer: {error!r}") from None
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
        reader = BodyCollector(REPLY_LIMIT)
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
    """Splits the body of a response into lines."""

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
        response.addCallbacks(self._read, self._fail)

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
        """Report the end once."""
        if not self._closed:
            self._closed = True
            self._on_end(ended)

    def _read(self, response: Any) -> None:
        if response.code != 200:
            response.deliverBody(_Discard())
            self.end(StreamEnded(f"the store answered {response.code}"))
            return
        self._reader = _LineReader(self)
        response.deliverBody(self._reader)

    def _fail(self, failure: Failure) -> None:
        self.end(StreamEnded(str(failure.value)))


class _LineReader(Protocol):
    """Reads lines with bounded memory."""

    def __init__(self, stream: _HttpStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        searched = len(self._buffer)
        self._buffer += data
        end = self._buffer.find(b"\n", searched)
        while end >= 0:
            line = bytes(self._buffer[:end])
            del self._buffer[: end + 1]
            self._stream.line_received(line)
            end = self._buffer.find(b"\n")
        if len(self._buffer) > LINE_LIMIT:
            self._stream.end(StreamEnded("a line is too long", too_long=True))
            self.abort()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        self._stream.end(StreamEnded(str(reason.value)))


class _Discard(Protocol):
    """Reads an error's body and drops the connection."""

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.loseConnection()
