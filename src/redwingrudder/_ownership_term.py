"""One period in which a node owns its failure domain.

It joins the pure scheduler, the worker links, the job records and the
waiting callers. The dispatcher drops it when the ownership ends.
"""

import logging
from collections import deque
from collections.abc import Callable, Coroutine

from twisted.internet.defer import ensureDeferred
from twisted.python.failure import Failure

from . import messages
from ._gang_commands import GangCommands
from ._job_ledger import JobLedger
from ._job_records import STARTING, JobRecordBody, StoredRecord, is_final, spec_of
from ._job_reporter import JobReporter
from ._job_store import JobStore
from ._job_waiters import JobWaiters
from ._ledger_entry import LedgerCallbacks
from ._ownership_term_parts import OwnershipTermParts
from ._worker_messages import LinkEvent
from ._worker_roster import WorkerRoster
from .exceptions import StoreUnavailableError, UnavailableError
from .model import FINAL_JOB_STATES, Epoch, GuaranteeShortage, JobState, JobView
from .requests import DISPATCHER, VmInfo
from .timers import TIMERS, Subscribe, Unsubscribe

RECOVERY_LIMIT_S = 3.0  # placement resumes within 5 s of an owner's death
LOAD_RETRY_S = 1.0
RECORD_RETRY_S = 1.0
SWEEP_INTERVAL_S = 30.0
FLUSH_INTERVAL_S = 0.5

WAKE_TIMER = "wake"
RECOVERY_TIMER = "recovery"
LOAD_TIMER = "load"
RECORDS_TIMER = "records"
SWEEP_TIMER = "sweep"
FLUSH_TIMER = "flush"

NOT_RECORDED_YET = "recording_the_end"

_logger = logging.getLogger(__name__)


