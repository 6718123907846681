"""Tests of a vacancy that is observed again while a node is being elected."""

import unittest

from twisted.internet.defer import Deferred

from redwingrudder._store_requests import Transact
from redwingrudder.coordination.leadership import WATCH_TIMEOUT_S
from redwingrudder.coordination.messages import BeginTerm, EndTerm

from .coordination_fakes import leadership_of_one_node, node_system, run_for

# Shortly after the first watch is answered without changes.
ANSWER_AT_S = WATCH_TIMEOUT_S + 0.02


class RepeatedVacancyTests(unittest.TestCase):
    def test_term_goes_on(self):
        """Guards against a term that ends as soon as it has begun.

        The write of the record is answered late. The watch is answered
        without changes meanwhile and not any more from then on.
        """
        clock, system, store = node_system()
        store.watch_limit_s = 0.4
        leadership, coordinator = leadership_of_one_node(system)
        transact = store._handlers_by_type[Transact]

        def answer_late(message):
            reply = Deferred()
            clock.callLater(ANSWER_AT_S - clock.seconds(), carry_out, message, reply)
            return reply

        def carry_out(message, reply):
            store.watches_hang = True
            reply.callback(transact(message))

        store._handlers_by_type[Transact] = answer_late
        leadership.start()
        run_for(clock, ANSWER_AT_S + 1.0, (store,))
        self.assertTrue(leadership.leading)
        received = [type(message) for message in coordinator.received]
        self.assertEqual(received.count(BeginTerm), 1)
        self.assertEqual(received.count(EndTerm), 0)


if __name__ == "__main__":
    unittest.main()
