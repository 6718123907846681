"""Estimates of the time of day from the clocks of several nodes."""

import statistics
from collections.abc import Collection
from typing import NamedTuple

# Number of clocks, with that of this node, from which one wrong clock cannot
# move the median beyond the right ones.
MIN_CLOCKS = 3


class UnixTimeOffsets(NamedTuple):
    """Unix time minus node-clock time, estimated towards either side.

    A node clock never jumps, so an estimate holds until the clocks of most
    nodes jump.

    Attributes:
        low_s: Lower estimate in seconds.
        high_s: Upper estimate in seconds.
    """

    low_s: float
    high_s: float


def estimate_offsets(
    own_s: float, others_s: Collection[float]
) -> UnixTimeOffsets | None:
    """Estimate the Unix time from the clock of this node and those of others.

    The median of at least ``MIN_CLOCKS`` clocks lies between right ones as
    long as fewer than half of them have jumped. A summary that waited in a
    socket makes the clock of its sender seem slow, and many may have waited
    while this process was paused, so the median alone may be low. The clock of
    this node is read without a delay, but may have jumped. Therefore the lower
    estimate is the lower one of the two, and the upper one the higher: each is
    on its side of the right time, but for the differences of right clocks, if
    most clocks are right, and if either the own one is or no summary waited.

    Args:
        own_s: Unix time minus node-clock time on this node, in seconds.
        others_s: The same by the summaries of other nodes.

    Returns:
        The estimates, None if too few nodes were heard.
    """
    if 1 + len(others_s) < MIN_CLOCKS:
        return None
    median_s = statistics.median((own_s, *others_s))
    return UnixTimeOffsets(min(own_s, median_s), max(own_s, median_s))
