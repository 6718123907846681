"""In-memory worker transport for tests on a virtual clock."""

import json

from twisted.internet.defer import Deferred

from redwingrudder.exceptions import UnavailableError
from redwingrudder.standins.worker import RejectedEpochError, WorkerCore
from redwingrudder.workers import WorkerResponse, WorkerTransport

REQUEST_DELAY_S = 0.001
POLL_CHECK_INTERVAL_S = 0.1  # between checks of a waiting poll for events
TURNS_PER_STEP = 4


class FakeTransport(WorkerTransport):
    """In-memory transport to ``WorkerCore`` objects; bodies are sent as JSON.

    Attributes:
        cut: Addresses that cannot be reached.
        losing_replies: Addresses that execute requests, but whose replies
            are all lost.
        replies_to_drop: Number of following commands that are executed
            without a reply; polls are not counted.
        malformed_replies: Maps a path to the bytes that are returned instead
            of the reply.
        posted: The address, path and body of every request.
    """

    def __init__(self, clock, worker_infos):
        self.clock = clock
        self.cores_by_address = {
            info.address: WorkerCore(info, clock.seconds()) for info in worker_infos
        }
        self.retired_cores = []
        self.cut = set()
        self.losing_replies = set()
        self.replies_to_drop = 0
        self.malformed_replies = {}
        self.posted = []

    def restart(self, address):
        self.retired_cores.append(self.cores_by_address[address])
        info = self.cores_by_address[address].info
        self.cores_by_address[address] = WorkerCore(info, self.clock.seconds())

    def history(self):
        cores = [*self.retired_cores, *self.cores_by_address.values()]
        return [entry for core in cores for entry in core.history]

    def paths(self):
        return [path for _, path, _ in self.posted]

    async def post(self, address, path, body, timeout_s):
        self.posted.append((address, path, body))
        core = self.cores_by_address[address]
        await self._sleep(REQUEST_DELAY_S)
        if path == "/v1/poll":
            await self._wait_for_events(address, body)
        if address in self.cut:
            await self._sleep(timeout_s)
            raise UnavailableError("worker unreachable")
        if self.cores_by_address[address] is not core:
            raise UnavailableError("connection closed: the worker process restarted")
        status, reply = self._execute(address, path, json.loads(json.dumps(body)))
        if address in self.losing_replies:
            await self._sleep(timeout_s)
            raise UnavailableError("reply lost after the request was executed")
        if self.replies_to_drop and path != "/v1/poll":
            self.replies_to_drop -= 1
            raise UnavailableError("reply dropped after the request was executed")
        if path in self.malformed_replies:
            return WorkerResponse(200, self.malformed_replies[path])
        return WorkerResponse(status, json.dumps(reply).encode())

    async def get(self, address, path, timeout_s):
        self.posted.append((address, path, None))
        if address in self.cut | self.losing_replies:
            await self._sleep(timeout_s)
            raise UnavailableError("worker unreachable")
        await self._sleep(REQUEST_DELAY_S)
        reply = self.cores_by_address[address].state(self.clock.seconds())
        return WorkerResponse(200, json.dumps(reply).encode())

    def _execute(self, address, path, body):
        core = self.cores_by_address[address]
        method = getattr(core, path.removeprefix("/v1/"))
        try:
            return 200, method(body, self.clock.seconds())
        except RejectedEpochError as error:
            rejection = {"code": error.code, "detail": "", "highest": error.highest}
            return 409, rejection

    async def _wait_for_events(self, address, body):
        deadline = self.clock.seconds() + body["wait_s"]
        core = self.cores_by_address[address]
        try:
            core.poll(body, self.clock.seconds())
        except RejectedEpochError:
            return
        while self.clock.seconds() < deadline and address not in self.cut:
            core = self.cores_by_address[address]
            if core.must_answer_poll(body, self.clock.seconds()):
                return
            await self._sleep(POLL_CHECK_INTERVAL_S)

    def _sleep(self, delay_s):
        slept = Deferred()
        self.clock.callLater(delay_s, slept.callback, None)
        return slept


def run_clock(clock, duration_s, step_s=0.05):
    """Advance the clock in small steps, so that all actors get their turns.

    Each step is followed by ``TURNS_PER_STEP`` turns without a delay, in which
    actors handle the messages that other actors have sent.
    """
    for _ in range(round(duration_s / step_s)):
        clock.advance(step_s)
        for _ in range(TURNS_PER_STEP):
            clock.advance(0)
