"""Queue of the commands to one worker, and their requests and replies.

The commands of one gang are sent in order, each after the reply to the one
before it; the commands of different gangs are sent concurrently.
"""

from collections import deque
from typing import Any, NamedTuple

from ._worker_codec import reserve_to_body
from .messages import (
    ReleaseAnswered,
    ReleaseMember,
    ReserveAnswered,
    ReserveMember,
    StartAnswered,
    StartMember,
    StopMember,
)
from .model import Epoch
from .worker_api import CommandReply, MemberRequest, StopRequest

MAX_QUEUED_COMMANDS = 1_000  # per link
MAX_COMMANDS_IN_FLIGHT = 4  # commands of one link that await a reply
FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0
MAX_RETRY_DOUBLINGS = 10  # bounds the exponent of the back-off
OVERLOADED_CODE = "overloaded"
STOPPED_FIRST_CODE = "stopped_first"  # of a start whose stop was sent instead

Command = ReserveMember | StartMember | ReleaseMember | StopMember
Answer = ReserveAnswered | StartAnswered | ReleaseAnswered

_PATHS_BY_TYPE: dict[type, str] = {
    ReserveMember: "/v1/reserve",
    StartMember: "/v1/start",
    ReleaseMember: "/v1/release",
    StopMember: "/v1/stop",
}


class PendingCommand(NamedTuple):
    """The first queued command of a gang.

    Attributes:
        command: The command to send.
        attempts: Number of earlier attempts that got no reply.
        replaces_start: Whether this is a stop that is sent in place of the
            start of the gang.
    """

    command: Command
    attempts: int
    replaces_start: bool = False


class CommandQueue:
    """Bounded queue of the commands of one link.

    At most one command of a gang is in flight, so that its commands reach
    the worker in order.
    """

    def __init__(self) -> None:
        self._queues_by_gang: dict[str, deque[Command]] = {}
        self._attempts_by_gang: dict[str, int] = {}
        self._ready_gangs: deque[str] = deque()
        self._gangs_in_flight: set[str] = set()
        self._replaced_starts: set[str] = set()
        self._size = 0

    def add(self, command: Command) -> bool:
        """Queue a command; returns false when the queue is full.

        Releases and stops are queued even then, because they free resources.
        Their number is bounded: there are at most two of them for each gang
        at the worker.
        """
        frees_resources = isinstance(command, ReleaseMember | StopMember)
        if self._size >= MAX_QUEUED_COMMANDS and not frees_resources:
            return False
        queue = self._queues_by_gang.get(command.gang_id)
        if queue is None:
            queue = self._queues_by_gang[command.gang_id] = deque()
            self._ready_gangs.append(command.gang_id)
        queue.append(command)
        self._size += 1
        return True

    def take_next(self) -> PendingCommand | None:
        """Mark the command of the next ready gang as in flight and return it.

        Returns None when no gang is ready or ``MAX_COMMANDS_IN_FLIGHT``
        commands await a reply.
        """
        if (
            not self._ready_gangs
            or len(self._gangs_in_flight) >= MAX_COMMANDS_IN_FLIGHT
        ):
            return None
        gang_id = self._ready_gangs.popleft()
        self._gangs_in_flight.add(gang_id)
        self._drop_released_reservation(gang_id)
        self._drop_stopped_start(gang_id)
        attempts = self._attempts_by_gang.get(gang_id, 0)
        command = self._queues_by_gang[gang_id][0]
        return PendingCommand(command, attempts, gang_id in self._replaced_starts)

    def _drop_released_reservation(self, gang_id: str) -> None:
        """Drop the reservation of a gang if its release is queued as well.

        The worker may have begun to drain since the reservation was queued.
        The release alone clears the gang at the worker, whether or not an
        earlier attempt to reserve has reached it.
        """
        queue = self._queues_by_gang[gang_id]
        released = any(isinstance(command, ReleaseMember) for command in queue)
        if released and isinstance(queue[0], ReserveMember):
            self._drop_first(gang_id)

    def _drop_stopped_start(self, gang_id: str) -> None:
        """Drop the start of a gang if its stop is queued as well.

        The reply to the stop tells whether an earlier attempt to start has
        reached the worker.
        """
        queue = self._queues_by_gang[gang_id]
        stopped = any(isinstance(command, StopMember) for command in queue)
        if stopped and isinstance(queue[0], StartMember):
            self._drop_first(gang_id)
            self._replaced_starts.add(gang_id)

    def _drop_first(self, gang_id: str) -> None:
        self._queues_by_gang[gang_id].popleft()
        self._size -= 1
        self._attempts_by_gang.pop(gang_id, None)

    def remove_answered(self, gang_id: str) -> None:
        """Remove a gang's answered command and make its next one ready."""
        self._gangs_in_flight.discard(gang_id)
        self._replaced_starts.discard(gang_id)
        self._drop_first(gang_id)
        queue = self._queues_by_gang[gang_id]
        if queue:
            self._ready_gangs.append(gang_id)
        else:
            del self._queues_by_gang[gang_id]

    def postpone(self, gang_id: str) -> int:
        """Take a gang's command out of flight, as it got no reply.

        It is not sent again before ``make_ready``. Returns the number of
        attempts without a reply.
        """
        self._gangs_in_flight.discard(gang_id)
        attempts = self._attempts_by_gang.get(gang_id, 0) + 1
        self._attempts_by_gang[gang_id] = attempts
        return attempts

    def make_ready(self, gang_id: str) -> None:
        """Make the postponed command of a gang ready to be sent again."""
        has_commands = gang_id in self._queues_by_gang
        if (
            has_commands
            and gang_id not in self._gangs_in_flight
            and gang_id not in self._ready_gangs
        ):
            self._ready_gangs.append(gang_id)

    def gang_ids(self) -> list[str]:
        """Return the ids of the gangs with queued or in-flight commands."""
        return list(self._queues_by_gang)


