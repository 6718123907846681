"""Runs of all tasks: state transitions, capacity accounting and effects."""

import logging
import math
from collections.abc import Callable

from .crashes import is_guilty
from .model import (
    FINAL_STATES,
    NO_RESOURCES,
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
    resources_used,
)
from .throttling import FULL_SPEED_PERCENT

# Run numbers reserved for each term. A new coordinator numbers its runs above
# all numbers that the previous term may have used, including runs that were
# not recorded.
RUNS_PER_TERM = 1000
# Time within which all attempts of a start are sent.
START_ATTEMPTS_S = 2.0
# Time within which a worker, or its next process, may carry out a call that
# got no reply.
LATE_CALL_S = 12.0
DEFAULT_LONGEST_LEASE_S = 10.0  # of workers whose limit is not known
# Number of consecutive failures after which a worker gets no new runs of the
# same workflows for QUARANTINE_S.
QUARANTINE_FAILURES = 2
QUARANTINE_S = 4.0
# Number of workflows with such failures after which it gets no runs at all.
# Failures of one workflow may all be caused by itself.
QUARANTINE_WORKFLOWS = 2
# Share of a pool that may be quarantined at a time. Failures on more workers
# are presumed to be caused by the work.
MAX_QUARANTINED_SHARE = 0.5
# A task that failed on more workers than this is presumed to be the cause
# itself, so that its failures are not counted against a worker.
MAX_FAILED_WORKERS = 1

_logger = logging.getLogger(__name__)


