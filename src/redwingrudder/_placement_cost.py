"""Measures the time of placement decisions on a large generated fleet."""

import random
import statistics
import time
from typing import NamedTuple

from ._cell_plan import plan_cells
from ._placement import BestFitPlacement
from .fleet import Fleet
from .guarantees import CellTable
from .model import (
    Configuration,
    JobSpec,
    MemberPlacement,
    Organisation,
    Placement,
    Shape,
    WorkerInfo,
)

DECISIONS = 400
GANG_TASKS = 64
# Maximum number of measured gangs that hold resources at the same time.
HELD_GANGS_LIMIT = 8
BORROWER_SHARE = 0.5
ORGANISATIONS = 140
# Every 35th organisation is guaranteed a shape of GANG_TASKS accelerators, the
# others copies of a small shape, one copy for every 425 workers.
LARGE_SHAPE_INTERVAL = 35
SMALL_SHAPE_ACCELERATORS = 2
WORKERS_PER_SMALL_COPY = 425
# Workers have one and two accelerators in turn.
MEAN_ACCELERATORS = 1.5
WORKERS_PER_RACK = 24
CORES_PER_SLOT = 4
MEMORY_MB_PER_SLOT = 8192
# With 11 slots each, 1,700 workers would hold only 18,700 of 19,000 tasks.
SLOTS = 12
TASKS_PER_WORKER = 19_000 / 1_700
# Share of the workers whose accelerators are all in use.
OCCUPIED_SHARE = 0.6
# Share of all accelerators that is guaranteed to organisations.
GUARANTEED_SHARE = 0.4
MS_PER_S = 1000
P99_INDEX = 98


class PlacementCost(NamedTuple):
    """Distribution of the time per decision for gangs of GANG_TASKS tasks."""

    p50_ms: float
    p99_ms: float
    decisions: int


def measure_placement(workers: int, seed: int) -> PlacementCost:
    """Measure decisions in one failure domain at the targeted occupancy.

    Workers have 1.5 accelerators on average and run 19,000 tasks per 1,700
    workers. Half of the measured gangs of 64 tasks are borrowers. Each gang
    that was placed holds its resources. The oldest one is released if more
    than 8 hold resources or if the next gang does not fit, so that the
    measured time includes the updates of caches after changes of the fleet.

    Args:
        workers: Number of workers in the failure domain.
        seed: Seed of the random occupancy and of the random gangs.
    """
    rng = random.Random(seed)
    worker_infos = _worker_infos(workers)
    configuration = _configuration(workers)
    configuration = configuration._replace(
        cells=plan_cells(configuration, worker_infos)
    )
    fleet = _filled_fleet(worker_infos, rng)
    cell_table = CellTable()
    cell_table.assign(configuration, "measured", fleet, now=0.0)
    times_ms = _measure_decisions(fleet, cell_table, rng)
    p99_ms = statistics.quantiles(times_ms, n=100)[P99_INDEX]
    return PlacementCost(statistics.median(times_ms), p99_ms, len(times_ms))


def _measure_decisions(fleet: Fleet, cell_table: CellTable, rng: random.Random) -> list:
    policy = BestFitPlacement()
    times_ms: list[float] = []
    held_gangs: list[tuple[str, Placement]] = []
    for serial in range(DECISIONS):
        organisation = f"org{rng.randrange(ORGANISATIONS):03}"
        spec = _make_spec(
            organisation, GANG_TASKS, 1, borrower=rng.random() < BORROWER_SHARE
        )
        started = time.perf_counter()
        placement = policy.place(spec, fleet, cell_table)
        times_ms.append((time.perf_counter() - started) * MS_PER_S)
        if placement is not None:
            fleet.hold(f"measured{serial}", spec, placement)
            held_gangs.append((f"measured{serial}", placement))
        if held_gangs and (placement is None or len(held_gangs) > HELD_GANGS_LIMIT):
            gang_id, released = held_gangs.pop(0)
            for member in released.members:
                fleet.release_member(gang_id, member.worker_id)
    return times_ms


def _worker_infos(workers: int) -> tuple[WorkerInfo, ...]:
    return tuple(
        WorkerInfo(
            worker_id=f"w{index:05}",
            address="",
            failure_domain="measured",
            rack=f"r{index // WORKERS_PER_RACK:04}",
            accelerators=1 + index % 2,
            slots=SLOTS,
            cores=SLOTS * CORES_PER_SLOT,
            memory_mb=SLOTS * MEMORY_MB_PER_SLOT,
        )
        for index in range(workers)
    )


def _configuration(workers: int) -> Configuration:
    """Guarantee a share of the fleet as a few large and many small shapes."""
    remaining_accelerators = int(workers * MEAN_ACCELERATORS * GUARANTEED_SHARE)
    organisations = {}
    for index in range(ORGANISATIONS):
        size = (
            GANG_TASKS
            if index % LARGE_SHAPE_INTERVAL == 0
            else SMALL_SHAPE_ACCELERATORS
        )
        copies = 1 if size == GANG_TASKS else max(1, workers // WORKERS_PER_SMALL_COPY)
        if size * copies <= remaining_accelerators:
            name = f"org{index:03}"
            organisations[name] = Organisation(name, (Shape(size, copies),))
            remaining_accelerators -= size * copies
    return Configuration(1, organisations, {}, ())


def _filled_fleet(worker_infos: tuple[WorkerInfo, ...], rng: random.Random) -> Fleet:
    fleet = Fleet()
    remaining_tasks = int(len(worker_infos) * TASKS_PER_WORKER)
    for info in worker_infos:
        fleet.add_worker(info, boot_id="", draining=False)
        occupied = rng.random() < OCCUPIED_SHARE
        if occupied:
            remaining_tasks -= _hold_tasks(fleet, info, info.accelerators, 1)
        slots = info.slots - info.accelerators
        tasks = min(remaining_tasks, slots)
        remaining_tasks -= _hold_tasks(fleet, info, tasks, 0)
    for worker in list(fleet.workers_by_id.values()):
        if remaining_tasks and not worker.free_accelerators:
            remaining_tasks -= _hold_tasks(
                fleet, worker.info, min(remaining_tasks, worker.free_slots), 0
            )
    return fleet


def _hold_tasks(
    fleet: Fleet, info: WorkerInfo, tasks: int, accelerators_per_task: int
) -> int:
    if not tasks:
        return 0
    gang_id = f"{info.worker_id}/{len(fleet.gangs_by_id)}"
    organisation = f"org{len(fleet.gangs_by_id) % ORGANISATIONS:03}"
    indexes = tuple(range(tasks * accelerators_per_task))
    member = MemberPlacement(info.worker_id, indexes, tuple(range(tasks)))
    spec = _make_spec(organisation, tasks, accelerators_per_task, borrower=True)
    fleet.hold_member(gang_id, spec, member)
    return tasks


def _make_spec(
    organisation: str, tasks: int, accelerators_per_task: int, borrower: bool
) -> JobSpec:
    return JobSpec(
        organisation=organisation,
        job_class="measured",
        caller="measured",
        idempotency_key="",
        tasks=tasks,
        accelerators_per_task=accelerators_per_task,
        cores_per_task=CORES_PER_SLOT,
        memory_mb_per_task=MEMORY_MB_PER_SLOT,
        idempotent=borrower,
        preemptible=borrower,
        declared_run_s=3600.0,
        stop_bound_s=1.0,
        payload="",
    )
