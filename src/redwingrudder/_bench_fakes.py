"""Fakes of workers and store for the bench.

They answer each effect of a scheduler after a fixed latency; tasks end after
their true run time.
"""

import random
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from . import messages
from ._bench_clock import VirtualClock
from ._bench_load import Arrival, Outage
from .model import (
    JobSpec,
    JobState,
    TaskOutcome,
    TaskResult,
    WorkerInfo,
    WorkerReport,
)

LATENCY_S = 0.003  # one command and its answer
STORE_LATENCY_S = 0.005
STORE_RETRY_S = 1.0
WORKER_LOSS_DELAY_S = 31.0  # lease of 30 s plus the owner's margin
FAILING_TASK_S = 0.5
STOP_SHARE = 0.5  # mean share of the stop bound that a checkpoint takes

Send = Callable[[str, messages.Event], None]


class BenchJob:
    """Record of one accepted job while the run goes on."""

    def __init__(self, arrival: Arrival, job_id: str, domain: str) -> None:
        self.arrival = arrival
        self.job_id = job_id
        self.domain = domain
        self.state = JobState.QUEUED
        self.reason = ""
        self.started_at: float | None = None
        self.finished_at: float | None = None
        self.gangs_started: set[str] = set()
        self.gang_started_at = 0.0
        self.remaining_s = arrival.run_s
        self.gang_run_s = arrival.run_s
        self.missed = False
        self.guaranteed = False


class _Member(NamedTuple):
    job_id: str
    spec: JobSpec
    tasks: tuple[int, ...]
    open_tasks: frozenset[int]


