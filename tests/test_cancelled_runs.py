"""Tests of the invariants about work of jobs that were cancelled."""

import logging
import math
import unittest
from unittest import mock

from redwingrudder.simulation import (
    CANCEL_BOUND_S,
    PROFILES_BY_NAME,
    Cancellation,
    Disruption,
    Fault,
    FaultKind,
    History,
    Job,
    NoRunAfterCancel,
    Schedule,
    ViolationClass,
    find_violations,
    play_schedule,
)
from redwingrudder.workflows.run_table import RunTable

from .test_simulation import FIRST_SEED, LATE, run_interval

MAX_STOP_S = 0.9  # of a run in a schedule
CANCELLATIONS = (Cancellation("job", 1.0),)


class NoRunAfterCancelTests(unittest.TestCase):
    def classes(self, run, *disruptions, **fields):
        history = History((run,), cancellations=CANCELLATIONS, **fields)
        history = history._replace(disruptions=disruptions)
        violations = NoRunAfterCancel().violations(history)
        return [violation.classification for violation in violations]

    def test_run_that_goes_on_in_calm(self):
        """Guards against a check that misses a run that nobody stops."""
        for end in (5.0, math.inf):
            self.assertEqual(
                self.classes(run_interval(0.5, end)), [ViolationClass.OTHER]
            )

    def test_run_that_is_gone_in_time(self):
        """Guards against a check that fails runs while they stop."""
        self.assertEqual(self.classes(run_interval(0.5, 4.85)), [])
        running = run_interval(0.5, math.inf)
        self.assertEqual(self.classes(running, ended_at=4.85), [])

    def test_runs_of_other_jobs(self):
        """Guards against a check that fails jobs that nobody cancelled."""
        run = run_interval(0.5, 9.0)
        run = run._replace(key=run.key._replace(workflow_id="other"))
        self.assertEqual(self.classes(run), [])

    def test_disruption_near(self):
        """Guards against excuses for disruptions that do not concern a run."""
        run = run_interval(0.5, 6.5)
        beside, other = ViolationClass.BESIDE_DISRUPTION, ViolationClass.OTHER
        cases = (
            (Disruption("of the worker", "w1", 2.0, 3.0), beside),
            (Disruption("of all", "", 2.0, 3.0), beside),
            (Disruption("a moment", "w1", 3.0, 3.0), beside),
            (Disruption("before the cancellation", "w1", 0.0, 1.0), other),
            (Disruption("until the cancellation is old", "w1", 0.0, 2.7), beside),
            (Disruption("of another worker", "w2", 2.0, 3.0), other),
            (Disruption("after the bound", "w1", 5.0, 9.0), other),
            (Disruption("before most of the run", "w1", 1.5, 2.0), other),
        )
        for disruption, expected in cases:
            with self.subTest(disruption.kind):
                self.assertEqual(self.classes(run, disruption), [expected])

    def test_several_disruptions(self):
        """Guards against a short disruption that hides a long one."""
        disruptions = (
            Disruption("long", "", 1.5, 5.0),
            Disruption("short", "w1", 2.0, 2.1),
        )
        beside = [ViolationClass.BESIDE_DISRUPTION]
        self.assertEqual(self.classes(run_interval(0.5, 8.0), *disruptions), beside)

    def test_run_that_was_begun_late(self):
        """Guards against late starts whose runs may go on for ever."""
        late = run_interval(7.0, 10.85, sent_at=0.9)
        at_new_process = late._replace(sent_to_ms=LATE)
        for run in (late, at_new_process):
            with self.subTest(run):
                self.assertEqual(self.classes(run), [])
                (found,) = self.classes(run._replace(end=11.0))
                self.assertIs(found, ViolationClass.OTHER)

    def test_late_begin_before_the_cancellation(self):
        """Guards against a bound that ends before the cancellation."""
        late = run_interval(0.8, 4.85, sent_at=0.1)
        self.assertEqual(self.classes(late), [])

    def test_run_whose_start_was_sent_after_the_cancellation(self):
        """Guards against a bound that each new run begins again."""
        run = run_interval(3.5, 5.0)
        self.assertEqual(self.classes(run), [ViolationClass.OTHER])


