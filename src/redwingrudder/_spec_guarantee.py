"""Model of guarantees: production cells, placement and reclaim on two workers.

The fleet and its cells are mutable objects, which cannot serve as states of
the checker. So the model keeps for each state the steps that lead to it, and
rebuilds the objects by replaying these steps.
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
MAX_GANGS_PER_SPEC = 10
SHAPES_BY_ORGANISATION = {"a": (Shape(2, 1),), "b": (Shape(1, 1),)}


class Flaw(enum.StrEnum):
    """A rule of the policies that a broken variant of the model leaves out."""

    NONE = ""
    UNSTOPPABLE_BORROWER = "work that cannot be stopped is placed like a borrower"
    NO_REASSIGNMENT = "cells are not assigned anew after a loss"
    NO_RECLAIM = "borrowers are never stopped"


FLAWS = (
    (Flaw.UNSTOPPABLE_BORROWER, RECLAIMABLE),
    (Flaw.NO_REASSIGNMENT, REPORTED),
    (Flaw.NO_RECLAIM, OBTAINED),
)


class Step(NamedTuple):
    """One step of the model.

    Attributes:
        kind: "place", "end", "lose" or "return".
        name: The job specification to place, the gang that ends, or the
            worker that is lost or returns.
    """

    kind: str
    name: str


class HeldGang(NamedTuple):
    """A gang and the accelerators that it holds on each worker."""

    gang_id: str
    members: tuple[tuple[str, tuple[int, ...]], ...]


class DomainState(NamedTuple):
    """A state of the model.

    The last three fields only serve the invariants.

    Attributes:
        held_gangs: Gangs that hold accelerators.
        workers: Workers that are in the fleet.
        cells: For each cell, its organisation and accelerators by worker.
        unstoppable_gangs: Gangs that occupy a cell of another organisation
            and cannot be stopped.
        unreported_organisations: Organisations that lack accelerators of
            their guaranteed shapes without a reported shortage.
        denied_organisations: Organisations without work whose guaranteed
            shape can neither be placed nor reclaimed.
    """

    held_gangs: tuple[HeldGang, ...]
    workers: tuple[str, ...]
    cells: tuple[tuple[str, tuple[tuple[str, tuple[int, ...]], ...]], ...]
    unstoppable_gangs: tuple[str, ...]
    unreported_organisations: tuple[str, ...]
    denied_organisations: tuple[str, ...]


def _job_spec(organisation: str, accelerators: int, borrower: bool) -> JobSpec:
    return JobSpec(
        organisation,
        *("class", "caller", "key"),
        # One task with 1 core and 1 MB; only a borrower is idempotent and
        # preemptible.
        *(1, accelerators, 1, 1, borrower, borrower),
        # Declared run time and stop bound in seconds, payload.
        *(10.0, 2.0, ""),
    )


# A "firm" job is not preemptible, so it is not a borrower.
SPECS_BY_NAME = {
    "a firm 2": _job_spec("a", 2, borrower=False),
    "a borrower 1": _job_spec("a", 1, borrower=True),
    "b firm 1": _job_spec("b", 1, borrower=False),
    "b borrower 2": _job_spec("b", 2, borrower=True),
}


def build_model(coverage: Coverage, flaw: Flaw = Flaw.NONE) -> Model:
    """Return the model, or the variant without the rule ``flaw``.

    The model runs no charts, so it adds nothing to ``coverage``.
    """
    successors = _Successors(flaw)
    invariants = {
        RECLAIMABLE: lambda state: not state.unstoppable_gangs,
        REPORTED: lambda state: not state.unreported_organisations,
        OBTAINED: lambda state: not state.denied_organisations,
    }
    return Model("guarantees", flaw, successors.initial, successors, invariants)


class _Successors:
    """Returns all steps that may follow a state; called by the checker."""

    def __init__(self, flaw: Flaw) -> None:
        self._flaw = flaw
        self.initial = _Domain(flaw).snapshot()
        self._histories_by_state: dict[DomainState, tuple[Step, ...]] = {
            self.initial: ()
        }

    def __call__(self, state: DomainState) -> Iterator[tuple[str, DomainState]]:
        history = self._histories_by_state[state]
        for step in _steps(state):
            domain = _Domain(self._flaw)
            for earlier in history:
                domain.apply(earlier)
            domain.apply(step)
            after = domain.snapshot()
            self._histories_by_state.setdefault(after, (*history, step))
            yield f"{step.kind} {step.name}", after


def _steps(state: DomainState) -> Iterator[Step]:
    for name in SPECS_BY_NAME:
        yield Step("place", name)
    for gang in state.held_gangs:
        yield Step("end", gang.gang_id)
    for worker in WORKERS:
        if worker.worker_id not in state.workers:
            yield Step("return", worker.worker_id)
        elif len(state.workers) == len(WORKERS):
            yield Step("lose", worker.worker_id)


class _Domain:
    """A failure domain with the production fleet, cells and policies."""

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
        """Apply one step to the fleet and its cells."""
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
            worker = next(worker for worker in WORKERS if worker.worker_id == step.name)
            self._fleet.add_worker(worker, "boot", draining=False)
            self._assign_cells()

    def snapshot(self) -> DomainState:
        """Return the current state as an immutable value."""
        held_gangs = tuple(
            HeldGang(gang_id, _list_members(gang.members_by_worker))
            for gang_id, gang in sorted(self._fleet.gangs_by_id.items())
        )
        cells = tuple(
            (cell.key.organisation, tuple(sorted(cell.accelerators_by_worker.items())))
            for cell in self._cell_table.cells()
        )
        return DomainState(
            held_gangs,
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
        gang_ids = (f"{name} #{number}" for number in range(MAX_GANGS_PER_SPEC))
        gang_id = next(
            gang_id for gang_id in gang_ids if gang_id not in self._fleet.gangs_by_id
        )
        self._fleet.hold(gang_id, spec, placement)

    def _plan_placement(
        self, spec: JobSpec
    ) -> tuple[Placement | None, tuple[str, ...]]:
        requested = spec
        if self._flaw is Flaw.UNSTOPPABLE_BORROWER:
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
        """Find gangs that block a cell of another organisation."""
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
        """Find organisations with neither full shapes nor a shortage."""
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
        """Find idle organisations whose guaranteed shape cannot be placed."""
        reported = {shortage.organisation for shortage in self._cell_table.shortages}
        busy = {gang.spec.organisation for gang in self._fleet.gangs_by_id.values()}
        return tuple(
            name
            for name, shapes in SHAPES_BY_ORGANISATION.items()
            if name not in reported | busy
            and self._plan_placement(_job_spec(name, shapes[0].accelerators, False))[0]
            is None
        )


def _list_members(members_by_worker: dict) -> tuple[tuple[str, tuple[int, ...]], ...]:
    return tuple(
        (worker_id, member.accelerators)
        for worker_id, member in sorted(members_by_worker.items())
    )
