"""Tests of the worker session with an in-memory channel."""

import itertools
import logging
import math
import unittest
from unittest import mock

from twisted.internet.defer import Deferred

from redwingrudder.coordination.authority import Authority
from redwingrudder.coordination.gateways import (
    COORDINATOR,
    LEADERSHIP,
    CommandReply,
    WorkerChannel,
    WorkerReport,
    WorkerTimes,
)
from redwingrudder.coordination.messages import (
    Fenced,
    RegistryEntryRemoved,
    StartSettled,
    ThrottleUnanswered,
    WorkerLeaseLapsed,
    WorkerPolled,
    WorkerSilent,
)
from redwingrudder.coordination.worker_session import (
    SILENT_AFTER_S,
    WorkerSession,
    prior_lease_timeout_s,
)
from redwingrudder.exceptions import OutcomeUnknownError, UnavailableError
from redwingrudder.timers import TimerService
from redwingrudder.workflows.model import StartRun, StopRun, ThrottleRun

from . import workflow_fixtures as fx
from .coordination_fakes import Recording, node_system, run_for

LEASE_S = 6.0
HEARTBEAT_S = 1.5
TIMES = WorkerTimes(LEASE_S, HEARTBEAT_S)


class FakeChannel(WorkerChannel):
    """Channel that answers immediately, except for injected faults.

    Attributes:
        unanswering: Every call fails without a reply.
        starts_to_lose: Number of starts that fail without a reply.
        polls_to_lose: Number of polls that fail without a reply.
        unexpected: Every call fails with an error that is not coded.
        hangs: Polls neither get a reply nor fail.
        rejects_starts: Starts are rejected as "outdated": the run has ended
            already.
        rejection_reason: Reason with which all calls are rejected, "" if they
            are accepted.
        calls: Calls in the order of arrival.
    """

    def __init__(self, clock):
        self.clock = clock
        self.unanswering = False
        self.starts_to_lose = 0
        self.polls_to_lose = 0
        self.unexpected = False
        self.hangs = False
        self.rejects_starts = False
        self.rejection_reason = ""
        self.calls = []

    def _reply(self, name):
        self.calls.append(name)
        if self.unexpected:
            raise ZeroDivisionError("unexpected")
        if self.unanswering:
            raise UnavailableError("the fake worker does not answer")
        if self.rejection_reason:
            return CommandReply(False, self.rejection_reason)
        return CommandReply(True, "", int(self.clock.seconds() * 1000) + 1)

    async def start(self, run, lease_until_ms, fence, timeout_s, may_send):
        if self.starts_to_lose:
            self.starts_to_lose -= 1
            self.calls.append("lost start")
            raise OutcomeUnknownError("the reply to the start was lost")
        if self.rejects_starts:
            return CommandReply(False, "outdated", 1)
        return self._reply("start")

    async def stop(self, run, fence, timeout_s, may_send):
        return self._reply("stop")

    async def throttle(self, run, fence, timeout_s, may_send):
        return self._reply("pace")

    async def poll(
        self, fence, acknowledged_end, lease_until_ms, wait_s, timeout_s, may_send
    ):
        if self.hangs:
            await Deferred()
        if self.polls_to_lose:
            self.polls_to_lose -= 1
            raise OutcomeUnknownError("the reply to the poll was lost")
        reply = self._reply(f"poll {bool(lease_until_ms)}")
        if not reply.accepted:
            return reply
        return WorkerReport(reply.clock_ms, 1, (), ())

    def reset(self):
        pass

    def close(self):
        pass


class SessionTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.system, _ = node_system()
        TimerService(self.system)
        message_types = (
            WorkerPolled,
            WorkerSilent,
            WorkerLeaseLapsed,
            StartSettled,
            ThrottleUnanswered,
        )
        self.coordinator = Recording(
            self.system, COORDINATOR, dict.fromkeys(message_types, None)
        )
        self.leadership = Recording(self.system, LEADERSHIP, {Fenced: None})
        self.channel = FakeChannel(self.clock)
        self.authority = Authority(self.clock.seconds, math.inf)
        self.session = WorkerSession(
            self.system, fx.worker("w1"), self.channel, 3, TIMES, self.authority
        )
        self.session.start()
        run_for(self.clock, 0.1)

    def sent_to_coordinator(self, message_type):
        return [
            message
            for message in self.coordinator.received
            if isinstance(message, message_type)
        ]

    def start_run(self):
        run = StartRun("w1", fx.key(), 1, "payload", "")
        self.system.tell(self.session.name, run)

    def test_first_poll_extends_no_lease(self):
        """Guards against a lease end computed without the worker's clock."""
        self.assertEqual(self.channel.calls[0], "poll False")

    def test_lease_is_extended_only_while_the_worker_answers(self):
        """Guards against a lease that lapses late on a silent worker."""
        self.channel.polls_to_lose = 1
        run_for(self.clock, 1.0)
        self.channel.calls.clear()
        run_for(self.clock, 2.5)
        self.assertEqual(self.channel.calls[:2], ["poll False", "poll True"])

    def test_lost_commands_do_not_end_the_lease_of_a_worker(self):
        """Guards against a lapse at a worker that answers all of its polls."""
        lose = mock.AsyncMock(side_effect=OutcomeUnknownError("lost"))
        extended_at = [self.clock.seconds()]
        with mock.patch.object(self.channel, "stop", lose):
            self.system.tell(self.session.name, StopRun("w1", fx.key(), 1))
            for _ in range(120):
                run_for(self.clock, 0.1)
                if "poll True" in self.channel.calls:
                    extended_at.append(self.clock.seconds())
                self.channel.calls.clear()
        extended_at.append(self.clock.seconds())
        gaps_s = [b - a for a, b in itertools.pairwise(extended_at)]
        self.assertLess(max(gaps_s), LEASE_S - SILENT_AFTER_S)

    def test_attempts_of_a_start_have_the_same_lease(self):
        """Guards against a lease that the attempts without a reply extend."""
        leases = []

        async def lose_start(run, lease_until_ms, fence, timeout_s, may_send):
            leases.append(lease_until_ms)
            self.clock.advance(timeout_s)
            raise OutcomeUnknownError("the reply to the start was lost")

        self.channel.start = lose_start
        self.start_run()
        run_for(self.clock, 0.1)
        self.assertEqual(len(leases), 3)
        self.assertEqual(len(set(leases)), 1)

    def test_lost_start_is_sent_again(self):
        """Guards against a start that fails because of one lost reply."""
        self.channel.starts_to_lose = 1
        self.start_run()
        run_for(self.clock, 0.5)
        self.assertTrue(self.sent_to_coordinator(StartSettled)[0].reply.accepted)

    def test_attempts_of_a_start_end_before_a_gang_times_out(self):
        """Guards against gang members that end alone while a start is retried.

        Each attempt without a reply lasts for its time limit.
        """
        limits = []

        async def record_limit(run, lease_until_ms, fence, timeout_s, may_send):
            limits.append(timeout_s)
            raise UnavailableError("the start got no reply")

        self.channel.start = record_limit
        for gang_timeout_s in (1.0, 3.0, 5.0):
            with self.subTest(gang_timeout_s=gang_timeout_s):
                times = TIMES._replace(gang_timeout_s=gang_timeout_s)
                self.system.unregister(self.session)
                self.session = WorkerSession(
                    self.system, fx.worker("w1"), self.channel, 3, times, self.authority
                )
                self.session.start()
                run_for(self.clock, 0.1)
                limits.clear()
                self.start_run()
                run_for(self.clock, 0.1)
                self.assertEqual(len(limits), 3)
                self.assertLess(sum(limits), 0.7 * gang_timeout_s)

    def test_unanswered_start_is_stopped_before_it_is_settled(self):
        """Guards against a late start that runs beside a repeated one."""
        self.channel.starts_to_lose = 3
        self.start_run()
        run_for(self.clock, 0.5)
        self.assertIn("stop", self.channel.calls)
        self.assertEqual(
            self.sent_to_coordinator(StartSettled)[0].reply.reason, "unanswered"
        )

    def test_start_that_may_have_crashed_its_worker_is_told_apart(self):
        """Guards against a crash under a start whose reply was lost.

        The reply never comes, and the next attempt meets another process.
        """
        self.channel.starts_to_lose = 1
        self.channel.rejection_reason = "other_life"
        self.start_run()
        run_for(self.clock, 0.5)
        self.assertEqual(self.last_message_types(), [WorkerLeaseLapsed, StartSettled])
        lapsed = self.sent_to_coordinator(WorkerLeaseLapsed)[0]
        self.assertTrue(lapsed.restarted)
        self.assertEqual(lapsed.unanswered_starts, {(fx.key(), 1)})

    def test_start_that_was_not_sent_is_no_suspect(self):
        """Guards against blaming a run for a worker that was down before."""
        self.channel.unanswering = True
        self.start_run()
        run_for(self.clock, 0.5)
        self.channel.unanswering = False
        self.channel.rejection_reason = "other_life"
        run_for(self.clock, 3.0)
        lapsed = self.sent_to_coordinator(WorkerLeaseLapsed)[0]
        self.assertTrue(lapsed.restarted)
        self.assertEqual(lapsed.unanswered_starts, frozenset())

    def test_worker_whose_address_another_process_has_gets_no_more_starts(self):
        """Guards against starts that are sent there again and again."""
        self.channel.rejection_reason = "other_life"
        self.start_run()
        run_for(self.clock, 0.05)
        self.assertTrue(self.sent_to_coordinator(WorkerSilent))
        self.assertTrue(self.sent_to_coordinator(WorkerLeaseLapsed))

    def test_start_that_meets_another_process_first_is_no_suspect(self):
        """Guards against blaming a run that was never started."""
        self.channel.rejection_reason = "other_life"
        self.start_run()
        run_for(self.clock, 0.5)
        reply = self.sent_to_coordinator(StartSettled)[0].reply
        self.assertEqual(reply.reason, "other_life")

    def last_message_types(self):
        """Return the types of the last two messages to the coordinator."""
        return [type(message) for message in self.coordinator.received[-2:]]

    def test_end_is_reported_before_a_repeated_start_is_settled(self):
        """Guards against a second run of a task whose first run has ended.

        The first run began although its start got no reply, so the start is
        sent again. The model in ``_spec_workflow`` found this case.
        """
        for unanswered in (False, True):
            with self.subTest(unanswered=unanswered):
                self.channel.rejects_starts = not unanswered
                self.channel.starts_to_lose = 3 * unanswered
                self.coordinator.received.clear()
                self.start_run()
                run_for(self.clock, 0.02)
                self.assertEqual(
                    self.last_message_types(), [WorkerPolled, StartSettled]
                )

    def test_silent_worker_lapses_only_after_its_longest_lease(self):
        """Guards against a second run during the lease of a silent worker."""
        self.channel.unanswering = True
        run_for(self.clock, LEASE_S)
        self.assertTrue(self.sent_to_coordinator(WorkerSilent))
        self.assertFalse(self.sent_to_coordinator(WorkerLeaseLapsed))
        run_for(self.clock, prior_lease_timeout_s(LEASE_S) - LEASE_S + 2.0)
        self.assertTrue(self.sent_to_coordinator(WorkerLeaseLapsed))

    def remove_entry(self, drained, silent_s=0.0):
        """Make the worker silent, and remove its entry after ``silent_s``."""
        self.channel.unanswering = True
        run_for(self.clock, silent_s)
        self.system.tell(self.session.name, RegistryEntryRemoved(drained))
        run_for(self.clock, 1.0)

    def test_worker_that_left_by_itself_holds_no_lease(self):
        """Guards against waiting for the lease of a worker that has left."""
        self.remove_entry(drained=True)
        self.assertTrue(self.sent_to_coordinator(WorkerLeaseLapsed))

    def test_removed_entry_of_silent_worker_does_not_end_its_lease(self):
        """Guards against a second run beside a worker that is cut off."""
        self.remove_entry(drained=True, silent_s=3 * HEARTBEAT_S)
        self.assertFalse(self.sent_to_coordinator(WorkerLeaseLapsed))

    def test_worker_that_did_not_drain_may_be_cut_off(self):
        """Guards against a second run after the store has lost an entry."""
        self.remove_entry(drained=False)
        self.assertFalse(self.sent_to_coordinator(WorkerLeaseLapsed))

    def test_worker_that_still_answers_has_not_left(self):
        """Guards against interrupting runs on a worker that answers polls."""
        self.system.tell(self.session.name, RegistryEntryRemoved(True))
        run_for(self.clock, 1.0)
        self.channel.unanswering = True
        run_for(self.clock, 0.5)
        self.assertFalse(self.sent_to_coordinator(WorkerLeaseLapsed))

    def test_lost_replies_do_not_confirm_that_a_worker_left(self):
        """Guards against interrupting runs after two lost packets.

        The worker stays longer than announced, and the store has lost its
        entry.
        """
        self.channel.polls_to_lose = 2
        self.system.tell(self.session.name, RegistryEntryRemoved(True))
        run_for(self.clock, 2.0)
        self.assertEqual(self.channel.polls_to_lose, 0)
        self.assertFalse(self.sent_to_coordinator(WorkerLeaseLapsed))

    def test_lost_stop_does_not_confirm_that_a_worker_left(self):
        """Guards against interrupting runs while the last poll is in flight.

        Only a poll without a reply confirms that a worker has left.
        """
        self.channel.unanswering = True
        self.system.tell(self.session.name, RegistryEntryRemoved(True))
        run_for(self.clock, 0.1)
        self.channel.hangs = True
        run_for(self.clock, 0.4)
        self.system.tell(self.session.name, StopRun("w1", fx.key(), 1))
        run_for(self.clock, 0.05)
        self.assertIn("stop", self.channel.calls)
        self.assertFalse(self.sent_to_coordinator(WorkerLeaseLapsed))

    def test_start_to_a_lapsed_worker_settles(self):
        """Guards against a task that waits forever for a lost worker."""
        self.channel.unanswering = True
        self.start_run()
        run_for(self.clock, prior_lease_timeout_s(LEASE_S) + 5.0)
        self.assertEqual(len(self.sent_to_coordinator(StartSettled)), 1)

    def test_rejected_throttle_has_no_effect(self):
        """Guards against filling at full speed that counts as slowed."""
        throttle = ThrottleRun("w1", fx.key(), 1, 40)
        self.channel.rejection_reason = "unhealthy"
        self.system.tell(self.session.name, throttle)
        run_for(self.clock, 0.1)
        self.assertEqual(len(self.sent_to_coordinator(ThrottleUnanswered)), 1)

    def test_accepted_throttle_is_not_sent_again(self):
        """Guards against speeds that are computed from full speed."""
        self.system.tell(self.session.name, ThrottleRun("w1", fx.key(), 1, 40))
        run_for(self.clock, 0.1)
        self.assertFalse(self.sent_to_coordinator(ThrottleUnanswered))

    def test_fence_is_reported(self):
        """Guards against a deposed coordinator that continues its term."""
        self.channel.rejection_reason = "fenced"
        run_for(self.clock, 2.0)
        self.assertTrue(self.leadership.received)

    def test_idle_worker_is_polled_with_pauses(self):
        """Guards against a busy loop of polls that occupies the processor."""
        calls_before = len(self.channel.calls)
        run_for(self.clock, 5.0)
        self.assertLess(len(self.channel.calls) - calls_before, 10)

    def test_unexpected_errors_do_not_end_the_session(self):
        """Guards against a worker that is never polled or stopped again."""
        self.channel.unexpected = True
        with self.assertLogs("redwingrudder", logging.ERROR):
            self.start_run()
            self.system.tell(self.session.name, StopRun("w1", fx.key(), 1))
            run_for(self.clock, 1.0)
        self.channel.unexpected = False
        self.channel.calls.clear()
        run_for(self.clock, 2.0)
        self.assertEqual(self.channel.calls.count("stop"), 2)
        self.assertIn("poll True", self.channel.calls)
        self.assertEqual(len(self.sent_to_coordinator(StartSettled)), 1)

    def test_report_that_cannot_be_handled_does_not_end_the_session(self):
        """Guards against a worker that is never polled again."""
        with (
            mock.patch.object(
                self.session, "_handle_report", side_effect=ZeroDivisionError
            ),
            self.assertLogs("redwingrudder", logging.ERROR),
        ):
            run_for(self.clock, 2.0)
        reports = len(self.sent_to_coordinator(WorkerPolled))
        run_for(self.clock, 2.0)
        self.assertGreater(len(self.sent_to_coordinator(WorkerPolled)), reports)


if __name__ == "__main__":
    unittest.main()
