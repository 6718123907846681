"""Tests of the search for tasks that wait although there is room."""

import unittest
from unittest import mock

from redwingrudder.workflows import _wait_rules, waiting
from redwingrudder.workflows._deferral import MAX_DEFERRAL_S
from redwingrudder.workflows.model import EndKind
from redwingrudder.workflows.placement import SUSPECT_S
from redwingrudder.workflows.planner import SOUND_WORKER_WAIT_S
from redwingrudder.workflows.run_table import (
    DEFAULT_LONGEST_LEASE_S,
    LATE_CALL_S,
    QUARANTINE_S,
)
from redwingrudder.workflows.state import Worker
from redwingrudder.workflows.waiting import (
    Hold,
    WaitingTask,
    WaitReason,
    find_waiting,
    note_since,
    summarise,
)

from . import workflow_fixtures as fx

LATE_START_S = LATE_CALL_S + DEFAULT_LONGEST_LEASE_S
WHOLE = fx.step(1, fx.WHOLE_WORKER)
HALF = fx.step(1, fx.HALF_WORKER)


def advised(workflow):
    return workflow._replace(policy=workflow.policy._replace(advised=True))


class WaitingCase(unittest.TestCase):
    """An engine whose jobs wait."""

    def set_up(self, *workers):
        self.engine = fx.engine(*workers)

    def accept(self, job, *steps, now=0.0, **options):
        return self.engine.accept(fx.workflow(job, *steps, **options), now)

    def start(self, job, *steps, now=0.0, **options):
        """Place a job at once; return its starts, which are confirmed."""
        self.accept(job, *steps, now=now, **options)
        started = fx.starts(self.engine.plan(now, now))
        fx.confirm(self.engine, started, now)
        return started

    def end(self, start, now, kind=EndKind.STOPPED):
        self.engine.end(start.worker_id, fx.ended(start, kind), now)

    def plan(self, now):
        return fx.starts(self.engine.plan(now, now))

    def find(self, now, may_plan=True):
        return find_waiting(
            self.engine.workflows_by_id.values(),
            self.engine.workers_by_id,
            self.engine.run_times,
            now,
            now,
            may_plan,
        )

    def assert_held(self, now, reason, worker_id="", ends_in_s=None, tasks=1):
        """Check that a pass starts nothing, and what keeps all tasks back."""
        self.assertEqual(self.plan(now), [])
        found = self.find(now)
        self.assertEqual(len(found), tasks)
        for task in found:
            self.assertEqual(task.hold[:2], (reason, worker_id))
            if ends_in_s is None:
                self.assertIsNone(task.hold.ends_in_s)
            else:
                self.assertAlmostEqual(task.hold.ends_in_s, ends_in_s, 6)


