"""Tests of runs that a late start begins for jobs that need none."""

import unittest

from redwingrudder.simulation import ProtocolWorkers
from redwingrudder.workflows.model import EndKind

from . import workflow_fixtures as fx
from .test_worker_table import KEY, entry
from .worker_table_case import WorkerTableCase

ROOM = {"cpu": 128_000, "memMb": 262_144, "gpu": 8}


class LateRunTests(WorkerTableCase):
    """A start is carried out by the next process of its worker.

    The start reaches this process before the first call of the new session,
    whose first report lists the run. The job was cancelled meanwhile.
    """

    term = 2

    @staticmethod
    def channels_type(clock):
        return ProtocolWorkers(clock, "w1")

    def setUp(self):
        super().setUp()
        self.w1 = self.channels.workers_by_id["w1"]
        self.register()
        self.run_for(0.5)
        progress = self.engine.accept(fx.workflow(), 0.0)
        self.task = progress.find(fx.key())
        (self.start,) = fx.starts(self.engine.plan(self.clock.seconds(), 0.0))
        self.w1.late = {"start"}
        self.workers.send(self.start)
        self.run_for(0.2)

    def register(self):
        born = self.w1.process.started_ms
        self.workers.set_entry(KEY, entry(capacity=ROOM, born=born))

    def accept_second_attempt(self):
        self.w1.late = set()
        self.run_for(1.0)
        self.assertEqual(self.task.state, "running")

    def cancel(self):
        self.engine.cancel("job", self.clock.seconds())
        self.run_for(2.0)
        self.assertEqual(self.task.state, "withdrawn")

    def restart(self):
        """Restart the worker, and let its new process carry out the start."""
        self.w1.restart()
        self.w1.late = set()
        self.w1.late_calls = self.w1.late_calls[:1]
        (reply,) = self.w1.carry_out_late_calls()
        self.assertTrue(reply.accepted)

    def assert_late_run_is_stopped(self):
        """Check that the run ends soon after the new process is known."""
        self.restart()
        self.assertIn(self.start.key, self.w1.process.runs_by_key)
        self.register()
        self.run_for(1.0)
        self.assertEqual(self.w1.process.runs_by_key, {})
        self.assertEqual(
            [(end.key, end.kind) for end in self.w1.process.ends],
            [(self.start.key, EndKind.STOPPED)],
        )

    def test_run_of_a_rejected_start_is_stopped(self):
        """Guards against a run whose start was settled before the cancel."""
        self.run_for(3.0)
        self.assertEqual(self.task.state, "waiting")
        self.cancel()
        self.assert_late_run_is_stopped()

    def test_run_of_a_start_that_was_cancelled_is_stopped(self):
        """Guards against a run whose start was in flight at the cancel."""
        self.cancel()
        self.assert_late_run_is_stopped()

    def test_run_that_ended_before_the_cancel_is_stopped(self):
        """Guards against a second run of a task that has failed once."""
        self.accept_second_attempt()
        self.w1.process.end(self.start.key, EndKind.FAILED)
        self.run_for(1.0)
        self.assertEqual(self.task.state, "waiting")
        self.cancel()
        self.assert_late_run_is_stopped()

    def test_run_that_was_stopped_by_the_cancel_is_stopped_again(self):
        """Guards against a run that goes on beside its acknowledged end."""
        self.accept_second_attempt()
        self.cancel()
        self.assert_late_run_is_stopped()

    def test_run_of_a_lapsed_lease_is_stopped(self):
        """Guards against a run that was given up before the cancel."""
        self.w1.silent = True
        self.run_for(20.0)
        self.assertEqual(self.task.state, "waiting")
        self.cancel()
        self.w1.silent = False
        self.assert_late_run_is_stopped()

    def test_run_of_a_job_that_is_done_is_stopped(self):
        """Guards against a second run of a task that is done."""
        self.accept_second_attempt()
        self.w1.process.end(self.start.key, EndKind.DONE)
        self.run_for(1.0)
        self.assertEqual(self.task.state, "done")
        self.assert_late_run_is_stopped()

    def test_run_of_a_job_that_is_forgotten_is_stopped(self):
        """Guards against a run that is nobody's."""
        self.cancel()
        self.engine.forget("job")
        self.assert_late_run_is_stopped()

    def test_run_of_a_job_that_is_cancelled_later_is_stopped(self):
        """Guards against a cancel that does not reach a late run."""
        self.run_for(3.0)
        self.restart()
        self.register()
        self.run_for(1.0)
        self.engine.cancel("job", self.clock.seconds())
        self.run_for(1.0)
        self.assertEqual(self.w1.process.runs_by_key, {})


if __name__ == "__main__":
    unittest.main()
