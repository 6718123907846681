"""Events that the scheduler takes and effects that it returns.

Events and effects are plain values. The dispatcher turns what it receives
from sockets into events and carries out the effects; tests and the bench do
the same with fakes.
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
    """A configuration of a higher version is in force."""

    configuration: Configuration


class WorkerClaimed(NamedTuple):
    """A worker accepted this owner's epoch and reported what it holds."""

    report: WorkerReport


class WorkerLost(NamedTuple):
    """A worker restarted or its lease has surely lapsed."""

    worker_id: str
    reason: str


class WorkerDraining(NamedTuple):
    """A worker is leaving and takes no new work."""

    worker_id: str


class RecoveryEnded(NamedTuple):
    """All workers answered the claim of a new owner or were given up."""


class JobSubmitted(NamedTuple):
    """A job was accepted; ``recorded`` tells that the store holds it.

    ``start_recorded`` is true when a previous owner had already recorded
    the start of this non-idempotent job.
    """

    job_id: str
    spec: JobSpec
    submitted_at: float
    recorded: bool
    start_recorded: bool = False


class CancelRequested(NamedTuple):
    """A caller wants a job cancelled."""

    job_id: str


class ReserveAnswered(NamedTuple):
    """A worker answered a reservation."""

    gang_id: str
    worker_id: str
    accepted: bool
    reason: str = ""


class StartRecordAnswered(NamedTuple):
    """The store answered the record of a start."""

    gang_id: str
    accepted: bool
    reason: str = ""


class StartAnswered(NamedTuple):
    """A worker answered a start."""

    gang_id: str
    worker_id: str
    accepted: bool
    reason: str = ""


class ReleaseAnswered(NamedTuple):
    """A worker confirmed that it no longer holds a gang member."""

    gang_id: str
    worker_id: str


class TaskEnded(NamedTuple):
    """A task ended, by itself or because it was stopped."""

    gang_id: str
    worker_id: str
    result: TaskResult


class Tick(NamedTuple):
    """The time that the scheduler set with ``ScheduleWakeUp`` has come."""


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
    """Ask a worker to hold a member's accelerators and slots."""

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
    """Start a reserved member; sent only when every member is reserved."""

    gang_id: str
    worker_id: str


class ReleaseMember(NamedTuple):
    """Drop a reservation, or the retained results of an ended member."""

    gang_id: str
    worker_id: str


class StopMember(NamedTuple):
    """Stop a started member, after a checkpoint when asked for."""

    gang_id: str
    worker_id: str
    checkpoint: bool


class JobChanged(NamedTuple):
    """A job entered a state; ``results`` are set when it succeeded."""

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
    """The guarantees that the surviving hardware cannot hold."""

    shortages: tuple[GuaranteeShortage, ...]


class ScheduleWakeUp(NamedTuple):
    """Send ``Tick`` at this time; a later effect replaces an earlier one."""

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
