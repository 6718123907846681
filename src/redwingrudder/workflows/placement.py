"""Where the tasks of a step run, and what makes room for them."""

import abc
from collections.abc import Iterable
from typing import NamedTuple

from .model import NOTHING, Resources
from .speeds import SpeedBook, is_slow
from .state import Stage, Task, Worker, room_taken


class Slot(NamedTuple):
    """Room for one task.

    Attributes:
        worker: Where it is.
        at: Seconds from now until it is free, 0.0 for room that is idle.
        cost: Core-seconds that preemption throws away for it.
        victims: Tasks to stop first.
    """

    worker: Worker
    at: float = 0.0
    cost: float = 0.0
    victims: tuple[Task, ...] = ()


class RoomSource(abc.ABC):
    """Lists the room that a worker has, or can get, for equal tasks."""

    @abc.abstractmethod
    def slots(self, worker: Worker, demand: Resources, most: int) -> list[Slot]:
        """Return at most ``most`` slots, the best first."""


class IdleRoom(RoomSource):
    """Room that is free now."""

    def slots(self, worker: Worker, demand: Resources, most: int) -> list[Slot]:
        """See base class."""
        count = _fitting(worker.free, demand, most)
        return [Slot(worker)] * count


class ReleasedRoom(RoomSource):
    """Room that is free now or once running tasks end as estimated.

    Args:
        now: Steady-clock seconds.
        book: Expected run times.
    """

    def __init__(self, now: float, book: SpeedBook) -> None:
        self._now = now
        self._book = book

    def slots(self, worker: Worker, demand: Resources, most: int) -> list[Slot]:
        """See base class."""
        free = worker.free
        slots = [Slot(worker)] * _fitting(free, demand, most)
        running = sorted(
            worker.tasks_by_key.values(), key=lambda task: self._left_s(task)
        )
        for task in running:
            if len(slots) >= most:
                break
            if task.stage.spec.service:
                continue
            free = free.plus(room_taken(task.stage.spec))
            count = _fitting(free, demand, most)
            at = self._left_s(task)
            slots.extend([Slot(worker, at)] * (count - len(slots)))
        return slots

    def _left_s(self, task: Task) -> float:
        return left_s(task, self._book, self._now)


class PreemptibleRoom(RoomSource):
    """Room that is free now or after lower-ranked tasks are stopped.

    Args:
        now: Steady-clock seconds.
        rank: Rank of the step that needs room.
        rank_of: Returns the rank of a running task's step; only tasks with a
            higher number are stopped.
    """

    def __init__(self, now: float, rank: int, rank_of) -> None:
        self._now = now
        self._rank = rank
        self._rank_of = rank_of

    def slots(self, worker: Worker, demand: Resources, most: int) -> list[Slot]:
        """See base class."""
        free = worker.free
        slots = [Slot(worker)] * _fitting(free, demand, most)
        stopping = [t for t in worker.tasks_by_key.values() if t.state == "stopping"]
        for task in stopping:
            free = free.plus(room_taken(task.stage.spec))
        count = _fitting(free, demand, most)
        slots.extend([Slot(worker, 0.1)] * (count - len(slots)))
        victims: list[Task] = []
        cost = 0.0
        for task in self._victims(worker):
            if len(slots) >= most:
                break
            free = free.plus(room_taken(task.stage.spec))
            victims.append(task)
            cost += stop_cost(task, self._now)
            count = _fitting(free, demand, most)
            if count > len(slots):
                slots.append(Slot(worker, 0.2, cost, tuple(victims)))
                slots.extend([Slot(worker, 0.2)] * (count - len(slots)))
                victims, cost = [], 0.0
        return slots

    def _victims(self, worker: Worker) -> list[Task]:
        lower = [
            task
            for task in worker.tasks_by_key.values()
            if task.state in ("starting", "running")
            and not task.stage.spec.service
            and self._rank_of(task.stage) > self._rank
        ]
        return sorted(
            lower,
            key=lambda t: (-self._rank_of(t.stage), stop_cost(t, self._now)),
        )


def left_s(task: Task, book: SpeedBook, now: float) -> float:
    """Return the expected seconds until a run ends."""
    if task.state == "stopping":
        return 0.1
    estimate = book.expected_s(task.stage)
    spent = max(now - task.started_at, 0.0)
    if task.percent >= 5 and spent > 0.3:
        return max(spent * (100 - task.percent) / task.percent, 0.05)
    return max(estimate - spent, 0.1 * estimate)


def stop_cost(task: Task, now: float) -> float:
    """Return the core-seconds that stopping a run throws away.

    An accelerator counts as 8 cores. All members of a gang end with one.
    """
    spec = task.stage.spec
    spent = 0.25 if spec.checkpoints else max(now - task.started_at, 0.0)
    cores = spec.demand.cpu_millis / 1000 + 8 * spec.demand.accelerators
    return cores * spent * (spec.tasks if spec.gang else 1)


