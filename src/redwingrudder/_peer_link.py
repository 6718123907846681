"""Client connection to one peer node, with its outstanding calls.

The chart ``peer_link.scxml`` defines the states of the connection.
"""

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

OUTSTANDING_CALLS_LIMIT = 1_000  # per peer, queued or sent
# A call that waits for the end of a job stays outstanding for up to 30 s. The
# difference to OUTSTANDING_CALLS_LIMIT is reserved for calls that are answered
# immediately.
WAITING_CALLS_LIMIT = 900
OUTSTANDING_LIMIT_BYTES = 16 * 1024 * 1024  # of request payloads per peer
CONNECT_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 60.0
OVERLOAD_RETRY_S = 1.0
PORT_DIGITS_LIMIT = 5

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
    """The limit on outstanding calls that applies to a call.

    Attributes:
        PROMPT: Answered immediately; ``OUTSTANDING_CALLS_LIMIT`` applies.
        WAITING: Waits for the end of a job; ``WAITING_CALLS_LIMIT`` applies.
        REPORT: Never refused, because peers consider a node failed if they
            cannot exchange reports with it.
    """

    PROMPT = enum.auto()
    WAITING = enum.auto()
    REPORT = enum.auto()


class PeerCall(NamedTuple):
    """A call of ``NodeService``.

    ``size`` is the length of its payload and counts against
    ``OUTSTANDING_LIMIT_BYTES``.
    """

    method: str
    arguments: tuple[Any, ...]
    timeout_s: float
    size: int = 0
    kind: CallKind = CallKind.PROMPT


class _OutstandingCall:
    """A call without a reply; ``sent_at`` is None while it is queued."""

    def __init__(self, call: PeerCall, now: float) -> None:
        self.call = call
        self.deadline = now + call.timeout_s
        self.sent_at: float | None = None
        self.sequence = 0
        self.reply: Deferred = Deferred()


