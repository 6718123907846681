"""Stand-in of one worker process, one life of a worker.

Usage: python3 worker.py OPTIONS (a JSON object):

    id, port, store_port, record   who it is, and the file of its record
    labels, capacity, service      what its entry in the store says
    heartbeat_ms, max_hold_ms, stop_ms
    enforce                        whether starts that do not fit are rejected
    register_after_s               time until its first report to the store
    late                           names of tasks: the first start of each gets
                                   no answer and is written to ``late_file``, to
                                   be carried out later by the process that then
                                   has the address
    fail_first                     names of tasks whose first run here fails
                                   after a second
    cut_s                          time for which the process reaches nobody,
                                   from its start on

The ``spec`` of a job says how long its tasks take: ``{"ms": 3000}``; without
"ms" a task lasts until it is stopped. With "valid_ms" a start needs a ticket
of the advice service that is not older. The worker appends to its record one
JSON line for each start that it carried out and for each end.
"""

import json
import sys
import threading
import time
import urllib.request

from wire import JsonHandler, NoAnswer, serve

MAX_ENDS = 500
MAX_WAIT_S = 2.0
LASTING_STARTUP_S = 1.0
FAILS_AFTER_MS = 1000


class Worker:
    def __init__(self, options):
        self.options = options
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.changed = threading.Condition()
        self.fence = 0
        self.lease_ends_at = 0.0
        self.running = {}
        self.closed_run_by_task = {}
        self.ends = []
        self.last_end = 0
        self.leaves_at = 0.0
        self.reporting = threading.Event()
        self.cut_s = options.get("cut_s") or 0
        self.fail_left = list(options.get("fail_first") or ())
        self.late_left = list(options.get("late") or ())
        self.record = open(options["record"], "a", buffering=1)
        self.write("worker started", born=self.born, labels=options["labels"])
        threading.Thread(target=self.advance, daemon=True).start()
        threading.Thread(target=self.report, daemon=True).start()

    def write(self, event, **fields):
        row = {"at": round(time.monotonic(), 3), "worker": self.options["id"]}
        self.record.write(json.dumps({**row, "event": event, **fields}) + "\n")

    @property
    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000)

    def report(self):
        """Write the entry in the store about every heartbeat."""
        time.sleep(max(self.options.get("register_after_s") or 0, self.cut_s))
        address = f"127.0.0.1:{self.options['port']}"
        url = f"http://127.0.0.1:{self.options['store_port']}/standin/worker"
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "service": self.options["service"],
                "address": address,
                "zone": self.options.get("zone", "z1"),
                "version": "1",
                "slots": 8,
                "state": "draining" if self.leaves_at else "ready",
                "remainingMs": max(int(1000 * (self.leaves_at - time.monotonic())), 0)
                if self.leaves_at
                else 0,
                "sequence": 0,
                "born": self.born,
                "capacity": self.options["capacity"],
                "labels": self.options["labels"],
            }
            body = json.dumps({"id": self.options["id"], "entry": entry}).encode()
            try:
                urllib.request.urlopen(url, body, timeout=2).read()
                if sequence == 1:
                    self.write("entry written", born=self.born)
            except OSError:
                pass
            self.reporting.wait(self.options["heartbeat_ms"] / 1000)
            self.reporting.clear()

    def advance(self):
        """End the runs whose time has come, and all when the lease lapses."""
        while True:
            time.sleep(0.01)
            with self.changed:
                now = time.monotonic()
                for task, run in list(self.running.items()):
                    if run["stop_at"] and now >= run["stop_at"]:
                        self.finish(task, "stopped")
                    elif run["ends_at"] and now >= run["ends_at"]:
                        self.finish(task, run["outcome"])
                    elif now >= self.lease_ends_at:
                        self.finish(task, "lapsed")

    def finish(self, task, how):
        run = self.running.pop(task)
        self.close(task, run["run"])
        self.last_end += 1
        self.ends.append([self.last_end, task, run["run"], how, ""])
        self.write("end", task=task, run=run["run"], how=how)
        self.changed.notify_all()

    def close(self, task, run):
        self.closed_run_by_task[task] = max(run, self.closed_run_by_task.get(task, 0))

    def extend_lease(self, deadline_ms):
        until = self.started_at + deadline_ms / 1000
        longest = time.monotonic() + self.options["max_hold_ms"] / 1000
        self.lease_ends_at = max(self.lease_ends_at, min(until, longest))

    def has_room(self, demand):
        if not self.options.get("enforce") or not demand:
            return True
        capacity = self.options["capacity"]
        used = [run["demand"] for run in self.running.values()] + [demand]
        return all(
            sum(each.get(name, 0) for each in used) <= capacity[name]
            for name in capacity
        )

    def is_valid_ticket(self, body, valid_ms):
        """Return whether a start has a ticket of ``advice.py`` that is valid."""
        step, _, rest = body.get("ticket", "").partition("/")
        worker_id, _, issued_ms = rest.partition("/")
        if not issued_ms or worker_id != self.options["id"]:
            return False
        age_ms = 1000 * time.monotonic() - int(issued_ms)
        is_of_this_life = int(issued_ms) >= 1000 * self.started_at
        is_of_step = step == body["task"].rpartition(".")[0]
        return is_of_step and is_of_this_life and age_ms <= valid_ms

    def start(self, body):
        task, run = body["task"], body["runId"]
        current = self.running.get(task)
        if current is not None and current["run"] == run and not current["stop_at"]:
            return 200, {}
        if body["deadlineAtMs"] <= self.clock_ms:
            return 409, {"reason": "late"}
        self.extend_lease(body["deadlineAtMs"])
        if current is not None or run <= self.closed_run_by_task.get(task, 0):
            return 409, {"reason": "old"}
        spec = json.loads(body["spec"])
        if spec.get("valid_ms") and not self.is_valid_ticket(body, spec["valid_ms"]):
            return 409, {"reason": "ticket"}
        if not self.has_room(spec.get("demand")):
            return 409, {"reason": "room"}
        now = time.monotonic()
        lasts = "ms" not in spec
        fails = task in self.fail_left
        if fails:
            self.fail_left.remove(task)
            spec["ms"] = FAILS_AFTER_MS
        self.running[task] = {
            "run": run,
            "began_at": now,
            "ends_at": 0 if lasts else now + spec["ms"] / 1000,
            "outcome": "failed" if fails else "done",
            "stop_at": 0,
            "lasts": lasts,
            "demand": spec.get("demand") or {},
        }
        self.write(
            "start",
            task=task,
            run=run,
            fence=body.get("fencingToken", 0),
            labels=self.options["labels"],
            born=self.born,
        )
        return 200, {}

    def stop(self, body):
        task, run = body["task"], body["runId"]
        current = self.running.get(task)
        if current is not None and current["run"] == run and not current["stop_at"]:
            current["stop_at"] = time.monotonic() + self.options["stop_ms"] / 2000
        self.close(task, run)
        return 200, {}

    def percent(self, run):
        elapsed_s = time.monotonic() - run["began_at"]
        if run["lasts"]:
            return min(100, int(100 * elapsed_s / LASTING_STARTUP_S))
        length_s = run["ends_at"] - run["began_at"]
        return max(0, min(99, int(100 * elapsed_s / max(length_s, 0.01))))

    def hold(self, body):
        if body.get("deadlineAtMs"):
            self.extend_lease(body["deadlineAtMs"])
        observed = body.get("observed", 0)
        self.ends = [end for end in self.ends if end[0] > observed]
        wait_s = min(body.get("waitMs", 0) / 1000, MAX_WAIT_S)
        until = time.monotonic() + wait_s
        while not self.ends and time.monotonic() < until:
            self.changed.wait(until - time.monotonic())
        running = [
            [task, run["run"], "", self.percent(run), 1]
            for task, run in self.running.items()
        ]
        return 200, {"running": running, "ended": self.ends[:MAX_ENDS]}

    def execute(self, name, body):
        with self.changed:
            if body.get("fencingToken", 0) < self.fence:
                return 409, {"reason": "fence"}
            self.fence = body.get("fencingToken", 0)
            if name == "hold":
                return self.hold(body)
            if name == "run-start":
                return self.start(body)
            if name == "run-stop":
                return self.stop(body)
            return 200, {}


