"""What a node knows of the other nodes of its failure domain."""

import math
from typing import NamedTuple

from .requests import PeerReport, VmInfo

SILENCE_TIMEOUT_S = 3.0  # a node exchanges each second with its domain's owner
MAX_PEERS = 1_000


class _Peer(NamedTuple):
    """A node that sent a report; ``silent`` when it answers no more."""

    rank: int
    last_heard_at: float
    owner: bool
    draining: bool
    silent: bool


class PeerTable:
    """The nodes of one failure domain, from the VM list and their reports.

    A node exchanges reports with few others while the owner lives, so a node
    of the VM list counts as live until an exchange with it failed.
    """

    def __init__(self, node_id: str, rank: int) -> None:
        self._node_id = node_id
        self._rank = rank
        self._member_ranks_by_id: dict[str, int] = {}
        self._silent_members: set[str] = set()
        self._peers_by_id: dict[str, _Peer] = {}

    def set_members(self, vms: tuple[VmInfo, ...], failure_domain: str) -> None:
        """Take over the domain's nodes that are not leaving."""
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
        """Take over a report; the least recent peer gives way at the limit."""
        peers = self._peers_by_id
        if report.node_id not in peers and len(peers) >= MAX_PEERS:
            del peers[min(peers, key=lambda node_id: peers[node_id].last_heard_at)]
        peers[report.node_id] = _Peer(
            report.node_rank, now, report.owner, report.draining, False
        )
        self._silent_members.discard(report.node_id)

    def mark_silent(self, node_id: str, silent_s: float, now: float) -> None:
        """Note that a node has not answered for some seconds."""
        if node_id in self._member_ranks_by_id:
            self._silent_members.add(node_id)
        peer = self._peers_by_id.get(node_id)
        if peer is not None:
            last_heard_at = min(peer.last_heard_at, now - silent_s)
            self._peers_by_id[node_id] = peer._replace(
                last_heard_at=last_heard_at, silent=True
            )

    def mark_released(self, node_id: str) -> None:
        """Note that a node handed its ownership over."""
        peer = self._peers_by_id.get(node_id)
        if peer is not None:
            self._peers_by_id[node_id] = peer._replace(owner=False, draining=True)

    def add_own_pause(self, paused_s: float) -> None:
        """Discount a time during which this node itself was paused."""
        for node_id, peer in self._peers_by_id.items():
            last_heard_at = peer.last_heard_at + paused_s
            self._peers_by_id[node_id] = peer._replace(last_heard_at=last_heard_at)

    def is_owner_alive(self, now: float) -> bool:
        """Whether a node that claims to own the domain was heard of."""
        return now - self.owner_last_heard_at() < SILENCE_TIMEOUT_S

    def owner_last_heard_at(self) -> float:
        """Return when an owner of the domain was last heard of."""
        times = [
            peer.last_heard_at
            for peer in self._peers_by_id.values()
            if peer.owner and not peer.draining
        ]
        return max(times, default=-math.inf)

    def count_recently_heard_before(self, now: float) -> int:
        """Return how many nodes before this one were heard of lately."""
        own = (self._rank, self._node_id)
        return sum(
            (peer.rank, node_id) < own
            for node_id, peer in self._peers_by_id.items()
            if now - peer.last_heard_at < SILENCE_TIMEOUT_S and not peer.draining
        )

    def count_possibly_live_before(self) -> int:
        """Return how many nodes that may be live come before this one."""
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
        own = (self._rank, self._node_id)
        return sum((rank, node_id) < own for node_id, rank in ranks_by_id.items())

    def is_empty(self) -> bool:
        """Whether no other node is known."""
        return not self._peers_by_id and not self._member_ranks_by_id
