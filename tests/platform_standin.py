"""Small stand-in for the users' platform: store, configuration and workers.

Run as ``python -m tests.platform_standin PORT WORKERS [SHOWN]``. The store
listens on PORT. Worker N listens on PORT + 1 + N and is registered with port
SHOWN + N, where a proxy may listen; SHOWN defaults to PORT + 1. A POST to
``/control`` of the store sets fault modes and returns the runs of all workers.
"""

import base64
import contextlib
import json
import random
import sys
import time

from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

MAX_HISTORY_CHANGES = 5000  # available to watches; older ones are dropped
MAX_POLL_WAIT_S = 2.0
MAX_LEASE_S = 6.0
MAX_REPORTED_ENDS = 500  # ends of runs in the reply to a poll
SLOW_STORE_DELAY_S = 0.2
LOST_REPLY_PROBABILITY = 0.3  # of a write in mode "lossy"
DELAYED_WRITE_PROBABILITY = 0.5  # of a write whose reply is lost
DELAYED_WRITE_S = 2.0
LATE_START_DELAY_S = 2.0
MAX_LATE_CALL_DELAY_S = 8.0  # in mode "late_calls"
# Columns of a row of ``Worker.runs``.
BEGIN_COLUMN, END_COLUMN, OUTCOME_COLUMN, ACKNOWLEDGED_COLUMN = 2, 3, 4, 6
POOL = "pool"
COORDINATOR_KEY = "coordination/holder"


