"""The platform's metadata store behind the product's store messages."""

import base64
import binascii
import logging
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import quote

from .._store_requests import (
    DeleteKey,
    GetKey,
    GetPrefix,
    GrantLease,
    KeepLeaseAlive,
    KeyValue,
    PrefixReply,
    PutKey,
    RevokeLease,
    Transact,
    TransactReply,
)
from ..actors import Actor, ActorSystem, Handler
from ..coordination.gateways import STORE, AwaitChanges, Change, Changes
from ..coordination.messages import StoreAvailability
from ..coordination.metrics import METRICS, IncrementCounter, SetGauge
from ..exceptions import (
    NotFoundError,
    OutcomeUnknownError,
    StoreUnavailableError,
    UnavailableError,
)
from .http_client import JsonClient, JsonReply

TIMEOUT_S = 0.4  # far above the usual answer of milliseconds
LONGEST_TIMEOUT_S = 1.2  # half of the coordinator's lease
LATENCY_FACTOR = 6  # of the mean answer time, for a store that is slow
LATENCY_WEIGHT = 0.2  # of the newest answer in the mean
CONNECTIONS = 8
# Single answers get lost while the store works; a row of failures means more.
FAILURES_LIMIT = 2
PAGES_LIMIT = 200  # about 500 items a page
PAGE_BITS = 12_000_000  # of a full page: 1 MB of values as base64 text
# Pages of several ranges are read at the same time over the node's link.
PAGES_AT_A_TIME = 3

_logger = logging.getLogger(__name__)


