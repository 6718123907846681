"""Tests of steps that wait for better room while they have room."""

import unittest

from redwingrudder.workflows._deferral import MAX_DEFERRAL_S, PoolUsage
from redwingrudder.workflows.crashes import step_suspicion
from redwingrudder.workflows.engine import Engine
from redwingrudder.workflows.model import (
    NO_RESOURCES,
    EndKind,
    PollWorker,
    Resources,
    RunEnd,
)

from . import workflow_fixtures as fx
from .test_lasting_neighbours import Fleet

# The users' limit for a job without a run beside a mostly idle service.
LIMIT_S = 3.0
LONG_S = 600.0
SMALL = fx.step(2)
LARGE = fx.step(8, fx.WHOLE_WORKER, estimate_s=30.0)


def workers(count, racks=1):
    return [fx.worker(f"w{n}", rack=f"r{n % racks}") for n in range(count)]


def lasting(step):
    return step._replace(service=True)


class DeferralCase(unittest.TestCase):
    def assert_starts_in_time(self, job="job", tasks=1, within_s=LIMIT_S):
        """Check that tasks of a job that was just accepted start in time."""
        accepted_at = self.fleet.now
        self.fleet.run_for(within_s)
        starts = self.fleet.starts(job)
        self.assertGreaterEqual(len(starts), tasks)
        self.assertLess(starts[tasks - 1][1], accepted_at + within_s)


