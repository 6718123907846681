"""A small deployment of real node processes with stand-ins of the platform."""

import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

FOLDER = pathlib.Path(__file__).resolve().parent
ROOT = FOLDER.parent.parent
HOST = "127.0.0.1"
HEARTBEAT_MS = 1500
MAX_HOLD_MS = 10_000
STOP_MS = 200
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TENANT_KEY = "key-1"
QUEUE_HOST = "nony24.example"
PREFIX = "/lohu930/"  # queue of priority 1
LOW_PREFIX = "/bopu901/"  # queue of priority 2
MAX_ATTEMPTS = 4
LIMIT_S = 115  # a script may run for 120 s
# Exit statuses of a case.
RULE_HELD, RULE_BROKEN, CASE_NOT_RUN = 0, 1, 2

# The settings of a process as DEPLOY.md shows them, with the bounds of a
# small site.
SETTINGS = """
nodeName = "{name}"
role = "node"
machineClass = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "z-a"
region = "z"
internalPorts = [{internal},{internal_last}]
seeds = []
bootstrap = true
faultCounted = true
discovery = "platform"
entry = "vip"
heartbeatMs = {heartbeat_ms}
contracts = ["base","drain","config","cost","recover","sched","tenants","platform"]
controlMode = "call"
[zones]
z-a = "z"
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
contactMs = 3000
ackTimeoutMs = 4000
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
recoveryS = 12
maxHoldMs = {max_hold_ms}
stopTimeoutMs = {stop_ms}
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 3
checkpointIntervalS = 1
restoreMs = 250
requireFencing = true
leaseMs = 3000
[platform]
address = "127.0.0.1:{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
"""

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": f"queue-{priority}",
            "host": QUEUE_HOST,
            "prefix": prefix,
            "service": "pool",
            "timeoutMs": 3000,
            "priority": priority,
            "maxAttempts": MAX_ATTEMPTS,
            "stretchFactor": 3.0,
            "targetLatencyMs": 1000,
        }
        for priority, prefix in ((1, PREFIX), (2, LOW_PREFIX))
    ],
    "services": [{"name": "pool", "enforceCapacity": True}],
    "tenants": [{"name": "tenant-1", "apiKeys": [TENANT_KEY]}],
    "limits": {},
}


class CaseError(Exception):
    """The case could not run."""


def free_ports(count):
    """Return ports that are free and below the range of outgoing ones."""
    ports = []
    for port in range(random.SystemRandom().randrange(20_000, 31_000), 32_700):
        with socket.socket() as candidate:
            try:
                candidate.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CaseError("too few free ports")


