"""Tests of steps whose preferred workers are full of lasting tasks."""

import unittest

from redwingrudder.workflows.crashes import isolation_candidates
from redwingrudder.workflows.model import EndKind, RunEnd, WorkflowState
from redwingrudder.workflows.room import Room, find_room
from redwingrudder.workflows.state import SUSPECT_S

from . import workflow_fixtures as fx

STEP_S = 0.05
RUN_S = 2.0
FAILURE_S = 1.0
GREY_S = 6.5  # time for which a worker fails all runs


class Fleet:
    """Workers that end the engine's runs after a time.

    Attributes:
        engine: The engine under test.
        failing_until_by_id: Node-clock seconds until which a worker fails the
            runs that it begins.
        run_s_by_job: Run time of the tasks of each job, in seconds.
        now: Node-clock seconds.
        begun: Job, worker and time of each start.
    """

    def __init__(self, *workers):
        self.engine = fx.engine(*workers)
        self.failing_until_by_id = {}
        self.run_s_by_job = {}
        self.now = 0.0
        self.begun = []
        self._ends = []

    def accept(self, job, step, run_s=RUN_S, attempts=4, **options):
        self.run_s_by_job[job] = run_s
        workflow = fx.workflow(job, step, attempts=attempts, **options)
        # Run times are learned for each queue.
        self.engine.accept(workflow._replace(queue=f"queue {run_s:g}"), self.now)

    def run_for(self, seconds):
        end_s = self.now + seconds
        while self.now < end_s:
            effects = self.engine.plan(self.now, self.now)
            for start in fx.starts(effects):
                self._start(start)
            for stop in fx.stops([*effects, *self.engine.take_effects()]):
                self._end(stop, EndKind.STOPPED)
            self.now += STEP_S
            due = [end for end in self._ends if end[0] <= self.now]
            self._ends = [end for end in self._ends if end[0] > self.now]
            for _, start, kind in due:
                self._end(start, kind)

    def _start(self, start):
        job = start.key.workflow_id
        self.begun.append((job, start.worker_id, round(self.now, 2)))
        self.engine.start_confirmed(start.key, start.run, self.now)
        fails = self.now < self.failing_until_by_id.get(start.worker_id, 0.0)
        kind = EndKind.FAILED if fails else EndKind.DONE
        ends_at = self.now + (FAILURE_S if fails else self.run_s_by_job[job])
        self._ends.append((ends_at, start, kind))

    def _end(self, run, kind):
        if self.engine.current(run.key, run.run) is not None:
            end = RunEnd(len(self.begun), run.key, run.run, kind)
            self.engine.end(run.worker_id, end, self.now)

    def fill(self, worker_id, run_s, service=False):
        """Fill a worker with a job, for good if that is a service."""
        others = set(self.engine.workers_by_id) - {worker_id}
        for other in others:
            self.engine.workers_by_id[other].emptying = True
        job = f"filler of {worker_id}"
        self.accept(job, fx.step(1, fx.WHOLE_WORKER, service=service), run_s)
        self.run_for(STEP_S)
        for other in others:
            self.engine.workers_by_id[other].emptying = False
        return job

    def state(self, job="job"):
        return self.engine.workflows_by_id[job].state

    def starts(self, job="job"):
        return [(worker, at) for name, worker, at in self.begun if name == job]


