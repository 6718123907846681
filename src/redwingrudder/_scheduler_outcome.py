"""What becomes of a job when its gang has ended."""

from typing import NamedTuple

from ._scheduler_state import GangRecord, GangStopCause, JobRecord

MAX_ATTEMPTS = 3
RETRY_BUDGET_SHARE = 0.2
# A class with few jobs could not retry at all without a base allowance.
RETRY_BASE = 10
# A worker that refuses a reservation as busy, or a store that refuses the
# record of a start, would be asked again at once without this delay.
REFUSAL_DELAY_S = 0.5
# A failed job avoids its worker for this long, so that a worker that fails
# everything does not use up all attempts; a fleet of one worker still retries.
AVOID_WORKER_S = 30.0


class Outcome(NamedTuple):
    """Event for the job's chart and the changes of its record."""

    event: str
    changes: dict[str, object]


def may_retry(job: JobRecord, first_attempts: int, retries: int) -> bool:
    """Whether the attempts and the retry budget of the class allow a retry."""
    budget = max(RETRY_BASE, RETRY_BUDGET_SHARE * first_attempts)
    # The record of a job that only a worker reported may be final already.
    may = job.known and job.spec.idempotent
    return may and job.attempts < MAX_ATTEMPTS and retries < budget


def decide_released(gang: GangRecord, job: JobRecord, now: float) -> Outcome:
    """Decide about a job whose gang never sent a start to a member."""
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
    """Decide about a job whose gang had sent a start."""
    if gang.succeeded:
        results = tuple(
            result.result for _, result in sorted(gang.results_by_task.items())
        )
        return Outcome("succeeded", {"results": results, "reason": ""})
    if gang.cause is GangStopCause.CANCELLED:
        return Outcome("outcome_lost", {"reason": "cancelled"})
    if gang.cause is GangStopCause.PREEMPTED and job.known:
        changes = {"gang_id": None, "reason": "preempted"}
        return Outcome("retry", {**changes, "attempts": max(0, job.attempts - 1)})
    if retry_allowed:
        return Outcome("retry", _retry_changes(gang, job, now))
    event = "failed" if gang.cause is GangStopCause.FAILED else "outcome_lost"
    return Outcome(event, {"reason": gang.reason or gang.cause.value})


def _retry_changes(gang: GangRecord, job: JobRecord, now: float) -> dict[str, object]:
    failed_on = {
        worker_id
        for worker_id, member in gang.members_by_worker.items()
        if any(_failed(gang, task) for task in member.tasks)
    }
    changes: dict[str, object] = {"gang_id": None, "reason": gang.reason}
    if failed_on:
        changes["avoided"] = job.avoided | failed_on
        changes["avoided_until"] = now + AVOID_WORKER_S
    return changes


def _failed(gang: GangRecord, task: int) -> bool:
    result = gang.results_by_task.get(task)
    return result is not None and result.outcome == "failed"