class PlatformStore(Actor):
    """Carries the product's store messages to the platform.

    Args:
        system: The node's actors.
        client: Connections to the store.
        subscribers: Actors told whether the store answers.
        link_bps: Bits a second of the node's network link.
    """

    def __init__(
        self,
        system: ActorSystem,
        client: JsonClient,
        subscribers: tuple[str, ...],
        link_bps: float,
    ) -> None:
        self._client = client
        # What a full page takes on the link, on top of the store's answer.
        self._page_s = PAGES_AT_A_TIME * PAGE_BITS / link_bps
        self._subscribers = subscribers
        self._timeout_s = TIMEOUT_S
        self._latency_s = 0.0
        self._failures = 0
        self.available = False
        super().__init__(system, STORE)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        reads = {
            GetKey: self._get,
            GetPrefix: self._range,
            AwaitChanges: self._watch,
        }
        writes = {
            Transact: self._transact,
            GrantLease: self._grant,
            KeepLeaseAlive: self._keep,
            RevokeLease: self._revoke,
        }
        handlers = {
            kind: _readable(handler, StoreUnavailableError)
            for kind, handler in reads.items()
        }
        for kind, handler in writes.items():
            handlers[kind] = _readable(handler, OutcomeUnknownError)
        return handlers

    def stop(self) -> None:
        """Close idle connections."""
        self._client.reset()

    async def _get(self, message: GetKey) -> KeyValue | None:
        path = f"/redwingrudder/kv-key?key={quote(message.key, safe='')}"
        reply = await self._read(path)
        if reply.status == 404:
            return None
        return _pair(reply.body)

    async def _range(self, message: GetPrefix) -> PrefixReply:
        """Read page by page; the revision is that of the first page."""
        pairs: list[KeyValue] = []
        revision, after = 0, ""
        for _ in range(PAGES_LIMIT):
            path = f"/redwingrudder/kv-range?prefix={quote(message.prefix, safe='')}"
            if after:
                path += f"&after={quote(after, safe='')}"
            body = (await self._read(path, transfer_s=self._page_s)).body
            revision = revision or int(body["currentRev"])
            items = body.get("items") or []
            for item in items:
                pair = _readable_pair(item)
                if pair is not None:
                    pairs.append(pair)
            if not body.get("hasMore") or not items:
                return PrefixReply(tuple(pairs), revision)
            after = items[-1]["key"]
        raise StoreUnavailableError("the range has too many pages")

    async def _transact(self, message: Transact) -> TransactReply:
        puts, removals = [], []
        for operation in message.operations:
            if isinstance(operation, DeleteKey):
                removals.append(operation.key)
            else:
                puts.append(_put(operation))
        body = {
            "precondition": [
                {"key": compare.key, "revision": compare.mod_revision}
                for compare in message.compares
            ],
            "puts": puts,
            "remove": removals,
        }
        reply = await self._write("POST", "/redwingrudder/kv-txn", body)
        if reply.status == 412:
            return TransactReply(False, 0)
        if reply.status == 404:
            raise NotFoundError("the lease has ended", code="no_such_lease")
        return TransactReply(True, int(reply.body["revision"]))

    async def _grant(self, message: GrantLease) -> int:
        body = {"ttlMs": int(message.ttl_s * 1000)}
        reply = await self._write("POST", "/redwingrudder/kv-lease", body)
        return int(reply.body["lease"])

    async def _keep(self, message: KeepLeaseAlive) -> float:
        path = f"/redwingrudder/kv-keep/{message.lease_id}"
        reply = await self._write("POST", path, {})
        return 0.0 if reply.status == 404 else reply.body["ttlMs"] / 1000

    async def _revoke(self, message: RevokeLease) -> None:
        path = f"/redwingrudder/kv-lease-end/{message.lease_id}"
        await self._write("DELETE", path, None)

    async def _watch(self, message: AwaitChanges) -> Changes:
        wait_ms = int(message.wait_s * 1000)
        path = (
            f"/redwingrudder/kv-watch?prefix={quote(message.prefix, safe='')}"
            f"&after={message.after}&waitMs={wait_ms}"
        )
        reply = await self._read(path, message.wait_s)
        if reply.status == 410:
            return Changes((), 0, expired=True)
        changes = []
        for event in reply.body.get("events") or []:
            change = _change(event)
            if change is not None:
                changes.append(change)
        return Changes(tuple(changes), int(reply.body["currentRev"]))

    async def _read(
        self, path: str, wait_s: float = 0.0, transfer_s: float = 0.0
    ) -> JsonReply:
        try:
            return await self._call("GET", path, None, wait_s, transfer_s)
        except OutcomeUnknownError as error:
            raise StoreUnavailableError(error.detail) from error

    async def _write(
        self, method: str, path: str, body: dict[str, Any] | None
    ) -> JsonReply:
        return await self._call(method, path, body, 0.0)

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        wait_s: float,
        transfer_s: float = 0.0,
    ) -> JsonReply:
        """Send a call; 429 and 503 mean that nothing was done.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Sent as JSON.
            wait_s: For how long the store may wait with its answer.
            transfer_s: What a large answer takes on the link.
        """
        begun = self.system.clock.seconds()
        outcome = "unanswered"
        try:
            reply = await self._client.call(
                method, path, body, wait_s + transfer_s + self._timeout_s
            )
            outcome = str(reply.status)
        except OutcomeUnknownError:
            self._failed()
            raise
        except UnavailableError as error:
            self._failed()
            raise StoreUnavailableError(error.detail) from error
        finally:
            self.tell(METRICS, IncrementCounter("store_calls", (outcome,)))
        if reply.status in (200, 404, 410, 412):
            if not wait_s and not transfer_s:
                self._answered(self.system.clock.seconds() - begun)
            self._failures = 0
            self._report(True)
            return reply
        self._count_failure()
        raise StoreUnavailableError(f"the store answered {reply.status}")

    def _answered(self, latency_s: float) -> None:
        self._latency_s += LATENCY_WEIGHT * (latency_s - self._latency_s)
        self._timeout_s = min(
            max(TIMEOUT_S, LATENCY_FACTOR * self._latency_s), LONGEST_TIMEOUT_S
        )

    def _failed(self) -> None:
        self._client.reset()
        self._timeout_s = min(self._timeout_s * 1.5, LONGEST_TIMEOUT_S)
        self._count_failure()

    def _count_failure(self) -> None:
        self._failures += 1
        if self._failures >= FAILURES_LIMIT:
            self._report(False)

    def _report(self, available: bool) -> None:
        if available == self.available:
            return
        self.available = available
        self.tell(METRICS, SetGauge("store_available", float(available)))
        _logger.info("store availability", extra={"available": available})
        for subscriber in self._subscribers:
            self.tell(subscriber, StoreAvailability(available))


def _readable(
    handler: Callable[[Any], Awaitable[Any]], kind: type[UnavailableError]
) -> Handler:
    """Turn an answer that cannot be read into an error with a code."""

    async def handle(message: Any) -> Any:
        try:
            return await handler(message)
        except (KeyError, TypeError, ValueError) as error:
            raise kind(f"unreadable answer of the store: {error!r}") from error

    return handle


def _put(operation: PutKey) -> dict[str, Any]:
    return {
        "key": operation.key,
        "value": base64.b64encode(operation.value.encode()).decode(),
        "lease": operation.lease_id,
    }


def _pair(item: dict[str, Any]) -> KeyValue:
    value = base64.b64decode(item["value"], validate=True).decode("utf-8")
    return KeyValue(item["key"], value, int(item["revision"]))


def _readable_pair(item: Any) -> KeyValue | None:
    """Return an item, or None for one that another writer left unreadable."""
    try:
        return _pair(item)
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        _logger.warning("store item unreadable", extra={"error": str(error)})
        return None


def _change(event: Any) -> Change | None:
    if isinstance(event, dict) and event.get("deleted"):
        return Change(event["key"], None, int(event["revision"]))
    pair = _readable_pair(event)
    return Change(*pair) if pair is not None else None
