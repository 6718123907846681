"""In-memory key-value store with revisions, leases and watches.

The module does no I/O and reads no clock: callers pass the time, in seconds.
It follows the published semantics of etcd v3 as far as docs/design.md
section 5 uses them.
"""

import bisect
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from ..exceptions import (
    BadRequestError,
    NotFoundError,
    OverloadedError,
    PayloadTooLargeError,
)

MAX_VALUE_BYTES = 1_000_000
MAX_KEYS = 200_000
MAX_LEASES = 10_000
MAX_WATCHES = 10_000
MAX_HISTORY_CHANGES = 10_000  # available to watches that start in the past
MAX_HISTORY_BYTES = 64_000_000  # sum of the values in the history

_NO_UPPER_BOUND = b"\x00"  # range_end that selects all keys from the first on


class Record(NamedTuple):
    """A key at its last change; ``value`` is None if that was a deletion.

    ``create_revision`` and ``mod_revision`` are the store revisions of the
    key's creation and last change, ``version`` counts its writes since the
    creation. ``lease_id`` is 0 for a key without a lease.
    """

    key: bytes
    value: bytes | None
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int


class Put(NamedTuple):
    """A write in a transaction; ``lease_id`` 0 means without a lease."""

    key: bytes
    value: bytes
    lease_id: int = 0


class Delete(NamedTuple):
    """A deletion in a transaction; an empty ``range_end`` selects one key."""

    key: bytes
    range_end: bytes = b""


class ModCompare(NamedTuple):
    """A condition: the key was last changed at this revision.

    Revision 0 requires that the key does not exist.
    """

    key: bytes
    mod_revision: int


class CompactedError(NotFoundError):
    """The changes that a watch requested were dropped from the history."""

    code = "compacted"

    def __init__(self, compact_revision: int) -> None:
        super().__init__(f"revisions up to {compact_revision} are compacted")
        self.compact_revision = compact_revision


WatchCallback = Callable[[tuple[Record, ...], int], None]


class _Lease(NamedTuple):
    ttl_s: int
    expires_at: float
    keys: set[bytes]


class _Watch(NamedTuple):
    key: bytes
    range_end: bytes
    callback: WatchCallback


def prefix_end(prefix: bytes) -> bytes:
    """Return the ``range_end`` that selects all keys with this prefix."""
    trimmed = prefix.rstrip(b"\xff")
    if not trimmed:
        return _NO_UPPER_BOUND
    return trimmed[:-1] + bytes([trimmed[-1] + 1])


