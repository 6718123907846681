"""Rate limiter with a bounded burst (token bucket)."""


class TokenBucket:
    """Holds up to ``burst`` tokens and gains ``rate`` tokens per second.

    All times are in seconds of the caller's clock.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated_at = now

    def take(self, now: float) -> float:
        """Take one token if there is one.

        Returns:
            0 if a token was taken, else the seconds until one is available.
        """
        gained = max(0.0, now - self._updated_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._updated_at = now
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / self._rate
        self._tokens -= 1.0
        return 0.0
