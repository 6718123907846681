"""No task crashes more workers than the limit, whatever else happens."""

import itertools
import unittest

from redwingrudder.workflows import records
from redwingrudder.workflows.model import WorkflowState
from redwingrudder.workflows.state import SilentProcess

from . import workflow_fixtures as fx
from .test_crashing_tasks import MAX_CRASHES, RETURN_S, STEP_S
from .test_lapsed_leases import CutFleet

PLAY_S = 200.0


class CrashLimitTests(unittest.TestCase):
    def test_crashes_at_moments_of_cuts_count(self):
        """Guards against a task that crashes workers while others are cut."""
        fleet = CutFleet(20)
        fleet.accept("deadly", fx.step(1), deadly=[0])
        for crashes in range(1, MAX_CRASHES + 3):
            while sum(fleet.crashes_by_key.values()) < crashes and fleet.now < PLAY_S:
                fleet.run_until(fleet.now + STEP_S)
            (*_, idle) = sorted(set(fleet.facts_by_id) - fleet._gone)
            fleet.cut(idle)
            fleet.run_until(fleet.now + RETURN_S + STEP_S)
        fleet.run_until(PLAY_S)
        self.assertEqual(fleet.state("deadly"), WorkflowState.FAILED)
        self.assertLessEqual(sum(fleet.crashes_by_key.values()), MAX_CRASHES)

    def play_terms(self, goes_on):
        """Change the coordinator after each start, before a crash is noticed.

        Args:
            goes_on: Whether the run is reported for a second before that.

        Returns:
            The number of starts, the last progress, and the states of the
            suspicion before each start.
        """
        starts, document, suspicions = 0, None, set()
        for term in range(1, MAX_CRASHES + 4):
            engine = fx.engine(fx.worker("w1", process_started_ms=term))
            progress = engine.accept(fx.workflow("job"), 0.0)
            if document is not None:
                record = records.decode_progress("job", document)
                records.restore_progress(progress, record)
                for placed in record.placed:
                    engine.adopt_run(*placed[:3], False, 0.0, term)
            engine.worker_lost("w1", 6.0)
            engine.interrupt_worker("w1", 6.0, "lease_lapsed")
            engine.set_worker(fx.worker("w1", process_started_ms=term + 1), 8.0)
            engine.report("w1", [], 8.5)
            suspicions.add(next(progress.tasks()).suspicion)
            effects = fx.starts(engine.plan(9.0, 9.0))
            starts += len(effects)
            if progress.state is WorkflowState.FAILED:
                break
            fx.confirm(engine, effects, 9.0)
            if goes_on:
                reports = [fx.running(start) for start in effects]
                engine.report("w1", reports, 10.0)
            document = records.encode_progress(progress, term, {"w1": term + 1})
        return starts, progress, suspicions

    def test_crashes_noticed_by_a_successor_count(self):
        """Guards against a task whose crashes each change makes forgotten."""
        starts, progress, _ = self.play_terms(goes_on=False)
        self.assertEqual(progress.state, WorkflowState.FAILED)
        self.assertLessEqual(starts, MAX_CRASHES)

    def test_runs_that_go_on_keep_their_task_below_the_limit(self):
        """Guards against blame for work that outlives many coordinators."""
        starts, progress, suspicions = self.play_terms(goes_on=True)
        self.assertEqual(progress.state, WorkflowState.RUNNING)
        self.assertEqual((starts, suspicions), (MAX_CRASHES + 3, {"clear"}))

    def restore(self, evidence_by_run, gang=False):
        """Return a successor's engine with the record of a suspected job."""
        workflow = fx.workflow("job", fx.step(gang=gang))
        progress = fx.engine().accept(workflow, 0.0)
        task = next(progress.tasks())
        task.crash_evidence_by_run = evidence_by_run
        task.suspicion = "suspected"
        document = records.encode_progress(progress, 1, {})
        successor = fx.engine(fx.worker("w1"))
        restored = successor.accept(workflow, 0.0)
        records.restore_progress(restored, records.decode_progress("job", document))
        return successor

    def test_wait_for_silent_workers_survives_a_change(self):
        """Guards against a successor that starts a task once too often."""
        engine = self.restore(
            {
                run: records.NO_EVIDENCE._replace(
                    silent=frozenset(
                        {SilentProcess(f"lost{run}", "", 1, True, True, True)}
                    ),
                )
                for run in range(1, MAX_CRASHES + 1)
            }
        )
        self.assertEqual(fx.starts(engine.plan(0.0, 0.0)), [])
        self.assertEqual(fx.starts(engine.plan(59.0, 59.0)), [])
        self.assertEqual(len(fx.starts(engine.plan(61.0, 61.0))), 1)

    def test_verdict_is_known_to_a_successor(self):
        """Guards against a start by each coordinator before the verdict."""
        for refuted, gang in itertools.product((0, 2, MAX_CRASHES), (False, True)):
            with self.subTest(refuted=refuted, gang=gang):
                engine = self.restore(
                    {
                        run: records.NO_EVIDENCE._replace(
                            certain=True,
                            confirmed=True,
                            suspect=True,
                            refuted=run <= refuted,
                        )
                        for run in range(1, MAX_CRASHES + 1)
                    },
                    gang,
                )
                self.assertEqual(fx.starts(engine.plan(0.0, 0.0)), [])
                state = engine.workflows_by_id["job"].state
                self.assertEqual(state, WorkflowState.FAILED)

    def test_log_of_a_verdict_names_all_runs_that_count(self):
        """Guards against a job given up for runs that no line names."""
        crash = records.NO_EVIDENCE._replace(certain=True, suspect=True, refuted=True)
        engine = self.restore({run: crash for run in range(1, MAX_CRASHES + 1)})
        with self.assertLogs("redwingrudder.workflows.run_table") as logs:
            engine.plan(0.0, 0.0)
        (line,) = [r for r in logs.records if r.getMessage() == "task given up"]
        rows = [(row["run"], row["refuted"]) for row in line.crashed_runs]
        self.assertEqual(rows, [(run, True) for run in range(1, MAX_CRASHES + 1)])


if __name__ == "__main__":
    unittest.main()
