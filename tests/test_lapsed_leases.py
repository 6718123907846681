"""Load pattern: workers are cut off just after they have started a task.

Such a worker is silent until its lease has lapsed, and then answers again as
the same process. Nothing has crashed, so nothing speaks against the task.
"""

import heapq
import itertools
import math
import unittest

from redwingrudder.workflows.model import WorkflowState

from . import workflow_fixtures as fx
from .test_crashing_tasks import LEASE_S, MAX_CRASHES, STEP_S, CrashingFleet

CUT_S = 2 * LEASE_S
RECOVERY_S = 60.0


def lapse(engine, worker_id, now=6.0):
    """Let the lease of a worker lapse that has fallen silent."""
    engine.worker_lost(worker_id, now)
    engine.interrupt_worker(worker_id, now, "lease_lapsed")


class CutFleet(CrashingFleet):
    """Workers that may also be cut off and come back as the same process."""

    def cut(self, *worker_ids, cut_s=CUT_S):
        """Let workers fall silent; their runs end with their leases."""
        for worker_id in worker_ids:
            for key in self._running_by_worker.pop(worker_id, {}):
                if self.engine.find(key).stage.spec.gang:
                    self._break_gang(key)
            heapq.heappush(self._returns, (self.now + cut_s, worker_id))
            self._lapses.append((self.now + LEASE_S, worker_id))

    def workers_of(self, workflow_id):
        """Return the workers that run a job."""
        return [
            worker_id
            for worker_id, runs in self._running_by_worker.items()
            if any(key.workflow_id == workflow_id for key in runs)
        ]

    def hit_after_starts(self, workflow_id, count, disruption, delay_s=0.1):
        """Disturb a worker shortly after each of the next starts of a job."""
        for _ in range(count):
            self.run_until_started(workflow_id)
            self.run_until(self.now + delay_s)
            disruption(*self.workers_of(workflow_id)[:1])
            self.run_until(self.now + STEP_S)


