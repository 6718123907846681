"""Crashes of workers, and which of them are evidence against a task.

Workers that crash at the same moment may have a common cause outside the tasks
that they run. The moment of a crash is known only by the last sign of life of
the worker before it, as workers come back one after the other.
"""

import logging
import math
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from .model import TaskKey, WorkerFacts
from .state import CrashEvidence, SilentProcess, Task, Worker

_logger = logging.getLogger(__name__)

# An idle worker answers once a second, so that it has crashed within this time
# after its last answer.
MAX_SILENCE_S = 1.5
# A worker that has just confirmed a start answers every quarter of a second.
MAX_BUSY_SILENCE_S = 0.75
# Time after the detection of a crash for which workers that are silent are
# waited for: the longest lease of a worker, 10 s, and a margin.
EVIDENCE_WAIT_S = 12.0
# Time after their detection for which crashes are remembered.
CRASH_HISTORY_S = 60.0


def suspicion_holder(task: Task) -> Task:
    """Return the task that stores the suspicion; gangs share the first's."""
    return task.stage.tasks[0] if task.stage.spec.gang else task


class WorkerCrash(NamedTuple):
    """A worker that crashed, or fell silent until its lease had lapsed.

    Attributes:
        worker_id: The worker.
        heard_at: Time of its last sign of life before, in node-clock seconds.
        ended_by: Latest time at which it can have crashed, in node-clock
            seconds.
        seen_at: Time of the detection, in node-clock seconds.
        causes: Keys of the tasks or gangs with a run there that may be the
            cause.
        held: Keys of all tasks or gangs with a run there.
    """

    worker_id: str
    heard_at: float
    ended_by: float
    seen_at: float
    causes: frozenset[TaskKey]
    held: frozenset[TaskKey]


class CrashHistory:
    """The crashes of the last minute, by worker and last sign of life."""

    def __init__(self) -> None:
        self._crashes_by_moment: dict[tuple[str, float], WorkerCrash] = {}

    def add(self, crash: WorkerCrash) -> None:
        """Add a crash; one that was added before keeps its causes.

        A worker that fell silent may be found to have crashed later, when its
        runs have been interrupted.
        """
        key = (crash.worker_id, crash.heard_at)
        known = self._crashes_by_moment.get(key)
        if known is not None:
            crash = known._replace(
                seen_at=crash.seen_at,
                causes=known.causes | crash.causes,
                held=known.held | crash.held,
            )
        self._crashes_by_moment = {
            key: old
            for key, old in self._crashes_by_moment.items()
            if crash.seen_at - old.seen_at < CRASH_HISTORY_S
        }
        self._crashes_by_moment[key] = crash

    def has_seen(self, worker: Worker) -> bool:
        """Return whether a crash since the worker answered is known."""
        key = (worker.facts.worker_id, worker.heard_at)
        return key in self._crashes_by_moment

    def has_common_cause(self, holder: Task, evidence: CrashEvidence) -> bool:
        """Return whether a crash that no task explains came at that moment.

        Args:
            holder: The task, or the first task of the gang, that the evidence
                is about.
            evidence: A run under which workers crashed.
        """
        return any(not crash.causes for crash in self._others_then(holder, evidence))

    def awaits_evidence(
        self, holder: Task, workers: Iterable[Worker], now: float
    ) -> bool:
        """Return whether a common cause of the task's crashes may yet be seen.

        That is a worker that has been silent since the moment of a crash and
        has no run of the task or gang.

        Args:
            holder: The task, or the first task of its gang.
            workers: All workers.
            now: Node-clock seconds.
        """
        awaited = [
            evidence
            for evidence in holder.crash_evidence_by_run.values()
            if not evidence.refuted and now - evidence.seen_at < EVIDENCE_WAIT_S
        ]
        return any(
            evidence.first_heard_at - MAX_SILENCE_S
            <= worker.heard_at
            <= evidence.ended_by
            and worker.facts.worker_id not in evidence.worker_ids
            and not worker.facts.draining
            and not worker.emptying
            and not self.has_seen(worker)
            and holder not in map(suspicion_holder, worker.tasks_by_key.values())
            for evidence in awaited
            for worker in workers
        )

    def _others_then(
        self, holder: Task, evidence: CrashEvidence
    ) -> Iterator[WorkerCrash]:
        """Yield crashes of that moment without a run of the task or gang."""
        for crash in self._crashes_by_moment.values():
            if (
                crash.heard_at <= evidence.ended_by
                and crash.ended_by >= evidence.first_heard_at
                and crash.worker_id not in evidence.worker_ids
                and holder.key not in crash.held
            ):
                yield crash


