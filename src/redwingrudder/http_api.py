"""HTTP front end for callers and operators (twisted.web).

The paths are in ``_http_resources``; this actor owns the listening socket,
bounds the requests in progress and carries out the drain.
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
from ._http_resources import Call, Resources
from ._http_server import ApiSite, BoundedConnections, LimitedRequest
from ._problems import Response, internal_problem, problem_answer
from .actors import Actor, ActorSystem, Handler
from .exceptions import RedwingrudderError, UnavailableError
from .messages import ConfigurationChanged
from .metrics import NodeMetrics
from .timers import TIMERS, Subscribe, TimerFired

LISTEN_BACKLOG = 1_024  # connections that the kernel holds for accept
REQUESTS_LIMIT = 10_000  # requests in progress
OVERLOAD_RETRY_S = 1.0
# A caller that connected just before the listening socket closed still sends
# its request; closing at once would leave it without an answer.
LINGER_S = 0.5

_LINGER_TIMER = "linger"
_CORRELATION_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
_logger = logging.getLogger(__name__)


class HttpApiSettings(NamedTuple):
    """Where the front end listens; port 0 takes any free port."""

    interface: str
    port: int
    requests_limit: int = REQUESTS_LIMIT


class HttpApi(Actor):
    """Answers callers, operators, the balancer and the metrics reader."""

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
        self._configured = False
        self._asks_outstanding = 0
        self._live_requests: set[LimitedRequest] = set()
        self._port: IListeningPort | None = None
        self._lingered = Deferred()
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
        """The port that the front end listens on."""
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
        """Refuse new connections, end the requests in progress, then close."""
        if self._port is None:
            return None
        # The kernel resets connections that wait for accept at the close.
        self._port.doRead()
        closing = maybeDeferred(self._port.stopListening)
        return closing.addCallback(lambda _: ensureDeferred(self._end_connections()))

    async def _end_connections(self) -> None:
        self._lingered = Deferred()
        self.tell(TIMERS, Subscribe(self.name, _LINGER_TIMER, LINGER_S))
        await self._lingered
        await self._gate.drain()
        self._connections.close()

    def _timer_fired(self, fired: TimerFired) -> None:
        self._lingered.callback(None)

    def _configuration_changed(self, message: ConfigurationChanged) -> None:
        self._configured = True
        self._metrics.set_configuration(message.configuration)

    def _drain(self, message: requests.Drain) -> Deferred:
        return self._gate.drain()

    def _respond(self, request: LimitedRequest) -> None:
        """Answer a request of the site; never raises."""
        correlation_id = _correlation_id(request)
        request.setHeader(b"X-Correlation-Id", correlation_id.encode("ascii"))
        request.setHeader(b"Cache-Control", b"no-store")
        answer = self._probe_answer(request, correlation_id)
        if answer is None and self._asks_outstanding >= self._settings.requests_limit:
            answer = problem_answer(_overloaded(), correlation_id)
        if answer is not None:
            self._write(request, answer)
            return
        self._begin(request, correlation_id)

    def _probe_answer(
        self, request: LimitedRequest, correlation_id: str
    ) -> Response | None:
        """Answer the balancer and the metrics reader, even when overloaded."""
        if request.method not in (b"GET", b"HEAD"):
            return None
        if request.path == b"/livez":
            return Response(200, "text/plain", b"ok\n")
        if request.path == b"/metrics":
            return Response(200, self._metrics.content_type, self._metrics.render())
        if request.path == b"/readyz":
            problem = self._not_ready()
            if problem is not None:
                return problem_answer(problem, correlation_id)
            return Response(200, "text/plain", b"ready\n")
        return None

    def _not_ready(self) -> RedwingrudderError | None:
        if self._gate.is_draining:
            return UnavailableError("the node is shutting down", code="draining")
        if not self._configured:
            return UnavailableError(
                "the node has no configuration yet", code="no_configuration"
            )
        return None

    def _begin(self, request: LimitedRequest, correlation_id: str) -> None:
        self._asks_outstanding += 1
        self._live_requests.add(request)
        self._gate.begin_request()
        # The request also ends when the caller disconnects; what was asked
        # for goes on, because a job outlives the connection of its caller.
        request.notifyFinish().addBoth(self._request_ended, request)
        answering = ensureDeferred(self._answer(request, correlation_id))
        answering.addErrback(self._log_unexpected, correlation_id)
        answering.addCallback(self._answered, request)

    async def _answer(self, request: LimitedRequest, correlation_id: str) -> Response:
        try:
            return await self._resources.answer(_call(request, correlation_id))
        except RedwingrudderError as error:
            self._metrics.count_refusal(error.code)
            if error.http_status >= 500:
                _logger.warning(
                    "request refused",
                    extra={"correlation_id": correlation_id, "error": str(error)},
                )
            return problem_answer(error, correlation_id)

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

    def _answered(self, answer: Response, request: LimitedRequest) -> None:
        self._asks_outstanding -= 1
        if request in self._live_requests:
            self._write(request, answer)

    def _write(self, request: LimitedRequest, answer: Response) -> None:
        if self._gate.is_draining:
            request.setHeader(b"Connection", b"close")
            request.channel.persistent = False
        request.write_response(answer)

    def _request_ended(self, _: object, request: LimitedRequest) -> None:
        self._live_requests.discard(request)
        self._gate.end_request()


def _correlation_id(request: LimitedRequest) -> str:
    """Return the caller's correlation id if well formed, or a new one."""
    given = request.header("X-Correlation-Id")
    if given is not None and _CORRELATION_ID_PATTERN.fullmatch(given):
        return given
    return uuid.uuid4().hex


def _call(request: LimitedRequest, correlation_id: str) -> Call:
    raw_path = request.path.decode("ascii", "replace")
    return Call(
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
        "too many requests are in progress at this node",
        code="overloaded",
        retry_after_s=OVERLOAD_RETRY_S,
    )
