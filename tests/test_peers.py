"""Tests of the traffic between nodes, over real sockets on 127.0.0.1."""

import random
import struct

from hypothesis import given, settings
from hypothesis import strategies as st
from thrift.transport.TTwisted import TCallbackTransport
from twisted.internet import defer, reactor
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol
from twisted.trial import unittest

from redwingrudder import _peer_link, requests
from redwingrudder._peer_codec import (
    decode_error,
    decode_view,
    encode_error,
    encode_report,
    encode_view,
)
from redwingrudder._peer_plan import PeerPlan
from redwingrudder._peer_wire import protocol_factory
from redwingrudder._wire.generated.node import NodeService
from redwingrudder.actors import Actor, ActorSystem
from redwingrudder.exceptions import (
    ConflictError,
    NotFoundError,
    OutcomeUnknownError,
    OverloadedError,
    PayloadTooLargeError,
    UnavailableError,
)
from redwingrudder.messages import ConfigurationChanged
from redwingrudder.model import Configuration, Epoch, JobSpec, JobState, JobView
from redwingrudder.peers import Peers, PeersSettings
from redwingrudder.timers import TimerFired, TimerService

SPEC = JobSpec("shop", "proof", "c", "key-1", 2, 4, 1, 64, True, True, 5.0, 1.0, "pä")
VIEW = JobView(
    "d1-a", "shop", "proof", JobState.SUCCEEDED, "", True, False, 1.5, 2.5, ("é", "b")
)
CONFIGURATION = Configuration(7, {}, {}, ())


class Recorder(Actor):
    """An actor that keeps what it is told and answers from a list."""

    def __init__(self, system, name, kinds, answer=None):
        self.received = []
        self.answer = answer
        self.kinds = kinds
        super().__init__(system, name)

    def handlers(self):
        return dict.fromkeys(self.kinds, self.handle)

    def handle(self, message):
        self.received.append(message)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


class Node:
    """Peers of one node with recorders for the other actors."""

    def __init__(self, node_id="n1", rank=1, domain="d1"):
        self._id, self._rank = node_id, rank
        self.system = ActorSystem(reactor)
        TimerService(self.system)
        jobs = (requests.SubmitJob, requests.PollJob, requests.CancelJob)
        self.dispatcher = Recorder(self.system, requests.DISPATCHER, jobs, VIEW)
        reports = (requests.PeerReport, requests.PeerSilent)
        self.ownership = Recorder(self.system, requests.OWNERSHIP, reports)
        self.router = Recorder(self.system, requests.ROUTER, reports)
        kinds = (
            requests.PeerReport,
            requests.GetConfiguration,
            requests.OfferConfiguration,
        )
        self.configuration = Recorder(
            self.system, requests.CONFIGURATION, kinds, CONFIGURATION
        )
        config = PeersSettings(node_id, rank, domain, "127.0.0.1", 0)
        self.peers = Peers(self.system, reactor, config)
        self.system.start()

    @property
    def address(self):
        return self.peers.address

    def ask(self, address, request):
        return self.system.ask(requests.PEERS, requests.AskPeer(address, request))

    async def stop(self):
        await self.system.stop()


class RawClient(Protocol):
    """A client that writes any bytes and keeps what comes back."""

    def __init__(self):
        self.received = b""
        self.closed = defer.Deferred()

    def dataReceived(self, data):
        self.received += data

    def connectionLost(self, reason=None):
        self.closed.callback(None)


class GarbageServer(Protocol):
    """Answers every call with a frame that is no thrift message."""

    def dataReceived(self, data):
        self.transport.write(b"\0\0\0\4junk")


def call_frame(method, arguments):
    body = b"\x82\x21\x01" + bytes([len(method)]) + method.encode() + arguments
    return struct.pack("!I", len(body)) + body


def vm(node_id, rank, address, domain):
    return requests.VmInfo(
        node_id, "node", "live", address, domain, "", rank, 0, 0, 0, 0
    )


