"""Model of a gang job under two owners, two workers and one job record.

The first owner may pause for ever or wake at any step, because no step of it
is ever forced. A reply that is lost leaves its command in the owner's queue.
"""

from collections.abc import Iterator

from ._scheduler_jobs import CHART as JOB_CHART
from ._spec_common import Coverage, Model
from ._spec_gang_owner import OwnerStep
from ._spec_gang_types import (
    ABSENT,
    ALL_WORKERS,
    CLOSED,
    DONE,
    FINAL,
    GANGS,
    OPEN,
    RELEASE,
    RESERVE,
    RESERVED,
    START,
    STARTED,
    STARTING,
    STOPPED,
    WORKERS,
    Flaw,
    Gang,
    Owner,
    Scenario,
    Worker,
    World,
    replace_at,
)

NO_EARLY_START = "I2: no task starts before every member was reserved"
NO_LATE_START = "I2: no task starts after a member was released"
NOT_RUN_IS_TRUE = "I4: a job that was told not_run never starts"
ALL_LISTED = "I2: the charts list every event that occurs"
AT_MOST_ONCE = "I5: at most one gang of a job starts"

SCENARIOS_BY_NAME = {
    "gang, one owner": Scenario(False, False, 2, 1, drains=True),
    "gang, two owners": Scenario(False, True, 0, 1),
    "gang, worker fault": Scenario(False, True, 1, 0, tasks_end=False),
    "gang, short recovery": Scenario(False, True, 0, 0, patient=False),
    "gang, idempotent": Scenario(True, True, 0, 1),
}
FLAWS = (
    ("gang, short recovery", Flaw.LATE_START_RELEASED, ALL_LISTED),
    ("gang, one owner", Flaw.START_EARLY, NO_EARLY_START),
    ("gang, two owners", Flaw.NO_FENCING, NO_LATE_START),
    ("gang, one owner", Flaw.NOT_RUN_EARLY, NOT_RUN_IS_TRUE),
    ("gang, idempotent", Flaw.FINAL_UNCHECKED, NOT_RUN_IS_TRUE),
    ("gang, worker fault", Flaw.NO_START_RECORD, AT_MOST_ONCE),
)

Steps = Iterator[tuple[str, World]]


def gang_models(coverage: Coverage) -> tuple[Model, ...]:
    """Return the models that must hold."""
    return tuple(
        build_model(coverage, name, scenario)
        for name, scenario in SCENARIOS_BY_NAME.items()
    )


def build_broken_model(coverage: Coverage, name: str, flaw: Flaw) -> Model:
    """Return a scenario with one rule left out."""
    return build_model(coverage, name, SCENARIOS_BY_NAME[name]._replace(flaw=flaw))


def build_model(coverage: Coverage, name: str, scenario: Scenario) -> Model:
    """Return the model of one scenario."""
    invariants = {
        ALL_LISTED: lambda world: not world.unexpected,
        NO_EARLY_START: lambda world: not world.started_early,
        NOT_RUN_IS_TRUE: lambda world: not (world.not_run_told and world.ever_started),
    }
    if scenario.patient:
        # A worker that a new owner gives up while its predecessor reaches it
        # may start its member; such partitions within a domain are excluded.
        invariants[NO_LATE_START] = lambda world: not world.started_late
    if not scenario.idempotent:
        invariants[AT_MOST_ONCE] = lambda world: world.ever_started != 0b11
    successors = _Successors(coverage, scenario)
    return Model(name, scenario.flaw, _initial(scenario), successors, invariants)


def _initial(scenario: Scenario) -> World:
    owner = Owner("queued", True, False, False, -1, (None, None), ALL_WORKERS, True, 1)
    workers = (Worker(1), Worker(1))
    return World(
        (owner, None), workers, OPEN, 1, scenario.faults, scenario.cancellations
    )


