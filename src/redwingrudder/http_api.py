"""HTTP front end for callers and operators (twisted.web).

``_http_resources`` handles the requests. The actor in this module owns the
listening socket, limits the requests in progress and performs the drain.
"""

import logging
import re
import uuid
from typing import NamedTuple
from urllib.parse import unquote

from twisted.internet.defer import Deferred, ensureDeferred, maybeDeferred
from twisted.internet.interfaces import IListeningPort, IReactorTCP
from twisted.python.failure import Failure

from . import requests
from ._drain import DrainGate
from ._http_resources import HttpRequest, Resources
from ._http_server import ApiSite, BoundedConnections, LimitedRequest
from ._problems import Response, internal_problem, problem_response
from .actors import Actor, ActorSystem, Handler
from .exceptions import RedwingrudderError, UnavailableError
from .messages import ConfigurationChanged
from .metrics import NodeMetrics
from .timers import TIMERS, Subscribe, TimerFired

LISTEN_BACKLOG = 1_024  # connections that the kernel queues for accept
REQUESTS_LIMIT = 10_000  # in progress
OVERLOAD_RETRY_S = 1.0
# A caller that connected just before the listening socket was closed may still
# send its request and needs a response.
CLOSE_DELAY_S = 0.5

_LINGER_TIMER = "linger"
_SERVER_ERROR_STATUS = 500  # lowest status of a server error
_CORRELATION_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
_logger = logging.getLogger(__name__)


class HttpApiSettings(NamedTuple):
    """Listening address and request limit of the HTTP front end.

    Attributes:
        interface: Address to listen on.
        port: TCP port; 0 selects any free port.
        requests_limit: Requests in progress above which more are refused.
    """

    interface: str
    port: int
    requests_limit: int = REQUESTS_LIMIT


