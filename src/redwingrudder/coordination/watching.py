"""Following the changes below a prefix of the store."""

import logging
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IReactorTime

from .._background import pause
from .._store_requests import GetPrefix, KeyValue
from ..exceptions import RedwingrudderError
from .gateways import STORE, AwaitChanges, Change

WATCH_TIMEOUT_S = 1.0  # a watch that has gone silent is noticed within this time
RETRY_DELAY_S = 0.25

_logger = logging.getLogger(__name__)


async def follow_prefix(
    ask: Callable[..., Any],
    clock: IReactorTime,
    prefix: str,
    revision: int,
    is_active: Callable[[], bool],
    on_changes: Callable[[tuple[Change, ...]], None],
    on_reset: Callable[[tuple[KeyValue, ...]], None],
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
    while is_active():
        try:
            changes = await ask(STORE, AwaitChanges(prefix, revision, WATCH_TIMEOUT_S))
            if changes.expired:
                reply = await ask(STORE, GetPrefix(prefix))
                revision = reply.revision
                if is_active():
                    on_reset(reply.pairs)
            else:
                revision = changes.revision
                if changes.changes and is_active():
                    on_changes(changes.changes)
        except RedwingrudderError as error:
            extra = {"prefix": prefix, "error": str(error)}
            _logger.info("watch lost", extra=extra)
            await pause(clock, RETRY_DELAY_S)
