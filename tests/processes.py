"""Starts platform, workers and nodes as processes on the loopback interface.

The platform and the workers are the stand-ins of ``redwingrudder.standins``.
"""

import contextlib
import http.client
import json
import os
import pathlib
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

import redwingrudder

HOST = "127.0.0.1"
DOMAIN, REMOTE_DOMAIN = "hobart", "devonport"
# Longer than a takeover takes: workers stop their tasks after this time
# without an owner, and a store lease of 3 s has to expire before the next
# owner claims the workers.
WORKER_LEASE_S = 7.0
WAIT_TIMEOUT_S = 30.0  # long, since only a failing test waits for so long
POLL_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 35.0  # longer than a node lets a long poll wait
ACCELERATORS = 4
CONFIGURATION = {
    "format_version": 1,
    "organisations": {"huon": {"guarantees": []}},
    "classes": {"proof": {"target_s": 60.0}},
}
# Returned in place of an HTTP status.
STATUS_UNREACHABLE = 0  # the connection was refused
STATUS_CONNECTION_BROKEN = -1  # the connection broke, or the request timed out
LOG_TAIL_CHARS = 1500  # of each log, shown when a wait fails
_SOURCES = pathlib.Path(redwingrudder.__file__).parent.parent


class Daemon:
    """One process of the project; it is killed at the end of the test."""

    def __init__(self, test_case, *arguments, log=subprocess.DEVNULL):
        self._popen = subprocess.Popen(
            [sys.executable, "-m", "redwingrudder", *arguments],
            env={**os.environ, "PYTHONPATH": str(_SOURCES)},
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=log,
        )
        test_case.addCleanup(self.kill)

    def printed_address(self):
        if not select.select([self._popen.stdout], [], [], WAIT_TIMEOUT_S)[0]:
            raise AssertionError(
                f"a stand-in printed no address within {WAIT_TIMEOUT_S} s"
            )
        return self._popen.stdout.readline().split()[-1].decode()

    def send(self, signal_number):
        self._popen.send_signal(signal_number)

    def kill(self):
        """Kill the process, even if it is paused."""
        self._popen.kill()
        self._popen.wait()
        self._popen.stdout.close()

    def has_ended(self):
        return self._popen.poll() is not None

    def exit_code(self):
        return self._popen.poll()


