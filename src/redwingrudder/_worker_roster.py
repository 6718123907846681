"""The links of an owner to the workers of its failure domain."""

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

# Numbers of links, so that late events of a closed link are told apart.
_numbers = itertools.count(1)


class RosterSettings(NamedTuple):
    """What all links of one owner share."""

    failure_domain: str
    node_id: str
    lease_s: float


class _Link(NamedTuple):
    """``settled`` is true once the worker was claimed or given up."""

    number: int
    address: str
    outbox: Outbox
    listed: bool = True
    leaving: bool = False
    claimed: bool = False
    all_claimed_or_lost: bool = False


class WorkerRoster:
    """Creates and closes links by the VM list and passes commands to them."""

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
        """Whether every worker was claimed or given up."""
        return all(link.all_claimed_or_lost for link in self._links_by_worker.values())

    def sync(self, vms: tuple[VmInfo, ...]) -> list[Event]:
        """Follow the VM list; returns what the scheduler is to be told.

        A worker that left the list keeps its link until it is lost: its
        tasks may run until its lease has lapsed.
        """
        domain = self._settings.failure_domain
        self._vms_by_id = {
            vm.vm_id: vm
            for vm in vms
            if vm.role == "worker" and vm.failure_domain == domain
        }
        events: list[Event] = []
        for worker_id in list(self._links_by_worker):
            events += self._follow(worker_id)
        self._open_missing()
        return events

    def process_event(self, message: LinkEvent) -> list[Event]:
        """Return the events of a link to be told, none from a closed link."""
        worker_id = self._workers_by_number.get(message.number)
        if worker_id is None:
            return []
        link = self._links_by_worker[worker_id]
        event = message.event
        if isinstance(event, WorkerClaimed):
            return self._note_claim(worker_id, link, event)
        if isinstance(event, WorkerLost):
            self._update(worker_id, claimed=False, all_claimed_or_lost=True)
            self._forget_leaving(worker_id)
            if not link.listed:
                self._close(worker_id)
                self._open_missing()
        return [event]

    def send(self, worker_id: str, command: Message) -> None:
        """Pass a command; a worker without a link was told to be lost."""
        link = self._links_by_worker.get(worker_id)
        if link is not None:
            link.outbox.add(command)
            link.outbox.flush()

    def flush(self) -> None:
        """Deliver what full mailboxes did not take."""
        for link in self._links_by_worker.values():
            link.outbox.flush()

    def raise_epoch(self, epoch: Epoch) -> None:
        """Claim all workers again with a higher epoch."""
        self._epoch = epoch
        for worker_id in self._links_by_worker:
            self.send(worker_id, EpochRaised(epoch))

    def close(self) -> None:
        """Close all links; the workers go on until their leases lapse."""
        self._closed = True
        for worker_id in list(self._links_by_worker):
            self._close(worker_id)

    def _follow(self, worker_id: str) -> list[Event]:
        link = self._links_by_worker[worker_id]
        vm = self._vms_by_id.get(worker_id)
        listed = vm is not None and vm.address == link.address
        # A gap in the list is no reason to stop using a worker that answers;
        # once the scheduler was told, only a restart ends the leaving.
        told = link.leaving and link.claimed
        leaving = told or (vm is not None and not _stays(vm, link.address))
        self._update(worker_id, listed=listed, leaving=leaving)
        if not listed and not link.claimed and link.all_claimed_or_lost:
            self._close(worker_id)
            return []
        newly = leaving and not link.leaving and link.claimed
        return [WorkerDraining(worker_id)] if newly else []

    def _note_claim(
        self, worker_id: str, link: _Link, event: WorkerClaimed
    ) -> list[Event]:
        self._update(worker_id, claimed=True, all_claimed_or_lost=True)
        self.send(worker_id, ClaimHandled())
        if not link.leaving:
            return [event]
        # The report says so too: work could be placed between two events.
        report = event.report._replace(draining=True)
        return [WorkerClaimed(report), WorkerDraining(worker_id)]

    def _forget_leaving(self, worker_id: str) -> None:
        vm = self._vms_by_id.get(worker_id)
        self._update(worker_id, leaving=vm is not None and vm.state == "leaving")

    def _open_missing(self) -> None:
        if self._closed:
            return
        names = set(self._system.names())
        for worker_id, vm in self._vms_by_id.items():
            # A link of the same name may still be closing.
            if link_name(worker_id) not in names:
                self._open(vm)

    def _open(self, vm: VmInfo) -> None:
        number = next(_numbers)
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

    def _close(self, worker_id: str) -> None:
        link = self._links_by_worker.pop(worker_id)
        del self._workers_by_number[link.number]
        closing = self._system.ask(link_name(worker_id), CloseLink())
        closing.addBoth(lambda _: self._open_missing())

    def _update(self, worker_id: str, **changes: bool) -> None:
        link = self._links_by_worker[worker_id]
        self._links_by_worker[worker_id] = link._replace(**changes)


def _stays(vm: VmInfo, address: str) -> bool:
    return vm.state != "leaving" and vm.address == address
