"""Tests that placements of gangs are complete, adjacent and compact.

Placements must also respect the cells guaranteed to other organisations.
"""

import random
import unittest
from collections import Counter
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from redwingrudder import _cells
from redwingrudder._first_fit import FirstFitPlacement
from redwingrudder._placement import BestFitPlacement
from redwingrudder._placement_cost import measure_placement
from redwingrudder.model import Shape

from ._fleet_steps import (
    HYPOTHESIS_SETTINGS,
    STEPS,
    SimulatedDomain,
    make_spec,
    make_workers,
    random_spec,
)


def racks_of(domain, placement):
    workers = domain.fleet.workers_by_id
    return {workers[m.worker_id].info.rack for m in placement.members}


class AnyPolicyTest(unittest.TestCase):
    @HYPOTHESIS_SETTINGS
    @given(STEPS, st.integers(0, 2**32), st.sampled_from((0, 1)))
    def test_placement_is_whole_adjacent_and_keeps_guarantees(
        self, steps, seed, policy_index
    ):
        """Invariants I1 and I2 for best-fit and first-fit placement."""
        policy = (BestFitPlacement, FirstFitPlacement)[policy_index]()
        guarantees = {"a": (Shape(4, 1), Shape(8, 1)), "b": (Shape(3, 1),)}
        domain = SimulatedDomain(guarantees, policy=policy)
        for name, step_seed in steps:
            domain.apply_step(name, step_seed)
        rng = random.Random(seed)
        for _ in range(12):
            spec = random_spec(rng)
            placement = policy.place(spec, domain.fleet, domain.cell_table)
            if placement is not None:
                self._assert_valid(domain, spec, placement)
                domain.hold(spec, placement)
                self.assertEqual(domain.cell_table.violations(domain.fleet), ())

    def _assert_valid(self, domain, spec, placement):
        tasks = [task for member in placement.members for task in member.tasks]
        self.assertEqual(tasks, list(range(spec.tasks)))
        for worker_id, accelerators, member_tasks in placement.members:
            needed = len(member_tasks) * spec.accelerators_per_task
            self.assertEqual(len(set(accelerators)), needed)
            self.assertTrue(domain.fleet.workers_by_id[worker_id].accepts_work)
        if spec.accelerators_per_task and domain.fleet.fits_empty_worker(spec):
            self.assertEqual(len(placement.members), 1)
        elif spec.accelerators_per_task and domain.fleet.fits_empty_rack(spec):
            self.assertEqual(len(racks_of(domain, placement)), 1)


