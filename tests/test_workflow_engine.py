"""Tests of the workflow engine; each guards against one failure."""

import unittest

from redwingrudder.workflows import records
from redwingrudder.workflows.engine import (
    EARLY_CANCEL_MEMORY_S,
    MAX_EARLY_CANCELS,
    Engine,
)
from redwingrudder.workflows.model import (
    AskAdvice,
    EndKind,
    RunReport,
    WorkflowState,
)
from redwingrudder.workflows.placement import remaining_run_s
from redwingrudder.workflows.run_times import RunTimeEstimates
from redwingrudder.workflows.supervision import is_stuck

from . import workflow_fixtures as fx


class LifecycleTests(unittest.TestCase):
    """States of a workflow from acceptance to its end."""

    def test_steps_run_in_order(self):
        """Guards against a step that starts before the steps it depends on."""
        engine = fx.engine()
        engine.accept(fx.workflow("job", fx.step(2), fx.step(1, after=(0,))), 0.0)
        first = fx.starts(engine.plan(0.0, 0.0))
        self.assertEqual([s.key.step for s in first], [0, 0])
        fx.confirm(engine, first)
        engine.end(first[0].worker_id, fx.ended(first[0]), 1.0)
        self.assertEqual(fx.starts(engine.plan(1.0, 1.0)), [])
        engine.end(first[1].worker_id, fx.ended(first[1], number=2), 2.0)
        second = fx.starts(engine.plan(2.0, 2.0))
        self.assertEqual([s.key.step for s in second], [1])

    def test_done_only_after_all_tasks(self):
        """Guards against a workflow reported as done while a task runs."""
        engine = fx.engine()
        progress = engine.accept(fx.workflow("job", fx.step(2)), 0.0)
        starts = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, starts)
        engine.end(starts[0].worker_id, fx.ended(starts[0]), 1.0)
        self.assertIs(progress.state, WorkflowState.RUNNING)
        engine.end(starts[1].worker_id, fx.ended(starts[1]), 1.0)
        self.assertIs(progress.state, WorkflowState.DONE)
        self.assertIs(progress.recorded_state, WorkflowState.QUEUED)

    def test_no_start_after_last_attempt(self):
        """Guards against more failed runs than the queue's policy allows."""
        engine = fx.engine()
        progress = engine.accept(fx.workflow(attempts=2), 0.0)
        for number in (1, 2):
            starts = fx.starts(engine.plan(0.0, 0.0))
            fx.confirm(engine, starts)
            end = fx.ended(starts[0], EndKind.FAILED, number)
            engine.end(starts[0].worker_id, end, 0.0)
        self.assertEqual(fx.starts(engine.plan(0.0, 0.0)), [])
        self.assertIs(progress.state, WorkflowState.FAILED)

    def test_interruptions_are_no_attempts(self):
        """Guards against interrupted runs that count as failed attempts."""
        engine = fx.engine()
        progress = engine.accept(fx.workflow(attempts=1), 0.0)
        starts = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, starts)
        engine.end(starts[0].worker_id, fx.ended(starts[0], EndKind.LAPSED), 0.0)
        again = fx.starts(engine.plan(0.0, 0.0))
        self.assertGreater(again[0].run, starts[0].run)
        self.assertIs(progress.state, WorkflowState.RUNNING)

    def test_end_of_an_older_run_changes_nothing(self):
        """Guards against an old run's failure that ends the newest run."""
        engine = fx.engine()
        engine.accept(fx.workflow(), 0.0)
        first = fx.starts(engine.plan(0.0, 0.0))[0]
        engine.start_rejected(first.key, first.run, "room", 0.0)
        second = fx.starts(engine.plan(0.0, 0.0))[0]
        fx.confirm(engine, [second])
        late = fx.ended(first, EndKind.FAILED)
        self.assertIs(engine.end(first.worker_id, late, 0.0), False)
        task = engine.workflows_by_id["job"].find(second.key)
        self.assertEqual((task.state, task.failures), ("running", 0))

    def test_cancel_stops_runs_and_starts_nothing(self):
        """Guards against runs that continue after a cancellation."""
        engine = fx.engine(fx.worker("w1"))
        progress = engine.accept(fx.workflow("job", fx.step(20)), 0.0)
        starts = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, starts)
        engine.cancel("job", 1.0)
        stopped = fx.stops(engine.plan(1.0, 1.0))
        self.assertEqual({s.key for s in stopped}, {s.key for s in starts})
        for number, start in enumerate(starts, 1):
            end = fx.ended(start, EndKind.STOPPED, number)
            engine.end(start.worker_id, end, 1.1)
        self.assertEqual(fx.starts(engine.plan(2.0, 2.0)), [])
        self.assertIs(progress.state, WorkflowState.CANCELLED)
        self.assertTrue(progress.settled)


class EarlyCancelTests(unittest.TestCase):
    """Load pattern: cancellations that overtake the submissions."""

    def setUp(self):
        self.engine = fx.engine()

    def test_nothing_of_the_workflow_starts(self):
        """Guards against a workflow that runs though its end is ordered."""
        self.engine.cancel("job", 0.0)
        progress = self.engine.accept(fx.workflow(), 1.0)
        self.assertEqual(self.engine.plan(1.0, 1.0), [])
        self.assertIs(progress.state, WorkflowState.CANCELLED)
        self.assertTrue(progress.settled)
        self.assertIn("job", self.engine.dirty)

    def test_other_workflows_start(self):
        """Guards against a cancellation that is applied to another id."""
        self.engine.cancel("other", 0.0)
        self.engine.accept(fx.workflow("job"), 1.0)
        self.assertEqual(len(fx.starts(self.engine.plan(1.0, 1.0))), 1)

    def test_cancellation_applies_to_one_acceptance(self):
        """Guards against an id that can never be used again."""
        self.engine.cancel("job", 0.0)
        self.engine.accept(fx.workflow(), 1.0)
        self.engine.forget("job")
        self.engine.accept(fx.workflow(), 2.0)
        self.assertEqual(len(fx.starts(self.engine.plan(2.0, 2.0))), 1)

    def test_old_cancellation_is_not_applied(self):
        """Guards against an id that stays cancelled after its records went."""
        self.engine.cancel("job", 0.0)
        now = EARLY_CANCEL_MEMORY_S + 1.0
        self.engine.accept(fx.workflow(), now)
        self.assertEqual(len(fx.starts(self.engine.plan(now, now))), 1)

    def test_memory_is_bounded(self):
        """Guards against memory that grows with each unknown id.

        The oldest cancellations are forgotten first; a repeated one is new.
        """
        for job in ("repeated", "oldest", "repeated"):
            self.engine.cancel(job, 0.0)
        for index in range(MAX_EARLY_CANCELS - 1):
            self.engine.cancel(f"job {index}", 0.0)
        states = {
            job: self.engine.accept(fx.workflow(job), 0.0).state
            for job in ("oldest", "repeated", "job 0")
        }
        self.assertIs(states["oldest"], WorkflowState.QUEUED)
        self.assertIs(states["repeated"], WorkflowState.CANCELLED)
        self.assertIs(states["job 0"], WorkflowState.CANCELLED)


