"""Removes the records of workflows that ended long ago."""

import logging

from .._background import run
from .._store_requests import Compare, DeleteKey, Transact
from ..actors import ActorSystem
from ..exceptions import RedwingrudderError
from ..workflows.engine import Engine
from ..workflows.model import FINAL_STATES
from .gateways import COORDINATOR, PROGRESS_PREFIX, STORE, TERM_KEY, intake_keys
from .recorder import Recorder

SWEEP_S = 5.0  # between sweeps for old records
# The store takes 32 entries a transaction: three keys for each workflow and
# the comparison of the term.
BATCH = 10

_logger = logging.getLogger(__name__)


class RecordRetention:
    """Keeps the records of ended workflows for a time, then removes them.

    Args:
        system: The node's actors.
        engine: The engine of the term.
        recorder: Knows the revisions of the term.
        keep_s: Seconds for which callers may ask for an ended workflow.
    """

    def __init__(
        self, system: ActorSystem, engine: Engine, recorder: Recorder, keep_s: float
    ) -> None:
        self._system = system
        self._engine = engine
        self._recorder = recorder
        self._keep_s = keep_s
        self._next_at = system.clock.seconds() + SWEEP_S
        self._removing = False

    def sweep(self, now: float) -> None:
        """Remove a batch of old records, at most one at a time."""
        if self._removing or now < self._next_at:
            return
        self._next_at = now + SWEEP_S
        old = self._old(now)
        if old:
            self._removing = True
            run(self._remove(old), COORDINATOR)

    def _old(self, now: float) -> list[str]:
        return [
            workflow_id
            for workflow_id, progress in self._engine.workflows_by_id.items()
            if progress.ended_at is not None
            and now - progress.ended_at > self._keep_s
            and progress.settled
            and progress.recorded_state in FINAL_STATES
            and workflow_id not in self._engine.dirty
        ][:BATCH]

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
            _logger.info("old records not removed", extra={"error": str(error)})
            return
        finally:
            self._removing = False
        if not reply.succeeded:
            return
        for workflow_id in workflow_ids:
            self._engine.forget(workflow_id)
            self._recorder.forget(workflow_id)
        _logger.info("old records removed", extra={"jobs": len(workflow_ids)})
        # More may be due; a backlog is worked off without waiting.
        self._next_at = 0.0
