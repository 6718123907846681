"""Writes progress records to the store, guarded by the coordinator's term."""

import logging
from collections.abc import Collection, Iterable
from itertools import chain
from typing import Any, NamedTuple

from twisted.internet.defer import FirstError, gatherResults

from .._store_requests import Compare, GetKey, KeyValue, PutKey, Transact
from ..actors import ActorSystem
from ..exceptions import OutcomeUnknownError
from ..workflows import records
from ..workflows.engine import Engine
from .confirmation import transact
from .gateways import PROGRESS_PREFIX, STORE, TERM_KEY, intake_keys

MAX_TRANSACTION_ENTRIES = 32  # comparisons and puts that the store accepts
TERM_ENTRIES = 1  # comparison of the term
RECORD_ENTRIES = 2  # comparison and put of a record
CANCEL_ENTRIES = 1  # comparison of a cancellation

_logger = logging.getLogger(__name__)


class UnwritableRecordError(Exception):
    """The progress of a workflow cannot be encoded.

    Attributes:
        workflow_id: The workflow.
    """

    def __init__(self, workflow_id: str) -> None:
        super().__init__(f"the progress of job {workflow_id} cannot be encoded")
        self.workflow_id = workflow_id


class WriteOutcome(NamedTuple):
    """Outcome of a write.

    Attributes:
        workflow_ids: Workflows whose progress was recorded; empty if a
            comparison of the transaction failed.
        deposed: Whether the store holds the term of another coordinator.
        cancelled_ids: Workflows that were not recorded since the store has
            their cancellations.
    """

    workflow_ids: tuple[str, ...]
    deposed: bool = False
    cancelled_ids: tuple[str, ...] = ()


def select_batch(checked_ids: Iterable[str], other_ids: Iterable[str]) -> list[str]:
    """Return the workflows that fit into one transaction.

    Args:
        checked_ids: Workflows that are recorded only if the store has no
            cancellation of them, which are chosen first.
        other_ids: Other workflows to record; may include some of the former.
    """
    checked = dict.fromkeys(checked_ids)
    batch: dict[str, None] = {}
    entries = TERM_ENTRIES
    for workflow_id in chain(checked, other_ids):
        if workflow_id in batch:
            continue
        entries += RECORD_ENTRIES
        if workflow_id in checked:
            entries += CANCEL_ENTRIES
        if entries > MAX_TRANSACTION_ENTRIES:
            break
        batch[workflow_id] = None
    return list(batch)


