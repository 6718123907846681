"""Mutable state of the engine: tasks, steps, workflows and workers."""

import math
from collections.abc import Container, Iterator
from typing import NamedTuple

from ..statecharts import load_chart
from .advice import StepAdvice
from .model import (
    NO_RESOURCES,
    QueuePolicy,
    Resources,
    StepSpec,
    TaskKey,
    WorkerFacts,
    Workflow,
    WorkflowState,
)
from .start_trials import StartTrials

TASK_CHART = load_chart(
    "task",
    frozenset(
        {
            "assign",
            "started",
            "rejected",
            "stop",
            "run_done",
            "run_failed",
            "run_interrupted",
            "give_up",
            "withdraw",
            "worker_restarted",
        }
    ),
    frozenset({"occupy", "release", "count_failure"}),
)
# Time after a failure during which a worker without a later success is a
# suspect and is chosen last. Failing workers typically fail for some 7 s.
SUSPECT_S = 8.0
# A worker that fails whatever it starts does so within this time.
SOUND_RUN_S = 0.3
PLACED_STATES = frozenset({"starting", "running", "stopping"})
# Time after which the stop of a run that is still listed is sent again.
STOP_INTERVAL_S = 1.0
# Time for which a start that is not sent yet, as the record of its job is not
# written, counts as the one of a worker on trial.
UNSENT_TRIAL_S = 2.0


class SilentProcess(NamedTuple):
    """A worker process whose lease lapsed, so that it may have crashed.

    Attributes:
        worker_id: The worker.
        address: Its address.
        started_ms: Start time of the process in Unix milliseconds, 0 if
            unknown.
        start_confirmed: Whether it had confirmed the start of the run.
        suspect: Whether the run may be the cause if it has crashed.
        alone: Whether no other run on the worker may be the cause.
        undated: Whether it is not known for how long the run had gone on.
    """

    worker_id: str
    address: str
    started_ms: int
    start_confirmed: bool
    suspect: bool
    alone: bool
    undated: bool = False


class CrashEvidence(NamedTuple):
    """A run of a task or gang under which workers crashed.

    Attributes:
        first_heard_at: Last sign of life of the worker that was silent first,
            in node-clock seconds; infinite, and ``ended_by`` minus infinity,
            if an earlier coordinator saw the crash.
        ended_by: Latest time at which a worker can have crashed, in node-clock
            seconds.
        seen_at: Time at which the newest of the crashes was detected, or found
            to be one, in node-clock seconds.
        worker_ids: The workers, with those that fell silent.
        addresses: Addresses of the workers whose processes have ended.
        certain: Whether the process of a worker has ended.
        confirmed: Whether such a worker had confirmed the start.
        suspect: Whether the run may be the cause of such a crash; False also
            once a later run has proved harmless.
        alone: Whether no other run on such a worker may be the cause.
        undated: Whether it is not known for how long the run had gone on, as
            an earlier coordinator placed it. It counts towards the limit.
        refuted: Whether the crashes have a cause outside the task.
        silent: Processes that fell silent and may have ended.
    """

    first_heard_at: float
    ended_by: float
    seen_at: float
    worker_ids: frozenset[str]
    addresses: frozenset[str]
    certain: bool
    confirmed: bool
    suspect: bool
    alone: bool
    refuted: bool
    undated: bool = False
    silent: frozenset[SilentProcess] = frozenset()


class UnwantedRun(NamedTuple):
    """A run on a worker that is being stopped and is no task's current run.

    Attributes:
        amount: Capacity that it uses.
        stopped_at: Node-clock seconds at which its stop was last sent.
    """

    amount: Resources
    stopped_at: float


class LateStart(NamedTuple):
    """A start that a worker may still carry out.

    Attributes:
        until: Node-clock seconds after which neither the start can be carried
            out nor its run go on.
        process_started_ms: Start time of the process that it was sent to, in
            Unix milliseconds, 0 if unknown.
    """

    until: float
    process_started_ms: int = 0


