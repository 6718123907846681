"""Value types shared by all parts of the scheduler.

Times are seconds since the Unix epoch on the node's clock unless a name says
otherwise. Identifiers are strings that are unique within a deployment.
"""

import enum
from typing import NamedTuple


class Epoch(NamedTuple):
    """Fencing token of the owner of a failure domain, ordered as a tuple.

    Attributes:
        store_term: Incremented by each acquisition through the platform
            store.
        local_term: Incremented by each takeover while the store is
            unreachable.
        node_rank: Rank of the node; orders two candidates of the same term.
    """

    store_term: int
    local_term: int
    node_rank: int


class WorkerInfo(NamedTuple):
    """Identity, location and total resources of a worker."""

    worker_id: str
    address: str
    failure_domain: str
    rack: str
    accelerators: int
    slots: int
    cores: int
    memory_mb: int


class JobSpec(NamedTuple):
    """A job as described by its caller.

    All tasks run as one gang. Each task uses one slot of its worker and the
    resources given per task.

    Attributes:
        tasks: Number of tasks in the gang.
        accelerators_per_task: Adjacent accelerators of one worker for each
            task; may be 0.
        cores_per_task: CPU cores for each task.
        memory_mb_per_task: Memory for each task in MB.
        idempotent: Whether the job may run more than once.
        preemptible: Whether the job may be checkpointed and stopped.
        declared_run_s: Run time that the caller expects, in seconds.
        stop_bound_s: Seconds within which a preemptible task stops after a
            checkpoint was requested.
        payload: Input that is passed to the tasks.
        expire_s: A job that has not started this many seconds after its
            submission ends as ``not_run``; 0 means that it never expires.
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
        """Number of accelerators of the whole gang."""
        return self.tasks * self.accelerators_per_task


class JobState(enum.StrEnum):
    """Job states visible to callers, with the same names as ``job.scxml``."""

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
    """The member of a gang that is placed on one worker.

    Attributes:
        accelerators: Indexes of accelerators on the worker, divided among
            the tasks in order.
        tasks: Indexes of the tasks within the gang.
    """

    worker_id: str
    accelerators: tuple[int, ...]
    tasks: tuple[int, ...]


class Placement(NamedTuple):
    """A placement of all members of a gang.

    ``borrowed`` is true if it uses cells that are guaranteed to other
    organisations.
    """

    members: tuple[MemberPlacement, ...]
    borrowed: bool = False


class TaskOutcome(enum.StrEnum):
    """The way in which a task ended on its worker."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"


class TaskResult(NamedTuple):
    """Outcome and result of one task of a job."""

    task_index: int
    outcome: TaskOutcome
    result: str


class MemberState(enum.StrEnum):
    """State of a gang member as reported by its worker."""

    RESERVED = "reserved"
    STARTED = "started"
    ENDED = "ended"


class MemberReport(NamedTuple):
    """State of one gang member, reported by a worker to a new owner."""

    gang_id: str
    job_id: str
    spec: JobSpec
    submitted_at: float
    placement: MemberPlacement
    gang_members: int
    state: MemberState
    results: tuple[TaskResult, ...]


class WorkerReport(NamedTuple):
    """All gang members of a worker, reported when an owner claims it."""

    worker: WorkerInfo
    boot_id: str
    draining: bool
    members: tuple[MemberReport, ...]


class Shape(NamedTuple):
    """Guarantee of ``copies`` cells of ``accelerators`` adjacent ones each."""

    accelerators: int
    copies: int


class Organisation(NamedTuple):
    """An organisation and the shapes guaranteed to it."""

    name: str
    guarantees: tuple[Shape, ...]


class JobClass(NamedTuple):
    """A class of jobs with a common completion target.

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
    """Configuration set by the operators; a higher version replaces it."""

    version: int
    organisations_by_name: dict[str, Organisation]
    classes_by_name: dict[str, JobClass]
    cells: tuple[CellAssignment, ...]


class GuaranteeShortage(NamedTuple):
    """A copy of a guaranteed shape that the available workers cannot hold.

    Attributes:
        missing_accelerators: Number of accelerators that are lacking.
        since: Time at which the shortage began, in Unix seconds.
    """

    organisation: str
    shape_index: int
    copy_index: int
    missing_accelerators: int
    since: float


class JobView(NamedTuple):
    """A job as reported to callers.

    Attributes:
        reason: Reason for the current state, or empty.
        durable: False if the job was accepted while the platform store was
            unreachable and has not been recorded.
        target_missed: Whether the job missed its target or can no longer
            meet it.
        finished_at: Time at which the job ended, in Unix seconds.
        results: One result for each task, ordered by task index; set once
            the job has succeeded.
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
