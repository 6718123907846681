"""Fakes that several tests share."""

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
    """The store actor without sockets; nodes may share one ``core``.

    ``lost_replies`` writes take effect and fail with OutcomeUnknownError;
    ``unsent`` writes fail so without an effect; both concern messages of the
    types ``losable`` only. ``calls`` holds all requests
    that reached the store. ``vms`` is what ListVms answers from. Call
    ``set_available`` to begin and end an outage.
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
            requests.GrantLease: lambda m: self.core.grant_lease(m.ttl_s, self.now()),
            requests.KeepLeaseAlive: lambda m: self.core.keep_alive(
                m.lease_id, self.now()
            ),
            requests.RevokeLease: lambda m: self.core.revoke_lease(m.lease_id),
            requests.ListVms: self._list_vms,
        }
        handlers = {kind: self._calling(method) for kind, method in methods.items()}
        handlers[requests.WatchPrefix] = self._watch
        handlers[requests.SubscribeStoreStatus] = self._subscribe
        return handlers

    def now(self):
        return self.system.clock.seconds()

    def set_available(self, available):
        self.available = available
        for name in self._status_subscribers:
            self.tell(name, requests.StoreStatus(available))
        self.deliver_watches()

    def put(self, key, value):
        """Write one key past the faults, as another node would."""
        put = Put(key.encode(), value.encode())
        self.core.transact((), (put,), self.now())

    def value(self, key):
        """Return the value of one key, or None."""
        self.core.expire(self.now())
        records = self.core.range(key.encode())
        return records[0].value.decode() if records else None

    def deliver_watches(self):
        """Resume the watches after an outage."""
        if self.available:
            for watch in list(self._watches.values()):
                self._open(watch)

    def _calling(self, method):
        def handle(message):
            if not self.available:
                raise StoreUnavailableError("outage")
            self.calls.append(message)
            if self.requests_to_lose and isinstance(message, self.lossy_types):
                self.requests_to_lose -= 1
                raise OutcomeUnknownError("request lost")
            self.core.expire(self.now())
            reply = method(message)
            self._schedule_expiry()
            if self.lost_replies and isinstance(message, self.lossy_types):
                self.lost_replies -= 1
                raise OutcomeUnknownError("reply lost")
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
            ModCompare(c.key.encode(), c.mod_revision) for c in message.compares
        )
        operations = tuple(
            Put(o.key.encode(), o.value.encode(), o.lease_id)
            if isinstance(o, requests.PutKey)
            else Delete(o.key.encode())
            for o in message.operations
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
        """Deliver from the history, then live, but nothing in an outage."""
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
    """Keeps all messages of the given types in ``messages``."""

    def __init__(self, system, name, *kinds):
        self.kinds = kinds
        self.messages = []
        super().__init__(system, name)

    def handlers(self):
        return {kind: self.messages.append for kind in self.kinds}


def ask(system, address, message, advance_s=0.0):
    """Ask an actor under a Clock; returns the reply or raises its error."""
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
    """Let the actors handle everything that is due now."""
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
    """Return the VM list's entry of a worker."""
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
