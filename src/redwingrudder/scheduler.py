"""Scheduling decisions of the owner of a failure domain.

The scheduler is a pure state machine: it takes typed events with the current
time and returns typed effects. It reads no clock and performs no input or
output.
"""

from ._scheduler_gangs import GangTable
from ._scheduler_jobs import JobTable
from ._scheduler_placing import Placer
from ._scheduler_recovery import Recovery
from ._scheduler_state import Context, GangStopCause, JobRecord, Timer, TimerKind
from ._scheduler_status import NO_EPOCH, domain_status, explain_job
from .fleet import Fleet
from .guarantees import CellTable
from .messages import (
    CancelRequested,
    ConfigurationChanged,
    Effect,
    Event,
    JobSubmitted,
    RecoveryEnded,
    ReleaseAnswered,
    ReserveAnswered,
    ScheduleWakeUp,
    ShortagesChanged,
    StartAnswered,
    StartRecordAnswered,
    TaskEnded,
    Tick,
    WorkerClaimed,
    WorkerDraining,
    WorkerLost,
)
from .model import Epoch, JobSpec, JobState, JobView
from .policies import PolicySet, QueueSize, Refusal
from .requests import DomainStatus, Explanation

# Minimum interval between placement passes while a new owner claims its
# workers, because each of these passes assigns the guaranteed cells again.
RECOVERY_PASS_INTERVAL_S = 0.1
# A job whose gang is being recovered does not expire, because a member that
# has not reported may have started. Expiry is checked again after this time.
EXPIRY_RECHECK_S = 1.0
# Retry delay given to callers whose job is refused without a configuration.
NO_CONFIGURATION_RETRY_S = 1.0


