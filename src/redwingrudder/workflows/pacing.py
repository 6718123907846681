"""How fast filling tasks work beside tasks with a latency target."""

import abc
from collections.abc import Callable, Iterable
from typing import NamedTuple

from .state import Task, Worker

# Between the two shares nothing changes, so that a pace does not swing.
LOWER_ABOVE = 0.85  # of the target
RAISE_BELOW = 0.6
LOWER_FACTOR = 0.4  # harm is counted from a few seconds on, so back off fast
RAISE_STEP = 15  # percent
RAISE_AFTER_S = 1.5  # of calm; usage figures cover half a second
LOWER_AFTER_S = 0.6  # for the last change to show in the figures
STOPPED_BELOW = 8  # percent under which a pace is set to 0
FULL_PACE = 100


class PaceChange(NamedTuple):
    """A task's new share of its speed in percent."""

    task: Task
    percent: int


class PacePolicy(abc.ABC):
    """Decides on the pace of filling tasks."""

    @abc.abstractmethod
    def changes(self, worker: Worker, now: float) -> Iterable[PaceChange]:
        """Return the changes on one worker."""


class MeasuredHarmPolicy(PacePolicy):
    """Lowers the pace while a target is nearly missed, raises it later."""

    def changes(self, worker: Worker, now: float) -> Iterable[PaceChange]:
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
        since = now - worker.paced_at
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
    ) -> list[PaceChange]:
        changes = [
            PaceChange(task, rule(task.pace))
            for task in filling
            if rule(task.pace) != task.pace
        ]
        if changes:
            worker.paced_at = now
        return changes


def _lower(pace: int) -> int:
    lowered = int(pace * LOWER_FACTOR)
    return lowered if lowered >= STOPPED_BELOW else 0


def _raise(pace: int) -> int:
    return min(pace + RAISE_STEP, FULL_PACE)
