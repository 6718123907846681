"""Tests of complete reads of the registry that are repeated."""

import unittest
from unittest import mock

from redwingrudder.coordination.worker_session import WorkerSession
from redwingrudder.platform.registry import PlatformRegistry

from .test_returning_entries import ListingChannels
from .test_worker_table import KEY, entry
from .worker_table_case import WorkerTableCase


class RepeatedReadTests(WorkerTableCase):
    """A read has been applied, and its worker has answered."""

    channels_type = ListingChannels

    def setUp(self):
        super().setUp()
        self.pairs = {KEY: entry()}
        self.workers.set_all_entries(self.pairs)
        self.run_for(0.5)
        self.worker = self.engine.workers_by_id["w1"]

    def test_unchanged_entries_are_not_applied_again(self):
        """Guards against a coordinator that is late for its workers.

        Load pattern: the store answers no watch, so that the entries of a
        large site are read more than once in a second.
        """
        decode = mock.patch.object(PlatformRegistry, "decode")
        update = mock.patch.object(WorkerSession, "_update_facts")
        with decode as decoded, update as updated:
            self.workers.set_all_entries(self.pairs)
            self.run_for(0.5)
        decoded.assert_not_called()
        updated.assert_not_called()

    def test_changed_entry_is_applied(self):
        """Guards against runs that are placed on a draining worker."""
        self.workers.set_all_entries({KEY: entry(state="draining")})
        self.assertTrue(self.worker.facts.draining)
        self.workers.set_all_entries(self.pairs)
        self.assertFalse(self.worker.facts.draining)

    def test_entry_that_the_watch_has_changed_is_applied(self):
        """Guards against comparing an entry with an outdated one."""
        self.workers.set_entry(KEY, entry(state="draining"))
        self.workers.set_all_entries(self.pairs)
        self.assertFalse(self.worker.facts.draining)

    def test_entry_that_was_absent_is_applied(self):
        """Guards against a worker that stays unlisted when it is back."""
        self.workers.set_all_entries({})
        self.assertFalse(self.worker.listed)
        self.workers.set_all_entries(self.pairs)
        self.assertTrue(self.worker.listed)

    def test_worker_that_was_removed_gets_a_session_again(self):
        """Guards against a worker that is never used again."""
        self.workers.set_all_entries({})
        self.run_for(3.0)
        self.workers.sweep()
        self.assertEqual(self.workers.count, 0)
        self.workers.set_all_entries(self.pairs)
        self.assertEqual(self.workers.count, 1)


if __name__ == "__main__":
    unittest.main()
