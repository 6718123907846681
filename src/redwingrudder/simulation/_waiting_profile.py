"""Schedules of long, large and small jobs, in which nothing is disturbed."""

import math
import random
from typing import NamedTuple

from ._entries import rack_name
from ._schedule import Job, Schedule

WORKERS = (6, 12)
RACKS = (1, 4)
LONG_JOBS = (1, 3)
LARGE_JOBS = (1, 4)
SMALL_JOBS = (8, 24)
LAST_LONG_S = 2.0
LAST_LARGE_S = 20.0
LAST_SMALL_S = 30.0
LONG_RUN_S = (8.0, 600.0)
LARGE_RUN_S = (3.0, 30.0)
SMALL_RUN_S = (0.5, 60.0)
WHOLE_WORKER = 8  # accelerators
SMALL_TASKS = (1, 6)
SMALL_ACCELERATORS = (1, 1, 2, 4)
PRIORITIES = (0, 1, 1, 1, 2, 2, 2)
LARGE_GANG_SHARE = 0.5
SMALL_GANG_SHARE = 0.2
SAME_RACK_SHARE = 0.3  # of gangs
DATA_RACK_SHARE = 0.2
SERVICE_SHARE = 0.1
MAX_ESTIMATE_ERROR = 4.0  # factor


class WaitingProfile(NamedTuple):
    """Draws jobs that compete for the room of more workers.

    Run times are even on a logarithmic scale, and estimates are wrong by a
    factor. Each job has a queue of its own, as runs that take much longer than
    others of their queue count as slow.
    """

    def draw(self, seed: int) -> Schedule:
        """Return the schedule of a seed."""
        rng = random.Random(f"{seed} waiting")
        workers, racks = rng.randint(*WORKERS), rng.randint(*RACKS)
        jobs = [
            *(_draw_long(rng, workers) for _ in range(rng.randint(*LONG_JOBS))),
            *(_draw_large(rng, workers) for _ in range(rng.randint(*LARGE_JOBS))),
            *(_draw_small(rng, racks) for _ in range(rng.randint(*SMALL_JOBS))),
        ]
        named = [job._replace(workflow_id=f"job{n}") for n, job in enumerate(jobs)]
        ordered = tuple(sorted(named, key=lambda job: job.at_s))
        return Schedule(seed, ordered, (), workers=workers, racks=racks)


def _draw_long(rng: random.Random, workers: int) -> Job:
    job = _draw_job(rng, LAST_LONG_S, LONG_RUN_S, rng.randint(1, workers), 1)
    return job._replace(worker_limit=1)


def _draw_large(rng: random.Random, workers: int) -> Job:
    tasks = rng.randint(1, workers)
    job = _draw_job(rng, LAST_LARGE_S, LARGE_RUN_S, tasks, WHOLE_WORKER)
    return _draw_gang(rng, job, LARGE_GANG_SHARE)


def _draw_small(rng: random.Random, racks: int) -> Job:
    tasks, accelerators = rng.randint(*SMALL_TASKS), rng.choice(SMALL_ACCELERATORS)
    job = _draw_job(rng, LAST_SMALL_S, SMALL_RUN_S, tasks, accelerators)
    job = _draw_gang(rng, job, SMALL_GANG_SHARE)
    if rng.random() < DATA_RACK_SHARE:
        job = job._replace(data_rack=rack_name(rng.randrange(racks)))
    if not job.gang and rng.random() < SERVICE_SHARE:
        job = job._replace(run_s=math.inf)
    return job


def _draw_gang(rng: random.Random, job: Job, share: float) -> Job:
    if job.tasks == 1 or rng.random() >= share:
        return job
    return job._replace(gang=True, same_rack=rng.random() < SAME_RACK_SHARE)


def _draw_job(
    rng: random.Random,
    last_s: float,
    run_s: tuple[float, float],
    tasks: int,
    accelerators: int,
) -> Job:
    seconds = math.exp(rng.uniform(*map(math.log, run_s)))
    error = MAX_ESTIMATE_ERROR ** rng.uniform(-1.0, 1.0)
    return Job(
        rng.uniform(0.5, last_s),
        workflow_id="",
        tasks=tasks,
        gang=False,
        accelerators=accelerators,
        priority=rng.choice(PRIORITIES),
        cancel_after_s=None,
        run_s=seconds,
        estimate_s=seconds * error,
    )
