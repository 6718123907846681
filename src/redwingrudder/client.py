"""HTTP client of the entry nodes, for callers and operators."""

import json
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

import treq
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.error import ConnectError, ConnectionClosed
from twisted.internet.interfaces import IReactorTime
from twisted.web.client import ResponseFailed, ResponseNeverReceived

from .exceptions import (
    BadRequestError,
    ConflictError,
    NotFoundError,
    OutcomeUnknownError,
    OverloadedError,
    RedwingrudderError,
    UnavailableError,
)

REQUEST_TIMEOUT_S = 40.0  # longer than the server's long poll of 30 s
FIRST_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500

_ERRORS_BY_STATUS: dict[int, type[RedwingrudderError]] = {
    404: NotFoundError,
    409: ConflictError,
    410: NotFoundError,
    412: ConflictError,
    429: OverloadedError,
    503: UnavailableError,
}


class HttpReply(NamedTuple):
    """A successful reply.

    Attributes:
        status: HTTP status code, below 400.
        body: The parsed JSON document; None if the reply has no body.
    """

    status: int
    body: Any


class Client:
    """Sends requests to one of several entry nodes.

    When a node is unavailable or does not answer, the request is sent to the
    next one. Requests are safe to repeat, since a submission carries its
    idempotency key and a configuration change its base version. Every request
    method raises the ``RedwingrudderError`` that the node answered with, or
    the last ``UnavailableError`` if no node could serve the request.

    Args:
        base_urls: ``http://host:port`` of each entry node, tried in order.
        reactor: The Twisted reactor.

    Raises:
        BadRequestError: ``base_urls`` is empty.
    """

    def __init__(self, base_urls: tuple[str, ...], reactor: IReactorTime) -> None:
        if not base_urls:
            raise BadRequestError("no entry node URL given, at least one is required")
        self._base_urls = tuple(url.rstrip("/") for url in base_urls)
        self._reactor = reactor

    async def submit(self, job: dict[str, Any], key: str) -> HttpReply:
        """Submit a job; a repetition with the same key has no effect."""
        headers = {"Idempotency-Key": key}
        return await self._request("POST", "/v1/jobs", job, headers)

    async def job(self, job_id: str, wait_s: float = 0.0) -> HttpReply:
        """Return a job, waiting up to ``wait_s`` seconds for it to end."""
        query = urlencode({"wait": f"{wait_s:g}"})
        return await self._request("GET", f"{_job_path(job_id)}?{query}")

    async def cancel(self, job_id: str) -> HttpReply:
        """Request the cancellation of a job."""
        return await self._request("DELETE", _job_path(job_id))

    async def explain(self, job_id: str) -> HttpReply:
        """Return the reasons why a job waits, runs or was refused."""
        return await self._request("GET", f"{_job_path(job_id)}/explain")

    async def status(self) -> HttpReply:
        """Return the state of all failure domains that can be reached."""
        return await self._request("GET", "/v1/status")

    async def configuration(self) -> HttpReply:
        """Return the configuration in force with its version."""
        return await self._request("GET", "/v1/configuration")

    async def apply(self, document: Any, base_version: int) -> HttpReply:
        """Replace the configuration whose version is ``base_version``.

        Raises:
            ConflictError: Another version is in force.
        """
        headers = {"If-Match": str(base_version)}
        return await self._request("PUT", "/v1/configuration", document, headers)

    async def _request(
        self,
        method: str,
        path: str,
        document: Any = None,
        headers: dict[str, str] | None = None,
    ) -> HttpReply:
        last_error: RedwingrudderError | None = None
        for base_url in self._base_urls:
            try:
                return await self._send(base_url, method, path, document, headers)
            except UnavailableError as error:
                last_error = error
        raise last_error

    async def _send(
        self,
        base_url: str,
        method: str,
        path: str,
        document: Any,
        headers: dict[str, str] | None,
    ) -> HttpReply:
        arguments = {} if document is None else {"json": document}
        try:
            response = await treq.request(
                method,
                base_url + path,
                headers=headers,
                timeout=REQUEST_TIMEOUT_S,
                reactor=self._reactor,
                persistent=False,
                **arguments,
            )
            text = await response.text("utf-8")
        except (ConnectError, OSError) as error:
            raise UnavailableError(f"{base_url}: {error}") from None
        except (
            ConnectionClosed,
            ResponseFailed,
            ResponseNeverReceived,
            DeferredTimeoutError,
        ) as error:
            raise OutcomeUnknownError(f"{base_url}: {error!r}") from None
        return _read_reply(response, text)


def _job_path(job_id: str) -> str:
    return f"/v1/jobs/{quote(job_id, safe='')}"


def _read_reply(response: Any, text: str) -> HttpReply:
    try:
        body = json.loads(text) if text else None
    except ValueError:
        raise RedwingrudderError(
            f"HTTP status {response.code} with a body that is not valid JSON"
        ) from None
    if response.code < FIRST_ERROR_STATUS:
        return HttpReply(response.code, body)
    raise _build_error(response, body)


def _build_error(response: Any, body: Any) -> RedwingrudderError:
    problem = body if isinstance(body, dict) else {}
    detail = problem.get("detail") or f"HTTP status {response.code}"
    for violation in problem.get("problems") or ():
        detail += f"\n  {violation}"
    default = (
        BadRequestError
        if response.code < FIRST_SERVER_ERROR_STATUS
        else RedwingrudderError
    )
    error_class = _ERRORS_BY_STATUS.get(response.code, default)
    code = problem.get("code") or error_class.code
    if code in ("domain_unreachable", "outcome_unknown"):
        error_class = OutcomeUnknownError
    retry_after = response.headers.getRawHeaders("Retry-After")
    retry_after_s = float(retry_after[0]) if retry_after else None
    return error_class(detail, code=code, retry_after_s=retry_after_s)
