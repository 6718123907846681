"""Plays seeded schedules of faults in memory and reports violations.

Call ``python -m tests.run_simulation --seeds 500 --first 1 --processes 2``.
With ``--seed N`` one schedule is played and its timeline printed, with
``--shrink`` the shortest part of it that still breaks the same invariants.
With ``--profile`` other faults, clients and cancellations are drawn; see
``redwingrudder.simulation.PROFILES_BY_NAME``.
"""

import argparse
import functools
import logging
import multiprocessing
import sys
import time
from collections import Counter
from typing import NamedTuple

from redwingrudder.simulation import (
    INVARIANTS,
    PROFILES_BY_NAME,
    Violation,
    ViolationClass,
    find_violations,
    play_schedule,
    shrink,
)
from redwingrudder.workflows.model import WorkflowState


class SeedResult(NamedTuple):
    """What one schedule came to.

    Attributes:
        seed: Its seed.
        runs: Number of runs that began.
        violations: Broken invariants.
        states: Number of jobs by their last recorded state.
        ended_jobs: Number of jobs whose end was recorded.
        total_s: Sum of the times from submission to the recorded end.
    """

    seed: int
    runs: int
    violations: list[Violation]
    states: Counter
    ended_jobs: int
    total_s: float

    def of_class(self, violation_class):
        """Return the violations of a class."""
        return [v for v in self.violations if v.classification is violation_class]


def play_seed(seed, profile):
    """Play the schedule of a seed."""
    logging.disable()
    history = play_schedule(PROFILES_BY_NAME[profile].draw(seed))
    ended = [job for job in history.jobs if job.ended_at is not None]
    return SeedResult(
        seed,
        len(history.runs),
        find_violations(history),
        Counter(str(job.state) for job in history.jobs),
        len(ended),
        sum(job.ended_at - job.submitted_at for job in ended),
    )


def play_seeds(seeds, processes, profile):
    """Yield the results of seeds in their order."""
    play = functools.partial(play_seed, profile=profile)
    if processes == 1:
        yield from map(play, seeds)
        return
    with multiprocessing.Pool(processes) as pool:
        yield from pool.imap(play, seeds, chunksize=5)


def play_many(first, count, processes, profile):
    """Play schedules and print a summary; return those with findings."""
    began = time.monotonic()
    results = []
    for result in play_seeds(range(first, first + count), processes, profile):
        results.append(result)
        for violation in result.violations:
            print(f"seed {result.seed}: {violation}", flush=True)
    print(f"{len(results)} schedules from seed {first}")
    print(f"{sum(result.runs for result in results)} runs begun")
    for violation_class in ViolationClass:
        seeds = [r.seed for r in results if r.of_class(violation_class)]
        print(f"{len(seeds)} broken, {violation_class}: {seeds}")
        for invariant in INVARIANTS:
            seeds = [
                result.seed
                for result in results
                if (invariant.name, violation_class) in signature(result.violations)
            ]
            print(f"  {len(seeds)} {invariant.name}: {seeds}")
    states = sum((result.states for result in results), Counter())
    print(f"jobs: {dict(sorted(states.items()))}, done {states[WorkflowState.DONE]}")
    ended_jobs = sum(result.ended_jobs for result in results)
    mean_s = sum(result.total_s for result in results) / max(ended_jobs, 1)
    print(f"mean time from submission to recorded end: {mean_s:.3f} s")
    print(f"wall time {time.monotonic() - began:.1f} s")
    idle = [result.seed for result in results if not result.runs]
    if idle:
        print(f"no run begun, so nothing was checked: {idle}")
    return [r for r in results if r.of_class(ViolationClass.OTHER) or not r.runs]


def signature(violations):
    """Return what a shorter schedule must still break."""
    return {(v.invariant, v.classification) for v in violations}


def shrink_seed(schedule):
    """Return the shortest part that breaks the same invariants."""
    wanted = signature(find_violations(play_schedule(schedule)))
    if not wanted:
        return schedule
    return shrink(
        schedule, lambda s: wanted <= signature(find_violations(play_schedule(s)))
    )


def play_one(seed, is_shrunk, profile):
    """Play one schedule and print its timeline and violations."""
    logging.disable()
    schedule = PROFILES_BY_NAME[profile].draw(seed)
    if is_shrunk:
        schedule = shrink_seed(schedule)
    history = play_schedule(schedule)
    violations = find_violations(history)
    print(f"seed {seed}: {len(schedule.faults)} faults, {len(schedule.jobs)} jobs")
    print(history.timeline())
    for violation in violations:
        print(violation)
    return [v for v in violations if v.classification is ViolationClass.OTHER]


def main():
    """Play schedules; return the exit status."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--shrink", action="store_true")
    parser.add_argument("--profile", default="plain", choices=PROFILES_BY_NAME)
    options = parser.parse_args()
    if options.seed is not None:
        findings = play_one(options.seed, options.shrink, options.profile)
    else:
        findings = play_many(
            options.first, options.seeds, options.processes, options.profile
        )
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
