"""The other nodes, as a node of a simulation sees them."""

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, TimeoutError, maybeDeferred

from .._background import pause
from .._wire.generated.coordination.ttypes import Fault
from ..actors import Actor, ActorSystem, Handler
from ..coordination.gateways import PEERS
from ..coordination.messages import NodeSummary
from ..coordination.peer_calls import PeerHandler
from ..coordination.peers import (
    EXCHANGE_INTERVAL_S,
    AskAllPeers,
    CallPeer,
    GetTimeOfDay,
    ListPeers,
    PeerView,
)
from ..exceptions import OutcomeUnknownError, UnavailableError
from ._schedule import NODES

if TYPE_CHECKING:
    from ._cluster import Cluster

OTHER_NODES = 8  # that the nodes know of; one of them replies
_ADDRESSES = tuple(f"10.0.1.{index + 1}:1" for index in range(NODES))


def node_name(index: int) -> str:
    """Return the name of a node."""
    return f"n{index + 1}"


def node_address(index: int) -> str:
    """Return the address at which a node is called by the others."""
    return _ADDRESSES[index]


class MemoryPeers(Actor):
    """Peers of a node: the other node of the cluster, and silent ones.

    Args:
        system: The node's actor system.
        cluster: The cluster.
        index: Index of the node.
    """

    def __init__(self, system: ActorSystem, cluster: "Cluster", index: int) -> None:
        self._cluster = cluster
        self._index = index
        super().__init__(system, PEERS)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            ListPeers: lambda _: self._list(),
            AskAllPeers: lambda _: None,
            GetTimeOfDay: lambda _: self.system.unix_time(),
            CallPeer: self._call,
        }

    def _list(self) -> PeerView:
        others = [index for index in range(NODES) if index != self._index]
        fresh = tuple(self._summary(index) for index in others)
        return PeerView(fresh, OTHER_NODES, (), self.system.clock.seconds())

    def _summary(self, index: int) -> NodeSummary:
        """Return what was last heard of a node.

        That the store stopped to answer it is heard with a delay.
        """
        node = self._cluster.nodes[index]
        now = self.system.clock.seconds()
        answered_at = node.store_down_since if node.store.down else now
        available = now - answered_at < EXCHANGE_INTERVAL_S
        return NodeSummary(
            node_name(index),
            node_address(index),
            "",
            1,
            "",
            "",
            0,
            available,
            self.system.unix_time(),
            answered_at,
        )

    async def _call(self, message: CallPeer) -> Any:
        """Carry out a call as the server and the link of the product do.

        Raises:
            UnavailableError: There was no reply in time, or the other node
                answered with an error, whose code is kept.
            OutcomeUnknownError: The other node does not know the outcome.
        """
        index = _ADDRESSES.index(message.address)
        system = self._cluster.nodes[index].system
        handler = PeerHandler(
            system.ask,
            lambda _, announced: self._cluster.announcements.send(index, announced),
            lambda summary: summary,
        )
        method = getattr(handler, message.method)
        reply: Deferred = maybeDeferred(method, *message.arguments)
        if self._cluster.peer_replies_lost:
            reply.addErrback(lambda _: None)
            await pause(self.system.clock, message.timeout_s)
            raise UnavailableError(f"call of {message.method} to a peer got no reply")
        reply.addTimeout(message.timeout_s, self.system.clock)
        try:
            return await reply
        except Fault as fault:
            is_unknown = fault.code == OutcomeUnknownError.code
            error_class = OutcomeUnknownError if is_unknown else UnavailableError
            raise error_class(fault.detail, code=fault.code) from fault
        except TimeoutError as error:
            raise UnavailableError(
                f"call of {message.method} to a peer failed: time limit"
            ) from error
