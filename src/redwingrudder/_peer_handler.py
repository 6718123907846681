"""Calls that other nodes make to this node."""

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

SERVED_CALLS_LIMIT = 5_000  # calls of other nodes in progress
POLL_WAIT_LIMIT_MS = 30_000
# Leaves room for the other fields and the encoding of the frame.
REPLY_LIMIT_BYTES = FRAME_LIMIT_BYTES - 16 * 1024
OVERLOAD_RETRY_S = 1.0

Ask = Callable[[str, Any], Awaitable[Any]]
ReportHandler = Callable[[requests.PeerReport], requests.PeerReport]


@implementer(NodeService.Iface)
class PeerHandler:
    """Asks the local actors; errors travel as ``Fault``.

    Args:
        ask: Sends a message to an actor and returns its reply.
        exchange: Takes a peer's report and returns that of this node.
    """

    def __init__(self, ask: Ask, exchange: ReportHandler) -> None:
        self._ask = ask
        self._exchange = exchange
        self._gate = DrainGate()

    def submit(self, spec: WireJobSpec, correlation_id: str) -> Deferred:
        """See ``requests.SubmitJob``."""
        return self._serve(self._submit(spec, correlation_id))

    def poll(self, job_id: str, wait_ms: int) -> Deferred:
        """See ``requests.PollJob``."""
        return self._serve(self._poll(job_id, wait_ms))

    def cancel(self, job_id: str) -> Deferred:
        """See ``requests.CancelJob``."""
        return self._serve(self._cancel(job_id))

    def explain(self, job_id: str) -> Deferred:
        """See ``requests.ExplainJob``."""
        return self._serve(self._explain(job_id))

    def status(self) -> Deferred:
        """Return ``requests.DomainStatus`` as JSON."""
        return self._serve(self._status())

    def exchange(self, report: WirePeerReport) -> Deferred:
        """Take a peer's report and return that of this node."""
        # Never refused: a node that gets no report back counts as dead.
        return ensureDeferred(self._guarded(self._answer_exchange(report)))

    def configuration(self, above_version: int) -> Deferred:
        """Return the configuration as JSON, or "" when it is not newer."""
        return self._serve(self._configuration(above_version))

    def drain(self) -> Deferred:
        """Return a Deferred that fires when no call is in progress."""
        return self._gate.drain()

    def _serve(self, answering: Awaitable[Any]) -> Deferred:
        if self._gate.in_progress >= SERVED_CALLS_LIMIT:
            answering.close()
            error = OverloadedError(
                "too many calls of other nodes are in progress",
                retry_after_s=OVERLOAD_RETRY_S,
            )
            raise encode_error(error)
        return ensureDeferred(self._guarded(answering))

    async def _guarded(self, answering: Awaitable[Any]) -> Any:
        self._gate.begin_request()
        try:
            return await answering
        except RedwingrudderError as error:
            raise encode_error(error) from None
        finally:
            self._gate.end_request()

    async def _submit(self, spec: WireJobSpec, correlation_id: str) -> WireJobView:
        submission = requests.SubmitJob(decode_spec(spec), correlation_id or "")
        return _checked_view(await self._ask(requests.DISPATCHER, submission))

    async def _poll(self, job_id: str, wait_ms: int) -> WireJobView:
        _check_job_id(job_id)
        if wait_ms is None or not 0 <= wait_ms <= POLL_WAIT_LIMIT_MS:
            raise BadRequestError("wait_ms is out of range", code="bad_frame")
        poll = requests.PollJob(job_id, wait_ms / 1_000)
        return _checked_view(await self._ask(requests.DISPATCHER, poll))

    async def _cancel(self, job_id: str) -> WireJobView:
        _check_job_id(job_id)
        cancellation = requests.CancelJob(job_id)
        return _checked_view(await self._ask(requests.DISPATCHER, cancellation))

    async def _explain(self, job_id: str) -> WireExplanation:
        _check_job_id(job_id)
        question = requests.ExplainJob(job_id)
        return encode_explanation(await self._ask(requests.DISPATCHER, question))

    async def _status(self) -> str:
        status = await self._ask(requests.DISPATCHER, requests.GetStatus())
        return _checked_text(to_json(status))

    async def _answer_exchange(self, report: WirePeerReport) -> WirePeerReport:
        return encode_report(self._exchange(decode_report(report)))

    async def _configuration(self, above_version: int) -> str:
        question = requests.GetConfiguration()
        configuration = await self._ask(requests.CONFIGURATION, question)
        if configuration.version <= (above_version or 0):
            return ""
        return _checked_text(encode_configuration(configuration))


def _check_job_id(job_id: str | None) -> None:
    if not job_id:
        raise BadRequestError("the job id is missing", code="bad_frame")


def _checked_view(view: JobView) -> WireJobView:
    _check_size(sum(len(result.encode("utf-8")) for result in view.results))
    return encode_view(view)


def _checked_text(text: str) -> str:
    _check_size(len(text.encode("utf-8")))
    return text


def _check_size(size: int) -> None:
    if size > REPLY_LIMIT_BYTES:
        raise PayloadTooLargeError(
            f"the answer has {size} bytes, {REPLY_LIMIT_BYTES} are allowed between "
            "nodes; ask a node of the owner's failure domain",
            code="result_too_large",
        )
