"""The platform's VM list, read as rarely as docs/design.md 4.8 allows."""

import logging
import random

from . import requests
from ._announcer import TIMER as ANNOUNCE_TIMER
from ._announcer import Announcer
from ._background import run
from .actors import Actor, ActorSystem, Handler
from .exceptions import RedwingrudderError
from .timers import TIMERS, Subscribe, TimerFired

DOMAIN_READ_S = 1.0  # of the own domain, by its owner
LIST_READ_S = 10.0  # of the whole list, by every node
RETRY_S = 1.0  # after a failed read of the whole list
JITTER = 0.1  # share of an interval

_logger = logging.getLogger(__name__)
_DOMAIN_TIMER = "domain"
_LIST_TIMER = "list"


class MembershipActor(Actor):
    """Reads the VM list and tells its subscribers when it changed.

    It must be among the subscribers of the ownership actor.

    Args:
        system: The node's actors.
        subscribers: Names of the actors that get ``MembersChanged``.
        failure_domain: The node's failure domain.
        seed: Seed of the jitter.
    """

    def __init__(
        self,
        system: ActorSystem,
        subscribers: tuple[str, ...],
        failure_domain: str,
        seed: int = 0,
    ) -> None:
        self._failure_domain = failure_domain
        self._jitter = random.Random(seed)
        self._announcer = Announcer(self, subscribers)
        self._vms: tuple[requests.VmInfo, ...] | None = None
        self._last_read: tuple[requests.VmInfo, ...] | None = None
        self._domain_read = False
        self._reads_in_progress: set[str] = set()
        self._owning = False
        self._store_available = False
        super().__init__(system, requests.MEMBERSHIP)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            requests.OwnershipGained: self._ownership_gained,
            requests.OwnershipEnded: self._ownership_ended,
            requests.EpochRaised: lambda message: None,
            requests.OwnerChanged: lambda message: None,
            requests.StoreStatus: self._store_status,
            TimerFired: self._timer_fired,
        }

    def start(self) -> None:
        """Ask for the state of the store; reads begin when it answers."""
        self.tell(requests.STORE, requests.SubscribeStoreStatus(self.name))

    def _ownership_gained(self, message: requests.OwnershipGained) -> None:
        self._owning = True
        self._read_domain()

    def _ownership_ended(self, message: requests.OwnershipEnded) -> None:
        self._owning = False
        self._domain_read = False

    def _store_status(self, status: requests.StoreStatus) -> None:
        returned = status.available and not self._store_available
        self._store_available = status.available
        if returned:
            self._read_list()
            self._read_domain()

    def _timer_fired(self, fired: TimerFired) -> None:
        if fired.timer == ANNOUNCE_TIMER:
            self._announcer.retry()
        elif fired.timer == _DOMAIN_TIMER:
            self._read_domain()
        else:
            self._read_list()

    def _read_domain(self) -> None:
        if self._owning and self._store_available:
            run(self._read(self._failure_domain, _DOMAIN_TIMER), self.name)

    def _read_list(self) -> None:
        if self._store_available:
            run(self._read("", _LIST_TIMER), self.name)

    async def _read(self, failure_domain: str, timer: str) -> None:
        if timer in self._reads_in_progress:
            return
        self._reads_in_progress.add(timer)
        interval_s = DOMAIN_READ_S if timer == _DOMAIN_TIMER else LIST_READ_S
        try:
            vms = await self.ask(requests.STORE, requests.ListVms(failure_domain))
            self._take_over(failure_domain, vms)
        except RedwingrudderError as error:
            interval_s = RETRY_S
            _logger.warning("VM list not read", extra={"error": str(error)})
        finally:
            self._reads_in_progress.discard(timer)
            self._schedule(timer, interval_s)

    def _schedule(self, timer: str, interval_s: float) -> None:
        """Time the next read; jitter spreads the reads of the nodes."""
        delay_s = interval_s
        if timer == _LIST_TIMER:
            delay_s *= 1.0 + self._jitter.uniform(-JITTER, JITTER)
        self.tell(TIMERS, Subscribe(self.name, timer, delay_s))

    def _take_over(self, failure_domain: str, vms: tuple[requests.VmInfo, ...]) -> None:
        if vms is self._last_read:
            return
        self._last_read = vms
        own = self._failure_domain
        if failure_domain == own:
            self._domain_read = True
            replaced = {own}
        else:
            replaced = {vm.failure_domain for vm in (*vms, *(self._vms or ()))}
            if self._domain_read:
                # The owner's own reads are later than those of the list.
                replaced.discard(own)
        kept = [vm for vm in self._vms or () if vm.failure_domain not in replaced]
        fresh = [vm for vm in vms if vm.failure_domain in replaced]
        merged = tuple(sorted((*kept, *fresh)))
        if merged != self._vms:
            self._vms = merged
            self._announcer.announce(requests.MembersChanged(merged))
