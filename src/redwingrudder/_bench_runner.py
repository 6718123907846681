"""Simulation of one benchmark scenario on a virtual clock.

Each failure domain has a ``Scheduler`` that handles the same events as in a
node. The scheduler's effects go to the simulated workers and store.
"""

import random
from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import NamedTuple

from . import messages
from ._bench_clock import VirtualClock
from ._bench_fakes import BenchJob, FakeFleet, FakeStore
from ._bench_load import Arrival, Scenario
from ._domain_choice import DomainLoad, FreeGangChoice
from .model import FINAL_JOB_STATES, Configuration, JobSpec, JobState, WorkerInfo
from .policies import PolicySet
from .requests import DomainStatus
from .scheduler import Scheduler

SAMPLE_INTERVAL_S = 30.0
STATUS_INTERVAL_S = 1.0  # the interval at which nodes exchange their load
START_TIME_OF_DAY_S = 17 * 3_600.0  # 17:00 UTC, for targets by time of day
# A run ends this long after the horizon, even if jobs are not final yet.
COMPLETION_LIMIT_S = 18_000.0
STORE_UNAVAILABLE_CODE = "store_unavailable"


class JobRecord(NamedTuple):
    """Outcome of one arrival; times are simulated seconds since the start.

    Attributes:
        arrival: The job as it arrived.
        job_id: Identifier that the scheduler used.
        state: State at the end of the run.
        reason: Reason of the state, or the error code of a refusal.
        started_at: Time of the first start, or None.
        finished_at: Time at which the job became final, or None.
        starts: Number of gangs that started.
        missed: Whether the scheduler reported a missed target.
        guaranteed: Whether the job was within its organisation's guarantee on
            arrival.
    """

    arrival: Arrival
    job_id: str
    state: JobState
    reason: str
    started_at: float | None
    finished_at: float | None
    starts: int
    missed: bool
    guaranteed: bool


class Sample(NamedTuple):
    """Free capacity of one failure domain at one time.

    Attributes:
        at: Simulated seconds since the start of the run.
        free_accelerators: Accelerators without a task.
        largest_gang: Accelerators of the largest gang that could be placed.
        shortages: Guaranteed shapes that the hardware cannot hold.
    """

    at: float
    free_accelerators: int
    largest_gang: int
    shortages: int


class RunResult(NamedTuple):
    """Records of a whole run.

    Attributes:
        records: Outcomes of the accepted jobs, then of the refused ones.
        samples: Samples of all failure domains, every ``SAMPLE_INTERVAL_S``.
        work_s: Work done by ended tasks, in accelerator-seconds.
        events: Events that the schedulers handled.
    """

    records: tuple[JobRecord, ...]
    samples: tuple[Sample, ...]
    work_s: float
    events: int


