"""How fast filling tasks work beside tasks with a latency target."""

import abc
from collections.abc import Callable, Iterable
from typing import NamedTuple

from .state import Task, Worker

# Between the two shares nothing changes, so that the speed does not swing.
LOWER_ABOVE = 0.85  # of the target
RAISE_BELOW = 0.6
LOWER_FACTOR = 0.4  # harm is counted from a few seconds on, so back off fast
RAISE_STEP = 15  # percent
RAISE_AFTER_S = 1.5  # of calm; usage figures cover half a second
LOWER_AFTER_S = 0.6  # for the last change to show in the figures
STOPPED_BELOW = 8  # percent under which the speed is set to 0
FULL_SPEED_PERCENT = 100


class ThrottleChange(NamedTuple):
    """A task's new share of its speed in percent."""

    task: Task
    percent: int


class ThrottlePolicy(abc.ABC):
    """Decides on the speed of filling tasks."""

    @abc.abstractmethod
    def changes(self, worker: Worker, now: float) -> Iterable[ThrottleChange]:
        """Return the changes on one worker."""


class LatencyTargetPolicy(ThrottlePolicy):
    """Lowers the speed while a target is nearly missed, raises it later."""

    def changes(self, worker: Worker, now: float) -> Iterable[ThrottleChange]:
        """See base class."""
        serving = [
            task
            for task in worker.tasks_by_key.values()
            if task.stage.spec.latency_target_ms and task.state == "running"
        ]
        filling = [
            task
            for task in worker.tasks_by_key.values()
            if task.stage.spec.fills and task.state == "running"
        ]
        if not filling:
            return []
        load = max(
            (task.usage / task.stage.spec.latency_target_ms for task in serving),
            default=0.0,
        )
        since = now - worker.throttled_at
        if load > LOWER_ABOVE and since > LOWER_AFTER_S:
            return self._set(worker, filling, now, _lower)
        if load < RAISE_BELOW and since > RAISE_AFTER_S:
            return self._set(worker, filling, now, _raise)
        return []

    def _set(
        self,
        worker: Worker,
        filling: list[Task],
        now: float,
        rule: Callable[[int], int],
    ) -> list[ThrottleChange]:
        changes = [
            ThrottleChange(task, rule(task.speed_percent))
            for task in filling
            if rule(task.speed_percent) != task.speed_percent
        ]
        if changes:
            worker.throttled_at = now
        return changes


def _lower(speed_percent: int) -> int:
    lowered = int(speed_percent * LOWER_FACTOR)
    return lowered if lowered >= STOPPED_BELOW else 0


def _raise(speed_percent: int) -> int:
    return min(speed_percent + RAISE_STEP, FULL_SPEED_PERCENT)
