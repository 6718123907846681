"""No task crashes more workers than the limit, whatever else happens."""

import unittest

from redwingrudder.workflows.model import WorkflowState

from . import workflow_fixtures as fx
from .test_crashing_tasks import MAX_CRASHES, RETURN_S, STEP_S
from .test_lapsed_leases import CutFleet

PLAY_S = 200.0


class CrashLimitTests(unittest.TestCase):
    def test_crashes_at_moments_of_cuts_count(self):
        """Guards against a task that crashes workers while others are cut."""
        fleet = CutFleet(20)
        fleet.accept("deadly", fx.step(1), deadly=[0])
        for crashes in range(1, MAX_CRASHES + 3):
            while sum(fleet.crashes_by_key.values()) < crashes and fleet.now < PLAY_S:
                fleet.run_until(fleet.now + STEP_S)
            (*_, idle) = sorted(set(fleet.facts_by_id) - fleet._gone)
            fleet.cut(idle)
            fleet.run_until(fleet.now + RETURN_S + STEP_S)
        fleet.run_until(PLAY_S)
        self.assertEqual(fleet.state("deadly"), WorkflowState.FAILED)
        self.assertLessEqual(sum(fleet.crashes_by_key.values()), MAX_CRASHES)


if __name__ == "__main__":
    unittest.main()
