"""Tests of maintenance waves, with failures of machines and calls."""

import json
import math
import unittest
from unittest import mock

from redwingrudder.coordination.authority import Authority
from redwingrudder.coordination.gateways import (
    LEADERSHIP,
    MAINTENANCE_PREFIX,
    TERM_KEY,
    MachineReply,
    MachineService,
)
from redwingrudder.coordination.maintenance import Maintenance
from redwingrudder.coordination.messages import Fenced
from redwingrudder.coordination.recorder import Recorder
from redwingrudder.exceptions import OverloadedError, UnavailableError
from redwingrudder.platform.machines import PlatformWaves
from redwingrudder.workflows.machines import Machine, MachineState
from redwingrudder.workflows.maintenance import (
    MaintenanceWave,
    WaveProgress,
    runs_to_stop,
)
from redwingrudder.workflows.model import EndKind

from . import workflow_fixtures as fx
from .coordination_fakes import Recording, node_system, run_for

QUIET_S = 3.0
STATUS = "status/wave/1"
RECORD = MAINTENANCE_PREFIX + "1"
MACHINES = ("m0", "m1", "m2")


def wave(machines=3, limit=1, duration_s=20.0):
    names = tuple(f"m{index}" for index in range(machines))
    return MaintenanceWave(1, names, limit, duration_s)


def running_machines(machines=3):
    return tuple(
        Machine(f"m{index}", MachineState.UP, f"w{index}") for index in range(machines)
    )


class FakeMachineService(MachineService):
    """Machine service that keeps its machines in memory.

    It carries out the upkeep of a machine once, and accepts the orders after
    it. An order ends the runs on its machine.

    Attributes:
        lost_replies: Number of orders that are carried out although their
            reply is lost.
        reply: Returned instead of carrying out an order, unless None.
        rejects_while_down: Whether orders to machines that are not up are
            rejected.
        overloaded: Whether orders are answered with an overload.
        orders: Machine, holder and fencing token of each order.
        on_connection: Called when the connection for an order stands.
        lost_orders: Number of orders that fail without being carried out.
        upkept_ids: Machines whose upkeep has begun.
        ended_worker_ids: Workers on machines whose upkeep began.
        targets: Pool of each machine that was moved, in order.
        max_machines_down: Largest number of machines down at the same time.
    """

    def __init__(self, machines=3):
        self.machines = {m.machine_id: m for m in running_machines(machines)}
        self.lost_replies = 0
        self.lost_orders = 0
        self.reply = None
        self.rejects_while_down = False
        self.overloaded = False
        self.orders = []
        self.on_connection = lambda: None
        self.upkept_ids = []
        self.ended_worker_ids = []
        self.targets = []
        self.max_machines_down = 0

    async def list_machines(self):
        return tuple(self.machines.values())

    async def begin_upkeep(self, machine_id, wave_id, holder, fence, may_send):
        if self.overloaded:
            raise OverloadedError("too many orders")
        self.connect(may_send)
        self.orders.append((machine_id, holder, fence))
        if self.reply is not None:
            return self.reply
        if self.lost_orders:
            self.lost_orders -= 1
            raise UnavailableError("order lost")
        machine = self.machines[machine_id]
        if self.rejects_while_down and machine.state is not MachineState.UP:
            return MachineReply.REJECTED
        if machine_id not in self.upkept_ids:
            self.upkept_ids.append(machine_id)
            self.ended_worker_ids.append(machine.worker_id)
            self.machines[machine_id] = machine._replace(
                state=MachineState.CHANGING, worker_id=""
            )
            down = [m for m in self.machines.values() if not m.worker_id]
            self.max_machines_down = max(self.max_machines_down, len(down))
        return self.answer()

    async def move(self, machine_id, pool, holder, fence, may_send):
        self.connect(may_send)
        self.orders.append((machine_id, holder, fence))
        if self.reply is not None:
            return self.reply
        machine = self.machines[machine_id]
        if machine.pool != pool:
            self.targets.append((machine_id, pool))
            self.machines[machine_id] = machine._replace(
                pool=pool, state=MachineState.CHANGING, worker_id=""
            )
        return self.answer()

    def connect(self, may_send):
        self.on_connection()
        if not may_send():
            raise UnavailableError("the order was not sent")

    def answer(self):
        if self.lost_replies:
            self.lost_replies -= 1
            raise UnavailableError("reply to the order lost")
        return MachineReply.ACCEPTED

    def return_machines(self):
        for name, machine in self.machines.items():
            if machine.state is MachineState.CHANGING:
                self.machines[name] = machine._replace(
                    state=MachineState.UP, worker_id=f"new-{name}"
                )


class MaintenanceTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.system, self.store = node_system()
        self.leadership = Recording(self.system, LEADERSHIP, {Fenced: None})
        self.store.contents.put(TERM_KEY, "5")
        self.store.contents.put("op/wave/1", self.document())
        self.machines = FakeMachineService()
        self.engine = fx.engine(*(fx.worker(f"w{i}") for i in range(3)))
        self.engine.term = 5
        self.maintenance = self.new_term()

    def document(self, machines=3):
        spec = wave(machines)
        return json.dumps(
            {
                "wave": spec.wave_id,
                "machines": spec.machine_ids,
                "maxCount": spec.limit,
                "durationS": spec.duration_s,
            }
        )

    def new_term(self):
        term = self.store.contents.items_by_key[TERM_KEY]
        recorder = Recorder(self.system, 5, term.mod_revision)
        return Maintenance(
            self.system,
            self.engine,
            recorder,
            PlatformWaves(),
            self.machines,
            "n1",
            QUIET_S,
            Authority(self.clock.seconds, math.inf),
        )

    def advance(self, seconds, machines_return=True):
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            self.maintenance.advance(self.clock.seconds())
            run_for(self.clock, 0.2)
            if machines_return:
                self.machines.return_machines()

    def status(self):
        item = self.store.contents.items_by_key.get(STATUS)
        return json.loads(item.value)["state"] if item else None

    def test_wave_is_done_within_its_limit(self):
        """Guards against taking down more machines at once than allowed."""
        self.advance(20.0)
        self.assertEqual(self.status(), "done")
        self.assertEqual(self.machines.max_machines_down, 1)
        self.assertNotIn(MAINTENANCE_PREFIX + "1", self.store.contents.items_by_key)

    def test_wave_runs_while_a_machine_is_down(self):
        """Guards against ending a wave before all machines are up again."""
        self.advance(20.0, machines_return=False)
        self.assertEqual(self.status(), "running")
        self.assertEqual(len(self.machines.orders), 1)

    def test_no_order_right_after_a_takeover(self):
        """Guards against two coordinators that send orders alternately."""
        self.advance(QUIET_S - 0.4)
        self.assertEqual(self.machines.orders, [])

    def test_order_is_on_record_before_it_is_sent(self):
        """Guards against an order that a successor does not know of.

        The write of the record gets no answer and has not taken effect.
        """
        self.advance(QUIET_S - 0.4)
        self.store.writes_to_delay = 1
        recorded = []
        begin_upkeep = self.machines.begin_upkeep

        def check_record(machine_id, *arguments):
            items = self.store.contents.items_by_key
            recorded.append(machine_id in items[MAINTENANCE_PREFIX + "1"].value)
            return begin_upkeep(machine_id, *arguments)

        self.machines.begin_upkeep = check_record
        self.advance(5.0, machines_return=False)
        self.assertEqual(self.store.writes_to_delay, 0)
        self.assertEqual(recorded, [True])

    def test_unanswered_order_is_repeated(self):
        """Guards against a machine that counts as busy for ever.

        The order was carried out, but its reply was lost.
        """
        self.machines.lost_replies = 1
        self.advance(20.0)
        self.assertEqual(self.status(), "done")

    def test_rejection_after_a_lost_reply_does_not_mean_not_ordered(self):
        """Guards against more machines down at once than a wave allows.

        The first order was carried out although its reply is lost, and the
        repeated order is rejected, as the machine is not up.
        """
        self.machines.rejects_while_down = True
        self.machines.lost_replies = 1
        self.advance(10.0, machines_return=False)
        self.assertEqual(self.machines.max_machines_down, 1)

    def test_rejection_of_a_successors_order_does_not_mean_not_ordered(self):
        """Guards against more machines down at once after a takeover."""
        self.machines.rejects_while_down = True
        self.advance(6.0, machines_return=False)
        self.assertEqual(self.machines.max_machines_down, 1)
        self.maintenance.close()
        self.maintenance = self.new_term()
        self.advance(10.0, machines_return=False)
        self.assertEqual(self.machines.max_machines_down, 1)

    def test_successor_goes_on(self):
        """Guards against a second upkeep of a machine after a takeover."""
        self.advance(6.0)
        ordered = {name for name, _, _ in self.machines.orders}
        self.assertTrue(ordered)
        self.maintenance.close()
        self.machines.orders.clear()
        self.maintenance = self.new_term()
        self.advance(20.0)
        self.assertEqual(self.status(), "done")
        self.assertFalse(ordered & {name for name, _, _ in self.machines.orders})

    def test_recorded_order_that_was_never_sent(self):
        """Guards against a wave that is done without the upkeep of a machine.

        The earlier coordinator has ended before it sent the order that it had
        recorded. Another worker is on the machine since.
        """
        key = MAINTENANCE_PREFIX + "1"
        self.store.contents.put(key, json.dumps({"m0": "w-last"}))
        self.advance(25.0)
        self.assertEqual(self.status(), "done")
        ordered = {name for name, _, _ in self.machines.orders}
        self.assertEqual(ordered, set(MACHINES))

    def recorded_orders(self):
        return json.loads(self.store.contents.items_by_key[RECORD].value)

    def succeed(self):
        """Let another coordinator take over, which orders later."""
        self.maintenance.close()
        self.machines.orders.clear()
        self.maintenance = self.new_term()

    def advance_to_first_order(self):
        while not self.machines.orders:
            self.advance(0.2, machines_return=False)
        return self.ordered_ids()

    def ordered_ids(self):
        return {name for name, _, _ in self.machines.orders}

    def test_accepted_order_is_recorded_and_not_sent_again(self):
        """Guards against an order to a machine that has had its upkeep.

        The coordinator has ended while the machine was down.
        """
        self.advance(4.0, machines_return=False)
        (machine_id,) = self.ordered_ids()
        self.assertIs(self.recorded_orders()[machine_id]["accepted"], True)
        self.succeed()
        self.advance(20.0)
        self.assertEqual(self.status(), "done")
        self.assertNotIn(machine_id, self.ordered_ids())
        self.assertEqual(sorted(self.machines.upkept_ids), list(MACHINES))

    def test_acceptance_is_recorded_once_the_store_answers(self):
        """Guards against an acceptance that a failed write loses."""
        self.advance(QUIET_S - 0.4)
        begin_upkeep = self.machines.begin_upkeep

        def fail_next_write(*arguments):
            self.store.writes_to_delay = 1
            return begin_upkeep(*arguments)

        self.machines.begin_upkeep = fail_next_write
        self.advance(4.0, machines_return=False)
        (machine_id,) = self.ordered_ids()
        self.assertIs(self.recorded_orders()[machine_id]["accepted"], True)

    def test_lost_answer_before_a_takeover(self):
        """Guards against a wave that never ends, and against a second upkeep.

        The order was carried out, and the machine is up with a new worker
        before the successor reads the list.
        """
        self.machines.lost_replies = 1
        (machine_id,) = self.advance_to_first_order()
        self.machines.return_machines()
        self.succeed()
        self.advance(20.0)
        self.assertEqual(self.status(), "done")
        self.assertIn(machine_id, self.ordered_ids())
        self.assertEqual(sorted(self.machines.upkept_ids), list(MACHINES))
        self.assertEqual(self.machines.max_machines_down, 1)

    def test_machine_with_an_unconfirmed_order_is_emptied_again(self):
        """Guards against a repeated order that ends the runs of a new worker.

        The order of the earlier coordinator was never sent.
        """
        self.store.contents.put(RECORD, json.dumps({"m0": "w-last"}))
        self.engine.accept(fx.workflow("job", fx.step(3, fx.WHOLE_WORKER)), 0.0)
        starts = fx.starts(self.engine.plan(0.0, 0.0))
        fx.confirm(self.engine, starts)
        self.advance(8.0)
        self.assertEqual(self.machines.orders, [])
        (start,) = (s for s in starts if s.worker_id == "w0")
        end = fx.ended(start, EndKind.STOPPED)
        self.engine.end("w0", end, self.clock.seconds())
        self.advance(1.0, machines_return=False)
        self.assertEqual(self.machines.ended_worker_ids, ["w0"])

    def test_emptied_worker_of_a_finished_upkeep_gets_work_again(self):
        """Guards against a worker that stays excluded after a lost answer."""
        self.store.contents.put(RECORD, json.dumps({"m0": "w-last"}))
        self.machines.upkept_ids.append("m0")
        self.advance(QUIET_S + 1.0, machines_return=False)
        self.assertIn("m0", self.ordered_ids())
        self.assertFalse(self.engine.workers_by_id["w0"].emptying)

    def test_lost_order_to_a_machine_with_a_new_worker(self):
        """Guards against a wave that is done without the upkeep of a machine.

        The order was sent and never carried out, and the worker crashed.
        """
        self.machines.lost_orders = 1
        (machine_id,) = self.advance_to_first_order()
        self.replace_worker(machine_id, "w-next")
        self.advance(20.0)
        self.assertEqual(self.status(), "done")
        self.assertEqual(sorted(self.machines.upkept_ids), list(MACHINES))

    def test_successor_of_a_former_release(self):
        """Guards against two machines down by orders of a former release.

        Its record does not tell which orders were accepted.
        """
        self.advance(4.0, machines_return=False)
        (machine_id,) = self.ordered_ids()
        worker_id = self.recorded_orders()[machine_id]["worker"]
        self.store.contents.put(RECORD, json.dumps({machine_id: worker_id}))
        self.succeed()
        self.advance(10.0, machines_return=False)
        self.assertEqual(self.machines.upkept_ids, [machine_id])
        self.advance(20.0)
        self.assertEqual(self.status(), "done")
        self.assertEqual(sorted(self.machines.upkept_ids), list(MACHINES))
        self.assertEqual(self.machines.max_machines_down, 1)

    def test_unreadable_order_of_a_record(self):
        """Guards against a machine that is skipped for a damaged record."""
        for order in (7, None, [], {}, {"accepted": "yes"}, {"accepted": False}):
            with self.subTest(order=order):
                self.setUp()
                self.store.contents.put(RECORD, json.dumps({"m0": order}))
                self.advance(25.0)
                self.assertEqual(self.status(), "done")
                self.assertEqual(sorted(self.machines.upkept_ids), list(MACHINES))

    def test_fenced_coordinator_gives_up(self):
        """Guards against orders of a coordinator that has a successor."""
        self.machines.reply = MachineReply.FENCED
        self.advance(10.0)
        self.assertEqual(len(self.machines.orders), 1)
        self.assertTrue(self.leadership.received)

    def test_answer_after_the_term_does_not_end_the_next_one(self):
        """Guards against a new term of this node that an old order ends."""

        def close_when_written(may_send):
            may_send()
            self.maintenance.close()

        self.machines.connect = close_when_written
        self.machines.reply = MachineReply.FENCED
        self.advance(10.0)
        self.assertEqual(len(self.machines.orders), 1)
        self.assertEqual(self.leadership.received, [])

    def test_write_after_the_term_does_not_end_the_next_one(self):
        """Guards against a new term of this node that an old write ends."""
        transact = self.store.contents.transact

        def begin_next_term(message):
            self.maintenance.close()
            self.store.contents.put(TERM_KEY, "6")
            return transact(message)

        with mock.patch.object(self.store.contents, "transact", begin_next_term):
            self.advance(1.0)
        self.assertEqual(self.store.contents.items_by_key[TERM_KEY].value, "6")
        self.assertEqual(self.leadership.received, [])

    def test_busy_machine_is_tried_again(self):
        """Guards against a wave that stops after one rejected order."""
        self.machines.reply = MachineReply.REJECTED
        self.advance(6.0)
        self.machines.reply = None
        self.advance(20.0)
        self.assertEqual(self.status(), "done")

    def test_unreadable_wave_is_left_alone(self):
        """Guards against an invalid document that blocks all other waves."""
        self.store.contents.put("op/wave/2", "{")
        self.advance(20.0)
        self.assertEqual(self.status(), "done")

    def replace_worker(self, machine_id, worker_id):
        """Let another worker appear on a machine, without any upkeep."""
        self.engine.set_worker(fx.worker(worker_id), self.clock.seconds())
        machine = self.machines.machines[machine_id]
        self.machines.machines[machine_id] = machine._replace(worker_id=worker_id)

    def test_new_worker_on_an_emptied_machine_is_emptied_too(self):
        """Guards against an order that ends the runs of another worker.

        The machine was chosen with a worker that another one has replaced.
        """
        self.engine.accept(fx.workflow("job", fx.step(3, fx.WHOLE_WORKER)), 0.0)
        fx.confirm(self.engine, fx.starts(self.engine.plan(0.0, 0.0)))
        self.advance(4.0)
        workers = self.engine.workers_by_id
        (old,) = (worker for worker in workers.values() if worker.emptying)
        old_id = old.facts.worker_id
        machine_id = old_id.replace("w", "m")
        now = self.clock.seconds()
        self.engine.remove_worker(old_id, now, "test")
        self.replace_worker(machine_id, "w-next")
        self.engine.accept(fx.workflow("next", fx.step(1, fx.WHOLE_WORKER)), now)
        fx.confirm(self.engine, self.engine.plan(now, now), now)
        self.assertTrue(workers["w-next"].tasks_by_key)
        self.advance(0.6)
        self.assertEqual(self.machines.orders, [])

    def test_new_worker_on_a_machine_without_an_order_is_no_upkeep(self):
        """Guards against a wave that is done without the upkeep of a machine.

        The order is on record, and the platform has not taken it.
        """
        self.machines.overloaded = True
        self.advance(4.0)
        self.assertEqual(len(self.machines.orders), 0)
        (machine_id,) = json.loads(
            self.store.contents.items_by_key[MAINTENANCE_PREFIX + "1"].value
        )
        self.replace_worker(machine_id, "w-next")
        self.advance(1.0)
        self.machines.overloaded = False
        self.advance(20.0)
        self.assertEqual(self.status(), "done")
        self.assertEqual({name for name, _, _ in self.machines.orders}, set(MACHINES))

    def test_withdrawn_wave_gets_no_more_orders(self):
        """Guards against upkeep that the operators no longer want."""
        self.advance(4.0, machines_return=False)
        self.assertEqual(len(self.machines.orders), 1)
        self.store.contents.remove("op/wave/1")
        self.advance(10.0)
        self.assertEqual(len(self.machines.orders), 1)
        self.assertEqual(self.status(), "running")

    def test_workers_of_a_withdrawn_wave_get_work_again(self):
        """Guards against workers that stay excluded without an order."""
        self.engine.accept(fx.workflow("job", fx.step(3, fx.WHOLE_WORKER)), 0.0)
        fx.confirm(self.engine, fx.starts(self.engine.plan(0.0, 0.0)))
        workers = self.engine.workers_by_id.values()
        self.advance(4.0)
        self.assertTrue(any(worker.emptying for worker in workers))
        self.store.contents.remove("op/wave/1")
        self.advance(1.0)
        self.assertFalse(any(worker.emptying for worker in workers))

    def test_machine_that_left_the_wave_gets_no_order(self):
        """Guards against upkeep of a machine by an older form of its wave."""
        self.advance(4.0, machines_return=False)
        self.assertEqual(len(self.machines.orders), 1)
        self.store.contents.put("op/wave/1", self.document(machines=2))
        self.advance(20.0)
        self.assertEqual({name for name, _, _ in self.machines.orders}, {"m0", "m1"})
        self.assertEqual(self.status(), "done")

    def test_wave_that_becomes_unreadable_goes_on(self):
        """Guards against a wave that an invalid document withdraws."""
        self.advance(4.0)
        self.store.contents.put("op/wave/1", "{")
        self.advance(20.0)
        self.assertEqual(self.status(), "done")

    def test_worker_is_emptied_first(self):
        """Guards against taking down a machine that has runs."""
        self.engine.accept(fx.workflow("job", fx.step(3, fx.WHOLE_WORKER)), 0.0)
        starts = fx.starts(self.engine.plan(0.0, 0.0))
        fx.confirm(self.engine, starts)
        self.advance(8.0)
        self.assertEqual(self.machines.orders, [])
        stops = fx.stops(self.engine.take_effects())
        self.assertEqual(len(stops), 1)
        start = next(s for s in starts if s.worker_id == stops[0].worker_id)
        end = fx.ended(start, EndKind.STOPPED)
        self.engine.end(start.worker_id, end, self.clock.seconds())
        self.advance(1.0, machines_return=False)
        self.assertEqual(len(self.machines.orders), 1)


