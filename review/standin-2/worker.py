"""Stand-in of one worker of the platform, as PROTOCOL.md describes it.

Run as ``worker.py ID PORT STORE_PORT LOG HEARTBEAT_MS MAX_HOLD_MS STOP_MS
RACK [SERVICE FENCE]``. FENCE is the highest fencing token that it has seen,
which a worker of another system may have from that. The text of a task's
``spec`` is JSON with ``ms``, the time that it works, and ``fails``, whether it
then ends as failed. Starts and ends are written to LOG. With STORE_PORT 0 it
writes no entries.
"""

import asyncio
import json
import sys
import time

from httpd import Server

HOST = "127.0.0.1"
CAPACITY = {"cpu": 128_000, "memMb": 262_144, "gpu": 8}
MAX_WAIT_MS = 2000
MAX_LISTED_ENDS = 500


class Run:
    """A run of a task."""

    def __init__(self, task, number, spec):
        plan = json.loads(spec)
        self.task, self.number = task, number
        self.work_s = plan["ms"] / 1000
        self.how = "failed" if plan.get("fails") else "done"
        self.began_at = time.monotonic()
        self.ends_at = self.began_at + self.work_s

    def percent(self):
        return min(int(100 * (time.monotonic() - self.began_at) / self.work_s), 99)


class Worker:
    """Runs tasks under a lease and a fencing token."""

    def __init__(self, worker_id, log_path, max_hold_ms, stop_ms):
        self.worker_id = worker_id
        self.born = int(time.time() * 1000)
        self.begun_at = time.monotonic()
        self.max_hold_ms = int(max_hold_ms)
        self.stop_s = int(stop_ms) / 1000
        self.fence = 0
        self.lease_until_ms = 0
        self.runs = {}
        self.closed = {}  # highest run of each task that was stopped or ended
        self.ends = []
        self.end_count = 0
        self.ended = asyncio.Event()
        self._log = open(log_path, "a", encoding="utf-8")
        self.log("born")

    @property
    def clock_ms(self):
        return int((time.monotonic() - self.begun_at) * 1000)

    def log(self, event, **fields):
        row = {"t": time.time(), "event": event, "worker": self.worker_id}
        row |= {"born": self.born, **fields}
        self._log.write(json.dumps(row) + "\n")
        self._log.flush()

    def finish(self, run, how):
        del self.runs[run.task]
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, ""])
        self.log("end", task=run.task, run=run.number, how=how, number=self.end_count)
        self.ended.set()
        self.ended = asyncio.Event()

    def advance(self):
        """End the runs that are due, and all once the lease has lapsed."""
        now = time.monotonic()
        has_lapsed = self.clock_ms >= self.lease_until_ms
        for run in list(self.runs.values()):
            if run.ends_at <= now:
                self.finish(run, run.how)
            elif has_lapsed:
                self.finish(run, "lapsed")

    def extend(self, until_ms):
        if until_ms:
            until_ms = min(until_ms, self.clock_ms + self.max_hold_ms)
            self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def start(self, body):
        task, number = body["task"], body["runId"]
        present = self.runs.get(task)
        if present is not None and present.number == number:
            self.extend(body["deadlineAtMs"])
            return 200, {}
        if number <= self.closed.get(task, 0) or present is not None:
            self.extend(body["deadlineAtMs"])
            return 409, {"reason": "old"}
        if body["deadlineAtMs"] <= self.clock_ms:
            return 409, {"reason": "late"}
        self.extend(body["deadlineAtMs"])
        self.runs[task] = run = Run(task, number, body["spec"])
        self.log("start", task=task, run=number, fence=body["fencingToken"])
        asyncio.get_running_loop().call_later(run.work_s, self.advance)
        return 200, {}

    def stop(self, body):
        task, number = body["task"], body["runId"]
        self.closed[task] = max(self.closed.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number == number:
            run.how = "stopped"
            run.ends_at = min(run.ends_at, time.monotonic() + self.stop_s)
            asyncio.get_running_loop().call_later(self.stop_s, self.advance)
        return 200, {}

    async def hold(self, body):
        self.extend(body.get("deadlineAtMs", 0))
        observed = body.get("observed", 0)
        if any(end[0] <= observed for end in self.ends):
            self.log("observed", number=observed)
        self.ends = [end for end in self.ends if end[0] > observed]
        wait_ms = min(body.get("waitMs", 0), MAX_WAIT_MS)
        if wait_ms and not self.ends:
            try:
                await asyncio.wait_for(self.ended.wait(), wait_ms / 1000)
            except TimeoutError:
                pass
        self.advance()
        running = [[r.task, r.number, "", r.percent(), 0] for r in self.runs.values()]
        return 200, {"running": running, "ended": self.ends[:MAX_LISTED_ENDS]}

    async def serve(self, method, path, query, headers, body):
        if headers.get("x-expect-instance", self.worker_id) != self.worker_id:
            return 421, {}
        self.advance()
        name = path.rpartition("/redwingrudder/")[2]
        if name not in ("run-start", "run-stop", "hold", "pace"):
            return 404, {}
        fence = body.get("fencingToken", 0)
        if fence < self.fence:
            status, answer = 409, {"reason": "fence"}
        else:
            self.fence = fence
            if name == "run-start":
                status, answer = self.start(body)
            elif name == "run-stop":
                status, answer = self.stop(body)
            elif name == "hold":
                status, answer = await self.hold(body)
            else:
                status, answer = 200, {}
        return status, {**answer, "clockMs": self.clock_ms, "born": self.born}


async def write_entry(store_port, body):
    """Write an entry to the store; the next beat makes up for a failure."""
    content = json.dumps(body).encode()
    head = f"POST /entry HTTP/1.1\r\nHost: s\r\nContent-Length: {len(content)}\r\n"
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(HOST, store_port)
            writer.write(head.encode() + b"Connection: close\r\n\r\n" + content)
            await reader.read()
            writer.close()
    except (OSError, TimeoutError):
        pass


async def main(
    worker_id,
    port,
    store_port,
    log_path,
    beat_ms,
    max_hold_ms,
    stop_ms,
    rack,
    service="pool",
    fence="0",
):
    worker = Worker(worker_id, log_path, max_hold_ms, stop_ms)
    worker.fence = int(fence)
    await Server(worker.serve).listen(HOST, int(port))
    sequence = 0
    next_beat_at = 0.0
    while True:
        now = time.monotonic()
        if now >= next_beat_at:
            next_beat_at = now + int(beat_ms) / 1000
            sequence += 1
            entry = {
                "service": service,
                "address": f"{HOST}:{port}",
                "zone": "z-a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": sequence,
                "born": worker.born,
                "capacity": CAPACITY,
                "labels": ["a", rack],
            }
            beat = {"id": worker_id, "entry": entry}
            if int(store_port):
                asyncio.ensure_future(write_entry(int(store_port), beat))
        worker.advance()
        await asyncio.sleep(0.05)


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
