"""State of the model of gangs; workers are numbered, sets are bit masks."""

import enum
from typing import NamedTuple

WORKERS = (0, 1)
ALL_WORKERS = 0b11
GANGS = (0, 1)

RESERVE, START, RELEASE, STOP = "reserve", "start", "release", "stop"
ABSENT, RESERVED, STARTED = "absent", "reserved", "started"
DONE, STOPPED, CLOSED = "done", "stopped", "closed"
OPEN, STARTING, FINAL = "open", "starting", "final"


class Flaw(enum.StrEnum):
    """A rule that a broken variant leaves out."""

    NONE = ""
    START_EARLY = "start before every member is reserved"
    NO_START_RECORD = "start without a confirmed record"
    NO_FENCING = "workers accept commands of lower epochs"
    NOT_RUN_EARLY = "not_run when no start was confirmed"
    LATE_START_RELEASED = "a member reported as started is only released"
    FINAL_UNCHECKED = "final record written without comparing"


class Scenario(NamedTuple):
    """What may happen; faults are restarts and lapsed leases of workers.

    ``patient`` tells that recovery ends only when every worker was claimed or
    is lost; otherwise it ends at any time, as by ``RECOVERY_LIMIT_S``.
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
    """A gang as an owner knows it; ``queues`` hold unanswered commands.

    ``cause`` is "", "cancelled", "lost" or "refused".
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
    """One owner; ``job`` is a state of ``job.scxml``, "" when unknown.

    ``write`` is the state of the start record: "", "sent", "confirmed" or
    "refused"; the last two are replies on their way.
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
    """A worker with the state of its member of each gang.

    ``lost_to`` are the owners, as a mask, that must count it as lost.
    """

    epoch: int
    members: tuple[str, ...] = (ABSENT, ABSENT)
    lost_to_owners: int = 0


class World(NamedTuple):
    """Everything; the fields from ``not_run_told`` on only judge.

    ``draining`` tells that worker 0 takes no new work.
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
    unexpected: bool = False


def replace_at(items: tuple, index: int, item: object) -> tuple:
    """Return the tuple with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])
