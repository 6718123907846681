"""Graceful shutdown of a part that answers requests (``drain.scxml``)."""

from twisted.internet.defer import Deferred

from ._chart_runner import ChartRunner
from .statecharts import load_chart

_CHART = load_chart(
    "drain",
    frozenset({"drain_while_busy", "drain_while_idle", "last_request_ended"}),
    frozenset({"report_drained"}),
)


class DrainGate:
    """Counts requests in progress and reports when a drain is over."""

    def __init__(self) -> None:
        self.in_progress = 0
        self._waiters: list[Deferred] = []
        self._chart = ChartRunner(_CHART, {"report_drained": self._report_drained})

    @property
    def is_draining(self) -> bool:
        """Whether a drain was asked for."""
        return self._chart.state != _CHART.initial

    def begin_request(self) -> None:
        """Count a request that begins."""
        self.in_progress += 1

    def end_request(self) -> None:
        """Count a request that ended."""
        self.in_progress -= 1
        if not self.in_progress:
            self._chart.step("last_request_ended")

    def drain(self) -> Deferred:
        """Return a Deferred that fires when no request is in progress."""
        waiter: Deferred = Deferred()
        self._waiters.append(waiter)
        busy = self.in_progress > 0
        self._chart.step("drain_while_busy" if busy else "drain_while_idle")
        return waiter

    def _report_drained(self, argument: object) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.callback(None)
