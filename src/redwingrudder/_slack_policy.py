"""Default policies for the order of jobs, admission and worker health.

The slack of a job is the time that it can still wait and meet its target:
the time until the target minus the expected run time.
"""

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

# Number of run times kept per organisation and class.
RUN_HISTORY_LIMIT = 50
# With fewer runs in the history, the declared run time keeps part of the
# weight.
FULL_WEIGHT_RUNS = 5
RUN_PERCENTILE = 0.8
# Attained service decays, so that use in the distant past stops counting.
SERVICE_HALF_LIFE_S = 1800.0
# Requests choose the names of callers, so the number of entries is limited.
SERVICE_ENTRIES_LIMIT = 20_000
# A job counts as aged once it has waited this many times its target.
AGED_AFTER_TARGETS = 4.0
# The oldest aged job comes first for AGED_FIRST_S of every AGED_PERIOD_S, one
# tenth of the time. If aged jobs always came first, the aged jobs of a flood
# would displace jobs that can still meet their target.
AGED_PERIOD_S = 10.0
AGED_FIRST_S = 1.0
# Target used for the age of jobs whose class has no target duration.
FINISH_BY_TARGET_S = 86_400.0

# Time constant of the exponentially decaying average of a class's demand.
DEMAND_WINDOW_S = 300.0
# Headroom is the mean demand plus this many standard deviations of a Poisson
# distribution with that mean.
HEADROOM_DEVIATIONS = 2.0
# Largest share of all units that is kept free as headroom. Without this limit,
# a flood of one class would prevent all other classes from starting jobs.
HEADROOM_MAX_SHARE = 0.5

QUEUED_TOTAL_LIMIT = 20_000
QUEUED_GROUP_LIMIT = 5_000
# Lower than the group limit, so that one caller cannot fill the whole queue of
# its organisation and class.
QUEUED_CALLER_LIMIT = 2_500
OVERLOADED_RETRY_S = 5.0

# Confirmed failures in a row after which a worker is quarantined.
QUARANTINE_FAILURES = 3
# Time in quarantine before the first probe. It grows by the factor after each
# probe that fails.
PROBE_AFTER_S = 60.0
PROBE_BACKOFF_FACTOR = 2
PROBE_AFTER_MAX_S = 900.0
# Failed jobs remembered per worker until they succeed on another worker.
STREAK_JOBS_LIMIT = 32


class _AttainedService(NamedTuple):
    """Accelerator seconds as of the Unix time ``at``."""

    accelerator_seconds: float
    at: float

    def decayed(self, now: float) -> float:
        age = max(0.0, now - self.at)
        return self.accelerator_seconds * 0.5 ** (age / SERVICE_HALF_LIFE_S)


