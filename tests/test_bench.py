"""Tests of the policy benchmark: reproducible figures and no lost jobs."""

import pathlib
import unittest

from redwingrudder import bench
from redwingrudder._bench_load import CancelWave, Outage
from redwingrudder.exceptions import NotFoundError

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
HORIZON_S = 240.0


class BenchTests(unittest.TestCase):
    def run_scenario(self, name, policy="slack", **changes):
        fleet = bench.load_fleet(str(EXAMPLES / "huon"))
        scenario = bench.find_scenario(name)._replace(**changes)
        return bench.run_scenario(fleet, scenario, policy, 1, HORIZON_S)

    def test_same_seed_gives_the_same_figures(self):
        """Guards against figures that vary between runs of the same seed.

        Policies are compared by these figures.
        """
        self.assertEqual(self.run_scenario("gangs"), self.run_scenario("gangs"))

    def test_no_job_is_lost_or_doubled_under_faults(self):
        """Guards against lost jobs and repeated starts when faults coincide.

        Failing workers, cancellations, a store outage and the loss of a rack
        all fall within the horizon.
        """
        for policy in bench.POLICIES_BY_NAME:
            report = self.run_scenario(
                "bad-workers",
                policy,
                cancel_wave=CancelWave(100.0, 0.5),
                store_outage=Outage(60.0, 120.0),
                rack_loss=Outage(90.0, 150.0),
            )
            self.assertEqual((report.figures.lost, report.figures.doubled), (0, 0))
            self.assertGreater(report.figures.classes[0].succeeded, 100)

    def test_error_for_an_unknown_name_lists_the_available_names(self):
        """Guards against an error that does not help to correct the name."""
        with self.assertRaisesRegex(NotFoundError, "flood-urgent"):
            bench.find_scenario("flood")
        with self.assertRaisesRegex(NotFoundError, "slack"):
            self.run_scenario("steady", "random")
