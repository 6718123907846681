"""Conversion between the bodies of ``worker_api`` and the model."""

from typing import TypeVar

from pydantic import TypeAdapter, ValidationError

from .exceptions import UnavailableError
from .messages import ReserveMember
from .model import (
    Epoch,
    JobSpec,
    MemberPlacement,
    MemberReport,
    MemberState,
    TaskOutcome,
    TaskResult,
    WorkerInfo,
    WorkerReport,
)
from .worker_api import (
    ClaimReply,
    CommandReply,
    JobSpecBody,
    MemberBody,
    PollReply,
    ReserveRequest,
    StaleEpochReply,
    TaskEndedBody,
    TaskResultBody,
)

BAD_REPLY_CODE = "bad_worker_reply"
_PROBLEM_LIMIT = 300  # characters of a validation error that are kept

Body = TypeVar("Body")

CLAIM_REPLY: TypeAdapter[ClaimReply] = TypeAdapter(ClaimReply)
POLL_REPLY: TypeAdapter[PollReply] = TypeAdapter(PollReply)
COMMAND_REPLY: TypeAdapter[CommandReply] = TypeAdapter(CommandReply)
STALE_EPOCH_REPLY: TypeAdapter[StaleEpochReply] = TypeAdapter(StaleEpochReply)


def parse_reply(adapter: TypeAdapter[Body], content: bytes) -> Body:
    """Validate a reply of a worker.

    Raises:
        UnavailableError: ``bad_worker_reply``; the reply has another shape.
    """
    try:
        return adapter.validate_json(content)
    except ValidationError as error:
        raise _bad_reply(str(error)) from None


def spec_to_body(spec: JobSpec) -> JobSpecBody:
    """Return a job as JSON."""
    return JobSpecBody(**spec._asdict())


def spec_from_body(body: JobSpecBody) -> JobSpec:
    """Return a job from JSON."""
    return JobSpec(**body)


def epoch_from_body(numbers: list[int]) -> Epoch:
    """Return an epoch from its three numbers.

    Raises:
        UnavailableError: ``bad_worker_reply``; there are not three.
    """
    if len(numbers) != len(Epoch._fields):
        raise _bad_reply(f"an epoch has 3 numbers, got {len(numbers)}")
    return Epoch(*numbers)


def reserve_to_body(command: ReserveMember, epoch: Epoch) -> ReserveRequest:
    """Return the request for a reservation."""
    return ReserveRequest(
        epoch=list(epoch),
        gang_id=command.gang_id,
        job_id=command.job_id,
        spec=spec_to_body(command.spec),
        submitted_at=command.submitted_at,
        accelerators=list(command.member.accelerators),
        tasks=list(command.member.tasks),
        gang_members=command.gang_members,
    )


def report_from_claim(reply: ClaimReply, address: str) -> WorkerReport:
    """Return what a claimed worker holds.

    Raises:
        UnavailableError: ``bad_worker_reply``; a value is out of range.
    """
    info = WorkerInfo(
        reply["worker_id"],
        address,
        reply["failure_domain"],
        reply["rack"],
        reply["accelerators"],
        reply["slots"],
        reply["cores"],
        reply["memory_mb"],
    )
    members = tuple(_member(info, body) for body in reply["members"])
    return WorkerReport(info, reply["boot_id"], reply["draining"], members)


def result_from_body(body: TaskResultBody | TaskEndedBody) -> TaskResult:
    """Return how a task ended.

    Raises:
        UnavailableError: ``bad_worker_reply``; the outcome is unknown.
    """
    try:
        outcome = TaskOutcome(body["outcome"])
    except ValueError as error:
        raise _bad_reply(str(error)) from None
    return TaskResult(body["task_index"], outcome, body["result"])


def _member(info: WorkerInfo, body: MemberBody) -> MemberReport:
    try:
        state = MemberState(body["state"])
    except ValueError as error:
        raise _bad_reply(str(error)) from None
    accelerators = tuple(body["accelerators"])
    if any(not 0 <= index < info.accelerators for index in accelerators):
        raise _bad_reply(f"no such accelerator in {accelerators}")
    return MemberReport(
        body["gang_id"],
        body["job_id"],
        spec_from_body(body["spec"]),
        body["submitted_at"],
        MemberPlacement(info.worker_id, accelerators, tuple(body["tasks"])),
        body["gang_members"],
        state,
        tuple(result_from_body(result) for result in body["results"]),
    )


def _bad_reply(detail: str) -> UnavailableError:
    return UnavailableError(detail[:_PROBLEM_LIMIT], code=BAD_REPLY_CODE)
