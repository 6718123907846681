"""Tests of the invariant that starts are as their jobs were submitted."""

import logging
import unittest
from unittest import mock

from twisted.internet.task import Clock

from redwingrudder.simulation import (
    DrawnRuns,
    Fault,
    FaultKind,
    History,
    Job,
    JobOutcome,
    ProducedCheckpoint,
    ProtocolWorkers,
    Schedule,
    SentStart,
    StartsAsSubmitted,
    ViolationClass,
    draw_schedule,
    find_violations,
    play_schedule,
)
from redwingrudder.workflows.model import EndKind, WorkflowState
from redwingrudder.workflows.run_table import RunTable

from . import workflow_fixtures as fx
from .test_simulation import LEASE_MS

JOB = JobOutcome("job", 1.0, WorkflowState.RUNNING, None, "payload", (2,))
GANG = JOB._replace(workflow_id="gang", gang=True)
START = SentStart(fx.key("job"), 2, "payload", "", "w1", 5.0)
GANG_START = START._replace(key=fx.key("gang"), checkpoint="saved")
SAVED = ProducedCheckpoint(fx.key("job"), "saved", 4.0)
GANG_SAVED = SAVED._replace(key=fx.key("gang", index=1))
INTERVAL_S = 0.5


class StartsAsSubmittedTests(unittest.TestCase):
    def violations(self, *starts):
        history = History(
            jobs=(JOB, GANG), starts=starts, checkpoints=(SAVED, GANG_SAVED)
        )
        return StartsAsSubmitted().violations(history)

    def test_sound_starts(self):
        """Guards against a check that fails starts that were asked for."""
        resumed = START._replace(checkpoint="saved")
        members = [GANG_START._replace(key=fx.key("gang", index=i)) for i in (0, 1)]
        self.assertEqual(self.violations(START, resumed, *members), [])

    def test_unsound_starts(self):
        """Guards against a check that misses work that nobody asked for."""
        cases = {
            "unknown job": {"key": fx.key("other")},
            "before the submission": {"sent_at": 0.9},
            "index that the job does not have": {"key": fx.key("job", index=2)},
            "step that the job does not have": {"key": fx.key("job")._replace(step=1)},
            "occurrence": {"key": fx.key("job")._replace(occurrence=1)},
            "payload of another job": {"payload": "other"},
            "checkpoint of nobody": {"checkpoint": "other"},
            "checkpoint of another task": {
                "key": fx.key("job", index=1),
                "checkpoint": "saved",
            },
            "checkpoint before it was listed": {"checkpoint": "saved", "sent_at": 3.9},
        }
        for name, changes in cases.items():
            with self.subTest(name):
                (violation,) = self.violations(START._replace(**changes))
                self.assertIs(violation.classification, ViolationClass.OTHER)
                self.assertIn("start of run 2", str(violation))

    def test_members_of_a_gang_start_from_the_same_checkpoint(self):
        """Guards against a gang whose members resume from different points."""
        member = GANG_START._replace(key=fx.key("gang", index=1), checkpoint="")
        (violation,) = self.violations(GANG_START, member)
        self.assertEqual(violation.runs, (GANG_START, member))
        self.assertEqual(self.violations(GANG_START, member._replace(run=3)), [])


class CheckpointModelTests(unittest.TestCase):
    """Runs that save checkpoints at workers without a coordinator."""

    def setUp(self):
        self.clock = Clock()
        job = Job(0.0, "job", 1, False, 1, 1, None, 0, INTERVAL_S)
        behaviour = DrawnRuns(self.clock, Schedule(1, (job,), ()))
        self.workers = ProtocolWorkers(self.clock, "w1", behaviour=behaviour)
        self.worker = self.workers.workers_by_id["w1"]
        self.key = fx.key("job")

    def start(self, checkpoint=""):
        self.worker.process.start(1, self.key, 1, LEASE_MS, "payload", checkpoint)

    def listed(self):
        (running,) = self.worker.process.report().running
        return running.checkpoint

    def test_checkpoint_of_each_interval(self):
        """Guards against runs that list the same checkpoint all the time."""
        self.start()
        listed = [self.listed()]
        for _ in range(2):
            self.clock.advance(INTERVAL_S / 2)
            listed.append(self.listed())
            self.clock.advance(INTERVAL_S / 2)
        self.assertEqual(listed[:2], ["", ""])
        self.assertTrue(listed[2])
        self.assertEqual(list(self.worker.checkpoints), [listed[2]])
        self.assertEqual(self.worker.checkpoints[listed[2]].key, self.key)

    def test_checkpoint_that_a_run_resumed_from(self):
        """Guards against a run that loses what it resumed from."""
        self.start("earlier")
        self.assertEqual(self.listed(), "earlier")
        self.assertEqual(self.worker.checkpoints, {})

    def test_checkpoint_at_a_stop(self):
        """Guards against stops that save nothing."""
        self.start()
        self.worker.process.end(self.key, EndKind.STOPPED)
        (end,) = self.worker.process.ends
        self.assertEqual(list(self.worker.checkpoints), [end.checkpoint])


class SimulatedStartTests(unittest.TestCase):
    """Coordinators whose starts differ from what was submitted."""

    def setUp(self):
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)

    def found(self, change):
        """Return what a schedule with changed starts breaks."""
        assign = RunTable.assign

        def assign_changed(table, task, worker, runs_by_stage, now):
            assign(table, task, worker, runs_by_stage, now)
            table.effects[-1] = change(table.effects[-1])

        jobs = tuple(
            Job(1.0 + number, f"job{number}", 2, number % 2 == 1, 1, 1, None, 0, 0.3)
            for number in range(6)
        )
        faults = tuple(
            Fault(2.0 + at_s, FaultKind.RESTART, at_s % 3, 0.3, 0.1)
            for at_s in range(9)
        )
        schedule = Schedule(1, jobs, faults)
        self.assertEqual(find_violations(play_schedule(schedule)), [])
        with mock.patch.object(RunTable, "assign", assign_changed):
            violations = find_violations(play_schedule(schedule))
        return {
            violation.invariant
            for violation in violations
            if violation.classification is ViolationClass.OTHER
        }

    def test_payload_of_another_job(self):
        """Guards against invariants that accept the work of another job."""
        found = self.found(lambda start: start._replace(payload="payload of job0"))
        self.assertEqual(found, {StartsAsSubmitted.name})

    def test_checkpoint_of_another_task(self):
        """Guards against invariants that accept any checkpoint."""
        first = []

        def with_first_checkpoint(start):
            if start.checkpoint:
                first.append(start.checkpoint)
            return start._replace(checkpoint=first[0] if first else "")

        self.assertEqual(self.found(with_first_checkpoint), {StartsAsSubmitted.name})

    def test_drawn_runs_resume(self):
        """Guards against schedules in which no checkpoint is used."""
        history = play_schedule(draw_schedule(1))
        self.assertTrue([start for start in history.starts if start.checkpoint])


if __name__ == "__main__":
    unittest.main()
