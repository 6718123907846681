"""Cost of whole nodes, idle and for each job that they run."""

import os
import pathlib
import time
from collections import Counter
from typing import Any, NamedTuple

from twisted.internet.defer import DeferredList, ensureDeferred
from twisted.internet.task import deferLater

from . import requests
from ._measure_counting import CountingReactor
from .client import Client
from .configuration import parse_document
from .exceptions import RedwingrudderError, SettingsError, UnavailableError
from .local import LocalDeployment
from .settings import NodeSettings, load_deployment, read_file

EXAMPLE = "examples/huon"
FIRST_PORT = 28_080
# Thrift ports of up to 100 nodes; see ``local.THRIFT_PORT_OFFSET``.
THRIFT_PORTS = range(FIRST_PORT + 1_000, FIRST_PORT + 1_100)
SETTLE_S = 5.0  # time before a measurement in which the nodes start up
IDLE_WINDOW_S = 20.0
MEASURED_JOBS = 300
CONCURRENT_CALLERS = 10  # each has one job in progress
JOB_RUN_S = 0.02
JOB_WAIT_TIMEOUT_S = 20.0
MS_PER_S = 1_000.0
BYTES_PER_KIB = 1_024
BYTES_PER_MB = 1e6
# Fields of /proc/<pid>/stat, counted after the command name in parentheses.
USER_TICKS_INDEX = 11
SYSTEM_TICKS_INDEX = 12


class NodeRow(NamedTuple):
    """Cost of one idle node; all nodes of the example share one process.

    Attributes:
        node: Identifier of the node.
        owner: Whether the node owns its failure domain.
        core_percent: Share of a core that the node's callbacks use.
        process_percent: Share of a core that the whole process uses, with the
            stand-ins and the reactor's loop, divided by the number of nodes.
        store_bytes_per_s: Bytes per second to and from the platform.
        peer_bytes_per_s: Bytes per second to and from other nodes.
        worker_bytes_per_s: Bytes per second to and from workers.
    """

    node: str
    owner: bool
    core_percent: float
    process_percent: float
    store_bytes_per_s: float
    peer_bytes_per_s: float
    worker_bytes_per_s: float


class JobRow(NamedTuple):
    """Processor time of jobs with one accelerator through one entry node.

    All nodes share one process. The times are in milliseconds per job.

    Attributes:
        jobs: Number of jobs.
        entry_ms: Callbacks of the entry node.
        nodes_ms: Callbacks of all nodes.
        process_ms: The whole process, with the callers and the stand-ins.
    """

    jobs: int
    entry_ms: float
    nodes_ms: float
    process_ms: float


class ProcessRow(NamedTuple):
    """Cost of a node in its own process, idle and then with jobs.

    Attributes:
        pid: Process id of the node.
        idle_percent: Share of a core that the idle process uses.
        resident_mb: Resident memory after the idle time, in megabytes.
        jobs: Number of jobs.
        ms_per_job: Processor time per job, in milliseconds.
        resident_after_mb: Resident memory after the jobs, in megabytes.
    """

    pid: int
    idle_percent: float
    resident_mb: float
    jobs: int
    ms_per_job: float
    resident_after_mb: float


class _Sample(NamedTuple):
    processor_s: float
    bytes_by_kind: Counter[str]


async def measure_nodes(
    reactor: Any, example: str = EXAMPLE, window_s: float = IDLE_WINDOW_S
) -> list[NodeRow]:
    """Measure all nodes of an example deployment without any requests.

    Args:
        reactor: The running Twisted reactor.
        example: Folder with deployment.jsonc and configuration.jsonc.
        window_s: Seconds over which the costs are averaged.
    """
    local, counters = _build_deployment(reactor, example)
    await _start_deployment(local, example)
    try:
        await deferLater(reactor, SETTLE_S)
        before = [_sample(counter) for counter in counters]
        process_s = _own_processor_s()
        await deferLater(reactor, window_s)
        process_s = _own_processor_s() - process_s
        process_percent = process_s / window_s / len(counters) * 100
        rows = []
        for node, counter, old in zip(local.nodes, counters, before, strict=True):
            owner = await _is_owner(node)
            rows.append(_node_row(node, owner, counter, old, window_s, process_percent))
        return rows
    finally:
        await local.stop()


async def measure_jobs(
    reactor: Any, example: str = EXAMPLE, jobs: int = MEASURED_JOBS
) -> list[JobRow]:
    """Measure jobs with one accelerator through the first entry node.

    Args:
        reactor: The running Twisted reactor.
        example: Folder with deployment.jsonc and configuration.jsonc.
        jobs: Number of jobs.
    """
    local, counters = _build_deployment(reactor, example)
    await _start_deployment(local, example)
    try:
        await deferLater(reactor, SETTLE_S)
        client = Client(local.urls[:1], reactor)
        await _run_jobs(client, CONCURRENT_CALLERS, "warm")
        before = [counter.processor_s for counter in counters]
        process_s = time.process_time()
        await _run_jobs(client, jobs, "measured")
        process_s = time.process_time() - process_s
        spent_s = [
            counter.processor_s - old_s
            for counter, old_s in zip(counters, before, strict=True)
        ]
        ms_per_job_factor = MS_PER_S / jobs
        return [
            JobRow(
                jobs,
                spent_s[0] * ms_per_job_factor,
                sum(spent_s) * ms_per_job_factor,
                process_s * ms_per_job_factor,
            )
        ]
    finally:
        await local.stop()


