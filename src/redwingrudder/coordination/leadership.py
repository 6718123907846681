"""Election of the coordinator through the store."""

import json
import logging
import random
import time
from typing import NamedTuple

from twisted.internet.defer import FirstError, gatherResults

from .._background import run
from .._chart_runner import ChartRunner
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

LEASE_TTL_S = 1.5  # work stands still this long after a coordinator's power loss
RENEW_S = 0.35  # four attempts within the TTL
WATCH_S = 1.0
RETRY_S = 0.25
# Nodes that find the record vacant wait up to this long, so that mostly one
# of them writes.
CAMPAIGN_JITTER_S = 0.15
# Weaker nodes wait longer, so that a strong one is elected where there is any:
# the coordinator of 176 workers takes up to a core and reads some megabytes
# when it takes over.
UNCONSTRAINED_CORES = 1.0
WEAK_CORES_DELAY_S = 0.35  # times the share of a core that is missing
UNCONSTRAINED_LINK_BPS = 50e6
WEAK_LINK_DELAY_S = 0.2
RESIGNED_DELAY_S = 2.0  # longer than other nodes need to be elected

_EVENTS = frozenset({"vacant", "acquired", "failed", "deposed", "resign", "drain"})
_ACTIONS = frozenset({"acquire", "begin_term", "end_term", "withdraw_record"})
_logger = logging.getLogger(__name__)


class Identity(NamedTuple):
    """This process among the nodes."""

    node_id: str
    address: str
    incarnation: str


class NodeResources(NamedTuple):
    """What a node can carry: processor share and bits a second."""

    cores: float = UNCONSTRAINED_CORES
    link_bps: float = UNCONSTRAINED_LINK_BPS

    def extra_campaign_delay_s(self) -> float:
        """Return for how long the node leaves a vacancy to stronger ones."""
        cores_s = WEAK_CORES_DELAY_S * max(UNCONSTRAINED_CORES - self.cores, 0.0)
        return cores_s + WEAK_LINK_DELAY_S * (self.link_bps < UNCONSTRAINED_LINK_BPS)


UNCONSTRAINED = NodeResources()


class Holder(NamedTuple):
    """The record of the coordinator."""

    node_id: str
    address: str
    incarnation: str
    term: int
    revision: int


