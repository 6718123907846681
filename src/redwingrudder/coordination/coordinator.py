"""Runs the workflow engine while this node is the elected coordinator."""

import logging
from collections.abc import Callable
from typing import Any, TypeVar

from .._background import pause, run
from .._store_requests import KeyValue
from ..actors import Actor, ActorSystem, Handler
from ..exceptions import RedwingrudderError
from ..timers import TIMERS, Subscribe, TimerFired, Unsubscribe
from ..workflows.advice_requests import AdviceWaits
from ..workflows.model import AskAdvice, Effect, StartRun, WorkflowState
from ..workflows.state import WorkflowProgress
from ._announced_cancellations import AnnouncedCancellations
from .gateways import (
    ADVISOR,
    CANCEL_SUFFIX,
    COORDINATOR,
    INTAKE_PREFIX,
    LEADERSHIP,
    PEERS,
    SUBMISSION_AGE_SHARE,
    Change,
    FleetGateways,
    OperatorConfiguration,
    not_coordinator,
)
from .messages import (
    AdviceGiven,
    BeginTerm,
    CancelStored,
    ConfigurationInForce,
    EndTerm,
    Fenced,
    GetQueueLength,
    GetState,
    LeaseConfirmed,
    ProcessReplaced,
    Resign,
    StartSettled,
    ThrottleUnanswered,
    WorkerLeaseLapsed,
    WorkerPolled,
    WorkerSilent,
    WorkflowStored,
)
from .metrics import METRICS, IncrementCounter, ObserveDuration, SetGauge
from .peers import AskAllPeers, GetTimeOfDay, ListPeers
from .recovery import (
    accept_stored,
    apply_cancellation,
    cancel_all,
    read_state,
    restore_all,
    successor_seen_at,
    workflow_id_of,
)
from .term import Term, open_term
from .unanswered_starts import UnansweredStarts
from .waiting_report import WaitingReport
from .watching import follow_prefix

# Minimum delay before a planning pass, so that one pass covers all events that
# arrive together.
PLAN_DELAY_S = 0.005
# Pause after a planning pass as a multiple of its duration, so that under load
# planning takes at most a third of the node's time.
PLAN_PAUSE_RATIO = 2.0
TICK_INTERVAL_S = 0.2
# Remaining authority below which other nodes are asked about the store. The
# renewals of the lease keep it above this while the store answers.
AUTHORITY_MARGIN_S = 0.5
ASK_PEERS_INTERVAL_S = 0.4
RECOVERY_RETRY_DELAY_S = 0.25
# A coordinator that could not read the state for this long resigns, as another
# node may have a better connection to the store.
RECOVERY_TIMEOUT_S = 4.0
# Time within which workers that can be reached report to a new coordinator.
# Until then it preempts nothing.
FIRST_REPORTS_TIMEOUT_S = 0.3
# Time for which a step waits for advice before a log line tells it, and
# interval between such lines.
ADVICE_WAIT_LOG_S = 5.0
TICK_TIMER = "tick"

Result = TypeVar("Result")

_logger = logging.getLogger(__name__)


