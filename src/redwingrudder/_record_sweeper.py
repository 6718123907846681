"""Deletes the records of ended jobs after their retention."""

import logging
from collections import deque
from typing import NamedTuple

from ._job_records import JobRecordBody, record_key, spec_of
from ._job_store import ExpiredRecord, JobStore
from .exceptions import OutcomeUnknownError, StoreUnavailableError

RECORD_RETENTION_S = 3_600.0  # after the end of a job
MAX_BATCH_KEYS = 100  # the store limits a transaction to 128 keys

_logger = logging.getLogger(__name__)


class _Deletion(NamedTuple):
    due_at: float
    record: ExpiredRecord


class RecordSweeper:
    """Queue of final records in the order in which they are deleted.

    Args:
        store: Deletes the records.
    """

    def __init__(self, store: JobStore) -> None:
        self._store = store
        self._deletions: deque[_Deletion] = deque()
        self._sweeping = False

    def add(self, body: JobRecordBody, mod_revision: int, now: float) -> None:
        """Schedule the deletion of a final record after its retention.

        Args:
            body: The record.
            mod_revision: Its revision; a changed record is not deleted.
            now: Time in seconds, used if the record has no end time.
        """
        due_at = (body["finished_at"] or now) + RECORD_RETENTION_S
        key = record_key(spec_of(body))
        self._deletions.append(_Deletion(due_at, ExpiredRecord(key, mod_revision)))

    async def sweep(self, now: float) -> None:
        """Delete all records that are due, in batches."""
        if self._sweeping:
            return
        self._sweeping = True
        try:
            batch = self._pop_due(now)
            while batch and await self._delete(batch):
                batch = self._pop_due(now)
        finally:
            self._sweeping = False

    def _pop_due(self, now: float) -> list[_Deletion]:
        batch: list[_Deletion] = []
        while self._deletions and len(batch) < MAX_BATCH_KEYS:
            if self._deletions[0].due_at > now:
                break
            batch.append(self._deletions.popleft())
        return batch

    async def _delete(self, batch: list[_Deletion]) -> bool:
        """Delete a batch; returns whether the sweep can continue.

        If the store fails, the batch stays queued for the next sweep.
        """
        try:
            deleted = await self._store.delete([d.record for d in batch])
            if not deleted and len(batch) > 1:
                # A record has changed, so nothing was deleted. Delete the
                # unchanged ones one by one.
                for deletion in batch:
                    await self._store.delete([deletion.record])
        except (StoreUnavailableError, OutcomeUnknownError) as error:
            self._deletions.extendleft(reversed(batch))
            _logger.warning(
                "could not delete expired job records", extra={"code": error.code}
            )
            return False
        return True
