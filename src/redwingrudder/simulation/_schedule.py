"""Schedules of jobs and faults that are drawn from a seed."""

import enum
import math
import random
from collections.abc import Mapping
from typing import NamedTuple

from ..workflows.model import EndKind, QueuePolicy, Resources, StepSpec, Workflow
from ._client_plans import ClientPlan, draw_client

NODES = 2
WORKERS = 3
DURATION_S = 40.0  # of a schedule
FIRST_FAULT_S = 1.0
LAST_JOB_S = 26.0
JOBS = (10, 14)
FAULTS = (8, 16)
TASKS = (1, 3)
GANG_SHARE = 0.5
URGENT_SHARE = 0.25  # of jobs that preempt others
CANCELLED_SHARE = 0.15
CANCEL_AFTER_S = (0.1, 6.0)
EARLY_CANCEL_AFTER_S = (0.02, 3.0)
CHECKPOINTS_SHARE = 0.4
CHECKPOINT_INTERVAL_S = (0.3, 2.0)
RUN_TIME_S = (0.5, 6.0)
FAILED_SHARE = 0.15
MAX_STOP_S = 0.9
LATE_BY_S = (0.3, 12.0)
RETENTION_S = 150.0
# Kept longer than calls of a worker are late.
SHORT_RETENTION_S = 13.0
FAULT_DURATION_S = (0.3, 6.0)
ENTRY_DELAY_S = (0.0, 2.0)  # from a restart to the entry of the new process
ANNOUNCED_LATE_BY_S = (0.3, 6.0)
LEAVES_AFTER_S = (2.0, 6.0)  # from the report that a worker drains
AWAY_S = (0.5, 6.0)
# The coordinator closes the session of a worker without an entry within this.
LONG_REMOVED_S = (2.6, 8.0)
# Share of restarts with a silent time that begins at most SILENT_BEFORE_S
# earlier, as before a crash of a busy machine.
SILENT_RESTART_SHARE = 0.5
SILENT_BEFORE_S = 1.0
ATTEMPTS = 3
TASK_CPU_MILLIS = 11_000
TASK_MEMORY_MB = 29_000
ACCELERATORS = (1, 2, 4, 8)
ESTIMATE_S = 3.0


class FaultKind(enum.StrEnum):
    """Kinds of faults."""

    LATE_STARTS = "late starts"
    LATE_STOPS = "late stops"
    LATE_POLLS = "late polls"
    SILENCE = "silence"
    MUTE = "mute"
    RESTART = "restart"
    REMOVED_ENTRY = "removed entry"
    STORE_DOWN = "store down"
    LOST_ANSWERS = "lost answers"
    LATE_WRITES = "late writes"
    HANGING_WATCHES = "hanging watches"
    HAND_OVER = "hand-over"
    TAKEOVER = "takeover"
    LOST_ANNOUNCEMENTS = "lost announcements"
    LATE_ANNOUNCEMENTS = "late announcements"
    LOST_PEER_REPLIES = "lost replies of peers"
    DRAIN = "drain"
    LONG_REMOVED_ENTRY = "entry removed for long"
    BROKEN_WRITES = "broken writes"


WEIGHT_BY_KIND = {
    FaultKind.LATE_STARTS: 5,
    FaultKind.LATE_STOPS: 2,
    FaultKind.LATE_POLLS: 2,
    FaultKind.SILENCE: 2,
    FaultKind.MUTE: 1,
    FaultKind.RESTART: 5,
    FaultKind.REMOVED_ENTRY: 2,
    FaultKind.STORE_DOWN: 1,
    FaultKind.LOST_ANSWERS: 1,
    FaultKind.LATE_WRITES: 1,
    FaultKind.HANGING_WATCHES: 1,
    FaultKind.HAND_OVER: 1,
    FaultKind.TAKEOVER: 1,
    FaultKind.LOST_ANNOUNCEMENTS: 0,
    FaultKind.LATE_ANNOUNCEMENTS: 0,
    FaultKind.LOST_PEER_REPLIES: 0,
    FaultKind.DRAIN: 0,
    FaultKind.LONG_REMOVED_ENTRY: 0,
    FaultKind.BROKEN_WRITES: 0,
}

