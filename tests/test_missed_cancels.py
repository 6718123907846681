"""Tests of cancellations that the coordinator's watch does not deliver."""

import json
import math
import unittest
from unittest import mock

from redwingrudder._store_requests import GetPrefix
from redwingrudder.coordination.coordinator import Coordinator
from redwingrudder.coordination.gateways import (
    COORDINATOR,
    INTAKE_PREFIX,
    LEADERSHIP,
    PEERS,
    PROGRESS_PREFIX,
    TERM_KEY,
    AwaitChanges,
    FleetGateways,
    intake_keys,
)
from redwingrudder.coordination.messages import (
    BeginTerm,
    Fenced,
    Resign,
    WorkflowStored,
)
from redwingrudder.coordination.peers import GetTimeOfDay, ListPeers, PeerView
from redwingrudder.coordination.progress_writer import MAX_CANCEL_CHECK_AGE_S
from redwingrudder.exceptions import StoreUnavailableError
from redwingrudder.platform.registry import PlatformRegistry
from redwingrudder.timers import TimerService
from redwingrudder.workflows import records
from redwingrudder.workflows.model import EndKind, Resources, WorkflowState
from redwingrudder.workflows.run_table import START_ATTEMPTS_S

from . import workflow_fixtures as fx
from .coordination_fakes import (
    STEP_S,
    Recording,
    node_system,
    run_for,
    time_out_watches,
)
from .test_authority import PAUSE_S, TIMES, StubChannels, WorkerStub
from .test_platform_codecs import ENTRY

SMALL = Resources(100, 100, 0)
MAX_TRANSACTION_ENTRIES = 32  # that the store accepts
MAX_CALLS_PER_S = 3.5  # for one key prefix whose watches get no reply
RESERVE_S = 0.3  # for the calls and the stop
CANCEL_LIMIT_S = 3.0  # from the acknowledged cancellation to the last start


class ListingChannel(WorkerStub):
    """Channel to a worker that lists its runs.

    Attributes:
        started: Workflow of each start.
        send_until: Time after which the latest start is not sent any more.
        running: Reports of the runs that go on.
        stopped: Keys of the runs that were stopped.
    """

    def __init__(self, clock):
        super().__init__(clock)
        self.started = []
        self.send_until = math.nan
        self.running = []
        self.stopped = []

    async def start(self, run, lease_until_ms, fence, timeout_s, may_send):
        self.started.append(run.key.workflow_id)
        self.send_until = run.send_until
        self.running.append(fx.running(run))
        return await super().start(run, lease_until_ms, fence, timeout_s, may_send)

    async def stop(self, run, fence, timeout_s, may_send):
        self.stopped.append(run.key)
        return await super().stop(run, fence, timeout_s, may_send)

    async def poll(
        self, fence, acknowledged_end, lease_until_ms, wait_s, timeout_s, may_send
    ):
        report = await super().poll(
            fence, acknowledged_end, lease_until_ms, wait_s, timeout_s, may_send
        )
        # Runs without progress are stopped.
        percent = self.clock.seconds()
        running = (entry._replace(percent=percent) for entry in self.running)
        return report._replace(running=tuple(running))


class MissedCancelCase(unittest.TestCase):
    """Has a coordinator that hears of jobs, but whose watch hangs."""

    def setUp(self):
        self.clock, self.system, self.store = node_system()
        self.contents = self.store.contents
        TimerService(self.system)
        Recording(self.system, LEADERSHIP, {Resign: None, Fenced: None})
        Recording(self.system, PEERS, {ListPeers: PeerView((), 8), GetTimeOfDay: 0.0})
        self.channel = ListingChannel(self.clock)
        gateways = FleetGateways(
            PlatformRegistry(), StubChannels(self.channel), TIMES, 150.0
        )
        self.coordinator = Coordinator(self.system, gateways)
        self.contents.put("servers/w1", json.dumps(ENTRY))
        self.contents.put(TERM_KEY, "1")
        self.store.watches_hang = True
        revision = self.contents.items_by_key[TERM_KEY].mod_revision
        self.system.tell(COORDINATOR, BeginTerm(1, revision, math.inf))
        run_for(self.clock, 0.5)

    def submit(self, job, *steps):
        """Store a job and announce it to the coordinator."""
        workflow = fx.workflow(job, *(steps or (fx.step(1, SMALL),)))
        document = records.encode_workflow(workflow).decode()
        key, _ = intake_keys(job)
        self.contents.put(key, document)
        self.system.tell(COORDINATOR, WorkflowStored(job, document))

    def cancel(self, job):
        """Store a cancellation; its announcement is lost."""
        _, cancel_key = intake_keys(job)
        self.contents.put(cancel_key, "0.0")

    def recorded(self, job):
        item = self.contents.items_by_key[PROGRESS_PREFIX + job]
        return records.decode_progress(job, item.value.encode())


