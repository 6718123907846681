"""Runs a scenario on the real decision code with a virtual clock.

One ``Scheduler`` per failure domain handles the same events as in a node.
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
LOAD_INTERVAL_S = 1.0  # as often as nodes exchange their load
START_OF_RUN_S = 17 * 3_600.0  # time of day (UTC) at which a run starts
AFTER_HORIZON_S = 18_000.0  # time for the accepted jobs to end


class JobRecord(NamedTuple):
    """What happened to one arrival; times are seconds of the run."""

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
    """Fragmentation of one failure domain at one time."""

    at: float
    free_accelerators: int
    largest_gang: int
    shortages: int


class RunResult(NamedTuple):
    """Everything that a run recorded; work is in accelerator-seconds."""

    records: tuple[JobRecord, ...]
    samples: tuple[Sample, ...]
    work_s: float
    events: int


class BenchRun:
    """One run of a scenario.

    Args:
        workers: Workers of the fleet.
        configuration: Configuration with cells.
        scenario: What happens.
        policies: Creates the policies of one failure domain.
        seed: Seed of the fakes' variation.
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
        self._refused: list[JobRecord] = []
        self._samples: list[Sample] = []
        self._events = 0
        self._in_use_by_key: dict[tuple[str, str], int] = defaultdict(int)
        self._wakes_by_domain: dict[str, float] = {}
        self._status_by_domain: dict[str, DomainStatus] = {}
        self._status_at = -LOAD_INTERVAL_S
        self._choice = FreeGangChoice()
        self._domain_names = sorted({worker.failure_domain for worker in workers})
        self._schedulers_by_domain = {
            name: Scheduler(name, policies()) for name in self._domain_names
        }
        self._store = FakeStore(self._clock, scenario.store_outage, self._send)
        self._fleet = FakeFleet(
            self._clock,
            workers,
            self._choose_failing(),
            self._jobs_by_id,
            self._send,
            self._rng,
        )

    def run(self, arrivals: Iterator[Arrival], horizon_s: float) -> RunResult:
        """Run until nothing is left to happen or the limit is reached."""
        self._start_domains()
        self._schedule_faults()
        self._next_arrival(arrivals)
        self._clock.at(SAMPLE_INTERVAL_S, self._sample, horizon_s)
        self._clock.run(horizon_s + AFTER_HORIZON_S)
        return self._result()

    def _choose_failing(self) -> frozenset[str]:
        failing: set[str] = set()
        for name in self._schedulers_by_domain:
            ids = [w.worker_id for w in self._workers if w.failure_domain == name]
            failing.update(sorted(ids)[: self._scenario.failing_workers])
        return frozenset(failing)

    def _start_domains(self) -> None:
        for name in self._schedulers_by_domain:
            self._send(name, messages.ConfigurationChanged(self._configuration))
        for worker in self._workers:
            self._fleet.claim(worker.worker_id)
        for name in self._schedulers_by_domain:
            self._send(name, messages.RecoveryEnded())

    def _schedule_faults(self) -> None:
        wave = self._scenario.cancel_wave
        if wave is not None:
            self._clock.at(wave.at, self._cancel_wave, wave.share)
        loss = self._scenario.rack_loss
        if loss is not None:
            first = min(worker.rack for worker in self._workers)
            for worker in self._workers:
                if worker.rack == first:
                    self._clock.at(loss.start, self._fleet.lose, worker.worker_id)
                    self._clock.at(loss.end, self._fleet.claim, worker.worker_id)

    def _cancel_wave(self, share: float) -> None:
        for job in list(self._jobs_by_id.values()):
            if job.state not in FINAL_JOB_STATES and self._rng.random() < share:
                self._send(job.domain, messages.CancelRequested(job.job_id))

    def _next_arrival(self, arrivals: Iterator[Arrival]) -> None:
        arrival = next(arrivals, None)
        if arrival is not None:
            self._clock.at(arrival.at, self._submit, arrival, arrivals)

    def _submit(self, arrival: Arrival, arrivals: Iterator[Arrival]) -> None:
        self._next_arrival(arrivals)
        spec = arrival.spec
        domain = self._choose_domain(spec)
        job_id = f"{domain}-{spec.idempotency_key}"
        refusal = self._schedulers_by_domain[domain].admit(spec)
        store_down = self._store.is_down()
        if refusal is not None:
            self._refuse(arrival, job_id, refusal.code)
        elif store_down and not spec.idempotent:
            self._refuse(arrival, job_id, "store_unavailable")
        else:
            self._accept(BenchJob(arrival, job_id, domain), recorded=not store_down)

    def _accept(self, job: BenchJob, recorded: bool) -> None:
        spec = job.arrival.spec
        key = (job.domain, spec.organisation)
        job.guaranteed = self._is_guaranteed(spec, key)
        self._in_use_by_key[key] += spec.accelerators
        self._jobs_by_id[job.job_id] = job
        now = self._wall_time()
        self._send(job.domain, messages.JobSubmitted(job.job_id, spec, now, recorded))

    def _refuse(self, arrival: Arrival, job_id: str, code: str) -> None:
        now = self._clock.now
        state = JobState.NOT_RUN
        self._refused.append(
            JobRecord(arrival, job_id, state, code, None, now, 0, False, False)
        )

    def _choose_domain(self, spec: JobSpec) -> str:
        """Choose as the router of a random entry node does."""
        own_domain = self._rng.choice(self._domain_names)
        loads = tuple(
            DomainLoad(name, True, status.largest_gang, status.queued_jobs)
            for name, status in self._statuses().items()
        )
        choice = self._choice.choose(spec, own_domain, loads, self._configuration)
        return choice or own_domain

    def _statuses(self) -> dict[str, DomainStatus]:
        if self._clock.now - self._status_at >= LOAD_INTERVAL_S:
            self._status_at = self._clock.now
            for name, scheduler in self._schedulers_by_domain.items():
                self._status_by_domain[name] = scheduler.status(self._wall_time())
        return self._status_by_domain

    def _is_guaranteed(self, spec: JobSpec, key: tuple[str, str]) -> bool:
        """Return whether a job fits what its organisation leaves unused.

        What the hardware cannot hold, as the owner reports it, is left out.
        """
        domain, organisation = key
        shapes = self._configuration.organisations_by_name[organisation].guarantees
        sizes = [
            shapes[cell.shape_index].accelerators
            for cell in self._configuration.cells
            if (cell.failure_domain, cell.organisation) == key
        ]
        short = sum(
            shapes[shortage.shape_index].accelerators
            for shortage in self._statuses()[domain].shortages
            if shortage.organisation == organisation
        )
        unused = sum(sizes) - short - self._in_use_by_key[key]
        return spec.accelerators <= min(max(sizes, default=0), unused)

    def _send(self, domain: str, event: messages.Event) -> None:
        self._events += 1
        scheduler = self._schedulers_by_domain[domain]
        for effect in scheduler.handle(event, self._wall_time()):
            self._carry_out(domain, effect)

    def _carry_out(self, domain: str, effect: messages.Effect) -> None:
        match effect:
            case messages.RecordStart():
                self._store.record_start(domain, effect)
            case messages.JobChanged():
                self._change_job(effect)
            case messages.TargetMissed():
                self._jobs_by_id[effect.job_id].missed = True
            case messages.ScheduleWakeUp():
                self._wakes_by_domain[domain] = effect.at
                at = max(effect.at - START_OF_RUN_S, self._clock.now)
                self._clock.at(at, self._tick, domain, effect.at)
            case _:
                self._fleet.carry_out(domain, effect)

    def _wall_time(self) -> float:
        return START_OF_RUN_S + self._clock.now

    def _tick(self, domain: str, at: float) -> None:
        if self._wakes_by_domain.get(domain) == at:
            del self._wakes_by_domain[domain]
            self._send(domain, messages.Tick())

    def _change_job(self, effect: messages.JobChanged) -> None:
        job = self._jobs_by_id[effect.job_id]
        job.state = effect.state
        job.reason = effect.reason
        if effect.state is JobState.RUNNING and job.started_at is None:
            job.started_at = self._clock.now
        if effect.state in FINAL_JOB_STATES and job.finished_at is None:
            job.finished_at = self._clock.now
            spec = job.arrival.spec
            self._in_use_by_key[job.domain, spec.organisation] -= spec.accelerators

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
            self._clock.after(SAMPLE_INTERVAL_S, self._sample, horizon_s)

    def _result(self) -> RunResult:
        jobs = self._jobs_by_id.values()
        records = tuple(_record(job) for job in jobs)
        return RunResult(
            records + tuple(self._refused),
            tuple(self._samples),
            self._fleet.work_s,
            self._events,
        )


def _record(job: BenchJob) -> JobRecord:
    return JobRecord(
        job.arrival,
        job.job_id,
        job.state,
        job.reason,
        job.started_at,
        job.finished_at,
        len(job.gangs_started),
        job.missed,
        job.guaranteed,
    )
