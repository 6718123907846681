"""Runs that a worker lists although no task is waiting for their end."""

import unittest

from redwingrudder.coordination.recovery import accept_stored
from redwingrudder.workflows import records
from redwingrudder.workflows.model import NO_RESOURCES, EndKind, RunReport
from redwingrudder.workflows.start_trials import FIRST_REST_S
from redwingrudder.workflows.state import STOP_INTERVAL_S

from . import workflow_fixtures as fx


class ListedRunCase(unittest.TestCase):
    """Has one worker and a job of one task whose first run is placed."""

    def setUp(self):
        self.engine = fx.engine(fx.worker("w1"))
        self.engine.accept(fx.workflow(), 0.0)
        self.start = fx.starts(self.engine.plan(0.0, 0.0))[0]
        self.task = self.engine.find(self.start.key)

    @property
    def used(self):
        return self.engine.workers_by_id["w1"].used

    def list_run(self, now, *entries):
        """Report runs as in progress; returns the runs that are stopped."""
        entries = entries or (fx.running(self.start),)
        self.engine.report("w1", entries, now)
        self.engine.settle_reappeared("w1", {(e.key, e.run) for e in entries}, now)
        stops = fx.stops(self.engine.plan(now, now))
        return [(stop.worker_id, stop.key, stop.run) for stop in stops]

    def report_nothing(self, now):
        self.engine.report("w1", [], now)
        self.engine.settle_reappeared("w1", set(), now)

    def reject(self, now):
        self.engine.start_rejected(self.start.key, self.start.run, "unanswered", now)

    def cancel(self, now):
        self.engine.cancel("job", now)
        self.engine.plan(now, now)

    @property
    def stop(self):
        return ("w1", self.start.key, self.start.run)


class CancelledJobTests(ListedRunCase):
    """Runs of a job that was cancelled while its task had no run."""

    def assert_stopped(self):
        """Check that the listed run is stopped, and uses room until then."""
        self.assertEqual(self.list_run(2.0), [self.stop])
        self.assertEqual(self.used, fx.ONE_GPU)
        self.report_nothing(2.2)
        self.assertEqual(self.used, NO_RESOURCES)
        self.assertEqual(self.task.state, "withdrawn")

    def test_run_of_a_start_that_was_rejected_before_the_cancel(self):
        """Guards against a run of a cancelled job that is left running."""
        self.reject(0.5)
        self.cancel(0.6)
        self.assert_stopped()

    def test_run_of_a_start_that_was_rejected_after_the_cancel(self):
        """Guards against a run of a cancelled job that is left running."""
        self.cancel(0.5)
        self.reject(0.6)
        self.engine.plan(0.6, 0.6)
        self.assert_stopped()

    def test_run_that_was_not_listed_before_the_cancel(self):
        """Guards against a run that appears after a report without it."""
        fx.confirm(self.engine, [self.start])
        self.engine.reconcile("w1", set(), True, 0.5)
        self.cancel(0.6)
        self.assert_stopped()

    def test_run_that_was_taken_as_lapsed_before_the_cancel(self):
        """Guards against a worker that returns with a run after its lease."""
        fx.confirm(self.engine, [self.start])
        self.engine.interrupt_worker("w1", 0.5, "lease_lapsed")
        self.cancel(0.6)
        self.engine.adopt_run(self.start.key, self.start.run, "w1", True, 2.0)
        self.assert_stopped()

    def test_run_whose_end_was_taken_as_lapsed(self):
        """Guards against an end that is taken as proof that nothing runs."""
        fx.confirm(self.engine, [self.start])
        self.engine.end("w1", fx.ended(self.start, EndKind.LAPSED), 0.5)
        self.cancel(0.6)
        self.assert_stopped()

    def test_stop_is_repeated_while_the_run_is_listed(self):
        """Guards against a stop that was lost with its session."""
        self.reject(0.5)
        self.cancel(0.6)
        self.assertEqual(self.list_run(1.0), [self.stop])
        self.assertEqual(self.list_run(1.0 + STOP_INTERVAL_S / 2), [])
        self.assertEqual(self.list_run(1.0 + STOP_INTERVAL_S), [self.stop])
        self.assertEqual(self.used, fx.ONE_GPU)


