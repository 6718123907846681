"""The rules of a planning pass that keep tasks back, one after the other."""

import enum
import math
from collections.abc import Iterable
from typing import NamedTuple

from ._deferral import deferral_ends_at
from ._wait_room import FleetRoom, common_workers, workers_by_rack
from .crashes import is_suspected, isolation_candidates, startable_suspects
from .late_starts import awaited_silent_workers, unconfirmed_workers
from .placement import failures_since, permitted_workers, preferred_workers
from .planner import SOUND_WORKER_WAIT_S
from .room import Room, find_room, may_find_room
from .run_times import RunTimeEstimates, is_slow
from .state import SUSPECT_S, Stage, Task, Worker

# Number of waiting tasks of a step that are examined, unless it is a gang.
MAX_TASKS_OF_STEP = 100


class WaitReason(enum.StrEnum):
    """What keeps a task back that has room."""

    NOT_PLANNED = "not_planned"
    UNPROVEN_RUN = "unproven_run"
    GANG_MEMBERS = "gang_members"
    OLDER_RUN = "older_run"
    SILENT_WORKER = "silent_worker"
    SUSPECTED = "suspected"
    QUARANTINE = "quarantine"
    WORKERS_REST = "workers_rest"
    FAILURES = "failures"
    SLOW_WORKERS = "slow_workers"
    DATA = "data"
    ONE_RACK = "one_rack"
    ADVICE = "advice"
    HELD_START = "held_start"
    RESERVED = "reserved"
    OTHER = "other"


class Hold(NamedTuple):
    """What keeps a task back.

    Attributes:
        reason: The reason.
        worker_id: Worker that the reason is about, "" for none.
        ends_in_s: Seconds until the reason ends at the latest, None if that
            is unknown.
    """

    reason: WaitReason
    worker_id: str = ""
    ends_in_s: float | None = None


class _StepRoom(NamedTuple):
    """Where tasks of a step may start.

    Attributes:
        hold: What keeps them back, unless a task is held for itself.
        best: Worker that a pass would choose for any task. None if it chooses
            none, or if no task of the step has a late start.
        worker_ids: Workers with room that a pass may choose, if there is one.
    """

    hold: Hold
    best: Worker | None = None
    worker_ids: frozenset[str] = frozenset()


