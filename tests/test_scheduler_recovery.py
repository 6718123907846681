"""Tests of what a new owner concludes from reports that come late."""

import unittest

from redwingrudder import messages as m
from redwingrudder.model import (
    JobState,
    MemberPlacement,
    MemberReport,
    MemberState,
    TaskOutcome,
    TaskResult,
    WorkerReport,
)
from redwingrudder.policies import slack_policies
from redwingrudder.scheduler import Scheduler
from tests.scheduler_world import CONFIGURATION, DOMAIN, SPEC, make_worker

ONCE = SPEC._replace(tasks=2, idempotent=False)


def report(index, state, results=()):
    member = MemberReport(
        "g1",
        "j1",
        ONCE,
        0.0,
        MemberPlacement(f"w{index}", (0,), (index,)),
        2,
        state,
        results,
    )
    return WorkerReport(make_worker(index), "boot", False, (member,))


class LateReportTests(unittest.TestCase):
    """One worker reports while the gang's other members are released.

    The previous owner reached that worker when this one gave it up.
    """

    def setUp(self):
        self.scheduler = Scheduler(DOMAIN, slack_policies())
        self.feed(m.ConfigurationChanged(CONFIGURATION))
        self.feed(m.WorkerClaimed(report(0, MemberState.RESERVED)))
        self.feed(m.JobSubmitted("j1", ONCE, 0.0, recorded=True))
        released = self.feed(m.RecoveryEnded())
        self.assertIn(m.ReleaseMember("g1", "w0"), released)

    def feed(self, event):
        return self.scheduler.handle(event, 1.0)

    def test_started_member_is_stopped_and_its_job_may_have_run(self):
        # A release is refused while the member runs, so the gang would hold
        # its accelerators for ever, and the end of the task was unexpected.
        effects = self.feed(m.WorkerClaimed(report(1, MemberState.STARTED)))
        self.assertIn(m.StopMember("g1", "w1", False), effects)
        self.feed(m.ReleaseAnswered("g1", "w0"))
        result = TaskResult(1, TaskOutcome.STOPPED, "")
        self.feed(m.TaskEnded("g1", "w1", result))
        self.assertEqual(self.scheduler.view("j1").state, JobState.INTERRUPTED)

    def test_cancelled_job_with_an_ended_member_is_not_told_not_run(self):
        self.feed(m.CancelRequested("j1"))
        result = TaskResult(1, TaskOutcome.SUCCEEDED, "done")
        self.feed(m.WorkerClaimed(report(1, MemberState.ENDED, (result,))))
        self.feed(m.ReleaseAnswered("g1", "w0"))
        self.assertEqual(self.scheduler.view("j1").state, JobState.INTERRUPTED)
