"""Attribution of worker crashes to the tasks that ran on the workers.

A crash interrupts all runs of a worker, and at most a few of them can be its
cause. A run that had gone on for some time is not suspected, unless that
happens to its task again and again. A suspected task next runs where no other
run can be the cause, so that further crashes are conclusive, and a task that
stood beside the cause is cleared by a run that does not crash its worker.
A worker that falls silent may have crashed or be cut off: the tasks that it
had just started are suspected, but it is evidence only once its process is
known to have ended. Crashes that have a common cause outside the tasks are
evidence against none (``crash_evidence``), so the verdict waits until they
would have been seen.
"""

import math
from collections.abc import Container, Iterable, Iterator, Mapping

from ..statecharts import load_chart
from .crash_evidence import (
    CrashHistory,
    WorkerCrash,
    add_evidence,
    discount_starts,
    drop_silent_evidence,
    latest_end,
    refute_evidence,
    settle_silence,
    suspicion_holder,
    valid_evidence_by_run,
)
from .model import TaskKey
from .room import max_tasks_on_worker, may_find_room
from .state import (
    CrashEvidence,
    Stage,
    Task,
    Worker,
    WorkflowProgress,
    resources_used,
)

SUSPICION_CHART = load_chart(
    "crash_suspicion",
    frozenset(
        {
            "suspect",
            "evidence_sufficient",
            "proved_harmless",
            "evidence_refuted",
            "evidence_complete",
            "evidence_withdrawn",
        }
    ),
    frozenset(),
)
# A task that crashes its worker does so within this time after its start.
PROOF_RUN_S = 0.5
# Number of runs with crashes after which a task is suspected although each of
# them had gone on for longer. It stays apart until it has run for
# ``APART_RUN_S``.
MAX_UNEXPLAINED_CRASHES = 3
APART_RUN_S = 30.0
# A worker that crashes twice within this time may do so by its own fault.
CRASH_PRONE_S = 20.0
# Number of runs with crashes just after their starts that make a task guilty,
# and of the workers that crashed independently of each other.
CONCLUSIVE_CRASHED_RUNS = 3
MIN_CRASHED_WORKERS = 2
# Number of such runs that is enough on one worker alone, or beside other
# causes of the crashes. No task may crash more workers.
MAX_CRASHED_RUNS = 5
# Time for which the next start waits once that many workers have crashed or
# fallen silent under a task, so that it can be told which of them crashed.
SILENCE_WAIT_S = 60.0
# Time after a crash for which a suspect waits for room on a worker that has
# not crashed recently.
ISOLATION_WAIT_S = 2.0


def is_suspected(task: Task) -> bool:
    """Return whether the task or its gang is suspected."""
    return suspicion_holder(task).suspicion in ("suspected", "accused")


def is_accused(task: Task) -> bool:
    """Return whether a verdict on the task or its gang is awaited."""
    return suspicion_holder(task).suspicion == "accused"


def is_guilty(task: Task) -> bool:
    """Return whether the task or its gang must not be started again."""
    return suspicion_holder(task).suspicion == "guilty"


def has_proved_harmless(task: Task) -> bool:
    """Return whether the worker has reported the run long after its start."""
    return _reported_s(task) >= PROOF_RUN_S


def _reported_s(task: Task) -> float:
    """Return for how many seconds the worker has reported the run."""
    if task.state not in ("running", "stopping"):
        return 0.0
    return task.reported_at - task.started_at


def _has_just_started(task: Task) -> bool:
    """Return whether the run may have begun within ``PROOF_RUN_S``.

    One that an earlier coordinator placed may have gone on for long.
    """
    return not task.run_adopted and not has_proved_harmless(task)


def step_suspicion(task: Task, event: str) -> None:
    """Apply an event of ``SUSPICION_CHART`` to a task or its gang."""
    holder = suspicion_holder(task)
    holder.suspicion = SUSPICION_CHART.step(holder.suspicion, event).target
    suspects = holder.stage.workflow.suspects_by_key
    if is_suspected(holder):
        suspects[holder.key] = holder
    else:
        suspects.pop(holder.key, None)


def suspected_runs(workflows: Iterable[WorkflowProgress]) -> Iterator[Task]:
    """Yield the tasks with a run that is suspected, with all gang members."""
    for workflow in workflows:
        for holder in workflow.suspects_by_key.values():
            members = holder.stage.tasks if holder.stage.spec.gang else [holder]
            yield from (task for task in members if task.placed)


def is_crash_prone(worker: Worker, now: float) -> bool:
    """Return whether the worker, or an earlier one there, crashed recently."""
    return now - worker.crashed_at < CRASH_PRONE_S


