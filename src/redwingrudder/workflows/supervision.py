"""Running tasks that should run elsewhere."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from .placement import remaining_run_s
from .run_times import (
    MIN_PROGRESS_PERCENT,
    RunTimeEstimates,
    is_restart_worthwhile,
    is_slow,
)
from .state import Task, Worker

# A run whose progress stands still this long is stuck. Progress comes in
# whole percents, so long runs are given a share of their time.
STUCK_S = 3.0
STUCK_SHARE = 0.1
# Time for the end of a run to be listed before its worker is gone.
EVACUATION_MARGIN_S = 0.3


class RunInterruption(NamedTuple):
    """A run to stop.

    Attributes:
        task: The task of the run.
        reason: For the log: "no_progress", "slow_worker" or "worker_leaves".
        counts_against_worker: Counts as a failure of the worker.
    """

    task: Task
    reason: str
    counts_against_worker: bool = False


def runs_to_interrupt(
    workers: Iterable[Worker], run_times: RunTimeEstimates, now: float
) -> Iterator[RunInterruption]:
    """Yield the runs to stop, so that their tasks start elsewhere.

    Args:
        workers: All known workers.
        run_times: Expected run times.
        now: Steady-clock seconds.
    """
    for worker in workers:
        for task in list(worker.tasks_by_key.values()):
            if task.state != "running":
                continue
            if is_stuck(task, worker, run_times):
                yield RunInterruption(task, "no_progress", counts_against_worker=True)
            elif ends_after_worker_leaves(task, worker, run_times, now):
                yield RunInterruption(task, "worker_leaves")
            elif is_slow(worker) and is_restart_worthwhile(task, run_times):
                yield RunInterruption(task, "slow_worker")


def is_stuck(task: Task, worker: Worker, run_times: RunTimeEstimates) -> bool:
    """Return whether a run's progress stands still.

    A gang's member at 100 percent waits for the slower ones.
    """
    if task.stage.spec.service or not worker.reachable or task.percent >= 100:
        return False
    whole_s = run_times.expected_s(task.stage)
    if task.percent >= MIN_PROGRESS_PERCENT:
        worked_s = task.progressed_at - task.started_at
        whole_s = max(whole_s, worked_s * 100 / task.percent)
    patience_s = max(STUCK_S, STUCK_SHARE * whole_s)
    return task.reported_at - task.progressed_at > patience_s


def ends_after_worker_leaves(
    task: Task, worker: Worker, run_times: RunTimeEstimates, now: float
) -> bool:
    """Return whether a run would be lost when its draining worker leaves.

    A stop saves what can be saved, and the task starts elsewhere sooner.
    """
    if not worker.facts.draining:
        return False
    stay_s = worker.leaves_at - now - EVACUATION_MARGIN_S
    return task.stage.spec.service or remaining_run_s(task, run_times, now) > stay_s
