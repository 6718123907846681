"""Tests of the registration and discovery of nodes through the store."""

import unittest

from redwingrudder._wire.generated.coordination.ttypes import WireNodeSummary
from redwingrudder.coordination.gateways import CONFIGURATION, NODES_PREFIX, PEERS
from redwingrudder.coordination.leadership import Identity
from redwingrudder.coordination.messages import (
    Drain,
    NewerConfigurationSeen,
    StoreAnswered,
    StoreAvailability,
)
from redwingrudder.coordination.peers import (
    DISCOVERY_INTERVAL_S,
    MAX_STORE_ANSWER_AGE_S,
    ListPeers,
    Peers,
)
from redwingrudder.timers import TIMERS, Subscribe, TimerService

from .coordination_fakes import Recording
from .test_coordination import node_system, outcome, run_for

KEY = NODES_PREFIX + "n1"


class RegistrationTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.system, self.store = node_system()
        TimerService(self.system)
        Recording(self.system, CONFIGURATION, {NewerConfigurationSeen: None})
        identity = Identity("n1", "10.0.0.1:7000", "life")
        self.peers = Peers(self.system, self.clock, identity, ("10.0.0.1", 7000))
        self.system.tell(TIMERS, Subscribe(PEERS, "discover", 0.0))
        run_for(self.clock, 0.1)

    def test_entry_is_under_a_lease(self):
        """Guards against entries that remain after their nodes are gone."""
        self.assertTrue(self.store.contents.leases[KEY])

    def test_lapsed_entry_is_written_again(self):
        """Guards against a node that stays unlisted after a store outage.

        Its entry expires during the outage, since its lease is not renewed.
        """
        self.store.contents.remove(KEY)
        self.store.renewal_remaining_s = 0.0
        run_for(self.clock, DISCOVERY_INTERVAL_S + 0.1)
        self.assertIn(KEY, self.store.contents.items_by_key)

    def test_entry_of_drained_node_is_removed(self):
        """Guards against calls to a node that has shut down gracefully."""
        self.system.tell(PEERS, Drain())
        run_for(self.clock, 3 * DISCOVERY_INTERVAL_S)
        self.assertNotIn(KEY, self.store.contents.items_by_key)

    def test_listed_node_is_known_but_not_fresh(self):
        """Guards against inferring a store outage from one node alone."""
        self.store.contents.put(NODES_PREFIX + "n2", "10.0.0.2:7000")
        run_for(self.clock, DISCOVERY_INTERVAL_S + 0.1)
        reply = self.system.ask(PEERS, ListPeers())
        run_for(self.clock, 0.05)
        view = outcome(reply)
        self.assertEqual((view.fresh, view.peer_count), ((), 1))

    def test_node_that_is_cut_off_does_not_reach_the_store(self):
        """Guards against a node that reports ready but refuses all requests.

        It must not report the store as reachable from an outdated summary.
        """
        self.system.tell(PEERS, StoreAvailability(False))
        run_for(self.clock, 0.05)
        self.assertFalse(self.peers.reaches_store)
        wire = WireNodeSummary("n2", "10.0.0.2:7000", "l", 1, "", "", 0, True, 0.0)
        self.peers._apply_summary(wire, wire.address)
        self.assertTrue(self.peers.reaches_store)
        run_for(self.clock, MAX_STORE_ANSWER_AGE_S + 0.1)
        self.assertFalse(self.peers.reaches_store)

    def test_nodes_of_a_cut_off_domain_do_not_vouch_for_each_other(self):
        """Guards against nodes that stay ready because they hear each other.

        The peer has lost the store as well and has not noticed it yet.
        """
        self.system.tell(PEERS, StoreAnswered())
        run_for(self.clock, 0.05)
        self.assertTrue(self.peers.reaches_store)
        run_for(self.clock, MAX_STORE_ANSWER_AGE_S)
        wire = WireNodeSummary(
            "n2", "10.0.0.2:7000", "l", 1, "", "", 0, True, 0.0, MAX_STORE_ANSWER_AGE_S
        )
        self.peers._apply_summary(wire, wire.address)
        self.assertFalse(self.peers.reaches_store)
        wire.store_silent_s = 0.1
        self.peers._apply_summary(wire, wire.address)
        self.assertTrue(self.peers.reaches_store)

    def test_summary_tells_how_long_the_store_has_been_silent(self):
        """Guards against a peer that takes an old answer for a recent one."""
        self.system.tell(PEERS, StoreAnswered())
        run_for(self.clock, 0.5)
        silent_s = self.peers._build_summary().store_silent_s
        self.assertAlmostEqual(silent_s, 0.5, delta=0.05)

    def test_cut_off_node_is_noticed_before_a_callers_deadline(self):
        """Guards against callers that wait for a node of a cut-off domain.

        Callers wait for 3 s, and the load balancer needs two failed checks,
        one a second, to route them elsewhere.
        """
        self.assertLess(MAX_STORE_ANSWER_AGE_S, 3.0 - 2.0)


if __name__ == "__main__":
    unittest.main()