class UnknownJobTests(ListedRunCase):
    """Runs of jobs and tasks that the coordinator does not know."""

    def test_run_of_a_forgotten_job_is_stopped(self):
        """Guards against a late start after the records were removed."""
        self.reject(0.5)
        self.cancel(0.6)
        self.engine.forget("job")
        self.assertEqual(self.list_run(1.0), [self.stop])
        self.assertEqual(self.list_run(1.2), [])

    def test_run_of_an_unknown_task_is_stopped(self):
        """Guards against a run of a task that its job does not have."""
        entry = RunReport(fx.key(index=7), 1, "", 10.0)
        stopped = self.list_run(1.0, fx.running(self.start), entry)
        self.assertEqual(stopped, [("w1", entry.key, 1)])

    def test_run_of_a_job_that_is_set_aside_goes_on(self):
        """Guards against stopping a run that another release accounts for."""
        self.engine.set_aside("job")
        self.assertEqual(self.list_run(1.0), [])

    def test_run_of_a_job_whose_document_is_unreadable_goes_on(self):
        """Guards against stopping the runs that another release has placed."""
        self.engine.forget("job")
        accept_stored(self.engine, "intake/job", "{", 0.5, recovering=True)
        self.assertEqual(self.list_run(1.0), [])

    def test_run_of_a_cancelled_job_that_is_set_aside_is_stopped(self):
        """Guards against a cancellation without an effect on the runs."""
        for cancelled_first in (False, True):
            with self.subTest(cancelled_first=cancelled_first):
                self.setUp()
                if cancelled_first:
                    self.engine.forget("job")
                    self.engine.cancel("job", 0.4)
                self.engine.set_aside("job")
                self.engine.cancel("job", 0.6)
                self.assertEqual(self.list_run(1.0), [self.stop])

    def test_cancellation_before_a_job_is_set_aside_is_kept(self):
        """Guards against a run of a cancelled job that is never stopped."""
        for was_known in (False, True):
            with self.subTest(was_known=was_known):
                self.setUp()
                if not was_known:
                    self.engine.forget("job")
                self.engine.cancel("job", 0.4)
                self.engine.take_effects()
                self.engine.set_aside("job")
                self.assertEqual(self.list_run(1.0), [self.stop])

    def test_unreadable_announcement_does_not_set_a_job_aside(self):
        """Guards against a job that is refused for a damaged announcement."""
        document = records.encode_workflow(fx.workflow("new")).decode()
        accept_stored(self.engine, "new", document[:-5], 0.0, is_stored=False)
        self.assertTrue(accept_stored(self.engine, "intake/new", document, 0.1))

    def test_unreadable_copy_of_a_document_changes_nothing(self):
        """Guards against a job that a malformed announcement sets aside."""
        accept_stored(self.engine, "job", "{", 0.5)
        self.assertEqual(self.engine.set_aside_ids, set())
        self.assertIs(self.engine.find(self.start.key), self.task)


