"""Tests of the assignment, reclaim and planning of guaranteed cells.

Cells have to stay disjoint, adjacent and reclaimable, and plans have to be
deterministic.
"""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from redwingrudder._placement import CellReclaim
from redwingrudder.exceptions import UnprocessableError
from redwingrudder.guarantees import plan_cells
from redwingrudder.model import MemberPlacement, Shape

from ._fleet_steps import (
    HYPOTHESIS_SETTINGS,
    SHAPES,
    STEPS,
    SimulatedDomain,
    make_configuration,
    make_spec,
    make_workers,
    random_spec,
)

GUARANTEES = {
    "a": (Shape(12, 1), Shape(4, 1)),
    "b": (Shape(3, 2), Shape(1, 2)),
    "c": (Shape(2, 2),),
}


def organisations_on(domain, cell):
    """Return the organisations that hold accelerators of a cell.

    The result contains None if an accelerator is free.
    """
    fleet = domain.fleet
    gangs = {
        fleet.workers_by_id[worker_id].gangs_by_accelerator[index]
        for worker_id, indexes in cell.accelerators_by_worker.items()
        for index in indexes
    }
    return {g and fleet.gangs_by_id[g].spec.organisation for g in gangs}


def fill_with_borrowers(domain, rng):
    """Fill the domain with work of an organisation without guarantees.

    The random jobs include CPU-only work that cannot be stopped.
    """
    for _ in range(60):
        domain.place(random_spec(rng)._replace(organisation="z"))
    for per_task in (1, 0):
        spec = make_spec("z", 1, per_task, borrower=True, cores=0, memory_mb=0)
        while domain.place(spec):
            pass


class InvariantTest(unittest.TestCase):
    @HYPOTHESIS_SETTINGS
    @given(STEPS)
    def test_cells_stay_reclaimable_through_all_changes(self, steps):
        """A gang that cannot be stopped must never occupy a foreign cell."""
        domain = SimulatedDomain(GUARANTEES)
        self.assertEqual(domain.cell_table.shortages, ())
        for name, seed in steps:
            domain.apply_step(name, seed)
            self.assertEqual(domain.cell_table.violations(domain.fleet), ())

    @HYPOTHESIS_SETTINGS
    @given(STEPS)
    def test_valid_cells_stay_where_they_are(self, steps):
        """Cells must not move when neither fleet nor configuration changed."""
        domain = SimulatedDomain(GUARANTEES)
        for name, seed in steps:
            domain.apply_step(name, seed)
        domain.assign()
        before = domain.cell_table.cells()
        shortages = domain.cell_table.shortages
        domain.assign()
        self.assertEqual(domain.cell_table.cells(), before)
        self.assertEqual(domain.cell_table.shortages, shortages)

    @HYPOTHESIS_SETTINGS
    @given(st.integers(0, 2**32))
    def test_every_guarantee_is_reclaimed_from_borrowers(self, seed):
        """Invariant I1: all owners can use all of their cells at once.

        Each job uses the full share of cores and memory of its cell, after
        borrowers had filled the domain.
        """
        rng = random.Random(seed)
        domain = SimulatedDomain(GUARANTEES)
        fill_with_borrowers(domain, rng)
        cells = list(domain.cell_table.cells())
        rng.shuffle(cells)
        for cell in cells:
            spec = make_spec(cell.key.organisation, cell.size, cores=4, memory_mb=10)
            plan = CellReclaim().reclaim(spec, domain.fleet, domain.cell_table)
            self.assertIsNotNone(plan, cell)
            for gang_id in plan.gangs_to_stop:
                stopped = domain.fleet.gangs_by_id[gang_id].spec
                self.assertEqual(stopped.organisation, "z")
                self.assertTrue(stopped.preemptible and stopped.idempotent)
                domain.release(gang_id)
            domain.hold(spec, plan.placement)
            self.assertEqual(domain.cell_table.violations(domain.fleet), ())
        self.assertTrue(
            all(organisations_on(domain, c) == {c.key.organisation} for c in cells)
        )

    @HYPOTHESIS_SETTINGS
    @given(STEPS, st.integers(0, 2**32))
    def test_one_guarantee_is_reclaimed_in_any_state(self, steps, seed):
        """Invariant I1, after any changes, for cells unused by the owner."""
        domain = SimulatedDomain(GUARANTEES)
        for name, step_seed in steps:
            domain.apply_step(name, step_seed)
        fill_with_borrowers(domain, random.Random(seed))
        cells = domain.cell_table.cells()
        for cell in cells:
            owner = cell.key.organisation
            if owner in organisations_on(
                domain, cell
            ) or self._owner_has_gang_on_workers(domain, cell):
                continue
            spec = make_spec(owner, cell.size, cores=4, memory_mb=10)
            plan = CellReclaim().reclaim(spec, domain.fleet, domain.cell_table)
            self.assertIsNotNone(plan, cell)
            owners = {
                domain.fleet.gangs_by_id[g].spec.organisation
                for g in plan.gangs_to_stop
            }
            self.assertNotIn(owner, owners)

    def _owner_has_gang_on_workers(self, domain, cell):
        """Return whether the owner has a gang on the workers of the cell.

        Such a gang may use part of the owner's share, so a reclaim of the
        whole cell may rightly fail.
        """
        fleet = domain.fleet
        return any(
            fleet.gangs_by_id[gang_id].spec.organisation == cell.key.organisation
            for worker_id in cell.accelerators_by_worker
            for gang_id in fleet.gang_ids_by_worker[worker_id]
        )


