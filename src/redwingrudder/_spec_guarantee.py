"""Model of guarantees: the real cells, placement and reclaim on two workers.

The fleet and its cells are objects with a history, so a state keeps the steps
that lead to it and the objects are built anew from them.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from ._placement import BestFitPlacement, CellReclaim
from ._spec_common import Coverage, Model
from ._worker_capacity import is_borrower
from .fleet import Fleet
from .guarantees import CellTable, plan_cells
from .model import Configuration, JobSpec, Organisation, Placement, Shape, WorkerInfo

RECLAIMABLE = "I1: a cell holds free accelerators, own work and borrowers only"
REPORTED = "I1: every guaranteed shape is a cell or a reported shortage"
OBTAINED = "I1: an organisation without work gets its shape by stopping borrowers"

DOMAIN = "d0"
WORKERS = tuple(
    WorkerInfo(f"w{number}", "", DOMAIN, "r0", 2, 4, 8, 8) for number in (0, 1)
)
SHAPES_BY_ORGANISATION = {"a": (Shape(2, 1),), "b": (Shape(1, 1),)}


class Flaw(enum.StrEnum):
    """A rule that a broken variant leaves out."""

    NONE = ""
    FOREIGN_FIRM = "work that cannot be stopped is placed like a borrower"
    NO_REASSIGNMENT = "cells are not assigned anew after a loss"
    NO_RECLAIM = "borrowers are never stopped"


FLAWS = (
    (Flaw.FOREIGN_FIRM, RECLAIMABLE),
    (Flaw.NO_REASSIGNMENT, REPORTED),
    (Flaw.NO_RECLAIM, OBTAINED),
)


class Step(NamedTuple):
    """One step of a history: a job placed, a gang ended, a worker lost."""

    kind: str
    name: str


class HeldGang(NamedTuple):
    """A gang that holds accelerators."""

    gang_id: str
    members: tuple[tuple[str, tuple[int, ...]], ...]


class DomainState(NamedTuple):
    """The fleet and its cells; ``faults`` and ``denied`` only judge."""

    held: tuple[HeldGang, ...]
    workers: tuple[str, ...]
    cells: tuple[tuple[str, tuple[tuple[str, tuple[int, ...]], ...]], ...]
    unstoppable_gangs: tuple[str, ...]
    unreported_organisations: tuple[str, ...]
    denied_organisations: tuple[str, ...]


def _spec(organisation: str, accelerators: int, borrower: bool) -> JobSpec:
    return JobSpec(
        organisation,
        *("class", "caller", "key"),
        *(1, accelerators, 1, 1, borrower, borrower),
        *(10.0, 2.0, ""),
    )


SPECS_BY_NAME = {
    "a firm 2": _spec("a", 2, borrower=False),
    "a borrower 1": _spec("a", 1, borrower=True),
    "b firm 1": _spec("b", 1, borrower=False),
    "b borrower 2": _spec("b", 2, borrower=True),
}


def build_model(coverage: Coverage, flaw: Flaw = Flaw.NONE) -> Model:
    """Return the model, or a broken variant; it uses no charts."""
    successors = _Successors(flaw)
    invariants = {
        RECLAIMABLE: lambda occupation: not occupation.unstoppable_gangs,
        REPORTED: lambda occupation: not occupation.unreported_organisations,
        OBTAINED: lambda occupation: not occupation.denied_organisations,
    }
    return Model("guarantees", flaw, successors.initial, successors, invariants)


class _Successors:
    """All steps that may follow a state."""

    def __init__(self, flaw: Flaw) -> None:
        self._flaw = flaw
        self.initial = _Domain(flaw).occupation()
        self._histories_by_state: dict[DomainState, tuple[Step, ...]] = {
            self.initial: ()
        }

    def __call__(self, occupation: DomainState) -> Iterator[tuple[str, DomainState]]:
        history = self._histories_by_state[occupation]
        for step in _steps(occupation):
            domain = _Domain(self._flaw)
            for earlier in history:
                domain.apply(earlier)
            domain.apply(step)
            after = domain.occupation()
            self._histories_by_state.setdefault(after, (*history, step))
            yield f"{step.kind} {step.name}", after


def _steps(occupation: DomainState) -> Iterator[Step]:
    for name in SPECS_BY_NAME:
        yield Step("place", name)
    for held in occupation.held:
        yield Step("end", held.gang_id)
    for worker in WORKERS:
        if worker.worker_id not in occupation.workers:
            yield Step("return", worker.worker_id)
        elif len(occupation.workers) == len(WORKERS):
            yield Step("lose", worker.worker_id)


class _Domain:
    """The real fleet, cells and policies of one failure domain."""

    def __init__(self, flaw: Flaw) -> None:
        self._flaw = flaw
        self._fleet = Fleet()
        self._cell_table = CellTable()
        organisations = {
            name: Organisation(name, shapes)
            for name, shapes in SHAPES_BY_ORGANISATION.items()
        }
        configuration = Configuration(1, organisations, {}, ())
        cells = plan_cells(configuration, WORKERS)
        self._configuration = configuration._replace(cells=tuple(cells))
        for worker in WORKERS:
            self._fleet.add_worker(worker, "boot", draining=False)
        self._assign_cells()

    def apply(self, step: Step) -> None:
        """Carry out one step."""
        if step.kind == "place":
            self._place(step.name)
        elif step.kind == "end":
            self._release_gang(step.name)
        elif step.kind == "lose":
            for gang_id in self._fleet.remove_worker(step.name):
                self._release_gang(gang_id)
            if self._flaw is not Flaw.NO_REASSIGNMENT:
                self._assign_cells()
        else:
            worker = next(w for w in WORKERS if w.worker_id == step.name)
            self._fleet.add_worker(worker, "boot", draining=False)
            self._assign_cells()

    def occupation(self) -> DomainState:
        """Return the state as a value."""
        held = tuple(
            HeldGang(gang_id, _list_members(gang.members_by_worker))
            for gang_id, gang in sorted(self._fleet.gangs_by_id.items())
        )
        cells = tuple(
            (cell.key.organisation, tuple(sorted(cell.accelerators_by_worker.items())))
            for cell in self._cell_table.cells()
        )
        return DomainState(
            held,
            tuple(sorted(self._fleet.workers_by_id)),
            cells,
            self._find_unstoppable_gangs(),
            self._find_unreported_organisations(),
            self._find_denied_organisations(),
        )

    def _place(self, name: str) -> None:
        spec = SPECS_BY_NAME[name]
        placement, gangs_to_stop = self._plan_placement(spec)
        if placement is None:
            return
        for gang_id in gangs_to_stop:
            self._release_gang(gang_id)
        numbers = (f"{name} #{number}" for number in range(10))
        gang_id = next(n for n in numbers if n not in self._fleet.gangs_by_id)
        self._fleet.hold(gang_id, spec, placement)

    def _plan_placement(
        self, spec: JobSpec
    ) -> tuple[Placement | None, tuple[str, ...]]:
        requested = spec
        if self._flaw is Flaw.FOREIGN_FIRM:
            requested = spec._replace(idempotent=True, preemptible=True)
        placement = BestFitPlacement().place(requested, self._fleet, self._cell_table)
        if placement is not None or self._flaw is Flaw.NO_RECLAIM:
            return placement, ()
        plan = CellReclaim().reclaim(spec, self._fleet, self._cell_table)
        return (plan.placement, plan.gangs_to_stop) if plan else (None, ())

    def _release_gang(self, gang_id: str) -> None:
        gang = self._fleet.gangs_by_id.get(gang_id)
        for worker_id in list(gang.members_by_worker) if gang else ():
            self._fleet.release_member(gang_id, worker_id)

    def _assign_cells(self) -> None:
        self._cell_table.assign(self._configuration, DOMAIN, self._fleet, 0.0)

    def _find_unstoppable_gangs(self) -> tuple[str, ...]:
        """Find cells with foreign holders that cannot be stopped."""
        organisations_by_accelerator = {
            (worker_id, index): cell.key.organisation
            for cell in self._cell_table.cells()
            for worker_id, indexes in cell.accelerators_by_worker.items()
            for index in indexes
        }
        return tuple(
            gang_id
            for gang_id, gang in sorted(self._fleet.gangs_by_id.items())
            if not is_borrower(gang.spec)
            and any(
                organisations_by_accelerator.get(
                    (worker_id, index), gang.spec.organisation
                )
                != gang.spec.organisation
                for worker_id, member in gang.members_by_worker.items()
                for index in member.accelerators
            )
        )

    def _find_unreported_organisations(self) -> tuple[str, ...]:
        """Find organisations without their whole shapes or a shortage."""
        reported = {shortage.organisation for shortage in self._cell_table.shortages}
        return tuple(
            name
            for name, shapes in SHAPES_BY_ORGANISATION.items()
            if name not in reported
            and self._count_available_accelerators(name)
            != sum(shape.accelerators * shape.copies for shape in shapes)
        )

    def _count_available_accelerators(self, organisation: str) -> int:
        return sum(
            len(indexes)
            for cell in self._cell_table.cells_of(organisation)
            for worker_id, indexes in cell.accelerators_by_worker.items()
            if worker_id in self._fleet.workers_by_id
        )

    def _find_denied_organisations(self) -> tuple[str, ...]:
        """Find organisations whose shape cannot be placed for them now."""
        reported = {shortage.organisation for shortage in self._cell_table.shortages}
        busy = {gang.spec.organisation for gang in self._fleet.gangs_by_id.values()}
        return tuple(
            name
            for name, shapes in SHAPES_BY_ORGANISATION.items()
            if name not in reported | busy
            and self._plan_placement(_spec(name, shapes[0].accelerators, False))[0]
            is None
        )


def _list_members(members_by_worker: dict) -> tuple[tuple[str, tuple[int, ...]], ...]:
    return tuple(
        (worker_id, member.accelerators)
        for worker_id, member in sorted(members_by_worker.items())
    )
