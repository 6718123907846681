"""What the faults of a schedule do to a cluster."""

import abc
from typing import TYPE_CHECKING

from ._schedule import NODES, WORKERS, Fault, FaultKind

if TYPE_CHECKING:
    from ._cluster import Cluster

WRITES_AT_A_TIME = 2  # that are disturbed by one fault of the store


class FaultModel(abc.ABC):
    """Begins and ends the faults of one kind."""

    def describe(self, fault: Fault) -> str:
        """Return a line about a fault."""
        return f"{fault.kind} of {self.target(fault)} for {fault.duration_s:.1f} s"

    def target(self, fault: Fault) -> str:
        """Return the name of the worker or node that a fault befalls."""
        return f"w{fault.target % WORKERS + 1}"

    @abc.abstractmethod
    def begin(self, cluster: "Cluster", fault: Fault) -> None:
        """Begin a fault."""

    def end(self, cluster: "Cluster", fault: Fault) -> None:
        """End a fault, if no other of its kind befalls the target."""


class LateCalls(FaultModel):
    """Calls of a worker get no reply and are carried out later.

    Args:
        name: Name of the calls.
    """

    def __init__(self, name: str) -> None:
        self._name = name

    def describe(self, fault: Fault) -> str:
        """See base class."""
        return f"{super().describe(fault)}, late by {fault.delay_s:.1f} s"

    def begin(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        cluster.worker(fault.target).delays_s[self._name] = fault.delay_s

    def end(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        if not cluster.is_active(fault.kind, fault.target):
            cluster.worker(fault.target).delays_s.pop(self._name, None)


class Silence(FaultModel):
    """A worker cannot be called."""

    def begin(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        cluster.worker(fault.target).silent = True

    def end(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        if not cluster.is_active(fault.kind, fault.target):
            worker = cluster.worker(fault.target)
            worker.silent = worker.worker_id in cluster.registry.left_ids


class Mute(FaultModel):
    """A worker carries out no call and replies to none."""

    def begin(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        cluster.worker(fault.target).mute = True

    def end(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        if not cluster.is_active(fault.kind, fault.target):
            cluster.worker(fault.target).mute = False


class Restart(FaultModel):
    """A worker restarts; the entry of its new process comes later."""

    def describe(self, fault: Fault) -> str:
        """See base class."""
        return f"restart of {self.target(fault)}, entry {fault.delay_s:.1f} s later"

    def begin(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        worker = cluster.worker(fault.target)
        if worker.worker_id not in cluster.registry.left_ids:
            worker.restart()
        cluster.clock.callLater(fault.delay_s, cluster.registry.write, worker)


class RemovedEntry(FaultModel):
    """The registry entry of a worker vanishes and comes back.

    The worker, its runs and its calls are not concerned.
    """

    def begin(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        cluster.registry.remove(cluster.worker(fault.target))

    def end(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        cluster.registry.write(cluster.worker(fault.target))


class Drain(FaultModel):
    """A worker drains, leaves with all of its runs, and comes back later."""

    def describe(self, fault: Fault) -> str:
        """See base class."""
        return f"{super().describe(fault)}, back {fault.delay_s:.1f} s later"

    def begin(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        worker = cluster.worker(fault.target)
        if worker.worker_id not in cluster.registry.left_ids:
            cluster.registry.drain(worker)

    def end(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        if cluster.registry.leave(cluster.worker(fault.target)):
            cluster.clock.callLater(fault.delay_s, self._come_back, cluster, fault)

    def _come_back(self, cluster: "Cluster", fault: Fault) -> None:
        silent = cluster.is_active(FaultKind.SILENCE, fault.target)
        cluster.registry.come_back(cluster.worker(fault.target), silent)


class StoreFault(FaultModel):
    """A fault of the store as one node sees it."""

    def target(self, fault: Fault) -> str:
        """See base class."""
        return f"n{fault.target % NODES + 1}"


class StoreDown(StoreFault):
    """The store answers no call of a node."""

    def begin(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        cluster.set_store_down(fault.target % NODES, True)

    def end(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        if not _is_store_down(cluster, fault.target % NODES):
            cluster.set_store_down(fault.target % NODES, False)


def _is_store_down(cluster: "Cluster", node: int) -> bool:
    """Return whether a fault keeps the store from answering a node."""
    return any(
        cluster.is_active(FaultKind.STORE_DOWN, target)
        for target in range(node, WORKERS, NODES)
    )


class LostAnswers(StoreFault):
    """Writes take effect, but their outcome is reported as unknown."""

    def begin(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        store = cluster.nodes[fault.target % NODES].store
        store.answers_to_withhold = WRITES_AT_A_TIME


class LateWrites(StoreFault):
    """Writes have an unknown outcome and are carried out later."""

    def describe(self, fault: Fault) -> str:
        """See base class."""
        return f"{super().describe(fault)}, late by {fault.delay_s:.1f} s"

    def begin(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        store = cluster.nodes[fault.target % NODES].store
        store.writes_to_delay = WRITES_AT_A_TIME
        cluster.clock.callLater(
            fault.duration_s + fault.delay_s, store.apply_delayed_writes
        )

    def end(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        cluster.nodes[fault.target % NODES].store.writes_to_delay = 0


class BrokenWrites(StoreFault):
    """The store stops to answer with a write, which is carried out later."""

    def describe(self, fault: Fault) -> str:
        """See base class."""
        return f"{super().describe(fault)}, late by {fault.delay_s:.1f} s"

    def begin(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        store = cluster.nodes[fault.target % NODES].store
        store.writes_to_delay = 1
        store.down_after_delayed_write = True
        cluster.clock.callLater(
            fault.duration_s + fault.delay_s, store.apply_delayed_writes
        )

    def end(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        node = fault.target % NODES
        store = cluster.nodes[node].store
        store.writes_to_delay = 0
        store.down_after_delayed_write = False
        if not _is_store_down(cluster, node):
            cluster.set_store_down(node, False)


class HangingWatches(StoreFault):
    """Watches of a node are not answered, although other calls are."""

    def begin(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        cluster.nodes[fault.target % NODES].store.watches_hang = True

    def end(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        cluster.nodes[fault.target % NODES].store.watches_hang = False


class AnnouncementFault(FaultModel):
    """A fault of the announcements to all coordinators."""

    def target(self, fault: Fault) -> str:
        """See base class."""
        return "all nodes"


class LostAnnouncements(AnnouncementFault):
    """Announcements are lost."""

    def begin(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        cluster.announcements.lost = True

    def end(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        cluster.announcements.lost = cluster.is_active(fault.kind)


class LateAnnouncements(AnnouncementFault):
    """Announcements are late, also for a node that no longer leads then."""

    def describe(self, fault: Fault) -> str:
        """See base class."""
        return f"{super().describe(fault)}, late by {fault.delay_s:.1f} s"

    def begin(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        cluster.announcements.delay_s = fault.delay_s

    def end(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        if not cluster.is_active(fault.kind):
            cluster.announcements.delay_s = 0.0


class LostPeerReplies(FaultModel):
    """Calls between nodes are carried out and get no reply."""

    def target(self, fault: Fault) -> str:
        """See base class."""
        return "all nodes"

    def begin(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        cluster.peer_replies_lost = True

    def end(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        cluster.peer_replies_lost = cluster.is_active(fault.kind)


class HandOver(FaultModel):
    """The coordinator ends its term, and the other node begins one."""

    def describe(self, fault: Fault) -> str:
        """See base class."""
        return "hand-over"

    def begin(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        cluster.hand_over()


class Takeover(FaultModel):
    """The other node begins a term while the last one has not ended."""

    def describe(self, fault: Fault) -> str:
        """See base class."""
        return "takeover without the end of the last term"

    def begin(self, cluster: "Cluster", fault: Fault) -> None:
        """See base class."""
        cluster.take_over()


MODEL_BY_KIND: dict[FaultKind, FaultModel] = {
    FaultKind.LATE_STARTS: LateCalls("start"),
    FaultKind.LATE_STOPS: LateCalls("stop"),
    FaultKind.LATE_POLLS: LateCalls("poll"),
    FaultKind.SILENCE: Silence(),
    FaultKind.MUTE: Mute(),
    FaultKind.RESTART: Restart(),
    FaultKind.REMOVED_ENTRY: RemovedEntry(),
    FaultKind.STORE_DOWN: StoreDown(),
    FaultKind.LOST_ANSWERS: LostAnswers(),
    FaultKind.LATE_WRITES: LateWrites(),
    FaultKind.HANGING_WATCHES: HangingWatches(),
    FaultKind.HAND_OVER: HandOver(),
    FaultKind.TAKEOVER: Takeover(),
    FaultKind.LOST_ANNOUNCEMENTS: LostAnnouncements(),
    FaultKind.LATE_ANNOUNCEMENTS: LateAnnouncements(),
    FaultKind.LOST_PEER_REPLIES: LostPeerReplies(),
    FaultKind.DRAIN: Drain(),
    FaultKind.LONG_REMOVED_ENTRY: RemovedEntry(),
    FaultKind.BROKEN_WRITES: BrokenWrites(),
}
