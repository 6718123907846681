"""Starts of a task of which a worker lists an older run."""

import unittest
from unittest import mock

from redwingrudder.coordination.gateways import COORDINATOR
from redwingrudder.coordination.messages import WorkflowStored
from redwingrudder.coordination.worker_session import session_name
from redwingrudder.simulation import MAX_LEASE_S
from redwingrudder.workflows import records
from redwingrudder.workflows.model import (
    NO_RESOURCES,
    EndKind,
    PollWorker,
    RunReport,
    WorkflowState,
)
from redwingrudder.workflows.start_trials import FIRST_REST_S

from . import workflow_fixtures as fx
from .late_call_case import KEY, NO_ROOM, ROOM, LateCallCase


class OlderRunCase(unittest.TestCase):
    """The first run of a task was given up on w1, the next one is on w2."""

    steps = (fx.step(),)

    def setUp(self):
        self.engine = fx.engine(fx.worker("w1"))
        self.engine.accept(fx.workflow("job", *self.steps), 0.0)
        self.older = fx.starts(self.engine.plan(0.0, 0.0))[0]
        self.engine.start_rejected(self.older.key, 1, "unanswered", 0.1)
        self.engine.set_worker(fx.worker("w2"), 0.1)
        self.engine.workers_by_id["w1"].reachable = False
        self.engine.workers_by_id["w2"].reachable = True
        self.newer = fx.starts(self.engine.plan(0.2, 0.2))[0]
        self.task = self.engine.find(self.older.key)

    def list_older(self, now):
        """Let w1 list the older run; returns the runs that are stopped."""
        self.engine.report("w1", [fx.running(self.older)], now)
        effects = self.engine.plan(now, now)
        self.assertEqual(fx.starts(effects), [])
        return [(stop.worker_id, stop.run) for stop in fx.stops(effects)]

    def starts_at(self, now):
        return [start.run for start in fx.starts(self.engine.plan(now, now))]


class WithheldStartTests(OlderRunCase):
    """The next run has been planned when the older one is listed."""

    def test_start_that_was_not_sent_is_given_up(self):
        """Guards against a run that begins beside an older one."""
        self.assertEqual(self.list_older(0.3), [("w1", self.older.run)])
        self.assertFalse(self.engine.is_starting(self.newer.key, self.newer.run))
        self.assertEqual(self.engine.workers_by_id["w2"].used, NO_RESOURCES)
        self.engine.end("w1", fx.ended(self.older, EndKind.STOPPED), 0.5)
        self.assertEqual(self.starts_at(0.5), [self.newer.run + 1])

    def test_start_that_got_no_reply_is_stopped(self):
        """Guards against further attempts of a start beside an older run."""
        self.engine.start_sent(self.newer.key, self.newer.run, 0.2)
        stopped = self.list_older(0.3)
        self.assertCountEqual(stopped, [("w1", self.older.run), ("w2", self.newer.run)])
        self.engine.start_rejected(self.newer.key, self.newer.run, "unanswered", 0.4)
        self.assertEqual(self.starts_at(0.4), [])
        self.engine.report("w1", [], 0.5)
        self.assertEqual(self.starts_at(0.5), [self.newer.run + 1])

    def test_next_run_waits_until_both_have_ended(self):
        """Guards against a run that begins while the newer one is stopped."""
        self.engine.start_sent(self.newer.key, self.newer.run, 0.2)
        self.list_older(0.3)
        self.engine.report("w1", [], 0.4)
        self.assertEqual(self.starts_at(0.4), [])
        self.engine.end("w2", fx.ended(self.newer, EndKind.STOPPED), 0.5)
        self.assertEqual(self.starts_at(0.5), [self.newer.run + 1])

    def test_done_end_of_either_run_counts_once(self):
        """Guards against a task that is run again after its end."""
        for first, second in (("w1", "w2"), ("w2", "w1")):
            with self.subTest(first=first):
                self.setUp()
                self.engine.start_sent(self.newer.key, self.newer.run, 0.2)
                self.list_older(0.3)
                runs = {"w1": self.older, "w2": self.newer}
                self.assertTrue(self.engine.end(first, fx.ended(runs[first]), 0.4))
                self.assertFalse(self.engine.end(second, fx.ended(runs[second]), 0.5))
                progress = self.engine.workflows_by_id["job"]
                self.assertEqual(progress.state, WorkflowState.DONE)
                self.assertEqual(self.starts_at(0.5), [])

    def test_confirmed_run_stays(self):
        """Guards against losing both of two runs that have begun."""
        self.engine.start_sent(self.newer.key, self.newer.run, 0.2)
        self.engine.start_confirmed(self.newer.key, self.newer.run, 0.25)
        self.assertEqual(self.list_older(0.3), [("w1", self.older.run)])
        self.engine.end("w1", fx.ended(self.older, EndKind.STOPPED), 0.5)
        self.assertEqual(self.starts_at(0.5), [])
        self.assertTrue(self.task.is_current(self.newer.run, "w2"))

    def test_recorded_run_of_an_earlier_term_stays(self):
        """Guards against stopping a run that goes on, at a change of term."""
        engine = self.engine = fx.engine(fx.worker("w1"), fx.worker("w2"))
        engine.accept(fx.workflow("job", *self.steps), 0.0)
        engine.adopt_run(self.newer.key, self.newer.run, "w2", False, 0.2)
        self.assertEqual(self.list_older(0.3), [("w1", self.older.run)])
        self.assertTrue(engine.is_starting(self.newer.key, self.newer.run))

    def test_run_on_a_restarted_worker_stays(self):
        """Guards against stopping a run whose start was confirmed before."""
        self.engine.start_sent(self.newer.key, self.newer.run, 0.2)
        self.engine.start_confirmed(self.newer.key, self.newer.run, 0.25)
        self.engine.replace_process("w2", 2, 0.3)
        self.assertEqual(self.list_older(0.3), [("w1", self.older.run)])

    def test_newer_run_withholds_nothing(self):
        """Guards against a coordinator that gives way to unknown runs."""
        entry = RunReport(self.newer.key, self.newer.run + 1, "", 10.0)
        self.engine.report("w1", [entry], 0.3)
        self.assertTrue(self.engine.is_starting(self.newer.key, self.newer.run))


