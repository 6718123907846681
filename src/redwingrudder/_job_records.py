"""Job records of the platform store: keys, bodies and identifiers."""

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
    """Value of ``/jobs/<organisation>/<key digest>``.

    ``state`` is "open", "starting" or a final ``JobState``. ``epoch`` and
    ``gang_id`` belong to the recorded start. ``results_kept`` is false when
    the results exceed the limit; the workers hold them for 10 minutes.
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
    """A record with the revision of its last change."""

    body: JobRecordBody
    mod_revision: int


_ADAPTER: TypeAdapter[JobRecordBody] = TypeAdapter(JobRecordBody)


def job_id_for(failure_domain: str, organisation: str, idempotency_key: str) -> str:
    """Return the id of the job of a key: ``<domain>-<digest>``."""
    key_text = json.dumps([organisation, idempotency_key])
    return f"{failure_domain}-{_digest(key_text)}"


def domain_of_job(job_id: str) -> str:
    """Return the failure domain that a job id names, "" if none."""
    return job_id.rpartition("-")[0]


def record_key(spec: JobSpec) -> str:
    """Return the store key of a job's record."""
    return f"{JOBS_PREFIX}{spec.organisation}/{_digest(spec.idempotency_key)}"


def body_digest(spec: JobSpec) -> str:
    """Return a digest of everything that the caller asked for."""
    return _digest(json.dumps(spec._asdict(), sort_keys=True))


def open_record(
    failure_domain: str, spec: JobSpec, submitted_at: float, nonce: str
) -> JobRecordBody:
    """Return the record of a job that has not started."""
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
    """Return the record of a job whose gang is about to start."""
    return {**body, "state": STARTING, "gang_id": gang_id, "epoch": list(epoch)}


def final_record(body: JobRecordBody, view: JobView) -> JobRecordBody:
    """Return the record of a job that ended, without its payload."""
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
    """Whether the job has ended."""
    return body["state"] in _FINAL_STATES


def epoch_of(body: JobRecordBody) -> Epoch:
    """Return the epoch of the recorded start, the lowest one if none."""
    return Epoch(*body["epoch"]) if body["epoch"] else Epoch(0, 0, 0)


def spec_of(body: JobRecordBody) -> JobSpec:
    """Return the job of a record."""
    return spec_from_body(body["spec"])


def view_of(body: JobRecordBody) -> JobView:
    """Return what a caller is told of a recorded job."""
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
    """Return the text of a record."""
    return json.dumps(body, separators=(",", ":"))


def decode_record(text: str) -> JobRecordBody | None:
    """Return a record from its text, None when it is malformed."""
    try:
        body = _ADAPTER.validate_json(text)
    except ValidationError:
        return None
    return body if len(body["epoch"]) in (0, len(Epoch._fields)) else None


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_DIGITS]
