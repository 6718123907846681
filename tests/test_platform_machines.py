"""Tests of what the adapter says of machines and waves."""

import unittest

from twisted.internet.defer import ensureDeferred

from redwingrudder.coordination.gateways import MachineReply
from redwingrudder.exceptions import OverloadedError, UnavailableError
from redwingrudder.platform.http_client import JsonReply
from redwingrudder.platform.machines import PlatformMachines, PlatformWaves
from redwingrudder.workflows.maintenance import Machine, MachineState

from .coordination_fakes import outcome


class FakeClient:
    """Answers with what it was given, in order."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.calls = []

    async def call(self, method, path, body, timeout_s, headers=None):
        self.calls.append((method, path, body, headers))
        return self.replies.pop(0)


def row(name, state="up"):
    return {"machine": name, "pool": "p", "state": state, "id": f"i-{name}"}


class MachinesTests(unittest.TestCase):
    def order(self, status, body):
        client = FakeClient(JsonReply(status, body))
        work = PlatformMachines(client).begin_upkeep("m1", 7, "n1", 3)
        return outcome(ensureDeferred(work)), client

    def test_all_pages_are_read(self):
        """Guards against machines of a later page that count as gone."""
        client = FakeClient(
            JsonReply(200, {"machines": [row("m1")], "nextPageToken": "x"}),
            JsonReply(200, {"machines": [row("m2", "upkeep")], "nextPageToken": None}),
        )
        listed = outcome(ensureDeferred(PlatformMachines(client).list_machines()))
        self.assertEqual(
            listed,
            (
                Machine("m1", MachineState.UP, "i-m1"),
                Machine("m2", MachineState.CHANGING, "i-m2"),
            ),
        )
        self.assertIn("pageToken=x", client.calls[1][1])

    def test_order_carries_holder_and_fence(self):
        """Guards against an order that a newer coordinator cannot fence."""
        reply, client = self.order(200, {})
        self.assertIs(reply, MachineReply.ACCEPTED)
        headers = client.calls[0][3]
        self.assertEqual(headers, {"X-Lease-Holder": "n1", "X-Fencing-Token": "3"})

    def test_rejections_are_mapped_to_replies(self):
        """Guards against an upkeep that is repeated in vain, or given up."""
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
        """Guards against a failure of the service that counts as an answer."""
        self.assertIsInstance(self.order(429, {})[0], OverloadedError)
        self.assertIsInstance(self.order(503, {})[0], UnavailableError)

    def test_invalid_documents_yield_no_wave(self):
        """Guards against a document that names no wave."""
        self.assertIsNone(PlatformWaves().decode("op/wave/1", '{"wave": 1}'))
        self.assertFalse(PlatformWaves().is_done("[]"))


if __name__ == "__main__":
    unittest.main()
