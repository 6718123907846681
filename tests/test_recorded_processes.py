"""Tests of recorded runs on a newer process than the registry names."""

import math
import unittest

from redwingrudder.workflows.records import PlacedRun

from . import workflow_fixtures as fx
from .test_returning_entries import BORN_MS, EARLIER_RUN, KEY, ListingChannels, entry
from .worker_table_case import WorkerTableCase

NEXT_BORN_MS = 5_000


class RecordedProcessTests(WorkerTableCase):
    """A worker has restarted, and its new entry is not written yet."""

    channels_type = ListingChannels
    term = 3

    def setUp(self):
        super().setUp()
        self.task = self.engine.accept(fx.workflow(), 0.0).find(fx.key())

    def adopt(self, entry_started_ms, recorded_started_ms):
        self.workers.set_entry(KEY, entry(born=entry_started_ms))
        self.workers.adopt(PlacedRun(fx.key(), EARLIER_RUN, "w1", recorded_started_ms))

    def test_run_of_a_newer_process_than_the_entry(self):
        """Guards against suspecting a run of the crash before it."""
        self.adopt(BORN_MS, NEXT_BORN_MS)
        self.assertEqual(self.task.crash_evidence_by_run, {})
        self.assertEqual(self.task.suspicion, "clear")

    def test_run_goes_on_without_a_crash(self):
        """Guards against counting the earlier restart again."""
        channel = self.channels.channel
        channel.process_started_ms = NEXT_BORN_MS
        channel.running = [(fx.key(), EARLIER_RUN)]
        self.adopt(BORN_MS, NEXT_BORN_MS)
        self.run_for(0.5)
        # The entry of the last process is read again.
        self.workers.set_entry(KEY, entry(born=BORN_MS))
        self.run_for(0.5)
        worker = self.engine.workers_by_id["w1"]
        self.assertTrue(worker.reachable)
        self.assertEqual(worker.crashed_at, -math.inf)
        self.assertEqual(self.task.state, "running")

    def test_run_of_an_older_process_than_the_entry(self):
        """Guards against a crash that is not counted."""
        self.adopt(NEXT_BORN_MS, BORN_MS)
        self.assertEqual(list(self.task.crash_evidence_by_run), [EARLIER_RUN])


if __name__ == "__main__":
    unittest.main()
