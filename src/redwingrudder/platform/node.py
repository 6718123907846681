"""A node on the users' platform: creation of its actors, and shutdown."""

import logging
import os
import signal
import sys
import uuid
from typing import Any

from .._background import pause, run
from .._steady_clock import use_steady_clock
from ..actors import ActorSystem
from ..coordination.advisor import Advisor
from ..coordination.configuration_feed import ConfigurationFeed
from ..coordination.coordinator import Coordinator
from ..coordination.gateways import (
    COORDINATOR,
    INTAKE,
    LEADERSHIP,
    PEERS,
    FleetGateways,
    MachineGateway,
    WorkerTimes,
)
from ..coordination.intake import Intake
from ..coordination.leadership import Identity, Leadership, NodeResources
from ..coordination.messages import Drain
from ..coordination.metrics import ErrorCounter, Metrics
from ..coordination.peers import Peers
from ..exceptions import SettingsError
from ..logs import configure_logging
from ..timers import TimerService
from .advice import MAX_IDLE_CONNECTIONS as ADVICE_CONNECTIONS
from .advice import PlatformAdvice
from .front_end import FRONT_END, EndOpenRequests, FrontEnd
from .http_client import JsonClient
from .machines import MAX_IDLE_CONNECTIONS as MACHINES_CONNECTIONS
from .machines import PlatformMachines, PlatformWaves
from .readiness import readiness_site
from .registry import PlatformConfiguration, PlatformRegistry
from .settings import PlatformSettings, load_settings
from .store import MAX_IDLE_CONNECTIONS, PlatformStore
from .workers import PlatformChannels

SETTINGS_VARIABLE = "REDWINGRUDDER_CONFIG"
# End of the grace period that is reserved for the last answers to clients.
FINAL_ANSWERS_S = 1.0
# Share of FINAL_ANSWERS_S for which open requests are awaited; the remaining
# time is for closing the sockets.
FINAL_ANSWERS_WAIT_SHARE = 0.7
DRAIN_CHECK_INTERVAL_S = 0.05

_logger = logging.getLogger(__name__)


class PlatformNode:
    """Creates all actors of one node.

    Args:
        settings: Decoded settings of the node.
        reactor: The Twisted reactor.
    """

    def __init__(self, settings: PlatformSettings, reactor: Any) -> None:
        self.system = ActorSystem(reactor)
        self._settings = settings
        self._reactor = reactor
        self._stopping = False
        host, port = settings.peers
        identity = Identity(settings.node_id, f"{host}:{port}", uuid.uuid4().hex)
        TimerService(self.system)
        Metrics(self.system, reactor, settings.metrics)
        client = JsonClient(reactor, settings.store_address, MAX_IDLE_CONNECTIONS)
        self._store = PlatformStore(
            self.system, client, (PEERS, INTAKE), (PEERS,), settings.link_bps
        )
        self._feed = ConfigurationFeed(
            self.system,
            PlatformConfiguration(),
            (FRONT_END, PEERS, COORDINATOR),
            (FRONT_END,),
        )
        resources = NodeResources(settings.cores, settings.link_bps)
        Leadership(self.system, identity, (PEERS, INTAKE), resources)
        self._peers = Peers(self.system, reactor, identity, settings.peers)
        fleet = FleetGateways(
            PlatformRegistry(),
            PlatformChannels(reactor),
            WorkerTimes(
                settings.longest_lease_s,
                settings.heartbeat_s,
                settings.gang_timeout_s,
                settings.stop_timeout_s,
                settings.remote_factor,
            ),
            settings.ended_retention_s,
            _build_machine_gateway(reactor, settings, identity),
        )
        Coordinator(self.system, fleet)
        Advisor(self.system, _build_advice_service(reactor, settings.advice_address))
        Intake(self.system, identity, settings.ended_retention_s)
        self._front = FrontEnd(self.system, reactor, settings.front)

    def start(self) -> None:
        """Open the readiness address and start all actors."""
        host, port = self._settings.readiness
        logging.getLogger().addHandler(ErrorCounter(self.system))
        site = readiness_site(self._is_ready)
        self._reactor.listenTCP(port, site, interface=host)
        self.system.start()
        _logger.info("node started", extra={"domain": self._settings.failure_domain})

    def _is_ready(self) -> bool:
        """Return whether the load balancer should send clients to this node.

        A node that reaches neither the store nor another node with access to
        the store can only refuse requests. Short outages need no delay here,
        as the load balancer waits for two failed checks.
        """
        if self._feed.current is None or self._stopping:
            return False
        return self._peers.reaches_store

    def reload(self) -> None:
        """Log a reload signal; the settings stay those of the start."""
        _logger.info(
            "reload signal received; the settings stay unchanged until a restart"
        )

    def stop(self) -> None:
        """Hand the coordination over and exit before the grace period ends."""
        if not self._stopping:
            self._stopping = True
            _logger.info("node is draining")
            run(self._drain(), "node")

    async def _drain(self) -> None:
        self.system.tell(LEADERSHIP, Drain())
        self.system.tell(PEERS, Drain())
        deadline = self._reactor.seconds() + self._settings.grace_s - FINAL_ANSWERS_S
        while self._reactor.seconds() < deadline:
            await pause(self._reactor, DRAIN_CHECK_INTERVAL_S)
        self.system.tell(FRONT_END, Drain())
        final_deadline = (
            self._reactor.seconds() + FINAL_ANSWERS_WAIT_SHARE * FINAL_ANSWERS_S
        )
        while self._front.open_requests and self._reactor.seconds() < final_deadline:
            await pause(self._reactor, DRAIN_CHECK_INTERVAL_S)
        self.system.tell(FRONT_END, EndOpenRequests())
        await pause(self._reactor, DRAIN_CHECK_INTERVAL_S)
        await self.system.stop()
        _logger.info("node stopped")
        self._reactor.stop()


def _build_advice_service(reactor: Any, address: str) -> PlatformAdvice | None:
    if not address:
        return None
    return PlatformAdvice(JsonClient(reactor, address, ADVICE_CONNECTIONS))


def _build_machine_gateway(
    reactor: Any, settings: PlatformSettings, identity: Identity
) -> MachineGateway | None:
    if not settings.machines_address:
        return None
    client = JsonClient(reactor, settings.machines_address, MACHINES_CONNECTIONS)
    return MachineGateway(
        PlatformWaves(),
        PlatformMachines(client),
        f"{identity.node_id}/{identity.incarnation}",
        settings.order_quiet_period_s,
    )


def main() -> int:
    """Run a node until SIGTERM or SIGINT.

    Returns:
        The exit status of the process.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = load_settings(path)
    except SettingsError as error:
        sys.stderr.write(f"{error}\n")
        return error.exit_code
    configure_logging(settings.node_id, stream=sys.stdout)
    from twisted.internet import reactor

    use_steady_clock(reactor)
    node = PlatformNode(settings, reactor)
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(node.stop))
    signal.signal(signal.SIGINT, lambda *_: reactor.callFromThread(node.stop))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(node.reload))
    reactor.callWhenRunning(node.start)
    reactor.run(installSignalHandlers=False)
    return 0
