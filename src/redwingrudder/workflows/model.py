"""Types of the workflow engine's interface."""

import enum
from typing import NamedTuple


class Resources(NamedTuple):
    """An amount of what workers offer and tasks take.

    Attributes:
        cpu_millis: Thousandths of a core.
        memory_mb: Megabytes.
        accelerators: Whole accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference, which may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def covers(self, other: "Resources") -> bool:
        """Return whether ``other`` fits into this amount."""
        return (
            other.cpu_millis <= self.cpu_millis
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )


NO_RESOURCES = Resources()


class StepSpec(NamedTuple):
    """A step: equal tasks that become ready together.

    Attributes:
        tasks: Number of tasks.
        demand: What each task takes.
        estimate_s: Rough run time of a task, 0 when unknown.
        after: Indexes of earlier steps that must be done first.
        checkpoints: Tasks can resume from a saved state.
        gang: Tasks run all together or not at all.
        same_rack: Tasks slow down when they run on several racks.
        worker_label: Label that a worker must have, or "".
        data_rack: Rack of the data, or "".
        worker_limit: Tasks of the step on one worker, 0 without a limit.
        copies_allowed: Several runs of one task may exist at a time.
        service: Tasks run until the workflow is cancelled.
        image: Names tasks that behave alike.
        latency_target_ms: Bound on the tail latency of a service task.
        fills: Processor time is taken from what other tasks leave.
        unavailable_limit: Service tasks that planned actions may take away
            at a time.
    """

    tasks: int
    demand: Resources
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    worker_label: str = ""
    data_rack: str = ""
    worker_limit: int = 0
    copies_allowed: bool = False
    service: bool = False
    image: str = ""
    latency_target_ms: int = 0
    fills: bool = False
    unavailable_limit: int = 0


class QueuePolicy(NamedTuple):
    """What the operators state for the queue of a workflow.

    Attributes:
        pool: Pool of workers that runs the queue's tasks.
        priority: 0 is the most urgent.
        attempts: Failed runs after which a task is given up.
        stretch: Factor on the longest chain of work that is still on time.
        latency_s: Seconds added to the stretched chain.
        advised: Starts need a permit of the advice service.
    """

    pool: str
    priority: int = 1
    attempts: int = 3
    stretch: float = 3.0
    latency_s: float = 1.0
    advised: bool = False


class Workflow(NamedTuple):
    """An accepted workflow.

    Attributes:
        workflow_id: Chosen by the caller.
        queue: Name of the queue it was submitted to.
        organisation: Owner.
        payload: Text that every start carries.
        steps: All steps in order.
        policy: State of the queue at submission.
        accepted_at: Unix seconds.
        first_due_at: Unix seconds of occurrence 0, 0.0 for at once.
        interval_s: Seconds between occurrences.
        occurrences: How often the steps run, at least 1.
    """

    workflow_id: str
    queue: str
    organisation: str
    payload: str
    steps: tuple[StepSpec, ...]
    policy: QueuePolicy
    accepted_at: float
    first_due_at: float = 0.0
    interval_s: float = 0.0
    occurrences: int = 1

    @property
    def timed(self) -> bool:
        """Whether occurrences start at times of day."""
        return self.first_due_at > 0


class WorkflowState(enum.StrEnum):
    """State that callers see."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset(
    {WorkflowState.DONE, WorkflowState.FAILED, WorkflowState.CANCELLED}
)


class TaskKey(NamedTuple):
    """Identifies a task; ``occurrence`` and the rest count from 0."""

    workflow_id: str
    occurrence: int
    step: int
    index: int


class WorkerFacts(NamedTuple):
    """What the registry says about a worker.

    Attributes:
        worker_id: Its id.
        process_started_ms: Start of its present process, Unix milliseconds,
            0 unknown.
        address: "host:port".
        pool: Pool that it belongs to.
        failure_domain: Where it stands.
        rack: Rack label, "" if it names none.
        labels: All labels, the rack among them.
        capacity: What it offers in total.
        draining: It leaves and takes no new work.
        remaining_s: While draining, seconds for which it surely stays.
    """

    worker_id: str
    process_started_ms: int
    address: str
    pool: str
    failure_domain: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    draining: bool = False
    remaining_s: float = 0.0


class EndKind(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunReport(NamedTuple):
    """A run that a worker lists as present.

    Attributes:
        key: The task.
        run: Number of the run.
        checkpoint: Newest saved state, "" if there is none.
        percent: Progress; 100 for a service task at work.
        usage: Tail latency in ms of a service task, else cores in use.
    """

    key: TaskKey
    run: int
    checkpoint: str
    percent: float
    usage: float = 0.0


class RunEnd(NamedTuple):
    """A run that a worker lists as ended; ``number`` orders its ends."""

    number: int
    key: TaskKey
    run: int
    kind: EndKind
    checkpoint: str = ""


class StartRun(NamedTuple):
    """Effect: start a run once the workflow's progress is recorded."""

    worker_id: str
    key: TaskKey
    run: int
    payload: str
    checkpoint: str
    ticket: str = ""


class StopRun(NamedTuple):
    """Effect: stop a run."""

    worker_id: str
    key: TaskKey
    run: int


class AskAdvice(NamedTuple):
    """Effect: ask which of some workers may run a step."""

    workflow_id: str
    occurrence: int
    step: int
    worker_ids: tuple[str, ...]


class ThrottleRun(NamedTuple):
    """Effect: let a filling task work at a share of its speed."""

    worker_id: str
    key: TaskKey
    run: int
    percent: int


Effect = StartRun | StopRun | ThrottleRun | AskAdvice
