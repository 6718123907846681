"""Encoding of workflows and of their progress as documents in the store."""

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

# Format version of workflow documents. It is raised when documents written by
# older nodes can no longer be read.
FORMAT = 1


class PlacedRun(NamedTuple):
    """A run that may exist on a worker.

    Attributes:
        key: Key of the task.
        run: Number of the run.
        worker_id: Worker to which the run was assigned.
        process_started_ms: Start time of that worker's process in Unix
            milliseconds, 0 if unknown.
    """

    key: TaskKey
    run: int
    worker_id: str
    process_started_ms: int


class ProgressRecord(NamedTuple):
    """The stored progress of a workflow.

    Attributes:
        term: Term of the coordinator that wrote the record.
        state: State that is reported to callers.
        done: Tasks that are done.
        failures: Tasks with failed runs, and their number.
        runs: Tasks that have had a run, and the number of the newest one.
        placed: Runs that may exist on workers.
        checkpoints: Tasks with a stored checkpoint, and that checkpoint.
    """

    term: int
    state: WorkflowState
    done: tuple[TaskKey, ...]
    failures: tuple[tuple[TaskKey, int], ...]
    runs: tuple[tuple[TaskKey, int], ...]
    placed: tuple[PlacedRun, ...]
    checkpoints: tuple[tuple[TaskKey, str], ...]


def encode_workflow(workflow: Workflow) -> bytes:
    """Return the JSON document of a workflow."""
    document = workflow._asdict()
    document["format"] = FORMAT
    document["policy"] = list(workflow.policy)
    document["steps"] = [
        [list(step.demand) if name == "demand" else value for name, value in fields]
        for step in workflow.steps
        for fields in [step._asdict().items()]
    ]
    return json.dumps(document, separators=(",", ":")).encode()


def decode_workflow(content: bytes) -> Workflow:
    """Return the workflow that a JSON document describes.

    Raises:
        BadRequestError: The content is not a workflow document of this
            format.
    """
    try:
        document = json.loads(content)
        if document.pop("format") != FORMAT:
            raise ValueError("unsupported format version")
        document["policy"] = QueuePolicy(*document["policy"])
        document["steps"] = tuple(_step(row) for row in document["steps"])
        return Workflow(**document)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise BadRequestError(f"invalid workflow document: {error}") from error


def encode_progress(
    progress: WorkflowProgress, term: int, started_ms_by_worker: dict[str, int]
) -> bytes:
    """Return the JSON document of a workflow's progress.

    Args:
        progress: The progress.
        term: Term of the coordinator.
        started_ms_by_worker: Process start times of the workers in Unix
            milliseconds.
    """
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
            started_ms = started_ms_by_worker.get(task.worker_id, 0)
            placed.append([*key, task.run, task.worker_id, started_ms])
        # The worker of a placed run reports its checkpoint, so it need not be
        # stored. A gang's checkpoint is saved in its first task and may have
        # been reported by any member, so it is always stored.
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
    """Return the progress record that a JSON document describes.

    Raises:
        BadRequestError: The content is not a progress document.
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
        raise BadRequestError(f"invalid progress document: {error}") from error


def restore_progress(progress: WorkflowProgress, record: ProgressRecord) -> None:
    """Apply a record to the progress of a newly accepted workflow.

    The placed runs are not restored; see ``Engine.adopt_run``.
    """
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
