"""Writes progress to the store, one transaction at a time."""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from .._store_requests import Compare, GetKey, KeyValue, PutKey, Transact
from ..exceptions import OutcomeUnknownError, RedwingrudderError
from ..workflows import records
from ..workflows.engine import Engine
from .gateways import PROGRESS_PREFIX, STORE, TERM_KEY

# The store takes 32 entries a transaction; each record needs a comparison
# and a put, and the term one more comparison.
BATCH = 15

_logger = logging.getLogger(__name__)


class Written(NamedTuple):
    """Outcome of a write: which records now stand in the store."""

    workflow_ids: tuple[str, ...]
    deposed: bool = False


class Recorder:
    """Keeps the revisions of the progress records of one term.

    Args:
        ask: Sends a message to an actor and returns the reply.
        term: Term of the coordinator.
        term_revision: Revision of the term's key, on which writes depend.

    Attributes:
        term_revision: The newest one that is known.
    """

    def __init__(self, ask: Callable[..., Any], term: int, term_revision: int) -> None:
        self._ask = ask
        self._term = term
        self.term_revision = term_revision
        self._revisions_by_id: dict[str, int] = {}

    def know(self, workflow_id: str, revision: int) -> None:
        """Take over the revision of a record that was read."""
        self._revisions_by_id[workflow_id] = revision

    def forget(self, workflow_id: str) -> None:
        """Drop a record that is being removed."""
        self._revisions_by_id.pop(workflow_id, None)

    async def write(self, engine: Engine, workflow_ids: list[str]) -> Written:
        """Write the present progress of at most ``BATCH`` workflows.

        Raises:
            UnavailableError: The store does not answer; nothing is known.
        """
        born = {
            worker_id: worker.facts.process_started_ms
            for worker_id, worker in engine.workers_by_id.items()
        }
        puts, states = [], {}
        for workflow_id in workflow_ids:
            progress = engine.workflows_by_id[workflow_id]
            document = records.encode_progress(progress, self._term, born)
            puts.append(PutKey(PROGRESS_PREFIX + workflow_id, document.decode()))
            states[workflow_id] = progress.state
        compares = [Compare(TERM_KEY, self.term_revision)]
        compares.extend(
            Compare(put.key, self._revisions_by_id.get(workflow_id, 0))
            for put, workflow_id in zip(puts, workflow_ids, strict=True)
        )
        try:
            reply = await self._ask(STORE, Transact(tuple(compares), tuple(puts)))
        except OutcomeUnknownError:
            # The write may still take effect; learn what stands there now.
            await self._reread(workflow_ids)
            raise
        if not reply.succeeded:
            return Written((), deposed=not await self._reread(workflow_ids))
        for workflow_id in workflow_ids:
            self._revisions_by_id[workflow_id] = reply.revision
            engine.workflows_by_id[workflow_id].recorded_state = states[workflow_id]
        return Written(tuple(workflow_ids))

    async def _reread(self, workflow_ids: list[str]) -> bool:
        """Learn the revisions anew; returns whether the term is still ours."""
        term: KeyValue | None = await self._ask(STORE, GetKey(TERM_KEY))
        if term is None or int(term.value) != self._term:
            return False
        self.term_revision = term.mod_revision
        for workflow_id in workflow_ids:
            try:
                item = await self._ask(STORE, GetKey(PROGRESS_PREFIX + workflow_id))
            except RedwingrudderError as error:
                _logger.info("record not read again", extra={"error": str(error)})
                raise
            self._revisions_by_id[workflow_id] = item.mod_revision if item else 0
        return True