def suspicion_holders(workflows: Iterable[WorkflowProgress]) -> list[Task]:
    """Return the suspected tasks; of a gang, the first task."""
    return [
        holder for workflow in workflows for holder in workflow.suspects_by_key.values()
    ]


def record_crash(
    worker: Worker,
    history: CrashHistory,
    now: float,
    unanswered_starts: Container[tuple[TaskKey, int]],
    certain: bool = True,
) -> list[Task]:
    """Attribute a crash to the runs of a worker.

    Runs that the worker has certainly not started are left out. Those of
    guilty tasks, which are being stopped, and those that an earlier
    coordinator placed explain the crash without being suspected of it.

    Args:
        worker: The worker, still with its runs and the time of its previous
            crash.
        history: Receives the crash.
        now: Node-clock seconds.
        unanswered_starts: Runs whose starts the worker may have received.
        certain: Whether the worker's process is known to have ended. It may
            have been cut off otherwise.

    Returns:
        The tasks that are suspected; of each gang, the first member found.
    """
    runs = [
        run
        for run in worker.tasks_by_key.values()
        if run.run_confirmed
        or (run.run_adopted and is_suspected(run))
        or (run.key, run.run) in unanswered_starts
    ]
    runs.sort(key=lambda run: not run.run_confirmed)
    causes = [
        run
        for run in runs
        if is_suspected(run) or is_guilty(run) or _has_just_started(run)
    ]
    # Not suspected, as most of these runs are harmless.
    adopted = [run for run in worker.tasks_by_key.values() if run.run_adopted]
    unproved = [run for run in adopted if not has_proved_harmless(run)]
    crash = WorkerCrash(
        worker.facts.worker_id,
        worker.heard_at,
        latest_end(worker.heard_at, now, any(run.run_confirmed for run in causes)),
        now,
        _holder_keys([*causes, *unproved]),
        _holder_keys(worker.tasks_by_key.values()),
    )
    history.add(crash)
    suspects = _one_per_gang([task for task in causes if not is_guilty(task)])
    open_runs = _one_per_gang([task for task in runs if not is_guilty(task)])
    for task in open_runs if certain else suspects:
        holder = suspicion_holder(task)
        is_cause = holder.key in crash.causes
        # Of an adopted run it is not known when its start was confirmed.
        is_start_known = not (is_cause and task.run_adopted)
        add_evidence(
            holder,
            task.run,
            crash,
            worker.facts,
            certain,
            start_confirmed=task.run_confirmed and is_start_known,
            suspect=is_cause and not _has_outlasted_start(task),
            alone=is_cause and len(suspects) == 1,
        )
        if not is_cause:
            # Evidence against suspects is refuted by ``settle_suspicion``.
            refute_evidence(holder, history)
    for task in suspects:
        task.stage.crashed_at = now
        task.stage.harmless_suspects = 0
        step_suspicion(task, "suspect")
        if _is_proved(suspicion_holder(task)):
            step_suspicion(task, "evidence_sufficient")
    for task in open_runs:
        if _crashed_runs(task) >= MAX_UNEXPLAINED_CRASHES:
            step_suspicion(task, "suspect")
    # A run of an earlier term may have begun just before the crash, so it
    # counts towards the limit until another run goes on.
    for task in _one_per_gang(unproved):
        if is_suspected(task) or is_guilty(task):
            continue
        holder = suspicion_holder(task)
        add_evidence(holder, task.run, crash, worker.facts, certain, undated=True)
        if _possible_crashes(holder) >= MAX_UNEXPLAINED_CRASHES:
            step_suspicion(task, "suspect")
    return suspects


def settle_suspicion(
    holder: Task,
    history: CrashHistory,
    workers_by_id: Mapping[str, Worker],
    now: float,
) -> bool:
    """Decide what the present evidence means for a suspected task or gang.

    Args:
        holder: The task, or the first task of the gang.
        history: The crashes of workers.
        workers_by_id: All workers.
        now: Node-clock seconds.

    Returns:
        Whether the suspicion or its evidence has changed.
    """
    changed = settle_silence(holder, workers_by_id, now)
    if changed and not holder.crash_evidence_by_run:
        step_suspicion(holder, "evidence_withdrawn")
        return True
    changed |= refute_evidence(holder, history)
    is_proved = _is_proved(holder)
    must_wait = is_proved or _awaits_silent_workers(holder, now)
    if must_wait != is_accused(holder):
        event = "evidence_sufficient" if must_wait else "evidence_refuted"
        step_suspicion(holder, event)
        changed = True
    if not is_proved or history.awaits_evidence(holder, workers_by_id.values(), now):
        return changed
    step_suspicion(holder, "evidence_complete")
    return True


def has_silent_workers(holder: Task) -> bool:
    """Return whether silent workers may have crashed under a task."""
    return any(e.silent for e in holder.crash_evidence_by_run.values())


