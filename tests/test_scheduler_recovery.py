"""Tests of the recovery of a new owner whose workers report late."""

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

NON_IDEMPOTENT = SPEC._replace(tasks=2, idempotent=False)


def report_member(index, state, results=(), spec=NON_IDEMPOTENT):
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
    """A worker reports after recovery, while its gang is being released.

    The previous owner had started the member on this worker. The new owner
    could not reach the worker and ended the recovery without its report.
    """

    def setUp(self):
        self.scheduler = Scheduler(DOMAIN, slack_policies())
        self.handle(m.ConfigurationChanged(CONFIGURATION))
        self.handle(m.WorkerClaimed(report_member(0, MemberState.RESERVED)))
        self.handle(m.JobSubmitted("j1", NON_IDEMPOTENT, 0.0, recorded=True))
        released = self.handle(m.RecoveryEnded())
        self.assertIn(m.ReleaseMember("g1", "w0"), released)

    def handle(self, event):
        return self.scheduler.handle(event, 1.0)

    def test_started_member_is_stopped_and_its_job_may_have_run(self):
        """Guards against a release of the started member.

        The worker refuses a release while the member runs. The gang would
        hold its accelerators forever, and the chart would not accept the end
        of the task.
        """
        effects = self.handle(m.WorkerClaimed(report_member(1, MemberState.STARTED)))
        self.assertIn(m.StopMember("g1", "w1", False), effects)
        self.handle(m.ReleaseAnswered("g1", "w0"))
        result = TaskResult(1, TaskOutcome.STOPPED, "")
        self.handle(m.TaskEnded("g1", "w1", result))
        self.assertEqual(self.scheduler.view("j1").state, JobState.INTERRUPTED)

    def test_cancelled_job_with_an_ended_member_is_not_reported_as_not_run(self):
        """Guards against ``not_run`` for a job that has an ended task."""
        self.handle(m.CancelRequested("j1"))
        result = TaskResult(1, TaskOutcome.SUCCEEDED, "done")
        self.handle(m.WorkerClaimed(report_member(1, MemberState.ENDED, (result,))))
        self.handle(m.ReleaseAnswered("g1", "w0"))
        self.assertEqual(self.scheduler.view("j1").state, JobState.INTERRUPTED)


class ExpiryTests(unittest.TestCase):
    def test_expiry_waits_for_the_report_of_every_member(self):
        """Guards against the expiry of a running job during recovery.

        A member that has not reported yet may have started.
        """
        scheduler = Scheduler(DOMAIN, slack_policies())
        expiring = SPEC._replace(tasks=2, expire_s=5.0)
        scheduler.handle(m.ConfigurationChanged(CONFIGURATION), 1.0)
        scheduler.handle(
            m.WorkerClaimed(report_member(0, MemberState.RESERVED, (), expiring)), 1.0
        )
        scheduler.handle(m.JobSubmitted("j1", expiring, 0.0, recorded=True), 1.0)
        scheduler.handle(m.Tick(), 6.0)
        effects = scheduler.handle(
            m.WorkerClaimed(report_member(1, MemberState.STARTED, (), expiring)), 6.5
        )
        self.assertIn(m.StartMember("g1", "w0"), effects)
