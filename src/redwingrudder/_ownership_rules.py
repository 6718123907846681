"""When a follower may take over its failure domain."""

import random

from ._ownership_peers import SILENT_S, PeerBook

TURN_S = 0.2  # between the attempts of the nodes, in the order of their ranks
TURN_JITTER_S = 0.1
TURN_LIMIT = 10  # turns waited while no other node is known
# A living owner without a record cannot write job records, so another node
# that reaches the store takes over after this time.
ABSENT_LIMIT_S = 10.0


class TakeoverRules:
    """Decides when a following node acquires or claims its domain.

    Args:
        peers: The other nodes of the domain.
        rank: This node's rank.
        jitter: Source of the jitter between nodes.
    """

    def __init__(self, peers: PeerBook, rank: int, jitter: random.Random) -> None:
        self._peers = peers
        self._rank = rank
        self._jitter = jitter
        self._absent_since = 0.0
        self._turn_at = 0.0
        self._patience_from: float | None = None

    def members_known(self, now: float) -> None:
        """Note that peers can be heard from now on."""
        if self._patience_from is None:
            self._patience_from = now

    def be_patient(self, now: float) -> None:
        """Give the owner time to be heard of before a claim."""
        if self._patience_from is not None:
            self._patience_from = now

    def record_vanished(self, now: float) -> float:
        """Note that the record is absent; returns the wait in seconds."""
        self._absent_since = now
        return self._await_turn(now)

    def may_acquire(self, now: float) -> bool:
        """Whether to acquire the absent record now."""
        overdue = now - self._absent_since >= ABSENT_LIMIT_S
        if self._peers.is_owner_alive(now) and not overdue:
            self._await_turn(now)
            return False
        return now >= self._turn_at

    def may_claim(self, now: float) -> bool:
        """Whether to claim the domain while the store is unreachable."""
        if self._patience_from is None or now - self._patience_from < SILENT_S:
            return False
        alive = self._peers.is_owner_alive(now)
        return not alive and self._peers.count_before(now) == 0

    def _await_turn(self, now: float) -> float:
        turns = self._peers.count_before(now)
        if self._peers.is_empty():
            turns = min(self._rank, TURN_LIMIT)
        delay_s = turns * TURN_S + self._jitter.uniform(0.0, TURN_JITTER_S)
        self._turn_at = now + delay_s
        return delay_s
