"""Requests to the platform stand-in: rate limits, counters, fault switches.

The module is independent of the HTTP server, so that tests can call it
directly.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, NotRequired

from pydantic import TypeAdapter
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from typing_extensions import TypedDict

from .._token_bucket import TokenBucket
from ..exceptions import NotFoundError, OverloadedError, RedwingrudderError
from ..platform_api import ErrorReply, VmBody, WatchLine
from ._gateway import Gateway, decode_watch, parse
from ._key_value import CompactedError, KeyValueCore, Record
from ._vm_list import VmList

WRITES_PER_S = 500.0
READS_PER_S = 2000.0
HTTP_OK = 200
GRPC_NOT_FOUND = 5  # status codes of gRPC, in the bodies of error replies
GRPC_RESOURCE_EXHAUSTED = 8
GRPC_INVALID_ARGUMENT = 3

_OPERATIONS_BY_PATH = {
    "/v3/kv/range": "range",
    "/v3/kv/txn": "txn",
    "/v3/lease/grant": "lease_grant",
    "/v3/lease/keepalive": "lease_keepalive",
    "/v3/lease/revoke": "lease_revoke",
    "/v3/watch": "watch",
    "/v1/vms": "vms",
}
_WRITE_OPERATIONS = frozenset({"txn", "lease_grant", "lease_keepalive", "lease_revoke"})
# Operations whose replies ``lost_replies`` drops. Losing the reply to a
# keepalive would test nothing, so keepalives do not use up the number.
_LOSSY_OPERATIONS = frozenset({"txn", "lease_grant", "lease_revoke"})


class RateLimits(NamedTuple):
    """Accepted calls per second; further calls are answered with 429."""

    writes_per_s: float = WRITES_PER_S
    reads_per_s: float = READS_PER_S


class Call(NamedTuple):
    """One request.

    ``failure_domain`` is that of the client, ``vm_domain`` the one whose VMs
    are listed; both may be empty.
    """

    path: str
    body: bytes = b""
    failure_domain: str = ""
    vm_domain: str = ""
    if_none_match: str = ""


class Reply(NamedTuple):
    """An HTTP reply, sent after ``delay_s``.

    ``dropped`` aborts the connection without sending a reply.
    """

    status: int
    body: Any
    delay_s: float = 0.0
    dropped: bool = False
    etag: str = ""


class Faults(TypedDict):
    """Body of ``POST /admin/faults``; absent fields keep their value.

    ``outage`` cuts off all clients, ``cut_domains`` the clients in these
    failure domains: their calls get no reply and their watches are closed.
    ``slow_s`` delays replies by this many seconds, except those to watches.
    ``lost_replies`` is the number of following transactions, lease grants and
    lease revocations that take effect without a reply.
    """

    outage: NotRequired[bool]
    slow_s: NotRequired[float]
    lost_replies: NotRequired[int]
    cut_domains: NotRequired[list[str]]


class VmChange(TypedDict):
    """Body of ``POST /admin/vms``, a change of the VM list.

    ``leaving`` and ``remove`` hold VM ids, ``lag_s`` sets the lag of the list
    in seconds.
    """

    register: NotRequired[list[VmBody]]
    leaving: NotRequired[list[str]]
    remove: NotRequired[list[str]]
    lag_s: NotRequired[float]


class WatchStream(NamedTuple):
    """Output of a watch: ``send`` writes a line, ``close`` disconnects."""

    send: Callable[[WatchLine], None]
    close: Callable[[], None]


class _OpenWatch(NamedTuple):
    watch_id: int
    failure_domain: str
    stream: WatchStream


_FAULTS = TypeAdapter(Faults)
_VM_CHANGE = TypeAdapter(VmChange)
_CONNECTION_ABORTED = Reply(0, None, dropped=True)


class PlatformService:
    """Key-value store and VM list with rate limits and injected faults.

    Args:
        clock: The reactor, or a ``twisted.internet.task.Clock`` in tests.
        rate_limits: Calls per second that are accepted.
        vm_lag_s: Lag of the VM list in seconds.
        core: The key-value store; a new one by default.
    """

    def __init__(
        self,
        clock: IReactorTime,
        rate_limits: RateLimits | None = None,
        vm_lag_s: float = 0.0,
        core: KeyValueCore | None = None,
    ) -> None:
        rate_limits = rate_limits or RateLimits()
        now = clock.seconds()
        self.core = core or KeyValueCore()
        self.vms = VmList(vm_lag_s)
        self.counters: dict[str, int] = dict.fromkeys(_OPERATIONS_BY_PATH.values(), 0)
        self.counters["refused"] = 0
        self._clock = clock
        self._gateway = Gateway(self.core)
        self._write_bucket = TokenBucket(
            rate_limits.writes_per_s, rate_limits.writes_per_s, now
        )
        self._read_bucket = TokenBucket(
            rate_limits.reads_per_s, rate_limits.reads_per_s, now
        )
        self._faults = Faults(outage=False, slow_s=0.0, lost_replies=0, cut_domains=[])
        self._watches_by_id: dict[int, _OpenWatch] = {}
        self._expiry_timer: IDelayedCall | None = None

    def handle(self, call: Call) -> Reply:
        """Execute a call other than a watch and return its reply."""
        operation = _OPERATIONS_BY_PATH.get(call.path)
        if operation is None or operation == "watch":
            return Reply(404, ErrorReply(code=GRPC_NOT_FOUND, message="not found"))
        if self._is_cut_off(call.failure_domain):
            return _CONNECTION_ABORTED
        reply = self._answer(operation, call)
        if (
            reply.status == HTTP_OK
            and operation in _LOSSY_OPERATIONS
            and self._faults["lost_replies"]
        ):
            self._faults["lost_replies"] -= 1
            return _CONNECTION_ABORTED
        return reply._replace(delay_s=self._faults["slow_s"])

    def open_watch(self, call: Call, stream: WatchStream) -> Reply | int:
        """Open a watch; returns its id, or the reply if it was rejected.

        The first line confirms the watch. A watch of compacted revisions is
        cancelled with a second line, and its stream is closed.
        """
        if self._is_cut_off(call.failure_domain):
            return _CONNECTION_ABORTED
        try:
            self._admit("watch")
            return self._start_watch(call, stream)
        except RedwingrudderError as error:
            return _error_reply(error)

    def close_watch(self, watch_id: int) -> None:
        """Remove a watch when its connection closes; ignores unknown ids."""
        if self._watches_by_id.pop(watch_id, None) is not None:
            self.core.unwatch(watch_id)

    def open_watches(self) -> int:
        """Return the number of open watches."""
        return len(self._watches_by_id)

    def set_faults(self, body: bytes) -> Faults:
        """Set the fault switches of a JSON body and return all switches.

        Watches of clients that are cut off are closed.

        Raises:
            BadRequestError: The body is invalid.
        """
        self._faults.update(parse(_FAULTS, body))
        for watch in list(self._watches_by_id.values()):
            if self._is_cut_off(watch.failure_domain):
                self.close_watch(watch.watch_id)
                watch.stream.close()
        return self._faults

    def change_vms(self, body: bytes) -> None:
        """Apply the change of the VM list in a JSON body.

        Raises:
            BadRequestError: The body is invalid.
            OverloadedError: The list would be too long.
        """
        change = parse(_VM_CHANGE, body)
        self.vms.lag_s = change.get("lag_s", self.vms.lag_s)
        self.vms.change(
            change.get("register", []),
            change.get("leaving", []),
            change.get("remove", []),
            self._clock.seconds(),
        )

    def stop(self) -> None:
        """Close all watches and cancel the timer of the lease expiry."""
        for watch in list(self._watches_by_id.values()):
            self.close_watch(watch.watch_id)
            watch.stream.close()
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None

    def _is_cut_off(self, failure_domain: str) -> bool:
        domain_is_cut_off = failure_domain in self._faults["cut_domains"]
        return self._faults["outage"] or domain_is_cut_off

    def _answer(self, operation: str, call: Call) -> Reply:
        try:
            self._admit(operation)
            if operation == "vms":
                return self._list_vms(call)
            return Reply(200, self._execute(operation, call))
        except RedwingrudderError as error:
            return _error_reply(error)

    def _admit(self, operation: str) -> None:
        self.counters[operation] += 1
        bucket = (
            self._write_bucket if operation in _WRITE_OPERATIONS else self._read_bucket
        )
        wait_s = bucket.take(self._clock.seconds())
        if wait_s > 0:
            self.counters["refused"] += 1
            raise OverloadedError("too many requests", retry_after_s=wait_s)

    def _execute(self, operation: str, call: Call) -> Any:
        now = self._clock.seconds()
        self.core.expire(now)
        if operation == "range":
            return self._gateway.range(call.body)
        if operation == "txn":
            return self._gateway.txn(call.body, now)
        if operation == "lease_grant":
            reply = self._gateway.grant(call.body, now)
            self._schedule_expiry()
            return reply
        if operation == "lease_keepalive":
            return self._gateway.keep_alive(call.body, now)
        return self._gateway.revoke(call.body)

    def _list_vms(self, call: Call) -> Reply:
        now = self._clock.seconds()
        etag = self.vms.etag(now)
        if call.if_none_match == etag:
            return Reply(304, None, etag=etag)
        return Reply(200, {"vms": self.vms.read(call.vm_domain, now)}, etag=etag)

    def _start_watch(self, call: Call, stream: WatchStream) -> Reply | int:
        selection = decode_watch(call.body)

        def deliver(records: tuple[Record, ...], revision: int) -> None:
            stream.send(self._gateway.watch_changes(records))

        stream.send(self._gateway.watch_created())
        try:
            watch_id = self.core.watch(*selection, deliver)
        except CompactedError as error:
            stream.send(self._gateway.watch_compacted(error.compact_revision))
            stream.close()
            return _CONNECTION_ABORTED
        self._watches_by_id[watch_id] = _OpenWatch(
            watch_id, call.failure_domain, stream
        )
        return watch_id

    def _schedule_expiry(self) -> None:
        expires_at = self.core.next_expiry()
        if self._expiry_timer is not None or expires_at is None:
            return
        delay_s = max(0.0, expires_at - self._clock.seconds())
        self._expiry_timer = self._clock.callLater(delay_s, self._expire_leases)

    def _expire_leases(self) -> None:
        self._expiry_timer = None
        self.core.expire(self._clock.seconds())
        self._schedule_expiry()


def _error_reply(error: RedwingrudderError) -> Reply:
    code = GRPC_INVALID_ARGUMENT
    if isinstance(error, OverloadedError):
        code = GRPC_RESOURCE_EXHAUSTED
    elif isinstance(error, NotFoundError):
        code = GRPC_NOT_FOUND
    return Reply(error.http_status, ErrorReply(code=code, message=error.detail))
