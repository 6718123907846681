"""Ownership of the failure domain's workers (docs/design.md section 4.1)."""

import logging
import random
from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import Deferred

from . import requests
from ._announcer import TIMER as ANNOUNCE_TIMER
from ._announcer import Announcer
from ._background import run
from ._chart_runner import ChartRunner
from ._ownership_announcer import OwnershipAnnouncer
from ._ownership_chart import load_ownership_chart
from ._ownership_lease import OwnerLease
from ._ownership_peers import PeerTable
from ._ownership_record import (
    LEASE_S,
    OWNER_PREFIX,
    RELEASED_SUFFIX,
    Acquisition,
    OwnerRecord,
    OwnerRecordClient,
    RecordView,
    decode_record,
)
from ._takeover_policy import TakeoverPolicy
from .actors import Actor, ActorSystem, Handler
from .exceptions import RedwingrudderError
from .model import Epoch
from .timers import TIMERS, Subscribe, TimerFired

__all__ = ["LEASE_S", "OwnershipActor"]

TICK_S = 0.25
PAUSE_S = 1.0  # a tick that is later than this shows a pause of the process
RETRY_S = 1.0  # after a failed call for the record; half to a whole of it
# A watch may break unnoticed, so a silent owner's record is read again.
REREAD_S = 5.0

_logger = logging.getLogger(__name__)


