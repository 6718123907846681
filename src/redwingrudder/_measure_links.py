"""Cost of an owner's idle worker links and of the exchange between nodes."""

import time
from typing import Any, NamedTuple

from twisted.internet.task import deferLater

from . import requests
from ._measure_counting import CountingReactor, counting
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
TARGET_LINKS = 425
TARGET_POLL_S = 30.0
LEASE_S = 6.0  # short, so that a run of seconds sees several polls
WINDOW_S = 9.0
SETTLE_S = 2.0
EPOCH = Epoch(1, 0, 1)
HOST = "127.0.0.1"
MILLISECONDS = 1_000.0


class LinkRow(NamedTuple):
    """Idle links of one owner; the last two are scaled by the poll rate.

    ``process_ms_per_poll`` also has the loop of the reactor and the stand-ins,
    ``ms_per_poll`` only the callbacks of the owner. The target's share of a
    core is worked out from the larger one.
    """

    workers: int
    polls: int
    bytes_per_poll: float
    ms_per_poll: float
    process_ms_per_poll: float
    target_bytes_per_s: float
    target_core_percent: float


class ExchangeRow(NamedTuple):
    """Exchange of reports in one domain with an owner.

    ``ms_per_end`` is the processor time at one of the two nodes.
    """

    nodes: int
    exchanges: int
    bytes_per_exchange: float
    ms_per_end: float
    owner_bytes_per_s: float
    other_bytes_per_s: float
    owner_core_percent: float


class _Sink(Actor):
    """Takes messages of any number of types and counts them."""

    def __init__(self, system: ActorSystem, name: str, types: tuple[type, ...]) -> None:
        self.count = 0
        self._types = types
        super().__init__(system, name)

    def handlers(self) -> dict[type, Handler]:
        return dict.fromkeys(self._types, self._take)

    def _take(self, message: Any) -> None:
        self.count += 1


class _ClaimTaker(Actor):
    """Answers a link's claim as the dispatcher does."""

    def handlers(self) -> dict[type, Handler]:
        return {LinkEvent: self._take}

    def _take(self, message: LinkEvent) -> None:
        if isinstance(message.event, WorkerClaimed):
            worker_id = message.event.report.worker.worker_id
            self.tell(link_name(worker_id), ClaimHandled())


class _CountingTransport(HttpTransport):
    """Counts the answered polls."""

    def __init__(self, reactor: Any) -> None:
        super().__init__(reactor)
        self.polls = 0

    async def post(self, address: str, path: str, body: Any, timeout_s: float) -> Any:
        answer = await super().post(address, path, body, timeout_s)
        self.polls += path == "/v1/poll"
        return answer


async def measure_links(
    reactor: Any, sizes: tuple[int, ...] = LINK_SIZES, window_s: float = WINDOW_S
) -> list[LinkRow]:
    """Measure idle links to workers in this process over loopback TCP."""
    return [await _measure_links(reactor, size, window_s) for size in sizes]


async def measure_exchanges(
    reactor: Any, sizes: tuple[int, ...] = EXCHANGE_SIZES, window_s: float = WINDOW_S
) -> list[ExchangeRow]:
    """Measure the exchange between nodes over loopback TCP."""
    return [await _measure_exchanges(reactor, size, window_s) for size in sizes]


async def _measure_links(reactor: Any, size: int, window_s: float) -> LinkRow:
    workers = ActorSystem(reactor)
    TimerService(workers)
    stand_ins = [WorkerStandIn(workers, i, reactor) for i in _worker_infos(size)]
    workers.start()
    counter = counting(reactor, "worker")
    owner = ActorSystem(counter)
    TimerService(owner)
    _ClaimTaker(owner, requests.DISPATCHER)
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
    size_per_poll = (counter.bytes_by_kind["worker"] - before[1]) / polls
    ms_per_poll = (counter.processor_s - before[2]) / polls * MILLISECONDS
    process_ms = process_s / polls * MILLISECONDS
    await owner.stop()
    await transport.close()
    await workers.stop()
    rate = TARGET_LINKS / TARGET_POLL_S
    return LinkRow(
        size,
        polls,
        size_per_poll,
        ms_per_poll,
        process_ms,
        size_per_poll * rate,
        process_ms * rate / MILLISECONDS * 100,
    )


class _ExchangeNode:
    """The exchange of one node, with its counter."""

    def __init__(self, reactor: Any, rank: int) -> None:
        self.counter: CountingReactor = counting(reactor, "peer")
        self.system = ActorSystem(self.counter)
        TimerService(self.system)
        self.reports = _Sink(
            self.system,
            requests.ROUTER,
            (requests.PeerReport, requests.PeerSilent),
        )
        _Sink(
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
    before = [_counts(node) for node in nodes]
    await deferLater(reactor, window_s)
    spent = [
        tuple(now - then for now, then in zip(_counts(node), old, strict=True))
        for node, old in zip(nodes, before, strict=True)
    ]
    for node in nodes:
        await node.system.stop()
    # Each exchange is reported, counted and timed at both of its ends.
    exchanges = max(1, sum(row[0] for row in spent) // 2)
    others = spent[1:]
    return ExchangeRow(
        size,
        exchanges,
        sum(row[1] for row in spent) / 2 / exchanges,
        sum(row[2] for row in spent) / 2 / exchanges * MILLISECONDS,
        spent[0][1] / window_s,
        sum(row[1] for row in others) / len(others) / window_s,
        spent[0][2] / window_s * 100,
    )


def _counts(node: _ExchangeNode) -> tuple[int, int, float]:
    counter = node.counter
    return node.reports.count, counter.bytes_by_kind["peer"], counter.processor_s
