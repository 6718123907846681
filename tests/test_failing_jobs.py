"""Sound work beside jobs whose tasks all fail, and workers that fail."""

import unittest

from redwingrudder.workflows.model import EndKind, WorkflowState

from . import workflow_fixtures as fx
from .test_lasting_neighbours import STEP_S, Fleet

FAILURE_S = 0.15
BAD_JOBS_FOR_S = 1.0
# Longest time for which a sound task may wait beside idle workers.
WAIT_S = 3.0
DONE_WITHIN_S = 40.0
ATTEMPTS = 3


class FailingJobsFleet(Fleet):
    """Workers on which all runs of the jobs named "bad..." fail."""

    def __init__(self, workers):
        super().__init__(*(fx.worker(f"w{index}") for index in range(workers)))

    def _start(self, start):
        super()._start(start)
        _, _, kind = self._ends[-1]
        if start.key.workflow_id.startswith("bad") or kind is EndKind.FAILED:
            self._ends[-1] = self.now + FAILURE_S, start, EndKind.FAILED

    def longest_wait(self, seconds):
        """Run for a time, and return how long the sound job waits in vain.

        Returns:
            Longest time in seconds for which the job has no run while under
            half of the fleet is in use.
        """
        workers = self.engine.workers_by_id.values()
        longest = wait_s = 0.0
        for _ in range(round(seconds / STEP_S)):
            self.run_for(STEP_S)
            used = sum(worker.used.accelerators for worker in workers)
            room = sum(worker.facts.capacity.accelerators for worker in workers)
            progress = self.engine.workflows_by_id["job"]
            needs_run = progress.ended_at is None and not any(
                task.placed for task in progress.tasks()
            )
            wait_s = wait_s + STEP_S if needs_run and used < room / 2 else 0.0
            longest = max(longest, wait_s)
        return longest

    def rested(self):
        """Return the ids of the workers that get no new runs for a while."""
        return {
            worker_id
            for worker_id, worker in self.engine.workers_by_id.items()
            if worker.quarantined_until > self.now
        }


class FailingJobsTests(unittest.TestCase):
    def assert_sound_job_is_done(self, workers, jobs, tasks):
        fleet = FailingJobsFleet(workers)
        for index in range(jobs):
            fleet.accept(f"bad{index}", fx.step(tasks), attempts=ATTEMPTS)
        fleet.run_for(BAD_JOBS_FOR_S)
        fleet.accept("job", fx.step(4))
        self.assertLess(fleet.longest_wait(DONE_WITHIN_S), WAIT_S)
        self.assertIs(fleet.state(), WorkflowState.DONE)
        return fleet

    def test_one_bad_job_rests_no_worker(self):
        """Guards against an idle fleet that rests for one job that fails."""
        for workers in (1, 2, 4, 12):
            with self.subTest(workers=workers):
                fleet = self.assert_sound_job_is_done(workers, 1, 8 * workers)
                self.assertEqual(fleet.rested(), set())

    def test_many_bad_jobs_leave_room_for_sound_ones(self):
        """Guards against an idle fleet that rests for many jobs that fail."""
        for workers in (2, 4, 12):
            for jobs in (2, 30, 100, 300):
                with self.subTest(workers=workers, jobs=jobs):
                    self.assert_sound_job_is_done(workers, jobs, 1)


class FailingWorkerTests(unittest.TestCase):
    """w0 fails all runs that it begins."""

    def setUp(self):
        self.fleet = FailingJobsFleet(4)
        self.fleet.failing_until_by_id["w0"] = 1e9

    def test_failures_of_two_jobs_rest_a_worker(self):
        """Guards against a failing worker that goes on to get new runs."""
        for index in range(8):
            self.fleet.accept(f"job{index}", fx.step(4))
        self.fleet.run_for(1.0 + 2 * STEP_S)
        self.assertEqual(self.fleet.rested(), {"w0"})
        begun = [at for _, worker, at in self.fleet.begun if worker == "w0"]
        self.assertEqual(max(begun), 0.0)
        self.fleet.run_for(10.0)
        self.assertEqual(
            {self.fleet.state(f"job{index}") for index in range(8)},
            {WorkflowState.DONE},
        )

    def test_failing_worker_costs_a_task_one_attempt(self):
        """Guards against attempts of one job that are burnt on one worker."""
        self.fleet.accept("job", fx.step(32), attempts=2)
        self.fleet.run_for(10.0)
        self.assertIs(self.fleet.state(), WorkflowState.DONE)
        on_w0 = [at for _, worker, at in self.fleet.begun if worker == "w0"]
        self.assertEqual(set(on_w0), {0.0})


class OnlyWorkerTests(unittest.TestCase):
    """The only worker of a pool fails all runs for a while."""

    def test_attempts_of_a_job_are_spaced(self):
        """Guards against a job that fails as its attempts are used at once."""
        for tasks in (1, 4):
            with self.subTest(tasks=tasks):
                fleet = FailingJobsFleet(1)
                fleet.failing_until_by_id["w0"] = 6.5
                fleet.accept("job", fx.step(tasks), attempts=4)
                fleet.run_for(20.0)
                self.assertIs(fleet.state(), WorkflowState.DONE)

    def test_bad_job_is_spaced_beside_sound_ones(self):
        """Guards against a worker that is kept busy with runs that fail."""
        fleet = FailingJobsFleet(1)
        fleet.accept("bad", fx.step(), attempts=4)
        fleet.run_for(1.5)
        fleet.accept("job", fx.step(4, estimate_s=1.0))
        fleet.run_for(1.0)
        begun = [at for job, _, at in fleet.begun if job == "bad"]
        self.assertEqual(len(begun), 2)
        self.assertEqual(len(fleet.starts()), 4)


if __name__ == "__main__":
    unittest.main()
