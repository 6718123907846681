"""JSON bodies of the workers' HTTP interface.

The worker links and the worker stand-ins share these definitions.

Every command is a POST whose body carries ``epoch`` as
``[store_term, local_term, node_rank]``. A worker remembers the highest epoch
that it has seen and answers a command with a lower one with HTTP status 409
and ``StaleEpochReply``. Only ``claim`` raises the epoch of a worker. All
commands are idempotent. Each successful reply to a command has ``boot_id``,
which identifies the worker process, and ``draining``. Error replies have
``code`` and ``detail``.

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
    """Fields of the requests of all commands.

    ``lease_until_s`` is a time of the worker's clock. A request does not renew
    the lease beyond it, so one that is executed late does not renew it for as
    long as one that is executed at once. Without it there is no such limit.

    ``boot_id`` is that of the process to which the request is sent; claims do
    not have it. Another process rejects the request with the code
    ``other_process``, so one that is executed late by the next process of the
    worker has no effect. Without it any process executes the request.
    """

    epoch: list[int]
    lease_until_s: NotRequired[float]
    boot_id: NotRequired[str]


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
    """Claims the worker for a node.

    Each later command renews the lease for ``lease_s`` seconds.
    """

    node_id: str
    lease_s: float


class TaskResultBody(TypedDict):
    """Result of an ended task; ``outcome`` is a ``TaskOutcome`` value."""

    task_index: int
    outcome: str
    result: str


class MemberBody(TypedDict):
    """A gang member at the worker; ``state`` is a ``MemberState`` value."""

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
    """Resources and gang members of the worker.

    ``sequence`` is the number of the latest event of the worker; a poll after
    it returns later events only. ``clock_s`` is the time of the worker's
    clock, which is never set back while its process runs.
    """

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
    clock_s: NotRequired[float]


class PollRequest(EpochRequest):
    """Long poll for events with a sequence number above ``after``.

    The worker answers as soon as there are any, or after ``wait_s`` seconds.
    """

    after: int
    wait_s: float


class TaskEndedBody(TypedDict):
    """Event of a poll: a task of a gang has ended."""

    sequence: int
    gang_id: str
    task_index: int
    outcome: str
    result: str


class UsageBody(TypedDict):
    """Resource usage of the worker, measured ``lag_s`` seconds ago."""

    lag_s: float
    busy_accelerators: int
    busy_slots: int


class PollReply(TypedDict):
    """Reply to a poll, with the events in order of their sequence numbers.

    ``draining`` may change from one reply to the next. ``clock_s`` is the
    time of the worker's clock, as in ``ClaimReply``.
    """

    boot_id: str
    draining: bool
    events: list[TaskEndedBody]
    usage: UsageBody
    clock_s: NotRequired[float]


class ReserveRequest(EpochRequest):
    """Reserves accelerators, slots, cores and memory for a gang member."""

    gang_id: str
    job_id: str
    spec: JobSpecBody
    submitted_at: float
    accelerators: list[int]
    tasks: list[int]
    gang_members: int


class MemberRequest(EpochRequest):
    """Starts or releases the worker's member of a gang.

    The release of a started member that has not ended is refused with
    ``member_running``. The release of an unknown gang succeeds.
    """

    gang_id: str


class StopRequest(MemberRequest):
    """Stops a started member; each of its tasks then ends with an event."""

    checkpoint: bool


class ThrottleRequest(MemberRequest):
    """Limits a member to a ``share`` of its cores, above 0 and at most 1."""

    share: float


class CommandReply(TypedDict):
    """Reply to a command for a gang member.

    If the command is refused, ``accepted`` is false and ``code`` is one of
    ``busy`` (the accelerators or slots are in use), ``draining``,
    ``unknown_gang``, ``already_started``, ``already_ended``,
    ``member_running``, ``no_such_accelerator``.
    """

    boot_id: str
    draining: bool
    accepted: bool
    code: NotRequired[str]


class StaleEpochReply(TypedDict):
    """Reply with HTTP status 409; ``highest`` is the highest epoch seen."""

    code: str
    detail: str
    highest: list[int]
