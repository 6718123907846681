"""When a follower may take over its failure domain."""

import random

from ._ownership_peers import SILENT_S, PeerTable

TURN_S = 0.2  # between the attempts of the nodes, in the order of their ranks
TURN_JITTER_S = 0.1
TURN_LIMIT = 10  # turns waited while no other node is known
# After an outage the owner finds the store again up to 1.2 s later than other
# nodes, by the interval of the probes. An owner that stays without a record
# for longer cannot write job records, so another node takes over.
ABSENT_LIMIT_S = 2.5
# Time for a node of the VM list to be heard of once all nodes exchange.
FIRST_REPORT_TIMEOUT_S = 2.0


class TakeoverPolicy:
    """Decides when a following node acquires or claims its domain.

    Args:
        peers: The other nodes of the domain.
        rank: This node's rank.
        jitter: Source of the jitter between nodes.
    """

    def __init__(self, peers: PeerTable, rank: int, jitter: random.Random) -> None:
        self._peers = peers
        self._rank = rank
        self._jitter = jitter
        self._absent_since = 0.0
        self._turn_s = 0.0
        self._owner_wait_from: float | None = None

    def members_known(self, now: float) -> None:
        """Note that peers can be heard from now on."""
        if self._owner_wait_from is None:
            self._owner_wait_from = now

    def restart_owner_wait(self, now: float) -> None:
        """Give the owner time to be heard of before a claim."""
        if self._owner_wait_from is not None:
            self._owner_wait_from = now

    def record_vanished(self, now: float) -> None:
        """Note that the record is absent from now on."""
        turns = self._peers.count_before()
        if self._peers.is_empty():
            turns = min(self._rank, TURN_LIMIT)
        self._absent_since = now
        self._turn_s = turns * TURN_S + self._jitter.uniform(0.0, TURN_JITTER_S)

    def acquire_at(self) -> float:
        """Return when to acquire the absent record."""
        silent_at = self._peers.owner_seen_at() + SILENT_S
        latest = self._absent_since + ABSENT_LIMIT_S
        return max(self._absent_since, min(silent_at, latest)) + self._turn_s

    def may_claim(self, now: float) -> bool:
        """Whether to claim the domain while the store is unreachable."""
        if self._owner_wait_from is None:
            return False
        silent_s = now - max(self._owner_wait_from, self._peers.owner_seen_at())
        if silent_s < SILENT_S:
            return False
        if silent_s < SILENT_S + FIRST_REPORT_TIMEOUT_S:
            return self._peers.count_before() == 0
        return self._peers.count_heard_before(now) == 0
