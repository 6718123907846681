"""A store, a worker and a node's actors in memory, with fault switches."""

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from redwingrudder._store_requests import (
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
from redwingrudder.actors import Actor, ActorSystem
from redwingrudder.coordination.gateways import (
    STORE,
    AwaitChanges,
    Change,
    Changes,
)
from redwingrudder.coordination.metrics import (
    METRICS,
    IncrementCounter,
    ObserveDuration,
    SetGauge,
)
from redwingrudder.exceptions import OutcomeUnknownError, StoreUnavailableError


class StoreContents:
    """What all nodes of a test share."""

    def __init__(self):
        self.revision = 1
        self.items_by_key = {}
        self.history = []
        self.leases = {}

    def put(self, key, value, lease=0, revision=0):
        self.revision = revision or self.revision + 1
        self.items_by_key[key] = KeyValue(key, value, self.revision)
        self.leases[key] = lease
        self.history.append(Change(key, value, self.revision))

    def remove(self, key, revision=0):
        if key in self.items_by_key:
            self.revision = revision or self.revision + 1
            del self.items_by_key[key]
            self.history.append(Change(key, None, self.revision))

    def transact(self, message):
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
    """One node's way to the store.

    Attributes:
        down: Calls fail, and nothing is done.
        lose_answers: So many writes take effect without an answer.
        put_off: So many writes are put off; ``carry_out`` does them.
        down_after_put_off: The store goes down with a write that is put off.
        renewals: Answer to renewals of leases; 0.0 says that one has ended.
    """

    def __init__(self, system, contents):
        self.contents = contents
        self.down = False
        self.replies_to_lose = 0
        self.writes_to_delay = 0
        self.down_after_delayed_write = False
        self.renewals = 1.5
        self.delayed_writes = []
        self.transactions = []
        self.watches = []
        super().__init__(system, STORE)

    def handlers(self):
        return {
            GetKey: self._get,
            GetPrefix: self._range,
            Transact: self._transact,
            GrantLease: lambda _: self._checked(7),
            KeepLeaseAlive: lambda _: self._checked(self.renewals),
            RevokeLease: self._revoke,
            AwaitChanges: self._watch,
        }

    def apply_delayed_writes(self):
        """Do the writes that were put off, if their condition still holds."""
        late, self.delayed_writes = self.delayed_writes, []
        return [self.contents.transact(message).succeeded for message in late]

    def notify(self):
        """Answer the watches that have something to tell."""
        waiting, self.watches = self.watches, []
        for message, reply in waiting:
            self._settle(message, reply)

    def _checked(self, value):
        if self.down:
            raise StoreUnavailableError("down")
        return value

    def _revoke(self, message):
        self._checked(None)
        for key, lease in list(self.contents.leases.items()):
            if lease == message.lease_id:
                self.contents.remove(key)

    def _get(self, message):
        return self._checked(self.contents.items_by_key.get(message.key))

    def _range(self, message):
        pairs = tuple(
            item
            for key, item in sorted(self.contents.items_by_key.items())
            if key.startswith(message.prefix)
        )
        return self._checked(PrefixReply(pairs, self.contents.revision))

    def _transact(self, message):
        self._checked(None)
        self.transactions.append(message)
        if self.writes_to_delay:
            self.writes_to_delay -= 1
            self.down = self.down_after_delayed_write
            self.delayed_writes.append(message)
            raise OutcomeUnknownError("put off")
        reply = self.contents.transact(message)
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            raise OutcomeUnknownError("lost")
        return reply

    def _watch(self, message):
        self._checked(None)
        reply = Deferred()
        self._settle(message, reply)
        return reply

    def _settle(self, message, reply):
        changes = tuple(
            change
            for change in self.contents.history
            if change.revision > message.after and change.key.startswith(message.prefix)
        )
        if changes:
            reply.callback(Changes(changes, self.contents.revision))
        else:
            self.watches.append((message, reply))


class Recording(Actor):
    """Keeps the messages of given types; answers each with a fixed reply."""

    def __init__(self, system, name, replies_by_type):
        self.received = []
        self._replies = replies_by_type
        super().__init__(system, name)

    def handlers(self):
        return {kind: self._take for kind in self._replies}

    def _take(self, message):
        self.received.append(message)
        reply = self._replies[type(message)]
        if isinstance(reply, Exception):
            raise reply
        return reply


def node_system(contents=None):
    """Return a clock, an actor system on it and a store actor."""
    clock = Clock()
    system = ActorSystem(clock)
    Recording(
        system, METRICS, {IncrementCounter: None, ObserveDuration: None, SetGauge: None}
    )
    store = MemoryStore(system, contents or StoreContents())
    return clock, system, store


def run_for(clock, seconds, stores=()):
    """Advance the clock in small steps and let watches answer."""
    for _ in range(max(int(seconds / 0.01), 1)):
        clock.advance(0.01)
        for store in stores:
            store.notify()


def outcome(deferred):
    """Return the result of a Deferred that has one, or its exception."""
    results = []
    deferred.addBoth(results.append)
    if not results:
        return None
    result = results[0]
    return result.value if isinstance(result, Failure) else result
