"""Calls of the platform's clients, translated to the product's messages."""

import json
import logging
import time
import uuid
from typing import Any

from .._background import run
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
from .registry import resources

FRONT_END = "front"
ANSWER_SHARE = 0.8  # of the caller's patience, spent before an answer is due
DEFAULT_PATIENCE_S = 3.0
RETRY_AFTER_S = 1.0
REFUSAL_LOGS_PER_S = 20.0  # lines of one node; refusals above are counted only
ID_LENGTH = 16
STEPS_LIMIT = 64
TASKS_LIMIT = 20_000  # of one workflow

_logger = logging.getLogger(__name__)


class FrontEnd(Actor):
    """Serves the ingress address.

    Args:
        system: The node's actors.
        reactor: Provides connections.
        address: Host and port.
    """

    def __init__(
        self, system: ActorSystem, reactor: Any, address: tuple[str, int]
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._configuration: OperatorConfiguration | None = None
        self._draining = False
        self._open = 0
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
        """Requests that are not answered yet."""
        return self._open

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {ConfigurationInForce: self._configure, Drain: self._drain}

    def start(self) -> None:
        """Listen for clients."""
        host, port = self._address
        self._port = self._reactor.listenTCP(
            port, self._site, backlog=1024, interface=host
        )

    def stop(self) -> Any:
        """Close the address and all connections."""
        self._site.close()
        return self._port.stopListening() if self._port is not None else None

    def _configure(self, message: ConfigurationInForce) -> None:
        self._configuration = message.configuration

    def _drain(self, message: Drain) -> None:
        """Close each connection after its next answer."""
        self._draining = True

    def _respond(self, request: LimitedRequest) -> None:
        self._open += 1
        lost: list[object] = []
        request.notifyFinish().addErrback(lost.append)
        run(self._answer(request, lost), FRONT_END)

    async def _answer(self, request: LimitedRequest, lost: list[object]) -> None:
        begun = self._reactor.seconds()
        try:
            answer = await self._handle(request)
        except OutcomeUnknownError as error:
            answer = _error(504, error)
        except RedwingrudderError as error:
            answer = _error(error.http_status, error)
        except Exception:
            _logger.exception("request failed")
            answer = _json(500, {"error": "internal_error"})
        finally:
            self._open -= 1
        self._count(request, answer.status, self._reactor.seconds() - begun)
        if answer.status >= 400:
            self._log_refusal(request, answer)
        if lost:
            return
        if self._draining or answer.status == 503:
            # The balancer leads the caller's next connection to a node that
            # is ready; an open one would stay here.
            request.setHeader(b"Connection", b"close")
        request.write_response(answer)

    def _count(self, request: LimitedRequest, status: int, seconds: float) -> None:
        method = request.method.decode("ascii", "replace")
        if method not in ("GET", "POST", "DELETE"):
            method = "other"
        self.tell(METRICS, IncrementCounter("requests", (method, str(status))))
        self.tell(METRICS, ObserveDuration("request_seconds", (method,), seconds))

    def _log_refusal(self, request: LimitedRequest, answer: Response) -> None:
        """Log what was not done for a caller, in bounded volume."""
        if not self._refusal_logs.take(self._reactor.seconds()):
            _logger.info(
                "request refused",
                extra={
                    "job": request.path.decode("ascii", "replace").rpartition("/")[2],
                    "method": request.method.decode("ascii", "replace"),
                    "status": answer.status,
                    "answer": answer.body.decode("utf-8", "replace")[:200],
                    "configuration_version": (
                        self._configuration.version if self._configuration else 0
                    ),
                },
            )

    async def _handle(self, request: LimitedRequest) -> Response:
        configuration = self._configuration
        if configuration is None:
            raise UnavailableError(
                "no configuration yet",
                code="no_configuration",
                retry_after_s=RETRY_AFTER_S,
            )
        host = (request.header("Host") or "").partition(":")[0]
        path = request.path.decode("ascii", "replace")
        queue = configuration.find_queue(host, path)
        if queue is None:
            return _json(404, {"error": "no_such_queue"})
        organisation = self._organisation(request, configuration)
        if organisation is None and not queue.open:
            return _json(401, {"error": "unknown_key"})
        name = path[len(queue.prefix) :]
        return await self._serve(request, queue, organisation or "", name)

    def _organisation(
        self, request: LimitedRequest, configuration: OperatorConfiguration
    ) -> str | None:
        scheme, _, key = (request.header("Authorization") or "").partition(" ")
        if scheme.lower() != "token":
            return None
        return configuration.organisations_by_key.get(key.strip())

    async def _serve(
        self, request: LimitedRequest, queue: Queue, organisation: str, name: str
    ) -> Response:
        patience_s = ANSWER_SHARE * _patience(request, queue)
        if request.method == b"POST":
            workflow = decode_submission(
                name, request.content.getvalue(), queue, organisation
            )
            await self.ask(INTAKE, SubmitWorkflow(workflow, patience_s))
            return _json(200, {})
        if request.method == b"GET" and not name:
            count = await self.ask(INTAKE, GetQueueLength(queue.name))
            return _json(200, {"pending": count})
        if request.method == b"GET":
            state = await self.ask(INTAKE, GetState(name))
            if not state:
                return _json(410, {"error": "no_such_job"})
            return _json(200, {"state": str(state)})
        if request.method == b"DELETE" and name:
            known = await self.ask(INTAKE, CancelWorkflow(name, patience_s))
            return _json(200 if known else 410, {})
        return _json(405, {"error": "method_not_allowed"})


def decode_submission(
    workflow_id: str, content: bytes, queue: Queue, organisation: str
) -> Workflow:
    """Return the workflow of a client's body.

    Raises:
        BadRequestError: The id or the body is not usable.
    """
    if len(workflow_id) != ID_LENGTH or not all(
        character in "0123456789abcdefABCDEF" for character in workflow_id
    ):
        raise BadRequestError("the id has 16 hexadecimal digits", code="invalid_id")
    try:
        body = json.loads(content)
        steps = tuple(_step(entry, index) for index, entry in enumerate(body["steps"]))
        # Times of day are milliseconds on the wire.
        workflow = Workflow(
            workflow_id=workflow_id,
            queue=queue.name,
            organisation=organisation,
            payload=str(body.get("spec", "")),
            steps=steps,
            policy=queue.policy,
            accepted_at=time.time(),
            first_due_at=body.get("startAtMs", 0) / 1000,
            interval_s=body.get("intervalMs", 0) / 1000,
            occurrences=max(int(body.get("repeats", 0)), 1),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise BadRequestError(f"not a job: {error!r}", code="invalid_body") from error
    tasks = sum(step.tasks for step in steps) * workflow.occurrences
    if not 0 < len(steps) <= STEPS_LIMIT or tasks > TASKS_LIMIT:
        raise BadRequestError("too many or no steps or tasks", code="invalid_body")
    return workflow


def _step(entry: dict[str, Any], index: int) -> StepSpec:
    after = tuple(int(step) for step in entry.get("after") or [])
    if any(not 0 <= step < index for step in after):
        raise ValueError("a step may only wait for earlier ones")
    tasks = int(entry.get("count", 0))
    if tasks < 1:
        raise ValueError("a step has at least one task")
    return StepSpec(
        tasks=tasks,
        demand=resources(entry),
        estimate_s=entry.get("estimatedMs", 0) / 1000,
        after=after,
        checkpoints=bool(entry.get("checkpointing")),
        gang=bool(entry.get("gang")),
        same_rack=bool(entry.get("sameRack")),
        worker_label=entry.get("requirements") or "",
        data_rack=entry.get("dataRack") or "",
        worker_limit=int(entry.get("maxPerServer") or 0),
        copies_allowed=bool(entry.get("speculative")),
        service=bool(entry.get("longRunning")),
        image=str(entry.get("image") or ""),
        latency_target_ms=int(entry.get("targetMs") or 0),
        fills=bool(entry.get("fills")),
        unavailable_limit=int(entry.get("maxMissing") or 0),
    )


def _patience(request: LimitedRequest, queue: Queue) -> float:
    """Return the seconds for which the caller waits."""
    try:
        told_s = float(request.header("X-Timeout-Ms") or 0) / 1000
    except ValueError:
        told_s = 0.0
    limits = [value for value in (told_s, queue.timeout_s) if value > 0]
    return min(limits, default=DEFAULT_PATIENCE_S)


def _json(status: int, body: dict[str, Any], retry_after_s: float = 0.0) -> Response:
    headers = ()
    if retry_after_s:
        headers = (("Retry-After", str(max(1, round(retry_after_s)))),)
    return Response(status, "application/json", json.dumps(body).encode(), headers)


def _error(status: int, error: RedwingrudderError) -> Response:
    body: dict[str, Any] = {"error": error.code, "detail": error.detail}
    if error.retry_after_s:
        body["retryAfterMs"] = int(error.retry_after_s * 1000)
    return _json(status, body, error.retry_after_s or 0.0)
