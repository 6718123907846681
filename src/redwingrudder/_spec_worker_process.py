"""Model of a task on workers whose processes start again under their ids.

A new process has nothing of what its predecessor had: no run, no fence and no
closed runs, and a clock that begins anew. Commands to the predecessor may be
delivered to it. The coordinator opens a session for it when its registry entry
arrives, at any time, or when a poll of the earlier session meets it.

An attempt of a start may stay in flight while a later attempt is answered. The
next run of the task is placed on another worker only while the worker of such
an attempt answers, or with no such attempt left.

A process that restarts after that carries out no older commands before the
first poll of the session that was opened for it: the workers offer no means
against commands that are so late.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from ._spec_common import Coverage, Model
from ._spec_gang_types import replace_at
from ._spec_workflow import (
    AWAIT_REPORT,
    CHART,
    NO_COMMAND,
    ONE_RUN,
    PLACED_STATES,
    START,
    STOP,
    WORKERS,
)

MAX_RUNS = 2
MAX_TERMS = 2
MAX_RESTARTS = 1
MAX_LAPSES = 1


class Flaw(enum.StrEnum):
    """A rule of the protocol that a broken variant of the model leaves out."""

    NONE = ""
    NO_SESSION_FENCE = (
        "commands of an earlier session are accepted by a worker's next process"
    )
    EARLY_INTERRUPTION = "a confirmed run is interrupted before the new process reports"
    NO_HOLD = (
        "a run is placed elsewhere while a worker that may carry out an earlier "
        "start does not answer"
    )
    NO_FIRST_POLL = (
        "a worker that restarts after the next run was placed elsewhere carries "
        "out older commands before its first poll"
    )


FLAWS = (
    (Flaw.NO_SESSION_FENCE, ONE_RUN),
    (Flaw.EARLY_INTERRUPTION, ONE_RUN),
    (Flaw.NO_HOLD, ONE_RUN),
    (Flaw.NO_FIRST_POLL, ONE_RUN),
)


class Fence(NamedTuple):
    """Order of the sessions, which workers compare."""

    term: int = 0
    session: int = 0


class Command(NamedTuple):
    """A command to start or stop a run, in flight to a worker.

    Attributes:
        kind: ``START`` or ``STOP``.
        worker: Index of the worker.
        run: Number of the run.
        fence: Fence of the session that sent it.
        expired: Whether its time limit has passed on the worker's clock.
    """

    kind: str
    worker: int
    run: int
    fence: Fence
    expired: bool = False


class Worker(NamedTuple):
    """A worker.

    Attributes:
        process: Number of restarts.
        fence: Highest fence received; commands with a lower one are refused.
        run: Number of the run in progress, 0 for none.
        highest_closed_run: Starts of this run and of earlier runs are refused.
    """

    process: int = 0
    fence: Fence = Fence()
    run: int = 0
    highest_closed_run: int = 0


class Session(NamedTuple):
    """The session of a worker.

    Attributes:
        process: The worker process that it was opened for.
        number: Number of the session in this term.
        has_reported: Whether that process has reported to it.
        is_reachable: Whether the worker may get new runs.
        lists_unwanted_run: Whether its last report listed a run that is being
            stopped, and for which no task waits.
    """

    process: int = 0
    number: int = 0
    has_reported: bool = False
    is_reachable: bool = False
    lists_unwanted_run: bool = False


class Coordinator(NamedTuple):
    """The view that the current coordinator has of the task.

    Attributes:
        term: The coordinator's term.
        state: State of the task chart.
        run: Number of the latest run.
        worker: The worker of the latest run.
        sending: Kind of the command that the worker session repeats until it
            is answered, ``AWAIT_REPORT`` if it waits for a report that settles
            the start, "" for none.
        sessions: The session of each worker.
        late_starts: Workers that may carry out a start without a reply.
        lost_attempt: Whether an attempt to start the latest run got no reply.
    """

    term: int
    state: str
    run: int = 0
    worker: int = 0
    sending: str = NO_COMMAND
    sessions: tuple[Session, ...] = (Session(), Session())
    late_starts: frozenset[int] = frozenset()
    lost_attempt: bool = False


class World(NamedTuple):
    """A state of the model.

    Attributes:
        coordinator: The current coordinator.
        workers: Both workers.
        commands: Commands that may still be delivered.
        recorded_placement: Run and worker that the store holds for the task.
        restarts_left: How many times a worker may still be restarted.
        lapses_left: How many leases may still lapse.
    """

    coordinator: Coordinator
    workers: tuple[Worker, ...] = (Worker(), Worker())
    commands: frozenset[Command] = frozenset()
    recorded_placement: tuple[int, int] = (0, 0)
    restarts_left: int = MAX_RESTARTS
    lapses_left: int = MAX_LAPSES


Steps = Iterator[tuple[str, World]]


def build_model(coverage: Coverage, flaw: Flaw = Flaw.NONE) -> Model:
    """Return the model, or the variant without the rule ``flaw``."""
    invariants = {
        ONE_RUN: lambda world: sum(w.run > 0 for w in world.workers) <= 1,
    }
    initial = World(Coordinator(1, CHART.initial))
    successors = _Successors(coverage, flaw)
    return Model("restarted worker", flaw, initial, successors, invariants)


class _Successors:
    """Returns all steps that may follow a state; called by the checker."""

    def __init__(self, coverage: Coverage, flaw: Flaw) -> None:
        self._coverage = coverage
        self._flaw = flaw

    def __call__(self, world: World) -> Steps:
        for label, successor in self._all_steps(world):
            yield label, self._normalize(successor)

    def _normalize(self, world: World) -> World:
        """Remove commands that will be refused and are not repeated."""
        if world.restarts_left:
            return world
        awaited = self._repeated(world.coordinator)
        return world._replace(
            commands=frozenset(
                command
                for command in world.commands
                if command in awaited
                or command.fence >= world.workers[command.worker].fence
            )
        )

    def _all_steps(self, world: World) -> Steps:
        yield from self._coordinator_steps(world)
        for command in world.commands:
            yield from self._delivery_steps(world, command)
        for index in WORKERS:
            yield from self._poll_steps(world, index)
            yield from self._worker_steps(world, index)
        if world.coordinator.term < MAX_TERMS:
            yield "take over", self._take_over(world)

    def _fire(self, world: World, event: str, **changes: object) -> World:
        coordinator = world.coordinator
        target = self._coverage.step(CHART, coordinator.state, event).target
        changed = coordinator._replace(state=target, **changes)
        return world._replace(coordinator=changed)

    def _fence(self, coordinator: Coordinator, index: int) -> Fence:
        if self._flaw is Flaw.NO_SESSION_FENCE:
            return Fence(coordinator.term)
        return Fence(coordinator.term, coordinator.sessions[index].number)

    def _repeated(self, coordinator: Coordinator) -> frozenset[Command]:
        """Return the command that the session of the latest run repeats."""
        if coordinator.sending not in (START, STOP):
            return frozenset()
        fence = self._fence(coordinator, coordinator.worker)
        return frozenset(
            {Command(coordinator.sending, coordinator.worker, coordinator.run, fence)}
        )

    def _coordinator_steps(self, world: World) -> Steps:
        coordinator = world.coordinator
        if coordinator.state == "waiting" and coordinator.run < MAX_RUNS:
            run = coordinator.run + 1
            # The workers are alike, so that the first run of all may be placed
            # on worker 0 without loss of generality.
            is_first = coordinator.term == 1 and run == 1
            for index in WORKERS[:1] if is_first else WORKERS:
                if coordinator.sessions[index].is_reachable and self._may_place(
                    world, index
                ):
                    placed = self._fire(
                        world,
                        "assign",
                        run=run,
                        worker=index,
                        sending=START,
                        late_starts=coordinator.late_starts | {index},
                        lost_attempt=False,
                    )
                    yield (
                        f"place on worker {index}",
                        placed._replace(recorded_placement=(run, index)),
                    )
        for command in self._repeated(coordinator) - world.commands:
            yield (
                f"send {command.kind}",
                world._replace(commands=world.commands | {command}),
            )
        if coordinator.sending == START:
            abandoned = coordinator._replace(sending=STOP)
            yield (
                "abandon an unanswered start",
                world._replace(coordinator=abandoned),
            )

    def _may_place(self, world: World, index: int) -> bool:
        """Return whether a run may be placed on a worker.

        An answer shows that the worker's process has the fence of the session,
        and which runs it has.
        """
        for other, session in enumerate(world.coordinator.sessions):
            if session.lists_unwanted_run:
                return False
            answers = (
                session.has_reported and session.process == world.workers[other].process
            )
            may_start = other in world.coordinator.late_starts
            holds = may_start and other != index and not answers
            if holds and self._flaw is not Flaw.NO_HOLD:
                return False
        return True

    def _delivery_steps(self, world: World, command: Command) -> Steps:
        index = command.worker
        worker, coordinator = world.workers[index], world.coordinator
        session = coordinator.sessions[index]
        is_repeated = command in self._repeated(coordinator)
        is_polled = session.process == worker.process and session.has_reported
        goes_on_elsewhere = (
            coordinator.state in PLACED_STATES and coordinator.worker != index
        )
        if worker.process and not (
            is_repeated
            or is_polled
            or not goes_on_elsewhere
            or self._flaw is Flaw.NO_FIRST_POLL
        ):
            return
        attempts_in_flight = world.commands
        world = world._replace(commands=world.commands - {command})
        accepted = command.fence >= worker.fence
        if accepted:
            worker = worker._replace(fence=command.fence)
        if accepted and command.kind == START:
            accepted = command.run > worker.highest_closed_run and not command.expired
            # A worker starts no run of a task beside another one.
            accepted = accepted and worker.run in (0, command.run)
            if accepted:
                worker = worker._replace(run=command.run)
        elif accepted:
            # The run in progress continues until it has been stopped.
            worker = worker._replace(
                highest_closed_run=max(worker.highest_closed_run, command.run)
            )
        world = _with_worker(world, index, worker)
        unanswered = coordinator
        if is_repeated and command.kind == START:
            unanswered = coordinator._replace(lost_attempt=True)
        yield (
            f"{command.kind}, reply lost",
            world._replace(coordinator=unanswered),
        )
        if not is_repeated:
            return
        if command.kind == START and accepted:
            late_starts = coordinator.late_starts
            if not coordinator.lost_attempt:
                late_starts -= {index}
            answered = self._fire(
                world, "started", sending=NO_COMMAND, late_starts=late_starts
            )
        else:
            answered = world._replace(
                coordinator=coordinator._replace(sending=AWAIT_REPORT)
            )
        yield f"{command.kind} answered", answered
        if command.kind == START:
            late_starts = coordinator.late_starts | {index}
            yield (
                "start answered, an earlier attempt is in flight",
                answered._replace(
                    coordinator=answered.coordinator._replace(late_starts=late_starts),
                    commands=attempts_in_flight,
                ),
            )

    def _poll_steps(self, world: World, index: int) -> Steps:
        worker, coordinator = world.workers[index], world.coordinator
        session = coordinator.sessions[index]
        fence = self._fence(coordinator, index)
        if worker.fence > fence:
            return
        worker = worker._replace(fence=fence)
        is_placed_here = (
            coordinator.worker == index and coordinator.state in PLACED_STATES
        )
        if session.process != worker.process:
            world = _with_worker(world, index, worker)
            yield (
                f"poll of worker {index} meets another process",
                self._open_session(world, index),
            )
            return
        is_first = not session.has_reported
        world = _with_worker(world, index, worker)
        reported = session._replace(has_reported=True, is_reachable=True)
        world = _with_session(world, index, reported)
        if is_placed_here:
            answers_again = is_first or not session.is_reachable
            world = self._handle_report(world, worker, is_first, answers_again)
        elif worker.run:
            world = self._handle_unwanted_run(world, index)
        elif session.lists_unwanted_run:
            world = _with_session(
                world, index, reported._replace(lists_unwanted_run=False)
            )
        yield f"poll worker {index}", world

    def _handle_unwanted_run(self, world: World, index: int) -> World:
        """Apply a report that lists a run of which no task is placed there.

        The newest run of a waiting task is adopted; others are stopped.
        """
        coordinator, worker = world.coordinator, world.workers[index]
        if coordinator.state == "waiting" and worker.run == coordinator.run:
            adopted = self._fire(world, "assign", worker=index)
            return self._fire(adopted, "started")
        session = coordinator.sessions[index]._replace(lists_unwanted_run=True)
        stopped = worker._replace(
            highest_closed_run=max(worker.highest_closed_run, worker.run)
        )
        return _with_session(_with_worker(world, index, stopped), index, session)

    def _handle_report(
        self, world: World, worker: Worker, is_first: bool, answers_again: bool
    ) -> World:
        """Apply a report of the latest run's worker."""
        coordinator = world.coordinator
        if worker.run == coordinator.run:
            if coordinator.state == "starting":
                return self._fire(world, "started")
            return world
        if coordinator.sending == AWAIT_REPORT:
            # A run that is not listed any more has ended.
            event = "rejected" if coordinator.state == "starting" else "run_interrupted"
            return self._fire(world, event, sending=NO_COMMAND)
        was_running = coordinator.state == "running"
        if is_first or (answers_again and was_running) or _is_closed(world, worker):
            return self._fire(world, "run_interrupted", sending=NO_COMMAND)
        return world

    def _worker_steps(self, world: World, index: int) -> Steps:
        worker, coordinator = world.workers[index], world.coordinator
        session = coordinator.sessions[index]
        if 0 < worker.run <= worker.highest_closed_run:
            stopped = _with_worker(world, index, worker._replace(run=0))
            yield f"run on worker {index} is stopped", stopped
        if world.restarts_left:
            yield f"worker {index} is restarted", self._restart(world, index)
        if session.process != worker.process:
            yield f"entry of worker {index} arrives", self._open_session(world, index)
        if world.lapses_left:
            yield f"lease of worker {index} lapses", self._lapse_lease(world, index)

    def _restart(self, world: World, index: int) -> World:
        process = Worker(world.workers[index].process + 1)
        commands = frozenset(
            # The clock of the new process begins anew.
            command._replace(expired=False) if command.worker == index else command
            for command in world.commands
        )
        return _with_worker(world, index, process)._replace(
            commands=commands, restarts_left=world.restarts_left - 1
        )

    def _open_session(self, world: World, index: int) -> World:
        """Open the session of a new worker process.

        The commands of the session before may still be delivered. The run is
        kept until the new process has reported.
        """
        coordinator = world.coordinator
        session = coordinator.sessions[index]
        opened = Session(world.workers[index].process, session.number + 1)
        if coordinator.worker == index:
            late_commands = world.commands | self._repeated(coordinator)
            world = world._replace(
                coordinator=coordinator._replace(sending=NO_COMMAND),
                commands=late_commands,
            )
            is_confirmed = coordinator.state == "running"
            if is_confirmed and self._flaw is Flaw.EARLY_INTERRUPTION:
                world = self._fire(world, "run_interrupted")
            elif coordinator.state in PLACED_STATES:
                world = self._fire(world, "worker_restarted")
        return _with_session(world, index, opened)

    def _lapse_lease(self, world: World, index: int) -> World:
        """Let the lease of a worker lapse, on its clock and then here."""
        worker, coordinator = world.workers[index], world.coordinator
        highest_closed_run = max(worker.highest_closed_run, worker.run)
        worker = worker._replace(run=0, highest_closed_run=highest_closed_run)
        session = coordinator.sessions[index]._replace(is_reachable=False)
        world = _with_session(_with_worker(world, index, worker), index, session)
        commands = world.commands
        if coordinator.worker == index and coordinator.state in PLACED_STATES:
            commands |= self._repeated(coordinator)
            world = self._fire(world, "run_interrupted", sending=NO_COMMAND)
        return world._replace(
            commands=frozenset(
                command._replace(expired=command.expired or command.worker == index)
                for command in commands
            ),
            lapses_left=world.lapses_left - 1,
        )

    def _take_over(self, world: World) -> World:
        """Let a successor take over that starts from what the store holds."""
        predecessor = world.coordinator
        run, index = world.recorded_placement
        sessions = tuple(Session(s.process) for s in predecessor.sessions)
        successor = Coordinator(
            predecessor.term + 1,
            CHART.initial,
            run,
            index,
            sessions=sessions,
            late_starts=predecessor.late_starts | ({index} if run else set()),
        )
        commands = world.commands | self._repeated(predecessor)
        world = world._replace(coordinator=successor, commands=commands)
        return self._fire(world, "assign") if run else world


def _is_closed(world: World, worker: Worker) -> bool:
    """Return whether the worker lists the end of the latest run."""
    coordinator = world.coordinator
    return (
        coordinator.sending == NO_COMMAND
        and worker.highest_closed_run >= coordinator.run
    )


def _with_worker(world: World, index: int, worker: Worker) -> World:
    return world._replace(workers=replace_at(world.workers, index, worker))


def _with_session(world: World, index: int, session: Session) -> World:
    coordinator = world.coordinator
    sessions = replace_at(coordinator.sessions, index, session)
    return world._replace(coordinator=coordinator._replace(sessions=sessions))