class FakeFleet:
    """All workers of a run.

    Args:
        clock: Clock of the run.
        workers: The workers.
        failing: Workers whose tasks all fail.
        jobs_by_id: Jobs of the run, shared with the runner.
        send: Sends an event to the scheduler of a failure domain.
        rng: Source of the variation of stop times.
    """

    def __init__(
        self,
        clock: VirtualClock,
        workers: tuple[WorkerInfo, ...],
        failing: frozenset[str],
        jobs_by_id: dict[str, BenchJob],
        send: Send,
        rng: random.Random,
    ) -> None:
        self.work_s = 0.0
        self._clock = clock
        self._workers_by_id = {worker.worker_id: worker for worker in workers}
        self._failing = failing
        self._jobs_by_id = jobs_by_id
        self._send = send
        self._rng = rng
        self._members_by_key: dict[tuple[str, str], _Member] = {}
        self._boots_by_worker: dict[str, int] = defaultdict(int)
        self._lost: set[str] = set()

    def claim(self, worker_id: str) -> None:
        """Report an empty worker to its scheduler."""
        self._lost.discard(worker_id)
        boot_id = f"boot-{self._boots_by_worker[worker_id]}"
        info = self._workers_by_id[worker_id]
        report = WorkerReport(info, boot_id, False, ())
        self._send(info.failure_domain, messages.WorkerClaimed(report))

    def lose(self, worker_id: str) -> None:
        """Fail a worker; its owner learns of it when the lease lapses."""
        self._lost.add(worker_id)
        self._boots_by_worker[worker_id] += 1
        for key in [key for key in self._members_by_key if key[1] == worker_id]:
            del self._members_by_key[key]
        domain = self._workers_by_id[worker_id].failure_domain
        lost = messages.WorkerLost(worker_id, "lease lapsed")
        self._clock.after(WORKER_LOSS_DELAY_S, self._send, domain, lost)

    def carry_out(self, domain: str, effect: messages.Effect) -> None:
        """Answer a command to a worker after the latency."""
        match effect:
            case messages.ReserveMember():
                self._clock.after(LATENCY_S, self._reserve, domain, effect)
            case messages.StartMember():
                self._clock.after(LATENCY_S, self._start, domain, effect)
            case messages.ReleaseMember():
                self._clock.after(LATENCY_S, self._release, domain, effect)
            case messages.StopMember():
                self._clock.after(LATENCY_S, self._stop, domain, effect)

    def _reserve(self, domain: str, effect: messages.ReserveMember) -> None:
        worker_id = effect.member.worker_id
        if worker_id in self._lost:
            return
        self._members_by_key[effect.gang_id, worker_id] = _Member(
            effect.job_id, effect.spec, effect.member.tasks, frozenset()
        )
        self._send(domain, messages.ReserveAnswered(effect.gang_id, worker_id, True))

    def _start(self, domain: str, effect: messages.StartMember) -> None:
        key = (effect.gang_id, effect.worker_id)
        member = self._members_by_key.get(key)
        if member is None:
            return
        job = self._jobs_by_id[member.job_id]
        if effect.gang_id not in job.gangs_started:
            job.gangs_started.add(effect.gang_id)
            job.gang_started_at = self._clock.now
            job.gang_run_s = job.remaining_s
        open_tasks = frozenset(member.tasks)
        self._members_by_key[key] = member._replace(open_tasks=open_tasks)
        failing = effect.worker_id in self._failing
        run_s = FAILING_TASK_S if failing else job.gang_run_s
        outcome = TaskOutcome.FAILED if failing else TaskOutcome.SUCCEEDED
        self._send(domain, messages.StartAnswered(*key, True))
        for task in member.tasks:
            self._clock.after(run_s, self._end_task, domain, key, task, outcome)

    def _end_task(
        self, domain: str, key: tuple[str, str], task: int, outcome: TaskOutcome
    ) -> None:
        member = self._members_by_key.get(key)
        if member is None or task not in member.open_tasks:
            return
        left = member.open_tasks - {task}
        self._members_by_key[key] = member._replace(open_tasks=left)
        job = self._jobs_by_id[member.job_id]
        size = max(1, member.spec.accelerators_per_task)
        self.work_s += size * (self._clock.now - job.gang_started_at)
        result = TaskResult(task, outcome, "")
        self._send(domain, messages.TaskEnded(*key, result))

    def _stop(self, domain: str, effect: messages.StopMember) -> None:
        key = (effect.gang_id, effect.worker_id)
        member = self._members_by_key.get(key)
        if member is None:
            return
        job = self._jobs_by_id[member.job_id]
        if effect.checkpoint and effect.gang_id in job.gangs_started:
            done_s = self._clock.now - job.gang_started_at
            job.remaining_s = max(1.0, job.gang_run_s - done_s)
        outcome = TaskOutcome.CHECKPOINTED if effect.checkpoint else TaskOutcome.STOPPED
        delay_s = member.spec.stop_bound_s * STOP_SHARE * self._rng.uniform(0.5, 1.5)
        for task in member.open_tasks:
            self._clock.after(delay_s, self._end_task, domain, key, task, outcome)

    def _release(self, domain: str, effect: messages.ReleaseMember) -> None:
        if effect.worker_id in self._lost:
            return
        self._members_by_key.pop((effect.gang_id, effect.worker_id), None)
        answer = messages.ReleaseAnswered(effect.gang_id, effect.worker_id)
        self._send(domain, answer)


class FakeStore:
    """Records of starts, with an outage in which nothing is answered."""

    def __init__(self, clock: VirtualClock, outage: Outage | None, send: Send) -> None:
        self._clock = clock
        self._outage = outage
        self._send = send

    def is_down(self) -> bool:
        """Return whether the store is in its outage now."""
        outage = self._outage
        return outage is not None and outage.start <= self._clock.now < outage.end

    def record_start(self, domain: str, effect: messages.RecordStart) -> None:
        """Confirm a start, once the store is up."""
        self._clock.after(STORE_LATENCY_S, self._record, domain, effect)

    def _record(self, domain: str, effect: messages.RecordStart) -> None:
        if self.is_down():
            self._clock.after(STORE_RETRY_S, self._record, domain, effect)
        else:
            answer = messages.StartRecordAnswered(effect.gang_id, True)
            self._send(domain, answer)
