"""Tests of calls that a later process of a worker carries out."""

import json
import math
import unittest
from unittest import mock

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from redwingrudder._store_requests import Transact
from redwingrudder.coordination import worker_table
from redwingrudder.coordination.authority import Authority
from redwingrudder.coordination.gateways import (
    COORDINATOR,
    INTAKE_PREFIX,
    LEADERSHIP,
    CommandReply,
    WorkerReport,
)
from redwingrudder.coordination.messages import (
    Fenced,
    Resign,
    StartSettled,
    ThrottleUnanswered,
    WorkerLeaseLapsed,
    WorkerPolled,
    WorkerSilent,
)
from redwingrudder.coordination.worker_session import (
    WorkerSession,
    prior_lease_timeout_s,
)
from redwingrudder.exceptions import OutcomeUnknownError
from redwingrudder.simulation import MAX_LEASE_S
from redwingrudder.timers import TimerService
from redwingrudder.workflows.model import EndKind, StartRun, StopRun, ThrottleRun

from . import workflow_fixtures as fx
from .coordination_fakes import Recording, node_system, run_for
from .late_call_case import KEY, NO_ROOM, ROOM, TIMES, LateCallCase
from .test_worker_session import FakeChannel


class LateCallTests(LateCallCase):
    """Restarts of w1 while calls to its last process are late."""

    def test_late_start_does_not_begin_a_run_that_was_given_up(self):
        """Guards against a second run by a start sent to the last process.

        The new process knows neither a stop of the run nor a higher fence.
        """
        self.w1.late = {"start"}
        self.submit()
        self.restart()
        self.register_new_process(2.0)
        self.assertIn(KEY, self.w2.process.runs_by_key)
        replies = self.w1.carry_out_late_calls()
        self.assertEqual({reply.reason for reply in replies}, {"fenced"})

    def test_late_poll_forgets_no_ends_of_the_new_process(self):
        """Guards against a run that is repeated as its end was forgotten.

        A poll that was sent to the last process acknowledges an end with the
        number that the new process gives to its first one.
        """
        self.submit()
        self.w1.process.end(KEY, EndKind.DONE)
        self.run_for(1.0)
        self.w1.late = {"poll"}
        self.run_for(2.0)
        self.w1.restart()
        self.w1.late = set()
        self.register("w1", ROOM)
        self.run_for(0.5)
        self.submit("next")
        self.store.down = True
        self.w1.process.end(fx.key("next"), EndKind.DONE)
        self.run_for(0.5)
        self.w1.carry_out_late_calls()
        self.assertEqual(self.w1.process.acknowledged, [])

    def test_late_poll_extends_no_lease_of_the_new_process(self):
        """Guards against a lease that its coordinator does not know of.

        The late poll names an end of the lease on the last process's clock.
        """
        self.submit()
        self.w1.late = {"poll"}
        self.run_for(1.0)
        self.w1.restart()
        self.w1.late = set()
        self.register_new_process()
        self.w1.silent = True
        self.run_for(1.0)
        leases_end_at = self.w1.process.leases_end_at
        self.w1.carry_out_late_calls()
        self.assertEqual(self.w1.process.leases_end_at, leases_end_at)

    def test_poll_of_another_process_acknowledges_nothing(self):
        """Guards against ends that are forgotten before the entry changes.

        The session of the last process goes on with its acknowledged number.
        """
        self.w1.late = {"start"}
        self.submit("other", 0.1)
        self.w1.late = set()
        late_start, self.w1.late_calls = self.w1.late_calls, []
        self.run_for(1.0)
        self.assertIn(fx.key("other"), self.w1.process.runs_by_key)
        self.w1.process.end(fx.key("other"), EndKind.FAILED)
        self.run_for(1.0)
        self.assertTrue(self.w1.process.acknowledged)
        self.w1.restart()
        self.w1.late_calls = late_start
        self.w1.carry_out_late_calls()
        self.w1.process.end(fx.key("other"), EndKind.DONE)
        self.store.down = True
        self.run_for(2.0)
        self.assertEqual(self.w1.process.acknowledged, [])

    def test_another_process_is_known_by_its_report(self):
        """Guards against late calls while the entry still names the last one.

        The report opens a session with a fence of its own.
        """
        self.w1.late = {"start"}
        self.submit()
        self.restart()
        self.w1.late = set()
        late_calls, self.w1.late_calls = self.w1.late_calls, []
        self.register("w1", NO_ROOM, started_ms=1)
        self.run_for(0.05)
        self.w1.silent = True
        self.run_for(0.5)
        self.w1.silent = False
        self.run_for(3.0)
        self.w1.late_calls = late_calls
        replies = self.w1.carry_out_late_calls()
        self.assertEqual({reply.reason for reply in replies}, {"fenced"})

    def test_old_entry_does_not_replace_the_reported_process(self):
        """Guards against sessions that are opened for a process that ended."""
        self.run_for(1.0)
        self.w1.restart()
        self.run_for(2.0)
        self.assertEqual(self.channels.opened.count("w1"), 2)
        self.register("w1", ROOM, started_ms=1)
        self.run_for(2.0)
        self.register_new_process(2.0)
        self.assertEqual(self.channels.opened.count("w1"), 2)

    def test_confirmed_run_with_a_lost_attempt_is_kept(self):
        """Guards against a second run beside a late attempt of a start.

        The second attempt of the start was confirmed. The first one reaches
        the new process before any call of the new session.
        """
        self.w1.late = {"start"}
        self.submit("job", 0.1)
        self.w1.late = set()
        self.run_for(1.0)
        self.assertIn(KEY, self.w1.process.runs_by_key)
        self.restart()
        self.w1.silent = True
        self.register_new_process()
        self.w1.carry_out_late_calls()
        self.run_for(1.0)
        self.assertEqual(self.w2.process.runs_by_key, {})
        self.w1.silent = False
        self.run_for(1.0)
        self.assertIn(KEY, self.w1.process.runs_by_key)
        self.assertEqual(self.w2.process.runs_by_key, {})

    def test_run_that_the_new_process_confirmed_is_kept(self):
        """Guards against a second run beside one that has just started.

        The first attempt of the start was lost with the last process. The
        second one reached the new process, whose entry came afterwards.
        """
        self.w1.late = {"start"}
        self.submit("job", 0.1)
        self.assertEqual(len(self.w1.late_calls), 1)
        self.w1.late = {"poll"}
        self.w1.restart()
        self.run_for(0.5)
        self.assertIn(KEY, self.w1.process.runs_by_key)
        self.register("w2", ROOM)
        self.register_new_process(1.0)
        self.assertEqual(self.w2.process.runs_by_key, {})

    def test_run_that_ended_with_its_process_starts_again(self):
        """Guards against a run that stays with the process that has ended."""
        self.submit()
        self.restart()
        self.register_new_process()
        self.assertIn(KEY, self.w2.process.runs_by_key)

    def test_stop_is_repeated_to_the_new_process(self):
        """Guards against a cancelled run that a late start has begun.

        The stop was sent to the last process, and the start reaches the new
        one before the first call of the new session.
        """
        self.w1.late = {"start", "stop"}
        self.submit()
        self.store.contents.put(INTAKE_PREFIX + "job/cancel", "")
        self.run_for(0.3)
        self.w1.restart()
        start, *_ = self.w1.late_calls
        self.w1.late_calls = [start]
        self.w1.carry_out_late_calls()
        self.assertIn(KEY, self.w1.process.runs_by_key)
        self.w1.late = set()
        self.register_new_process(1.0)
        self.assertEqual(self.w1.process.runs_by_key, {})

    def test_start_of_a_run_that_has_ended_is_not_repeated(self):
        """Guards against a second run of a task that is done.

        The first attempt has no reply when the end is recorded. The worker
        restarts before the second one.
        """
        self.submit("other", 0.5)
        self.w1.late = {"start"}
        self.submit("job", 0.05)
        self.w1.carry_out_late_calls()
        self.w1.late = set()
        self.w1.process.end(KEY, EndKind.DONE)
        self.run_for(0.2)
        self.assertNotIn(KEY, self.w1.process.runs_by_key)
        self.assertTrue(self.w1.process.acknowledged)
        self.w1.restart()
        self.run_for(3.0)
        self.assertNotIn(KEY, self.w1.process.runs_by_key)
        runs = [interval for interval in self.w1.all_intervals() if interval.key == KEY]
        self.assertEqual(len(runs), 1)

    def test_report_to_an_earlier_session_is_not_the_first_report(self):
        """Guards against a second run beside a start that is in flight.

        The report waits in the mailbox while the worker's session is opened
        anew, and the start reaches the worker before the first poll.
        """
        self.run_for(1.0)
        self.w1.late = {"start"}
        self.submit("job", 0.05)
        session = self.coordinator._term.workers._sessions_by_worker["w1"]
        report = self.w1.process.poll(max(self.w1.fences), 0, 0)
        session._handle_report(report, self.clock.seconds())
        self.w1.silent = True
        self.register("w2", ROOM)
        entry = json.loads(self.store.contents.items_by_key["servers/w1"].value)
        entry = json.dumps({**entry, "address": "10.0.0.2:80", "capacity": NO_ROOM})
        self.coordinator._term.workers.set_entry("servers/w1", entry)
        self.run_for(0.1)
        self.w1.carry_out_late_calls()
        self.run_for(0.5)
        self.assertEqual(self.w2.process.runs_by_key, {})

    def test_record_of_an_earlier_end_acknowledges_no_new_one(self):
        """Guards against an end that is forgotten before it is recorded.

        The end of a run of the last process is being written. The new process
        gives the same number to the end of another run.
        """
        self.w1.late = {"start"}
        self.submit("late", 0.1)
        late_calls, self.w1.late_calls = self.w1.late_calls, []
        self.w1.late = set()
        self.run_for(1.0)
        self.submit()
        self.delay_next_write(1.0)
        self.w1.process.end(KEY, EndKind.DONE)
        self.run_for(0.3)
        self.w1.restart()
        self.w1.late_calls = late_calls
        self.w1.carry_out_late_calls()
        self.w1.process.end(fx.key("late"), EndKind.DONE)
        self.register("w1", ROOM)
        self.run_for(0.5)
        self.store.down = True
        self.run_for(2.0)
        self.assertEqual(self.w1.process.acknowledged, [])
        self.store.down = False
        self.run_for(2.0)
        self.assertEqual(len(self.w1.process.acknowledged), 1)

    def delay_next_write(self, delay_s):
        """Carry out the next write late, also if the store is down then."""
        handlers = self.store._handlers_by_type
        transact = handlers[Transact]

        def carry_out_later(message):
            handlers[Transact] = transact
            reply = Deferred()
            self.clock.callLater(
                delay_s,
                lambda: reply.callback(self.store.contents.transact(message)),
            )
            return reply

        handlers[Transact] = carry_out_later

    def test_term_ends_when_its_fencing_tokens_are_used_up(self):
        """Guards against a session with a token of the next term."""
        with mock.patch.object(worker_table, "SESSIONS_PER_TERM", 2, create=True):
            self.w1.restart()
            self.register_new_process()
            self.w1.restart()
            self.register_new_process()
        self.assertEqual(
            [type(message) for message in self.leadership.received], [Resign]
        )
        self.leadership.received.clear()


