"""Conversion between store messages and the platform's HTTP bodies."""

import base64
import json
import logging
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import quote

from . import requests
from ._checked_json import parse_json
from .exceptions import (
    BadRequestError,
    NotFoundError,
    OverloadedError,
    PayloadTooLargeError,
    RedwingrudderError,
)

PAGE_KEYS = 200  # bounds the size of a reply: job records have up to 64 KB
MAX_VALUE_BYTES = 1_000_000  # limit of the platform's store
BUSY_RETRY_AFTER_S = 1.0
MAX_DETAIL_BYTES = 200  # of a reply that is quoted in an error

_logger = logging.getLogger(__name__)


class EncodedCall(NamedTuple):
    """An HTTP request: a GET when ``body`` is None, else a POST.

    ``writes`` is true if the request changes the store, so that its outcome
    is unknown when the reply is lost. ``etag`` identifies a cached reply that
    the server need not send again.
    """

    path: str
    body: bytes | None
    writes: bool
    etag: str = ""


class WatchProgress(NamedTuple):
    """Content of one line of a watch stream.

    ``compacted`` means that the requested revisions are no longer stored.
    """

    changes: tuple[requests.KeyChange, ...]
    compacted: bool


def encode(message: Any) -> EncodedCall:
    """Encode a message of ``requests`` as an HTTP request.

    Raises:
        PayloadTooLargeError: A value exceeds ``MAX_VALUE_BYTES``.
    """
    return _ENCODERS_BY_TYPE[type(message)](message)


def decode(message: Any, body: bytes) -> Any:
    """Decode the body of the reply to a message.

    Pairs of a prefix whose key or value is not text are logged and left out.

    Raises:
        ValueError: The reply is malformed.
    """
    try:
        return _DECODERS_BY_TYPE[type(message)](parse_json(body))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed reply of the store: {error!r}") from None


def decode_error(status: int, body: bytes) -> RedwingrudderError | None:
    """Return the error for an HTTP status of 400 to 499, else None."""
    detail = (
        f"the store answered {status}: "
        f"{body[:MAX_DETAIL_BYTES].decode('utf-8', 'replace')}"
    )
    if status == 429:
        return OverloadedError(
            detail, code="store_busy", retry_after_s=BUSY_RETRY_AFTER_S
        )
    if status == 404:
        return NotFoundError(detail)
    if status == 413:
        return PayloadTooLargeError(detail)
    if 400 <= status < 500:
        return BadRequestError(detail)
    return None


def encode_page(prefix: str, first_key: str) -> EncodedCall:
    """Encode the read of one page of a prefix that starts at a key."""
    selection = {**_prefix_range(prefix), "key": _to_base64(first_key)}
    body = _to_json({**selection, "limit": str(PAGE_KEYS)})
    return EncodedCall("/v3/kv/range", body, False)


def encode_watch(prefix: str, start_revision: int) -> EncodedCall:
    """Encode the request that opens a watch stream."""
    selection = {**_prefix_range(prefix), "start_revision": str(start_revision)}
    body = _to_json({"create_request": selection})
    return EncodedCall("/v3/watch", body, False)


def decode_watch_line(line: bytes) -> WatchProgress:
    """Decode one line of a watch stream.

    Changes whose key or value is not text are logged and left out.

    Raises:
        ValueError: The line is malformed or reports an error.
    """
    try:
        result = parse_json(line)["result"]
        changes = _decode_each(_decode_change, result.get("events", []))
        compacted = int(result.get("compact_revision", 0)) > 0
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed line of a watch: {error!r}") from None
    if result.get("canceled") and not compacted:
        raise ValueError("the store cancelled the watch")
    return WatchProgress(changes, compacted)


def _to_json(body: dict[str, Any]) -> bytes:
    return json.dumps(body, separators=(",", ":")).encode()


def _to_base64(text: str) -> str:
    data = text.encode(errors="surrogateescape")
    return base64.b64encode(data).decode("ascii")


def _from_base64(text: str) -> str:
    return base64.b64decode(text).decode()


def _prefix_range(prefix: str) -> dict[str, str]:
    data = prefix.encode()
    # The range ends at the prefix with its last byte incremented; no prefix in
    # use ends in byte 0xFF.
    end = data[:-1] + bytes([data[-1] + 1])
    return {"key": _to_base64(prefix), "range_end": base64.b64encode(end).decode()}


def _encode_get(message: requests.GetKey) -> EncodedCall:
    return EncodedCall(
        "/v3/kv/range", _to_json({"key": _to_base64(message.key)}), False
    )


def _encode_prefix(message: requests.GetPrefix) -> EncodedCall:
    return encode_page(message.prefix, message.prefix)


