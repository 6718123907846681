"""Recovery of jobs and gangs from the reports of the workers."""

from ._scheduler_gangs import GangTable, empty_gang
from ._scheduler_jobs import JobTable
from ._scheduler_state import Context, GangRecord, GangStopCause
from .exceptions import RedwingrudderError
from .messages import TaskEnded
from .model import JobState, MemberReport, MemberState, TaskOutcome, WorkerReport


class Recovery:
    """Rebuilds the gangs of previous owners and decides how they continue.

    A gang of which a member has started is continued if all members are
    reported and none was lost or failed, and stopped otherwise. A gang of
    which no member has started is released.
    """

    def __init__(self, context: Context, jobs: JobTable, gangs: GangTable) -> None:
        self._context = context
        self._jobs = jobs
        self._gangs = gangs

    def worker_claimed(self, report: WorkerReport) -> None:
        """Add a claimed worker, or update gangs if it is in the fleet already.

        A worker that restarted is added again, without its previous members.
        """
        fleet, worker_id = self._context.fleet, report.worker.worker_id
        current = fleet.workers_by_id.get(worker_id)
        if current is not None and current.boot_id == report.boot_id:
            if report.draining:
                self._gangs.worker_draining(worker_id)
            self._reconcile(report)
        else:
            if current is not None:
                self._gangs.worker_lost(worker_id, "worker_restarted")
                self._context.policies.health.forget(worker_id)
            fleet.add_worker(report.worker, report.boot_id, report.draining)
            for member in report.members:
                self._add_member(worker_id, member)
        self._roll_forward_complete({member.gang_id for member in report.members})

    def recovery_ended(self) -> None:
        """Stop or release incomplete gangs; missing members count as lost."""
        self._context.recovered = True
        self._stop_or_roll_back_remaining()
        self._jobs.recovery_ended()

    def _roll_forward_complete(self, reported: set[str]) -> None:
        """Continue complete gangs; the other ones wait until recovery ends."""
        for gang_id in sorted(reported & self._gangs.recovering):
            gang = self._gangs.gangs_by_id[gang_id]
            if _can_continue(gang) and self._attach_to_job(gang):
                self._gangs.fire(gang_id, "roll_forward")
                self._gangs.advance(gang_id)
        if self._context.recovered:
            self._stop_or_roll_back_remaining()

    def _stop_or_roll_back_remaining(self) -> None:
        """Stop or release the gangs that cannot be continued."""
        gangs = self._gangs
        waiting = [gangs.gangs_by_id[gang_id] for gang_id in gangs.recovering]
        # If a job has several gangs, a started one is attached to the job
        # before one that is only reserved.
        waiting.sort(key=lambda gang: (not gang.start_sent, gang.gang_id))
        for gang in waiting:
            if gang.start_sent:
                self._stop(gang)
            else:
                self._roll_back(gang)
            gangs.advance(gang.gang_id)

    def _stop(self, gang: GangRecord) -> None:
        self._attach_to_job(gang)
        outcomes = {result.outcome for result in gang.results_by_task.values()}
        if TaskOutcome.FAILED in outcomes:
            self._gangs.set_cause(gang.gang_id, GangStopCause.FAILED, "task_failed")
        self._gangs.set_cause(gang.gang_id, GangStopCause.LOST, "worker_lost")
        self._gangs.fire(gang.gang_id, "stop")

    def _roll_back(self, gang: GangRecord) -> None:
        job = self._jobs.jobs_by_id.get(gang.job_id)
        if job is not None and not job.submitted and job.gang_id is None:
            # No member has run, and the job may already be recorded as final.
            self._jobs.remove_reported(gang.job_id)
        elif self._attach_to_job(gang) and job.start_recorded:
            # The previous owner may have sent a start, and a non-idempotent
            # job must not be started a second time.
            gang = gang._replace(may_have_run=True)
            self._gangs.gangs_by_id[gang.gang_id] = gang
        self._gangs.set_cause(gang.gang_id, GangStopCause.LOST, "recovered")
        self._gangs.fire(gang.gang_id, "roll_back")

    def _attach_to_job(self, gang: GangRecord) -> bool:
        """Make a gang the current gang of its job if the job is queued."""
        job = self._jobs.jobs_by_id.get(gang.job_id)
        if job is None or job.state != JobState.QUEUED:
            return False
        self._jobs.fire(job.job_id, "gang_created", gang_id=gang.gang_id)
        return True

    def _add_member(self, worker_id: str, report: MemberReport) -> None:
        gang = self._gangs.gangs_by_id.get(report.gang_id)
        if gang is None:
            gang = self._new_gang(report)
        gang.members_by_worker[worker_id] = report.placement
        gang.released.discard(worker_id)
        gang.stop_sent.discard(worker_id)
        gang.reserved.add(worker_id)
        if report.state is MemberState.RESERVED:
            # Commands sent before the worker was lost are no longer valid.
            gang.start_sent.discard(worker_id)
        else:
            gang.started.add(worker_id)
            gang.start_sent.add(worker_id)
        for result in report.results:
            gang.results_by_task.setdefault(result.task_index, result)
        if report.state is not MemberState.ENDED:
            self._hold_resources(gang, report)
        started_late = gang.state == "releasing" and worker_id in gang.start_sent
        self._gangs.fire(gang.gang_id, "stop" if started_late else "reported")
        self._gangs.advance(gang.gang_id)

    def _hold_resources(self, gang: GangRecord, report: MemberReport) -> None:
        fleet = self._context.fleet
        try:
            fleet.hold_member(gang.gang_id, gang.spec, report.placement)
        except RedwingrudderError:
            # The fleet counts these resources as used by another gang. The
            # worker itself never reserves them twice, so the only effect is
            # that this member is not counted as resources in use.
            return

    def _new_gang(self, report: MemberReport) -> GangRecord:
        if report.job_id not in self._jobs.jobs_by_id:
            self._jobs.add_reported(report)
        job = self._jobs.jobs_by_id[report.job_id]
        expected_run_s = self._context.policies.order.expected_run_s(report.spec)
        gang = empty_gang(report.gang_id, job, report.gang_members)
        gang = gang._replace(
            started_at=self._context.now, expected_run_s=expected_run_s, recovered=True
        )
        self._gangs.add_recovered(gang)
        return gang

    def _reconcile(self, report: WorkerReport) -> None:
        """Update gangs from a new report of a worker that did not restart."""
        worker_id = report.worker.worker_id
        reported = {member.gang_id: member for member in report.members}
        held = self._context.fleet.gang_ids_by_worker[worker_id]
        for gang_id in sorted(held - reported.keys()):
            gang = self._gangs.gangs_by_id.get(gang_id)
            if gang is not None and worker_id in gang.started - gang.released:
                self._gangs.member_lost(gang_id, worker_id, "member_dropped")
        for member in report.members:
            gang = self._gangs.gangs_by_id.get(member.gang_id)
            if gang is None or worker_id not in gang.members_by_worker:
                self._add_member(worker_id, member)
                continue
            for result in member.results:
                event = TaskEnded(member.gang_id, worker_id, result)
                self._gangs.task_ended(event)


def _is_complete(gang: GangRecord) -> bool:
    return len(gang.members_by_worker) == gang.member_count and not gang.released


def _can_continue(gang: GangRecord) -> bool:
    """Whether a gang has started and no member is missing, lost or failed."""
    return (
        bool(gang.start_sent)
        and _is_complete(gang)
        and gang.cause is GangStopCause.NONE
        and all(
            result.outcome is TaskOutcome.SUCCEEDED
            for result in gang.results_by_task.values()
        )
    )
