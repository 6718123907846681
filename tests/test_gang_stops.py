"""Tests of the stops that a coordinator sends while planning takes long."""

from unittest import mock

from redwingrudder.coordination import coordinator
from redwingrudder.coordination.gateways import CANCEL_SUFFIX, INTAKE_PREFIX
from redwingrudder.simulation import RunBehaviour
from redwingrudder.workflows import records

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
