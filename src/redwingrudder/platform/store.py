"""Client actor of the platform's metadata store."""

import base64
import logging
import math
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any
from urllib.parse import quote

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from .._checked_json import Fields
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
from ..coordination.messages import StoreAnswered, StoreAvailability
from ..coordination.metrics import METRICS, IncrementCounter, SetGauge
from ..exceptions import (
    NotFoundError,
    OutcomeUnknownError,
    StoreUnavailableError,
    UnavailableError,
)
from .http_client import JsonClient, JsonReply

TIMEOUT_S = 0.4  # the usual reply takes a few milliseconds
# An unanswered call is given up if one that was sent this much later is
# answered first.
OVERTAKEN_AFTER_S = 0.4
MAX_TIMEOUT_S = 1.2  # shorter than the coordinator's lease of 1.5 s
TIMEOUT_LATENCY_FACTOR = 6  # multiple of the mean reply time, for a slow store
LATENCY_WEIGHT = 0.2  # weight of the newest reply in the moving mean
TIMEOUT_GROWTH_FACTOR = 1.5  # after a call without a reply
MAX_IDLE_CONNECTIONS = 8
# Single replies get lost while the store works, so only consecutive failures
# count as an outage.
UNAVAILABLE_AFTER_FAILURES = 2
ANSWER_REPORT_INTERVAL_S = 0.1  # between notifications about answered calls
MAX_PAGES = 200  # a page has about 500 items
# The store answers a call with one of these without having executed it. After
# any other error a write may have taken effect.
NOT_EXECUTED_STATUSES = (429, 503)
PAGE_BITS = 12_000_000  # a full page: 1 MB of values as base64 text
# Large replies of several calls are read concurrently and share the link.
CONCURRENT_PAGES = 3

_logger = logging.getLogger(__name__)