class GangTests(unittest.TestCase):
    """Gangs, whose tasks run all together or not at all."""

    def test_gang_waits_for_capacity_for_all(self):
        """Guards against a gang that starts only some of its members."""
        engine = fx.engine(fx.worker("w1"))
        gang = fx.step(2, fx.WHOLE_WORKER, gang=True)
        engine.accept(fx.workflow("job", gang), 0.0)
        self.assertEqual(fx.starts(engine.plan(0.0, 0.0)), [])
        engine.set_worker(fx.worker("w2"), 0.0)
        starts = fx.starts(engine.plan(0.0, 0.0))
        self.assertEqual(len({s.run for s in starts}), 1)
        self.assertEqual(len(starts), 2)

    def test_rejected_member_stops_the_others(self):
        """Guards against members that keep running without a rejected one."""
        engine = fx.engine()
        gang = fx.step(2, fx.WHOLE_WORKER, gang=True)
        engine.accept(fx.workflow("job", gang), 0.0)
        first, second = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, [first])
        engine.start_rejected(second.key, second.run, "room", 0.0)
        stopped = fx.stops(engine.take_effects())
        self.assertEqual([s.key for s in stopped], [first.key])

    def test_failed_gang_counts_once_for_each_run(self):
        """Guards against a failed run that is counted for each gang member."""
        engine = fx.engine()
        gang = fx.step(2, fx.WHOLE_WORKER, gang=True)
        progress = engine.accept(fx.workflow("job", gang, attempts=2), 0.0)
        starts = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, starts)
        for number, start in enumerate(starts, 1):
            end = fx.ended(start, EndKind.FAILED, number)
            engine.end(start.worker_id, end, 0.0)
        self.assertIs(progress.state, WorkflowState.RUNNING)

    def test_one_end_stands_for_all_members(self):
        """Guards against restarting a gang of which one member is done."""
        engine = fx.engine()
        gang = fx.step(2, fx.WHOLE_WORKER, gang=True)
        progress = engine.accept(fx.workflow("job", gang), 0.0)
        starts = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, starts)
        engine.end(starts[0].worker_id, fx.ended(starts[0]), 1.0)
        engine.interrupt_worker(starts[1].worker_id, 1.0, "lease_lapsed")
        self.assertIs(progress.state, WorkflowState.DONE)

    def test_member_that_waits_at_the_end_is_not_stuck(self):
        """Guards against stopping a gang while its slower members are running.

        A member at 100 percent makes no progress while it waits for them.
        """
        engine = fx.engine()
        gang = fx.step(2, fx.WHOLE_WORKER, gang=True)
        engine.accept(fx.workflow("job", gang), 0.0)
        first, second = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, [first, second])
        for now in range(1, 12):
            engine.report(first.worker_id, [fx.running(first, 100.0)], float(now))
            engine.report(second.worker_id, [fx.running(second, now * 3.0)], float(now))
            engine.supervise(float(now))
        self.assertEqual(fx.stops(engine.take_effects()), [])

    def test_done_end_of_a_cancelled_gang(self):
        """Guards against an end that raises each time it is reported.

        One member of a cancelled gang was stopped, then another member is
        reported as done (soak test, seed 105).
        """
        engine = fx.engine()
        gang = fx.step(2, fx.WHOLE_WORKER, gang=True)
        progress = engine.accept(fx.workflow("job", gang), 0.0)
        starts = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, starts)
        engine.cancel("job", 1.0)
        first, second = starts
        engine.end(first.worker_id, fx.ended(first, EndKind.STOPPED), 1.1)
        engine.end(second.worker_id, fx.ended(second), 1.2)
        self.assertIs(progress.state, WorkflowState.CANCELLED)
        self.assertTrue(progress.settled)

    def test_late_answer_to_a_start_of_an_ended_task(self):
        """Guards against an exception for the late reply to a start."""
        for answer in ("start_confirmed", "start_rejected"):
            with self.subTest(answer=answer):
                engine = fx.engine()
                engine.accept(fx.workflow(), 0.0)
                start = fx.starts(engine.plan(0.0, 0.0))[0]
                engine.cancel("job", 0.1)
                engine.end(start.worker_id, fx.ended(start, EndKind.STOPPED), 0.2)
                reason = ("room",) if answer == "start_rejected" else ()
                getattr(engine, answer)(start.key, start.run, *reason, 0.3)
                self.assertTrue(engine.workflows_by_id["job"].settled)


