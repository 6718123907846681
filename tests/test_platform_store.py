"""Tests of the client of the platform's metadata store."""

import base64
import unittest

from twisted.internet.task import Clock

from redwingrudder._background import pause
from redwingrudder._store_requests import GetKey, GetPrefix, PutKey, Transact
from redwingrudder.actors import ActorSystem
from redwingrudder.coordination.gateways import STORE
from redwingrudder.coordination.metrics import METRICS, IncrementCounter, SetGauge
from redwingrudder.exceptions import OutcomeUnknownError, StoreUnavailableError
from redwingrudder.platform.http_client import JsonReply
from redwingrudder.platform.store import OVERTAKEN_AFTER_S, TIMEOUT_S, PlatformStore

from .coordination_fakes import Recording, outcome, run_for

ITEM = {"key": "k", "value": base64.b64encode(b"v").decode(), "revision": 3}


class FakeClient:
    """Answers all calls and records their limits until a reply is complete."""

    def __init__(self):
        self.timeouts = []
        self.begin_timeouts = []

    async def call(
        self, method, path, body, timeout_s, headers=None, transfer_s=0.0, **_
    ):
        self.begin_timeouts.append(timeout_s)
        self.timeouts.append(timeout_s + transfer_s)
        if "kv-range" in path:
            return JsonReply(200, {"items": [ITEM], "currentRev": 3})
        return JsonReply(200, ITEM)

    def reset(self):
        pass


class TimeoutTests(unittest.TestCase):
    def read_timeouts(self, link_bps):
        clock = Clock()
        system = ActorSystem(clock)
        Recording(system, METRICS, {IncrementCounter: None, SetGauge: None})
        client = FakeClient()
        PlatformStore(system, client, (), (), link_bps)
        for message in (GetKey("k"), GetPrefix("k")):
            reply = system.ask(STORE, message)
            run_for(clock, 0.05)
            outcome(reply)
        return client

    def test_slow_link_extends_the_timeout_of_a_page(self):
        """Guards against a takeover that fails while a page is transferred."""
        client = self.read_timeouts(10e6)
        self.assertEqual(client.begin_timeouts[0], TIMEOUT_S)
        self.assertGreater(client.timeouts[1], 3.0)

    def test_fast_link_keeps_the_timeout_short(self):
        """Guards against a takeover delayed by a store that does not reply."""
        self.assertLess(self.read_timeouts(1e9).timeouts[1], 2 * TIMEOUT_S)

    def test_slow_link_extends_the_timeout_of_a_large_write(self):
        """Guards against a record that a narrow link can never store."""
        clock = Clock()
        system = ActorSystem(clock)
        Recording(system, METRICS, {IncrementCounter: None, SetGauge: None})
        client = FakeClient()
        PlatformStore(system, client, (), (), 5e6)
        for size in (10, 500_000):
            outcome(system.ask(STORE, Transact((), (PutKey("k", "v" * size),))))
            run_for(clock, 0.05)
        small_s, large_s = client.begin_timeouts
        self.assertLess(small_s, TIMEOUT_S + 0.01)
        self.assertGreater(large_s, TIMEOUT_S + 8 * 500_000 / 5e6)


class SlowClient(FakeClient):
    """Answers each call after a time."""

    def __init__(self, clock, delay_s):
        super().__init__()
        self.clock = clock
        self.delay_s = delay_s

    async def call(self, *arguments, **options):
        await pause(self.clock, self.delay_s)
        return await super().call(*arguments, **options)


class SlowStoreTests(unittest.TestCase):
    def test_slow_writes_extend_the_timeout(self):
        """Guards against writes that are given up while a store is slow."""
        clock = Clock()
        system = ActorSystem(clock)
        Recording(system, METRICS, {IncrementCounter: None, SetGauge: None})
        client = SlowClient(clock, 0.3)
        PlatformStore(system, client, (), (), 1e9)
        for _ in range(12):
            system.ask(STORE, Transact((), (PutKey("k", "v"),)))
            run_for(clock, 0.4)
        self.assertGreater(client.begin_timeouts[-1], 2 * TIMEOUT_S)


