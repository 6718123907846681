"""Histories of what callers, owners, workers and nodes saw, with their check.

A test records entries while a deployment runs under faults and hands them to
``check_history``. The check knows nothing of how the parts decide. Guarantees
(I1) are checked during a run with ``CellTable.violations``.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ._history_jobs import check_answers, check_at_most_once, check_gangs, check_not_run
from ._history_nodes import (
    check_configuration,
    check_fencing,
    check_leaving,
    check_shutdown,
)
from ._history_types import (
    AnswerGiven,
    CommandAccepted,
    ConfigurationAccepted,
    ConfigurationInForce,
    ConfigurationRefused,
    DrainAnnounced,
    Entry,
    EpochTaken,
    JobRequested,
    LeavingListed,
    MemberReleased,
    MemberReserved,
    MemberStarted,
    NodeDown,
    NodeUp,
    RequestBegun,
    RequestEnded,
    StoreCut,
    StoreOutage,
    TaskFinished,
    Violation,
    WorkerBooted,
)

__all__ = [
    "AnswerGiven",
    "CommandAccepted",
    "ConfigurationAccepted",
    "ConfigurationInForce",
    "ConfigurationRefused",
    "DrainAnnounced",
    "Entry",
    "EpochTaken",
    "JobRequested",
    "LeavingListed",
    "Limits",
    "MemberReleased",
    "MemberReserved",
    "MemberStarted",
    "NodeDown",
    "NodeUp",
    "RequestBegun",
    "RequestEnded",
    "StoreCut",
    "StoreOutage",
    "TaskFinished",
    "Violation",
    "WorkerBooted",
    "check_history",
]

LEAVING_LIMIT_S = 3.0  # I6
IN_FORCE_LIMIT_S = 5.0  # I8


class Limits(NamedTuple):
    """Bounds in seconds.

    ``part_s`` is how long a part of a gang may run while the rest does not:
    a started gang loses a member at any time, and the others stop when the
    owner notices or when their lease lapses.
    """

    partial_run_s: float
    leaving_s: float = LEAVING_LIMIT_S
    in_force_s: float = IN_FORCE_LIMIT_S


def check_history(entries: Iterable[Entry], limits: Limits) -> tuple[Violation, ...]:
    """Return all violations of I2 to I8, ordered by time.

    Args:
        entries: What was seen, in any order; entries of the same time count
            in the order in which they are given.
        limits: Bounds of the deployment.
    """
    ordered = sorted(entries, key=lambda entry: entry.at)
    found = [
        *check_gangs(ordered, limits.partial_run_s),
        *check_fencing(ordered),
        *check_answers(ordered),
        *check_not_run(ordered),
        *check_at_most_once(ordered),
        *check_leaving(ordered, limits.leaving_s),
        *check_shutdown(ordered),
        *check_configuration(ordered, limits.in_force_s),
    ]
    return tuple(sorted(found, key=lambda violation: violation.at))
