"""Cost of reading the platform's VM list."""

import json
from typing import Any, NamedTuple

from twisted.internet.task import deferLater

from . import requests
from ._measure_counting import build_counting_reactor
from ._placement_cost import _worker_infos
from ._store_transport import HttpTransport
from .actors import ActorSystem
from .exceptions import UnavailableError
from .local import worker_vm
from .standins.platform import PlatformStandin
from .store import StoreClient
from .timers import TimerService

LIST_SIZES = (425, 850, 1_700, 3_400)  # workers in the list
READS = 5  # reads of each kind, of which the mean is taken
CONNECT_RETRY_INTERVAL_S = 0.1
CONNECT_TIMEOUT_S = 10.0
MAX_WRITES_PER_S = 200.0
HOST = "127.0.0.1"
MS_PER_S = 1_000.0


class MembersRow(NamedTuple):
    """Mean cost of one read of the VM list.

    A changed list is sent in full, compressed if the client accepts that; for
    an unchanged list the client's ETag matches.

    Attributes:
        workers: Workers in the list.
        changed_bytes: Bytes of both directions after a change.
        changed_ms: Processor time after a change, in milliseconds.
        unchanged_bytes: Bytes of both directions without a change.
        unchanged_ms: Processor time without a change, in milliseconds.
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
    counter = build_counting_reactor(reactor, "store")
    system = ActorSystem(counter)
    TimerService(system)
    transport = HttpTransport(counter, f"http://{HOST}:{port}", "measured")
    StoreClient(system, transport, 1, MAX_WRITES_PER_S)
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
    return MembersRow(
        size, *_mean_sizes_and_times(changed), *_mean_sizes_and_times(unchanged)
    )


async def _connect(system: ActorSystem, reactor: Any) -> None:
    """Repeat a read until the store client reaches the stand-in.

    Raises:
        UnavailableError: There was no reply within ``CONNECT_TIMEOUT_S``.
    """
    deadline = reactor.seconds() + CONNECT_TIMEOUT_S
    while reactor.seconds() < deadline:
        try:
            await system.ask(requests.STORE, requests.ListVms(""))
            return
        except UnavailableError:
            await deferLater(reactor, CONNECT_RETRY_INTERVAL_S)
    raise UnavailableError(
        f"no reply from the platform stand-in within {CONNECT_TIMEOUT_S:g} s"
    )


async def _read(system: ActorSystem, counter: Any, reactor: Any) -> tuple[float, float]:
    bytes_before, processor_before_s = (
        counter.bytes_by_kind["store"],
        counter.processor_s,
    )
    await system.ask(requests.STORE, requests.ListVms(""))
    # The time of the callback that delivered the reply is added when the
    # callback returns, which is after this coroutine resumes.
    await deferLater(reactor, 0)
    processor_ms = (counter.processor_s - processor_before_s) * MS_PER_S
    return counter.bytes_by_kind["store"] - bytes_before, processor_ms


def _mean_sizes_and_times(reads: list[tuple[float, float]]) -> tuple[float, float]:
    byte_counts, times_ms = zip(*reads, strict=True)
    return sum(byte_counts) / len(reads), sum(times_ms) / len(reads)