class CellTest(unittest.TestCase):
    def test_shortage_lasts_until_hardware_returns(self):
        """A shortage keeps its start time and ends once workers are back."""
        domain = SimulatedDomain({"a": (Shape(4, 8),)})
        domain.fleet.remove_worker("d0w0")
        domain.assign()
        first = domain.cell_table.shortages
        domain.fleet.set_draining("d0w1")
        domain.assign()
        self.assertEqual([s.missing_accelerators for s in first], [4])
        self.assertEqual(len(domain.cell_table.shortages), 2)
        self.assertIn(first[0], domain.cell_table.shortages)
        for info in domain.workers[:2]:
            domain.fleet.add_worker(info, "boot2", draining=False)
        domain.assign()
        self.assertEqual(domain.cell_table.shortages, ())

    def test_small_cells_move_if_a_large_one_does_not_fit(self):
        """Old small cells must not cause a shortage of a large shape.

        It arises if cells are kept where they were assigned, although a new
        layout would hold all copies.
        """
        small = {name: (Shape(2, 1),) for name in "abcd"}
        domain = SimulatedDomain(small, make_workers(4))
        large = {"a": small["a"], "c": small["c"], "e": (Shape(4, 3),)}
        domain.configuration = make_configuration(large, domain.workers)
        domain.assign()
        self.assertEqual(domain.cell_table.shortages, ())
        self.assertEqual(domain.cell_table.violations(domain.fleet), ())

    def test_oversized_job_avoids_foreign_cells(self):
        """A job larger than its guarantee must not occupy a foreign cell."""
        domain = SimulatedDomain({"a": (Shape(16, 1),), "b": (Shape(16, 1),)})
        spec = make_spec("a", 20)
        self.assertIsNone(domain.place(spec))
        self.assertIsNotNone(
            domain.place(spec._replace(idempotent=True, preemptible=True))
        )

    def test_only_idempotent_jobs_that_stop_in_time_borrow(self):
        """Only idempotent, preemptible jobs that stop within 2 s may borrow.

        Others would delay a reclaim or could not be run again.
        """
        domain = SimulatedDomain({"a": (Shape(4, 8),)})
        spec = make_spec("z", borrower=True)
        for changes, usable in (
            ({"stop_bound_s": 2.0}, 4),
            ({"stop_bound_s": 2.1}, 0),
            ({"idempotent": False}, 0),
            ({"preemptible": False}, 0),
        ):
            with self.subTest(changes):
                found = domain.cell_table.usable_accelerators(
                    spec._replace(**changes), "d0w0"
                )
                self.assertEqual(len(found), usable)

    def test_spread_cell_moves_into_a_rack_that_came_back(self):
        """A cell spread over racks by a loss must become adjacent again."""
        domain = SimulatedDomain({"a": (Shape(12, 1),)})
        for worker_id in ("d0w0", "d0w1", "d0w4", "d0w5"):
            domain.fleet.remove_worker(worker_id)
        domain.assign()
        self.assertEqual(len(domain.cell_table.cells()[0].accelerators_by_worker), 3)
        domain.fleet.add_worker(domain.workers[0], "boot2", draining=False)
        domain.assign()
        self.assertEqual(domain.cell_table.violations(domain.fleet), ())

    def test_worker_that_returns_larger_keeps_its_cell(self):
        """Foreign work must not use the cell after the worker has grown."""
        domain = SimulatedDomain({"a": (Shape(2, 1),)}, make_workers(1, accelerators=2))
        enlarged = domain.workers[0]._replace(accelerators=4)
        domain.fleet.add_worker(enlarged, "boot2", draining=False)
        domain.assign()
        found = domain.cell_table.usable_accelerators(make_spec("z"), "d0w0")
        self.assertEqual(found, (2, 3))

    def test_work_outside_cells_does_not_reduce_the_guarantee(self):
        """A moved cell must not include accelerators the owner already holds.

        Otherwise jobs of the owner outside its cells would use up its
        guarantee.
        """
        domain = SimulatedDomain({"a": (Shape(2, 1),)}, make_workers(2))
        (worker_id,) = domain.cell_table.cells()[0].accelerators_by_worker
        other = {"d0w0": "d0w1", "d0w1": "d0w0"}[worker_id]
        member = MemberPlacement(other, (0, 1), (0, 1))
        domain.fleet.hold_member("g", make_spec("a", 2), member)
        domain.fleet.remove_worker(worker_id)
        domain.assign()
        self.assertEqual(
            domain.cell_table.cells()[0].accelerators_by_worker, {other: (2, 3)}
        )

    def test_reclaim_stops_no_gang_of_the_owner(self):
        """A reclaim must not stop preemptible work of the owner itself."""
        domain = SimulatedDomain({"a": (Shape(4, 1),)}, make_workers(1))
        domain.place(make_spec("a", 3, borrower=True))
        reclaim = CellReclaim().reclaim
        self.assertIsNone(reclaim(make_spec("a", 4), domain.fleet, domain.cell_table))
        plan = reclaim(make_spec("a", 1), domain.fleet, domain.cell_table)
        self.assertEqual(plan.gangs_to_stop, ())
        domain.place(make_spec("a", 1, 0, borrower=True))
        self.assertIsNone(reclaim(make_spec("a", 1), domain.fleet, domain.cell_table))

    def test_reclaim_stops_only_borrowers_for_slots(self):
        """CPU-only gangs that cannot be stopped must survive a reclaim.

        This holds although the gang is younger than the borrower. The
        planned placement is allowed for the owner only, and only while the
        worker accepts work.
        """
        domain = SimulatedDomain({"a": (Shape(4, 1),)}, make_workers(1, slots=8))
        cpu_only = make_spec("z", 4, 0, borrower=True, cores=0, memory_mb=0)
        borrower = domain.place(cpu_only)
        self.assertIsNotNone(domain.place(cpu_only._replace(preemptible=False)))
        spec = make_spec("a", 4)
        plan = CellReclaim().reclaim(spec, domain.fleet, domain.cell_table)
        self.assertEqual(plan.gangs_to_stop, (borrower,))
        member = plan.placement.members[0]
        self.assertTrue(domain.cell_table.allows_member(spec, member))
        foreign = spec._replace(organisation="z")
        self.assertFalse(domain.cell_table.allows_member(foreign, member))
        cpu_only = MemberPlacement("d0w0", (), (0,))
        self.assertFalse(
            domain.cell_table.allows_member(make_spec("z", 1, 0), cpu_only)
        )
        domain.fleet.set_draining("d0w0")
        self.assertFalse(domain.cell_table.allows_member(spec, member))
        avoid = frozenset({"d0w0"})
        self.assertIsNone(
            CellReclaim().reclaim(spec, domain.fleet, domain.cell_table, avoid)
        )

    def test_violations_names_a_gang_that_cannot_be_stopped(self):
        """The check must detect a gang that blocks a cell.

        Otherwise the tests that expect no violations could not fail on it.
        """
        domain = SimulatedDomain({"a": (Shape(4, 1),)})
        (worker_id,) = domain.cell_table.cells()[0].accelerators_by_worker
        member = MemberPlacement(worker_id, (0,), (0,))
        domain.fleet.hold_member("g", make_spec("z"), member)
        self.assertIn("held by g of z", domain.cell_table.violations(domain.fleet)[0])

    def test_reclaim_stops_the_fewest_and_youngest(self):
        """A reclaim must not discard more finished work than needed."""
        domain = SimulatedDomain({"a": (Shape(4, 8),)})
        old = make_spec("z", 2, borrower=True)
        for _ in range(15):
            domain.place(old)
        young = [domain.place(make_spec("z", 1, borrower=True)) for _ in range(2)]
        plan = CellReclaim().reclaim(make_spec("a", 1), domain.fleet, domain.cell_table)
        self.assertEqual(plan.gangs_to_stop, (young[1],))
        plan = CellReclaim().reclaim(make_spec("a", 2), domain.fleet, domain.cell_table)
        self.assertEqual(plan.gangs_to_stop, ("g00015",))


