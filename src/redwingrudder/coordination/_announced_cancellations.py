"""Reads announced cancellations from the store before they are applied."""

import logging
from collections.abc import Callable
from itertools import islice

from twisted.internet.defer import gatherResults

from .._background import pause, run
from .._store_requests import GetKey, KeyValue
from ..actors import ActorSystem
from ..exceptions import RedwingrudderError
from ..workflows.state import WorkflowProgress
from .gateways import COORDINATOR, STORE, intake_keys

# The watch usually reports a cancellation within this time, which saves the
# read.
WATCH_HEAD_START_S = 0.05
MAX_READS_IN_FLIGHT = 16
RETRY_DELAY_S = 0.25  # after reads without an answer

_logger = logging.getLogger(__name__)


class AnnouncedCancellations:
    """Applies announced cancellations that the store still has.

    An announcement names only the id of a job. It may arrive after the records
    of that job were removed and the id is used by another job, so it counts
    only as a hint to read the cancellation. The records of a job are removed
    together with its cancellation.

    While the store does not answer, the reads are repeated; the watch may
    report the cancellation first.

    Args:
        system: The node's actor system.
        find_workflow: Returns the progress of a workflow, None if it is
            unknown.
        apply: Called with each cancellation that was read.
    """

    def __init__(
        self,
        system: ActorSystem,
        find_workflow: Callable[[str], WorkflowProgress | None],
        apply: Callable[[KeyValue], None],
    ) -> None:
        self._system = system
        self._find_workflow = find_workflow
        self._apply = apply
        # Ordered by announcement; ids whose reads failed come last.
        self._pending_ids: dict[str, None] = {}
        self._is_reading = False

    def add(self, workflow_id: str) -> None:
        """Read the cancellation of a workflow and apply it."""
        self._pending_ids[workflow_id] = None
        if not self._is_reading:
            self._is_reading = True
            run(self._read_all(), COORDINATOR)

    def clear(self) -> None:
        """Forget the cancellations that have not been read."""
        self._pending_ids.clear()

    async def _read_all(self) -> None:
        try:
            await pause(self._system.clock, WATCH_HEAD_START_S)
            while self._pending_ids:
                batch = list(islice(self._pending_ids, MAX_READS_IN_FLIGHT))
                reads = [run(self._settle(each), COORDINATOR) for each in batch]
                if not all(await gatherResults(reads)):
                    await pause(self._system.clock, RETRY_DELAY_S)
        finally:
            self._is_reading = False

    async def _settle(self, workflow_id: str) -> bool:
        """Read one cancellation, apply it, and remove its id from the table.

        The id stays in the table if the read fails, or if another job has come
        under the id during the read: the answer may be older than that job.

        Returns:
            Whether the store has answered, or did not need to.
        """
        progress = self._find_workflow(workflow_id)
        if progress is not None and (
            progress.cancelled or progress.ended_at is not None
        ):
            self._pending_ids.pop(workflow_id, None)
            return True
        _, cancel_key = intake_keys(workflow_id)
        try:
            item: KeyValue | None = await self._system.ask(STORE, GetKey(cancel_key))
        except RedwingrudderError as error:
            _logger.info(
                "announced cancellation could not be read; will be retried",
                extra={"job": workflow_id, "error": str(error)},
            )
            if workflow_id in self._pending_ids:
                del self._pending_ids[workflow_id]
                self._pending_ids[workflow_id] = None
            return False
        if (
            workflow_id not in self._pending_ids
            or self._find_workflow(workflow_id) is not progress
        ):
            return True
        del self._pending_ids[workflow_id]
        if item is not None:
            self._apply(item)
        else:
            _logger.info(
                "late announcement of a cancellation is ignored",
                extra={"job": workflow_id},
            )
        return True
