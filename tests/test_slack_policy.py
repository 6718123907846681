"""Tests of the default policies for order, admission and worker health."""

import unittest

from redwingrudder._slack_policy import (
    QUEUED_CALLER_LIMIT,
    QUEUED_GROUP_LIMIT,
    QUEUED_TOTAL_LIMIT,
    FailureStreakHealth,
    SlackAdmission,
    SlackOrder,
)
from redwingrudder.fleet import Fleet
from redwingrudder.policies import QueuedJob, QueueSize, ResourceUse

from .scheduler_world import CONFIGURATION, SPEC

NOW = 1_700_000_005.0


class SlackOrderTests(unittest.TestCase):
    def setUp(self):
        self.policy = SlackOrder()

    def job(self, name, job_class="urgent", waited_s=0.0, run_s=1.0, **changes):
        spec = SPEC._replace(job_class=job_class, **changes)
        job_class_definition = CONFIGURATION.classes_by_name[job_class]
        submitted_at = NOW - waited_s
        target_at = submitted_at + job_class_definition.target_s
        return QueuedJob(
            name, spec, job_class_definition, submitted_at, target_at, run_s, 0
        )

    def ordered_ids(self, *jobs, now=NOW):
        return [job.job_id for job in self.policy.order(list(jobs), now)]

    def test_least_slack_first_and_late_jobs_last(self):
        """Late jobs must not delay jobs that can still meet their target."""
        jobs = [
            self.job("relaxed", "later"),
            self.job("late", waited_s=6.0),
            self.job("soon"),
            self.job("long", "later", run_s=599.0),
        ]
        self.assertEqual(self.ordered_ids(*jobs), ["long", "soon", "relaxed", "late"])

    def test_large_callers_wait_for_small_ones_of_the_class(self):
        """A small caller must not wait behind all jobs of a large caller."""
        large = SPEC._replace(organisation="gold", caller="chain")
        self.policy.observe_service(large, 5000.0, NOW)
        busy = SPEC._replace(caller="busy")
        self.policy.observe_service(busy, 100.0, NOW)
        jobs = [
            self.job("chain", waited_s=3.0, organisation="gold", caller="chain"),
            self.job("busy", waited_s=2.0, caller="busy"),
            self.job("small", waited_s=1.0, caller="small"),
        ]
        self.assertEqual(self.ordered_ids(*jobs), ["small", "busy", "chain"])

    def test_service_decays(self):
        """Service received hours ago must not put a caller last."""
        self.policy.observe_service(SPEC._replace(caller="old"), 5000.0, NOW - 36_000)
        self.policy.observe_service(SPEC._replace(caller="new"), 100.0, NOW)
        jobs = [self.job("new", caller="new"), self.job("old", caller="old")]
        self.assertEqual(self.ordered_ids(*jobs), ["old", "new"])

    def test_aged_job_gets_a_bounded_share(self):
        """An aged job must come first in one tenth of the time only.

        Without this share, late jobs could starve. With a larger one, the late
        jobs of a flood would displace jobs that can still meet their target.
        """
        aged = self.job("aged", waited_s=30.0)
        late = self.job("late", waited_s=10.0)
        soon = self.job("soon")
        jobs = (late, aged, soon)
        self.assertEqual(self.ordered_ids(*jobs), ["soon", "aged", "late"])
        window = NOW - NOW % 10
        first = [self.ordered_ids(*jobs, now=window + i / 10)[0] for i in range(100)]
        self.assertEqual(first.count("aged"), 10)

    def test_run_time_is_the_learned_80th_percentile(self):
        """Measured run times must replace an inaccurate declared run time."""
        expected = [self.policy.expected_run_s(SPEC._replace(declared_run_s=100.0))]
        for run_s in (10.0, 10.0, 10.0, 20.0, 90.0):
            self.policy.observe_run(SPEC, run_s, NOW)
            expected.append(
                self.policy.expected_run_s(SPEC._replace(declared_run_s=100.0))
            )
        self.assertEqual([expected[i] for i in (0, 1, 5)], [100.0, 82.0, 20.0])
        other = SPEC._replace(organisation="gold")
        self.assertEqual(self.policy.expected_run_s(other), SPEC.declared_run_s)


