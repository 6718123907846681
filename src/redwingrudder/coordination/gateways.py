"""Abstract classes and data types through which a platform is accessed."""

import abc
import enum
from collections.abc import Callable
from typing import NamedTuple

from ..exceptions import UnavailableError
from ..workflows.machines import Machine
from ..workflows.maintenance import MaintenanceWave
from ..workflows.model import (
    AdviceTimes,
    QueuePolicy,
    RunEnd,
    RunReport,
    StartRun,
    StopRun,
    TaskKey,
    ThrottleRun,
    WorkerFacts,
)
from ..workflows.run_times import DEFAULT_REMOTE_FACTOR, DEFAULT_STOP_TIMEOUT_S

# Returns whether a call may still be sent.
SendCondition = Callable[[], bool]

STORE = "store"
CONFIGURATION = "configuration"
PEERS = "neighbours"
LEADERSHIP = "leadership"
COORDINATOR = "coordinator"
ADVISOR = "advisor"
INTAKE = "intake"

INTAKE_PREFIX = "intake/"
CANCEL_SUFFIX = "/cancel"
PROGRESS_PREFIX = "progress/"
NODES_PREFIX = "node/"
MAINTENANCE_PREFIX = "maintenance/"
MOVES_KEY = "machines/moves"
COORDINATOR_KEY = "coordination/holder"
TERM_KEY = "coordination/term"

DEFAULT_GANG_TIMEOUT_S = 3.0  # of deployments that do not state it
NOT_COORDINATOR_RETRY_S = 1.0  # about the duration of an election
# Share of the retention period within which a workflow that another node has
# accepted is stored for it, or is run before the store reports it. Its records
# stay for the whole period after its end; the rest is a margin for clocks that
# differ.
SUBMISSION_AGE_SHARE = 0.5


class AwaitChanges(NamedTuple):
    """Ask STORE -> ``Changes``, on the first change or after the wait.

    Args:
        prefix: Key prefix to watch.
        after: Store revision after which changes are returned.
        wait_s: Longest wait for a change, in seconds.
    """

    prefix: str
    after: int
    wait_s: float


class Change(NamedTuple):
    """One change of a key; ``value`` is None if the key was removed."""

    key: str
    value: str | None
    revision: int


class Changes(NamedTuple):
    """Changes in the order of the store.

    Attributes:
        changes: The changes, oldest first.
        revision: Revision to pass as ``after`` in the next request.
        expired: The store no longer has the history after the requested
            revision; the keys have to be read anew.
    """

    changes: tuple[Change, ...]
    revision: int
    expired: bool = False


class Queue(NamedTuple):
    """A queue of the operators' configuration.

    Attributes:
        name: Unique name.
        host: Host name of the HTTP requests that the queue serves.
        prefix: Path prefix of these requests.
        open: Whether requests need no access key.
        timeout_s: Time limit for the response to a request, in seconds.
        policy: Scheduling policy of its workflows.
        advice_times: Times of the advice service, if starts need its advice.
    """

    name: str
    host: str
    prefix: str
    open: bool
    timeout_s: float
    policy: QueuePolicy
    advice_times: AdviceTimes = AdviceTimes()