class ReservationTests(DeferralCase):
    """A large job waits for whole workers, each of which has a long run."""

    def reserve(self, large=LARGE, long_s=LONG_S):
        self.fleet = Fleet(*workers(8))
        long = fx.step(8, worker_limit=1, estimate_s=long_s)
        self.fleet.accept("long", long, long_s)
        self.fleet.run_for(0.1)
        self.fleet.accept("large", large, 30.0)
        self.fleet.run_for(1.0)
        self.assertEqual(self.fleet.starts("large"), [])

    def test_short_job_starts_at_once(self):
        """Guards against short jobs that wait for a job that cannot start."""
        self.reserve()
        short = SMALL._replace(estimate_s=1.0)
        self.fleet.accept("job", short, 1.0, priority=2)
        self.assert_starts_in_time(tasks=2, within_s=0.1)

    def test_longer_job_starts_in_time(self):
        """Guards against reservations that only short runs may use."""
        self.reserve()
        longer = SMALL._replace(estimate_s=2 * LONG_S)
        self.fleet.accept("job", longer, 2 * LONG_S, priority=2)
        self.assert_starts_in_time(tasks=2)

    def test_job_behind_a_gang_starts_in_time(self):
        """Guards against reservations of gangs that have no end."""
        self.reserve(LARGE._replace(gang=True))
        longer = SMALL._replace(estimate_s=2 * LONG_S)
        self.fleet.accept("job", longer, 2 * LONG_S, priority=2)
        self.assert_starts_in_time()

    def test_gang_starts_in_time(self):
        """Guards against gangs that need reserved capacity as a whole."""
        self.reserve()
        gang = fx.step(16, estimate_s=2 * LONG_S, gang=True)
        self.fleet.accept("job", gang, 2 * LONG_S, priority=2)
        self.assert_starts_in_time(tasks=16)

    def test_lasting_task_starts_in_time(self):
        """Guards against services that wait behind reservations."""
        self.reserve()
        self.fleet.accept("job", lasting(SMALL), LONG_S, priority=2)
        self.assert_starts_in_time(tasks=2)

    def test_wide_job_leaves_half_of_the_pool_to_the_reservation(self):
        """Guards against a wide job that takes all reserved capacity."""
        self.reserve()
        wide = fx.step(56, Resources(16_000, 32_768, 1), estimate_s=2 * LONG_S)
        self.fleet.accept("job", wide, 2 * LONG_S, priority=2)
        self.fleet.run_for(2 * LIMIT_S)
        self.assertLess(len(self.fleet.starts("job")), 36)
        self.assertGreater(len(self.fleet.starts("job")), 20)

    def test_reservation_holds_while_the_pool_is_in_use(self):
        """Guards against large jobs that never find room on a busy fleet."""
        self.fleet = Fleet(*workers(8))
        three_quarters = Resources(96_000, 196_608, 6)
        long = fx.step(8, three_quarters, estimate_s=LONG_S, worker_limit=1)
        self.fleet.accept("long", long, LONG_S)
        self.fleet.run_for(0.1)
        self.fleet.accept("large", LARGE)
        longer = SMALL._replace(estimate_s=2 * LONG_S)
        self.fleet.accept("job", longer, 2 * LONG_S, priority=2)
        self.fleet.run_for(5 * LIMIT_S)
        self.assertEqual(self.fleet.starts("job"), [])

    def test_limit_of_tasks_on_a_worker_holds(self):
        """Guards against tasks that start on free and on lent capacity.

        The worker with room for both keeps a half for a gang.
        """
        engine = fx.engine(*workers(2))
        five = Resources(11_000, 29_000, 5)
        engine.accept(fx.workflow("long", fx.step(1, five, estimate_s=LONG_S)), 0.0)
        fx.confirm(engine, engine.plan(0.0, 0.0))
        gang = fx.step(2, fx.HALF_WORKER, gang=True, worker_limit=1)
        engine.accept(fx.workflow("gang", gang), 0.0)
        short = fx.workflow(
            "job", fx.step(3, worker_limit=1, estimate_s=1.0), priority=2
        )
        engine.accept(short._replace(queue="short"), 0.0)
        starts = fx.starts(engine.plan(0.0, 0.0))
        worker_ids = [start.worker_id for start in starts]
        self.assertEqual({start.key.workflow_id for start in starts}, {"job"})
        self.assertEqual(len(set(worker_ids)), len(worker_ids))

    def test_wait_for_workers_that_rest_is_a_part_of_the_limit(self):
        """Guards against waits with a limit that follow each other."""
        self.reserve()
        for worker in self.fleet.engine.workers_by_id.values():
            worker.quarantined_until = self.fleet.now + LIMIT_S - 0.5
        longer = SMALL._replace(estimate_s=2 * LONG_S)
        self.fleet.accept("job", longer, 2 * LONG_S, priority=2)
        self.assert_starts_in_time()

    def test_steady_flow_lets_the_gang_start(self):
        """Guards against a gang that starves behind short runs.

        The estimates of the short runs are too high for them to be placed
        before the gang, so only the limit of their waits lets them start.
        """
        self.reserve(LARGE._replace(gang=True), long_s=12.0)
        flow = SMALL._replace(estimate_s=60.0)
        waits = []
        while not self.fleet.starts("large"):
            job = f"flow {self.fleet.now:.2f}"
            self.fleet.accept(job, flow, 1.0, priority=2)
            waits.append((job, self.fleet.now))
            self.fleet.run_for(0.3)
            self.assertLess(self.fleet.now, 20.0)
        started = [job for job, _ in waits if self.fleet.starts(job)]
        self.assertGreater(len(started), 20)
        for job, accepted_at in waits:
            for _, at in self.fleet.starts(job)[:1]:
                self.assertLess(at, accepted_at + LIMIT_S)

    def test_stop_that_is_not_carried_out_keeps_others_for_a_limited_time(self):
        """Guards against reservations beside a preempted run that goes on."""
        self.fleet = Fleet(*workers(4))
        low = fx.step(1, fx.WHOLE_WORKER, estimate_s=LONG_S)
        self.fleet.accept("low", low, LONG_S, priority=3)
        self.fleet.run_for(0.1)
        gang = fx.step(4, fx.WHOLE_WORKER, gang=True, estimate_s=LONG_S)
        self.fleet.engine.stop = lambda *arguments: None
        self.fleet.accept("urgent", gang, LONG_S, priority=0)
        self.fleet.run_for(0.1)
        longer = SMALL._replace(estimate_s=LONG_S)
        self.fleet.accept("job", longer, LONG_S, priority=2)
        self.assert_starts_in_time()


