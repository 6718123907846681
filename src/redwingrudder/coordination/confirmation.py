"""Transactions whose late or lost answers are replaced by a read."""

from typing import Any

from twisted.internet.defer import Deferred, FirstError, gatherResults

from .._background import run
from .._store_requests import GetKey, KeyValue, PutKey, Transact, TransactReply
from ..actors import ActorSystem
from ..exceptions import OutcomeUnknownError, RedwingrudderError
from .gateways import STORE

# The store answers within a few milliseconds. A transaction without an answer
# after this time is looked up, while its answer is still awaited. STORE gives
# the transaction up when it answers a lookup that was sent much later.
CONFIRM_AFTER_S = 0.1
LOOKUP_INTERVAL_S = 0.3


async def transact(system: ActorSystem, message: Transact) -> TransactReply:
    """Carry out a transaction, and read its effect if the answer is lost.

    Args:
        system: The node's actor system.
        message: The transaction, with at least one put. Its puts are looked
            up; the values have to differ from what other writers store under
            these keys.

    Raises:
        OutcomeUnknownError: The transaction has not been seen to take effect,
            but may have done so or may do so later.
        StoreUnavailableError: It was not carried out.
    """
    pending = _PendingTransaction(system, message)
    try:
        return await pending.outcome
    except OutcomeUnknownError:
        reply = await pending.read_back()
        if reply is None:
            raise
        return reply
    finally:
        pending.stop()


class _PendingTransaction:
    """A transaction without an answer, and the lookups of its effect.

    Attributes:
        outcome: Fires with the reply or an error.
    """

    def __init__(self, system: ActorSystem, message: Transact) -> None:
        self.outcome: Deferred = Deferred()
        self._system = system
        self._message = message
        self._timer = system.clock.callLater(CONFIRM_AFTER_S, self._look_up)
        system.ask(STORE, message).addBoth(self._settle)

    def stop(self) -> None:
        """Send no more lookups."""
        if self._timer.active():
            self._timer.cancel()

    async def read_back(self) -> TransactReply | None:
        """Return the reply of a transaction that has taken effect, else None.

        Returns:
            None also if the store does not answer.
        """
        try:
            return await self._find_effect()
        except RedwingrudderError:
            # STORE logs when it is not available. The answer of the
            # transaction, or its error, decides then.
            return None

    def _settle(self, result: Any) -> None:
        if not self.outcome.called:
            self.outcome.callback(result)

    def _look_up(self) -> None:
        self._timer = self._system.clock.callLater(LOOKUP_INTERVAL_S, self._look_up)
        run(self._settle_by_lookup(), STORE)

    async def _settle_by_lookup(self) -> None:
        reply = await self.read_back()
        if reply is not None:
            self._settle(reply)

    async def _find_effect(self) -> TransactReply | None:
        """Look up all puts; an earlier write may have stored some of them.

        Puts of one transaction have the same revision. The others are read
        only if the first has taken effect.
        """
        puts = [op for op in self._message.operations if isinstance(op, PutKey)]
        first: KeyValue | None = await self._system.ask(STORE, GetKey(puts[0].key))
        revision = self._effect_revision(puts[0], first)
        if not revision:
            return None
        calls = [self._system.ask(STORE, GetKey(put.key)) for put in puts[1:]]
        try:
            items = await gatherResults(calls, consumeErrors=True)
        except FirstError as error:
            raise error.subFailure.value from error
        for put, item in zip(puts[1:], items, strict=True):
            if self._effect_revision(put, item) != revision:
                return None
        return TransactReply(True, revision)

    def _effect_revision(self, put: PutKey, item: KeyValue | None) -> int:
        """Return the revision with which a put has taken effect, else 0."""
        known_revision = max(
            (c.mod_revision for c in self._message.compares if c.key == put.key),
            default=0,
        )
        if item is None or item.value != put.value:
            return 0
        return item.mod_revision if item.mod_revision > known_revision else 0
