"""What a platform provides, as abstract classes and plain types."""

import abc
import enum
from typing import NamedTuple

from ..exceptions import UnavailableError
from ..workflows.maintenance import Machine, MaintenanceWave
from ..workflows.model import (
    QueuePolicy,
    RunEnd,
    RunReport,
    StartRun,
    StopRun,
    TaskKey,
    ThrottleRun,
    WorkerFacts,
)

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
COORDINATOR_KEY = "coordination/holder"
TERM_KEY = "coordination/term"

NOT_COORDINATOR_RETRY_S = 1.0  # an election takes about this long


class AwaitChanges(NamedTuple):
    """Ask of STORE -> ``Changes``, when there is one or after the wait.

    Args:
        prefix: Beginning of the keys.
        after: Changes after this revision.
        wait_s: Longest wait.
    """

    prefix: str
    after: int
    wait_s: float


class Change(NamedTuple):
    """A change of a key; ``value`` is None for a removal."""

    key: str
    value: str | None
    revision: int


class Changes(NamedTuple):
    """Changes in order; ``revision`` is where to continue.

    ``expired`` means that the store no longer has this history.
    """

    changes: tuple[Change, ...]
    revision: int
    expired: bool = False


class Queue(NamedTuple):
    """A queue of the operators' configuration.

    Attributes:
        name: Unique name.
        host: Host that callers address.
        prefix: Path that its calls begin with.
        open: Calls need no key.
        timeout_s: Longest wait for an answer.
        policy: How its workflows are served.
    """

    name: str
    host: str
    prefix: str
    open: bool
    timeout_s: float
    policy: QueuePolicy


class OperatorConfiguration(NamedTuple):
    """The configuration in force.

    Attributes:
        version: Rises with each change.
        queues: All queues.
        organisations_by_key: Owner of each access key.
        guaranteed_by_organisation: Accelerators for urgent work.
        pools: Names of the pools of workers.
    """

    version: int
    queues: tuple[Queue, ...]
    organisations_by_key: dict[str, str]
    guaranteed_by_organisation: dict[str, int]
    pools: frozenset[str]

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path."""
        found = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(found, key=lambda queue: len(queue.prefix), default=None)


class ConfigurationCodec(abc.ABC):
    """Reads the operators' configuration document."""

    key: str

    @abc.abstractmethod
    def decode(self, document: str) -> OperatorConfiguration:
        """Return the configuration.

        Raises:
            InvalidConfigurationError: The document cannot be used.
        """


class RegistryCodec(abc.ABC):
    """Reads the entries that workers leave in the store."""

    prefix: str

    @abc.abstractmethod
    def decode(self, key: str, document: str) -> WorkerFacts | None:
        """Return the worker, or None for an entry that names none."""


class WorkerTimes(NamedTuple):
    """Times that the platform states for all workers.

    Attributes:
        longest_lease_s: Longest lease that workers accept.
        heartbeat_s: Between two updates of a worker's registry entry.
    """

    longest_lease_s: float
    heartbeat_s: float


class WorkerReport(NamedTuple):
    """A worker's answer to a poll.

    Attributes:
        clock_ms: The worker's steady clock.
        process_started_ms: Start of its process, 0 if it does not say.
        running: Runs that are present.
        ended: Ends that were not yet acknowledged.
    """

    clock_ms: int
    process_started_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[RunEnd, ...]


class CommandReply(NamedTuple):
    """A worker's answer to a command.

    Attributes:
        accepted: The command took effect.
        reason: Why not: "fenced", "outdated", "lapsed", "room", "permit",
            "unhealthy", "other_life" or "invalid".
        clock_ms: The worker's steady clock, 0 if it does not say.
    """

    accepted: bool
    reason: str = ""
    clock_ms: int = 0


