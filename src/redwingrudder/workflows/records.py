"""Encoding of workflows and of their progress as documents in the store."""

import json
import math
from typing import NamedTuple

from .._checked_json import Fields, Row, parse_json
from ..exceptions import BadRequestError
from .crash_evidence import NO_EVIDENCE, valid_evidence_by_run
from .crashes import has_crashed_limit, is_suspected, step_suspicion
from .model import (
    QueuePolicy,
    Resources,
    StepSpec,
    TaskKey,
    Workflow,
    WorkflowState,
)
from .state import CrashEvidence, SilentProcess, WorkflowProgress

# Format version of workflow documents. It is raised when documents written by
# older nodes can no longer be read.
FORMAT = 1
# Upper limit for the difference of the rates of two nodes' clocks, each of
# which may be adjusted by 500 ppm.
MAX_RATE_DIFFERENCE = 0.001


class PlacedRun(NamedTuple):
    """A run that may exist on a worker.

    Attributes:
        key: Key of the task.
        run: Number of the run.
        worker_id: Worker to which the run was assigned.
        process_started_ms: Start time of that worker's process in Unix
            milliseconds, 0 if unknown.
        start_settled: Whether no attempt of its start would be sent any more;
            False in records of earlier releases.
    """

    key: TaskKey
    run: int
    worker_id: str
    process_started_ms: int
    start_settled: bool = False


class CrashedRun(NamedTuple):
    """A run under which workers crashed.

    Attributes:
        key: Key of the task; of a gang, of the first task.
        run: Number of the run.
        confirmed: Whether the start was confirmed and the crash is certain.
        suspect: Whether the run may be the cause.
        certain: Whether a worker has crashed. Earlier releases recorded
            workers that only fell silent in the same way, so that crashes
            under starts without a reply are not certain in their records.
        alone: Whether no other run on a worker may be the cause; False in
            records of earlier releases.
        addresses: Addresses of the workers, none in records of earlier
            releases.
        undated: Whether it is not known for how long the run had gone on.
        refuted: Whether the crashes had a cause outside the task. Earlier
            releases record no undated or refuted runs.
    """

    key: TaskKey
    run: int
    confirmed: bool
    suspect: bool
    certain: bool
    alone: bool = False
    addresses: frozenset[str] = frozenset()
    undated: bool = False
    refuted: bool = False


class RecordedSilence(NamedTuple):
    """A worker that fell silent under a run and may have crashed.

    Attributes:
        key: Key of the task; of a gang, of the first task.
        run: Number of the run.
        process: The process that fell silent.
        refuted: Whether the cause was found to be outside the task.
    """

    key: TaskKey
    run: int
    process: SilentProcess
    refuted: bool


class RecordedLateStart(NamedTuple):
    """A worker that may still carry out a start of an earlier run.

    Attributes:
        key: Key of the task.
        worker_id: The worker.
        until_s: Seconds from the request that began the term of the record to
            the moment after which neither the start can be carried out nor its
            run go on; 0.0 if unknown, as in records of earlier releases.
        process_started_ms: Start time of the worker process that the start was
            sent to, in Unix milliseconds, 0 if unknown.
    """

    key: TaskKey
    worker_id: str
    until_s: float = 0.0
    process_started_ms: int = 0


class ProgressRecord(NamedTuple):
    """The stored progress of a workflow.

    Attributes:
        term: Term of the coordinator that wrote the record.
        state: State that is reported to callers.
        done: Tasks that are done.
        failures: Tasks with failed runs, and their number.
        crashes: Tasks under which workers crashed, and the number of their
            confirmed runs; in records of earlier releases, of the workers.
        crashed_runs: Runs under which workers crashed, none in records of
            earlier releases.
        suspected: Tasks that are suspected of crashing their workers.
        runs: Tasks that have had a run, and the highest number of one.
        placed: Runs that may exist on workers.
        checkpoints: Tasks with a stored checkpoint, and that checkpoint.
        late_starts: Workers that may still carry out a start of an earlier
            run, none in records of earlier releases.
        policy: Policy in force, None in records of earlier releases.
        policy_version: Version of the configuration that has it.
        silent_workers: Workers that fell silent and may have crashed, none in
            records of earlier releases.
        begun: Whether a task had begun; in records of earlier releases,
            whether a run had been placed.
    """

    term: int
    state: WorkflowState
    done: tuple[TaskKey, ...]
    failures: tuple[tuple[TaskKey, int], ...]
    crashes: tuple[tuple[TaskKey, int], ...]
    crashed_runs: tuple[CrashedRun, ...]
    suspected: tuple[TaskKey, ...]
    runs: tuple[tuple[TaskKey, int], ...]
    placed: tuple[PlacedRun, ...]
    checkpoints: tuple[tuple[TaskKey, str], ...]
    late_starts: tuple[RecordedLateStart, ...] = ()
    policy: QueuePolicy | None = None
    policy_version: int = 0
    silent_workers: tuple[RecordedSilence, ...] = ()
    begun: bool = False


