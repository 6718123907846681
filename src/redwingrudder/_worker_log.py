"""Log lines of a worker link."""

import logging

from twisted.internet.defer import CancelledError
from twisted.python.failure import Failure

from ._worker_commands import Command, path_of
from .exceptions import UnavailableError

_logger = logging.getLogger(__name__)


class LinkLog:
    """Writes the log lines of one link, each with the id of its worker."""

    def __init__(self, worker_id: str) -> None:
        self._worker_id = worker_id

    def failed_call(self, path: str, error: UnavailableError) -> None:
        """Log a request that got no valid reply."""
        self._log(
            logging.WARNING,
            "request to worker failed",
            path=path,
            code=error.code,
            detail=error.detail,
        )

    def refused_command(self, command: Command, code: str) -> None:
        """Log that the worker refused a command, with its error code."""
        self._log(
            logging.INFO,
            "worker refused command",
            path=path_of(command),
            gang=command.gang_id,
            code=code,
        )

    def dropped_command(self, command: Command) -> None:
        """Log that a command arrived after ``WorkerLost`` and is not sent."""
        self._log(logging.INFO, "dropped command to lost worker", gang=command.gang_id)

    def unexpected_error(self, failure: Failure) -> None:
        """Log an error other than a cancellation, with its traceback."""
        if failure.check(CancelledError) is None:
            text = failure.getTraceback()
            self._log(logging.ERROR, "unexpected error in worker link", error=text)

    def _log(self, level: int, text: str, **fields: str) -> None:
        _logger.log(level, text, extra={"worker": self._worker_id, **fields})
