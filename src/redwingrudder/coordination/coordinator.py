"""The coordinator: runs the engine while this node leads."""

import logging
import time
from collections.abc import Callable

from .._background import pause, run
from .._store_requests import KeyValue
from ..actors import Actor, ActorSystem, Handler
from ..exceptions import RedwingrudderError
from ..timers import TIMERS, Subscribe, TimerFired, Unsubscribe
from ..workflows.model import AskAdvice, Effect, StartRun, WorkflowState
from .gateways import (
    ADVISOR,
    CANCEL_SUFFIX,
    COORDINATOR,
    INTAKE_PREFIX,
    LEADERSHIP,
    PEERS,
    Change,
    FleetGateways,
    not_coordinator,
)
from .leadership import boot_clock
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
    Resign,
    StartSettled,
    ThrottleUnanswered,
    WorkerLeaseLapsed,
    WorkerPolled,
    WorkerSilent,
    WorkflowStored,
)
from .metrics import METRICS, IncrementCounter, SetGauge
from .peers import GetTimeOfDay, ListPeers
from .recovery import (
    accept_stored,
    cancel_all,
    read_state,
    restore_all,
    workflow_id_of,
)
from .term import Term, open_term
from .watching import follow_prefix

PLAN_DELAY_S = 0.005  # collects events that arrive together
# Pause after a planning pass, as a multiple of what the pass took: under load
# at most a third of the node's time goes into planning.
PLAN_PAUSE_FACTOR = 2.0
TICK_S = 0.2
RETRY_S = 0.25
# A coordinator that could not read the state for this long resigns, as other
# nodes may have a better way to the store.
RECOVERY_LIMIT_S = 4.0

_logger = logging.getLogger(__name__)


