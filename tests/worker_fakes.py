"""Workers without sockets for tests on a virtual clock."""

import json

from twisted.internet.defer import Deferred

from redwingrudder.exceptions import UnavailableError
from redwingrudder.standins.worker import RejectedEpochError, WorkerCore
from redwingrudder.workers import WorkerAnswer, WorkerTransport


class FakeTransport(WorkerTransport):
    """Carries requests to ``WorkerCore`` objects, through JSON text.

    ``cut`` holds the addresses that cannot be reached, ``deaf`` those whose
    replies are all lost, ``dropped_replies``
    counts commands that take effect without an answer, and ``garbled`` maps
    a path to the text that is answered instead.
    """

    def __init__(self, clock, infos):
        self.clock = clock
        self.cores_by_address = {
            info.address: WorkerCore(info, clock.seconds()) for info in infos
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
        await self._sleep(0.001)
        if path == "/v1/poll":
            await self._wait_for_news(address, body)
        if address in self.cut:
            await self._sleep(timeout_s)
            raise UnavailableError("cut")
        if self.cores_by_address[address] is not core:
            raise UnavailableError("the connection ended with the process")
        status, reply = self._execute(address, path, json.loads(json.dumps(body)))
        if address in self.losing_replies:
            await self._sleep(timeout_s)
            raise UnavailableError("replies lost")
        if self.replies_to_drop and path != "/v1/poll":
            self.replies_to_drop -= 1
            raise UnavailableError("reply dropped")
        if path in self.malformed_replies:
            return WorkerAnswer(200, self.malformed_replies[path])
        return WorkerAnswer(status, json.dumps(reply).encode())

    async def get(self, address, path, timeout_s):
        self.posted.append((address, path, None))
        if address in self.cut | self.losing_replies:
            await self._sleep(timeout_s)
            raise UnavailableError("cut")
        await self._sleep(0.001)
        reply = self.cores_by_address[address].state(self.clock.seconds())
        return WorkerAnswer(200, json.dumps(reply).encode())

    def _execute(self, address, path, body):
        core = self.cores_by_address[address]
        method = getattr(core, path.removeprefix("/v1/"))
        try:
            return 200, method(body, self.clock.seconds())
        except RejectedEpochError as error:
            rejection = {"code": error.code, "detail": "", "highest": error.highest}
            return 409, rejection

    async def _wait_for_news(self, address, body):
        until = self.clock.seconds() + body["wait_s"]
        core = self.cores_by_address[address]
        try:
            core.poll(body, self.clock.seconds())
        except RejectedEpochError:
            return
        while self.clock.seconds() < until and address not in self.cut:
            core = self.cores_by_address[address]
            if core.must_answer_poll(body, self.clock.seconds()):
                return
            await self._sleep(0.1)

    def _sleep(self, delay_s):
        waited = Deferred()
        self.clock.callLater(delay_s, waited.callback, None)
        return waited


def run_clock(clock, duration_s, step_s=0.05):
    """Advance in small steps, so that all actors take their turns."""
    for _ in range(round(duration_s / step_s)):
        clock.advance(step_s)
        for _ in range(4):
            clock.advance(0)
