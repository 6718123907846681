"""Cells of one failure domain and the search for their accelerators."""

import bisect
import enum
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ._worker_capacity import (
    Owners,
    WorkerCapacity,
    build_worker_capacity,
    may_occupy_cell,
)
from .fleet import Fleet, WorkerState
from .model import CellAssignment, Configuration


class AdjacencyLevel(enum.IntEnum):
    """The smallest unit that a gang has to stay within."""

    WORKER = 0
    RACK = 1
    DOMAIN = 2


class WantedCell(NamedTuple):
    """A copy of a guaranteed shape that this domain has to hold."""

    key: CellAssignment
    size: int


class Cell(NamedTuple):
    """The concrete accelerators of one copy of a guaranteed shape."""

    key: CellAssignment
    size: int
    accelerators_by_worker: dict[str, tuple[int, ...]]


class Candidate(NamedTuple):
    """Accelerators of a worker that a cell may take, best ones first.

    The last ``own_held`` ones are held by the organisation itself. They come
    last because work outside the cells must not reduce the claim.
    """

    worker: WorkerState
    accelerators: tuple[int, ...]
    own_held: int


class CellSearch(NamedTuple):
    """A cell, or how many accelerators the best place lacks."""

    cell: Cell | None
    missing: int


def cell_level(fleet: Fleet, accelerators: int) -> AdjacencyLevel:
    """Return the unit that a cell has to stay within."""
    if accelerators <= fleet.largest_worker():
        return AdjacencyLevel.WORKER
    if accelerators <= fleet.largest_rack():
        return AdjacencyLevel.RACK
    return AdjacencyLevel.DOMAIN


