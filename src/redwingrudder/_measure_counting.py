"""Twisted reactor wrapper that counts bytes and processor time of one node."""

import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IReactorTCP
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from zope.interface import directlyProvides, providedBy

ConnectionClassifier = Callable[[int], str]


class CountingReactor:
    """Delegates to a reactor and counts the TCP bytes and the processor time.

    Args:
        reactor: The Twisted reactor.
        classify: Returns the kind of a connection from the server's port.

    Attributes:
        bytes_by_kind: Bytes of both directions by kind of connection, with
            the headers of the application protocol, without TCP and IP.
        processor_s: Processor time within delayed calls and protocol
            callbacks, in seconds. The reactor's own loop and its system calls
            do not count.
    """

    def __init__(self, reactor: Any, classify: ConnectionClassifier) -> None:
        self.bytes_by_kind: Counter[str] = Counter()
        self.processor_s = 0.0
        self._reactor = reactor
        self._classify = classify
        self._call_depth = 0
        directlyProvides(self, providedBy(reactor))

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reactor, name)

    def callLater(  # noqa: N802
        self, delay: float, function: Callable, *args: Any, **kwargs: Any
    ) -> Any:
        """See ``IReactorTime``; the call's processor time is counted."""
        return self._reactor.callLater(
            delay, self.call_timed, function, *args, **kwargs
        )

    def connectTCP(  # noqa: N802
        self, host: str, port: int, factory: Any, *args: Any, **kwargs: Any
    ) -> Any:
        """See ``IReactorTCP``; the bytes of the connections are counted."""
        counting_factory = _CountingFactory(factory, self, self._classify(port))
        return self._reactor.connectTCP(host, port, counting_factory, *args, **kwargs)

    def listenTCP(  # noqa: N802
        self, port: int, factory: Any, *args: Any, **kwargs: Any
    ) -> Any:
        """See ``IReactorTCP``; the bytes of the connections are counted."""
        counting_factory = _CountingFactory(factory, self, self._classify(port))
        return self._reactor.listenTCP(port, counting_factory, *args, **kwargs)

    def call_timed(self, function: Callable, *args: Any, **kwargs: Any) -> Any:
        """Call a function and add its processor time.

        A call within another timed call is already part of that one's time.
        """
        if self._call_depth:
            return function(*args, **kwargs)
        self._call_depth += 1
        started_s = time.process_time()
        try:
            return function(*args, **kwargs)
        finally:
            self.processor_s += time.process_time() - started_s
            self._call_depth -= 1


class _CountingProtocol(ProtocolWrapper):
    """Counts the bytes and the callbacks' processor time of one connection."""

    def makeConnection(self, transport: Any) -> None:  # noqa: N802
        self.factory.counter.call_timed(super().makeConnection, transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.factory.count(len(data))
        self.factory.counter.call_timed(super().dataReceived, data)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self.factory.counter.call_timed(super().connectionLost, reason)

    def write(self, data: bytes) -> None:
        self.factory.count(len(data))
        super().write(data)

    def writeSequence(self, data: Any) -> None:  # noqa: N802
        parts = list(data)
        self.factory.count(sum(map(len, parts)))
        super().writeSequence(parts)


class _CountingFactory(WrappingFactory):
    """Wraps the protocols of a factory; its connections are of one kind."""

    protocol = _CountingProtocol
    noisy = False

    def __init__(self, wrapped: Any, counter: CountingReactor, kind: str) -> None:
        super().__init__(wrapped)
        self.counter = counter
        self._kind = kind

    def count(self, size: int) -> None:
        """Add the size of received or sent data, in bytes."""
        self.counter.bytes_by_kind[self._kind] += size


def build_counting_reactor(reactor: IReactorTCP, kind: str) -> CountingReactor:
    """Return a reactor that counts all its connections as one kind."""
    return CountingReactor(reactor, lambda port: kind)
