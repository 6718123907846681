"""Client and server side of the Thrift calls between nodes."""

import logging
from collections.abc import Callable
from typing import Any

from thrift.Thrift import TException
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionRefusedError
from zope.interface import implementer

from .._peer_wire import PeerClientProtocol
from .._transfer_limit import TransferLimit
from .._wire.generated.coordination import CoordinationService
from .._wire.generated.coordination.ttypes import Fault, WireNodeSummary
from ..exceptions import OutcomeUnknownError, RedwingrudderError, UnavailableError
from .gateways import CONFIGURATION, COORDINATOR, INTAKE
from .messages import (
    CancelForPeer,
    CancelStored,
    GetConfigurationDocument,
    GetQueueLength,
    GetState,
    ReadStateForPeer,
    StoreForPeer,
    WorkflowStored,
)

CONNECT_TIMEOUT_S = 0.5
INTERNAL_ERROR_RETRY_S = 1.0  # proposed to the calling node

_logger = logging.getLogger(__name__)


class PeerLink:
    """Connection to one node; each call reopens it if it is closed.

    Args:
        reactor: Opens connections and provides the time.
        address: "host:port" of the other node.
    """

    def __init__(self, reactor: Any, address: str) -> None:
        self._reactor = reactor
        host, _, port = address.rpartition(":")
        self._endpoint = TCP4ClientEndpoint(
            reactor, host, int(port), timeout=CONNECT_TIMEOUT_S
        )
        self._protocol: PeerClientProtocol | None = None
        self._limits: set[TransferLimit] = set()

    async def call(
        self, method: str, arguments: tuple, timeout_s: float, transfer_s: float = 0.0
    ) -> Any:
        """Call a method of ``CoordinationService`` and return its result.

        Args:
            method: Name of the method.
            arguments: Positional arguments of the method.
            timeout_s: Time limit in seconds, including the connection setup.
            transfer_s: Additional seconds for a reply of which parts keep
                arriving at most ``timeout_s`` apart.

        Raises:
            UnavailableError: The connection was refused (code
                ``connection_refused``), the call failed or timed out, or the
                other node answered with an error, whose code is kept.
            OutcomeUnknownError: The other node answered that it does not
                know whether the operation took effect.
        """
        reply = ensureDeferred(self._call(method, arguments))
        limit = TransferLimit(self._reactor, reply, timeout_s, transfer_s)
        self._limits.add(limit)
        try:
            return await reply
        except Fault as fault:
            error_class = (
                OutcomeUnknownError
                if fault.code == OutcomeUnknownError.code
                else UnavailableError
            )
            raise error_class(
                fault.detail, code=fault.code, retry_after_s=fault.retry_after_s
            ) from fault
        except ConnectionRefusedError as error:
            raise UnavailableError(str(error), code="connection_refused") from error
        except (TException, Exception) as error:
            # A reply of another call may still be arriving.
            if not (limit.expired and limit.arriving):
                self.close()
            reason = "time limit" if limit.expired else repr(error)
            raise UnavailableError(
                f"call of {method} to a peer failed: {reason}"
            ) from error
        finally:
            self._limits.discard(limit)

    async def _call(self, method: str, arguments: tuple) -> Any:
        if self._protocol is None:
            protocol = PeerClientProtocol(
                self._reactor.seconds,
                self._connection_lost,
                CoordinationService,
                self._data_received,
            )
            self._protocol = await connectProtocol(self._endpoint, protocol)
        return await getattr(self._protocol.client, method)(*arguments)

    def close(self) -> None:
        """Abort the connection, which may be dead without an error."""
        protocol, self._protocol = self._protocol, None
        if protocol is not None and protocol.transport is not None:
            protocol.transport.abortConnection()

    def _data_received(self) -> None:
        """Extend the time limits: replies arrive one after the other."""
        for limit in self._limits:
            limit.extend()

    def _connection_lost(self, protocol: PeerClientProtocol) -> None:
        if self._protocol is protocol:
            self._protocol = None


@implementer(CoordinationService.Iface)
class PeerHandler:
    """Serves the calls of other nodes by messages to local actors.

    Args:
        ask: Sends a message to an actor and returns a Deferred of the reply.
        tell: Sends a message to an actor without a reply.
        exchange: Applies the summary of the calling node and returns that of
            this node.
    """

    def __init__(
        self,
        ask: Callable[[str, Any], Deferred],
        tell: Callable[[str, Any], None],
        exchange: Callable[[WireNodeSummary], WireNodeSummary],
    ) -> None:
        self._ask = ask
        self._tell = tell
        self.exchange = exchange

    def configuration(self, above_version: int) -> Deferred:
        """Return the document if its version is higher, otherwise ""."""
        return self._serve(CONFIGURATION, GetConfigurationDocument(above_version))

    def store_workflow(self, workflow_id: str, document: str) -> Deferred:
        """Store a workflow for a node that cannot reach the store."""
        return self._serve(INTAKE, StoreForPeer(workflow_id, document), None)

    def announce_workflow(self, workflow_id: str, document: str) -> None:
        """Notify the coordinator on this node of a stored workflow."""
        self._tell(COORDINATOR, WorkflowStored(workflow_id, document))

    def store_cancel(self, workflow_id: str) -> Deferred:
        """Store a cancellation and return whether the workflow exists."""
        return self._serve(INTAKE, CancelForPeer(workflow_id))

    def announce_cancel(self, workflow_id: str) -> None:
        """Notify the coordinator on this node of a stored cancellation."""
        self._tell(COORDINATOR, CancelStored(workflow_id))

    def state(self, workflow_id: str) -> Deferred:
        """Return the coordinator's state of a workflow, "" if unknown."""
        return self._serve(COORDINATOR, GetState(workflow_id))

    def read_state(self, workflow_id: str) -> Deferred:
        """Return the state recorded in the store, "" without a record."""
        return self._serve(INTAKE, ReadStateForPeer(workflow_id))

    def queue_length(self, queue: str) -> Deferred:
        """Return how many workflows of a queue have no started task."""
        return self._serve(COORDINATOR, GetQueueLength(queue))

    def _serve(self, actor: str, message: Any, *fixed_result: Any) -> Deferred:
        """Ask an actor; ``fixed_result`` replaces its reply if it is given."""
        reply = self._ask(actor, message)
        if fixed_result:
            reply.addCallback(lambda _: fixed_result[0])
        return reply.addErrback(self._raise_fault)

    def _raise_fault(self, failure: Any) -> None:
        """Convert the error of an actor to the Thrift exception."""
        error = failure.value
        if isinstance(error, RedwingrudderError):
            raise Fault(error.code, error.detail, error.retry_after_s or 0.0)
        _logger.error(
            "call of a peer failed unexpectedly",
            extra={"traceback": failure.getTraceback()},
        )
        raise Fault(
            "internal_error",
            "unexpected error while a peer's call was served",
            INTERNAL_ERROR_RETRY_S,
        )
