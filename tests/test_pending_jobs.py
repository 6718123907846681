"""Tests of the number of a queue's jobs of which no task has begun."""

import json
import unittest

from redwingrudder.workflows import records
from redwingrudder.workflows.model import EndKind, WorkflowState

from . import workflow_fixtures as fx


class PendingJobTests(unittest.TestCase):
    def setUp(self):
        self.engine = fx.engine(fx.worker("w1"))
        self.progress = self.engine.accept(fx.workflow(), 0.0)
        (self.start,) = fx.starts(self.engine.plan(0.0, 0.0))

    def pending(self):
        return self.engine.queue_length("queue")

    def restore(self, **changes):
        """Continue with the record that the next coordinator reads."""
        document = json.loads(records.encode_progress(self.progress, 1, {}))
        document = {k: v for k, v in {**document, **changes}.items() if v is not None}
        self.engine = fx.engine(fx.worker("w1"))
        self.progress = self.engine.accept(fx.workflow(), 0.0)
        record = records.decode_progress("job", json.dumps(document).encode())
        records.restore_progress(self.progress, record)

    def adopt(self, started):
        start = self.start
        self.engine.adopt_run(start.key, start.run, "w1", started, 0.1)

    def test_start_without_a_reply(self):
        """Guards against a job that counts as begun before a worker has it."""
        self.assertEqual(self.pending(), 1)
        self.assertIs(self.progress.state, WorkflowState.QUEUED)
        self.engine.start_rejected(self.start.key, 1, "unanswered", 0.1)
        self.assertEqual(self.pending(), 1)

    def test_worker_that_tells_of_the_run(self):
        """Guards against a job that is at work and counts as pending."""
        key, run, now = self.start.key, self.start.run, 0.1
        for tell in (
            lambda: self.engine.start_confirmed(key, run, now),
            lambda: self.engine.report("w1", [fx.running(self.start)], now),
            lambda: self.engine.end("w1", fx.ended(self.start, EndKind.FAILED), now),
            lambda: self.adopt(started=True),
        ):
            self.setUp()
            tell()
            self.assertEqual(self.pending(), 0)
            self.assertFalse(self.engine.is_recorded("job"))

    def test_change_of_the_coordinator(self):
        """Guards against a record that takes each placed run for begun."""
        self.restore()
        self.adopt(started=False)
        self.assertEqual(self.pending(), 1)
        self.adopt(started=True)
        self.assertEqual(self.pending(), 0)

    def test_job_that_waits_again(self):
        """Guards against counting a job again whose run was stopped."""
        self.engine.start_confirmed(self.start.key, self.start.run, 0.1)
        self.engine.end("w1", fx.ended(self.start, EndKind.STOPPED), 0.2)
        self.restore()
        self.assertEqual(self.pending(), 0)

    def test_record_of_an_earlier_release(self):
        """Guards against a record without the field that cannot be read."""
        self.restore(not_begun=None)
        self.assertEqual(self.pending(), 0)


if __name__ == "__main__":
    unittest.main()
