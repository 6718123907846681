"""Learned run times, and workers that are slower than the others."""

import statistics

from .state import Stage, Task, Worker

# Estimates of callers are off by factors; each observed run counts more.
OBSERVATION_WEIGHT = 0.2
ESTIMATES_WEIGHT = 0.1
UNKNOWN_S = 5.0  # run time while nothing is known
SLOW_SPEED = 0.45  # ordinary workers differ by a third at most
# Progress below this says little about the whole run.
MIN_PROGRESS_PERCENT = 2.0
MIN_ELAPSED_S = 0.7
# Whole percents are reported, so smaller steps show no rate of progress.
LEAST_STEP_PERCENT = 4.0
# A run that goes on this much faster than before was on a slow worker.
RECOVERED_RATIO = 1.5
# Sound workers need up to this multiple of the mean run time, as jobs of one
# queue differ; without runs of the same step to compare, more means slow.
LONG_RUN_FACTOR = 2.0
# A slow worker is tried again after this time.
SLOW_FORGET_S = 6.0
# Stopping throws work away, so the gain must be clear.
RESTART_GAIN = 2.0
RESTARTS_LIMIT = 2


class RunTimeEstimates:
    """Mean run times by kind of work, fed by ends and progress."""

    def __init__(self) -> None:
        self._mean_s_by_kind: dict[tuple[str, str], float] = {}
        self._observed: set[tuple[str, str]] = set()

    def expected_s(self, stage: Stage) -> float:
        """Return the expected run time of one task of a step."""
        known = self._mean_s_by_kind.get(_kind(stage))
        return known or stage.spec.estimate_s or UNKNOWN_S

    def record_estimate(self, stage: Stage) -> None:
        """Take a caller's estimate into the mean until runs have ended."""
        kind = _kind(stage)
        if stage.spec.estimate_s and kind not in self._observed:
            self._move(kind, stage.spec.estimate_s, ESTIMATES_WEIGHT)

    def record_end(self, task: Task, now: float) -> None:
        """Take the run time of a task that was done in one run."""
        if task.run_resumed or task.started_at <= 0:
            return
        kind = _kind(task.stage)
        spent = max(now - task.started_at, 0.05)
        weight = OBSERVATION_WEIGHT if kind in self._observed else 0.5
        self._observed.add(kind)
        self._move(kind, spent, weight)

    def knows(self, stage: Stage) -> bool:
        """Return whether runs of this kind have ended."""
        return _kind(stage) in self._observed

    def _move(self, kind: tuple[str, str], value_s: float, weight: float) -> None:
        mean = self._mean_s_by_kind.get(kind, value_s)
        self._mean_s_by_kind[kind] = mean + weight * (value_s - mean)


def projected_s(task: Task) -> float | None:
    """Return a run's whole time as its progress predicts, None if unclear."""
    spent = task.reported_at - task.started_at
    if task.state != "running" or spent < MIN_ELAPSED_S:
        return None
    if task.percent >= 100 or task.run_resumed:
        return None
    return spent * 100 / max(task.percent, MIN_PROGRESS_PERCENT)


def reference_s(task: Task, run_times: RunTimeEstimates) -> float | None:
    """Return what the run should take at most: as its peers, or as learned.

    Tasks of one step are alike, while the means of a queue say little about
    a single job.
    """
    peers = [
        projected
        for other in task.stage.tasks
        if other is not task and (projected := projected_s(other)) is not None
    ]
    if peers:
        return statistics.median(peers)
    if not run_times.knows(task.stage):
        return None
    return LONG_RUN_FACTOR * run_times.expected_s(task.stage)


def update_worker_speed(
    worker: Worker, run_times: RunTimeEstimates, now: float
) -> None:
    """Judge a worker by the progress of its runs."""
    found = (_speed_ratio(task, run_times) for task in worker.tasks_by_key.values())
    ratios = [ratio for ratio in found if ratio is not None]
    if ratios:
        worker.speed = statistics.median(ratios)
        worker.speed_at = now
    elif now - worker.speed_at > SLOW_FORGET_S:
        worker.speed = 1.0


def _speed_ratio(task: Task, run_times: RunTimeEstimates) -> float | None:
    """Return a run's speed as a share of what is usual, None if unclear."""
    change = _change_of_rate(task)
    if change is not None and change > RECOVERED_RATIO:
        return change
    projected = projected_s(task)
    reference = reference_s(task, run_times) if projected is not None else None
    if projected is None or reference is None:
        return change
    ratio = reference / projected
    return ratio if change is None else min(ratio, change)


def _change_of_rate(task: Task) -> float | None:
    """Return a run's newest rate of progress as a share of its earlier rate.

    A worker that turns slow, or recovers, shows it here first: the projected
    time is a mean over the whole run.
    """
    spent = task.reported_at - task.rated_at
    before = task.rated_at - task.started_at
    if task.state != "running" or task.percent >= 100 or task.run_resumed:
        return None
    if spent < MIN_ELAPSED_S or before < MIN_ELAPSED_S:
        return None
    usual = task.rated_percent / before * spent
    if usual < LEAST_STEP_PERCENT:
        return None
    return (task.percent - task.rated_percent) / usual


def is_slow(worker: Worker) -> bool:
    """Return whether a worker is far slower than the others."""
    return worker.speed < SLOW_SPEED


def is_restart_worthwhile(task: Task, run_times: RunTimeEstimates) -> bool:
    """Return whether a run ends sooner when started anew elsewhere."""
    projected = projected_s(task)
    reference = reference_s(task, run_times)
    if projected is None or reference is None:
        return False
    if task.stage.restarts >= RESTARTS_LIMIT or task.stage.spec.service:
        return False
    left = projected * (100 - task.percent) / 100
    return left > RESTART_GAIN * reference


def _kind(stage: Stage) -> tuple[str, str]:
    return stage.workflow.workflow.queue, stage.spec.image
