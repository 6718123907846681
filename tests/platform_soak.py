"""Randomized faults on real nodes beside the stand-in of the platform.

Run as ``python -m tests.platform_soak --seeds 5 --first 1``. Each seed starts
the stand-in and three nodes as processes, submits jobs, injects faults from
outside and checks what callers and workers saw. Only processes that the soak
started are ended, by their ids.
"""

import argparse
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
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
NODE_COUNT = 3
WORKER_COUNT = 3
REQUEST_TIMEOUT_S = 4.0
FAULT_KINDS = (
    "kill",
    "term",
    "pause",
    "store",
    "worker",
    "crash",
    "late",
    "hup",
    "cancel",
)
FAULT_KINDS_WITH_LINKS = (*FAULT_KINDS, "link", "link")
# Seeds below were drawn before there were proxies and keep their faults.
FIRST_LINK_SEED = 500
LINK_MODES = ("delay", "cut", "one_way", "reset", "mute")
JOB_END_TIMEOUT_S = 40.0  # from the last fault until all jobs must have ended
# Seeds that failed once. 3 and 105: a start without an answer reached the next
# life of a worker that had restarted, beside the run that replaced it.
# 600: a start that was sent again after a silence of its worker ran beside its
# successor.
REGRESSION_SEEDS = (3, 105, 600)

SETTINGS = """
nodeName = "{name}"
ip = "127.0.0.1"
zone = "z"
heartbeatMs = 1500
internalPorts = [{peers}, {metrics}]
[listen]
front = "127.0.0.1:{front}"
readiness = "127.0.0.1:{ready}"
[bounds]
maxHoldMs = 6000
status_s = 120
graceS = 3
[platform]
address = "127.0.0.1:{store}"
"""


class InvariantViolation(Exception):
    """A promise was broken; the text says which."""


def free_ports(count):
    """Return a range of ports that nothing listens on."""
    for first in range(random.SystemRandom().randrange(20000, 50000), 60000, 37):
        try:
            sockets = []
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
    raise RuntimeError("no free ports")


def send_request(method, url, body=None, timeout_s=REQUEST_TIMEOUT_S):
    """Return status and body; status 0 means no answer."""
    headers = {"Host": "jobs.example", "Authorization": "Token key"}
    content = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, content, headers, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            return answer.status, json.loads(answer.read() or b"{}")
    except urllib.error.HTTPError as error:
        return error.code, {}
    except (OSError, ValueError):
        return 0, {}


class Deployment:
    """The processes of one seed.

    Args:
        folder: Settings and logs lie here.
    """

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.first_port = free_ports(2 * (1 + WORKER_COUNT) + 5 * NODE_COUNT)
        # The last ports are those of the proxies: control, a way to each
        # worker, a way from each node to the store.
        self.proxy_control_port = self.first_port + 1 + WORKER_COUNT + 4 * NODE_COUNT
        first_worker_proxy = self.proxy_control_port + 1
        self.store_proxy_ports = [
            first_worker_proxy + WORKER_COUNT + index for index in range(NODE_COUNT)
        ]
        self.worker_proxy_ports = [
            first_worker_proxy + index for index in range(WORKER_COUNT)
        ]
        proxy_pairs = [f"{port}:{self.first_port}" for port in self.store_proxy_ports]
        for index, port in enumerate(self.worker_proxy_ports):
            proxy_pairs.append(f"{port}:{self.first_port + 1 + index}")
        self.processes = {}
        self.begin(
            "standin",
            [
                "-m",
                "tests.platform_standin",
                self.first_port,
                WORKER_COUNT,
                first_worker_proxy,
            ],
        )
        self.begin(
            "proxy",
            ["-m", "tests.platform_proxy", self.proxy_control_port, *proxy_pairs],
        )
        for index in range(NODE_COUNT):
            self.start_node(index)

    def begin(self, name, arguments, **environment):
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, *map(str, arguments)],
            cwd=ROOT,
            env={**os.environ, **environment},
            stdout=log,
            stderr=log,
        )

    def start_node(self, index):
        first = self.first_port + 1 + WORKER_COUNT + 4 * index
        settings = SETTINGS.format(
            name=f"n{index}",
            peers=first,
            metrics=first + 1,
            front=first + 2,
            ready=first + 3,
            store=self.store_proxy_ports[index],
        )
        path = self.folder / f"n{index}.toml"
        path.write_text(settings, "utf-8")
        self.begin(f"n{index}", ["deploy/node.py"], REDWINGRUDDER_CONFIG=str(path))

    def front(self, index, path):
        port = self.first_port + 1 + WORKER_COUNT + 4 * index + 2
        return f"http://127.0.0.1:{port}{path}"

    def control(self, body=None):
        return send_request(
            "POST", f"http://127.0.0.1:{self.first_port}/control", body or {}
        )[1]

    def set_link_mode(self, port, mode):
        """Set the mode of a proxy, see ``platform_proxy``."""
        send_request(
            "POST", f"http://127.0.0.1:{self.proxy_control_port}/", {str(port): mode}
        )

    def signal(self, index, signal_number):
        process = self.processes[f"n{index}"]
        if process.poll() is None:
            process.send_signal(signal_number)

    def restart(self, index):
        process = self.processes[f"n{index}"]
        if process.poll() is None:
            process.kill()
        process.wait()
        self.start_node(index)

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


