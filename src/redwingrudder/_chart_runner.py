"""Executes a state chart for an actor."""

from collections.abc import Callable
from typing import Any

from .statecharts import Chart

Action = Callable[[Any], None]


class ChartRunner:
    """Stores the current state of a chart and carries out its actions.

    Args:
        chart: The loaded chart.
        actions_by_name: Functions that implement the actions of the chart;
            each receives the argument of the event.
    """

    def __init__(self, chart: Chart, actions_by_name: dict[str, Action]) -> None:
        self.state = chart.initial
        self._chart = chart
        self._actions_by_name = actions_by_name

    def step(self, event: str, argument: Any = None) -> None:
        """Take the transition for an event.

        The state changes before the actions run, so an action may call
        ``step`` again.

        Raises:
            UnexpectedEventError: The state does not list the event.
        """
        transition = self._chart.step(self.state, event)
        self.state = transition.target
        for action in transition.actions:
            self._actions_by_name[action](argument)
