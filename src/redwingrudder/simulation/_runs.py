"""Runs of a schedule: their durations, and members of a gang."""

import math
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTime

from ..workflows.model import EndKind, TaskKey
from ..workflows.run_times import COMPLETE_PERCENT
from ._schedule import RunPlan, Schedule, draw_run
from ._worker_process import RunBehaviour, WorkerProcess

GANG_TIMEOUT_S = 3.0  # until a member ends if the others have not started
BROKEN_AFTER_S = 0.2  # from the end of a member to that of the others


class _Member(NamedTuple):
    """A run of a gang's member."""

    process: WorkerProcess
    key: TaskKey
    run: int


class DrawnRuns(RunBehaviour):
    """Ends runs as their schedule has drawn it.

    A gang works only while all of its members run. A member ends if the
    others do not start in time, or after the end of another one.

    Args:
        clock: Clock of the simulation.
        schedule: The schedule.

    Attributes:
        early: Runs of second steps that began before the first step was done.
    """

    def __init__(self, clock: IReactorTime, schedule: Schedule) -> None:
        self._clock = clock
        self._seed = schedule.seed
        self.early: list[tuple[TaskKey, int]] = []
        self._job_by_id = {job.workflow_id: job for job in schedule.jobs}
        self._done_keys: set[TaskKey] = set()
        self._gang_size_by_id = {
            job.workflow_id: job.tasks for job in schedule.jobs if job.gang
        }
        self._run_s_by_id = {
            job.workflow_id: job.run_s for job in schedule.jobs if job.run_s is not None
        }
        self._checkpoint_interval_s_by_id = {
            job.workflow_id: job.checkpoint_interval_s for job in schedule.jobs
        }
        self._members_by_gang_run: dict[tuple[str, int], dict[int, _Member]] = {}

    def stop_duration_s(self, key: TaskKey, run: int) -> float:
        """See base class."""
        return self._draw(key, run).stop_s

    def checkpoint_interval_s(self, key: TaskKey) -> float | None:
        """See base class."""
        return self._checkpoint_interval_s_by_id.get(key.workflow_id)

    def progress_percent(self, key: TaskKey, elapsed_s: float) -> float:
        """See base class."""
        run_s = self._run_s_by_id.get(key.workflow_id)
        if run_s is None:
            return super().progress_percent(key, elapsed_s)
        if math.isinf(run_s):
            return COMPLETE_PERCENT
        return math.floor(min(COMPLETE_PERCENT, 100 * elapsed_s / run_s))

    def begun(self, process: WorkerProcess, key: TaskKey, run: int) -> None:
        """See base class."""
        if key.step and not self._is_first_step_done(key):
            self.early.append((key, run))
        size = None if key.step else self._gang_size_by_id.get(key.workflow_id)
        if size is None:
            plan = self._draw(key, run)
            if math.isinf(plan.duration_s):
                return
            self._finish_later(_Member(process, key, run), plan.duration_s, plan.kind)
            return
        members = self._members(key, run)
        members[key.index] = _Member(process, key, run)
        if len(members) == size:
            self._finish_gang_later(members, self._draw(key._replace(index=0), run))
        else:
            self._clock.callLater(
                GANG_TIMEOUT_S, self._end_if_alone, members[key.index], size
            )

    def ended(
        self, process: WorkerProcess, key: TaskKey, run: int, kind: EndKind
    ) -> None:
        """See base class."""
        if kind is EndKind.DONE:
            self._done_keys.add(key)
        if key.step or key.workflow_id not in self._gang_size_by_id:
            return
        members = self._members(key, run)
        member = members.get(key.index)
        if member is None or member.process is not process:
            return
        del members[key.index]
        if kind is not EndKind.DONE:
            for other in members.values():
                self._finish_later(other, BROKEN_AFTER_S, EndKind.BROKEN)

    def _draw(self, key: TaskKey, run: int) -> RunPlan:
        plan = draw_run(self._seed, key.workflow_id, key.index, run, key.step)
        run_s = self._run_s_by_id.get(key.workflow_id)
        if run_s is None:
            return plan
        return plan._replace(duration_s=run_s, kind=EndKind.DONE)

    def _is_first_step_done(self, key: TaskKey) -> bool:
        """Return whether all tasks are done, or one member of a gang."""
        job = self._job_by_id[key.workflow_id]
        keys = {key._replace(step=0, index=index) for index in range(job.tasks)}
        done = keys & self._done_keys
        return bool(done) if job.gang else done == keys

    def _members(self, key: TaskKey, run: int) -> dict[int, _Member]:
        return self._members_by_gang_run.setdefault((key.workflow_id, run), {})

    def _finish_gang_later(self, members: dict[int, _Member], plan: RunPlan) -> None:
        first = min(members)
        for index, member in members.items():
            # One member fails; the others end with it.
            kind = plan.kind if index == first else EndKind.DONE
            if plan.kind is EndKind.DONE or index == first:
                self._finish_later(member, plan.duration_s, kind)

    def _finish_later(self, member: _Member, delay_s: float, kind: EndKind) -> None:
        self._clock.callLater(
            delay_s, member.process.finish, member.key, member.run, kind
        )

    def _end_if_alone(self, member: _Member, size: int) -> None:
        members = self._members(member.key, member.run)
        if members.get(member.key.index) == member and len(members) < size:
            member.process.finish(member.key, member.run, EndKind.ALONE)
