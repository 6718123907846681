"""Accepts submissions, cancellations and state queries on every node."""

import logging
import time
from collections.abc import Awaitable, Callable
from typing import Any

from .._background import pause
from .._store_requests import Compare, GetKey, GetPrefix, KeyValue, PutKey, Transact
from ..actors import Actor, ActorSystem, Handler
from ..exceptions import (
    BadRequestError,
    OutcomeUnknownError,
    RedwingrudderError,
    StoreUnavailableError,
    UnavailableError,
)
from ..workflows import records
from ..workflows.model import WorkflowState
from .confirmation import transact
from .gateways import (
    COORDINATOR,
    INTAKE,
    PEERS,
    PROGRESS_PREFIX,
    STORE,
    SUBMISSION_AGE_SHARE,
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
from .peers import CallPeer, GetTimeOfDay, ListPeers

# Retry time that callers get while no reachable node can use the store.
RETRY_AFTER_S = 1.0
NO_COORDINATOR_RETRY_AFTER_S = 1.0
# Delay before a write with an unknown outcome is repeated. It limits the load
# on a store that resets connections.
WRITE_RETRY_DELAY_S = 0.05
MAX_RELAY_PEERS = 2  # peers that a call is relayed to, one after the other
RELAY_CALL_TIMEOUT_S = 1.5
PEER_REQUEST_TIMEOUT_S = 1.0  # for writes to the store on behalf of a peer
STATE_RELAY_TIMEOUT_S = 1.0
# Error codes of a relayed call that certainly had no effect.
NO_EFFECT_CODES = ("store_unavailable", "connection_refused")

_logger = logging.getLogger(__name__)


class Intake(Actor):
    """Actor that accepts and cancels workflows without the coordinator.

    Submissions and cancellations are written to the store, directly or by a
    peer. The coordinator is only notified of them, and asked for states and
    queue lengths.

    Args:
        system: The node's actor system.
        identity: Identity of this node's process.
        retention_s: Seconds for which the records of an ended workflow stay
            in the store.
    """

    def __init__(
        self, system: ActorSystem, identity: Identity, retention_s: float
    ) -> None:
        self._identity = identity
        self._retention_s = retention_s
        self._coordinator = CoordinatorKnown("", "", 0)
        self._highest_term = 0
        self._store_available = True
        super().__init__(system, INTAKE)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            CoordinatorKnown: self._set_coordinator,
            StoreAvailability: self._set_store_availability,
            SubmitWorkflow: self._submit,
            CancelWorkflow: self._cancel,
            GetState: self._get_state,
            GetQueueLength: self._get_queue_length,
            StoreForPeer: self._store_for_peer,
            CancelForPeer: self._cancel_for_peer,
            ReadStateForPeer: lambda m: self._read_state(m.workflow_id),
        }

    def _set_store_availability(self, message: StoreAvailability) -> None:
        self._store_available = message.available

    def _set_coordinator(self, message: CoordinatorKnown) -> None:
        """Follow the newest coordinator.

        PEERS may report the one of an earlier term after LEADERSHIP has
        reported that of a later one.
        """
        if not message.term or message.term >= self._highest_term:
            self._coordinator = message
            self._highest_term = max(self._highest_term, message.term)

    async def _submit(self, message: SubmitWorkflow) -> bool:
        workflow = message.workflow
        document = records.encode_workflow(workflow).decode()
        stored, via = await self._write_anywhere(
            lambda: self._store_once(workflow.workflow_id, document),
            "store_workflow",
            (workflow.workflow_id, document),
            self.system.clock.seconds() + message.timeout_s,
        )
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
        if stored and via == "store":
            # A peer announces what it has stored.
            self._announce_workflow(workflow.workflow_id, document)
        return True

    async def _write_anywhere(
        self,
        write_once: Callable[[], Awaitable[Any]],
        relay_method: str,
        arguments: tuple,
        deadline: float,
    ) -> tuple[Any, str]:
        """Carry out a write through the store or through a peer.

        It must be harmless to carry out the write more than once. A write
        with an unknown outcome is repeated until the deadline, by a peer once
        the store no longer answers this node, and given up if no peer can.

        Args:
            write_once: Sends the write to the store.
            relay_method: Thrift method by which a peer carries it out.
            arguments: Arguments of that method.
            deadline: Time in node-clock seconds.

        Returns:
            The result of the write, and "store" or "neighbour".

        Raises:
            UnavailableError: Nothing was written, and nothing that could
                write later is pending.
            OutcomeUnknownError: A write may have taken effect or may take
                effect later.
        """
        uncertain = False
        while True:
            try:
                if self._store_available:
                    try:
                        return await write_once(), "store"
                    except StoreUnavailableError as error:
                        _logger.info(
                            "write to the store failed; it is relayed",
                            extra={"method": relay_method, "error": str(error)},
                        )
                relayed = await self._relay_to_peer(relay_method, arguments, deadline)
                return relayed, "neighbour"
            except OutcomeUnknownError:
                uncertain = True
            except UnavailableError as error:
                if not uncertain:
                    raise
                if not self._store_available:
                    # The caller gets further at another node than by waiting.
                    raise OutcomeUnknownError(
                        error.detail, retry_after_s=RETRY_AFTER_S
                    ) from error
            if self.system.clock.seconds() > deadline:
                raise OutcomeUnknownError(
                    f"{relay_method}: neither the store nor a peer confirmed the write"
                )
            await pause(self.system.clock, WRITE_RETRY_DELAY_S)

    def _require_store(self) -> None:
        """Fail before a write is sent to a store that does not answer.

        Such a write might take effect later, so the reply to the caller could
        say neither that the workflow was accepted nor that it will not run.

        Raises:
            StoreUnavailableError: The store does not answer this node.
        """
        if not self._store_available:
            raise StoreUnavailableError("the store does not answer this node")

    async def _store_document(
        self, workflow_id: str, document: str, deadline: float
    ) -> bool:
        """Store a document on the condition that its id is new.

        Writes with an unknown outcome are repeated until the deadline, which
        is in node-clock seconds. A repeated write changes nothing if an
        earlier one took effect.

        Returns:
            The result of ``_store_once``.

        Raises:
            StoreUnavailableError: The document was not stored, and no write
                that could store it later is pending.
            OutcomeUnknownError: A write may have taken effect or may take
                effect later.
        """
        uncertain = False
        while True:
            try:
                return await self._store_once(workflow_id, document)
            except OutcomeUnknownError:
                uncertain = True
            except RedwingrudderError as error:
                if not uncertain:
                    raise StoreUnavailableError(
                        error.detail, retry_after_s=RETRY_AFTER_S
                    ) from error
            if self.system.clock.seconds() > deadline:
                raise OutcomeUnknownError(
                    f"the store did not confirm the write of job {workflow_id}"
                )
            await pause(self.system.clock, WRITE_RETRY_DELAY_S)

    async def _store_once(self, workflow_id: str, document: str) -> bool:
        """Store a document; a stored document of the same id is kept.

        A cancellation may overtake the submission, also one of which an
        earlier write is carried out late. The job is then stored together
        with its cancellation, and its state is "cancelled". The watch reports
        both, since a coordinator may not remember the earlier one.

        Returns:
            Whether this write has stored a job that is not cancelled. Others
            must not be announced to the coordinator.
        """
        key, cancel_key = intake_keys(workflow_id)
        put = PutKey(key, document)
        is_new = (Compare(key, 0), Compare(cancel_key, 0))
        while not (await transact(self.system, Transact(is_new, (put,)))).succeeded:
            try:
                stored = await self.ask(STORE, GetPrefix(key))
            except RedwingrudderError as error:
                # An earlier call may have stored the job, so that this one
                # must not be refused as without an effect.
                raise OutcomeUnknownError(error.detail) from error
            revisions_by_key = {pair.key: pair.mod_revision for pair in stored.pairs}
            if key in revisions_by_key:
                return False
            if cancel_key in revisions_by_key:
                cancelled = Compare(cancel_key, revisions_by_key[cancel_key])
                cancel_again = PutKey(cancel_key, str(time.time()))
                message = Transact((Compare(key, 0), cancelled), (put, cancel_again))
                if (await transact(self.system, message)).succeeded:
                    _logger.info(
                        "job was cancelled before it was stored",
                        extra={"job": workflow_id},
                    )
                    return False
        return True

    async def _relay_to_peer(
        self, method: str, arguments: tuple, deadline: float
    ) -> Any:
        """Have a peer that can reach the store carry out a call.

        Args:
            method: Thrift method of the peer.
            arguments: Arguments of the method.
            deadline: Time in node-clock seconds after which no further
                peer is called.

        Raises:
            UnavailableError: No peer could carry out the call, and nothing
                was stored.
            OutcomeUnknownError: A peer received the call and did not answer,
                or failed in a way that may have stored something.
        """
        for address in await self._find_relay_addresses():
            remaining_s = deadline - self.system.clock.seconds()
            if remaining_s <= 0:
                break
            try:
                return await self.ask(
                    PEERS,
                    CallPeer(
                        address,
                        method,
                        arguments,
                        min(remaining_s, RELAY_CALL_TIMEOUT_S),
                    ),
                )
            except RedwingrudderError as error:
                _logger.info(
                    "relaying a call to a peer failed",
                    extra={"peer": address, "error": str(error)},
                )
                if error.code not in NO_EFFECT_CODES:
                    raise OutcomeUnknownError(error.detail) from error
        raise UnavailableError(
            f"{method}: neither this node nor a reachable peer can use the store",
            code="store_unavailable",
            retry_after_s=RETRY_AFTER_S,
        )

    async def _find_relay_addresses(self) -> list[str]:
        view = await self.ask(PEERS, ListPeers())
        addresses = list(view.relay_addresses)
        addresses.sort(key=lambda address: address != self._coordinator.address)
        return addresses[:MAX_RELAY_PEERS]

    async def _store_for_peer(self, message: StoreForPeer) -> None:
        self._require_store()
        deadline = self.system.clock.seconds() + PEER_REQUEST_TIMEOUT_S
        workflow_id, document = message
        await self._check_age(workflow_id, document)
        if await self._store_document(workflow_id, document, deadline):
            self._announce_workflow(workflow_id, document)

    async def _check_age(self, workflow_id: str, document: str) -> None:
        """Fail if a relayed submission is so late that its job may have ended.

        The calling node may have had it stored otherwise, and the records of
        the job may have been removed since, so that its id looks new.
        Documents of another format are not checked.

        Raises:
            OutcomeUnknownError: The job may have run.
        """
        try:
            workflow = records.decode_workflow(document.encode())
        except BadRequestError:
            return
        age_s = await self.ask(PEERS, GetTimeOfDay()) - workflow.accepted_at
        if age_s > SUBMISSION_AGE_SHARE * self._retention_s:
            _logger.warning(
                "late submission of a peer is not stored",
                extra={"job": workflow_id, "age_s": round(age_s, 1)},
            )
            raise OutcomeUnknownError(
                f"the submission of job {workflow_id} came {age_s:.0f} s late"
            )

    async def _cancel(self, message: CancelWorkflow) -> bool:
        exists, _ = await self._write_anywhere(
            lambda: self._cancel_once(message.workflow_id),
            "store_cancel",
            (message.workflow_id,),
            self.system.clock.seconds() + message.timeout_s,
        )
        if exists:
            _logger.info("job cancelled", extra={"job": message.workflow_id})
            self._announce("announce_cancel", CancelStored(message.workflow_id))
        else:
            _logger.info(
                "job to cancel is not stored", extra={"job": message.workflow_id}
            )
        return exists

    async def _cancel_once(self, workflow_id: str) -> bool:
        """Store a cancellation; returns whether the workflow exists.

        The cancellation of an id that is not stored is kept too: a write of
        its submission may still be in flight, and is then refused. A job that
        was stored or removed since the read fails the comparison.
        """
        key, cancel_key = intake_keys(workflow_id)
        while True:
            item: KeyValue | None = await self.ask(STORE, GetKey(key))
            unchanged = Compare(key, item.mod_revision if item is not None else 0)
            put = PutKey(cancel_key, str(time.time()))
            reply = await transact(self.system, Transact((unchanged,), (put,)))
            if reply.succeeded:
                return item is not None

    async def _cancel_for_peer(self, message: CancelForPeer) -> bool:
        """Store a cancellation; repeats a write with an unknown outcome.

        Raises:
            StoreUnavailableError: Nothing was written.
            OutcomeUnknownError: A write may have taken effect or may take
                effect later.
        """
        deadline = self.system.clock.seconds() + PEER_REQUEST_TIMEOUT_S
        uncertain = False
        while True:
            try:
                return await self._cancel_once(message.workflow_id)
            except OutcomeUnknownError:
                uncertain = True
            except RedwingrudderError:
                if not uncertain:
                    raise
            if self.system.clock.seconds() > deadline:
                raise OutcomeUnknownError(
                    "the store did not confirm the cancellation of job "
                    f"{message.workflow_id}"
                )
            await pause(self.system.clock, WRITE_RETRY_DELAY_S)

    async def _get_state(self, message: GetState) -> str:
        """Ask the coordinator for a state, and fall back to the store.

        The store is read if the coordinator cannot be reached or does not
        have the workflow yet.
        """
        try:
            state = await self._ask_coordinator("state", message)
            if state:
                return state
        except RedwingrudderError as error:
            _logger.debug(
                "state query to the coordinator failed", extra={"error": str(error)}
            )
        try:
            return await self._read_state(message.workflow_id)
        except UnavailableError:
            deadline = self.system.clock.seconds() + STATE_RELAY_TIMEOUT_S
            return await self._relay_to_peer(
                "read_state", (message.workflow_id,), deadline
            )

    async def _read_state(self, workflow_id: str) -> str:
        """Return the state that the store shows, "" for an unknown workflow.

        A workflow with a record of its progress may have ended already when
        its cancellation was stored, so it counts as cancelled once that is
        recorded. Without one nothing of it had been placed after the
        cancellation was read.
        """
        key, cancel_key = intake_keys(workflow_id)
        reply = await self.ask(STORE, GetPrefix(key))
        stored_keys = {pair.key for pair in reply.pairs}
        if key not in stored_keys:
            return ""
        item: KeyValue | None = await self.ask(
            STORE, GetKey(PROGRESS_PREFIX + workflow_id)
        )
        if item is not None:
            return _decode_state(workflow_id, item.value)
        is_cancelled = cancel_key in stored_keys
        return WorkflowState.CANCELLED if is_cancelled else WorkflowState.QUEUED

    async def _get_queue_length(self, message: GetQueueLength) -> int:
        return await self._ask_coordinator("queue_length", message)

    async def _ask_coordinator(
        self, method: str, message: GetState | GetQueueLength
    ) -> Any:
        if self._coordinator.node_id == self._identity.node_id:
            return await self.ask(COORDINATOR, message)
        if not self._coordinator.address:
            raise UnavailableError(
                "no coordinator is known", retry_after_s=NO_COORDINATOR_RETRY_AFTER_S
            )
        return await self.ask(
            PEERS, CallPeer(self._coordinator.address, method, tuple(message))
        )

    def _announce_workflow(self, workflow_id: str, document: str) -> None:
        self._announce("announce_workflow", WorkflowStored(workflow_id, document))

    def _announce(self, method: str, message: WorkflowStored | CancelStored) -> None:
        """Notify the coordinator directly, which is faster than its watch.

        A lost notification is harmless, as the coordinator also watches the
        store.
        """
        if self._coordinator.node_id == self._identity.node_id:
            self.tell(COORDINATOR, message)
        elif self._coordinator.address:
            call = CallPeer(self._coordinator.address, method, tuple(message))
            self.ask(PEERS, call).addErrback(
                lambda failure: _logger.info(
                    "notification of the coordinator failed",
                    extra={"error": str(failure.value)},
                )
            )


def _decode_state(workflow_id: str, document: str) -> WorkflowState:
    """Return the state in a progress record.

    Raises:
        UnavailableError: The record cannot be read, so the state is unknown.
    """
    try:
        return records.decode_progress(workflow_id, document.encode()).state
    except BadRequestError as error:
        _logger.error(
            "progress record cannot be decoded",
            extra={"job": workflow_id, "error": str(error)},
        )
        raise UnavailableError(
            f"the progress record of job {workflow_id} cannot be read",
            code="unreadable_record",
        ) from error