class Task:
    """A task and its newest run.

    Attributes:
        key: Key of the task.
        stage: Step of the task.
        state: State in ``TASK_CHART``.
        run: Number of the newest run, 0 before the first. It is lower while an
            older run that a worker has listed is being stopped.
        highest_run: Highest number that a run of the task has had.
        run_resumed: Whether the newest run resumed from a checkpoint.
        run_saved: Whether the newest run has saved a checkpoint on the present
            process of its worker.
        run_confirmed: Whether the worker has confirmed the newest run's start.
        run_adopted: Whether an earlier coordinator placed the newest run, so
            that its start may have been sent.
        start_settled: Whether no attempt of the newest run's start will be
            sent any more, and those without a reply are known.
        start_sent_at: Node-clock seconds at which that start was first sent,
            None before.
        start_process_ms: Start time in Unix milliseconds of the worker process
            that the newest run was placed on, 0 if unknown.
        late_starts_by_worker: Workers that may still carry out a start of a
            run that is over or going on, or execute its run.
        rejections: Number of starts that were rejected, or got no reply, since
            the last one that was confirmed.
        worker_id: Worker of the newest run, "" before the first.
        pool: Pool of that worker when the run was placed or found. The queue
            may have moved to another pool since.
        checkpoint: Newest checkpoint, "" if there is none. A gang's checkpoint
            is stored in its first task.
        failures: Number of failed runs. Those of a gang are counted in its
            first task.
        failed_workers: Workers on which runs of the task failed.
        crash_evidence_by_run: Runs under which workers crashed or may have
            crashed. Those of a gang are stored in its first task.
        suspicion: State in the chart of crash suspicions; that of a gang is
            stored in its first task.
        stalls: Number of runs that were stopped for want of progress. Those of
            a gang are counted in its first task.
        started_at: Node-clock seconds at which the newest run started.
        percent: Reported progress of the newest run in percent.
        progressed_at: Node-clock seconds at which the progress last changed.
        reported_at: Time of the last report, in node-clock seconds.
        rate_baseline_at: Time of an earlier report, from which the latest rate
            of progress is computed, in node-clock seconds.
        rate_baseline_percent: Progress in that earlier report.
        usage: Last reported usage; see ``RunReport``.
        speed_percent: Throttled speed of a filling task in percent.
        speed_known: Whether the worker runs the task at that speed; an earlier
            command may have set another one.
    """

    __slots__ = (
        "checkpoint",
        "crash_evidence_by_run",
        "failed_workers",
        "failures",
        "highest_run",
        "key",
        "late_starts_by_worker",
        "speed_known",
        "speed_percent",
        "stalls",
        "percent",
        "pool",
        "progressed_at",
        "rate_baseline_at",
        "rate_baseline_percent",
        "rejections",
        "reported_at",
        "run",
        "run_adopted",
        "run_confirmed",
        "run_resumed",
        "run_saved",
        "stage",
        "start_process_ms",
        "start_sent_at",
        "start_settled",
        "started_at",
        "state",
        "suspicion",
        "usage",
        "worker_id",
    )

    def __init__(self, key: TaskKey, stage: "Stage") -> None:
        self.key = key
        self.stage = stage
        self.state = TASK_CHART.initial
        self.run = 0
        self.highest_run = 0
        self.run_resumed = False
        self.run_saved = False
        self.run_adopted = False
        self.run_confirmed = False
        self.start_settled = True
        self.start_sent_at: float | None = None
        self.start_process_ms = 0
        self.late_starts_by_worker: dict[str, LateStart] = {}
        self.rejections = 0
        self.worker_id = ""
        self.pool = ""
        self.checkpoint = ""
        self.failures = 0
        self.failed_workers: set[str] = set()
        self.crash_evidence_by_run: dict[int, CrashEvidence] = {}
        self.suspicion = "clear"
        self.stalls = 0
        self.started_at = 0.0
        self.percent = 0.0
        self.progressed_at = 0.0
        self.reported_at = 0.0
        self.rate_baseline_at = 0.0
        self.rate_baseline_percent = 0.0
        self.usage = 0.0
        self.speed_percent = 100
        self.speed_known = True

    def record_start(self, now: float) -> None:
        """Reset the times of a run when it is placed or confirmed."""
        self.started_at = self.progressed_at = self.reported_at = now
        self.rate_baseline_at, self.rate_baseline_percent = now, 0.0

    def add_late_start(
        self, worker_id: str, until: float, process_started_ms: int = 0
    ) -> None:
        """Record that a worker may still carry out a start of the task.

        Args:
            worker_id: The worker.
            until: Node-clock seconds after which neither the start can be
                carried out nor its run go on.
            process_started_ms: Start time of the process that it was sent to,
                in Unix milliseconds, 0 if unknown.
        """
        known = self.late_starts_by_worker.get(worker_id)
        if known is not None:
            until = max(known.until, until)
            if known.process_started_ms != process_started_ms:
                process_started_ms = 0
        start = LateStart(until, process_started_ms)
        self.late_starts_by_worker[worker_id] = start

    def late_start_workers(self, now: float) -> tuple[str, ...]:
        """Return the workers that may still carry out a start of the task.

        Args:
            now: Node-clock seconds.
        """
        return tuple(worker_id for worker_id, _ in self.late_starts(now))

    def late_starts(self, now: float) -> tuple[tuple[str, LateStart], ...]:
        """Return the workers that may still carry out a start, with the start.

        Args:
            now: Node-clock seconds.
        """
        if not self.late_starts_by_worker:
            return ()
        self.late_starts_by_worker = {
            worker_id: start
            for worker_id, start in self.late_starts_by_worker.items()
            if now < start.until
        }
        return tuple(self.late_starts_by_worker.items())

    @property
    def placed(self) -> bool:
        """Whether a run exists or may exist on a worker."""
        return self.state in PLACED_STATES

    def is_current(self, run: int, worker_id: str) -> bool:
        """Return whether a run is the newest one and may exist on a worker."""
        return self.placed and (self.run, self.worker_id) == (run, worker_id)

    @property
    def ended(self) -> bool:
        """Whether no further run is needed."""
        return self.state in TASK_CHART.final_states


