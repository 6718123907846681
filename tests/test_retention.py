"""Tests of the removal of records after their retention period."""

import unittest

from redwingrudder.coordination.gateways import TERM_KEY
from redwingrudder.coordination.recorder import Recorder
from redwingrudder.coordination.retention import SWEEP_INTERVAL_S, RecordRetention
from redwingrudder.workflows.model import WorkflowState

from . import workflow_fixtures as fx
from .test_coordination import node_system, run_for

RETENTION_S = 150.0
RECORD_KEYS = ["intake/job", "intake/job/cancel", "progress/job"]


class RetentionTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.system, self.store = node_system()
        self.store.contents.put(TERM_KEY, "1")
        for key in RECORD_KEYS:
            self.store.contents.put(key, "{}")
        term = self.store.contents.items_by_key[TERM_KEY]
        self.engine = fx.engine()
        self.progress = self.engine.accept(fx.workflow("job"), 0.0)
        recorder = Recorder(self.system, 1, term.mod_revision)
        self.retention = RecordRetention(
            self.system, self.engine, recorder, RETENTION_S
        )

    def end(self):
        self.engine.cancel("job", 0.0)
        self.progress.recorded_state = WorkflowState.CANCELLED
        self.engine.dirty.clear()

    def sweep(self, now):
        self.retention.sweep(now)
        run_for(self.clock, 0.05)

    def remaining_keys(self):
        return [key for key in RECORD_KEYS if key in self.store.contents.items_by_key]

    def test_old_records_are_removed(self):
        """Guards against a store that keeps growing with each job."""
        self.end()
        self.sweep(RETENTION_S + 1.0)
        self.assertEqual(self.remaining_keys(), [])
        self.assertNotIn("job", self.engine.workflows_by_id)

    def test_records_stay_while_callers_may_ask(self):
        """Guards against "no such job" within the retention period."""
        self.end()
        self.sweep(RETENTION_S - 1.0)
        self.assertEqual(self.remaining_keys(), RECORD_KEYS)

    def test_records_of_work_at_hand_stay(self):
        """Guards against removing a job that is old but has not ended."""
        self.sweep(10 * RETENTION_S)
        self.assertEqual(self.remaining_keys(), RECORD_KEYS)

    def test_deposed_coordinator_removes_nothing(self):
        """Guards against deletions by a coordinator whose term is over.

        A successor has written a higher term, so the comparison of the
        transaction must fail.
        """
        self.end()
        self.store.contents.put(TERM_KEY, "2")
        self.sweep(RETENTION_S + 1.0)
        self.assertEqual(self.remaining_keys(), RECORD_KEYS)
        self.assertIn("job", self.engine.workflows_by_id)

    def test_removal_is_tried_again_after_an_outage(self):
        """Guards against keeping records for ever after a failed call."""
        self.end()
        self.store.down = True
        self.sweep(RETENTION_S + 1.0)
        self.store.down = False
        self.sweep(RETENTION_S + 1.0 + SWEEP_INTERVAL_S)
        self.assertEqual(self.remaining_keys(), [])


if __name__ == "__main__":
    unittest.main()
