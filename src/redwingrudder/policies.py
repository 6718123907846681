"""Interfaces of the decisions that vary between policies.

The shipped implementation is in ``_slack_policy``, the baseline for
comparison (first come first served, first fit) in ``_fcfs_policy``.
Policies are pure: they read the fleet and return what to do.
"""

import abc
from collections.abc import Mapping
from typing import NamedTuple

from .fleet import Fleet
from .guarantees import CellTable
from .model import Configuration, JobClass, JobSpec, Placement


class QueuedJob(NamedTuple):
    """A job that waits for a placement, as order policies see it.

    ``target_at`` is the absolute time by which the job should be complete.
    ``expected_run_s`` is learned; ``attempts`` counts gangs that started.
    """

    job_id: str
    spec: JobSpec
    job_class: JobClass
    submitted_at: float
    target_at: float
    expected_run_s: float
    attempts: int


class ReclaimPlan(NamedTuple):
    """A placement that is possible once the named gangs have stopped."""

    placement: Placement
    gangs_to_stop: tuple[str, ...]


class Refusal(NamedTuple):
    """Why a job is not accepted; ``retry_after_s`` is None for never."""

    code: str
    detail: str
    retry_after_s: float | None


class ResourceUse(NamedTuple):
    """Accelerators, or slots when a job takes no accelerators.

    ``free`` counts those outside all cells; ``held_by_class`` all that are
    held, by class.
    """

    total: int
    free: int
    held_by_class: Mapping[str, int]


class OrderPolicy(abc.ABC):
    """Decides which queued jobs are tried first."""

    @abc.abstractmethod
    def order(self, jobs: list[QueuedJob], now: float) -> list[QueuedJob]:
        """Return the jobs in the order in which placement is tried."""

    @abc.abstractmethod
    def expected_run_s(self, spec: JobSpec) -> float:
        """Return the run time to expect for a job, in seconds."""

    @abc.abstractmethod
    def observe_run(self, spec: JobSpec, run_s: float, now: float) -> None:
        """Learn from a job that ran to its end."""

    @abc.abstractmethod
    def observe_service(
        self, spec: JobSpec, accelerator_seconds: float, now: float
    ) -> None:
        """Account for service that a caller and organisation received."""

    def leaves_headroom(self, job: QueuedJob, use: ResourceUse, now: float) -> bool:
        """Whether other work keeps enough room when a job starts now.

        A job for which this is false is placed only within cells.
        """
        return True


class PlacementPolicy(abc.ABC):
    """Finds accelerators for a gang."""

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
            fleet: Workers and what is held on them.
            guarantees: Which accelerators the job may use.
            avoid: Workers that must not be used.
        """

    @abc.abstractmethod
    def largest_gang(self, fleet: Fleet) -> int:
        """Return the largest gang of accelerators that could be placed now."""


class ReclaimPolicy(abc.ABC):
    """Chooses which borrowers stop for work that is within its guarantee."""

    @abc.abstractmethod
    def reclaim(
        self,
        spec: JobSpec,
        fleet: Fleet,
        guarantees: CellTable,
        avoid: frozenset[str] = frozenset(),
    ) -> ReclaimPlan | None:
        """Return a plan within the organisation's own cells, or None.

        Args:
            spec: The job that is within its organisation's guarantee.
            fleet: Workers and what is held on them.
            guarantees: The cells.
            avoid: Workers that must not be used, such as those on which
                borrowers are being stopped for another job.
        """


class QueueSize(NamedTuple):
    """Queued jobs: all, of one organisation and class, of one caller in it."""

    total: int
    of_group: int
    of_caller: int


class AdmissionPolicy(abc.ABC):
    """Bounds the queue."""

    @abc.abstractmethod
    def admit(
        self,
        spec: JobSpec,
        queued: QueueSize,
        fleet: Fleet,
        configuration: Configuration,
    ) -> Refusal | None:
        """Return None to accept the job, or why it is refused.

        The fleet is empty until it is known after a change of the owner.
        """


class HealthPolicy(abc.ABC):
    """Finds workers that fail whatever they start."""

    @abc.abstractmethod
    def observe(self, worker_id: str, job_id: str, failed: bool, now: float) -> None:
        """Learn from a task that ended on a worker."""

    @abc.abstractmethod
    def quarantined(self, now: float) -> frozenset[str]:
        """Return the workers that get no work at this time."""

    @abc.abstractmethod
    def probes(self, now: float) -> frozenset[str]:
        """Return quarantined workers that may take one idempotent job."""

    @abc.abstractmethod
    def forget(self, worker_id: str) -> None:
        """Drop what is known of a worker that was lost."""

    @abc.abstractmethod
    def next_probe_at(self, now: float) -> float | None:
        """Return when the next quarantine becomes a probe, if any."""


class PolicySet(NamedTuple):
    """One implementation of each policy."""

    order: OrderPolicy
    placement: PlacementPolicy
    reclaim: ReclaimPolicy
    admission: AdmissionPolicy
    health: HealthPolicy


def slack_policies() -> PolicySet:
    """Return the shipped policies, with nothing learned yet."""
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
    """Return the baseline: first come first served, first fit."""
    from ._fcfs_policy import FcfsOrder, NoHealth, NoReclaim, TotalAdmission
    from ._first_fit import FirstFitPlacement

    return PolicySet(
        FcfsOrder(), FirstFitPlacement(), NoReclaim(), TotalAdmission(), NoHealth()
    )
