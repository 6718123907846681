"""Cost of the workflow engine's planning passes at several sizes."""

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

WORKERS = (24, 176, 425, 850, 1_700)
PASSES = 60
PASS_S = 0.1  # between two passes, in the engine's time
ENDS_SHARE = 0.01  # of the running tasks that end between two passes
RACK = 8
ARRIVALS_S = 0.03
LOAD = 0.7  # workflows for each worker, enough to fill all
CAPACITY = Resources(128_000, 262_144, 8)
ORGANISATIONS = 10


class PlanningRow(NamedTuple):
    """Planning on a full fleet with steps that wait.

    Attributes:
        workers: Workers of the fleet.
        running: Tasks at work after the last pass.
        waiting: Workflows that have not ended.
        mean_ms: Processor time of a pass, mean.
        largest_ms: The longest pass, which is the first.
    """

    workers: int
    running: int
    waiting: int
    mean_ms: float
    largest_ms: float


def measure_planning(
    seed: int, sizes: tuple[int, ...] = WORKERS
) -> tuple[PlanningRow, ...]:
    """Return a row for each number of workers."""
    return tuple(_measure(workers, random.Random(seed)) for workers in sizes)


def _measure(workers: int, chance: random.Random) -> PlanningRow:
    engine = Engine()
    for index in range(workers):
        engine.set_worker(_worker(index), 0.0)
    for number in range(round(LOAD * workers)):
        engine.accept(_workflow(number, chance), number * ARRIVALS_S)
    now = workers * ARRIVALS_S
    spent = []
    for _ in range(PASSES):
        begun = time.process_time()
        effects = engine.plan(now, now)
        spent.append(time.process_time() - begun)
        for effect in effects:
            if isinstance(effect, StartRun):
                engine.start_confirmed(effect.key, effect.run, now)
            elif isinstance(effect, StopRun):
                end = RunEnd(0, effect.key, effect.run, EndKind.STOPPED)
                engine.end(effect.worker_id, end, now)
        now += PASS_S
        _end_some(engine, chance, now)
    return PlanningRow(
        workers,
        len(_running(engine)),
        sum(p.ended_at is None for p in engine.workflows_by_id.values()),
        round(1000 * sum(spent) / PASSES, 2),
        round(1000 * max(spent), 1),
    )


def _running(engine: Engine) -> list:
    return [
        task
        for worker in engine.workers_by_id.values()
        for task in worker.tasks_by_key.values()
        if task.state == "running"
    ]


def _end_some(engine: Engine, chance: random.Random, now: float) -> None:
    running = _running(engine)
    for task in chance.sample(running, round(ENDS_SHARE * len(running))):
        if task.state == "running":
            end = RunEnd(0, task.key, task.run, EndKind.DONE)
            engine.end(task.worker_id, end, now)


def _worker(index: int) -> WorkerFacts:
    rack = f"r{index // RACK}"
    labels = frozenset({"a", rack})
    return WorkerFacts(
        f"w{index}", 1, f"10.0.0.1:{index}", "pool", "domain", rack, labels, CAPACITY
    )


def _workflow(number: int, chance: random.Random) -> Workflow:
    """A mix of urgent gangs, gangs of long tasks and many small tasks."""
    kind = chance.random()
    accelerators = chance.choice((1, 2, 4, 8, 8))
    if kind < 0.25:
        demand = Resources(52_000, 75_000, accelerators)
        step = StepSpec(_count(10, chance), demand, 7.0, gang=True, same_rack=True)
        priority = 1
    elif kind < 0.75:
        demand = Resources(15_000, 39_000, accelerators)
        step = StepSpec(_count(5, chance), demand, 2.5, gang=True)
        priority = 0
    else:
        demand = Resources(11_000, 16_000, 1)
        step = StepSpec(_count(30, chance), demand, 6.0, checkpoints=True)
        priority = 2
    policy = QueuePolicy("pool", priority)
    organisation = f"o{chance.randrange(ORGANISATIONS)}"
    return Workflow(f"{number:016x}", "queue", organisation, "", (step,), policy, 0.0)


def _count(mean: int, chance: random.Random) -> int:
    return max(1, int(chance.expovariate(1 / mean)))
