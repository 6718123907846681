"""Manages the links of an owner to the workers of its failure domain."""

import itertools
from typing import NamedTuple

from ._worker_link import WorkerLink
from ._worker_messages import (
    ClaimHandled,
    CloseLink,
    LinkEvent,
    LinkSettings,
    link_name,
)
from ._worker_outbox import Outbox
from ._worker_transport import WorkerTransport
from .actors import ActorSystem, Message
from .messages import Event, WorkerClaimed, WorkerDraining, WorkerLost
from .model import Epoch
from .requests import EpochRaised, VmInfo

# Each link gets a unique number, by which late events of closed links are
# recognised and dropped.
_link_numbers = itertools.count(1)


class RosterSettings(NamedTuple):
    """Settings common to all links of one owner.

    Attributes:
        failure_domain: The domain whose workers are claimed.
        node_id: The node that claims them.
        lease_s: Duration of the worker leases in seconds.
    """

    failure_domain: str
    node_id: str
    lease_s: float


class _Link(NamedTuple):
    """State of the link to one worker.

    Attributes:
        number: Unique number of the link.
        address: The ``host:port`` that the link was opened for.
        outbox: Messages to the link.
        listed: Whether the VM list has the worker with this address.
        leaving: Whether the worker is to get no new gangs.
        claimed: Whether the worker is claimed now.
        claimed_or_lost: Whether the worker has been claimed or has been
            reported as lost since the link was opened.
    """

    number: int
    address: str
    outbox: Outbox
    listed: bool = True
    leaving: bool = False
    claimed: bool = False
    claimed_or_lost: bool = False


class WorkerRoster:
    """Opens and closes links as the VM list changes, and sends commands.

    Args:
        system: The actors of the node.
        settings: Settings common to all links.
        epoch: Epoch that the workers are claimed with.
        transport: Sends the requests of the links.
    """

    def __init__(
        self,
        system: ActorSystem,
        settings: RosterSettings,
        epoch: Epoch,
        transport: WorkerTransport,
    ) -> None:
        self._system = system
        self._settings = settings
        self._epoch = epoch
        self._transport = transport
        self._links_by_worker: dict[str, _Link] = {}
        self._workers_by_number: dict[int, str] = {}
        self._vms_by_id: dict[str, VmInfo] = {}
        self._closed = False

    @property
    def all_claimed_or_lost(self) -> bool:
        """Whether each worker has been claimed or reported as lost."""
        return all(link.claimed_or_lost for link in self._links_by_worker.values())

    def sync(self, vms: tuple[VmInfo, ...]) -> list[Event]:
        """Apply a new VM list; returns the events for the scheduler.

        A worker that is no longer listed keeps its link until it is lost,
        because its tasks may run until its lease has lapsed.
        """
        domain = self._settings.failure_domain
        self._vms_by_id = {
            vm.vm_id: vm
            for vm in vms
            if vm.role == "worker" and vm.failure_domain == domain
        }
        events: list[Event] = []
        for worker_id in list(self._links_by_worker):
            events += self._apply_vm_list(worker_id)
        self._open_missing_links()
        return events

    def process_event(self, message: LinkEvent) -> list[Event]:
        """Process an event of a link; returns the events for the scheduler.

        Events of closed links are dropped.
        """
        worker_id = self._workers_by_number.get(message.number)
        if worker_id is None:
            return []
        link = self._links_by_worker[worker_id]
        event = message.event
        if isinstance(event, WorkerClaimed):
            return self._handle_claim(worker_id, link, event)
        if isinstance(event, WorkerLost):
            self._update_link(worker_id, claimed=False, claimed_or_lost=True)
            self._reset_leaving(worker_id)
            if not link.listed:
                self._close_link(worker_id)
                self._open_missing_links()
        return [event]

    def send(self, worker_id: str, command: Message) -> None:
        """Send a message to the link of a worker.

        It is dropped when there is no link, because the scheduler has then
        been notified that the worker is lost.
        """
        link = self._links_by_worker.get(worker_id)
        if link is not None:
            link.outbox.add(command)
            link.outbox.flush()

    def flush(self) -> None:
        """Retry the messages to links whose mailboxes were full."""
        for link in self._links_by_worker.values():
            link.outbox.flush()

    def raise_epoch(self, epoch: Epoch) -> None:
        """Have all links claim their workers again with a higher epoch."""
        self._epoch = epoch
        for worker_id in self._links_by_worker:
            self.send(worker_id, EpochRaised(epoch))

    def close(self) -> None:
        """Close all links; the workers run on until their leases lapse."""
        self._closed = True
        for worker_id in list(self._links_by_worker):
            self._close_link(worker_id)

    def _apply_vm_list(self, worker_id: str) -> list[Event]:
        link = self._links_by_worker[worker_id]
        vm = self._vms_by_id.get(worker_id)
        listed = vm is not None and vm.address == link.address
        # A worker that is missing from the list but answers stays in use.
        # Once WorkerDraining was reported, the worker counts as leaving until
        # it is lost, for example by a restart.
        already_reported = link.leaving and link.claimed
        leaving = already_reported or (
            vm is not None and not _stays_in_service(vm, link.address)
        )
        self._update_link(worker_id, listed=listed, leaving=leaving)
        if not listed and not link.claimed and link.claimed_or_lost:
            self._close_link(worker_id)
            return []
        starts_leaving = leaving and not link.leaving and link.claimed
        return [WorkerDraining(worker_id)] if starts_leaving else []

    def _handle_claim(
        self, worker_id: str, link: _Link, event: WorkerClaimed
    ) -> list[Event]:
        self._update_link(worker_id, claimed=True, claimed_or_lost=True)
        self.send(worker_id, ClaimHandled())
        if not link.leaving:
            return [event]
        # The report is marked as draining as well; otherwise the scheduler
        # could place a gang between the two events.
        report = event.report._replace(draining=True)
        return [WorkerClaimed(report), WorkerDraining(worker_id)]

    def _reset_leaving(self, worker_id: str) -> None:
        vm = self._vms_by_id.get(worker_id)
        self._update_link(worker_id, leaving=vm is not None and vm.state == "leaving")

    def _open_missing_links(self) -> None:
        if self._closed:
            return
        actor_names = set(self._system.names())
        for worker_id, vm in self._vms_by_id.items():
            # The closed link of the same worker may still be registered;
            # this method is called again when it is gone.
            if link_name(worker_id) not in actor_names:
                self._open_link(vm)

    def _open_link(self, vm: VmInfo) -> None:
        number = next(_link_numbers)
        outbox = Outbox(self._system, link_name(vm.vm_id))
        link = _Link(number, vm.address, outbox, leaving=vm.state == "leaving")
        self._links_by_worker[vm.vm_id] = link
        self._workers_by_number[number] = vm.vm_id
        settings = LinkSettings(
            number,
            vm.vm_id,
            vm.address,
            self._settings.node_id,
            self._epoch,
            self._settings.lease_s,
        )
        WorkerLink(self._system, settings, self._transport).start()

    def _close_link(self, worker_id: str) -> None:
        link = self._links_by_worker.pop(worker_id)
        del self._workers_by_number[link.number]
        closing = self._system.ask(link_name(worker_id), CloseLink())
        closing.addBoth(lambda _: self._open_missing_links())

    def _update_link(self, worker_id: str, **changes: bool) -> None:
        link = self._links_by_worker[worker_id]
        self._links_by_worker[worker_id] = link._replace(**changes)


def _stays_in_service(vm: VmInfo, address: str) -> bool:
    return vm.state != "leaving" and vm.address == address