class Stage:
    """A step in one occurrence of a workflow.

    Attributes:
        workflow: Progress of the workflow.
        occurrence: Index of the occurrence.
        index: Index of the step.
        spec: Specification of the step.
        ready_at: Node-clock seconds at which the step became ready, None
            before.
        deferred_since: Node-clock seconds from which on each planning pass
            has left the step waiting although it had room, None if the newest
            one has not; see ``DeferralLimit``.
        failed_runs: Numbers of the failed runs of a gang.
        failed_at: Time of the newest failed run, in node-clock seconds.
        crashed_at: Time of the newest crash of a worker of which a task of the
            step is suspected, in node-clock seconds.
        harmless_suspects: Number of suspected tasks that have proved harmless
            since that crash.
        restarts: Number of runs that were stopped because of slow workers.
        advice: What the advice service has said of the step.
        tasks: All tasks of the step.
    """

    __slots__ = (
        "advice",
        "crashed_at",
        "deferred_since",
        "failed_at",
        "failed_runs",
        "harmless_suspects",
        "index",
        "occurrence",
        "ready_at",
        "restarts",
        "spec",
        "tasks",
        "workflow",
    )

    def __init__(self, workflow: "WorkflowProgress", occurrence: int, index: int):
        self.workflow = workflow
        self.occurrence = occurrence
        self.index = index
        self.spec: StepSpec = workflow.workflow.steps[index]
        self.ready_at: float | None = None
        self.deferred_since: float | None = None
        self.failed_runs: set[int] = set()
        self.failed_at = -math.inf
        self.crashed_at = -math.inf
        self.harmless_suspects = 0
        self.restarts = 0
        self.advice = StepAdvice()
        self.tasks = [
            Task(TaskKey(workflow.workflow.workflow_id, occurrence, index, i), self)
            for i in range(self.spec.tasks)
        ]

    @property
    def done(self) -> bool:
        """Whether all tasks of the step are done."""
        return all(task.state == "done" for task in self.tasks)


