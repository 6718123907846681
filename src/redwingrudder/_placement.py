"""Best-fit placement that keeps whole workers and racks free."""

from ._cells import Level
from ._offers import (
    Offer,
    Tier,
    count_offered,
    fill_offers,
    gang_level,
    group_by_rack,
    make_offer,
    tiers,
    usable_rooms,
)
from ._reclaim import CellReclaim
from ._worker_room import WorkerRoom
from .fleet import Fleet
from .guarantees import GuaranteeBook
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
        guarantees: GuaranteeBook,
        avoid: frozenset[str] = frozenset(),
    ) -> Placement | None:
        """Return a placement on free resources that keeps all guarantees."""
        level = gang_level(spec, fleet)
        rooms = usable_rooms(spec, fleet, guarantees, avoid)
        for tier in tiers(spec):
            placement = _place_in_tier(spec, rooms, level, tier)
            if placement is not None:
                return placement
        return None

    def largest_gang(self, fleet: Fleet) -> int:
        """Return the largest gang of accelerators that could be placed now."""
        return largest_adjacent_gang(fleet)


def largest_adjacent_gang(fleet: Fleet) -> int:
    """Return the largest adjacent gang that the free accelerators hold.

    A gang that a worker or rack could hold when empty may not be spread
    wider, so free accelerators that are scattered do not count for it.
    """
    in_domain = fleet.free_in_domain()
    if in_domain > fleet.largest_rack():
        return in_domain
    on_rack = fleet.most_free_on_rack()
    if on_rack > fleet.largest_worker():
        return on_rack
    return fleet.most_free_on_worker()


def _place_in_tier(
    spec: JobSpec, rooms: list[WorkerRoom], level: Level, tier: Tier
) -> Placement | None:
    if not spec.accelerators_per_task:
        return _place_cpu_only(spec, rooms, tier)
    if level is Level.WORKER:
        return _place_on_worker(spec, rooms, tier)
    by_rack = group_by_rack(make_offer(spec, room, tier) for room in rooms)
    if level is Level.RACK:
        return _place_on_rack(spec, by_rack, tier)
    return _place_on_racks(spec, by_rack, tier)


def _place_on_worker(
    spec: JobSpec, rooms: list[WorkerRoom], tier: Tier
) -> Placement | None:
    for room in rooms:
        if room.free_accelerators < spec.accelerators:
            continue
        offer = make_offer(spec, room, tier)
        if offer.tasks >= spec.tasks:
            return fill_offers(spec, [offer], tier)
    return None


def _place_on_rack(
    spec: JobSpec, by_rack: dict[str, list[Offer]], tier: Tier
) -> Placement | None:
    racks = [
        (count_offered(offers), rack)
        for rack, offers in by_rack.items()
        if count_offered(offers) >= spec.tasks
    ]
    if not racks:
        return None
    return fill_offers(spec, by_rack[min(racks)[1]], tier)


def _place_on_racks(
    spec: JobSpec, by_rack: dict[str, list[Offer]], tier: Tier
) -> Placement | None:
    """Fill the fewest racks: the largest first, the rest into the smallest."""
    racks = sorted(
        ((count_offered(offers), rack) for rack, offers in by_rack.items()),
        key=lambda entry: (-entry[0], entry[1]),
    )
    chosen: list[Offer] = []
    left = spec.tasks
    for position, (count, rack) in enumerate(racks):
        if count < left:
            chosen += by_rack[rack]
            left -= count
            continue
        last = [entry for entry in racks[position:] if entry[0] >= left][-1]
        return fill_offers(spec, chosen + by_rack[last[1]], tier)
    return None


def _place_cpu_only(
    spec: JobSpec, rooms: list[WorkerRoom], tier: Tier
) -> Placement | None:
    """Fill workers without free accelerators first.

    Among these the fullest worker that holds the whole gang is used. If none
    does, workers with much room come first, because each member costs calls.
    """
    busy = [
        make_offer(spec, room, tier) for room in rooms if not room.free_accelerators
    ]
    whole = [offer for offer in busy if offer.tasks >= spec.tasks]
    if whole:
        fullest = min(whole, key=lambda offer: offer.room.worker.free_slots)
        return fill_offers(spec, [fullest], tier)
    busy.sort(key=lambda offer: -offer.tasks)
    others = (make_offer(spec, room, tier) for room in rooms if room.free_accelerators)
    return fill_offers(spec, (*busy, *others), tier)
