"""State of the gang model.

Workers, gangs and owners are numbered from 0. Sets of them are bit masks, in
which bit n stands for number n.
"""

import enum
from typing import NamedTuple

WORKERS = (0, 1)
ALL_WORKERS = 0b11
GANGS = (0, 1)

# Commands to a worker.
RESERVE, START, RELEASE, STOP = "reserve", "start", "release", "stop"
# States of a member; a closed one was released and cannot be reserved again.
ABSENT, RESERVED, STARTED = "absent", "reserved", "started"
DONE, STOPPED, CLOSED = "done", "stopped", "closed"
# States of the job record.
OPEN, STARTING, FINAL = "open", "starting", "final"


class Flaw(enum.StrEnum):
    """A rule of the protocol that a broken variant of the model leaves out."""

    NONE = ""
    START_EARLY = "start before every member is reserved"
    NO_START_RECORD = "start without a confirmed record"
    NO_FENCING = "workers accept commands of lower epochs"
    NOT_RUN_EARLY = "not_run when no start was confirmed"
    LATE_START_RELEASED = "a member reported as started is only released"
    FINAL_UNCHECKED = "final record written without comparing"


class Scenario(NamedTuple):
    """Which events may occur in a model.

    Attributes:
        idempotent: Whether the job may run more than once.
        takeover: Whether a second owner may take over.
        faults: Number of worker faults: restarts and lapsed leases.
        cancellations: Number of times that the job may be cancelled.
        patient: Whether recovery ends only when every worker was claimed or
            is lost. Otherwise it may end at any time, as it does after
            ``RECOVERY_LIMIT_S``.
        tasks_end: Whether tasks may end by themselves.
        drains: Whether worker 0 may begin to drain.
        flaw: The rule that is left out.
    """

    idempotent: bool
    takeover: bool
    faults: int
    cancellations: int
    patient: bool = True
    tasks_end: bool = True
    drains: bool = False
    flaw: Flaw = Flaw.NONE


class Gang(NamedTuple):
    """A gang in the view of an owner.

    The fields from ``members`` to ``failed`` are sets of workers, named as in
    ``GangRecord``.

    Attributes:
        state: State of the gang chart.
        members: Workers that the gang is placed on or was reported by.
        reserved: Workers that confirmed their reservation.
        started: Workers whose member is known to have started.
        start_sent: Workers that a start was sent to.
        stop_sent: Workers that a stop or release was sent to.
        released: Workers that hold nothing of the gang any more.
        ended: Workers whose task ended.
        failed: Workers whose task did not succeed.
        cause: Why the gang is stopped: "", "cancelled", "lost" or "refused".
        may_have_run: Whether a previous owner may have sent a start.
        queues: Unanswered commands by worker, the oldest first.
    """

    state: str
    members: int
    reserved: int = 0
    started: int = 0
    start_sent: int = 0
    stop_sent: int = 0
    released: int = 0
    ended: int = 0
    failed: int = 0
    cause: str = ""
    may_have_run: bool = False
    queues: tuple[tuple[str, ...], ...] = ((), ())


class Owner(NamedTuple):
    """One owner of the failure domain.

    Attributes:
        job: State of ``job.scxml``, "" when the owner has no such job.
        job_known: Whether the owner read the open record of the job; otherwise
            it knows the job only from reports of workers.
        start_recorded: Whether the record that the owner read held a start.
        may_have_run: Whether a gang of the job may have started.
        current_gang: The gang that the job is placed in, -1 for none.
        gangs: Gangs in the view of the owner, by number; None for a gang that
            it does not have.
        claimed_workers: Set of workers that the owner has claimed.
        recovered: Whether the recovery of the owner has ended.
        revision: Revision of the job record that the owner knows.
        start_write: State of the write of the start record: "", "sent",
            "confirmed" or "refused"; the last two are replies on their way.
        final_written: Whether the owner attempted to write the final record.
        drain_handled: Whether the owner handled the drain of worker 0.
    """

    job: str
    job_known: bool
    start_recorded: bool
    may_have_run: bool
    current_gang: int
    gangs: tuple[Gang | None, ...]
    claimed_workers: int
    recovered: bool
    revision: int
    start_write: str = ""
    final_written: bool = False
    drain_handled: bool = False


class Worker(NamedTuple):
    """A worker.

    Attributes:
        epoch: Number of the owner whose commands it accepts, counted from 1;
            0 before the first claim.
        members: State of its member of each gang.
        lost_to_owners: Set of owners that have yet to treat it as lost.
    """

    epoch: int
    members: tuple[str, ...] = (ABSENT, ABSENT)
    lost_to_owners: int = 0


class World(NamedTuple):
    """A state of the model.

    The fields from ``not_run_reported`` on only serve the invariants.

    Attributes:
        owners: The first owner and the one that takes over.
        workers: Both workers.
        record: State of the job record in the store.
        revision: Revision of the job record.
        faults: Worker faults that may still occur.
        cancellations: Cancellations that may still occur.
        draining: Whether worker 0 refuses reservations because it drains.
        not_run_reported: Whether not_run was recorded as the final state.
        ever_reserved: Set of workers that ever reserved, by gang.
        ever_released: Set of workers that ever released their reservation, by
            gang.
        ever_started: Set of gangs of which a member ever started.
        started_early: Whether a member started before all were reserved.
        started_late: Whether a member started after one was released.
        unexpected_event: Whether a chart did not list an event.
    """

    owners: tuple[Owner | None, ...]
    workers: tuple[Worker, ...]
    record: str
    revision: int
    faults: int
    cancellations: int
    draining: bool = False
    not_run_reported: bool = False
    ever_reserved: tuple[int, ...] = (0, 0)
    ever_released: tuple[int, ...] = (0, 0)
    ever_started: int = 0
    started_early: bool = False
    started_late: bool = False
    unexpected_event: bool = False


def replace_at(items: tuple, index: int, item: object) -> tuple:
    """Return a copy of the tuple with the item at ``index`` replaced."""
    return (*items[:index], item, *items[index + 1 :])
