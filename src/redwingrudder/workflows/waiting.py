"""Why tasks wait although there is room for them.

For each waiting task whose turn has come and that fits into the idle capacity
of the workers that are present, the first rule of a planning pass is named
that keeps it back. A task whose worker does not answer counts as waiting too:
its run may have ended, and the next one has to wait for the worker's lease.
The view is that of a moment right after a pass, which has placed all tasks
that it could.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ._wait_rules import Hold, StepCheck, WaitReason
from .model import TaskKey
from .run_times import RunTimeEstimates
from .state import Stage, Worker, WorkflowProgress

__all__ = [
    "Hold",
    "ReasonSummary",
    "WaitReason",
    "WaitingTask",
    "find_waiting",
    "note_since",
    "summarise",
]

# Number of steps, and of their different demands, that a call examines. Steps
# with a demand that is known to fit nowhere are not counted.
MAX_EXAMINED_STEPS = 200
# Number of tasks with which a call ends.
MAX_FOUND_TASKS = 1_000


class WaitingTask(NamedTuple):
    """A task that waits although there is room.

    Attributes:
        key: The task.
        hold: What keeps it back.
    """

    key: TaskKey
    hold: Hold


class ReasonSummary(NamedTuple):
    """The tasks that one reason keeps back.

    Attributes:
        reason: The reason.
        tasks: Number of tasks.
        longest_s: Longest time in seconds for which each check has found one
            of them waiting with room, for whatever reason.
        example: The task that has waited for that time.
    """

    reason: WaitReason
    tasks: int
    longest_s: float
    example: WaitingTask


def find_waiting(
    workflows: Iterable[WorkflowProgress],
    workers_by_id: dict[str, Worker],
    run_times: RunTimeEstimates,
    now: float,
    wall: float,
    may_plan: bool = True,
) -> list[WaitingTask]:
    """Return the tasks that wait although there is room.

    The steps that became ready first are examined first. The room of a step
    is looked at by itself, so several steps may count the same room.

    Args:
        workflows: All workflows.
        workers_by_id: All workers.
        run_times: Expected run times.
        now: Node-clock seconds.
        wall: Unix seconds, for occurrences with a due time.
        may_plan: Whether planning passes are made.
    """
    stages = sorted(
        _due_stages(workflows, _stages_on_silent_workers(workers_by_id), wall),
        key=lambda stage: now if stage.ready_at is None else stage.ready_at,
    )
    check = StepCheck(workers_by_id, run_times, now)
    waiting: list[WaitingTask] = []
    for stage in stages:
        if check.examined_steps >= MAX_EXAMINED_STEPS:
            break
        if len(waiting) >= MAX_FOUND_TASKS:
            break
        held = check.examine(stage, may_plan)
        waiting += [WaitingTask(task.key, hold) for task, hold in held]
    return waiting


def note_since(
    since_by_key: dict[TaskKey, float], waiting: Iterable[WaitingTask], now: float
) -> dict[TaskKey, float]:
    """Return since when each task has been found in each check.

    Args:
        since_by_key: The result for the previous check.
        waiting: The tasks found in this one.
        now: Node-clock seconds of this one.
    """
    return {found.key: since_by_key.get(found.key, now) for found in waiting}


def summarise(
    waiting: Iterable[WaitingTask], since_by_key: dict[TaskKey, float], now: float
) -> list[ReasonSummary]:
    """Return a summary for each reason, that of the longest wait first.

    Args:
        waiting: The tasks.
        since_by_key: Node-clock seconds since which each of them has waited.
        now: Node-clock seconds.
    """
    found_by_reason: dict[WaitReason, list[WaitingTask]] = {}
    for found in waiting:
        found_by_reason.setdefault(found.hold.reason, []).append(found)
    summaries = []
    for reason, same_reason in found_by_reason.items():
        example = min(same_reason, key=lambda found: since_by_key[found.key])
        longest_s = now - since_by_key[example.key]
        summaries.append(ReasonSummary(reason, len(same_reason), longest_s, example))
    return sorted(summaries, key=lambda summary: -summary.longest_s)


def _stages_on_silent_workers(workers_by_id: dict[str, Worker]) -> set[int]:
    """Return the ``id`` of each step with runs on silent workers."""
    return {
        id(task.stage)
        for worker in workers_by_id.values()
        if not worker.reachable
        for task in worker.tasks_by_key.values()
    }


def _due_stages(
    workflows: Iterable[WorkflowProgress], unproven_ids: set[int], wall: float
) -> Iterator[Stage]:
    """Yield the steps with tasks that may wait and whose turn has come.

    Args:
        workflows: All workflows.
        unproven_ids: The ``id`` of each step with runs that nothing proves.
        wall: Unix seconds.
    """
    for progress in workflows:
        if progress.ended_at is not None:
            continue
        for occurrence in progress.occurrences:
            if occurrence.due_at > wall:
                break
            for stage in occurrence.stages:
                may_wait = id(stage) in unproven_ids or any(
                    task.state == "waiting" for task in stage.tasks
                )
                if may_wait and all(
                    occurrence.stages[index].done for index in stage.spec.after
                ):
                    yield stage