# Weights under which what the coordinator learns of clients is disturbed.
UNHEARD_WEIGHT_BY_KIND = {
    **WEIGHT_BY_KIND,
    FaultKind.HANGING_WATCHES: 4,
    FaultKind.LOST_ANNOUNCEMENTS: 4,
    FaultKind.LATE_ANNOUNCEMENTS: 3,
    FaultKind.HAND_OVER: 2,
    FaultKind.STORE_DOWN: 3,
    FaultKind.LOST_ANSWERS: 3,
    FaultKind.LATE_WRITES: 4,
    FaultKind.LOST_PEER_REPLIES: 1,
}

# Weights under which workers leave and their entries vanish.
LEAVING_WEIGHT_BY_KIND = {
    **UNHEARD_WEIGHT_BY_KIND,
    FaultKind.DRAIN: 5,
    FaultKind.LONG_REMOVED_ENTRY: 4,
}

# Weights under which the outcome of writes to the store is often unknown.
BROKEN_WRITES_WEIGHT_BY_KIND = {
    **UNHEARD_WEIGHT_BY_KIND,
    FaultKind.BROKEN_WRITES: 12,
}

_DURATION_S_BY_KIND = {
    FaultKind.DRAIN: LEAVES_AFTER_S,
    FaultKind.LONG_REMOVED_ENTRY: LONG_REMOVED_S,
}

_DELAY_S_BY_KIND = {
    FaultKind.RESTART: ENTRY_DELAY_S,
    FaultKind.DRAIN: AWAY_S,
    FaultKind.LATE_ANNOUNCEMENTS: ANNOUNCED_LATE_BY_S,
}


class Job(NamedTuple):
    """A job of a schedule.

    Attributes:
        at_s: Time of the submission in clock seconds.
        workflow_id: Id of the job.
        tasks: Number of tasks.
        gang: Whether the tasks run together or not at all.
        accelerators: Accelerators that each task uses.
        priority: Priority of the queue; 0 is the most urgent.
        cancel_after_s: Seconds from the submission to the cancellation, None
            if the job is not cancelled.
        second_tasks: Number of tasks of a second step, which begins once the
            first one is done; 0 if there is none.
        checkpoint_interval_s: Seconds of work between checkpoints, None if
            the tasks have none.
        used_id: Id of an earlier job under which this one is submitted once
            the records of that one are removed; "" for an id of its own.
        run_s: Seconds that each run of a task takes, none of which fails;
            infinite for a service. None to draw run times and failures.
        estimate_s: Estimate of the caller.
        same_rack: Whether the tasks slow down when spread over racks.
        data_rack: Rack of the input data, "" for none.
        worker_limit: Largest number of tasks on one worker, 0 for no limit.
    """

    at_s: float
    workflow_id: str
    tasks: int
    gang: bool
    accelerators: int
    priority: int
    cancel_after_s: float | None
    second_tasks: int = 0
    checkpoint_interval_s: float | None = None
    used_id: str = ""
    run_s: float | None = None
    estimate_s: float = ESTIMATE_S
    same_rack: bool = False
    data_rack: str = ""
    worker_limit: int = 0

    @property
    def queue(self) -> str:
        """Queue of the job; one with known run times has its own.

        Run times are learned for each queue.
        """
        name = f"queue-{self.priority}"
        return name if self.run_s is None else f"{name}-{self.workflow_id}"

    @property
    def is_service(self) -> bool:
        """Whether the tasks run until the job is cancelled."""
        return self.run_s == math.inf

    @property
    def demand(self) -> Resources:
        """Resources that each task uses."""
        return Resources(TASK_CPU_MILLIS, TASK_MEMORY_MB, self.accelerators)

    @property
    def submitted_id(self) -> str:
        """Id under which the job is submitted."""
        return self.used_id or self.workflow_id

    @property
    def payload(self) -> str:
        """Payload of the job, which no other one has."""
        return f"payload of {self.workflow_id}"

    @property
    def tasks_by_step(self) -> tuple[int, ...]:
        """Number of tasks of each step."""
        return (self.tasks, self.second_tasks) if self.second_tasks else (self.tasks,)

    def describe(self) -> str:
        """Return the size of the job."""
        first = f"{'gang of ' if self.gang else ''}{self.tasks} tasks"
        return f"{first}, then {self.second_tasks}" if self.second_tasks else first

    def workflow(self, accepted_at: float) -> Workflow:
        """Return the workflow of the job.

        Args:
            accepted_at: Unix seconds of the acceptance.
        """
        step = StepSpec(
            self.tasks,
            self.demand,
            self.estimate_s,
            gang=self.gang,
            same_rack=self.same_rack,
            data_rack=self.data_rack,
            worker_limit=self.worker_limit,
            service=self.is_service,
        )
        second = StepSpec(self.second_tasks, self.demand, self.estimate_s, after=(0,))
        saves = self.checkpoint_interval_s is not None
        steps = [step._replace(checkpoints=saves) for step in (step, second)]
        policy = QueuePolicy("pool", self.priority, ATTEMPTS)
        return Workflow(
            self.submitted_id,
            self.queue,
            "organisation",
            self.payload,
            tuple(steps[: len(self.tasks_by_step)]),
            policy,
            accepted_at,
        )


