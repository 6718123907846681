"""Removes the stored records of workflows after their retention period."""

import logging
from typing import NamedTuple

from .._background import run
from .._store_requests import Compare, DeleteKey, GetKey, KeyValue, Transact
from ..actors import ActorSystem
from ..exceptions import RedwingrudderError
from ..workflows.engine import Engine
from ..workflows.model import FINAL_STATES
from ..workflows.state import WorkflowProgress
from .gateways import COORDINATOR, PROGRESS_PREFIX, STORE, TERM_KEY, intake_keys
from .recorder import Recorder

SWEEP_INTERVAL_S = 5.0
# Time for which forgotten workflows are remembered. A read of all documents
# that began before a removal takes less.
FORGOTTEN_MEMORY_S = 60.0
# The store accepts at most 32 entries in a transaction: each workflow takes
# three deletions and the comparison of its record, and the comparison of the
# term takes one more entry.
MAX_WORKFLOWS_PER_REMOVAL = 7

_logger = logging.getLogger(__name__)


class _Cancellation(NamedTuple):
    """A stored cancellation.

    Attributes:
        revision: Store revision of its key.
        seen_at: Node-clock seconds at which this coordinator has seen it.
    """

    revision: int
    seen_at: float


class _ForgottenWorkflow(NamedTuple):
    """An ended workflow, or a cancellation without one, that was removed.

    Attributes:
        revision: Store revision up to which a document or a cancellation of
            the id is known to be a removed one.
        forgotten_at: Node-clock seconds at which it was forgotten.
    """

    revision: int
    forgotten_at: float


