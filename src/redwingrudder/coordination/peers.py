"""Discovery of the other nodes, exchange of summaries and Thrift calls."""

import logging
import math
import random
import statistics
import time
from typing import Any, NamedTuple

from .._background import run
from .._checked_json import is_address
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
from .authority import STORE_DOWN_EVIDENCE_S
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
    NewerConfigurationSeen,
    NodeSummary,
    StoreAnswered,
    StoreAvailability,
)
from .peer_calls import PeerHandler, PeerLink

EXCHANGE_INTERVAL_S = 0.5
# Number of random peers in each round, in addition to the coordinator.
EXCHANGE_FANOUT = 2
CALL_TIMEOUT_S = 0.6
# Rate of exchanges of all nodes together with the coordinator; the limit keeps
# its load independent of the number of nodes.
COORDINATOR_EXCHANGES_PER_S = 40.0
DISCOVERY_INTERVAL_S = 5.0
# Rate at which all nodes together read the list of nodes: a hundredth of the
# read rate that the platform's stores serve.
DISCOVERIES_PER_S = 20.0
DISCOVERY_RETRY_DELAY_S = 1.0  # after a failed registration
# The entry of a node that is gone for good expires after this time. It is
# several times the interval between two discoveries in the largest system.
NODE_LEASE_S = 300.0
MAX_FRESH_AGE_S = 2.0  # age above which a summary is ignored
# Age above which an answer of the store, to this node or to a peer, no longer
# shows that the store can be reached. The calls of a node are answered about
# once a second or more often, and each node hears of those of its peers.
MAX_STORE_ANSWER_AGE_S = 0.8
MAX_STORE_SILENCE_S = 3600.0  # longest time without an answer that is reported
REMOVE_AFTER_S = 30.0  # time without an exchange after which a node is removed

_logger = logging.getLogger(__name__)


class CallPeer(NamedTuple):
    """Ask PEERS -> the result of a Thrift call to another node.

    Args:
        address: "host:port" of the node.
        method: Name of a method of ``CoordinationService``.
        arguments: Positional arguments of the method.
        timeout_s: Time limit of the call in seconds.
        transfer_s: Additional seconds for a reply that keeps arriving.
    """

    address: str
    method: str
    arguments: tuple
    timeout_s: float = CALL_TIMEOUT_S
    transfer_s: float = 0.0


class ListPeers(NamedTuple):
    """Ask PEERS -> ``PeerView``."""


class AskAllPeers(NamedTuple):
    """Tells PEERS to exchange summaries with all known nodes at once."""


class PeerView(NamedTuple):
    """Snapshot of the other nodes, as this node sees them.

    Attributes:
        fresh: Summaries that are younger than ``MAX_FRESH_AGE_S``.
        peer_count: Number of other nodes, including those without a fresh
            summary.
        asked_at: For each node whose latest reply to this node says that it
            does not reach the store, the time of the request in node-clock
            seconds.
        seen_at: Time of the snapshot in node-clock seconds.
    """

    fresh: tuple[NodeSummary, ...]
    peer_count: int
    asked_at: tuple[float, ...] = ()
    seen_at: float = 0.0

    @property
    def relay_addresses(self) -> tuple[str, ...]:
        """Addresses of the peers that reach the store, the latest first."""
        since = self.seen_at - MAX_STORE_ANSWER_AGE_S
        able = [p for p in self.fresh if p.store_available]
        able.sort(key=lambda peer: -peer.store_answered_at)
        return tuple(p.address for p in able if p.store_answered_at > since)

    @property
    def store_down_until(self) -> float:
        """Time until which no node can have been elected, 0.0 if one can.

        No node can be elected while a majority of all nodes does not reach
        the store. The majority consists of this node, which counts as one
        without the store, and of the nodes that were asked last. A minority is
        not enough, since a network partition may have cut all of it off from
        the store. Only replies count, from the time of the request on: a
        summary that another node sent may have waited in a socket while this
        process was paused.
        """
        if any(summary.store_available for summary in self.fresh):
            return 0.0
        needed = (self.peer_count + 1) // 2
        if len(self.asked_at) < needed:
            return 0.0
        newest_first = sorted((*self.asked_at, self.seen_at), reverse=True)
        return newest_first[needed] + STORE_DOWN_EVIDENCE_S


