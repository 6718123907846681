"""Virtual clock of the bench: calls ordered by time, then by creation."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class VirtualClock:
    """Runs delayed calls without waiting; ``now`` is seconds of the run."""

    def __init__(self) -> None:
        self.now = 0.0
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, at: float, call: Callable[..., None], *arguments: Any) -> None:
        """Call a function at a time of the run."""
        heapq.heappush(self._heap, (at, next(self._sequence), call, arguments))

    def after(self, delay_s: float, call: Callable[..., None], *args: Any) -> None:
        """Call a function after a delay in seconds."""
        self.at(self.now + delay_s, call, *args)

    def run(self, limit: float) -> None:
        """Run all calls until none is left or ``limit`` is reached."""
        while self._heap and self.now < limit:
            at, _, call, arguments = heapq.heappop(self._heap)
            self.now = max(self.now, at)
            call(*arguments)
