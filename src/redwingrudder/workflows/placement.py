"""Choice of workers for a step's tasks, and of runs to preempt for them."""

import abc
import math
from collections.abc import Callable, Container, Iterable
from typing import NamedTuple

from .model import Resources, TaskKey
from .room import (
    Room,
    count_fitting,
    find_room,
    max_tasks_on_worker,
    may_find_room,
)
from .run_times import RunTimeEstimates, is_slow
from .state import SUSPECT_S, Stage, Task, Worker, is_lasting, resources_used

# Below this progress and elapsed time, the remaining run time is derived from
# the expected run time rather than from the progress of the run.
MIN_PROJECTION_PERCENT = 5
MIN_PROJECTION_S = 0.3
# Lower bounds on the remaining time of a run that should have ended by now: a
# fraction of the expected run time, or seconds if projected from progress.
MIN_REMAINING_ESTIMATE_SHARE = 0.1
MIN_REMAINING_S = 0.05
# Work lost when a run that saves checkpoints is stopped.
CHECKPOINTED_LOSS_S = 0.25
# Longest time between two failures of a series, in which several workers begin
# to fail for the same cause.
SERIES_GAP_S = 1.0
# A single failure may be that of a run that cannot succeed anywhere.
MIN_FAILURES = 2
# Failed runs in a row after which a worker is taken to fail all runs.
MIN_REPEATED_FAILURES = 2
# Number of starts in a row without a run after which a task does not return to
# its worker any more.
MAX_REJECTIONS = 2
# Time for which a gang leaves a worker on trial out and waits for room on the
# others, as one member that does not begin costs the starts of all.
GANG_TRIAL_WAIT_S = 2.0
# Cores that an accelerator counts for in the cost of stopping a run.
CORES_PER_ACCELERATOR = 8


class PlacementOption(NamedTuple):
    """Capacity for one task on a worker.

    Attributes:
        worker: Worker that has the capacity.
        available_in_s: Expected seconds until the capacity is free, 0.0 for
            idle capacity.
        cost_core_s: Core-seconds of work lost by stopping ``victims``.
        victims: Tasks whose runs must be stopped first.
        order_cost_core_s: Cost by which options are sorted. It never decreases
            from one option of a worker to the next, because the later options
            also rely on the capacity freed by the victims of earlier ones.
        position: Index of the option on its worker, 0 for options that need
            no preemption.
        reserved_in_s: Expected seconds until a waiting step uses the capacity
            that is reserved for it, infinite if the capacity is not reserved.
    """

    worker: Worker
    available_in_s: float = 0.0
    cost_core_s: float = 0.0
    victims: tuple[Task, ...] = ()
    order_cost_core_s: float = 0.0
    position: int = 0
    reserved_in_s: float = math.inf


class CapacitySource(abc.ABC):
    """Lists the capacity that a worker has, or can free, for equal tasks."""

    @abc.abstractmethod
    def options(
        self, worker: Worker, demand: Resources, max_count: int
    ) -> list[PlacementOption]:
        """Return the worker's options for a task, the best first.

        Args:
            worker: The worker.
            demand: Resources that one task counts against its capacity.
            max_count: Largest number of options to return.
        """


class IdleCapacity(CapacitySource):
    """Capacity that is idle at present."""

    def options(
        self, worker: Worker, demand: Resources, max_count: int
    ) -> list[PlacementOption]:
        """See base class."""
        count = count_fitting(worker.free, demand, max_count)
        return [PlacementOption(worker)] * count


class LentCapacity(CapacitySource):
    """Capacity that is idle at present, if need be from a reservation.

    Args:
        needed_for_s: Seconds for which the capacity is needed. Reservations
            that are expected to be used sooner are not lent.
    """

    def __init__(self, needed_for_s: float = 0.0) -> None:
        self._needed_for_s = needed_for_s

    def options(
        self, worker: Worker, demand: Resources, max_count: int
    ) -> list[PlacementOption]:
        """See base class."""
        count = count_fitting(worker.free, demand, max_count)
        options = [PlacementOption(worker)] * count
        if self._needed_for_s <= worker.reserved_in_s < math.inf:
            lent = PlacementOption(worker, reserved_in_s=worker.reserved_in_s)
            lendable = count_fitting(worker.unclaimed, demand, max_count)
            options += [lent] * (lendable - count)
        return options


