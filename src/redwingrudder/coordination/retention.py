"""Removes the stored records of workflows after their retention period."""

import logging

from .._background import run
from .._store_requests import Compare, DeleteKey, Transact
from ..actors import ActorSystem
from ..exceptions import RedwingrudderError
from ..workflows.engine import Engine
from ..workflows.model import FINAL_STATES
from .gateways import COORDINATOR, PROGRESS_PREFIX, STORE, TERM_KEY, intake_keys
from .recorder import Recorder

SWEEP_INTERVAL_S = 5.0
# The store accepts at most 32 entries in a transaction: each workflow takes
# three deletions, and the comparison of the term takes one more entry.
MAX_WORKFLOWS_PER_REMOVAL = 10

_logger = logging.getLogger(__name__)


class RecordRetention:
    """Removes the records of ended workflows after the retention period.

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

    def sweep(self, now: float) -> None:
        """Start to remove a batch of expired records if a sweep is due.

        Nothing is started while an earlier removal is in progress. ``now`` is
        in node-clock seconds.
        """
        if self._removing or now < self._next_sweep_at:
            return
        self._next_sweep_at = now + SWEEP_INTERVAL_S
        expired = self._find_expired(now)
        if expired:
            self._removing = True
            run(self._remove(expired), COORDINATOR)

    def _find_expired(self, now: float) -> list[str]:
        return [
            workflow_id
            for workflow_id, progress in self._engine.workflows_by_id.items()
            if progress.ended_at is not None
            and now - progress.ended_at > self._retention_s
            and progress.settled
            and progress.recorded_state in FINAL_STATES
            and self._engine.is_recorded(workflow_id)
        ][:MAX_WORKFLOWS_PER_REMOVAL]

    async def _remove(self, workflow_ids: list[str]) -> None:
        keys = [
            key
            for workflow_id in workflow_ids
            for key in (*intake_keys(workflow_id), PROGRESS_PREFIX + workflow_id)
        ]
        term = Compare(TERM_KEY, self._recorder.term_revision)
        removals = tuple(DeleteKey(key) for key in keys)
        try:
            reply = await self._system.ask(STORE, Transact((term,), removals))
        except RedwingrudderError as error:
            _logger.info(
                "expired records could not be removed", extra={"error": str(error)}
            )
            return
        finally:
            self._removing = False
        if not reply.succeeded:
            return
        for workflow_id in workflow_ids:
            self._engine.forget(workflow_id)
            self._recorder.forget(workflow_id)
        _logger.info("expired records removed", extra={"jobs": len(workflow_ids)})
        # There may be more expired records than fit into one transaction, so
        # the next call of ``sweep`` does not wait for the interval.
        self._next_sweep_at = 0.0
