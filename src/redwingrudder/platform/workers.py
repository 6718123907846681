"""HTTP channels for commands to the platform's workers."""

from typing import Any

from twisted.internet.interfaces import IReactorTCP

from .._checked_json import Fields, Row
from ..coordination.gateways import (
    ChannelFactory,
    CommandReply,
    SendCondition,
    WorkerChannel,
    WorkerReport,
)
from ..exceptions import OutcomeUnknownError
from ..workflows.model import (
    EndKind,
    RunEnd,
    RunReport,
    StartRun,
    StopRun,
    TaskKey,
    ThrottleRun,
    WorkerFacts,
)
from .http_client import JsonClient, JsonReply

MAX_IDLE_CONNECTIONS = 12  # a worker accepts 64 connections
STATUS_MISDIRECTED = 421  # the address now belongs to a different worker

MAX_LISTED_ENDS = 500  # in the reply to one poll

# Reasons for which a worker rejects a command, by the platform's name of the
# reason.
REASONS_BY_PLATFORM_NAME = {
    "fence": "fenced",
    "old": "outdated",
    "late": "lapsed",
    "room": "room",
    "ticket": "permit",
}


class PlatformChannels(ChannelFactory):
    """Opens HTTP channels to workers."""

    def __init__(self, reactor: IReactorTCP) -> None:
        self._reactor = reactor

    def open(self, facts: WorkerFacts) -> WorkerChannel:
        """See base class."""
        client = JsonClient(self._reactor, facts.address, MAX_IDLE_CONNECTIONS)
        return PlatformChannel(client, facts.worker_id)


class PlatformChannel(WorkerChannel):
    """Sends commands to one worker.

    Args:
        client: HTTP client for the address of the worker.
        worker_id: Intended receiver. A different worker that now has the
            address rejects the commands.
    """

    def __init__(self, client: JsonClient, worker_id: str) -> None:
        self._client = client
        self._headers = {"X-Expect-Instance": worker_id}

    async def start(
        self,
        run: StartRun,
        lease_until_ms: int,
        fence: int,
        timeout_s: float,
        may_send: SendCondition,
    ) -> CommandReply:
        """See base class."""
        body = {
            "task": task_name(run.key),
            "runId": run.run,
            "spec": run.payload,
            "deadlineAtMs": lease_until_ms,
            "fencingToken": fence,
        }
        if run.checkpoint:
            body["checkpoint"] = run.checkpoint
        if run.ticket:
            body["ticket"] = run.ticket
        return _decode_command_reply(
            await self._post("run-start", body, timeout_s, may_send)
        )

    async def stop(
        self,
        run: StartRun | StopRun,
        fence: int,
        timeout_s: float,
        may_send: SendCondition,
    ) -> CommandReply:
        """See base class."""
        body = {"task": task_name(run.key), "runId": run.run, "fencingToken": fence}
        return _decode_command_reply(
            await self._post("run-stop", body, timeout_s, may_send)
        )

    async def throttle(
        self,
        run: ThrottleRun,
        fence: int,
        timeout_s: float,
        may_send: SendCondition,
    ) -> CommandReply:
        """See base class."""
        body = {
            "task": task_name(run.key),
            "runId": run.run,
            "percent": run.percent,
            "fencingToken": fence,
        }
        return _decode_command_reply(
            await self._post("pace", body, timeout_s, may_send)
        )

    async def poll(
        self,
        fence: int,
        acknowledged_end: int,
        lease_until_ms: int,
        wait_s: float,
        timeout_s: float,
        may_send: SendCondition,
    ) -> WorkerReport | CommandReply:
        """See base class."""
        body: dict[str, Any] = {"fencingToken": fence, "observed": acknowledged_end}
        if lease_until_ms:
            body["deadlineAtMs"] = lease_until_ms
        if wait_s:
            body["waitMs"] = int(wait_s * 1000)
        reply = await self._post("hold", body, timeout_s, may_send)
        if reply.status != 200:
            return _decode_command_reply(reply)
        return _decode_report(reply.body)

    def reset(self) -> None:
        """See base class."""
        self._client.reset()

    def close(self) -> None:
        """See base class."""
        self._client.reset()

    async def _post(
        self,
        name: str,
        body: dict[str, Any],
        timeout_s: float,
        may_send: SendCondition,
    ) -> JsonReply:
        path = f"/redwingrudder/{name}"
        return await self._client.call(
            "POST", path, body, timeout_s, self._headers, may_send=may_send
        )


def task_name(key: TaskKey) -> str:
    """Return the name by which the platform identifies a task."""
    return f"{key.workflow_id}.{key.occurrence}.{key.step}.{key.index}"


def parse_task_name(name: str) -> TaskKey:
    """Return the task that a platform's task name identifies.

    Raises:
        ValueError: The name does not consist of an id and three numbers.
    """
    workflow_id, *numbers = name.split(".")
    if len(numbers) != 3 or not all(number.isdecimal() for number in numbers):
        raise ValueError(f"{name[:60]!r} is not the name of a task")
    return TaskKey(workflow_id, *(int(number) for number in numbers))


def _decode_command_reply(reply: JsonReply) -> CommandReply:
    """Return the worker's answer to a command.

    Raises:
        OutcomeUnknownError: The answer does not say whether the command took
            effect.
    """
    try:
        body = Fields(reply.body, "reply")
        clock_ms = int(body.number("clockMs", 0))
        platform_reason = body.text("reason", "")
    except ValueError as error:
        raise OutcomeUnknownError(f"malformed reply of a worker: {error}") from error
    if reply.status == 200:
        return CommandReply(True, "", clock_ms)
    if reply.status == 409:
        reason = REASONS_BY_PLATFORM_NAME.get(platform_reason, "")
    elif reply.status == STATUS_MISDIRECTED:
        reason = "other_life"
    elif reply.status in (429, 503):
        reason = "unhealthy"
    else:
        reason = "invalid" if reply.status == 400 else ""
    if not reason:
        raise OutcomeUnknownError(
            f"a worker answered {reply.status}, reason {platform_reason[:60]!r}"
        )
    return CommandReply(False, reason, clock_ms)


def _decode_report(body: dict[str, Any]) -> WorkerReport:
    try:
        report = Fields(body, "report")
        ended = tuple(_decode_ended(row) for row in report.rows("ended"))
        return WorkerReport(
            int(report.number("clockMs")),
            report.integer("born", 0),
            tuple(_decode_running(row) for row in report.rows("running")),
            ended,
            len(ended) < MAX_LISTED_ENDS,
        )
    except ValueError as error:
        raise OutcomeUnknownError(f"malformed report of a worker: {error}") from error


def _decode_running(row: Row) -> RunReport:
    return RunReport(
        key=parse_task_name(row.text(0)),
        run=row.integer(1),
        checkpoint=row.text(2, ""),
        percent=row.number(3),
        usage=row.number(4, 0.0),
    )


def _decode_ended(row: Row) -> RunEnd:
    return RunEnd(
        number=row.integer(0),
        key=parse_task_name(row.text(1)),
        run=row.integer(2),
        kind=EndKind(row.text(3)),
        checkpoint=row.text(4, ""),
    )
