"""In-memory workers that restart and that carry calls out late."""

from typing import NamedTuple

from redwingrudder._background import pause
from redwingrudder.coordination.gateways import (
    ChannelFactory,
    CommandReply,
    WorkerChannel,
    WorkerReport,
)
from redwingrudder.exceptions import OutcomeUnknownError, UnavailableError
from redwingrudder.workflows.model import EndKind, RunEnd, RunReport

MAX_LEASE_S = 6.0  # longer leases are shortened to this
POLL_CHECK_INTERVAL_S = 0.05  # between checks of a waiting poll for ends
FIRST_CLOCK_MS = 1  # reading of a worker's clock when its process starts


class RunInterval(NamedTuple):
    """Time in which a run was executed, in clock seconds.

    ``end`` is infinite while the run goes on.
    """

    key: tuple
    run: int
    worker_id: str
    begin: float
    end: float


class WorkerProcess:
    """One process of a worker: runs under a fencing token and a lease.

    Attributes:
        started_ms: Start time, which identifies the process.
        runs_by_key: Runs that are executed: number and time of the start.
        ends: Ends that are not acknowledged.
        acknowledged: Ends that a poll has acknowledged.
        leases_end_at: End of the lease in clock seconds.
    """

    def __init__(self, worker, started_ms):
        self._worker = worker
        self._clock = worker.clock
        self._started_at = worker.clock.seconds()
        self.started_ms = started_ms
        self.runs_by_key = {}
        self.ends = []
        self.acknowledged = []
        self.leases_end_at = 0.0
        self._highest_fence = 0
        self._last_number = 0
        self._closed_run_by_key = {}

    @property
    def clock_ms(self):
        return FIRST_CLOCK_MS + int((self._clock.seconds() - self._started_at) * 1000)

    def start(self, fence, key, run, lease_until_ms):
        """Start a run; a start of a run that goes on changes nothing."""
        self.expire()
        if not self._raise_fence(fence):
            return self._reply("fenced")
        current = self.runs_by_key.get(key)
        if current is not None and current[0] == run:
            self._extend_lease(lease_until_ms)
            return self._reply("")
        if current is not None or run <= self._closed_run_by_key.get(key, 0):
            self._extend_lease(lease_until_ms)
            return self._reply("outdated")
        if lease_until_ms <= self.clock_ms:
            return self._reply("lapsed")
        self._extend_lease(lease_until_ms)
        self.runs_by_key[key] = (run, self._clock.seconds())
        return self._reply("")

    def stop(self, fence, key, run):
        """Stop a run; starts up to its number are rejected from now on."""
        self.expire()
        if not self._raise_fence(fence):
            return self._reply("fenced")
        current = self.runs_by_key.get(key)
        if current is not None and current[0] == run:
            self.end(key, EndKind.STOPPED)
        closed = self._closed_run_by_key
        closed[key] = max(closed.get(key, 0), run)
        return self._reply("")

    def poll(self, fence, acknowledged_end, lease_until_ms):
        """Extend the lease, forget acknowledged ends and list all runs."""
        self.expire()
        if not self._raise_fence(fence):
            return self._reply("fenced")
        if lease_until_ms:
            self._extend_lease(lease_until_ms)
        self.acknowledged += [e for e in self.ends if e.number <= acknowledged_end]
        self.ends = [end for end in self.ends if end.number > acknowledged_end]
        return self.report()

    def report(self):
        """Return the lists of all runs and of the ends."""
        self.expire()
        running = tuple(
            RunReport(key, run, "", 10.0) for key, (run, _) in self.runs_by_key.items()
        )
        return WorkerReport(self.clock_ms, self.started_ms, running, tuple(self.ends))

    def end(self, key, kind, at=None):
        """End a run; without ``at``, at this moment."""
        run, begin = self.runs_by_key.pop(key)
        at = self._clock.seconds() if at is None else at
        self._worker.intervals.append(
            RunInterval(key, run, self._worker.worker_id, begin, at)
        )
        self._closed_run_by_key[key] = max(self._closed_run_by_key.get(key, 0), run)
        self._last_number += 1
        self.ends.append(RunEnd(self._last_number, key, run, kind, ""))

    def expire(self):
        """End all runs if the lease has expired."""
        if self._clock.seconds() >= self.leases_end_at:
            for key in list(self.runs_by_key):
                self.end(key, EndKind.LAPSED, self.leases_end_at)

    def _raise_fence(self, fence):
        self._highest_fence = max(self._highest_fence, fence)
        return fence == self._highest_fence

    def _extend_lease(self, lease_until_ms):
        lease_s = min((lease_until_ms - self.clock_ms) / 1000, MAX_LEASE_S)
        self.leases_end_at = max(self.leases_end_at, self._clock.seconds() + lease_s)

    def _reply(self, reason):
        return CommandReply(not reason, reason, self.clock_ms)


