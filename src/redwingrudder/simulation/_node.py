"""A node of a simulation: its actors, and what stands in for others."""

import functools
from typing import TYPE_CHECKING, Any

from ..actors import Actor, ActorSystem, Handler
from ..coordination.coordinator import Coordinator
from ..coordination.gateways import LEADERSHIP, FleetGateways, WorkerTimes
from ..coordination.intake import Intake
from ..coordination.leadership import Identity
from ..coordination.messages import Fenced, Resign
from ..coordination.metrics import (
    METRICS,
    IncrementCounter,
    ObserveDuration,
    SetGauge,
)
from ..timers import TimerService
from ._entries import EntryCodec
from ._peers import MemoryPeers, node_address, node_name
from ._runs import GANG_TIMEOUT_S
from ._schedule import MAX_STOP_S
from ._store import CALL_TIMEOUT_S, MemoryStore
from ._worker_process import MAX_LEASE_S

if TYPE_CHECKING:
    from ._cluster import Cluster

UNIX_TIME_S = 1_800_000_000.0  # time of day at the begin of a schedule
HEARTBEAT_S = 1.5
TIMES = WorkerTimes(MAX_LEASE_S, HEARTBEAT_S, GANG_TIMEOUT_S, MAX_STOP_S)


class FixedReplies(Actor):
    """Gives each type of message a fixed reply.

    Args:
        system: The node's actor system.
        name: Name of the actor.
        replies_by_type: Reply to each type of message.
    """

    def __init__(
        self, system: ActorSystem, name: str, replies_by_type: dict[type, Any]
    ) -> None:
        self._replies_by_type = replies_by_type
        super().__init__(system, name)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {message_type: self._reply for message_type in self._replies_by_type}

    def _reply(self, message: Any) -> Any:
        return self._replies_by_type[type(message)]


class GivenLeadership(Actor):
    """Leadership of a node whose terms the cluster begins and ends.

    Args:
        system: The node's actor system.
        cluster: The cluster.
        index: Index of the node.
    """

    def __init__(self, system: ActorSystem, cluster: "Cluster", index: int) -> None:
        self._cluster = cluster
        self._index = index
        super().__init__(system, LEADERSHIP)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            Fenced: lambda m: self._cluster.leave(self._index, f"fenced: {m.source}"),
            Resign: lambda m: self._cluster.leave(self._index, m.reason),
        }


class Node:
    """The actors of a node.

    Args:
        cluster: The cluster.
        index: Index of the node.

    Attributes:
        system: The actor system.
        store: The store actor.
        notified_revision: Revision of the store up to which the watches were
            notified.
        store_down_since: Time at which the store last stopped to answer, in
            clock seconds.
    """

    def __init__(self, cluster: "Cluster", index: int) -> None:
        clock = cluster.clock
        self.system = ActorSystem(clock, lambda: UNIX_TIME_S + clock.seconds())
        FixedReplies(
            self.system,
            METRICS,
            {IncrementCounter: None, ObserveDuration: None, SetGauge: None},
        )
        MemoryPeers(self.system, cluster, index)
        self.store = MemoryStore(self.system, cluster.contents)
        self.store.watch_limit_s = CALL_TIMEOUT_S
        self.store.go_down = functools.partial(cluster.set_store_down, index, True)
        self.notified_revision = 0
        self.store_down_since = 0.0
        TimerService(self.system)
        GivenLeadership(self.system, cluster, index)
        retention_s = cluster.retention_s
        gateways = FleetGateways(EntryCodec(), cluster.workers, TIMES, retention_s)
        Coordinator(self.system, gateways)
        if cluster.has_intake:
            identity = Identity(node_name(index), node_address(index), "")
            Intake(self.system, identity, retention_s)