class Scheduler:
    """Schedules the jobs of one failure domain on its workers.

    Holds the job queue, the gangs, the cells that are assigned to guarantees
    and the resources in use on each worker.

    Args:
        failure_domain: Name of the domain whose workers are scheduled.
        policies: Policies for admission, order, placement, reclaim and
            worker health.
        guarantees: Cell table to use; None creates an empty one. Tests pass
            their own to inspect it.
    """

    def __init__(
        self,
        failure_domain: str,
        policies: PolicySet,
        guarantees: CellTable | None = None,
    ) -> None:
        cell_table = CellTable() if guarantees is None else guarantees
        self._context = Context(failure_domain, policies, cell_table)
        self._jobs = JobTable(self._context)
        self._gangs = GangTable(self._context, self._jobs)
        self._placer = Placer(self._context, self._jobs, self._gangs)
        self._recovery = Recovery(self._context, self._jobs, self._gangs)
        self._wake_up_at: float | None = None
        self._next_pass_at = 0.0
        self._handlers = {
            ConfigurationChanged: self._configuration_changed,
            WorkerClaimed: self._worker_claimed,
            WorkerLost: self._worker_lost,
            WorkerDraining: self._worker_draining,
            RecoveryEnded: self._recovery_ended,
            JobSubmitted: self._jobs.submit,
            CancelRequested: self._cancel_requested,
            ReserveAnswered: self._gangs.reserve_answered,
            StartRecordAnswered: self._gangs.start_record_answered,
            StartAnswered: self._gangs.start_answered,
            ReleaseAnswered: self._release_answered,
            TaskEnded: self._gangs.task_ended,
            Tick: self._tick,
        }

    @property
    def jobs_by_id(self) -> dict[str, JobRecord]:
        """Jobs by id; final ones are kept for ``FINAL_JOB_RETENTION_S``."""
        return self._jobs.jobs_by_id

    @property
    def fleet(self) -> Fleet:
        """Workers and the resources in use on them; callers only read it."""
        return self._context.fleet

    def set_owner(self, epoch: Epoch) -> None:
        """Set the epoch, which keeps gang ids of different owners apart."""
        self._context.owner = "-".join(map(str, epoch)) + "."

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event and run the timers and the placement that are due.

        Args:
            event: The event.
            now: Current time in seconds since the Unix epoch.

        Returns:
            The effects that the caller has to carry out, in order.
        """
        context = self._context
        context.now = now
        context.effects = []
        if context.created_at is None:
            context.created_at = now
        self._handlers[type(event)](event)
        self._run_due_timers()
        self._update_quarantine()
        self._run_placement()
        self._schedule_wake_up()
        return context.effects

    def admit(self, spec: JobSpec) -> Refusal | None:
        """Return why a job must be refused, or None to accept it."""
        context, jobs = self._context, self._jobs
        configuration = context.configuration
        if configuration is None:
            return Refusal(
                "no_configuration",
                "no configuration is in force",
                NO_CONFIGURATION_RETRY_S,
            )
        if spec.organisation not in configuration.organisations_by_name:
            detail = f"organisation {spec.organisation!r} is not configured"
            return Refusal("unknown_organisation", detail, None)
        if spec.job_class not in configuration.classes_by_name:
            detail = f"class {spec.job_class!r} is not configured"
            return Refusal("unknown_class", detail, None)
        group = (spec.organisation, spec.job_class)
        size = QueueSize(
            jobs.queued_total,
            jobs.queued_by_group[group],
            jobs.queued_by_caller[(*group, spec.caller)],
        )
        return context.policies.admission.admit(
            spec, size, context.fleet, configuration
        )

    def view(self, job_id: str) -> JobView | None:
        """Return the caller's view of a job, or None for an unknown job."""
        return self._jobs.view(job_id)

    def explain(self, job_id: str, now: float) -> Explanation:
        """Return the reasons for the state of a job at time ``now``."""
        self._context.now = now
        return explain_job(job_id, self._context, self._jobs, self._gangs, self._placer)

    def status(
        self, now: float, owner: str = "", epoch: Epoch = NO_EPOCH
    ) -> DomainStatus:
        """Return the status of the failure domain at time ``now``.

        Args:
            now: Current time in seconds since the Unix epoch.
            owner: Id of the owning node, which the dispatcher provides.
            epoch: Epoch of the owner, which the dispatcher provides.
        """
        self._context.now = now
        return domain_status(self._context, self._jobs, self._gangs, owner, epoch)

    def _configuration_changed(self, event: ConfigurationChanged) -> None:
        current = self._context.configuration
        if current is not None and event.configuration.version <= current.version:
            return
        self._context.configuration = event.configuration
        self._jobs.configuration_changed()
        self._fleet_changed()

    def _worker_claimed(self, event: WorkerClaimed) -> None:
        self._recovery.worker_claimed(event.report)
        self._fleet_changed()

    def _worker_lost(self, event: WorkerLost) -> None:
        self._gangs.worker_lost(event.worker_id, event.reason)
        self._context.fleet.remove_worker(event.worker_id)
        self._context.policies.health.forget(event.worker_id)
        self._fleet_changed()

    def _worker_draining(self, event: WorkerDraining) -> None:
        self._gangs.worker_draining(event.worker_id)

    def _recovery_ended(self, _event: RecoveryEnded) -> None:
        if not self._context.recovered:
            self._recovery.recovery_ended()
            self._fleet_changed()

    def _cancel_requested(self, event: CancelRequested) -> None:
        job = self._jobs.jobs_by_id.get(event.job_id)
        if job is None:
            return
        if job.gang_id is not None:
            self._gangs.cancel(job.gang_id, GangStopCause.CANCELLED)
        elif job.state == JobState.QUEUED:
            self._jobs.end_queued_job(job.job_id, "cancelled", "cancelled")

    def _release_answered(self, event: ReleaseAnswered) -> None:
        self._gangs.release_answered(event.gang_id, event.worker_id)

    def _tick(self, _event: Tick) -> None:
        self._wake_up_at = None

    def _fleet_changed(self) -> None:
        self._context.cells_changed = True
        self._context.resources_changed = True

    def _run_due_timers(self) -> None:
        timer = self._context.timers.pop_due(self._context.now)
        while timer is not None:
            self._handle_timer(timer)
            timer = self._context.timers.pop_due(self._context.now)

    def _handle_timer(self, timer: Timer) -> None:
        if timer.kind is TimerKind.EXPIRY:
            self._expire_job(timer.job_id)
        elif timer.kind is TimerKind.TARGET:
            self._jobs.check_target(timer.job_id)
        elif timer.kind is TimerKind.UNPARK:
            self._jobs.unpark(timer.job_id)
        elif timer.kind is TimerKind.FORGET:
            self._jobs.forget(timer.job_id)

    def _expire_job(self, job_id: str) -> None:
        job = self._jobs.jobs_by_id.get(job_id)
        if job is None or job.attempts or job.waits_for_recovery:
            return
        if self._gangs.is_recovering(job_id):
            recheck_at = self._context.now + EXPIRY_RECHECK_S
            self._context.timers.add(recheck_at, TimerKind.EXPIRY, job_id)
        elif job.state == JobState.QUEUED:
            self._jobs.end_queued_job(job_id, "refused", "expired")
        elif job.state == JobState.PLACING:
            gang = self._gangs.gangs_by_id[job.gang_id]
            if not gang.start_sent and gang.cause is GangStopCause.NONE:
                self._gangs.cancel(job.gang_id, GangStopCause.EXPIRED)

    def _update_quarantine(self) -> None:
        fleet = self._context.fleet
        quarantined = self._context.policies.health.quarantined(self._context.now)
        for worker_id in sorted(quarantined ^ self._context.quarantined):
            fleet.set_quarantined(worker_id, worker_id in quarantined)
            self._fleet_changed()
        self._context.quarantined = quarantined
        probes = self._context.policies.health.probes(self._context.now)
        if probes - self._context.probes:
            self._context.resources_changed = True
        self._context.probes = probes

    def _run_placement(self) -> None:
        context = self._context
        if context.configuration is None:
            return
        if not context.recovered and context.resources_changed:
            if context.now < self._next_pass_at:
                return
            self._next_pass_at = context.now + RECOVERY_PASS_INTERVAL_S
            context.timers.add(self._next_pass_at, TimerKind.PLACEMENT)
        if context.freed_workers and context.guarantees.shortages:
            context.cells_changed = True
        if context.cells_changed:
            context.cells_changed = False
            self._assign_cells()
        self._placer.run()

    def _assign_cells(self) -> None:
        context, cell_table = self._context, self._context.guarantees
        previous_shortages = cell_table.shortages
        cell_table.assign(
            context.configuration, context.failure_domain, context.fleet, context.now
        )
        if cell_table.shortages != previous_shortages:
            context.resources_changed = True
            context.emit(ShortagesChanged(cell_table.shortages))

    def _schedule_wake_up(self) -> None:
        context = self._context
        wake_up_times = [
            context.timers.next_at(),
            context.policies.health.next_probe_at(context.now),
        ]
        wake_up_at = min((at for at in wake_up_times if at is not None), default=None)
        if wake_up_at is not None and wake_up_at != self._wake_up_at:
            self._wake_up_at = wake_up_at
            context.emit(ScheduleWakeUp(wake_up_at))
