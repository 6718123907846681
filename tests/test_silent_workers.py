"""Tests of work whose worker falls silent while its registry entry stays.

Load pattern: one job comes to a fleet that is mostly idle, as the worker that
would begin it stops to answer. The leases are those of the users' sites.
"""

import unittest
from unittest import mock

from redwingrudder.coordination.gateways import WorkerTimes
from redwingrudder.simulation import _worker_process

from . import workflow_fixtures as fx
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


if __name__ == "__main__":
    unittest.main()
