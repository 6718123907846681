"""Reports events of jobs to the log and to the observer."""

import logging

from ._job_observer import JobObserver
from .model import FINAL_JOB_STATES, GuaranteeShortage, JobSpec, JobState, JobView

_logger = logging.getLogger(__name__)


class JobReporter:
    """Writes log lines about the jobs of one owner and calls the observer.

    Args:
        node_id: Id of the node that owns the failure domain.
        observer: Notified about jobs, for metrics.
    """

    def __init__(self, node_id: str, observer: JobObserver) -> None:
        self._node_id = node_id
        self._observer = observer
        self._correlation_ids_by_job: dict[str, str] = {}
        self._specs_by_ended_job: dict[str, JobSpec] = {}

    def report_accepted(self, job_id: str, spec: JobSpec, correlation_id: str) -> None:
        """Log and report that a job was accepted."""
        self._correlation_ids_by_job[job_id] = correlation_id
        self._log(job_id, spec, "job accepted")
        self._observer.job_submitted(spec)

    def report_state_change(self, job_id: str, spec: JobSpec, state: JobState) -> None:
        """Log that a job entered a state, and report the start of a run."""
        self._log(job_id, spec, f"job {state.value}")
        if state is JobState.RUNNING:
            self._observer.job_started(spec)
        if state in FINAL_JOB_STATES:
            self._correlation_ids_by_job.pop(job_id, None)
            self._specs_by_ended_job[job_id] = spec

    def report_finished(self, view: JobView) -> None:
        """Report once that callers can get the final answer of a job."""
        spec = self._specs_by_ended_job.pop(view.job_id, None)
        if spec is not None:
            self._observer.job_finished(view, spec)

    def report_target_missed(self, job_id: str, spec: JobSpec) -> None:
        """Log and report that a job can no longer meet its target."""
        self._log(job_id, spec, "target missed")
        self._observer.target_missed(spec)

    def report_shortages(self, shortages: tuple[GuaranteeShortage, ...]) -> None:
        """Log and report all guarantees for which hardware is missing."""
        for shortage in shortages:
            _logger.warning("guarantee shortage", extra=shortage._asdict())
        self._observer.shortages(shortages)

    def _log(self, job_id: str, spec: JobSpec, message: str) -> None:
        _logger.info(
            message,
            extra={
                "job": job_id,
                "organisation": spec.organisation,
                "job_class": spec.job_class,
                "node": self._node_id,
                "correlation_id": self._correlation_ids_by_job.get(job_id, ""),
            },
        )
