"""Model of the platform's store with fault injection."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from .._store_requests import (
    DeleteKey,
    GetKey,
    GetPrefix,
    GrantLease,
    KeepLeaseAlive,
    KeyValue,
    PrefixReply,
    RevokeLease,
    Transact,
    TransactReply,
)
from ..actors import Actor, ActorSystem, Handler
from ..coordination.gateways import STORE, AwaitChanges, Change, Changes
from ..exceptions import OutcomeUnknownError, StoreUnavailableError

CALL_TIMEOUT_S = 0.4  # of a call to the store
LEASE_ID = 7  # id of every lease that the store actor grants


class StoreContents:
    """Contents of the store, shared by the store actors of all nodes.

    Attributes:
        revision: Revision of the last change.
        items_by_key: Current pairs.
        history: All changes, oldest first.
        leases: Lease of each key that was written, 0 for none.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items_by_key: dict[str, KeyValue] = {}
        self.history: list[Change] = []
        self.leases: dict[str, int] = {}

    def put(self, key: str, value: str, lease: int = 0, revision: int = 0) -> None:
        """Write a key; ``revision`` 0 stands for the next one."""
        self.revision = revision or self.revision + 1
        self.items_by_key[key] = KeyValue(key, value, self.revision)
        self.leases[key] = lease
        self.history.append(Change(key, value, self.revision))

    def remove(self, key: str, revision: int = 0) -> None:
        """Remove a key, if it exists."""
        if key in self.items_by_key:
            self.revision = revision or self.revision + 1
            del self.items_by_key[key]
            self.history.append(Change(key, None, self.revision))

    def transact(self, message: Transact) -> TransactReply:
        """Execute all operations if all comparisons hold."""
        for compare in message.compares:
            item = self.items_by_key.get(compare.key)
            if (item.mod_revision if item else 0) != compare.mod_revision:
                return TransactReply(False, 0)
        # All changes of a transaction have the same revision.
        revision = self.revision + 1
        for operation in message.operations:
            if isinstance(operation, DeleteKey):
                self.remove(operation.key, revision)
            else:
                self.put(operation.key, operation.value, operation.lease_id, revision)
        return TransactReply(True, self.revision)


