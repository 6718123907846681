"""HTTP front end for the platform's clients.

Translates submissions, queries and cancellations into actor messages.
"""

import json
import logging
import math
import time
import uuid
from typing import Any, NamedTuple

from .._background import run
from .._checked_json import Fields, parse_json
from .._http_server import ApiSite, BoundedConnections, LimitedRequest
from .._problems import Response
from .._token_bucket import TokenBucket
from ..actors import Actor, ActorSystem, Handler
from ..coordination.gateways import INTAKE, OperatorConfiguration, Queue
from ..coordination.messages import (
    CancelWorkflow,
    ConfigurationInForce,
    Drain,
    GetQueueLength,
    GetState,
    NewestConfigurationVersion,
    SubmitWorkflow,
)
from ..coordination.metrics import METRICS, IncrementCounter, ObserveDuration
from ..exceptions import (
    BadRequestError,
    OutcomeUnknownError,
    RedwingrudderError,
    UnavailableError,
)
from ..workflows.model import StepSpec, Workflow
from .registry import decode_resources

FRONT_END = "front"
# Share of the client's timeout within which the node answers.
ANSWER_TIMEOUT_SHARE = 0.8
DEFAULT_TIMEOUT_S = 3.0
RETRY_AFTER_S = 1.0
REFUSAL_LOGS_PER_S = 20.0  # refusals above this rate are only counted
ID_HEX_DIGITS = 16
MAX_STEPS = 64
MAX_TASKS = 20_000  # of one workflow, over all its occurrences
LOGGED_RESPONSE_CHARACTERS = 200
LISTEN_BACKLOG = 1024  # connections

_logger = logging.getLogger(__name__)


class EndOpenRequests(NamedTuple):
    """Tells FRONT_END to answer all open requests before the node exits."""


