"""Requests and connections of the HTTP server, with limits on their size."""

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

from ._problems import Response, problem_answer
from .exceptions import (
    BadRequestError,
    PayloadTooLargeError,
    RedwingrudderError,
    UnavailableError,
)

BODY_LIMIT_BYTES = 256 * 1024
# Of all requests in progress; a node has 256 MB.
BODIES_LIMIT_BYTES = 32 * 1024 * 1024
OVERLOAD_RETRY_S = 1.0
CONNECTIONS_LIMIT = 20_000
CONNECTION_TIMEOUT_S = 60  # without any data while a request is awaited
REFUSAL_LINGER_S = 1.0

Responder = Callable[["LimitedRequest"], None]


class LimitedRequest(server.Request):
    """A request whose body is refused as soon as it exceeds the limit."""

    refused = False
    _kept_bytes = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse an announced length before any of the body is read."""
        self.content = BytesIO()
        if length is not None and length > BODY_LIMIT_BYTES:
            self._refuse(_too_large())

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body; after a refusal it is discarded."""
        if self.refused:
            return
        site = self.channel.site
        if self._kept_bytes + len(data) > BODY_LIMIT_BYTES:
            self._refuse(_too_large())
        elif site.body_bytes + len(data) > BODIES_LIMIT_BYTES:
            self._refuse(_too_many_bodies())
        else:
            self._kept_bytes += len(data)
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
        """Process the request unless it is answered already."""
        if not self.refused:
            super().requestReceived(*arguments)

    def write_response(self, answer: Response) -> None:
        """Write a whole answer and end the request."""
        self.setResponseCode(answer.status)
        self.setHeader(b"Content-Type", answer.content_type.encode("ascii"))
        for name, value in answer.headers:
            self.setHeader(name.encode("ascii"), value.encode("ascii", "replace"))
        self.setHeader(b"Content-Length", str(len(answer.body)).encode("ascii"))
        if self.method != b"HEAD":
            self.write(answer.body)
        else:
            self.write(b"")
        self.finish()

    def header(self, name: str) -> str | None:
        """Return a request header, or None; repeated ones are joined."""
        values = self.requestHeaders.getRawHeaders(name.encode("ascii"))
        if values is None:
            return None
        return b",".join(values).decode("utf-8", "replace")

    def _refuse(self, error: RedwingrudderError) -> None:
        """Answer and close without keeping the rest of the body.

        The connection is closed after a delay because the kernel resets a
        connection that is closed with unread data, and the caller would then
        lose the answer.
        """
        self.refused = True
        self._release_body()
        # Nothing may follow the answer, not even "100 Continue".
        self.requestHeaders.removeHeader(b"Expect")
        self.channel.refuse(error, self.channel.site.correlation_id(self))
        self.channel.callLater(REFUSAL_LINGER_S, self.channel.loseConnection)

    def _release_body(self) -> None:
        self.channel.site.body_bytes -= self._kept_bytes
        self._kept_bytes = 0
        self.content = BytesIO()


def _too_large() -> RedwingrudderError:
    return PayloadTooLargeError(f"the body exceeds {BODY_LIMIT_BYTES} bytes")


def _too_many_bodies() -> RedwingrudderError:
    return UnavailableError(
        "the bodies of the requests in progress take too much memory",
        code="overloaded",
        retry_after_s=OVERLOAD_RETRY_S,
    )


class ApiChannel(HTTPChannel):
    """One connection; answers with a code to what is no HTTP request."""

    def refuse(self, error: RedwingrudderError, correlation_id: str) -> None:
        """Write an answer outside of any request, with a close."""
        answer = problem_answer(error, correlation_id)
        headers = (
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
            ("X-Correlation-Id", correlation_id),
            ("Connection", "close"),
            *answer.headers,
        )
        phrase = HTTPStatus(answer.status).phrase
        lines = [f"HTTP/1.1 {answer.status} {phrase}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        head = "\r\n".join((*lines, "", ""))
        self.transport.write(head.encode("ascii") + answer.body)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Answer before the connection closes."""
        self._respondToBadRequestAndDisconnect()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        """Replace the answer of the base class, which has no body."""
        error = BadRequestError(
            "the request line, a header or a chunk is malformed or too long",
            code="malformed_request",
        )
        self.refuse(error, uuid.uuid4().hex)
        # The base class goes on to parse unless the connection is closing.
        self.loseConnection()


class RootResource(Resource):
    """Hands every request to one responder, whatever its path."""

    isLeaf = True  # noqa: N815

    def __init__(self, responder: Responder) -> None:
        super().__init__()
        self._responder = responder

    def render(self, request: LimitedRequest) -> int:
        """See base class."""
        self._responder(request)
        return server.NOT_DONE_YET


class ApiSite(server.Site):
    """Connections of the HTTP interface."""

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
        """Write no access log: metrics count the requests."""


class BoundedConnections(WrappingFactory):
    """Closes new connections above a bound and knows the open ones."""

    noisy = False

    def buildProtocol(self, address: IAddress) -> IProtocol | None:  # noqa: N802
        """Return None at the bound, which closes the connection."""
        if len(self.protocols) >= CONNECTIONS_LIMIT:
            return None
        return super().buildProtocol(address)

    def close(self) -> None:
        """Close all connections; what was written is still sent."""
        for connection in list(self.protocols):
            connection.transport.loseConnection()
