"""Model of two operators, two nodes and the configuration in the store.

A document is named by its version and the operator who wrote it.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from ._spec_common import Coverage, Model
from .configuration import _ACTIONS, _EVENTS
from .statecharts import load_chart

NEVER_REVERTS = "I8: the version in force on a node never falls"
ONE_DOCUMENT = "I8: a version has one document on all nodes"
NEVER_LOST = "I8: an accepted version stays in the store"
REFUSED_IS_OUT = "I8: a change that was refused is never in force"

CHART = load_chart("configuration", _EVENTS, _ACTIONS)
MAX_OUTAGES = 1
MAX_WATCH_RESETS = 1
OPERATORS = (0, 1)
IDLE, SENT, UNSURE = "idle", "sent", "unsure"
ACCEPTED, REFUSED = "accepted", "refused"


class Flaw(enum.StrEnum):
    """A rule that a broken variant leaves out."""

    NONE = ""
    ADOPT_ANY = "a node adopts any version"
    BLIND_WRITE = "the write does not compare the head"
    NO_NONCE = "a lost reply is taken for a conflict"


FLAWS = (
    (Flaw.ADOPT_ANY, NEVER_REVERTS),
    (Flaw.BLIND_WRITE, ONE_DOCUMENT),
    (Flaw.BLIND_WRITE, NEVER_LOST),
    (Flaw.NO_NONCE, REFUSED_IS_OUT),
)


class Document(NamedTuple):
    """A version and its operator."""

    version: int
    operator: int


class Node(NamedTuple):
    """A node; ``read`` and ``offer`` are documents on their way to it.

    ``seen`` is the last version that its watch delivered, -1 without a watch;
    ``reading`` is true from the request until the answer.
    """

    state: str
    in_force: Document | None = None
    seen: int = -1
    read_pending: bool = False
    read: Document | None = None
    offer: Document | None = None


class Operator(NamedTuple):
    """An operator's one change; ``base`` is the version that was edited."""

    state: str = IDLE
    base_version: int = 0
    written_version: int = 0


class Deployment(NamedTuple):
    """Everything; ``store`` holds the operator of each version in order."""

    nodes: tuple[Node, ...]
    operators: tuple[Operator, ...] = (Operator(), Operator())
    store: tuple[int, ...] = ()
    store_up: bool = True
    outages_left: int = MAX_OUTAGES
    resets_left: int = MAX_WATCH_RESETS
    ever_in_force: frozenset[Document] = frozenset()
    reverted: bool = False


Steps = Iterator[tuple[str, Deployment]]


def build_model(coverage: Coverage, flaw: Flaw = Flaw.NONE) -> Model:
    """Return the model, or a broken variant of it."""
    initial = Deployment((Node(CHART.initial), Node(CHART.initial)))
    invariants = {
        NEVER_REVERTS: lambda deployment: not deployment.reverted,
        ONE_DOCUMENT: _have_one_document,
        NEVER_LOST: _are_accepted_stored,
        REFUSED_IS_OUT: _are_refused_unused,
    }
    successors = _Successors(coverage, flaw)
    return Model("configuration", flaw, initial, successors, invariants)


def _have_one_document(deployment: Deployment) -> bool:
    versions = [document.version for document in deployment.ever_in_force]
    return len(versions) == len(set(versions))


def _are_accepted_stored(deployment: Deployment) -> bool:
    return all(
        deployment.store[operator.written_version - 1] == index
        for index, operator in enumerate(deployment.operators)
        if operator.state == ACCEPTED
    )


def _are_refused_unused(deployment: Deployment) -> bool:
    refused = {
        index
        for index, operator in enumerate(deployment.operators)
        if operator.state == REFUSED
    }
    return not refused & {document.operator for document in deployment.ever_in_force}


