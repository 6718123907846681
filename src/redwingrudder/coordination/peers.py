"""The other nodes: discovery, exchange of summaries and calls by thrift."""

import logging
import random
import statistics
import time
from typing import Any, NamedTuple

from .._background import run
from .._peer_wire import PeerServerFactory
from .._store_requests import (
    GetPrefix,
    GrantLease,
    KeepLeaseAlive,
    PutKey,
    RevokeLease,
    Transact,
)
from .._wire.generated.coordination import CoordinationService
from .._wire.generated.coordination.ttypes import WireNodeSummary
from ..actors import Actor, ActorSystem, Handler
from ..exceptions import RedwingrudderError, UnavailableError
from ..timers import TIMERS, Subscribe, TimerFired, Unsubscribe
from .gateways import (
    CONFIGURATION,
    INTAKE,
    LEADERSHIP,
    NODES_PREFIX,
    PEERS,
    STORE,
)
from .leadership import Identity
from .messages import (
    ConfigurationInForce,
    CoordinatorKnown,
    CoordinatorUnreachable,
    Drain,
    NodeSummary,
    OfferConfigurationDocument,
    StoreAvailability,
)
from .peer_calls import PeerHandler, PeerLink

EXCHANGE_S = 0.5
EXCHANGE_FANOUT = 2  # random peers beside the coordinator
CALL_TIMEOUT_S = 0.6
# All nodes together exchange this often with the coordinator, so that its
# load does not grow with their number.
COORDINATOR_EXCHANGES_PER_S = 40.0
DISCOVERY_S = 5.0
# All nodes together read the list of nodes this often, a hundredth of the
# reads that the platform's stores serve.
DISCOVERIES_PER_S = 20.0
FIRST_DISCOVERY_S = 1.0
# A node that is gone for good leaves the list after this time; several times
# the interval between two discoveries at the largest size.
NODE_LEASE_S = 300.0
FRESH_S = 2.0  # age up to which a summary counts
FORGET_S = 30.0  # without an exchange

_logger = logging.getLogger(__name__)


class CallPeer(NamedTuple):
    """Ask PEERS -> the reply of a thrift call.

    Args:
        address: "host:port" of the node.
        method: Method of ``CoordinationService``.
        arguments: Its arguments.
        timeout_s: Longest wait.
    """

    address: str
    method: str
    arguments: tuple
    timeout_s: float = CALL_TIMEOUT_S


class ListPeers(NamedTuple):
    """Ask PEERS -> ``PeerView``."""


class PeerView(NamedTuple):
    """The other nodes.

    Attributes:
        fresh: Summaries that are not older than ``FRESH_S``.
        known: Number of other nodes, those not heard of lately included.
    """

    fresh: tuple[NodeSummary, ...]
    known: int

    @property
    def store_is_down(self) -> bool:
        """Whether most nodes of the system see no store, and none sees it.

        A minority says nothing: a partition may have cut it off together.
        """
        if any(summary.store_available for summary in self.fresh):
            return False
        return 2 * (len(self.fresh) + 1) > self.known + 1


class GetTimeOfDay(NamedTuple):
    """Ask PEERS -> Unix seconds that most nodes agree on."""


