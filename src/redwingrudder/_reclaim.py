"""Reclaim of cells for work that is within its guarantee."""

from typing import NamedTuple

from ._cells import AdjacencyLevel, Cell, CellLayout
from ._offers import Offer, Tier, count_offered, fill_offers, gang_level
from ._worker_capacity import fitting_tasks, is_borrower, member_use
from .fleet import Fleet, WorkerState
from .guarantees import CellTable
from .model import JobSpec
from .policies import ReclaimPlan, ReclaimPolicy


class CellUnit(NamedTuple):
    """The part of a cell within which a gang is adjacent."""

    layout: CellLayout
    accelerators_by_worker: dict[str, tuple[int, ...]]


class RatedPlan(NamedTuple):
    """A plan with its cost; lower is better.

    ``spare`` counts the accelerators of the cell that the organisation could
    still claim afterwards. ``age_rank`` is higher for older gangs.
    """

    spare: int
    stopped: int
    age_rank: int
    plan: ReclaimPlan


class CellReclaim(ReclaimPolicy):
    """Uses a free own cell, or stops the borrowers that occupy one.

    The cell of which the least stays unused comes first, because a small job
    on a large cell would use up the large shape. Among equals the plan with
    the fewest gangs to stop is chosen, then the one that stops the youngest
    gangs, because they lose the least work.
    """

    def reclaim(
        self,
        spec: JobSpec,
        fleet: Fleet,
        guarantees: CellTable,
        avoid: frozenset[str] = frozenset(),
    ) -> ReclaimPlan | None:
        """Return a plan within the organisation's own cells, or None."""
        level = gang_level(spec, fleet)
        layout = guarantees.layout_of(fleet)
        best: RatedPlan | None = None
        for cell in fitting_cells(spec, guarantees):
            spare = _claimable(cell, layout) - spec.accelerators
            if spare < 0 or (best is not None and spare > best.spare):
                continue
            for unit in _units(cell, layout, level, avoid):
                plan = _cheapest_plan(spec, unit, spare)
                if plan and (best is None or plan[:3] < best[:3]):
                    best = plan
        return best.plan if best else None


def fitting_cells(spec: JobSpec, guarantees: CellTable) -> list[Cell]:
    """Return the cells of the job's organisation that are large enough.

    Cells are claimed by accelerators, so CPU-only work has none.
    """
    if not spec.accelerators_per_task:
        return []
    return [
        cell
        for cell in guarantees.cells_of(spec.organisation)
        if cell.size >= spec.accelerators
    ]


def _claimable(cell: Cell, layout: CellLayout) -> int:
    """Return the accelerators that the owner itself does not hold."""
    fleet = layout.fleet
    count = 0
    for worker_id, indexes in cell.accelerators_by_worker.items():
        worker = fleet.workers_by_id.get(worker_id)
        if worker is None:
            continue
        for index in indexes:
            gang_id = worker.gangs_by_accelerator[index]
            gang = fleet.gangs_by_id[gang_id] if gang_id else None
            count += gang is None or gang.spec.organisation != cell.key.organisation
    return count


def _units(
    cell: Cell, layout: CellLayout, level: AdjacencyLevel, avoid: frozenset[str]
) -> list[CellUnit]:
    by_unit: dict[str, dict[str, tuple[int, ...]]] = {}
    for worker_id, indexes in sorted(cell.accelerators_by_worker.items()):
        worker = layout.fleet.workers_by_id.get(worker_id)
        if worker is None or not worker.accepts_work or worker_id in avoid:
            continue
        name = (worker_id, worker.info.rack, "")[level]
        by_unit.setdefault(name, {})[worker_id] = indexes
    return [CellUnit(layout, accelerators) for accelerators in by_unit.values()]


def _cheapest_plan(spec: JobSpec, unit: CellUnit, spare: int) -> RatedPlan | None:
    """Spare the oldest gangs or those that free the least, by cost."""
    fleet = unit.layout.fleet
    gang_ids = _stoppable(spec.organisation, unit)
    by_age = sorted(gang_ids, key=fleet.gang_sequence)
    by_size = sorted(by_age, key=lambda gang_id: _freed(gang_id, unit))
    plans = [_plan_sparing(spec, unit, order, spare) for order in (by_age, by_size)]
    return min((p for p in plans if p), key=lambda p: p[:3], default=None)


