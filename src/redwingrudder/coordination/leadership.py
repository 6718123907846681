"""Election of the coordinator through a leased record in the store."""

import json
import logging
import random
from typing import NamedTuple

from twisted.internet.defer import FirstError, gatherResults

from .._background import run
from .._chart_runner import ChartRunner
from .._checked_json import Fields, parse_json
from .._store_requests import (
    Compare,
    DeleteKey,
    GetKey,
    GrantLease,
    KeepLeaseAlive,
    KeyValue,
    PutKey,
    Transact,
)
from ..actors import Actor, ActorSystem, Handler
from ..exceptions import OutcomeUnknownError, RedwingrudderError
from ..statecharts import load_chart
from ..timers import TIMERS, Subscribe, TimerFired, Unsubscribe
from .authority import LEASE_TTL_S
from .gateways import (
    COORDINATOR,
    COORDINATOR_KEY,
    LEADERSHIP,
    STORE,
    TERM_KEY,
    AwaitChanges,
)
from .messages import (
    BeginTerm,
    CoordinatorKnown,
    CoordinatorUnreachable,
    Drain,
    EndTerm,
    Fenced,
    LeaseConfirmed,
    Resign,
)

RENEW_INTERVAL_S = 0.35  # allows four attempts within LEASE_TTL_S
WATCH_TIMEOUT_S = 1.0  # longest wait of one watch request
RETRY_DELAY_S = 0.25  # after a failed call or election
# Nodes that find the record vacant wait for a random time up to
# CAMPAIGN_JITTER_S, so that usually only one of them writes the record.
MIN_CAMPAIGN_DELAY_S = 0.02
CAMPAIGN_JITTER_S = 0.15
# Nodes with few cores or a slow link wait longer, so that a node with enough
# resources is elected if there is one: the coordinator of 176 workers uses up
# to one core and reads some megabytes when it takes over.
UNCONSTRAINED_CORES = 1.0
WEAK_CORES_DELAY_S = 0.35  # per missing core below UNCONSTRAINED_CORES
UNCONSTRAINED_LINK_BPS = 50e6
WEAK_LINK_DELAY_S = 0.2
# Number of terms of which the time is known at which they were first seen.
MAX_TERMS_SEEN = 64
# Extra delay of a node that has resigned, from the time at which it sees a
# vacant record. It exceeds the duration of the election of another node.
RESIGNED_DELAY_S = 2.0

_EVENTS = frozenset({"vacant", "acquired", "failed", "deposed", "resign", "drain"})
_ACTIONS = frozenset({"acquire", "begin_term", "end_term", "withdraw_record"})
_logger = logging.getLogger(__name__)


class Identity(NamedTuple):
    """Identity of a node process.

    Attributes:
        node_id: Configured name of the node.
        address: "host:port" of its Thrift server.
        incarnation: Random id of this process.
    """

    node_id: str
    address: str
    incarnation: str


class NodeResources(NamedTuple):
    """Resources of a node that matter for the coordinator's load.

    Attributes:
        cores: Number of processor cores, may be a fraction.
        link_bps: Bandwidth of the network link in bits per second.
    """

    cores: float = UNCONSTRAINED_CORES
    link_bps: float = UNCONSTRAINED_LINK_BPS

    def extra_campaign_delay_s(self) -> float:
        """Return the extra wait of the node before it campaigns."""
        cores_s = WEAK_CORES_DELAY_S * max(UNCONSTRAINED_CORES - self.cores, 0.0)
        return cores_s + WEAK_LINK_DELAY_S * (self.link_bps < UNCONSTRAINED_LINK_BPS)


UNCONSTRAINED = NodeResources()


class Holder(NamedTuple):
    """The coordinator's record as read from the store.

    Attributes:
        node_id: Name of the coordinating node.
        address: "host:port" of its Thrift server.
        incarnation: Random id of its process.
        term: Number of its term.
        revision: Store revision of the record.
    """

    node_id: str
    address: str
    incarnation: str
    term: int
    revision: int


def _decode_holder(document: str, revision: int) -> Holder:
    """Decode the coordinator's record.

    Raises:
        ValueError: The document is not a record.
    """
    fields = Fields(parse_json(document), "record")
    return Holder(
        fields.text("node"),
        fields.text("address"),
        fields.text("life"),
        fields.integer("term"),
        revision,
    )


def _next_term(term_entry: KeyValue | None) -> int:
    """Return a term that is higher than all earlier ones.

    Each new term is written by one transaction, so a term is never above the
    store revision of its key. That revision replaces an unreadable term.
    """
    if term_entry is None:
        return 1
    if term_entry.value.isdecimal():
        return int(term_entry.value) + 1
    _logger.error("the term in the store is not a number")
    return term_entry.mod_revision + 1


