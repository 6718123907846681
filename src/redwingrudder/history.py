"""Checks histories of what callers, owners, workers and nodes observed.

A test records entries while a deployment runs under faults and passes them to
``check_history``. The check uses only these observations and shares no logic
with the scheduler. Guarantees (I1) are not part of it; they are checked
during a run with ``CellTable.violations``.
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

LEAVING_LIMIT_S = 3.0  # bound of I6
IN_FORCE_LIMIT_S = 5.0  # bound of I8


class Limits(NamedTuple):
    """Bounds that the check uses, in seconds.

    Attributes:
        partial_run_s: How long some members of a gang may run while others
            never started. A member may be lost or refused at any time; the
            others stop when the owner notices or when their lease lapses.
        leaving_s: How long a worker may still get reservations after the VM
            list shows it as leaving.
        in_force_s: How long a node that can learn of an accepted
            configuration may take to put it in force.
    """

    partial_run_s: float
    leaving_s: float = LEAVING_LIMIT_S
    in_force_s: float = IN_FORCE_LIMIT_S


def check_history(entries: Iterable[Entry], limits: Limits) -> tuple[Violation, ...]:
    """Return all violations of I2 to I8, ordered by time.

    Args:
        entries: The observations, in any order. Entries with the same time
            are processed in the order given.
        limits: Bounds for the deployment that was observed.
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
