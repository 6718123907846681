"""The owner record of a failure domain in the platform store."""

import json
import uuid
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

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
# Below an owner key: the node that handed the domain over. Without it, other
# nodes would wait for an owner whose last report is recent.
RELEASED_SUFFIX = "/released"
LEASE_S = 3
MAX_WRITE_ATTEMPTS = 2  # of one acquisition; the lease is short

AskStore = Callable[[Any], Awaitable[Any]]


class OwnerRecord(NamedTuple):
    """Who owns a failure domain; the nonce is new for each acquisition."""

    node_id: str
    address: str
    epoch: Epoch
    nonce: str


class Owners(NamedTuple):
    """The records of all domains at a revision of the store."""

    records_by_domain: dict[str, OwnerRecord]
    revision: int


class Acquisition(NamedTuple):
    """A record that this node holds; ``valid_until`` is the node's time."""

    record: OwnerRecord
    lease_id: int
    revision: int
    valid_until: float


class RecordView:
    """The record of one domain as last read, watched or written."""

    def __init__(self) -> None:
        self.record: OwnerRecord | None = None
        self._revision = 0

    def update(self, record: OwnerRecord | None, revision: int) -> bool:
        """Take over a record unless it is older; returns if it changed."""
        # A watch may lag behind what was read or written.
        if revision < self._revision:
            return False
        changed = record != self.record
        self.record = record
        self._revision = revision
        return changed


class OwnerRecordClient:
    """Reads, acquires, renews and releases the record of one domain.

    Args:
        ask_store: Asks the store actor.
        seconds: The node's clock.
        failure_domain: The domain.
        node_id: This node.
        address: Address of this node's thrift port.
        rank: This node's rank in the domain.
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
        """Whether this process wrote the record in its last acquisition."""
        return record.nonce == self._nonce

    async def read_all(self) -> Owners:
        """Read the records of all domains."""
        reply = await self._ask_store(GetPrefix(OWNER_PREFIX))
        records = {
            pair.key.removeprefix(OWNER_PREFIX): decode_record(pair.value)
            for pair in reply.pairs
            if not pair.key.endswith(RELEASED_SUFFIX)
        }
        return Owners(records, reply.revision)

    async def acquire(self, highest_epoch: Epoch) -> Acquisition | OwnerRecord:
        """Create the record under a new lease and a higher epoch.

        Args:
            highest_epoch: The highest_epoch epoch known for the domain.

        Returns:
            The acquisition, or the record of the node that holds it.

        Raises:
            RedwingrudderError: The store failed or another node raced.
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
        """Renew the lease; returns until when it is valid, None if lapsed."""
        sent_at = self._now()
        ttl_s = await self._ask_store(KeepLeaseAlive(lease_id))
        return sent_at + ttl_s if ttl_s > 0 else None

    async def hand_over(self, lease_id: int, revision: int) -> None:
        """Delete the record and name this node as the one that left.

        Args:
            lease_id: The record's lease, under which the name lapses too.
            revision: The record's revision.
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
        """Revoke the lease, which deletes only what was written under it."""
        try:
            await self._ask_store(RevokeLease(lease_id))
        except RedwingrudderError:
            return  # It lapses within LEASE_S.

    def _build_record(
        self, epoch_counter: KeyValue | None, highest_epoch: Epoch
    ) -> OwnerRecord:
        recorded_term = 0 if epoch_counter is None else int(epoch_counter.value)
        term = max(recorded_term, highest_epoch.store_term) + 1
        epoch = Epoch(term, 0, self._rank)
        # The watch may show the record before the store's reply arrives.
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
        """Return the revision of the written record, or who holds it."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                reply = await self._ask_store(transaction)
            except OutcomeUnknownError:
                # Sent again, it has no second effect: the compares fail.
                continue
            if reply.succeeded:
                return reply.revision
            return await self._find_holder()
        raise OutcomeUnknownError("the store did not confirm the owner record")

    async def _find_holder(self) -> int | OwnerRecord:
        pair = await self._ask_store(GetKey(self._key))
        if pair is None:
            raise ConflictError("another node raced for the owner record")
        holder = decode_record(pair.value)
        return pair.mod_revision if self.is_own(holder) else holder


def encode_record(record: OwnerRecord) -> str:
    """Encode the value of an owner key (JSON)."""
    return json.dumps(record._asdict())


def decode_record(text: str) -> OwnerRecord:
    """Decode the value of an owner key."""
    body = json.loads(text)
    epoch = Epoch(*body["epoch"])
    return OwnerRecord(body["node_id"], body["address"], epoch, body["nonce"])
