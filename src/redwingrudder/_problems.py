"""Error answers of the HTTP interface (application/problem+json)."""

import json
import math
from http import HTTPStatus
from typing import NamedTuple, NotRequired, TypedDict

from .exceptions import RedwingrudderError

CONTENT_TYPE = "application/problem+json"
PROBLEMS_LIMIT = 50  # findings listed in one answer


class Response(NamedTuple):
    """An HTTP answer that is ready to be written."""

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


class ProblemBody(TypedDict):
    """Body of every error answer."""

    code: str
    title: str
    detail: str
    status: int
    correlation_id: str
    problems: list[str]
    retry_after_s: NotRequired[float]


def problem_answer(error: RedwingrudderError, correlation_id: str) -> Response:
    """Return the answer for an error of the library."""
    body = problem_body(error, correlation_id)
    headers: tuple[tuple[str, str], ...] = ()
    if error.retry_after_s is not None:
        body["retry_after_s"] = error.retry_after_s
        headers = (("Retry-After", str(max(1, math.ceil(error.retry_after_s)))),)
    text = json.dumps(body, separators=(",", ":"))
    return Response(error.http_status, CONTENT_TYPE, text.encode(), headers)


def problem_body(error: RedwingrudderError, correlation_id: str) -> ProblemBody:
    """Return the fields that every error answer has."""
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
    """Return the answer for an unexpected exception, without its text."""
    error = RedwingrudderError(
        "an unexpected error occurred; the log has it under the correlation id"
    )
    return problem_answer(error, correlation_id)
