"""Cost of an owner's idle worker links and of reports between nodes."""

import time
from typing import Any, NamedTuple

from twisted.internet.task import deferLater

from . import requests
from ._measure_counting import CountingReactor, build_counting_reactor
from ._placement_cost import _worker_infos
from ._worker_link import WorkerLink
from ._worker_messages import ClaimHandled, LinkEvent, LinkSettings, link_name
from ._worker_transport import HttpTransport
from .actors import Actor, ActorSystem, Handler
from .messages import WorkerClaimed
from .model import Epoch
from .peers import Peers, PeersSettings
from .standins.worker import WorkerStandIn
from .timers import TimerService

LINK_SIZES = (50, 100, 200)  # workers
EXCHANGE_SIZES = (5, 10, 20)  # nodes of one failure domain
TARGET_LINKS = 425  # workers of one owner at the target size
TARGET_POLL_INTERVAL_S = 30.0
# The poll interval follows from the lease. The lease is short, so that each
# link polls several times within the window.
LEASE_S = 6.0
WINDOW_S = 9.0  # time in which polls and exchanges are counted
SETTLE_S = 2.0  # time before the window in which connections are set up
EPOCH = Epoch(1, 0, 1)
HOST = "127.0.0.1"
POLL_PATH = "/v1/poll"
MS_PER_S = 1_000.0


class LinkRow(NamedTuple):
    """Cost of the idle links of one owner.

    Attributes:
        workers: Workers with a link.
        polls: Answered polls within the window.
        bytes_per_poll: Bytes of both directions.
        ms_per_poll: Processor time of the owner's callbacks, in milliseconds.
        process_ms_per_poll: Processor time of the whole process, with the
            reactor's loop and the stand-ins, in milliseconds.
        target_bytes_per_s: Bytes per second at ``TARGET_LINKS`` links and one
            poll every ``TARGET_POLL_INTERVAL_S``.
        target_core_percent: Share of a core at the same poll rate, computed
            from ``process_ms_per_poll``.
    """

    workers: int
    polls: int
    bytes_per_poll: float
    ms_per_poll: float
    process_ms_per_poll: float
    target_bytes_per_s: float
    target_core_percent: float


class ExchangeRow(NamedTuple):
    """Cost of exchanging reports within a failure domain that has an owner.

    Attributes:
        nodes: Nodes of the failure domain.
        exchanges: Exchanges between two nodes within the window.
        bytes_per_exchange: Bytes of both directions.
        ms_per_end: Processor time at one of the two nodes, in milliseconds.
        owner_bytes_per_s: Bytes per second of the owner.
        other_bytes_per_s: Mean bytes per second of the other nodes.
        owner_core_percent: Share of a core that the owner uses.
    """

    nodes: int
    exchanges: int
    bytes_per_exchange: float
    ms_per_end: float
    owner_bytes_per_s: float
    other_bytes_per_s: float
    owner_core_percent: float


class _MessageCounter(Actor):
    """Accepts messages of the given types and counts them."""

    def __init__(self, system: ActorSystem, name: str, types: tuple[type, ...]) -> None:
        self.count = 0
        self._types = types
        super().__init__(system, name)

    def handlers(self) -> dict[type, Handler]:
        return dict.fromkeys(self._types, self._count_message)

    def _count_message(self, message: Any) -> None:
        self.count += 1


class _ClaimConfirmer(Actor):
    """Confirms the claims of worker links, as the dispatcher does."""

    def handlers(self) -> dict[type, Handler]:
        return {LinkEvent: self._handle_link_event}

    def _handle_link_event(self, message: LinkEvent) -> None:
        if isinstance(message.event, WorkerClaimed):
            worker_id = message.event.report.worker.worker_id
            self.tell(link_name(worker_id), ClaimHandled())


class _CountingTransport(HttpTransport):
    """HTTP transport that counts the answered polls."""

    def __init__(self, reactor: Any) -> None:
        super().__init__(reactor)
        self.polls = 0

    async def post(self, address: str, path: str, body: Any, timeout_s: float) -> Any:
        reply = await super().post(address, path, body, timeout_s)
        self.polls += path == POLL_PATH
        return reply


async def measure_links(
    reactor: Any, sizes: tuple[int, ...] = LINK_SIZES, window_s: float = WINDOW_S
) -> list[LinkRow]:
    """Measure idle links to stand-in workers over loopback TCP.

    Args:
        reactor: The running Twisted reactor.
        sizes: Numbers of workers.
        window_s: Seconds in which polls are counted.
    """
    return [await _measure_links(reactor, size, window_s) for size in sizes]


