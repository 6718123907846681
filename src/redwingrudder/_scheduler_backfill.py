"""Reservation of workers for the gang at the head of the queue."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from ._cells import AdjacencyLevel
from ._offers import gang_level
from .fleet import Fleet, WorkerState
from .guarantees import CellTable, is_borrower
from .model import JobSpec


class Reservation(NamedTuple):
    """When and where a waiting gang is expected to find its accelerators."""

    job_id: str
    at: float
    workers: frozenset[str]


class _Freed(NamedTuple):
    at: float
    worker_id: str


class Forecast(NamedTuple):
    """What is held; ``end_of`` returns when a gang is expected to end."""

    fleet: Fleet
    guarantees: CellTable
    end_of: Callable[[str], float]
    now: float


def reserve(job_id: str, spec: JobSpec, forecast: Forecast) -> Reservation | None:
    """Estimate when a gang can be placed from the ends of the running gangs.

    Each worker, each rack or the whole domain is considered, depending on
    what the gang has to stay within. A place that has enough accelerators
    now is left out, because the placement has just found it unsuitable.

    Returns:
        None when the gang cannot be expected to fit at a later time.
    """
    found = (
        _earliest(job_id, spec, scope, forecast)
        for scope in _scopes(spec, forecast.fleet)
    )
    later = [entry for entry in found if entry and entry.at > forecast.now]
    return min(later, key=lambda entry: entry.at, default=None)


def _scopes(spec: JobSpec, fleet: Fleet) -> list[list[WorkerState]]:
    workers = fleet.placeable_workers()
    level = gang_level(spec, fleet)
    if level is AdjacencyLevel.DOMAIN:
        return [workers]
    scopes: dict[str, list[WorkerState]] = {}
    for worker in workers:
        info = worker.info
        name = info.rack if level is AdjacencyLevel.RACK else info.worker_id
        scopes.setdefault(name, []).append(worker)
    return list(scopes.values())


def _earliest(
    job_id: str, spec: JobSpec, scope: list[WorkerState], forecast: Forecast
) -> Reservation | None:
    missing = spec.accelerators
    workers = set()
    for freed in sorted(_freed(spec, scope, forecast)):
        missing -= 1
        workers.add(freed.worker_id)
        if missing == 0:
            return Reservation(job_id, freed.at, frozenset(workers))
    return None


def _freed(
    spec: JobSpec, scope: list[WorkerState], forecast: Forecast
) -> Iterator[_Freed]:
    """Yield when each accelerator that the job may use becomes free."""
    layout = forecast.guarantees.layout_of(forecast.fleet)
    borrows = is_borrower(spec)
    for worker in scope:
        owners = layout.owners(worker)
        for owner, gang_id in zip(owners, worker.gangs_by_accelerator, strict=True):
            if owner not in (None, spec.organisation) and not borrows:
                continue
            at = forecast.now if gang_id is None else forecast.end_of(gang_id)
            yield _Freed(at, worker.info.worker_id)
