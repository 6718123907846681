"""Actor that reads the platform's VM list.

The read intervals keep within the call budget in docs/design.md 4.8.
"""

import logging
import random

from . import requests
from ._announcer import TIMER as ANNOUNCE_TIMER
from ._announcer import Announcer
from ._background import run
from .actors import Actor, ActorSystem, Handler
from .exceptions import RedwingrudderError
from .timers import TIMERS, Subscribe, TimerFired

DOMAIN_READ_INTERVAL_S = 1.0  # VMs of the node's domain, read by its owner only
LIST_READ_INTERVAL_S = 10.0  # VMs of all domains, read by every node
RETRY_INTERVAL_S = 1.0  # after a failed read
JITTER_SHARE = 0.1  # largest relative change of a whole-list interval

_logger = logging.getLogger(__name__)
_DOMAIN_TIMER = "domain"
_LIST_TIMER = "list"


class MembershipActor(Actor):
    """Reads the VM list and notifies its subscribers when the list changes.

    The ownership actor must have this actor among its subscribers, because
    only the owner of a domain reads the VMs of the domain every second.

    Args:
        system: The actors of the node.
        subscribers: Names of the actors that receive ``MembersChanged``.
        failure_domain: Failure domain of the node.
        seed: Seed of the random jitter of the read interval.
    """

    def __init__(
        self,
        system: ActorSystem,
        subscribers: tuple[str, ...],
        failure_domain: str,
        seed: int = 0,
    ) -> None:
        self._failure_domain = failure_domain
        self._jitter_random = random.Random(seed)
        self._announcer = Announcer(self, subscribers)
        self._vms: tuple[requests.VmInfo, ...] | None = None
        self._last_read: tuple[requests.VmInfo, ...] | None = None
        self._own_domain_read = False
        self._reads_in_progress: set[str] = set()
        self._is_owner = False
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
        """Subscribe to the store status; reads begin when it is available."""
        self.tell(requests.STORE, requests.SubscribeStoreStatus(self.name))

    def _ownership_gained(self, message: requests.OwnershipGained) -> None:
        self._is_owner = True
        self._read_domain()

    def _ownership_ended(self, message: requests.OwnershipEnded) -> None:
        self._is_owner = False
        self._own_domain_read = False

    def _store_status(self, status: requests.StoreStatus) -> None:
        became_available = status.available and not self._store_available
        self._store_available = status.available
        if became_available:
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
        if self._is_owner and self._store_available:
            run(self._read(self._failure_domain, _DOMAIN_TIMER), self.name)

    def _read_list(self) -> None:
        if self._store_available:
            run(self._read("", _LIST_TIMER), self.name)

    async def _read(self, failure_domain: str, timer: str) -> None:
        if timer in self._reads_in_progress:
            return
        self._reads_in_progress.add(timer)
        interval_s = (
            DOMAIN_READ_INTERVAL_S if timer == _DOMAIN_TIMER else LIST_READ_INTERVAL_S
        )
        try:
            vms = await self.ask(requests.STORE, requests.ListVms(failure_domain))
            self._merge_vms(failure_domain, vms)
        except RedwingrudderError as error:
            interval_s = RETRY_INTERVAL_S
            _logger.warning("VM list could not be read", extra={"error": str(error)})
        finally:
            self._reads_in_progress.discard(timer)
            self._schedule(timer, interval_s)

    def _schedule(self, timer: str, interval_s: float) -> None:
        """Set the timer of the next read; jitter spreads the nodes' reads."""
        delay_s = interval_s
        if timer == _LIST_TIMER:
            delay_s *= 1.0 + self._jitter_random.uniform(-JITTER_SHARE, JITTER_SHARE)
        self.tell(TIMERS, Subscribe(self.name, timer, delay_s))

    def _merge_vms(self, failure_domain: str, vms: tuple[requests.VmInfo, ...]) -> None:
        # The store client returns the same tuple while the list is unchanged.
        if vms is self._last_read:
            return
        self._last_read = vms
        own_domain = self._failure_domain
        if failure_domain == own_domain:
            self._own_domain_read = True
            replaced_domains = {own_domain}
        else:
            replaced_domains = {vm.failure_domain for vm in (*vms, *(self._vms or ()))}
            if self._own_domain_read:
                # The owner reads its own domain more often, so its entries
                # are newer than those of the whole list.
                replaced_domains.discard(own_domain)
        kept_vms = [
            vm for vm in self._vms or () if vm.failure_domain not in replaced_domains
        ]
        new_vms = [vm for vm in vms if vm.failure_domain in replaced_domains]
        merged_vms = tuple(sorted((*kept_vms, *new_vms)))
        if merged_vms != self._vms:
            self._vms = merged_vms
            self._announcer.announce(requests.MembersChanged(merged_vms))
