"""Tests of the ownership actor on simulated nodes that share one store.

They cover takeover, outages of the store, paused processes, races and lost
replies.
"""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from redwingrudder.actors import ActorSystem
from redwingrudder.model import Epoch
from redwingrudder.ownership import OwnershipActor
from redwingrudder.requests import (
    OWNERSHIP,
    Drain,
    EpochRaised,
    Fenced,
    GrantLease,
    MembersChanged,
    OwnerChanged,
    OwnershipEnded,
    OwnershipGained,
    PeerReport,
    PeerSilent,
    Transact,
    VmInfo,
)
from redwingrudder.standins._key_value import KeyValueCore
from redwingrudder.timers import TimerService
from tests.fakes import FakeStore, Recorder, settle

OWNERSHIP_MESSAGES = (OwnershipGained, EpochRaised, OwnershipEnded, OwnerChanged)
NO_EPOCH = Epoch(0, 0, 0)
SILENCE_REPORT_S = 2.0


class Node:
    """A node with its own clock; a node whose clock stands still is paused."""

    def __init__(self, core, rank, now, available=True, domain="north"):
        self.clock = Clock()
        self.clock.advance(now)
        self.system = ActorSystem(self.clock)
        TimerService(self.system)
        self.store = FakeStore(self.system, core, available)
        self.rank, self.domain = rank, domain
        self.node_id = f"{domain}-{rank}"
        OwnershipActor(
            self.system, ("subscriber",), domain, self.node_id, f"10.0.0.{rank}:1", rank
        )
        self.seen = Recorder(self.system, "subscriber", *OWNERSHIP_MESSAGES).messages
        self.running = True
        self.last_report_at = now
        self.system.start()
        settle(self.system, 5)

    @property
    def vm(self):
        return VmInfo(
            self.node_id, "node", "live", "a:1", self.domain, "", self.rank, 0, 0, 0, 0
        )

    @property
    def epoch(self):
        """Epoch of the ownership as announced; None if it is not the owner."""
        epoch = None
        for message in self.seen:
            if isinstance(message, OwnershipGained | EpochRaised):
                epoch = message.epoch
            elif isinstance(message, OwnershipEnded):
                epoch = None
        return epoch

    def tell(self, message):
        self.system.tell(OWNERSHIP, message)
        settle(self.system, 5)

    def count(self, message_type):
        return sum(isinstance(message, message_type) for message in self.seen)


