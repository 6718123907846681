"""Carries out the operators' maintenance waves while this node leads."""

import json
import logging
from typing import Any

from .._background import run
from .._store_requests import Compare, DeleteKey, GetPrefix, PutKey, Transact
from ..actors import ActorSystem
from ..exceptions import RedwingrudderError
from ..workflows.engine import Engine
from ..workflows.maintenance import MachineUpkeep, WaveProgress, runs_to_stop
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

READ_INTERVAL_S = 2.0  # between readings of the waves; they last many seconds
ACTIVE_READ_INTERVAL_S = 0.5  # while a wave is at hand

_logger = logging.getLogger(__name__)


class Maintenance:
    """The waves of one term.

    Args:
        system: The node's actors.
        engine: The engine of the term.
        recorder: Knows the revision of the term.
        waves: Reads waves and writes their state.
        machines: Takes machines down.
        holder: Names this process in orders.
        quiet_s: Time after the beginning of a term without orders, so that
            two coordinators do not give orders in turns.
    """

    def __init__(
        self,
        system: ActorSystem,
        engine: Engine,
        recorder: Recorder,
        waves: WaveCodec,
        machines: MachineService,
        holder: str,
        quiet_s: float,
    ) -> None:
        self._system = system
        self._engine = engine
        self._recorder = recorder
        self._waves = waves
        self._machines = machines
        self._holder = holder
        self._quiet_until = system.clock.seconds() + quiet_s
        self._progress_by_id: dict[int, WaveProgress] = {}
        self._finished: set[int] = set()
        self._next_at = 0.0
        self._busy = False
        self._closed = False

    def close(self) -> None:
        """Give no more orders."""
        self._closed = True

    def advance(self, now: float) -> None:
        """Go on with the waves, unless the last step is still at work."""
        if self._busy or self._closed or now < self._next_at:
            return
        self._busy = True
        run(self._advance(now), COORDINATOR)

    async def _advance(self, now: float) -> None:
        try:
            await self._read_waves()
            active = [p for p in self._progress_by_id.values() if not p.done]
            if active:
                listed = await self._machines.list_machines()
                for progress in active:
                    if not self._closed:
                        await self._advance_wave(progress, listed, now)
            for progress in list(self._progress_by_id.values()):
                if progress.done:
                    await self._finish(progress)
        except RedwingrudderError as error:
            _logger.info("maintenance delayed", extra={"error": str(error)})
        finally:
            self._busy = False
            pause = ACTIVE_READ_INTERVAL_S if self._progress_by_id else READ_INTERVAL_S
            self._next_at = now + pause

    async def _read_waves(self) -> None:
        reply = await self._system.ask(STORE, GetPrefix(self._waves.prefix))
        for pair in reply.pairs:
            wave = self._waves.decode(pair.key, pair.value)
            if wave is None or wave.wave_id in self._finished:
                continue
            if wave.wave_id not in self._progress_by_id:
                await self._adopt(WaveProgress(wave))

    async def _adopt(self, progress: WaveProgress) -> None:
        """Take over a wave, with what an earlier coordinator did for it."""
        wave_id = progress.wave.wave_id
        status_key = self._waves.status_key(wave_id)
        status = await self._system.ask(STORE, GetPrefix(status_key))
        if any(
            pair.key == status_key and self._waves.is_done(pair.value)
            for pair in status.pairs
        ):
            self._finished.add(wave_id)
            return
        record_key = MAINTENANCE_PREFIX + str(wave_id)
        record = await self._system.ask(STORE, GetPrefix(record_key))
        for pair in record.pairs:
            if pair.key == record_key:
                self._restore(progress, json.loads(pair.value))
        await self._write(PutKey(status_key, self._waves.encode_status(wave_id, False)))
        self._progress_by_id[wave_id] = progress
        _logger.info(
            "maintenance wave taken over",
            extra={
                "wave": wave_id,
                "machines": len(progress.wave.machine_ids),
                "limit": progress.wave.limit,
                "ordered": len(progress.in_state("ordered")),
            },
        )

    def _restore(self, progress: WaveProgress, ordered: dict[str, str]) -> None:
        """Orders that were recorded may or may not have been carried out."""
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
        if now >= self._quiet_until:
            for upkeep in progress.choose(listed, self._engine.workers_by_id, now):
                self._log(progress, upkeep, "chosen")
        emptied = [u for u in progress.in_state("emptying") if self._empty(u, now)]
        for upkeep in emptied:
            upkeep.step("emptied")
        if emptied:
            await self._record(progress)
        if now < self._quiet_until:
            return
        for upkeep in progress.in_state("ordered"):
            if self._empty(upkeep, now):
                await self._order(progress, upkeep)

    def _empty(self, upkeep: MachineUpkeep, now: float) -> bool:
        """Stop what may be stopped; returns whether nothing is left."""
        worker = self._engine.workers_by_id.get(upkeep.worker_id)
        if worker is None:
            return True
        worker.emptying = True
        run_times = self._engine.run_times
        for task in runs_to_stop(worker, upkeep.empty_by, run_times, now):
            self._engine.stop(task, "machine_upkeep")
            self._engine.stop_gang(task.stage, task.run)
        return not worker.tasks_by_key

    async def _order(self, progress: WaveProgress, upkeep: MachineUpkeep) -> None:
        wave_id = progress.wave.wave_id
        reply = await self._machines.begin_upkeep(
            upkeep.machine_id, wave_id, self._holder, self._engine.term
        )
        if reply is MachineReply.FENCED:
            self._system.tell(LEADERSHIP, Fenced(upkeep.machine_id))
            self._closed = True
        elif upkeep.step(reply.value) and upkeep.state == "waiting":
            self._release(upkeep)
        self._log(progress, upkeep, str(reply))

    def _release(self, upkeep: MachineUpkeep) -> None:
        worker = self._engine.workers_by_id.get(upkeep.worker_id)
        if worker is not None:
            worker.emptying = False

    async def _record(self, progress: WaveProgress) -> None:
        """Record orders before they are sent."""
        ordered = {
            upkeep.machine_id: upkeep.worker_id
            for upkeep in progress.machines_by_id.values()
            if upkeep.worker_id and upkeep.state not in ("waiting", "emptying")
        }
        key = MAINTENANCE_PREFIX + str(progress.wave.wave_id)
        await self._write(PutKey(key, json.dumps(ordered)))

    async def _finish(self, progress: WaveProgress) -> None:
        wave_id = progress.wave.wave_id
        status = self._waves.encode_status(wave_id, True)
        record = DeleteKey(MAINTENANCE_PREFIX + str(wave_id))
        await self._write(PutKey(self._waves.status_key(wave_id), status), record)
        self._finished.add(wave_id)
        del self._progress_by_id[wave_id]
        _logger.info("maintenance wave done", extra={"wave": wave_id})

    async def _write(self, *operations: PutKey | DeleteKey) -> None:
        """Write under the term.

        Raises:
            UnavailableError: It did not take effect, or that is not known.
        """
        term = Compare(TERM_KEY, self._recorder.term_revision)
        reply: Any = await self._system.ask(STORE, Transact((term,), operations))
        if not reply.succeeded:
            self._closed = True
            self._system.tell(LEADERSHIP, Fenced("store"))

    def _log(self, progress: WaveProgress, upkeep: MachineUpkeep, event: str) -> None:
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
