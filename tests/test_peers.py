"""Tests of the calls and reports between nodes, over sockets on 127.0.0.1."""

import random
import struct

from hypothesis import given, settings
from hypothesis import strategies as st
from thrift.transport.TTwisted import TCallbackTransport
from twisted.internet import defer, reactor
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import deferLater
from twisted.trial import unittest

from redwingrudder import (
    _peer_codec,
    _peer_handler,
    _peer_link,
    exceptions,
    requests,
)
from redwingrudder._peer_plan import PeerPlan
from redwingrudder._peer_wire import protocol_factory
from redwingrudder._wire.generated.node import NodeService
from redwingrudder.actors import ActorSystem
from redwingrudder.messages import ConfigurationChanged
from redwingrudder.model import Configuration, Epoch, JobSpec, JobState, JobView
from redwingrudder.peers import Peers, PeersSettings
from redwingrudder.timers import TimerFired, TimerService

from .scripted import Scripted

SPEC = JobSpec("shop", "proof", "c", "key-1", 2, 4, 1, 64, True, True, 5.0, 1.0, "pä")
VIEW = JobView(
    "d1-a", "shop", "proof", JobState.SUCCEEDED, "", True, False, 1.5, 2.5, ("é", "b")
)
CONFIGURATION = Configuration(7, {}, {}, ())
POLL = requests.PollJob("d1-a", 0.0)
WIRE_LOG = "redwingrudder._peer_wire"


class NodeFixture:
    """The Peers actor of one node; the other actors are scripted."""

    def __init__(self, node_id, rank):
        self.id, self.rank = node_id, rank
        self.system = ActorSystem(reactor)
        TimerService(self.system)
        jobs = (requests.SubmitJob, requests.PollJob)
        self.dispatcher = Scripted(self.system, requests.DISPATCHER, jobs, VIEW)
        reports = (requests.PeerReport, requests.PeerSilent)
        self.ownership = Scripted(self.system, requests.OWNERSHIP, reports)
        self.router = Scripted(self.system, requests.ROUTER, reports)
        received_types = (requests.GetConfiguration, requests.OfferConfiguration)
        self.configuration = Scripted(
            self.system, requests.CONFIGURATION, received_types, CONFIGURATION
        )
        config = PeersSettings(node_id, rank, "d1", "127.0.0.1", 0)
        self.peers = Peers(self.system, reactor, config)
        self.system.start()
        self.address = self.peers.address

    def ask(self, address, request):
        return self.system.ask(requests.PEERS, requests.AskPeer(address, request))

    def tell(self, message):
        self.system.tell(requests.PEERS, message)

    async def tick(self, after_s=0.0):
        self.tell(TimerFired("exchange", self.system.clock.seconds() + after_s))
        await sleep(0.1)


class RawConnection(Protocol):
    """One end of a connection; records the received bytes.

    ``reply`` is sent for each received chunk.
    """

    reply = b""

    def __init__(self):
        self.received = b""
        self.closed = defer.Deferred()

    def dataReceived(self, data):
        self.received += data
        self.transport.write(self.reply)

    def connectionLost(self, reason=None):
        self.closed.callback(None)


class InvalidReplyServer(RawConnection):
    """Replies with a frame that is not a thrift message."""

    reply = b"\0\0\0\4junk"


def sleep(seconds):
    return deferLater(reactor, seconds)


def encode_frame(body):
    return struct.pack("!I", len(body)) + body


def encode_call_without_arguments(method):
    name = bytes([len(method)]) + method.encode()
    return encode_frame(b"\x82\x21\x01" + name + b"\0")


def make_vm(node_id, rank, address, domain):
    return requests.VmInfo(
        node_id, "node", "live", address, domain, "", rank, 0, 0, 0, 0
    )


def make_report(node_id, owner):
    address = f"{node_id}:1"
    epoch = Epoch(1, 0, 0)
    return requests.PeerReport(
        node_id, 0, node_id[:2], address, owner, epoch, 0, 0, 0, 0, False
    )


