"""Tests of the checkpoints that starts resume from."""

import unittest

from redwingrudder.workflows import records
from redwingrudder.workflows.model import EndKind, RunReport

from . import workflow_fixtures as fx


class CheckpointCase(unittest.TestCase):
    """Has an engine with a workflow whose tasks save checkpoints.

    Attributes:
        step: Step of the workflow.
    """

    step = fx.step(checkpoints=True)

    def setUp(self):
        self.engine = fx.engine()
        self.progress = self.engine.accept(fx.workflow("job", self.step), 0.0)

    def start(self):
        """Plan and confirm the runs of all tasks; returns their starts."""
        effects = self.engine.plan(0.0, 0.0)
        fx.confirm(self.engine, effects)
        return fx.starts(effects)

    def report(self, start, checkpoint, worker_id="", run=0):
        """Report that the run of a start goes on, or an older run of it."""
        entry = RunReport(start.key, run or start.run, checkpoint, 10.0)
        self.engine.report(worker_id or start.worker_id, [entry], 0.0)

    def report_no_runs(self):
        """Report of all workers that nothing runs on them any more."""
        for worker_id in self.engine.workers_by_id:
            self.engine.report(worker_id, [], 0.0)
            self.engine.settle_reappeared(worker_id, set(), 0.0)

    def end(self, start, checkpoint, kind=EndKind.STOPPED):
        return self.engine.end(
            start.worker_id, fx.ended(start, kind, checkpoint=checkpoint), 0.0
        )

    def interrupt(self, start):
        self.engine.interrupt_worker(start.worker_id, 0.0, "test")

    def restore(self, term=2):
        """Continue with an engine that is restored from the record."""
        started_ms = {
            worker_id: worker.facts.process_started_ms
            for worker_id, worker in self.engine.workers_by_id.items()
        }
        content = records.encode_progress(self.progress, self.engine.term, started_ms)
        record = records.decode_progress("job", content)
        self.engine = fx.engine()
        self.engine.term = term
        self.progress = self.engine.accept(fx.workflow("job", self.step), 0.0)
        records.restore_progress(self.progress, record)
        for run in record.placed:
            self.engine.adopt_run(
                run.key, run.run, run.worker_id, False, 0.0, run.process_started_ms
            )