class _Successors:
    """All steps that may follow a state."""

    def __init__(self, coverage: Coverage, scenario: Scenario) -> None:
        self._coverage = coverage
        self._scenario = scenario

    def __call__(self, world: World) -> Steps:
        yield from self._environment(world)
        for index, owner in enumerate(world.owners):
            if owner is not None:
                yield from self._decisions(world, index, owner)
                yield from self._store_steps(world, index, owner)
                for worker in WORKERS:
                    yield from self._link_steps(world, index, owner, worker)

    def _environment(self, world: World) -> Steps:
        if self._scenario.takeover and world.owners[1] is None:
            yield "owner 2 takes over", self._take_over(world)
        if self._scenario.drains and not world.draining:
            yield "worker 0 drains", world._replace(draining=True)
        for index, worker in enumerate(world.workers):
            # The workers are alike, so it is enough that one of them fails.
            if world.faults and (index == 0 or not self._scenario.takeover):
                yield f"worker {index} restarts", _fail(world, index, Worker(0))
                lapsed = worker._replace(members=tuple(map(_lapse, worker.members)))
                if lapsed != worker:
                    yield f"lease of worker {index} lapses", _fail(world, index, lapsed)
            for gang_id in GANGS:
                if worker.members[gang_id] == STARTED and self._scenario.tasks_end:
                    done = _with_member(world, index, gang_id, DONE)
                    yield f"worker {index} ends a task", done

    def _take_over(self, world: World) -> World:
        open_job = world.record != FINAL
        recorded = world.record == STARTING
        owner = Owner(
            JOB_CHART.initial if open_job else "",
            open_job,
            recorded,
            recorded or (open_job and self._scenario.idempotent),
            -1,
            (None, None),
            0,
            False,
            world.revision,
        )
        return world._replace(owners=(world.owners[0], owner))

    def _decisions(self, world: World, index: int, owner: Owner) -> Steps:
        step = self._step(owner)
        waits = owner.may_have_run and not owner.recovered
        own_gang_free = owner.gangs[index] is None and not world.ever_reserved[index]
        claimed = owner.linked == ALL_WORKERS
        queued = owner.job == "queued" and owner.known and not waits
        if queued and own_gang_free and claimed:
            step.place(index)
            yield f"owner {index + 1} places", _with_owner(world, index, step)
        active = owner.known and owner.job not in JOB_CHART.final_states
        if world.cancellations and active:
            step = self._step(owner)
            step.cancel()
            after = _with_owner(world, index, step)._replace(cancellations=0)
            yield f"owner {index + 1} cancels", after
        if world.draining and not owner.drain_seen:
            step = self._step(owner)
            step.worker_draining(0)
            yield f"owner {index + 1} sees the drain", _with_owner(world, index, step)
        lost = sum(1 << w for w in WORKERS if world.workers[w].lost_to >> index & 1)
        settled = owner.linked | lost == ALL_WORKERS or not self._scenario.patient
        if not owner.recovered and settled:
            step = self._step(owner)
            step.recovery_ended()
            yield f"owner {index + 1} ends recovery", _with_owner(world, index, step)

    def _store_steps(self, world: World, index: int, owner: Owner) -> Steps:
        name = f"owner {index + 1}"
        unchecked = self._scenario.flaw is Flaw.FINAL_UNCHECKED
        # The start and not_run also compare the owner record.
        is_owner = index == 1 or world.owners[1] is None
        current = owner.revision == world.revision
        if owner.write or owner.job == "not_run":
            current = current and is_owner
        if owner.write == "sent" and not current:
            refused = owner._replace(write="refused")
            yield f"{name}: record refused", _put_owner(world, index, refused)
        elif owner.write == "sent":
            revision = world.revision + 1
            written = owner._replace(write="confirmed", revision=revision)
            after = _put_owner(world, index, written)
            after = after._replace(record=STARTING, revision=revision)
            yield f"{name}: start recorded", after
        elif owner.write:
            step = self._step(owner._replace(write=""))
            step.start_recorded(index, owner.write == "confirmed")
            yield f"{name}: record answered", _with_owner(world, index, step)
        elif owner.job in JOB_CHART.final_states and not owner.record_final:
            final = _put_owner(world, index, owner._replace(record_final=True))
            if unchecked or current:
                told = final.not_run_told or owner.job == "not_run"
                revision = world.revision + 1
                final = final._replace(
                    record=FINAL, revision=revision, not_run_told=told
                )
            yield f"{name}: final record", final

    def _link_steps(self, world: World, index: int, owner: Owner, number: int) -> Steps:
        worker = world.workers[number]
        name = f"owner {index + 1}, worker {number}"
        if worker.lost_to >> index & 1:
            step = self._step(owner)
            step.worker_lost(number)
            seen = worker._replace(lost_to=worker.lost_to & ~(1 << index))
            after = _with_owner(world, index, step)
            workers = replace_at(world.workers, number, seen)
            yield f"{name}: lost", after._replace(workers=workers)
        if not owner.linked >> number & 1 and worker.epoch <= index + 1:
            step = self._step(owner)
            step.worker_claimed(number, worker.members)
            # A worker that one owner reaches is not lost to the other.
            unlinked = sum(
                1 << i
                for i, other in enumerate(world.owners)
                if other is not None and not other.linked >> number & 1
            )
            seen = worker._replace(epoch=index + 1, lost_to=worker.lost_to & ~unlinked)
            after = _with_owner(world, index, step)
            workers = replace_at(world.workers, number, seen)
            yield f"{name}: claimed", after._replace(workers=workers)
        if not self._accepts(worker, index):
            return
        for gang_id, gang in enumerate(owner.gangs):
            if gang is not None and owner.linked >> number & 1:
                yield from self._gang_steps(world, index, gang_id, gang, number)

    def _accepts(self, worker: Worker, index: int) -> bool:
        if self._scenario.flaw is Flaw.NO_FENCING and worker.epoch:
            return True
        return worker.epoch == index + 1

    def _gang_steps(
        self, world: World, index: int, gang_id: int, gang: Gang, number: int
    ) -> Steps:
        name = f"owner {index + 1}, worker {number}, gang {gang_id}"
        state = world.workers[number].members[gang_id]
        if gang.queues[number]:
            command = gang.queues[number][0]
            after, accepted = _execute(world, number, gang_id, command)
            # The command renewed the lease, so the worker is not lost.
            seen = after.workers[number]
            seen = seen._replace(lost_to=seen.lost_to & ~(1 << index))
            workers = replace_at(after.workers, number, seen)
            after = after._replace(workers=workers)
            if after != world:
                yield f"{name}: {command}, reply lost", after
            step = self._answered(after, index, gang_id, number, command, accepted)
            yield f"{name}: {command}", _with_owner(after, index, step)
        if state in (DONE, STOPPED) and not gang.ended >> number & 1:
            step = self._step(world.owners[index])
            step.task_ended(gang_id, number, state == DONE)
            after = _with_owner(world, index, step)
            if after != world:
                yield f"{name}: end reported", after

    def _answered(
        self,
        world: World,
        index: int,
        gang_id: int,
        number: int,
        command: str,
        accepted: bool,
    ) -> OwnerStep:
        owner = world.owners[index]
        gang = owner.gangs[gang_id]
        queues = replace_at(gang.queues, number, gang.queues[number][1:])
        gangs = replace_at(owner.gangs, gang_id, gang._replace(queues=queues))
        step = self._step(owner._replace(gangs=gangs))
        if command == RESERVE:
            step.reserve_answered(gang_id, number, accepted)
        elif command == START:
            step.start_answered(gang_id, number, accepted)
        elif accepted:
            step.release_answered(gang_id, number)
        return step

    def _step(self, owner: Owner) -> OwnerStep:
        return OwnerStep(self._coverage, self._scenario, owner)