class PeersTestCase(unittest.TestCase):
    timeout = 20

    def setUp(self):
        self.nodes = self.one, self.two = NodeFixture("n1", 1), NodeFixture("n2", 2)

    async def tearDown(self):
        for node in self.nodes:
            await node.system.stop()
        await sleep(0.02)

    def listen(self, protocol):
        factory = Factory.forProtocol(protocol)
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        return f"127.0.0.1:{port.getHost().port}"

    async def connect(self):
        host, _, port = self.two.address.rpartition(":")
        endpoint = TCP4ClientEndpoint(reactor, host, int(port))
        return await connectProtocol(endpoint, RawConnection())


class CallTests(PeersTestCase):
    async def test_call_reaches_the_other_dispatcher_unchanged(self):
        """Guards against fields that are lost or altered in the encoding."""
        submission = requests.SubmitJob(SPEC, "corr")
        self.assertEqual(await self.one.ask(self.two.address, submission), VIEW)
        self.assertEqual(self.two.dispatcher.received, [submission])

    async def test_error_keeps_class_code_and_retry_time(self):
        """Guards against a refusal that turns into a different error."""
        self.two.dispatcher.default = exceptions.OverloadedError(
            "full", code="queue_full", retry_after_s=3.0
        )
        ask = self.one.ask(self.two.address, POLL)
        error = await self.assertFailure(ask, exceptions.OverloadedError)
        self.assertEqual((error.code, error.retry_after_s), ("queue_full", 3.0))

    async def test_result_above_the_frame_limit_is_a_coded_error(self):
        """Guards against a large reply that closes the shared connection."""
        self.two.dispatcher.default = VIEW._replace(results=("x" * 1_100_000,))
        ask = self.one.ask(self.two.address, POLL)
        error = await self.assertFailure(ask, exceptions.PayloadTooLargeError)
        self.assertEqual(error.code, "result_too_large")

    async def test_refused_connection_means_nothing_was_sent(self):
        """Guards against reporting unsent submissions as of unknown outcome.

        Only a submission that was not sent may go to another domain.
        """
        port = reactor.listenTCP(0, Factory(), interface="127.0.0.1")
        closed = f"127.0.0.1:{port.getHost().port}"
        await port.stopListening()
        for address in (closed, "nowhere", "127.0.0.1:x"):
            ask = self.one.ask(address, requests.SubmitJob(SPEC, ""))
            error = await self.assertFailure(ask, exceptions.UnavailableError)
            self.assertNotIsInstance(error, exceptions.OutcomeUnknownError)

    async def test_broken_connection_after_sending_is_an_unknown_outcome(self):
        """Guards against reporting a sent submission as not sent."""
        self.two.dispatcher.default = defer.Deferred()
        ask = self.one.ask(self.two.address, requests.SubmitJob(SPEC, ""))
        while not self.two.dispatcher.received:
            await sleep(0.01)
        for connection in self.two.peers.server.connections:
            connection.transport.abortConnection()
        await self.assertFailure(ask, exceptions.OutcomeUnknownError)

    async def test_silent_peer_times_out_and_its_connection_is_replaced(self):
        """Guards against calls that wait for TCP to detect a failed VM."""
        address = self.listen(RawConnection)
        ask = self.one.ask(address, POLL)
        await sleep(0.05)
        link = self.one.peers._links_by_address[address]
        link.expire(self.one.system.clock.seconds() + 60.0)
        await self.assertFailure(ask, exceptions.OutcomeUnknownError)
        await sleep(0.05)
        self.assertEqual(link._state, "closed")

    async def test_late_reply_is_dropped_and_the_connection_stays(self):
        """Guards against a late reply that answers a later call."""
        late_reply = defer.Deferred()
        self.two.dispatcher.script = [late_reply]
        ask = self.one.ask(self.two.address, POLL)
        await sleep(0.05)
        link = self.one.peers._links_by_address[self.two.address]
        link._connection.last_received = self.one.system.clock.seconds() + 1.0
        link.expire(self.one.system.clock.seconds() + 60.0)
        await self.assertFailure(ask, exceptions.OutcomeUnknownError)
        late_reply.callback(VIEW._replace(job_id="d1-late"))
        self.assertEqual(await self.one.ask(self.two.address, POLL), VIEW)
        self.assertEqual(len(self.two.peers.server.connections), 1)

    async def test_new_owner_ends_the_calls_to_the_old_one(self):
        """Guards against callers that wait for a replaced owner."""
        address = self.listen(RawConnection)
        self.one.tell(requests.OwnerChanged("d1", "n9", address, Epoch(1, 0, 9)))
        ask = self.one.ask(address, requests.PollJob("d1-a", 30.0))
        await sleep(0.05)
        new = requests.OwnerChanged("d1", "n2", self.two.address, Epoch(2, 0, 2))
        self.one.tell(new)
        await self.assertFailure(ask, exceptions.OutcomeUnknownError)

    async def test_calls_above_the_limit_are_refused_and_the_others_answered(self):
        """Guards against unlimited memory for calls to a slow peer."""
        self.patch(_peer_link, "OUTSTANDING_CALLS_LIMIT", 3)
        asks = [self.one.ask(self.two.address, POLL) for _ in range(5)]
        results = await defer.DeferredList(asks, consumeErrors=True)
        self.assertEqual([ok for ok, _ in results], [True] * 3 + [False] * 2)
        results[4][1].trap(exceptions.OverloadedError)

    async def test_waiting_callers_leave_room_for_other_calls_and_reports(self):
        """Guards against refused reports, which make a node appear dead."""
        self.patch(_peer_link, "OUTSTANDING_CALLS_LIMIT", 3)
        self.patch(_peer_link, "WAITING_CALLS_LIMIT", 2)
        self.patch(_peer_handler, "SERVED_CALLS_LIMIT", 3)
        self.two.dispatcher.script = [defer.Deferred() for _ in range(3)]
        wait = requests.PollJob("d1-a", 30.0)
        waiting_calls = [self.one.ask(self.two.address, wait) for _ in range(3)]
        await self.assertFailure(waiting_calls.pop(), exceptions.OverloadedError)
        prompt = self.one.ask(self.two.address, POLL)
        refused = self.one.ask(self.two.address, POLL)
        await self.assertFailure(refused, exceptions.OverloadedError)
        await self.one.peers._exchange(self.two.address)
        await sleep(0.01)
        self.assertEqual(self.one.ownership.received[0].node_id, "n2")
        for ask in (*waiting_calls, prompt):
            ask.addErrback(lambda failure: None)