class OwnershipTerm:
    """Everything that an owner keeps in memory.

    Args:
        parts: Collaborators.
        epoch: Fencing epoch of this ownership.
    """

    def __init__(self, parts: OwnershipTermParts, epoch: Epoch) -> None:
        self._parts = parts
        self._system = parts.system
        self._domain = parts.settings.failure_domain
        self.epoch = epoch
        self.scheduler = parts.scheduler
        parts.scheduler.set_owner(epoch)
        self.reporter = JobReporter(parts.settings.node_id, parts.observer)
        self.waiters = JobWaiters(parts.system, DISPATCHER)
        self.roster = WorkerRoster(parts.system, parts.settings, epoch, parts.transport)
        callbacks = LedgerCallbacks(
            self._published,
            self._results_safe,
            self._recorded,
            self._changed_by_other_owner,
            self._retry_records,
        )
        self._store = JobStore(parts.system, self._domain, epoch)
        self.ledger = JobLedger(self._store, self._domain, callbacks)
        self._loaded = False
        self.closed = False
        self._commands = GangCommands(self.roster, self.ledger.is_pending)
        self._recovered = False
        self._early_shortages: tuple[GuaranteeShortage, ...] = ()
        self._members_known = False
        self._events: deque[messages.Event] = deque()
        self._feeding = False
        # Jobs whose start is recorded are not judged before every worker
        # was claimed or is surely without tasks.
        self._uncertain: dict[str, JobRecordBody] = {}
        self._handlers_by_effect_type: dict[type, Callable] = {
            messages.ReserveMember: self._commands.reserve,
            messages.StartMember: self._commands.start,
            messages.ReleaseMember: self._commands.release,
            messages.StopMember: self._commands.stop,
            messages.RecordStart: self._record_start,
            messages.JobChanged: self._job_changed,
            messages.TargetMissed: self._target_missed,
            messages.ShortagesChanged: self._shortages_changed,
            messages.ScheduleWakeUp: self._wake_at,
        }
        self._timers_by_name: dict[str, Callable[[], None]] = {
            WAKE_TIMER: lambda: self.feed(messages.Tick()),
            RECOVERY_TIMER: self._end_recovery,
            LOAD_TIMER: lambda: self.run(self._load()),
            RECORDS_TIMER: lambda: self.run(self.ledger.write_all()),
            SWEEP_TIMER: lambda: self.run(self.ledger.sweep(self.now())),
            FLUSH_TIMER: self.roster.flush,
        }

    def begin(
        self,
        configuration: messages.ConfigurationChanged | None,
        vms: tuple[VmInfo, ...] | None,
    ) -> None:
        """Claim the workers and read the job records."""
        if configuration is not None:
            self.feed(configuration)
        if vms is not None:
            self.sync_members(vms)
        self._subscribe(RECOVERY_TIMER, RECOVERY_LIMIT_S)
        self._subscribe(SWEEP_TIMER, SWEEP_INTERVAL_S, SWEEP_INTERVAL_S)
        self._subscribe(FLUSH_TIMER, FLUSH_INTERVAL_S, FLUSH_INTERVAL_S)
        self.run(self._load())

    def end(self, reason: str) -> None:
        """Drop everything; running tasks are left to the next owner."""
        self.closed = True
        self.ledger.close()
        self.roster.close()
        for timer in self._timers_by_name:
            self._system.tell(TIMERS, Unsubscribe(DISPATCHER, timer))
        detail = f"this node no longer owns {self._domain}: {reason}"
        error = UnavailableError(detail, code="not_owner", retry_after_s=0.5)
        self.waiters.fail_all(error)

    def drain(self) -> bool:
        """Record no further starts; returns whether one is in progress."""
        return self._commands.drain() or not self.ledger.idle

    def now(self) -> float:
        """Return the time of the node's clock."""
        return self._system.clock.seconds()

    def run(self, work: Coroutine) -> None:
        """Run a coroutine whose result nobody awaits."""
        ensureDeferred(work).addErrback(self._log_fault)

    def fire(self, timer: str) -> None:
        """Take a timer of this ownership term."""
        if not self.closed and timer in self._timers_by_name:
            self._timers_by_name[timer]()

    def feed(self, event: messages.Event) -> None:
        """Give an event to the scheduler and carry out its effects."""
        self._events.append(event)
        if self._feeding:
            # Carrying out an effect raised this event; effects of one event
            # are carried out before those of the next.
            return
        self._feeding = True
        try:
            while self._events and not self.closed:
                self._handle(self._events.popleft())
        finally:
            self._feeding = False

    def _handle(self, event: messages.Event) -> None:
        for effect in self.scheduler.handle(event, self.now()):
            self._handlers_by_effect_type[type(effect)](effect)

    def sync_members(self, vms: tuple[VmInfo, ...]) -> None:
        """Take the VM list."""
        self._members_known = True
        for event in self.roster.sync(vms):
            self.feed(event)
        self._check_recovery()

    def handle_link_event(self, message: LinkEvent) -> None:
        """Take what a worker link tells."""
        for event in self.roster.process_event(message):
            if isinstance(event, messages.WorkerClaimed):
                self._commands.track_members(event.report)
            self.feed(event)
        self._judge_reported()
        self._check_recovery()

    def raise_epoch(self, epoch: Epoch) -> None:
        """Go on under a higher epoch."""
        self.epoch = epoch
        self._store.epoch = epoch
        self.roster.raise_epoch(epoch)
        # Writes may have waited for the owner record.
        self._retry_records()

    def view(self, job_id: str) -> JobView | None:
        """Return what a caller may be told of a job now, None if unknown.

        Raises:
            ResultExpiredError: The results are no longer kept.
        """
        answer = self.ledger.answer(job_id, self.now())
        if answer is not None and not self._runs_again(answer):
            return answer
        held_back = self.ledger.unpublished(job_id)
        if held_back is not None:
            # The end is not recorded yet, so another owner could run the job.
            return held_back._replace(
                state=JobState.QUEUED, reason=NOT_RECORDED_YET, finished_at=None
            )
        view = self.scheduler.view(job_id)
        return view and view._replace(durable=self.ledger.durable(job_id))

    def _runs_again(self, answer: JobView) -> bool:
        """Whether a job that was recorded as not run has run since."""
        if answer.state is not JobState.NOT_RUN:
            return False
        view = self.scheduler.view(answer.job_id)
        return view is not None and view.state is not JobState.NOT_RUN

    def known_view(self, job_id: str) -> JobView:
        """Return what a caller may be told of a job that is recorded.

        Raises:
            UnavailableError: Its start is recorded and not every worker has
                reported yet whether it runs.
        """
        view = self.view(job_id)
        if view is None:
            self.check_recovered(job_id)
            raise UnavailableError(f"{job_id} is not known", retry_after_s=1.0)
        return view

    def check_recovered(self, job_id: str) -> None:
        """Refuse to tell that a job is unknown before that is certain."""
        if not self._loaded or job_id in self._uncertain:
            raise UnavailableError(
                f"{job_id} may still be recovered",
                code="recovering",
                retry_after_s=1.0,
            )

    def cancel(self, job_id: str) -> None:
        """Cancel a job.

        Raises:
            UnavailableError: ``recovering``; workers that have not reported
                yet may run the job.
        """
        if not self._recovered:
            raise UnavailableError(
                "the workers are still being claimed",
                code="recovering",
                retry_after_s=1.0,
            )
        self.feed(messages.CancelRequested(job_id))

    def take_record(self, record: StoredRecord) -> None:
        """Know a job of this domain from its record."""
        body = record.body
        job_id = body["job_id"]
        self.ledger.add_stored(record)
        if is_final(body):
            self._take_final(job_id)
        elif not self.ledger.has_ended(job_id):
            self._uncertain[job_id] = body
            if body["state"] != STARTING or self._is_certain(job_id):
                self._submit_uncertain(job_id)

    # Recovery.

    async def _load(self) -> None:
        try:
            stored = await self._store.load()
        except StoreUnavailableError:
            self._subscribe(LOAD_TIMER, LOAD_RETRY_S)
            return
        if self.closed:
            return
        for record in sorted(stored, key=lambda r: r.body["finished_at"] or 0.0):
            self.take_record(record)
        self._loaded = True
        self._check_recovery()

    def _take_final(self, job_id: str) -> None:
        view = self.scheduler.view(job_id)
        if view is not None and view.state not in FINAL_JOB_STATES:
            # A worker still holds a gang of a job that has ended.
            self.feed(messages.CancelRequested(job_id))
        self.waiters.job_ended(job_id)

    def _is_certain(self, job_id: str) -> bool:
        everyone = self._members_known and self.roster.all_claimed_or_lost
        return everyone or self.scheduler.view(job_id) is not None

    def _judge_reported(self) -> None:
        for job_id in list(self._uncertain):
            if self._is_certain(job_id):
                self._submit_uncertain(job_id)

    def _submit_uncertain(self, job_id: str) -> None:
        body = self._uncertain.pop(job_id)
        started = body["state"] == STARTING
        spec = spec_of(body)
        submitted_at = body["submitted_at"]
        self.feed(messages.JobSubmitted(job_id, spec, submitted_at, True, started))

    def _check_recovery(self) -> None:
        if self._recovered:
            return
        if self._loaded and self._members_known and self.roster.all_claimed_or_lost:
            self._judge_reported()
            self._end_recovery()

    def _end_recovery(self) -> None:
        if not self._recovered:
            self._system.tell(TIMERS, Unsubscribe(DISPATCHER, RECOVERY_TIMER))
            self.feed(messages.RecoveryEnded())
            self._recovered = True
            self.reporter.shortages(self._early_shortages)

    # Effects.

    def _record_start(self, effect: messages.RecordStart) -> None:
        if self._commands.try_begin_start(effect.job_id):
            self.run(self._write_start(effect))

    async def _write_start(self, effect: messages.RecordStart) -> None:
        refusal = await self.ledger.record_start(effect.job_id, effect.gang_id)
        self.feed(messages.StartRecordAnswered(effect.gang_id, not refusal, refusal))

    def _job_changed(self, effect: messages.JobChanged) -> None:
        job = self.scheduler.jobs_by_id[effect.job_id]
        self.reporter.changed(effect.job_id, job.spec, effect.state)
        self._commands.starting_jobs.discard(effect.job_id)
        if effect.state not in FINAL_JOB_STATES:
            return
        view = self._certain_view(effect.job_id)
        self._uncertain.pop(effect.job_id, None)
        self.ledger.finish(view, job.spec, self.now())
        self.run(self.ledger.write(effect.job_id))

    def _certain_view(self, job_id: str) -> JobView:
        """Return the end of a job without claiming more than is known.

        A job without a record may have run for a previous owner, and only
        the job records and the reports of all workers could tell.
        """
        view = self.scheduler.view(job_id)
        complete = (
            self._loaded and self._members_known and self.roster.all_claimed_or_lost
        )
        if view.state is not JobState.NOT_RUN or complete:
            return view
        if self.ledger.durable(job_id):
            return view
        return view._replace(state=JobState.INTERRUPTED, reason="may_have_run")

    def _target_missed(self, effect: messages.TargetMissed) -> None:
        job = self.scheduler.jobs_by_id[effect.job_id]
        self.reporter.target_missed(effect.job_id, job.spec)

    def _shortages_changed(self, effect: messages.ShortagesChanged) -> None:
        # Before the workers are claimed, every guarantee seems short.
        if self._recovered:
            self.reporter.shortages(effect.shortages)
        else:
            self._early_shortages = effect.shortages

    def _wake_at(self, effect: messages.ScheduleWakeUp) -> None:
        self._subscribe(WAKE_TIMER, effect.at - self.now())

    # Callbacks of the ledger.

    def _published(self, job_id: str) -> None:
        view = self.ledger.answer(job_id, self.now())
        if view is not None:
            self.reporter.finished(view)
        self.waiters.job_ended(job_id)

    def _results_safe(self, job_id: str) -> None:
        self._commands.release_held(job_id)

    def _recorded(self, job_id: str) -> None:
        job = self.scheduler.jobs_by_id.get(job_id)
        if job is not None:
            self.feed(messages.JobSubmitted(job_id, job.spec, job.submitted_at, True))

    def _changed_by_other_owner(self, record: StoredRecord) -> None:
        """Another owner ended the job or recorded a start of it."""
        job_id = record.body["job_id"]
        self.take_record(record)
        if not is_final(record.body):
            self.feed(messages.CancelRequested(job_id))

    def _retry_records(self) -> None:
        self._subscribe(RECORDS_TIMER, RECORD_RETRY_S)

    # Helpers.

    def _subscribe(self, timer: str, delay_s: float, interval_s: float = 0.0) -> None:
        subscription = Subscribe(DISPATCHER, timer, delay_s, interval_s)
        self._system.tell(TIMERS, subscription)

    def _log_fault(self, failure: Failure) -> None:
        _logger.error("dispatcher failed", extra={"error": failure.getTraceback()})
