"""Reads and writes job records through the STORE actor."""

import logging
from typing import Any, NamedTuple

from ._job_records import (
    JOBS_PREFIX,
    OPEN,
    STARTING,
    JobRecordBody,
    StoredRecord,
    decode_record,
    encode_record,
    epoch_of,
    is_final,
    record_key,
    spec_of,
)
from ._ownership_record import OWNER_PREFIX, decode_or_ignore
from .actors import ActorSystem
from .exceptions import (
    OutcomeUnknownError,
    OverloadedError,
    StoreUnavailableError,
    UnavailableError,
)
from .model import Epoch, JobState
from .requests import (
    STORE,
    Compare,
    DeleteKey,
    GetKey,
    GetPrefix,
    PutKey,
    Transact,
    TransactReply,
)

# Records with these states are written only while the owner record has the
# epoch of this owner, see JobStore.
_GUARDED_STATES = frozenset({OPEN, STARTING, JobState.NOT_RUN.value})

# Attempts to write one record before its outcome is reported as unknown.
MAX_SAVE_ATTEMPTS = 4
NOT_OWNER_RETRY_S = 0.5  # retry delay that callers are given

_logger = logging.getLogger(__name__)


class SaveReply(NamedTuple):
    """Outcome of saving a record.

    Attributes:
        saved: Whether the store holds the given record.
        stored: The record that the store holds.
    """

    saved: bool
    stored: StoredRecord


class ExpiredRecord(NamedTuple):
    """A final record to be deleted if its revision is unchanged."""

    key: str
    mod_revision: int