def report_of(node_id, owner):
    return requests.PeerReport(
        node_id, 0, node_id[:2], f"{node_id}:1", owner, Epoch(1, 0, 0), 0, 0, 0, 0,
        False,
    )  # fmt: skip


def pause(seconds):
    waiting = defer.Deferred()
    reactor.callLater(seconds, waiting.callback, None)
    return waiting


class PeersTestCase(unittest.TestCase):
    timeout = 20

    def setUp(self):
        self.nodes = [Node("n1", 1), Node("n2", 2)]
        self.one, self.two = self.nodes

    async def tearDown(self):
        for node in self.nodes:
            await node.stop()
        await pause(0.02)

    async def raw(self, address):
        host, _, port = address.rpartition(":")
        endpoint = TCP4ClientEndpoint(reactor, host, int(port))
        return await connectProtocol(endpoint, RawClient())

    def listen_silently(self):
        factory = Factory.forProtocol(Protocol)
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        return f"127.0.0.1:{port.getHost().port}"


class CallTests(PeersTestCase):
    async def test_call_reaches_the_other_dispatcher_unchanged(self):
        submission = requests.SubmitJob(SPEC, "corr")
        view = await self.one.ask(self.two.address, submission)
        self.assertEqual(view, VIEW)
        self.assertEqual(self.two.dispatcher.received, [submission])

    async def test_error_keeps_class_code_and_retry_time(self):
        """A refusal must not turn into another status on its way."""
        error = OverloadedError("full", code="queue_full", retry_after_s=3.0)
        self.two.dispatcher.answer = error
        found = await self.assertFailure(
            self.one.ask(self.two.address, requests.PollJob("d1-a", 0.5)),
            OverloadedError,
        )
        self.assertEqual((found.code, found.retry_after_s), ("queue_full", 3.0))

    async def test_result_above_the_frame_limit_is_a_coded_error(self):
        """An oversized reply must not close the connection of others."""
        self.two.dispatcher.answer = VIEW._replace(results=("x" * 1_100_000,))
        ask = self.one.ask(self.two.address, requests.PollJob("d1-a", 0.0))
        found = await self.assertFailure(ask, PayloadTooLargeError)
        self.assertEqual(found.code, "result_too_large")

    async def test_refused_connection_means_nothing_was_sent(self):
        """A submission may go to another domain only when it was not sent."""
        port = reactor.listenTCP(0, Factory(), interface="127.0.0.1")
        address = f"127.0.0.1:{port.getHost().port}"
        await port.stopListening()
        ask = self.one.ask(address, requests.SubmitJob(SPEC, ""))
        found = await self.assertFailure(ask, UnavailableError)
        self.assertNotIsInstance(found, OutcomeUnknownError)

    async def test_broken_connection_after_sending_is_an_unknown_outcome(self):
        self.two.dispatcher.answer = defer.Deferred()
        ask = self.one.ask(self.two.address, requests.SubmitJob(SPEC, ""))
        while not self.two.dispatcher.received:
            await pause(0.01)
        for connection in self.two.peers.server.connections:
            connection.transport.abortConnection()
        await self.assertFailure(ask, OutcomeUnknownError)

    async def test_silent_peer_times_out_and_its_connection_is_replaced(self):
        """A VM that vanished must not hold calls until TCP gives up."""
        address = self.listen_silently()
        ask = self.one.ask(address, requests.PollJob("d1-a", 0.0))
        await pause(0.05)
        link = self.one.peers._links_by_address[address]
        link.sweep(self.one.system.clock.seconds() + 60.0)
        await self.assertFailure(ask, OutcomeUnknownError)
        await pause(0.05)
        self.assertEqual(link._state, "closed")

    async def test_new_owner_ends_the_calls_to_the_old_one(self):
        address = self.listen_silently()
        old = requests.OwnerChanged("d1", "n9", address, Epoch(1, 0, 9))
        new = requests.OwnerChanged("d1", "n2", self.two.address, Epoch(2, 0, 2))
        self.one.system.tell(requests.PEERS, old)
        ask = self.one.ask(address, requests.PollJob("d1-a", 30.0))
        await pause(0.05)
        self.one.system.tell(requests.PEERS, new)
        await self.assertFailure(ask, OutcomeUnknownError)

    async def test_calls_above_the_bound_are_refused_and_the_rest_answered(self):
        self.patch(_peer_link, "OUTSTANDING_LIMIT", 3)
        poll = requests.PollJob("d1-a", 0.0)
        asks = [self.one.ask(self.two.address, poll) for _ in range(5)]
        results = await defer.DeferredList(asks, consumeErrors=True)
        self.assertEqual([ok for ok, _ in results], [True] * 3 + [False] * 2)
        results[4][1].trap(OverloadedError)


