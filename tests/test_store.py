"""Tests of the store client: lost replies, outages, watches and budgets."""

import json
import unittest

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.trial.unittest import TestCase

from redwingrudder import _store_watch
from redwingrudder._store_transport import (
    OpenStream,
    StoreTransport,
    StreamEnded,
    TransportReply,
)
from redwingrudder.actors import Actor, ActorSystem
from redwingrudder.exceptions import (
    NotFoundError,
    OutcomeUnknownError,
    OverloadedError,
    PayloadTooLargeError,
    StoreUnavailableError,
)
from redwingrudder.requests import (
    STORE,
    Compare,
    GetKey,
    GetPrefix,
    GrantLease,
    KeepLeaseAlive,
    KeyChange,
    ListVms,
    PutKey,
    RevokeLease,
    StoreStatus,
    SubscribeStoreStatus,
    Transact,
    TransactReply,
    WatchChanged,
    WatchPrefix,
    WatchReset,
)
from redwingrudder.standins._key_value import Put
from redwingrudder.standins._platform_service import (
    Call,
    PlatformService,
    Reply,
    WatchStream,
)
from redwingrudder.standins.platform import PlatformStandin
from redwingrudder.store import HttpTransport, StoreClient
from redwingrudder.timers import TimerService
from tests.fakes import Recorder, advance, ask, settle

VM = {
    "vm_id": "w1", "role": "worker", "state": "live", "address": "a:1",
    "failure_domain": "north", "rack": "r1", "rank": 0, "accelerators": 8,
    "slots": 8, "cores": 1, "memory_mb": 1,
}  # fmt: skip


class ServiceTransport(StoreTransport):
    """Calls a PlatformService without sockets; ``calls`` counts all calls."""

    def __init__(self, clock, service):
        self.clock = clock
        self.service = service
        self.calls = []
        self.replies = []

    async def call(self, request, timeout_s):
        self.calls.append(request.path)
        path = request.path.split("?")[0]
        call = Call(path, request.body or b"", "north", "", request.etag)
        reply = self.service.handle(call)
        self.replies.append(reply)
        if reply.delay_s > timeout_s or reply.dropped:
            await self.sleep(min(timeout_s, reply.delay_s))
            raise OutcomeUnknownError("no answer")
        await self.sleep(reply.delay_s)
        body = json.dumps(reply.body).encode()
        return TransportReply(reply.status, body, reply.etag)

    def sleep(self, delay_s):
        done = Deferred()
        self.clock.callLater(delay_s, done.callback, None)
        return done

    def open_stream(self, request, on_line, on_end):
        self.calls.append(request.path)
        return ServiceStream(self, request, on_line, on_end)

    def close(self):
        return None


class ServiceStream(OpenStream):
    def __init__(self, transport, request, on_line, on_end):
        self.service = transport.service
        self.closed = False
        self.watch_id = None
        self.callbacks = (on_line, on_end)
        self.clock = transport.clock
        self.clock.callLater(0, self.open, request)

    def open(self, request):
        stream = WatchStream(self.send, self.end)
        call = Call("/v3/watch", request.body, "north")
        opened = self.service.open_watch(call, stream)
        if isinstance(opened, Reply):
            self.end()
        else:
            self.watch_id = opened

    def send(self, line):
        if not self.closed:
            self.callbacks[0](json.dumps(line).encode())

    def end(self):
        if not self.closed:
            self.closed = True
            self.callbacks[1](StreamEnded("closed"))

    def close(self):
        self.closed = True
        if self.watch_id:
            self.service.close_watch(self.watch_id)


