"""Load pattern: workers restart under their id as another kind or size."""

import unittest
from unittest import mock

from redwingrudder.coordination.progress_writer import ProgressWriter
from redwingrudder.coordination.recorder import WriteOutcome
from redwingrudder.coordination.worker_session import MIN_RESTART_S
from redwingrudder.simulation._workers import ProtocolChannel
from redwingrudder.workflows.model import NO_RESOURCES
from redwingrudder.workflows.records import PlacedRun

from . import workflow_fixtures as fx
from .coordination_fakes import node_system, run_for
from .late_call_case import KEY, ROOM, LateCallCase
from .test_returning_entries import BORN_MS, EARLIER_RUN, ListingChannels
from .test_worker_table import KEY as ENTRY_KEY
from .test_worker_table import entry
from .worker_table_case import WorkerTableCase

NEXT_BORN_MS = 5_000


class StartTests(LateCallCase):
    """The only worker with room restarts and answers before its entry."""

    def test_new_process_gets_no_start_before_its_entry(self):
        """Guards against starts by the kind and size of the last process."""
        self.w1.restart()
        self.run_for(1.5)
        self.submit()
        self.assertEqual(self.w1.process.runs_by_key, {})
        self.register("w1", ROOM)
        self.run_for(0.5)
        self.assertIn(KEY, self.w1.process.runs_by_key)


class UnseenRestartTests(LateCallCase):
    """The only worker with room restarts between two polls."""

    def test_start_is_not_sent_before_a_poll(self):
        """Guards against starts by what was known of the last process."""
        for tenths in range(0, 20, 2):
            with self.subTest(tenths=tenths):
                self.setUp()
                self.run_for(tenths / 10)
                self.w1.restart()
                self.run_for(MIN_RESTART_S + 0.01)
                self.submit("job", 0.1)
                self.assertEqual(self.w1.process.runs_by_key, {})
                self.register("w1", ROOM)
                self.run_for(2.0)
                self.assertIn(KEY, self.w1.process.runs_by_key)

    def test_starts_at_the_same_time_share_a_poll(self):
        """Guards against a poll for each of many starts."""
        self.run_for(1.5)
        with mock.patch.object(
            ProtocolChannel, "poll", autospec=True, side_effect=ProtocolChannel.poll
        ) as poll:
            for number in range(4):
                self.submit(f"job{number}", 0.0)
            self.run_for(0.1)
        self.assertEqual(len(self.w1.process.runs_by_key), 4)
        self.assertLessEqual(poll.call_count, 2)


class WaitingStartTests(unittest.TestCase):
    """A worker restarts while the record of a start on it is written."""

    def sent_starts(self, restart):
        clock, system, _ = node_system()
        engine = fx.engine(fx.worker("w1"))
        engine.accept(fx.workflow("a", fx.step(1, worker_label="a")), 0.0)
        workers, recorder = mock.Mock(), mock.Mock()
        workers.find_unrecorded_ends.return_value = []

        restarts = iter([restart])

        async def restart_then_write(_, workflow_ids, starting_ids):
            for first_restart in restarts:
                first_restart(engine)
            return WriteOutcome(tuple(workflow_ids))

        recorder.write = restart_then_write
        writer = ProgressWriter(system, engine, recorder, workers, mock.Mock())
        for start in fx.starts(engine.plan(0.0, 0.0)):
            writer.add_start(start)
        writer.schedule_write()
        run_for(clock, 0.05)
        return workers.send.call_count

    def test_start_is_not_sent_before_the_entry(self):
        """Guards against a start on a process of which nothing is known."""
        self.assertEqual(
            self.sent_starts(lambda engine: engine.replace_process("w1", 2, 0.0)), 0
        )

    def test_start_is_not_sent_to_another_kind(self):
        """Guards against a start on a worker that has lost the label."""
        for labels, count in (({"b", "r1"}, 0), ({"a", "r1"}, 1)):
            facts = fx.worker("w1", process_started_ms=2, labels=frozenset(labels))
            with self.subTest(labels=labels):
                sent = self.sent_starts(
                    lambda engine, facts=facts: engine.set_worker(facts, 0.0)
                )
                self.assertEqual(sent, count)


class EntryTests(WorkerTableCase):
    """Which entry describes the process that a worker or a record names."""

    channels_type = ListingChannels
    term = 3

    def setUp(self):
        super().setUp()
        self.channel = self.channels.channel
        self.task = self.engine.accept(fx.workflow(), 0.0).find(fx.key())
        self.workers.set_entry(ENTRY_KEY, entry(born=BORN_MS))
        self.run_for(0.5)

    @property
    def facts(self):
        return self.engine.workers_by_id["w1"].facts

    def assert_unknown(self):
        self.assertEqual(
            (self.facts.pool, self.facts.labels, self.facts.capacity),
            ("", frozenset(), NO_RESOURCES),
        )

    def test_run_of_a_new_process_counts_before_its_entry(self):
        """Guards against a second run beside that of a new process."""
        self.channel.process_started_ms = NEXT_BORN_MS
        self.channel.running = [(fx.key(), EARLIER_RUN)]
        self.run_for(2.0)
        self.assert_unknown()
        self.assertEqual((self.task.state, self.task.worker_id), ("running", "w1"))
        self.workers.set_entry(ENTRY_KEY, entry(born=NEXT_BORN_MS))
        self.assertEqual(self.facts.pool, "pool")
        self.assertEqual(self.task.state, "running")

    def test_recorded_process_is_unknown_before_its_entry(self):
        """Guards against starts by an older entry after a takeover."""
        self.channel.process_started_ms = NEXT_BORN_MS
        self.workers.adopt(PlacedRun(fx.key(), EARLIER_RUN, "w1", NEXT_BORN_MS))
        self.run_for(0.5)
        self.assert_unknown()

    def test_entry_that_was_passed_over_counts_once_the_worker_confirms_it(self):
        """Guards against a worker that waits for an entry that is there."""
        self.workers.adopt(PlacedRun(fx.key(), EARLIER_RUN, "w1", NEXT_BORN_MS))
        self.assert_unknown()
        self.run_for(0.5)
        self.assertEqual(self.facts.pool, "pool")
        self.assertEqual(self.facts.process_started_ms, BORN_MS)

    def test_drain_of_the_last_process_is_over(self):
        """Guards against runs that are moved off a worker that stays."""
        self.workers.set_entry(
            ENTRY_KEY, entry(born=BORN_MS, state="draining", remainingMs=5_000)
        )
        self.channel.process_started_ms = NEXT_BORN_MS
        self.run_for(2.0)
        self.assertFalse(self.facts.draining)
        self.assertEqual(self.engine.workers_by_id["w1"].leaves_at, float("inf"))


if __name__ == "__main__":
    unittest.main()
