"""A small deployment of real processes for the cases of the review."""

import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERE = pathlib.Path(__file__).resolve().parent
HEARTBEAT_MS = 1500
SERVICE = "scoring"
HOST = "jobs.example"
KEY = "key-one"
CAPACITY = {"cpu": 128000, "memMb": 262144, "gpu": 8}
# With the bounds of the site stl-remind.
SETTINGS = """
nodeName = "frontend-{zone}-{index}"
role = "node"
machineClass = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "{zone}"
region = "r"
internalPorts = [{peers}, {metrics}]
seeds = []
bootstrap = true
faultCounted = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform","advice","upkeep","sharing"]
controlMode = "call"
advice = "{advice}"
[zones]
z1 = "r"
z2 = "r"
z3 = "r"
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
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = false
revokeMs = 5000
recoveryS = 12
maxHoldMs = 10000
stopTimeoutMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 3
checkpointIntervalS = 1
restoreMs = 250
noticeMs = 4500
migrateS = 1.5
maintenanceS = 2
requireFencing = true
leaseMs = 3000
thawSlackMs = 300
pacingMs = 100
impactMs = 4000
reclaimMs = 2700
[platform]
address = "127.0.0.1:{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
[cloud]
address = ""
ratePerS = 60.0
duties = []
dutyPerS = 60.0
"""


# Where the bounds of the site stl-remind-grown differ.
GROWN_BOUNDS = {
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


class CannotRun(Exception):
    """The case cannot run: a process did not start or did not serve."""


def free_ports(count):
    """Return the first of some consecutive ports that are free."""
    for first in range(random.SystemRandom().randrange(20000, 31000), 32000, 41):
        sockets = []
        try:
            for port in range(first, first + count):
                candidate = socket.socket()
                sockets.append(candidate)
                candidate.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for candidate in sockets:
                candidate.close()
    raise CannotRun("no free ports")


def configuration(version=1, services=(SERVICE,), **route):
    """Return a configuration with the queues ``patient`` and ``urgent``.

    Args:
        version: Its version.
        services: Names of the services.
        route: Fields of both routes that differ from the usual ones.
    """
    routes = [
        {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "service": SERVICE,
            "priority": priority,
            "maxAttempts": 4,
            "stretchFactor": 3.0,
            "targetLatencyMs": 1000,
            "timeoutMs": 3000,
            **route,
        }
        for name, priority in (("patient", 1), ("urgent", 0))
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "enforceCapacity": True} for name in services],
        "tenants": [{"name": "t1", "apiKeys": [KEY], "guaranteed": {"gpu": 8}}],
        "limits": {},
    }


def call(method, port, path, body=None, timeout_s=3.0, headers=()):
    """Return status and body of the answer; status 0 means none."""
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}",
        json.dumps(body).encode() if body is not None else None,
        dict(headers),
        method=method,
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            return answer.status, json.loads(answer.read() or b"{}")
    except urllib.error.HTTPError as error:
        return error.code, {}
    except (OSError, ValueError):
        return 0, {}