class CutWorkerTests(unittest.TestCase):
    def test_sound_job_on_workers_that_are_cut_off_is_done(self):
        """Guards against giving up a job whose runs have only lapsed."""
        steps = (fx.step(1), fx.step(3, gang=True))
        cases = itertools.product((1, 2, 12, 40), steps, (3, 4, 6))
        for workers, step, hits in cases:
            with self.subTest(workers=workers, gang=step.gang, hits=hits):
                fleet = CutFleet(workers)
                fleet.accept("sound", step)
                fleet.hit_after_starts("sound", hits, fleet.cut)
                fleet.run_until(fleet.now + RECOVERY_S)
                self.assertEqual(fleet.state("sound"), WorkflowState.DONE)

    def test_cuts_do_not_add_to_a_crash(self):
        """Guards against two crashes that a lapse makes conclusive."""
        fleet = CutFleet()
        fleet.accept("sound", fx.step(1))
        fleet.hit_after_starts("sound", 1, fleet.crash)
        fleet.hit_after_starts("sound", 3, fleet.cut)
        fleet.hit_after_starts("sound", 1, fleet.crash)
        fleet.run_until(fleet.now + RECOVERY_S)
        self.assertEqual(fleet.state("sound"), WorkflowState.DONE)

    def test_answer_withdraws_the_evidence(self):
        """Guards against a task that stays suspected of a lapse."""
        fleet = CutFleet(1)
        fleet.accept("sound", fx.step(1))
        fleet.hit_after_starts("sound", 1, fleet.cut)
        (task,) = fleet.engine.workflows_by_id["sound"].tasks()
        fleet.run_until(LEASE_S + 1.0)
        self.assertEqual(task.suspicion, "suspected")
        self.assertEqual(len(task.crash_evidence_by_run), 1)
        fleet.run_until(CUT_S + 0.7)
        self.assertEqual(task.suspicion, "clear")
        self.assertEqual(task.crash_evidence_by_run, {})

    def test_late_answer_to_an_earlier_poll_withdraws_nothing(self):
        """Guards against a crash that an answer from before it hides."""
        engine = fx.engine(fx.worker("w1", process_started_ms=5))
        progress = engine.accept(fx.workflow("job"), 0.0)
        fx.confirm(engine, fx.starts(engine.plan(0.0, 0.0)))
        lapse(engine, "w1")
        engine.report("w1", [], 6.5, polled_at=0.1)
        engine.plan(6.5, 6.5)
        (task,) = progress.tasks()
        self.assertEqual(len(task.crash_evidence_by_run), 1)

    def test_harmless_run_withdraws_the_evidence(self):
        """Guards against lapses that count although the task has gone on."""
        engine = fx.engine(fx.worker("w1"), fx.worker("w2"))
        progress = engine.accept(fx.workflow("job"), 0.0)
        (start,) = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, [start], 0.0)
        lapse(engine, start.worker_id)
        (start,) = fx.starts(engine.plan(8.5, 8.5))
        fx.confirm(engine, [start], 8.5)
        (task,) = progress.tasks()
        self.assertEqual(len(task.crash_evidence_by_run), 1)
        engine.report(start.worker_id, [fx.running(start)], 9.5)
        self.assertEqual(task.suspicion, "clear")
        self.assertEqual(task.crash_evidence_by_run, {})

    def test_answer_withdraws_what_the_lapse_said_of_a_crash(self):
        """Guards against late crashes that a lapse under the run backdates.

        One member of a gang has gone on for long when its worker crashes.
        """
        engine = fx.engine(fx.worker("w1"), fx.worker("w2", address="10.0.0.2:1"))
        step = fx.step(2, fx.WHOLE_WORKER, gang=True)
        (task, _) = engine.accept(fx.workflow("gang", step), 0.0).tasks()
        first, second = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, [first, second])
        engine.report(second.worker_id, [fx.running(second)], 3.0)
        engine.worker_restarted(second.worker_id, 4.0)
        lapse(engine, first.worker_id)
        engine.report(first.worker_id, [], 9.0)
        engine.plan(9.0, 9.0)
        (evidence,) = task.crash_evidence_by_run.values()
        self.assertTrue(evidence.certain)
        self.assertFalse(evidence.suspect or evidence.alone)

    def test_lapse_withdrawn_by_a_later_coordinator(self):
        """Guards against evidence that a successor can't take back."""
        fleet = CutFleet()
        fleet.accept("sound", fx.step(1))
        for _ in range(4):
            fleet.hit_after_starts("sound", 1, fleet.cut)
            fleet.run_until(fleet.now + LEASE_S + 0.2)
            fleet.replace_coordinator()
        fleet.run_until(fleet.now + RECOVERY_S)
        self.assertEqual(fleet.state("sound"), WorkflowState.DONE)

    def test_entry_of_an_earlier_process_is_no_crash(self):
        """Guards against a successor that takes an old entry for a restart."""
        engine = fx.engine(fx.worker("w1", process_started_ms=5))
        progress = engine.accept(fx.workflow("job"), 0.0)
        silent = [0, 0, 0, 1, "w1", "10.0.0.1:2", 9, True, True, True]
        fx.restore(progress, silent_workers=[silent], runs=[[0, 0, 0, 1]])
        (task,) = progress.tasks()
        engine.plan(0.0, 0.0)
        (evidence,) = task.crash_evidence_by_run.values()
        self.assertFalse(evidence.certain)
        engine.set_worker(fx.worker("w1", process_started_ms=9), 1.0)
        engine.report("w1", [], 1.5)
        engine.plan(2.0, 2.0)
        self.assertEqual(task.crash_evidence_by_run, {})

    def test_process_of_a_clock_that_was_set_back_is_a_crash(self):
        """Guards against a restart that the start times don't show."""
        engine = fx.engine(fx.worker("w1", process_started_ms=9))
        progress = engine.accept(fx.workflow("job"), 0.0)
        fx.confirm(engine, fx.starts(engine.plan(0.0, 0.0)))
        lapse(engine, "w1")
        engine.set_worker(fx.worker("w1", process_started_ms=5), 7.0)
        engine.report("w1", [], 7.5)
        engine.plan(7.5, 7.5)
        (task,) = progress.tasks()
        (evidence,) = task.crash_evidence_by_run.values()
        self.assertTrue(evidence.certain)

    def test_unconfirmed_crashes_of_an_earlier_release_prove_nothing(self):
        """Guards against records in which lapses look like crashes."""
        engine = fx.engine(fx.worker("w1"))
        progress = engine.accept(fx.workflow("old"), 0)
        fx.restore(
            progress,
            crashed_runs=[[0, 0, 0, 1, False, True], [0, 0, 0, 2, False, True, False]],
            runs=[[0, 0, 0, 2]],
        )
        fx.confirm(engine, fx.starts(engine.plan(1.0, 1.0)), 1.0)
        engine.worker_restarted("w1", 1.1)
        engine.interrupt_worker("w1", 1.1, "crashed")
        engine.plan(20.0, 20.0)
        self.assertEqual(progress.state, WorkflowState.RUNNING)


