"""Starts without a reply, which the next process of a worker may carry out.

A worker that restarts under its id knows neither the runs that were stopped on
its last process nor a fence. Until a call of the current session reaches it,
it begins the run of a start that was sent to its last process. No rule of the
coordinator can prevent that; these make it harmless where they can:

- The next run of the task begins on the same worker if that has room. Workers
  are taken to begin no run of a task beside another one.
- It begins on another worker only right after the worker of the late start
  has answered a poll, so that its process has the fence of the current session
  and has listed its runs, or when the lease of a late run must have lapsed.
- While that worker is silent, its registry entry tells which process it has.
  A process rejects a start whose lease is over, so once all leases of the one
  that it was sent to have lapsed, only a new process can carry it out.

A worker that is gone is not waited for: it rarely comes back under its id.
"""

from typing import NamedTuple

from .model import TaskKey
from .placement import PlacementOption, preferred_workers
from .state import LateStart, Task, Worker

# Age of a poll up to which its answer shows that a worker's process has the
# fence of the current session. The worker may have restarted since.
ANSWER_AGE_S = 0.5
# The same for a poll that was requested for a held start, unless the previous
# planning pass requested it. Passes may be further apart than either.
REQUESTED_ANSWER_AGE_S = 2.0


class HeldStart(NamedTuple):
    """A start that has to wait until workers answer.

    Attributes:
        task: The task.
        worker_ids: Workers that may carry out a start of an earlier run.
    """

    task: Task
    worker_ids: tuple[str, ...]


def match_workers(
    tasks: list[Task], options: list[PlacementOption], now: float
) -> list[tuple[Task, Worker]]:
    """Pair tasks with the workers of options, preferred workers first.

    Args:
        tasks: Tasks of one step, at least as many as options.
        options: Chosen options, which suit any of the tasks.
        now: Node-clock seconds.
    """
    workers_left = [option.worker for option in options]
    if not any(task.late_starts_by_worker for task in tasks):
        return list(zip(tasks, workers_left, strict=False))
    workers_by_key: dict[TaskKey, Worker] = {}
    for task in tasks:
        preferred_ids = preferred_workers(task.stage, task, now)
        for worker in workers_left if preferred_ids else ():
            if worker.facts.worker_id in preferred_ids:
                workers_left.remove(worker)
                workers_by_key[task.key] = worker
                break
    for task in tasks:
        if workers_left and task.key not in workers_by_key:
            workers_by_key[task.key] = workers_left.pop(0)
    return [
        (task, workers_by_key[task.key]) for task in tasks if task.key in workers_by_key
    ]


def unconfirmed_workers(
    task: Task, worker: Worker, workers_by_id: dict[str, Worker], now: float
) -> tuple[str, ...]:
    """Return the workers that have to answer before a task may be started.

    Args:
        task: The task.
        worker: Worker on which it is to be started.
        workers_by_id: All workers.
        now: Node-clock seconds.
    """
    if task.stage.spec.copies_allowed:
        return ()
    return tuple(
        other.facts.worker_id
        for other in _awaited_workers(task, workers_by_id, now)
        if other is not worker and not _has_answered(other, now)
    )


def awaited_silent_workers(
    task: Task, workers_by_id: dict[str, Worker], now: float, chosen_id: str = ""
) -> tuple[str, ...]:
    """Return the workers that do not answer and have to before a start.

    Args:
        task: The task.
        workers_by_id: All workers.
        now: Node-clock seconds.
        chosen_id: Worker on which the task is to be started, "" for any.
    """
    if task.stage.spec.copies_allowed:
        return ()
    return tuple(
        worker.facts.worker_id
        for worker in _awaited_workers(task, workers_by_id, now)
        if worker.facts.worker_id != chosen_id and not worker.reachable
    )


def _awaited_workers(
    task: Task, workers_by_id: dict[str, Worker], now: float
) -> list[Worker]:
    """Return the present workers that may still carry out a start."""
    return [
        workers_by_id[worker_id]
        for worker_id, start in task.late_starts(now)
        if worker_id in workers_by_id and not _is_over(start, workers_by_id[worker_id])
    ]


def _is_over(start: LateStart, worker: Worker) -> bool:
    """Return whether a start can have no effect on the process it was sent to.

    Nor is there another process of the worker, by its registry entry.
    """
    return (
        worker.lapsed
        and worker.listed
        and start.process_started_ms != 0
        and start.process_started_ms == worker.facts.process_started_ms
    )


def _has_answered(worker: Worker, now: float) -> bool:
    """Return whether a worker has just answered a poll of its session."""
    if not worker.reachable:
        return False
    if worker.polled_at >= worker.poll_requested_at:
        if worker.poll_requested_at >= worker.previous_pass_at:
            return True
        if now - worker.poll_requested_at <= REQUESTED_ANSWER_AGE_S:
            return True
    return now - worker.polled_at <= ANSWER_AGE_S
