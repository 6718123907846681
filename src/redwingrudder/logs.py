"""Logging of a node: JSON lines at a limited rate, without blocking.

Each line has the fields ``time``, ``level``, ``logger``, ``message`` and
``node``, and the fields that the log call passes in ``extra``, by convention
``job``, ``organisation``, ``job_class`` and ``correlation_id``.
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

# Above this rate, and after a burst of MAX_BURST_LINES, lines below WARNING
# are dropped and counted. A busy coordinator of 176 workers logs about 400
# lines per second.
MAX_LINES_PER_S = 1_000.0
MAX_BURST_LINES = 4_000.0


class LineFormatter(JsonFormatter):
    """Formats each record as a JSON object on one line.

    Args:
        node_id: Value of the field ``node`` of every line.
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
        """Return the time in UTC, in ISO 8601 format with milliseconds."""
        created_at = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        return created_at.isoformat(timespec="milliseconds")


class BoundedHandler(logging.StreamHandler):
    """Drops and counts lines instead of blocking on a slow reader.

    Lines below WARNING are also dropped above ``MAX_LINES_PER_S``. Before the
    next line it writes "log lines dropped" with the number of dropped lines
    in the field ``lines``.

    Args:
        stream: Receives the lines; a pipe or socket is made non-blocking.
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__(stream)
        self._rate_limit = TokenBucket(
            MAX_LINES_PER_S, MAX_BURST_LINES, time.monotonic()
        )
        self._descriptor = _non_blocking_descriptor(stream)
        # Remainder of a line of which the pipe accepted only a part. It is
        # written before any other line.
        self._unwritten = b""
        self._dropped_lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write the record as a line, or count it as dropped."""
        try:
            # take() returns the seconds until a token is available, 0 if it
            # took one.
            if record.levelno < logging.WARNING and self._rate_limit.take(
                time.monotonic()
            ):
                self._dropped_lines += 1
                return
            if self._dropped_lines:
                self._report_dropped()
            if not self._write(self.format(record)):
                self._dropped_lines += 1
        except Exception:
            self.handleError(record)

    def _report_dropped(self) -> None:
        report = logging.LogRecord(
            __name__, logging.WARNING, __file__, 0, "log lines dropped", None, None
        )
        report.lines = self._dropped_lines
        if self._write(self.format(report)):
            self._dropped_lines = 0

    def _write(self, line: str) -> bool:
        """Write a line; return False if no part of it was written."""
        if self._descriptor is None:
            self.stream.write(line + self.terminator)
            self.flush()
            return True
        encoded_line = (line + self.terminator).encode()
        try:
            if self._unwritten:
                self._unwritten = self._unwritten[
                    os.write(self._descriptor, self._unwritten) :
                ]
            if self._unwritten:
                return False
            self._unwritten = encoded_line[os.write(self._descriptor, encoded_line) :]
        except BlockingIOError:
            return False
        return True


def _non_blocking_descriptor(stream: TextIO) -> int | None:
    """Return the descriptor of a pipe or socket after making it non-blocking.

    Returns None for other streams: files do not block, and the mode of a
    terminal would also change for the other programs that use it.
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
    """Write all log records of this process to one stream.

    It must be called only once in a process.

    Args:
        node_id: Id of the node, written to every line.
        level: Lowest level that is written, such as "INFO".
        stream: Receives the lines; standard error by default.

    Raises:
        ValueError: The level is unknown.
    """
    handler = BoundedHandler(stream or sys.stderr)
    handler.setFormatter(LineFormatter(node_id))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # Twisted logs every connection and factory at INFO.
    logging.getLogger("twisted").setLevel(max(root.level, logging.WARNING))
    observer = STDLibLogObserver(name="twisted")
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)
