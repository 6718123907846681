"""The owner in the gang model: the rules of the scheduler for its charts."""

from ._scheduler_chart import GANG_CHART
from ._scheduler_jobs import CHART as JOB_CHART
from ._spec_common import Coverage
from ._spec_gang_types import (
    ABSENT,
    ALL_WORKERS,
    CLOSED,
    DONE,
    GANGS,
    RELEASE,
    RESERVE,
    RESERVED,
    START,
    STOP,
    STOPPED,
    WORKERS,
    Flaw,
    Gang,
    Owner,
    Scenario,
    replace_at,
)
from .exceptions import UnexpectedEventError


class OwnerStep:
    """Applies one event to an owner.

    The methods for events correspond to those of the scheduler.

    Attributes:
        owner: The owner, as the event leaves it.
        unexpected_event: Whether a chart did not list an event.
    """

    def __init__(self, coverage: Coverage, scenario: Scenario, owner: Owner) -> None:
        self._coverage = coverage
        self._scenario = scenario
        self.owner = owner
        self.unexpected_event = False

    # Events that the scheduler handles.

    def place(self, gang_id: int) -> None:
        """Create a gang for the queued job and reserve its members."""
        self._set_gang(gang_id, Gang(GANG_CHART.initial, ALL_WORKERS))
        self.fire_job("gang_created")
        self.owner = self.owner._replace(current_gang=gang_id)
        self._fire(gang_id, "placed")

    def cancel(self) -> None:
        """Cancel the job: stop its gang, or end it if it is queued."""
        gang_id = self.owner.current_gang
        if gang_id >= 0:
            self._update_gang(gang_id, cause="cancelled")
            self._fire(gang_id, "cancel")
            self._fire_completion(gang_id)
        elif self.owner.job == "queued":
            may_have_run = self.owner.may_have_run
            self.fire_job("outcome_lost" if may_have_run else "cancelled")

    def reserve_answered(self, gang_id: int, worker: int, accepted: bool) -> None:
        """Handle the reply of a worker to a reservation."""
        gang = self._find_gang(gang_id, worker)
        bit = 1 << worker
        if gang is None or gang.reserved & bit or gang.stop_sent:
            return
        if accepted:
            self._update_gang(gang_id, reserved=gang.reserved | bit)
            self._fire(gang_id, "member_reserved")
        else:
            self._update_gang(
                gang_id, released=gang.released | bit, cause=gang.cause or "refused"
            )
            self._fire(gang_id, "member_refused")
        self._fire_completion(gang_id)

    def start_recorded(self, gang_id: int, accepted: bool) -> None:
        """Handle the reply of the store to the write of a start record."""
        gang = self.owner.gangs[gang_id]
        if gang is None:
            return
        if accepted:
            self._fire(gang_id, "start_recorded")
        else:
            self._update_gang(gang_id, cause=gang.cause or "refused")
            self._fire(gang_id, "record_refused")
        self._fire_completion(gang_id)

    def start_answered(self, gang_id: int, worker: int, accepted: bool) -> None:
        """Handle the reply of a worker to a start."""
        gang = self._find_gang(gang_id, worker)
        bit = 1 << worker
        if gang is None or not gang.start_sent & bit or gang.started & bit:
            return
        if accepted:
            self._update_gang(gang_id, started=gang.started | bit)
            self._fire(gang_id, "member_started")
        else:
            self._update_gang(
                gang_id,
                start_sent=gang.start_sent & ~bit,
                stop_sent=gang.stop_sent & ~bit,
                cause=gang.cause or "lost",
            )
            self._fire(gang_id, "start_refused")
        self._fire_completion(gang_id)

    def release_answered(self, gang_id: int, worker: int) -> None:
        """Handle the confirmation that a worker holds nothing of the gang."""
        gang = self._find_gang(gang_id, worker)
        bit = 1 << worker
        if gang is None or not gang.stop_sent & bit or gang.start_sent & bit:
            return
        self._update_gang(gang_id, released=gang.released | bit)
        self._fire_completion(gang_id)

    def task_ended(self, gang_id: int, worker: int, succeeded: bool) -> None:
        """Handle the report of a worker that a task ended."""
        gang = self._find_gang(gang_id, worker)
        bit = 1 << worker
        if gang is None or not gang.start_sent & bit or gang.ended & bit:
            return
        self._update_gang(gang_id, ended=gang.ended | bit)
        if not gang.started & bit:
            self._update_gang(gang_id, started=gang.started | bit)
            self._fire(gang_id, "member_started")
        if succeeded:
            self._fire(gang_id, "task_ended")
        else:
            gang = self.owner.gangs[gang_id]
            self._update_gang(
                gang_id, failed=gang.failed | bit, cause=gang.cause or "lost"
            )
            self._fire(gang_id, "task_failed")
        self._fire_completion(gang_id)

    def worker_lost(self, worker: int) -> None:
        """Treat the members on a lost worker as released."""
        self.owner = self.owner._replace(
            claimed_workers=self.owner.claimed_workers & ~(1 << worker)
        )
        for gang_id, gang in enumerate(self.owner.gangs):
            if gang is not None and gang.members & ~gang.released & (1 << worker):
                self._lose_member(gang_id, gang, worker)

    def worker_draining(self, worker: int) -> None:
        """Release the gangs on a draining worker that have not started."""
        self.owner = self.owner._replace(drain_handled=True)
        for gang_id in GANGS:
            gang = self._find_gang(gang_id, worker)
            if gang is None:
                continue
            if not gang.start_sent:
                self._update_gang(gang_id, cause=gang.cause or "refused")
            self._fire(gang_id, "member_draining")
            self._fire_completion(gang_id)

    def worker_claimed(self, worker: int, members: tuple[str, ...]) -> None:
        """Handle the claim of a worker, with the states of its members."""
        self.owner = self.owner._replace(
            claimed_workers=self.owner.claimed_workers | 1 << worker
        )
        for gang_id, state in enumerate(members):
            if state not in (ABSENT, CLOSED):
                self._adopt_member(gang_id, worker, state)
        self._continue_gangs()

    def recovery_ended(self) -> None:
        """End the recovery: stop or release gangs not reported in full."""
        self.owner = self.owner._replace(recovered=True)
        self._continue_gangs()
        start_unreported = self.owner.start_recorded and self.owner.job_known
        if start_unreported and self.owner.job == "queued":
            self.fire_job("outcome_lost")

    def fire_job(self, event: str) -> None:
        """Raise an event of the job chart."""
        try:
            step = self._coverage.step(JOB_CHART, self.owner.job, event)
        except UnexpectedEventError:
            self.unexpected_event = True
            return
        current_gang = self.owner.current_gang
        if step.target in JOB_CHART.final_states or step.target == "queued":
            current_gang = -1
        self.owner = self.owner._replace(job=step.target, current_gang=current_gang)

    # Recovery rules, as in _scheduler_recovery.

    def _adopt_member(self, gang_id: int, worker: int, state: str) -> None:
        if not self.owner.job:
            self.owner = self.owner._replace(
                job=JOB_CHART.initial, may_have_run=self._scenario.idempotent
            )
        gang = self.owner.gangs[gang_id] or Gang(GANG_CHART.initial, 0)
        bit = 1 << worker
        started = state != RESERVED
        gang = gang._replace(
            members=gang.members | bit,
            released=gang.released & ~bit,
            stop_sent=gang.stop_sent & ~bit,
            reserved=gang.reserved | bit,
            started=gang.started | bit * started,
            start_sent=gang.start_sent & ~bit | bit * started,
            ended=gang.ended | bit * (state in (DONE, STOPPED)),
            failed=gang.failed | bit * (state == STOPPED),
        )
        self._set_gang(gang_id, gang)
        late_start = gang.state == "releasing" and started
        late_start = late_start and self._scenario.flaw is not Flaw.LATE_START_RELEASED
        self._fire(gang_id, "stop" if late_start else "reported")
        self._fire_completion(gang_id)

    def _continue_gangs(self) -> None:
        for gang_id, gang in enumerate(self.owner.gangs):
            recovering = gang is not None and gang.state == "recovering"
            if recovering and _can_continue(gang) and self._attach_to_job(gang_id):
                self._fire(gang_id, "roll_forward")
                self._fire_completion(gang_id)
        if self.owner.recovered:
            self._resolve_remaining()

    def _resolve_remaining(self) -> None:
        unresolved = [
            (not gang.start_sent, gang_id)
            for gang_id, gang in enumerate(self.owner.gangs)
            if gang is not None and gang.state == "recovering"
        ]
        for without_start, gang_id in sorted(unresolved):
            if without_start:
                self._roll_back(gang_id)
            else:
                self._attach_to_job(gang_id)
                self._fire(gang_id, "stop")
            self._fire_completion(gang_id)

    def _roll_back(self, gang_id: int) -> None:
        if not self.owner.job_known and self.owner.current_gang < 0:
            self.owner = self.owner._replace(job="")
        elif self._attach_to_job(gang_id) and self.owner.start_recorded:
            self._update_gang(gang_id, may_have_run=True)
        self._fire(gang_id, "roll_back")

    def _attach_to_job(self, gang_id: int) -> bool:
        if self.owner.job != "queued":
            return False
        self.fire_job("gang_created")
        self.owner = self.owner._replace(current_gang=gang_id)
        return True

    # The gang chart and its actions, called by name in _fire.

    def _fire(self, gang_id: int, event: str) -> None:
        gang = self.owner.gangs[gang_id]
        try:
            step = self._coverage.step(GANG_CHART, gang.state, event)
        except UnexpectedEventError:
            self.unexpected_event = True
            return
        self._update_gang(gang_id, state=step.target)
        for action in step.actions:
            getattr(self, f"_{action}")(gang_id)
        if step.target in GANG_CHART.final_states:
            self._set_gang(gang_id, None)

    def _fire_completion(self, gang_id: int) -> None:
        gang = self.owner.gangs[gang_id]
        if gang is None:
            return
        premature = self._scenario.flaw is Flaw.START_EARLY and gang.reserved
        if gang.state == "reserving" and (premature or gang.reserved == ALL_WORKERS):
            without_record = self._scenario.flaw is Flaw.NO_START_RECORD
            needs_record = not self._scenario.idempotent and not without_record
            self._fire(gang_id, "all_reserved_once" if needs_record else "all_reserved")
        elif gang.state == "starting" and gang.started == ALL_WORKERS:
            self._fire(gang_id, "all_started")
            self._fire_completion(gang_id)
        elif gang.state in ("running", "stopping"):
            if not gang.members & ~(gang.released | gang.ended):
                self._fire(gang_id, "all_ended")
        elif gang.state == "releasing" and not gang.members & ~gang.released:
            self._fire(gang_id, "all_released")

    def _reserve_members(self, gang_id: int) -> None:
        for worker in WORKERS:
            self._command(gang_id, worker, RESERVE)

    def _record_start(self, gang_id: int) -> None:
        self.owner = self.owner._replace(start_write="sent")

    def _start_members(self, gang_id: int) -> None:
        for worker in WORKERS:
            gang = self.owner.gangs[gang_id]
            if gang.members & ~gang.start_sent & (1 << worker):
                self._update_gang(gang_id, start_sent=gang.start_sent | 1 << worker)
                self._command(gang_id, worker, START)
        if self.owner.current_gang == gang_id:
            self.owner = self.owner._replace(may_have_run=True)

    def _release_members(self, gang_id: int) -> None:
        for worker in WORKERS:
            gang = self.owner.gangs[gang_id]
            if gang.members & ~(gang.released | gang.stop_sent) & (1 << worker):
                self._update_gang(gang_id, stop_sent=gang.stop_sent | 1 << worker)
                self._command(gang_id, worker, RELEASE)

    def _stop_members(self, gang_id: int) -> None:
        for worker in WORKERS:
            gang = self.owner.gangs[gang_id]
            bit = 1 << worker
            if gang.members & ~(gang.released | gang.stop_sent | gang.ended) & bit:
                self._update_gang(gang_id, stop_sent=gang.stop_sent | bit)
                sent = gang.start_sent & bit
                self._command(gang_id, worker, STOP if sent else RELEASE)

    def _report_started(self, gang_id: int) -> None:
        if self.owner.current_gang == gang_id:
            self.fire_job("gang_started")

    def _report_released(self, gang_id: int) -> None:
        if self.owner.current_gang != gang_id:
            return
        gang = self.owner.gangs[gang_id]
        if gang.may_have_run:
            self.fire_job("outcome_lost")
        elif gang.cause == "cancelled":
            may_have_run = self.owner.may_have_run
            self.fire_job("outcome_lost" if may_have_run else "cancelled")
        else:
            self.fire_job("gang_released")

    def _report_ended(self, gang_id: int) -> None:
        if self.owner.current_gang != gang_id:
            return
        gang = self.owner.gangs[gang_id]
        premature = self._scenario.flaw is Flaw.NOT_RUN_EARLY and not gang.started
        if gang.ended == ALL_WORKERS and not gang.failed:
            self.fire_job("succeeded")
        elif gang.cause == "cancelled":
            self.fire_job("cancelled" if premature else "outcome_lost")
        elif self._scenario.idempotent and self.owner.job_known:
            self.fire_job("retry")
        else:
            self.fire_job("outcome_lost")

    # Helpers.

    def _lose_member(self, gang_id: int, gang: Gang, worker: int) -> None:
        bit = 1 << worker
        queues = replace_at(gang.queues, worker, ())
        self._update_gang(gang_id, released=gang.released | bit, queues=queues)
        if not gang.ended & bit:
            self._update_gang(gang_id, cause=gang.cause or "lost")
            self._fire(gang_id, "member_lost")
        self._fire_completion(gang_id)

    def _command(self, gang_id: int, worker: int, command: str) -> None:
        gang = self.owner.gangs[gang_id]
        # A command to a lost worker is dropped: worker_lost already treats its
        # member as released.
        if self.owner.claimed_workers & 1 << worker:
            queue = (*gang.queues[worker], command)
            self._update_gang(gang_id, queues=replace_at(gang.queues, worker, queue))

    def _find_gang(self, gang_id: int, worker: int) -> Gang | None:
        gang = self.owner.gangs[gang_id]
        if gang is None or not gang.members & ~gang.released & (1 << worker):
            return None
        return gang

    def _update_gang(self, gang_id: int, **changes: object) -> None:
        gang = self.owner.gangs[gang_id]
        self._set_gang(gang_id, gang._replace(**changes))

    def _set_gang(self, gang_id: int, gang: Gang | None) -> None:
        gangs = replace_at(self.owner.gangs, gang_id, gang)
        self.owner = self.owner._replace(gangs=gangs)


def _can_continue(gang: Gang) -> bool:
    complete = gang.members == ALL_WORKERS and not gang.released
    return bool(gang.start_sent and complete and not gang.cause and not gang.failed)
