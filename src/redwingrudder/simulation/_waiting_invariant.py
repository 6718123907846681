"""The rule that no accepted job waits beside idle workers."""

import math
from collections.abc import Iterable, Iterator

from ..workflows.model import EndKind, Resources
from ..workflows.room import count_fitting
from ._entries import CAPACITY
from ._history import History, JobOutcome
from ._invariants import Invariant, Violation, ViolationClass, Wait
from ._run_records import RunInterval

WAIT_BOUND_S = 3.0
# Time without a disruption before the one that counts.
CALM_BEFORE_S = 4.0
SERVICE_RESTART_S = 6.0  # for which a task of a service may be away
SPARE_ROOM = 2  # multiple of a job's room that has to be idle


class NoWaitBesideIdleWorkers(Invariant):
    """A job has something running while most of the workers are idle.

    For 3 s, a job has nothing running, there is room for one of its tasks, or
    for its gang, twice over, and of each kind of resource less than half is in
    use. Each task of a service counts by itself, from 6 s after its last run
    on, whatever is in use. Times that follow a disruption do not count.

    Only jobs with known run times are checked. Those of other profiles fail,
    and are reported without progress.
    """

    name = f"no wait of {WAIT_BOUND_S:g} s beside idle workers"

    def violations(self, history: History) -> list[Violation]:
        """See base class."""
        return [
            Violation(self.name, (wait,), ViolationClass.OTHER)
            for job in history.jobs
            if job.run_s is not None
            for gap in _gaps(job, history)
            for wait in _waits_beside_room(job, gap, history)
        ]


def _gaps(job: JobOutcome, history: History) -> Iterator[Wait]:
    """Yield the times in which a job should have something running."""
    runs = [run for run in history.runs if run.key.workflow_id == job.workflow_id]
    ended_at = history.ended_at if job.ended_at is None else job.ended_at
    if math.isinf(job.run_s):
        for index in range(job.tasks_by_step[0]):
            task_runs = [run for run in runs if run.key.index == index]
            yield from _between(job, task_runs, ended_at, SERVICE_RESTART_S)
        return
    ends = [
        ended.interval.end
        for ended in history.acknowledged
        if ended.end.key.workflow_id == job.workflow_id
        and ended.end.kind is EndKind.DONE
    ]
    needed = 1 if job.gang else job.tasks_by_step[0]
    if len(ends) >= needed:
        ended_at = min(ended_at, max(ends))
    yield from _between(job, runs, ended_at, 0.0)


def _between(
    job: JobOutcome, runs: Iterable[RunInterval], ended_at: float, restart_s: float
) -> Iterator[Wait]:
    """Yield the times without a run."""
    since = job.submitted_at
    for run in sorted(runs, key=lambda run: run.begin):
        if run.begin > since:
            yield Wait(job.workflow_id, since, run.begin)
        since = max(since, run.end + restart_s)
    if ended_at > since:
        yield Wait(job.workflow_id, since, ended_at)


def _waits_beside_room(job: JobOutcome, gap: Wait, history: History) -> Iterator[Wait]:
    """Yield the first part of a gap in which the job could have run."""
    moments = {gap.begin, gap.end}
    for run in history.runs:
        moments |= {run.begin, run.end}
    for disruption in history.disruptions:
        moments |= {disruption.begin, disruption.end + CALM_BEFORE_S}
    ordered = sorted(m for m in moments if gap.begin <= m <= gap.end)
    since = None
    for begin, end in zip(ordered, ordered[1:], strict=False):
        if not _could_run(job, begin, history):
            since = None
            continue
        since = begin if since is None else since
        if end - since > WAIT_BOUND_S:
            yield Wait(job.workflow_id, since, end)
            return


def _could_run(job: JobOutcome, at: float, history: History) -> bool:
    """Return whether a job has room to spare in a calm, mostly idle pool."""
    if any(d.begin <= at < d.end + CALM_BEFORE_S for d in history.disruptions):
        return False
    idle_by_id = _idle_by_worker(history, at)
    if not math.isinf(job.run_s):
        half = [amount * len(idle_by_id) / 2 for amount in CAPACITY]
        idle = [sum(amounts) for amounts in zip(*idle_by_id.values(), strict=True)]
        if any(amount <= limit for amount, limit in zip(idle, half, strict=True)):
            return False
    needed = SPARE_ROOM * (job.tasks_by_step[0] if job.gang else 1)
    room = sum(count_fitting(idle, job.demand, needed) for idle in idle_by_id.values())
    return room >= needed


def _idle_by_worker(history: History, at: float) -> dict[str, Resources]:
    demand_by_id = {job.workflow_id: job.demand for job in history.jobs}
    idle_by_id = dict.fromkeys(history.worker_ids, CAPACITY)
    for run in history.runs:
        if run.begin <= at < run.end:
            idle = idle_by_id[run.worker_id]
            idle_by_id[run.worker_id] = idle.minus(demand_by_id[run.key.workflow_id])
    return idle_by_id
