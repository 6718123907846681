"""Log lines and observations about jobs."""

import logging

from ._job_observer import JobObserver
from .model import FINAL_JOB_STATES, GuaranteeShortage, JobSpec, JobState, JobView

_logger = logging.getLogger(__name__)


class JobReporter:
    """Writes the log lines of one owner and tells its observer.

    Args:
        node_id: Node that owns the failure domain.
        observer: Told about jobs, for metrics.
    """

    def __init__(self, node_id: str, observer: JobObserver) -> None:
        self._node_id = node_id
        self._observer = observer
        self._correlation_ids_by_job: dict[str, str] = {}
        self._specs_by_ended_job: dict[str, JobSpec] = {}

    def report_accepted(self, job_id: str, spec: JobSpec, correlation_id: str) -> None:
        """Report a job that was accepted."""
        self._correlation_ids_by_job[job_id] = correlation_id
        self._log(job_id, spec, "job accepted")
        self._observer.job_submitted(spec)

    def report_state_change(self, job_id: str, spec: JobSpec, state: JobState) -> None:
        """Report that a job entered a state."""
        self._log(job_id, spec, f"job {state.value}")
        if state is JobState.RUNNING:
            self._observer.job_started(spec)
        if state in FINAL_JOB_STATES:
            self._correlation_ids_by_job.pop(job_id, None)
            self._specs_by_ended_job[job_id] = spec

    def report_finished(self, view: JobView) -> None:
        """Report that callers may be told the final answer of a job."""
        spec = self._specs_by_ended_job.pop(view.job_id, None)
        if spec is not None:
            self._observer.job_finished(view, spec)

    def report_target_missed(self, job_id: str, spec: JobSpec) -> None:
        """Report a job that can no longer meet its target."""
        self._log(job_id, spec, "target missed")
        self._observer.target_missed(spec)

    def report_shortages(self, shortages: tuple[GuaranteeShortage, ...]) -> None:
        """Report the guarantees that the hardware cannot hold."""
        for shortage in shortages:
            _logger.warning("guarantee shortage", extra=shortage._asdict())
        self._observer.shortages(shortages)

    def _log(self, job_id: str, spec: JobSpec, text: str) -> None:
        _logger.info(
            text,
            extra={
                "job": job_id,
                "organisation": spec.organisation,
                "job_class": spec.job_class,
                "node": self._node_id,
                "correlation_id": self._correlation_ids_by_job.get(job_id, ""),
            },
        )
