"""Cost of placement, scheduler state and configuration changes."""

import random
import time
import tracemalloc
from collections import deque
from typing import NamedTuple

from . import _configuration_codec as codec
from . import messages
from ._cell_plan import plan_cells
from ._placement_cost import TASKS_PER_WORKER, _worker_infos, measure_placement
from .model import (
    Configuration,
    JobClass,
    JobSpec,
    Organisation,
    Shape,
    TaskOutcome,
    TaskResult,
    WorkerReport,
)
from .policies import slack_policies
from .scheduler import Scheduler

PLACEMENT_SIZES = (425, 850, 1_700, 3_400)  # workers
STATE_SIZES = (106, 212, 425, 850)  # workers
CONFIGURATION_SIZES = (35, 70, 140, 280)  # organisations
TIMED_JOB_ENDS = 40  # jobs that end and are replaced while events are timed
JOB_TASKS = (1, 4, 16, 32, 64)  # tasks of a job, with equal probability
ACCELERATOR_JOB_SHARE = 0.1  # jobs with one accelerator for each task
TIMED_CHANGES = 20  # repetitions over which the time to apply is averaged
ORGANISATIONS = 140
WORKERS_PER_ORGANISATION = 12
# Tasks that run when the events are timed, over ``TASKS_PER_WORKER``.
FILLED_SHARE = 0.95
# Filling stops after this many jobs that could not be placed.
MAX_UNPLACED_JOBS = 10
EVENT_INTERVAL_S = 0.01  # simulated time between two events
MS_PER_S = 1_000.0
BYTES_PER_MB = 1e6


class PlacementRow(NamedTuple):
    """Time to place a gang of 64 tasks.

    Attributes:
        workers: Workers of the failure domain.
        p50_ms: Median in milliseconds.
        p99_ms: 99th percentile in milliseconds.
    """

    workers: int
    p50_ms: float
    p99_ms: float


class StateRow(NamedTuple):
    """Cost of a scheduler whose workers hold about 11 tasks each.

    Attributes:
        workers: Workers of the failure domain.
        tasks: Running tasks before the events are timed.
        jobs: Running jobs before the events are timed.
        memory_mb: Memory of the scheduler's state, in megabytes.
        events: Number of timed events.
        mean_event_ms: Mean processor time of an event, in milliseconds.
        max_event_ms: Largest processor time of an event, in milliseconds.
        events_per_job: Events of one job that ends and one that replaces it.
    """

    workers: int
    tasks: int
    jobs: int
    memory_mb: float
    events: int
    mean_event_ms: float
    max_event_ms: float
    events_per_job: float


class ConfigurationRow(NamedTuple):
    """Cost of changing the guarantee of one organisation.

    Attributes:
        organisations: Organisations of the configuration.
        document_bytes: Size of the encoded new configuration.
        change_bytes: Size of the encoded change.
        plan_ms: Processor time to plan the cells, in milliseconds.
        apply_ms: Processor time to decode and apply the change, in
            milliseconds.
    """

    organisations: int
    document_bytes: int
    change_bytes: int
    plan_ms: float
    apply_ms: float


def measure_placements(
    seed: int, sizes: tuple[int, ...] = PLACEMENT_SIZES
) -> list[PlacementRow]:
    """Measure the placement of gangs of 64 tasks at each number of workers."""
    rows = []
    for workers in sizes:
        cost = measure_placement(workers, seed)
        rows.append(PlacementRow(workers, cost.p50_ms, cost.p99_ms))
    return rows


def measure_states(
    seed: int, sizes: tuple[int, ...] = STATE_SIZES, job_ends: int = TIMED_JOB_ENDS
) -> list[StateRow]:
    """Measure memory and processor time of the scheduler of one domain.

    Args:
        seed: Seed of the submitted jobs.
        sizes: Numbers of workers.
        job_ends: Jobs that end and are replaced while events are timed.
    """
    return [_measure_state(workers, seed, job_ends) for workers in sizes]


def measure_configurations(
    sizes: tuple[int, ...] = CONFIGURATION_SIZES,
) -> list[ConfigurationRow]:
    """Measure a configuration change at each number of organisations."""
    return [_measure_configuration(count) for count in sizes]