class OwnershipTests(unittest.TestCase):
    """Tests of single scenarios.

    ``OwnershipScheduleTests`` uses an instance as its cluster of nodes.
    """

    def setUp(self):
        self.core = KeyValueCore()
        self.now = 0.0
        self.nodes = []

    def start(self, count, first_rank=0, available=True, domain="north"):
        ranks = range(first_rank, first_rank + count)
        new_nodes = [
            Node(self.core, rank, self.now, available, domain) for rank in ranks
        ]
        self.nodes += new_nodes
        members = MembersChanged(tuple(node.vm for node in self.nodes))
        for node in self.nodes:
            node.tell(members)
        return new_nodes

    def run_for(self, seconds, report=True):
        """Advance the clocks of all running nodes in steps of 0.1 s.

        With ``report`` the nodes exchange reports once a second.
        """
        for step in range(round(seconds * 10)):
            self.now += 0.1
            self.core.expire(self.now)
            for node in self.nodes:
                if node.running:
                    node.clock.advance(self.now - node.clock.seconds())
                    settle(node.system, 5)
            if report and step % 10 == 0:
                self.exchange_reports()

    def exchange_reports(self):
        """Deliver the reports of running nodes and PeerSilent for paused ones.

        A node is reported as silent after a pause of SILENCE_REPORT_S.
        """
        running = [node for node in self.nodes if node.running]
        for node in self.nodes:
            if node.running:
                node.last_report_at = self.now
            elif self.now - node.last_report_at >= SILENCE_REPORT_S:
                silent_s = self.now - node.last_report_at
                silent = PeerSilent(node.node_id, node.domain, silent_s)
                for receiver in running:
                    receiver.tell(silent)
        for sender in running:
            report = PeerReport(
                sender.node_id, sender.rank, sender.domain, "a:1",
                sender.epoch is not None, sender.epoch or NO_EPOCH, 0, 0, 0, 0, False,
            )  # fmt: skip
            for receiver in running:
                if receiver is not sender:
                    receiver.tell(report)

    def set_available(self, available):
        for node in self.nodes:
            node.store.set_available(available)

    def owners(self):
        return [n for n in self.nodes if n.running and n.epoch is not None]

    def test_cold_start_of_nine_nodes_costs_few_calls(self):
        """Nodes that start together must not all grant leases at once."""
        nodes = self.start(9)
        self.run_for(3.0)
        self.assertEqual(self.owners(), nodes[:1])
        self.assertEqual(nodes[0].epoch, Epoch(1, 0, 0))
        calls = [call for node in nodes for call in node.store.calls]
        self.assertEqual(sum(isinstance(c, GrantLease) for c in calls), 1)
        self.assertLess(len(calls), 20)
        changed = OwnerChanged("north", "north-0", "10.0.0.0:1", Epoch(1, 0, 0))
        self.assertIn(changed, nodes[8].seen)

    def test_a_dead_owner_is_replaced_in_time_under_a_higher_epoch(self):
        """The next rank must take over from a dead owner within 4.5 s."""
        nodes = self.start(3)
        self.run_for(4.3)
        nodes[0].running = False
        self.run_for(4.5)
        self.assertEqual(self.owners(), [nodes[1]])
        self.assertEqual(nodes[1].epoch, Epoch(2, 0, 1))

    def test_an_owner_continues_in_an_outage_and_reacquires_at_a_higher_epoch(self):
        """An owner must keep its domain while the store is unreachable."""
        nodes = self.start(2)
        self.run_for(2.0)
        self.set_available(False)
        self.run_for(30.0)
        self.assertEqual([n.epoch for n in nodes], [Epoch(1, 0, 0), None])
        self.set_available(True)
        self.run_for(2.0)
        self.assertEqual([n.epoch for n in nodes], [Epoch(2, 0, 0), None])
        self.assertEqual(nodes[0].count(OwnershipEnded), 0)
        self.assertEqual(nodes[0].count(EpochRaised), 1)

    def test_succession_without_the_store_by_the_lowest_live_rank(self):
        """In an outage the lowest live rank must take over a dead owner."""
        nodes = self.start(4)
        self.run_for(2.0)
        self.set_available(False)
        nodes[0].running = nodes[1].running = False
        self.run_for(4.0)
        self.assertEqual(self.owners(), [nodes[2]])
        self.assertEqual(nodes[2].epoch, Epoch(1, 1, 2))
        self.set_available(True)
        self.run_for(2.0)
        self.assertEqual([n.epoch for n in self.owners()], [Epoch(2, 0, 2)])

    def test_peer_silent_of_the_owner_counts_in_an_outage(self):
        """A PeerSilent message about the owner permits a claim at once."""
        nodes = self.start(2)
        self.run_for(4.0)
        self.set_available(False)
        self.run_for(1.0)
        nodes[1].tell(PeerSilent("north-0", "north", 3.0))
        self.assertEqual(nodes[1].epoch, Epoch(1, 1, 1))

    def test_two_candidates_are_ordered_by_epoch(self):
        """Of two claims without the store the higher epoch must remain."""
        nodes = self.start(2, available=False)
        self.run_for(6.0, report=False)
        self.assertEqual([n.epoch for n in nodes], [(0, 1, 0), (0, 1, 1)])
        self.run_for(1.0)
        self.assertEqual(self.owners(), [nodes[1]])
        self.set_available(True)
        self.run_for(2.0)
        self.assertEqual(self.owners(), [nodes[1]])
        self.assertEqual(nodes[1].epoch, Epoch(1, 0, 1))

    def test_a_start_in_an_outage_follows_the_live_owner(self):
        """A node that starts in an outage must not claim an owned domain."""
        nodes = self.start(1, first_rank=3)
        self.run_for(2.0)
        self.set_available(False)
        self.start(1, first_rank=0, available=False)
        self.run_for(10.0)
        self.assertEqual(self.owners(), nodes)

    def test_a_paused_owner_reads_the_record_before_anything_else(self):
        """A resumed owner must not act before it has read the record."""
        nodes = self.start(2)
        self.run_for(2.0)
        nodes[0].running = False
        self.run_for(6.0)
        self.assertEqual(nodes[1].epoch, Epoch(2, 0, 1))
        nodes[0].store.calls.clear()
        nodes[0].running = True
        self.run_for(0.1)
        self.assertIn(OwnershipEnded("north-1 holds the owner record"), nodes[0].seen)
        call_types = [type(call).__name__ for call in nodes[0].store.calls]
        self.assertEqual(call_types[0], "GetPrefix")
        self.assertNotIn(Transact, map(type, nodes[0].store.calls))
        self.run_for(5.0)
        self.assertEqual(self.owners(), [nodes[1]])

    def test_a_pause_with_no_successor_reacquires_under_a_higher_epoch(self):
        """An owner resumed after its lease expired needs a higher epoch."""
        (node,) = self.start(1)
        self.run_for(2.0)
        node.running = False
        self.now += 60.0
        node.running = True
        self.run_for(1.0)
        self.assertEqual(node.epoch, Epoch(2, 0, 0))

    def test_a_paused_follower_in_an_outage_does_not_claim_at_once(self):
        """A resumed follower must not count its own pause as silence."""
        nodes = self.start(2, first_rank=1)
        self.run_for(2.0)
        follower = next(node for node in nodes if node.epoch is None)
        self.set_available(False)
        follower.running = False
        self.run_for(20.0)
        follower.running = True
        self.run_for(5.0)
        self.assertIsNone(follower.epoch)

    def test_a_fenced_owner_stops_and_older_fences_are_ignored(self):
        """A fenced owner must stop; fences of lower epochs change nothing."""
        nodes = self.start(2)
        self.run_for(2.0)
        nodes[0].tell(Fenced(Epoch(0, 9, 0), Epoch(1, 0, 0)))
        self.assertEqual(nodes[0].epoch, Epoch(1, 0, 0))
        nodes[0].tell(Fenced(Epoch(1, 0, 0), Epoch(7, 2, 5)))
        self.assertIsNone(nodes[0].epoch)
        self.run_for(5.0)
        self.assertEqual([n.epoch.store_term for n in self.owners()], [8])

    def test_a_lost_reply_of_the_acquisition_costs_no_second_term(self):
        """After a lost reply the written record must be recognised."""
        node = Node(self.core, 0, self.now, available=False)
        self.nodes.append(node)
        node.store.lossy_types = (Transact,)
        node.store.lost_replies = 1
        self.set_available(True)
        self.run_for(2.0)
        self.assertEqual(node.epoch, Epoch(1, 0, 0))
        call_types = [type(call) for call in node.store.calls]
        self.assertEqual(call_types.count(GrantLease), 1)

    def test_failing_acquisitions_are_spaced(self):
        """A node must not retry failing acquisitions without a delay."""
        nodes = self.start(1)
        self.run_for(2.0)
        node = nodes[0]
        node.store.lossy_types = (GrantLease,)
        node.store.requests_to_lose = 1000
        node.store.calls.clear()
        self.core.revoke_lease(1001)
        self.run_for(10.0)
        self.assertEqual(node.epoch, Epoch(1, 0, 0))
        call_types = [type(call) for call in node.store.calls]
        self.assertIn(call_types.count(GrantLease), range(9, 23))

    def test_an_owner_that_reaches_the_store_later_keeps_its_domain(self):
        """After an outage other nodes must leave the record to the owner."""
        nodes = self.start(3)
        self.run_for(2.0)
        self.set_available(False)
        self.run_for(5.0)
        for node in nodes[1:]:
            node.store.set_available(True)
        self.run_for(1.3)
        nodes[0].store.set_available(True)
        self.run_for(3.0)
        self.assertEqual([n.epoch for n in nodes], [Epoch(2, 0, 0), None, None])

    def test_a_member_without_reports_delays_a_claim_only_shortly(self):
        """A listed node without reports must delay a claim only shortly."""
        nodes = self.start(2)
        member_without_reports = nodes[0].vm._replace(vm_id="north-00", rank=-1)
        self.run_for(2.0)
        nodes[1].tell(MembersChanged((member_without_reports, nodes[0].vm)))
        self.set_available(False)
        nodes[0].running = False
        self.run_for(4.0)
        self.assertEqual(self.owners(), [])
        self.run_for(2.0)
        self.assertEqual(self.owners(), [nodes[1]])

    def test_drain_hands_over_at_once(self):
        """The successor must not wait for the lease of a drained owner."""
        nodes = self.start(2)
        self.run_for(2.0)
        done = []
        nodes[0].system.ask(OWNERSHIP, Drain()).addCallback(done.append)
        settle(nodes[0].system)
        self.assertEqual((done, nodes[0].epoch), ([None], None))
        self.run_for(0.6, report=False)
        self.assertEqual(self.owners(), [nodes[1]])
        nodes[0].tell(Fenced(Epoch(1, 0, 0), Epoch(7, 2, 5)))
        self.assertIsNone(nodes[0].epoch)

    def test_owners_of_other_domains_are_announced(self):
        """Subscribers must be notified of the owners of other domains too."""
        (north,) = self.start(1)
        (south,) = self.start(1, domain="south")
        self.run_for(2.0)
        for node, domain in ((north, "south"), (south, "north")):
            domains = [m.failure_domain for m in node.seen if type(m) is OwnerChanged]
            self.assertIn(domain, domains)

    def test_reads_replace_a_lost_watch(self):
        """A watch that ends without an error must not prevent a takeover."""
        nodes = self.start(2)
        self.run_for(2.0)
        nodes[1].store.core.unwatch(nodes[1].store._watch_ids[OWNERSHIP, "/owner/"])
        nodes[0].running = False
        self.run_for(10.0)
        self.assertEqual(self.owners(), [nodes[1]])


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["pause", "resume", "store", "lose", "unsent", "wait"]),
        st.integers(0, 3),
        st.sampled_from([0.3, 1.0, 3.5, 7.0]),
    ),
    max_size=25,
)


