"""Restores the stored state of earlier coordinators at the start of a term."""

import logging
import math
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from twisted.internet.defer import FirstError, gatherResults

from .._store_requests import GetPrefix, KeyValue, PrefixReply
from ..exceptions import BadRequestError
from ..workflows import records
from ..workflows.engine import Engine
from ..workflows.model import FINAL_STATES
from ..workflows.run_table import RUNS_PER_TERM
from .gateways import CANCEL_SUFFIX, INTAKE_PREFIX, PROGRESS_PREFIX, STORE
from .recorder import Recorder
from .retention import RecordRetention

# Upper limit for the age of a recovered workflow, which would be wrong if the
# system clock jumped after the workflow was accepted.
MAX_RECOVERED_AGE_S = 3600.0

_logger = logging.getLogger(__name__)


class StoredState(NamedTuple):
    """All records that a coordinator recovers from.

    The three prefixes are read independently, so each reply has a different
    store revision.
    """

    intake: PrefixReply
    progress: PrefixReply
    workers: PrefixReply


async def read_state(ask: Callable[..., Any], registry_prefix: str) -> StoredState:
    """Read all records that the recovery needs.

    The calls are sent concurrently, so that a slow store delays the recovery
    by one call and not by three.

    Raises:
        RedwingrudderError: The store did not answer one of the calls.
    """
    prefixes = (INTAKE_PREFIX, PROGRESS_PREFIX, registry_prefix)
    calls = [ask(STORE, GetPrefix(prefix)) for prefix in prefixes]
    try:
        return StoredState(*await gatherResults(calls, consumeErrors=True))
    except FirstError as error:
        raise error.subFailure.value from error


def workflow_id_of(key: str) -> str:
    """Return the workflow id in the key of a submission or cancellation."""
    return key.removeprefix(INTAKE_PREFIX).removesuffix(CANCEL_SUFFIX)


def accept_stored(
    engine: Engine,
    key: str,
    document: str,
    now: float,
    recovering: bool = False,
    accepted_since: float = -math.inf,
    is_stored: bool = True,
    unix_time_s: float = 0.0,
) -> bool:
    """Add a stored workflow to the engine.

    A job whose document cannot be decoded is logged. If the store holds the
    document, the job is set aside: another release may have accepted it and
    placed its runs.

    Args:
        engine: The engine of the term.
        key: Store key or workflow id of the document, for the log.
        document: The stored workflow as JSON.
        now: Node-clock seconds.
        recovering: Whether this is part of a recovery. The workflow then keeps
            the age that its time of acceptance gives; otherwise it counts as
            accepted now.
        accepted_since: Unix seconds; a workflow with an earlier time of
            acceptance is skipped.
        is_stored: Whether the store has reported the document. One that a
            node has announced may be damaged.
        unix_time_s: Present time in Unix seconds, for a recovery.

    Returns:
        Whether the workflow was added: False if it cannot be decoded, is
        skipped or was added before.
    """
    workflow_id = workflow_id_of(key)
    if workflow_id in engine.workflows_by_id or workflow_id in engine.set_aside_ids:
        return False
    try:
        workflow = records.decode_workflow(document.encode())
    except BadRequestError as error:
        _logger.error(
            "stored workflow could not be decoded",
            extra={"key": key, "error": str(error)},
        )
        if is_stored:
            engine.set_aside(workflow_id)
        return False
    workflow_id = workflow.workflow_id
    if workflow_id in engine.workflows_by_id or workflow_id in engine.set_aside_ids:
        return False
    if workflow.accepted_at < accepted_since:
        _logger.info(
            "late announcement of a job is ignored", extra={"job": workflow_id}
        )
        return False
    age_s = (
        min(max(unix_time_s - workflow.accepted_at, 0.0), MAX_RECOVERED_AGE_S)
        if recovering
        else 0.0
    )
    engine.accept(workflow, now - age_s)
    if not recovering:
        # The coordinator logs the number of jobs after a recovery instead.
        _logger.info(
            "coordinator accepted job",
            extra={
                "job": workflow.workflow_id,
                "queue": workflow.queue,
                "term": engine.term,
            },
        )
    return True


