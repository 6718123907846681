"""Base class of tests with a coordinator and workers that restart."""

import json
import math
import unittest

from redwingrudder.coordination.coordinator import Coordinator
from redwingrudder.coordination.gateways import (
    COORDINATOR,
    INTAKE_PREFIX,
    LEADERSHIP,
    PEERS,
    TERM_KEY,
    FleetGateways,
    WorkerTimes,
)
from redwingrudder.coordination.messages import BeginTerm, Fenced, Resign
from redwingrudder.coordination.peers import (
    AskAllPeers,
    GetTimeOfDay,
    ListPeers,
    PeerView,
)
from redwingrudder.platform.registry import PlatformRegistry
from redwingrudder.simulation import MAX_LEASE_S, ProtocolWorkers, StoreContents
from redwingrudder.timers import TimerService
from redwingrudder.workflows import records

from . import workflow_fixtures as fx
from .coordination_fakes import Recording, node_system, run_for

TIMES = WorkerTimes(MAX_LEASE_S, 1.5)
TERM = 2
ROOM = {"cpu": 128_000, "memMb": 262_144, "gpu": 8}
NO_ROOM = {"cpu": 0, "memMb": 0, "gpu": 0}
KEY = fx.key("job")


class LateCallCase(unittest.TestCase):
    """A coordinator and two workers, of which the first one restarts.

    The second worker has no room until a test gives it some, so that each
    first run is placed on w1. The new process of w1 has no room, so that
    later runs are placed on w2.
    """

    def setUp(self):
        contents = StoreContents()
        self.clock, self.system, self.store = node_system(contents)
        TimerService(self.system)
        self.leadership = Recording(
            self.system, LEADERSHIP, {Resign: None, Fenced: None}
        )
        Recording(
            self.system,
            PEERS,
            {ListPeers: PeerView((), 8), GetTimeOfDay: 0.0, AskAllPeers: None},
        )
        self.channels = ProtocolWorkers(self.clock, "w1", "w2")
        self.w1 = self.channels.workers_by_id["w1"]
        self.w2 = self.channels.workers_by_id["w2"]
        self.coordinator = Coordinator(
            self.system,
            FleetGateways(PlatformRegistry(), self.channels, TIMES, 150.0),
        )
        self.register("w1", ROOM)
        self.register("w2", NO_ROOM)
        contents.put(TERM_KEY, str(TERM))
        revision = contents.items_by_key[TERM_KEY].mod_revision
        self.system.tell(COORDINATOR, BeginTerm(TERM, revision, math.inf))
        self.run_for(0.5)

    def tearDown(self):
        self.assertEqual(self.channels.overlapping_runs(), [])
        self.assertEqual(self.leadership.received, [])

    def run_for(self, seconds):
        run_for(self.clock, seconds, (self.store,))

    def register(self, worker_id, room, address="10.0.0.1:80", started_ms=None):
        process = self.channels.workers_by_id[worker_id].process
        entry = {
            "service": "pool",
            "address": address,
            "zone": "domain",
            "state": "ready",
            "born": started_ms or process.started_ms,
            "capacity": room,
            "labels": ["a", "r1"],
        }
        self.store.contents.put("servers/" + worker_id, json.dumps(entry))

    def submit(self, job="job", seconds=0.2):
        document = records.encode_workflow(fx.workflow(job)).decode()
        self.store.contents.put(INTAKE_PREFIX + job, document)
        self.run_for(seconds)

    def restart(self):
        """Restart w1 without its entry, and give w2 room."""
        self.w1.restart()
        self.register("w2", ROOM)

    def register_new_process(self, seconds=0.5):
        self.register("w1", NO_ROOM)
        self.run_for(seconds)
