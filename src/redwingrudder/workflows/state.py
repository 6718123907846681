"""Mutable state of the engine: tasks, steps, workflows and workers."""

import math
from collections.abc import Iterator
from typing import NamedTuple

from ..statecharts import load_chart
from .model import (
    NO_RESOURCES,
    Resources,
    StepSpec,
    TaskKey,
    WorkerFacts,
    Workflow,
    WorkflowState,
)

TASK_CHART = load_chart(
    "task",
    frozenset(
        {
            "assign",
            "started",
            "rejected",
            "stop",
            "run_done",
            "run_failed",
            "run_interrupted",
            "give_up",
            "withdraw",
        }
    ),
    frozenset({"occupy", "release", "count_failure"}),
)
# For this long after a failure without a success, a worker gets runs last.
# Above the time for which failing workers were seen to fail, some 7 s.
SUSPECT_S = 8.0
PLACED_STATES = frozenset({"starting", "running", "stopping"})


class Permit(NamedTuple):
    """Leave to run a step on a worker until a steady-clock time."""

    ticket: str
    until: float


class Task:
    """One task and its newest run."""

    __slots__ = (
        "checkpoint",
        "failed_workers",
        "failures",
        "key",
        "speed_percent",
        "percent",
        "progressed_at",
        "rated_at",
        "rated_percent",
        "reported_at",
        "run",
        "run_resumed",
        "stage",
        "started_at",
        "state",
        "usage",
        "worker_id",
    )

    def __init__(self, key: TaskKey, stage: "Stage") -> None:
        self.key = key
        self.stage = stage
        self.state = TASK_CHART.initial
        self.run = 0
        self.run_resumed = False
        self.worker_id = ""
        self.checkpoint = ""
        self.failures = 0
        self.failed_workers: set[str] = set()
        self.started_at = 0.0
        self.percent = 0.0
        self.progressed_at = 0.0
        self.reported_at = 0.0
        # An earlier report, for the rate of progress since.
        self.rated_at = 0.0
        self.rated_percent = 0.0
        self.usage = 0.0
        self.speed_percent = 100

    def begin(self, now: float) -> None:
        """Take note that a run begins, or that a worker has confirmed it."""
        self.started_at = self.progressed_at = self.reported_at = now
        self.rated_at, self.rated_percent = now, 0.0

    @property
    def placed(self) -> bool:
        """Whether a run exists or may exist on a worker."""
        return self.state in PLACED_STATES

    @property
    def ended(self) -> bool:
        """Whether no further run is needed."""
        return self.state in TASK_CHART.final_states


class Stage:
    """A step of one occurrence of a workflow."""

    __slots__ = (
        "denied_workers",
        "failed_runs",
        "index",
        "occurrence",
        "permits_by_worker",
        "question_open",
        "ready_at",
        "restarts",
        "spec",
        "tasks",
        "workflow",
    )

    def __init__(self, workflow: "WorkflowProgress", occurrence: int, index: int):
        self.workflow = workflow
        self.occurrence = occurrence
        self.index = index
        self.spec: StepSpec = workflow.workflow.steps[index]
        self.ready_at: float | None = None
        self.failed_runs: set[int] = set()
        self.restarts = 0
        self.permits_by_worker: dict[str, Permit] = {}
        self.denied_workers: set[str] = set()
        self.question_open = False
        self.tasks = [
            Task(TaskKey(workflow.workflow.workflow_id, occurrence, index, i), self)
            for i in range(self.spec.tasks)
        ]

    @property
    def done(self) -> bool:
        """Whether all tasks ended as done."""
        return all(task.state == "done" for task in self.tasks)


class Occurrence:
    """One pass through the steps."""

    __slots__ = ("due_at", "index", "stages")

    def __init__(self, workflow: "WorkflowProgress", index: int, due_at: float):
        self.index = index
        self.due_at = due_at
        self.stages = [
            Stage(workflow, index, step) for step in range(len(workflow.workflow.steps))
        ]

    @property
    def done(self) -> bool:
        """Whether all steps are done."""
        return all(stage.done for stage in self.stages)


