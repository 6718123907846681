"""Time limits of calls whose results take time to transfer."""

import math
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime


class TransferLimit:
    """Cancels a Deferred whose result does not arrive in time.

    Args:
        clock: Provides the time.
        pending: Cancelled at the limit.
        timeout_s: Longest time in seconds without progress.
        transfer_s: Seconds by which progress can move the limit at most.

    Attributes:
        expired: Whether the limit was reached.
        arriving: Whether data has arrived within the last ``timeout_s``.
    """

    def __init__(
        self,
        clock: IReactorTime,
        pending: Deferred,
        timeout_s: float,
        transfer_s: float,
    ) -> None:
        self.expired = False
        self._clock = clock
        self._pending = pending
        self._timeout_s = timeout_s
        self._latest = clock.seconds() + timeout_s + transfer_s
        self._extended_at = -math.inf
        self._timer = clock.callLater(timeout_s, self._expire)
        pending.addBoth(self._stop)

    @property
    def arriving(self) -> bool:
        """See the class."""
        return self._clock.seconds() - self._extended_at < self._timeout_s

    def extend(self) -> None:
        """Move the limit, because a part of the result has arrived."""
        now = self._extended_at = self._clock.seconds()
        if self._timer.active():
            self._timer.reset(max(min(self._timeout_s, self._latest - now), 0.0))

    def _expire(self) -> None:
        self.expired = True
        self._pending.cancel()

    def _stop(self, result: Any) -> Any:
        if self._timer.active():
            self._timer.cancel()
        return result
