"""Thrift protocols for the connections between nodes, with size limits.

A frame that cannot be decoded closes only the connection it arrived on.
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
CONNECTIONS_LIMIT = 1_000  # accepted from other nodes
LIST_ENTRIES_LIMIT = 10_000  # also applies to maps and sets
SERVER_IDLE_TIMEOUT_S = 120.0  # longer than the idle timeout of clients
METHOD_NAME_LIMIT = 64  # characters in replies and log lines
LOG_DETAIL_LIMIT = 200  # characters

_logger = logging.getLogger(__name__)


def protocol_factory() -> TCompactProtocolAcceleratedFactory:
    """Return the thrift encoding that all nodes use (compact protocol)."""
    return TCompactProtocolAcceleratedFactory(
        string_length_limit=FRAME_LIMIT_BYTES,
        container_length_limit=LIST_ENTRIES_LIMIT,
    )


class PeerServerProtocol(ThriftServerProtocol):
    """Server end of a connection from another node."""

    MAX_LENGTH = FRAME_LIMIT_BYTES
    calls_in_progress = 0
    last_received = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection with its factory."""
        super().connectionMade()
        self.last_received = self.factory.seconds()
        self.factory.connections.add(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Unregister the connection; an incomplete frame is logged."""
        self.factory.connections.discard(self)
        if self._unprocessed:
            self._log_closed(
                "truncated_frame",
                f"{len(self._unprocessed)} bytes of an incomplete frame",
            )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """See base class."""
        self.last_received = self.factory.seconds()
        super().dataReceived(data)

    def stringReceived(self, frame: bytes) -> None:  # noqa: N802
        """Process one call.

        A call of an unknown method is answered with an error, and the
        connection is closed. A frame that cannot be decoded closes the
        connection without an answer.
        """
        try:
            name = self._read_method(frame)
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
        """Close the connection because the reply could not be encoded."""
        self.calls_in_progress -= 1
        self._close("bad_reply", repr(error.value))

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """See base class."""
        self._close("frame_too_large", f"{length} bytes, limit {FRAME_LIMIT_BYTES}")

    def close_if_idle(self, now: float) -> None:
        """Close the connection if it is idle and no call is in progress.

        Args:
            now: The current time in seconds.
        """
        if (
            not self.calls_in_progress
            and now - self.last_received > SERVER_IDLE_TIMEOUT_S
        ):
            self.transport.abortConnection()

    def _read_method(self, frame: bytes) -> str:
        protocol = self.factory.iprot_factory.getProtocol(
            TTransport.TMemoryBuffer(frame)
        )
        name, _, _ = protocol.readMessageBegin()
        return name

    def _refuse_method(self, frame: bytes) -> None:
        """Reply with UNKNOWN_METHOD, then close the connection."""
        request = self.factory.iprot_factory.getProtocol(
            TTransport.TMemoryBuffer(frame)
        )
        name, _, sequence = request.readMessageBegin()
        buffer = TTransport.TMemoryBuffer()
        reply = self.factory.oprot_factory.getProtocol(buffer)
        reply.writeMessageBegin(
            name[:METHOD_NAME_LIMIT], TMessageType.EXCEPTION, sequence
        )
        error = TApplicationException(
            TApplicationException.UNKNOWN_METHOD,
            f"unknown method {name[:METHOD_NAME_LIMIT]!r}",
        )
        error.write(reply)
        reply.writeMessageEnd()
        self.dispatch(buffer.getvalue())
        self._log_closed("unknown_method", name[:METHOD_NAME_LIMIT])
        self.transport.loseConnection()

    def _close(self, code: str, detail: str) -> None:
        self._unprocessed = b""
        self._log_closed(code, detail)
        self.transport.abortConnection()

    def _log_closed(self, code: str, detail: str) -> None:
        _logger.warning(
            "connection from a peer closed",
            extra={
                "code": code,
                "detail": detail[:LOG_DETAIL_LIMIT],
                "peer": str(self.transport.getPeer()),
            },
        )


class PeerServerFactory(ThriftServerFactory):
    """Accepts connections from other nodes.

    Args:
        handler: Implements the methods of the service.
        seconds: Returns the current time in seconds.
        service: Generated module of the thrift service.
    """

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
        """Return None to close the connection if there are too many."""
        if len(self.connections) >= CONNECTIONS_LIMIT:
            return None
        return super().buildProtocol(address)


class PeerClientProtocol(ThriftClientProtocol):
    """Client end of a connection to another node.

    Args:
        seconds: Returns the current time in seconds.
        on_lost: Called with this protocol when the connection is lost.
        service: Generated module of the thrift service.
        on_data: Called when data has arrived.
    """

    MAX_LENGTH = FRAME_LIMIT_BYTES
    last_received = 0.0

    def __init__(
        self,
        seconds: Callable[[], float],
        on_lost: Callable[["PeerClientProtocol"], None],
        service: Any = NodeService,
        on_data: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(service.Client, protocol_factory())
        self._service = service
        self._seconds = seconds
        self._on_lost = on_lost
        self._on_data = on_data

    def dispatch(self, msg: bytes) -> None:
        """Send a frame.

        Raises:
            PayloadTooLargeError: The server would not accept the frame.
        """
        if len(msg) > FRAME_LIMIT_BYTES:
            raise PayloadTooLargeError(
                f"the call has {len(msg)} bytes, the limit is {FRAME_LIMIT_BYTES} bytes"
            )
        super().dispatch(msg)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """See base class."""
        self.last_received = self._seconds()
        self._on_data()
        super().dataReceived(data)

    def stringReceived(self, frame: bytes) -> None:  # noqa: N802
        """Pass a reply to its call; replies to timed-out calls are dropped."""
        try:
            protocol = self._iprot_factory.getProtocol(TTransport.TMemoryBuffer(frame))
            name, kind, sequence = protocol.readMessageBegin()
            if sequence not in self.client._reqs:
                return
            if name not in self._service.Iface:
                raise TApplicationException(
                    TApplicationException.UNKNOWN_METHOD,
                    f"reply to unknown method {name[:METHOD_NAME_LIMIT]!r}",
                )
            getattr(self.client, f"recv_{name}")(protocol, kind, sequence)
        except Exception as error:
            self._close("bad_frame", repr(error))

    def forget(self, sequence: int) -> None:
        """Remove a call whose reply is no longer expected."""
        if self.client is not None:
            self.client._reqs.pop(sequence, None)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """See base class."""
        self._close("frame_too_large", f"{length} bytes, limit {FRAME_LIMIT_BYTES}")

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Call ``on_lost`` before the base class fails the calls."""
        self._on_lost(self)
        super().connectionLost(reason)

    def _close(self, code: str, detail: str) -> None:
        _logger.warning(
            "connection to a peer closed",
            extra={
                "code": code,
                "detail": detail[:LOG_DETAIL_LIMIT],
                "peer": str(self.transport.getPeer()),
            },
        )
        self.transport.abortConnection()