def _encode_transact(message: requests.Transact) -> EncodedCall:
    compares = [
        {
            "target": "MOD",
            "result": "EQUAL",
            "key": _to_base64(compare.key),
            "mod_revision": str(compare.mod_revision),
        }
        for compare in message.compares
    ]
    success = [_encode_operation(operation) for operation in message.operations]
    body = _to_json({"compare": compares, "success": success})
    return EncodedCall("/v3/kv/txn", body, True)


def _encode_operation(
    operation: requests.PutKey | requests.DeleteKey,
) -> dict[str, Any]:
    if isinstance(operation, requests.DeleteKey):
        return {"request_delete_range": {"key": _to_base64(operation.key)}}
    size = len(operation.value.encode())
    if size > MAX_VALUE_BYTES:
        raise PayloadTooLargeError(
            f"the value of {operation.key} has {size} bytes, "
            f"the limit is {MAX_VALUE_BYTES}"
        )
    put = {"key": _to_base64(operation.key), "value": _to_base64(operation.value)}
    if operation.lease_id:
        put["lease"] = str(operation.lease_id)
    return {"request_put": put}


def _encode_lease(path: str) -> Callable[[Any], EncodedCall]:
    def encode_lease(message: Any) -> EncodedCall:
        return EncodedCall(path, _to_json({"ID": str(message.lease_id)}), True)

    return encode_lease


def _encode_grant(message: requests.GrantLease) -> EncodedCall:
    return EncodedCall("/v3/lease/grant", _to_json({"TTL": str(message.ttl_s)}), True)


def _encode_list(message: requests.ListVms) -> EncodedCall:
    domain = quote(message.failure_domain, safe="")
    return EncodedCall(f"/v1/vms?failure_domain={domain}", None, False)


def _decode_each(
    decode_entry: Callable[[dict[str, Any]], Any], entries: list[dict[str, Any]]
) -> tuple[Any, ...]:
    """Decode entries, leaving out those that other writers stored as bytes."""
    decoded = []
    for entry in entries:
        try:
            decoded.append(decode_entry(entry))
        except UnicodeDecodeError as error:
            _logger.warning(
                "store entry is not text and is ignored", extra={"error": str(error)}
            )
    return tuple(decoded)


def _decode_pair(body: dict[str, Any]) -> requests.KeyValue:
    return requests.KeyValue(
        _from_base64(body["key"]),
        _from_base64(body.get("value", "")),
        int(body["mod_revision"]),
    )


def _decode_change(event: dict[str, Any]) -> requests.KeyChange:
    pair = _decode_pair(event["kv"])
    deleted = event.get("type") == "DELETE"
    value = None if deleted else pair.value
    return requests.KeyChange(pair.key, value, pair.mod_revision)


def _decode_get(body: dict[str, Any]) -> requests.KeyValue | None:
    pairs = body.get("kvs", [])
    return _decode_pair(pairs[0]) if pairs else None


def _decode_prefix(body: dict[str, Any]) -> requests.PrefixReply:
    entries = body.get("kvs", [])
    pairs = _decode_each(_decode_pair, entries)
    next_key = ""
    if len(entries) >= PAGE_KEYS:
        # The last key may be one of those that are left out.
        last_key = base64.b64decode(entries[-1]["key"])
        next_key = last_key.decode(errors="surrogateescape") + "\0"
    return requests.PrefixReply(pairs, int(body["header"]["revision"]), next_key)


def _decode_transact(body: dict[str, Any]) -> requests.TransactReply:
    revision = int(body["header"]["revision"])
    return requests.TransactReply(bool(body.get("succeeded", False)), revision)


def _decode_vms(body: dict[str, Any]) -> tuple[requests.VmInfo, ...]:
    fields = requests.VmInfo._fields
    return tuple(
        requests.VmInfo(**{name: vm[name] for name in fields}) for vm in body["vms"]
    )


_ENCODERS_BY_TYPE: dict[type, Callable[[Any], EncodedCall]] = {
    requests.GetKey: _encode_get,
    requests.GetPrefix: _encode_prefix,
    requests.Transact: _encode_transact,
    requests.GrantLease: _encode_grant,
    requests.KeepLeaseAlive: _encode_lease("/v3/lease/keepalive"),
    requests.RevokeLease: _encode_lease("/v3/lease/revoke"),
    requests.ListVms: _encode_list,
}
_DECODERS_BY_TYPE: dict[type, Callable[[dict[str, Any]], Any]] = {
    requests.GetKey: _decode_get,
    requests.GetPrefix: _decode_prefix,
    requests.Transact: _decode_transact,
    requests.GrantLease: lambda body: int(body["ID"]),
    requests.KeepLeaseAlive: lambda body: int(body["result"].get("TTL", 0)),
    requests.RevokeLease: lambda body: None,
    requests.ListVms: _decode_vms,
}
CALL_TYPES = tuple(_ENCODERS_BY_TYPE)