class SlowerRoomTests(DeferralCase):
    """Steps whose tasks would run slower on the workers with room."""

    def fill_rack(self):
        """Fill rack r0, which has two of eight workers."""
        self.fleet = Fleet(*workers(8, racks=4))
        full = fx.step(2, fx.WHOLE_WORKER, estimate_s=LONG_S, worker_label="r0")
        self.fleet.accept("full", full, LONG_S)
        self.fleet.run_for(0.1)

    def test_job_with_a_full_data_rack_starts_one_task(self):
        """Guards against a wait near the data that grows with run times."""
        self.fill_rack()
        step = fx.step(3, estimate_s=LONG_S, data_rack="r0")
        self.fleet.accept("job", step, LONG_S)
        self.fleet.run_for(LIMIT_S)
        self.assertEqual(len(self.fleet.starts()), 1)
        self.fleet.run_for(LIMIT_S)
        self.assertEqual(len(self.fleet.starts()), 1)

    def test_lasting_tasks_with_a_full_data_rack_start(self):
        """Guards against a service of which one task is at work."""
        self.fill_rack()
        step = lasting(fx.step(3, estimate_s=LONG_S, data_rack="r0"))
        self.fleet.accept("job", step, LONG_S)
        self.assert_starts_in_time(tasks=3)

    def test_gang_starts_across_racks(self):
        """Guards against a wait for one rack that has no limit."""
        self.fleet = Fleet(*workers(8, racks=4))
        for rack in range(4):
            long = fx.step(estimate_s=LONG_S, worker_label=f"r{rack}")
            self.fleet.accept(f"long {rack}", long, LONG_S)
        self.fleet.run_for(0.1)
        gang = fx.step(2, fx.WHOLE_WORKER, estimate_s=LONG_S, gang=True, same_rack=True)
        self.fleet.accept("job", gang, LONG_S)
        self.assert_starts_in_time(tasks=2)

    def test_slow_workers_are_used(self):
        """Guards against a wait for workers of full speed without an end."""
        self.fleet = Fleet(*workers(4))
        full = fx.step(1, fx.WHOLE_WORKER, estimate_s=LONG_S)
        self.fleet.accept("full", full, LONG_S)
        self.fleet.run_for(0.1)
        for worker in self.fleet.engine.workers_by_id.values():
            if not worker.tasks_by_key:
                worker.speed = 0.1
        self.fleet.accept("job", fx.step(estimate_s=LONG_S), LONG_S)
        self.assert_starts_in_time()

    def test_workers_that_rest_count_as_spare_room(self):
        """Guards against a wait for spare room that callers see."""
        self.fleet = Fleet(*workers(4, racks=2))
        full = fx.step(2, fx.WHOLE_WORKER, estimate_s=LONG_S, worker_label="r0")
        self.fleet.accept("full", full, LONG_S)
        self.fleet.run_for(0.1)
        self.fleet.engine.workers_by_id["w1"].quarantined_until = LONG_S
        step = fx.step(1, fx.WHOLE_WORKER, estimate_s=LONG_S, data_rack="r0")
        self.fleet.accept("job", step, LONG_S)
        self.assert_starts_in_time()

    def test_job_at_work_waits_for_better_room(self):
        """Guards against slower runs of jobs that have something running."""
        self.fill_rack()
        steps = fx.step(estimate_s=LONG_S), fx.step(data_rack="r0", estimate_s=LONG_S)
        self.fleet.run_s_by_job["job"] = LONG_S
        self.fleet.engine.accept(fx.workflow("job", *steps), self.fleet.now)
        self.fleet.run_for(2 * LIMIT_S)
        self.assertEqual(len(self.fleet.starts()), 1)

    def test_end_of_the_wait_is_logged(self):
        """Guards against slower runs that no line explains."""
        self.fill_rack()
        step = fx.step(estimate_s=LONG_S, data_rack="r0")
        self.fleet.accept("job", step, LONG_S)
        with self.assertLogs(Engine.__module__, "INFO") as logs:
            self.fleet.run_for(LIMIT_S)
        (line,) = [r for r in logs.records if "longer for better room" in r.message]
        self.assertEqual((line.job, line.step, line.uses), ("job", "0.0", "slower"))


