"""What one worker can still take without breaking a cell.

A cell must stay usable, so slots, cores and memory are kept back for it as
well. Each accelerator of a cell has a share: one slot and its proportional
part of the cores and memory of the worker. On every worker the following
holds for slots, cores and memory alike::

    sum over organisations of max(share, firm use inside its cells)
        + firm use outside cells  <=  total

Firm use is the use of gangs that cannot be stopped for the owner of a cell
on that worker: those that are not borrowers, and those of organisations that
have a cell there themselves, because a reclaim never stops the owner's own
gangs. The use of a gang with accelerators counts as inside in proportion to
its accelerators in its own cells. A CPU-only gang counts as inside, so an
organisation may use the slots of its own cells for CPU-only work.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .fleet import Fleet, HeldGang, WorkerState, count_tasks
from .model import JobSpec, MemberPlacement, WorkerInfo

RECLAIM_BOUND_S = 2.0

Owners = tuple[str | None, ...]


class Resources(NamedTuple):
    """Slots, cores and memory; negative where more is promised than exists."""

    slots: int
    cores: int
    memory_mb: int

    def plus(self, other: "Resources", sign: int = 1) -> "Resources":
        """Return the sum, or the difference when ``sign`` is -1."""
        return Resources(
            self.slots + sign * other.slots,
            self.cores + sign * other.cores,
            self.memory_mb + sign * other.memory_mb,
        )

    def maximum(self, other: "Resources") -> "Resources":
        """Return the larger value of each component."""
        return Resources(*map(max, self, other))


NO_RESOURCES = Resources(0, 0, 0)


class WorkerCapacity(NamedTuple):
    """Free accelerators of a worker by owner of the cell, and its margin.

    ``margin`` is what firm use outside cells may still take; it is negative
    in a component when a cell on this worker could not be used in full.
    ``unused_shares`` has what remains of the share of each organisation.
    ``blocked`` has the cell accelerators that a gang holds which cannot be
    stopped for the owner of the cell.
    """

    worker: WorkerState
    owners: Owners
    unassigned: tuple[int, ...]
    free_by_owner: dict[str, tuple[int, ...]]
    free_accelerators: int
    margin: Resources
    unused_shares: dict[str, Resources]
    blocked: frozenset[int]

    @property
    def has_cells(self) -> bool:
        """Whether some accelerator here belongs to a cell."""
        return bool(self.unused_shares)

    def foreign(self, organisation: str) -> tuple[int, ...]:
        """Return the free accelerators in cells of other organisations."""
        return tuple(
            index
            for owner, indexes in sorted(self.free_by_owner.items())
            if owner != organisation
            for index in indexes
        )

    @property
    def keeps_cells(self) -> bool:
        """Whether slots, cores and memory suffice for every cell here."""
        return min(self.margin) >= 0


def is_borrower(spec: JobSpec) -> bool:
    """Whether a job may run on the cells of other organisations."""
    return spec.preemptible and spec.idempotent and spec.stop_bound_s <= RECLAIM_BOUND_S


def cell_share(info: WorkerInfo, accelerators: int) -> Resources:
    """Return what is kept back for a number of cell accelerators.

    At least one slot is kept, because a cell without a slot is of no use.
    """
    if not accelerators:
        return NO_RESOURCES
    slots = max(1, min(accelerators, info.slots * accelerators // info.accelerators))
    cores = info.cores * accelerators // info.accelerators
    return Resources(slots, cores, info.memory_mb * accelerators // info.accelerators)


def member_use(spec: JobSpec, tasks: int) -> Resources:
    """Return what a number of tasks of a job take on their worker."""
    return Resources(
        tasks, tasks * spec.cores_per_task, tasks * spec.memory_mb_per_task
    )


def split_use(
    spec: JobSpec, tasks: int, accelerators: Iterable[int], owners: Owners
) -> tuple[Resources, Resources]:
    """Return the use of a member inside and outside its own cells."""
    use = member_use(spec, tasks)
    indexes = tuple(accelerators)
    if not indexes:
        return use, NO_RESOURCES
    own = sum(owners[index] == spec.organisation for index in indexes)
    inside = Resources(*(value * own // len(indexes) for value in use))
    return inside, use.plus(inside, -1)


def build_worker_capacity(
    worker: WorkerState, owners: Owners, fleet: Fleet
) -> WorkerCapacity:
    """Derive the capacity of a worker from its cells and its gangs."""
    unassigned, free_by_owner = _free_by_owner(worker, owners)
    gangs = [
        fleet.gangs_by_id[g] for g in fleet.gang_ids_by_worker[worker.info.worker_id]
    ]
    inside_by_org, outside = _firm_use(worker.info.worker_id, owners, gangs)
    info = worker.info
    margin = Resources(info.slots, info.cores, info.memory_mb).plus(outside, -1)
    unused: dict[str, Resources] = {}
    counts: dict[str, int] = {}
    for owner in owners:
        if owner is not None:
            counts[owner] = counts.get(owner, 0) + 1
    for organisation in counts.keys() | inside_by_org.keys():
        share = cell_share(info, counts.get(organisation, 0))
        inside = inside_by_org.get(organisation, NO_RESOURCES)
        claimed = share.maximum(inside)
        margin = margin.plus(claimed, -1)
        if organisation in counts:
            unused[organisation] = claimed.plus(inside, -1)
    free = len(unassigned) + sum(map(len, free_by_owner.values()))
    blocked = frozenset(
        index
        for index, owner in enumerate(owners)
        if owner is not None and not may_occupy_cell(worker, index, owner, fleet)
    )
    return WorkerCapacity(
        worker, owners, unassigned, free_by_owner, free, margin, unused, blocked
    )


def may_occupy_cell(worker: WorkerState, index: int, owner: str, fleet: Fleet) -> bool:
    """Whether what holds an accelerator is allowed on a cell of the owner."""
    gang_id = worker.gangs_by_accelerator[index]
    if gang_id is None:
        return True
    spec = fleet.gangs_by_id[gang_id].spec
    return spec.organisation == owner or is_borrower(spec)


def _free_by_owner(
    worker: WorkerState, owners: Owners
) -> tuple[tuple[int, ...], dict[str, tuple[int, ...]]]:
    unassigned: list[int] = []
    by_owner: dict[str, tuple[int, ...]] = {}
    for index, holder in enumerate(worker.gangs_by_accelerator):
        owner = owners[index]
        if holder is not None:
            continue
        if owner is None:
            unassigned.append(index)
        else:
            by_owner[owner] = (*by_owner.get(owner, ()), index)
    return tuple(unassigned), by_owner


def _firm_use(
    worker_id: str, owners: Owners, gangs: list[HeldGang]
) -> tuple[dict[str, Resources], Resources]:
    inside_by_org: dict[str, Resources] = {}
    outside = NO_RESOURCES
    for gang in gangs:
        spec = gang.spec
        if is_borrower(spec) and spec.organisation not in owners:
            continue
        member: MemberPlacement = gang.members_by_worker[worker_id]
        inside, rest = split_use(spec, len(member.tasks), member.accelerators, owners)
        before = inside_by_org.get(spec.organisation, NO_RESOURCES)
        inside_by_org[spec.organisation] = before.plus(inside)
        outside = outside.plus(rest)
    return inside_by_org, outside


def fitting_tasks(
    spec: JobSpec,
    capacity: WorkerCapacity,
    accelerators: tuple[int, ...],
    firm: bool = False,
) -> int:
    """Return how many tasks fit on the first of the given accelerators.

    Args:
        spec: The job; its tasks take the accelerators in the given order.
        capacity: The worker.
        accelerators: Free accelerators that the job may use.
        firm: Whether a borrower, too, leaves alone what is kept for cells.
    """
    worker = capacity.worker
    tasks = count_tasks(
        spec,
        len(accelerators),
        worker.free_slots,
        worker.free_cores,
        worker.free_memory_mb,
    )
    tasks = min(tasks, spec.tasks)
    while tasks > 0 and not keeps_cells(spec, capacity, tasks, accelerators, firm):
        tasks -= 1
    return tasks


def keeps_cells(
    spec: JobSpec,
    capacity: WorkerCapacity,
    tasks: int,
    accelerators: tuple[int, ...],
    firm: bool = False,
) -> bool:
    """Whether slots, cores and memory suffice for the cells next to a member.

    Args:
        spec: The job of the member.
        capacity: The worker.
        tasks: Tasks of the member; they take the first accelerators.
        accelerators: Accelerators that the member may use.
        firm: Whether a borrower, too, leaves alone what is kept for cells.
    """
    if not capacity.has_cells:
        return True
    if not firm and is_borrower(spec) and spec.organisation not in capacity.owners:
        return True
    taken = accelerators[: tasks * spec.accelerators_per_task]
    inside, outside = split_use(spec, tasks, taken, capacity.owners)
    share = capacity.unused_shares.get(spec.organisation, NO_RESOURCES)
    beyond_share = inside.plus(share, -1).maximum(NO_RESOURCES)
    return min(capacity.margin.plus(outside, -1).plus(beyond_share, -1)) >= 0
