"""Owner record of a failure domain in the platform store."""

import json
import logging
import uuid
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from ._checked_json import Fields, parse_json
from .exceptions import (
    ConflictError,
    OutcomeUnknownError,
    RedwingrudderError,
)
from .model import Epoch
from .requests import (
    Compare,
    DeleteKey,
    GetKey,
    GetPrefix,
    GrantLease,
    KeepLeaseAlive,
    KeyValue,
    PutKey,
    RevokeLease,
    Transact,
)

OWNER_PREFIX = "/owner/"
EPOCH_PREFIX = "/epoch/"
# Appended to an owner key. The value is the id of the node that handed the
# domain over; without it, other nodes would wait until the reports of that
# node are old enough to count as silence.
RELEASED_SUFFIX = "/released"
LEASE_S = 3
# Attempts to send the transaction of one acquisition. They are few because the
# lease, which is granted before the first one, lasts only LEASE_S seconds.
MAX_WRITE_ATTEMPTS = 2

AskStore = Callable[[Any], Awaitable[Any]]

_logger = logging.getLogger(__name__)


class OwnerRecord(NamedTuple):
    """Owner of a failure domain, as stored.

    Attributes:
        node_id: Id of the owning node.
        address: Address of its thrift port.
        epoch: Fencing epoch of the ownership.
        nonce: Random id that is new for each acquisition.
    """

    node_id: str
    address: str
    epoch: Epoch
    nonce: str


class Owners(NamedTuple):
    """Owner records of all domains at one revision of the store.

    ``unreadable_domains`` are those whose record is malformed.
    """

    records_by_domain: dict[str, OwnerRecord]
    revision: int
    unreadable_domains: frozenset[str] = frozenset()


class Acquisition(NamedTuple):
    """Owner record that this node has acquired.

    Attributes:
        record: The record as written.
        lease_id: Store lease to which the record is attached.
        revision: Store revision of the record.
        valid_until: Time of the node's clock, in seconds, until which the
            lease is certain to be valid.
    """

    record: OwnerRecord
    lease_id: int
    revision: int
    valid_until: float


class RecordView:
    """Latest owner record of one domain that was read, watched or written."""

    def __init__(self) -> None:
        self.record: OwnerRecord | None = None
        self._revision = 0

    def update(self, record: OwnerRecord | None, revision: int) -> bool:
        """Replace the current record unless the given one is older.

        Args:
            record: The record, None if it is absent.
            revision: Store revision at which this was the record.

        Returns:
            Whether the current record changed.
        """
        # Watch messages may arrive after a later read or write.
        if revision < self._revision:
            return False
        changed = record != self.record
        self.record = record
        self._revision = revision
        return changed


