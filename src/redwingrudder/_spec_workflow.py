"""Model of one task of a workflow, two workers and changing coordinators.

Orders lie in a set until they are delivered, at any later time and in any
order; answers may be lost. A worker that is cut off works on until its lease
has lapsed.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from ._spec_common import Coverage, Model
from .workflows.state import TASK_CHART as CHART

ONE_RUN = "I5: one run of a task at a time"
NOT_AGAIN = "I5: no run begins after an end that was acknowledged"

MOST_RUNS = 2
MOST_TERMS = 2
CUTS = 1
SILENCES = 1
WORKERS = (0, 1)
START, STOP, NO_RESOURCES = "start", "stop", ""


class Flaw(enum.StrEnum):
    """A rule that a broken variant leaves out."""

    NONE = ""
    NO_RECORD = "a start is sent before its record"
    NO_FENCE = "a look does not raise the worker's fence"
    NO_CLOSE = "an unanswered start is given up without a stop"
    NO_LOOK = "a start is given up without a look for the end of its run"
    DROP_STARTS = "a look after a silence drops starts in flight"
    EARLY_LAPSE = "a lease is taken as lapsed too early"
    ACKNOWLEDGE_FIRST = "an end is acknowledged before its record"


FLAWS = (
    (Flaw.NO_RECORD, ONE_RUN),
    (Flaw.NO_FENCE, ONE_RUN),
    (Flaw.NO_CLOSE, ONE_RUN),
    (Flaw.NO_LOOK, NOT_AGAIN),
    (Flaw.DROP_STARTS, ONE_RUN),
    (Flaw.EARLY_LAPSE, ONE_RUN),
    (Flaw.ACKNOWLEDGE_FIRST, NOT_AGAIN),
)


class Order(NamedTuple):
    """A start or stop on its way to a worker."""

    kind: str
    worker: int
    run: int
    fence: int


class Worker(NamedTuple):
    """A worker; ``closed`` is the highest run that may not start any more.

    ``ended`` is a run that is done and was not acknowledged, 0 for none.
    """

    fence: int = 0
    run: int = 0
    closed: int = 0
    ended: int = 0
    cut: bool = False


class Coordinator(NamedTuple):
    """The coordinator's view of the task.

    ``sending`` is the order that its session repeats; ``known`` and
    ``silent`` hold for each worker whether it has reported in this term and
    whether it stopped answering since.
    """

    term: int
    state: str
    run: int = 0
    worker: int = 0
    sending: str = NO_RESOURCES
    known: tuple[bool, bool] = (False, False)
    silent: tuple[bool, bool] = (False, False)


class World(NamedTuple):
    """Everything; ``placed`` and ``done`` are what the store holds."""

    coordinator: Coordinator
    workers: tuple[Worker, Worker] = (Worker(), Worker())
    orders: frozenset[Order] = frozenset()
    placed: tuple[int, int] = (0, 0)
    done: bool = False
    acknowledged: bool = False
    ran_again: bool = False
    cuts: int = CUTS
    silences: int = SILENCES


Steps = Iterator[tuple[str, World]]


def build_model(coverage: Coverage, flaw: Flaw = Flaw.NONE) -> Model:
    """Return the model, or a broken variant of it."""
    invariants = {
        ONE_RUN: lambda world: sum(w.run > 0 for w in world.workers) <= 1,
        NOT_AGAIN: lambda world: not world.ran_again,
    }
    initial = World(Coordinator(1, CHART.initial))
    return Model("workflow", flaw, initial, _Successors(coverage, flaw), invariants)


class _Successors:
    """The steps of the model."""

    def __init__(self, coverage: Coverage, flaw: Flaw) -> None:
        self._coverage = coverage
        self._flaw = flaw

    def __call__(self, world: World) -> Steps:
        yield from self._coordinate(world)
        for order in world.orders:
            yield from self._deliver(world, order)
        for index in WORKERS:
            yield from self._look(world, index)
            yield from self._change(world, index)
        yield from self._take_over(world)

    def _step(self, coordinator: Coordinator, event: str) -> Coordinator:
        target = self._coverage.step(CHART, coordinator.state, event).target
        return coordinator._replace(state=target)

    def _is_final(self, coordinator: Coordinator) -> bool:
        return coordinator.state in CHART.final_states

    def _coordinate(self, world: World) -> Steps:
        mine = world.coordinator
        if mine.state == "waiting" and mine.run < MOST_RUNS:
            for index in WORKERS:
                if mine.known[index] and not mine.silent[index]:
                    yield from self._place(world, index)
        order = Order(mine.sending, mine.worker, mine.run, mine.term)
        if mine.sending and order not in world.orders:
            yield f"send {mine.sending}", world._replace(orders=world.orders | {order})
        if mine.sending == START and not self._is_final(mine):
            if self._flaw is Flaw.NO_CLOSE:
                given_up = self._step(mine, "rejected")._replace(sending=NO_RESOURCES)
            else:
                given_up = mine._replace(sending=STOP)
            yield "give a start up", world._replace(coordinator=given_up)

    def _place(self, world: World, index: int) -> Steps:
        mine = self._step(world.coordinator, "assign")
        mine = mine._replace(run=mine.run + 1, worker=index, sending=START)
        placed = (mine.run, index)
        if self._flaw is Flaw.NO_RECORD:
            placed = world.placed
        yield f"place on {index}", world._replace(coordinator=mine, placed=placed)

    def _deliver(self, world: World, order: Order) -> Steps:
        worker = world.workers[order.worker]
        if worker.cut:
            return
        world = world._replace(orders=world.orders - {order})
        accepted = order.fence >= worker.fence
        if accepted:
            worker = worker._replace(fence=order.fence)
        begins = False
        if accepted and order.kind == START:
            accepted = order.run > worker.closed
            begins = accepted and not worker.run
            worker = worker._replace(run=order.run if begins else worker.run)
        elif accepted:
            worker = worker._replace(
                closed=max(worker.closed, order.run),
                run=0 if worker.run == order.run else worker.run,
            )
        world = _put(world, order.worker, worker)
        world = world._replace(
            ran_again=world.ran_again or (begins and world.acknowledged)
        )
        yield f"{order.kind} without an answer", world
        mine = world.coordinator
        if (order.run, order.fence, order.kind) == (mine.run, mine.term, mine.sending):
            if not self._is_final(mine):
                mine = self._answered(mine, order, accepted)
            mine = mine._replace(sending=NO_RESOURCES)
            yield f"{order.kind} answered", world._replace(coordinator=mine)

    def _answered(self, mine: Coordinator, order: Order, accepted: bool) -> Coordinator:
        if order.kind == START and accepted:
            return self._step(mine, "started")
        if self._flaw is Flaw.NO_LOOK:
            return self._step(mine, "rejected")
        # The run may have been carried out and ended; the next look tells.
        return mine

    def _look(self, world: World, index: int) -> Steps:
        worker, mine = world.workers[index], world.coordinator
        if worker.cut or worker.fence > mine.term:
            return
        if self._flaw is not Flaw.NO_FENCE:
            worker = worker._replace(fence=mine.term)
        first = not mine.known[index]
        regained = first or mine.silent[index]
        mine = mine._replace(
            known=_with(mine.known, index, True),
            silent=_with(mine.silent, index, False),
        )
        orders = world.orders
        here = mine.worker == index and not self._is_final(mine)
        if here and worker.run == mine.run and mine.state == "starting":
            mine = self._step(mine, "started")
        elif here and worker.ended == mine.run > 0:
            mine = self._step(mine, "run_done")._replace(sending=NO_RESOURCES)
        elif here and mine.state == "starting" and not (mine.sending or first):
            mine = self._step(mine, "rejected")
        elif here and regained and worker.run != mine.run and mine.state != "waiting":
            dropped = first or mine.state == "running"
            if self._flaw is Flaw.DROP_STARTS and mine.sending == START:
                # The session goes on sending the start of the dropped run.
                orders = orders | {Order(START, index, mine.run, mine.term)}
                dropped = True
            if dropped:
                mine = self._step(mine, "run_interrupted")._replace(
                    sending=NO_RESOURCES
                )
        world = _put(world, index, worker)
        world = world._replace(coordinator=mine, orders=orders)
        if not worker.ended:
            yield f"look at {index}", world
        elif worker.ended == mine.run and self._flaw is Flaw.ACKNOWLEDGE_FIRST:
            yield "acknowledge an end", self._acknowledge(world, index)
        else:
            world = world._replace(done=True)
            yield "record and acknowledge an end", self._acknowledge(world, index)

    def _acknowledge(self, world: World, index: int) -> World:
        worker = world.workers[index]._replace(ended=0)
        return _put(world, index, worker)._replace(acknowledged=True)

    def _change(self, world: World, index: int) -> Steps:
        worker, mine = world.workers[index], world.coordinator
        if worker.run:
            ended = worker._replace(run=0, closed=worker.run, ended=worker.run)
            yield f"run on {index} is done", _put(world, index, ended)
        if world.cuts and not worker.cut:
            cut = _put(world, index, worker._replace(cut=True))
            yield f"cut {index}", cut._replace(cuts=world.cuts - 1)
        if worker.cut:
            yield f"join {index}", _put(world, index, worker._replace(cut=False))
            yield f"lease on {index} lapses", self._lapse(world, index)
        if world.silences and mine.known[index] and not mine.silent[index]:
            mine = mine._replace(silent=_with(mine.silent, index, True))
            world = world._replace(coordinator=mine, silences=world.silences - 1)
            yield f"{index} falls silent", world

    def _lapse(self, world: World, index: int) -> World:
        """The worker's run ends, and late starts name a time that is over."""
        worker, mine = world.workers[index], world.coordinator
        if self._flaw is not Flaw.EARLY_LAPSE:
            closed = max(worker.closed, worker.run)
            # An end that was not acknowledged before does not count after.
            worker = worker._replace(run=0, closed=closed, ended=0)
            world = world._replace(
                orders=frozenset(
                    order
                    for order in world.orders
                    if order.worker != index or order.kind != START
                )
            )
        if mine.worker == index and mine.state in ("starting", "running", "stopping"):
            mine = self._step(mine, "run_interrupted")._replace(sending=NO_RESOURCES)
        return _put(world, index, worker)._replace(coordinator=mine)

    def _take_over(self, world: World) -> Steps:
        """A successor knows the record; orders of the old one may be late."""
        old = world.coordinator
        if old.term == MOST_TERMS:
            return
        run, index = world.placed
        mine = Coordinator(old.term + 1, CHART.initial, run, index)
        if world.done:
            mine = self._step(mine, "run_done")
        elif run:
            mine = self._step(mine, "assign")
        orders = world.orders
        if old.sending:
            late = Order(old.sending, old.worker, old.run, old.term)
            orders = orders | {late}
        yield "take over", world._replace(coordinator=mine, orders=orders)


def _put(world: World, index: int, worker: Worker) -> World:
    workers = list(world.workers)
    workers[index] = worker
    return world._replace(workers=(workers[0], workers[1]))


def _with(flags: tuple[bool, bool], index: int, value: bool) -> tuple[bool, bool]:
    return (value, flags[1]) if index == 0 else (flags[0], value)
