"""Client actor of the platform's key-value store and VM list."""

import logging
import random
from typing import Any, NamedTuple

from . import requests
from ._background import run
from ._chart_runner import ChartRunner
from ._store_codec import (
    CALL_TYPES,
    EncodedCall,
    decode,
    decode_error,
    encode,
    encode_page,
)
from ._store_transport import HttpTransport, StoreTransport, TransportReply
from ._store_watch import Watch
from ._token_bucket import TokenBucket
from .actors import Actor, ActorSystem, Handler
from .exceptions import (
    MailboxFullError,
    NotFoundError,
    OutcomeUnknownError,
    OverloadedError,
    StoreUnavailableError,
    UnavailableError,
)
from .statecharts import load_chart
from .timers import TIMERS, Subscribe, TimerFired, Unsubscribe

__all__ = ["HttpTransport", "StoreClient", "StoreTransport"]

CALL_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 1.0
PROBE_INTERVAL_S = 1.0
PROBE_JITTER_S = 0.2  # keeps nodes from probing at the same time
WRITES_PER_S = 200.0  # for all failure domains together, docs/design.md 4.3
MAX_CALLS_IN_FLIGHT = 256
MAX_VM_LISTS = 64  # cached VM lists, one for each failure domain that is read
BUSY_RETRY_AFTER_S = 1.0
NOT_MODIFIED = 304
PROBE = requests.GetKey("/probe")
_PROBE_TIMER = "probe"

_logger = logging.getLogger(__name__)
_EVENTS = frozenset({"probe_due", "answered", "call_failed", "probe_failed"})
_ACTIONS = frozenset(
    {
        "probe",
        "schedule_probe",
        "report_available",
        "report_unavailable",
        "open_watches",
        "close_watches",
    }
)


class _VmList(NamedTuple):
    etag: str
    vms: tuple[requests.VmInfo, ...]