class Fault(NamedTuple):
    """A fault of a schedule.

    Attributes:
        at_s: Begin in clock seconds.
        kind: Kind of the fault.
        target: Index of the worker or node that it befalls.
        duration_s: Seconds until it is over.
        delay_s: Seconds by which calls, writes, announcements or a registry
            entry are late.
    """

    at_s: float
    kind: FaultKind
    target: int
    duration_s: float
    delay_s: float


class Schedule(NamedTuple):
    """Jobs and faults, in the order of their times, and their seed.

    Attributes:
        seed: The seed.
        jobs: The jobs.
        faults: The faults.
        clients: Clients that submit and cancel the jobs at the nodes. Without
            any, all submissions and cancellations are written to the store.
        retention_s: Seconds for which the records of an ended job are kept.
        workers: Number of workers.
        racks: Number of racks, over which the workers are spread.
    """

    seed: int
    jobs: tuple[Job, ...]
    faults: tuple[Fault, ...]
    clients: tuple[ClientPlan, ...] = ()
    retention_s: float = RETENTION_S
    workers: int = WORKERS
    racks: int = 1


class RunPlan(NamedTuple):
    """How a run ends that is not disturbed.

    Attributes:
        duration_s: Seconds from its begin to its end.
        kind: Way in which it ends.
        stop_s: Seconds that its stop takes.
    """

    duration_s: float
    kind: EndKind
    stop_s: float


def draw_schedule(
    seed: int,
    weight_by_kind: Mapping[FaultKind, int] = WEIGHT_BY_KIND,
    has_clients: bool = False,
    second_step_share: float = 0.0,
    early_cancel_share: float | None = None,
    reused_id_share: float = 0.0,
) -> Schedule:
    """Return the schedule of a seed.

    Args:
        seed: The seed.
        weight_by_kind: Weights with which the kinds of faults are drawn.
        has_clients: Whether the jobs have clients.
        second_step_share: Share of the jobs that have a second step.
        early_cancel_share: Share of the jobs that are cancelled soon after
            their submission; None for the usual cancellations.
        reused_id_share: Share of the jobs whose id is used again, by another
            job with a client. Records are kept for a short time then.
    """
    jobs = tuple(_add_step(seed, job, second_step_share) for job in _draw_jobs(seed))
    if early_cancel_share is not None:
        jobs = tuple(_cancel_early(seed, job, early_cancel_share) for job in jobs)
    jobs += tuple(
        job._replace(workflow_id=f"{job.workflow_id}-again", used_id=job.workflow_id)
        for job in jobs
        if random.Random(f"{seed} ids {job.workflow_id}").random() < reused_id_share
    )
    retention_s = SHORT_RETENTION_S if reused_id_share else RETENTION_S
    faults = _draw_faults(seed, weight_by_kind)
    clients = tuple(
        draw_client(seed, job.workflow_id, job.cancel_after_s, NODES)
        for job in jobs
        if has_clients
    )
    return Schedule(seed, jobs, faults, clients, retention_s)