class PlatformStore(Actor):
    """Executes store messages by HTTP calls to the platform's store.

    Args:
        system: Actor system of the node.
        client: HTTP client for the address of the store.
        subscribers: Names of the actors that are notified when the
            availability of the store changes.
        answer_subscribers: Names of the actors that are notified, at a limited
            rate, when the store has answered a call.
        link_bps: Capacity of the node's network link in bits per second.
    """

    def __init__(
        self,
        system: ActorSystem,
        client: JsonClient,
        subscribers: tuple[str, ...],
        answer_subscribers: tuple[str, ...],
        link_bps: float,
    ) -> None:
        self._client = client
        self._link_bps = link_bps
        self._page_transfer_s = PAGE_BITS / link_bps
        self._subscribers = subscribers
        self._answer_subscribers = answer_subscribers
        self._report_answer_at = 0.0
        self._timeout_s = TIMEOUT_S
        self._latency_s = 0.0
        self._failures = 0
        self._pending: set[_PendingCall] = set()
        # Time at which the newest of the answered calls was sent.
        self._answered_sent_at = -math.inf
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
            KeepLeaseAlive: self._keep_alive,
            RevokeLease: self._revoke,
        }
        handlers = {
            message_type: _with_decoding_errors(handler, StoreUnavailableError)
            for message_type, handler in reads.items()
        }
        for message_type, handler in writes.items():
            handlers[message_type] = _with_decoding_errors(handler, OutcomeUnknownError)
        return handlers

    def stop(self) -> None:
        """Close idle connections."""
        self._client.reset()

    async def _get(self, message: GetKey) -> KeyValue | None:
        path = f"/redwingrudder/kv-key?key={quote(message.key, safe='')}"
        reply = await self._read(path)
        if reply.status == 404:
            return None
        return _decode_pair(Fields(reply.body, "item"))

    async def _range(self, message: GetPrefix) -> PrefixReply:
        """Read a prefix in pages; the revision is that of the first page."""
        pairs: list[KeyValue] = []
        revision, last_key = 0, ""
        for _ in range(MAX_PAGES):
            path = f"/redwingrudder/kv-range?prefix={quote(message.prefix, safe='')}"
            if last_key:
                path += f"&after={quote(last_key, safe='')}"
            # The reply may queue behind a page of another prefix.
            reply = await self._read(path, queue_s=self._page_transfer_s)
            page = Fields(reply.body, "page")
            revision = revision or page.integer("currentRev")
            items = page.children("items")
            for item in items:
                pair = _decode_pair_or_none(item)
                if pair is not None:
                    pairs.append(pair)
            if not page.flag("hasMore") or not items:
                return PrefixReply(tuple(pairs), revision)
            last_key = items[-1].text("key")
        raise StoreUnavailableError(
            f"prefix {message.prefix!r} has more than {MAX_PAGES} pages"
        )

    async def _transact(self, message: Transact) -> TransactReply:
        puts, removed_keys = [], []
        for operation in message.operations:
            if isinstance(operation, DeleteKey):
                removed_keys.append(operation.key)
            else:
                puts.append(_encode_put(operation))
        body = {
            "precondition": [
                {"key": compare.key, "revision": compare.mod_revision}
                for compare in message.compares
            ],
            "puts": puts,
            "remove": removed_keys,
        }
        size_bits = 8 * sum(len(put["value"]) for put in puts)
        reply = await self._write(
            "POST",
            "/redwingrudder/kv-txn",
            body,
            CONCURRENT_PAGES * size_bits / self._link_bps,
        )
        if reply.status == 412:
            return TransactReply(False, 0)
        if reply.status == 404:
            raise NotFoundError(
                "the lease of the transaction has ended", code="no_such_lease"
            )
        return TransactReply(True, Fields(reply.body, "reply").integer("revision"))

    async def _grant(self, message: GrantLease) -> int:
        body = {"ttlMs": int(message.ttl_s * 1000)}
        reply = await self._write("POST", "/redwingrudder/kv-lease", body)
        return Fields(reply.body, "reply").integer("lease")

    async def _keep_alive(self, message: KeepLeaseAlive) -> float:
        path = f"/redwingrudder/kv-keep/{message.lease_id}"
        reply = await self._write("POST", path, {})
        if reply.status == 404:
            return 0.0
        return Fields(reply.body, "reply").number("ttlMs") / 1000

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
        body = Fields(reply.body, "reply")
        changes = [_decode_change_or_none(event) for event in body.children("events")]
        return Changes(
            tuple(change for change in changes if change is not None),
            body.integer("currentRev"),
        )

    async def _read(
        self, path: str, wait_s: float = 0.0, queue_s: float = 0.0
    ) -> JsonReply:
        try:
            return await self._call("GET", path, None, wait_s, queue_s)
        except OutcomeUnknownError as error:
            raise StoreUnavailableError(error.detail) from error

    async def _write(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        upload_s: float = 0.0,
    ) -> JsonReply:
        return await self._call(method, path, body, 0.0, upload_s)

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        wait_s: float,
        queue_s: float,
    ) -> JsonReply:
        """Send a call, track the store's availability and return the reply.

        Every status other than 200, 404, 410 and 412 counts as a failure of
        the store. The time limit is for the beginning of the reply; a reply
        that is arriving has the time that large replies need on the link.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Sent as JSON; None sends no content.
            wait_s: Seconds for which the store may delay its reply.
            queue_s: Seconds that the request or the beginning of its reply
                may take on the link.

        Raises:
            StoreUnavailableError: The request was not sent, or the store did
                not execute it.
            OutcomeUnknownError: The request was sent, and no reply that says
                what became of it arrived in time.
        """
        started_at = self.system.clock.seconds()
        outcome = "unanswered"
        allowed_s = wait_s + queue_s
        pending = _PendingCall(started_at + allowed_s + OVERTAKEN_AFTER_S)
        pending.start(
            self._client.call(
                method,
                path,
                body,
                allowed_s + self._timeout_s,
                transfer_s=CONCURRENT_PAGES * self._page_transfer_s,
                on_progress=pending.reply_arrives,
            )
        )
        self._pending.add(pending)
        try:
            reply = await pending.outcome
            outcome = str(reply.status)
        except OutcomeUnknownError:
            self._connection_failed(started_at)
            raise
        except UnavailableError as error:
            self._connection_failed(started_at)
            raise StoreUnavailableError(error.detail) from error
        finally:
            self._pending.discard(pending)
            self.tell(METRICS, IncrementCounter("store_calls", (outcome,)))
        if reply.status in (200, 404, 410, 412):
            if method != "GET" or not allowed_s:
                self._record_latency(self.system.clock.seconds() - started_at)
            self._failures = 0
            self._answered_sent_at = max(self._answered_sent_at, started_at)
            self._fail_overtaken_calls(started_at)
            self._set_available(True)
            self._report_answer()
            return reply
        self._count_failure()
        detail = f"the store answered {reply.status}"
        if reply.status in NOT_EXECUTED_STATUSES:
            raise StoreUnavailableError(detail)
        raise OutcomeUnknownError(detail)

    def _record_latency(self, latency_s: float) -> None:
        self._latency_s += LATENCY_WEIGHT * (latency_s - self._latency_s)
        self._timeout_s = min(
            max(TIMEOUT_S, TIMEOUT_LATENCY_FACTOR * self._latency_s), MAX_TIMEOUT_S
        )

    def _connection_failed(self, sent_at: float) -> None:
        self._client.reset()
        if sent_at < self._answered_sent_at:
            # A later call was answered, so this one says nothing about the
            # present: it was sent during an outage that has ended since.
            return
        self._timeout_s = min(self._timeout_s * TIMEOUT_GROWTH_FACTOR, MAX_TIMEOUT_S)
        self._count_failure()

    def _fail_overtaken_calls(self, answered_sent_at: float) -> None:
        """Fail the calls that a much later one has overtaken.

        They were sent in an outage or on a dead connection, and would wait
        for their time limits.
        """
        for pending in list(self._pending):
            if pending.overtaken_at <= answered_sent_at:
                error = OutcomeUnknownError("a later call was answered before")
                pending.settle(Failure(error))

    def _report_answer(self) -> None:
        now = self.system.clock.seconds()
        if now >= self._report_answer_at:
            self._report_answer_at = now + ANSWER_REPORT_INTERVAL_S
            for subscriber in self._answer_subscribers:
                self.tell(subscriber, StoreAnswered())

    def _count_failure(self) -> None:
        self._failures += 1
        if self._failures >= UNAVAILABLE_AFTER_FAILURES:
            self._set_available(False)

    def _set_available(self, available: bool) -> None:
        if available == self.available:
            return
        self.available = available
        self.tell(METRICS, SetGauge("store_available", float(available)))
        _logger.info("store availability changed", extra={"available": available})
        for subscriber in self._subscribers:
            self.tell(subscriber, StoreAvailability(available))