def _fitting(free: Resources, demand: Resources, most: int) -> int:
    """Return how many times ``demand`` fits into ``free``, up to ``most``."""
    count = most
    for have, need in zip(free, demand, strict=True):
        if have < 0 and need:
            return 0
        if need > 0:
            count = min(count, have // need)
    return max(count, 0)


def eligible(stage: Stage, workers: Iterable[Worker], now: float) -> list[Worker]:
    """Return the workers that may run a step's tasks."""
    spec = stage.spec
    pool = stage.workflow.workflow.policy.pool
    label = spec.worker_label
    usable = [
        worker
        for worker in workers
        if worker.facts.pool == pool
        and (not label or label in worker.facts.labels)
        and worker.usable(now)
    ]
    if not stage.workflow.workflow.policy.advised:
        return usable
    return [worker for worker in usable if _permitted(stage, worker, now)]


def unadvised(stage: Stage, workers: Iterable[Worker], now: float) -> list[Worker]:
    """Return usable workers that the advice service may still allow."""
    return [
        worker
        for worker in workers
        if worker.facts.pool == stage.workflow.workflow.policy.pool
        and worker.usable(now)
        and worker.facts.worker_id not in stage.denied_workers
        and not _permitted(stage, worker, now)
    ]


def _permitted(stage: Stage, worker: Worker, now: float) -> bool:
    permit = stage.permits_by_worker.get(worker.facts.worker_id)
    return permit is not None and now < permit.until


def choose(
    stage: Stage, tasks: list[Task], workers: list[Worker], source: RoomSource
) -> list[Slot]:
    """Choose slots for tasks of one step, at most one for each task.

    A gang gets all or nothing. A step that is slower on several racks gets
    one rack if the rack is large enough when empty.
    """
    spec = stage.spec
    demand = room_taken(spec)
    by_rack: dict[str, list[Slot]] = {}
    for worker in workers:
        most = _allowed(stage, worker, len(tasks))
        found = source.slots(worker, demand, most) if most else []
        if found:
            by_rack.setdefault(worker.facts.rack, []).extend(found)
    if spec.gang and spec.same_rack and len(tasks) > 1:
        return _within_rack(stage, len(tasks), by_rack, workers)
    slots = [slot for found in by_rack.values() for slot in found]
    slots.sort(key=lambda slot: _preference(slot, spec.data_rack, demand))
    chosen = slots[: len(tasks)]
    if spec.gang and len(chosen) < len(tasks):
        return []
    return chosen


def _within_rack(
    stage: Stage, count: int, by_rack: dict[str, list[Slot]], workers: list[Worker]
) -> list[Slot]:
    spec = stage.spec
    demand = room_taken(spec)
    best: list[Slot] = []
    best_key: tuple | None = None
    for rack, found in by_rack.items():
        if len(found) < count:
            continue
        found.sort(key=lambda slot: _preference(slot, "", demand))
        chosen = found[:count]
        key = (
            rack != spec.data_rack if spec.data_rack else False,
            sum(is_slow(slot.worker) for slot in chosen),
            max(slot.at for slot in chosen),
            sum(slot.cost for slot in chosen),
            len(found),
        )
        if best_key is None or key < best_key:
            best, best_key = chosen, key
    if best or _largest_rack(stage, demand, count, workers) >= count:
        return best
    racks = sorted(by_rack.values(), key=len, reverse=True)
    spread = [slot for found in racks for slot in found][:count]
    return spread if len(spread) == count else []


def _largest_rack(
    stage: Stage, demand: Resources, count: int, workers: list[Worker]
) -> int:
    sizes: dict[str, int] = {}
    for worker in workers:
        most = _allowed(stage, worker, count)
        size = _fitting(worker.facts.capacity, demand, most)
        sizes[worker.facts.rack] = sizes.get(worker.facts.rack, 0) + size
    return max(sizes.values(), default=0)


def fits_when_empty(stage: Stage, count: int, workers: list[Worker]) -> bool:
    """Return whether the idle pool could hold the tasks at once."""
    demand = room_taken(stage.spec)
    total = 0
    for worker in workers:
        most = _allowed(stage, worker, count)
        total += _fitting(worker.facts.capacity, demand, most)
        if total >= count:
            return True
    return False


def _allowed(stage: Stage, worker: Worker, wanted: int) -> int:
    limit = stage.spec.worker_limit
    if not limit:
        return wanted
    present = sum(
        1
        for task in stage.tasks
        if task.worker_id == worker.facts.worker_id and task.placed
    )
    return max(min(wanted, limit - present), 0)


def _preference(slot: Slot, data_rack: str, demand: Resources) -> tuple:
    worker = slot.worker
    away = bool(data_rack) and worker.facts.rack != data_rack
    left = worker.free.minus(demand)
    return (
        away,
        is_slow(worker),
        slot.cost > 0,
        slot.at,
        slot.cost,
        worker.failures > worker.successes,
        left.accelerators,
        left.memory_mb,
    )


def total_demand(tasks: Iterable[Task]) -> Resources:
    """Return the room that tasks take together."""
    total = NOTHING
    for task in tasks:
        total = total.plus(room_taken(task.stage.spec))
    return total
