"""Learned run times of tasks, and detection of slow workers."""

import statistics
from bisect import bisect_left
from typing import NamedTuple

from .state import Stage, Task, Worker

# Weights of a new value in the moving mean of run times. Callers' estimates
# are wrong by factors, so each observed run counts more, and the first one
# most.
OBSERVATION_WEIGHT = 0.2
FIRST_OBSERVATION_WEIGHT = 0.5
ESTIMATE_WEIGHT = 0.1
# Expected run time without a caller's estimate or an observed run.
DEFAULT_RUN_TIME_S = 5.0
# Lower bound on an observed run time.
MIN_RUN_TIME_S = 0.05
# A worker is slow below this speed relative to other workers. Normal workers
# differ by at most a third.
SLOW_SPEED_RATIO = 0.45
# Progress of a task that has completed its work, or of a service that serves.
COMPLETE_PERCENT = 100
# Progress and elapsed time below these are too little to project a run time
# from.
MIN_PROGRESS_PERCENT = 2.0
MIN_ELAPSED_S = 0.7
# Progress is reported in whole percents. The rate of progress is compared only
# if at least this much progress was to be expected since the baseline.
MIN_EXPECTED_STEP_PERCENT = 4.0
# If a run's rate of progress rises by this factor, its worker was slow before
# and has recovered.
RECOVERED_RATIO = 1.5
# Jobs of one queue differ, so a run on a worker of normal speed may take up to
# this multiple of the mean run time. If no other runs of the same step can be
# compared with, a longer run means that its worker is slow.
LONG_RUN_FACTOR = 2.0
# Time without a new speed measurement after which a worker's speed is taken as
# normal again, so that a slow worker is tried again.
SLOW_RETRY_S = 6.0
# A run is restarted elsewhere only if its remaining time exceeds the time of a
# new run by this factor, because a restart discards the work done so far.
MIN_RESTART_GAIN = 2.0
# Times of deployments that do not state them.
DEFAULT_STOP_TIMEOUT_S = 0.2
DEFAULT_REMOTE_FACTOR = 3.0
# Share of a worker's stop timeout that a stop takes on average.
EXPECTED_STOP_SHARE = 0.5
STOP_COMMAND_S = 0.1  # time until a stop command reaches its worker
# Largest number of restarts of a step because of slow workers.
MAX_SLOW_WORKER_RESTARTS = 2


class _Kind(NamedTuple):
    """Runs with a common mean run time.

    The mean of one pool says little about another, whose workers may differ.
    """

    pool: str
    queue: str
    image: str


class RunTimeEstimates:
    """Moving means of run times for each kind of task (pool, queue and image).

    Args:
        stop_timeout_s: Longest time that a worker takes to stop a run, in
            seconds.
        remote_factor: Factor on the run time of tasks away from their data.

    Attributes:
        stopping_s: Expected seconds until the capacity of a run that is being
            stopped is free.
        preempted_s: The same for a run that is to be stopped.
    """

    def __init__(
        self,
        stop_timeout_s: float = DEFAULT_STOP_TIMEOUT_S,
        remote_factor: float = DEFAULT_REMOTE_FACTOR,
    ) -> None:
        self.stopping_s = EXPECTED_STOP_SHARE * stop_timeout_s
        self.preempted_s = self.stopping_s + STOP_COMMAND_S
        self._remote_factor = remote_factor
        self._mean_s_by_kind: dict[_Kind, float] = {}
        self._observed: set[_Kind] = set()

    def expected_s(self, stage: Stage) -> float:
        """Return the expected run time of a step's next runs in seconds."""
        return self._expected_s(stage, stage.workflow.policy.pool)

    def expected_run_s(self, task: Task) -> float:
        """Return the expected time of a task's newest run in seconds."""
        return self._expected_s(task.stage, task.pool)

    def _expected_s(self, stage: Stage, pool: str) -> float:
        learned_s = self._mean_s_by_kind.get(_kind(stage, pool))
        return learned_s or stage.spec.estimate_s or DEFAULT_RUN_TIME_S

    def data_wait_s(self, stage: Stage) -> float:
        """Return the seconds that a step waits for workers near its data.

        Half of the time that it would take longer elsewhere.
        """
        return 0.5 * (self._remote_factor - 1.0) * self.expected_s(stage)

    def record_estimate(self, stage: Stage) -> None:
        """Add a caller's estimate to the mean unless a run was observed."""
        kind = _kind(stage, stage.workflow.policy.pool)
        if stage.spec.estimate_s and kind not in self._observed:
            self._update_mean(kind, stage.spec.estimate_s, ESTIMATE_WEIGHT)

    def record_end(self, task: Task, now: float) -> None:
        """Add the run time of a finished task to the mean.

        Runs that resumed from a checkpoint are ignored, as they cover only a
        part of the work.
        """
        if task.run_resumed or task.started_at <= 0:
            return
        kind = _kind(task.stage, task.pool)
        elapsed_s = max(now - task.started_at, MIN_RUN_TIME_S)
        weight = (
            OBSERVATION_WEIGHT if kind in self._observed else FIRST_OBSERVATION_WEIGHT
        )
        self._observed.add(kind)
        self._update_mean(kind, elapsed_s, weight)

    def has_observed(self, task: Task) -> bool:
        """Return whether a run of this kind has been observed in its pool."""
        return _kind(task.stage, task.pool) in self._observed

    def _update_mean(self, kind: _Kind, value_s: float, weight: float) -> None:
        mean = self._mean_s_by_kind.get(kind, value_s)
        self._mean_s_by_kind[kind] = mean + weight * (value_s - mean)


