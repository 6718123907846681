"""Baseline policies around first-fit placement; they learn nothing."""

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
    """First come first served."""

    def order(self, jobs: list[QueuedJob], now: float) -> list[QueuedJob]:
        """Order by the time of submission."""
        return sorted(jobs, key=lambda job: (job.submitted_at, job.job_id))

    def expected_run_s(self, spec: JobSpec) -> float:
        """Return the declared run time."""
        return spec.declared_run_s

    def observe_run(self, spec: JobSpec, run_s: float, now: float) -> None:
        """Learn nothing."""

    def observe_service(
        self, spec: JobSpec, accelerator_seconds: float, now: float
    ) -> None:
        """Learn nothing."""


class NoReclaim(ReclaimPolicy):
    """Never stops a borrower."""

    def reclaim(
        self,
        spec: JobSpec,
        fleet: Fleet,
        guarantees: CellTable,
        avoid: frozenset[str] = frozenset(),
    ) -> ReclaimPlan | None:
        """Return None."""
        return None


class TotalAdmission(AdmissionPolicy):
    """Bounds the queue in total only."""

    def admit(
        self,
        spec: JobSpec,
        queued: QueueSize,
        fleet: Fleet,
        configuration: Configuration,
    ) -> Refusal | None:
        """Refuse what exceeds the bound."""
        if queued.total < QUEUED_TOTAL_LIMIT:
            return None
        detail = f"{queued.total} jobs are queued, the limit is {QUEUED_TOTAL_LIMIT}"
        return Refusal("overloaded", detail, OVERLOADED_RETRY_S)


class NoHealth(HealthPolicy):
    """Quarantines nothing."""

    def observe(self, worker_id: str, job_id: str, failed: bool, now: float) -> None:
        """Learn nothing."""

    def quarantined(self, now: float) -> frozenset[str]:
        """Return no worker."""
        return frozenset()

    def probes(self, now: float) -> frozenset[str]:
        """Return no worker."""
        return frozenset()

    def forget(self, worker_id: str) -> None:
        """Keep nothing to forget."""

    def next_probe_at(self, now: float) -> float | None:
        """Return None."""
        return None