def boot_clock() -> float:
    """Return seconds that count on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _log_failed_election(error: BaseException) -> None:
    _logger.info("election failed", extra={"error": str(error)})


class Leadership(Actor):
    """Watches the coordinator's record and acquires it when it is vacant.

    Args:
        system: The node's actors.
        identity: This process.
        subscribers: Actors told of each known coordinator.
        resources: What this node can carry.
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
                "withdraw_record": lambda _: run(self._withdraw(), self.name),
            },
        )
        self._identity = identity
        self._subscribers = subscribers
        self._jitter = random.Random(identity.incarnation)
        self._handicap_s = resources.extra_campaign_delay_s()
        self._holder: Holder | None = None
        # Revision of a record whose holder is surely dead, 0 for none.
        self._dead_revision = 0
        self._announced: tuple[str, int] | None = None
        self._lease = 0
        self._stopping = False
        super().__init__(system, LEADERSHIP)

    @property
    def leading(self) -> bool:
        """Whether this node holds the record."""
        return self._chart.state == "leading"

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            TimerFired: self._timer_fired,
            CoordinatorUnreachable: self._coordinator_silent,
            Fenced: self._fenced,
            Resign: self._resign,
            Drain: self._drain,
        }

    def start(self) -> None:
        """Begin to follow the record."""
        self.tell(TIMERS, Subscribe(self.name, "follow", 0.0))
        self.tell(TIMERS, Subscribe(self.name, "renew", RENEW_S, RENEW_S))

    def _drain(self, message: Drain) -> None:
        """Give up the record so that another node takes over at once."""
        self._stopping = True
        self._chart.step("drain", "drain")

    def stop(self) -> None:
        """End the watch with its next answer."""
        self._stopping = True

    def _timer_fired(self, fired: TimerFired) -> None:
        if fired.timer == "follow":
            run(self._follow(), self.name)
        elif fired.timer == "renew" and self.leading:
            run(self._renew(), self.name)
        elif fired.timer == "campaign" and not self._stopping:
            self._chart.step("vacant", "vacant")

    async def _follow(self) -> None:
        try:
            revision = await self._read_holder()
            while not self._stopping:
                changes = await self.ask(
                    STORE, AwaitChanges(COORDINATOR_KEY, revision, WATCH_S)
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
            _logger.info("coordinator watch lost", extra={"error": str(error)})
        if not self._stopping:
            self.tell(TIMERS, Subscribe(self.name, "follow", RETRY_S))

    async def _read_holder(self) -> int:
        item: KeyValue | None = await self.ask(STORE, GetKey(COORDINATOR_KEY))
        self._observe(item.value if item else None, item.mod_revision if item else 0)
        if item is not None:
            return item.mod_revision
        term = await self.ask(STORE, GetKey(TERM_KEY))
        return term.mod_revision if term is not None else 1

    def _observe(self, value: str | None, revision: int) -> None:
        """Take over a state of the record.

        Args:
            value: The record, None if it is absent.
            revision: Of the change that a watch told, 0 for an absent record
                that was read.
        """
        known = self._holder.revision if self._holder is not None else 0
        if 0 < revision < known:
            # A watch tells of changes before this node's own record.
            return
        if value is None:
            self._holder = None
            self._announce("", "", 0)
            if not self._stopping:
                # The last holder is given the first chance: it knows all.
                delay = 0.0 if self.leading else self._campaign_delay_s()
                self.tell(TIMERS, Subscribe(self.name, "campaign", delay))
            return
        document = json.loads(value)
        holder = Holder(
            document["node"],
            document["address"],
            document["life"],
            document["term"],
            revision,
        )
        self._holder = holder
        self._announce(holder.node_id, holder.address, holder.term)
        mine = holder.incarnation == self._identity.incarnation
        if not mine and self.leading:
            self._chart.step("deposed", f"{holder.node_id} holds term {holder.term}")
        elif not mine and holder.node_id == self._identity.node_id:
            # The record of an earlier incarnation of this process.
            self._dead_revision = revision
            self._chart.step("vacant", "earlier life")
        else:
            self.tell(TIMERS, Unsubscribe(self.name, "campaign"))

    def _announce(self, node_id: str, address: str, term: int) -> None:
        if self._announced == (node_id, term):
            return
        self._announced = (node_id, term)
        _logger.info("coordinator known", extra={"coordinator": node_id, "term": term})
        for subscriber in self._subscribers:
            self.tell(subscriber, CoordinatorKnown(node_id, address, term))

    def _coordinator_silent(self, message: CoordinatorUnreachable) -> None:
        if self._stopping or self._holder is None:
            return
        if self._holder.address == message.address and not self.leading:
            self._dead_revision = self._holder.revision
            delay = self._campaign_delay_s()
            self.tell(TIMERS, Subscribe(self.name, "campaign", delay))

    def _campaign_delay_s(self) -> float:
        return self._handicap_s + self._jitter.uniform(0.02, CAMPAIGN_JITTER_S)

    def _fenced(self, message: Fenced) -> None:
        _logger.warning("higher term seen", extra={"source": message.source})
        self._chart.step("deposed", message.source)

    def _resign(self, message: Resign) -> None:
        """Leave the record to a node that can carry it."""
        _logger.warning("coordinator resigns", extra={"reason": message.reason})
        self._handicap_s += RESIGNED_DELAY_S
        self._chart.step("resign", message.reason)

    async def _acquire(self) -> None:
        """Write the record, on the condition that it did not change."""
        event = "failed"
        result: tuple[int, int] | None = None
        try:
            # A slow store answers each call late, so the calls overlap.
            sent_at = boot_clock()
            holder, term_item, lease = await gatherResults(
                [
                    self.ask(STORE, GetKey(COORDINATOR_KEY)),
                    self.ask(STORE, GetKey(TERM_KEY)),
                    self.ask(STORE, GrantLease(LEASE_TTL_S)),
                ],
                consumeErrors=True,
            )
            if holder is None or holder.mod_revision == self._dead_revision:
                result = await self._write_record(holder, term_item, lease, sent_at)
                event = "acquired" if result else "failed"
        except FirstError as error:
            _log_failed_election(error.subFailure.value)
        except RedwingrudderError as error:
            _log_failed_election(error)
        if result is not None:
            self._chart.step(event, result)
            return
        self._chart.step(event, "race or store")
        if not self._stopping and self._holder is None:
            self.tell(TIMERS, Subscribe(self.name, "campaign", RETRY_S))

    async def _write_record(
        self,
        holder: KeyValue | None,
        term_item: KeyValue | None,
        lease: int,
        sent_at: float,
    ) -> tuple[int, int] | None:
        """Return the new term and the revision of its key, None if it lost."""
        term = int(term_item.value) + 1 if term_item is not None else 1
        record = json.dumps(
            {
                "node": self._identity.node_id,
                "address": self._identity.address,
                "life": self._identity.incarnation,
                "term": term,
            }
        )
        compares = (
            Compare(COORDINATOR_KEY, holder.mod_revision if holder else 0),
            Compare(TERM_KEY, term_item.mod_revision if term_item else 0),
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
        self.tell(COORDINATOR, LeaseConfirmed(sent_at + LEASE_TTL_S))
        return term, revision

    async def _read_own_term(self, record: str, term: int) -> int:
        """Return the revision of an unanswered write, 0 if it is void."""
        written: KeyValue | None = await self.ask(STORE, GetKey(COORDINATOR_KEY))
        if written is None or written.value != record:
            return 0
        current: KeyValue | None = await self.ask(STORE, GetKey(TERM_KEY))
        if current is None or int(current.value) != term:
            return 0
        return current.mod_revision

    def _begin_term(self, result: tuple[int, int]) -> None:
        term, revision = result
        self._holder = Holder(*self._identity, term, revision)
        self._announce(self._identity.node_id, self._identity.address, term)
        self.tell(COORDINATOR, BeginTerm(term, revision))

    async def _renew(self) -> None:
        sent_at = boot_clock()
        lease = self._lease
        try:
            remaining_s = await self.ask(STORE, KeepLeaseAlive(lease))
        except RedwingrudderError as error:
            _logger.info("lease not renewed", extra={"error": str(error)})
            return
        if not self.leading or lease != self._lease:
            return
        if remaining_s:
            self.tell(COORDINATOR, LeaseConfirmed(sent_at + LEASE_TTL_S))
        else:
            _logger.warning("lease has ended", extra={"lease": lease})
            await self._read_after_lapse()

    async def _read_after_lapse(self) -> None:
        try:
            item: KeyValue | None = await self.ask(STORE, GetKey(COORDINATOR_KEY))
        except RedwingrudderError as error:
            _logger.info("record not read", extra={"error": str(error)})
            return
        self._observe(item.value if item else None, item.mod_revision if item else 0)

    async def _withdraw(self) -> None:
        """Remove the record if it is still this process's own."""
        try:
            holder = self._holder
            if holder is None or holder.incarnation != self._identity.incarnation:
                return
            compare = Compare(COORDINATOR_KEY, holder.revision)
            await self.ask(STORE, Transact((compare,), (DeleteKey(COORDINATOR_KEY),)))
        except RedwingrudderError as error:
            _logger.info("record not withdrawn", extra={"error": str(error)})
