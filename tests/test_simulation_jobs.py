"""Tests of what becomes of jobs in schedules, and of its invariants."""

import unittest

from twisted.internet.task import Clock

from redwingrudder.simulation import (
    CancelledByClient,
    ClientPlan,
    DrawnRuns,
    Generations,
    History,
    Job,
    JobOutcome,
    NoStartOfRefused,
    ProtocolWorkers,
    RunInterval,
    Schedule,
    SentStart,
    StepsInOrder,
    Submission,
    ViolationClass,
    draw_schedule,
    find_violations,
    play_schedule,
)
from redwingrudder.workflows.model import EndKind, WorkflowState

from . import workflow_fixtures as fx
from .test_simulation_models import SEED, SHORT_SEED, ModelTestCase

KEY = fx.key("job")


class StepTests(ModelTestCase):
    """A job whose second step has to wait for the two tasks of the first."""

    def test_second_step_is_run_after_the_first(self):
        """Guards against schedules in which no second step begins."""
        for gang in (False, True):
            job = Job(1.0, "job", 2, gang, 1, 1, None, 2)
            history = play_schedule(Schedule(SHORT_SEED, (job,), ()))
            with self.subTest(gang=gang):
                self.assertEqual({run.key.step for run in history.runs}, {0, 1})
                self.assertIs(history.jobs[0].state, WorkflowState.DONE)
                self.assertEqual(history.early_runs, ())

    def early_runs(self, gang, done_indexes):
        """Begin the second step after the end of some tasks of the first."""
        clock = Clock()
        job = Job(0.0, "job", 2, gang, 1, 1, None, 1)
        behaviour = DrawnRuns(clock, Schedule(SEED, (job,), ()))
        workers = ProtocolWorkers(clock, "w1", behaviour=behaviour)
        process = workers.workers_by_id["w1"].process
        for index in (0, 1):
            key = fx.key("job", index=index)
            process.start(1, key, 1, 6000)
            kind = EndKind.DONE if index in done_indexes else EndKind.STOPPED
            process.end(key, kind)
        process.start(1, fx.key("job")._replace(step=1), 1, 6000)
        return behaviour.early

    def test_early_begin_is_found(self):
        """Guards against a model that misses a step that is out of order."""
        early = [(fx.key("job")._replace(step=1), 1)]
        for gang, done_indexes, expected in (
            (False, (), early),
            (False, (1,), early),
            (False, (0, 1), []),
            (True, (), early),
            # One end as done represents all members of a gang.
            (True, (1,), []),
        ):
            with self.subTest(gang=gang, done_indexes=done_indexes):
                self.assertEqual(self.early_runs(gang, done_indexes), expected)

    def test_second_steps_are_drawn_only_if_asked_for(self):
        """Guards against seeds that give other schedules than before."""
        plain, stepped = draw_schedule(1), draw_schedule(1, second_step_share=0.5)
        self.assertTrue(any(job.second_tasks for job in stepped.jobs))
        jobs = tuple(job._replace(second_tasks=0) for job in stepped.jobs)
        self.assertEqual(plain, stepped._replace(jobs=jobs))


class ReusedIdTests(ModelTestCase):
    """A job whose id is used by another job once its records are removed."""

    JOB = Job(1.0, "job", 1, False, 1, 1, None)
    LATER = JOB._replace(workflow_id="later", used_id="job")

    def test_later_job_is_run(self):
        """Guards against schedules in which no id is used again."""
        plans = (ClientPlan("job"), ClientPlan("later"))
        jobs = (self.JOB, self.LATER)
        history = play_schedule(Schedule(SHORT_SEED, jobs, (), plans, 13.0))
        removed_at = self.first_event(history, "job is removed")
        self.assertGreater(removed_at, history.jobs[0].ended_at + 13.0)
        for job in history.jobs:
            self.assertIs(job.state, WorkflowState.DONE)
        self.assertGreater(history.jobs[1].ended_at, removed_at)
        ids = [run.key.workflow_id for run in history.runs]
        self.assertEqual(ids, sorted(ids))
        self.assertEqual(set(ids), {"job", "later"})
        self.assertEqual(find_violations(history), [])

    def test_late_start_is_that_of_the_earlier_job(self):
        """Guards against work of a job that counts as that of a later one."""
        generations = Generations((self.JOB, self.LATER))
        generations.add_submission(self.LATER, 5.0)
        starts = tuple(
            SentStart(KEY, run, payload, "", "w1", at)
            for run, payload, at in (
                (1, self.JOB.payload, 1.0),
                (2, self.JOB.payload, 5.1),
                (1, self.LATER.payload, 5.2),
            )
        )
        runs = tuple(
            RunInterval(KEY, start.run, "w1", 6.0, 7.0, 1, 1, start.sent_at)
            for start in starts
        )
        history = generations.rename(History(runs=runs, starts=starts))
        for items in (history.runs, history.starts):
            ids = [item.key.workflow_id for item in items]
            self.assertEqual(ids, ["job", "job", "later"])

    def test_ids_are_used_again_only_if_asked_for(self):
        """Guards against seeds that give other schedules than before."""
        plain = draw_schedule(1, has_clients=True)
        again = draw_schedule(1, has_clients=True, reused_id_share=0.5)
        count = len(plain.jobs)
        self.assertGreater(len(again.jobs), count)
        self.assertEqual(plain.jobs, again.jobs[:count])
        self.assertEqual(plain.clients, again.clients[:count])
        self.assertEqual(plain.faults, again.faults)
        self.assertLess(again.retention_s, plain.retention_s)


class JobInvariantTests(unittest.TestCase):
    RUNS = (
        RunInterval(fx.key("job"), 1, "w1", 1.0, 2.0, 1, 1, 1.0),
        RunInterval(fx.key("other"), 1, "w1", 2.0, 3.0, 1, 1, 2.0),
    )

    def test_start_of_a_refused_job(self):
        """Guards against a check that misses work that nobody waits for."""
        submissions = (
            Submission("job", refused=True),
            Submission("other", acknowledged_at=1.9),
        )
        history = History(runs=self.RUNS, submissions=submissions)
        (violation,) = NoStartOfRefused().violations(history)
        self.assertEqual(violation.runs, self.RUNS[:1])
        self.assertIs(violation.classification, ViolationClass.OTHER)
        self.assertIn(violation, find_violations(history))

    def test_start_of_an_unanswered_job_is_allowed(self):
        """Guards against a check that fails what may have been accepted."""
        history = History(runs=self.RUNS, submissions=(Submission("job"),))
        self.assertEqual(NoStartOfRefused().violations(history), [])

    def test_job_that_is_cancelled_unasked(self):
        """Guards against a check that misses a cancellation of another job."""
        job = JobOutcome("job", 1.0, WorkflowState.CANCELLED, 2.0)
        submissions = (Submission("job"),)
        history = History(jobs=(job,), submissions=submissions)
        (violation,) = CancelledByClient().violations(history)
        self.assertIn(violation, find_violations(history))
        asked = history._replace(cancelled_ids=("job",))
        self.assertEqual(CancelledByClient().violations(asked), [])

    def test_start_before_the_step_it_waits_for(self):
        """Guards against a check that misses or invents early steps."""
        early = ((self.RUNS[1].key, 1), (self.RUNS[0].key, 2))
        history = History(runs=self.RUNS, early_runs=early)
        (violation,) = StepsInOrder().violations(history)
        self.assertEqual(violation.runs, self.RUNS[1:])
        self.assertIn(violation, find_violations(history))


if __name__ == "__main__":
    unittest.main()
