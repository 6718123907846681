"""Actor that answers job requests while its node owns a failure domain."""

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.defer import Deferred

from ._job_observer import JobObserver, SilentObserver
from ._job_records import domain_of_job, job_id_for
from ._job_submitter import JobSubmitter
from ._job_waiters import TIMER_PREFIX
from ._ownership_term import OwnershipTerm
from ._ownership_term_parts import OwnershipTermParts
from ._worker_messages import LinkEvent
from ._worker_roster import RosterSettings
from ._worker_transport import WorkerTransport
from .actors import Actor, ActorSystem, Handler
from .exceptions import (
    NotFoundError,
    OutcomeUnknownError,
    UnavailableError,
)
from .messages import ConfigurationChanged
from .model import FINAL_JOB_STATES, JobView
from .requests import (
    DISPATCHER,
    PEERS,
    CancelJob,
    DomainStatus,
    Drain,
    EpochRaised,
    ExplainJob,
    Explanation,
    GetStatus,
    LocalLoad,
    MembersChanged,
    OwnerChanged,
    OwnershipEnded,
    OwnershipGained,
    PollJob,
    SubmitJob,
)
from .scheduler import Scheduler
from .timers import TIMERS, Subscribe, TimerFired, Unsubscribe

__all__ = [
    "Dispatcher",
    "DispatcherSettings",
    "JobObserver",
    "SilentObserver",
    "domain_of_job",
    "job_id_for",
]

# If the end of a cancelled job is not confirmed within this time, the request
# fails with an unknown outcome.
CANCEL_TIMEOUT_S = 30.0
CANCEL_RETRY_S = 1.0  # retry delay that callers are given
NOT_OWNER_RETRY_S = 0.5  # retry delay that callers are given
STORE_RETRY_S = 2.0
DRAIN_TIMEOUT_S = 5.0
DRAIN_CHECK_INTERVAL_S = 0.1
LOAD_REPORT_INTERVAL_S = 1.0

_LOAD_TIMER = "local_load"
_DRAIN_TIMER = "drain"


class DispatcherSettings(NamedTuple):
    """Settings of the dispatcher of one node.

    Attributes:
        failure_domain: Failure domain of the node.
        node_id: Id of the node.
        lease_s: Lease of the workers in seconds.
        store_writes_per_s: This domain's share of the store's writes per
            second, which limits the rate of accepted jobs.
    """

    failure_domain: str
    node_id: str
    lease_s: float = 30.0
    store_writes_per_s: float = 50.0


