"""Tests of work whose worker falls silent while its registry entry stays.

Load pattern: one job comes to a fleet that is mostly idle, as the worker that
would begin it stops to answer. The leases are those of the users' sites.
"""

import unittest
from unittest import mock

from redwingrudder.coordination.gateways import COORDINATOR, WorkerTimes
from redwingrudder.coordination.messages import WorkerLeaseLapsed
from redwingrudder.coordination.worker_session import longest_lease_timeout_s
from redwingrudder.simulation import MAX_LEASE_S, _worker_process

from . import workflow_fixtures as fx
from .late_call_case import KEY, LateCallCase
from .test_start_trials import FINISH_S, JOB, StartTrialCase

LEASE_S = 10.0
HEARTBEAT_S = 1.5
WARM_UP_S = 8.0


class SilentWorkerCase(StartTrialCase):
    """A job comes to twelve workers, one of which does not answer."""

    times = WorkerTimes(LEASE_S, HEARTBEAT_S)

    def setUp(self):
        patch = mock.patch.object(_worker_process, "MAX_LEASE_S", LEASE_S)
        patch.start()
        self.addCleanup(patch.stop)
        super().setUp()
        self.submit("first", fx.step(), queue="plain")
        self.run_for(WARM_UP_S)
        self.worker = self.workers.workers_by_id["w00"]


class SilentWorkerTests(SilentWorkerCase):
    """The worker does not answer any more."""

    def test_start_without_a_reply(self):
        """Guards against a task that is held beside an idle fleet."""
        self.worker.mute = True
        self.submit("job", JOB, queue="plain")
        self.assert_all_done(FINISH_S)

    def test_start_that_was_not_sent(self):
        """Guards against a task that waits for a lease it does not have."""
        self.worker.silent = True
        self.submit("job", JOB, queue="plain")
        self.assert_all_done(FINISH_S)


class SilentSuspectTests(LateCallCase):
    """The worker falls silent just after its start, and its lease lapses."""

    def lapse(self):
        self.submit("job", 0.1)
        self.assertIn(KEY, self.w1.process.runs_by_key)
        self.w1.silent = True

    def suspicion(self):
        self.run_for(longest_lease_timeout_s(MAX_LEASE_S) + 2.0)
        task = self.coordinator._term.engine.find(KEY)
        self.assertEqual(task.state, "waiting")
        return task.suspicion

    def test_entry_that_stays_is_no_sign_of_a_crash(self):
        """Guards against sound tasks that are observed one after the other."""
        self.lapse()
        self.assertEqual(self.suspicion(), "clear")

    def test_entry_that_was_removed_may_be_that_of_a_crash(self):
        """Guards against a task that crashes one worker after the other."""
        self.lapse()
        self.run_for(3 * HEARTBEAT_S)
        self.store.contents.remove("servers/w1")
        self.assertEqual(self.suspicion(), "suspected")

    def test_worker_that_answers_again_has_not_lapsed(self):
        """Guards against a hold that its next silence ends at once."""
        self.lapse()
        self.suspicion()
        worker = self.coordinator._term.engine.workers_by_id["w1"]
        self.assertTrue(worker.lapsed)
        self.w1.silent = False
        self.run_for(2.0)
        self.assertFalse(worker.lapsed)

    def test_restarted_worker_has_not_lapsed(self):
        """Guards against two runs by a start that reaches its new process."""
        self.lapse()
        term = self.coordinator._term
        run = term.engine.find(KEY).run
        fence = term.workers._sessions_by_worker["w1"].fence
        lapsed = WorkerLeaseLapsed("w1", fence, True, frozenset())
        self.system.tell(COORDINATOR, lapsed)
        self.run_for(0.1)
        self.assertGreater(term.engine.find(KEY).run, run)
        self.assertFalse(term.engine.workers_by_id["w1"].lapsed)


if __name__ == "__main__":
    unittest.main()
