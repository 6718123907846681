"""Events that the scheduler handles and effects that it returns.

Events and effects are plain values. The dispatcher converts the messages
that it receives from sockets into events and carries out the effects. Tests
and the benchmark do the same with fakes.
"""

from typing import NamedTuple

from .model import (
    Configuration,
    GuaranteeShortage,
    JobSpec,
    JobState,
    MemberPlacement,
    TaskResult,
    WorkerReport,
)


class ConfigurationChanged(NamedTuple):
    """A configuration with a higher version came into force."""

    configuration: Configuration


class WorkerClaimed(NamedTuple):
    """A worker accepted this owner's epoch and reported its gang members."""

    report: WorkerReport


class WorkerLost(NamedTuple):
    """A worker restarted, or its lease is certain to have expired."""

    worker_id: str
    reason: str


class WorkerDraining(NamedTuple):
    """A worker is shutting down and accepts no new work."""

    worker_id: str


class RecoveryEnded(NamedTuple):
    """The new owner has finished claiming its workers.

    Each worker has answered the claim or is lost, or the time limit of the
    recovery has passed.
    """


class JobSubmitted(NamedTuple):
    """A job was accepted by this owner or by a previous one.

    Attributes:
        submitted_at: Time of submission in seconds since the Unix epoch.
        recorded: Whether the store holds the job.
        start_recorded: Whether a previous owner had already recorded the
            start of this non-idempotent job.
    """

    job_id: str
    spec: JobSpec
    submitted_at: float
    recorded: bool
    start_recorded: bool = False


class CancelRequested(NamedTuple):
    """A caller requested the cancellation of a job."""

    job_id: str


class ReserveAnswered(NamedTuple):
    """A worker accepted or refused a reservation.

    ``reason`` is the worker's refusal code.
    """

    gang_id: str
    worker_id: str
    accepted: bool
    reason: str = ""


class StartRecordAnswered(NamedTuple):
    """The store accepted or refused a start record.

    ``reason`` says why the record was refused.
    """

    gang_id: str
    accepted: bool
    reason: str = ""


class StartAnswered(NamedTuple):
    """A worker accepted or refused the start of a member.

    ``reason`` is the worker's refusal code.
    """

    gang_id: str
    worker_id: str
    accepted: bool
    reason: str = ""


class ReleaseAnswered(NamedTuple):
    """A worker confirmed that it has released a gang member."""

    gang_id: str
    worker_id: str


class TaskEnded(NamedTuple):
    """A task completed, failed or was stopped."""

    gang_id: str
    worker_id: str
    result: TaskResult


class Tick(NamedTuple):
    """The time requested with ``ScheduleWakeUp`` has been reached."""


Event = (
    ConfigurationChanged
    | WorkerClaimed
    | WorkerLost
    | WorkerDraining
    | RecoveryEnded
    | JobSubmitted
    | CancelRequested
    | ReserveAnswered
    | StartRecordAnswered
    | StartAnswered
    | ReleaseAnswered
    | TaskEnded
    | Tick
)


class ReserveMember(NamedTuple):
    """Reserve the accelerators and slots of a gang member on its worker."""

    gang_id: str
    job_id: str
    spec: JobSpec
    submitted_at: float
    member: MemberPlacement
    gang_members: int


class RecordStart(NamedTuple):
    """Record in the store that a non-idempotent job is about to start."""

    gang_id: str
    job_id: str


class StartMember(NamedTuple):
    """Start a reserved member; sent only after all members are reserved."""

    gang_id: str
    worker_id: str


class ReleaseMember(NamedTuple):
    """Release a reservation, or the results retained for an ended member."""

    gang_id: str
    worker_id: str


class StopMember(NamedTuple):
    """Stop a started member, after a checkpoint if ``checkpoint`` is true."""

    gang_id: str
    worker_id: str
    checkpoint: bool


class JobChanged(NamedTuple):
    """A job entered a state; ``results`` is set if it succeeded."""

    job_id: str
    state: JobState
    reason: str
    results: tuple[str, ...] = ()


class TargetMissed(NamedTuple):
    """A job can no longer meet the target of its class."""

    job_id: str
    organisation: str
    job_class: str


class ShortagesChanged(NamedTuple):
    """The set of guarantees that the available workers cannot hold changed."""

    shortages: tuple[GuaranteeShortage, ...]


class ScheduleWakeUp(NamedTuple):
    """Request a ``Tick`` at time ``at`` (Unix seconds).

    A later request replaces an earlier one.
    """

    at: float


Effect = (
    ReserveMember
    | RecordStart
    | StartMember
    | ReleaseMember
    | StopMember
    | JobChanged
    | TargetMissed
    | ShortagesChanged
    | ScheduleWakeUp
)
