"""Entries of a history.

The field ``at`` is the time in seconds, on one clock for all entries.
"""

from typing import NamedTuple

from .model import Epoch, JobState, TaskOutcome


class JobRequested(NamedTuple):
    """A caller submitted a job, for the first time or again."""

    at: float
    job_id: str
    idempotent: bool
    tasks: int


class AnswerGiven(NamedTuple):
    """A caller received a final state; ``durable`` is as in ``JobView``."""

    at: float
    job_id: str
    state: JobState
    durable: bool
    results: tuple[str, ...]


class WorkerBooted(NamedTuple):
    """A worker process started; the worker holds no members after it."""

    at: float
    worker_id: str
    boot_id: str


class CommandAccepted(NamedTuple):
    """A worker accepted a command or claim that carries an epoch."""

    at: float
    worker_id: str
    boot_id: str
    epoch: Epoch


class MemberReserved(NamedTuple):
    """A worker reserved a gang member; ``members`` is the size of the gang."""

    at: float
    worker_id: str
    gang_id: str
    job_id: str
    members: int


class MemberStarted(NamedTuple):
    """A worker started the given tasks of its gang member."""

    at: float
    worker_id: str
    gang_id: str
    job_id: str
    tasks: tuple[int, ...]


class TaskFinished(NamedTuple):
    """A task ended by itself or was stopped; ``result`` is its output."""

    at: float
    worker_id: str
    gang_id: str
    job_id: str
    task_index: int
    outcome: TaskOutcome
    result: str


class MemberReleased(NamedTuple):
    """A worker released everything that it held for a gang member."""

    at: float
    worker_id: str
    gang_id: str


class EpochTaken(NamedTuple):
    """A node became owner of a failure domain, or raised its epoch."""

    at: float
    node_id: str
    failure_domain: str
    epoch: Epoch


class LeavingListed(NamedTuple):
    """The VM list shows the worker as leaving from this time on."""

    at: float
    worker_id: str


class DrainAnnounced(NamedTuple):
    """A worker announced that it will stop."""

    at: float
    worker_id: str


class NodeUp(NamedTuple):
    """A node started, or continued after it had been frozen."""

    at: float
    node_id: str


class NodeDown(NamedTuple):
    """A node stopped or was frozen; ``planned`` is true for a shutdown."""

    at: float
    node_id: str
    planned: bool


class RequestBegun(NamedTuple):
    """A node accepted a request."""

    at: float
    node_id: str
    request_id: str


class RequestEnded(NamedTuple):
    """A node answered or refused the request."""

    at: float
    node_id: str
    request_id: str


class StoreOutage(NamedTuple):
    """The store answered no node from ``at`` to ``until``."""

    at: float
    until: float


class StoreCut(NamedTuple):
    """One node could not reach the store from ``at`` to ``until``."""

    at: float
    until: float
    node_id: str


class ConfigurationAccepted(NamedTuple):
    """An operator received the reply that a change was accepted."""

    at: float
    version: int
    document: str


class ConfigurationRefused(NamedTuple):
    """An operator received the reply that a change was refused."""

    at: float
    document: str


class ConfigurationInForce(NamedTuple):
    """A node put a configuration version in force."""

    at: float
    node_id: str
    version: int
    document: str


class Violation(NamedTuple):
    """A violation of an invariant; ``invariant`` is one of I2 to I8."""

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