def call(port, method, path, body=None, headers=None, timeout_s=4.0):
    """Return status and document; status 0 if there is no answer."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout_s)
    try:
        content = None if body is None else json.dumps(body)
        connection.request(method, path, content, headers or {})
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read() or b"{}")
    except (OSError, ValueError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()


class Deployment:
    """Starts and ends the processes of a case, and keeps its record.

    Args:
        case_folder: Folder of the case, where ``record.txt`` is written.
        node_count: Number of nodes.
        worker_count: Number of workers.
        racks: Rack of each worker, "r1-1" for all if it is left out.
    """

    def __init__(self, case_folder, node_count, worker_count, racks=()):
        self._record = open(
            pathlib.Path(case_folder) / "record.txt", "w", encoding="utf-8"
        )
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.begun_at = time.time()
        ports = iter(free_ports(2 + 2 * worker_count + node_count * 6))
        self.worker_store_port, self.admin_port = next(ports), next(ports)
        self.worker_ports = [next(ports) for _ in range(worker_count)]
        self.store_ports = [next(ports) for _ in range(node_count)]
        self.front_ports, self.ready_ports, self.internal_ports = [], [], []
        for _ in range(node_count):
            self.front_ports.append(next(ports))
            self.ready_ports.append(next(ports))
            self.internal_ports.append((next(ports), next(ports)))
        self._racks = racks or ["r1-1"] * worker_count
        self.processes = {}
        self.worker_log = self.folder / "workers.log"
        self.store_log = self.folder / "store.log"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        self._command = deploy["roles"]["node"]["run"].split()
        if not (ROOT / "target/deps").is_dir():
            raise CaseError("the build line of deploy/system.toml has not run")
        self.note(f"disruption: {'yes' if TROUBLE else 'no (TROUBLE=0)'}")

    def note(self, text, at=None):
        """Write a line to the record, with seconds since the beginning."""
        at = time.time() if at is None else at
        self._record.write(f"{at - self.begun_at:8.3f} {text}\n")
        self._record.flush()

    def start_store(self):
        nodes = ",".join(map(str, self.store_ports))
        self._start_stand_in(
            "store",
            "store.py",
            nodes,
            self.worker_store_port,
            self.admin_port,
            self.store_log,
            HEARTBEAT_MS,
        )
        self.wait_for(lambda: self.admin("/state"), 5.0, "the store")
        self.admin("/put", {"key": "op/config", "value": CONFIGURATION})

    def start_worker(self, index, *service_and_fence, name="", registers=True):
        """Start a worker, if wanted one of another service and system.

        Args:
            index: The worker.
            *service_and_fence: See the stand-in.
            name: Its id, w and the index if it is left out.
            registers: Whether it writes its entry.
        """
        name = name or f"w{index}"
        self._start_stand_in(
            name,
            "worker.py",
            name,
            self.worker_ports[index],
            self.worker_store_port if registers else 0,
            self.worker_log,
            HEARTBEAT_MS,
            MAX_HOLD_MS,
            STOP_MS,
            self._racks[index],
            *service_and_fence,
        )

    def _start_stand_in(self, name, program, *arguments):
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-B", str(FOLDER / program), *map(str, arguments)],
            stdout=subprocess.DEVNULL,
            stderr=open(self.folder / f"{name}.err", "ab"),
        )

    def start_node(self, index):
        """Start a node with the command of the deploy file."""
        internal, internal_last = self.internal_ports[index]
        path = self.folder / f"n{index}.toml"
        path.write_text(
            SETTINGS.format(
                name=f"n{index}",
                internal=internal,
                internal_last=internal_last,
                front=self.front_ports[index],
                ready=self.ready_ports[index],
                store=self.store_ports[index],
                heartbeat_ms=HEARTBEAT_MS,
                max_hold_ms=MAX_HOLD_MS,
                stop_ms=STOP_MS,
            ),
            "utf-8",
        )
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["PYTHONPATH"] = "target/deps"
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["REDWINGRUDDER_CONFIG"] = str(path)
        self.processes[f"n{index}"] = subprocess.Popen(
            self._command,
            cwd=ROOT,
            env=environment,
            stdout=open(self.folder / f"n{index}.log", "ab"),
            stderr=subprocess.STDOUT,
        )

    def start_all(self):
        """Start the store, all workers and all nodes, and wait for them."""
        self.start_store()
        for index in range(len(self.worker_ports)):
            self.start_worker(index)
        for index in range(len(self.front_ports)):
            self.start_node(index)

    def kill(self, name):
        self.note(f"SIGKILL to {name}")
        self.processes[name].kill()
        self.processes[name].wait()

    def terminate(self, name, grace_s=6.0):
        """Stop a process as the platform does."""
        self.note(f"SIGTERM to {name}")
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(grace_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self.note(f"{name} has ended with status {process.returncode}")

    def admin(self, path, body=None):
        """Call the store's admin interface; returns its state, {} if down."""
        return call(self.admin_port, "POST", path, body or {})[1]

    def is_ready(self, index):
        return call(self.ready_ports[index], "GET", "/redwingrudder/ready")[0] == 200

    def request(
        self, index, method, job_id="", body=None, timeout_s=3.0, prefix=PREFIX
    ):
        """Send a client's call to a node; the record shows it."""
        headers = {
            "Host": QUEUE_HOST,
            "Authorization": f"Token {TENANT_KEY}",
            "X-Timeout-Ms": str(int(timeout_s * 1000)),
            "Content-Type": "application/json",
        }
        path = prefix + job_id
        port = self.front_ports[index]
        answer = call(port, method, path, body, headers, timeout_s + 1.0)
        self.note(f"n{index} {method} {path} -> {answer[0]} {json.dumps(answer[1])}")
        return answer

    def submit(
        self, index, job_id, tasks, work_ms, cpu=11_000, prefix=PREFIX, **fields
    ):
        """Hand in a job of one step, as a client does, with retries.

        Args:
            index: The node.
            job_id: Id of the job.
            tasks: Number of its tasks.
            work_ms: Time that each of them works, which is also the estimate.
            cpu: Thousandths of a core of each of them.
            prefix: Prefix of the queue.
            **fields: Further fields of the step.

        Returns:
            Whether the job was accepted.
        """
        step = {"count": tasks, "cpu": cpu, "memMb": 29_000, "gpu": 1}
        step |= {"estimatedMs": work_ms, **fields}
        body = {"spec": json.dumps({"ms": work_ms}), "steps": [step]}
        for _ in range(5):
            if self.request(index, "POST", job_id, body, prefix=prefix)[0] == 200:
                return True
            time.sleep(1.0)
        return False

    def state(self, index, job_id):
        return self.request(index, "GET", job_id)[1].get("state", "")

    def wait_for(self, condition, limit_s, what):
        """Wait until a condition holds; returns its value."""
        deadline = time.time() + limit_s
        while time.time() < deadline:
            value = condition()
            if value:
                return value
            time.sleep(0.05)
        raise CaseError(f"waited {limit_s:g} s in vain for {what}")

    def worker_events(self):
        """Return the starts and ends that the workers have written."""
        try:
            lines = self.worker_log.read_text("utf-8").splitlines()
        except FileNotFoundError:
            return []
        return [json.loads(line) for line in lines]

    def note_logs(self):
        """Add what the store and the workers saw to the record."""
        rows = self.worker_events()
        if self.store_log.exists():
            rows += map(json.loads, self.store_log.read_text("utf-8").splitlines())
        self.note("--- seen by the store and the workers")
        for row in sorted(rows, key=lambda row: row["t"]):
            fields = [f"{k}={v}" for k, v in row.items() if k not in ("t", "event")]
            self.note(f"{row['event']} {' '.join(fields)}", row["t"])

    def close(self):
        """End all processes and remove the temporary folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.note("all processes have ended")
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            for path in self.folder.glob("*.log"):
                (pathlib.Path(kept) / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()
        self._record.close()


def run_case(case_folder, node_count, worker_count, play, racks=()):
    """Play a case and exit: 1 if the rule broke, 0 if it held, 2 if not run.

    Args:
        case_folder: Folder of the case.
        node_count: Number of nodes.
        worker_count: Number of workers.
        play: Function of the deployment; returns a text that says how the
            rule was broken, "" if it held.
        racks: See ``Deployment``.
    """
    for number in (signal.SIGALRM, signal.SIGTERM):
        signal.signal(number, _end_case)
    signal.alarm(LIMIT_S)
    status = CASE_NOT_RUN
    deployment = None
    try:
        deployment = Deployment(case_folder, node_count, worker_count, racks)
        broken = play(deployment)
        deployment.note_logs()
        deployment.note(f"BROKEN: {broken}" if broken else "the rule held")
        status = RULE_BROKEN if broken else RULE_HELD
    except Exception as error:
        traceback.print_exc()
        if deployment is not None:
            deployment.note_logs()
            deployment.note(f"the case could not run: {error!r}")
    finally:
        signal.alarm(0)
        if deployment is not None:
            deployment.close()
    sys.exit(status)


def _end_case(number, frame):
    raise CaseError(f"ended by {signal.Signals(number).name}")
