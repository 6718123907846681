"""Tests of starts without a reply that reach a worker's next process."""

import math
import unittest

from redwingrudder.coordination.gateways import COORDINATOR, TERM_KEY
from redwingrudder.coordination.messages import BeginTerm, EndTerm
from redwingrudder.workflows.model import EndKind

from .late_call_case import KEY, NO_ROOM, ROOM, TERM, LateCallCase

SMALL_ROOM = {**ROOM, "gpu": 1}


class LateStartTests(LateCallCase):
    """The first attempt of a start gets no reply, and w1 restarts later."""

    def start_with_lost_attempt(self):
        """Start a run on w1; its first attempt is carried out later."""
        self.w1.late = {"start"}
        self.submit("job", 0.1)
        self.w1.late = set()
        self.run_for(1.0)
        self.assertIn(KEY, self.w1.process.runs_by_key)
        self.assertEqual(len(self.w1.late_calls), 1)

    def stop_run_and_restart(self):
        """Settle the run on its process, which ends before the next run."""
        self.register("w1", NO_ROOM)
        self.run_for(0.1)
        self.w1.process.end(KEY, EndKind.STOPPED)
        self.run_for(1.0)
        self.w1.silent = True
        self.w1.restart()

    def assert_runs_once_answering(self):
        """Let w1 answer; the next run begins after its late one has ended."""
        self.w1.silent = False
        self.register("w2", ROOM)
        self.run_for(3.0)
        self.assertIn(KEY, self.w2.process.runs_by_key)
        self.assertNotIn(KEY, self.w1.process.runs_by_key)

    def hand_over(self, term):
        """Let the coordinator begin another term, as a successor would."""
        self.system.tell(COORDINATOR, EndTerm("test"))
        self.store.contents.put(TERM_KEY, str(term))
        revision = self.store.contents.items_by_key[TERM_KEY].mod_revision
        self.system.tell(COORDINATOR, BeginTerm(term, revision, math.inf))

    def test_no_run_elsewhere_while_a_lost_attempt_may_reach_a_new_process(self):
        """Guards against two runs by an attempt of a run that was settled."""
        self.start_with_lost_attempt()
        self.stop_run_and_restart()
        self.register("w2", ROOM)
        self.run_for(2.0)
        self.w1.carry_out_late_calls()
        self.assertIn(KEY, self.w1.process.runs_by_key)
        self.run_for(1.0)
        self.assertEqual(self.w2.process.runs_by_key, {})
        self.assert_runs_once_answering()

    def test_lost_attempt_of_the_last_term(self):
        """Guards against two runs by an attempt that an earlier term sent.

        A late poll of the term before it has raised the fence of the new
        process, but only to its own value.
        """
        self.w1.late = {"poll"}
        self.run_for(1.0)
        late_poll, self.w1.late_calls = self.w1.late_calls[-1:], []
        self.w1.late = set()
        self.hand_over(TERM + 1)
        self.run_for(0.5)
        self.start_with_lost_attempt()
        self.stop_run_and_restart()
        self.hand_over(TERM + 2)
        self.register("w2", ROOM)
        self.run_for(2.0)
        self.w1.late_calls = late_poll + self.w1.late_calls
        self.w1.carry_out_late_calls()
        self.assertIn(KEY, self.w1.process.runs_by_key)
        self.run_for(1.0)
        self.assertEqual(self.w2.process.runs_by_key, {})
        self.assert_runs_once_answering()

    def test_recorded_run_of_the_last_term(self):
        """Guards against two runs by an attempt of a run that was adopted.

        The successor does not know which attempts were answered.
        """
        self.start_with_lost_attempt()
        self.register("w1", NO_ROOM)
        self.hand_over(TERM + 1)
        self.run_for(1.0)
        self.w1.process.end(KEY, EndKind.STOPPED)
        self.run_for(1.0)
        self.w1.silent = True
        self.w1.restart()
        self.register("w2", ROOM)
        self.run_for(2.0)
        self.w1.carry_out_late_calls()
        self.run_for(1.0)
        self.assertEqual(self.w2.process.runs_by_key, {})
        self.assert_runs_once_answering()

    def test_next_run_goes_to_the_worker_of_a_lost_attempt(self):
        """Guards against two runs by a restart after the next run was placed.

        The worker starts no run of a task beside another one. The other worker
        is a better fit.
        """
        self.start_with_lost_attempt()
        self.register("w2", SMALL_ROOM)
        self.run_for(0.5)
        self.w1.process.end(KEY, EndKind.STOPPED)
        self.run_for(1.0)
        self.assertIn(KEY, self.w1.process.runs_by_key)
        self.w1.restart()
        self.w1.silent = True
        self.w1.carry_out_late_calls()
        self.run_for(1.0)
        self.w1.silent = False
        self.run_for(3.0)


if __name__ == "__main__":
    unittest.main()