class TaskCheckpointTests(CheckpointCase):
    """Checkpoints of a task that runs alone."""

    def next_checkpoints(self):
        return [start.checkpoint for start in self.start()]

    def test_end_of_an_older_run_saves_nothing(self):
        """Guards against resuming from a point before the newest one."""
        (first,) = self.start()
        self.report(first, "old")
        self.interrupt(first)
        (second,) = self.start()
        self.report(second, "new")
        self.assertFalse(self.end(first, "late"))
        self.interrupt(second)
        self.assertEqual(self.next_checkpoints(), ["new"])

    def test_listed_older_run_saves_nothing(self):
        """Guards against a checkpoint of a run that is being replaced."""
        (first,) = self.start()
        self.interrupt(first)
        (second,) = self.start()
        self.report(second, "new")
        self.report(first, "late")
        self.interrupt(second)
        self.report(first, "later")
        self.report_no_runs()
        self.assertEqual(self.next_checkpoints(), ["new"])

    def test_run_listed_by_another_worker_saves_nothing(self):
        """Guards against a number that is taken for the identity of a run."""
        (first,) = self.start()
        self.report(first, "saved")
        other = {"w1": "w2", "w2": "w1"}[first.worker_id]
        self.report(first, "foreign", worker_id=other)
        self.interrupt(first)
        self.assertEqual(self.next_checkpoints(), [])
        self.report_no_runs()
        self.assertEqual(self.next_checkpoints(), ["saved"])

    def test_listed_run_of_a_task_that_is_not_placed_saves_nothing(self):
        """Guards against a released run that still counts as current."""
        (first,) = self.start()
        self.report(first, "saved")
        self.interrupt(first)
        self.report(first, "late")
        self.report_no_runs()
        self.assertEqual(self.next_checkpoints(), ["saved"])

    def test_late_end_of_the_newest_run_saves_its_checkpoint(self):
        """Guards against work that is lost with a lease that has lapsed.

        The run was interrupted, and its worker returns and lists its end
        before the task is placed again.
        """
        (first,) = self.start()
        self.report(first, "old")
        self.interrupt(first)
        self.engine.dirty.clear()
        self.end(first, "new", EndKind.LAPSED)
        self.assertIn("job", self.engine.dirty)
        self.assertEqual(self.next_checkpoints(), ["new"])

    def test_late_end_on_another_worker_saves_nothing(self):
        """Guards against a number that is taken for the identity of a run."""
        (first,) = self.start()
        self.report(first, "saved")
        self.interrupt(first)
        other = {"w1": "w2", "w2": "w1"}[first.worker_id]
        self.end(first._replace(worker_id=other), "foreign")
        self.assertEqual(self.next_checkpoints(), ["saved"])

    def test_restart_of_the_worker_keeps_the_checkpoint(self):
        """Guards against work that is lost with the process of a worker."""
        (first,) = self.start()
        self.report(first, "saved")
        self.engine.replace_process(first.worker_id, 2, 0.0)
        self.engine.report(first.worker_id, [], 0.0)
        self.engine.reconcile(first.worker_id, set(), True, 0.0)
        self.assertEqual(self.next_checkpoints(), ["saved"])

    def test_older_run_on_a_new_process_saves_nothing(self):
        """Guards against a late start that takes a task back to its beginning.

        The new process has carried out the start of the first run.
        """
        (first,) = self.start()
        self.interrupt(first)
        (second,) = self.start()
        self.report(second, "new")
        self.engine.replace_process(first.worker_id, 2, 0.0)
        self.engine.adopt_run(first.key, first.run, first.worker_id, True, 0.0)
        self.report(first, "late")
        self.end(first, "later")
        self.interrupt(second)
        self.assertEqual(self.next_checkpoints(), ["new"])

    def test_older_run_that_a_worker_brings_back_saves_nothing(self):
        """Guards against a task that goes back to an older checkpoint."""
        (first,) = self.start()
        self.interrupt(first)
        (second,) = self.start()
        self.report(second, "new")
        self.interrupt(second)
        self.engine.adopt_run(first.key, first.run, first.worker_id, True, 0.0)
        self.report(first, "late")
        self.end(first, "later")
        self.report_no_runs()
        (third,) = self.start()
        self.assertEqual((third.run, third.checkpoint), (second.run + 1, "new"))

    def test_older_run_that_is_being_stopped_survives_a_takeover(self):
        """Guards against a second run while an older one is being stopped."""
        (first,) = self.start()
        self.interrupt(first)
        (second,) = self.start()
        self.report(second, "new")
        self.interrupt(second)
        self.report(first, "late")
        self.restore(term=1)
        self.assertEqual(self.start(), [])
        self.end(first, "later")
        (third,) = self.start()
        self.assertEqual((third.run, third.checkpoint), (second.run + 1, "new"))

    def test_run_that_reappears_saves_its_end(self):
        """Guards against work that is lost with a run that is stopped."""
        (first,) = self.start()
        self.report(first, "old")
        self.interrupt(first)
        self.report(first, "late")
        self.end(first, "new")
        self.report_no_runs()
        self.assertEqual(self.next_checkpoints(), ["new"])

    def test_record_keeps_the_checkpoint_that_a_run_resumed_from(self):
        """Guards against work of all earlier runs that is lost at a takeover.

        The second run has begun and has not saved a checkpoint of its own.
        """
        (first,) = self.start()
        self.end(first, "saved")
        (second,) = self.start()
        self.assertEqual(second.checkpoint, "saved")
        self.restore()
        self.interrupt(second)
        self.assertEqual(self.next_checkpoints(), ["saved"])

    def test_record_keeps_the_checkpoint_after_several_terms(self):
        """Guards against a checkpoint that is lost as its run is adopted."""
        (first,) = self.start()
        self.end(first, "saved")
        (second,) = self.start()
        self.restore(2)
        self.engine.start_confirmed(second.key, second.run, 0.0)
        self.restore(3)
        self.interrupt(second)
        self.assertEqual(self.next_checkpoints(), ["saved"])

    def test_record_keeps_the_checkpoint_of_the_last_process(self):
        """Guards against saved work that a new process does not report.

        The new process has carried out the start, which had no checkpoint.
        """
        (first,) = self.start()
        self.report(first, "saved")
        self.engine.replace_process(first.worker_id, 2, 0.0)
        self.report(first, "")
        self.restore()
        self.interrupt(first)
        self.assertEqual(self.next_checkpoints(), ["saved"])

    def test_checkpoint_of_the_adopted_run_is_the_newest(self):
        """Guards against a record that hides what a worker reports later."""
        (first,) = self.start()
        self.end(first, "old")
        (second,) = self.start()
        self.restore()
        self.report(second, "new")
        self.interrupt(second)
        self.assertEqual(self.next_checkpoints(), ["new"])


