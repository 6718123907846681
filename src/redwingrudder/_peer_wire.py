"""Thrift protocols of the connections between nodes, with their limits.

A frame that cannot be decoded closes its connection and nothing else.
"""

import logging
from collections.abc import Callable
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TApplicationException, TMessageType
from thrift.transport import TTransport
from thrift.transport.TTwisted import (
    ThriftClientProtocol,
    ThriftServerFactory,
    ThriftServerProtocol,
)
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from ._wire.generated.node import NodeService
from .exceptions import PayloadTooLargeError

FRAME_LIMIT_BYTES = 1024 * 1024
CONNECTIONS_LIMIT = 1_000  # from other nodes
CONTAINER_LIMIT = 10_000  # entries of a list
SERVER_IDLE_S = 120.0  # clients close their own idle connections earlier

_logger = logging.getLogger(__name__)


def protocol_factory() -> TCompactProtocolAcceleratedFactory:
    """Return the factory of the encoding that all nodes use."""
    return TCompactProtocolAcceleratedFactory(
        string_length_limit=FRAME_LIMIT_BYTES,
        container_length_limit=CONTAINER_LIMIT,
    )


class PeerServerProtocol(ThriftServerProtocol):
    """The server's end of a connection."""

    MAX_LENGTH = FRAME_LIMIT_BYTES
    calls_in_progress = 0
    last_received = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection with its factory."""
        super().connectionMade()
        self.last_received = self.factory.seconds()
        self.factory.connections.add(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Forget the connection; a started frame is reported."""
        self.factory.connections.discard(self)
        if self._unprocessed:
            self._report("truncated_frame", f"{len(self._unprocessed)} bytes left")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """See base class."""
        self.last_received = self.factory.seconds()
        super().dataReceived(data)

    def stringReceived(self, frame: bytes) -> None:  # noqa: N802
        """Process one frame, or answer and close when it is not a call."""
        try:
            name = self._method(frame)
            if name not in self.factory.service.Iface:
                self._refuse_method(frame)
                return
            self.calls_in_progress += 1
            super().stringReceived(frame)
        except Exception as error:
            self._close("bad_frame", repr(error))

    def processOk(self, result: object, buffer: TTransport.TMemoryBuffer) -> None:  # noqa: N802
        """See base class."""
        self.calls_in_progress -= 1
        super().processOk(result, buffer)

    def processError(self, error: Failure) -> None:  # noqa: N802
        """Close the connection: the reply cannot be encoded."""
        self.calls_in_progress -= 1
        self._close("bad_reply", repr(error.value))

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """See base class."""
        self._close("frame_too_large", f"{length} bytes, {FRAME_LIMIT_BYTES} allowed")

    def close_if_idle(self, now: float) -> None:
        """Close a connection that neither sends nor waits for a reply."""
        if not self.calls_in_progress and now - self.last_received > SERVER_IDLE_S:
            self.transport.abortConnection()

    def _method(self, frame: bytes) -> str:
        protocol = self.factory.iprot_factory.getProtocol(
            TTransport.TMemoryBuffer(frame)
        )
        name, _, _ = protocol.readMessageBegin()
        return name

    def _refuse_method(self, frame: bytes) -> None:
        """Answer with UNKNOWN_METHOD and close after the answer."""
        source = self.factory.iprot_factory.getProtocol(TTransport.TMemoryBuffer(frame))
        name, _, sequence = source.readMessageBegin()
        buffer = TTransport.TMemoryBuffer()
        reply = self.factory.oprot_factory.getProtocol(buffer)
        reply.writeMessageBegin(name[:64], TMessageType.EXCEPTION, sequence)
        error = TApplicationException(
            TApplicationException.UNKNOWN_METHOD, f"unknown method {name[:64]!r}"
        )
        error.write(reply)
        reply.writeMessageEnd()
        self.dispatch(buffer.getvalue())
        self._report("unknown_method", name[:64])
        self.transport.loseConnection()

    def _close(self, code: str, detail: str) -> None:
        self._unprocessed = b""
        self._report(code, detail)
        self.transport.abortConnection()

    def _report(self, code: str, detail: str) -> None:
        _logger.warning(
            "connection from a peer closed",
            extra={
                "code": code,
                "detail": detail[:200],
                "peer": str(self.transport.getPeer()),
            },
        )


class PeerServerFactory(ThriftServerFactory):
    """Connections that other nodes opened; ``seconds`` is the clock."""

    protocol = PeerServerProtocol
    noisy = False

    def __init__(
        self, handler: Any, seconds: Callable[[], float], service: Any = NodeService
    ) -> None:
        super().__init__(service.Processor(handler), protocol_factory())
        self.service = service
        self.seconds = seconds
        self.connections: set[PeerServerProtocol] = set()

    def buildProtocol(self, address: IAddress) -> PeerServerProtocol | None:  # noqa: N802
        """Return None at the bound, which closes the connection."""
        if len(self.connections) >= CONNECTIONS_LIMIT:
            return None
        return super().buildProtocol(address)


class PeerClientProtocol(ThriftClientProtocol):
    """The client's end of a connection; ``lost`` is told of its end."""

    MAX_LENGTH = FRAME_LIMIT_BYTES
    last_received = 0.0

    def __init__(
        self,
        seconds: Callable[[], float],
        lost: Callable[["PeerClientProtocol"], None],
        service: Any = NodeService,
    ) -> None:
        super().__init__(service.Client, protocol_factory())
        self._service = service
        self._seconds = seconds
        self._lost = lost

    def dispatch(self, msg: bytes) -> None:
        """Send a frame unless it is above the limit of the other side."""
        if len(msg) > FRAME_LIMIT_BYTES:
            raise PayloadTooLargeError(
                f"the call has {len(msg)} bytes, {FRAME_LIMIT_BYTES} are allowed"
            )
        super().dispatch(msg)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """See base class."""
        self.last_received = self._seconds()
        super().dataReceived(data)

    def stringReceived(self, frame: bytes) -> None:  # noqa: N802
        """Hand a reply to its call; replies after a timeout are dropped."""
        try:
            protocol = self._iprot_factory.getProtocol(TTransport.TMemoryBuffer(frame))
            name, kind, sequence = protocol.readMessageBegin()
            if sequence not in self.client._reqs:
                return
            if name not in self._service.Iface:
                raise TApplicationException(
                    TApplicationException.UNKNOWN_METHOD, f"reply to {name[:64]!r}"
                )
            getattr(self.client, f"recv_{name}")(protocol, kind, sequence)
        except Exception as error:
            self._close("bad_frame", repr(error))

    def forget(self, sequence: int) -> None:
        """Drop a call whose reply is no longer awaited."""
        if self.client is not None:
            self.client._reqs.pop(sequence, None)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """See base class."""
        self._close("frame_too_large", f"{length} bytes, {FRAME_LIMIT_BYTES} allowed")

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Report the end before the calls fail."""
        self._lost(self)
        super().connectionLost(reason)

    def _close(self, code: str, detail: str) -> None:
        _logger.warning(
            "connection to a peer closed",
            extra={
                "code": code,
                "detail": detail[:200],
                "peer": str(self.transport.getPeer()),
            },
        )
        self.transport.abortConnection()
