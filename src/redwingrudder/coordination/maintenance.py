"""Carries out the operators' maintenance waves while this node leads."""

import logging
from collections.abc import Iterable
from typing import Any, TypedDict

from .._store_requests import DeleteKey, GetPrefix, PutKey
from ..actors import ActorSystem
from ..exceptions import OverloadedError, RedwingrudderError
from ..workflows.engine import Engine
from ..workflows.maintenance import (
    ACCEPTED_STATES,
    BUSY_STATES,
    ORDERED_STATES,
    MachineUpkeep,
    WaveProgress,
    runs_to_stop,
)
from .authority import Authority
from .gateways import (
    MAINTENANCE_PREFIX,
    STORE,
    MachineReply,
    MachineService,
    WaveCodec,
)
from .machine_duty import MachineDuty, decode_orders, encode_orders
from .recorder import Recorder

READ_INTERVAL_S = 2.0  # short compared with a wave, which lasts many seconds
ACTIVE_READ_INTERVAL_S = 0.5  # while at least one wave is in progress

_logger = logging.getLogger(__name__)


class AcceptedOrder(TypedDict):
    """Record of an order that the machine service has accepted.

    An order that may not have been sent is recorded as a worker id only, as
    former releases record all orders. They take a machine with this record
    for one that has had its upkeep as soon as it is up.

    Attributes:
        worker: Worker that was emptied before the order.
        accepted: Always true.
    """

    worker: str
    accepted: bool