class FrontEnd(Actor):
    """Serves HTTP clients at the ingress address.

    Args:
        system: Actor system of the node.
        reactor: The Twisted reactor.
        address: Host and port to listen on.
    """

    def __init__(
        self, system: ActorSystem, reactor: Any, address: tuple[str, int]
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._configuration: OperatorConfiguration | None = None
        self._newest_version = 0
        self._draining = False
        # Connection errors of each request that is not answered yet.
        self._errors_by_request: dict[LimitedRequest, list[object]] = {}
        self._refusal_logs = TokenBucket(
            REFUSAL_LOGS_PER_S, REFUSAL_LOGS_PER_S, reactor.seconds()
        )
        self._port: Any = None
        self._site = BoundedConnections(
            ApiSite(self._respond, lambda _: uuid.uuid4().hex, reactor)
        )
        super().__init__(system, FRONT_END)

    @property
    def open_requests(self) -> int:
        """Number of requests that are not answered yet."""
        return len(self._errors_by_request)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            ConfigurationInForce: self._configure,
            NewestConfigurationVersion: self._set_newest_version,
            Drain: self._drain,
            EndOpenRequests: lambda _: self._end_open_requests(),
        }

    def start(self) -> None:
        """Listen for clients at the ingress address."""
        host, port = self._address
        self._port = self._reactor.listenTCP(
            port, self._site, backlog=LISTEN_BACKLOG, interface=host
        )

    def stop(self) -> Any:
        """Stop listening and close all connections."""
        self._site.close()
        return self._port.stopListening() if self._port is not None else None

    def _configure(self, message: ConfigurationInForce) -> None:
        self._configuration = message.configuration

    def _set_newest_version(self, message: NewestConfigurationVersion) -> None:
        self._newest_version = message.version

    def _drain(self, message: Drain) -> None:
        """Close each client connection after its next response."""
        self._draining = True

    def _end_open_requests(self) -> None:
        """Answer the requests whose handlers have not finished in time.

        A write may have taken effect or may do so later, so only reads get an
        answer that says that nothing was done.
        """
        for request in list(self._errors_by_request):
            if request.method == b"GET":
                error = UnavailableError(
                    "the node is shutting down", retry_after_s=RETRY_AFTER_S
                )
            else:
                error = OutcomeUnknownError(
                    "the node shuts down before the request is completed"
                )
            self._finish(request, _error_response(_status_of(error), error))

    def _respond(self, request: LimitedRequest) -> None:
        connection_errors: list[object] = []
        self._errors_by_request[request] = connection_errors
        request.notifyFinish().addErrback(connection_errors.append)
        run(self._answer(request), FRONT_END)

    async def _answer(self, request: LimitedRequest) -> None:
        started_at = self._reactor.seconds()
        try:
            response = await self._handle(request)
        except RedwingrudderError as error:
            response = _error_response(_status_of(error), error)
        except Exception:
            _logger.exception("request handler raised an unexpected exception")
            response = _json_response(500, {"error": "internal_error"})
        if request not in self._errors_by_request:
            return
        self._count_request(
            request, response.status, self._reactor.seconds() - started_at
        )
        self._finish(request, response)

    def _finish(self, request: LimitedRequest, response: Response) -> None:
        """Send the response of an open request unless its client has left."""
        connection_errors = self._errors_by_request.pop(request)
        if response.status >= 400:
            self._log_refusal(request, response)
        if connection_errors:
            return
        if self._draining or response.status == 503:
            # The load balancer routes the client's next connection to a node
            # that is ready; an open connection would stay with this node.
            request.setHeader(b"Connection", b"close")
        request.write_response(response)

    def _count_request(
        self, request: LimitedRequest, status: int, seconds: float
    ) -> None:
        method = request.method.decode("ascii", "replace")
        if method not in ("GET", "POST", "DELETE"):
            method = "other"
        self.tell(METRICS, IncrementCounter("requests", (method, str(status))))
        self.tell(METRICS, ObserveDuration("request_seconds", (method,), seconds))

    def _log_refusal(self, request: LimitedRequest, response: Response) -> None:
        """Log a response with an error status, at a limited rate."""
        if not self._refusal_logs.take(self._reactor.seconds()):
            _logger.info(
                "request refused",
                extra={
                    "job": request.path.decode("ascii", "replace").rpartition("/")[2],
                    "method": request.method.decode("ascii", "replace"),
                    "status": response.status,
                    "answer": response.body.decode("utf-8", "replace")[
                        :LOGGED_RESPONSE_CHARACTERS
                    ],
                    "configuration_version": (
                        self._configuration.version if self._configuration else 0
                    ),
                    "newest_version": self._newest_version,
                },
            )

    async def _handle(self, request: LimitedRequest) -> Response:
        configuration = self._configuration
        if configuration is None:
            raise UnavailableError(
                "the node has not received a configuration yet",
                code="no_configuration",
                retry_after_s=RETRY_AFTER_S,
            )
        host = (request.header("Host") or "").partition(":")[0]
        path = request.path.decode("ascii", "replace")
        queue = configuration.find_queue(host, path)
        if queue is None:
            self._check_not_outdated(configuration)
            return _json_response(404, {"error": "no_such_queue"})
        organisation = self._find_organisation(request, configuration)
        if organisation is None and not queue.open:
            self._check_not_outdated(configuration)
            return _json_response(401, {"error": "unknown_key"})
        workflow_id = path[len(queue.prefix) :]
        return await self._serve(
            request, queue, organisation or "", workflow_id, configuration.version
        )

    def _check_not_outdated(self, configuration: OperatorConfiguration) -> None:
        """Raise an error if the queue or key may be in a newer version.

        Raises:
            UnavailableError: A peer has a newer version.
        """
        if configuration.version < self._newest_version:
            raise UnavailableError(
                f"version {self._newest_version} of the configuration has not "
                "arrived yet",
                code="configuration_outdated",
                retry_after_s=RETRY_AFTER_S,
            )

    def _find_organisation(
        self, request: LimitedRequest, configuration: OperatorConfiguration
    ) -> str | None:
        scheme, _, key = (request.header("Authorization") or "").partition(" ")
        if scheme.lower() != "token":
            return None
        return configuration.organisations_by_key.get(key.strip())

    async def _serve(
        self,
        request: LimitedRequest,
        queue: Queue,
        organisation: str,
        workflow_id: str,
        version: int,
    ) -> Response:
        timeout_s = ANSWER_TIMEOUT_SHARE * _client_timeout_s(request, queue)
        if request.method == b"POST":
            workflow = decode_submission(
                workflow_id,
                request.content.getvalue(),
                queue,
                organisation,
                version,
            )
            await self.ask(INTAKE, SubmitWorkflow(workflow, timeout_s))
            return _json_response(200, {})
        if request.method == b"GET" and not workflow_id:
            count = await self.ask(INTAKE, GetQueueLength(queue.name))
            return _json_response(200, {"pending": count})
        if request.method == b"GET":
            state = await self.ask(INTAKE, GetState(workflow_id))
            if not state:
                return _json_response(410, {"error": "no_such_job"})
            return _json_response(200, {"state": str(state)})
        if request.method == b"DELETE" and workflow_id:
            if not is_valid_id(workflow_id):
                return _json_response(410, {"error": "no_such_job"})
            found = await self.ask(INTAKE, CancelWorkflow(workflow_id, timeout_s))
            return _json_response(200 if found else 410, {})
        return _json_response(405, {"error": "method_not_allowed"})


