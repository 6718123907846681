"""Which waiting tasks start now, where, and which runs free capacity."""

import abc
from collections.abc import Iterable
from typing import NamedTuple

from .model import Resources, TaskKey
from .ordering import (
    SlackOrder,
    StageOrder,
    slack_s,
)
from .placement import (
    CapacitySource,
    IdleCapacity,
    PlacementOption,
    PreemptibleCapacity,
    ReleasedCapacity,
    choose,
    eligible,
    fits_when_empty,
    stop_cost,
    unadvised,
    usable_workers,
)
from .run_times import RunTimeEstimates, is_slow
from .state import Stage, Task, Worker, WorkflowProgress, resources_used

ENTITLED_RANK = -1  # urgent work within its organisation's guarantee
# A step of a middle priority preempts lower ones in its last seconds of slack.
PREEMPT_SLACK_S = 2.0
# Steps in waiting that capacity is kept free for; more would idle the fleet.
CLAIMS_LIMIT = 3
# Share of the run time that a task waits for a worker next to its data, as
# elsewhere it takes a multiple of the run time.
DATA_WAIT_SHARE = 1.0
# Gangs that are stopped one after the other for a step, each after a new check
# for capacity; then all the rest is stopped at once. It bounds a pass's time.
VICTIM_GANGS_LIMIT = 4
# Workers named in a question to the advice service, which takes time for each.
ADVICE_SPARE = 2  # for each waiting task
ADVICE_LEAST = 8
ADVICE_MOST = 30


class SchedulingPlan(NamedTuple):
    """Tasks to start and stop, and workers to ask the advice service about."""

    starts: tuple[tuple[Task, Worker], ...]
    stops: tuple[Task, ...]
    questions: tuple[tuple[Stage, tuple[str, ...]], ...] = ()


class Planner(abc.ABC):
    """Decides on starts and stops from the state alone."""

    @abc.abstractmethod
    def plan(
        self,
        progress: Iterable[WorkflowProgress],
        workers: list[Worker],
        guaranteed_by_organisation: dict[str, int],
        now: float,
        wall: float,
    ) -> SchedulingPlan:
        """Return the next decision.

        Args:
            progress: Workflows that have not ended.
            workers: All known workers.
            guaranteed_by_organisation: Accelerators for urgent work.
            now: Steady-clock seconds.
            wall: Unix seconds.
        """


class PriorityPlanner(Planner):
    """Strict priorities, guarantees, claims for steps that wait for capacity.

    Args:
        run_times: Expected run times.
        order: Order of steps of equal rank.
    """

    def __init__(
        self, run_times: RunTimeEstimates, order: StageOrder | None = None
    ) -> None:
        self._run_times = run_times
        self._order = order or SlackOrder(run_times)

    def plan(
        self,
        progress: Iterable[WorkflowProgress],
        workers: list[Worker],
        guaranteed_by_organisation: dict[str, int],
        now: float,
        wall: float,
    ) -> SchedulingPlan:
        """See base class."""
        active = list(progress)
        for worker in workers:
            worker.clear_claims()
        entitled = entitled_organisations(active, guaranteed_by_organisation)
        stages = ready_stages(active, now, wall)
        ranks = {id(stage): rank(stage, entitled) for stage in stages}
        stages.sort(key=lambda s: (ranks[id(s)], *self._order.key(s, now)))
        pass_ = _Pass(workers, entitled, self._run_times, now)
        for stage in stages:
            pass_.place(stage, ranks[id(stage)])
        return SchedulingPlan(
            tuple(pass_.starts), tuple(pass_.stops.values()), tuple(pass_.questions)
        )


