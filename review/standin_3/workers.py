"""Workers of the platform: runs under a lease and a fencing token."""

import asyncio
import json
import time

from .wire import Server

HEARTBEATS_UNTIL_REMOVED = 3
LASTING_STARTUP_S = 0.3  # until a task that lasts is at work
MAX_ENDS = 500


class Worker:
    """One worker; a process of it can be killed and started again.

    Args:
        world: The deployment, with the store, the jobs and the record.
        worker_id: Id of the worker.
        port: Port on the loopback interface.
        rack: Its rack, the second label.
        kind: Its kind, the first label.
        gpu: Accelerators; the other capacity is that of the deployments.
        machine: Machine on which it runs.
    """

    def __init__(self, world, worker_id, port, rack, kind="a", gpu=8, machine=""):
        self.world = world
        self.worker_id = worker_id
        self.machine = machine
        self.rack = rack
        self.kind = kind
        self.gpu = gpu
        self.state = "ready"
        self.server = Server(port, self._handle)
        self.up = False
        self.born = 0
        self._tasks = []
        self.running = {}
        self._removal = None

    # Life of a process.

    async def start(self, entry_after_s=0.0):
        """Start a process; its first entry is written after a time."""
        self.born = max(self.born + 1, int(time.time() * 1000))
        self._began = time.monotonic()
        self.sequence = 0
        self.highest_token = 0
        self.running = {}
        self.ended = []
        self.last_end = 0
        self.closed_run = {}
        self.lease_until = 0.0
        self._end_listed = asyncio.Event()
        self.up = True
        await self.server.open()
        self.world.log("worker process started", worker=self.worker_id, born=self.born)
        self._tasks = [
            asyncio.create_task(self._heartbeat(entry_after_s)),
            asyncio.create_task(self._expire()),
        ]

    def kill(self):
        """Kill the process; all its runs end with it."""
        if not self.up:
            return
        self.up = False
        self.server.kill()
        for task in self._tasks:
            task.cancel()
        for name in list(self.running):
            self._end(name, "killed", listed=False)
        self.world.log("worker process killed", worker=self.worker_id)
        loop = asyncio.get_running_loop()
        silence_s = HEARTBEATS_UNTIL_REMOVED * self.world.heartbeat_s
        self._removal = loop.call_later(silence_s, self._lapse_entry)

    def _lapse_entry(self):
        if not self.up:
            self.world.store.remove(f"servers/{self.worker_id}")

    @property
    def capacity(self):
        return {"cpu": 128000, "memMb": 262144, "gpu": self.gpu}

    def register(self):
        self.sequence += 1
        entry = {
            "service": self.world.service,
            "address": f"127.0.0.1:{self.server.port}",
            "zone": "hobart",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
            "capacity": self.capacity,
            "labels": [self.kind, self.rack],
        }
        self.world.store.put(f"servers/{self.worker_id}", json.dumps(entry))

    async def _heartbeat(self, entry_after_s):
        await asyncio.sleep(entry_after_s)
        while True:
            # A worker behind a cut does not reach the store either.
            if not self.server.cut:
                self.register()
            await asyncio.sleep(self.world.heartbeat_s)

    # Runs.

    @property
    def clock_ms(self):
        return int((time.monotonic() - self._began) * 1000)

    def _extend(self, until_ms):
        longest_ms = self.clock_ms + self.world.max_hold_ms
        self.lease_until = max(self.lease_until, min(until_ms, longest_ms))

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock_ms > self.lease_until:
                for name in list(self.running):
                    self._end(name, "lapsed")

    def used_gpu(self):
        return sum(run["gpu"] for run in self.running.values())

    def _start(self, body):
        name, run = body["task"], body["runId"]
        if body.get("deadlineAtMs"):
            self._extend(body["deadlineAtMs"])
        current = self.running.get(name)
        if current and current["run"] == run and not current["stopping"]:
            return 200, {}
        if run <= self.closed_run.get(name, 0) or current:
            return 409, {"reason": "old"}
        if body["deadlineAtMs"] <= self.clock_ms:
            return 409, {"reason": "late"}
        job, _, step, _ = name.split(".")
        spec = self.world.steps[job][int(step)]
        gpu = spec.get("gpu", 0)
        if self.world.guards and self.used_gpu() + gpu > self.gpu:
            return 409, {"reason": "room"}
        row = self.world.run_began(self, name, run, spec)
        self.running[name] = {
            "run": run,
            "row": row,
            "gpu": gpu,
            "began": time.monotonic(),
            "run_s": json.loads(body["spec"])["run_s"],
            "lasting": bool(spec.get("longRunning")),
            "stopping": False,
        }
        if not spec.get("longRunning"):
            timer = asyncio.get_running_loop().call_later(
                self.running[name]["run_s"], self._complete, name, run, self.born
            )
            self.running[name]["timer"] = timer
        return 200, {}

    def _complete(self, name, run, born):
        if not self.up or born != self.born:
            return
        current = self.running.get(name)
        if current and current["run"] == run and not current["stopping"]:
            self._end(name, "done")

    def _stop(self, body):
        name, run = body["task"], body["runId"]
        self.closed_run[name] = max(self.closed_run.get(name, 0), run)
        current = self.running.get(name)
        if current and current["run"] <= run and not current["stopping"]:
            current["stopping"] = True
            self.world.run_stopping(current["row"])
            asyncio.get_running_loop().call_later(
                self.world.stop_s, self._end_stopped, name, current["run"], self.born
            )
        return 200, {}

    def _end_stopped(self, name, run, born):
        current = self.running.get(name)
        if self.up and born == self.born and current and current["run"] == run:
            self._end(name, "stopped")

    def _end(self, name, how, listed=True):
        current = self.running.pop(name)
        if "timer" in current:
            current["timer"].cancel()
        run = current["run"]
        self.closed_run[name] = max(self.closed_run.get(name, 0), run)
        self.world.run_ended(current["row"], how)
        if listed:
            self.last_end += 1
            self.ended.append([self.last_end, name, run, how, ""])
            self._end_listed.set()

    def _report(self):
        rows = []
        for name, run in self.running.items():
            age_s = time.monotonic() - run["began"]
            if run["lasting"]:
                percent = 100 if age_s >= LASTING_STARTUP_S else 0
            else:
                percent = min(100, int(100 * age_s / run["run_s"]))
            rows.append([name, run["run"], "", percent, 1])
        return {"running": rows, "ended": self.ended[:MAX_ENDS]}

    async def _hold(self, body):
        if body.get("deadlineAtMs"):
            self._extend(body["deadlineAtMs"])
        observed = body.get("observed", 0)
        self.ended = [end for end in self.ended if end[0] > observed]
        wait_s = min(body.get("waitMs", 0) / 1000, 2.0)
        if wait_s and not self.ended:
            self._end_listed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._end_listed.wait()
            except TimeoutError:
                pass
        return 200, self._report()

    async def _handle(self, request):
        born, body = self.born, request.body
        head = {"clockMs": self.clock_ms, "born": self.born}
        expected = request.headers.get("x-expect-instance")
        if expected and expected != self.worker_id:
            return 421, head
        name = request.path.removeprefix("/redwingrudder/")
        token = body.get("fencingToken", 0)
        if token < self.highest_token:
            return 409, {**head, "reason": "fence"}
        self.highest_token = token
        if name == "run-start":
            status, answer = self._start(body)
            self.world.log(
                "start",
                worker=self.worker_id,
                task=body["task"],
                run=body["runId"],
                status=status,
                **answer,
            )
        elif name == "run-stop":
            status, answer = self._stop(body)
            self.world.log(
                "stop", worker=self.worker_id, task=body["task"], run=body["runId"]
            )
        elif name == "hold":
            status, answer = await self._hold(body)
        elif name == "pace":
            status, answer = 200, {}
        else:
            return 404, {}
        if born != self.born or not self.up:
            return None
        return status, {**answer, "clockMs": self.clock_ms, "born": self.born}