class EarlierStartTests(WaitingCase):
    """Tasks that wait for what an earlier run of theirs may still do."""

    def lose_start(self, step=None):
        """Settle a start on w1 of which an attempt got no reply."""
        self.set_up(fx.worker("w1"))
        started = self.start("job", step or fx.step())
        self.engine.start_settled(started[0].key, started[0].run, "w1", 0.0)
        self.engine.set_worker(fx.worker("w2"), 1.0)
        for start in started:
            self.end(start, 1.0)

    def test_silent_worker_is_named(self):
        """Guards against a hold beside idle workers that no line tells."""
        self.lose_start()
        self.engine.workers_by_id["w1"].reachable = False
        reason = WaitReason.SILENT_WORKER
        self.assert_held(5.0, reason, "w1", LATE_START_S - 5.0)
        self.assertEqual(len(self.plan(LATE_START_S + 0.1)), 1)
        self.assertEqual(self.find(LATE_START_S + 0.1), [])

    def test_gang_waits_for_the_silent_worker_of_one_member(self):
        """Guards against a gang whose other members hide the cause."""
        self.lose_start(fx.step(2, gang=True))
        self.engine.workers_by_id["w1"].reachable = False
        reason = WaitReason.SILENT_WORKER
        self.assert_held(5.0, reason, "w1", LATE_START_S - 5.0, tasks=2)

    def test_held_start_names_the_worker_that_has_to_answer(self):
        """Guards against a held start that looks like a full fleet."""
        self.lose_start()
        no_room = fx.ONE_GPU._replace(accelerators=0)
        self.engine.set_worker(fx.worker("w1", capacity=no_room), 1.0)
        self.assert_held(5.0, WaitReason.HELD_START, "w1", LATE_START_S - 5.0)

    def test_held_gang_does_not_wait_for_what_it_claims(self):
        """Guards against a held gang that seems to wait for others."""
        self.lose_start(fx.step(8, gang=True))
        no_room = fx.ONE_GPU._replace(accelerators=0)
        self.engine.set_worker(fx.worker("w1", capacity=no_room), 1.0)
        self.assert_held(5.0, WaitReason.HELD_START, "w1", LATE_START_S - 5.0, tasks=8)

    def test_older_run_that_is_being_stopped_is_named(self):
        """Guards against a stop without an end that no line tells."""
        self.set_up(fx.worker("w1"))
        (older,) = self.start("job")
        self.engine.workers_by_id["w1"].reachable = False
        self.engine.interrupt_worker("w1", 1.0, "lease_lapsed")
        self.engine.set_worker(fx.worker("w2"), 1.0)
        (newer,) = self.plan(1.0)
        fx.confirm(self.engine, [newer], 1.0)
        self.engine.workers_by_id["w1"].reachable = True
        self.engine.report("w1", [fx.running(older)], 2.0)
        self.end(newer, 2.5)
        self.assert_held(3.0, WaitReason.OLDER_RUN, "w1")

    def test_gang_with_a_member_that_has_not_ended_is_told(self):
        """Guards against a gang that waits for a stop without an end."""
        self.set_up()
        first, second = self.start("job", fx.step(2, gang=True))
        self.end(first, 1.0)
        self.assert_held(2.0, WaitReason.GANG_MEMBERS, second.worker_id)


class UnprovenRunTests(WaitingCase):
    """Tasks with a run on w1, which does not answer, beside w2."""

    def start_on_silent_worker(self, step=None):
        self.set_up(fx.worker("w1"))
        self.start("job", step or fx.step())
        self.engine.workers_by_id["w1"].reachable = False
        self.engine.set_worker(fx.worker("w2"), 1.0)

    def test_silent_worker_of_a_run_is_named(self):
        """Guards against tasks that stand still and that no line tells."""
        self.start_on_silent_worker(fx.step(2))
        self.assert_held(5.0, WaitReason.UNPROVEN_RUN, "w1", tasks=2)

    def test_gang_is_named(self):
        """Guards against a gang that stands still and that no line tells."""
        self.start_on_silent_worker(fx.step(2, gang=True))
        self.assert_held(5.0, WaitReason.UNPROVEN_RUN, "w1", tasks=2)

    def test_recorded_run_of_an_earlier_term_is_named(self):
        """Guards against tasks that a takeover keeps back without a line."""
        self.set_up(fx.worker("w1"), fx.worker("w2"))
        self.accept("job")
        self.engine.workers_by_id["w1"].reachable = False
        self.engine.adopt_run(fx.key(), 1, "w1", False, 0.0)
        self.assert_held(1.0, WaitReason.UNPROVEN_RUN, "w1")

    def test_nothing_is_told_without_room(self):
        """Guards against alarms about a task that could run nowhere else."""
        self.start_on_silent_worker()
        self.start("full", WHOLE, now=1.0)
        self.assertEqual(self.find(5.0), [])

    def test_nothing_is_told_of_a_worker_that_answers(self):
        """Guards against alarms about runs that go on."""
        self.start_on_silent_worker()
        self.engine.workers_by_id["w1"].reachable = True
        self.assertEqual(self.find(5.0), [])

    def test_nothing_is_told_of_a_cancelled_job(self):
        """Guards against alarms about a job that needs no run."""
        self.start_on_silent_worker()
        self.engine.cancel("job", 2.0)
        self.assertEqual(self.find(5.0), [])