class BadFrameTests(PeersTestCase):
    async def test_bad_frames_close_only_their_connection(self):
        """Guards against invalid input that affects other connections."""
        await self.one.ask(self.two.address, POLL)
        cases = (
            (struct.pack("!I", 1024 * 1024 + 1), "frame_too_large", b""),
            (encode_frame(b"junk"), "bad_frame", b""),
            (
                encode_call_without_arguments("drop_all"),
                "unknown_method",
                b"unknown method",
            ),
        )
        for data, code, answer in cases:
            client = await self.connect()
            with self.assertLogs(WIRE_LOG, "WARNING") as logs:
                client.transport.write(data)
                await client.closed
            self.assertEqual(logs.records[0].code, code)
            self.assertIn(answer, client.received)
            self.assertEqual(await self.one.ask(self.two.address, POLL), VIEW)
            self.assertEqual(len(self.two.peers.server.connections), 1)

    async def test_truncated_frame_is_reported(self):
        """Guards against a truncated frame that leaves no log line."""
        client = await self.connect()
        client.transport.write(struct.pack("!I", 100) + b"part")
        await sleep(0.05)
        with self.assertLogs(WIRE_LOG, "WARNING") as logs:
            client.transport.loseConnection()
            await client.closed
            await sleep(0.05)
        self.assertEqual(logs.records[0].code, "truncated_frame")

    async def test_missing_fields_are_a_coded_fault(self):
        """Guards against a peer of another release that gets no error code."""
        client = await self.connect()
        client.transport.write(encode_call_without_arguments("submit"))
        while not client.received:
            await sleep(0.01)
        client.transport.loseConnection()
        self.assertIn(b"bad_request/bad_frame", client.received)

    async def test_random_frames_never_reach_the_dispatcher(self):
        """Guards against malformed frames that are executed as calls."""
        generator = random.Random(7)
        with self.assertLogs(WIRE_LOG, "WARNING"):
            for _ in range(30):
                client = await self.connect()
                body = generator.randbytes(generator.randrange(1, 60))
                client.transport.write(encode_frame(body))
                client.transport.loseConnection()
                await client.closed
        self.assertEqual(await self.one.ask(self.two.address, POLL), VIEW)
        self.assertEqual(self.two.dispatcher.received, [POLL])

    async def test_garbage_from_a_server_fails_the_calls_on_it(self):
        """Guards against calls that wait for a peer with invalid replies."""
        ask = self.one.ask(self.listen(InvalidReplyServer), POLL)
        with self.assertLogs(WIRE_LOG, "WARNING"):
            await self.assertFailure(ask, exceptions.OutcomeUnknownError)