class StoreClientTests(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.service = PlatformService(self.clock)
        self.system = ActorSystem(self.clock)
        self.transport = ServiceTransport(self.clock, self.service)
        TimerService(self.system)
        self.store = StoreClient(self.system, self.transport, writes_per_s=50)
        self.seen = Recorder(
            self.system, "seen", WatchChanged, WatchReset, StoreStatus
        ).messages
        self.system.start()
        settle(self.system)

    def faults(self, **faults):
        self.service.set_faults(json.dumps(faults).encode())

    def ask(self, message):
        return ask(self.system, STORE, message)

    def put(self, key, value="v"):
        return self.ask(Transact((), (PutKey(key, value),)))

    def fails(self, message, error, wait_s=0.0):
        with self.assertRaises(error) as raised:
            ask(self.system, STORE, message, wait_s)
        return raised.exception

    def test_transactions_leases_and_lists_pass_through(self):
        lease = self.ask(GrantLease(3))
        create = Transact((Compare("/a/ü", 0),), (PutKey("/a/ü", "é", lease),))
        self.assertEqual(self.ask(create), TransactReply(True, 2))
        self.assertEqual(self.ask(create), TransactReply(False, 2))
        self.assertEqual(self.ask(GetPrefix("/a/")).pairs, (("/a/ü", "é", 2),))
        self.assertEqual(self.ask(KeepLeaseAlive(lease)), 3)
        self.assertIsNone(self.ask(RevokeLease(lease)))
        self.assertIsNone(self.ask(RevokeLease(lease)))
        self.assertEqual(self.ask(KeepLeaseAlive(lease)), 0)
        self.assertIsNone(self.ask(GetKey("/a/ü")))
        self.assertEqual(self.ask(ListVms("")), ())
        bad = Transact((), (PutKey("/b", "x" * 1_000_001),))
        self.fails(bad, PayloadTooLargeError)
        self.fails(Transact((), (PutKey("/b", "x", 5),)), NotFoundError)

    def test_a_prefix_is_read_in_pages(self):
        puts = tuple(Put(b"/p/%03d" % n, b"v") for n in range(450))
        self.service.core.transact((), puts, 0.0)
        reply = self.ask(GetPrefix("/p/"))
        self.assertEqual(
            [pair.key for pair in reply.pairs], [f"/p/{n:03}" for n in range(450)]
        )
        self.assertEqual(self.transport.calls.count("/v3/kv/range"), 4)

    def test_an_unchanged_vm_list_is_not_sent_again(self):
        change = {"register": [VM], "lag_s": 0.0}
        self.service.change_vms(json.dumps(change).encode())
        first = self.ask(ListVms("north"))
        self.assertIs(self.ask(ListVms("north")), first)
        self.assertEqual(self.transport.replies[-1].status, 304)
        self.service.change_vms(b'{"leaving": ["w1"]}')
        self.assertEqual(self.ask(ListVms("north"))[0].state, "leaving")

    def test_lost_reply_of_a_write_is_unknown_and_of_a_read_unavailable(self):
        self.faults(lost_replies=1)
        self.fails(Transact((), (PutKey("/a", "1"),)), OutcomeUnknownError)
        self.assertEqual(self.ask(GetKey("/a")).value, "1")
        self.faults(slow_s=9.0)
        self.fails(GetKey("/a"), StoreUnavailableError, wait_s=2.0)

    def test_outage_stops_all_calls_but_one_probe_a_second(self):
        self.system.tell(STORE, SubscribeStoreStatus("seen"))
        self.faults(outage=True)
        self.fails(GetKey("/a"), StoreUnavailableError)
        advance(self.system, 0.5)
        self.transport.calls.clear()
        for _ in range(100):
            self.fails(Transact((), (PutKey("/a", "1"),)), StoreUnavailableError)
        advance(self.system, 10.0)
        self.assertIn(len(self.transport.calls), range(8, 11))
        self.faults(outage=False)
        advance(self.system, 1.5)
        self.put("/a")
        status = [m.available for m in self.seen]
        self.assertEqual(status, [True, False, True])

    def test_a_start_in_an_outage_reports_the_store_once_it_returns(self):
        self.faults(outage=True)
        system = ActorSystem(self.clock)
        TimerService(system)
        StoreClient(system, ServiceTransport(self.clock, self.service))
        seen = Recorder(system, "seen", StoreStatus).messages
        system.start()
        system.tell(STORE, SubscribeStoreStatus("seen"))
        advance(system, 3.0)
        self.faults(outage=False)
        advance(system, 1.5)
        self.assertEqual(seen, [StoreStatus(False), StoreStatus(True)])

    def test_writes_beyond_the_rate_limit_are_refused_and_leases_are_not(self):
        for number in range(50):
            self.put(f"/a/{number}")
        error = self.fails(Transact((), (PutKey("/a", "1"),)), OverloadedError)
        self.assertEqual(error.code, "store_busy")
        self.assertAlmostEqual(error.retry_after_s, 0.02)
        self.ask(GrantLease(3))
        advance(self.system, 0.1)
        self.put("/a")

    def test_watch_resumes_after_an_outage_without_loss_or_repeats(self):
        self.system.tell(STORE, WatchPrefix("seen", "/w/", 1))
        self.put("/w/1")
        self.put("/other")
        self.faults(outage=True)
        for key in (b"/w/2", b"/w/3"):
            self.service.core.transact((), (Put(key, b"v"),), 0.0)
        advance(self.system, 5.0)
        self.faults(outage=False)
        advance(self.system, 3.0)
        self.put("/w/4")
        settle(self.system)
        keys = [change.key for m in self.seen for change in m.changes]
        self.assertEqual(keys, ["/w/1", "/w/2", "/w/3", "/w/4"])
        self.assertEqual(self.service.open_watches(), 1)

    def test_watch_after_compaction_is_reset_once(self):
        self.put("/w/1")
        self.service.core.compact(2)
        self.system.tell(STORE, WatchPrefix("seen", "/w/", 1))
        advance(self.system, 5.0)
        self.assertEqual(self.seen, [WatchReset("/w/")])

    def test_broken_watches_back_off(self):
        self.system.tell(STORE, WatchPrefix("seen", "/w/", 1))
        settle(self.system)
        opened = PlatformService.open_watch
        self.addCleanup(setattr, PlatformService, "open_watch", opened)
        PlatformService.open_watch = lambda *_: Reply(500, {})
        for watch in list(self.service._watches_by_id.values()):
            watch.stream.close()
        self.transport.calls.clear()
        advance(self.system, 30.0)
        calls = self.transport.calls.count("/v3/watch")
        self.assertIn(calls, range(15, 35))
        self.assertLessEqual(_store_watch.BACKOFF_LIMIT_S, 5.0)


class FirstMessages(Actor):
    """Fires when the store is available and at the first change."""

    def __init__(self, system, name):
        self.ready = Deferred()
        self.changed = Deferred()
        super().__init__(system, name)

    def handlers(self):
        return {StoreStatus: self.note_status, WatchChanged: self.note_change}

    def note_status(self, message):
        if message.available and not self.ready.called:
            self.ready.callback(None)

    def note_change(self, message):
        if not self.changed.called:
            self.changed.callback(message)


class HttpTransportTests(TestCase):
    async def test_calls_and_watches_over_sockets(self):
        standin = PlatformStandin(reactor)
        port = await standin.listen(reactor, "127.0.0.1", 0)
        self.addCleanup(standin.stop)
        system = ActorSystem(reactor)
        TimerService(system)
        url = f"http://127.0.0.1:{port}"
        StoreClient(system, HttpTransport(reactor, url, "north"))
        first = FirstMessages(system, "seen")
        system.start()
        self.addCleanup(lambda: Deferred.fromCoroutine(system.stop()))
        system.tell(STORE, SubscribeStoreStatus("seen"))
        await first.ready
        system.tell(STORE, WatchPrefix("seen", "/w/", 1))
        large = "x" * 900_000
        await system.ask(STORE, Transact((), (PutKey("/w/1", large),)))
        change = KeyChange("/w/1", large, 2)
        self.assertEqual(await first.changed, WatchChanged("/w/", (change,), 2))
        vms = [{**VM, "vm_id": f"w{number}"} for number in range(1700)]
        standin.service.change_vms(json.dumps({"register": vms}).encode())
        listed = await system.ask(STORE, ListVms(""))
        self.assertEqual(len(listed), 1700)
        self.assertIs(await system.ask(STORE, ListVms("")), listed)
        standin.service.set_faults(b'{"lost_replies": 1}')
        with self.assertRaises(OutcomeUnknownError):
            await system.ask(STORE, Transact((), (PutKey("/w/2", "1"),)))
        self.assertEqual((await system.ask(STORE, GetKey("/w/2"))).value, "1")
