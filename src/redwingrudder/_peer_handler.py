"""Handlers of the thrift calls that other nodes make to this node."""

from collections.abc import Awaitable, Callable
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from zope.interface import implementer

from . import requests
from ._configuration_codec import encode_configuration
from ._drain import DrainGate
from ._json_values import to_json
from ._peer_codec import (
    decode_report,
    decode_spec,
    encode_error,
    encode_explanation,
    encode_report,
    encode_view,
)
from ._peer_wire import FRAME_LIMIT_BYTES
from ._wire.generated.node import NodeService
from ._wire.generated.node.ttypes import (
    WireExplanation,
    WireJobSpec,
    WireJobView,
    WirePeerReport,
)
from .exceptions import (
    BadRequestError,
    OverloadedError,
    PayloadTooLargeError,
    RedwingrudderError,
)
from .model import JobView

SERVED_CALLS_LIMIT = 5_000  # calls from other nodes in progress
POLL_WAIT_LIMIT_MS = 30_000
FRAME_OVERHEAD_BYTES = 16 * 1024  # for the other fields and the encoding
REPLY_LIMIT_BYTES = FRAME_LIMIT_BYTES - FRAME_OVERHEAD_BYTES
OVERLOAD_RETRY_S = 1.0

Ask = Callable[[str, Any], Awaitable[Any]]
ReportHandler = Callable[[requests.PeerReport], requests.PeerReport]


@implementer(NodeService.Iface)
class PeerHandler:
    """Forwards calls to the actors of this node.

    Errors are returned to the calling node as ``Fault``.

    Args:
        ask: Sends a message to an actor and returns its reply.
        exchange: Processes a peer's report and returns this node's report.
    """

    def __init__(self, ask: Ask, exchange: ReportHandler) -> None:
        self._ask = ask
        self._exchange = exchange
        self._gate = DrainGate()

    def submit(self, spec: WireJobSpec, correlation_id: str) -> Deferred:
        """Serve ``requests.SubmitJob``; the reply is the job's state."""
        return self._serve(self._submit(spec, correlation_id))

    def poll(self, job_id: str, wait_ms: int) -> Deferred:
        """Serve ``requests.PollJob``; waits up to ``wait_ms`` milliseconds."""
        return self._serve(self._poll(job_id, wait_ms))

    def cancel(self, job_id: str) -> Deferred:
        """Serve ``requests.CancelJob``; the reply is the job's state."""
        return self._serve(self._cancel(job_id))

    def explain(self, job_id: str) -> Deferred:
        """Serve ``requests.ExplainJob``."""
        return self._serve(self._explain(job_id))

    def status(self) -> Deferred:
        """Serve ``requests.GetStatus``; the reply is JSON."""
        return self._serve(self._status())

    def exchange(self, report: WirePeerReport) -> Deferred:
        """Process a peer's report and return the report of this node."""
        # Exempt from the limit on calls: a peer that receives no report
        # considers this node failed.
        return ensureDeferred(self._run_call(self._exchange_reports(report)))

    def configuration(self, above_version: int) -> Deferred:
        """Return the configuration as JSON, or "" if it is not newer.

        Args:
            above_version: Version that the peer already has.
        """
        return self._serve(self._configuration(above_version))

    def drain(self) -> Deferred:
        """Start the drain.

        Returns:
            A Deferred that fires when no call is in progress.
        """
        return self._gate.drain()

    def _serve(self, call: Awaitable[Any]) -> Deferred:
        if self._gate.in_progress >= SERVED_CALLS_LIMIT:
            call.close()
            error = OverloadedError(
                f"{SERVED_CALLS_LIMIT} calls from other nodes are in progress",
                retry_after_s=OVERLOAD_RETRY_S,
            )
            raise encode_error(error)
        return ensureDeferred(self._run_call(call))

    async def _run_call(self, call: Awaitable[Any]) -> Any:
        self._gate.begin_request()
        try:
            return await call
        except RedwingrudderError as error:
            raise encode_error(error) from None
        finally:
            self._gate.end_request()

    async def _submit(self, spec: WireJobSpec, correlation_id: str) -> WireJobView:
        submission = requests.SubmitJob(decode_spec(spec), correlation_id or "")
        return _encode_checked_view(await self._ask(requests.DISPATCHER, submission))

    async def _poll(self, job_id: str, wait_ms: int) -> WireJobView:
        _check_job_id(job_id)
        if wait_ms is None or not 0 <= wait_ms <= POLL_WAIT_LIMIT_MS:
            raise BadRequestError(
                f"wait_ms is {wait_ms}, expected 0 to {POLL_WAIT_LIMIT_MS}",
                code="bad_frame",
            )
        poll = requests.PollJob(job_id, wait_ms / 1_000)
        return _encode_checked_view(await self._ask(requests.DISPATCHER, poll))

    async def _cancel(self, job_id: str) -> WireJobView:
        _check_job_id(job_id)
        cancellation = requests.CancelJob(job_id)
        return _encode_checked_view(await self._ask(requests.DISPATCHER, cancellation))

    async def _explain(self, job_id: str) -> WireExplanation:
        _check_job_id(job_id)
        request = requests.ExplainJob(job_id)
        return encode_explanation(await self._ask(requests.DISPATCHER, request))

    async def _status(self) -> str:
        status = await self._ask(requests.DISPATCHER, requests.GetStatus())
        return _check_text_size(to_json(status))

    async def _exchange_reports(self, report: WirePeerReport) -> WirePeerReport:
        return encode_report(self._exchange(decode_report(report)))

    async def _configuration(self, above_version: int) -> str:
        request = requests.GetConfiguration()
        configuration = await self._ask(requests.CONFIGURATION, request)
        if configuration.version <= (above_version or 0):
            return ""
        return _check_text_size(encode_configuration(configuration))


def _check_job_id(job_id: str | None) -> None:
    if not job_id:
        raise BadRequestError("the job id is missing", code="bad_frame")


def _encode_checked_view(view: JobView) -> WireJobView:
    _check_size(sum(len(result.encode("utf-8")) for result in view.results))
    return encode_view(view)


def _check_text_size(text: str) -> str:
    _check_size(len(text.encode("utf-8")))
    return text


def _check_size(size_bytes: int) -> None:
    if size_bytes > REPLY_LIMIT_BYTES:
        raise PayloadTooLargeError(
            f"the reply has {size_bytes} bytes, the limit between nodes is "
            f"{REPLY_LIMIT_BYTES} bytes; send the request to a node of the owner's "
            "failure domain",
            code="result_too_large",
        )