class DisruptionTests(unittest.TestCase):
    """What a history says about the disruptions of a schedule."""

    def setUp(self):
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)

    def disruptions(self, *faults, jobs=()):
        return list(play_schedule(Schedule(1, jobs, faults)).disruptions)

    def test_faults_of_workers_concern_one(self):
        """Guards against faults that excuse runs on every worker."""
        fault = Fault(2.0, FaultKind.SILENCE, 1, 3.0, 9.0)
        expected = [Disruption(FaultKind.SILENCE, "w2", 2.0, 5.0)]
        self.assertEqual(self.disruptions(fault), expected)
        fault = Fault(2.0, FaultKind.RESTART, 1, 3.0, 0.5)
        expected = [Disruption(FaultKind.RESTART, "w2", 2.0, 2.5)]
        self.assertEqual(self.disruptions(fault), expected)

    def test_late_calls_disrupt_when_they_are_carried_out(self):
        """Guards against late calls that come in what counts as calm."""
        fault = Fault(2.0, FaultKind.LATE_STARTS, 0, 1.0, 4.0)
        jobs = (Job(2.1, "job", 3, False, 8, 1, None),)
        first, *others = self.disruptions(fault, jobs=jobs)
        self.assertEqual(first, Disruption(fault.kind, "w1", 2.0, 3.0))
        self.assertTrue(others)
        for other in others:
            self.assertEqual(other.kind, "late call")
            self.assertTrue(6.0 <= other.begin == other.end <= 7.0, other)

    def test_store_faults_concern_all_workers_if_they_concern_the_leader(self):
        """Guards against an outage at the wrong node that excuses runs."""
        kind = FaultKind.LATE_WRITES
        at_leader, at_other = (Fault(2.0, kind, node, 3.0, 0.0) for node in (0, 1))
        # The writes of each node are carried out at the end of its fault.
        carried_out = Disruption(kind, "", 5.0, 5.0)
        expected = [Disruption(kind, "", 2.0, 5.0), carried_out, carried_out]
        self.assertEqual(self.disruptions(at_leader, at_other), expected)
        hand_over = Fault(4.0, FaultKind.HAND_OVER, 0, 1.0, 0.0)
        expected = [
            Disruption("no leader", "", 4.0, 4.0),
            Disruption(kind, "", 4.0, 5.0),
            carried_out,
        ]
        self.assertEqual(self.disruptions(at_other, hand_over), expected)

    def test_hanging_watches_concern_no_worker(self):
        """Guards against a hanging watch that excuses a run."""
        hanging = Fault(2.0, FaultKind.HANGING_WATCHES, 0, 9.0, 0.0)
        self.assertEqual(self.disruptions(hanging), [])

    def test_takeover_lasts_until_the_last_leader_knows(self):
        """Guards against calm while two nodes take the lead."""
        fault = Fault(4.0, FaultKind.TAKEOVER, 0, 1.0, 0.0)
        expected = [Disruption("takeover", "", 4.0, 7.0)]
        self.assertEqual(self.disruptions(fault), expected)

    def test_lost_answers_disrupt_while_a_write_waits(self):
        """Guards against a lost answer in what counts as calm."""
        fault = Fault(2.0, FaultKind.LOST_ANSWERS, 0, 0.3, 0.0)
        jobs = (Job(5.0, "job", 1, False, 8, 1, None),)
        lost = self.disruptions(fault, jobs=jobs)
        self.assertEqual(len(lost), 2)
        for disruption in lost:
            self.assertEqual(disruption[:2], ("lost answer", ""))
            self.assertAlmostEqual(disruption.end - disruption.begin, 0.4)
            self.assertGreaterEqual(disruption.begin, 5.0)


