"""Whether tasks of a step find room on some workers, and when."""

import enum
from collections.abc import Iterable

from .model import Resources
from .state import Stage, Worker, resources_used


class Room(enum.Enum):
    """When tasks find room.

    NOW: In idle capacity.
    LATER: Once runs that end by themselves have ended.
    NEVER: Not while the present lasting tasks and workers stay.
    """

    NOW = "now"
    LATER = "later"
    NEVER = "never"


def find_room(stage: Stage, count: int, workers: Iterable[Worker]) -> Room:
    """Return when tasks of a step find room on the workers.

    The answer may change with each event, so it is not kept.

    Args:
        stage: The step.
        count: Number of its tasks.
        workers: The workers.
    """
    demand = resources_used(stage.spec)
    idle = beside_lasting = 0
    for worker in workers:
        max_count = max_tasks_on_worker(stage, worker, count)
        if not max_count:
            continue
        idle += count_fitting(worker.free, demand, max_count)
        if idle >= count:
            return Room.NOW
        if beside_lasting < count:
            beside_lasting += count_fitting(
                worker.capacity_beside_lasting, demand, max_count
            )
    return Room.LATER if beside_lasting >= count else Room.NEVER


def may_find_room(stage: Stage, count: int, workers: Iterable[Worker]) -> bool:
    """Return whether tasks of a step find room on the workers, now or later.

    Args:
        stage: The step.
        count: Number of its tasks.
        workers: The workers.
    """
    return find_room(stage, count, workers) is not Room.NEVER


def count_fitting(free: Resources, demand: Resources, max_count: int) -> int:
    """Return how often a demand fits into ``free``, at most ``max_count``."""
    count = max_count
    # Accelerators, the last field, are compared first: they are the scarcest.
    for available, required in zip(reversed(free), reversed(demand), strict=True):
        if required:
            count = min(count, available // required)
            if count <= 0:
                return 0
    return count


def max_tasks_on_worker(stage: Stage, worker: Worker, wanted: int) -> int:
    """Return how many more tasks of a step may run on a worker.

    A worker on trial gets one task, or members of one gang: these can start
    only together, and would wait for good if the worker got one of them.

    Args:
        stage: The step.
        worker: The worker.
        wanted: Upper bound of the result.
    """
    if worker.start_trials.on_trial:
        if worker.has_trial_start:
            return 0
        if not stage.spec.gang:
            wanted = min(wanted, 1)
    limit = stage.spec.worker_limit
    if not limit:
        return wanted
    present = sum(
        1
        for task in stage.tasks
        if task.worker_id == worker.facts.worker_id and task.placed
    )
    return max(min(wanted, limit - present), 0)