class GetTimeOfDay(NamedTuple):
    """Ask PEERS -> Unix time in seconds, the median of the nodes' clocks."""


class Peers(Actor):
    """Tracks the other nodes and makes calls to them.

    Args:
        system: The actor system of this node.
        reactor: Opens and accepts connections and provides the time.
        identity: Identity of this process.
        listen_address: Host and port on which the Thrift server listens.
    """

    def __init__(
        self,
        system: ActorSystem,
        reactor: Any,
        identity: Identity,
        listen_address: tuple[str, int],
    ) -> None:
        self._reactor = reactor
        self._identity = identity
        self._listen_address = listen_address
        self._random = random.Random(identity.incarnation)
        self._links_by_address: dict[str, PeerLink] = {}
        self._summaries_by_id: dict[str, tuple[float, NodeSummary]] = {}
        # Times of the requests to which nodes replied that they do not reach
        # the store.
        self._store_missing_since_by_id: dict[str, float] = {}
        self._configuration_version = 0
        # Highest configuration version that a peer has reported.
        self._reported_version = 0
        self._coordinator = CoordinatorKnown("", "", 0)
        self._store_available = False
        self._store_answered_at = -math.inf
        self._lease = 0
        self._draining = False
        self._port: Any = None
        super().__init__(system, PEERS)

    @property
    def reaches_store(self) -> bool:
        """Whether the store has just answered this node or a peer.

        Nodes of a failure domain that is cut off keep hearing of each other,
        so what counts is when the store answered, not when a summary arrived.
        """
        answered_at = max(
            (
                summary.store_answered_at
                for _, summary in self._summaries_by_id.values()
                if summary.store_available
            ),
            default=-math.inf,
        )
        newest = max(answered_at, self._store_answered_at)
        return newest > self._reactor.seconds() - MAX_STORE_ANSWER_AGE_S

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            TimerFired: self._timer_fired,
            ConfigurationInForce: self._set_configuration_version,
            CoordinatorKnown: self._set_coordinator,
            StoreAvailability: self._set_store,
            StoreAnswered: lambda _: self._store_answered(),
            CallPeer: self._call,
            ListPeers: lambda _: self._build_view(),
            AskAllPeers: lambda _: self._ask_all(),
            GetTimeOfDay: lambda _: self._median_unix_time(),
            Drain: lambda _: run(self._unregister(), self.name) and None,
        }

    def start(self) -> None:
        """Start the Thrift server, the discovery and the exchanges."""
        handler = PeerHandler(self.ask, self.tell, self._answer_exchange)
        factory = PeerServerFactory(handler, self._reactor.seconds, CoordinationService)
        host, port = self._listen_address
        self._port = self._reactor.listenTCP(port, factory, interface=host)
        self.tell(TIMERS, Subscribe(self.name, "discover", 0.0))
        self.tell(
            TIMERS,
            Subscribe(self.name, "exchange", EXCHANGE_INTERVAL_S, EXCHANGE_INTERVAL_S),
        )

    def stop(self) -> Any:
        """Close all connections and the server.

        Returns:
            A Deferred that fires when the server is closed, if it was open.
        """
        for link in self._links_by_address.values():
            link.close()
        return self._port.stopListening() if self._port is not None else None

    def _timer_fired(self, fired: TimerFired) -> None:
        task = self._discover() if fired.timer == "discover" else self._exchange_all()
        run(task, self.name)

    def _set_configuration_version(self, message: ConfigurationInForce) -> None:
        self._configuration_version = message.configuration.version

    def _set_coordinator(self, message: CoordinatorKnown) -> None:
        self._coordinator = message

    def _set_store(self, message: StoreAvailability) -> None:
        self._store_available = message.available

    def _store_answered(self) -> None:
        self._store_answered_at = self._reactor.seconds()

    async def _call(self, message: CallPeer) -> Any:
        link = self._get_link(message.address)
        return await link.call(
            message.method, message.arguments, message.timeout_s, message.transfer_s
        )

    def _get_link(self, address: str) -> PeerLink:
        if not is_address(address):
            raise UnavailableError(f"{address!r} is not the address of a node")
        if address not in self._links_by_address:
            self._links_by_address[address] = PeerLink(self._reactor, address)
        return self._links_by_address[address]

    async def _discover(self) -> None:
        """Register this node, read the node list, schedule the next read."""
        delay_s = DISCOVERY_RETRY_DELAY_S
        try:
            await self._register()
            node_count = len(self._summaries_by_id) + 1
            delay_s = max(DISCOVERY_INTERVAL_S, node_count / DISCOVERIES_PER_S)
            reply = await self.ask(STORE, GetPrefix(NODES_PREFIX))
            for pair in reply.pairs:
                self._add_listed_node(pair.key.removeprefix(NODES_PREFIX), pair.value)
        except RedwingrudderError as error:
            _logger.info("node discovery failed", extra={"error": str(error)})
        except Exception:
            _logger.exception("node discovery failed unexpectedly")
        if not self._draining:
            self.tell(TIMERS, Subscribe(self.name, "discover", delay_s))

    def _add_listed_node(self, node_id: str, address: str) -> None:
        """Add a node without a summary; its age keeps it from being fresh."""
        if not is_address(address):
            _logger.warning(
                "entry of a node is invalid and ignored", extra={"node": node_id}
            )
        elif node_id != self._identity.node_id:
            received_at = self._reactor.seconds() - MAX_FRESH_AGE_S
            placeholder = NodeSummary(node_id, address, "", 0, "", "", 0, False, 0)
            self._summaries_by_id.setdefault(node_id, (received_at, placeholder))

    async def _register(self) -> None:
        """Write this node's entry under a lease, or renew that lease."""
        if self._lease:
            if await self.ask(STORE, KeepLeaseAlive(self._lease)):
                return
            _logger.warning(
                "lease of this node's entry has expired; it is registered again",
                extra={"lease": self._lease},
            )
            self._lease = 0
        lease = await self.ask(STORE, GrantLease(NODE_LEASE_S))
        key = NODES_PREFIX + self._identity.node_id
        await self.ask(
            STORE, Transact((), (PutKey(key, self._identity.address, lease),))
        )
        self._lease = lease

    async def _unregister(self) -> None:
        """Revoke the lease of this node's entry, which removes the entry.

        If the call fails, the entry expires with the lease.
        """
        self._draining = True
        lease, self._lease = self._lease, 0
        self.tell(TIMERS, Unsubscribe(self.name, "discover"))
        if lease:
            try:
                await self.ask(STORE, RevokeLease(lease))
            except RedwingrudderError as error:
                _logger.info(
                    "lease of this node's entry was not revoked",
                    extra={"error": str(error)},
                )

    async def _exchange_all(self) -> None:
        """Remove nodes that do not answer and start one round of exchanges."""
        now = self._reactor.seconds()
        for node_id, (received_at, _) in list(self._summaries_by_id.items()):
            if now - received_at > REMOVE_AFTER_S:
                del self._summaries_by_id[node_id]
                self._store_missing_since_by_id.pop(node_id, None)
        addresses = [summary.address for _, summary in self._summaries_by_id.values()]
        chosen = set(
            self._random.sample(addresses, min(EXCHANGE_FANOUT, len(addresses)))
        )
        coordinator = self._coordinator.address
        probability = (
            COORDINATOR_EXCHANGES_PER_S * EXCHANGE_INTERVAL_S / (len(addresses) + 1)
        )
        if (
            coordinator
            and coordinator != self._identity.address
            and self._random.random() < probability
        ):
            chosen.add(coordinator)
        for address in chosen:
            run(self._exchange(address), self.name)

    def _ask_all(self) -> None:
        for _, summary in list(self._summaries_by_id.values()):
            run(self._exchange(summary.address), self.name)

    async def _exchange(self, address: str) -> None:
        """Exchange summaries with one node.

        A connection refused by the coordinator is reported to LEADERSHIP:
        its process is gone.
        """
        asked_at = self._reactor.seconds()
        try:
            reply = await self._get_link(address).call(
                "exchange", (self._build_summary(),), CALL_TIMEOUT_S
            )
        except UnavailableError as error:
            if error.code == "connection_refused" and (
                address == self._coordinator.address
            ):
                self.tell(LEADERSHIP, CoordinatorUnreachable(address))
            return
        if self._apply_summary(reply, address):
            if reply.store_available:
                self._store_missing_since_by_id.pop(reply.node_id, None)
            else:
                self._store_missing_since_by_id[reply.node_id] = asked_at

    def _answer_exchange(self, wire: WireNodeSummary) -> WireNodeSummary:
        """Apply the summary of a calling node and return that of this node."""
        self._apply_summary(wire, wire.address)
        return self._build_summary()

    def _apply_summary(self, wire: WireNodeSummary, address: str) -> bool:
        """Store a summary; follow up a newer configuration or coordinator.

        Returns:
            False if the summary is ignored, because fields are missing or
            invalid.
        """
        if not _is_valid_summary(wire):
            _logger.warning(
                "summary of a peer is invalid and ignored", extra={"peer": address}
            )
            return False
        now = self._reactor.seconds()
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
            now - (wire.store_silent_s or 0.0),
        )
        self._summaries_by_id[summary.node_id] = (now, summary)
        if summary.configuration_version > self._configuration_version:
            self._log_newer_version(summary)
            self.tell(
                CONFIGURATION,
                NewerConfigurationSeen(summary.configuration_version, address),
            )
        if summary.term > self._coordinator.term and summary.coordinator_id:
            coordinator = CoordinatorKnown(
                summary.coordinator_id, summary.coordinator_address, summary.term
            )
            self._coordinator = coordinator
            self.tell(INTAKE, coordinator)
        return True

    def _log_newer_version(self, summary: NodeSummary) -> None:
        """Log once for each version that a peer has before this node."""
        if summary.configuration_version > self._reported_version:
            self._reported_version = summary.configuration_version
            _logger.info(
                "a peer has a newer configuration version",
                extra={
                    "peer": summary.node_id,
                    "version": summary.configuration_version,
                    "in_force": self._configuration_version,
                },
            )

    def _build_summary(self) -> WireNodeSummary:
        return WireNodeSummary(
            self._identity.node_id,
            self._identity.address,
            self._identity.incarnation,
            self._configuration_version,
            self._coordinator.node_id,
            self._coordinator.address,
            self._coordinator.term,
            self._store_available,
            time.time(),
            min(self._reactor.seconds() - self._store_answered_at, MAX_STORE_SILENCE_S),
        )

    def _median_unix_time(self) -> float:
        """Return the median of the nodes' clocks in Unix seconds.

        The median is unaffected by a jump of a single clock.
        """
        now = self._reactor.seconds()
        readings = [
            summary.unix_time + now - received_at
            for received_at, summary in self._summaries_by_id.values()
            if now - received_at < MAX_FRESH_AGE_S
        ]
        return statistics.median([time.time(), *readings])

    def _build_view(self) -> PeerView:
        now = self._reactor.seconds()
        fresh = tuple(
            summary
            for received_at, summary in self._summaries_by_id.values()
            if now - received_at < MAX_FRESH_AGE_S
        )
        asked_at = tuple(
            asked_at
            for node_id, asked_at in self._store_missing_since_by_id.items()
            if node_id in self._summaries_by_id
        )
        return PeerView(fresh, len(self._summaries_by_id), asked_at, now)


def _is_valid_summary(wire: WireNodeSummary) -> bool:
    """Return whether all required fields are present and can be used."""
    optional = ("store_silent_s",)
    if any(v is None and name not in optional for name, v in vars(wire).items()):
        return False
    if not math.isfinite(wire.unix_time) or not (wire.store_silent_s or 0.0) >= 0.0:
        return False
    if wire.coordinator_address and not is_address(wire.coordinator_address):
        return False
    return bool(wire.node_id) and is_address(wire.address)