class Occurrence:
    """One execution of all steps of a workflow.

    Attributes:
        index: Index of the occurrence.
        due_at: Unix seconds from which the steps may run.
        stages: Steps of the occurrence.
    """

    __slots__ = ("due_at", "index", "stages")

    def __init__(self, workflow: "WorkflowProgress", index: int, due_at: float):
        self.index = index
        self.due_at = due_at
        self.stages = [
            Stage(workflow, index, step) for step in range(len(workflow.workflow.steps))
        ]

    @property
    def done(self) -> bool:
        """Whether all steps are done."""
        return all(stage.done for stage in self.stages)


class WorkflowProgress:
    """A workflow and the progress of its tasks.

    Attributes:
        workflow: The workflow.
        accepted_at: Time of the acceptance, in node-clock seconds.
        cancelled: Whether the workflow was cancelled.
        begun: Whether a worker has accepted a start of the workflow, or has
            listed a run or the end of one.
        policy: Policy of the queue in the newest configuration that is known
            to have the queue, but with the attempts of the submission.
        policy_version: Version of that configuration, 0 if unknown.
        recorded_state: State in the newest stored record. It is reported to
            callers because a later state is lost if the coordinator fails
            before storing it.
        ended_at: Node-clock seconds at which the state became final, None
            before.
        wait_observed: Whether the waiting time was added to the metrics.
        end_observed: Whether the end was added to the metrics.
        suspects_by_key: Tasks that are suspected of crashing their workers; of
            a gang, the first task.
        occurrences: All occurrences.
    """

    __slots__ = (
        "accepted_at",
        "begun",
        "cancelled",
        "end_observed",
        "ended_at",
        "occurrences",
        "policy",
        "policy_version",
        "recorded_state",
        "suspects_by_key",
        "wait_observed",
        "workflow",
    )

    def __init__(self, workflow: Workflow, now: float) -> None:
        self.workflow = workflow
        self.accepted_at = now
        self.cancelled = False
        self.begun = False
        self.policy = workflow.policy
        self.policy_version = workflow.policy_version
        self.recorded_state = WorkflowState.QUEUED
        self.ended_at: float | None = None
        self.wait_observed = False
        self.end_observed = False
        self.suspects_by_key: dict[TaskKey, Task] = {}
        self.occurrences = [
            Occurrence(self, index, workflow.first_due_at + index * workflow.interval_s)
            for index in range(max(workflow.occurrences, 1))
        ]

    def set_policy(self, policy: QueuePolicy, version: int) -> bool:
        """Put a policy of the queue in force unless it is outdated.

        The attempts stay as they were at the submission, so that a change of
        the configuration alone neither fails a workflow nor starts a task
        beyond its limit.

        Args:
            policy: The policy.
            version: Version of the configuration that has it.

        Returns:
            Whether the policy in force has changed.
        """
        if version <= self.policy_version:
            return False
        self.policy_version = version
        policy = policy._replace(attempts=self.workflow.policy.attempts)
        has_changed = policy != self.policy
        self.policy = policy
        return has_changed

    def tasks(self) -> Iterator[Task]:
        """Yield the tasks of all steps of all occurrences, in order."""
        for stage in self.stages():
            yield from stage.tasks

    def stages(self) -> Iterator[Stage]:
        """Yield all steps of all occurrences, in order."""
        for occurrence in self.occurrences:
            yield from occurrence.stages

    def find(self, key: TaskKey) -> Task | None:
        """Return the task of a key, None if its indexes are out of range."""
        try:
            stage = self.occurrences[key.occurrence].stages[key.step]
            return stage.tasks[key.index]
        except IndexError:
            return None

    @property
    def state(self) -> WorkflowState:
        """The current state, which may be newer than the recorded one."""
        if self.cancelled:
            return WorkflowState.CANCELLED
        states = {task.state for task in self.tasks()}
        if "exhausted" in states:
            return WorkflowState.FAILED
        if states <= {"done"}:
            return WorkflowState.DONE
        return WorkflowState.RUNNING if self.begun else WorkflowState.QUEUED

    @property
    def settled(self) -> bool:
        """Whether the state is final and no run is left on a worker."""
        return self.ended_at is not None and not any(
            task.placed for task in self.tasks()
        )


