"""Messages between the actors of one node.

The constants below are the names of the actors. A message whose description
starts with "Ask" is sent with ``ask``, and the type of its reply follows the
arrow. The other messages are sent with ``tell``. An ask fails with a subclass
of ``RedwingrudderError``.
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


# Requests about jobs. HTTP_API sends them to ROUTER. ROUTER sends them to
# DISPATCHER, or to PEERS inside ``AskPeer``. PEERS sends those of other nodes
# to DISPATCHER.


class SubmitJob(NamedTuple):
    """Ask -> ``JobView``.

    A submission that is repeated with the same idempotency key and content
    gets the same job.
    """

    spec: JobSpec
    correlation_id: str


class PollJob(NamedTuple):
    """Ask -> ``JobView``, when the job has ended or ``wait_s`` is over."""

    job_id: str
    wait_s: float


class CancelJob(NamedTuple):
    """Ask -> ``JobView`` once the effect of the cancellation is known."""

    job_id: str


class ExplainJob(NamedTuple):
    """Ask -> ``Explanation`` of the state of a job."""

    job_id: str


class GetStatus(NamedTuple):
    """Ask -> ``DomainStatus`` of the owner's failure domain."""


class Explanation(NamedTuple):
    """The reasons why a job is waiting, running or refused."""

    job_id: str
    state: str
    reasons: tuple[str, ...]


class OrganisationStatus(NamedTuple):
    """Use of a failure domain by one organisation.

    ``guaranteed`` and ``in_use`` are numbers of accelerators.
    """

    organisation: str
    guaranteed: int
    in_use: int
    queued_jobs: int


class ClassStatus(NamedTuple):
    """Numbers of jobs of one class since the domain's owner took over."""

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
    """State of one failure domain, as known to its owner.

    ``largest_gang`` is the number of accelerators of the largest gang of
    adjacent accelerators that could be placed now. Its ratio to
    ``free_accelerators`` measures fragmentation.
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
    """Status of the whole deployment.

    ``unreachable`` has the names of the failure domains whose owners did not
    answer.
    """

    failure_domains: tuple[DomainStatus, ...]
    unreachable: tuple[str, ...]


class AskPeer(NamedTuple):
    """Ask of PEERS -> the reply of another node's dispatcher to ``request``.

    It fails with ``UnavailableError`` when the request was not sent, and with
    ``OutcomeUnknownError`` when it was sent but got no reply.
    ``address`` is the thrift port of the node as ``host:port``.
    """

    address: str
    request: SubmitJob | PollJob | CancelJob | ExplainJob | GetStatus


# Ownership of the failure domain. OWNERSHIP tells these to its subscribers,
# among them DISPATCHER, ROUTER and PEERS.


class OwnershipGained(NamedTuple):
    """This node has become the owner of its failure domain.

    The workers are to be claimed with ``epoch``, the fencing token.
    """

    epoch: Epoch


class EpochRaised(NamedTuple):
    """This node still owns its failure domain, now with a higher epoch."""

    epoch: Epoch


class OwnershipEnded(NamedTuple):
    """This node no longer owns its domain; scheduling state is discarded."""

    reason: str


class OwnerChanged(NamedTuple):
    """The owner of a failure domain, as far as this node knows.

    ``address`` is its thrift port as ``host:port``. ``node_id`` is empty when
    no owner is known.
    """

    failure_domain: str
    node_id: str
    address: str
    epoch: Epoch


class Fenced(NamedTuple):
    """Sent to OWNERSHIP when a worker rejects a command with ``epoch``.

    ``highest`` is the highest epoch that the worker has seen.
    """

    epoch: Epoch
    highest: Epoch


class Drain(NamedTuple):
    """Ask of HTTP_API, DISPATCHER, OWNERSHIP or PEERS -> None when drained."""


# Membership of the deployment. MEMBERSHIP tells the changes to DISPATCHER,
# PEERS, ROUTER and OWNERSHIP.


class VmInfo(NamedTuple):
    """An entry of the platform's VM list.

    ``role`` is "worker" or "node"; ``state`` is "live" or "leaving".
    ``address`` is the ``host:port`` of a worker's HTTP interface or of a
    node's thrift port. ``rank`` orders the nodes of a failure domain; it is 0
    for workers.
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
    """The VM list as last read; sent after each change."""

    vms: tuple[VmInfo, ...]


class PeerReport(NamedTuple):
    """State of a node; sent to OWNERSHIP and ROUTER by PEERS.

    ROUTER also receives the report of this node, whose load comes from
    ``LocalLoad``.
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
    """Sent to OWNERSHIP and ROUTER when a node does not answer.

    ``silent_s`` is the time in seconds for which it has not answered.
    """

    node_id: str
    failure_domain: str
    silent_s: float


class LocalLoad(NamedTuple):
    """Load of the failure domain that this node owns.

    Sent to PEERS by DISPATCHER about once a second.
    """

    free_accelerators: int
    largest_free_gang: int
    queued_jobs: int


# Configuration. CONFIGURATION tells ``messages.ConfigurationChanged`` to
# DISPATCHER, ROUTER, HTTP_API, PEERS and the metrics actor.


class GetConfiguration(NamedTuple):
    """Ask -> ``Configuration``; ``no_configuration`` if there is none yet."""


class ApplyConfiguration(NamedTuple):
    """Ask -> the accepted ``Configuration``.

    ``document`` is the JSON document of the operators. ``base_version`` is
    the version that the operator has edited; the ask fails with
    ``configuration_conflict`` when it is not the current version.
    """

    document: str
    base_version: int


class OfferConfiguration(NamedTuple):
    """Sent to CONFIGURATION by PEERS: the configuration in force at a peer."""

    configuration: Configuration


class GetPeerConfiguration(NamedTuple):
    """Ask of PEERS -> a peer's ``Configuration``, or None.

    The reply is None when the peer has no version above ``above_version``.
    """

    address: str
    above_version: int
