"""Actor that acquires, keeps and hands over ownership of a failure domain.

At most one node of a failure domain owns its workers. The owner is elected
through a leased record in the platform store, and by reports of the nodes to
each other while the store is unreachable (docs/design.md section 4.1).
"""

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
    decode_or_ignore,
)
from ._takeover_policy import TakeoverPolicy
from .actors import Actor, ActorSystem, Handler
from .exceptions import RedwingrudderError
from .model import Epoch
from .timers import TIMERS, Subscribe, TimerFired

__all__ = ["LEASE_S", "OwnershipActor"]

TICK_INTERVAL_S = 0.25
# A tick that is late by more than this means that the process was paused.
PAUSE_THRESHOLD_S = 1.0
# Delay after a failed store call for the owner record, multiplied by a random
# factor between MIN_RETRY_FACTOR and MAX_RETRY_FACTOR.
RETRY_DELAY_S = 1.0
MIN_RETRY_FACTOR = 0.5
MAX_RETRY_FACTOR = 1.0
# While the owner is silent its record is read again at this interval, because
# a watch may stop delivering changes without an error.
REREAD_INTERVAL_S = 5.0

_logger = logging.getLogger(__name__)


class OwnershipActor(Actor):
    """Acquires, keeps and hands over the ownership of one failure domain.

    Args:
        system: Actor system of the node.
        subscribers: Names of the actors that receive ``OwnershipGained``,
            ``EpochRaised``, ``OwnershipEnded`` and ``OwnerChanged``.
        failure_domain: Failure domain of the node.
        node_id: Id of this node; each node process has its own.
        address: Address of the node's thrift port.
        rank: Rank of the node, unique among the live nodes of the domain.
            Nodes with lower ranks take over first.
        seed: Seed of the random delays.
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
        self._record_view = RecordView()
        self._chart = ChartRunner(
            load_ownership_chart(),
            {
                "acquire_record": lambda _: run(self._acquire(), self.name),
                "read_record": lambda _: run(self._verify_record(), self.name),
                "release_record": lambda _: self._start_release(self._lease.release()),
                "hand_over": lambda _: self._start_release(self._lease.hand_over()),
                "raise_local_term": lambda _: self._raise_local_term(),
                "begin_owning": self._begin_owning,
                "raise_epoch": self._raise_epoch,
                "end_owning": self._end_owning,
            },
        )
        # Highest epoch seen for this node's failure domain.
        self._highest_epoch = Epoch(0, 0, 0)
        # Epoch of this node's ownership, None while it is not the owner.
        self._epoch: Epoch | None = None
        self._acquiring = False
        self._reading = False
        self._watching = False
        self._release_in_progress: Deferred | None = None
        self._store_available = False
        self._last_read_at = system.clock.seconds()
        self._next_attempt_at = 0.0
        self._last_tick_at = system.clock.seconds()
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
        return {
            message_type: self._with_lease_check(handler)
            for message_type, handler in handlers.items()
        }

    def start(self) -> None:
        """Start the periodic tick and subscribe to the store's status."""
        delay_s = self._jitter.uniform(0.0, TICK_INTERVAL_S)
        self.tell(TIMERS, Subscribe(self.name, "tick", delay_s, TICK_INTERVAL_S))
        self.tell(requests.STORE, requests.SubscribeStoreStatus(self.name))

    def _with_lease_check(self, handler: Handler) -> Handler:
        """Wrap a handler so that each message first checks the lease.

        A process that resumes after a pause must notice that its lease has
        expired before it acts on any message.
        """

        def handle(message: Any) -> Any:
            self._detect_pause()
            self._check_lease_expiry()
            return handler(message)

        return handle

    def _detect_pause(self) -> None:
        # Peers sent reports while this process was paused and could not
        # receive them, so the pause must not count as their silence.
        pause_s = self._now() - self._last_tick_at - TICK_INTERVAL_S
        if pause_s > PAUSE_THRESHOLD_S:
            self._peers.add_own_pause(pause_s)
            self._last_tick_at = self._now()
            self._takeover_policy.restart_owner_wait(self._now())

    def _check_lease_expiry(self) -> None:
        owning = self._chart.state == "owning"
        can_verify = self._store_available and self._now() >= self._next_attempt_at
        if owning and can_verify and self._lease.is_lapsed():
            self._step("lease_lapsed")

    def _timer_fired(self, fired: TimerFired) -> None:
        if fired.timer == ANNOUNCE_TIMER:
            self._announcer.retry()
            return
        if fired.timer == "tick":
            self._last_tick_at = self._now()
            self._renew_if_due()
            self._watch_if_due()
        self._take_over_if_due()

    def _store_status(self, status: requests.StoreStatus) -> None:
        self._store_available = status.available
        self._next_attempt_at = 0.0
        self._watch_if_due()
        self._check_lease_expiry()
        self._take_over_if_due()

    def _watch_changed(self, message: requests.WatchChanged) -> None:
        changed = [self._apply_key_change(change) for change in message.changes]
        if any(changed):
            self._process_record_update()

    def _apply_key_change(self, change: requests.KeyChange) -> bool:
        domain = change.key.removeprefix(OWNER_PREFIX)
        if domain.endswith(RELEASED_SUFFIX):
            self._peers.mark_released(change.value or "")
            return False
        record = None
        if change.value is not None:
            record = decode_or_ignore(change.key, change.value)
            if record is None:
                return False
        return self._update_record(domain, record, change.mod_revision)

    def _watch_reset(self, message: requests.WatchReset) -> None:
        self._watching = False
        self._watch_if_due()

    def _members_changed(self, message: requests.MembersChanged) -> None:
        self._peers.set_members(message.vms, self._failure_domain)
        self._takeover_policy.start_owner_wait(self._now())

    def _peer_report(self, report: requests.PeerReport) -> None:
        if report.failure_domain == self._failure_domain:
            self._peers.record_report(report, self._now())
            self._highest_epoch = max(self._highest_epoch, report.epoch)
            has_higher_epoch = self._epoch is not None and report.epoch > self._epoch
            if report.owner and has_higher_epoch:
                fenced = requests.Fenced(self._epoch, report.epoch)
                self._step("fenced", fenced)
        if report.owner:
            self._owner_announcer.announce_owner(
                report.failure_domain, report.node_id, report.address, report.epoch
            )

    def _peer_silent(self, message: requests.PeerSilent) -> None:
        if message.failure_domain == self._failure_domain:
            self._peers.mark_silent(message.node_id, message.silent_s, self._now())
            self._take_over_if_due()

    def _fenced(self, message: requests.Fenced) -> None:
        self._highest_epoch = max(self._highest_epoch, message.highest)
        if self._epoch is not None and message.highest > self._epoch:
            # Wait for a report of the owner that fenced this node before
            # claiming the domain again.
            self._takeover_policy.restart_owner_wait(self._now())
            self._step("fenced", message)

    async def _drain(self, message: requests.Drain) -> None:
        self._step("drain")
        if self._release_in_progress is not None:
            await self._release_in_progress

    def _take_over_if_due(self) -> None:
        """Start a takeover if this node is following and one is due.

        With the store available, an absent record is acquired and the
        record of a silent owner is read again. Without the store, the
        domain is claimed under a local term if the policy allows it.
        """
        if self._chart.state != "following":
            return
        now = self._now()
        if not self._store_available:
            if self._takeover_policy.may_claim(now):
                self._step("owner_silent")
        elif not self._watching:
            return
        elif self._record_view.record is None:
            self._acquire_in_turn(now)
        elif (
            now - self._last_read_at >= REREAD_INTERVAL_S
            and not self._peers.is_owner_alive(now)
        ):
            run(self._reread(), self.name)

    def _acquire_in_turn(self, now: float) -> None:
        """Acquire the absent record once this node's turn has come.

        A turn may fall between two ticks, so a timer is set for it.
        """
        wait_s = max(self._takeover_policy.acquire_at(), self._next_attempt_at) - now
        if wait_s <= 0:
            self._step("record_absent")
        elif wait_s < TICK_INTERVAL_S:
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
            self._process_record_update()

    async def _reread(self) -> None:
        if await self._read_records():
            self._process_record_update()

    async def _verify_record(self) -> None:
        if await self._read_records():
            self._evaluate_record()
        else:
            self._handle_store_failure()

    async def _read_records(self) -> int:
        """Read the owner records of all domains.

        Returns:
            The store revision of the read, or 0 if the read failed.
        """
        self._reading = True
        self._last_read_at = self._now()
        try:
            owners = await self._record_client.read_all()
        except RedwingrudderError as error:
            _logger.warning(
                "could not read the owner records", extra={"error": str(error)}
            )
            return 0
        finally:
            self._reading = False
        for domain, record in owners.records_by_domain.items():
            if domain != self._failure_domain:
                self._update_record(domain, record, owners.revision)
        if self._failure_domain not in owners.unreadable_domains:
            own_record = owners.records_by_domain.get(self._failure_domain)
            self._update_record(self._failure_domain, own_record, owners.revision)
        return owners.revision

    def _update_record(
        self, domain: str, record: OwnerRecord | None, revision: int
    ) -> bool:
        """Apply an owner record that was read or watched.

        Returns:
            Whether the current record of this node's domain changed.
        """
        if record is not None:
            self._owner_announcer.announce_owner(
                domain, record.node_id, record.address, record.epoch
            )
        if domain != self._failure_domain:
            return False
        return self._record_view.update(record, revision)

    def _process_record_update(self) -> None:
        # In "verifying", queued watch messages may be outdated by a pause of
        # this process, so only the read that is under way decides.
        if self._chart.state != "verifying":
            self._evaluate_record()

    def _evaluate_record(self) -> None:
        record = self._record_view.record
        if record is None:
            self._handle_absent_record()
        elif self._record_client.is_own(record):
            self._handle_own_record()
        else:
            self._highest_epoch = max(self._highest_epoch, record.epoch)
            self._step("record_held", record)

    def _handle_absent_record(self) -> None:
        if self._chart.state != "following":
            self._step("record_absent")
            return
        self._takeover_policy.note_record_absent(self._now())
        self._take_over_if_due()

    def _handle_own_record(self) -> None:
        if self._chart.state == "verifying":
            # The record still exists, so the store has not expired its lease
            # and a renewal can reach the store in time.
            self._lease.allow_renewal()
            self._step("record_own")
            self._renew()

    async def _acquire(self) -> None:
        if self._acquiring:
            return
        self._acquiring = True
        try:
            outcome = await self._record_client.acquire(self._highest_epoch)
        except (RedwingrudderError, ValueError) as error:
            _logger.info(
                "could not acquire the owner record", extra={"error": str(error)}
            )
            self._handle_store_failure()
            return
        finally:
            self._acquiring = False
        if isinstance(outcome, Acquisition):
            await self._handle_acquisition(outcome)
        else:
            self._highest_epoch = max(self._highest_epoch, outcome.epoch)
            self._step("record_held", outcome)

    def _handle_store_failure(self) -> None:
        self._next_attempt_at = self._now() + RETRY_DELAY_S * self._jitter.uniform(
            MIN_RETRY_FACTOR, MAX_RETRY_FACTOR
        )
        self._step("store_lost")

    async def _handle_acquisition(self, acquisition: Acquisition) -> None:
        if self._chart.state == "retired":
            await self._record_client.release(acquisition.lease_id)
            return
        self._lease.hold(acquisition)
        self._record_view.update(acquisition.record, acquisition.revision)
        self._step("acquired", acquisition)

    def _renew_if_due(self) -> None:
        if self._store_available and self._lease.is_renewal_due():
            self._renew()

    def _renew(self) -> None:
        if self._chart.state == "owning":
            run(self._renew_lease(), self.name)

    async def _renew_lease(self) -> None:
        await self._lease.renew()
        self._check_lease_expiry()

    def _start_release(self, release: Coroutine[Any, Any, None]) -> None:
        self._release_in_progress = run(release, self.name)

    def _raise_local_term(self) -> None:
        term = self._highest_epoch.local_term + 1
        self._epoch = Epoch(self._highest_epoch.store_term, term, self._rank)

    def _begin_owning(self, acquisition: Acquisition | None) -> None:
        self._owner_announcer.announce_gained(self._adopt_epoch(acquisition))

    def _raise_epoch(self, acquisition: Acquisition) -> None:
        self._owner_announcer.announce_epoch_raised(self._adopt_epoch(acquisition))

    def _adopt_epoch(self, acquisition: Acquisition | None) -> Epoch:
        epoch = self._epoch if acquisition is None else acquisition.record.epoch
        self._epoch = epoch
        self._highest_epoch = max(self._highest_epoch, epoch)
        return epoch

    def _end_owning(self, cause: OwnerRecord | requests.Fenced | None) -> None:
        self._epoch = None
        self._owner_announcer.announce_ended(cause)

    def _step(self, event: str, argument: Any = None) -> None:
        if self._chart.state != "retired":
            self._chart.step(event, argument)

    def _now(self) -> float:
        return self.system.clock.seconds()