class BadFrameTests(PeersTestCase):
    async def check_only_this_connection_closes(self, data):
        poll = requests.PollJob("d1-a", 0.0)
        await self.one.ask(self.two.address, poll)
        client = await self.raw(self.two.address)
        with self.assertLogs("redwingrudder._peer_wire", "WARNING") as logs:
            client.transport.write(data)
            await client.closed
        self.assertEqual(await self.one.ask(self.two.address, poll), VIEW)
        self.assertEqual(len(self.two.peers.server.connections), 1)
        return client.received, logs.records[0].code

    async def test_oversized_frame(self):
        header = struct.pack("!I", 1024 * 1024 + 1)
        _, code = await self.check_only_this_connection_closes(header)
        self.assertEqual(code, "frame_too_large")

    async def test_garbage_frame(self):
        _, code = await self.check_only_this_connection_closes(b"\0\0\0\4junk")
        self.assertEqual(code, "bad_frame")

    async def test_unknown_method_is_answered_and_closed(self):
        frame = call_frame("drop_all", b"\0")
        received, code = await self.check_only_this_connection_closes(frame)
        self.assertIn(b"unknown method", received)
        self.assertEqual(code, "unknown_method")

    async def test_truncated_frame(self):
        client = await self.raw(self.two.address)
        client.transport.write(struct.pack("!I", 100) + b"part")
        await pause(0.05)
        with self.assertLogs("redwingrudder._peer_wire", "WARNING") as logs:
            client.transport.loseConnection()
            await client.closed
            await pause(0.05)
        self.assertEqual(logs.records[0].code, "truncated_frame")

    async def test_missing_fields_are_a_coded_fault(self):
        """A peer of another release must get a code, not a lost reply."""
        client = await self.raw(self.two.address)
        client.transport.write(call_frame("submit", b"\0"))
        while not client.received:
            await pause(0.01)
        client.transport.loseConnection()
        self.assertIn(b"bad_request/bad_frame", client.received)

    async def test_random_frames_never_reach_the_dispatcher(self):
        generator = random.Random(7)
        with self.assertLogs("redwingrudder._peer_wire", "WARNING"):
            for _ in range(30):
                client = await self.raw(self.two.address)
                body = generator.randbytes(generator.randrange(1, 60))
                client.transport.write(struct.pack("!I", len(body)) + body)
                client.transport.loseConnection()
                await client.closed
        poll = requests.PollJob("d1-a", 0.0)
        self.assertEqual(await self.one.ask(self.two.address, poll), VIEW)
        self.assertEqual(self.two.dispatcher.received, [poll])

    async def test_garbage_from_a_server_fails_the_calls_on_it(self):
        factory = Factory.forProtocol(GarbageServer)
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        address = f"127.0.0.1:{port.getHost().port}"
        ask = self.one.ask(address, requests.PollJob("d1-a", 0.0))
        with self.assertLogs("redwingrudder._peer_wire", "WARNING"):
            await self.assertFailure(ask, OutcomeUnknownError)


