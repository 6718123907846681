"""Simulated workers and platform store of the benchmark.

They answer each effect of a scheduler after a fixed latency. Tasks end after
the true run time of their job, which the scheduler does not know.
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

WORKER_LATENCY_S = 0.003  # from a command to its answer
STORE_LATENCY_S = 0.005
STORE_RETRY_INTERVAL_S = 1.0
# A lease of 30 s plus the safety margin of the owner.
WORKER_LOSS_DELAY_S = 31.0
FAILING_TASK_RUN_S = 0.5
# Mean time that a task takes to stop, as a share of the job's stop bound.
MEAN_STOP_BOUND_SHARE = 0.5
MIN_STOP_TIME_FACTOR = 0.5
MAX_STOP_TIME_FACTOR = 1.5
MIN_REMAINING_RUN_S = 1.0

SendEvent = Callable[[str, messages.Event], None]


class BenchJob:
    """State of an accepted job during the run.

    Times are simulated seconds since the start of the run.

    Attributes:
        arrival: The job as it arrived, with its true run time.
        job_id: Identifier that the schedulers use.
        domain: Failure domain that accepted the job.
        state: Last state that the scheduler reported.
        reason: Reason of that state, or "".
        started_at: Time of the first start, or None.
        finished_at: Time at which the job became final, or None.
        started_gangs: Identifiers of the gangs that started.
        gang_started_at: Start time of the latest gang.
        remaining_s: True run time that is left after the last checkpoint.
        gang_run_s: Run time of the latest gang if nothing stops it.
        target_missed: Whether the scheduler reported a missed target.
        guaranteed: Whether the job was within its organisation's guarantee on
            arrival.
    """

    def __init__(self, arrival: Arrival, job_id: str, domain: str) -> None:
        self.arrival = arrival
        self.job_id = job_id
        self.domain = domain
        self.state = JobState.QUEUED
        self.reason = ""
        self.started_at: float | None = None
        self.finished_at: float | None = None
        self.started_gangs: set[str] = set()
        self.gang_started_at = 0.0
        self.remaining_s = arrival.run_s
        self.gang_run_s = arrival.run_s
        self.target_missed = False
        self.guaranteed = False


class _Member(NamedTuple):
    job_id: str
    spec: JobSpec
    tasks: tuple[int, ...]
    open_tasks: frozenset[int]


class FakeFleet:
    """All simulated workers of a run.

    Args:
        clock: Clock of the run.
        workers: The workers of all failure domains.
        failing_workers: Identifiers of workers on which every task fails.
        jobs_by_id: Accepted jobs; shared with the runner, which adds to it.
        send: Sends an event to the scheduler of a failure domain.
        rng: Random source of the stop times.

    Attributes:
        work_s: Work done by ended tasks, in accelerator-seconds.
    """

    def __init__(
        self,
        clock: VirtualClock,
        workers: tuple[WorkerInfo, ...],
        failing_workers: frozenset[str],
        jobs_by_id: dict[str, BenchJob],
        send: SendEvent,
        rng: random.Random,
    ) -> None:
        self.work_s = 0.0
        self._clock = clock
        self._workers_by_id = {worker.worker_id: worker for worker in workers}
        self._failing_workers = failing_workers
        self._jobs_by_id = jobs_by_id
        self._send = send
        self._rng = rng
        self._members_by_key: dict[tuple[str, str], _Member] = {}
        self._boot_count_by_worker: dict[str, int] = defaultdict(int)
        self._lost_workers: set[str] = set()

    def claim_worker(self, worker_id: str) -> None:
        """Report a worker without tasks as claimed, after a loss too."""
        self._lost_workers.discard(worker_id)
        boot_id = f"boot-{self._boot_count_by_worker[worker_id]}"
        info = self._workers_by_id[worker_id]
        report = WorkerReport(info, boot_id, False, ())
        self._send(info.failure_domain, messages.WorkerClaimed(report))

    def fail_worker(self, worker_id: str) -> None:
        """Drop a worker's tasks and report the loss when its lease lapses."""
        self._lost_workers.add(worker_id)
        self._boot_count_by_worker[worker_id] += 1
        for key in [key for key in self._members_by_key if key[1] == worker_id]:
            del self._members_by_key[key]
        domain = self._workers_by_id[worker_id].failure_domain
        lost = messages.WorkerLost(worker_id, "lease lapsed")
        self._clock.call_later(WORKER_LOSS_DELAY_S, self._send, domain, lost)

    def execute_command(self, domain: str, effect: messages.Effect) -> None:
        """Execute a command to a worker after ``WORKER_LATENCY_S``.

        Effects of other types are ignored.
        """
        match effect:
            case messages.ReserveMember():
                self._clock.call_later(WORKER_LATENCY_S, self._reserve, domain, effect)
            case messages.StartMember():
                self._clock.call_later(WORKER_LATENCY_S, self._start, domain, effect)
            case messages.ReleaseMember():
                self._clock.call_later(WORKER_LATENCY_S, self._release, domain, effect)
            case messages.StopMember():
                self._clock.call_later(WORKER_LATENCY_S, self._stop, domain, effect)

    def _reserve(self, domain: str, effect: messages.ReserveMember) -> None:
        worker_id = effect.member.worker_id
        if worker_id in self._lost_workers:
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
        if effect.gang_id not in job.started_gangs:
            job.started_gangs.add(effect.gang_id)
            job.gang_started_at = self._clock.now
            job.gang_run_s = job.remaining_s
        open_tasks = frozenset(member.tasks)
        self._members_by_key[key] = member._replace(open_tasks=open_tasks)
        fails = effect.worker_id in self._failing_workers
        run_s = FAILING_TASK_RUN_S if fails else job.gang_run_s
        outcome = TaskOutcome.FAILED if fails else TaskOutcome.SUCCEEDED
        self._send(domain, messages.StartAnswered(*key, True))
        for task in member.tasks:
            self._clock.call_later(run_s, self._end_task, domain, key, task, outcome)

    def _end_task(
        self, domain: str, key: tuple[str, str], task: int, outcome: TaskOutcome
    ) -> None:
        member = self._members_by_key.get(key)
        if member is None or task not in member.open_tasks:
            return
        unfinished = member.open_tasks - {task}
        self._members_by_key[key] = member._replace(open_tasks=unfinished)
        job = self._jobs_by_id[member.job_id]
        accelerators = max(1, member.spec.accelerators_per_task)
        self.work_s += accelerators * (self._clock.now - job.gang_started_at)
        result = TaskResult(task, outcome, "")
        self._send(domain, messages.TaskEnded(*key, result))

    def _stop(self, domain: str, effect: messages.StopMember) -> None:
        key = (effect.gang_id, effect.worker_id)
        member = self._members_by_key.get(key)
        if member is None:
            return
        job = self._jobs_by_id[member.job_id]
        if effect.checkpoint and effect.gang_id in job.started_gangs:
            elapsed_s = self._clock.now - job.gang_started_at
            job.remaining_s = max(MIN_REMAINING_RUN_S, job.gang_run_s - elapsed_s)
        outcome = TaskOutcome.CHECKPOINTED if effect.checkpoint else TaskOutcome.STOPPED
        delay_s = (
            member.spec.stop_bound_s
            * MEAN_STOP_BOUND_SHARE
            * self._rng.uniform(MIN_STOP_TIME_FACTOR, MAX_STOP_TIME_FACTOR)
        )
        for task in member.open_tasks:
            self._clock.call_later(delay_s, self._end_task, domain, key, task, outcome)

    def _release(self, domain: str, effect: messages.ReleaseMember) -> None:
        if effect.worker_id in self._lost_workers:
            return
        self._members_by_key.pop((effect.gang_id, effect.worker_id), None)
        answer = messages.ReleaseAnswered(effect.gang_id, effect.worker_id)
        self._send(domain, answer)


class FakeStore:
    """Platform store that records starts and does not answer in an outage."""

    def __init__(
        self, clock: VirtualClock, outage: Outage | None, send: SendEvent
    ) -> None:
        self._clock = clock
        self._outage = outage
        self._send = send

    def is_down(self) -> bool:
        """Return whether the current time is within the outage."""
        outage = self._outage
        return outage is not None and outage.start <= self._clock.now < outage.end

    def record_start(self, domain: str, effect: messages.RecordStart) -> None:
        """Confirm a start after ``STORE_LATENCY_S``.

        During an outage the write is repeated until the store is available.
        """
        self._clock.call_later(STORE_LATENCY_S, self._write_start, domain, effect)

    def _write_start(self, domain: str, effect: messages.RecordStart) -> None:
        if self.is_down():
            self._clock.call_later(
                STORE_RETRY_INTERVAL_S, self._write_start, domain, effect
            )
        else:
            answer = messages.StartRecordAnswered(effect.gang_id, True)
            self._send(domain, answer)