class Dispatcher(Actor):
    """Answers requests about jobs while its node owns the failure domain.

    Args:
        system: Actor system of the node.
        settings: Identity and limits of the node.
        make_scheduler: Returns an empty scheduler for each ownership term.
        transport: Sends commands to the workers.
        observer: Notified about jobs, for metrics.
    """

    def __init__(
        self,
        system: ActorSystem,
        settings: DispatcherSettings,
        make_scheduler: Callable[[], Scheduler],
        transport: WorkerTransport,
        observer: JobObserver | None = None,
    ) -> None:
        self._settings = settings
        self._make_scheduler = make_scheduler
        self._transport = transport
        self._observer = observer or SilentObserver()
        self._ownership_term: OwnershipTerm | None = None
        self._configuration: ConfigurationChanged | None = None
        self._members: MembersChanged | None = None
        self._submitter = JobSubmitter(
            settings.failure_domain,
            settings.store_writes_per_s,
            self._require_ownership_term,
            system.clock.seconds,
        )
        self._drain_waiters: list[Deferred] = []
        self._drain_deadline = 0.0
        super().__init__(system, DISPATCHER)

    def handlers(self) -> dict[type, Handler]:
        """See base class."""
        return {
            OwnershipGained: self._ownership_gained,
            EpochRaised: self._raise_epoch,
            OwnershipEnded: self._ownership_ended,
            OwnerChanged: lambda _: None,  # sent to every subscriber
            ConfigurationChanged: self._configure,
            MembersChanged: self._sync_members,
            LinkEvent: self._handle_link_event,
            TimerFired: self._timer_fired,
            SubmitJob: self._submitter.submit,
            PollJob: self._poll,
            CancelJob: self._cancel,
            ExplainJob: self._explain,
            GetStatus: self._status,
            Drain: self._drain,
        }

    def stop(self) -> None:
        """End the ownership term; the next owner claims the workers."""
        self._drop_ownership_term("the node stopped")

    def _now(self) -> float:
        return self.system.clock.seconds()

    # Ownership of the failure domain.

    def _ownership_gained(self, message: OwnershipGained) -> None:
        self._drop_ownership_term("the node gained ownership again")
        settings = RosterSettings(
            self._settings.failure_domain,
            self._settings.node_id,
            self._settings.lease_s,
        )
        parts = OwnershipTermParts(
            self.system,
            settings,
            self._make_scheduler(),
            self._transport,
            self._observer,
        )
        self._ownership_term = OwnershipTerm(parts, message.epoch)
        vms = self._members.vms if self._members else None
        self._ownership_term.begin(self._configuration, vms)
        load = Subscribe(
            self.name, _LOAD_TIMER, LOAD_REPORT_INTERVAL_S, LOAD_REPORT_INTERVAL_S
        )
        self.tell(TIMERS, load)

    def _raise_epoch(self, message: EpochRaised) -> None:
        if self._ownership_term is not None:
            self._ownership_term.raise_epoch(message.epoch)

    def _ownership_ended(self, message: OwnershipEnded) -> None:
        self._drop_ownership_term(message.reason)

    def _drop_ownership_term(self, reason: str) -> None:
        ownership_term, self._ownership_term = self._ownership_term, None
        if ownership_term is not None:
            ownership_term.end(reason)
            self.tell(TIMERS, Unsubscribe(self.name, _LOAD_TIMER))

    def _configure(self, message: ConfigurationChanged) -> None:
        self._configuration = message
        if self._ownership_term is not None:
            self._ownership_term.process_event(message)

    def _sync_members(self, message: MembersChanged) -> None:
        self._members = message
        if self._ownership_term is not None:
            self._ownership_term.sync_members(message.vms)

    def _handle_link_event(self, message: LinkEvent) -> None:
        if self._ownership_term is not None:
            self._ownership_term.handle_link_event(message)

    def _timer_fired(self, fired: TimerFired) -> None:
        if fired.timer == _DRAIN_TIMER:
            self._check_drained()
        elif self._ownership_term is None:
            return
        elif fired.timer == _LOAD_TIMER:
            self._publish_load(self._ownership_term)
        elif fired.timer.startswith(TIMER_PREFIX):
            self._ownership_term.waiters.time_out(fired.timer)
        else:
            self._ownership_term.handle_timer(fired.timer)

    def _publish_load(self, ownership_term: OwnershipTerm) -> None:
        status = ownership_term.scheduler.status(self._now())
        load = LocalLoad(
            status.free_accelerators, status.largest_gang, status.queued_jobs
        )
        if PEERS in self.system.names():
            self.tell(PEERS, load)

    def _require_ownership_term(self) -> OwnershipTerm:
        if self._ownership_term is None:
            domain = self._settings.failure_domain
            detail = f"this node does not own {domain}"
            raise UnavailableError(
                detail, code="not_owner", retry_after_s=NOT_OWNER_RETRY_S
            )
        return self._ownership_term

    # Requests about accepted jobs and the status of the domain.

    async def _poll(self, message: PollJob) -> JobView:
        view = self._find_job(message.job_id)
        if view.state in FINAL_JOB_STATES or message.wait_s <= 0:
            return view
        await self._require_ownership_term().waiters.wait(
            message.job_id, message.wait_s
        )
        return self._find_job(message.job_id)

    async def _cancel(self, message: CancelJob) -> JobView:
        await self._submitter.wait_for_creation(message.job_id)
        await self._submitter.cancel_unconfirmed(message.job_id)
        view = self._find_job(message.job_id)
        if view.state in FINAL_JOB_STATES:
            return view
        ownership_term = self._require_ownership_term()
        ownership_term.cancel(message.job_id)
        view = self._find_job(message.job_id)
        if view.state not in FINAL_JOB_STATES:
            await ownership_term.waiters.wait(message.job_id, CANCEL_TIMEOUT_S)
        view = self._find_job(message.job_id)
        if view.state not in FINAL_JOB_STATES:
            raise OutcomeUnknownError(
                f"the end of the cancelled job {message.job_id} is not confirmed yet",
                retry_after_s=CANCEL_RETRY_S,
            )
        return view

    def _explain(self, message: ExplainJob) -> Explanation:
        view = self._find_job(message.job_id)
        if view.state in FINAL_JOB_STATES:
            reasons = (view.reason,) if view.reason else ()
            return Explanation(message.job_id, view.state.value, reasons)
        return self._require_ownership_term().scheduler.explain(
            message.job_id, self._now()
        )

    def _status(self, _: GetStatus) -> DomainStatus:
        ownership_term = self._require_ownership_term()
        return ownership_term.scheduler.status(
            self._now(), self._settings.node_id, ownership_term.epoch
        )

    def _find_job(self, job_id: str) -> JobView:
        ownership_term = self._require_ownership_term()
        view = ownership_term.view(job_id)
        if view is not None:
            return view
        ownership_term.check_job_recovered(job_id)
        raise NotFoundError(f"there is no job {job_id!r}", code="no_such_job")

    # Graceful shutdown.

    def _drain(self, _: Drain) -> Deferred:
        drained: Deferred = Deferred()
        self._drain_waiters.append(drained)
        self._submitter.draining = True
        self._drain_deadline = self._now() + DRAIN_TIMEOUT_S
        self.tell(
            TIMERS, Subscribe(self.name, _DRAIN_TIMER, 0.0, DRAIN_CHECK_INTERVAL_S)
        )
        return drained

    def _check_drained(self) -> None:
        start_in_progress = (
            self._ownership_term is not None and self._ownership_term.drain()
        )
        busy = self._submitter.is_busy or start_in_progress
        if busy and self._now() < self._drain_deadline:
            return
        self.tell(TIMERS, Unsubscribe(self.name, _DRAIN_TIMER))
        for drained in self._drain_waiters:
            if not drained.called:
                drained.callback(None)