class WorkerTests(unittest.TestCase):
    """Workers that restart, fail, make no progress or leave."""

    def test_restart_frees_all_runs(self):
        """Guards against runs that stay assigned to a previous process.

        They are freed by the first report of the new process.
        """
        for stopping in (False, True):
            with self.subTest(stopping=stopping):
                engine = fx.engine(fx.worker("w1"))
                engine.accept(fx.workflow(), 0.0)
                first = fx.starts(engine.plan(0.0, 0.0))
                fx.confirm(engine, first)
                if stopping:
                    engine.stop(engine.find(first[0].key), "test")
                engine.set_worker(fx.worker("w1", process_started_ms=2), 1.0)
                self.assertEqual(fx.starts(engine.plan(1.0, 1.0)), [])
                engine.reconcile("w1", set(), True, 1.1)
                again = fx.starts(engine.plan(1.2, 1.2))
                self.assertGreater(again[0].run, first[0].run)

    def test_run_that_the_new_process_lists_goes_on(self):
        """Guards against a second run beside one that a late call began."""
        for confirmed in (False, True):
            with self.subTest(confirmed=confirmed):
                engine = fx.engine(fx.worker("w1"), fx.worker("w2"))
                engine.accept(fx.workflow(), 0.0)
                start = fx.starts(engine.plan(0.0, 0.0))[0]
                fx.confirm(engine, [start] if confirmed else [])
                restarted = fx.worker(start.worker_id, process_started_ms=2)
                engine.set_worker(restarted, 1.0)
                engine.report(start.worker_id, [fx.running(start)], 1.1)
                listed = {(start.key, start.run)}
                engine.reconcile(start.worker_id, listed, True, 1.1)
                self.assertEqual(fx.starts(engine.plan(1.2, 1.2)), [])
                self.assertEqual(engine.find(start.key).state, "running")

    def test_run_on_a_new_process_is_at_full_speed(self):
        """Guards against a filling task that is taken for a throttled one."""
        engine = fx.engine(fx.worker("w1"))
        engine.accept(fx.workflow(), 0.0)
        start = fx.starts(engine.plan(0.0, 0.0))[0]
        fx.confirm(engine, [start])
        engine.find(start.key).speed_percent = 40
        engine.set_worker(fx.worker("w1", process_started_ms=2), 1.0)
        self.assertEqual(engine.find(start.key).speed_percent, 100)

    def test_stop_is_sent_again_to_the_new_process(self):
        """Guards against a stopped run that a late start has begun anew."""
        engine = fx.engine(fx.worker("w1"))
        engine.accept(fx.workflow(), 0.0)
        start = fx.starts(engine.plan(0.0, 0.0))[0]
        engine.cancel("job", 0.5)
        engine.take_effects()
        engine.set_worker(fx.worker("w1", process_started_ms=2), 1.0)
        engine.report("w1", [fx.running(start)], 1.1)
        listed = {(start.key, start.run)}
        engine.reconcile("w1", listed, True, 1.1)
        self.assertEqual(
            [(stop.key, stop.run) for stop in fx.stops(engine.take_effects())],
            [(start.key, start.run)],
        )
        engine.reconcile("w1", listed, False, 1.2)
        self.assertEqual(engine.take_effects(), [])

    def test_run_of_a_task_that_is_done_elsewhere_uses_capacity(self):
        """Guards against a worker over its capacity while a run is stopped.

        A worker that was given up reports that an earlier run is done.
        """
        engine = fx.engine(fx.worker("w1"))
        engine.accept(fx.workflow("job", fx.step(1, fx.WHOLE_WORKER)), 0.0)
        first = fx.starts(engine.plan(0.0, 0.0))[0]
        fx.confirm(engine, [first])
        engine.interrupt_worker("w1", 1.0, "lease_lapsed")
        engine.workers_by_id["w1"].reachable = False
        engine.set_worker(fx.worker("w2"), 1.0)
        second = fx.starts(engine.plan(1.0, 1.0))[0]
        fx.confirm(engine, [second], 1.0)
        engine.accept(fx.workflow("next", fx.step(1, fx.WHOLE_WORKER)), 2.0)
        engine.end("w1", fx.ended(first), 2.0)
        effects = engine.plan(2.0, 2.0)
        self.assertEqual([stop.run for stop in fx.stops(effects)], [second.run])
        self.assertEqual(fx.starts(effects), [])
        engine.report("w2", [fx.running(second)], 2.5)
        self.assertEqual(fx.starts(engine.plan(2.5, 2.5)), [])
        engine.end("w2", fx.ended(second, EndKind.STOPPED), 3.0)
        engine.report("w2", [], 3.0)
        self.assertEqual(len(fx.starts(engine.plan(3.0, 3.0))), 1)

    def test_run_of_a_cancelled_job_uses_capacity_after_a_takeover(self):
        """Guards against a worker over its capacity while runs are stopped."""
        for state in ("cancelled", "failed"):
            with self.subTest(state=state):
                earlier = fx.engine(fx.worker("w1"))
                workflow = fx.workflow("job", fx.step(2, fx.HALF_WORKER), attempts=1)
                earlier.accept(workflow, 0.0)
                starts = fx.starts(earlier.plan(0.0, 0.0))
                fx.confirm(earlier, starts)
                if state == "cancelled":
                    earlier.cancel("job", 0.0)
                    earlier.end("w1", fx.ended(starts[0], EndKind.STOPPED), 0.0)
                else:
                    earlier.end("w1", fx.ended(starts[0], EndKind.FAILED), 0.0)
                document = records.encode_progress(
                    earlier.workflows_by_id["job"], 1, {"w1": 1}
                )
                record = records.decode_progress("job", document)
                self.assertEqual(record.state, state)
                engine = fx.engine(fx.worker("w1"))
                engine.term = 2
                restored = engine.accept(workflow, 1.0)
                records.restore_progress(restored, record)
                placed = {run.key for run in record.placed}
                engine.restore_final_state("job", record.state, 1.0, placed)
                for run in record.placed:
                    engine.adopt_run(run.key, run.run, run.worker_id, False, 1.0, 1)
                engine.accept(fx.workflow("next", fx.step(1, fx.WHOLE_WORKER)), 1.0)
                effects = engine.plan(1.0, 1.0)
                self.assertEqual(fx.starts(effects), [])
                self.assertEqual([s.run for s in fx.stops(effects)], [starts[1].run])
                self.assertEqual(restored.state, state)
                engine.end("w1", fx.ended(starts[1], EndKind.STOPPED), 2.0)
                self.assertTrue(restored.settled)
                self.assertEqual(restored.state, state)
                self.assertEqual(len(fx.starts(engine.plan(2.0, 2.0))), 1)

    def test_start_time_that_becomes_known_is_no_restart(self):
        """Guards against a second run beside one of the same process.

        An entry of another writer under the worker's key has no start time.
        """
        engine = fx.engine(fx.worker("w1"), fx.worker("w2"))
        engine.accept(fx.workflow(), 0.0)
        start = fx.starts(engine.plan(0.0, 0.0))[0]
        fx.confirm(engine, [start])
        for started_ms in (0, 1):
            facts = fx.worker(start.worker_id, process_started_ms=started_ms)
            engine.set_worker(facts, 1.0)
        self.assertEqual(fx.starts(engine.plan(1.0, 1.0)), [])

    def test_restart_is_seen_past_an_entry_without_a_start_time(self):
        """Guards against runs of a previous process that count as running."""
        engine = fx.engine(fx.worker("w1"))
        engine.accept(fx.workflow(), 0.0)
        first = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, first)
        for started_ms in (0, 2):
            engine.set_worker(fx.worker("w1", process_started_ms=started_ms), 1.0)
        engine.reconcile("w1", set(), True, 1.0)
        self.assertEqual(len(fx.starts(engine.plan(1.0, 1.0))), 1)

    def test_unanswered_start_is_kept_after_worker_restart(self):
        """Guards against a second run while an unanswered start may arrive.

        The start may reach the restarted worker, so the run is kept until the
        first report of the new process does not list it.
        """
        engine = fx.engine(fx.worker("w1"), fx.worker("w2"))
        engine.accept(fx.workflow(), 0.0)
        start = fx.starts(engine.plan(0.0, 0.0))[0]
        engine.set_worker(fx.worker(start.worker_id, process_started_ms=2), 1.0)
        self.assertEqual(fx.starts(engine.plan(1.0, 1.0)), [])
        engine.reconcile(start.worker_id, set(), True, 1.1)
        self.assertEqual(len(fx.starts(engine.plan(1.2, 1.2))), 1)

    def test_draining_worker_gets_nothing(self):
        """Guards against starts on a worker that is about to leave."""
        engine = fx.engine(fx.worker("w1", draining=True))
        engine.accept(fx.workflow(), 0.0)
        self.assertEqual(fx.starts(engine.plan(0.0, 0.0)), [])

    def test_worker_that_fails_twice_is_avoided(self):
        """Guards against new runs on a worker whose runs keep failing."""
        engine = fx.engine(fx.worker("w1"))
        for name in ("a", "b"):
            engine.accept(fx.workflow(name, attempts=3), 0.0)
        starts = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, starts)
        for number, start in enumerate(starts, 1):
            engine.end("w1", fx.ended(start, EndKind.FAILED, number), 0.1)
        self.assertEqual(fx.starts(engine.plan(0.2, 0.2)), [])

    def test_run_without_progress_is_stopped(self):
        """Guards against a run that hangs without being stopped."""
        engine = fx.engine(fx.worker("w1"))
        engine.accept(fx.workflow(), 0.0)
        start = fx.starts(engine.plan(0.0, 0.0))[0]
        fx.confirm(engine, [start])
        for now in (1.0, 2.0, 3.0, 4.5):
            engine.report("w1", [fx.running(start, 7.0)], now)
            engine.supervise(now)
        self.assertEqual([s.key for s in fx.stops(engine.take_effects())], [start.key])

    def test_long_run_is_not_stuck_between_two_percents(self):
        """Guards against stopping long runs, whose progress changes rarely."""
        engine = fx.engine(fx.worker("w1"))
        engine.accept(fx.workflow("job", fx.step(estimate_s=7200.0)), 0.0)
        start = fx.starts(engine.plan(0.0, 0.0))[0]
        fx.confirm(engine, [start])
        for now in (1.0, 30.0, 60.0):
            engine.report("w1", [fx.running(start, 0.0)], now)
            engine.supervise(now)
        self.assertEqual(fx.stops(engine.take_effects()), [])

    def test_long_run_is_not_stuck_beside_short_jobs_of_its_queue(self):
        """Guards against long tasks that are stopped at each start.

        The learned run time of the queue is that of its short jobs.
        """
        self.assertFalse(self.is_long_run_stuck(lambda now: 0.0))

    def test_progress_counts_more_than_a_long_estimate(self):
        """Guards against runs that hang for a tenth of a wrong estimate."""
        self.assertTrue(self.is_long_run_stuck(lambda now: min(10.0 * now, 60.0)))

    def is_long_run_stuck(self, percent_at):
        """Judge a run of an estimated 600 s that follows short runs."""
        engine = fx.engine(fx.worker("w1"))
        for number in range(10):
            engine.accept(fx.workflow(f"short{number}", fx.step(estimate_s=1.0)), 1.0)
            (short,) = fx.starts(engine.plan(1.0, 1.0))
            fx.confirm(engine, [short], 1.0)
            engine.end("w1", fx.ended(short, number=number + 1), 2.0)
        engine.accept(fx.workflow("long", fx.step(estimate_s=600.0)), 2.0)
        (long,) = fx.starts(engine.plan(2.0, 2.0))
        fx.confirm(engine, [long], 2.0)
        for now in range(3, 13):
            engine.report("w1", [fx.running(long, percent_at(now))], float(now))
        worker = engine.workers_by_id["w1"]
        return is_stuck(engine.find(long.key), worker, engine.run_times)

    def test_stops_for_want_of_progress_become_rare(self):
        """Guards against a task that is stopped without end.

        Its estimate is wrong, and its progress is reported in whole percents.
        """
        for gang in (False, True):
            engine = fx.engine()
            step = fx.step(2 if gang else 1, estimate_s=1.0, gang=gang)
            engine.accept(fx.workflow("job", step), 0.0)
            current, since, stops = [], 0.0, []
            for now in map(float, range(60)):
                reports = {"w1": [], "w2": []}
                for start in current:
                    percent = (now - since) // 20.0
                    reports[start.worker_id].append(fx.running(start, percent))
                for worker_id, running in reports.items():
                    engine.report(worker_id, running, now)
                engine.supervise(now)
                for stop in fx.stops(engine.take_effects()):
                    stops.append(now)
                    end = fx.ended(stop, EndKind.STOPPED, len(stops))
                    engine.end(stop.worker_id, end, now)
                    current = []
                if started := fx.starts(engine.plan(now, now)):
                    fx.confirm(engine, started, now)
                    current, since = started, now
            with self.subTest(gang=gang):
                self.assertLessEqual(len(set(stops)), 3)
                self.assertEqual(
                    {start.run for start in current}, {len(set(stops)) + 1}
                )

    def test_last_attempt_waits_for_a_reliable_worker(self):
        """Guards against using up a task's attempts on a failing worker."""
        engine = fx.engine()
        for name in ("a", "b"):
            engine.accept(fx.workflow(name, fx.step(1, fx.WHOLE_WORKER)), 0.0)
        first, other = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, (first, other))
        end = fx.ended(first, EndKind.FAILED)
        engine.end(first.worker_id, end, 0.1)
        self.assertEqual(fx.starts(engine.plan(0.2, 0.2)), [])
        engine.end(other.worker_id, fx.ended(other), 1.0)
        again = fx.starts(engine.plan(1.0, 1.0))
        self.assertEqual([s.worker_id for s in again], [other.worker_id])

    def test_suspect_worker_is_used_when_there_is_no_other(self):
        """Guards against a task that never starts again after a failure."""
        engine = fx.engine(fx.worker("w1"))
        engine.accept(fx.workflow(), 0.0)
        starts = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, starts)
        engine.end("w1", fx.ended(starts[0], EndKind.FAILED), 0.1)
        self.assertEqual(len(fx.starts(engine.plan(0.2, 0.2))), 1)

    def test_start_in_flight_survives_an_outage_of_its_worker(self):
        """Guards against a second run while a start is being retried.

        The worker did not answer for a while, then answered a poll while the
        session was repeating the start (soak test, seed 600).
        """
        engine = fx.engine(fx.worker("w1"))
        engine.accept(fx.workflow("job", fx.step(2)), 0.0)
        starts = fx.starts(engine.plan(0.0, 0.0))
        engine.start_confirmed(starts[0].key, starts[0].run, 0.1)
        engine.reconcile("w1", set(), False, 0.5)
        again = fx.starts(engine.plan(0.6, 0.6))
        self.assertEqual([start.key for start in again], [starts[0].key])

    def test_run_that_is_not_listed_after_a_takeover_starts_again(self):
        """Guards against waiting for a recorded run that was never sent."""
        engine = fx.engine(fx.worker("w1"))
        engine.accept(fx.workflow(), 0.0)
        engine.adopt_run(fx.key(), 3, "w1", False, 0.0)
        self.assertEqual(fx.starts(engine.plan(0.0, 0.0)), [])
        engine.reconcile("w1", set(), True, 0.1)
        again = fx.starts(engine.plan(0.2, 0.2))
        self.assertEqual(again[0].run, 4)


