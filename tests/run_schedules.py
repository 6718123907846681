"""Runs random schedules of faults for a while and reports violations.

Call ``python -m tests.run_schedules --seconds 600 --seed 7``. Each schedule
is made from the seed and its number, so a violation can be run again with
``--only NUMBER``.
"""

import argparse
import random
import sys
import time

from tests.test_history import ACTIONS, PAUSES_S, judge

SUBMITS = 4  # weight of submissions among the actions
STEPS_LIMIT = 36


def schedule(seed, number):
    """Return the steps of one schedule."""
    chosen = random.Random(f"{seed}-{number}")
    actions = (*ACTIONS, *("submit",) * SUBMITS)
    return [
        (chosen.choice(actions), chosen.randrange(1_000), chosen.choice(PAUSES_S))
        for _ in range(chosen.randint(6, STEPS_LIMIT))
    ]


def main():
    """Run schedules until the time is over; returns the exit status."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", type=int)
    options = parser.parse_args()
    end = time.monotonic() + options.seconds
    number = broken = 0
    while time.monotonic() < end:
        current = number if options.only is None else options.only
        found = judge(schedule(options.seed, current))
        number += 1
        if found:
            broken += 1
            print(f"seed {options.seed} schedule {current}: {found}", flush=True)
        if options.only is not None:
            break
    print(f"{number} schedules, {broken} with violations")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
