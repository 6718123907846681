"""Tests of configuration changes whose documents fill a node's link.

Load pattern: a document of half a megabyte changes twice in a row and is read
by nodes on links of 5 Mbit/s (incident inc1).
"""

import base64
import json
import unittest

from thrift.Thrift import TMessageType
from thrift.transport.TTransport import TMemoryBuffer
from twisted.internet.defer import ensureDeferred
from twisted.internet.testing import MemoryReactorClock, StringTransport

from redwingrudder._background import pause
from redwingrudder._peer_wire import protocol_factory
from redwingrudder._wire.generated.coordination import CoordinationService
from redwingrudder._wire.generated.coordination.ttypes import WireNodeSummary
from redwingrudder.actors import Actor, ActorSystem
from redwingrudder.coordination.configuration_feed import ConfigurationFeed
from redwingrudder.coordination.gateways import (
    CONFIGURATION,
    PEERS,
    STORE,
    AwaitChanges,
    ConfigurationCodec,
    OperatorConfiguration,
    Queue,
)
from redwingrudder.coordination.leadership import Identity
from redwingrudder.coordination.messages import (
    ConfigurationInForce,
    NewerConfigurationSeen,
)
from redwingrudder.coordination.metrics import (
    METRICS,
    IncrementCounter,
    ObserveDuration,
    SetGauge,
)
from redwingrudder.coordination.peer_calls import PeerLink
from redwingrudder.coordination.peers import CallPeer, Peers
from redwingrudder.exceptions import StoreUnavailableError, UnavailableError
from redwingrudder.platform.front_end import FRONT_END, FrontEnd
from redwingrudder.platform.http_client import JsonClient
from redwingrudder.platform.store import PlatformStore
from redwingrudder.simulation import MemoryStore, StoreContents
from redwingrudder.timers import TIMERS, Subscribe, TimerService
from redwingrudder.workflows.model import QueuePolicy

from .coordination_fakes import Recording, node_system, outcome, run_for
from .test_platform_front import FakeRequest

LINK_BPS = 5e6
PART_S = 0.05  # time between two parts of a reply
DOCUMENT = json.dumps({"version": 2, "routes": "x" * 400_000})
REPLY = {
    "events": [
        {
            "key": "op/config",
            "value": base64.b64encode(DOCUMENT.encode()).decode(),
            "revision": 9,
        }
    ],
    "currentRev": 9,
}


class WatchTransferTests(unittest.TestCase):
    """The reply of a watch arrives at the rate of the link."""

    def setUp(self):
        self.reactor = MemoryReactorClock()
        self.system = ActorSystem(self.reactor)
        Recording(self.system, METRICS, {IncrementCounter: None, SetGauge: None})
        client = JsonClient(self.reactor, "10.0.0.9:80", 2)
        PlatformStore(self.system, client, (), (), LINK_BPS)
        self.reply = self.system.ask(STORE, AwaitChanges("op/config", 3, 1.0))
        run_for(self.reactor, 0.02)
        factory = self.reactor.tcpClients[0][2]
        self.connection = factory.buildProtocol(None)
        self.connection.makeConnection(StringTransport())
        body = json.dumps(REPLY).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        self.content = head.encode() + body

    def transfer(self, share=1.0):
        """Deliver a share of the reply at the rate of the link."""
        size = int(share * len(self.content))
        part = int(LINK_BPS / 8 * PART_S)
        for start in range(0, size, part):
            run_for(self.reactor, PART_S)
            self.connection.dataReceived(self.content[start : min(start + part, size)])

    def test_reply_that_is_arriving_is_not_given_up(self):
        """Guards against a change that a narrow link carries twice or never.

        The change is made at the end of the time for which the watch waits.
        """
        run_for(self.reactor, 0.9)
        self.transfer()
        run_for(self.reactor, PART_S)
        self.assertEqual(outcome(self.reply).changes[0].value, DOCUMENT)

    def test_reply_that_stops_arriving_is_given_up(self):
        """Guards against a watch that waits for a connection that is dead."""
        self.transfer(0.5)
        self.assertFalse(self.reply.called)
        run_for(self.reactor, 2.0)
        self.assertIsInstance(outcome(self.reply), StoreUnavailableError)

    def test_watch_without_a_reply_is_given_up_as_early_as_before(self):
        """Guards against a silent watch that hides a change for seconds."""
        run_for(self.reactor, 1.5)
        self.assertIsInstance(outcome(self.reply), StoreUnavailableError)


