"""Tests that the fleet's indexes match the held resources, also on errors."""

import unittest
from collections import Counter

from hypothesis import given

from redwingrudder.exceptions import ConflictError
from redwingrudder.fleet import Fleet
from redwingrudder.model import MemberPlacement, Placement

from ._fleet_steps import (
    HYPOTHESIS_SETTINGS,
    STEPS,
    SimulatedDomain,
    make_spec,
    make_workers,
)


def count_free(fleet):
    """Compute the indexed counts of free accelerators from the workers.

    Returns the maximum per worker, the maximum per rack and the total.
    """
    by_rack = Counter()
    on_worker = [0]
    for worker in fleet.workers_by_id.values():
        if worker.accepts_work:
            on_worker.append(len(worker.free_accelerators))
            by_rack[worker.info.rack] += len(worker.free_accelerators)
    return max(on_worker), max(by_rack.values(), default=0), by_rack.total()


class FleetTest(unittest.TestCase):
    @HYPOTHESIS_SETTINGS
    @given(STEPS)
    def test_indexes_agree_with_the_workers(self, steps):
        """A wrong index would hide free resources from placement."""
        domain = SimulatedDomain({"a": ()})
        fleet = domain.fleet
        for name, seed in steps:
            domain.apply_step(name, seed)
            found = (
                fleet.most_free_on_worker(),
                fleet.most_free_on_rack(),
                fleet.free_in_domain(),
            )
            self.assertEqual(found, count_free(fleet))
            for worker_id, worker in fleet.workers_by_id.items():
                held = {
                    g for g, gang in fleet.gangs_by_id.items() if worker_id in gang[2]
                }
                self.assertEqual(fleet.gang_ids_by_worker[worker_id], held)
                self.assertEqual(
                    sum(self._free_resources(fleet, worker)), sum(worker[-3:])
                )
        sizes = [info.accelerators for info, *_ in fleet.workers_by_id.values()]
        self.assertEqual(fleet.largest_worker(), max(sizes, default=0))
        kinds = sum(map(Counter.total, fleet.kinds_by_rack.values()))
        self.assertEqual(kinds, len(sizes))

    def _free_resources(self, fleet, worker):
        info = worker.info
        free = [info.slots, info.cores, info.memory_mb]
        for gang_id in fleet.gang_ids_by_worker[info.worker_id]:
            spec = fleet.gangs_by_id[gang_id].spec
            tasks = len(
                fleet.gangs_by_id[gang_id].members_by_worker[info.worker_id].tasks
            )
            free[0] -= tasks
            free[1] -= tasks * spec.cores_per_task
            free[2] -= tasks * spec.memory_mb_per_task
        return free

    def test_refused_placement_holds_nothing(self):
        """Invariant I2: a gang holds all of its members or none.

        A refusal in the middle of a placement must not leave its first
        members held.
        """
        valid = MemberPlacement("d0w0", (0,), (0,))
        for invalid in (
            MemberPlacement("d0w1", (9,), (1,)),
            MemberPlacement("d0w0", (1,), (1,)),
            MemberPlacement("d0w1", (0, 1, 2, 3), (1, 2, 3, 4, 5)),
        ):
            fleet = Fleet()
            for info in make_workers(2):
                fleet.add_worker(info, "boot", draining=False)
            with self.assertRaises(ConflictError):
                fleet.hold("g", make_spec(tasks=6), Placement((valid, invalid)))
            self.assertEqual(fleet.gangs_by_id, {})
            self.assertEqual(fleet.free_in_domain(), 8)

    def test_removed_worker_returns_only_its_gangs(self):
        """A wrong list would stop an unaffected gang or keep a broken one."""
        domain = SimulatedDomain({"a": ()})
        two_worker_gang = domain.place(make_spec("a", 8))
        one_worker_gang = domain.place(make_spec("a", 4))
        lost_worker_id = next(
            iter(domain.fleet.gangs_by_id[two_worker_gang].members_by_worker)
        )
        self.assertEqual(domain.fleet.remove_worker(lost_worker_id), (two_worker_gang,))
        self.assertNotIn(
            lost_worker_id, domain.fleet.gangs_by_id[two_worker_gang].members_by_worker
        )
        self.assertIn(one_worker_gang, domain.fleet.gangs_by_id)
        self.assertEqual(domain.fleet.remove_worker(lost_worker_id), ())
