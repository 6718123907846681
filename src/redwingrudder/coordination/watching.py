"""Following the changes below a prefix of the store."""

import logging
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IReactorTime

from .._background import pause
from .._store_requests import GetPrefix, KeyValue
from ..exceptions import RedwingrudderError
from .gateways import STORE, AwaitChanges, Change

WATCH_S = 1.0  # a watch that has gone silent is noticed within this time
RETRY_S = 0.25

_logger = logging.getLogger(__name__)


async def follow_prefix(
    ask: Callable[..., Any],
    clock: IReactorTime,
    prefix: str,
    revision: int,
    wanted: Callable[[], bool],
    apply: Callable[[tuple[Change, ...]], None],
    replace: Callable[[tuple[KeyValue, ...]], None],
) -> None:
    """Follow changes until they are no longer wanted.

    Args:
        ask: Sends a message to an actor and returns the reply.
        clock: Times the pauses after failed calls.
        prefix: Beginning of the keys.
        revision: Changes after this revision are new.
        wanted: Returns whether to go on; asked again after each wait.
        apply: Gets the changes in their order.
        replace: Gets all pairs when the store has dropped its history.
    """
    while wanted():
        try:
            changes = await ask(STORE, AwaitChanges(prefix, revision, WATCH_S))
            if changes.expired:
                reply = await ask(STORE, GetPrefix(prefix))
                revision = reply.revision
                if wanted():
                    replace(reply.pairs)
            else:
                revision = changes.revision
                if changes.changes and wanted():
                    apply(changes.changes)
        except RedwingrudderError as error:
            extra = {"prefix": prefix, "error": str(error)}
            _logger.info("watch lost", extra=extra)
            await pause(clock, RETRY_S)
