"""Tests of workers whose registry entries appear after a recovery."""

import unittest

from redwingrudder.coordination.gateways import ChannelFactory, WorkerReport
from redwingrudder.workflows.model import EndKind, RunEnd, RunReport
from redwingrudder.workflows.records import PlacedRun

from . import workflow_fixtures as fx
from .test_worker_session import FakeChannel
from .test_worker_table import KEY, entry
from .worker_table_case import WorkerTableCase

BORN_MS = 1
EARLIER_RUN = 1001


class ListingChannel(FakeChannel):
    """Channel to a worker that lists the given runs and ends."""

    def __init__(self, clock):
        super().__init__(clock)
        self.process_started_ms = BORN_MS
        self.running = []
        self.ended = ()
        self.ends_complete = True

    async def poll(
        self, fence, acknowledged_end, lease_until_ms, wait_s, timeout_s, may_send
    ):
        reply = self._reply("poll")
        if not reply.accepted:
            return reply
        running = tuple(RunReport(key, run, "", 50.0) for key, run in self.running)
        return WorkerReport(
            reply.clock_ms,
            self.process_started_ms,
            running,
            self.ended,
            self.ends_complete,
        )


class ListingChannels(ChannelFactory):
    def __init__(self, clock):
        self.channel = ListingChannel(clock)

    def open(self, facts):
        return self.channel


class ReturningEntryTests(WorkerTableCase):
    """A term begins while the entry of a worker with a run is missing."""

    channels_type = ListingChannels
    term = 3

    def setUp(self):
        super().setUp()
        self.channel = self.channels.channel
        progress = self.engine.accept(fx.workflow(), 0.0)
        self.task = progress.find(fx.key())
        self.workers.adopt(PlacedRun(fx.key(), EARLIER_RUN, "w1", BORN_MS))

    def test_run_of_an_earlier_term_goes_on(self):
        """Guards against stopping sound runs when the entry is back."""
        self.channel.running = [(fx.key(), EARLIER_RUN)]
        self.workers.set_entry(KEY, entry())
        self.run_for(0.5)
        self.assertNotIn("stop", self.channel.calls)
        self.assertEqual(self.task.state, "running")

    def test_run_that_is_being_stopped_is_stopped_on_the_worker(self):
        """Guards against a cancelled run that nobody stops."""
        self.channel.running = [(fx.key(), EARLIER_RUN)]
        self.engine.cancel("job", 0.0)
        self.workers.set_entry(KEY, entry())
        self.run_for(0.5)
        self.assertIn("stop", self.channel.calls)

    def test_run_whose_end_is_not_listed_yet_is_kept(self):
        """Guards against a second run of a task that has ended as done.

        The first report lists as many other ends as a reply can have.
        """
        other = RunEnd(1, fx.key("other"), 1, EndKind.DONE, "")
        own = RunEnd(2, fx.key(), EARLIER_RUN, EndKind.DONE, "")
        self.channel.ended, self.channel.ends_complete = (other,), False
        self.workers.set_entry(KEY, entry())
        self.run_for(0.5)
        self.assertTrue(self.task.placed)
        self.assertFalse(self.engine.workers_by_id["w1"].reachable)
        self.channel.ended, self.channel.ends_complete = (own,), True
        self.run_for(1.5)
        self.assertEqual(self.task.state, "done")
        self.assertTrue(self.engine.workers_by_id["w1"].reachable)

    def test_run_that_is_not_listed_is_interrupted(self):
        """Guards against a task that waits for a run that never began."""
        self.workers.set_entry(KEY, entry())
        self.run_for(0.5)
        self.assertEqual(self.task.state, "waiting")


if __name__ == "__main__":
    unittest.main()
