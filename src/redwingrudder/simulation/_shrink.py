"""Shortens schedules that break an invariant."""

from collections.abc import Callable

from ._schedule import Schedule


def shrink(schedule: Schedule, is_broken: Callable[[Schedule], bool]) -> Schedule:
    """Return a part of a schedule that is still broken.

    Faults, then jobs are left out one at a time as long as the schedule stays
    broken without them, until none can be left out any more.

    Args:
        schedule: A broken schedule.
        is_broken: Returns whether a schedule is broken.
    """
    previous = None
    while schedule != previous:
        previous = schedule
        for field in ("faults", "jobs"):
            for item in reversed(getattr(schedule, field)):
                rest = tuple(i for i in getattr(schedule, field) if i != item)
                shorter = schedule._replace(**{field: rest})
                if is_broken(shorter):
                    schedule = shorter
    return schedule