class HeldStartTests(unittest.TestCase):
    """A worker may still carry out an earlier start of a step that waits.

    The rack of the step's data is full, and another one is idle.
    """

    PASS_S = 0.1

    def setUp(self):
        self.engine = fx.engine(*workers(8, racks=4))
        full = fx.step(1, fx.WHOLE_WORKER, estimate_s=LONG_S, worker_label="r0")
        self.engine.accept(fx.workflow("full", full), 0.0)
        fx.confirm(self.engine, self.engine.plan(0.0, 0.0))

    def lose_start(self, step):
        """Let a start in the rack get no reply, and the worker lose its room.

        The run is over after 1 s.
        """
        step = step._replace(data_rack="r0", estimate_s=LONG_S)
        self.engine.accept(fx.workflow("job", step), 0.0)
        started = fx.starts(self.engine.plan(0.0, 0.0))
        for start in started:
            worker_id = self.worker_id = start.worker_id
            self.engine.start_settled(start.key, start.run, worker_id, 0.0)
        no_room = fx.worker(worker_id, "r0", capacity=NO_RESOURCES)
        self.engine.set_worker(no_room, 1.0)
        for start in started:
            end = RunEnd(1, start.key, start.run, EndKind.STOPPED)
            self.engine.end(worker_id, end, 1.0)
        self.now = 1.0

    def started_at(self, until, answer_s=0.0):
        """Return when each task starts; requested polls take a time."""
        times, answers = [], []
        while self.now < until:
            for sent_at in answers:
                if self.now >= sent_at + answer_s:
                    self.engine.report(self.worker_id, [], self.now, sent_at)
            answers = [at for at in answers if self.now < at + answer_s]
            for effect in self.engine.plan(self.now, self.now):
                if isinstance(effect, PollWorker):
                    answers.append(self.now)
                elif effect in fx.starts([effect]):
                    fx.confirm(self.engine, [effect], self.now)
                    times.append(self.now)
            self.now += self.PASS_S
        return times

    def test_worker_that_answers_late(self):
        """Guards against a wait that begins anew whenever its end is held."""
        for step in (fx.step(), lasting(fx.step(2))):
            for answer_s in (0.1, 0.6, 0.9):
                with self.subTest(service=step.service, answer_s=answer_s):
                    self.setUp()
                    self.lose_start(step)
                    times = self.started_at(1.0 + LIMIT_S, answer_s)
                    self.assertEqual(len(times), step.tasks)

    def test_worker_that_does_not_answer_for_a_while(self):
        """Guards against a wait that begins when a longer one is over."""
        self.lose_start(fx.step())
        worker = self.engine.workers_by_id[self.worker_id]
        worker.reachable = False
        self.assertEqual(self.started_at(6.0), [])
        worker.reachable = True
        self.engine.report(self.worker_id, [], self.now)
        self.assertEqual(len(self.started_at(self.now + 0.2)), 1)


class LeftTasksTests(unittest.TestCase):
    """A service with a full data rack, in which room comes bit by bit."""

    def test_tasks_that_are_left_start_in_time(self):
        """Guards against a task whose wait each start of a sibling renews."""
        engine = fx.engine(*workers(8, racks=4))
        full = fx.step(2, fx.WHOLE_WORKER, estimate_s=LONG_S, worker_label="r0")
        engine.accept(fx.workflow("full", full), 0.0)
        first, second = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, [first, second])
        service = lasting(fx.step(3, fx.WHOLE_WORKER, data_rack="r0"))
        engine.accept(fx.workflow("job", service), 0.0)
        engine.cancel("full", 0.0)
        over_at = {1.2: first, 2.4: second}
        started = []
        for now in (0.0, 1.2, 1.3, 2.4, 2.5, 2.9):
            if now in over_at:
                end = fx.ended(over_at[now], EndKind.STOPPED)
                engine.end(over_at[now].worker_id, end, now)
            starts = fx.starts(engine.plan(now, now))
            fx.confirm(engine, starts, now)
            started += starts
        self.assertEqual(len(started), 3)


