"""Records progress before its effects are sent to the workers.

A start is sent, and the end of a run acknowledged, only after the progress of
its workflow was recorded. Otherwise a successor could not know of the run or
of its end.
"""

import logging
import math
from collections.abc import Callable, Collection
from typing import Any

from .._background import pause, run
from ..actors import ActorSystem
from ..exceptions import RedwingrudderError
from ..workflows.engine import Engine
from ..workflows.model import FINAL_STATES, StartRun
from ..workflows.run_table import START_ATTEMPTS_S
from ..workflows.state import WorkflowProgress
from .gateways import COORDINATOR
from .metrics import METRICS, IncrementCounter, ObserveDuration
from .recorder import Recorder, UnwritableRecordError, select_batch
from .worker_table import UnrecordedEnd, WorkerTable

RETRY_DELAY_S = 0.1
# Time after which a job whose progress could not be encoded is tried again.
UNWRITABLE_RETRY_S = 5.0
# Age up to which the absence of a cancellation in the store counts when a
# start is passed to the session. Its attempts end at the age START_ATTEMPTS_S.
MAX_CANCEL_CHECK_AGE_S = 1.0

_logger = logging.getLogger(__name__)


class ProgressWriter:
    """Writes the changed workflows of one term, one transaction at a time.

    Args:
        system: The node's actor system.
        engine: The engine of the term.
        recorder: Writes the progress records.
        workers: Sends starts and acknowledgements to the workers.
        on_deposed: Called when the store holds the term of another
            coordinator.
    """

    def __init__(
        self,
        system: ActorSystem,
        engine: Engine,
        recorder: Recorder,
        workers: WorkerTable,
        on_deposed: Callable[[], Any],
    ) -> None:
        self._system = system
        self._engine = engine
        self._recorder = recorder
        self._workers = workers
        self._on_deposed = on_deposed
        self._pending_starts: list[StartRun] = []
        # Node-clock seconds before which workflows are not written again that
        # could not be encoded.
        self._retry_at_by_id: dict[str, float] = {}
        self._writing = False
        self._closed = False

    def close(self) -> None:
        """Begin no more writes and send no more starts."""
        self._closed = True

    def add_start(self, start: StartRun) -> None:
        """Queue a start, which is sent once the record names its run."""
        self._pending_starts.append(start)

    def schedule_write(self) -> None:
        """Begin to write changed workflows unless a write is in progress."""
        if not self._writing and self._has_pending_writes():
            self._writing = True
            run(self._write(), COORDINATOR)

    def _has_pending_writes(self) -> bool:
        if self._closed:
            return False
        return bool(self._starting_ids() or self._writable(self._engine.dirty))

    def _starting_ids(self) -> Collection[str]:
        """Return the workflows with starts that can be recorded, once each."""
        ids = dict.fromkeys(start.key.workflow_id for start in self._pending_starts)
        return self._writable(ids)

    def _writable(self, workflow_ids: Collection[str]) -> Collection[str]:
        """Return the workflows that are not to be tried again later."""
        if not self._retry_at_by_id:
            return workflow_ids
        now = self._system.clock.seconds()
        return [
            workflow_id
            for workflow_id in workflow_ids
            if self._retry_at_by_id.get(workflow_id, -math.inf) <= now
        ]

    async def _write(self) -> None:
        try:
            while self._has_pending_writes():
                await self._write_batch()
        finally:
            self._writing = False

    async def _write_batch(self) -> None:
        engine = self._engine
        starting_ids = self._starting_ids()
        # A stored cancellation is the state of a job without a record, so the
        # first record of a job must not hide one.
        first_ids = (i for i in engine.dirty if not self._recorder.revision(i))
        checked_ids = dict.fromkeys([*starting_ids, *self._writable([*first_ids])])
        batch = select_batch(checked_ids, self._writable(engine.dirty))
        included = set(batch)
        engine.dirty -= included
        engine.being_recorded = included
        starts = [s for s in self._pending_starts if s.key.workflow_id in included]
        ends = self._workers.find_unrecorded_ends(included)
        begun_at = self._system.clock.seconds()
        try:
            written = await self._recorder.write(engine, batch, checked_ids)
        except RedwingrudderError as error:
            _logger.info("progress could not be recorded", extra={"error": str(error)})
            await self._retry_later(included)
            return
        except UnwritableRecordError as error:
            self._mark_unrecorded(included)
            self._leave_out(error)
            return
        except Exception:
            _logger.exception("progress could not be recorded")
            await self._retry_later(included)
            return
        if self._closed:
            return
        if written.deposed:
            self._closed = True
            self._on_deposed()
        elif not written.workflow_ids:
            self._mark_unrecorded(included)
            self._cancel(written.cancelled_ids)
        else:
            engine.being_recorded = set()
            for workflow_id in included & self._retry_at_by_id.keys():
                del self._retry_at_by_id[workflow_id]
            # Ends that arrived during the write and changed nothing are in the
            # record too.
            ends += self._workers.find_unrecorded_ends(included - engine.dirty)
            self._handle_recorded(written.workflow_ids, ends)
            await self._send_starts(starts, begun_at)

    def _leave_out(self, error: UnwritableRecordError) -> None:
        """Leave a workflow out of the writes for ``UNWRITABLE_RETRY_S``.

        Its starts stay pending, and its ends are not acknowledged. One that
        has changed while its expired records were removed is dropped.
        """
        workflow_id = error.workflow_id
        is_known = workflow_id in self._engine.workflows_by_id
        _logger.error(
            "progress of a job could not be encoded",
            extra={"job": workflow_id, "known": is_known},
            exc_info=error,
        )
        if is_known:
            now = self._system.clock.seconds()
            self._retry_at_by_id[workflow_id] = now + UNWRITABLE_RETRY_S
        else:
            self._engine.dirty.discard(workflow_id)
            self._pending_starts = [
                s for s in self._pending_starts if s.key.workflow_id != workflow_id
            ]

    def _mark_unrecorded(self, workflow_ids: set[str]) -> None:
        self._engine.being_recorded = set()
        self._engine.dirty |= workflow_ids

    def _cancel(self, workflow_ids: tuple[str, ...]) -> None:
        """Cancel workflows whose cancellations only the store has shown."""
        now = self._system.clock.seconds()
        for workflow_id in workflow_ids:
            _logger.info(
                "start withheld: the job is cancelled", extra={"job": workflow_id}
            )
            self._engine.cancel(workflow_id, now)

    async def _retry_later(self, workflow_ids: set[str]) -> None:
        self._mark_unrecorded(workflow_ids)
        await pause(self._system.clock, RETRY_DELAY_S)

    def _handle_recorded(
        self, workflow_ids: tuple[str, ...], ends: list[UnrecordedEnd]
    ) -> None:
        for workflow_id in workflow_ids:
            self._report_metrics(self._engine.workflows_by_id[workflow_id])
        self._workers.acknowledge_ends(ends)

    async def _send_starts(self, starts: list[StartRun], checked_at: float) -> None:
        """Send recorded starts unless their jobs were cancelled meanwhile.

        After a late answer of the store the cancellations are read again. The
        starts stay pending, and are recorded again, if that fails.

        Args:
            starts: The starts.
            checked_at: Node-clock time after which the store had no
                cancellation of their jobs.
        """
        clock = self._system.clock
        workflow_ids = list({start.key.workflow_id: None for start in starts})
        while starts and clock.seconds() - checked_at > MAX_CANCEL_CHECK_AGE_S:
            checked_at = clock.seconds()
            try:
                self._cancel(await self._recorder.find_cancelled(workflow_ids))
            except RedwingrudderError:
                await pause(clock, RETRY_DELAY_S)
                return
            if self._closed:
                return
        sent_runs = {(start.key, start.run) for start in starts}
        self._pending_starts = [
            s for s in self._pending_starts if (s.key, s.run) not in sent_runs
        ]
        for start in starts:
            send_until = min(checked_at + START_ATTEMPTS_S, start.ticket_until)
            self._send_start(start._replace(send_until=send_until))

    def _send_start(self, start: StartRun) -> None:
        now = self._system.clock.seconds()
        if not self._engine.is_starting(start.key, start.run):
            # The run was stopped or withdrawn while the record was written.
            self._engine.start_rejected(start.key, start.run, "superseded", now)
        elif not self._engine.has_room(start.worker_id):
            # The worker's capacity has shrunk since the start was planned.
            self._engine.start_rejected(start.key, start.run, "no_room", now)
        elif self._engine.has_left_pool(start.key, start.worker_id):
            self._engine.start_rejected(start.key, start.run, "queue_moved", now)
        elif self._engine.lacks_label(start.key, start.worker_id):
            # The worker has restarted as another kind since.
            self._engine.start_rejected(start.key, start.run, "other_kind", now)
        elif self._engine.awaits_silent_worker(start.key, start.run, now):
            self._engine.start_rejected(start.key, start.run, "silent_worker", now)
        elif now > start.ticket_until:
            self._engine.start_rejected(start.key, start.run, "ticket_expired", now)
        elif self._workers.send(start):
            self._engine.start_sent(start.key, start.run, now)
        else:
            self._engine.start_rejected(start.key, start.run, "worker_gone", now)

    def _report_metrics(self, progress: WorkflowProgress) -> None:
        """Report queue wait and completion of a workflow, each once."""
        workflow = progress.workflow
        labels = (workflow.queue, workflow.organisation)
        elapsed_s = self._system.clock.seconds() - progress.accepted_at
        if progress.begun and not progress.wait_observed:
            progress.wait_observed = True
            self._tell_metrics(ObserveDuration("queue_wait_seconds", labels, elapsed_s))
        if progress.recorded_state in FINAL_STATES and not progress.end_observed:
            progress.end_observed = True
            state = str(progress.recorded_state)
            self._tell_metrics(IncrementCounter("workflows_ended", (*labels, state)))
            self._tell_metrics(ObserveDuration("completion_seconds", labels, elapsed_s))

    def _tell_metrics(self, message: IncrementCounter | ObserveDuration) -> None:
        self._system.tell(METRICS, message)
