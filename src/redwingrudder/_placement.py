"""Best-fit placement, which keeps whole workers and racks free."""

from collections.abc import Callable
from itertools import chain

from ._offers import (
    Offer,
    PlacementScope,
    Tier,
    allowed_tiers,
    count_offered_tasks,
    gang_level,
    place_on_offers,
)
from ._reclaim import CellReclaim, fitting_cells
from .fleet import Fleet, WorkerState
from .guarantees import CellTable
from .model import JobSpec, Placement
from .policies import PlacementPolicy

__all__ = ["BestFitPlacement", "CellReclaim"]


class BestFitPlacement(PlacementPolicy):
    """Places a gang on the fullest worker, rack or set of racks that fits it.

    Accelerators outside all cells are preferred to those in cells of the
    job's organisation. Cells of other organisations come last and are used by
    borrowers only.
    """

    def place(
        self,
        spec: JobSpec,
        fleet: Fleet,
        guarantees: CellTable,
        avoid: frozenset[str] = frozenset(),
    ) -> Placement | None:
        """Return a placement on free resources that keeps all guarantees."""
        scope = PlacementScope(spec, fleet, guarantees.layout_of(fleet), avoid)
        place_in_tier = _select_placement_function(spec, fleet)
        for tier in allowed_tiers(spec):
            if tier is Tier.OWN_CELLS and fitting_cells(spec, guarantees):
                placement = _place_in_cell(scope, guarantees)
            else:
                placement = place_in_tier(scope, tier)
            if placement is not None:
                return placement
        return None

    def largest_gang(self, fleet: Fleet) -> int:
        """Return the size, in accelerators, of the largest placeable gang."""
        return largest_adjacent_gang(fleet)


def largest_adjacent_gang(fleet: Fleet) -> int:
    """Return the size, in accelerators, of the largest placeable gang.

    A gang that would fit on one empty worker or rack must not be spread over
    several, so scattered free accelerators do not count for it. Free
    accelerators in all cells count, because a borrower could use them.
    """
    in_domain = fleet.free_in_domain()
    if in_domain > fleet.largest_rack():
        return in_domain
    on_rack = fleet.most_free_on_rack()
    if on_rack > fleet.largest_worker():
        return on_rack
    return fleet.most_free_on_worker()


def _place_in_cell(scope: PlacementScope, guarantees: CellTable) -> Placement | None:
    """Place the gang in the cell that a reclaim would choose, if it is free.

    If borrowers would have to stop there, the result is None even if another
    cell is free: a job in a larger cell than needed would make the large
    guaranteed shape unavailable.
    """
    plan = CellReclaim().reclaim(scope.spec, scope.fleet, guarantees, scope.avoid)
    return plan.placement if plan and not plan.gangs_to_stop else None


def _select_placement_function(
    spec: JobSpec, fleet: Fleet
) -> Callable[[PlacementScope, Tier], Placement | None]:
    if not spec.accelerators_per_task:
        return _place_cpu_only
    level = gang_level(spec, fleet)
    return (_place_on_worker, _place_on_rack, _place_on_racks)[level]


def _place_on_worker(scope: PlacementScope, tier: Tier) -> Placement | None:
    workers = scope.fleet.workers_by_free(scope.spec.accelerators)
    for offer in scope.offers(workers, tier):
        if offer.tasks >= scope.spec.tasks:
            return place_on_offers(scope.spec, [offer], tier)
    return None


def _place_on_rack(scope: PlacementScope, tier: Tier) -> Placement | None:
    for _, rack in scope.fleet.racks_by_free(scope.spec.accelerators):
        offers = scope.rack_offers(rack, tier)
        if count_offered_tasks(offers) >= scope.spec.tasks:
            return place_on_offers(scope.spec, offers, tier)
    return None