async def measure_process(
    reactor: Any, pid: int, node: str, window_s: float = IDLE_WINDOW_S
) -> list[ProcessRow]:
    """Measure a node in another process of this machine; needs Linux.

    Args:
        reactor: The running Twisted reactor.
        pid: Process id of the node.
        node: Entry node URL of that process.
        window_s: Seconds of the idle measurement.

    Raises:
        SettingsError: The process does not exist or cannot be read.
    """
    idle_s = _processor_s_of(pid)
    await deferLater(reactor, window_s)
    idle_s = _processor_s_of(pid) - idle_s
    resident_mb = _resident_mb(pid)
    client = Client((node,), reactor)
    prefix = f"measured-{pid}-{time.time_ns()}"
    await _run_jobs(client, CONCURRENT_CALLERS, f"{prefix}-warm")
    busy_s = _processor_s_of(pid)
    await _run_jobs(client, MEASURED_JOBS, prefix)
    busy_s = _processor_s_of(pid) - busy_s
    return [
        ProcessRow(
            pid,
            idle_s / window_s * 100,
            resident_mb,
            MEASURED_JOBS,
            busy_s / MEASURED_JOBS * MS_PER_S,
            _resident_mb(pid),
        )
    ]


def _build_deployment(
    reactor: Any, example: str
) -> tuple[LocalDeployment, list[CountingReactor]]:
    counters: list[CountingReactor] = []

    def node_reactor(settings: NodeSettings) -> CountingReactor:
        platform_port = int(settings["platform"].rpartition(":")[2])
        counter = CountingReactor(
            reactor, lambda port: _connection_kind(port, platform_port)
        )
        counters.append(counter)
        return counter

    settings = load_deployment(str(pathlib.Path(example) / "deployment.jsonc"))
    local = LocalDeployment(settings, reactor, FIRST_PORT, node_reactor)
    return local, counters


async def _start_deployment(local: LocalDeployment, example: str) -> None:
    path = pathlib.Path(example) / "configuration.jsonc"
    await local.start(parse_document(read_file(str(path))))


def _connection_kind(port: int, platform_port: int) -> str:
    if port == platform_port:
        return "store"
    if port in THRIFT_PORTS:
        return "peer"
    return "caller" if FIRST_PORT <= port < THRIFT_PORTS.start else "worker"


async def _is_owner(node: Any) -> bool:
    # The dispatcher answers status requests only while its node is the owner.
    try:
        await node.system.ask(requests.DISPATCHER, requests.GetStatus())
    except UnavailableError:
        return False
    return True


def _sample(counter: CountingReactor) -> _Sample:
    return _Sample(counter.processor_s, Counter(counter.bytes_by_kind))


def _node_row(
    node: Any,
    owner: bool,
    counter: CountingReactor,
    before: _Sample,
    window_s: float,
    process_percent: float,
) -> NodeRow:
    bytes_per_s_by_kind = {
        kind: (counter.bytes_by_kind[kind] - before.bytes_by_kind[kind]) / window_s
        for kind in ("store", "peer", "worker")
    }
    spent_s = counter.processor_s - before.processor_s
    return NodeRow(
        node.settings["node_id"],
        owner,
        spent_s / window_s * 100,
        process_percent,
        bytes_per_s_by_kind["store"],
        bytes_per_s_by_kind["peer"],
        bytes_per_s_by_kind["worker"],
    )


async def _run_jobs(client: Client, jobs: int, prefix: str) -> None:
    """Run jobs from ``CONCURRENT_CALLERS`` callers to their end.

    Each caller submits its next job when the previous one has ended.

    Raises:
        RedwingrudderError: A job did not succeed.
    """
    numbers = iter(range(jobs))

    async def submit_jobs() -> None:
        for number in numbers:
            key = f"{prefix}-{number}"
            job_view = (await client.submit(_job_body(), key)).body
            if job_view["state"] != "succeeded":
                raise RedwingrudderError(
                    f"job {key} did not succeed: {job_view['state']}"
                )

    submissions = [ensureDeferred(submit_jobs()) for _ in range(CONCURRENT_CALLERS)]
    await DeferredList(submissions, fireOnOneErrback=True, consumeErrors=True)


def _job_body() -> dict[str, Any]:
    return {
        "organisation": "shop-counters",
        "class": "counter-proof",
        "tasks": 1,
        "accelerators_per_task": 1,
        "idempotent": True,
        "declared_run_s": JOB_RUN_S,
        "payload": f'{{"run_s": {JOB_RUN_S}}}',
        "wait_s": JOB_WAIT_TIMEOUT_S,
    }


def _own_processor_s() -> float:
    times = os.times()
    return times.user + times.system


def _processor_s_of(pid: int) -> float:
    fields = _read_proc(pid, "stat").rpartition(")")[2].split()
    user, system = int(fields[USER_TICKS_INDEX]), int(fields[SYSTEM_TICKS_INDEX])
    return (user + system) / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    for line in _read_proc(pid, "status").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * BYTES_PER_KIB / BYTES_PER_MB
    return 0.0


def _read_proc(pid: int, name: str) -> str:
    try:
        return pathlib.Path(f"/proc/{pid}/{name}").read_text("utf-8")
    except OSError as error:
        raise SettingsError(
            f"cannot read the state of process {pid}: {error}"
        ) from None
