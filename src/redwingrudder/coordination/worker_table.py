"""Workers of one term: registry entries, sessions and unrecorded ends."""

import logging
import math
from typing import NamedTuple

from ..actors import ActorSystem
from ..workflows.engine import Engine
from ..workflows.model import StartRun, TaskKey, WorkerFacts
from ..workflows.records import PlacedRun
from .authority import Authority
from .gateways import LEADERSHIP, ChannelFactory, RegistryCodec, WorkerTimes
from .messages import (
    AcknowledgeEnds,
    ProcessReplaced,
    RegistryEntryRemoved,
    Resign,
    SessionCommand,
    UpdateFacts,
    WorkerLeaseLapsed,
    WorkerPolled,
    WorkerSilent,
)
from .metrics import METRICS, IncrementCounter
from .worker_session import WorkerSession, prior_lease_timeout_s, session_name

# Fencing tokens reserved for the sessions with one worker in each term. A new
# coordinator's tokens are above all of those that the previous term may have
# used.
SESSIONS_PER_TERM = 10_000
# After an outage of the store, workers may need nearly this long until they
# have written their entries again.
REMOVE_UNLISTED_AFTER_S = 2.5
# Heartbeats after which the entry of a silent process is removed, and time
# after which this is seen at the latest.
ENTRY_HEARTBEATS = 3
ENTRY_DELAY_S = 1.0

_logger = logging.getLogger(__name__)


class UnrecordedEnd(NamedTuple):
    """End of a run that a worker has listed and that is not recorded yet.

    Attributes:
        worker_id: The worker.
        fence: Fencing token of the session to which the worker listed the end.
        number: Number of the end, which is unique in the worker's process.
    """

    worker_id: str
    fence: int
    number: int