class OperatorConfiguration(NamedTuple):
    """The decoded configuration of the operators.

    Attributes:
        version: Version number, which increases with each change.
        queues: All queues.
        organisations_by_key: Organisation that owns each access key.
        guaranteed_by_organisation: Number of accelerators guaranteed to each
            organisation for urgent work.
        pools: Names of the worker pools, those on standby included.
        standby_pools: Names of the pools whose machines are off.
    """

    version: int
    queues: tuple[Queue, ...]
    organisations_by_key: dict[str, str]
    guaranteed_by_organisation: dict[str, int]
    pools: frozenset[str]
    standby_pools: frozenset[str] = frozenset()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest matching prefix."""
        matches = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matches, key=lambda queue: len(queue.prefix), default=None)


class ConfigurationCodec(abc.ABC):
    """Decodes the operators' configuration document.

    Attributes:
        key: Store key of the document.
    """

    key: str

    @abc.abstractmethod
    def decode(self, document: str) -> OperatorConfiguration:
        """Return the configuration described by a document.

        Raises:
            InvalidConfigurationError: The document is malformed or
                inconsistent.
        """


class RegistryCodec(abc.ABC):
    """Decodes the entries that workers write to the registry in the store.

    Attributes:
        prefix: Key prefix of the entries; the worker id follows it.
    """

    prefix: str

    @abc.abstractmethod
    def decode(self, key: str, document: str) -> WorkerFacts | None:
        """Return the worker of an entry, None if it describes no worker."""


class WorkerTimes(NamedTuple):
    """Timing parameters that the platform sets for all workers.

    Attributes:
        longest_lease_s: Longest lease that workers accept, in seconds.
        heartbeat_s: Interval between two updates of a worker's registry
            entry, in seconds.
        gang_timeout_s: Time in seconds after which a member of a gang ends if
            the others have not started.
        stop_timeout_s: Longest time in seconds that a stop takes.
        remote_factor: Factor on the run time of tasks away from their data.
    """

    longest_lease_s: float
    heartbeat_s: float
    gang_timeout_s: float = DEFAULT_GANG_TIMEOUT_S
    stop_timeout_s: float = DEFAULT_STOP_TIMEOUT_S
    remote_factor: float = DEFAULT_REMOTE_FACTOR


class WorkerReport(NamedTuple):
    """A worker's reply to a poll.

    Attributes:
        clock_ms: Reading of the worker's monotonic clock in milliseconds.
        process_started_ms: Start time of the worker's process in
            milliseconds, which identifies its incarnation; 0 if not reported.
        running: Runs that the worker currently executes.
        ended: Ends of runs that have not been acknowledged yet.
        ends_complete: Whether there are no more such ends than a reply lists.
    """

    clock_ms: int
    process_started_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[RunEnd, ...]
    ends_complete: bool = True


class CommandReply(NamedTuple):
    """A worker's reply to a command.

    Attributes:
        accepted: Whether the command took effect.
        reason: Reason of a rejection: "fenced", "outdated", "lapsed", "room",
            "permit", "unhealthy", "other_life" or "invalid".
        clock_ms: Reading of the worker's monotonic clock in milliseconds,
            0 if not reported.
    """

    accepted: bool
    reason: str = ""
    clock_ms: int = 0


class WorkerChannel(abc.ABC):
    """Connections to one process of a worker.

    Every call carries ``fence``, the fencing token of the session, and waits
    at most ``timeout_s`` seconds for the reply. It raises ``UnavailableError``
    if there is none; the command may then have taken effect or may take effect
    later.

    ``may_send`` is evaluated immediately before the call is written, which may
    be after a connection was opened or after the process was paused. If it
    returns False, nothing is sent, and the call raises ``UnavailableError``
    but not ``OutcomeUnknownError``.
    """

    @abc.abstractmethod
    async def start(
        self,
        run: StartRun,
        lease_until_ms: int,
        fence: int,
        timeout_s: float,
        may_send: SendCondition,
    ) -> CommandReply:
        """Start a run under a lease.

        Args:
            run: The run to start.
            lease_until_ms: End of the lease on the worker's clock in
                milliseconds.
            fence: Fencing token.
            timeout_s: Time limit for the reply in seconds.
            may_send: See the class.
        """

    @abc.abstractmethod
    async def stop(
        self,
        run: StartRun | StopRun,
        fence: int,
        timeout_s: float,
        may_send: SendCondition,
    ) -> CommandReply:
        """Stop a run; a start of it that arrives later has no effect."""

    @abc.abstractmethod
    async def throttle(
        self,
        run: ThrottleRun,
        fence: int,
        timeout_s: float,
        may_send: SendCondition,
    ) -> CommandReply:
        """Set the speed of a run, in percent of its full speed."""

    @abc.abstractmethod
    async def poll(
        self,
        fence: int,
        acknowledged_end: int,
        lease_until_ms: int,
        wait_s: float,
        timeout_s: float,
        may_send: SendCondition,
    ) -> WorkerReport | CommandReply:
        """Extend the worker's lease, acknowledge ends and list the runs.

        Args:
            fence: Fencing token.
            acknowledged_end: Number up to which ends are recorded in the
                store.
            lease_until_ms: New end of the lease on the worker's clock in
                milliseconds, 0 to leave the lease unchanged.
            wait_s: Time in seconds for which the worker may delay its reply
                until a run ends.
            timeout_s: Time limit for the reply in seconds.
            may_send: See the class.
        """

    @abc.abstractmethod
    def reset(self) -> None:
        """Close idle connections, which may be dead without an error."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close all connections."""


class Advice(NamedTuple):
    """Reply of the advice service: the workers that may run a step.

    Attributes:
        tickets: Ticket that a start on a worker has to carry, by worker id.
        valid_s: Time in seconds for which the tickets are valid, 0 if the
            reply does not say it.
    """

    tickets: dict[str, str]
    valid_s: float


