"""Reclaim of cells from borrowers for jobs that are within a guarantee."""

from typing import NamedTuple

from ._cells import AdjacencyLevel, Cell, CellLayout
from ._offers import Offer, Tier, count_offered_tasks, gang_level, place_on_offers
from ._worker_capacity import fitting_tasks, is_borrower, member_use
from .fleet import Fleet, WorkerState
from .guarantees import CellTable
from .model import JobSpec
from .policies import ReclaimPlan, ReclaimPolicy

# The fields of ScoredPlan before the plan itself form its cost.
COST_FIELDS = 3


class CellUnit(NamedTuple):
    """A part of a cell in which a gang can be placed adjacently.

    Depending on the adjacency level of the gang, it is one worker, the
    workers of one rack or all workers of the cell.
    """

    layout: CellLayout
    accelerators_by_worker: dict[str, tuple[int, ...]]


class ScoredPlan(NamedTuple):
    """A plan with its cost, compared field by field; the lowest cost wins.

    ``claimable_after`` is the number of accelerators of the cell that the
    organisation could still claim afterwards. ``stopped_gangs`` is the number
    of gangs to stop. ``age_rank`` is higher if an older gang is stopped.
    """

    claimable_after: int
    stopped_gangs: int
    age_rank: int
    plan: ReclaimPlan


class CellReclaim(ReclaimPolicy):
    """Uses a free cell of the organisation or stops the borrowers in one.

    The cell in which the fewest accelerators stay unused is preferred,
    because a small job in a large cell would make the large guaranteed shape
    unavailable. Among such cells, the plan that stops the fewest gangs is
    chosen, then the one that stops the youngest gangs, because they lose the
    least work.
    """

    def reclaim(
        self,
        spec: JobSpec,
        fleet: Fleet,
        guarantees: CellTable,
        avoid: frozenset[str] = frozenset(),
    ) -> ReclaimPlan | None:
        """Return a plan in the cells of the job's organisation, or None."""
        level = gang_level(spec, fleet)
        layout = guarantees.layout_of(fleet)
        best: ScoredPlan | None = None
        for cell in fitting_cells(spec, guarantees):
            claimable_after = _count_claimable(cell, layout) - spec.accelerators
            if claimable_after < 0 or (
                best is not None and claimable_after > best.claimable_after
            ):
                continue
            for unit in _split_into_units(cell, layout, level, avoid):
                plan = _cheapest_plan(spec, unit, claimable_after)
                if plan and (best is None or plan[:COST_FIELDS] < best[:COST_FIELDS]):
                    best = plan
        return best.plan if best else None


def fitting_cells(spec: JobSpec, guarantees: CellTable) -> list[Cell]:
    """Return the cells of the job's organisation that are large enough.

    A cell consists of accelerators, so the result is empty for a job that
    needs none.
    """
    if not spec.accelerators_per_task:
        return []
    return [
        cell
        for cell in guarantees.cells_of(spec.organisation)
        if cell.size >= spec.accelerators
    ]


def _count_claimable(cell: Cell, layout: CellLayout) -> int:
    """Count the accelerators of a cell that its owner does not use itself."""
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


def _split_into_units(
    cell: Cell, layout: CellLayout, level: AdjacencyLevel, avoid: frozenset[str]
) -> list[CellUnit]:
    accelerators_by_unit: dict[str, dict[str, tuple[int, ...]]] = {}
    for worker_id, indexes in sorted(cell.accelerators_by_worker.items()):
        worker = layout.fleet.workers_by_id.get(worker_id)
        if worker is None or not worker.accepts_work or worker_id in avoid:
            continue
        unit_id = (worker_id, worker.info.rack, "")[level]
        accelerators_by_unit.setdefault(unit_id, {})[worker_id] = indexes
    return [
        CellUnit(layout, accelerators) for accelerators in accelerators_by_unit.values()
    ]


def _cheapest_plan(
    spec: JobSpec, unit: CellUnit, claimable_after: int
) -> ScoredPlan | None:
    """Return the cheapest plan within a unit, or None if the gang cannot fit.

    Two plans are compared: one that tries to keep the oldest gangs running
    and one that tries to keep the gangs that would free the fewest
    accelerators.
    """
    fleet = unit.layout.fleet
    gang_ids = _stoppable_gangs(spec.organisation, unit)
    by_age = sorted(gang_ids, key=fleet.gang_sequence)
    by_size = sorted(by_age, key=lambda gang_id: _count_freed(gang_id, unit))
    plans = [
        _plan_with_fewest_stops(spec, unit, gang_order, claimable_after)
        for gang_order in (by_age, by_size)
    ]
    return min(
        (plan for plan in plans if plan),
        key=lambda plan: plan[:COST_FIELDS],
        default=None,
    )


