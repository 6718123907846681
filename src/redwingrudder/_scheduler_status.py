"""Job explanations and domain status for callers and operators."""

import datetime

from ._scheduler_gangs import GangTable
from ._scheduler_jobs import JobTable
from ._scheduler_placing import Placer
from ._scheduler_state import Context, JobRecord
from .model import Epoch, JobState
from .requests import ClassStatus, DomainStatus, Explanation, OrganisationStatus

NO_EPOCH = Epoch(0, 0, 0)


def explain_job(
    job_id: str, context: Context, jobs: JobTable, gangs: GangTable, placer: Placer
) -> Explanation:
    """Return the state of a job with the reasons for it in plain text."""
    job = jobs.jobs_by_id.get(job_id)
    if job is None:
        return Explanation(job_id, "unknown", ("there is no job with this id",))
    reasons = [f"last reason: {job.reason}"] if job.reason else []
    if job.target_missed:
        reasons.append(f"cannot meet its target, {_format_time(job.target_at)}")
    if job.state == JobState.QUEUED:
        reasons.append(_why_queued(job, context, jobs, placer))
    gang = gangs.gangs_by_id.get(job.gang_id or "")
    if gang is not None:
        workers = ", ".join(sorted(gang.members_by_worker))
        reasons.append(f"gang {gang.gang_id} is {gang.state} on {workers}")
    if job.avoided and job.state == JobState.QUEUED:
        avoided = ", ".join(sorted(job.avoided))
        reasons.append(f"avoids {avoided} until {_format_time(job.avoided_until)}")
    return Explanation(job_id, job.state, tuple(reasons))


def _why_queued(
    job: JobRecord, context: Context, jobs: JobTable, placer: Placer
) -> str:
    if context.configuration is None:
        return "waits for the configuration"
    if job.job_id in jobs.waiting_for_recovery:
        return "waits for the reports of all workers after a change of the owner"
    if job.job_id not in jobs.queue:
        return f"waits after a refusal until {_format_time(job.parked_until)}"
    reservation = placer.reservation
    if reservation is not None and reservation.job_id == job.job_id:
        count = len(reservation.workers)
        return (
            f"{count} workers are reserved for it,"
            f" free at {_format_time(reservation.at)}"
        )
    shape = jobs.queue.lane_key(job.job_id).shape
    if shape in placer.reservation_blocked_shapes:
        return "would delay the gang at the head of the queue"
    spec = job.spec
    if (
        shape not in placer.blocked_shapes
        and spec.job_class in placer.headroom_blocked_classes
    ):
        return "waits to leave headroom for classes that cannot wait until it ends"
    return (
        f"no free place for {spec.tasks} tasks with"
        f" {spec.accelerators_per_task} adjacent accelerators each"
    )


def domain_status(
    context: Context,
    jobs: JobTable,
    gangs: GangTable,
    owner: str = "",
    epoch: Epoch = NO_EPOCH,
) -> DomainStatus:
    """Return the status of the failure domain, with counts by class."""
    fleet, workers = context.fleet, context.fleet.workers_by_id.values()
    configuration = context.configuration
    return DomainStatus(
        context.failure_domain,
        owner,
        epoch,
        configuration.version if configuration else 0,
        len(workers),
        sum(worker.draining for worker in workers),
        sum(worker.quarantined for worker in workers),
        fleet.total_accelerators(),
        fleet.count_free_accelerators(workers),
        context.policies.placement.largest_gang(fleet),
        jobs.queued_total,
        gangs.running_count,
        _organisation_statuses(context, jobs),
        _class_statuses(context, jobs),
        context.guarantees.shortages,
    )


def _organisation_statuses(
    context: Context, jobs: JobTable
) -> tuple[OrganisationStatus, ...]:
    configuration = context.configuration
    if configuration is None:
        return ()
    guaranteed = dict.fromkeys(configuration.organisations_by_name, 0)
    in_use = dict.fromkeys(guaranteed, 0)
    queued = dict.fromkeys(guaranteed, 0)
    for cell in configuration.cells:
        shapes = configuration.organisations_by_name[cell.organisation].guarantees
        if cell.failure_domain == context.failure_domain:
            guaranteed[cell.organisation] += shapes[cell.shape_index].accelerators
    for gang in context.fleet.gangs_by_id.values():
        held = sum(
            len(member.accelerators) for member in gang.members_by_worker.values()
        )
        name = gang.spec.organisation
        in_use[name] = in_use.get(name, 0) + held
    for (name, _), count in jobs.queued_by_group.items():
        queued[name] = queued.get(name, 0) + count
    return tuple(
        OrganisationStatus(name, guaranteed[name], in_use[name], queued[name])
        for name in sorted(guaranteed)
    )


def _class_statuses(context: Context, jobs: JobTable) -> tuple[ClassStatus, ...]:
    names = set(jobs.counts_by_class)
    if context.configuration is not None:
        names |= set(context.configuration.classes_by_name)
    statuses = []
    for name in sorted(names):
        counts = jobs.counts_by_class.get(name, {})
        statuses.append(
            ClassStatus(
                name,
                counts.get("submitted", 0),
                counts.get(JobState.QUEUED, 0),
                counts.get(JobState.RUNNING, 0) + counts.get(JobState.PLACING, 0),
                counts.get(JobState.SUCCEEDED, 0),
                counts.get(JobState.FAILED, 0),
                counts.get(JobState.NOT_RUN, 0),
                counts.get(JobState.INTERRUPTED, 0),
                counts.get("target_met", 0),
                counts.get("target_missed", 0),
            )
        )
    return tuple(statuses)


def _format_time(at: float) -> str:
    if at == float("inf"):
        return "unknown"
    return datetime.datetime.fromtimestamp(at, datetime.UTC).isoformat()