class Store:
    """Keys, leases and watches of the store, and its fault mode.

    Modes are "up", "down" (status 503), "silent" (no replies), "slow" (delayed
    replies) and "lossy" (some writes take effect without a reply).
    """

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1
        self.watches = []
        self.mode = "up"
        self.random = random.Random(0)

    def put(self, key, value, lease=0):
        """Write a key; to be called within ``new_revision``."""
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self._append_change(dict(self.items[key]))

    def remove(self, key):
        """Remove a key; to be called within ``new_revision``."""
        if key in self.items:
            del self.items[key]
            self._append_change(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    def _append_change(self, event):
        self.history.append(event)
        del self.history[:-MAX_HISTORY_CHANGES]

    @contextlib.contextmanager
    def new_revision(self):
        """Give the changes in the block one revision, then notify watches."""
        self.revision += 1
        yield
        waiting_watches, self.watches = self.watches, []
        for watch in waiting_watches:
            self.answer_watch(*watch)

    def answer_watch(self, prefix, after, request, timer):
        """Reply with the changes after a revision, or wait for a change."""
        events = [
            event
            for event in self.history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
        if events:
            if timer.active():
                timer.cancel()
            reply(request, 200, {"events": events, "currentRev": self.revision})
        else:
            self.watches.append((prefix, after, request, timer))

    def time_out_watch(self, request):
        """Reply to a waiting watch that there are no changes."""
        for watch in list(self.watches):
            if watch[2] is request:
                self.watches.remove(watch)
                reply(request, 200, {"events": [], "currentRev": self.revision})

    def transact(self, body):
        """Apply the writes if all preconditions hold; returns status, body."""
        for condition in body.get("precondition", []):
            item = self.items.get(condition["key"])
            if (item["revision"] if item else 0) != condition["revision"]:
                return 412, {"items": []}
        for put in body.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        with self.new_revision():
            for put in body.get("puts", []):
                value = base64.b64decode(put["value"])
                self.put(put["key"], value, put.get("lease", 0))
            for key in body.get("remove", []):
                self.remove(key)
        return 200, {"revision": self.revision}

    def grant(self, ttl_s):
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = (ttl_s, None)
        self.extend_lease(lease)
        return lease

    def extend_lease(self, lease):
        ttl_s, timer = self.leases[lease]
        if timer is not None and timer.active():
            timer.cancel()
        self.leases[lease] = (ttl_s, reactor.callLater(ttl_s, self.end_lease, lease))
        return ttl_s

    def end_lease(self, lease):
        _, timer = self.leases.pop(lease, (0, None))
        if timer is not None and timer.active():
            timer.cancel()
        with self.new_revision():
            for key in [k for k, i in self.items.items() if i["lease"] == lease]:
                self.remove(key)


class StoreResource(Resource):
    """HTTP interface of the store and of ``/control``."""

    isLeaf = True  # noqa: N815

    def __init__(self, store, workers):
        super().__init__()
        self.store = store
        self.workers = workers

    def render(self, request):
        path = request.path.decode()
        body = json.loads(request.content.read() or b"{}")
        if path == "/control":
            return self._control(request, body)
        mode = self.store.mode
        if mode == "down":
            return reply(request, 503, {})
        if mode == "silent":
            return NOT_DONE_YET
        if mode == "slow":
            reactor.callLater(SLOW_STORE_DELAY_S, self._serve, request, path, body)
            return NOT_DONE_YET
        is_write = path.endswith("kv-txn")
        if (
            mode == "lossy"
            and is_write
            and self.store.random.random() < LOST_REPLY_PROBABILITY
        ):
            # The writes take effect, some of them only after a delay.
            delayed = self.store.random.random() < DELAYED_WRITE_PROBABILITY
            reactor.callLater(
                DELAYED_WRITE_S if delayed else 0, self.store.transact, body
            )
            return NOT_DONE_YET
        self._serve(request, path, body)
        return NOT_DONE_YET

    def _control(self, request, body):
        if "store" in body:
            self.store.mode = body["store"]
        for worker in self.workers:
            worker.stop_s = body.get("stop_s", worker.stop_s)
        for index, mode in body.get("workers", {}).items():
            self.workers[int(index)].set_mode(mode)
        if "version" in body:
            with self.store.new_revision():
                document = json.dumps(configuration(body["version"])).encode()
                self.store.put("op/config", document)
        runs = [run for worker in self.workers for run in worker.runs]
        holder = self.store.items.get(COORDINATOR_KEY, {}).get("value", "")
        return reply(
            request,
            200,
            {
                "runs": runs,
                "now": time.monotonic(),
                "coordinator": json.loads(base64.b64decode(holder) or "{}").get("node"),
            },
        )

    def _serve(self, request, path, body):
        def argument(name):
            return request.args.get(name, [b""])[0].decode()

        name = path.rpartition("/redwingrudder/")[2]
        store = self.store
        if name == "kv-key":
            item = store.items.get(argument(b"key"))
            status = 200 if item else 404
            reply(request, status, {**(item or {}), "currentRev": store.revision})
        elif name == "kv-range":
            prefix = argument(b"prefix")
            items = [i for k, i in sorted(store.items.items()) if k.startswith(prefix)]
            page = {"items": items, "hasMore": False, "currentRev": store.revision}
            reply(request, 200, page)
        elif name == "kv-watch":
            wait_s = int(argument(b"waitMs")) / 1000
            timer = reactor.callLater(wait_s, store.time_out_watch, request)
            store.answer_watch(
                argument(b"prefix"), int(argument(b"after")), request, timer
            )
        elif name == "kv-txn":
            reply(request, *store.transact(body))
        elif name == "kv-lease":
            lease = store.grant(body["ttlMs"] / 1000)
            reply(request, 200, {"lease": lease, "ttlMs": body["ttlMs"]})
        elif name.startswith("kv-keep/"):
            lease = int(name.rpartition("/")[2])
            if lease in store.leases:
                reply(request, 200, {"ttlMs": int(store.extend_lease(lease) * 1000)})
            else:
                reply(request, 404, {})
        else:
            reply(request, 404, {})


class Worker:
    """Simulates tasks under a lease and a fencing token; records the runs.

    The rows of ``runs`` are lists of task, run, begin, end (0 while it runs),
    outcome, worker and whether the end was acknowledged. Times are in seconds.
    Modes are "up", "silent" (no replies), "late" (starts get no reply and
    take effect later) and "late_calls" (the same of all calls, each with a
    delay of its own). A run goes on for ``stop_s`` seconds after its stop.
    """

    def __init__(self, index, address, store):
        self.worker_id = f"w{index}"
        self.address = address
        self.store = store
        self.runs = []
        self.waiting_polls = []
        self.mode = "up"
        self.stop_s = 0.0
        self.random = random.Random(index)
        self.process_started_ms = 0
        self.reset()

    def reset(self):
        """Begin with empty state, like a restarted process, and register."""
        self.process_started_ms = max(
            self.process_started_ms + 1, int(time.time() * 1000)
        )
        self.started_at = time.monotonic()
        self.highest_token = 0
        self.running = {}
        self.unacknowledged_ends = []
        self.last_end_number = 0
        self.rows_by_end_number = {}
        self.last_closed_run_by_task = {}
        self.lease_timer = None
        self.register()

    def register(self, state="ready"):
        entry = {
            "service": POOL,
            "address": self.address,
            "zone": "z",
            "state": state,
            "born": self.process_started_ms,
            "capacity": {"cpu": 16000, "memMb": 32000, "gpu": 8},
            "labels": ["a", "r1"],
            "remainingMs": 2000,
        }
        with self.store.new_revision():
            self.store.put(f"servers/{self.worker_id}", json.dumps(entry).encode())

    def set_mode(self, mode):
        """Set the mode; "crash" loses all state and restarts the worker."""
        if mode == "crash":
            for task in list(self.running):
                self._finish(task, "crashed", reported=False)
            self.reset()
        else:
            self.mode = mode

    @property
    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000)

    def extend_lease(self, until_ms):
        until_ms = min(until_ms, self.clock_ms + int(MAX_LEASE_S * 1000))
        if self.lease_timer is not None and self.lease_timer.active():
            until_ms = max(until_ms, self.lease_until_ms)
            self.lease_timer.cancel()
        self.lease_until_ms = until_ms
        delay_s = max(until_ms - self.clock_ms, 0) / 1000
        self.lease_timer = reactor.callLater(delay_s, self.expire_lease)

    def expire_lease(self):
        """End all running tasks with the outcome "lapsed"."""
        for task in list(self.running):
            self._finish(task, "lapsed")

    def start(self, body):
        """Start a run of a task; a repeated start has no effect."""
        task, run = body["task"], body["runId"]
        current = self.running.get(task)
        is_closed = run <= self.last_closed_run_by_task.get(task, 0)
        if current is not None and current["run"] == run and not is_closed:
            return 200, {}
        if is_closed or current is not None:
            return 409, {"reason": "old"}
        if body["deadlineAtMs"] <= self.clock_ms:
            return 409, {"reason": "late"}
        self.extend_lease(body["deadlineAtMs"])
        spec = json.loads(body["spec"])
        row = [task, run, time.monotonic(), 0, "", self.worker_id, False]
        self.runs.append(row)
        outcome = "failed" if spec.get("fails") else "done"
        timer = reactor.callLater(spec["run_s"], self._finish, task, outcome)
        self.running[task] = {"run": run, "row": row, "timer": timer}
        self.running[task]["run_s"] = spec["run_s"]
        return 200, {}

    def stop(self, body):
        """Stop a run of a task and reject later starts of that run."""
        task, run = body["task"], body["runId"]
        current = self.running.get(task)
        if current is not None and current["run"] == run:
            if not self.stop_s:
                self._finish(task, "stopped")
            elif run > self.last_closed_run_by_task.get(task, 0):
                current["timer"].cancel()
                current["timer"] = reactor.callLater(
                    self.stop_s, self._finish, task, "stopped"
                )
        self.last_closed_run_by_task[task] = max(
            self.last_closed_run_by_task.get(task, 0), run
        )
        return 200, {}

    def _finish(self, task, outcome, reported=True):
        current = self.running.pop(task)
        if current["timer"].active():
            current["timer"].cancel()
        current["row"][END_COLUMN], current["row"][OUTCOME_COLUMN] = (
            time.monotonic(),
            outcome,
        )
        self.last_closed_run_by_task[task] = max(
            self.last_closed_run_by_task.get(task, 0), current["run"]
        )
        if reported:
            self.last_end_number += 1
            self.unacknowledged_ends.append(
                [self.last_end_number, task, current["run"], outcome, ""]
            )
            self.rows_by_end_number[self.last_end_number] = current["row"]
            waiting_polls, self.waiting_polls = self.waiting_polls, []
            for request, timer in waiting_polls:
                if timer.active():
                    timer.cancel()
                    self.answer_poll(request)

    def poll(self, request, body):
        """Extend the lease, drop acknowledged ends and reply.

        Without unacknowledged ends the reply waits for the next end, for
        ``waitMs`` at most.
        """
        if body.get("deadlineAtMs"):
            self.extend_lease(body["deadlineAtMs"])
        self.forget_ends(body.get("observed", 0))
        wait_s = min(body.get("waitMs", 0) / 1000, MAX_POLL_WAIT_S)
        if self.unacknowledged_ends or not wait_s:
            self.answer_poll(request)
            return
        self.waiting_polls.append(
            (request, reactor.callLater(wait_s, self.answer_poll, request))
        )

    def late_poll(self, body, process_started_ms):
        """Carry out a poll that gets no reply.

        If it was sent to the last process, the ends that it makes this process
        forget were never reported, so they do not count as acknowledged.
        """
        if body.get("deadlineAtMs"):
            self.extend_lease(body["deadlineAtMs"])
        is_same_process = process_started_ms == self.process_started_ms
        self.forget_ends(body.get("observed", 0), is_same_process)

    def forget_ends(self, last_number, acknowledged=True):
        """Forget the ends up to a number."""
        for end in self.unacknowledged_ends:
            if end[0] <= last_number and acknowledged:
                self.rows_by_end_number[end[0]][ACKNOWLEDGED_COLUMN] = True
        self.unacknowledged_ends = [
            end for end in self.unacknowledged_ends if end[0] > last_number
        ]

    def answer_poll(self, request):
        running = []
        for task, current in self.running.items():
            elapsed_s = time.monotonic() - current["row"][BEGIN_COLUMN]
            percent = min(100, int(100 * elapsed_s / current["run_s"]))
            running.append([task, current["run"], "", percent, 1])
        reply(
            request,
            200,
            {
                "clockMs": self.clock_ms,
                "born": self.process_started_ms,
                "running": running,
                "ended": self.unacknowledged_ends[:MAX_REPORTED_ENDS],
            },
        )


class WorkerResource(Resource):
    """HTTP interface of a worker."""

    isLeaf = True  # noqa: N815

    def __init__(self, worker):
        super().__init__()
        self.worker = worker

    def render(self, request):
        worker = self.worker
        body = json.loads(request.content.read() or b"{}")
        name = request.path.decode().rpartition("/")[2]
        if worker.mode == "silent":
            return NOT_DONE_YET
        if worker.mode == "late" and name == "run-start":
            reactor.callLater(LATE_START_DELAY_S, self._execute, name, body)
            return NOT_DONE_YET
        if worker.mode == "late_calls":
            delay_s = worker.random.uniform(0, MAX_LATE_CALL_DELAY_S)
            sent_to_ms = worker.process_started_ms
            reactor.callLater(delay_s, self._execute, name, body, sent_to_ms)
            return NOT_DONE_YET
        if body.get("fencingToken", 0) < worker.highest_token:
            return reply(request, 409, {"clockMs": worker.clock_ms, "reason": "fence"})
        worker.highest_token = body.get("fencingToken", 0)
        if name == "hold":
            worker.poll(request, body)
            return NOT_DONE_YET
        status, result = self._execute(name, body)
        return reply(request, status, {**result, "clockMs": worker.clock_ms})

    def _execute(self, name, body, sent_to_ms=0):
        worker = self.worker
        # A late call may have been fenced while it was delayed.
        if body.get("fencingToken", 0) < worker.highest_token:
            return 409, {"reason": "fence"}
        worker.highest_token = body.get("fencingToken", 0)
        if name == "hold":
            return 200, worker.late_poll(body, sent_to_ms)
        return worker.start(body) if name == "run-start" else worker.stop(body)


def reply(request, status, body):
    """Send a reply unless the client has disconnected."""
    if not request.finished and not getattr(request, "_disconnected", False):
        request.setResponseCode(status)
        request.setHeader(b"Content-Type", b"application/json")
        request.write(json.dumps(body).encode())
        request.finish()
    return NOT_DONE_YET


def version_key(version):
    """Return the key that only one version of the configuration accepts."""
    return f"key-{version}"


def configuration(version):
    """Return a version of the configuration document of the operator."""
    routes = [
        {
            "name": name,
            "host": "jobs.example",
            "prefix": f"/{name}/",
            "service": POOL,
            "priority": priority,
            "maxAttempts": 2,
            "stretchFactor": 3.0,
            "targetLatencyMs": 1000,
            "timeoutMs": 3000,
        }
        for name, priority in (("urgent", 0), ("patient", 2))
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": POOL, "enforceCapacity": False}],
        "tenants": [
            {
                "name": "t",
                "apiKeys": ["key", version_key(version)],
                "guaranteed": {"gpu": 8},
            }
        ],
        "limits": {},
    }


def main(port, count, first_registered_port=0):
    """Run store and workers until the process ends."""
    store = Store()
    with store.new_revision():
        store.put("op/config", json.dumps(configuration(1)).encode())
    workers = []
    for index in range(count):
        address = f"127.0.0.1:{(first_registered_port or port + 1) + index}"
        worker = Worker(index, address, store)
        workers.append(worker)
        reactor.listenTCP(
            port + 1 + index, Site(WorkerResource(worker)), interface="127.0.0.1"
        )
    site = Site(StoreResource(store, workers))
    reactor.listenTCP(port, site, interface="127.0.0.1")
    reactor.run()


if __name__ == "__main__":
    main(*map(int, sys.argv[1:4]))
