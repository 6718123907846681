"""Workflow engine: handles events and returns effects, without doing I/O."""

import logging
import math
from collections import Counter
from collections.abc import Collection, Container

from ._deferral import DeferralEnd
from .advice import Tickets
from .advice_requests import AdviceRequests
from .crash_evidence import (
    CrashHistory,
    WorkerCrash,
    add_evidence,
    suspicion_holder,
    valid_evidence_by_run,
)
from .crashes import (
    clear_if_harmless,
    has_silent_workers,
    is_accused,
    is_guilty,
    is_suspected,
    record_crash,
    settle_suspicion,
    step_suspicion,
    suspected_runs,
    suspicion_holders,
)
from .late_starts import HeldStart, awaited_silent_workers
from .model import (
    NO_RESOURCES,
    AskAdvice,
    Effect,
    EndKind,
    PollWorker,
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
from .queue_policies import QueuePolicies
from .run_table import RunTable, run_log_fields
from .run_times import MIN_ELAPSED_S, RunTimeEstimates, update_worker_speed
from .start_trials import REFUSALS, StartTrials
from .state import (
    TASK_CHART,
    Stage,
    Task,
    Worker,
    WorkflowProgress,
    resources_used,
)
from .supervision import runs_to_interrupt, stall_holder
from .throttling import FULL_SPEED_PERCENT, LatencyTargetPolicy, ThrottlePolicy

# Interval between requested polls of a worker. It is longer than a poll may
# take: a later request makes the answer to an earlier one count for nothing.
POLL_REQUEST_INTERVAL_S = 1.0
CRASH_MEMORY_S = 600.0  # time for which crashes of an address are remembered
LOGGED_SUSPECTS = 10
# The cancellations of this many unknown ids are remembered for this time: they
# may overtake the submissions, whose announcement or watch is late.
MAX_EARLY_CANCELS = 10_000
EARLY_CANCEL_MEMORY_S = 60.0

_logger = logging.getLogger(__name__)
_END_EVENTS = {EndKind.DONE: "run_done", EndKind.FAILED: "run_failed"}


class Engine(RunTable):
    """Tracks workflows and workers, and decides which task runs where.

    Args:
        planner: Chooses the runs to start and to preempt. None selects a
            ``PriorityPlanner``.
        run_times: Expected run times, None for those of a new fleet with
            default times.

    Attributes:
        guaranteed_by_organisation: Number of accelerators guaranteed to the
            urgent workflows of each organisation.
        advice_requests: Requests to the advice service.
    """

    def __init__(
        self,
        planner: Planner | None = None,
        run_times: RunTimeEstimates | None = None,
    ) -> None:
        super().__init__(run_times or RunTimeEstimates())
        self.guaranteed_by_organisation: dict[str, int] = {}
        self._queue_policies = QueuePolicies()
        # Node-clock time of cancellations without a workflow, oldest first.
        self._early_cancels_by_id: dict[str, float] = {}
        self._awaited_workers: set[str] = set()
        self._reports_due_at = 0.0
        # Node-clock time of the newest crash of a worker at each address.
        self._crashed_at_by_address: dict[str, float] = {}
        self._crash_history = CrashHistory()
        self._throttle_policy: ThrottlePolicy = LatencyTargetPolicy()
        self._planner = planner or PriorityPlanner(self.run_times)
        self.advice_requests = AdviceRequests()

    def configure(
        self, policies: QueuePolicies, guaranteed_by_organisation: dict[str, int]
    ) -> None:
        """Follow a new configuration of the operators.

        The policies also apply to workflows that were accepted before; see
        ``WorkflowProgress.policy``. Runs at work go on, also on workers of a
        pool that their queue has left.
        """
        self.guaranteed_by_organisation = guaranteed_by_organisation
        previous, self._queue_policies = self._queue_policies, policies
        self.advice_requests.configure(policies.advice_times_by_queue)
        changed: Counter[str] = Counter()
        dropped: Counter[str] = Counter()
        for progress in self._active_workflows():
            queue = progress.workflow.queue
            if queue not in policies.by_queue:
                dropped[queue] += not previous.version or queue in previous.by_queue
            elif self._apply_queue_policy(progress):
                changed[queue] += 1
        for queue, count in changed.items():
            policy = policies.by_queue[queue]
            _logger.info(
                "policy of accepted jobs changed",
                extra={
                    "queue": queue,
                    "jobs": count,
                    "version": policies.version,
                    **policy._asdict(),
                },
            )
        for queue, count in (+dropped).items():
            _logger.info(
                "accepted jobs keep the policy of a queue that was removed",
                extra={"queue": queue, "jobs": count, "version": policies.version},
            )

    def pools_in_use(self) -> frozenset[str]:
        """Return the pools in which accepted workflows run."""
        return frozenset(p.policy.pool for p in self._active_workflows())

    def _apply_queue_policy(self, progress: WorkflowProgress) -> bool:
        pool = progress.policy.pool
        if not self._queue_policies.apply(progress):
            return False
        # A successor may not learn of the policy otherwise, if the next
        # configuration does not have the queue.
        self.dirty.add(progress.workflow.workflow_id)
        self._record_estimates(progress)
        if progress.policy.pool != pool:
            # The request under way names workers of the former pool.
            self.advice_requests.withdraw(progress.workflow.workflow_id)
        return True

    def _record_estimates(self, progress: WorkflowProgress) -> None:
        for stage in progress.occurrences[0].stages:
            self.run_times.record_estimate(stage)

    def accept(self, workflow: Workflow, now: float) -> WorkflowProgress:
        """Add a stored workflow and return its progress.

        A workflow whose id has been added before is left unchanged. One that
        has been cancelled before is added as cancelled.
        """
        existing = self.workflows_by_id.get(workflow.workflow_id)
        if existing is not None:
            return existing
        progress = WorkflowProgress(workflow, now)
        self.workflows_by_id[workflow.workflow_id] = progress
        if not self._apply_queue_policy(progress):
            self._record_estimates(progress)
        cancelled_at = self._early_cancels_by_id.pop(workflow.workflow_id, -math.inf)
        if now - cancelled_at <= EARLY_CANCEL_MEMORY_S:
            self.cancel(workflow.workflow_id, now)
        return progress

    def cancel(self, workflow_id: str, now: float) -> None:
        """Cancel a workflow: withdraw its waiting tasks and stop its runs.

        The cancellation of an unknown workflow is remembered for some time
        and applied when the workflow is accepted. Ended workflows are ignored.
        """
        progress = self.workflows_by_id.get(workflow_id)
        if progress is None:
            _logger.info("unknown job is cancelled", extra={"job": workflow_id})
            if workflow_id in self.set_aside_ids:
                self.cancelled_aside_ids.add(workflow_id)
            else:
                self._remember_cancel(workflow_id, now)
            return
        if progress.ended_at is not None:
            return
        progress.cancelled = True
        self.withdraw(progress, now)

    def _remember_cancel(self, workflow_id: str, now: float) -> None:
        self._early_cancels_by_id.pop(workflow_id, None)
        self._early_cancels_by_id[workflow_id] = now
        if len(self._early_cancels_by_id) > MAX_EARLY_CANCELS:
            del self._early_cancels_by_id[next(iter(self._early_cancels_by_id))]

    def forget_cancellation(self, workflow_id: str) -> None:
        """Forget the cancellation of an unknown workflow that was removed."""
        self._early_cancels_by_id.pop(workflow_id, None)

    def set_worker(self, facts: WorkerFacts, now: float) -> None:
        """Add a worker, or update it from its registry entry.

        A changed process start time means that the worker has restarted. An
        entry without a start time does not change the known one.
        """
        worker = self.workers_by_id.get(facts.worker_id)
        if worker is None:
            worker = self.workers_by_id[facts.worker_id] = Worker(facts)
            worker.crashed_at = self._crashed_at_by_address.get(
                facts.address, -math.inf
            )
            worker.update_leave_time(now)
            return
        known_started_ms = worker.facts.process_started_ms
        if not facts.process_started_ms:
            facts = facts._replace(process_started_ms=known_started_ms)
        if known_started_ms and known_started_ms != facts.process_started_ms:
            self.replace_process(facts.worker_id, facts.process_started_ms, now)
        worker.facts = facts
        worker.listed = True
        worker.update_leave_time(now)

    def replace_process(
        self,
        worker_id: str,
        process_started_ms: int,
        now: float,
        unanswered_starts: Container[tuple[TaskKey, int]] = frozenset(),
    ) -> None:
        """Record that a worker has restarted under its id.

        Its failure count, proof of soundness, quarantine and emptying flag are
        reset. The new process may carry out starts that were sent to the last
        one, also of runs whose start was confirmed later, so all runs are kept
        until its first report; see ``reconcile``. It may be of another kind or
        size, and gets no new runs before its registry entry.

        Args:
            worker_id: The worker.
            process_started_ms: Start time of the new process in milliseconds.
            now: Node-clock seconds.
            unanswered_starts: Runs whose starts the worker may have received.
        """
        worker = self.workers_by_id[worker_id]
        self.worker_restarted(worker_id, now, unanswered_starts)
        worker.release_ended()
        for task in list(worker.tasks_by_key.values()):
            task.run_confirmed = task.run_saved = False
            task.speed_percent = FULL_SPEED_PERCENT
            self.step(task, "worker_restarted", now)
        worker.heard_at = worker.polled_at = -math.inf
        worker.clear_failures()
        worker.sound_start_at = -math.inf
        worker.emptying = False
        worker.quarantined_until = worker.quarantined_for_failed_until = 0.0
        worker.start_trials = StartTrials()
        worker.facts = WorkerFacts.without_entry(
            worker_id, process_started_ms, worker.facts.address
        )
        worker.update_leave_time(now)

    def worker_restarted(
        self,
        worker_id: str,
        now: float,
        unanswered_starts: Container[tuple[TaskKey, int]] = frozenset(),
    ) -> None:
        """Attribute the end of a worker's process to the runs that it had.

        A worker that was drained or emptied has been restarted on purpose.

        Args:
            worker_id: The worker; an unknown one is ignored.
            now: Node-clock seconds.
            unanswered_starts: Runs whose starts the worker may have received.
        """
        worker = self.workers_by_id.get(worker_id)
        if worker is None or worker.facts.draining or worker.emptying:
            return
        runs = list(worker.tasks_by_key.values())
        if not runs and worker.crashed_at >= worker.heard_at:
            return  # seen before, or a process that has never answered
        suspects = record_crash(worker, self._crash_history, now, unanswered_starts)
        self._settle_suspicions(now)
        worker.crashed_at = now
        self._crashed_at_by_address = {
            address: crashed_at
            for address, crashed_at in self._crashed_at_by_address.items()
            if now - crashed_at < CRASH_MEMORY_S
        }
        self._crashed_at_by_address[worker.facts.address] = now
        self.dirty.update(task.key.workflow_id for task in runs)
        _logger.warning(
            "worker crashed",
            extra={
                "worker": worker_id,
                "address": worker.facts.address,
                "runs": len(runs),
                "suspects": _suspect_names(suspects),
            },
        )

    def worker_lost(
        self,
        worker_id: str,
        now: float,
        unanswered_starts: Container[tuple[TaskKey, int]] = frozenset(),
    ) -> None:
        """Suspect the runs that had just started on a worker that fell silent.

        The worker may have crashed and may come back after its lease.

        Args:
            worker_id: The worker; an unknown one is ignored.
            now: Node-clock seconds.
            unanswered_starts: Runs whose starts the worker may have received.
        """
        worker = self.workers_by_id.get(worker_id)
        if worker is None or worker.facts.draining or worker.emptying:
            return
        if not worker.tasks_by_key and worker.crashed_at >= worker.heard_at:
            return  # seen before, or a process that has never answered
        runs = len(worker.tasks_by_key)
        suspects = record_crash(
            worker, self._crash_history, now, unanswered_starts, certain=False
        )
        self._settle_suspicions(now)
        if suspects:
            _logger.warning(
                "worker fell silent just after starts",
                extra={
                    "worker": worker_id,
                    "address": worker.facts.address,
                    "process_started_ms": worker.facts.process_started_ms,
                    "heard_s_ago": _rounded(now - worker.heard_at),
                    "runs": runs,
                    "suspects": _suspect_names(suspects),
                },
            )

    def interrupt_worker(self, worker_id: str, now: float, reason: str) -> None:
        """Mark all runs of a worker as interrupted; none may be running.

        Args:
            worker_id: The worker; an unknown one is ignored.
            now: Node-clock seconds.
            reason: Cause, for the log.
        """
        worker = self.workers_by_id.get(worker_id)
        if worker is None:
            return
        worker.release_ended()
        self._interrupt_all(list(worker.tasks_by_key.values()), reason, now)

    def _interrupt_all(self, tasks: list[Task], reason: str, now: float) -> None:
        """Record that runs are lost, and stop the rest of their gangs.

        A gang without one of its members ends, or waits in vain to begin.
        """
        gang_runs = {
            (task.stage, task.run): None for task in tasks if task.stage.spec.gang
        }
        for task in tasks:
            self._interrupt(task, reason, now)
        for stage, run in gang_runs:
            self.stop_gang(stage, run)

    def _interrupt(self, task: Task, reason: str, now: float) -> None:
        _logger.info(
            "run interrupted: worker lost",
            extra={
                **run_log_fields(task),
                "worker": task.worker_id,
                "reason": reason,
                "state": task.state,
                "age_s": round(now - task.started_at, 3),
                "seen_s": round(task.reported_at - task.started_at, 3),
            },
        )
        self.step(task, "run_interrupted", now)

    def remove_worker(self, worker_id: str, now: float, reason: str) -> None:
        """Remove a worker that is gone, and interrupt its runs.

        One that has not drained may have crashed.
        """
        worker = self.workers_by_id.get(worker_id)
        if worker is not None and not self._crash_history.has_seen(worker):
            self.worker_lost(worker_id, now)
        self.interrupt_worker(worker_id, now, reason)
        self.workers_by_id.pop(worker_id, None)

    def has_room(self, worker_id: str) -> bool:
        """Return whether the runs of a worker fit into its capacity.

        An unknown worker limits nothing.
        """
        worker = self.workers_by_id.get(worker_id)
        return worker is None or worker.idle.covers(NO_RESOURCES)

    def has_left_pool(self, key: TaskKey, worker_id: str) -> bool:
        """Return whether the queue of a task has left the pool of a worker.

        False if the task or the worker is unknown.
        """
        task, worker = self.find(key), self.workers_by_id.get(worker_id)
        if task is None or worker is None:
            return False
        return worker.facts.pool != task.stage.workflow.policy.pool

    def lacks_label(self, key: TaskKey, worker_id: str) -> bool:
        """Return whether a worker lacks the label that a task requires.

        False if the task or the worker is unknown.
        """
        task, worker = self.find(key), self.workers_by_id.get(worker_id)
        if task is None or worker is None:
            return False
        label = task.stage.spec.worker_label
        return bool(label) and label not in worker.facts.labels

    def is_starting(self, key: TaskKey, run: int) -> bool:
        """Return whether a run is current and its start is not confirmed."""
        task = self.current(key, run)
        return task is not None and task.state == "starting"

    def awaits_silent_worker(self, key: TaskKey, run: int, now: float) -> bool:
        """Return whether a start has to wait for a worker that is silent.

        Another worker than the one of the run may carry out an earlier start,
        and has fallen silent since the run was planned.
        """
        task = self.current(key, run)
        return task is not None and bool(
            awaited_silent_workers(task, self.workers_by_id, now, task.worker_id)
        )

    def start_sent(self, key: TaskKey, run: int, now: float) -> None:
        """Record that the start of a run is sent; its outcome is not known."""
        task = self.current(key, run)
        if task is not None:
            task.start_sent_at = now

    def start_settled(
        self,
        key: TaskKey,
        run: int,
        worker_id: str,
        unanswered_at: float | None,
        process_started_ms: int = 0,
    ) -> None:
        """Record that no attempt of a start will be sent any more.

        Args:
            key: The task.
            run: Number of the run.
            worker_id: Worker of the run.
            unanswered_at: Node-clock seconds at which the latest attempt
                without a reply had been sent, None if there is none.
            process_started_ms: Start time of the process that it was sent to,
                in Unix milliseconds, 0 if unknown.
        """
        task = self.find(key)
        if task is None:
            return
        self.dirty.add(key.workflow_id)
        if unanswered_at is not None:
            until = self.late_start_until(unanswered_at)
            task.add_late_start(worker_id, until, process_started_ms)
        if task.is_current(run, worker_id):
            task.start_settled = True

    def settle_unsent_starts(
        self, worker_id: str, possible_starts: Container[tuple[TaskKey, int]]
    ) -> None:
        """Settle the starts that a worker's session has not sent for sure.

        Runs that an earlier coordinator has placed are left out.

        Args:
            worker_id: The worker.
            possible_starts: Runs that may begin by a start of the session that
                is not settled.
        """
        worker = self.workers_by_id.get(worker_id)
        for task in worker.tasks_by_key.values() if worker else ():
            is_possible = (task.key, task.run) in possible_starts
            if not task.run_adopted and not is_possible:
                task.start_settled = True

    def session_closed(
        self,
        worker_id: str,
        possible_starts: Container[tuple[TaskKey, int]],
        now: float,
    ) -> None:
        """Record which starts of a closed session may still be carried out.

        A later session with the worker does not know of them.

        Args:
            worker_id: The worker.
            possible_starts: See ``settle_unsent_starts``.
            now: Node-clock seconds.
        """
        self.settle_unsent_starts(worker_id, possible_starts)
        worker = self.workers_by_id.get(worker_id)
        for task in worker.tasks_by_key.values() if worker else ():
            if (task.key, task.run) in possible_starts:
                self.keep_late_start(task, now)

    def start_confirmed(self, key: TaskKey, run: int, now: float) -> None:
        """Record that a worker has accepted the start of a run."""
        task = self.current(key, run)
        if task is not None:
            task.start_settled = True
            worker = self.workers_by_id.get(task.worker_id)
            if worker is not None and worker.start_trials.record_accepted(now):
                _logger.info(
                    "worker carries out starts again", extra={"worker": task.worker_id}
                )
            self._confirm_start(task, now)

    def _confirm_start(self, task: Task, now: float) -> None:
        self.note_begun(task)
        task.record_start(now)
        task.run_confirmed = True
        task.rejections = 0
        task.stage.advice.record_start()
        worker = self.workers_by_id.get(task.worker_id)
        if worker is not None:
            worker.heard_at = now
        self.step(task, "started", now)

    def start_rejected(self, key: TaskKey, run: int, reason: str, now: float) -> None:
        """Record that a run was rejected and will never start.

        The other members of a gang's run are stopped.

        Args:
            key: The task.
            run: Number of the run.
            reason: Code of the rejection. "permit" also ends the worker's
                permit for the step.
            now: Node-clock seconds.
        """
        task = self.current(key, run)
        if task is None:
            return
        _logger.info(
            "start rejected",
            extra={
                **run_log_fields(task),
                "run": run,
                "worker": task.worker_id,
                "reason": reason,
                "state": task.state,
            },
        )
        task.start_settled = True
        task.rejections += 1
        if reason == "permit":
            task.stage.advice.record_rejection(task.worker_id, now)
        if reason in REFUSALS:
            self._record_refusal(task, reason, now)
        self.step(task, "rejected", now)
        self.stop_gang(task.stage, run)

    def _record_refusal(self, task: Task, reason: str, now: float) -> None:
        """Record a start without success; its worker then gets fewer."""
        worker = self.workers_by_id.get(task.worker_id)
        if worker is None:
            return
        trials = worker.start_trials
        if trials.record_refusal(task.started_at, now):
            _logger.warning(
                "worker carries out no starts",
                extra={
                    **run_log_fields(task),
                    "worker": task.worker_id,
                    "reason": reason,
                    "state": trials.state,
                    "rest_s": round(max(trials.rest_until - now, 0.0), 3),
                },
            )

    def await_reports(self, until: float) -> None:
        """Preempt nothing until all present workers have reported.

        Without a report, a worker seems unreachable or still holds runs that
        have ended, so runs elsewhere would be stopped for capacity that is
        free in truth.

        Args:
            until: Time after which missing reports are not waited for, in
                node-clock seconds.
        """
        self._awaited_workers = set(self.workers_by_id)
        self._reports_due_at = until

    def report(
        self,
        worker_id: str,
        running: Collection[RunReport],
        now: float,
        polled_at: float | None = None,
    ) -> None:
        """Update progress and checkpoints from the runs that a worker lists.

        A listed run confirms its start. A listed run that is not the current
        run of a placed task is passed to ``stop_unwanted_run``.

        Args:
            worker_id: The worker.
            running: The runs that it lists.
            now: Node-clock seconds.
            polled_at: Node-clock seconds at which the poll was sent, None for
                the present time.
        """
        self._awaited_workers.discard(worker_id)
        for entry in running:
            task = self.find(entry.key)
            if task is not None:
                self.note_begun(task)
            if task is None or not task.is_current(entry.run, worker_id):
                self.stop_unwanted_run(worker_id, entry, task, now)
                continue
            if task.state == "starting":
                self._confirm_start(task, now)
            self.save_checkpoint(task, entry.checkpoint)
            if task.reported_at - task.rate_baseline_at > MIN_ELAPSED_S:
                task.rate_baseline_at, task.rate_baseline_percent = (
                    task.reported_at,
                    task.percent,
                )
            if entry.percent != task.percent:
                task.progressed_at = now
            task.percent = entry.percent
            task.reported_at = now
            task.usage = entry.usage
            was_suspected = is_suspected(task)
            if clear_if_harmless(task):
                self.dirty.add(task.key.workflow_id)
            if was_suspected and not is_suspected(task):
                _logger.info(
                    "task is no longer suspected of crashing its workers",
                    extra={**run_log_fields(task), "worker": worker_id},
                )
        worker = self.workers_by_id.get(worker_id)
        if worker is not None:
            worker.heard_at = now
            answered_at = now if polled_at is None else polled_at
            worker.polled_at = max(worker.polled_at, answered_at)
            worker.release_ended({(entry.key, entry.run) for entry in running})
            update_worker_speed(worker, self.run_times, now)

    def settle_reappeared(
        self, worker_id: str, listed_runs: set[tuple[TaskKey, int]], now: float
    ) -> None:
        """Interrupt runs that had reappeared and are not listed any more.

        Their ends have been handled, unless an earlier report had listed them.

        Args:
            worker_id: The worker.
            listed_runs: Runs that the worker's report lists.
            now: Node-clock seconds.
        """
        worker = self.workers_by_id.get(worker_id)
        for key, run in worker.reappeared - listed_runs if worker else ():
            worker.reappeared.discard((key, run))
            task = self.find(key)
            if task is not None and task.is_current(run, worker_id):
                self._interrupt(task, "not_listed", now)

    def end(self, worker_id: str, ended: RunEnd, now: float) -> bool:
        """Handle the end of a run that a worker reports.

        The end may be acknowledged to the worker once ``is_recorded`` holds
        for its workflow, also if it changes nothing: what is known of it may
        not have been recorded yet.

        Returns:
            Whether the end has changed the progress of its workflow.
        """
        task = self.find(ended.key)
        if task is None:
            return False
        self.note_begun(task)
        current = task.run == ended.run and task.worker_id == worker_id
        _logger.info(
            "run ended",
            extra={
                **run_log_fields(task),
                "run": ended.run,
                "worker": worker_id,
                "end": str(ended.kind),
                "current": current,
                "state": task.state,
                "recorded": self.is_recorded(task.key.workflow_id),
            },
        )
        if ended.kind in (EndKind.DONE, EndKind.FAILED) and current:
            clear_if_harmless(task, has_ended=True)
        if ended.kind is EndKind.DONE and not task.stage.spec.service:
            return self._record_done(task, worker_id, current, now)
        if not current or task.ended:
            return False
        self.save_checkpoint(task, ended.checkpoint)
        if not task.placed:
            # The run was given up, but the next one may resume from its end.
            if ended.checkpoint:
                self.dirty.add(task.key.workflow_id)
            return bool(ended.checkpoint)
        if ended.kind is EndKind.FAILED:
            task.failed_workers.add(worker_id)
            task.stage.failed_at = now
            self.record_worker_failure(worker_id, task, now)
        event = _END_EVENTS.get(ended.kind, "run_interrupted")
        if task.stage.spec.service:
            # A service task is restarted regardless of how its run ended.
            event = "run_interrupted"
        self.step(task, event, now)
        self._after_failure(task, ended.kind, now)
        return True

    def plan(self, now: float, wall: float) -> list[Effect]:
        """Run a planning pass and return all pending effects.

        Args:
            now: Node-clock seconds.
            wall: Unix seconds, for occurrences with a due time.
        """
        self._settle_suspicions(now, awaited_only=True)
        active = self._active_workflows()
        self._mark_observers(active)
        scheduling_plan = self._planner.plan(
            active,
            list(self.workers_by_id.values()),
            self.guaranteed_by_organisation,
            now,
            wall,
            not self._awaited_workers or now >= self._reports_due_at,
            self.advice_requests.may_ask(now),
        )
        for task in scheduling_plan.stops:
            self.stop(task, "preempted")
        self.advice_requests.note_waits(scheduling_plan.advice_waits, now)
        if scheduling_plan.advice_need is not None:
            need = scheduling_plan.advice_need
            self.effects.append(self.advice_requests.ask(need, now))
        for stage, end in scheduling_plan.deferral_ends:
            self._log_deferral_end(stage, end)
        runs_by_stage: dict[int, int] = {}
        for task, worker in scheduling_plan.starts:
            self.assign(task, worker, runs_by_stage, now)
        for held in scheduling_plan.held_starts:
            self._poll_for(held, now)
        return self.take_effects()

    def _log_deferral_end(self, stage: Stage, end: DeferralEnd) -> None:
        _logger.info(
            "step starts without waiting longer for better room",
            extra={
                "job": stage.workflow.workflow.workflow_id,
                "step": f"{stage.occurrence}.{stage.index}",
                "uses": str(end),
            },
        )

    def _poll_for(self, held: HeldStart, now: float) -> None:
        """Request polls of the workers whose answer a start waits for."""
        for worker_id in held.worker_ids:
            worker = self.workers_by_id.get(worker_id)
            if worker is None or not worker.reachable:
                continue
            if now - worker.poll_requested_at < POLL_REQUEST_INTERVAL_S:
                continue
            worker.poll_requested_at = now
            self.effects.append(PollWorker(worker_id))
            _logger.info(
                "start held until a worker answers that may carry out an earlier one",
                extra={**run_log_fields(held.task), "worker": worker_id},
            )

    def _active_workflows(self) -> list[WorkflowProgress]:
        return [p for p in self.workflows_by_id.values() if p.ended_at is None]

    def _settle_suspicions(self, now: float, awaited_only: bool = False) -> None:
        """Drop refuted evidence, and give up tasks whose guilt is proved.

        Args:
            now: Node-clock seconds.
            awaited_only: Whether only tasks are looked at that wait for a
                verdict or for an answer of a silent worker.
        """
        for holder in suspicion_holders(self._active_workflows()):
            is_awaited = is_accused(holder) or has_silent_workers(holder)
            if awaited_only and not is_awaited:
                continue
            if not settle_suspicion(
                holder, self._crash_history, self.workers_by_id, now
            ):
                continue
            self.dirty.add(holder.key.workflow_id)
            if is_guilty(holder):
                self.give_up_guilty(holder, now)
                continue
            _logger.info(
                "evidence of crashes against a task has changed",
                extra={
                    **run_log_fields(holder),
                    "run": holder.run,
                    "suspicion": holder.suspicion,
                    "crashed_runs": sorted(valid_evidence_by_run(holder)),
                },
            )

    def _mark_observers(self, active: list[WorkflowProgress]) -> None:
        """Keep other runs away from the workers of suspected tasks."""
        for worker in self.workers_by_id.values():
            worker.observes_suspect = False
        for task in suspected_runs(active):
            worker = self.workers_by_id.get(task.worker_id)
            if worker is not None:
                worker.observes_suspect = True

    def record_advice(
        self, request: AskAdvice, tickets: Tickets | None, now: float
    ) -> str:
        """Record the outcome of a request to the advice service.

        Args:
            request: The request.
            tickets: The reply; None if the service gave none.
            now: Node-clock seconds.

        Returns:
            See ``AdviceRequests.record_reply``.
        """
        progress = self.workflows_by_id.get(request.workflow_id)
        stage = None
        if progress is not None:
            stage = progress.occurrences[request.occurrence].stages[request.step]
        return self.advice_requests.record_reply(request, stage, tickets, now)

    def throttle(self, now: float) -> None:
        """Adjust the speed of filling tasks to the measured tail latency."""
        for worker in self.workers_by_id.values():
            for change in self._throttle_policy.changes(worker, now):
                task = change.task
                task.speed_percent = change.percent
                task.speed_known = True
                _logger.info(
                    "filling task throttled",
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
        """Record that a throttle command may not have taken effect.

        Later changes are computed from full speed, and the next one is sent
        even if that is full speed itself.
        """
        task = self.current(key, run)
        if task is not None:
            task.speed_percent = FULL_SPEED_PERCENT
            task.speed_known = False

    def supervise(self, now: float) -> None:
        """Stop runs that should be restarted on another worker.

        These are runs that are stuck, that a slow worker delays, or that would
        end only after their worker leaves.
        """
        workers = list(self.workers_by_id.values())
        for task, reason, counts_against_worker in runs_to_interrupt(
            workers, self.run_times, now
        ):
            if counts_against_worker:
                self.record_worker_failure(task.worker_id, task, now)
            if reason == "no_progress":
                stall_holder(task).stalls += 1
            if reason == "slow_worker":
                task.stage.restarts += 1
            self.stop(task, reason)
            self.stop_gang(task.stage, task.run)

    def adopt_run(
        self,
        key: TaskKey,
        run: int,
        worker_id: str,
        started: bool,
        now: float,
        process_started_ms: int = 0,
        start_settled: bool = False,
        start_sent_by: float = math.inf,
    ) -> None:
        """Restore a run that is named by a stored record or by a worker.

        A task that is placed already keeps its current run; the start of that
        run is confirmed if it is the given one and ``started`` is set. A
        listed run that is older than the newest one of its task or gang is
        ignored. The run of an ended workflow is stopped.

        Args:
            key: The task; the run is ignored if the task is unknown or ended.
            run: Number of the run.
            worker_id: Worker of the run; the run is ignored if the worker is
                unknown.
            started: Whether the worker has confirmed the start.
            now: Node-clock seconds.
            process_started_ms: Start time of the worker process that was to
                start the run, in Unix milliseconds, 0 if unknown. If the
                worker has been restarted since, its crash is counted.
            start_settled: Whether the attempts of its start without a reply
                are known.
            start_sent_by: Node-clock seconds from which on attempts of its
                start are sent for at most ``START_ATTEMPTS_S``; ``now`` counts
                if it is earlier.
        """
        task = self.find(key)
        if task is None or task.ended:
            return
        if started:
            self.note_begun(task)
        if task.placed:
            if task.worker_id == worker_id and task.run == run and started:
                task.run_confirmed = True
                self.step(task, "started", now)
            return
        if worker_id not in self.workers_by_id:
            return
        if started and run < _newest_run(task):
            return
        task.run, task.worker_id = run, worker_id
        task.pool = self.workers_by_id[worker_id].facts.pool
        task.start_process_ms = process_started_ms
        task.highest_run = max(task.highest_run, run)
        task.run_saved = False
        task.speed_percent, task.speed_known = FULL_SPEED_PERCENT, False
        task.record_start(now)
        self.step(task, "assign", now)
        known_started_ms = self.workers_by_id[worker_id].facts.process_started_ms
        both_known = process_started_ms and known_started_ms
        if both_known and known_started_ms != process_started_ms:
            # The record does not tell whether and for how long the run had
            # gone on.
            holder = suspicion_holder(task)
            causes = frozenset({holder.key})
            crash = WorkerCrash(worker_id, now, now, now, causes, causes)
            self._crash_history.add(crash)
            add_evidence(
                holder,
                run,
                crash,
                self.workers_by_id[worker_id].facts,
                certain=True,
                suspect=True,
            )
            step_suspicion(task, "suspect")
            _logger.warning(
                "worker crashed before the takeover",
                extra={**run_log_fields(task), "run": run, "worker": worker_id},
            )
        task.run_confirmed, task.run_adopted = started, True
        task.start_settled = start_settled
        task.start_sent_at = min(now, start_sent_by)
        if started:
            self.step(task, "started", now)
        if task.stage.workflow.ended_at is not None:
            self.effects.append(StopRun(worker_id, key, run))
            self.step(task, "withdraw", now)

    def reconcile(
        self,
        worker_id: str,
        listed_runs: set[tuple[TaskKey, int]],
        first_report: bool,
        now: float,
        polled_at: float = math.inf,
        early_starts: Container[tuple[TaskKey, int]] = frozenset(),
    ) -> bool:
        """Interrupt runs that a worker does not list.

        Stops are sent again if they were sent by an earlier session.

        Args:
            worker_id: The worker.
            listed_runs: Runs that the worker's report lists.
            first_report: Whether this is the first report of the session.
                That poll has raised the worker's fencing token, so the worker
                rejects what earlier sessions have sent, and this session had
                sent no start before: a missing run cannot start any more,
                unless it is one of ``early_starts``. In later reports, a run
                that is starting or stopping is kept, since the session's
                command may be in flight.
            now: Node-clock seconds.
            polled_at: Node-clock seconds at which the poll was sent. A run
                whose start was confirmed later is kept, since the worker may
                have replied to the poll before.
            early_starts: Starts that the session has got before this report
                was handled, and may have sent since. Their outcome is told.

        Returns:
            Whether no run was kept for that reason.
        """
        worker = self.workers_by_id.get(worker_id)
        decided = True
        missing = []
        for task in list(worker.tasks_by_key.values()) if worker else ():
            if (task.key, task.run) in listed_runs:
                if first_report and task.state == "stopping":
                    self.effects.append(StopRun(worker_id, task.key, task.run))
            elif task.state == "running" and task.started_at > polled_at:
                decided = False
            elif (task.key, task.run) in early_starts:
                continue
            elif first_report or task.state == "running":
                missing.append(task)
        self._interrupt_all(missing, "not_listed", now)
        return decided

    def restore_final_state(
        self,
        workflow_id: str,
        state: WorkflowState,
        now: float,
        placed: Container[TaskKey] = frozenset(),
    ) -> None:
        """Mark a workflow as ended with the final state of its record.

        Args:
            workflow_id: The workflow.
            state: The final state.
            now: Node-clock seconds.
            placed: Tasks with a recorded run, which use capacity until it has
                ended; see ``adopt_run``.
        """
        progress = self.workflows_by_id[workflow_id]
        progress.ended_at = now
        progress.cancelled = state is WorkflowState.CANCELLED
        for task in progress.tasks():
            if task.state == "waiting" and task.key not in placed:
                event = "give_up" if state is WorkflowState.FAILED else "withdraw"
                task.state = TASK_CHART.step("waiting", event).target

    def forget(self, workflow_id: str) -> None:
        """Remove an ended workflow whose stored records were deleted."""
        self.workflows_by_id.pop(workflow_id, None)

    def set_aside(self, workflow_id: str) -> None:
        """Exclude a workflow whose stored progress is unknown.

        It is neither run nor accepted again. Its runs go on, unless it has
        been or will be cancelled.
        """
        self.set_aside_ids.add(workflow_id)
        progress = self.workflows_by_id.pop(workflow_id, None)
        was_cancelled = progress is not None and progress.cancelled
        if was_cancelled or workflow_id in self._early_cancels_by_id:
            self.cancelled_aside_ids.add(workflow_id)

    def queue_length(self, queue: str) -> int:
        """Return the number of a queue's workflows that have not begun."""
        return sum(
            1
            for progress in self.workflows_by_id.values()
            if progress.workflow.queue == queue
            and not progress.begun
            and progress.ended_at is None
        )

    def _record_done(
        self, task: Task, worker_id: str, current: bool, now: float
    ) -> bool:
        if task.ended:
            return False
        worker = self.workers_by_id.get(worker_id)
        if worker is not None and current:
            worker.record_success(task.started_at)
        if current and task.state == "running":
            self.run_times.record_end(task, now)
        # The members of a gang end together, so the end of one member
        # completes all of them. Other runs of members go on until their stop.
        members = task.stage.tasks if task.stage.spec.gang else [task]
        for member in members:
            if member.ended:
                # The member was withdrawn while this run was being stopped.
                continue
            has_ended = current and member.run == task.run
            goes_on = member.placed and not has_ended
            if goes_on:
                self.stop(member, "done_elsewhere")
            self.step(member, "run_done", now)
            if goes_on:
                amount = resources_used(member.stage.spec)
                self.workers_by_id[member.worker_id].keep_until_ended(
                    member.key, member.run, amount, now
                )
        self.settle(task.stage.workflow, now)
        return True

    def _after_failure(self, task: Task, kind: EndKind, now: float) -> None:
        stage = task.stage
        if stage.spec.gang:
            self.stop_gang(stage, task.run)
        if stage.workflow.cancelled:
            self.withdraw(stage.workflow, now)
        elif kind is EndKind.FAILED and not stage.spec.service:
            self.give_up_if_exhausted(stage, task, now)


def _rounded(seconds: float) -> float | None:
    """Return a time for a log line, None if it is infinite."""
    return round(seconds, 3) if math.isfinite(seconds) else None


def _suspect_names(suspects: list[Task]) -> list[str]:
    """Return the first suspects of a crash for a log line."""
    return [
        f"{task.key.workflow_id} {run_log_fields(task)['task']}"
        for task in suspects[:LOGGED_SUSPECTS]
    ]


def _newest_run(task: Task) -> int:
    """Return the number of the newest run of a task or of its gang."""
    members = task.stage.tasks if task.stage.spec.gang else [task]
    return max(member.highest_run for member in members)
