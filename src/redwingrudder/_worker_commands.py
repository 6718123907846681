"""Commands on their way to one worker, in order for each gang."""

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

QUEUE_LIMIT = 1_000  # commands per link
IN_FLIGHT_LIMIT = 4  # commands of one link that await an answer
RETRY_FIRST_S = 0.1
RETRY_LIMIT_S = 2.0
OVERLOADED_CODE = "overloaded"

Command = ReserveMember | StartMember | ReleaseMember | StopMember
Answer = ReserveAnswered | StartAnswered | ReleaseAnswered

_PATHS_BY_TYPE: dict[type, str] = {
    ReserveMember: "/v1/reserve",
    StartMember: "/v1/start",
    ReleaseMember: "/v1/release",
    StopMember: "/v1/stop",
}


class PendingCommand(NamedTuple):
    """The next command of a gang; ``attempts`` counts those without answer."""

    command: Command
    attempts: int


class CommandQueue:
    """Bounded; only the first command of a gang may be in flight."""

    def __init__(self) -> None:
        self._queues_by_gang: dict[str, deque[Command]] = {}
        self._attempts_by_gang: dict[str, int] = {}
        self._ready: deque[str] = deque()
        self._in_flight: set[str] = set()
        self._size = 0

    def add(self, command: Command) -> bool:
        """Queue a command; false when it is refused by the bound.

        Releases and stops are always queued: they give resources back, and
        there are at most two of them for each gang that the worker holds.
        """
        frees = isinstance(command, ReleaseMember | StopMember)
        if self._size >= QUEUE_LIMIT and not frees:
            return False
        queue = self._queues_by_gang.get(command.gang_id)
        if queue is None:
            queue = self._queues_by_gang[command.gang_id] = deque()
            self._ready.append(command.gang_id)
        queue.append(command)
        self._size += 1
        return True

    def take(self) -> PendingCommand | None:
        """Return a command to send now, if any."""
        if not self._ready or len(self._in_flight) >= IN_FLIGHT_LIMIT:
            return None
        gang_id = self._ready.popleft()
        self._in_flight.add(gang_id)
        self._skip_released(gang_id)
        attempts = self._attempts_by_gang.get(gang_id, 0)
        return PendingCommand(self._queues_by_gang[gang_id][0], attempts)

    def _skip_released(self, gang_id: str) -> None:
        """Drop a reservation whose release waits behind it.

        The worker may have begun to leave since; the release settles the
        gang whether or not an earlier attempt has reached the worker.
        """
        queue = self._queues_by_gang[gang_id]
        released = any(isinstance(command, ReleaseMember) for command in queue)
        if released and isinstance(queue[0], ReserveMember):
            queue.popleft()
            self._size -= 1
            self._attempts_by_gang.pop(gang_id, None)

    def settle(self, gang_id: str) -> None:
        """Drop the answered command of a gang; its next one may be sent."""
        self._in_flight.discard(gang_id)
        self._attempts_by_gang.pop(gang_id, None)
        queue = self._queues_by_gang[gang_id]
        queue.popleft()
        self._size -= 1
        if queue:
            self._ready.append(gang_id)
        else:
            del self._queues_by_gang[gang_id]

    def postpone(self, gang_id: str) -> int:
        """Note a missing answer; returns the attempts so far."""
        self._in_flight.discard(gang_id)
        attempts = self._attempts_by_gang.get(gang_id, 0) + 1
        self._attempts_by_gang[gang_id] = attempts
        return attempts

    def retry(self, gang_id: str) -> None:
        """Let a postponed command be sent again."""
        known = gang_id in self._queues_by_gang
        if known and gang_id not in self._in_flight and gang_id not in self._ready:
            self._ready.append(gang_id)

    def gang_ids(self) -> list[str]:
        """Return the gangs with commands that have no answer yet."""
        return list(self._queues_by_gang)


def path_of(command: Command) -> str:
    """Return the path that a command is posted to."""
    return _PATHS_BY_TYPE[type(command)]


def body_of(command: Command, epoch: Epoch) -> Any:
    """Return the request body of a command."""
    if isinstance(command, ReserveMember):
        return reserve_to_body(command, epoch)
    if isinstance(command, StopMember):
        return StopRequest(
            epoch=list(epoch), gang_id=command.gang_id, checkpoint=command.checkpoint
        )
    return MemberRequest(epoch=list(epoch), gang_id=command.gang_id)


def refusal_of(command: Command, worker_id: str, code: str) -> Answer | None:
    """Return what the scheduler is told of a refused command."""
    if isinstance(command, ReserveMember):
        return ReserveAnswered(command.gang_id, worker_id, False, code)
    if isinstance(command, StartMember):
        return StartAnswered(command.gang_id, worker_id, False, code)
    return None


def answer_of(
    pending: PendingCommand, worker_id: str, reply: CommandReply
) -> Answer | None:
    """Return what the scheduler is told of a worker's reply."""
    command = pending.command
    gang_id = command.gang_id
    code = reply.get("code", "")
    if isinstance(command, ReserveMember):
        return ReserveAnswered(gang_id, worker_id, reply["accepted"], code)
    if isinstance(command, StartMember):
        # Gang ids are new for each attempt, so after a lost reply this code
        # means that the first attempt has started the member.
        repeated = code == "already_started" and pending.attempts > 0
        return StartAnswered(gang_id, worker_id, reply["accepted"] or repeated, code)
    if isinstance(command, ReleaseMember):
        return ReleaseAnswered(gang_id, worker_id) if reply["accepted"] else None
    # A worker that does not know the gang holds nothing of it.
    released = code == "unknown_gang"
    return ReleaseAnswered(gang_id, worker_id) if released else None


def backoff_s(failures: int) -> float:
    """Return the time before the next attempt, doubled up to a limit."""
    return min(RETRY_FIRST_S * 2 ** min(failures - 1, 10), RETRY_LIMIT_S)