class Cluster:
    """Platform, workers and nodes of one test, all killed at its end.

    The constructor returns when every node is ready and knows an owner of the
    failure domain ``DOMAIN``.
    """

    def __init__(self, test_case, workers=3, remote=False):
        self._test_case = test_case
        folder = tempfile.TemporaryDirectory()
        test_case.addCleanup(folder.cleanup)
        self._folder = pathlib.Path(folder.name)
        self.platform = Daemon(test_case, "platform", "--port=0")
        self._platform_url = f"http://{self.platform.printed_address()}"
        self.workers, self.addresses, self.nodes, self.urls = {}, {}, {}, {}
        self._thrift_addresses = {}
        worker_domains = [(f"w{n}", DOMAIN) for n in range(1, workers + 1)]
        worker_domains += [("w9", REMOTE_DOMAIN)] if remote else []
        for name, domain in worker_domains:
            self.start_worker(name, domain)
        node_ranks = [(f"hobart-{n}", DOMAIN, n) for n in (1, 2, 3)]
        node_ranks += [("devonport-1", REMOTE_DOMAIN, 1)] if remote else []
        for name, domain, rank in node_ranks:
            self._write_settings_file(name, domain, rank, remote)
            self.start_node(name)
        vms = [_node_vm(*node, self._thrift_addresses[node[0]]) for node in node_ranks]
        vms += [_worker_vm(name, *place) for name, place in self.addresses.items()]
        send_request("POST", f"{self._platform_url}/admin/vms", {"register": vms})
        self._apply_configuration()

    def start_worker(self, name, domain=DOMAIN):
        """Start a worker; a restarted one gets its previous address."""
        address, _ = self.addresses.get(name, (f"{HOST}:0", ""))
        size = (f"--accelerators={ACCELERATORS}", "--slots=16")
        daemon = Daemon(
            self._test_case,
            "worker",
            name,
            domain,
            "r1",
            f"--port={_port(address)}",
            *size,
        )
        self.workers[name] = daemon
        self.addresses[name] = (daemon.printed_address(), domain)

    def start_node(self, name):
        with (self._folder / f"{name}.log").open("ab") as log:
            settings = str(self._folder / f"{name}.json")
            self.nodes[name] = Daemon(self._test_case, "node", settings, log=log)

    def wait_until_ready(self, *names):
        for name in names or self.nodes:
            url = f"{self.urls[name]}/readyz"
            self.wait_for(
                lambda url=url: send_request("GET", url)[0] == 200, f"{name} is ready"
            )

    def wait_for(self, condition, description):
        """Call the condition until its result is true and return that result.

        Raises:
            AssertionError: The result is not true within ``WAIT_TIMEOUT_S``.
        """
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline:
            result = condition()
            if result:
                return result
            time.sleep(POLL_INTERVAL_S)
        logs = [
            path.read_text()[-LOG_TAIL_CHARS:] for path in self._folder.glob("*.log")
        ]
        raise AssertionError(
            "\n".join(
                [
                    f"timed out after {WAIT_TIMEOUT_S} s waiting for: {description}",
                    *logs,
                ]
            )
        )

    def owner(self, node, domain=DOMAIN):
        """Return owner and epoch of a domain as a node knows them, or None."""
        status, body = send_request("GET", f"{self.urls[node]}/v1/status")
        domains = body["failure_domains"] if status == 200 else ()
        for entry in domains:
            if entry["failure_domain"] == domain and entry["owner"]:
                return entry["owner"], list(entry["epoch"].values())
        return None

    def other_nodes(self, name):
        return [node for node in self.nodes if node != name]

    def submit(self, node, key, timeout=REQUEST_TIMEOUT_S, **fields):
        url = f"{self.urls[node]}/v1/jobs"
        return send_request(
            "POST", url, job_body(**fields), {"Idempotency-Key": key}, timeout
        )

    def submit_until_accepted(self, node, key, **fields):
        """Submit a job until it is accepted; returns the body of the reply."""

        def accepted():
            status, body = self.submit(node, key, **fields)
            return body if status in (200, 202) else None

        return self.wait_for(accepted, f"{node} accepts the job with key {key!r}")

    def wait_until_finished(self, node, job_id):
        """Poll a job until it has ended; returns the body of the reply."""

        def ended():
            url = f"{self.urls[node]}/v1/jobs/{job_id}?wait=5"
            status, body = send_request("GET", url)
            return body if status == 200 else None

        return self.wait_for(ended, f"end of job {job_id}")

    def wait_until_running(self, node, *job_ids):
        for job_id in job_ids:
            url = f"{self.urls[node]}/v1/jobs/{job_id}"
            self.wait_for(
                lambda url=url: send_request("GET", url)[1].get("state") == "running",
                f"job {job_id} is running",
            )

    def history(self, job_id=None, event=None):
        """Return the history entries of all running workers, sorted by time.

        ``job_id`` and ``event`` select entries; None selects all. Each entry
        has the name of its worker added as ``worker``.
        """
        entries = []
        for name, (address, _) in self.addresses.items():
            status, body = send_request("GET", f"http://{address}/admin/history")
            worker_entries = body if status == 200 else ()
            entries += [{**entry, "worker": name} for entry in worker_entries]
        return sorted(
            (
                entry
                for entry in entries
                if job_id in (None, entry["job_id"]) and event in (None, entry["what"])
            ),
            key=lambda entry: entry["at"],
        )

    def _write_settings_file(self, name, domain, rank, remote):
        http_port, thrift_port = _free_ports(2)
        self.urls[name] = f"http://{HOST}:{http_port}"
        self._thrift_addresses[name] = f"{HOST}:{thrift_port}"
        settings = {
            "kind": "node",
            "node_id": name,
            "rank": rank,
            "failure_domain": domain,
            "failure_domains": [DOMAIN, REMOTE_DOMAIN] if remote else [DOMAIN],
            "listen": {
                "http": f"{HOST}:{http_port}",
                "thrift": f"{HOST}:{thrift_port}",
            },
            "platform": self._platform_url,
            "worker_lease_s": WORKER_LEASE_S,
        }
        (self._folder / f"{name}.json").write_text(json.dumps(settings))

    def _apply_configuration(self):
        first_url = next(iter(self.urls.values()))

        def applied():
            header = {"If-Match": "0"}
            url = f"{first_url}/v1/configuration"
            return send_request("PUT", url, CONFIGURATION, header)[0] in (200, 409)

        self.wait_for(applied, "a node accepts the configuration")
        self.wait_until_ready()
        for name in self.nodes:
            self.wait_for(lambda name=name: self.owner(name), f"{name} knows an owner")


