"""Types of the workflow engine's interface: workflows, reports, effects."""

import enum
import math
from typing import NamedTuple


class Resources(NamedTuple):
    """An amount of resources, as offered by a worker or used by a task.

    Attributes:
        cpu_millis: Processor time in thousandths of a core.
        memory_mb: Memory in megabytes.
        accelerators: Number of whole accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the field-wise sum of both amounts."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the field-wise difference; fields may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def covers(self, other: "Resources") -> bool:
        """Return whether ``other`` fits into this amount in every field."""
        return (
            other.cpu_millis <= self.cpu_millis
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )


NO_RESOURCES = Resources()


class StepSpec(NamedTuple):
    """A step of a workflow: identical tasks that become ready together.

    Attributes:
        tasks: Number of tasks.
        demand: Resources that each task uses.
        estimate_s: Caller's estimate of a task's run time in seconds, 0 if
            unknown.
        after: Indexes of the earlier steps that must be done first.
        checkpoints: Whether tasks can resume from a checkpoint.
        gang: Whether the tasks run all together or not at all.
        same_rack: Whether tasks slow down when spread over several racks.
        worker_label: Label that a worker must have, "" for any worker.
        data_rack: Rack that holds the input data, "" for none.
        worker_limit: Largest number of the step's tasks on one worker, 0 for
            no limit.
        copies_allowed: Whether several runs of a task may exist at a time.
        service: Whether the tasks run until the workflow is cancelled.
        image: Name shared by tasks that behave alike. Run times are learned
            for each queue and image.
        latency_target_ms: Upper bound on the tail latency of a service task
            in milliseconds, 0 for none.
        fills: Whether the tasks use only processor time that other tasks
            leave idle; it does not count against a worker's capacity.
        unavailable_limit: Largest number of a service's tasks that planned
            actions may make unavailable at a time, 0 for no limit.
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
    """Scheduling policy of a queue, as configured by the operators.

    Attributes:
        pool: Pool of workers that runs the queue's tasks.
        priority: Priority of the queue; 0 is the most urgent.
        attempts: Number of failed runs of a task after which the workflow
            fails.
        stretch: Factor on the workflow's critical path in its time
            objective, which is ``stretch * critical path + latency_s``.
        latency_s: Seconds added to the stretched critical path.
        advised: Whether starts need a permit from the advice service.
    """

    pool: str
    priority: int = 1
    attempts: int = 3
    stretch: float = 3.0
    latency_s: float = 1.0
    advised: bool = False


class AdviceTimes(NamedTuple):
    """Times of the advice service, as configured for a queue.

    Attributes:
        decision_s: Seconds that the service takes for a call.
        period_s: Additional seconds for each worker that is named.
        valid_s: Seconds for which a ticket is valid, 0 if unknown.
    """

    decision_s: float = 0.0
    period_s: float = 0.0
    valid_s: float = 0.0

    def call_s(self, workers: int) -> float:
        """Return the seconds that a call about some workers takes."""
        return self.decision_s + workers * self.period_s


class Workflow(NamedTuple):
    """A workflow that was accepted for execution.

    Attributes:
        workflow_id: Id chosen by the caller.
        queue: Name of the queue to which the workflow was submitted.
        organisation: Organisation that owns the workflow.
        payload: Text that is sent to the worker with each start.
        steps: All steps; a step depends only on earlier ones.
        policy: Policy of the queue at the time of submission. The one in force
            is that of ``WorkflowProgress``.
        accepted_at: Unix seconds of the acceptance.
        first_due_at: Unix seconds at which occurrence 0 is due, 0.0 for
            immediately.
        interval_s: Seconds between the due times of occurrences.
        occurrences: Number of times the steps are run, at least 1.
        policy_version: Version of the configuration that ``policy`` was read
            from, 0 if unknown.
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
    policy_version: int = 0

    @property
    def timed(self) -> bool:
        """Whether the occurrences have due times."""
        return self.first_due_at > 0


class WorkflowState(enum.StrEnum):
    """State of a workflow, as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset(
    {WorkflowState.DONE, WorkflowState.FAILED, WorkflowState.CANCELLED}
)


class TaskKey(NamedTuple):
    """Identifies a task of a workflow.

    Attributes:
        workflow_id: Id of the workflow.
        occurrence: Index of the occurrence, from 0.
        step: Index of the step, from 0.
        index: Index of the task in its step, from 0.
    """

    workflow_id: str
    occurrence: int
    step: int
    index: int


