"""Bodies of the platform's HTTP interface (JSON), for client and stand-in.

The store part is the subset of the etcd v3 JSON gateway that this project
uses. As published, keys and values are base64, 64-bit numbers are strings in
replies and may be strings or numbers in requests, and fields that are zero
or false are left out of replies.

================================  ====================  ==================
request                           body                  reply
================================  ====================  ==================
``POST /v3/kv/range``             ``RangeRequest``      ``RangeReply``
``POST /v3/kv/txn``               ``TxnRequest``        ``TxnReply``
``POST /v3/lease/grant``          ``GrantRequest``      ``LeaseReply``
``POST /v3/lease/keepalive``      ``LeaseRequest``      ``KeepAliveReply``
``POST /v3/lease/revoke``         ``LeaseRequest``      ``LeaseReply``
``POST /v3/watch``                ``WatchRequest``      ``WatchLine``, each
                                                        on a line
``GET /v1/vms?failure_domain=``                         ``VmListReply``
================================  ====================  ==================

The header ``X-Failure-Domain`` names the domain of the client. The VM list
has an ``ETag``; a request with ``If-None-Match`` gets 304 while it is the
same. Large bodies are sent with gzip to clients that accept it.
"""

from typing import NotRequired

from typing_extensions import TypedDict  # pydantic needs it before 3.12

DOMAIN_HEADER = "X-Failure-Domain"
MAX_BODY_BYTES = 4_000_000  # bytes; two values of 1 MB in base64 and their keys

Int64 = int | str


class Header(TypedDict):
    """Part of every reply of the store."""

    revision: str


class KeyValueBody(TypedDict):
    """A key with its value; a deleted key has no value."""

    key: str
    mod_revision: str
    value: NotRequired[str]
    create_revision: NotRequired[str]
    version: NotRequired[str]
    lease: NotRequired[str]


class RangeRequest(TypedDict):
    """Reads one key, or all keys from ``key`` up to ``range_end``.

    At most ``limit`` keys are returned when it is not 0.
    """

    key: str
    range_end: NotRequired[str]
    limit: NotRequired[Int64]


class RangeReply(TypedDict):
    """The pairs in the order of their keys; ``more`` when some are left."""

    header: Header
    kvs: NotRequired[list[KeyValueBody]]
    more: NotRequired[bool]
    count: NotRequired[str]


class CompareBody(TypedDict):
    """Only the comparison MOD EQUAL is used."""

    key: str
    target: str
    result: NotRequired[str]
    mod_revision: NotRequired[Int64]


class PutBody(TypedDict):
    """Writes a key."""

    key: str
    value: NotRequired[str]
    lease: NotRequired[Int64]


class DeleteBody(TypedDict):
    """Deletes a key or a range of keys."""

    key: str
    range_end: NotRequired[str]


class OperationBody(TypedDict):
    """Exactly one of both fields is set."""

    request_put: NotRequired[PutBody]
    request_delete_range: NotRequired[DeleteBody]


class TxnRequest(TypedDict):
    """Carries out ``success`` if every comparison holds."""

    compare: NotRequired[list[CompareBody]]
    success: NotRequired[list[OperationBody]]


class TxnReply(TypedDict):
    """``succeeded`` is left out when a comparison did not hold."""

    header: Header
    succeeded: NotRequired[bool]


class GrantRequest(TypedDict):
    """Creates a lease; the store chooses the id."""

    TTL: Int64


class LeaseRequest(TypedDict):
    """Names a lease."""

    ID: Int64


class LeaseReply(TypedDict):
    """A lease; ``TTL`` is left out when the lease has lapsed."""

    header: Header
    ID: NotRequired[str]
    TTL: NotRequired[str]


class KeepAliveReply(TypedDict):
    """One element of the keepalive stream."""

    result: LeaseReply


class CreateWatch(TypedDict):
    """What to watch; ``start_revision`` 0 means from now on."""

    key: str
    range_end: NotRequired[str]
    start_revision: NotRequired[Int64]


class WatchRequest(TypedDict):
    """Opens a watch stream."""

    create_request: CreateWatch


class WatchEvent(TypedDict):
    """One change; ``type`` is left out for a put."""

    kv: KeyValueBody
    type: NotRequired[str]


class WatchResult(TypedDict):
    """Changes, the confirmation of a watch or its end."""

    header: Header
    created: NotRequired[bool]
    canceled: NotRequired[bool]
    compact_revision: NotRequired[str]
    events: NotRequired[list[WatchEvent]]


class WatchLine(TypedDict):
    """One line of the watch stream."""

    result: WatchResult


class ErrorReply(TypedDict):
    """Body of an error; ``code`` is a gRPC status code."""

    code: int
    message: str


class VmBody(TypedDict):
    """An entry of the VM list; see ``requests.VmInfo``."""

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


class VmListReply(TypedDict):
    """The VM list, ordered by id."""

    vms: list[VmBody]
