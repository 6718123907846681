"""Reading of HTTP response bodies, with a size limit."""

from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone


class BodyCollector(Protocol):
    """Collects the body of an HTTP response.

    ``body`` fires with the bytes of the whole body. Cancelling it closes the
    connection.

    Args:
        limit_bytes: A longer body closes the connection, and ``body`` fails.

    Attributes:
        on_part: Called for each part of the body that arrives.
        size_bytes: Size of the part of the body that has arrived.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.body: Deferred = Deferred(lambda _: self._close())
        self.on_part: Callable[[], object] = lambda: None
        self._limit_bytes = limit_bytes
        self._parts: list[bytes] = []
        self.size_bytes = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """See base class."""
        self.size_bytes += len(data)
        if self.size_bytes > self._limit_bytes:
            self._close()
        else:
            self._parts.append(data)
            self.on_part()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """See base class."""
        if self.body.called:
            return
        if reason.check(ResponseDone):
            self.body.callback(b"".join(self._parts))
        else:
            self.body.errback(reason)

    def _close(self) -> None:
        # The transport that the HTTP client provides for response bodies has
        # no abortConnection.
        if self.transport is not None:
            self.transport.loseConnection()
