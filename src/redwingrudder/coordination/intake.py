"""Stores what callers submit and answers what they ask, at every node."""

import logging
import time
from typing import Any

from .._background import pause
from .._store_requests import Compare, GetKey, GetPrefix, KeyValue, PutKey, Transact
from ..actors import Actor, ActorSystem, Handler
from ..exceptions import (
    OutcomeUnknownError,
    RedwingrudderError,
    StoreUnavailableError,
    UnavailableError,
)
from ..workflows import records
from ..workflows.model import WorkflowState
from .gateways import (
    CANCEL_SUFFIX,
    COORDINATOR,
    INTAKE,
    INTAKE_PREFIX,
    PEERS,
    PROGRESS_PREFIX,
    STORE,
    intake_keys,
)
from .leadership import Identity
from .messages import (
    CancelForPeer,
    CancelStored,
    CancelWorkflow,
    CoordinatorKnown,
    GetQueueLength,
    GetState,
    ReadStateForPeer,
    StoreAvailability,
    StoreForPeer,
    SubmitWorkflow,
    WorkflowStored,
)
from .peers import CallPeer, ListPeers

RETRY_AFTER_S = 1.0  # told to callers while the store answers no node
WRITE_RETRY_S = 0.05  # keeps a store that resets connections from being flooded
RELAYS = 2  # peers that are asked to store on this node's behalf

_logger = logging.getLogger(__name__)


