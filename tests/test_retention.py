"""Tests of the removal of old records."""

import unittest

from redwingrudder.coordination.gateways import TERM_KEY
from redwingrudder.coordination.recorder import Recorder
from redwingrudder.coordination.retention import SWEEP_S, RecordRetention
from redwingrudder.workflows.model import WorkflowState

from . import workflow_fixtures as fx
from .test_coordination import node_system, run_for

KEEP_S = 150.0
KEYS = ["intake/job", "intake/job/cancel", "progress/job"]


class RetentionTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.system, self.store = node_system()
        self.store.contents.put(TERM_KEY, "1")
        for key in KEYS:
            self.store.contents.put(key, "{}")
        term = self.store.contents.items_by_key[TERM_KEY]
        self.engine = fx.engine()
        self.progress = self.engine.accept(fx.workflow("job"), 0.0)
        recorder = Recorder(self.system.ask, 1, term.mod_revision)
        self.retention = RecordRetention(self.system, self.engine, recorder, KEEP_S)

    def end(self):
        self.engine.cancel("job", 0.0)
        self.progress.recorded_state = WorkflowState.CANCELLED
        self.engine.dirty.clear()

    def sweep(self, now):
        self.retention.sweep(now)
        run_for(self.clock, 0.05)

    def present(self):
        return [key for key in KEYS if key in self.store.contents.items_by_key]

    def test_old_records_are_removed(self):
        """Guards against a store that grows with every job ever run."""
        self.end()
        self.sweep(KEEP_S + 1.0)
        self.assertEqual(self.present(), [])
        self.assertNotIn("job", self.engine.workflows_by_id)

    def test_records_stay_while_callers_may_ask(self):
        """Guards against "no such job" for one that ended lately."""
        self.end()
        self.sweep(KEEP_S - 1.0)
        self.assertEqual(self.present(), KEYS)

    def test_records_of_work_at_hand_stay(self):
        """Guards against the loss of a job that is old but not done."""
        self.sweep(10 * KEEP_S)
        self.assertEqual(self.present(), KEYS)

    def test_deposed_coordinator_removes_nothing(self):
        """Guards against removals beside another coordinator."""
        self.end()
        self.store.contents.put(TERM_KEY, "2")
        self.sweep(KEEP_S + 1.0)
        self.assertEqual(self.present(), KEYS)
        self.assertIn("job", self.engine.workflows_by_id)

    def test_removal_is_tried_again_after_an_outage(self):
        """Guards against records that one failed call leaves for ever."""
        self.end()
        self.store.down = True
        self.sweep(KEEP_S + 1.0)
        self.store.down = False
        self.sweep(KEEP_S + 1.0 + SWEEP_S)
        self.assertEqual(self.present(), [])


if __name__ == "__main__":
    unittest.main()
