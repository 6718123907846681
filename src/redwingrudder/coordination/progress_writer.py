"""Records progress first, then starts runs and acknowledges ends."""

import logging
from collections.abc import Callable
from typing import Any

from .._background import pause, run
from ..actors import ActorSystem
from ..exceptions import RedwingrudderError
from ..workflows.engine import Engine
from ..workflows.model import FINAL_STATES, StartRun
from ..workflows.state import WorkflowProgress
from .gateways import COORDINATOR
from .metrics import METRICS, IncrementCounter, ObserveDuration
from .recorder import BATCH, Recorder
from .worker_table import WorkerTable

RETRY_S = 0.1

_logger = logging.getLogger(__name__)


class ProgressWriter:
    """Writes the dirty workflows of one term, one transaction at a time.

    Args:
        system: The node's actors.
        engine: The engine of the term.
        recorder: Writes records.
        workers: Gets starts and acknowledgements.
        deposed: Called when another term stands in the store.
    """

    def __init__(
        self,
        system: ActorSystem,
        engine: Engine,
        recorder: Recorder,
        workers: WorkerTable,
        deposed: Callable[[], Any],
    ) -> None:
        self._system = system
        self._engine = engine
        self._recorder = recorder
        self._workers = workers
        self._deposed = deposed
        self._waiting_starts: list[StartRun] = []
        self._writing = False
        self._closed = False

    def close(self) -> None:
        """Write and send nothing more."""
        self._closed = True

    def add_start(self, start: StartRun) -> None:
        """Send a start once the record names its run."""
        self._waiting_starts.append(start)

    def write_soon(self) -> None:
        """Begin to write unless a write is on its way."""
        if not self._writing and self._pending():
            self._writing = True
            run(self._write(), COORDINATOR)

    def _pending(self) -> bool:
        return not self._closed and bool(self._engine.dirty or self._waiting_starts)

    async def _write(self) -> None:
        try:
            while self._pending():
                await self._write_batch()
        finally:
            self._writing = False

    async def _write_batch(self) -> None:
        engine = self._engine
        urgent = [start.key.workflow_id for start in self._waiting_starts]
        batch = list(dict.fromkeys([*urgent, *engine.dirty]))[:BATCH]
        included = set(batch)
        engine.dirty -= included
        starts = [s for s in self._waiting_starts if s.key.workflow_id in included]
        ends = self._workers.find_unrecorded_ends(included)
        try:
            written = await self._recorder.write(engine, batch)
        except RedwingrudderError as error:
            _logger.info("progress not recorded", extra={"error": str(error)})
            engine.dirty |= included
            await pause(self._system.clock, RETRY_S)
            return
        if self._closed:
            return
        if written.deposed:
            self._deposed()
        elif not written.workflow_ids:
            engine.dirty |= included
        else:
            self._recorded(written.workflow_ids, starts, ends)

    def _recorded(
        self,
        workflow_ids: tuple[str, ...],
        starts: list[StartRun],
        ends: list[tuple[str, int]],
    ) -> None:
        for workflow_id in workflow_ids:
            self._observe(self._engine.workflows_by_id[workflow_id])
        sent = {(start.key, start.run) for start in starts}
        self._waiting_starts = [
            s for s in self._waiting_starts if (s.key, s.run) not in sent
        ]
        for start in starts:
            self._send_start(start)
        self._workers.acknowledge_ends(ends)

    def _send_start(self, start: StartRun) -> None:
        now = self._system.clock.seconds()
        if not self._engine.is_starting(start.key, start.run):
            # Stopped or withdrawn while its record was being written.
            self._engine.start_rejected(start.key, start.run, "superseded", now)
        elif not self._workers.send(start):
            self._engine.start_rejected(start.key, start.run, "worker_gone", now)

    def _observe(self, progress: WorkflowProgress) -> None:
        """Count a recorded step of a workflow's life, each once."""
        workflow = progress.workflow
        labels = (workflow.queue, workflow.organisation)
        waited = self._system.clock.seconds() - progress.accepted_mono
        if progress.begun and not progress.wait_observed:
            progress.wait_observed = True
            self._tell(ObserveDuration("queue_wait_seconds", labels, waited))
        if progress.recorded_state in FINAL_STATES and not progress.end_observed:
            progress.end_observed = True
            state = str(progress.recorded_state)
            self._tell(IncrementCounter("workflows_ended", (*labels, state)))
            self._tell(ObserveDuration("completion_seconds", labels, waited))

    def _tell(self, message: IncrementCounter | ObserveDuration) -> None:
        self._system.tell(METRICS, message)
