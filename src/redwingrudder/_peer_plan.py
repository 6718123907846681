"""Selection of the peers for report exchanges, and detection of silent peers.

Exchanges between all nodes would use most of a node's traffic budget (5 KB/s)
at the target size of 4 failure domains with 10 nodes each. Therefore a node
exchanges reports every second only with the owner of its failure domain and
with its successor in a ring of the domain's nodes, and less often with the
owners of other domains. While its own domain has no live owner, a node
exchanges reports with every node of the domain each second, because the
election of a successor depends on which nodes are alive.
"""

from typing import NamedTuple

from .requests import OwnerChanged, PeerReport, VmInfo

EXCHANGE_INTERVAL_S = 1.0
# Interval at which a node that is not an owner contacts each other domain.
REMOTE_EXCHANGE_INTERVAL_S = 10.0
# A peer is silent after two missing reports in a row. The succession decides
# after 3 s of silence and needs reports of all nodes of the domain by then.
SILENT_AFTER_S = 1.5
REMOTE_SILENT_AFTER_S = 2 * REMOTE_EXCHANGE_INTERVAL_S + 1.0
# A peer whose report is younger needs no exchange started by this node.
RECENT_REPORT_S = EXCHANGE_INTERVAL_S / 2
# Half an interval absorbs timers that fire early.
TIMER_TOLERANCE_S = EXCHANGE_INTERVAL_S / 2
# Without a report for longer than this, a peer was not contacted regularly.
REGULAR_EXCHANGE_LIMIT_S = 1.5 * EXCHANGE_INTERVAL_S
# Exchange intervals for which a started exchange counts as recent.
RECENT_EXCHANGE_INTERVALS = 2


class _Peer(NamedTuple):
    """Another node; peers sort by node id."""

    node_id: str
    rank: int
    address: str
    failure_domain: str


class SilentPeer(NamedTuple):
    """A peer that has not answered for ``silent_s`` seconds.

    Only peers with which this node recently started an exchange are reported.
    """

    node_id: str
    failure_domain: str
    silent_s: float


