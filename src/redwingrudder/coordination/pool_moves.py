"""Moves machines between serving pools and pools on standby."""

import logging
from typing import Any

from .._store_requests import GetPrefix, PutKey
from ..actors import ActorSystem
from ..workflows.engine import Engine
from ..workflows.machines import Machine, MachineState
from ..workflows.model import Resources
from ..workflows.planner import URGENT_PRIORITY
from ..workflows.pool_sizing import (
    NO_POOLS,
    MachineMove,
    PoolRoles,
    PoolSizing,
    pool_needs,
)
from .authority import Authority
from .gateways import (
    MOVES_KEY,
    STORE,
    MachineReply,
    MachineService,
    OperatorConfiguration,
)
from .machine_duty import MachineDuty, decode_orders, encode_orders
from .recorder import Recorder

INTERVAL_S = 1.0
ACTIVE_INTERVAL_S = 0.5  # while at least one machine is to move

_logger = logging.getLogger(__name__)


class PoolMoves(MachineDuty):
    """Gives pools the machines that they need, during one term.

    Without a pool on standby it neither reads the list of machines nor the
    store.

    Args:
        system: The node's actor system.
        engine: The engine of the term.
        recorder: Provides the store revision of the term.
        machine_service: Lists and moves machines.
        holder: Identifies this process to the machine service.
        quiet_period_s: Seconds after the beginning of a term in which no
            machine is moved.
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
        super().__init__(
            system,
            engine,
            recorder,
            machine_service,
            holder,
            quiet_period_s,
            authority,
        )
        self._roles = NO_POOLS
        self._sizing = PoolSizing()
        self._moves_by_machine: dict[str, MachineMove] = {}
        self._recorded: dict[str, Any] = {}
        self._restored = False
        self._machine_sizes: tuple[Resources, ...] = ()

    def set_roles(self, roles: PoolRoles) -> None:
        """Follow a new configuration of the pools."""
        self._roles = roles

    async def restore(self) -> None:
        """Read the orders that an earlier coordinator may have sent.

        They are sent again. Nothing is read without a pool on standby.

        Raises:
            RedwingrudderError: The store did not answer.
        """
        if self._restored or not self._roles.standby:
            return
        reply = await self._system.ask(STORE, GetPrefix(MOVES_KEY))
        for pair in reply.pairs:
            if pair.key != MOVES_KEY:
                continue
            for machine_id, order in decode_orders(pair).items():
                move = _restored_move(machine_id, order)
                if move is not None:
                    self._moves_by_machine[machine_id] = move
                    self._recorded[machine_id] = order
        self._restored = True

    def empty_workers(self) -> None:
        """Exclude the workers of machines that are to move from placement."""
        for move in self._moves_by_machine.values():
            self._set_emptying(move, True)

    def sample(self, now: float, wall: float) -> None:
        """Sample what the pools need.

        Args:
            now: Node-clock seconds.
            wall: Unix seconds.
        """
        if not self._roles.standby:
            return
        engine = self._engine
        active = [p for p in engine.workflows_by_id.values() if p.ended_at is None]
        workers = engine.workers_by_id.values()
        needs = pool_needs(active, workers, self._machine_sizes, now, wall)
        self._sizing.sample(needs, now)

    async def _work(self, now: float) -> None:
        if not self._roles.standby and not self._moves_by_machine:
            return
        await self.restore()
        listed = await self._machine_service.list_machines()
        self._machine_sizes = tuple(m.capacity for m in listed)
        by_id = {machine.machine_id: machine for machine in listed}
        moves = self._moves_by_machine
        for move in list(moves.values()):
            move.observe(by_id.get(move.machine_id))
            self._drop_if_ended(move)
        if self._may_order(now):
            chosen = self._sizing.choose(
                self._roles, listed, self._engine.workers_by_id, moves, now
            )
            for move in chosen:
                moves[move.machine_id] = move
                _log_move(move, "chosen")
        await self._empty(by_id, now)
        for move in list(moves.values()):
            # The clock is read before each order, as the one before may have
            # taken long.
            if not self._may_order(self._system.clock.seconds()):
                return
            if move.state == "ordered" and self._set_emptying(move, True):
                await self._order(move)

    def _interval_s(self) -> float:
        return ACTIVE_INTERVAL_S if self._moves_by_machine else INTERVAL_S

    async def _empty(self, by_id: dict[str, Machine], now: float) -> None:
        """Record the moves of empty machines; drop those needed again."""
        emptied = []
        for move in list(self._moves_by_machine.values()):
            if move.state != "emptying":
                continue
            empty = self._set_emptying(move, True)
            if self._is_needed(by_id[move.machine_id], move, now):
                move.step("needed")
                self._drop_if_ended(move)
            elif empty:
                emptied.append(move)
        ordered = {
            move.machine_id: [move.target, move.worker_id]
            for move in self._moves_by_machine.values()
            if move.state != "emptying" or move in emptied
        }
        if ordered != self._recorded:
            # A successor reads from the record which orders may have been
            # sent, so it is written before they are.
            await self._write(PutKey(MOVES_KEY, encode_orders(ordered)))
            self._recorded = ordered
        for move in emptied:
            move.step("recorded")

    def _is_needed(self, machine: Machine, move: MachineMove, now: float) -> bool:
        """Return whether a machine has to stay in its pool after all."""
        short = machine.pool in self._roles.serving and self._sizing.is_short(
            machine.pool, now
        )
        return short or not self._roles.allows_move(machine.pool, move.target)

    async def _order(self, move: MachineMove) -> None:
        reply = await self._machine_service.move(
            move.machine_id,
            move.target,
            self._holder,
            self._engine.term,
            self._may_order_now,
        )
        _log_move(move, str(reply))
        if reply is MachineReply.FENCED:
            self._stop_as_fenced(move.machine_id)
        elif reply is MachineReply.ACCEPTED:
            move.step("accepted")
        elif reply is MachineReply.GONE:
            self._sizing.refuse(move)
            move.step("refused")
            self._drop_if_ended(move)

    def _set_emptying(self, move: MachineMove, emptying: bool) -> bool:
        """Exclude the worker of a machine from placement, or allow it again.

        Returns:
            Whether no run is left on the worker.
        """
        worker = self._engine.workers_by_id.get(move.worker_id)
        if worker is None:
            return True
        worker.emptying = emptying
        return not worker.tasks_by_key

    def _drop_if_ended(self, move: MachineMove) -> None:
        if move.ended:
            self._set_emptying(move, False)
            del self._moves_by_machine[move.machine_id]
            _log_move(move, "ended")


def pool_roles(configuration: OperatorConfiguration) -> PoolRoles:
    """Return the roles that a configuration gives to the pools.

    The pools of urgent queues must always have the accelerators of all
    guarantees, as these are for urgent work.
    """
    guaranteed = sum(configuration.guaranteed_by_organisation.values())
    return PoolRoles(
        configuration.pools - configuration.standby_pools,
        configuration.standby_pools,
        {
            queue.policy.pool: guaranteed
            for queue in configuration.queues
            if queue.policy.priority == URGENT_PRIORITY
        },
    )


def _restored_move(machine_id: str, order: Any) -> MachineMove | None:
    """Return the move of a recorded order, None if it cannot be read."""
    if not (isinstance(order, list) and len(order) == 2):
        _logger.error(
            "recorded move of a machine cannot be read", extra={"machine": machine_id}
        )
        return None
    target, worker_id = map(str, order)
    machine = Machine(machine_id, MachineState.UP, worker_id)
    move = MachineMove(machine, target)
    move.step("recorded")
    return move


def _log_move(move: MachineMove, event: str) -> None:
    _logger.info(
        "machine move",
        extra={
            "machine": move.machine_id,
            "target": move.target,
            "worker": move.worker_id,
            "event": event,
            "state": move.state,
        },
    )
