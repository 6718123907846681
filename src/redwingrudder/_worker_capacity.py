"""Resources of a worker that can be used without making a cell unusable.

The accelerators of a cell can be used only together with slots, cores and
memory, so these are reserved as well. Each accelerator of a cell has a share:
one slot and its proportional part of the cores and memory of the worker. On
every worker, the following holds for slots, cores and memory alike::

    sum over organisations of
            max(share, non-reclaimable use inside its cells)
        + non-reclaimable use outside cells  <=  total

Non-reclaimable use is the use by gangs that cannot be stopped for the owner
of a cell on that worker: gangs that are not borrowers, and gangs of
organisations that have a cell there themselves, because a reclaim never stops
gangs of the owner. The use of a gang with accelerators counts as inside in
proportion to its accelerators in cells of its organisation. A CPU-only gang
counts as inside, so an organisation may use the slots of its own cells for
CPU-only jobs.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .fleet import Fleet, HeldGang, WorkerState, count_tasks
from .model import JobSpec, MemberPlacement, WorkerInfo

# Jobs with a longer stop bound must not run in cells of other organisations.
RECLAIM_BOUND_S = 2.0

# The organisation that owns each accelerator of a worker; None outside cells.
Owners = tuple[str | None, ...]


class Resources(NamedTuple):
    """Amounts of slots, cores and memory.

    A component is negative where more is reserved than the worker has.
    """

    slots: int
    cores: int
    memory_mb: int

    def plus(self, other: "Resources", sign: int = 1) -> "Resources":
        """Add component by component, or subtract if ``sign`` is -1."""
        return Resources(
            self.slots + sign * other.slots,
            self.cores + sign * other.cores,
            self.memory_mb + sign * other.memory_mb,
        )

    def maximum(self, other: "Resources") -> "Resources":
        """Return the maximum component by component."""
        return Resources(*map(max, self, other))


NO_RESOURCES = Resources(0, 0, 0)


class WorkerCapacity(NamedTuple):
    """The resources of a worker that are available without harming a cell.

    Attributes:
        worker: The state of the worker that this was derived from.
        owners: The owner of each accelerator.
        unassigned: Free accelerators outside all cells.
        free_by_owner: Free accelerators in cells, by the owner of the cell.
        free_accelerators: Number of all free accelerators.
        margin: Resources that are available to further non-reclaimable use
            outside cells. A component is negative if a cell on this worker
            could not be used completely.
        unused_shares_by_organisation: The part of the share of each owner
            that its own gangs do not use.
        blocked_accelerators: Accelerators of cells that are held by a gang
            which cannot be stopped for the owner of the cell.
    """

    worker: WorkerState
    owners: Owners
    unassigned: tuple[int, ...]
    free_by_owner: dict[str, tuple[int, ...]]
    free_accelerators: int
    margin: Resources
    unused_shares_by_organisation: dict[str, Resources]
    blocked_accelerators: frozenset[int]

    @property
    def has_cells(self) -> bool:
        """Whether some accelerator of the worker belongs to a cell."""
        return bool(self.unused_shares_by_organisation)

    def free_in_foreign_cells(self, organisation: str) -> tuple[int, ...]:
        """Return the free accelerators in cells of other organisations."""
        return tuple(
            index
            for owner, indexes in sorted(self.free_by_owner.items())
            if owner != organisation
            for index in indexes
        )

    @property
    def preserves_cells(self) -> bool:
        """Whether slots, cores and memory suffice for every cell."""
        return min(self.margin) >= 0


def is_borrower(spec: JobSpec) -> bool:
    """Return whether a job may run in cells of other organisations.

    Such a job can be stopped within ``RECLAIM_BOUND_S`` and may run again.
    """
    return spec.preemptible and spec.idempotent and spec.stop_bound_s <= RECLAIM_BOUND_S


def cell_share(info: WorkerInfo, accelerators: int) -> Resources:
    """Return the resources to reserve for a number of cell accelerators.

    At least one slot is reserved, because no task could run without one.
    """
    if not accelerators:
        return NO_RESOURCES
    slots = max(1, min(accelerators, info.slots * accelerators // info.accelerators))
    cores = info.cores * accelerators // info.accelerators
    return Resources(slots, cores, info.memory_mb * accelerators // info.accelerators)


def member_use(spec: JobSpec, tasks: int) -> Resources:
    """Return the resources that some tasks of a job use on their worker."""
    return Resources(
        tasks, tasks * spec.cores_per_task, tasks * spec.memory_mb_per_task
    )


def split_use(
    spec: JobSpec, tasks: int, accelerators: Iterable[int], owners: Owners
) -> tuple[Resources, Resources]:
    """Split the use of a member into inside and outside its own cells."""
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
    """Compute the capacity of a worker from its cells and its gangs."""
    unassigned, free_by_owner = _free_by_owner(worker, owners)
    gangs = [
        fleet.gangs_by_id[gang_id]
        for gang_id in fleet.gang_ids_by_worker[worker.info.worker_id]
    ]
    inside_use_by_organisation, outside = _non_reclaimable_use(
        worker.info.worker_id, owners, gangs
    )
    info = worker.info
    margin = Resources(info.slots, info.cores, info.memory_mb).plus(outside, -1)
    unused_shares: dict[str, Resources] = {}
    accelerator_counts_by_owner: dict[str, int] = {}
    for owner in owners:
        if owner is not None:
            accelerator_counts_by_owner[owner] = (
                accelerator_counts_by_owner.get(owner, 0) + 1
            )
    for organisation in (
        accelerator_counts_by_owner.keys() | inside_use_by_organisation.keys()
    ):
        share = cell_share(info, accelerator_counts_by_owner.get(organisation, 0))
        inside = inside_use_by_organisation.get(organisation, NO_RESOURCES)
        claimed = share.maximum(inside)
        margin = margin.plus(claimed, -1)
        if organisation in accelerator_counts_by_owner:
            unused_shares[organisation] = claimed.plus(inside, -1)
    free = len(unassigned) + sum(map(len, free_by_owner.values()))
    blocked_accelerators = frozenset(
        index
        for index, owner in enumerate(owners)
        if owner is not None and not may_occupy_cell(worker, index, owner, fleet)
    )
    return WorkerCapacity(
        worker,
        owners,
        unassigned,
        free_by_owner,
        free,
        margin,
        unused_shares,
        blocked_accelerators,
    )


def may_occupy_cell(worker: WorkerState, index: int, owner: str, fleet: Fleet) -> bool:
    """Return whether an accelerator can be part of a cell of the owner.

    It can if it is free, or if a gang of the owner or a borrower holds it.
    """
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


def _non_reclaimable_use(
    worker_id: str, owners: Owners, gangs: list[HeldGang]
) -> tuple[dict[str, Resources], Resources]:
    inside_use_by_organisation: dict[str, Resources] = {}
    outside = NO_RESOURCES
    for gang in gangs:
        spec = gang.spec
        if is_borrower(spec) and spec.organisation not in owners:
            continue
        member: MemberPlacement = gang.members_by_worker[worker_id]
        inside, outside_use = split_use(
            spec, len(member.tasks), member.accelerators, owners
        )
        previous = inside_use_by_organisation.get(spec.organisation, NO_RESOURCES)
        inside_use_by_organisation[spec.organisation] = previous.plus(inside)
        outside = outside.plus(outside_use)
    return inside_use_by_organisation, outside


def fitting_tasks(
    spec: JobSpec,
    capacity: WorkerCapacity,
    accelerators: tuple[int, ...],
    keep_cell_shares: bool = False,
) -> int:
    """Return how many tasks of a job fit on a worker.

    Args:
        spec: The job; its tasks use the accelerators in the given order.
        capacity: The capacity of the worker.
        accelerators: Free accelerators that the job may use.
        keep_cell_shares: Whether a borrower, too, must not use the resources
            that are reserved for cells.
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
    while tasks > 0 and not preserves_cells(
        spec, capacity, tasks, accelerators, keep_cell_shares
    ):
        tasks -= 1
    return tasks


def preserves_cells(
    spec: JobSpec,
    capacity: WorkerCapacity,
    tasks: int,
    accelerators: tuple[int, ...],
    keep_cell_shares: bool = False,
) -> bool:
    """Return whether all cells keep their resources if a member is added.

    Args:
        spec: The job of the member.
        capacity: The capacity of the worker.
        tasks: Number of tasks of the member; they use the first accelerators.
        accelerators: Accelerators that the member may use.
        keep_cell_shares: Whether a borrower, too, must not use the resources
            that are reserved for cells.
    """
    if not capacity.has_cells:
        return True
    if (
        not keep_cell_shares
        and is_borrower(spec)
        and spec.organisation not in capacity.owners
    ):
        return True
    used = accelerators[: tasks * spec.accelerators_per_task]
    inside, outside = split_use(spec, tasks, used, capacity.owners)
    share = capacity.unused_shares_by_organisation.get(spec.organisation, NO_RESOURCES)
    beyond_share = inside.plus(share, -1).maximum(NO_RESOURCES)
    return min(capacity.margin.plus(outside, -1).plus(beyond_share, -1)) >= 0
