"""Tests of reports that the replies to later commands have overtaken."""

import math
import unittest

from twisted.internet.defer import Deferred

from redwingrudder.coordination.authority import Authority
from redwingrudder.coordination.gateways import (
    COORDINATOR,
    LEADERSHIP,
    ChannelFactory,
    CommandReply,
    WorkerReport,
)
from redwingrudder.coordination.messages import (
    Fenced,
    StartSettled,
    WorkerLeaseLapsed,
    WorkerPolled,
    WorkerSilent,
)
from redwingrudder.coordination.worker_session import SILENT_AFTER_S
from redwingrudder.coordination.worker_table import WorkerTable
from redwingrudder.platform.registry import PlatformRegistry
from redwingrudder.timers import TimerService
from redwingrudder.workflows.engine import Engine
from redwingrudder.workflows.model import RunReport

from . import workflow_fixtures as fx
from .coordination_fakes import Recording, node_system, run_for
from .test_worker_session import TIMES, FakeChannel
from .test_worker_table import KEY, entry


class HeldChannel(FakeChannel):
    """Channel to a worker whose replies can be held back.

    Attributes:
        held_start: Reply to the next start, None if starts are lost.
        held_poll: Reply to the next poll, None if polls are not held back.
        running: Runs that the worker lists.
    """

    def __init__(self, clock):
        super().__init__(clock)
        self.held_start = None
        self.held_poll = None
        self.running = []

    async def start(self, run, lease_until_ms, fence, timeout_s):
        return await self.held_start

    async def poll(self, fence, acknowledged_end, lease_until_ms, wait_s, timeout_s):
        reply = self._reply("poll")
        running = tuple(RunReport(key, run, "", 50.0) for key, run in self.running)
        report = WorkerReport(reply.clock_ms, 1, running, ())
        held, self.held_poll = self.held_poll, None
        if held is not None:
            await held
        return report


class HeldChannels(ChannelFactory):
    def __init__(self, clock):
        self.channel = HeldChannel(clock)

    def open(self, facts):
        return self.channel


class OvertakenReportTests(unittest.TestCase):
    """A silent worker answers a poll and a start again at the same time."""

    def setUp(self):
        self.clock, self.system, _ = node_system()
        TimerService(self.system)
        message_types = (WorkerPolled, WorkerSilent, WorkerLeaseLapsed, StartSettled)
        self.coordinator = Recording(
            self.system, COORDINATOR, dict.fromkeys(message_types, None)
        )
        Recording(self.system, LEADERSHIP, {Fenced: None})
        channels = HeldChannels(self.clock)
        self.channel = channels.channel
        self.engine = Engine()
        self.workers = WorkerTable(
            self.system,
            self.engine,
            PlatformRegistry(),
            channels,
            TIMES,
            Authority(self.clock.seconds, math.inf),
        )
        capacity = {"cpu": 128_000, "memMb": 262_144, "gpu": 8}
        self.workers.set_entry(KEY, entry(capacity=capacity))
        self.run_for(0.2)
        progress = self.engine.accept(fx.workflow(), 0.0)
        self.start = fx.starts(self.engine.plan(self.clock.seconds(), 0.0))[0]
        self.task = progress.find(self.start.key)
        self.channel.held_start = Deferred()
        self.workers.send(self.start)
        self.channel.unanswering = True
        self.run_for(SILENT_AFTER_S + 1.0)
        self.channel.unanswering = False
        self.held_poll = self.channel.held_poll = Deferred()
        self.run_for(0.5)
        self.assertFalse(self.engine.workers_by_id["w1"].reachable)
        clock_ms = int(self.clock.seconds() * 1000)
        self.channel.held_start.callback(CommandReply(True, "", clock_ms))
        self.run_for(0.1)
        self.assertEqual(self.task.state, "running")

    def run_for(self, seconds):
        """Advance the clock, and apply what COORDINATOR would receive."""
        for _ in range(round(seconds / 0.05)):
            run_for(self.clock, 0.05)
            received, self.coordinator.received = self.coordinator.received, []
            for message in received:
                now = self.clock.seconds()
                if isinstance(message, WorkerPolled):
                    self.workers.take_report(message)
                elif isinstance(message, WorkerSilent):
                    self.workers.set_silent(message)
                elif isinstance(message, StartSettled):
                    self.engine.start_confirmed(message.run.key, message.run.run, now)

    def test_report_from_before_a_start_does_not_interrupt_its_run(self):
        """Guards against a second run after replies in another order.

        The worker has answered the poll before it began the run.
        """
        self.channel.running = [(self.start.key, self.start.run)]
        self.held_poll.callback(None)
        self.run_for(2.0)
        self.assertEqual((self.task.state, self.task.run), ("running", self.start.run))

    def test_run_that_a_later_report_does_not_list_is_interrupted(self):
        """Guards against a task that waits for a run that is gone."""
        self.held_poll.callback(None)
        self.run_for(2.0)
        self.assertEqual(self.task.state, "waiting")


if __name__ == "__main__":
    unittest.main()
