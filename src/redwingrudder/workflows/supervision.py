"""Running tasks that should run elsewhere."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from .placement import left_s
from .speeds import LEAST_PERCENT, SpeedBook, is_slow, pays_to_restart
from .state import Task, Worker

# A run whose progress stands still this long is stuck. Progress comes in
# whole percents, so long runs are given a share of their time.
STUCK_S = 3.0
STUCK_SHARE = 0.1
# Time for the end of a run to be listed before its worker is gone.
EVACUATION_MARGIN_S = 0.3


class Intervention(NamedTuple):
    """A run to stop.

    Attributes:
        task: The task of the run.
        reason: For the log: "no_progress", "slow_worker" or "worker_leaves".
        blames_worker: Counts as a failure of the worker.
    """

    task: Task
    reason: str
    blames_worker: bool = False


def interventions(
    workers: Iterable[Worker], speeds: SpeedBook, now: float
) -> Iterator[Intervention]:
    """Yield the runs to stop, so that their tasks start elsewhere.

    Args:
        workers: All known workers.
        speeds: Expected run times.
        now: Steady-clock seconds.
    """
    for worker in workers:
        for task in list(worker.tasks_by_key.values()):
            if task.state != "running":
                continue
            if is_stuck(task, worker, speeds):
                yield Intervention(task, "no_progress", blames_worker=True)
            elif outlasts(task, worker, speeds, now):
                yield Intervention(task, "worker_leaves")
            elif is_slow(worker) and pays_to_restart(task, speeds):
                yield Intervention(task, "slow_worker")


def is_stuck(task: Task, worker: Worker, speeds: SpeedBook) -> bool:
    """Return whether a run's progress stands still.

    A gang's member at 100 percent waits for the slower ones.
    """
    if task.stage.spec.service or not worker.reachable or task.percent >= 100:
        return False
    whole_s = speeds.expected_s(task.stage)
    if task.percent >= LEAST_PERCENT:
        worked_s = task.progressed_at - task.started_at
        whole_s = max(whole_s, worked_s * 100 / task.percent)
    patience_s = max(STUCK_S, STUCK_SHARE * whole_s)
    return task.reported_at - task.progressed_at > patience_s


def outlasts(task: Task, worker: Worker, speeds: SpeedBook, now: float) -> bool:
    """Return whether a run would be lost when its draining worker leaves.

    A stop saves what can be saved, and the task starts elsewhere sooner.
    """
    if not worker.facts.draining:
        return False
    stay_s = worker.leaves_at - now - EVACUATION_MARGIN_S
    return task.stage.spec.service or left_s(task, speeds, now) > stay_s
