"""Accepts new jobs on the owner of a failure domain."""

from collections.abc import Callable

from twisted.internet.defer import Deferred

from ._job_records import JobRecordBody, body_digest, job_id_for
from ._ownership_term import OwnershipTerm
from ._token_bucket import TokenBucket
from .exceptions import (
    ConflictError,
    OutcomeUnknownError,
    OverloadedError,
    RedwingrudderError,
    StoreUnavailableError,
    UnavailableError,
    UnprocessableError,
)
from .messages import JobSubmitted
from .model import JobSpec, JobView
from .policies import Refusal
from .requests import SubmitJob

# Retry delays that callers are given.
STORE_RETRY_S = 2.0
DRAINING_RETRY_S = 1.0
OWNER_CHANGED_RETRY_S = 0.5
# Limit of the store reads made for refusals; the store serves about 2,000
# reads a second to all domains together.
REFUSAL_READS_PER_S = 100.0


class JobSubmitter:
    """Checks, records and submits new jobs.

    Concurrent requests with the same idempotency key wait for each other.

    Args:
        failure_domain: Failure domain of the owner.
        writes_per_s: Limit of new job records per second.
        get_ownership_term: Returns the current ownership term; raises
            UnavailableError if this node is not the owner.
        now: Returns the time of the node's clock in seconds.
    """

    def __init__(
        self,
        failure_domain: str,
        writes_per_s: float,
        get_ownership_term: Callable[[], OwnershipTerm],
        now: Callable[[], float],
    ) -> None:
        self._failure_domain = failure_domain
        self._writes_per_s = writes_per_s
        self._get_ownership_term = get_ownership_term
        self._now = now
        self._new_record_bucket = TokenBucket(writes_per_s, writes_per_s, now())
        self._refusal_read_bucket = TokenBucket(
            REFUSAL_READS_PER_S, REFUSAL_READS_PER_S, now()
        )
        self._waiters_by_new_job: dict[str, list[Deferred]] = {}
        self.draining = False

    @property
    def is_busy(self) -> bool:
        """Whether the record of a new job is being written."""
        return bool(self._waiters_by_new_job)

    async def submit(self, message: SubmitJob) -> JobView:
        """Accept a job, or return the one already accepted for its key.

        Raises:
            ConflictError: The key was used for another body or by another
                domain.
            OutcomeUnknownError: The job may have been accepted.
            RedwingrudderError: The job is refused and nothing was run.
        """
        spec = message.spec
        job_id = self._job_id(spec)
        await self.wait_for_creation(job_id)
        ownership_term = self._get_ownership_term()
        accepted_view = self._find_accepted(ownership_term, job_id, spec)
        if accepted_view is not None:
            return accepted_view
        try:
            self._check_admission(ownership_term, spec)
        except RedwingrudderError as refusal:
            await self._refuse(ownership_term, spec, refusal)
        self._waiters_by_new_job[job_id] = []
        try:
            return await self._create(ownership_term, spec, message.correlation_id)
        finally:
            for waiter in self._waiters_by_new_job.pop(job_id):
                waiter.callback(None)

    async def wait_for_creation(self, job_id: str) -> None:
        """Wait while the record of a new job is being written."""
        while job_id in self._waiters_by_new_job:
            waiter: Deferred = Deferred()
            self._waiters_by_new_job[job_id].append(waiter)
            await waiter

    async def cancel_unconfirmed(self, job_id: str) -> None:
        """Record a job as not run if its submission had an unknown outcome.

        Submissions with the same key wait meanwhile. Other jobs are left as
        they are.

        Raises:
            UnavailableError: This node is not the owner, or the end of the
                job is not recorded.
        """
        ownership_term = self._get_ownership_term()
        self._waiters_by_new_job[job_id] = []
        try:
            stored = await ownership_term.ledger.cancel_unconfirmed(job_id, self._now())
            if (
                stored is not None
                and stored.body["domain"] == self._failure_domain
                and not ownership_term.closed
            ):
                ownership_term.add_record(stored)
        finally:
            for waiter in self._waiters_by_new_job.pop(job_id):
                waiter.callback(None)

    def _job_id(self, spec: JobSpec) -> str:
        domain = self._failure_domain
        return job_id_for(domain, spec.organisation, spec.idempotency_key)

    def _find_accepted(
        self, ownership_term: OwnershipTerm, job_id: str, spec: JobSpec
    ) -> JobView | None:
        digest = ownership_term.ledger.digest(job_id)
        if digest:
            _check_same_body(digest, spec)
            return ownership_term.require_view(job_id)
        return ownership_term.view(job_id)

    def _check_admission(self, ownership_term: OwnershipTerm, spec: JobSpec) -> None:
        if self.draining:
            raise UnavailableError(
                "this node is shutting down",
                code="draining",
                retry_after_s=DRAINING_RETRY_S,
            )
        refusal = ownership_term.scheduler.admit(spec)
        if refusal is not None:
            raise _refusal_error(refusal)
        wait_s = self._new_record_bucket.take(self._now())
        if wait_s > 0:
            writes_per_s = self._writes_per_s
            detail = f"this domain accepts at most {writes_per_s:g} jobs a second"
            raise OverloadedError(detail, code="store_busy", retry_after_s=wait_s)

    async def _refuse(
        self, ownership_term: OwnershipTerm, spec: JobSpec, refusal: RedwingrudderError
    ) -> None:
        """Raise the refusal, or an error about an earlier use of the key.

        A refusal assures the caller that nothing was run. Another domain may
        have accepted the key, so the record of the key is read first.

        Raises:
            ConflictError: The key was used for another body or by another
                domain.
            OutcomeUnknownError: The record could not be read.
            RedwingrudderError: The refusal.
        """
        wait_s = self._refusal_read_bucket.take(self._now())
        try:
            if wait_s > 0:
                raise StoreUnavailableError(
                    "the limit of store reads for refused jobs, "
                    f"{REFUSAL_READS_PER_S:g} a second, is reached"
                )
            stored = await ownership_term.ledger.find(spec)
        except UnavailableError as error:
            raise OutcomeUnknownError(
                f"not accepted now ({refusal.code}); whether an earlier request "
                f"with this key was accepted is not known: {error.detail}",
                retry_after_s=refusal.retry_after_s or STORE_RETRY_S,
            ) from None
        if stored is not None:
            _check_same_body(stored.body["digest"], spec)
            self._check_domain(stored.body)
        raise refusal

    async def _create(
        self, ownership_term: OwnershipTerm, spec: JobSpec, correlation_id: str
    ) -> JobView:
        body = ownership_term.ledger.new_record(spec, self._now())
        try:
            stored = await ownership_term.ledger.create(body)
        except (StoreUnavailableError, OutcomeUnknownError) as error:
            return self._accept_unrecorded(
                ownership_term, body, spec, error, correlation_id
            )
        if stored.body["nonce"] != body["nonce"]:
            _check_same_body(stored.body["digest"], spec)
            self._check_domain(stored.body)
        if ownership_term.closed:
            raise OutcomeUnknownError(
                "the owner of the domain changed while the job was being recorded",
                retry_after_s=OWNER_CHANGED_RETRY_S,
            )
        if stored.body["nonce"] == body["nonce"]:
            ownership_term.reporter.report_accepted(
                body["job_id"], spec, correlation_id
            )
        ownership_term.add_record(stored)
        return ownership_term.require_view(body["job_id"])

    def _accept_unrecorded(
        self,
        ownership_term: OwnershipTerm,
        body: JobRecordBody,
        spec: JobSpec,
        error: UnavailableError,
        correlation_id: str,
    ) -> JobView:
        may_have_record = isinstance(error, OutcomeUnknownError)
        if ownership_term.closed or not spec.idempotent:
            raise type(error)(error.detail, retry_after_s=STORE_RETRY_S)
        job_id = body["job_id"]
        ownership_term.ledger.add_unrecorded(body, may_have_record)
        ownership_term.reporter.report_accepted(body["job_id"], spec, correlation_id)
        ownership_term.process_event(
            JobSubmitted(job_id, spec, body["submitted_at"], False)
        )
        return ownership_term.require_view(job_id)

    def _check_domain(self, body: JobRecordBody) -> None:
        if body["domain"] != self._failure_domain:
            raise ConflictError(
                f"{body['domain']} accepted the job with this idempotency key",
                code="other_domain",
            )


def _check_same_body(digest: str, spec: JobSpec) -> None:
    if digest != body_digest(spec):
        raise ConflictError(
            f"idempotency key {spec.idempotency_key!r} was used with another body",
            code="idempotency_key_reused",
        )


def _refusal_error(refusal: Refusal) -> RedwingrudderError:
    if refusal.retry_after_s is None:
        return UnprocessableError(refusal.detail, code=refusal.code)
    if refusal.code == "no_configuration":
        return UnavailableError(
            refusal.detail, code=refusal.code, retry_after_s=refusal.retry_after_s
        )
    return OverloadedError(
        refusal.detail, code=refusal.code, retry_after_s=refusal.retry_after_s
    )