class SuspectTests(unittest.TestCase):
    """Suspected tasks wait behind the reservation of all workers.

    Each worker has a long run that has gone on for some time.
    """

    def setUp(self):
        self.engine = fx.engine(*workers(8))
        long = fx.step(8, worker_limit=1, estimate_s=LONG_S)
        self.accept("long", long, 0.0)
        self.long = self.start(0.0)
        for start in self.long:
            self.engine.report(start.worker_id, [fx.running(start)], 1.0)
        self.accept("large", LARGE, 1.0)
        self.assertEqual(self.start(1.0), [])

    def accept(self, job, step, now, **options):
        self.engine.accept(fx.workflow(job, step, **options), now)

    def start(self, now):
        started = fx.starts(self.engine.plan(now, now))
        fx.confirm(self.engine, started, now)
        return started

    def suspect(self, step, now=1.0):
        step = step._replace(estimate_s=2 * LONG_S)
        self.accept("job", step, now, priority=2)
        for task in self.engine.workflows_by_id["job"].tasks():
            step_suspicion(task, "suspect")
        self.assertEqual(self.start(now), [])

    def test_suspect_starts_in_time(self):
        """Guards against a suspect that waits behind reservations for good."""
        for changes in ({}, {"gang": True}, {"service": True}):
            with self.subTest(**changes):
                self.setUp()
                self.suspect(SMALL._replace(**changes))
                started = self.start(1.0 + MAX_DEFERRAL_S)
                tasks = 2 if "gang" in changes else 1
                self.assertEqual(len(started), tasks)
                self.assertEqual({s.key.workflow_id for s in started}, {"job"})

    def test_next_suspects_of_a_service_wait_for_the_outcome_alone(self):
        """Guards against a wait that begins when a sibling is cleared."""
        self.suspect(lasting(fx.step(4)))
        now, started = 1.0, []
        while now < 1.0 + LIMIT_S:
            for start in (*self.long, *started):
                worker_id = start.worker_id
                runs = [s for s in (*self.long, *started) if s.worker_id == worker_id]
                self.engine.report(worker_id, [fx.running(s) for s in runs], now)
            started += self.start(now)
            now += 0.1
        self.assertEqual(len(started), 4)

    def test_tasks_that_start_with_it_use_other_workers(self):
        """Guards against a crash that leaves two tasks to suspect."""
        self.suspect(SMALL)
        self.accept("other", SMALL._replace(estimate_s=LONG_S), 1.0, priority=2)
        self.start(1.0)
        started = self.start(1.1 + MAX_DEFERRAL_S)
        observers = {s.worker_id for s in started if s.key.workflow_id == "job"}
        others = {s.worker_id for s in started if s.key.workflow_id == "other"}
        self.assertEqual((len(observers), len(others & observers)), (1, 0))
        self.assertTrue(others)

    def test_suspect_waits_for_workers_whose_runs_have_gone_on(self):
        """Guards against a suspect beside runs that may crash the worker."""
        self.suspect(SMALL)
        for start in self.long:
            self.engine.find(start.key).started_at = 1.0
        self.assertEqual(self.start(1.0 + MAX_DEFERRAL_S), [])


class AdoptedRunTests(unittest.TestCase):
    def test_run_that_is_found_ends_the_wait(self):
        """Guards against a wait that goes on while the job is at work."""
        engine = fx.engine(*workers(2))
        long = fx.workflow("long", fx.step(2, worker_limit=1, estimate_s=LONG_S))
        engine.accept(long, 0.0)
        fx.confirm(engine, engine.plan(0.0, 0.0))
        large = fx.step(2, fx.WHOLE_WORKER, estimate_s=LONG_S)
        engine.accept(fx.workflow("large", large), 0.0)
        job = fx.workflow("job", fx.step(estimate_s=2 * LONG_S), priority=2)
        engine.accept(job, 0.0)
        self.assertEqual(engine.plan(0.0, 0.0), [])
        engine.adopt_run(fx.key(), 1, "w0", True, 0.5)
        self.assertEqual(engine.plan(0.5, 0.5), [])
        engine.end("w0", RunEnd(1, fx.key(), 1, EndKind.STOPPED), 2.0)
        self.assertEqual(engine.plan(2.0, 2.0), [])
        self.assertEqual(len(fx.starts(engine.plan(2.0 + MAX_DEFERRAL_S, 2.0))), 1)


class FailedStepTests(unittest.TestCase):
    def test_step_with_a_failed_run_leaves_others_their_reservations(self):
        """Guards against a wait for sound workers that lifts reservations."""
        engine = fx.engine(*workers(2))
        whole = fx.step(1, fx.WHOLE_WORKER, estimate_s=LONG_S)
        engine.accept(fx.workflow("full", whole), 0.0)
        job = fx.workflow("failed", fx.step(), attempts=3, priority=2)
        engine.accept(job, 0.0)
        started = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, started)
        (failed,) = [s for s in started if s.key.workflow_id == "failed"]
        engine.end(failed.worker_id, fx.ended(failed, EndKind.FAILED), 0.5)
        engine.accept(fx.workflow("gang", whole._replace(tasks=2, gang=True)), 0.5)
        self.assertEqual(engine.plan(0.5, 0.5), [])
        now = 0.5 + MAX_DEFERRAL_S
        later = fx.workflow("later", fx.step(estimate_s=2 * LONG_S), priority=2)
        engine.accept(later, now)
        self.assertEqual(engine.plan(now, now), [])


