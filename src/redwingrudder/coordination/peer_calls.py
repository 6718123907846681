"""Thrift calls to and from the other nodes."""

import logging
from collections.abc import Callable
from typing import Any

from thrift.Thrift import TException
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionRefusedError
from zope.interface import implementer

from .._peer_wire import PeerClientProtocol
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

_logger = logging.getLogger(__name__)


class PeerLink:
    """A connection to one node, opened with the first call."""

    def __init__(self, reactor: Any, address: str) -> None:
        self._reactor = reactor
        host, _, port = address.rpartition(":")
        self._endpoint = TCP4ClientEndpoint(
            reactor, host, int(port), timeout=CONNECT_TIMEOUT_S
        )
        self._protocol: PeerClientProtocol | None = None
        self._connecting: Deferred | None = None

    async def call(self, method: str, arguments: tuple, timeout_s: float) -> Any:
        """Return the reply.

        Raises:
            UnavailableError: There is no answer in time.
            UnavailableError: The other node refused, with its code.
        """
        reply = ensureDeferred(self._call(method, arguments))
        reply.addTimeout(timeout_s, self._reactor)
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
            self.close()
            raise UnavailableError(f"{method}: {error!r}") from error

    async def _call(self, method: str, arguments: tuple) -> Any:
        if self._protocol is None:
            protocol = PeerClientProtocol(
                self._reactor.seconds, self._connection_lost, CoordinationService
            )
            self._protocol = await connectProtocol(self._endpoint, protocol)
        return await getattr(self._protocol.client, method)(*arguments)

    def close(self) -> None:
        """Drop the connection, which may have gone silent."""
        protocol, self._protocol = self._protocol, None
        if protocol is not None and protocol.transport is not None:
            protocol.transport.abortConnection()

    def _connection_lost(self, protocol: PeerClientProtocol) -> None:
        if self._protocol is protocol:
            self._protocol = None


@implementer(CoordinationService.Iface)
class PeerHandler:
    """Calls of other nodes; each asks a local actor."""

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
        """Return the document if it is above a version, else an empty text."""
        return self._serve(CONFIGURATION, GetConfigurationDocument(above_version))

    def store_workflow(self, workflow_id: str, document: str) -> Deferred:
        """Store a workflow for a node that the store turns away."""
        return self._serve(INTAKE, StoreForPeer(workflow_id, document), None)

    def announce_workflow(self, workflow_id: str, document: str) -> None:
        """Tell the coordinator of a stored workflow."""
        self._tell(COORDINATOR, WorkflowStored(workflow_id, document))

    def store_cancel(self, workflow_id: str) -> Deferred:
        """Store a cancellation; returns whether the workflow is known."""
        return self._serve(INTAKE, CancelForPeer(workflow_id))

    def announce_cancel(self, workflow_id: str) -> None:
        """Tell the coordinator of a stored cancellation."""
        self._tell(COORDINATOR, CancelStored(workflow_id))

    def state(self, workflow_id: str) -> Deferred:
        """Return the state that the coordinator knows, empty if none."""
        return self._serve(COORDINATOR, GetState(workflow_id))

    def read_state(self, workflow_id: str) -> Deferred:
        """Return the state from the store, empty if there is none."""
        return self._serve(INTAKE, ReadStateForPeer(workflow_id))

    def queue_length(self, queue: str) -> Deferred:
        """Return the workflows of a queue without a started task."""
        return self._serve(COORDINATOR, GetQueueLength(queue))

    def _serve(self, actor: str, message: Any, *fixed: Any) -> Deferred:
        reply = self._ask(actor, message)
        if fixed:
            reply.addCallback(lambda _: fixed[0])
        return reply.addErrback(self._fault)

    def _fault(self, failure: Any) -> None:
        error = failure.value
        if isinstance(error, RedwingrudderError):
            raise Fault(error.code, error.detail, error.retry_after_s or 0.0)
        _logger.error("call failed", extra={"traceback": failure.getTraceback()})
        raise Fault("internal_error", "unexpected error", 1.0)