class HangingWatchTests(unittest.TestCase):
    """A cancellation is not announced while watches fail at their limit."""

    SEED = 6  # with a first run of "job" that takes 4.7 s

    def setUp(self):
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_run_is_stopped_in_its_bound(self):
        """Guards against a coordinator that learns of changes by watch only.

        The cancellation comes at any time of the attempts to watch.
        """
        for number in range(15):
            submitted_at = 1.0 + 0.21 * number
            cancelled_at = submitted_at + 0.3
            faults = (
                Fault(0.9, FaultKind.HANGING_WATCHES, 0, 9.0, 0.0),
                Fault(cancelled_at - 0.1, FaultKind.LOST_ANNOUNCEMENTS, 0, 0.2, 0.0),
            )
            job = Job(submitted_at, "job", 1, False, 1, 1, 0.3)
            with self.subTest(number=number):
                history = play_schedule(Schedule(self.SEED, (job,), faults))
                (run,) = history.runs
                self.assertLess(run.begin, cancelled_at)
                # Neither an announcement nor the end of the fault stops it.
                self.assertGreater(run.end, cancelled_at + 0.01)
                self.assertLess(run.end, cancelled_at + CANCEL_BOUND_S + MAX_STOP_S)
                self.assertEqual(history.disruptions, ())
                self.assertEqual(find_violations(history), [], history.timeline())


class LostStopsTests(unittest.TestCase):
    def setUp(self):
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_schedule_whose_coordinator_does_not_stop_cancelled_runs(self):
        """Guards against invariants that accept work of cancelled jobs."""
        jobs = tuple(
            Job(1.0 + number, f"job{number}", 1, False, 1, 1, 0.3)
            for number in range(8)
        )
        schedule = Schedule(1, jobs, ())
        self.assertEqual(find_violations(play_schedule(schedule)), [])
        with mock.patch.object(RunTable, "withdraw", withdraw_without_stops):
            violations = find_violations(play_schedule(schedule))
        self.assertEqual({v.invariant for v in violations}, {NoRunAfterCancel.name})
        classes = {violation.classification for violation in violations}
        self.assertEqual(classes, {ViolationClass.OTHER})

    def test_late_start_whose_stops_a_silent_worker_does_not_get(self):
        """Guards against a finding that no coordinator can avoid."""
        jobs = (Job(1.0, "job", 3, True, 4, 1, 1.5),)
        faults = tuple(
            fault
            for target in range(3)
            for fault in (
                Fault(0.5, FaultKind.LATE_STARTS, target, 3.0, 5.0),
                Fault(2.0, FaultKind.SILENCE, target, 4.5, 0.0),
            )
        )
        history = play_schedule(Schedule(1, jobs, faults))
        self.assertGreater(history.runs[0].begin, 2.5 + 3.0)
        self.assertTrue(history.stops)
        self.assertEqual(find_violations(history), [])

    def test_drawn_schedules_find_it(self):
        """Guards against a profile in which nothing can break the rule."""
        draw = PROFILES_BY_NAME["cancellations"].draw
        with mock.patch.object(RunTable, "withdraw", withdraw_without_stops):
            found = {
                (violation.invariant, violation.classification)
                for seed in range(FIRST_SEED, FIRST_SEED + 10)
                for violation in find_violations(play_schedule(draw(seed)))
            }
        self.assertIn((NoRunAfterCancel.name, ViolationClass.OTHER), found)


class ProfileTests(unittest.TestCase):
    def test_jobs_are_those_of_the_plain_profile(self):
        """Guards against profiles that share no jobs, so can't be compared."""
        early, plain = (
            PROFILES_BY_NAME[name].draw(FIRST_SEED).jobs
            for name in ("cancellations", "plain")
        )
        self.assertEqual(
            [job._replace(cancel_after_s=None) for job in early],
            [job._replace(cancel_after_s=None) for job in plain],
        )

    def test_share_of_early_cancellations(self):
        """Guards against a profile that cancels few jobs, or all."""
        draw = PROFILES_BY_NAME["cancellations"].draw
        jobs = [job for seed in range(50) for job in draw(seed).jobs]
        after_s = [j.cancel_after_s for j in jobs if j.cancel_after_s is not None]
        self.assertAlmostEqual(len(after_s) / len(jobs), 0.6, delta=0.05)
        self.assertTrue(0.0 < min(after_s) <= max(after_s) <= 3.0)


def withdraw_without_stops(table, progress, now):
    """Withdraw the tasks of a workflow and leave their runs alone."""
    for task in progress.tasks():
        if task.state in ("starting", "running", "waiting"):
            table.step(task, "withdraw", now)
    table.settle(progress, now)


if __name__ == "__main__":
    unittest.main()
