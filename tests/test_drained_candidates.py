"""Tests of a node that shuts down while it is being elected."""

import unittest

from twisted.internet.defer import Deferred

from redwingrudder._store_requests import Transact
from redwingrudder.coordination.gateways import (
    COORDINATOR,
    COORDINATOR_KEY,
    LEADERSHIP,
)
from redwingrudder.coordination.leadership import Identity, Leadership
from redwingrudder.coordination.messages import (
    BeginTerm,
    Drain,
    EndTerm,
    LeaseConfirmed,
)
from redwingrudder.timers import TimerService

from .coordination_fakes import Recording, node_system, run_for

ANSWER_DELAY_S = 0.2


class DrainedCandidateTests(unittest.TestCase):
    def test_record_is_withdrawn(self):
        """Guards against a record that nobody stands for until it lapses.

        The write of the record is answered after the node was told to drain.
        """
        clock, system, store = node_system()
        TimerService(system)
        handled = {BeginTerm: None, EndTerm: None, LeaseConfirmed: None}
        coordinator = Recording(system, COORDINATOR, handled)
        leadership = Leadership(system, Identity("n1", "10.0.0.1:1", "life"), ())
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