class _Pass:
    """One planning pass; collects starts and stops."""

    def __init__(
        self,
        workers: list[Worker],
        entitled: frozenset[str],
        run_times: RunTimeEstimates,
        now: float,
    ) -> None:
        self.starts: list[tuple[Task, Worker]] = []
        self.stops: dict[TaskKey, Task] = {}
        self.questions: list[tuple[Stage, tuple[str, ...]]] = []
        self._workers = workers
        self._entitled = entitled
        self._run_times = run_times
        self._now = now
        self._claims = 0
        self._usable_by_kind: dict[
            tuple[str, str], tuple[list[Worker], list[Worker]]
        ] = {}
        self._missing_by_pool: dict[str, list[tuple[Resources, int]]] = {}

    def place(self, stage: Stage, stage_rank: int) -> None:
        waiting = waiting_tasks(stage)
        if not waiting:
            return
        usable, sound = self._usable(stage)
        candidates = eligible(stage, usable, sound, self._now)
        if stage.workflow.workflow.policy.advised:
            self._ask(stage, len(waiting), candidates, usable)
        if not candidates:
            return
        near = self._near_data(stage, candidates)
        options = self._choose_idle(stage, waiting, near)
        self._start(stage, waiting, options)
        rest = waiting[len(options) :]
        if not rest:
            return
        if self._may_preempt(stage, stage_rank):
            source = PreemptibleCapacity(
                self._now, stage_rank, lambda s: rank(s, self._entitled), self.stops
            )
            self._make_room(stage, rest, candidates, source)
        elif self._claims < CLAIMS_LIMIT and not stage.spec.service:
            if stage.spec.gang and not fits_when_empty(stage, len(rest), candidates):
                return
            self._claims += 1
            released = ReleasedCapacity(self._now, self._run_times)
            self._claim(stage, choose(stage, rest, near, released, self._now))

    def _usable(self, stage: Stage) -> tuple[list[Worker], list[Worker]]:
        """Return the usable workers, and those of them that are not slow."""
        kind = (stage.workflow.workflow.policy.pool, stage.spec.worker_label)
        if kind not in self._usable_by_kind:
            usable = usable_workers(*kind, self._workers, self._now)
            sound = [worker for worker in usable if not is_slow(worker)]
            self._usable_by_kind[kind] = usable, sound
        return self._usable_by_kind[kind]

    def _choose_idle(
        self, stage: Stage, waiting: list[Task], workers: list[Worker]
    ) -> list[PlacementOption]:
        """Choose idle capacity; it only shrinks within a pass.

        What did not fit once is not looked for again, which bounds the cost
        of a pass while many steps wait.
        """
        demand = resources_used(stage.spec)
        count = len(waiting) if stage.spec.gang else 1
        pool = stage.workflow.workflow.policy.pool
        whole_pool = self._usable_by_kind.get((pool, ""))
        remembered = whole_pool is not None and workers is whole_pool[1]
        missing_here = self._missing_by_pool.setdefault(pool, [])
        if remembered and any(
            demand.covers(missing) and count >= missing_count
            for missing, missing_count in missing_here
        ):
            return []
        options = choose(stage, waiting, workers, IdleCapacity(), self._now)
        restricted = stage.spec.same_rack or stage.spec.worker_limit
        if remembered and not options and not restricted:
            missing_here.append((demand, count))
        return options

    def _ask(
        self,
        stage: Stage,
        wanted: int,
        permitted: list[Worker],
        usable: list[Worker],
    ) -> None:
        """Ask about a few likely workers; each one named costs time."""
        if stage.question_open:
            return
        most = min(max(ADVICE_SPARE * wanted, ADVICE_LEAST), ADVICE_MOST)
        demand = resources_used(stage.spec)
        roomy = [w for w in permitted if w.free.covers(demand)]
        if len(roomy) >= min(wanted, ADVICE_LEAST):
            return
        asked = unadvised(stage, usable, self._now)
        asked.sort(key=lambda w: (not w.free.covers(demand), -w.free.accelerators))
        if asked:
            names = tuple(worker.facts.worker_id for worker in asked[:most])
            self.questions.append((stage, names))

    def _near_data(self, stage: Stage, candidates: list[Worker]) -> list[Worker]:
        """Return the workers beside the data while waiting for them pays."""
        rack = stage.spec.data_rack
        waited = self._now - (stage.ready_at or self._now)
        if not rack or waited > DATA_WAIT_SHARE * self._run_times.expected_s(stage):
            return candidates
        near = [worker for worker in candidates if worker.facts.rack == rack]
        if stage.spec.gang and not fits_when_empty(stage, stage.spec.tasks, near):
            return candidates
        return near or candidates

    def _may_preempt(self, stage: Stage, stage_rank: int) -> bool:
        if stage_rank <= 0:
            return True
        return 0.0 <= slack_s(stage, self._run_times, self._now) < PREEMPT_SLACK_S

    def _make_room(
        self,
        stage: Stage,
        rest: list[Task],
        candidates: list[Worker],
        source: CapacitySource,
    ) -> None:
        near = self._near_data(stage, candidates)
        options: list[PlacementOption] = []
        for _ in range(VICTIM_GANGS_LIMIT):
            options = choose(stage, rest, near, source, self._now)
            if len(options) < len(rest) and near is not candidates:
                options = choose(stage, rest, candidates, source, self._now) or options
            victims = [victim for option in options for victim in option.victims]
            gangs = [victim for victim in victims if victim.stage.spec.gang]
            if not gangs:
                break
            # The end of one gang frees capacity on many workers, so the rest
            # of the options is chosen anew before another gang is stopped.
            self._stop(min(gangs, key=lambda task: stop_cost(task, self._now)))
        for option in options:
            for victim in option.victims:
                self._stop(victim)
        self._claim(stage, options)

    def _stop(self, victim: Task) -> None:
        """Stop a run, and with it the other members of a gang."""
        members = victim.stage.tasks if victim.stage.spec.gang else [victim]
        for task in members:
            if task.state in ("starting", "running"):
                self.stops[task.key] = task

    def _claim(self, stage: Stage, options: list[PlacementOption]) -> None:
        demand = resources_used(stage.spec)
        for option in options:
            option.worker.claim(demand)

    def _start(
        self, stage: Stage, tasks: list[Task], options: list[PlacementOption]
    ) -> None:
        """Note starts and count them as claims within this pass."""
        pairs = zip(tasks, options, strict=False)
        self.starts.extend((task, option.worker) for task, option in pairs)
        self._claim(stage, options)


