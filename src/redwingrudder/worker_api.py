"""Bodies of the workers' HTTP interface (JSON), for clients and stand-ins.

Every command is a POST whose body carries ``epoch`` as
``[store_term, local_term, node_rank]``. A worker remembers the highest epoch
that it has seen and answers 409 with ``StaleEpochReply`` to a lower one.
``claim`` is the only command that raises the epoch. All commands are
idempotent. Every successful reply of a command has ``boot_id`` and
``draining``. Error replies have ``code`` and ``detail``.

======================  ==========================  =====================
POST path               request                     reply
======================  ==========================  =====================
``/v1/claim``           ``ClaimRequest``            ``ClaimReply``
``/v1/poll``            ``PollRequest``             ``PollReply``
``/v1/reserve``         ``ReserveRequest``          ``CommandReply``
``/v1/start``           ``MemberRequest``           ``CommandReply``
``/v1/release``         ``MemberRequest``           ``CommandReply``
``/v1/stop``            ``StopRequest``             ``CommandReply``
``/v1/throttle``        ``ThrottleRequest``         ``CommandReply``
======================  ==========================  =====================

``GET /v1/state`` returns a ``ClaimReply`` without an epoch check.
"""

from typing import NotRequired

from typing_extensions import TypedDict


class EpochRequest(TypedDict):
    """Fields that every command has."""

    epoch: list[int]


class JobSpecBody(TypedDict):
    """``model.JobSpec`` as JSON."""

    organisation: str
    job_class: str
    caller: str
    idempotency_key: str
    tasks: int
    accelerators_per_task: int
    cores_per_task: int
    memory_mb_per_task: int
    idempotent: bool
    preemptible: bool
    declared_run_s: float
    stop_bound_s: float
    payload: str
    expire_s: float


class ClaimRequest(EpochRequest):
    """Takes the worker over; ``lease_s`` is renewed by every command."""

    node_id: str
    lease_s: float


class TaskResultBody(TypedDict):
    """How a task ended; ``outcome`` is a ``model.TaskOutcome``."""

    task_index: int
    outcome: str
    result: str


class MemberBody(TypedDict):
    """A gang member that the worker holds; ``state`` as ``MemberState``."""

    gang_id: str
    job_id: str
    spec: JobSpecBody
    submitted_at: float
    accelerators: list[int]
    tasks: list[int]
    gang_members: int
    state: str
    results: list[TaskResultBody]


class ClaimReply(TypedDict):
    """Everything the worker holds; ``sequence`` is its last event."""

    boot_id: str
    draining: bool
    worker_id: str
    failure_domain: str
    rack: str
    accelerators: int
    slots: int
    cores: int
    memory_mb: int
    members: list[MemberBody]
    sequence: int


class PollRequest(EpochRequest):
    """Long poll for events after ``after``; ends after ``wait_s``."""

    after: int
    wait_s: float


class TaskEndedBody(TypedDict):
    """One event: a task of a gang ended."""

    sequence: int
    gang_id: str
    task_index: int
    outcome: str
    result: str


class UsageBody(TypedDict):
    """Usage of the worker as measured ``lag_s`` seconds ago."""

    lag_s: float
    busy_accelerators: int
    busy_slots: int


class PollReply(TypedDict):
    """Events in order; ``draining`` may change in any reply."""

    boot_id: str
    draining: bool
    events: list[TaskEndedBody]
    usage: UsageBody


class ReserveRequest(EpochRequest):
    """Holds accelerators, slots, cores and memory for a gang member."""

    gang_id: str
    job_id: str
    spec: JobSpecBody
    submitted_at: float
    accelerators: list[int]
    tasks: list[int]
    gang_members: int


class MemberRequest(EpochRequest):
    """Names the gang member to start or release.

    Releasing a started member that has not ended is refused with
    ``member_running``; an unknown gang is released successfully.
    """

    gang_id: str


class StopRequest(MemberRequest):
    """Stops a started member; its tasks end with an event each."""

    checkpoint: bool


class ThrottleRequest(MemberRequest):
    """Limits a member to a share of its cores, above 0 and at most 1."""

    share: float


class CommandReply(TypedDict):
    """``accepted`` is false with a ``code`` when the command is refused.

    Codes: ``busy`` (accelerators or slots are held), ``draining``,
    ``unknown_gang``, ``already_started``, ``already_ended``,
    ``member_running``, ``no_such_accelerator``.
    """

    boot_id: str
    draining: bool
    accepted: bool
    code: NotRequired[str]


class StaleEpochReply(TypedDict):
    """Body of a 409 answer."""

    code: str
    detail: str
    highest: list[int]
