"""Tests of starts without an answer on workers that stop runs slowly."""

import logging
import math
import unittest
from unittest import mock

from redwingrudder._background import pause
from redwingrudder.coordination.authority import Authority
from redwingrudder.coordination.gateways import (
    COORDINATOR,
    LEADERSHIP,
    CommandReply,
    WorkerChannel,
    WorkerReport,
)
from redwingrudder.coordination.messages import (
    AcknowledgeEnds,
    Fenced,
    RegistryEntryRemoved,
    StartSettled,
    WorkerLeaseLapsed,
    WorkerPolled,
    WorkerSilent,
)
from redwingrudder.coordination.worker_session import (
    STOP_RETRY_DELAY_S,
    WorkerSession,
    prior_lease_timeout_s,
)
from redwingrudder.exceptions import OutcomeUnknownError, UnavailableError
from redwingrudder.timers import TimerService
from redwingrudder.workflows.model import EndKind, RunEnd, RunReport, StartRun, StopRun

from . import workflow_fixtures as fx
from .coordination_fakes import Recording, node_system, run_for
from .test_worker_session import LEASE_S, TIMES

STOP_S = 0.9  # time for which a run goes on after its stop was answered
WORK_S = 30.0  # duration of a run that is not stopped


class SlowStopChannel(WorkerChannel):
    """Channel to a worker whose runs go on for a while after a stop.

    Attributes:
        lost_starts: Number of following starts without a reply.
        lost_starts_begin: Whether starts without a reply begin their run.
        waiting_calls: Names of commands whose lost replies are waited for
            until the time limit; other lost replies are noticed at once.
        start_rejection: Reason with which starts are rejected after that.
        lost_stops: Number of following stops that have no effect and no reply.
        rejections: Reasons with which the next stops or polls are rejected, by
            the name of the call.
        runs: End of each run that has begun, in clock seconds, by its key.
        stopped: Runs that were stopped or have ended.
        forgotten_end: Highest number of an end that was acknowledged.
        calls: Names of the calls in the order of arrival.
        answers: Whether polls are answered.
        listed_ends: Largest number of ends in a reply.
    """

    def __init__(self, clock):
        self.clock = clock
        self.lost_starts = 0
        self.lost_starts_begin = False
        self.waiting_calls = set()
        self.start_rejection = ""
        self.lost_stops = 0
        self.rejections = {"stop": [], "poll": []}
        self.runs = {}
        self.stopped = set()
        self.forgotten_end = 0
        self.calls = []
        self.answers = True
        self.listed_ends = 500

    def begin(self, run_key):
        self.runs[run_key] = self.clock.seconds() + WORK_S

    def goes_on(self, run_key):
        return self.runs.get(run_key, 0.0) > self.clock.seconds()

    async def start(self, run, lease_until_ms, fence, timeout_s, may_send):
        self.calls.append("start")
        if self.lost_starts:
            self.lost_starts -= 1
            if self.lost_starts_begin:
                self.begin((run.key, run.run))
            await self._wait_in_vain("start", timeout_s)
            raise OutcomeUnknownError("the reply to the start was lost")
        return self._reply(self.start_rejection)

    async def stop(self, run, fence, timeout_s, may_send):
        self.calls.append("stop")
        if self.lost_stops:
            self.lost_stops -= 1
            await self._wait_in_vain("stop", timeout_s)
            raise OutcomeUnknownError("the reply to the stop was lost")
        if self.rejections["stop"]:
            return self._reply(self.rejections["stop"].pop(0))
        run_key = (run.key, run.run)
        if run_key not in self.stopped and self.goes_on(run_key):
            self.runs[run_key] = self.clock.seconds() + STOP_S
        self.stopped.add(run_key)
        return self._reply("")

    async def throttle(self, run, fence, timeout_s, may_send):
        return self._reply("")

    async def poll(
        self, fence, acknowledged_end, lease_until_ms, wait_s, timeout_s, may_send
    ):
        self.calls.append("poll")
        if not self.answers:
            raise OutcomeUnknownError("the reply to the poll was lost")
        if self.rejections["poll"]:
            return self._reply(self.rejections["poll"].pop(0))
        self.forgotten_end = max(self.forgotten_end, acknowledged_end)
        running = tuple(
            RunReport(key, run, "", 50.0)
            for key, run in self.runs
            if self.goes_on((key, run))
        )
        ended = tuple(
            RunEnd(number, key, run, EndKind.STOPPED, "")
            for number, (key, run) in enumerate(self.runs, 1)
            if not self.goes_on((key, run)) and number > self.forgotten_end
        )
        listed = ended[: self.listed_ends]
        is_full = len(listed) == self.listed_ends
        return WorkerReport(self._clock_ms(), 1, running, listed, not is_full)

    def reset(self):
        pass

    def close(self):
        pass

    async def _wait_in_vain(self, name, timeout_s):
        if name in self.waiting_calls:
            await pause(self.clock, timeout_s)

    def _reply(self, reason):
        return CommandReply(not reason, reason, self._clock_ms())

    def _clock_ms(self):
        return int(self.clock.seconds() * 1000) + 1


class SettledStartTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.system, _ = node_system()
        TimerService(self.system)
        message_types = (WorkerPolled, WorkerSilent, WorkerLeaseLapsed, StartSettled)
        self.coordinator = Recording(
            self.system, COORDINATOR, dict.fromkeys(message_types, None)
        )
        Recording(self.system, LEADERSHIP, {Fenced: None})
        self.channel = SlowStopChannel(self.clock)
        self.session = WorkerSession(
            self.system,
            fx.worker("w1"),
            self.channel,
            3,
            TIMES,
            Authority(self.clock.seconds, math.inf),
        )
        self.session.start()
        run_for(self.clock, 0.1)
        self.run_key = (fx.key(), 1)

    def start_run(self, seconds):
        self.system.tell(self.session.name, StartRun("w1", *self.run_key, "", ""))
        run_for(self.clock, seconds)

    def settled(self):
        return [m for m in self.coordinator.received if isinstance(m, StartSettled)]

    def run_until_settled(self, limit_s):
        """Run until the start is settled; the run must not go on then."""
        deadline = self.clock.seconds() + limit_s
        while not self.settled() and self.clock.seconds() < deadline:
            run_for(self.clock, 0.01)
        self.assertEqual(len(self.settled()), 1, "the start was not settled")
        self.assertFalse(self.channel.goes_on(self.run_key))

    def assert_end_came_first(self):
        """Check that COORDINATOR knew the end when the start was settled."""
        received = self.coordinator.received
        reports = received[: received.index(self.settled()[0])]
        ends = [
            (end.key, end.run)
            for message in reports
            if isinstance(message, WorkerPolled)
            for end in message.report.ended
        ]
        self.assertIn(self.run_key, ends)

    def test_answered_stop_is_not_taken_for_the_end_of_a_run(self):
        """Guards against a second run while the first one is being stopped."""
        self.channel.lost_starts, self.channel.lost_starts_begin = 3, True
        self.start_run(STOP_S / 2)
        self.assertIn("stop", self.channel.calls)
        self.run_until_settled(STOP_S)
        self.assert_end_came_first()

    def test_stop_ordered_meanwhile_does_not_settle_a_start(self):
        """Guards against a second run after two stops of the same run.

        The coordinator stops the run as well, while the stop that follows its
        start is not answered yet.
        """
        self.channel.lost_starts, self.channel.lost_starts_begin = 3, True
        self.channel.lost_stops = 2
        self.start_run(0.1)
        self.system.tell(self.session.name, StopRun("w1", *self.run_key))
        self.run_until_settled(3.0)
        self.assert_end_came_first()

    def assert_no_start_after_a_stop(self):
        """Check that no start was sent after the first stop."""
        calls = self.channel.calls
        self.assertNotIn("start", calls[calls.index("stop") :])

    def test_start_is_not_repeated_after_an_accepted_stop(self):
        """Guards against a start of a run that is no longer wanted.

        The stop is accepted while the first attempt has no reply yet.
        """
        for began in (False, True):
            with self.subTest(began=began):
                self.setUp()
                self.channel.lost_starts = 3
                self.channel.lost_starts_begin = began
                self.channel.waiting_calls = {"start"}
                self.start_run(0.1)
                self.stop_run(0.1)
                self.assertIn("stop", self.channel.calls)
                self.run_until_settled(3.0)
                self.assert_no_start_after_a_stop()
                if began:
                    self.assert_end_came_first()

    def test_start_is_not_repeated_beside_an_unanswered_stop(self):
        """Guards against a start that may reach the worker after a stop.

        The replies to the first stops are lost too, at once or after the time
        limit.
        """
        for waiting_calls in ({"start"}, {"start", "stop"}):
            with self.subTest(waiting_calls=waiting_calls):
                self.setUp()
                self.channel.lost_starts, self.channel.lost_starts_begin = 3, True
                self.channel.lost_stops = 3
                self.channel.waiting_calls = waiting_calls
                self.start_run(0.1)
                self.stop_run(0.1)
                self.assertIn("stop", self.channel.calls)
                self.run_until_settled(5.0)
                self.assert_no_start_after_a_stop()
                self.assert_end_came_first()

    def test_start_is_not_sent_after_a_stop_of_its_run(self):
        """Guards against a start that follows an unanswered stop."""
        self.channel.lost_stops = 3
        self.channel.waiting_calls = {"stop"}
        self.stop_run(0.1)
        self.start_run(0.1)
        self.run_until_settled(5.0)
        self.assertNotIn("start", self.channel.calls)

    def test_start_is_not_repeated_after_its_run_was_given_up(self):
        """Guards against a run that begins after a lapse was reported.

        The worker seems to have left while the first attempt has no reply,
        and answers again before the next one.
        """
        self.channel.lost_starts = 1
        self.channel.waiting_calls = {"start"}
        self.start_run(0.05)
        no_reply = UnavailableError("the worker cannot be reached")
        with mock.patch.object(self.channel, "poll", side_effect=no_reply):
            self.system.tell(self.session.name, RegistryEntryRemoved(True))
            run_for(self.clock, 0.33)
        self.assertTrue(
            any(isinstance(m, WorkerLeaseLapsed) for m in self.coordinator.received)
        )
        self.system.tell(self.session.name, StopRun("w1", fx.key("other"), 1))
        run_for(self.clock, 1.0)
        self.assertEqual(self.channel.calls.count("start"), 1)
        self.assertEqual(len(self.settled()), 1)

    def test_stop_of_an_earlier_run_does_not_delay_a_start(self):
        """Guards against a task whose next run is never started."""
        self.channel.lost_stops = 3
        self.channel.waiting_calls = {"stop"}
        self.stop_run(0.1)
        self.system.tell(self.session.name, StartRun("w1", fx.key(), 2, "", ""))
        run_for(self.clock, 0.1)
        self.assertTrue(self.settled()[0].reply.accepted)

    def test_repeated_orders_of_a_stop_are_sent_once_at_a_time(self):
        """Guards against calls that pile up on a worker that is overloaded.

        COORDINATOR orders the stop of a run again while it is listed, and the
        worker rejects stops meanwhile.
        """
        self.channel.rejections["stop"] = ["unhealthy"] * 1000
        for _ in range(5):
            self.stop_run(1.0)
        most = 1 + int(5.0 / STOP_RETRY_DELAY_S)
        self.assertLessEqual(self.channel.calls.count("stop"), most)
        self.channel.rejections["stop"] = []
        run_for(self.clock, 1.0)
        answered = self.channel.calls.count("stop")
        self.stop_run(1.0)
        self.assertEqual(self.channel.calls.count("stop"), answered + 1)

    def stop_run(self, seconds):
        self.system.tell(self.session.name, StopRun("w1", *self.run_key))
        run_for(self.clock, seconds)

    def test_rejected_stop_is_repeated(self):
        """Guards against a run that goes on after a stop without an effect."""
        for reason in ("unhealthy", "invalid"):
            with self.subTest(reason=reason):
                self.setUp()
                self.channel.lost_starts, self.channel.lost_starts_begin = 3, True
                self.channel.rejections["stop"] = [reason, reason]
                self.start_run(0.1)
                self.run_until_settled(5.0)
                self.assert_end_came_first()

    def test_rejected_poll_is_no_report_of_an_end(self):
        """Guards against a second run after a poll that reported nothing."""
        self.channel.lost_starts, self.channel.lost_starts_begin = 3, True
        self.channel.rejections["poll"] = ["unhealthy"] * 2
        self.start_run(0.1)
        self.run_until_settled(5.0)
        self.assert_end_came_first()

    def test_rejection_after_a_lost_attempt_is_not_final(self):
        """Guards against a second run beside the first attempt of a start.

        The reply to the first attempt is lost, and the second attempt is
        rejected for a reason that says nothing about the first.
        """
        for reason in ("room", "permit", "unhealthy", "lapsed", "invalid"):
            for began in (False, True):
                with self.subTest(reason=reason, began=began):
                    self.setUp()
                    self.channel.lost_starts = 1
                    self.channel.lost_starts_begin = began
                    self.channel.start_rejection = reason
                    self.start_run(0.1)
                    self.run_until_settled(5.0)
                    self.assertIn("stop", self.channel.calls)
                    self.assertEqual(self.settled()[0].reply.reason, reason)

    def test_outdated_start_may_still_be_stopping(self):
        """Guards against a second run of a task whose run is being stopped.

        The first attempt began the run, and a stop was answered before the
        second attempt, which is rejected as outdated.
        """
        self.channel.lost_starts = 1
        self.channel.start_rejection = "outdated"
        self.channel.runs[self.run_key] = self.clock.seconds() + STOP_S
        self.channel.stopped.add(self.run_key)
        self.start_run(0.1)
        self.run_until_settled(5.0)
        self.assert_end_came_first()

    def test_end_beyond_a_full_list_does_not_settle_a_start(self):
        """Guards against a second run of a task whose end is not listed yet.

        A reply lists a limited number of ends, in their order.
        """
        self.channel.listed_ends = 2
        for index in range(1, 4):
            earlier = (fx.key(index=index), 1)
            self.channel.runs[earlier] = self.clock.seconds()
        self.channel.lost_starts, self.channel.lost_starts_begin = 3, True
        self.start_run(STOP_S + 1.0)
        self.assertEqual(self.settled(), [])
        self.system.tell(self.session.name, AcknowledgeEnds(2))
        self.run_until_settled(1.0)
        self.assert_end_came_first()

    def test_report_that_cannot_be_handled_does_not_settle_a_start(self):
        """Guards against a task that waits for its start forever."""
        self.channel.lost_starts, self.channel.lost_starts_begin = 3, True
        self.start_run(STOP_S / 2)
        with (
            mock.patch.object(
                self.session, "_handle_report", side_effect=ZeroDivisionError
            ),
            self.assertLogs("redwingrudder", logging.ERROR),
        ):
            run_for(self.clock, STOP_S)
        self.assertEqual(self.settled(), [])
        self.run_until_settled(1.0)
        self.assert_end_came_first()

    def test_start_is_not_sent_after_the_lease_has_lapsed(self):
        """Guards against a run that begins after its task is given up.

        COORDINATOR has not handled the lapse when it passes on the start.
        """
        self.channel.answers = False
        run_for(self.clock, prior_lease_timeout_s(LEASE_S) + 5.0)
        self.assertTrue(
            any(isinstance(m, WorkerLeaseLapsed) for m in self.coordinator.received)
        )
        self.start_run(5.0)
        self.assertNotIn("start", self.channel.calls)
        self.assertEqual(len(self.settled()), 1)

    def test_start_that_never_began_is_settled_without_delay(self):
        """Guards against waiting for the end of a run that never began."""
        self.channel.lost_starts = 3
        self.start_run(0.1)
        self.run_until_settled(0.01)

    def test_definite_rejection_needs_no_stop(self):
        """Guards against calls that delay the next placement of a task."""
        self.channel.start_rejection = "room"
        self.start_run(0.1)
        self.run_until_settled(0.01)
        self.assertNotIn("stop", self.channel.calls)


if __name__ == "__main__":
    unittest.main()