class ExchangeTests(PeersTestCase):
    def introduce(self):
        vms = tuple(vm(node._id, node._rank, node.address, "d1") for node in self.nodes)
        for node in self.nodes:
            node.system.tell(requests.PEERS, requests.MembersChanged(vms))

    def tick(self, node, now=None):
        now = node.system.clock.seconds() if now is None else now
        node.system.tell(requests.PEERS, TimerFired("exchange", now))

    async def test_reports_reach_both_sides_and_carry_the_load(self):
        self.introduce()
        self.two.system.tell(requests.PEERS, requests.OwnershipGained(Epoch(4, 0, 2)))
        self.two.system.tell(requests.PEERS, requests.LocalLoad(9, 8, 3))
        self.tick(self.one)
        await pause(0.1)
        report = self.one.ownership.received[0]
        self.assertEqual((report.node_id, report.owner), ("n2", True))
        self.assertEqual(report.largest_free_gang, 8)
        self.assertEqual(self.two.ownership.received[0].node_id, "n1")

    async def test_silence_is_told_to_ownership_and_router(self):
        self.introduce()
        self.tick(self.one)
        await pause(0.1)
        now = self.one.system.clock.seconds()
        await defer.maybeDeferred(self.two.peers._port.stopListening)
        for connection in self.two.peers.server.connections:
            connection.transport.abortConnection()
        self.tick(self.one, now + 1.0)
        self.tick(self.one, now + 3.5)
        await pause(0.1)
        kinds = [type(message) for message in self.one.router.received]
        self.assertIn(requests.PeerSilent, kinds)
        self.assertEqual(kinds, [type(m) for m in self.one.ownership.received])

    async def test_node_without_configuration_copies_a_peers(self):
        self.two.system.tell(requests.PEERS, ConfigurationChanged(CONFIGURATION))
        self.introduce()
        self.tick(self.one)
        await pause(0.1)
        self.tick(self.one)
        await pause(0.1)
        self.assertIn(
            requests.OfferConfiguration(CONFIGURATION),
            self.one.configuration.received,
        )

    async def test_change_that_the_watch_brings_is_not_copied_from_a_peer(self):
        """Copies of the document would exceed the traffic budget."""
        old = CONFIGURATION._replace(version=6)
        self.one.system.tell(requests.PEERS, ConfigurationChanged(old))
        self.two.system.tell(requests.PEERS, ConfigurationChanged(CONFIGURATION))
        self.introduce()
        now = self.one.system.clock.seconds()
        self.tick(self.one, now)
        await pause(0.1)
        self.tick(self.one, now + 1.0)
        await pause(0.1)
        self.assertEqual(self.two.configuration.received, [])
        self.tick(self.one, now + 3.0)
        await pause(0.1)
        self.assertEqual(self.two.configuration.received, [requests.GetConfiguration()])

    def test_exchange_stays_under_its_size(self):
        """The traffic budget of a node counts on 150 bytes each way."""
        report = requests.PeerReport(
            "vm-bangkok-a-0017", 17, "bangkok-a", "10.112.113.114:7411", True,
            Epoch(2**31, 9, 17), 7_100 * 730, 2_500, 64, 19_000, False,
        )  # fmt: skip
        frames = []
        transport = TCallbackTransport(frames.append)
        client = NodeService.Client(transport, protocol_factory())
        client._seqid = 2**31
        client.exchange(encode_report(report))
        self.assertLess(len(frames[0]) + 4, 150)


