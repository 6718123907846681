"""Reads and writes of job records through the STORE actor."""

import logging
from typing import Any, NamedTuple

from ._job_records import (
    JOBS_PREFIX,
    OPEN,
    JobRecordBody,
    StoredRecord,
    decode_record,
    encode_record,
    is_final,
    record_key,
    spec_of,
)
from .actors import ActorSystem
from .exceptions import (
    OutcomeUnknownError,
    OverloadedError,
    StoreUnavailableError,
)
from .model import Epoch
from .requests import (
    STORE,
    Compare,
    DeleteKey,
    GetKey,
    GetPrefix,
    PutKey,
    Transact,
)

SAVE_ROUNDS = 4  # writes of one record before its outcome is given up

_logger = logging.getLogger(__name__)


class SaveReply(NamedTuple):
    """``stored`` is what the store holds, which differs unless ``saved``."""

    saved: bool
    stored: StoredRecord


class ExpiredRecord(NamedTuple):
    """A final record to delete unless it has changed."""

    key: str
    mod_revision: int


class JobStore:
    """Job records; a lost reply of a write is resolved by reading."""

    def __init__(self, system: ActorSystem) -> None:
        self._system = system

    async def load(self, failure_domain: str) -> list[StoredRecord]:
        """Return all records of a failure domain.

        Raises:
            StoreUnavailableError: The store cannot be read.
        """
        reply = await self._ask(GetPrefix(JOBS_PREFIX))
        records = []
        for pair in reply.pairs:
            body = decode_record(pair.value)
            if body is None:
                _logger.error("malformed job record", extra={"key": pair.key})
            elif body["domain"] == failure_domain:
                records.append(StoredRecord(body, pair.mod_revision))
        return records

    async def read(self, key: str) -> StoredRecord | None:
        """Return one record.

        Raises:
            StoreUnavailableError: The store cannot be read.
        """
        pair = await self._ask(GetKey(key))
        if pair is None:
            return None
        body = decode_record(pair.value)
        if body is None:
            raise StoreUnavailableError(f"malformed job record at {key}")
        return StoredRecord(body, pair.mod_revision)

    async def save(self, body: JobRecordBody, mod_revision: int | None) -> SaveReply:
        """Write a record over the revision that is known, None if unknown.

        Raises:
            StoreUnavailableError: Nothing was written.
            OutcomeUnknownError: A write was sent and cannot be resolved.
        """
        key = record_key(spec_of(body))
        sent = False
        for _ in range(SAVE_ROUNDS):
            try:
                if mod_revision is None:
                    stored = await self.read(key)
                    if stored is not None and stored.body == body:
                        return SaveReply(True, stored)
                    if stored is not None and not _replaces(body, stored.body):
                        return SaveReply(False, stored)
                    mod_revision = stored.mod_revision if stored else 0
                compare = Compare(key, mod_revision)
                put = PutKey(key, encode_record(body))
                reply = await self._ask(Transact((compare,), (put,)))
                if reply.succeeded:
                    return SaveReply(True, StoredRecord(body, reply.revision))
            except OutcomeUnknownError:
                sent = True
            except StoreUnavailableError as error:
                if sent:
                    raise OutcomeUnknownError(error.detail) from error
                raise
            mod_revision = None
        raise OutcomeUnknownError(f"the write of {key} cannot be resolved")

    async def delete(self, records: list[ExpiredRecord]) -> bool:
        """Delete records in one transaction; false when one has changed."""
        compares = tuple(Compare(r.key, r.mod_revision) for r in records)
        deletions = tuple(DeleteKey(r.key) for r in records)
        reply = await self._ask(Transact(compares, deletions))
        return reply.succeeded

    async def _ask(self, request: Any) -> Any:
        try:
            return await self._system.ask(STORE, request)
        except OverloadedError as error:
            raise StoreUnavailableError(error.detail) from error


def _replaces(new: JobRecordBody, old: JobRecordBody) -> bool:
    """Whether a record may be written over one of the same key.

    A final record stands, and so does one that an owner with a higher epoch
    has changed.
    """
    return (
        new["nonce"] == old["nonce"]
        and new["state"] != OPEN
        and not is_final(old)
        and _epoch_of(old) <= _epoch_of(new)
    )


def _epoch_of(body: JobRecordBody) -> Epoch:
    return Epoch(*body["epoch"]) if body["epoch"] else Epoch(0, 0, 0)
