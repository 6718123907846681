"""Tests of the ends of holds for late starts, on record and at takeovers."""

import json
import math
import unittest
from unittest import mock

from redwingrudder._wire.generated.coordination.ttypes import WireNodeSummary
from redwingrudder.coordination.clock_agreement import (
    MIN_CLOCKS,
    UnixTimeOffsets,
    estimate_offsets,
)
from redwingrudder.coordination.gateways import PEERS
from redwingrudder.coordination.leadership import Identity
from redwingrudder.coordination.peers import (
    MAX_FRESH_AGE_S,
    ListPeers,
    Peers,
    PeerView,
)
from redwingrudder.coordination.worker_session import longest_lease_timeout_s
from redwingrudder.exceptions import BadRequestError
from redwingrudder.simulation import MAX_LEASE_S
from redwingrudder.timers import TimerService
from redwingrudder.workflows import records
from redwingrudder.workflows.records import CLOCK_MARGIN_S
from redwingrudder.workflows.run_table import LATE_CALL_S

from . import workflow_fixtures as fx
from .coordination_fakes import node_system, outcome
from .late_call_case import KEY, ROOM, TERM
from .test_late_starts import LateStartCase

UNIX_S = 1_790_000_000.0
OFFSET_S = UNIX_S - 100.0  # of a writer whose node clock shows 100 s at UNIX_S
HOLD_S = LATE_CALL_S + longest_lease_timeout_s(MAX_LEASE_S)


class TakeoverTests(LateStartCase):
    """The worker of a lost attempt is silent, and its entry stays."""

    def know_time(self, low_s=UNIX_S, high_s=UNIX_S):
        offsets = UnixTimeOffsets(low_s, high_s)
        view = PeerView((), 8, unix_time_offsets=offsets)
        self.peers._replies[ListPeers] = view

    def hold_start(self):
        """Hold the next run; return the time at which the attempt was sent."""
        self.run_for(1.0)
        self.start_with_lost_attempt()
        (late_call,) = self.w1.late_calls
        self.stop_run_and_restart()
        self.register("w2", ROOM)
        return late_call.sent.at

    def run_until(self, at):
        self.run_for(at - self.clock.seconds())

    def hand_over_at(self, *times):
        for number, at in enumerate(times, 1):
            self.run_until(at)
            self.hand_over(TERM + number)

    def assert_begins(self, earliest, latest):
        self.run_until(earliest)
        self.assertNotIn(KEY, self.w2.process.runs_by_key)
        self.run_until(latest)
        self.assertIn(KEY, self.w2.process.runs_by_key)

    def test_changes_of_the_coordinator_do_not_begin_a_hold_anew(self):
        """Guards against a task that waits as long as coordinators change."""
        self.know_time()
        sent_at = self.hold_start()
        self.hand_over_at(*(sent_at + after_s for after_s in (5.0, 11.0, 17.0)))
        self.assert_begins(sent_at + HOLD_S, sent_at + HOLD_S + 3 * CLOCK_MARGIN_S + 1)

    def test_successor_whose_lower_estimate_is_behind(self):
        """Guards against a hold that a wrong clock makes longer than ever."""
        self.know_time()
        sent_at = self.hold_start()
        self.know_time(UNIX_S - 3600.0, UNIX_S)
        self.hand_over_at(sent_at + 5.0)
        self.assert_begins(sent_at + 5.0 + HOLD_S - 0.1, sent_at + 5.0 + HOLD_S + 1.0)

    def test_successor_that_hears_too_few_clocks(self):
        """Guards against two runs by the time of day of a single clock."""
        self.know_time()
        sent_at = self.hold_start()
        self.peers._replies[ListPeers] = PeerView((), 8)
        self.system.unix_time = lambda: UNIX_S + 1000.0
        self.hand_over_at(sent_at + 5.0)
        self.assert_begins(sent_at + 5.0 + HOLD_S - 0.1, sent_at + 5.0 + HOLD_S + 1.0)

    def test_writer_that_hears_too_few_clocks(self):
        """Guards against two runs by a recorded time of a single clock."""
        self.system.unix_time = lambda: UNIX_S - 1000.0
        sent_at = self.hold_start()
        self.know_time()
        self.hand_over_at(sent_at + 5.0)
        self.assert_begins(sent_at + 5.0 + HOLD_S - 0.1, sent_at + 5.0 + HOLD_S + 1.0)

    def test_writer_whose_clock_is_behind_takes_the_upper_estimate(self):
        """Guards against two runs by a recorded end that is too early."""
        self.know_time(UNIX_S - 1000.0, UNIX_S)
        sent_at = self.hold_start()
        self.run_for(0.5)
        self.know_time()
        self.hand_over_at(sent_at + 5.0)
        self.assert_begins(sent_at + HOLD_S, sent_at + HOLD_S + CLOCK_MARGIN_S + 1.0)


