"""Model of one workflow task, two workers and successive coordinators.

A command that was sent stays in a set until it is delivered. Commands may be
delivered at any later time and in any sequence, and replies may be lost. A
worker that has accepted a stop continues the run for a while, and a worker
that is cut off from the coordinator continues it until its lease lapses. A
coordinator knows the end of a run before the end is recorded.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from ._spec_common import Coverage, Model
from .workflows.state import TASK_CHART as CHART

ONE_RUN = "I5: one run of a task at a time"
NO_RUN_AFTER_END = "I5: no run begins after an end that was acknowledged"

MAX_RUNS = 2
MAX_TERMS = 2
MAX_CUTS = 1
MAX_SILENCES = 1
WORKERS = (0, 1)
START, STOP, NO_COMMAND = "start", "stop", ""
AWAIT_REPORT = "await report"  # no command: the session waits for a report
PLACED_STATES = ("starting", "running", "stopping")


class Flaw(enum.StrEnum):
    """A rule of the protocol that a broken variant of the model leaves out."""

    NONE = ""
    NO_RECORD = "a start is sent before its placement is recorded"
    NO_FENCE = "a poll does not raise the worker's fence"
    NO_STOP = "an unanswered start is abandoned without a stop"
    NO_POLL = "a start is abandoned without a poll for the end of its run"
    STOP_IS_END = "an answered stop is taken for the end of its run"
    EARLY_REPORT = "a report made before the answer to a stop settles a start"
    DROP_STARTS = "a poll after a silence drops a run whose start is in flight"
    EARLY_LAPSE = "a lease is treated as lapsed too early"
    ACKNOWLEDGE_FIRST = "an end is acknowledged before it is recorded"
    ACKNOWLEDGE_KNOWN = "an end that changes nothing in memory is acknowledged at once"


FLAWS = (
    (Flaw.NO_RECORD, ONE_RUN),
    (Flaw.NO_FENCE, ONE_RUN),
    (Flaw.NO_STOP, ONE_RUN),
    (Flaw.NO_POLL, NO_RUN_AFTER_END),
    (Flaw.STOP_IS_END, ONE_RUN),
    (Flaw.EARLY_REPORT, ONE_RUN),
    (Flaw.DROP_STARTS, ONE_RUN),
    (Flaw.EARLY_LAPSE, ONE_RUN),
    (Flaw.ACKNOWLEDGE_FIRST, NO_RUN_AFTER_END),
    (Flaw.ACKNOWLEDGE_KNOWN, NO_RUN_AFTER_END),
)


class Command(NamedTuple):
    """A command to start or stop a run, in flight to a worker.

    ``fence`` is the term of the coordinator that sent it.
    """

    kind: str
    worker: int
    run: int
    fence: int


class Worker(NamedTuple):
    """A worker.

    Attributes:
        fence: Highest term received; commands with a lower fence are refused.
        run: Number of the run in progress, 0 for none.
        highest_closed_run: Starts of this run and of earlier runs are refused.
            A run in progress that is not higher is being stopped.
        stopped_run: Number of a run that has ended after a stop and whose end
            was not reported, 0 for none.
        unacknowledged_run: Number of a run that is done and whose end was
            not acknowledged, 0 for none.
        cut_off: Whether the worker is cut off from all coordinators.
    """

    fence: int = 0
    run: int = 0
    highest_closed_run: int = 0
    stopped_run: int = 0
    unacknowledged_run: int = 0
    cut_off: bool = False


class Coordinator(NamedTuple):
    """The view that the current coordinator has of the task.

    Attributes:
        term: The coordinator's term, used as the fence of its commands.
        state: State of the task chart.
        run: Number of the latest run.
        worker: The worker of the latest run.
        sending: Kind of the command that the worker session repeats for a
            start until it is answered, ``AWAIT_REPORT`` if it waits for a
            report that settles the start, "" for none.
        stop_ordered: Whether the session also repeats a stop that the engine
            has ordered.
        has_reported: For each worker, whether it reported in this term.
        unresponsive: For each worker, whether it has stopped answering since
            its last report.
    """

    term: int
    state: str
    run: int = 0
    worker: int = 0
    sending: str = NO_COMMAND
    stop_ordered: bool = False
    has_reported: tuple[bool, bool] = (False, False)
    unresponsive: tuple[bool, bool] = (False, False)


class World(NamedTuple):
    """A state of the model.

    Attributes:
        coordinator: The current coordinator.
        workers: Both workers.
        commands: Commands that may still be delivered.
        recorded_placement: Run and worker that the store holds for the task.
        end_recorded: Whether the store holds the end of the task.
        end_acknowledged: Whether an end was acknowledged to a worker.
        ran_after_end: Whether a run began after an end was acknowledged.
        ran_beside: Whether a run began on a worker beside another run.
        has_early_report: Whether a report without the latest run, made before
            the stop of its start was answered, is on its way. Only the variant
            that accepts such a report needs it.
        cuts_left: Network cuts that may still begin.
        silences_left: How many times a worker may still stop answering.
    """

    coordinator: Coordinator
    workers: tuple[Worker, Worker] = (Worker(), Worker())
    commands: frozenset[Command] = frozenset()
    recorded_placement: tuple[int, int] = (0, 0)
    end_recorded: bool = False
    end_acknowledged: bool = False
    ran_after_end: bool = False
    ran_beside: bool = False
    has_early_report: bool = False
    cuts_left: int = MAX_CUTS
    silences_left: int = MAX_SILENCES


Steps = Iterator[tuple[str, World]]


def build_model(coverage: Coverage, flaw: Flaw = Flaw.NONE) -> Model:
    """Return the model, or the variant without the rule ``flaw``."""
    invariants = {
        ONE_RUN: lambda world: (
            not world.ran_beside and sum(w.run > 0 for w in world.workers) <= 1
        ),
        NO_RUN_AFTER_END: lambda world: not world.ran_after_end,
    }
    initial = World(Coordinator(1, CHART.initial))
    return Model("workflow", flaw, initial, _Successors(coverage, flaw), invariants)


class _Successors:
    """Returns all steps that may follow a state; called by the checker."""

    def __init__(self, coverage: Coverage, flaw: Flaw) -> None:
        self._coverage = coverage
        self._flaw = flaw

    def __call__(self, world: World) -> Steps:
        for label, successor in self._all_steps(world):
            yield label, _normalize(successor)

    def _all_steps(self, world: World) -> Steps:
        yield from self._coordinator_steps(world)
        for command in world.commands:
            yield from self._delivery_steps(world, command)
        for index in WORKERS:
            yield from self._poll_steps(world, index)
            yield from self._worker_steps(world, index)
        yield from self._takeover_steps(world)
        if self._flaw is Flaw.EARLY_REPORT:
            yield from self._early_report_steps(world)

    def _fire(self, coordinator: Coordinator, event: str) -> Coordinator:
        target = self._coverage.step(CHART, coordinator.state, event).target
        return coordinator._replace(state=target)

    def _is_final(self, coordinator: Coordinator) -> bool:
        return coordinator.state in CHART.final_states

    def _coordinator_steps(self, world: World) -> Steps:
        coordinator = world.coordinator
        if coordinator.state == "waiting" and coordinator.run < MAX_RUNS:
            # The workers are alike, so that the first run of all may be placed
            # on worker 0 without loss of generality.
            is_first = coordinator.term == 1 and not coordinator.run
            for index in WORKERS[:1] if is_first else WORKERS:
                if (
                    coordinator.has_reported[index]
                    and not coordinator.unresponsive[index]
                ):
                    yield from self._placement_steps(world, index)
        for command in _repeated_commands(coordinator):
            if command not in world.commands:
                yield (
                    f"send {command.kind}",
                    world._replace(commands=world.commands | {command}),
                )
        if coordinator.sending == START and not self._is_final(coordinator):
            if self._flaw is Flaw.NO_STOP:
                without_start = self._fire(coordinator, "rejected")._replace(
                    sending=NO_COMMAND
                )
            else:
                without_start = coordinator._replace(sending=STOP)
            yield (
                "abandon an unanswered start",
                world._replace(coordinator=without_start),
            )
        if coordinator.state in ("starting", "running"):
            stopping = self._fire(coordinator, "stop")._replace(stop_ordered=True)
            yield "order a stop", world._replace(coordinator=stopping)
        if self._is_final(coordinator) and not world.end_recorded:
            yield "record the end", world._replace(end_recorded=True)

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

    def _delivery_steps(self, world: World, command: Command) -> Steps:
        worker = world.workers[command.worker]
        if worker.cut_off:
            return
        world = world._replace(commands=world.commands - {command})
        accepted = command.fence >= worker.fence
        if accepted:
            worker = worker._replace(fence=command.fence)
        begins = False
        if accepted and command.kind == START:
            accepted = command.run > worker.highest_closed_run
            begins = accepted and worker.run != command.run
            if begins and worker.run:
                world = world._replace(ran_beside=True)
            worker = worker._replace(run=command.run if begins else worker.run)
        elif accepted:
            # The run in progress continues until it has been stopped.
            worker = worker._replace(
                highest_closed_run=max(worker.highest_closed_run, command.run)
            )
        world = _with_worker(world, command.worker, worker)
        world = world._replace(
            ran_after_end=world.ran_after_end or (begins and world.end_acknowledged)
        )
        yield f"{command.kind}, reply lost", world
        coordinator = world.coordinator
        if command not in _repeated_commands(coordinator):
            return
        if command.kind == coordinator.sending:
            settled = coordinator._replace(sending=NO_COMMAND)
            if coordinator.state in PLACED_STATES:
                settled = self._handle_reply(settled, command, accepted)
            yield f"{command.kind} answered", world._replace(coordinator=settled)
        if command.kind == STOP and coordinator.stop_ordered:
            coordinator = coordinator._replace(stop_ordered=False)
            yield "ordered stop answered", world._replace(coordinator=coordinator)

    def _handle_reply(
        self, coordinator: Coordinator, command: Command, accepted: bool
    ) -> Coordinator:
        if command.kind == START and accepted:
            return self._fire(coordinator, "started")
        if self._flaw is Flaw.NO_POLL:
            return self._fire(coordinator, "rejected")
        # The run may be in progress, or may have ended already; a report that
        # is made from now on shows it.
        return coordinator._replace(sending=AWAIT_REPORT)

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
        was_final = self._is_final(coordinator)
        world = world._replace(coordinator=coordinator)
        if worker.unacknowledged_run and not was_final:
            world = self._end_run(world, "run_done")
        elif coordinator.worker == index and coordinator.state in PLACED_STATES:
            world = self._handle_report(world, worker, first_report, answers_again)
        world = _with_worker(world, index, worker._replace(stopped_run=0))
        if not worker.unacknowledged_run:
            yield f"poll worker {index}", world
        elif world.end_recorded:
            yield "acknowledge a recorded end", self._acknowledge(world, index)
        elif self._flaw is Flaw.ACKNOWLEDGE_FIRST or (
            self._flaw is Flaw.ACKNOWLEDGE_KNOWN and was_final
        ):
            yield "acknowledge an end", self._acknowledge(world, index)
        else:
            yield "report an end", world

    def _handle_report(
        self, world: World, worker: Worker, first_report: bool, answers_again: bool
    ) -> World:
        """Apply a report of the latest run's worker that lists no new end."""
        coordinator = world.coordinator
        is_listed = worker.run == coordinator.run
        if is_listed and coordinator.state == "starting":
            coordinator = self._fire(coordinator, "started")
            world = world._replace(coordinator=coordinator)
        if worker.stopped_run == coordinator.run:
            return self._end_run(world, "run_interrupted")
        is_settled = not is_listed or self._flaw is Flaw.STOP_IS_END
        if coordinator.sending == AWAIT_REPORT and is_settled:
            return self._settle_start(world)
        if is_listed or not answers_again:
            return world
        if self._flaw is Flaw.DROP_STARTS and coordinator.sending == START:
            # The session continues to send the start of the dropped run.
            world = world._replace(
                commands=world.commands.union(_repeated_commands(coordinator))
            )
            return self._end_run(world, "run_interrupted")
        if first_report or coordinator.state == "running":
            return self._end_run(world, "run_interrupted")
        return world

    def _settle_start(self, world: World) -> World:
        coordinator = self._fire(world.coordinator, "rejected")
        coordinator = coordinator._replace(sending=NO_COMMAND)
        if coordinator.state == "waiting":
            coordinator = coordinator._replace(stop_ordered=False)
        return world._replace(coordinator=coordinator, has_early_report=False)

    def _end_run(self, world: World, event: str) -> World:
        coordinator = self._fire(world.coordinator, event)
        coordinator = coordinator._replace(sending=NO_COMMAND, stop_ordered=False)
        return world._replace(coordinator=coordinator, has_early_report=False)

    def _early_report_steps(self, world: World) -> Steps:
        coordinator = world.coordinator
        is_listed = world.workers[coordinator.worker].run == coordinator.run
        if coordinator.sending == STOP and not is_listed:
            yield "a report is delayed", world._replace(has_early_report=True)
        if coordinator.sending == AWAIT_REPORT and world.has_early_report:
            yield "the delayed report arrives", self._settle_start(world)

    def _acknowledge(self, world: World, index: int) -> World:
        worker = world.workers[index]._replace(unacknowledged_run=0)
        return _with_worker(world, index, worker)._replace(end_acknowledged=True)

    def _worker_steps(self, world: World, index: int) -> Steps:
        worker, coordinator = world.workers[index], world.coordinator
        if worker.run:
            finished = worker._replace(
                run=0,
                highest_closed_run=max(worker.highest_closed_run, worker.run),
                stopped_run=0,
                unacknowledged_run=worker.run,
            )
            yield f"run on worker {index} is done", _with_worker(world, index, finished)
        if 0 < worker.run <= worker.highest_closed_run:
            stopped = worker._replace(run=0, stopped_run=worker.run)
            yield (
                f"run on worker {index} is stopped",
                _with_worker(world, index, stopped),
            )
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
            and not self._is_final(coordinator)
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
                run=0,
                highest_closed_run=highest_closed_run,
                stopped_run=0,
                unacknowledged_run=0,
            )
            world = world._replace(
                commands=frozenset(
                    command
                    for command in world.commands
                    if command.worker != index or command.kind != START
                )
            )
        world = _with_worker(world, index, worker)
        if coordinator.worker == index and coordinator.state in PLACED_STATES:
            world = self._end_run(world, "run_interrupted")
        return world

    def _takeover_steps(self, world: World) -> Steps:
        """Let a successor take over.

        The successor starts from what the store holds. Commands of its
        predecessor may still be delivered later.
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
        commands = world.commands.union(_repeated_commands(predecessor))
        yield (
            "take over",
            world._replace(
                coordinator=successor, commands=commands, has_early_report=False
            ),
        )


def _repeated_commands(coordinator: Coordinator) -> frozenset[Command]:
    """Return the commands that the session of the latest run repeats."""
    kinds = {coordinator.sending} - {NO_COMMAND, AWAIT_REPORT}
    if coordinator.stop_ordered:
        kinds.add(STOP)
    return frozenset(
        Command(kind, coordinator.worker, coordinator.run, coordinator.term)
        for kind in kinds
    )


def _normalize(world: World) -> World:
    """Merge states that allow the same further steps.

    Commands are removed that cannot have an effect any more and whose answer
    the session does not wait for. After the end of the task it is irrelevant
    which workers have reported.
    """
    coordinator = world.coordinator
    awaited = _repeated_commands(coordinator)
    commands = frozenset(
        command
        for command in world.commands
        if command in awaited
        or _may_have_effect(command, world.workers[command.worker])
    )
    if coordinator.state in CHART.final_states:
        coordinator = coordinator._replace(
            has_reported=(False, False), unresponsive=(False, False)
        )
    return world._replace(commands=commands, coordinator=coordinator)


def _may_have_effect(command: Command, worker: Worker) -> bool:
    is_closed = command.run <= worker.highest_closed_run
    return command.fence > worker.fence or (
        command.fence == worker.fence and not is_closed
    )


def _with_worker(world: World, index: int, worker: Worker) -> World:
    workers = list(world.workers)
    workers[index] = worker
    return world._replace(workers=(workers[0], workers[1]))


def _replace_flag(
    flags: tuple[bool, bool], index: int, value: bool
) -> tuple[bool, bool]:
    return (value, flags[1]) if index == 0 else (flags[0], value)
