"""Cost of whole entry nodes: idle, and for each job."""

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
THRIFT_PORTS = range(FIRST_PORT + 1_000, FIRST_PORT + 1_100)
SETTLE_S = 5.0
IDLE_WINDOW_S = 20.0
JOBS = 300
CALLERS = 10  # jobs in progress
JOB_RUN_S = 0.02
JOB_WAIT_S = 20.0
MILLISECONDS = 1_000.0


class NodeRow(NamedTuple):
    """One idle node of the example, beside all others in one process.

    ``core_percent`` has the node's callbacks only; ``process_percent`` is the
    share of the whole process, with stand-ins and the reactor's loop, divided
    by the number of nodes.
    """

    node: str
    owner: bool
    core_percent: float
    process_percent: float
    store_bytes_per_s: float
    peer_bytes_per_s: float
    worker_bytes_per_s: float


class JobRow(NamedTuple):
    """Jobs of one accelerator through one entry node, in one process.

    ``entry_ms`` has the callbacks of the entry node, ``nodes_ms`` those of all
    nodes, ``process_ms`` the whole process with caller and stand-ins.
    """

    jobs: int
    entry_ms: float
    nodes_ms: float
    process_ms: float


class ProcessRow(NamedTuple):
    """A node in a process of its own, idle and then with jobs."""

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
    """Measure all nodes of an example while nothing is asked of them."""
    local, counters = _deployment(reactor, example)
    await _start(local, example)
    try:
        await deferLater(reactor, SETTLE_S)
        before = [_sample(counter) for counter in counters]
        process_s = _process_s()
        await deferLater(reactor, window_s)
        process_s = _process_s() - process_s
        share = process_s / window_s / len(counters) * 100
        rows = []
        for node, counter, old in zip(local.nodes, counters, before, strict=True):
            owner = await _is_owner(node)
            rows.append(_node_row(node, owner, counter, old, window_s, share))
        return rows
    finally:
        await local.stop()


async def measure_jobs(
    reactor: Any, example: str = EXAMPLE, jobs: int = JOBS
) -> list[JobRow]:
    """Measure jobs of one accelerator through the first entry node."""
    local, counters = _deployment(reactor, example)
    await _start(local, example)
    try:
        await deferLater(reactor, SETTLE_S)
        client = Client(local.urls[:1], reactor)
        await _run_jobs(client, CALLERS, "warm")
        before = [counter.processor_s for counter in counters]
        process_s = time.process_time()
        await _run_jobs(client, jobs, "measured")
        process_s = time.process_time() - process_s
        spent = [c.processor_s - b for c, b in zip(counters, before, strict=True)]
        scale = MILLISECONDS / jobs
        return [JobRow(jobs, spent[0] * scale, sum(spent) * scale, process_s * scale)]
    finally:
        await local.stop()


async def measure_process(
    reactor: Any, pid: int, node: str, window_s: float = IDLE_WINDOW_S
) -> list[ProcessRow]:
    """Measure a node in another process of this machine (Linux).

    Raises:
        SettingsError: There is no such process.
    """
    idle_s = _processor_s_of(pid)
    await deferLater(reactor, window_s)
    idle_s = _processor_s_of(pid) - idle_s
    resident_mb = _resident_mb(pid)
    client = Client((node,), reactor)
    prefix = f"measured-{pid}-{time.time_ns()}"
    await _run_jobs(client, CALLERS, f"{prefix}-warm")
    busy_s = _processor_s_of(pid)
    await _run_jobs(client, JOBS, prefix)
    busy_s = _processor_s_of(pid) - busy_s
    return [
        ProcessRow(
            pid,
            idle_s / window_s * 100,
            resident_mb,
            JOBS,
            busy_s / JOBS * MILLISECONDS,
            _resident_mb(pid),
        )
    ]


def _deployment(
    reactor: Any, example: str
) -> tuple[LocalDeployment, list[CountingReactor]]:
    counters: list[CountingReactor] = []

    def node_reactor(settings: NodeSettings) -> CountingReactor:
        platform = int(settings["platform"].rpartition(":")[2])
        counter = CountingReactor(reactor, lambda port: _kind(port, platform))
        counters.append(counter)
        return counter

    settings = load_deployment(str(pathlib.Path(example) / "deployment.jsonc"))
    local = LocalDeployment(settings, reactor, FIRST_PORT, node_reactor)
    return local, counters


async def _start(local: LocalDeployment, example: str) -> None:
    path = pathlib.Path(example) / "configuration.jsonc"
    await local.start(parse_document(read_file(str(path))))


def _kind(port: int, platform: int) -> str:
    if port == platform:
        return "store"
    if port in THRIFT_PORTS:
        return "peer"
    return "caller" if FIRST_PORT <= port < THRIFT_PORTS.start else "worker"


async def _is_owner(node: Any) -> bool:
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
    sent = {
        kind: (counter.bytes_by_kind[kind] - before.bytes_by_kind[kind]) / window_s
        for kind in ("store", "peer", "worker")
    }
    spent_s = counter.processor_s - before.processor_s
    return NodeRow(
        node.settings["node_id"],
        owner,
        spent_s / window_s * 100,
        process_percent,
        sent["store"],
        sent["peer"],
        sent["worker"],
    )


async def _run_jobs(client: Client, jobs: int, prefix: str) -> None:
    """Run jobs from ``CALLERS`` callers; each waits for its answer."""
    numbers = iter(range(jobs))

    async def call() -> None:
        for number in numbers:
            key = f"{prefix}-{number}"
            view = (await client.submit(_job_body(), key)).body
            if view["state"] != "succeeded":
                raise RedwingrudderError(f"job {key} is {view['state']}")

    calls = [ensureDeferred(call()) for _ in range(CALLERS)]
    await DeferredList(calls, fireOnOneErrback=True, consumeErrors=True)


def _job_body() -> dict[str, Any]:
    return {
        "organisation": "shop-counters",
        "class": "counter-proof",
        "tasks": 1,
        "accelerators_per_task": 1,
        "idempotent": True,
        "declared_run_s": JOB_RUN_S,
        "payload": f'{{"run_s": {JOB_RUN_S}}}',
        "wait_s": JOB_WAIT_S,
    }


def _process_s() -> float:
    times = os.times()
    return times.user + times.system


def _processor_s_of(pid: int) -> float:
    fields = _read_proc(pid, "stat").rpartition(")")[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    for line in _read_proc(pid, "status").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1_024 / 1e6
    return 0.0


def _read_proc(pid: int, name: str) -> str:
    try:
        return pathlib.Path(f"/proc/{pid}/{name}").read_text("utf-8")
    except OSError as error:
        raise SettingsError(f"process {pid} cannot be read: {error}") from None
