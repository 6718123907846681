"""Tests of cancellations that are read late, when their id is used again."""

import unittest

from redwingrudder.coordination.gateways import TERM_KEY, intake_keys
from redwingrudder.coordination.recorder import Recorder
from redwingrudder.coordination.recovery import apply_cancellation
from redwingrudder.coordination.retention import SWEEP_INTERVAL_S, RecordRetention
from redwingrudder.workflows.model import WorkflowState

from . import workflow_fixtures as fx
from .coordination_fakes import node_system, run_for

RETENTION_S = 150.0
EXPIRED_AT_S = RETENTION_S + 1.0


class OutdatedCancellationTests(unittest.TestCase):
    """A cancellation was read before it was removed, and is applied after."""

    def setUp(self):
        self.clock, self.system, self.store = node_system()
        self.contents = self.store.contents
        self.contents.put(TERM_KEY, "1")
        self.engine = fx.engine()
        self.recorder = Recorder(self.system, 1, self.contents.revision)
        self.retention = RecordRetention(
            self.system, self.engine, self.recorder, RETENTION_S
        )
        self.key, self.cancel_key = intake_keys("job")

    def store_ended_job(self):
        """Store a job whose end is on record."""
        self.contents.put(self.key, "{}")
        progress = self.engine.accept(fx.workflow("job"), 0.0)
        self.engine.cancel("job", 0.0)
        progress.recorded_state = WorkflowState.CANCELLED
        self.engine.dirty.clear()
        self.contents.put("progress/job", "{}")
        self.recorder.set_revision("job", self.contents.revision)

    def store_cancellation(self):
        self.contents.put(self.cancel_key, "1.0")
        return self.contents.items_by_key[self.cancel_key]

    def apply(self, pair, now):
        apply_cancellation(self.engine, self.retention, pair, now, now)

    def sweep(self, now):
        self.retention.sweep(now)
        run_for(self.clock, 0.05)

    def accept_next(self, now):
        """Store and accept a job of the same id; returns its progress."""
        self.contents.put(self.key, "{}")
        self.assertTrue(self.retention.take_stored("job", self.contents.revision))
        return self.engine.accept(fx.workflow("job"), now)

    def test_cancellation_of_a_removed_job_is_not_kept_for_the_next(self):
        """Guards against a job that is cancelled with an earlier one."""
        self.store_ended_job()
        pair = self.store_cancellation()
        self.sweep(EXPIRED_AT_S)
        self.assertNotIn(self.key, self.contents.items_by_key)
        self.apply(pair, EXPIRED_AT_S)
        self.assertFalse(self.accept_next(EXPIRED_AT_S).cancelled)

    def test_cancellation_of_a_removed_job_does_not_stop_the_next(self):
        """Guards against a job that is cancelled with an earlier one."""
        self.store_ended_job()
        pair = self.store_cancellation()
        self.sweep(EXPIRED_AT_S)
        progress = self.accept_next(EXPIRED_AT_S)
        self.apply(pair, EXPIRED_AT_S)
        self.assertFalse(progress.cancelled)

    def test_removal_without_an_answer(self):
        """Guards against the same after a removal whose answer was lost."""
        pair = self.store_cancellation()
        self.store_ended_job()
        self.store.replies_to_lose = 1
        self.sweep(EXPIRED_AT_S)
        self.sweep(EXPIRED_AT_S + SWEEP_INTERVAL_S)
        self.assertNotIn("job", self.engine.workflows_by_id)
        self.apply(pair, EXPIRED_AT_S + SWEEP_INTERVAL_S)
        progress = self.accept_next(EXPIRED_AT_S + SWEEP_INTERVAL_S)
        self.assertFalse(progress.cancelled)

    def test_id_that_is_used_again_before_the_removal_is_known(self):
        """Guards against the same while the reply to the removal is late."""
        self.store_ended_job()
        pair = self.store_cancellation()
        self.contents.remove(self.cancel_key)
        progress = self.accept_next(1.0)
        self.apply(pair, 1.0)
        self.assertFalse(progress.cancelled)

    def test_removed_cancellation_without_a_job(self):
        """Guards against a job that is cancelled before it was submitted.

        The cancellation was read again shortly before it was removed.
        """
        pair = self.store_cancellation()
        self.apply(pair, 0.0)
        self.apply(pair, RETENTION_S)
        self.sweep(EXPIRED_AT_S)
        self.assertNotIn(self.cancel_key, self.contents.items_by_key)
        self.assertFalse(self.accept_next(EXPIRED_AT_S).cancelled)

    def test_removed_cancellation_without_a_job_that_is_read_late(self):
        """Guards against the same by a read that began before the removal."""
        pair = self.store_cancellation()
        self.apply(pair, 0.0)
        self.sweep(EXPIRED_AT_S)
        self.apply(pair, EXPIRED_AT_S)
        self.assertFalse(self.accept_next(EXPIRED_AT_S).cancelled)

    def test_cancellation_of_the_next_job(self):
        """Guards against a cancellation that is taken for an older one."""
        self.store_ended_job()
        self.sweep(EXPIRED_AT_S)
        progress = self.accept_next(EXPIRED_AT_S)
        self.apply(self.store_cancellation(), EXPIRED_AT_S)
        self.assertTrue(progress.cancelled)

    def test_cancellation_that_overtakes_the_next_job(self):
        """Guards against forgetting a cancellation with an older one."""
        self.apply(self.store_cancellation(), 0.0)
        self.sweep(EXPIRED_AT_S)
        self.apply(self.store_cancellation(), EXPIRED_AT_S)
        self.assertTrue(self.accept_next(EXPIRED_AT_S).cancelled)


if __name__ == "__main__":
    unittest.main()
