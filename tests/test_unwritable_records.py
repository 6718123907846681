"""Jobs whose progress cannot be recorded because of an unexpected error."""

import json
import logging
import math
import unittest
from unittest import mock

from redwingrudder.coordination.coordinator import Coordinator
from redwingrudder.coordination.gateways import (
    COORDINATOR,
    LEADERSHIP,
    PEERS,
    PROGRESS_PREFIX,
    TERM_KEY,
    FleetGateways,
    intake_keys,
)
from redwingrudder.coordination.messages import (
    BeginTerm,
    Fenced,
    Resign,
    WorkflowStored,
)
from redwingrudder.coordination.peers import GetTimeOfDay, ListPeers, PeerView
from redwingrudder.coordination.progress_writer import UNWRITABLE_RETRY_S
from redwingrudder.platform.registry import PlatformRegistry
from redwingrudder.timers import TimerService
from redwingrudder.workflows import records
from redwingrudder.workflows.model import Resources

from . import workflow_fixtures as fx
from .coordination_fakes import Recording, node_system, run_for
from .test_authority import TIMES, StubChannels
from .test_missed_cancels import ListingChannel
from .test_platform_codecs import ENTRY

SMALL = Resources(100, 100, 0)


class UnwritableRecordTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.system, self.store = node_system()
        TimerService(self.system)
        Recording(self.system, LEADERSHIP, {Resign: None, Fenced: None})
        Recording(self.system, PEERS, {ListPeers: PeerView((), 8), GetTimeOfDay: 0.0})
        self.channel = ListingChannel(self.clock)
        gateways = FleetGateways(
            PlatformRegistry(), StubChannels(self.channel), TIMES, 150.0
        )
        self.coordinator = Coordinator(self.system, gateways)
        contents = self.store.contents
        contents.put("servers/w1", json.dumps(ENTRY))
        contents.put(TERM_KEY, "1")
        revision = contents.items_by_key[TERM_KEY].mod_revision
        self.system.tell(COORDINATOR, BeginTerm(1, revision, math.inf))
        run_for(self.clock, 0.5)
        self.engine = self.coordinator._term.engine

    def submit(self, job):
        workflow = fx.workflow(job, fx.step(1, SMALL))
        document = records.encode_workflow(workflow).decode()
        key, _ = intake_keys(job)
        self.store.contents.put(key, document)
        self.system.tell(COORDINATOR, WorkflowStored(job, document))

    def is_recorded(self, job):
        return PROGRESS_PREFIX + job in self.store.contents.items_by_key

    def fail_for(self, job):
        """Patch the encoder so that it fails for one job."""
        encode = records.encode_progress

        def encode_others(progress, *arguments):
            if progress.workflow.workflow_id == job:
                raise ZeroDivisionError
            return encode(progress, *arguments)

        return mock.patch.object(records, "encode_progress", encode_others)

    def test_other_jobs_are_recorded_and_started(self):
        """Guards against one job that stops the coordinator for all others."""
        with (
            self.fail_for("bad"),
            self.assertLogs("redwingrudder", logging.ERROR) as logs,
        ):
            for job in ("a", "bad", "b"):
                self.submit(job)
            run_for(self.clock, 0.1)
            self.submit("c")
            run_for(self.clock, 0.3)
            self.assertCountEqual(self.channel.started, ["a", "b", "c"])
            self.assertFalse(self.is_recorded("bad"))
        self.assertEqual(len(logs.records), 1)

    def test_job_is_recorded_once_that_is_possible(self):
        """Guards against a job that an error has stopped for good."""
        with self.fail_for("bad"), self.assertLogs("redwingrudder", logging.ERROR):
            self.submit("bad")
            run_for(self.clock, 0.5)
        self.assertEqual(self.channel.started, [])
        run_for(self.clock, UNWRITABLE_RETRY_S + 0.5)
        self.assertTrue(self.is_recorded("bad"))
        self.assertEqual(self.channel.started, ["bad"])

    def test_end_that_is_not_recorded_is_not_acknowledged(self):
        """Guards against an end that only a failed coordinator knew."""
        self.submit("bad")
        run_for(self.clock, 0.5)
        (run,) = self.channel.running
        self.channel.running = []
        acknowledged = []
        with (
            self.fail_for("bad"),
            self.assertLogs("redwingrudder", logging.ERROR),
            mock.patch.object(
                self.coordinator._term.workers, "acknowledge_ends", acknowledged.append
            ),
        ):
            self.engine.end("w1", fx.ended(run), self.clock.seconds())
            run_for(self.clock, 1.5)
        self.assertEqual(acknowledged, [])
        self.assertFalse(self.engine.is_recorded("bad"))

    def test_changed_job_that_is_forgotten_stops_nothing(self):
        """Guards against a record that can never be written.

        The start of an ended job is settled while its records are removed.
        """
        self.submit("a")
        run_for(self.clock, 0.5)
        self.engine.dirty.add("a")
        self.engine.forget("a")
        with self.assertLogs("redwingrudder", logging.ERROR) as logs:
            self.submit("b")
            run_for(self.clock, 2 * UNWRITABLE_RETRY_S)
        self.assertEqual(self.channel.started, ["a", "b"])
        self.assertEqual(len(logs.records), 1)


if __name__ == "__main__":
    unittest.main()
