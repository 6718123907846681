"""Transactions whose late or lost answers are replaced by a read."""

from twisted.internet.defer import Deferred

from .._background import run
from .._store_requests import GetKey, KeyValue, PutKey, Transact, TransactReply
from ..actors import ActorSystem
from ..exceptions import OutcomeUnknownError, RedwingrudderError
from .gateways import STORE

# The store answers within a few milliseconds. A transaction without an answer
# after this time is looked up, while its answer is still awaited.
CONFIRM_AFTER_S = 0.1


async def transact(system: ActorSystem, message: Transact) -> TransactReply:
    """Carry out a transaction, and read its effect if the answer is lost.

    Args:
        system: The node's actor system.
        message: The transaction. Its first put is looked up; the value has to
            differ from what other writers store under that key.

    Raises:
        OutcomeUnknownError: The transaction has not been seen to take effect,
            but may have done so or may do so later.
        StoreUnavailableError: It was not carried out.
    """
    outcome: Deferred = Deferred()

    def settle(result: object) -> None:
        if not outcome.called:
            outcome.callback(result)

    system.ask(STORE, message).addBoth(settle)
    lookup = system.clock.callLater(
        CONFIRM_AFTER_S, lambda: run(_look_up(system, message, settle), STORE)
    )
    try:
        return await outcome
    except OutcomeUnknownError:
        reply = await _read_back(system, message)
        if reply is None:
            raise
        return reply
    finally:
        if lookup.active():
            lookup.cancel()


async def _look_up(system: ActorSystem, message: Transact, settle) -> None:
    reply = await _read_back(system, message)
    if reply is not None:
        settle(reply)


async def _read_back(system: ActorSystem, message: Transact) -> TransactReply | None:
    """Return the reply of a transaction that has taken effect, else None.

    All operations of a transaction take effect together, so one key is enough.
    """
    put = next(op for op in message.operations if isinstance(op, PutKey))
    known_revision = max(
        (c.mod_revision for c in message.compares if c.key == put.key), default=0
    )
    try:
        item: KeyValue | None = await system.ask(STORE, GetKey(put.key))
    except RedwingrudderError:
        # The store logs that it is not available; the answer may still come.
        return None
    if item is None or item.value != put.value or item.mod_revision <= known_revision:
        return None
    return TransactReply(True, item.mod_revision)
