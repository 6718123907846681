"""Cells stay disjoint, adjacent and reclaimable; plans are deterministic."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from redwingrudder._placement import CellReclaim
from redwingrudder.exceptions import UnprocessableError
from redwingrudder.guarantees import plan_cells
from redwingrudder.model import MemberPlacement, Shape

from ._fleet_steps import (
    GENERATED,
    SHAPES,
    STEPS,
    Domain,
    configure,
    make_spec,
    make_workers,
    random_spec,
)

FULL = {
    "a": (Shape(12, 1), Shape(4, 1)),
    "b": (Shape(3, 2), Shape(1, 2)),
    "c": (Shape(2, 2),),
}


def held_by(domain, cell):
    """Return the organisations that hold accelerators of a cell."""
    fleet = domain.fleet
    gangs = {
        fleet.workers_by_id[worker_id].gangs_by_accelerator[index]
        for worker_id, indexes in cell.accelerators_by_worker.items()
        for index in indexes
    }
    return {g and fleet.gangs_by_id[g].spec.organisation for g in gangs}


def fill_with_borrowers(domain, rng):
    """Place until nothing fits, also CPU-only work that cannot be stopped."""
    for _ in range(60):
        domain.place(random_spec(rng)._replace(organisation="z"))
    for per_task in (1, 0):
        spec = make_spec("z", 1, per_task, borrower=True, cores=0, memory_mb=0)
        while domain.place(spec):
            pass


class InvariantTest(unittest.TestCase):
    @GENERATED
    @given(STEPS)
    def test_cells_stay_reclaimable_through_all_changes(self, steps):
        """Guards against work that is placed where it blocks a cell."""
        domain = Domain(FULL)
        self.assertEqual(domain.cell_table.shortages, ())
        for name, seed in steps:
            domain.step(name, seed)
            self.assertEqual(domain.cell_table.violations(domain.fleet), ())

    @GENERATED
    @given(STEPS)
    def test_valid_cells_stay_where_they_are(self, steps):
        """Guards against cells that move without a cause."""
        domain = Domain(FULL)
        for name, seed in steps:
            domain.step(name, seed)
        domain.assign()
        before = domain.cell_table.cells()
        since = domain.cell_table.shortages
        domain.assign()
        self.assertEqual(domain.cell_table.cells(), before)
        self.assertEqual(domain.cell_table.shortages, since)

    @GENERATED
    @given(st.integers(0, 2**32))
    def test_every_guarantee_is_reclaimed_from_borrowers(self, seed):
        """Guards I1: all owners get all shapes, with a full share each."""
        rng = random.Random(seed)
        domain = Domain(FULL)
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
        self.assertTrue(all(held_by(domain, c) == {c.key.organisation} for c in cells))

    @GENERATED
    @given(STEPS, st.integers(0, 2**32))
    def test_one_guarantee_is_reclaimed_in_any_state(self, steps, seed):
        """Guards I1 for each cell whose owner does not use it yet."""
        domain = Domain(FULL)
        for name, step_seed in steps:
            domain.step(name, step_seed)
        fill_with_borrowers(domain, random.Random(seed))
        cells = domain.cell_table.cells()
        for cell in cells:
            owner = cell.key.organisation
            if owner in held_by(domain, cell) or self._uses_share(domain, cell):
                continue
            spec = make_spec(owner, cell.size, cores=4, memory_mb=10)
            plan = CellReclaim().reclaim(spec, domain.fleet, domain.cell_table)
            self.assertIsNotNone(plan, cell)
            owners = {
                domain.fleet.gangs_by_id[g].spec.organisation
                for g in plan.gangs_to_stop
            }
            self.assertNotIn(owner, owners)

    def _uses_share(self, domain, cell):
        """Whether the owner has any gang on the workers of the cell."""
        fleet = domain.fleet
        return any(
            fleet.gangs_by_id[gang_id].spec.organisation == cell.key.organisation
            for worker_id in cell.accelerators_by_worker
            for gang_id in fleet.gang_ids_by_worker[worker_id]
        )


class CellTest(unittest.TestCase):
    def test_shortage_lasts_until_hardware_returns(self):
        """Guards against a lost start time and against an unassigned copy."""
        domain = Domain({"a": (Shape(4, 8),)})
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

    def test_small_cells_make_way_when_a_large_one_fits_nowhere(self):
        """Guards against a shortage that only the order of changes causes."""
        small = {name: (Shape(2, 1),) for name in "abcd"}
        domain = Domain(small, make_workers(4))
        large = {"a": small["a"], "c": small["c"], "e": (Shape(4, 3),)}
        domain.configuration = configure(large, domain.workers)
        domain.assign()
        self.assertEqual(domain.cell_table.shortages, ())
        self.assertEqual(domain.cell_table.violations(domain.fleet), ())

    def test_oversized_job_keeps_off_other_cells(self):
        """Guards against an owner that spills over into another cell."""
        domain = Domain({"a": (Shape(16, 1),), "b": (Shape(16, 1),)})
        spec = make_spec("a", 20)
        self.assertIsNone(domain.place(spec))
        self.assertIsNotNone(
            domain.place(spec._replace(idempotent=True, preemptible=True))
        )

    def test_only_work_that_stops_in_time_without_harm_borrows(self):
        """Guards the reclaim time of 2 s, and work that may not run twice."""
        domain = Domain({"a": (Shape(4, 8),)})
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
        """Guards adjacency after a loss has spread a cell over racks."""
        domain = Domain({"a": (Shape(12, 1),)})
        for worker_id in ("d0w0", "d0w1", "d0w4", "d0w5"):
            domain.fleet.remove_worker(worker_id)
        domain.assign()
        self.assertEqual(len(domain.cell_table.cells()[0].accelerators_by_worker), 3)
        domain.fleet.add_worker(domain.workers[0], "boot2", draining=False)
        domain.assign()
        self.assertEqual(domain.cell_table.violations(domain.fleet), ())

    def test_worker_that_returns_larger_keeps_its_cell(self):
        """Guards against a cell whose owner is forgotten."""
        domain = Domain({"a": (Shape(2, 1),)}, make_workers(1, accelerators=2))
        grown = domain.workers[0]._replace(accelerators=4)
        domain.fleet.add_worker(grown, "boot2", draining=False)
        domain.assign()
        found = domain.cell_table.usable_accelerators(make_spec("z"), "d0w0")
        self.assertEqual(found, (2, 3))

    def test_work_outside_cells_does_not_reduce_the_claim(self):
        """Guards against a moved cell that counts such work as its use."""
        domain = Domain({"a": (Shape(2, 1),)}, make_workers(2))
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
        """Guards an owner's own preemptible work in its cell."""
        domain = Domain({"a": (Shape(4, 1),)}, make_workers(1))
        domain.place(make_spec("a", 3, borrower=True))
        reclaim = CellReclaim().reclaim
        self.assertIsNone(reclaim(make_spec("a", 4), domain.fleet, domain.cell_table))
        plan = reclaim(make_spec("a", 1), domain.fleet, domain.cell_table)
        self.assertEqual(plan.gangs_to_stop, ())
        domain.place(make_spec("a", 1, 0, borrower=True))
        self.assertIsNone(reclaim(make_spec("a", 1), domain.fleet, domain.cell_table))

    def test_reclaim_stops_only_borrowers_for_slots(self):
        """Guards CPU-only work that cannot be stopped, even if younger."""
        domain = Domain({"a": (Shape(4, 1),)}, make_workers(1, slots=8))
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
        """Guards the check itself against being blind."""
        domain = Domain({"a": (Shape(4, 1),)})
        (worker_id,) = domain.cell_table.cells()[0].accelerators_by_worker
        member = MemberPlacement(worker_id, (0,), (0,))
        domain.fleet.hold_member("g", make_spec("z"), member)
        self.assertIn("held by g of z", domain.cell_table.violations(domain.fleet)[0])

    def test_reclaim_stops_the_fewest_and_youngest(self):
        """Guards against a plan that costs more work than needed."""
        domain = Domain({"a": (Shape(4, 8),)})
        old = make_spec("z", 2, borrower=True)
        for _ in range(15):
            domain.place(old)
        young = [domain.place(make_spec("z", 1, borrower=True)) for _ in range(2)]
        plan = CellReclaim().reclaim(make_spec("a", 1), domain.fleet, domain.cell_table)
        self.assertEqual(plan.gangs_to_stop, (young[1],))
        plan = CellReclaim().reclaim(make_spec("a", 2), domain.fleet, domain.cell_table)
        self.assertEqual(plan.gangs_to_stop, ("g00015",))