class Worker:
    """A worker, its runs, and its measured speed and failures.

    Attributes:
        free: Capacity that is neither used, nor claimed for a planned start,
            nor reserved for a step that waits.
        unclaimed: The same, but reserved capacity counts as well.
        reserved_in_s: Expected seconds until the first step with a reservation
            on the worker starts, infinite without any.
        tasks_by_key: Tasks with a run on the worker.
        reappeared: Current runs that the worker has listed while their task
            was waiting, and that are being stopped.
        listed: Whether the registry lists the worker.
        reachable: Whether the worker answers.
        lapsed: Whether the worker has been silent for so long that its process
            can hold no lease any more.
        emptying: Whether its machine is about to be taken down or moved.
        failures: Number of failed runs since the last successful one.
        failed_workflow_ids: Workflows of these runs.
        failed_at: Time of the newest failure, in node-clock seconds.
        failing_since: Time of the first of these failures, in node-clock
            seconds.
        sound_start_at: Node-clock seconds at which the newest run started that
            ended successfully or did not fail for some time.
        crashed_at: Time at which the worker, or an earlier one at its address,
            was seen to have crashed, in node-clock seconds.
        heard_at: Time of the last report or confirmed start of its process, in
            node-clock seconds, minus infinity before the first.
        polled_at: Node-clock seconds at which the newest answered poll of its
            process was sent, minus infinity before the first.
        poll_requested_at: Node-clock seconds at which a poll was last
            requested for a task with a late start.
        previous_pass_at: Node-clock seconds of the planning pass before the
            newest one, infinite if there is none.
        observes_suspect: Whether a task that is suspected of crashing its
            workers runs there; the worker then gets no other new runs.
        quarantined_until: Node-clock seconds until which the worker gets no
            new runs.
        quarantined_for_failed_until: Node-clock seconds until which it gets no
            new runs of ``failed_workflow_ids``.
        start_trials: Whether the worker carries out starts.
        leaves_at: Node-clock seconds until which a draining worker is
            guaranteed to stay, infinite if it does not drain.
        speed: Speed relative to other workers, 1.0 for normal.
        speed_at: Node-clock seconds at which the speed was last measured.
        throttled_at: Node-clock seconds at which the speed of its filling
            tasks was last changed.
    """

    __slots__ = (
        "_claimed",
        "_facts",
        "_lasting",
        "_pass_at",
        "_reserved",
        "_unwanted_by_run",
        "_used",
        "crashed_at",
        "emptying",
        "failed_at",
        "failed_workflow_ids",
        "failing_since",
        "failures",
        "free",
        "heard_at",
        "lapsed",
        "leaves_at",
        "listed",
        "observes_suspect",
        "poll_requested_at",
        "polled_at",
        "previous_pass_at",
        "throttled_at",
        "quarantined_for_failed_until",
        "quarantined_until",
        "reachable",
        "reappeared",
        "reserved_in_s",
        "sound_start_at",
        "speed",
        "speed_at",
        "start_trials",
        "tasks_by_key",
        "unclaimed",
    )

    def __init__(self, facts: WorkerFacts) -> None:
        self._facts = facts
        self._used = NO_RESOURCES
        self._claimed = NO_RESOURCES
        self._reserved = NO_RESOURCES
        self.reserved_in_s = math.inf
        self._lasting = NO_RESOURCES  # used by tasks of services
        self._unwanted_by_run: dict[tuple[TaskKey, int], UnwantedRun] = {}
        self.free = self.unclaimed = facts.capacity
        self.tasks_by_key: dict[TaskKey, Task] = {}
        self.reappeared: set[tuple[TaskKey, int]] = set()
        self.listed = True
        self.reachable = True
        self.lapsed = False
        self.emptying = False
        self.crashed_at = -math.inf
        self.heard_at = -math.inf
        self.polled_at = -math.inf
        self.poll_requested_at = -math.inf
        self.previous_pass_at = self._pass_at = math.inf
        self.observes_suspect = False
        self.failures = 0
        self.failed_workflow_ids: set[str] = set()
        self.failed_at = 0.0
        self.failing_since = 0.0
        self.sound_start_at = -math.inf
        self.quarantined_until = self.quarantined_for_failed_until = 0.0
        self.start_trials = StartTrials()
        self.leaves_at = math.inf
        self.speed = 1.0
        self.speed_at = 0.0
        self.throttled_at = 0.0

    @property
    def facts(self) -> WorkerFacts:
        """Registry entry; setting it updates the free capacity."""
        return self._facts

    @facts.setter
    def facts(self, facts: WorkerFacts) -> None:
        self._facts = facts
        self._update_free()

    @property
    def used(self) -> Resources:
        """Capacity that runs hold."""
        return self._used

    @property
    def idle(self) -> Resources:
        """Capacity that no run holds, claimed or not."""
        return self._facts.capacity.minus(self._used)

    @property
    def capacity_beside_lasting(self) -> Resources:
        """Capacity that lasting runs do not hold, claimed or not."""
        capacity = self._facts.capacity
        if self._lasting == NO_RESOURCES:
            return capacity
        for task in self.tasks_by_key.values():
            if is_lasting(task):
                capacity = capacity.minus(resources_used(task.stage.spec))
        return capacity

    def add(self, task: Task) -> None:
        """Add a task and count its resources as used.

        Its newest run may have been one of ``keep_until_ended``.
        """
        unwanted = self._unwanted_by_run.pop((task.key, task.run), None)
        if unwanted is not None:
            self._used = self._used.minus(unwanted.amount)
        self.tasks_by_key[task.key] = task
        amount = resources_used(task.stage.spec)
        self._used = self._used.plus(amount)
        if task.stage.spec.service:
            self._lasting = self._lasting.plus(amount)
        self._update_free()

    def remove(self, task: Task) -> None:
        """Remove a task and free its resources; unknown tasks are ignored."""
        self.reappeared.discard((task.key, task.run))
        if self.tasks_by_key.pop(task.key, None) is not None:
            amount = resources_used(task.stage.spec)
            self._used = self._used.minus(amount)
            if task.stage.spec.service:
                self._lasting = self._lasting.minus(amount)
            self._update_free()

    def keep_until_ended(
        self, key: TaskKey, run: int, amount: Resources, now: float
    ) -> bool:
        """Count a run that is no task's current run as used until its end.

        Args:
            key: Task of the run.
            run: Number of the run.
            amount: Capacity that the run uses.
            now: Node-clock seconds.

        Returns:
            Whether a stop has to be sent.
        """
        unwanted = self._unwanted_by_run.get((key, run))
        if unwanted is None:
            self._used = self._used.plus(amount)
            self._update_free()
        elif now - unwanted.stopped_at < STOP_INTERVAL_S:
            return False
        else:
            amount = unwanted.amount
        self._unwanted_by_run[key, run] = UnwantedRun(amount, now)
        return True

    @property
    def may_have_runs(self) -> bool:
        """Whether a run may go on, current or being stopped."""
        return bool(self.tasks_by_key or self._unwanted_by_run)

    @property
    def unwanted_keys(self) -> list[TaskKey]:
        """Tasks of the runs that ``keep_until_ended`` counts."""
        return [key for key, _ in self._unwanted_by_run]

    def release_ended(self, going_on: Container[tuple[TaskKey, int]] = ()) -> None:
        """Free the capacity of the runs of ``keep_until_ended`` that ended.

        Args:
            going_on: Runs that the worker may still execute.
        """
        for run_key in [key for key in self._unwanted_by_run if key not in going_on]:
            self._used = self._used.minus(self._unwanted_by_run.pop(run_key).amount)
            self._update_free()

    def claim(self, amount: Resources) -> None:
        """Take capacity for a planned start until the next planning pass."""
        self._claimed = self._claimed.plus(amount)
        self._update_free()

    def reserve(self, amount: Resources, available_in_s: float) -> None:
        """Keep capacity for a step that waits until the next planning pass.

        Args:
            amount: The capacity, idle or in use.
            available_in_s: Expected seconds until the step starts.
        """
        self._reserved = self._reserved.plus(amount)
        self.reserved_in_s = min(self.reserved_in_s, available_in_s)
        self._update_free()

    def begin_pass(self, now: float) -> None:
        """Release what the last planning pass has kept, and end a rest.

        Args:
            now: Node-clock seconds.
        """
        self.previous_pass_at, self._pass_at = self._pass_at, now
        self.start_trials.begin_pass(now)
        if self._claimed is not NO_RESOURCES or self._reserved is not NO_RESOURCES:
            self._claimed = self._reserved = NO_RESOURCES
            self.reserved_in_s = math.inf
            self._update_free()

    def _update_free(self) -> None:
        # Cached, because planning reads them for each pair of worker and step.
        self.unclaimed = self._facts.capacity.minus(self._used).minus(self._claimed)
        self.free = self.unclaimed.minus(self._reserved)

    @property
    def has_trial_start(self) -> bool:
        """Whether a worker on trial has, or gets in this pass, a start."""
        trials = self.start_trials
        if not trials.on_trial:
            return False
        unsent_since = trials.planned_at - UNSENT_TRIAL_S
        return trials.is_planned or any(
            task.state == "starting"
            and (task.start_sent_at is not None or task.started_at > unsent_since)
            for task in self.tasks_by_key.values()
        )

    def update_leave_time(self, now: float) -> None:
        """Update ``leaves_at`` from the registry entry.

        The time is computed once, when the worker starts to drain.
        """
        if not self.facts.draining:
            self.leaves_at = math.inf
        elif math.isinf(self.leaves_at):
            self.leaves_at = now + self.facts.remaining_s

    def is_suspect(self, now: float) -> bool:
        """Return whether a run failed recently and none succeeded since."""
        return self.failures > 0 and now - self.failed_at < SUSPECT_S

    def record_failure(self, now: float) -> None:
        """Count a failed run."""
        if not self.failures:
            self.failing_since = now
        self.failures += 1
        self.failed_at = now

    def record_success(self, started_at: float) -> None:
        """Clear the failures that a successful run disproves.

        A worker may fail all new runs while earlier ones go on, so only a run
        that started after the first failure clears them.
        """
        self.sound_start_at = max(self.sound_start_at, started_at)
        if started_at >= self.failing_since:
            self.clear_failures()

    def clear_failures(self) -> None:
        """Forget all failed runs."""
        self.failures = 0
        self.failed_workflow_ids.clear()

    def has_proved_sound(self, since: float, now: float) -> bool:
        """Return whether a run that started after a time has not failed.

        Args:
            since: Node-clock seconds.
            now: Node-clock seconds.
        """
        if self.sound_start_at < since:
            # The result is kept, as the run may be stopped for the very step
            # that looks for a sound worker.
            starts = [
                task.started_at
                for task in self.tasks_by_key.values()
                if task.state == "running" and task.started_at <= now - SOUND_RUN_S
            ]
            self.sound_start_at = max([self.sound_start_at, *starts])
        return self.sound_start_at >= since

    @property
    def present(self) -> bool:
        """Whether the worker answers and is to stay."""
        leaves = self.facts.draining or self.emptying
        return self.listed and self.reachable and not leaves

    def usable(self, now: float) -> bool:
        """Return whether new runs may be placed on the worker."""
        return (
            self.present
            and not self.observes_suspect
            and not self.start_trials.resting
            and now >= self.quarantined_until
        )

    def quarantine_ends_at(self, workflow_id: str) -> float:
        """Return until when the worker gets no new runs of a workflow.

        Args:
            workflow_id: The workflow.

        Returns:
            Node-clock seconds.
        """
        if workflow_id in self.failed_workflow_ids:
            return max(self.quarantined_until, self.quarantined_for_failed_until)
        return self.quarantined_until


def is_lasting(task: Task) -> bool:
    """Return whether a task's run does not end unless it is stopped."""
    return task.stage.spec.service and task.state != "stopping"


def resources_used(spec: StepSpec) -> Resources:
    """Return the resources that a task counts against a worker's capacity.

    Filling tasks use only idle processor time, so they count none of it.
    """
    if spec.fills:
        return spec.demand._replace(cpu_millis=0)
    return spec.demand
