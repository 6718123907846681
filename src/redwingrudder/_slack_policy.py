"""The shipped policies: order by slack, fair shares, bounds and health."""

import math
from collections import deque
from typing import NamedTuple

from .fleet import Fleet
from .model import Configuration, JobSpec
from .policies import (
    AdmissionPolicy,
    HealthPolicy,
    OrderPolicy,
    QueuedJob,
    QueueSize,
    Refusal,
    ResourceUse,
)

RUNS_KEPT = 50
RUNS_UNTIL_TRUSTED = 5
RUN_PERCENTILE = 0.8
# Attained service halves in this time, so that old use does not count forever.
SERVICE_HALF_LIFE_S = 1800.0
# Callers are named by requests, so their number has to be bounded.
SERVICE_ENTRIES_LIMIT = 20_000
AGED_TARGETS = 4.0
# Aged jobs come first during one tenth of the time. All of the time would let
# the aged part of a flood displace the work that can still meet its target.
AGED_PERIOD_S = 10.0
AGED_WINDOW_S = 1.0
FINISH_BY_TARGET_S = 86_400.0

# Demand of a class is averaged over this time.
DEMAND_WINDOW_S = 300.0
# Headroom covers the mean demand and this many deviations of a Poisson count.
HEADROOM_DEVIATIONS = 2.0
# Without a bound, a flood of one class would keep the others from starting.
HEADROOM_MAX_SHARE = 0.5

QUEUED_TOTAL_LIMIT = 20_000
QUEUED_GROUP_LIMIT = 5_000
# One caller must not use up the bound of its organisation.
QUEUED_CALLER_LIMIT = 2_500
OVERLOADED_RETRY_S = 5.0

FAILURES_IN_A_ROW = 3
PROBE_AFTER_S = 60.0
PROBE_AFTER_MAX_S = 900.0
# Jobs whose failures are remembered until they succeed elsewhere.
FAILURES_KEPT = 32


class _Service(NamedTuple):
    accelerator_seconds: float
    at: float

    def decayed(self, now: float) -> float:
        age = max(0.0, now - self.at)
        return self.accelerator_seconds * 0.5 ** (age / SERVICE_HALF_LIFE_S)


