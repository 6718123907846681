"""Model of one workflow task, two workers and successive coordinators.

An order that was sent stays in a set until it is delivered. Orders may be
delivered at any later time and in any sequence, and replies may be lost. A
worker that is cut off from the coordinator continues its run until its lease
lapses.
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
    """A rule of the protocol that a broken variant of the model leaves out."""

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
    """A start or stop of a run, on its way to a worker.

    ``fence`` is the term of the coordinator that sent it.
    """

    kind: str
    worker: int
    run: int
    fence: int


class Worker(NamedTuple):
    """A worker.

    Attributes:
        fence: The highest term that it knows; it refuses orders of lower ones.
        run: Number of the run in progress, 0 for none.
        highest_closed_run: Starts of this run and of lower ones are refused.
        unacknowledged_run: A run that is done and whose end was not
            acknowledged, 0 for none.
        cut_off: Whether the worker is cut off from all coordinators.
    """

    fence: int = 0
    run: int = 0
    highest_closed_run: int = 0
    unacknowledged_run: int = 0
    cut_off: bool = False


class Coordinator(NamedTuple):
    """The view that the current coordinator has of the task.

    Attributes:
        term: Its term, used as the fence of its orders.
        state: State of the task chart.
        run: Number of the latest run.
        worker: The worker of the latest run.
        sending: The order that the worker session repeats until it is
            answered, "" for none.
        has_reported: For each worker, whether it reported in this term.
        unresponsive: For each worker, whether it has stopped answering since
            its last report.
    """

    term: int
    state: str
    run: int = 0
    worker: int = 0
    sending: str = NO_ORDER
    has_reported: tuple[bool, bool] = (False, False)
    unresponsive: tuple[bool, bool] = (False, False)


class World(NamedTuple):
    """A state of the model.

    Attributes:
        coordinator: The current coordinator.
        workers: Both workers.
        orders: Orders that may still be delivered.
        recorded_placement: Run and worker that the store holds for the task.
        end_recorded: Whether the store holds the end of the task.
        end_acknowledged: Whether an end was acknowledged to a worker.
        ran_again: Whether a run began after an end was acknowledged.
        cuts_left: Network cuts that may still begin.
        silences_left: How many times a worker may still stop answering.
    """

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
    """Return the model, or the variant without the rule ``flaw``."""
    invariants = {
        ONE_RUN: lambda world: sum(w.run > 0 for w in world.workers) <= 1,
        NOT_AGAIN: lambda world: not world.ran_again,
    }
    initial = World(Coordinator(1, CHART.initial))
    return Model("workflow", flaw, initial, _Successors(coverage, flaw), invariants)


class _Successors:
    """Returns all steps that may follow a state; called by the checker."""

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
            yield (
                "abandon an unanswered start",
                world._replace(coordinator=without_start),
            )

    def _placement_steps(self, world: World, index: int) -> Steps:
        coordinator = self._fire(world.coordinator, "assign")
        coordinator = coordinator._replace(
            run=coordinator.run + 1, worker=index, sending=START
        )
        recorded_placement = (coordinator.run, index)
        if self._flaw is Flaw.NO_RECORD:
            recorded_placement = world.recorded_placement
        yield (
            f"place on worker {index}",
            world._replace(
                coordinator=coordinator, recorded_placement=recorded_placement
            ),
        )

    def _delivery_steps(self, world: World, order: Order) -> Steps:
        worker = world.workers[order.worker]
        if worker.cut_off:
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
        yield f"{order.kind}, reply lost", world
        coordinator = world.coordinator
        if (order.run, order.fence, order.kind) == (
            coordinator.run,
            coordinator.term,
            coordinator.sending,
        ):
            if not self._is_final(coordinator):
                coordinator = self._handle_reply(coordinator, order, accepted)
            coordinator = coordinator._replace(sending=NO_ORDER)
            yield f"{order.kind} answered", world._replace(coordinator=coordinator)

    def _handle_reply(
        self, coordinator: Coordinator, order: Order, accepted: bool
    ) -> Coordinator:
        if order.kind == START and accepted:
            return self._fire(coordinator, "started")
        if self._flaw is Flaw.NO_POLL:
            return self._fire(coordinator, "rejected")
        # The run may have started and ended already; the next poll shows it.
        return coordinator

    def _poll_steps(self, world: World, index: int) -> Steps:
        worker, coordinator = world.workers[index], world.coordinator
        if worker.cut_off or worker.fence > coordinator.term:
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
        elif assigned_here and worker.unacknowledged_run == coordinator.run > 0:
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
                # The session continues to send the start of the dropped run.
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
        if not worker.unacknowledged_run:
            yield f"poll worker {index}", world
        elif (
            worker.unacknowledged_run == coordinator.run
            and self._flaw is Flaw.ACKNOWLEDGE_FIRST
        ):
            yield "acknowledge an end", self._acknowledge(world, index)
        else:
            world = world._replace(end_recorded=True)
            yield "record and acknowledge an end", self._acknowledge(world, index)

    def _acknowledge(self, world: World, index: int) -> World:
        worker = world.workers[index]._replace(unacknowledged_run=0)
        return _with_worker(world, index, worker)._replace(end_acknowledged=True)

    def _worker_steps(self, world: World, index: int) -> Steps:
        worker, coordinator = world.workers[index], world.coordinator
        if worker.run:
            finished = worker._replace(
                run=0, highest_closed_run=worker.run, unacknowledged_run=worker.run
            )
            yield f"run on worker {index} is done", _with_worker(world, index, finished)
        if world.cuts_left and not worker.cut_off:
            isolated = _with_worker(world, index, worker._replace(cut_off=True))
            yield (
                f"worker {index} is cut off",
                isolated._replace(cuts_left=world.cuts_left - 1),
            )
        if worker.cut_off:
            yield (
                f"worker {index} is reconnected",
                _with_worker(world, index, worker._replace(cut_off=False)),
            )
            yield f"lease of worker {index} lapses", self._lapse_lease(world, index)
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
            yield f"worker {index} stops answering", world

    def _lapse_lease(self, world: World, index: int) -> World:
        """Let the lease of a worker lapse.

        The run of the worker ends, and the coordinator treats it as
        interrupted. Starts in flight to the worker are refused later, because
        the time limit that they carry has passed.
        """
        worker, coordinator = world.workers[index], world.coordinator
        if self._flaw is not Flaw.EARLY_LAPSE:
            highest_closed_run = max(worker.highest_closed_run, worker.run)
            # An end that was not acknowledged before the lapse is discarded.
            worker = worker._replace(
                run=0, highest_closed_run=highest_closed_run, unacknowledged_run=0
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
        """Let a successor take over.

        It knows what the store holds. Orders of its predecessor may still be
        delivered later.
        """
        predecessor = world.coordinator
        if predecessor.term == MAX_TERMS:
            return
        run, index = world.recorded_placement
        successor = Coordinator(predecessor.term + 1, CHART.initial, run, index)
        if world.end_recorded:
            successor = self._fire(successor, "run_done")
        elif run:
            successor = self._fire(successor, "assign")
        orders = world.orders
        if predecessor.sending:
            late_order = Order(
                predecessor.sending,
                predecessor.worker,
                predecessor.run,
                predecessor.term,
            )
            orders = orders | {late_order}
        yield "take over", world._replace(coordinator=successor, orders=orders)


def _with_worker(world: World, index: int, worker: Worker) -> World:
    workers = list(world.workers)
    workers[index] = worker
    return world._replace(workers=(workers[0], workers[1]))


def _replace_flag(
    flags: tuple[bool, bool], index: int, value: bool
) -> tuple[bool, bool]:
    return (value, flags[1]) if index == 0 else (flags[0], value)
