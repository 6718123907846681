"""Cost of reading the platform's VM list."""

import json
from typing import Any, NamedTuple

from twisted.internet.task import deferLater

from . import requests
from ._measure_counting import counting
from ._placement_cost import _worker_infos
from ._store_transport import HttpTransport
from .actors import ActorSystem
from .exceptions import UnavailableError
from .local import worker_vm
from .standins.platform import PlatformStandin
from .store import StoreClient
from .timers import TimerService

LIST_SIZES = (425, 850, 1_700, 3_400)  # workers in the list
READS = 5
CONNECT_RETRY_S = 0.1
CONNECT_LIMIT_S = 10.0
WRITES_PER_S = 200.0
HOST = "127.0.0.1"
MILLISECONDS = 1_000.0


class MembersRow(NamedTuple):
    """One read of a list: after a change, and unchanged by its ETag.

    The stand-in compresses a changed list when the client accepts that.
    """

    workers: int
    changed_bytes: float
    changed_ms: float
    unchanged_bytes: float
    unchanged_ms: float


async def measure_members(
    reactor: Any, sizes: tuple[int, ...] = LIST_SIZES
) -> list[MembersRow]:
    """Measure reads of the VM list over loopback TCP."""
    return [await _measure_list(reactor, size) for size in sizes]


async def _measure_list(reactor: Any, size: int) -> MembersRow:
    platform = PlatformStandin(reactor)
    port = await platform.listen(reactor, HOST, 0)
    infos = [
        info._replace(address=f"10.{index >> 8}.{index & 255}.7:8080")
        for index, info in enumerate(_worker_infos(size))
    ]
    vms = [worker_vm(info) for info in infos]
    platform.service.change_vms(json.dumps({"register": vms}).encode())
    counter = counting(reactor, "store")
    system = ActorSystem(counter)
    TimerService(system)
    transport = HttpTransport(counter, f"http://{HOST}:{port}", "measured")
    StoreClient(system, transport, 1, WRITES_PER_S)
    system.start()
    await _connect(system, reactor)
    changed, unchanged = [], []
    for read in range(READS):
        vms[0]["slots"] = read + 1
        platform.service.change_vms(json.dumps({"register": vms[:1]}).encode())
        changed.append(await _read(system, counter, reactor))
        unchanged.append(await _read(system, counter, reactor))
    await system.stop()
    await platform.stop()
    return MembersRow(size, *_means(changed), *_means(unchanged))


async def _connect(system: ActorSystem, reactor: Any) -> None:
    """Wait until the client has found the store."""
    deadline = reactor.seconds() + CONNECT_LIMIT_S
    while reactor.seconds() < deadline:
        try:
            await system.ask(requests.STORE, requests.ListVms(""))
            return
        except UnavailableError:
            await deferLater(reactor, CONNECT_RETRY_S)
    raise UnavailableError("the platform's stand-in gives no answer")


async def _read(system: ActorSystem, counter: Any, reactor: Any) -> tuple[float, float]:
    size, spent_s = counter.bytes_by_kind["store"], counter.processor_s
    await system.ask(requests.STORE, requests.ListVms(""))
    # The callback that brought the reply is counted when it has ended.
    await deferLater(reactor, 0)
    spent_ms = (counter.processor_s - spent_s) * MILLISECONDS
    return counter.bytes_by_kind["store"] - size, spent_ms


def _means(pairs: list[tuple[float, float]]) -> tuple[float, float]:
    sizes, times_ms = zip(*pairs, strict=True)
    return sum(sizes) / len(pairs), sum(times_ms) / len(pairs)