class Intake(Actor):
    """Accepts and cancels workflows without the coordinator.

    Args:
        system: The node's actors.
        identity: This process.
    """

    def __init__(self, system: ActorSystem, identity: Identity) -> None:
        self._identity = identity
        self._coordinator = CoordinatorKnown("", "", 0)
        self._store_available = True
        super().__init__(system, INTAKE)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            CoordinatorKnown: self._set_coordinator,
            StoreAvailability: self._set_store,
            SubmitWorkflow: self._submit,
            CancelWorkflow: self._cancel,
            GetState: self._state,
            GetQueueLength: self._queue_length,
            StoreForPeer: self._store_for_peer,
            CancelForPeer: self._cancel_for_peer,
            ReadStateForPeer: lambda m: self._read_state(m.workflow_id),
        }

    def _set_store(self, message: StoreAvailability) -> None:
        self._store_available = message.available

    def _set_coordinator(self, message: CoordinatorKnown) -> None:
        self._coordinator = message

    async def _submit(self, message: SubmitWorkflow) -> bool:
        workflow = message.workflow
        document = records.encode_workflow(workflow).decode()
        deadline = self.system.clock.seconds() + message.give_up_s
        try:
            self._check_store()
            await self._store_until(workflow.workflow_id, document, deadline)
            via = "store"
        except StoreUnavailableError:
            await self._relay(
                "store_workflow", (workflow.workflow_id, document), deadline
            )
            via = "neighbour"
        _logger.info(
            "job accepted",
            extra={
                "job": workflow.workflow_id,
                "organisation": workflow.organisation,
                "queue": workflow.queue,
                "tasks": sum(step.tasks for step in workflow.steps),
                "via": via,
            },
        )
        self._announce(
            "announce_workflow", WorkflowStored(workflow.workflow_id, document)
        )
        return True

    def _check_store(self) -> None:
        """Send no write to a store that does not answer.

        Such a write may take effect later, so the caller could be told
        neither that its workflow was accepted nor that it will never run.
        """
        if not self._store_available:
            raise StoreUnavailableError("the store does not answer")

    async def _store_until(
        self, workflow_id: str, document: str, deadline: float
    ) -> None:
        """Store a document under the condition that the id is new.

        Raises:
            StoreUnavailableError: Surely nothing was and will be stored.
            OutcomeUnknownError: A write may still take effect.
        """
        key = INTAKE_PREFIX + workflow_id
        uncertain = False
        while True:
            try:
                await self.ask(
                    STORE, Transact((Compare(key, 0),), (PutKey(key, document),))
                )
                # A failed comparison means that the id is stored already.
                return
            except OutcomeUnknownError:
                uncertain = True
            except RedwingrudderError as error:
                if not uncertain:
                    raise StoreUnavailableError(
                        error.detail, retry_after_s=RETRY_AFTER_S
                    ) from error
            if self.system.clock.seconds() > deadline:
                raise OutcomeUnknownError("the store did not confirm the write")
            await pause(self.system.clock, WRITE_RETRY_S)

    async def _relay(self, method: str, arguments: tuple, deadline: float) -> Any:
        """Let a node that the store serves carry out a call.

        Raises:
            UnavailableError: No node could; nothing was stored.
            OutcomeUnknownError: A node was asked and did not answer.
        """
        for address in await self._relays():
            left_s = deadline - self.system.clock.seconds()
            if left_s <= 0:
                break
            try:
                return await self.ask(
                    PEERS,
                    CallPeer(address, method, arguments, min(left_s, 1.5)),
                )
            except RedwingrudderError as error:
                _logger.info(
                    "relay failed", extra={"peer": address, "error": str(error)}
                )
                if error.code not in ("store_unavailable", "connection_refused"):
                    raise OutcomeUnknownError(error.detail) from error
        raise UnavailableError(
            "the store turns this node away and no neighbour is served",
            code="store_unavailable",
            retry_after_s=RETRY_AFTER_S,
        )

    async def _relays(self) -> list[str]:
        view = await self.ask(PEERS, ListPeers())
        served = [other.address for other in view.fresh if other.store_available]
        served.sort(key=lambda address: address != self._coordinator.address)
        return served[:RELAYS]

    async def _store_for_peer(self, message: StoreForPeer) -> None:
        self._check_store()
        deadline = self.system.clock.seconds() + 1.0
        await self._store_until(message.workflow_id, message.document, deadline)

    async def _cancel(self, message: CancelWorkflow) -> bool:
        deadline = self.system.clock.seconds() + message.give_up_s
        try:
            known = await self._store_cancel(message.workflow_id, deadline)
        except UnavailableError:
            known = await self._relay("store_cancel", (message.workflow_id,), deadline)
        if known:
            _logger.info("job cancelled", extra={"job": message.workflow_id})
            self._announce("announce_cancel", CancelStored(message.workflow_id))
        return known

    async def _store_cancel(self, workflow_id: str, deadline: float) -> bool:
        """Store a cancellation; it is the same however often it is written."""
        key, cancel_key = intake_keys(workflow_id)
        while True:
            try:
                item: KeyValue | None = await self.ask(STORE, GetKey(key))
                if item is None:
                    return False
                compare = Compare(key, item.mod_revision)
                put = PutKey(cancel_key, str(time.time()))
                await self.ask(STORE, Transact((compare,), (put,)))
                return True
            except OutcomeUnknownError:
                if self.system.clock.seconds() > deadline:
                    raise
                await pause(self.system.clock, WRITE_RETRY_S)

    async def _cancel_for_peer(self, message: CancelForPeer) -> bool:
        deadline = self.system.clock.seconds() + 1.0
        return await self._store_cancel(message.workflow_id, deadline)

    async def _state(self, message: GetState) -> str:
        """Ask the coordinator; what it does not know, the store may."""
        try:
            state = await self._ask_coordinator("state", message)
            if state:
                return state
        except RedwingrudderError as error:
            _logger.debug("coordinator not asked", extra={"error": str(error)})
        try:
            return await self._read_state(message.workflow_id)
        except UnavailableError:
            deadline = self.system.clock.seconds() + 1.0
            return await self._relay("read_state", (message.workflow_id,), deadline)

    async def _read_state(self, workflow_id: str) -> str:
        reply = await self.ask(STORE, GetPrefix(INTAKE_PREFIX + workflow_id))
        if not reply.pairs:
            return ""
        item: KeyValue | None = await self.ask(
            STORE, GetKey(PROGRESS_PREFIX + workflow_id)
        )
        state = WorkflowState.QUEUED
        if item is not None:
            record = records.decode_progress(workflow_id, item.value.encode())
            state = record.state
        cancelled = any(pair.key.endswith(CANCEL_SUFFIX) for pair in reply.pairs)
        if cancelled and state in (WorkflowState.QUEUED, WorkflowState.RUNNING):
            return WorkflowState.CANCELLED
        return state

    async def _queue_length(self, message: GetQueueLength) -> int:
        return await self._ask_coordinator("queue_length", message)

    async def _ask_coordinator(
        self, method: str, message: GetState | GetQueueLength
    ) -> Any:
        if self._coordinator.node_id == self._identity.node_id:
            return await self.ask(COORDINATOR, message)
        if not self._coordinator.address:
            raise UnavailableError("no coordinator is known", retry_after_s=1.0)
        return await self.ask(
            PEERS, CallPeer(self._coordinator.address, method, tuple(message))
        )

    def _announce(self, method: str, message: WorkflowStored | CancelStored) -> None:
        """Tell the coordinator at once; its watch is the slower way."""
        if self._coordinator.node_id == self._identity.node_id:
            self.tell(COORDINATOR, message)
        elif self._coordinator.address:
            call = CallPeer(self._coordinator.address, method, tuple(message))
            self.ask(PEERS, call).addErrback(
                lambda failure: _logger.info(
                    "coordinator not told", extra={"error": str(failure.value)}
                )
            )
