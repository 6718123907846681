"""Tests of the next campaign of a node that has resigned as coordinator."""

import json
import unittest

from redwingrudder._store_requests import Transact
from redwingrudder.coordination.gateways import (
    COORDINATOR_KEY,
    LEADERSHIP,
)
from redwingrudder.coordination.leadership import (
    CAMPAIGN_JITTER_S,
    RESIGNED_DELAY_S,
)
from redwingrudder.coordination.messages import (
    BeginTerm,
    Resign,
)
from redwingrudder.exceptions import StoreUnavailableError

from .coordination_fakes import leadership_of_one_node, node_system, run_for

ELECTION_S = CAMPAIGN_JITTER_S + 0.1
OTHER_RECORD = {"node": "n2", "address": "10.0.0.1:2", "life": "other", "term": 2}


class ResignedNodeTests(unittest.TestCase):
    """The node is alone, unless a test writes the record of another one."""

    def setUp(self):
        self.clock, self.system, self.store = node_system()
        self.contents = self.store.contents
        # A watch without changes is answered after its wait.
        self.store.watch_limit_s = 0.4
        self.leadership, self.coordinator = leadership_of_one_node(self.system)
        self.leadership.start()
        self.run_for(ELECTION_S)
        self.assertTrue(self.leadership.leading)

    def run_for(self, seconds):
        run_for(self.clock, seconds, (self.store,))

    def resign(self):
        self.system.tell(LEADERSHIP, Resign("recovery failed"))
        self.run_for(0.05)
        self.assertFalse(self.leadership.leading)

    def terms(self):
        received = self.coordinator.received
        return [message.term for message in received if isinstance(message, BeginTerm)]

    def test_only_node_is_elected_again(self):
        """Guards against a fleet without a coordinator after a resignation.

        The wait is not longer after the next resignation.
        """
        for term in (2, 3, 4):
            with self.subTest(term):
                self.resign()
                self.run_for(RESIGNED_DELAY_S - 0.1)
                self.assertFalse(self.leadership.leading)
                self.run_for(0.1 + ELECTION_S)
                self.assertTrue(self.leadership.leading)
                self.assertEqual(self.terms()[-1], term)

    def test_others_are_first_when_the_record_lapses_late(self):
        """Guards against a node that campaigns beside the others at once.

        The record could not be withdrawn and goes with its lease.
        """
        lease_s = RESIGNED_DELAY_S + 0.5
        transact = self.store._handlers_by_type[Transact]

        def reject(message):
            raise StoreUnavailableError("the store rejects this node")

        self.store._handlers_by_type[Transact] = reject
        self.resign()
        self.run_for(lease_s)
        self.store._handlers_by_type[Transact] = transact
        self.contents.remove(COORDINATOR_KEY)
        self.run_for(RESIGNED_DELAY_S - 0.1)
        self.assertFalse(self.leadership.leading)
        self.run_for(0.1 + ELECTION_S)
        self.assertTrue(self.leadership.leading)

    def test_no_delay_once_another_node_was_elected(self):
        """Guards against a delay that slows down all later elections."""
        self.resign()
        self.contents.put(COORDINATOR_KEY, json.dumps(OTHER_RECORD))
        self.run_for(RESIGNED_DELAY_S + ELECTION_S)
        self.assertEqual(self.terms(), [1])
        self.contents.remove(COORDINATOR_KEY)
        self.run_for(ELECTION_S)
        self.assertTrue(self.leadership.leading)


if __name__ == "__main__":
    unittest.main()
