"""Tests of the removal of records after their retention period."""

import unittest
from unittest import mock

from redwingrudder.coordination.coordinator import Coordinator
from redwingrudder.coordination.gateways import (
    COORDINATOR,
    PEERS,
    TERM_KEY,
    FleetGateways,
    WorkerTimes,
)
from redwingrudder.coordination.messages import BeginTerm
from redwingrudder.coordination.peers import GetTimeOfDay, ListPeers, PeerView
from redwingrudder.coordination.recorder import Recorder
from redwingrudder.coordination.retention import SWEEP_INTERVAL_S, RecordRetention
from redwingrudder.timers import TimerService
from redwingrudder.workflows.model import WorkflowState

from . import workflow_fixtures as fx
from .coordination_fakes import Recording, node_system, run_for
from .test_coordination import EmptyRegistry, UnusedChannels

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
        record = self.store.contents.items_by_key["progress/job"]
        recorder.set_revision("job", record.mod_revision)
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

    def test_removal_without_an_answer(self):
        """Guards against a job that is kept for ever after a lost answer."""
        self.end()
        self.store.replies_to_lose = 1
        self.sweep(RETENTION_S + 1.0)
        self.assertEqual(self.remaining_keys(), [])
        self.assertIn("job", self.engine.workflows_by_id)
        self.sweep(RETENTION_S + 1.0 + SWEEP_INTERVAL_S)
        self.assertNotIn("job", self.engine.workflows_by_id)

    def test_record_that_was_written_again(self):
        """Guards against records that stay as their revision is not known."""
        self.end()
        self.store.contents.put("progress/job", "{}")
        self.sweep(RETENTION_S + 1.0)
        self.assertEqual(self.remaining_keys(), RECORD_KEYS)
        self.sweep(RETENTION_S + 1.0 + SWEEP_INTERVAL_S)
        self.assertEqual(self.remaining_keys(), [])

    def test_removal_that_the_store_carries_out_late(self):
        """Guards against the removal of a later job of the same id.

        The removal was repeated, and the id is used again since.
        """
        self.end()
        self.store.writes_to_delay = 1
        self.sweep(RETENTION_S + 1.0)
        self.sweep(RETENTION_S + 1.0 + SWEEP_INTERVAL_S)
        self.assertEqual(self.remaining_keys(), [])
        for key in RECORD_KEYS:
            self.store.contents.put(key, "{}")
        self.store.apply_delayed_writes()
        self.assertEqual(self.remaining_keys(), RECORD_KEYS)

    def test_id_is_used_again_before_the_removal_is_answered(self):
        """Guards against forgetting a later job of the same id."""
        self.end()
        self.store.answers_to_withhold = 1
        self.sweep(RETENTION_S + 1.0)
        self.store.contents.put("intake/job", "{}")
        stored = self.store.contents.items_by_key["intake/job"]
        self.retention.take_stored("job", stored.mod_revision)
        later = self.engine.accept(fx.workflow("job"), 0.0)
        self.assertIsNot(later, self.progress)
        run_for(self.clock, 1.0)
        self.sweep(RETENTION_S + 1.0 + SWEEP_INTERVAL_S)
        self.assertIs(self.engine.workflows_by_id["job"], later)
        self.assertIn("intake/job", self.store.contents.items_by_key)

    def test_id_is_used_again_before_the_removal_is_confirmed(self):
        """Guards against losing a later job of the same id.

        The watch reports its document before the reply to the removal.
        """
        self.end()
        transact = self.store.contents.transact

        def use_id_again(message):
            reply = transact(message)
            self.store.contents.put("intake/job", "{}")
            stored = self.store.contents.items_by_key["intake/job"]
            self.retention.take_stored("job", stored.mod_revision)
            self.engine.accept(fx.workflow("job"), 0.0)
            return reply

        with mock.patch.object(self.store.contents, "transact", use_id_again):
            self.sweep(RETENTION_S + 1.0)
        self.assertEqual(self.remaining_keys(), ["intake/job"])
        later = self.engine.workflows_by_id.get("job")
        self.assertIsNotNone(later)
        self.assertIsNot(later, self.progress)

    def test_document_that_the_watch_reports_late(self):
        """Guards against a second run of a job whose document is seen late."""
        stored = self.store.contents.items_by_key["intake/job"]
        self.end()
        self.retention.take_stored("job", stored.mod_revision)
        self.assertIs(self.engine.workflows_by_id["job"], self.progress)

    def test_cancellation_without_a_job_is_removed(self):
        """Guards against a store that keeps growing with each cancellation."""
        self.note_cancellation("other")
        self.sweep(RETENTION_S - 1.0)
        self.assertIn("intake/other/cancel", self.store.contents.items_by_key)
        self.sweep(RETENTION_S + SWEEP_INTERVAL_S)
        self.assertNotIn("intake/other/cancel", self.store.contents.items_by_key)
        self.assertEqual(self.remaining_keys(), RECORD_KEYS)

    def test_cancellation_of_a_stored_job_stays(self):
        """Guards against removing the cancellation of a job that may run.

        One job is known to the coordinator, the other is in the store only.
        """
        self.store.contents.put("intake/other", "{}")
        for job in ("job", "other"):
            self.note_cancellation(job)
        self.sweep(RETENTION_S + 1.0)
        for job in ("job", "other"):
            self.assertIn(f"intake/{job}/cancel", self.store.contents.items_by_key)

    def test_newer_cancellation_stays(self):
        """Guards against removing a cancellation that has just been stored.

        The watch has not delivered the newer one when the older one expires.
        """
        self.note_cancellation("other")
        self.store.contents.put("intake/other/cancel", "2.0")
        self.sweep(RETENTION_S + 1.0)
        self.assertIn("intake/other/cancel", self.store.contents.items_by_key)

    def test_deposed_coordinator_removes_no_cancellation(self):
        """Guards against removing what a successor has read."""
        self.note_cancellation("other")
        self.store.contents.put(TERM_KEY, "2")
        self.sweep(RETENTION_S + 1.0)
        self.assertIn("intake/other/cancel", self.store.contents.items_by_key)

    def test_cancellation_is_removed_after_an_outage(self):
        """Guards against cancellations that stay after a failed call."""
        self.note_cancellation("other")
        self.store.down = True
        self.sweep(RETENTION_S + 1.0)
        self.store.down = False
        self.sweep(RETENTION_S + 1.0 + SWEEP_INTERVAL_S)
        self.assertNotIn("intake/other/cancel", self.store.contents.items_by_key)

    def test_cancellation_that_is_read_again_is_not_kept_for_longer(self):
        """Guards against cancellations that stay for ever.

        Load pattern: the watch has to read the prefix anew again and again.
        """
        self.note_cancellation("other")
        revision = self.store.contents.items_by_key["intake/other/cancel"].mod_revision
        self.retention.add_cancellation("other", revision, RETENTION_S - 1.0)
        self.sweep(RETENTION_S + 1.0)
        self.assertNotIn("intake/other/cancel", self.store.contents.items_by_key)

    def note_cancellation(self, job):
        key = f"intake/{job}/cancel"
        self.store.contents.put(key, "1.0")
        revision = self.store.contents.items_by_key[key].mod_revision
        self.retention.add_cancellation(job, revision, 0.0)


class CoordinatorRetentionTests(unittest.TestCase):
    def test_coordinator_removes_cancellations_without_a_job(self):
        """Guards against a store that keeps growing with each cancellation.

        One was stored before the term, and one is delivered by the watch.
        """
        clock, system, store = node_system()
        TimerService(system)
        Recording(system, PEERS, {ListPeers: PeerView((), 0), GetTimeOfDay: 0.0})
        gateways = FleetGateways(
            EmptyRegistry(), UnusedChannels(), WorkerTimes(6.0, 1.5), RETENTION_S
        )
        Coordinator(system, gateways)
        store.contents.put("intake/early/cancel", "1.0")
        store.contents.put(TERM_KEY, "1")
        system.tell(COORDINATOR, BeginTerm(1, store.contents.revision, 1e9))
        run_for(clock, 0.3, (store,))
        store.contents.put("intake/late/cancel", "2.0")
        run_for(clock, 0.3, (store,))
        clock.advance(RETENTION_S)
        run_for(clock, 1.0, (store,))
        self.assertEqual(list(store.contents.items_by_key), [TERM_KEY])


if __name__ == "__main__":
    unittest.main()
