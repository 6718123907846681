"""Deletes the records of jobs that ended long ago."""

import logging
from collections import deque
from typing import NamedTuple

from ._job_records import JobRecordBody, record_key, spec_of
from ._job_store import ExpiredRecord, JobStore
from .exceptions import OutcomeUnknownError, StoreUnavailableError

RECORD_RETENTION_S = 3_600.0  # after the end of a job
MAX_BATCH_KEYS = 100  # keys; the store bounds a transaction to 128

_logger = logging.getLogger(__name__)


class _Deletion(NamedTuple):
    due_at: float
    record: ExpiredRecord


class RecordSweeper:
    """Final records in the order in which they are due."""

    def __init__(self, store: JobStore) -> None:
        self._store = store
        self._deletions: deque[_Deletion] = deque()
        self._sweeping = False

    def add(self, body: JobRecordBody, mod_revision: int, now: float) -> None:
        """Delete a final record after its retention."""
        due_at = (body["finished_at"] or now) + RECORD_RETENTION_S
        key = record_key(spec_of(body))
        self._deletions.append(_Deletion(due_at, ExpiredRecord(key, mod_revision)))

    async def sweep(self, now: float) -> None:
        """Delete what is due, in few transactions."""
        if self._sweeping:
            return
        self._sweeping = True
        try:
            batch = self._take_due(now)
            while batch and await self._delete(batch):
                batch = self._take_due(now)
        finally:
            self._sweeping = False

    def _take_due(self, now: float) -> list[_Deletion]:
        batch: list[_Deletion] = []
        while self._deletions and len(batch) < MAX_BATCH_KEYS:
            if self._deletions[0].due_at > now:
                break
            batch.append(self._deletions.popleft())
        return batch

    async def _delete(self, batch: list[_Deletion]) -> bool:
        """Return whether to go on; a failed batch stays for the next sweep."""
        try:
            deleted = await self._store.delete([d.record for d in batch])
            if not deleted and len(batch) > 1:
                # One of the records has changed, so it is not deleted.
                for deletion in batch:
                    await self._store.delete([deletion.record])
        except (StoreUnavailableError, OutcomeUnknownError) as error:
            self._deletions.extendleft(reversed(batch))
            _logger.warning("job records not deleted", extra={"code": error.code})
            return False
        return True
