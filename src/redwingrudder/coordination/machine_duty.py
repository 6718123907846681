"""Base of the coordinator's duties that send orders to the machine service."""

import abc
import json
import logging
from typing import Any

from .._background import run
from .._checked_json import parse_json
from .._store_requests import (
    Compare,
    DeleteKey,
    GetKey,
    KeyValue,
    PutKey,
    Transact,
)
from ..actors import ActorSystem
from ..exceptions import RedwingrudderError, StaleEpochError, UnavailableError
from ..workflows.engine import Engine
from .authority import Authority
from .gateways import COORDINATOR, LEADERSHIP, STORE, TERM_KEY, MachineService
from .messages import Fenced
from .recorder import Recorder

_logger = logging.getLogger(__name__)


class MachineDuty(abc.ABC):
    """Works in rounds, at most one at a time, until it is closed.

    Args:
        system: The node's actor system.
        engine: The engine of the term.
        recorder: Provides the store revision of the term.
        machine_service: Lists machines and carries out orders.
        holder: Identifies this process to the machine service.
        quiet_period_s: Seconds after the beginning of a term in which no
            order is sent, so that an old and a new coordinator do not send
            orders alternately.
        authority: Permission of the term to send orders.
    """

    def __init__(
        self,
        system: ActorSystem,
        engine: Engine,
        recorder: Recorder,
        machine_service: MachineService,
        holder: str,
        quiet_period_s: float,
        authority: Authority,
    ) -> None:
        self._system = system
        self._engine = engine
        self._recorder = recorder
        self._machine_service = machine_service
        self._holder = holder
        self._authority = authority
        self._quiet_period_ends_at = system.clock.seconds() + quiet_period_s
        self._next_round_at = 0.0
        self._in_round = False
        self._closed = False

    def close(self) -> None:
        """Send no more orders to the machine service."""
        self._closed = True

    def advance(self, now: float) -> None:
        """Start the next round if it is due and the previous one has ended.

        ``now`` is in node-clock seconds.
        """
        if self._in_round or self._closed or now < self._next_round_at:
            return
        self._in_round = True
        run(self._run_round(now), COORDINATOR)

    async def _run_round(self, now: float) -> None:
        try:
            await self._work(now)
        except RedwingrudderError as error:
            _logger.info(
                "round of a machine duty failed; will be retried",
                extra={"duty": type(self).__name__, "error": str(error)},
            )
        finally:
            self._in_round = False
            self._next_round_at = now + self._interval_s()

    @abc.abstractmethod
    async def _work(self, now: float) -> None:
        """Carry out one round.

        Raises:
            RedwingrudderError: The round is given up and repeated later.
        """

    @abc.abstractmethod
    def _interval_s(self) -> float:
        """Return the seconds from the start of a round to that of the next."""

    def _may_order(self, now: float) -> bool:
        """Return whether an order may be sent at this moment."""
        return (
            not self._closed
            and now >= self._quiet_period_ends_at
            and self._authority.valid
        )

    def _may_order_now(self) -> bool:
        """Return whether an order may be sent, when it is written."""
        return self._may_order(self._system.clock.seconds())

    def _stop_as_fenced(self, source: str) -> None:
        """Send no more orders, and tell LEADERSHIP of a newer coordinator.

        After the term this says nothing: the newer coordinator may be the next
        term of this node.
        """
        if self._closed:
            return
        self._closed = True
        self._system.tell(LEADERSHIP, Fenced(source))

    async def _write(self, *operations: PutKey | DeleteKey) -> None:
        """Write to the store if neither the term nor the keys have changed.

        The condition on the keys keeps a write that takes effect late from
        replacing a newer one. If the term has changed, no more orders are
        sent and LEADERSHIP is notified that this coordinator is fenced.

        Raises:
            StaleEpochError: The store holds the term of another coordinator.
            UnavailableError: The write did not take effect, or its outcome is
                unknown.
        """
        compares = [Compare(TERM_KEY, self._recorder.term_revision)]
        for operation in operations:
            compares.append(await self._read_condition(operation.key))
        reply: Any = await self._system.ask(
            STORE, Transact(tuple(compares), operations)
        )
        if reply.succeeded:
            return
        term: KeyValue | None = await self._system.ask(STORE, GetKey(TERM_KEY))
        if term is not None and term.mod_revision == self._recorder.term_revision:
            raise UnavailableError("a record was changed by a write without an answer")
        self._stop_as_fenced("store")
        raise StaleEpochError("the store holds the term of another coordinator")

    async def _read_condition(self, key: str) -> Compare:
        """Return the condition that a key keeps its present revision."""
        item: KeyValue | None = await self._system.ask(STORE, GetKey(key))
        return Compare(key, item.mod_revision if item else 0)


def encode_orders(orders_by_machine: dict[str, Any]) -> str:
    """Encode recorded orders by machine id."""
    return json.dumps(orders_by_machine)


def decode_orders(pair: KeyValue) -> dict[str, Any]:
    """Return the recorded orders by machine id.

    An unreadable record counts as empty: the machine service carries out an
    order only once, so sending it again is harmless.
    """
    try:
        orders = parse_json(pair.value)
        if not isinstance(orders, dict):
            raise ValueError("expected an object")
        return orders
    except ValueError as error:
        _logger.error(
            "record of orders to machines cannot be decoded",
            extra={"key": pair.key, "error": str(error)},
        )
        return {}
