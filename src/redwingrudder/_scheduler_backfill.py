"""Reservation of workers for the gang at the head of the queue."""

from collections.abc import Iterable
from typing import NamedTuple

from .fleet import Fleet, WorkerState
from .model import JobSpec


class Reservation(NamedTuple):
    """When and where a waiting gang is expected to find its accelerators."""

    job_id: str
    at: float
    workers: frozenset[str]


class _Freed(NamedTuple):
    at: float
    worker_id: str
    accelerators: int


def reserve(
    job_id: str, spec: JobSpec, fleet: Fleet, ends_by_gang: dict[str, float], now: float
) -> Reservation | None:
    """Estimate when a gang can be placed from the ends of the running gangs.

    The narrowest scope that can hold the gang is used: one worker, one rack
    or the whole domain. Cells are not considered, so the estimate can be too
    early; it is computed again whenever resources are freed.

    Returns:
        None when the gang cannot be expected to fit at a later time.
    """
    best: Reservation | None = None
    for scope in _scopes(spec, fleet):
        found = _earliest(job_id, spec, scope, ends_by_gang, now)
        if found is not None and (best is None or found.at < best.at):
            best = found
    return best if best is not None and best.at > now else None


def _scopes(spec: JobSpec, fleet: Fleet) -> list[list[WorkerState]]:
    workers = fleet.placeable_workers()
    needed = spec.accelerators
    single = [[w] for w in workers if w.info.accelerators >= needed]
    if single:
        return single
    by_rack: dict[str, list[WorkerState]] = {}
    for worker in workers:
        by_rack.setdefault(worker.info.rack, []).append(worker)
    racks = [
        rack
        for rack in by_rack.values()
        if sum(w.info.accelerators for w in rack) >= needed
    ]
    return racks or [workers]


def _earliest(
    job_id: str,
    spec: JobSpec,
    scope: list[WorkerState],
    ends_by_gang: dict[str, float],
    now: float,
) -> Reservation | None:
    missing = spec.accelerators
    workers = set()
    for freed in sorted(_freed(scope, ends_by_gang, now)):
        missing -= freed.accelerators
        workers.add(freed.worker_id)
        if missing <= 0:
            return Reservation(job_id, freed.at, frozenset(workers))
    return None


def _freed(
    scope: Iterable[WorkerState], ends_by_gang: dict[str, float], now: float
) -> list[_Freed]:
    entries = []
    for worker in scope:
        for gang_id in worker.gangs_by_accelerator:
            at = now if gang_id is None else ends_by_gang.get(gang_id, now)
            entries.append(_Freed(at, worker.info.worker_id, 1))
    return entries
