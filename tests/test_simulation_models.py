"""Tests of the models of what lies between the clients and the coordinator."""

import logging
import unittest

from redwingrudder.coordination.gateways import STORE, AwaitChanges
from redwingrudder.exceptions import StoreUnavailableError
from redwingrudder.simulation import (
    CALL_TIMEOUT_S,
    LEAVING_WEIGHT_BY_KIND,
    ClientPlan,
    Fault,
    FaultKind,
    Job,
    Schedule,
    draw_schedule,
    play_schedule,
)

from .coordination_fakes import node_system, outcome

NO_DELAY_S = 0.0
SEED = 6  # with a first run of "job" that takes 4.7 s
SHORT_SEED = 1  # with one that takes 1.0 s


class ModelTestCase(unittest.TestCase):
    def setUp(self):
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)

    def first_event(self, history, text):
        """Return the time of the first event with a text."""
        times = [event.at_s for event in history.events if text in event.line]
        self.assertTrue(times, f"no event: {text}\n{history.timeline()}")
        return times[0]


class WatchTests(unittest.TestCase):
    """A watch of the store model that waits for 1 s, while nothing changes."""

    WAIT_S = 1.0

    def setUp(self):
        self.clock, self.system, self.store = node_system()
        self.store.watch_limit_s = CALL_TIMEOUT_S

    def watch(self):
        """Begin a watch and return its Deferred."""
        revision = self.store.contents.revision
        watch = self.system.ask(STORE, AwaitChanges("key", revision, self.WAIT_S))
        self.clock.advance(0.0)
        return watch

    def test_unanswered_watch_fails_at_its_limit(self):
        """Guards against a watch that hangs for longer than a client waits."""
        for fault in ("watches_hang", "down"):
            with self.subTest(fault):
                self.setUp()
                watch = self.watch()
                setattr(self.store, fault, True)
                self.clock.pump([self.WAIT_S, CALL_TIMEOUT_S - 0.01])
                self.assertFalse(watch.called)
                self.clock.pump([0.02, 0.0])
                self.assertIsInstance(outcome(watch), StoreUnavailableError)
                self.assertEqual(self.store.watches, [])

    def test_watch_without_changes_is_answered_after_its_wait(self):
        """Guards against a watch that is already old when watches hang."""
        watch = self.watch()
        self.clock.pump([self.WAIT_S, 0.0])
        changes = outcome(watch)
        self.assertEqual(changes.changes, ())
        self.assertEqual(changes.revision, self.store.contents.revision)

    def test_watch_is_answered_if_the_fault_ends_before_its_limit(self):
        """Guards against changes that are lost with the end of a fault."""
        self.store.watches_hang = True
        watch = self.watch()
        self.store.contents.put("key", "value")
        self.clock.advance(self.WAIT_S)
        self.store.watches_hang = False
        self.store.notify()
        (change,) = outcome(watch).changes
        self.assertEqual(change.key, "key")
        self.clock.advance(CALL_TIMEOUT_S)

    def test_watch_without_a_limit_waits(self):
        """Guards against a limit that nobody has set."""
        self.store.watch_limit_s = None
        watch = self.watch()
        self.store.watches_hang = True
        self.clock.pump([self.WAIT_S] * 30)
        self.assertIsNone(outcome(watch))


