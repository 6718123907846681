"""Tests of the worker table with in-memory channels."""

import json
import math
import unittest

from redwingrudder.coordination.authority import Authority
from redwingrudder.coordination.gateways import (
    COORDINATOR,
    ChannelFactory,
    WorkerReport,
)
from redwingrudder.coordination.messages import (
    StartSettled,
    WorkerLeaseLapsed,
    WorkerPolled,
    WorkerSilent,
)
from redwingrudder.coordination.worker_table import WorkerTable
from redwingrudder.exceptions import OutcomeUnknownError
from redwingrudder.platform.registry import PlatformRegistry
from redwingrudder.timers import TimerService
from redwingrudder.workflows.engine import Engine
from redwingrudder.workflows.model import Resources, RunReport

from . import workflow_fixtures as fx
from .coordination_fakes import Recording, node_system, run_for
from .test_worker_session import HEARTBEAT_S, TIMES, FakeChannel

DRAIN_S = 6.0
KEY = "servers/w1"


class FakeChannels(ChannelFactory):
    def __init__(self, clock):
        self.channel = FakeChannel(clock)

    def open(self, facts):
        return self.channel


def entry(**changes):
    return json.dumps(
        {
            "service": "pool",
            "address": "10.0.0.1:80",
            "zone": "domain",
            "state": "ready",
            "born": 1,
            "capacity": {"cpu": 1000, "memMb": 1, "gpu": 1},
            **changes,
        }
    )


class DepartureTests(unittest.TestCase):
    """Entries of a worker that drains and leaves."""

    def setUp(self):
        self.clock, self.system, _ = node_system()
        TimerService(self.system)
        self.coordinator = Recording(
            self.system,
            COORDINATOR,
            {WorkerPolled: None, WorkerSilent: None, WorkerLeaseLapsed: None},
        )
        self.channels = FakeChannels(self.clock)
        authority = Authority(self.clock.seconds, math.inf)
        engine = Engine()
        engine.term = 1
        self.workers = WorkerTable(
            self.system, engine, PlatformRegistry(), self.channels, TIMES, authority
        )
        self.workers.set_entry(KEY, entry())
        run_for(self.clock, 1.0)

    def drain(self, seen_after_s):
        """Apply the entry of a draining worker some time after its writing."""
        remaining_ms = 1000 * DRAIN_S
        run_for(self.clock, seen_after_s)
        self.workers.set_entry(KEY, entry(state="draining", remainingMs=remaining_ms))

    def leave(self, after_s):
        """Let the worker end and remove its entry."""
        run_for(self.clock, after_s)
        self.channels.channel.unanswering = True
        self.workers.set_entry(KEY, None)
        run_for(self.clock, 1.0)
        return any(
            isinstance(message, WorkerLeaseLapsed)
            for message in self.coordinator.received
        )

    def test_worker_that_left_holds_no_lease(self):
        """Guards against runs that wait for the lease of a departed worker."""
        self.drain(0.0)
        self.assertTrue(self.leave(DRAIN_S))

    def test_entry_that_was_seen_late_is_no_reason_to_wait(self):
        """Guards against runs that wait since the drain was noticed late.

        The store delayed the entry by one second, so the worker leaves one
        second before the remaining time has passed for the coordinator.
        """
        self.drain(1.0)
        self.assertTrue(self.leave(DRAIN_S - 1.0))

    def test_entry_removed_well_before_the_end_may_be_lost(self):
        """Guards against a second run after the store has lost an entry."""
        self.drain(0.0)
        self.assertFalse(self.leave(DRAIN_S - 2 * HEARTBEAT_S))


