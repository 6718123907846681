"""Answers of jobs and their records in the platform store."""

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

RESULT_RETENTION_S = 600.0  # as long as workers keep results
ANSWERS_LIMIT = 20_000  # final answers kept in memory

CONFLICT = "record_conflict"
BUSY = "record_busy"

_logger = logging.getLogger(__name__)


class JobLedger:
    """Job records of one owner; one write of a record is sent at a time."""

    def __init__(
        self, store: JobStore, failure_domain: str, callbacks: LedgerCallbacks
    ) -> None:
        self._store = store
        self._failure_domain = failure_domain
        self._callbacks = callbacks
        self._sweeper = RecordSweeper(store)
        self._entries_by_job: dict[str, LedgerEntry] = {}
        self._unwritten: dict[str, None] = {}
        self._writing: set[str] = set()
        self._ended: deque[str] = deque()
        self._closed = False

    @property
    def idle(self) -> bool:
        """Whether no write is in progress."""
        return not self._writing

    def close(self) -> None:
        """Start no further writes; another owner has the jobs."""
        self._closed = True

    def digest(self, job_id: str) -> str:
        """Return the body digest of a job, "" when it is not known."""
        entry = self._entries_by_job.get(job_id)
        return entry.body["digest"] if entry else ""

    def durable(self, job_id: str) -> bool:
        """Whether the store holds a record of a job."""
        entry = self._entries_by_job.get(job_id)
        return entry is not None and (entry.stored or bool(entry.mod_revision))

    def has_ended(self, job_id: str) -> bool:
        """Whether the job ended, even if callers may not be told yet."""
        entry = self._entries_by_job.get(job_id)
        return entry is not None and entry.answer is not None

    def answer(self, job_id: str, now: float) -> JobView | None:
        """Return the answer of a job that ended and may be told.

        Raises:
            ResultExpiredError: The results were too large to be recorded.
        """
        entry = self._entries_by_job.get(job_id)
        if entry is None or entry.answer is None or not entry.published:
            return None
        if not entry.body["results_kept"] and now >= entry.results_until:
            raise ResultExpiredError(
                f"the results of {job_id} were kept {RESULT_RETENTION_S:.0f} s"
            )
        return entry.answer._replace(durable=self.durable(job_id))

    def unpublished(self, job_id: str) -> JobView | None:
        """Return the answer that may not be told before it is recorded."""
        entry = self._entries_by_job.get(job_id)
        return None if entry is None or entry.published else entry.answer

    def is_pending(self, job_id: str) -> bool:
        """Whether the answer of a job exists only here and at its workers."""
        entry = self._entries_by_job.get(job_id)
        if entry is None or entry.answer is None:
            return False
        return not (entry.stored and entry.body["results_kept"])

    def new_record(self, spec: JobSpec, now: float) -> JobRecordBody:
        """Return the record for a job that is to be accepted."""
        return records.open_record(self._failure_domain, spec, now, uuid.uuid4().hex)

    async def create(self, body: JobRecordBody) -> StoredRecord:
        """Record a new job; returns the record that holds its key.

        Raises:
            StoreUnavailableError: There is no record.
            OutcomeUnknownError: There may be one.
        """
        reply = await self._store.save(body, 0)
        return reply.stored

    async def find(self, spec: JobSpec) -> StoredRecord | None:
        """Read the record that holds the key of a job, if any.

        Raises:
            StoreUnavailableError: The store cannot be read.
        """
        return await self._store.read(records.record_key(spec))

    def add_stored(self, record: StoredRecord) -> None:
        """Know a job from its record, unless its end is known already."""
        body = record.body
        job_id = body["job_id"]
        known = self._entries_by_job.get(job_id)
        newer = known is not None and (known.mod_revision or 0) >= record.mod_revision
        if newer or self.has_ended(job_id) or job_id in self._writing:
            return
        self._unwritten.pop(job_id, None)
        entry = LedgerEntry(body, record.mod_revision, True, True)
        if records.is_final(body):
            entry = entry._replace(answer=records.view_of(body), published=True)
            self._ended.append(job_id)
            finished_at = body["finished_at"] or body["submitted_at"]
            self._sweeper.add(body, record.mod_revision, finished_at)
        self._entries_by_job[job_id] = entry

    def add_unrecorded(self, body: JobRecordBody, sent: bool) -> None:
        """Know a job that was accepted without a record; write it later."""
        job_id = body["job_id"]
        revision = None if sent else 0
        self._entries_by_job[job_id] = LedgerEntry(body, revision, False, sent)
        self._unwritten[job_id] = None
        self._callbacks.retry_later()

    async def record_start(self, job_id: str, gang_id: str) -> str:
        """Record that a job is about to start.

        Returns:
            "" when the record is confirmed, else why the start is refused.
        """
        entry = self._entries_by_job.get(job_id)
        if entry is None or not entry.stored or self._is_blocked(job_id):
            return BUSY
        body = records.starting_record(entry.body, gang_id, self._store.epoch)
        self._writing.add(job_id)
        try:
            reply = await self._store.save(body, entry.mod_revision, entry.body)
        except UnavailableError as error:
            if isinstance(error, OutcomeUnknownError):
                self._change(job_id, mod_revision=None)
            return error.code
        finally:
            self._writing.discard(job_id)
            if job_id in self._unwritten:
                # The job ended meanwhile.
                self._callbacks.retry_later()
        if not reply.saved:
            self._callbacks.changed_by_other_owner(reply.stored)
            return CONFLICT
        self._change(job_id, mod_revision=reply.stored.mod_revision)
        if not self.has_ended(job_id):
            self._change(job_id, body=body)
        return ""

    def finish(self, view: JobView, spec: JobSpec, now: float) -> None:
        """Take the answer of a job that ended; ``write`` records it."""
        job_id = view.job_id
        entry = self._entries_by_job.get(job_id)
        if entry is None:
            body = self._adopted_body(view, spec)
            entry = LedgerEntry(body, None, False, True)
        if entry.answer is None:
            self._ended.append(job_id)
        elif not contradicts(view, entry.answer.state):
            self._complete_answer(entry, view, now)
            return
        self._entries_by_job[job_id] = entry._replace(
            body=records.final_record(entry.body, view),
            stored=False,
            answer=view,
            results_until=now + RESULT_RETENTION_S,
        )
        self._unwritten[job_id] = None
        # Until the store has it, another owner could still run the job.
        unsure = entry.sent or job_id in self._writing
        if view.state is not JobState.NOT_RUN or not unsure:
            self._publish(job_id)

    async def write(self, job_id: str) -> None:
        """Try to write the record of a job unless the store holds it."""
        if job_id in self._unwritten and not self._is_blocked(job_id):
            await self._write(job_id)

    async def write_all(self) -> None:
        """Try to write every record that is not in the store yet."""
        for job_id in list(self._unwritten):
            if job_id not in self._unwritten or self._is_blocked(job_id):
                continue
            if not await self._write(job_id):
                return

    async def sweep(self, now: float) -> None:
        """Let go of old answers and delete old records."""
        self._release_old_results(now)
        while self._ended and self._is_forgettable(self._ended[0], now):
            job_id = self._ended.popleft()
            del self._entries_by_job[job_id]
        await self._sweeper.sweep(now)

    def _is_blocked(self, job_id: str) -> bool:
        return self._closed or job_id in self._writing

    def _is_forgettable(self, job_id: str, now: float) -> bool:
        entry = self._entries_by_job[job_id]
        if job_id in self._unwritten:
            return False
        old = now >= (entry.answer.finished_at or 0.0) + RECORD_RETENTION_S
        return old or len(self._ended) > ANSWERS_LIMIT

    def _release_old_results(self, now: float) -> None:
        for job_id in self._ended:
            if 0.0 < self._entries_by_job[job_id].results_until <= now:
                self._change(job_id, results_until=0.0)
                self._callbacks.safe(job_id)

    def _adopted_body(self, view: JobView, spec: JobSpec) -> JobRecordBody:
        """Return a record for a job known only from a worker's report."""
        domain = self._failure_domain
        body = records.open_record(domain, spec, view.submitted_at, "")
        return {**body, "job_id": view.job_id}

    def _complete_answer(self, entry: LedgerEntry, view: JobView, now: float) -> None:
        """Take the results at the workers for a record without them."""
        until = (entry.answer.finished_at or now) + RESULT_RETENTION_S
        if not entry.body["results_kept"] and view.results and now < until:
            answer = entry.answer._replace(results=view.results)
            self._change(view.job_id, answer=answer, results_until=until)

    def _publish(self, job_id: str) -> None:
        if not self._entries_by_job[job_id].published:
            self._change(job_id, published=True)
            self._callbacks.published(job_id)

    async def _write(self, job_id: str) -> bool:
        """Return false when the store does not answer."""
        self._writing.add(job_id)
        entry = self._entries_by_job[job_id]
        try:
            body = await self._complete(entry.body)
            reply = await self._store.save(body, entry.mod_revision)
        except UnavailableError as error:
            if isinstance(error, OutcomeUnknownError):
                self._change(job_id, mod_revision=None, sent=True)
            self._callbacks.retry_later()
            fields = {"job": job_id, "code": error.code}
            _logger.warning("job record not written", extra=fields)
            return False
        finally:
            self._writing.discard(job_id)
        self._take_reply(job_id, entry, reply)
        return True

    async def _complete(self, body: JobRecordBody) -> JobRecordBody:
        """Fill in what only the store knows of an adopted job."""
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

    def _take_reply(self, job_id: str, written: LedgerEntry, reply: SaveReply) -> None:
        entry = self._entries_by_job.get(job_id)
        if entry is None or job_id not in self._unwritten:
            return
        body, revision = reply.stored
        if not reply.saved and not confirms_answer(entry, body):
            self._resolve_conflict(job_id, entry, reply.stored)
            return
        if entry.body is not written.body:
            # The job ended while its first record was written.
            self._change(job_id, mod_revision=revision, sent=True)
            self._callbacks.retry_later()
            return
        self._change(job_id, body=body, mod_revision=revision, stored=True, sent=True)
        del self._unwritten[job_id]
        if entry.answer is None:
            self._callbacks.recorded(job_id)
            return
        self._sweeper.add(body, revision, entry.answer.finished_at or 0.0)
        if not reply.saved and body["results_kept"]:
            # A previous owner recorded the end first; that answer stands.
            self._change(job_id, answer=records.view_of(body))
        self._settle(job_id)

    def _resolve_conflict(
        self, job_id: str, entry: LedgerEntry, stored: StoredRecord
    ) -> None:
        """Decide about a record that was found in place of the own one."""
        self._change(job_id, mod_revision=None, sent=True)
        fields = {"job": job_id, "found": stored.body["job_id"]}
        if stored.body["job_id"] != job_id:
            # Another domain accepted the key; this job goes on unrecorded.
            _logger.error("job record belongs to another job", extra=fields)
            del self._unwritten[job_id]
            if self.has_ended(job_id):
                self._settle(job_id)
        elif stored.body["nonce"] != entry.body["nonce"]:
            _logger.warning("job was recorded before", extra=fields)
            self._join_record(job_id, entry, stored)
        elif records.epoch_of(stored.body) < self._store.epoch:
            self._note_start(job_id, entry, stored)
        else:
            # A later owner has the job, and only it may tell the answer.
            _logger.error("job record was changed by another owner", extra=fields)
            del self._unwritten[job_id]

    def _note_start(
        self, job_id: str, entry: LedgerEntry, stored: StoredRecord
    ) -> None:
        """Take note that a previous owner had recorded a start."""
        del self._unwritten[job_id]
        if entry.answer is None:
            self._callbacks.changed_by_other_owner(stored)
            return
        reason = "start_recorded"
        answer = entry.answer._replace(state=JobState.INTERRUPTED, reason=reason)
        body = records.final_record(stored.body, answer)
        revision = stored.mod_revision
        self._change(job_id, answer=answer, body=body, mod_revision=revision)
        self._unwritten[job_id] = None
        self._callbacks.retry_later()

    def _join_record(
        self, job_id: str, entry: LedgerEntry, stored: StoredRecord
    ) -> None:
        """Go on with the record that a previous owner made of the same job."""
        if entry.answer is not None:
            nonce = stored.body["nonce"]
            self._change(job_id, body={**entry.body, "nonce": nonce})
            self._callbacks.retry_later()
            return
        del self._unwritten[job_id]
        if not records.is_final(stored.body):
            body, revision = stored
            self._change(job_id, body=body, mod_revision=revision, stored=True)
            self._callbacks.recorded(job_id)

    def _settle(self, job_id: str) -> None:
        self._publish(job_id)
        if self._entries_by_job[job_id].body["results_kept"]:
            self._callbacks.safe(job_id)

    def _change(self, job_id: str, **changes: object) -> None:
        entry = self._entries_by_job.get(job_id)
        if entry is not None:
            self._entries_by_job[job_id] = entry._replace(**changes)