def encode_workflow(workflow: Workflow) -> bytes:
    """Return the JSON document of a workflow."""
    document = workflow._asdict()
    document["format"] = FORMAT
    document["policy"] = list(workflow.policy)
    document["steps"] = [
        [list(step.demand) if name == "demand" else value for name, value in fields]
        for step in workflow.steps
        for fields in [step._asdict().items()]
    ]
    return json.dumps(document, separators=(",", ":")).encode()


def decode_workflow(content: bytes) -> Workflow:
    """Return the workflow that a JSON document describes.

    Raises:
        BadRequestError: The content is not a workflow document of this
            format.
    """
    try:
        document = Fields(parse_json(content), "workflow")
        if document.integer("format") != FORMAT:
            raise ValueError("unsupported format version")
        return Workflow(
            workflow_id=document.text("workflow_id"),
            queue=document.text("queue"),
            organisation=document.text("organisation", ""),
            payload=document.text("payload", ""),
            steps=tuple(
                _step(row, index)
                for index, row in enumerate(document.rows("steps", True))
            ),
            policy=_policy(document.row("policy")),
            accepted_at=document.number("accepted_at"),
            first_due_at=document.number("first_due_at"),
            interval_s=document.number("interval_s"),
            occurrences=document.integer("occurrences", low=1),
            # Documents of earlier releases have no version.
            policy_version=document.integer("policy_version", 0),
        )
    except ValueError as error:
        raise BadRequestError(f"invalid workflow document: {error}") from error