class VersionCodec(ConfigurationCodec):
    """Codec whose documents are version numbers; version 2 has a queue."""

    key = "op/config"

    def decode(self, document):
        policy = QueuePolicy("pool")
        queue = Queue("queue", "", "/queue/", True, 3.0, policy)
        queues = (queue,) if int(document) > 1 else ()
        return OperatorConfiguration(int(document), queues, {}, {}, frozenset())


class NewerVersionTests(unittest.TestCase):
    """Peers have a version that this node has not received yet."""

    def setUp(self):
        self.reactor = MemoryReactorClock()
        self.system = ActorSystem(self.reactor)
        metrics = {IncrementCounter: None, ObserveDuration: None, SetGauge: None}
        Recording(self.system, METRICS, metrics)
        TimerService(self.system)
        self.store = MemoryStore(self.system, StoreContents())
        self.store.contents.put("op/config", "1")
        self.feed = ConfigurationFeed(
            self.system, VersionCodec(), (FRONT_END, PEERS), (FRONT_END,)
        )
        self.front_end = FrontEnd(self.system, self.reactor, ("127.0.0.1", 0))
        identity = Identity("n1", "10.0.0.1:7000", "life")
        self.peers = Peers(self.system, self.reactor, identity, ("10.0.0.1", 7000))
        self.system.tell(TIMERS, Subscribe(CONFIGURATION, "follow", 0.0))
        run_for(self.reactor, 0.1)

    def hear_of_version(self, version):
        """Receive the summaries of three nodes that have a version."""
        for number in (2, 3, 4):
            address = f"10.0.0.{number}:7000"
            self.peers._answer_exchange(
                WireNodeSummary(f"n{number}", address, "l", version, "", "", 0, True, 0)
            )
        run_for(self.reactor, 0.1)

    def request(self):
        """Return the response to a query of a job of the added queue."""
        request = FakeRequest()
        request.method = b"PUT"
        self.front_end._respond(request)
        run_for(self.reactor, 0.05)
        return request.response

    def test_document_is_not_fetched_while_the_store_sends_it(self):
        """Guards against calls to peers that take the link from the store."""
        for _ in range(4):
            self.hear_of_version(2)
        self.assertEqual(self.reactor.tcpClients, [])

    def test_document_is_fetched_once_without_the_store(self):
        """Guards against a node that stays behind while the store is away."""
        self.store.down = True
        for message, reply in self.store.watches:
            reply.errback(StoreUnavailableError(f"lost {message.prefix}"))
        run_for(self.reactor, 0.05)
        for _ in range(3):
            self.hear_of_version(2)
        self.assertEqual(len(self.reactor.tcpClients), 1)

    def test_outdated_configuration_refuses_nothing_for_good(self):
        """Guards against a 404 for a queue that a newer version has added."""
        self.assertEqual(self.request().status, 404)
        self.hear_of_version(2)
        response = self.request()
        self.assertEqual(response.status, 503)
        self.assertIn("Retry-After", dict(response.headers))
        self.store.contents.put("op/config", "2")
        run_for(self.reactor, 0.05, (self.store,))
        self.assertEqual(self.request().status, 405)


class DocumentPeers(Actor):
    """Peers that send the document of their version after a delay.

    Attributes:
        versions_by_address: Version of each node that answers.
    """

    def __init__(self, system, versions_by_address):
        self.versions_by_address = versions_by_address
        super().__init__(system, PEERS)

    def handlers(self):
        return {CallPeer: self._call}

    async def _call(self, message):
        await pause(self.system.clock, PART_S)
        if message.address not in self.versions_by_address:
            raise UnavailableError("no answer")
        (above_version,) = message.arguments
        version = self.versions_by_address[message.address]
        return str(version) if version > above_version else ""


