"""The room on a fleet at one moment, for the search of waiting tasks."""

from collections.abc import Iterable

from .model import Resources
from .placement import eligible_workers, without_quarantined
from .room import count_fitting, max_tasks_on_worker
from .run_times import is_slow
from .state import Stage, Task, Worker, resources_used


class FleetRoom:
    """Idle capacity of the workers that answer and are to stay.

    Capacity that is reserved for waiting steps counts as idle.

    Args:
        workers: All workers.
        now: Node-clock seconds.

    Attributes:
        demands: Number of different demands that were compared with all
            workers.
    """

    def __init__(self, workers: Iterable[Worker], now: float) -> None:
        self.demands = 0
        self._now = now
        self._present = [worker for worker in workers if worker.present]
        self._suspects = [w for w in self._present if w.is_suspect(now)]
        self._idle_by_id = {
            worker.facts.worker_id: Resources(*(max(x, 0) for x in worker.idle))
            for worker in self._present
        }
        self._workers_by_kind: dict[tuple[str, str], _WorkersOfKind] = {}
        self._fitting_by_demand: dict[tuple[str, str, Resources], list[Worker]] = {}

    def fitting(self, stage: Stage) -> list[Worker]:
        """Return the workers on which one task of a step fits."""
        kind = _kind(stage)
        demand = resources_used(stage.spec)
        found = self._fitting_by_demand.get((*kind, demand))
        if found is None:
            self.demands += 1
            found = [
                worker
                for worker in self._of_kind(stage).present
                if self._idle_by_id[worker.facts.worker_id].covers(demand)
            ]
            self._fitting_by_demand[*kind, demand] = found
        return found

    def usable(self, stage: Stage, workers: list[Worker]) -> list[Worker]:
        """Return those of the workers that accept new runs."""
        of_kind = self._of_kind(stage)
        if len(of_kind.usable) < len(of_kind.present):
            workers = common_workers(workers, of_kind.usable)
        return self._without_quarantined(stage, workers)

    def count_usable(self, stage: Stage) -> int:
        """Return how many workers accept new runs, with room or without."""
        usable = self._of_kind(stage).usable
        return len(self._without_quarantined(stage, usable))

    def eligible(self, stage: Stage) -> list[Worker]:
        """Return the workers that a pass may choose, with room or without."""
        of_kind = self._of_kind(stage)
        usable = self._without_quarantined(stage, of_kind.usable)
        not_slow = self._without_quarantined(stage, of_kind.not_slow)
        return eligible_workers(stage, usable, not_slow, self._now)

    def count(self, stage: Stage, wanted: int, workers: Iterable[Worker]) -> int:
        """Return how many tasks of a step fit, at most ``wanted``."""
        demand = resources_used(stage.spec)
        found = 0
        for worker in workers:
            max_count = max_tasks_on_worker(stage, worker, wanted - found)
            if max_count:
                idle = self._idle_by_id[worker.facts.worker_id]
                found += count_fitting(idle, demand, max_count)
            if found >= wanted:
                break
        return found

    def has_for(self, tasks: list[Task], workers: Iterable[Worker]) -> bool:
        """Return whether tasks of one step fit on workers together."""
        return self.count(tasks[0].stage, len(tasks), workers) == len(tasks)

    def _without_quarantined(self, stage: Stage, workers: list[Worker]) -> list[Worker]:
        return without_quarantined(stage, workers, self._suspects, self._now)

    def _of_kind(self, stage: Stage) -> "_WorkersOfKind":
        kind = _kind(stage)
        if kind not in self._workers_by_kind:
            self._workers_by_kind[kind] = _WorkersOfKind(
                *kind, self._present, self._now
            )
        return self._workers_by_kind[kind]


class _WorkersOfKind:
    """Workers of a pool that have a label.

    Attributes:
        present: All of them.
        usable: Those that accept new runs.
        not_slow: Those of them that are not slow.
    """

    def __init__(
        self, pool: str, label: str, present: list[Worker], now: float
    ) -> None:
        self.present = [
            worker
            for worker in present
            if worker.facts.pool == pool and (not label or label in worker.facts.labels)
        ]
        self.usable = [worker for worker in self.present if worker.usable(now)]
        self.not_slow = [worker for worker in self.usable if not is_slow(worker)]


def common_workers(workers: list[Worker], others: list[Worker]) -> list[Worker]:
    """Return the workers that are among the others, in their order."""
    other_ids = {worker.facts.worker_id for worker in others}
    return [worker for worker in workers if worker.facts.worker_id in other_ids]


def workers_by_rack(workers: list[Worker]) -> list[list[Worker]]:
    """Return the workers of each rack."""
    by_rack: dict[str, list[Worker]] = {}
    for worker in workers:
        by_rack.setdefault(worker.facts.rack, []).append(worker)
    return list(by_rack.values())


def _kind(stage: Stage) -> tuple[str, str]:
    """Return the pool and the label of a step's workers."""
    return stage.workflow.policy.pool, stage.spec.worker_label
