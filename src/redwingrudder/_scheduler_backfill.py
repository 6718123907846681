"""Reservation of workers for the first queued gang that does not fit."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from ._cells import AdjacencyLevel
from ._offers import gang_level
from .fleet import Fleet, WorkerState
from .guarantees import CellTable, is_borrower
from .model import JobSpec


class Reservation(NamedTuple):
    """Workers reserved for a waiting gang until it can be placed.

    Attributes:
        at: Time at which the workers are expected to have enough free
            accelerators, in Unix seconds.
    """

    job_id: str
    at: float
    workers: frozenset[str]


class _AcceleratorRelease(NamedTuple):
    at: float
    worker_id: str


class Forecast(NamedTuple):
    """Resources in use and the expected ends of the gangs that use them.

    Attributes:
        expected_end: Returns the time, in Unix seconds, at which the gang
            with a given id is expected to free its resources.
    """

    fleet: Fleet
    guarantees: CellTable
    expected_end: Callable[[str], float]
    now: float


def reserve(job_id: str, spec: JobSpec, forecast: Forecast) -> Reservation | None:
    """Reserve workers at the earliest time at which a gang should fit.

    The time is estimated from the expected ends of the running gangs. The
    candidates are single workers, racks or the whole domain, depending on
    the unit that the gang must not exceed. Candidates that already have
    enough free accelerators are skipped, because the placement policy has
    just rejected them.

    Returns:
        The earliest reservation, or None if no candidate is expected to have
        enough accelerators at a later time.
    """
    reservations = (
        _earliest_reservation(job_id, spec, scope, forecast)
        for scope in _scopes(spec, forecast.fleet)
    )
    future = [
        reservation
        for reservation in reservations
        if reservation and reservation.at > forecast.now
    ]
    return min(future, key=lambda reservation: reservation.at, default=None)


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


def _earliest_reservation(
    job_id: str, spec: JobSpec, scope: list[WorkerState], forecast: Forecast
) -> Reservation | None:
    missing = spec.accelerators
    workers = set()
    for release in sorted(_accelerator_releases(spec, scope, forecast)):
        missing -= 1
        workers.add(release.worker_id)
        if missing == 0:
            return Reservation(job_id, release.at, frozenset(workers))
    return None


def _accelerator_releases(
    spec: JobSpec, scope: list[WorkerState], forecast: Forecast
) -> Iterator[_AcceleratorRelease]:
    """Yield when each accelerator that the job may use should be free."""
    layout = forecast.guarantees.layout_of(forecast.fleet)
    may_borrow = is_borrower(spec)
    for worker in scope:
        owners = layout.owners(worker)
        for owner, gang_id in zip(owners, worker.gangs_by_accelerator, strict=True):
            if owner not in (None, spec.organisation) and not may_borrow:
                continue
            at = forecast.now if gang_id is None else forecast.expected_end(gang_id)
            yield _AcceleratorRelease(at, worker.info.worker_id)
