"""Ledger of accepted jobs: their final answers and their stored records."""

import logging
import uuid
from collections import deque

from . import _job_records as records
from ._job_records import JobRecordBody, StoredRecord
from ._job_store import JobStore, SaveReply
from ._ledger_entry import LedgerCallbacks, LedgerEntry, confirms_answer, contradicts
from ._record_sweeper import RECORD_RETENTION_S, RecordSweeper
from .exceptions import (
    OutcomeUnknownError,
    ResultExpiredError,
    UnavailableError,
)
from .model import JobSpec, JobState, JobView

RESULT_RETENTION_S = 600.0  # workers keep results for the same time
MAX_CACHED_ANSWERS = 20_000
MAX_UNCONFIRMED_JOBS = 10_000  # about 1 KB each, as payloads are not kept

# Answers that are published once they are recorded, if the store may hold a
# record of the job: from an older record, another owner would run the job.
RECORDED_FIRST = frozenset({JobState.NOT_RUN, JobState.INTERRUPTED})

# Reasons for which ``record_start`` refuses a start.
CONFLICT = "record_conflict"
BUSY = "record_busy"

_logger = logging.getLogger(__name__)


class JobLedger:
    """Jobs of one owner with their answers and store records.

    At most one write of each record is in progress at a time.

    Args:
        store: Reads and writes the job records.
        failure_domain: Failure domain of the owner.
        callbacks: Notified about changes of jobs and records.
    """

    def __init__(
        self, store: JobStore, failure_domain: str, callbacks: LedgerCallbacks
    ) -> None:
        self._store = store
        self._failure_domain = failure_domain
        self._callbacks = callbacks
        self._sweeper = RecordSweeper(store)
        self._entries_by_job: dict[str, LedgerEntry] = {}
        self._unwritten_job_ids: dict[str, None] = {}
        # Records without payload of submissions that were not accepted and
        # whose write may still take effect.
        self._unconfirmed_bodies_by_job: dict[str, JobRecordBody] = {}
        self._job_ids_being_written: set[str] = set()
        self._ended_job_ids: deque[str] = deque()
        self._closed = False

    @property
    def is_idle(self) -> bool:
        """Whether no write is in progress or still to be made."""
        return not (self._job_ids_being_written or self._unwritten_job_ids)

    def close(self) -> None:
        """Start no further writes; called when the ownership ends."""
        self._closed = True

    def digest(self, job_id: str) -> str:
        """Return the digest of a submitted job, "" if the job is not known."""
        entry = self._entries_by_job.get(job_id)
        return entry.body["digest"] if entry else ""

    def is_durable(self, job_id: str) -> bool:
        """Whether the store holds a record of a job."""
        entry = self._entries_by_job.get(job_id)
        return entry is not None and (entry.stored or bool(entry.mod_revision))

    def has_ended(self, job_id: str) -> bool:
        """Whether the job has ended, even if its answer is not published."""
        entry = self._entries_by_job.get(job_id)
        return entry is not None and entry.answer is not None

    def answer(self, job_id: str, now: float) -> JobView | None:
        """Return the final answer of a job, None unless it is published.

        Raises:
            ResultExpiredError: The results were too large to be recorded,
                and the workers no longer have them.
        """
        entry = self._entries_by_job.get(job_id)
        if entry is None or entry.answer is None or not entry.published:
            return None
        if not entry.body["results_kept"] and now >= entry.results_available_until:
            raise ResultExpiredError(
                f"the results of {job_id} were too large to be recorded and "
                f"were kept for {RESULT_RETENTION_S:.0f} s only"
            )
        return entry.answer._replace(durable=self.is_durable(job_id))

    def unpublished_answer(self, job_id: str) -> JobView | None:
        """Return the answer that callers may see only once it is recorded."""
        entry = self._entries_by_job.get(job_id)
        return None if entry is None or entry.published else entry.answer

    def is_pending(self, job_id: str) -> bool:
        """Whether a job has ended and its answer or results are not stored."""
        entry = self._entries_by_job.get(job_id)
        if entry is None or entry.answer is None:
            return False
        return not (entry.stored and entry.body["results_kept"])

    def new_record(self, spec: JobSpec, now: float) -> JobRecordBody:
        """Build the record of a job that is about to be accepted."""
        return records.open_record(self._failure_domain, spec, now, uuid.uuid4().hex)

    async def create(self, body: JobRecordBody) -> StoredRecord:
        """Write the record of a new job unless its key has a record.

        Returns:
            The record that the store holds for the idempotency key.

        Raises:
            StoreUnavailableError: No record was written.
            OutcomeUnknownError: The record may have been written.
        """
        try:
            reply = await self._store.save(body, 0)
        except OutcomeUnknownError:
            self._add_unconfirmed(body)
            raise
        self._unconfirmed_bodies_by_job.pop(body["job_id"], None)
        return reply.stored

    async def cancel_unconfirmed(self, job_id: str, now: float) -> StoredRecord | None:
        """Record a job as not run whose submission had an unknown outcome.

        A write of the submission that takes effect later is then refused, as
        the key has a record.

        Returns:
            The record that the store holds for the idempotency key, None if
            the job had no such submission.

        Raises:
            UnavailableError: The end of the job is not recorded.
        """
        body = self._unconfirmed_bodies_by_job.get(job_id)
        if body is None:
            return None
        view = records.view_of(body)._replace(
            state=JobState.NOT_RUN, reason="cancelled", finished_at=now
        )
        reply = await self._store.save(records.final_record(body, view), None)
        self._unconfirmed_bodies_by_job.pop(job_id, None)
        return reply.stored

    def _add_unconfirmed(self, body: JobRecordBody) -> None:
        body = {**body, "spec": {**body["spec"], "payload": ""}}
        self._unconfirmed_bodies_by_job[body["job_id"]] = body
        if len(self._unconfirmed_bodies_by_job) > MAX_UNCONFIRMED_JOBS:
            oldest = next(iter(self._unconfirmed_bodies_by_job))
            del self._unconfirmed_bodies_by_job[oldest]

    async def find(self, spec: JobSpec) -> StoredRecord | None:
        """Read the record for the idempotency key of a job, if any.

        Raises:
            StoreUnavailableError: The store cannot be read.
        """
        return await self._store.read(records.record_key(spec))

    def add_stored(self, record: StoredRecord) -> None:
        """Add a record read from the store.

        The record is ignored if the ledger has the same or a newer revision,
        or if the job has ended or its record is being written.
        """
        body = record.body
        job_id = body["job_id"]
        existing = self._entries_by_job.get(job_id)
        is_current = (
            existing is not None and (existing.mod_revision or 0) >= record.mod_revision
        )
        if (
            is_current
            or self.has_ended(job_id)
            or job_id in self._job_ids_being_written
        ):
            return
        self._unwritten_job_ids.pop(job_id, None)
        entry = LedgerEntry(body, record.mod_revision, True, True)
        if records.is_final(body):
            entry = entry._replace(answer=records.view_of(body), published=True)
            self._ended_job_ids.append(job_id)
            finished_at = body["finished_at"] or body["submitted_at"]
            self._sweeper.add(body, record.mod_revision, finished_at)
        self._entries_by_job[job_id] = entry

    def add_unrecorded(self, body: JobRecordBody, may_have_record: bool) -> None:
        """Add a job accepted without a record, to be written later.

        Args:
            body: Record of the job.
            may_have_record: Whether a failed write may have taken effect.
        """
        job_id = body["job_id"]
        self._unconfirmed_bodies_by_job.pop(job_id, None)
        revision = None if may_have_record else 0
        self._entries_by_job[job_id] = LedgerEntry(
            body, revision, False, may_have_record
        )
        self._unwritten_job_ids[job_id] = None
        self._callbacks.schedule_retry()

    async def record_start(self, job_id: str, gang_id: str) -> str:
        """Record that a job is about to start.

        Returns:
            "" if the record is confirmed, else the reason for refusing the
            start.
        """
        entry = self._entries_by_job.get(job_id)
        if entry is None or not entry.stored or self._is_blocked(job_id):
            return BUSY
        body = records.starting_record(entry.body, gang_id, self._store.epoch)
        self._job_ids_being_written.add(job_id)
        try:
            reply = await self._store.save(body, entry.mod_revision, entry.body)
        except UnavailableError as error:
            if isinstance(error, OutcomeUnknownError):
                self._update_entry(job_id, mod_revision=None)
            return error.code
        finally:
            self._job_ids_being_written.discard(job_id)
            if job_id in self._unwritten_job_ids:
                # The job ended during this write; its end is still unwritten.
                self._callbacks.schedule_retry()
        if not reply.saved:
            self._callbacks.changed_by_other_owner(reply.stored)
            return CONFLICT
        self._update_entry(job_id, mod_revision=reply.stored.mod_revision)
        if not self.has_ended(job_id):
            self._update_entry(job_id, body=body)
        return ""

    def finish(self, view: JobView, spec: JobSpec, now: float) -> None:
        """Store the final answer of a job in memory; ``write`` records it."""
        job_id = view.job_id
        entry = self._entries_by_job.get(job_id)
        if entry is None:
            body = self._build_adopted_body(view, spec)
            entry = LedgerEntry(body, None, False, True)
        if entry.answer is None:
            self._ended_job_ids.append(job_id)
        elif not contradicts(view, entry.answer.state):
            self._add_results(entry, view, now)
            return
        self._entries_by_job[job_id] = entry._replace(
            body=records.final_record(entry.body, view),
            stored=False,
            answer=view,
            published=False,
            results_available_until=now + RESULT_RETENTION_S,
        )
        self._unwritten_job_ids[job_id] = None
        may_have_record = entry.may_have_record or job_id in self._job_ids_being_written
        if view.state not in RECORDED_FIRST or not may_have_record:
            self._publish_answer(job_id)

    async def write(self, job_id: str) -> None:
        """Try to write the record of a job if it is not in the store yet."""
        if job_id in self._unwritten_job_ids and not self._is_blocked(job_id):
            await self._write(job_id)

    async def write_all(self) -> None:
        """Try to write all records not in the store yet, until one fails."""
        for job_id in list(self._unwritten_job_ids):
            if job_id not in self._unwritten_job_ids or self._is_blocked(job_id):
                continue
            if not await self._write(job_id):
                return

    async def sweep(self, now: float) -> None:
        """Evict old answers from memory and delete old records."""
        self._release_expired_results(now)
        while self._ended_job_ids and self._can_evict(self._ended_job_ids[0], now):
            job_id = self._ended_job_ids.popleft()
            del self._entries_by_job[job_id]
        await self._sweeper.sweep(now)

    def _is_blocked(self, job_id: str) -> bool:
        return self._closed or job_id in self._job_ids_being_written

    def _can_evict(self, job_id: str, now: float) -> bool:
        entry = self._entries_by_job[job_id]
        if job_id in self._unwritten_job_ids:
            return False
        is_expired = now >= (entry.answer.finished_at or 0.0) + RECORD_RETENTION_S
        return is_expired or len(self._ended_job_ids) > MAX_CACHED_ANSWERS

    def _release_expired_results(self, now: float) -> None:
        for job_id in self._ended_job_ids:
            if 0.0 < self._entries_by_job[job_id].results_available_until <= now:
                self._update_entry(job_id, results_available_until=0.0)
                self._callbacks.results_releasable(job_id)

    def _build_adopted_body(self, view: JobView, spec: JobSpec) -> JobRecordBody:
        """Build a record for a job known only from a worker's report."""
        domain = self._failure_domain
        body = records.open_record(domain, spec, view.submitted_at, "")
        return {**body, "job_id": view.job_id}

    def _add_results(self, entry: LedgerEntry, view: JobView, now: float) -> None:
        """Add the results that workers reported if the answer has none."""
        available_until = (entry.answer.finished_at or now) + RESULT_RETENTION_S
        if not entry.body["results_kept"] and view.results and now < available_until:
            answer = entry.answer._replace(results=view.results)
            self._update_entry(
                view.job_id, answer=answer, results_available_until=available_until
            )

    def _publish_answer(self, job_id: str) -> None:
        if not self._entries_by_job[job_id].published:
            self._update_entry(job_id, published=True)
            self._callbacks.answer_published(job_id)

    async def _write(self, job_id: str) -> bool:
        """Write one record; returns whether the store replied."""
        self._job_ids_being_written.add(job_id)
        entry = self._entries_by_job[job_id]
        try:
            body = await self._fill_from_store(entry.body)
            reply = await self._store.save(body, entry.mod_revision)
        except UnavailableError as error:
            if isinstance(error, OutcomeUnknownError):
                self._update_entry(job_id, mod_revision=None, may_have_record=True)
            self._callbacks.schedule_retry()
            fields = {"job": job_id, "code": error.code}
            _logger.warning("could not write a job record", extra=fields)
            return False
        finally:
            self._job_ids_being_written.discard(job_id)
        self._apply_save_reply(job_id, entry, reply)
        return True

    async def _fill_from_store(self, body: JobRecordBody) -> JobRecordBody:
        """Complete the record of an adopted job by the stored one.

        A record without a nonce was built from a worker's report.
        """
        if body["nonce"]:
            return body
        stored = await self._store.read(records.record_key(records.spec_of(body)))
        if stored is None:
            return {**body, "nonce": uuid.uuid4().hex}
        if stored.body["job_id"] != body["job_id"]:
            return body
        return {
            **body,
            "nonce": stored.body["nonce"],
            "digest": stored.body["digest"],
            "epoch": stored.body["epoch"],
            "gang_id": stored.body["gang_id"],
        }

    def _apply_save_reply(
        self, job_id: str, written_entry: LedgerEntry, reply: SaveReply
    ) -> None:
        entry = self._entries_by_job.get(job_id)
        if entry is None or job_id not in self._unwritten_job_ids:
            return
        body, revision = reply.stored
        if not reply.saved and not confirms_answer(entry, body):
            self._resolve_conflict(job_id, entry, reply.stored)
            return
        if entry.body is not written_entry.body:
            # The job ended while its first record was being written.
            self._update_entry(job_id, mod_revision=revision, may_have_record=True)
            self._callbacks.schedule_retry()
            return
        self._update_entry(
            job_id, body=body, mod_revision=revision, stored=True, may_have_record=True
        )
        del self._unwritten_job_ids[job_id]
        if entry.answer is None:
            self._callbacks.record_created(job_id)
            return
        self._sweeper.add(body, revision, entry.answer.finished_at or 0.0)
        if not reply.saved and body["results_kept"]:
            # A previous owner recorded the end first; its answer is kept.
            self._update_entry(job_id, answer=records.view_of(body))
        self._finalize(job_id)

    def _resolve_conflict(
        self, job_id: str, entry: LedgerEntry, stored: StoredRecord
    ) -> None:
        """Handle a stored record that differs from the one to be written."""
        self._update_entry(job_id, mod_revision=None, may_have_record=True)
        fields = {"job": job_id, "found": stored.body["job_id"]}
        if stored.body["job_id"] != job_id:
            # Another domain accepted the idempotency key. This job continues
            # without a record.
            _logger.error("the stored job record belongs to another job", extra=fields)
            del self._unwritten_job_ids[job_id]
            if self.has_ended(job_id):
                self._finalize(job_id)
        elif stored.body["nonce"] != entry.body["nonce"]:
            _logger.warning(
                "the job was already recorded by a previous owner", extra=fields
            )
            self._adopt_stored_record(job_id, entry, stored)
        elif records.epoch_of(stored.body) < self._store.epoch:
            self._apply_recorded_start(job_id, entry, stored)
        else:
            # A later owner has taken over the job. Only that owner may publish
            # its final answer.
            _logger.error("the job record was changed by a later owner", extra=fields)
            del self._unwritten_job_ids[job_id]

    def _apply_recorded_start(
        self, job_id: str, entry: LedgerEntry, stored: StoredRecord
    ) -> None:
        """Apply a start that a previous owner had recorded.

        If this owner has ended the job without having seen the start, the job
        may have run, so its end becomes interrupted.
        """
        del self._unwritten_job_ids[job_id]
        if entry.answer is None:
            self._callbacks.changed_by_other_owner(stored)
            return
        reason = "start_recorded"
        answer = entry.answer._replace(state=JobState.INTERRUPTED, reason=reason)
        body = records.final_record(stored.body, answer)
        revision = stored.mod_revision
        self._update_entry(job_id, answer=answer, body=body, mod_revision=revision)
        self._unwritten_job_ids[job_id] = None
        self._callbacks.schedule_retry()

    def _adopt_stored_record(
        self, job_id: str, entry: LedgerEntry, stored: StoredRecord
    ) -> None:
        """Continue with the record that a previous owner wrote for the job."""
        if entry.answer is not None:
            nonce = stored.body["nonce"]
            self._update_entry(job_id, body={**entry.body, "nonce": nonce})
            self._callbacks.schedule_retry()
            return
        del self._unwritten_job_ids[job_id]
        if not records.is_final(stored.body):
            body, revision = stored
            self._update_entry(job_id, body=body, mod_revision=revision, stored=True)
            self._callbacks.record_created(job_id)

    def _finalize(self, job_id: str) -> None:
        self._publish_answer(job_id)
        if self._entries_by_job[job_id].body["results_kept"]:
            self._callbacks.results_releasable(job_id)

    def _update_entry(self, job_id: str, **changes: object) -> None:
        entry = self._entries_by_job.get(job_id)
        if entry is not None:
            self._entries_by_job[job_id] = entry._replace(**changes)