class PlanTests(unittest.TestCase):
    def setUp(self):
        vms = [
            vm(f"{domain}-{rank}", rank, f"{domain}-{rank}:1", domain)
            for domain in ("d1", "d2", "d3", "d4")
            for rank in range(10)
        ]
        self.members = tuple(vms)

    def plan(self, node_id, owner_known=True):
        plan = PeerPlan(node_id, "d1")
        plan.set_members(self.members)
        for domain in ("d1", "d2", "d3", "d4"):
            if owner_known or domain != "d1":
                plan.set_owner(
                    requests.OwnerChanged(
                        domain, f"{domain}-0", f"{domain}-0:1", Epoch(1, 0, 0)
                    )
                )
        return plan

    def answer(self, plan, addresses, now):
        for address in addresses:
            node_id = address[:-2]
            plan.heard(report_of(node_id, owner=node_id.endswith("-0")), now)

    def count(self, plan, seconds=100):
        total = 0
        for now in range(1, seconds + 1):
            due = plan.due(float(now))
            total += len(due)
            self.answer(plan, due, float(now))
        return total / seconds

    def test_exchanges_a_second_at_the_target_size(self):
        """Full exchange would take most of a node's traffic budget."""
        self.assertLess(self.count(self.plan("d1-5")), 2.4)
        self.assertLess(self.count(self.plan("d1-0")), 4.1)

    def test_domain_without_a_live_owner_exchanges_with_all(self):
        """Succession needs to know every live node of the domain."""
        unknown = self.plan("d1-5", owner_known=False)
        self.assertEqual(len([a for a in unknown.due(1.0) if "d1" in a]), 9)
        dead = self.plan("d1-5")
        for now in (1.0, 2.0, 3.0, 4.0):
            due = dead.due(now)
            self.answer(dead, [a for a in due if a != "d1-0:1"], now)
        self.assertEqual(len([a for a in due if "d1" in a]), 9)
        self.assertIn("d1-0", [peer.node_id for peer in dead.silent(4.0)])

    def test_unknown_remote_owner_is_found_by_asking_in_turn(self):
        """While the store is down, only the owner itself can tell."""
        plan = PeerPlan("d1-5", "d1")
        plan.set_members(self.members)
        asked = set()
        for now in range(1, 12):
            asked.update(a for a in plan.due(float(now)) if a.startswith("d2"))
        self.assertEqual(len(asked), 10)

    def test_peer_that_was_not_asked_has_not_been_silent(self):
        """Succession must not take a live node for dead."""
        plan = self.plan("d1-5")
        plan.heard(report_of("d1-7", owner=False), 1.0)
        plan.set_owner(requests.OwnerChanged("d1", "", "", Epoch(1, 0, 0)))
        self.assertIn("d1-7:1", plan.due(100.0))
        self.assertEqual(plan.silent(100.0), ())
        self.assertIn("d1-7", [peer.node_id for peer in plan.silent(102.0)])

    def test_owner_of_a_lower_epoch_is_ignored(self):
        plan = self.plan("d1-5")
        new = requests.OwnerChanged("d1", "d1-3", "d1-3:1", Epoch(2, 0, 3))
        self.assertEqual(plan.set_owner(new), "d1-0:1")
        plan.heard(report_of("d1-0", owner=True), 1.0)
        self.assertIn("d1-3:1", plan.due(1.0))


class CodecTests(unittest.TestCase):
    @given(st.lists(st.text()), st.sampled_from(JobState), st.none() | st.floats(0))
    @settings(max_examples=50, derandomize=True, database=None)
    def test_views_survive_the_conversion(self, results, state, finished_at):
        view = VIEW._replace(
            results=tuple(results), state=state, finished_at=finished_at
        )
        self.assertEqual(decode_view(encode_view(view)), view)

    def test_errors_survive_the_conversion(self):
        for error in (
            ConflictError("d2: there", code="other_domain"),
            NotFoundError("no", code="no_such_job"),
            OutcomeUnknownError("lost", retry_after_s=1.0),
        ):
            found = decode_error(encode_error(error))
            self.assertEqual(type(found), type(error))
            self.assertEqual(
                (found.code, found.detail, found.retry_after_s),
                (error.code, error.detail, error.retry_after_s),
            )
