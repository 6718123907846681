"""When a follower may take over its failure domain."""

import random

from ._ownership_peers import SILENCE_TIMEOUT_S, PeerTable

TURN_INTERVAL_S = 0.2  # between the attempts of the nodes, in the order of their ranks
MAX_TURN_JITTER_S = 0.1
MAX_TURNS = 10  # turns waited while no other node is known
# After an outage the owner finds the store again up to 1.2 s later than other
# nodes, by the interval of the probes. An owner that stays without a record
# for longer cannot write job records, so another node takes over.
MAX_RECORD_ABSENCE_S = 2.5
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
        self._record_absent_since = 0.0
        self._turn_delay_s = 0.0
        self._owner_wait_started_at: float | None = None

    def start_owner_wait(self, now: float) -> None:
        """Note that peers can be heard from now on."""
        if self._owner_wait_started_at is None:
            self._owner_wait_started_at = now

    def restart_owner_wait(self, now: float) -> None:
        """Give the owner time to be heard of before a claim."""
        if self._owner_wait_started_at is not None:
            self._owner_wait_started_at = now

    def note_record_absent(self, now: float) -> None:
        """Note that the record is absent from now on."""
        turns = self._peers.count_possibly_live_before()
        if self._peers.is_empty():
            turns = min(self._rank, MAX_TURNS)
        self._record_absent_since = now
        self._turn_delay_s = turns * TURN_INTERVAL_S + self._jitter.uniform(
            0.0, MAX_TURN_JITTER_S
        )

    def acquire_at(self) -> float:
        """Return when to acquire the absent record."""
        silent_at = self._peers.owner_last_heard_at() + SILENCE_TIMEOUT_S
        latest = self._record_absent_since + MAX_RECORD_ABSENCE_S
        return (
            max(self._record_absent_since, min(silent_at, latest)) + self._turn_delay_s
        )

    def may_claim(self, now: float) -> bool:
        """Whether to claim the domain while the store is unreachable."""
        if self._owner_wait_started_at is None:
            return False
        silent_s = now - max(
            self._owner_wait_started_at, self._peers.owner_last_heard_at()
        )
        if silent_s < SILENCE_TIMEOUT_S:
            return False
        if silent_s < SILENCE_TIMEOUT_S + FIRST_REPORT_TIMEOUT_S:
            return self._peers.count_possibly_live_before() == 0
        return self._peers.count_recently_heard_before(now) == 0
