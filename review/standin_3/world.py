"""A small deployment: store, workers, machine service, nodes and a client.

The nodes are the project's own programs, started with the command of the
deploy file as separate processes on loopback addresses.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

from .store import Store
from .wire import Server, call
from .workers import Worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "jobs.example"
KEY = "key-of-the-tenant"
SETTINGS = """
nodeName = "{name}"
role = "node"
machineClass = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "hobart"
region = "tas"
internalPorts = [{first}, {last}]
seeds = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = {heartbeat_ms}
contracts = {contracts}
controlMode = "call"
[zones]
hobart = "tas"
[listen]
front = "127.0.0.1:{front}"
readiness = "127.0.0.1:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
{bounds}
[platform]
address = "127.0.0.1:{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
{cloud}
"""
CONTRACTS = ["base", "drain", "config", "cost", "recover", "sched", "tenants"]
CONTRACTS += ["platform", "advice", "upkeep", "sharing"]
# Bounds of the sites that the cases name, as their sheets state them.
_COMMON = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "graceS": 6,
    "lossSlackMs": 200,
    "rollbackSlackMs": 250,
    "strictRevoke": False,
    "revokeMs": 5000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remoteFactor": 3,
    "migrateS": 1.5,
    "maintenanceS": 2,
    "requireFencing": True,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "pacingMs": 100,
}
_SMALL = {
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "configApplyMs": 2000,
    "outerMs": 5000,
    "recoveryS": 12,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "noticeMs": 4500,
    "impactMs": 4000,
}
_GROWN = {
    "contactMs": 4000,
    "ackTimeoutMs": 6000,
    "catchUpS": 6,
    "drainMs": 3000,
    "configApplyMs": 3000,
    "outerMs": 6000,
    "recoveryS": 15,
    "gangTimeoutMs": 4000,
    "cancel_ms": 4000,
    "noticeMs": 5500,
    "impactMs": 4500,
}
_HUONWRAP = {
    "maxHoldMs": 6000,
    "stopTimeoutMs": 900,
    "checkpointIntervalS": 2,
    "restoreMs": 600,
    "reclaimMs": 3400,
}
_STL = {
    "maxHoldMs": 10000,
    "stopTimeoutMs": 200,
    "checkpointIntervalS": 1,
    "restoreMs": 250,
    "reclaimMs": 2700,
}
SITES = {
    "huonwrap-sched": {**_COMMON, **_SMALL, **_HUONWRAP},
    "huonwrap-sched-grown": {**_COMMON, **_GROWN, **_HUONWRAP},
    "stl-remind": {**_COMMON, **_SMALL, **_STL},
    "stl-remind-grown": {**_COMMON, **_GROWN, **_STL},
}
# Consecutive ports; those of outgoing connections are higher.
PORTS_PER_NODE = 16
LONGEST_S = 110.0  # for which a script runs


def free_ports(count):
    """Return the first of consecutive free ports."""
    draw = random.SystemRandom()
    while True:
        first = draw.randrange(20000, 32000 - count)
        held = []
        try:
            for port in range(first, first + count):
                held.append(socket.socket())
                held[-1].bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for each in held:
                each.close()


class World:
    """All parts of the deployment, and the record of what happens.

    Args:
        folder: Folder of the case, which receives ``record.txt``.
        site: Site whose bounds hold.
        nodes: Number of nodes.
        guards: Whether workers refuse what does not fit.
        machines: Whether there is a machine service.
    """

    def __init__(
        self,
        folder,
        site,
        nodes=3,
        guards=True,
        machines=False,
        ports_for_workers=40,
    ):
        self.heartbeat_s = 1.5
        self.bounds = SITES[site]
        self.max_hold_ms = self.bounds["maxHoldMs"]
        self.stop_s = self.bounds["stopTimeoutMs"] / 2000  # half of the longest time
        self.guards = guards
        self.service = "dele69a"
        self.steps = {}
        self.runs = []
        self.workers = {}
        self._record = (pathlib.Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()
        self._node_count = nodes
        self._first = free_ports(2 + ports_for_workers + PORTS_PER_NODE * nodes)
        self._next_worker_port = self._first + 2
        self._first_node_port = self._first + 2 + ports_for_workers
        self.store = Store(self._first)
        self.machines = Machines(self, self._first + 1) if machines else None
        self._processes = {}
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")

    # Record.

    @property
    def now(self):
        return time.monotonic() - self._began

    def log(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._record.write(f"{self.now:8.3f} {event}: {text}\n")
        self._record.flush()

    def run_began(self, worker, name, run, spec):
        row = {
            "task": name,
            "run": run,
            "worker": worker.worker_id,
            "began": self.now,
            "ended": None,
            "how": "",
            "stopping": None,
            "used": worker.used_gpu(),
            "gpu": spec.get("gpu", 0),
            "capacity": worker.gpu,
            "labels": (worker.kind, worker.rack),
        }
        self.runs.append(row)
        self.log("run began", worker=worker.worker_id, task=name, run=run)
        return row

    def run_stopping(self, row):
        row["stopping"] = self.now

    def run_ended(self, row, how):
        row["ended"], row["how"] = self.now, how
        self.log(
            "run ended", worker=row["worker"], task=row["task"], run=row["run"], how=how
        )

    def runs_of(self, job):
        return [row for row in self.runs if row["task"].startswith(job + ".")]

    # Set-up.

    def add_worker(self, worker_id, rack="r1", kind="a", gpu=8):
        port, self._next_worker_port = (
            self._next_worker_port,
            self._next_worker_port + 1,
        )
        machine = f"m-{worker_id}"
        worker = Worker(self, worker_id, port, rack, kind, gpu, machine)
        self.workers[worker_id] = worker
        return worker

    def configuration(self, version=1):
        routes = [
            {
                "name": name,
                "host": HOST,
                "prefix": f"/{name}/",
                "service": self.service,
                "priority": priority,
                "maxAttempts": 4,
                "stretchFactor": 3.0,
                "targetLatencyMs": 1000,
                "timeoutMs": 3000,
            }
            for name, priority in (("urgent", 0), ("normal", 1), ("patient", 2))
        ]
        return {
            "version": version,
            "routes": routes,
            "services": [{"name": self.service, "enforceCapacity": self.guards}],
            "tenants": [{"name": "t1", "apiKeys": [KEY], "guaranteed": {"gpu": 8}}],
            "limits": {},
        }

    async def open(self):
        """Start the platform, the workers and the nodes; wait for readiness.

        Raises:
            RuntimeError: The nodes are not ready in time.
        """
        self.store.put("op/config", json.dumps(self.configuration()))
        await self.store.server.open()
        if self.machines is not None:
            await self.machines.server.open()
        for worker in self.workers.values():
            await worker.start()
        for index in range(self._node_count):
            await self.start_node(index)
        for index in range(self._node_count):
            if not await self.until(lambda i=index: self._is_ready(i), 30.0):
                raise RuntimeError("a node is not ready")
        if not await self.until(lambda: self.coordinator() is not None, 10.0):
            raise RuntimeError("no node coordinates")

    async def start_node(self, index):
        first = self._first_node_port + PORTS_PER_NODE * index
        cloud = ""
        if self.machines is not None:
            cloud = (
                f'[cloud]\naddress = "127.0.0.1:{self._first + 1}"\n'
                "ratePerS = 60.0\nduties = []\ndutyPerS = 60.0\n"
            )
        text = SETTINGS.format(
            contracts=json.dumps(CONTRACTS),
            name=f"frontend-hobart-{index + 1}",
            first=first,
            last=first + 12,
            front=first + 13,
            ready=first + 14,
            store=self._first,
            heartbeat_ms=int(self.heartbeat_s * 1000),
            cloud=cloud,
            bounds="\n".join(
                f"{name} = {json.dumps(value)}" for name, value in self.bounds.items()
            ),
        )
        folder = pathlib.Path(self._temporary.name)
        path = folder / f"node{index}.toml"
        path.write_text(text, "utf-8")
        log = (folder / f"node{index}.log").open("ab")
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["REDWINGRUDDER_CONFIG"] = str(path)
        self._processes[index] = await asyncio.create_subprocess_exec(
            "python3",
            "deploy/node.py",
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        self.log("node started", node=index)

    def kill_node(self, index):
        self.log("node killed", node=index)
        self._processes[index].send_signal(signal.SIGKILL)

    def coordinator(self):
        """Return the index of the node that coordinates, None if none does."""
        text = self.store.read("coordination/holder")
        return int(json.loads(text)["node"].rpartition("-")[2]) - 1 if text else None

    async def _is_ready(self, index):
        first = self._first_node_port + PORTS_PER_NODE * index
        status, _ = await call(first + 14, "GET", "/redwingrudder/ready", timeout_s=0.5)
        return status == 200

    async def until(self, condition, timeout_s, interval_s=0.02):
        """Wait until a condition holds, which may be a coroutine function.

        Returns:
            Whether it held in time.
        """
        deadline = self.now + timeout_s
        while self.now < deadline:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return True
            await asyncio.sleep(interval_s)
        return False

    async def close(self):
        """End all processes.

        The variable NODE_LOGS names a folder for the logs of the nodes.
        """
        for process in self._processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        self.store.server.kill()
        for worker in self.workers.values():
            worker.kill()
        if self.machines is not None:
            self.machines.server.kill()
        kept = os.environ.get("NODE_LOGS")
        if kept:
            for path in pathlib.Path(self._temporary.name).glob("*.log"):
                (pathlib.Path(kept) / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()
        self._record.close()

    # Client.

    def front(self, index):
        return self._first_node_port + PORTS_PER_NODE * index + 13

    async def request(self, method, path, body=None, node=0, timeout_s=3.0):
        headers = {
            "Host": HOST,
            "Authorization": f"Token {KEY}",
            "X-Timeout-Ms": "3000",
        }
        status, answer = await call(
            self.front(node), method, path, body, headers, timeout_s
        )
        self.log("call", node=node, method=method, path=path, status=status, **answer)
        return status, answer

    async def submit(self, queue, steps, run_s=5.0, node=0, **fields):
        """Submit a job until it is accepted; returns its id."""
        job = f"{random.SystemRandom().getrandbits(64):016x}"
        self.steps[job] = steps
        body = {"spec": json.dumps({"run_s": run_s}), "steps": steps, **fields}
        for _ in range(20):
            status, _ = await self.request("POST", f"/{queue}/{job}", body, node)
            if status == 200:
                return job
            await asyncio.sleep(0.2)
        raise RuntimeError("a job was not accepted")

    async def state(self, queue, job, node=0):
        _, answer = await self.request("GET", f"/{queue}/{job}", node=node)
        return answer.get("state", "")


class Machines:
    """The machine service: lists machines, takes them down for upkeep."""

    def __init__(self, world, port):
        self.world = world
        self.server = Server(port, self._handle)
        self.upkeep_s = 2.0
        self.state = {}
        self.upkept = {}
        self.token = {}
        self.orders = []

    def _worker(self, machine):
        for worker in self.world.workers.values():
            if worker.machine == machine and worker.up:
                return worker
        return None

    async def _handle(self, request):
        if request.path == "/redwingrudder/machines":
            rows = []
            names = {w.machine for w in self.world.workers.values() if w.machine}
            for name in sorted(names):
                worker = self._worker(name)
                state = self.state.get(name) or ("up" if worker else "down")
                known = next(
                    w for w in self.world.workers.values() if w.machine == name
                )
                rows.append(
                    {
                        "machine": name,
                        "pool": self.world.service,
                        "state": state,
                        "zone": "hobart",
                        "labels": [known.kind, known.rack],
                        "capacity": known.capacity,
                        "id": worker.worker_id if worker else "",
                    }
                )
            return 200, {"machines": rows, "nextPageToken": ""}
        if request.path == "/redwingrudder/machine-upkeep":
            return self._upkeep(request)
        return 404, {}

    def _upkeep(self, request):
        machine, wave = request.body["machine"], request.body["wave"]
        holder = request.headers.get("x-lease-holder", "")
        token = int(request.headers.get("x-fencing-token", 0))
        self.world.log("upkeep order", machine=machine, holder=holder, token=token)
        if token < self.token.get(machine, 0):
            return 409, {"reason": "fence"}
        self.token[machine] = token
        text = self.world.store.read(f"op/wave/{wave}")
        if text is None or machine not in json.loads(text)["machines"]:
            return 409, {"reason": "wave"}
        if machine in self.upkept.get(wave, ()):
            return 200, {}
        worker = self._worker(machine)
        if worker is None or self.state.get(machine):
            return 409, {"reason": "busy"}
        self.upkept.setdefault(wave, set()).add(machine)
        self.orders.append((self.world.now, machine, wave))
        self.state[machine] = "upkeep"
        worker.kill()
        self.world.store.remove(f"servers/{worker.worker_id}")
        asyncio.get_running_loop().call_later(
            self.upkeep_s, lambda: asyncio.ensure_future(self._back(worker))
        )
        return 200, {}

    async def _back(self, old):
        new = self.world.add_worker(f"{old.worker_id}x", old.rack, old.kind, old.gpu)
        new.machine, old.machine = old.machine, ""
        self.state.pop(new.machine, None)
        await new.start()


def main(folder, scenario):
    """Run a scenario with the disruption, or without it if TROUBLE is 0.

    It returns whether the rule held. The exit status is 1 if not, and 2 if the
    case could not run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(LONGEST_S):
            return await scenario(trouble)

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        sys.stderr.write(f"the case could not run: {type(error).__name__}: {error}\n")
        return 2
    print(f"trouble={int(trouble)}: the rule {'held' if held else 'was broken'}")
    return 0 if held else 1
