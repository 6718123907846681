"""Feeds the metrics with what the dispatcher tells about jobs."""

from collections.abc import Callable

from ._job_observer import JobObserver
from ._scheduler_jobs import find_target
from .metrics import JobTimes, NodeMetrics
from .model import GuaranteeShortage, JobSpec, JobView

WAITING_LIMIT = 50_000  # jobs whose queue wait is being measured

_JobKey = tuple[str, str]


class MetricsObserver(JobObserver):
    """Counts jobs and measures their times.

    The queue wait of a job that another owner accepted is not measured.

    Args:
        metrics: Where jobs are counted.
        seconds: The clock.
    """

    def __init__(self, metrics: NodeMetrics, seconds: Callable[[], float]) -> None:
        self._metrics = metrics
        self._seconds = seconds
        self._submitted_at_by_key: dict[_JobKey, float] = {}
        self._queue_wait_by_key: dict[_JobKey, float] = {}

    def job_submitted(self, spec: JobSpec) -> None:
        """See base class."""
        self._metrics.count_submitted(spec.organisation, spec.job_class)
        if len(self._submitted_at_by_key) < WAITING_LIMIT:
            self._submitted_at_by_key[_key(spec)] = self._seconds()

    def job_started(self, spec: JobSpec) -> None:
        """See base class; later attempts of a job change nothing."""
        submitted_at = self._submitted_at_by_key.pop(_key(spec), None)
        if submitted_at is not None:
            self._queue_wait_by_key[_key(spec)] = self._seconds() - submitted_at

    def job_finished(self, view: JobView, spec: JobSpec) -> None:
        """See base class."""
        self._submitted_at_by_key.pop(_key(spec), None)
        queue_wait_s = self._queue_wait_by_key.pop(_key(spec), None)
        finished_at = view.finished_at or self._seconds()
        times = JobTimes(
            completion_s=max(0.0, finished_at - view.submitted_at),
            queue_wait_s=queue_wait_s,
            target_s=self._target_s(view, spec),
        )
        self._metrics.count_finished(
            spec.organisation, spec.job_class, view.state, times
        )

    def target_missed(self, spec: JobSpec) -> None:
        """See base class."""
        self._metrics.count_target_missed(spec.organisation, spec.job_class)

    def shortages(self, shortages: tuple[GuaranteeShortage, ...]) -> None:
        """See base class."""
        self._metrics.set_shortages(shortages)

    def _target_s(self, view: JobView, spec: JobSpec) -> float:
        job_class = self._metrics.classes_by_name.get(spec.job_class)
        if job_class is None:
            return 0.0
        return find_target(job_class, view.submitted_at) - view.submitted_at


def _key(spec: JobSpec) -> _JobKey:
    return spec.organisation, spec.idempotency_key