def _place_on_racks(scope: PlacementScope, tier: Tier) -> Placement | None:
    """Place the gang on as few racks as possible.

    While no single rack can hold all remaining tasks, the rack that can hold
    the most tasks is used completely. The remaining tasks go to the fullest
    rack that can hold all of them.
    """
    candidates = _RackCandidates(scope, tier)
    chosen_offers: list[Offer] = []
    remaining_tasks = scope.spec.tasks
    while True:
        final_rack = candidates.fullest_rack_for(remaining_tasks)
        if final_rack is not None:
            return place_on_offers(
                scope.spec, chosen_offers + candidates.offers(final_rack), tier
            )
        next_rack = candidates.pop_rack_with_most_tasks()
        if next_rack is None:
            return None
        chosen_offers += candidates.offers(next_rack)
        remaining_tasks -= candidates.task_count(next_rack)


class _RackCandidates:
    """Racks that a gang does not use yet, with the offers of their workers.

    The free accelerators of a rack give an upper bound on the tasks that it
    can hold. Most racks are ruled out by this bound, so their offers are not
    computed.
    """

    def __init__(self, scope: PlacementScope, tier: Tier) -> None:
        per_task = scope.spec.accelerators_per_task
        self._max_tasks_by_rack = {
            rack: free // per_task for free, rack in scope.fleet.racks_by_free(per_task)
        }
        self._scope = scope
        self._tier = tier
        self._offers_by_rack: dict[str, list[Offer]] = {}
        self._task_counts_by_rack: dict[str, int] = {}

    def offers(self, rack: str) -> list[Offer]:
        """Return the offers of a rack; they are computed once and cached."""
        if rack not in self._offers_by_rack:
            offers = self._scope.rack_offers(rack, self._tier)
            self._offers_by_rack[rack] = offers
            self._task_counts_by_rack[rack] = count_offered_tasks(offers)
        return self._offers_by_rack[rack]

    def task_count(self, rack: str) -> int:
        """Return how many tasks of the gang a rack can hold."""
        self.offers(rack)
        return self._task_counts_by_rack[rack]

    def fullest_rack_for(self, tasks: int) -> str | None:
        """Return the fullest rack that fits the tasks, or None."""
        for rack, max_tasks in self._max_tasks_by_rack.items():
            if max_tasks >= tasks and self.task_count(rack) >= tasks:
                return rack
        return None

    def pop_rack_with_most_tasks(self) -> str | None:
        """Remove and return the rack that can hold the most tasks, or None."""
        best_rack = None
        best_count = 0
        for rack, max_tasks in reversed(self._max_tasks_by_rack.items()):
            if max_tasks <= best_count:
                break
            if self.task_count(rack) > best_count:
                best_rack, best_count = rack, self.task_count(rack)
        if best_rack is not None:
            del self._max_tasks_by_rack[best_rack]
        return best_rack


def _place_cpu_only(scope: PlacementScope, tier: Tier) -> Placement | None:
    """Place a gang that needs no accelerators.

    Workers without free accelerators are preferred. Among these, the worker
    with the fewest free slots that fits the whole gang is used. If there is
    none, the gang is spread over several workers. Of the preferred ones, those
    with the most free slots are used first, because every member of a gang
    costs calls to its worker.
    """
    spec = scope.spec
    without_free_accelerators: list[WorkerState] = []
    with_free_accelerators: list[WorkerState] = []
    for worker in scope.fleet.workers_by_free(0):
        (
            with_free_accelerators
            if None in worker.gangs_by_accelerator
            else without_free_accelerators
        ).append(worker)
    without_free_accelerators.sort(key=lambda worker: worker.free_slots)
    sufficient = (
        worker
        for worker in without_free_accelerators
        if worker.free_slots >= spec.tasks
    )
    for offer in scope.offers(sufficient, tier):
        if offer.tasks >= spec.tasks:
            return place_on_offers(spec, [offer], tier)
    offers = scope.offers(
        chain(reversed(without_free_accelerators), with_free_accelerators), tier
    )
    return place_on_offers(spec, offers, tier)