def plan_or_refusal(guarantees, workers):
    """Return the planned cells, or the text of the refusal."""
    try:
        return configure(guarantees, workers).cells
    except UnprocessableError as error:
        return str(error)


class PlanTest(unittest.TestCase):
    WORKERS = tuple(w for d in ("d0", "d1", "d2") for w in make_workers(domain=d))

    @GENERATED
    @given(st.integers(0, 2**32))
    def test_plan_is_independent_of_order_and_stable(self, seed):
        """Guards against owners that disagree, and against needless moves."""
        rng = random.Random(seed)
        guarantees = {name: rng.sample(SHAPES, 2) for name in "abcde"}
        first = plan_or_refusal(guarantees, self.WORKERS)
        shuffled = list(guarantees.items())
        rng.shuffle(shuffled)
        workers = rng.sample(self.WORKERS, len(self.WORKERS))
        self.assertEqual(plan_or_refusal(dict(shuffled), workers), first)
        if isinstance(first, str):
            return
        more = configure(guarantees | {"f": SHAPES[:1]}, workers, first)
        self.assertLessEqual(set(first), set(more.cells))

    def test_copies_are_spread_over_domains(self):
        """Guards against one lost domain that takes all copies."""
        cells = configure({"a": (Shape(4, 3),)}, self.WORKERS).cells
        self.assertEqual({c.failure_domain for c in cells}, {"d0", "d1", "d2"})

    def test_exact_fit_is_found_by_packing(self):
        """Guards against a refusal that only the spreading causes."""
        sizes = (20, 20, 12, 12, 8, 8, 8)
        guarantees = {f"o{i}": (Shape(size, 1),) for i, size in enumerate(sizes)}
        self.assertEqual(len(configure(guarantees, self.WORKERS).cells), 7)

    def test_refusal_names_organisations_and_shortages(self):
        """Guards what an operator needs to mend the document."""
        guarantees = {
            "big": (Shape(40, 1),),
            "many": (Shape(4, 25),),
            "ok": (Shape(8, 1),),
        }
        with self.assertRaises(UnprocessableError) as caught:
            configure(guarantees, self.WORKERS)
        self.assertEqual(caught.exception.code, "guarantees_do_not_fit")
        self.assertIn("big: 1 of 1 copies of shape 0 (40 adj", str(caught.exception))
        self.assertIn("lacks 8", str(caught.exception))
        self.assertIn("many: 3 of 25 copies of shape 0", str(caught.exception))
        self.assertNotIn("ok:", str(caught.exception))

    def test_no_workers_refuse_every_guarantee(self):
        """Guards against an error other than the refusal."""
        with self.assertRaises(UnprocessableError):
            plan_cells(configure({"a": (Shape(1, 1),)}, self.WORKERS), ())
