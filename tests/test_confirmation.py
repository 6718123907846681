"""Load pattern: writes take effect, and their answers are lost.

The store answers all other calls. Without a lookup, each lost answer costs
the time limit of a call and a second write.
"""

import unittest

from twisted.internet.defer import ensureDeferred

from redwingrudder._store_requests import Compare, PutKey, Transact
from redwingrudder.coordination.confirmation import (
    CONFIRM_AFTER_S,
    transact,
)
from redwingrudder.coordination.gateways import PROGRESS_PREFIX, TERM_KEY
from redwingrudder.coordination.recorder import Recorder
from redwingrudder.exceptions import OutcomeUnknownError, StoreUnavailableError
from redwingrudder.simulation import CALL_TIMEOUT_S

from . import workflow_fixtures as fx
from .coordination_fakes import node_system, outcome, run_for


class TransactTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.system, self.store = node_system()

    def transact(self, revision=0, value="mine", seconds=2 * CONFIRM_AFTER_S):
        message = Transact((Compare("key", revision),), (PutKey("key", value),))
        reply = ensureDeferred(transact(self.system, message))
        run_for(self.clock, seconds)
        return outcome(reply)

    def test_lost_answer_is_replaced_by_a_read(self):
        """Guards against work that waits for the time limit of a write."""
        self.store.answers_to_withhold = 1
        reply = self.transact()
        item = self.store.contents.items_by_key["key"]
        self.assertEqual((reply.succeeded, reply.revision), (True, item.mod_revision))
        run_for(self.clock, CALL_TIMEOUT_S)

    def test_answer_is_not_looked_up_while_the_store_answers(self):
        """Guards against reads that double the calls to a sound store."""
        self.assertTrue(self.transact().succeeded)
        self.assertEqual(len(self.clock.getDelayedCalls()), 0)

    def test_refused_write_is_no_success(self):
        """Guards against confirming a write by what was there before.

        The key holds the same value from an earlier write.
        """
        self.store.contents.put("key", "mine")
        self.assertFalse(self.transact(revision=1).succeeded)
        held = self.store.contents.items_by_key["key"].mod_revision
        self.store.writes_to_delay = 1
        self.assertIsInstance(self.transact(revision=held), OutcomeUnknownError)

    def test_write_that_may_come_late_stays_unknown(self):
        """Guards against calling a write done, or not done, too early."""
        self.store.writes_to_delay = 1
        self.assertIsInstance(self.transact(), OutcomeUnknownError)
        self.assertEqual(self.store.apply_delayed_writes(), [True])

    def test_value_of_another_writer_is_no_success(self):
        """Guards against taking another node's write for one's own."""
        self.store.contents.put("key", "theirs")
        self.store.writes_to_delay = 1
        self.assertIsInstance(self.transact(), OutcomeUnknownError)

    def test_store_that_refuses_is_reported(self):
        """Guards against a certain refusal that becomes unknown."""
        self.store.down = True
        self.assertIsInstance(self.transact(), StoreUnavailableError)


class RecorderTests(unittest.TestCase):
    def test_progress_is_recorded_in_spite_of_lost_answers(self):
        """Guards against starts and ends that wait for a second write."""
        clock, system, store = node_system()
        store.contents.put(TERM_KEY, "1")
        term = store.contents.items_by_key[TERM_KEY]
        recorder = Recorder(system, 1, term.mod_revision)
        engine = fx.engine()
        engine.accept(fx.workflow("job", fx.step(2)), 0.0)
        store.answers_to_withhold = 2
        for _ in range(2):
            engine.plan(clock.seconds(), 0.0)
            written = ensureDeferred(recorder.write(engine, ["job"]))
            run_for(clock, 2 * CONFIRM_AFTER_S)
            self.assertEqual(outcome(written).workflow_ids, ("job",))
        self.assertEqual(len(store.transactions), 2)

    def test_late_write_of_other_records_is_no_success(self):
        """Guards against starts and ends of records that were never written.

        An earlier write takes effect while a later one, whose answer is lost,
        is looked up. Both write the same progress of one job, and only the
        later one has that of another job.
        """
        clock, system, store = node_system()
        store.contents.put(TERM_KEY, "1")
        term = store.contents.items_by_key[TERM_KEY]
        recorder = Recorder(system, 1, term.mod_revision)
        engine = fx.engine()
        for workflow_id in ("job", "other"):
            engine.accept(fx.workflow(workflow_id), 0.0)
        store.writes_to_delay = 1
        first = ensureDeferred(recorder.write(engine, ["job", "other"]))
        run_for(clock, 2 * CONFIRM_AFTER_S)
        self.assertIsInstance(outcome(first), OutcomeUnknownError)
        engine.cancel("other", 0.0)
        store.writes_to_delay = 1
        second = ensureDeferred(recorder.write(engine, ["job", "other"]))
        self.assertEqual(store.apply_delayed_writes(), [True])
        run_for(clock, 2 * CONFIRM_AFTER_S)
        stored = store.contents.items_by_key[PROGRESS_PREFIX + "other"].value
        self.assertNotIn("cancelled", stored)
        self.assertIsInstance(outcome(second), OutcomeUnknownError)


if __name__ == "__main__":
    unittest.main()
