"""Keeps the gauges of a node's metrics up to date."""

from twisted.internet.defer import ensureDeferred

from . import requests
from .actors import Actor, ActorSystem, Handler
from .exceptions import RedwingrudderError
from .metrics import NodeMetrics
from .timers import TIMERS, Subscribe, TimerFired, Unsubscribe

METRICS = "metrics"
STATUS_INTERVAL_S = 10.0

_STATUS = "status"


class MetricsCollector(Actor):
    """Follows ownership and store, and asks the dispatcher for its status.

    It is to be a subscriber of ownership.
    """

    def __init__(self, system: ActorSystem, metrics: NodeMetrics) -> None:
        self._metrics = metrics
        super().__init__(system, METRICS)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            requests.OwnershipGained: self._own,
            requests.EpochRaised: lambda message: None,
            requests.OwnershipEnded: self._disown,
            requests.OwnerChanged: lambda message: None,
            requests.StoreStatus: self._store_status,
            TimerFired: self._tick,
        }

    def start(self) -> None:
        """Follow the state of the store."""
        self.tell(requests.STORE, requests.SubscribeStoreStatus(self.name))

    def _own(self, message: requests.OwnershipGained) -> None:
        self._metrics.set_owner(True)
        beat = Subscribe(self.name, _STATUS, STATUS_INTERVAL_S, STATUS_INTERVAL_S)
        self.tell(TIMERS, beat)

    def _disown(self, message: requests.OwnershipEnded) -> None:
        self._metrics.set_owner(False)
        self._metrics.clear_domain()
        self.tell(TIMERS, Unsubscribe(self.name, _STATUS))

    def _store_status(self, status: requests.StoreStatus) -> None:
        self._metrics.set_store_available(status.available)

    def _tick(self, event: TimerFired) -> None:
        ensureDeferred(self._read_status())

    async def _read_status(self) -> None:
        try:
            status = await self.ask(requests.DISPATCHER, requests.GetStatus())
        except RedwingrudderError:
            # Ownership ended meanwhile; the gauges were cleared with it.
            return
        self._metrics.set_domain(status)