class Handler(JsonHandler):
    worker = None

    def handle_json(self, method, path, query, body):
        worker = self.worker
        name = path.removeprefix("/redwingrudder/")
        if path == "/standin/drain":
            worker.leaves_at = time.monotonic() + body["drain_ms"] / 1000
            worker.reporting.set()
            worker.write("draining")
            return 200, {}
        if path == "/standin":
            status, answer = worker.execute(body["name"], body["body"])
            worker.write("late call", status=status, **body["body"], **answer)
            return status, answer
        if time.monotonic() - worker.started_at < worker.cut_s:
            raise NoAnswer
        expected = self.headers.get("X-Expect-Instance")
        if expected and expected != worker.options["id"]:
            return 421, {"clockMs": worker.clock_ms, "born": worker.born}
        if name == "run-start" and body["task"] in worker.late_left:
            worker.late_left.remove(body["task"])
            worker.write("start held back", task=body["task"], run=body["runId"])
            with open(worker.options["late_file"], "a") as late:
                late.write(json.dumps({"name": name, "body": body}) + "\n")
            raise NoAnswer
        status, answer = worker.execute(name, body)
        return status, {"clockMs": worker.clock_ms, "born": worker.born, **answer}


def main():
    options = json.loads(sys.argv[1])
    Handler.worker = Worker(options)
    serve(options["port"], Handler)


if __name__ == "__main__":
    main()
