"""The fleet's bookkeeping agrees with what is held, also after errors."""

import unittest
from collections import Counter

from hypothesis import given

from redwingrudder.exceptions import ConflictError
from redwingrudder.fleet import Fleet
from redwingrudder.model import MemberPlacement, Placement

from ._fleet_steps import GENERATED, STEPS, Domain, make_spec, make_workers


def count_free(fleet):
    """Recompute the indexes of free accelerators from the workers."""
    by_rack = Counter()
    on_worker = [0]
    for worker in fleet.workers_by_id.values():
        if worker.accepts_work:
            on_worker.append(len(worker.free_accelerators))
            by_rack[worker.info.rack] += len(worker.free_accelerators)
    return max(on_worker), max(by_rack.values(), default=0), by_rack.total()


class FleetTest(unittest.TestCase):
    @GENERATED
    @given(STEPS)
    def test_indexes_agree_with_the_workers(self, steps):
        """Guards against an index that drifts and hides free hardware."""
        domain = Domain({"a": ()})
        fleet = domain.fleet
        for name, seed in steps:
            domain.step(name, seed)
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
                self.assertEqual(sum(self._use(fleet, worker)), sum(worker[-3:]))
        sizes = [info.accelerators for info, *_ in fleet.workers_by_id.values()]
        self.assertEqual(fleet.largest_worker(), max(sizes, default=0))
        kinds = sum(map(Counter.total, fleet.kinds_by_rack.values()))
        self.assertEqual(kinds, len(sizes))

    def _use(self, fleet, worker):
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
        """Guards I2: a gang is held on all of its members or on none."""
        good = MemberPlacement("d0w0", (0,), (0,))
        for bad in (
            MemberPlacement("d0w1", (9,), (1,)),
            MemberPlacement("d0w0", (1,), (1,)),
            MemberPlacement("d0w1", (0, 1, 2, 3), (1, 2, 3, 4, 5)),
        ):
            fleet = Fleet()
            for info in make_workers(2):
                fleet.add_worker(info, "boot", draining=False)
            with self.assertRaises(ConflictError):
                fleet.hold("g", make_spec(tasks=6), Placement((good, bad)))
            self.assertEqual(fleet.gangs_by_id, {})
            self.assertEqual(fleet.free_in_domain(), 8)

    def test_lost_worker_names_its_gangs_only(self):
        """Guards against a gang that is stopped or kept by mistake."""
        domain = Domain({"a": ()})
        both = domain.place(make_spec("a", 8))
        other = domain.place(make_spec("a", 4))
        lost = next(iter(domain.fleet.gangs_by_id[both].members_by_worker))
        self.assertEqual(domain.fleet.remove_worker(lost), (both,))
        self.assertNotIn(lost, domain.fleet.gangs_by_id[both].members_by_worker)
        self.assertIn(other, domain.fleet.gangs_by_id)
        self.assertEqual(domain.fleet.remove_worker(lost), ())