class ReleasedCapacity(CapacitySource):
    """Capacity that is idle, or free when runs end at their expected time.

    Args:
        now: Node-clock seconds.
        run_times: Expected run times.
    """

    def __init__(self, now: float, run_times: RunTimeEstimates) -> None:
        self._now = now
        self._run_times = run_times

    def options(
        self, worker: Worker, demand: Resources, max_count: int
    ) -> list[PlacementOption]:
        """See base class."""
        free = worker.free
        options = [PlacementOption(worker)] * count_fitting(free, demand, max_count)
        running = sorted(
            worker.tasks_by_key.values(), key=lambda task: self._remaining_s(task)
        )
        for task in running:
            if len(options) >= max_count:
                break
            if is_lasting(task):
                continue
            free = free.plus(resources_used(task.stage.spec))
            count = count_fitting(free, demand, max_count)
            available_in_s = self._remaining_s(task)
            options.extend(
                [PlacementOption(worker, available_in_s)] * (count - len(options))
            )
        return options

    def _remaining_s(self, task: Task) -> float:
        return remaining_run_s(task, self._run_times, self._now)


class PreemptibleCapacity(CapacitySource):
    """Capacity that is idle, or free after less urgent runs are stopped.

    Args:
        now: Node-clock seconds.
        rank: Rank of the step that needs capacity.
        rank_of: Returns the rank of a running task's step. Only tasks with a
            numerically higher rank are stopped.
        stopping_keys: Keys of tasks that this planning pass already stops.
            Their capacity is counted at no cost.
        run_times: Expected times of stops.
    """

    def __init__(
        self,
        now: float,
        rank: int,
        rank_of: Callable[[Stage], int],
        stopping_keys: Container[TaskKey],
        run_times: RunTimeEstimates,
    ) -> None:
        self._now = now
        self._run_times = run_times
        self._rank = rank
        self._rank_of = rank_of
        self._stopping_keys = stopping_keys

    def options(
        self, worker: Worker, demand: Resources, max_count: int
    ) -> list[PlacementOption]:
        """See base class."""
        free = worker.free
        options = [PlacementOption(worker)] * count_fitting(free, demand, max_count)
        stopping = [
            task
            for key, task in worker.tasks_by_key.items()
            if task.state == "stopping" or key in self._stopping_keys
        ]
        for task in stopping:
            free = free.plus(resources_used(task.stage.spec))
        count = count_fitting(free, demand, max_count)
        options.extend(
            [PlacementOption(worker, self._run_times.stopping_s)]
            * (count - len(options))
        )
        victims: list[Task] = []
        cost_core_s = order_cost_core_s = 0.0
        for task in self._victims(worker):
            if len(options) >= max_count:
                break
            free = free.plus(resources_used(task.stage.spec))
            victims.append(task)
            cost_core_s += stop_cost(task, self._now)
            count = count_fitting(free, demand, max_count)
            if count > len(options):
                order_cost_core_s = max(order_cost_core_s, cost_core_s)
                first = PlacementOption(
                    worker,
                    self._run_times.preempted_s,
                    cost_core_s,
                    tuple(victims),
                    order_cost_core_s,
                )
                options.append(first._replace(position=len(options)))
                options.extend(
                    PlacementOption(
                        worker,
                        self._run_times.preempted_s,
                        order_cost_core_s=order_cost_core_s,
                        position=position,
                    )
                    for position in range(len(options), count)
                )
                victims, cost_core_s = [], 0.0
        return options

    def _victims(self, worker: Worker) -> list[Task]:
        lower = [
            task
            for key, task in worker.tasks_by_key.items()
            if task.state in ("starting", "running")
            and key not in self._stopping_keys
            and not task.stage.spec.service
            and self._rank_of(task.stage) > self._rank
        ]
        return sorted(
            lower,
            key=lambda t: (-self._rank_of(t.stage), stop_cost(t, self._now)),
        )


def remaining_run_s(task: Task, run_times: RunTimeEstimates, now: float) -> float:
    """Return the expected seconds until a run ends.

    The value is extrapolated from the run's progress if that is sufficient,
    and otherwise derived from the expected run time of its step.
    """
    if task.state == "stopping":
        return run_times.stopping_s
    since_report_s = now - task.reported_at
    share_left = (100 - task.percent) / 100
    reported_elapsed_s = task.reported_at - task.started_at
    # A resumed run starts above 0 percent, so percent divided by elapsed time
    # is not its speed.
    if (
        task.run_resumed
        or task.percent < MIN_PROJECTION_PERCENT
        or reported_elapsed_s < MIN_PROJECTION_S
    ):
        estimate = run_times.expected_run_s(task) * share_left
        return max(estimate - since_report_s, MIN_REMAINING_ESTIMATE_SHARE * estimate)
    return max(
        reported_elapsed_s * 100 / task.percent * share_left - since_report_s,
        MIN_REMAINING_S,
    )