class BestFitTest(unittest.TestCase):
    @HYPOTHESIS_SETTINGS
    @given(STEPS)
    def test_largest_gang_is_the_largest_that_can_be_placed(self, steps):
        """The reported largest gang must equal the largest one placeable.

        Fragmentation figures are computed from it.
        """
        domain = SimulatedDomain({"a": ()})
        gang = make_spec("z", borrower=True, cores=0, memory_mb=0)
        for name, seed in steps:
            if name not in ("place", "report"):
                domain.apply_step(name, seed)
            else:
                domain.place(gang._replace(tasks=1 + seed % 6))
        largest = domain.policy.largest_gang(domain.fleet)
        placeable = [
            tasks
            for tasks in range(1, 34)
            if domain.policy.place(
                gang._replace(tasks=tasks), domain.fleet, domain.cell_table
            )
        ]
        self.assertEqual(max(placeable, default=0), largest)

    def test_small_jobs_leave_whole_workers_and_racks_free(self):
        """Scattered small jobs would leave no adjacent space for gangs."""
        domain = SimulatedDomain({"a": ()})
        for _ in range(6):
            domain.place(make_spec("a", 2))
        workers = domain.fleet.workers_by_id.values()
        used = Counter(w.info.rack for w in workers if len(w.free_accelerators) < 4)
        self.assertEqual(sorted(used.values()), [3])
        self.assertIsNotNone(domain.place(make_spec("a", 16)))

    def test_gang_that_fits_a_rack_uses_the_fullest_one(self):
        """An empty rack must stay free if a partly used one fits the gang."""
        domain = SimulatedDomain({"a": ()}, make_workers(12))
        domain.place(make_spec("a", 4))
        placement = domain.policy.place(
            make_spec("a", 12), domain.fleet, domain.cell_table
        )
        self.assertEqual(racks_of(domain, placement), {"d0r0"})

    def test_large_gang_uses_the_fewest_racks(self):
        """A gang larger than a rack must use as few racks as possible."""
        domain = SimulatedDomain({"a": ()}, make_workers(16))
        for tasks in (16, 12, 4):
            domain.place(make_spec("a", tasks))
        placement = domain.policy.place(
            make_spec("a", 20), domain.fleet, domain.cell_table
        )
        self.assertEqual(len(racks_of(domain, placement)), 2)
        self.assertIsNone(domain.place(make_spec("a", 33)))

    def test_cells_are_used_in_order_of_preference(self):
        """Accelerators outside cells come first, foreign cells come last."""
        domain = SimulatedDomain(
            {"a": (Shape(4, 1),), "b": (Shape(4, 1),)}, make_workers(3)
        )
        borrower = make_spec("a", 4, borrower=True)
        owners = []
        for _ in range(3):
            placement = domain.policy.place(borrower, domain.fleet, domain.cell_table)
            worker = domain.fleet.workers_by_id[placement.members[0].worker_id]
            owner = domain.cell_table.layout_of(domain.fleet).owners(worker)[0]
            owners.append((owner, placement.borrowed))
            domain.hold(borrower, placement)
        self.assertEqual(owners, [(None, False), ("a", False), ("b", True)])

    def test_small_job_leaves_the_large_cell_of_its_owner_free(self):
        """A small job must use the smallest cell of its owner that fits."""
        domain = SimulatedDomain({"a": (Shape(12, 1), Shape(4, 1))}, make_workers(4))
        placement = domain.policy.place(make_spec("a"), domain.fleet, domain.cell_table)
        small = domain.cell_table.cells()[1].accelerators_by_worker
        self.assertEqual({m.worker_id for m in placement.members}, set(small))

    def test_cells_of_the_owner_are_used_when_no_other_slots_are_free(self):
        """A job must get the slots reserved for cells of its organisation."""
        workers = make_workers(1, accelerators=8, slots=8)
        domain = SimulatedDomain({"a": (Shape(2, 2),)}, workers)
        domain.place(make_spec("z", 4, 0, cores=0, memory_mb=0))
        placement = domain.policy.place(
            make_spec("a", 4), domain.fleet, domain.cell_table
        )
        self.assertEqual(placement.members[0].accelerators, (0, 1, 2, 3))

    def test_cpu_only_gangs_avoid_free_accelerators(self):
        """CPU-only gangs must not take slots that accelerators need.

        They use workers without free accelerators first, and never the slots
        that are reserved for cells of other organisations.
        """
        workers = make_workers(4) + tuple(
            info._replace(worker_id=f"cpu{i}", accelerators=0)
            for i, info in enumerate(make_workers(2))
        )
        domain = SimulatedDomain({"a": (Shape(4, 4),)}, workers)
        spec = make_spec("z", 4, 0)
        placed = [domain.policy.place(spec, domain.fleet, domain.cell_table)]
        domain.hold(spec, placed[0])
        placed.append(domain.policy.place(spec, domain.fleet, domain.cell_table))
        domain.hold(spec, placed[1])
        ids = {m.worker_id for p in placed for m in p.members}
        self.assertEqual(ids, {"cpu0", "cpu1"})
        self.assertIsNone(domain.place(spec))
        self.assertIsNotNone(domain.place(spec._replace(organisation="a")))

    def test_avoided_workers_are_not_used(self):
        """A retry after a failure must use other workers."""
        domain = SimulatedDomain({"a": ()}, make_workers(2))
        avoid = frozenset({"d0w0"})
        for spec in (make_spec("a", 1), make_spec("a", 4), make_spec("a", 1, 0)):
            found = domain.policy.place(spec, domain.fleet, domain.cell_table, avoid)
            self.assertEqual({m.worker_id for m in found.members}, {"d0w1"})
        spec = make_spec("a", 8)
        self.assertIsNone(
            domain.policy.place(spec, domain.fleet, domain.cell_table, avoid)
        )

    def test_decision_rebuilds_only_changed_workers(self):
        """A placement must recompute only the workers that it changed.

        If one change invalidated all cached capacities, every decision would
        recompute the whole fleet.
        """
        domain = SimulatedDomain({"a": (Shape(4, 4),)}, make_workers(40))
        spec = make_spec("b", 20)
        domain.place(spec)
        with mock.patch.object(
            _cells, "build_worker_capacity", wraps=_cells.build_worker_capacity
        ) as build:
            domain.place(spec)
        self.assertLessEqual(build.call_count, 10)

    def test_measurement_runs(self):
        """The measurement behind the command line must run to its end."""
        cost = measure_placement(48, seed=1)
        self.assertEqual(cost.decisions, 400)
        self.assertLessEqual(cost.p50_ms, cost.p99_ms)