class PeerPlan:
    """Known nodes and owners, with the times of their last exchanges.

    All times are seconds of the node's clock.

    Args:
        node_id: This node.
        failure_domain: The failure domain of this node.
    """

    def __init__(self, node_id: str, failure_domain: str) -> None:
        self._node_id = node_id
        self._failure_domain = failure_domain
        self._peers_by_id: dict[str, _Peer] = {}
        self._owners_by_domain: dict[str, OwnerChanged] = {}
        self._last_report_at_by_id: dict[str, float] = {}
        self._unanswered_since_by_id: dict[str, float] = {}
        self._last_exchange_at_by_id: dict[str, float] = {}
        self._search_rounds = 0

    def set_members(self, vms: tuple[VmInfo, ...]) -> None:
        """Replace the known peers by the nodes of a VM list."""
        self._peers_by_id = {
            vm.vm_id: _Peer(vm.vm_id, vm.rank, vm.address, vm.failure_domain)
            for vm in vms
            if vm.role == "node" and vm.vm_id != self._node_id
        }
        known_ids = set(self._peers_by_id)
        known_ids.update(owner.node_id for owner in self._owners_by_domain.values())
        self._remove_nodes_except(known_ids)

    def set_owner(self, owner: OwnerChanged) -> str | None:
        """Record a domain's owner unless one of a higher epoch is known.

        An empty ``node_id`` removes the owner of the domain.

        Returns:
            The address of the replaced owner, or None if there was none or if
            the address is unchanged.
        """
        known_owner = self._owners_by_domain.get(owner.failure_domain)
        if not owner.node_id:
            self._owners_by_domain.pop(owner.failure_domain, None)
            return None
        if known_owner is not None and known_owner.epoch > owner.epoch:
            return None
        self._owners_by_domain[owner.failure_domain] = owner
        if known_owner is None or known_owner.address == owner.address:
            return None
        return known_owner.address

    def remove_owner(self, node_id: str) -> None:
        """Remove the record that a node owns a failure domain."""
        for domain, owner in list(self._owners_by_domain.items()):
            if owner.node_id == node_id:
                del self._owners_by_domain[domain]

    def record_report(self, report: PeerReport, now: float) -> str | None:
        """Record a report that a peer sent in a request or in a reply.

        Returns:
            The address of a replaced owner, see ``set_owner``.
        """
        self._last_report_at_by_id[report.node_id] = now
        self._unanswered_since_by_id.pop(report.node_id, None)
        if not report.owner:
            return None
        return self.set_owner(
            OwnerChanged(
                report.failure_domain, report.node_id, report.address, report.epoch
            )
        )

    def select_addresses(self, now: float) -> tuple[str, ...]:
        """Return the addresses of the peers to exchange reports with now.

        The exchanges count as started at ``now``.
        """
        candidates = {peer.node_id: peer for peer in self._select_local_peers(now)}
        for domain in self._other_domains():
            candidates.update(
                (peer.node_id, peer) for peer in self._select_remote_peers(domain, now)
            )
        selected = [
            peer
            for peer in candidates.values()
            if not self._has_reported_recently(peer, now)
        ]
        for peer in selected:
            self._record_exchange_start(peer.node_id, now)
        return tuple(sorted({peer.address for peer in selected}))

    def find_silent_peers(self, now: float) -> tuple[SilentPeer, ...]:
        """Return the peers that do not answer recent exchange requests."""
        silent_peers = []
        for node_id in self._unanswered_since_by_id:
            peer = self._find_peer(node_id)
            if peer is None or not self._is_exchange_recent(peer, now):
                continue
            silent_s = self._silent_s(node_id, now)
            if silent_s >= self._silence_limit_s(peer):
                silent_peers.append(SilentPeer(node_id, peer.failure_domain, silent_s))
        return tuple(silent_peers)

    def _has_reported_recently(self, peer: _Peer, now: float) -> bool:
        """Whether the peer has just reported, so that no exchange is needed.

        An exchange carries both reports, whichever node starts it.
        """
        reported_at = self._last_report_at_by_id.get(peer.node_id)
        return reported_at is not None and now - reported_at < RECENT_REPORT_S

    def _record_exchange_start(self, node_id: str, now: float) -> None:
        self._last_exchange_at_by_id[node_id] = now
        reported_at = self._last_report_at_by_id.get(node_id, 0.0)
        # A peer that was not contacted regularly had no reason to report: its
        # silence is measured from this exchange.
        recent = now - reported_at <= REGULAR_EXCHANGE_LIMIT_S
        self._unanswered_since_by_id.setdefault(node_id, reported_at if recent else now)

    def _is_exchange_recent(self, peer: _Peer, now: float) -> bool:
        """Whether this node recently started an exchange with the peer."""
        is_local = peer.failure_domain == self._failure_domain
        interval_s = EXCHANGE_INTERVAL_S if is_local else REMOTE_EXCHANGE_INTERVAL_S
        return (
            now - self._last_exchange_at_by_id.get(peer.node_id, 0.0)
            <= RECENT_EXCHANGE_INTERVALS * interval_s
        )

    def _silent_s(self, node_id: str, now: float) -> float:
        """Return for how long a peer has not answered, 0 if it has."""
        return now - self._unanswered_since_by_id.get(node_id, now)

    def _silence_limit_s(self, peer: _Peer) -> float:
        is_local = peer.failure_domain == self._failure_domain
        return SILENT_AFTER_S if is_local or self._is_owner() else REMOTE_SILENT_AFTER_S

    def _is_owner(self) -> bool:
        owner = self._owners_by_domain.get(self._failure_domain)
        return owner is not None and owner.node_id == self._node_id

    def _select_local_peers(self, now: float) -> list[_Peer]:
        peers = sorted(
            peer
            for peer in self._peers_by_id.values()
            if peer.failure_domain == self._failure_domain
        )
        if self._is_owner():
            return self._next_in_ring(peers)
        owner = self._find_owner(self._failure_domain)
        if owner is None:
            return peers
        if self._silent_s(owner.node_id, now) >= SILENT_AFTER_S:
            return [owner, *peers]
        return [owner, *self._next_in_ring(peers)]

    def _next_in_ring(self, peers: list[_Peer]) -> list[_Peer]:
        """Return the successor of this node in the ring of its domain.

        The predecessor starts its exchange with this node by itself.
        """
        higher = [peer for peer in peers if peer.node_id > self._node_id]
        return (higher or peers)[:1]

    def _other_domains(self) -> list[str]:
        domains = {peer.failure_domain for peer in self._peers_by_id.values()}
        domains.update(self._owners_by_domain)
        return sorted(domains - {self._failure_domain})

    def _select_remote_peers(self, domain: str, now: float) -> list[_Peer]:
        owner = self._find_owner(domain)
        interval_s = (
            EXCHANGE_INTERVAL_S if self._is_owner() else REMOTE_EXCHANGE_INTERVAL_S
        )
        if owner is not None and self._silent_s(owner.node_id, now) < (
            self._silence_limit_s(owner)
        ):
            return [owner] if self._is_due(owner, now, interval_s) else []
        return self._select_search_targets(domain, owner, now, interval_s)

    def _select_search_targets(
        self, domain: str, owner: _Peer | None, now: float, interval_s: float
    ) -> list[_Peer]:
        """Return the next node of a domain, and the owner if it is due.

        While the store is unavailable, the report of a new owner is the only
        source of its identity. The nodes of the domain are tried in turn, one
        for each call.
        """
        members = sorted(
            peer for peer in self._peers_by_id.values() if peer.failure_domain == domain
        )
        self._search_rounds += 1
        targets = [members[self._search_rounds % len(members)]] if members else []
        if owner is not None and self._is_due(owner, now, interval_s):
            targets.append(owner)
        return targets

    def _is_due(self, peer: _Peer, now: float, interval_s: float) -> bool:
        started_at = self._last_exchange_at_by_id.get(peer.node_id)
        return started_at is None or now - started_at >= interval_s - TIMER_TOLERANCE_S

    def _find_owner(self, domain: str) -> _Peer | None:
        owner = self._owners_by_domain.get(domain)
        if owner is None or owner.node_id == self._node_id:
            return None
        return _Peer(owner.node_id, 0, owner.address, domain)

    def _find_peer(self, node_id: str) -> _Peer | None:
        peer = self._peers_by_id.get(node_id)
        if peer is not None:
            return peer
        for domain, owner in self._owners_by_domain.items():
            if owner.node_id == node_id:
                return self._find_owner(domain)
        return None

    def _remove_nodes_except(self, kept_ids: set[str]) -> None:
        tables = (
            self._last_report_at_by_id,
            self._last_exchange_at_by_id,
            self._unanswered_since_by_id,
        )
        for table in tables:
            for node_id in set(table) - kept_ids:
                del table[node_id]
