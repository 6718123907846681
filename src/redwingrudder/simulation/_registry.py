"""Registry entries of the workers in a simulation."""

import json
from collections.abc import Callable

from ._entries import EntryCodec, entry_document, rack_name
from ._store import StoreContents
from ._worker_process import WorkerProcess
from ._workers import ProtocolWorker


class Registry:
    """Writes and removes the entries of workers that drain, leave and return.

    Args:
        contents: Contents of the store.
        is_removed: Returns whether a fault keeps a worker's entry away.
        racks: Number of racks, over which the workers are spread.

    Attributes:
        left_ids: Workers that have drained and left.
    """

    def __init__(
        self,
        contents: StoreContents,
        is_removed: Callable[[ProtocolWorker], bool],
        racks: int = 1,
    ) -> None:
        self._contents = contents
        self._is_removed = is_removed
        self._racks = racks
        self._draining_by_id: dict[str, WorkerProcess] = {}
        self.left_ids: set[str] = set()

    def write(self, worker: ProtocolWorker) -> None:
        """Write the entry of a worker's process, unless it has to be away."""
        if worker.worker_id in self.left_ids or self._is_removed(worker):
            return
        rack = rack_name(int(worker.worker_id.removeprefix("w")) % self._racks)
        started_ms = worker.process.started_ms
        document = entry_document(started_ms, self._drains(worker), rack)
        self._contents.put(EntryCodec.prefix + worker.worker_id, json.dumps(document))

    def remove(self, worker: ProtocolWorker) -> None:
        """Remove the entry of a worker."""
        self._contents.remove(EntryCodec.prefix + worker.worker_id)

    def drain(self, worker: ProtocolWorker) -> None:
        """Let a worker report that it is about to leave."""
        self._draining_by_id[worker.worker_id] = worker.process
        self.write(worker)

    def leave(self, worker: ProtocolWorker) -> bool:
        """Let a worker leave with all of its runs, if it still drains.

        Returns:
            Whether it has left. A process that has replaced the one that
            drained stays.
        """
        if not self._drains(worker):
            return False
        worker.log("leaves")
        self.left_ids.add(worker.worker_id)
        self.remove(worker)
        worker.restart()
        worker.silent = True
        return True

    def come_back(self, worker: ProtocolWorker, silent: bool) -> None:
        """Let a worker that has left start again under its id."""
        worker.log("comes back")
        self.left_ids.discard(worker.worker_id)
        worker.silent = silent
        self.write(worker)

    def _drains(self, worker: ProtocolWorker) -> bool:
        return self._draining_by_id.get(worker.worker_id) is worker.process