class MissedCancelTests(MissedCancelCase):
    """The coordinator hears of jobs, but its watch of the store hangs."""

    def test_cancelled_job_is_not_started(self):
        """Guards against a start of a job that was cancelled long before."""
        self.submit("a")
        self.cancel("a")
        run_for(self.clock, 1.0)
        self.assertEqual(self.channel.started, [])
        self.assertIs(self.recorded("a").state, WorkflowState.CANCELLED)
        self.assertEqual(self.recorded("a").placed, ())

    def test_running_tasks_of_the_job_are_stopped(self):
        """Guards against a cancellation that only prevents further starts.

        One of two runs fails after the cancellation, and is placed again.
        """
        self.submit("a", fx.step(2, SMALL))
        run_for(self.clock, 0.2)
        self.assertEqual(self.channel.started, ["a", "a"])
        self.cancel("a")
        kept, failed = self.channel.running
        self.channel.running = [kept]
        end = fx.ended(failed, EndKind.FAILED)
        self.coordinator._term.engine.end("w1", end, self.clock.seconds())
        run_for(self.clock, 1.0)
        self.assertEqual(self.channel.started, ["a", "a"])
        self.assertIn(kept.key, self.channel.stopped)

    def test_age_of_a_cancellation_is_logged(self):
        """Guards against a late cancellation that the log does not show."""
        self.submit("a")
        run_for(self.clock, 0.2)
        _, cancel_key = intake_keys("a")
        unix_time_s = 0.0  # that the other nodes give
        self.contents.put(cancel_key, str(unix_time_s - 2.0))
        self.store.watches_hang = False
        with self.assertLogs("redwingrudder.coordination.recovery") as logs:
            run_for(self.clock, 0.2, (self.store,))
        (line,) = [r for r in logs.records if r.msg == "coordinator cancels job"]
        self.assertEqual((line.job, line.term), ("a", 1))
        self.assertAlmostEqual(line.age_s, 2.0, delta=0.3)

    def test_cancellation_without_a_time_is_applied(self):
        """Guards against a cancellation that is refused for its value."""
        self.submit("a")
        run_for(self.clock, 0.2)
        _, cancel_key = intake_keys("a")
        self.contents.put(cancel_key, "no time")
        self.store.watches_hang = False
        run_for(self.clock, 0.2, (self.store,))
        self.assertTrue(self.coordinator._find_workflow("a").cancelled)

    def test_other_jobs_of_the_write_start_at_once(self):
        """Guards against a cancelled job that delays the starts of others."""
        for job in ("a", "b", "c"):
            self.submit(job)
        self.cancel("b")
        run_for(self.clock, 0.05)
        self.assertEqual(sorted(self.channel.started), ["a", "c"])

    def test_large_batch_fits_into_a_transaction(self):
        """Guards against writes that the store rejects as too large."""
        jobs = [f"job {number}" for number in range(40)]
        for job in jobs:
            self.submit(job)
        run_for(self.clock, 0.5)
        self.assertEqual(sorted(self.channel.started), sorted(jobs))
        sizes = {len(t.compares) + len(t.operations) for t in self.store.transactions}
        self.assertLessEqual(max(sizes), MAX_TRANSACTION_ENTRIES)

    def test_write_done_late_records_no_start_of_a_cancelled_job(self):
        """Guards against a record that names a run after the cancellation."""
        self.store.writes_to_delay = 1
        self.submit("a")
        run_for(self.clock, 0.02)
        self.cancel("a")
        self.assertEqual(self.store.apply_delayed_writes(), [False])
        run_for(self.clock, 1.0)
        self.assertEqual(self.channel.started, [])
        self.assertIs(self.recorded("a").state, WorkflowState.CANCELLED)

    def record_before_pause(self, job):
        """Let the store record a start; the answer comes after the pause."""
        self.store.answers_to_withhold = 1
        self.submit(job)
        run_for(self.clock, 0.03)
        self.assertEqual(len(self.recorded(job).placed), 1)

    def test_start_recorded_before_a_pause_is_not_sent(self):
        """Guards against a start on the state of the store before a pause.

        The job is cancelled while the process of the coordinator is paused.
        """
        self.record_before_pause("a")
        self.cancel("a")
        self.clock.advance(PAUSE_S)
        run_for(self.clock, 1.0)
        self.assertEqual(self.channel.started, [])
        self.assertIs(self.recorded("a").state, WorkflowState.CANCELLED)

    def test_start_is_sent_after_a_pause(self):
        """Guards against a start that is withheld after a pause for good."""
        self.record_before_pause("a")
        self.clock.advance(PAUSE_S)
        run_for(self.clock, 0.1)
        self.assertEqual(self.channel.started, ["a"])

    def test_attempts_end_soon_after_the_look_at_the_cancellations(self):
        """Guards against attempts whose time begins with a late answer."""
        self.record_before_pause("a")
        looked_at = self.clock.seconds()
        self.clock.advance(MAX_CANCEL_CHECK_AGE_S - 0.1)
        run_for(self.clock, 0.05)
        self.assertEqual(self.channel.started, ["a"])
        self.assertLessEqual(self.channel.send_until, looked_at + START_ATTEMPTS_S)

    def test_start_waits_for_the_store_after_a_pause(self):
        """Guards against a start sent without a look at the cancellations."""
        self.record_before_pause("a")
        recorder = self.coordinator._term.recorder
        error = StoreUnavailableError("no answer")
        with mock.patch.object(recorder, "find_cancelled", side_effect=error):
            self.clock.advance(PAUSE_S)
            run_for(self.clock, 0.05)
            self.assertEqual(self.channel.started, [])
            recorder.find_cancelled.assert_called_with(["a"])
        run_for(self.clock, 0.5)
        self.assertEqual(self.channel.started, ["a"])


