"""Decides when a following node may take over its failure domain."""

import random

from ._ownership_peers import SILENCE_TIMEOUT_S, PeerTable

# The nodes try to acquire an absent record one after another in the order of
# their ranks, at this interval.
TURN_INTERVAL_S = 0.2
MAX_TURN_JITTER_S = 0.1
# Maximum number of turns that a node waits according to its rank while neither
# the VM list nor a report has named another node.
MAX_TURNS = 10
# After an outage, the owner may detect the recovered store as much as 1.2 s
# later than other nodes, because the store is probed at intervals. If the
# owner record is absent for longer than this limit, another node takes over,
# because an owner without a record cannot write job records.
MAX_RECORD_ABSENCE_S = 2.5
# Once the owner is silent all nodes exchange reports. A node of the VM list
# that has sent none for this long no longer precedes this node.
FIRST_REPORT_TIMEOUT_S = 2.0


class TakeoverPolicy:
    """Decides when a following node acquires the record or claims its domain.

    All times are in seconds of the node's clock.

    Args:
        peers: The other nodes of the domain.
        rank: Rank of this node in the domain.
        jitter: Random source for the delays between nodes.
    """

    def __init__(self, peers: PeerTable, rank: int, jitter: random.Random) -> None:
        self._peers = peers
        self._rank = rank
        self._jitter = jitter
        self._record_absent_since = 0.0
        self._turn_delay_s = 0.0
        self._owner_wait_started_at: float | None = None

    def start_owner_wait(self, now: float) -> None:
        """Start the wait for the owner's reports unless it has started."""
        if self._owner_wait_started_at is None:
            self._owner_wait_started_at = now

    def restart_owner_wait(self, now: float) -> None:
        """Start the wait for the owner's reports anew, if it has started."""
        if self._owner_wait_started_at is not None:
            self._owner_wait_started_at = now

    def note_record_absent(self, now: float) -> None:
        """Note that the record is absent and compute this node's turn."""
        turns = self._peers.count_possibly_live_before()
        if self._peers.is_empty():
            turns = min(self._rank, MAX_TURNS)
        self._record_absent_since = now
        self._turn_delay_s = turns * TURN_INTERVAL_S + self._jitter.uniform(
            0.0, MAX_TURN_JITTER_S
        )

    def acquire_at(self) -> float:
        """Return when to acquire the absent record.

        This node waits until the owner is silent or MAX_RECORD_ABSENCE_S has
        passed, and then for its turn.
        """
        silent_at = self._peers.owner_last_heard_at() + SILENCE_TIMEOUT_S
        latest = self._record_absent_since + MAX_RECORD_ABSENCE_S
        return (
            max(self._record_absent_since, min(silent_at, latest)) + self._turn_delay_s
        )

    def may_claim(self, now: float) -> bool:
        """Whether to claim the domain while the store is unreachable.

        The owner must have been silent for SILENCE_TIMEOUT_S. A node ranked
        before this one that may be live delays the claim by
        FIRST_REPORT_TIMEOUT_S; after that, only nodes heard recently
        prevent it.
        """
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