class Peers(Actor):
    """Knows the other nodes and carries calls to them.

    Args:
        system: The node's actors.
        reactor: Provides connections.
        identity: This process.
        port_address: Host and port of the thrift server.
    """

    def __init__(
        self,
        system: ActorSystem,
        reactor: Any,
        identity: Identity,
        port_address: tuple[str, int],
    ) -> None:
        self._reactor = reactor
        self._identity = identity
        self._bind = port_address
        self._random = random.Random(identity.incarnation)
        self._links_by_address: dict[str, PeerLink] = {}
        self._summaries_by_id: dict[str, tuple[float, NodeSummary]] = {}
        self._version = 0
        self._coordinator = CoordinatorKnown("", "", 0)
        self._store_available = False
        self._lease = 0
        self._draining = False
        self._port: Any = None
        super().__init__(system, PEERS)

    @property
    def reaches_store(self) -> bool:
        """Whether this node has the store, or hears of a node that has it."""
        if self._store_available:
            return True
        return any(other.store_available for other in self._view().fresh)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            TimerFired: self._timer_fired,
            ConfigurationInForce: self._set_version,
            CoordinatorKnown: self._set_coordinator,
            StoreAvailability: self._set_store,
            CallPeer: self._call,
            ListPeers: lambda _: self._view(),
            GetTimeOfDay: lambda _: self._time_of_day(),
            Drain: lambda _: run(self._unregister(), self.name) and None,
        }

    def start(self) -> None:
        """Listen for calls and look for other nodes."""
        handler = PeerHandler(self.ask, self.tell, self._exchanged)
        factory = PeerServerFactory(handler, self._reactor.seconds, CoordinationService)
        host, port = self._bind
        self._port = self._reactor.listenTCP(port, factory, interface=host)
        self.tell(TIMERS, Subscribe(self.name, "discover", 0.0))
        self.tell(TIMERS, Subscribe(self.name, "exchange", EXCHANGE_S, EXCHANGE_S))

    def stop(self) -> Any:
        """Close the server and all links."""
        for link in self._links_by_address.values():
            link.close()
        return self._port.stopListening() if self._port is not None else None

    def _timer_fired(self, fired: TimerFired) -> None:
        work = self._discover() if fired.timer == "discover" else self._exchange_all()
        run(work, self.name)

    def _set_version(self, message: ConfigurationInForce) -> None:
        self._version = message.configuration.version

    def _set_coordinator(self, message: CoordinatorKnown) -> None:
        self._coordinator = message

    def _set_store(self, message: StoreAvailability) -> None:
        self._store_available = message.available

    async def _call(self, message: CallPeer) -> Any:
        link = self._link(message.address)
        return await link.call(message.method, message.arguments, message.timeout_s)

    def _link(self, address: str) -> PeerLink:
        if address not in self._links_by_address:
            self._links_by_address[address] = PeerLink(self._reactor, address)
        return self._links_by_address[address]

    async def _discover(self) -> None:
        """Register this node and read the others."""
        delay_s = FIRST_DISCOVERY_S
        try:
            await self._register()
            known = len(self._summaries_by_id) + 1
            delay_s = max(DISCOVERY_S, known / DISCOVERIES_PER_S)
            reply = await self.ask(STORE, GetPrefix(NODES_PREFIX))
            for pair in reply.pairs:
                self._note_listed(pair.key.removeprefix(NODES_PREFIX), pair.value)
        except RedwingrudderError as error:
            _logger.info("discovery failed", extra={"error": str(error)})
        if not self._draining:
            self.tell(TIMERS, Subscribe(self.name, "discover", delay_s))

    def _note_listed(self, node_id: str, address: str) -> None:
        """Take a listed node as known but not heard of."""
        if node_id != self._identity.node_id:
            heard_at = self._reactor.seconds() - FRESH_S
            unheard = NodeSummary(node_id, address, "", 0, "", "", 0, False, 0)
            self._summaries_by_id.setdefault(node_id, (heard_at, unheard))

    async def _register(self) -> None:
        """Write this node's entry, or renew the lease that it is under."""
        if self._lease:
            if await self.ask(STORE, KeepLeaseAlive(self._lease)):
                return
            _logger.warning("registration has lapsed", extra={"lease": self._lease})
            self._lease = 0
        lease = await self.ask(STORE, GrantLease(NODE_LEASE_S))
        key = NODES_PREFIX + self._identity.node_id
        await self.ask(
            STORE, Transact((), (PutKey(key, self._identity.address, lease),))
        )
        self._lease = lease

    async def _unregister(self) -> None:
        """Remove this node's entry; without an answer, its lease ends it."""
        self._draining = True
        lease, self._lease = self._lease, 0
        self.tell(TIMERS, Unsubscribe(self.name, "discover"))
        if lease:
            try:
                await self.ask(STORE, RevokeLease(lease))
            except RedwingrudderError as error:
                _logger.info("registration not ended", extra={"error": str(error)})

    async def _exchange_all(self) -> None:
        now = self._reactor.seconds()
        for node_id, (heard_at, _) in list(self._summaries_by_id.items()):
            if now - heard_at > FORGET_S:
                del self._summaries_by_id[node_id]
        others = [entry.address for _, entry in self._summaries_by_id.values()]
        chosen = set(self._random.sample(others, min(EXCHANGE_FANOUT, len(others))))
        coordinator = self._coordinator.address
        share = COORDINATOR_EXCHANGES_PER_S * EXCHANGE_S / (len(others) + 1)
        if (
            coordinator
            and coordinator != self._identity.address
            and self._random.random() < share
        ):
            chosen.add(coordinator)
        for address in chosen:
            run(self._exchange(address), self.name)

    async def _exchange(self, address: str) -> None:
        try:
            reply = await self._link(address).call(
                "exchange", (self._summary(),), CALL_TIMEOUT_S
            )
        except UnavailableError as error:
            if error.code == "connection_refused" and (
                address == self._coordinator.address
            ):
                self.tell(LEADERSHIP, CoordinatorUnreachable(address))
            return
        self._take(reply, address)

    def _exchanged(self, wire: WireNodeSummary) -> WireNodeSummary:
        """Serve an exchange that another node began."""
        self._take(wire, wire.address)
        return self._summary()

    def _take(self, wire: WireNodeSummary, address: str) -> None:
        summary = NodeSummary(
            wire.node_id,
            wire.address,
            wire.life,
            wire.configuration_version,
            wire.coordinator_id,
            wire.coordinator_address,
            wire.term,
            wire.store_available,
            wire.unix_time,
        )
        self._summaries_by_id[summary.node_id] = (self._reactor.seconds(), summary)
        if summary.configuration_version > self._version:
            run(self._fetch_configuration(address), self.name)
        if summary.term > self._coordinator.term and summary.coordinator_id:
            known = CoordinatorKnown(
                summary.coordinator_id, summary.coordinator_address, summary.term
            )
            self._coordinator = known
            self.tell(INTAKE, known)

    async def _fetch_configuration(self, address: str) -> None:
        try:
            document = await self._link(address).call(
                "configuration", (self._version,), CALL_TIMEOUT_S
            )
        except RedwingrudderError as error:
            _logger.info("configuration not fetched", extra={"error": str(error)})
            return
        if document:
            self.tell(CONFIGURATION, OfferConfigurationDocument(document))

    def _summary(self) -> WireNodeSummary:
        return WireNodeSummary(
            self._identity.node_id,
            self._identity.address,
            self._identity.incarnation,
            self._version,
            self._coordinator.node_id,
            self._coordinator.address,
            self._coordinator.term,
            self._store_available,
            time.time(),
        )

    def _time_of_day(self) -> float:
        """Return the median of the nodes' clocks, as single ones may jump."""
        now = self._reactor.seconds()
        readings = [
            summary.unix_time + now - heard_at
            for heard_at, summary in self._summaries_by_id.values()
            if now - heard_at < FRESH_S
        ]
        return statistics.median([time.time(), *readings])

    def _view(self) -> PeerView:
        now = self._reactor.seconds()
        fresh = tuple(
            summary
            for heard_at, summary in self._summaries_by_id.values()
            if now - heard_at < FRESH_S
        )
        return PeerView(fresh, len(self._summaries_by_id))
