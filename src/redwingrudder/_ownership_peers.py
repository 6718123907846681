"""What a node knows of the other nodes of its failure domain."""

from typing import NamedTuple

from .requests import PeerReport

SILENT_S = 3.0  # exchanges take place each second
PEER_LIMIT = 1_000


class _Peer(NamedTuple):
    rank: int
    seen_at: float
    owner: bool
    draining: bool


class PeerBook:
    """The nodes of one failure domain by id, as their reports show them."""

    def __init__(self, node_id: str, rank: int) -> None:
        self._node_id = node_id
        self._rank = rank
        self._peers_by_id: dict[str, _Peer] = {}

    def report(self, report: PeerReport, now: float) -> None:
        """Take over a report; the least recent peer gives way at the limit."""
        peers = self._peers_by_id
        if report.node_id not in peers and len(peers) >= PEER_LIMIT:
            del peers[min(peers, key=lambda node_id: peers[node_id].seen_at)]
        peers[report.node_id] = _Peer(
            report.node_rank, now, report.owner, report.draining
        )

    def silent(self, node_id: str, silent_s: float, now: float) -> None:
        """Note that a node has not been heard of for some seconds."""
        peer = self._peers_by_id.get(node_id)
        if peer is not None:
            seen_at = min(peer.seen_at, now - silent_s)
            self._peers_by_id[node_id] = peer._replace(seen_at=seen_at)

    def excuse(self, paused_s: float) -> None:
        """Discount a time during which this node itself was paused."""
        for node_id, peer in self._peers_by_id.items():
            seen_at = peer.seen_at + paused_s
            self._peers_by_id[node_id] = peer._replace(seen_at=seen_at)

    def is_owner_alive(self, now: float) -> bool:
        """Whether a node that claims to own the domain was heard of."""
        return any(peer.owner for peer in self._live(now))

    def count_before(self, now: float) -> int:
        """Return how many live nodes come before this one by rank."""
        if not self._peers_by_id:
            return 0
        own = (self._rank, self._node_id)
        return sum(
            (peer.rank, node_id) < own
            for node_id, peer in self._peers_by_id.items()
            if self._is_live(peer, now)
        )

    def is_empty(self) -> bool:
        """Whether no node was ever heard of."""
        return not self._peers_by_id

    def _live(self, now: float) -> list[_Peer]:
        peers = self._peers_by_id.values()
        return [peer for peer in peers if self._is_live(peer, now)]

    def _is_live(self, peer: _Peer, now: float) -> bool:
        return now - peer.seen_at < SILENT_S and not peer.draining
