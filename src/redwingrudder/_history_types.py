"""Entries of a history; ``at`` is the time in seconds on one clock."""

from typing import NamedTuple

from .model import Epoch, JobState, TaskOutcome


class JobRequested(NamedTuple):
    """A caller asked for a job, for the first time or again."""

    at: float
    job_id: str
    idempotent: bool
    tasks: int


class AnswerGiven(NamedTuple):
    """A caller was told a final state; ``durable`` as in ``JobView``."""

    at: float
    job_id: str
    state: JobState
    durable: bool
    results: tuple[str, ...]


class WorkerBooted(NamedTuple):
    """A worker started anew; whatever it held is gone."""

    at: float
    worker_id: str
    boot_id: str


class CommandAccepted(NamedTuple):
    """A worker accepted a command or claim of an epoch."""

    at: float
    worker_id: str
    boot_id: str
    epoch: Epoch


class MemberReserved(NamedTuple):
    """A worker holds a gang member; ``members`` is the size of the gang."""

    at: float
    worker_id: str
    gang_id: str
    job_id: str
    members: int


class MemberStarted(NamedTuple):
    """A worker started a gang member."""

    at: float
    worker_id: str
    gang_id: str
    job_id: str
    tasks: tuple[int, ...]


class TaskFinished(NamedTuple):
    """A task ended, by itself or because it was stopped."""

    at: float
    worker_id: str
    gang_id: str
    job_id: str
    task_index: int
    outcome: TaskOutcome
    result: str


class MemberReleased(NamedTuple):
    """A worker holds nothing of a gang member any more."""

    at: float
    worker_id: str
    gang_id: str


class EpochTaken(NamedTuple):
    """A node began to own a failure domain, or raised its epoch."""

    at: float
    node_id: str
    failure_domain: str
    epoch: Epoch


class LeavingListed(NamedTuple):
    """The VM list shows a worker as leaving."""

    at: float
    worker_id: str


class DrainAnnounced(NamedTuple):
    """A worker announced its own stop."""

    at: float
    worker_id: str


class NodeUp(NamedTuple):
    """A node started, or was woken after it had been frozen."""

    at: float
    node_id: str


class NodeDown(NamedTuple):
    """A node stopped, was killed or frozen; ``planned`` is a shutdown."""

    at: float
    node_id: str
    planned: bool


class RequestBegun(NamedTuple):
    """A node took a request."""

    at: float
    node_id: str
    request_id: str


class RequestEnded(NamedTuple):
    """The request got an answer or a refusal."""

    at: float
    node_id: str
    request_id: str


class StoreOutage(NamedTuple):
    """The store answered nobody from ``at`` until ``until``."""

    at: float
    until: float


class StoreCut(NamedTuple):
    """One node could not reach the store from ``at`` until ``until``."""

    at: float
    until: float
    node_id: str


class ConfigurationAccepted(NamedTuple):
    """An operator was told that a change is accepted."""

    at: float
    version: int
    document: str


class ConfigurationRefused(NamedTuple):
    """An operator was told that a change is refused."""

    at: float
    document: str


class ConfigurationInForce(NamedTuple):
    """A node put a version in force."""

    at: float
    node_id: str
    version: int
    document: str


class Violation(NamedTuple):
    """An invariant that a history breaks."""

    at: float
    invariant: str
    description: str


Entry = (
    JobRequested
    | AnswerGiven
    | WorkerBooted
    | CommandAccepted
    | MemberReserved
    | MemberStarted
    | TaskFinished
    | MemberReleased
    | EpochTaken
    | LeavingListed
    | DrainAnnounced
    | NodeUp
    | NodeDown
    | RequestBegun
    | RequestEnded
    | StoreOutage
    | StoreCut
    | ConfigurationAccepted
    | ConfigurationRefused
    | ConfigurationInForce
)