class MemoryStore(Actor):
    """Store actor of one node.

    Args:
        system: The node's actor system.
        contents: Contents that all nodes share.

    Attributes:
        down: Calls fail without an effect.
        replies_to_lose: Number of writes that take effect but fail with an
            unknown outcome.
        answers_to_withhold: Number of writes that take effect and whose
            outcome is reported as unknown after ``CALL_TIMEOUT_S``.
        writes_to_delay: Number of writes that fail with an unknown outcome
            and take effect in ``apply_delayed_writes``.
        down_after_delayed_write: Whether the store goes down after a delayed
            write.
        go_down: Called when it does; without another one, it sets ``down``.
        watches_hang: Watches are not answered, although other calls are.
        watch_limit_s: Seconds after the wait of a watch at which a watch that
            was not answered fails; None for a client that waits for ever. With
            a limit, watches without changes are answered after their wait.
        renewal_remaining_s: Remaining time of a lease that each renewal
            returns; 0.0 means that the lease has expired.
        delayed_writes: Writes that ``apply_delayed_writes`` carries out.
        transactions: All transactions that were asked for.
        watches: Watches without a reply.
        withheld_at: Times of the writes whose outcome was withheld.
    """

    def __init__(self, system: ActorSystem, contents: StoreContents) -> None:
        self.contents = contents
        self.down = False
        self.replies_to_lose = 0
        self.answers_to_withhold = 0
        self.writes_to_delay = 0
        self.down_after_delayed_write = False
        self.go_down: Callable[[], None] = self._go_down
        self.watches_hang = False
        self.watch_limit_s: float | None = None
        self.renewal_remaining_s = 1.5
        self.delayed_writes: list[Transact] = []
        self.transactions: list[Transact] = []
        self.watches: list[tuple[AwaitChanges, Deferred]] = []
        self.withheld_at: list[float] = []
        super().__init__(system, STORE)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            GetKey: self._get,
            GetPrefix: self._get_prefix,
            Transact: self._transact,
            GrantLease: lambda _: self._answer_if_up(LEASE_ID),
            KeepLeaseAlive: lambda _: self._answer_if_up(self.renewal_remaining_s),
            RevokeLease: self._revoke,
            AwaitChanges: self._watch,
        }

    def apply_delayed_writes(self) -> list[bool]:
        """Apply the delayed writes; returns for each whether it succeeded."""
        messages, self.delayed_writes = self.delayed_writes, []
        return [self.contents.transact(message).succeeded for message in messages]

    def notify(self) -> None:
        """Reply to the watches for which there are changes."""
        waiting, self.watches = self.watches, []
        for message, reply in waiting:
            self._answer_or_wait(message, reply)

    def _go_down(self) -> None:
        self.down = True

    def _answer_if_up(self, value: Any) -> Any:
        if self.down:
            raise StoreUnavailableError("the store is down")
        return value

    def _revoke(self, message: RevokeLease) -> None:
        self._answer_if_up(None)
        for key, lease in list(self.contents.leases.items()):
            if lease == message.lease_id:
                self.contents.remove(key)

    def _get(self, message: GetKey) -> KeyValue | None:
        return self._answer_if_up(self.contents.items_by_key.get(message.key))

    def _get_prefix(self, message: GetPrefix) -> PrefixReply:
        pairs = tuple(
            item
            for key, item in sorted(self.contents.items_by_key.items())
            if key.startswith(message.prefix)
        )
        return self._answer_if_up(PrefixReply(pairs, self.contents.revision))

    def _transact(self, message: Transact) -> TransactReply | Deferred:
        self._answer_if_up(None)
        self.transactions.append(message)
        if self.writes_to_delay:
            self.writes_to_delay -= 1
            if self.down_after_delayed_write:
                self.go_down()
            self.delayed_writes.append(message)
            raise OutcomeUnknownError("the write was delayed")
        reply = self.contents.transact(message)
        if self.answers_to_withhold:
            self.answers_to_withhold -= 1
            self.withheld_at.append(self.system.clock.seconds())
            lost = OutcomeUnknownError("no reply to the write in time")
            unanswered: Deferred = Deferred()
            self.system.clock.callLater(CALL_TIMEOUT_S, unanswered.errback, lost)
            return unanswered
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            raise OutcomeUnknownError("the reply to the write was lost")
        return reply

    def _watch(self, message: AwaitChanges) -> Deferred:
        self._answer_if_up(None)
        reply: Deferred = Deferred()
        self._answer_or_wait(message, reply)
        if self.watch_limit_s is not None:
            self.system.clock.callLater(message.wait_s, self._end_wait, message, reply)
        return reply

    def _end_wait(self, message: AwaitChanges, reply: Deferred) -> None:
        """Answer a watch after its wait, or let it fail at its limit."""
        if reply.called:
            return
        if self.down or self.watches_hang:
            self.system.clock.callLater(
                self.watch_limit_s, self._fail_watch, message, reply
            )
            return
        self.watches.remove((message, reply))
        changes = self._changes(message)
        reply.callback(Changes(changes, self.contents.revision))

    def _fail_watch(self, message: AwaitChanges, reply: Deferred) -> None:
        if not reply.called:
            self.watches.remove((message, reply))
            reply.errback(StoreUnavailableError("no reply to the watch in time"))

    def _answer_or_wait(self, message: AwaitChanges, reply: Deferred) -> None:
        changes = self._changes(message)
        if changes and not self.watches_hang:
            reply.callback(Changes(changes, self.contents.revision))
        else:
            self.watches.append((message, reply))

    def _changes(self, message: AwaitChanges) -> tuple[Change, ...]:
        return tuple(
            change
            for change in self.contents.history
            if change.revision > message.after and change.key.startswith(message.prefix)
        )