class CellLayout:
    """Disjoint cells on the accelerators of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.cells_by_key: dict[CellAssignment, Cell] = {}
        self.owners_by_worker: dict[str, Owners] = {}
        self._capacities_by_worker: dict[str, WorkerCapacity] = {}
        self._unassigned_by_worker: dict[str, int] = {}
        self._worker_ids_by_unassigned: dict[int, list[str]] = {}
        self.follow_fleet()

    def follow_fleet(self) -> None:
        """Rebuild the index of unassigned accelerators from the fleet."""
        workers = self.fleet.workers_by_id
        for worker_id in self._capacities_by_worker.keys() - workers.keys():
            del self._capacities_by_worker[worker_id]
        self._unassigned_by_worker = {
            worker_id: self.owners(worker).count(None)
            for worker_id, worker in workers.items()
            if worker.accepts_work
        }
        self._worker_ids_by_unassigned = {}
        for worker_id in sorted(self._unassigned_by_worker):
            count = self._unassigned_by_worker[worker_id]
            self._worker_ids_by_unassigned.setdefault(count, []).append(worker_id)

    def unassigned(self) -> int:
        """Return the accelerators outside all cells on usable workers."""
        return sum(self._unassigned_by_worker.values())

    def owners(self, worker: WorkerState) -> Owners:
        """Return the organisation that owns each accelerator, or None."""
        count = worker.info.accelerators
        owners = self.owners_by_worker.get(worker.info.worker_id, ())
        if len(owners) == count:
            return owners
        return owners[:count] + (None,) * (count - len(owners))

    def capacity(self, worker: WorkerState) -> WorkerCapacity:
        """Return a worker's capacity; it is rebuilt only after a change."""
        worker_id = worker.info.worker_id
        capacity = self._capacities_by_worker.get(worker_id)
        if capacity is None or capacity.worker is not worker:
            capacity = build_worker_capacity(worker, self.owners(worker), self.fleet)
            self._capacities_by_worker[worker_id] = capacity
        return capacity

    def put(self, cell: Cell) -> None:
        """Add a cell whose accelerators no other cell has."""
        self.cells_by_key[cell.key] = cell
        for worker_id, indexes in cell.accelerators_by_worker.items():
            worker = self.fleet.workers_by_id[worker_id]
            owners = with_owner(self.owners(worker), indexes, cell.key.organisation)
            self.owners_by_worker[worker_id] = owners
            self._changed(worker_id)

    def drop(self, key: CellAssignment) -> None:
        """Remove a cell; its workers may be gone already."""
        cell = self.cells_by_key.pop(key)
        for worker_id, indexes in cell.accelerators_by_worker.items():
            owners = with_owner(self.owners_by_worker[worker_id], indexes, None)
            self.owners_by_worker[worker_id] = owners
            if not any(owners):
                del self.owners_by_worker[worker_id]
            self._changed(worker_id)

    def _changed(self, worker_id: str) -> None:
        self._capacities_by_worker.pop(worker_id, None)
        before = self._unassigned_by_worker.get(worker_id)
        if before is None:
            return
        worker = self.fleet.workers_by_id[worker_id]
        count = self.owners(worker).count(None)
        self._unassigned_by_worker[worker_id] = count
        self._worker_ids_by_unassigned[before].remove(worker_id)
        bisect.insort(self._worker_ids_by_unassigned.setdefault(count, []), worker_id)

    def is_valid(self, cell: Cell) -> bool:
        """Whether a cell can stay where it is."""
        for worker_id, indexes in cell.accelerators_by_worker.items():
            worker = self.fleet.workers_by_id.get(worker_id)
            if worker is None or not worker.accepts_work:
                return False
            if indexes[-1] >= worker.info.accelerators:
                return False
            capacity = self.capacity(worker)
            if not capacity.keeps_cells or not capacity.blocked.isdisjoint(indexes):
                return False
        return self._is_adjacent(cell)

    def _is_adjacent(self, cell: Cell) -> bool:
        level = cell_level(self.fleet, cell.size)
        if level is AdjacencyLevel.WORKER:
            return len(cell.accelerators_by_worker) == 1
        if level is AdjacencyLevel.RACK:
            workers = self.fleet.workers_by_id
            racks = {workers[w].info.rack for w in cell.accelerators_by_worker}
            return len(racks) == 1
        return True

    def search(self, wanted: WantedCell) -> CellSearch:
        """Find accelerators for a cell without changing the layout.

        Units (workers or racks) with the fewest unassigned accelerators come
        first, which keeps whole workers and racks for larger cells. Units
        that need accelerators held by the organisation itself come last.
        """
        best = 0
        later: list[tuple[int, int, list[Candidate]]] = []
        for unassigned, unit in self._units(wanted):
            if unassigned <= best:
                continue
            candidates = self._candidates(wanted.key.organisation, unit)
            own_needed = _own_needed(candidates, wanted.size)
            if own_needed:
                later.append((own_needed, len(later), candidates))
                continue
            taken = self._take(candidates, wanted)
            count = _count(taken)
            if count == wanted.size:
                return CellSearch(Cell(wanted.key, wanted.size, taken), 0)
            best = max(best, count)
        for _, _, candidates in sorted(later, key=lambda entry: entry[:2]):
            taken = self._take(candidates, wanted)
            count = _count(taken)
            if count == wanted.size:
                return CellSearch(Cell(wanted.key, wanted.size, taken), 0)
            best = max(best, count)
        return CellSearch(None, wanted.size - best)

    def _units(self, wanted: WantedCell) -> Iterator[tuple[int, list[str]]]:
        """Yield sets of adjacent workers with their unassigned accelerators.

        Those that are too small come last and serve to tell what is missing.
        """
        level = cell_level(self.fleet, wanted.size)
        if level is AdjacencyLevel.WORKER:
            groups = self._worker_ids_by_unassigned
            for count in sorted(groups, key=lambda n: _size_order(n, wanted.size)):
                for worker_id in tuple(groups[count]):
                    yield count, [worker_id]
            return
        if level is AdjacencyLevel.DOMAIN:
            yield self.unassigned(), list(self._unassigned_by_worker)
            return
        racks = []
        for rack, worker_ids in self.fleet.worker_ids_by_rack.items():
            usable = [w for w in worker_ids if w in self._unassigned_by_worker]
            count = sum(self._unassigned_by_worker[w] for w in usable)
            racks.append((_size_order(count, wanted.size), rack, count, usable))
        for _, _, count, usable in sorted(racks):
            yield count, usable

    def _candidates(
        self, organisation: str, worker_ids: Iterable[str]
    ) -> list[Candidate]:
        """Return candidates by rack, large racks and workers first."""
        found = [
            self._candidate(organisation, self.fleet.workers_by_id[worker_id])
            for worker_id in worker_ids
        ]
        sizes_by_rack: dict[str, int] = {}
        for candidate in found:
            rack = candidate.worker.info.rack
            count = len(candidate.accelerators)
            sizes_by_rack[rack] = sizes_by_rack.get(rack, 0) + count
        return sorted(
            (candidate for candidate in found if candidate.accelerators),
            key=lambda c: (
                -sizes_by_rack[c.worker.info.rack],
                c.worker.info.rack,
                -len(c.accelerators),
                c.worker.info.worker_id,
            ),
        )

    def _candidate(self, organisation: str, worker: WorkerState) -> Candidate:
        free: list[int] = []
        borrowed: list[int] = []
        own: list[int] = []
        for index, owner in enumerate(self.owners(worker)):
            if owner is not None:
                continue
            holder = worker.gangs_by_accelerator[index]
            if holder is None:
                free.append(index)
            elif self.fleet.gangs_by_id[holder].spec.organisation == organisation:
                own.append(index)
            elif may_occupy_cell(worker, index, organisation, self.fleet):
                borrowed.append(index)
        order = (*free, *borrowed, *own)
        return Candidate(worker, order, len(own))

    def _take(
        self, unit: list[Candidate], wanted: WantedCell
    ) -> dict[str, tuple[int, ...]]:
        taken: dict[str, tuple[int, ...]] = {}
        left = wanted.size
        remaining = list(unit)
        while left and remaining:
            candidate = _next_candidate(remaining, left)
            remaining.remove(candidate)
            indexes = self._usable(candidate, left, wanted.key.organisation)
            if indexes:
                taken[candidate.worker.info.worker_id] = indexes
                left -= len(indexes)
        return taken

    def _usable(
        self, candidate: Candidate, limit: int, organisation: str
    ) -> tuple[int, ...]:
        """Return what a cell can take while slots, cores and memory last."""
        worker = candidate.worker
        owners = self.owners(worker)
        for count in range(min(limit, len(candidate.accelerators)), 0, -1):
            indexes = tuple(sorted(candidate.accelerators[:count]))
            changed = with_owner(owners, indexes, organisation)
            if build_worker_capacity(worker, changed, self.fleet).keeps_cells:
                return indexes
        return ()


