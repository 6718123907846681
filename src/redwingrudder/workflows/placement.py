"""Where the tasks of a step run, and what frees capacity for them."""

import abc
from collections.abc import Callable, Container, Iterable
from typing import NamedTuple

from .model import Resources, TaskKey
from .run_times import RunTimeEstimates, is_slow
from .state import Stage, Task, Worker, resources_used


class PlacementOption(NamedTuple):
    """Capacity for one task.

    Attributes:
        worker: Where it is.
        at: Seconds from now until it is free, 0.0 for idle capacity.
        cost: Core-seconds that preemption throws away for it.
        victims: Tasks to stop first.
        order_cost: Cost that it is ordered by. The victims of a worker's
            earlier options free capacity for the later ones too, so this never
            falls from one option of a worker to the next.
        position: Number of the option on its worker.
    """

    worker: Worker
    at: float = 0.0
    cost: float = 0.0
    victims: tuple[Task, ...] = ()
    order_cost: float = 0.0
    position: int = 0


class CapacitySource(abc.ABC):
    """Lists the capacity that a worker has, or can get, for equal tasks."""

    @abc.abstractmethod
    def options(
        self, worker: Worker, demand: Resources, most: int
    ) -> list[PlacementOption]:
        """Return at most ``most`` options, the best first."""


class IdleCapacity(CapacitySource):
    """Capacity that is free now."""

    def options(
        self, worker: Worker, demand: Resources, most: int
    ) -> list[PlacementOption]:
        """See base class."""
        count = _fitting(worker.free, demand, most)
        return [PlacementOption(worker)] * count


class ReleasedCapacity(CapacitySource):
    """Capacity that is free now or once running tasks end as estimated.

    Args:
        now: Steady-clock seconds.
        run_times: Expected run times.
    """

    def __init__(self, now: float, run_times: RunTimeEstimates) -> None:
        self._now = now
        self._run_times = run_times

    def options(
        self, worker: Worker, demand: Resources, most: int
    ) -> list[PlacementOption]:
        """See base class."""
        free = worker.free
        options = [PlacementOption(worker)] * _fitting(free, demand, most)
        running = sorted(
            worker.tasks_by_key.values(), key=lambda task: self._left_s(task)
        )
        for task in running:
            if len(options) >= most:
                break
            if task.stage.spec.service:
                continue
            free = free.plus(resources_used(task.stage.spec))
            count = _fitting(free, demand, most)
            at = self._left_s(task)
            options.extend([PlacementOption(worker, at)] * (count - len(options)))
        return options

    def _left_s(self, task: Task) -> float:
        return remaining_run_s(task, self._run_times, self._now)


class PreemptibleCapacity(CapacitySource):
    """Capacity that is free now or after lower-ranked tasks are stopped.

    Args:
        now: Steady-clock seconds.
        rank: Rank of the step that needs capacity.
        rank_of: Returns the rank of a running task's step; only tasks with a
            higher number are stopped.
        doomed: Keys of tasks whose stop is decided; their capacity costs
            nothing.
    """

    def __init__(
        self,
        now: float,
        rank: int,
        rank_of: Callable[[Stage], int],
        doomed: Container[TaskKey],
    ) -> None:
        self._now = now
        self._rank = rank
        self._rank_of = rank_of
        self._doomed = doomed

    def options(
        self, worker: Worker, demand: Resources, most: int
    ) -> list[PlacementOption]:
        """See base class."""
        free = worker.free
        options = [PlacementOption(worker)] * _fitting(free, demand, most)
        stopping = [
            task
            for key, task in worker.tasks_by_key.items()
            if task.state == "stopping" or key in self._doomed
        ]
        for task in stopping:
            free = free.plus(resources_used(task.stage.spec))
        count = _fitting(free, demand, most)
        options.extend([PlacementOption(worker, 0.1)] * (count - len(options)))
        victims: list[Task] = []
        cost = order_cost = 0.0
        for task in self._victims(worker):
            if len(options) >= most:
                break
            free = free.plus(resources_used(task.stage.spec))
            victims.append(task)
            cost += stop_cost(task, self._now)
            count = _fitting(free, demand, most)
            if count > len(options):
                order_cost = max(order_cost, cost)
                first = PlacementOption(worker, 0.2, cost, tuple(victims), order_cost)
                options.append(first._replace(position=len(options)))
                options.extend(
                    PlacementOption(
                        worker, 0.2, order_cost=order_cost, position=position
                    )
                    for position in range(len(options), count)
                )
                victims, cost = [], 0.0
        return options

    def _victims(self, worker: Worker) -> list[Task]:
        lower = [
            task
            for key, task in worker.tasks_by_key.items()
            if task.state in ("starting", "running")
            and key not in self._doomed
            and not task.stage.spec.service
            and self._rank_of(task.stage) > self._rank
        ]
        return sorted(
            lower,
            key=lambda t: (-self._rank_of(t.stage), stop_cost(t, self._now)),
        )