class _Successors:
    """All steps that may follow a state."""

    def __init__(self, coverage: Coverage, flaw: Flaw) -> None:
        self._coverage = coverage
        self._flaw = flaw

    def __call__(self, deployment: Deployment) -> Steps:
        yield from self._environment_steps(deployment)
        for index, node in enumerate(deployment.nodes):
            yield from self._node_steps(deployment, index, node)
        for index, operator in enumerate(deployment.operators):
            yield from self._operator_steps(deployment, index, operator)

    def _environment_steps(self, deployment: Deployment) -> Steps:
        if deployment.store_up and deployment.outages_left:
            outages_left = deployment.outages_left - 1
            yield (
                "store goes down",
                deployment._replace(store_up=False, outages_left=outages_left),
            )
        if not deployment.store_up:
            yield "store comes back", deployment._replace(store_up=True)

    def _node_steps(self, deployment: Deployment, index: int, node: Node) -> Steps:
        name = f"node {index}"
        status = "store_available" if deployment.store_up else "store_lost"
        yield f"{name}: {status}", self._fire(deployment, index, status)
        if node.read_pending:
            yield from self._read_steps(deployment, index, node)
        else:
            yield f"{name}: retry", self._fire(deployment, index, "retry_due")
        if deployment.store_up and node.seen >= 0:
            yield from self._watch_steps(deployment, index, node)
        if node.offer is not None:
            after = _with_node(deployment, index, node._replace(offer=None))
            adopted = self._fire(after, index, "offered", node.offer)
            yield f"{name}: offer taken", adopted
        else:
            offer = deployment.nodes[1 - index].in_force
            if offer is not None and offer != node.in_force:
                sent = _with_node(deployment, index, node._replace(offer=offer))
                yield f"{name}: peer answers", sent

    def _watch_steps(self, deployment: Deployment, index: int, node: Node) -> Steps:
        name = f"node {index}"
        reset = deployment._replace(resets_left=deployment.resets_left - 1)
        # The nodes are alike, so it is enough that the watch of one breaks.
        may_reset = deployment.resets_left and index == 0
        if may_reset:
            unwatched_node = _with_node(reset, index, node._replace(seen=-1))
            after = self._fire(unwatched_node, index, "watch_reset")
            yield f"{name}: watch reset", after
        if node.seen < len(deployment.store):
            seen = node._replace(seen=node.seen + 1)
            after = _with_node(deployment, index, seen)
            yield f"{name}: change seen", self._fire(after, index, "changed")
            if may_reset:
                skipped = _with_node(reset, index, seen)
                after = self._fire(skipped, index, "gap_found")
                yield f"{name}: change not understood", after

    def _read_steps(self, deployment: Deployment, index: int, node: Node) -> Steps:
        name = f"node {index}"
        if node.read is not None:
            done = node._replace(read_pending=False, read=None)
            after = _with_node(deployment, index, done)
            read = node.read if node.read.version else None
            answered = self._fire(after, index, "document_read", read)
            yield f"{name}: read answered", answered
        elif deployment.store_up:
            version = len(deployment.store)
            operator = deployment.store[-1] if version else -1
            read = node._replace(read=Document(version, operator))
            yield f"{name}: document read", _with_node(deployment, index, read)
        else:
            after = _with_node(deployment, index, node._replace(read_pending=False))
            yield f"{name}: read failed", self._fire(after, index, "read_failed")

    def _operator_steps(
        self, deployment: Deployment, index: int, operator: Operator
    ) -> Steps:
        name = f"operator {index}"
        if not deployment.store_up:
            return
        if operator.state == IDLE:
            sent = Operator(SENT, len(deployment.store))
            yield f"{name}: sends", _with_operator(deployment, index, sent)
        elif operator.state in (SENT, UNSURE):
            after, answered = self._transact(deployment, index, operator)
            yield f"{name}: answered", _with_operator(after, index, answered)
            unsure = answered._replace(state=UNSURE)
            if self._flaw is Flaw.NO_NONCE:
                unsure = answered._replace(state=REFUSED)
            yield f"{name}: reply lost", _with_operator(after, index, unsure)

    def _transact(
        self, deployment: Deployment, index: int, operator: Operator
    ) -> tuple[Deployment, Operator]:
        """Return the store after the transaction and what is confirmed."""
        if operator.written_version:
            # The change of this version has the operator's nonce.
            return deployment, operator._replace(state=ACCEPTED)
        store, version = deployment.store, operator.base_version + 1
        if self._flaw is Flaw.BLIND_WRITE:
            store = (*store[: operator.base_version], index, *store[version:])
        elif len(store) == operator.base_version:
            store = (*store, index)
        else:
            return deployment, operator._replace(state=REFUSED)
        written_version = operator._replace(state=ACCEPTED, written_version=version)
        return deployment._replace(store=store), written_version

    def _fire(
        self,
        deployment: Deployment,
        index: int,
        event: str,
        document: Document | None = None,
    ) -> Deployment:
        node = deployment.nodes[index]
        step = self._coverage.step(CHART, node.state, event)
        deployment = _with_node(deployment, index, node._replace(state=step.target))
        for action in step.actions:
            deployment = getattr(self, f"_{action}")(deployment, index, document)
        return deployment

    # Actions of the chart.

    def _read_document(
        self, deployment: Deployment, index: int, _: Document | None
    ) -> Deployment:
        node = deployment.nodes[index]
        return _with_node(deployment, index, node._replace(read_pending=True))

    def _schedule_read(
        self, deployment: Deployment, index: int, _: Document | None
    ) -> Deployment:
        return deployment

    def _watch_changes(
        self, deployment: Deployment, index: int, document: Document | None
    ) -> Deployment:
        node = deployment.nodes[index]
        version = document.version if document else 0
        return _with_node(deployment, index, node._replace(seen=version))

    def _apply_change(
        self, deployment: Deployment, index: int, _: Document | None
    ) -> Deployment:
        node = deployment.nodes[index]
        version = node.in_force.version if node.in_force else 0
        if node.seen == version + 1:
            change = Document(node.seen, deployment.store[node.seen - 1])
            return self._adopt(deployment, index, change)
        if node.seen > version:
            return self._fire(deployment, index, "gap_found")
        return deployment

    def _adopt(
        self, deployment: Deployment, index: int, document: Document | None
    ) -> Deployment:
        node = deployment.nodes[index]
        if document is None:
            return deployment
        version = node.in_force.version if node.in_force else 0
        if document.version <= version and self._flaw is not Flaw.ADOPT_ANY:
            return deployment
        adopted = _with_node(deployment, index, node._replace(in_force=document))
        return adopted._replace(
            ever_in_force=deployment.ever_in_force | {document},
            reverted=deployment.reverted or document.version < version,
        )


def _with_node(deployment: Deployment, index: int, node: Node) -> Deployment:
    nodes = (*deployment.nodes[:index], node, *deployment.nodes[index + 1 :])
    return deployment._replace(nodes=nodes)


def _with_operator(
    deployment: Deployment, index: int, operator: Operator
) -> Deployment:
    operators = deployment.operators
    changed = (*operators[:index], operator, *operators[index + 1 :])
    return deployment._replace(operators=changed)