def path_of(command: Command) -> str:
    """Return the URL path that the command is posted to."""
    return _PATHS_BY_TYPE[type(command)]


def body_of(command: Command, epoch: Epoch) -> Any:
    """Build the JSON body of the request for a command."""
    if isinstance(command, ReserveMember):
        return reserve_to_body(command, epoch)
    if isinstance(command, StopMember):
        return StopRequest(
            epoch=list(epoch), gang_id=command.gang_id, checkpoint=command.checkpoint
        )
    return MemberRequest(epoch=list(epoch), gang_id=command.gang_id)


def is_refusable(pending: PendingCommand) -> bool:
    """Whether an error status of the request means that nothing was done.

    It says nothing of earlier attempts without a reply, which may have been
    carried out. Releases and stops are repeated until they are.
    """
    takes_resources = isinstance(pending.command, ReserveMember | StartMember)
    return takes_resources and pending.attempts == 0


def refusal_of(command: Command, worker_id: str, code: str) -> Answer | None:
    """Return the event that reports a command as refused.

    Returns None for releases and stops, whose refusal is not reported.
    """
    if isinstance(command, ReserveMember):
        return ReserveAnswered(command.gang_id, worker_id, False, code)
    if isinstance(command, StartMember):
        return StartAnswered(command.gang_id, worker_id, False, code)
    return None


def answer_of(
    pending: PendingCommand, worker_id: str, reply: CommandReply
) -> Answer | None:
    """Return the event that reports a worker's reply, if there is one."""
    command = pending.command
    gang_id = command.gang_id
    code = reply.get("code", "")
    if isinstance(command, ReserveMember):
        return ReserveAnswered(gang_id, worker_id, reply["accepted"], code)
    if isinstance(command, StartMember):
        # The scheduler uses a new gang id for each placement, so after a lost
        # reply this code means that an earlier attempt of this command has
        # started the member.
        already_executed = code == "already_started" and pending.attempts > 0
        return StartAnswered(
            gang_id, worker_id, reply["accepted"] or already_executed, code
        )
    if isinstance(command, ReleaseMember):
        return ReleaseAnswered(gang_id, worker_id) if reply["accepted"] else None
    # A worker that does not know the gang holds no resources for it.
    released = code == "unknown_gang"
    if released and pending.replaces_start:
        return StartAnswered(gang_id, worker_id, False, STOPPED_FIRST_CODE)
    return ReleaseAnswered(gang_id, worker_id) if released else None


def backoff_s(failures: int) -> float:
    """Return the exponential back-off before the next attempt in seconds.

    Args:
        failures: Number of failed attempts in a row, at least 1.
    """
    return min(
        FIRST_RETRY_DELAY_S * 2 ** min(failures - 1, MAX_RETRY_DOUBLINGS),
        MAX_RETRY_DELAY_S,
    )