class AdviceTests(unittest.TestCase):
    """A step that needs advice waits behind a reservation of all workers."""

    def setUp(self):
        self.engine = fx.engine(*workers(4))
        long = fx.step(4, worker_limit=1, estimate_s=LONG_S)
        self.accept("long", long)
        fx.confirm(self.engine, self.plan(0.0))
        self.accept("large", fx.step(4, fx.WHOLE_WORKER, estimate_s=LONG_S))
        self.accept("job", fx.step(estimate_s=2 * LONG_S), advised=True, priority=2)
        self.assertEqual(self.plan(0.0), [])

    def accept(self, job, step, now=0.0, advised=False, **options):
        workflow = fx.workflow(job, step, **options)
        policy = workflow.policy._replace(advised=advised)
        self.engine.accept(workflow._replace(policy=policy, queue=job), now)

    def plan(self, now):
        return self.engine.plan(now, now)

    def test_step_is_asked_about(self):
        """Guards against steps that get no permits for reserved capacity."""
        (request,) = self.plan(MAX_DEFERRAL_S)
        self.assertEqual(request.workflow_id, "job")
        tickets = dict.fromkeys(request.worker_ids, "ticket")
        fx.advise(self.engine, request, tickets, 5.0, MAX_DEFERRAL_S)
        (start,) = fx.starts(self.plan(MAX_DEFERRAL_S + 0.1))
        self.assertEqual(start.key.workflow_id, "job")

    def test_step_without_a_reply_leaves_others_their_reservations(self):
        """Guards against a call without a reply that lifts reservations."""
        self.plan(MAX_DEFERRAL_S)
        now = MAX_DEFERRAL_S + 0.1
        self.accept("later", fx.step(estimate_s=2 * LONG_S), now, priority=3)
        self.assertEqual(self.plan(now), [])
        (start,) = fx.starts(self.plan(now + MAX_DEFERRAL_S))
        self.assertEqual(start.key.workflow_id, "later")

    def test_denied_step_leaves_others_their_reservations(self):
        """Guards against a step that no worker may run and that lifts them."""
        (request,) = self.plan(MAX_DEFERRAL_S)
        now = MAX_DEFERRAL_S
        while request is not None:
            fx.advise(self.engine, request, {}, 5.0, now)
            now += 0.5
            request = next(iter(self.plan(now)), None)
        self.accept("later", fx.step(estimate_s=2 * LONG_S), now, priority=3)
        self.assertEqual(self.plan(now), [])


class UsageTests(unittest.TestCase):
    """When a pool counts as mostly idle."""

    def usage(self, *used):
        usage = PoolUsage()
        (worker,) = fx.engine(fx.worker("w1")).workers_by_id.values()
        usage.add_worker(worker)
        usage.add_start(Resources(*used))
        return usage

    def test_each_kind_of_resource_counts(self):
        """Guards against a pool without accelerators that counts as idle."""
        for kind in range(3):
            used = [0, 0, 0]
            used[kind] = fx.WORKER_SIZE[kind]
            self.assertFalse(self.usage(*used).is_mostly_idle)
        full = self.usage(*(amount // 2 for amount in fx.WORKER_SIZE))
        self.assertTrue(full.is_mostly_idle)
        self.assertFalse(self.usage(*fx.WORKER_SIZE).is_mostly_idle)

    def test_tasks_start_until_one_kind_is_in_use(self):
        """Guards against small tasks that take all accelerators."""
        usage = self.usage(*NO_RESOURCES)
        self.assertEqual(usage.count_startable(fx.ONE_GPU, 8), 5)
        two_accelerators = fx.ONE_GPU._replace(accelerators=2)
        self.assertEqual(usage.count_startable(two_accelerators, 8), 3)
        self.assertEqual(self.usage(*fx.WORKER_SIZE).count_startable(fx.ONE_GPU, 8), 0)


if __name__ == "__main__":
    unittest.main()
