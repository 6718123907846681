"""Choice of the failure domain for a submission."""

import abc
from typing import NamedTuple

from .model import Configuration, JobSpec

LONG_QUEUE_FACTOR = 2  # over the shortest queue
LONG_QUEUE_SLACK = 8  # jobs


class DomainLoad(NamedTuple):
    """What is known of a failure domain.

    ``largest_free_gang`` and ``queued_jobs`` are None until its owner has
    reported them. ``reachable`` tells whether the owner is known and not
    silent.
    """

    failure_domain: str
    reachable: bool
    largest_free_gang: int | None
    queued_jobs: int | None


class DomainChoice(abc.ABC):
    """Decides where a submission is tried."""

    @abc.abstractmethod
    def choose(
        self,
        spec: JobSpec,
        own_domain: str,
        loads: tuple[DomainLoad, ...],
        configuration: Configuration | None,
    ) -> str | None:
        """Return a reachable domain, or None when there is none.

        Args:
            spec: The job.
            own_domain: The failure domain of this node.
            loads: All known domains.
            configuration: The configuration in force, if any.
        """


class FreeGangChoice(DomainChoice):
    """Prefers the own domain, then the largest free gang that fits.

    When no domain has room now, the job waits where its organisation holds a
    guaranteed shape of that size, because only there it can be reclaimed;
    without one it waits in the own domain. A domain whose queue is far longer
    than the shortest one is passed over, because an organisation that floods
    would otherwise wait in one domain while the others are idle.
    """

    def choose(
        self,
        spec: JobSpec,
        own_domain: str,
        loads: tuple[DomainLoad, ...],
        configuration: Configuration | None,
    ) -> str | None:
        """See base class."""
        reachable = [load for load in loads if load.reachable]
        if not reachable:
            return None
        cells = _cells_by_domain(spec, configuration)
        shortest = min(load.queued_jobs or 0 for load in reachable)
        limit = LONG_QUEUE_FACTOR * shortest + LONG_QUEUE_SLACK
        best = min(
            reachable,
            key=lambda load: self._rank(load, spec, own_domain, cells, limit),
        )
        return best.failure_domain

    def _rank(
        self,
        load: DomainLoad,
        spec: JobSpec,
        own_domain: str,
        cells: dict[str, int],
        queue_limit: int,
    ) -> tuple[int, int, int, int, int, str]:
        """Return the sort key of a domain, best first."""
        own = load.failure_domain == own_domain
        free = load.largest_free_gang
        # A domain whose load is not known yet counts as free only at home.
        fits = own if free is None else free >= spec.accelerators
        if fits:
            stage = 0 if own else 1
            return stage, 0, -(free or 0), 0, 0, load.failure_domain
        queued = load.queued_jobs or 0
        long = int(queued > queue_limit)
        no_cell = int(load.failure_domain not in cells)
        return 2, long, no_cell, int(not own), queued, load.failure_domain


def _cells_by_domain(
    spec: JobSpec, configuration: Configuration | None
) -> dict[str, int]:
    """Count the organisation's cells that could hold the job, by domain."""
    if configuration is None:
        return {}
    organisation = configuration.organisations_by_name.get(spec.organisation)
    if organisation is None:
        return {}
    counts: dict[str, int] = {}
    for cell in configuration.cells:
        if cell.organisation != spec.organisation:
            continue
        shape = organisation.guarantees[cell.shape_index]
        if shape.accelerators >= spec.accelerators:
            counts[cell.failure_domain] = counts.get(cell.failure_domain, 0) + 1
    return counts