class _PendingCall:
    """A call that the store has not answered.

    Args:
        overtaken_at: The call is lost if one that is sent later than this, in
            node-clock seconds, is answered before its reply begins to arrive.

    Attributes:
        outcome: Fires with the reply or an error.
    """

    def __init__(self, overtaken_at: float) -> None:
        self.outcome: Deferred = Deferred()
        self.overtaken_at = overtaken_at

    def start(self, call: Coroutine[Any, Any, JsonReply]) -> None:
        """Send the call."""
        Deferred.fromCoroutine(call).addBoth(self.settle)

    def reply_arrives(self) -> None:
        """Keep the call although later ones are answered before."""
        self.overtaken_at = math.inf

    def settle(self, result: JsonReply | Failure) -> None:
        """Set the outcome; a later result is ignored."""
        if not self.outcome.called:
            self.outcome.callback(result)


def _with_decoding_errors(
    handler: Callable[[Any], Awaitable[Any]], error_class: type[UnavailableError]
) -> Handler:
    """Wrap a handler to raise ``error_class`` for a malformed reply."""

    async def handle(message: Any) -> Any:
        try:
            return await handler(message)
        except ValueError as error:
            raise error_class(f"malformed reply of the store: {error}") from error

    return handle


def _encode_put(operation: PutKey) -> dict[str, Any]:
    return {
        "key": operation.key,
        "value": base64.b64encode(operation.value.encode()).decode(),
        "lease": operation.lease_id,
    }


def _decode_pair(item: Fields) -> KeyValue:
    value = base64.b64decode(item.text("value", ""), validate=True).decode("utf-8")
    return KeyValue(item.text("key"), value, item.integer("revision"))


def _decode_pair_or_none(item: Fields) -> KeyValue | None:
    """Decode an item, or return None if it is invalid.

    Other writers can store items whose value is not UTF-8 text.
    """
    try:
        return _decode_pair(item)
    except ValueError as error:
        _logger.warning("store item cannot be decoded", extra={"error": str(error)})
        return None


def _decode_change_or_none(event: Fields) -> Change | None:
    """Decode a change, or return None if it is invalid."""
    try:
        if event.flag("deleted"):
            return Change(event.text("key"), None, event.integer("revision"))
        return Change(*_decode_pair(event))
    except ValueError as error:
        _logger.warning("store change cannot be decoded", extra={"error": str(error)})
        return None
