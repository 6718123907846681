"""Tests of the platform stand-in: store, rate limits and fault switches."""

import base64
import json
import unittest

import treq
from twisted.internet import reactor
from twisted.internet.task import Clock
from twisted.trial.unittest import TestCase
from twisted.web.client import Agent, HTTPConnectionPool

from redwingrudder.exceptions import (
    BadRequestError,
    NotFoundError,
    PayloadTooLargeError,
)
from redwingrudder.standins._key_value import (
    MAX_VALUE_BYTES,
    CompactedError,
    Delete,
    KeyValueCore,
    ModCompare,
    Put,
    prefix_end,
)
from redwingrudder.standins._platform_service import (
    Call,
    PlatformService,
    RateLimits,
    WatchStream,
)
from redwingrudder.standins.platform import PlatformStandin


def encode_base64(text):
    return base64.b64encode(text.encode()).decode()


def put_body(key, value, mod_revision=None):
    body = {
        "success": [
            {"request_put": {"key": encode_base64(key), "value": encode_base64(value)}}
        ]
    }
    if mod_revision is not None:
        compare = {
            "target": "MOD",
            "key": encode_base64(key),
            "mod_revision": mod_revision,
        }
        body["compare"] = [compare]
    return json.dumps(body).encode()


class KeyValueCoreTests(unittest.TestCase):
    """Conditions, leases, revisions and watches of the store."""

    def setUp(self):
        self.core = KeyValueCore(max_history_changes=4)

    def write(self, key, value=b"v", lease_id=0):
        return self.core.transact((), (Put(key, value, lease_id),), 0.0)

    def test_only_one_of_two_creates_wins(self):
        """Guards against a second create that overwrites the first one."""
        absent = (ModCompare(b"a", 0),)
        self.assertTrue(self.core.transact(absent, (Put(b"a", b"1"),), 0.0))
        self.assertFalse(self.core.transact(absent, (Put(b"a", b"2"),), 0.0))
        self.assertEqual(self.core.range(b"a")[0].value, b"1")

    def test_a_rejected_transaction_changes_nothing(self):
        """Guards against a rejected transaction that is applied in part."""
        large = Put(b"b", b"x" * (MAX_VALUE_BYTES + 1))
        for error, operations in (
            (PayloadTooLargeError, (Put(b"a", b"1"), large)),
            (BadRequestError, (Put(b"a", b"1"), Put(b"a", b"2"))),
            (NotFoundError, (Put(b"a", b"1"), Put(b"b", b"2", 77))),
        ):
            with self.assertRaises(error):
                self.core.transact((), operations, 0.0)
        self.assertEqual((self.core.range(b"a"), self.core.revision), ((), 1))

    def test_keys_of_an_expired_lease_are_deleted_unless_rewritten(self):
        """Guards against keys that outlive their lease or end with another."""
        lease = self.core.grant_lease(3, 0.0)
        self.write(b"a", b"1", lease)
        self.write(b"b", b"1", lease)
        self.write(b"b", b"2")
        self.assertEqual(self.core.keep_alive(lease, 2.0), 3)
        self.core.expire(4.9)
        self.assertTrue(self.core.range(b"a"))
        self.assertEqual(self.core.keep_alive(lease, 5.0), 0)
        self.assertFalse(self.core.range(b"a"))
        self.assertTrue(self.core.range(b"b"))

    def test_watch_resumes_in_order_and_fails_after_compaction(self):
        """Guards against a resumed watch that misses changes silently."""
        for key in (b"p/1", b"q", b"p/2"):
            self.write(key)
        delivered = []
        self.core.watch(b"p/", prefix_end(b"p/"), 2, lambda r, _: delivered.extend(r))
        self.core.transact((), (Delete(b"p/1"),), 0.0)
        self.assertEqual(
            [(r.key, r.value, r.mod_revision) for r in delivered],
            [(b"p/1", b"v", 2), (b"p/2", b"v", 4), (b"p/1", None, 5)],
        )
        self.write(b"q")
        with self.assertRaises(CompactedError):
            self.core.watch(b"p/", prefix_end(b"p/"), 2, lambda *_: None)