async def measure_exchanges(
    reactor: Any, sizes: tuple[int, ...] = EXCHANGE_SIZES, window_s: float = WINDOW_S
) -> list[ExchangeRow]:
    """Measure the exchange of reports between nodes over loopback TCP.

    Args:
        reactor: The running Twisted reactor.
        sizes: Numbers of nodes of one failure domain.
        window_s: Seconds in which exchanges are counted.
    """
    return [await _measure_exchanges(reactor, size, window_s) for size in sizes]


async def _measure_links(reactor: Any, size: int, window_s: float) -> LinkRow:
    workers = ActorSystem(reactor)
    TimerService(workers)
    stand_ins = [WorkerStandIn(workers, info, reactor) for info in _worker_infos(size)]
    workers.start()
    counter = build_counting_reactor(reactor, "worker")
    owner = ActorSystem(counter)
    TimerService(owner)
    _ClaimConfirmer(owner, requests.DISPATCHER)
    transport = _CountingTransport(counter)
    for number, stand_in in enumerate(stand_ins):
        info = stand_in.core.info
        settings = LinkSettings(
            number, info.worker_id, info.address, "measured", EPOCH, LEASE_S
        )
        WorkerLink(owner, settings, transport)
    owner.start()
    await deferLater(reactor, SETTLE_S)
    before = transport.polls, counter.bytes_by_kind["worker"], counter.processor_s
    process_s = time.process_time()
    await deferLater(reactor, window_s)
    process_s = time.process_time() - process_s
    polls = max(1, transport.polls - before[0])
    bytes_per_poll = (counter.bytes_by_kind["worker"] - before[1]) / polls
    ms_per_poll = (counter.processor_s - before[2]) / polls * MS_PER_S
    process_ms_per_poll = process_s / polls * MS_PER_S
    await owner.stop()
    await transport.close()
    await workers.stop()
    target_polls_per_s = TARGET_LINKS / TARGET_POLL_INTERVAL_S
    return LinkRow(
        size,
        polls,
        bytes_per_poll,
        ms_per_poll,
        process_ms_per_poll,
        bytes_per_poll * target_polls_per_s,
        process_ms_per_poll * target_polls_per_s / MS_PER_S * 100,
    )


class _ExchangeNode:
    """The actor that exchanges reports for one node, with its counters."""

    def __init__(self, reactor: Any, rank: int) -> None:
        self.counter: CountingReactor = build_counting_reactor(reactor, "peer")
        self.system = ActorSystem(self.counter)
        TimerService(self.system)
        self.reports = _MessageCounter(
            self.system,
            requests.ROUTER,
            (requests.PeerReport, requests.PeerSilent),
        )
        _MessageCounter(
            self.system,
            requests.OWNERSHIP,
            (requests.PeerReport, requests.PeerSilent),
        )
        settings = PeersSettings(f"measured-{rank}", rank, "measured", HOST, 0)
        self.peers = Peers(self.system, self.counter, settings)
        self.rank = rank

    def vm(self) -> requests.VmInfo:
        """Return the node's entry of the VM list."""
        return requests.VmInfo(
            f"measured-{self.rank}",
            "node",
            "live",
            self.peers.address,
            "measured",
            "",
            self.rank,
            *(0, 0, 0, 0),
        )


async def _measure_exchanges(reactor: Any, size: int, window_s: float) -> ExchangeRow:
    nodes = [_ExchangeNode(reactor, rank) for rank in range(1, size + 1)]
    for node in nodes:
        node.system.start()
    vms = tuple(node.vm() for node in nodes)
    owner = requests.OwnerChanged("measured", vms[0].vm_id, vms[0].address, EPOCH)
    for node in nodes:
        node.system.tell(requests.PEERS, requests.MembersChanged(vms))
        if node is not nodes[0]:
            node.system.tell(requests.PEERS, owner)
    nodes[0].system.tell(requests.PEERS, requests.OwnershipGained(EPOCH))
    await deferLater(reactor, SETTLE_S)
    before = [_read_counts(node) for node in nodes]
    await deferLater(reactor, window_s)
    deltas = [
        tuple(
            new_value - old_value
            for new_value, old_value in zip(_read_counts(node), old, strict=True)
        )
        for node, old in zip(nodes, before, strict=True)
    ]
    for node in nodes:
        await node.system.stop()
    # Each exchange is reported, counted and timed at both of its ends.
    exchanges = max(1, sum(counts[0] for counts in deltas) // 2)
    other_nodes = deltas[1:]
    return ExchangeRow(
        size,
        exchanges,
        sum(counts[1] for counts in deltas) / 2 / exchanges,
        sum(counts[2] for counts in deltas) / 2 / exchanges * MS_PER_S,
        deltas[0][1] / window_s,
        sum(counts[1] for counts in other_nodes) / len(other_nodes) / window_s,
        deltas[0][2] / window_s * 100,
    )


def _read_counts(node: _ExchangeNode) -> tuple[int, int, float]:
    counter = node.counter
    return node.reports.count, counter.bytes_by_kind["peer"], counter.processor_s
