"""Interface through which the dispatcher reports jobs, for metrics."""

import abc

from .model import GuaranteeShortage, JobSpec, JobView


class JobObserver(abc.ABC):
    """Notified about jobs by the dispatcher; methods must not block."""

    @abc.abstractmethod
    def job_submitted(self, spec: JobSpec) -> None:
        """Called when a job was accepted."""

    def job_started(self, spec: JobSpec) -> None:
        """Called when a job began to run; the default does nothing."""

    @abc.abstractmethod
    def job_finished(self, view: JobView, spec: JobSpec) -> None:
        """Called when callers can get the final answer of a job."""

    @abc.abstractmethod
    def target_missed(self, spec: JobSpec) -> None:
        """Called when a job can no longer meet its completion target."""

    @abc.abstractmethod
    def shortages(self, shortages: tuple[GuaranteeShortage, ...]) -> None:
        """Called with all guarantees for which hardware is missing."""


class SilentObserver(JobObserver):
    """Observer that ignores all notifications; the default."""

    def job_submitted(self, spec: JobSpec) -> None:
        """See base class."""

    def job_finished(self, view: JobView, spec: JobSpec) -> None:
        """See base class."""

    def target_missed(self, spec: JobSpec) -> None:
        """See base class."""

    def shortages(self, shortages: tuple[GuaranteeShortage, ...]) -> None:
        """See base class."""
