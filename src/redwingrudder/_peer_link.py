"""The connection to one peer node and its outstanding calls."""

import enum
import logging
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from thrift.Thrift import TApplicationException, TException
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.interfaces import IReactorTCP
from twisted.python.failure import Failure

from ._peer_codec import decode_error
from ._peer_wire import PeerClientProtocol
from ._wire.generated.node.ttypes import Fault
from .exceptions import (
    OutcomeUnknownError,
    OverloadedError,
    RedwingrudderError,
    UnavailableError,
)
from .statecharts import load_chart

OUTSTANDING_LIMIT = 1_000  # calls per peer, queued and sent
# Callers that wait for the end of a job hold their call for up to 30 s; the
# rest of the bound is left to calls that are answered at once.
WAITING_LIMIT = 900
OUTSTANDING_LIMIT_BYTES = 16 * 1024 * 1024  # of request payloads per peer
CONNECT_TIMEOUT_S = 2.0
IDLE_S = 60.0
OVERLOAD_RETRY_S = 1.0

_CHART = load_chart(
    "peer_link",
    frozenset(
        {"call", "connected", "connect_failed", "connection_lost", "idle", "stop"}
    ),
    frozenset(
        {
            "queue_call",
            "connect",
            "send_queue",
            "fail_queue",
            "fail_sent",
            "disconnect",
        }
    ),
)
_logger = logging.getLogger(__name__)


class CallKind(enum.Enum):
    """Which share of the bound on outstanding calls a call counts against.

    Reports are exempt: a node that is refused its reports counts as dead.
    """

    PROMPT = enum.auto()
    WAITING = enum.auto()
    REPORT = enum.auto()


class PeerCall(NamedTuple):
    """A call of ``NodeService``; ``size`` is its payload in bytes."""

    method: str
    arguments: tuple[Any, ...]
    timeout_s: float
    size: int = 0
    kind: CallKind = CallKind.PROMPT


class _Outstanding:
    """A call that has no reply yet."""

    def __init__(self, call: PeerCall, now: float) -> None:
        self.call = call
        self.deadline = now + call.timeout_s
        self.sent_at: float | None = None
        self.sequence = 0
        self.reply: Deferred = Deferred()


