"""Gangs as instances of their state chart, with its actions."""

from collections import Counter

from ._scheduler_chart import GANG_CHART
from ._scheduler_jobs import JobTable
from ._scheduler_outcome import decide_ended, decide_released, may_retry
from ._scheduler_state import Context, GangRecord, GangStopCause, JobRecord
from .messages import (
    RecordStart,
    ReleaseMember,
    ReserveMember,
    StartMember,
    StopMember,
)


class GangLifecycle:
    """Fires events of the gang chart and carries out its actions.

    Attributes:
        gangs_by_id: Gangs that are not closed.
        reclaiming: Ids of the gangs in the state ``reclaiming``.
        recovering: Ids of the gangs in the state ``recovering``.
        running_count: Number of gangs in the state ``running``.
        held_by_class: Units in use by each job class. The key True has the
            accelerators of jobs that use accelerators, the key False the slots
            of all other jobs.
    """

    def __init__(self, context: Context, jobs: JobTable) -> None:
        self._context = context
        self._jobs = jobs
        self._serial = 0
        self.gangs_by_id: dict[str, GangRecord] = {}
        self.reclaiming: set[str] = set()
        self.recovering: set[str] = set()
        self.running_count = 0
        self.held_by_class: dict[bool, Counter[str]] = {
            False: Counter(),
            True: Counter(),
        }

    def fire(self, gang_id: str, event: str) -> None:
        """Fire an event of the chart for a gang and carry out the actions."""
        gang = self.gangs_by_id[gang_id]
        step = GANG_CHART.step(gang.state, event)
        self._count_running(gang.state, step.target)
        gang = gang._replace(state=step.target)
        self.gangs_by_id[gang_id] = gang
        if step.target != "reclaiming":
            self.reclaiming.discard(gang_id)
        if step.target != "recovering":
            self.recovering.discard(gang_id)
        for action in step.actions:
            getattr(self, f"_{action}")(self.gangs_by_id[gang_id])
        if step.target in GANG_CHART.final_states:
            self._count_held(self.gangs_by_id.pop(gang_id), -1)

    def advance(self, gang_id: str) -> None:
        """Fire the events that are due once all members confirmed a step."""
        gang = self.gangs_by_id.get(gang_id)
        if gang is None:
            return
        if gang.state == "reserving" and gang.all_reserved:
            event = "all_reserved" if gang.spec.idempotent else "all_reserved_once"
            self.fire(gang_id, event)
        elif gang.state == "starting" and gang.all_started:
            self.fire(gang_id, "all_started")
            self.advance(gang_id)
        elif gang.state in ("running", "stopping") and gang.all_ended:
            self.fire(gang_id, "all_ended")
        elif gang.state == "releasing" and gang.all_released:
            self.fire(gang_id, "all_released")

    def is_recovering(self, job_id: str) -> bool:
        """Whether a gang of the job still waits for reports of its members."""
        gangs = (self.gangs_by_id[gang_id] for gang_id in self.recovering)
        return any(gang.job_id == job_id for gang in gangs)

    def preempt(self, gang_id: str) -> None:
        """Checkpoint and stop a gang so that its job is queued again.

        Gangs that are not both preemptible and idempotent are left running.
        """
        gang = self.gangs_by_id.get(gang_id)
        if gang is None or not (gang.spec.preemptible and gang.spec.idempotent):
            return
        self.set_cause(gang_id, GangStopCause.PREEMPTED, "preempted")
        self.fire(gang_id, "preempt")
        self.advance(gang_id)

    def set_cause(self, gang_id: str, cause: GangStopCause, reason: str) -> None:
        """Set the reason why a gang will end, unless it already has one."""
        gang = self.gangs_by_id[gang_id]
        if gang.cause is GangStopCause.NONE:
            self.gangs_by_id[gang_id] = gang._replace(cause=cause, reason=reason)

    # Actions of gang.scxml; ``fire`` looks them up by name.

    def _reserve_members(self, gang: GangRecord) -> None:
        for member in gang.members_by_worker.values():
            self._context.emit(
                ReserveMember(
                    gang.gang_id,
                    gang.job_id,
                    gang.spec,
                    gang.submitted_at,
                    member,
                    gang.member_count,
                )
            )

    def _record_start(self, gang: GangRecord) -> None:
        self._context.emit(RecordStart(gang.gang_id, gang.job_id))

    def _start_members(self, gang: GangRecord) -> None:
        for worker_id in gang.members_by_worker:
            if worker_id not in gang.start_sent:
                gang.start_sent.add(worker_id)
                self._context.emit(StartMember(gang.gang_id, worker_id))
        started = gang._replace(started_at=self._context.now)
        self.gangs_by_id[gang.gang_id] = started
        self._count_attempt(gang)

    def _release_members(self, gang: GangRecord) -> None:
        # When a gang is closed, stopped members are released as well, because
        # their workers retain the results until then.
        for worker_id in gang.members_by_worker:
            skipped = (
                gang.released
                if gang.state == "closed"
                else gang.released | gang.stop_sent
            )
            if worker_id not in skipped:
                gang.stop_sent.add(worker_id)
                self._context.emit(ReleaseMember(gang.gang_id, worker_id))

    def _stop_members(self, gang: GangRecord) -> None:
        self._send_stops(gang, checkpoint=False)

    def _checkpoint_members(self, gang: GangRecord) -> None:
        self._send_stops(gang, checkpoint=True)

    def _stop_borrowers(self, gang: GangRecord) -> None:
        for borrower in gang.borrowers:
            self.preempt(borrower)

    def _report_started(self, gang: GangRecord) -> None:
        if self._current_job(gang) is not None:
            self._jobs.fire(gang.job_id, "gang_started", reason="")

    def _report_released(self, gang: GangRecord) -> None:
        for worker_id in gang.members_by_worker:
            self._context.release(gang.gang_id, worker_id)
        self._correct_service(gang, 0.0)
        job = self._current_job(gang)
        if job is not None:
            outcome = decide_released(gang, job, self._context.now)
            self._jobs.fire(job.job_id, outcome.event, **outcome.changes)

    def _report_ended(self, gang: GangRecord) -> None:
        now = self._context.now
        run_s = max(0.0, now - gang.started_at)
        self._correct_service(gang, run_s * service_units(gang))
        job = self._current_job(gang)
        if job is None:
            return
        job_class = gang.spec.job_class
        retries = self._jobs.retries_by_class
        retry_allowed = may_retry(
            job, self._jobs.first_attempts_by_class[job_class], retries[job_class]
        )
        outcome = decide_ended(gang, job, now, retry_allowed)
        if outcome.event == "succeeded" and not gang.recovered:
            self._context.policies.order.observe_run(gang.spec, run_s, now)
        elif outcome.event == "retry" and gang.cause is not GangStopCause.PREEMPTED:
            retries[job_class] += 1
        self._jobs.fire(job.job_id, outcome.event, **outcome.changes)

    def _correct_service(self, gang: GangRecord, service: float) -> None:
        """Replace the service charged in advance with the measured service."""
        order = self._context.policies.order
        order.observe_service(gang.spec, service - gang.charged, self._context.now)

    def _current_job(self, gang: GangRecord) -> JobRecord | None:
        job = self._jobs.jobs_by_id.get(gang.job_id)
        return job if job is not None and job.gang_id == gang.gang_id else None

    def _send_stops(self, gang: GangRecord, checkpoint: bool) -> None:
        for worker_id in gang.members_by_worker:
            if worker_id in gang.released | gang.stop_sent or gang.member_ended(
                worker_id
            ):
                continue
            gang.stop_sent.add(worker_id)
            if worker_id in gang.start_sent:
                stop = StopMember(gang.gang_id, worker_id, checkpoint)
                self._context.emit(stop)
            else:
                self._context.emit(ReleaseMember(gang.gang_id, worker_id))

    def _count_attempt(self, gang: GangRecord) -> None:
        job = self._current_job(gang)
        if job is None:
            return
        attempts = job.attempts + 1
        self._jobs.update(job.job_id, attempts=attempts, may_have_run=True)
        if job.attempts == 0:
            self._jobs.first_attempts_by_class[gang.spec.job_class] += 1

    def _count_held(self, gang: GangRecord, sign: int) -> None:
        """Add the units of a gang to ``held_by_class``, or subtract them."""
        spec = gang.spec
        accelerated = spec.accelerators_per_task > 0
        units = spec.accelerators if accelerated else spec.tasks
        self.held_by_class[accelerated][spec.job_class] += sign * units

    def _count_running(self, old: str, new: str) -> None:
        self.running_count += (new == "running") - (old == "running")


def service_units(gang: GangRecord) -> float:
    """Return the accelerators of a gang, or its tasks if there are more."""
    return float(max(gang.spec.accelerators, gang.spec.tasks))
