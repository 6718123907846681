"""Best-fit placement that keeps whole workers and racks free."""

from collections.abc import Callable
from itertools import chain

from ._offers import (
    Offer,
    Space,
    Tier,
    count_offered,
    fill_offers,
    gang_level,
    tiers,
)
from ._reclaim import CellReclaim, fitting_cells
from .fleet import Fleet, WorkerState
from .guarantees import CellTable
from .model import JobSpec, Placement
from .policies import PlacementPolicy

__all__ = ["BestFitPlacement", "CellReclaim"]


class BestFitPlacement(PlacementPolicy):
    """Places a gang into the fullest worker, rack or racks that hold it.

    Accelerators outside all cells are preferred to those of own cells, and
    these to the cells of other organisations, which only borrowers may use.
    """

    def place(
        self,
        spec: JobSpec,
        fleet: Fleet,
        guarantees: CellTable,
        avoid: frozenset[str] = frozenset(),
    ) -> Placement | None:
        """Return a placement on free resources that keeps all guarantees."""
        space = Space(spec, fleet, guarantees.layout_of(fleet), avoid)
        place_in_tier = _placer(spec, fleet)
        for tier in tiers(spec):
            if tier is Tier.OWN_CELLS and fitting_cells(spec, guarantees):
                placement = _place_in_cell(space, guarantees)
            else:
                placement = place_in_tier(space, tier)
            if placement is not None:
                return placement
        return None

    def largest_gang(self, fleet: Fleet) -> int:
        """Return the largest gang of accelerators that could be placed now."""
        return largest_adjacent_gang(fleet)


def largest_adjacent_gang(fleet: Fleet) -> int:
    """Return the largest adjacent gang that the free accelerators hold.

    A gang that a worker or rack could hold when empty may not be spread
    wider, so free accelerators that are scattered do not count for it. Free
    accelerators of all cells count, as they do for a borrower.
    """
    in_domain = fleet.free_in_domain()
    if in_domain > fleet.largest_rack():
        return in_domain
    on_rack = fleet.most_free_on_rack()
    if on_rack > fleet.largest_worker():
        return on_rack
    return fleet.most_free_on_worker()


def _place_in_cell(space: Space, guarantees: CellTable) -> Placement | None:
    """Use the cell that a reclaim would use, if nothing has to stop there.

    Another cell might be free, but a job on a cell that is larger than
    needed uses up the large shape.
    """
    plan = CellReclaim().reclaim(space.spec, space.fleet, guarantees, space.avoid)
    return plan.placement if plan and not plan.gangs_to_stop else None


def _placer(spec: JobSpec, fleet: Fleet) -> Callable[[Space, Tier], Placement | None]:
    if not spec.accelerators_per_task:
        return _place_cpu_only
    level = gang_level(spec, fleet)
    return (_place_on_worker, _place_on_rack, _place_on_racks)[level]


def _place_on_worker(space: Space, tier: Tier) -> Placement | None:
    workers = space.fleet.workers_by_free(space.spec.accelerators)
    for offer in space.offers(workers, tier):
        if offer.tasks >= space.spec.tasks:
            return fill_offers(space.spec, [offer], tier)
    return None


def _place_on_rack(space: Space, tier: Tier) -> Placement | None:
    for _, rack in space.fleet.racks_by_free(space.spec.accelerators):
        offers = space.rack_offers(rack, tier)
        if count_offered(offers) >= space.spec.tasks:
            return fill_offers(space.spec, offers, tier)
    return None


def _place_on_racks(space: Space, tier: Tier) -> Placement | None:
    """Fill the fewest racks: the emptiest first, the rest into a full one."""
    racks = _RackChoice(space, tier)
    chosen: list[Offer] = []
    left = space.spec.tasks
    while True:
        last = racks.fullest_holding(left)
        if last is not None:
            return fill_offers(space.spec, chosen + racks.offers(last), tier)
        next_rack = racks.pop_emptiest()
        if next_rack is None:
            return None
        chosen += racks.offers(next_rack)
        left -= racks.count(next_rack)


class _RackChoice:
    """Racks that are left for a gang, with what each offers.

    Free accelerators bound what a rack offers, so that the offers of most
    racks need not be computed.
    """

    def __init__(self, space: Space, tier: Tier) -> None:
        per_task = space.spec.accelerators_per_task
        self._bounds_by_rack = {
            rack: free // per_task for free, rack in space.fleet.racks_by_free(per_task)
        }
        self._space = space
        self._tier = tier
        self._offers_by_rack: dict[str, list[Offer]] = {}
        self._counts_by_rack: dict[str, int] = {}

    def offers(self, rack: str) -> list[Offer]:
        """Return the offers of a rack."""
        if rack not in self._offers_by_rack:
            offers = self._space.rack_offers(rack, self._tier)
            self._offers_by_rack[rack] = offers
            self._counts_by_rack[rack] = count_offered(offers)
        return self._offers_by_rack[rack]

    def count(self, rack: str) -> int:
        """Return how many tasks a rack holds."""
        self.offers(rack)
        return self._counts_by_rack[rack]

    def fullest_holding(self, tasks: int) -> str | None:
        """Return the fullest rack that holds a number of tasks."""
        for rack, bound in self._bounds_by_rack.items():
            if bound >= tasks and self.count(rack) >= tasks:
                return rack
        return None

    def pop_emptiest(self) -> str | None:
        """Remove and return the rack that holds the most tasks."""
        best = None
        best_count = 0
        for rack, bound in reversed(self._bounds_by_rack.items()):
            if bound <= best_count:
                break
            if self.count(rack) > best_count:
                best, best_count = rack, self.count(rack)
        if best is not None:
            del self._bounds_by_rack[best]
        return best


def _place_cpu_only(space: Space, tier: Tier) -> Placement | None:
    """Fill workers without free accelerators first.

    Among these the fullest worker that holds the whole gang is used. If none
    does, workers with much room come first, because each member costs calls.
    """
    spec = space.spec
    busy: list[WorkerState] = []
    others: list[WorkerState] = []
    for worker in space.fleet.workers_by_free(0):
        (others if None in worker.gangs_by_accelerator else busy).append(worker)
    busy.sort(key=lambda worker: worker.free_slots)
    enough = (worker for worker in busy if worker.free_slots >= spec.tasks)
    for offer in space.offers(enough, tier):
        if offer.tasks >= spec.tasks:
            return fill_offers(spec, [offer], tier)
    offers = space.offers(chain(reversed(busy), others), tier)
    return fill_offers(spec, offers, tier)