class GangCheckpointTests(CheckpointCase):
    """Checkpoints that the members of a gang share."""

    step = fx.step(2, fx.WHOLE_WORKER, gang=True, checkpoints=True)

    def assert_next(self, checkpoint):
        starts = self.start()
        self.assertEqual([s.checkpoint for s in starts], [checkpoint] * 2)

    def interrupt_all(self):
        for worker_id in list(self.engine.workers_by_id):
            self.engine.interrupt_worker(worker_id, 0.0, "test")

    def test_members_resume_from_the_checkpoint_of_any_member(self):
        """Guards against members of one run that begin at different points."""
        for member in (0, 1):
            with self.subTest(member=member):
                self.setUp()
                self.report(self.start()[member], "saved")
                self.interrupt_all()
                self.assert_next("saved")

    def test_member_of_an_older_run_saves_nothing(self):
        """Guards against a gang that goes back to an older run."""
        first = self.start()
        self.interrupt_all()
        second = self.start()
        self.report(second[0], "new")
        self.report(first[1], "late")
        self.end(first[0], "later")
        self.interrupt_all()
        self.report(first[1], "last")
        self.report_no_runs()
        self.assert_next("new")

    def test_older_run_that_a_worker_brings_back_saves_nothing(self):
        """Guards against a gang that goes back to an older checkpoint."""
        first = self.start()
        self.interrupt_all()
        second = self.start()
        self.report(second[0], "new")
        self.interrupt_all()
        late = first[1]
        self.engine.adopt_run(late.key, late.run, late.worker_id, True, 0.0)
        self.report(late, "late")
        self.end(late, "later", EndKind.ALONE)
        self.report_no_runs()
        self.assert_next("new")

    def test_adopted_gang_resumes_from_its_checkpoint(self):
        """Guards against a gang that starts anew after a takeover."""
        self.report(self.start()[1], "saved")
        self.restore()
        self.interrupt_all()
        self.assert_next("saved")


class NoCheckpointTests(CheckpointCase):
    """A task of a step that cannot resume from checkpoints."""

    step = fx.step()

    def test_reported_checkpoint_is_not_used(self):
        """Guards against a run that counts as resumed but begins anew.

        Run times of runs that resumed are left out of the estimates.
        """
        (first,) = self.start()
        self.report(first, "listed")
        self.end(first, "ended")
        (second,) = self.start()
        self.assertEqual(second.checkpoint, "")
        self.assertFalse(self.progress.find(second.key).run_resumed)

    def test_recorded_checkpoint_is_not_sent(self):
        """Guards against a start that resumes a step that cannot.

        Earlier releases have recorded the checkpoints of such steps.
        """
        (task,) = self.progress.tasks()
        task.checkpoint = "recorded"
        self.restore()
        (restored,) = self.progress.tasks()
        self.assertEqual(restored.checkpoint, "recorded")
        (start,) = self.start()
        self.assertEqual(start.checkpoint, "")


if __name__ == "__main__":
    unittest.main()
