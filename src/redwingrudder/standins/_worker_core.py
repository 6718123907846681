"""Behaviour of a worker as specified in ``worker_api``, without I/O.

Callers pass the time, in seconds.
"""

import uuid
from collections import deque
from typing import NamedTuple

from .._worker_codec import spec_from_body
from ..exceptions import StaleEpochError
from ..model import Epoch, JobSpec, MemberState, TaskOutcome, WorkerInfo
from ..worker_api import (
    ClaimReply,
    ClaimRequest,
    CommandReply,
    EpochRequest,
    MemberBody,
    MemberRequest,
    PollReply,
    PollRequest,
    ReserveRequest,
    StopRequest,
    TaskEndedBody,
    TaskResultBody,
    ThrottleRequest,
    UsageBody,
)
from ._worker_tasks import TaskPlan, plan_task

RESULT_RETENTION_S = 600.0  # how long results are kept after a member ended
USAGE_LAG_S = 5.0  # age of the usage that replies to polls report
MAX_HISTORY_ENTRIES = 100_000
CHECKPOINT_TIME_FRACTION = 0.5  # of the job's stop bound
CLOCK_DIGITS = 3  # clock readings in replies have milliseconds

_NO_EPOCH = Epoch(-1, -1, -1)  # lower than any epoch of an owner


class RejectedEpochError(StaleEpochError):
    """A command was sent under another claim or to another process.

    The code is ``stale_epoch`` for a lower epoch. It is ``not_claimed`` for a
    higher one, for example after a restart of the worker, because only a
    claim raises the epoch. It is ``other_process`` for a command that was sent
    to an earlier process of the worker.
    """

    def __init__(self, highest: Epoch, code: str) -> None:
        super().__init__(
            f"the highest epoch claimed at this worker is {tuple(highest)}", code=code
        )
        self.highest = highest


class HistoryEntry(NamedTuple):
    """An event at the worker, recorded for checks in tests.

    ``what`` is "reserved", "started", "ended" or "released". ``at`` is in
    seconds. ``task_index`` and ``outcome`` are set only when a task ended.
    """

    at: float
    what: str
    gang_id: str
    job_id: str
    epoch: Epoch
    task_index: int = -1
    outcome: str = ""


class _Member(NamedTuple):
    """The tasks of a gang on this worker; immutable, replaced on changes."""

    request: ReserveRequest
    spec: JobSpec
    state: MemberState
    running: tuple[TaskPlan, ...] = ()
    results: tuple[TaskResultBody, ...] = ()
    ended_at: float = 0.0

    @property
    def holds_resources(self) -> bool:
        return self.state is not MemberState.ENDED


class _Usage(NamedTuple):
    at: float
    busy_accelerators: int
    busy_slots: int