class Soak:
    """One seed: jobs, faults and checks."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.seed = seed
        self.random = random.Random(seed)
        self.accepted = {}
        self.refused = set()
        self.cancelled = set()

    def run(self, seconds):
        self._wait_until_ready()
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self._submit()
            if self.random.random() < 0.25:
                self._inject_fault()
            time.sleep(self.random.uniform(0.05, 0.3))
        self._clear_faults()
        self._wait_for_jobs()
        self._check_runs()

    def _wait_until_ready(self):
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            url = self.deployment.front(0, "/urgent/")
            if send_request("GET", url)[0] == 200:
                return
            time.sleep(0.1)
        raise InvariantViolation("the nodes did not become ready")

    def _submit(self):
        job_id = f"{self.random.getrandbits(64):016x}"
        queue = self.random.choice(("urgent", "patient"))
        gang = self.random.random() < 0.5
        tasks = self.random.randint(1, 3)
        step = {"count": tasks, "cpu": 1000, "memMb": 1000, "gpu": 1}
        spec = {"run_s": round(self.random.uniform(0.1, 1.5), 2)}
        steps = [{**step, "gang": gang}]
        if self.random.random() < 0.3:
            steps.append({**step, "count": 1, "after": [0]})
        body = {"spec": json.dumps(spec), "steps": steps}
        statuses = []
        for _ in range(3):
            index = self.random.randrange(NODE_COUNT)
            url = self.deployment.front(index, f"/{queue}/{job_id}")
            status, _ = send_request("POST", url, body, 1.5)
            statuses.append(status)
            if status == 200:
                self.accepted[job_id] = queue
                return
        if all(status in (429, 503) for status in statuses):
            self.refused.add(job_id)

    def _inject_fault(self):
        deployment, choose = self.deployment, self.random.choice
        index = self.random.randrange(NODE_COUNT)
        kind = choose(
            FAULT_KINDS if self.seed < FIRST_LINK_SEED else FAULT_KINDS_WITH_LINKS
        )
        if kind == "kill":
            deployment.restart(index)
        elif kind == "term":
            deployment.signal(index, signal.SIGTERM)
            time.sleep(0.3)
            self._restart_ended_nodes()
        elif kind == "pause":
            deployment.signal(index, signal.SIGSTOP)
            time.sleep(self.random.uniform(0.5, 4.0))
            deployment.signal(index, signal.SIGCONT)
        elif kind == "store":
            mode = choose(("down", "silent", "slow", "lossy"))
            deployment.control({"store": mode})
            time.sleep(self.random.uniform(0.5, 3.0))
            deployment.control({"store": "up"})
        elif kind in ("worker", "late"):
            mode = "silent" if kind == "worker" else "late"
            name = str(self.random.randrange(WORKER_COUNT))
            deployment.control({"workers": {name: mode}})
            time.sleep(self.random.uniform(0.5, 2.0))
            deployment.control({"workers": {name: "up"}})
        elif kind == "crash":
            name = str(self.random.randrange(WORKER_COUNT))
            deployment.control({"workers": {name: "crash"}})
        elif kind == "link":
            port = choose(deployment.store_proxy_ports + deployment.worker_proxy_ports)
            deployment.set_link_mode(port, choose(LINK_MODES))
            time.sleep(self.random.uniform(0.3, 4.0))
            deployment.set_link_mode(port, "up")
        elif kind == "hup":
            deployment.signal(index, signal.SIGHUP)
        elif self.accepted:
            job_id = choose(sorted(self.accepted))
            path = f"/{self.accepted[job_id]}/{job_id}"
            if (
                send_request("DELETE", deployment.front(index, path), None, 1.5)[0]
                == 200
            ):
                self.cancelled.add(job_id)

    def _restart_ended_nodes(self):
        for index in range(NODE_COUNT):
            process = self.deployment.processes[f"n{index}"]
            if process.poll() is not None:
                self.deployment.start_node(index)

    def _clear_faults(self):
        self.deployment.control(
            {"store": "up", "workers": {str(i): "up" for i in range(WORKER_COUNT)}}
        )
        for port in (
            self.deployment.store_proxy_ports + self.deployment.worker_proxy_ports
        ):
            self.deployment.set_link_mode(port, "up")
        for index in range(NODE_COUNT):
            self.deployment.signal(index, signal.SIGCONT)
        time.sleep(0.2)
        self._restart_ended_nodes()

    def _wait_for_jobs(self):
        """All accepted jobs end, and their state can be read at any node."""
        queues_by_job = dict(self.accepted)
        deadline = time.monotonic() + JOB_END_TIMEOUT_S
        while queues_by_job and time.monotonic() < deadline:
            self._restart_ended_nodes()
            for job_id, queue in list(queues_by_job.items()):
                index = self.random.randrange(NODE_COUNT)
                path = f"/{queue}/{job_id}"
                status, body = send_request("GET", self.deployment.front(index, path))
                state = body.get("state", "")
                if status == 410:
                    raise InvariantViolation(f"accepted job {job_id} is unknown")
                if state == "failed":
                    raise InvariantViolation(
                        f"job {job_id} failed without a failed run"
                    )
                if state == "cancelled" and job_id not in self.cancelled:
                    # A cancellation whose answer was lost still counts.
                    self.cancelled.add(job_id)
                if state in ("done", "cancelled"):
                    del queues_by_job[job_id]
            time.sleep(0.2)
        if queues_by_job:
            raise InvariantViolation(f"jobs did not end: {sorted(queues_by_job)}")

    def _check_runs(self):
        runs = self.deployment.control()["runs"]
        runs_by_task = {}
        for task, run, begin, end, how, worker, noted in runs:
            row = (begin, end, run, how, worker, noted)
            runs_by_task.setdefault(task, []).append(row)
        for task, rows in runs_by_task.items():
            rows.sort()
            for earlier, later in zip(rows, rows[1:], strict=False):
                if not earlier[1] or later[0] < earlier[1]:
                    raise InvariantViolation(
                        f"{task} ran twice at a time: {earlier} {later}"
                    )
            # An end that its worker forgot before it was acknowledged is one
            # that nobody can know of, as seed 8 showed with a worker that fell
            # silent and crashed.
            noted = [row for row in rows if row[3] == "done" and row[5]]
            if noted and any(row[0] > noted[0][1] for row in rows):
                raise InvariantViolation(f"{task} ran again after it was done: {rows}")
            if task.partition(".")[0] in self.refused:
                raise InvariantViolation(
                    f"{task} ran, but all its submissions were refused"
                )


def run_seed(seed, seconds, folder):
    """Run one seed in a folder of its own.

    Raises:
        Broken: A promise was broken.
    """
    deployment = Deployment(folder)
    try:
        Soak(deployment, seed).run(seconds)
    finally:
        deployment.close()


def main():
    """Run seeds and print one line for each."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    arguments = parser.parse_args()
    failed = 0
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    for seed in [*REGRESSION_SEEDS, *seeds]:
        folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        try:
            run_seed(seed, arguments.seconds, folder)
            print(f"seed {seed}: kept", flush=True)
        except InvariantViolation as error:
            failed += 1
            print(f"seed {seed}: BROKEN {error}; logs in {folder}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
