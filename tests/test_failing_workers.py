"""Load pattern: from one moment on, a part of the workers fails all new runs.

Runs that such a worker has started before go on. A simulation of workers on a
virtual clock drives the real engine.
"""

import heapq
import itertools
import random
import unittest

from redwingrudder.workflows.model import EndKind, RunEnd, WorkflowState
from redwingrudder.workflows.planner import SOUND_WORKER_WAIT_S

from . import workflow_fixtures as fx

STEP_S = 0.05
FAILURE_S = 0.15
RUN_S = 2.0
FAULT_AT_S = 4.0
BURSTS = 15
BURST_JOBS = 4


class Fleet:
    """Workers that end the engine's runs after a time.

    Attributes:
        engine: The engine under test.
        failing_ids: Workers that fail each run that starts after
            ``FAULT_AT_S``.
        now: Node-clock seconds.
    """

    def __init__(self, workers, failing_share, seed):
        ids = [f"w{index}" for index in range(workers)]
        self.engine = fx.engine(*(fx.worker(worker_id) for worker_id in ids))
        count = round(failing_share * workers)
        self.failing_ids = set(random.Random(seed).sample(ids, count))
        self.now = 0.0
        self._ends = []
        self._numbers = itertools.count(1)

    def accept(self, workflow):
        self.engine.accept(workflow, self.now)

    def run_until(self, end_s):
        while self.now < end_s:
            self._report_ends()
            for start in fx.starts(self.engine.plan(self.now, self.now)):
                self._start(start)
            self.now += STEP_S

    def _start(self, start):
        self.engine.start_confirmed(start.key, start.run, self.now)
        fails = start.worker_id in self.failing_ids and self.now >= FAULT_AT_S
        kind = EndKind.FAILED if fails else EndKind.DONE
        end = RunEnd(next(self._numbers), start.key, start.run, kind)
        at = self.now + (FAILURE_S if fails else RUN_S)
        heapq.heappush(self._ends, (at, end.number, start.worker_id, end))

    def _report_ends(self):
        while self._ends and self._ends[0][0] <= self.now:
            _, _, worker_id, end = heapq.heappop(self._ends)
            if self.engine.current(end.key, end.run) is not None:
                self.engine.end(worker_id, end, self.now)
        for effect in fx.stops(self.engine.take_effects()):
            number = next(self._numbers)
            stopped = RunEnd(number, effect.key, effect.run, EndKind.STOPPED)
            heapq.heappush(
                self._ends, (self.now + STEP_S, number, effect.worker_id, stopped)
            )

    def states(self):
        return [p.state for p in self.engine.workflows_by_id.values()]


class FailingWorkersTests(unittest.TestCase):
    def failed_share(self, **step_changes):
        """Return the share of jobs that fail around the fault."""
        failed = total = 0
        for seed in range(5):
            fleet = Fleet(60, 0.15, seed)
            for index in range(BURSTS * BURST_JOBS):
                if index % BURST_JOBS == 0:
                    fleet.run_until(2.0 + 0.4 * index / BURST_JOBS)
                step = fx.step(5, fx.HALF_WORKER, **step_changes)
                fleet.accept(fx.workflow(f"job{index}", step))
            fleet.run_until(20.0)
            states = fleet.states()
            failed += states.count(WorkflowState.FAILED)
            total += len(states)
            self.assertEqual(set(states) - {"done", "failed"}, set())
        return failed / total

    def test_single_tasks_have_a_sound_second_attempt(self):
        """Guards against last attempts that are used up on failing workers."""
        self.assertEqual(self.failed_share(), 0.0)

    def test_gangs_have_a_sound_second_attempt(self):
        """Guards against gangs that fail twice since one member did."""
        self.assertEqual(self.failed_share(gang=True), 0.0)