class OwnershipScheduleTests(unittest.TestCase):
    """Random schedules of pauses, store outages and failing store calls.

    Guards against two ownerships with the same epoch, owners announced out
    of order, and a cluster without exactly one owner after all faults have
    ended.
    """

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(ACTIONS)
    def test_faults_never_share_an_epoch_and_end_with_one_owner(self, actions):
        cluster = OwnershipTests()
        cluster.setUp()
        nodes = cluster.start(4)
        for kind, index, wait_s in actions:
            node = nodes[index]
            if kind in ("pause", "resume"):
                node.running = kind == "resume"
            elif kind == "store":
                node.store.set_available(not node.store.available)
            elif kind == "lose":
                node.store.lost_replies += 1
            elif kind == "unsent":
                node.store.requests_to_lose += 1
            cluster.run_for(wait_s)
        for node in nodes:
            node.running = True
            node.store.set_available(True)
        cluster.run_for(25.0)
        self.assertEqual(len(cluster.owners()), 1)
        epochs = [
            message.epoch
            for node in nodes
            for message in node.seen
            if isinstance(message, OwnershipGained | EpochRaised)
        ]
        self.assertEqual(len(epochs), len(set(epochs)))
        for node in nodes:
            changes = [m.epoch for m in node.seen if isinstance(m, OwnerChanged)]
            self.assertEqual(changes, sorted(changes))
            self.assertEqual(changes[-1], cluster.owners()[0].epoch)