class RestartingChannel(FakeChannel):
    """Channel to a worker whose process is replaced under the same id.

    Attributes:
        process_started_ms: Start time of the current process.
        runs: Runs in progress in the current process.
        restarts_at_start: Whether the next start has no reply and is followed
            by a restart.
    """

    def __init__(self, clock):
        super().__init__(clock)
        self.process_started_ms = 1
        self.runs = []
        self.restarts_at_start = False

    async def start(self, run, lease_until_ms, fence, timeout_s, may_send):
        if self.restarts_at_start:
            self.restarts_at_start = False
            self.process_started_ms += 1
            raise OutcomeUnknownError("the process ended")
        self.runs.append(RunReport(run.key, run.run, "", 1.0))
        return self._reply("start")

    async def poll(
        self, fence, acknowledged_end, lease_until_ms, wait_s, timeout_s, may_send
    ):
        reply = self._reply("poll")
        return WorkerReport(
            reply.clock_ms, self.process_started_ms, tuple(self.runs), ()
        )


class RestartTests(unittest.TestCase):
    """A worker that starts again under its id, beside an idle worker."""

    def setUp(self):
        self.clock, self.system, _ = node_system()
        TimerService(self.system)
        message_types = (WorkerPolled, WorkerSilent, WorkerLeaseLapsed, StartSettled)
        self.coordinator = Recording(
            self.system, COORDINATOR, dict.fromkeys(message_types, None)
        )
        self.channels = FakeChannels(self.clock)
        self.channels.channel = self.channel = RestartingChannel(self.clock)
        self.engine = Engine()
        self.engine.term = 1
        self.workers = WorkerTable(
            self.system,
            self.engine,
            PlatformRegistry(),
            self.channels,
            TIMES,
            Authority(self.clock.seconds, math.inf),
        )
        self.workers.set_entry(KEY, entry())
        self.run_for(0.5)

    def run_for(self, seconds):
        """Advance the clock, and apply what COORDINATOR would receive."""
        run_for(self.clock, seconds)
        received, self.coordinator.received = self.coordinator.received, []
        now = self.clock.seconds()
        for message in received:
            if isinstance(message, WorkerPolled):
                self.workers.take_report(message)
            elif isinstance(message, StartSettled) and message.reply.accepted:
                start = message.run
                self.engine.start_confirmed(start.key, start.run, now)

    def test_run_that_the_new_process_has_started_is_kept(self):
        """Guards against a second run beside that of a restarted worker.

        The first attempt of a start ends with the worker's process, and the
        second one begins the run in the new process.
        """
        self.engine.accept(fx.workflow("job", fx.step(1, Resources(1, 1, 1))), 0.0)
        (start,) = fx.starts(self.engine.plan(self.clock.seconds(), 0.0))
        self.channel.restarts_at_start = True
        self.workers.send(start)
        self.run_for(1.0)
        self.assertEqual(len(self.channel.runs), 1)
        self.workers.set_entry(KEY, entry(born=self.channel.process_started_ms))
        self.engine.set_worker(fx.worker("w2"), self.clock.seconds())
        self.engine.workers_by_id["w2"].reachable = True
        self.assertEqual(
            fx.starts(self.engine.plan(self.clock.seconds(), 0.0)),
            [],
            "placed elsewhere before the new process has reported",
        )
        self.run_for(1.0)
        task = self.engine.find(start.key)
        self.assertEqual((task.state, task.worker_id), ("running", "w1"))

    def test_start_that_overtakes_the_first_report_is_kept(self):
        """Guards against a second run beside one that was just begun.

        The worker restarts while the record of a start is written. The start
        goes to the new process, whose first report is handled only then.
        """
        self.engine.accept(fx.workflow("job", fx.step(1, Resources(1, 1, 1))), 0.0)
        (start,) = fx.starts(self.engine.plan(self.clock.seconds(), 0.0))
        self.channel.process_started_ms = 2
        self.workers.set_entry(KEY, entry(born=2))
        run_for(self.clock, 0.1)
        self.workers.send(start)
        run_for(self.clock, 0.1)
        self.assertEqual(len(self.channel.runs), 1)
        self.run_for(0.1)
        task = self.engine.find(start.key)
        self.assertEqual((task.state, task.run), ("running", start.run))


if __name__ == "__main__":
    unittest.main()
