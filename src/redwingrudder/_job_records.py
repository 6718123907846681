"""Job records in the platform store: keys, bodies and job ids."""

import hashlib
import json
from typing import NamedTuple

from pydantic import TypeAdapter, ValidationError
from typing_extensions import TypedDict

from ._worker_codec import spec_from_body, spec_to_body
from .model import FINAL_JOB_STATES, Epoch, JobSpec, JobState, JobView
from .worker_api import JobSpecBody

JOBS_PREFIX = "/jobs/"
RECORDED_RESULTS_LIMIT_BYTES = 65_536
DIGEST_DIGITS = 32

OPEN = "open"
STARTING = "starting"

_FINAL_STATES = frozenset(state.value for state in FINAL_JOB_STATES)


class JobRecordBody(TypedDict):
    """Value stored at ``/jobs/<organisation>/<digest of idempotency key>``.

    Attributes:
        job_id: Id of the job.
        domain: Failure domain that accepted the job.
        digest: Digest of the submitted job, to detect a reused key.
        nonce: Random id of the acceptance that created the record.
        spec: The submitted job, without its payload once the job has ended.
        submitted_at: Time of the submission, in seconds.
        state: "open", "starting" or a final ``JobState``.
        epoch: Epoch of the owner that recorded the start; empty before.
        gang_id: Gang of the recorded start, "" before.
        reason: Reason of the final state, "" if none.
        target_missed: Whether the job missed its completion target.
        finished_at: Time of the end, in seconds.
        results: Results of the tasks.
        results_kept: Whether ``results`` holds the results; false if they
            exceed RECORDED_RESULTS_LIMIT_BYTES, in which case the workers
            keep them for 10 minutes.
    """

    job_id: str
    domain: str
    digest: str
    nonce: str
    spec: JobSpecBody
    submitted_at: float
    state: str
    epoch: list[int]
    gang_id: str
    reason: str
    target_missed: bool
    finished_at: float | None
    results: list[str]
    results_kept: bool


class StoredRecord(NamedTuple):
    """A record with the store revision of its last change."""

    body: JobRecordBody
    mod_revision: int


_ADAPTER: TypeAdapter[JobRecordBody] = TypeAdapter(JobRecordBody)


def job_id_for(failure_domain: str, organisation: str, idempotency_key: str) -> str:
    """Return the job id of an idempotency key: ``<domain>-<digest>``."""
    key_text = json.dumps([organisation, idempotency_key])
    return f"{failure_domain}-{_digest(key_text)}"


def domain_of_job(job_id: str) -> str:
    """Return the failure domain in a job id, "" if there is none."""
    return job_id.rpartition("-")[0]


def record_key(spec: JobSpec) -> str:
    """Return the store key of a job's record."""
    return f"{JOBS_PREFIX}{spec.organisation}/{_digest(spec.idempotency_key)}"


def body_digest(spec: JobSpec) -> str:
    """Return a digest over all fields of a submitted job."""
    return _digest(json.dumps(spec._asdict(), sort_keys=True))


def open_record(
    failure_domain: str, spec: JobSpec, submitted_at: float, nonce: str
) -> JobRecordBody:
    """Build the record of a job that has not started."""
    return JobRecordBody(
        job_id=job_id_for(failure_domain, spec.organisation, spec.idempotency_key),
        domain=failure_domain,
        digest=body_digest(spec),
        nonce=nonce,
        spec=spec_to_body(spec),
        submitted_at=submitted_at,
        state=OPEN,
        epoch=[],
        gang_id="",
        reason="",
        target_missed=False,
        finished_at=None,
        results=[],
        results_kept=True,
    )


def starting_record(body: JobRecordBody, gang_id: str, epoch: Epoch) -> JobRecordBody:
    """Build the record of a job whose gang is about to start."""
    return {**body, "state": STARTING, "gang_id": gang_id, "epoch": list(epoch)}


def final_record(body: JobRecordBody, view: JobView) -> JobRecordBody:
    """Build the record of an ended job, without the payload."""
    results_bytes = sum(len(result.encode()) for result in view.results)
    results_kept = results_bytes <= RECORDED_RESULTS_LIMIT_BYTES
    return {
        **body,
        "spec": {**body["spec"], "payload": ""},
        "state": view.state.value,
        "reason": view.reason,
        "target_missed": view.target_missed,
        "finished_at": view.finished_at,
        "results": list(view.results) if results_kept else [],
        "results_kept": results_kept,
    }


def is_final(body: JobRecordBody) -> bool:
    """Whether a record states the end of its job."""
    return body["state"] in _FINAL_STATES


def epoch_of(body: JobRecordBody) -> Epoch:
    """Return the epoch of the recorded start, or the lowest if none."""
    return Epoch(*body["epoch"]) if body["epoch"] else Epoch(0, 0, 0)


def spec_of(body: JobRecordBody) -> JobSpec:
    """Return the submitted job that a record holds."""
    return spec_from_body(body["spec"])


def view_of(body: JobRecordBody) -> JobView:
    """Build the job view of a record; unfinished jobs appear as queued."""
    state = JobState(body["state"]) if is_final(body) else JobState.QUEUED
    return JobView(
        body["job_id"],
        body["spec"]["organisation"],
        body["spec"]["job_class"],
        state,
        body["reason"],
        True,
        body["target_missed"],
        body["submitted_at"],
        body["finished_at"],
        tuple(body["results"]),
    )


def encode_record(body: JobRecordBody) -> str:
    """Encode a record as the JSON text that is stored."""
    return json.dumps(body, separators=(",", ":"))


def decode_record(text: str) -> JobRecordBody | None:
    """Decode the JSON text of a record; None if it is malformed."""
    try:
        body = _ADAPTER.validate_json(text)
    except ValidationError:
        return None
    return body if len(body["epoch"]) in (0, len(Epoch._fields)) else None


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_DIGITS]