def stop_cost(task: Task, now: float) -> float:
    """Return the core-seconds of work lost by stopping a run.

    An accelerator counts as ``CORES_PER_ACCELERATOR`` cores. Stopping one
    member of a gang stops all of them, so the cost is that of the whole gang.
    """
    spec = task.stage.spec
    lost_s = (
        CHECKPOINTED_LOSS_S if spec.checkpoints else max(now - task.started_at, 0.0)
    )
    cores = (
        spec.demand.cpu_millis / 1000 + CORES_PER_ACCELERATOR * spec.demand.accelerators
    )
    return cores * lost_s * (spec.tasks if spec.gang else 1)


def usable_workers(
    pool: str, label: str, workers: Iterable[Worker], now: float
) -> list[Worker]:
    """Return the workers of a pool that accept new runs and have a label.

    Args:
        pool: Name of the pool.
        label: Label that a worker must have, "" for any worker.
        workers: All workers.
        now: Node-clock seconds.
    """
    return [
        worker
        for worker in workers
        if worker.facts.pool == pool
        and (not label or label in worker.facts.labels)
        and worker.usable(now)
    ]


def without_quarantined(
    stage: Stage, workers: list[Worker], suspects: list[Worker], now: float
) -> list[Worker]:
    """Return the workers that are not in quarantine for a step's workflow.

    Args:
        stage: The step.
        workers: Workers that may run its tasks.
        suspects: Workers whose newest runs failed; no others are in
            quarantine for single workflows.
        now: Node-clock seconds.

    Returns:
        The same list if none is.
    """
    workflow_id = stage.workflow.workflow.workflow_id
    left_out = {
        worker.facts.worker_id
        for worker in suspects
        if now < worker.quarantine_ends_at(workflow_id)
    }
    if not left_out:
        return workers
    return [worker for worker in workers if worker.facts.worker_id not in left_out]


def present_workers(pool: str, label: str, workers: Iterable[Worker]) -> list[Worker]:
    """Return the workers of a pool that answer and are to stay.

    Args:
        pool: Name of the pool.
        label: Label that a worker must have, "" for any worker.
        workers: All workers.
    """
    return [
        worker
        for worker in workers
        if worker.facts.pool == pool
        and (not label or label in worker.facts.labels)
        and worker.present
    ]


def eligible_workers(
    stage: Stage,
    usable: list[Worker],
    not_slow: list[Worker],
    now: float,
) -> list[Worker]:
    """Return the workers that may run a step's tasks.

    Slow workers are excluded if the others have room, now or later. If the
    step has failed runs, so that few attempts are left, so are the workers of
    these runs and others that are suspected of causing failures. Room that
    becomes free later is then waited for until ``SUSPECT_S`` after the newest
    failure, as such workers have typically recovered by then. If the others
    have no room, the step returns to them, but neither to one that has failed
    several runs in a row nor, with its last attempt, to a suspect. Without any
    others it returns at once. A queue that needs advice does not use workers
    that the advice service has denied.

    Args:
        stage: The step.
        usable: Workers of its pool, with its label, that accept new runs.
        not_slow: The workers in ``usable`` that are not slow.
        now: Node-clock seconds.
    """
    preferred = not_slow
    if stage.workflow.policy.advised:
        usable = _without_denied(stage, usable)
        preferred = _without_denied(stage, not_slow)
    has_failed = any(task.failures for task in stage.tasks)
    if has_failed:
        failed = set().union(*(task.failed_workers for task in stage.tasks))
        preferred = [
            worker
            for worker in preferred
            if worker.facts.worker_id not in failed and not worker.is_suspect(now)
        ]
    if len(preferred) == len(usable):
        return preferred
    needed = len(stage.tasks) if stage.spec.gang else 1
    room = find_room(stage, needed, preferred)
    if room is Room.NOW:
        return preferred
    waits = not has_failed or now - stage.failed_at < SUSPECT_S
    if room is Room.LATER and waits:
        return preferred
    if not has_failed or not preferred:
        return usable
    limit = 1 if _is_last_attempt(stage) else MIN_REPEATED_FAILURES
    return [
        worker
        for worker in usable
        if worker.failures < limit or not worker.is_suspect(now)
    ]


