"""Policies that choose the failure domain for a submitted job."""

import abc
from typing import NamedTuple

from .model import Configuration, JobSpec

# A queue is long when it exceeds the shortest queue times the factor plus the
# slack.
LONG_QUEUE_FACTOR = 2
LONG_QUEUE_SLACK_JOBS = 8

# First element of the sort key of a domain; the lowest is preferred.
_FITS_IN_OWN_DOMAIN = 0
_FITS_IN_OTHER_DOMAIN = 1
_DOES_NOT_FIT = 2


class DomainLoad(NamedTuple):
    """Load of a failure domain, as far as this node knows it.

    Attributes:
        failure_domain: Name of the domain.
        reachable: Whether the owner is known and answers its peers.
        largest_free_gang: Accelerators of the largest gang that could be
            placed; None until the owner has reported it.
        queued_jobs: Number of queued jobs; None until the owner has
            reported it.
    """

    failure_domain: str
    reachable: bool
    largest_free_gang: int | None
    queued_jobs: int | None


class DomainChoice(abc.ABC):
    """Chooses the failure domain that a submission is sent to."""

    @abc.abstractmethod
    def choose(
        self,
        spec: JobSpec,
        own_domain: str,
        loads: tuple[DomainLoad, ...],
        configuration: Configuration | None,
    ) -> str | None:
        """Return the name of a reachable domain, or None when there is none.

        Args:
            spec: The submitted job.
            own_domain: Failure domain of this node.
            loads: The domains to choose from.
            configuration: The configuration in force, if any.
        """


class FreeGangChoice(DomainChoice):
    """Prefers the node's own domain, then the domain with most free space.

    If the job fits in no domain now, it waits in a domain where its
    organisation has a guaranteed cell of sufficient size, because the
    resources of a guarantee can be reclaimed only there. Without such a cell
    it waits in the node's own domain. Domains whose queue is much longer than
    the shortest one are the last choice to wait in. Otherwise all jobs of an
    organisation that submits very many would wait in one domain while the
    other domains are idle.
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
        cells_by_domain = _count_cells_by_domain(spec, configuration)
        shortest_queue = min(load.queued_jobs or 0 for load in reachable)
        queue_limit = LONG_QUEUE_FACTOR * shortest_queue + LONG_QUEUE_SLACK_JOBS
        best = min(
            reachable,
            key=lambda load: self._sort_key(
                load, spec, own_domain, cells_by_domain, queue_limit
            ),
        )
        return best.failure_domain

    def _sort_key(
        self,
        load: DomainLoad,
        spec: JobSpec,
        own_domain: str,
        cells_by_domain: dict[str, int],
        queue_limit: int,
    ) -> tuple[int, int, int, int, int, str]:
        """Return the sort key of a domain; the lowest key is the best."""
        is_own_domain = load.failure_domain == own_domain
        largest_free_gang = load.largest_free_gang
        # Without a reported load, only the node's own domain is assumed to be
        # free.
        fits = (
            is_own_domain
            if largest_free_gang is None
            else largest_free_gang >= spec.accelerators
        )
        if fits:
            preference = _FITS_IN_OWN_DOMAIN if is_own_domain else _FITS_IN_OTHER_DOMAIN
            return preference, 0, -(largest_free_gang or 0), 0, 0, load.failure_domain
        queued_jobs = load.queued_jobs or 0
        has_long_queue = int(queued_jobs > queue_limit)
        lacks_cell = int(load.failure_domain not in cells_by_domain)
        return (
            _DOES_NOT_FIT,
            has_long_queue,
            lacks_cell,
            int(not is_own_domain),
            queued_jobs,
            load.failure_domain,
        )


def _count_cells_by_domain(
    spec: JobSpec, configuration: Configuration | None
) -> dict[str, int]:
    """Count per domain the organisation's cells that are large enough."""
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
