"""Logging of a node: JSON lines in bounded volume, without waiting.

Each line has ``time``, ``level``, ``logger``, ``message`` and ``node``, and
the extra fields of the call, by convention ``job``, ``organisation``,
``job_class`` and ``correlation_id``.
"""

import datetime
import logging
import os
import stat
import sys
import time
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter
from twisted.logger import STDLibLogObserver, globalLogBeginner

from ._token_bucket import TokenBucket

# A busy coordinator of 176 workers logs some 400 lines a second; beyond this
# rate, lines below WARNING are counted instead of written.
LINES_PER_S = 1_000.0
LINES_BURST = 4_000.0


class LineFormatter(JsonFormatter):
    """Formats a record as one JSON object on one line.

    Args:
        node_id: Written to the field ``node`` of every line.
    """

    def __init__(self, node_id: str) -> None:
        super().__init__(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"node": node_id},
        )

    def formatTime(  # noqa: N802
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        """Return the time of the record in UTC, ISO 8601 with milliseconds."""
        moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        return moment.isoformat(timespec="milliseconds")


class BoundedHandler(logging.StreamHandler):
    """Drops lines rather than waiting for a reader, and counts them.

    The next line that can be written is preceded by one with the number of
    lines that are missing.

    Args:
        stream: Where lines go; a pipe or socket is made non-blocking.
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__(stream)
        self._bucket = TokenBucket(LINES_PER_S, LINES_BURST, time.monotonic())
        self._fd = _pipe_of(stream)
        # The rest of a line of which a part was written.
        self._rest = b""
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as dropped."""
        try:
            if record.levelno < logging.WARNING and self._bucket.take(time.monotonic()):
                self._dropped += 1
                return
            if self._dropped:
                self._report_dropped()
            if not self._write(self.format(record)):
                self._dropped += 1
        except Exception:
            self.handleError(record)

    def _report_dropped(self) -> None:
        report = logging.LogRecord(
            __name__, logging.WARNING, __file__, 0, "log lines dropped", None, None
        )
        report.lines = self._dropped
        if self._write(self.format(report)):
            self._dropped = 0

    def _write(self, line: str) -> bool:
        """Return whether the line was written, at least in part."""
        if self._fd is None:
            self.stream.write(line + self.terminator)
            self.flush()
            return True
        data = (line + self.terminator).encode()
        try:
            if self._rest:
                self._rest = self._rest[os.write(self._fd, self._rest) :]
            if self._rest:
                return False
            self._rest = data[os.write(self._fd, data) :]
        except BlockingIOError:
            return False
        return True


def _pipe_of(stream: TextIO) -> int | None:
    """Return the descriptor of a pipe or socket, made non-blocking.

    Files do not block, and a terminal is shared with other programs.
    """
    try:
        descriptor = stream.fileno()
        mode = os.fstat(descriptor).st_mode
    except (OSError, ValueError):
        return None
    if not (stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)):
        return None
    os.set_blocking(descriptor, False)
    return descriptor


def configure_logging(
    node_id: str, level: str = "INFO", stream: TextIO | None = None
) -> None:
    """Send all log records of this process to one stream; called once.

    Args:
        node_id: Name of the node, part of every line.
        level: Lowest level that is written, such as "INFO".
        stream: Standard error unless given.

    Raises:
        ValueError: The level is unknown.
    """
    handler = BoundedHandler(stream or sys.stderr)
    handler.setFormatter(LineFormatter(node_id))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # Twisted reports each connection and factory at INFO.
    logging.getLogger("twisted").setLevel(max(root.level, logging.WARNING))
    observer = STDLibLogObserver(name="twisted")
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)
