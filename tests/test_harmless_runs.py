"""Load pattern: workers crash by themselves under tasks that are sound."""

import unittest

from redwingrudder.workflows import records

from . import workflow_fixtures as fx


class HarmlessRunTests(unittest.TestCase):
    """Runs that go on for some time, on a worker that crashes by itself."""

    def setUp(self):
        self.restart_engine(None)

    def restart_engine(self, document):
        """Begin with a new engine, with the progress of a record if any."""
        self.engine = fx.engine(fx.worker("w1"))
        self.progress = self.engine.accept(fx.workflow("job"), 0.0)
        (self.task,) = self.progress.tasks()
        if document is not None:
            record = records.decode_progress("job", document)
            records.restore_progress(self.progress, record)

    def start(self, now):
        (start,) = fx.starts(self.engine.plan(now, now))
        fx.confirm(self.engine, [start], now)
        return start

    def crash(self, now):
        self.engine.worker_restarted("w1", now)
        self.engine.interrupt_worker("w1", now, "crashed")
        self.engine.report("w1", [], now + 1.0)

    def crash_at_start(self, *times):
        for now in times:
            self.start(now)
            self.crash(now + 0.1)

    def go_on(self, now, end_s=1.0):
        """Start a run that is reported for a time, then lost with a link."""
        start = self.start(now)
        self.engine.report("w1", [fx.running(start)], now + end_s)
        self.engine.interrupt_worker("w1", now + end_s, "lease_lapsed")

    def test_crash_before_a_harmless_run_is_not_counted(self):
        """Guards against giving up a task whose start has proved harmless.

        Only the third independent crash after that is a proof.
        """
        self.crash_at_start(0.0)
        self.go_on(5.0)
        self.crash_at_start(30.0, 55.0)
        self.assertEqual(self.task.suspicion, "suspected")
        self.crash_at_start(80.0)
        self.assertEqual(self.task.suspicion, "guilty")

    def test_harmless_run_is_known_to_later_coordinators(self):
        """Guards against records that still count what a run has refuted."""
        self.crash_at_start(0.0)
        self.go_on(5.0)
        self.restart_engine(records.encode_progress(self.progress, 1, {}))
        self.crash_at_start(1.0, 30.0)
        self.assertEqual(self.task.suspicion, "suspected")
        self.crash_at_start(55.0)
        self.assertEqual(self.task.suspicion, "guilty")

    def test_later_crash_is_not_added_to_crashes_at_the_start(self):
        """Guards against a proof by crashes that contradict each other."""
        start = self.start(0.0)
        self.engine.report("w1", [fx.running(start)], 1.0)
        self.crash(1.5)
        self.crash_at_start(25.0, 50.0)
        self.assertEqual(self.task.suspicion, "suspected")

    def test_task_is_kept_apart_after_three_later_crashes(self):
        """Guards against late crashes that are not counted, or are proofs."""
        for crashes, now in enumerate((0.0, 25.0, 50.0, 75.0, 100.0, 125.0), 1):
            start = self.start(now)
            self.engine.report("w1", [fx.running(start)], now + 1.0)
            self.crash(now + 1.5)
            expected = "suspected" if crashes >= 3 else "clear"
            self.assertEqual(self.task.suspicion, expected)
        start = self.start(150.0)
        self.engine.report("w1", [fx.running(start)], 179.0)
        self.assertEqual(self.task.suspicion, "suspected")
        self.engine.report("w1", [fx.running(start)], 181.0)
        self.assertEqual(self.task.suspicion, "clear")


if __name__ == "__main__":
    unittest.main()