def remaining_run_s(task: Task, run_times: RunTimeEstimates, now: float) -> float:
    """Return the expected seconds until a run ends."""
    if task.state == "stopping":
        return 0.1
    unseen_s = now - task.reported_at
    share_left = (100 - task.percent) / 100
    worked_s = task.reported_at - task.started_at
    # A resumed run begins above 0 percent, so its progress shows no speed.
    if task.run_resumed or task.percent < 5 or worked_s < 0.3:
        estimate = run_times.expected_s(task.stage) * share_left
        return max(estimate - unseen_s, 0.1 * estimate)
    return max(worked_s * 100 / task.percent * share_left - unseen_s, 0.05)


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
    # Accelerators come first, as they are the scarcest.
    for have, need in zip(reversed(free), reversed(demand), strict=True):
        if need:
            count = min(count, have // need)
            if count <= 0:
                return 0
    return count


def usable_workers(
    pool: str, label: str, workers: Iterable[Worker], now: float
) -> list[Worker]:
    """Return the workers of a pool that have a label and take new runs."""
    return [
        worker
        for worker in workers
        if worker.facts.pool == pool
        and (not label or label in worker.facts.labels)
        and worker.usable(now)
    ]


def eligible(
    stage: Stage, usable: list[Worker], sound: list[Worker], now: float
) -> list[Worker]:
    """Return the workers that may run a step's tasks.

    Slow workers are left out as long as there are enough others. So are, for
    a step with failed runs, workers that are suspected to cause failures, as
    it has few attempts left.

    Args:
        stage: The step.
        usable: Workers of its pool, with its label, that take new runs.
        sound: Those of them that are not slow.
        now: Steady-clock seconds.
    """
    trusted = sound
    if stage.workflow.workflow.policy.advised:
        usable = [worker for worker in usable if _permitted(stage, worker, now)]
        trusted = [worker for worker in sound if _permitted(stage, worker, now)]
    if any(task.failures for task in stage.tasks):
        failed = set().union(*(task.failed_workers for task in stage.tasks))
        trusted = [
            worker
            for worker in trusted
            if worker.facts.worker_id not in failed and not worker.is_suspect(now)
        ]
    if len(trusted) == len(usable):
        return trusted
    needed = len(stage.tasks) if stage.spec.gang else 1
    return trusted if fits_when_empty(stage, needed, trusted) else usable


def unadvised(stage: Stage, usable: list[Worker], now: float) -> list[Worker]:
    """Return usable workers that the advice service may still allow."""
    return [
        worker
        for worker in usable
        if worker.facts.worker_id not in stage.denied_workers
        and not _permitted(stage, worker, now)
    ]


def _permitted(stage: Stage, worker: Worker, now: float) -> bool:
    permit = stage.permits_by_worker.get(worker.facts.worker_id)
    return permit is not None and now < permit.until


def choose(
    stage: Stage,
    tasks: list[Task],
    workers: list[Worker],
    source: CapacitySource,
    now: float,
) -> list[PlacementOption]:
    """Choose options for tasks of one step, at most one for each task.

    A gang gets all or nothing. A step that is slower on several racks gets
    one rack if the rack is large enough when empty.
    """
    spec = stage.spec
    demand = resources_used(spec)
    by_rack: dict[str, list[PlacementOption]] = {}
    for worker in workers:
        most = _allowed(stage, worker, len(tasks))
        found = source.options(worker, demand, most) if most else []
        if found:
            by_rack.setdefault(worker.facts.rack, []).extend(found)
    if spec.gang and spec.same_rack and len(tasks) > 1:
        return _within_rack(stage, len(tasks), by_rack, workers, now)
    options = [option for found in by_rack.values() for option in found]
    options.sort(key=_preference(spec.data_rack, demand, now))
    chosen = options[: len(tasks)]
    if spec.gang and len(chosen) < len(tasks):
        return []
    return chosen


def _within_rack(
    stage: Stage,
    count: int,
    by_rack: dict[str, list[PlacementOption]],
    workers: list[Worker],
    now: float,
) -> list[PlacementOption]:
    spec = stage.spec
    demand = resources_used(spec)
    preference = _preference("", demand, now)
    best: list[PlacementOption] = []
    best_key: tuple | None = None
    for rack, found in by_rack.items():
        if len(found) < count:
            continue
        found.sort(key=preference)
        chosen = found[:count]
        key = (
            rack != spec.data_rack if spec.data_rack else False,
            sum(is_slow(option.worker) for option in chosen),
            sum(option.worker.is_suspect(now) for option in chosen),
            max(option.at for option in chosen),
            sum(option.cost for option in chosen),
            len(found),
        )
        if best_key is None or key < best_key:
            best, best_key = chosen, key
    if best or _largest_rack(stage, demand, count, workers) >= count:
        return best
    racks = sorted(by_rack.values(), key=len, reverse=True)
    spread = [option for found in racks for option in found][:count]
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
    demand = resources_used(stage.spec)
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


def _preference(
    data_rack: str, demand: Resources, now: float
) -> Callable[[PlacementOption], tuple]:
    """Return the sort key of options; workers repeat, so keys are kept."""
    keys: dict[int, tuple] = {}

    def key(option: PlacementOption) -> tuple:
        known = keys.get(id(option))
        if known is None:
            known = keys[id(option)] = _rate(option, data_rack, demand, now)
        return known

    return key


def _rate(
    option: PlacementOption, data_rack: str, demand: Resources, now: float
) -> tuple:
    worker = option.worker
    left = worker.free.minus(demand)
    return (
        bool(data_rack) and worker.facts.rack != data_rack,
        is_slow(worker),
        worker.is_suspect(now),
        option.order_cost > 0,
        option.at,
        option.order_cost,
        left.accelerators,
        left.memory_mb,
        worker.facts.worker_id,
        option.position,
    )
