"""Baseline policies: first come first served and first fit.

They keep the guarantees, because the placement uses only accelerators that
the guarantees allow, and learn nothing.
"""

from .fleet import Fleet, WorkerState
from .guarantees import GuaranteeBook
from .model import Configuration, JobSpec, MemberPlacement, Placement
from .policies import (
    AdmissionPolicy,
    HealthPolicy,
    OrderPolicy,
    PlacementPolicy,
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


class FirstFitPlacement(PlacementPolicy):
    """Takes workers in the order of their ids; ignores racks."""

    def place(
        self,
        spec: JobSpec,
        fleet: Fleet,
        guarantees: GuaranteeBook,
        avoid: frozenset[str] = frozenset(),
    ) -> Placement | None:
        """Return the first fit on allowed accelerators."""
        members: list[MemberPlacement] = []
        placed = 0
        for worker_id in sorted(fleet.workers_by_id):
            worker = fleet.workers_by_id[worker_id]
            if worker_id in avoid or not worker.accepts_work:
                continue
            usable = guarantees.usable_accelerators(spec, worker_id)
            count = min(_capacity(spec, worker, len(usable)), spec.tasks - placed)
            if count <= 0:
                continue
            accelerators = tuple(usable[: count * spec.accelerators_per_task])
            tasks = tuple(range(placed, placed + count))
            members.append(MemberPlacement(worker_id, accelerators, tasks))
            placed += count
            if placed == spec.tasks:
                return Placement(tuple(members))
        return None

    def largest_gang(self, fleet: Fleet) -> int:
        """Return the free accelerators, as adjacency is ignored."""
        return fleet.count_free_accelerators(fleet.placeable_workers())


class NoReclaim(ReclaimPolicy):
    """Never stops a borrower."""

    def reclaim(
        self, spec: JobSpec, fleet: Fleet, guarantees: GuaranteeBook
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

    def next_change(self, now: float) -> float | None:
        """Return None."""
        return None


def _capacity(spec: JobSpec, worker: WorkerState, usable: int) -> int:
    limits = [worker.free_slots]
    if spec.accelerators_per_task:
        limits.append(usable // spec.accelerators_per_task)
    if spec.cores_per_task:
        limits.append(worker.free_cores // spec.cores_per_task)
    if spec.memory_mb_per_task:
        limits.append(worker.free_memory_mb // spec.memory_mb_per_task)
    return min(limits)
