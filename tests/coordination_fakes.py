"""In-memory store with fault injection and helpers to run actors."""

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

STEP_S = 0.01
CALL_TIMEOUT_S = 0.4  # of a call to the store
LEASE_ID = 7  # id of every lease that the store actor grants


class StoreContents:
    """Contents of the store, shared by the store actors of all nodes."""

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
    """Store actor of one node.

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
        watches_hang: Watches are not answered, although other calls are.
        renewal_remaining_s: Remaining time of a lease that each renewal
            returns; 0.0 means that the lease has expired.
    """

    def __init__(self, system, contents):
        self.contents = contents
        self.down = False
        self.replies_to_lose = 0
        self.answers_to_withhold = 0
        self.writes_to_delay = 0
        self.down_after_delayed_write = False
        self.watches_hang = False
        self.renewal_remaining_s = 1.5
        self.delayed_writes = []
        self.transactions = []
        self.watches = []
        super().__init__(system, STORE)

    def handlers(self):
        return {
            GetKey: self._get,
            GetPrefix: self._get_prefix,
            Transact: self._transact,
            GrantLease: lambda _: self._answer_if_up(LEASE_ID),
            KeepLeaseAlive: lambda _: self._answer_if_up(self.renewal_remaining_s),
            RevokeLease: self._revoke,
            AwaitChanges: self._watch,
        }

    def apply_delayed_writes(self):
        """Apply the delayed writes; returns for each whether it succeeded."""
        messages, self.delayed_writes = self.delayed_writes, []
        return [self.contents.transact(message).succeeded for message in messages]

    def notify(self):
        """Reply to the watches for which there are changes."""
        waiting, self.watches = self.watches, []
        for message, reply in waiting:
            self._answer_or_wait(message, reply)

    def _answer_if_up(self, value):
        if self.down:
            raise StoreUnavailableError("the fake store is down")
        return value

    def _revoke(self, message):
        self._answer_if_up(None)
        for key, lease in list(self.contents.leases.items()):
            if lease == message.lease_id:
                self.contents.remove(key)

    def _get(self, message):
        return self._answer_if_up(self.contents.items_by_key.get(message.key))

    def _get_prefix(self, message):
        pairs = tuple(
            item
            for key, item in sorted(self.contents.items_by_key.items())
            if key.startswith(message.prefix)
        )
        return self._answer_if_up(PrefixReply(pairs, self.contents.revision))

    def _transact(self, message):
        self._answer_if_up(None)
        self.transactions.append(message)
        if self.writes_to_delay:
            self.writes_to_delay -= 1
            self.down = self.down_after_delayed_write
            self.delayed_writes.append(message)
            raise OutcomeUnknownError("the write was delayed")
        reply = self.contents.transact(message)
        if self.answers_to_withhold:
            self.answers_to_withhold -= 1
            lost = OutcomeUnknownError("no reply to the write in time")
            unanswered = Deferred()
            self.system.clock.callLater(CALL_TIMEOUT_S, unanswered.errback, lost)
            return unanswered
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            raise OutcomeUnknownError("the reply to the write was lost")
        return reply

    def _watch(self, message):
        self._answer_if_up(None)
        reply = Deferred()
        self._answer_or_wait(message, reply)
        return reply

    def _answer_or_wait(self, message, reply):
        changes = tuple(
            change
            for change in self.contents.history
            if change.revision > message.after and change.key.startswith(message.prefix)
        )
        if changes and not self.watches_hang:
            reply.callback(Changes(changes, self.contents.revision))
        else:
            self.watches.append((message, reply))


class Recording(Actor):
    """Records messages of given types; gives each type a fixed reply.

    A reply that is an exception is raised.
    """

    def __init__(self, system, name, replies_by_type):
        self.received = []
        self._replies = replies_by_type
        super().__init__(system, name)

    def handlers(self):
        return {message_type: self._record for message_type in self._replies}

    def _record(self, message):
        self.received.append(message)
        reply = self._replies[type(message)]
        if isinstance(reply, Exception):
            raise reply
        return reply


def node_system(contents=None):
    """Return a clock, an actor system that uses it and a store actor."""
    clock = Clock()
    system = ActorSystem(clock)
    Recording(
        system, METRICS, {IncrementCounter: None, ObserveDuration: None, SetGauge: None}
    )
    store = MemoryStore(system, contents or StoreContents())
    return clock, system, store


def run_for(clock, seconds, stores=()):
    """Advance the clock in steps of 10 ms; notify the stores after each."""
    for _ in range(max(int(seconds / STEP_S), 1)):
        clock.advance(STEP_S)
        for store in stores:
            store.notify()


def outcome(deferred):
    """Return the result or exception of a Deferred, None if it is pending."""
    results = []
    deferred.addBoth(results.append)
    if not results:
        return None
    result = results[0]
    return result.value if isinstance(result, Failure) else result