class AnnouncementTests(ModelTestCase):
    """A job of one task while the watches of the first node hang."""

    WATCHES_HANG_S = 9.0
    SUBMITTED_AT = 1.1
    READ_AFTER_S = 2.2  # from the submission until the store is read

    def play(self, *faults, cancel_after_s=None):
        hanging = Fault(
            1.05, FaultKind.HANGING_WATCHES, 0, self.WATCHES_HANG_S, NO_DELAY_S
        )
        job = Job(self.SUBMITTED_AT, "job", 1, False, 1, 1, cancel_after_s)
        return play_schedule(Schedule(SEED, (job,), (hanging, *faults)))

    def start_delay_s(self, *faults):
        """Return the seconds from the submission to the begin of the run."""
        history = self.play(*faults)
        return self.first_event(history, "begins run") - self.SUBMITTED_AT

    def test_announcement_replaces_a_hanging_watch(self):
        """Guards against models in which announcements have no effect."""
        self.assertLess(self.start_delay_s(), 0.5)

    def test_lost_announcement_is_not_repeated(self):
        """Guards against a model that makes up for lost announcements."""
        lost = Fault(0.9, FaultKind.LOST_ANNOUNCEMENTS, 0, 0.5, NO_DELAY_S)
        self.assertGreater(self.start_delay_s(lost), self.READ_AFTER_S)

    def test_late_announcement_comes_when_it_is_due(self):
        """Guards against a delay that begins with the end of the fault."""
        late = Fault(0.9, FaultKind.LATE_ANNOUNCEMENTS, 0, 0.5, 1.5)
        delay_s = self.start_delay_s(late)
        self.assertGreaterEqual(delay_s, 1.5)
        self.assertLess(delay_s, 2.0)

    def test_announcements_that_come_after_a_fault_arrive(self):
        """Guards against a fault that does not end."""
        lost = Fault(0.5, FaultKind.LOST_ANNOUNCEMENTS, 0, 0.4, NO_DELAY_S)
        late = Fault(0.5, FaultKind.LATE_ANNOUNCEMENTS, 1, 0.4, 3.0)
        self.assertLess(self.start_delay_s(lost, late), 0.5)

    def test_late_announcement_goes_to_the_node_that_led(self):
        """Guards against a delay that a change of the coordinator undoes."""
        late = Fault(0.9, FaultKind.LATE_ANNOUNCEMENTS, 0, 0.5, 3.0)
        changes = (
            Fault(2.0, FaultKind.HANGING_WATCHES, 1, 8.0, NO_DELAY_S),
            Fault(2.0, FaultKind.HAND_OVER, 0, 0.1, NO_DELAY_S),
        )
        history = self.play(late, *changes)
        line = "announcement of the submission of job to n1 is late by 3.0 s"
        self.assertEqual(self.first_event(history, line), self.SUBMITTED_AT)
        # The new coordinator reads the store when its term begins.
        self.assertLess(self.first_event(history, "begins run"), 2.5)

    def test_lost_cancellation_is_not_repeated(self):
        """Guards against a model that loses announced submissions only."""
        lost = Fault(1.1, FaultKind.LOST_ANNOUNCEMENTS, 0, 0.5, NO_DELAY_S)
        for faults, ends_late in (((), False), ((lost,), True)):
            with self.subTest(faults=faults):
                history = self.play(*faults, cancel_after_s=0.2)
                (run,) = history.runs
                self.assertIs(run.end > 2.5, ends_late, history.timeline())


class ClientTests(ModelTestCase):
    """A job of one task, whose client calls the first node first."""

    JOB = Job(1.0, "job", 1, False, 1, 1, None)

    def play(self, plan, *faults, seed=SEED):
        return play_schedule(Schedule(seed, (self.JOB,), faults, (plan,)))

    def test_submission_and_cancellation_are_acknowledged(self):
        """Guards against clients whose requests do not reach the store."""
        history = self.play(ClientPlan("job", cancel_node=1, cancel_after_s=1.0))
        (submission,) = history.submissions
        self.assertGreaterEqual(submission.acknowledged_at, 1.0)
        (cancellation,) = history.cancellations
        self.assertGreaterEqual(cancellation.stored_at, 2.0)
        (run,) = history.runs
        self.assertLess(run.end, 3.5)

    def test_cancellation_overtakes_a_late_write_of_the_submission(self):
        """Guards against models that cancel only what is stored."""
        late = Fault(0.9, FaultKind.LATE_WRITES, 0, 2.0, 3.0)
        plan = ClientPlan("job", resend_after_s=8.0, cancel_node=1, cancel_after_s=0.1)
        history = self.play(plan, late)
        self.first_event(history, "cancellation of job is acknowledged, no such job")
        self.assertEqual(history.runs, ())
        acknowledged_at = self.first_event(history, "submission of job is acknowledged")
        (cancellation,) = history.cancellations
        self.assertGreater(acknowledged_at, cancellation.stored_at)

    def test_submission_is_sent_again_to_the_other_node(self):
        """Guards against clients that give up, and against a second job."""
        plan = ClientPlan("job", hangs_up=True, resend_after_s=0.3)
        history = self.play(plan, seed=SHORT_SEED)
        self.first_event(history, "job is submitted at n1")
        sent_at = self.first_event(history, "job is submitted at n2")
        (submission,) = history.submissions
        self.assertGreaterEqual(submission.acknowledged_at, sent_at)
        self.assertEqual(len(history.runs), 1)

    def test_submission_arrives_again_after_its_answer(self):
        """Guards against models in which nothing comes twice."""
        history = self.play(ClientPlan("job", repeat_after_s=7.0), seed=SHORT_SEED)
        arrived_at = self.first_event(history, "submission of job arrives again at n2")
        (run,) = history.runs
        self.assertGreater(arrived_at, run.end)

    def test_node_without_the_store_relays(self):
        """Guards against models in which a node needs the store itself."""
        down = Fault(0.1, FaultKind.STORE_DOWN, 1, 6.0, NO_DELAY_S)
        history = self.play(
            ClientPlan("job", node=1, cancel_node=1, cancel_after_s=1.0), down
        )
        (submission,) = history.submissions
        self.assertLess(submission.acknowledged_at, 1.5)
        (cancellation,) = history.cancellations
        self.assertLess(cancellation.stored_at, 2.5)

    def test_relayed_call_without_a_reply_has_an_effect(self):
        """Guards against lost replies of calls that were not carried out."""
        down = Fault(0.1, FaultKind.STORE_DOWN, 1, 6.0, NO_DELAY_S)
        lost = Fault(0.1, FaultKind.LOST_PEER_REPLIES, 0, 2.0, NO_DELAY_S)
        history = self.play(ClientPlan("job", node=1), down, lost)
        begin = self.first_event(history, "begins run")
        (submission,) = history.submissions
        self.assertGreater(submission.acknowledged_at, begin + 1.0)

    def test_write_that_breaks_off_leaves_the_outcome_open(self):
        """Guards against clients that hear of each write what became of it."""
        broken = Fault(0.9, FaultKind.BROKEN_WRITES, 1, 6.0, 1.0)
        down = Fault(0.9, FaultKind.STORE_DOWN, 0, 4.0, NO_DELAY_S)
        history = self.play(
            ClientPlan("job", node=1, resend_after_s=20.0), broken, down
        )
        self.first_event(history, "submission of job gets no answer: outcome_unknown")
        (submission,) = history.submissions
        self.assertFalse(submission.refused)
        begin = self.first_event(history, "begins run")
        self.assertAlmostEqual(begin, 7.9, delta=0.1)

    def test_refused_submission_does_not_run(self):
        """Guards against a refusal that is recorded as an unknown outcome."""
        down = [Fault(0.1, FaultKind.STORE_DOWN, node, 6.0, 0.0) for node in (0, 1)]
        history = self.play(ClientPlan("job"), *down)
        (submission,) = history.submissions
        self.assertTrue(submission.refused)
        self.assertIsNone(submission.acknowledged_at)
        self.assertEqual(history.runs, ())


