"""A node on the users' platform: its actors and its shutdown."""

import logging
import os
import signal
import sys
import uuid
from typing import Any

from .._background import pause, run
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
    UpkeepGateway,
    WorkerTimes,
)
from ..coordination.intake import Intake
from ..coordination.leadership import Identity, Leadership, NodeResources
from ..coordination.messages import Drain
from ..coordination.metrics import Metrics
from ..coordination.peers import Peers
from ..exceptions import SettingsError
from ..logs import configure_logging
from ..timers import TimerService
from .advice import CONNECTIONS as ADVICE_CONNECTIONS
from .advice import PlatformAdvice
from .front_end import FRONT_END, FrontEnd
from .http_client import JsonClient
from .machines import CONNECTIONS as MACHINES_CONNECTIONS
from .machines import PlatformMachines, PlatformWaves
from .readiness import readiness_site
from .registry import PlatformConfiguration, PlatformRegistry
from .settings import PlatformSettings, load_settings
from .store import CONNECTIONS, PlatformStore
from .workers import PlatformChannels

SETTINGS_VARIABLE = "REDWINGRUDDER_CONFIG"
# Time kept at the end of the grace for the last answers.
LAST_ANSWERS_S = 1.0
LOOP_S = 0.05
# A node without the store stays ready this long; shorter gaps are usual.
UNSERVED_READY_S = 1.5

_logger = logging.getLogger(__name__)


class PlatformNode:
    """All actors of one node.

    Args:
        settings: Decoded settings.
        reactor: The twisted reactor.
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
        client = JsonClient(reactor, settings.store_address, CONNECTIONS)
        self._store = PlatformStore(
            self.system, client, (PEERS, INTAKE), settings.link_bps
        )
        self._feed = ConfigurationFeed(
            self.system,
            PlatformConfiguration(),
            (FRONT_END, PEERS, COORDINATOR),
        )
        resources = NodeResources(settings.cores, settings.link_bps)
        Leadership(self.system, identity, (PEERS, INTAKE), resources)
        self._peers = Peers(self.system, reactor, identity, settings.peers)
        self._served_at = 0.0
        fleet = FleetGateways(
            PlatformRegistry(),
            PlatformChannels(reactor),
            WorkerTimes(settings.longest_lease_s, settings.heartbeat_s),
            settings.keep_ended_s,
            _upkeep(reactor, settings, identity),
        )
        Coordinator(self.system, fleet)
        Advisor(self.system, _advice(reactor, settings.advice_address))
        Intake(self.system, identity)
        self._front = FrontEnd(self.system, reactor, settings.front)

    def start(self) -> None:
        """Open the sockets and begin to follow the platform."""
        host, port = self._settings.readiness
        site = readiness_site(self._is_ready)
        self._reactor.listenTCP(port, site, interface=host)
        self.system.start()
        _logger.info("node started", extra={"domain": self._settings.failure_domain})

    def _is_ready(self) -> bool:
        """Return whether callers are served better here than elsewhere.

        A node that is cut off from the store and from all nodes that have it
        can only refuse what callers send.
        """
        if self._feed.current is None or self._stopping:
            return False
        now = self._reactor.seconds()
        if self._peers.reaches_store:
            self._served_at = now
        return now - self._served_at < UNSERVED_READY_S

    def reload(self) -> None:
        """Take note of a changed settings file; addresses stay as they are."""
        _logger.info("settings reloaded")

    def stop(self) -> None:
        """Hand the coordination over, serve to the end of the grace, exit."""
        if not self._stopping:
            self._stopping = True
            _logger.info("node drains")
            run(self._drain(), "node")

    async def _drain(self) -> None:
        self.system.tell(LEADERSHIP, Drain())
        self.system.tell(PEERS, Drain())
        deadline = self._reactor.seconds() + self._settings.grace_s - LAST_ANSWERS_S
        while self._reactor.seconds() < deadline:
            await pause(self._reactor, LOOP_S)
        self.system.tell(FRONT_END, Drain())
        last = self._reactor.seconds() + 0.7 * LAST_ANSWERS_S
        while self._front.open_requests and self._reactor.seconds() < last:
            await pause(self._reactor, LOOP_S)
        await self.system.stop()
        _logger.info("node stopped")
        self._reactor.stop()


def _advice(reactor: Any, address: str) -> PlatformAdvice | None:
    if not address:
        return None
    return PlatformAdvice(JsonClient(reactor, address, ADVICE_CONNECTIONS))


def _upkeep(
    reactor: Any, settings: PlatformSettings, identity: Identity
) -> UpkeepGateway | None:
    if not settings.machines_address:
        return None
    client = JsonClient(reactor, settings.machines_address, MACHINES_CONNECTIONS)
    return UpkeepGateway(
        PlatformWaves(),
        PlatformMachines(client),
        f"{identity.node_id}/{identity.incarnation}",
        settings.order_pause_s,
    )


def main() -> int:
    """Run a node until SIGTERM; returns the exit status."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = load_settings(path)
    except SettingsError as error:
        sys.stderr.write(f"{error}\n")
        return error.exit_code
    configure_logging(settings.node_id, stream=sys.stdout)
    from twisted.internet import reactor

    node = PlatformNode(settings, reactor)
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(node.stop))
    signal.signal(signal.SIGINT, lambda *_: reactor.callFromThread(node.stop))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(node.reload))
    reactor.callWhenRunning(node.start)
    reactor.run(installSignalHandlers=False)
    return 0
