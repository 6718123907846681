"""Paths of the HTTP interface: from a call to messages and back.

Nothing here touches a socket; ``http_api`` hands over each call and writes
the answer.
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
_JOB_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,199}")
_VERSION_PATTERN = re.compile(r'(?:"(\d{1,18})"|(\d{1,18}))')

Ask = Callable[[str, Any], Awaitable[Any]]


class Call(NamedTuple):
    """One HTTP request, independent of the server library."""

    method: str
    path: tuple[str, ...]
    query: dict[str, tuple[str, ...]]
    headers: dict[str, str]
    content: bytes
    correlation_id: str


# "class" is a keyword, hence the functional form.
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
    """The configuration in force.

    ``document`` is in the form that operators send; ``cells`` tells the
    failure domain of each copy of each guaranteed shape.
    """

    version: int
    document: ConfigurationDocument
    cells: tuple[CellAssignment, ...]


Handler = Callable[[Call], Awaitable[Response]]


class Resources:
    """Answers the calls of callers and operators.

    Args:
        ask: Sends a message to an actor and returns its reply.
    """

    def __init__(self, ask: Ask) -> None:
        self._ask = ask

    async def answer(self, call: Call) -> Response:
        """Return the answer; raises ``RedwingrudderError`` for problems."""
        handlers = self._handlers(call.path)
        handler = handlers.get(call.method)
        if handler is None:
            allowed = ", ".join(sorted(handlers))
            raise MethodNotAllowedError(f"{call.method[:20]} not in: {allowed}")
        return await handler(call)

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
        raise NotFoundError("no such resource", code="no_such_resource")

    async def _submit(self, call: Call) -> Response:
        spec, wait_s = parse_job(
            call.content,
            call.headers.get("content-type"),
            call.headers.get("idempotency-key"),
        )
        submission = requests.SubmitJob(spec, call.correlation_id)
        view = await self._ask(requests.ROUTER, submission)
        if wait_s > 0 and view.state not in FINAL_JOB_STATES:
            view = await self._wait(view, wait_s)
        return _view_answer(view)

    async def _wait(self, accepted: JobView, wait_s: float) -> JobView:
        """Wait for an accepted job; its id reaches the caller anyhow."""
        poll = requests.PollJob(accepted.job_id, wait_s)
        try:
            return await self._ask(requests.ROUTER, poll)
        except RedwingrudderError:
            return accepted

    async def _poll(self, call: Call) -> Response:
        poll = requests.PollJob(_job_id(call), _wait_s(call))
        return _view_answer(await self._ask(requests.ROUTER, poll))

    async def _cancel(self, call: Call) -> Response:
        cancellation = requests.CancelJob(_job_id(call))
        return _view_answer(await self._ask(requests.ROUTER, cancellation))

    async def _explain(self, call: Call) -> Response:
        question = requests.ExplainJob(_job_id(call))
        return _json_answer(await self._ask(requests.ROUTER, question))

    async def _status(self, call: Call) -> Response:
        question = requests.GetDeploymentStatus()
        return _json_answer(await self._ask(requests.ROUTER, question))

    async def _get_configuration(self, call: Call) -> Response:
        message = requests.GetConfiguration()
        return _configuration_answer(await self._ask(requests.CONFIGURATION, message))

    async def _put_configuration(self, call: Call) -> Response:
        base_version = _base_version(call.headers.get("if-match"))
        check_content_type(call.headers.get("content-type"))
        document = _decode_text(call.content)
        change = requests.ApplyConfiguration(document, base_version)
        return _configuration_answer(await self._ask(requests.CONFIGURATION, change))


def _job_id(call: Call) -> str:
    job_id = call.path[2]
    if not _JOB_ID_PATTERN.fullmatch(job_id):
        raise NotFoundError("no job has an id of this form", code="no_such_job")
    return job_id


def _wait_s(call: Call) -> float:
    values = call.query.get("wait", ("0",))
    try:
        wait_s = float(values[0])
    except ValueError:
        wait_s = math.nan
    if len(values) != 1 or not 0 <= wait_s <= WAIT_LIMIT_S:
        raise BadRequestError(
            f"wait must be one number of seconds from 0 to {WAIT_LIMIT_S:g}",
            code="invalid_wait",
        )
    return wait_s


def _base_version(if_match: str | None) -> int:
    if if_match is None:
        raise PreconditionRequiredError(
            "header If-Match must name the version that the change is based on"
        )
    match = _VERSION_PATTERN.fullmatch(if_match.strip())
    if match is None:
        raise BadRequestError(
            'If-Match must be a version number, such as "12"', code="invalid_if_match"
        )
    return int(match[1] or match[2])


def _decode_text(content: bytes) -> str:
    """Decode the operators' document, which may have comments."""
    try:
        return content.decode("utf-8")
    except UnicodeDecodeError as error:
        raise BadRequestError(
            f"the body is not UTF-8: {error.reason}", code="malformed_json"
        ) from None


def _view_answer(view: JobView) -> Response:
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
    return _json_answer(body, 200 if final else 202, () if final else (location,))


def _configuration_answer(configuration: Configuration) -> Response:
    headers = (("ETag", f'"{configuration.version}"'),)
    body: ConfigurationBody = {
        "version": configuration.version,
        "document": to_document(configuration),
        "cells": configuration.cells,
    }
    return _json_answer(body, 200, headers)


def _json_answer(
    value: Any, status: int = 200, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    return Response(status, JSON_TYPE, to_json(value).encode(), headers)
