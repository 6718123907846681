"""Tests of the run times with which runs are compared."""

import statistics
import unittest

from redwingrudder.workflows.run_times import SiblingProjections, projected_run_s

from . import workflow_fixtures as fx


class SiblingProjectionTests(unittest.TestCase):
    """Runs of one step at different progress."""

    def start(self, percents):
        engine = fx.engine(fx.worker("w1"))
        progress = engine.accept(fx.workflow("job", fx.step(len(percents))), 0.0)
        fx.confirm(engine, engine.plan(0.0, 0.0))
        tasks = list(progress.tasks())
        for task, percent in zip(tasks, percents, strict=True):
            task.percent, task.reported_at = percent, 2.0
        return tasks

    def test_median_leaves_out_the_run_itself(self):
        """Guards against a run that is compared with itself.

        Runs that have completed their work have no projection.
        """
        for percents in ((10,), (10, 20), (10, 20, 40), (5, 5, 20, 100), (100, 10, 50)):
            tasks = self.start(percents)
            projections = SiblingProjections()
            for task in tasks:
                with self.subTest(percents=percents, percent=task.percent):
                    others = [projected_run_s(t) for t in tasks if t is not task]
                    known = [value for value in others if value is not None]
                    expected = statistics.median(known) if known else None
                    self.assertEqual(projections.median_of_others(task), expected)


if __name__ == "__main__":
    unittest.main()
