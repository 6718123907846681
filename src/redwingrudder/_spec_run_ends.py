"""Model of the ends of a gang, their record and successive coordinators.

Each of two workers has one member of the gang. The members begin and end
together, and the end of one completes all of them in memory. Commands take
effect at once; the model of one task covers those that are late.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from ._spec_common import Coverage, Model
from ._spec_gang_types import replace_at
from ._spec_workflow import CHART, NO_RUN_AFTER_END, PLACED_STATES, WORKERS

MAX_RUNS = 2
MAX_TERMS = 3
MAX_LOSSES = 2
# Contents of a write in progress.
NO_WRITE, WITHOUT_END, WITH_END = "", "without the end", "with the end"


class Flaw(enum.StrEnum):
    """A rule of the protocol that a broken variant of the model leaves out."""

    NONE = ""
    ACKNOWLEDGE_FIRST = "an end is acknowledged before it is recorded"
    ACKNOWLEDGE_KNOWN = "an end that changes nothing in memory is acknowledged at once"
    ANY_WRITE = "a write acknowledges ends that were reported while it lasted"
    NEW_SESSION = "a new session takes a known end for recorded"


FLAWS = (
    (Flaw.ACKNOWLEDGE_FIRST, NO_RUN_AFTER_END),
    (Flaw.ACKNOWLEDGE_KNOWN, NO_RUN_AFTER_END),
    (Flaw.ANY_WRITE, NO_RUN_AFTER_END),
    (Flaw.NEW_SESSION, NO_RUN_AFTER_END),
)


class Worker(NamedTuple):
    """A worker.

    Attributes:
        run: Number of the run in progress, 0 for none.
        ended_run: Number of a run that is done and whose end was not
            acknowledged, 0 for none.
    """

    run: int = 0
    ended_run: int = 0


class Session(NamedTuple):
    """What the current session of a worker has reported.

    Attributes:
        has_reported: Whether there was a report.
        end_seen: Whether the end of the worker's member was reported.
        is_successor: Whether an earlier session of this term has reported.
    """

    has_reported: bool = False
    end_seen: bool = False
    is_successor: bool = False


class Coordinator(NamedTuple):
    """The view that the current coordinator has of the gang.

    Attributes:
        term: The coordinator's term.
        states: State of the task chart for each member.
        run: Number of the latest run.
        start_pending: Whether the start of the latest run is not sent yet.
        write: Contents of the write in progress.
        sessions: The session of each worker.
    """

    term: int
    states: tuple[str, ...]
    run: int = 0
    start_pending: bool = False
    write: str = NO_WRITE
    sessions: tuple[Session, ...] = (Session(), Session())


class World(NamedTuple):
    """A state of the model.

    Attributes:
        coordinator: The current coordinator.
        workers: Both workers.
        recorded_run: The latest run that the store holds.
        end_recorded: Whether the store holds the end of the gang.
        end_acknowledged: Whether an end was acknowledged to a worker.
        ran_after_end: Whether a run began after an end was acknowledged.
        losses_left: How many times a worker may still be lost.
    """

    coordinator: Coordinator
    workers: tuple[Worker, ...] = (Worker(), Worker())
    recorded_run: int = 0
    end_recorded: bool = False
    end_acknowledged: bool = False
    ran_after_end: bool = False
    losses_left: int = MAX_LOSSES


Steps = Iterator[tuple[str, World]]


def build_model(coverage: Coverage, flaw: Flaw = Flaw.NONE) -> Model:
    """Return the model, or the variant without the rule ``flaw``."""
    initial = World(Coordinator(1, (CHART.initial, CHART.initial)))
    invariants = {NO_RUN_AFTER_END: lambda world: not world.ran_after_end}
    successors = _Successors(coverage, flaw)
    return Model("ends of a gang", flaw, initial, successors, invariants)


class _Successors:
    """Returns all steps that may follow a state; called by the checker."""

    def __init__(self, coverage: Coverage, flaw: Flaw) -> None:
        self._coverage = coverage
        self._flaw = flaw

    def __call__(self, world: World) -> Steps:
        yield from self._run_steps(world)
        yield from self._write_steps(world)
        for index in WORKERS:
            yield from self._poll_steps(world, index)
            yield from self._session_steps(world, index)
        if world.coordinator.term < MAX_TERMS:
            yield "take over", self._take_over(world)

    def _fire(self, world: World, index: int, event: str) -> World:
        coordinator = world.coordinator
        target = self._coverage.step(CHART, coordinator.states[index], event).target
        states = replace_at(coordinator.states, index, target)
        return world._replace(coordinator=coordinator._replace(states=states))

    def _interrupt(self, world: World, index: int) -> World:
        """Interrupt a member's run, and order the stop of the others."""
        world = self._fire(world, index, "run_interrupted")
        world = _with_coordinator(world, start_pending=False)
        for other in WORKERS:
            if world.coordinator.states[other] in ("starting", "running"):
                world = self._fire(world, other, "stop")
        return world

    def _run_steps(self, world: World) -> Steps:
        """Yield the steps by which a run is placed, begins and ends."""
        coordinator = world.coordinator
        can_place = all(
            state == "waiting" and session.has_reported
            for state, session in zip(
                coordinator.states, coordinator.sessions, strict=True
            )
        )
        if can_place and coordinator.run < MAX_RUNS:
            run = coordinator.run + 1
            placed = _with_coordinator(world, run=run, start_pending=True)
            for index in WORKERS:
                placed = self._fire(placed, index, "assign")
            yield "place the gang", placed._replace(recorded_run=run)
        if coordinator.start_pending:
            begun = _with_coordinator(world, start_pending=False)
            yield (
                "start the gang",
                begun._replace(
                    workers=tuple(
                        worker._replace(run=coordinator.run) for worker in world.workers
                    ),
                    ran_after_end=world.ran_after_end or world.end_acknowledged,
                ),
            )
        runs = {worker.run for worker in world.workers}
        idle = tuple(worker._replace(run=0) for worker in world.workers)
        if len(runs) > 1:
            yield "the gang breaks", world._replace(workers=idle)
        elif any(runs):
            done = tuple(Worker(ended_run=worker.run) for worker in world.workers)
            yield "the gang is done", world._replace(workers=done)
        if any(runs) and "stopping" in coordinator.states:
            yield "the gang is stopped", world._replace(workers=idle)

    def _write_steps(self, world: World) -> Steps:
        coordinator = world.coordinator
        if coordinator.write == NO_WRITE and not world.end_recorded:
            contents = WITH_END if _is_final(coordinator) else WITHOUT_END
            yield f"write {contents}", _with_coordinator(world, write=contents)
        if coordinator.write == NO_WRITE:
            return
        completed = _with_coordinator(world, write=NO_WRITE)
        yield "the write fails", completed
        if coordinator.write == WITH_END:
            completed = completed._replace(end_recorded=True)
        elif self._flaw is Flaw.ANY_WRITE:
            for index in WORKERS:
                if coordinator.sessions[index].end_seen:
                    completed = _acknowledge(completed, index)
        yield "the write succeeds", completed

    def _poll_steps(self, world: World, index: int) -> Steps:
        coordinator, worker = world.coordinator, world.workers[index]
        session = coordinator.sessions[index]
        polled = _with_session(
            world,
            index,
            session._replace(
                has_reported=True,
                end_seen=session.end_seen or worker.ended_run > 0,
            ),
        )
        was_final = _is_final(coordinator)
        if worker.ended_run and not was_final:
            # The end of one member completes the others too.
            for member in WORKERS:
                polled = self._fire(polled, member, "run_done")
        elif coordinator.states[index] in PLACED_STATES:
            polled = self._update_member(polled, index)
        yield f"poll worker {index}", polled
        if not worker.ended_run:
            return
        is_new = not session.end_seen
        if polled.end_recorded:
            yield "acknowledge a recorded end", _acknowledge(polled, index)
        elif (
            self._flaw is Flaw.ACKNOWLEDGE_FIRST
            or (self._flaw is Flaw.ACKNOWLEDGE_KNOWN and was_final and is_new)
            or (
                self._flaw is Flaw.NEW_SESSION
                and was_final
                and is_new
                and session.is_successor
            )
        ):
            yield "acknowledge an end", _acknowledge(polled, index)

    def _update_member(self, world: World, index: int) -> World:
        """Apply a report without an end to a member that is placed."""
        coordinator = world.coordinator
        if world.workers[index].run != coordinator.run:
            if coordinator.start_pending:
                return world
            return self._interrupt(world, index)
        if coordinator.states[index] == "starting":
            return self._fire(world, index, "started")
        return world

    def _session_steps(self, world: World, index: int) -> Steps:
        coordinator = world.coordinator
        if coordinator.sessions[index].has_reported:
            reopened = _with_session(world, index, Session(is_successor=True))
            yield f"open a new session of worker {index}", reopened
        if world.losses_left:
            lost = world._replace(
                workers=replace_at(world.workers, index, Worker()),
                losses_left=world.losses_left - 1,
            )
            lost = _with_session(lost, index, Session())
            if coordinator.states[index] in PLACED_STATES:
                lost = self._interrupt(lost, index)
            yield f"worker {index} is lost and replaced", lost

    def _take_over(self, world: World) -> World:
        """Let a successor take over that starts from what the store holds."""
        predecessor = world.coordinator
        states = (CHART.initial, CHART.initial)
        successor = Coordinator(predecessor.term + 1, states, world.recorded_run)
        world = world._replace(coordinator=successor)
        for index in WORKERS:
            if world.end_recorded:
                world = self._fire(world, index, "run_done")
            elif world.recorded_run:
                world = self._fire(world, index, "assign")
        return world


def _is_final(coordinator: Coordinator) -> bool:
    return all(state in CHART.final_states for state in coordinator.states)


def _acknowledge(world: World, index: int) -> World:
    workers = replace_at(world.workers, index, Worker())
    return world._replace(workers=workers, end_acknowledged=True)


def _with_coordinator(world: World, **changes: object) -> World:
    return world._replace(coordinator=world.coordinator._replace(**changes))


def _with_session(world: World, index: int, session: Session) -> World:
    sessions = replace_at(world.coordinator.sessions, index, session)
    return _with_coordinator(world, sessions=sessions)
