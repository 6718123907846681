"""Tests of the adapter's store calls."""

import base64
import unittest

from twisted.internet.task import Clock

from redwingrudder._store_requests import GetKey, GetPrefix
from redwingrudder.actors import ActorSystem
from redwingrudder.coordination.gateways import STORE
from redwingrudder.coordination.metrics import METRICS, IncrementCounter, SetGauge
from redwingrudder.platform.http_client import JsonReply
from redwingrudder.platform.store import TIMEOUT_S, PlatformStore

from .coordination_fakes import Recording, outcome, run_for

ITEM = {"key": "k", "value": base64.b64encode(b"v").decode(), "revision": 3}


class FakeClient:
    """Answers all calls and keeps their time limits."""

    def __init__(self):
        self.timeouts = []

    async def call(self, method, path, body, timeout_s, headers=None):
        self.timeouts.append(timeout_s)
        if "kv-range" in path:
            return JsonReply(200, {"items": [ITEM], "currentRev": 3})
        return JsonReply(200, ITEM)

    def reset(self):
        pass


class TimeoutTests(unittest.TestCase):
    def timeouts(self, link_bps):
        clock = Clock()
        system = ActorSystem(clock)
        Recording(system, METRICS, {IncrementCounter: None, SetGauge: None})
        client = FakeClient()
        PlatformStore(system, client, (), link_bps)
        for message in (GetKey("k"), GetPrefix("k")):
            reply = system.ask(STORE, message)
            run_for(clock, 0.05)
            outcome(reply)
        return client.timeouts

    def test_slow_link_extends_the_timeout_of_a_page(self):
        """Guards against a takeover that times out before a page is here."""
        key_s, page_s = self.timeouts(10e6)
        self.assertEqual(key_s, TIMEOUT_S)
        self.assertGreater(page_s, 3.0)

    def test_fast_link_keeps_the_timeout_short(self):
        """Guards against a silent store that holds a takeover up."""
        self.assertLess(self.timeouts(1e9)[1], 2 * TIMEOUT_S)


if __name__ == "__main__":
    unittest.main()