class FailedTaskTests(unittest.TestCase):
    """A task fails on w2, the only idle worker; w1 is full."""

    def setUp(self):
        self.fleet = Fleet(fx.worker("w1"), fx.worker("w2"))

    def fill(self, run_s=1e9, service=False):
        filler = self.fleet.fill("w1", run_s, service)
        self.failed_at = self.fleet.now + FAILURE_S
        return filler

    def submit(self, failing_s=STEP_S, attempts=4):
        self.fleet.failing_until_by_id["w2"] = self.fleet.now + failing_s
        self.fleet.accept("job", fx.step(), attempts=attempts)

    def test_task_returns_to_the_only_worker_beside_lasting_tasks(self):
        """Guards against a task that waits for room that never comes."""
        self.fill(service=True)
        self.submit()
        self.fleet.run_for(5.0)
        self.assertIs(self.fleet.state(), WorkflowState.DONE)
        self.assertEqual([worker for worker, _ in self.fleet.starts()], ["w2", "w2"])

    def test_attempts_last_while_the_only_worker_fails_all_runs(self):
        """Guards against a job that fails as its attempts are used at once."""
        self.fill(service=True)
        self.submit(failing_s=GREY_S, attempts=3)
        self.fleet.run_for(15.0)
        self.assertIs(self.fleet.state(), WorkflowState.DONE)

    def test_worker_that_fails_all_runs_costs_two_attempts(self):
        """Guards against attempts that are spaced by quarantine only."""
        self.fill(service=True)
        self.submit(failing_s=GREY_S)
        self.fleet.run_for(15.0)
        self.assertIs(self.fleet.state(), WorkflowState.DONE)
        self.assertEqual(len(self.fleet.starts()), 3)

    def test_last_attempt_waits_until_the_only_worker_may_have_recovered(self):
        """Guards against a job whose second and last attempt fails at once."""
        self.fill(service=True)
        self.submit(failing_s=GREY_S, attempts=2)
        self.fleet.run_for(15.0)
        self.assertIs(self.fleet.state(), WorkflowState.DONE)

    def test_last_attempt_follows_a_success_of_another_job(self):
        """Guards against a wait for a worker that has proved sound."""
        self.fill(service=True)
        self.submit(attempts=2)
        self.fleet.run_for(FAILURE_S + 2 * STEP_S)
        self.fleet.accept("other", fx.step())
        self.fleet.run_for(2 * RUN_S + 1.0)
        self.assertIs(self.fleet.state(), WorkflowState.DONE)

    def test_task_waits_for_a_worker_that_becomes_free(self):
        """Guards against attempts on a failing worker beside a sound one."""
        self.fill(run_s=SUSPECT_S - 1.0)
        self.submit(failing_s=1e9, attempts=2)
        self.fleet.run_for(15.0)
        self.assertIs(self.fleet.state(), WorkflowState.DONE)
        self.assertEqual([worker for worker, _ in self.fleet.starts()], ["w2", "w1"])

    def test_wait_for_another_worker_has_a_limit(self):
        """Guards against a task that stands still beside an idle worker."""
        self.fill(run_s=100.0)
        self.submit()
        self.fleet.run_for(15.0)
        self.assertIs(self.fleet.state(), WorkflowState.DONE)
        (_, _), (worker, at) = self.fleet.starts()
        self.assertEqual(worker, "w2")
        self.assertAlmostEqual(at - self.failed_at, SUSPECT_S, delta=4 * STEP_S)

    def test_cancelled_lasting_job_makes_room(self):
        """Guards against an answer that outlives what it was based on."""
        filler = self.fill(service=True)
        self.submit(failing_s=1e9, attempts=3)
        self.fleet.run_for(3.0)
        self.fleet.engine.cancel(filler, self.fleet.now)
        self.fleet.run_for(4.0)
        self.assertIs(self.fleet.state(), WorkflowState.DONE)
        self.assertEqual(self.fleet.starts()[-1][0], "w1")

    def test_new_worker_makes_room(self):
        """Guards against a task that does not use a worker that joins."""
        self.fill(service=True)
        self.submit(failing_s=1e9, attempts=3)
        self.fleet.run_for(3.0)
        self.fleet.engine.set_worker(fx.worker("w3"), self.fleet.now)
        self.fleet.run_for(4.0)
        self.assertIs(self.fleet.state(), WorkflowState.DONE)
        self.assertEqual(self.fleet.starts()[-1][0], "w3")


class SlowWorkerTests(unittest.TestCase):
    def test_slow_worker_is_used_beside_lasting_tasks(self):
        """Guards against a task that waits for room on workers of full speed.

        The only worker with room has become slow.
        """
        fleet = Fleet(fx.worker("w1"), fx.worker("w2"))
        fleet.fill("w1", 1e9, service=True)
        fleet.engine.workers_by_id["w2"].speed = 0.1
        fleet.accept("job", fx.step())
        fleet.run_for(5.0)
        self.assertIs(fleet.state(), WorkflowState.DONE)


