"""Builders of workflows, workers, engines and reports for tests."""

import json

from redwingrudder.workflows import records
from redwingrudder.workflows.advice import Tickets
from redwingrudder.workflows.engine import Engine
from redwingrudder.workflows.model import (
    EndKind,
    QueuePolicy,
    Resources,
    RunEnd,
    RunReport,
    StartRun,
    StepSpec,
    StopRun,
    TaskKey,
    WorkerFacts,
    Workflow,
)

WORKER_SIZE = Resources(128_000, 262_144, 8)
ONE_GPU = Resources(11_000, 29_000, 1)
HALF_WORKER = Resources(20_000, 30_000, 4)
WHOLE_WORKER = Resources(52_000, 75_000, 8)


def worker(worker_id, rack="r1", process_started_ms=1, **changes):
    facts = WorkerFacts(
        worker_id,
        process_started_ms,
        f"10.0.0.1:{len(worker_id)}",
        "pool",
        "domain",
        rack,
        frozenset({"a", rack}),
        WORKER_SIZE,
    )
    return facts._replace(**changes)


def step(tasks=1, demand=ONE_GPU, **changes):
    return StepSpec(tasks, demand, 5.0)._replace(**changes)


def workflow(workflow_id="job", *steps, priority=1, organisation="org", attempts=2):
    policy = QueuePolicy("pool", priority, attempts, 3.0, 1.0)
    return Workflow(
        workflow_id, "queue", organisation, "payload", steps or (step(),), policy, 0.0
    )


def engine(*workers):
    engine = Engine()
    for facts in workers or (worker("w1"), worker("w2")):
        engine.set_worker(facts, 0.0)
    return engine


def starts(effects):
    return [effect for effect in effects if isinstance(effect, StartRun)]


def stops(effects):
    return [effect for effect in effects if isinstance(effect, StopRun)]


def confirm(engine, effects, now=0.0):
    """Confirm all starts among the effects, as if the workers had replied."""
    for start in starts(effects):
        engine.start_confirmed(start.key, start.run, now)


def advise(engine, request, tickets, valid_s, sent_at):
    """Answer a request to the advice service at once; None: no answer."""
    reply = None if tickets is None else Tickets(tickets, valid_s, sent_at, sent_at)
    engine.record_advice(request, reply, sent_at)


def ended(start, kind=EndKind.DONE, number=1, checkpoint=""):
    return RunEnd(number, start.key, start.run, kind, checkpoint)


def running(start, percent=10.0, checkpoint=""):
    return RunReport(start.key, start.run, checkpoint, percent)


def restore(progress, **fields):
    """Restore a suspected workflow of one task from a record.

    Args:
        progress: The workflow.
        fields: Fields of the record, see ``records.encode_progress``.
    """
    document = {
        "term": 1,
        "state": "running",
        **dict.fromkeys(("done", "failures", "crashes", "placed", "checkpoints"), []),
        "suspected": [[0, 0, 0]],
        **fields,
    }
    workflow_id = progress.workflow.workflow_id
    record = records.decode_progress(workflow_id, json.dumps(document).encode())
    records.restore_progress(progress, record)


def key(workflow_id="job", occurrence=0, step_index=0, index=0):
    return TaskKey(workflow_id, occurrence, step_index, index)