class ExchangeTests(PeersTestCase):
    def setUp(self):
        super().setUp()
        vms = tuple(
            make_vm(node.id, node.rank, node.address, "d1") for node in self.nodes
        )
        for node in self.nodes:
            node.tell(requests.MembersChanged(vms))

    async def test_reports_reach_both_sides_and_carry_the_load(self):
        """Guards against a report that only one of the two nodes receives."""
        self.two.tell(requests.OwnershipGained(Epoch(4, 0, 2)))
        self.two.tell(requests.LocalLoad(9, 8, 3))
        await self.one.tick()
        report = self.one.ownership.received[0]
        self.assertEqual((report.node_id, report.owner), ("n2", True))
        self.assertEqual(report.largest_free_gang, 8)
        self.assertEqual(self.two.ownership.received[0].node_id, "n1")

    async def test_silence_is_reported_to_ownership_and_router(self):
        """Guards against an undetected failure of a peer."""
        await self.one.tick()
        await defer.maybeDeferred(self.two.peers._port.stopListening)
        for connection in self.two.peers.server.connections:
            connection.transport.abortConnection()
        await self.one.tick(1.0)
        await self.one.tick(3.5)
        received_types = [type(message) for message in self.one.router.received]
        self.assertIn(requests.PeerSilent, received_types)
        self.assertEqual(received_types, [type(m) for m in self.one.ownership.received])

    async def test_node_without_configuration_copies_that_of_a_peer(self):
        """Guards against a node that needs the store for its configuration."""
        self.two.tell(ConfigurationChanged(CONFIGURATION))
        await self.one.tick()
        await self.one.tick(1.0)
        offer = requests.OfferConfiguration(CONFIGURATION)
        self.assertEqual(self.one.configuration.received, [offer])

    async def test_change_that_the_watch_brings_is_not_copied_from_a_peer(self):
        """Guards against document copies that exceed the traffic budget."""
        self.one.tell(ConfigurationChanged(CONFIGURATION._replace(version=6)))
        self.two.tell(ConfigurationChanged(CONFIGURATION))
        await self.one.tick()
        await self.one.tick(1.0)
        configuration_requests = self.two.configuration.received
        self.assertEqual(configuration_requests, [])
        await self.one.tick(3.0)
        self.assertEqual(configuration_requests, [requests.GetConfiguration()])

    def test_report_fits_the_traffic_budget(self):
        """Guards against a report that exceeds the traffic budget of a node.

        The budget allows 150 bytes in each direction of an exchange.
        """
        report = make_report("vm-bangkok-a-0017", True)._replace(
            failure_domain="bangkok-a",
            address="10.112.113.114:7411",
            epoch=Epoch(2**31, 9, 17),
            configuration_version=7_100 * 730,
            free_accelerators=2_500,
            largest_free_gang=64,
            queued_jobs=19_000,
        )
        frames = []
        client = NodeService.Client(
            TCallbackTransport(frames.append), protocol_factory()
        )
        client._seqid = 2**31
        client.exchange(_peer_codec.encode_report(report))
        self.assertLess(len(frames[0]) + 4, 150)


