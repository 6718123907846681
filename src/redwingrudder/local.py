"""A whole deployment in one process: nodes, workers and platform.

Each node and worker has its own actors and its own sockets on the loopback
interface, so they communicate as they do on separate machines.
"""

import json
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from . import requests
from .actors import ActorSystem
from .client import Client
from .configuration import ConfigurationDocument, parse_document
from .exceptions import ConflictError, RedwingrudderError, UnavailableError
from .logs import configure_logging
from .model import WorkerInfo
from .node import Node, stop_on_signals
from .platform_api import VmBody
from .settings import (
    DeploymentSettings,
    NodeSettings,
    deployment_workers,
    load_deployment,
    read_file,
)
from .standins.platform import PlatformStandin
from .standins.worker import WorkerStandIn
from .timers import TimerService

HOST = "127.0.0.1"
THRIFT_PORT_OFFSET = 1_000  # from the HTTP port of a node to its thrift port
READY_CHECK_INTERVAL_S = 0.2
READY_TIMEOUT_S = 30.0


class LocalDeployment:
    """Starts and stops all nodes, workers and the platform of a deployment.

    Args:
        deployment: Validated deployment settings.
        reactor: The Twisted reactor.
        first_port: HTTP port of the first node; each further node uses the
            next port.
        reactor_for_node: Returns the reactor of a node, so that nodes can be
            measured separately. By default all nodes use ``reactor``.

    Attributes:
        nodes: The entry nodes; empty before ``start``.
    """

    def __init__(
        self,
        deployment: DeploymentSettings,
        reactor: Any,
        first_port: int,
        reactor_for_node: Callable[[NodeSettings], Any] | None = None,
    ) -> None:
        self._deployment = deployment
        self._reactor = reactor
        self._reactor_for_node = reactor_for_node or (lambda settings: reactor)
        self._first_port = first_port
        self._platform = PlatformStandin(reactor)
        self._workers: list[WorkerStandIn] = []
        self.nodes: list[Node] = []

    @property
    def urls(self) -> tuple[str, ...]:
        """Base URLs of all entry nodes, ``http://host:port``."""
        addresses = (node.settings["listen"]["http"] for node in self.nodes)
        return tuple(f"http://{address}" for address in addresses)

    async def start(self, configuration: ConfigurationDocument) -> None:
        """Start the deployment and wait until all workers are claimed.

        Args:
            configuration: The first configuration, put into force as
                version 1.

        Raises:
            UnavailableError: The deployment was not ready within
                ``READY_TIMEOUT_S``.
        """
        port = await self._platform.listen(self._reactor, HOST, 0)
        for info in deployment_workers(self._deployment):
            self._start_worker(info)
        self._create_nodes(f"http://{HOST}:{port}")
        self._register_vms()
        for node in self.nodes:
            node.start()
        await self._apply_until_ready(configuration)

    async def stop(self) -> None:
        """Drain and stop the nodes, then stop the stand-ins."""
        for node in self.nodes:
            await node.stop()
        for worker in self._workers:
            await worker.system.stop()
        await self._platform.stop()

    def _start_worker(self, info: WorkerInfo) -> None:
        system = ActorSystem(self._reactor)
        TimerService(system)
        self._workers.append(WorkerStandIn(system, info, self._reactor))
        system.start()

    def _create_nodes(self, platform_url: str) -> None:
        domain_names = [
            domain["name"] for domain in self._deployment["failure_domains"]
        ]
        port = self._first_port
        for domain in self._deployment["failure_domains"]:
            for rank in range(1, domain["nodes"] + 1):
                settings = self._build_node_settings(domain["name"], rank, port)
                settings["failure_domains"] = domain_names
                settings["platform"] = platform_url
                self.nodes.append(Node(settings, self._reactor_for_node(settings)))
                port += 1

    def _build_node_settings(self, domain: str, rank: int, port: int) -> NodeSettings:
        settings = NodeSettings(
            kind="node",
            node_id=f"{domain}-{rank}",
            rank=rank,
            failure_domain=domain,
            failure_domains=[],
            listen={
                "http": f"{HOST}:{port}",
                "thrift": f"{HOST}:{port + THRIFT_PORT_OFFSET}",
            },
            platform="",
        )
        if "worker_lease_s" in self._deployment:
            settings["worker_lease_s"] = self._deployment["worker_lease_s"]
        return settings

    def _register_vms(self) -> None:
        vms = [
            worker_vm(worker.core.info._replace(address=worker.address))
            for worker in self._workers
        ]
        vms += [_build_node_vm(node.settings) for node in self.nodes]
        self._platform.service.change_vms(json.dumps({"register": vms}).encode())

    async def _apply_until_ready(self, document: ConfigurationDocument) -> None:
        """Apply the first configuration and wait until workers are claimed.

        After an error both are repeated until ``READY_TIMEOUT_S`` has passed.

        Raises:
            UnavailableError: ``READY_TIMEOUT_S`` has passed.
        """
        client = Client(self.urls, self._reactor)
        deadline = self._reactor.seconds() + READY_TIMEOUT_S
        while True:
            try:
                await client.apply(document, 0)
                await self._wait_until_claimed(deadline)
                return
            except (UnavailableError, ConflictError) as error:
                if self._reactor.seconds() > deadline:
                    raise UnavailableError(
                        f"the deployment was not ready in time: {error}"
                    ) from None
            await deferLater(self._reactor, READY_CHECK_INTERVAL_S)

    async def _wait_until_claimed(self, deadline: float) -> None:
        """Wait until the owners have claimed all workers of the deployment.

        Raises:
            UnavailableError: The deadline has passed.
        """
        expected = len(self._workers)
        while self._reactor.seconds() < deadline:
            if await self._count_claimed_workers() == expected:
                return
            await deferLater(self._reactor, READY_CHECK_INTERVAL_S)
        raise UnavailableError("not all workers were claimed in time")

    async def _count_claimed_workers(self) -> int:
        """Count the workers claimed by owners that have a configuration."""
        claimed = 0
        for node in self.nodes:
            try:
                status = await node.system.ask(
                    requests.DISPATCHER, requests.GetStatus()
                )
            except UnavailableError:
                continue
            is_configured = status.configuration_version > 0
            claimed += status.workers if is_configured else 0
        return claimed


