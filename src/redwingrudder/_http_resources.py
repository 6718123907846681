"""Resources of the HTTP interface.

Converts requests to actor messages, and their replies to responses. This
module does no I/O: ``http_api`` passes each request to ``Resources`` and
writes the response.
"""

import math
import re
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypedDict
from urllib.parse import quote

from . import requests
from ._job_body import WAIT_LIMIT_S, check_content_type, parse_job
from ._json_values import to_json
from ._problems import Response
from .configuration import ConfigurationDocument, to_document
from .exceptions import (
    BadRequestError,
    MethodNotAllowedError,
    NotFoundError,
    PreconditionRequiredError,
    RedwingrudderError,
)
from .model import FINAL_JOB_STATES, CellAssignment, Configuration, JobView

JSON_TYPE = "application/json"
METHOD_TEXT_LIMIT = 20  # characters of a rejected method that a message repeats
_JOB_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,199}")
_VERSION_PATTERN = re.compile(r'(?:"(\d{1,18})"|(\d{1,18}))')

Ask = Callable[[str, Any], Awaitable[Any]]


class HttpRequest(NamedTuple):
    """An HTTP request, independent of the server library.

    ``path`` has the decoded segments, ``headers`` has lower-case names.
    """

    method: str
    path: tuple[str, ...]
    query: dict[str, tuple[str, ...]]
    headers: dict[str, str]
    content: bytes
    correlation_id: str


# The functional form is needed because "class" is a keyword.
JobViewBody = TypedDict(
    "JobViewBody",
    {
        "job_id": str,
        "organisation": str,
        "class": str,
        "state": str,
        "reason": str,
        "durable": bool,
        "target_missed": bool,
        "submitted_at": float,
        "finished_at": float | None,
        "results": list[str],
    },
)


class ConfigurationBody(TypedDict):
    """The current configuration.

    ``document`` has the format in which operators submit it. ``cells`` assigns
    each copy of each guaranteed shape to a failure domain.
    """

    version: int
    document: ConfigurationDocument
    cells: tuple[CellAssignment, ...]


Handler = Callable[[HttpRequest], Awaitable[Response]]


class Resources:
    """Handles the requests of callers and operators.

    Args:
        ask: Sends a message to an actor and returns its reply.
    """

    def __init__(self, ask: Ask) -> None:
        self._ask = ask

    async def respond(self, request: HttpRequest) -> Response:
        """Handle a request.

        Raises:
            RedwingrudderError: The request is invalid or was refused.
        """
        handlers = self._handlers(request.path)
        handler = handlers.get(request.method)
        if handler is None:
            allowed = ", ".join(sorted(handlers))
            raise MethodNotAllowedError(
                f"method {request.method[:METHOD_TEXT_LIMIT]} is not allowed here; "
                f"allowed: {allowed}"
            )
        return await handler(request)

    def _handlers(self, path: tuple[str, ...]) -> dict[str, Handler]:
        match path:
            case ("v1", "jobs"):
                return {"POST": self._submit}
            case ("v1", "jobs", _):
                return {"GET": self._poll, "DELETE": self._cancel}
            case ("v1", "jobs", _, "explain"):
                return {"GET": self._explain}
            case ("v1", "status"):
                return {"GET": self._status}
            case ("v1", "configuration"):
                return {"GET": self._get_configuration, "PUT": self._put_configuration}
        raise NotFoundError(
            "there is no resource at this path", code="no_such_resource"
        )

    async def _submit(self, request: HttpRequest) -> Response:
        spec, wait_s = parse_job(
            request.content,
            request.headers.get("content-type"),
            request.headers.get("idempotency-key"),
        )
        submission = requests.SubmitJob(spec, request.correlation_id)
        view = await self._ask(requests.ROUTER, submission)
        if wait_s > 0 and view.state not in FINAL_JOB_STATES:
            view = await self._wait(view, wait_s)
        return _view_response(view)

    async def _wait(self, accepted: JobView, wait_s: float) -> JobView:
        """Wait up to ``wait_s`` seconds for the end of an accepted job.

        If waiting fails, the accepted state is returned, because the caller
        needs the id of the job.
        """
        poll = requests.PollJob(accepted.job_id, wait_s)
        try:
            return await self._ask(requests.ROUTER, poll)
        except RedwingrudderError:
            return accepted

    async def _poll(self, request: HttpRequest) -> Response:
        poll = requests.PollJob(_job_id(request), _wait_s(request))
        return _view_response(await self._ask(requests.ROUTER, poll))

    async def _cancel(self, request: HttpRequest) -> Response:
        cancellation = requests.CancelJob(_job_id(request))
        return _view_response(await self._ask(requests.ROUTER, cancellation))

    async def _explain(self, request: HttpRequest) -> Response:
        message = requests.ExplainJob(_job_id(request))
        return _json_response(await self._ask(requests.ROUTER, message))

    async def _status(self, request: HttpRequest) -> Response:
        message = requests.GetDeploymentStatus()
        return _json_response(await self._ask(requests.ROUTER, message))

    async def _get_configuration(self, request: HttpRequest) -> Response:
        message = requests.GetConfiguration()
        return _configuration_response(await self._ask(requests.CONFIGURATION, message))

    async def _put_configuration(self, request: HttpRequest) -> Response:
        base_version = _base_version(request.headers.get("if-match"))
        check_content_type(request.headers.get("content-type"))
        document = _decode_utf8(request.content)
        change = requests.ApplyConfiguration(document, base_version)
        return _configuration_response(await self._ask(requests.CONFIGURATION, change))