class Coordinator(Actor):
    """Feeds the engine and carries out its effects; idle unless leading.

    Args:
        system: The node's actors.
        fleet: What the coordinator needs of the platform.
    """

    def __init__(self, system: ActorSystem, fleet: FleetGateways) -> None:
        self._fleet = fleet
        self._term: Term | None = None
        self._ready = False
        self._confirmed_until = 0.0
        self._may_act = True
        self._plan_scheduled = False
        self._plan_pause_s = PLAN_DELAY_S
        self._guaranteed: dict[str, int] = {}
        # Time of day less the steady clock.
        self._wall_offset = time.time() - system.clock.seconds()
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
            WorkerPolled: self._worker_polled,
            WorkerSilent: self._worker_silent,
            WorkerLeaseLapsed: self._worker_lapsed,
            StartSettled: self._start_settled,
            TimerFired: self._timer_fired,
            ThrottleUnanswered: self._throttle_unanswered,
            AdviceGiven: self._advice_given,
        }

    def stop(self) -> None:
        """Close the sessions of the term."""
        self._close_term()

    # Terms.

    async def _begin(self, message: BeginTerm) -> None:
        """Take over: read the records, then ask the workers what runs."""
        self._close_term()
        term = open_term(
            self.system, self._fleet, message, self._guaranteed, self._deposed
        )
        self._term = term
        self.tell(METRICS, SetGauge("coordinator", 1.0))
        _logger.info("term began", extra={"term": term.number})
        give_up_at = self.system.clock.seconds() + RECOVERY_LIMIT_S
        while self._term is term:
            try:
                await self._recover(term)
                return
            except RedwingrudderError as error:
                _logger.warning("recovery failed", extra={"error": str(error)})
                if self.system.clock.seconds() > give_up_at:
                    self.tell(LEADERSHIP, Resign("recovery failed"))
                    return
                await pause(self.system.clock, RETRY_S)

    async def _recover(self, term: Term) -> None:
        state = await read_state(self.ask, self._fleet.registry.prefix)
        if self._term is not term:
            return
        now = self.system.clock.seconds()
        placed = restore_all(term.engine, term.recorder, state, now)
        term.workers.set_all_entries({p.key: p.value for p in state.workers.pairs})
        for placed_run in placed:
            term.workers.adopt(placed_run)
        cancel_all(term.engine, state, now)
        self._ready = True
        _logger.info(
            "state recovered",
            extra={
                "term": term.number,
                "jobs": len(term.engine.workflows_by_id),
                "workers": term.workers.count,
                "placed_runs": len(placed),
            },
        )
        self._follow(
            term,
            self._fleet.registry.prefix,
            state.workers.revision,
            self._apply_entries,
            self._replace_entries,
        )
        self._follow(
            term,
            INTAKE_PREFIX,
            state.intake.revision,
            self._take_all_intake,
            self._take_all_intake,
        )
        self.tell(TIMERS, Subscribe(self.name, "tick", TICK_S, TICK_S))
        self._plan_soon()

    def _follow(
        self,
        term: Term,
        prefix: str,
        revision: int,
        apply: Callable[[tuple[Change, ...]], None],
        replace: Callable[[tuple[KeyValue, ...]], None],
    ) -> None:
        """Follow a prefix for as long as the term lasts."""
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

    def _end(self, message: EndTerm) -> None:
        number = self._term.number if self._term is not None else 0
        _logger.info("term ended", extra={"term": number, "reason": message.reason})
        self.tell(METRICS, SetGauge("coordinator", 0.0))
        self.tell(TIMERS, Unsubscribe(self.name, "tick"))
        self._close_term()

    def _close_term(self) -> None:
        term, self._term = self._term, None
        self._ready = False
        if term is not None:
            term.close()

    def _deposed(self) -> None:
        self._ready = False
        self.tell(LEADERSHIP, Fenced("store"))

    def _confirm(self, message: LeaseConfirmed) -> None:
        self._confirmed_until = max(self._confirmed_until, message.until)

    def _configure(self, message: ConfigurationInForce) -> None:
        self._guaranteed = message.configuration.guaranteed_by_organisation
        if self._term is not None:
            self._term.engine.guaranteed_by_organisation = self._guaranteed
        self._plan_soon()

    async def _check_authority(self) -> None:
        """Stop extending leases when a successor may exist.

        While the store is down for most nodes, none can have been elected.
        """
        allowed = boot_clock() < self._confirmed_until
        if not allowed:
            view = await self.ask(PEERS, ListPeers())
            allowed = view.store_is_down
        if allowed != self._may_act:
            self._may_act = allowed
            _logger.warning("authority changed", extra={"allowed": allowed})
            if self._term is not None:
                self._term.workers.allow_leases(allowed)

    # Submissions and cancellations.

    def _take_all_intake(self, items: tuple[Change | KeyValue, ...]) -> None:
        for item in items:
            self._take_intake(item.key, item.value)

    def _take_intake(self, key: str, value: str | None) -> None:
        if value is None:
            return
        if key.endswith(CANCEL_SUFFIX):
            self._cancel_stored(CancelStored(workflow_id_of(key)))
        else:
            self._workflow_stored(WorkflowStored(workflow_id_of(key), value))

    def _workflow_stored(self, message: WorkflowStored) -> None:
        if not self._ready:
            return
        now = self.system.clock.seconds()
        if accept_stored(self._term.engine, message.workflow_id, message.document, now):
            self._plan_soon()

    def _cancel_stored(self, message: CancelStored) -> None:
        if self._ready:
            now = self.system.clock.seconds()
            self._term.engine.cancel(message.workflow_id, now)
            self._plan_soon()

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
            self._term.workers.set_entry(change.key, change.value)
        self._plan_soon()

    def _replace_entries(self, pairs: tuple[KeyValue, ...]) -> None:
        self._term.workers.set_all_entries({pair.key: pair.value for pair in pairs})
        self._plan_soon()

    def _worker_polled(self, message: WorkerPolled) -> None:
        if self._ready:
            self._term.workers.take_report(message)
            self._plan_soon()

    def _worker_silent(self, message: WorkerSilent) -> None:
        if self._ready:
            self._term.workers.set_silent(message.worker_id)

    def _worker_lapsed(self, message: WorkerLeaseLapsed) -> None:
        if self._ready:
            self._term.workers.set_lapsed(message.worker_id)
            self._plan_soon()

    def _start_settled(self, message: StartSettled) -> None:
        start, reply = message.run, message.reply
        outcome = "accepted" if reply.accepted else reply.reason
        self.tell(METRICS, IncrementCounter("starts", (outcome,)))
        if not self._ready:
            return
        now = self.system.clock.seconds()
        if reply.accepted:
            self._term.engine.start_confirmed(start.key, start.run, now)
        else:
            self._term.engine.start_rejected(start.key, start.run, reply.reason, now)
        self._plan_soon()

    # Planning.

    def _timer_fired(self, fired: TimerFired) -> None:
        if fired.timer != "tick" or not self._ready:
            return
        run(self._check_authority(), self.name)
        run(self._read_time_of_day(), self.name)
        now = self.system.clock.seconds()
        self._term.engine.supervise(now)
        self._term.engine.throttle(now)
        self._term.workers.sweep()
        self._term.retention.sweep(now)
        if self._term.maintenance is not None:
            self._term.maintenance.advance(now)
        self._plan_soon()

    async def _read_time_of_day(self) -> None:
        wall = await self.ask(PEERS, GetTimeOfDay())
        self._wall_offset = wall - self.system.clock.seconds()

    def _plan_soon(self) -> None:
        if self._ready and not self._plan_scheduled:
            self._plan_scheduled = True
            self.system.clock.callLater(self._plan_pause_s, self._plan)

    def _plan(self) -> None:
        self._plan_scheduled = False
        if not self._ready:
            return
        engine = self._term.engine
        now = self.system.clock.seconds()
        if self._may_act:
            effects = engine.plan(now, now + self._wall_offset)
        else:
            effects = engine.take_effects()
        for effect in effects:
            self._carry_out(effect)
        self._term.writer.write_soon()
        spent_s = self.system.clock.seconds() - now
        self._plan_pause_s = max(PLAN_DELAY_S, PLAN_PAUSE_FACTOR * spent_s)

    def _carry_out(self, effect: Effect) -> None:
        if isinstance(effect, StartRun):
            self._term.writer.add_start(effect)
        elif isinstance(effect, AskAdvice):
            self.tell(ADVISOR, effect)
        else:
            self._term.workers.send(effect)

    def _advice_given(self, message: AdviceGiven) -> None:
        if not self._ready:
            return
        tickets, valid_s = message.advice or (None, 0.0)
        self._term.engine.record_advice(
            message.question, tickets, valid_s, message.asked_at
        )
        self._plan_soon()

    def _throttle_unanswered(self, message: ThrottleUnanswered) -> None:
        """Assume full speed again, so that the policy repeats the change."""
        if self._ready:
            self._term.engine.throttle_unanswered(message.run.key, message.run.run)