class Rig:
    """Store, workers and nodes; ``record.txt`` in the folder of the case.

    Args:
        folder: Folder of the case.
        node_count: Number of nodes.
        document: Configuration; None for that of ``configuration``.
        advice: Options of the advice service; None if there is none.
        bounds: Bounds that differ from those in ``SETTINGS``.
    """

    def __init__(self, folder, node_count=3, document=None, advice=None, bounds=None):
        self.record_path = pathlib.Path(folder) / "record.txt"
        self.record_path.unlink(missing_ok=True)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.worker_record = self.folder / "workers.jsonl"
        self.worker_record.touch()
        self.late_file = self.folder / "late.jsonl"
        self.lock = threading.Lock()
        self.rows = []
        self.processes = {}
        self.workers = {}
        self.node_count = node_count
        self.node_settings = {}
        self.first_port = free_ports(1 + 4 * node_count + 40)
        self.store_port = self.first_port
        self.next_worker_port = self.first_port + 1 + 4 * node_count
        self.advice = advice
        self.bounds = bounds or {}
        self.advice_port = self.first_port + 4 * node_count + 40 if advice else 0
        self.started_at = time.monotonic()
        self.document = document or configuration()

    # Processes.

    def start_all(self, workers):
        """Start the store, the workers and the nodes, and wait for service."""
        self._spawn("store", [HERE / "store.py", self.store_port, HEARTBEAT_MS])
        self._wait(
            lambda: call("GET", self.store_port, "/standin/get?key=x")[0] == 200, 5
        )
        if self.advice:
            options = {
                "port": self.advice_port,
                "record": str(self.worker_record),
                **self.advice,
            }
            self._spawn("advice", [HERE / "advice.py", json.dumps(options)])
        self.put("op/config", self.document)
        for name, options in workers.items():
            self.add_worker(name, **options)
        for index in range(self.node_count):
            self.start_node(index)
        self._wait(
            lambda: all(
                call("GET", self.ready_port(i), "/redwingrudder/ready")[0] == 200
                for i in range(self.node_count)
            ),
            15,
        )

    def _spawn(self, name, arguments, **environment):
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, *map(str, arguments)],
            cwd=ROOT,
            env={**os.environ, **environment},
            stdout=log,
            stderr=log,
        )

    def _wait(self, condition, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.1)
        raise CannotRun("the processes do not serve")

    def wait_for(self, condition, seconds):
        """Return whether a condition holds within some seconds."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if condition():
                return True
            time.sleep(0.02)
        return False

    def start_node(self, index):
        """Start a node with the command of the deploy file."""
        if index not in self.node_settings:
            port = self.first_port + 1 + 4 * index
            settings = SETTINGS.format(
                zone=f"z{index % 3 + 1}",
                index=index,
                peers=port,
                metrics=port + 1,
                front=port + 2,
                ready=port + 3,
                store=self.store_port,
                advice=f"127.0.0.1:{self.advice_port}" if self.advice_port else "",
            )
            for name, value in self.bounds.items():
                settings = re.sub(f"(?m)^{name} = .*$", f"{name} = {value}", settings)
            path = self.folder / f"node{index}.toml"
            path.write_text(settings, "utf-8")
            self.node_settings[index] = path
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        program, *arguments = deploy["roles"]["node"]["run"].split()
        assert program == "python3"
        self._spawn(
            f"node{index}",
            arguments,
            PYTHONPATH=str(ROOT / "target/deps"),
            REDWINGRUDDER_CONFIG=str(self.node_settings[index]),
        )

    def add_worker(self, name, **options):
        """Start a worker; its options are those of ``worker.py``."""
        port = self.next_worker_port
        self.next_worker_port += 1
        self.workers[name] = {
            "id": name,
            "port": port,
            "store_port": self.store_port,
            "record": str(self.worker_record),
            "late_file": str(self.late_file),
            "labels": ["a", "r1"],
            "capacity": CAPACITY,
            "service": SERVICE,
            "heartbeat_ms": HEARTBEAT_MS,
            "max_hold_ms": 10000,
            "stop_ms": 200,
            **options,
        }
        self.start_worker(name)

    def start_worker(self, name, **changes):
        """Start a worker's process, also again under its id and address."""
        self.workers[name].update(changes)
        self._spawn(name, [HERE / "worker.py", json.dumps(self.workers[name])])

    def drain_worker(self, name, drain_ms):
        """Let a worker report that it drains."""
        port = self.workers[name]["port"]
        call("POST", port, "/standin/drain", {"drain_ms": drain_ms})
        self.note("worker drains", worker=name)

    def remove_worker(self, name):
        """End a worker that has drained; its entry goes with it."""
        self.kill(name)
        body = {"id": name, "entry": None}
        call("POST", self.store_port, "/standin/worker", body)
        self.note("worker left", worker=name)

    def kill(self, name, signal_number=signal.SIGKILL):
        """Send a signal to a process that this rig has started."""
        process = self.processes[name]
        process.send_signal(signal_number)
        if signal_number == signal.SIGKILL:
            process.wait()
        self.note("signal", process=name, signal=signal.Signals(signal_number).name)

    def close(self):
        """End all processes, and write the record."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        rows = sorted(self.rows + self.worker_rows(), key=lambda row: row["at"])
        with self.record_path.open("w") as record:
            for row in rows:
                row = {**row, "at": round(row["at"] - self.started_at, 3)}
                record.write(json.dumps(row) + "\n")
        if os.environ.get("KEEP_LOGS"):
            target = pathlib.Path(os.environ["KEEP_LOGS"])
            target.mkdir(parents=True, exist_ok=True)
            for path in self.folder.iterdir():
                (target / path.name).write_bytes(path.read_bytes())
        self.temporary.cleanup()

    # What is sent and seen.

    def note(self, event, **fields):
        with self.lock:
            row = {"at": round(time.monotonic(), 3), "event": event, **fields}
            self.rows.append(row)

    def put(self, key, value):
        """Write a key as the operator."""
        call("POST", self.store_port, "/standin/put", {"key": key, "value": value})
        self.note("operator wrote", key=key)

    def front_port(self, index):
        return self.first_port + 1 + 4 * index + 2

    def ready_port(self, index):
        return self.first_port + 1 + 4 * index + 3

    def coordinator(self):
        """Return the index of the node that coordinates, None if unknown."""
        answer = call("GET", self.store_port, "/standin/get?key=coordination/holder")
        value = answer[1].get("value")
        return int(json.loads(value)["node"].rpartition("-")[2]) if value else None

    def client(self, method, job="", body=None, queue="patient", node=0, key=KEY):
        """Send a client's call to a node and note the answer."""
        headers = {
            "Host": HOST,
            "Authorization": f"Token {key}",
            "Content-Type": "application/json",
            "X-Timeout-Ms": "3000",
        }
        status, answer = call(
            method, self.front_port(node), f"/{queue}/{job}", body, 3.0, headers.items()
        )
        self.note(
            "client", method=method, job=job, node=node, status=status, answer=answer
        )
        return status, answer

    def submit(self, job, body, queue="patient"):
        """Submit a job, again at other nodes until it is accepted."""
        for attempt in range(20):
            node = attempt % self.node_count
            if self.client("POST", job, body, queue, node)[0] == 200:
                return
            time.sleep(0.3)
        raise CannotRun("the job was not accepted")

    def state(self, job, queue="patient"):
        """Return the state of a job as some node shows it, "" if none does."""
        for node in range(self.node_count):
            status, answer = self.client("GET", job, None, queue, node)
            if status == 200:
                return answer["state"]
            if status == 410:
                return "410"
        return ""

    def worker_rows(self):
        """Return what the workers have recorded."""
        lines = self.worker_record.read_text().splitlines()
        return [json.loads(line) for line in lines if line.endswith("}")]

    def starts(self, job=""):
        return [
            row
            for row in self.worker_rows()
            if row["event"] == "start" and row["task"].startswith(job)
        ]


def main(case, folder):
    """Run a case; it returns what broke the rule, "" if it held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    status = 2
    rig = None
    try:
        rig, run = case(folder)
        broken = run(rig, trouble)
        rig.note("result", broken=broken)
        print(f"broken: {broken}" if broken else "the rule held")
        status = 1 if broken else 0
    except CannotRun as error:
        print(f"the case could not run: {error}")
    except Exception:
        traceback.print_exc()
    finally:
        if rig is not None:
            rig.close()
    sys.exit(status)