def _job_id(request: HttpRequest) -> str:
    job_id = request.path[2]
    if not _JOB_ID_PATTERN.fullmatch(job_id):
        raise NotFoundError("the job id is malformed", code="no_such_job")
    return job_id


def _wait_s(request: HttpRequest) -> float:
    values = request.query.get("wait", ("0",))
    try:
        wait_s = float(values[0])
    except ValueError:
        wait_s = math.nan
    if len(values) != 1 or not 0 <= wait_s <= WAIT_LIMIT_S:
        raise BadRequestError(
            f"parameter wait must be a single number of seconds from 0 to "
            f"{WAIT_LIMIT_S:g}",
            code="invalid_wait",
        )
    return wait_s


def _base_version(if_match: str | None) -> int:
    if if_match is None:
        raise PreconditionRequiredError(
            "header If-Match is required: the version that the change is based on"
        )
    match = _VERSION_PATTERN.fullmatch(if_match.strip())
    if match is None:
        raise BadRequestError(
            'If-Match must be a version number, such as "12"', code="invalid_if_match"
        )
    return int(match[1] or match[2])


def _decode_utf8(content: bytes) -> str:
    """Decode a configuration document.

    It is not parsed here because its JSON may contain comments.
    """
    try:
        return content.decode("utf-8")
    except UnicodeDecodeError as error:
        raise BadRequestError(
            f"the body is not UTF-8: {error.reason}", code="malformed_json"
        ) from None


def _view_response(view: JobView) -> Response:
    body: JobViewBody = {
        "job_id": view.job_id,
        "organisation": view.organisation,
        "class": view.job_class,
        "state": str(view.state),
        "reason": view.reason,
        "durable": view.durable,
        "target_missed": view.target_missed,
        "submitted_at": view.submitted_at,
        "finished_at": view.finished_at,
        "results": list(view.results),
    }
    location = ("Location", f"/v1/jobs/{quote(view.job_id)}")
    final = view.state in FINAL_JOB_STATES
    return _json_response(body, 200 if final else 202, () if final else (location,))


def _configuration_response(configuration: Configuration) -> Response:
    headers = (("ETag", f'"{configuration.version}"'),)
    body: ConfigurationBody = {
        "version": configuration.version,
        "document": to_document(configuration),
        "cells": configuration.cells,
    }
    return _json_response(body, 200, headers)


def _json_response(
    value: Any, status: int = 200, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    return Response(status, JSON_TYPE, to_json(value).encode(), headers)