class OwnershipActor(Actor):
    """Acquires, keeps and hands over the ownership of one failure domain.

    Args:
        system: The node's actors.
        subscribers: Names of the actors that get ``OwnershipGained``,
            ``EpochRaised``, ``OwnershipEnded`` and ``OwnerChanged``.
        failure_domain: The node's failure domain.
        node_id: This node; unique for each process.
        address: Address of the node's thrift port.
        rank: Order of the nodes of a domain; unique among live nodes.
        seed: Seed of the jitter.
    """

    def __init__(
        self,
        system: ActorSystem,
        subscribers: tuple[str, ...],
        failure_domain: str,
        node_id: str,
        address: str,
        rank: int,
        seed: int = 0,
    ) -> None:
        self._failure_domain = failure_domain
        self._rank = rank
        self._jitter = random.Random(f"{seed} {node_id}")
        self._announcer = Announcer(self, subscribers)
        self._owner_announcer = OwnershipAnnouncer(
            self._announcer, failure_domain, node_id, address
        )
        self._peers = PeerTable(node_id, rank)
        self._takeover_policy = TakeoverPolicy(self._peers, rank, self._jitter)
        self._record_client = OwnerRecordClient(
            lambda message: self.ask(requests.STORE, message),
            system.clock.seconds,
            failure_domain,
            node_id,
            address,
            rank,
        )
        self._lease = OwnerLease(self._record_client, system.clock.seconds)
        self._view = RecordView()
        self._chart = ChartRunner(
            load_ownership_chart(),
            {
                "acquire_record": lambda _: run(self._acquire(), self.name),
                "read_record": lambda _: run(self._verify(), self.name),
                "release_record": lambda _: self._let_go(self._lease.release()),
                "hand_over": lambda _: self._let_go(self._lease.hand_over()),
                "raise_local_term": lambda _: self._raise_local_term(),
                "begin_owning": self._begin_owning,
                "raise_epoch": self._raise_epoch,
                "end_owning": self._end_owning,
            },
        )
        # Highest epoch known for the own domain and, while owning, the own.
        self._highest = Epoch(0, 0, 0)
        self._epoch: Epoch | None = None
        self._acquiring = False
        self._reading = False
        self._watching = False
        self._releasing: Deferred | None = None
        self._store_available = False
        self._read_at = system.clock.seconds()
        self._retry_at = 0.0
        self._ticked_at = system.clock.seconds()
        super().__init__(system, requests.OWNERSHIP)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        handlers: dict[type, Handler] = {
            TimerFired: self._timer_fired,
            requests.StoreStatus: self._store_status,
            requests.WatchChanged: self._watch_changed,
            requests.WatchReset: self._watch_reset,
            requests.MembersChanged: self._members_changed,
            requests.PeerReport: self._peer_report,
            requests.PeerSilent: self._peer_silent,
            requests.Fenced: self._fenced,
            requests.Drain: self._drain,
        }
        return {kind: self._guard(handler) for kind, handler in handlers.items()}

    def start(self) -> None:
        """Start the tick and ask for the state of the store."""
        delay_s = self._jitter.uniform(0.0, TICK_S)
        self.tell(TIMERS, Subscribe(self.name, "tick", delay_s, TICK_S))
        self.tell(requests.STORE, requests.SubscribeStoreStatus(self.name))

    def _guard(self, handler: Handler) -> Handler:
        """Notice a lapsed lease before anything else is handled."""

        def handle(message: Any) -> Any:
            self._notice_pause()
            self._notice_lapse()
            return handler(message)

        return handle

    def _notice_pause(self) -> None:
        # A paused process has not heard its peers, who may well be alive.
        paused_s = self._now() - self._ticked_at - TICK_S
        if paused_s > PAUSE_S:
            self._peers.add_own_pause(paused_s)
            self._ticked_at = self._now()
            self._takeover_policy.restart_owner_wait(self._now())

    def _notice_lapse(self) -> None:
        owning = self._chart.state == "owning"
        ready = self._store_available and self._now() >= self._retry_at
        if owning and ready and self._lease.is_lapsed():
            self._step("lease_lapsed")

    def _timer_fired(self, fired: TimerFired) -> None:
        if fired.timer == ANNOUNCE_TIMER:
            self._announcer.retry()
            return
        if fired.timer == "tick":
            self._ticked_at = self._now()
            self._renew_if_due()
            self._watch_if_due()
        self._evaluate()

    def _store_status(self, status: requests.StoreStatus) -> None:
        self._store_available = status.available
        self._retry_at = 0.0
        self._watch_if_due()
        self._notice_lapse()
        self._evaluate()

    def _watch_changed(self, message: requests.WatchChanged) -> None:
        changed = [self._learn_change(change) for change in message.changes]
        if any(changed):
            self._judge_news()

    def _learn_change(self, change: requests.KeyChange) -> bool:
        domain = change.key.removeprefix(OWNER_PREFIX)
        if domain.endswith(RELEASED_SUFFIX):
            self._peers.released(change.value or "")
            return False
        record = None if change.value is None else decode_record(change.value)
        return self._learn_record(domain, record, change.mod_revision)

    def _watch_reset(self, message: requests.WatchReset) -> None:
        self._watching = False
        self._watch_if_due()

    def _members_changed(self, message: requests.MembersChanged) -> None:
        self._peers.set_members(message.vms, self._failure_domain)
        self._takeover_policy.members_known(self._now())

    def _peer_report(self, report: requests.PeerReport) -> None:
        if report.failure_domain == self._failure_domain:
            self._peers.report(report, self._now())
            self._highest = max(self._highest, report.epoch)
            higher = self._epoch is not None and report.epoch > self._epoch
            if report.owner and higher:
                fenced = requests.Fenced(self._epoch, report.epoch)
                self._step("fenced", fenced)
        if report.owner:
            self._owner_announcer.owner(
                report.failure_domain, report.node_id, report.address, report.epoch
            )

    def _peer_silent(self, message: requests.PeerSilent) -> None:
        if message.failure_domain == self._failure_domain:
            self._peers.silent(message.node_id, message.silent_s, self._now())
            self._evaluate()

    def _fenced(self, message: requests.Fenced) -> None:
        self._highest = max(self._highest, message.highest)
        if self._epoch is not None and message.highest > self._epoch:
            # The node that fenced this one has time to be heard of.
            self._takeover_policy.restart_owner_wait(self._now())
            self._step("fenced", message)

    async def _drain(self, message: requests.Drain) -> None:
        self._step("drain")
        if self._releasing is not None:
            await self._releasing

    def _evaluate(self) -> None:
        """Take over when the record is absent or the owner is silent."""
        if self._chart.state != "following":
            return
        now = self._now()
        if not self._store_available:
            if self._takeover_policy.may_claim(now):
                self._step("owner_silent")
        elif not self._watching:
            return
        elif self._view.record is None:
            self._await_turn(now)
        elif now - self._read_at >= REREAD_S and not self._peers.is_owner_alive(now):
            run(self._reread(), self.name)

    def _await_turn(self, now: float) -> None:
        """Acquire the record at this node's turn; ticks are too coarse."""
        wait_s = max(self._takeover_policy.acquire_at(), self._retry_at) - now
        if wait_s <= 0:
            self._step("record_absent")
        elif wait_s < TICK_S:
            self.tell(TIMERS, Subscribe(self.name, "turn", wait_s))

    def _watch_if_due(self) -> None:
        if self._store_available and not self._watching and not self._reading:
            run(self._read_and_watch(), self.name)

    async def _read_and_watch(self) -> None:
        revision = await self._read_records()
        if revision:
            self._watching = True
            watch = requests.WatchPrefix(self.name, OWNER_PREFIX, revision)
            self.tell(requests.STORE, watch)
            self._judge_news()

    async def _reread(self) -> None:
        if await self._read_records():
            self._judge_news()

    async def _verify(self) -> None:
        if await self._read_records():
            self._judge_record()
        else:
            self._store_failed()

    async def _read_records(self) -> int:
        """Read all records; returns the revision, 0 when it failed."""
        self._reading = True
        self._read_at = self._now()
        try:
            owners = await self._record_client.read_all()
        except (RedwingrudderError, ValueError, KeyError, TypeError) as error:
            _logger.warning("owner records not read", extra={"error": str(error)})
            return 0
        finally:
            self._reading = False
        for domain, record in owners.records_by_domain.items():
            if domain != self._failure_domain:
                self._learn_record(domain, record, owners.revision)
        own = owners.records_by_domain.get(self._failure_domain)
        self._learn_record(self._failure_domain, own, owners.revision)
        return owners.revision

    def _learn_record(
        self, domain: str, record: OwnerRecord | None, revision: int
    ) -> bool:
        """Take over a record; returns whether the own domain's changed."""
        if record is not None:
            self._owner_announcer.owner(
                domain, record.node_id, record.address, record.epoch
            )
        if domain != self._failure_domain:
            return False
        return self._view.learn(record, revision)

    def _judge_news(self) -> None:
        # After a pause the watch's messages are old; only a read decides.
        if self._chart.state != "verifying":
            self._judge_record()

    def _judge_record(self) -> None:
        record = self._view.record
        if record is None:
            self._record_vanished()
        elif self._record_client.is_own(record):
            self._record_confirmed()
        else:
            self._highest = max(self._highest, record.epoch)
            self._step("record_held", record)

    def _record_vanished(self) -> None:
        if self._chart.state != "following":
            self._step("record_absent")
            return
        self._takeover_policy.record_vanished(self._now())
        self._evaluate()

    def _record_confirmed(self) -> None:
        if self._chart.state == "verifying":
            # The lease lives, so there is time to renew it.
            self._lease.confirm()
            self._step("record_own")
            self._renew()

    async def _acquire(self) -> None:
        if self._acquiring:
            return
        self._acquiring = True
        try:
            outcome = await self._record_client.acquire(self._highest)
        except (RedwingrudderError, ValueError) as error:
            _logger.info("owner record not acquired", extra={"error": str(error)})
            self._store_failed()
            return
        finally:
            self._acquiring = False
        if isinstance(outcome, Acquisition):
            await self._take_over(outcome)
        else:
            self._highest = max(self._highest, outcome.epoch)
            self._step("record_held", outcome)

    def _store_failed(self) -> None:
        self._retry_at = self._now() + RETRY_S * self._jitter.uniform(0.5, 1.0)
        self._step("store_lost")

    async def _take_over(self, acquisition: Acquisition) -> None:
        if self._chart.state == "retired":
            await self._record_client.release(acquisition.lease_id)
            return
        self._lease.take(acquisition)
        self._view.learn(acquisition.record, acquisition.revision)
        self._step("acquired", acquisition)

    def _renew_if_due(self) -> None:
        if self._store_available and self._lease.is_renewal_due():
            self._renew()

    def _renew(self) -> None:
        if self._chart.state == "owning":
            run(self._renew_lease(), self.name)

    async def _renew_lease(self) -> None:
        await self._lease.renew()
        self._notice_lapse()

    def _let_go(self, releasing: Coroutine[Any, Any, None]) -> None:
        self._releasing = run(releasing, self.name)

    def _raise_local_term(self) -> None:
        term = self._highest.local_term + 1
        self._epoch = Epoch(self._highest.store_term, term, self._rank)

    def _begin_owning(self, acquisition: Acquisition | None) -> None:
        self._owner_announcer.begin(self._enter_epoch(acquisition))

    def _raise_epoch(self, acquisition: Acquisition) -> None:
        self._owner_announcer.raise_epoch(self._enter_epoch(acquisition))

    def _enter_epoch(self, acquisition: Acquisition | None) -> Epoch:
        epoch = self._epoch if acquisition is None else acquisition.record.epoch
        self._epoch = epoch
        self._highest = max(self._highest, epoch)
        return epoch

    def _end_owning(self, cause: OwnerRecord | requests.Fenced | None) -> None:
        self._epoch = None
        self._owner_announcer.end(cause)

    def _step(self, event: str, argument: Any = None) -> None:
        if self._chart.state != "retired":
            self._chart.step(event, argument)

    def _now(self) -> float:
        return self.system.clock.seconds()
