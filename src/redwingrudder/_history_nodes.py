"""Checks of fencing and I6 to I8 over entries ordered by time."""

from collections.abc import Iterator

from ._history_types import (
    CommandAccepted,
    ConfigurationAccepted,
    ConfigurationInForce,
    ConfigurationRefused,
    DrainAnnounced,
    Entry,
    EpochTaken,
    LeavingListed,
    MemberReserved,
    NodeDown,
    NodeUp,
    RequestBegun,
    RequestEnded,
    StoreCut,
    StoreOutage,
    Violation,
    WorkerBooted,
)
from .model import Epoch


def check_fencing(entries: list[Entry]) -> Iterator[Violation]:
    """I2 and I5: epochs are unique and a worker accepts no lower one."""
    highest: dict[tuple[str, str], Epoch] = {}
    holders: dict[tuple[str, Epoch], str] = {}
    for entry in entries:
        if isinstance(entry, CommandAccepted):
            boot = (entry.worker_id, entry.boot_id)
            seen = highest.setdefault(boot, entry.epoch)
            if entry.epoch < seen:
                text = f"{entry.worker_id} accepts {entry.epoch} below {seen}"
                yield Violation(entry.at, "I5", text)
            highest[boot] = max(seen, entry.epoch)
        elif isinstance(entry, EpochTaken):
            key = (entry.failure_domain, entry.epoch)
            holder = holders.setdefault(key, entry.node_id)
            if holder != entry.node_id:
                text = f"{entry.node_id} and {holder} own under {entry.epoch}"
                yield Violation(entry.at, "I5", text)


def check_leaving(entries: list[Entry], leaving_s: float) -> Iterator[Violation]:
    """I6: a leaving worker gets no new work."""
    barred_from: dict[str, float] = {}
    for entry in entries:
        if isinstance(entry, LeavingListed):
            limit = entry.at + leaving_s
            barred_from[entry.worker_id] = min(
                limit, barred_from.get(entry.worker_id, limit)
            )
        elif isinstance(entry, DrainAnnounced):
            barred_from[entry.worker_id] = entry.at
        elif isinstance(entry, WorkerBooted):
            barred_from.pop(entry.worker_id, None)
        elif isinstance(entry, MemberReserved):
            barred = entry.at > barred_from.get(entry.worker_id, entry.at)
            if barred:
                text = f"{entry.worker_id} leaves and gets {entry.gang_id}"
                yield Violation(entry.at, "I6", text)


def check_shutdown(entries: list[Entry]) -> Iterator[Violation]:
    """I7: a planned stop of a node leaves no request without an answer."""
    open_requests: dict[str, set[str]] = {}
    for entry in entries:
        if isinstance(entry, RequestBegun):
            open_requests.setdefault(entry.node_id, set()).add(entry.request_id)
        elif isinstance(entry, RequestEnded):
            open_requests.get(entry.node_id, set()).discard(entry.request_id)
        elif isinstance(entry, NodeDown):
            cut_off = open_requests.pop(entry.node_id, set())
            if entry.planned and cut_off:
                text = f"{entry.node_id} stops during {sorted(cut_off)}"
                yield Violation(entry.at, "I7", text)


def check_configuration(entries: list[Entry], limit_s: float) -> Iterator[Violation]:
    """I8: an accepted version is soon in force everywhere and never reverted.

    The limit does not run during an outage of the store, in which nodes can
    only copy from each other.
    """
    yield from _check_versions(entries)
    nodes = {e.node_id for e in entries if isinstance(e, ConfigurationInForce)}
    end = entries[-1].at if entries else 0.0
    accepted = [e for e in entries if isinstance(e, ConfigurationAccepted)]
    for change in accepted:
        for node_id in sorted(nodes):
            spans = _available(entries, node_id, end)
            late = _after(spans, change.at, limit_s)
            if late is None:
                continue
            version = _version_at(entries, node_id, late)
            if version < change.version:
                text = f"{node_id} has {version}, not {change.version}, in force"
                yield Violation(late, "I8", text)


def _check_versions(entries: list[Entry]) -> Iterator[Violation]:
    documents: dict[int, str] = {}
    in_force: dict[str, int] = {}
    refused = {e.document for e in entries if isinstance(e, ConfigurationRefused)}
    for entry in entries:
        if isinstance(entry, ConfigurationInForce):
            if entry.version <= in_force.get(entry.node_id, 0):
                text = f"{entry.node_id} reverts to {entry.version}"
                yield Violation(entry.at, "I8", text)
            in_force[entry.node_id] = entry.version
            if entry.document in refused:
                text = f"{entry.node_id} has a refused document in force"
                yield Violation(entry.at, "I8", text)
        elif not isinstance(entry, ConfigurationAccepted):
            continue
        if documents.setdefault(entry.version, entry.document) != entry.document:
            text = f"version {entry.version} has two documents"
            yield Violation(entry.at, "I8", text)


def _available(
    entries: list[Entry], node_id: str, end: float
) -> list[tuple[float, float]]:
    """Return the spans in which a node ran and could learn of a change.

    It learns from the store or, while it is cut off from the store, from a
    peer that reaches the store.
    """
    running = _running(entries, node_id, end)
    own_reach = _reach(entries, node_id, end)
    alone = _minus(running, own_reach)
    for peer_id in {e.node_id for e in entries if isinstance(e, NodeUp)} - {node_id}:
        alone = _minus(alone, _reach(entries, peer_id, end))
    return _minus(running, alone)


def _running(
    entries: list[Entry], node_id: str, end: float
) -> list[tuple[float, float]]:
    spans: list[tuple[float, float]] = []
    up_at: float | None = None
    for entry in entries:
        if isinstance(entry, NodeUp) and entry.node_id == node_id:
            up_at = entry.at
        elif isinstance(entry, NodeDown) and entry.node_id == node_id:
            if up_at is not None:
                spans.append((up_at, entry.at))
            up_at = None
    if up_at is not None:
        spans.append((up_at, end))
    return spans


def _reach(entries: list[Entry], node_id: str, end: float) -> list[tuple[float, float]]:
    """Return the spans in which a node ran and reached the store."""
    spans = _running(entries, node_id, end)
    for entry in entries:
        own_cut = isinstance(entry, StoreCut) and entry.node_id == node_id
        if own_cut or isinstance(entry, StoreOutage):
            spans = _without(spans, entry.at, entry.until)
    return spans


def _minus(
    spans: list[tuple[float, float]], others: list[tuple[float, float]]
) -> list[tuple[float, float]]:
    for first, last in others:
        spans = _without(spans, first, last)
    return spans


def _without(
    spans: list[tuple[float, float]], begin: float, end: float
) -> list[tuple[float, float]]:
    parts = [
        part
        for first, last in spans
        for part in ((first, min(last, begin)), (max(first, end), last))
    ]
    return [(first, last) for first, last in parts if first < last]


def _after(
    spans: list[tuple[float, float]], begin: float, duration_s: float
) -> float | None:
    """Return the end of the first span that lasts so long after a time."""
    for first, last in spans:
        start = max(first, begin)
        if start + duration_s <= last:
            return start + duration_s
    return None


def _version_at(entries: list[Entry], node_id: str, at: float) -> int:
    versions = [
        entry.version
        for entry in entries
        if isinstance(entry, ConfigurationInForce)
        and entry.node_id == node_id
        and entry.at <= at
    ]
    return max(versions, default=0)
