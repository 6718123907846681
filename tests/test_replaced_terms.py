"""Tests of a coordinator whose term was replaced by a later one."""

import unittest

from twisted.internet.defer import Deferred

from redwingrudder._store_requests import GetPrefix
from redwingrudder.coordination.coordinator import RECOVERY_TIMEOUT_S, Coordinator
from redwingrudder.coordination.gateways import (
    COORDINATOR,
    LEADERSHIP,
    PEERS,
    FleetGateways,
    WorkerTimes,
)
from redwingrudder.coordination.messages import BeginTerm, Fenced, NodeSummary, Resign
from redwingrudder.coordination.peers import (
    AskAllPeers,
    GetTimeOfDay,
    ListPeers,
    PeerView,
)
from redwingrudder.exceptions import StoreUnavailableError
from redwingrudder.platform.registry import PlatformRegistry
from redwingrudder.timers import TimerService

from .coordination_fakes import Recording, node_system, run_for
from .test_malformed_documents import IdleChannels

TERM = 3


class ReplacedTermTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.system, self.store = node_system()
        TimerService(self.system)
        self.leadership = Recording(self.system, LEADERSHIP, {Resign: None, Fenced: 0})
        self.peers = Recording(
            self.system,
            PEERS,
            {ListPeers: PeerView((), 0), GetTimeOfDay: 0.0, AskAllPeers: None},
        )
        gateways = FleetGateways(
            PlatformRegistry(), IdleChannels(), WorkerTimes(6.0, 1.5), 150.0
        )
        self.coordinator = Coordinator(self.system, gateways)

    def begin_term(self, term, lasts_s):
        ends_at = self.clock.seconds() + lasts_s
        self.system.tell(COORDINATOR, BeginTerm(term, 1, ends_at))
        run_for(self.clock, 0.1, (self.store,))

    def test_failed_recovery_does_not_end_the_next_term(self):
        """Guards against a resignation from a term that is sound.

        The node was elected again while a read of the last term had no answer.
        """
        get_prefix = self.store._handlers_by_type[GetPrefix]
        pending = []

        def hold(message):
            pending.append(Deferred())
            return pending[-1]

        self.store._handlers_by_type[GetPrefix] = hold
        self.begin_term(TERM, 100.0)
        run_for(self.clock, RECOVERY_TIMEOUT_S, (self.store,))
        self.store._handlers_by_type[GetPrefix] = get_prefix
        self.begin_term(TERM + 1, 100.0)
        for reply in pending:
            reply.errback(StoreUnavailableError("no reply in time"))
        run_for(self.clock, 1.0, (self.store,))
        self.assertEqual(self.leadership.received, [])

    def test_outage_after_an_election_gives_no_authority(self):
        """Guards against leases that two coordinators extend in an outage.

        The authority ends while the node is cut off from the store. A
        successor is elected before the store goes down for all nodes, and its
        node is among the peers that answer.
        """
        self.begin_term(TERM, 0.2)
        run_for(self.clock, 1.0, (self.store,))
        for term, may_act in ((TERM, True), (TERM + 1, False)):
            with self.subTest(term=term):
                now = self.clock.seconds()
                peer = NodeSummary(
                    "n2", "10.0.0.2:1", "life", 1, "n2", "10.0.0.2:1", term, False, 0.0
                )
                view = PeerView((peer,), 2, (now + 2.0,) * 2, now + 2.0)
                self.peers._replies = {**self.peers._replies, ListPeers: view}
                run_for(self.clock, 1.0, (self.store,))
                authority = self.coordinator._term.authority
                self.assertEqual(authority.valid, may_act)
                run_for(self.clock, 4.0, (self.store,))
                self.assertFalse(authority.valid)


if __name__ == "__main__":
    unittest.main()