class SpeedTests(unittest.TestCase):
    """Detection of slow workers and restarts of their runs."""

    def test_member_on_a_slow_worker_is_restarted_elsewhere(self):
        """Guards against a gang that is delayed by one slow worker."""
        engine = fx.engine(*(fx.worker(f"w{i}") for i in range(4)))
        gang = fx.step(3, fx.WHOLE_WORKER, gang=True)
        engine.accept(fx.workflow("job", gang), 0.0)
        starts = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, starts)
        for start, percent in zip(starts, (20.0, 20.0, 3.0), strict=True):
            engine.report(start.worker_id, [fx.running(start, percent)], 1.0)
        engine.supervise(1.0)
        self.assertEqual(len(fx.stops(engine.take_effects())), 3)
        for number, start in enumerate(starts, 1):
            end = fx.ended(start, EndKind.STOPPED, number)
            engine.end(start.worker_id, end, 1.2)
        again = fx.starts(engine.plan(1.2, 1.2))
        self.assertNotIn(starts[2].worker_id, {s.worker_id for s in again})

    def test_small_speed_differences_restart_nothing(self):
        """Guards against restarts on workers of ordinary speed."""
        engine = fx.engine(*(fx.worker(f"w{i}") for i in range(4)))
        gang = fx.step(3, fx.WHOLE_WORKER, gang=True)
        engine.accept(fx.workflow("job", gang), 0.0)
        starts = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, starts)
        for start, percent in zip(starts, (20.0, 25.0, 16.0), strict=True):
            engine.report(start.worker_id, [fx.running(start, percent)], 1.0)
        engine.supervise(1.0)
        self.assertEqual(fx.stops(engine.take_effects()), [])

    def test_long_job_stays_on_a_worker_of_normal_speed(self):
        """Guards against restarts of jobs longer than their queue's mean.

        The mean is 2 s. Only one member has reported, and it needs 6 s.
        """
        engine = fx.engine(*(fx.worker(f"w{i}") for i in range(4)))
        engine.accept(fx.workflow("short", fx.step(estimate_s=2.0)), 1.0)
        short = fx.starts(engine.plan(1.0, 1.0))
        fx.confirm(engine, short, 1.0)
        engine.end(short[0].worker_id, fx.ended(short[0]), 3.0)
        gang = fx.step(3, fx.WHOLE_WORKER, gang=True)
        engine.accept(fx.workflow("job", gang), 3.0)
        starts = fx.starts(engine.plan(3.0, 3.0))
        fx.confirm(engine, starts, 3.0)
        engine.report(starts[0].worker_id, [fx.running(starts[0], 16.0)], 4.0)
        engine.supervise(4.0)
        self.assertEqual(fx.stops(engine.take_effects()), [])

    def report_all(self, engine, starts, percents, now):
        for start, percent in zip(starts, percents, strict=True):
            engine.report(start.worker_id, [fx.running(start, percent)], now)

    def test_worker_that_turns_slow_is_avoided(self):
        """Guards against urgent runs on a worker that just became slow."""
        engine = fx.engine(*(fx.worker(f"w{i}") for i in range(3)))
        for name in ("a", "b", "c"):
            engine.accept(fx.workflow(name, fx.step(1, fx.WHOLE_WORKER)), 1.0)
        starts = fx.starts(engine.plan(1.0, 1.0))
        fx.confirm(engine, starts, 1.0)
        self.report_all(engine, starts, (20.0, 20.0, 20.0), 2.0)
        self.report_all(engine, starts, (40.0, 40.0, 40.0), 3.0)
        self.report_all(engine, starts, (60.0, 60.0, 43.0), 4.0)
        self.assertLess(engine.workers_by_id[starts[2].worker_id].speed, 0.3)
        engine.accept(fx.workflow("urgent", fx.step(3), priority=0), 4.0)
        stopped = [s.worker_id for s in fx.stops(engine.plan(4.0, 4.0))]
        self.assertEqual(len(stopped), 1)
        self.assertNotIn(starts[2].worker_id, stopped)

    def test_worker_that_recovers_is_used(self):
        """Guards against avoiding a worker that is no longer slow."""
        engine = fx.engine(*(fx.worker(f"w{i}") for i in range(3)))
        engine.accept(fx.workflow("job", fx.step(3, fx.WHOLE_WORKER)), 1.0)
        starts = fx.starts(engine.plan(1.0, 1.0))
        fx.confirm(engine, starts, 1.0)
        self.report_all(engine, starts, (20.0, 20.0, 5.0), 2.0)
        self.report_all(engine, starts, (40.0, 40.0, 10.0), 3.0)
        slow = engine.workers_by_id[starts[2].worker_id]
        self.assertLess(slow.speed, 0.45)
        self.report_all(engine, starts, (60.0, 60.0, 30.0), 4.0)
        self.assertGreater(slow.speed, 0.45)


