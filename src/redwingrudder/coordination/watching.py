"""Watches a key prefix of the store across failures and compactions."""

import logging
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IReactorTime

from .._background import pause
from .._store_requests import GetPrefix, KeyValue
from ..exceptions import RedwingrudderError
from .gateways import STORE, AwaitChanges, Change

# A watch whose connection has died without an error is noticed within this
# time.
WATCH_TIMEOUT_S = 1.0
# The same for the first watch after one without an answer. The store may
# answer at once, and its answer contains all changes since the last one.
CATCH_UP_TIMEOUT_S = 0.05
RETRY_DELAY_S = 0.25
# Time without an answer after which a watch is reported as behind. One lost
# answer takes less.
WATCH_LATE_AFTER_S = 2.0

_logger = logging.getLogger(__name__)


async def follow_prefix(
    ask: Callable[..., Any],
    clock: IReactorTime,
    prefix: str,
    revision: int,
    is_active: Callable[[], bool],
    on_changes: Callable[[tuple[Change, ...]], None],
    on_reset: Callable[[tuple[KeyValue, ...]], None],
) -> None:
    """Report the changes below a key prefix until the caller stops it.

    A failed call is logged, and followed after ``RETRY_DELAY_S`` by a watch
    that waits for ``CATCH_UP_TIMEOUT_S`` only. If that gets no answer either,
    all pairs are read, so that a store that answers other calls than watches
    keeps the view up to date. After an exception of a callback the watch goes
    on with the next changes. A view that is older than ``WATCH_LATE_AFTER_S``
    is logged once, and again when it is up to date.

    Args:
        ask: Sends a message to an actor and returns the reply.
        clock: Clock for the pauses after failed calls.
        prefix: Key prefix to watch.
        revision: Store revision after which changes are reported.
        is_active: Returns whether to continue; checked before each watch
            request and before each callback.
        on_changes: Called with the changes in the order of the store.
        on_reset: Called with all current pairs when the store no longer has
            the history since the last revision, or does not answer watches.
    """
    age = _WatchAge(clock, prefix)
    # Number of calls without an answer since the last watch with one.
    failures = 0
    while is_active():
        # A read that was answered is followed by a watch.
        must_read = failures > 1 and failures % 2 == 0
        try:
            if not must_read:
                wait_s = CATCH_UP_TIMEOUT_S if failures else WATCH_TIMEOUT_S
                changes = await ask(STORE, AwaitChanges(prefix, revision, wait_s))
                failures = 0
            if must_read or changes.expired:
                reply = await ask(STORE, GetPrefix(prefix))
                revision = reply.revision
                failures = min(failures, 1)
                age.answered()
                if is_active():
                    on_reset(reply.pairs)
            else:
                revision = changes.revision
                age.answered()
                if changes.changes and is_active():
                    on_changes(changes.changes)
        except RedwingrudderError as error:
            failures += 1
            extra = {"prefix": prefix, "read": must_read, "error": str(error)}
            _logger.info("watch of a key prefix failed; it is repeated", extra=extra)
            age.failed()
            await pause(clock, RETRY_DELAY_S)
        except Exception:
            _logger.exception("watch of a key prefix failed unexpectedly")
            await pause(clock, RETRY_DELAY_S)


class _WatchAge:
    """Reports when a view falls behind, and when it is up to date again.

    Args:
        clock: Clock of the node.
        prefix: Key prefix of the watch, for the log.
    """

    def __init__(self, clock: IReactorTime, prefix: str) -> None:
        self._clock = clock
        self._prefix = prefix
        self._answered_at = clock.seconds()
        self._is_behind = False

    def answered(self) -> None:
        """Record an answer, which contains all changes up to now."""
        if self._is_behind:
            self._is_behind = False
            _logger.info(
                "watch of a key prefix is answered again", extra=self._log_fields()
            )
        self._answered_at = self._clock.seconds()

    def failed(self) -> None:
        """Record a call without an answer."""
        behind_s = self._clock.seconds() - self._answered_at
        if behind_s > WATCH_LATE_AFTER_S and not self._is_behind:
            self._is_behind = True
            _logger.warning("watch of a key prefix is behind", extra=self._log_fields())

    def _log_fields(self) -> dict[str, Any]:
        behind_s = self._clock.seconds() - self._answered_at
        return {"prefix": self._prefix, "behind_s": round(behind_s, 3)}
