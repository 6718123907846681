"""A reactor that counts the bytes and processor time of one node."""

import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IReactorTCP
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from zope.interface import directlyProvides, providedBy

Classify = Callable[[int], str]


class CountingReactor:
    """Passes everything on to a reactor and counts what goes through.

    ``bytes_by_kind`` holds both directions, with headers of the protocol and
    without those of TCP and IP. ``processor_s`` is the time within delayed
    calls and protocol callbacks; the reactor's own loop and its system calls
    are not in it.

    Args:
        reactor: The twisted reactor.
        classify: Returns the kind of a connection from the server's port.
    """

    def __init__(self, reactor: Any, classify: Classify) -> None:
        self.bytes_by_kind: Counter[str] = Counter()
        self.processor_s = 0.0
        self._reactor = reactor
        self._classify = classify
        self._depth = 0
        directlyProvides(self, providedBy(reactor))

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reactor, name)

    def callLater(  # noqa: N802
        self, delay: float, function: Callable, *args: Any, **kwargs: Any
    ) -> Any:
        """See ``IReactorTime``."""
        return self._reactor.callLater(delay, self.timed, function, *args, **kwargs)

    def connectTCP(  # noqa: N802
        self, host: str, port: int, factory: Any, *args: Any, **kwargs: Any
    ) -> Any:
        """See ``IReactorTCP``."""
        counting = _CountingFactory(factory, self, self._classify(port))
        return self._reactor.connectTCP(host, port, counting, *args, **kwargs)

    def listenTCP(  # noqa: N802
        self, port: int, factory: Any, *args: Any, **kwargs: Any
    ) -> Any:
        """See ``IReactorTCP``."""
        counting = _CountingFactory(factory, self, self._classify(port))
        return self._reactor.listenTCP(port, counting, *args, **kwargs)

    def timed(self, function: Callable, *args: Any, **kwargs: Any) -> Any:
        """Call a function and count its processor time once."""
        if self._depth:
            return function(*args, **kwargs)
        self._depth += 1
        started = time.process_time()
        try:
            return function(*args, **kwargs)
        finally:
            self.processor_s += time.process_time() - started
            self._depth -= 1


class _CountingProtocol(ProtocolWrapper):
    """Counts the bytes and the time of one connection."""

    def makeConnection(self, transport: Any) -> None:  # noqa: N802
        self.factory.counter.timed(super().makeConnection, transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.factory.count(len(data))
        self.factory.counter.timed(super().dataReceived, data)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self.factory.counter.timed(super().connectionLost, reason)

    def write(self, data: bytes) -> None:
        self.factory.count(len(data))
        super().write(data)

    def writeSequence(self, data: Any) -> None:  # noqa: N802
        parts = list(data)
        self.factory.count(sum(map(len, parts)))
        super().writeSequence(parts)


class _CountingFactory(WrappingFactory):
    """Wraps the protocols of a factory."""

    protocol = _CountingProtocol
    noisy = False

    def __init__(self, wrapped: Any, counter: CountingReactor, kind: str) -> None:
        super().__init__(wrapped)
        self.counter = counter
        self._kind = kind

    def count(self, size: int) -> None:
        """Add bytes of either direction."""
        self.counter.bytes_by_kind[self._kind] += size


def counting(reactor: IReactorTCP, kind: str) -> CountingReactor:
    """Return a counting reactor whose connections are all of one kind."""
    return CountingReactor(reactor, lambda port: kind)
