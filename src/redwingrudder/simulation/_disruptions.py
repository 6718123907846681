"""When and for which workers a schedule was disrupted."""

import enum
import math
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ._schedule import NODES, Fault, FaultKind, Schedule
from ._store import CALL_TIMEOUT_S, MemoryStore
from ._workers import ProtocolWorker


class Disruption(NamedTuple):
    """A time in which calls, the store or the coordinator were disturbed.

    Attributes:
        kind: What was disturbed.
        worker_id: The worker that it concerns, "" for all.
        begin: Begin in clock seconds.
        end: End in clock seconds; that of a moment is its begin.
    """

    kind: str
    worker_id: str
    begin: float
    end: float


class Lead(NamedTuple):
    """A node that leads from a time on, None if no node does."""

    at_s: float
    node: int | None


class Reach(enum.Enum):
    """Whom the faults of a kind concern while they last."""

    WORKER = enum.auto()  # one worker
    LEADER = enum.auto()  # all workers while the node leads
    NOBODY = enum.auto()  # only its effects do, which are recorded
    ALL = enum.auto()  # all workers, and for the delay after it as well


_REACH_BY_KIND = {
    FaultKind.LATE_STARTS: Reach.WORKER,
    FaultKind.LATE_STOPS: Reach.WORKER,
    FaultKind.LATE_POLLS: Reach.WORKER,
    FaultKind.SILENCE: Reach.WORKER,
    FaultKind.MUTE: Reach.WORKER,
    FaultKind.RESTART: Reach.WORKER,
    FaultKind.REMOVED_ENTRY: Reach.WORKER,
    FaultKind.STORE_DOWN: Reach.LEADER,
    FaultKind.LOST_ANSWERS: Reach.NOBODY,
    FaultKind.LATE_WRITES: Reach.LEADER,
    # What watches would report is read when they fail at their limit.
    FaultKind.HANGING_WATCHES: Reach.NOBODY,
    FaultKind.HAND_OVER: Reach.NOBODY,
    FaultKind.TAKEOVER: Reach.NOBODY,
    # The watch reports what an announcement would have.
    FaultKind.LOST_ANNOUNCEMENTS: Reach.NOBODY,
    FaultKind.LATE_ANNOUNCEMENTS: Reach.NOBODY,
    FaultKind.LOST_PEER_REPLIES: Reach.NOBODY,
    FaultKind.DRAIN: Reach.NOBODY,
    FaultKind.LONG_REMOVED_ENTRY: Reach.WORKER,
    FaultKind.BROKEN_WRITES: Reach.LEADER,
}


def find_disruptions(
    schedule: Schedule,
    leads: list[Lead],
    deposed_after_s: float,
    workers: Iterable[ProtocolWorker],
    stores: Iterable[MemoryStore],
) -> tuple[Disruption, ...]:
    """Return all disruptions of a schedule that was played.

    Args:
        schedule: The schedule.
        leads: Changes of the leader, in their order.
        deposed_after_s: Seconds until a node that was replaced without its
            consent learns it.
        workers: The workers.
        stores: The store actors of all nodes.
    """
    disruptions = [
        *_changes_of_leader(leads, deposed_after_s),
        *_effects_of_faults(workers, stores),
    ]
    for fault in schedule.faults:
        disruptions.extend(_disruptions_by_fault(fault, leads, schedule.workers))
    return tuple(sorted(disruptions, key=lambda d: (d.begin, d.end, d[:2])))


def has_calm_stretch(
    disruptions: Iterable[Disruption],
    worker_id: str,
    begin: float,
    end: float,
    length_s: float,
) -> bool:
    """Return whether a time has a stretch without disruption for a worker.

    Args:
        disruptions: Disruptions in the order of their begin.
        worker_id: The worker.
        begin: Begin of the time.
        end: Its end.
        length_s: Length of the stretch.
    """
    calm_since = begin
    for disruption in disruptions:
        if disruption.worker_id not in ("", worker_id) or disruption.end < begin:
            continue
        if min(disruption.begin, end) > calm_since + length_s:
            return True
        calm_since = max(calm_since, disruption.end)
    return end > calm_since + length_s


def _changes_of_leader(
    leads: list[Lead], deposed_after_s: float
) -> Iterator[Disruption]:
    for last, lead in zip(leads, leads[1:], strict=False):
        if last.node is None:
            yield Disruption("no leader", "", last.at_s, lead.at_s)
        elif lead.node is not None:
            deposed_at = lead.at_s + deposed_after_s
            yield Disruption("takeover", "", lead.at_s, deposed_at)
    if leads and leads[-1].node is None:
        yield Disruption("no leader", "", leads[-1].at_s, math.inf)


def _effects_of_faults(
    workers: Iterable[ProtocolWorker], stores: Iterable[MemoryStore]
) -> Iterator[Disruption]:
    """Yield what faults did at other times than while they lasted."""
    for worker in workers:
        for at_s in worker.carried_out_late_at:
            yield Disruption("late call", worker.worker_id, at_s, at_s)
    for store in stores:
        for at_s in store.withheld_at:
            yield Disruption("lost answer", "", at_s, at_s + CALL_TIMEOUT_S)


def _disruptions_by_fault(
    fault: Fault, leads: list[Lead], workers: int
) -> Iterator[Disruption]:
    reach = _REACH_BY_KIND.get(fault.kind, Reach.ALL)
    duration_s = fault.duration_s
    if fault.kind is FaultKind.RESTART:
        duration_s = fault.delay_s  # until the entry of the new process
    end = fault.at_s + duration_s
    if reach is Reach.WORKER:
        worker_id = f"w{fault.target % workers + 1}"
        yield Disruption(fault.kind, worker_id, fault.at_s, end)
    elif reach is Reach.ALL:
        yield Disruption(fault.kind, "", fault.at_s, end + fault.delay_s)
    elif reach is Reach.LEADER:
        ends = [*(lead.at_s for lead in leads[1:]), math.inf]
        for lead, lead_end in zip(leads, ends, strict=True):
            begin, last = max(fault.at_s, lead.at_s), min(end, lead_end)
            if lead.node == fault.target % NODES and begin <= last:
                yield Disruption(fault.kind, "", begin, last)
        if fault.kind in (FaultKind.LATE_WRITES, FaultKind.BROKEN_WRITES):
            carried_out_at = end + fault.delay_s
            yield Disruption(fault.kind, "", carried_out_at, carried_out_at)