class WorkerTests(WaitingCase):
    """Tasks for which only workers have room that are not chosen."""

    def test_quarantined_worker_is_named(self):
        """Guards against a quarantine that looks like a full fleet."""
        self.set_up(fx.worker("w1"))
        self.engine.workers_by_id["w1"].quarantined_until = QUARANTINE_S
        self.accept("job")
        reason = WaitReason.QUARANTINE
        self.assert_held(1.0, reason, "w1", QUARANTINE_S - 1.0)

    def test_worker_in_quarantine_for_the_job_is_named(self):
        """Guards against a quarantine for one job that no line tells."""
        self.set_up(fx.worker("w1"))
        for start in self.start("job", fx.step(2), attempts=4):
            self.end(start, 1.0, EndKind.FAILED)
        self.assertEqual(self.plan(4.0), [])
        reason = WaitReason.QUARANTINE
        self.assert_held(4.0, reason, "w1", 1.0 + QUARANTINE_S - 4.0, tasks=2)

    def test_worker_without_new_starts_is_named(self):
        """Guards against a verdict on workers that no line tells."""
        self.set_up(fx.worker("w1"))
        self.accept("job")
        with mock.patch.object(Worker, "usable", return_value=False):
            self.assert_held(1.0, WaitReason.WORKERS_REST, "w1")

    def test_worker_that_rests_after_a_trial_is_named(self):
        """Guards against a rest whose end no line tells."""
        self.set_up(fx.worker("w1"))
        self.accept("job")
        for now in (0.0, 1.0):
            (start,) = self.plan(now)
            self.engine.start_rejected(start.key, start.run, "unhealthy", now)
        self.assert_held(1.5, WaitReason.WORKERS_REST, "w1", 0.5)

    def test_worker_that_observes_a_suspect_is_named(self):
        """Guards against an observation that looks like a full fleet."""
        self.suspect_steps(fx.step())
        self.accept("other", now=1.0)
        self.plan(1.0)
        self.assert_held(1.1, WaitReason.SUSPECTED, "w1")

    def test_siblings_of_a_suspect_are_told(self):
        """Guards against tasks that wait for an outcome that no line tells."""
        self.suspect_steps(fx.step(2))
        self.engine.set_worker(fx.worker("w2"), 1.0)
        (observed,) = self.plan(1.0)
        fx.confirm(self.engine, [observed], 1.0)
        self.assert_held(1.1, WaitReason.SUSPECTED, observed.worker_id)

    def test_suspect_without_a_quiet_worker_is_told(self):
        """Guards against a suspect beside room that it may not use."""
        self.suspect_steps(fx.step())
        self.start("urgent", now=0.3, priority=0)
        self.assert_held(0.4, WaitReason.SUSPECTED)

    def suspect_steps(self, step):
        """Let w1 crash with tasks that have just started."""
        self.set_up(fx.worker("w1"))
        self.start("job", step)
        self.engine.set_worker(fx.worker("w1", process_started_ms=2), 0.1)
        self.engine.reconcile("w1", set(), True, 0.2)
        self.engine.report("w1", [], 0.2)

    def fill(self, worker_id, rack):
        """Fill a worker with a task of another job."""
        label = fx.step(1, fx.WHOLE_WORKER, worker_label=rack)
        self.assertEqual(self.start("full", label)[0].worker_id, worker_id)

    def test_step_that_avoids_a_failing_worker_is_told(self):
        """Guards against a worker with failures that looks like no room."""
        self.set_up(fx.worker("w1"), fx.worker("w2", "r2"))
        self.fill("w2", "r2")
        (start,) = self.start("job", fx.step(), attempts=3)
        self.end(start, 1.0, EndKind.FAILED)
        self.assert_held(4.0, WaitReason.FAILURES, "w1", SUSPECT_S - 3.0)

    def test_step_that_waits_for_a_sound_worker_is_told(self):
        """Guards against attempts that look forgotten beside a worker."""
        self.set_up(*(fx.worker(f"w{index}") for index in range(3)))
        self.accept("one", WHOLE, attempts=3)
        for start in self.start("two", WHOLE, attempts=3):
            self.end(start, 1.0, EndKind.FAILED)
        ends_in_s = SOUND_WORKER_WAIT_S - 0.5
        self.assert_held(1.5, WaitReason.FAILURES, "", ends_in_s, tasks=2)

    def test_step_that_avoids_a_slow_worker_is_told(self):
        """Guards against a slow worker that looks like no room."""
        self.set_up(fx.worker("w1"), fx.worker("w2", "r2"))
        self.fill("w2", "r2")
        self.engine.workers_by_id["w1"].speed = 0.1
        self.accept("job")
        self.assert_held(1.0, WaitReason.SLOW_WORKERS, "w1", MAX_DEFERRAL_S)

    def test_step_that_waits_near_its_data_is_told(self):
        """Guards against a wait for a rack that looks like no room."""
        self.set_up(fx.worker("w1"), fx.worker("w2", "r2"))
        self.fill("w2", "r2")
        progress = self.accept("job", fx.step(data_rack="r2", estimate_s=60.0))
        (stage,) = progress.stages()
        wait_s = self.engine.run_times.data_wait_s(stage)
        self.plan(0.0)
        self.assert_held(1.0, WaitReason.DATA, "", MAX_DEFERRAL_S - 1.0)
        self.assertLess(MAX_DEFERRAL_S, wait_s)

    def test_wait_near_the_data_of_a_pool_in_use_is_told(self):
        """Guards against an end of the wait that is told and does not come."""
        self.set_up(fx.worker("w1"), fx.worker("w2", "r2"), fx.worker("w3", "r2"))
        self.start("full", fx.step(2, fx.WORKER_SIZE, worker_label="r2"))
        progress = self.accept("job", fx.step(data_rack="r2", estimate_s=60.0))
        (stage,) = progress.stages()
        wait_s = self.engine.run_times.data_wait_s(stage)
        self.plan(0.0)
        self.assert_held(4.0, WaitReason.DATA, "", wait_s - 4.0)

    def test_gang_that_waits_for_one_rack_is_told(self):
        """Guards against room in several racks that a gang does not use."""
        self.set_up(*(fx.worker(f"w{i}", f"r{i % 2}") for i in range(4)))
        self.start("one", WHOLE._replace(worker_label="r0"))
        self.start("two", WHOLE._replace(worker_label="r1"))
        self.accept("gang", fx.step(2, fx.WHOLE_WORKER, gang=True, same_rack=True))
        self.assert_held(1.0, WaitReason.ONE_RACK, tasks=2)

    def test_room_that_another_step_reserves_is_told(self):
        """Guards against reservations that look like idle workers."""
        self.set_up(fx.worker("w1"))
        self.start("running", HALF)
        self.accept("wide", WHOLE, now=0.1)
        self.accept("small", HALF, now=0.1, priority=2)
        self.assert_held(0.2, WaitReason.RESERVED, "", MAX_DEFERRAL_S)
        self.assert_held(1.0, WaitReason.RESERVED, "", MAX_DEFERRAL_S - 0.8)


