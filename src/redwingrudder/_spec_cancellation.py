"""Model of a job that is cancelled while its parts are on their way.

The write of the submission, the news for the coordinator and the commands to
the worker take effect at any later time. The worker may restart under its id
and then accepts what was sent to its last process.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from ._spec_common import Coverage, Model
from ._spec_workflow import CHART, MAX_RUNS, MAX_TERMS, PLACED_STATES

NO_START_AFTER_CANCEL = "no start is recorded after a cancellation was answered"
LISTED_RUN_STOPPED = "a listed run of a cancelled job is being stopped"


class Flaw(enum.StrEnum):
    """A rule of the protocol that a broken variant of the model leaves out."""

    NONE = ""
    NO_MARK = "the cancellation of a job that is not stored leaves no mark"
    NO_CONDITION = "the record of a start does not depend on the cancellation"
    NUMBER_ONLY = "a listed run with the newest number is taken for wanted"
    UNKNOWN_IGNORED = "a listed run of an unknown job is ignored"
    STOP_ONCE = "a stop is not sent again to a new process"


FLAWS = (
    (Flaw.NO_MARK, NO_START_AFTER_CANCEL),
    (Flaw.NO_CONDITION, NO_START_AFTER_CANCEL),
    (Flaw.NUMBER_ONLY, LISTED_RUN_STOPPED),
    (Flaw.UNKNOWN_IGNORED, LISTED_RUN_STOPPED),
    (Flaw.STOP_ONCE, LISTED_RUN_STOPPED),
)


class Store(NamedTuple):
    """What the store holds of the job.

    Attributes:
        submitted: Whether it holds the document.
        cancelled: Whether it holds the mark of the cancellation.
        run: Number of the newest recorded run, 0 for none.
    """

    submitted: bool = False
    cancelled: bool = False
    run: int = 0


class Coordinator(NamedTuple):
    """The view that the current coordinator has of the job.

    Attributes:
        term: The coordinator's term.
        knows_job: Whether it has the document.
        knows_cancel: Whether it knows of the cancellation.
        state: State of the task chart.
        run: Number of the newest run.
        first_report: Whether the next report is the first to its session.
    """

    term: int
    knows_job: bool = False
    knows_cancel: bool = False
    state: str = CHART.initial
    run: int = 0
    first_report: bool = False


class Worker(NamedTuple):
    """The worker.

    Attributes:
        run: Number of the run in progress, 0 for none.
        highest_closed_run: Starts of this run and of earlier runs are refused.
    """

    run: int = 0
    highest_closed_run: int = 0


class World(NamedTuple):
    """A state of the model.

    Attributes:
        store: What the store holds.
        coordinator: The current coordinator.
        worker: The worker.
        submission_sent: Whether a write of the submission is on its way.
        cancel_answered: Whether the cancellation was answered.
        starts: Runs whose start may still be delivered.
        stops: Runs whose stop may still be delivered.
        restarts_left: How many times the worker may still restart.
        started_after_cancel: Whether a start was recorded after the answer.
        left_running: Whether a report listed a run of the cancelled job and
            no stop of it was on its way afterwards.
    """

    store: Store = Store()
    coordinator: Coordinator = Coordinator(1)
    worker: Worker = Worker()
    submission_sent: bool = True
    cancel_answered: bool = False
    starts: frozenset[int] = frozenset()
    stops: frozenset[int] = frozenset()
    restarts_left: int = 1
    started_after_cancel: bool = False
    left_running: bool = False


Steps = Iterator[tuple[str, World]]


def build_model(coverage: Coverage, flaw: Flaw = Flaw.NONE) -> Model:
    """Return the model, or the variant without the rule ``flaw``."""
    invariants = {
        NO_START_AFTER_CANCEL: lambda world: not world.started_after_cancel,
        LISTED_RUN_STOPPED: lambda world: not world.left_running,
    }
    successors = _Successors(coverage, flaw)
    return Model("cancelled job", flaw, World(), successors, invariants)


class _Successors:
    """Returns all steps that may follow a state; called by the checker."""

    def __init__(self, coverage: Coverage, flaw: Flaw) -> None:
        self._coverage = coverage
        self._flaw = flaw

    def __call__(self, world: World) -> Steps:
        yield from self._caller_steps(world)
        yield from self._news_steps(world)
        yield from self._placement_steps(world)
        yield from self._delivery_steps(world)
        yield from self._worker_steps(world)
        yield from self._takeover_steps(world)

    def _fire(self, coordinator: Coordinator, event: str) -> Coordinator:
        """Apply an event; a task of a cancelled job does not wait again."""
        state = self._coverage.step(CHART, coordinator.state, event).target
        if coordinator.knows_cancel and state == CHART.initial:
            state = self._coverage.step(CHART, state, "withdraw").target
        return coordinator._replace(state=state)

    def _caller_steps(self, world: World) -> Steps:
        store = world.store
        if world.submission_sent:
            accepted = not store.submitted and not store.cancelled
            yield (
                "the submission is stored" if accepted else "the submission fails",
                world._replace(
                    submission_sent=False,
                    store=store._replace(submitted=store.submitted or accepted),
                ),
            )
        if not world.cancel_answered:
            marked = store.submitted or self._flaw is not Flaw.NO_MARK
            yield (
                "cancel the job",
                world._replace(
                    cancel_answered=True, store=store._replace(cancelled=marked)
                ),
            )

    def _news_steps(self, world: World) -> Steps:
        store, coordinator = world.store, world.coordinator
        if store.submitted and not coordinator.knows_job:
            knowing = coordinator._replace(knows_job=True)
            if coordinator.knows_cancel:
                knowing = self._withdraw(knowing)
            yield (
                "the coordinator learns of the job",
                world._replace(coordinator=knowing),
            )
        if store.cancelled and not coordinator.knows_cancel:
            yield "the coordinator learns of the cancellation", self._cancel(world)
        is_final = coordinator.state in CHART.final_states
        if is_final and coordinator.knows_job and store.cancelled:
            yield (
                "remove the records",
                world._replace(
                    store=Store(run=store.run),
                    coordinator=coordinator._replace(knows_job=False),
                    submission_sent=False,
                ),
            )

    def _withdraw(self, coordinator: Coordinator) -> Coordinator:
        if coordinator.state in CHART.final_states:
            return coordinator
        return self._fire(coordinator, "withdraw")

    def _cancel(self, world: World) -> World:
        """Let the coordinator cancel the job and stop its run."""
        coordinator = world.coordinator._replace(knows_cancel=True)
        stops = world.stops
        if coordinator.knows_job:
            if coordinator.state in ("starting", "running"):
                stops |= {coordinator.run}
            coordinator = self._withdraw(coordinator)
        return world._replace(coordinator=coordinator, stops=stops)

    def _placement_steps(self, world: World) -> Steps:
        coordinator, store = world.coordinator, world.store
        if coordinator.state == "starting":
            yield (
                "repeat the start",
                world._replace(starts=world.starts | {coordinator.run}),
            )
            yield (
                "the start is rejected",
                world._replace(coordinator=self._fire(coordinator, "rejected")),
            )
        may_place = coordinator.knows_job and coordinator.state == CHART.initial
        if not may_place or coordinator.run >= MAX_RUNS:
            return
        if store.cancelled and self._flaw is not Flaw.NO_CONDITION:
            yield "the record of a start is refused", self._cancel(world)
            return
        run = coordinator.run + 1
        yield (
            "record and send a start",
            world._replace(
                store=store._replace(run=run),
                coordinator=self._fire(coordinator, "assign")._replace(run=run),
                starts=world.starts | {run},
                started_after_cancel=world.started_after_cancel
                or world.cancel_answered,
            ),
        )

    def _delivery_steps(self, world: World) -> Steps:
        worker = world.worker
        for run in world.starts:
            begun = worker
            if run > worker.highest_closed_run and not worker.run:
                begun = worker._replace(run=run)
            yield (
                f"start of run {run} is delivered",
                world._replace(starts=world.starts - {run}, worker=begun),
            )
        for run in world.stops:
            closed = max(worker.highest_closed_run, run)
            stopped = Worker(worker.run if worker.run > closed else 0, closed)
            yield (
                f"stop of run {run} is delivered",
                world._replace(stops=world.stops - {run}, worker=stopped),
            )

    def _worker_steps(self, world: World) -> Steps:
        if world.restarts_left:
            yield (
                "the worker restarts",
                world._replace(
                    worker=Worker(),
                    coordinator=world.coordinator._replace(first_report=True),
                    restarts_left=world.restarts_left - 1,
                ),
            )
        yield "the worker reports", self._report(world)

    def _report(self, world: World) -> World:
        coordinator, run = world.coordinator, world.worker.run
        is_first = coordinator.first_report
        coordinator = coordinator._replace(first_report=False)
        is_newest = run == coordinator.run
        stops = world.stops
        is_missing = coordinator.state in PLACED_STATES and not is_newest
        if is_missing and (is_first or coordinator.state != "starting"):
            coordinator = self._fire(coordinator, "run_interrupted")
        is_current = coordinator.state in PLACED_STATES and is_newest
        if run and is_current and coordinator.knows_job:
            if coordinator.state == "starting":
                coordinator = self._fire(coordinator, "started")
            elif coordinator.state == "stopping" and is_first:
                stops |= {run} - ({run} if self._flaw is Flaw.STOP_ONCE else set())
        elif run and self._is_stopped(coordinator, is_newest):
            if is_newest and coordinator.state == CHART.initial:
                coordinator = self._fire(self._fire(coordinator, "assign"), "stop")
            stops |= {run}
        is_left = bool(run) and coordinator.knows_cancel and run not in stops
        return world._replace(
            coordinator=coordinator,
            stops=stops,
            left_running=world.left_running or is_left,
        )

    def _is_stopped(self, coordinator: Coordinator, is_newest: bool) -> bool:
        """Return whether a listed run that is not current is stopped."""
        if not coordinator.knows_job:
            return self._flaw is not Flaw.UNKNOWN_IGNORED
        return not (is_newest and self._flaw is Flaw.NUMBER_ONLY)

    def _takeover_steps(self, world: World) -> Steps:
        """Let a successor take over, whose view of the store may be old."""
        store, predecessor = world.store, world.coordinator
        if predecessor.term == MAX_TERMS:
            return
        successor = Coordinator(
            predecessor.term + 1, store.submitted, first_report=True
        )
        if store.run and store.submitted:
            successor = self._fire(successor, "assign")._replace(run=store.run)
        world = world._replace(coordinator=successor, stops=frozenset())
        yield "take over", world
        if store.cancelled:
            yield "take over, cancellation known", self._cancel(world)
