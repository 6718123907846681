"""Entry of the job ledger for one job."""

from collections.abc import Callable
from typing import NamedTuple

from ._job_records import JobRecordBody, StoredRecord, is_final
from .model import FINAL_JOB_STATES, JobState, JobView


class LedgerCallbacks(NamedTuple):
    """Callbacks of the job ledger.

    Attributes:
        answer_published: Called with the id of a job whose final answer
            callers may see from now on.
        results_releasable: Called with the id of a job whose results workers
            may delete.
        record_created: Called with the id of a job that was accepted without
            a record and has one now.
        changed_by_other_owner: Called with the record of a job that another
            owner has started or ended.
        schedule_retry: Requests a call of ``write_all`` after a delay.
    """

    answer_published: Callable[[str], None]
    results_releasable: Callable[[str], None]
    record_created: Callable[[str], None]
    changed_by_other_owner: Callable[[StoredRecord], None]
    schedule_retry: Callable[[], None]


class LedgerEntry(NamedTuple):
    """A job with the record that the store should hold.

    Attributes:
        body: The record that the store should hold.
        mod_revision: Revision of the record in the store, 0 if there is
            none, None if it is not known.
        stored: Whether the store has confirmed that it holds ``body``.
        may_have_record: Whether the store may hold some record of the job.
        answer: Final answer of the job, None while it has not ended.
        published: Whether callers may see the answer.
        results_available_until: Time, in seconds, until which the results
            are available from memory and workers; 0 if they are not.
    """

    body: JobRecordBody
    mod_revision: int | None
    stored: bool
    may_have_record: bool
    answer: JobView | None = None
    published: bool = False
    results_available_until: float = 0.0


def confirms_answer(entry: LedgerEntry, stored: JobRecordBody) -> bool:
    """Whether the stored record already holds the end of the same job."""
    if stored["job_id"] != entry.body["job_id"] or entry.answer is None:
        return False
    return is_final(stored) and not contradicts(entry.answer, stored["state"])


def contradicts(view: JobView, recorded_state: str) -> bool:
    """Whether a job ran although its record says that it did not.

    An idempotent job that ended as not_run may be submitted again during an
    outage of the store, when its record cannot be read.
    """
    ran = view.state in FINAL_JOB_STATES and view.state is not JobState.NOT_RUN
    return ran and recorded_state == JobState.NOT_RUN
