"""Tests of registry entries whose pool is in no configuration."""

import unittest

from redwingrudder.coordination.gateways import ChannelFactory
from redwingrudder.workflows.model import EndKind, Resources, RunEnd
from redwingrudder.workflows.records import PlacedRun

from . import workflow_fixtures as fx
from .test_returning_entries import ListingChannel
from .test_worker_table import KEY, entry
from .worker_table_case import WorkerTableCase

BORN_MS = 1_000_000
OWN_ADDRESS, FOREIGN_ADDRESS = "10.0.0.1:80", "10.0.0.2:80"
OWN = entry(address=OWN_ADDRESS, born=BORN_MS)
FOREIGN = entry(address=FOREIGN_ADDRESS, service="other", born=BORN_MS - 60_000)
MALFORMED = ("", "[]", "{}", entry(state="asleep"), entry(address=7), entry(born="1"))
REMOVED_S = 4.0


class ChannelsByAddress(ChannelFactory):
    """Own and foreign workers; a foreign one has another id."""

    def __init__(self, clock):
        self.by_address = {
            address: ListingChannel(clock) for address in (OWN_ADDRESS, FOREIGN_ADDRESS)
        }
        self.by_address[OWN_ADDRESS].process_started_ms = BORN_MS
        self.by_address[FOREIGN_ADDRESS].rejection_reason = "other_life"

    def open(self, facts):
        return self.by_address[facts.address]


class UnknownPoolCase(WorkerTableCase):
    channels_type = ChannelsByAddress

    def setUp(self):
        super().setUp()
        self.own = self.channels.by_address[OWN_ADDRESS]
        self.foreign = self.channels.by_address[FOREIGN_ADDRESS]

    def run_for(self, seconds):
        """Sweep as often as the coordinator does."""
        for _ in range(round(seconds / 0.2)):
            super().run_for(0.2)
            self.workers.sweep()

    def start_job(self):
        self.engine.accept(fx.workflow("job", fx.step(1, Resources(1, 1, 1))), 0.0)
        (start,) = fx.starts(self.engine.plan(self.clock.seconds(), 0.0))
        self.workers.send(start)
        self.run_for(0.2)
        self.own.running = [(start.key, start.run)]
        self.run_for(1.2)
        task = self.engine.find(start.key)
        self.assertEqual(task.state, "running")
        return task

    def assert_goes_on(self, task):
        self.assertEqual((task.state, task.worker_id), ("running", "w1"))
        self.assertTrue(self.engine.workers_by_id["w1"].present)


