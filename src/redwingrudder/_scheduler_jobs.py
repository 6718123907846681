"""Jobs of the domain: state chart, queue, targets and counts."""

import datetime
from collections import Counter

from ._scheduler_queue import JobQueue
from ._scheduler_state import Context, JobRecord, TimerKind
from .messages import JobChanged, JobSubmitted, TargetMissed
from .model import FINAL_JOB_STATES, JobClass, JobSpec, JobState, JobView, MemberReport
from .policies import QueuedJob
from .statecharts import load_chart

EVENTS = frozenset(
    {
        "submitted",
        "gang_created",
        "gang_started",
        "gang_released",
        "retry",
        "succeeded",
        "failed",
        "cancelled",
        "refused",
        "outcome_lost",
    }
)
ACTIONS = frozenset({"enqueue", "dequeue", "report"})
CHART = load_chart("job", EVENTS, ACTIONS)

# Workers retain results for 10 minutes. Older jobs are read from the store.
FINAL_JOB_RETENTION_S = 600.0


class JobTable:
    """The jobs of the failure domain that this owner keeps in memory.

    Attributes:
        new_job_ids: Jobs queued since the last placement pass.
        waiting_for_recovery: Jobs that are queued only after recovery,
            because a worker that has not reported may run them.
        counts_by_class: For each class, the number of jobs by state, and the
            numbers of jobs submitted and of targets met and missed.
        queued_by_group: Queued jobs by organisation and class.
        queued_by_caller: Queued jobs by organisation, class and caller.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.jobs_by_id: dict[str, JobRecord] = {}
        self.queue = JobQueue()
        self.new_job_ids: list[str] = []
        self.waiting_for_recovery: set[str] = set()
        self.counts_by_class: dict[str, Counter[str]] = {}
        self.queued_by_group: Counter[tuple[str, str]] = Counter()
        self.queued_by_caller: Counter[tuple[str, str, str]] = Counter()
        self.retries_by_class: Counter[str] = Counter()
        self.first_attempts_by_class: Counter[str] = Counter()
        self._actions = {
            "enqueue": self._enqueue,
            "dequeue": self._dequeue,
            "report": self._report,
        }

    @property
    def queued_total(self) -> int:
        """Number of queued jobs."""
        return self.queued_by_group.total()

    def submit(self, event: JobSubmitted) -> None:
        """Add a job accepted by this owner or by a previous one."""
        job = self.jobs_by_id.get(event.job_id)
        if job is not None:
            self._merge(job, event)
            return
        context = self._context
        predates_owner = event.submitted_at < (context.created_at or 0.0)
        may_have_started = event.start_recorded or (
            predates_owner and event.spec.idempotent
        )
        job = JobRecord(
            event.job_id,
            event.spec,
            event.submitted_at,
            CHART.initial,
            submitted=True,
            recorded=event.recorded,
            start_recorded=event.start_recorded,
            may_have_run=may_have_started,
            waits_for_recovery=may_have_started and not context.recovered,
        )
        self._add(job)
        if context.recovered and event.start_recorded:
            self.fire(job.job_id, "outcome_lost", reason="start_recorded")
        else:
            self.fire(job.job_id, "submitted")

    def add_reported(self, report: MemberReport) -> None:
        """Add a job that is known only from the report of a worker."""
        self._add(
            JobRecord(
                report.job_id,
                report.spec,
                report.submitted_at,
                CHART.initial,
                submitted=False,
                recorded=False,
                start_recorded=False,
                may_have_run=True,
            )
        )

    def remove_reported(self, job_id: str) -> None:
        """Remove a job that is known only from a report and never ran."""
        job = self.jobs_by_id.pop(job_id)
        self._add_to_counts(job, -1)
        self._class_counts(job)["submitted"] -= 1

    def fire(self, job_id: str, event: str, **changes: object) -> None:
        """Fire an event of the job chart and carry out the actions.

        Args:
            job_id: The job.
            event: Event of ``job.scxml``.
            **changes: Fields of the job record to change.
        """
        job = self.jobs_by_id[job_id]
        step = CHART.step(job.state, event)
        changed = job._replace(state=step.target, **changes)
        if step.target in CHART.final_states:
            changed = self._finish(changed)
        self.jobs_by_id[job_id] = changed
        self._add_to_counts(job, -1)
        self._add_to_counts(changed, 1)
        for action in step.actions:
            self._actions[action](changed)

    def update(self, job_id: str, **changes: object) -> JobRecord:
        """Change fields of a job record other than its state."""
        job = self.jobs_by_id[job_id]._replace(**changes)
        self.jobs_by_id[job_id] = job
        return job

    def end_queued_job(self, job_id: str, event: str, reason: str) -> None:
        """End a queued job with an event of the chart.

        A job that may have run ends as ``interrupted`` instead, since
        ``not_run`` promises that it never started.
        """
        if self.jobs_by_id[job_id].may_have_run:
            event = "outcome_lost"
        self.fire(job_id, event, reason=reason)

    def recovery_ended(self) -> None:
        """Queue or end the jobs that waited for the reports of all workers."""
        waiting_job_ids = sorted(self.waiting_for_recovery)
        self.waiting_for_recovery.clear()
        for job_id in waiting_job_ids:
            job = self.jobs_by_id[job_id]
            if job.state != JobState.QUEUED:
                continue
            if job.start_recorded:
                self.fire(job_id, "outcome_lost", reason="start_recorded")
            else:
                self._enqueue(self.update(job_id, waits_for_recovery=False))

    def configuration_changed(self) -> None:
        """Apply the new classes and refuse queued jobs without a class."""
        self._rebuild_lanes()
        for job in list(self.jobs_by_id.values()):
            if job.state in FINAL_JOB_STATES:
                continue
            if self._class_of(job.spec) not in (None, job.job_class):
                self._set_target(job)
            elif job.job_class is None and job.job_id in self.queue:
                self._refuse_if_unconfigured(job.job_id)

    def _rebuild_lanes(self) -> None:
        """Rebuild the queue if the set of organisations with cells changed."""
        context = self._context
        cell_owners = frozenset(
            cell.organisation
            for cell in context.configuration.cells
            if cell.failure_domain == context.failure_domain
        )
        if cell_owners == self.queue.cell_owners:
            return
        job_ids = self.queue.pop_all()
        self.queue.cell_owners = cell_owners
        for job_id in job_ids:
            self.queue.add(self.jobs_by_id[job_id])

    def queued_job(self, job_id: str) -> QueuedJob:
        """Return the view of a queued job that policies work with."""
        job = self.jobs_by_id[job_id]
        return QueuedJob(
            job_id,
            job.spec,
            job.job_class,
            job.submitted_at,
            job.target_at,
            self._context.policies.order.expected_run_s(job.spec),
            job.attempts,
        )

    def unpark(self, job_id: str) -> None:
        """Queue a job again whose delay or worker avoidance has expired."""
        job = self.jobs_by_id.get(job_id)
        if job is None or job.state != JobState.QUEUED:
            return
        self.queue.remove(job_id)
        if job.avoided and job.avoided_until <= self._context.now:
            job = self.update(job_id, avoided=frozenset())
        self._enqueue(job)

    def check_target(self, job_id: str) -> None:
        """Report a target that can no longer be met, or check it later."""
        job = self.jobs_by_id.get(job_id)
        if job is None or job.target_missed or job.state in FINAL_JOB_STATES:
            return
        target_miss_at = self._target_miss_at(job)
        if target_miss_at > self._context.now:
            self._context.timers.add(target_miss_at, TimerKind.TARGET, job_id)
            return
        self.update(job_id, target_missed=True)
        spec = job.spec
        self._context.emit(TargetMissed(job_id, spec.organisation, spec.job_class))

    def forget(self, job_id: str) -> None:
        """Remove a final job after its retention time."""
        job = self.jobs_by_id.get(job_id)
        if job is not None and job.state in FINAL_JOB_STATES:
            del self.jobs_by_id[job_id]

    def view(self, job_id: str) -> JobView | None:
        """Return the caller's view of a job, or None for an unknown job."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            return None
        return JobView(
            job_id,
            job.spec.organisation,
            job.spec.job_class,
            JobState(job.state),
            job.reason,
            job.recorded,
            job.target_missed,
            job.submitted_at,
            job.finished_at,
            job.results,
        )

    def _merge(self, job: JobRecord, event: JobSubmitted) -> None:
        # A non-idempotent job whose start was never recorded has never run.
        may_have_run = job.may_have_run and (job.submitted or job.spec.idempotent)
        job = self.update(
            job.job_id,
            submitted=True,
            recorded=job.recorded or event.recorded,
            start_recorded=job.start_recorded or event.start_recorded,
            may_have_run=may_have_run or event.start_recorded,
        )
        if job.state in FINAL_JOB_STATES:
            # The job ended during recovery; its stored record may be open.
            self._report(job)

    def _add(self, job: JobRecord) -> None:
        self.jobs_by_id[job.job_id] = job
        self._add_to_counts(job, 1)
        self._class_counts(job)["submitted"] += 1
        self._set_target(job)
        if job.spec.expire_s > 0:
            expires_at = job.submitted_at + job.spec.expire_s
            self._context.timers.add(expires_at, TimerKind.EXPIRY, job.job_id)

    def _class_of(self, spec: JobSpec) -> JobClass | None:
        configuration = self._context.configuration
        if configuration is None:
            return None
        return configuration.classes_by_name.get(spec.job_class)

    def _set_target(self, job: JobRecord) -> None:
        job_class = self._class_of(job.spec)
        if job_class is None:
            return
        target_at = find_target(job_class, job.submitted_at)
        job = self.update(job.job_id, job_class=job_class, target_at=target_at)
        self.check_target(job.job_id)

    def _refuse_if_unconfigured(self, job_id: str) -> bool:
        configuration = self._context.configuration
        if configuration is None:
            return False
        job = self.jobs_by_id[job_id]
        reason = ""
        if job.spec.organisation not in configuration.organisations_by_name:
            reason = "unknown_organisation"
        elif job.job_class is None:
            reason = "unknown_class"
        if reason:
            self.end_queued_job(job_id, "refused", reason)
        return bool(reason)

    def _target_miss_at(self, job: JobRecord) -> float:
        if job.state in (JobState.RUNNING, JobState.PLACING):
            return job.target_at
        expected = self._context.policies.order.expected_run_s(job.spec)
        return job.target_at - expected

    def _finish(self, job: JobRecord) -> JobRecord:
        context = self._context
        context.timers.add(
            context.now + FINAL_JOB_RETENTION_S, TimerKind.FORGET, job.job_id
        )
        self.waiting_for_recovery.discard(job.job_id)
        target_missed = job.target_missed
        if job.state != JobState.NOT_RUN:
            # The actual end replaces a miss predicted from a wrong run time.
            target_missed = (
                job.state != JobState.SUCCEEDED or context.now > job.target_at
            )
            self._class_counts(job)[
                "target_missed" if target_missed else "target_met"
            ] += 1
        return job._replace(
            finished_at=context.now, gang_id=None, target_missed=target_missed
        )

    def _class_counts(self, job: JobRecord) -> Counter[str]:
        return self.counts_by_class.setdefault(job.spec.job_class, Counter())

    def _add_to_counts(self, job: JobRecord, change: int) -> None:
        self._class_counts(job)[job.state] += change
        if job.state == JobState.QUEUED:
            group = (job.spec.organisation, job.spec.job_class)
            self.queued_by_group[group] += change
            caller = (*group, job.spec.caller)
            self.queued_by_caller[caller] += change
            if not self.queued_by_caller[caller]:
                del self.queued_by_caller[caller]

    def _enqueue(self, job: JobRecord) -> None:
        context = self._context
        if job.waits_for_recovery and not context.recovered:
            self.waiting_for_recovery.add(job.job_id)
            return
        if self._refuse_if_unconfigured(job.job_id):
            return
        if job.parked_until > context.now:
            context.timers.add(job.parked_until, TimerKind.UNPARK, job.job_id)
            return
        if job.avoided:
            context.timers.add(job.avoided_until, TimerKind.UNPARK, job.job_id)
        self.queue.add(job)
        self.new_job_ids.append(job.job_id)

    def _dequeue(self, job: JobRecord) -> None:
        self.queue.remove(job.job_id)
        self.waiting_for_recovery.discard(job.job_id)

    def _report(self, job: JobRecord) -> None:
        state = JobState(job.state)
        self._context.emit(JobChanged(job.job_id, state, job.reason, job.results))


def find_target(job_class: JobClass, submitted_at: float) -> float:
    """Return the Unix time by which a job should be complete."""
    if job_class.target_s is not None:
        return submitted_at + job_class.target_s
    hour, minute = (int(part) for part in (job_class.finish_by or "00:00").split(":"))
    submitted = datetime.datetime.fromtimestamp(submitted_at, datetime.UTC)
    target = submitted.replace(hour=hour, minute=minute, second=0, microsecond=0)
    if target <= submitted:
        target += datetime.timedelta(days=1)
    return target.timestamp()