def _stoppable_gangs(organisation: str, unit: CellUnit) -> set[str]:
    """Return the borrowers of other organisations on the workers of a unit.

    Borrowers that hold no accelerator of the cell are included, because their
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


def _count_freed(gang_id: str, unit: CellUnit) -> int:
    members = unit.layout.fleet.gangs_by_id[gang_id].members_by_worker
    return sum(
        len(set(members[worker_id].accelerators).intersection(indexes))
        for worker_id, indexes in unit.accelerators_by_worker.items()
        if worker_id in members
    )


def _plan_with_fewest_stops(
    spec: JobSpec, unit: CellUnit, gang_ids: list[str], claimable_after: int
) -> ScoredPlan | None:
    """Plan to stop all gangs, then keep each gang that need not be stopped.

    The gangs are tested in the given order, so those at the front are the
    most likely to be kept.
    """
    stopped_gangs = set(gang_ids)
    offers_by_worker = {
        worker_id: _offer_after_stops(spec, unit, worker_id, stopped_gangs)
        for worker_id in unit.accelerators_by_worker
    }
    if count_offered_tasks(offers_by_worker.values()) < spec.tasks:
        return None
    members_by_gang = {
        gang_id: unit.layout.fleet.gangs_by_id[gang_id].members_by_worker
        for gang_id in gang_ids
    }
    for gang_id in gang_ids:
        stopped_gangs.discard(gang_id)
        changed_offers = {
            worker_id: _offer_after_stops(spec, unit, worker_id, stopped_gangs)
            for worker_id in members_by_gang[gang_id]
            if worker_id in offers_by_worker
        }
        if (
            count_offered_tasks((offers_by_worker | changed_offers).values())
            >= spec.tasks
        ):
            offers_by_worker |= changed_offers
        else:
            stopped_gangs.add(gang_id)
    offers = sorted(offers_by_worker.values(), key=lambda offer: -offer.tasks)
    placement = place_on_offers(spec, offers, Tier.OWN_CELLS)
    fleet = unit.layout.fleet
    ordered = tuple(sorted(stopped_gangs, key=fleet.gang_sequence))
    oldest = min(map(fleet.gang_sequence, stopped_gangs), default=0)
    return ScoredPlan(
        claimable_after, len(stopped_gangs), -oldest, ReclaimPlan(placement, ordered)
    )


def _offer_after_stops(
    spec: JobSpec, unit: CellUnit, worker_id: str, stopped_gangs: set[str]
) -> Offer:
    """Return the offer of a worker after some gangs have stopped."""
    worker = unit.layout.fleet.workers_by_id[worker_id]
    capacity = unit.layout.capacity(worker)
    worker_after_stops = _worker_after_stops(worker, unit, stopped_gangs)
    accelerators = tuple(
        index
        for index in unit.accelerators_by_worker[worker_id]
        if worker_after_stops.gangs_by_accelerator[index] is None
    )
    tasks = fitting_tasks(
        spec, capacity._replace(worker=worker_after_stops), accelerators
    )
    return Offer(capacity, tasks, accelerators)


def _worker_after_stops(
    worker: WorkerState, unit: CellUnit, stopped_gangs: set[str]
) -> WorkerState:
    fleet = unit.layout.fleet
    worker_id = worker.info.worker_id
    freed_resources = [0, 0, 0]
    for gang_id in stopped_gangs & fleet.gang_ids_by_worker[worker_id]:
        gang = fleet.gangs_by_id[gang_id]
        count = len(gang.members_by_worker[worker_id].tasks)
        freed_resources = [
            a + b
            for a, b in zip(freed_resources, member_use(gang.spec, count), strict=True)
        ]
    return worker._replace(
        gangs_by_accelerator=tuple(
            None if gang_id in stopped_gangs else gang_id
            for gang_id in worker.gangs_by_accelerator
        ),
        free_slots=worker.free_slots + freed_resources[0],
        free_cores=worker.free_cores + freed_resources[1],
        free_memory_mb=worker.free_memory_mb + freed_resources[2],
    )
