"""Messages between the actors of a node that serves workflows."""

from typing import NamedTuple

from ..workflows.model import (
    AskAdvice,
    StartRun,
    StopRun,
    ThrottleRun,
    WorkerFacts,
    Workflow,
)
from .gateways import Advice, CommandReply, OperatorConfiguration, WorkerReport


class ConfigurationInForce(NamedTuple):
    """Told to subscribers for each newer version."""

    configuration: OperatorConfiguration


class GetConfigurationDocument(NamedTuple):
    """Ask CONFIGURATION -> document, "" if not above the version."""

    above_version: int


class OfferConfigurationDocument(NamedTuple):
    """Tell CONFIGURATION: a peer's document."""

    document: str


class NodeSummary(NamedTuple):
    """What nodes tell each other.

    Attributes:
        node_id: Name of the node.
        address: "host:port" of its thrift server.
        incarnation: Random id of its process.
        configuration_version: Version in force.
        coordinator_id: Node that it believes to coordinate, "" unknown.
        coordinator_address: Address of that node.
        term: Term of that coordinator.
        store_available: The store answered lately.
        unix_time: Its time of day.
    """

    node_id: str
    address: str
    incarnation: str
    configuration_version: int
    coordinator_id: str
    coordinator_address: str
    term: int
    store_available: bool
    unix_time: float


class CoordinatorKnown(NamedTuple):
    """Told by LEADERSHIP: who coordinates; "" when nobody is known."""

    node_id: str
    address: str
    term: int


class CoordinatorUnreachable(NamedTuple):
    """Told by PEERS: the coordinator's process refuses connections."""

    address: str


class BeginTerm(NamedTuple):
    """Tell COORDINATOR: this node leads from now on.

    Attributes:
        term: Number of the term, the fencing token towards workers.
        term_revision: Revision of the term's key; writes depend on it.
    """

    term: int
    term_revision: int


class EndTerm(NamedTuple):
    """Tell COORDINATOR: this node no longer leads."""

    reason: str


class Fenced(NamedTuple):
    """Tell LEADERSHIP: a worker or the store knows a higher term."""

    source: str


class Resign(NamedTuple):
    """Tell LEADERSHIP: this node cannot coordinate, another one should."""

    reason: str


class LeaseConfirmed(NamedTuple):
    """Tell COORDINATOR: the record is held until a boot-clock time."""

    until: float


class StoreAvailability(NamedTuple):
    """Told by STORE to its subscribers on each change."""

    available: bool


class SubmitWorkflow(NamedTuple):
    """Ask INTAKE -> True once stored; raises otherwise.

    Attributes:
        workflow: What was submitted.
        give_up_s: Seconds in which an answer is worthwhile.
    """

    workflow: Workflow
    give_up_s: float


class CancelWorkflow(NamedTuple):
    """Ask INTAKE -> whether the workflow is known; raises if unanswered."""

    workflow_id: str
    give_up_s: float


class GetState(NamedTuple):
    """Ask INTAKE or COORDINATOR -> state text, "" for an unknown id."""

    workflow_id: str


class GetQueueLength(NamedTuple):
    """Ask INTAKE or COORDINATOR -> workflows without a started task."""

    queue: str


class WorkflowStored(NamedTuple):
    """Tell COORDINATOR: a workflow is in the store."""

    workflow_id: str
    document: str


class CancelStored(NamedTuple):
    """Tell COORDINATOR: a cancellation is in the store."""

    workflow_id: str


class WorkerPolled(NamedTuple):
    """Tell COORDINATOR: a worker answered a poll."""

    worker_id: str
    report: WorkerReport


class WorkerSilent(NamedTuple):
    """Tell COORDINATOR: a worker stopped answering."""

    worker_id: str


class WorkerLeaseLapsed(NamedTuple):
    """Tell COORDINATOR: a silent worker's lease has surely lapsed."""

    worker_id: str


class StartSettled(NamedTuple):
    """Tell COORDINATOR: a start was answered, or surely never happens."""

    run: StartRun
    reply: CommandReply


class ThrottleUnanswered(NamedTuple):
    """Tell COORDINATOR: a throttle command got no answer."""

    run: ThrottleRun


class AdviceGiven(NamedTuple):
    """Tell COORDINATOR: the answer to a question, None without one."""

    question: AskAdvice
    advice: Advice | None
    asked_at: float


class AllowLeaseExtension(NamedTuple):
    """Tell a worker session: whether leases may be extended."""

    allowed: bool


class AcknowledgeEnds(NamedTuple):
    """Tell a worker session: ends up to a number are on record."""

    number: int


class UpdateFacts(NamedTuple):
    """Tell a worker session: the registry's newest entry."""

    facts: WorkerFacts


class RegistryEntryRemoved(NamedTuple):
    """Tell a worker session: the registry no longer lists the worker.

    ``drained`` says that it had announced to leave, and that it has stayed
    for as long as it announced.
    """

    drained: bool


SessionCommand = StartRun | StopRun | ThrottleRun


class Drain(NamedTuple):
    """Tell an actor: the node shuts down; finish and take nothing new."""


class StoreForPeer(NamedTuple):
    """Ask INTAKE: store a workflow for a node that the store turns away."""

    workflow_id: str
    document: str


class CancelForPeer(NamedTuple):
    """Ask INTAKE -> whether the id is known; stores a cancellation."""

    workflow_id: str


class ReadStateForPeer(NamedTuple):
    """Ask INTAKE -> state from the store, "" for an unknown id."""

    workflow_id: str
