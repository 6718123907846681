"""Messages between the actors of one node.

The names of the actors are the constants below. A message marked *ask* has
a reply, given after the arrow; the others are sent with ``tell``. Errors of
an ask are ``RedwingrudderError`` subclasses.
"""

from typing import NamedTuple

from ._store_requests import (
    Compare,
    DeleteKey,
    GetKey,
    GetPrefix,
    GrantLease,
    KeepLeaseAlive,
    KeyChange,
    KeyValue,
    ListVms,
    PrefixReply,
    PutKey,
    RevokeLease,
    StoreStatus,
    SubscribeStoreStatus,
    Transact,
    TransactReply,
    WatchChanged,
    WatchPrefix,
    WatchReset,
)
from .model import Configuration, Epoch, GuaranteeShortage, JobSpec

__all__ = [
    "ApplyConfiguration",
    "AskPeer",
    "CONFIGURATION",
    "CancelJob",
    "ClassStatus",
    "Compare",
    "DISPATCHER",
    "DeleteKey",
    "DeploymentStatus",
    "DomainStatus",
    "Drain",
    "EpochRaised",
    "ExplainJob",
    "Explanation",
    "Fenced",
    "GetConfiguration",
    "GetDeploymentStatus",
    "GetKey",
    "GetPeerConfiguration",
    "GetPrefix",
    "GetStatus",
    "GrantLease",
    "HTTP_API",
    "KeepLeaseAlive",
    "KeyChange",
    "KeyValue",
    "ListVms",
    "LocalLoad",
    "MEMBERSHIP",
    "MembersChanged",
    "OWNERSHIP",
    "OfferConfiguration",
    "OrganisationStatus",
    "OwnerChanged",
    "OwnershipEnded",
    "OwnershipGained",
    "PEERS",
    "PeerReport",
    "PeerSilent",
    "PollJob",
    "PrefixReply",
    "PutKey",
    "ROUTER",
    "RevokeLease",
    "STORE",
    "StoreStatus",
    "SubmitJob",
    "SubscribeStoreStatus",
    "Transact",
    "TransactReply",
    "VmInfo",
    "WatchChanged",
    "WatchPrefix",
    "WatchReset",
]

STORE = "store"
CONFIGURATION = "configuration"
OWNERSHIP = "ownership"
MEMBERSHIP = "membership"
DISPATCHER = "dispatcher"
ROUTER = "router"
PEERS = "peers"
HTTP_API = "http_api"


# Jobs: asked of ROUTER by HTTP_API, of DISPATCHER by ROUTER and PEERS, and
# of PEERS by ROUTER inside ``AskPeer``.


class SubmitJob(NamedTuple):
    """Ask -> ``JobView``; the same key and body give the same job."""

    spec: JobSpec
    correlation_id: str


class PollJob(NamedTuple):
    """Ask -> ``JobView``, when the job is final or ``wait_s`` has passed."""

    job_id: str
    wait_s: float


class CancelJob(NamedTuple):
    """Ask -> ``JobView`` once the effect of the cancellation is known."""

    job_id: str


class ExplainJob(NamedTuple):
    """Ask -> ``Explanation``."""

    job_id: str


class GetStatus(NamedTuple):
    """Ask -> ``DomainStatus`` of the failure domain."""


class Explanation(NamedTuple):
    """Why a job waits, runs or was refused."""

    job_id: str
    state: str
    reasons: tuple[str, ...]


class OrganisationStatus(NamedTuple):
    """Accelerators of one organisation in a failure domain."""

    organisation: str
    guaranteed: int
    in_use: int
    queued_jobs: int


class ClassStatus(NamedTuple):
    """Jobs of one class in a failure domain since its owner took over."""

    job_class: str
    submitted: int
    queued: int
    running: int
    succeeded: int
    failed: int
    not_run: int
    interrupted: int
    target_met: int
    target_missed: int


class DomainStatus(NamedTuple):
    """State of one failure domain, as its owner knows it.

    ``largest_gang`` is the largest gang of adjacent accelerators that could
    be placed now; over ``free_accelerators`` it measures fragmentation.
    """

    failure_domain: str
    owner: str
    epoch: Epoch
    configuration_version: int
    workers: int
    draining_workers: int
    quarantined_workers: int
    accelerators: int
    free_accelerators: int
    largest_gang: int
    queued_jobs: int
    running_gangs: int
    organisations: tuple[OrganisationStatus, ...]
    classes: tuple[ClassStatus, ...]
    shortages: tuple[GuaranteeShortage, ...]


