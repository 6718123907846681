"""Tests of moves between serving pools and pools on standby."""

import json
import math
import unittest

from redwingrudder.coordination.authority import Authority
from redwingrudder.coordination.gateways import (
    LEADERSHIP,
    MOVES_KEY,
    TERM_KEY,
    MachineReply,
    OperatorConfiguration,
    Queue,
)
from redwingrudder.coordination.messages import Fenced
from redwingrudder.coordination.pool_moves import PoolMoves, pool_roles
from redwingrudder.coordination.recorder import Recorder
from redwingrudder.platform.registry import PlatformConfiguration
from redwingrudder.workflows.machines import Machine, MachineState
from redwingrudder.workflows.model import QueuePolicy, Resources
from redwingrudder.workflows.pool_sizing import (
    PEAK_WINDOW_S,
    SHORTAGE_DELAY_S,
    MachineMove,
    PoolRoles,
    PoolSizing,
    pool_needs,
)

from . import workflow_fixtures as fx
from .coordination_fakes import Recording, node_system, run_for
from .test_maintenance import FakeMachineService

QUIET_S = 3.0
ROLES = PoolRoles(frozenset({"pool"}), frozenset({"spare"}), {})
NO_STANDBY = PoolRoles(frozenset({"pool", "spare"}), frozenset(), {})
TICK_S = 0.2


def machine(index, pool="pool", **changes):
    """Return machine mN; the worker of one in a serving pool is wN."""
    return Machine(
        f"m{index}",
        MachineState.UP if pool == "pool" else MachineState.DOWN,
        f"w{index}" if pool == "pool" else "",
        pool,
        frozenset({"a", "r1"}),
        "a",
        fx.WORKER_SIZE,
    )._replace(**changes)


