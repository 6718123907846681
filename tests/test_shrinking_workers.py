"""Load pattern: workers report less capacity while they run tasks."""

import unittest
from unittest import mock

from redwingrudder.coordination.progress_writer import ProgressWriter
from redwingrudder.coordination.recorder import WriteOutcome
from redwingrudder.workflows.model import EndKind, Resources

from . import workflow_fixtures as fx
from .coordination_fakes import node_system, run_for

HALF_SIZE = Resources(64_000, 131_072, 4)


class ShrinkingWorkerTests(unittest.TestCase):
    def setUp(self):
        self.engine = fx.engine(fx.worker("w1"))

    def resize(self, capacity):
        self.engine.set_worker(fx.worker("w1", capacity=capacity), 0.0)

    def plan(self, now=0.0):
        effects = self.engine.plan(now, now)
        fx.confirm(self.engine, effects, now)
        return effects

    def test_present_capacity_limits_starts(self):
        """Guards against starts for which a worker has no room any more.

        What is being stopped keeps its room until its end is reported.
        """
        self.engine.accept(fx.workflow("a", fx.step(2, fx.HALF_WORKER)), 0.0)
        first, second = fx.starts(self.plan())
        self.resize(HALF_SIZE)
        self.engine.accept(fx.workflow("b", fx.step(1, fx.HALF_WORKER)), 0.0)
        self.assertEqual(fx.starts(self.plan()), [])
        self.engine.end("w1", fx.ended(first), 0.1)
        self.assertEqual(fx.starts(self.plan()), [])
        self.engine.cancel("a", 0.2)
        self.assertEqual(fx.starts(self.plan()), [])
        self.engine.end("w1", fx.ended(second, EndKind.STOPPED, 2), 0.3)
        self.assertEqual(len(fx.starts(self.plan())), 1)

    def test_urgent_work_counts_what_is_left(self):
        """Guards against stopping work for room that a worker has lost."""
        self.engine.accept(fx.workflow("a", fx.step(1, fx.HALF_WORKER)), 0.0)
        self.plan()
        self.resize(HALF_SIZE)
        urgent = fx.step(1, fx.WHOLE_WORKER)
        self.engine.accept(fx.workflow("b", urgent, priority=0), 0.0)
        self.assertEqual(self.plan(), [])

    def test_gang_waits_for_room_that_comes_back(self):
        """Guards against a gang that starts in part on a smaller worker."""
        self.resize(HALF_SIZE)
        self.engine.accept(fx.workflow("a", fx.step(8, gang=True)), 0.0)
        self.assertEqual(fx.starts(self.plan()), [])
        self.resize(fx.WORKER_SIZE)
        self.assertEqual(len(fx.starts(self.plan())), 8)


class DelayedStartTests(unittest.TestCase):
    def test_start_is_not_sent_to_a_worker_that_has_shrunk(self):
        """Guards against starts that were planned before a slow write."""
        clock, system, _ = node_system()
        engine = fx.engine(fx.worker("w1"))
        engine.accept(fx.workflow("a", fx.step(2, fx.HALF_WORKER)), 0.0)
        workers = mock.Mock()
        workers.find_unrecorded_ends.return_value = []
        recorder = mock.Mock()

        async def shrink_then_write(_, workflow_ids, starting_ids):
            engine.set_worker(fx.worker("w1", capacity=HALF_SIZE), 0.0)
            return WriteOutcome(tuple(workflow_ids))

        recorder.write = shrink_then_write
        writer = ProgressWriter(system, engine, recorder, workers, mock.Mock())
        for start in fx.starts(engine.plan(0.0, 0.0)):
            writer.add_start(start)
        writer.schedule_write()
        run_for(clock, 0.05)
        self.assertEqual(workers.send.call_count, 1)
        states = [task.state for task in engine.workflows_by_id["a"].tasks()]
        self.assertEqual(sorted(states), ["starting", "waiting"])


if __name__ == "__main__":
    unittest.main()
