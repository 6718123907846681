"""Tests of reports that the replies to later commands have overtaken."""

import unittest

from twisted.internet.defer import Deferred

from redwingrudder.coordination.gateways import (
    ChannelFactory,
    CommandReply,
    WorkerReport,
)
from redwingrudder.coordination.worker_session import SILENT_AFTER_S
from redwingrudder.workflows.model import RunReport

from . import workflow_fixtures as fx
from .test_worker_session import FakeChannel
from .test_worker_table import KEY, entry
from .worker_table_case import WorkerTableCase


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

    async def start(self, run, lease_until_ms, fence, timeout_s, may_send):
        return await self.held_start

    async def poll(
        self, fence, acknowledged_end, lease_until_ms, wait_s, timeout_s, may_send
    ):
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


class OvertakenReportTests(WorkerTableCase):
    """A silent worker answers a poll and a start again at the same time."""

    channels_type = HeldChannels

    def setUp(self):
        super().setUp()
        self.channel = self.channels.channel
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
