"""The workers of one term: their entries, sessions and ends."""

import logging

from ..actors import ActorSystem
from ..workflows.engine import Engine
from ..workflows.model import NO_RESOURCES, WorkerFacts
from ..workflows.records import PlacedRun
from .gateways import ChannelFactory, RegistryCodec, WorkerTimes
from .messages import (
    AcknowledgeEnds,
    AllowLeaseExtension,
    RegistryEntryRemoved,
    SessionCommand,
    UpdateFacts,
    WorkerPolled,
)
from .metrics import METRICS, IncrementCounter
from .worker_session import WorkerSession, prior_lease_timeout_s, session_name

UNLISTED_GONE_S = 2.5  # after the store's return, above what entries may take

_logger = logging.getLogger(__name__)


class WorkerTable:
    """Keeps the engine's workers, their sessions and unrecorded ends.

    Args:
        system: The node's actors.
        engine: The engine of the term.
        registry: Reads the workers' entries.
        channels: Opens connections to workers.
        times: What the platform says of workers.
    """

    def __init__(
        self,
        system: ActorSystem,
        engine: Engine,
        registry: RegistryCodec,
        channels: ChannelFactory,
        times: WorkerTimes,
    ) -> None:
        self._system = system
        self._engine = engine
        self._registry = registry
        self._channels = channels
        self._times = times
        self._sessions_by_worker: dict[str, WorkerSession] = {}
        self._unlisted_since: dict[str, float] = {}
        # Then runs on workers that had no entry in this term have lapsed.
        self._lost_until = system.clock.seconds() + prior_lease_timeout_s(
            times.longest_lease_s
        )
        self._unrecorded_ends: dict[str, dict[int, str]] = {}
        self._last_end: dict[str, int] = {}
        # Workers whose present session has had a report.
        self._reported: set[str] = set()

    @property
    def count(self) -> int:
        """Workers with a session."""
        return len(self._sessions_by_worker)

    def close(self) -> None:
        """Close all sessions."""
        for worker_id in list(self._sessions_by_worker):
            self._drop_session(worker_id)

    def allow_leases(self, allowed: bool) -> None:
        """Tell all sessions whether leases may be extended."""
        for session in self._sessions_by_worker.values():
            self._system.tell(session.name, AllowLeaseExtension(allowed))

    def send(self, command: SessionCommand) -> bool:
        """Hand a command to the worker's session; False without one."""
        if command.worker_id not in self._sessions_by_worker:
            return False
        self._system.tell(session_name(command.worker_id), command)
        return True

    def set_entry(self, key: str, value: str | None) -> None:
        """Take over an entry of the registry, None for a removed one."""
        worker_id = key.removeprefix(self._registry.prefix)
        if value is None:
            self._unlist(worker_id)
            return
        facts = self._registry.decode(key, value)
        if facts is None:
            return
        self._unlisted_since.pop(worker_id, None)
        session = self._sessions_by_worker.get(worker_id)
        if session is not None and self._is_new_life(facts):
            self._drop_session(worker_id)
            session = None
        self._engine.set_worker(facts, self._system.clock.seconds())
        if session is None:
            self._open_session(facts)
        else:
            self._system.tell(session.name, UpdateFacts(facts))

    def set_all_entries(self, pairs_by_key: dict[str, str]) -> None:
        """Take over a whole reading of the registry."""
        for key, value in pairs_by_key.items():
            self.set_entry(key, value)
        for worker_id in list(self._sessions_by_worker):
            if self._registry.prefix + worker_id not in pairs_by_key:
                self.set_entry(self._registry.prefix + worker_id, None)

    def adopt(self, placed: PlacedRun) -> None:
        """Restore a recorded run, also on a worker without an entry.

        The entry may be back soon; if not, the worker's leases must lapse.
        """
        now = self._system.clock.seconds()
        if placed.worker_id not in self._engine.workers_by_id:
            facts = WorkerFacts(
                placed.worker_id,
                placed.process_started_ms,
                "",
                "",
                "",
                "",
                frozenset(),
                NO_RESOURCES,
            )
            self._engine.set_worker(facts, now)
            self._engine.workers_by_id[placed.worker_id].listed = False
            self._unlisted_since[placed.worker_id] = now
        self._engine.adopt_run(placed.key, placed.run, placed.worker_id, False, now)

    def take_report(self, message: WorkerPolled) -> None:
        """Take over what a worker lists."""
        worker = self._engine.workers_by_id.get(message.worker_id)
        if worker is None:
            return
        report = message.report
        if report.process_started_ms and not worker.facts.process_started_ms:
            worker.facts = worker.facts._replace(
                process_started_ms=report.process_started_ms
            )
        elif (
            report.process_started_ms
            and report.process_started_ms != worker.facts.process_started_ms
        ):
            # The registry's entry of the new incarnation is still on its way.
            worker.reachable = False
            return
        now = self._system.clock.seconds()
        regained, worker.reachable = not worker.reachable, True
        first = message.worker_id not in self._reported
        self._reported.add(message.worker_id)
        if regained:
            for entry in report.running:
                self._engine.adopt_run(
                    entry.key, entry.run, message.worker_id, True, now
                )
        self._engine.report(message.worker_id, report.running, now)
        self._take_ends(message, now)
        if regained:
            present = {(entry.key, entry.run) for entry in report.running}
            self._engine.reconcile(message.worker_id, present, first, now)

    def find_unrecorded_ends(self, workflow_ids: set[str]) -> list[tuple[str, int]]:
        """Return the ends, by worker and number, that wait for records."""
        return [
            (worker_id, number)
            for worker_id, unrecorded in self._unrecorded_ends.items()
            for number, workflow_id in unrecorded.items()
            if workflow_id in workflow_ids
        ]

    def acknowledge_ends(self, ends: list[tuple[str, int]]) -> None:
        """Acknowledge ends to their workers."""
        for worker_id, number in ends:
            self._unrecorded_ends.get(worker_id, {}).pop(number, None)
        for worker_id in {worker_id for worker_id, _ in ends}:
            self._acknowledge(worker_id)

    def set_silent(self, worker_id: str) -> None:
        """Send nothing new to a worker that does not answer."""
        worker = self._engine.workers_by_id.get(worker_id)
        if worker is not None:
            worker.reachable = False
            _logger.info("worker silent", extra={"worker": worker_id})

    def set_lapsed(self, worker_id: str) -> None:
        """Give up the runs of a worker whose lease has surely lapsed."""
        now = self._system.clock.seconds()
        _logger.info("worker's lease lapsed", extra={"worker": worker_id})
        self._engine.interrupt_worker(worker_id, now, "lease_lapsed")
        worker = self._engine.workers_by_id.get(worker_id)
        if worker is not None and not worker.listed:
            self._remove(worker_id, now)

    def sweep(self) -> None:
        """Forget workers without an entry once nothing can run there."""
        now = self._system.clock.seconds()
        for worker_id, since in list(self._unlisted_since.items()):
            worker = self._engine.workers_by_id.get(worker_id)
            if worker is None:
                del self._unlisted_since[worker_id]
                continue
            unknown = worker_id not in self._sessions_by_worker
            lapsed = unknown and now > self._lost_until
            idle = now - since > UNLISTED_GONE_S and not worker.tasks_by_key
            if lapsed or idle:
                self._remove(worker_id, now)

    def _remove(self, worker_id: str, now: float) -> None:
        self._unlisted_since.pop(worker_id, None)
        self._engine.remove_worker(worker_id, now, "gone")
        if worker_id in self._sessions_by_worker:
            self._drop_session(worker_id)

    def _unlist(self, worker_id: str) -> None:
        worker = self._engine.workers_by_id.get(worker_id)
        if worker is not None and worker.listed:
            worker.listed = False
            now = self._unlisted_since[worker_id] = self._system.clock.seconds()
            session = self._sessions_by_worker.get(worker_id)
            if session is not None:
                drained = worker.facts.draining and now >= worker.leaves_at
                self._system.tell(session.name, RegistryEntryRemoved(drained))
            _logger.info("worker no longer listed", extra={"worker": worker_id})

    def _is_new_life(self, facts: WorkerFacts) -> bool:
        known = self._engine.workers_by_id.get(facts.worker_id)
        if known is None:
            return True
        old = known.facts
        if (old.process_started_ms, old.address) != (
            facts.process_started_ms,
            facts.address,
        ):
            _logger.info("worker restarted", extra={"worker": facts.worker_id})
            return True
        if old.draining != facts.draining:
            _logger.info(
                "worker drains" if facts.draining else "worker serves again",
                extra={"worker": facts.worker_id, "remaining_s": facts.remaining_s},
            )
        return False

    def _open_session(self, facts: WorkerFacts) -> None:
        self._engine.workers_by_id[facts.worker_id].reachable = False
        session = WorkerSession(
            self._system,
            facts,
            self._channels.open(facts),
            self._engine.term,
            self._times,
            self._engine.unsettled_runs(facts.worker_id),
        )
        self._sessions_by_worker[facts.worker_id] = session
        session.start()

    def _drop_session(self, worker_id: str) -> None:
        session = self._sessions_by_worker.pop(worker_id)
        self._reported.discard(worker_id)
        session.stop()
        self._system.unregister(session)
        self._last_end.pop(worker_id, None)
        self._unrecorded_ends.pop(worker_id, None)

    def _take_ends(self, message: WorkerPolled, now: float) -> None:
        worker_id = message.worker_id
        last = self._last_end.get(worker_id, 0)
        unrecorded = self._unrecorded_ends.setdefault(worker_id, {})
        for end in message.report.ended:
            if end.number <= last:
                continue
            last = end.number
            self._system.tell(METRICS, IncrementCounter("run_ends", (str(end.kind),)))
            workflow_id = self._engine.end(worker_id, end, now)
            if workflow_id is not None:
                unrecorded[end.number] = workflow_id
        self._last_end[worker_id] = last
        if last and not unrecorded:
            self._acknowledge(worker_id)

    def _acknowledge(self, worker_id: str) -> None:
        """Acknowledge the ends before the first one without a record."""
        session = self._sessions_by_worker.get(worker_id)
        unrecorded = self._unrecorded_ends.get(worker_id, {})
        number = min(unrecorded) - 1 if unrecorded else self._last_end.get(worker_id, 0)
        if session is not None and number:
            self._system.tell(session.name, AcknowledgeEnds(number))