class EvacuationTests(unittest.TestCase):
    """Runs on draining workers."""

    def stops_after_drain(self, percent, remaining_s=2.0):
        """Drain a worker after 1 s of work; return the stops and its id."""
        engine = fx.engine()
        engine.accept(fx.workflow("job", fx.step(2)), 1.0)
        starts = fx.starts(engine.plan(1.0, 1.0))
        fx.confirm(engine, starts, 1.0)
        for start in starts:
            engine.report(start.worker_id, [fx.running(start, percent)], 2.0)
        leaving = fx.worker(starts[0].worker_id, draining=True, remaining_s=remaining_s)
        engine.set_worker(leaving, 2.0)
        engine.supervise(2.0)
        return fx.stops(engine.take_effects()), leaving.worker_id

    def test_run_that_ends_after_its_worker_leaves_is_stopped(self):
        """Guards against work that is lost because its worker leaves."""
        stopped, worker_id = self.stops_after_drain(10.0)
        self.assertTrue(stopped)
        self.assertEqual({stop.worker_id for stop in stopped}, {worker_id})

    def test_run_that_ends_before_its_worker_leaves_is_kept(self):
        """Guards against stopping runs that end before their worker leaves."""
        self.assertEqual(self.stops_after_drain(50.0)[0], [])

    def test_restart_clears_the_leave_time(self):
        """Guards against a leave time that is kept after a worker restarts."""
        engine = fx.engine()
        engine.set_worker(fx.worker("w1", draining=True, remaining_s=1.0), 0.0)
        engine.set_worker(fx.worker("w1", process_started_ms=2), 5.0)
        engine.set_worker(
            fx.worker("w1", process_started_ms=2, draining=True, remaining_s=9.0), 6.0
        )
        self.assertEqual(engine.workers_by_id["w1"].leaves_at, 15.0)


