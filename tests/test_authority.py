"""Tests of the coordinator's authority in processes that are paused.

A pause is one large step of the clock: when the process goes on, the timers
and replies that were due meanwhile are handled first.
"""

import json
import math
import types
import unittest
from unittest import mock

from twisted.internet.defer import Deferred
from twisted.internet.epollreactor import EPollReactor

from redwingrudder._background import pause
from redwingrudder._steady_clock import use_steady_clock
from redwingrudder._wire.generated.coordination.ttypes import WireNodeSummary
from redwingrudder.coordination.authority import (
    LEASE_TTL_S,
    LONGEST_OVERLAP_S,
    STORE_DOWN_EVIDENCE_S,
    Authority,
)
from redwingrudder.coordination.coordinator import Coordinator
from redwingrudder.coordination.gateways import (
    COORDINATOR,
    INTAKE,
    INTAKE_PREFIX,
    LEADERSHIP,
    PEERS,
    TERM_KEY,
    ChannelFactory,
    CommandReply,
    FleetGateways,
    WorkerChannel,
    WorkerReport,
    WorkerTimes,
)
from redwingrudder.coordination.leadership import Identity
from redwingrudder.coordination.maintenance import Maintenance
from redwingrudder.coordination.messages import (
    BeginTerm,
    CoordinatorKnown,
    EndTerm,
    Fenced,
    LeaseConfirmed,
    Resign,
    StartSettled,
    ThrottleUnanswered,
    WorkerLeaseLapsed,
    WorkerPolled,
    WorkerSilent,
)
from redwingrudder.coordination.peers import (
    AskAllPeers,
    GetTimeOfDay,
    ListPeers,
    Peers,
    PeerView,
)
from redwingrudder.coordination.recorder import Recorder
from redwingrudder.coordination.worker_session import (
    MAX_CLOCK_DRIFT_RATIO,
    WorkerSession,
    prior_lease_timeout_s,
)
from redwingrudder.exceptions import OutcomeUnknownError, UnavailableError
from redwingrudder.platform.machines import PlatformWaves
from redwingrudder.platform.registry import PlatformRegistry
from redwingrudder.simulation import StoreContents
from redwingrudder.timers import TimerService
from redwingrudder.workflows import records
from redwingrudder.workflows.model import StartRun, StopRun, ThrottleRun

from . import workflow_fixtures as fx
from .coordination_fakes import Recording, node_system, outcome, run_for
from .test_maintenance import FakeMachineService
from .test_platform_codecs import ENTRY

LEASE_S = 6.0
PAUSE_S = 5.0
TIMES = WorkerTimes(LEASE_S, 1.5)


class WorkerStub(WorkerChannel):
    """Worker that answers commands at once and polls after ``wait_s``.

    Attributes:
        sent: Name and time of each command, and "extend" for each extension
            of the lease.
        lost: Names of commands that get no reply.
        held: Replies of polls that are in flight.
    """

    def __init__(self, clock):
        self.clock = clock
        self.sent = []
        self.lost = set()
        self.hold_polls = False
        self.held = []

    async def _reply(self, name, timeout_s, may_send):
        if not may_send():
            raise UnavailableError("not sent")
        self.sent.append((name, self.clock.seconds()))
        if name in self.lost:
            await pause(self.clock, timeout_s)
            raise OutcomeUnknownError("no reply")
        return CommandReply(True, "", int(self.clock.seconds() * 1000) + 1)

    async def start(self, run, lease_until_ms, fence, timeout_s, may_send):
        return await self._reply("start", timeout_s, may_send)

    async def stop(self, run, fence, timeout_s, may_send):
        return await self._reply("stop", timeout_s, may_send)

    async def throttle(self, run, fence, timeout_s, may_send):
        return await self._reply("throttle", timeout_s, may_send)

    async def poll(
        self, fence, acknowledged_end, lease_until_ms, wait_s, timeout_s, may_send
    ):
        if lease_until_ms:
            self.sent.append(("extend", self.clock.seconds()))
        if self.hold_polls:
            reply = Deferred()
            self.held.append(reply)
            await reply
        return WorkerReport(int(self.clock.seconds() * 1000) + 1, 0, (), ())

    def reset(self):
        pass

    def close(self):
        pass

    def sent_after(self, time):
        return [name for name, sent_at in self.sent if sent_at > time]


