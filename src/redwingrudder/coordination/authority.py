"""The coordinator's permission to act, with the time at which it ends."""

from collections.abc import Callable

# Time for which the coordinator's record is leased. Scheduling stops for about
# this long when the coordinator's machine fails.
LEASE_TTL_S = 1.5
# Time for which replies of other nodes show that the store is down, so that no
# successor can have been elected.
STORE_DOWN_EVIDENCE_S = 2.0
# A coordinator that cannot reach the store may act for this long after a
# successor was elected.
LONGEST_OVERLAP_S = max(LEASE_TTL_S, STORE_DOWN_EVIDENCE_S)


class Authority:
    """Permission to plan, to send orders and to extend the leases of workers.

    COORDINATOR creates one for each of its terms and extends it; whoever
    sends an order checks it immediately before. It ends by itself, also in a
    process that was paused and has not handled any message since.

    Args:
        clock: Returns node-clock seconds.
        ends_at: Time in node-clock seconds at which the permission ends.
    """

    def __init__(self, clock: Callable[[], float], ends_at: float = 0.0) -> None:
        self._clock = clock
        self._ends_at = ends_at
        self._revoked = False

    @property
    def remaining_s(self) -> float:
        """Seconds until the permission ends, 0 if it has ended."""
        return 0.0 if self._revoked else max(self._ends_at - self._clock(), 0.0)

    @property
    def valid(self) -> bool:
        """Whether the permission has not ended yet."""
        return self.remaining_s > 0.0

    def extend(self, ends_at: float) -> None:
        """Move the end to a later time; an earlier time changes nothing."""
        self._ends_at = max(self._ends_at, ends_at)

    def revoke(self) -> None:
        """End the permission for good, at the end of the term."""
        self._revoked = True