class WorkerTable:
    """Applies registry entries and reports to the workers of the engine.

    It opens one session for each process of a worker and acknowledges ends of
    runs after they are recorded in the store. Each session has a fencing token
    above those of the worker's earlier sessions: a worker may restart under
    its id and then rejects what was sent to its last process.

    Args:
        system: The actor system of this node.
        engine: The workflow engine of the term.
        registry: Decodes the workers' registry entries.
        channels: Opens channels to workers.
        times: Timing parameters of the workers.
        authority: Permission of the term to send orders.
    """

    def __init__(
        self,
        system: ActorSystem,
        engine: Engine,
        registry: RegistryCodec,
        channels: ChannelFactory,
        times: WorkerTimes,
        authority: Authority,
    ) -> None:
        self._system = system
        self._engine = engine
        self._authority = authority
        self._registry = registry
        self._channels = channels
        self._times = times
        self._sessions_by_worker: dict[str, WorkerSession] = {}
        # Number of sessions that were opened in this term.
        self._session_count_by_worker: dict[str, int] = {}
        self._unlisted_since_by_worker: dict[str, float] = {}
        # Registry entries that were applied last.
        self._entries_by_worker: dict[str, str] = {}
        # Pools that the operators' configuration names, None before the first
        # one: then each pool counts as known.
        self._configured_pools: frozenset[str] | None = None
        # Current entries whose pool is not known, with their values.
        self._unused_entries_by_worker: dict[str, tuple[WorkerFacts, str]] = {}
        # Newest registry entries, also those of processes that seemed to have
        # ended.
        self._newest_facts_by_worker: dict[str, WorkerFacts] = {}
        # From this time on, no lease of an earlier term is valid on a worker
        # that has not answered in this term.
        self._prior_leases_end_at = system.clock.seconds() + prior_lease_timeout_s(
            times.longest_lease_s
        )
        self._unrecorded_ends_by_worker: dict[str, dict[int, str]] = {}
        self._last_end_by_worker: dict[str, int] = {}
        self._ended_processes_by_worker: dict[str, set[int]] = {}
        # Workers that have reported to their current session.
        self._reported: set[str] = set()
        # Starts that were handed to a session before its first report was
        # handled. The session may have sent them after that report.
        self._early_starts_by_worker: dict[str, set[tuple[TaskKey, int]]] = {}
        # Workers with runs that began after their last poll was sent, so that
        # its report could not list them.
        self._undecided: set[str] = set()

    @property
    def count(self) -> int:
        """Number of workers with a session."""
        return len(self._sessions_by_worker)

    def close(self) -> None:
        """Close all sessions at the end of the term."""
        for worker_id in list(self._sessions_by_worker):
            self._drop_session(worker_id)

    def send(self, command: SessionCommand) -> bool:
        """Send a command to a worker's session.

        Returns:
            False if the worker has no session.
        """
        worker_id = command.worker_id
        if worker_id not in self._sessions_by_worker:
            return False
        if isinstance(command, StartRun) and worker_id not in self._reported:
            early_starts = self._early_starts_by_worker.setdefault(worker_id, set())
            early_starts.add((command.key, command.run))
        self._system.tell(session_name(worker_id), command)
        return True

    def configure(self, pools: frozenset[str]) -> None:
        """Follow a new configuration of the operators.

        Args:
            pools: The pools that it names.
        """
        self._configured_pools = pools
        self._follow_pools()

    def set_entry(self, key: str, value: str | None) -> None:
        """Apply a registry entry; a value of None means its removal.

        One that names an unknown pool may come from another system, like one
        that cannot be decoded. It says nothing about a worker that is known
        under its id. It is applied once its pool is known.
        """
        worker_id = key.removeprefix(self._registry.prefix)
        was_unused = self._unused_entries_by_worker.pop(worker_id, None) is not None
        if value is None:
            self._mark_unlisted(worker_id)
            return
        facts = self._registry.decode(key, value)
        if facts is None:
            return
        if not self._is_configured(facts) and not self._is_in_use(
            facts, self._engine.pools_in_use()
        ):
            self._unused_entries_by_worker[worker_id] = (facts, value)
            if not was_unused:
                _logger.warning(
                    "registry entry names an unknown pool and is not used",
                    extra={"worker": worker_id, "pool": facts.pool},
                )
            return
        self._newest_facts_by_worker[worker_id] = facts
        if facts.process_started_ms in self._ended_processes(worker_id):
            return
        self._entries_by_worker.pop(worker_id, None)
        self._unlisted_since_by_worker.pop(worker_id, None)
        session = self._sessions_by_worker.get(worker_id)
        if session is not None and self._is_new_incarnation(facts):
            if facts.process_started_ms:
                self._record_process(worker_id, facts.process_started_ms)
            self._drop_session(worker_id)
            session = None
        self._engine.set_worker(facts, self._system.clock.seconds())
        if session is None:
            self._open_session(facts)
        else:
            self._system.tell(session.name, UpdateFacts(facts))
        self._entries_by_worker[worker_id] = value

    def set_all_entries(self, pairs_by_key: dict[str, str]) -> None:
        """Apply a complete read of the registry, including removed entries.

        Entries that have not changed are passed over.
        """
        for key, value in pairs_by_key.items():
            if self._is_applied(key, value):
                worker_id = key.removeprefix(self._registry.prefix)
                self._unused_entries_by_worker.pop(worker_id, None)
            else:
                self._try_set_entry(key, value)
        for worker_id in {*self._sessions_by_worker, *self._unused_entries_by_worker}:
            if self._registry.prefix + worker_id not in pairs_by_key:
                self.set_entry(self._registry.prefix + worker_id, None)

    def _try_set_entry(self, key: str, value: str) -> None:
        """Apply an entry, and log an unexpected error."""
        try:
            self.set_entry(key, value)
        except Exception:
            _logger.exception("registry entry could not be applied", extra={"key": key})

    def _is_configured(self, facts: WorkerFacts) -> bool:
        """Return whether the configuration names the pool of a worker."""
        pools = self._configured_pools
        return pools is None or facts.pool in pools

    def _is_in_use(self, facts: WorkerFacts, pools_in_use: frozenset[str]) -> bool:
        """Return whether a worker is needed that the configuration excludes.

        Accepted workflows go on in a pool that a later configuration does not
        name, and so does a process with runs. Workflows may also be known
        before the configuration that names their pool.
        """
        if facts.pool in pools_in_use:
            return True
        worker = self._engine.workers_by_id.get(facts.worker_id)
        return (
            worker is not None
            and worker.may_have_runs
            and 0 < facts.process_started_ms == worker.facts.process_started_ms
            and worker.facts.address in ("", facts.address)
        )

    def _follow_pools(self) -> None:
        """Let workers join whose pools are known now, and leave others.

        A worker of a pool that is not known any more is removed when it has
        no runs.
        """
        workers = map(self._engine.workers_by_id.get, self._sessions_by_worker)
        excluded = [
            worker.facts
            for worker in workers
            if worker
            and worker.listed
            # The pool of a process without an entry is not known yet.
            and worker.facts.pool
            and not self._is_configured(worker.facts)
        ]
        if not excluded and not self._unused_entries_by_worker:
            return
        pools_in_use = self._engine.pools_in_use()
        for facts in excluded:
            if not self._is_in_use(facts, pools_in_use):
                self._set_unlisted(facts.worker_id)
                value = self._entries_by_worker.pop(facts.worker_id, None)
                if value is not None:
                    entry = (facts, value)
                    self._unused_entries_by_worker.setdefault(facts.worker_id, entry)
                _logger.info(
                    "pool of a worker is not in use any more",
                    extra={"worker": facts.worker_id, "pool": facts.pool},
                )
        for worker_id, (facts, value) in list(self._unused_entries_by_worker.items()):
            if self._is_configured(facts) or self._is_in_use(facts, pools_in_use):
                self._try_set_entry(self._registry.prefix + worker_id, value)

    def _is_applied(self, key: str, value: str) -> bool:
        """Return whether a listed worker has an entry already."""
        worker_id = key.removeprefix(self._registry.prefix)
        worker = self._engine.workers_by_id.get(worker_id)
        return (
            worker is not None
            and worker.listed
            and worker_id in self._sessions_by_worker
            and self._entries_by_worker.get(worker_id) == value
        )

    def adopt(self, placed: PlacedRun, start_sent_by: float = math.inf) -> None:
        """Add a recorded run to the engine, even if its worker has no entry.

        The entry may appear again soon; otherwise the run is kept until the
        worker's leases have lapsed.

        Args:
            placed: The run.
            start_sent_by: See ``Engine.adopt_run``.
        """
        now = self._system.clock.seconds()
        if placed.worker_id not in self._engine.workers_by_id:
            facts = WorkerFacts.without_entry(
                placed.worker_id, placed.process_started_ms
            )
            self._engine.set_worker(facts, now)
            self._engine.workers_by_id[placed.worker_id].listed = False
            self._unlisted_since_by_worker[placed.worker_id] = now
        self._take_recorded_process(placed.worker_id, placed.process_started_ms)
        self._engine.adopt_run(
            placed.key,
            placed.run,
            placed.worker_id,
            False,
            now,
            placed.process_started_ms,
            placed.start_settled,
            start_sent_by,
        )

    def _take_recorded_process(self, worker_id: str, process_started_ms: int) -> None:
        """Open a session with the process of a record if its entry is older.

        The earlier coordinator has heard of a restart from the worker itself.
        """
        worker = self._engine.workers_by_id[worker_id]
        if not 0 < worker.facts.process_started_ms < process_started_ms:
            return
        self._record_process(worker_id, process_started_ms)
        worker.facts = WorkerFacts.without_entry(
            worker_id, process_started_ms, worker.facts.address
        )
        worker.update_leave_time(self._system.clock.seconds())
        if worker_id in self._sessions_by_worker:
            self._drop_session(worker_id)
            self._open_session(worker.facts)

    def is_current(self, worker_id: str, fence: int) -> bool:
        """Return whether a message comes from the worker's current session.

        A message of an earlier session may wait in a mailbox while the next
        session is opened. It says nothing about the calls that the worker
        accepts from then on.

        Args:
            worker_id: The worker.
            fence: Fencing token that the message names.
        """
        session = self._sessions_by_worker.get(worker_id)
        return session is not None and session.fence == fence

    def is_of_this_term(self, fence: int) -> bool:
        """Return whether a message comes from a session of this term.

        Args:
            fence: Fencing token that the message names.
        """
        return fence // SESSIONS_PER_TERM == self._engine.term

    def take_report(self, message: WorkerPolled) -> None:
        """Apply a worker's report: its running runs and its ends.

        A worker whose report cannot list all ends is not reachable yet: a run
        that is not listed may have an end that is listed later.
        """
        worker = self._engine.workers_by_id.get(message.worker_id)
        if worker is None or not self.is_current(message.worker_id, message.fence):
            return
        report = message.report
        if report.process_started_ms and not worker.facts.process_started_ms:
            worker.facts = worker.facts._replace(
                process_started_ms=report.process_started_ms
            )
        now = self._system.clock.seconds()
        was_reachable = worker.reachable
        worker.reachable = was_reachable or report.ends_complete
        became_reachable = worker.reachable and not was_reachable
        worker.lapsed = False
        is_first_report = message.worker_id not in self._reported
        early_starts: set[tuple[TaskKey, int]] = set()
        if worker.reachable:
            self._reported.add(message.worker_id)
            early_starts = self._early_starts_by_worker.pop(message.worker_id, set())
        if not was_reachable:
            for entry in report.running:
                self._engine.adopt_run(
                    entry.key, entry.run, message.worker_id, True, now
                )
        self._engine.report(message.worker_id, report.running, now, message.sent_at)
        self._handle_ends(message, now)
        running = {(entry.key, entry.run) for entry in report.running}
        if report.ends_complete:
            self._engine.settle_reappeared(message.worker_id, running, now)
        is_undecided = message.worker_id in self._undecided and report.ends_complete
        if became_reachable or is_undecided:
            decided = self._engine.reconcile(
                message.worker_id,
                running,
                is_first_report,
                now,
                message.sent_at,
                early_starts,
            )
            if decided:
                self._undecided.discard(message.worker_id)
            else:
                self._undecided.add(message.worker_id)

    def replace_process(self, message: ProcessReplaced) -> None:
        """Open a session with the new process of a worker that has restarted.

        The registry entry of that process may not have arrived yet. What the
        process reports counts nevertheless.
        """
        worker_id = message.worker_id
        if not self.is_current(worker_id, message.fence):
            return
        _logger.info("worker restarted", extra={"worker": worker_id})
        self._record_process(worker_id, message.process_started_ms)
        self._drop_session(worker_id)
        now = self._system.clock.seconds()
        self._engine.replace_process(
            worker_id, message.process_started_ms, now, message.unanswered_starts
        )
        facts = self._newest_facts_by_worker.get(worker_id)
        if facts is not None and facts.process_started_ms == message.process_started_ms:
            # The entry does not arrive again while it is unchanged.
            self._engine.set_worker(facts, now)
        self._open_session(self._engine.workers_by_id[worker_id].facts)

    def _ended_processes(self, worker_id: str) -> set[int]:
        """Return the start times of a worker's processes that have ended."""
        return self._ended_processes_by_worker.setdefault(worker_id, set())

    def _record_process(self, worker_id: str, process_started_ms: int) -> None:
        """Record which process a worker has from now on.

        A registry entry may be older than what the worker itself has said.
        """
        ended = self._ended_processes(worker_id)
        ended.add(self._engine.workers_by_id[worker_id].facts.process_started_ms)
        # An unknown start time identifies no process.
        ended -= {0, process_started_ms}

    def find_unrecorded_ends(self, workflow_ids: set[str]) -> list[UnrecordedEnd]:
        """Return the ends of workflows that are not recorded in the store.

        Args:
            workflow_ids: Workflows whose ends are returned.
        """
        return [
            UnrecordedEnd(worker_id, self._sessions_by_worker[worker_id].fence, number)
            for worker_id, unrecorded in self._unrecorded_ends_by_worker.items()
            for number, workflow_id in unrecorded.items()
            if workflow_id in workflow_ids
        ]

    def acknowledge_ends(self, ends: list[UnrecordedEnd]) -> None:
        """Acknowledge to the workers ends that are now recorded.

        Ends that were listed to an earlier session are left out: the worker
        lists them again, or it has restarted and their numbers are those of
        other ends.
        """
        current = [end for end in ends if self.is_current(end.worker_id, end.fence)]
        for end in current:
            self._unrecorded_ends_by_worker[end.worker_id].pop(end.number, None)
        for worker_id in dict.fromkeys(end.worker_id for end in current):
            self._acknowledge(worker_id)

    def set_silent(self, message: WorkerSilent) -> None:
        """Mark a worker unreachable, so that it gets no new runs."""
        worker_id = message.worker_id
        worker = self._engine.workers_by_id.get(worker_id)
        if worker is not None and self.is_current(worker_id, message.fence):
            worker.reachable = False
            _logger.info("worker does not answer", extra={"worker": worker_id})

    def set_lapsed(self, message: WorkerLeaseLapsed) -> None:
        """Interrupt all runs of a worker whose lease has lapsed."""
        worker_id = message.worker_id
        if not self.is_current(worker_id, message.fence):
            return
        now = self._system.clock.seconds()
        _logger.info(
            "lease of a worker has lapsed; its runs are interrupted",
            extra={"worker": worker_id},
        )
        if message.restarted:
            self._engine.worker_restarted(worker_id, now, message.unanswered_starts)
        elif not self._is_alive(worker_id, now):
            self._engine.worker_lost(worker_id, now, message.unanswered_starts)
        self._settle_unsent_starts(worker_id)
        self._engine.interrupt_worker(worker_id, now, "lease_lapsed")
        worker = self._engine.workers_by_id.get(worker_id)
        if worker is None:
            return
        worker.lapsed = not message.restarted
        if not worker.listed:
            self._remove(worker_id, now)

    def _is_alive(self, worker_id: str, now: float) -> bool:
        """Return whether the entry shows that a silent worker has not crashed.

        The entry of a process that has ended would be removed by now.
        """
        worker = self._engine.workers_by_id.get(worker_id)
        if worker is None or not worker.listed:
            return False
        entry_outlives_s = ENTRY_HEARTBEATS * self._times.heartbeat_s + ENTRY_DELAY_S
        return now - worker.heard_at > entry_outlives_s

    def sweep(self) -> None:
        """Remove workers without an entry once no run can exist on them."""
        self._follow_pools()
        now = self._system.clock.seconds()
        for worker_id, unlisted_since in list(self._unlisted_since_by_worker.items()):
            worker = self._engine.workers_by_id.get(worker_id)
            if worker is None:
                del self._unlisted_since_by_worker[worker_id]
                continue
            has_no_session = worker_id not in self._sessions_by_worker
            leases_have_lapsed = has_no_session and now > self._prior_leases_end_at
            is_idle = (
                now - unlisted_since > REMOVE_UNLISTED_AFTER_S
                and not worker.may_have_runs
            )
            if leases_have_lapsed or is_idle:
                self._remove(worker_id, now)

    def _remove(self, worker_id: str, now: float) -> None:
        self._unlisted_since_by_worker.pop(worker_id, None)
        self._settle_unsent_starts(worker_id)
        self._engine.remove_worker(worker_id, now, "gone")
        self._entries_by_worker.pop(worker_id, None)
        self._ended_processes_by_worker.pop(worker_id, None)
        if worker_id in self._sessions_by_worker:
            self._drop_session(worker_id)

    def _mark_unlisted(self, worker_id: str) -> None:
        """Mark a worker whose entry was removed and inform its session."""
        self._newest_facts_by_worker.pop(worker_id, None)
        worker = self._engine.workers_by_id.get(worker_id)
        if worker is not None and worker.listed:
            now = self._set_unlisted(worker_id)
            session = self._sessions_by_worker.get(worker_id)
            if session is not None:
                # The remaining time counts from the writing of the entry,
                # which may have been seen late by about a heartbeat.
                has_drained = (
                    worker.facts.draining
                    and now >= worker.leaves_at - self._times.heartbeat_s
                )
                self._system.tell(session.name, RegistryEntryRemoved(has_drained))
            _logger.info(
                "registry entry of a worker was removed", extra={"worker": worker_id}
            )

    def _set_unlisted(self, worker_id: str) -> float:
        """Let a worker get no new runs; returns the node-clock time."""
        self._engine.workers_by_id[worker_id].listed = False
        now = self._unlisted_since_by_worker[worker_id] = self._system.clock.seconds()
        return now

    def _is_new_incarnation(self, facts: WorkerFacts) -> bool:
        """Return whether an entry belongs to a new or restarted worker.

        Changes of the drain state are logged.
        """
        known_worker = self._engine.workers_by_id.get(facts.worker_id)
        if known_worker is None:
            return True
        known_facts = known_worker.facts
        started = {known_facts.process_started_ms, facts.process_started_ms} - {0}
        if len(started) > 1 or known_facts.address != facts.address:
            _logger.info("worker restarted", extra={"worker": facts.worker_id})
            return True
        if known_facts.draining != facts.draining:
            _logger.info(
                "worker is draining" if facts.draining else "worker no longer drains",
                extra={"worker": facts.worker_id, "remaining_s": facts.remaining_s},
            )
        return False

    def _open_session(self, facts: WorkerFacts) -> None:
        worker = self._engine.workers_by_id[facts.worker_id]
        worker.reachable, worker.polled_at = False, -math.inf
        worker.lapsed = False
        number = self._session_count_by_worker.get(facts.worker_id, 0)
        if number >= SESSIONS_PER_TERM:
            # The next term has tokens above all that were used in this one.
            self._system.tell(LEADERSHIP, Resign("fencing tokens are used up"))
            return
        self._session_count_by_worker[facts.worker_id] = number + 1
        session = WorkerSession(
            self._system,
            facts,
            self._channels.open(facts),
            self._engine.term * SESSIONS_PER_TERM + number,
            self._times,
            self._authority,
            self._prior_leases_end_at if number == 0 else None,
        )
        self._sessions_by_worker[facts.worker_id] = session
        session.start()

    def _settle_unsent_starts(self, worker_id: str) -> None:
        """Settle the starts that the worker cannot have received."""
        session = self._sessions_by_worker.get(worker_id)
        if session is not None:
            self._engine.settle_unsent_starts(worker_id, session.possible_starts)

    def _drop_session(self, worker_id: str) -> None:
        session = self._sessions_by_worker.pop(worker_id)
        self._engine.session_closed(
            worker_id, session.possible_starts, self._system.clock.seconds()
        )
        self._reported.discard(worker_id)
        self._early_starts_by_worker.pop(worker_id, None)
        self._undecided.discard(worker_id)
        session.stop()
        self._system.unregister(session)
        self._last_end_by_worker.pop(worker_id, None)
        self._unrecorded_ends_by_worker.pop(worker_id, None)

    def _handle_ends(self, message: WorkerPolled, now: float) -> None:
        """Pass ends not seen before to the engine and track their records."""
        worker_id = message.worker_id
        last_number = self._last_end_by_worker.get(worker_id, 0)
        unrecorded = self._unrecorded_ends_by_worker.setdefault(worker_id, {})
        for end in message.report.ended:
            if end.number <= last_number:
                continue
            last_number = end.number
            self._system.tell(METRICS, IncrementCounter("run_ends", (str(end.kind),)))
            self._engine.end(worker_id, end, now)
            workflow_id = end.key.workflow_id
            if not self._engine.is_recorded(workflow_id):
                unrecorded[end.number] = workflow_id
        self._last_end_by_worker[worker_id] = last_number
        if last_number and not unrecorded:
            self._acknowledge(worker_id)

    def _acknowledge(self, worker_id: str) -> None:
        """Acknowledge the ends up to the first one that is not recorded."""
        session = self._sessions_by_worker.get(worker_id)
        unrecorded = self._unrecorded_ends_by_worker.get(worker_id, {})
        number = (
            min(unrecorded) - 1
            if unrecorded
            else self._last_end_by_worker.get(worker_id, 0)
        )
        if session is not None and number:
            self._system.tell(session.name, AcknowledgeEnds(number))