class ProtocolWorker:
    """A worker that may restart under its id.

    Attributes:
        process: Its process.
        intervals: Runs that have ended or were lost with their process.
        silent: No call is carried out, and none gets a reply.
        late: Names of calls that get no reply and are carried out by
            ``carry_out_late_calls``.
        late_calls: Calls to carry out later.
        fences: Fencing tokens of all calls that were sent, in their order.
        connect_s: Time in seconds until a call is written.
    """

    def __init__(self, clock, worker_id):
        self.clock = clock
        self.worker_id = worker_id
        self.process = WorkerProcess(self, 1)
        self.intervals = []
        self.silent = False
        self.late = set()
        self.late_calls = []
        self.fences = []
        self.connect_s = 0.0

    def restart(self):
        """Replace the process by one that knows nothing of the last one."""
        self.process.expire()
        for key in list(self.process.runs_by_key):
            self.process.end(key, EndKind.FAILED)
        self.process = WorkerProcess(self, self.process.started_ms + 1)

    def carry_out_late_calls(self):
        """Let the current process carry out the calls that were late."""
        late_calls, self.late_calls = self.late_calls, []
        return [getattr(self.process, name)(*args) for name, args in late_calls]

    def all_intervals(self):
        """Return the intervals of all runs, those that go on included."""
        self.process.expire()
        return self.intervals + [
            RunInterval(key, run, self.worker_id, begin, float("inf"))
            for key, (run, begin) in self.process.runs_by_key.items()
        ]

    async def call(self, name, timeout_s, may_send, fence, *args):
        """Carry out a call now or later, or not at all."""
        if self.connect_s:
            await pause(self.clock, self.connect_s)
        if not may_send():
            raise UnavailableError("the call was not sent")
        self.fences.append(fence)
        if self.silent:
            await pause(self.clock, timeout_s)
            raise UnavailableError("the worker does not answer")
        if name in self.late:
            self.late_calls.append((name, (fence, *args)))
            await pause(self.clock, timeout_s)
            raise OutcomeUnknownError("the worker does not answer in time")
        return getattr(self.process, name)(fence, *args)

    async def poll(self, timeout_s, may_send, wait_s, *args):
        """Carry out a poll, and reply as soon as there is an end."""
        process = self.process
        reply = await self.call("poll", timeout_s, may_send, *args)
        deadline = self.clock.seconds() + wait_s
        while (
            isinstance(reply, WorkerReport)
            and not reply.ended
            and self.clock.seconds() < deadline
        ):
            await pause(self.clock, POLL_CHECK_INTERVAL_S)
            if self.silent or self.process is not process:
                raise UnavailableError("the connection was lost")
            reply = process.report()
        return reply


class ProtocolChannel(WorkerChannel):
    """Channel to a ``ProtocolWorker``."""

    def __init__(self, worker):
        self.worker = worker

    async def start(self, run, lease_until_ms, fence, timeout_s, may_send):
        return await self.worker.call(
            "start", timeout_s, may_send, fence, run.key, run.run, lease_until_ms
        )

    async def stop(self, run, fence, timeout_s, may_send):
        return await self.worker.call(
            "stop", timeout_s, may_send, fence, run.key, run.run
        )

    async def throttle(self, run, fence, timeout_s, may_send):
        raise UnavailableError("not supported")

    async def poll(
        self, fence, acknowledged_end, lease_until_ms, wait_s, timeout_s, may_send
    ):
        return await self.worker.poll(
            timeout_s, may_send, wait_s, fence, acknowledged_end, lease_until_ms
        )

    def reset(self):
        pass

    def close(self):
        pass


class ProtocolWorkers(ChannelFactory):
    """Opens channels to the workers that are given by their id.

    Attributes:
        workers_by_id: The workers.
        opened: Worker of each channel that was opened.
    """

    def __init__(self, clock, *worker_ids):
        self.opened = []
        self.workers_by_id = {
            worker_id: ProtocolWorker(clock, worker_id) for worker_id in worker_ids
        }

    def open(self, facts):
        self.opened.append(facts.worker_id)
        return ProtocolChannel(self.workers_by_id[facts.worker_id])

    def overlapping_runs(self):
        """Return the pairs of runs of one task that overlap in time."""
        intervals = sorted(
            (
                interval
                for worker in self.workers_by_id.values()
                for interval in worker.all_intervals()
            ),
            key=lambda interval: interval.begin,
        )
        return [
            (first, second)
            for number, first in enumerate(intervals)
            for second in intervals[number + 1 :]
            if first.key == second.key and second.begin < first.end
        ]
