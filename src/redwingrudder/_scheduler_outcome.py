"""Decides how a job continues after its gang was released or has ended."""

from typing import NamedTuple

from ._scheduler_state import GangRecord, GangStopCause, JobRecord

MAX_ATTEMPTS = 3
# Retries of a class as a share of its first attempts.
RETRY_BUDGET_SHARE = 0.2
# Retries that a class may always use, so that a class with few jobs can retry.
RETRY_BASE = 10
# Delay after a worker refused a reservation as busy or the store refused a
# start record. Without it the request would be repeated immediately.
REFUSAL_DELAY_S = 0.5
# Time for which a job avoids a worker on which it failed. Without it, a worker
# on which every task fails could use up all attempts. The time is limited so
# that a job can be retried in a fleet with a single worker.
AVOID_WORKER_S = 30.0


class Outcome(NamedTuple):
    """Event to fire for the job, and changes of its record."""

    event: str
    changes: dict[str, object]


def may_retry(job: JobRecord, first_attempts: int, retries: int) -> bool:
    """Whether a job may be retried.

    Args:
        job: The job after a failed attempt.
        first_attempts: Number of first attempts in the job's class.
        retries: Number of retries in the job's class.
    """
    budget = max(RETRY_BASE, RETRY_BUDGET_SHARE * first_attempts)
    # A job known only from the report of a worker may already be recorded as
    # final.
    retryable = job.submitted and job.spec.idempotent
    return retryable and job.attempts < MAX_ATTEMPTS and retries < budget


def decide_released(gang: GangRecord, job: JobRecord, now: float) -> Outcome:
    """Return the outcome of a job whose gang was released unstarted."""
    if gang.may_have_run:
        return Outcome("outcome_lost", {"reason": gang.reason or "worker_lost"})
    if gang.cause in (GangStopCause.CANCELLED, GangStopCause.EXPIRED):
        event = "cancelled" if gang.cause is GangStopCause.CANCELLED else "refused"
        event = "outcome_lost" if job.may_have_run else event
        return Outcome(event, {"reason": gang.cause.value})
    changes: dict[str, object] = {"gang_id": None, "reason": gang.reason}
    if gang.cause is GangStopCause.BUSY:
        changes["parked_until"] = now + REFUSAL_DELAY_S
    return Outcome("gang_released", changes)


def decide_ended(
    gang: GangRecord, job: JobRecord, now: float, retry_allowed: bool
) -> Outcome:
    """Return the outcome of a job whose gang ended after a start was sent."""
    if gang.succeeded:
        results = tuple(
            result.result for _, result in sorted(gang.results_by_task.items())
        )
        return Outcome("succeeded", {"results": results, "reason": ""})
    if gang.cause is GangStopCause.CANCELLED:
        return Outcome("outcome_lost", {"reason": "cancelled"})
    if gang.cause is GangStopCause.PREEMPTED and job.submitted:
        changes = {"gang_id": None, "reason": "preempted"}
        return Outcome("retry", {**changes, "attempts": max(0, job.attempts - 1)})
    if retry_allowed:
        return Outcome("retry", _retry_changes(gang, job, now))
    event = "failed" if gang.cause is GangStopCause.FAILED else "outcome_lost"
    return Outcome(event, {"reason": gang.reason or gang.cause.value})


def _retry_changes(gang: GangRecord, job: JobRecord, now: float) -> dict[str, object]:
    failed_workers = {
        worker_id
        for worker_id, member in gang.members_by_worker.items()
        if any(_has_failed(gang, task) for task in member.tasks)
    }
    changes: dict[str, object] = {"gang_id": None, "reason": gang.reason}
    if failed_workers:
        changes["avoided"] = job.avoided | failed_workers
        changes["avoided_until"] = now + AVOID_WORKER_S
    return changes


def _has_failed(gang: GangRecord, task: int) -> bool:
    result = gang.results_by_task.get(task)
    return result is not None and result.outcome == "failed"
