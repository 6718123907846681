"""Offers of workers to a gang, and the placement of a gang on offers.

An offer states how many tasks of a gang a worker can hold, and on which
accelerators.
"""

import enum
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ._cells import AdjacencyLevel, CellLayout
from ._worker_capacity import WorkerCapacity, fitting_tasks, is_borrower
from .fleet import Fleet, WorkerState
from .model import JobSpec, MemberPlacement, Placement


class Tier(enum.IntEnum):
    """Accelerators that a placement may use; each tier includes lower tiers.

    ``UNASSIGNED`` are the accelerators outside all cells, ``OWN_CELLS`` those
    in cells of the job's organisation, and ``FOREIGN_CELLS`` those in cells of
    other organisations, which only borrowers may use.
    """

    UNASSIGNED = 0
    OWN_CELLS = 1
    FOREIGN_CELLS = 2


class Offer(NamedTuple):
    """The number of tasks that a worker can hold for a gang.

    ``accelerators`` are listed in the order in which the tasks use them.
    """

    capacity: WorkerCapacity
    tasks: int
    accelerators: tuple[int, ...]


def allowed_tiers(spec: JobSpec) -> tuple[Tier, ...]:
    """Return the tiers that a job may use, preferred ones first."""
    return tuple(Tier) if is_borrower(spec) else (Tier.UNASSIGNED, Tier.OWN_CELLS)


def gang_level(spec: JobSpec, fleet: Fleet) -> AdjacencyLevel:
    """Return the smallest unit in which the gang would fit if it were empty.

    The gang has to stay within one such unit. The level does not depend on
    the current use, so a gang is not spread more widely on a busy fleet.
    """
    if not spec.accelerators_per_task:
        return AdjacencyLevel.DOMAIN
    if fleet.fits_empty_worker(spec):
        return AdjacencyLevel.WORKER
    if fleet.fits_empty_rack(spec):
        return AdjacencyLevel.RACK
    return AdjacencyLevel.DOMAIN


class PlacementScope(NamedTuple):
    """The gang to place, the fleet, its cells and the workers to avoid."""

    spec: JobSpec
    fleet: Fleet
    layout: CellLayout
    avoid: frozenset[str]

    def offers(self, workers: Iterable[WorkerState], tier: Tier) -> Iterator[Offer]:
        """Yield the offers of workers that can hold at least one task."""
        for worker in workers:
            if not worker.free_slots or worker.info.worker_id in self.avoid:
                continue
            offer = make_offer(self.spec, self.layout.capacity(worker), tier)
            if offer.tasks:
                yield offer

    def rack_offers(self, rack: str, tier: Tier) -> list[Offer]:
        """Return the offers of a rack, the fullest workers first."""
        per_task = self.spec.accelerators_per_task
        workers = self.fleet.workers_in_rack(rack, per_task)
        return list(self.offers(workers, tier))


def make_offer(spec: JobSpec, capacity: WorkerCapacity, tier: Tier) -> Offer:
    """Return the offer of a worker within a tier, possibly of zero tasks."""
    per_task = spec.accelerators_per_task
    keep_cell_shares = tier is not Tier.FOREIGN_CELLS
    if not capacity.has_cells:
        return Offer(
            capacity,
            fitting_tasks(spec, capacity, capacity.unassigned),
            capacity.unassigned,
        )
    own: tuple[int, ...] = ()
    foreign: tuple[int, ...] = ()
    if tier >= Tier.OWN_CELLS:
        own = capacity.free_by_owner.get(spec.organisation, ())
    if not keep_cell_shares:
        foreign = capacity.free_in_foreign_cells(spec.organisation)
    accelerators = capacity.unassigned + own + foreign
    if per_task and len(accelerators) < per_task:
        return Offer(capacity, 0, ())
    tasks = fitting_tasks(spec, capacity, accelerators, keep_cell_shares)
    if own and tasks * per_task < min(len(accelerators), spec.accelerators):
        # Only tasks on accelerators in own cells may use the slots, cores and
        # memory that are reserved for these cells, so more tasks may fit when
        # those accelerators are used first.
        own_first = own + capacity.unassigned + foreign
        own_first_tasks = fitting_tasks(spec, capacity, own_first, keep_cell_shares)
        if own_first_tasks > tasks:
            return Offer(capacity, own_first_tasks, own_first)
    return Offer(capacity, tasks, accelerators)


def place_on_offers(
    spec: JobSpec, offers: Iterable[Offer], tier: Tier
) -> Placement | None:
    """Place the tasks of a gang on offers in the given order.

    Returns:
        The placement, or None if the offers cannot hold all tasks.
    """
    members = []
    placed = 0
    for offer in offers:
        count = min(offer.tasks, spec.tasks - placed)
        if count > 0:
            accelerators = offer.accelerators[: count * spec.accelerators_per_task]
            tasks = tuple(range(placed, placed + count))
            worker_id = offer.capacity.worker.info.worker_id
            members.append(MemberPlacement(worker_id, accelerators, tasks))
            placed += count
        if placed == spec.tasks:
            return Placement(tuple(members), tier is Tier.FOREIGN_CELLS)
    return None


def count_offered_tasks(offers: Iterable[Offer]) -> int:
    """Return the total number of tasks that the offers can hold."""
    return sum(offer.tasks for offer in offers)
