"""What the ledger of job records knows of one job."""

from collections.abc import Callable
from typing import NamedTuple

from ._job_records import JobRecordBody, StoredRecord, is_final
from .model import FINAL_JOB_STATES, JobState, JobView


class LedgerCallbacks(NamedTuple):
    """What the ledger tells its owner, mostly about a job id.

    ``published``: callers may be told the answer. ``safe``: workers may
    drop the results. ``recorded``: a job accepted without a record has one.
    ``changed_by_other_owner``: another owner has changed the record of a
    queued job.
    ``retry_later``: call ``write_all`` after a while.
    """

    answer_published: Callable[[str], None]
    results_releasable: Callable[[str], None]
    record_created: Callable[[str], None]
    changed_by_other_owner: Callable[[StoredRecord], None]
    schedule_retry: Callable[[], None]


class LedgerEntry(NamedTuple):
    """A job with the record that the store should hold.

    ``stored`` tells that it does, ``may_have_record`` that some record may be there.
    ``mod_revision`` is None when it is not known. ``answer`` is set when
    the job has ended, ``published`` when callers may be told.
    """

    body: JobRecordBody
    mod_revision: int | None
    stored: bool
    may_have_record: bool
    answer: JobView | None = None
    published: bool = False
    results_available_until: float = 0.0


def confirms_answer(entry: LedgerEntry, stored: JobRecordBody) -> bool:
    """Whether the stored record already tells the end of the same job."""
    if stored["job_id"] != entry.body["job_id"] or entry.answer is None:
        return False
    return is_final(stored) and not contradicts(entry.answer, stored["state"])


def contradicts(view: JobView, recorded_state: str) -> bool:
    """Whether a job ran although its record says that it did not.

    An idempotent job that ended as not_run may be submitted again in an
    outage of the store, where its record cannot be seen.
    """
    ran = view.state in FINAL_JOB_STATES and view.state is not JobState.NOT_RUN
    return ran and recorded_state == JobState.NOT_RUN
