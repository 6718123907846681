"""Runs random fault schedules for a given time and reports violations.

Call ``python -m tests.run_schedules --seconds 600 --seed 7``. Each schedule
is generated from the seed and its own number, so a schedule that found a
violation can be repeated with ``--only NUMBER``.
"""

import argparse
import random
import sys
import time

from tests.test_history import ACTIONS, PAUSES_S, find_violations

SUBMIT_WEIGHT = 4  # additional entries of "submit" among the actions
MIN_STEPS = 6
MAX_STEPS = 36


def schedule(seed, number):
    """Return the steps of one schedule: action, target number, pause in s."""
    rng = random.Random(f"{seed}-{number}")
    actions = (*ACTIONS, *("submit",) * SUBMIT_WEIGHT)
    return [
        (rng.choice(actions), rng.randrange(1_000), rng.choice(PAUSES_S))
        for _ in range(rng.randint(MIN_STEPS, MAX_STEPS))
    ]


def main():
    """Run schedules for the given time; return the exit status."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", type=int)
    options = parser.parse_args()
    end = time.monotonic() + options.seconds
    number = broken = 0
    while time.monotonic() < end:
        current = number if options.only is None else options.only
        violations = find_violations(schedule(options.seed, current))
        number += 1
        if violations:
            broken += 1
            print(f"seed {options.seed} schedule {current}: {violations}", flush=True)
        if options.only is not None:
            break
    print(f"{number} schedules, {broken} with violations")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