class WorkerCore:
    """A simulated worker whose owner holds a lease.

    Methods with a parameter ``now`` first simulate what happened until then:
    task ends, the lease expiry and the expiry of results. Commands renew the
    lease. They raise ``RejectedEpochError`` unless their epoch is that of the
    last claim and their ``boot_id``, if any, is that of this process.

    Args:
        info: Name, location and resources of the worker.
        now: Time of the start, in seconds.
        boot_id: Identifier of this start; a random one by default.
    """

    def __init__(self, info: WorkerInfo, now: float, boot_id: str = "") -> None:
        self.info = info
        self.boot_id = boot_id or uuid.uuid4().hex
        self.draining = False
        self.fail_everything = False
        self.highest_epoch = _NO_EPOCH
        self.lease_until = now
        self.history: deque[HistoryEntry] = deque(maxlen=MAX_HISTORY_ENTRIES)
        self._lease_s = 0.0
        self._last_sequence = 0
        self._events: deque[TaskEndedBody] = deque()
        self._members_by_gang: dict[str, _Member] = {}
        self._closed_gang_ids: set[str] = set()
        self._started_gang_ids: set[str] = set()
        self._usage: deque[_Usage] = deque([_Usage(now, 0, 0)])

    def claim(self, request: ClaimRequest, now: float) -> ClaimReply:
        """Set epoch and lease of the worker for an owner; returns its state.

        Raises:
            RejectedEpochError: The worker was claimed under a higher epoch.
        """
        self.advance(now)
        epoch = Epoch(*request["epoch"])
        if epoch < self.highest_epoch:
            raise RejectedEpochError(self.highest_epoch, "stale_epoch")
        self.highest_epoch = epoch
        self._lease_s = request["lease_s"]
        self._renew_lease(request, now)
        return self.state(now)

    def state(self, now: float) -> ClaimReply:
        """Return resources, gang members and retained results."""
        self.advance(now)
        return ClaimReply(
            boot_id=self.boot_id,
            draining=self.draining,
            worker_id=self.info.worker_id,
            failure_domain=self.info.failure_domain,
            rack=self.info.rack,
            accelerators=self.info.accelerators,
            slots=self.info.slots,
            cores=self.info.cores,
            memory_mb=self.info.memory_mb,
            members=[_member_body(m) for m in self._members_by_gang.values()],
            sequence=self._last_sequence,
            clock_s=round(now, CLOCK_DIGITS),
        )

    def poll(self, request: PollRequest, now: float) -> PollReply:
        """Renew the lease and return the events and the usage at once.

        Events up to sequence number ``after`` are acknowledged and dropped.
        """
        self._check_epoch_and_renew(request, now)
        while self._events and self._events[0]["sequence"] <= request["after"]:
            self._events.popleft()
        return PollReply(
            boot_id=self.boot_id,
            draining=self.draining,
            events=list(self._events),
            usage=self._lagged_usage(now),
            clock_s=round(now, CLOCK_DIGITS),
        )

    def must_answer_poll(self, request: PollRequest, now: float) -> bool:
        """Whether a waiting poll has to be answered now.

        That is so if there are events or if another epoch has been claimed.
        The lease is not renewed.
        """
        self.advance(now)
        return bool(self._events) or Epoch(*request["epoch"]) != self.highest_epoch

    def reserve(self, request: ReserveRequest, now: float) -> CommandReply:
        """Reserve resources for a gang member until its tasks have ended.

        A release or the expiry of the lease also ends the reservation.
        """
        self._check_epoch_and_renew(request, now)
        gang_id = request["gang_id"]
        existing = self._members_by_gang.get(gang_id)
        if existing is not None and existing.state is MemberState.RESERVED:
            return self._reply()
        # A delayed duplicate must not reserve again after the release.
        if gang_id in self._started_gang_ids:
            return self._reply("already_started")
        if gang_id in self._closed_gang_ids:
            return self._reply("already_ended")
        spec = spec_from_body(request["spec"])
        code = self._rejection_code(request, spec)
        if code:
            return self._reply(code)
        member = _Member(request, spec, MemberState.RESERVED)
        self._members_by_gang[gang_id] = member
        self._record_change("reserved", member, now)
        return self._reply()

    def start(self, request: MemberRequest, now: float) -> CommandReply:
        """Start the tasks of a reserved member; repetitions have no effect."""
        self._check_epoch_and_renew(request, now)
        gang_id = request["gang_id"]
        member = self._members_by_gang.get(gang_id)
        if member is None:
            was_started = gang_id in self._started_gang_ids
            return self._reply("already_started" if was_started else "unknown_gang")
        if member.state is not MemberState.RESERVED:
            return self._reply()
        self._started_gang_ids.add(gang_id)
        plans = tuple(
            plan_task(member.spec, index, now, self.fail_everything)
            for index in member.request["tasks"]
        )
        started = member._replace(state=MemberState.STARTED, running=plans)
        self._members_by_gang[gang_id] = started
        self._record_change("started", started, now)
        return self._reply()

    def release(self, request: MemberRequest, now: float) -> CommandReply:
        """Drop the reservation or the retained results of a gang member.

        A member that is running is not released.
        """
        self._check_epoch_and_renew(request, now)
        member = self._members_by_gang.get(request["gang_id"])
        if member is not None and member.state is MemberState.STARTED:
            return self._reply("member_running")
        self._close_gang(request["gang_id"], now)
        return self._reply()

    def stop(self, request: StopRequest, now: float) -> CommandReply:
        """Stop the tasks of a started member.

        A member that has not started is released instead. If requested,
        preemptible tasks write a checkpoint before they end.
        """
        self._check_epoch_and_renew(request, now)
        gang_id = request["gang_id"]
        member = self._members_by_gang.get(gang_id)
        if member is None or member.state is MemberState.RESERVED:
            self._close_gang(gang_id, now)
            return self._reply("unknown_gang")
        if member.state is MemberState.ENDED:
            return self._reply("already_ended")
        outcome, ends_at = TaskOutcome.STOPPED, now
        if request["checkpoint"] and member.spec.preemptible:
            outcome = TaskOutcome.CHECKPOINTED
            ends_at = now + member.spec.stop_bound_s * CHECKPOINT_TIME_FRACTION
        self._stop_tasks(gang_id, ends_at, outcome)
        self.advance(now)
        return self._reply()

    def throttle(self, request: ThrottleRequest, now: float) -> CommandReply:
        """Limit a member to a share of its cores, which slows its tasks."""
        self._check_epoch_and_renew(request, now)
        gang_id = request["gang_id"]
        member = self._members_by_gang.get(gang_id)
        if member is None:
            return self._reply("unknown_gang")
        if member.state is MemberState.ENDED:
            return self._reply("already_ended")
        slower_plans = tuple(p.throttled(request["share"], now) for p in member.running)
        self._members_by_gang[gang_id] = member._replace(running=slower_plans)
        return self._reply()

    def advance(self, now: float) -> None:
        """Simulate what happens until ``now``.

        Due tasks end. When the lease has expired, reservations are dropped
        and running tasks stopped. Expired results are dropped.
        """
        self._end_due_tasks(min(now, self.lease_until))
        if now >= self.lease_until:
            self._expire_lease()
        self._drop_expired_results(now)

    def next_deadline(self) -> float | None:
        """Return the time of the next task end or lease expiry.

        The earlier one counts. The result is None if no member holds
        resources.
        """
        deadlines = [
            p.ends_at for m in self._members_by_gang.values() for p in m.running
        ]
        if any(m.holds_resources for m in self._members_by_gang.values()):
            deadlines.append(self.lease_until)
        return min(deadlines, default=None)

    def _check_epoch_and_renew(self, request: EpochRequest, now: float) -> None:
        self.advance(now)
        epoch = Epoch(*request["epoch"])
        if epoch < self.highest_epoch:
            raise RejectedEpochError(self.highest_epoch, "stale_epoch")
        if epoch > self.highest_epoch:
            raise RejectedEpochError(self.highest_epoch, "not_claimed")
        if request.get("boot_id", self.boot_id) != self.boot_id:
            raise RejectedEpochError(self.highest_epoch, "other_process")
        self._renew_lease(request, now)

    def _renew_lease(self, request: EpochRequest, now: float) -> None:
        renewed_until = now + self._lease_s
        if "lease_until_s" in request:
            renewed_until = min(renewed_until, request["lease_until_s"])
            renewed_until = max(renewed_until, self.lease_until)
        self.lease_until = renewed_until

    def _reply(self, code: str = "") -> CommandReply:
        reply = CommandReply(
            boot_id=self.boot_id, draining=self.draining, accepted=not code
        )
        if code:
            reply["code"] = code
        return reply

    def _rejection_code(self, request: ReserveRequest, spec: JobSpec) -> str:
        requested = set(request["accelerators"])
        if self.draining:
            return "draining"
        if not requested <= set(range(self.info.accelerators)):
            return "no_such_accelerator"
        holding = [m for m in self._members_by_gang.values() if m.holds_resources]
        if any(requested & set(m.request["accelerators"]) for m in holding):
            return "busy"
        count = len(request["tasks"])
        slots = count
        cores = count * spec.cores_per_task
        memory_mb = count * spec.memory_mb_per_task
        for member in holding:
            task_count = len(member.request["tasks"])
            slots += task_count
            cores += task_count * member.spec.cores_per_task
            memory_mb += task_count * member.spec.memory_mb_per_task
        fits = (
            slots <= self.info.slots
            and cores <= self.info.cores
            and memory_mb <= self.info.memory_mb
        )
        return "" if fits else "busy"

    def _end_due_tasks(self, until: float) -> None:
        due_tasks = [
            (plan.ends_at, gang_id, plan)
            for gang_id, member in self._members_by_gang.items()
            for plan in member.running
            if plan.ends_at <= until
        ]
        for _, gang_id, plan in sorted(due_tasks):
            self._end_task(gang_id, plan)

    def _end_task(self, gang_id: str, plan: TaskPlan) -> None:
        member = self._members_by_gang[gang_id]
        running = tuple(p for p in member.running if p.task_index != plan.task_index)
        body = TaskResultBody(
            task_index=plan.task_index, outcome=plan.outcome, result=plan.result
        )
        member = member._replace(running=running, results=(*member.results, body))
        if not running:
            member = member._replace(state=MemberState.ENDED, ended_at=plan.ends_at)
        self._members_by_gang[gang_id] = member
        self._last_sequence += 1
        event = TaskEndedBody(sequence=self._last_sequence, gang_id=gang_id, **body)
        self._events.append(event)
        self._record_change("ended", member, plan.ends_at, plan)

    def _stop_tasks(self, gang_id: str, ends_at: float, outcome: TaskOutcome) -> None:
        member = self._members_by_gang[gang_id]
        plans = tuple(plan.stopped(ends_at, outcome) for plan in member.running)
        self._members_by_gang[gang_id] = member._replace(running=plans)

    def _expire_lease(self) -> None:
        for gang_id, member in list(self._members_by_gang.items()):
            if member.state is MemberState.RESERVED:
                self._close_gang(gang_id, self.lease_until)
            elif member.state is MemberState.STARTED:
                self._stop_tasks(gang_id, self.lease_until, TaskOutcome.STOPPED)
        self._end_due_tasks(self.lease_until)

    def _drop_expired_results(self, now: float) -> None:
        for gang_id, member in list(self._members_by_gang.items()):
            ended = member.state is MemberState.ENDED
            if ended and now >= member.ended_at + RESULT_RETENTION_S:
                self._close_gang(gang_id, now)

    def _close_gang(self, gang_id: str, now: float) -> None:
        self._closed_gang_ids.add(gang_id)
        member = self._members_by_gang.pop(gang_id, None)
        if member is not None:
            self._record_change("released", member, now)

    def _record_change(
        self, what: str, member: _Member, at: float, plan: TaskPlan | None = None
    ) -> None:
        request = member.request
        entry = HistoryEntry(
            at, what, request["gang_id"], request["job_id"], self.highest_epoch
        )
        if plan is not None:
            entry = entry._replace(task_index=plan.task_index, outcome=plan.outcome)
        self.history.append(entry)
        holding = [m for m in self._members_by_gang.values() if m.holds_resources]
        accelerators = sum(len(m.request["accelerators"]) for m in holding)
        slots = sum(len(m.request["tasks"]) for m in holding)
        self._usage.append(_Usage(at, accelerators, slots))

    def _lagged_usage(self, now: float) -> UsageBody:
        while len(self._usage) > 1 and self._usage[1].at <= now - USAGE_LAG_S:
            self._usage.popleft()
        usage = self._usage[0]
        return UsageBody(
            lag_s=USAGE_LAG_S,
            busy_accelerators=usage.busy_accelerators,
            busy_slots=usage.busy_slots,
        )


def _member_body(member: _Member) -> MemberBody:
    request = member.request
    return MemberBody(
        gang_id=request["gang_id"],
        job_id=request["job_id"],
        spec=request["spec"],
        submitted_at=request["submitted_at"],
        accelerators=request["accelerators"],
        tasks=request["tasks"],
        gang_members=request["gang_members"],
        state=member.state,
        results=list(member.results),
    )