def projected_run_s(task: Task) -> float | None:
    """Return a run's total seconds as projected from its progress.

    Returns:
        The projection, or None without sufficient progress data.
    """
    elapsed_s = task.reported_at - task.started_at
    if task.state != "running" or elapsed_s < MIN_ELAPSED_S:
        return None
    if task.percent >= COMPLETE_PERCENT or task.run_resumed:
        return None
    return elapsed_s * 100 / max(task.percent, MIN_PROGRESS_PERCENT)


class SiblingProjections:
    """Projected run times of the steps that one report concerns.

    The projections of a step are computed once, for all tasks of the step that
    the reporting worker has.
    """

    def __init__(self) -> None:
        self._sorted_s_by_stage_and_pool: dict[tuple[int, str], list[float]] = {}

    def median_of_others(self, task: Task) -> float | None:
        """Return the median projection of a step's other runs in the pool.

        Returns:
            The median in seconds, None without a projection.
        """
        group = id(task.stage), task.pool
        sorted_s = self._sorted_s_by_stage_and_pool.get(group)
        if sorted_s is None:
            others = (other for other in task.stage.tasks if other.pool == task.pool)
            projections = (projected_run_s(other) for other in others)
            sorted_s = sorted(value for value in projections if value is not None)
            self._sorted_s_by_stage_and_pool[group] = sorted_s
        own_s = projected_run_s(task)
        count = len(sorted_s) - (own_s is not None)
        if count < 1:
            return None
        left_out = len(sorted_s) if own_s is None else bisect_left(sorted_s, own_s)
        middle = [(count - 1) // 2, count // 2]
        low_s, high_s = (sorted_s[i + (i >= left_out)] for i in middle)
        return low_s if middle[0] == middle[1] else (low_s + high_s) / 2


def reference_run_s(
    task: Task, run_times: RunTimeEstimates, projections: SiblingProjections
) -> float | None:
    """Return the run time, in seconds, with which a run is compared.

    A run that takes much longer is on a slow worker. The median projection of
    the step's other runs is preferred, since the tasks of a step are alike,
    while the mean of a queue says little about a single job. Otherwise a
    multiple of the learned mean is used.

    Args:
        task: Task of the run.
        run_times: Expected run times.
        projections: Projections of the step's runs.

    Returns:
        The reference time, or None if there is nothing to compare with.
    """
    median_s = projections.median_of_others(task)
    if median_s is not None:
        return median_s
    if not run_times.has_observed(task):
        return None
    return LONG_RUN_FACTOR * run_times.expected_run_s(task)


def update_worker_speed(
    worker: Worker, run_times: RunTimeEstimates, now: float
) -> None:
    """Update a worker's relative speed from the progress of its runs."""
    projections = SiblingProjections()
    run_ratios = (
        _speed_ratio(task, run_times, projections)
        for task in worker.tasks_by_key.values()
    )
    ratios = [ratio for ratio in run_ratios if ratio is not None]
    if ratios:
        worker.speed = statistics.median(ratios)
        worker.speed_at = now
    elif now - worker.speed_at > SLOW_RETRY_S:
        worker.speed = 1.0


def _speed_ratio(
    task: Task, run_times: RunTimeEstimates, projections: SiblingProjections
) -> float | None:
    """Return a run's speed relative to normal, None without enough data."""
    rate_ratio = _rate_change(task)
    if rate_ratio is not None and rate_ratio > RECOVERED_RATIO:
        return rate_ratio
    projected_s = projected_run_s(task)
    if projected_s is None:
        return rate_ratio
    reference_s = reference_run_s(task, run_times, projections)
    if reference_s is None:
        return rate_ratio
    ratio = reference_s / projected_s
    return ratio if rate_ratio is None else min(ratio, rate_ratio)


def _rate_change(task: Task) -> float | None:
    """Return a run's latest rate of progress relative to its earlier rate.

    The ratio shows a worker's slowdown or recovery sooner than the projected
    run time, which averages over the whole run.

    Returns:
        The ratio, or None without sufficient progress data.
    """
    elapsed_s = task.reported_at - task.rate_baseline_at
    baseline_elapsed_s = task.rate_baseline_at - task.started_at
    if task.state != "running" or task.percent >= COMPLETE_PERCENT or task.run_resumed:
        return None
    if elapsed_s < MIN_ELAPSED_S or baseline_elapsed_s < MIN_ELAPSED_S:
        return None
    expected_percent = task.rate_baseline_percent / baseline_elapsed_s * elapsed_s
    if expected_percent < MIN_EXPECTED_STEP_PERCENT:
        return None
    return (task.percent - task.rate_baseline_percent) / expected_percent


def is_slow(worker: Worker) -> bool:
    """Return whether a worker's speed is far below normal."""
    return worker.speed < SLOW_SPEED_RATIO


def is_restart_worthwhile(task: Task, run_times: RunTimeEstimates) -> bool:
    """Return whether a run would end much sooner if restarted elsewhere.

    Services, and steps that were restarted too often, are not restarted.
    """
    projected_s = projected_run_s(task)
    reference_s = reference_run_s(task, run_times, SiblingProjections())
    if projected_s is None or reference_s is None:
        return False
    if task.stage.restarts >= MAX_SLOW_WORKER_RESTARTS or task.stage.spec.service:
        return False
    remaining_s = projected_s * (100 - task.percent) / 100
    return remaining_s > MIN_RESTART_GAIN * reference_s


def _kind(stage: Stage, pool: str) -> _Kind:
    return _Kind(pool, stage.workflow.workflow.queue, stage.spec.image)
