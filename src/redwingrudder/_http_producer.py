"""Bodies of HTTP requests that are written under a condition."""

from collections.abc import Callable

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.interfaces import IConsumer
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


class SendConditionError(Exception):
    """The condition for sending a request does not hold any more."""


@implementer(IBodyProducer)
class ConditionalBody:
    """Writes a body at once if a condition holds when the connection stands.

    Twisted buffers the headers before it asks for the body, and aborts the
    connection, with what it has buffered, if there is none.

    Args:
        content: The body.
        may_send: Returns whether the request may still be sent.
    """

    def __init__(self, content: bytes, may_send: Callable[[], bool]) -> None:
        self.length = len(content)
        self._content = content
        self._may_send = may_send

    def startProducing(self, consumer: IConsumer) -> Deferred:  # noqa: N802
        """Write the body.

        Returns:
            A Deferred that has fired, with ``SendConditionError`` if the
            condition does not hold.
        """
        if not self._may_send():
            return fail(SendConditionError())
        consumer.write(self._content)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the whole body has been written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: the whole body has been written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the whole body has been written, or none of it."""
