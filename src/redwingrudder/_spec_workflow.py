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

MAX_RUNS = 2
MAX_TERMS = 2
MAX_CUTS = 1
MAX_SILENCES = 1
WORKERS = (0, 1)
START, STOP, NO_ORDER = "start", "stop", ""


class Flaw(enum.StrEnum):
    """A rule that a broken variant leaves out."""

    NONE = ""
    NO_RECORD = "a start is sent before its record"
    NO_FENCE = "a look does not raise the worker's fence"
    NO_STOP = "an unanswered start is given up without a stop"
    NO_POLL = "a start is given up without a look for the end of its run"
    DROP_STARTS = "a look after a silence drops starts in flight"
    EARLY_LAPSE = "a lease is taken as lapsed too early"
    ACKNOWLEDGE_FIRST = "an end is acknowledged before its record"


FLAWS = (
    (Flaw.NO_RECORD, ONE_RUN),
    (Flaw.NO_FENCE, ONE_RUN),
    (Flaw.NO_STOP, ONE_RUN),
    (Flaw.NO_POLL, NOT_AGAIN),
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
    highest_closed_run: int = 0
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
    sending: str = NO_ORDER
    has_reported: tuple[bool, bool] = (False, False)
    unresponsive: tuple[bool, bool] = (False, False)


class World(NamedTuple):
    """Everything; ``placed`` and ``done`` are what the store holds."""

    coordinator: Coordinator
    workers: tuple[Worker, Worker] = (Worker(), Worker())
    orders: frozenset[Order] = frozenset()
    recorded_placement: tuple[int, int] = (0, 0)
    end_recorded: bool = False
    end_acknowledged: bool = False
    ran_again: bool = False
    cuts_left: int = MAX_CUTS
    silences_left: int = MAX_SILENCES


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
        yield from self._coordinator_steps(world)
        for order in world.orders:
            yield from self._delivery_steps(world, order)
        for index in WORKERS:
            yield from self._poll_steps(world, index)
            yield from self._worker_steps(world, index)
        yield from self._takeover_steps(world)

    def _fire(self, coordinator: Coordinator, event: str) -> Coordinator:
        target = self._coverage.step(CHART, coordinator.state, event).target
        return coordinator._replace(state=target)

    def _is_final(self, coordinator: Coordinator) -> bool:
        return coordinator.state in CHART.final_states

    def _coordinator_steps(self, world: World) -> Steps:
        coordinator = world.coordinator
        if coordinator.state == "waiting" and coordinator.run < MAX_RUNS:
            for index in WORKERS:
                if (
                    coordinator.has_reported[index]
                    and not coordinator.unresponsive[index]
                ):
                    yield from self._placement_steps(world, index)
        order = Order(
            coordinator.sending, coordinator.worker, coordinator.run, coordinator.term
        )
        if coordinator.sending and order not in world.orders:
            yield (
                f"send {coordinator.sending}",
                world._replace(orders=world.orders | {order}),
            )
        if coordinator.sending == START and not self._is_final(coordinator):
            if self._flaw is Flaw.NO_STOP:
                without_start = self._fire(coordinator, "rejected")._replace(
                    sending=NO_ORDER
                )
            else:
                without_start = coordinator._replace(sending=STOP)
            yield "give a start up", world._replace(coordinator=without_start)

    def _placement_steps(self, world: World, index: int) -> Steps:
        coordinator = self._fire(world.coordinator, "assign")
        coordinator = coordinator._replace(
            run=coordinator.run + 1, worker=index, sending=START
        )
        recorded_placement = (coordinator.run, index)
        if self._flaw is Flaw.NO_RECORD:
            recorded_placement = world.recorded_placement
        yield (
            f"place on {index}",
            world._replace(
                coordinator=coordinator, recorded_placement=recorded_placement
            ),
        )

    def _delivery_steps(self, world: World, order: Order) -> Steps:
        worker = world.workers[order.worker]
        if worker.cut:
            return
        world = world._replace(orders=world.orders - {order})
        accepted = order.fence >= worker.fence
        if accepted:
            worker = worker._replace(fence=order.fence)
        begins = False
        if accepted and order.kind == START:
            accepted = order.run > worker.highest_closed_run
            begins = accepted and not worker.run
            worker = worker._replace(run=order.run if begins else worker.run)
        elif accepted:
            worker = worker._replace(
                highest_closed_run=max(worker.highest_closed_run, order.run),
                run=0 if worker.run == order.run else worker.run,
            )
        world = _with_worker(world, order.worker, worker)
        world = world._replace(
            ran_again=world.ran_again or (begins and world.end_acknowledged)
        )
        yield f"{order.kind} without an answer", world
        coordinator = world.coordinator
        if (order.run, order.fence, order.kind) == (
            coordinator.run,
            coordinator.term,
            coordinator.sending,
        ):
            if not self._is_final(coordinator):
                coordinator = self._handle_answer(coordinator, order, accepted)
            coordinator = coordinator._replace(sending=NO_ORDER)
            yield f"{order.kind} answered", world._replace(coordinator=coordinator)

    def _handle_answer(
        self, coordinator: Coordinator, order: Order, accepted: bool
    ) -> Coordinator:
        if order.kind == START and accepted:
            return self._fire(coordinator, "started")
        if self._flaw is Flaw.NO_POLL:
            return self._fire(coordinator, "rejected")
        # The run may have been carried out and ended; the next look tells.
        return coordinator

    def _poll_steps(self, world: World, index: int) -> Steps:
        worker, coordinator = world.workers[index], world.coordinator
        if worker.cut or worker.fence > coordinator.term:
            return
        if self._flaw is not Flaw.NO_FENCE:
            worker = worker._replace(fence=coordinator.term)
        first_report = not coordinator.has_reported[index]
        answers_again = first_report or coordinator.unresponsive[index]
        coordinator = coordinator._replace(
            has_reported=_replace_flag(coordinator.has_reported, index, True),
            unresponsive=_replace_flag(coordinator.unresponsive, index, False),
        )
        orders = world.orders
        assigned_here = coordinator.worker == index and not self._is_final(coordinator)
        if (
            assigned_here
            and worker.run == coordinator.run
            and coordinator.state == "starting"
        ):
            coordinator = self._fire(coordinator, "started")
        elif assigned_here and worker.ended == coordinator.run > 0:
            coordinator = self._fire(coordinator, "run_done")._replace(sending=NO_ORDER)
        elif (
            assigned_here
            and coordinator.state == "starting"
            and not (coordinator.sending or first_report)
        ):
            coordinator = self._fire(coordinator, "rejected")
        elif (
            assigned_here
            and answers_again
            and worker.run != coordinator.run
            and coordinator.state != "waiting"
        ):
            run_dropped = first_report or coordinator.state == "running"
            if self._flaw is Flaw.DROP_STARTS and coordinator.sending == START:
                # The session goes on sending the start of the dropped run.
                orders = orders | {
                    Order(START, index, coordinator.run, coordinator.term)
                }
                run_dropped = True
            if run_dropped:
                coordinator = self._fire(coordinator, "run_interrupted")._replace(
                    sending=NO_ORDER
                )
        world = _with_worker(world, index, worker)
        world = world._replace(coordinator=coordinator, orders=orders)
        if not worker.ended:
            yield f"look at {index}", world
        elif worker.ended == coordinator.run and self._flaw is Flaw.ACKNOWLEDGE_FIRST:
            yield "acknowledge an end", self._acknowledge(world, index)
        else:
            world = world._replace(end_recorded=True)
            yield "record and acknowledge an end", self._acknowledge(world, index)

    def _acknowledge(self, world: World, index: int) -> World:
        worker = world.workers[index]._replace(ended=0)
        return _with_worker(world, index, worker)._replace(end_acknowledged=True)

    def _worker_steps(self, world: World, index: int) -> Steps:
        worker, coordinator = world.workers[index], world.coordinator
        if worker.run:
            ended = worker._replace(
                run=0, highest_closed_run=worker.run, ended=worker.run
            )
            yield f"run on {index} is done", _with_worker(world, index, ended)
        if world.cuts_left and not worker.cut:
            cut = _with_worker(world, index, worker._replace(cut=True))
            yield f"cut {index}", cut._replace(cuts_left=world.cuts_left - 1)
        if worker.cut:
            yield (
                f"join {index}",
                _with_worker(world, index, worker._replace(cut=False)),
            )
            yield f"lease on {index} lapses", self._lapse_lease(world, index)
        if (
            world.silences_left
            and coordinator.has_reported[index]
            and not coordinator.unresponsive[index]
        ):
            coordinator = coordinator._replace(
                unresponsive=_replace_flag(coordinator.unresponsive, index, True)
            )
            world = world._replace(
                coordinator=coordinator, silences_left=world.silences_left - 1
            )
            yield f"{index} falls silent", world

    def _lapse_lease(self, world: World, index: int) -> World:
        """The worker's run ends, and late starts name a time that is over."""
        worker, coordinator = world.workers[index], world.coordinator
        if self._flaw is not Flaw.EARLY_LAPSE:
            highest_closed_run = max(worker.highest_closed_run, worker.run)
            # An end that was not acknowledged before does not count after.
            worker = worker._replace(
                run=0, highest_closed_run=highest_closed_run, ended=0
            )
            world = world._replace(
                orders=frozenset(
                    order
                    for order in world.orders
                    if order.worker != index or order.kind != START
                )
            )
        if coordinator.worker == index and coordinator.state in (
            "starting",
            "running",
            "stopping",
        ):
            coordinator = self._fire(coordinator, "run_interrupted")._replace(
                sending=NO_ORDER
            )
        return _with_worker(world, index, worker)._replace(coordinator=coordinator)

    def _takeover_steps(self, world: World) -> Steps:
        """A successor knows the record; orders of the old one may be late."""
        old = world.coordinator
        if old.term == MAX_TERMS:
            return
        run, index = world.recorded_placement
        coordinator = Coordinator(old.term + 1, CHART.initial, run, index)
        if world.end_recorded:
            coordinator = self._fire(coordinator, "run_done")
        elif run:
            coordinator = self._fire(coordinator, "assign")
        orders = world.orders
        if old.sending:
            late_order = Order(old.sending, old.worker, old.run, old.term)
            orders = orders | {late_order}
        yield "take over", world._replace(coordinator=coordinator, orders=orders)


def _with_worker(world: World, index: int, worker: Worker) -> World:
    workers = list(world.workers)
    workers[index] = worker
    return world._replace(workers=(workers[0], workers[1]))


def _replace_flag(
    flags: tuple[bool, bool], index: int, value: bool
) -> tuple[bool, bool]:
    return (value, flags[1]) if index == 0 else (flags[0], value)