def latest_end(heard_at: float, seen_at: float, has_started: bool) -> float:
    """Return the latest time at which a worker can have crashed.

    Args:
        heard_at: Time of its last sign of life, in node-clock seconds.
        seen_at: Time of the detection, in node-clock seconds.
        has_started: Whether it had just confirmed a start.
    """
    return min(
        heard_at + (MAX_BUSY_SILENCE_S if has_started else MAX_SILENCE_S), seen_at
    )


NO_EVIDENCE = CrashEvidence(
    first_heard_at=math.inf,
    ended_by=-math.inf,
    seen_at=-math.inf,
    worker_ids=frozenset(),
    addresses=frozenset(),
    certain=False,
    confirmed=False,
    suspect=False,
    alone=False,
    refuted=False,
)


def add_evidence(
    holder: Task,
    run: int,
    crash: WorkerCrash,
    worker: WorkerFacts,
    certain: bool,
    start_confirmed: bool = False,
    suspect: bool = False,
    alone: bool = False,
    undated: bool = False,
) -> None:
    """Count a crash under a run; several under one run of a gang count once.

    Args:
        holder: The task, or the first task of its gang.
        run: Number of the run.
        crash: The crash.
        worker: The worker, with the process that has ended or fell silent.
        certain: Whether that process is known to have ended.
        start_confirmed: Whether it had confirmed the start.
        suspect: Whether the run may be the cause.
        alone: Whether no other run on the worker may be the cause.
        undated: Whether it is not known for how long the run had gone on.
    """
    known = holder.crash_evidence_by_run.get(run, NO_EVIDENCE)
    evidence = known._replace(
        first_heard_at=min(known.first_heard_at, crash.heard_at),
        ended_by=max(known.ended_by, crash.ended_by),
        seen_at=crash.seen_at,
        worker_ids=known.worker_ids | {crash.worker_id},
    )
    process = SilentProcess(
        worker.worker_id,
        worker.address,
        worker.process_started_ms,
        start_confirmed,
        suspect,
        alone,
        undated,
    )
    if certain:
        evidence = confirm_crash(evidence, process)
    else:
        evidence = evidence._replace(silent=evidence.silent | {process})
    holder.crash_evidence_by_run[run] = evidence


def confirm_crash(evidence: CrashEvidence, process: SilentProcess) -> CrashEvidence:
    """Return the evidence with a process that is known to have ended."""
    return evidence._replace(
        addresses=evidence.addresses | {process.address},
        certain=True,
        confirmed=evidence.confirmed or process.start_confirmed,
        suspect=evidence.suspect or process.suspect,
        alone=evidence.alone or process.alone,
        undated=evidence.undated or process.undated,
        silent=evidence.silent - {process},
    )