class BenchRun:
    """One run of a scenario; an instance can run only once.

    Args:
        workers: Workers of all failure domains.
        configuration: Configuration with planned cells.
        scenario: Faults and cancellations of the run.
        policies: Creates the policy set of one failure domain.
        seed: Seed of the choice of entry nodes, of the cancellations and of
            the stop times.
    """

    def __init__(
        self,
        workers: tuple[WorkerInfo, ...],
        configuration: Configuration,
        scenario: Scenario,
        policies: Callable[[], PolicySet],
        seed: int,
    ) -> None:
        self._workers = workers
        self._configuration = configuration
        self._scenario = scenario
        self._clock = VirtualClock()
        self._rng = random.Random(f"{seed}-fakes")
        self._jobs_by_id: dict[str, BenchJob] = {}
        self._refused_records: list[JobRecord] = []
        self._samples: list[Sample] = []
        self._event_count = 0
        self._accelerators_in_use_by_key: dict[tuple[str, str], int] = defaultdict(int)
        self._wake_up_by_domain: dict[str, float] = {}
        self._status_by_domain: dict[str, DomainStatus] = {}
        self._statuses_read_at = -STATUS_INTERVAL_S
        self._domain_choice = FreeGangChoice()
        self._domain_names = sorted({worker.failure_domain for worker in workers})
        self._schedulers_by_domain = {
            name: Scheduler(name, policies()) for name in self._domain_names
        }
        self._store = FakeStore(self._clock, scenario.store_outage, self._send)
        self._fleet = FakeFleet(
            self._clock,
            workers,
            self._choose_failing_workers(),
            self._jobs_by_id,
            self._send,
            self._rng,
        )

    def run(self, arrivals: Iterator[Arrival], horizon_s: float) -> RunResult:
        """Run until no event is left, or until the time limit.

        Args:
            arrivals: Jobs ordered by time.
            horizon_s: Simulated seconds in which samples are taken; the run
                stops at the latest ``COMPLETION_LIMIT_S`` after it.
        """
        self._start_domains()
        self._schedule_faults()
        self._next_arrival(arrivals)
        self._clock.call_at(SAMPLE_INTERVAL_S, self._sample, horizon_s)
        self._clock.run(horizon_s + COMPLETION_LIMIT_S)
        return self._build_result()

    def _choose_failing_workers(self) -> frozenset[str]:
        failing: set[str] = set()
        for name in self._schedulers_by_domain:
            worker_ids = [
                worker.worker_id
                for worker in self._workers
                if worker.failure_domain == name
            ]
            failing.update(sorted(worker_ids)[: self._scenario.failing_workers])
        return frozenset(failing)

    def _start_domains(self) -> None:
        for name in self._schedulers_by_domain:
            self._send(name, messages.ConfigurationChanged(self._configuration))
        for worker in self._workers:
            self._fleet.claim_worker(worker.worker_id)
        for name in self._schedulers_by_domain:
            self._send(name, messages.RecoveryEnded())

    def _schedule_faults(self) -> None:
        wave = self._scenario.cancel_wave
        if wave is not None:
            self._clock.call_at(wave.at, self._cancel_open_jobs, wave.share)
        rack_outage = self._scenario.rack_loss
        if rack_outage is not None:
            lost_rack = min(worker.rack for worker in self._workers)
            for worker in self._workers:
                if worker.rack == lost_rack:
                    self._clock.call_at(
                        rack_outage.start, self._fleet.fail_worker, worker.worker_id
                    )
                    self._clock.call_at(
                        rack_outage.end, self._fleet.claim_worker, worker.worker_id
                    )

    def _cancel_open_jobs(self, share: float) -> None:
        for job in list(self._jobs_by_id.values()):
            if job.state not in FINAL_JOB_STATES and self._rng.random() < share:
                self._send(job.domain, messages.CancelRequested(job.job_id))

    def _next_arrival(self, arrivals: Iterator[Arrival]) -> None:
        arrival = next(arrivals, None)
        if arrival is not None:
            self._clock.call_at(arrival.at, self._submit, arrival, arrivals)

    def _submit(self, arrival: Arrival, arrivals: Iterator[Arrival]) -> None:
        self._next_arrival(arrivals)
        spec = arrival.spec
        domain = self._choose_domain(spec)
        job_id = f"{domain}-{spec.idempotency_key}"
        admission_error = self._schedulers_by_domain[domain].admit(spec)
        store_down = self._store.is_down()
        if admission_error is not None:
            self._refuse(arrival, job_id, admission_error.code)
        elif store_down and not spec.idempotent:
            self._refuse(arrival, job_id, STORE_UNAVAILABLE_CODE)
        else:
            self._accept(BenchJob(arrival, job_id, domain), recorded=not store_down)

    def _accept(self, job: BenchJob, recorded: bool) -> None:
        spec = job.arrival.spec
        key = (job.domain, spec.organisation)
        job.guaranteed = self._is_guaranteed(spec, key)
        self._accelerators_in_use_by_key[key] += spec.accelerators
        self._jobs_by_id[job.job_id] = job
        now = self._wall_time()
        self._send(job.domain, messages.JobSubmitted(job.job_id, spec, now, recorded))

    def _refuse(self, arrival: Arrival, job_id: str, code: str) -> None:
        now = self._clock.now
        state = JobState.NOT_RUN
        self._refused_records.append(
            JobRecord(arrival, job_id, state, code, None, now, 0, False, False)
        )

    def _choose_domain(self, spec: JobSpec) -> str:
        """Choose a domain as the router of a random entry node would."""
        own_domain = self._rng.choice(self._domain_names)
        loads = tuple(
            DomainLoad(name, True, status.largest_gang, status.queued_jobs)
            for name, status in self._current_statuses().items()
        )
        chosen_domain = self._domain_choice.choose(
            spec, own_domain, loads, self._configuration
        )
        return chosen_domain or own_domain

    def _current_statuses(self) -> dict[str, DomainStatus]:
        if self._clock.now - self._statuses_read_at >= STATUS_INTERVAL_S:
            self._statuses_read_at = self._clock.now
            for name, scheduler in self._schedulers_by_domain.items():
                self._status_by_domain[name] = scheduler.status(self._wall_time())
        return self._status_by_domain

    def _is_guaranteed(self, spec: JobSpec, key: tuple[str, str]) -> bool:
        """Return whether a job fits the unused guarantee of its organisation.

        Shapes that the scheduler reports as shortages do not count, because
        the hardware of the domain cannot hold them.
        """
        domain, organisation = key
        shapes = self._configuration.organisations_by_name[organisation].guarantees
        sizes = [
            shapes[cell.shape_index].accelerators
            for cell in self._configuration.cells
            if (cell.failure_domain, cell.organisation) == key
        ]
        unplaceable = sum(
            shapes[shortage.shape_index].accelerators
            for shortage in self._current_statuses()[domain].shortages
            if shortage.organisation == organisation
        )
        unused = sum(sizes) - unplaceable - self._accelerators_in_use_by_key[key]
        return spec.accelerators <= min(max(sizes, default=0), unused)

    def _send(self, domain: str, event: messages.Event) -> None:
        self._event_count += 1
        scheduler = self._schedulers_by_domain[domain]
        for effect in scheduler.handle(event, self._wall_time()):
            self._execute_effect(domain, effect)

    def _execute_effect(self, domain: str, effect: messages.Effect) -> None:
        match effect:
            case messages.RecordStart():
                self._store.record_start(domain, effect)
            case messages.JobChanged():
                self._update_job(effect)
            case messages.TargetMissed():
                self._jobs_by_id[effect.job_id].target_missed = True
            case messages.ScheduleWakeUp():
                self._wake_up_by_domain[domain] = effect.at
                at = max(effect.at - START_TIME_OF_DAY_S, self._clock.now)
                self._clock.call_at(at, self._wake_up, domain, effect.at)
            case _:
                self._fleet.execute_command(domain, effect)

    def _wall_time(self) -> float:
        return START_TIME_OF_DAY_S + self._clock.now

    def _wake_up(self, domain: str, at: float) -> None:
        if self._wake_up_by_domain.get(domain) == at:
            del self._wake_up_by_domain[domain]
            self._send(domain, messages.Tick())

    def _update_job(self, effect: messages.JobChanged) -> None:
        job = self._jobs_by_id[effect.job_id]
        job.state = effect.state
        job.reason = effect.reason
        if effect.state is JobState.RUNNING and job.started_at is None:
            job.started_at = self._clock.now
        if effect.state in FINAL_JOB_STATES and job.finished_at is None:
            job.finished_at = self._clock.now
            spec = job.arrival.spec
            self._accelerators_in_use_by_key[job.domain, spec.organisation] -= (
                spec.accelerators
            )

    def _sample(self, horizon_s: float) -> None:
        for scheduler in self._schedulers_by_domain.values():
            status = scheduler.status(self._wall_time())
            self._samples.append(
                Sample(
                    self._clock.now,
                    status.free_accelerators,
                    status.largest_gang,
                    len(status.shortages),
                )
            )
        if self._clock.now + SAMPLE_INTERVAL_S <= horizon_s:
            self._clock.call_later(SAMPLE_INTERVAL_S, self._sample, horizon_s)

    def _build_result(self) -> RunResult:
        jobs = self._jobs_by_id.values()
        records = tuple(_to_record(job) for job in jobs)
        return RunResult(
            records + tuple(self._refused_records),
            tuple(self._samples),
            self._fleet.work_s,
            self._event_count,
        )


def _to_record(job: BenchJob) -> JobRecord:
    return JobRecord(
        job.arrival,
        job.job_id,
        job.state,
        job.reason,
        job.started_at,
        job.finished_at,
        len(job.started_gangs),
        job.target_missed,
        job.guaranteed,
    )
