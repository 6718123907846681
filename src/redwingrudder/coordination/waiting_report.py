"""Gauges and log lines about tasks that wait although there is room."""

import logging
from collections.abc import Callable
from typing import Any

from ..workflows.engine import Engine
from ..workflows.model import TaskKey
from ..workflows.run_table import run_log_fields
from ..workflows.waiting import (
    ReasonSummary,
    WaitReason,
    find_waiting,
    note_since,
    summarise,
)
from .metrics import METRICS, SetGauge

CHECK_INTERVAL_S = 1.0
# Wait from which a log line tells of it, and interval between such lines.
LOGGED_WAIT_S = 3.0
LOG_INTERVAL_S = 5.0

_logger = logging.getLogger(__name__)


class WaitingReport:
    """Checks for tasks that wait, sets gauges and writes log lines.

    Args:
        tell: Sends a message to an actor.
    """

    def __init__(self, tell: Callable[[str, Any], Any]) -> None:
        self._tell = tell
        self._check_at = 0.0
        self._log_at = 0.0
        self._reported_reasons: set[WaitReason] = set()
        self._since_by_key: dict[TaskKey, float] = {}

    def check(self, engine: Engine, now: float, wall: float, may_plan: bool) -> None:
        """Check after a planning pass, at most once in ``CHECK_INTERVAL_S``.

        Args:
            engine: The engine of the term.
            now: Node-clock seconds of the pass.
            wall: Unix seconds.
            may_plan: Whether the pass was made; it needs authority.
        """
        if now < self._check_at:
            return
        self._check_at = now + CHECK_INTERVAL_S
        waiting = find_waiting(
            engine.workflows_by_id.values(),
            engine.workers_by_id,
            engine.run_times,
            now,
            wall,
            may_plan,
        )
        self._since_by_key = note_since(self._since_by_key, waiting, now)
        summaries = summarise(waiting, self._since_by_key, now)
        self._set_gauges(summaries)
        if summaries and summaries[0].longest_s > LOGGED_WAIT_S:
            self._log_waits(engine, summaries, now)

    def clear(self) -> None:
        """Forget all at the end of a term."""
        self._since_by_key = {}
        self._set_gauges([])

    def _set_gauges(self, summaries: list[ReasonSummary]) -> None:
        values = dict.fromkeys(self._reported_reasons, (0, 0.0))
        values.update({s.reason: (s.tasks, s.longest_s) for s in summaries})
        for reason, (tasks, longest_s) in values.items():
            labels = (str(reason),)
            for name, value in (
                ("waiting_tasks_with_room", tasks),
                ("waiting_with_room_oldest_seconds", longest_s),
            ):
                self._tell(METRICS, SetGauge(name, value, labels))
        self._reported_reasons = {summary.reason for summary in summaries}

    def _log_waits(
        self, engine: Engine, summaries: list[ReasonSummary], now: float
    ) -> None:
        if now < self._log_at:
            return
        self._log_at = now + LOG_INTERVAL_S
        first = summaries[0]
        hold = first.example.hold
        ends_in_s = hold.ends_in_s
        _logger.warning(
            "tasks wait although there is room",
            extra={
                "reason": str(first.reason),
                "tasks": first.tasks,
                "waited_s": round(first.longest_s, 3),
                **run_log_fields(engine.find(first.example.key)),
                "worker": hold.worker_id,
                "ends_in_s": None if ends_in_s is None else round(ends_in_s, 3),
                "tasks_by_reason": {str(s.reason): s.tasks for s in summaries},
            },
        )
