"""The processes of the soak test: nodes, stand-in, proxies and clients."""

import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from typing import NamedTuple

from .platform_clients import ConnectionEnd
from .platform_shutdowns import GRACE_S, Shutdown

ROOT = pathlib.Path(__file__).resolve().parent.parent
NODE_COUNT = 3
WORKER_COUNT = 3
REQUEST_TIMEOUT_S = 4.0
PORTS_PER_NODE = 5
KB_PER_MB = 1024
UTIME_FIELD = 11  # of /proc/PID/stat, counted after the name; the next is stime

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
stopTimeoutMs = 900
status_s = 120
graceS = {grace}
[platform]
address = "127.0.0.1:{store}"
"""


def free_ports(count):
    """Return the first of ``count`` consecutive ports that are free."""
    # Outgoing connections use higher ports, so they cannot take the port of a
    # node that restarts.
    for first in range(random.SystemRandom().randrange(20000, 32000), 32700, 37):
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
    raise RuntimeError(f"found no {count} consecutive free ports")


def send_request(method, url, body=None, timeout_s=REQUEST_TIMEOUT_S, key="key"):
    """Return status and JSON body of the reply.

    Status 0 means no reply or one that is not JSON. The body of an HTTP error
    is not read.
    """
    headers = {"Host": "jobs.example", "Authorization": f"Token {key}"}
    content = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, content, headers, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as reply:
            return reply.status, json.loads(reply.read() or b"{}")
    except urllib.error.HTTPError as error:
        return error.code, {}
    except (OSError, ValueError):
        return 0, {}


class Usage(NamedTuple):
    """What a process has used, up to now.

    Attributes:
        processor_s: Processor time in seconds.
        age_s: Seconds since its start.
        peak_mb: Peak of its resident memory.
    """

    processor_s: float
    age_s: float
    peak_mb: float


class Deployment:
    """The processes that are started for one seed.

    Args:
        folder: Folder for the settings and logs of the processes.
        node_count: Number of nodes.
        worker_count: Number of workers, which are all in one process.
    """

    def __init__(self, folder, node_count=NODE_COUNT, worker_count=WORKER_COUNT):
        self.folder = pathlib.Path(folder)
        self.node_count = node_count
        self.worker_count = worker_count
        self.first_port = free_ports(3 + 2 * worker_count + PORTS_PER_NODE * node_count)
        # Order of the ports: the store, the workers, four ports of each node,
        # the control port of the proxies, the proxy in front of each worker,
        # the proxy between each node and the store, the control port of the
        # clients.
        self.proxy_control_port = self.first_port + 1 + worker_count + 4 * node_count
        first_worker_proxy = self.proxy_control_port + 1
        self.store_proxy_ports = [
            first_worker_proxy + worker_count + index for index in range(node_count)
        ]
        self.worker_proxy_ports = [
            first_worker_proxy + index for index in range(worker_count)
        ]
        self.client_control_port = first_worker_proxy + worker_count + node_count
        proxy_pairs = [f"{port}:{self.first_port}" for port in self.store_proxy_ports]
        for index, port in enumerate(self.worker_proxy_ports):
            proxy_pairs.append(f"{port}:{self.first_port + 1 + index}")
        self.processes = {}
        self.started_at_by_name = {}
        self.version = 1  # of the configuration
        # Graceful shutdowns, and the ports and times of kills and pauses, see
        # ``platform_shutdowns``.
        self.shutdowns = []
        self.disruptions = []
        self._signalled_at_by_index = {}
        self.start_process(
            "standin",
            [
                "-m",
                "tests.platform_standin",
                self.first_port,
                worker_count,
                first_worker_proxy,
            ],
        )
        self.start_process(
            "proxy",
            ["-m", "tests.platform_proxy", self.proxy_control_port, *proxy_pairs],
        )
        for index in range(node_count):
            self.start_node(index)
        self.start_process(
            "clients",
            [
                "-m",
                "tests.platform_clients",
                self.client_control_port,
                *(self.front_end_port(index) for index in range(node_count)),
            ],
        )

    def start_process(self, name, arguments, **environment):
        """Start Python with the arguments; the log file is ``name``.log."""
        log = (self.folder / f"{name}.log").open("ab")
        self.started_at_by_name[name] = time.monotonic()
        self.processes[name] = subprocess.Popen(
            [sys.executable, *map(str, arguments)],
            cwd=ROOT,
            env={**os.environ, **environment},
            stdout=log,
            stderr=log,
        )

    def start_node(self, index):
        first_node_port = self.first_port + 1 + self.worker_count + 4 * index
        settings = SETTINGS.format(
            name=f"n{index}",
            peers=first_node_port,
            metrics=first_node_port + 1,
            front=first_node_port + 2,
            ready=first_node_port + 3,
            store=self.store_proxy_ports[index],
            grace=GRACE_S,
        )
        path = self.folder / f"n{index}.toml"
        path.write_text(settings, "utf-8")
        self.start_process(
            f"n{index}", ["deploy/node.py"], REDWINGRUDDER_CONFIG=str(path)
        )

    def front_end_port(self, index):
        return self.first_port + 1 + self.worker_count + 4 * index + 2

    def front_end_url(self, index, path):
        return f"http://127.0.0.1:{self.front_end_port(index)}{path}"

    def change_configuration(self):
        """Write the next version, which replaces the key of the last one."""
        self.version += 1
        self.control({"version": self.version})

    def coordinator_index(self):
        """Return the index of the node that is coordinator, or None."""
        name = self.control().get("coordinator")
        return int(name[1:]) if name else None

    def connection_ends(self):
        """Return the ends of connections that the clients have seen."""
        url = f"http://127.0.0.1:{self.client_control_port}/"
        return [ConnectionEnd(*row) for row in send_request("GET", url)[1]["ends"]]

    def control(self, body=None):
        """Set modes of the stand-in; returns its state and all runs."""
        return send_request(
            "POST", f"http://127.0.0.1:{self.first_port}/control", body or {}
        )[1]

    def set_link_mode(self, port, mode):
        """Set the mode of the proxy at a port, see ``platform_proxy``."""
        send_request(
            "POST", f"http://127.0.0.1:{self.proxy_control_port}/", {str(port): mode}
        )

    def signal(self, index, signal_number):
        """Send a signal to a node, unless its process has ended."""
        process = self.processes[f"n{index}"]
        if process.poll() is not None:
            return
        now = time.monotonic()
        if signal_number == signal.SIGTERM:
            self._signalled_at_by_index.setdefault(index, now)
        elif signal_number != signal.SIGHUP:
            self.disruptions.append((self.front_end_port(index), now))
        process.send_signal(signal_number)

    def restart_node(self, index):
        """Kill a node if it still runs and start it again."""
        self.signal(index, signal.SIGKILL)
        self.processes[f"n{index}"].wait()
        self.restart_ended_nodes()

    def restart_ended_nodes(self):
        """Start the nodes again whose processes have ended."""
        for index in range(self.node_count):
            if self.processes[f"n{index}"].poll() is not None:
                self._note_shutdown(index)
                self.start_node(index)

    def is_terminating(self, index):
        """Return whether a node was told to end and is still there."""
        return index in self._signalled_at_by_index

    @property
    def shutdowns_pending(self):
        """Whether a node that was told to end is still there."""
        return bool(self._signalled_at_by_index)

    def _note_shutdown(self, index):
        signalled_at = self._signalled_at_by_index.pop(index, None)
        if signalled_at is not None:
            port = self.front_end_port(index)
            self.shutdowns.append(Shutdown(port, signalled_at, time.monotonic()))

    def usage(self, name):
        """Return what a process has used.

        Raises:
            FileNotFoundError: The process has ended.
        """
        folder = pathlib.Path("/proc") / str(self.processes[name].pid)
        fields = (folder / "stat").read_text("ascii").rpartition(")")[2].split()
        ticks = int(fields[UTIME_FIELD]) + int(fields[UTIME_FIELD + 1])
        status = (folder / "status").read_text("ascii")
        peak_kb = int(status.partition("VmHWM:")[2].split()[0])
        return Usage(
            ticks / os.sysconf("SC_CLK_TCK"),
            time.monotonic() - self.started_at_by_name[name],
            peak_kb / KB_PER_MB,
        )

    def close(self):
        """Kill all processes, also paused ones."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