class RestartedNodeTests(unittest.TestCase):
    """A node starts again while the store does not answer it.

    One of its peers was paused and has an outdated version.
    """

    def setUp(self):
        self.clock, self.system, self.store = node_system()
        TimerService(self.system)
        self.peers = DocumentPeers(self.system, {"old:1": 1, "new:1": 2})
        self.front_end = Recording(self.system, FRONT_END, {ConfigurationInForce: None})
        self.feed = ConfigurationFeed(self.system, VersionCodec(), (FRONT_END,))

    def hear_of(self, version, address):
        self.system.tell(CONFIGURATION, NewerConfigurationSeen(version, address))
        run_for(self.clock, PART_S / 2)

    def versions_in_force(self):
        return [message.configuration.version for message in self.front_end.received]

    def test_outdated_document_is_not_put_in_force(self):
        """Guards against keys that were withdrawn before a restart.

        The node hears of the newer version while it reads the older one.
        """
        self.hear_of(1, "old:1")
        self.hear_of(2, "new:1")
        run_for(self.clock, 1.0)
        self.assertEqual(self.versions_in_force(), [2])

    def test_outdated_document_is_better_than_none(self):
        """Guards against a node that refuses everything for a lost peer."""
        del self.peers.versions_by_address["new:1"]
        self.hear_of(1, "old:1")
        self.hear_of(2, "new:1")
        run_for(self.clock, 1.0)
        self.assertEqual(self.versions_in_force(), [1])

    def test_newer_document_is_fetched_before_the_first_read_ends(self):
        """Guards against an old version as long as the store is silent."""
        self.hear_of(1, "old:1")
        run_for(self.clock, 2 * PART_S)
        self.hear_of(2, "new:1")
        run_for(self.clock, 2 * PART_S)
        self.assertEqual(self.versions_in_force(), [1, 2])

    def test_store_that_is_read_first_is_not_overtaken(self):
        """Guards against a document of a peer that replaces a newer one."""
        self.hear_of(1, "old:1")
        self.store.contents.put("op/config", "2")
        self.system.tell(TIMERS, Subscribe(CONFIGURATION, "follow", 0.0))
        run_for(self.clock, 1.0)
        self.assertEqual(self.versions_in_force(), [2])


class PeerTransferTests(unittest.TestCase):
    """A document of a peer arrives on the connection of other calls."""

    def setUp(self):
        self.reactor = MemoryReactorClock()
        self.link = PeerLink(self.reactor, "10.0.0.2:7000")
        self.document = self.call("configuration", (1,), 4.0)
        factory = self.reactor.tcpClients[0][2]
        self.connection = factory.buildProtocol(None)
        self.transport = StringTransport()
        self.connection.makeConnection(self.transport)
        buffer = TMemoryBuffer()
        protocol = protocol_factory().getProtocol(buffer)
        protocol.writeMessageBegin("configuration", TMessageType.REPLY, 1)
        CoordinationService.configuration_result(success=DOCUMENT).write(protocol)
        protocol.writeMessageEnd()
        frame = buffer.getvalue()
        self.frame = len(frame).to_bytes(4, "big") + frame

    def call(self, method, arguments, transfer_s=0.0):
        return ensureDeferred(self.link.call(method, arguments, 0.6, transfer_s))

    def transfer(self, content):
        for start in range(0, len(content), 20_000):
            run_for(self.reactor, PART_S)
            self.connection.dataReceived(content[start : start + 20_000])

    def test_document_survives_the_time_limit_of_another_call(self):
        """Guards against a call that ends a transfer which it waits behind."""
        later_call = self.call("queue_length", ("queue",))
        self.transfer(self.frame)
        self.assertIsInstance(outcome(later_call), UnavailableError)
        self.assertFalse(self.transport.disconnected)
        self.assertEqual(outcome(self.document), DOCUMENT)

    def test_silent_connection_is_closed_at_the_time_limit(self):
        """Guards against calls that are sent on a connection that is dead."""
        self.transfer(self.frame[:40_000])
        run_for(self.reactor, 0.7)
        self.assertIsInstance(outcome(self.document), UnavailableError)
        self.assertTrue(self.transport.disconnected)


if __name__ == "__main__":
    unittest.main()
