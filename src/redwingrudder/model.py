"""Value types shared by all parts.

Times are seconds of the node's clock since the Unix epoch unless a name says
otherwise. Identifiers are plain strings that are unique in a deployment.
"""

import enum
from typing import NamedTuple


class Epoch(NamedTuple):
    """Fencing token of the owner of a failure domain, ordered as a tuple.

    ``store_term`` rises with each acquisition through the platform store,
    ``local_term`` with each succession while the store is unreachable, and
    ``node_rank`` separates two candidates of the same term.
    """

    store_term: int
    local_term: int
    node_rank: int


class WorkerInfo(NamedTuple):
    """What is known of a worker before any work is placed on it."""

    worker_id: str
    address: str
    failure_domain: str
    rack: str
    accelerators: int
    slots: int
    cores: int
    memory_mb: int


class JobSpec(NamedTuple):
    """A job as its caller described it.

    All ``tasks`` run as one gang. A task takes one slot of its worker,
    ``accelerators_per_task`` adjacent accelerators of that worker (none is
    allowed), ``cores_per_task`` cores and ``memory_mb_per_task`` MB.
    ``stop_bound_s`` is the time within which a preemptible task has stopped
    after a checkpoint was requested. ``payload`` is passed to the tasks. A job
    that has not started ``expire_s`` seconds after submission ends as
    ``not_run``; 0 means that it never expires.
    """

    organisation: str
    job_class: str
    caller: str
    idempotency_key: str
    tasks: int
    accelerators_per_task: int
    cores_per_task: int
    memory_mb_per_task: int
    idempotent: bool
    preemptible: bool
    declared_run_s: float
    stop_bound_s: float
    payload: str
    expire_s: float = 0.0

    @property
    def accelerators(self) -> int:
        """Accelerators of the whole gang."""
        return self.tasks * self.accelerators_per_task


class JobState(enum.StrEnum):
    """States of a job as callers see them; they match ``job.scxml``."""

    QUEUED = "queued"
    PLACING = "placing"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    NOT_RUN = "not_run"
    INTERRUPTED = "interrupted"


FINAL_JOB_STATES = frozenset(
    {
        JobState.SUCCEEDED,
        JobState.FAILED,
        JobState.NOT_RUN,
        JobState.INTERRUPTED,
    }
)


class MemberPlacement(NamedTuple):
    """The part of a gang that is placed on one worker.

    ``accelerators`` are indexes on that worker, ``tasks`` are the indexes of
    the tasks within the gang; the accelerators are split over the tasks in
    order.
    """

    worker_id: str
    accelerators: tuple[int, ...]
    tasks: tuple[int, ...]


class Placement(NamedTuple):
    """A full placement of a gang; ``borrowed`` is true on foreign cells."""

    members: tuple[MemberPlacement, ...]
    borrowed: bool = False


class TaskOutcome(enum.StrEnum):
    """How one task ended on its worker."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"


class TaskResult(NamedTuple):
    """The part of an answer that one task produced."""

    task_index: int
    outcome: TaskOutcome
    result: str


class MemberState(enum.StrEnum):
    """State of a gang member as its worker reports it."""

    RESERVED = "reserved"
    STARTED = "started"
    ENDED = "ended"


class MemberReport(NamedTuple):
    """A gang member that a worker holds, sent when an owner claims it."""

    gang_id: str
    job_id: str
    spec: JobSpec
    submitted_at: float
    placement: MemberPlacement
    gang_members: int
    state: MemberState
    results: tuple[TaskResult, ...]


class WorkerReport(NamedTuple):
    """Everything a worker holds, sent when an owner claims it."""

    worker: WorkerInfo
    boot_id: str
    draining: bool
    members: tuple[MemberReport, ...]


class Shape(NamedTuple):
    """One guaranteed shape: ``copies`` gangs of adjacent accelerators."""

    accelerators: int
    copies: int


class Organisation(NamedTuple):
    """An organisation and the shapes that are guaranteed to it."""

    name: str
    guarantees: tuple[Shape, ...]


class JobClass(NamedTuple):
    """A class of work with its target.

    Exactly one of ``target_s`` (seconds from submission to completion) and
    ``finish_by`` (time of day, "HH:MM" UTC) is set.
    """

    name: str
    target_s: float | None
    finish_by: str | None


class CellAssignment(NamedTuple):
    """The failure domain that holds one copy of a guaranteed shape."""

    organisation: str
    shape_index: int
    copy_index: int
    failure_domain: str


class Configuration(NamedTuple):
    """The operators' configuration in force, ordered by ``version``."""

    version: int
    organisations_by_name: dict[str, Organisation]
    classes_by_name: dict[str, JobClass]
    cells: tuple[CellAssignment, ...]


class GuaranteeShortage(NamedTuple):
    """A guaranteed copy that the surviving hardware cannot hold."""

    organisation: str
    shape_index: int
    copy_index: int
    missing_accelerators: int
    since: float


class JobView(NamedTuple):
    """What a caller is told of a job.

    ``results`` holds one entry for each task, ordered by task index, once
    the job has succeeded. ``durable`` is false when the job was accepted
    while the platform store was unreachable.
    """

    job_id: str
    organisation: str
    job_class: str
    state: JobState
    reason: str
    durable: bool
    target_missed: bool
    submitted_at: float
    finished_at: float | None
    results: tuple[str, ...]