class WithheldGangTests(OlderRunCase):
    """The same for a gang, of which each worker has room for one member."""

    steps = (fx.step(2, fx.WHOLE_WORKER, gang=True),)

    def setUp(self):
        self.engine = fx.engine(fx.worker("w1"), fx.worker("w2"))
        self.engine.accept(fx.workflow("job", *self.steps), 0.0)
        first = fx.starts(self.engine.plan(0.0, 0.0))
        for start in first:
            self.engine.start_rejected(start.key, start.run, "unanswered", 0.1)
        self.older = next(start for start in first if start.worker_id == "w1")
        self.engine.workers_by_id["w1"].reachable = False
        self.engine.set_worker(fx.worker("w3"), 0.1)
        self.newer = fx.starts(self.engine.plan(0.2, 0.2))

    def test_all_members_are_withheld_or_stopped(self):
        """Guards against a gang that waits for a member that is withheld."""
        self.assertEqual({s.worker_id for s in self.newer}, {"w2", "w3"})
        sent = next(s for s in self.newer if s.key != self.older.key)
        self.engine.start_sent(sent.key, sent.run, 0.2)
        stopped = self.list_older(0.3)
        self.assertIn((sent.worker_id, sent.run), stopped)
        self.assertIn(("w1", self.older.run), stopped)
        for start in self.newer:
            self.assertFalse(self.engine.is_starting(start.key, start.run))
        self.engine.start_rejected(sent.key, sent.run, "unanswered", 0.4)
        self.assertEqual(self.starts_at(0.4), [])
        self.engine.report("w1", [], 0.5)
        self.engine.settle_reappeared("w1", set(), 0.5)
        # One of the two workers has refused two starts, and rests.
        rested_at = 0.4 + FIRST_REST_S
        self.assertEqual(self.starts_at(rested_at), [sent.run + 1] * 2)


class CoordinatorTests(LateCallCase):
    """The same with a coordinator and its records.

    The start is to be sent to w2. The stops that w1 receives take effect late.
    """

    def setUp(self):
        super().setUp()
        self.register("w1", NO_ROOM)
        self.register("w2", ROOM)
        self.run_for(0.1)
        self.w1.late = {"stop"}

    def begin_older_run(self):
        """Let w1 begin a run with a lower number and list it."""
        process = self.w1.process
        lease_until_ms = process.clock_ms + int(MAX_LEASE_S * 1000)
        reply = process.start(max(self.w1.fences), KEY, 1, lease_until_ms)
        self.assertTrue(reply.accepted)
        self.system.tell(session_name("w1"), PollWorker("w1"))
        self.run_for(0.1)

    def end_older_run(self):
        self.w1.late = set()
        self.w1.carry_out_late_calls()
        self.run_for(1.0)

    def test_start_whose_record_is_not_written_yet(self):
        """Guards against a start that is recorded and sent beside a stop."""
        with mock.patch.object(self.store, "down", True):
            self.accept_while_down()
            self.begin_older_run()
        self.run_for(0.5)
        self.assertIn(KEY, self.w1.process.runs_by_key)
        self.assertEqual(self.w2.process.runs_by_key, {})
        self.end_older_run()
        self.assertIn(KEY, self.w2.process.runs_by_key)

    def accept_while_down(self):
        """Announce a job; the store cannot record its start."""
        document = records.encode_workflow(fx.workflow("job")).decode()
        self.system.tell(COORDINATOR, WorkflowStored("job", document))
        self.run_for(0.1)

    def test_start_without_a_reply(self):
        """Guards against a further attempt beside an older run."""
        self.w2.late = {"start"}
        self.submit("job", 0.05)
        self.assertEqual(len(self.w2.late_calls), 1)
        self.w2.late = set()
        self.begin_older_run()
        self.run_for(0.5)
        self.assertEqual(self.w2.process.runs_by_key, {})
        self.end_older_run()
        self.run_for(1.0)
        self.assertIn(KEY, self.w2.process.runs_by_key)


if __name__ == "__main__":
    unittest.main()
