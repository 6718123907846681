"""Carries out the operators' maintenance waves while this node leads."""

import json
import logging
from typing import Any

from .._background import run
from .._checked_json import parse_json
from .._store_requests import Compare, DeleteKey, GetPrefix, KeyValue, PutKey, Transact
from ..actors import ActorSystem
from ..exceptions import RedwingrudderError, StaleEpochError
from ..workflows.engine import Engine
from ..workflows.maintenance import MachineUpkeep, WaveProgress, runs_to_stop
from .authority import Authority
from .gateways import (
    COORDINATOR,
    LEADERSHIP,
    MAINTENANCE_PREFIX,
    STORE,
    TERM_KEY,
    MachineReply,
    MachineService,
    WaveCodec,
)
from .messages import Fenced
from .recorder import Recorder

READ_INTERVAL_S = 2.0  # short compared with a wave, which lasts many seconds
ACTIVE_READ_INTERVAL_S = 0.5  # while at least one wave is in progress

_logger = logging.getLogger(__name__)


class Maintenance:
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
        self._authority = authority
        self._system = system
        self._engine = engine
        self._recorder = recorder
        self._wave_codec = wave_codec
        self._machine_service = machine_service
        self._holder = holder
        self._quiet_period_ends_at = system.clock.seconds() + quiet_period_s
        self._progress_by_id: dict[int, WaveProgress] = {}
        self._finished_wave_ids: set[int] = set()
        self._next_advance_at = 0.0
        self._advancing = False
        self._closed = False

    def close(self) -> None:
        """Send no more orders to the machine service."""
        self._closed = True

    def advance(self, now: float) -> None:
        """Start the next step of all waves if it is due.

        Nothing is started while the previous step is in progress.
        ``now`` is in node-clock seconds.
        """
        if self._advancing or self._closed or now < self._next_advance_at:
            return
        self._advancing = True
        run(self._advance_waves(now), COORDINATOR)

    async def _advance_waves(self, now: float) -> None:
        try:
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
        except RedwingrudderError as error:
            _logger.info(
                "maintenance step failed; will be retried", extra={"error": str(error)}
            )
        finally:
            self._advancing = False
            interval_s = (
                ACTIVE_READ_INTERVAL_S if self._progress_by_id else READ_INTERVAL_S
            )
            self._next_advance_at = now + interval_s

    async def _read_waves(self) -> None:
        reply = await self._system.ask(STORE, GetPrefix(self._wave_codec.prefix))
        for pair in reply.pairs:
            wave = self._wave_codec.decode(pair.key, pair.value)
            if wave is None or wave.wave_id in self._finished_wave_ids:
                continue
            if wave.wave_id not in self._progress_by_id:
                await self._take_over_wave(WaveProgress(wave))

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
        for pair in record.pairs:
            if pair.key == record_key:
                self._restore_orders(progress, _decode_orders(pair))
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
                "ordered": len(progress.in_state("ordered")),
            },
        )

    def _restore_orders(self, progress: WaveProgress, ordered: dict[str, str]) -> None:
        """Restore the machines of recorded orders to the state "ordered".

        An order may not have been sent after it was recorded, so it is sent
        again; the machine service carries it out only once.
        """
        for machine_id, worker_id in ordered.items():
            upkeep = progress.machines_by_id.get(machine_id)
            if upkeep is not None:
                upkeep.worker_id = worker_id
                upkeep.step("chosen")
                upkeep.step("emptied")

    async def _advance_wave(
        self, progress: WaveProgress, listed: tuple, now: float
    ) -> None:
        progress.observe(listed)
        if now >= self._quiet_period_ends_at:
            for upkeep in progress.choose(listed, self._engine.workers_by_id, now):
                self._log_upkeep(progress, upkeep, "chosen")
        emptied = [
            u for u in progress.in_state("emptying") if self._empty_worker(u, now)
        ]
        for upkeep in emptied:
            upkeep.step("emptied")
        if emptied:
            await self._record_orders(progress)
        if now < self._quiet_period_ends_at:
            return
        for upkeep in progress.in_state("ordered"):
            if self._closed or not self._authority.valid:
                return
            if self._empty_worker(upkeep, now):
                await self._order_upkeep(progress, upkeep)

    def _empty_worker(self, upkeep: MachineUpkeep, now: float) -> bool:
        """Exclude a worker from placement and stop its runs as far as allowed.

        Returns:
            Whether no task is left on the worker.
        """
        worker = self._engine.workers_by_id.get(upkeep.worker_id)
        if worker is None:
            return True
        worker.emptying = True
        run_times = self._engine.run_times
        for task in runs_to_stop(worker, upkeep.empty_by, run_times, now):
            self._engine.stop(task, "machine_upkeep")
            self._engine.stop_gang(task.stage, task.run)
        return not worker.tasks_by_key

    async def _order_upkeep(
        self, progress: WaveProgress, upkeep: MachineUpkeep
    ) -> None:
        wave_id = progress.wave.wave_id
        reply = await self._machine_service.begin_upkeep(
            upkeep.machine_id, wave_id, self._holder, self._engine.term
        )
        if reply is MachineReply.FENCED:
            self._system.tell(LEADERSHIP, Fenced(upkeep.machine_id))
            self._closed = True
        elif upkeep.step(reply.value) and upkeep.state == "waiting":
            self._release_worker(upkeep)
        self._log_upkeep(progress, upkeep, str(reply))

    def _release_worker(self, upkeep: MachineUpkeep) -> None:
        worker = self._engine.workers_by_id.get(upkeep.worker_id)
        if worker is not None:
            worker.emptying = False

    async def _record_orders(self, progress: WaveProgress) -> None:
        """Record orders in the store, which is done before they are sent.

        A successor reads from the record which orders may have been sent.
        """
        ordered = {
            upkeep.machine_id: upkeep.worker_id
            for upkeep in progress.machines_by_id.values()
            if upkeep.worker_id and upkeep.state not in ("waiting", "emptying")
        }
        key = MAINTENANCE_PREFIX + str(progress.wave.wave_id)
        await self._write(PutKey(key, json.dumps(ordered)))

    async def _finish_wave(self, progress: WaveProgress) -> None:
        wave_id = progress.wave.wave_id
        status = self._wave_codec.encode_status(wave_id, True)
        record = DeleteKey(MAINTENANCE_PREFIX + str(wave_id))
        await self._write(PutKey(self._wave_codec.status_key(wave_id), status), record)
        self._finished_wave_ids.add(wave_id)
        del self._progress_by_id[wave_id]
        _logger.info("maintenance wave completed", extra={"wave": wave_id})

    async def _write(self, *operations: PutKey | DeleteKey) -> None:
        """Write to the store on the condition that the term is unchanged.

        If the condition fails, no more orders are sent and LEADERSHIP is
        notified that this coordinator is fenced.

        Raises:
            StaleEpochError: The store holds the term of another coordinator.
            UnavailableError: The write did not take effect, or its outcome is
                unknown.
        """
        term = Compare(TERM_KEY, self._recorder.term_revision)
        reply: Any = await self._system.ask(STORE, Transact((term,), operations))
        if not reply.succeeded:
            self._closed = True
            self._system.tell(LEADERSHIP, Fenced("store"))
            raise StaleEpochError("the store holds the term of another coordinator")

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


def _decode_orders(pair: KeyValue) -> dict[str, str]:
    """Return the worker ids of recorded orders by machine id.

    An unreadable record counts as empty: the machine service carries out an
    order only once, so sending it again is harmless.
    """
    try:
        orders = parse_json(pair.value)
        if not isinstance(orders, dict):
            raise ValueError("expected an object")
        return {machine: str(worker) for machine, worker in orders.items()}
    except ValueError as error:
        _logger.error(
            "record of maintenance orders cannot be decoded",
            extra={"key": pair.key, "error": str(error)},
        )
        return {}