class LastAttemptTests(unittest.TestCase):
    """Two of four workers have failed runs; the others have run nothing."""

    def setUp(self):
        self.engine = fx.engine(*(fx.worker(f"w{index}") for index in range(4)))
        self.engine.accept(fx.workflow("job", fx.step(2, fx.WHOLE_WORKER)), 0.0)
        starts = fx.starts(self.engine.plan(0.0, 0.0))
        fx.confirm(self.engine, starts)
        for start in starts:
            self.engine.end(start.worker_id, fx.ended(start, EndKind.FAILED), 0.1)

    def retried(self, now):
        return [
            start.worker_id
            for start in fx.starts(self.engine.plan(now, now))
            if start.key.workflow_id == "job"
        ]

    def test_last_attempt_waits_for_a_worker_that_proved_sound(self):
        """Guards against a last attempt on a worker that began to fail too."""
        self.assertEqual(self.retried(0.2), [])
        other = fx.workflow("other", fx.step(2, fx.HALF_WORKER, worker_limit=1))
        self.engine.accept(other, 0.2)
        starts = fx.starts(self.engine.plan(0.2, 0.2))
        fx.confirm(self.engine, starts, 0.2)
        self.assertEqual(self.retried(0.3), [])
        for start in starts:
            self.engine.end(start.worker_id, fx.ended(start), 0.4)
        used = {start.worker_id for start in starts}
        self.assertEqual(set(self.retried(0.5)), used)

    def test_worker_limit_holds_for_new_and_repeated_tasks_together(self):
        """Guards against two tasks of a step on a worker that may have one.

        Some tasks of the step have failed runs, and others have none yet.
        """
        engine = fx.engine(*(fx.worker(f"w{index}") for index in range(4)))
        # Urgent work occupies two workers, and once more after the failures.
        for now, name in ((0.0, "before"), (0.2, "proof")):
            urgent = fx.step(2, fx.WHOLE_WORKER)
            engine.accept(fx.workflow(name, urgent, priority=0), now)
            if name == "before":
                engine.accept(fx.workflow("job", fx.step(4, worker_limit=1)), now)
            begun = fx.starts(engine.plan(now, now))
            fx.confirm(engine, begun, now)
            for start in begun:
                if start.key.workflow_id == "job":
                    failed = fx.ended(start, EndKind.FAILED)
                    engine.end(start.worker_id, failed, now + 0.1)
                else:
                    engine.end(start.worker_id, fx.ended(start), now + 0.1)
        again = fx.starts(engine.plan(0.4, 0.4))
        used = [s.worker_id for s in again if s.key.workflow_id == "job"]
        self.assertEqual(len(used), 2)
        self.assertEqual(len(set(used)), 2)

    def test_last_attempt_does_not_wait_for_long(self):
        """Guards against a task that never starts again."""
        self.assertEqual(self.retried(0.1 + SOUND_WORKER_WAIT_S - 0.1), [])
        self.assertEqual(len(self.retried(0.1 + SOUND_WORKER_WAIT_S)), 2)

    def test_stopped_run_has_proved_its_worker_sound(self):
        """Guards against preemption on one worker after the other.

        The run that proved the worker sound is stopped for the step.
        """
        engine = fx.engine(fx.worker("w1"))
        engine.accept(fx.workflow("job", fx.step(1)), 0.0)
        start = fx.starts(engine.plan(0.0, 0.0))[0]
        fx.confirm(engine, [start])
        worker = engine.workers_by_id["w1"]
        self.assertFalse(worker.has_proved_sound(0.0, 0.1))
        self.assertTrue(worker.has_proved_sound(0.0, 1.0))
        engine.cancel("job", 1.0)
        self.assertTrue(worker.has_proved_sound(0.0, 1.1))

    def test_older_run_does_not_weaken_the_proof(self):
        """Guards against forgetting a newer run that has ended well."""
        engine = fx.engine(fx.worker("w1"))
        engine.accept(fx.workflow("old", fx.step(1)), 0.0)
        fx.confirm(engine, engine.plan(0.0, 0.0))
        engine.accept(fx.workflow("new", fx.step(1)), 2.0)
        new = fx.starts(engine.plan(2.0, 2.0))[0]
        fx.confirm(engine, [new], 2.0)
        engine.end("w1", fx.ended(new), 2.1)
        worker = engine.workers_by_id["w1"]
        self.assertFalse(worker.has_proved_sound(3.0, 4.0))
        self.assertTrue(worker.has_proved_sound(2.0, 4.0))

    def test_restarted_worker_has_proved_nothing(self):
        """Guards against trusting a new process for runs of the last one."""
        engine = fx.engine(fx.worker("w1"))
        engine.accept(fx.workflow("job", fx.step(1)), 1.0)
        start = fx.starts(engine.plan(1.0, 1.0))[0]
        fx.confirm(engine, [start], 1.0)
        engine.end("w1", fx.ended(start), 1.5)
        worker = engine.workers_by_id["w1"]
        self.assertTrue(worker.has_proved_sound(1.0, 2.0))
        engine.set_worker(fx.worker("w1", process_started_ms=2), 2.0)
        self.assertFalse(worker.has_proved_sound(1.0, 3.0))

    def test_success_of_an_earlier_run_proves_nothing(self):
        """Guards against taking a worker for sound since old runs end well."""
        engine = fx.engine(fx.worker("w1"))
        engine.accept(fx.workflow("old", fx.step(1)), 0.0)
        old = fx.starts(engine.plan(0.0, 0.0))[0]
        fx.confirm(engine, [old])
        engine.accept(fx.workflow("new", fx.step(1)), 1.0)
        new = fx.starts(engine.plan(1.0, 1.0))[0]
        fx.confirm(engine, [new], 1.0)
        engine.end("w1", fx.ended(new, EndKind.FAILED, 1), 1.1)
        engine.end("w1", fx.ended(old, EndKind.DONE, 2), 1.2)
        self.assertTrue(engine.workers_by_id["w1"].is_suspect(1.3))


if __name__ == "__main__":
    unittest.main()
