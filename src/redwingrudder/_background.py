"""Helpers for coroutines of actors: background execution and delays."""

import logging
from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

_logger = logging.getLogger(__name__)


def run(coroutine: Coroutine[Any, Any, Any], actor: str) -> Deferred:
    """Run a coroutine in the background and log an error that it raises.

    Args:
        coroutine: The coroutine to run.
        actor: Name of the actor in the log line.
    """

    def log_failure(failure: Failure) -> None:
        _logger.error(
            "background coroutine failed",
            extra={"actor": actor, "traceback": failure.getTraceback()},
        )

    return Deferred.fromCoroutine(coroutine).addErrback(log_failure)


def pause(clock: IReactorTime, delay_s: float) -> Deferred:
    """Return a Deferred that fires after ``delay_s`` seconds."""
    return deferLater(clock, delay_s, lambda: None)
