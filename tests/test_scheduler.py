"""Tests of the scheduler against workers that answer in any order."""

import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from redwingrudder import messages as m
from redwingrudder._scheduler_jobs import find_target
from redwingrudder.model import JobClass, JobState, TaskOutcome, TaskResult
from redwingrudder.policies import fcfs_policies

from .scheduler_world import CONFIGURATION, SPEC, World

SCHEDULE_STEPS = 250


class GeneratedScheduleTests(unittest.TestCase):
    """Tests invariants I2, I4 and I5 with generated schedules.

    I2: a gang starts only after all its members are reserved. I4: a job that
    was reported as ``not_run`` has not started. I5: at most one gang of a
    non-idempotent job starts. Messages are reordered and repeated, workers
    are lost and the owner changes. ``World`` checks every effect.
    """

    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 2**32))
    def test_every_job_ends_once_and_truthfully(self, seed):
        world = World(seed)
        for _ in range(SCHEDULE_STEPS):
            world.step()
        world.finish()
        status = world.scheduler.status(world.now)
        world.scheduler.handle(m.Tick(), world.now)
        self.assertEqual(status.queued_jobs, 0)

    def test_baseline_policies_end_every_job(self):
        """Guards against jobs that never end under the baseline policies."""
        world = World(7, fcfs_policies)
        for _ in range(SCHEDULE_STEPS):
            world.step()
        world.finish()