class AuthorityTests(unittest.TestCase):
    def test_ends_by_itself(self):
        """Guards against a permission that only a message can end."""
        now = [10.0]
        authority = Authority(lambda: now[0], 11.5)
        self.assertTrue(authority.valid)
        now[0] = 11.5
        self.assertFalse(authority.valid)
        authority.extend(11.0)
        self.assertFalse(authority.valid)
        authority.extend(12.0)
        self.assertAlmostEqual(authority.remaining_s, 0.5)

    def test_revoked_authority_cannot_be_extended(self):
        """Guards against a closed term that acts for its successor."""
        authority = Authority(lambda: 0.0, 5.0)
        authority.revoke()
        authority.extend(50.0)
        self.assertFalse(authority.valid)

    def test_successor_waits_for_the_longest_overlap(self):
        """Guards against a second run while an old coordinator may extend."""
        overlap_s = prior_lease_timeout_s(LEASE_S) - LEASE_S / (
            1 - MAX_CLOCK_DRIFT_RATIO
        )
        self.assertGreater(overlap_s, LEASE_TTL_S)
        self.assertGreater(overlap_s, STORE_DOWN_EVIDENCE_S)
        self.assertGreaterEqual(overlap_s, LONGEST_OVERLAP_S)


class SessionTests(unittest.TestCase):
    """Sessions in a process that is paused beyond its authority."""

    def setUp(self):
        self.clock, self.system, _ = node_system()
        TimerService(self.system)
        messages = (
            WorkerPolled,
            WorkerSilent,
            WorkerLeaseLapsed,
            StartSettled,
            ThrottleUnanswered,
        )
        self.coordinator = Recording(
            self.system, COORDINATOR, dict.fromkeys(messages, None)
        )
        Recording(self.system, LEADERSHIP, {Fenced: None})
        self.channel = WorkerStub(self.clock)
        self.authority = Authority(self.clock.seconds, LEASE_TTL_S)
        self.session = WorkerSession(
            self.system, fx.worker("w1"), self.channel, 3, TIMES, self.authority
        )
        self.session.start()
        run_for(self.clock, 0.1)

    def tell(self, message):
        self.system.tell(self.session.name, message)

    def pause(self):
        """Pause the process; returns the time at which it goes on."""
        self.clock.advance(PAUSE_S)
        return self.clock.seconds() - 0.01

    def test_poll_in_flight_extends_nothing_afterwards(self):
        """Guards against a lease that is extended for a successor's run."""
        self.channel.hold_polls = True
        run_for(self.clock, 1.1)
        self.assertTrue(self.channel.held)
        self.channel.hold_polls = False
        resumed_at = self.pause()
        for reply in self.channel.held:
            reply.callback(None)
        run_for(self.clock, 3.0)
        self.assertEqual(self.channel.sent_after(resumed_at), [])

    def test_start_is_not_repeated_afterwards(self):
        """Guards against an order sent twice around a hand-over."""
        self.channel.lost = {"start"}
        self.tell(StartRun("w1", fx.key(), 1, "payload", ""))
        self.clock.advance(0.0)
        resumed_at = self.pause()
        run_for(self.clock, 3.0)
        self.assertNotIn("start", self.channel.sent_after(resumed_at))

    def test_start_that_waited_in_the_mailbox_is_not_sent(self):
        """Guards against an order on a permission that has run out."""
        self.tell(StartRun("w1", fx.key(), 1, "payload", ""))
        resumed_at = self.pause()
        run_for(self.clock, 1.0)
        self.assertEqual(self.channel.sent_after(resumed_at), [])

    def test_stop_is_not_sent_afterwards(self):
        """Guards against stopping a run that a successor has adopted."""
        self.channel.lost = {"stop"}
        self.tell(StopRun("w1", fx.key(), 1))
        run_for(self.clock, 0.2)
        resumed_at = self.pause()
        run_for(self.clock, 3.0)
        self.assertEqual(self.channel.sent_after(resumed_at), [])

    def test_stop_is_sent_once_the_authority_is_back(self):
        """Guards against a cancelled run that goes on after an outage."""
        self.channel.lost = {"stop"}
        self.tell(StopRun("w1", fx.key(), 1))
        run_for(self.clock, 0.2)
        resumed_at = self.pause()
        self.channel.lost = set()
        self.authority.extend(math.inf)
        run_for(self.clock, 1.0)
        self.assertIn("stop", self.channel.sent_after(resumed_at))

    def test_throttle_is_not_sent_afterwards(self):
        """Guards against slowing down a run of a successor."""
        self.tell(ThrottleRun("w1", fx.key(), 1, 40))
        resumed_at = self.pause()
        run_for(self.clock, 1.0)
        self.assertEqual(self.channel.sent_after(resumed_at), [])
        unanswered = [
            message
            for message in self.coordinator.received
            if isinstance(message, ThrottleUnanswered)
        ]
        self.assertEqual(len(unanswered), 1)

    def test_session_opened_without_authority_extends_nothing(self):
        """Guards against leases of a session opened after the authority."""
        channel = WorkerStub(self.clock)
        session = WorkerSession(
            self.system,
            fx.worker("w2"),
            channel,
            3,
            TIMES,
            Authority(self.clock.seconds),
        )
        session.start()
        run_for(self.clock, 3.0)
        self.assertEqual(channel.sent, [])


