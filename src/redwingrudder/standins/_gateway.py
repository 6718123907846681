"""Conversion between JSON request bodies and calls of ``KeyValueCore``.

The bodies are those of the JSON gateway of etcd v3: keys and values are in
base64, and 64-bit integers may be strings.
"""

import base64
import binascii
import json
from typing import Any, NamedTuple

from pydantic import TypeAdapter, ValidationError

from ..exceptions import BadRequestError
from ..platform_api import (
    CompareBody,
    CreateWatch,
    GrantRequest,
    Header,
    Int64,
    KeyValueBody,
    LeaseReply,
    LeaseRequest,
    OperationBody,
    RangeReply,
    RangeRequest,
    TxnReply,
    TxnRequest,
    WatchEvent,
    WatchLine,
    WatchRequest,
    WatchResult,
)
from ._key_value import Delete, KeyValueCore, ModCompare, Put, Record

_RANGE = TypeAdapter(RangeRequest)
_TXN = TypeAdapter(TxnRequest)
_GRANT = TypeAdapter(GrantRequest)
_LEASE = TypeAdapter(LeaseRequest)
_WATCH = TypeAdapter(WatchRequest)

MIN_LEASE_TTL_S = 1


class WatchSelection(NamedTuple):
    """Key range and first revision of a watch.

    An empty ``range_end`` selects one key, ``start_revision`` 0 selects
    changes from now on.
    """

    key: bytes
    range_end: bytes
    start_revision: int


class Gateway:
    """Executes the requests of the JSON gateway on a key-value core.

    Each method decodes a JSON body, raises ``BadRequestError`` if it is
    invalid, and returns the reply to encode. Times are in seconds.
    """

    def __init__(self, core: KeyValueCore) -> None:
        self._core = core

    def range(self, body: bytes) -> RangeReply:
        """Handle ``/v3/kv/range``; a limit of 0 means no limit."""
        request = parse(_RANGE, body)
        key = _decode(request["key"])
        records = self._core.range(key, _decode(request.get("range_end", "")))
        limit = _integer(request.get("limit", 0)) or len(records)
        reply = RangeReply(header=self.header())
        if records:
            reply["kvs"] = [_key_value(record) for record in records[:limit]]
            reply["count"] = str(len(records))
        if len(records) > limit:
            reply["more"] = True
        return reply

    def txn(self, body: bytes, now: float) -> TxnReply:
        """Handle ``/v3/kv/txn``.

        As in the JSON encoding of etcd, ``succeeded`` is absent when it is
        false.
        """
        request = parse(_TXN, body)
        compares = tuple(_compare(item) for item in request.get("compare", []))
        operations = tuple(_operation(item) for item in request.get("success", []))
        succeeded = self._core.transact(compares, operations, now)
        reply = TxnReply(header=self.header())
        if succeeded:
            reply["succeeded"] = True
        return reply

    def grant(self, body: bytes, now: float) -> LeaseReply:
        """Handle ``/v3/lease/grant``; the TTL is in seconds."""
        ttl_s = _integer(parse(_GRANT, body)["TTL"])
        if ttl_s < MIN_LEASE_TTL_S:
            raise BadRequestError(
                f"lease TTL is {ttl_s} s, the minimum is {MIN_LEASE_TTL_S} s"
            )
        lease_id = self._core.grant_lease(ttl_s, now)
        return LeaseReply(header=self.header(), ID=str(lease_id), TTL=str(ttl_s))

    def keep_alive(self, body: bytes, now: float) -> dict[str, LeaseReply]:
        """Handle ``/v3/lease/keepalive``.

        The reply has no TTL if the lease has expired.
        """
        lease_id = _integer(parse(_LEASE, body)["ID"])
        ttl_s = self._core.keep_alive(lease_id, now)
        reply = LeaseReply(header=self.header(), ID=str(lease_id))
        if ttl_s:
            reply["TTL"] = str(ttl_s)
        return {"result": reply}

    def revoke(self, body: bytes) -> LeaseReply:
        """Handle ``/v3/lease/revoke``."""
        self._core.revoke_lease(_integer(parse(_LEASE, body)["ID"]))
        return LeaseReply(header=self.header())

    def watch_created(self) -> WatchLine:
        """Return the line that confirms the creation of a watch."""
        return WatchLine(result=WatchResult(header=self.header(), created=True))

    def watch_compacted(self, compact_revision: int) -> WatchLine:
        """Return the line that cancels a watch of compacted revisions."""
        return WatchLine(
            result=WatchResult(
                header=self.header(),
                canceled=True,
                compact_revision=str(compact_revision),
            )
        )

    def watch_changes(self, records: tuple[Record, ...]) -> WatchLine:
        """Return the line that delivers changes to a watch."""
        events = [_event(record) for record in records]
        return WatchLine(result=WatchResult(header=self.header(), events=events))

    def header(self) -> Header:
        """Return the reply header, which holds the present revision."""
        return Header(revision=str(self._core.revision))


def decode_watch(body: bytes) -> WatchSelection:
    """Decode the body of a ``/v3/watch`` request.

    Raises:
        BadRequestError: The body is invalid.
    """
    request: CreateWatch = parse(_WATCH, body)["create_request"]
    return WatchSelection(
        _decode(request["key"]),
        _decode(request.get("range_end", "")),
        _integer(request.get("start_revision", 0)),
    )


def parse(adapter: TypeAdapter, body: bytes) -> Any:
    """Parse a JSON body and validate it with the adapter.

    Raises:
        BadRequestError: The body is not JSON or fails the validation.
    """
    try:
        return adapter.validate_python(json.loads(body))
    except (ValueError, ValidationError) as error:
        raise BadRequestError(f"invalid body: {error}") from None


def _compare(body: CompareBody) -> ModCompare:
    if body["target"] != "MOD" or body.get("result", "EQUAL") != "EQUAL":
        raise BadRequestError("only comparisons of MOD with EQUAL are supported")
    return ModCompare(_decode(body["key"]), _integer(body.get("mod_revision", 0)))


def _operation(body: OperationBody) -> Put | Delete:
    if "request_put" in body:
        put = body["request_put"]
        return Put(
            _decode(put["key"]),
            _decode(put.get("value", "")),
            _integer(put.get("lease", 0)),
        )
    if "request_delete_range" in body:
        delete = body["request_delete_range"]
        return Delete(_decode(delete["key"]), _decode(delete.get("range_end", "")))
    raise BadRequestError("only request_put and request_delete_range are supported")


def _key_value(record: Record) -> KeyValueBody:
    body = KeyValueBody(key=_encode(record.key), mod_revision=str(record.mod_revision))
    if record.value is None:
        return body
    body["value"] = _encode(record.value)
    body["create_revision"] = str(record.create_revision)
    body["version"] = str(record.version)
    if record.lease_id:
        body["lease"] = str(record.lease_id)
    return body


def _event(record: Record) -> WatchEvent:
    event = WatchEvent(kv=_key_value(record))
    if record.value is None:
        event["type"] = "DELETE"
    return event


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode("ascii")


def _decode(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        raise BadRequestError("a key or value is not valid base64") from None


def _integer(value: Int64) -> int:
    try:
        return int(value)
    except ValueError:
        raise BadRequestError(f"{value!r} is not an integer") from None