class EntryTests(UnknownPoolCase):
    def setUp(self):
        super().setUp()
        self.workers.configure(frozenset({"pool"}))

    def test_foreign_worker_is_not_called(self):
        """Guards against orders to the workers of another system."""
        self.workers.set_all_entries({"servers/x0": FOREIGN})
        self.workers.set_entry("servers/x0", FOREIGN)
        self.run_for(2.0)
        self.assertEqual(self.foreign.calls, [])
        self.assertEqual(self.engine.workers_by_id, {})

    def test_entry_under_the_id_of_a_live_worker_changes_nothing(self):
        """Guards against a second run beside that of a live worker."""
        self.workers.set_entry(KEY, OWN)
        self.run_for(0.4)
        task = self.start_job()
        for value in (FOREIGN, *MALFORMED):
            with self.subTest(value=value):
                self.workers.set_entry(KEY, value)
                self.workers.set_all_entries({KEY: value})
                self.run_for(1.4)
                self.assert_goes_on(task)
                self.workers.set_entry(KEY, OWN)
                self.run_for(0.4)
                self.assert_goes_on(task)
        self.assertEqual(self.foreign.calls, [])

    def test_entry_is_applied_with_its_configuration(self):
        """Guards against workers that wait for their next entry."""
        self.workers.configure(frozenset({"other"}))
        self.workers.set_entry(KEY, OWN)
        self.run_for(1.0)
        self.assertEqual(self.own.calls, [])
        self.workers.configure(frozenset({"other", "pool"}))
        self.run_for(0.4)
        self.assertTrue(self.engine.workers_by_id["w1"].present)

    def test_removed_or_replaced_entry_is_not_applied(self):
        """Guards against an outdated entry that a configuration revives."""
        self.workers.configure(frozenset())
        replacements = (
            lambda: self.workers.set_entry(KEY, None),
            lambda: self.workers.set_entry(KEY, MALFORMED[0]),
            lambda: self.workers.set_all_entries({}),
        )
        for replace in replacements:
            self.workers.set_entry(KEY, OWN)
            replace()
        self.workers.configure(frozenset({"pool"}))
        self.run_for(1.0)
        self.assertEqual(self.own.calls, [])

    def test_pool_that_is_removed_and_added_again(self):
        """Guards against idle workers of a removed pool that are kept."""
        self.workers.set_entry(KEY, OWN)
        self.run_for(0.4)
        self.workers.configure(frozenset())
        self.assertFalse(self.engine.workers_by_id["w1"].present)
        self.run_for(REMOVED_S)
        self.assertEqual(self.engine.workers_by_id, {})
        self.workers.configure(frozenset({"pool"}))
        self.run_for(0.4)
        self.assertTrue(self.engine.workers_by_id["w1"].present)

    def test_pool_that_is_removed_while_a_task_runs(self):
        """Guards against runs that are lost with the pool of their worker."""
        self.workers.set_entry(KEY, OWN)
        self.run_for(0.4)
        task = self.start_job()
        self.workers.configure(frozenset())
        self.workers.set_entry(KEY, entry(born=BORN_MS, state="draining"))
        self.run_for(REMOVED_S)
        self.assertEqual((task.state, task.worker_id), ("running", "w1"))
        self.own.running = []
        self.own.ended = (RunEnd(1, task.key, task.run, EndKind.DONE, ""),)
        self.run_for(REMOVED_S + 2.0)
        self.assertEqual(task.state, "done")
        self.assertEqual(self.engine.workers_by_id, {})


class RestartedWorkerTests(UnknownPoolCase):
    def test_worker_stays_until_the_entry_of_its_new_process(self):
        """Guards against the removal of a worker whose pool is unknown yet."""
        self.workers.configure(frozenset({"pool"}))
        self.workers.set_entry(KEY, OWN)
        self.run_for(0.4)
        self.own.process_started_ms = BORN_MS + 1_000
        self.run_for(REMOVED_S)
        self.assertTrue(self.engine.workers_by_id["w1"].present)
        self.workers.set_entry(KEY, entry(address=OWN_ADDRESS, born=BORN_MS + 1_000))
        self.run_for(0.4)
        self.assertEqual(self.engine.workers_by_id["w1"].facts.pool, "pool")


class AcceptedJobTests(UnknownPoolCase):
    """Jobs that were accepted before their pool was removed."""

    def test_job_keeps_its_pool(self):
        """Guards against accepted jobs that never run."""
        self.workers.configure(frozenset())
        self.workers.set_entry(KEY, OWN)
        self.run_for(0.4)
        self.assertEqual(self.engine.workers_by_id, {})
        self.engine.accept(fx.workflow("job", fx.step(1, Resources(1, 1, 1))), 0.0)
        self.run_for(0.4)
        self.assertTrue(self.engine.workers_by_id["w1"].present)

    def test_recorded_run_on_a_worker_of_a_removed_pool(self):
        """Guards against a run that lapses at a change of the coordinator.

        Its queue has moved to another pool.
        """
        self.workers.configure(frozenset({"new"}))
        workflow = fx.workflow("job", fx.step(1, Resources(1, 1, 1)))
        progress = self.engine.accept(workflow, 0.0)
        policy = progress.policy._replace(pool="new")
        progress.set_policy(policy, 2)
        self.workers.set_all_entries({KEY: OWN})
        key = fx.key("job")
        self.workers.adopt(PlacedRun(key, 1, "w1", BORN_MS))
        self.own.running = [(key, 1)]
        self.run_for(1.0)
        self.assert_goes_on(self.engine.find(key))
        self.workers.set_entry(KEY, FOREIGN)
        self.run_for(1.0)
        self.assert_goes_on(self.engine.find(key))


if __name__ == "__main__":
    unittest.main()
