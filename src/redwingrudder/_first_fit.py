"""First-fit placement, the baseline to compare best-fit placement with."""

from ._cells import AdjacencyLevel
from ._offers import (
    Offer,
    PlacementScope,
    Tier,
    allowed_tiers,
    count_offered_tasks,
    gang_level,
    place_on_offers,
)
from ._placement import largest_adjacent_gang
from .fleet import Fleet
from .guarantees import CellTable
from .model import JobSpec, Placement
from .policies import PlacementPolicy


class FirstFitPlacement(PlacementPolicy):
    """Places a gang on the first workers, in the order of ids, that fit it.

    Adjacency and guarantees are respected as in best-fit placement; only the
    choice among suitable workers differs.
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
        workers = sorted(fleet.workers_by_free(spec.accelerators_per_task))
        level = gang_level(spec, fleet)
        for tier in (Tier.OWN_CELLS, allowed_tiers(spec)[-1]):
            offers = list(scope.offers(workers, tier))
            placement = _place_within_level(spec, offers, level, tier)
            if placement is not None:
                return placement
        return None

    def largest_gang(self, fleet: Fleet) -> int:
        """Return the size, in accelerators, of the largest placeable gang."""
        return largest_adjacent_gang(fleet)


def _place_within_level(
    spec: JobSpec, offers: list[Offer], level: AdjacencyLevel, tier: Tier
) -> Placement | None:
    if level is AdjacencyLevel.DOMAIN:
        return place_on_offers(spec, offers, tier)
    offers_by_unit: dict[str, list[Offer]] = {}
    for offer in offers:
        info = offer.capacity.worker.info
        unit_id = info.rack if level is AdjacencyLevel.RACK else info.worker_id
        offers_by_unit.setdefault(unit_id, []).append(offer)
    for unit_offers in offers_by_unit.values():
        if count_offered_tasks(unit_offers) >= spec.tasks:
            return place_on_offers(spec, unit_offers, tier)
    return None
