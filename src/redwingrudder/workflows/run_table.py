"""The runs of all tasks: transitions, capacity and effects."""

import logging
from collections.abc import Callable

from .model import (
    FINAL_STATES,
    Effect,
    RunReport,
    StartRun,
    StopRun,
    TaskKey,
)
from .run_times import RunTimeEstimates
from .state import (
    TASK_CHART,
    Stage,
    Task,
    Worker,
    WorkflowProgress,
)
from .throttling import FULL_SPEED_PERCENT

# Runs of one term; a successor numbers its runs above all that this term can
# have used without a record of each.
RUNS_PER_TERM = 1000
# Failures in a row after which a worker gets no work for a while.
QUARANTINE_FAILURES = 2
QUARANTINE_S = 4.0

_logger = logging.getLogger(__name__)


class RunTable:
    """Workflows, workers and runs, and the moves that keep them consistent.

    Attributes:
        dirty: Ids of workflows whose progress differs from its record.
        effects: What is to be carried out.
        term: Number of the coordinator's term.
        run_times: Expected run times.
    """

    def __init__(self) -> None:
        self.workflows_by_id: dict[str, WorkflowProgress] = {}
        self.workers_by_id: dict[str, Worker] = {}
        self.dirty: set[str] = set()
        self.effects: list[Effect] = []
        self.term = 1
        self.run_times = RunTimeEstimates()
        self._actions: dict[str, Callable[[Task], None]] = {
            "occupy": self._occupy,
            "release": self._release,
            "count_failure": self._count_failure,
        }

    def find(self, key: TaskKey) -> Task | None:
        """Return a task, None if it is unknown."""
        progress = self.workflows_by_id.get(key.workflow_id)
        return progress.find(key) if progress is not None else None

    def current(self, key: TaskKey, run: int) -> Task | None:
        """Return a task that has not ended if a run is its newest."""
        task = self.find(key)
        if task is None or task.run != run or task.ended:
            return None
        return task

    def take_effects(self) -> list[Effect]:
        """Return the effects decided since the last call."""
        effects, self.effects = self.effects, []
        return effects

    def assign(
        self, task: Task, worker: Worker, runs_by_stage: dict[int, int], now: float
    ) -> None:
        """Begin a run of a task on a worker."""
        stage = task.stage
        if stage.spec.gang:
            run = runs_by_stage.get(id(stage), 0) or self._next_run(
                max(member.run for member in stage.tasks)
            )
            runs_by_stage[id(stage)] = run
            checkpoint = stage.tasks[0].checkpoint
        else:
            run = self._next_run(task.run)
            checkpoint = task.checkpoint
        task.run = run
        task.worker_id = worker.facts.worker_id
        task.percent = 0.0
        task.run_resumed = bool(checkpoint)
        task.speed_percent = FULL_SPEED_PERCENT
        task.begin(now)
        self.step(task, "assign", now)
        workflow = stage.workflow
        workflow.begun = True
        _logger.info(
            "run placed",
            extra={
                **run_log_fields(task),
                "run": run,
                "worker": task.worker_id,
                "waited_s": round(now - (stage.ready_at or now), 3),
                "resumed": bool(checkpoint),
            },
        )
        self.effects.append(
            StartRun(
                task.worker_id,
                task.key,
                run,
                workflow.workflow.payload,
                checkpoint if stage.spec.checkpoints else "",
                self._ticket(stage, task.worker_id),
            )
        )

    def step(self, task: Task, event: str, now: float) -> None:
        """Take a transition of the task's chart."""
        transition = TASK_CHART.step(task.state, event)
        changed = transition.target != task.state
        for action in transition.actions:
            self._actions[action](task)
        task.state = transition.target
        if changed:
            self.dirty.add(task.key.workflow_id)
        cancelled = task.stage.workflow.ended_at is not None
        if cancelled and task.state == "waiting":
            task.state = TASK_CHART.step("waiting", "withdraw").target

    def stop(self, task: Task, reason: str) -> None:
        """Stop the run of a task."""
        if task.state not in ("starting", "running"):
            return
        _logger.info(
            "run stopped",
            extra={**run_log_fields(task), "worker": task.worker_id, "reason": reason},
        )
        self.effects.append(StopRun(task.worker_id, task.key, task.run))
        self.step(task, "stop", 0.0)

    def stop_gang(self, stage: Stage, run: int) -> None:
        """Stop the other members of a gang's run."""
        if stage.spec.gang:
            for member in stage.tasks:
                if member.run == run:
                    self.stop(member, "gang_incomplete")

    def stop_stray(self, worker_id: str, entry: RunReport, task: Task) -> None:
        """Stop a run that is not the newest of its task."""
        if entry.run <= task.run or task.ended:
            self.effects.append(StopRun(worker_id, entry.key, entry.run))

    def withdraw(self, progress: WorkflowProgress, now: float) -> None:
        """End waiting tasks and stop the runs of a workflow."""
        for task in progress.tasks():
            if task.state in ("starting", "running"):
                self.effects.append(StopRun(task.worker_id, task.key, task.run))
                self.step(task, "withdraw", now)
            elif task.state == "waiting":
                self.step(task, "withdraw", now)
        self.settle(progress, now)

    def settle(self, progress: WorkflowProgress, now: float) -> None:
        """Take note of a workflow's end, if it has come."""
        self.dirty.add(progress.workflow.workflow_id)
        state = progress.state
        if progress.ended_at is None and state in FINAL_STATES:
            progress.ended_at = now
            _logger.info(
                "workflow ended",
                extra={
                    "job": progress.workflow.workflow_id,
                    "organisation": progress.workflow.organisation,
                    "queue": progress.workflow.queue,
                    "state": str(state),
                    "after_s": round(now - progress.accepted_mono, 3),
                },
            )

    def keep_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Keep the newest saved state; a gang shares one, with its first."""
        if checkpoint:
            record_client = task.stage.tasks[0] if task.stage.spec.gang else task
            record_client.checkpoint = checkpoint

    def record_worker_failure(self, worker_id: str, task: Task, now: float) -> None:
        """Count a failure against a worker unless the task fails anywhere."""
        worker = self.workers_by_id.get(worker_id)
        if worker is None or len(task.failed_workers) > 1:
            return
        if task.stage.spec.service:
            return
        worker.failures += 1
        worker.failed_at = now
        if worker.failures >= QUARANTINE_FAILURES:
            worker.quarantined_until = now + QUARANTINE_S
            _logger.warning(
                "worker quarantined",
                extra={"worker": worker_id, "failures": worker.failures},
            )

    def give_up_if_exhausted(self, stage: Stage, task: Task, now: float) -> None:
        """End a workflow as failed after the last attempt at a task."""
        limit = stage.workflow.workflow.policy.attempts
        failures = (stage.tasks[0] if stage.spec.gang else task).failures
        if failures < limit or task.state != "waiting":
            return
        _logger.info(
            "attempts exhausted", extra={**run_log_fields(task), "failures": failures}
        )
        self.step(task, "give_up", now)
        self.withdraw(stage.workflow, now)

    def _ticket(self, stage: Stage, worker_id: str) -> str:
        permit = stage.permits_by_worker.get(worker_id)
        return permit.ticket if permit is not None else ""

    def _next_run(self, last: int) -> int:
        return max(last, (self.term - 1) * RUNS_PER_TERM) + 1

    def _occupy(self, task: Task) -> None:
        self.workers_by_id[task.worker_id].add(task)

    def _release(self, task: Task) -> None:
        worker = self.workers_by_id.get(task.worker_id)
        if worker is not None:
            worker.remove(task)

    def _count_failure(self, task: Task) -> None:
        """Count a failed run; of a gang once, with its first member."""
        stage = task.stage
        if not stage.spec.gang:
            task.failures += 1
        elif task.run not in stage.failed_runs:
            stage.failed_runs.add(task.run)
            stage.tasks[0].failures += 1


def run_log_fields(task: Task) -> dict[str, object]:
    """Return the log fields of a task."""
    return {
        "job": task.key.workflow_id,
        "task": f"{task.key.occurrence}.{task.key.step}.{task.key.index}",
    }