class PlanningTests(WaitingCase):
    """Tasks that wait for others than workers, or for nothing known."""

    def test_wait_for_advice_is_told(self):
        """Guards against steps without permits that look forgotten."""
        self.set_up()
        self.engine.accept(advised(fx.workflow("job")), 0.0)
        self.assert_held(0.0, WaitReason.ADVICE)

    def test_missing_authority_is_told(self):
        """Guards against a coordinator that may not plan and hides it."""
        self.set_up()
        self.accept("job")
        (found,) = self.find(1.0, may_plan=False)
        self.assertEqual(found.hold, Hold(WaitReason.NOT_PLANNED))

    def test_task_that_nothing_keeps_back_is_told(self):
        """Guards against a fault of the planner that hides itself."""
        self.set_up()
        self.accept("job")
        (found,) = self.find(1.0)
        self.assertEqual(found, WaitingTask(fx.key(), Hold(WaitReason.OTHER)))

    def test_full_fleet_gives_nothing(self):
        """Guards against alarms about load."""
        self.set_up(fx.worker("w1"))
        self.start("running", WHOLE)
        self.accept("job")
        self.assertEqual(self.plan(1.0), [])
        self.assertEqual(self.find(1.0), [])

    def test_task_without_room_gives_nothing(self):
        """Guards against alarms about a task that fits nowhere at present."""
        self.set_up()
        self.start("running", fx.step(2, fx.HALF_WORKER, worker_limit=1))
        self.accept("wide", WHOLE)
        self.accept("gang", fx.step(3, fx.HALF_WORKER, gang=True))
        self.assertEqual(self.plan(1.0), [])
        self.assertEqual(self.find(1.0), [])

    def test_step_that_is_not_due_gives_nothing(self):
        """Guards against alarms about steps whose predecessors run."""
        self.set_up()
        self.start("job", fx.step(), fx.step(after=(0,)))
        later = fx.workflow("later")._replace(first_due_at=60.0, occurrences=1)
        self.engine.accept(later, 0.0)
        self.assertEqual(self.plan(1.0), [])
        self.assertEqual(self.find(1.0), [])

    def test_workers_that_leave_or_are_silent_give_no_room(self):
        """Guards against alarms about workers that cannot be used."""
        self.set_up(fx.worker("w1", draining=True), fx.worker("w2"), fx.worker("w3"))
        self.engine.workers_by_id["w2"].reachable = False
        self.engine.workers_by_id["w3"].emptying = True
        self.accept("job")
        self.accept("elsewhere", fx.step(worker_label="r9"))
        self.assertEqual(self.plan(1.0), [])
        self.assertEqual(self.find(1.0), [])

    def test_number_of_examined_steps_is_bounded(self):
        """Guards against a check that keeps the coordinator from its work."""
        self.set_up()
        for index in range(20):
            self.accept(f"job{index}")
        with mock.patch.object(waiting, "MAX_EXAMINED_STEPS", 5):
            self.assertLessEqual(len(self.find(1.0)), 5)
        self.assertEqual(len(self.find(1.0)), 20)

    def test_number_of_tasks_is_bounded(self):
        """Guards against a check that looks at each task of wide steps."""
        self.set_up()
        for index in range(4):
            self.accept(f"job{index}", fx.step(3))
        with mock.patch.object(waiting, "MAX_FOUND_TASKS", 5):
            self.assertEqual(len(self.find(1.0)), 6)
        with mock.patch.object(_wait_rules, "MAX_TASKS_OF_STEP", 2):
            self.assertEqual(len(self.find(1.0)), 8)

    def test_steps_without_room_do_not_hide_others(self):
        """Guards against a backlog of wide steps that uses up the bound."""
        self.set_up(fx.worker("w1"))
        self.start("running", HALF)
        for index in range(20):
            self.accept(f"wide{index}", WHOLE)
        self.accept("small", HALF)
        with mock.patch.object(waiting, "MAX_EXAMINED_STEPS", 5):
            (found,) = self.find(1.0)
        self.assertEqual(found.key, fx.key("small"))


