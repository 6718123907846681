"""Model of two nodes that may own one failure domain with one worker.

No step is ever forced, so a node may pause at any point for any time.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from ._ownership_chart import load_ownership_chart
from ._spec_common import Coverage, Model
from .model import Epoch

FENCED = "I2: a worker accepts no command with an epoch below its highest"
UNIQUE = "I5: no two ownership terms have the same epoch"
RISING = "I5: the store gives each new owner a higher epoch than all before"

CHART = load_ownership_chart()
UNCLAIMED = Epoch(0, 0, 0)
MAX_OUTAGES = 1
MAX_LEASE_LAPSES = 1
MAX_DRAINS = 1
MAX_LOCAL_TERM = 1  # raised by a node that takes over while the store is down
MAX_STORE_TERMS = 3

# States of an attempt to acquire the owner record.
SENT, HELD, RACED = "sent", "held", "raced"


class Flaw(enum.StrEnum):
    """A rule of the protocol that a broken variant of the model leaves out."""

    NONE = ""
    NO_FENCING = "the worker accepts every epoch"
    NO_RANK = "epochs without the rank of the node"
    NO_COUNTER = "store terms from the record instead of a lasting counter"


FLAWS = (
    (Flaw.NO_FENCING, FENCED),
    (Flaw.NO_RANK, UNIQUE),
    (Flaw.NO_COUNTER, RISING),
)


class Node(NamedTuple):
    """A node.

    Attributes:
        state: State of the ownership chart.
        epoch: The epoch under which the node owns the domain, None without
            ownership.
        highest: The highest epoch that the node knows of.
        call: The attempt to acquire the owner record: "" for none, "sent",
            "held" when another owner holds the record, or the epoch that was
            acquired; the last two are replies on their way.
    """

    state: str
    epoch: Epoch | None = None
    highest: Epoch = UNCLAIMED
    call: str | Epoch = ""


class Domain(NamedTuple):
    """A state of the model.

    The fields from ``used_epochs`` on only serve the invariants.

    Attributes:
        nodes: Both nodes.
        record: The owner record: the number of the node and its epoch.
        counter: Number of store terms that the store has given out.
        store_up: Whether the store is available.
        outages_left: Store outages that may still begin.
        lapses_left: Lapses of the record lease that may still occur.
        drains_left: Planned stops of a node that may still occur.
        worker_epoch: The highest epoch under which the worker was claimed.
        used_epochs: All epochs under which a node owned the domain.
        highest_stored: The highest epoch ever written to the record.
        accepted_stale: Whether the worker accepted a command of an epoch
            below ``worker_epoch``.
        epoch_repeated: Whether two ownership terms had the same epoch.
        epoch_fell: Whether a written epoch was not above all earlier ones.
    """

    nodes: tuple[Node, ...]
    record: tuple[int, Epoch] | None = None
    counter: int = 0
    store_up: bool = True
    outages_left: int = MAX_OUTAGES
    lapses_left: int = MAX_LEASE_LAPSES
    drains_left: int = MAX_DRAINS
    worker_epoch: Epoch = UNCLAIMED
    used_epochs: frozenset[Epoch] = frozenset()
    highest_stored: Epoch = UNCLAIMED
    accepted_stale: bool = False
    epoch_repeated: bool = False
    epoch_fell: bool = False


Steps = Iterator[tuple[str, Domain]]


def build_model(coverage: Coverage, flaw: Flaw = Flaw.NONE) -> Model:
    """Return the model, or the variant without the rule ``flaw``."""
    initial = Domain((Node(CHART.initial), Node(CHART.initial)))
    invariants = {
        FENCED: lambda domain: not domain.accepted_stale,
        UNIQUE: lambda domain: not domain.epoch_repeated,
        RISING: lambda domain: not domain.epoch_fell,
    }
    successors = _Successors(coverage, flaw)
    return Model("ownership", flaw, initial, successors, invariants)


class _Successors:
    """Returns all steps that may follow a state; called by the checker."""

    def __init__(self, coverage: Coverage, flaw: Flaw) -> None:
        self._coverage = coverage
        self._flaw = flaw

    def __call__(self, domain: Domain) -> Steps:
        yield from self._environment_steps(domain)
        for index, node in enumerate(domain.nodes):
            if node.state in CHART.final_states:
                continue
            for event in self._local_events(domain, index, node):
                yield f"node {index}: {event}", self._fire(domain, index, event)
            yield from self._store_steps(domain, index, node)
            if node.epoch is not None:
                yield from self._worker_steps(domain, index, node.epoch)
            # Only node 0 is drained; node 1 may then take over the domain.
            if domain.drains_left and index == 0:
                drained = domain._replace(drains_left=domain.drains_left - 1)
                yield f"node {index}: drain", self._fire(drained, index, "drain")

    def _environment_steps(self, domain: Domain) -> Steps:
        if domain.record is not None and domain.lapses_left:
            lapsed = domain._replace(record=None, lapses_left=domain.lapses_left - 1)
            yield "lease of the record lapses", lapsed
        if domain.store_up and domain.outages_left:
            down = domain._replace(store_up=False, outages_left=domain.outages_left - 1)
            yield "store goes down", down
        if not domain.store_up:
            yield "store comes back", domain._replace(store_up=True)

    def _local_events(self, domain: Domain, index: int, node: Node) -> Iterator[str]:
        """Yield the events that a node may raise from its own observations."""
        if domain.store_up:
            yield self._record_event(domain, index)
        elif node.state == "verifying":
            yield "store_lost"
        elif node.state == "following" and node.highest.local_term < MAX_LOCAL_TERM:
            yield "owner_silent"
        if domain.store_up and node.state != "following":
            yield "lease_lapsed"

    def _record_event(self, domain: Domain, index: int) -> str:
        if domain.record is None:
            return "record_absent"
        return "record_own" if domain.record[0] == index else "record_held"

    def _store_steps(self, domain: Domain, index: int, node: Node) -> Steps:
        name = f"node {index}"
        if node.call == SENT and not domain.store_up:
            yield (
                f"{name}: call failed",
                self._handle_reply(domain, index, "store_lost"),
            )
        elif node.call == SENT and domain.record is not None:
            held = _with_node(domain, index, node._replace(call=HELD))
            yield f"{name}: record is held", held
        elif node.call == SENT and domain.counter < MAX_STORE_TERMS:
            yield f"{name}: record written", self._write_record(domain, index, node)
        elif node.call == HELD:
            yield (
                f"{name}: call answered",
                self._handle_reply(domain, index, "record_held"),
            )
        elif isinstance(node.call, Epoch):
            yield (
                f"{name}: call answered",
                self._handle_reply(domain, index, "acquired"),
            )
            yield (
                f"{name}: reply lost",
                self._handle_reply(domain, index, "store_lost"),
            )

    def _write_record(self, domain: Domain, index: int, node: Node) -> Domain:
        term = max(domain.counter, node.highest.store_term) + 1
        if self._flaw is Flaw.NO_COUNTER:
            term = node.highest.store_term + 1
        epoch = Epoch(term, 0, self._rank(index))
        return _with_node(domain, index, node._replace(call=epoch))._replace(
            record=(index, epoch),
            counter=domain.counter + 1,
            highest_stored=max(domain.highest_stored, epoch),
            epoch_fell=domain.epoch_fell or epoch <= domain.highest_stored,
        )

    def _worker_steps(self, domain: Domain, index: int, epoch: Epoch) -> Steps:
        if epoch < domain.worker_epoch:
            node = domain.nodes[index]
            highest = max(node.highest, domain.worker_epoch)
            fenced_node = _with_node(domain, index, node._replace(highest=highest))
            yield f"node {index}: fenced", self._fire(fenced_node, index, "fenced")
        else:
            claimed = domain._replace(worker_epoch=epoch)
            yield f"node {index}: claims the worker", claimed
        if self._flaw is Flaw.NO_FENCING or epoch == domain.worker_epoch:
            stale = domain.accepted_stale or epoch < domain.worker_epoch
            accepted = domain._replace(accepted_stale=stale)
            yield f"node {index}: command accepted", accepted

    def _handle_reply(self, domain: Domain, index: int, event: str) -> Domain:
        node = domain.nodes[index]
        cleared = _with_node(domain, index, node._replace(call=""))
        return self._fire(cleared, index, event, node.call)

    def _fire(
        self, domain: Domain, index: int, event: str, acquired: str | Epoch = ""
    ) -> Domain:
        node = domain.nodes[index]
        step = self._coverage.step(CHART, node.state, event)
        if event == "record_held" and domain.record is not None:
            highest = max(node.highest, domain.record[1])
            node = node._replace(highest=highest)
        domain = _with_node(domain, index, node._replace(state=step.target))
        for action in step.actions:
            domain = getattr(self, f"_{action}")(domain, index, acquired)
        return domain

    # Actions of the ownership chart, called by name in _fire.

    def _acquire_record(self, domain: Domain, index: int, _: str | Epoch) -> Domain:
        node = domain.nodes[index]
        # Only one acquisition is in flight at a time: while an earlier one is
        # unanswered, its reply is used.
        return _with_node(domain, index, node._replace(call=node.call or SENT))

    def _read_record(self, domain: Domain, index: int, _: str | Epoch) -> Domain:
        return domain

    def _release_record(self, domain: Domain, index: int, _: str | Epoch) -> Domain:
        own = domain.record is not None and domain.record[0] == index
        return domain._replace(record=None) if own and domain.store_up else domain

    def _hand_over(self, domain: Domain, index: int, cause: str | Epoch) -> Domain:
        return self._release_record(domain, index, cause)

    def _raise_local_term(self, domain: Domain, index: int, _: str | Epoch) -> Domain:
        node = domain.nodes[index]
        term = node.highest.local_term + 1
        epoch = Epoch(node.highest.store_term, term, self._rank(index))
        return _with_node(domain, index, node._replace(epoch=epoch))

    def _begin_owning(
        self, domain: Domain, index: int, acquired: str | Epoch
    ) -> Domain:
        node = domain.nodes[index]
        epoch = acquired if isinstance(acquired, Epoch) else node.epoch
        highest = max(node.highest, epoch)
        owner = node._replace(epoch=epoch, highest=highest)
        return _with_node(domain, index, owner)._replace(
            used_epochs=domain.used_epochs | {epoch},
            epoch_repeated=domain.epoch_repeated or epoch in domain.used_epochs,
        )

    def _raise_epoch(self, domain: Domain, index: int, acquired: str | Epoch) -> Domain:
        return self._begin_owning(domain, index, acquired)

    def _end_owning(self, domain: Domain, index: int, _: str | Epoch) -> Domain:
        return _with_node(domain, index, domain.nodes[index]._replace(epoch=None))

    def _rank(self, index: int) -> int:
        return 0 if self._flaw is Flaw.NO_RANK else index + 1


def _with_node(domain: Domain, index: int, node: Node) -> Domain:
    nodes = (*domain.nodes[:index], node, *domain.nodes[index + 1 :])
    return domain._replace(nodes=nodes)
