"""Detection of runs that should be stopped and restarted elsewhere."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from .placement import remaining_run_s
from .run_times import (
    COMPLETE_PERCENT,
    MIN_PROGRESS_PERCENT,
    RunTimeEstimates,
    is_restart_worthwhile,
    is_slow,
)
from .state import Task, Worker

# A run is stuck if its progress has not changed for STUCK_S and for
# STUCK_RUN_SHARE of its run time. The share is needed for long runs: progress
# is reported in whole percents, so it changes rarely.
STUCK_S = 3.0
STUCK_RUN_SHARE = 0.1
# Factor on both after each stop of a task for want of progress. The run time
# may be wrong, and without it such a task would be stopped again and again.
STUCK_GROWTH = 2.0
# Time needed for the end of a run to be reported before its worker leaves.
END_REPORT_MARGIN_S = 0.3


class RunInterruption(NamedTuple):
    """A run to stop, with the reason.

    Attributes:
        task: Task of the run.
        reason: Cause, for the log: "no_progress", "slow_worker" or
            "worker_leaves".
        counts_against_worker: Whether to count a failure of the worker.
    """

    task: Task
    reason: str
    counts_against_worker: bool = False


def runs_to_interrupt(
    workers: Iterable[Worker], run_times: RunTimeEstimates, now: float
) -> Iterator[RunInterruption]:
    """Yield the runs to stop so that their tasks can run elsewhere.

    Args:
        workers: All workers.
        run_times: Expected run times.
        now: Node-clock seconds.
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
    """Return whether a run has made no progress for too long.

    Jobs of one queue differ, so without sufficient progress the run time is
    the longer one of what was learned and what the caller has estimated.

    A run at 100 percent is never stuck: it may be a member of a gang that
    waits for the slower members. Nor is the run of an unreachable worker,
    which sends no reports.
    """
    if (
        task.stage.spec.service
        or not worker.reachable
        or task.percent >= COMPLETE_PERCENT
    ):
        return False
    own_run_time_s = task.stage.spec.estimate_s
    if task.percent >= MIN_PROGRESS_PERCENT:
        elapsed_s = task.progressed_at - task.started_at
        own_run_time_s = elapsed_s * 100 / task.percent
    run_time_s = max(run_times.expected_run_s(task), own_run_time_s)
    stuck_after_s = max(STUCK_S, STUCK_RUN_SHARE * run_time_s)
    stuck_after_s *= STUCK_GROWTH ** stall_holder(task).stalls
    return task.reported_at - task.progressed_at > stuck_after_s


def stall_holder(task: Task) -> Task:
    """Return the task that counts the stops of a task or gang as stuck."""
    return task.stage.tasks[0] if task.stage.spec.gang else task


def ends_after_worker_leaves(
    task: Task, worker: Worker, run_times: RunTimeEstimates, now: float
) -> bool:
    """Return whether a run would be lost when its draining worker leaves.

    Stopping it before that saves its checkpoint, if any, and lets the task
    start elsewhere sooner.
    """
    if not worker.facts.draining:
        return False
    stay_s = worker.leaves_at - now - END_REPORT_MARGIN_S
    return task.stage.spec.service or remaining_run_s(task, run_times, now) > stay_s
