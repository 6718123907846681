"""Cells of one failure domain and the search for their accelerators.

A cell is the set of accelerators that is reserved for one copy of a shape
that an organisation is guaranteed.
"""

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

# The first pass places cells, the second one counts missing accelerators.
PLACEMENT_PASSES = 2


class AdjacencyLevel(enum.IntEnum):
    """The unit of the hardware that a gang or cell has to stay within."""

    WORKER = 0
    RACK = 1
    DOMAIN = 2


class RequiredCell(NamedTuple):
    """A copy of a guaranteed shape that is assigned to this domain.

    ``size`` is the number of accelerators.
    """

    key: CellAssignment
    size: int


class Cell(NamedTuple):
    """The accelerators that are reserved for one copy of a guaranteed shape.

    ``accelerators_by_worker`` has the sorted accelerator indexes per worker.
    """

    key: CellAssignment
    size: int
    accelerators_by_worker: dict[str, tuple[int, ...]]


class Candidate(NamedTuple):
    """Accelerators of a worker that a cell may use, preferred ones first.

    The last ``held_by_organisation`` of them are in use by the organisation
    itself. They come last because jobs that run outside the organisation's
    cells must not use up its guarantee.
    """

    worker: WorkerState
    accelerators: tuple[int, ...]
    held_by_organisation: int


class CellSearchResult(NamedTuple):
    """A cell, or the accelerators that are missing in the closest unit."""

    cell: Cell | None
    missing: int


def cell_level(fleet: Fleet, accelerators: int) -> AdjacencyLevel:
    """Return the smallest unit that has enough accelerators when empty."""
    if accelerators <= fleet.largest_worker():
        return AdjacencyLevel.WORKER
    if accelerators <= fleet.largest_rack():
        return AdjacencyLevel.RACK
    return AdjacencyLevel.DOMAIN


