"""Assignment of accelerators to guaranteed shapes.

The accelerators that are reserved for one copy of a shape form a cell. Other
organisations may use them only for borrowers, which can be stopped in time
when the owner of the cell needs it.
"""

from ._cell_check import find_violations
from ._cell_plan import plan_cells
from ._cells import Cell, CellLayout, RequiredCell, place_missing_cells, required_cells
from ._worker_capacity import (
    RECLAIM_BOUND_S,
    fitting_tasks,
    is_borrower,
    preserves_cells,
)
from .fleet import Fleet
from .model import (
    CellAssignment,
    Configuration,
    GuaranteeShortage,
    JobSpec,
    MemberPlacement,
)

__all__ = ["RECLAIM_BOUND_S", "CellTable", "is_borrower", "plan_cells"]


class CellTable:
    """The cells of one failure domain, kept disjoint and reclaimable.

    ``assign`` has to be called after every change of the configuration or the
    workers, and after gangs were discovered on a newly claimed worker.

    Attributes:
        shortages: Copies for which the domain has no cell at present.
    """

    shortages: tuple[GuaranteeShortage, ...] = ()

    def __init__(self) -> None:
        self._layout: CellLayout | None = None
        self._required_cells: list[RequiredCell] = []

    def assign(
        self,
        configuration: Configuration,
        failure_domain: str,
        fleet: Fleet,
        now: float,
    ) -> None:
        """Recompute the cells after a change of the configuration or workers.

        A valid cell keeps its accelerators, unless some copy does not fit and
        a new layout of all cells reduces the shortage.

        Args:
            configuration: Organisations with their shapes and assignments.
            failure_domain: Name of the domain of the fleet.
            fleet: The workers of the domain.
            now: Unix time in seconds, recorded as the start of new shortages.
        """
        layout = self.layout_of(fleet)
        layout.rebuild_indexes()
        self._required_cells = required_cells(configuration, failure_domain)
        _remove_invalid_cells(layout, self._required_cells)
        missing = place_missing_cells(layout, self._required_cells)
        if missing and _could_reduce_shortage(layout, self._required_cells, missing):
            fresh = CellLayout(fleet)
            fresh_missing = place_missing_cells(fresh, self._required_cells)
            if sum(fresh_missing.values()) < sum(missing.values()):
                self._layout, missing = fresh, fresh_missing
        self.shortages = self._build_shortages(missing, now)

    def cells(self) -> tuple[Cell, ...]:
        """Return all cells, sorted by their keys."""
        if self._layout is None:
            return ()
        return tuple(cell for _, cell in sorted(self._layout.cells_by_key.items()))

    def cells_of(self, organisation: str) -> tuple[Cell, ...]:
        """Return the cells of one organisation, sorted by their keys."""
        return tuple(c for c in self.cells() if c.key.organisation == organisation)

    def usable_accelerators(self, spec: JobSpec, worker_id: str) -> tuple[int, ...]:
        """Return the indexes of the accelerators that a job may use.

        Free accelerators outside all cells come first, then those in cells of
        the job's organisation, and for a borrower those in other cells. The
        result is empty if no task of the job fits on the worker.
        """
        worker = self._layout and self._layout.fleet.workers_by_id.get(worker_id)
        if worker is None or not worker.accepts_work:
            return ()
        capacity = self._layout.capacity(worker)
        accelerators = capacity.unassigned + capacity.free_by_owner.get(
            spec.organisation, ()
        )
        if is_borrower(spec):
            accelerators += capacity.free_in_foreign_cells(spec.organisation)
        return accelerators if fitting_tasks(spec, capacity, accelerators) else ()

    def allows_member(self, spec: JobSpec, member: MemberPlacement) -> bool:
        """Return whether all cells stay reclaimable with a member in place.

        Cells may be moved while the borrowers of a reclaim are stopping, so
        each member of the plan is checked again before it gets its resources.
        The fleet itself checks whether the accelerators are free.
        """
        worker = self._layout and self._layout.fleet.workers_by_id.get(member.worker_id)
        if worker is None or not worker.accepts_work:
            return False
        capacity = self._layout.capacity(worker)
        owners = {capacity.owners[index] for index in member.accelerators}
        if not is_borrower(spec) and owners - {None, spec.organisation}:
            return False
        return preserves_cells(spec, capacity, len(member.tasks), member.accelerators)

    def violations(self, fleet: Fleet) -> tuple[str, ...]:
        """Return a description of every violated guarantee, or nothing."""
        return find_violations(
            fleet, self._required_cells, self.cells(), self.shortages
        )

    def layout_of(self, fleet: Fleet) -> CellLayout:
        """Return the layout of the cells on a fleet.

        The layout has no cells if ``assign`` was not called for this fleet.
        """
        if self._layout is None or self._layout.fleet is not fleet:
            self._layout = CellLayout(fleet)
        return self._layout

    def _build_shortages(
        self, missing: dict[CellAssignment, int], now: float
    ) -> tuple[GuaranteeShortage, ...]:
        since_by_copy = {
            (s.organisation, s.shape_index, s.copy_index): s.since
            for s in self.shortages
        }
        return tuple(
            GuaranteeShortage(*key[:3], count, since_by_copy.get(key[:3], now))
            for key, count in sorted(missing.items())
        )


def _could_reduce_shortage(
    layout: CellLayout,
    required: list[RequiredCell],
    missing: dict[CellAssignment, int],
) -> bool:
    """Return whether a new layout might hold more of the required copies.

    This is a necessary but not a sufficient condition, which is cheap to
    check.
    """
    smallest = min(cell.size for cell in required if cell.key in missing)
    return bool(layout.cells_by_key) and layout.unassigned() >= smallest


def _remove_invalid_cells(layout: CellLayout, required: list[RequiredCell]) -> None:
    sizes_by_key = {cell.key: cell.size for cell in required}
    for key, cell in list(layout.cells_by_key.items()):
        if sizes_by_key.get(key) != cell.size:
            layout.remove_cell(key)
    # Removing a cell frees its share of slots, cores and memory, which may
    # make another cell on the same worker valid again. Small cells are
    # checked first, so that a small one is removed rather than a large one.
    for cell in reversed(required):
        current = layout.cells_by_key.get(cell.key)
        if current is not None and not layout.is_valid(current):
            layout.remove_cell(cell.key)