class OwnerRecordClient:
    """Reads, acquires, renews and releases the record of one domain.

    Args:
        ask_store: Sends a request to the store actor and returns its reply.
        now: Returns the time of the node's clock in seconds.
        failure_domain: Failure domain of this node.
        node_id: Id of this node.
        address: Address of this node's thrift port.
        rank: Rank of this node in the domain.
    """

    def __init__(
        self,
        ask_store: AskStore,
        now: Callable[[], float],
        failure_domain: str,
        node_id: str,
        address: str,
        rank: int,
    ) -> None:
        self._ask_store = ask_store
        self._now = now
        self._key = OWNER_PREFIX + failure_domain
        self._epoch_key = EPOCH_PREFIX + failure_domain
        self._node_id = node_id
        self._address = address
        self._rank = rank
        self._nonce = ""

    def is_own(self, record: OwnerRecord) -> bool:
        """Whether the record was written by the latest acquisition here."""
        return record.nonce == self._nonce

    async def read_all(self) -> Owners:
        """Read the owner records of all domains.

        Malformed records are logged and left out.

        Raises:
            RedwingrudderError: The store failed.
        """
        reply = await self._ask_store(GetPrefix(OWNER_PREFIX))
        records = {
            pair.key.removeprefix(OWNER_PREFIX): decode_or_ignore(pair.key, pair.value)
            for pair in reply.pairs
            if not pair.key.endswith(RELEASED_SUFFIX)
        }
        readable = {domain: record for domain, record in records.items() if record}
        return Owners(readable, reply.revision, frozenset(records.keys() - readable))

    async def acquire(self, highest_epoch: Epoch) -> Acquisition | OwnerRecord:
        """Create the record under a new lease and a higher epoch.

        Args:
            highest_epoch: Highest epoch known for the domain.

        Returns:
            The acquisition, or the record of the node that holds it.

        Raises:
            RedwingrudderError: The store failed, or the record of another
                node appeared and vanished during the acquisition.
        """
        granted_at = self._now()
        lease_id = await self._ask_store(GrantLease(LEASE_S))
        try:
            epoch_counter = await self._ask_store(GetKey(self._epoch_key))
            record = self._build_record(epoch_counter, highest_epoch)
            transaction = self._build_transaction(record, epoch_counter, lease_id)
            outcome = await self._write(transaction)
        except RedwingrudderError:
            await self.release(lease_id)
            raise
        if isinstance(outcome, OwnerRecord):
            await self.release(lease_id)
            return outcome
        return Acquisition(record, lease_id, outcome, granted_at + LEASE_S)

    async def renew(self, lease_id: int) -> float | None:
        """Renew a lease.

        Returns:
            Time of the node's clock, in seconds, until which the lease is
            valid; None if the store no longer has it.

        Raises:
            RedwingrudderError: The store failed.
        """
        sent_at = self._now()
        ttl_s = await self._ask_store(KeepLeaseAlive(lease_id))
        return sent_at + ttl_s if ttl_s > 0 else None

    async def hand_over(self, lease_id: int, revision: int) -> None:
        """Replace the owner record by a note that this node handed over.

        If the store call fails, the lease is revoked instead.

        Args:
            lease_id: Lease of the record; the note expires with it as well.
            revision: Store revision of the record.
        """
        transaction = Transact(
            (Compare(self._key, revision),),
            (
                DeleteKey(self._key),
                PutKey(self._key + RELEASED_SUFFIX, self._node_id, lease_id),
            ),
        )
        try:
            await self._ask_store(transaction)
        except RedwingrudderError:
            await self.release(lease_id)

    async def release(self, lease_id: int) -> None:
        """Revoke a lease, which deletes only the keys attached to it."""
        try:
            await self._ask_store(RevokeLease(lease_id))
        except RedwingrudderError:
            return  # The lease expires by itself within LEASE_S.

    def _build_record(
        self, epoch_counter: KeyValue | None, highest_epoch: Epoch
    ) -> OwnerRecord:
        recorded_term = 0 if epoch_counter is None else int(epoch_counter.value)
        term = max(recorded_term, highest_epoch.store_term) + 1
        epoch = Epoch(term, 0, self._rank)
        # Set before the write, because the watch may deliver the record before
        # the store's reply to the write arrives.
        self._nonce = uuid.uuid4().hex
        return OwnerRecord(self._node_id, self._address, epoch, self._nonce)

    def _build_transaction(
        self, record: OwnerRecord, epoch_counter: KeyValue | None, lease_id: int
    ) -> Transact:
        epoch_counter_revision = (
            0 if epoch_counter is None else epoch_counter.mod_revision
        )
        return Transact(
            (Compare(self._key, 0), Compare(self._epoch_key, epoch_counter_revision)),
            (
                PutKey(self._key, encode_record(record), lease_id),
                PutKey(self._epoch_key, str(record.epoch.store_term)),
            ),
        )

    async def _write(self, transaction: Transact) -> int | OwnerRecord:
        """Write the record.

        Returns:
            Revision of the written record, or the record of another node.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                reply = await self._ask_store(transaction)
            except OutcomeUnknownError:
                # Repeating is safe: if the first attempt took effect, the
                # compares of the second one fail.
                continue
            if reply.succeeded:
                return reply.revision
            return await self._find_holder()
        raise OutcomeUnknownError(
            "the store did not confirm the write of owner record "
            f"{self._key} in {MAX_WRITE_ATTEMPTS} attempts"
        )

    async def _find_holder(self) -> int | OwnerRecord:
        pair = await self._ask_store(GetKey(self._key))
        if pair is None:
            raise ConflictError(
                f"owner record {self._key} changed during its acquisition "
                "and is absent now"
            )
        try:
            holder = decode_record(pair.value)
        except ValueError as error:
            raise ConflictError(
                f"owner record {self._key} was written by another program: {error}"
            ) from error
        return pair.mod_revision if self.is_own(holder) else holder


def encode_record(record: OwnerRecord) -> str:
    """Encode an owner record as the JSON text stored at the owner key."""
    return json.dumps(record._asdict())


def decode_record(text: str) -> OwnerRecord:
    """Decode the JSON text stored at an owner key.

    Raises:
        ValueError: The text is not an owner record.
    """
    body = Fields(parse_json(text), "owner record")
    epoch = body.integers("epoch")
    if len(epoch) != len(Epoch._fields):
        raise ValueError(f"owner record.epoch: expected 3 numbers, found {len(epoch)}")
    return OwnerRecord(
        body.text("node_id"),
        body.text("address", ""),
        Epoch(*epoch),
        body.text("nonce", ""),
    )


def decode_or_ignore(key: str, text: str) -> OwnerRecord | None:
    """Decode the text at an owner key; log and return None if malformed."""
    try:
        return decode_record(text)
    except ValueError as error:
        _logger.warning(
            "owner record is malformed and ignored",
            extra={"key": key, "error": str(error)},
        )
        return None