def _execute(
    world: World, number: int, gang_id: int, command: str
) -> tuple[World, bool]:
    """Return the state after a command and its answer.

    For a release and a stop, the answer tells whether nothing is held.
    """
    state = world.workers[number].members[gang_id]
    refuses = world.draining and number == 0
    if command == RESERVE and state == ABSENT and not refuses:
        ever = world.ever_reserved[gang_id] | 1 << number
        ever_reserved = replace_at(world.ever_reserved, gang_id, ever)
        after = _with_member(world, number, gang_id, RESERVED)
        return after._replace(ever_reserved=ever_reserved), True
    if command == RESERVE:
        return world, state == RESERVED
    if command == START and state == RESERVED:
        return _start(world, number, gang_id), True
    if command == START:
        return world, state in (STARTED, DONE, STOPPED)
    if state == RESERVED:
        ever = world.ever_released[gang_id] | 1 << number
        ever_released = replace_at(world.ever_released, gang_id, ever)
        after = _with_member(world, number, gang_id, CLOSED)
        return after._replace(ever_released=ever_released), True
    if state == ABSENT:
        return _with_member(world, number, gang_id, CLOSED), True
    if command == RELEASE:
        return world, state != STARTED
    if state == STARTED:
        return _with_member(world, number, gang_id, STOPPED), False
    return world, state == CLOSED


def _start(world: World, number: int, gang_id: int) -> World:
    early = world.ever_reserved[gang_id] != ALL_WORKERS
    late = world.ever_released[gang_id] != 0
    return _with_member(world, number, gang_id, STARTED)._replace(
        ever_started=world.ever_started | 1 << gang_id,
        started_early=world.started_early or early,
        started_late=world.started_late or late,
    )


def _lapse(state: str) -> str:
    return {RESERVED: CLOSED, STARTED: STOPPED}.get(state, state)


def _fail(world: World, number: int, worker: Worker) -> World:
    lost_to = sum(1 << index for index in GANGS if world.owners[index] is not None)
    workers = replace_at(world.workers, number, worker._replace(lost_to=lost_to))
    return world._replace(workers=workers, faults=world.faults - 1)


def _with_member(world: World, number: int, gang_id: int, state: str) -> World:
    worker = world.workers[number]
    worker = worker._replace(members=replace_at(worker.members, gang_id, state))
    return world._replace(workers=replace_at(world.workers, number, worker))


def _with_owner(world: World, index: int, step: OwnerStep) -> World:
    after = _put_owner(world, index, step.owner)
    return after._replace(unexpected=True) if step.unexpected else after


def _put_owner(world: World, index: int, owner: Owner) -> World:
    return world._replace(owners=replace_at(world.owners, index, owner))
