"""Watch streams of the store client, reopened after a failure."""

import random
from collections.abc import Callable

from . import requests
from ._store_codec import decode_watch_line, encode_watch
from ._store_transport import OpenStream, StoreTransport, StreamEnded
from .exceptions import MailboxFullError

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0  # a change must be in force on all nodes within 5 s
MAX_BACKOFF_EXPONENT = 10
MIN_JITTER_FACTOR = 0.5
MAX_JITTER_FACTOR = 1.0


class Watch:
    """Watch of one prefix: delivers changes and resumes after a failure.

    Args:
        request: Prefix to watch, and the revision after which to start.
        transport: Connection to the platform.
        tell: Sends a message to the subscriber.
        schedule_open: Schedules a call of ``open`` after a delay in seconds.
        on_ended: Called when the watch cannot be resumed.
        on_failure: Called when the stream ended unexpectedly.
        jitter: Random numbers for the jitter of retries.
    """

    def __init__(
        self,
        request: requests.WatchPrefix,
        transport: StoreTransport,
        tell: Callable[[object], None],
        schedule_open: Callable[[float], None],
        on_ended: Callable[[], None],
        on_failure: Callable[[], None],
        jitter: random.Random,
    ) -> None:
        self._prefix = request.prefix
        self._after_revision = request.after_revision
        self._transport = transport
        self._tell = tell
        self._schedule_open = schedule_open
        self._on_ended = on_ended
        self._on_failure = on_failure
        self._jitter = jitter
        self._stream: OpenStream | None = None
        self._attempts = 0

    def open(self) -> None:
        """Open the stream after the last delivered revision.

        Has no effect while the stream is open.
        """
        if self._stream is None:
            call = encode_watch(self._prefix, self._after_revision + 1)
            self._stream = self._transport.open_stream(
                call, self._line_received, self._stream_ended
            )

    def close(self) -> None:
        """Close the stream; ``open`` resumes it."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _line_received(self, line: bytes) -> None:
        try:
            progress = decode_watch_line(line)
            if progress.compacted:
                self._reset()
                return
            self._deliver(progress.changes)
            self._attempts = 0
        except (ValueError, MailboxFullError):
            # The changes were not delivered; the reopened stream repeats them.
            self.close()
            self._schedule_retry()

    def _deliver(self, changes: tuple[requests.KeyChange, ...]) -> None:
        undelivered = tuple(
            change for change in changes if change.mod_revision > self._after_revision
        )
        if undelivered:
            revision = undelivered[-1].mod_revision
            self._tell(requests.WatchChanged(self._prefix, undelivered, revision))
            self._after_revision = revision

    def _reset(self) -> None:
        self.close()
        self._tell(requests.WatchReset(self._prefix))
        self._on_ended()

    def _stream_ended(self, ended: StreamEnded) -> None:
        self._stream = None
        if ended.too_long:
            self._reset()
            return
        self._schedule_retry()
        self._on_failure()

    def _schedule_retry(self) -> None:
        delay_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**self._attempts)
        self._attempts = min(self._attempts + 1, MAX_BACKOFF_EXPONENT)
        self._schedule_open(
            delay_s * self._jitter.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)
        )