class StoreClient(Actor):
    """Executes the store messages of ``requests`` on the platform.

    The chart ``store_link`` tracks whether the store is available.

    Args:
        system: Actor system of the node.
        transport: Connection to the platform.
        seed: Seed of the random jitter of probes and watch retries.
        writes_per_s: Transactions per second that this node may send: the
            total of 200 divided by the number of failure domains.
        call_timeout_s: Seconds to wait for the reply to a call.
    """

    def __init__(
        self,
        system: ActorSystem,
        transport: StoreTransport,
        seed: int = 0,
        writes_per_s: float = WRITES_PER_S,
        call_timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._chart = ChartRunner(
            load_chart("store_link", _EVENTS, _ACTIONS),
            {
                "probe": lambda _: self._probe(),
                "schedule_probe": lambda _: self._schedule_probe(),
                "report_available": lambda _: self._announce_status(True),
                "report_unavailable": lambda _: self._announce_status(False),
                "open_watches": lambda _: self._open_watches(),
                "close_watches": lambda _: self._close_watches(),
            },
        )
        self._transport = transport
        self._jitter = random.Random(seed)
        self._write_budget = TokenBucket(
            writes_per_s, writes_per_s, system.clock.seconds()
        )
        self._call_timeout_s = call_timeout_s
        self._calls_in_flight = 0
        self._probing = False
        self._watches_by_key: dict[tuple[str, str], Watch] = {}
        self._status_subscribers: list[str] = []
        self._vm_lists_by_domain: dict[str, _VmList] = {}
        super().__init__(system, requests.STORE)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        handlers: dict[type, Handler] = dict.fromkeys(CALL_TYPES, self._call)
        handlers[requests.GetPrefix] = self._read_prefix
        handlers[requests.ListVms] = self._list_vms
        handlers[requests.WatchPrefix] = self._watch
        handlers[requests.SubscribeStoreStatus] = self._subscribe_status
        handlers[TimerFired] = self._timer_fired
        return handlers

    def start(self) -> None:
        """Schedule the first probe of the store, without a delay."""
        self.tell(TIMERS, Subscribe(self.name, _PROBE_TIMER, 0.0))

    def stop(self) -> Any:
        """Close the watches and the connections."""
        for watch in self._watches_by_key.values():
            watch.close()
        self._watches_by_key.clear()
        return self._transport.close()

    @property
    def _available(self) -> bool:
        return self._chart.state != "unavailable"

    async def _call(self, message: Any) -> Any:
        return await self._exchange(message, encode(message))

    async def _read_prefix(self, message: requests.GetPrefix) -> requests.PrefixReply:
        """Read a prefix in pages; the revision is that of the first page.

        A watch from that revision repeats the changes made between two
        pages, so no change is missed.
        """
        pairs: list[requests.KeyValue] = []
        first_key = message.prefix
        revision = 0
        while True:
            call = encode_page(message.prefix, first_key)
            page = await self._exchange(message, call)
            pairs.extend(page.pairs)
            revision = revision or page.revision
            if not page.next_key:
                return requests.PrefixReply(tuple(pairs), revision)
            first_key = page.next_key

    async def _list_vms(self, message: requests.ListVms) -> tuple[requests.VmInfo, ...]:
        """Read the VM list, or return the cached one if it is unchanged."""
        domain = message.failure_domain
        cached = self._vm_lists_by_domain.get(domain, _VmList("", ()))
        reply = await self._send_call(
            message, encode(message)._replace(etag=cached.etag)
        )
        if reply.status == NOT_MODIFIED and cached.etag:
            return cached.vms
        vms = self._decode_reply(message, encode(message), reply)
        if (
            domain in self._vm_lists_by_domain
            or len(self._vm_lists_by_domain) < MAX_VM_LISTS
        ):
            self._vm_lists_by_domain[domain] = _VmList(reply.etag, vms)
        return vms

    async def _exchange(self, message: Any, call: EncodedCall) -> Any:
        return self._decode_reply(message, call, await self._send_call(message, call))

    async def _send_call(self, message: Any, call: EncodedCall) -> TransportReply:
        if not self._available:
            raise StoreUnavailableError("the store is unavailable")
        self._admit(message)
        try:
            reply = await self._send(call, self._call_timeout_s)
        except (StoreUnavailableError, OutcomeUnknownError):
            self._chart.step("call_failed")
            raise
        self._chart.step("answered")
        return reply

    def _admit(self, message: Any) -> None:
        if self._calls_in_flight >= MAX_CALLS_IN_FLIGHT:
            raise OverloadedError(
                f"{MAX_CALLS_IN_FLIGHT} calls to the store are in progress",
                code="store_busy",
                retry_after_s=BUSY_RETRY_AFTER_S,
            )
        # Lease calls are exempt: they are few, and refusing them would end the
        # ownership of a failure domain.
        if isinstance(message, requests.Transact):
            wait_s = self._write_budget.take(self.system.clock.seconds())
            if wait_s > 0:
                raise OverloadedError(
                    "the rate limit of this node for store writes is exceeded",
                    code="store_busy",
                    retry_after_s=wait_s,
                )

    async def _send(self, call: EncodedCall, timeout_s: float) -> TransportReply:
        self._calls_in_flight += 1
        try:
            reply = await self._transport.call(call, timeout_s)
        except OutcomeUnknownError as error:
            raise _unanswered_error(call, error.detail) from None
        finally:
            self._calls_in_flight -= 1
        if reply.status >= 500:
            raise _unanswered_error(call, f"the store answered {reply.status}")
        return reply

    def _decode_reply(
        self, message: Any, call: EncodedCall, reply: TransportReply
    ) -> Any:
        error = decode_error(reply.status, reply.body)
        if error is not None:
            revoking = isinstance(message, requests.RevokeLease)
            if revoking and isinstance(error, NotFoundError):
                return None
            raise error
        try:
            return decode(message, reply.body)
        except ValueError as decode_failure:
            raise _unanswered_error(call, str(decode_failure)) from None

    def _timer_fired(self, fired: TimerFired) -> None:
        if fired.timer == _PROBE_TIMER:
            self._chart.step("probe_due")
            return
        for key, watch in list(self._watches_by_key.items()):
            if _timer_name(key) == fired.timer and self._available:
                watch.open()

    def _probe(self) -> None:
        if not self._probing:
            self._probing = True
            run(self._send_probe(), self.name)

    async def _send_probe(self) -> None:
        try:
            await self._send(encode(PROBE), PROBE_TIMEOUT_S)
            event = "answered"
        except UnavailableError:
            event = "probe_failed"
        finally:
            self._probing = False
        self._chart.step(event)

    def _schedule_probe(self) -> None:
        delay_s = PROBE_INTERVAL_S + self._jitter.uniform(0.0, PROBE_JITTER_S)
        self.tell(TIMERS, Subscribe(self.name, _PROBE_TIMER, delay_s))

    def _announce_status(self, available: bool) -> None:
        _logger.info("store status changed", extra={"available": available})
        for subscriber in self._status_subscribers:
            self._tell_status(subscriber, available)

    def _tell_status(self, subscriber: str, available: bool) -> None:
        try:
            self.tell(subscriber, requests.StoreStatus(available))
        except MailboxFullError:
            _logger.warning(
                "store status not delivered: mailbox is full",
                extra={"actor": subscriber},
            )

    def _open_watches(self) -> None:
        for watch in list(self._watches_by_key.values()):
            watch.open()

    def _close_watches(self) -> None:
        for key, watch in list(self._watches_by_key.items()):
            self.tell(TIMERS, Unsubscribe(self.name, _timer_name(key)))
            watch.close()

    def _subscribe_status(self, request: requests.SubscribeStoreStatus) -> None:
        if request.subscriber not in self._status_subscribers:
            self._status_subscribers.append(request.subscriber)
        self._tell_status(request.subscriber, self._available)

    def _watch(self, request: requests.WatchPrefix) -> None:
        key = (request.subscriber, request.prefix)
        replaced = self._watches_by_key.pop(key, None)
        if replaced is not None:
            replaced.close()
        watch = Watch(
            request,
            self._transport,
            tell=lambda message: self.tell(request.subscriber, message),
            schedule_open=lambda delay_s: self.tell(
                TIMERS, Subscribe(self.name, _timer_name(key), delay_s)
            ),
            on_ended=lambda: self._remove_watch(key, watch),
            on_failure=lambda: self._chart.step("call_failed"),
            jitter=self._jitter,
        )
        self._watches_by_key[key] = watch
        if self._available:
            watch.open()

    def _remove_watch(self, key: tuple[str, str], watch: Watch) -> None:
        if self._watches_by_key.get(key) is watch:
            del self._watches_by_key[key]


def _timer_name(key: tuple[str, str]) -> str:
    subscriber, prefix = key
    return f"watch {subscriber} {prefix}"


def _unanswered_error(
    call: EncodedCall, detail: str
) -> StoreUnavailableError | OutcomeUnknownError:
    if call.writes:
        return OutcomeUnknownError(detail)
    return StoreUnavailableError(detail)
