"""An entry node: creation of its actors from settings, and its shutdown."""

import logging
import signal
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred

from . import requests
from ._metrics_actor import METRICS, MetricsActor, MetricsObserver
from ._store_transport import HttpTransport as StoreHttpTransport
from ._worker_transport import HttpTransport as WorkerHttpTransport
from .actors import ActorSystem
from .configuration import ConfigurationActor
from .dispatcher import Dispatcher, DispatcherSettings
from .exceptions import RedwingrudderError
from .http_api import HttpApi, HttpApiSettings
from .logs import configure_logging
from .membership import MembershipActor
from .metrics import NodeMetrics
from .ownership import OwnershipActor
from .peers import Peers, PeersSettings
from .policies import slack_policies
from .router import Router, RouterSettings
from .scheduler import Scheduler
from .settings import NodeSettings
from .store import StoreClient
from .timers import TimerService

DEFAULT_WORKER_LEASE_S = 30.0
DEFAULT_STORE_WRITES_PER_S = 200
DEFAULT_REQUESTS_IN_PROGRESS = 10_000
# Requests of callers are drained first. Calls of other nodes are drained last,
# because they end once the ownership is handed over.
DRAIN_ORDER = (
    requests.HTTP_API,
    requests.DISPATCHER,
    requests.OWNERSHIP,
    requests.PEERS,
)

_logger = logging.getLogger(__name__)


class Node:
    """All actors of one entry node.

    Args:
        settings: Validated settings.
        reactor: The Twisted reactor.
    """

    def __init__(self, settings: NodeSettings, reactor: Any) -> None:
        self.settings = settings
        self.system = ActorSystem(reactor)
        self.metrics = NodeMetrics()
        self._reactor = reactor
        self._stopping = False
        TimerService(self.system)
        self._add_platform_actors()
        self._add_domain_actors()
        self._add_request_actors()

    def start(self) -> None:
        """Start all actors, which open sockets and read the platform store."""
        self.system.start()
        _logger.info("node started")

    async def stop(self) -> None:
        """Shut down gracefully.

        Requests in progress are finished and the ownership of the failure
        domain is handed over. Further calls have no effect.
        """
        if self._stopping:
            return
        self._stopping = True
        _logger.info("node is draining")
        for name in DRAIN_ORDER:
            try:
                await self.system.ask(name, requests.Drain())
            except RedwingrudderError as error:
                extra = {"actor": name, "error": str(error)}
                _logger.warning("actor failed to drain", extra=extra)
        await self.system.stop()
        _logger.info("node stopped")

    def _add_platform_actors(self) -> None:
        settings = self.settings
        domain = settings["failure_domain"]
        limits = settings.get("limits", {})
        writes_per_s = limits.get("store_writes_per_s", DEFAULT_STORE_WRITES_PER_S)
        self._domain_writes_per_s = writes_per_s / len(settings["failure_domains"])
        seed = settings["rank"]
        StoreClient(
            self.system,
            StoreHttpTransport(self._reactor, settings["platform"], domain),
            seed,
            self._domain_writes_per_s,
        )
        ConfigurationActor(
            self.system,
            (
                requests.DISPATCHER,
                requests.ROUTER,
                requests.HTTP_API,
                requests.PEERS,
                METRICS,
            ),
            seed,
        )
        MembershipActor(
            self.system,
            (
                requests.DISPATCHER,
                requests.PEERS,
                requests.ROUTER,
                requests.OWNERSHIP,
            ),
            domain,
            seed,
        )

    def _add_domain_actors(self) -> None:
        settings = self.settings
        domain = settings["failure_domain"]
        OwnershipActor(
            self.system,
            (
                requests.DISPATCHER,
                requests.ROUTER,
                requests.PEERS,
                requests.MEMBERSHIP,
                METRICS,
            ),
            domain,
            settings["node_id"],
            _thrift_address(settings),
            settings["rank"],
            settings["rank"],
        )
        metrics_actor = MetricsActor(self.system, self.metrics)
        Dispatcher(
            self.system,
            DispatcherSettings(
                domain,
                settings["node_id"],
                settings.get("worker_lease_s", DEFAULT_WORKER_LEASE_S),
                self._domain_writes_per_s,
            ),
            lambda: Scheduler(domain, slack_policies()),
            WorkerHttpTransport(self._reactor),
            MetricsObserver(
                self.metrics,
                lambda: metrics_actor.configuration,
                self.system.clock.seconds,
            ),
        )

    def _add_request_actors(self) -> None:
        settings = self.settings
        domain = settings["failure_domain"]
        host, port = _split_address(settings["listen"]["thrift"])
        Peers(
            self.system,
            self._reactor,
            PeersSettings(
                settings["node_id"],
                settings["rank"],
                domain,
                host,
                port,
                _thrift_address(settings),
            ),
        )
        router_settings = RouterSettings(settings["node_id"], domain, settings["rank"])
        Router(self.system, router_settings)
        host, port = _split_address(settings["listen"]["http"])
        limits = settings.get("limits", {})
        requests_limit = limits.get(
            "requests_in_progress", DEFAULT_REQUESTS_IN_PROGRESS
        )
        HttpApi(
            self.system,
            self._reactor,
            HttpApiSettings(host, port, requests_limit),
            self.metrics,
        )


def run_node(settings: NodeSettings, reactor: Any) -> None:
    """Run a node until SIGTERM or SIGINT, then shut it down gracefully.

    Args:
        settings: Validated settings.
        reactor: The Twisted reactor; this function runs it.
    """
    level = settings.get("log_level", "info").upper()
    configure_logging(settings["node_id"], level)
    node = Node(settings, reactor)
    stop_on_signals(reactor, node.stop)
    reactor.callWhenRunning(node.start)
    reactor.run(installSignalHandlers=False)


def stop_on_signals(reactor: Any, stop: Any) -> None:
    """Call ``stop`` on SIGTERM or SIGINT, then stop the reactor.

    Args:
        reactor: The Twisted reactor.
        stop: Coroutine function that is called for each of these signals.
    """

    def stop_reactor(result: Any) -> None:
        if reactor.running:
            reactor.stop()

    def begin_stop() -> Deferred:
        return ensureDeferred(stop()).addBoth(stop_reactor)

    def handle_signal(number: int, frame: Any) -> None:
        reactor.callFromThread(begin_stop)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, handle_signal)


def _thrift_address(settings: NodeSettings) -> str:
    return settings.get("advertise_thrift", settings["listen"]["thrift"])


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
