"""Checks that cells are disjoint, adjacent and reclaimable.

The check computes everything from the gangs of the fleet and uses no state of
the cell assignment, so that it also detects faults of the assignment.
"""

from collections import Counter
from collections.abc import Iterable

from ._cells import AdjacencyLevel, Cell, RequiredCell, cell_level
from ._worker_capacity import cell_share, is_borrower
from .fleet import Fleet, HeldGang, WorkerState
from .model import GuaranteeShortage

OwnersByAccelerator = dict[tuple[str, int], str]


def find_violations(
    fleet: Fleet,
    required: Iterable[RequiredCell],
    cells: tuple[Cell, ...],
    shortages: tuple[GuaranteeShortage, ...],
) -> tuple[str, ...]:
    """Return a description of every violated guarantee, or an empty tuple."""
    violations = _check_copies(required, cells, shortages)
    owners_by_accelerator: OwnersByAccelerator = {}
    for cell in cells:
        violations += _check_cell(cell, fleet)
        for worker_id, indexes in cell.accelerators_by_worker.items():
            for index in indexes:
                if (worker_id, index) in owners_by_accelerator:
                    violations.append(
                        f"{_describe_cell(cell)}: accelerator {index} of "
                        f"{worker_id} is in two cells"
                    )
                owners_by_accelerator[worker_id, index] = cell.key.organisation
    violations += _check_holders(fleet, owners_by_accelerator)
    for worker_id in sorted({worker_id for worker_id, _ in owners_by_accelerator}):
        worker = fleet.workers_by_id.get(worker_id)
        if worker is not None:
            violations += _check_resources(worker, fleet, owners_by_accelerator)
    return tuple(violations)


def _describe_cell(cell: Cell) -> str:
    key = cell.key
    return f"{key.organisation} shape {key.shape_index} copy {key.copy_index}"


def _check_copies(
    required: Iterable[RequiredCell],
    cells: tuple[Cell, ...],
    shortages: tuple[GuaranteeShortage, ...],
) -> list[str]:
    sizes_by_key = {cell.key: cell.size for cell in cells}
    reported_copies = {
        (shortage.organisation, shortage.shape_index, shortage.copy_index)
        for shortage in shortages
    }
    return [
        f"{cell.key.organisation} shape {cell.key.shape_index} "
        f"copy {cell.key.copy_index}: has neither a cell nor a reported shortage"
        for cell in required
        if sizes_by_key.get(cell.key) != cell.size
        and cell.key[:3] not in reported_copies
    ]


def _check_cell(cell: Cell, fleet: Fleet) -> list[str]:
    violations = []
    racks = set()
    for worker_id, indexes in cell.accelerators_by_worker.items():
        worker = fleet.workers_by_id.get(worker_id)
        if worker is None or not worker.accepts_work:
            violations.append(
                f"{_describe_cell(cell)}: {worker_id} is lost, draining or quarantined"
            )
            continue
        racks.add(worker.info.rack)
        if not set(indexes) <= set(range(worker.info.accelerators)):
            violations.append(
                f"{_describe_cell(cell)}: {worker_id} has only "
                f"{worker.info.accelerators} accelerators"
            )
    if sum(len(set(i)) for i in cell.accelerators_by_worker.values()) != cell.size:
        violations.append(
            f"{_describe_cell(cell)}: does not have {cell.size} accelerators"
        )
    level = cell_level(fleet, cell.size)
    if level is AdjacencyLevel.WORKER and len(cell.accelerators_by_worker) > 1:
        violations.append(f"{_describe_cell(cell)}: is spread over several workers")
    if level is AdjacencyLevel.RACK and len(racks) > 1:
        violations.append(f"{_describe_cell(cell)}: is spread over several racks")
    return violations


def _check_holders(
    fleet: Fleet, owners_by_accelerator: OwnersByAccelerator
) -> list[str]:
    violations = []
    for gang in fleet.gangs_by_id.values():
        if is_borrower(gang.spec):
            continue
        for member in gang.members_by_worker.values():
            for index in member.accelerators:
                owner = owners_by_accelerator.get(
                    (member.worker_id, index), gang.spec.organisation
                )
                if owner != gang.spec.organisation:
                    violations.append(
                        f"{owner}: {member.worker_id}/{index} is held by "
                        f"{gang.gang_id} of {gang.spec.organisation}, which cannot "
                        "be stopped"
                    )
    return violations


def _check_resources(
    worker: WorkerState, fleet: Fleet, owners_by_accelerator: OwnersByAccelerator
) -> list[str]:
    info = worker.info
    cell_counts_by_organisation = Counter(
        owners_by_accelerator[info.worker_id, index]
        for index in range(info.accelerators)
        if (info.worker_id, index) in owners_by_accelerator
    )
    gangs = [
        gang
        for gang in fleet.gangs_by_id.values()
        if info.worker_id in gang.members_by_worker
    ]
    violations = []
    for resource_index, total in enumerate((info.slots, info.cores, info.memory_mb)):
        inside_by_organisation: Counter[str] = Counter()
        committed = 0
        for gang in gangs:
            organisation = gang.spec.organisation
            if (
                is_borrower(gang.spec)
                and organisation not in cell_counts_by_organisation
            ):
                continue
            own, other = _non_reclaimable_use(
                gang, info.worker_id, owners_by_accelerator, resource_index
            )
            inside_by_organisation[organisation] += own
            committed += other
        for organisation in (
            cell_counts_by_organisation.keys() | inside_by_organisation.keys()
        ):
            share = cell_share(info, cell_counts_by_organisation[organisation])[
                resource_index
            ]
            committed += max(share, inside_by_organisation[organisation])
        if committed > total:
            name = ("slots", "cores", "MB of memory")[resource_index]
            violations.append(
                f"{', '.join(sorted(cell_counts_by_organisation))}: "
                f"{info.worker_id} has {total} {name}, but cells and gangs that "
                f"cannot be stopped need {committed}"
            )
    return violations


def _non_reclaimable_use(
    gang: HeldGang,
    worker_id: str,
    owners_by_accelerator: OwnersByAccelerator,
    resource_index: int,
) -> tuple[int, int]:
    """Return the use of one resource inside and outside the gang's own cells.

    The resource index selects slots (0), cores (1) or memory (2).
    """
    member = gang.members_by_worker[worker_id]
    spec = gang.spec
    per_task = (1, spec.cores_per_task, spec.memory_mb_per_task)[resource_index]
    use = len(member.tasks) * per_task
    if not member.accelerators:
        return use, 0
    own = sum(
        owners_by_accelerator.get((worker_id, index)) == spec.organisation
        for index in member.accelerators
    )
    inside = use * own // len(member.accelerators)
    return inside, use - inside