class RecordedHoldTests(unittest.TestCase):
    """A worker may carry out a start until 120 s of its writer's clock."""

    def record(self, offset_s=OFFSET_S, until=120.0):
        progress = fx.engine().accept(fx.workflow(), 0.0)
        (task,) = progress.tasks()
        task.add_late_start("w1", until)
        return records.encode_progress(progress, 1, {}, 100.0, offset_s)

    def restore(self, content, offset_s, latest):
        """Return the end of the hold by the node clock of a successor."""
        record = records.decode_progress("job", content)
        progress = fx.engine().accept(fx.workflow(), 0.0)
        records.restore_late_starts(progress, record, latest, offset_s)
        (task,) = progress.tasks()
        return task.late_starts_by_worker["w1"]

    def test_record_has_the_time_of_day_of_the_end(self):
        """Guards against an end by a clock that no other node has."""
        record = records.decode_progress("job", self.record())
        self.assertEqual(record.late_starts, ((KEY, "w1", UNIX_S + 20.0),))

    def test_end_by_the_clock_of_the_successor(self):
        """Guards against a hold that begins anew, or ends without a margin."""
        # The successor's node clock showed 7 s at UNIX_S.
        ends_at = self.restore(self.record(), UNIX_S - 7.0, 12.0 + 22.0)
        self.assertAlmostEqual(ends_at, 27.0 + CLOCK_MARGIN_S, 3)

    def test_end_that_is_too_far_away(self):
        """Guards against a hold that lasts until a wrong clock is reached."""
        for offset_s in (UNIX_S - 3600.0, 0.0, -UNIX_S):
            with self.subTest(offset_s):
                self.assertEqual(self.restore(self.record(), offset_s, 34.0), 34.0)

    def test_end_in_the_past(self):
        """Guards against an old record that holds a task back."""
        ends_at = self.restore(self.record(), UNIX_S + 1000.0, 34.0)
        self.assertLess(ends_at, 0.0)

    def test_unknown_times(self):
        """Guards against two runs by a guess of the end."""
        self.assertEqual(self.restore(self.record(), None, 34.0), 34.0)
        self.assertEqual(self.restore(self.record(None), OFFSET_S, 34.0), 34.0)

    def test_record_of_an_earlier_release(self):
        """Guards against a job that is set aside for lack of an end."""
        document = json.loads(self.record())
        document["late_starts"] = [row[:4] for row in document["late_starts"]]
        content = json.dumps(document).encode()
        self.assertEqual(self.restore(content, OFFSET_S, 34.0), 34.0)

    def test_malformed_end(self):
        """Guards against an end that is no time, and no coded error."""
        for value in ("soon", -1.0, True, [], 1e300):
            document = json.loads(self.record())
            document["late_starts"][0][4] = value
            with self.subTest(value), self.assertRaises(BadRequestError) as caught:
                records.decode_progress("job", json.dumps(document).encode())
            self.assertEqual(caught.exception.code, BadRequestError.code)

    def test_record_is_readable_whatever_the_clocks_show(self):
        """Guards against a job that is set aside for a clock of its writer."""
        for offset_s in (-UNIX_S, 1e300, -math.inf, math.inf, math.nan):
            with self.subTest(offset_s):
                content = self.record(offset_s)
                self.assertEqual(self.restore(content, OFFSET_S, 34.0), 34.0)


class ClockAgreementTests(unittest.TestCase):
    """The right Unix time is 0 s ahead of the node clock."""

    def test_clock_that_jumped_forward(self):
        """Guards against a hold that one wrong clock ends too early."""
        for others_s in ((0.0, 0.0), (0.0,) * 5):
            self.assertEqual(estimate_offsets(9.0, others_s).low_s, 0.0)
        self.assertEqual(estimate_offsets(0.0, (9.0, 0.0)).low_s, 0.0)

    def test_clock_that_jumped_back(self):
        """Guards against a recorded end that a wrong clock makes too early."""
        for others_s in ((0.0, 0.0), (0.0,) * 5):
            self.assertEqual(estimate_offsets(-9.0, others_s).high_s, 0.0)
        self.assertEqual(estimate_offsets(0.0, (-9.0, 0.0)).high_s, 0.0)

    def test_summaries_that_waited_in_a_socket(self):
        """Guards against a recorded end that late summaries make too early."""
        self.assertEqual(estimate_offsets(0.0, (-4.0,) * 6).high_s, 0.0)

    def test_too_few_clocks(self):
        """Guards against a median that one clock decides."""
        others_s = (0.0,) * (MIN_CLOCKS - 2)
        self.assertIsNone(estimate_offsets(0.0, others_s))
        self.assertIsNone(estimate_offsets(0.0, ()))

    def test_view_of_the_other_nodes(self):
        """Guards against estimates from old summaries, or from one clock."""
        clock, system, _ = node_system()
        TimerService(system)
        identity = Identity("n1", "10.0.0.1:7000", "life")
        peers = Peers(system, clock, identity, ("10.0.0.1", 7000))
        clock.advance(100.0)
        with mock.patch("time.time", lambda: 1009.0 + clock.seconds()):
            for number, jump_s in ((2, 0.0), (3, -5.0)):
                address = f"10.0.0.{number}:7000"
                unix_s = 1000.0 + clock.seconds() + jump_s
                peers._answer_exchange(
                    WireNodeSummary(
                        f"n{number}", address, "x", 0, "", "", 0, True, unix_s
                    )
                )
                if number == 2:
                    self.assertIsNone(self.offsets(system, clock))
            clock.advance(MAX_FRESH_AGE_S - 1.0)
            self.assertEqual(
                self.offsets(system, clock), UnixTimeOffsets(1000.0, 1009.0)
            )
            clock.advance(1.0)
            self.assertIsNone(self.offsets(system, clock))

    def offsets(self, system, clock):
        """Return the estimates that PEERS gives."""
        reply = system.ask(PEERS, ListPeers())
        clock.advance(0.0)
        return outcome(reply).unix_time_offsets


if __name__ == "__main__":
    unittest.main()
