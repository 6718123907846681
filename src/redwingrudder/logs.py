"""Logging of a node: JSON lines on standard error.

Each line has ``time``, ``level``, ``logger``, ``message`` and ``node``, and
the extra fields of the call, by convention ``job``, ``organisation``,
``job_class`` and ``correlation_id``.
"""

import datetime
import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter
from twisted.logger import STDLibLogObserver, globalLogBeginner


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
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(LineFormatter(node_id))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # Twisted reports each connection and factory at INFO.
    logging.getLogger("twisted").setLevel(max(root.level, logging.WARNING))
    observer = STDLibLogObserver(name="twisted")
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)
