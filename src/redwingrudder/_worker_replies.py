"""Reads a worker's answers as events of the link's chart."""

from typing import NamedTuple

from . import _worker_codec as codec
from ._worker_transport import WorkerAnswer
from .exceptions import UnavailableError
from .model import Epoch, WorkerReport
from .worker_api import ClaimReply, CommandReply, PollReply

RESTARTED = "restarted"


class Signal(NamedTuple):
    """An event of the chart with what its actions work on."""

    event: str
    claim: ClaimReply | None = None
    report: WorkerReport | None = None
    poll: PollReply | None = None
    highest: Epoch = Epoch(0, 0, 0)


class Expectation(NamedTuple):
    """What a link knows of its worker; no boot id before the first claim."""

    worker_id: str
    address: str
    epoch: Epoch
    boot_id: str


def read_claim(answer: WorkerAnswer, expected: Expectation) -> Signal:
    """Return "claimed", "restarted" or "fenced".

    Raises:
        UnavailableError: The answer is of no use.
    """
    rejected = _read_rejection(answer, expected)
    if rejected is not None:
        return rejected
    reply = codec.parse_reply(codec.CLAIM_REPLY, answer.content)
    report = codec.report_from_claim(reply, expected.address)
    if report.worker.worker_id != expected.worker_id:
        detail = f"the worker calls itself {report.worker.worker_id!r}"
        raise UnavailableError(detail, code=codec.BAD_REPLY_CODE)
    if expected.boot_id and reply["boot_id"] != expected.boot_id:
        return Signal(RESTARTED)
    return Signal("claimed", claim=reply, report=report)


def read_poll(answer: WorkerAnswer, expected: Expectation) -> Signal:
    """Return "polled", "restarted" or "fenced".

    Raises:
        UnavailableError: The answer is of no use.
    """
    rejected = _read_rejection(answer, expected)
    if rejected is not None:
        return rejected
    reply = codec.parse_reply(codec.POLL_REPLY, answer.content)
    if reply["boot_id"] != expected.boot_id:
        return Signal(RESTARTED)
    for body in reply["events"]:
        codec.result_from_body(body)
    return Signal("polled", poll=reply)


def read_probe(answer: WorkerAnswer, expected: Expectation) -> Signal:
    """Return "reachable".

    Raises:
        UnavailableError: The answer is of no use.
    """
    if answer.status != 200:
        raise UnavailableError(f"HTTP status {answer.status}")
    codec.parse_reply(codec.CLAIM_REPLY, answer.content)
    return Signal("reachable")


def read_command(answer: WorkerAnswer, expected: Expectation) -> CommandReply | Signal:
    """Return the reply, or "restarted" or "fenced".

    A status of 400 to 499 other than 409 is read as a refusal: sending the
    same command again would not change it.

    Raises:
        UnavailableError: The answer is of no use.
    """
    if 400 <= answer.status < 500 and answer.status != 409:
        return CommandReply(
            boot_id=expected.boot_id,
            draining=False,
            accepted=False,
            code=f"http_{answer.status}",
        )
    rejected = _read_rejection(answer, expected)
    if rejected is not None:
        return rejected
    reply = codec.parse_reply(codec.COMMAND_REPLY, answer.content)
    return reply if reply["boot_id"] == expected.boot_id else Signal(RESTARTED)


def _read_rejection(answer: WorkerAnswer, expected: Expectation) -> Signal | None:
    if answer.status == 200:
        return None
    if answer.status != 409:
        raise UnavailableError(f"HTTP status {answer.status}")
    body = codec.parse_reply(codec.STALE_EPOCH_REPLY, answer.content)
    highest = codec.epoch_from_body(body["highest"])
    if highest > expected.epoch:
        return Signal("fenced", highest=highest)
    if highest < expected.epoch and expected.boot_id:
        # Only a worker that has lost its memory forgets a claim.
        return Signal(RESTARTED)
    # The request was sent before the epoch of this link rose.
    raise UnavailableError(f"rejected with {body['code']} by an equal epoch")
