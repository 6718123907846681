"""Tests of schedules in which jobs wait for room, and of their invariant."""

import logging
import math
import time
import unittest

from redwingrudder.simulation import (
    PROFILES_BY_NAME,
    AcknowledgedEnd,
    Disruption,
    History,
    JobOutcome,
    NoWaitBesideIdleWorkers,
    RunInterval,
    Wait,
    find_violations,
    play_schedule,
)
from redwingrudder.workflows.model import EndKind, Resources, RunEnd, WorkflowState

from . import workflow_fixtures as fx

FIRST_SEED = 1
SEEDS = 60
TIME_LIMIT_S = 12.0
HALF = Resources(64_000, 131_072, 4)
LONG_S = 100.0
WORKER_IDS = ("w1", "w2", "w3", "w4")


class SeedTests(unittest.TestCase):
    def test_no_job_waits_beside_idle_workers(self):
        """Guards against reasons to wait that have no end of their own."""
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)
        profile = PROFILES_BY_NAME["waiting"]
        began = time.monotonic()
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            if time.monotonic() - began > TIME_LIMIT_S:
                print(f"schedules stopped before seed {seed} of {SEEDS}")
                break
            history = play_schedule(profile.draw(seed))
            self.assertTrue(history.runs)
            with self.subTest(seed=seed):
                self.assertEqual(list(map(str, find_violations(history))), [])


class InvariantTests(unittest.TestCase):
    """A job of two tasks, each of half a worker, beside another job."""

    def job(self, workflow_id="job", tasks=2, run_s=2.0, ended_at=None, **changes):
        state = WorkflowState.RUNNING if ended_at is None else WorkflowState.DONE
        outcome = JobOutcome(workflow_id, 1.0, state, ended_at)
        changes = {"tasks_by_step": (tasks,), "demand": HALF, **changes}
        return outcome._replace(run_s=run_s, **changes)

    def run_of(self, workflow_id, worker_id, begin, end=math.inf, index=0):
        key = fx.key(workflow_id, index=index)
        return RunInterval(key, 1, worker_id, begin, end)

    def waits(self, *jobs, runs=(), ended_at=20.0, **changes):
        """Return the waits in a history that break the invariant."""
        done = tuple(
            AcknowledgedEnd(
                RunEnd(1, run.key, run.run, EndKind.DONE), "w1", run.end, False, run
            )
            for run in runs
            if run.end < ended_at
        )
        history = History(
            runs=tuple(runs),
            jobs=jobs,
            acknowledged=done,
            ended_at=ended_at,
            worker_ids=WORKER_IDS,
            **changes,
        )
        violations = NoWaitBesideIdleWorkers().violations(history)
        return [wait for violation in violations for wait in violation.runs]

    def fill(self, *worker_ids):
        """Return runs of a job of half workers that fill workers."""
        return [
            self.run_of("other", worker_id, 0.0, index=2 * number + half)
            for number, worker_id in enumerate(worker_ids)
            for half in range(2)
        ]

    def other(self):
        return self.job("other", 8, LONG_S)

    def test_job_without_a_run_is_found(self):
        """Guards against a check that excuses each wait."""
        self.assertEqual(self.waits(self.job()), [Wait("job", 1.0, 20.0)])

    def test_short_wait_is_none(self):
        """Guards against findings within the limit."""
        run = self.run_of("job", "w1", 4.0)
        self.assertEqual(self.waits(self.job(), runs=[run]), [])
        run = self.run_of("job", "w1", 4.1)
        self.assertEqual(self.waits(self.job(), runs=[run]), [Wait("job", 1.0, 4.1)])

    def test_wait_between_two_tasks_is_found(self):
        """Guards against jobs that count as at work after their first run."""
        runs = [
            self.run_of("job", "w1", 2.0, 4.0),
            self.run_of("job", "w1", 9.0, 11.0, index=1),
        ]
        job = self.job(ended_at=11.1)
        self.assertEqual(self.waits(job, runs=runs), [Wait("job", 4.0, 9.0)])

    def test_job_that_is_done_does_not_wait(self):
        """Guards against findings between the last run and its record."""
        runs = [self.run_of("job", "w1", 2.0, 4.0, index) for index in range(2)]
        self.assertEqual(self.waits(self.job(ended_at=9.0), runs=runs), [])

    def test_pool_in_use_excuses_a_wait(self):
        """Guards against findings on a fleet of which a half is in use."""
        runs = self.fill("w1", "w2")
        self.assertEqual(self.waits(self.job(), self.other(), runs=runs), [])
        runs = self.fill("w1")
        self.assertEqual(len(self.waits(self.job(), self.other(), runs=runs)), 1)

    def test_pool_without_accelerators_excuses_a_wait(self):
        """Guards against findings on a fleet whose accelerators are in use."""
        accelerators = HALF._replace(cpu_millis=1_000, memory_mb=1_000)
        other = self.other()._replace(demand=accelerators)
        runs = self.fill("w1", "w2")
        self.assertEqual(self.waits(self.job(), other, runs=runs), [])

    def test_gang_needs_room_twice_over(self):
        """Guards against findings about gangs that fit only once."""
        gang = self.job(tasks=4, gang=True)
        self.assertEqual(len(self.waits(gang)), 1)
        runs = self.fill("w1")
        self.assertEqual(self.waits(gang, self.other(), runs=runs), [])

    def test_disruption_excuses_a_wait(self):
        """Guards against findings about a fleet that is disturbed."""
        disruption = Disruption("takeover", "", 3.0, 14.0)
        waits = self.waits(self.job(), disruptions=(disruption,))
        self.assertEqual(waits, [])
        disruption = disruption._replace(end=12.0)
        waits = self.waits(self.job(), disruptions=(disruption,))
        self.assertEqual(waits, [Wait("job", 16.0, 20.0)])

    def test_task_of_a_service_counts_by_itself(self):
        """Guards against a service of which one task is at work."""
        service = self.job(run_s=math.inf)
        runs = [self.run_of("job", "w1", 2.0), *self.fill("w2", "w3")]
        waits = self.waits(service, self.other(), runs=runs)
        self.assertEqual(waits, [Wait("job", 1.0, 20.0)])
        runs.append(self.run_of("job", "w1", 2.0, index=1))
        self.assertEqual(self.waits(service, self.other(), runs=runs), [])

    def test_task_of_a_service_may_be_away_for_a_while(self):
        """Guards against findings about the restart of a service."""
        service = self.job(tasks=1, run_s=math.inf)
        runs = [self.run_of("job", "w1", 1.0, 5.0), self.run_of("job", "w1", 13.9)]
        self.assertEqual(self.waits(service, runs=runs), [])

    def test_drawn_run_times_are_not_checked(self):
        """Guards against findings about runs that fail."""
        self.assertEqual(self.waits(self.job(run_s=None)), [])


if __name__ == "__main__":
    unittest.main()
