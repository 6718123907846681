"""Tests of the worker table with in-memory channels."""

import json
import math
import unittest

from redwingrudder.coordination.authority import Authority
from redwingrudder.coordination.gateways import COORDINATOR, ChannelFactory
from redwingrudder.coordination.messages import (
    WorkerLeaseLapsed,
    WorkerPolled,
    WorkerSilent,
)
from redwingrudder.coordination.worker_table import WorkerTable
from redwingrudder.platform.registry import PlatformRegistry
from redwingrudder.timers import TimerService
from redwingrudder.workflows.engine import Engine

from .coordination_fakes import Recording, node_system, run_for
from .test_worker_session import HEARTBEAT_S, TIMES, FakeChannel

DRAIN_S = 6.0
KEY = "servers/w1"


class FakeChannels(ChannelFactory):
    def __init__(self, clock):
        self.channel = FakeChannel(clock)

    def open(self, facts):
        return self.channel


def entry(**changes):
    return json.dumps(
        {
            "service": "pool",
            "address": "10.0.0.1:80",
            "zone": "domain",
            "state": "ready",
            "born": 1,
            "capacity": {"cpu": 1000, "memMb": 1, "gpu": 1},
            **changes,
        }
    )


class DepartureTests(unittest.TestCase):
    """Entries of a worker that drains and leaves."""

    def setUp(self):
        self.clock, self.system, _ = node_system()
        TimerService(self.system)
        self.coordinator = Recording(
            self.system,
            COORDINATOR,
            {WorkerPolled: None, WorkerSilent: None, WorkerLeaseLapsed: None},
        )
        self.channels = FakeChannels(self.clock)
        authority = Authority(self.clock.seconds, math.inf)
        engine = Engine()
        engine.term = 1
        self.workers = WorkerTable(
            self.system, engine, PlatformRegistry(), self.channels, TIMES, authority
        )
        self.workers.set_entry(KEY, entry())
        run_for(self.clock, 1.0)

    def drain(self, seen_after_s):
        """Apply the entry of a draining worker some time after its writing."""
        remaining_ms = 1000 * DRAIN_S
        run_for(self.clock, seen_after_s)
        self.workers.set_entry(KEY, entry(state="draining", remainingMs=remaining_ms))

    def leave(self, after_s):
        """Let the worker end and remove its entry."""
        run_for(self.clock, after_s)
        self.channels.channel.unanswering = True
        self.workers.set_entry(KEY, None)
        run_for(self.clock, 1.0)
        return any(
            isinstance(message, WorkerLeaseLapsed)
            for message in self.coordinator.received
        )

    def test_worker_that_left_holds_no_lease(self):
        """Guards against runs that wait for the lease of a departed worker."""
        self.drain(0.0)
        self.assertTrue(self.leave(DRAIN_S))

    def test_entry_that_was_seen_late_is_no_reason_to_wait(self):
        """Guards against runs that wait since the drain was noticed late.

        The store delayed the entry by one second, so the worker leaves one
        second before the remaining time has passed for the coordinator.
        """
        self.drain(1.0)
        self.assertTrue(self.leave(DRAIN_S - 1.0))

    def test_entry_removed_well_before_the_end_may_be_lost(self):
        """Guards against a second run after the store has lost an entry."""
        self.drain(0.0)
        self.assertFalse(self.leave(DRAIN_S - 2 * HEARTBEAT_S))


if __name__ == "__main__":
    unittest.main()