class PlanTests(unittest.TestCase):
    """Selection of peers at the target size: 4 domains of 10 nodes.

    In each domain, the node of rank 0 is the owner.
    """

    domains = ("d1", "d2", "d3", "d4")

    def plan(self, node_id, owned=domains):
        plan = PeerPlan(node_id, "d1")
        names = [f"{domain}-{rank}" for domain in self.domains for rank in range(10)]
        plan.set_members(
            tuple(make_vm(name, int(name[-1]), f"{name}:1", name[:2]) for name in names)
        )
        for domain in owned:
            plan.record_report(make_report(f"{domain}-0", owner=True), 0.0)
        return plan

    def ask(self, plan, now, dead=()):
        due = plan.select_addresses(now)
        for node_id in {address[:-2] for address in due} - set(dead):
            plan.record_report(make_report(node_id, owner=node_id.endswith("-0")), now)
        return due

    def count(self, node_id):
        plan = self.plan(node_id)
        return sum(len(self.ask(plan, float(now))) for now in range(1, 101)) / 100

    def test_exchanges_a_second_at_the_target_size(self):
        """Guards against full-mesh exchanges and their traffic."""
        self.assertLess(self.count("d1-5"), 2.4)
        self.assertLess(self.count("d1-0"), 4.1)

    def test_of_two_nodes_only_one_asks(self):
        """Guards against duplicate exchanges between the same nodes."""
        plan = self.plan("d1-5")
        plan.record_report(make_report("d1-6", owner=False), 0.9)
        self.assertNotIn("d1-6:1", plan.select_addresses(1.0))
        self.assertIn("d1-6:1", plan.select_addresses(2.0))

    def test_domain_without_a_live_owner_exchanges_with_all(self):
        """Guards against a succession that misses live nodes."""
        unknown = self.plan("d1-5", owned=("d2", "d3", "d4"))
        self.assertEqual(
            len([a for a in unknown.select_addresses(1.0) if "d1" in a]), 9
        )
        dead = self.plan("d1-5")
        for now in (1.0, 2.0, 3.0, 4.0):
            due = self.ask(dead, now, dead=("d1-0",))
        self.assertEqual(len([a for a in due if "d1" in a]), 9)
        self.assertIn("d1-0", [peer.node_id for peer in dead.find_silent_peers(4.0)])

    def test_unknown_remote_owner_is_found_by_asking_in_turn(self):
        """Guards against an owner that stays unknown during a store outage.

        Then only the report of the owner itself identifies it.
        """
        plan = self.plan("d1-5", owned=())
        addresses = {
            a for now in range(1, 12) for a in plan.select_addresses(float(now))
        }
        self.assertEqual(len([a for a in addresses if a.startswith("d2")]), 10)

    def test_peer_that_was_not_asked_has_not_been_silent(self):
        """Guards against a succession that considers a live node failed.

        After a long time without an exchange, the last report is old.
        """
        plan = self.plan("d1-5")
        plan.record_report(make_report("d1-7", owner=False), 1.0)
        plan.set_owner(requests.OwnerChanged("d1", "", "", Epoch(1, 0, 0)))
        self.assertIn("d1-7:1", plan.select_addresses(100.0))
        self.assertEqual(plan.find_silent_peers(100.0), ())
        self.assertIn("d1-7", [peer.node_id for peer in plan.find_silent_peers(102.0)])

    def test_owner_of_a_lower_epoch_is_ignored(self):
        """Guards against a replaced owner whose late report is accepted."""
        plan = self.plan("d1-5")
        new = requests.OwnerChanged("d1", "d1-3", "d1-3:1", Epoch(2, 0, 3))
        self.assertEqual(plan.set_owner(new), "d1-0:1")
        plan.record_report(make_report("d1-0", owner=True), 1.0)
        self.assertIn("d1-3:1", plan.select_addresses(1.0))


class CodecTests(unittest.TestCase):
    @given(st.lists(st.text()), st.sampled_from(JobState), st.none() | st.floats(0))
    @settings(max_examples=50, derandomize=True, database=None)
    def test_views_survive_the_conversion(self, results, state, finished_at):
        view = VIEW._replace(
            results=tuple(results), state=state, finished_at=finished_at
        )
        wire = _peer_codec.encode_view(view)
        self.assertEqual(_peer_codec.decode_view(wire), view)

    def test_errors_survive_the_conversion(self):
        """Guards against errors that change their class or code in transit."""
        for error in (
            exceptions.ConflictError("d2: there", code="other_domain"),
            exceptions.NotFoundError("no", code="no_such_job"),
            exceptions.OutcomeUnknownError("lost", retry_after_s=1.0),
        ):
            decoded = _peer_codec.decode_error(_peer_codec.encode_error(error))
            self.assertEqual(type(decoded), type(error))
            self.assertEqual(vars(decoded), vars(error) | {"code": error.code})
