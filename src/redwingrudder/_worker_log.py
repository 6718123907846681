"""Log lines of a worker link."""

import logging

from twisted.internet.defer import CancelledError
from twisted.python.failure import Failure

from ._worker_commands import Command, path_of
from .exceptions import UnavailableError

_logger = logging.getLogger(__name__)


class LinkLog:
    """Writes log lines that name the worker."""

    def __init__(self, worker_id: str) -> None:
        self._worker_id = worker_id

    def failure(self, path: str, error: UnavailableError) -> None:
        """Log a request without a usable answer."""
        self._log(
            logging.WARNING,
            "worker call failed",
            path=path,
            code=error.code,
            detail=error.detail,
        )

    def refusal(self, command: Command, code: str) -> None:
        """Log a command that the worker refused."""
        self._log(
            logging.INFO,
            "worker refused a command",
            path=path_of(command),
            gang=command.gang_id,
            code=code,
        )

    def dropped(self, command: Command) -> None:
        """Log a command that came after the worker was told to be lost."""
        self._log(
            logging.INFO, "command to a lost worker dropped", gang=command.gang_id
        )

    def fault(self, failure: Failure) -> None:
        """Log an error that no handler expects."""
        if failure.check(CancelledError) is None:
            text = failure.getTraceback()
            self._log(logging.ERROR, "worker link failed", error=text)

    def _log(self, level: int, text: str, **fields: str) -> None:
        _logger.log(level, text, extra={"worker": self._worker_id, **fields})