class GetDeploymentStatus(NamedTuple):
    """Ask of ROUTER -> ``DeploymentStatus``."""


class DeploymentStatus(NamedTuple):
    """The failure domains whose owners answered, and the others' names."""

    failure_domains: tuple[DomainStatus, ...]
    unreachable: tuple[str, ...]


class AskPeer(NamedTuple):
    """Ask of PEERS -> the reply of ``request`` at the node's dispatcher.

    Raises ``UnavailableError`` when nothing was sent and
    ``OutcomeUnknownError`` when the request was sent without an answer.
    """

    address: str
    request: SubmitJob | PollJob | CancelJob | ExplainJob | GetStatus


# Ownership of the failure domain: told to DISPATCHER, ROUTER and PEERS.


class OwnershipGained(NamedTuple):
    """This node owns its failure domain; claim workers with this epoch."""

    epoch: Epoch


class EpochRaised(NamedTuple):
    """This node still owns its domain, under a higher epoch."""

    epoch: Epoch


class OwnershipEnded(NamedTuple):
    """This node no longer owns its domain; drop all scheduling state."""

    reason: str


class OwnerChanged(NamedTuple):
    """The known owner of a failure domain; ``address`` is its thrift port."""

    failure_domain: str
    node_id: str
    address: str
    epoch: Epoch


class Fenced(NamedTuple):
    """Told to OWNERSHIP: a worker rejected ``epoch`` for a higher one."""

    epoch: Epoch
    highest: Epoch


class Drain(NamedTuple):
    """Ask of OWNERSHIP, HTTP_API, DISPATCHER -> None when drained."""


# Membership: told to DISPATCHER, PEERS, ROUTER, OWNERSHIP.


class VmInfo(NamedTuple):
    """An entry of the platform's VM list.

    ``role`` is "worker" or "node"; ``state`` is "live" or "leaving".
    ``address`` is host:port of the worker's HTTP or the node's thrift port.
    ``rank`` orders the nodes of a failure domain, 0 for workers.
    """

    vm_id: str
    role: str
    state: str
    address: str
    failure_domain: str
    rack: str
    rank: int
    accelerators: int
    slots: int
    cores: int
    memory_mb: int


class MembersChanged(NamedTuple):
    """The VM list as last read; sent after every change."""

    vms: tuple[VmInfo, ...]


class PeerReport(NamedTuple):
    """A node's state; told to OWNERSHIP, ROUTER and CONFIGURATION by PEERS.

    Also told to PEERS by DISPATCHER-side parts is ``LocalLoad`` below.
    """

    node_id: str
    node_rank: int
    failure_domain: str
    address: str
    owner: bool
    epoch: Epoch
    configuration_version: int
    free_accelerators: int
    largest_free_gang: int
    queued_jobs: int
    draining: bool


class PeerSilent(NamedTuple):
    """Told to OWNERSHIP and ROUTER: no exchange for ``silent_s`` seconds."""

    node_id: str
    failure_domain: str
    silent_s: float


class LocalLoad(NamedTuple):
    """Told to PEERS by DISPATCHER about once a second while it owns."""

    free_accelerators: int
    largest_free_gang: int
    queued_jobs: int


# Configuration: ``messages.ConfigurationChanged`` is told to DISPATCHER,
# ROUTER, HTTP_API and PEERS.


class GetConfiguration(NamedTuple):
    """Ask -> ``Configuration``; ``no_configuration`` when there is none."""


class ApplyConfiguration(NamedTuple):
    """Ask -> ``Configuration`` as accepted.

    ``document`` is the operators' JSON document. ``base_version`` is the
    version that the operator edited; ``configuration_conflict`` when it is
    not the current one.
    """

    document: str
    base_version: int


class OfferConfiguration(NamedTuple):
    """Told to CONFIGURATION by PEERS: a document that a peer has in force."""

    configuration: Configuration


class GetPeerConfiguration(NamedTuple):
    """Ask of PEERS -> ``Configuration`` above a version, or None."""

    address: str
    above_version: int
