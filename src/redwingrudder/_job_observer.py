"""What the dispatcher tells about jobs, for metrics."""

import abc

from .model import GuaranteeShortage, JobSpec, JobView


class JobObserver(abc.ABC):
    """Told about jobs by the dispatcher; must return at once."""

    @abc.abstractmethod
    def job_submitted(self, spec: JobSpec) -> None:
        """Take note of a job that was accepted."""

    def job_started(self, spec: JobSpec) -> None:
        """Take note of a job that began to run; by default nothing."""

    @abc.abstractmethod
    def job_finished(self, view: JobView, spec: JobSpec) -> None:
        """Take note of a job whose final answer is available."""

    @abc.abstractmethod
    def target_missed(self, spec: JobSpec) -> None:
        """Take note of a job that can no longer meet its target."""

    @abc.abstractmethod
    def shortages(self, shortages: tuple[GuaranteeShortage, ...]) -> None:
        """Take note of the guarantees that the hardware cannot hold."""


class SilentObserver(JobObserver):
    """Ignores everything."""

    def job_submitted(self, spec: JobSpec) -> None:
        """See base class."""

    def job_finished(self, view: JobView, spec: JobSpec) -> None:
        """See base class."""

    def target_missed(self, spec: JobSpec) -> None:
        """See base class."""

    def shortages(self, shortages: tuple[GuaranteeShortage, ...]) -> None:
        """See base class."""
