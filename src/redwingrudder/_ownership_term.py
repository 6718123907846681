"""State of one period in which a node owns its failure domain.

An ownership term connects the scheduler, which performs no input or output,
to the worker links, the job records and the waiting callers. The dispatcher
discards it when the ownership ends.
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
from .model import (
    FINAL_JOB_STATES,
    Epoch,
    GuaranteeShortage,
    JobState,
    JobView,
    MemberState,
    WorkerReport,
)
from .requests import DISPATCHER, VmInfo
from .timers import TIMERS, Subscribe, Unsubscribe

# Recovery ends at the latest after this time, so that placement resumes within
# 5 s of an owner's death.
RECOVERY_TIMEOUT_S = 3.0
LOAD_RETRY_S = 1.0
RECORD_RETRY_S = 1.0
SWEEP_INTERVAL_S = 30.0
FLUSH_INTERVAL_S = 0.5
NOT_OWNER_RETRY_S = 0.5  # retry delay that callers are given
RECOVERING_RETRY_S = 1.0  # retry delay that callers are given

WAKE_TIMER = "wake"
RECOVERY_TIMER = "recovery"
LOAD_TIMER = "load"
RECORDS_TIMER = "records"
SWEEP_TIMER = "sweep"
FLUSH_TIMER = "flush"

# Reason shown for an ended job whose end callers may see only once it is
# recorded.
NOT_RECORDED_YET = "recording_the_end"

_logger = logging.getLogger(__name__)


class OwnershipTerm:
    """Scheduler, workers, job records and callers of one ownership.

    Args:
        parts: Collaborators that the node provides.
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
            self._answer_published,
            self._results_releasable,
            self._record_created,
            self._changed_by_other_owner,
            self._schedule_record_retry,
        )
        self._store = JobStore(parts.system, self._domain, epoch)
        self.ledger = JobLedger(self._store, self._domain, callbacks)
        self._records_loaded = False
        self.closed = False
        self._commands = GangCommands(self.roster, self.ledger.is_pending)
        self._recovered = False
        self._shortages_before_recovery: tuple[GuaranteeShortage, ...] = ()
        self._members_known = False
        self._events: deque[messages.Event] = deque()
        self._processing_events = False
        # Records of unfinished jobs that have not been submitted to the
        # scheduler. A job with a recorded start is submitted only once a
        # worker has reported it or every worker was claimed or lost.
        self._unresolved_records_by_job: dict[str, JobRecordBody] = {}
        self._handlers_by_effect_type: dict[type, Callable] = {
            messages.ReserveMember: self._commands.reserve,
            messages.StartMember: self._commands.start,
            messages.ReleaseMember: self._commands.release,
            messages.StopMember: self._commands.stop,
            messages.RecordStart: self._record_start,
            messages.JobChanged: self._job_changed,
            messages.TargetMissed: self._target_missed,
            messages.ShortagesChanged: self._shortages_changed,
            messages.ScheduleWakeUp: self._schedule_wake_up,
        }
        self._timers_by_name: dict[str, Callable[[], None]] = {
            WAKE_TIMER: lambda: self.process_event(messages.Tick()),
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
        """Start the timers, claim the workers and read the job records."""
        if configuration is not None:
            self.process_event(configuration)
        if vms is not None:
            self.sync_members(vms)
        self._subscribe(RECOVERY_TIMER, RECOVERY_TIMEOUT_S)
        self._subscribe(SWEEP_TIMER, SWEEP_INTERVAL_S, SWEEP_INTERVAL_S)
        self._subscribe(FLUSH_TIMER, FLUSH_INTERVAL_S, FLUSH_INTERVAL_S)
        self.run(self._load())

    def end(self, reason: str) -> None:
        """Close the links and fail all waiting callers with ``not_owner``.

        Running tasks continue; the next owner claims their workers.
        """
        self.closed = True
        self.ledger.close()
        self.roster.close()
        for timer in self._timers_by_name:
            self._system.tell(TIMERS, Unsubscribe(DISPATCHER, timer))
        message = f"this node no longer owns {self._domain}: {reason}"
        error = UnavailableError(
            message, code="not_owner", retry_after_s=NOT_OWNER_RETRY_S
        )
        self.waiters.fail_all(error)

    def drain(self) -> bool:
        """Stop recording job starts.

        Returns:
            Whether a start is still in progress or a record to be written.
        """
        return self._commands.drain() or not self.ledger.is_idle

    def now(self) -> float:
        """Return the time of the node's clock in seconds."""
        return self._system.clock.seconds()

    def run(self, coroutine: Coroutine) -> None:
        """Start a coroutine in the background and log its errors."""
        ensureDeferred(coroutine).addErrback(self._log_failure)

    def handle_timer(self, timer: str) -> None:
        """Run the action of a timer; unknown timers are ignored."""
        if not self.closed and timer in self._timers_by_name:
            self._timers_by_name[timer]()

    def process_event(self, event: messages.Event) -> None:
        """Pass an event to the scheduler and execute the resulting effects."""
        self._events.append(event)
        if self._processing_events:
            # Executing an effect raised this event. It stays in the queue so
            # that all effects of one event are executed before the next one.
            return
        self._processing_events = True
        try:
            while self._events and not self.closed:
                self._handle(self._events.popleft())
        finally:
            self._processing_events = False

    def _handle(self, event: messages.Event) -> None:
        for effect in self.scheduler.handle(event, self.now()):
            self._handlers_by_effect_type[type(effect)](effect)

    def sync_members(self, vms: tuple[VmInfo, ...]) -> None:
        """Update the workers from a VM list."""
        self._members_known = True
        for event in self.roster.sync(vms):
            self.process_event(event)
        self._end_recovery_if_complete()

    def handle_link_event(self, message: LinkEvent) -> None:
        """Process an event of a worker link, such as a claim or a report."""
        for event in self.roster.process_event(message):
            if isinstance(event, messages.WorkerClaimed):
                self._commands.track_members(event.report)
            self.process_event(event)
            if isinstance(event, messages.WorkerClaimed):
                self._cancel_ended_jobs(event.report)
        self._resolve_recovered_jobs()
        self._end_recovery_if_complete()

    def raise_epoch(self, epoch: Epoch) -> None:
        """Use a higher epoch for the workers and the job records."""
        self.epoch = epoch
        self._store.epoch = epoch
        self.roster.raise_epoch(epoch)
        # Writes may have failed because this node did not hold the owner
        # record.
        self._schedule_record_retry()

    def view(self, job_id: str) -> JobView | None:
        """Return the state of a job as callers may see it.

        Returns:
            The view, or None if neither the ledger nor the scheduler has
            the job.

        Raises:
            ResultExpiredError: The results are no longer kept.
        """
        answer = self.ledger.answer(job_id, self.now())
        if answer is not None and not self._has_changed_since(answer):
            return answer
        unpublished_view = self.ledger.unpublished_answer(job_id)
        if unpublished_view is not None:
            # Until the end is recorded, another owner could still run the job.
            interrupted = unpublished_view.state is JobState.INTERRUPTED
            return unpublished_view._replace(
                state=JobState.RUNNING if interrupted else JobState.QUEUED,
                reason=NOT_RECORDED_YET,
                finished_at=None,
            )
        view = self.scheduler.view(job_id)
        return view and view._replace(durable=self.ledger.is_durable(job_id))

    def _has_changed_since(self, answer: JobView) -> bool:
        """Whether the scheduler has a job again that was answered as not run.

        The job was submitted again, or a worker reported a run of it.
        """
        if answer.state is not JobState.NOT_RUN:
            return False
        view = self.scheduler.view(answer.job_id)
        return view is not None and view.state is not JobState.NOT_RUN

    def require_view(self, job_id: str) -> JobView:
        """Return the state of an accepted job as callers may see it.

        Raises:
            UnavailableError: The state is not known yet: a start is recorded
                and not every worker has reported whether it runs the job.
            ResultExpiredError: The results are no longer kept.
        """
        view = self.view(job_id)
        if view is None:
            self.check_job_recovered(job_id)
            raise UnavailableError(
                f"the state of job {job_id} is not known yet",
                retry_after_s=RECOVERING_RETRY_S,
            )
        return view

    def check_job_recovered(self, job_id: str) -> None:
        """Raise if recovery may still find a job that is not known now.

        Raises:
            UnavailableError: ``recovering``; the job records are not loaded,
                or the record of this job is not resolved.
        """
        if not self._records_loaded or job_id in self._unresolved_records_by_job:
            raise UnavailableError(
                f"job {job_id} may still be recovered",
                code="recovering",
                retry_after_s=RECOVERING_RETRY_S,
            )

    def cancel(self, job_id: str) -> None:
        """Request the cancellation of a job from the scheduler.

        Raises:
            UnavailableError: ``recovering``; a worker that has not reported
                yet may run the job.
        """
        if not self._recovered:
            raise UnavailableError(
                f"job {job_id} cannot be cancelled before recovery has ended",
                code="recovering",
                retry_after_s=RECOVERING_RETRY_S,
            )
        self.process_event(messages.CancelRequested(job_id))

    def add_record(self, record: StoredRecord) -> None:
        """Add a stored job record of this domain to ledger and scheduler."""
        body = record.body
        job_id = body["job_id"]
        self.ledger.add_stored(record)
        if is_final(body):
            self._handle_final_record(job_id)
        elif not self.ledger.has_ended(job_id):
            self._unresolved_records_by_job[job_id] = body
            if body["state"] != STARTING or self._can_resolve(job_id):
                self._submit_recovered(job_id)

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
            self.add_record(record)
        self._records_loaded = True
        self._end_recovery_if_complete()

    def _handle_final_record(self, job_id: str) -> None:
        self._cancel_ended_job(job_id)
        self.waiters.job_ended(job_id)

    def _cancel_ended_jobs(self, report: WorkerReport) -> None:
        """Cancel the ended jobs that a claimed worker still runs.

        The scheduler does not have the jobs whose end a previous owner has
        recorded, and lets a run that a worker reports go on.
        """
        for member in report.members:
            started = member.state is MemberState.STARTED
            if started and self.ledger.has_ended(member.job_id):
                self._cancel_ended_job(member.job_id)

    def _cancel_ended_job(self, job_id: str) -> None:
        view = self.scheduler.view(job_id)
        if view is not None and view.state not in FINAL_JOB_STATES:
            # A worker still holds members of a gang of this ended job.
            self.process_event(messages.CancelRequested(job_id))

    def _can_resolve(self, job_id: str) -> bool:
        all_workers_reported = self._members_known and self.roster.all_claimed_or_lost
        return all_workers_reported or self.scheduler.view(job_id) is not None

    def _resolve_recovered_jobs(self) -> None:
        for job_id in list(self._unresolved_records_by_job):
            if self._can_resolve(job_id):
                self._submit_recovered(job_id)

    def _submit_recovered(self, job_id: str) -> None:
        body = self._unresolved_records_by_job.pop(job_id)
        was_starting = body["state"] == STARTING
        spec = spec_of(body)
        submitted_at = body["submitted_at"]
        self.process_event(
            messages.JobSubmitted(job_id, spec, submitted_at, True, was_starting)
        )

    def _end_recovery_if_complete(self) -> None:
        if self._recovered:
            return
        if (
            self._records_loaded
            and self._members_known
            and self.roster.all_claimed_or_lost
        ):
            self._resolve_recovered_jobs()
            self._end_recovery()

    def _end_recovery(self) -> None:
        if not self._recovered:
            self._system.tell(TIMERS, Unsubscribe(DISPATCHER, RECOVERY_TIMER))
            self.process_event(messages.RecoveryEnded())
            self._recovered = True
            self.reporter.report_shortages(self._shortages_before_recovery)

    # Handlers of the scheduler's effects.

    def _record_start(self, effect: messages.RecordStart) -> None:
        if self._commands.try_begin_start(effect.job_id):
            self.run(self._write_start(effect))

    async def _write_start(self, effect: messages.RecordStart) -> None:
        refusal_code = await self.ledger.record_start(effect.job_id, effect.gang_id)
        self.process_event(
            messages.StartRecordAnswered(effect.gang_id, not refusal_code, refusal_code)
        )

    def _job_changed(self, effect: messages.JobChanged) -> None:
        job = self.scheduler.jobs_by_id[effect.job_id]
        self.reporter.report_state_change(effect.job_id, job.spec, effect.state)
        self._commands.starting_jobs.discard(effect.job_id)
        if effect.state not in FINAL_JOB_STATES:
            return
        view = self._final_view(effect.job_id)
        self._unresolved_records_by_job.pop(effect.job_id, None)
        self.ledger.finish(view, job.spec, self.now())
        self.run(self.ledger.write(effect.job_id))

    def _final_view(self, job_id: str) -> JobView:
        """Return the view of an ended job, "not run" only if that is certain.

        A job without a record may have run under a previous owner. That can
        be excluded only once all job records are loaded and all workers have
        reported; before, the job ends as interrupted.
        """
        view = self.scheduler.view(job_id)
        all_reported = (
            self._records_loaded
            and self._members_known
            and self.roster.all_claimed_or_lost
        )
        if view.state is not JobState.NOT_RUN or all_reported:
            return view
        if self.ledger.is_durable(job_id):
            return view
        return view._replace(state=JobState.INTERRUPTED, reason="may_have_run")

    def _target_missed(self, effect: messages.TargetMissed) -> None:
        job = self.scheduler.jobs_by_id[effect.job_id]
        self.reporter.report_target_missed(effect.job_id, job.spec)

    def _shortages_changed(self, effect: messages.ShortagesChanged) -> None:
        # Until the workers are claimed, every guarantee appears to be short of
        # hardware, so shortages are reported when recovery has ended.
        if self._recovered:
            self.reporter.report_shortages(effect.shortages)
        else:
            self._shortages_before_recovery = effect.shortages

    def _schedule_wake_up(self, effect: messages.ScheduleWakeUp) -> None:
        self._subscribe(WAKE_TIMER, effect.at - self.now())

    # Callbacks for the ledger, see LedgerCallbacks.

    def _answer_published(self, job_id: str) -> None:
        view = self.ledger.answer(job_id, self.now())
        if view is not None:
            self.reporter.report_finished(view)
        self.waiters.job_ended(job_id)

    def _results_releasable(self, job_id: str) -> None:
        self._commands.release_held(job_id)

    def _record_created(self, job_id: str) -> None:
        job = self.scheduler.jobs_by_id.get(job_id)
        if job is not None:
            self.process_event(
                messages.JobSubmitted(job_id, job.spec, job.submitted_at, True)
            )

    def _changed_by_other_owner(self, record: StoredRecord) -> None:
        """Apply a record in which another owner ended or started the job."""
        job_id = record.body["job_id"]
        self.add_record(record)
        if not is_final(record.body):
            self.process_event(messages.CancelRequested(job_id))

    def _schedule_record_retry(self) -> None:
        self._subscribe(RECORDS_TIMER, RECORD_RETRY_S)

    def _subscribe(self, timer: str, delay_s: float, interval_s: float = 0.0) -> None:
        subscription = Subscribe(DISPATCHER, timer, delay_s, interval_s)
        self._system.tell(TIMERS, subscription)

    def _log_failure(self, failure: Failure) -> None:
        _logger.error(
            "unhandled error in the dispatcher", extra={"error": failure.getTraceback()}
        )