class AdviceTests(unittest.TestCase):
    """Queues whose starts need a permit of the advice service."""

    def plan_with_advice(self):
        engine = fx.engine()
        job = fx.workflow()
        engine.accept(job._replace(policy=job.policy._replace(advised=True)), 0.0)
        return engine, engine.plan(0.0, 0.0)

    def test_no_start_without_a_permit(self):
        """Guards against starts on workers without a permit."""
        engine, effects = self.plan_with_advice()
        self.assertEqual(fx.starts(effects), [])
        self.assertIsInstance(effects[0], AskAdvice)
        fx.advise(engine, effects[0], {"w2": "ticket"}, 3.0, 0.0)
        starts = fx.starts(engine.plan(0.1, 0.1))
        self.assertEqual([(s.worker_id, s.ticket) for s in starts], [("w2", "ticket")])

    def test_permit_is_not_used_at_its_end(self):
        """Guards against a start that arrives after its ticket has expired."""
        engine, effects = self.plan_with_advice()
        fx.advise(engine, effects[0], {"w2": "ticket"}, 3.0, 0.0)
        effects = engine.plan(2.9, 2.9)
        self.assertEqual(fx.starts(effects), [])
        self.assertEqual(effects[0].worker_ids, ("w2",))

    def test_permit_of_a_former_process_is_not_used(self):
        """Guards against starts that a restarted worker rejects."""
        engine, effects = self.plan_with_advice()
        fx.advise(engine, effects[0], {"w2": "ticket"}, 3.0, 0.0)
        engine.set_worker(fx.worker("w2", process_started_ms=2), 0.1)
        effects = engine.plan(0.2, 0.2)
        self.assertEqual(fx.starts(effects), [])
        self.assertEqual(effects[0].worker_ids, ("w2",))

    def test_permit_that_was_requested_for_a_former_process(self):
        """Guards against starts that a restarted worker rejects.

        The worker restarts while the answer is awaited.
        """
        engine, effects = self.plan_with_advice()
        engine.set_worker(fx.worker("w2", process_started_ms=2), 0.1)
        fx.advise(engine, effects[0], {"w2": "ticket"}, 3.0, 0.0)
        effects = engine.plan(0.2, 0.2)
        self.assertEqual(fx.starts(effects), [])
        self.assertEqual(effects[0].worker_ids, ("w2",))

    def test_unanswered_question_is_asked_again(self):
        """Guards against a queue that is blocked by one lost reply."""
        engine, effects = self.plan_with_advice()
        self.assertEqual(engine.plan(0.1, 0.1), [])
        fx.advise(engine, effects[0], None, 0.0, 0.0)
        self.assertIsInstance(engine.plan(0.2, 0.2)[0], AskAdvice)


