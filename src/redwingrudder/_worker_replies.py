"""Converts HTTP responses of a worker to events of the link's state chart."""

from typing import NamedTuple

from . import _worker_codec as codec
from ._worker_transport import WorkerResponse
from .exceptions import UnavailableError
from .model import Epoch, WorkerReport
from .worker_api import ClaimReply, CommandReply, PollReply

RESTARTED = "restarted"

_STATUS_OK = 200
_STATUS_CONFLICT = 409  # the worker has seen another epoch
_FIRST_CLIENT_ERROR_STATUS = 400
_FIRST_SERVER_ERROR_STATUS = 500


class ChartEvent(NamedTuple):
    """An event of the link's chart, with the data that its actions use.

    Attributes:
        name: The event as spelled in ``worker_link.scxml``.
        claim: The reply of a "claimed" or "reachable" event.
        report: The gang members at the worker, for a "claimed" event.
        poll: The reply of a "polled" event.
        highest_epoch: The highest epoch that the worker has seen, for a
            "fenced" event.
    """

    name: str
    claim: ClaimReply | None = None
    report: WorkerReport | None = None
    poll: PollReply | None = None
    highest_epoch: Epoch = Epoch(0, 0, 0)


class Expectation(NamedTuple):
    """State of a link that the responses of its worker are checked against.

    Attributes:
        worker_id: Id of the worker according to the VM list.
        address: The ``host:port`` of the worker.
        epoch: Epoch of the link.
        boot_id: Identifies the claimed worker process; empty while the
            worker is not claimed.
    """

    worker_id: str
    address: str
    epoch: Epoch
    boot_id: str


def read_claim(response: WorkerResponse, expected: Expectation) -> ChartEvent:
    """Convert the response to a claim: "claimed", "restarted" or "fenced".

    Raises:
        UnavailableError: The status or the body is not valid.
    """
    rejection = _read_rejection(response, expected)
    if rejection is not None:
        return rejection
    reply = codec.parse_reply(codec.CLAIM_REPLY, response.content)
    report = codec.report_from_claim(reply, expected.address)
    if report.worker.worker_id != expected.worker_id:
        detail = (
            f"expected worker {expected.worker_id!r}, but"
            f" {report.worker.worker_id!r} answered"
        )
        raise UnavailableError(detail, code=codec.BAD_REPLY_CODE)
    if expected.boot_id and reply["boot_id"] != expected.boot_id:
        return ChartEvent(RESTARTED)
    return ChartEvent("claimed", claim=reply, report=report)


def read_poll(response: WorkerResponse, expected: Expectation) -> ChartEvent:
    """Convert the response to a poll: "polled", "restarted" or "fenced".

    Raises:
        UnavailableError: The status or the body is not valid.
    """
    rejection = _read_rejection(response, expected)
    if rejection is not None:
        return rejection
    reply = codec.parse_reply(codec.POLL_REPLY, response.content)
    if reply["boot_id"] != expected.boot_id:
        return ChartEvent(RESTARTED)
    for body in reply["events"]:
        codec.result_from_body(body)
    return ChartEvent("polled", poll=reply)


def read_probe(response: WorkerResponse, expected: Expectation) -> ChartEvent:
    """Convert the response to a probe: "reachable".

    Raises:
        UnavailableError: The status or the body is not valid.
    """
    if response.status != _STATUS_OK:
        raise UnavailableError(f"unexpected HTTP status {response.status}")
    reply = codec.parse_reply(codec.CLAIM_REPLY, response.content)
    return ChartEvent("reachable", claim=reply)


def read_command(
    response: WorkerResponse, expected: Expectation, refusable: bool
) -> CommandReply | ChartEvent:
    """Return the reply to a command, or the event "restarted" or "fenced".

    Args:
        response: The response of the worker.
        expected: The state of the link.
        refusable: Whether a status from 400 to 499 other than 409 means that
            the command has had no effect; it then counts as a refusal.

    Raises:
        UnavailableError: The status or the body is not valid, or the status
            does not show whether the command has had an effect.
    """
    if (
        refusable
        and _FIRST_CLIENT_ERROR_STATUS <= response.status < _FIRST_SERVER_ERROR_STATUS
        and response.status != _STATUS_CONFLICT
    ):
        return CommandReply(
            boot_id=expected.boot_id,
            draining=False,
            accepted=False,
            code=f"http_{response.status}",
        )
    rejection = _read_rejection(response, expected)
    if rejection is not None:
        return rejection
    reply = codec.parse_reply(codec.COMMAND_REPLY, response.content)
    return reply if reply["boot_id"] == expected.boot_id else ChartEvent(RESTARTED)


def _read_rejection(
    response: WorkerResponse, expected: Expectation
) -> ChartEvent | None:
    if response.status == _STATUS_OK:
        return None
    if response.status != _STATUS_CONFLICT:
        raise UnavailableError(f"unexpected HTTP status {response.status}")
    body = codec.parse_reply(codec.STALE_EPOCH_REPLY, response.content)
    highest_epoch = codec.epoch_from_body(body["highest"])
    if highest_epoch > expected.epoch:
        return ChartEvent("fenced", highest_epoch=highest_epoch)
    if highest_epoch < expected.epoch and expected.boot_id:
        # The worker has accepted the claim of this link and forgets it only
        # when its process restarts.
        return ChartEvent(RESTARTED)
    # The epoch of this link has risen since the request was sent.
    raise UnavailableError(
        f"worker rejected the request with {body['code']}; the highest epoch it"
        f" has seen is {tuple(highest_epoch)}, this link has {tuple(expected.epoch)}"
    )
