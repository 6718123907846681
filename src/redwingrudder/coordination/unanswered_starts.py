"""Log lines about workers that do not answer starts."""

import logging
from collections import Counter

from ..workflows.model import StartRun
from .gateways import CommandReply

LOG_INTERVAL_S = 5.0
LOGGED_WORKERS = 5

_logger = logging.getLogger(__name__)


class UnansweredStarts:
    """Counts the starts without a reply by worker until the next log line."""

    def __init__(self) -> None:
        self._log_at = 0.0
        self._starts_by_worker: Counter[str] = Counter()

    def note(self, start: StartRun, reply: CommandReply) -> None:
        """Count a start if none of its attempts got a reply."""
        if reply.reason == "unanswered":
            self._starts_by_worker[start.worker_id] += 1

    def log(self, now: float) -> None:
        """Write a line about the starts since the last one, if it is time.

        Args:
            now: Node-clock seconds.
        """
        if not self._starts_by_worker or now < self._log_at:
            return
        self._log_at = now + LOG_INTERVAL_S
        first = self._starts_by_worker.most_common(LOGGED_WORKERS)
        _logger.warning(
            "workers do not answer starts",
            extra={
                "workers": len(self._starts_by_worker),
                "starts": self._starts_by_worker.total(),
                "starts_by_worker": dict(first),
            },
        )
        self._starts_by_worker.clear()

    def clear(self) -> None:
        """Forget the starts of a term that ends."""
        self._starts_by_worker.clear()
