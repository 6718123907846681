"""Which peers a node exchanges reports with, and which of them are silent.

Exchanges between all nodes would cost most of a node's traffic budget at the
target size (10 nodes in each of 4 failure domains, 5 KB/s). A node therefore
exchanges each second with its domain's owner and its next peer in a
ring over the domain, and less often with the owners of other domains. While
the own domain has no live owner, each second with the whole domain, because
succession needs to know which nodes are alive.
"""

from typing import NamedTuple

from .requests import OwnerChanged, PeerReport, VmInfo

EXCHANGE_INTERVAL_S = 1.0
REMOTE_INTERVAL_S = 10.0  # from a node that is no owner, to each other domain
# Two reports in a row are missing. Succession decides after 3 s of silence and
# needs the reports of the whole domain by then.
SILENT_AFTER_S = 1.5
REMOTE_SILENT_AFTER_S = 2 * REMOTE_INTERVAL_S + 1.0


class _Peer(NamedTuple):
    node_id: str
    rank: int
    address: str
    failure_domain: str


class SilentPeer(NamedTuple):
    """A peer that was asked for its report and has not answered."""

    node_id: str
    failure_domain: str
    silent_s: float


class PeerPlan:
    """The nodes that are known, and when each was asked and heard."""

    def __init__(self, node_id: str, failure_domain: str) -> None:
        self._node_id = node_id
        self._failure_domain = failure_domain
        self._peers_by_id: dict[str, _Peer] = {}
        self._owners_by_domain: dict[str, OwnerChanged] = {}
        self._heard_by_id: dict[str, float] = {}
        self._unanswered_since_by_id: dict[str, float] = {}
        self._asked_by_id: dict[str, float] = {}
        self._probes = 0

    def set_members(self, vms: tuple[VmInfo, ...]) -> None:
        """Take over the nodes of a VM list."""
        self._peers_by_id = {
            vm.vm_id: _Peer(vm.vm_id, vm.rank, vm.address, vm.failure_domain)
            for vm in vms
            if vm.role == "node" and vm.vm_id != self._node_id
        }
        known = set(self._peers_by_id)
        known.update(owner.node_id for owner in self._owners_by_domain.values())
        self._forget_all_but(known)

    def set_owner(self, owner: OwnerChanged) -> str | None:
        """Take over an owner, unless one of a higher epoch is known.

        Returns:
            The address of the owner that was replaced, if there was one.
        """
        known = self._owners_by_domain.get(owner.failure_domain)
        if not owner.node_id:
            self._owners_by_domain.pop(owner.failure_domain, None)
            return None
        if known is not None and known.epoch > owner.epoch:
            return None
        self._owners_by_domain[owner.failure_domain] = owner
        if known is None or known.address == owner.address:
            return None
        return known.address

    def remove_owner(self, node_id: str) -> None:
        """Forget that a node owns its failure domain."""
        for domain, owner in list(self._owners_by_domain.items()):
            if owner.node_id == node_id:
                del self._owners_by_domain[domain]

    def heard(self, report: PeerReport, now: float) -> str | None:
        """Note a report, sent by the peer itself or as its answer.

        Returns:
            See ``set_owner``.
        """
        self._heard_by_id[report.node_id] = now
        self._unanswered_since_by_id.pop(report.node_id, None)
        if not report.owner:
            return None
        return self.set_owner(
            OwnerChanged(
                report.failure_domain, report.node_id, report.address, report.epoch
            )
        )

    def due(self, now: float) -> tuple[str, ...]:
        """Return the addresses to exchange with now, and note that."""
        chosen = {peer.node_id: peer for peer in self._domain_peers(now)}
        for domain in self._other_domains():
            chosen.update(
                (peer.node_id, peer) for peer in self._remote_peers(domain, now)
            )
        asked = [peer for peer in chosen.values() if not self._has_asked(peer, now)]
        for peer in asked:
            self._note_asked(peer.node_id, now)
        return tuple(sorted({peer.address for peer in asked}))

    def silent(self, now: float) -> tuple[SilentPeer, ...]:
        """Return the peers that are being asked and do not answer."""
        found = []
        for node_id in self._unanswered_since_by_id:
            peer = self._peer(node_id)
            if peer is None or not self._is_being_asked(peer, now):
                continue
            silent_s = self._silent_s(node_id, now)
            if silent_s >= self._silence_limit_s(peer):
                found.append(SilentPeer(node_id, peer.failure_domain, silent_s))
        return tuple(found)

    def _has_asked(self, peer: _Peer, now: float) -> bool:
        """Whether the peer itself exchanged just now; one side is enough."""
        heard = self._heard_by_id.get(peer.node_id)
        return heard is not None and now - heard < EXCHANGE_INTERVAL_S / 2

    def _note_asked(self, node_id: str, now: float) -> None:
        self._asked_by_id[node_id] = now
        heard = self._heard_by_id.get(node_id, 0.0)
        # A peer that was not asked for a while has not been silent.
        recent = now - heard <= 1.5 * EXCHANGE_INTERVAL_S
        self._unanswered_since_by_id.setdefault(node_id, heard if recent else now)

    def _is_being_asked(self, peer: _Peer, now: float) -> bool:
        local = peer.failure_domain == self._failure_domain
        interval_s = EXCHANGE_INTERVAL_S if local else REMOTE_INTERVAL_S
        return now - self._asked_by_id.get(peer.node_id, 0.0) <= 2 * interval_s

    def _silent_s(self, node_id: str, now: float) -> float:
        return now - self._unanswered_since_by_id.get(node_id, now)

    def _silence_limit_s(self, peer: _Peer) -> float:
        local = peer.failure_domain == self._failure_domain
        return SILENT_AFTER_S if local or self._is_owner() else REMOTE_SILENT_AFTER_S

    def _is_owner(self) -> bool:
        owner = self._owners_by_domain.get(self._failure_domain)
        return owner is not None and owner.node_id == self._node_id

    def _domain_peers(self, now: float) -> list[_Peer]:
        peers = sorted(
            peer
            for peer in self._peers_by_id.values()
            if peer.failure_domain == self._failure_domain
        )
        if self._is_owner():
            return self._ring_next(peers)
        owner = self._owner_peer(self._failure_domain)
        if owner is None:
            return peers
        if self._silent_s(owner.node_id, now) >= SILENT_AFTER_S:
            return [owner, *peers]
        return [owner, *self._ring_next(peers)]

    def _ring_next(self, peers: list[_Peer]) -> list[_Peer]:
        """Return the next peer; the one before asks this node."""
        after = [peer for peer in peers if peer.node_id > self._node_id]
        return (after or peers)[:1]

    def _other_domains(self) -> list[str]:
        domains = {peer.failure_domain for peer in self._peers_by_id.values()}
        domains.update(self._owners_by_domain)
        return sorted(domains - {self._failure_domain})

    def _remote_peers(self, domain: str, now: float) -> list[_Peer]:
        owner = self._owner_peer(domain)
        interval_s = EXCHANGE_INTERVAL_S if self._is_owner() else REMOTE_INTERVAL_S
        if owner is not None and self._silent_s(owner.node_id, now) < (
            self._silence_limit_s(owner)
        ):
            return [owner] if self._is_due(owner, now, interval_s) else []
        return self._probe(domain, owner, now, interval_s)

    def _probe(
        self, domain: str, owner: _Peer | None, now: float, interval_s: float
    ) -> list[_Peer]:
        """Return the silent owner and one more node, in turn.

        The store may be unable to name a new owner; its own report does.
        """
        members = sorted(
            peer for peer in self._peers_by_id.values() if peer.failure_domain == domain
        )
        self._probes += 1
        found = [members[self._probes % len(members)]] if members else []
        if owner is not None and self._is_due(owner, now, interval_s):
            found.append(owner)
        return found

    def _is_due(self, peer: _Peer, now: float, interval_s: float) -> bool:
        asked = self._asked_by_id.get(peer.node_id)
        # Half an interval of tolerance absorbs timers that fire early.
        return asked is None or now - asked >= interval_s - EXCHANGE_INTERVAL_S / 2

    def _owner_peer(self, domain: str) -> _Peer | None:
        owner = self._owners_by_domain.get(domain)
        if owner is None or owner.node_id == self._node_id:
            return None
        return _Peer(owner.node_id, 0, owner.address, domain)

    def _peer(self, node_id: str) -> _Peer | None:
        peer = self._peers_by_id.get(node_id)
        if peer is not None:
            return peer
        for domain, owner in self._owners_by_domain.items():
            if owner.node_id == node_id:
                return self._owner_peer(domain)
        return None

    def _forget_all_but(self, known: set[str]) -> None:
        tables = (self._heard_by_id, self._asked_by_id, self._unanswered_since_by_id)
        for table in tables:
            for node_id in set(table) - known:
                del table[node_id]