def without_trials(stage: Stage, candidates: list[Worker], now: float) -> list[Worker]:
    """Return the workers for a gang, without those whose starts may fail.

    Workers on trial are left out while the others have room for the gang, now
    or, for ``GANG_TRIAL_WAIT_S``, later. This does not take a gang out of the
    only rack that it fits into. Other steps may use all workers.

    Args:
        stage: The step.
        candidates: Workers that may run its tasks.
        now: Node-clock seconds.
    """
    if not stage.spec.gang:
        return candidates
    fit = [
        worker
        for worker in candidates
        if not worker.start_trials.on_trial
        or now - worker.start_trials.changed_at >= GANG_TRIAL_WAIT_S
    ]
    count = len(stage.tasks)
    if len(fit) == len(candidates) or not may_find_room(stage, count, fit):
        return candidates
    if stage.spec.same_rack and not _may_fit_into_rack(stage, count, fit):
        # It would be spread over racks, and slow for as long as it runs.
        return candidates if _may_fit_into_rack(stage, count, candidates) else fit
    return fit


def _is_last_attempt(stage: Stage) -> bool:
    """Return whether the next failure of a task or gang fails the workflow."""
    failures = max(task.failures for task in stage.tasks if not task.ended)
    return failures >= stage.workflow.policy.attempts - 1


def failures_since(stage: Stage, suspects: list[Worker]) -> float | None:
    """Return when the series of failures began that a step has met.

    Several workers often begin to fail at the same time. The next attempt of
    a task should not run on one whose first failure is still to come.

    Args:
        stage: The step.
        suspects: Workers whose newest runs failed.

    Returns:
        Node-clock seconds of the first failure in the newest series of
        failures, None if no task of the step has failed or there is no series.
    """
    if math.isinf(stage.failed_at):
        return None
    pool = stage.workflow.policy.pool
    in_pool = [worker for worker in suspects if worker.facts.pool == pool]
    in_pool.sort(key=lambda worker: -worker.failing_since)
    began_at = math.inf
    failures = 0
    for worker in in_pool:
        if began_at - worker.failing_since > SERIES_GAP_S and failures:
            break
        began_at = worker.failing_since
        failures += worker.failures
    return began_at if failures >= MIN_FAILURES else None


def permitted_workers(
    stage: Stage, workers: Iterable[Worker], now: float
) -> list[Worker]:
    """Return the workers with a permit for starts of a step."""
    if not stage.advice.permit_by_worker:
        return []
    return [worker for worker in workers if stage.advice.permits(worker.facts, now)]


def _without_denied(stage: Stage, workers: list[Worker]) -> list[Worker]:
    if not stage.advice.has_denials:
        # The planner recognises the list of a whole pool.
        return workers
    return [worker for worker in workers if not stage.advice.denies(worker.facts)]


def choose_options(
    stage: Stage,
    tasks: list[Task],
    workers: list[Worker],
    source: CapacitySource,
    now: float,
    may_cross_racks: bool = False,
) -> list[PlacementOption]:
    """Choose placement options for tasks of a step, at most one for each.

    For a gang, either all tasks get an option or none does. A gang that is
    slower on several racks is spread over racks only if it would not fit into
    any single rack even if only the lasting tasks there went on, or if it may
    not wait for one rack.

    Args:
        stage: The step.
        tasks: Tasks of the step to place.
        workers: Workers that may run them.
        source: Lists the capacity of a worker.
        now: Node-clock seconds.
        may_cross_racks: Whether a gang is spread over racks if none has room
            for it now.
    """
    spec = stage.spec
    demand = resources_used(spec)
    options_by_rack: dict[str, list[PlacementOption]] = {}
    for worker in workers:
        max_count = max_tasks_on_worker(stage, worker, len(tasks))
        found = source.options(worker, demand, max_count) if max_count else []
        if found:
            options_by_rack.setdefault(worker.facts.rack, []).extend(found)
    if spec.gang and spec.same_rack and len(tasks) > 1:
        in_rack = _choose_within_rack(stage, tasks, options_by_rack, workers, now)
        if in_rack or not may_cross_racks:
            return in_rack
        return _choose_across_racks(options_by_rack, len(tasks))
    options = [option for found in options_by_rack.values() for option in found]
    preferred_ids = _all_preferred(stage, tasks, now)
    options.sort(key=_preference(spec.data_rack, demand, preferred_ids, now))
    chosen = options[: len(tasks)]
    if spec.gang and len(chosen) < len(tasks):
        return []
    return chosen


