"""Abstract base classes of the scheduling policies.

The default policies are in ``_slack_policy`` and ``_placement``. The baseline
that benchmarks compare them with (first come first served, first fit) is in
``_fcfs_policy`` and ``_first_fit``. Policies do no input or output and never
change the fleet: they read it and return a decision, which the scheduler
carries out.
"""

import abc
from collections.abc import Mapping
from typing import NamedTuple

from .fleet import Fleet
from .guarantees import CellTable
from .model import Configuration, JobClass, JobSpec, Placement


class QueuedJob(NamedTuple):
    """A job that waits for a placement, as passed to the order policy.

    ``submitted_at`` and ``target_at`` are Unix times in seconds; the job
    should be complete by ``target_at``. ``expected_run_s`` is the estimate of
    the order policy, in seconds. ``attempts`` is the number of attempts
    started so far, without preempted ones.
    """

    job_id: str
    spec: JobSpec
    job_class: JobClass
    submitted_at: float
    target_at: float
    expected_run_s: float
    attempts: int


class ReclaimPlan(NamedTuple):
    """A placement that becomes possible once the listed gangs have stopped."""

    placement: Placement
    gangs_to_stop: tuple[str, ...]


class Refusal(NamedTuple):
    """The error code and text for a job that is not accepted.

    ``retry_after_s`` is the time in seconds after which the caller may submit
    the job again, or None if a retry cannot succeed.
    """

    code: str
    detail: str
    retry_after_s: float | None


class ResourceUse(NamedTuple):
    """Use of the resource that limits a job in its failure domain.

    The counts are accelerators, or slots for a job without accelerators.
    ``free`` counts only the free units outside all cells. ``held_by_class``
    has the number of units in use by the jobs of each class.
    """

    total: int
    free: int
    held_by_class: Mapping[str, int]


class OrderPolicy(abc.ABC):
    """Decides the order in which the scheduler tries to place queued jobs."""

    @abc.abstractmethod
    def order(self, jobs: list[QueuedJob], now: float) -> list[QueuedJob]:
        """Return the jobs in the order in which they are to be placed."""

    @abc.abstractmethod
    def expected_run_s(self, spec: JobSpec) -> float:
        """Return the estimated run time of a job, in seconds."""

    @abc.abstractmethod
    def observe_run(self, spec: JobSpec, run_s: float, now: float) -> None:
        """Update the run time estimates after a job has completed."""

    @abc.abstractmethod
    def observe_service(
        self, spec: JobSpec, accelerator_seconds: float, now: float
    ) -> None:
        """Add to the service that a caller and its organisation received."""

    def leaves_headroom(self, job: QueuedJob, use: ResourceUse, now: float) -> bool:
        """Return whether enough free capacity remains if the job starts now.

        A job for which this is false is placed only within cells.
        """
        return True


class PlacementPolicy(abc.ABC):
    """Chooses the workers and accelerators of a gang."""

    @abc.abstractmethod
    def place(
        self,
        spec: JobSpec,
        fleet: Fleet,
        guarantees: CellTable,
        avoid: frozenset[str] = frozenset(),
    ) -> Placement | None:
        """Return a placement on free resources that keeps all guarantees.

        Args:
            spec: The job to place.
            fleet: Workers with their free resources.
            guarantees: The cells, which determine the accelerators that the
                job may use.
            avoid: Ids of workers that must not be used.

        Returns:
            The placement of all tasks, or None if the gang does not fit.
        """

    @abc.abstractmethod
    def largest_gang(self, fleet: Fleet) -> int:
        """Return the size, in accelerators, of the largest placeable gang."""


class ReclaimPolicy(abc.ABC):
    """Chooses the borrowers to stop for a job that is within its guarantee."""

    @abc.abstractmethod
    def reclaim(
        self,
        spec: JobSpec,
        fleet: Fleet,
        guarantees: CellTable,
        avoid: frozenset[str] = frozenset(),
    ) -> ReclaimPlan | None:
        """Return a plan within the cells of the job's organisation, or None.

        Args:
            spec: The job that is within its organisation's guarantee.
            fleet: Workers with their free resources and their gangs.
            guarantees: The cells of the failure domain.
            avoid: Ids of workers that must not be used, such as those on
                which borrowers are being stopped for another job.
        """


class QueueSize(NamedTuple):
    """Numbers of queued jobs that the limits on a new job apply to.

    ``total`` counts all queued jobs of the failure domain, ``of_group`` those
    of the new job's organisation and class, and ``of_caller`` those of its
    caller within that group.
    """

    total: int
    of_group: int
    of_caller: int


class AdmissionPolicy(abc.ABC):
    """Decides whether a submitted job is accepted into the queue."""

    @abc.abstractmethod
    def admit(
        self,
        spec: JobSpec,
        queued: QueueSize,
        fleet: Fleet,
        configuration: Configuration,
    ) -> Refusal | None:
        """Return None to accept the job, or the reason why it is refused.

        After a change of the owner of the failure domain, the fleet is empty
        until the new owner has discovered the workers.
        """


class HealthPolicy(abc.ABC):
    """Detects faulty workers, on which tasks fail that succeed elsewhere."""

    @abc.abstractmethod
    def observe(self, worker_id: str, job_id: str, failed: bool, now: float) -> None:
        """Record the outcome of a task that ended on a worker."""

    @abc.abstractmethod
    def quarantined(self, now: float) -> frozenset[str]:
        """Return the workers that are excluded from placement at ``now``."""

    @abc.abstractmethod
    def probes(self, now: float) -> frozenset[str]:
        """Return quarantined workers that may take one job as a probe.

        Only idempotent jobs are used as probes.
        """

    @abc.abstractmethod
    def forget(self, worker_id: str) -> None:
        """Delete the recorded outcomes of a worker that was lost."""

    @abc.abstractmethod
    def next_probe_at(self, now: float) -> float | None:
        """Return the time when the next quarantined worker may be probed.

        Returns:
            A Unix time in seconds, or None if no quarantine ends later.
        """


class PolicySet(NamedTuple):
    """The policies that one scheduler uses."""

    order: OrderPolicy
    placement: PlacementPolicy
    reclaim: ReclaimPolicy
    admission: AdmissionPolicy
    health: HealthPolicy


def slack_policies() -> PolicySet:
    """Return new instances of the default policies, without learned state."""
    from ._placement import BestFitPlacement, CellReclaim
    from ._slack_policy import FailureStreakHealth, SlackAdmission, SlackOrder

    return PolicySet(
        SlackOrder(),
        BestFitPlacement(),
        CellReclaim(),
        SlackAdmission(),
        FailureStreakHealth(),
    )


def fcfs_policies() -> PolicySet:
    """Return the baseline policies: first come first served, first fit."""
    from ._fcfs_policy import FcfsOrder, NoHealth, NoReclaim, TotalAdmission
    from ._first_fit import FirstFitPlacement

    return PolicySet(
        FcfsOrder(), FirstFitPlacement(), NoReclaim(), TotalAdmission(), NoHealth()
    )