def job_body(payload=None, **fields):
    """Return the body of a job; its tasks run for 0.1 s by default."""
    body = {"organisation": "huon", "class": "proof", "idempotent": True}
    body["payload"] = {"run_s": 0.1, **(payload or {})}
    return {**body, "declared_run_s": body["payload"]["run_s"], **fields}


def send_request(method, url, body=None, headers=None, timeout=REQUEST_TIMEOUT_S):
    """Return the status and the parsed JSON body of the reply.

    Without a reply the status is ``STATUS_UNREACHABLE`` or
    ``STATUS_CONNECTION_BROKEN``.
    """
    data = None if body is None else json.dumps(body).encode()
    headers = {"Content-Type": "application/json", **(headers or {})}
    request = urllib.request.Request(url, data, headers, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, _parse(reply.read())
    except urllib.error.HTTPError as error:
        with error:
            return error.code, _parse(error.read())
    except urllib.error.URLError as error:
        refused = isinstance(error.reason, ConnectionRefusedError)
        return (STATUS_UNREACHABLE if refused else STATUS_CONNECTION_BROKEN), {
            "detail": repr(error)
        }
    except (OSError, http.client.HTTPException) as error:
        return STATUS_CONNECTION_BROKEN, {"detail": repr(error)}


@contextlib.contextmanager
def long_poll(base_url, path):
    """Send a GET; provides a function that waits for the reply."""
    host = base_url.removeprefix("http://")
    connection = http.client.HTTPConnection(host, timeout=REQUEST_TIMEOUT_S)
    with contextlib.closing(connection):
        connection.request("GET", path)
        # A node accepts connections in order. Once this request has a reply,
        # the long poll is in progress.
        send_request("GET", f"{base_url}/livez")

        def read_reply():
            reply = connection.getresponse()
            return reply.status, _parse(reply.read())

        yield read_reply


def pause(daemon):
    daemon.send(signal.SIGSTOP)


def resume(daemon):
    daemon.send(signal.SIGCONT)


def _parse(content):
    try:
        return json.loads(content)
    except ValueError:
        return {}


def _free_ports(count):
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for bound in sockets:
            bound.bind((HOST, 0))
        return [bound.getsockname()[1] for bound in sockets]


def _port(address):
    return int(address.rpartition(":")[2])


def _worker_vm(name, address, domain):
    size = {"accelerators": ACCELERATORS, "slots": 16, "cores": 128}
    return _vm(name, "worker", address, domain, memory_mb=262_144, **size)


def _node_vm(name, domain, rank, address):
    return _vm(name, "node", address, domain, rank=rank)


def _vm(name, role, address, domain, **fields):
    numeric_fields = ("rank", "accelerators", "slots", "cores", "memory_mb")
    return {
        "vm_id": name,
        "role": role,
        "state": "live",
        "address": address,
        "failure_domain": domain,
        "rack": "r1" if role == "worker" else "",
        **dict.fromkeys(numeric_fields, 0),
        **fields,
    }
