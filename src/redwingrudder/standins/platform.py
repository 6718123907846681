"""Stand-in for the platform: key-value store and VM list over HTTP.

It serves the calls of ``platform_api``. For tests there are also ``POST
/admin/faults``, ``POST /admin/vms`` and ``GET /admin/counters``.
"""

import gzip
import json
from collections import deque
from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.internet.interfaces import IPushProducer, IReactorTime
from twisted.python.failure import Failure
from twisted.web import resource, server
from zope.interface import implementer

from ..exceptions import RedwingrudderError
from ..platform_api import DOMAIN_HEADER, MAX_BODY_BYTES, WatchLine
from ._platform_service import Call, PlatformService, RateLimits, Reply, WatchStream

HTTP_TOO_MANY_REQUESTS = 429
MIN_GZIP_BYTES = 1_000  # shorter bodies are not compressed
MAX_STREAM_QUEUE_BYTES = 8_000_000  # unsent output of one watch
IDLE_CONNECTION_TIMEOUT_S = 120.0
RETRY_AFTER_S = "1"


class PlatformStandin:
    """HTTP server of the platform stand-in.

    Args:
        clock: The reactor, or a ``twisted.internet.task.Clock`` in tests.
        rate_limits: Calls per second that are accepted.
        vm_lag_s: Lag of the VM list in seconds.
    """

    def __init__(
        self,
        clock: IReactorTime,
        rate_limits: RateLimits | None = None,
        vm_lag_s: float = 0.0,
    ) -> None:
        self.service = PlatformService(clock, rate_limits, vm_lag_s)
        self._clock = clock
        self._port: Any = None
        self._site: server.Site | None = None

    def listen(self, reactor: Any, host: str, port: int) -> Deferred:
        """Open the listening port; the Deferred fires with its number."""
        root = _PlatformResource(self.service, self._clock)
        self._site = server.Site(
            root, requestFactory=_BoundedRequest, timeout=IDLE_CONNECTION_TIMEOUT_S
        )
        self._port = reactor.listenTCP(port, self._site, interface=host)
        return succeed(self._port.getHost().port)

    def stop(self) -> Deferred:
        """Close the watches and the port.

        The Deferred fires when the port is closed.
        """
        self.service.stop()
        if self._port is None:
            return succeed(None)
        return maybeDeferred(self._port.stopListening)


def run_platform(host: str, port: int, reactor: Any) -> None:
    """Run the server of the platform stand-in until the process ends.

    The bound address is printed as ``platform <host>:<port>``.
    """
    platform = PlatformStandin(reactor)

    def print_address(bound_port: int) -> None:
        print(f"platform {host}:{bound_port}", flush=True)

    def start() -> None:
        platform.listen(reactor, host, port).addCallback(print_address)

    reactor.callWhenRunning(start)
    reactor.run()


class _BoundedRequest(server.Request):
    """A request that aborts its connection if the body is too large."""

    _received_bytes = 0

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        self._received_bytes += len(data)
        if self._received_bytes > MAX_BODY_BYTES:
            self.channel.forceAbortClient()
            return
        super().handleContentChunk(data)


