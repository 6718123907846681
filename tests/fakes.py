"""Fake actors and helpers that several test modules share."""

from twisted.python.failure import Failure

from redwingrudder import requests
from redwingrudder.actors import Actor
from redwingrudder.exceptions import OutcomeUnknownError, StoreUnavailableError
from redwingrudder.standins._key_value import (
    CompactedError,
    Delete,
    KeyValueCore,
    ModCompare,
    Put,
    prefix_end,
)

WRITES = (requests.Transact, requests.GrantLease, requests.RevokeLease)


class FakeStore(Actor):
    """The store actor, kept in memory; several nodes may share one ``core``.

    Call ``set_available`` to begin and end an outage.

    Attributes:
        core: Keys, leases and watches.
        available: False during an outage; all calls fail then.
        lossy_types: Message types that the two counters below apply to.
        lost_replies: Number of next calls that take effect and then fail
            with OutcomeUnknownError.
        requests_to_lose: Number of next calls that fail with
            OutcomeUnknownError without taking effect.
        vms: VM list from which ``ListVms`` requests are answered.
        calls: Requests that arrived outside an outage, without watches and
            subscriptions.
    """

    def __init__(self, system, core=None, available=True):
        self.core = core or KeyValueCore()
        self.available = available
        self.lossy_types = WRITES
        self.lost_replies = 0
        self.requests_to_lose = 0
        self.vms = ()
        self.calls = []
        self._status_subscribers = []
        self._watches = {}
        self._watch_ids = {}
        self._expiry_call = None
        super().__init__(system, requests.STORE)

    def handlers(self):
        methods = {
            requests.GetKey: self._get,
            requests.GetPrefix: self._get_prefix,
            requests.Transact: self._transact,
            requests.GrantLease: lambda message: self.core.grant_lease(
                message.ttl_s, self.now()
            ),
            requests.KeepLeaseAlive: lambda message: self.core.keep_alive(
                message.lease_id, self.now()
            ),
            requests.RevokeLease: lambda message: self.core.revoke_lease(
                message.lease_id
            ),
            requests.ListVms: self._list_vms,
        }
        handlers = {
            message_type: self._with_faults(method)
            for message_type, method in methods.items()
        }
        handlers[requests.WatchPrefix] = self._watch
        handlers[requests.SubscribeStoreStatus] = self._subscribe
        return handlers

    def now(self):
        return self.system.clock.seconds()

    def set_available(self, available):
        self.available = available
        for name in self._status_subscribers:
            self.tell(name, requests.StoreStatus(available))
        self.resume_watches()

    def put(self, key, value):
        """Write one key as another node would, unaffected by faults."""
        put = Put(key.encode(), value.encode())
        self.core.transact((), (put,), self.now())

    def value(self, key):
        """Return the current value of one key, or None."""
        self.core.expire(self.now())
        records = self.core.range(key.encode())
        return records[0].value.decode() if records else None

    def resume_watches(self):
        """Resume the watches after an outage."""
        if self.available:
            for watch in list(self._watches.values()):
                self._open(watch)

    def _with_faults(self, method):
        def handle(message):
            if not self.available:
                raise StoreUnavailableError("the store is in an outage")
            self.calls.append(message)
            if self.requests_to_lose and isinstance(message, self.lossy_types):
                self.requests_to_lose -= 1
                raise OutcomeUnknownError("the request was lost")
            self.core.expire(self.now())
            reply = method(message)
            self._schedule_expiry()
            if self.lost_replies and isinstance(message, self.lossy_types):
                self.lost_replies -= 1
                raise OutcomeUnknownError("the reply was lost")
            return reply

        return handle

    def _schedule_expiry(self):
        if self._expiry_call is None and self.core.next_expiry() is not None:
            delay_s = max(0.0, self.core.next_expiry() - self.now())
            self._expiry_call = self.system.clock.callLater(delay_s, self._expire)

    def _expire(self):
        self._expiry_call = None
        self.core.expire(self.now())
        self._schedule_expiry()

    def _get(self, message):
        records = self.core.range(message.key.encode())
        return _pair(records[0]) if records else None

    def _get_prefix(self, message):
        prefix = message.prefix.encode()
        records = self.core.range(prefix, prefix_end(prefix))
        return requests.PrefixReply(tuple(map(_pair, records)), self.core.revision)

    def _transact(self, message):
        compares = tuple(
            ModCompare(compare.key.encode(), compare.mod_revision)
            for compare in message.compares
        )
        operations = tuple(
            Put(operation.key.encode(), operation.value.encode(), operation.lease_id)
            if isinstance(operation, requests.PutKey)
            else Delete(operation.key.encode())
            for operation in message.operations
        )
        succeeded = self.core.transact(compares, operations, self.now())
        return requests.TransactReply(succeeded, self.core.revision)

    def _list_vms(self, message):
        domain = message.failure_domain
        return tuple(vm for vm in self.vms if domain in ("", vm.failure_domain))

    def _subscribe(self, message):
        self._status_subscribers.append(message.subscriber)
        self.tell(message.subscriber, requests.StoreStatus(self.available))

    def _watch(self, message):
        self._watches[message.subscriber, message.prefix] = message
        if self.available:
            self._open(message)

    def _open(self, watch):
        """Deliver past changes, then new ones; drop those in an outage.

        After the outage the watch resumes at the last delivered revision.
        """
        key = (watch.subscriber, watch.prefix)
        prefix = watch.prefix.encode()

        def deliver(records, revision):
            if not self.available:
                return
            changes = tuple(_change(record) for record in records)
            last = records[-1].mod_revision
            self._watches[key] = watch._replace(after_revision=last)
            self.tell(
                watch.subscriber, requests.WatchChanged(watch.prefix, changes, last)
            )

        self.core.unwatch(self._watch_ids.pop(key, 0))
        try:
            self._watch_ids[key] = self.core.watch(
                prefix, prefix_end(prefix), watch.after_revision + 1, deliver
            )
        except CompactedError:
            del self._watches[key]
            self.tell(watch.subscriber, requests.WatchReset(watch.prefix))