class ServiceTests(unittest.TestCase):
    """Service tasks, and filling tasks on the same worker."""

    def build_shared_worker(self):
        engine = fx.engine(fx.worker("w1"))
        serving = fx.step(service=True, latency_target_ms=100)
        engine.accept(fx.workflow("serve", serving), 0.0)
        engine.accept(fx.workflow("fill", fx.step(fills=True)), 0.0)
        starts = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, starts)
        return engine, {start.key.workflow_id: start for start in starts}

    def test_ended_service_task_starts_again(self):
        """Guards against a service that becomes done or failed."""
        engine, starts = self.build_shared_worker()
        for number, kind in enumerate((EndKind.DONE, EndKind.FAILED) * 3, 1):
            end = fx.ended(starts["serve"], kind, number)
            engine.end("w1", end, 1.0)
            start = fx.starts(engine.plan(1.0, 1.0))[0]
            fx.confirm(engine, [start])
            starts["serve"] = start
        self.assertEqual(start.key.workflow_id, "serve")

    def test_speed_falls_while_the_target_is_missed(self):
        """Guards against filling tasks that keep a service's latency high."""
        engine, starts = self.build_shared_worker()
        speeds_percent = []
        for step in range(8):
            now = 1.0 + step * 0.5
            service_report = fx.running(starts["serve"], 100.0)._replace(usage=150.0)
            engine.report("w1", [service_report, fx.running(starts["fill"], now)], now)
            engine.throttle(now)
            speeds_percent.extend(effect.percent for effect in engine.take_effects())
        self.assertEqual(speeds_percent, [40, 16, 0])

    def low_latency_speeds(self, engine, starts):
        """Return the speeds that are ordered while the latency is low."""
        speeds_percent = []
        for now in (10.0, 12.0, 14.0):
            service_report = fx.running(starts["serve"], 100.0)._replace(usage=20.0)
            engine.report("w1", [service_report, fx.running(starts["fill"], now)], now)
            engine.throttle(now)
            speeds_percent.extend(effect.percent for effect in engine.take_effects())
        return speeds_percent

    def test_lost_reply_to_a_throttle_leaves_no_task_slow(self):
        """Guards against a slow task that counts as running at full speed.

        The command took effect, so the latency is low from then on.
        """
        engine, starts = self.build_shared_worker()
        start = starts["fill"]
        engine.workflows_by_id["fill"].find(start.key).speed_percent = 0
        engine.throttle_unanswered(start.key, start.run)
        self.assertEqual(self.low_latency_speeds(engine, starts), [100])

    def test_task_of_an_earlier_term_is_not_left_slow(self):
        """Guards against a task whose speed a takeover does not know of."""
        earlier, starts = self.build_shared_worker()
        engine = fx.engine(fx.worker("w1"))
        for workflow_id, start in starts.items():
            engine.accept(earlier.workflows_by_id[workflow_id].workflow, 0.0)
            engine.adopt_run(start.key, start.run, "w1", True, 1.0)
        self.assertEqual(self.low_latency_speeds(engine, starts), [100])

    def test_known_speed_is_not_ordered_again(self):
        """Guards against needless commands to workers."""
        engine, starts = self.build_shared_worker()
        self.assertEqual(self.low_latency_speeds(engine, starts), [])

    def test_speed_rises_again_in_steps(self):
        """Guards against filling tasks that are never sped up again."""
        engine, starts = self.build_shared_worker()
        task = engine.workflows_by_id["fill"].find(starts["fill"].key)
        task.speed_percent = 40
        for now in (2.0, 4.0, 6.0):
            service_report = fx.running(starts["serve"], 100.0)._replace(usage=20.0)
            engine.report("w1", [service_report], now)
            engine.throttle(now)
        self.assertEqual(task.speed_percent, 85)