def _crashed_runs(task: Task) -> int:
    """Return the number of confirmed runs whose crashes are evidence."""
    valid = valid_evidence_by_run(suspicion_holder(task))
    return sum(evidence.confirmed for evidence in valid.values())


def _has_outlasted_start(task: Task) -> bool:
    """Return whether a run, or that of a whole gang, has proved harmless."""
    members = task.stage.tasks if task.stage.spec.gang else [task]
    return all(has_proved_harmless(member) for member in members)


def _is_proved(holder: Task) -> bool:
    """Return whether crashes just after starts prove that the task is guilty.

    Workers that only fell silent prove nothing, nor does one that crashes
    again and again. A run that had gone on is no evidence, as any worker may
    crash at any time.
    """
    if has_crashed_limit(holder):
        return True
    valid = valid_evidence_by_run(holder)
    crashes = [e for _, e in sorted(valid.items()) if e.certain and e.suspect]
    return (
        any(evidence.alone for evidence in crashes)
        and len(crashes) >= CONCLUSIVE_CRASHED_RUNS
        and _independent_crashes(crashes) >= MIN_CRASHED_WORKERS
    )


def has_crashed_limit(holder: Task) -> bool:
    """Return whether a task may crash no more workers, by whatever cause."""
    evidence = holder.crash_evidence_by_run.values()
    return sum(map(_counts_towards_limit, evidence)) >= MAX_CRASHED_RUNS


def _counts_towards_limit(evidence: CrashEvidence) -> bool:
    return evidence.certain and (evidence.suspect or evidence.undated)


def _possible_crashes(holder: Task) -> int:
    """Return the number of runs that count if silent workers have crashed."""
    return sum(
        _counts_towards_limit(evidence)
        or any(process.suspect or process.undated for process in evidence.silent)
        for evidence in holder.crash_evidence_by_run.values()
    )


def _independent_crashes(crashes: list[CrashEvidence]) -> int:
    """Return the number of crashes without repeated ones of a worker.

    Args:
        crashes: The crashes in the order of their runs. A worker that crashes
            again within ``CRASH_PRONE_S`` after it came back, or after an
            unknown time, may do so by its own fault.
    """
    count = 0
    back_at_by_address: dict[str, float] = {}
    for crash in crashes:
        is_heard = math.isfinite(crash.first_heard_at)
        crashed_at = crash.ended_by if is_heard else crash.seen_at
        repeated = {
            address
            for address in crash.addresses
            if address in back_at_by_address
            and not _are_apart(back_at_by_address[address], crashed_at)
        }
        # Records of earlier releases name no workers.
        count += not crash.addresses or repeated != crash.addresses
        back_at_by_address.update(dict.fromkeys(crash.addresses, crash.seen_at))
    return count


def _are_apart(back_at: float, crashed_at: float) -> bool:
    """Return whether two crashes of a worker are separate ones."""
    return math.isfinite(back_at) and crashed_at - back_at >= CRASH_PRONE_S


def _awaits_silent_workers(holder: Task, now: float) -> bool:
    """Return whether the next start could crash one worker too many.

    That is so if each of the workers that are silent has crashed. A common
    cause of crashes does not show that the task is not another one.
    """
    return _possible_crashes(holder) >= MAX_CRASHED_RUNS and any(
        evidence.silent and now - evidence.seen_at < SILENCE_WAIT_S
        for evidence in holder.crash_evidence_by_run.values()
    )


def clear_if_harmless(task: Task, has_ended: bool = False) -> bool:
    """End the suspicion of a task whose run has proved harmless.

    If the run has gone on for ``PROOF_RUN_S``, the starts of earlier runs are
    no longer taken for the cause of their crashes. In any case, workers that
    only fell silent are not counted any more.

    Args:
        task: The task.
        has_ended: Whether its worker has reported that the run ended by
            itself.

    Returns:
        Whether the suspicion or its evidence has changed.
    """
    if not is_suspected(task):
        return _drop_undated(task)
    members = task.stage.tasks if task.stage.spec.gang else [task]
    has_gone_on = _has_outlasted_start(task)
    is_unexplained = _crashed_runs(task) >= MAX_UNEXPLAINED_CRASHES
    needed_s = APART_RUN_S if is_unexplained else PROOF_RUN_S
    if not has_ended and not all(_reported_s(member) >= needed_s for member in members):
        return False
    drop_silent_evidence(suspicion_holder(task))
    if has_gone_on:
        discount_starts(suspicion_holder(task))
    step_suspicion(task, "proved_harmless")
    task.stage.harmless_suspects += 1
    return True