class JobStore:
    """Store access for the job records of one owner.

    After a lost reply the record is read to learn whether the write took
    effect.

    A successor writes the owner record and then reads the job records. It
    would miss a job record that this owner writes later. Records of new jobs,
    of starts and of jobs that did not run are therefore written only if the
    owner record still has the epoch of this owner.

    Args:
        system: Actor system of the node.
        failure_domain: Failure domain of the owner.
        epoch: Epoch of the owner; set again when it is raised.
    """

    def __init__(self, system: ActorSystem, failure_domain: str, epoch: Epoch) -> None:
        self._system = system
        self._owner_key = f"{OWNER_PREFIX}{failure_domain}"
        self._failure_domain = failure_domain
        self._epoch = epoch
        self._owner_revision: int | None = None

    @property
    def epoch(self) -> Epoch:
        """Epoch of the owner; if set, the owner record is read again."""
        return self._epoch

    @epoch.setter
    def epoch(self, epoch: Epoch) -> None:
        self._epoch = epoch
        self._owner_revision = None

    async def load(self) -> list[StoredRecord]:
        """Read all job records of this failure domain.

        Malformed records are logged and left out.

        Raises:
            StoreUnavailableError: The store cannot be read.
        """
        reply = await self._ask(GetPrefix(JOBS_PREFIX))
        records = []
        for pair in reply.pairs:
            body = decode_record(pair.value)
            if body is None:
                _logger.error("malformed job record", extra={"key": pair.key})
            elif body["domain"] == self._failure_domain:
                records.append(StoredRecord(body, pair.mod_revision))
        return records

    async def read(self, key: str) -> StoredRecord | None:
        """Read one record, None if it does not exist.

        Raises:
            StoreUnavailableError: The store cannot be read, or the record
                is malformed.
        """
        pair = await self._ask(GetKey(key))
        if pair is None:
            return None
        body = decode_record(pair.value)
        if body is None:
            raise StoreUnavailableError(f"malformed job record at {key}")
        return StoredRecord(body, pair.mod_revision)

    async def save(
        self,
        body: JobRecordBody,
        mod_revision: int | None,
        replaceable: JobRecordBody | None = None,
    ) -> SaveReply:
        """Write a record if the store holds an expected revision.

        If the revision is not known or has changed, the stored record is
        read, and replaced if ``_can_replace`` or ``replaceable`` allows it.

        Args:
            body: The record to write.
            mod_revision: Revision to be replaced; 0 for a new record, None if
                not known.
            replaceable: Record that may be replaced at any revision.

        Raises:
            StoreUnavailableError: Nothing was written.
            OutcomeUnknownError: A write was sent, and it is not known
                whether it took effect.
            UnavailableError: ``not_owner``; a successor owns the domain.
        """
        write_sent = False
        for _ in range(MAX_SAVE_ATTEMPTS):
            try:
                if mod_revision is None:
                    stored = await self.read(record_key(spec_of(body)))
                    if stored is not None and stored.body == body:
                        return SaveReply(True, stored)
                    is_replaceable = stored is None or stored.body == replaceable
                    if not is_replaceable and not _can_replace(body, stored.body):
                        return SaveReply(False, stored)
                    mod_revision = stored.mod_revision if stored else 0
                reply = await self._write(body, mod_revision)
                if reply.succeeded:
                    return SaveReply(True, StoredRecord(body, reply.revision))
            except OutcomeUnknownError:
                write_sent = True
            except StoreUnavailableError as error:
                if write_sent:
                    raise OutcomeUnknownError(error.detail) from error
                raise
            mod_revision = None
            self._owner_revision = None
        raise OutcomeUnknownError(
            f"the outcome of writing the record of job {body['job_id']} is not "
            f"known after {MAX_SAVE_ATTEMPTS} attempts"
        )

    async def delete(self, records: list[ExpiredRecord]) -> bool:
        """Delete records in one transaction.

        Returns:
            False if a record has changed, in which case none is deleted.
        """
        compares = tuple(Compare(r.key, r.mod_revision) for r in records)
        deletions = tuple(DeleteKey(r.key) for r in records)
        reply = await self._ask(Transact(compares, deletions))
        return reply.succeeded

    async def _write(self, body: JobRecordBody, mod_revision: int) -> TransactReply:
        key = record_key(spec_of(body))
        compares = (Compare(key, mod_revision),)
        if body["state"] in _GUARDED_STATES:
            compares += (await self._compare_owner_record(),)
        put = PutKey(key, encode_record(body))
        return await self._ask(Transact(compares, (put,)))

    async def _compare_owner_record(self) -> Compare:
        if self._owner_revision is None:
            pair = await self._ask(GetKey(self._owner_key))
            record = decode_or_ignore(pair.key, pair.value) if pair else None
            epoch = record.epoch if record is not None else None
            if epoch is not None and epoch > self._epoch:
                detail = (
                    f"the owner record has the epoch {tuple(epoch)}, higher than "
                    f"{tuple(self._epoch)} of this node"
                )
                raise UnavailableError(
                    detail, code="not_owner", retry_after_s=NOT_OWNER_RETRY_S
                )
            if epoch != self._epoch:
                raise StoreUnavailableError(
                    f"this node does not hold the owner record {self._owner_key}"
                )
            self._owner_revision = pair.mod_revision
        return Compare(self._owner_key, self._owner_revision)

    async def _ask(self, request: Any) -> Any:
        try:
            return await self._system.ask(STORE, request)
        except OverloadedError as error:
            raise StoreUnavailableError(error.detail) from error


def _can_replace(new: JobRecordBody, old: JobRecordBody) -> bool:
    """Whether a record may replace a stored record of the same key.

    Both records must come from the same acceptance of the job, and the new
    one must be a start or an end. Final records, records changed by an owner
    with a higher epoch and starts recorded by another owner are not replaced,
    with one exception: the end of a run replaces the final state "not run".
    """
    if old["state"] == JobState.NOT_RUN and is_final(new):
        return new["nonce"] == old["nonce"] and new["state"] != JobState.NOT_RUN
    if old["state"] == new["state"] == STARTING and old["epoch"] != new["epoch"]:
        return False
    return (
        new["nonce"] == old["nonce"]
        and new["state"] != OPEN
        and not is_final(old)
        and epoch_of(old) <= epoch_of(new)
    )
