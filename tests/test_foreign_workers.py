"""Tests of registry entries that name workers of another system."""

import unittest

from redwingrudder.coordination.gateways import ChannelFactory
from redwingrudder.coordination.messages import Fenced

from .test_worker_session import FakeChannel
from .test_worker_table import KEY, entry
from .worker_table_case import WorkerTableCase


class OneChannel(ChannelFactory):
    def __init__(self, clock):
        self.channel = FakeChannel(clock)

    def open(self, facts):
        return self.channel


class ForeignFenceTests(WorkerTableCase):
    channels_type = OneChannel

    def test_fence_of_an_unknown_process_ends_no_term(self):
        """Guards against a foreign worker that deposes each coordinator.

        It has seen a high fencing token and rejects each call.
        """
        self.channels.channel.rejection_reason = "fenced"
        self.workers.set_entry(KEY, entry())
        self.run_for(3.0)
        self.assertEqual(self.leadership.received, [])
        self.assertFalse(self.engine.workers_by_id["w1"].reachable)

    def test_fence_of_a_worker_that_has_reported_ends_the_term(self):
        """Guards against a coordinator that overlooks its successor."""
        self.workers.set_entry(KEY, entry())
        self.run_for(0.5)
        self.channels.channel.rejection_reason = "fenced"
        self.run_for(2.0)
        self.assertIn(Fenced("w1"), self.leadership.received)


if __name__ == "__main__":
    unittest.main()
