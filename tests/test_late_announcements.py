"""Tests of announcements and changes of jobs whose records were removed."""

import json
import math
import unittest

from redwingrudder.coordination.coordinator import Coordinator
from redwingrudder.coordination.gateways import (
    COORDINATOR,
    INTAKE,
    INTAKE_PREFIX,
    LEADERSHIP,
    PEERS,
    TERM_KEY,
    FleetGateways,
    WorkerTimes,
)
from redwingrudder.coordination.intake import Intake
from redwingrudder.coordination.leadership import Identity
from redwingrudder.coordination.messages import (
    BeginTerm,
    CancelStored,
    EndTerm,
    Fenced,
    Resign,
    StoreForPeer,
    WorkflowStored,
)
from redwingrudder.coordination.peers import (
    AskAllPeers,
    GetTimeOfDay,
    ListPeers,
    PeerView,
)
from redwingrudder.exceptions import OutcomeUnknownError
from redwingrudder.platform.registry import PlatformRegistry
from redwingrudder.simulation import ProtocolWorkers, StoreContents
from redwingrudder.timers import TimerService
from redwingrudder.workflows import records
from redwingrudder.workflows.model import EndKind

from . import workflow_fixtures as fx
from .coordination_fakes import Recording, node_system, outcome, run_for

RETENTION_S = 20.0
SWEEP_S = 6.0  # longer than the interval between two removals of records
UNIX_TIME_S = 1_000_000.0
TIMES = WorkerTimes(6.0, 1.5)
ROOM = {"cpu": 128_000, "memMb": 262_144, "gpu": 8}


class LateAnnouncementTests(unittest.TestCase):
    """A job has run, and its records were removed after their retention."""

    def setUp(self):
        self.contents = StoreContents()
        self.clock, self.system, self.store = node_system(self.contents)
        TimerService(self.system)
        Recording(self.system, LEADERSHIP, {Resign: None, Fenced: None})
        self.peer_replies = {
            ListPeers: PeerView((), 8),
            GetTimeOfDay: UNIX_TIME_S,
            AskAllPeers: None,
        }
        Recording(self.system, PEERS, self.peer_replies)
        self.channels = ProtocolWorkers(self.clock, "w1")
        self.worker = self.channels.workers_by_id["w1"]
        self.coordinator = Coordinator(
            self.system,
            FleetGateways(PlatformRegistry(), self.channels, TIMES, RETENTION_S),
        )
        entry = {
            "service": "pool",
            "address": "10.0.0.1:80",
            "zone": "domain",
            "state": "ready",
            "born": self.worker.process.started_ms,
            "capacity": ROOM,
            "labels": ["a", "r1"],
        }
        self.contents.put("servers/w1", json.dumps(entry))
        self.begin_term(1)

    def begin_term(self, number):
        self.contents.put(TERM_KEY, str(number))
        revision = self.contents.items_by_key[TERM_KEY].mod_revision
        self.system.tell(COORDINATOR, BeginTerm(number, revision, math.inf))
        self.run_for(0.5)

    def run_for(self, seconds):
        run_for(self.clock, seconds, (self.store,))

    def document(self, job="job"):
        workflow = fx.workflow(job)._replace(accepted_at=UNIX_TIME_S)
        return records.encode_workflow(workflow).decode()

    def run_job(self, stores):
        """Run the job to its end, and wait until its records are removed.

        Only the watches of the given stores are answered meanwhile.
        """
        self.contents.put(INTAKE_PREFIX + "job", self.document())
        self.announce()
        self.assertIn(fx.key("job"), self.worker.process.runs_by_key)
        self.worker.process.end(fx.key("job"), EndKind.DONE)
        run_for(self.clock, RETENTION_S + 2 * SWEEP_S, stores)
        self.assertNotIn(INTAKE_PREFIX + "job", self.contents.items_by_key)

    def set_time_of_day(self, seconds):
        self.peer_replies[GetTimeOfDay] = seconds
        self.run_for(0.5)

    def announce(self, job="job"):
        self.system.tell(COORDINATOR, WorkflowStored(job, self.document(job)))
        run_for(self.clock, 1.0)

    def running(self):
        return set(self.worker.process.runs_by_key)

    def test_announcement_of_a_removed_job_does_not_run_it_again(self):
        """Guards against a second run of a job by a late announcement.

        The node that stored the job was paused before it announced the job.
        """
        self.run_job((self.store,))
        self.set_time_of_day(UNIX_TIME_S + RETENTION_S + SWEEP_S)
        self.announce()
        self.assertEqual(self.running(), set())

    def test_new_coordinator_does_not_run_a_removed_job_again(self):
        """Guards against relying on the memory of the previous coordinator."""
        self.run_job((self.store,))
        self.system.tell(COORDINATOR, EndTerm("test"))
        self.begin_term(2)
        self.set_time_of_day(UNIX_TIME_S + RETENTION_S + SWEEP_S)
        self.announce()
        self.assertEqual(self.running(), set())

    def test_announcement_in_time_needs_no_watch(self):
        """Guards against starts that wait for a store that is slow."""
        self.announce("next")
        self.assertEqual(self.running(), {fx.key("next")})

    def test_job_with_an_old_time_of_acceptance_is_run(self):
        """Guards against a job that is ignored as its node's clock is late."""
        self.set_time_of_day(UNIX_TIME_S + RETENTION_S + SWEEP_S)
        self.announce("next")
        self.contents.put(INTAKE_PREFIX + "next", self.document("next"))
        self.run_for(1.0)
        self.assertEqual(self.running(), {fx.key("next")})

    def test_change_of_a_key_that_was_removed_since_is_not_applied(self):
        """Guards against a second run of a job by a watch that lags behind."""
        self.run_job(stores=())
        self.run_for(1.0)
        self.assertEqual(self.running(), set())

    def test_relayed_write_after_removal(self):
        """Guards against a second run by a relayed submission that is late."""
        Intake(self.system, Identity("n1", "n1:1", "life"), RETENTION_S)
        self.run_job((self.store,))
        self.set_time_of_day(UNIX_TIME_S + RETENTION_S + SWEEP_S)
        reply = self.system.ask(INTAKE, StoreForPeer("job", self.document()))
        self.run_for(1.0)
        self.assertEqual(self.running(), set())
        self.assertIsInstance(outcome(reply), OutcomeUnknownError)
        self.assertNotIn(INTAKE_PREFIX + "job", self.contents.items_by_key)

    def test_relayed_write_in_time_is_stored(self):
        """Guards against relayed submissions that are refused as too late."""
        Intake(self.system, Identity("n1", "n1:1", "life"), RETENTION_S)
        self.set_time_of_day(UNIX_TIME_S + RETENTION_S / 3)
        self.system.ask(INTAKE, StoreForPeer("job", self.document()))
        self.run_for(1.0)
        self.assertEqual(self.running(), {fx.key("job")})

    def test_late_cancel_of_reused_id(self):
        """Guards against a cancellation of a later job of the same id."""
        self.run_job((self.store,))
        self.set_time_of_day(UNIX_TIME_S + RETENTION_S + SWEEP_S)
        self.contents.put(INTAKE_PREFIX + "job", self.document())
        self.run_for(1.0)
        self.system.tell(COORDINATOR, CancelStored("job"))
        self.run_for(1.0)
        self.assertEqual(self.running(), {fx.key("job")})


if __name__ == "__main__":
    unittest.main()