def _log_failed_election(error: BaseException) -> None:
    _logger.info("attempt to become coordinator failed", extra={"error": str(error)})


class Leadership(Actor):
    """Watches the coordinator's record and acquires it when it is vacant.

    Args:
        system: The actor system of this node.
        identity: Identity of this process.
        subscribers: Names of the actors that get ``CoordinatorKnown`` on each
            change.
        resources: Resources of this node; a node with few of them waits
            longer before it campaigns.
    """

    def __init__(
        self,
        system: ActorSystem,
        identity: Identity,
        subscribers: tuple[str, ...],
        resources: NodeResources = UNCONSTRAINED,
    ) -> None:
        self._chart = ChartRunner(
            load_chart("coordinator", _EVENTS, _ACTIONS),
            {
                "acquire": lambda _: run(self._acquire(), self.name),
                "begin_term": self._begin_term,
                "end_term": lambda reason: self.tell(COORDINATOR, EndTerm(str(reason))),
                "withdraw_record": lambda _: run(self._withdraw_record(), self.name),
            },
        )
        self._identity = identity
        self._subscribers = subscribers
        self._random = random.Random(identity.incarnation)
        self._extra_delay_s = resources.extra_campaign_delay_s()
        # Whether this node has resigned and no node has been elected since.
        self._resigned = False
        # Node-clock time of the next campaign, None if none is scheduled.
        self._campaign_at: float | None = None
        self._holder: Holder | None = None
        # Revision of a record whose holder process no longer exists, 0 if
        # none. Such a record may be replaced before its lease expires.
        self._abandoned_revision = 0
        self._announced: tuple[str, int] | None = None
        # Node-clock seconds at which a record of the term was first seen.
        self._seen_at_by_term: dict[int, float] = {}
        self._lease = 0
        self._stopping = False
        super().__init__(system, LEADERSHIP)

    @property
    def leading(self) -> bool:
        """Whether this node is the coordinator."""
        return self._chart.state == "leading"

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            TimerFired: self._timer_fired,
            CoordinatorUnreachable: self._coordinator_unreachable,
            Fenced: self._handle_fenced,
            Resign: self._resign,
            Drain: self._drain,
        }

    def start(self) -> None:
        """Start to watch the record and to renew the lease."""
        self.tell(TIMERS, Subscribe(self.name, "follow", 0.0))
        self.tell(
            TIMERS, Subscribe(self.name, "renew", RENEW_INTERVAL_S, RENEW_INTERVAL_S)
        )

    def _drain(self, message: Drain) -> None:
        """Withdraw the record, so that another node takes over at once."""
        self._stopping = True
        self._chart.step("drain", "drain")

    def stop(self) -> None:
        """Let the watch end when the store next answers it."""
        self._stopping = True

    def _timer_fired(self, fired: TimerFired) -> None:
        if fired.timer == "follow":
            run(self._follow(), self.name)
        elif fired.timer == "renew" and self.leading:
            run(self._renew(), self.name)
        elif fired.timer == "campaign" and self._campaign_at is not None:
            self._campaign_at = None
            if not self._stopping:
                self._chart.step("vacant", "vacant")

    async def _follow(self) -> None:
        """Read the record, then watch it until a call fails.

        Unless the actor is stopping, the next attempt is scheduled after
        ``RETRY_DELAY_S``.
        """
        try:
            revision = await self._read_record()
            while not self._stopping:
                changes = await self.ask(
                    STORE, AwaitChanges(COORDINATOR_KEY, revision, WATCH_TIMEOUT_S)
                )
                if changes.expired:
                    break
                if changes.changes:
                    last = changes.changes[-1]
                    self._observe(last.value, last.revision)
                elif self._holder is None:
                    self._observe(None, changes.revision)
                revision = changes.revision
        except RedwingrudderError as error:
            _logger.info(
                "watch of the coordinator's record failed", extra={"error": str(error)}
            )
        except Exception:
            _logger.exception("watch of the coordinator's record failed unexpectedly")
        if not self._stopping:
            self.tell(TIMERS, Subscribe(self.name, "follow", RETRY_DELAY_S))

    async def _read_record(self) -> int:
        """Read the record and return the revision to watch from."""
        entry: KeyValue | None = await self.ask(STORE, GetKey(COORDINATOR_KEY))
        self._observe(
            entry.value if entry else None, entry.mod_revision if entry else 0
        )
        if entry is not None:
            return entry.mod_revision
        term_entry = await self.ask(STORE, GetKey(TERM_KEY))
        return term_entry.mod_revision if term_entry is not None else 1

    def _observe(self, value: str | None, revision: int) -> None:
        """Process a state of the record that was read or watched.

        Args:
            value: The record, None if it is absent.
            revision: Store revision of the change, 0 if a read found no
                record.
        """
        known_revision = self._holder.revision if self._holder is not None else 0
        if 0 < revision < known_revision:
            # The watch lags behind and reports changes that are older than
            # the record that this node has read or written.
            return
        if value is None:
            self._holder = None
            self._announce("", "", 0)
            if not self._stopping:
                # The former holder campaigns without a delay, so that it is
                # usually elected again.
                self._schedule_campaign(
                    0.0 if self.leading else self._campaign_delay_s()
                )
            return
        try:
            holder = _decode_holder(value, revision)
        except ValueError as error:
            # No process holds this record, so it may be replaced at once.
            _logger.error(
                "coordinator's record cannot be decoded", extra={"error": str(error)}
            )
            self._abandoned_revision = revision
            self._schedule_campaign(self._campaign_delay_s())
            return
        self._holder = holder
        if holder.node_id != self._identity.node_id:
            self._resigned = False
        self._record_term(holder.term)
        self._announce(holder.node_id, holder.address, holder.term)
        is_own_record = holder.incarnation == self._identity.incarnation
        if not is_own_record and self.leading:
            self._chart.step("deposed", f"{holder.node_id} holds term {holder.term}")
        elif not is_own_record and holder.node_id == self._identity.node_id:
            # The record was written by an earlier incarnation of this node.
            self._abandoned_revision = revision
            self._chart.step("vacant", "record of an earlier incarnation")
        else:
            self._cancel_campaign()

    def _record_term(self, term: int) -> None:
        """Record when a term was first seen, which is after its beginning."""
        self._seen_at_by_term.setdefault(term, self.system.clock.seconds())
        while len(self._seen_at_by_term) > MAX_TERMS_SEEN:
            del self._seen_at_by_term[min(self._seen_at_by_term)]

    def _announce(self, node_id: str, address: str, term: int) -> None:
        """Notify the subscribers if the coordinator or its term changed."""
        if self._announced == (node_id, term):
            return
        self._announced = (node_id, term)
        _logger.info(
            "coordinator changed", extra={"coordinator": node_id, "term": term}
        )
        for subscriber in self._subscribers:
            self.tell(subscriber, CoordinatorKnown(node_id, address, term))

    def _coordinator_unreachable(self, message: CoordinatorUnreachable) -> None:
        """Campaign if the current coordinator refuses connections."""
        if self._stopping or self._holder is None:
            return
        if self._holder.address == message.address and not self.leading:
            self._abandoned_revision = self._holder.revision
            self._schedule_campaign(self._campaign_delay_s())

    def _campaign_delay_s(self) -> float:
        jitter_s = self._random.uniform(MIN_CAMPAIGN_DELAY_S, CAMPAIGN_JITTER_S)
        return self._extra_delay_s + RESIGNED_DELAY_S * self._resigned + jitter_s

    def _schedule_campaign(self, delay_s: float) -> None:
        """Schedule a campaign, unless one is due sooner.

        A vacancy may be observed again and again, more often than the delay.
        """
        at = self.system.clock.seconds() + delay_s
        if self._campaign_at is None or at < self._campaign_at:
            self.tell(TIMERS, Subscribe(self.name, "campaign", delay_s))
            self._campaign_at = at

    def _cancel_campaign(self) -> None:
        """Cancel the campaign, also if its timer has just fired."""
        self._campaign_at = None
        self.tell(TIMERS, Unsubscribe(self.name, "campaign"))

    def _handle_fenced(self, message: Fenced) -> None:
        _logger.warning(
            "a higher term exists; coordinator steps down",
            extra={"source": message.source},
        )
        self._chart.step("deposed", message.source)

    def _resign(self, message: Resign) -> None:
        """Withdraw the record and leave the next election to other nodes."""
        _logger.warning(
            "coordinator resigns from its term", extra={"reason": message.reason}
        )
        self._resigned = self._resigned or self.leading
        self._chart.step("resign", message.reason)

    async def _acquire(self) -> None:
        """Write the record if it is vacant or its process no longer exists."""
        event = "failed"
        result: BeginTerm | None = None
        try:
            # The calls run concurrently to save time when the store is slow.
            sent_at = self.system.clock.seconds()
            holder, term_entry, lease = await gatherResults(
                [
                    self.ask(STORE, GetKey(COORDINATOR_KEY)),
                    self.ask(STORE, GetKey(TERM_KEY)),
                    self.ask(STORE, GrantLease(LEASE_TTL_S)),
                ],
                consumeErrors=True,
            )
            if holder is None or holder.mod_revision == self._abandoned_revision:
                result = await self._write_record(holder, term_entry, lease, sent_at)
                event = "acquired" if result else "failed"
        except FirstError as error:
            _log_failed_election(error.subFailure.value)
        except RedwingrudderError as error:
            _log_failed_election(error)
        except Exception:
            _logger.exception("attempt to become coordinator failed unexpectedly")
        if result is not None:
            self._chart.step(event, result)
            return
        self._chart.step(
            event, "the record was held, the write lost a race or a store call failed"
        )
        if not self._stopping and self._holder is None:
            self._schedule_campaign(RETRY_DELAY_S)

    async def _write_record(
        self,
        holder: KeyValue | None,
        term_entry: KeyValue | None,
        lease: int,
        sent_at: float,
    ) -> BeginTerm | None:
        """Write the record of a new term in one transaction.

        Returns:
            The new term, None if another node changed the record or the term
            first.
        """
        term = _next_term(term_entry)
        record = json.dumps(
            {
                "node": self._identity.node_id,
                "address": self._identity.address,
                "life": self._identity.incarnation,
                "term": term,
                # Tells the attempts of one process apart, of which an earlier
                # one may be carried out late.
                "lease": lease,
            }
        )
        compares = (
            Compare(COORDINATOR_KEY, holder.mod_revision if holder else 0),
            Compare(TERM_KEY, term_entry.mod_revision if term_entry else 0),
        )
        puts = (PutKey(COORDINATOR_KEY, record, lease), PutKey(TERM_KEY, str(term)))
        try:
            reply = await self.ask(STORE, Transact(compares, puts))
        except OutcomeUnknownError:
            revision = await self._read_own_term(record, term)
        else:
            revision = reply.revision if reply.succeeded else 0
        if not revision:
            return None
        self._lease = lease
        self._holder = Holder(*self._identity, term, revision)
        self._record_term(term)
        return BeginTerm(
            term,
            revision,
            sent_at + LEASE_TTL_S,
            sent_at,
            tuple(self._seen_at_by_term.items()),
        )

    async def _read_own_term(self, record: str, term: int) -> int:
        """Check whether a write with an unknown outcome took effect.

        Returns:
            The revision of the term's key, 0 if the write had no effect or
            has been replaced.
        """
        written_record: KeyValue | None = await self.ask(STORE, GetKey(COORDINATOR_KEY))
        if written_record is None or written_record.value != record:
            return 0
        current_term: KeyValue | None = await self.ask(STORE, GetKey(TERM_KEY))
        if current_term is None or current_term.value != str(term):
            return 0
        return current_term.mod_revision

    def _begin_term(self, message: BeginTerm) -> None:
        # The vacancy may have been observed once more during the election.
        self._cancel_campaign()
        self._resigned = False
        self._announce(self._identity.node_id, self._identity.address, message.term)
        self.tell(COORDINATOR, message)

    async def _renew(self) -> None:
        """Renew the lease and report its new expiry time to COORDINATOR."""
        sent_at = self.system.clock.seconds()
        lease = self._lease
        try:
            remaining_s = await self.ask(STORE, KeepLeaseAlive(lease))
        except RedwingrudderError as error:
            _logger.info(
                "lease of the coordinator's record was not renewed",
                extra={"error": str(error)},
            )
            return
        if not self.leading or lease != self._lease:
            return
        if remaining_s:
            confirmed = LeaseConfirmed(self._holder.term, sent_at + LEASE_TTL_S)
            self.tell(COORDINATOR, confirmed)
        else:
            _logger.warning(
                "lease of the coordinator's record has expired", extra={"lease": lease}
            )
            await self._read_record_after_lapse()

    async def _read_record_after_lapse(self) -> None:
        try:
            entry: KeyValue | None = await self.ask(STORE, GetKey(COORDINATOR_KEY))
        except RedwingrudderError as error:
            _logger.info(
                "coordinator's record was not read", extra={"error": str(error)}
            )
            return
        self._observe(
            entry.value if entry else None, entry.mod_revision if entry else 0
        )

    async def _withdraw_record(self) -> None:
        """Remove the record if it names this process."""
        try:
            holder = self._holder
            if holder is None or holder.incarnation != self._identity.incarnation:
                return
            compare = Compare(COORDINATOR_KEY, holder.revision)
            await self.ask(STORE, Transact((compare,), (DeleteKey(COORDINATOR_KEY),)))
        except RedwingrudderError as error:
            _logger.info(
                "coordinator's record was not withdrawn", extra={"error": str(error)}
            )
