"""HTTP client of the callers' and operators' interface."""

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

_ERRORS_BY_STATUS: dict[int, type[RedwingrudderError]] = {
    404: NotFoundError,
    409: ConflictError,
    410: NotFoundError,
    412: ConflictError,
    429: OverloadedError,
    503: UnavailableError,
}


class HttpReply(NamedTuple):
    """A successful answer; ``body`` is the parsed JSON document."""

    status: int
    body: Any


class Client:
    """Talks to any of several entry nodes.

    A request goes to the next node when one cannot be reached. Requests are
    safe to repeat: a submission carries its idempotency key.

    Args:
        base_urls: ``http://host:port`` of each entry node.
        reactor: The reactor that carries the connections.
    """

    def __init__(self, base_urls: tuple[str, ...], reactor: IReactorTime) -> None:
        if not base_urls:
            raise BadRequestError("at least one entry node is needed")
        self._base_urls = tuple(url.rstrip("/") for url in base_urls)
        self._reactor = reactor

    async def submit(self, job: dict[str, Any], key: str) -> HttpReply:
        """Submit a job under an idempotency key."""
        headers = {"Idempotency-Key": key}
        return await self._request("POST", "/v1/jobs", job, headers)

    async def job(self, job_id: str, wait_s: float = 0.0) -> HttpReply:
        """Read a job, waiting up to ``wait_s`` seconds for its end."""
        query = urlencode({"wait": f"{wait_s:g}"})
        return await self._request("GET", f"{_job_path(job_id)}?{query}")

    async def cancel(self, job_id: str) -> HttpReply:
        """Cancel a job."""
        return await self._request("DELETE", _job_path(job_id))

    async def explain(self, job_id: str) -> HttpReply:
        """Ask why a job waits, runs or was refused."""
        return await self._request("GET", f"{_job_path(job_id)}/explain")

    async def status(self) -> HttpReply:
        """Read the state of all reachable failure domains."""
        return await self._request("GET", "/v1/status")

    async def configuration(self) -> HttpReply:
        """Read the configuration in force."""
        return await self._request("GET", "/v1/configuration")

    async def apply(self, document: Any, base_version: int) -> HttpReply:
        """Replace the configuration whose version is ``base_version``."""
        headers = {"If-Match": str(base_version)}
        return await self._request("PUT", "/v1/configuration", document, headers)

    async def _request(
        self,
        method: str,
        path: str,
        document: Any = None,
        headers: dict[str, str] | None = None,
    ) -> HttpReply:
        last: RedwingrudderError | None = None
        for base_url in self._base_urls:
            try:
                return await self._send(base_url, method, path, document, headers)
            except UnavailableError as error:
                last = error
        raise last

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
            f"status {response.code} with a body that is not JSON"
        ) from None
    if response.code < 400:
        return HttpReply(response.code, body)
    raise _error_from(response, body)


def _error_from(response: Any, body: Any) -> RedwingrudderError:
    problem = body if isinstance(body, dict) else {}
    detail = problem.get("detail") or f"status {response.code}"
    for line in problem.get("problems") or ():
        detail += f"\n  {line}"
    default = BadRequestError if response.code < 500 else RedwingrudderError
    kind = _ERRORS_BY_STATUS.get(response.code, default)
    code = problem.get("code") or kind.code
    if code in ("domain_unreachable", "outcome_unknown"):
        kind = OutcomeUnknownError
    retry_after = response.headers.getRawHeaders("Retry-After")
    retry_after_s = float(retry_after[0]) if retry_after else None
    return kind(detail, code=code, retry_after_s=retry_after_s)