class GangTests(unittest.TestCase):
    """A gang needs three of the four halves of a rack of two workers."""

    def setUp(self):
        self.fleet = Fleet(
            *(
                fx.worker(f"w{index}", rack=f"r{index % 2}", process_started_ms=1)
                for index in range(4)
            )
        )
        self.step = fx.step(3, fx.HALF_WORKER, gang=True, same_rack=True)

    def fill_racks(self, service, run_s=1e9):
        for worker_id in ("w0", "w1"):
            self.fleet.fill(worker_id, run_s, service)

    def test_gang_runs_across_racks_beside_lasting_tasks(self):
        """Guards against a gang that waits for a rack that never empties."""
        self.fill_racks(service=True)
        self.fleet.accept("job", self.step)
        self.fleet.run_for(5.0)
        self.assertIs(self.fleet.state(), WorkflowState.DONE)
        racks = {int(worker[1:]) % 2 for worker, _ in self.fleet.starts()}
        self.assertEqual(racks, {0, 1})

    def test_gang_waits_for_a_rack_that_empties(self):
        """Guards against a slow run across racks for want of a short wait."""
        self.fill_racks(service=False, run_s=3.0)
        self.fleet.accept("job", self.step)
        self.fleet.run_for(8.0)
        self.assertIs(self.fleet.state(), WorkflowState.DONE)
        racks = {int(worker[1:]) % 2 for worker, _ in self.fleet.starts()}
        self.assertEqual(len(racks), 1)

    def test_gang_does_not_wait_near_its_data_beside_lasting_tasks(self):
        """Guards against a wait for a data rack that never empties."""
        self.fill_racks(service=True)
        step = self.step._replace(same_rack=False, data_rack="r0")
        self.fleet.accept("job", step)
        self.fleet.run_for(1.0)
        self.assertEqual(len(self.fleet.starts()), 3)

    def test_gang_without_room_reserves_none(self):
        """Guards against room that is kept for a gang that cannot start."""
        self.fill_racks(service=True)
        wide = fx.step(5, fx.HALF_WORKER, gang=True)
        self.fleet.accept("wide", wide)
        self.fleet.accept("job", fx.step(1, fx.WHOLE_WORKER))
        self.fleet.run_for(1.0)
        self.assertEqual(len(self.fleet.starts()), 1)


class RoomTests(unittest.TestCase):
    """What the three askers have in common."""

    def setUp(self):
        self.fleet = Fleet(fx.worker("w1"), fx.worker("w2"))
        self.fleet.accept("job", fx.step(2, fx.WHOLE_WORKER))
        self.stage = self.fleet.engine.workflows_by_id["job"].occurrences[0].stages[0]
        self.workers = list(self.fleet.engine.workers_by_id.values())

    def room(self, count=1):
        return find_room(self.stage, count, self.workers[:1])

    def fill(self, **changes):
        self.fleet.engine.workflows_by_id.pop("job")
        return self.fleet.fill("w1", 1e9, **changes)

    def test_idle_worker(self):
        """Guards against a wait beside idle capacity."""
        self.assertIs(self.room(), Room.NOW)
        self.assertIs(self.room(2), Room.NEVER)

    def test_run_that_ends(self):
        """Guards against runs that count as staying for ever."""
        self.fill()
        self.assertIs(self.room(), Room.LATER)

    def test_lasting_run(self):
        """Guards against a wait for the end of a lasting run."""
        filler = self.fill(service=True)
        self.assertIs(self.room(), Room.NEVER)
        self.fleet.engine.cancel(filler, self.fleet.now)
        self.assertIs(self.room(), Room.LATER)
        self.fleet.run_for(2 * STEP_S)
        self.assertIs(self.room(), Room.NOW)

    def test_suspect_is_not_kept_for_a_worker_that_stays_full(self):
        """Guards against a suspected task that waits in vain.

        w2 has crashed recently, and w1 is full of lasting tasks.
        """
        self.fill(service=True)
        self.fleet.run_for(1.0)
        w1, w2 = self.workers
        w2.crashed_at = self.stage.crashed_at = self.fleet.now
        found = isolation_candidates([w1, w2], self.stage, 1, {"w1"}, self.fleet.now)
        self.assertEqual(found, [w2])


if __name__ == "__main__":
    unittest.main()
