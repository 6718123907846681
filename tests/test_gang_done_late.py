"""A gang's run that ends as done while members have a newer run."""

import unittest

from redwingrudder.workflows.model import NO_RESOURCES, EndKind, WorkflowState

from . import workflow_fixtures as fx

WORKER_ID = "w1"


class GangDoneLateTests(unittest.TestCase):
    """The first run of one member begins late, in the next process."""

    def setUp(self):
        self.engine = fx.engine(fx.worker(WORKER_ID))
        self.engine.accept(fx.workflow("job", fx.step(2, gang=True)), 0.0)
        self.first = fx.starts(self.engine.plan(0.0, 0.0))
        restarted = fx.worker(WORKER_ID, process_started_ms=2)
        self.engine.set_worker(restarted, 0.1)
        self.engine.reconcile(WORKER_ID, set(), True, 0.2)
        self.second = fx.starts(self.engine.plan(0.2, 0.2))
        self.assertEqual([start.run for start in self.second], [2, 2])
        self.members = [self.engine.find(start.key) for start in self.second]
        fx.confirm(self.engine, self.second[:1], 0.3)
        # The second member's first run has begun, so its second is rejected.
        late = self.first[1]
        self.engine.start_rejected(late.key, 2, "outdated", 0.3)
        self.report(0.4, fx.running(self.second[0]), fx.running(late))

    def report(self, now, *entries):
        self.engine.report(WORKER_ID, entries, now)
        listed = {(entry.key, entry.run) for entry in entries}
        self.engine.settle_reappeared(WORKER_ID, listed, now)
        self.engine.plan(now, now)

    def states(self):
        return [member.state for member in self.members]

    def test_done_completes_members_with_a_newer_run(self):
        """Guards against a gang that waits for a member that is done."""
        self.assertEqual(self.states(), ["stopping", "stopping"])
        self.engine.end(WORKER_ID, fx.ended(self.first[1]), 0.5)
        self.assertEqual(self.states(), ["done", "done"])
        self.engine.plan(0.5, 0.5)
        progress = self.engine.workflows_by_id["job"]
        self.assertEqual(progress.state, WorkflowState.DONE)

    def test_newer_run_uses_capacity_until_it_has_ended(self):
        """Guards against a worker over its capacity while a run is stopped."""
        self.engine.end(WORKER_ID, fx.ended(self.first[1]), 0.5)
        worker = self.engine.workers_by_id[WORKER_ID]
        self.assertEqual(worker.used, fx.ONE_GPU)
        stopped = fx.ended(self.second[0], EndKind.STOPPED, number=2)
        self.engine.end(WORKER_ID, stopped, 0.6)
        self.report(0.7)
        self.assertEqual(worker.used, NO_RESOURCES)

    def test_newer_run_that_has_ended_before(self):
        """Guards against a second run of a gang that is done."""
        stopped = fx.ended(self.second[0], EndKind.STOPPED)
        self.engine.end(WORKER_ID, stopped, 0.5)
        self.engine.end(WORKER_ID, fx.ended(self.first[1], number=2), 0.6)
        self.assertEqual(self.states(), ["done", "done"])
        self.assertEqual(fx.starts(self.engine.plan(0.7, 0.7)), [])


if __name__ == "__main__":
    unittest.main()