def is_valid_id(workflow_id: str) -> bool:
    """Return whether a submission may have the id."""
    return len(workflow_id) == ID_HEX_DIGITS and all(
        character in "0123456789abcdefABCDEF" for character in workflow_id
    )


def decode_submission(
    workflow_id: str, content: bytes, queue: Queue, organisation: str, version: int
) -> Workflow:
    """Decode the body of a submission into a workflow.

    Args:
        workflow_id: Id chosen by the caller.
        content: The body.
        queue: Queue of the submission.
        organisation: Organisation that owns the workflow.
        version: Version of the configuration that has the queue.

    Raises:
        BadRequestError: The id or the body is invalid, or the workflow has
            too many steps or tasks.
    """
    if not is_valid_id(workflow_id):
        raise BadRequestError(
            "the workflow id must have 16 hexadecimal digits", code="invalid_id"
        )
    try:
        body = Fields(parse_json(content), "job")
        steps = tuple(
            _decode_step(entry, index)
            for index, entry in enumerate(body.children("steps", required=True))
        )
        # Times of day are sent in milliseconds.
        workflow = Workflow(
            workflow_id=workflow_id,
            queue=queue.name,
            organisation=organisation,
            payload=body.text("spec", ""),
            steps=steps,
            policy=queue.policy,
            accepted_at=time.time(),
            first_due_at=body.number("startAtMs", 0) / 1000,
            interval_s=body.seconds("intervalMs"),
            occurrences=max(body.integer("repeats", 0, high=MAX_TASKS), 1),
            policy_version=version,
        )
    except ValueError as error:
        raise BadRequestError(f"invalid job: {error}", code="invalid_body") from error
    tasks = sum(step.tasks for step in steps) * workflow.occurrences
    if not 0 < len(steps) <= MAX_STEPS or tasks > MAX_TASKS:
        raise BadRequestError(
            f"a workflow has 1 to {MAX_STEPS} steps and at most {MAX_TASKS} tasks; "
            f"got {len(steps)} steps",
            code="invalid_body",
        )
    return workflow


def _decode_step(entry: Fields, index: int) -> StepSpec:
    after = tuple(entry.integers("after"))
    if any(step >= index for step in after):
        raise ValueError(f"step {index} may only depend on earlier steps")
    return StepSpec(
        tasks=entry.integer("count", low=1, high=MAX_TASKS),
        demand=decode_resources(entry),
        estimate_s=entry.seconds("estimatedMs"),
        after=after,
        checkpoints=entry.flag("checkpointing"),
        gang=entry.flag("gang"),
        same_rack=entry.flag("sameRack"),
        worker_label=entry.text("requirements", ""),
        data_rack=entry.text("dataRack", ""),
        worker_limit=entry.integer("maxPerServer", 0),
        copies_allowed=entry.flag("speculative"),
        service=entry.flag("longRunning"),
        image=entry.text("image", ""),
        latency_target_ms=int(entry.number("targetMs", 0)),
        fills=entry.flag("fills"),
        unavailable_limit=entry.integer("maxMissing", 0),
    )


def _client_timeout_s(request: LimitedRequest, queue: Queue) -> float:
    """Return how many seconds the client waits for an answer.

    This is the shorter of the client's header and the timeout of the queue,
    or ``DEFAULT_TIMEOUT_S`` if neither is set.
    """
    try:
        requested_s = float(request.header("X-Timeout-Ms") or 0) / 1000
    except ValueError:
        requested_s = 0.0
    limits = [
        value
        for value in (requested_s, queue.timeout_s)
        if value > 0 and math.isfinite(value)
    ]
    return min(limits, default=DEFAULT_TIMEOUT_S)


def _json_response(
    status: int, body: dict[str, Any], retry_after_s: float = 0.0
) -> Response:
    headers = ()
    if retry_after_s:
        headers = (("Retry-After", str(max(1, round(retry_after_s)))),)
    return Response(status, "application/json", json.dumps(body).encode(), headers)


def _status_of(error: RedwingrudderError) -> int:
    return 504 if isinstance(error, OutcomeUnknownError) else error.http_status


def _error_response(status: int, error: RedwingrudderError) -> Response:
    body: dict[str, Any] = {"error": error.code, "detail": error.detail}
    if error.retry_after_s:
        body["retryAfterMs"] = int(error.retry_after_s * 1000)
    return _json_response(status, body, error.retry_after_s or 0.0)
