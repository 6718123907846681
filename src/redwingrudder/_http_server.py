"""Requests and connections of the HTTP server, with limits on both."""

import uuid
from collections.abc import Callable
from http import HTTPStatus
from io import BytesIO

from twisted.internet.interfaces import IAddress, IProtocol
from twisted.protocols.policies import WrappingFactory
from twisted.python.failure import Failure
from twisted.web import server
from twisted.web.http import HTTPChannel
from twisted.web.resource import Resource

from ._problems import Response, problem_response
from .exceptions import (
    BadRequestError,
    PayloadTooLargeError,
    RedwingrudderError,
    UnavailableError,
)

BODY_LIMIT_BYTES = 256 * 1024
# For all requests in progress together; a node has 256 MB of memory.
TOTAL_BODIES_LIMIT_BYTES = 32 * 1024 * 1024
OVERLOAD_RETRY_S = 1.0
CONNECTIONS_LIMIT = 20_000
CONNECTION_TIMEOUT_S = 60  # without received data while awaiting a request
REFUSAL_CLOSE_DELAY_S = 1.0

Responder = Callable[["LimitedRequest"], None]


class LimitedRequest(server.Request):
    """A request that is refused as soon as its body exceeds a limit.

    Limits apply to each body and to the sum of all bodies of the site.
    """

    refused = False
    _stored_bytes = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a too large Content-Length before the body is read."""
        self.content = BytesIO()
        if length is not None and length > BODY_LIMIT_BYTES:
            self._refuse(_body_too_large())

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Store a part of the body, or discard it after a refusal."""
        if self.refused:
            return
        site = self.channel.site
        if self._stored_bytes + len(data) > BODY_LIMIT_BYTES:
            self._refuse(_body_too_large())
        elif site.body_bytes + len(data) > TOTAL_BODIES_LIMIT_BYTES:
            self._refuse(_too_many_bodies())
        else:
            self._stored_bytes += len(data)
            site.body_bytes += len(data)
            self.content.write(data)

    def finish(self) -> None:
        """See base class."""
        self._release_body()
        super().finish()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """See base class."""
        self._release_body()
        super().connectionLost(reason)

    def requestReceived(self, *arguments: bytes) -> None:  # noqa: N802
        """Process the request unless it was refused."""
        if not self.refused:
            super().requestReceived(*arguments)

    def write_response(self, response: Response) -> None:
        """Write a complete response and finish the request."""
        self.setResponseCode(response.status)
        self.setHeader(b"Content-Type", response.content_type.encode("ascii"))
        for name, value in response.headers:
            self.setHeader(name.encode("ascii"), value.encode("ascii", "replace"))
        self.setHeader(b"Content-Length", str(len(response.body)).encode("ascii"))
        if self.method != b"HEAD":
            self.write(response.body)
        else:
            self.write(b"")
        self.finish()

    def header(self, name: str) -> str | None:
        """Return the value of a header, or None if it is missing.

        The values of a repeated header are joined with commas.
        """
        values = self.requestHeaders.getRawHeaders(name.encode("ascii"))
        if values is None:
            return None
        return b",".join(values).decode("utf-8", "replace")

    def _refuse(self, error: RedwingrudderError) -> None:
        """Respond with an error, discard the rest of the body, then close.

        The connection is closed after a delay because the kernel resets a
        connection that is closed with unread data, and the caller would then
        not receive the response.
        """
        self.refused = True
        self._release_body()
        # Nothing may follow the response, not even "100 Continue".
        self.requestHeaders.removeHeader(b"Expect")
        self.channel.refuse(error, self.channel.site.correlation_id(self))
        self.channel.callLater(REFUSAL_CLOSE_DELAY_S, self.channel.loseConnection)

    def _release_body(self) -> None:
        self.channel.site.body_bytes -= self._stored_bytes
        self._stored_bytes = 0
        self.content = BytesIO()


def _body_too_large() -> RedwingrudderError:
    return PayloadTooLargeError(f"the request body exceeds {BODY_LIMIT_BYTES} bytes")


def _too_many_bodies() -> RedwingrudderError:
    return UnavailableError(
        "the request bodies in progress exceed "
        f"{TOTAL_BODIES_LIMIT_BYTES} bytes in total",
        code="overloaded",
        retry_after_s=OVERLOAD_RETRY_S,
    )


class ApiChannel(HTTPChannel):
    """A connection; malformed requests get an error response with a code."""

    def refuse(self, error: RedwingrudderError, correlation_id: str) -> None:
        """Write an error response with ``Connection: close``.

        The response does not belong to a request object. The caller of this
        method closes the connection.
        """
        response = problem_response(error, correlation_id)
        headers = (
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            ("X-Correlation-Id", correlation_id),
            ("Connection", "close"),
            *response.headers,
        )
        phrase = HTTPStatus(response.status).phrase
        lines = [f"HTTP/1.1 {response.status} {phrase}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        head = "\r\n".join((*lines, "", ""))
        self.transport.write(head.encode("ascii") + response.body)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Respond with an error before the connection is closed."""
        self._respondToBadRequestAndDisconnect()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        """Respond with a problem body; the base class sends no body."""
        error = BadRequestError(
            "the request line, a header or a chunk is malformed or too long",
            code="malformed_request",
        )
        self.refuse(error, uuid.uuid4().hex)
        # The base class continues to parse unless the connection is closing.
        self.loseConnection()


class RootResource(Resource):
    """Passes the requests for all paths to one responder."""

    isLeaf = True  # noqa: N815

    def __init__(self, responder: Responder) -> None:
        super().__init__()
        self._responder = responder

    def render(self, request: LimitedRequest) -> int:
        """See base class."""
        self._responder(request)
        return server.NOT_DONE_YET


class ApiSite(server.Site):
    """Factory of the connections of the HTTP interface.

    ``body_bytes`` is the size of all stored request bodies.

    Args:
        responder: Responds to a request that was received completely.
        correlation_id: Returns the correlation id of a request.
        reactor: Schedules the connection timeouts.
    """

    protocol = ApiChannel

    def __init__(
        self,
        responder: Responder,
        correlation_id: Callable[[LimitedRequest], str],
        reactor: object,
    ) -> None:
        super().__init__(
            RootResource(responder),
            requestFactory=LimitedRequest,
            parsePOSTFormSubmission=False,
            timeout=CONNECTION_TIMEOUT_S,
            reactor=reactor,
        )
        self.correlation_id = correlation_id
        self.body_bytes = 0

    def log(self, request: LimitedRequest) -> None:
        """Write no access log, because the metrics count the requests."""


class BoundedConnections(WrappingFactory):
    """Keeps track of the open connections and limits their number."""

    noisy = False

    def buildProtocol(self, address: IAddress) -> IProtocol | None:  # noqa: N802
        """Return None to close the connection if there are too many."""
        if len(self.protocols) >= CONNECTIONS_LIMIT:
            return None
        return super().buildProtocol(address)

    def close(self) -> None:
        """Close all connections after sending the data written so far."""
        for connection in list(self.protocols):
            connection.transport.loseConnection()