class SlackOrder(OrderPolicy):
    """Least slack first; within a class, least attained service first."""

    def __init__(self) -> None:
        self._runs_by_group: dict[tuple[str, str], deque[float]] = {}
        self._percentiles: dict[tuple[str, str], float] = {}
        self._service: dict[tuple[str, ...], _Service] = {}
        self._headroom = _Headroom()

    def order(self, jobs: list[QueuedJob], now: float) -> list[QueuedJob]:
        """Order by slack, then give each class's places to its fair order.

        Jobs that can still meet their target come first. Those that cannot
        follow, but the one that has waited longest beyond its age limit is
        first in a tenth of the time and second otherwise, so that it gets the
        reservation of a waiting gang.
        """
        keyed = [(self._slack(job, now), job) for job in jobs]
        on_time = [job for slack, job in sorted(keyed, key=_by_slack) if slack >= 0]
        late = [job for slack, job in keyed if slack < 0]
        attained = self._attained(jobs, now)
        late.sort(key=lambda job: (attained[_party(job)], job.target_at, job.job_id))
        ordered = _share(on_time, attained) + late
        aged = max(late, key=lambda job: _age(job, now), default=None)
        if aged is None or _age(aged, now) < AGED_TARGETS:
            return ordered
        ordered.remove(aged)
        first = now % AGED_PERIOD_S < AGED_WINDOW_S
        ordered.insert(0 if first else 1, aged)
        return ordered

    def expected_run_s(self, spec: JobSpec) -> float:
        """Return the 80th percentile, blended with the declared run time."""
        group = (spec.organisation, spec.job_class)
        runs = self._runs_by_group.get(group)
        if not runs:
            return spec.declared_run_s
        trust = min(1.0, len(runs) / RUNS_UNTIL_TRUSTED)
        learned = self._percentiles[group]
        return trust * learned + (1.0 - trust) * spec.declared_run_s

    def observe_run(self, spec: JobSpec, run_s: float, now: float) -> None:
        """Keep the latest run times of each organisation and class."""
        group = (spec.organisation, spec.job_class)
        runs = self._runs_by_group.setdefault(group, deque(maxlen=RUNS_KEPT))
        runs.append(run_s)
        rank = int(RUN_PERCENTILE * (len(runs) - 1) + 0.5)
        self._percentiles[group] = sorted(runs)[rank]

    def observe_service(
        self, spec: JobSpec, accelerator_seconds: float, now: float
    ) -> None:
        """Add service; a negative amount corrects what was charged before."""
        self._headroom.observe(spec, accelerator_seconds, now)
        organisation = (spec.organisation,)
        for key in (organisation, (spec.organisation, spec.caller)):
            current = self._service.get(key, _Service(0.0, now)).decayed(now)
            total = max(0.0, current + accelerator_seconds)
            self._service[key] = _Service(total, now)
        if len(self._service) > SERVICE_ENTRIES_LIMIT:
            self._forget_small_service(now)

    def _forget_small_service(self, now: float) -> None:
        entries = sorted(self._service.items(), key=lambda entry: entry[1].decayed(now))
        self._service = dict(entries[SERVICE_ENTRIES_LIMIT // 2 :])

    def leaves_headroom(self, job: QueuedJob, use: ResourceUse, now: float) -> bool:
        """Keep room for classes that cannot wait until the job has ended."""
        return self._headroom.allows(job, use, now)

    def _slack(self, job: QueuedJob, now: float) -> float:
        return job.target_at - now - job.expected_run_s

    def _attained(
        self, jobs: list[QueuedJob], now: float
    ) -> dict[tuple[str, str], tuple[float, float]]:
        """Return the service of the organisation and caller of each job."""
        none = _Service(0.0, now)
        return {
            party: (
                self._service.get(party[:1], none).decayed(now),
                self._service.get(party, none).decayed(now),
            )
            for party in {_party(job) for job in jobs}
        }


class _Demand(NamedTuple):
    """Decaying sum of the service that a class asked for."""

    accelerator_seconds: float
    at: float

    def mean(self, now: float) -> float:
        """Return the accelerators in use on average."""
        age = max(0.0, now - self.at)
        decayed = self.accelerator_seconds * math.exp(-age / DEMAND_WINDOW_S)
        return decayed / DEMAND_WINDOW_S


class _Headroom:
    """Room for classes whose jobs cannot wait for a long job to end.

    In a flood of long jobs, all accelerators would be taken by jobs that end
    long after the targets of shorter classes.
    """

    def __init__(self) -> None:
        self._demands: dict[bool, dict[str, _Demand]] = {False: {}, True: {}}
        self._slack_by_class: dict[str, float] = {}

    def observe(self, spec: JobSpec, accelerator_seconds: float, now: float) -> None:
        """Learn from a job that starts; corrections are left out."""
        if accelerator_seconds <= 0:
            return
        # A job that runs longer than the window counts once for its size.
        bound = max(spec.accelerators, spec.tasks) * DEMAND_WINDOW_S
        demands = self._demands[spec.accelerators_per_task > 0]
        before = demands.get(spec.job_class, _Demand(0.0, now)).mean(now)
        total = before * DEMAND_WINDOW_S + min(accelerator_seconds, bound)
        demands[spec.job_class] = _Demand(total, now)

    def allows(self, job: QueuedJob, use: ResourceUse, now: float) -> bool:
        """Whether the room for the other classes is kept."""
        spec = job.spec
        slack_s = job.target_at - job.submitted_at - job.expected_run_s
        self._slack_by_class[spec.job_class] = slack_s
        wanted = held = 0.0
        for name, demand in self._demands[spec.accelerators_per_task > 0].items():
            patience_s = self._slack_by_class.get(name, math.inf)
            if name == spec.job_class or patience_s >= job.expected_run_s:
                continue
            mean = demand.mean(now)
            wanted += mean + HEADROOM_DEVIATIONS * math.sqrt(mean)
            held += use.held_by_class.get(name, 0)
        wanted = min(wanted, HEADROOM_MAX_SHARE * use.total)
        units = spec.accelerators or spec.tasks
        if units > use.total - wanted and job.target_at - now < job.expected_run_s:
            # The job can never leave the room, and must not wait for ever.
            return True
        missing = round(wanted - held)
        return missing <= 0 or units + missing <= use.free


class SlackAdmission(AdmissionPolicy):
    """Bounds the queue by caller, by organisation and class, and in total."""

    def admit(
        self,
        spec: JobSpec,
        queued: QueueSize,
        fleet: Fleet,
        configuration: Configuration,
    ) -> Refusal | None:
        """Refuse what can never fit and what exceeds a bound."""
        if fleet.workers_by_id and not fits_fleet(spec, fleet):
            detail = (
                f"{spec.tasks} tasks with {spec.accelerators_per_task} accelerators,"
                f" {spec.cores_per_task} cores and {spec.memory_mb_per_task} MB each"
                f" exceed the {len(fleet.workers_by_id)} workers of the domain"
            )
            return Refusal("shape_never_fits", detail, None)
        bounds = (
            (queued.of_caller, QUEUED_CALLER_LIMIT, f"caller {spec.caller}"),
            (queued.of_group, QUEUED_GROUP_LIMIT, f"organisation {spec.organisation}"),
            (queued.total, QUEUED_TOTAL_LIMIT, "the failure domain"),
        )
        for count, limit, name in bounds:
            if count >= limit:
                detail = f"{count} jobs of {name} are queued, the limit is {limit}"
                return Refusal("overloaded", detail, OVERLOADED_RETRY_S)
        return None


class _Quarantine(NamedTuple):
    until: float
    duration_s: float


class FailureStreakHealth(HealthPolicy):
    """Quarantines a worker after failures of jobs that work elsewhere."""

    def __init__(self) -> None:
        self._streaks_by_worker: dict[str, dict[str, bool]] = {}
        self._workers_by_job: dict[str, set[str]] = {}
        self._quarantines_by_worker: dict[str, _Quarantine] = {}

    def observe(self, worker_id: str, job_id: str, failed: bool, now: float) -> None:
        """Extend or end the worker's streak, and confirm those of others."""
        if failed:
            self._failed(worker_id, job_id, now)
            return
        self.forget(worker_id)
        for other in self._workers_by_job.pop(job_id, ()):
            if other in self._streaks_by_worker:
                self._streaks_by_worker[other][job_id] = True
                self._judge(other, now)

    def quarantined(self, now: float) -> frozenset[str]:
        """Return the workers in quarantine, including those to be probed."""
        return frozenset(self._quarantines_by_worker)

    def probes(self, now: float) -> frozenset[str]:
        """Return the workers whose quarantine time has passed."""
        return frozenset(
            worker_id
            for worker_id, quarantine in self._quarantines_by_worker.items()
            if quarantine.until <= now
        )

    def forget(self, worker_id: str) -> None:
        """Drop the streak and the quarantine of a worker."""
        self._quarantines_by_worker.pop(worker_id, None)
        for job_id in self._streaks_by_worker.pop(worker_id, ()):
            self._drop(worker_id, job_id)

    def next_probe_at(self, now: float) -> float | None:
        """Return when the next worker may be probed."""
        times = [q.until for q in self._quarantines_by_worker.values() if q.until > now]
        return min(times, default=None)

    def _failed(self, worker_id: str, job_id: str, now: float) -> None:
        quarantine = self._quarantines_by_worker.get(worker_id)
        if quarantine is not None:
            if quarantine.until <= now:
                duration_s = min(2 * quarantine.duration_s, PROBE_AFTER_MAX_S)
                renewed = _Quarantine(now + duration_s, duration_s)
                self._quarantines_by_worker[worker_id] = renewed
            return
        streak = self._streaks_by_worker.setdefault(worker_id, {})
        streak.setdefault(job_id, False)
        self._workers_by_job.setdefault(job_id, set()).add(worker_id)
        if len(streak) > FAILURES_KEPT:
            oldest = next(iter(streak))
            del streak[oldest]
            self._drop(worker_id, oldest)

    def _judge(self, worker_id: str, now: float) -> None:
        confirmed = sum(self._streaks_by_worker[worker_id].values())
        if confirmed >= FAILURES_IN_A_ROW:
            quarantine = _Quarantine(now + PROBE_AFTER_S, PROBE_AFTER_S)
            self._quarantines_by_worker.setdefault(worker_id, quarantine)

    def _drop(self, worker_id: str, job_id: str) -> None:
        workers = self._workers_by_job.get(job_id)
        if workers is not None:
            workers.discard(worker_id)
            if not workers:
                del self._workers_by_job[job_id]


def fits_fleet(spec: JobSpec, fleet: Fleet) -> bool:
    """Whether all tasks of a job would fit on the empty fleet."""
    capacity = sum(
        kind.task_capacity(spec) * count
        for kinds in fleet.kinds_by_rack.values()
        for kind, count in kinds.items()
    )
    return capacity >= spec.tasks


def _share(
    by_slack: list[QueuedJob], attained: dict[tuple[str, str], tuple[float, float]]
) -> list[QueuedJob]:
    """Fill the places of each class with its jobs, least attained first."""
    jobs_by_class: dict[str, list[QueuedJob]] = {}
    for job in by_slack:
        jobs_by_class.setdefault(job.spec.job_class, []).append(job)
    fair_by_class = {
        name: iter(sorted(jobs, key=lambda job: attained[_party(job)]))
        for name, jobs in jobs_by_class.items()
    }
    return [next(fair_by_class[job.spec.job_class]) for job in by_slack]


def _party(job: QueuedJob) -> tuple[str, str]:
    return job.spec.organisation, job.spec.caller


def _by_slack(entry: tuple[float, QueuedJob]) -> tuple[float, float, str]:
    slack, job = entry
    return slack, job.submitted_at, job.job_id


def _age(job: QueuedJob, now: float) -> float:
    """Return how many targets a job has waited."""
    target_s = job.job_class.target_s or FINISH_BY_TARGET_S
    return (now - job.submitted_at) / target_s