def settle_silence(
    holder: Task, workers_by_id: Mapping[str, Worker], now: float
) -> bool:
    """Decide on processes that fell silent and whose workers have answered.

    A process that answers again was only cut off, so that its lapse is no
    evidence. It has ended if another one answers at its address. What an
    earlier coordinator noticed counts as noticed now.

    Args:
        holder: The task, or the first task of its gang.
        workers_by_id: All workers.
        now: Node-clock seconds.

    Returns:
        Whether the evidence has changed.
    """
    changed = False
    for run, evidence in list(holder.crash_evidence_by_run.items()):
        if evidence.silent and not math.isfinite(evidence.seen_at):
            evidence = evidence._replace(seen_at=now)
        for process in evidence.silent:
            has_ended = _has_ended(process, evidence.seen_at, workers_by_id)
            if has_ended is None:
                continue
            changed = True
            _log_outcome(holder, run, process, has_ended)
            if has_ended:
                evidence = confirm_crash(evidence, process)._replace(seen_at=now)
            else:
                evidence = evidence._replace(silent=evidence.silent - {process})
        if evidence.certain or evidence.silent:
            holder.crash_evidence_by_run[run] = evidence
        else:
            del holder.crash_evidence_by_run[run]
    return changed


def _has_ended(
    process: SilentProcess, seen_at: float, workers_by_id: Mapping[str, Worker]
) -> bool | None:
    """Return whether a process has ended, None if that is not known.

    Args:
        process: The process, which fell silent.
        seen_at: Time at which that was noticed, in node-clock seconds.
        workers_by_id: All workers.
    """
    worker = workers_by_id.get(process.worker_id)
    if worker is None:
        return _is_replaced(process, seen_at, workers_by_id.values())
    started_ms = worker.facts.process_started_ms
    if not process.started_ms or not started_ms:
        return None
    if started_ms > process.started_ms:
        return True
    # The answer to a poll of the time before may arrive later, and the entry
    # of an earlier process may still be there.
    has_answered = worker.polled_at > seen_at
    return started_ms != process.started_ms if has_answered else None


def _is_replaced(
    process: SilentProcess, seen_at: float, workers: Iterable[Worker]
) -> bool | None:
    """Return True if a worker under another id has taken over the address."""
    is_replaced = any(
        worker.facts.address == process.address and worker.polled_at > seen_at
        for worker in workers
    )
    return is_replaced or None


def _log_outcome(
    holder: Task, run: int, process: SilentProcess, has_ended: bool
) -> None:
    _logger.info(
        "silent worker has crashed"
        if has_ended
        else "silent worker was only cut off; its lapse is no evidence",
        extra={
            "job": holder.key.workflow_id,
            "task": f"{holder.key.occurrence}.{holder.key.step}.{holder.key.index}",
            "run": run,
            "worker": process.worker_id,
            "process_started_ms": process.started_ms,
        },
    )


def drop_silent_evidence(holder: Task) -> None:
    """Drop what is not known to be a crash.

    Args:
        holder: The task, or the first task of its gang.
    """
    holder.crash_evidence_by_run = {
        run: evidence._replace(silent=frozenset())
        for run, evidence in holder.crash_evidence_by_run.items()
        if evidence.certain
    }


def refute_evidence(holder: Task, history: CrashHistory) -> bool:
    """Mark the evidence of crashes that have a common cause as refuted.

    Returns:
        Whether any has been marked.
    """
    refuted = {
        run: evidence._replace(refuted=True)
        for run, evidence in holder.crash_evidence_by_run.items()
        if not evidence.refuted and history.has_common_cause(holder, evidence)
    }
    holder.crash_evidence_by_run.update(refuted)
    return bool(refuted)


def discount_starts(holder: Task) -> None:
    """Keep the runs with crashes, but not as ones that may be the cause."""
    holder.crash_evidence_by_run.update(
        {
            run: evidence._replace(suspect=False, undated=False)
            for run, evidence in holder.crash_evidence_by_run.items()
        }
    )


def valid_evidence_by_run(holder: Task) -> dict[int, CrashEvidence]:
    """Return the runs whose crashes are evidence against a task or gang."""
    return {
        run: evidence
        for run, evidence in holder.crash_evidence_by_run.items()
        if not evidence.refuted
    }
