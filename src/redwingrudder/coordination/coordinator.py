"""The coordinator: runs the engine while this node leads."""

import logging
import time

from twisted.internet.defer import FirstError, gatherResults

from .._background import run
from .._store_requests import GetPrefix, KeyValue
from ..actors import Actor, ActorSystem, Handler
from ..exceptions import BadRequestError, RedwingrudderError, UnavailableError
from ..timers import TIMERS, Subscribe, TimerFired, Unsubscribe
from ..workflows import records
from ..workflows.engine import Engine
from ..workflows.model import (
    FINAL_STATES,
    NOTHING,
    AskAdvice,
    Effect,
    StartRun,
    TaskKey,
    WorkerFacts,
    WorkflowState,
)
from ..workflows.state import WorkflowProgress
from .gateways import (
    COORDINATOR,
    INTAKE_PREFIX,
    LEADERSHIP,
    NEIGHBOURS,
    PROGRESS_PREFIX,
    STORE,
    AdviceService,
    AwaitChanges,
    ChannelFactory,
    RegistryCodec,
)
from .leadership import boot_clock
from .messages import (
    AcknowledgeEnds,
    AdviceGiven,
    BeginTerm,
    CancelStored,
    ConfigurationInForce,
    EndTerm,
    Fenced,
    GetQueueLength,
    GetState,
    LeaseConfirmed,
    LeaseWorker,
    PaceLost,
    StartSettled,
    UpdateFacts,
    WorkerLapsed,
    WorkerLooked,
    WorkerSilent,
    WorkflowStored,
)
from .metrics import METRICS, Counted, Measured, Observed
from .neighbours import GetTimeOfDay, ListNeighbours
from .recorder import BATCH, Recorder
from .worker_session import WorkerSession, longest_hold_s, pause, session_name

PLAN_DELAY_S = 0.005  # collects events that arrive together
TICK_S = 0.2
RECORD_RETRY_S = 0.1
WATCH_S = 1.0
RETRY_S = 0.25
UNLISTED_GONE_S = 2.5  # after the store's return, above what entries may take
NOT_COORDINATOR_RETRY_S = 1.0  # an election takes about this long

_logger = logging.getLogger(__name__)


