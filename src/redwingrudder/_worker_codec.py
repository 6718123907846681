"""Converts between the JSON bodies of ``worker_api`` and the model types."""

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
_MAX_DETAIL_CHARACTERS = 300  # longer validation errors are cut

Body = TypeVar("Body")

CLAIM_REPLY: TypeAdapter[ClaimReply] = TypeAdapter(ClaimReply)
POLL_REPLY: TypeAdapter[PollReply] = TypeAdapter(PollReply)
COMMAND_REPLY: TypeAdapter[CommandReply] = TypeAdapter(CommandReply)
STALE_EPOCH_REPLY: TypeAdapter[StaleEpochReply] = TypeAdapter(StaleEpochReply)


def parse_reply(adapter: TypeAdapter[Body], content: bytes) -> Body:
    """Parse the JSON reply of a worker and check it against its schema.

    Raises:
        UnavailableError: ``bad_worker_reply``; the reply is no JSON or does
            not match the schema.
    """
    try:
        return adapter.validate_json(content)
    except ValidationError as error:
        raise _bad_reply_error(str(error)) from None


def spec_to_body(spec: JobSpec) -> JobSpecBody:
    """Convert a job specification to its JSON object."""
    return JobSpecBody(**spec._asdict())


def spec_from_body(body: JobSpecBody) -> JobSpec:
    """Convert the JSON object of a job specification to the model type."""
    return JobSpec(**body)


def epoch_from_body(numbers: list[int]) -> Epoch:
    """Convert ``[store_term, local_term, node_rank]`` to an epoch.

    Raises:
        UnavailableError: ``bad_worker_reply``; the list does not have three
            numbers.
    """
    if len(numbers) != len(Epoch._fields):
        raise _bad_reply_error(f"an epoch must have 3 numbers, got {len(numbers)}")
    return Epoch(*numbers)


def reserve_to_body(command: ReserveMember, epoch: Epoch) -> ReserveRequest:
    """Build the body of a ``/v1/reserve`` request."""
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
    """Convert the reply to a claim to a report of the worker's gang members.

    Args:
        reply: The validated reply.
        address: The ``host:port`` of the worker, which the reply lacks.

    Raises:
        UnavailableError: ``bad_worker_reply``; a member state, an outcome or
            an accelerator index is not valid.
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
    members = tuple(_member_from_body(info, body) for body in reply["members"])
    return WorkerReport(info, reply["boot_id"], reply["draining"], members)


def result_from_body(body: TaskResultBody | TaskEndedBody) -> TaskResult:
    """Convert the result of a task to the model type.

    Raises:
        UnavailableError: ``bad_worker_reply``; the outcome is no value of
            ``TaskOutcome``.
    """
    try:
        outcome = TaskOutcome(body["outcome"])
    except ValueError as error:
        raise _bad_reply_error(str(error)) from None
    return TaskResult(body["task_index"], outcome, body["result"])


def _member_from_body(info: WorkerInfo, body: MemberBody) -> MemberReport:
    try:
        state = MemberState(body["state"])
    except ValueError as error:
        raise _bad_reply_error(str(error)) from None
    accelerators = tuple(body["accelerators"])
    if any(not 0 <= index < info.accelerators for index in accelerators):
        raise _bad_reply_error(
            f"accelerator index out of range in {accelerators}: the worker has"
            f" {info.accelerators}"
        )
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


def _bad_reply_error(detail: str) -> UnavailableError:
    return UnavailableError(detail[:_MAX_DETAIL_CHARACTERS], code=BAD_REPLY_CODE)