class CrashedWorkerTests(unittest.TestCase):
    """A silent worker that has crashed is counted once that is known."""

    def check_given_up(self, fleet, limit_s=300.0):
        fleet.run_until(limit_s)
        self.assertEqual(fleet.state("deadly"), WorkflowState.FAILED)
        self.assertLessEqual(max(fleet.crashes_by_key.values()), MAX_CRASHES)

    def test_workers_that_stay_away_for_long(self):
        """Guards against starts that go on before crashes are known."""
        for return_s, gang in itertools.product((9.0, 20.0, 45.0), (False, True)):
            with self.subTest(return_s=return_s, gang=gang):
                fleet = CutFleet(15, return_s)
                fleet.accept("deadly", fx.step(2, gang=gang), deadly=[0])
                self.check_given_up(fleet)

    def test_changes_of_the_coordinator_before_workers_return(self):
        """Guards against lapses that are forgotten or counted twice."""
        fleet = CutFleet(return_s=2 * LEASE_S)
        fleet.accept("deadly", fx.step(1), deadly=[0])
        for _ in range(6):
            fleet.run_until(fleet.now + LEASE_S + 1.0)
            fleet.replace_coordinator()
        self.check_given_up(fleet)

    def test_worker_that_returns_under_another_id(self):
        """Guards against crashes of workers whose former ids are gone."""
        engine = fx.engine(fx.worker("old", process_started_ms=5))
        progress = engine.accept(fx.workflow("job"), 0.0)
        fx.confirm(engine, fx.starts(engine.plan(0.0, 0.0)))
        engine.remove_worker("old", 6.0, "gone")
        engine.set_worker(fx.worker("new", process_started_ms=9), 8.0)
        (task,) = progress.tasks()
        engine.plan(8.0, 8.0)
        (evidence,) = task.crash_evidence_by_run.values()
        self.assertFalse(evidence.certain)
        engine.report("new", [], 8.5)
        engine.plan(8.5, 8.5)
        (evidence,) = task.crash_evidence_by_run.values()
        self.assertTrue(evidence.certain and evidence.confirmed)

    def test_limit_of_silent_workers_has_an_end(self):
        """Guards against a job that waits for workers that are gone."""
        fleet = CutFleet(40)
        fleet.accept("sound", fx.step(1))

        def lose(worker_id):
            fleet.cut(worker_id, cut_s=math.inf)

        fleet.hit_after_starts("sound", MAX_CRASHES, lose)
        fleet.run_until(fleet.now + RECOVERY_S)
        self.assertEqual(fleet.workers_of("sound"), [])
        fleet.run_until(fleet.now + RECOVERY_S)
        self.assertEqual(fleet.state("sound"), WorkflowState.DONE)


if __name__ == "__main__":
    unittest.main()
