"""Watch streams of the store client."""

import random
from collections.abc import Callable

from . import requests
from ._store_codec import decode_watch_line, encode_watch
from ._store_transport import OpenStream, StoreTransport, StreamEnded
from .exceptions import MailboxFullError

BACKOFF_FIRST_S = 0.1
BACKOFF_LIMIT_S = 2.0  # a change must be in force everywhere within 5 s


class Watch:
    """One watched prefix: delivers changes and resumes after a break.

    Args:
        request: What to watch; its ``after_revision`` is where it starts.
        transport: Connection to the platform.
        tell: Sends a message to the subscriber.
        retry: Asks for ``open`` to be called after a delay in seconds.
        ended: Called when the watch cannot be resumed.
        failed: Called when the stream broke.
        jitter: Source of the jitter of retries.
    """

    def __init__(
        self,
        request: requests.WatchPrefix,
        transport: StoreTransport,
        tell: Callable[[object], None],
        retry: Callable[[float], None],
        ended: Callable[[], None],
        failed: Callable[[], None],
        jitter: random.Random,
    ) -> None:
        self._prefix = request.prefix
        self._after_revision = request.after_revision
        self._transport = transport
        self._tell = tell
        self._retry = retry
        self._ended = ended
        self._failed = failed
        self._jitter = jitter
        self._stream: OpenStream | None = None
        self._attempts = 0

    def open(self) -> None:
        """Open the stream unless it is open."""
        if self._stream is None:
            call = encode_watch(self._prefix, self._after_revision + 1)
            self._stream = self._transport.open_stream(call, self._read, self._end)

    def close(self) -> None:
        """Close the stream; it may be opened again."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _read(self, line: bytes) -> None:
        try:
            progress = decode_watch_line(line)
            if progress.compacted:
                self._reset()
                return
            self._deliver(progress.changes)
            self._attempts = 0
        except (ValueError, MailboxFullError):
            # The changes were not taken over, so they are fetched again.
            self.close()
            self._schedule()

    def _deliver(self, changes: tuple[requests.KeyChange, ...]) -> None:
        news = tuple(c for c in changes if c.mod_revision > self._after_revision)
        if news:
            revision = news[-1].mod_revision
            self._tell(requests.WatchChanged(self._prefix, news, revision))
            self._after_revision = revision

    def _reset(self) -> None:
        self.close()
        self._tell(requests.WatchReset(self._prefix))
        self._ended()

    def _end(self, ended: StreamEnded) -> None:
        self._stream = None
        if ended.too_long:
            self._reset()
            return
        self._schedule()
        self._failed()

    def _schedule(self) -> None:
        delay_s = min(BACKOFF_LIMIT_S, BACKOFF_FIRST_S * 2**self._attempts)
        self._attempts = min(self._attempts + 1, 10)
        self._retry(delay_s * self._jitter.uniform(0.5, 1.0))
