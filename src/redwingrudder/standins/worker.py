"""Stand-in of a backend worker: an HTTP server that simulates its tasks.

``WorkerCore`` holds the rules, ``WorkerStandIn`` serves them. The switches
at ``POST /admin/faults`` take a JSON object with any of ``fail_everything``
(bool), ``slow_s`` (delay of every answer), ``drop_replies`` (number of
commands that take effect and get no answer), ``cut_s`` (refuse everything
for so long) and ``drain`` (bool). ``GET /admin/history`` returns what
started and ended.
"""

import fire
from twisted.internet import reactor

from ..actors import ActorSystem
from ..model import WorkerInfo
from ..timers import TimerService
from ._worker_core import HistoryEntry, RejectedEpochError, WorkerCore
from ._worker_http import FaultOrders, WorkerStandIn

__all__ = [
    "FaultOrders",
    "HistoryEntry",
    "RejectedEpochError",
    "WorkerCore",
    "WorkerStandIn",
    "main",
]


def serve(
    worker_id: str,
    failure_domain: str,
    rack: str,
    port: int = 0,
    interface: str = "127.0.0.1",
    accelerators: int = 8,
    slots: int = 8,
    cores: int = 128,
    memory_mb: int = 262_144,
) -> None:
    """Serve one worker until the process ends.

    The bound address is printed as ``worker <id> <host>:<port>``.
    """
    info = WorkerInfo(
        worker_id, "", failure_domain, rack, accelerators, slots, cores, memory_mb
    )
    system = ActorSystem(reactor)
    TimerService(system)
    stand_in = WorkerStandIn(system, info, reactor, port, interface)
    reactor.callWhenRunning(system.start)
    reactor.callWhenRunning(
        lambda: print("worker", worker_id, stand_in.address, flush=True)
    )
    reactor.run()


def main() -> None:
    """Run the stand-in from the command line."""
    fire.Fire(serve)


if __name__ == "__main__":
    main()