class Maintenance(MachineDuty):
    """Carries out the maintenance waves during one term.

    Args:
        system: The node's actor system.
        engine: The engine of the term.
        recorder: Provides the store revision of the term.
        wave_codec: Decodes waves and encodes their status.
        machine_service: Lists machines and takes them down.
        holder: Identifies this process to the machine service.
        quiet_period_s: Seconds after the beginning of a term in which no
            machine is taken down, so that an old and a new coordinator do not
            send orders alternately.
        authority: Permission of the term to send orders.
    """

    def __init__(
        self,
        system: ActorSystem,
        engine: Engine,
        recorder: Recorder,
        wave_codec: WaveCodec,
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
        self._wave_codec = wave_codec
        self._progress_by_id: dict[int, WaveProgress] = {}
        self._keys_by_wave_id: dict[int, str] = {}
        # Orders by machine id as the store has them.
        self._recorded_by_wave_id: dict[int, dict[str, Any]] = {}
        self._finished_wave_ids: set[int] = set()

    async def _work(self, now: float) -> None:
        await self._read_waves()
        active = [p for p in self._progress_by_id.values() if not p.done]
        if active:
            listed = await self._machine_service.list_machines()
            for progress in active:
                if not self._closed:
                    await self._advance_wave(progress, listed, now)
        for progress in list(self._progress_by_id.values()):
            if progress.done:
                await self._finish_wave(progress)

    def _interval_s(self) -> float:
        return ACTIVE_READ_INTERVAL_S if self._progress_by_id else READ_INTERVAL_S

    async def _read_waves(self) -> None:
        """Read the waves; begin new ones and end those that were withdrawn.

        A changed wave is begun again, from its recorded orders.
        """
        reply = await self._system.ask(STORE, GetPrefix(self._wave_codec.prefix))
        stored_keys = {pair.key for pair in reply.pairs}
        for wave_id, key in list(self._keys_by_wave_id.items()):
            if key not in stored_keys:
                self._withdraw_wave(wave_id)
        for pair in reply.pairs:
            wave = self._wave_codec.decode(pair.key, pair.value)
            if wave is None or wave.wave_id in self._finished_wave_ids:
                continue
            progress = self._progress_by_id.get(wave.wave_id)
            same_key = self._keys_by_wave_id.get(wave.wave_id) == pair.key
            if progress is not None and same_key and progress.wave != wave:
                self._withdraw_wave(wave.wave_id)
                progress = None
            if progress is None:
                await self._take_over_wave(WaveProgress(wave))
                self._keys_by_wave_id[wave.wave_id] = pair.key

    def _withdraw_wave(self, wave_id: int) -> None:
        """Send no more orders of a wave that is no longer stored as it was.

        Its recorded orders are kept for a later form of the wave.
        """
        del self._keys_by_wave_id[wave_id]
        progress = self._progress_by_id.pop(wave_id, None)
        if progress is None:
            return
        for upkeep in progress.in_state(*BUSY_STATES):
            self._release_worker(upkeep)
        _logger.info("maintenance wave withdrawn", extra={"wave": wave_id})

    async def _take_over_wave(self, progress: WaveProgress) -> None:
        """Begin a wave, or continue one that an earlier coordinator began."""
        wave_id = progress.wave.wave_id
        status_key = self._wave_codec.status_key(wave_id)
        status = await self._system.ask(STORE, GetPrefix(status_key))
        if any(
            pair.key == status_key and self._wave_codec.is_done(pair.value)
            for pair in status.pairs
        ):
            self._finished_wave_ids.add(wave_id)
            return
        record_key = MAINTENANCE_PREFIX + str(wave_id)
        record = await self._system.ask(STORE, GetPrefix(record_key))
        orders: dict[str, Any] = {}
        for pair in record.pairs:
            if pair.key == record_key:
                orders = decode_orders(pair)
        self._recorded_by_wave_id[wave_id] = orders
        self._restore_orders(progress, orders)
        await self._write(
            PutKey(status_key, self._wave_codec.encode_status(wave_id, False))
        )
        self._progress_by_id[wave_id] = progress
        _logger.info(
            "maintenance wave begun or continued",
            extra={
                "wave": wave_id,
                "machines": len(progress.wave.machine_ids),
                "limit": progress.wave.limit,
                "ordered": len(progress.in_state(*ORDERED_STATES)),
                "accepted": len(progress.in_state(*ACCEPTED_STATES)),
            },
        )

    def _restore_orders(self, progress: WaveProgress, orders: dict[str, Any]) -> None:
        """Restore the machines of recorded orders.

        An order that is not recorded as accepted may not have been sent, so it
        is sent again; the machine service carries it out only once.
        """
        for machine_id, order in orders.items():
            upkeep = progress.machines_by_id.get(machine_id)
            if upkeep is None:
                continue
            if isinstance(order, dict) and order.get("accepted") is True:
                upkeep.worker_id = str(order.get("worker", ""))
                upkeep.step("restored_accepted")
            else:
                upkeep.worker_id = str(order)
                upkeep.step("restored")

    async def _advance_wave(
        self, progress: WaveProgress, listed: tuple, now: float
    ) -> None:
        for upkeep in progress.observe(listed):
            if upkeep.state == "done":
                self._release_worker(upkeep)
            elif upkeep.state == "unconfirmed":
                upkeep.empty_by = now + progress.emptying_s
            self._log_upkeep(progress, upkeep, "observed")
        if now >= self._quiet_period_ends_at:
            for upkeep in progress.choose(listed, self._engine.workers_by_id, now):
                self._log_upkeep(progress, upkeep, "chosen")
        emptied = [
            u for u in progress.in_state("emptying") if self._empty_worker(u, now)
        ]
        await self._record_orders(progress, emptied)
        for upkeep in emptied:
            upkeep.step("emptied")
        for upkeep in progress.in_state(*ORDERED_STATES):
            if not self._may_order_now():
                break
            if self._empty_worker(upkeep, now):
                await self._order_upkeep(progress, upkeep)
        if not self._closed:
            await self._record_orders(progress)

    def _empty_worker(self, upkeep: MachineUpkeep, now: float) -> bool:
        """Exclude a worker from placement and stop its runs as far as allowed.

        Returns:
            Whether no task is left on the worker.
        """
        worker = self._engine.workers_by_id.get(upkeep.worker_id)
        if worker is None:
            return True
        worker.emptying = True
        engine = self._engine
        for task in runs_to_stop(
            worker, engine.workers_by_id, upkeep.empty_by, engine.run_times, now
        ):
            self._engine.stop(task, "machine_upkeep")
            self._engine.stop_gang(task.stage, task.run)
        return not worker.tasks_by_key

    async def _order_upkeep(
        self, progress: WaveProgress, upkeep: MachineUpkeep
    ) -> None:
        wave_id = progress.wave.wave_id
        try:
            reply = await self._machine_service.begin_upkeep(
                upkeep.machine_id,
                wave_id,
                self._holder,
                self._engine.term,
                self._may_order_now,
            )
        except OverloadedError:
            raise  # the order was answered and not carried out
        except RedwingrudderError:
            upkeep.step("unanswered")
            self._log_upkeep(progress, upkeep, "unanswered")
            raise
        if reply is MachineReply.FENCED:
            self._stop_as_fenced(upkeep.machine_id)
        elif upkeep.step(reply.value) and upkeep.state == "waiting":
            self._release_worker(upkeep)
        self._log_upkeep(progress, upkeep, str(reply))

    def _release_worker(self, upkeep: MachineUpkeep) -> None:
        worker = self._engine.workers_by_id.get(upkeep.worker_id)
        if worker is not None:
            worker.emptying = False

    async def _record_orders(
        self, progress: WaveProgress, emptied: Iterable[MachineUpkeep] = ()
    ) -> None:
        """Record in the store which orders may be sent, or were accepted.

        Orders are recorded before they are sent. A successor repeats those
        that are not recorded as accepted.

        Args:
            progress: The wave.
            emptied: Machines to which orders are sent next.
        """
        orders: dict[str, Any] = {
            upkeep.machine_id: upkeep.worker_id
            for upkeep in (*progress.in_state(*ORDERED_STATES), *emptied)
        }
        for upkeep in progress.in_state(*ACCEPTED_STATES):
            orders[upkeep.machine_id] = AcceptedOrder(
                worker=upkeep.worker_id, accepted=True
            )
        wave_id = progress.wave.wave_id
        if orders != self._recorded_by_wave_id[wave_id]:
            key = MAINTENANCE_PREFIX + str(wave_id)
            await self._write(PutKey(key, encode_orders(orders)))
            self._recorded_by_wave_id[wave_id] = orders

    async def _finish_wave(self, progress: WaveProgress) -> None:
        wave_id = progress.wave.wave_id
        status = self._wave_codec.encode_status(wave_id, True)
        record = DeleteKey(MAINTENANCE_PREFIX + str(wave_id))
        await self._write(PutKey(self._wave_codec.status_key(wave_id), status), record)
        self._finished_wave_ids.add(wave_id)
        del self._progress_by_id[wave_id]
        del self._recorded_by_wave_id[wave_id]
        _logger.info("maintenance wave completed", extra={"wave": wave_id})

    def _log_upkeep(
        self, progress: WaveProgress, upkeep: MachineUpkeep, event: str
    ) -> None:
        _logger.info(
            "machine upkeep",
            extra={
                "wave": progress.wave.wave_id,
                "machine": upkeep.machine_id,
                "worker": upkeep.worker_id,
                "event": event,
                "state": upkeep.state,
            },
        )