class LateReplyChannel(FakeChannel):
    """Channel whose calls get their replies when the test gives them."""

    def __init__(self, clock):
        super().__init__(clock)
        self.pending = []

    async def stop(self, run, fence, timeout_s, may_send):
        return await self._await_late_reply()

    async def poll(
        self, fence, acknowledged_end, lease_until_ms, wait_s, timeout_s, may_send
    ):
        return await self._await_late_reply()

    async def _await_late_reply(self):
        reply = Deferred()
        self.pending.append(reply)
        return await reply

    def reply_to_all(self, reply):
        pending, self.pending = self.pending, []
        for deferred in pending:
            deferred.callback(reply)


class EarlierSessionTests(unittest.TestCase):
    """Calls of a session that are in flight when the next one is opened."""

    def setUp(self):
        self.clock, self.system, _ = node_system()
        TimerService(self.system)
        messages = (
            WorkerPolled,
            WorkerSilent,
            WorkerLeaseLapsed,
            StartSettled,
            ThrottleUnanswered,
        )
        self.coordinator = Recording(
            self.system, COORDINATOR, dict.fromkeys(messages, None)
        )
        self.leadership = Recording(self.system, LEADERSHIP, {Fenced: None})
        self.authority = Authority(self.clock.seconds, math.inf)

    def open_session(self, channel, process_started_ms=1):
        session = WorkerSession(
            self.system,
            fx.worker("w1", process_started_ms=process_started_ms),
            channel,
            3,
            TIMES,
            self.authority,
        )
        session.start()
        run_for(self.clock, 0.1)
        return session

    def test_closed_session_does_not_end_the_term(self):
        """Guards against a coordinator that its own later session deposes."""
        channel = LateReplyChannel(self.clock)
        session = self.open_session(channel)
        self.system.tell(session.name, StopRun("w1", fx.key(), 1))
        run_for(self.clock, 0.1)
        self.assertEqual(len(channel.pending), 2)
        session.stop()
        channel.reply_to_all(CommandReply(False, "fenced", 1))
        run_for(self.clock, 1.0)
        self.assertEqual(self.leadership.received, [])

    def test_closed_session_reports_no_lapsed_lease(self):
        """Guards against interrupting the runs of the next process.

        The calls of the closed session fail after its last lease has lapsed.
        """
        no_reply = Failure(OutcomeUnknownError("no reply"))
        replies = {"none": no_reply, "rejection": CommandReply(False, "other_life", 1)}
        for name, reply in replies.items():
            with self.subTest(reply=name):
                channel = LateReplyChannel(self.clock)
                session = self.open_session(channel)
                self.system.tell(session.name, StopRun("w1", fx.key(), 1))
                run_for(self.clock, prior_lease_timeout_s(MAX_LEASE_S) + 1.0)
                session.stop()
                self.system.unregister(session)
                channel.reply_to_all(reply)
                run_for(self.clock, 1.0)
                self.assertEqual(self.coordinator.received, [])

    def test_no_start_is_sent_before_the_first_report(self):
        """Guards against a start that the first report does not list.

        The reply to a stop tells the worker's clock before that report, which
        decides that runs that it does not list cannot start any more.
        """
        channel = LateReplyChannel(self.clock)
        session = self.open_session(channel)
        self.system.tell(session.name, StopRun("w1", fx.key(), 1))
        run_for(self.clock, 0.05)
        poll, stop = channel.pending
        stop.callback(CommandReply(True, "", 1000))
        self.system.tell(session.name, StartRun("w1", fx.key(), 2, "payload", ""))
        run_for(self.clock, 0.05)
        self.assertNotIn("start", channel.calls)
        poll.callback(WorkerReport(1000, 1, (), ()))
        self.system.tell(session.name, StartRun("w1", fx.key(), 3, "payload", ""))
        run_for(self.clock, 0.05)
        self.assertIn("start", channel.calls)

    def test_closed_session_reports_an_unanswered_throttle_command(self):
        """Guards against a run at full speed that is taken for a slow one."""
        channel = LateReplyChannel(self.clock)
        session = self.open_session(channel)
        session.stop()
        self.system.tell(session.name, ThrottleRun("w1", fx.key(), 1, 40))
        channel.unanswering = True
        run_for(self.clock, 0.1)
        self.assertEqual(
            [type(message) for message in self.coordinator.received],
            [ThrottleUnanswered],
        )

    def test_leases_of_late_calls_count_from_the_first_answer(self):
        """Guards against a second run under a lease of a late call.

        Until the first answered call of a session, the worker carries out
        calls of earlier sessions, which may extend its lease. This session
        has no authority to extend it.
        """
        self.authority = Authority(self.clock.seconds)
        channel = LateReplyChannel(self.clock)
        self.open_session(channel)
        run_for(self.clock, MAX_LEASE_S)
        silent = FakeChannel(self.clock)
        silent.unanswering = True
        channel.poll = silent.poll
        channel.reply_to_all(WorkerReport(1, 1, (), ()))
        run_for(self.clock, MAX_LEASE_S)
        self.assertFalse(self.lapsed())
        run_for(self.clock, MAX_LEASE_S)
        self.assertTrue(self.lapsed())

    def lapsed(self):
        return [
            message
            for message in self.coordinator.received
            if isinstance(message, WorkerLeaseLapsed)
        ]


if __name__ == "__main__":
    unittest.main()
