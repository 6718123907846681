"""Checks of fencing and of the invariants I6 to I8 on a history.

All functions expect the entries ordered by time. Time spans are pairs of
begin and end in seconds.
"""

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
    """Check fencing: epochs are unique and decrease on no worker.

    All violations are reported as I5.
    """
    highest: dict[tuple[str, str], Epoch] = {}
    nodes_by_epoch: dict[tuple[str, Epoch], str] = {}
    for entry in entries:
        if isinstance(entry, CommandAccepted):
            boot = (entry.worker_id, entry.boot_id)
            highest_epoch = highest.setdefault(boot, entry.epoch)
            if entry.epoch < highest_epoch:
                description = (
                    f"{entry.worker_id} accepts {entry.epoch} below {highest_epoch}"
                )
                yield Violation(entry.at, "I5", description)
            highest[boot] = max(highest_epoch, entry.epoch)
        elif isinstance(entry, EpochTaken):
            key = (entry.failure_domain, entry.epoch)
            holder = nodes_by_epoch.setdefault(key, entry.node_id)
            if holder != entry.node_id:
                description = (
                    f"{entry.node_id} and {holder} are both owners with {entry.epoch}"
                )
                yield Violation(entry.at, "I5", description)


def check_leaving(entries: list[Entry], leaving_s: float) -> Iterator[Violation]:
    """Check I6: a leaving worker gets no new work.

    A worker that the VM list shows as leaving may get work for ``leaving_s``
    seconds more; one that announced its stop may not.
    """
    forbidden_from: dict[str, float] = {}
    for entry in entries:
        if isinstance(entry, LeavingListed):
            limit = entry.at + leaving_s
            forbidden_from[entry.worker_id] = min(
                limit, forbidden_from.get(entry.worker_id, limit)
            )
        elif isinstance(entry, DrainAnnounced):
            forbidden_from[entry.worker_id] = entry.at
        elif isinstance(entry, WorkerBooted):
            forbidden_from.pop(entry.worker_id, None)
        elif isinstance(entry, MemberReserved):
            forbidden = entry.at > forbidden_from.get(entry.worker_id, entry.at)
            if forbidden:
                description = (
                    f"{entry.worker_id} is leaving and reserves {entry.gang_id}"
                )
                yield Violation(entry.at, "I6", description)


def check_shutdown(entries: list[Entry]) -> Iterator[Violation]:
    """Check I7: a planned stop of a node leaves no request unanswered."""
    open_requests: dict[str, set[str]] = {}
    for entry in entries:
        if isinstance(entry, RequestBegun):
            open_requests.setdefault(entry.node_id, set()).add(entry.request_id)
        elif isinstance(entry, RequestEnded):
            open_requests.get(entry.node_id, set()).discard(entry.request_id)
        elif isinstance(entry, NodeDown):
            unanswered = open_requests.pop(entry.node_id, set())
            if entry.planned and unanswered:
                description = (
                    f"{entry.node_id} stopped without answering {sorted(unanswered)}"
                )
                yield Violation(entry.at, "I7", description)


def check_configuration(entries: list[Entry], limit_s: float) -> Iterator[Violation]:
    """Check I8: an accepted version comes into force and never reverts.

    Each node has ``limit_s`` seconds to put it in force. This time counts only
    while the node can learn of the change, from the store or from a peer that
    reaches the store, and begins anew after each interruption. It does not
    count during an outage of the store, because nodes can then only copy the
    configuration from each other.
    """
    yield from _check_versions(entries)
    nodes = {e.node_id for e in entries if isinstance(e, ConfigurationInForce)}
    end = entries[-1].at if entries else 0.0
    accepted = [e for e in entries if isinstance(e, ConfigurationAccepted)]
    for change in accepted:
        for node_id in sorted(nodes):
            spans = _learning_spans(entries, node_id, end)
            deadline = _find_deadline(spans, change.at, limit_s)
            if deadline is None:
                continue
            version = _version_at(entries, node_id, deadline)
            if version < change.version:
                description = (
                    f"{node_id} has version {version} in force, not {change.version}"
                )
                yield Violation(deadline, "I8", description)


def _check_versions(entries: list[Entry]) -> Iterator[Violation]:
    documents: dict[int, str] = {}
    versions_in_force: dict[str, int] = {}
    refused = {e.document for e in entries if isinstance(e, ConfigurationRefused)}
    for entry in entries:
        if isinstance(entry, ConfigurationInForce):
            if entry.version <= versions_in_force.get(entry.node_id, 0):
                description = f"{entry.node_id} reverted to version {entry.version}"
                yield Violation(entry.at, "I8", description)
            versions_in_force[entry.node_id] = entry.version
            if entry.document in refused:
                description = f"{entry.node_id} put a refused document in force"
                yield Violation(entry.at, "I8", description)
        elif not isinstance(entry, ConfigurationAccepted):
            continue
        if documents.setdefault(entry.version, entry.document) != entry.document:
            description = f"version {entry.version} has two documents"
            yield Violation(entry.at, "I8", description)


def _learning_spans(
    entries: list[Entry], node_id: str, end: float
) -> list[tuple[float, float]]:
    """Return the spans in which a node ran and could learn of a change.

    It learns from the store or, while it is cut off from the store, from a
    peer that reaches the store.
    """
    running = _running_spans(entries, node_id, end)
    store_spans = _store_spans(entries, node_id, end)
    isolated = _subtract_all(running, store_spans)
    for peer_id in {e.node_id for e in entries if isinstance(e, NodeUp)} - {node_id}:
        isolated = _subtract_all(isolated, _store_spans(entries, peer_id, end))
    return _subtract_all(running, isolated)


def _running_spans(
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


def _store_spans(
    entries: list[Entry], node_id: str, end: float
) -> list[tuple[float, float]]:
    """Return the spans in which a node ran and reached the store."""
    spans = _running_spans(entries, node_id, end)
    for entry in entries:
        own_cut = isinstance(entry, StoreCut) and entry.node_id == node_id
        if own_cut or isinstance(entry, StoreOutage):
            spans = _subtract(spans, entry.at, entry.until)
    return spans


def _subtract_all(
    spans: list[tuple[float, float]], others: list[tuple[float, float]]
) -> list[tuple[float, float]]:
    """Return the parts of the spans that lie outside of all the others."""
    for first, last in others:
        spans = _subtract(spans, first, last)
    return spans


def _subtract(
    spans: list[tuple[float, float]], begin: float, end: float
) -> list[tuple[float, float]]:
    parts = [
        part
        for first, last in spans
        for part in ((first, min(last, begin)), (max(first, end), last))
    ]
    return [(first, last) for first, last in parts if first < last]


def _find_deadline(
    spans: list[tuple[float, float]], begin: float, duration_s: float
) -> float | None:
    """Return when the first span has lasted ``duration_s`` after ``begin``.

    Time before ``begin`` does not count; None means that no span is that long.
    """
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
