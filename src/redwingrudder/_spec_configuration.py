"""Model of two operators that change the configuration of two nodes.

Operators write new versions to the store with a compare-and-set transaction;
nodes learn of them from a read, a watch or an offer of the other node. A
configuration document is identified by its version and the operator who
wrote it.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from ._spec_common import Coverage, Model
from .configuration import _ACTIONS, _EVENTS
from .statecharts import load_chart

NEVER_REVERTS = "I8: the version in force on a node never decreases"
ONE_DOCUMENT = "I8: a version has one document on all nodes"
NEVER_LOST = "I8: an accepted version stays in the store"
REFUSED_NOT_IN_FORCE = "I8: a change that was refused is never in force"

CHART = load_chart("configuration", _EVENTS, _ACTIONS)
MAX_OUTAGES = 1
MAX_WATCH_RESETS = 1
OPERATORS = (0, 1)
# States of an operator.
IDLE, SENT, UNSURE = "idle", "sent", "unsure"
ACCEPTED, REFUSED = "accepted", "refused"


class Flaw(enum.StrEnum):
    """A rule of the protocol that a broken variant of the model leaves out."""

    NONE = ""
    ADOPT_ANY = "a node adopts any version"
    BLIND_WRITE = "the write does not compare the head"
    NO_NONCE = "a lost reply is taken for a conflict"


FLAWS = (
    (Flaw.ADOPT_ANY, NEVER_REVERTS),
    (Flaw.BLIND_WRITE, ONE_DOCUMENT),
    (Flaw.BLIND_WRITE, NEVER_LOST),
    (Flaw.NO_NONCE, REFUSED_NOT_IN_FORCE),
)


class Document(NamedTuple):
    """A configuration document: its version and the operator who wrote it."""

    version: int
    operator: int


class Node(NamedTuple):
    """A node.

    Attributes:
        state: State of the configuration chart.
        in_force: The document that the node uses.
        watched_version: The last version that the watch of the node
            delivered, -1 without a watch.
        read_pending: Whether a read was requested and not yet answered.
        read_reply: The reply of the store to the read, on its way to the
            node; version 0 stands for a store without a document.
        offer: A document offered by the other node, on its way to the node.
    """

    state: str
    in_force: Document | None = None
    watched_version: int = -1
    read_pending: bool = False
    read_reply: Document | None = None
    offer: Document | None = None


class Operator(NamedTuple):
    """An operator, who makes one change.

    Attributes:
        state: ``UNSURE`` when the reply to the change was lost; the operator
            then sends the change again.
        base_version: The version that the operator edited.
        written_version: The version that the change has in the store, 0 while
            it is not stored.
    """

    state: str = IDLE
    base_version: int = 0
    written_version: int = 0


class Deployment(NamedTuple):
    """A state of the model.

    Attributes:
        nodes: Both nodes.
        operators: Both operators.
        store: The operator who wrote each version, from version 1 on.
        store_up: Whether the store is available.
        outages_left: Store outages that may still begin.
        resets_left: Watch resets that may still occur.
        ever_in_force: All documents that were ever in force on a node. Only
            the invariants read it.
        reverted: Whether a node ever went back to a lower version. Only the
            invariants read it.
    """

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
    """Return the model, or the variant without the rule ``flaw``."""
    initial = Deployment((Node(CHART.initial), Node(CHART.initial)))
    invariants = {
        NEVER_REVERTS: lambda deployment: not deployment.reverted,
        ONE_DOCUMENT: _have_one_document,
        NEVER_LOST: _are_accepted_stored,
        REFUSED_NOT_IN_FORCE: _are_refused_unused,
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
    """Returns all steps that may follow a state; called by the checker."""

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
        if deployment.store_up and node.watched_version >= 0:
            yield from self._watch_steps(deployment, index, node)
        if node.offer is not None:
            after = _with_node(deployment, index, node._replace(offer=None))
            adopted = self._fire(after, index, "offered", node.offer)
            yield f"{name}: offer received", adopted
        else:
            offer = deployment.nodes[1 - index].in_force
            if offer is not None and offer != node.in_force:
                sent = _with_node(deployment, index, node._replace(offer=offer))
                yield f"{name}: peer sends an offer", sent

    def _watch_steps(self, deployment: Deployment, index: int, node: Node) -> Steps:
        name = f"node {index}"
        reset = deployment._replace(resets_left=deployment.resets_left - 1)
        # The nodes are symmetric, so only the watch of node 0 may be reset.
        may_reset = deployment.resets_left and index == 0
        if may_reset:
            unwatched_node = _with_node(reset, index, node._replace(watched_version=-1))
            after = self._fire(unwatched_node, index, "watch_reset")
            yield f"{name}: watch reset", after
        if node.watched_version < len(deployment.store):
            advanced = node._replace(watched_version=node.watched_version + 1)
            after = _with_node(deployment, index, advanced)
            yield f"{name}: change delivered", self._fire(after, index, "changed")
            if may_reset:
                skipped = _with_node(reset, index, advanced)
                after = self._fire(skipped, index, "gap_found")
                yield f"{name}: change cannot be decoded", after

    def _read_steps(self, deployment: Deployment, index: int, node: Node) -> Steps:
        name = f"node {index}"
        if node.read_reply is not None:
            idle = node._replace(read_pending=False, read_reply=None)
            after = _with_node(deployment, index, idle)
            document = node.read_reply if node.read_reply.version else None
            answered = self._fire(after, index, "document_read", document)
            yield f"{name}: read answered", answered
        elif deployment.store_up:
            version = len(deployment.store)
            operator = deployment.store[-1] if version else -1
            replied = node._replace(read_reply=Document(version, operator))
            yield f"{name}: document read", _with_node(deployment, index, replied)
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
        """Run the transaction of an operator's change.

        Returns:
            The deployment and the operator after it, with the outcome that
            the reply of the store confirms.
        """
        if operator.written_version:
            # The operator sends the change again. The stored version carries
            # the operator's nonce, so the earlier transaction took effect.
            return deployment, operator._replace(state=ACCEPTED)
        store, version = deployment.store, operator.base_version + 1
        if self._flaw is Flaw.BLIND_WRITE:
            store = (*store[: operator.base_version], index, *store[version:])
        elif len(store) == operator.base_version:
            store = (*store, index)
        else:
            return deployment, operator._replace(state=REFUSED)
        accepted = operator._replace(state=ACCEPTED, written_version=version)
        return deployment._replace(store=store), accepted

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

    # Actions of the configuration chart, called by name in _fire.

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
        return _with_node(deployment, index, node._replace(watched_version=version))

    def _apply_change(
        self, deployment: Deployment, index: int, _: Document | None
    ) -> Deployment:
        node = deployment.nodes[index]
        version = node.in_force.version if node.in_force else 0
        if node.watched_version == version + 1:
            change = Document(
                node.watched_version, deployment.store[node.watched_version - 1]
            )
            return self._adopt(deployment, index, change)
        if node.watched_version > version:
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