def _stoppable(organisation: str, unit: CellUnit) -> set[str]:
    """Return the borrowers on the workers of a unit.

    They include those that hold no accelerator of the cell, because their
    slots, cores or memory may be needed.
    """
    fleet = unit.layout.fleet
    gang_ids: set[str] = set()
    for worker_id in unit.accelerators_by_worker:
        for gang_id in fleet.gang_ids_by_worker[worker_id]:
            spec = fleet.gangs_by_id[gang_id].spec
            if spec.organisation != organisation and is_borrower(spec):
                gang_ids.add(gang_id)
    return gang_ids


def _freed(gang_id: str, unit: CellUnit) -> int:
    members = unit.layout.fleet.gangs_by_id[gang_id].members_by_worker
    return sum(
        len(set(members[worker_id].accelerators).intersection(indexes))
        for worker_id, indexes in unit.accelerators_by_worker.items()
        if worker_id in members
    )


def _plan_sparing(
    spec: JobSpec, unit: CellUnit, gang_ids: list[str], spare: int
) -> RatedPlan | None:
    """Plan to stop all gangs, then spare each one that is not needed."""
    stopped = set(gang_ids)
    offers_by_worker = {
        worker_id: _offer(spec, unit, worker_id, stopped)
        for worker_id in unit.accelerators_by_worker
    }
    if count_offered(offers_by_worker.values()) < spec.tasks:
        return None
    members_by_gang = {
        gang_id: unit.layout.fleet.gangs_by_id[gang_id].members_by_worker
        for gang_id in gang_ids
    }
    for gang_id in gang_ids:
        stopped.discard(gang_id)
        changed = {
            worker_id: _offer(spec, unit, worker_id, stopped)
            for worker_id in members_by_gang[gang_id]
            if worker_id in offers_by_worker
        }
        if count_offered((offers_by_worker | changed).values()) >= spec.tasks:
            offers_by_worker |= changed
        else:
            stopped.add(gang_id)
    offers = sorted(offers_by_worker.values(), key=lambda offer: -offer.tasks)
    placement = fill_offers(spec, offers, Tier.OWN_CELLS)
    fleet = unit.layout.fleet
    ordered = tuple(sorted(stopped, key=fleet.gang_sequence))
    oldest = min(map(fleet.gang_sequence, stopped), default=0)
    return RatedPlan(spare, len(stopped), -oldest, ReclaimPlan(placement, ordered))


def _offer(spec: JobSpec, unit: CellUnit, worker_id: str, stopped: set[str]) -> Offer:
    """Return what a worker offers once some gangs have stopped."""
    worker = unit.layout.fleet.workers_by_id[worker_id]
    capacity = unit.layout.capacity(worker)
    freed = _without(worker, unit, stopped)
    accelerators = tuple(
        index
        for index in unit.accelerators_by_worker[worker_id]
        if freed.gangs_by_accelerator[index] is None
    )
    tasks = fitting_tasks(spec, capacity._replace(worker=freed), accelerators)
    return Offer(capacity, tasks, accelerators)


def _without(worker: WorkerState, unit: CellUnit, stopped: set[str]) -> WorkerState:
    fleet = unit.layout.fleet
    worker_id = worker.info.worker_id
    use = [0, 0, 0]
    for gang_id in stopped & fleet.gang_ids_by_worker[worker_id]:
        gang = fleet.gangs_by_id[gang_id]
        count = len(gang.members_by_worker[worker_id].tasks)
        use = [a + b for a, b in zip(use, member_use(gang.spec, count), strict=True)]
    return worker._replace(
        gangs_by_accelerator=tuple(
            None if gang_id in stopped else gang_id
            for gang_id in worker.gangs_by_accelerator
        ),
        free_slots=worker.free_slots + use[0],
        free_cores=worker.free_cores + use[1],
        free_memory_mb=worker.free_memory_mb + use[2],
    )