class PriorityTests(unittest.TestCase):
    """Priorities, guarantees, preemption and reservations."""

    def test_one_gang_is_stopped_rather_than_several(self):
        """Guards against stopping several gangs where one is enough."""
        engine = fx.engine(*(fx.worker(f"w{i}") for i in range(6)))
        gang = fx.step(3, fx.WHOLE_WORKER, gang=True)
        for offset, name in enumerate(("a", "b")):
            engine.accept(fx.workflow(name, gang), 0.0)
            for index in range(3):
                key = fx.key(name, index=index)
                engine.adopt_run(key, 1, f"w{2 * index + offset}", True, 0.0)
        engine.accept(
            fx.workflow("urgent", fx.step(3, fx.WHOLE_WORKER), priority=0), 1.0
        )
        stopped = fx.stops(engine.plan(1.0, 1.0))
        self.assertEqual(len({stop.key.workflow_id for stop in stopped}), 1)
        self.assertEqual(len(stopped), 3)

    def test_every_urgent_task_gets_capacity(self):
        """Guards against placing tasks on capacity that no stop frees.

        One stopped run frees capacity for several tasks. The later tasks
        depend on that stop too, although its cost is counted for the first.
        """
        engine = fx.engine(*(fx.worker(f"w{i}") for i in range(4)))
        half = fx.ONE_GPU._replace(accelerators=4)
        for number in range(8):
            engine.accept(fx.workflow(f"p{number}", fx.step(1, half)), 0.0)
        fx.confirm(engine, fx.starts(engine.plan(0.0, 0.0)))
        engine.accept(fx.workflow("urgent", fx.step(9), priority=0), 1.0)
        stopped = fx.stops(engine.plan(1.0, 1.0))
        self.assertEqual(len(stopped), 3)

    def test_urgent_work_preempts(self):
        """Guards against urgent work that waits for less urgent work."""
        engine = fx.engine(fx.worker("w1"))
        engine.accept(fx.workflow("slow", fx.step(8), priority=2), 0.0)
        slow = fx.starts(engine.plan(0.0, 0.0))
        self.assertEqual(len(slow), 8)
        fx.confirm(engine, slow)
        urgent = fx.workflow("fast", fx.step(1, fx.WHOLE_WORKER), priority=0)
        engine.accept(urgent, 1.0)
        effects = engine.plan(1.0, 1.0)
        self.assertEqual(len(fx.stops(effects)), 8)
        for number, start in enumerate(slow, 1):
            engine.end("w1", fx.ended(start, EndKind.STOPPED, number), 1.2)
        starts = fx.starts(engine.plan(1.2, 1.2))
        self.assertEqual([s.key.workflow_id for s in starts], ["fast"])

    def test_guarantee_goes_before_other_urgent_work(self):
        """Guards against guaranteed capacity held by another organisation."""
        engine = fx.engine(fx.worker("w1"))
        engine.guaranteed_by_organisation = {"owner": 8}
        other = fx.workflow("a", fx.step(8), priority=0, organisation="other")
        engine.accept(other, 0.0)
        fx.confirm(engine, engine.plan(0.0, 0.0))
        guaranteed = fx.step(1, fx.WHOLE_WORKER)
        engine.accept(
            fx.workflow("b", guaranteed, priority=0, organisation="owner"), 1.0
        )
        self.assertEqual(len(fx.stops(engine.plan(1.0, 1.0))), 8)

    def test_capacity_is_kept_for_a_large_step(self):
        """Guards against small steps that starve a large step."""
        engine = fx.engine(fx.worker("w1"))
        engine.accept(fx.workflow("small", fx.step(4)), 0.0)
        fx.confirm(engine, engine.plan(0.0, 0.0))
        engine.accept(fx.workflow("large", fx.step(1, fx.WHOLE_WORKER)), 1.0)
        engine.plan(1.0, 1.0)
        engine.accept(fx.workflow("later", fx.step(4), priority=2), 2.0)
        self.assertEqual(fx.starts(engine.plan(2.0, 2.0)), [])


class DeploymentTimesTests(unittest.TestCase):
    """Times that follow the bounds of a deployment."""

    def stage(self, engine):
        engine.accept(fx.workflow("job", fx.step(1, data_rack="r2")), 0.0)
        return engine.workflows_by_id["job"].occurrences[0].stages[0]

    def test_wait_for_data_follows_the_cost_of_another_rack(self):
        """Guards against a wait that costs more than another rack does."""
        for factor, waited_s in ((1.0, 0.0), (3.0, 5.0), (5.0, 10.0)):
            run_times = RunTimeEstimates(remote_factor=factor)
            stage = self.stage(Engine(run_times=run_times))
            self.assertEqual(run_times.data_wait_s(stage), waited_s)

    def test_capacity_of_a_stopped_run_follows_the_time_of_a_stop(self):
        """Guards against plans that expect capacity before a run can stop."""
        run_times = RunTimeEstimates(stop_timeout_s=0.9)
        engine = Engine(run_times=run_times)
        engine.set_worker(fx.worker("w1"), 0.0)
        stage = self.stage(engine)
        fx.confirm(engine, engine.plan(0.0, 0.0))
        engine.stop(stage.tasks[0], "preempted")
        remaining = remaining_run_s(stage.tasks[0], run_times, 1.0)
        self.assertAlmostEqual(remaining, 0.45)


class TakeoverLoadTests(unittest.TestCase):
    """Load pattern: urgent work has queued up while the coordinator changed.

    The records name runs on both workers; those on the second have ended.
    """

    def setUp(self):
        self.engine = fx.engine()
        self.engine.accept(fx.workflow("slow", fx.step(16), priority=2), 0.0)
        for index in range(16):
            worker_id = "w1" if index < 8 else "w2"
            self.engine.adopt_run(fx.key("slow", index=index), 1, worker_id, True, 0.0)
        urgent = fx.workflow("fast", fx.step(1, fx.WHOLE_WORKER), priority=0)
        self.engine.accept(urgent, 1.0)
        self.engine.await_reports(1.3)

    def report(self, worker_id, indexes):
        runs = [RunReport(fx.key("slow", index=i), 1, "", 50.0) for i in indexes]
        self.engine.report(worker_id, runs, 1.1)
        listed = {(run.key, run.run) for run in runs}
        self.engine.reconcile(worker_id, listed, True, 1.1)

    def test_nothing_is_preempted_for_capacity_that_is_free(self):
        """Guards against stopping runs before all workers have reported."""
        self.report("w1", range(8))
        self.assertEqual(fx.stops(self.engine.plan(1.1, 1.1)), [])
        self.report("w2", ())
        effects = self.engine.plan(1.1, 1.1)
        self.assertEqual(fx.stops(effects), [])
        urgent = [s for s in fx.starts(effects) if s.key.workflow_id == "fast"]
        self.assertEqual([start.worker_id for start in urgent], ["w2"])

    def test_preemption_starts_once_all_have_reported(self):
        """Guards against urgent work that waits longer than necessary."""
        self.report("w1", range(8))
        self.report("w2", range(8, 16))
        self.assertEqual(len(fx.stops(self.engine.plan(1.1, 1.1))), 8)

    def test_worker_that_does_not_report_is_not_waited_for(self):
        """Guards against urgent work held up by a worker that is cut off."""
        self.report("w1", range(8))
        self.engine.workers_by_id["w2"].reachable = False
        self.assertEqual(fx.stops(self.engine.plan(1.2, 1.2)), [])
        self.assertEqual(len(fx.stops(self.engine.plan(1.3, 1.3))), 8)


if __name__ == "__main__":
    unittest.main()