def plan_or_error_text(guarantees, workers):
    """Return the planned cells, or the text of the error."""
    try:
        return make_configuration(guarantees, workers).cells
    except UnprocessableError as error:
        return str(error)


class PlanTest(unittest.TestCase):
    WORKERS = tuple(w for d in ("d0", "d1", "d2") for w in make_workers(domain=d))

    @HYPOTHESIS_SETTINGS
    @given(st.integers(0, 2**32))
    def test_plan_is_independent_of_order_and_stable(self, seed):
        """The plan must not depend on input order or move existing cells.

        Otherwise nodes would compute different plans, and a new guarantee
        would move cells that could stay.
        """
        rng = random.Random(seed)
        guarantees = {name: rng.sample(SHAPES, 2) for name in "abcde"}
        first = plan_or_error_text(guarantees, self.WORKERS)
        shuffled = list(guarantees.items())
        rng.shuffle(shuffled)
        workers = rng.sample(self.WORKERS, len(self.WORKERS))
        self.assertEqual(plan_or_error_text(dict(shuffled), workers), first)
        if isinstance(first, str):
            return
        extended = make_configuration(guarantees | {"f": SHAPES[:1]}, workers, first)
        self.assertLessEqual(set(first), set(extended.cells))

    def test_copies_are_spread_over_domains(self):
        """The loss of one domain must not remove all copies of a shape."""
        cells = make_configuration({"a": (Shape(4, 3),)}, self.WORKERS).cells
        self.assertEqual({c.failure_domain for c in cells}, {"d0", "d1", "d2"})

    def test_exact_fit_is_found_by_packing(self):
        """Guarantees that fit only if packed tightly must be accepted."""
        sizes = (20, 20, 12, 12, 8, 8, 8)
        guarantees = {f"o{i}": (Shape(size, 1),) for i, size in enumerate(sizes)}
        self.assertEqual(len(make_configuration(guarantees, self.WORKERS).cells), 7)

    def test_refusal_names_organisations_and_shortages(self):
        """The error must tell an operator which guarantees to reduce."""
        guarantees = {
            "big": (Shape(40, 1),),
            "many": (Shape(4, 25),),
            "ok": (Shape(8, 1),),
        }
        with self.assertRaises(UnprocessableError) as caught:
            make_configuration(guarantees, self.WORKERS)
        self.assertEqual(caught.exception.code, "guarantees_do_not_fit")
        self.assertIn("big: 1 of 1 copies of shape 0 (40 adj", str(caught.exception))
        self.assertIn("lacks 8", str(caught.exception))
        self.assertIn("many: 3 of 25 copies of shape 0", str(caught.exception))
        self.assertNotIn("ok:", str(caught.exception))

    def test_no_workers_refuse_every_guarantee(self):
        """Planning without workers must raise the documented error."""
        with self.assertRaises(UnprocessableError):
            plan_cells(make_configuration({"a": (Shape(1, 1),)}, self.WORKERS), ())