class WantedJobTests(ListedRunCase):
    """Runs that reappear while their task waits to be started again."""

    def test_task_waits_until_a_run_that_reappears_has_ended(self):
        """Guards against a second run beside one that is being stopped."""
        self.reject(0.5)
        self.assertEqual(self.list_run(1.0), [self.stop])
        self.assertEqual((self.task.state, self.used), ("stopping", fx.ONE_GPU))
        self.engine.end("w1", fx.ended(self.start, EndKind.STOPPED), 1.2)
        again = fx.starts(self.engine.plan(1.2, 1.2))
        self.assertEqual([start.run for start in again], [self.start.run + 1])

    def test_failure_of_a_run_that_reappears_is_counted(self):
        """Guards against an attempt that does not count."""
        self.reject(0.5)
        self.list_run(1.0)
        self.engine.end("w1", fx.ended(self.start, EndKind.FAILED), 1.2)
        self.report_nothing(1.2)
        self.assertEqual(self.task.failures, 1)

    def test_task_does_not_wait_for_a_run_that_is_gone(self):
        """Guards against a task that is blocked by an outdated report."""
        self.reject(0.5)
        self.list_run(1.0)
        self.report_nothing(1.2)
        again = fx.starts(self.engine.plan(1.2, 1.2))
        self.assertEqual([start.run for start in again], [self.start.run + 1])

    def test_older_run_is_not_adopted(self):
        """Guards against run numbers that are used a second time."""
        self.reject(0.5)
        newer = fx.starts(self.engine.plan(0.6, 0.6))[0]
        self.engine.start_rejected(newer.key, newer.run, "unanswered", 0.7)
        self.engine.adopt_run(self.start.key, self.start.run, "w1", True, 1.0)
        self.assertEqual((self.task.state, self.task.run), ("waiting", newer.run))
        self.assertEqual(self.list_run(1.0), [self.stop])
        self.assertEqual((self.task.state, self.used), ("stopping", fx.ONE_GPU))
        self.report_nothing(1.2)
        again = self.starts_after_rest(0.7)
        self.assertEqual([start.run for start in again], [newer.run + 1])

    def starts_after_rest(self, refused_at):
        """Return the starts after the rest of w1, which has refused two."""
        now = refused_at + FIRST_REST_S
        return fx.starts(self.engine.plan(now, now))

    def test_task_waits_until_an_older_run_has_ended(self):
        """Guards against a new run beside an older one until its stop."""
        self.reject(0.5)
        newer = fx.starts(self.engine.plan(0.6, 0.6))[0]
        self.engine.start_rejected(newer.key, newer.run, "unanswered", 0.7)
        self.engine.report("w1", [fx.running(self.start)], 0.8)
        effects = self.engine.plan(0.8, 0.8)
        self.assertEqual(fx.starts(effects), [])
        self.assertEqual([stop.run for stop in fx.stops(effects)], [self.start.run])
        self.engine.end("w1", fx.ended(self.start, EndKind.STOPPED), 1.2)
        again = self.starts_after_rest(0.7)
        self.assertEqual([start.run for start in again], [newer.run + 1])

    def test_run_that_is_adopted_after_a_lapse_goes_on(self):
        """Guards against interrupting a run because of an outdated report.

        The run had reappeared before the lease of its worker lapsed.
        """
        self.reject(0.5)
        self.list_run(1.0)
        self.engine.interrupt_worker("w1", 2.0, "lease_lapsed")
        self.engine.adopt_run(self.start.key, self.start.run, "w1", True, 3.0)
        self.report_nothing(3.1)
        self.assertEqual(self.task.state, "running")

    def test_runs_that_ended_are_not_remembered(self):
        """Guards against memory that grows with each run that reappears."""
        self.reject(0.5)
        self.list_run(1.0)
        self.engine.end("w1", fx.ended(self.start, EndKind.STOPPED), 1.2)
        self.assertEqual(self.engine.workers_by_id["w1"].reappeared, set())

    def test_older_run_uses_room_once(self):
        """Guards against starts that are refused on a worker with room.

        The older run was stopped beside a newer one, and the task waits for
        its end after that one was rejected.
        """
        self.reject(0.5)
        newer = fx.starts(self.engine.plan(0.6, 0.6))[0]
        self.engine.report("w1", [fx.running(self.start)], 0.7)
        self.engine.start_rejected(newer.key, newer.run, "unanswered", 0.8)
        self.engine.report("w1", [fx.running(self.start)], 0.9)
        self.assertEqual((self.task.state, self.used), ("stopping", fx.ONE_GPU))
        self.report_nothing(1.2)
        self.assertEqual(self.used, NO_RESOURCES)

    def test_older_run_uses_room_once_after_a_confirmed_run(self):
        """Guards against room that stays in use after an older run.

        The older run was stopped beside a newer one that had begun, and the
        task waits for its end after that one has ended.
        """
        self.reject(0.5)
        newer = fx.starts(self.engine.plan(0.6, 0.6))[0]
        self.engine.start_confirmed(newer.key, newer.run, 0.65)
        both = [fx.running(self.start), fx.running(newer)]
        self.engine.report("w1", both, 0.7)
        self.engine.end("w1", fx.ended(newer, EndKind.STOPPED), 0.8)
        self.engine.report("w1", [fx.running(self.start)], 0.9)
        self.assertEqual((self.task.state, self.used), ("stopping", fx.ONE_GPU))
        self.report_nothing(1.2)
        self.assertEqual(self.used, NO_RESOURCES)

    def test_task_waits_until_its_run_on_another_worker_has_ended(self):
        """Guards against a new run beside one that a worker brings back.

        The record of the run did not name its worker any more.
        """
        self.reject(0.5)
        self.task.worker_id = ""
        self.engine.report("w1", [fx.running(self.start)], 0.8)
        effects = self.engine.plan(0.8, 0.8)
        self.assertEqual(fx.starts(effects), [])
        self.assertEqual([stop.run for stop in fx.stops(effects)], [self.start.run])

    def test_task_waits_until_all_older_runs_have_ended(self):
        """Guards against a new run beside the second of two older ones."""
        for gang in (False, True):
            with self.subTest(gang=gang):
                self.check_two_older_runs(fx.workflow("job", fx.step(gang=gang)))

    def check_two_older_runs(self, workflow):
        engine = fx.engine(fx.worker("w1"), fx.worker("w2"), fx.worker("w3"))
        engine.accept(workflow, 0.0)
        older = []
        for now in (0.0, 0.2):
            start = fx.starts(engine.plan(now, now))[0]
            engine.start_rejected(start.key, start.run, "unanswered", now + 0.1)
            older.append(start)
        for worker_id, start in zip(("w1", "w2"), older, strict=True):
            engine.report(worker_id, [fx.running(start)], 0.5)
        engine.plan(0.5, 0.5)
        engine.end("w1", fx.ended(older[0], EndKind.STOPPED), 0.6)
        self.assertEqual(fx.starts(engine.plan(0.6, 0.6)), [])
        engine.report("w2", [], 0.7)
        again = fx.starts(engine.plan(0.7, 0.7))
        self.assertEqual([start.run for start in again], [older[1].run + 1])

    def test_gang_waits_until_an_older_run_of_a_member_has_ended(self):
        """Guards against a gang that begins without one of its members."""
        self.engine.accept(fx.workflow("gang", fx.step(2, gang=True)), 0.0)
        older = fx.starts(self.engine.plan(0.0, 0.0))
        for start in older:
            self.engine.start_rejected(start.key, start.run, "unanswered", 0.5)
        newer = fx.starts(self.engine.plan(0.6, 0.6))
        fx.confirm(self.engine, newer)
        listed = [fx.running(start) for start in (older[0], *newer, self.start)]
        self.engine.report("w1", listed, 0.7)
        for start in newer:
            self.engine.end("w1", fx.ended(start, EndKind.STOPPED), 0.8)
        self.assertEqual(fx.starts(self.engine.plan(0.9, 0.9)), [])
        self.engine.report("w1", [fx.running(self.start)], 1.2)
        starts = fx.starts(self.engine.plan(1.3, 1.3))
        self.assertEqual({start.key for start in starts}, {s.key for s in newer})

    def test_run_that_is_newer_than_all_known_ones_goes_on(self):
        """Guards against a coordinator that stops its successor's run."""
        entry = RunReport(self.start.key, self.start.run + 1, "", 10.0)
        self.assertEqual(self.list_run(1.0, entry), [])
        self.engine.cancel("job", 1.1)
        self.engine.plan(1.1, 1.1)
        self.assertEqual(self.list_run(1.2, entry), [("w1", entry.key, entry.run)])


if __name__ == "__main__":
    unittest.main()
