"""Models of the systems outside, and schedules of faults on a virtual clock.

The actors of a node run unchanged against these models, in one process and
without sockets. Nothing of the product's decisions depends on this package.
"""

from ._store import CALL_TIMEOUT_S, LEASE_ID, MemoryStore, StoreContents
from ._workers import (
    MAX_LEASE_S,
    AcknowledgedEnd,
    EndlessRuns,
    LateCall,
    ProtocolChannel,
    ProtocolWorker,
    ProtocolWorkers,
    RunBehaviour,
    RunInterval,
    WorkerProcess,
    find_overlaps,
)

__all__ = [
    "CALL_TIMEOUT_S",
    "LEASE_ID",
    "MAX_LEASE_S",
    "AcknowledgedEnd",
    "EndlessRuns",
    "LateCall",
    "MemoryStore",
    "ProtocolChannel",
    "ProtocolWorker",
    "ProtocolWorkers",
    "RunBehaviour",
    "RunInterval",
    "StoreContents",
    "WorkerProcess",
    "find_overlaps",
]