class SummaryTests(unittest.TestCase):
    """How long tasks have waited, by reason."""

    def test_wait_lasts_while_each_check_finds_the_task(self):
        """Guards against a wait that counts the time on a full fleet."""
        held = WaitingTask(fx.key("held"), Hold(WaitReason.OTHER))
        since = note_since({}, [held], 1.0)
        since = note_since(since, [held], 2.0)
        self.assertEqual(since, {held.key: 1.0})
        since = note_since(since, [], 3.0)
        self.assertEqual(note_since(since, [held], 4.0), {held.key: 4.0})

    def test_longest_wait_comes_first(self):
        """Guards against a recent wait that hides the one that matters."""
        silent = Hold(WaitReason.SILENT_WORKER, "w1", 9.0)
        old = WaitingTask(fx.key("old"), silent)
        new = WaitingTask(fx.key("new"), silent)
        other = WaitingTask(fx.key("other"), Hold(WaitReason.OTHER))
        since = {new.key: 8.0, other.key: 5.0, old.key: 2.0}
        found = summarise([new, other, old], since, 10.0)
        self.assertEqual(
            [(s.reason, s.tasks, s.longest_s, s.example) for s in found],
            [
                (WaitReason.SILENT_WORKER, 2, 8.0, old),
                (WaitReason.OTHER, 1, 5.0, other),
            ],
        )