class KeyValueCore:
    """A key-value store: sorted keys, leases, watches and recent changes.

    Args:
        max_history_changes: Number of changes that the history holds at
            most; older ones are compacted.
    """

    def __init__(self, max_history_changes: int = MAX_HISTORY_CHANGES) -> None:
        self.revision = 1
        self.compact_revision = 0
        self._max_history_changes = max_history_changes
        self._records_by_key: dict[bytes, Record] = {}
        self._keys: list[bytes] = []
        self._leases_by_id: dict[int, _Lease] = {}
        self._last_lease_id = 1000
        self._history: deque[Record] = deque()
        self._history_bytes = 0
        self._watches_by_id: dict[int, _Watch] = {}
        self._next_watch_id = 1

    def range(self, key: bytes, range_end: bytes = b"") -> tuple[Record, ...]:
        """Return the records of a key range in key order.

        The range includes ``key`` and excludes ``range_end``. An empty
        ``range_end`` selects ``key`` alone.
        """
        if not range_end:
            record = self._records_by_key.get(key)
            return () if record is None else (record,)
        start = bisect.bisect_left(self._keys, key)
        end = len(self._keys)
        if range_end != _NO_UPPER_BOUND:
            end = bisect.bisect_left(self._keys, range_end)
        return tuple(
            self._records_by_key[stored_key] for stored_key in self._keys[start:end]
        )

    def transact(
        self,
        compares: tuple[ModCompare, ...],
        operations: tuple[Put | Delete, ...],
        now: float,
    ) -> bool:
        """Apply all operations atomically if all conditions are met.

        Returns:
            Whether the conditions were met.

        Raises:
            BadRequestError: A key is written twice.
            NotFoundError: A lease does not exist.
            PayloadTooLargeError: A value exceeds ``MAX_VALUE_BYTES``.
            OverloadedError: The store could exceed ``MAX_KEYS`` keys.
        """
        self.expire(now)
        self._check_operations(operations)
        if not all(self._matches(compare) for compare in compares):
            return False
        changes = self._apply(operations)
        if changes:
            self.revision += 1
            self._publish(tuple(changes))
        return True

    def grant_lease(self, ttl_s: int, now: float) -> int:
        """Create a lease and return its id.

        Raises:
            OverloadedError: The store holds ``MAX_LEASES`` leases.
        """
        self.expire(now)
        if len(self._leases_by_id) >= MAX_LEASES:
            raise OverloadedError(f"the store holds the maximum of {MAX_LEASES} leases")
        self._last_lease_id += 1
        self._leases_by_id[self._last_lease_id] = _Lease(ttl_s, now + ttl_s, set())
        return self._last_lease_id

    def keep_alive(self, lease_id: int, now: float) -> int:
        """Renew a lease and return its TTL in seconds, 0 if it has expired."""
        self.expire(now)
        lease = self._leases_by_id.get(lease_id)
        if lease is None:
            return 0
        renewed = lease._replace(expires_at=now + lease.ttl_s)
        self._leases_by_id[lease_id] = renewed
        return lease.ttl_s

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete the keys that are attached to it.

        Raises:
            NotFoundError: The lease does not exist.
        """
        lease = self._leases_by_id.pop(lease_id, None)
        if lease is None:
            raise NotFoundError(
                f"lease {lease_id} does not exist", code="no_such_lease"
            )
        changes = self._apply(tuple(Delete(key) for key in sorted(lease.keys)))
        if changes:
            self.revision += 1
            self._publish(tuple(changes))

    def expire(self, now: float) -> None:
        """Revoke the leases that have expired at ``now``."""
        expired_ids = [
            lease_id
            for lease_id, lease in self._leases_by_id.items()
            if lease.expires_at <= now
        ]
        for lease_id in expired_ids:
            self.revoke_lease(lease_id)

    def next_expiry(self) -> float | None:
        """Return when the next lease expires unless it is renewed."""
        expiry_times = [lease.expires_at for lease in self._leases_by_id.values()]
        return min(expiry_times, default=None)

    def watch(
        self,
        key: bytes,
        range_end: bytes,
        start_revision: int,
        callback: WatchCallback,
    ) -> int:
        """Open a watch on a key range and return its id.

        The callback receives the changes from ``start_revision`` on, each
        time with the present revision; with 0 it receives only later
        changes. Past changes are delivered before the method returns.

        Raises:
            CompactedError: The history no longer holds the revision.
            OverloadedError: ``MAX_WATCHES`` watches are open.
        """
        if 0 < start_revision <= self.compact_revision:
            raise CompactedError(self.compact_revision)
        if len(self._watches_by_id) >= MAX_WATCHES:
            raise OverloadedError(f"the maximum of {MAX_WATCHES} watches are open")
        watch = _Watch(key, range_end, callback)
        if start_revision > 0:
            missed_changes = (
                r for r in self._history if r.mod_revision >= start_revision
            )
            self._deliver(watch, tuple(missed_changes))
        watch_id = self._next_watch_id
        self._next_watch_id += 1
        self._watches_by_id[watch_id] = watch
        return watch_id

    def unwatch(self, watch_id: int) -> None:
        """Close a watch; unknown ids are ignored."""
        self._watches_by_id.pop(watch_id, None)

    def compact(self, revision: int) -> None:
        """Drop the changes up to and including a revision from the history."""
        self.compact_revision = max(self.compact_revision, revision)
        while self._history and self._history[0].mod_revision <= revision:
            self._history_bytes -= len(self._history.popleft().value or b"")

    def _check_operations(self, operations: tuple[Put | Delete, ...]) -> None:
        puts = [operation for operation in operations if isinstance(operation, Put)]
        if len({put.key for put in puts}) < len(puts):
            raise BadRequestError("duplicate key given in txn request")
        for put in puts:
            if len(put.value) > MAX_VALUE_BYTES:
                raise PayloadTooLargeError(
                    f"value has {len(put.value)} bytes, the limit is {MAX_VALUE_BYTES}"
                )
            if put.lease_id and put.lease_id not in self._leases_by_id:
                raise NotFoundError("requested lease not found", code="no_such_lease")
        if len(self._keys) + len(puts) > MAX_KEYS:
            raise OverloadedError(f"the store is limited to {MAX_KEYS} keys")

    def _matches(self, compare: ModCompare) -> bool:
        record = self._records_by_key.get(compare.key)
        mod_revision = 0 if record is None else record.mod_revision
        return mod_revision == compare.mod_revision

    def _apply(self, operations: tuple[Put | Delete, ...]) -> list[Record]:
        changes: list[Record] = []
        for operation in operations:
            if isinstance(operation, Put):
                changes.append(self._put(operation))
                continue
            for record in self.range(operation.key, operation.range_end):
                changes.append(self._delete(record))
        return changes

    def _put(self, put: Put) -> Record:
        revision = self.revision + 1
        previous = self._records_by_key.get(put.key)
        if previous is None:
            bisect.insort(self._keys, put.key)
            record = Record(put.key, put.value, revision, revision, 1, put.lease_id)
        else:
            self._detach_from_lease(previous)
            record = previous._replace(
                value=put.value,
                mod_revision=revision,
                version=previous.version + 1,
                lease_id=put.lease_id,
            )
        self._records_by_key[put.key] = record
        if put.lease_id:
            self._leases_by_id[put.lease_id].keys.add(put.key)
        return record

    def _delete(self, record: Record) -> Record:
        del self._records_by_key[record.key]
        del self._keys[bisect.bisect_left(self._keys, record.key)]
        self._detach_from_lease(record)
        return Record(record.key, None, 0, self.revision + 1, 0, 0)

    def _detach_from_lease(self, record: Record) -> None:
        lease = self._leases_by_id.get(record.lease_id)
        if lease is not None:
            lease.keys.discard(record.key)

    def _publish(self, changes: tuple[Record, ...]) -> None:
        self._history.extend(changes)
        self._history_bytes += sum(len(change.value or b"") for change in changes)
        while self._history and (
            len(self._history) > self._max_history_changes
            or self._history_bytes > MAX_HISTORY_BYTES
        ):
            self.compact(self._history[0].mod_revision)
        for watch in list(self._watches_by_id.values()):
            self._deliver(watch, changes)

    def _deliver(self, watch: _Watch, changes: tuple[Record, ...]) -> None:
        selected = tuple(c for c in changes if _selects(watch, c.key))
        if selected:
            watch.callback(selected, self.revision)


def _selects(watch: _Watch, key: bytes) -> bool:
    if not watch.range_end:
        return key == watch.key
    if watch.range_end == _NO_UPPER_BOUND:
        return key >= watch.key
    return watch.key <= key < watch.range_end
