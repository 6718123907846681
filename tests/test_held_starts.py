"""Tests of placements while a worker may carry out an earlier start."""

import unittest

from redwingrudder.workflows import records
from redwingrudder.workflows.model import EndKind, PollWorker
from redwingrudder.workflows.placement import preferred_workers
from redwingrudder.workflows.run_table import (
    DEFAULT_LONGEST_LEASE_S,
    LATE_CALL_S,
    START_ATTEMPTS_S,
)

from . import workflow_fixtures as fx

LATE_START_S = LATE_CALL_S + DEFAULT_LONGEST_LEASE_S


class HeldStartTests(unittest.TestCase):
    """Runs of one job end as stopped after a start with a lost attempt."""

    def start(self, step, *workers, **options):
        """Place a job, and let the attempts of its starts be known."""
        self.engine = fx.engine(*workers)
        self.progress = self.engine.accept(fx.workflow("job", step, **options), 0.0)
        started = fx.starts(self.engine.plan(0.0, 0.0))
        for number, start in enumerate(started):
            unanswered_at = 0.0 if number == 0 else None
            self.engine.start_settled(
                start.key, start.run, start.worker_id, unanswered_at
            )
        fx.confirm(self.engine, started)
        return started

    def stop(self, started, now):
        for number, start in enumerate(started, 1):
            end = fx.ended(start, EndKind.STOPPED, number)
            self.engine.end(start.worker_id, end, now)

    def lose_worker(self):
        """Interrupt the runs of w1, which does not answer any more."""
        self.engine.workers_by_id["w1"].reachable = False
        self.engine.interrupt_worker("w1", 1.0, "lease_lapsed")

    def place(self, now):
        effects = self.engine.plan(now, now)
        polls = [e.worker_id for e in effects if isinstance(e, PollWorker)]
        return fx.starts(effects), polls

    def report(self, worker_id, now):
        self.engine.report(worker_id, [], now)

    def test_start_elsewhere_waits_for_an_answer(self):
        """Guards against a start beside a late one at a new process."""
        started = self.start(fx.step(), fx.worker("w1"))
        self.engine.set_worker(
            fx.worker("w1", capacity=fx.ONE_GPU._replace(accelerators=0)), 1.0
        )
        self.engine.set_worker(fx.worker("w2"), 1.0)
        self.stop(started, 1.0)
        self.assertEqual(self.place(2.0), ([], ["w1"]))
        self.assertEqual(self.place(2.1), ([], []))
        self.report("w1", 2.15)
        (start,), polls = self.place(2.2)
        self.assertEqual((start.worker_id, polls), ("w2", []))

    def test_answer_to_a_request_counts_until_the_next_pass(self):
        """Guards against a task that is held as planning passes are slow."""
        for pass_at in (2.9, 4.5):
            with self.subTest(pass_at):
                started = self.start(fx.step(), fx.worker("w1"))
                self.engine.set_worker(fx.worker("w1", draining=True), 1.0)
                self.engine.set_worker(fx.worker("w2"), 1.0)
                self.stop(started, 1.0)
                self.assertEqual(self.place(2.0), ([], ["w1"]))
                self.engine.report("w1", [], 2.1, polled_at=2.0)
                (start,), polls = self.place(pass_at)
                self.assertEqual((start.worker_id, polls), ("w2", []))

    def test_slow_answer_counts_although_passes_go_on(self):
        """Guards against requests that are repeated before their answer."""
        started = self.start(fx.step(), fx.worker("w1"))
        self.engine.set_worker(fx.worker("w1", draining=True), 1.0)
        self.engine.set_worker(fx.worker("w2"), 1.0)
        self.stop(started, 1.0)
        requested_at = None
        for tenths in range(20, 50, 3):
            now = tenths / 10
            if requested_at is not None and now - requested_at > 0.7:
                self.engine.report("w1", [], now, polled_at=requested_at)
                requested_at = None
            starts, polls = self.place(now)
            if starts:
                break
            if polls and requested_at is None:
                requested_at = now
        self.assertEqual([start.worker_id for start in starts], ["w2"])

    def test_old_answer_does_not_count(self):
        """Guards against a worker that has restarted since it answered."""
        started = self.start(fx.step(), fx.worker("w1"))
        self.engine.set_worker(fx.worker("w1", draining=True), 1.0)
        self.engine.set_worker(fx.worker("w2"), 1.0)
        self.stop(started, 1.0)
        self.report("w1", 1.0)
        self.assertEqual(self.place(2.0), ([], ["w1"]))

    def test_accepted_start_is_no_report(self):
        """Guards against a late run that the worker has not listed yet."""
        started = self.start(fx.step(2), fx.worker("w1"))
        self.engine.set_worker(fx.worker("w1", draining=True), 1.0)
        self.engine.set_worker(fx.worker("w2"), 1.0)
        self.stop(started[:1], 1.0)
        self.engine.start_confirmed(started[1].key, started[1].run, 2.0)
        self.assertEqual(self.place(2.0), ([], ["w1"]))

    def test_answer_counts_from_its_poll(self):
        """Guards against a worker that has restarted while a poll waited."""
        started = self.start(fx.step(), fx.worker("w1"))
        self.engine.set_worker(fx.worker("w1", draining=True), 1.0)
        self.engine.set_worker(fx.worker("w2"), 1.0)
        self.stop(started, 1.0)
        self.engine.report("w1", [], 2.0, polled_at=1.0)
        self.assertEqual(self.place(2.0), ([], ["w1"]))

    def test_start_elsewhere_does_not_wait_longer_than_calls_may_be_late(self):
        """Guards against a task that waits for a silent worker for good."""
        started = self.start(fx.step(), fx.worker("w1"))
        self.engine.set_worker(fx.worker("w2"), 1.0)
        self.stop(started, 1.0)
        self.engine.workers_by_id["w1"].reachable = False
        self.assertEqual(self.place(LATE_START_S - 0.1), ([], []))
        (start,), _ = self.place(LATE_START_S + 0.1)
        self.assertEqual(start.worker_id, "w2")

    def lapse(self, sent_to_ms=1):
        """Let the leases of w1 lapse, to which a late start was sent."""
        self.start(fx.step(), fx.worker("w1", process_started_ms=1))
        (task,) = self.progress.tasks()
        task.late_starts_by_worker.clear()
        task.add_late_start("w1", LATE_START_S, sent_to_ms)
        self.engine.set_worker(fx.worker("w2"), 1.0)
        self.lose_worker()
        self.engine.workers_by_id["w1"].lapsed = True
        return task

    def test_start_that_has_lapsed_with_its_process_holds_nothing(self):
        """Guards against a task that waits for a worker behind a cut."""
        self.lapse()
        (start,), _ = self.place(2.0)
        self.assertEqual(start.worker_id, "w2")

    def test_start_of_another_process_goes_on_to_hold(self):
        """Guards against two runs by a start that reaches a new process."""
        for sent_to_ms in (0, 2):
            with self.subTest(sent_to_ms):
                self.lapse(sent_to_ms)
                self.assertEqual(self.place(2.0), ([], []))

    def test_starts_of_two_processes_go_on_to_hold(self):
        """Guards against two runs by the start that was sent first."""
        self.lapse(2).add_late_start("w1", 5.0, 1)
        self.assertEqual(self.place(6.0), ([], []))

    def test_worker_without_an_entry_goes_on_to_hold(self):
        """Guards against two runs at a process that nobody knows yet."""
        self.lapse()
        self.engine.workers_by_id["w1"].listed = False
        self.assertEqual(self.place(2.0), ([], []))

    def test_worker_that_is_gone_is_not_waited_for(self):
        """Guards against a task that waits while the fleet has room."""
        started = self.start(fx.step(), fx.worker("w1"))
        self.engine.set_worker(fx.worker("w2"), 1.0)
        self.stop(started, 1.0)
        self.engine.remove_worker("w1", 1.0, "gone")
        (start,), _ = self.place(1.1)
        self.assertEqual(start.worker_id, "w2")

    def test_member_returns_to_its_own_worker(self):
        """Guards against members of a gang that change places."""
        gang = fx.step(2, fx.WHOLE_WORKER, gang=True)
        started = self.start(gang, fx.worker("w1"), fx.worker("w2"))
        self.stop(started, 30.0)
        self.progress.occurrences[0].stages[0].tasks[1].add_late_start("w1", 40.0)
        again, _ = self.place(30.1)
        workers_by_index = {start.key.index: start.worker_id for start in again}
        self.assertEqual(workers_by_index, {0: "w2", 1: "w1"})

    def test_gang_waits_as_a_whole(self):
        """Guards against a gang that starts without a held member."""
        gang = fx.step(2, fx.WHOLE_WORKER, gang=True)
        started = self.start(gang, fx.worker("w1"), fx.worker("w2"))
        lost_id = started[0].worker_id
        self.engine.set_worker(fx.worker("w3"), 1.0)
        self.engine.set_worker(fx.worker(lost_id, draining=True), 1.0)
        self.stop(started, 1.0)
        self.assertEqual(self.place(2.0), ([], [lost_id]))
        self.report(lost_id, 2.1)
        again, _ = self.place(2.2)
        self.assertEqual(len(again), 2)

    def test_copies_may_run_side_by_side(self):
        """Guards against a wait of tasks whose runs may overlap."""
        started = self.start(fx.step(copies_allowed=True), fx.worker("w1"))
        self.engine.set_worker(fx.worker("w1", draining=True), 1.0)
        self.engine.set_worker(fx.worker("w2"), 1.0)
        self.stop(started, 1.0)
        (start,), _ = self.place(5.0)
        self.assertEqual(start.worker_id, "w2")

    def test_suspected_task_does_not_return_to_its_worker(self):
        """Guards against a task that crashes the same worker again."""
        self.start(fx.step(), fx.worker("w1"))
        (task,) = self.progress.tasks()
        self.assertEqual(preferred_workers(task.stage, task, 1.0), ("w1",))
        task.suspicion = "suspected"
        self.assertEqual(preferred_workers(task.stage, task, 1.0), ())

    def test_start_that_is_in_flight_at_an_interruption(self):
        """Guards against attempts that no message has reported."""
        self.engine = fx.engine(fx.worker("w1"))
        self.engine.accept(fx.workflow(), 0.0)
        (start,) = fx.starts(self.engine.plan(0.0, 0.0))
        self.engine.start_sent(start.key, start.run, 0.0)
        self.engine.set_worker(fx.worker("w2"), 1.0)
        self.engine.workers_by_id["w1"].reachable = False
        self.engine.interrupt_worker("w1", 8.0, "lease_lapsed")
        self.assertEqual(self.place(8.1), ([], []))
        (start,), _ = self.place(LATE_START_S + START_ATTEMPTS_S + 0.1)
        self.assertEqual(start.worker_id, "w2")

    def test_other_tasks_of_the_step_do_not_wait(self):
        """Guards against idle capacity that is left to a held task."""
        self.start(fx.step(2), fx.worker("w1"))
        self.engine.set_worker(
            fx.worker("w2", capacity=fx.ONE_GPU._replace(accelerators=1)), 1.0
        )
        self.lose_worker()
        again, _ = self.place(2.0)
        self.assertEqual([start.key.index for start in again], [1])

    def test_no_run_is_preempted_for_a_held_task(self):
        """Guards against stopping runs for a task that cannot start."""
        self.start(fx.step(), fx.worker("w1"), priority=0)
        self.lose_worker()
        self.engine.set_worker(fx.worker("w2", capacity=fx.ONE_GPU), 1.0)
        self.engine.accept(fx.workflow("other"), 1.0)
        other = fx.starts(self.engine.plan(2.0, 2.0))
        self.assertEqual([start.key.workflow_id for start in other], ["other"])
        fx.confirm(self.engine, other, 2.0)
        self.assertEqual(fx.stops(self.engine.plan(3.0, 3.0)), [])
        self.assertEqual(len(fx.stops(self.engine.plan(LATE_START_S, 23.0))), 1)

    def test_start_of_a_predecessor_that_still_acts(self):
        """Guards against an attempt that is sent after its run ended.

        The predecessor is cut off from the store, and its last attempt is sent
        when the first report to its successor has not listed the run.
        """
        self.engine = fx.engine(fx.worker("w1"))
        (task,) = self.engine.accept(fx.workflow(), 0.0).tasks()
        self.engine.adopt_run(task.key, 1, "w1", False, 0.0)
        self.engine.reconcile("w1", set(), True, 0.1)
        last_effect_at = START_ATTEMPTS_S + LATE_START_S
        self.assertEqual(task.late_start_workers(last_effect_at - 0.1), ("w1",))
        self.assertEqual(task.late_start_workers(last_effect_at), ())

    def test_worker_that_answers_no_start(self):
        """Guards against a task that returns to such a worker for good."""
        self.engine = fx.engine(fx.worker("w1"))
        self.engine.accept(fx.workflow(), 0.0)
        worker_ids = []
        for now in (0.0, 2.0, 4.0, 6.0):
            (start,), _ = self.place(now)
            worker_ids.append(start.worker_id)
            self.engine.set_worker(fx.worker("w2", capacity=fx.ONE_GPU), now)
            if start.worker_id == "w1":
                self.engine.start_settled(start.key, start.run, "w1", now + 1.0)
                self.engine.start_rejected(
                    start.key, start.run, "unanswered", now + 1.8
                )
                self.report("w1", now + 1.9)
            else:
                break
        self.assertEqual(worker_ids, ["w1", "w1", "w2"])

    def test_start_of_which_no_attempt_was_sent(self):
        """Guards against a wait for a worker that refused the connections."""
        self.engine = fx.engine(fx.worker("w1"))
        self.engine.accept(fx.workflow(), 0.0)
        (start,) = fx.starts(self.engine.plan(0.0, 0.0))
        self.engine.start_sent(start.key, start.run, 0.0)
        self.engine.set_worker(fx.worker("w2"), 0.1)
        self.engine.workers_by_id["w1"].reachable = False
        self.engine.settle_unsent_starts("w1", frozenset())
        self.engine.interrupt_worker("w1", 0.2, "lease_lapsed")
        (start,), _ = self.place(0.3)
        self.assertEqual(start.worker_id, "w2")

    def test_start_that_was_never_sent(self):
        """Guards against a wait for a worker that has received nothing."""
        self.engine = fx.engine(fx.worker("w1"))
        self.engine.accept(fx.workflow(), 0.0)
        (start,) = fx.starts(self.engine.plan(0.0, 0.0))
        self.engine.start_rejected(start.key, start.run, "worker_gone", 0.1)
        self.engine.set_worker(fx.worker("w1", draining=True), 0.1)
        self.engine.set_worker(fx.worker("w2"), 0.1)
        (start,), _ = self.place(0.2)
        self.assertEqual(start.worker_id, "w2")

    def test_record_names_late_starts_and_settled_ones(self):
        """Guards against a successor that does not know what may be late."""
        (start,) = self.start(fx.step(), fx.worker("w1"))
        record = self.record(1.0)
        self.assertEqual(record.late_starts, ((start.key, "w1", 0.0, 0),))
        self.assertTrue(record.placed[0].start_settled)
        self.assertEqual(self.record(LATE_START_S).late_starts, ())
        successor = fx.engine(fx.worker("w1"), fx.worker("w2"))
        progress = successor.accept(fx.workflow(), 50.0)
        records.restore_late_starts(progress, record, 60.0)
        (task,) = progress.tasks()
        self.assertEqual(task.late_start_workers(59.9), ("w1",))
        self.assertEqual(task.late_start_workers(60.0), ())

    def record(self, now):
        document = records.encode_progress(self.progress, 1, {}, now)
        return records.decode_progress("job", document)


if __name__ == "__main__":
    unittest.main()
