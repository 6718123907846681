"""Bodies of HTTP answers, collected up to a limit."""

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone


class BodyCollector(Protocol):
    """Collects a body; cancelling ``body`` closes the connection.

    Args:
        limit: Bytes above which the connection is closed.
    """

    def __init__(self, limit: int) -> None:
        self.body: Deferred = Deferred(lambda _: self._close())
        self._limit = limit
        self._parts: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """See base class."""
        self._size += len(data)
        if self._size > self._limit:
            self._close()
        else:
            self._parts.append(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """See base class."""
        if self.body.called:
            return
        if reason.check(ResponseDone):
            self.body.callback(b"".join(self._parts))
        else:
            self.body.errback(reason)

    def _close(self) -> None:
        # The transport of an answer's body has no abortConnection.
        if self.transport is not None:
            self.transport.loseConnection()
