"""Checks that cells are disjoint, adjacent and reclaimable.

The check reads the gangs of the fleet and shares no bookkeeping with the
assignment, so that it also finds faults of the assignment.
"""

from collections import Counter
from collections.abc import Iterable

from ._cells import AdjacencyLevel, Cell, WantedCell, cell_level
from ._worker_capacity import cell_share, is_borrower
from .fleet import Fleet, HeldGang, WorkerState
from .model import GuaranteeShortage

Owners = dict[tuple[str, int], str]


def find_violations(
    fleet: Fleet,
    wanted: Iterable[WantedCell],
    cells: tuple[Cell, ...],
    shortages: tuple[GuaranteeShortage, ...],
) -> tuple[str, ...]:
    """Describe every cell that could not be reclaimed; empty if none."""
    found = _find_missing(wanted, cells, shortages)
    owners: Owners = {}
    for cell in cells:
        found += _check_place(cell, fleet)
        for worker_id, indexes in cell.accelerators_by_worker.items():
            for index in indexes:
                if (worker_id, index) in owners:
                    found.append(f"{_name(cell)}: {worker_id}/{index} is in two cells")
                owners[worker_id, index] = cell.key.organisation
    found += _check_holders(fleet, owners)
    for worker_id in sorted({worker_id for worker_id, _ in owners}):
        worker = fleet.workers_by_id.get(worker_id)
        if worker is not None:
            found += _check_resources(worker, fleet, owners)
    return tuple(found)


def _name(cell: Cell) -> str:
    key = cell.key
    return f"{key.organisation} shape {key.shape_index} copy {key.copy_index}"


def _find_missing(
    wanted: Iterable[WantedCell],
    cells: tuple[Cell, ...],
    shortages: tuple[GuaranteeShortage, ...],
) -> list[str]:
    present = {cell.key: cell.size for cell in cells}
    reported = {(s.organisation, s.shape_index, s.copy_index) for s in shortages}
    return [
        f"{w.key.organisation} shape {w.key.shape_index} copy {w.key.copy_index}: "
        "neither a cell nor a shortage"
        for w in wanted
        if present.get(w.key) != w.size and w.key[:3] not in reported
    ]


def _check_place(cell: Cell, fleet: Fleet) -> list[str]:
    found = []
    racks = set()
    for worker_id, indexes in cell.accelerators_by_worker.items():
        worker = fleet.workers_by_id.get(worker_id)
        if worker is None or not worker.accepts_work:
            found.append(f"{_name(cell)}: {worker_id} takes no work")
            continue
        racks.add(worker.info.rack)
        if not set(indexes) <= set(range(worker.info.accelerators)):
            found.append(f"{_name(cell)}: {worker_id} lacks accelerators")
    if sum(len(set(i)) for i in cell.accelerators_by_worker.values()) != cell.size:
        found.append(f"{_name(cell)}: not {cell.size} accelerators")
    level = cell_level(fleet, cell.size)
    if level is AdjacencyLevel.WORKER and len(cell.accelerators_by_worker) > 1:
        found.append(f"{_name(cell)}: spread over several workers")
    if level is AdjacencyLevel.RACK and len(racks) > 1:
        found.append(f"{_name(cell)}: spread over several racks")
    return found


def _check_holders(fleet: Fleet, owners: Owners) -> list[str]:
    found = []
    for gang in fleet.gangs_by_id.values():
        if is_borrower(gang.spec):
            continue
        for member in gang.members_by_worker.values():
            for index in member.accelerators:
                owner = owners.get((member.worker_id, index), gang.spec.organisation)
                if owner != gang.spec.organisation:
                    found.append(
                        f"{owner}: {member.worker_id}/{index} is held by "
                        f"{gang.gang_id} of {gang.spec.organisation}, which cannot "
                        "be stopped"
                    )
    return found


def _check_resources(worker: WorkerState, fleet: Fleet, owners: Owners) -> list[str]:
    info = worker.info
    cells_by_org = Counter(
        owners[info.worker_id, index]
        for index in range(info.accelerators)
        if (info.worker_id, index) in owners
    )
    gangs = [
        gang
        for gang in fleet.gangs_by_id.values()
        if info.worker_id in gang.members_by_worker
    ]
    found = []
    for kind, total in enumerate((info.slots, info.cores, info.memory_mb)):
        inside: Counter[str] = Counter()
        promised = 0
        for gang in gangs:
            organisation = gang.spec.organisation
            if is_borrower(gang.spec) and organisation not in cells_by_org:
                continue
            own, other = _firm_use(gang, info.worker_id, owners, kind)
            inside[organisation] += own
            promised += other
        for organisation in cells_by_org.keys() | inside.keys():
            share = cell_share(info, cells_by_org[organisation])[kind]
            promised += max(share, inside[organisation])
        if promised > total:
            name = ("slots", "cores", "MB of memory")[kind]
            found.append(
                f"{', '.join(sorted(cells_by_org))}: {info.worker_id} has {total} "
                f"{name}, cells and gangs that cannot be stopped need {promised}"
            )
    return found


def _firm_use(
    gang: HeldGang, worker_id: str, owners: Owners, kind: int
) -> tuple[int, int]:
    """Return the use inside and outside the gang's own cells."""
    member = gang.members_by_worker[worker_id]
    spec = gang.spec
    per_task = (1, spec.cores_per_task, spec.memory_mb_per_task)[kind]
    use = len(member.tasks) * per_task
    if not member.accelerators:
        return use, 0
    own = sum(
        owners.get((worker_id, index)) == spec.organisation
        for index in member.accelerators
    )
    inside = use * own // len(member.accelerators)
    return inside, use - inside
