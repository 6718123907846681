"""Tests of a worker's session on a channel in memory."""

import unittest
from unittest import mock

from twisted.internet.defer import Deferred

from redwingrudder.coordination import worker_session
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
    WorkerLeaseLapsed,
    WorkerPolled,
    WorkerSilent,
)
from redwingrudder.coordination.worker_session import (
    WorkerSession,
    prior_lease_timeout_s,
)
from redwingrudder.exceptions import UnavailableError
from redwingrudder.timers import TimerService
from redwingrudder.workflows.model import StartRun, StopRun

from . import workflow_fixtures as fx
from .coordination_fakes import Recording, node_system, run_for

LEASE_S = 6.0
HEARTBEAT_S = 1.5
TIMES = WorkerTimes(LEASE_S, HEARTBEAT_S)


class FakeChannel(WorkerChannel):
    """Answers at once, or not at all.

    Attributes:
        deaf: No call is answered.
        deaf_starts: So many starts are not answered.
        hanging: Polls get no answer and do not fail.
        outdated: Starts are rejected, as the run has ended already.
        refusal: Reason with which all commands are rejected.
    """

    def __init__(self, clock):
        self.clock = clock
        self.deaf = False
        self.deaf_starts = 0
        self.hanging = False
        self.outdated = False
        self.refusal = ""
        self.calls = []

    def _reply(self, name):
        self.calls.append(name)
        if self.deaf:
            raise UnavailableError("deaf")
        if self.refusal:
            return CommandReply(False, self.refusal)
        return CommandReply(True, "", int(self.clock.seconds() * 1000) + 1)

    async def start(self, run, lease_until_ms, fence, timeout_s):
        if self.deaf_starts:
            self.deaf_starts -= 1
            self.calls.append("lost start")
            raise UnavailableError("lost")
        if self.outdated:
            return CommandReply(False, "outdated", 1)
        return self._reply("start")

    async def stop(self, run, fence, timeout_s):
        return self._reply("stop")

    async def throttle(self, run, fence, timeout_s):
        return self._reply("pace")

    async def poll(self, fence, acknowledged_end, lease_until_ms, wait_s, timeout_s):
        if self.hanging:
            await Deferred()
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
        kinds = (WorkerPolled, WorkerSilent, WorkerLeaseLapsed, StartSettled)
        self.coordinator = Recording(
            self.system, COORDINATOR, dict.fromkeys(kinds, None)
        )
        self.leadership = Recording(self.system, LEADERSHIP, {Fenced: None})
        patch = mock.patch.object(worker_session, "boot_clock", self.clock.seconds)
        patch.start()
        self.addCleanup(patch.stop)
        self.channel = FakeChannel(self.clock)
        self.session = WorkerSession(
            self.system, fx.worker("w1"), self.channel, 3, TIMES
        )
        self.session.start()
        run_for(self.clock, 0.1)

    def told(self, kind):
        return [m for m in self.coordinator.received if isinstance(m, kind)]

    def start_run(self):
        run = StartRun("w1", fx.key(), 1, "payload", "")
        self.system.tell(self.session.name, run)

    def test_first_poll_extends_no_lease(self):
        """Guards against a lease on a clock that is not known yet."""
        self.assertEqual(self.channel.calls[0], "poll False")

    def test_lost_start_is_sent_again(self):
        """Guards against a run given up for one lost answer."""
        self.channel.deaf_starts = 1
        self.start_run()
        run_for(self.clock, 0.5)
        self.assertTrue(self.told(StartSettled)[0].reply.accepted)

    def test_unanswered_start_is_closed_before_it_is_given_up(self):
        """Guards against a start carried out late beside its successor."""
        self.channel.deaf_starts = 3
        self.start_run()
        run_for(self.clock, 0.5)
        self.assertIn("stop", self.channel.calls)
        self.assertEqual(self.told(StartSettled)[0].reply.reason, "unanswered")

    def last_told(self):
        """Return the kinds of the last two messages to the coordinator."""
        return [type(message) for message in self.coordinator.received[-2:]]

    def test_end_is_told_before_a_repeated_start_is_settled(self):
        """Guards against a second run after one that is done.

        Its start was carried out without an answer and sent again; found by
        the model of ``_spec_workflow``.
        """
        for unanswered in (False, True):
            with self.subTest(unanswered=unanswered):
                self.channel.outdated = not unanswered
                self.channel.deaf_starts = 3 * unanswered
                self.coordinator.received.clear()
                self.start_run()
                run_for(self.clock, 0.02)
                self.assertEqual(self.last_told(), [WorkerPolled, StartSettled])

    def test_silent_worker_lapses_only_after_its_longest_lease(self):
        """Guards against a second run while a lease may still hold."""
        self.channel.deaf = True
        run_for(self.clock, LEASE_S)
        self.assertTrue(self.told(WorkerSilent))
        self.assertFalse(self.told(WorkerLeaseLapsed))
        run_for(self.clock, prior_lease_timeout_s(LEASE_S) - LEASE_S + 2.0)
        self.assertTrue(self.told(WorkerLeaseLapsed))

    def remove_entry(self, drained, silent_s=0.0):
        """Let the worker fall silent, and its entry end after a time."""
        self.channel.deaf = True
        run_for(self.clock, silent_s)
        self.system.tell(self.session.name, RegistryEntryRemoved(drained))
        run_for(self.clock, 1.0)

    def test_worker_that_left_by_itself_holds_nothing(self):
        """Guards against a gang that waits out the lease of a left worker."""
        self.remove_entry(drained=True)
        self.assertTrue(self.told(WorkerLeaseLapsed))

    def test_entry_that_a_silence_ended_says_nothing(self):
        """Guards against a second run beside a worker that is cut off."""
        self.remove_entry(drained=True, silent_s=3 * HEARTBEAT_S)
        self.assertFalse(self.told(WorkerLeaseLapsed))

    def test_worker_that_did_not_drain_may_be_cut_off(self):
        """Guards against a second run when the store forgot an entry."""
        self.remove_entry(drained=False)
        self.assertFalse(self.told(WorkerLeaseLapsed))

    def test_worker_that_still_answers_has_not_left(self):
        """Guards against runs given up on a worker that lingers."""
        self.system.tell(self.session.name, RegistryEntryRemoved(True))
        run_for(self.clock, 1.0)
        self.channel.deaf = True
        run_for(self.clock, 0.5)
        self.assertFalse(self.told(WorkerLeaseLapsed))

    def test_lost_stop_does_not_tell_that_a_worker_left(self):
        """Guards against runs given up while the last poll is on its way."""
        self.channel.deaf = True
        self.system.tell(self.session.name, RegistryEntryRemoved(True))
        run_for(self.clock, 0.1)
        self.channel.hanging = True
        run_for(self.clock, 0.4)
        self.system.tell(self.session.name, StopRun("w1", fx.key(), 1))
        run_for(self.clock, 0.05)
        self.assertIn("stop", self.channel.calls)
        self.assertFalse(self.told(WorkerLeaseLapsed))

    def test_start_to_a_lapsed_worker_settles(self):
        """Guards against a task that waits for a lost worker for ever."""
        self.channel.deaf = True
        self.start_run()
        run_for(self.clock, prior_lease_timeout_s(LEASE_S) + 5.0)
        self.assertEqual(len(self.told(StartSettled)), 1)

    def test_unsettled_runs_are_stopped_before_the_first_poll(self):
        """Guards against a report that misses an order still on its way."""
        channel = FakeChannel(self.clock)
        unsettled = (StopRun("w2", fx.key(), 4),)
        session = WorkerSession(
            self.system, fx.worker("w2"), channel, 3, TIMES, unsettled
        )
        session.start()
        run_for(self.clock, 0.1)
        self.assertEqual(channel.calls[:2], ["stop", "poll True"])

    def test_fence_is_reported(self):
        """Guards against a deposed coordinator that does not notice."""
        self.channel.refusal = "fenced"
        run_for(self.clock, 2.0)
        self.assertTrue(self.leadership.received)

    def test_idle_worker_is_not_asked_without_a_pause(self):
        """Guards against polls that take all of a node's processor time."""
        before = len(self.channel.calls)
        run_for(self.clock, 5.0)
        self.assertLess(len(self.channel.calls) - before, 10)


if __name__ == "__main__":
    unittest.main()
