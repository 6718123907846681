"""Tests of a node that shuts down while it is being elected."""

import unittest

from twisted.internet.defer import Deferred

from redwingrudder._store_requests import Transact
from redwingrudder.coordination.gateways import (
    COORDINATOR_KEY,
    LEADERSHIP,
)
from redwingrudder.coordination.messages import (
    Drain,
)

from .coordination_fakes import leadership_of_one_node, node_system, run_for

ANSWER_DELAY_S = 0.2


class DrainedCandidateTests(unittest.TestCase):
    def test_record_is_withdrawn(self):
        """Guards against a record that nobody stands for until it lapses.

        The write of the record is answered after the node was told to drain.
        """
        clock, system, store = node_system()
        leadership, coordinator = leadership_of_one_node(system)
        transact = store._handlers_by_type[Transact]

        def answer_late(message):
            store._handlers_by_type[Transact] = transact
            reply = Deferred()
            clock.callLater(ANSWER_DELAY_S, reply.callback, transact(message))
            system.tell(LEADERSHIP, Drain())
            return reply

        store._handlers_by_type[Transact] = answer_late
        store.watches_hang = True
        leadership.start()
        run_for(clock, ANSWER_DELAY_S, (store,))
        self.assertIn(COORDINATOR_KEY, store.contents.items_by_key)
        run_for(clock, 0.3, (store,))
        self.assertNotIn(COORDINATOR_KEY, store.contents.items_by_key)
        self.assertEqual(coordinator.received, [])


if __name__ == "__main__":
    unittest.main()