class SchedulerTests(unittest.TestCase):
    def setUp(self):
        self.world = World(0, record_share=1.0)
        self.world.deliver_all()

    def fill_accelerators(self, **changes):
        """Occupy every accelerator outside the cell of ``gold``."""
        return [self.world.submit_and_start(tasks=4, **changes) for _ in range(5)]

    def effects_of_type(self, effect_type):
        return [
            effect for effect in self.world.effects if isinstance(effect, effect_type)
        ]

    def test_guaranteed_work_stops_a_borrower_with_checkpoint(self):
        """Invariant I1: an organisation obtains its cell from borrowers.

        Also guards against counting a preempted run as an attempt.
        """
        world = self.world
        borrowers = self.fill_accelerators() + [
            world.submit_and_start(tasks=4, preemptible=True)
        ]
        self.assertEqual({world.state(job) for job in borrowers}, {JobState.RUNNING})
        guaranteed = world.submit_and_start(
            organisation="gold", tasks=4, idempotent=False
        )
        self.assertEqual(world.state(guaranteed), JobState.RUNNING)
        self.assertEqual(
            [stop.checkpoint for stop in self.effects_of_type(m.StopMember)], [True]
        )
        job = world.scheduler.jobs_by_id[borrowers[-1]]
        self.assertEqual((job.state, job.attempts), (JobState.QUEUED, 0))

    def test_freed_cell_stays_reserved_while_other_borrowers_stop(self):
        """Guards against other jobs on accelerators freed by a reclaim."""
        world = self.world
        self.fill_accelerators()
        borrowers = [
            world.submit_and_start(preemptible=True, job_class="later")
            for _ in range(4)
        ]
        guaranteed = world.submit(organisation="gold", tasks=4)
        world.deliver_command()
        world.deliver_event()
        competitor = world.submit(preemptible=True, job_class="urgent")
        world.deliver_all()
        self.assertEqual(world.state(guaranteed), JobState.RUNNING)
        queued = [world.state(job) for job in [competitor, *borrowers]]
        self.assertEqual(set(queued), {JobState.QUEUED})

    def test_only_jobs_that_end_in_time_pass_a_waiting_gang(self):
        """Guards against small jobs that starve a waiting gang."""
        world = self.world
        first, *_ = self.fill_accelerators(declared_run_s=50.0, job_class="later")
        single = [
            world.submit_and_start(job_class="later", organisation="gold")
            for _ in range(3)
        ]
        world.end_job(first)
        pair = world.submit_and_start(tasks=2, declared_run_s=20.0, job_class="later")
        gang = world.submit_and_start(tasks=4, declared_run_s=590.0, job_class="later")
        long = world.submit_and_start(declared_run_s=400.0, job_class="later")
        short = world.submit_and_start(declared_run_s=10.0, job_class="later")
        states = [world.state(job) for job in (pair, gang, long, short)]
        expected = ["running", "queued", "queued", "running"]
        self.assertEqual(states, expected)
        reasons = world.scheduler.explain(long, world.now).reasons
        self.assertIn("would delay the gang at the head of the queue", reasons)
        self.assertEqual({world.state(job) for job in single}, {JobState.RUNNING})

    def test_flood_costs_no_searches_and_cancels_quickly(self):
        """Guards against scanning the queue for each new or cancelled job."""
        world = self.world
        self.fill_accelerators()
        world.submit_and_start(tasks=4, organisation="gold")
        placement = world.scheduler._context.policies.placement
        with mock.patch.object(placement, "place", wraps=placement.place) as place:
            jobs = [world.submit(tasks=4, caller=f"c{i % 7}") for i in range(2000)]
            for job_id in jobs:
                world.handle(m.CancelRequested(job_id))
        self.assertLessEqual(place.call_count, 2)
        self.assertEqual({world.state(job) for job in jobs}, {JobState.NOT_RUN})

    def test_target_is_reported_missed_once_and_job_still_runs(self):
        """Guards against repeated reports and against ending a late job."""
        self.fill_accelerators()
        late = self.world.submit_and_start(tasks=4, declared_run_s=1.0)
        self.world.advance_time(3.9)
        self.assertFalse(self.world.scheduler.view(late).target_missed)
        self.world.advance_time(0.2)
        self.world.advance_time(20)
        missed = [effect.job_id for effect in self.effects_of_type(m.TargetMissed)]
        self.assertEqual(missed.count(late), 1)
        self.assertEqual(self.world.state(late), JobState.QUEUED)

    def test_wrongly_predicted_miss_is_withdrawn(self):
        """Guards against a reported miss for a job that ended in time."""
        job = self.world.submit_and_start(declared_run_s=60.0)
        self.world.end_job(job)
        self.assertIs(self.world.state(job), JobState.SUCCEEDED)
        self.assertFalse(self.world.scheduler.view(job).target_missed)

    def test_finish_by_is_a_time_of_day_in_utc(self):
        """Guards against a target that is in the past or a day too late."""
        press_class = JobClass("press", None, "22:15")
        # 2023-11-14 22:13:20 UTC, 100 s before the target. A job submitted at
        # the target time itself is due on the next day.
        submitted_at = 1_700_000_000.0
        self.assertEqual(find_target(press_class, submitted_at), submitted_at + 100)
        self.assertEqual(
            find_target(press_class, submitted_at + 100), submitted_at + 100 + 86_400
        )

    def test_expiry_ends_only_jobs_that_never_started(self):
        """Guards against a queued job that outlives its expiry."""
        self.fill_accelerators()
        queued = self.world.submit_and_start(tasks=4, expire_s=20.0)
        self.world.advance_time(21)
        view = self.world.scheduler.view(queued)
        self.assertEqual((view.state, view.reason), (JobState.NOT_RUN, "expired"))

    def test_failing_job_is_tried_three_times(self):
        """Guards against endless retries and against a missing retry."""
        job = self.world.submit_and_start(tasks=2)
        for _ in range(3):
            self.assertEqual(self.world.state(job), JobState.RUNNING)
            self.world.end_job(job, TaskOutcome.FAILED)
        self.assertEqual(self.world.state(job), JobState.FAILED)
        self.assertEqual(len(self.world.started_gangs_by_job[job]), 3)

    def test_first_result_of_a_task_stands(self):
        """Invariant I3: a late or repeated result must not replace another."""
        job = self.world.submit_and_start(tasks=2)
        (worker_id,) = self.world.holders(job)
        (gang_id,) = self.world.started_gangs_by_job[job]
        for gang, task, text in [("old", 0, "x"), (gang_id, 0, "a"), (gang_id, 0, "b")]:
            result = TaskResult(task, TaskOutcome.SUCCEEDED, f"{gang_id}{text}:{task}")
            self.world.handle(m.TaskEnded(gang, worker_id, result))
        last = TaskResult(1, TaskOutcome.SUCCEEDED, f"{gang_id}a:1")
        self.world.handle(m.TaskEnded(gang_id, worker_id, last))
        results = self.world.scheduler.view(job).results
        self.assertEqual(results, (f"{gang_id}a:0", f"{gang_id}a:1"))

    def test_retry_budget_bounds_the_total_work(self):
        """Guards against retries that multiply the load of a failing class."""
        jobs = []
        for _ in range(100):
            jobs.append(self.world.submit_and_start())
            for _ in range(3):
                self.world.end_job(jobs[-1], TaskOutcome.FAILED)
        starts = sum(len(self.world.started_gangs_by_job[job]) for job in jobs)
        self.assertLessEqual(starts, 1.2 * len(jobs))

    def test_cancelled_job_that_ran_before_is_not_reported_as_not_run(self):
        """Invariant I4: a job that waits for its retry has run before."""
        self.fill_accelerators()
        job = self.world.submit_and_start(organisation="gold", tasks=4)
        blocker = self.world.submit(organisation="gold", tasks=4, job_class="urgent")
        self.world.end_job(job, TaskOutcome.FAILED)
        self.assertEqual(self.world.state(blocker), JobState.RUNNING)
        self.assertEqual(self.world.state(job), JobState.QUEUED)
        self.world.handle(m.CancelRequested(job))
        self.assertEqual(self.world.state(job), JobState.INTERRUPTED)

    def test_takeover_places_old_jobs_only_after_all_workers_are_claimed(self):
        """Guards against restarting a job that an unclaimed worker runs."""
        world = self.world
        running = world.submit_and_start(tasks=8, organisation="gold")
        non_idempotent = world.submit_and_start(idempotent=False)
        lost = world.submit_and_start(idempotent=False)
        for worker in world.workers.values():
            for gang_id, member in list(worker.members.items()):
                if member.job_id == lost:
                    del worker.members[gang_id]
        world.take_over()
        self.assertEqual(world.state(running), JobState.QUEUED)
        for _ in range(4):
            world.claim_next()
        new = world.submit()
        world.advance_time(0.2)
        self.assertEqual(world.state(new), JobState.RUNNING)
        while world.recovering:
            world.claim_next()
        states = [world.state(job) for job in (running, non_idempotent, lost)]
        self.assertEqual(states, ["running", "running", "interrupted"])
        self.assertEqual(len(world.started_gangs_by_job[running]), 1)

    def test_job_of_a_removed_class_runs_to_its_end(self):
        """Guards against stopping a running job whose class was removed."""
        world = self.world
        running, failing = world.submit_and_start(), world.submit_and_start()
        later = {"later": CONFIGURATION.classes_by_name["later"]}
        world.configuration = CONFIGURATION._replace(classes_by_name=later)
        world.take_over()
        while world.recovering:
            world.claim_next()
        world.end_job(running)
        world.end_job(failing, TaskOutcome.FAILED)
        states = [world.state(job) for job in (running, failing)]
        self.assertEqual(states, ["succeeded", "interrupted"])

    def test_worker_that_fails_everything_is_quarantined_and_probed(self):
        """Guards against jobs that all fail on the same broken worker."""
        world = self.world
        world.end_job(self.fill_accelerators()[0])
        for _ in range(3):
            job = world.submit_and_start(organisation="gold")
            (failing_worker,) = world.holders(job)
            world.end_job(job, TaskOutcome.FAILED)
            self.assertNotEqual(world.holders(job), [failing_worker])
            world.end_job(job)
        self.assertEqual(world.scheduler.status(world.now).quarantined_workers, 1)
        world.submit_and_start(tasks=4, organisation="gold")
        world.advance_time(61)
        probe = world.submit_and_start(organisation="gold")
        self.assertEqual(world.holders(probe), [failing_worker])
        world.end_job(probe)
        self.assertEqual(world.scheduler.status(world.now).quarantined_workers, 0)

    def test_admission_reports_the_refusal_code(self):
        """Guards against a wrong refusal code for an invalid job."""
        admit = self.world.scheduler.admit
        cases = {
            "unknown_organisation": SPEC._replace(organisation="tin"),
            "unknown_class": SPEC._replace(job_class="never"),
            "shape_never_fits": SPEC._replace(tasks=25),
        }
        for code, spec in cases.items():
            with self.subTest(code):
                self.assertEqual(admit(spec).code, code)
        self.assertIsNone(admit(SPEC._replace(tasks=24)))