class RunTable:
    """Workflows, workers and runs, with transitions that keep them consistent.

    Args:
        run_times: Expected run times.

    Attributes:
        workflows_by_id: Accepted workflows.
        workers_by_id: All workers.
        dirty: Ids of workflows whose progress has changed since their record
            was last written or began to be written.
        being_recorded: Ids of workflows whose record is being written.
        effects: Effects that ``take_effects`` has not returned yet.
        set_aside_ids: Workflows that are not run because their stored
            progress cannot be read.
        cancelled_aside_ids: Those of them that are cancelled.
        term: Number of the coordinator's term.
        run_times: Expected run times.
        longest_lease_s: Longest time for which a run goes on without a poll.
    """

    def __init__(self, run_times: RunTimeEstimates) -> None:
        self.workflows_by_id: dict[str, WorkflowProgress] = {}
        self.workers_by_id: dict[str, Worker] = {}
        self.dirty: set[str] = set()
        self.being_recorded: set[str] = set()
        self.effects: list[Effect] = []
        self.set_aside_ids: set[str] = set()
        self.cancelled_aside_ids: set[str] = set()
        self.term = 1
        self.run_times = run_times
        self.longest_lease_s = DEFAULT_LONGEST_LEASE_S
        self._actions: dict[str, Callable[[Task], None]] = {
            "occupy": self._occupy,
            "release": self._release,
            "count_failure": self._count_failure,
        }

    def is_recorded(self, workflow_id: str) -> bool:
        """Return whether the stored record has all progress of a workflow."""
        return workflow_id not in self.dirty and workflow_id not in self.being_recorded

    def find(self, key: TaskKey) -> Task | None:
        """Return the task with the given key, None if it is unknown."""
        progress = self.workflows_by_id.get(key.workflow_id)
        return progress.find(key) if progress is not None else None

    def current(self, key: TaskKey, run: int) -> Task | None:
        """Return a task if it has not ended and ``run`` is its newest run."""
        task = self.find(key)
        if task is None or task.run != run or task.ended:
            return None
        return task

    def take_effects(self) -> list[Effect]:
        """Return and clear the effects added since the last call."""
        effects, self.effects = self.effects, []
        return effects

    def assign(
        self, task: Task, worker: Worker, runs_by_stage: dict[int, int], now: float
    ) -> None:
        """Start a run of a task on a worker.

        Args:
            task: The task, which is waiting.
            worker: The worker.
            runs_by_stage: Run numbers of the gangs placed in this pass, by
                ``id`` of the step. All members of a gang share a run number.
            now: Node-clock seconds.
        """
        stage = task.stage
        if stage.spec.gang:
            run = runs_by_stage.get(id(stage), 0) or self._next_run(
                max(member.highest_run for member in stage.tasks)
            )
            runs_by_stage[id(stage)] = run
            checkpoint = stage.tasks[0].checkpoint
        else:
            run = self._next_run(task.highest_run)
            checkpoint = task.checkpoint
        task.run = task.highest_run = run
        task.run_confirmed = task.run_adopted = task.run_saved = False
        task.start_settled, task.start_sent_at = False, None
        task.worker_id, task.pool = worker.facts.worker_id, worker.facts.pool
        task.start_process_ms = worker.facts.process_started_ms
        task.percent = 0.0
        task.run_resumed = bool(checkpoint)
        task.speed_percent = FULL_SPEED_PERCENT
        task.speed_known = True
        task.record_start(now)
        self.step(task, "assign", now)
        workflow = stage.workflow
        _logger.info(
            "run placed",
            extra={
                **run_log_fields(task),
                "run": run,
                "worker": task.worker_id,
                "waited_s": round(now - (stage.ready_at or now), 3),
                "resumed": bool(checkpoint),
                "late_starts": sorted(task.late_starts_by_worker),
            },
        )
        self.effects.append(
            StartRun(
                task.worker_id,
                task.key,
                run,
                workflow.workflow.payload,
                checkpoint if stage.spec.checkpoints else "",
                *self._ticket(stage, task.worker_id),
            )
        )

    def step(self, task: Task, event: str, now: float) -> None:
        """Apply an event of ``TASK_CHART`` to a task and run its actions.

        A task of an ended workflow that would be waiting again is withdrawn.
        A start whose outcome is not known when its run is over may still be
        carried out.
        """
        transition = TASK_CHART.step(task.state, event)
        changed = transition.target != task.state
        if task.placed and transition.target == "waiting":
            self.keep_late_start(task, now)
            task.start_settled, task.start_sent_at = True, None
        for action in transition.actions:
            self._actions[action](task)
        task.state = transition.target
        if changed:
            self.dirty.add(task.key.workflow_id)
        workflow_ended = task.stage.workflow.ended_at is not None
        if workflow_ended and task.state == "waiting":
            task.state = TASK_CHART.step("waiting", "withdraw").target
        elif task.state == "waiting" and is_guilty(task):
            self._give_up(task, "crashes_workers", now)

    def late_start_until(self, sent_at: float) -> float:
        """Return until when a start without a reply may have an effect.

        The run that it begins goes on until its lease lapses.

        Args:
            sent_at: Node-clock seconds at which the start was sent.
        """
        return sent_at + LATE_CALL_S + self.longest_lease_s

    def keep_late_start(self, task: Task, now: float) -> None:
        """Record that a worker may carry out a start that is not settled.

        Args:
            task: The task, which is placed.
            now: Node-clock seconds; a start of this term is not sent later.
        """
        if task.start_settled or task.start_sent_at is None:
            return
        last_sent_at = task.start_sent_at + START_ATTEMPTS_S
        if not task.run_adopted:
            # An earlier coordinator may still send attempts.
            last_sent_at = min(now, last_sent_at)
        until = self.late_start_until(last_sent_at)
        task.add_late_start(task.worker_id, until, task.start_process_ms)
        self.dirty.add(task.key.workflow_id)

    def note_begun(self, task: Task) -> None:
        """Record that a run of a task has begun."""
        workflow = task.stage.workflow
        if not workflow.begun:
            workflow.begun = True
            self.dirty.add(task.key.workflow_id)

    def stop(self, task: Task, reason: str) -> None:
        """Stop the run of a task; a run that is not active is ignored.

        Args:
            task: The task.
            reason: Cause, for the log.
        """
        if task.state not in ("starting", "running"):
            return
        _logger.info(
            "stopping run",
            extra={**run_log_fields(task), "worker": task.worker_id, "reason": reason},
        )
        self.effects.append(StopRun(task.worker_id, task.key, task.run))
        self.step(task, "stop", 0.0)

    def stop_gang(self, stage: Stage, run: int) -> None:
        """Stop all active members of a gang's run; other steps are ignored."""
        if stage.spec.gang:
            for member in stage.tasks:
                if member.run == run:
                    self.stop(member, "gang_incomplete")

    def stop_unwanted_run(
        self, worker_id: str, entry: RunReport, task: Task | None, now: float
    ) -> None:
        """Stop a listed run that is not the current run of a placed task.

        It uses capacity until it is no longer listed. A task that waits gets
        no new run before; the listed one is its current run until then. A
        start that may still be withheld is; see ``_withhold_start``.

        Args:
            worker_id: The worker of the list; an unknown one is ignored.
            entry: The listed run.
            task: Its task, None if that is unknown.
            now: Node-clock seconds.
        """
        worker = self.workers_by_id.get(worker_id)
        if worker is None or self._may_be_wanted(entry, task):
            return
        amount = NO_RESOURCES if task is None else resources_used(task.stage.spec)
        if task is not None and entry.run < task.highest_run:
            self._withhold_start(task, entry, worker_id, now)
        if task is not None and task.state == "waiting":
            task.run, task.worker_id = entry.run, worker_id
            task.pool = worker.facts.pool
            task.run_saved = False
            self.step(task, "assign", now)
            worker.reappeared.add((entry.key, entry.run))
            self.stop(task, "reappeared")
        elif worker.keep_until_ended(entry.key, entry.run, amount, now):
            _logger.info(
                "stopping a run that is not wanted",
                extra={
                    "job": entry.key.workflow_id,
                    "task": _task_name(entry.key),
                    "run": entry.run,
                    "worker": worker_id,
                    "state": task.state if task is not None else "unknown",
                    "newest_run": task.highest_run if task is not None else 0,
                },
            )
            self.effects.append(StopRun(worker_id, entry.key, entry.run))

    def _withhold_start(
        self, task: Task, older: RunReport, older_worker_id: str, now: float
    ) -> None:
        """Withhold the start of a task's newest run beside an older one.

        A start that was not sent is given up. Of one that was sent and got no
        reply, no further attempt is sent and its run is stopped, so neither
        run stays and the next one begins after both have ended. A run whose
        start was confirmed stays: it has begun, and only the newest run saves
        checkpoints. So does a run that an earlier coordinator has placed: no
        attempt of its start is left, and it may have gone on for long.
        """
        if task.state != "starting" or task.run_adopted or task.start_settled:
            return
        run, was_sent = task.run, task.start_sent_at is not None
        _logger.info(
            "start withheld: an older run is listed",
            extra={
                **run_log_fields(task),
                "run": run,
                "worker": task.worker_id,
                "sent": was_sent,
                "older_run": older.run,
                "older_worker": older_worker_id,
            },
        )
        if was_sent:
            self.stop(task, "older_run_listed")
        else:
            self.step(task, "rejected", now)
        self.stop_gang(task.stage, run)

    def _may_be_wanted(self, entry: RunReport, task: Task | None) -> bool:
        """Return whether a run may have been placed by somebody else.

        A release that can read the record of a job that is set aside accounts
        for its runs, until the job is cancelled. A run that is newer than all
        known ones may be that of a successor, unless its task needs no run.
        """
        if task is None:
            workflow_id = entry.key.workflow_id
            is_cancelled = workflow_id in self.cancelled_aside_ids
            return workflow_id in self.set_aside_ids and not is_cancelled
        needs_run = not (task.ended or task.stage.workflow.cancelled)
        return needs_run and entry.run > task.highest_run

    def withdraw(self, progress: WorkflowProgress, now: float) -> None:
        """Withdraw the waiting tasks and stop the runs of a workflow."""
        for task in progress.tasks():
            if task.state in ("starting", "running"):
                self.effects.append(StopRun(task.worker_id, task.key, task.run))
                self.step(task, "withdraw", now)
            elif task.state == "waiting":
                self.step(task, "withdraw", now)
        self.settle(progress, now)

    def settle(self, progress: WorkflowProgress, now: float) -> None:
        """Mark a workflow as dirty, and as ended if its state is final."""
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
                    "after_s": round(now - progress.accepted_at, 3),
                },
            )

    def save_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Save a task's newest checkpoint; an empty one is ignored.

        The members of a gang share a checkpoint, which the first task stores.
        Tasks that cannot resume have none. An older run than the newest one of
        the task or gang saves none.
        """
        if not checkpoint or not task.stage.spec.checkpoints:
            return
        members = task.stage.tasks if task.stage.spec.gang else [task]
        if task.run == max(member.highest_run for member in members):
            members[0].checkpoint = checkpoint
            task.run_saved = True

    def record_worker_failure(self, worker_id: str, task: Task, now: float) -> None:
        """Count a failure against a worker, and quarantine it if it has many.

        Failures of services, and of tasks that have failed on several
        workers, are not counted. The quarantine concerns the workflows with
        failures. It concerns all others too once there are several of these,
        on half of a pool at most, but on one worker at least.
        """
        worker = self.workers_by_id.get(worker_id)
        if worker is None or len(task.failed_workers) > MAX_FAILED_WORKERS:
            return
        if task.stage.spec.service:
            return
        worker.record_failure(now)
        worker.failed_workflow_ids.add(task.key.workflow_id)
        if worker.failures < QUARANTINE_FAILURES:
            return
        worker.quarantined_for_failed_until = now + QUARANTINE_S
        jobs = len(worker.failed_workflow_ids)
        for_all = jobs >= QUARANTINE_WORKFLOWS and self._may_quarantine(worker, now)
        if for_all:
            worker.quarantined_until = now + QUARANTINE_S
        _logger.warning(
            "worker quarantined",
            extra={
                "worker": worker_id,
                "failures": worker.failures,
                "jobs": jobs,
                "for_all": for_all,
            },
        )

    def _may_quarantine(self, worker: Worker, now: float) -> bool:
        """Return whether enough of a worker's pool would stay in use."""
        others = [
            other
            for other in self.workers_by_id.values()
            if other.facts.pool == worker.facts.pool
            and other.present
            and other is not worker
        ]
        quarantined = sum(now < other.quarantined_until for other in others)
        limit = int(MAX_QUARANTINED_SHARE * (len(others) + 1))
        return quarantined < max(limit, 1)

    def give_up_if_exhausted(self, stage: Stage, task: Task, now: float) -> None:
        """End a workflow as failed when a task has no attempts left."""
        limit = stage.workflow.policy.attempts
        failures = (stage.tasks[0] if stage.spec.gang else task).failures
        if failures < limit or task.state != "waiting":
            return
        self._give_up(task, "no_attempts_left", now)

    def give_up_guilty(self, holder: Task, now: float) -> None:
        """End a workflow whose task or gang is guilty, unless it is placed.

        Runs that are left are given up when they end.

        Args:
            holder: The task, or the first task of the gang.
            now: Node-clock seconds.
        """
        members = holder.stage.tasks if holder.stage.spec.gang else [holder]
        waiting = [task for task in members if task.state == "waiting"]
        if waiting:
            self._give_up(waiting[0], "crashes_workers", now)

    def _give_up(self, task: Task, reason: str, now: float) -> None:
        """End a task without success, and withdraw the rest of its job."""
        holder = task.stage.tasks[0] if task.stage.spec.gang else task
        _logger.info(
            "task given up",
            extra={
                **run_log_fields(task),
                "reason": reason,
                "failures": holder.failures,
                "crashed_runs": [
                    {
                        "run": run,
                        "workers": sorted(evidence.worker_ids),
                        "certain": evidence.certain,
                        "confirmed": evidence.confirmed,
                        "suspect": evidence.suspect,
                        "undated": evidence.undated,
                        "refuted": evidence.refuted,
                    }
                    for run, evidence in sorted(holder.crash_evidence_by_run.items())
                ],
            },
        )
        self.step(task, "give_up", now)
        self.withdraw(task.stage.workflow, now)

    def _ticket(self, stage: Stage, worker_id: str) -> tuple[str, float]:
        """Return the ticket for a start, "" for none, and its end."""
        permit = stage.advice.permit_by_worker.get(worker_id)
        if permit is None or not stage.workflow.policy.advised:
            # The permit is one of an earlier configuration.
            return "", math.inf
        return permit.ticket, permit.send_until

    def _next_run(self, last: int) -> int:
        return max(last, (self.term - 1) * RUNS_PER_TERM) + 1

    def _occupy(self, task: Task) -> None:
        self.workers_by_id[task.worker_id].add(task)

    def _release(self, task: Task) -> None:
        worker = self.workers_by_id.get(task.worker_id)
        if worker is not None:
            worker.remove(task)

    def _count_failure(self, task: Task) -> None:
        """Count a failed run of a task.

        A failed run of a gang is counted once, with the gang's first task.
        """
        stage = task.stage
        if not stage.spec.gang:
            task.failures += 1
        elif task.run not in stage.failed_runs:
            stage.failed_runs.add(task.run)
            stage.tasks[0].failures += 1


def run_log_fields(task: Task) -> dict[str, object]:
    """Return the fields that identify a task in log lines."""
    return {
        "job": task.key.workflow_id,
        "task": _task_name(task.key),
    }


def _task_name(key: TaskKey) -> str:
    return f"{key.occurrence}.{key.step}.{key.index}"