class RecordRetention:
    """Removes the records of ended workflows after the retention period.

    A workflow's cancellation is removed with its other records. Cancellations
    of ids without a workflow are removed one by one after the same period.

    Args:
        system: The node's actor system.
        engine: The engine of the term.
        recorder: Provides the store revisions of the term and of its records.
        retention_s: Seconds for which callers can query a workflow after its
            end.
    """

    def __init__(
        self,
        system: ActorSystem,
        engine: Engine,
        recorder: Recorder,
        retention_s: float,
    ) -> None:
        self._system = system
        self._engine = engine
        self._recorder = recorder
        self._retention_s = retention_s
        self._next_sweep_at = system.clock.seconds() + SWEEP_INTERVAL_S
        self._removing = False
        self._cancellations_by_id: dict[str, _Cancellation] = {}
        # Ordered by the time at which they were forgotten.
        self._forgotten_by_id: dict[str, _ForgottenWorkflow] = {}

    def add_cancellation(self, workflow_id: str, revision: int, now: float) -> bool:
        """Note a stored cancellation, whether its workflow is known or not.

        One that is read again keeps the time at which it was seen first. One
        that was read before its removal concerns no later workflow of the id.

        Args:
            workflow_id: The cancelled workflow.
            revision: Store revision of the cancellation's key.
            now: Node-clock seconds.

        Returns:
            False if the cancellation is a removed one.
        """
        if self._is_forgotten(workflow_id, revision):
            _logger.info("removed cancellation is ignored", extra={"job": workflow_id})
            return False
        noted = self._cancellations_by_id.get(workflow_id)
        if noted is None or noted.revision != revision:
            self._cancellations_by_id[workflow_id] = _Cancellation(revision, now)
        return True

    def take_stored(self, workflow_id: str, revision: int) -> bool:
        """Forget an ended workflow if its id is used by a later one.

        A document is stored before the progress of its workflow is recorded.
        One that was stored after it is that of another workflow, so the
        records of the ended one have been removed. A document that was stored
        before it may have been read before that removal.

        Args:
            workflow_id: The workflow.
            revision: Store revision of its document.

        Returns:
            False if the document is that of a forgotten workflow.
        """
        progress = self._engine.workflows_by_id.get(workflow_id)
        if (
            progress is not None
            and self._is_removable(progress)
            and revision > self._recorder.revision(workflow_id)
        ):
            # A document is stored after the removal of earlier cancellations.
            self._forget(workflow_id, revision - 1)
            _logger.info("id of an ended job is used again", extra={"job": workflow_id})
        if not self._is_forgotten(workflow_id, revision):
            return True
        _logger.info("document of a removed job is ignored", extra={"job": workflow_id})
        return False

    def sweep(self, now: float) -> None:
        """Start to remove a batch of expired records if a sweep is due.

        Nothing is started while an earlier removal is in progress. ``now`` is
        in node-clock seconds.
        """
        if self._removing or now < self._next_sweep_at:
            return
        self._next_sweep_at = now + SWEEP_INTERVAL_S
        self._expire_forgotten(now)
        expired = self._find_expired(now)
        cancelled_ids = self._find_expired_cancellations(now)
        if expired or cancelled_ids:
            self._removing = True
            run(self._remove_all(expired, cancelled_ids), COORDINATOR)

    async def _remove_all(
        self, workflow_ids: list[str], cancelled_ids: list[str]
    ) -> None:
        try:
            if workflow_ids:
                await self._remove(workflow_ids)
            for workflow_id in cancelled_ids:
                await self._remove_cancellation(workflow_id)
        finally:
            self._removing = False

    def _find_expired(self, now: float) -> list[str]:
        return [
            workflow_id
            for workflow_id, progress in self._engine.workflows_by_id.items()
            if progress.ended_at is not None
            and now - progress.ended_at > self._retention_s
            and self._is_removable(progress)
        ][:MAX_WORKFLOWS_PER_REMOVAL]

    def _is_removable(self, progress: WorkflowProgress) -> bool:
        """Return whether a workflow has ended and its end is on record."""
        return (
            progress.ended_at is not None
            and progress.settled
            and progress.recorded_state in FINAL_STATES
            and self._engine.is_recorded(progress.workflow.workflow_id)
        )

    def _forget(self, workflow_id: str, revision: int) -> None:
        self._remember_removal(workflow_id, revision)
        self._engine.forget(workflow_id)
        self._recorder.forget(workflow_id)

    def _remember_removal(self, workflow_id: str, revision: int) -> None:
        self._forgotten_by_id.pop(workflow_id, None)
        self._forgotten_by_id[workflow_id] = _ForgottenWorkflow(
            revision, self._system.clock.seconds()
        )

    def _is_forgotten(self, workflow_id: str, revision: int) -> bool:
        forgotten = self._forgotten_by_id.get(workflow_id)
        return forgotten is not None and revision <= forgotten.revision

    def _expire_forgotten(self, now: float) -> None:
        while self._forgotten_by_id:
            oldest_id = next(iter(self._forgotten_by_id))
            forgotten_at = self._forgotten_by_id[oldest_id].forgotten_at
            if now - forgotten_at <= FORGOTTEN_MEMORY_S:
                return
            del self._forgotten_by_id[oldest_id]

    def _find_expired_cancellations(self, now: float) -> list[str]:
        """Return ids without a workflow whose cancellation is to be removed.

        Expired cancellations of known workflows are dropped from the table.
        """
        expired = [
            workflow_id
            for workflow_id, cancellation in self._cancellations_by_id.items()
            if now - cancellation.seen_at > self._retention_s
        ]
        for workflow_id in expired:
            if workflow_id in self._engine.workflows_by_id:
                del self._cancellations_by_id[workflow_id]
        return [
            workflow_id
            for workflow_id in expired
            if workflow_id in self._cancellations_by_id
        ][:MAX_WORKFLOWS_PER_REMOVAL]

    async def _remove_cancellation(self, workflow_id: str) -> None:
        """Remove the cancellation of an id that is not stored.

        A failed comparison means that the term is over, that the workflow is
        stored, or that there is a newer cancellation, which is noted anew.
        """
        noted = self._cancellations_by_id[workflow_id]
        key, cancel_key = intake_keys(workflow_id)
        compares = (
            Compare(TERM_KEY, self._recorder.term_revision),
            Compare(key, 0),
            Compare(cancel_key, noted.revision),
        )
        try:
            reply = await self._system.ask(
                STORE, Transact(compares, (DeleteKey(cancel_key),))
            )
        except RedwingrudderError as error:
            _logger.info(
                "expired cancellation could not be removed",
                extra={"job": workflow_id, "error": str(error)},
            )
            return
        if self._cancellations_by_id.get(workflow_id) == noted:
            del self._cancellations_by_id[workflow_id]
        if reply.succeeded:
            self._remember_removal(workflow_id, reply.revision)
            self._engine.forget_cancellation(workflow_id)
            _logger.info("expired cancellation removed", extra={"job": workflow_id})
            self._next_sweep_at = 0.0  # see ``_remove``

    async def _remove(self, workflow_ids: list[str]) -> None:
        """Remove the records of ended workflows, and forget the workflows.

        The removal is conditional on the records of their progress, so one
        that is carried out late removes nothing of a later workflow.
        """
        progress_by_id = {
            workflow_id: self._engine.workflows_by_id[workflow_id]
            for workflow_id in workflow_ids
        }
        compares = [Compare(TERM_KEY, self._recorder.term_revision)]
        compares.extend(
            Compare(PROGRESS_PREFIX + workflow_id, self._recorder.revision(workflow_id))
            for workflow_id in workflow_ids
        )
        keys = [
            key
            for workflow_id in workflow_ids
            for key in (*intake_keys(workflow_id), PROGRESS_PREFIX + workflow_id)
        ]
        removals = tuple(DeleteKey(key) for key in keys)
        try:
            reply = await self._system.ask(STORE, Transact(tuple(compares), removals))
            if reply.succeeded:
                removed_ids = workflow_ids
            else:
                removed_ids = await self._find_removed(progress_by_id)
        except RedwingrudderError as error:
            _logger.info(
                "expired records could not be removed", extra={"error": str(error)}
            )
            return
        for workflow_id in removed_ids:
            # The id may be used by a later workflow since.
            progress = self._engine.workflows_by_id.get(workflow_id)
            if progress is progress_by_id[workflow_id]:
                record_revision = self._recorder.revision(workflow_id)
                self._forget(workflow_id, max(reply.revision, record_revision))
        if not removed_ids:
            return
        _logger.info("expired records removed", extra={"jobs": len(removed_ids)})
        # There may be more expired records than fit into one transaction, so
        # the next call of ``sweep`` does not wait for the interval.
        self._next_sweep_at = 0.0

    async def _find_removed(
        self, progress_by_id: dict[str, WorkflowProgress]
    ) -> list[str]:
        """Return the workflows whose records an earlier removal has removed.

        A record that is still stored has been changed by a write without an
        answer; its revision is noted for the next sweep.

        Raises:
            UnavailableError: The store did not answer.
        """
        removed_ids = []
        for workflow_id, progress in progress_by_id.items():
            item: KeyValue | None = await self._system.ask(
                STORE, GetKey(PROGRESS_PREFIX + workflow_id)
            )
            if item is None:
                removed_ids.append(workflow_id)
            elif self._engine.workflows_by_id.get(workflow_id) is progress:
                self._recorder.set_revision(workflow_id, item.mod_revision)
        return removed_ids
