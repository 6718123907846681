"""Planned ends of the simulated tasks of the worker stand-in."""

import hashlib
import json
from typing import NamedTuple

from ..model import JobSpec, TaskOutcome

TASK_END_INTERVAL_S = 0.002  # between the ends of the tasks of a gang
FAULTY_TASK_RUN_S = 0.05  # run time of tasks under ``fail_everything``


class TaskPlan(NamedTuple):
    """When and how a simulated task will end.

    ``ends_at`` is in seconds; ``core_share`` is the fraction of its cores that
    the task may use.
    """

    task_index: int
    ends_at: float
    outcome: TaskOutcome
    result: str
    core_share: float = 1.0

    def throttled(self, core_share: float, now: float) -> "TaskPlan":
        """Return the plan with the remaining time scaled to a core share."""
        remaining_s = max(self.ends_at - now, 0.0) * self.core_share / core_share
        return self._replace(ends_at=now + remaining_s, core_share=core_share)

    def stopped(self, ends_at: float, outcome: TaskOutcome) -> "TaskPlan":
        """Return the plan of the task if it is stopped at ``ends_at``.

        A task that ends earlier keeps its outcome and result.
        """
        if self.ends_at <= ends_at:
            return self
        return self._replace(ends_at=ends_at, outcome=outcome, result="")


class _TaskScript(NamedTuple):
    """Behaviour of the simulated tasks as specified by a job's payload.

    ``fail`` lets all tasks fail, ``fail_tasks`` holds the indexes of tasks
    that fail. A ``result`` of None selects the default result.
    """

    run_s: float
    result: str | None
    fail: bool
    fail_tasks: frozenset[int]


def plan_task(
    spec: JobSpec, task_index: int, now: float, fail_everything: bool
) -> TaskPlan:
    """Return when and how a task that starts now will end.

    A payload that is a JSON object may set ``run_s``, ``result``, ``fail``
    (all tasks fail) and ``fail_tasks`` (indexes of the tasks that fail). By
    default and with any other payload a task runs for the declared time and
    its result is a digest of the payload with the task index.

    Args:
        spec: Job of the task.
        task_index: Index of the task in the job.
        now: Time of the start, in seconds.
        fail_everything: Whether the worker fails all tasks.
    """
    script = _read_script(spec)
    ends_at = now + script.run_s + TASK_END_INTERVAL_S * task_index
    if fail_everything:
        ends_at = now + FAULTY_TASK_RUN_S
        return TaskPlan(task_index, ends_at, TaskOutcome.FAILED, "worker fault")
    if script.fail or task_index in script.fail_tasks:
        return TaskPlan(task_index, ends_at, TaskOutcome.FAILED, "as ordered")
    result = script.result
    if result is None:
        digest = hashlib.sha256(spec.payload.encode()).hexdigest()
        result = f"{digest[:16]}:{task_index}"
    return TaskPlan(task_index, ends_at, TaskOutcome.SUCCEEDED, result)


def _read_script(spec: JobSpec) -> _TaskScript:
    try:
        payload = json.loads(spec.payload)
        return _TaskScript(
            float(payload.get("run_s", spec.declared_run_s)),
            payload.get("result"),
            bool(payload.get("fail", False)),
            frozenset(payload.get("fail_tasks", ())),
        )
    except (ValueError, TypeError, AttributeError):
        return _TaskScript(spec.declared_run_s, None, False, frozenset())
