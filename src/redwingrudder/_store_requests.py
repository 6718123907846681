"""Messages to and from the client of the platform store (actor STORE).

All asks may raise ``StoreUnavailableError`` (nothing was sent, or only a
read) or ``OutcomeUnknownError`` (a write was sent and its reply is lost).
"""

from typing import NamedTuple


class KeyValue(NamedTuple):
    """A key with its value and the revision of its last change."""

    key: str
    value: str
    mod_revision: int


class GetKey(NamedTuple):
    """Ask -> ``KeyValue`` or None."""

    key: str


class GetPrefix(NamedTuple):
    """Ask -> ``PrefixReply``, ordered by key."""

    prefix: str


class PrefixReply(NamedTuple):
    """The pairs below a prefix and the store's revision at the read."""

    pairs: tuple[KeyValue, ...]
    revision: int


class Compare(NamedTuple):
    """The key's last change is ``mod_revision``; 0 means it is absent."""

    key: str
    mod_revision: int


class PutKey(NamedTuple):
    """A write within a transaction; ``lease_id`` 0 means without a lease."""

    key: str
    value: str
    lease_id: int = 0


class DeleteKey(NamedTuple):
    """A deletion within a transaction."""

    key: str


class Transact(NamedTuple):
    """Ask -> ``TransactReply``; all or none of the operations happen."""

    compares: tuple[Compare, ...]
    operations: tuple[PutKey | DeleteKey, ...]


class TransactReply(NamedTuple):
    """``succeeded`` is false when a comparison did not hold."""

    succeeded: bool
    revision: int


class GrantLease(NamedTuple):
    """Ask -> lease id (int)."""

    ttl_s: int


class KeepLeaseAlive(NamedTuple):
    """Ask -> remaining TTL in seconds; 0 when the lease has lapsed."""

    lease_id: int


class RevokeLease(NamedTuple):
    """Ask -> None."""

    lease_id: int


class WatchPrefix(NamedTuple):
    """Tell STORE: send ``WatchChanged`` for a prefix until the node stops.

    The store client reconnects by itself and resumes after the last revision
    that it delivered; after a gap it sends ``WatchReset`` instead.
    """

    subscriber: str
    prefix: str
    after_revision: int


class WatchChanged(NamedTuple):
    """Changes below a watched prefix, in the order of their revisions.

    A deleted key has the value None.
    """

    prefix: str
    changes: tuple["KeyChange", ...]
    revision: int


class KeyChange(NamedTuple):
    """One change; ``value`` is None for a deletion."""

    key: str
    value: str | None
    mod_revision: int


class WatchReset(NamedTuple):
    """The watch cannot be resumed; read the prefix and watch it again."""

    prefix: str


class SubscribeStoreStatus(NamedTuple):
    """Tell STORE: send ``StoreStatus`` now and on every change."""

    subscriber: str


class StoreStatus(NamedTuple):
    """Whether the store answers; told to its subscribers."""

    available: bool


class ListVms(NamedTuple):
    """Ask of STORE -> tuple of ``VmInfo``; "" means all failure domains."""

    failure_domain: str