class StepCheck:
    """Examines steps at one moment, and keeps what they have in common.

    It changes nothing, but that late starts which have expired are dropped.

    Args:
        workers_by_id: All workers.
        run_times: Expected run times.
        now: Node-clock seconds.
    """

    def __init__(
        self,
        workers_by_id: dict[str, Worker],
        run_times: RunTimeEstimates,
        now: float,
    ) -> None:
        self._steps_with_room = 0
        self._workers_by_id = workers_by_id
        self._run_times = run_times
        self._now = now
        workers = workers_by_id.values()
        self._room = FleetRoom(workers, now)
        self._suspects = [worker for worker in workers if worker.is_suspect(now)]
        self._older_run_workers = {
            key: worker.facts.worker_id
            for worker in workers
            for key in worker.unwanted_keys
        }

    @property
    def examined_steps(self) -> int:
        """Number of steps, and of different demands, that were examined."""
        return self._steps_with_room + self._room.demands

    def examine(self, stage: Stage, may_plan: bool) -> list[tuple[Task, Hold]]:
        """Return the tasks of a step that wait although there is room.

        So does a task whose run may have ended on a worker that does not
        answer.

        Args:
            stage: The step.
            may_plan: Whether planning passes are made.
        """
        fitting = self._room.fitting(stage)
        if not fitting:
            return []
        self._steps_with_room += 1
        unproven = [task for task in stage.tasks if self._is_unproven(task)]
        waiting = [task for task in stage.tasks if task.state == "waiting"]
        if not stage.spec.gang:
            unproven = unproven[:MAX_TASKS_OF_STEP]
            waiting = waiting[:MAX_TASKS_OF_STEP]
        wanted = len(unproven) + len(waiting)
        count = self._room.count(stage, wanted, fitting)
        if not count or (stage.spec.gang and count < wanted):
            return []
        holds = [
            (task, Hold(WaitReason.UNPROVEN_RUN, task.worker_id)) for task in unproven
        ]
        if not waiting:
            return holds[:count]
        if not may_plan:
            holds += [(task, Hold(WaitReason.NOT_PLANNED)) for task in waiting]
        elif stage.spec.gang:
            hold = self._gang_hold(stage, waiting, fitting)
            holds += [(task, hold) for task in waiting]
        else:
            holds += self._single_holds(stage, waiting, fitting)
        return holds[:count]

    def _is_unproven(self, task: Task) -> bool:
        """Return whether nothing proves that the run of a task goes on."""
        worker = self._workers_by_id.get(task.worker_id)
        return task.placed and worker is not None and not worker.reachable

    def _gang_hold(
        self, stage: Stage, waiting: list[Task], fitting: list[Worker]
    ) -> Hold:
        for member in stage.tasks:
            if member.state != "waiting":
                return Hold(WaitReason.GANG_MEMBERS, member.worker_id)
        holds = (self._task_hold(task) for task in waiting)
        first = next((hold for hold in holds if hold is not None), None)
        if first is not None:
            return first
        if not startable_suspects(stage, waiting, self._workers_by_id):
            return Hold(WaitReason.SUSPECTED)
        room = self._find_step_room(waiting, fitting)
        return self._unconfirmed_hold(waiting, room) or room.hold

    def _single_holds(
        self, stage: Stage, waiting: list[Task], fitting: list[Worker]
    ) -> list[tuple[Task, Hold]]:
        """Return what keeps each task back.

        Those that are kept back for themselves come first.
        """
        held, others = [], []
        for task in waiting:
            hold = self._task_hold(task)
            if hold is None:
                others.append(task)
            else:
                held.append((task, hold))
        startable = startable_suspects(stage, others, self._workers_by_id)
        startable_keys = {task.key for task in startable}
        sibling_hold = self._sibling_hold(stage)
        room_by_kind: dict[tuple[bool, bool], _StepRoom] = {}
        for task in others:
            if task.key not in startable_keys:
                held.append((task, sibling_hold))
                continue
            kind = (bool(task.failures), is_suspected(task))
            if kind not in room_by_kind:
                room_by_kind[kind] = self._find_step_room([task], fitting)
            room = room_by_kind[kind]
            held.append((task, self._unconfirmed_hold([task], room) or room.hold))
        return held

    def _sibling_hold(self, stage: Stage) -> Hold:
        suspects = [task for task in stage.tasks if is_suspected(task)]
        placed = [task.worker_id for task in suspects if task.placed]
        return Hold(WaitReason.SUSPECTED, *placed[:1])

    def _task_hold(self, task: Task) -> Hold | None:
        """Return what keeps a task back whatever its step and the workers."""
        worker_id = self._older_run_workers.get(task.key)
        if worker_id is not None:
            return Hold(WaitReason.OLDER_RUN, worker_id)
        if not task.late_starts_by_worker:
            return None
        silent_ids = awaited_silent_workers(task, self._workers_by_id, self._now)
        if not silent_ids:
            return None
        return self._late_start_hold(WaitReason.SILENT_WORKER, task, silent_ids)

    def _late_start_hold(
        self, reason: WaitReason, task: Task, worker_ids: Iterable[str]
    ) -> Hold:
        """Name the worker whose late start may have an effect for longest."""
        starts_by_worker = task.late_starts_by_worker
        worker_id = max(worker_ids, key=lambda w: starts_by_worker[w].until)
        return Hold(reason, worker_id, starts_by_worker[worker_id].until - self._now)

    def _find_step_room(self, tasks: list[Task], fitting: list[Worker]) -> _StepRoom:
        """Return where tasks may start, by the rules of a pass in their order.

        Args:
            tasks: Equal tasks of a step that need room together.
            fitting: Workers on which one of the tasks fits.
        """
        stage = tasks[0].stage
        usable = self._room.usable(stage, fitting)
        if not self._room.has_for(tasks, usable):
            return _StepRoom(self._resting_hold(stage, fitting))
        eligible = self._room.eligible(stage)
        candidates = usable
        if len(eligible) < self._room.count_usable(stage):
            candidates = common_workers(usable, eligible)
        if not self._room.has_for(tasks, candidates):
            return _StepRoom(self._left_out_hold(stage, usable))
        if is_suspected(tasks[0]):
            count = len(tasks)
            candidates = isolation_candidates(
                candidates, stage, count, set(), self._now
            )
            if not self._room.has_for(tasks, candidates):
                return _StepRoom(Hold(WaitReason.SUSPECTED))
        elif self._awaits_sound_worker(tasks):
            wait_s = _sound_worker_wait_s(stage)
            ends_in_s = stage.failed_at + wait_s - self._now
            return _StepRoom(Hold(WaitReason.FAILURES, "", ends_in_s))
        near_data = self._near_data(stage, eligible)
        if near_data is not eligible:
            candidates = common_workers(candidates, near_data)
        if not self._room.has_for(tasks, candidates):
            left_s = self._deferral_left_s(stage)
            ends_in_s = self._data_wait_left_s(stage)
            ends_in_s = ends_in_s if left_s is None else min(left_s, ends_in_s)
            return _StepRoom(Hold(WaitReason.DATA, "", ends_in_s))
        if self._awaits_one_rack(tasks, candidates, near_data):
            ends_in_s = self._deferral_left_s(stage)
            return _StepRoom(Hold(WaitReason.ONE_RACK, "", ends_in_s))
        if stage.workflow.policy.advised:
            candidates = permitted_workers(stage, candidates, self._now)
            if not self._room.has_for(tasks, candidates):
                retry_in_s = stage.advice.retry_at - self._now
                ends_in_s = retry_in_s if retry_in_s > 0.0 else None
                return _StepRoom(Hold(WaitReason.ADVICE, "", ends_in_s))
        count = len(tasks) if stage.spec.gang else 1
        if find_room(stage, count, candidates) is not Room.NOW:
            return self._step_room(WaitReason.RESERVED, stage, candidates)
        return self._step_room(WaitReason.OTHER, stage, candidates)

    def _step_room(
        self, reason: WaitReason, stage: Stage, workers: list[Worker]
    ) -> _StepRoom:
        ends_in_s = None
        if reason is WaitReason.RESERVED:
            ends_in_s = self._deferral_left_s(stage)
        hold = Hold(reason, "", ends_in_s)
        if not any(task.late_starts_by_worker for task in stage.tasks):
            return _StepRoom(hold)
        best = min(workers, key=lambda w: (is_slow(w), w.is_suspect(self._now)))
        ids = frozenset(worker.facts.worker_id for worker in workers)
        return _StepRoom(hold, best, ids)

    def _resting_hold(self, stage: Stage, fitting: list[Worker]) -> Hold:
        """Return why workers with room get no new runs of a step."""
        workflow_id = stage.workflow.workflow.workflow_id
        ends = [(w.quarantine_ends_at(workflow_id), w) for w in fitting]
        quarantined = [end for end in ends if end[0] > self._now]
        if quarantined:
            ends_at, first = min(quarantined, key=lambda end: end[0])
            ends_in_s = ends_at - self._now
            return Hold(WaitReason.QUARANTINE, first.facts.worker_id, ends_in_s)
        resting = [worker for worker in fitting if not worker.usable(self._now)]
        for worker in resting:
            if worker.observes_suspect:
                return Hold(WaitReason.SUSPECTED, worker.facts.worker_id)
        without_starts = [w for w in resting if w.start_trials.resting]
        if without_starts:
            first = min(without_starts, key=lambda w: w.start_trials.rest_until)
            ends_in_s = max(first.start_trials.rest_until - self._now, 0.0)
            return Hold(WaitReason.WORKERS_REST, first.facts.worker_id, ends_in_s)
        return Hold(WaitReason.WORKERS_REST, *[w.facts.worker_id for w in resting[:1]])

    def _left_out_hold(self, stage: Stage, usable: list[Worker]) -> Hold:
        """Return why a step does not use the workers with room."""
        denied = [w for w in usable if stage.advice.denies(w.facts)]
        if stage.workflow.policy.advised and denied:
            return Hold(WaitReason.ADVICE, denied[0].facts.worker_id)
        if any(task.failures for task in stage.tasks):
            ends_in_s = max(stage.failed_at + SUSPECT_S - self._now, 0.0)
            return Hold(WaitReason.FAILURES, usable[0].facts.worker_id, ends_in_s)
        ends_in_s = self._deferral_left_s(stage)
        return Hold(WaitReason.SLOW_WORKERS, usable[0].facts.worker_id, ends_in_s)

    def _deferral_left_s(self, stage: Stage) -> float | None:
        """Return for how long a step still waits for better room at the most.

        Returns:
            The time in seconds, None if there is no limit at present.
        """
        left_s = deferral_ends_at(stage) - self._now
        return None if math.isinf(left_s) else max(left_s, 0.0)

    def _awaits_sound_worker(self, tasks: list[Task]) -> bool:
        """Return whether an attempt waits for a worker that proved sound."""
        stage = tasks[0].stage
        if self._now - stage.failed_at >= _sound_worker_wait_s(stage):
            return False
        if not stage.spec.gang and not tasks[0].failures:
            return False
        return failures_since(stage, self._suspects) is not None

    def _data_wait_left_s(self, stage: Stage) -> float:
        """Return for how long a step still waits for workers near its data."""
        if not stage.spec.data_rack or stage.ready_at is None:
            return 0.0
        waited_s = self._now - stage.ready_at
        return self._run_times.data_wait_s(stage) - waited_s

    def _near_data(self, stage: Stage, eligible: list[Worker]) -> list[Worker]:
        """Return the workers that the step waits for near its input data."""
        if self._data_wait_left_s(stage) <= 0.0:
            return eligible
        rack = stage.spec.data_rack
        in_rack = [worker for worker in eligible if worker.facts.rack == rack]
        if stage.spec.gang and not may_find_room(stage, stage.spec.tasks, in_rack):
            return eligible
        return in_rack or eligible

    def _awaits_one_rack(
        self, tasks: list[Task], candidates: list[Worker], near_data: list[Worker]
    ) -> bool:
        """Return whether a gang waits for one rack to have room for it.

        Args:
            tasks: The tasks of the gang.
            candidates: Workers with room.
            near_data: These and others that may have room later.
        """
        stage = tasks[0].stage
        if not (stage.spec.gang and stage.spec.same_rack and len(tasks) > 1):
            return False
        if any(
            self._room.has_for(tasks, in_rack)
            for in_rack in workers_by_rack(candidates)
        ):
            return False
        return any(
            may_find_room(stage, len(tasks), in_rack)
            for in_rack in workers_by_rack(near_data)
        )

    def _unconfirmed_hold(self, tasks: list[Task], room: _StepRoom) -> Hold | None:
        """Return the hold of a start that has to wait for an answer."""
        for task in tasks if room.best else ():
            if not task.late_starts_by_worker:
                continue
            target = self._likely_worker(task, room)
            unconfirmed = unconfirmed_workers(
                task, target, self._workers_by_id, self._now
            )
            if unconfirmed:
                return self._late_start_hold(WaitReason.HELD_START, task, unconfirmed)
        return None

    def _likely_worker(self, task: Task, room: _StepRoom) -> Worker:
        """Return the worker that a pass would choose for a task."""
        best = room.best
        for worker_id in preferred_workers(task.stage, task, self._now):
            if worker_id in room.worker_ids:
                preferred = self._workers_by_id[worker_id]
                is_worse = preferred.is_suspect(self._now) or is_slow(preferred)
                if not is_worse or best.is_suspect(self._now) or is_slow(best):
                    return preferred
        return best


def _sound_worker_wait_s(stage: Stage) -> float:
    """Return how long after a failure a step waits for proved workers."""
    return SUSPECT_S if stage.spec.gang else SOUND_WORKER_WAIT_S
