"""The engine: events in, effects out, no input or output of its own."""

import logging
from collections.abc import Callable, Iterable

from .model import (
    FINAL_STATES,
    AskAdvice,
    Effect,
    EndKind,
    PaceRun,
    RunEnd,
    RunReport,
    StartRun,
    StopRun,
    TaskKey,
    WorkerFacts,
    Workflow,
    WorkflowState,
)
from .pacing import FULL_PACE, MeasuredHarmPolicy, PacePolicy
from .planner import Planner, PriorityPlanner
from .speeds import SpeedBook, is_slow, note_speed, pays_to_restart
from .state import (
    TASK_CHART,
    Permit,
    Stage,
    Task,
    Worker,
    WorkflowProgress,
    room_taken,
)

# Runs of one term; a successor numbers its runs above all that this term can
# have used without a record of each.
RUNS_PER_TERM = 1000
# Failures in a row after which a worker gets no work for a while.
QUARANTINE_FAILURES = 2
QUARANTINE_S = 4.0
# A start takes a moment, so a ticket is not used in the last part of its time.
TICKET_SHARE = 0.8
# A run whose progress stands still this long is stuck; a run that is six
# times slower than usual still gains a percent a second.
STUCK_S = 3.0

_logger = logging.getLogger(__name__)
_END_EVENTS = {EndKind.DONE: "run_done", EndKind.FAILED: "run_failed"}


