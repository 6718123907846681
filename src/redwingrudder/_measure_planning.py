"""Cost of the workflow engine's planning passes at several fleet sizes."""

import random
import time
from typing import NamedTuple

from .workflows.engine import Engine
from .workflows.model import (
    EndKind,
    QueuePolicy,
    Resources,
    RunEnd,
    StartRun,
    StepSpec,
    StopRun,
    WorkerFacts,
    Workflow,
)

PLANNING_SIZES = (24, 176, 425, 850, 1_700)  # workers
PASSES = 60
PASS_INTERVAL_S = 0.1  # simulated time between two passes
# Share of the running tasks that end between two passes.
ENDED_TASK_SHARE = 0.01
WORKERS_PER_RACK = 8
ARRIVAL_INTERVAL_S = 0.03  # simulated time between two workflows
WORKFLOWS_PER_WORKER = 0.7  # enough to fill all workers
WORKER_CAPACITY = Resources(128_000, 262_144, 8)
ORGANISATIONS = 10
# Cumulative probabilities in the mix of workflows; all other workflows consist
# of small tasks.
RACK_GANGS_BELOW = 0.25
URGENT_GANGS_BELOW = 0.75
MS_PER_S = 1000


class PlanningRow(NamedTuple):
    """Cost of planning passes on a full fleet with waiting steps.

    Attributes:
        workers: Workers of the fleet.
        running: Tasks that run after the last pass.
        waiting: Workflows that have not ended after the last pass.
        mean_ms: Mean processor time of a pass, in milliseconds.
        largest_ms: Processor time of the longest pass, usually the first, in
            milliseconds.
    """

    workers: int
    running: int
    waiting: int
    mean_ms: float
    largest_ms: float


def measure_planning(
    seed: int, sizes: tuple[int, ...] = PLANNING_SIZES
) -> tuple[PlanningRow, ...]:
    """Measure planning passes at each number of workers.

    Args:
        seed: Seed of the workflows and of the tasks that end.
        sizes: Numbers of workers.
    """
    return tuple(_measure_fleet(workers, random.Random(seed)) for workers in sizes)


def _measure_fleet(workers: int, rng: random.Random) -> PlanningRow:
    engine = Engine()
    for index in range(workers):
        engine.set_worker(_worker(index), 0.0)
    for number in range(round(WORKFLOWS_PER_WORKER * workers)):
        engine.accept(_workflow(number, rng), number * ARRIVAL_INTERVAL_S)
    now = workers * ARRIVAL_INTERVAL_S
    pass_times_s = []
    for _ in range(PASSES):
        started_s = time.process_time()
        effects = engine.plan(now, now)
        pass_times_s.append(time.process_time() - started_s)
        for effect in effects:
            if isinstance(effect, StartRun):
                engine.start_confirmed(effect.key, effect.run, now)
            elif isinstance(effect, StopRun):
                end = RunEnd(0, effect.key, effect.run, EndKind.STOPPED)
                engine.end(effect.worker_id, end, now)
        now += PASS_INTERVAL_S
        _end_random_tasks(engine, rng, now)
    return PlanningRow(
        workers,
        len(_running_tasks(engine)),
        sum(workflow.ended_at is None for workflow in engine.workflows_by_id.values()),
        round(MS_PER_S * sum(pass_times_s) / PASSES, 2),
        round(MS_PER_S * max(pass_times_s), 1),
    )


def _running_tasks(engine: Engine) -> list:
    return [
        task
        for worker in engine.workers_by_id.values()
        for task in worker.tasks_by_key.values()
        if task.state == "running"
    ]


def _end_random_tasks(engine: Engine, rng: random.Random, now: float) -> None:
    running = _running_tasks(engine)
    for task in rng.sample(running, round(ENDED_TASK_SHARE * len(running))):
        if task.state == "running":
            end = RunEnd(0, task.key, task.run, EndKind.DONE)
            engine.end(task.worker_id, end, now)


def _worker(index: int) -> WorkerFacts:
    rack = f"r{index // WORKERS_PER_RACK}"
    labels = frozenset({"a", rack})
    return WorkerFacts(
        f"w{index}",
        1,
        f"10.0.0.1:{index}",
        "pool",
        "domain",
        rack,
        labels,
        WORKER_CAPACITY,
    )


def _workflow(number: int, rng: random.Random) -> Workflow:
    """Return a gang within one rack, an urgent gang or many small tasks."""
    mix_draw = rng.random()
    accelerators = rng.choice((1, 2, 4, 8, 8))
    if mix_draw < RACK_GANGS_BELOW:
        demand = Resources(52_000, 75_000, accelerators)
        step = StepSpec(
            _random_task_count(10, rng), demand, 7.0, gang=True, same_rack=True
        )
        priority = 1
    elif mix_draw < URGENT_GANGS_BELOW:
        demand = Resources(15_000, 39_000, accelerators)
        step = StepSpec(_random_task_count(5, rng), demand, 2.5, gang=True)
        priority = 0
    else:
        demand = Resources(11_000, 16_000, 1)
        step = StepSpec(_random_task_count(30, rng), demand, 6.0, checkpoints=True)
        priority = 2
    policy = QueuePolicy("pool", priority)
    organisation = f"o{rng.randrange(ORGANISATIONS)}"
    return Workflow(f"{number:016x}", "queue", organisation, "", (step,), policy, 0.0)


def _random_task_count(mean: int, rng: random.Random) -> int:
    return max(1, int(rng.expovariate(1 / mean)))
