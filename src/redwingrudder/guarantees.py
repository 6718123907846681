"""Standing assignment of guaranteed shapes to accelerators (cells)."""

from ._cell_check import find_violations
from ._cell_plan import plan_cells
from ._cells import Cell, CellLayout, WantedCell, fill, wanted_cells
from ._worker_capacity import RECLAIM_BOUND_S, fitting_tasks, is_borrower, keeps_cells
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

    After every change of the configuration or the fleet, and after gangs
    were found on a claimed worker, ``assign`` has to be called.
    """

    shortages: tuple[GuaranteeShortage, ...] = ()

    def __init__(self) -> None:
        self._layout: CellLayout | None = None
        self._wanted: list[WantedCell] = []

    def assign(
        self,
        configuration: Configuration,
        failure_domain: str,
        fleet: Fleet,
        now: float,
    ) -> None:
        """Recompute the cells after a change of configuration or fleet.

        A valid cell stays where it is, unless a copy fits nowhere and laying
        out all cells anew reduces the shortage.
        """
        layout = self.layout_of(fleet)
        layout.follow_fleet()
        self._wanted = wanted_cells(configuration, failure_domain)
        _drop_invalid(layout, self._wanted)
        missing = fill(layout, self._wanted)
        if missing and _may_fit(layout, self._wanted, missing):
            fresh = CellLayout(fleet)
            fresh_missing = fill(fresh, self._wanted)
            if sum(fresh_missing.values()) < sum(missing.values()):
                self._layout, missing = fresh, fresh_missing
        self.shortages = self._shortages(missing, now)

    def cells(self) -> tuple[Cell, ...]:
        """Return the cells that are assigned, in a stable order."""
        if self._layout is None:
            return ()
        return tuple(cell for _, cell in sorted(self._layout.cells_by_key.items()))

    def cells_of(self, organisation: str) -> tuple[Cell, ...]:
        """Return the cells of one organisation, in a stable order."""
        return tuple(c for c in self.cells() if c.key.organisation == organisation)

    def usable_accelerators(self, spec: JobSpec, worker_id: str) -> tuple[int, ...]:
        """Return the free accelerators that a job may use on a worker.

        Accelerators outside all cells come first, then those of the cells of
        the job's organisation, then, for a borrower, those of other cells.
        """
        worker = self._layout and self._layout.fleet.workers_by_id.get(worker_id)
        if worker is None or not worker.accepts_work:
            return ()
        capacity = self._layout.capacity(worker)
        accelerators = capacity.unassigned + capacity.free_by_owner.get(
            spec.organisation, ()
        )
        if is_borrower(spec):
            accelerators += capacity.foreign(spec.organisation)
        return accelerators if fitting_tasks(spec, capacity, accelerators) else ()

    def allows_member(self, spec: JobSpec, member: MemberPlacement) -> bool:
        """Whether a member may be held without breaking a cell.

        Whether its accelerators are free is left to the fleet. Cells may move
        while the borrowers of a reclaim stop, so each member of the plan is
        checked again before it is held.
        """
        worker = self._layout and self._layout.fleet.workers_by_id.get(member.worker_id)
        if worker is None or not worker.accepts_work:
            return False
        capacity = self._layout.capacity(worker)
        owners = {capacity.owners[index] for index in member.accelerators}
        if not is_borrower(spec) and owners - {None, spec.organisation}:
            return False
        return keeps_cells(spec, capacity, len(member.tasks), member.accelerators)

    def violations(self, fleet: Fleet) -> tuple[str, ...]:
        """Describe every cell that could not be reclaimed; empty if none."""
        return find_violations(fleet, self._wanted, self.cells(), self.shortages)

    def layout_of(self, fleet: Fleet) -> CellLayout:
        """Return the cells on a fleet; none if ``assign`` did not see it."""
        if self._layout is None or self._layout.fleet is not fleet:
            self._layout = CellLayout(fleet)
        return self._layout

    def _shortages(
        self, missing: dict[CellAssignment, int], now: float
    ) -> tuple[GuaranteeShortage, ...]:
        since = {
            (s.organisation, s.shape_index, s.copy_index): s.since
            for s in self.shortages
        }
        return tuple(
            GuaranteeShortage(*key[:3], count, since.get(key[:3], now))
            for key, count in sorted(missing.items())
        )


def _may_fit(
    layout: CellLayout,
    wanted: list[WantedCell],
    missing: dict[CellAssignment, int],
) -> bool:
    """Whether another layout could hold more; a cheap necessary condition."""
    smallest = min(cell.size for cell in wanted if cell.key in missing)
    return bool(layout.cells_by_key) and layout.unassigned() >= smallest


def _drop_invalid(layout: CellLayout, wanted: list[WantedCell]) -> None:
    sizes_by_key = {cell.key: cell.size for cell in wanted}
    for key, cell in list(layout.cells_by_key.items()):
        if sizes_by_key.get(key) != cell.size:
            layout.drop(key)
    # Dropping a cell may free the share that another one on the same worker
    # lacks, so the smallest ones are checked first.
    for cell in reversed(wanted):
        current = layout.cells_by_key.get(cell.key)
        if current is not None and not layout.is_valid(current):
            layout.drop(cell.key)
