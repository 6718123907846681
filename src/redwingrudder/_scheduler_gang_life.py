"""The state chart of a gang with its actions."""

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
    """Gangs by id; raises the chart's events and carries out its actions."""

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
        """Raise an event of the chart and carry out its actions."""
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

    def settle(self, gang_id: str) -> None:
        """Raise the chart's events that follow from the confirmed facts."""
        gang = self.gangs_by_id.get(gang_id)
        if gang is None:
            return
        if gang.state == "reserving" and gang.all_reserved:
            once = "all_reserved" if gang.spec.idempotent else "all_reserved_once"
            self.fire(gang_id, once)
        elif gang.state == "starting" and gang.all_started:
            self.fire(gang_id, "all_started")
            self.settle(gang_id)
        elif gang.state in ("running", "stopping") and gang.all_ended:
            self.fire(gang_id, "all_ended")
        elif gang.state == "releasing" and gang.all_released:
            self.fire(gang_id, "all_released")

    def is_recovering(self, job_id: str) -> bool:
        """Whether members of a job's gang may not have reported yet."""
        gangs = (self.gangs_by_id[gang_id] for gang_id in self.recovering)
        return any(gang.job_id == job_id for gang in gangs)

    def preempt(self, gang_id: str) -> None:
        """Checkpoint and stop a gang whose job is queued again."""
        gang = self.gangs_by_id.get(gang_id)
        if gang is None or not (gang.spec.preemptible and gang.spec.idempotent):
            return
        self.set_cause(gang_id, GangStopCause.PREEMPTED, "preempted")
        self.fire(gang_id, "preempt")
        self.settle(gang_id)

    def set_cause(self, gang_id: str, cause: GangStopCause, reason: str) -> None:
        """Note why a gang will end; the first cause stands."""
        gang = self.gangs_by_id[gang_id]
        if gang.cause is GangStopCause.NONE:
            self.gangs_by_id[gang_id] = gang._replace(cause=cause, reason=reason)

    # Actions of gang.scxml.

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
        for worker_id in gang.members_by_worker:
            done = gang.gone if gang.state == "closed" else gang.gone | gang.asked
            if worker_id not in done:
                gang.asked.add(worker_id)
                self._context.emit(ReleaseMember(gang.gang_id, worker_id))

    def _stop_members(self, gang: GangRecord) -> None:
        self._stop(gang, checkpoint=False)

    def _checkpoint_members(self, gang: GangRecord) -> None:
        self._stop(gang, checkpoint=True)

    def _stop_borrowers(self, gang: GangRecord) -> None:
        for borrower in gang.borrowers:
            self.preempt(borrower)

    def _report_started(self, gang: GangRecord) -> None:
        if self._job_of(gang) is not None:
            self._jobs.fire(gang.job_id, "gang_started", reason="")

    def _report_released(self, gang: GangRecord) -> None:
        for worker_id in gang.members_by_worker:
            self._context.release(gang.gang_id, worker_id)
        self._account(gang, 0.0)
        job = self._job_of(gang)
        if job is not None:
            outcome = decide_released(gang, job, self._context.now)
            self._jobs.fire(job.job_id, outcome.event, **outcome.changes)

    def _report_ended(self, gang: GangRecord) -> None:
        now = self._context.now
        run_s = max(0.0, now - gang.started_at)
        self._account(gang, run_s * service_units(gang))
        job = self._job_of(gang)
        if job is None:
            return
        name = gang.spec.job_class
        retries = self._jobs.retries_by_class
        allowed = may_retry(
            job, self._jobs.first_attempts_by_class[name], retries[name]
        )
        outcome = decide_ended(gang, job, now, allowed)
        if outcome.event == "succeeded" and not gang.recovered:
            self._context.policies.order.observe_run(gang.spec, run_s, now)
        elif outcome.event == "retry" and gang.cause is not GangStopCause.PREEMPTED:
            retries[name] += 1
        self._jobs.fire(job.job_id, outcome.event, **outcome.changes)

    def _account(self, gang: GangRecord, service: float) -> None:
        """Replace the charged service by the measured one."""
        order = self._context.policies.order
        order.observe_service(gang.spec, service - gang.charged, self._context.now)

    def _job_of(self, gang: GangRecord) -> JobRecord | None:
        job = self._jobs.jobs_by_id.get(gang.job_id)
        return job if job is not None and job.gang_id == gang.gang_id else None

    def _stop(self, gang: GangRecord, checkpoint: bool) -> None:
        for worker_id in gang.members_by_worker:
            if worker_id in gang.gone | gang.asked or gang.member_ended(worker_id):
                continue
            gang.asked.add(worker_id)
            if worker_id in gang.start_sent:
                stop = StopMember(gang.gang_id, worker_id, checkpoint)
                self._context.emit(stop)
            else:
                self._context.emit(ReleaseMember(gang.gang_id, worker_id))

    def _count_attempt(self, gang: GangRecord) -> None:
        job = self._job_of(gang)
        if job is None:
            return
        attempts = job.attempts + 1
        self._jobs.update(job.job_id, attempts=attempts, may_have_run=True)
        if job.attempts == 0:
            self._jobs.first_attempts_by_class[gang.spec.job_class] += 1

    def _count_held(self, gang: GangRecord, sign: int) -> None:
        """Count accelerators by class, and slots of work without them."""
        spec = gang.spec
        accelerated = spec.accelerators_per_task > 0
        units = spec.accelerators if accelerated else spec.tasks
        self.held_by_class[accelerated][spec.job_class] += sign * units

    def _count_running(self, old: str, new: str) -> None:
        self.running_count += (new == "running") - (old == "running")


def service_units(gang: GangRecord) -> float:
    """Return the accelerators of a gang, at least one for each task."""
    return float(max(gang.spec.accelerators, gang.spec.tasks))