def _choose_within_rack(
    stage: Stage,
    tasks: list[Task],
    options_by_rack: dict[str, list[PlacementOption]],
    workers: list[Worker],
    now: float,
) -> list[PlacementOption]:
    spec = stage.spec
    demand = resources_used(spec)
    count = len(tasks)
    preference = _preference("", demand, _all_preferred(stage, tasks, now), now)
    best: list[PlacementOption] = []
    best_key: tuple | None = None
    for rack, found in options_by_rack.items():
        if len(found) < count:
            continue
        found.sort(key=preference)
        chosen = found[:count]
        key = (
            rack != spec.data_rack if spec.data_rack else False,
            sum(is_slow(option.worker) for option in chosen),
            sum(option.worker.is_suspect(now) for option in chosen),
            sum(option.worker.start_trials.on_trial for option in chosen),
            max(option.available_in_s for option in chosen),
            sum(option.cost_core_s for option in chosen),
            len(found),
        )
        if best_key is None or key < best_key:
            best, best_key = chosen, key
    if best or _may_fit_into_rack(stage, count, workers):
        return best
    return _choose_across_racks(options_by_rack, count)


def _choose_across_racks(
    options_by_rack: dict[str, list[PlacementOption]], count: int
) -> list[PlacementOption]:
    """Choose options in few racks, none if all racks have too few."""
    racks = sorted(options_by_rack.values(), key=len, reverse=True)
    chosen = [option for found in racks for option in found][:count]
    return chosen if len(chosen) == count else []


def _may_fit_into_rack(stage: Stage, count: int, workers: list[Worker]) -> bool:
    """Return whether one rack has room for the tasks, now or later."""
    workers_by_rack: dict[str, list[Worker]] = {}
    for worker in workers:
        workers_by_rack.setdefault(worker.facts.rack, []).append(worker)
    return any(
        may_find_room(stage, count, in_rack) for in_rack in workers_by_rack.values()
    )


def preferred_workers(stage: Stage, task: Task, now: float) -> tuple[str, ...]:
    """Return the workers on which the next run of a task should begin.

    These may still carry out an earlier start of the task; beside the next
    run on the same worker that has no effect. A task that is suspected of
    crashing its workers should not meet the same worker again, nor a task
    whose starts have no success there.

    Args:
        stage: Step of the task.
        task: The task.
        now: Node-clock seconds.
    """
    holder = stage.tasks[0] if stage.spec.gang else task
    if holder.suspicion != "clear" or task.rejections >= MAX_REJECTIONS:
        return ()
    return task.late_start_workers(now)


def _all_preferred(stage: Stage, tasks: list[Task], now: float) -> frozenset[str]:
    return frozenset(
        worker_id
        for task in tasks
        if task.late_starts_by_worker
        for worker_id in preferred_workers(stage, task, now)
    )


def _preference(
    data_rack: str, demand: Resources, preferred_ids: frozenset[str], now: float
) -> Callable[[PlacementOption], tuple]:
    """Return a sort key function for options.

    An option object may occur several times in the list that is sorted, so
    the function caches the key of each object.
    """
    keys: dict[int, tuple] = {}

    def key(option: PlacementOption) -> tuple:
        cached = keys.get(id(option))
        if cached is None:
            cached = keys[id(option)] = _option_sort_key(
                option, data_rack, demand, preferred_ids, now
            )
        return cached

    return key


def _option_sort_key(
    option: PlacementOption,
    data_rack: str,
    demand: Resources,
    preferred_ids: frozenset[str],
    now: float,
) -> tuple:
    worker = option.worker
    remaining = worker.free.minus(demand)
    is_preferred = worker.facts.worker_id in preferred_ids
    return (
        bool(data_rack) and worker.facts.rack != data_rack,
        is_slow(worker),
        worker.is_suspect(now),
        worker.start_trials.on_trial and not is_preferred,
        option.order_cost_core_s > 0,
        option.available_in_s,
        -option.reserved_in_s,
        option.order_cost_core_s,
        not is_preferred,
        remaining.accelerators,
        remaining.memory_mb,
        worker.facts.worker_id,
        option.position,
    )
