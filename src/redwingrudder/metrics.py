"""Prometheus metrics of one node, in a registry of their own.

The number of label values is limited: organisations and classes that are not
in the configuration in force are counted as ``other``, so that callers cannot
create time series with made-up names.
"""

from typing import NamedTuple

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from .model import Configuration, GuaranteeShortage, JobState
from .requests import DomainStatus

OTHER_LABEL = "other"
MAX_ERROR_CODES = 64  # distinct error codes used as label values

_JOB_LABELS = ("organisation", "job_class")
_DURATION_BUCKETS_S = (0.1, 0.3, 1, 2.6, 5, 10, 30, 60, 300, 1_800, 7_200, 28_800)
_RATIO_BUCKETS = (0.1, 0.25, 0.5, 0.75, 0.9, 1.0, 1.25, 1.5, 2, 4, 10)


class JobTimes(NamedTuple):
    """Durations of a job that ended, in seconds since its submission.

    Attributes:
        completion_s: Until the job ended.
        queue_wait_s: Until it first started; None if it never started
            or if its submission was not recorded.
        target_s: Until its target time, also for a class whose target is a
            time of day; 0 if the class is not configured.
    """

    completion_s: float
    queue_wait_s: float | None
    target_s: float


class NodeMetrics:
    """The metrics of a node; no method blocks or performs I/O."""

    content_type = CONTENT_TYPE_LATEST

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._organisations: frozenset[str] = frozenset()
        self._classes: frozenset[str] = frozenset()
        self._codes: set[str] = set()
        self._create_job_metrics()
        self._create_gauges()

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def set_configuration(self, configuration: Configuration) -> None:
        """Set the version, and the names that are used as label values."""
        self._organisations = frozenset(configuration.organisations_by_name)
        self._classes = frozenset(configuration.classes_by_name)
        self._configuration_version.set(configuration.version)

    def count_submitted(self, organisation: str, job_class: str) -> None:
        """Count a job that was accepted."""
        self._submitted.labels(*self._job_label_values(organisation, job_class)).inc()

    def count_finished(
        self, organisation: str, job_class: str, state: JobState, times: JobTimes
    ) -> None:
        """Count a job that ended and record its times.

        The completion time is recorded only for a job that succeeded.
        """
        label_values = self._job_label_values(organisation, job_class)
        self._finished.labels(*label_values, str(state)).inc()
        if times.queue_wait_s is not None:
            self._queue_wait.labels(*label_values).observe(times.queue_wait_s)
        if state is not JobState.SUCCEEDED:
            return
        self._completion.labels(*label_values).observe(times.completion_s)
        if times.target_s > 0:
            self._target_ratio.labels(*label_values).observe(
                times.completion_s / times.target_s
            )

    def count_target_missed(self, organisation: str, job_class: str) -> None:
        """Count a job that can no longer meet its target."""
        self._target_missed.labels(
            *self._job_label_values(organisation, job_class)
        ).inc()

    def count_refusal(self, code: str) -> None:
        """Count a request that was answered with an error code."""
        if code not in self._codes and len(self._codes) < MAX_ERROR_CODES:
            self._codes.add(code)
        self._refused.labels(code if code in self._codes else OTHER_LABEL).inc()

    def set_domain(self, status: DomainStatus) -> None:
        """Set the gauges of the failure domain that this node owns."""
        self._free_accelerators.set(status.free_accelerators)
        self._largest_gang.set(status.largest_gang)
        self._queued_jobs.set(status.queued_jobs)
        self.set_shortages(status.shortages)

    def clear_domain(self) -> None:
        """Reset the gauges of a failure domain that is no longer owned."""
        for gauge in (self._free_accelerators, self._largest_gang, self._queued_jobs):
            gauge.set(0)
        self.set_shortages(())

    def set_shortages(self, shortages: tuple[GuaranteeShortage, ...]) -> None:
        """Set the missing guaranteed accelerators of each organisation."""
        self._shortages.clear()
        for shortage in shortages:
            organisation = self._label_value(shortage.organisation, self._organisations)
            self._shortages.labels(organisation).inc(shortage.missing_accelerators)

    def set_owner(self, owner: bool) -> None:
        """Set whether this node owns its failure domain."""
        self._owner.set(int(owner))

    def set_store_available(self, available: bool) -> None:
        """Set whether the platform store is available."""
        self._store_available.set(int(available))

    def _job_label_values(self, organisation: str, job_class: str) -> tuple[str, str]:
        return (
            self._label_value(organisation, self._organisations),
            self._label_value(job_class, self._classes),
        )

    @staticmethod
    def _label_value(name: str, configured_names: frozenset[str]) -> str:
        return name if name in configured_names else OTHER_LABEL

    def _create_job_metrics(self) -> None:
        self._completion = self._histogram(
            "completion_seconds", "From submission to success", _DURATION_BUCKETS_S
        )
        self._queue_wait = self._histogram(
            "queue_wait_seconds", "From submission to first start", _DURATION_BUCKETS_S
        )
        self._target_ratio = self._histogram(
            "completion_target_ratio", "Completion time over target", _RATIO_BUCKETS
        )
        self._submitted = self._counter("jobs_submitted", "Jobs accepted", _JOB_LABELS)
        self._finished = self._counter(
            "jobs_finished", "Jobs ended, by final state", (*_JOB_LABELS, "state")
        )
        self._target_missed = self._counter(
            "targets_missed", "Jobs that cannot meet their target", _JOB_LABELS
        )
        self._refused = self._counter(
            "requests_refused", "Requests answered with an error", ("code",)
        )

    def _create_gauges(self) -> None:
        self._free_accelerators = self._gauge(
            "free_accelerators", "Free accelerators of the owned failure domain"
        )
        self._largest_gang = self._gauge(
            "largest_gang_accelerators", "Largest gang that could be placed now"
        )
        self._queued_jobs = self._gauge("queued_jobs", "Jobs that wait")
        self._shortages = self._gauge(
            "guarantee_shortage_accelerators",
            "Accelerators missing for guaranteed shapes",
            ("organisation",),
        )
        self._configuration_version = self._gauge(
            "configuration_version", "Version of the configuration in force"
        )
        self._owner = self._gauge("owner", "1 while this node owns its failure domain")
        self._store_available = self._gauge(
            "store_available", "1 while the platform store answers"
        )

    def _histogram(
        self, name: str, help_text: str, buckets: tuple[float, ...]
    ) -> Histogram:
        return Histogram(
            f"redwingrudder_{name}",
            help_text,
            _JOB_LABELS,
            registry=self.registry,
            buckets=buckets,
        )

    def _counter(self, name: str, help_text: str, labels: tuple[str, ...]) -> Counter:
        return Counter(
            f"redwingrudder_{name}", help_text, labels, registry=self.registry
        )

    def _gauge(self, name: str, help_text: str, labels: tuple[str, ...] = ()) -> Gauge:
        return Gauge(f"redwingrudder_{name}", help_text, labels, registry=self.registry)
