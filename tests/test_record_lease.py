"""Tests of the lease that keeps the coordinator's record."""

import itertools
import unittest

from redwingrudder._store_requests import GrantLease, Transact
from redwingrudder.coordination.gateways import COORDINATOR, COORDINATOR_KEY
from redwingrudder.coordination.leadership import Identity, Leadership
from redwingrudder.coordination.messages import BeginTerm, EndTerm, LeaseConfirmed
from redwingrudder.exceptions import OutcomeUnknownError
from redwingrudder.timers import TimerService

from .coordination_fakes import Recording, node_system, run_for


class RecordLeaseTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.system, self.store = node_system()
        self.contents = self.store.contents
        TimerService(self.system)
        handled = {BeginTerm: None, EndTerm: None, LeaseConfirmed: None}
        Recording(self.system, COORDINATOR, handled)
        leases = itertools.count(1)
        self.store._handlers_by_type[GrantLease] = lambda _: next(leases)
        self.leadership = Leadership(self.system, Identity("n1", "a:1", "life"), ())

    def test_record_of_a_late_write_is_not_that_of_the_next_attempt(self):
        """Guards against a coordinator that renews another lease.

        The record of the first attempt is written late, while the second one
        waits for its answer, which is lost. The lease of the first attempt is
        not renewed, so the record goes and another node may be elected.
        """
        self.store.writes_to_delay = 1
        answer = self.store._handlers_by_type[Transact]

        def lose_answer(message):
            if self.store.delayed_writes:
                self.store._handlers_by_type[Transact] = answer
                self.store.apply_delayed_writes()
                self.contents.transact(message)
                raise OutcomeUnknownError("the reply to the write was lost")
            return answer(message)

        self.store._handlers_by_type[Transact] = lose_answer
        self.leadership.start()
        run_for(self.clock, 2.0, (self.store,))
        self.assertEqual(self.contents.leases[COORDINATOR_KEY], 1)
        self.assertFalse(self.leadership.leading)

    def test_record_whose_answer_is_lost_begins_the_term(self):
        """Guards against a record that its own node does not recognise."""
        self.store.replies_to_lose = 1
        self.leadership.start()
        run_for(self.clock, 2.0, (self.store,))
        self.assertTrue(self.leadership.leading)
        self.assertEqual(self.contents.leases[COORDINATOR_KEY], self.leadership._lease)


if __name__ == "__main__":
    unittest.main()
