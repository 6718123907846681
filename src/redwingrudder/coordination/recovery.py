"""Reading the state of the last coordinator at the start of a term."""

import logging
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.defer import FirstError, gatherResults

from .._store_requests import GetPrefix, KeyValue, PrefixReply
from ..exceptions import BadRequestError
from ..workflows import records
from ..workflows.engine import Engine
from ..workflows.model import FINAL_STATES
from .gateways import CANCEL_SUFFIX, INTAKE_PREFIX, PROGRESS_PREFIX, STORE
from .recorder import Recorder

OLDEST_S = 3600.0  # bounds the age that a clock which jumped can give

_logger = logging.getLogger(__name__)


class StoredState(NamedTuple):
    """Readings of the store, each with its revision."""

    intake: PrefixReply
    progress: PrefixReply
    workers: PrefixReply


async def read_state(ask: Callable[..., Any], registry_prefix: str) -> StoredState:
    """Read all records; the calls overlap, as a slow store delays each.

    Raises:
        RedwingrudderError: The store does not answer.
    """
    prefixes = (INTAKE_PREFIX, PROGRESS_PREFIX, registry_prefix)
    calls = [ask(STORE, GetPrefix(prefix)) for prefix in prefixes]
    try:
        return StoredState(*await gatherResults(calls, consumeErrors=True))
    except FirstError as error:
        raise error.subFailure.value from error


def workflow_id_of(key: str) -> str:
    """Return the workflow of an intake key."""
    return key.removeprefix(INTAKE_PREFIX).removesuffix(CANCEL_SUFFIX)


def accept_stored(
    engine: Engine, key: str, document: str, now: float, aged: bool = False
) -> bool:
    """Let the engine take over a stored workflow.

    Args:
        engine: The engine of the term.
        key: Where the document was found.
        document: Its text.
        now: Steady-clock seconds.
        aged: The workflow was accepted some time ago, not just now.

    Returns:
        Whether the workflow is new to the engine.
    """
    try:
        workflow = records.decode_workflow(document.encode())
    except BadRequestError as error:
        _logger.error("workflow unreadable", extra={"key": key, "error": str(error)})
        return False
    if workflow.workflow_id in engine.workflows_by_id:
        return False
    age = min(max(time.time() - workflow.accepted_at, 0.0), OLDEST_S) if aged else 0.0
    engine.accept(workflow, now - age)
    if not aged:
        # A recovery logs the number of its jobs instead.
        _logger.info(
            "job known to the coordinator",
            extra={
                "job": workflow.workflow_id,
                "queue": workflow.queue,
                "term": engine.term,
            },
        )
    return True


def restore_all(
    engine: Engine, recorder: Recorder, state: StoredState, now: float
) -> list[records.PlacedRun]:
    """Restore workflows and progress; returns the runs that may exist."""
    for pair in state.intake.pairs:
        if not pair.key.endswith(CANCEL_SUFFIX):
            accept_stored(engine, pair.key, pair.value, now, aged=True)
    return [
        placed
        for pair in state.progress.pairs
        for placed in _restore(engine, recorder, pair, now)
    ]


def cancel_all(engine: Engine, state: StoredState, now: float) -> None:
    """Apply the stored cancellations."""
    for pair in state.intake.pairs:
        if pair.key.endswith(CANCEL_SUFFIX):
            engine.cancel(workflow_id_of(pair.key), now)


def _restore(
    engine: Engine, recorder: Recorder, pair: KeyValue, now: float
) -> tuple[records.PlacedRun, ...]:
    workflow_id = pair.key.removeprefix(PROGRESS_PREFIX)
    progress = engine.workflows_by_id.get(workflow_id)
    if progress is None:
        return ()
    try:
        record = records.decode_progress(workflow_id, pair.value.encode())
    except BadRequestError as error:
        _logger.error("record unreadable", extra={"error": str(error)})
        return ()
    recorder.know(workflow_id, pair.mod_revision)
    records.restore_progress(progress, record)
    progress.wait_observed = progress.begun
    if record.state in FINAL_STATES:
        progress.end_observed = True
        engine.restore_final_state(workflow_id, record.state, now)
    return record.placed
