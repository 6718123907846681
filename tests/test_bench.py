"""Tests of the bench: it must lose no job and give the same figures again."""

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
        """Rounds are compared by figures, so these must not vary."""
        self.assertEqual(self.run_scenario("gangs"), self.run_scenario("gangs"))

    def test_no_job_is_lost_or_doubled_under_faults(self):
        """All faults at once, within the short horizon of this test."""
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

    def test_unknown_names_are_refused_with_those_that_exist(self):
        with self.assertRaisesRegex(NotFoundError, "flood-urgent"):
            bench.find_scenario("flood")
        with self.assertRaisesRegex(NotFoundError, "slack"):
            self.run_scenario("steady", "random")