class WorkflowProgress:
    """A workflow and how far it has come.

    Attributes:
        recorded_state: State in the newest stored record; callers see it
            because a later one could be forgotten.
        accepted_mono: Steady-clock seconds of the acceptance.
    """

    __slots__ = (
        "accepted_mono",
        "begun",
        "cancelled",
        "end_observed",
        "ended_at",
        "occurrences",
        "recorded_state",
        "wait_observed",
        "workflow",
    )

    def __init__(self, workflow: Workflow, now: float) -> None:
        self.workflow = workflow
        self.accepted_mono = now
        self.cancelled = False
        self.begun = False
        self.recorded_state = WorkflowState.QUEUED
        self.ended_at: float | None = None
        self.wait_observed = False
        self.end_observed = False
        self.occurrences = [
            Occurrence(self, index, workflow.first_due_at + index * workflow.interval_s)
            for index in range(max(workflow.occurrences, 1))
        ]

    def tasks(self) -> Iterator[Task]:
        """Iterate over all tasks."""
        for occurrence in self.occurrences:
            for stage in occurrence.stages:
                yield from stage.tasks

    def find(self, key: TaskKey) -> Task | None:
        """Return a task, or None for a key outside of the workflow."""
        try:
            stage = self.occurrences[key.occurrence].stages[key.step]
            return stage.tasks[key.index]
        except IndexError:
            return None

    @property
    def state(self) -> WorkflowState:
        """The state as the engine knows it."""
        if self.cancelled:
            return WorkflowState.CANCELLED
        states = {task.state for task in self.tasks()}
        if "exhausted" in states:
            return WorkflowState.FAILED
        if states <= {"done"}:
            return WorkflowState.DONE
        return WorkflowState.RUNNING if self.begun else WorkflowState.QUEUED

    @property
    def settled(self) -> bool:
        """Whether the state is final and nothing is left on a worker."""
        return self.ended_at is not None and not any(
            task.placed for task in self.tasks()
        )


class Worker:
    """A worker, what it runs and how it behaves.

    Attributes:
        free: Capacity that is neither used nor claimed for a waiting step.
        emptying: Its machine is about to be taken down for upkeep.
        failures: Failed runs since the last run that was done here.
        failed_at: Steady-clock seconds of the newest of them.
        leaves_at: Steady-clock seconds until which a draining worker surely
            stays, infinite for one that does not drain.
    """

    __slots__ = (
        "_claimed",
        "_facts",
        "_used",
        "emptying",
        "failed_at",
        "failures",
        "free",
        "leaves_at",
        "listed",
        "throttled_at",
        "quarantined_until",
        "reachable",
        "speed",
        "speed_at",
        "tasks_by_key",
    )

    def __init__(self, facts: WorkerFacts) -> None:
        self._facts = facts
        self._used = NO_RESOURCES
        self._claimed = NO_RESOURCES
        self.free = facts.capacity
        self.tasks_by_key: dict[TaskKey, Task] = {}
        self.listed = True
        self.reachable = True
        self.emptying = False
        self.failures = 0
        self.failed_at = 0.0
        self.quarantined_until = 0.0
        self.leaves_at = math.inf
        self.speed = 1.0
        self.speed_at = 0.0
        self.throttled_at = 0.0

    @property
    def facts(self) -> WorkerFacts:
        """What the registry says."""
        return self._facts

    @facts.setter
    def facts(self, facts: WorkerFacts) -> None:
        self._facts = facts
        self._count_free()

    def add(self, task: Task) -> None:
        """Take capacity for a run."""
        self.tasks_by_key[task.key] = task
        self._used = self._used.plus(resources_used(task.stage.spec))
        self._count_free()

    def remove(self, task: Task) -> None:
        """Give the capacity of a run back, if it has any."""
        if self.tasks_by_key.pop(task.key, None) is not None:
            self._used = self._used.minus(resources_used(task.stage.spec))
            self._count_free()

    def claim(self, amount: Resources) -> None:
        """Keep capacity for a waiting step until the next planning pass."""
        self._claimed = self._claimed.plus(amount)
        self._count_free()

    def clear_claims(self) -> None:
        """Drop the claims of the last planning pass."""
        if self._claimed is not NO_RESOURCES:
            self._claimed = NO_RESOURCES
            self._count_free()

    def _count_free(self) -> None:
        # Planning reads this for each worker and step, so it is kept.
        self.free = self._facts.capacity.minus(self._used).minus(self._claimed)

    def update_leave_time(self, now: float) -> None:
        """Take over from the facts how long the worker stays."""
        if not self.facts.draining:
            self.leaves_at = math.inf
        elif math.isinf(self.leaves_at):
            self.leaves_at = now + self.facts.remaining_s

    def is_suspect(self, now: float) -> bool:
        """Return whether the newest run that ended here failed, lately."""
        return self.failures > 0 and now - self.failed_at < SUSPECT_S

    def usable(self, now: float) -> bool:
        """Return whether new runs may be sent here."""
        return (
            self.listed
            and self.reachable
            and not self.facts.draining
            and not self.emptying
            and now >= self.quarantined_until
        )


def resources_used(spec: StepSpec) -> Resources:
    """Return what a task counts against its worker's capacity."""
    if spec.fills:
        return spec.demand._replace(cpu_millis=0)
    return spec.demand