class _SchedulerDriver:
    """Drives a scheduler by answering each of its effects immediately.

    Attributes:
        event_times_ms: Processor time of each event, in milliseconds.
        running_tasks: Number of tasks that run.
        tasks_by_gang: Worker and index of each reserved or running task.
    """

    def __init__(self, workers: int, seed: int) -> None:
        self.event_times_ms: list[float] = []
        self.running_tasks = 0
        self.tasks_by_gang: dict[str, list[tuple[str, int]]] = {}
        self._rng = random.Random(seed)
        self._scheduler = Scheduler("measured", slack_policies())
        self._events: deque[messages.Event] = deque()
        self._running_gangs: list[str] = []
        self._now = 0.0
        self._serial = 0
        self._start(workers)

    @property
    def running_jobs(self) -> int:
        """Number of jobs that run."""
        return len(self._running_gangs)

    def fill(self, tasks: int) -> None:
        """Submit jobs until this many tasks run.

        Stops early when ``MAX_UNPLACED_JOBS`` jobs could not be placed.
        """
        unplaced_jobs = 0
        while self.running_tasks < tasks and unplaced_jobs < MAX_UNPLACED_JOBS:
            tasks_before = self.running_tasks
            self.submit()
            unplaced_jobs += self.running_tasks == tasks_before

    def submit(self) -> None:
        """Submit one job and handle all events that follow from it."""
        tasks = self._rng.choice(JOB_TASKS)
        accelerators_per_task = int(self._rng.random() < ACCELERATOR_JOB_SHARE)
        spec = _job_spec(self._serial, tasks, accelerators_per_task)
        self._serial += 1
        job_id = f"measured-{self._serial}"
        self._send(messages.JobSubmitted(job_id, spec, self._now, recorded=True))

    def end_random_job(self) -> None:
        """End a random running job; all its tasks succeed."""
        index = self._rng.randrange(len(self._running_gangs))
        gang_id = self._running_gangs.pop(index)
        for worker_id, task in self.tasks_by_gang.pop(gang_id):
            self.running_tasks -= 1
            result = TaskResult(task, TaskOutcome.SUCCEEDED, "")
            self._send(messages.TaskEnded(gang_id, worker_id, result))

    def _start(self, workers: int) -> None:
        infos = _worker_infos(workers)
        configuration = _configuration(ORGANISATIONS, 1)
        self._send(messages.ConfigurationChanged(configuration))
        for info in infos:
            self._send(messages.WorkerClaimed(WorkerReport(info, "b", False, ())))
        self._send(messages.RecoveryEnded())

    def _send(self, event: messages.Event) -> None:
        self._events.append(event)
        while self._events:
            self._now += EVENT_INTERVAL_S
            started_s = time.process_time()
            effects = self._scheduler.handle(self._events.popleft(), self._now)
            elapsed_ms = (time.process_time() - started_s) * MS_PER_S
            self.event_times_ms.append(elapsed_ms)
            for effect in effects:
                self._answer(effect)

    def _answer(self, effect: messages.Effect) -> None:
        add_event = self._events.append
        match effect:
            case messages.ReserveMember(gang_id=gang_id, member=member):
                gang_tasks = self.tasks_by_gang.setdefault(gang_id, [])
                gang_tasks += [(member.worker_id, task) for task in member.tasks]
                add_event(messages.ReserveAnswered(gang_id, member.worker_id, True))
            case messages.RecordStart(gang_id=gang_id):
                add_event(messages.StartRecordAnswered(gang_id, True))
            case messages.StartMember(gang_id=gang_id, worker_id=worker_id):
                self._add_running_gang(gang_id)
                add_event(messages.StartAnswered(gang_id, worker_id, True))
            case messages.ReleaseMember(gang_id=gang_id, worker_id=worker_id):
                add_event(messages.ReleaseAnswered(gang_id, worker_id))

    def _add_running_gang(self, gang_id: str) -> None:
        if gang_id not in self._running_gangs:
            self._running_gangs.append(gang_id)
            self.running_tasks += len(self.tasks_by_gang[gang_id])


def _measure_state(workers: int, seed: int, job_ends: int) -> StateRow:
    tasks = round(workers * TASKS_PER_WORKER * FILLED_SHARE)
    tracemalloc.start()
    traced_driver = _SchedulerDriver(workers, seed)
    traced_driver.fill(tasks)
    traced_driver.event_times_ms = []
    memory_mb = tracemalloc.get_traced_memory()[0] / BYTES_PER_MB
    tracemalloc.stop()
    # The events are timed on a second driver, without memory tracing.
    driver = _SchedulerDriver(workers, seed)
    driver.fill(tasks)
    running_jobs, tasks = driver.running_jobs, driver.running_tasks
    driver.event_times_ms = []
    for _ in range(min(job_ends, running_jobs)):
        driver.end_random_job()
        driver.submit()
    event_times_ms = driver.event_times_ms
    return StateRow(
        workers,
        tasks,
        running_jobs,
        memory_mb,
        len(event_times_ms),
        sum(event_times_ms) / len(event_times_ms),
        max(event_times_ms),
        len(event_times_ms) / min(job_ends, running_jobs),
    )


def _measure_configuration(count: int) -> ConfigurationRow:
    old = _configuration(count, 1)
    infos = _worker_infos(count * WORKERS_PER_ORGANISATION)
    old = old._replace(cells=plan_cells(old, infos))
    name = f"org{count // 2:03}"
    organisations = dict(old.organisations_by_name)
    organisations[name] = Organisation(name, (Shape(8, 2),))
    new = old._replace(version=2, organisations_by_name=organisations)
    started_s = time.process_time()
    new = new._replace(cells=plan_cells(new, infos))
    plan_ms = (time.process_time() - started_s) * MS_PER_S
    change_text = codec.encode_change(codec.build_change(old, new, "0" * 32))
    started_s = time.process_time()
    for _ in range(TIMED_CHANGES):
        codec.apply_change(old, codec.decode_change(change_text))
    apply_ms = (time.process_time() - started_s) * MS_PER_S / TIMED_CHANGES
    document_bytes = len(codec.encode_configuration(new).encode())
    return ConfigurationRow(
        count, document_bytes, len(change_text.encode()), plan_ms, apply_ms
    )


def _configuration(organisations: int, version: int) -> Configuration:
    names = [f"org{index:03}" for index in range(organisations)]
    return Configuration(
        version,
        {name: Organisation(name, (Shape(8, 1),)) for name in names},
        {"measured": JobClass("measured", 3_600.0, None)},
        (),
    )


def _job_spec(serial: int, tasks: int, accelerators_per_task: int) -> JobSpec:
    return JobSpec(
        organisation=f"org{serial % ORGANISATIONS:03}",
        job_class="measured",
        caller="measured",
        idempotency_key=str(serial),
        tasks=tasks,
        accelerators_per_task=accelerators_per_task,
        cores_per_task=1,
        memory_mb_per_task=1_024,
        idempotent=True,
        preemptible=True,
        declared_run_s=7_200.0,
        stop_bound_s=1.0,
        payload="",
    )