class SizingTests(unittest.TestCase):
    """Load pattern: work waits for capacity that machines on standby have."""

    def setUp(self):
        self.engine = fx.engine(fx.worker("w0"), fx.worker("w1"))
        self.machines = [machine(0), machine(1), machine(2, "spare")]
        self.sizing = PoolSizing()
        self.moves = {}

    def sample(self, now):
        active = [p for p in self.engine.workflows_by_id.values() if p.ended_at is None]
        workers = self.engine.workers_by_id.values()
        sizes = [m.capacity for m in self.machines]
        self.sizing.sample(pool_needs(active, workers, sizes, now, now), now)

    def choose(self, now, roles=ROLES):
        self.sample(now)
        return [
            (move.machine_id, move.target)
            for move in self.sizing.choose(
                roles, self.machines, self.engine.workers_by_id, self.moves, now
            )
        ]

    def fill(self, tasks, demand=fx.WHOLE_WORKER, **changes):
        workflow = fx.workflow("job", fx.step(tasks, demand, **changes))
        self.engine.accept(workflow, 0.0)
        starts = fx.starts(self.engine.plan(0.0, 0.0))
        fx.confirm(self.engine, starts)
        return starts

    def test_waiting_work_gets_a_machine(self):
        """Guards against work that waits while machines are on standby."""
        self.fill(3)
        self.assertEqual(self.choose(0.0), [])
        self.assertEqual(self.choose(SHORTAGE_DELAY_S), [("m2", "pool")])

    def test_short_wait_moves_nothing(self):
        """Guards against a move for work that a run's end makes room for."""
        starts = self.fill(3)
        self.choose(0.0)
        self.engine.end(starts[0].worker_id, fx.ended(starts[0]), 0.3)
        fx.confirm(self.engine, self.engine.plan(0.3, 0.3))
        self.assertEqual(self.choose(SHORTAGE_DELAY_S), [])

    def test_arriving_machine_counts(self):
        """Guards against a second machine while the first is on its way."""
        self.machines.append(machine(3, "spare"))
        self.fill(3)
        self.choose(0.0)
        self.moves["m2"] = MachineMove(self.machines[2], "pool")
        self.assertEqual(self.choose(1.0), [])

    def test_scattered_idle_capacity_does_not_count(self):
        """Guards against a task that fits nowhere although enough is idle."""
        self.fill(2, Resources(1000, 1000, 5))
        self.engine.accept(fx.workflow("large", fx.step(1, fx.WHOLE_WORKER)), 0.0)
        self.engine.plan(0.1, 0.1)
        self.choose(0.1)
        self.assertEqual(self.choose(1.0), [("m2", "pool")])

    def test_hopeless_work_takes_no_machine(self):
        """Guards against machines for a task that is larger than any."""
        self.fill(1, Resources(1000, 1000, 9))
        self.choose(0.0)
        self.assertEqual(self.choose(1.0), [])

    def test_machine_of_another_kind_stays(self):
        """Guards against machines that the pool cannot use."""
        labels = frozenset({"b", "r1"})
        self.machines[2] = machine(2, "spare", kind="b", labels=labels)
        self.fill(3)
        self.choose(0.0)
        self.assertEqual(self.choose(1.0), [])

    def test_refused_machine_is_not_chosen_again(self):
        """Guards against an endless series of refused orders."""
        self.fill(3)
        self.choose(0.0)
        self.sizing.refuse(MachineMove(self.machines[2], "pool"))
        self.assertEqual(self.choose(1.0), [])

    def test_guaranteed_capacity_does_not_wait_for_work(self):
        """Guards against urgent work that waits for a machine to start."""
        roles = ROLES._replace(guaranteed_by_pool={"pool": 24})
        self.assertEqual(self.choose(0.0, roles), [("m2", "pool")])

    def test_idle_machine_is_spared_after_the_window(self):
        """Guards against paying for machines that nothing uses."""
        self.assertEqual(self.choose(0.0), [])
        self.assertEqual(self.choose(PEAK_WINDOW_S - 0.1), [])
        self.assertEqual(len(self.choose(PEAK_WINDOW_S)), 1)

    def test_recent_peak_keeps_its_machines(self):
        """Guards against machines that leave between two bursts."""
        starts = self.fill(2)
        self.choose(0.0)
        self.choose(PEAK_WINDOW_S - 1.0)
        for start in starts:
            self.engine.end(start.worker_id, fx.ended(start), PEAK_WINDOW_S)
        self.assertEqual(self.choose(PEAK_WINDOW_S), [])
        self.assertEqual(len(self.choose(2 * PEAK_WINDOW_S)), 1)

    def test_guarantee_keeps_its_machines(self):
        """Guards against moving away what urgent work is entitled to."""
        roles = ROLES._replace(guaranteed_by_pool={"pool": 16})
        self.choose(0.0, roles)
        self.assertEqual(self.choose(PEAK_WINDOW_S, roles), [])

    def test_machine_with_a_service_task_stays(self):
        """Guards against a move that would wait for a run without an end."""
        self.engine.set_worker(fx.worker("w3"), 0.0)
        self.machines.append(machine(3))
        starts = self.fill(3, fx.ONE_GPU, service=True, worker_limit=1)
        self.assertEqual(len({start.worker_id for start in starts}), 3)
        self.choose(0.0)
        self.assertEqual(self.choose(PEAK_WINDOW_S), [])

    def test_without_standby_nothing_moves(self):
        """Guards against moves on a site that has no pool on standby."""
        self.fill(3)
        self.choose(0.0, NO_STANDBY)
        self.assertEqual(self.choose(PEAK_WINDOW_S, NO_STANDBY), [])


class MovesTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.system, self.store = node_system()
        self.leadership = Recording(self.system, LEADERSHIP, {Fenced: None})
        self.store.contents.put(TERM_KEY, "5")
        self.service = FakeMachineService(0)
        for item in (machine(0), machine(1, "spare")):
            self.service.machines[item.machine_id] = item
        self.engine = fx.engine(fx.worker("w0"))
        self.engine.term = 5
        self.authority = Authority(self.clock.seconds, math.inf)
        self.moves = self.new_term()

    def new_term(self, roles=ROLES):
        revision = self.store.contents.items_by_key[TERM_KEY].mod_revision
        recorder = Recorder(self.system, 5, revision)
        moves = PoolMoves(
            self.system,
            self.engine,
            recorder,
            self.service,
            "n1",
            QUIET_S,
            self.authority,
        )
        moves.set_roles(roles)
        return moves

    def advance(self, seconds, machines_return=True):
        for _ in range(int(seconds / TICK_S)):
            now = self.clock.seconds()
            self.moves.sample(now, now)
            self.moves.advance(now)
            run_for(self.clock, TICK_S)
            if machines_return:
                self.service.return_machines()

    def add_waiting_work(self):
        self.engine.accept(fx.workflow("job", fx.step(2, fx.WHOLE_WORKER)), 0.0)
        starts = fx.starts(self.engine.plan(0.0, 0.0))
        fx.confirm(self.engine, starts)
        return starts

    def recorded(self):
        item = self.store.contents.items_by_key.get(MOVES_KEY)
        return json.loads(item.value) if item else None

    def test_machine_joins_the_pool_that_lacks_it(self):
        """Guards against a move that is decided but not carried out."""
        self.add_waiting_work()
        self.advance(QUIET_S + 2.0)
        self.assertEqual(self.service.targets, [("m1", "pool")])
        self.assertEqual(self.service.orders, [("m1", "n1", 5)])
        self.advance(2.0)
        self.assertEqual(self.recorded(), {})

    def test_no_order_right_after_a_takeover(self):
        """Guards against two coordinators that send orders alternately."""
        self.add_waiting_work()
        self.advance(QUIET_S - 0.4)
        self.assertEqual(self.service.orders, [])

    def test_order_is_on_record_before_it_is_sent(self):
        """Guards against an order that a successor does not know of."""
        self.add_waiting_work()
        self.advance(QUIET_S - 0.4)
        self.store.down = True
        self.advance(3.0)
        self.assertEqual(self.service.orders, [])
        self.store.down = False
        self.advance(2.0, machines_return=False)
        self.assertEqual(self.recorded(), {"m1": ["pool", ""]})

    def test_late_write_cannot_replace_a_newer_record(self):
        """Guards against an order that a late write removes from the record.

        The write gets no answer and takes effect after newer ones.
        """
        self.add_waiting_work()
        self.advance(QUIET_S - 0.4)
        self.store.writes_to_delay = 1
        self.advance(3.0)
        self.assertEqual(self.service.targets, [("m1", "pool")])
        newest = self.recorded()
        self.assertEqual(self.store.apply_delayed_writes(), [False])
        self.assertEqual(self.recorded(), newest)

    def test_unanswered_order_is_repeated(self):
        """Guards against taking a lost answer for an order that failed."""
        self.service.lost_replies = 1
        self.add_waiting_work()
        self.advance(QUIET_S + 4.0)
        self.assertEqual(self.service.targets, [("m1", "pool")])
        self.assertEqual(self.recorded(), {})

    def test_successor_repeats_what_may_have_been_sent(self):
        """Guards against runs on a worker whose machine is about to move."""
        self.store.contents.put(MOVES_KEY, json.dumps({"m0": ["spare", "w0"]}))
        restored = self.moves.restore()
        self.system.clock.callLater(0.0, restored.send, None)
        self.advance(0.2)
        self.moves.empty_workers()
        self.assertTrue(self.engine.workers_by_id["w0"].emptying)
        self.assertEqual(self.add_waiting_work(), [])
        self.advance(QUIET_S + 2.0)
        self.assertIn(("m0", "spare"), self.service.targets)

    def test_machine_is_emptied_first(self):
        """Guards against runs that a move ends."""
        self.service.machines["m1"] = machine(1)
        self.engine.set_worker(fx.worker("w1"), 0.0)
        self.engine.accept(fx.workflow("job", fx.step(1)), 0.0)
        start = fx.starts(self.engine.plan(0.0, 0.0))[0]
        fx.confirm(self.engine, [start])
        index = start.worker_id[1:]
        self.moves._moves_by_machine["m" + index] = MachineMove(machine(index), "spare")
        self.advance(QUIET_S + 2.0)
        self.assertTrue(self.engine.workers_by_id[start.worker_id].emptying)
        self.assertEqual(self.service.orders, [])
        self.engine.end(start.worker_id, fx.ended(start), 5.0)
        self.advance(2.0)
        self.assertEqual(self.service.targets, [("m" + index, "spare")])

    def test_new_worker_on_a_machine_is_emptied_too(self):
        """Guards against a move that ends the runs of another worker.

        The move was recorded with a worker that another one has replaced.
        """
        self.store.contents.put(MOVES_KEY, json.dumps({"m0": ["spare", "w-last"]}))
        self.engine.accept(fx.workflow("job", fx.step(1)), 0.0)
        (start,) = fx.starts(self.engine.plan(0.0, 0.0))
        fx.confirm(self.engine, [start])
        self.assertEqual(start.worker_id, "w0")
        self.advance(QUIET_S + 2.0)
        self.assertEqual(self.service.orders, [])
        self.engine.end("w0", fx.ended(start), 5.0)
        self.advance(2.0)
        self.assertEqual(self.service.targets, [("m0", "spare")])

    def test_move_into_a_pool_that_is_no_longer_on_standby_is_dropped(self):
        """Guards against a move that an older configuration asked for."""
        self.engine.accept(fx.workflow("job", fx.step(1)), 0.0)
        (start,) = fx.starts(self.engine.plan(0.0, 0.0))
        fx.confirm(self.engine, [start])
        self.moves._moves_by_machine["m0"] = MachineMove(machine(0), "spare")
        self.advance(1.0)
        self.assertTrue(self.engine.workers_by_id["w0"].emptying)
        self.moves.set_roles(NO_STANDBY)
        self.engine.end("w0", fx.ended(start), 1.0)
        self.advance(QUIET_S + 2.0)
        self.assertEqual(self.service.orders, [])
        self.assertFalse(self.engine.workers_by_id["w0"].emptying)

    def test_needed_machine_is_kept(self):
        """Guards against a machine that leaves while work waits for it."""
        self.engine.set_worker(fx.worker("w1"), 0.0)
        self.service.machines["m1"] = machine(1)
        self.engine.accept(fx.workflow("old", fx.step(1)), 0.0)
        start = fx.starts(self.engine.plan(0.0, 0.0))[0]
        fx.confirm(self.engine, [start])
        index = start.worker_id[1:]
        self.moves._moves_by_machine["m" + index] = MachineMove(machine(index), "spare")
        self.advance(1.0)
        self.assertTrue(self.engine.workers_by_id[start.worker_id].emptying)
        self.engine.accept(fx.workflow("new", fx.step(2, fx.WHOLE_WORKER)), 0.0)
        fx.confirm(self.engine, self.engine.plan(1.0, 1.0))
        self.advance(2.0)
        self.assertFalse(self.engine.workers_by_id[start.worker_id].emptying)
        self.assertEqual(self.service.orders, [])

    def test_fenced_coordinator_gives_up(self):
        """Guards against orders of a coordinator that has a successor."""
        self.service.reply = MachineReply.FENCED
        self.add_waiting_work()
        self.advance(QUIET_S + 5.0)
        self.assertEqual(len(self.service.orders), 1)
        self.assertEqual(len(self.leadership.received), 1)

    def test_no_order_without_authority(self):
        """Guards against an order after a pause beside a successor."""
        self.authority.revoke()
        self.add_waiting_work()
        self.advance(QUIET_S + 3.0)
        self.assertEqual(self.service.orders, [])

    def test_order_is_not_written_after_its_permission(self):
        """Guards against an order whose connection outlasts its permission."""
        self.service.on_connection = self.authority.revoke
        self.add_waiting_work()
        self.advance(QUIET_S + 3.0)
        self.assertNotEqual(self.recorded(), None)
        self.assertEqual(self.service.orders, [])

    def test_without_standby_nothing_is_called(self):
        """Guards against calls on a site that has no pool on standby."""
        self.moves = self.new_term(NO_STANDBY)
        self.service.list_machines = self.fail
        transactions = len(self.store.transactions)
        self.add_waiting_work()
        self.advance(QUIET_S + 3.0)
        self.assertEqual(len(self.store.transactions), transactions)


class RolesTests(unittest.TestCase):
    def test_pools_of_urgent_queues_keep_the_guarantees(self):
        """Guards against guarantees that a pool cannot serve at once."""
        policy = QueuePolicy("pool", priority=0)
        queue = Queue("q", "h", "/", False, 1.0, policy)
        configuration = OperatorConfiguration(
            1,
            (queue,),
            {},
            {"org": 8, "other": 4},
            frozenset({"pool", "spare"}),
            frozenset({"spare"}),
        )
        expected = PoolRoles(frozenset({"pool"}), frozenset({"spare"}), {"pool": 12})
        self.assertEqual(pool_roles(configuration), expected)

    def test_standby_is_decoded(self):
        """Guards against machines on standby that count as serving."""
        services = [{"name": "pool"}, {"name": "spare", "standby": True}]
        document = json.dumps({"version": 1, "services": services})
        configuration = PlatformConfiguration().decode(document)
        self.assertEqual(configuration.pools, {"pool", "spare"})
        self.assertEqual(configuration.standby_pools, {"spare"})


if __name__ == "__main__":
    unittest.main()