class HttpApi(Actor):
    """Actor that serves the HTTP interface.

    Its clients are callers, operators, the load balancer and the system that
    collects the metrics.

    Args:
        system: The actor system of the node.
        reactor: Opens the listening socket.
        settings: Listening address and request limit.
        metrics: Metrics of the node, served at ``/metrics``.
    """

    def __init__(
        self,
        system: ActorSystem,
        reactor: IReactorTCP,
        settings: HttpApiSettings,
        metrics: NodeMetrics,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._metrics = metrics
        self._resources = Resources(system.ask)
        self._gate = DrainGate()
        self._has_configuration = False
        # Includes requests whose caller has disconnected.
        self._asks_in_progress = 0
        self._open_requests: set[LimitedRequest] = set()
        self._port: IListeningPort | None = None
        self._linger_ended = Deferred()
        self.site = ApiSite(self._respond, _correlation_id, reactor)
        self._connections = BoundedConnections(self.site)
        super().__init__(system, requests.HTTP_API)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            ConfigurationChanged: self._configuration_changed,
            requests.Drain: self._drain,
            TimerFired: self._timer_fired,
        }

    @property
    def port(self) -> int:
        """The TCP port of the listening socket."""
        return self._port.getHost().port

    def start(self) -> None:
        """See base class."""
        self._port = self._reactor.listenTCP(
            self._settings.port,
            self._connections,
            backlog=LISTEN_BACKLOG,
            interface=self._settings.interface,
        )

    def stop(self) -> Deferred | None:
        """Stop listening, finish the requests in progress, then close.

        Returns:
            A Deferred that fires when the connections are being closed, or
            None if the front end was not started.
        """
        if self._port is None:
            return None
        # The kernel resets connections that still wait for accept when the
        # listening socket is closed, so they are accepted first.
        self._port.doRead()
        closing = maybeDeferred(self._port.stopListening)
        return closing.addCallback(lambda _: ensureDeferred(self._close_connections()))

    async def _close_connections(self) -> None:
        self._linger_ended = Deferred()
        self.tell(TIMERS, Subscribe(self.name, _LINGER_TIMER, CLOSE_DELAY_S))
        await self._linger_ended
        await self._gate.drain()
        self._connections.close()

    def _timer_fired(self, fired: TimerFired) -> None:
        self._linger_ended.callback(None)

    def _configuration_changed(self, message: ConfigurationChanged) -> None:
        self._has_configuration = True
        self._metrics.set_configuration(message.configuration)

    def _drain(self, message: requests.Drain) -> Deferred:
        return self._gate.drain()

    def _respond(self, request: LimitedRequest) -> None:
        """Respond to a request; never raises."""
        correlation_id = _correlation_id(request)
        request.setHeader(b"X-Correlation-Id", correlation_id.encode("ascii"))
        request.setHeader(b"Cache-Control", b"no-store")
        response = self._probe_response(request, correlation_id)
        if response is None and self._asks_in_progress >= self._settings.requests_limit:
            response = problem_response(_overloaded(), correlation_id)
        if response is not None:
            self._write(request, response)
            return
        self._start_request(request, correlation_id)

    def _probe_response(
        self, request: LimitedRequest, correlation_id: str
    ) -> Response | None:
        """Return the response to a health or metrics request, else None.

        These requests are exempt from the limit on requests in progress.
        """
        if request.method not in (b"GET", b"HEAD"):
            return None
        if request.path == b"/livez":
            return Response(200, "text/plain", b"ok\n")
        if request.path == b"/metrics":
            return Response(200, self._metrics.content_type, self._metrics.render())
        if request.path == b"/readyz":
            problem = self._readiness_problem()
            if problem is not None:
                return problem_response(problem, correlation_id)
            return Response(200, "text/plain", b"ready\n")
        return None

    def _readiness_problem(self) -> RedwingrudderError | None:
        if self._gate.is_draining:
            return UnavailableError("the node is shutting down", code="draining")
        if not self._has_configuration:
            return UnavailableError(
                "the node has no configuration yet", code="no_configuration"
            )
        return None

    def _start_request(self, request: LimitedRequest, correlation_id: str) -> None:
        self._asks_in_progress += 1
        self._open_requests.add(request)
        self._gate.begin_request()
        # The request also ends when the caller disconnects. Its processing
        # continues, because a job outlives the connection of its caller.
        request.notifyFinish().addBoth(self._request_ended, request)
        pending = ensureDeferred(self._build_response(request, correlation_id))
        pending.addErrback(self._log_unexpected, correlation_id)
        pending.addCallback(self._response_ready, request)

    async def _build_response(
        self, request: LimitedRequest, correlation_id: str
    ) -> Response:
        try:
            return await self._resources.respond(
                _to_http_request(request, correlation_id)
            )
        except RedwingrudderError as error:
            self._metrics.count_refusal(error.code)
            if error.http_status >= _SERVER_ERROR_STATUS:
                _logger.warning(
                    "request refused",
                    extra={"correlation_id": correlation_id, "error": str(error)},
                )
            return problem_response(error, correlation_id)

    def _log_unexpected(self, failure: Failure, correlation_id: str) -> Response:
        _logger.error(
            "request failed unexpectedly",
            extra={
                "correlation_id": correlation_id,
                "error": repr(failure.value),
                "traceback": failure.getTraceback(),
            },
        )
        self._metrics.count_refusal(RedwingrudderError.code)
        return internal_problem(correlation_id)

    def _response_ready(self, response: Response, request: LimitedRequest) -> None:
        self._asks_in_progress -= 1
        if request in self._open_requests:
            self._write(request, response)

    def _write(self, request: LimitedRequest, response: Response) -> None:
        if self._gate.is_draining:
            request.setHeader(b"Connection", b"close")
            request.channel.persistent = False
        request.write_response(response)

    def _request_ended(self, _: object, request: LimitedRequest) -> None:
        self._open_requests.discard(request)
        self._gate.end_request()


def _correlation_id(request: LimitedRequest) -> str:
    """Return the caller's correlation id if it is valid, else a new one."""
    caller_id = request.header("X-Correlation-Id")
    if caller_id is not None and _CORRELATION_ID_PATTERN.fullmatch(caller_id):
        return caller_id
    return uuid.uuid4().hex


def _to_http_request(request: LimitedRequest, correlation_id: str) -> HttpRequest:
    raw_path = request.path.decode("ascii", "replace")
    return HttpRequest(
        method=request.method.decode("ascii", "replace"),
        path=tuple(unquote(part) for part in raw_path.split("/")[1:]),
        query={
            name.decode("ascii", "replace"): tuple(
                value.decode("ascii", "replace") for value in values
            )
            for name, values in request.args.items()
        },
        headers={
            name: value
            for name in ("content-type", "idempotency-key", "if-match")
            if (value := request.header(name)) is not None
        },
        content=request.content.read(),
        correlation_id=correlation_id,
    )


def _overloaded() -> RedwingrudderError:
    return UnavailableError(
        "the limit of requests in progress at this node is reached",
        code="overloaded",
        retry_after_s=OVERLOAD_RETRY_S,
    )
