"""Baseline policies used with first-fit placement; all are stateless."""

from .fleet import Fleet
from .guarantees import CellTable
from .model import Configuration, JobSpec
from .policies import (
    AdmissionPolicy,
    HealthPolicy,
    OrderPolicy,
    QueuedJob,
    QueueSize,
    ReclaimPlan,
    ReclaimPolicy,
    Refusal,
)

QUEUED_TOTAL_LIMIT = 20_000
OVERLOADED_RETRY_S = 5.0


class FcfsOrder(OrderPolicy):
    """Orders jobs first come first served and trusts declared run times."""

    def order(self, jobs: list[QueuedJob], now: float) -> list[QueuedJob]:
        """Order by the time of submission, then by job id."""
        return sorted(jobs, key=lambda job: (job.submitted_at, job.job_id))

    def expected_run_s(self, spec: JobSpec) -> float:
        """Return the declared run time, in seconds."""
        return spec.declared_run_s

    def observe_run(self, spec: JobSpec, run_s: float, now: float) -> None:
        """Do nothing: measured run times are not used."""

    def observe_service(
        self, spec: JobSpec, accelerator_seconds: float, now: float
    ) -> None:
        """Do nothing: received service does not affect the order."""


class NoReclaim(ReclaimPolicy):
    """Never stops a borrower."""

    def reclaim(
        self,
        spec: JobSpec,
        fleet: Fleet,
        guarantees: CellTable,
        avoid: frozenset[str] = frozenset(),
    ) -> ReclaimPlan | None:
        """Return None: no gang is ever stopped."""
        return None


class TotalAdmission(AdmissionPolicy):
    """Limits the total number of queued jobs, without limits per caller."""

    def admit(
        self,
        spec: JobSpec,
        queued: QueueSize,
        fleet: Fleet,
        configuration: Configuration,
    ) -> Refusal | None:
        """Refuse the job as overloaded if the queue is at its limit."""
        if queued.total < QUEUED_TOTAL_LIMIT:
            return None
        detail = f"{queued.total} jobs are queued, the limit is {QUEUED_TOTAL_LIMIT}"
        return Refusal("overloaded", detail, OVERLOADED_RETRY_S)


class NoHealth(HealthPolicy):
    """Never quarantines a worker."""

    def observe(self, worker_id: str, job_id: str, failed: bool, now: float) -> None:
        """Do nothing: outcomes are not recorded."""

    def quarantined(self, now: float) -> frozenset[str]:
        """Return an empty set."""
        return frozenset()

    def probes(self, now: float) -> frozenset[str]:
        """Return an empty set."""
        return frozenset()

    def forget(self, worker_id: str) -> None:
        """Do nothing: there is no state per worker."""

    def next_probe_at(self, now: float) -> float | None:
        """Return None: there is never a quarantined worker to probe."""
        return None