class Recorder(Actor):
    """Records all messages of the given types in ``messages``."""

    def __init__(self, system, name, *message_types):
        self.message_types = message_types
        self.messages = []
        super().__init__(system, name)

    def handlers(self):
        return {
            message_type: self.messages.append for message_type in self.message_types
        }


def ask(system, address, message, advance_s=0.0):
    """Ask an actor driven by a Clock; return the reply or raise its error.

    ``advance_s`` seconds pass before the reply is required.
    """
    outcomes = []
    system.ask(address, message).addBoth(outcomes.append)
    settle(system)
    if advance_s:
        system.clock.advance(advance_s)
        settle(system)
    if not outcomes:
        raise AssertionError(f"no reply to {message}")
    if isinstance(outcomes[0], Failure):
        outcomes[0].raiseException()
    return outcomes[0]


def settle(system, turns=30):
    """Let the actors handle all due messages without advancing the time."""
    for _ in range(turns):
        system.clock.advance(0)


def advance(system, seconds, step_s=0.1):
    """Advance the Clock in steps, so that periodic timers fire in order."""
    for _ in range(round(seconds / step_s)):
        system.clock.advance(step_s)
        settle(system, 12)


def _pair(record):
    return requests.KeyValue(
        record.key.decode(), record.value.decode(), record.mod_revision
    )


def _change(record):
    value = None if record.value is None else record.value.decode()
    return requests.KeyChange(record.key.decode(), value, record.mod_revision)


def list_vm(info, state="live"):
    """Return the entry of a worker in the platform's VM list."""
    return requests.VmInfo(
        info.worker_id,
        "worker",
        state,
        info.address,
        info.failure_domain,
        info.rack,
        0,
        info.accelerators,
        info.slots,
        info.cores,
        info.memory_mb,
    )