class SilentWatchTests(MissedCancelCase):
    """Watches get no reply from some time on, but all other calls do."""

    def setUp(self):
        super().setUp()
        self.store.watches_hang = False
        time_out_watches(self.store)
        # Let the watches end that wait.
        self.cancel("other")
        self.contents.put("servers/w1", json.dumps(ENTRY))
        run_for(self.clock, STEP_S, (self.store,))

    def test_running_task_of_a_cancelled_job_is_stopped_in_time(self):
        """Guards against a run that goes on while its cancellation is missed.

        The announcement is lost. The cancellation comes at any time of the
        attempts to watch.
        """
        for number in range(15):
            with self.subTest(number=number):
                self.setUp()
                self.submit("a")
                run_for(self.clock, 0.05 + 0.21 * number)
                self.assertEqual(self.channel.started, ["a"])
                self.cancel("a")
                run_for(self.clock, CANCEL_LIMIT_S - RESERVE_S)
                self.assertEqual(self.channel.stopped, [fx.key("a")])

    def test_known_documents_are_not_decoded_again(self):
        """Guards against reads that take a coordinator's processor time."""
        self.submit("a")
        run_for(self.clock, 1.0)
        with mock.patch.object(
            records, "decode_workflow", side_effect=records.decode_workflow
        ) as decode:
            run_for(self.clock, 5.0)
        decode.assert_not_called()

    def test_calls_while_watches_get_no_reply(self):
        """Guards against reads that are more frequent than needed."""
        with mock.patch.object(
            self.system, "ask", side_effect=self.system.ask
        ) as calls:
            run_for(self.clock, 30.0)
        prefixes = [
            call.args[1].prefix
            for call in calls.call_args_list
            if isinstance(call.args[1], AwaitChanges | GetPrefix)
        ]
        calls_per_s = prefixes.count(INTAKE_PREFIX) / 30.0
        self.assertGreater(calls_per_s, 0.0)
        self.assertLess(calls_per_s, MAX_CALLS_PER_S)


if __name__ == "__main__":
    unittest.main()
