"""Table of the other nodes of a failure domain and of their reports."""

import math
from typing import NamedTuple

from .requests import PeerReport, VmInfo

# A node that was not heard for this long counts as silent. Each node exchanges
# reports with the owner of its domain once a second.
SILENCE_TIMEOUT_S = 3.0
MAX_PEERS = 1_000


class _Peer(NamedTuple):
    """Another node that has sent a report.

    Attributes:
        rank: Rank of the node in its domain.
        last_heard_at: Time of its last report, in seconds; moved forward by
            pauses of this node.
        owner: Whether it reported that it owns the domain.
        draining: Whether it is shutting down or has handed the domain over.
        silent: Whether an exchange with it has failed since its last report.
    """

    rank: int
    last_heard_at: float
    owner: bool
    draining: bool
    silent: bool


class PeerTable:
    """The other nodes of one failure domain, by VM list and reports.

    While the owner is alive, a node exchanges reports with only a few other
    nodes. A node of the VM list therefore counts as live until an exchange
    with it has failed.

    Args:
        node_id: Id of this node.
        rank: Rank of this node in the domain.
    """

    def __init__(self, node_id: str, rank: int) -> None:
        self._node_id = node_id
        self._rank = rank
        self._member_ranks_by_id: dict[str, int] = {}
        self._silent_members: set[str] = set()
        self._peers_by_id: dict[str, _Peer] = {}

    def set_members(self, vms: tuple[VmInfo, ...], failure_domain: str) -> None:
        """Replace the members by the live nodes of the domain in a VM list."""
        self._member_ranks_by_id = {
            vm.vm_id: vm.rank
            for vm in vms
            if vm.role == "node"
            and vm.state == "live"
            and vm.failure_domain == failure_domain
            and vm.vm_id != self._node_id
        }
        self._silent_members &= self._member_ranks_by_id.keys()

    def record_report(self, report: PeerReport, now: float) -> None:
        """Store a peer's report.

        At MAX_PEERS a new peer replaces the one heard least recently.
        """
        peers = self._peers_by_id
        if report.node_id not in peers and len(peers) >= MAX_PEERS:
            del peers[min(peers, key=lambda node_id: peers[node_id].last_heard_at)]
        peers[report.node_id] = _Peer(
            report.node_rank, now, report.owner, report.draining, False
        )
        self._silent_members.discard(report.node_id)

    def mark_silent(self, node_id: str, silent_s: float, now: float) -> None:
        """Mark a node that has not answered for ``silent_s`` seconds."""
        if node_id in self._member_ranks_by_id:
            self._silent_members.add(node_id)
        peer = self._peers_by_id.get(node_id)
        if peer is not None:
            last_heard_at = min(peer.last_heard_at, now - silent_s)
            self._peers_by_id[node_id] = peer._replace(
                last_heard_at=last_heard_at, silent=True
            )

    def mark_released(self, node_id: str) -> None:
        """Mark a node that has handed over its ownership."""
        peer = self._peers_by_id.get(node_id)
        if peer is not None:
            self._peers_by_id[node_id] = peer._replace(owner=False, draining=True)

    def add_own_pause(self, paused_s: float) -> None:
        """Move all last-heard times forward by a pause of this node."""
        for node_id, peer in self._peers_by_id.items():
            last_heard_at = peer.last_heard_at + paused_s
            self._peers_by_id[node_id] = peer._replace(last_heard_at=last_heard_at)

    def is_owner_alive(self, now: float) -> bool:
        """Whether an owner of the domain was heard recently enough."""
        return now - self.owner_last_heard_at() < SILENCE_TIMEOUT_S

    def owner_last_heard_at(self) -> float:
        """Return when an owner was last heard, in seconds; -inf if never."""
        times = [
            peer.last_heard_at
            for peer in self._peers_by_id.values()
            if peer.owner and not peer.draining
        ]
        return max(times, default=-math.inf)

    def count_recently_heard_before(self, now: float) -> int:
        """Count the nodes ranked before this one that were heard recently.

        Recently means within SILENCE_TIMEOUT_S; draining nodes are left out.
        """
        own_order = (self._rank, self._node_id)
        return sum(
            (peer.rank, node_id) < own_order
            for node_id, peer in self._peers_by_id.items()
            if now - peer.last_heard_at < SILENCE_TIMEOUT_S and not peer.draining
        )

    def count_possibly_live_before(self) -> int:
        """Count the nodes ranked before this one that may be live.

        These are all members and reporting peers except silent and draining
        ones.
        """
        ranks_by_id = {
            node_id: rank
            for node_id, rank in self._member_ranks_by_id.items()
            if node_id not in self._silent_members
        }
        for node_id, peer in self._peers_by_id.items():
            if peer.silent or peer.draining:
                ranks_by_id.pop(node_id, None)
            else:
                ranks_by_id[node_id] = peer.rank
        own_order = (self._rank, self._node_id)
        return sum((rank, node_id) < own_order for node_id, rank in ranks_by_id.items())

    def is_empty(self) -> bool:
        """Whether neither the VM list nor a report names another node."""
        return not self._peers_by_id and not self._member_ranks_by_id
