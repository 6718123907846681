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


def report(index, state, results=(), spec=ONCE):
    member = MemberReport(
        "g1",
        "j1",
        spec,
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


class ExpiryTests(unittest.TestCase):
    def test_expiry_waits_for_the_report_of_every_member(self):
        """A running job must not expire while its gang is found again."""
        scheduler = Scheduler(DOMAIN, slack_policies())
        expiring = SPEC._replace(tasks=2, expire_s=5.0)
        scheduler.handle(m.ConfigurationChanged(CONFIGURATION), 1.0)
        scheduler.handle(
            m.WorkerClaimed(report(0, MemberState.RESERVED, (), expiring)), 1.0
        )
        scheduler.handle(m.JobSubmitted("j1", expiring, 0.0, recorded=True), 1.0)
        scheduler.handle(m.Tick(), 6.0)
        effects = scheduler.handle(
            m.WorkerClaimed(report(1, MemberState.STARTED, (), expiring)), 6.5
        )
        self.assertIn(m.StartMember("g1", "w0"), effects)
