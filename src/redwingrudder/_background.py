"""Running coroutines of actors: in the background, and with pauses."""

import logging
from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

_logger = logging.getLogger(__name__)


def run(coroutine: Coroutine[Any, Any, Any], actor: str) -> Deferred:
    """Run a coroutine; an error that it raises is logged."""

    def log(failure: Failure) -> None:
        _logger.error(
            "background work failed",
            extra={"actor": actor, "traceback": failure.getTraceback()},
        )

    return Deferred.fromCoroutine(coroutine).addErrback(log)


def pause(clock: IReactorTime, delay_s: float) -> Deferred:
    """Return a Deferred that fires after a delay."""
    return deferLater(clock, delay_s, lambda: None)
