"""Model of a gang job with up to two owners, two workers and one job record.

No step is ever forced, so the first owner may pause at any point, for any
time or for ever, and continue after the takeover. A command whose reply is
lost stays in the queue of its owner, which repeats it.
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
NOT_RUN_NEVER_STARTS = "I4: a job that was reported as not_run never starts"
NO_UNEXPECTED_EVENT = "I2: the charts list every event that occurs"
AT_MOST_ONCE = "I5: at most one gang of a job starts"

ALL_GANGS = 0b11

SCENARIOS_BY_NAME = {
    "gang, one owner": Scenario(False, False, 2, 1, drains=True),
    "gang, two owners": Scenario(False, True, 0, 1),
    "gang, worker fault": Scenario(False, True, 1, 0, tasks_end=False),
    "gang, short recovery": Scenario(False, True, 0, 0, patient=False),
    "gang, idempotent": Scenario(True, True, 0, 1),
}
FLAWS = (
    ("gang, short recovery", Flaw.LATE_START_RELEASED, NO_UNEXPECTED_EVENT),
    ("gang, one owner", Flaw.START_EARLY, NO_EARLY_START),
    ("gang, two owners", Flaw.NO_FENCING, NO_LATE_START),
    ("gang, one owner", Flaw.NOT_RUN_EARLY, NOT_RUN_NEVER_STARTS),
    ("gang, idempotent", Flaw.FINAL_UNCHECKED, NOT_RUN_NEVER_STARTS),
    ("gang, worker fault", Flaw.NO_START_RECORD, AT_MOST_ONCE),
)

Steps = Iterator[tuple[str, World]]


def gang_models(coverage: Coverage) -> tuple[Model, ...]:
    """Return the models of all scenarios, whose properties must hold."""
    return tuple(
        build_model(coverage, name, scenario)
        for name, scenario in SCENARIOS_BY_NAME.items()
    )


def build_broken_model(coverage: Coverage, name: str, flaw: Flaw) -> Model:
    """Return the model of scenario ``name`` without the rule ``flaw``."""
    return build_model(coverage, name, SCENARIOS_BY_NAME[name]._replace(flaw=flaw))


def build_model(coverage: Coverage, name: str, scenario: Scenario) -> Model:
    """Return the model of a scenario, with the properties that apply to it."""
    invariants = {
        NO_UNEXPECTED_EVENT: lambda world: not world.unexpected_event,
        NO_EARLY_START: lambda world: not world.started_early,
        NOT_RUN_NEVER_STARTS: lambda world: (
            not (world.not_run_reported and world.ever_started)
        ),
    }
    if scenario.patient:
        # With a limited recovery, a new owner may treat a worker as lost that
        # the previous owner still reaches, and its member may then start. The
        # protocol excludes such partitions within a failure domain.
        invariants[NO_LATE_START] = lambda world: not world.started_late
    if not scenario.idempotent:
        invariants[AT_MOST_ONCE] = lambda world: world.ever_started != ALL_GANGS
    successors = _Successors(coverage, scenario)
    return Model(name, scenario.flaw, _initial(scenario), successors, invariants)


def _initial(scenario: Scenario) -> World:
    owner = Owner("queued", True, False, False, -1, (None, None), ALL_WORKERS, True, 1)
    workers = (Worker(1), Worker(1))
    return World(
        (owner, None), workers, OPEN, 1, scenario.faults, scenario.cancellations
    )


class _Successors:
    """Returns all steps that may follow a state; called by the checker."""

    def __init__(self, coverage: Coverage, scenario: Scenario) -> None:
        self._coverage = coverage
        self._scenario = scenario

    def __call__(self, world: World) -> Steps:
        yield from self._environment_steps(world)
        for owner_index, owner in enumerate(world.owners):
            if owner is not None:
                yield from self._decision_steps(world, owner_index, owner)
                yield from self._store_steps(world, owner_index, owner)
                for worker_index in WORKERS:
                    yield from self._worker_steps(
                        world, owner_index, owner, worker_index
                    )

    def _environment_steps(self, world: World) -> Steps:
        if self._scenario.takeover and world.owners[1] is None:
            yield "owner 2 takes over", self._take_over(world)
        if self._scenario.drains and not world.draining:
            yield "worker 0 drains", world._replace(draining=True)
        for worker_index, worker in enumerate(world.workers):
            # The workers are symmetric. With two owners, only worker 0 fails,
            # which is enough.
            if world.faults and (worker_index == 0 or not self._scenario.takeover):
                yield (
                    f"worker {worker_index} restarts",
                    _apply_fault(world, worker_index, Worker(0)),
                )
                lapsed = worker._replace(
                    members=tuple(map(_member_after_lapse, worker.members))
                )
                if lapsed != worker:
                    yield (
                        f"lease of worker {worker_index} lapses",
                        _apply_fault(world, worker_index, lapsed),
                    )
            for gang_id in GANGS:
                if worker.members[gang_id] == STARTED and self._scenario.tasks_end:
                    ended = _with_member(world, worker_index, gang_id, DONE)
                    yield f"worker {worker_index} ends a task", ended

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

    def _decision_steps(self, world: World, owner_index: int, owner: Owner) -> Steps:
        step = self._step(owner)
        awaits_recovery = owner.may_have_run and not owner.recovered
        gang_unused = (
            owner.gangs[owner_index] is None and not world.ever_reserved[owner_index]
        )
        all_claimed = owner.claimed_workers == ALL_WORKERS
        queued = owner.job == "queued" and owner.job_known and not awaits_recovery
        if queued and gang_unused and all_claimed:
            step.place(owner_index)
            yield (
                f"owner {owner_index + 1} places",
                _with_step(world, owner_index, step),
            )
        active = owner.job_known and owner.job not in JOB_CHART.final_states
        if world.cancellations and active:
            step = self._step(owner)
            step.cancel()
            after = _with_step(world, owner_index, step)._replace(cancellations=0)
            yield f"owner {owner_index + 1} cancels", after
        if world.draining and not owner.drain_handled:
            step = self._step(owner)
            step.worker_draining(0)
            yield (
                f"owner {owner_index + 1} handles the drain",
                _with_step(world, owner_index, step),
            )
        lost_workers = sum(
            1 << w
            for w in WORKERS
            if world.workers[w].lost_to_owners >> owner_index & 1
        )
        all_claimed_or_lost = (
            owner.claimed_workers | lost_workers == ALL_WORKERS
            or not self._scenario.patient
        )
        if not owner.recovered and all_claimed_or_lost:
            step = self._step(owner)
            step.recovery_ended()
            yield (
                f"owner {owner_index + 1} ends recovery",
                _with_step(world, owner_index, step),
            )

    def _store_steps(self, world: World, owner_index: int, owner: Owner) -> Steps:
        name = f"owner {owner_index + 1}"
        unchecked = self._scenario.flaw is Flaw.FINAL_UNCHECKED
        # Writes of the start and of not_run also compare the owner record.
        is_owner = owner_index == 1 or world.owners[1] is None
        may_write = owner.revision == world.revision
        if owner.start_write or owner.job == "not_run":
            may_write = may_write and is_owner
        if owner.start_write == "sent" and not may_write:
            refused = owner._replace(start_write="refused")
            yield f"{name}: record refused", _with_owner(world, owner_index, refused)
        elif owner.start_write == "sent":
            revision = world.revision + 1
            written = owner._replace(start_write="confirmed", revision=revision)
            after = _with_owner(world, owner_index, written)
            after = after._replace(record=STARTING, revision=revision)
            yield f"{name}: start recorded", after
        elif owner.start_write:
            step = self._step(owner._replace(start_write=""))
            step.start_recorded(owner_index, owner.start_write == "confirmed")
            yield f"{name}: record answered", _with_step(world, owner_index, step)
        elif owner.job in JOB_CHART.final_states and not owner.final_written:
            final = _with_owner(world, owner_index, owner._replace(final_written=True))
            if unchecked or may_write:
                reported = final.not_run_reported or owner.job == "not_run"
                revision = world.revision + 1
                final = final._replace(
                    record=FINAL, revision=revision, not_run_reported=reported
                )
            yield f"{name}: final record", final

    def _worker_steps(
        self, world: World, owner_index: int, owner: Owner, worker_index: int
    ) -> Steps:
        worker = world.workers[worker_index]
        name = f"owner {owner_index + 1}, worker {worker_index}"
        if worker.lost_to_owners >> owner_index & 1:
            step = self._step(owner)
            step.worker_lost(worker_index)
            updated = worker._replace(
                lost_to_owners=worker.lost_to_owners & ~(1 << owner_index)
            )
            after = _with_step(world, owner_index, step)
            workers = replace_at(world.workers, worker_index, updated)
            yield f"{name}: lost", after._replace(workers=workers)
        if (
            not owner.claimed_workers >> worker_index & 1
            and worker.epoch <= owner_index + 1
        ):
            step = self._step(owner)
            step.worker_claimed(worker_index, worker.members)
            # The claim shows that the worker can be reached, so owners that
            # have not claimed it need not treat it as lost.
            owners_without_claim = sum(
                1 << i
                for i, other in enumerate(world.owners)
                if other is not None and not other.claimed_workers >> worker_index & 1
            )
            updated = worker._replace(
                epoch=owner_index + 1,
                lost_to_owners=worker.lost_to_owners & ~owners_without_claim,
            )
            after = _with_step(world, owner_index, step)
            workers = replace_at(world.workers, worker_index, updated)
            yield f"{name}: claimed", after._replace(workers=workers)
        if not self._accepts(worker, owner_index):
            return
        for gang_id, gang in enumerate(owner.gangs):
            if gang is not None and owner.claimed_workers >> worker_index & 1:
                yield from self._command_steps(
                    world, owner_index, gang_id, gang, worker_index
                )

    def _accepts(self, worker: Worker, owner_index: int) -> bool:
        if self._scenario.flaw is Flaw.NO_FENCING and worker.epoch:
            return True
        return worker.epoch == owner_index + 1

    def _command_steps(
        self,
        world: World,
        owner_index: int,
        gang_id: int,
        gang: Gang,
        worker_index: int,
    ) -> Steps:
        name = f"owner {owner_index + 1}, worker {worker_index}, gang {gang_id}"
        state = world.workers[worker_index].members[gang_id]
        if gang.queues[worker_index]:
            command = gang.queues[worker_index][0]
            after, accepted = _execute(world, worker_index, gang_id, command)
            # The command renewed the lease of the worker, so the owner need
            # not treat it as lost.
            updated = after.workers[worker_index]
            updated = updated._replace(
                lost_to_owners=updated.lost_to_owners & ~(1 << owner_index)
            )
            workers = replace_at(after.workers, worker_index, updated)
            after = after._replace(workers=workers)
            if after != world:
                yield f"{name}: {command}, reply lost", after
            step = self._handle_reply(
                after, owner_index, gang_id, worker_index, command, accepted
            )
            yield f"{name}: {command}", _with_step(after, owner_index, step)
        if state in (DONE, STOPPED) and not gang.ended >> worker_index & 1:
            step = self._step(world.owners[owner_index])
            step.task_ended(gang_id, worker_index, state == DONE)
            after = _with_step(world, owner_index, step)
            if after != world:
                yield f"{name}: end reported", after

    def _handle_reply(
        self,
        world: World,
        owner_index: int,
        gang_id: int,
        worker_index: int,
        command: str,
        accepted: bool,
    ) -> OwnerStep:
        owner = world.owners[owner_index]
        gang = owner.gangs[gang_id]
        queues = replace_at(gang.queues, worker_index, gang.queues[worker_index][1:])
        gangs = replace_at(owner.gangs, gang_id, gang._replace(queues=queues))
        step = self._step(owner._replace(gangs=gangs))
        if command == RESERVE:
            step.reserve_answered(gang_id, worker_index, accepted)
        elif command == START:
            step.start_answered(gang_id, worker_index, accepted)
        elif accepted:
            step.release_answered(gang_id, worker_index)
        return step

    def _step(self, owner: Owner) -> OwnerStep:
        return OwnerStep(self._coverage, self._scenario, owner)


def _execute(
    world: World, worker_index: int, gang_id: int, command: str
) -> tuple[World, bool]:
    """Execute a command at a worker.

    Returns:
        The world after the command, and the reply. The reply to a reservation
        or start is whether it was accepted; the reply to a release or stop is
        whether the worker holds nothing of the gang any more.
    """
    state = world.workers[worker_index].members[gang_id]
    refuses_reservations = world.draining and worker_index == 0
    if command == RESERVE and state == ABSENT and not refuses_reservations:
        worker_mask = world.ever_reserved[gang_id] | 1 << worker_index
        ever_reserved = replace_at(world.ever_reserved, gang_id, worker_mask)
        after = _with_member(world, worker_index, gang_id, RESERVED)
        return after._replace(ever_reserved=ever_reserved), True
    if command == RESERVE:
        return world, state == RESERVED
    if command == START and state == RESERVED:
        return _start(world, worker_index, gang_id), True
    if command == START:
        return world, state in (STARTED, DONE, STOPPED)
    if state == RESERVED:
        worker_mask = world.ever_released[gang_id] | 1 << worker_index
        ever_released = replace_at(world.ever_released, gang_id, worker_mask)
        after = _with_member(world, worker_index, gang_id, CLOSED)
        return after._replace(ever_released=ever_released), True
    if state == ABSENT:
        return _with_member(world, worker_index, gang_id, CLOSED), True
    if command == RELEASE:
        return world, state != STARTED
    if state == STARTED:
        return _with_member(world, worker_index, gang_id, STOPPED), False
    return world, state == CLOSED


def _start(world: World, worker_index: int, gang_id: int) -> World:
    early = world.ever_reserved[gang_id] != ALL_WORKERS
    late = world.ever_released[gang_id] != 0
    return _with_member(world, worker_index, gang_id, STARTED)._replace(
        ever_started=world.ever_started | 1 << gang_id,
        started_early=world.started_early or early,
        started_late=world.started_late or late,
    )


def _member_after_lapse(state: str) -> str:
    return {RESERVED: CLOSED, STARTED: STOPPED}.get(state, state)


def _apply_fault(world: World, worker_index: int, worker: Worker) -> World:
    lost_to_owners = sum(
        1 << owner_index
        for owner_index in GANGS
        if world.owners[owner_index] is not None
    )
    workers = replace_at(
        world.workers, worker_index, worker._replace(lost_to_owners=lost_to_owners)
    )
    return world._replace(workers=workers, faults=world.faults - 1)


def _with_member(world: World, worker_index: int, gang_id: int, state: str) -> World:
    worker = world.workers[worker_index]
    worker = worker._replace(members=replace_at(worker.members, gang_id, state))
    return world._replace(workers=replace_at(world.workers, worker_index, worker))


def _with_step(world: World, owner_index: int, step: OwnerStep) -> World:
    after = _with_owner(world, owner_index, step.owner)
    return after._replace(unexpected_event=True) if step.unexpected_event else after


def _with_owner(world: World, owner_index: int, owner: Owner) -> World:
    return world._replace(owners=replace_at(world.owners, owner_index, owner))