class Recorder:
    """Writes the progress records of one term.

    Each write is conditional on the revision of the term's key, so that a
    deposed coordinator cannot write, and on the revisions of the records, so
    that a delayed write cannot replace a newer one. A write that records
    starts, or is the first one of a job, is also conditional on the absence of
    cancellations, which the coordinator may not have seen yet.

    Args:
        system: The node's actor system.
        term: Term of the coordinator.
        term_revision: Store revision of the term's key.
        term_requested_at: Node-clock seconds before the request that began the
            term, None if unknown.

    Attributes:
        term_revision: Store revision of the term's key, as last read.
    """

    def __init__(
        self,
        system: ActorSystem,
        term: int,
        term_revision: int,
        term_requested_at: float | None = None,
    ) -> None:
        self._system = system
        self._term = term
        self._term_requested_at = term_requested_at
        self.term_revision = term_revision
        self._revisions_by_id: dict[str, int] = {}
        # Workflows with a write whose outcome was unknown and that may still
        # take effect.
        self._unconfirmed_ids: set[str] = set()

    def set_revision(self, workflow_id: str, revision: int) -> None:
        """Set the revision of a record that was read from the store."""
        self._revisions_by_id[workflow_id] = revision

    def revision(self, workflow_id: str) -> int:
        """Return the known revision of a record, 0 without a record."""
        return self._revisions_by_id.get(workflow_id, 0)

    def forget(self, workflow_id: str) -> None:
        """Remove the revision of a record that was removed from the store."""
        self._revisions_by_id.pop(workflow_id, None)
        self._unconfirmed_ids.discard(workflow_id)

    async def write(
        self,
        engine: Engine,
        workflow_ids: list[str],
        checked_ids: Collection[str] = (),
    ) -> WriteOutcome:
        """Write the current progress of some workflows in one transaction.

        All conditions of a write that succeeds held at the store after this
        call.

        Args:
            engine: Engine with the progress of the workflows.
            workflow_ids: The workflows, as many as ``select_batch`` returns.
            checked_ids: Those of them that have starts to record or no record
                yet. Nothing is written if the store has a cancellation of one
                of them that the engine does not know.

        Raises:
            OutcomeUnknownError: The write was sent but not confirmed, so it
                may have taken effect or may take effect later.
            UnavailableError: The store did not answer.
            UnwritableRecordError: Nothing was written because of one of the
                workflows.
        """
        process_started_ms_by_worker = {
            worker_id: worker.facts.process_started_ms
            for worker_id, worker in engine.workers_by_id.items()
        }
        puts, states = [], {}
        uncancelled_ids: list[str] = []
        for workflow_id in workflow_ids:
            try:
                progress = engine.workflows_by_id[workflow_id]
                document = records.encode_progress(
                    progress,
                    self._term,
                    process_started_ms_by_worker,
                    self._system.clock.seconds(),
                    self._term_requested_at,
                )
            except Exception as error:
                raise UnwritableRecordError(workflow_id) from error
            puts.append(PutKey(PROGRESS_PREFIX + workflow_id, document.decode()))
            states[workflow_id] = progress.state
            can_be_cancelled = not progress.cancelled and progress.ended_at is None
            if workflow_id in checked_ids and can_be_cancelled:
                uncancelled_ids.append(workflow_id)
        # An earlier write that has taken effect already must not be taken for
        # the effect of this one.
        is_unconfirmed = not self._unconfirmed_ids.isdisjoint(workflow_ids)
        if is_unconfirmed and not await self._refresh_revisions(workflow_ids):
            return WriteOutcome((), deposed=True)
        compares = [Compare(TERM_KEY, self.term_revision)]
        compares.extend(
            Compare(put.key, self._revisions_by_id.get(workflow_id, 0))
            for put, workflow_id in zip(puts, workflow_ids, strict=True)
        )
        compares.extend(
            Compare(intake_keys(workflow_id)[1], 0) for workflow_id in uncancelled_ids
        )
        try:
            reply = await transact(self._system, Transact(tuple(compares), tuple(puts)))
        except OutcomeUnknownError:
            self._unconfirmed_ids.update(workflow_ids)
            raise
        if not reply.succeeded:
            if not await self._refresh_revisions(workflow_ids):
                return WriteOutcome((), deposed=True)
            cancelled_ids = await self.find_cancelled(uncancelled_ids)
            return WriteOutcome((), cancelled_ids=cancelled_ids)
        self._unconfirmed_ids.difference_update(workflow_ids)
        for workflow_id in workflow_ids:
            self._revisions_by_id[workflow_id] = reply.revision
            engine.workflows_by_id[workflow_id].recorded_state = states[workflow_id]
        return WriteOutcome(tuple(workflow_ids))

    async def find_cancelled(self, workflow_ids: list[str]) -> tuple[str, ...]:
        """Return those of some workflows whose cancellations the store has.

        Raises:
            UnavailableError: The store did not answer.
        """
        cancel_keys = [intake_keys(workflow_id)[1] for workflow_id in workflow_ids]
        items = await self._read_all(cancel_keys)
        return tuple(
            workflow_id
            for workflow_id, item in zip(workflow_ids, items, strict=True)
            if item is not None
        )

    async def _refresh_revisions(self, workflow_ids: list[str]) -> bool:
        """Read the revisions of the term and of some records again.

        Returns:
            Whether the term in the store is that of this coordinator.
        """
        record_keys = [PROGRESS_PREFIX + workflow_id for workflow_id in workflow_ids]
        term, *items = await self._read_all([TERM_KEY, *record_keys])
        if term is None or int(term.value) != self._term:
            return False
        self.term_revision = term.mod_revision
        for workflow_id, item in zip(workflow_ids, items, strict=True):
            self._revisions_by_id[workflow_id] = item.mod_revision if item else 0
        return True

    async def _read_all(self, keys: list[str]) -> list[KeyValue | None]:
        """Read some keys concurrently, which takes the time of one call."""
        calls: list[Any] = [self._system.ask(STORE, GetKey(key)) for key in keys]
        try:
            return await gatherResults(calls, consumeErrors=True)
        except FirstError as error:
            _logger.info(
                "keys of jobs could not be read",
                extra={"error": str(error.subFailure.value)},
            )
            raise error.subFailure.value from error
