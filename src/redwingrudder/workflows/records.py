"""Documents of workflows and of their progress, as kept in the store."""

import json
from typing import Any, NamedTuple

from ..exceptions import BadRequestError
from .model import (
    QueuePolicy,
    Resources,
    StepSpec,
    TaskKey,
    Workflow,
    WorkflowState,
)
from .state import WorkflowProgress

FORMAT = 1  # raised when documents of older nodes can no longer be read


class PlacedRun(NamedTuple):
    """A run that may exist on a worker."""

    key: TaskKey
    run: int
    worker_id: str
    process_started_ms: int


class ProgressRecord(NamedTuple):
    """The stored progress of a workflow.

    Attributes:
        term: Term of the coordinator that wrote it.
        state: State that callers see.
        done: Tasks that ended as done.
        failures: Failed runs by task, for tasks with any.
        runs: Newest run by task, for tasks that had one.
        placed: Runs that may exist.
        checkpoints: Saved states by waiting task.
    """

    term: int
    state: WorkflowState
    done: tuple[TaskKey, ...]
    failures: tuple[tuple[TaskKey, int], ...]
    runs: tuple[tuple[TaskKey, int], ...]
    placed: tuple[PlacedRun, ...]
    checkpoints: tuple[tuple[TaskKey, str], ...]


def encode_workflow(workflow: Workflow) -> bytes:
    """Return the document of a workflow."""
    document = workflow._asdict()
    document["format"] = FORMAT
    document["policy"] = list(workflow.policy)
    document["steps"] = [
        [list(step.demand) if name == "demand" else value for name, value in pairs]
        for step in workflow.steps
        for pairs in [step._asdict().items()]
    ]
    return json.dumps(document, separators=(",", ":")).encode()


def decode_workflow(content: bytes) -> Workflow:
    """Return a workflow from its document.

    Raises:
        BadRequestError: The document is not one of a workflow.
    """
    try:
        document = json.loads(content)
        if document.pop("format") != FORMAT:
            raise ValueError("unknown format")
        document["policy"] = QueuePolicy(*document["policy"])
        document["steps"] = tuple(_step(row) for row in document["steps"])
        return Workflow(**document)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise BadRequestError(f"not a workflow document: {error}") from error


def encode_progress(
    progress: WorkflowProgress, term: int, born_by_worker: dict[str, int]
) -> bytes:
    """Return the document of a workflow's progress."""
    done, failures, runs, placed, checkpoints = [], [], [], [], []
    for task in progress.tasks():
        key = list(task.key[1:])
        if task.state == "done":
            done.append(key)
            continue
        if task.failures:
            failures.append([*key, task.failures])
        if task.run:
            runs.append([*key, task.run])
        if task.placed:
            born = born_by_worker.get(task.worker_id, 0)
            placed.append([*key, task.run, task.worker_id, born])
        # A placed run reports its state itself, a gang through any member.
        if task.checkpoint and (task.stage.spec.gang or not task.placed):
            checkpoints.append([*key, task.checkpoint])
    document = {
        "term": term,
        "state": str(progress.state),
        "done": done,
        "failures": failures,
        "runs": runs,
        "placed": placed,
        "checkpoints": checkpoints,
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode_progress(workflow_id: str, content: bytes) -> ProgressRecord:
    """Return the stored progress of a workflow.

    Raises:
        BadRequestError: The document is not one of a progress.
    """

    def key(row: list[Any]) -> TaskKey:
        return TaskKey(workflow_id, *row[:3])

    try:
        document = json.loads(content)
        return ProgressRecord(
            document["term"],
            WorkflowState(document["state"]),
            tuple(key(row) for row in document["done"]),
            tuple((key(row), row[3]) for row in document["failures"]),
            tuple((key(row), row[3]) for row in document["runs"]),
            tuple(PlacedRun(key(row), *row[3:]) for row in document["placed"]),
            tuple((key(row), row[3]) for row in document["checkpoints"]),
        )
    except (ValueError, KeyError, TypeError, IndexError) as error:
        raise BadRequestError(f"not a progress document: {error}") from error


def restore_progress(progress: WorkflowProgress, record: ProgressRecord) -> None:
    """Apply a record to a fresh progress, all but the placed runs."""
    for key, failures in record.failures:
        task = progress.find(key)
        if task is not None:
            task.failures = failures
    for key, run in record.runs:
        task = progress.find(key)
        if task is not None:
            task.run = run
    for key, checkpoint in record.checkpoints:
        task = progress.find(key)
        if task is not None:
            task.checkpoint = checkpoint
    for key in record.done:
        task = progress.find(key)
        if task is not None:
            task.state = "done"
    progress.begun = bool(record.runs or record.done)
    progress.cancelled = record.state is WorkflowState.CANCELLED
    progress.recorded_state = record.state


def _step(row: list[Any]) -> StepSpec:
    values = dict(zip(StepSpec._fields, row, strict=True))
    values["demand"] = Resources(*values["demand"])
    values["after"] = tuple(values["after"])
    return StepSpec(**values)
