"""Tests of the metrics of a node and of the format of log lines."""

import io
import json
import logging
import unittest

from twisted.internet.task import Clock

from redwingrudder import requests
from redwingrudder._metrics_actor import METRICS, MetricsActor, MetricsObserver
from redwingrudder.actors import ActorSystem
from redwingrudder.coordination import metrics as coordination_metrics
from redwingrudder.logs import LineFormatter
from redwingrudder.metrics import MAX_ERROR_CODES, JobTimes, NodeMetrics
from redwingrudder.model import (
    Configuration,
    Epoch,
    GuaranteeShortage,
    JobClass,
    JobSpec,
    JobState,
    JobView,
    Organisation,
)
from redwingrudder.timers import TimerService

from .scripted import Scripted

CONFIGURATION = Configuration(
    3, {"shop": Organisation("shop", ())}, {"proof": JobClass("proof", 5.0, None)}, ()
)


class MetricsTests(unittest.TestCase):
    def setUp(self):
        self.metrics = NodeMetrics()
        self.metrics.set_configuration(CONFIGURATION)

    def sample(self, name, **labels):
        """Return the value of a metric, or None if it has no such series."""
        return self.metrics.registry.get_sample_value(f"redwingrudder_{name}", labels)

    def test_unknown_names_share_one_series(self):
        """Guards against callers that fill the memory with made-up names."""
        for number in range(100):
            self.metrics.count_submitted(f"made-up-{number}", f"class-{number}")
            self.metrics.count_refusal(f"code-{number}")
        submitted = self.sample(
            "jobs_submitted_total", organisation="other", job_class="other"
        )
        self.assertEqual(submitted, 100)
        refused = self.sample("requests_refused_total", code="other")
        self.assertEqual(refused, 100 - MAX_ERROR_CODES)

    def test_times_of_a_job_are_observed_by_organisation_and_class(self):
        """Guards against a queue wait for a job that never started."""
        times = JobTimes(completion_s=4.0, queue_wait_s=1.0, target_s=5.0)
        self.metrics.count_finished("shop", "proof", JobState.SUCCEEDED, times)
        never_started_times = JobTimes(9.0, None, 5.0)
        self.metrics.count_finished(
            "shop", "proof", JobState.NOT_RUN, never_started_times
        )
        labels = {"organisation": "shop", "job_class": "proof"}
        self.assertEqual(self.sample("completion_seconds_sum", **labels), 4.0)
        self.assertEqual(self.sample("queue_wait_seconds_count", **labels), 1)
        self.assertEqual(self.sample("completion_target_ratio_sum", **labels), 0.8)
        not_run = self.sample("jobs_finished_total", **labels, state="not_run")
        self.assertEqual(not_run, 1)

    def test_observer_measures_the_wait_and_the_share_of_the_target(self):
        """Guards against a restart that counts as a second queue wait."""
        clock = Clock()
        observer = MetricsObserver(self.metrics, lambda: CONFIGURATION, clock.seconds)
        spec = JobSpec("shop", "proof", "", "k", 1, 1, 1, 1, True, True, 1.0, 1.0, "")
        view = JobView(
            "d1-a", "shop", "proof", JobState.SUCCEEDED, "", True, False, 0.0, 4.0, ()
        )
        observer.job_submitted(spec)
        clock.advance(3.0)
        observer.job_started(spec)
        clock.advance(1.0)
        observer.job_started(spec)
        observer.job_finished(view, spec)
        labels = {"organisation": "shop", "job_class": "proof"}
        self.assertEqual(self.sample("queue_wait_seconds_sum", **labels), 3.0)
        self.assertEqual(self.sample("completion_target_ratio_sum", **labels), 0.8)

    def test_shortage_that_ended_disappears(self):
        """Guards against a gauge that keeps the value of an old shortage."""
        self.metrics.set_shortages((GuaranteeShortage("shop", 0, 0, 8, 1.0),) * 2)
        name = "guarantee_shortage_accelerators"
        self.assertEqual(self.sample(name, organisation="shop"), 16)
        self.metrics.set_shortages(())
        self.assertIsNone(self.sample(name, organisation="shop"))

    def test_gauges_follow_ownership_and_store(self):
        """Guards against a former owner that reports its old domain."""
        clock = Clock()
        system = ActorSystem(clock)
        TimerService(system)
        Scripted(system, requests.STORE, (requests.SubscribeStoreStatus,))
        status = requests.DomainStatus(
            "d1", "n1", Epoch(1, 0, 0), 3, 2, 0, 0, 16, 9, 8, 5, 1, (), (), ()
        )
        Scripted(system, requests.DISPATCHER, (requests.GetStatus,), status)
        MetricsActor(system, self.metrics)
        system.start()
        for message in (
            requests.StoreStatus(True),
            requests.OwnershipGained(Epoch(1, 0, 0)),
        ):
            system.tell(METRICS, message)
        clock.pump([0.0, 10.0, 0.0, 0.0, 0.0])
        names = ("store_available", "owner", "free_accelerators", "queued_jobs")
        self.assertEqual([self.sample(name) for name in names], [1, 1, 9, 5])
        system.tell(METRICS, requests.OwnershipEnded("fenced"))
        clock.pump([0.0, 30.0, 0.0, 0.0])
        self.assertEqual([self.sample(name) for name in names], [1, 0, 0, 0])

    def test_nodes_of_one_process_have_separate_metrics(self):
        """Guards against the global registry, which all nodes would share."""
        self.metrics.set_owner(True)
        self.assertIn(b"redwingrudder_owner 0.0", NodeMetrics().render())


class CoordinationMetricsTests(unittest.TestCase):
    """Metrics of nodes on the users' platform."""

    def test_each_counter_and_histogram_can_be_recorded(self):
        """Guards against a metric whose messages fail, one without labels."""
        clock = Clock()
        system = ActorSystem(clock)
        TimerService(system)
        metrics = coordination_metrics.Metrics(system, None, ("127.0.0.1", 0))
        metrics._import_library()
        for name, (_, labels) in coordination_metrics.COUNTERS.items():
            system.tell(
                coordination_metrics.METRICS,
                coordination_metrics.IncrementCounter(name, labels),
            )
        for name, (_, labels) in coordination_metrics.HISTOGRAMS.items():
            system.tell(
                coordination_metrics.METRICS,
                coordination_metrics.ObserveDuration(name, labels, 1.0),
            )
        clock.advance(0.1)
        text = metrics.render().decode()
        for name in coordination_metrics.COUNTERS:
            self.assertRegex(text, rf"redwingrudder_{name}_total(\{{.*\}})? 1\.0")
        for name in coordination_metrics.HISTOGRAMS:
            self.assertRegex(text, rf"redwingrudder_{name}_count(\{{.*\}})? 1\.0")


class LogTests(unittest.TestCase):
    def test_line_is_json_with_the_extra_fields(self):
        """Guards against lost extra fields and lines that are not JSON."""
        stream = io.StringIO()
        handler = logging.StreamHandler(stream)
        handler.setFormatter(LineFormatter("n1"))
        logger = logging.Logger("redwingrudder.test")
        logger.addHandler(handler)
        logger.warning("job %s\nended", "a", extra={"job": "d1-a", "job_class": "x"})
        (line,) = stream.getvalue().splitlines()
        fields = json.loads(line)
        self.assertRegex(fields.pop("time"), r"^\d{4}-\d\d-\d\dT.*\+00:00$")
        expected = {
            "level": "WARNING",
            "logger": "redwingrudder.test",
            "message": "job a\nended",
            "node": "n1",
            "job": "d1-a",
            "job_class": "x",
        }
        self.assertEqual(fields, expected)
