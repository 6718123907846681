"""Measures the processor time of placement decisions on a large fleet."""

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
ORGANISATIONS = 140
WORKERS_PER_RACK = 24
CORES_PER_SLOT = 4
MEMORY_MB_PER_SLOT = 8192
# 11 slots on each of 1,700 workers hold 18,700 tasks, so 19,000 need 12.
SLOTS = 12
TASKS_PER_WORKER = 19_000 / 1_700
OCCUPIED_SHARE = 0.6
GUARANTEED_SHARE = 0.4


class PlacementCost(NamedTuple):
    """Time of the decisions for gangs of 64, in milliseconds."""

    p50_ms: float
    p99_ms: float
    decisions: int


def measure_placement(workers: int, seed: int) -> PlacementCost:
    """Measure decisions in one domain that is filled as at the target.

    Workers have 1.5 accelerators on average and carry 19,000 tasks per 1,700
    workers. Half of the gangs of 64 are borrowers. A gang that was placed
    is held, and the oldest one of at most 8 is released, so that the caches
    and indexes of the fleet have to follow the changes.

    Args:
        workers: Workers of the failure domain.
        seed: Seed of the occupancy and of the gangs.
    """
    rng = random.Random(seed)
    infos = _worker_infos(workers)
    configuration = _configuration(workers)
    configuration = configuration._replace(cells=plan_cells(configuration, infos))
    fleet = _filled_fleet(infos, rng)
    cell_table = CellTable()
    cell_table.assign(configuration, "measured", fleet, now=0.0)
    times_ms = _time_decisions(fleet, cell_table, rng)
    p99_ms = statistics.quantiles(times_ms, n=100)[98]
    return PlacementCost(statistics.median(times_ms), p99_ms, len(times_ms))


def _time_decisions(fleet: Fleet, cell_table: CellTable, rng: random.Random) -> list:
    policy = BestFitPlacement()
    times_ms: list[float] = []
    held: list[tuple[str, Placement]] = []
    for serial in range(DECISIONS):
        organisation = f"org{rng.randrange(ORGANISATIONS):03}"
        spec = _spec(organisation, GANG_TASKS, 1, borrower=rng.random() < 0.5)
        started = time.perf_counter()
        placement = policy.place(spec, fleet, cell_table)
        times_ms.append((time.perf_counter() - started) * 1000)
        if placement is not None:
            fleet.hold(f"measured{serial}", spec, placement)
            held.append((f"measured{serial}", placement))
        if held and (placement is None or len(held) > 8):
            gang_id, released = held.pop(0)
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
    """Guarantee a share of the fleet in a few large and many small shapes."""
    left = int(workers * 1.5 * GUARANTEED_SHARE)
    organisations = {}
    for index in range(ORGANISATIONS):
        size = GANG_TASKS if index % 35 == 0 else 2
        copies = 1 if size == GANG_TASKS else max(1, workers // 425)
        if size * copies <= left:
            name = f"org{index:03}"
            organisations[name] = Organisation(name, (Shape(size, copies),))
            left -= size * copies
    return Configuration(1, organisations, {}, ())


def _filled_fleet(infos: tuple[WorkerInfo, ...], rng: random.Random) -> Fleet:
    fleet = Fleet()
    left = int(len(infos) * TASKS_PER_WORKER)
    for info in infos:
        fleet.add_worker(info, boot_id="", draining=False)
        occupied = rng.random() < OCCUPIED_SHARE
        if occupied:
            left -= _hold_on(fleet, info, info.accelerators, 1)
        slots = info.slots - info.accelerators
        tasks = min(left, slots)
        left -= _hold_on(fleet, info, tasks, 0)
    for worker in list(fleet.workers_by_id.values()):
        if left and not worker.free_accelerators:
            left -= _hold_on(fleet, worker.info, min(left, worker.free_slots), 0)
    return fleet


def _hold_on(fleet: Fleet, info: WorkerInfo, tasks: int, per_task: int) -> int:
    if not tasks:
        return 0
    gang_id = f"{info.worker_id}/{len(fleet.gangs_by_id)}"
    organisation = f"org{len(fleet.gangs_by_id) % ORGANISATIONS:03}"
    indexes = tuple(range(tasks * per_task))
    member = MemberPlacement(info.worker_id, indexes, tuple(range(tasks)))
    spec = _spec(organisation, tasks, per_task, borrower=True)
    fleet.hold_member(gang_id, spec, member)
    return tasks


def _spec(organisation: str, tasks: int, per_task: int, borrower: bool) -> JobSpec:
    return JobSpec(
        organisation=organisation,
        job_class="measured",
        caller="measured",
        idempotency_key="",
        tasks=tasks,
        accelerators_per_task=per_task,
        cores_per_task=CORES_PER_SLOT,
        memory_mb_per_task=MEMORY_MB_PER_SLOT,
        idempotent=borrower,
        preemptible=borrower,
        declared_run_s=3600.0,
        stop_bound_s=1.0,
        payload="",
    )