class LeavingTests(ModelTestCase):
    """A job of one task, whose worker leaves or loses its entry."""

    JOB = Job(1.0, "job", 1, False, 1, 1, None)

    def play(self, kind, duration_s, delay_s=1.5, *faults):
        first = Schedule(SEED, (self.JOB,), ())
        run = play_schedule(first).runs[0]
        self.worker_id = run.worker_id
        target = int(run.worker_id.removeprefix("w")) - 1
        fault = Fault(1.5, kind, target, duration_s, delay_s)
        return play_schedule(first._replace(faults=(fault, *faults)))

    def test_drained_worker_takes_its_runs_along(self):
        """Guards against a worker that leaves and whose runs go on."""
        history = self.play(FaultKind.DRAIN, 2.5)
        left_at = self.first_event(history, f"{self.worker_id}.1 leaves")
        back_at = self.first_event(history, f"{self.worker_id}.2 comes back")
        self.assertAlmostEqual(left_at, 4.0)
        self.assertAlmostEqual(back_at, 5.5)
        for run in history.runs:
            if run.worker_id == self.worker_id:
                self.assertFalse(run.begin < left_at < run.end, run)
                self.assertFalse(left_at < run.begin < back_at, run)

    def test_coordinator_reads_that_a_worker_drains(self):
        """Guards against entries that do not say that their worker leaves."""
        history = self.play(FaultKind.DRAIN, 8.0)
        begins = [r.begin for r in history.runs if r.worker_id == self.worker_id]
        self.assertLess(max(begins), 1.5)
        self.assertGreater(len(history.runs), 1)

    def test_process_that_has_replaced_a_draining_one_stays(self):
        """Guards against the end of a drain that ends another process."""
        restarts = (Fault(2.0, FaultKind.RESTART, t, 0.1, 0.1) for t in range(3))
        history = self.play(FaultKind.DRAIN, 2.5, 1.5, *restarts)
        self.assertNotIn("leaves", history.timeline())

    def test_runs_go_on_without_an_entry(self):
        """Guards against a worker that ends with its entry."""
        history = self.play(FaultKind.LONG_REMOVED_ENTRY, 8.0)
        first = history.runs[0]
        self.assertGreater(first.end, 1.5 + 2.5)


class DrawnWeightTests(ModelTestCase):
    KINDS = {
        FaultKind.LOST_ANNOUNCEMENTS,
        FaultKind.LATE_ANNOUNCEMENTS,
        FaultKind.LOST_PEER_REPLIES,
        FaultKind.DRAIN,
        FaultKind.LONG_REMOVED_ENTRY,
    }

    def kinds(self, **options):
        schedules = [draw_schedule(seed, **options) for seed in range(1, 11)]
        return {fault.kind for schedule in schedules for fault in schedule.faults}

    def test_kinds_without_a_weight_are_not_drawn(self):
        """Guards against seeds that give other schedules than before."""
        self.assertFalse(self.kinds() & self.KINDS)
        kinds = self.kinds(weight_by_kind=LEAVING_WEIGHT_BY_KIND)
        self.assertLessEqual(self.KINDS, kinds)


if __name__ == "__main__":
    unittest.main()
