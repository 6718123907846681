"""What each worker offers a gang, and how a gang is filled into offers."""

import enum
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ._cells import AdjacencyLevel, CellLayout
from ._worker_capacity import WorkerCapacity, fitting_tasks, is_borrower
from .fleet import Fleet, WorkerState
from .model import JobSpec, MemberPlacement, Placement


class Tier(enum.IntEnum):
    """Which accelerators are considered; a higher tier includes the lower."""

    UNASSIGNED = 0
    OWN_CELLS = 1
    FOREIGN_CELLS = 2


class Offer(NamedTuple):
    """Accelerators of a worker in order of use, and the tasks they hold."""

    capacity: WorkerCapacity
    tasks: int
    accelerators: tuple[int, ...]


def tiers(spec: JobSpec) -> tuple[Tier, ...]:
    """Return the tiers that a job may use, in the order of preference."""
    return tuple(Tier) if is_borrower(spec) else (Tier.UNASSIGNED, Tier.OWN_CELLS)


def gang_level(spec: JobSpec, fleet: Fleet) -> AdjacencyLevel:
    """Return the unit that a gang has to stay within.

    It depends on what the workers and racks of the fleet can hold when they
    are empty, so a busy fleet does not spread a gang more widely.
    """
    if not spec.accelerators_per_task:
        return AdjacencyLevel.DOMAIN
    if fleet.could_worker_hold(spec):
        return AdjacencyLevel.WORKER
    if fleet.could_rack_hold(spec):
        return AdjacencyLevel.RACK
    return AdjacencyLevel.DOMAIN


class Space(NamedTuple):
    """Where a gang may be placed."""

    spec: JobSpec
    fleet: Fleet
    layout: CellLayout
    avoid: frozenset[str]

    def offers(self, workers: Iterable[WorkerState], tier: Tier) -> Iterator[Offer]:
        """Yield the offers of workers that can hold a task of the gang."""
        for worker in workers:
            if not worker.free_slots or worker.info.worker_id in self.avoid:
                continue
            offer = make_offer(self.spec, self.layout.capacity(worker), tier)
            if offer.tasks:
                yield offer

    def rack_offers(self, rack: str, tier: Tier) -> list[Offer]:
        """Return the offers of the workers of a rack, the fullest first."""
        per_task = self.spec.accelerators_per_task
        workers = self.fleet.workers_in_rack(rack, per_task)
        return list(self.offers(workers, tier))


def make_offer(spec: JobSpec, capacity: WorkerCapacity, tier: Tier) -> Offer:
    """Return what a worker offers within a tier; it may hold no task."""
    per_task = spec.accelerators_per_task
    firm = tier is not Tier.FOREIGN_CELLS
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
    if not firm:
        foreign = capacity.foreign(spec.organisation)
    accelerators = capacity.unassigned + own + foreign
    if per_task and len(accelerators) < per_task:
        return Offer(capacity, 0, ())
    tasks = fitting_tasks(spec, capacity, accelerators, firm)
    if own and tasks * per_task < min(len(accelerators), spec.accelerators):
        # Work on own cells may use their share of slots, cores and memory.
        other = own + capacity.unassigned + foreign
        other_tasks = fitting_tasks(spec, capacity, other, firm)
        if other_tasks > tasks:
            return Offer(capacity, other_tasks, other)
    return Offer(capacity, tasks, accelerators)


def fill_offers(spec: JobSpec, offers: Iterable[Offer], tier: Tier) -> Placement | None:
    """Place the tasks of a gang onto offers in the given order."""
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


def count_offered(offers: Iterable[Offer]) -> int:
    """Return the tasks that all offers hold together."""
    return sum(offer.tasks for offer in offers)