class WorkerChannel(abc.ABC):
    """Connections to one incarnation of a worker.

    Every call raises ``UnavailableError`` when there is no answer in time;
    the command may then have taken effect, or may do so later.
    """

    @abc.abstractmethod
    async def start(
        self, run: StartRun, lease_until_ms: int, fence: int, timeout_s: float
    ) -> CommandReply:
        """Start a run; the lease holds until a time of the worker's clock."""

    @abc.abstractmethod
    async def stop(
        self, run: StartRun | StopRun, fence: int, timeout_s: float
    ) -> CommandReply:
        """Stop a run, or keep it from starting later."""

    @abc.abstractmethod
    async def throttle(
        self, run: ThrottleRun, fence: int, timeout_s: float
    ) -> CommandReply:
        """Let a run work at a share of its speed."""

    @abc.abstractmethod
    async def poll(
        self,
        fence: int,
        acknowledged_end: int,
        lease_until_ms: int,
        wait_s: float,
        timeout_s: float,
    ) -> WorkerReport | CommandReply:
        """Extend the lease, acknowledge ends and list the runs.

        Args:
            fence: Fencing token.
            seen: Number of the last end that is on record.
            lease_until_ms: Time of the worker's clock, 0 to leave the lease.
            wait_s: How long the worker may wait for an end.
            timeout_s: Longest wait for the answer.
        """

    @abc.abstractmethod
    def reset(self) -> None:
        """Drop idle connections, which may have gone silent."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close all connections."""


class Advice(NamedTuple):
    """Workers that may run a step, and for how many seconds.

    ``tickets`` holds what a start there has to carry, by worker.
    """

    tickets: dict[str, str]
    valid_s: float


class AdviceService(abc.ABC):
    """Tells which workers a queue's policy allows."""

    @abc.abstractmethod
    async def ask(self, step: TaskKey, worker_ids: tuple[str, ...]) -> Advice:
        """Return the answer for a step; the key's index is ignored.

        Raises:
            RedwingrudderError: There is no answer.
        """


class MachineReply(enum.StrEnum):
    """Answers to an order; all but FENCED are events of the upkeep."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    GONE = "gone"
    FENCED = "fenced"


class MachineService(abc.ABC):
    """Lists machines and takes them down.

    Every call raises ``UnavailableError`` when there is no answer; an order
    may then have been carried out and is to be repeated.
    """

    @abc.abstractmethod
    async def list_machines(self) -> tuple[Machine, ...]:
        """Return all machines."""

    @abc.abstractmethod
    async def begin_upkeep(
        self, machine_id: str, wave_id: int, holder: str, fence: int
    ) -> MachineReply:
        """Take a machine down; the same order twice is carried out once."""


class WaveCodec(abc.ABC):
    """Reads the operators' maintenance waves and writes their state."""

    prefix: str

    @abc.abstractmethod
    def decode(self, key: str, document: str) -> MaintenanceWave | None:
        """Return the wave, or None for a document that names none."""

    @abc.abstractmethod
    def status_key(self, wave_id: int) -> str:
        """Return the key of a wave's state."""

    @abc.abstractmethod
    def encode_status(self, wave_id: int, done: bool) -> str:
        """Return the document of a wave's state."""

    @abc.abstractmethod
    def is_done(self, document: str) -> bool:
        """Return whether a state says that the wave is done."""


class UpkeepGateway(NamedTuple):
    """What maintenance waves need of the platform.

    Attributes:
        waves: Reads waves.
        machines: Takes machines down.
        holder: Names this process in orders.
        quiet_s: Time after a change of the coordinator without orders.
    """

    waves: WaveCodec
    machines: MachineService
    holder: str
    quiet_s: float


class ChannelFactory(abc.ABC):
    """Opens channels to workers."""

    @abc.abstractmethod
    def open(self, facts: WorkerFacts) -> WorkerChannel:
        """Return a channel; connections open with the first command."""


class FleetGateways(NamedTuple):
    """What the coordinator needs of the platform.

    Attributes:
        registry: Reads the workers' entries.
        channels: Opens connections to workers.
        times: What the platform says of workers.
        keep_ended_s: Seconds for which ended workflows can be asked for.
        upkeep: What maintenance waves need; None without such a service.
    """

    registry: RegistryCodec
    channels: ChannelFactory
    times: WorkerTimes
    keep_ended_s: float
    upkeep: UpkeepGateway | None = None


def intake_keys(workflow_id: str) -> tuple[str, str]:
    """Return the keys of a submission and of its cancellation."""
    key = INTAKE_PREFIX + workflow_id
    return key, key + CANCEL_SUFFIX


def not_coordinator() -> UnavailableError:
    """Return the error of a node that is asked but does not lead."""
    return UnavailableError(
        "this node does not coordinate",
        code="not_coordinator",
        retry_after_s=NOT_COORDINATOR_RETRY_S,
    )