def draw_run(
    seed: int, workflow_id: str, index: int, run: int, step: int = 0
) -> RunPlan:
    """Return how a run ends; it does not depend on the other runs.

    Args:
        seed: Seed of the schedule.
        workflow_id: Id of the job.
        index: Index of the task, 0 for all members of a gang.
        run: Number of the run.
        step: Index of the step.
    """
    task = f"{step}.{index}" if step else f"{index}"
    rng = random.Random(f"{seed} run {workflow_id} {task} {run}")
    kind = EndKind.FAILED if rng.random() < FAILED_SHARE else EndKind.DONE
    return RunPlan(rng.uniform(*RUN_TIME_S), kind, rng.uniform(0.0, MAX_STOP_S))


def _draw_jobs(seed: int) -> tuple[Job, ...]:
    rng = random.Random(f"{seed} jobs")
    checkpoints_rng = random.Random(f"{seed} checkpoints")
    times = sorted(rng.uniform(0.5, LAST_JOB_S) for _ in range(rng.randint(*JOBS)))
    jobs = []
    for number, at_s in enumerate(times):
        gang = rng.random() < GANG_SHARE
        jobs.append(
            Job(
                at_s,
                f"job{number}",
                rng.randint(2 if gang else TASKS[0], TASKS[1]),
                gang,
                rng.choice(ACCELERATORS),
                0 if rng.random() < URGENT_SHARE else 1,
                rng.uniform(*CANCEL_AFTER_S)
                if rng.random() < CANCELLED_SHARE
                else None,
                checkpoint_interval_s=checkpoints_rng.uniform(*CHECKPOINT_INTERVAL_S)
                if checkpoints_rng.random() < CHECKPOINTS_SHARE
                else None,
            )
        )
    return tuple(jobs)


def _add_step(seed: int, job: Job, share: float) -> Job:
    rng = random.Random(f"{seed} steps {job.workflow_id}")
    if rng.random() >= share:
        return job
    return job._replace(second_tasks=rng.randint(*TASKS))


def _cancel_early(seed: int, job: Job, share: float) -> Job:
    rng = random.Random(f"{seed} cancellations {job.workflow_id}")
    after_s = rng.uniform(*EARLY_CANCEL_AFTER_S) if rng.random() < share else None
    return job._replace(cancel_after_s=after_s)


def _draw_faults(
    seed: int, weight_by_kind: Mapping[FaultKind, int]
) -> tuple[Fault, ...]:
    rng = random.Random(f"{seed} faults")
    kinds = list(weight_by_kind)
    weights = list(weight_by_kind.values())
    faults = []
    for _ in range(rng.randint(*FAULTS)):
        (kind,) = rng.choices(kinds, weights)
        is_restart = kind is FaultKind.RESTART
        fault = Fault(
            rng.uniform(FIRST_FAULT_S, LAST_JOB_S),
            kind,
            rng.randrange(WORKERS),
            rng.uniform(*_DURATION_S_BY_KIND.get(kind, FAULT_DURATION_S)),
            rng.uniform(*_DELAY_S_BY_KIND.get(kind, LATE_BY_S)),
        )
        faults.append(fault)
        if is_restart and rng.random() < SILENT_RESTART_SHARE:
            begin_s = fault.at_s - rng.uniform(0.0, SILENT_BEFORE_S)
            duration_s = rng.uniform(*FAULT_DURATION_S)
            silence = FaultKind.SILENCE
            faults.append(Fault(begin_s, silence, fault.target, duration_s, 0.0))
    return tuple(sorted(faults))
