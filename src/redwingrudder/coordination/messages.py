"""Messages between the actors of a node that schedules workflows.

Each docstring begins with the receiving actor, or with the sender of a message
that goes to subscribers. "Tells" stands for a message without a reply, "Asks"
for one with a reply.
"""

from typing import NamedTuple

from ..workflows.advice import Tickets
from ..workflows.model import (
    AskAdvice,
    PollWorker,
    StartRun,
    StopRun,
    TaskKey,
    ThrottleRun,
    WorkerFacts,
    Workflow,
)
from .gateways import CommandReply, OperatorConfiguration, WorkerReport


class ConfigurationInForce(NamedTuple):
    """Tells subscribers that a newer configuration version is in force."""

    configuration: OperatorConfiguration


class GetConfigurationDocument(NamedTuple):
    """Asks CONFIGURATION for its document.

    The reply is "" if its version is not above ``above_version``.
    """

    above_version: int


class NewerConfigurationSeen(NamedTuple):
    """Tells CONFIGURATION that a peer has a version that this node has not.

    Attributes:
        version: Configuration version in force at the peer.
        address: "host:port" of the peer's thrift server.
    """

    version: int
    address: str


class NewestConfigurationVersion(NamedTuple):
    """CONFIGURATION tells subscribers the newest version that a peer has.

    Attributes:
        version: Higher than the version in force on this node.
    """

    version: int


class NodeSummary(NamedTuple):
    """State that nodes exchange with each other.

    Attributes:
        node_id: Name of the node.
        address: "host:port" of its thrift server.
        incarnation: Random id of its process.
        configuration_version: Configuration version in force on the node.
        coordinator_id: Node that it considers the coordinator; "" if there is
            none.
        coordinator_address: "host:port" of that coordinator.
        term: Term of that coordinator.
        store_available: Whether the store answered its latest calls.
        unix_time: Its time of day in seconds since the Unix epoch.
        store_answered_at: Time at which the store last answered it, in
            node-clock seconds of the node that keeps the summary.
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
    store_answered_at: float = 0.0


class CoordinatorKnown(NamedTuple):
    """LEADERSHIP tells its subscribers which node is the coordinator.

    PEERS sends it to INTAKE as well, when a peer reports a higher term.

    Attributes:
        node_id: Name of the coordinator; "" if there is none.
        address: "host:port" of its thrift server, or "".
        term: Its term, or 0.
    """

    node_id: str
    address: str
    term: int


class CoordinatorUnreachable(NamedTuple):
    """Tells LEADERSHIP that the coordinator's process refuses connections.

    PEERS sends it with the "host:port" of that process.
    """

    address: str


class BeginTerm(NamedTuple):
    """Tells COORDINATOR that this node was elected and leads from now on.

    Attributes:
        term: Number of the term, from which the fencing tokens of commands
            are derived.
        term_revision: Store revision of the term's key; writes to the store
            are made conditional on it.
        authority_ends_at: Time in node-clock seconds until which the lease of
            the coordinator's record is known to be in force.
        requested_at: Time in node-clock seconds before the request that began
            the term, None if unknown.
        terms_seen_at: Terms of which this node has seen the coordinator's
            record, with the node-clock seconds at which it first did.
    """

    term: int
    term_revision: int
    authority_ends_at: float
    requested_at: float | None = None
    terms_seen_at: tuple[tuple[int, float], ...] = ()


class EndTerm(NamedTuple):
    """Tells COORDINATOR that this node no longer leads."""

    reason: str


class Fenced(NamedTuple):
    """Tells LEADERSHIP that a higher term exists.

    ``source`` names the worker, machine or store that rejected this term.
    """

    source: str


class Resign(NamedTuple):
    """Tells LEADERSHIP to end the term, so that another node is elected.

    It is sent when this node cannot do the coordinator's work.
    """

    reason: str


class LeaseConfirmed(NamedTuple):
    """Tells COORDINATOR that the coordinator record's lease is in force.

    It is sent when the lease was renewed.

    Attributes:
        term: Term of the record.
        until: Expiry time of the lease in node-clock seconds.
    """

    term: int
    until: float


class StoreAvailability(NamedTuple):
    """STORE tells its subscribers when the store stops or starts to answer."""

    available: bool


class StoreAnswered(NamedTuple):
    """STORE tells its subscribers that the store has just answered a call."""


class SubmitWorkflow(NamedTuple):
    """Asks INTAKE to store a workflow.

    The reply is True once the workflow is stored, or if its id was cancelled
    before; otherwise the call fails with an exception.

    Attributes:
        workflow: The submitted workflow.
        timeout_s: Seconds after which the caller no longer needs a reply.
    """

    workflow: Workflow
    timeout_s: float


class CancelWorkflow(NamedTuple):
    """Asks INTAKE to store a cancellation, also of an unknown id.

    The reply says whether the workflow exists; the call fails if the store
    does not answer within ``timeout_s`` seconds.
    """

    workflow_id: str
    timeout_s: float


class GetState(NamedTuple):
    """Asks INTAKE or COORDINATOR for a workflow's state; "" if unknown."""

    workflow_id: str


