"""Cost of the pure parts: placement, scheduler state and configuration."""

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
JOBS_ENDED = 40  # jobs that end and are replaced while events are timed
JOB_TASKS = (1, 4, 16, 32, 64)
ACCELERATOR_SHARE = 0.1  # of the jobs
CHANGES = 20
ORGANISATIONS = 140
WORKERS_PER_ORGANISATION = 12
MILLISECONDS = 1_000.0


class PlacementRow(NamedTuple):
    """Placement of a gang of 64."""

    workers: int
    p50_ms: float
    p99_ms: float


class StateRow(NamedTuple):
    """A scheduler with about 11 tasks a worker."""

    workers: int
    tasks: int
    jobs: int
    memory_mb: float
    events: int
    mean_event_ms: float
    max_event_ms: float
    events_per_job: float


class ConfigurationRow(NamedTuple):
    """One change of a document."""

    organisations: int
    document_bytes: int
    change_bytes: int
    plan_ms: float
    apply_ms: float


def measure_placements(
    seed: int, sizes: tuple[int, ...] = PLACEMENT_SIZES
) -> list[PlacementRow]:
    """Measure placement of gangs of 64 at each number of workers."""
    rows = []
    for workers in sizes:
        cost = measure_placement(workers, seed)
        rows.append(PlacementRow(workers, cost.p50_ms, cost.p99_ms))
    return rows


def measure_states(
    seed: int, sizes: tuple[int, ...] = STATE_SIZES, ended: int = JOBS_ENDED
) -> list[StateRow]:
    """Measure memory and processor time of one domain's scheduler."""
    return [_measure_state(workers, seed, ended) for workers in sizes]


def measure_configurations(
    sizes: tuple[int, ...] = CONFIGURATION_SIZES,
) -> list[ConfigurationRow]:
    """Measure one change at each number of organisations."""
    return [_measure_configuration(count) for count in sizes]


class _Driver:
    """Answers the effects of a scheduler at once and keeps its gangs."""

    def __init__(self, workers: int, seed: int) -> None:
        self.times_ms: list[float] = []
        self.tasks = 0
        self.tasks_by_gang: dict[str, list[tuple[str, int]]] = {}
        self._rng = random.Random(seed)
        self._scheduler = Scheduler("measured", slack_policies())
        self._events: deque[messages.Event] = deque()
        self._started: list[str] = []
        self._now = 0.0
        self._serial = 0
        self._start(workers)

    @property
    def jobs(self) -> int:
        """Jobs that run."""
        return len(self._started)

    def fill(self, tasks: int) -> None:
        """Submit jobs until this many tasks run or no more fit."""
        refused = 0
        while self.tasks < tasks and refused < 10:
            before = self.tasks
            self.submit()
            refused += self.tasks == before

    def submit(self) -> None:
        """Submit one job and handle all that follows."""
        tasks = self._rng.choice(JOB_TASKS)
        per_task = int(self._rng.random() < ACCELERATOR_SHARE)
        spec = _job_spec(self._serial, tasks, per_task)
        self._serial += 1
        job_id = f"measured-{self._serial}"
        self._send(messages.JobSubmitted(job_id, spec, self._now, recorded=True))

    def end_one(self) -> None:
        """End a random running job."""
        index = self._rng.randrange(len(self._started))
        gang_id = self._started.pop(index)
        for worker_id, task in self.tasks_by_gang.pop(gang_id):
            self.tasks -= 1
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
            self._now += 0.01
            started = time.process_time()
            effects = self._scheduler.handle(self._events.popleft(), self._now)
            spent_ms = (time.process_time() - started) * MILLISECONDS
            self.times_ms.append(spent_ms)
            for effect in effects:
                self._answer(effect)

    def _answer(self, effect: messages.Effect) -> None:
        add = self._events.append
        match effect:
            case messages.ReserveMember(gang_id=gang_id, member=member):
                held = self.tasks_by_gang.setdefault(gang_id, [])
                held += [(member.worker_id, task) for task in member.tasks]
                add(messages.ReserveAnswered(gang_id, member.worker_id, True))
            case messages.RecordStart(gang_id=gang_id):
                add(messages.StartRecordAnswered(gang_id, True))
            case messages.StartMember(gang_id=gang_id, worker_id=worker_id):
                self._note_started(gang_id)
                add(messages.StartAnswered(gang_id, worker_id, True))
            case messages.ReleaseMember(gang_id=gang_id, worker_id=worker_id):
                add(messages.ReleaseAnswered(gang_id, worker_id))

    def _note_started(self, gang_id: str) -> None:
        if gang_id not in self._started:
            self._started.append(gang_id)
            self.tasks += len(self.tasks_by_gang[gang_id])


def _measure_state(workers: int, seed: int, ended: int) -> StateRow:
    tasks = round(workers * TASKS_PER_WORKER * 0.95)
    tracemalloc.start()
    measured = _Driver(workers, seed)
    measured.fill(tasks)
    measured.times_ms = []
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    driver = _Driver(workers, seed)
    driver.fill(tasks)
    running, tasks = driver.jobs, driver.tasks
    driver.times_ms = []
    for _ in range(min(ended, running)):
        driver.end_one()
        driver.submit()
    times_ms = driver.times_ms
    return StateRow(
        workers,
        tasks,
        running,
        memory_mb,
        len(times_ms),
        sum(times_ms) / len(times_ms),
        max(times_ms),
        len(times_ms) / min(ended, running),
    )


def _measure_configuration(count: int) -> ConfigurationRow:
    old = _configuration(count, 1)
    infos = _worker_infos(count * WORKERS_PER_ORGANISATION)
    old = old._replace(cells=plan_cells(old, infos))
    name = f"org{count // 2:03}"
    organisations = dict(old.organisations_by_name)
    organisations[name] = Organisation(name, (Shape(8, 2),))
    new = old._replace(version=2, organisations_by_name=organisations)
    started = time.process_time()
    new = new._replace(cells=plan_cells(new, infos))
    plan_ms = (time.process_time() - started) * MILLISECONDS
    text = codec.encode_change(codec.build_change(old, new, "0" * 32))
    started = time.process_time()
    for _ in range(CHANGES):
        codec.apply_change(old, codec.decode_change(text))
    apply_ms = (time.process_time() - started) * MILLISECONDS / CHANGES
    size = len(codec.encode_configuration(new).encode())
    return ConfigurationRow(count, size, len(text.encode()), plan_ms, apply_ms)


def _configuration(organisations: int, version: int) -> Configuration:
    names = [f"org{index:03}" for index in range(organisations)]
    return Configuration(
        version,
        {name: Organisation(name, (Shape(8, 1),)) for name in names},
        {"measured": JobClass("measured", 3_600.0, None)},
        (),
    )


def _job_spec(serial: int, tasks: int, per_task: int) -> JobSpec:
    return JobSpec(
        organisation=f"org{serial % ORGANISATIONS:03}",
        job_class="measured",
        caller="measured",
        idempotency_key=str(serial),
        tasks=tasks,
        accelerators_per_task=per_task,
        cores_per_task=1,
        memory_mb_per_task=1_024,
        idempotent=True,
        preemptible=True,
        declared_run_s=7_200.0,
        stop_bound_s=1.0,
        payload="",
    )
