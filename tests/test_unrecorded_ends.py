"""Tests of the acknowledgement of ends while the store does not answer."""

import itertools
import json
import unittest

from redwingrudder.coordination.gateways import (
    PROGRESS_PREFIX,
    TERM_KEY,
    ChannelFactory,
    WorkerReport,
)
from redwingrudder.coordination.progress_writer import ProgressWriter
from redwingrudder.coordination.recorder import Recorder
from redwingrudder.workflows import records
from redwingrudder.workflows.model import EndKind, RunEnd

from . import workflow_fixtures as fx
from .test_worker_session import FakeChannel
from .worker_table_case import APPLY_INTERVAL_S, WorkerTableCase

MEMBERS = 3


class ListingChannel(FakeChannel):
    """Channel to a worker that lists ends until they are acknowledged.

    Attributes:
        ends_by_number: Ends that are not acknowledged.
        acknowledged: Highest number that a poll has acknowledged.
    """

    def __init__(self, clock):
        super().__init__(clock)
        self.ends_by_number = {}
        self.acknowledged = 0
        self._numbers = itertools.count(1)

    def end(self, key, run, kind):
        number = next(self._numbers)
        self.ends_by_number[number] = RunEnd(number, key, run, kind, "")

    async def poll(
        self, fence, acknowledged_end, lease_until_ms, wait_s, timeout_s, may_send
    ):
        self.acknowledged = max(self.acknowledged, acknowledged_end)
        for number in list(self.ends_by_number):
            if number <= acknowledged_end:
                del self.ends_by_number[number]
        reply = self._reply("poll")
        ends = tuple(self.ends_by_number.values())
        return WorkerReport(reply.clock_ms, 1, (), ends)


class ListingChannels(ChannelFactory):
    """Opens channels; a worker keeps its state over several channels."""

    def __init__(self, clock):
        self.clock = clock
        self.channels_by_worker = {}

    def open(self, facts):
        return self.channels_by_worker.setdefault(
            facts.worker_id, ListingChannel(self.clock)
        )


class UnrecordedEndTests(WorkerTableCase):
    """A gang of three members on two workers while the store is down."""

    channels_type = ListingChannels

    def setUp(self):
        super().setUp()
        self.store.contents.put(TERM_KEY, str(self.term))
        revision = self.store.contents.items_by_key[TERM_KEY].mod_revision
        self.writer = ProgressWriter(
            self.system,
            self.engine,
            Recorder(self.system, self.term, revision),
            self.workers,
            lambda: self.fail("the coordinator was deposed"),
        )
        for worker_id in ("w1", "w2"):
            self.set_entry(worker_id)
        self.run_for(0.2)
        step = fx.step(MEMBERS, fx.HALF_WORKER, gang=True)
        self.engine.accept(fx.workflow("job", step), 0.0)
        self.starts = fx.starts(self.engine.plan(0.0, 0.0))
        fx.confirm(self.engine, self.starts, self.clock.seconds())
        self.run_for(0.2)
        self.assertEqual({start.worker_id for start in self.starts}, {"w1", "w2"})
        self.first = self.starts[0]
        self.other = next(
            start for start in self.starts if start.worker_id != self.first.worker_id
        )

    def set_entry(self, worker_id, address="10.0.0.1:80"):
        entry = {
            "service": "pool",
            "address": address,
            "zone": "domain",
            "state": "ready",
            "born": 1,
            "capacity": {"cpu": 128_000, "memMb": 262_144, "gpu": 8},
        }
        self.workers.set_entry("servers/" + worker_id, json.dumps(entry))

    def run_for(self, seconds):
        """See base class; progress is recorded too."""
        for _ in range(round(seconds / APPLY_INTERVAL_S)):
            super().run_for(APPLY_INTERVAL_S)
            self.writer.schedule_write()

    def end(self, start, kind=EndKind.DONE):
        self.channels.channels_by_worker[start.worker_id].end(
            start.key, start.run, kind
        )
        self.run_for(1.5)

    def acknowledged(self, start):
        return self.channels.channels_by_worker[start.worker_id].acknowledged

    def recorded(self):
        item = self.store.contents.items_by_key[PROGRESS_PREFIX + "job"]
        return records.decode_progress("job", item.value.encode())

    def assert_acknowledged_once_recorded(self, *starts):
        """Check that an end is acknowledged after the store answers only."""
        for start in starts:
            self.assertEqual(self.acknowledged(start), 0)
        self.store.down = False
        self.run_for(3.0)
        for start in starts:
            channel = self.channels.channels_by_worker[start.worker_id]
            self.assertEqual(channel.ends_by_number, {})

    def test_end_of_another_member_waits_for_the_record(self):
        """Guards against a gang that runs again after all its ends are gone.

        The first end of a member completes the gang in memory, so the ends of
        the others change nothing.
        """
        self.store.down = True
        self.end(self.first)
        self.end(self.other)
        self.assert_acknowledged_once_recorded(self.first, self.other)
        self.assertEqual(len(self.recorded().done), MEMBERS)

    def test_end_listed_to_a_new_session_waits_for_the_record(self):
        """Guards against an end that is acknowledged as it was seen before.

        The session is opened anew while the record waits for the store.
        """
        self.store.down = True
        self.end(self.first)
        self.set_entry(self.first.worker_id, "10.0.0.9:80")
        self.run_for(1.5)
        self.assert_acknowledged_once_recorded(self.first)

    def test_end_of_an_older_run_waits_for_the_record(self):
        """Guards against the loss of an end that came after a later run's."""
        self.store.down = True
        self.end(self.first)
        self.end(self.other._replace(run=0))
        self.assert_acknowledged_once_recorded(self.first, self.other)

    def test_end_of_a_withdrawn_task_waits_for_the_record(self):
        """Guards against an end that is lost with its job's cancellation."""
        self.end(self.other, EndKind.STOPPED)
        self.assertEqual(self.acknowledged(self.other), 1)
        self.store.down = True
        self.engine.cancel("job", self.clock.seconds())
        self.end(self.other)
        self.assertEqual(self.acknowledged(self.other), 1)
        self.assert_acknowledged_once_recorded(self.first)

    def test_end_that_arrives_during_a_write_is_acknowledged(self):
        """Guards against an end that no later write acknowledges.

        The end changes nothing, and the write in progress records the job.
        """
        self.store.answers_to_withhold = 1
        channel = self.channels.channels_by_worker[self.other.worker_id]
        channel.end(self.other.key, self.other.run, EndKind.DONE)
        self.channels.channels_by_worker[self.first.worker_id].end(
            self.first.key, self.first.run, EndKind.DONE
        )
        self.run_for(3.0)
        self.assertEqual(channel.ends_by_number, {})
        self.assertEqual(len(self.recorded().done), MEMBERS)

    def test_end_of_a_recorded_job_is_acknowledged_at_once(self):
        """Guards against needless writes for ends that are known already."""
        self.end(self.first)
        transactions = len(self.store.transactions)
        self.end(self.other)
        self.assertEqual(self.acknowledged(self.other), 1)
        self.assertEqual(len(self.store.transactions), transactions)


if __name__ == "__main__":
    unittest.main()