class GetQueueLength(NamedTuple):
    """Asks INTAKE or COORDINATOR for a queue's length.

    The reply is the number of workflows of which no task has started.
    """

    queue: str


class WorkflowStored(NamedTuple):
    """Tells COORDINATOR that a workflow was written to the store."""

    workflow_id: str
    document: str


class CancelStored(NamedTuple):
    """Tells COORDINATOR that a cancellation was written to the store."""

    workflow_id: str


class WorkerPolled(NamedTuple):
    """Tells COORDINATOR what a worker reported in its reply to a poll.

    Attributes:
        worker_id: The worker.
        report: Its report.
        fence: Fencing token of the session that polled.
        sent_at: Node-clock time at which the poll was sent.
    """

    worker_id: str
    report: WorkerReport
    fence: int
    sent_at: float


class WorkerSilent(NamedTuple):
    """Tells COORDINATOR that a worker has stopped answering.

    Attributes:
        worker_id: The worker.
        fence: Fencing token of its session.
    """

    worker_id: str
    fence: int


class WorkerLeaseLapsed(NamedTuple):
    """Tells COORDINATOR that a silent worker's lease has certainly expired.

    Nothing that the worker ran under this lease is running any more.

    Attributes:
        worker_id: The worker.
        fence: Fencing token of its session.
        restarted: Whether the worker's process is known to have ended.
        unanswered_starts: Runs whose starts were sent and not answered.
    """

    worker_id: str
    fence: int
    restarted: bool = False
    unanswered_starts: frozenset[tuple[TaskKey, int]] = frozenset()


class ProcessReplaced(NamedTuple):
    """Tells COORDINATOR that a worker has restarted under its id.

    The session is closed. The new process may carry out calls of the session
    until a new session calls it.

    Attributes:
        worker_id: The worker.
        fence: Fencing token of the closed session.
        process_started_ms: Start time of the new process in milliseconds.
        unanswered_starts: Runs whose starts were sent and not answered.
    """

    worker_id: str
    fence: int
    process_started_ms: int
    unanswered_starts: frozenset[tuple[TaskKey, int]]


class StartSettled(NamedTuple):
    """Tells COORDINATOR the final outcome of a start command.

    Attributes:
        run: The run.
        reply: Reply of the worker, or a rejection once it is certain that the
            run will not begin.
        fence: Fencing token of the session that sent the start.
        unanswered_at: Node-clock seconds at which the latest attempt without a
            reply had been sent, None if all attempts were answered or not
            sent. The worker, or its next process, may still carry it out.
        process_started_ms: Start time of the process that the session is with,
            in Unix milliseconds, 0 if unknown.
    """

    run: StartRun
    reply: CommandReply
    fence: int
    unanswered_at: float | None = None
    process_started_ms: int = 0


class ThrottleUnanswered(NamedTuple):
    """Tells COORDINATOR that a throttle command was not accepted."""

    run: ThrottleRun


class AdviceGiven(NamedTuple):
    """Tells COORDINATOR the reply of the advice service.

    Attributes:
        request: The request that was sent to the service.
        tickets: The reply; None if the request failed.
    """

    request: AskAdvice
    tickets: Tickets | None


class AcknowledgeEnds(NamedTuple):
    """Tells a worker session that ends are recorded in the store.

    All ends of runs with numbers up to ``number`` may be acknowledged to the
    worker.
    """

    number: int


class UpdateFacts(NamedTuple):
    """Tells a worker session the worker's newest registry entry."""

    facts: WorkerFacts


class RegistryEntryRemoved(NamedTuple):
    """Tells a worker session that the registry no longer lists the worker.

    ``drained`` says that the worker had announced that it would leave, and
    that the announced time has passed.
    """

    drained: bool


SessionCommand = StartRun | StopRun | ThrottleRun | PollWorker


class Drain(NamedTuple):
    """Tells an actor that the node shuts down.

    The actor finishes its current work and accepts nothing new.
    """


class StoreForPeer(NamedTuple):
    """Asks INTAKE to store a workflow for a peer that cannot use the store.

    INTAKE also announces the workflow to the coordinator if it has stored it.
    """

    workflow_id: str
    document: str


class CancelForPeer(NamedTuple):
    """Asks INTAKE to store a cancellation for a peer.

    The reply says whether the workflow exists.
    """

    workflow_id: str


class ReadStateForPeer(NamedTuple):
    """Asks INTAKE to read a workflow's state from the store for a peer.

    The reply is "" if the workflow does not exist.
    """

    workflow_id: str
