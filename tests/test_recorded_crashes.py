"""Evidence of crashes that a change of the coordinator carries over."""

import unittest

from redwingrudder.workflows import records
from redwingrudder.workflows.model import WorkflowState

from . import workflow_fixtures as fx

JOBS = ("first", "second")


class CrashesBesideOtherSuspectsTests(unittest.TestCase):
    """Two sound jobs whose workers crash at the same moments."""

    def setUp(self):
        self.engine = self.new_engine()
        for name in JOBS:
            self.engine.accept(fx.workflow(name, fx.step(1, fx.WHOLE_WORKER)), 0.0)

    def new_engine(self):
        facts = [fx.worker(f"w{n}", address=f"10.0.0.{n}:1") for n in range(4)]
        return fx.engine(*facts)

    def replace_coordinator(self):
        old, self.engine = self.engine, self.new_engine()
        for name, progress in old.workflows_by_id.items():
            document = records.encode_progress(progress, 1, {})
            restored = self.engine.accept(progress.workflow, 0.0)
            record = records.decode_progress(name, document)
            records.restore_progress(restored, record)

    def crash(self, now, detected_after_s=1.0):
        """Start both jobs and let their workers crash."""
        starts = fx.starts(self.engine.plan(now, now))
        self.assertEqual(len(starts), len(JOBS))
        fx.confirm(self.engine, starts, now)
        for index, start in enumerate(starts):
            detected_at = now + detected_after_s * (index + 1)
            self.engine.worker_restarted(start.worker_id, detected_at)
            self.engine.interrupt_worker(start.worker_id, detected_at, "crashed")

    def states(self, now):
        self.engine.plan(now, now)
        return [self.engine.workflows_by_id[name].state for name in JOBS]

    def test_two_common_moments_are_no_proof(self):
        """Guards against records that forget what crashed at that moment."""
        for replace in (False, True):
            with self.subTest(replace_coordinator=replace):
                self.setUp()
                self.crash(1.0)
                if replace:
                    self.replace_coordinator()
                self.crash(30.0)
                self.assertEqual(self.states(60.0), [WorkflowState.RUNNING] * 2)

    def test_long_pause_between_common_moments_is_no_proof(self):
        """Guards against a moment that is forgotten with its crashes."""
        self.crash(1.0)
        self.crash(120.0)
        self.assertEqual(self.states(150.0), [WorkflowState.RUNNING] * 2)

    def test_third_common_moment_is_a_proof(self):
        """Guards against tasks that are never given up beside each other."""
        for now in (1.0, 60.0):
            self.crash(now)
            self.replace_coordinator()
        self.crash(120.0)
        self.assertEqual(self.states(150.0), [WorkflowState.FAILED] * 2)


class RestartBetweenTermsTests(unittest.TestCase):
    def test_crash_found_by_a_new_coordinator_is_logged(self):
        """Guards against verdicts whose evidence no log line names."""
        engine = fx.engine(fx.worker("w1", process_started_ms=2))
        engine.accept(fx.workflow("job"), 0.0)
        with self.assertLogs("redwingrudder.workflows.engine", "WARNING") as logs:
            engine.adopt_run(fx.key(), 1, "w1", False, 0.0, 1)
        (record,) = logs.records
        self.assertEqual(record.getMessage(), "worker crashed before the takeover")
        self.assertEqual((record.job, record.run, record.worker), ("job", 1, "w1"))


if __name__ == "__main__":
    unittest.main()
