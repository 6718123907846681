"""Speed of filling tasks beside services with a latency target."""

import abc
from collections.abc import Callable, Iterable
from typing import NamedTuple

from .state import Task, Worker

# Shares of the latency target above which filling tasks are slowed down, and
# below which they are sped up. The gap between them prevents oscillation.
LOWER_ABOVE_TARGET_SHARE = 0.85
RAISE_BELOW_TARGET_SHARE = 0.6
# Latency violations count once they last a few seconds, so the speed is
# lowered in large steps.
LOWER_FACTOR = 0.4
RAISE_STEP_PERCENT = 15
# Time since the last change after which the speed may be raised. Usage figures
# cover half a second.
RAISE_AFTER_S = 1.5
# Time since the last change after which the speed may be lowered again, so
# that the usage figures reflect that change.
LOWER_AFTER_S = 0.6
# A speed below this is set to 0.
STOP_BELOW_PERCENT = 8
FULL_SPEED_PERCENT = 100


class ThrottleChange(NamedTuple):
    """A new speed of a filling task, in percent of its full speed."""

    task: Task
    percent: int


class ThrottlePolicy(abc.ABC):
    """Controls the speed of filling tasks."""

    @abc.abstractmethod
    def changes(self, worker: Worker, now: float) -> Iterable[ThrottleChange]:
        """Return the speed changes to apply on a worker now.

        Args:
            worker: The worker.
            now: Node-clock seconds.
        """


class LatencyTargetPolicy(ThrottlePolicy):
    """Lowers the speed while a service is close to its latency target.

    The service with the highest latency relative to its target decides. The
    speed is raised again in steps while that latency is low.
    """

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
        latency_ratio = max(
            (task.usage / task.stage.spec.latency_target_ms for task in serving),
            default=0.0,
        )
        since_change_s = now - worker.throttled_at
        if latency_ratio > LOWER_ABOVE_TARGET_SHARE and since_change_s > LOWER_AFTER_S:
            return self._apply_rule(worker, filling, now, _lower)
        if latency_ratio < RAISE_BELOW_TARGET_SHARE and since_change_s > RAISE_AFTER_S:
            return self._apply_rule(worker, filling, now, _raise)
        return []

    def _apply_rule(
        self,
        worker: Worker,
        filling: list[Task],
        now: float,
        rule: Callable[[int], int],
    ) -> list[ThrottleChange]:
        changes = [
            ThrottleChange(task, rule(task.speed_percent))
            for task in filling
            if rule(task.speed_percent) != task.speed_percent or not task.speed_known
        ]
        if changes:
            worker.throttled_at = now
        return changes


def _lower(speed_percent: int) -> int:
    lowered = int(speed_percent * LOWER_FACTOR)
    return lowered if lowered >= STOP_BELOW_PERCENT else 0


def _raise(speed_percent: int) -> int:
    return min(speed_percent + RAISE_STEP_PERCENT, FULL_SPEED_PERCENT)