def rank(stage: Stage, entitled: frozenset[str]) -> int:
    """Return the priority of a step; lower may preempt higher."""
    workflow = stage.workflow.workflow
    if workflow.policy.priority == 0 and workflow.organisation in entitled:
        return ENTITLED_RANK
    return workflow.policy.priority


def entitled_organisations(
    active: list[WorkflowProgress], guaranteed_by_organisation: dict[str, int]
) -> frozenset[str]:
    """Return the organisations whose urgent work fits their guarantee."""
    needed: dict[str, int] = {}
    for progress in active:
        workflow = progress.workflow
        if workflow.policy.priority == 0 and progress.ended_at is None:
            total = sum(s.tasks * s.demand.accelerators for s in workflow.steps)
            needed[workflow.organisation] = needed.get(workflow.organisation, 0) + total
    return frozenset(
        name
        for name, total in needed.items()
        if total <= guaranteed_by_organisation.get(name, 0)
    )


def ready_stages(
    active: list[WorkflowProgress], now: float, wall: float
) -> list[Stage]:
    """Return the steps with tasks that may start."""
    ready = []
    for progress in active:
        if progress.ended_at is not None:
            continue
        for occurrence in progress.occurrences:
            if occurrence.due_at > wall:
                break
            for stage in occurrence.stages:
                if _startable(stage, occurrence.stages):
                    if stage.ready_at is None:
                        stage.ready_at = now
                    ready.append(stage)
    return ready


def _startable(stage: Stage, stages: list[Stage]) -> bool:
    if not any(task.state == "waiting" for task in stage.tasks):
        return False
    return all(stages[index].done for index in stage.spec.after)


def waiting_tasks(stage: Stage) -> list[Task]:
    """Return the tasks to start: of a gang all or none.

    The members of a gang share a run, so none may be left from the last one.
    """
    if stage.spec.gang:
        ready = all(task.state == "waiting" for task in stage.tasks)
        return list(stage.tasks) if ready else []
    return [task for task in stage.tasks if task.state == "waiting"]
