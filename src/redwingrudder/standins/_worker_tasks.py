"""Simulated tasks of the worker stand-in."""

import hashlib
import json
from typing import NamedTuple

from ..model import JobSpec, TaskOutcome

TASK_END_INTERVAL_S = 0.002  # tasks of a gang end this much apart
FAULTY_TASK_RUN_S = 0.05  # run time of a task when everything fails


class TaskPlan(NamedTuple):
    """How a simulated task will end; ``share`` is its share of cores."""

    task_index: int
    ends_at: float
    outcome: TaskOutcome
    result: str
    core_share: float = 1.0

    def throttled(self, core_share: float, now: float) -> "TaskPlan":
        """Return the plan with the rest of the run time stretched."""
        remaining_s = max(self.ends_at - now, 0.0) * self.core_share / core_share
        return self._replace(ends_at=now + remaining_s, core_share=core_share)

    def stopped(self, ends_at: float, outcome: TaskOutcome) -> "TaskPlan":
        """Return the plan of the task when it is stopped."""
        if self.ends_at <= ends_at:
            return self
        return self._replace(ends_at=ends_at, outcome=outcome, result="")


class _TaskScript(NamedTuple):
    """What the payload of a job asks of its simulated tasks."""

    run_s: float
    result: str | None
    fail: bool
    fail_tasks: frozenset[int]


def plan_task(
    spec: JobSpec, task_index: int, now: float, fail_everything: bool
) -> TaskPlan:
    """Return when and how a task that starts now will end.

    A payload that is a JSON object may set ``run_s``, ``result``, ``fail``
    and ``fail_tasks``. Any other payload gives the declared run time and a
    digest of the payload with the task index as the result.
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