def run_local(deployment: str, configuration: str, port: int, reactor: Any) -> None:
    """Run a deployment until SIGTERM or SIGINT; prints the nodes' URLs.

    Args:
        deployment: Path of the deployment file.
        configuration: Path of the operators' configuration.
        port: HTTP port of the first node.
        reactor: The Twisted reactor, not yet running.

    Raises:
        SettingsError: A file cannot be read, or the deployment file is
            invalid.
        BadRequestError: The configuration is invalid.
        UnavailableError: The deployment could not be started (code
            ``not_started``).
    """
    settings = load_deployment(deployment)
    document = parse_document(read_file(configuration))
    configure_logging(settings["name"], "WARNING")
    local = LocalDeployment(settings, reactor, port)

    failures: list[Failure] = []

    async def start_and_print_urls() -> None:
        await local.start(document)
        for url in local.urls:
            print(url, flush=True)

    def stop_after_failure(failure: Failure) -> None:
        failures.append(failure)
        reactor.stop()

    def start_deployment() -> None:
        Deferred.fromCoroutine(start_and_print_urls()).addErrback(stop_after_failure)

    stop_on_signals(reactor, local.stop)
    reactor.callWhenRunning(start_deployment)
    reactor.run(installSignalHandlers=False)
    for failure in failures:
        failure.trap(RedwingrudderError, CannotListenError)
        raise UnavailableError(str(failure.value), code="not_started")


def worker_vm(info: WorkerInfo) -> VmBody:
    """Return the entry of a worker in the platform's VM list."""
    return VmBody(
        vm_id=info.worker_id,
        role="worker",
        state="live",
        address=info.address,
        failure_domain=info.failure_domain,
        rack=info.rack,
        rank=0,
        accelerators=info.accelerators,
        slots=info.slots,
        cores=info.cores,
        memory_mb=info.memory_mb,
    )


def _build_node_vm(settings: NodeSettings) -> VmBody:
    return VmBody(
        vm_id=settings["node_id"],
        role="node",
        state="live",
        address=settings["listen"]["thrift"],
        failure_domain=settings["failure_domain"],
        rack="",
        rank=settings["rank"],
        accelerators=0,
        slots=0,
        cores=0,
        memory_mb=0,
    )