class CellLayout:
    """Disjoint cells on the accelerators of a fleet.

    Attributes:
        fleet: The workers. After it has changed, ``rebuild_indexes`` has to be
            called before the next search.
        cells_by_key: All cells of the layout.
        owners_by_worker: For every worker with cells, the organisation that
            owns each of its accelerators, or None outside all cells.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.cells_by_key: dict[CellAssignment, Cell] = {}
        self.owners_by_worker: dict[str, Owners] = {}
        self._capacities_by_worker: dict[str, WorkerCapacity] = {}
        self._unassigned_by_worker: dict[str, int] = {}
        self._worker_ids_by_unassigned: dict[int, list[str]] = {}
        self.rebuild_indexes()

    def rebuild_indexes(self) -> None:
        """Rebuild the index of accelerators outside all cells.

        Cached capacities of workers that have left the fleet are removed.
        """
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
        """Count the accelerators outside all cells.

        Workers that accept no work are left out.
        """
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

    def add_cell(self, cell: Cell) -> None:
        """Add a cell; its accelerators must be outside all other cells."""
        self.cells_by_key[cell.key] = cell
        for worker_id, indexes in cell.accelerators_by_worker.items():
            worker = self.fleet.workers_by_id[worker_id]
            owners = replace_owner(self.owners(worker), indexes, cell.key.organisation)
            self.owners_by_worker[worker_id] = owners
            self._refresh_worker(worker_id)

    def remove_cell(self, key: CellAssignment) -> None:
        """Remove a cell, even if some of its workers have left the fleet."""
        cell = self.cells_by_key.pop(key)
        for worker_id, indexes in cell.accelerators_by_worker.items():
            owners = replace_owner(self.owners_by_worker[worker_id], indexes, None)
            self.owners_by_worker[worker_id] = owners
            if not any(owners):
                del self.owners_by_worker[worker_id]
            self._refresh_worker(worker_id)

    def _refresh_worker(self, worker_id: str) -> None:
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
        """Return whether a cell is still adjacent and can be reclaimed."""
        for worker_id, indexes in cell.accelerators_by_worker.items():
            worker = self.fleet.workers_by_id.get(worker_id)
            if worker is None or not worker.accepts_work:
                return False
            if indexes[-1] >= worker.info.accelerators:
                return False
            capacity = self.capacity(worker)
            if (
                not capacity.preserves_cells
                or not capacity.blocked_accelerators.isdisjoint(indexes)
            ):
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

    def search(self, required: RequiredCell) -> CellSearchResult:
        """Find accelerators for a cell without changing the layout.

        Units (workers, racks or the domain) are tried in the order of their
        unassigned accelerators, the smallest sufficient unit first, which
        keeps whole workers and racks for larger cells. Units in which the
        cell would need accelerators that the organisation itself holds are
        tried last.
        """
        most_available = 0
        fallback_units: list[tuple[int, int, list[Candidate]]] = []
        for unassigned, unit in self._units(required):
            if unassigned <= most_available:
                continue
            candidates = self._candidates(required.key.organisation, unit)
            own_needed = _count_own_needed(candidates, required.size)
            if own_needed:
                fallback_units.append((own_needed, len(fallback_units), candidates))
                continue
            selected = self._select_accelerators(candidates, required)
            count = _count_accelerators(selected)
            if count == required.size:
                return CellSearchResult(Cell(required.key, required.size, selected), 0)
            most_available = max(most_available, count)
        for _, _, candidates in sorted(fallback_units, key=lambda entry: entry[:2]):
            selected = self._select_accelerators(candidates, required)
            count = _count_accelerators(selected)
            if count == required.size:
                return CellSearchResult(Cell(required.key, required.size, selected), 0)
            most_available = max(most_available, count)
        return CellSearchResult(None, required.size - most_available)

    def _units(self, required: RequiredCell) -> Iterator[tuple[int, list[str]]]:
        """Yield adjacent workers with their count of unassigned accelerators.

        Units that are too small come last, the largest of them first. They
        are needed only to compute how many accelerators are missing.
        """
        level = cell_level(self.fleet, required.size)
        if level is AdjacencyLevel.WORKER:
            groups = self._worker_ids_by_unassigned
            for count in sorted(groups, key=lambda n: _size_order(n, required.size)):
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
            racks.append((_size_order(count, required.size), rack, count, usable))
        for _, _, count, usable in sorted(racks):
            yield count, usable

    def _candidates(
        self, organisation: str, worker_ids: Iterable[str]
    ) -> list[Candidate]:
        """Return candidates sorted by rack, large racks and workers first."""
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
        own_indexes: list[int] = []
        for index, owner in enumerate(self.owners(worker)):
            if owner is not None:
                continue
            holder = worker.gangs_by_accelerator[index]
            if holder is None:
                free.append(index)
            elif self.fleet.gangs_by_id[holder].spec.organisation == organisation:
                own_indexes.append(index)
            elif may_occupy_cell(worker, index, organisation, self.fleet):
                borrowed.append(index)
        order = (*free, *borrowed, *own_indexes)
        return Candidate(worker, order, len(own_indexes))

    def _select_accelerators(
        self, unit: list[Candidate], required: RequiredCell
    ) -> dict[str, tuple[int, ...]]:
        selected: dict[str, tuple[int, ...]] = {}
        remaining = required.size
        remaining_candidates = list(unit)
        while remaining and remaining_candidates:
            candidate = _next_candidate(remaining_candidates, remaining)
            remaining_candidates.remove(candidate)
            indexes = self._select_from_worker(
                candidate, remaining, required.key.organisation
            )
            if indexes:
                selected[candidate.worker.info.worker_id] = indexes
                remaining -= len(indexes)
        return selected

    def _select_from_worker(
        self, candidate: Candidate, limit: int, organisation: str
    ) -> tuple[int, ...]:
        """Return as many accelerators as slots, cores and memory allow."""
        worker = candidate.worker
        owners = self.owners(worker)
        for count in range(min(limit, len(candidate.accelerators)), 0, -1):
            indexes = tuple(sorted(candidate.accelerators[:count]))
            changed = replace_owner(owners, indexes, organisation)
            if build_worker_capacity(worker, changed, self.fleet).preserves_cells:
                return indexes
        return ()


def required_cells(
    configuration: Configuration, failure_domain: str
) -> list[RequiredCell]:
    """Return the copies that are assigned to a domain, largest first.

    Assignments to organisations, shapes or copies that the configuration no
    longer has are skipped.
    """
    required = []
    for key in configuration.cells:
        organisation = configuration.organisations_by_name.get(key.organisation)
        if key.failure_domain != failure_domain or organisation is None:
            continue
        if key.shape_index >= len(organisation.guarantees):
            continue
        shape = organisation.guarantees[key.shape_index]
        if key.copy_index < shape.copies:
            required.append(RequiredCell(key, shape.accelerators))
    return sorted(required, key=lambda cell: (-cell.size, cell.key))


def place_missing_cells(
    layout: CellLayout, required: list[RequiredCell]
) -> dict[CellAssignment, int]:
    """Add a cell to the layout for every required copy that has none.

    If copies remain, a second pass counts their missing accelerators after
    all other cells have been placed, so that the counts do not depend on the
    order in which the cells were added.

    Returns:
        The number of missing accelerators of every copy without a cell.
    """
    missing: dict[CellAssignment, int] = {}
    for _ in range(PLACEMENT_PASSES):
        missing = {}
        for cell in required:
            if cell.key in layout.cells_by_key:
                continue
            found = layout.search(cell)
            if found.cell is None:
                missing[cell.key] = found.missing
            else:
                layout.add_cell(found.cell)
        if not missing:
            break
    return missing


def replace_owner(owners: Owners, indexes: Iterable[int], owner: str | None) -> Owners:
    """Return a copy with another owner for the given accelerators."""
    changed = list(owners)
    for index in indexes:
        if index < len(changed):
            changed[index] = owner
    return tuple(changed)


def _count_accelerators(selected: dict[str, tuple[int, ...]]) -> int:
    return sum(map(len, selected.values()))


def _size_order(count: int, required: int) -> tuple[bool, int]:
    """Sort sufficient units by size, then smaller ones, largest first."""
    return (False, count) if count >= required else (True, -count)


def _count_own_needed(candidates: list[Candidate], size: int) -> int:
    """Count the needed accelerators that gangs of the organisation hold."""
    total = sum(len(candidate.accelerators) for candidate in candidates)
    held_by_organisation = sum(
        candidate.held_by_organisation for candidate in candidates
    )
    return min(held_by_organisation, max(0, size - (total - held_by_organisation)))


def _next_candidate(remaining_candidates: list[Candidate], remaining: int) -> Candidate:
    """Return the smallest worker with enough accelerators, or the first one.

    Only the rack of the first worker is considered. Workers are sorted by
    rack and then by size, largest first. Large workers are thus used up
    completely, and the remainder goes to a worker that fits it closely
    instead of splitting another large one.
    """
    first = remaining_candidates[0]
    rack = first.worker.info.rack
    sufficient = [
        candidate
        for candidate in remaining_candidates
        if candidate.worker.info.rack == rack
        and len(candidate.accelerators) >= remaining
    ]
    return sufficient[-1] if sufficient else first
