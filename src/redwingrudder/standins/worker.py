"""Stand-in of a backend worker: an HTTP server that simulates its tasks.

``WorkerCore`` holds the rules, ``WorkerStandIn`` serves them. The switches
at ``POST /admin/faults`` take a JSON object with any of ``fail_everything``
(bool), ``slow_s`` (delay of every answer), ``drop_replies`` (number of
commands that take effect and get no answer), ``cut_s`` (refuse everything
for so long) and ``drain`` (bool). ``GET /admin/history`` returns what
started and ended.
"""

from typing import Any

from ..actors import ActorSystem
from ..model import WorkerInfo
from ..timers import TimerService
from ._worker_core import HistoryEntry, RejectedEpochError, WorkerCore
from ._worker_http import FaultsRequest, WorkerStandIn

__all__ = [
    "FaultOrders",
    "HistoryEntry",
    "RejectedEpochError",
    "WorkerCore",
    "WorkerStandIn",
    "run_worker",
]


def run_worker(info: WorkerInfo, host: str, port: int, reactor: Any) -> None:
    """Serve one worker until the process ends.

    The bound address is printed as ``worker <id> <host>:<port>``.
    """
    system = ActorSystem(reactor)
    TimerService(system)
    stand_in = WorkerStandIn(system, info, reactor, port, host)

    def start() -> None:
        system.start()
        print(f"worker {info.worker_id} {stand_in.address}", flush=True)

    reactor.callWhenRunning(start)
    reactor.run()