class SlackOrder(OrderPolicy):
    """Orders by least slack and, within a class, by least attained service.

    Attained service is the decaying sum of accelerator seconds that an
    organisation and a caller have received.
    """

    def __init__(self) -> None:
        self._runs_by_group: dict[tuple[str, str], deque[float]] = {}
        self._run_percentiles_by_group: dict[tuple[str, str], float] = {}
        self._service_by_key: dict[tuple[str, ...], _AttainedService] = {}
        self._headroom = _Headroom()

    def order(self, jobs: list[QueuedJob], now: float) -> list[QueuedJob]:
        """Order by slack, and share the positions of each class fairly.

        Jobs that can still meet their target come first, by slack. The
        positions of each class in this order are then assigned to its jobs by
        least attained service. Jobs that can no longer meet their target
        follow, also by least attained service. The aged job that has waited
        longest relative to its target is moved to the first position during
        one tenth of the time and to the second position otherwise, so that it
        gets the reservation that the scheduler makes for a waiting gang.
        """
        jobs_with_slack = [(self._slack(job, now), job) for job in jobs]
        on_time = [
            job for slack, job in sorted(jobs_with_slack, key=_by_slack) if slack >= 0
        ]
        late = [job for slack, job in jobs_with_slack if slack < 0]
        attained = self._attained(jobs, now)
        late.sort(
            key=lambda job: (attained[_caller_key(job)], job.target_at, job.job_id)
        )
        ordered = _apply_fair_order(on_time, attained) + late
        aged = max(late, key=lambda job: _waited_targets(job, now), default=None)
        if aged is None or _waited_targets(aged, now) < AGED_AFTER_TARGETS:
            return ordered
        ordered.remove(aged)
        first = now % AGED_PERIOD_S < AGED_FIRST_S
        ordered.insert(0 if first else 1, aged)
        return ordered

    def expected_run_s(self, spec: JobSpec) -> float:
        """Return the 80th percentile of recent runs, in seconds.

        Until there are enough runs, the result is a weighted mean of this
        percentile and the declared run time.
        """
        group = (spec.organisation, spec.job_class)
        runs = self._runs_by_group.get(group)
        if not runs:
            return spec.declared_run_s
        learned_weight = min(1.0, len(runs) / FULL_WEIGHT_RUNS)
        learned = self._run_percentiles_by_group[group]
        return learned_weight * learned + (1.0 - learned_weight) * spec.declared_run_s

    def observe_run(self, spec: JobSpec, run_s: float, now: float) -> None:
        """Add a run time to the history of the organisation and class."""
        group = (spec.organisation, spec.job_class)
        runs = self._runs_by_group.setdefault(group, deque(maxlen=RUN_HISTORY_LIMIT))
        runs.append(run_s)
        rank = int(RUN_PERCENTILE * (len(runs) - 1) + 0.5)
        self._run_percentiles_by_group[group] = sorted(runs)[rank]

    def observe_service(
        self, spec: JobSpec, accelerator_seconds: float, now: float
    ) -> None:
        """Add service to the organisation and the caller.

        A negative amount corrects an earlier charge.
        """
        self._headroom.observe(spec, accelerator_seconds, now)
        organisation = (spec.organisation,)
        for key in (organisation, (spec.organisation, spec.caller)):
            current = self._service_by_key.get(key, _AttainedService(0.0, now)).decayed(
                now
            )
            total = max(0.0, current + accelerator_seconds)
            self._service_by_key[key] = _AttainedService(total, now)
        if len(self._service_by_key) > SERVICE_ENTRIES_LIMIT:
            self._discard_small_service(now)

    def _discard_small_service(self, now: float) -> None:
        """Remove the entries with the least service, half of the limit."""
        entries = sorted(
            self._service_by_key.items(), key=lambda entry: entry[1].decayed(now)
        )
        self._service_by_key = dict(entries[SERVICE_ENTRIES_LIMIT // 2 :])

    def leaves_headroom(self, job: QueuedJob, use: ResourceUse, now: float) -> bool:
        """Return whether enough stays free for classes with little slack."""
        return self._headroom.allows(job, use, now)

    def _slack(self, job: QueuedJob, now: float) -> float:
        return job.target_at - now - job.expected_run_s

    def _attained(
        self, jobs: list[QueuedJob], now: float
    ) -> dict[tuple[str, str], tuple[float, float]]:
        """Return the decayed service of each caller among the jobs.

        The keys are organisation and caller; the values are the accelerator
        seconds of the organisation and those of the caller.
        """
        no_service = _AttainedService(0.0, now)
        return {
            caller_key: (
                self._service_by_key.get(caller_key[:1], no_service).decayed(now),
                self._service_by_key.get(caller_key, no_service).decayed(now),
            )
            for caller_key in {_caller_key(job) for job in jobs}
        }


class _Demand(NamedTuple):
    """Decaying sum of the accelerator seconds of the started jobs of a class.

    ``at`` is the Unix time of the last update, in seconds.
    """

    accelerator_seconds: float
    at: float

    def mean(self, now: float) -> float:
        """Return the average number of accelerators in use."""
        age = max(0.0, now - self.at)
        decayed = self.accelerator_seconds * math.exp(-age / DEMAND_WINDOW_S)
        return decayed / DEMAND_WINDOW_S


class _Headroom:
    """Keeps capacity free for classes that cannot wait for a long job to end.

    Otherwise a flood of long jobs would occupy all accelerators until long
    after the targets of short jobs. Demand is recorded separately for jobs
    with and without accelerators.
    """

    def __init__(self) -> None:
        self._demands: dict[bool, dict[str, _Demand]] = {False: {}, True: {}}
        self._slack_by_class: dict[str, float] = {}

    def observe(self, spec: JobSpec, accelerator_seconds: float, now: float) -> None:
        """Add the demand of a job that starts.

        Negative amounts, which correct earlier charges, are ignored.
        """
        if accelerator_seconds <= 0:
            return
        # A job that runs longer than the window counts as if it occupied its
        # units for exactly one window.
        bound = max(spec.accelerators, spec.tasks) * DEMAND_WINDOW_S
        demands = self._demands[spec.accelerators_per_task > 0]
        previous_mean = demands.get(spec.job_class, _Demand(0.0, now)).mean(now)
        total = previous_mean * DEMAND_WINDOW_S + min(accelerator_seconds, bound)
        demands[spec.job_class] = _Demand(total, now)

    def allows(self, job: QueuedJob, use: ResourceUse, now: float) -> bool:
        """Return whether the headroom of the other classes remains free."""
        spec = job.spec
        slack_s = job.target_at - job.submitted_at - job.expected_run_s
        self._slack_by_class[spec.job_class] = slack_s
        reserved = held = 0.0
        for name, demand in self._demands[spec.accelerators_per_task > 0].items():
            class_slack_s = self._slack_by_class.get(name, math.inf)
            if name == spec.job_class or class_slack_s >= job.expected_run_s:
                continue
            mean = demand.mean(now)
            reserved += mean + HEADROOM_DEVIATIONS * math.sqrt(mean)
            held += use.held_by_class.get(name, 0)
        reserved = min(reserved, HEADROOM_MAX_SHARE * use.total)
        units = spec.accelerators or spec.tasks
        if units > use.total - reserved and job.target_at - now < job.expected_run_s:
            # The job is too large to ever leave the headroom free and can no
            # longer meet its target. Without this exception it would wait
            # forever.
            return True
        unserved = round(reserved - held)
        return unserved <= 0 or units + unserved <= use.free


class SlackAdmission(AdmissionPolicy):
    """Limits queued jobs by caller, organisation and class, and in total.

    A job that cannot fit on the empty fleet is refused as well.
    """

    def admit(
        self,
        spec: JobSpec,
        queued: QueueSize,
        fleet: Fleet,
        configuration: Configuration,
    ) -> Refusal | None:
        """Refuse jobs that can never fit or that exceed a queue limit."""
        if fleet.workers_by_id and not fits_fleet(spec, fleet):
            detail = (
                f"{spec.tasks} tasks with {spec.accelerators_per_task} accelerators,"
                f" {spec.cores_per_task} cores and {spec.memory_mb_per_task} MB each"
                f" do not fit on the {len(fleet.workers_by_id)} workers of the"
                " failure domain, even if they are empty"
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
    """The Unix time at which a probe is due, and the length of the wait."""

    until: float
    duration_s: float


class FailureStreakHealth(HealthPolicy):
    """Quarantines a worker on which several jobs failed in a row.

    A failure counts only after the same job has succeeded on another worker,
    because a job that fails everywhere says nothing about the worker. Any
    success on the worker ends its streak of failures and its quarantine.
    """

    def __init__(self) -> None:
        self._streaks_by_worker: dict[str, dict[str, bool]] = {}
        self._workers_by_job: dict[str, set[str]] = {}
        self._quarantines_by_worker: dict[str, _Quarantine] = {}

    def observe(self, worker_id: str, job_id: str, failed: bool, now: float) -> None:
        """Record the outcome of a task.

        A failure extends the streak of the worker. A success ends the streak
        and the quarantine of the worker, and confirms the failures of the
        same job on other workers.
        """
        if failed:
            self._record_failure(worker_id, job_id, now)
            return
        self.forget(worker_id)
        for other in self._workers_by_job.pop(job_id, ()):
            if other in self._streaks_by_worker:
                self._streaks_by_worker[other][job_id] = True
                self._quarantine_if_confirmed(other, now)

    def quarantined(self, now: float) -> frozenset[str]:
        """Return all quarantined workers, including those due for a probe."""
        return frozenset(self._quarantines_by_worker)

    def probes(self, now: float) -> frozenset[str]:
        """Return the quarantined workers that are due for a probe."""
        return frozenset(
            worker_id
            for worker_id, quarantine in self._quarantines_by_worker.items()
            if quarantine.until <= now
        )

    def forget(self, worker_id: str) -> None:
        """Delete the failure streak and the quarantine of a worker."""
        self._quarantines_by_worker.pop(worker_id, None)
        for job_id in self._streaks_by_worker.pop(worker_id, ()):
            self._remove_failure(worker_id, job_id)

    def next_probe_at(self, now: float) -> float | None:
        """Return the Unix time of the next probe, in seconds, or None."""
        times = [
            quarantine.until
            for quarantine in self._quarantines_by_worker.values()
            if quarantine.until > now
        ]
        return min(times, default=None)

    def _record_failure(self, worker_id: str, job_id: str, now: float) -> None:
        quarantine = self._quarantines_by_worker.get(worker_id)
        if quarantine is not None:
            if quarantine.until <= now:
                # The probe has failed, so the next one is delayed for longer.
                duration_s = min(
                    PROBE_BACKOFF_FACTOR * quarantine.duration_s, PROBE_AFTER_MAX_S
                )
                renewed = _Quarantine(now + duration_s, duration_s)
                self._quarantines_by_worker[worker_id] = renewed
            return
        streak = self._streaks_by_worker.setdefault(worker_id, {})
        streak.setdefault(job_id, False)
        self._workers_by_job.setdefault(job_id, set()).add(worker_id)
        if len(streak) > STREAK_JOBS_LIMIT:
            oldest = next(iter(streak))
            del streak[oldest]
            self._remove_failure(worker_id, oldest)

    def _quarantine_if_confirmed(self, worker_id: str, now: float) -> None:
        confirmed = sum(self._streaks_by_worker[worker_id].values())
        if confirmed >= QUARANTINE_FAILURES:
            quarantine = _Quarantine(now + PROBE_AFTER_S, PROBE_AFTER_S)
            self._quarantines_by_worker.setdefault(worker_id, quarantine)

    def _remove_failure(self, worker_id: str, job_id: str) -> None:
        workers = self._workers_by_job.get(job_id)
        if workers is not None:
            workers.discard(worker_id)
            if not workers:
                del self._workers_by_job[job_id]


def fits_fleet(spec: JobSpec, fleet: Fleet) -> bool:
    """Return whether all tasks of a job would fit on the empty fleet."""
    capacity = sum(
        kind.task_capacity(spec) * count
        for kinds in fleet.kinds_by_rack.values()
        for kind, count in kinds.items()
    )
    return capacity >= spec.tasks


def _apply_fair_order(
    by_slack: list[QueuedJob], attained: dict[tuple[str, str], tuple[float, float]]
) -> list[QueuedJob]:
    """Reorder the jobs of each class by their attained service.

    The positions that belong to a class stay the same.
    """
    jobs_by_class: dict[str, list[QueuedJob]] = {}
    for job in by_slack:
        jobs_by_class.setdefault(job.spec.job_class, []).append(job)
    fair_order_by_class = {
        name: iter(sorted(jobs, key=lambda job: attained[_caller_key(job)]))
        for name, jobs in jobs_by_class.items()
    }
    return [next(fair_order_by_class[job.spec.job_class]) for job in by_slack]


def _caller_key(job: QueuedJob) -> tuple[str, str]:
    return job.spec.organisation, job.spec.caller


def _by_slack(entry: tuple[float, QueuedJob]) -> tuple[float, float, str]:
    slack, job = entry
    return slack, job.submitted_at, job.job_id


def _waited_targets(job: QueuedJob, now: float) -> float:
    """Return the waiting time of a job as a multiple of its target."""
    target_s = job.job_class.target_s or FINISH_BY_TARGET_S
    return (now - job.submitted_at) / target_s
