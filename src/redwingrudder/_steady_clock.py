"""The clock of a node: it never jumps and counts the time in suspend."""

import time
from typing import Any


def boot_clock() -> float:
    """Return monotonic seconds that include time in system suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_steady_clock(reactor: Any) -> None:
    """Let a reactor measure time by ``boot_clock``.

    Twisted uses the time of day, so that a clock that is set back by some
    seconds would delay every timer by as much. It has to be called before any
    timer is set.

    Args:
        reactor: A Twisted reactor.
    """
    reactor.seconds = boot_clock