class OutageClient:
    """Answers calls while it is up; others fail after their time limit."""

    def __init__(self, clock):
        self.clock = clock
        self.up = True

    async def call(self, method, path, body, timeout_s, headers=None, **_):
        if self.up:
            return JsonReply(200, ITEM)
        await pause(self.clock, timeout_s)
        raise OutcomeUnknownError("no response")

    def reset(self):
        pass


class OutageTests(unittest.TestCase):
    """Calls that were sent during an outage fail after its end."""

    def setUp(self):
        self.clock = Clock()
        system = ActorSystem(self.clock)
        Recording(system, METRICS, {IncrementCounter: None, SetGauge: None})
        self.client = OutageClient(self.clock)
        self.store = PlatformStore(system, self.client, (), (), 1e9)
        self.read(0.05)

    def read(self, seconds):
        outcome(self.store.system.ask(STORE, GetKey("k")))
        run_for(self.clock, seconds)

    def test_late_failures_do_not_hide_that_the_store_is_back(self):
        """Guards against a second outage in the time of old calls."""
        self.client.up = False
        for _ in range(4):
            self.read(0.05)
        self.client.up = True
        self.read(0.05)
        run_for(self.clock, 2 * TIMEOUT_S)
        self.assertTrue(self.store.available)

    def test_call_of_an_outage_is_given_up_when_the_store_is_back(self):
        """Guards against work that waits for the time limit of a lost call.

        In an outage, calls get a longer time limit.
        """
        self.client.up = False
        for _ in range(4):
            self.read(TIMEOUT_S)
        write = Transact((), (PutKey("k", "v"),))
        lost = self.store.system.ask(STORE, write)
        run_for(self.clock, OVERTAKEN_AFTER_S + 0.05)
        self.client.up = True
        self.read(0.05)
        self.assertIsInstance(outcome(lost), OutcomeUnknownError)
        self.assertTrue(self.store.available)

    def test_call_is_not_given_up_for_one_that_was_sent_with_it(self):
        """Guards against failing the large calls of a slow connection."""
        self.client.up = False
        slow = self.store.system.ask(STORE, GetKey("k"))
        run_for(self.clock, OVERTAKEN_AFTER_S / 2)
        self.client.up = True
        self.read(0.05)
        self.assertIsNone(outcome(slow))

    def test_outage_is_noticed(self):
        """Guards against a node that goes on writing to a silent store."""
        self.client.up = False
        for _ in range(2):
            self.read(0.05)
        run_for(self.clock, 2 * TIMEOUT_S)
        self.assertFalse(self.store.available)


class ErrorStatusClient:
    """Answers all calls with one status and no content."""

    def __init__(self, status):
        self.status = status

    async def call(self, method, path, body, timeout_s, headers=None, **_):
        return JsonReply(self.status, {})

    def reset(self):
        pass


class ErrorStatusTests(unittest.TestCase):
    def ask(self, status, message):
        clock = Clock()
        system = ActorSystem(clock)
        Recording(system, METRICS, {IncrementCounter: None, SetGauge: None})
        PlatformStore(system, ErrorStatusClient(status), (), (), 1e9)
        reply = system.ask(STORE, message)
        run_for(clock, 0.05)
        return outcome(reply)

    def test_failed_write_may_have_taken_effect(self):
        """Guards against "not run" for a job that is stored despite a 500."""
        write = Transact((), (PutKey("k", "v"),))
        for status in (500, 502, 504, 400, 403, 302):
            with self.subTest(status=status):
                error = self.ask(status, write)
                self.assertIsInstance(error, OutcomeUnknownError)

    def test_refused_write_has_no_effect(self):
        """Guards against 504 for a write that the store did not execute."""
        write = Transact((), (PutKey("k", "v"),))
        for status in (429, 503):
            with self.subTest(status=status):
                error = self.ask(status, write)
                self.assertIsInstance(error, StoreUnavailableError)

    def test_failed_read_is_unavailability(self):
        """Guards against an unknown outcome of a call that changes nothing."""
        for status in (429, 500, 503):
            with self.subTest(status=status):
                error = self.ask(status, GetKey("k"))
                self.assertIsInstance(error, StoreUnavailableError)


if __name__ == "__main__":
    unittest.main()