class StubChannels(ChannelFactory):
    def __init__(self, channel):
        self.channel = channel

    def open(self, facts):
        return self.channel


class CoordinatorTests(unittest.TestCase):
    """The coordinator in a process that is paused beyond its authority."""

    def setUp(self):
        self.contents = StoreContents()
        self.clock, self.system, self.store = node_system(self.contents)
        TimerService(self.system)
        self.leadership = Recording(self.system, LEADERSHIP, {Resign: None, Fenced: 0})
        self.peers = Recording(
            self.system,
            PEERS,
            {ListPeers: PeerView((), 8), GetTimeOfDay: 0.0, AskAllPeers: None},
        )
        self.channel = WorkerStub(self.clock)
        gateways = FleetGateways(
            PlatformRegistry(), StubChannels(self.channel), TIMES, 150.0
        )
        self.coordinator = Coordinator(self.system, gateways)
        self.contents.put("servers/w1", json.dumps(ENTRY))
        self.contents.put(TERM_KEY, "1")
        revision = self.contents.items_by_key[TERM_KEY].mod_revision
        self.system.tell(COORDINATOR, BeginTerm(1, revision, LEASE_TTL_S))
        run_for(self.clock, 0.5, (self.store,))

    def submit(self, job):
        document = records.encode_workflow(fx.workflow(job)).decode()
        self.contents.put(INTAKE_PREFIX + job, document)
        self.store.notify()

    def test_planning_needs_the_authority(self):
        """Guards against plans made on a flag that a timer would clear."""
        self.submit("a")
        self.clock.advance(PAUSE_S)
        resumed_at = self.clock.seconds() - 0.01
        run_for(self.clock, 1.0, (self.store,))
        self.assertNotIn("progress/a", self.contents.items_by_key)
        self.assertEqual(self.channel.sent_after(resumed_at), [])

    def test_planning_goes_on_with_the_lease_confirmed(self):
        """Guards against a coordinator that plans nothing after a pause."""
        self.submit("a")
        self.clock.advance(PAUSE_S)
        confirmed = LeaseConfirmed(1, self.clock.seconds() + LEASE_TTL_S)
        self.system.tell(COORDINATOR, confirmed)
        run_for(self.clock, 1.0, (self.store,))
        self.assertIn("start", [name for name, _ in self.channel.sent])

    def test_lease_of_another_term_gives_no_authority(self):
        """Guards against a permission carried over from an earlier term."""
        self.submit("a")
        self.clock.advance(PAUSE_S)
        confirmed = LeaseConfirmed(2, self.clock.seconds() + LEASE_TTL_S)
        self.system.tell(COORDINATOR, confirmed)
        run_for(self.clock, 1.0, (self.store,))
        self.assertNotIn("start", [name for name, _ in self.channel.sent])

    def test_repeated_write_of_a_deposed_coordinator_changes_nothing(self):
        """Guards against a record written over that of a successor."""
        self.store.writes_to_delay = 1
        self.submit("a")
        run_for(self.clock, 0.05, (self.store,))
        self.contents.put(TERM_KEY, "2")
        self.clock.advance(PAUSE_S)
        run_for(self.clock, 1.0, (self.store,))
        self.assertEqual(self.store.apply_delayed_writes(), [False])
        self.assertNotIn("progress/a", self.contents.items_by_key)
        self.assertNotIn("start", [name for name, _ in self.channel.sent])

    def test_peers_are_asked_before_the_authority_ends(self):
        """Guards against leases that lapse in an outage of the store."""
        run_for(self.clock, LEASE_TTL_S - 0.5, (self.store,))
        asked = [m for m in self.peers.received if isinstance(m, AskAllPeers)]
        self.assertTrue(asked)

    def test_outage_for_most_nodes_extends_the_authority(self):
        """Guards against runs that are lost while no node can be elected."""
        now = self.clock.seconds()
        replies = dict(self.peers._replies)
        replies[ListPeers] = PeerView((), 8, (now + 1.4,) * 4, now + 1.4)
        self.peers._replies = replies
        run_for(self.clock, 1.4, (self.store,))
        self.assertTrue(self.coordinator._term.authority.valid)
        run_for(self.clock, STORE_DOWN_EVIDENCE_S + 0.1, (self.store,))
        self.assertFalse(self.coordinator._term.authority.valid)

    def test_ended_term_leaves_no_authority(self):
        """Guards against sessions that go on after the end of a term."""
        authority = self.coordinator._term.authority
        self.system.tell(COORDINATOR, EndTerm("test"))
        run_for(self.clock, 0.1)
        self.assertFalse(authority.valid)


class MaintenanceTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.system, self.store = node_system()
        self.leadership = Recording(self.system, LEADERSHIP, {Fenced: None})
        contents = self.store.contents
        contents.put(TERM_KEY, "5")
        wave = {"wave": 1, "machines": ["m0"], "maxCount": 1, "durationS": 30}
        contents.put("op/wave/1", json.dumps(wave))
        self.machines = FakeMachineService()
        engine = fx.engine(*(fx.worker(f"w{i}") for i in range(3)))
        engine.term = 5
        revision = contents.items_by_key[TERM_KEY].mod_revision
        self.authority = Authority(self.clock.seconds, LEASE_TTL_S)
        self.maintenance = Maintenance(
            self.system,
            engine,
            Recorder(self.system, 5, revision),
            PlatformWaves(),
            self.machines,
            "n1",
            0.0,
            self.authority,
        )

    def advance(self, seconds):
        for _ in range(int(seconds / 0.2)):
            self.maintenance.advance(self.clock.seconds())
            run_for(self.clock, 0.2)

    def test_no_order_after_a_pause(self):
        """Guards against taking a machine down beside a successor."""
        self.clock.advance(PAUSE_S)
        self.advance(3.0)
        self.assertEqual(self.machines.orders, [])
        self.authority.extend(math.inf)
        self.advance(3.0)
        self.assertEqual(len(self.machines.orders), 1)

    def test_order_is_not_written_after_its_permission(self):
        """Guards against an order whose connection outlasts its permission."""
        self.authority.extend(math.inf)
        self.machines.on_connection = self.authority.revoke
        self.advance(3.0)
        self.assertFalse(self.authority.valid)
        self.assertEqual(self.machines.orders, [])

    def test_no_order_after_a_failed_comparison(self):
        """Guards against an order that the store has refused to record."""
        self.authority.extend(math.inf)
        self.store.contents.put(TERM_KEY, "6")
        self.advance(3.0)
        self.assertEqual(self.machines.orders, [])
        self.assertEqual(len(self.leadership.received), 1)


class EvidenceTests(unittest.TestCase):
    """Replies of peers as evidence that the store is down."""

    def setUp(self):
        self.clock, self.system, _ = node_system()
        TimerService(self.system)
        Recording(self.system, INTAKE, {CoordinatorKnown: None})
        identity = Identity("n1", "10.0.0.1:7000", "life")
        self.peers = Peers(self.system, self.clock, identity, ("10.0.0.1", 7000))

    def summary(self, available=False):
        return WireNodeSummary(
            "n2", "10.0.0.2:7000", "x", 0, "", "", 0, available, 1000.0
        )

    def exchange(self, reply, delay_s=0.0):
        """Ask the other node; its reply arrives after ``delay_s``."""
        answer = Deferred()

        async def call(*_):
            return await answer

        link = types.SimpleNamespace(call=call, close=lambda: None)
        with mock.patch.object(self.peers, "_get_link", lambda _: link):
            self.system.tell(PEERS, AskAllPeers())
            run_for(self.clock, 0.01)
        self.clock.advance(delay_s)
        answer.callback(reply)
        run_for(self.clock, 0.01)

    def down_until(self):
        reply = self.system.ask(PEERS, ListPeers())
        run_for(self.clock, 0.01)
        return outcome(reply).store_down_until

    def test_summary_that_waited_in_a_socket_is_no_evidence(self):
        """Guards against authority from a summary older than a pause."""
        self.peers._answer_exchange(self.summary())
        self.assertEqual(self.down_until(), 0.0)

    def test_reply_counts_from_the_time_of_the_request(self):
        """Guards against authority from a reply older than a pause."""
        self.peers._answer_exchange(self.summary())
        asked_at = self.clock.seconds()
        self.exchange(self.summary(), PAUSE_S)
        self.assertAlmostEqual(
            self.down_until(), asked_at + STORE_DOWN_EVIDENCE_S, delta=0.05
        )

    def test_node_that_reaches_the_store_ends_the_evidence(self):
        """Guards against an outage that is over for another node."""
        self.peers._answer_exchange(self.summary())
        self.exchange(self.summary())
        self.assertGreater(self.down_until(), 0.0)
        self.exchange(self.summary(available=True))
        self.assertEqual(self.down_until(), 0.0)


class SteadyClockTests(unittest.TestCase):
    def test_time_of_day_does_not_move_timers(self):
        """Guards against timers that stand still after a clock is set back."""
        reactor = EPollReactor()
        self.addCleanup(reactor._poller.close)
        use_steady_clock(reactor)
        fired = []
        reactor.callLater(0.0, fired.append, "now")
        reactor.callLater(60.0, fired.append, "later")
        for jump_s in (-30.0, 90.0):
            with mock.patch("time.time", return_value=jump_s):
                reactor.runUntilCurrent()
        self.assertEqual(fired, ["now"])


if __name__ == "__main__":
    unittest.main()
