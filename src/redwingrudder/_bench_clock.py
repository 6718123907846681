"""Simulated clock of the benchmark."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class VirtualClock:
    """Runs scheduled calls in order of their time, without real waiting.

    Calls of the same time run in the order in which they were scheduled.

    Attributes:
        now: Simulated seconds since the start of the run.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def call_at(
        self, time_s: float, function: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedule a call for a time in seconds since the start of the run."""
        heapq.heappush(self._heap, (time_s, next(self._sequence), function, arguments))

    def call_later(
        self, delay_s: float, function: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedule a call after a delay in simulated seconds."""
        self.call_at(self.now + delay_s, function, *arguments)

    def run(self, until_s: float) -> None:
        """Run the calls until none is left or ``now`` reaches ``until_s``."""
        while self._heap and self.now < until_s:
            time_s, _, function, arguments = heapq.heappop(self._heap)
            self.now = max(self.now, time_s)
            function(*arguments)