class Engine:
    """Keeps workflows and workers and decides what runs where.

    Args:
        planner: Decides on starts and stops.

    Attributes:
        dirty: Ids of workflows whose progress differs from its record.
    """

    def __init__(self, planner: Planner | None = None) -> None:
        self.workflows_by_id: dict[str, WorkflowProgress] = {}
        self.workers_by_id: dict[str, Worker] = {}
        self.guaranteed_by_organisation: dict[str, int] = {}
        self.dirty: set[str] = set()
        self.term = 1
        self.speeds = SpeedBook()
        self._pace_policy: PacePolicy = MeasuredHarmPolicy()
        self._planner = planner or PriorityPlanner(self.speeds)
        self._effects: list[Effect] = []
        self._actions: dict[str, Callable[[Task], None]] = {
            "occupy": self._occupy,
            "release": self._release,
            "count_failure": self._count_failure,
        }

    def accept(self, workflow: Workflow, now: float) -> WorkflowProgress:
        """Take over a stored workflow; a known id changes nothing."""
        known = self.workflows_by_id.get(workflow.workflow_id)
        if known is not None:
            return known
        progress = WorkflowProgress(workflow, now)
        self.workflows_by_id[workflow.workflow_id] = progress
        for stage in progress.occurrences[0].stages:
            self.speeds.note_estimate(stage)
        return progress

    def cancel(self, workflow_id: str, now: float) -> None:
        """Withdraw a workflow: waiting tasks end, runs are stopped."""
        progress = self.workflows_by_id.get(workflow_id)
        if progress is None or progress.ended_at is not None:
            return
        progress.cancelled = True
        self._withdraw(progress, now)

    def set_worker(self, facts: WorkerFacts, now: float) -> None:
        """Take over the registry's entry of a worker."""
        worker = self.workers_by_id.get(facts.worker_id)
        if worker is None:
            self.workers_by_id[facts.worker_id] = Worker(facts)
            return
        if facts.born_ms and worker.facts.born_ms != facts.born_ms:
            self.interrupt_worker(facts.worker_id, now, "worker_restarted")
            worker.failures = worker.successes = 0
            worker.quarantined_until = 0.0
        worker.facts = facts
        worker.listed = True

    def interrupt_worker(self, worker_id: str, now: float, reason: str) -> None:
        """Take note that nothing runs on a worker any more."""
        worker = self.workers_by_id.get(worker_id)
        if worker is None:
            return
        for task in list(worker.tasks_by_key.values()):
            _logger.info(
                "run lost with its worker",
                extra={**_where(task), "worker": worker_id, "reason": reason},
            )
            self._step(task, "run_interrupted", now)

    def remove_worker(self, worker_id: str, now: float, reason: str) -> None:
        """Forget a worker that is surely gone."""
        self.interrupt_worker(worker_id, now, reason)
        self.workers_by_id.pop(worker_id, None)

    def is_starting(self, key: TaskKey, run: int) -> bool:
        """Return whether a run is still to be started."""
        task = self._current(key, run)
        return task is not None and task.state == "starting"

    def start_confirmed(self, key: TaskKey, run: int, now: float) -> None:
        """Take note that a worker began a run."""
        task = self._current(key, run)
        if task is not None:
            task.started_at = task.progressed_at = task.reported_at = now
            self._step(task, "started", now)

    def start_rejected(self, key: TaskKey, run: int, reason: str, now: float) -> None:
        """Take note that a run will never begin."""
        task = self._current(key, run)
        if task is None:
            return
        _logger.info("start rejected", extra={**_where(task), "reason": reason})
        if reason == "permit":
            task.stage.permits_by_worker.pop(task.worker_id, None)
        self._step(task, "rejected", now)
        self._stop_gang(task.stage, run)

    def report(self, worker_id: str, running: Iterable[RunReport], now: float) -> None:
        """Take over the progress of the runs that a worker lists."""
        for entry in running:
            task = self._find(entry.key)
            if task is None:
                continue
            if task.run != entry.run or task.worker_id != worker_id:
                self._stop_stray(worker_id, entry, task)
                continue
            if task.state == "starting":
                self.start_confirmed(entry.key, entry.run, now)
            self._keep_checkpoint(task, entry.checkpoint)
            if entry.percent != task.percent:
                task.progressed_at = now
            task.percent = entry.percent
            task.reported_at = now
            task.usage = entry.usage
        worker = self.workers_by_id.get(worker_id)
        if worker is not None:
            note_speed(worker, self.speeds, now)

    def end(self, worker_id: str, ended: RunEnd, now: float) -> str | None:
        """Take over the end of a run.

        Returns:
            The id of the workflow whose record must hold the end before the
            worker may forget it, or None for an end that changes nothing.
        """
        task = self._find(ended.key)
        if task is None:
            return None
        current = task.run == ended.run and task.worker_id == worker_id
        _logger.info(
            "run ended",
            extra={
                **_where(task),
                "run": ended.run,
                "worker": worker_id,
                "end": str(ended.kind),
                "current": current,
            },
        )
        if ended.kind is EndKind.DONE and not task.stage.spec.service:
            return self._end_done(task, worker_id, current, now)
        if not current or task.ended or not task.placed:
            return None
        self._keep_checkpoint(task, ended.checkpoint)
        if ended.kind is EndKind.FAILED:
            task.failed_workers.add(worker_id)
            self._blame(worker_id, task, now)
        event = _END_EVENTS.get(ended.kind, "run_interrupted")
        if task.stage.spec.service:
            # Service tasks start again however they end.
            event = "run_interrupted"
        self._step(task, event, now)
        self._after_failure(task, ended.kind, now)
        return ended.key.workflow_id

    def plan(self, now: float, wall: float) -> list[Effect]:
        """Decide on starts and stops and return all pending effects."""
        active = [p for p in self.workflows_by_id.values() if p.ended_at is None]
        decision = self._planner.plan(
            active,
            list(self.workers_by_id.values()),
            self.guaranteed_by_organisation,
            now,
            wall,
        )
        for task in decision.stops:
            self._stop(task, "preempted")
        for stage, names in decision.questions:
            stage.question_open = True
            workflow_id = stage.workflow.workflow.workflow_id
            self._effects.append(
                AskAdvice(workflow_id, stage.occurrence, stage.index, names)
            )
        runs_by_stage: dict[int, int] = {}
        for task, worker in decision.starts:
            self._assign(task, worker, runs_by_stage, now)
        return self.take_effects()

    def take_effects(self) -> list[Effect]:
        """Return the effects decided since the last call."""
        effects, self._effects = self._effects, []
        return effects

    def take_advice(
        self,
        question: AskAdvice,
        tickets: dict[str, str] | None,
        valid_s: float,
        now: float,
    ) -> None:
        """Take over the answer of the advice service.

        Args:
            question: What was asked.
            tickets: Ticket by worker that may run the step; None if the
                service gave no answer.
            valid_s: For how long the tickets hold.
            now: Steady-clock seconds of the question.
        """
        progress = self.workflows_by_id.get(question.workflow_id)
        if progress is None:
            return
        stage = progress.occurrences[question.occurrence].stages[question.step]
        stage.question_open = False
        if tickets is None:
            return
        until = now + valid_s * TICKET_SHARE
        for worker_id in question.worker_ids:
            if worker_id in tickets:
                stage.permits_by_worker[worker_id] = Permit(tickets[worker_id], until)
            else:
                stage.denied_workers.add(worker_id)

    def pace(self, now: float) -> None:
        """Adjust the pace of filling tasks to the harm that is measured."""
        for worker in self.workers_by_id.values():
            for change in self._pace_policy.changes(worker, now):
                task = change.task
                task.pace = change.percent
                _logger.info(
                    "pace changed",
                    extra={
                        **_where(task),
                        "worker": task.worker_id,
                        "percent": change.percent,
                    },
                )
                self._effects.append(
                    PaceRun(task.worker_id, task.key, task.run, change.percent)
                )

    def pace_lost(self, key: TaskKey, run: int) -> None:
        """Take note that a change of pace may not have taken effect."""
        task = self._current(key, run)
        if task is not None:
            task.pace = FULL_PACE

    def stop_stuck(self, now: float) -> None:
        """Stop runs that stand still or crawl, to start them elsewhere."""
        for worker in self.workers_by_id.values():
            for task in list(worker.tasks_by_key.values()):
                if task.state != "running":
                    continue
                if self._is_stuck(task, worker, now):
                    self._blame(worker.facts.worker_id, task, now)
                    self._stop(task, "no_progress")
                elif is_slow(worker) and pays_to_restart(task, self.speeds):
                    task.stage.restarts += 1
                    self._stop(task, "slow_worker")
                    self._stop_gang(task.stage, task.run)

    def adopt_run(
        self, key: TaskKey, run: int, worker_id: str, started: bool, now: float
    ) -> None:
        """Restore a run that a record or a worker names."""
        task = self._find(key)
        if task is None or task.ended:
            return
        if task.placed:
            if task.worker_id == worker_id and task.run == run and started:
                self._step(task, "started", now)
            return
        if worker_id not in self.workers_by_id:
            return
        task.run, task.worker_id = run, worker_id
        task.started_at = task.progressed_at = task.reported_at = now
        self._step(task, "assign", now)
        if started:
            self._step(task, "started", now)
        task.stage.workflow.begun = True

    def reconcile(
        self, worker_id: str, present: set[tuple[TaskKey, int]], now: float
    ) -> None:
        """Drop recorded runs that a worker does not list.

        Called after the fence was raised there, so that a start which is
        still on its way will be rejected.
        """
        worker = self.workers_by_id.get(worker_id)
        for task in list(worker.tasks_by_key.values()) if worker else ():
            if (task.key, task.run) not in present:
                self._step(task, "run_interrupted", now)

    def close(self, workflow_id: str, state: WorkflowState, now: float) -> None:
        """Take over a final state from a record."""
        progress = self.workflows_by_id[workflow_id]
        progress.ended_at = now
        progress.cancelled = state is WorkflowState.CANCELLED
        for task in progress.tasks():
            if task.state == "waiting":
                event = "give_up" if state is WorkflowState.FAILED else "withdraw"
                task.state = TASK_CHART.step("waiting", event).target

    def queue_length(self, queue: str) -> int:
        """Return the accepted workflows of a queue without a started task."""
        return sum(
            1
            for progress in self.workflows_by_id.values()
            if progress.workflow.queue == queue
            and not progress.begun
            and progress.ended_at is None
        )

    def _end_done(
        self, task: Task, worker_id: str, current: bool, now: float
    ) -> str | None:
        if task.ended:
            return None
        worker = self.workers_by_id.get(worker_id)
        if worker is not None:
            worker.successes += 1
            worker.failures = 0
        if current and task.state == "running":
            self.speeds.note_end(task, now)
        # A gang ends as a whole, and one listed end stands for all members.
        members = task.stage.tasks if task.stage.spec.gang else [task]
        for member in members:
            if member is not task and member.placed and member.run != task.run:
                continue
            if not current and member.placed:
                self._stop(member, "done_elsewhere")
            self._step(member, "run_done", now)
        self._settle(task.stage.workflow, now)
        return task.key.workflow_id

    def _after_failure(self, task: Task, kind: EndKind, now: float) -> None:
        stage = task.stage
        if stage.spec.gang:
            self._stop_gang(stage, task.run)
        if stage.workflow.cancelled:
            self._withdraw(stage.workflow, now)
        elif kind is EndKind.FAILED and not stage.spec.service:
            self._give_up_if_exhausted(stage, task, now)

    def _give_up_if_exhausted(self, stage: Stage, task: Task, now: float) -> None:
        limit = stage.workflow.workflow.policy.attempts
        failures = (stage.tasks[0] if stage.spec.gang else task).failures
        if failures < limit or task.state != "waiting":
            return
        _logger.info("attempts exhausted", extra={**_where(task), "failures": failures})
        self._step(task, "give_up", now)
        self._withdraw(stage.workflow, now)

    def _withdraw(self, progress: WorkflowProgress, now: float) -> None:
        for task in progress.tasks():
            if task.state in ("starting", "running"):
                self._effects.append(StopRun(task.worker_id, task.key, task.run))
                self._step(task, "withdraw", now)
            elif task.state == "waiting":
                self._step(task, "withdraw", now)
        self._settle(progress, now)

    def _settle(self, progress: WorkflowProgress, now: float) -> None:
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

    def _assign(
        self, task: Task, worker: Worker, runs_by_stage: dict[int, int], now: float
    ) -> None:
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
        task.pace = FULL_PACE
        task.started_at = task.progressed_at = task.reported_at = now
        self._step(task, "assign", now)
        workflow = stage.workflow
        workflow.begun = True
        _logger.info(
            "run placed",
            extra={
                **_where(task),
                "run": run,
                "worker": task.worker_id,
                "waited_s": round(now - (stage.ready_at or now), 3),
                "resumed": bool(checkpoint),
            },
        )
        self._effects.append(
            StartRun(
                task.worker_id,
                task.key,
                run,
                workflow.workflow.payload,
                checkpoint if stage.spec.checkpoints else "",
                self._ticket(stage, task.worker_id),
            )
        )

    def _ticket(self, stage: Stage, worker_id: str) -> str:
        permit = stage.permits_by_worker.get(worker_id)
        return permit.ticket if permit is not None else ""

    def _next_run(self, last: int) -> int:
        return max(last, (self.term - 1) * RUNS_PER_TERM) + 1

    def _stop(self, task: Task, reason: str) -> None:
        if task.state not in ("starting", "running"):
            return
        _logger.info(
            "run stopped",
            extra={**_where(task), "worker": task.worker_id, "reason": reason},
        )
        self._effects.append(StopRun(task.worker_id, task.key, task.run))
        self._step(task, "stop", 0.0)

    def _stop_gang(self, stage: Stage, run: int) -> None:
        if stage.spec.gang:
            for member in stage.tasks:
                if member.run == run:
                    self._stop(member, "gang_incomplete")

    def _stop_stray(self, worker_id: str, entry: RunReport, task: Task) -> None:
        """Stop a run that is not the newest of its task."""
        if entry.run <= task.run or task.ended:
            self._effects.append(StopRun(worker_id, entry.key, entry.run))

    def _keep_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Keep the newest saved state; a gang shares one, with its first."""
        if checkpoint:
            keeper = task.stage.tasks[0] if task.stage.spec.gang else task
            keeper.checkpoint = checkpoint

    def _is_stuck(self, task: Task, worker: Worker, now: float) -> bool:
        """A gang's member that is ready waits for the slower ones."""
        if task.stage.spec.service or not worker.reachable or task.percent >= 100:
            return False
        return task.reported_at - task.progressed_at > STUCK_S

    def _blame(self, worker_id: str, task: Task, now: float) -> None:
        """Count a failure against a worker unless the task fails anywhere."""
        worker = self.workers_by_id.get(worker_id)
        if worker is None or len(task.failed_workers) > 1:
            return
        if task.stage.spec.service:
            return
        worker.failures += 1
        if worker.failures >= QUARANTINE_FAILURES:
            worker.quarantined_until = now + QUARANTINE_S
            _logger.warning(
                "worker quarantined",
                extra={"worker": worker_id, "failures": worker.failures},
            )

    def _step(self, task: Task, event: str, now: float) -> None:
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

    def _occupy(self, task: Task) -> None:
        worker = self.workers_by_id[task.worker_id]
        worker.tasks_by_key[task.key] = task
        worker.used = worker.used.plus(room_taken(task.stage.spec))

    def _release(self, task: Task) -> None:
        worker = self.workers_by_id.get(task.worker_id)
        if worker is not None and worker.tasks_by_key.pop(task.key, None) is not None:
            worker.used = worker.used.minus(room_taken(task.stage.spec))

    def _count_failure(self, task: Task) -> None:
        """Count a failed run; of a gang once, with its first member."""
        stage = task.stage
        if not stage.spec.gang:
            task.failures += 1
        elif task.run not in stage.failed_runs:
            stage.failed_runs.add(task.run)
            stage.tasks[0].failures += 1

    def _find(self, key: TaskKey) -> Task | None:
        progress = self.workflows_by_id.get(key.workflow_id)
        return progress.find(key) if progress is not None else None

    def _current(self, key: TaskKey, run: int) -> Task | None:
        task = self._find(key)
        return task if task is not None and task.run == run else None


def _where(task: Task) -> dict[str, object]:
    return {
        "job": task.key.workflow_id,
        "task": f"{task.key.occurrence}.{task.key.step}.{task.key.index}",
    }