class _PlatformResource(resource.Resource):
    """Decodes requests for the service and writes its replies."""

    isLeaf = True  # noqa: N815

    def __init__(self, service: PlatformService, clock: IReactorTime) -> None:
        super().__init__()
        self._service = service
        self._clock = clock

    def render(self, request: server.Request) -> Any:
        path = request.path.decode("utf-8", "replace")
        if path.startswith("/admin/"):
            _write(request, self._answer_admin(path, request))
        elif path == "/v3/watch":
            self._watch(request)
        else:
            self._answer(request, self._service.handle(_decode_call(request)))
        return server.NOT_DONE_YET

    def _answer_admin(self, path: str, request: server.Request) -> Reply:
        try:
            if path == "/admin/faults":
                return Reply(200, self._service.set_faults(request.content.read()))
            if path == "/admin/vms":
                self._service.change_vms(request.content.read())
                return Reply(200, {})
        except RedwingrudderError as error:
            return Reply(error.http_status, {"message": error.detail})
        if path == "/admin/counters":
            watches = self._service.open_watches()
            body = {"counters": self._service.counters, "open_watches": watches}
            return Reply(200, body)
        return Reply(404, {"message": f"no resource {path}"})

    def _answer(self, request: server.Request, reply: Reply) -> None:
        if reply.delay_s <= 0:
            _write(request, reply)
            return
        delayed_write = self._clock.callLater(reply.delay_s, _write, request, reply)

        def cancel(failure: Failure) -> None:
            if delayed_write.active():
                delayed_write.cancel()

        request.notifyFinish().addErrback(cancel)

    def _watch(self, request: server.Request) -> None:
        producer = _WatchProducer(request)
        stream = WatchStream(producer.send, producer.close)
        result = self._service.open_watch(_decode_call(request), stream)
        if isinstance(result, int):
            closed = request.notifyFinish()
            closed.addBoth(lambda _: self._service.close_watch(result))
        elif not producer.closed:
            self._answer(request, result)


@implementer(IPushProducer)
class _WatchProducer:
    """Writes the lines of a watch and bounds the queue of a slow client.

    A client that lets the queue exceed ``MAX_STREAM_QUEUE_BYTES`` is
    disconnected.
    """

    def __init__(self, request: server.Request) -> None:
        self.closed = False
        self._request = request
        self._paused = False
        self._started = False
        self._queued_lines: deque[bytes] = deque()
        self._queued_bytes = 0
        request.notifyFinish().addBoth(self._connection_ended)

    def send(self, line: WatchLine) -> None:
        if self.closed:
            return
        if not self._started:
            self._started = True
            self._request.setHeader("Content-Type", "application/json")
            self._request.registerProducer(self, True)
        data = json.dumps(line).encode() + b"\n"
        self._queued_bytes += len(data)
        if self._queued_bytes > MAX_STREAM_QUEUE_BYTES:
            # No change is lost: the client opens a new watch after the last
            # revision that it received.
            self.close()
            return
        self._queued_lines.append(data)
        self._flush()

    def close(self) -> None:
        """Drop the queued lines and close the connection."""
        if self.closed:
            return
        self.closed = True
        self._queued_lines.clear()
        if self._started:
            self._request.unregisterProducer()
        self._request.channel.loseConnection()

    def pauseProducing(self) -> None:  # noqa: N802
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        self._paused = False
        self._flush()

    def stopProducing(self) -> None:  # noqa: N802
        self.closed = True

    def _flush(self) -> None:
        while self._queued_lines and not self._paused and not self.closed:
            data = self._queued_lines.popleft()
            self._queued_bytes -= len(data)
            self._request.write(data)

    def _connection_ended(self, result: Any) -> None:
        self.closed = True


def _decode_call(request: server.Request) -> Call:
    domains = request.args.get(b"failure_domain", [b""])
    return Call(
        request.path.decode("utf-8", "replace"),
        request.content.read(),
        request.getHeader(DOMAIN_HEADER) or "",
        domains[0].decode("utf-8", "replace"),
        request.getHeader("If-None-Match") or "",
    )


def _write(request: server.Request, reply: Reply) -> None:
    if request.finished or request.channel is None:
        return
    if reply.dropped:
        request.channel.forceAbortClient()
        return
    request.setResponseCode(reply.status)
    request.setHeader("Content-Type", "application/json")
    if reply.status == HTTP_TOO_MANY_REQUESTS:
        request.setHeader("Retry-After", RETRY_AFTER_S)
    if reply.etag:
        request.setHeader("ETag", reply.etag)
    if reply.body is not None:
        request.write(_encode_body(request, reply))
    request.finish()


def _encode_body(request: server.Request, reply: Reply) -> bytes:
    body = json.dumps(reply.body).encode()
    accepted = request.getHeader("Accept-Encoding") or ""
    if len(body) < MIN_GZIP_BYTES or "gzip" not in accepted:
        return body
    request.setHeader("Content-Encoding", "gzip")
    return gzip.compress(body, compresslevel=1)