class Coordinator(Actor):
    """Feeds the engine and carries out its effects; idle unless leading.

    Args:
        system: The node's actors.
        registry: Reads the workers' entries.
        channels: Opens connections to workers.
        longest_lease_s: Longest lease that workers accept.
        advice: Service that permits starts of some queues.
    """

    def __init__(
        self,
        system: ActorSystem,
        registry: RegistryCodec,
        channels: ChannelFactory,
        longest_lease_s: float,
        advice: AdviceService | None = None,
    ) -> None:
        self._registry = registry
        self._channels = channels
        self._lease_s = longest_lease_s
        self._advice = advice
        # Time of day less the steady clock.
        self._wall_offset = time.time() - system.clock.seconds()
        self._engine = Engine()
        self._recorder: Recorder | None = None
        self._term = 0
        self._leading = False
        self._ready = False
        self._confirmed_until = 0.0
        self._may_act = True
        self._sessions_by_worker: dict[str, WorkerSession] = {}
        self._unlisted_since: dict[str, float] = {}
        self._waiting_starts: list[StartRun] = []
        self._unrecorded_ends: dict[str, dict[int, str]] = {}
        self._last_end: dict[str, int] = {}
        self._writing = False
        self._plan_scheduled = False
        self._guaranteed: dict[str, int] = {}
        self._registry_fresh_at = 0.0
        super().__init__(system, COORDINATOR)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            BeginTerm: lambda m: run(self._begin(m), self.name) and None,
            EndTerm: self._end,
            LeaseConfirmed: self._confirm,
            ConfigurationInForce: self._configure,
            WorkflowStored: self._workflow_stored,
            CancelStored: self._cancel_stored,
            GetState: self._get_state,
            GetQueueLength: self._get_queue_length,
            WorkerLooked: self._worker_looked,
            WorkerSilent: self._worker_silent,
            WorkerLapsed: self._worker_lapsed,
            StartSettled: self._start_settled,
            TimerFired: self._timer_fired,
            PaceLost: self._pace_lost,
            AdviceGiven: self._advice_given,
        }

    @property
    def engine(self) -> Engine:
        """The engine of the present term, for metrics and tests."""
        return self._engine

    # Terms.

    async def _begin(self, message: BeginTerm) -> None:
        """Take over: read the records, then ask the workers what runs."""
        self._close_sessions()
        self._term = message.term
        self._leading, self._ready = True, False
        self.tell(METRICS, Measured("coordinator", 1.0))
        _logger.info("term began", extra={"term": message.term})
        self._recorder = Recorder(self.ask, message.term, message.term_revision)
        self._engine = Engine()
        self._engine.term = message.term
        self._engine.guaranteed_by_organisation = self._guaranteed
        self._waiting_starts.clear()
        self._unrecorded_ends.clear()
        self._last_end.clear()
        self._unlisted_since.clear()
        while self._leading and self._term == message.term:
            try:
                await self._recover(message.term)
                return
            except RedwingrudderError as error:
                _logger.warning("recovery failed", extra={"error": str(error)})
                await self._sleep(RETRY_S)

    async def _recover(self, term: int) -> None:
        try:
            intake, progress, workers = await gatherResults(
                [
                    self.ask(STORE, GetPrefix(INTAKE_PREFIX)),
                    self.ask(STORE, GetPrefix(PROGRESS_PREFIX)),
                    self.ask(STORE, GetPrefix(self._registry.prefix)),
                ],
                consumeErrors=True,
            )
        except FirstError as error:
            raise error.subFailure.value from error
        if not self._leading or self._term != term:
            return
        cancelled = []
        for pair in intake.pairs:
            if pair.key.endswith("/cancel"):
                cancelled.append(_workflow_id(pair.key))
            else:
                self._accept(pair.key, pair.value)
        placed = [run for pair in progress.pairs for run in self._restore(pair)]
        for pair in workers.pairs:
            self._set_worker(pair.key, pair.value)
        now = self.system.clock.seconds()
        for run_ in placed:
            if run_.worker_id not in self._engine.workers_by_id:
                # Its entry may be back soon; if not, its leases must lapse.
                facts = WorkerFacts(
                    run_.worker_id, run_.born_ms, "", "", "", "", frozenset(), NOTHING
                )
                self._engine.set_worker(facts, now)
                self._engine.workers_by_id[run_.worker_id].listed = False
                self._unlisted_since[run_.worker_id] = now
                self.system.clock.callLater(
                    longest_hold_s(self._lease_s), self._give_up_worker, facts, term
                )
            self._engine.adopt_run(run_.key, run_.run, run_.worker_id, False, now)
        for workflow_id in cancelled:
            self._engine.cancel(workflow_id, now)
        self._ready = True
        self._registry_fresh_at = now
        _logger.info(
            "state recovered",
            extra={
                "term": term,
                "jobs": len(self._engine.workflows_by_id),
                "workers": len(self._sessions_by_worker),
                "placed_runs": len(placed),
            },
        )
        run(self._watch_registry(term, workers.revision), self.name)
        run(self._watch_intake(term, intake.revision), self.name)
        self.tell(TIMERS, Subscribe(self.name, "tick", TICK_S, TICK_S))
        self._plan_soon()

    def _give_up_worker(self, facts: WorkerFacts, term: int) -> None:
        """Interrupt the runs of a worker whose entry did not come back."""
        if self._term != term or facts.worker_id in self._sessions_by_worker:
            return
        now = self.system.clock.seconds()
        self._engine.remove_worker(facts.worker_id, now, "entry_missing")
        self._plan_soon()

    def _restore(self, pair: KeyValue) -> tuple[records.PlacedRun, ...]:
        workflow_id = pair.key.removeprefix(PROGRESS_PREFIX)
        progress = self._engine.workflows_by_id.get(workflow_id)
        if progress is None:
            return ()
        try:
            record = records.decode_progress(workflow_id, pair.value.encode())
        except BadRequestError as error:
            _logger.error("record unreadable", extra={"error": str(error)})
            return ()
        self._recorder.know(workflow_id, pair.mod_revision)
        records.restore_progress(progress, record)
        progress.wait_observed = progress.begun
        if record.state in FINAL_STATES:
            progress.end_observed = True
            self._engine.close(workflow_id, record.state, self.system.clock.seconds())
        return record.placed

    def _end(self, message: EndTerm) -> None:
        _logger.info("term ended", extra={"term": self._term, "reason": message.reason})
        self._leading = self._ready = False
        self.tell(METRICS, Measured("coordinator", 0.0))
        self.tell(TIMERS, Unsubscribe(self.name, "tick"))
        self._close_sessions()
        self._engine = Engine()

    def _close_sessions(self) -> None:
        for session in self._sessions_by_worker.values():
            session.stop()
            self.system.unregister(session)
        self._sessions_by_worker.clear()

    def _confirm(self, message: LeaseConfirmed) -> None:
        self._confirmed_until = max(self._confirmed_until, message.until)

    def _configure(self, message: ConfigurationInForce) -> None:
        self._guaranteed = message.configuration.guaranteed_by_organisation
        self._engine.guaranteed_by_organisation = self._guaranteed
        self._plan_soon()

    # Submissions and cancellations.

    async def _watch_intake(self, term: int, revision: int) -> None:
        while self._leading and self._term == term:
            try:
                changes = await self.ask(
                    STORE, AwaitChanges(INTAKE_PREFIX, revision, WATCH_S)
                )
                if self._term != term or not self._leading:
                    return
                if changes.expired:
                    reply = await self.ask(STORE, GetPrefix(INTAKE_PREFIX))
                    for pair in reply.pairs:
                        self._take_intake(pair.key, pair.value)
                    revision = reply.revision
                    continue
                for change in changes.changes:
                    if change.value is not None:
                        self._take_intake(change.key, change.value)
                revision = changes.revision
            except RedwingrudderError as error:
                _logger.info("intake watch lost", extra={"error": str(error)})
                await self._sleep(RETRY_S)

    def _take_intake(self, key: str, value: str) -> None:
        if key.endswith("/cancel"):
            self._cancel_stored(CancelStored(_workflow_id(key)))
        else:
            self._accept(key, value)
            self._plan_soon()

    def _accept(self, key: str, value: str) -> None:
        try:
            workflow = records.decode_workflow(value.encode())
        except BadRequestError as error:
            _logger.error(
                "workflow unreadable", extra={"key": key, "error": str(error)}
            )
            return
        if workflow.workflow_id in self._engine.workflows_by_id:
            return
        now = self.system.clock.seconds()
        age = min(max(time.time() - workflow.accepted_at, 0.0), 3600.0)
        self._engine.accept(workflow, now - (age if not self._ready else 0.0))
        _logger.info(
            "job known to the coordinator",
            extra={
                "job": workflow.workflow_id,
                "queue": workflow.queue,
                "term": self._term,
            },
        )

    def _workflow_stored(self, message: WorkflowStored) -> None:
        if self._ready:
            self._accept(message.workflow_id, message.document)
            self._plan_soon()

    def _cancel_stored(self, message: CancelStored) -> None:
        if self._ready:
            self._engine.cancel(message.workflow_id, self.system.clock.seconds())
            self._plan_soon()

    def _get_state(self, message: GetState) -> str:
        if not self._ready:
            raise not_coordinator()
        progress = self._engine.workflows_by_id.get(message.workflow_id)
        if progress is None:
            return ""
        if progress.recorded_state is WorkflowState.QUEUED and progress.begun:
            return WorkflowState.RUNNING
        return progress.recorded_state

    def _get_queue_length(self, message: GetQueueLength) -> int:
        if not self._ready:
            raise not_coordinator()
        return self._engine.queue_length(message.queue)

    # Workers.

    async def _watch_registry(self, term: int, revision: int) -> None:
        while self._leading and self._term == term:
            try:
                changes = await self.ask(
                    STORE, AwaitChanges(self._registry.prefix, revision, WATCH_S)
                )
                if self._term != term or not self._leading:
                    return
                if changes.expired:
                    revision = await self._reread_registry()
                    continue
                for change in changes.changes:
                    self._set_worker(change.key, change.value)
                if changes.changes:
                    self._plan_soon()
                revision = changes.revision
                self._registry_fresh_at = self.system.clock.seconds()
            except RedwingrudderError as error:
                _logger.info("registry watch lost", extra={"error": str(error)})
                await self._sleep(RETRY_S)

    async def _reread_registry(self) -> int:
        term = self._term
        reply = await self.ask(STORE, GetPrefix(self._registry.prefix))
        if self._term != term or not self._leading:
            return reply.revision
        for pair in reply.pairs:
            self._set_worker(pair.key, pair.value)
        listed = {pair.key for pair in reply.pairs}
        for worker_id in list(self._sessions_by_worker):
            if self._registry.prefix + worker_id not in listed:
                self._set_worker(self._registry.prefix + worker_id, None)
        self._plan_soon()
        return reply.revision

    def _set_worker(self, key: str, value: str | None) -> None:
        worker_id = key.removeprefix(self._registry.prefix)
        now = self.system.clock.seconds()
        if value is None:
            worker = self._engine.workers_by_id.get(worker_id)
            if worker is not None:
                worker.listed = False
                self._unlisted_since.setdefault(worker_id, now)
                _logger.info("worker no longer listed", extra={"worker": worker_id})
            return
        facts = self._registry.decode(key, value)
        if facts is None:
            return
        self._unlisted_since.pop(worker_id, None)
        known = self._engine.workers_by_id.get(worker_id)
        session = self._sessions_by_worker.get(worker_id)
        if session is not None and known is not None:
            old = known.facts
            if (old.born_ms, old.address) != (facts.born_ms, facts.address):
                _logger.info("worker restarted", extra={"worker": worker_id})
                self._drop_session(worker_id)
                session = None
            elif old.draining != facts.draining:
                _logger.info(
                    "worker drains" if facts.draining else "worker serves again",
                    extra={"worker": worker_id, "remaining_s": facts.remaining_s},
                )
        self._engine.set_worker(facts, now)
        if session is None:
            self._engine.workers_by_id[worker_id].reachable = False
            session = WorkerSession(
                self.system,
                facts,
                self._channels.open(facts),
                self._term,
                self._lease_s,
            )
            self._sessions_by_worker[worker_id] = session
            session.start()
        else:
            self.tell(session.name, UpdateFacts(facts))

    def _drop_session(self, worker_id: str) -> None:
        session = self._sessions_by_worker.pop(worker_id)
        session.stop()
        self.system.unregister(session)
        self._last_end.pop(worker_id, None)
        self._unrecorded_ends.pop(worker_id, None)

    def _worker_looked(self, message: WorkerLooked) -> None:
        worker = self._engine.workers_by_id.get(message.worker_id)
        if not self._ready or worker is None:
            return
        now = self.system.clock.seconds()
        first = not worker.reachable
        worker.reachable = True
        report = message.report
        if report.born_ms and not worker.facts.born_ms:
            worker.facts = worker.facts._replace(born_ms=report.born_ms)
        elif report.born_ms and report.born_ms != worker.facts.born_ms:
            # The registry's entry of the new life is still on its way.
            worker.reachable = False
            return
        for entry in report.running:
            if first:
                self._engine.adopt_run(
                    entry.key, entry.run, message.worker_id, True, now
                )
        self._engine.report(message.worker_id, report.running, now)
        self._take_ends(message, now)
        if first:
            self._engine.reconcile(
                message.worker_id, {(e.key, e.run) for e in report.running}, now
            )
        self._plan_soon()

    def _take_ends(self, message: WorkerLooked, now: float) -> None:
        worker_id = message.worker_id
        last = self._last_end.get(worker_id, 0)
        unrecorded = self._unrecorded_ends.setdefault(worker_id, {})
        for end in message.report.ended:
            if end.number <= last:
                continue
            last = end.number
            self.tell(METRICS, Counted("run_ends", (str(end.kind),)))
            workflow_id = self._engine.end(worker_id, end, now)
            if workflow_id is not None:
                unrecorded[end.number] = workflow_id
        self._last_end[worker_id] = last
        if last and not unrecorded:
            self._acknowledge(worker_id)

    def _acknowledge(self, worker_id: str) -> None:
        unrecorded = self._unrecorded_ends.get(worker_id, {})
        number = min(unrecorded) - 1 if unrecorded else self._last_end[worker_id]
        session = self._sessions_by_worker.get(worker_id)
        if session is not None and number:
            self.tell(session.name, AcknowledgeEnds(number))

    def _worker_silent(self, message: WorkerSilent) -> None:
        worker = self._engine.workers_by_id.get(message.worker_id)
        if worker is not None:
            worker.reachable = False
            _logger.info("worker silent", extra={"worker": message.worker_id})

    def _worker_lapsed(self, message: WorkerLapsed) -> None:
        now = self.system.clock.seconds()
        _logger.info("worker's lease lapsed", extra={"worker": message.worker_id})
        self._engine.interrupt_worker(message.worker_id, now, "lease_lapsed")
        worker = self._engine.workers_by_id.get(message.worker_id)
        if worker is not None and not worker.listed:
            self._engine.remove_worker(message.worker_id, now, "gone")
            self._drop_session(message.worker_id)
        self._plan_soon()

    def _start_settled(self, message: StartSettled) -> None:
        now = self.system.clock.seconds()
        start, reply = message.run, message.reply
        outcome = "accepted" if reply.accepted else reply.reason
        self.tell(METRICS, Counted("starts", (outcome,)))
        if reply.accepted:
            self._engine.start_confirmed(start.key, start.run, now)
        else:
            self._engine.start_rejected(start.key, start.run, reply.reason, now)
        self._plan_soon()

    # Planning and recording.

    def _timer_fired(self, fired: TimerFired) -> None:
        if fired.timer != "tick" or not self._ready:
            return
        run(self._check_authority(), self.name)
        run(self._read_time_of_day(), self.name)
        now = self.system.clock.seconds()
        self._engine.stop_stuck(now)
        self._engine.pace(now)
        for worker_id, since in list(self._unlisted_since.items()):
            worker = self._engine.workers_by_id.get(worker_id)
            if worker is None:
                del self._unlisted_since[worker_id]
            elif now - since > UNLISTED_GONE_S and not worker.tasks_by_key:
                del self._unlisted_since[worker_id]
                self._engine.remove_worker(worker_id, now, "gone")
                if worker_id in self._sessions_by_worker:
                    self._drop_session(worker_id)
        self._plan_soon()

    async def _read_time_of_day(self) -> None:
        wall = await self.ask(NEIGHBOURS, GetTimeOfDay())
        self._wall_offset = wall - self.system.clock.seconds()

    async def _check_authority(self) -> None:
        """Stop extending leases when a successor may exist.

        While the store is down for the other nodes too, none of them can
        have been elected.
        """
        allowed = boot_clock() < self._confirmed_until
        if not allowed:
            view = await self.ask(NEIGHBOURS, ListNeighbours())
            allowed = view.store_is_down
        if allowed != self._may_act:
            self._may_act = allowed
            _logger.warning("authority changed", extra={"allowed": allowed})
            for session in self._sessions_by_worker.values():
                self.tell(session.name, LeaseWorker(allowed))

    def _plan_soon(self) -> None:
        if self._ready and not self._plan_scheduled:
            self._plan_scheduled = True
            self.system.clock.callLater(PLAN_DELAY_S, self._plan)

    def _plan(self) -> None:
        self._plan_scheduled = False
        if not self._ready:
            return
        now = self.system.clock.seconds()
        if self._may_act:
            effects = self._engine.plan(now, now + self._wall_offset)
        else:
            effects = self._engine.take_effects()
        for effect in effects:
            self._carry_out(effect)
        self._write_soon()

    def _carry_out(self, effect: Effect) -> None:
        if isinstance(effect, StartRun):
            self._waiting_starts.append(effect)
        elif isinstance(effect, AskAdvice):
            run(self._ask_advice(effect), self.name)
        elif effect.worker_id in self._sessions_by_worker:
            self.tell(session_name(effect.worker_id), effect)

    async def _ask_advice(self, question: AskAdvice) -> None:
        asked_at = self.system.clock.seconds()
        advice = None
        step = TaskKey(question.workflow_id, question.occurrence, question.step, 0)
        if self._advice is not None:
            try:
                advice = await self._advice.ask(step, question.worker_ids)
            except RedwingrudderError as error:
                _logger.info(
                    "advice unanswered",
                    extra={"job": question.workflow_id, "error": str(error)},
                )
                await self._sleep(RETRY_S)
        self.tell(COORDINATOR, AdviceGiven(question, advice, asked_at))

    def _advice_given(self, message: AdviceGiven) -> None:
        tickets, valid_s = message.advice or (None, 0.0)
        self._engine.take_advice(message.question, tickets, valid_s, message.asked_at)
        self._plan_soon()

    def _pace_lost(self, message: PaceLost) -> None:
        """Assume full speed again, so that the policy repeats the change."""
        self._engine.pace_lost(message.run.key, message.run.run)

    def _write_soon(self) -> None:
        if not self._writing and (self._engine.dirty or self._waiting_starts):
            self._writing = True
            run(self._write(), self.name)

    async def _write(self) -> None:
        """Write records until none is due; starts follow their records."""
        try:
            while self._ready and (self._engine.dirty or self._waiting_starts):
                await self._write_batch(self._engine, self._term)
        finally:
            self._writing = False

    async def _write_batch(self, engine: Engine, term: int) -> None:
        urgent = [start.key.workflow_id for start in self._waiting_starts]
        order = dict.fromkeys([*urgent, *engine.dirty])
        batch = [i for i in order if i in engine.workflows_by_id][:BATCH]
        engine.dirty.difference_update(batch)
        included = set(batch)
        starts = [s for s in self._waiting_starts if s.key.workflow_id in included]
        ends = [
            (worker_id, number)
            for worker_id, unrecorded in self._unrecorded_ends.items()
            for number, workflow_id in unrecorded.items()
            if workflow_id in included
        ]
        try:
            written = await self._recorder.write(engine, batch)
        except RedwingrudderError as error:
            _logger.info("progress not recorded", extra={"error": str(error)})
            engine.dirty.update(batch)
            await self._sleep(RECORD_RETRY_S)
            return
        if self._term != term or not self._ready:
            return
        if written.deposed:
            self.tell(LEADERSHIP, Fenced("store"))
            self._ready = False
            return
        if not written.workflow_ids:
            engine.dirty.update(batch)
            return
        for workflow_id in written.workflow_ids:
            self._observe(engine.workflows_by_id[workflow_id])
        sent = {(start.key, start.run) for start in starts}
        self._waiting_starts = [
            s for s in self._waiting_starts if (s.key, s.run) not in sent
        ]
        for start in starts:
            self._send_start(start)
        for worker_id, number in ends:
            self._unrecorded_ends.get(worker_id, {}).pop(number, None)
        for worker_id in {worker_id for worker_id, _ in ends}:
            self._acknowledge(worker_id)

    def _observe(self, progress: WorkflowProgress) -> None:
        """Count a recorded step of a workflow's life, each once."""
        workflow = progress.workflow
        labels = (workflow.queue, workflow.organisation)
        waited = self.system.clock.seconds() - progress.accepted_mono
        if progress.begun and not progress.wait_observed:
            progress.wait_observed = True
            self.tell(METRICS, Observed("queue_wait_seconds", labels, waited))
        if progress.recorded_state in FINAL_STATES and not progress.end_observed:
            progress.end_observed = True
            state = str(progress.recorded_state)
            self.tell(METRICS, Counted("workflows_ended", (*labels, state)))
            self.tell(METRICS, Observed("completion_seconds", labels, waited))

    def _send_start(self, start: StartRun) -> None:
        progress = self._engine.workflows_by_id.get(start.key.workflow_id)
        task = progress.find(start.key) if progress is not None else None
        if task is None or task.run != start.run or task.state != "starting":
            # Stopped or withdrawn while its record was being written.
            self._engine.start_rejected(
                start.key, start.run, "superseded", self.system.clock.seconds()
            )
        elif start.worker_id in self._sessions_by_worker:
            self.tell(session_name(start.worker_id), start)
        else:
            self._engine.start_rejected(
                start.key, start.run, "worker_gone", self.system.clock.seconds()
            )

    async def _sleep(self, delay_s: float) -> None:
        await pause(self.system.clock, delay_s)


def not_coordinator() -> UnavailableError:
    """Return the error of a node that is asked but does not lead."""
    return UnavailableError(
        "this node does not coordinate",
        code="not_coordinator",
        retry_after_s=NOT_COORDINATOR_RETRY_S,
    )


def _workflow_id(key: str) -> str:
    return key.removeprefix(INTAKE_PREFIX).removesuffix("/cancel")
