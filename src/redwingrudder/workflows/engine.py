"""The engine: events in, effects out, no input or output of its own."""

import logging
from collections.abc import Iterable

from .model import (
    AskAdvice,
    Effect,
    EndKind,
    RunEnd,
    RunReport,
    StopRun,
    TaskKey,
    ThrottleRun,
    WorkerFacts,
    Workflow,
    WorkflowState,
)
from .planner import Planner, PriorityPlanner
from .run_table import RunTable, run_log_fields
from .run_times import MIN_ELAPSED_S, update_worker_speed
from .state import (
    TASK_CHART,
    Permit,
    Task,
    Worker,
    WorkflowProgress,
)
from .supervision import runs_to_interrupt
from .throttling import FULL_SPEED_PERCENT, LatencyTargetPolicy, ThrottlePolicy

# A start takes a moment, so a ticket is not used in the last part of its time.
TICKET_SHARE = 0.8

_logger = logging.getLogger(__name__)
_END_EVENTS = {EndKind.DONE: "run_done", EndKind.FAILED: "run_failed"}


class Engine(RunTable):
    """Keeps workflows and workers and decides what runs where.

    Args:
        planner: Decides on starts and stops.
    """

    def __init__(self, planner: Planner | None = None) -> None:
        super().__init__()
        self.guaranteed_by_organisation: dict[str, int] = {}
        self._throttle_policy: ThrottlePolicy = LatencyTargetPolicy()
        self._planner = planner or PriorityPlanner(self.run_times)

    def accept(self, workflow: Workflow, now: float) -> WorkflowProgress:
        """Take over a stored workflow; a known id changes nothing."""
        known = self.workflows_by_id.get(workflow.workflow_id)
        if known is not None:
            return known
        progress = WorkflowProgress(workflow, now)
        self.workflows_by_id[workflow.workflow_id] = progress
        for stage in progress.occurrences[0].stages:
            self.run_times.record_estimate(stage)
        return progress

    def cancel(self, workflow_id: str, now: float) -> None:
        """Withdraw a workflow: waiting tasks end, runs are stopped."""
        progress = self.workflows_by_id.get(workflow_id)
        if progress is None or progress.ended_at is not None:
            return
        progress.cancelled = True
        self.withdraw(progress, now)

    def set_worker(self, facts: WorkerFacts, now: float) -> None:
        """Take over the registry's entry of a worker."""
        worker = self.workers_by_id.get(facts.worker_id)
        if worker is None:
            worker = self.workers_by_id[facts.worker_id] = Worker(facts)
            worker.update_leave_time(now)
            return
        if (
            facts.process_started_ms
            and worker.facts.process_started_ms != facts.process_started_ms
        ):
            self._interrupt_confirmed(worker, now)
            worker.failures = 0
            worker.emptying = False
            worker.quarantined_until = 0.0
        worker.facts = facts
        worker.listed = True
        worker.update_leave_time(now)

    def interrupt_worker(self, worker_id: str, now: float, reason: str) -> None:
        """Take note that nothing runs on a worker any more."""
        worker = self.workers_by_id.get(worker_id)
        if worker is None:
            return
        for task in list(worker.tasks_by_key.values()):
            _logger.info(
                "run lost with its worker",
                extra={**run_log_fields(task), "worker": worker_id, "reason": reason},
            )
            self.step(task, "run_interrupted", now)

    def _interrupt_confirmed(self, worker: Worker, now: float) -> None:
        """Interrupt the runs of a past incarnation.

        An order without an answer may still reach the new incarnation, so its
        run is kept until the first report of that incarnation, see
        ``unsettled_runs``.
        """
        for task in list(worker.tasks_by_key.values()):
            if task.state == "running":
                extra = {**run_log_fields(task), "worker": worker.facts.worker_id}
                _logger.info("run lost as its worker restarted", extra=extra)
                self.step(task, "run_interrupted", now)

    def unsettled_runs(self, worker_id: str) -> tuple[StopRun, ...]:
        """Return stops for the runs whose start or stop has no answer."""
        worker = self.workers_by_id.get(worker_id)
        tasks = worker.tasks_by_key.values() if worker is not None else ()
        return tuple(
            StopRun(worker_id, task.key, task.run)
            for task in tasks
            if task.state in ("starting", "stopping")
        )

    def remove_worker(self, worker_id: str, now: float, reason: str) -> None:
        """Forget a worker that is surely gone."""
        self.interrupt_worker(worker_id, now, reason)
        self.workers_by_id.pop(worker_id, None)

    def is_starting(self, key: TaskKey, run: int) -> bool:
        """Return whether a run is still to be started."""
        task = self.current(key, run)
        return task is not None and task.state == "starting"

    def start_confirmed(self, key: TaskKey, run: int, now: float) -> None:
        """Take note that a worker began a run."""
        task = self.current(key, run)
        if task is not None:
            task.begin(now)
            self.step(task, "started", now)

    def start_rejected(self, key: TaskKey, run: int, reason: str, now: float) -> None:
        """Take note that a run will never begin."""
        task = self.current(key, run)
        if task is None:
            return
        _logger.info("start rejected", extra={**run_log_fields(task), "reason": reason})
        if reason == "permit":
            task.stage.permits_by_worker.pop(task.worker_id, None)
        self.step(task, "rejected", now)
        self.stop_gang(task.stage, run)

    def report(self, worker_id: str, running: Iterable[RunReport], now: float) -> None:
        """Take over the progress of the runs that a worker lists."""
        for entry in running:
            task = self.find(entry.key)
            if task is None:
                continue
            if task.run != entry.run or task.worker_id != worker_id:
                self.stop_stray(worker_id, entry, task)
                continue
            if task.state == "starting":
                self.start_confirmed(entry.key, entry.run, now)
            self.keep_checkpoint(task, entry.checkpoint)
            if task.reported_at - task.rated_at > MIN_ELAPSED_S:
                task.rated_at, task.rated_percent = task.reported_at, task.percent
            if entry.percent != task.percent:
                task.progressed_at = now
            task.percent = entry.percent
            task.reported_at = now
            task.usage = entry.usage
        worker = self.workers_by_id.get(worker_id)
        if worker is not None:
            update_worker_speed(worker, self.run_times, now)

    def end(self, worker_id: str, ended: RunEnd, now: float) -> str | None:
        """Take over the end of a run.

        Returns:
            The id of the workflow whose record must hold the end before the
            worker may forget it, or None for an end that changes nothing.
        """
        task = self.find(ended.key)
        if task is None:
            return None
        current = task.run == ended.run and task.worker_id == worker_id
        _logger.info(
            "run ended",
            extra={
                **run_log_fields(task),
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
        self.keep_checkpoint(task, ended.checkpoint)
        if ended.kind is EndKind.FAILED:
            task.failed_workers.add(worker_id)
            self.record_worker_failure(worker_id, task, now)
        event = _END_EVENTS.get(ended.kind, "run_interrupted")
        if task.stage.spec.service:
            # Service tasks start again however they end.
            event = "run_interrupted"
        self.step(task, event, now)
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
            self.stop(task, "preempted")
        for stage, names in decision.questions:
            stage.question_open = True
            workflow_id = stage.workflow.workflow.workflow_id
            self.effects.append(
                AskAdvice(workflow_id, stage.occurrence, stage.index, names)
            )
        runs_by_stage: dict[int, int] = {}
        for task, worker in decision.starts:
            self.assign(task, worker, runs_by_stage, now)
        return self.take_effects()

    def record_advice(
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

    def throttle(self, now: float) -> None:
        """Throttle filling tasks by the harm that is measured."""
        for worker in self.workers_by_id.values():
            for change in self._throttle_policy.changes(worker, now):
                task = change.task
                task.speed_percent = change.percent
                _logger.info(
                    "pace changed",
                    extra={
                        **run_log_fields(task),
                        "worker": task.worker_id,
                        "percent": change.percent,
                    },
                )
                self.effects.append(
                    ThrottleRun(task.worker_id, task.key, task.run, change.percent)
                )

    def throttle_unanswered(self, key: TaskKey, run: int) -> None:
        """Take note that a throttle command may not have taken effect."""
        task = self.current(key, run)
        if task is not None:
            task.speed_percent = FULL_SPEED_PERCENT

    def supervise(self, now: float) -> None:
        """Stop runs that are stuck, far too slow, or on leaving workers."""
        workers = list(self.workers_by_id.values())
        for task, reason, counts_against_worker in runs_to_interrupt(
            workers, self.run_times, now
        ):
            if counts_against_worker:
                self.record_worker_failure(task.worker_id, task, now)
            if reason == "slow_worker":
                task.stage.restarts += 1
            self.stop(task, reason)
            self.stop_gang(task.stage, task.run)

    def adopt_run(
        self, key: TaskKey, run: int, worker_id: str, started: bool, now: float
    ) -> None:
        """Restore a run that a record or a worker names."""
        task = self.find(key)
        if task is None or task.ended:
            return
        if task.placed:
            if task.worker_id == worker_id and task.run == run and started:
                self.step(task, "started", now)
            return
        if worker_id not in self.workers_by_id:
            return
        task.run, task.worker_id = run, worker_id
        task.begin(now)
        self.step(task, "assign", now)
        if started:
            self.step(task, "started", now)
        task.stage.workflow.begun = True

    def reconcile(
        self, worker_id: str, present: set[tuple[TaskKey, int]], first: bool, now: float
    ) -> None:
        """Drop runs that a worker does not list.

        Args:
            worker_id: The worker.
            present: Its runs.
            first: It is the session's first report. The fence was raised
                there, so a start by an earlier session will be rejected, and
                this session has sent none. Later, a run that is starting or
                stopping is left to the session, whose order may still arrive.
            now: Steady-clock seconds.
        """
        worker = self.workers_by_id.get(worker_id)
        for task in list(worker.tasks_by_key.values()) if worker else ():
            settled = first or task.state == "running"
            if settled and (task.key, task.run) not in present:
                self.step(task, "run_interrupted", now)

    def restore_final_state(
        self, workflow_id: str, state: WorkflowState, now: float
    ) -> None:
        """Take over a final state from a record."""
        progress = self.workflows_by_id[workflow_id]
        progress.ended_at = now
        progress.cancelled = state is WorkflowState.CANCELLED
        for task in progress.tasks():
            if task.state == "waiting":
                event = "give_up" if state is WorkflowState.FAILED else "withdraw"
                task.state = TASK_CHART.step("waiting", event).target

    def forget(self, workflow_id: str) -> None:
        """Drop an ended workflow whose records are removed."""
        self.workflows_by_id.pop(workflow_id, None)

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
            worker.failures = 0
        if current and task.state == "running":
            self.run_times.record_end(task, now)
        # A gang ends as a whole, and one listed end stands for all members.
        members = task.stage.tasks if task.stage.spec.gang else [task]
        for member in members:
            if member.ended:
                # Withdrawn while this run was still being stopped.
                continue
            if member is not task and member.placed and member.run != task.run:
                continue
            if not current and member.placed:
                self.stop(member, "done_elsewhere")
            self.step(member, "run_done", now)
        self.settle(task.stage.workflow, now)
        return task.key.workflow_id

    def _after_failure(self, task: Task, kind: EndKind, now: float) -> None:
        stage = task.stage
        if stage.spec.gang:
            self.stop_gang(stage, task.run)
        if stage.workflow.cancelled:
            self.withdraw(stage.workflow, now)
        elif kind is EndKind.FAILED and not stage.spec.service:
            self.give_up_if_exhausted(stage, task, now)