class HeadroomTests(unittest.TestCase):
    """A flood of long jobs must not take the headroom of urgent jobs."""

    def setUp(self):
        self.policy = SlackOrder()
        later = CONFIGURATION.classes_by_name["later"]
        spec = SPEC._replace(job_class="later", declared_run_s=100.0)
        self.flood = QueuedJob("f", spec, later, NOW, NOW + 600, 100.0, 0)
        urgent = CONFIGURATION.classes_by_name["urgent"]
        self.urgent = QueuedJob("u", SPEC, urgent, NOW, NOW + 5, 2.0, 0)

    def allows(self, job, free, held=0, now=NOW):
        use = ResourceUse(40, free, {"urgent": held})
        return self.policy.leaves_headroom(job, use, now)

    def observe(self, jobs):
        self.allows(self.urgent, 40)
        for _ in range(jobs):
            self.policy.observe_service(SPEC, 2.0, NOW)

    def test_headroom_covers_unserved_demand(self):
        """Long jobs must leave free what urgent jobs need but do not hold."""
        self.assertTrue(self.allows(self.flood, 1))
        # 600 jobs of 2 s in 300 s use 4 units on average. With two standard
        # deviations, the headroom is 8 units.
        self.observe(600)
        self.assertFalse(self.allows(self.flood, 8))
        self.assertTrue(self.allows(self.flood, 9))
        self.assertTrue(self.allows(self.flood, 1, held=8))
        self.assertTrue(self.allows(self.urgent, 1))

    def test_headroom_decays_and_is_limited(self):
        """Headroom must end after a flood and stay limited during one.

        Otherwise a past or endless flood of one class would block all others.
        """
        self.observe(60_000)
        self.assertFalse(self.allows(self.flood, 20))
        self.assertTrue(self.allows(self.flood, 21))
        self.assertTrue(self.allows(self.flood, 1, now=NOW + 7200))


class SlackAdmissionTests(unittest.TestCase):
    def test_bounds_give_a_retry_time(self):
        """One class or caller must not fill the queue.

        A refusal must say after which time to retry.
        """
        policy = SlackAdmission()
        group, caller = QUEUED_GROUP_LIMIT, QUEUED_CALLER_LIMIT
        for size, code in [
            (QueueSize(group, group - 1, caller - 1), None),
            (QueueSize(group, group - 1, caller), "overloaded"),
            (QueueSize(group, group, 0), "overloaded"),
            (QueueSize(QUEUED_TOTAL_LIMIT, 0, 0), "overloaded"),
        ]:
            refusal = policy.admit(SPEC, size, Fleet(), CONFIGURATION)
            self.assertEqual(refusal and refusal.code, code)
            self.assertTrue(refusal is None or refusal.retry_after_s > 0)


class FailureStreakHealthTests(unittest.TestCase):
    def setUp(self):
        self.policy = FailureStreakHealth()

    def fail(self, *job_ids, worker="w0", now=NOW):
        for job_id in job_ids:
            self.policy.observe(worker, job_id, True, now)

    def succeed(self, *job_ids, worker="w1"):
        for job_id in job_ids:
            self.policy.observe(worker, job_id, False, NOW)

    def test_jobs_that_fail_everywhere_quarantine_no_worker(self):
        """Jobs that fail on every worker must not quarantine the workers."""
        self.fail("a", "b", "c", "d")
        self.fail("a", "b", "c", "d", worker="w1")
        self.assertEqual(self.policy.quarantined(NOW), frozenset())

    def test_three_confirmed_failures_in_a_row_quarantine(self):
        """A faulty worker must be quarantined, but not after one bad job.

        Repeated failures of the same job count once.
        """
        self.fail("a", "a", "b")
        self.succeed("a", "b")
        self.assertEqual(self.policy.quarantined(NOW), frozenset())
        self.fail("c")
        self.succeed("c")
        self.assertEqual(self.policy.quarantined(NOW), {"w0"})

    def test_success_ends_the_failure_streak(self):
        """A worker with occasional failures must not be quarantined."""
        self.fail("a", "b")
        self.succeed("d", worker="w0")
        self.fail("c")
        self.succeed("a", "b", "c")
        self.assertEqual(self.policy.quarantined(NOW), frozenset())

    def test_probe_interval_doubles_up_to_its_limit(self):
        """A broken worker must cost few probes and recover on a success."""
        self.fail("a", "b", "c")
        self.succeed("a", "b", "c")
        now, waits = NOW, []
        for probe in range(6):
            due = self.policy.next_probe_at(now)
            waits.append(due - now)
            self.assertEqual(self.policy.probes(due - 1), frozenset())
            self.assertEqual(self.policy.probes(due), {"w0"})
            now = due
            self.fail(f"probe-{probe}", now=now)
        self.assertEqual(waits, [60, 120, 240, 480, 900, 900])
        self.succeed("last", worker="w0")
        self.assertEqual(self.policy.quarantined(now), frozenset())
