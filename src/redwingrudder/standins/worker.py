"""Stand-in for a backend worker: an HTTP server that simulates its tasks.

``WorkerCore`` implements the behaviour of a worker, ``WorkerStandIn`` is its
HTTP server. ``POST /admin/faults`` sets fault switches from a JSON object
with any of these fields:

- ``fail_everything`` (bool): tasks that start while it is set fail.
- ``slow_s``: delay of replies in seconds; replies to waiting polls and to
  ``/admin`` are not delayed.
- ``drop_replies``: number of following requests, not counting polls, that take
  effect but get no reply.
- ``cut_s``: for this many seconds all requests except those to ``/admin`` have
  no effect and get no reply.
- ``drain`` (bool): the worker reports that it drains and rejects
  reservations.

``GET /admin/history`` returns the ``HistoryEntry`` list of the worker.
"""

from typing import Any

from ..actors import ActorSystem
from ..model import WorkerInfo
from ..timers import TimerService
from ._worker_core import HistoryEntry, RejectedEpochError, WorkerCore
from ._worker_http import FaultsRequest, WorkerStandIn

__all__ = [
    "FaultsRequest",
    "HistoryEntry",
    "RejectedEpochError",
    "WorkerCore",
    "WorkerStandIn",
    "run_worker",
]


def run_worker(info: WorkerInfo, host: str, port: int, reactor: Any) -> None:
    """Run the server of one worker until the process ends.

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
