"""Crashes of workers, and which of them are evidence against a task.

Workers that crash at the same moment may have a common cause outside the tasks
that they run. The moment of a crash is known only by the last sign of life of
the worker before it, as workers come back one after the other.
"""

import math
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from .model import TaskKey
from .state import CrashEvidence, Task, Worker

# An idle worker answers once a second, so that it has crashed within this time
# after its last answer.
MAX_SILENCE_S = 1.5
# A worker that has just confirmed a start answers every quarter of a second.
MAX_BUSY_SILENCE_S = 0.75
# Workers that crash together after they have confirmed starts answered last
# within this time of each other.
SAME_START_S = 0.3
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

    def is_beside_other_suspects(self, holder: Task, evidence: CrashEvidence) -> bool:
        """Return whether workers of other suspects crashed at that moment."""
        return any(
            abs(crash.heard_at - evidence.first_heard_at) <= SAME_START_S
            and any(key.workflow_id != holder.key.workflow_id for key in crash.causes)
            for crash in self._others_then(holder, evidence)
        )

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


def add_evidence(
    holder: Task, run: int, crash: WorkerCrash, confirmed: bool, suspect: bool
) -> None:
    """Count a crash under a run; several under one run of a gang count once.

    Args:
        holder: The task, or the first task of its gang.
        run: Number of the run.
        crash: The crash.
        confirmed: Whether the worker had confirmed the start and has ended.
        suspect: Whether the run may be the cause.
    """
    known = holder.crash_evidence_by_run.get(run)
    if known is None:
        known = CrashEvidence(
            math.inf, -math.inf, 0.0, frozenset(), False, False, False
        )
    holder.crash_evidence_by_run[run] = known._replace(
        first_heard_at=min(known.first_heard_at, crash.heard_at),
        ended_by=max(known.ended_by, crash.ended_by),
        seen_at=crash.seen_at,
        worker_ids=known.worker_ids | {crash.worker_id},
        confirmed=known.confirmed or confirmed,
        suspect=known.suspect or suspect,
    )


def refute_evidence(holder: Task, history: CrashHistory) -> bool:
    """Drop the evidence of crashes that have a common cause.

    Returns:
        Whether any has been dropped.
    """
    refuted = {
        run: evidence._replace(refuted=True)
        for run, evidence in holder.crash_evidence_by_run.items()
        if not evidence.refuted and history.has_common_cause(holder, evidence)
    }
    holder.crash_evidence_by_run.update(refuted)
    return bool(refuted)


def note_other_suspects(holder: Task, history: CrashHistory) -> bool:
    """Note the evidence beside which workers of other suspects crashed.

    Returns:
        Whether any has been noted.
    """
    noted = {
        run: evidence._replace(beside_suspects=True)
        for run, evidence in holder.crash_evidence_by_run.items()
        if not evidence.beside_suspects
        and history.is_beside_other_suspects(holder, evidence)
    }
    holder.crash_evidence_by_run.update(noted)
    return bool(noted)


def discount_starts(holder: Task) -> None:
    """Keep the runs with crashes, but not as ones that may be the cause."""
    holder.crash_evidence_by_run.update(
        {
            run: evidence._replace(suspect=False)
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
