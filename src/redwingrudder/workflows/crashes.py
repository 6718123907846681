"""Attribution of worker crashes to the tasks that ran on the workers.

A crash interrupts all runs of a worker, and at most a few of them can be its
cause. A run that had gone on for some time is not suspected, unless that
happens to its task again and again. A suspected task next runs where no other
run can be the cause, so that a second crash is conclusive, and a task that
stood beside the cause is cleared by a run that does not crash its worker.
"""

from collections.abc import Container, Iterable, Iterator

from ..statecharts import load_chart
from .model import TaskKey
from .placement import fits_when_empty, max_tasks_on_worker
from .state import Stage, Task, Worker, WorkflowProgress, resources_used

SUSPICION_CHART = load_chart(
    "crash_suspicion",
    frozenset({"suspect", "sole_suspect", "proved_harmless"}),
    frozenset(),
)
# A task that crashes its worker does so within this time after its start.
PROOF_RUN_S = 0.5
# Number of crashes under a task after which it is suspected although each of
# its runs had gone on for longer. It then stays apart until its run has ended.
MAX_UNEXPLAINED_CRASHES = 3
# A worker that crashes twice within this time may do so by its own fault.
CRASH_PRONE_S = 20.0
# Number of crashes under confirmed runs before a task can be guilty.
MIN_CRASHES = 2
# Number of crashes after which a task that is the only suspect is guilty, even
# if its workers had crashed before or had not confirmed its starts.
CONCLUSIVE_CRASHES = 3
# Time after a crash for which a suspect waits for room on a worker that has
# not crashed recently.
ISOLATION_WAIT_S = 2.0


def suspicion_holder(task: Task) -> Task:
    """Return the task that stores the suspicion; gangs share the first's."""
    return task.stage.tasks[0] if task.stage.spec.gang else task


def is_suspected(task: Task) -> bool:
    """Return whether the task or its gang is suspected."""
    return suspicion_holder(task).suspicion == "suspected"


def is_guilty(task: Task) -> bool:
    """Return whether the task or its gang must not be started again."""
    return suspicion_holder(task).suspicion == "guilty"


def has_proved_harmless(task: Task) -> bool:
    """Return whether the worker has reported the run long after its start."""
    return (
        task.state in ("running", "stopping")
        and task.reported_at - task.started_at >= PROOF_RUN_S
    )


def step_suspicion(task: Task, event: str) -> None:
    """Apply an event of ``SUSPICION_CHART`` to a task or its gang."""
    holder = suspicion_holder(task)
    holder.suspicion = SUSPICION_CHART.step(holder.suspicion, event).target
    suspects = holder.stage.workflow.suspects_by_key
    if holder.suspicion == "suspected":
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


def record_crash(
    worker: Worker,
    now: float,
    unanswered_starts: Container[tuple[TaskKey, int]],
    certain: bool = True,
) -> list[Task]:
    """Attribute a crash to the runs of a worker.

    Runs that the worker has certainly not started are left out, and those of
    guilty tasks, which are being stopped.

    Args:
        worker: The worker, still with its runs and the time of its previous
            crash.
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
        if (run.run_confirmed or (run.key, run.run) in unanswered_starts)
        and not is_guilty(run)
    ]
    runs.sort(key=lambda run: not run.run_confirmed)
    causes = [r for r in runs if is_suspected(r) or not has_proved_harmless(r)]
    suspects = _one_per_gang(causes)
    for task in _one_per_gang(runs) if certain else suspects:
        holder = suspicion_holder(task)
        if task.run_confirmed and certain:
            holder.crashes += 1
        else:
            holder.possible_crashes += 1
    for task in suspects:
        task.stage.crashed_at = now
        is_proof = len(suspects) == 1 and _is_conclusive(task, worker, now)
        step_suspicion(task, "sole_suspect" if is_proof else "suspect")
    for task in _one_per_gang(runs):
        crashes = suspicion_holder(task).crashes
        if crashes >= MAX_UNEXPLAINED_CRASHES and not is_guilty(task):
            step_suspicion(task, "suspect")
    return suspects


def _is_conclusive(task: Task, worker: Worker, now: float) -> bool:
    """Return whether a crash with only this suspect can prove its guilt.

    Args:
        task: The task, with this crash counted.
        worker: Its worker, with the time of the previous crash.
        now: Node-clock seconds.
    """
    holder = suspicion_holder(task)
    if holder.crashes + holder.possible_crashes >= CONCLUSIVE_CRASHES:
        return True
    return holder.crashes >= MIN_CRASHES and not is_crash_prone(worker, now)


def clear_if_harmless(task: Task, has_ended: bool = False) -> bool:
    """End the suspicion of a task whose run has proved harmless.

    Args:
        task: The task.
        has_ended: Whether its worker has reported that the run ended by
            itself.

    Returns:
        Whether the task or its gang was suspected before.
    """
    if not is_suspected(task):
        return False
    if not has_ended:
        if suspicion_holder(task).crashes >= MAX_UNEXPLAINED_CRASHES:
            return False
        members = task.stage.tasks if task.stage.spec.gang else [task]
        if not all(has_proved_harmless(member) for member in members):
            return False
    step_suspicion(task, "proved_harmless")
    return True


def startable_suspects(stage: Stage, waiting: list[Task]) -> list[Task]:
    """Return which waiting tasks of a step may start beside its suspects.

    Tasks of a step are alike. While one of them is suspected, the others wait
    for its outcome, so that each does not crash workers of its own.
    """
    if stage.spec.gang or not stage.workflow.suspects_by_key:
        return waiting
    suspects = [t for t in stage.tasks if is_suspected(t) and not t.ended]
    if not suspects:
        return waiting
    if any(task.placed for task in suspects):
        return []
    return [task for task in waiting if is_suspected(task)][:1]


def isolation_candidates(
    workers: Iterable[Worker], stage: Stage, count: int, busy_ids: set[str], now: float
) -> list[Worker]:
    """Return the workers on which a suspected task can be observed.

    A worker with a run that may itself be the cause of a crash is left out.
    A crash is conclusive on a worker that has not crashed recently, so such
    workers are waited for. Those near the input data come first, and idle
    ones, as the least work is lost there.

    Args:
        workers: Workers that may run the step.
        stage: The step.
        count: Number of tasks to start.
        busy_ids: Workers that get other runs in this planning pass.
        now: Node-clock seconds.
    """
    candidates = list(workers)
    if now - stage.crashed_at < ISOLATION_WAIT_S:
        calm = [worker for worker in candidates if not is_crash_prone(worker, now)]
        if fits_when_empty(stage, count, calm):
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
    fitting = [worker for worker in quiet if worker.free.covers(demand)]
    best = min(
        fitting,
        key=lambda worker: (
            is_crash_prone(worker, now),
            bool(rack) and worker.facts.rack != rack,
            len(worker.tasks_by_key),
        ),
        default=None,
    )
    return [best] if best is not None else quiet


def _one_per_gang(tasks: list[Task]) -> list[Task]:
    """Return the tasks without further members of the same gang."""
    by_holder = {suspicion_holder(task).key: task for task in reversed(tasks)}
    return list(by_holder.values())
