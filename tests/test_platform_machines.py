"""Tests of the machine service's client and of the wave codec."""

import unittest

from twisted.internet.defer import ensureDeferred

from redwingrudder.coordination.gateways import MachineReply
from redwingrudder.exceptions import OverloadedError, UnavailableError
from redwingrudder.platform.http_client import JsonReply
from redwingrudder.platform.machines import PlatformMachines, PlatformWaves
from redwingrudder.workflows.machines import Machine, MachineState
from redwingrudder.workflows.model import Resources

from .coordination_fakes import outcome


class FakeClient:
    """Returns the given replies in order and records the calls."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.calls = []

    async def call(self, method, path, body, timeout_s, headers=None, may_send=None):
        self.calls.append((method, path, body, headers))
        return self.replies.pop(0)


def machine_row(name, state="up"):
    return {
        "machine": name,
        "pool": "p",
        "state": state,
        "labels": ["a", "r1"],
        "capacity": {"cpu": 1000, "memMb": 2, "gpu": 3},
        "id": f"i-{name}",
    }


def machine(name, state):
    labels, capacity = frozenset({"a", "r1"}), Resources(1000, 2, 3)
    return Machine(name, state, f"i-{name}", "p", labels, "a", capacity)


class MachinesTests(unittest.TestCase):
    def order(self, status, body):
        client = FakeClient(JsonReply(status, body))
        call = PlatformMachines(client).begin_upkeep("m1", 7, "n1", 3, lambda: True)
        return outcome(ensureDeferred(call)), client

    def test_all_pages_are_read(self):
        """Guards against machines of a later page that are not listed."""
        client = FakeClient(
            JsonReply(200, {"machines": [machine_row("m1")], "nextPageToken": "x"}),
            JsonReply(
                200, {"machines": [machine_row("m2", "upkeep")], "nextPageToken": None}
            ),
        )
        listed = outcome(ensureDeferred(PlatformMachines(client).list_machines()))
        self.assertEqual(
            listed,
            (
                machine("m1", MachineState.UP),
                machine("m2", MachineState.CHANGING),
            ),
        )
        self.assertIn("pageToken=x", client.calls[1][1])

    def test_order_carries_holder_and_fence(self):
        """Guards against an order of an old coordinator that is not fenced."""
        reply, client = self.order(200, {})
        self.assertIs(reply, MachineReply.ACCEPTED)
        headers = client.calls[0][3]
        self.assertEqual(headers, {"X-Lease-Holder": "n1", "X-Fencing-Token": "3"})

    def test_move_names_the_pool_and_carries_the_fence(self):
        """Guards against a machine that joins another pool than decided."""
        client = FakeClient(JsonReply(200, {}))
        call = PlatformMachines(client).move("m1", "p2", "n1", 3, lambda: True)
        self.assertIs(outcome(ensureDeferred(call)), MachineReply.ACCEPTED)
        method, path, body, headers = client.calls[0]
        self.assertEqual((method, path), ("POST", "/redwingrudder/machine-move"))
        self.assertEqual(body, {"machine": "m1", "pool": "p2"})
        self.assertEqual(headers, {"X-Lease-Holder": "n1", "X-Fencing-Token": "3"})

    def test_rejections_are_mapped_to_replies(self):
        """Guards against orders that are repeated or dropped by mistake."""
        expected = {
            "fence": MachineReply.FENCED,
            "busy": MachineReply.REJECTED,
            "wave": MachineReply.GONE,
        }
        for reason, reply in expected.items():
            with self.subTest(reason=reason):
                self.assertIs(self.order(409, {"reason": reason})[0], reply)
        self.assertIs(self.order(400, {})[0], MachineReply.GONE)

    def test_failures_are_coded(self):
        """Guards against a failure of the service that counts as a reply."""
        self.assertIsInstance(self.order(429, {})[0], OverloadedError)
        self.assertIsInstance(self.order(503, {})[0], UnavailableError)

    def test_invalid_documents_yield_no_wave(self):
        """Guards against an exception for a document that is not a wave."""
        self.assertIsNone(PlatformWaves().decode("op/wave/1", '{"wave": 1}'))
        self.assertFalse(PlatformWaves().is_done("[]"))


if __name__ == "__main__":
    unittest.main()