class PeerLink:
    """Calls one peer over a connection that is opened on demand.

    Args:
        reactor: Opens the connection.
        address: host:port of the peer's thrift server.
        seconds: The clock.
    """

    def __init__(
        self, reactor: IReactorTCP, address: str, seconds: Callable[[], float]
    ) -> None:
        self._reactor = reactor
        self.address = address
        self._seconds = seconds
        self._state = _CHART.initial
        self._queue: deque[_Outstanding] = deque()
        self._outstanding: set[_Outstanding] = set()
        self._outstanding_bytes = 0
        self._last_used = seconds()
        self._connection: PeerClientProtocol | None = None
        self._connecting: Deferred | None = None

    def call(self, call: PeerCall) -> Deferred:
        """Send a call; the Deferred fires with the struct of the reply.

        Errors are ``OverloadedError`` and ``UnavailableError`` (not sent),
        ``OutcomeUnknownError`` (sent, no reply) or the peer's own.
        """
        if self._is_full(call):
            error = OverloadedError(
                f"too many calls to {self.address} wait for a reply",
                retry_after_s=OVERLOAD_RETRY_S,
            )
            return _failed(error)
        outstanding = _Outstanding(call, self._seconds())
        self._last_used = self._seconds()
        self._outstanding.add(outstanding)
        self._outstanding_bytes += call.size
        self._step("call", outstanding)
        return outstanding.reply

    def _is_full(self, call: PeerCall) -> bool:
        count = len(self._outstanding)
        if call.kind is CallKind.REPORT:
            return False
        if call.kind is CallKind.WAITING and count >= WAITING_LIMIT:
            return True
        size = self._outstanding_bytes + call.size
        return count >= OUTSTANDING_LIMIT or size > OUTSTANDING_LIMIT_BYTES

    def sweep(self, now: float) -> None:
        """End calls whose time is over; close an idle connection."""
        late = [item for item in self._outstanding if item.deadline <= now]
        for item in late:
            self._time_out(item)
        if not self._outstanding and now - self._last_used > IDLE_S:
            self._step("idle")

    def abandon(self) -> None:
        """End all sent calls; the peer is no owner any more.

        A dead VM sends nothing, so the calls would otherwise wait for their
        timeout although a new owner can answer them.
        """
        for item in list(self._outstanding):
            if item.sent_at is not None:
                self._settle(item, Failure(self._outcome_unknown()))

    @property
    def is_unused(self) -> bool:
        """Whether the link holds neither calls nor a connection."""
        return self._state == _CHART.initial and not self._outstanding

    def stop(self) -> None:
        """Close the connection and end all calls."""
        self._step("stop")
        if self._connecting is not None:
            self._connecting.cancel()

    def _step(self, event: str, argument: Any = None) -> None:
        transition = _CHART.step(self._state, event)
        self._state = transition.target
        for action in transition.actions:
            getattr(self, f"_{action}")(argument)

    def _queue_call(self, outstanding: _Outstanding) -> None:
        self._queue.append(outstanding)

    def _connect(self, _: object) -> None:
        host, _, port = self.address.rpartition(":")
        if not host or not port.isascii() or not port.isdecimal() or len(port) > 5:
            self._step("connect_failed", "the address is no host:port")
            return
        endpoint = TCP4ClientEndpoint(
            self._reactor, host, int(port), timeout=CONNECT_TIMEOUT_S
        )
        protocol = PeerClientProtocol(self._seconds, self._lost)
        self._connecting = connectProtocol(endpoint, protocol)
        self._connecting.addCallbacks(self._connected, self._connect_failed)

    def _connected(self, connection: PeerClientProtocol) -> None:
        self._connecting = None
        self._connection = connection
        self._step("connected")

    def _connect_failed(self, failure: Failure) -> None:
        self._connecting = None
        self._step("connect_failed", failure.getErrorMessage())

    def _lost(self, connection: PeerClientProtocol) -> None:
        if connection is self._connection:
            self._connection = None
            self._step("connection_lost")

    def _send_queue(self, _: object) -> None:
        while self._queue:
            self._send(self._queue.popleft())

    def _send(self, outstanding: _Outstanding) -> None:
        outstanding.sent_at = self._seconds()
        client = self._connection.client
        reply = getattr(client, outstanding.call.method)(*outstanding.call.arguments)
        outstanding.sequence = client._seqid
        reply.addBoth(self._replied, outstanding)

    def _replied(self, result: Any, outstanding: _Outstanding) -> None:
        """Settle a call that still waits; the reply may be an error."""
        if outstanding not in self._outstanding:
            return
        if isinstance(result, Failure):
            result = Failure(self._error(result.value))
        self._settle(outstanding, result)

    def _error(self, error: BaseException) -> Exception:
        if isinstance(error, Fault):
            return decode_error(error)
        if isinstance(error, RedwingrudderError):
            return error
        if isinstance(error, TApplicationException):
            return UnavailableError(
                f"{self.address} rejected the call: {error.message}",
                code="peer_rejected",
            )
        if not isinstance(error, TException):
            _logger.error(
                "call to a peer failed unexpectedly",
                extra={"peer": self.address, "error": repr(error)},
            )
            return RedwingrudderError(f"the call to {self.address} failed")
        return self._outcome_unknown()

    def _fail_queue(self, reason: object) -> None:
        queue, self._queue = self._queue, deque()
        for item in queue:
            error = UnavailableError(
                f"{self.address} cannot be reached: {reason or 'shutting down'}"
            )
            self._settle(item, Failure(error))

    def _fail_sent(self, _: object) -> None:
        for item in list(self._outstanding):
            self._settle(item, Failure(self._outcome_unknown()))

    def _disconnect(self, argument: object) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.transport.loseConnection()

    def _time_out(self, outstanding: _Outstanding) -> None:
        if outstanding.sent_at is None:
            self._queue.remove(outstanding)
            error: Exception = UnavailableError(f"no connection to {self.address}")
        else:
            error = self._outcome_unknown()
        self._settle(outstanding, Failure(error))
        self._drop_dead_connection(outstanding)

    def _drop_dead_connection(self, outstanding: _Outstanding) -> None:
        """Abort a connection that has been silent for the whole call.

        The VM at its other end may be gone without a word, and calls sent on
        such a connection would all end with an unknown outcome.
        """
        connection = self._connection
        if connection is None or outstanding.sent_at is None:
            return
        if connection.last_received < outstanding.sent_at:
            connection.transport.abortConnection()

    def _settle(self, outstanding: _Outstanding, result: Any) -> None:
        if outstanding not in self._outstanding:
            return
        self._outstanding.discard(outstanding)
        self._outstanding_bytes -= outstanding.call.size
        if self._connection is not None:
            self._connection.forget(outstanding.sequence)
        outstanding.reply.callback(result)

    def _outcome_unknown(self) -> OutcomeUnknownError:
        return OutcomeUnknownError(f"{self.address} gave no answer to a call sent")


def _failed(error: Exception) -> Deferred:
    reply: Deferred = Deferred()
    reply.errback(Failure(error))
    return reply