class WorkerFacts(NamedTuple):
    """Registry entry of a worker.

    Attributes:
        worker_id: Id of the worker.
        process_started_ms: Start time of the worker's current process in Unix
            milliseconds, 0 if unknown. It changes with each restart.
        address: Network address as "host:port".
        pool: Pool to which the worker belongs.
        failure_domain: Failure domain in which the worker runs.
        rack: Rack label, "" if the worker has none.
        labels: All labels, including the rack.
        capacity: Total resources of the worker.
        draining: Whether the worker is about to leave and accepts no new runs.
        remaining_s: While draining, seconds for which the worker is
            guaranteed to stay.
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

    @classmethod
    def without_entry(
        cls, worker_id: str, process_started_ms: int, address: str = ""
    ) -> "WorkerFacts":
        """Return what is known of a process that has no registry entry yet.

        It has no pool, label or capacity, so no new runs are placed on it.

        Args:
            worker_id: Id of the worker.
            process_started_ms: See above.
            address: See above, "" if unknown.
        """
        return cls(
            worker_id,
            process_started_ms,
            address,
            pool="",
            failure_domain="",
            rack="",
            labels=frozenset(),
            capacity=NO_RESOURCES,
        )


class EndKind(enum.StrEnum):
    """Way in which a run ended, as reported by its worker.

    All kinds except DONE and FAILED are interruptions, which do not count as
    failed attempts.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunReport(NamedTuple):
    """A run that a worker lists as present.

    Attributes:
        key: Key of the task.
        run: Number of the run.
        checkpoint: Newest checkpoint, "" if there is none.
        percent: Progress in percent; a service task that serves requests
            reports 100.
        usage: Tail latency in milliseconds for a service task, otherwise the
            number of cores in use.
    """

    key: TaskKey
    run: int
    checkpoint: str
    percent: float
    usage: float = 0.0


class RunEnd(NamedTuple):
    """A run that a worker lists as ended.

    Attributes:
        number: Sequence number of the end among those of the worker.
        key: Key of the task.
        run: Number of the run.
        kind: Way in which the run ended.
        checkpoint: Last checkpoint, "" if there is none.
    """

    number: int
    key: TaskKey
    run: int
    kind: EndKind
    checkpoint: str = ""


class StartRun(NamedTuple):
    """Effect: start a run, after the progress that names it is stored.

    Attributes:
        worker_id: Worker that is to start the run.
        key: Key of the task.
        run: Number of the run.
        payload: Payload of the workflow.
        checkpoint: Checkpoint to resume from, "" to start from the beginning.
        ticket: Ticket from the advice service, "" if none is needed.
        ticket_until: Node-clock seconds until which it is sent with a start.
        send_until: Node-clock seconds after which it is not sent any more,
            because its job may have been cancelled meanwhile.
    """

    worker_id: str
    key: TaskKey
    run: int
    payload: str
    checkpoint: str
    ticket: str = ""
    ticket_until: float = math.inf
    send_until: float = math.inf


class StopRun(NamedTuple):
    """Effect: stop a run on a worker."""

    worker_id: str
    key: TaskKey
    run: int


class AskAdvice(NamedTuple):
    """Effect: ask the advice service which of the workers may run a step.

    Attributes:
        workflow_id: Id of the workflow.
        occurrence: Index of the occurrence.
        step: Index of the step.
        worker_ids: The workers.
        processes_started_ms: Start times of their processes, for which the
            reply is valid, in Unix milliseconds, 0 if unknown.
        call_s: Seconds that the service is expected to take, 0 if unknown.
        waited_s: Seconds for which the step had waited for the call.
    """

    workflow_id: str
    occurrence: int
    step: int
    worker_ids: tuple[str, ...]
    processes_started_ms: tuple[int, ...]
    call_s: float = 0.0
    waited_s: float = 0.0


class ThrottleRun(NamedTuple):
    """Effect: throttle a filling task to ``percent`` of its full speed."""

    worker_id: str
    key: TaskKey
    run: int
    percent: int


class PollWorker(NamedTuple):
    """Effect: poll a worker now, beside a poll that waits for an end."""

    worker_id: str


Effect = StartRun | StopRun | ThrottleRun | AskAdvice | PollWorker