class PeerLink:
    """Makes calls to one peer over a connection that is opened on demand.

    Args:
        reactor: Opens the connection.
        address: host:port of the peer's thrift server.
        seconds: Returns the current time in seconds.
    """

    def __init__(
        self, reactor: IReactorTCP, address: str, seconds: Callable[[], float]
    ) -> None:
        self._reactor = reactor
        self.address = address
        self._seconds = seconds
        self._state = _CHART.initial
        self._queue: deque[_OutstandingCall] = deque()
        self._outstanding_calls: set[_OutstandingCall] = set()
        self._outstanding_bytes = 0
        self._last_used = seconds()
        self._connection: PeerClientProtocol | None = None
        self._connecting: Deferred | None = None

    def call(self, call: PeerCall) -> Deferred:
        """Send a call, connecting first if necessary.

        Returns:
            A Deferred that fires with the decoded thrift value of the reply.
            It fails with ``OverloadedError`` or ``UnavailableError`` if the
            call was not sent, with ``OutcomeUnknownError`` if it was sent but
            not answered, or with the error that the peer returned.
        """
        if self._is_full(call):
            error = OverloadedError(
                f"too many calls to {self.address} are outstanding",
                retry_after_s=OVERLOAD_RETRY_S,
            )
            return _failed_deferred(error)
        outstanding = _OutstandingCall(call, self._seconds())
        self._last_used = self._seconds()
        self._outstanding_calls.add(outstanding)
        self._outstanding_bytes += call.size
        self._step("call", outstanding)
        return outstanding.reply

    def _is_full(self, call: PeerCall) -> bool:
        count = len(self._outstanding_calls)
        if call.kind is CallKind.REPORT:
            return False
        if call.kind is CallKind.WAITING and count >= WAITING_CALLS_LIMIT:
            return True
        size = self._outstanding_bytes + call.size
        return count >= OUTSTANDING_CALLS_LIMIT or size > OUTSTANDING_LIMIT_BYTES

    def expire(self, now: float) -> None:
        """Fail calls past their deadline; close the connection if idle.

        Args:
            now: The current time in seconds.
        """
        expired = [item for item in self._outstanding_calls if item.deadline <= now]
        for item in expired:
            self._time_out(item)
        if not self._outstanding_calls and now - self._last_used > IDLE_TIMEOUT_S:
            self._step("idle")

    def fail_sent_calls(self) -> None:
        """Fail all sent calls because the peer is no longer an owner.

        A failed VM does not close its connections. The calls would otherwise
        wait for their timeout although the new owner can answer them.
        """
        for item in list(self._outstanding_calls):
            if item.sent_at is not None:
                self._settle(item, Failure(self._outcome_unknown_error()))

    @property
    def is_unused(self) -> bool:
        """Whether the link has neither calls nor a connection."""
        return self._state == _CHART.initial and not self._outstanding_calls

    def stop(self) -> None:
        """Close the connection and fail all calls."""
        self._step("stop")
        if self._connecting is not None:
            self._connecting.cancel()

    def _step(self, event: str, argument: Any = None) -> None:
        transition = _CHART.step(self._state, event)
        self._state = transition.target
        for action in transition.actions:
            getattr(self, f"_{action}")(argument)

    def _queue_call(self, outstanding: _OutstandingCall) -> None:
        self._queue.append(outstanding)

    def _connect(self, _: object) -> None:
        host, _, port = self.address.rpartition(":")
        if (
            not host
            or not port.isascii()
            or not port.isdecimal()
            or len(port) > PORT_DIGITS_LIMIT
        ):
            self._step("connect_failed", "the address is not of the form host:port")
            return
        endpoint = TCP4ClientEndpoint(
            self._reactor, host, int(port), timeout=CONNECT_TIMEOUT_S
        )
        protocol = PeerClientProtocol(self._seconds, self._connection_lost)
        self._connecting = connectProtocol(endpoint, protocol)
        self._connecting.addCallbacks(self._connected, self._connect_failed)

    def _connected(self, connection: PeerClientProtocol) -> None:
        self._connecting = None
        self._connection = connection
        self._step("connected")

    def _connect_failed(self, failure: Failure) -> None:
        self._connecting = None
        self._step("connect_failed", failure.getErrorMessage())

    def _connection_lost(self, connection: PeerClientProtocol) -> None:
        if connection is self._connection:
            self._connection = None
            self._step("connection_lost")

    def _send_queue(self, _: object) -> None:
        while self._queue:
            self._send(self._queue.popleft())

    def _send(self, outstanding: _OutstandingCall) -> None:
        outstanding.sent_at = self._seconds()
        client = self._connection.client
        reply = getattr(client, outstanding.call.method)(*outstanding.call.arguments)
        outstanding.sequence = client._seqid
        reply.addBoth(self._reply_received, outstanding)

    def _reply_received(self, result: Any, outstanding: _OutstandingCall) -> None:
        """Settle a sent call unless it has timed out.

        Args:
            result: The reply, or a ``Failure``.
            outstanding: The call.
        """
        if outstanding not in self._outstanding_calls:
            return
        if isinstance(result, Failure):
            result = Failure(self._convert_error(result.value))
        self._settle(outstanding, result)

    def _convert_error(self, error: BaseException) -> Exception:
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
            return RedwingrudderError(f"the call to {self.address} failed unexpectedly")
        return self._outcome_unknown_error()

    def _fail_queue(self, reason: object) -> None:
        queue, self._queue = self._queue, deque()
        for item in queue:
            error = UnavailableError(
                f"cannot connect to {self.address}: {reason or 'the node is stopping'}"
            )
            self._settle(item, Failure(error))

    def _fail_sent(self, _: object) -> None:
        """Fail all calls of a closed connection; none is queued by then."""
        for item in list(self._outstanding_calls):
            self._settle(item, Failure(self._outcome_unknown_error()))

    def _disconnect(self, argument: object) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.transport.loseConnection()

    def _time_out(self, outstanding: _OutstandingCall) -> None:
        if outstanding.sent_at is None:
            self._queue.remove(outstanding)
            error: Exception = UnavailableError(
                f"not connected to {self.address} before the call timed out"
            )
        else:
            error = self._outcome_unknown_error()
        self._settle(outstanding, Failure(error))
        self._drop_dead_connection(outstanding)

    def _drop_dead_connection(self, outstanding: _OutstandingCall) -> None:
        """Abort a connection without received data since a call was sent.

        The VM at the other end may have failed without closing it. All later
        calls on the connection would end with an unknown outcome.
        """
        connection = self._connection
        if connection is None or outstanding.sent_at is None:
            return
        if connection.last_received < outstanding.sent_at:
            connection.transport.abortConnection()

    def _settle(self, outstanding: _OutstandingCall, result: Any) -> None:
        if outstanding not in self._outstanding_calls:
            return
        self._outstanding_calls.discard(outstanding)
        self._outstanding_bytes -= outstanding.call.size
        if self._connection is not None:
            self._connection.forget(outstanding.sequence)
        outstanding.reply.callback(result)

    def _outcome_unknown_error(self) -> OutcomeUnknownError:
        return OutcomeUnknownError(f"{self.address} did not answer a call sent to it")


def _failed_deferred(error: Exception) -> Deferred:
    reply: Deferred = Deferred()
    reply.errback(Failure(error))
    return reply