class AdviceService(abc.ABC):
    """External service that selects the workers allowed for a step."""

    @abc.abstractmethod
    async def ask(
        self, step: TaskKey, worker_ids: tuple[str, ...], timeout_s: float
    ) -> Advice:
        """Return which of the given workers may run a step.

        Args:
            step: Key of any task of the step; its task index is ignored.
            worker_ids: Ids of the workers in question.
            timeout_s: Time limit for the reply in seconds.

        Raises:
            RedwingrudderError: The service did not answer.
        """


class MachineReply(enum.StrEnum):
    """Replies to an order.

    All values except FENCED are also events of the upkeep state chart.
    """

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    GONE = "gone"
    FENCED = "fenced"


class MachineService(abc.ABC):
    """Lists machines, takes them down for maintenance and moves them.

    Every call raises ``UnavailableError`` if there is no reply. An order may
    then have been carried out, and the caller has to repeat it.
    """

    @abc.abstractmethod
    async def list_machines(self) -> tuple[Machine, ...]:
        """Return all machines of the platform."""

    @abc.abstractmethod
    async def begin_upkeep(
        self,
        machine_id: str,
        wave_id: int,
        holder: str,
        fence: int,
        may_send: SendCondition,
    ) -> MachineReply:
        """Take a machine down; the operation is idempotent.

        Args:
            machine_id: Machine to take down.
            wave_id: Maintenance wave that the order belongs to.
            holder: Name of the process that sends the order.
            fence: Fencing token.
            may_send: Evaluated immediately before the order is written; it is
                not sent if this returns False.
        """

    @abc.abstractmethod
    async def move(
        self,
        machine_id: str,
        pool: str,
        holder: str,
        fence: int,
        may_send: SendCondition,
    ) -> MachineReply:
        """Move a machine into a pool; the operation is idempotent.

        All runs on the machine end at once. The reply GONE means that there
        is no such machine or that it does not fit the pool.

        Args:
            machine_id: Machine to move.
            pool: Pool that it joins.
            holder: Name of the process that sends the order.
            fence: Fencing token.
            may_send: Evaluated immediately before the order is written; it is
                not sent if this returns False.
        """


class WaveCodec(abc.ABC):
    """Decodes the operators' maintenance waves and encodes their status.

    Attributes:
        prefix: Key prefix of the waves in the store.
    """

    prefix: str

    @abc.abstractmethod
    def decode(self, key: str, document: str) -> MaintenanceWave | None:
        """Return the wave, None if the document describes no wave."""

    @abc.abstractmethod
    def status_key(self, wave_id: int) -> str:
        """Return the store key of a wave's status."""

    @abc.abstractmethod
    def encode_status(self, wave_id: int, done: bool) -> str:
        """Return the document that records whether a wave is done."""

    @abc.abstractmethod
    def is_done(self, document: str) -> bool:
        """Return whether a status document marks its wave as done."""


class MachineGateway(NamedTuple):
    """Platform services used by maintenance waves and by moves of machines.

    Attributes:
        waves: Decodes waves and encodes their status.
        service: Lists machines and carries out orders.
        holder: Name of this process in orders.
        quiet_s: Time in seconds after a change of the coordinator in which
            no orders are sent, so that an old and a new coordinator do not
            send orders alternately.
    """

    waves: WaveCodec
    service: MachineService
    holder: str
    quiet_s: float


class ChannelFactory(abc.ABC):
    """Opens channels to workers."""

    @abc.abstractmethod
    def open(self, facts: WorkerFacts) -> WorkerChannel:
        """Return a channel, which connects with its first command."""


class FleetGateways(NamedTuple):
    """Platform services used by the coordinator.

    Attributes:
        registry: Decodes the workers' registry entries.
        channels: Opens channels to workers.
        times: Timing parameters of the workers.
        keep_ended_s: Time in seconds for which the state of an ended workflow
            can be queried.
        machines: Services for the machines of workers, None if the platform
            has none.
    """

    registry: RegistryCodec
    channels: ChannelFactory
    times: WorkerTimes
    keep_ended_s: float
    machines: MachineGateway | None = None


def intake_keys(workflow_id: str) -> tuple[str, str]:
    """Return the store keys of a submission and of its cancellation."""
    key = INTAKE_PREFIX + workflow_id
    return key, key + CANCEL_SUFFIX


def not_coordinator() -> UnavailableError:
    """Return the error for a request to a node that is not coordinator."""
    return UnavailableError(
        "this node is not the coordinator",
        code="not_coordinator",
        retry_after_s=NOT_COORDINATOR_RETRY_S,
    )
