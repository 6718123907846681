"""First-fit placement, the baseline that the shipped policy is measured by."""

from ._cells import AdjacencyLevel
from ._offers import (
    Offer,
    Space,
    Tier,
    count_offered,
    fill_offers,
    gang_level,
    tiers,
)
from ._placement import largest_adjacent_gang
from .fleet import Fleet
from .guarantees import CellTable
from .model import JobSpec, Placement
from .policies import PlacementPolicy


class FirstFitPlacement(PlacementPolicy):
    """Takes the first workers, by id, that hold the gang.

    Adjacency and guarantees are kept; only the choice among the workers that
    qualify is naive.
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
        workers = sorted(fleet.workers_by_free(spec.accelerators_per_task))
        level = gang_level(spec, fleet)
        for tier in (Tier.OWN_CELLS, tiers(spec)[-1]):
            offers = list(space.offers(workers, tier))
            placement = _place(spec, offers, level, tier)
            if placement is not None:
                return placement
        return None

    def largest_gang(self, fleet: Fleet) -> int:
        """Return the largest gang of accelerators that could be placed now."""
        return largest_adjacent_gang(fleet)


def _place(
    spec: JobSpec, offers: list[Offer], level: AdjacencyLevel, tier: Tier
) -> Placement | None:
    if level is AdjacencyLevel.DOMAIN:
        return fill_offers(spec, offers, tier)
    units: dict[str, list[Offer]] = {}
    for offer in offers:
        info = offer.capacity.worker.info
        name = info.rack if level is AdjacencyLevel.RACK else info.worker_id
        units.setdefault(name, []).append(offer)
    for unit in units.values():
        if count_offered(unit) >= spec.tasks:
            return fill_offers(spec, unit, tier)
    return None
