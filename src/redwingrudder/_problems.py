"""Error responses of the HTTP interface (application/problem+json)."""

import json
import math
from http import HTTPStatus
from typing import NamedTuple, NotRequired, TypedDict

from .exceptions import RedwingrudderError

CONTENT_TYPE = "application/problem+json"
PROBLEMS_LIMIT = 50  # listed in one response
MIN_RETRY_AFTER_S = 1  # the header has whole seconds


class Response(NamedTuple):
    """A complete HTTP response, ready to be written."""

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


class ProblemBody(TypedDict):
    """Body of every error response.

    ``problems`` lists the invalid fields of a request body.
    """

    code: str
    title: str
    detail: str
    status: int
    correlation_id: str
    problems: list[str]
    retry_after_s: NotRequired[float]


def problem_response(error: RedwingrudderError, correlation_id: str) -> Response:
    """Return the response for an error, with Retry-After if it has one."""
    body = problem_body(error, correlation_id)
    headers: tuple[tuple[str, str], ...] = ()
    if error.retry_after_s is not None:
        body["retry_after_s"] = error.retry_after_s
        headers = (
            (
                "Retry-After",
                str(max(MIN_RETRY_AFTER_S, math.ceil(error.retry_after_s))),
            ),
        )
    text = json.dumps(body, separators=(",", ":"))
    return Response(error.http_status, CONTENT_TYPE, text.encode(), headers)


def problem_body(error: RedwingrudderError, correlation_id: str) -> ProblemBody:
    """Return the fields that every error response has."""
    problems = [str(problem) for problem in getattr(error, "problems", ())]
    return {
        "code": error.code,
        "title": HTTPStatus(error.http_status).phrase,
        "detail": error.detail,
        "status": error.http_status,
        "correlation_id": correlation_id,
        "problems": problems[:PROBLEMS_LIMIT],
    }


def internal_problem(correlation_id: str) -> Response:
    """Return the response for an unexpected exception.

    It does not contain the text of the exception.
    """
    error = RedwingrudderError(
        "an unexpected error occurred; it is logged with the correlation id"
    )
    return problem_response(error, correlation_id)
