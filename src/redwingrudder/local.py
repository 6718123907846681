"""A whole deployment in one process: nodes, workers and platform.

Every node and worker has its own actors and sockets on the loopback
interface, so the parts talk as they do on separate machines.
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
THRIFT_OFFSET = 1_000  # from a node's HTTP port to its thrift port
READY_INTERVAL_S = 0.2
READY_LIMIT_S = 30.0


class LocalDeployment:
    """Starts and stops all parts of a deployment.

    Args:
        deployment: Checked deployment settings.
        reactor: The twisted reactor.
        first_port: HTTP port of the first node; the others follow it.
        node_reactor: Returns the reactor of a node, to measure each of them;
            all nodes use ``reactor`` unless given.
    """

    def __init__(
        self,
        deployment: DeploymentSettings,
        reactor: Any,
        first_port: int,
        node_reactor: Callable[[NodeSettings], Any] | None = None,
    ) -> None:
        self._deployment = deployment
        self._reactor = reactor
        self._node_reactor = node_reactor or (lambda settings: reactor)
        self._first_port = first_port
        self._platform = PlatformStandin(reactor)
        self._workers: list[WorkerStandIn] = []
        self.nodes: list[Node] = []

    @property
    def urls(self) -> tuple[str, ...]:
        """Base URLs of all entry nodes."""
        listens = (node.settings["listen"]["http"] for node in self.nodes)
        return tuple(f"http://{listen}" for listen in listens)

    async def start(self, configuration: ConfigurationDocument) -> None:
        """Start all parts and wait until every node is ready.

        Raises:
            UnavailableError: The nodes are not ready in time.
        """
        port = await self._platform.listen(self._reactor, HOST, 0)
        for info in deployment_workers(self._deployment):
            self._start_worker(info)
        self._create_nodes(f"http://{HOST}:{port}")
        self._register_vms()
        for node in self.nodes:
            node.start()
        await self._apply(configuration)

    async def stop(self) -> None:
        """Drain the nodes, then stop the stand-ins."""
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

    def _create_nodes(self, platform: str) -> None:
        names = [domain["name"] for domain in self._deployment["failure_domains"]]
        port = self._first_port
        for domain in self._deployment["failure_domains"]:
            for rank in range(1, domain["nodes"] + 1):
                settings = self._node_settings(domain["name"], rank, port)
                settings["failure_domains"] = names
                settings["platform"] = platform
                self.nodes.append(Node(settings, self._node_reactor(settings)))
                port += 1

    def _node_settings(self, domain: str, rank: int, port: int) -> NodeSettings:
        settings = NodeSettings(
            kind="node",
            node_id=f"{domain}-{rank}",
            rank=rank,
            failure_domain=domain,
            failure_domains=[],
            listen={
                "http": f"{HOST}:{port}",
                "thrift": f"{HOST}:{port + THRIFT_OFFSET}",
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
        vms += [_node_vm(node.settings) for node in self.nodes]
        self._platform.service.change_vms(json.dumps({"register": vms}).encode())

    async def _apply(self, document: ConfigurationDocument) -> None:
        """Put the first configuration into force, once workers are known."""
        client = Client(self.urls, self._reactor)
        deadline = self._reactor.seconds() + READY_LIMIT_S
        while True:
            try:
                await client.apply(document, 0)
                await self._wait_ready(deadline)
                return
            except (UnavailableError, ConflictError) as error:
                if self._reactor.seconds() > deadline:
                    raise UnavailableError(f"not ready: {error}") from None
            await deferLater(self._reactor, READY_INTERVAL_S)

    async def _wait_ready(self, deadline: float) -> None:
        """Wait until each domain's owner has claimed its workers."""
        expected = len(self._workers)
        while self._reactor.seconds() < deadline:
            if await self._claimed_workers() == expected:
                return
            await deferLater(self._reactor, READY_INTERVAL_S)
        raise UnavailableError("the workers were not claimed in time")

    async def _claimed_workers(self) -> int:
        claimed = 0
        for node in self.nodes:
            try:
                status = await node.system.ask(
                    requests.DISPATCHER, requests.GetStatus()
                )
            except UnavailableError:
                continue
            configured = status.configuration_version > 0
            claimed += status.workers if configured else 0
        return claimed


def run_local(deployment: str, configuration: str, port: int, reactor: Any) -> None:
    """Run a deployment until SIGTERM or SIGINT.

    Args:
        deployment: Path of the deployment file.
        configuration: Path of the operators' configuration.
        port: HTTP port of the first node.
        reactor: The twisted reactor.
    """
    settings = load_deployment(deployment)
    document = parse_document(read_file(configuration))
    configure_logging(settings["name"], "WARNING")
    local = LocalDeployment(settings, reactor, port)

    failures: list[Failure] = []

    async def start() -> None:
        await local.start(document)
        for url in local.urls:
            print(url, flush=True)

    def abandon(failure: Failure) -> None:
        failures.append(failure)
        reactor.stop()

    def begin() -> None:
        Deferred.fromCoroutine(start()).addErrback(abandon)

    stop_on_signals(reactor, local.stop)
    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    for failure in failures:
        failure.trap(RedwingrudderError, CannotListenError)
        raise UnavailableError(str(failure.value), code="not_started")


def worker_vm(info: WorkerInfo) -> VmBody:
    """Return the VM list's entry of a worker."""
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


def _node_vm(settings: NodeSettings) -> VmBody:
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