class PlatformServiceTests(unittest.TestCase):
    """Rate limits, fault switches and the VM list, without sockets."""

    def setUp(self):
        self.clock = Clock()
        self.service = PlatformService(self.clock, RateLimits(2.0, 3.0))

    def test_reads_and_writes_have_separate_rate_limits(self):
        """Guards against reads that use up the rate limit of the writes."""
        write = Call("/v3/kv/txn", put_body("a", "1"))
        read = Call("/v3/kv/range", json.dumps({"key": encode_base64("a")}).encode())
        writes = [self.service.handle(write).status for _ in range(3)]
        reads = [self.service.handle(read).status for _ in range(4)]
        self.assertEqual(writes, [200, 200, 429])
        self.assertEqual(reads, [200, 200, 200, 429])
        self.clock.advance(0.5)
        self.assertEqual(self.service.handle(write).status, 200)
        counters = self.service.counters
        self.assertEqual(
            (counters["txn"], counters["range"], counters["refused"]), (4, 4, 2)
        )

    def test_only_the_cut_domain_loses_its_calls_and_its_watch(self):
        """Guards against a cut that affects clients of other domains."""
        closed_domains = []
        body = json.dumps({"create_request": {"key": encode_base64("a")}}).encode()
        for domain in ("north", "south"):
            stream = WatchStream(
                lambda _: None, lambda d=domain: closed_domains.append(d)
            )
            self.service.open_watch(Call("/v3/watch", body, domain), stream)
        self.service.set_faults(b'{"cut_domains": ["north"]}')
        self.assertEqual((closed_domains, self.service.open_watches()), (["north"], 1))
        write = Call("/v3/kv/txn", put_body("a", "1"))
        self.assertTrue(
            self.service.handle(write._replace(failure_domain="north")).dropped
        )
        self.assertFalse(
            self.service.handle(write._replace(failure_domain="south")).dropped
        )

    def test_malformed_bodies_are_rejected(self):
        """Guards against an exception for the malformed body of a client."""
        for body in (b"", b"[]", b'{"key": "*"}'):
            reply = self.service.handle(Call("/v3/kv/range", body))
            self.assertEqual(reply.status, 400, body)

    def test_changes_of_the_vm_list_show_after_the_lag(self):
        """Guards against changes that are visible before the lag ends."""
        vm = {
            "vm_id": "w1", "role": "worker", "state": "live", "address": "a:1",
            "failure_domain": "north", "rack": "r1", "rank": 0, "accelerators": 8,
            "slots": 8, "cores": 1, "memory_mb": 1,
        }  # fmt: skip
        self.service.change_vms(json.dumps({"register": [vm], "lag_s": 2.0}).encode())
        call = Call("/v1/vms", vm_domain="north")
        self.assertEqual(self.service.handle(call).body, {"vms": []})
        self.clock.advance(2.0)
        self.assertEqual(self.service.handle(call).body, {"vms": [vm]})
        self.service.change_vms(b'{"leaving": ["w1"]}')
        self.clock.advance(1.9)
        self.assertEqual(self.service.handle(call).body["vms"][0]["state"], "live")
        self.clock.advance(0.1)
        self.assertEqual(self.service.handle(call).body["vms"][0]["state"], "leaving")


class PlatformStandinTests(TestCase):
    """Fault switches as an HTTP client sees them."""

    async def start(self):
        self.standin = PlatformStandin(reactor)
        port = await self.standin.listen(reactor, "127.0.0.1", 0)
        self.addCleanup(self.standin.stop)
        self.pool = HTTPConnectionPool(reactor, persistent=False)
        self.client = treq.client.HTTPClient(Agent(reactor, pool=self.pool))
        self.url = f"http://127.0.0.1:{port}"

    async def post(self, path, body):
        response = await self.client.post(self.url + path, data=body)
        return response.code, json.loads(await response.content())

    async def test_a_write_with_a_lost_reply_takes_effect(self):
        """Guards against a lost reply that also loses the write."""
        await self.start()
        await self.post("/admin/faults", b'{"lost_replies": 1}')
        with self.assertRaises(Exception):  # noqa: B017
            await self.post("/v3/kv/txn", put_body("a", "1", 0))
        code, reply = await self.post("/v3/kv/txn", put_body("a", "1", 0))
        self.assertEqual((code, reply.get("succeeded")), (200, None))

    async def test_outage_closes_connections_until_it_ends(self):
        """Guards against replies during an outage, or none after it."""
        await self.start()
        await self.post("/admin/faults", b'{"outage": true}')
        with self.assertRaises(Exception):  # noqa: B017
            await self.post("/v3/kv/txn", put_body("a", "1"))
        await self.post("/admin/faults", b'{"outage": false}')
        code, _ = await self.post("/v3/kv/txn", put_body("a", "1"))
        self.assertEqual(code, 200)