def restore_all(
    engine: Engine,
    recorder: Recorder,
    state: StoredState,
    now: float,
    unix_time_s: float,
    terms_seen_at: Mapping[int, float],
) -> list[records.PlacedRun]:
    """Restore all workflows and their progress.

    A workflow with an unreadable record is set aside: it is not run, because
    its tasks may be done already, and its records stay in the store.

    Args:
        engine: The engine of the term.
        recorder: The recorder of the term.
        state: The records that were read.
        now: Node-clock seconds.
        unix_time_s: Present time in Unix seconds.
        terms_seen_at: Node-clock seconds at which earlier terms, by their
            number, were first seen.

    Returns:
        The recorded runs, each of which may exist on its worker.
    """
    progress_by_id = {
        pair.key.removeprefix(PROGRESS_PREFIX): pair for pair in state.progress.pairs
    }
    placed_runs: list[records.PlacedRun] = []
    for pair in state.intake.pairs:
        if pair.key.endswith(CANCEL_SUFFIX):
            continue
        workflow_id = workflow_id_of(pair.key)
        try:
            accept_stored(
                engine,
                pair.key,
                pair.value,
                now,
                recovering=True,
                unix_time_s=unix_time_s,
            )
            progress = progress_by_id.get(workflow_id)
            if progress is not None:
                placed_runs += _restore_workflow(
                    engine, recorder, progress, now, terms_seen_at
                )
        except Exception:
            _logger.exception(
                "records of a job cannot be restored; the job is set aside",
                extra={"job": workflow_id},
            )
            engine.set_aside(workflow_id)
    return placed_runs


def successor_seen_at(run: int, terms_seen_at: Mapping[int, float]) -> float:
    """Return when the term was seen to have ended that has placed a run.

    The coordinator of that term sends starts for at most
    ``LONGEST_OVERLAP_S`` after the next term has begun, and a later one sends
    none of the run. The number of the run tells the term, or a later one.

    Args:
        run: Number of the run.
        terms_seen_at: See ``restore_all``.

    Returns:
        Node-clock seconds at which a later term was first seen, infinite if
        none is known.
    """
    placing_term = (run - 1) // RUNS_PER_TERM + 1
    times = (at for term, at in terms_seen_at.items() if term > placing_term)
    return min(times, default=math.inf)


def cancel_all(
    engine: Engine,
    retention: RecordRetention,
    state: StoredState,
    now: float,
    unix_time_s: float,
) -> None:
    """Apply the stored cancellations to the restored workflows.

    All are noted for their removal, since some have no workflow.
    """
    for pair in state.intake.pairs:
        if pair.key.endswith(CANCEL_SUFFIX):
            apply_cancellation(engine, retention, pair, now, unix_time_s)


def apply_cancellation(
    engine: Engine,
    retention: RecordRetention,
    pair: KeyValue,
    now: float,
    unix_time_s: float,
) -> float | None:
    """Note a stored cancellation and cancel its workflow.

    Args:
        engine: The engine of the term.
        retention: The retention of the term.
        pair: The key of the cancellation with its value and revision.
        now: Node-clock seconds.
        unix_time_s: Present time in Unix seconds.

    Returns:
        Seconds since the cancellation was sent to the store, by the clock of
        the node that sent it; None if the workflow is unknown, was cancelled
        before or has ended, if the cancellation is a removed one, or if the
        value is not a time.
    """
    workflow_id = workflow_id_of(pair.key)
    progress = engine.workflows_by_id.get(workflow_id)
    takes_effect = (
        progress is not None and not progress.cancelled and progress.ended_at is None
    )
    if not retention.add_cancellation(workflow_id, pair.mod_revision, now):
        return None
    engine.cancel(workflow_id, now)
    if not takes_effect:
        return None
    try:
        age_s = unix_time_s - float(pair.value)
    except ValueError:
        age_s = None
    _logger.info(
        "coordinator cancels job",
        extra={
            "job": workflow_id,
            "age_s": None if age_s is None else round(age_s, 3),
            "term": engine.term,
        },
    )
    return age_s


def _restore_workflow(
    engine: Engine,
    recorder: Recorder,
    pair: KeyValue,
    now: float,
    terms_seen_at: Mapping[int, float],
) -> tuple[records.PlacedRun, ...]:
    workflow_id = pair.key.removeprefix(PROGRESS_PREFIX)
    progress = engine.workflows_by_id.get(workflow_id)
    if progress is None:
        return ()
    record = records.decode_progress(workflow_id, pair.value.encode())
    recorder.set_revision(workflow_id, pair.mod_revision)
    records.restore_progress(progress, record)
    if record.policy == progress.policy:
        # A policy that has changed since the submission is on record already.
        engine.dirty.discard(workflow_id)
    records.restore_late_starts(
        progress,
        record,
        engine.late_start_until(now),
        terms_seen_at.get(record.term, now),
    )
    # The coordinator that recorded a first start or an end has added it to its
    # metrics.
    progress.wait_observed = progress.begun
    if record.state in FINAL_STATES:
        progress.end_observed = True
        placed = {run.key for run in record.placed}
        engine.restore_final_state(workflow_id, record.state, now, placed)
    return record.placed