class DecisionTests(unittest.TestCase):
    def test_cheapest_machine_comes_first(self):
        """Guards against stopping runs while idle machines could be chosen."""
        engine = fx.engine(*(fx.worker(f"w{i}") for i in range(3)))
        engine.accept(fx.workflow("job", fx.step(2, fx.WHOLE_WORKER)), 0.0)
        starts = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, starts)
        chosen = WaveProgress(wave()).choose(
            running_machines(), engine.workers_by_id, 5.0
        )
        used = {start.worker_id for start in starts}
        self.assertNotIn(chosen[0].worker_id, used)

    def test_service_keeps_its_tasks(self):
        """Guards against stopping more service tasks than the step allows."""
        engine = fx.engine(fx.worker("w1"))
        service = fx.step(4, service=True, unavailable_limit=2)
        engine.accept(fx.workflow("job", service), 0.0)
        starts = fx.starts(engine.plan(0.0, 0.0))
        fx.confirm(engine, starts)
        rows = [fx.running(start, 100.0) for start in starts]
        engine.report("w1", rows, 1.0)
        first = self.stopped_on(engine, "w1")
        self.assertEqual(len(first), 2)
        for task in first:
            engine.stop(task, "machine_upkeep")
        self.assertEqual(self.stopped_on(engine, "w1"), [])

    def stopped_on(self, engine, worker_id):
        workers = engine.workers_by_id
        return runs_to_stop(workers[worker_id], workers, 0.0, engine.run_times, 1.0)

    def test_service_with_a_task_on_a_lost_worker(self):
        """Guards against stopping a task beside one that is away already."""
        for lost in ("reachable", "listed"):
            with self.subTest(lost=lost):
                engine = fx.engine(fx.worker("w1"), fx.worker("w2"))
                service = fx.step(2, fx.WHOLE_WORKER, service=True, unavailable_limit=1)
                engine.accept(fx.workflow("job", service), 0.0)
                starts = fx.starts(engine.plan(0.0, 0.0))
                fx.confirm(engine, starts)
                for start in starts:
                    engine.report(start.worker_id, [fx.running(start, 100.0)], 1.0)
                setattr(engine.workers_by_id["w2"], lost, False)
                self.assertEqual(self.stopped_on(engine, "w1"), [])
                setattr(engine.workers_by_id["w2"], lost, True)
                self.assertEqual(len(self.stopped_on(engine, "w1")), 1)

    def test_machine_that_left_does_not_hold_the_wave(self):
        """Guards against a wave that waits for a machine no longer listed."""
        progress = WaveProgress(wave(machines=1))
        progress.observe(())
        self.assertTrue(progress.done)


if __name__ == "__main__":
    unittest.main()
