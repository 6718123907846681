"""Messages to and from the client actor of the platform store (STORE).

"Ask -> reply" names the reply to a message that is sent by ``ask``. Every
ask may fail with ``StoreUnavailableError``, if the request was not sent or
was a read whose reply is lost, or with ``OutcomeUnknownError``, if a write was
sent and its reply is lost.
"""

from typing import NamedTuple


class KeyValue(NamedTuple):
    """A key with its value and the revision of its last change."""

    key: str
    value: str
    mod_revision: int


class GetKey(NamedTuple):
    """Ask -> ``KeyValue``, or None if the key is absent."""

    key: str


class GetPrefix(NamedTuple):
    """Reads all keys that begin with a prefix; ask -> ``PrefixReply``."""

    prefix: str


class PrefixReply(NamedTuple):
    """The pairs ordered by key, and the revision of the store when read.

    ``next_key`` is set in a single page only: the first key of the next page.
    """

    pairs: tuple[KeyValue, ...]
    revision: int
    next_key: str = ""


class Compare(NamedTuple):
    """Condition that a key was last changed at a revision; 0: it is absent."""

    key: str
    mod_revision: int


class PutKey(NamedTuple):
    """Write in a transaction; the key is deleted when its lease ends.

    ``lease_id`` 0 writes the key without a lease.
    """

    key: str
    value: str
    lease_id: int = 0


class DeleteKey(NamedTuple):
    """Deletion in a transaction."""

    key: str


class Transact(NamedTuple):
    """Executes all operations if all comparisons hold, else none.

    Ask -> ``TransactReply``.
    """

    compares: tuple[Compare, ...]
    operations: tuple[PutKey | DeleteKey, ...]


class TransactReply(NamedTuple):
    """Outcome; ``succeeded`` is false if a comparison did not hold."""

    succeeded: bool
    revision: int


class GrantLease(NamedTuple):
    """Creates a lease of ``ttl_s`` seconds; ask -> its id (int)."""

    ttl_s: int


class KeepLeaseAlive(NamedTuple):
    """Renews a lease; ask -> its TTL in seconds, 0 if it has lapsed."""

    lease_id: int


class RevokeLease(NamedTuple):
    """Ends a lease and deletes its keys; ask -> None."""

    lease_id: int


class WatchPrefix(NamedTuple):
    """Tell STORE: send ``WatchChanged`` for a prefix until the node stops.

    The store client reconnects by itself and resumes after the last revision
    that it delivered. If it cannot resume, it sends ``WatchReset`` instead.
    """

    subscriber: str
    prefix: str
    after_revision: int


class WatchChanged(NamedTuple):
    """Changes of keys with a watched prefix, ordered by revision.

    ``revision`` is that of the last change.
    """

    prefix: str
    changes: tuple["KeyChange", ...]
    revision: int


class KeyChange(NamedTuple):
    """Change of one key; ``value`` is None for a deletion."""

    key: str
    value: str | None
    mod_revision: int


class WatchReset(NamedTuple):
    """Tells the subscriber to read the prefix and to watch it again.

    The watch has ended since it cannot be resumed.
    """

    prefix: str


class SubscribeStoreStatus(NamedTuple):
    """Tell STORE: send ``StoreStatus`` now and on every change."""

    subscriber: str


class StoreStatus(NamedTuple):
    """Tells the subscribers whether the store is available."""

    available: bool


class ListVms(NamedTuple):
    """Ask -> tuple of ``VmInfo``; "" means all failure domains."""

    failure_domain: str