def encode_progress(
    progress: WorkflowProgress,
    term: int,
    started_ms_by_worker: dict[str, int],
    now: float = -math.inf,
    term_requested_at: float | None = None,
) -> bytes:
    """Return the JSON document of a workflow's progress.

    Args:
        progress: The progress.
        term: Term of the coordinator.
        started_ms_by_worker: Process start times of the workers in Unix
            milliseconds.
        now: Node-clock seconds, for the late starts.
        term_requested_at: Node-clock seconds before the request that began the
            term, None if unknown.
    """
    done, failures, runs, placed, checkpoints = [], [], [], [], []
    crashes, crashed_runs, other_crashed_runs, silent_workers = [], [], [], []
    suspected, late_starts = [], []
    for task in progress.tasks():
        key = list(task.key[1:])
        if task.state == "done":
            done.append(key)
            continue
        valid = valid_evidence_by_run(task)
        confirmed = sum(e.confirmed for e in valid.values())
        if confirmed:
            crashes.append([*key, confirmed])  # read by earlier releases
        for run, evidence in task.crash_evidence_by_run.items():
            if evidence.certain:
                # Earlier releases would count the others.
                is_counted = run in valid and not evidence.undated
                rows = crashed_runs if is_counted else other_crashed_runs
                rows.append(_crashed_run_row(key, run, evidence))
            silent_workers += [
                [*key, run, *process, evidence.refuted]
                for process in sorted(evidence.silent)
            ]
        if task.suspicion in ("suspected", "accused"):
            suspected.append(key)
        if task.failures:
            failures.append([*key, task.failures])
        if task.highest_run:
            runs.append([*key, task.highest_run])
        late_starts += [
            [
                *key,
                worker,
                _since_term_request(start.until, term_requested_at),
                start.process_started_ms,
            ]
            for worker, start in task.late_starts(now)
        ]
        if task.placed:
            started_ms = started_ms_by_worker.get(task.worker_id, 0)
            placed.append(
                [*key, task.run, task.worker_id, started_ms, task.start_settled]
            )
        # The worker of a run that has saved a checkpoint reports it, so it
        # need not be stored. A gang's checkpoint is saved in its first task
        # and may have been reported by any member, so it is always stored.
        reported_by_worker = task.placed and task.run_confirmed and task.run_saved
        if task.checkpoint and (task.stage.spec.gang or not reported_by_worker):
            checkpoints.append([*key, task.checkpoint])
    document = {
        "term": term,
        "state": str(progress.state),
        "not_begun": not progress.begun,
        "done": done,
        "failures": failures,
        "crashes": crashes,
        "crashed_runs": crashed_runs,
        "other_crashed_runs": other_crashed_runs,
        "silent_workers": silent_workers,
        "suspected": suspected,
        "runs": runs,
        "placed": placed,
        "checkpoints": checkpoints,
        "late_starts": late_starts,
        "policy": list(progress.policy),
        "policy_version": progress.policy_version,
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode_progress(workflow_id: str, content: bytes) -> ProgressRecord:
    """Return the progress record that a JSON document describes.

    Raises:
        BadRequestError: The content is not a progress document.
    """

    def key(row: Row) -> TaskKey:
        return TaskKey(workflow_id, *(row.integer(position) for position in range(3)))

    def rows(name: str) -> list[Row]:
        return document.rows(name, required=True)

    try:
        document = Fields(parse_json(content), "progress")
        return ProgressRecord(
            document.integer("term"),
            WorkflowState(document.text("state")),
            tuple(key(row) for row in rows("done")),
            tuple((key(row), row.integer(3)) for row in rows("failures")),
            # Records of earlier releases have no crashes.
            tuple((key(row), row.integer(3)) for row in document.rows("crashes")),
            tuple(
                CrashedRun(
                    key(row),
                    row.integer(3),
                    confirmed=row.flag(4),
                    suspect=row.flag(5),
                    certain=row.flag(4) or row.flag(7),
                    alone=row.flag(8),
                    addresses=frozenset(row.texts(9)),
                    undated=row.flag(10),
                    refuted=row.flag(11),
                )
                for name in ("crashed_runs", "other_crashed_runs")
                for row in document.rows(name)
            ),
            tuple(key(row) for row in document.rows("suspected")),
            tuple((key(row), row.integer(3)) for row in rows("runs")),
            tuple(
                PlacedRun(
                    key(row),
                    row.integer(3),
                    row.text(4),
                    row.integer(5),
                    row.flag(6),
                )
                for row in rows("placed")
            ),
            tuple((key(row), row.text(3)) for row in rows("checkpoints")),
            tuple(
                RecordedLateStart(
                    key(row), row.text(3), row.number(4, 0.0), row.integer(5, 0)
                )
                for row in document.rows("late_starts")
            ),
            _policy(document.row("policy")) if document.has("policy") else None,
            document.integer("policy_version", 0),
            tuple(
                RecordedSilence(
                    key(row),
                    row.integer(3),
                    SilentProcess(
                        row.text(4),
                        row.text(5, ""),
                        row.integer(6),
                        start_confirmed=row.flag(7),
                        suspect=row.flag(8),
                        alone=row.flag(9),
                        undated=row.flag(10),
                    ),
                    refuted=row.flag(11),
                )
                for row in document.rows("silent_workers")
            ),
            # Records of earlier releases do not have the field.
            bool(rows("runs") or rows("done")) and not document.flag("not_begun"),
        )
    except ValueError as error:
        raise BadRequestError(f"invalid progress document: {error}") from error


def restore_progress(progress: WorkflowProgress, record: ProgressRecord) -> None:
    """Apply a record to the progress of a newly accepted workflow.

    The placed runs are not restored; see ``Engine.adopt_run``.
    """
    for key, failures in record.failures:
        task = progress.find(key)
        if task is not None:
            task.failures = failures
    for key in record.suspected:
        task = progress.find(key)
        if task is not None:
            step_suspicion(task, "suspect")
    for key, run in record.runs:
        task = progress.find(key)
        if task is not None:
            task.run = task.highest_run = run
    _restore_crashes(progress, record)
    for key, checkpoint in record.checkpoints:
        task = progress.find(key)
        if task is not None:
            task.checkpoint = checkpoint
    for key in record.done:
        task = progress.find(key)
        if task is not None:
            task.state = "done"
    if record.policy is not None:
        progress.set_policy(record.policy, record.policy_version)
    progress.begun = record.begun
    progress.cancelled = record.state is WorkflowState.CANCELLED
    progress.recorded_state = record.state


def restore_late_starts(
    progress: WorkflowProgress,
    record: ProgressRecord,
    until: float,
    term_seen_at: float | None = None,
) -> None:
    """Restore which workers may still carry out a start, and until when.

    No time of day tells the end of a hold: the clocks of most nodes may jump
    together, and a hold that ends early permits two runs. The writer of the
    record tells how long after its request for the term the hold ends, by its
    node clock, which never jumps. This node saw the term when it had begun, so
    after that request, and counts the same time from then on. Thus the hold
    ends no earlier here than there, and later by the time that this node took
    to see the term. ``MAX_RATE_DIFFERENCE`` covers the rates of the clocks.

    The writer has sent all attempts of a late start before it records it. So a
    hold lasts no longer than that of a start that is sent now. This is also
    the end of a hold whose time is not known.

    Args:
        progress: Progress of the recorded workflow.
        record: The record.
        until: Node-clock seconds after which starts that are sent at the
            present time have no effect.
        term_seen_at: Node-clock seconds at which this node knew that the term
            of the record had begun, None if unknown.
    """
    for key, worker_id, until_s, process_started_ms in record.late_starts:
        task = progress.find(key)
        if task is None:
            continue
        ends_at = until
        if until_s and term_seen_at is not None:
            ends_at = term_seen_at + until_s * (1 + MAX_RATE_DIFFERENCE)
        task.add_late_start(worker_id, min(ends_at, until), process_started_ms)


def _since_term_request(seconds: float, term_requested_at: float | None) -> float:
    """Return the time from the request for the term on, 0.0 if unknown."""
    if term_requested_at is None:
        return 0.0
    return max(seconds - term_requested_at, 0.0)


def _restore_crashes(progress: WorkflowProgress, record: ProgressRecord) -> None:
    """Restore the runs under which workers crashed.

    A record of an earlier release has their number only, and for a gang that
    of its workers, which may all have crashed under one run. Runs before the
    newest one stand for them.
    """
    for crash in record.crashed_runs:
        task = progress.find(crash.key)
        if task is not None:
            task.crash_evidence_by_run[crash.run] = NO_EVIDENCE._replace(
                addresses=crash.addresses,
                certain=crash.certain,
                confirmed=crash.confirmed,
                suspect=crash.suspect,
                alone=crash.alone,
                undated=crash.undated,
                refuted=crash.refuted,
            )
    for key, crashes in record.crashes:
        task = progress.find(key)
        if task is not None and not task.crash_evidence_by_run:
            for number in range(1 if task.stage.spec.gang else crashes):
                task.crash_evidence_by_run[task.run - 1 - number] = (
                    NO_EVIDENCE._replace(certain=True, confirmed=True, suspect=True)
                )
    for silence in record.silent_workers:
        task = progress.find(silence.key)
        if task is not None:
            evidence = task.crash_evidence_by_run.get(silence.run, NO_EVIDENCE)
            task.crash_evidence_by_run[silence.run] = evidence._replace(
                worker_ids=evidence.worker_ids | {silence.process.worker_id},
                refuted=silence.refuted,
                silent=evidence.silent | {silence.process},
            )
    for task in progress.tasks():
        if is_suspected(task) and has_crashed_limit(task):
            step_suspicion(task, "evidence_sufficient")


def _crashed_run_row(key: list[int], run: int, evidence: CrashEvidence) -> list:
    """Return the row of a run under which workers crashed.

    The flag after ``suspect`` is read by earlier releases only, which ask for
    more evidence if it is set.
    """
    return [
        *key,
        run,
        evidence.confirmed,
        evidence.suspect,
        False,
        evidence.certain,
        evidence.alone,
        sorted(evidence.addresses),
        evidence.undated,
        evidence.refuted,
    ]


def _step(row: Row, index: int) -> StepSpec:
    """Decode a step, whose fields have the order of ``StepSpec``."""
    position = {name: at for at, name in enumerate(StepSpec._fields)}
    step = StepSpec(
        tasks=row.integer(position["tasks"], low=1),
        demand=Resources(*row.integers(position["demand"])),
        estimate_s=row.number(position["estimate_s"]),
        after=tuple(row.integers(position["after"])),
        checkpoints=row.flag(position["checkpoints"]),
        gang=row.flag(position["gang"]),
        same_rack=row.flag(position["same_rack"]),
        worker_label=row.text(position["worker_label"], ""),
        data_rack=row.text(position["data_rack"], ""),
        worker_limit=row.integer(position["worker_limit"]),
        copies_allowed=row.flag(position["copies_allowed"]),
        service=row.flag(position["service"]),
        image=row.text(position["image"], ""),
        latency_target_ms=row.integer(position["latency_target_ms"]),
        fills=row.flag(position["fills"]),
        unavailable_limit=row.integer(position["unavailable_limit"]),
    )
    if any(earlier >= index for earlier in step.after):
        raise ValueError(f"step {index} depends on a later step")
    return step


def _policy(row: Row) -> QueuePolicy:
    """Decode a policy, whose fields have the order of ``QueuePolicy``."""
    return QueuePolicy(
        pool=row.text(0),
        priority=row.integer(1),
        attempts=row.integer(2),
        stretch=row.number(3),
        latency_s=row.number(4),
        advised=row.flag(5),
    )
