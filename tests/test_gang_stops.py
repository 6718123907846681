"""Tests of the stops of gangs that cannot begin, and of when they are sent."""

import unittest
from unittest import mock

from redwingrudder.coordination import coordinator
from redwingrudder.coordination.gateways import CANCEL_SUFFIX, INTAKE_PREFIX
from redwingrudder.simulation import RunBehaviour
from redwingrudder.workflows import records
from redwingrudder.workflows.model import EndKind, RunEnd, RunReport

from . import workflow_fixtures as fx
from .late_call_case import ROOM, LateCallCase

PLAN_PAUSE_S = 3.0  # between planning passes that take 1.5 s
SOON_S = 0.5


class RejectedStarts(RunBehaviour):
    """Rejects all starts."""

    def stop_duration_s(self, key, run):
        return 0.0

    def accepts_ticket(self, process, key, ticket):
        return False


class LostMemberTests(unittest.TestCase):
    """A member of a gang is lost while the others wait for it or work."""

    def setUp(self):
        self.engine = fx.engine(*(fx.worker(f"w{i}") for i in range(3)))
        gang = fx.step(3, fx.WHOLE_WORKER, gang=True)
        self.progress = self.engine.accept(fx.workflow("job", gang), 0.0)

    def start_gang(self):
        starts = fx.starts(self.engine.plan(0.0, 0.0))
        self.assertEqual(len(starts), 3)
        return starts

    def stopped(self):
        return sorted(stop.worker_id for stop in fx.stops(self.engine.take_effects()))

    def test_run_that_was_not_started_before_a_takeover(self):
        """Guards against members that wait alone after a takeover.

        The last coordinator has recorded the run of the gang, and only one of
        its starts has reached a worker.
        """
        for index in range(3):
            key = fx.key("job", index=index)
            self.engine.adopt_run(key, 1, f"w{index}", False, 0.0, 1)
        listed = RunReport(fx.key("job"), 1, "", 0.0)
        self.engine.report("w0", [listed], 0.1)
        self.engine.reconcile("w0", {(listed.key, 1)}, True, 0.1)
        self.assertEqual(self.stopped(), [])
        self.engine.reconcile("w1", set(), True, 0.2)
        self.assertEqual(self.stopped(), ["w0", "w2"])
        self.engine.reconcile("w2", set(), True, 0.3)
        self.engine.end("w0", RunEnd(1, listed.key, 1, EndKind.STOPPED), 0.4)
        starts = self.start_gang()
        self.assertEqual({start.run for start in starts}, {2})

    def test_worker_that_is_gone(self):
        """Guards against members that wait for one whose worker is gone."""
        starts = self.start_gang()
        fx.confirm(self.engine, starts)
        self.engine.remove_worker("w1", 0.2, "gone")
        self.assertEqual(self.stopped(), ["w0", "w2"])

    def test_gang_that_has_ended_meanwhile(self):
        """Guards against a gang that runs again although it is done."""
        starts = self.start_gang()
        fx.confirm(self.engine, starts)
        self.engine.interrupt_worker("w1", 2.0, "lease_lapsed")
        self.engine.end("w0", fx.ended(starts[0]), 2.1)
        self.assertEqual(self.progress.state, "done")


class SlowPlanningTests(LateCallCase):
    """Two workers with room, and passes that are far apart."""

    def setUp(self):
        super().setUp()
        self.register("w2", ROOM)
        self.run_for(0.1)
        patch = mock.patch.object(coordinator, "PLAN_DELAY_S", PLAN_PAUSE_S)
        patch.start()
        self.addCleanup(patch.stop)

    def submit_steps(self, *steps):
        """Submit a job, and run until its first start was sent."""
        document = records.encode_workflow(fx.workflow("job", *steps)).decode()
        self.store.contents.put(INTAKE_PREFIX + "job", document)
        for _ in range(400):
            self.run_for(0.02)
            if self.w1.starts or self.w2.starts:
                return
        self.fail("nothing was started")

    def test_gang_is_stopped_at_once_if_a_member_is_rejected(self):
        """Guards against a member that waits alone for the next pass.

        It holds its capacity, and ends by itself after the gang's timeout.
        """
        self.w2.behaviour = RejectedStarts()
        self.submit_steps(fx.step(2, fx.WHOLE_WORKER, gang=True))
        (start,) = self.w1.starts
        self.run_for(SOON_S)
        self.assertEqual([stop.run for stop in self.w1.stops], [start.run])
        self.assertLess(self.w1.stops[0].sent_at - start.sent_at, SOON_S)

    def test_cancelled_run_is_stopped_at_once(self):
        """Guards against a cancelled run that goes on until the next pass."""
        self.submit_steps(fx.step(1))
        self.run_for(PLAN_PAUSE_S + 0.1)
        cancelled_at = self.clock.seconds()
        self.store.contents.put(INTAKE_PREFIX + "job" + CANCEL_SUFFIX, "1")
        self.run_for(SOON_S)
        (stop,) = self.w1.stops + self.w2.stops
        self.assertLess(stop.sent_at - cancelled_at, SOON_S)
