"""Checks of graceful shutdowns, from what clients see."""

from typing import NamedTuple

# Bounds of the platform: seconds from SIGTERM until the process is killed, how
# long a request may be lost that was sent while its connection ended, and how
# long after a kill or a pause a shutdown does not count.
GRACE_S = 3.0
LOSS_SLACK_S = 0.2
CONTACT_S = 3.0
# The last second of the grace period is for the last responses.
SERVING_S = GRACE_S - 1.0


class Shutdown(NamedTuple):
    """A node that was told to end; times are of the monotonic clock."""

    port: int
    signalled_at: float
    gone_at: float


def find_violation(shutdowns, disruptions, ends):
    """Return what a graceful shutdown broke, or an empty text.

    Args:
        shutdowns: Shutdowns by SIGTERM.
        disruptions: Pairs of port and time of kills and pauses of nodes.
        ends: Rows of ``platform_clients.ConnectionEnd``.
    """
    for shutdown in shutdowns:
        if any(
            port == shutdown.port
            and shutdown.signalled_at - CONTACT_S <= at <= shutdown.gone_at
            for port, at in disruptions
        ):
            continue
        for end in ends:
            if (
                end.port == shutdown.port
                and shutdown.signalled_at <= end.closed_at <= shutdown.gone_at
                and end.responses
            ):
                violation = _find_violation_of_end(shutdown, end)
                if violation:
                    return f"{violation}: {shutdown} {end}"
    return ""


def _find_violation_of_end(shutdown, end):
    if end.closed_at > shutdown.signalled_at + GRACE_S:
        return "a node was not gone at the end of its grace period"
    if end.sent_at and end.closed_at - end.sent_at > LOSS_SLACK_S:
        return "a node that was told to end lost a request"
    if not end.announced and end.closed_at < shutdown.signalled_at + SERVING_S:
        return "a node that was told to end closed a connection too early"
    return ""