def _drop_undated(task: Task) -> bool:
    """Drop what counts against a task without suspicion once a run goes on."""
    holder = suspicion_holder(task)
    if not _possible_crashes(holder) or not _has_outlasted_start(task):
        return False
    drop_silent_evidence(holder)
    discount_starts(holder)
    return True


def startable_suspects(
    stage: Stage, waiting: list[Task], workers_by_id: Mapping[str, Worker]
) -> list[Task]:
    """Return which waiting tasks of a step may start beside its suspects.

    Tasks of a step are alike. While one of them is suspected, the others wait
    for its outcome, so that each does not crash workers of its own. Each one
    that proves harmless lets one more suspect be observed at the same time,
    until the next crash. So does one whose worker has fallen silent, since
    its outcome is known only once the worker's lease has lapsed; further such
    ones do not, as they may have crashed their workers. If only such suspects
    are left and others have proved harmless, the step goes on. If none of the
    suspects can be started or answers, other tasks of the step are observed
    instead. A task or gang that is accused waits for the verdict.

    Args:
        stage: The step.
        waiting: Its tasks that wait and could start.
        workers_by_id: All workers.
    """
    if not stage.workflow.suspects_by_key:
        return waiting
    if stage.spec.gang:
        return [] if is_accused(stage.tasks[0]) else waiting
    suspects = [t for t in stage.tasks if is_suspected(t) and not t.ended]
    if not suspects:
        return waiting
    if any(is_accused(task) for task in suspects):
        return []
    placed = [task for task in suspects if task.placed]
    silent = [
        task
        for task in placed
        if task.worker_id in workers_by_id
        and not workers_by_id[task.worker_id].reachable
    ]
    if stage.harmless_suspects and len(silent) == len(suspects):
        return waiting
    startable = [task for task in waiting if is_suspected(task)]
    if startable or len(silent) < len(placed):
        count = max(1 + stage.harmless_suspects + bool(silent) - len(placed), 0)
        return startable[:count]
    return waiting[: _observable_siblings(stage)]


def _observable_siblings(stage: Stage) -> int:
    """Return how many tasks may start while no suspect can be observed.

    Each run that has proved harmless lets one more be observed.
    """
    siblings = [task for task in stage.tasks if task.placed and not is_suspected(task)]
    harmless = sum(has_proved_harmless(task) for task in siblings)
    return max(1 + 2 * harmless - len(siblings), 0)


def isolation_candidates(
    workers: Iterable[Worker],
    stage: Stage,
    count: int,
    busy_ids: set[str],
    now: float,
    lent: bool = False,
) -> list[Worker]:
    """Return the workers on which a suspected task can be observed.

    A worker with a run that may itself be the cause of a crash is left out.
    A crash says more on a worker that has not crashed recently, so such
    workers are waited for. Those that have not crashed under the step come
    first, then those near the input data, those that are not on trial, and
    idle ones, as the least work is lost there.

    Args:
        workers: Workers that may run the step.
        stage: The step.
        count: Number of tasks to start.
        busy_ids: Workers that get other runs in this planning pass.
        now: Node-clock seconds.
        lent: Whether capacity that is reserved for other steps may be used.
    """
    candidates = list(workers)
    if now - stage.crashed_at < ISOLATION_WAIT_S:
        calm = [worker for worker in candidates if not is_crash_prone(worker, now)]
        if may_find_room(stage, count, calm):
            candidates = calm
    quiet = [
        worker
        for worker in candidates
        if worker.facts.worker_id not in busy_ids
        and all(has_proved_harmless(run) for run in worker.tasks_by_key.values())
        and max_tasks_on_worker(stage, worker, 1)
    ]
    if stage.spec.gang:
        return quiet
    demand = resources_used(stage.spec)
    rack = stage.spec.data_rack
    fitting = [
        worker
        for worker in quiet
        if (worker.unclaimed if lent else worker.free).covers(demand)
    ]
    crashed_addresses = {
        address
        for holder in stage.tasks
        for evidence in holder.crash_evidence_by_run.values()
        for address in evidence.addresses
    }
    best = min(
        fitting,
        key=lambda worker: (
            worker.facts.address in crashed_addresses,
            is_crash_prone(worker, now),
            bool(rack) and worker.facts.rack != rack,
            worker.start_trials.on_trial,
            len(worker.tasks_by_key),
        ),
        default=None,
    )
    return [best] if best is not None else quiet


def _one_per_gang(tasks: list[Task]) -> list[Task]:
    """Return the tasks without further members of the same gang."""
    by_holder = {suspicion_holder(task).key: task for task in reversed(tasks)}
    return list(by_holder.values())


def _holder_keys(tasks: Iterable[Task]) -> frozenset[TaskKey]:
    return frozenset(suspicion_holder(task).key for task in tasks)
