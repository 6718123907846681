"""Tests of the decision core against workers that answer in any order."""

import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from redwingrudder import messages as m
from redwingrudder._scheduler_jobs import find_target
from redwingrudder.model import JobClass, JobState, TaskOutcome, TaskResult
from redwingrudder.policies import fcfs_policies

from .scheduler_world import CONFIGURATION, SPEC, World


class GeneratedScheduleTests(unittest.TestCase):
    """Guards I2, I4 and I5 under reordering, repetition, loss and takeover."""

    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 2**32))
    def test_every_job_ends_once_and_truthfully(self, seed):
        world = World(seed)
        for _ in range(250):
            world.step()
        world.finish()
        status = world.scheduler.status(world.now)
        world.scheduler.handle(m.Tick(), world.now)
        self.assertEqual(status.queued_jobs, 0)

    def test_baseline_policies_end_every_job(self):
        world = World(7, fcfs_policies)
        for _ in range(250):
            world.step()
        world.finish()


class SchedulerTests(unittest.TestCase):
    def setUp(self):
        self.world = World(0, record_share=1.0)
        self.world.exchange()

    def fill(self, **changes):
        """Hold every accelerator that ``iron`` may use."""
        return [self.world.run(tasks=4, **changes) for _ in range(5)]

    def effects(self, kind):
        return [effect for effect in self.world.effects if isinstance(effect, kind)]

    def test_guaranteed_work_stops_a_borrower_with_checkpoint(self):
        """Guards I1; a preempted job must not use up its attempts."""
        world = self.world
        borrowers = self.fill() + [world.run(tasks=4, preemptible=True)]
        self.assertEqual({world.state(j) for j in borrowers}, {JobState.RUNNING})
        owner = world.run(organisation="gold", tasks=4, idempotent=False)
        self.assertEqual(world.state(owner), JobState.RUNNING)
        self.assertEqual([s.checkpoint for s in self.effects(m.StopMember)], [True])
        job = world.scheduler.jobs_by_id[borrowers[-1]]
        self.assertEqual((job.state, job.attempts), (JobState.QUEUED, 0))

    def test_freed_cell_is_kept_while_other_borrowers_stop(self):
        """A job submitted in between must not take what reclaim has freed."""
        world = self.world
        self.fill()
        borrowers = [world.run(preemptible=True, job_class="later") for _ in range(4)]
        owner = world.submit(organisation="gold", tasks=4)
        world.deliver_command()
        world.deliver_event()
        thief = world.submit(preemptible=True, job_class="urgent")
        world.exchange()
        self.assertEqual(world.state(owner), JobState.RUNNING)
        queued = [world.state(job) for job in [thief, *borrowers]]
        self.assertEqual(set(queued), {JobState.QUEUED})

    def test_only_jobs_that_end_in_time_pass_a_waiting_gang(self):
        """A stream of small jobs must not starve a gang."""
        world = self.world
        first, *_ = self.fill(declared_run_s=50.0, job_class="later")
        single = [world.run(job_class="later", organisation="gold") for _ in range(3)]
        world.end(first)
        pair = world.run(tasks=2, declared_run_s=20.0, job_class="later")
        gang = world.run(tasks=4, declared_run_s=590.0, job_class="later")
        long = world.run(declared_run_s=400.0, job_class="later")
        short = world.run(declared_run_s=10.0, job_class="later")
        states = [world.state(job) for job in (pair, gang, long, short)]
        expected = ["running", "queued", "queued", "running"]
        self.assertEqual(states, expected)
        reasons = world.scheduler.explain(long, world.now).reasons
        self.assertIn("would delay the gang at the head of the queue", reasons)
        self.assertEqual({world.state(job) for job in single}, {JobState.RUNNING})

    def test_flood_costs_no_searches_and_cancels_quickly(self):
        """A submission or cancellation must not scan a queue of thousands."""
        world = self.world
        self.fill()
        world.run(tasks=4, organisation="gold")
        placement = world.scheduler._context.policies.placement
        with mock.patch.object(placement, "place", wraps=placement.place) as place:
            jobs = [world.submit(tasks=4, caller=f"c{i % 7}") for i in range(2000)]
            for job_id in jobs:
                world.send(m.CancelRequested(job_id))
        self.assertLessEqual(place.call_count, 2)
        self.assertEqual({world.state(job) for job in jobs}, {JobState.NOT_RUN})

    def test_target_is_reported_missed_once_and_job_still_runs(self):
        self.fill()
        late = self.world.run(tasks=4, declared_run_s=1.0)
        self.world.wait(3.9)
        self.assertFalse(self.world.scheduler.view(late).target_missed)
        self.world.wait(0.2)
        self.world.wait(20)
        missed = [e.job_id for e in self.effects(m.TargetMissed)]
        self.assertEqual(missed.count(late), 1)
        self.assertEqual(self.world.state(late), JobState.QUEUED)

    def test_miss_that_was_predicted_wrongly_is_taken_back(self):
        """A caller must not read a miss on an answer that came in time."""
        job = self.world.run(declared_run_s=60.0)
        self.world.end(job)
        self.assertIs(self.world.state(job), JobState.SUCCEEDED)
        self.assertFalse(self.world.scheduler.view(job).target_missed)

    def test_finish_by_is_a_time_of_day_in_utc(self):
        press = JobClass("press", None, "22:15")
        # 2023-11-14 22:13:20 and, after the press time, the next day.
        at = 1_700_000_000.0
        self.assertEqual(find_target(press, at), at + 100)
        self.assertEqual(find_target(press, at + 100), at + 100 + 86_400)

    def test_expiry_ends_only_jobs_that_never_started(self):
        self.fill()
        queued = self.world.run(tasks=4, expire_s=20.0)
        self.world.wait(21)
        view = self.world.scheduler.view(queued)
        self.assertEqual((view.state, view.reason), (JobState.NOT_RUN, "expired"))

    def test_failing_job_is_tried_three_times(self):
        job = self.world.run(tasks=2)
        for _ in range(3):
            self.assertEqual(self.world.state(job), JobState.RUNNING)
            self.world.end(job, TaskOutcome.FAILED)
        self.assertEqual(self.world.state(job), JobState.FAILED)
        self.assertEqual(len(self.world.start_sent[job]), 3)

    def test_first_result_of_a_task_stands(self):
        """Guards I3: a late or repeated part must not replace another."""
        job = self.world.run(tasks=2)
        (worker_id,) = self.world.holders(job)
        (gang_id,) = self.world.start_sent[job]
        for gang, task, text in [("old", 0, "x"), (gang_id, 0, "a"), (gang_id, 0, "b")]:
            result = TaskResult(task, TaskOutcome.SUCCEEDED, f"{gang_id}{text}:{task}")
            self.world.send(m.TaskEnded(gang, worker_id, result))
        last = TaskResult(1, TaskOutcome.SUCCEEDED, f"{gang_id}a:1")
        self.world.send(m.TaskEnded(gang_id, worker_id, last))
        results = self.world.scheduler.view(job).results
        self.assertEqual(results, (f"{gang_id}a:0", f"{gang_id}a:1"))

    def test_retry_budget_bounds_the_total_work(self):
        """Jobs that always fail must not multiply the load of a class."""
        jobs = []
        for _ in range(100):
            jobs.append(self.world.run())
            for _ in range(3):
                self.world.end(jobs[-1], TaskOutcome.FAILED)
        starts = sum(len(self.world.start_sent[job]) for job in jobs)
        self.assertLessEqual(starts, 1.2 * len(jobs))

    def test_cancelled_job_that_ran_before_is_not_called_not_run(self):
        """Guards I4: the first attempt of a queued retry did run."""
        self.fill()
        job = self.world.run(organisation="gold", tasks=4)
        blocker = self.world.submit(organisation="gold", tasks=4, job_class="urgent")
        self.world.end(job, TaskOutcome.FAILED)
        self.assertEqual(self.world.state(blocker), JobState.RUNNING)
        self.assertEqual(self.world.state(job), JobState.QUEUED)
        self.world.send(m.CancelRequested(job))
        self.assertEqual(self.world.state(job), JobState.INTERRUPTED)

    def test_takeover_keeps_running_jobs_and_holds_back_old_ones(self):
        """An old idempotent job may run on a worker not yet claimed."""
        world = self.world
        running = world.run(tasks=8, organisation="gold")
        once = world.run(idempotent=False)
        lost = world.run(idempotent=False)
        for worker in world.workers.values():
            for gang_id, member in list(worker.members.items()):
                if member.job_id == lost:
                    del worker.members[gang_id]
        world.take_over()
        self.assertEqual(world.state(running), JobState.QUEUED)
        for _ in range(4):
            world.claim_next()
        new = world.submit()
        world.wait(0.2)
        self.assertEqual(world.state(new), JobState.RUNNING)
        while world.recovering:
            world.claim_next()
        states = [world.state(job) for job in (running, once, lost)]
        self.assertEqual(states, ["running", "running", "interrupted"])
        self.assertEqual(len(world.start_sent[running]), 1)

    def test_job_of_a_removed_class_runs_to_its_end(self):
        """A change of the configuration must not stop what runs."""
        world = self.world
        running, failing = world.run(), world.run()
        later = {"later": CONFIGURATION.classes_by_name["later"]}
        world.configuration = CONFIGURATION._replace(classes_by_name=later)
        world.take_over()
        while world.recovering:
            world.claim_next()
        world.end(running)
        world.end(failing, TaskOutcome.FAILED)
        states = [world.state(job) for job in (running, failing)]
        self.assertEqual(states, ["succeeded", "interrupted"])

    def test_worker_that_fails_everything_is_quarantined_and_probed(self):
        world = self.world
        world.end(self.fill()[0])
        for _ in range(3):
            job = world.run(organisation="gold")
            (bad,) = world.holders(job)
            world.end(job, TaskOutcome.FAILED)
            self.assertNotEqual(world.holders(job), [bad])
            world.end(job)
        self.assertEqual(world.scheduler.status(world.now).quarantined_workers, 1)
        world.run(tasks=4, organisation="gold")
        world.wait(61)
        probe = world.run(organisation="gold")
        self.assertEqual(world.holders(probe), [bad])
        world.end(probe)
        self.assertEqual(world.scheduler.status(world.now).quarantined_workers, 0)

    def test_admission_names_what_is_wrong(self):
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