class Coordinator(Actor):
    """Actor that feeds the engine and executes its effects.

    It has an engine only during a term of this node, and rejects queries
    outside of terms and until the state is recovered.

    Args:
        system: The node's actor system.
        gateways: Access to the platform.
    """

    def __init__(self, system: ActorSystem, gateways: FleetGateways) -> None:
        self._gateways = gateways
        self._term: Term | None = None
        self._ready = False
        self._had_authority = True
        self._ask_peers_at = 0.0
        self._advice_waits = AdviceWaits()
        self._log_advice_waits_at = 0.0
        self._waiting_report = WaitingReport(self.tell)
        self._unanswered_starts = UnansweredStarts()
        self._plan_scheduled = False
        self._plan_pause_s = PLAN_DELAY_S
        self._configuration: OperatorConfiguration | None = None
        self._announced_cancellations = AnnouncedCancellations(
            system,
            self._find_workflow,
            lambda item: _guard(self._apply_intake_entry, *item),
        )
        # Median Unix time of the nodes minus the time of this node's clock.
        self._unix_time_offset_s = system.unix_time() - system.clock.seconds()
        super().__init__(system, COORDINATOR)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            BeginTerm: lambda m: run(self._begin_term(m), self.name) and None,
            EndTerm: self._end_term,
            LeaseConfirmed: self._lease_confirmed,
            ConfigurationInForce: self._set_configuration,
            WorkflowStored: self._workflow_announced,
            CancelStored: self._cancel_stored,
            GetState: self._get_state,
            GetQueueLength: self._get_queue_length,
            WorkerPolled: self._worker_polled,
            WorkerSilent: self._worker_silent,
            WorkerLeaseLapsed: self._worker_lease_lapsed,
            ProcessReplaced: self._process_replaced,
            StartSettled: self._start_settled,
            TimerFired: self._timer_fired,
            ThrottleUnanswered: self._throttle_unanswered,
            AdviceGiven: self._advice_given,
        }

    def stop(self) -> None:
        """Close the current term, if there is one."""
        self._close_term()

    # Beginning and end of terms.

    async def _begin_term(self, message: BeginTerm) -> None:
        """Begin a term and recover the state, with retries on failures.

        Recovery reads the stored records and opens worker sessions, which poll
        the workers for their runs. After ``RECOVERY_TIMEOUT_S`` this node
        resigns.
        """
        self._close_term()
        term = open_term(
            self.system,
            self._gateways,
            message,
            self._on_deposed,
        )
        if self._configuration is not None:
            term.configure(self._configuration)
        self._term = term
        self.tell(METRICS, SetGauge("coordinator", 1.0))
        _logger.info("term began", extra={"term": term.number})
        deadline = self.system.clock.seconds() + RECOVERY_TIMEOUT_S
        while self._term is term:
            try:
                await self._recover(term, dict(message.terms_seen_at))
                return
            except RedwingrudderError as error:
                _logger.warning(
                    "could not read the state from the store",
                    extra={"error": str(error)},
                )
            except Exception:
                _logger.exception("recovery failed unexpectedly")
            if self._term is not term:
                return
            if self.system.clock.seconds() > deadline:
                self.tell(LEADERSHIP, Resign("recovery failed"))
                return
            await pause(self.system.clock, RECOVERY_RETRY_DELAY_S)

    async def _recover(self, term: Term, terms_seen_at: dict[int, float]) -> None:
        state = await read_state(self.ask, self._gateways.registry.prefix)
        if term.pool_moves is not None:
            await term.pool_moves.restore()
        if self._term is not term:
            return
        now = self.system.clock.seconds()
        placed_runs = restore_all(
            term.engine,
            term.recorder,
            state,
            now,
            self.system.unix_time(),
            terms_seen_at,
        )
        term.workers.set_all_entries({p.key: p.value for p in state.workers.pairs})
        for placed_run in placed_runs:
            start_sent_by = successor_seen_at(placed_run.run, terms_seen_at)
            term.workers.adopt(placed_run, start_sent_by)
        cancel_all(term.engine, term.retention, state, now, self.system.unix_time())
        if term.pool_moves is not None:
            term.pool_moves.empty_workers()
        term.engine.await_reports(now + FIRST_REPORTS_TIMEOUT_S)
        self._ready = True
        _logger.info(
            "state recovered",
            extra={
                "term": term.number,
                "jobs": len(term.engine.workflows_by_id),
                "workers": term.workers.count,
                "placed_runs": len(placed_runs),
            },
        )
        self._follow_prefix(
            term,
            self._gateways.registry.prefix,
            state.workers.revision,
            self._apply_entries,
            self._replace_entries,
        )
        self._follow_prefix(
            term,
            INTAKE_PREFIX,
            state.intake.revision,
            self._apply_intake_entries,
            self._apply_intake_entries,
        )
        self.tell(
            TIMERS, Subscribe(self.name, TICK_TIMER, TICK_INTERVAL_S, TICK_INTERVAL_S)
        )
        self._schedule_planning()

    def _follow_prefix(
        self,
        term: Term,
        prefix: str,
        revision: int,
        apply: Callable[[tuple[Change, ...]], None],
        replace: Callable[[tuple[KeyValue, ...]], None],
    ) -> None:
        """Follow the changes below a store prefix until the term ends."""
        clock = self.system.clock
        watch = follow_prefix(
            self.ask,
            clock,
            prefix,
            revision,
            lambda: self._term is term,
            apply,
            replace,
        )
        run(watch, self.name)

    def _end_term(self, message: EndTerm) -> None:
        number = self._term.number if self._term is not None else 0
        self._close_term()
        _logger.info("term ended", extra={"term": number, "reason": message.reason})
        self.tell(METRICS, SetGauge("coordinator", 0.0))
        self.tell(TIMERS, Unsubscribe(self.name, TICK_TIMER))

    def _close_term(self) -> None:
        term, self._term = self._term, None
        self._ready = False
        self._announced_cancellations.clear()
        if term is not None:
            term.close()
            self._set_advice_gauges(AdviceWaits())
            self._unanswered_starts.clear()
            self._waiting_report.clear()

    def _on_deposed(self) -> None:
        self._ready = False
        self.tell(LEADERSHIP, Fenced("store"))

    def _lease_confirmed(self, message: LeaseConfirmed) -> None:
        if self._term is not None and self._term.number == message.term:
            self._term.authority.extend(message.until)

    def _set_configuration(self, message: ConfigurationInForce) -> None:
        self._configuration = message.configuration
        if self._term is not None:
            self._term.configure(message.configuration)
        self._schedule_planning()

    async def _refresh_authority(self) -> None:
        """Extend the authority while the store is down for most nodes.

        A successor may exist once the lease on the coordinator's record may
        have expired, unless most nodes do not reach the store: then none can
        be elected. One may have been elected before that; the nodes that have
        heard of it name its term.
        """
        number, authority = self._term.number, self._term.authority
        if authority.remaining_s < AUTHORITY_MARGIN_S:
            view = await self.ask(PEERS, ListPeers())
            if all(peer.term <= number for peer in view.fresh):
                authority.extend(view.store_down_until)
        now = self.system.clock.seconds()
        if authority.remaining_s < AUTHORITY_MARGIN_S and now >= self._ask_peers_at:
            self._ask_peers_at = now + ASK_PEERS_INTERVAL_S
            self.tell(PEERS, AskAllPeers())
        if authority.valid != self._had_authority:
            self._had_authority = authority.valid
            _logger.warning(
                "permission to plan and to extend worker leases changed",
                extra={"allowed": authority.valid},
            )

    # Submissions and cancellations.

    def _apply_intake_entries(self, items: tuple[Change | KeyValue, ...]) -> None:
        # A watch that lags behind reports documents with their removal.
        item_by_key = {item.key: item for item in items}
        for item in item_by_key.values():
            _guard(self._apply_intake_entry, *item)

    def _apply_intake_entry(self, key: str, value: str | None, revision: int) -> None:
        if value is None:
            return
        workflow_id = workflow_id_of(key)
        if key.endswith(CANCEL_SUFFIX):
            self._cancel(KeyValue(key, value, revision))
        elif self._term.retention.take_stored(workflow_id, revision):
            self._accept_stored(workflow_id, value)

    def _workflow_announced(self, message: WorkflowStored) -> None:
        """Accept a workflow that a node has stored.

        An announcement may arrive after the records of the workflow were
        removed, so one of an earlier acceptance is ignored. The watch reports
        the workflow if it is still stored.
        """
        unix_time_s = self.system.clock.seconds() + self._unix_time_offset_s
        max_age_s = SUBMISSION_AGE_SHARE * self._gateways.keep_ended_s
        self._accept_stored(
            message.workflow_id,
            message.document,
            accepted_since=unix_time_s - max_age_s,
            is_stored=False,
        )

    def _accept_stored(self, workflow_id: str, document: str, **options: Any) -> None:
        if not self._ready:
            return
        now = self.system.clock.seconds()
        if accept_stored(self._term.engine, workflow_id, document, now, **options):
            self._schedule_planning()

    def _cancel_stored(self, message: CancelStored) -> None:
        """Cancel a workflow once the store confirms the announcement."""
        if self._ready:
            self._announced_cancellations.add(message.workflow_id)

    def _cancel(self, pair: KeyValue) -> None:
        now = self.system.clock.seconds()
        age_s = apply_cancellation(
            self._term.engine,
            self._term.retention,
            pair,
            now,
            now + self._unix_time_offset_s,
        )
        if age_s is not None:
            delay = ObserveDuration("cancellation_delay_seconds", (), max(age_s, 0.0))
            self.tell(METRICS, delay)
        self._schedule_planning()

    def _find_workflow(self, workflow_id: str) -> WorkflowProgress | None:
        if not self._ready:
            return None
        return self._term.engine.workflows_by_id.get(workflow_id)

    def _get_state(self, message: GetState) -> str:
        if not self._ready:
            raise not_coordinator()
        progress = self._term.engine.workflows_by_id.get(message.workflow_id)
        if progress is None:
            return ""
        if progress.recorded_state is WorkflowState.QUEUED and progress.begun:
            return WorkflowState.RUNNING
        return progress.recorded_state

    def _get_queue_length(self, message: GetQueueLength) -> int:
        if not self._ready:
            raise not_coordinator()
        return self._term.engine.queue_length(message.queue)

    # Workers.

    def _apply_entries(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            _guard(self._term.workers.set_entry, change.key, change.value)
        self._schedule_planning()

    def _replace_entries(self, pairs: tuple[KeyValue, ...]) -> None:
        self._term.workers.set_all_entries({pair.key: pair.value for pair in pairs})
        self._schedule_planning()

    def _worker_polled(self, message: WorkerPolled) -> None:
        if self._ready:
            self._term.workers.take_report(message)
            self._schedule_planning()

    def _worker_silent(self, message: WorkerSilent) -> None:
        if self._ready:
            self._term.workers.set_silent(message)

    def _worker_lease_lapsed(self, message: WorkerLeaseLapsed) -> None:
        if self._ready:
            self._term.workers.set_lapsed(message)
            self._schedule_planning()

    def _process_replaced(self, message: ProcessReplaced) -> None:
        if self._ready:
            self._term.workers.replace_process(message)
            self._schedule_planning()

    def _start_settled(self, message: StartSettled) -> None:
        start, reply = message.run, message.reply
        outcome = "accepted" if reply.accepted else reply.reason
        self.tell(METRICS, IncrementCounter("starts", (outcome,)))
        if message.unanswered_at is not None:
            self.tell(METRICS, IncrementCounter("starts_with_lost_attempts", ()))
        if not self._ready or not self._term.workers.is_of_this_term(message.fence):
            # The record tells a later term that the start is not settled.
            return
        self._unanswered_starts.note(start, reply)
        now = self.system.clock.seconds()
        self._term.engine.start_settled(
            start.key,
            start.run,
            start.worker_id,
            message.unanswered_at,
            message.process_started_ms,
        )
        if not self._term.workers.is_current(start.worker_id, message.fence):
            # The first report to the next session decides about the run.
            return
        if reply.accepted:
            self._term.engine.start_confirmed(start.key, start.run, now)
        else:
            self._term.engine.start_rejected(start.key, start.run, reply.reason, now)
        self._schedule_planning()

    # Planning.

    def _timer_fired(self, fired: TimerFired) -> None:
        if fired.timer != TICK_TIMER or not self._ready:
            return
        run(self._refresh_authority(), self.name)
        run(self._read_time_of_day(), self.name)
        now = self.system.clock.seconds()
        _guard(self._term.engine.supervise, now)
        _guard(self._term.engine.throttle, now)
        _guard(self._term.workers.sweep)
        _guard(self._term.retention.sweep, now)
        _guard(self._report_advice_waits, now)
        _guard(self._unanswered_starts.log, now)
        if self._term.maintenance is not None:
            _guard(self._term.maintenance.advance, now)
        if self._term.pool_moves is not None:
            wall = now + self._unix_time_offset_s
            _guard(self._term.pool_moves.sample, now, wall)
            _guard(self._term.pool_moves.advance, now)
        self._schedule_planning()

    def _set_advice_gauges(self, waits: AdviceWaits) -> None:
        if waits == self._advice_waits:
            return
        self._advice_waits = waits
        self.tell(METRICS, SetGauge("advice_waiting_steps", waits.count))
        self.tell(METRICS, SetGauge("advice_longest_wait_seconds", waits.longest_s))

    def _report_advice_waits(self, now: float) -> None:
        waits = self._term.engine.advice_requests.waits(now)
        self._set_advice_gauges(waits)
        if waits.longest_s > ADVICE_WAIT_LOG_S and now >= self._log_advice_waits_at:
            self._log_advice_waits_at = now + ADVICE_WAIT_LOG_S
            _logger.info(
                "steps wait for advice",
                extra={
                    "job": waits.workflow_id,
                    "waited_s": round(waits.longest_s, 3),
                    "steps": waits.count,
                },
            )

    async def _read_time_of_day(self) -> None:
        unix_time_s = await self.ask(PEERS, GetTimeOfDay())
        self._unix_time_offset_s = unix_time_s - self.system.clock.seconds()

    def _schedule_planning(self) -> None:
        """Let a planning pass follow what the engine has been told.

        Stops that are decided already are sent now: passes are far apart while
        they take long, and until its stop a run holds capacity or, in a gang
        that cannot begin, waits for the others.
        """
        if not self._ready:
            return
        for effect in self._term.engine.take_effects():
            _guard(self._execute_effect, effect)
        if not self._plan_scheduled:
            self._plan_scheduled = True
            self.system.clock.callLater(self._plan_pause_s, self._plan)

    def _plan(self) -> None:
        self._plan_scheduled = False
        if not self._ready:
            return
        engine = self._term.engine
        now = self.system.clock.seconds()
        effects: list[Effect] = []
        wall = now + self._unix_time_offset_s
        may_plan = self._term.authority.valid
        if may_plan:
            effects += _guard(engine.plan, now, wall) or []
        effects += engine.take_effects()
        for effect in effects:
            _guard(self._execute_effect, effect)
        self._term.writer.schedule_write()
        _guard(self._waiting_report.check, engine, now, wall, may_plan)
        planning_s = self.system.clock.seconds() - now
        self._plan_pause_s = max(PLAN_DELAY_S, PLAN_PAUSE_RATIO * planning_s)

    def _execute_effect(self, effect: Effect) -> None:
        if isinstance(effect, StartRun):
            self._term.writer.add_start(effect)
        elif isinstance(effect, AskAdvice):
            self.tell(ADVISOR, effect)
        else:
            self._term.workers.send(effect)

    def _advice_given(self, message: AdviceGiven) -> None:
        if not self._ready:
            return
        now = self.system.clock.seconds()
        engine = self._term.engine
        outcome = engine.record_advice(message.request, message.tickets, now)
        self.tell(METRICS, IncrementCounter("advice_calls", (outcome,)))
        if message.tickets is not None:
            call_s = message.tickets.received_at - message.tickets.sent_at
            self.tell(METRICS, ObserveDuration("advice_call_seconds", (), call_s))
        self._schedule_planning()

    def _throttle_unanswered(self, message: ThrottleUnanswered) -> None:
        """Let the engine assume that the throttled run is at full speed.

        The throttle policy then sends the change of speed again.
        """
        if self._ready:
            self._term.engine.throttle_unanswered(message.run.key, message.run.run)


def _guard(action: Callable[..., Result], *arguments: Any) -> Result | None:
    """Run one of several independent actions and log an unexpected error.

    Returns:
        The result of the action, None if it failed.
    """
    try:
        return action(*arguments)
    except Exception:
        _logger.exception(
            "an action of the coordinator failed",
            extra={"action": getattr(action, "__qualname__", str(action))},
        )
        return None
