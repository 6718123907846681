"""Writes progress records to the store, guarded by the coordinator's term."""

import logging
from typing import NamedTuple

from .._store_requests import Compare, GetKey, KeyValue, PutKey, Transact
from ..actors import ActorSystem
from ..exceptions import OutcomeUnknownError, RedwingrudderError
from ..workflows import records
from ..workflows.engine import Engine
from .confirmation import transact
from .gateways import PROGRESS_PREFIX, STORE, TERM_KEY

# The store accepts at most 32 entries in a transaction: each record takes a
# comparison and a put, and the comparison of the term takes one more entry.
MAX_RECORDS_PER_WRITE = 15

_logger = logging.getLogger(__name__)


class WriteOutcome(NamedTuple):
    """Outcome of a write.

    Attributes:
        workflow_ids: Workflows whose progress was recorded; empty if a
            comparison of the transaction failed.
        deposed: Whether the store holds the term of another coordinator.
    """

    workflow_ids: tuple[str, ...]
    deposed: bool = False


class Recorder:
    """Writes the progress records of one term.

    Each write is conditional on the revision of the term's key, so that a
    deposed coordinator cannot write, and on the revisions of the records, so
    that a delayed write cannot replace a newer one.

    Args:
        system: The node's actor system.
        term: Term of the coordinator.
        term_revision: Store revision of the term's key.

    Attributes:
        term_revision: Store revision of the term's key, as last read.
    """

    def __init__(self, system: ActorSystem, term: int, term_revision: int) -> None:
        self._system = system
        self._term = term
        self.term_revision = term_revision
        self._revisions_by_id: dict[str, int] = {}

    def set_revision(self, workflow_id: str, revision: int) -> None:
        """Set the revision of a record that was read from the store."""
        self._revisions_by_id[workflow_id] = revision

    def forget(self, workflow_id: str) -> None:
        """Remove the revision of a record that was removed from the store."""
        self._revisions_by_id.pop(workflow_id, None)

    async def write(self, engine: Engine, workflow_ids: list[str]) -> WriteOutcome:
        """Write the current progress of some workflows in one transaction.

        Args:
            engine: Engine with the progress of the workflows.
            workflow_ids: At most ``MAX_RECORDS_PER_WRITE`` workflows.

        Raises:
            OutcomeUnknownError: The write was sent but not confirmed, so it
                may have taken effect or may take effect later.
            UnavailableError: The store did not answer.
        """
        process_started_ms_by_worker = {
            worker_id: worker.facts.process_started_ms
            for worker_id, worker in engine.workers_by_id.items()
        }
        puts, states = [], {}
        for workflow_id in workflow_ids:
            progress = engine.workflows_by_id[workflow_id]
            document = records.encode_progress(
                progress, self._term, process_started_ms_by_worker
            )
            puts.append(PutKey(PROGRESS_PREFIX + workflow_id, document.decode()))
            states[workflow_id] = progress.state
        compares = [Compare(TERM_KEY, self.term_revision)]
        compares.extend(
            Compare(put.key, self._revisions_by_id.get(workflow_id, 0))
            for put, workflow_id in zip(puts, workflow_ids, strict=True)
        )
        try:
            reply = await transact(self._system, Transact(tuple(compares), tuple(puts)))
        except OutcomeUnknownError:
            # The write may have taken effect or may do so later, so the next
            # write needs the revisions that the store has now.
            await self._refresh_revisions(workflow_ids)
            raise
        if not reply.succeeded:
            return WriteOutcome(
                (), deposed=not await self._refresh_revisions(workflow_ids)
            )
        for workflow_id in workflow_ids:
            self._revisions_by_id[workflow_id] = reply.revision
            engine.workflows_by_id[workflow_id].recorded_state = states[workflow_id]
        return WriteOutcome(tuple(workflow_ids))

    async def _refresh_revisions(self, workflow_ids: list[str]) -> bool:
        """Read the revisions of the term and of some records again.

        Returns:
            Whether the term in the store is that of this coordinator.
        """
        term: KeyValue | None = await self._system.ask(STORE, GetKey(TERM_KEY))
        if term is None or int(term.value) != self._term:
            return False
        self.term_revision = term.mod_revision
        for workflow_id in workflow_ids:
            try:
                item = await self._system.ask(
                    STORE, GetKey(PROGRESS_PREFIX + workflow_id)
                )
            except RedwingrudderError as error:
                _logger.info(
                    "revision of a progress record could not be read",
                    extra={"error": str(error)},
                )
                raise
            self._revisions_by_id[workflow_id] = item.mod_revision if item else 0
        return True