def wanted_cells(configuration: Configuration, failure_domain: str) -> list[WantedCell]:
    """Return the copies that a domain has to hold, largest first."""
    wanted = []
    for key in configuration.cells:
        organisation = configuration.organisations_by_name.get(key.organisation)
        if key.failure_domain != failure_domain or organisation is None:
            continue
        if key.shape_index >= len(organisation.guarantees):
            continue
        shape = organisation.guarantees[key.shape_index]
        if key.copy_index < shape.copies:
            wanted.append(WantedCell(key, shape.accelerators))
    return sorted(wanted, key=lambda cell: (-cell.size, cell.key))


def fill(layout: CellLayout, wanted: list[WantedCell]) -> dict[CellAssignment, int]:
    """Search a place for every copy without one; returns what is missing.

    What a copy lacks is counted once all others have their place, so that it
    does not depend on how the cells came about.
    """
    missing: dict[CellAssignment, int] = {}
    for _ in range(2):
        missing = {}
        for cell in wanted:
            if cell.key in layout.cells_by_key:
                continue
            found = layout.search(cell)
            if found.cell is None:
                missing[cell.key] = found.missing
            else:
                layout.put(found.cell)
        if not missing:
            break
    return missing


def with_owner(owners: Owners, indexes: Iterable[int], owner: str | None) -> Owners:
    """Return the owners after some accelerators went to another one."""
    changed = list(owners)
    for index in indexes:
        if index < len(changed):
            changed[index] = owner
    return tuple(changed)


def _count(taken: dict[str, tuple[int, ...]]) -> int:
    return sum(map(len, taken.values()))


def _size_order(count: int, wanted: int) -> tuple[bool, int]:
    """Sort units that are large enough first, the smallest of them first."""
    return (False, count) if count >= wanted else (True, -count)


def _own_needed(candidates: list[Candidate], size: int) -> int:
    """Return how many accelerators the organisation's own gangs hold."""
    total = sum(len(candidate.accelerators) for candidate in candidates)
    own_held = sum(candidate.own_held for candidate in candidates)
    return min(own_held, max(0, size - (total - own_held)))


def _next_candidate(remaining: list[Candidate], left: int) -> Candidate:
    """Return the first worker, or the smallest one that holds the rest.

    Workers are ordered by rack and then by size, so whole workers are taken
    first and the rest does not break up another whole worker.
    """
    first = remaining[0]
    rack = first.worker.info.rack
    enough = [
        candidate
        for candidate in remaining
        if candidate.worker.info.rack == rack and len(candidate.accelerators) >= left
    ]
    return enough[-1] if enough else first
