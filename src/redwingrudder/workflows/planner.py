"""Planning passes: which tasks start where, and which runs are preempted."""

import abc
import math
from collections.abc import Iterable
from typing import NamedTuple

from ._deferral import Deferral, DeferralEnd, DeferralLimit
from .advice_requests import AdviceNeed
from .crashes import is_suspected, isolation_candidates, startable_suspects
from .late_starts import (
    HeldStart,
    awaited_silent_workers,
    match_workers,
    unconfirmed_workers,
)
from .model import Resources, TaskKey
from .ordering import (
    SlackOrder,
    StageOrder,
    slack_s,
)
from .placement import (
    CapacitySource,
    IdleCapacity,
    LentCapacity,
    PlacementOption,
    PreemptibleCapacity,
    ReleasedCapacity,
    choose_options,
    eligible_workers,
    failures_since,
    permitted_workers,
    present_workers,
    stop_cost,
    usable_workers,
    without_quarantined,
    without_trials,
)
from .room import (
    Room,
    count_fitting,
    find_room,
    max_tasks_on_worker,
    may_find_room,
)
from .run_times import LONG_RUN_FACTOR, RunTimeEstimates, is_slow
from .state import (
    SUSPECT_S,
    Stage,
    Task,
    Worker,
    WorkflowProgress,
    resources_used,
)

# Priority of urgent queues.
URGENT_PRIORITY = 0
# Rank of urgent work that fits its organisation's guarantee. It is placed
# before, and may preempt, all other work.
GUARANTEED_RANK = -1
# A step that is not of an urgent queue may preempt less urgent work only if
# its slack is below this and it is not late yet.
PREEMPT_SLACK_S = 2.0
# Time for which a step with a failed run waits for idle capacity of workers
# that have proved sound since failures began.
SOUND_WORKER_WAIT_S = 2.0
# Number of waiting steps for which a pass reserves capacity. Reserving for
# more steps would leave too much of the fleet idle.
MAX_RESERVING_STEPS = 3
# Multiple of a step's room that has to be idle for it to start where it runs
# slower.
MIN_SPARE_ROOM = 2
# Number of gangs that a pass stops one at a time for a step, choosing the
# options anew after each. The remaining victims are then stopped together,
# which bounds the duration of a pass.
MAX_VICTIM_GANGS = 4


class SchedulingPlan(NamedTuple):
    """Result of a planning pass.

    Attributes:
        starts: Tasks to start, each with its worker.
        stops: Tasks whose runs are preempted.
        advice_need: The step that the advice service is asked about next, None
            if none is.
        held_starts: Tasks that could start but for an earlier start that a
            worker may still carry out.
        advice_waits: Steps with room that wait for advice.
        deferral_ends: Steps that start as they have waited for better room
            for as long as they may, and what they use.
    """

    starts: tuple[tuple[Task, Worker], ...]
    stops: tuple[Task, ...]
    advice_need: AdviceNeed | None = None
    held_starts: tuple[HeldStart, ...] = ()
    advice_waits: tuple[Stage, ...] = ()
    deferral_ends: tuple[tuple[Stage, DeferralEnd], ...] = ()


class Planner(abc.ABC):
    """Plans starts and preemptions from the state of workflows and workers."""

    @abc.abstractmethod
    def plan(
        self,
        progress: Iterable[WorkflowProgress],
        workers: list[Worker],
        guaranteed_by_organisation: dict[str, int],
        now: float,
        wall: float,
        may_preempt: bool = True,
        may_ask: bool = True,
    ) -> SchedulingPlan:
        """Run one planning pass.

        Args:
            progress: Workflows that have not ended.
            workers: All workers.
            guaranteed_by_organisation: Number of accelerators guaranteed to
                the urgent workflows of each organisation.
            now: Node-clock seconds.
            wall: Unix seconds, for occurrences with a due time.
            may_preempt: Whether runs may be stopped for more urgent work.
            may_ask: Whether the advice service may be asked, which handles one
                call at a time.
        """


class PriorityPlanner(Planner):
    """Plans by strict priority, with guarantees, preemption and reservations.

    Waiting steps reserve capacity on workers until the next pass. Less urgent
    steps use it only for runs that are expected to end before, or if they have
    waited for as long as they may (``DeferralLimit``).

    Args:
        run_times: Expected run times.
        order: Order of steps of equal rank. None selects ``SlackOrder``.
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
        may_preempt: bool = True,
        may_ask: bool = True,
    ) -> SchedulingPlan:
        """See base class."""
        active = list(progress)
        for worker in workers:
            worker.begin_pass(now)
        entitled = entitled_organisations(active, guaranteed_by_organisation)
        stages = ready_stages(active, now, wall)
        ranks = {id(stage): rank(stage, entitled) for stage in stages}
        stages.sort(key=lambda s: (ranks[id(s)], *self._order.key(s, now)))
        planning_pass = _PlanningPass(
            workers,
            entitled,
            self._run_times,
            DeferralLimit(workers, now),
            now,
            may_preempt,
            may_ask,
        )
        for stage in stages:
            planning_pass.place(stage, ranks[id(stage)])
        planning_pass.end_deferrals()
        return SchedulingPlan(
            tuple(planning_pass.starts),
            tuple(planning_pass.stops.values()),
            planning_pass.advice_need,
            tuple(planning_pass.held_starts),
            tuple(planning_pass.advice_waits),
            tuple(planning_pass.deferral_ends),
        )


class _PlanningPass:
    """State of one planning pass; collects starts, stops and requests."""

    def __init__(
        self,
        workers: list[Worker],
        entitled: frozenset[str],
        run_times: RunTimeEstimates,
        deferral_limit: DeferralLimit,
        now: float,
        preemption_allowed: bool,
        may_ask: bool,
    ) -> None:
        self.starts: list[tuple[Task, Worker]] = []
        self.stops: dict[TaskKey, Task] = {}
        self.advice_need: AdviceNeed | None = None
        self.advice_waits: list[Stage] = []
        self.held_starts: list[HeldStart] = []
        self.deferral_ends: list[tuple[Stage, DeferralEnd]] = []
        self._workers = workers
        self._workers_by_id = {worker.facts.worker_id: worker for worker in workers}
        self._entitled = entitled
        self._run_times = run_times
        self._deferral_limit = deferral_limit
        self._deferrals: list[Deferral] = []
        self._now = now
        self._preemption_allowed = preemption_allowed
        self._may_ask = may_ask
        self._suspects = [worker for worker in workers if worker.is_suspect(now)]
        self._has_trials = any(worker.start_trials.on_trial for worker in workers)
        self._reserving_steps = 0
        self._reserved_workers: list[Worker] = []
        # Tasks with an older run that is being stopped.
        self._held_keys = {key for worker in workers for key in worker.unwanted_keys}
        # Whether this pass has placed suspected tasks.
        self._observers = False
        self._usable_by_kind: dict[
            tuple[str, str], tuple[list[Worker], list[Worker]]
        ] = {}
        self._unplaceable_by_pool: dict[str, list[tuple[Resources, int]]] = {}
        self._present_by_kind: dict[tuple[str, str], list[Worker]] = {}
        self._without_visible_room: dict[
            tuple[str, str], list[tuple[Resources, int]]
        ] = {}

    def _waiting_tasks(self, stage: Stage) -> list[Task]:
        """Return the tasks to start, without those that have to wait.

        These have an older run, or a worker that does not answer may carry out
        an earlier start of theirs. They take no capacity and cause no
        preemption.
        """
        tasks = waiting_tasks(stage)
        free = [
            task
            for task in tasks
            if task.key not in self._held_keys
            and not awaited_silent_workers(task, self._workers_by_id, self._now)
        ]
        return [] if stage.spec.gang and len(free) < len(tasks) else free

    def place(self, stage: Stage, stage_rank: int) -> None:
        deferred_since, stage.deferred_since = stage.deferred_since, None
        waiting = startable_suspects(
            stage, self._waiting_tasks(stage), self._workers_by_id
        )
        if not waiting:
            self._note_wait(stage, deferred_since)
            return
        usable, not_slow = self._find_usable_workers(stage)
        candidates = eligible_workers(stage, usable, not_slow, self._now)
        if self._observers:
            candidates = [w for w in candidates if not w.observes_suspect]
        if self._has_trials:
            candidates = without_trials(stage, candidates, self._now)
        planned = len(self.starts), len(self.held_starts)
        if is_suspected(waiting[0]):
            self._place_suspects(stage, stage_rank, waiting, candidates)
            quiet = self._find_quiet_workers(stage, waiting, candidates, lent=True)
            usable = self._find_quiet_workers(stage, waiting, usable, lent=True)
            self._note_rest(stage, waiting, quiet, usable, planned, deferred_since)
            return
        began_to_fail_at = failures_since(stage, self._suspects)
        if began_to_fail_at is not None:
            sound = [
                worker
                for worker in candidates
                if worker.has_proved_sound(began_to_fail_at, self._now)
            ]
            waiting = self._retry(stage, waiting, sound)
            if stage.spec.gang and self._keeps_to_sound(stage, len(waiting), sound):
                candidates = sound
        if not waiting:
            return
        planned = len(self.starts), len(self.held_starts)
        if candidates:
            self._place_tasks(stage, stage_rank, waiting, candidates)
        self._note_rest(stage, waiting, candidates, usable, planned, deferred_since)

    def _note_rest(
        self,
        stage: Stage,
        waiting: list[Task],
        candidates: list[Worker],
        usable: list[Worker],
        planned: tuple[int, int],
        since: float | None,
    ) -> None:
        """Note that a step waits if not all of its tasks have been started.

        Args:
            stage: The step.
            waiting: See ``_note_deferral``.
            candidates: See ``_note_deferral``.
            usable: See ``_note_deferral``.
            planned: Number of starts and of held starts before it was placed.
            since: Node-clock seconds since which it has waited, None if it
                has not.
        """
        started = len(self.starts) - planned[0]
        if started == 0 and len(self.held_starts) == planned[1]:
            since = self._now if since is None else since
            self._note_deferral(stage, waiting, candidates, usable, since)
        elif started < len(waiting):
            self._note_wait(stage, since)

    def _note_wait(self, stage: Stage, since: float | None) -> None:
        """Count the time of a step whose tasks do not all start as a wait.

        Some starts are held, or they are those of a service that is left with
        waiting tasks.

        Args:
            stage: The step.
            since: Node-clock seconds since which it has waited, None if it
                has not.
        """
        waiting = waiting_tasks(stage)
        if not waiting or not self._deferral_limit.applies(stage):
            return
        if self.advice_waits and self.advice_waits[-1] is stage:
            return
        if self._has_visible_room(stage, len(waiting) if stage.spec.gang else 1):
            stage.deferred_since = self._now if since is None else since

    def _place_suspects(
        self,
        stage: Stage,
        stage_rank: int,
        waiting: list[Task],
        candidates: list[Worker],
    ) -> None:
        """Start a suspected gang, or suspected tasks on a worker each."""
        if stage.spec.gang:
            self._place_suspect(stage, stage_rank, waiting, candidates)
            return
        for position, task in enumerate(waiting, 1):
            planned = len(self.starts)
            free = [w for w in candidates if not w.observes_suspect]
            self._place_suspect(stage, stage_rank, [task], free)
            if len(self.starts) == planned:
                self._ask_for_further_suspects(stage, waiting[position:], free)
                return

    def _ask_for_further_suspects(
        self, stage: Stage, tasks: list[Task], candidates: list[Worker]
    ) -> None:
        """Let a call for advice name a worker for each further suspect."""
        need = self.advice_need
        if need is None or need.stage is not stage or need.preempts:
            return
        further: list[Worker] = []
        for task in tasks:
            others = [w for w in candidates if w not in (*need.needed, *further)]
            quiet = self._find_quiet_workers(stage, [task], others)
            if find_room(stage, 1, quiet) is not Room.NOW:
                break
            further += quiet
        self._reserve(stage, [PlacementOption(worker) for worker in further])
        self.advice_need = need._replace(
            needed=(*need.needed, *further), candidates=(*need.candidates, *further)
        )

    def _place_suspect(
        self,
        stage: Stage,
        stage_rank: int,
        waiting: list[Task],
        candidates: list[Worker],
    ) -> None:
        """Start a suspected task or gang where it is the only suspect."""
        quiet = []
        if stage.workflow.policy.advised:
            permitted = permitted_workers(stage, candidates, self._now)
            quiet = self._find_quiet_workers(stage, waiting, permitted)
        if find_room(stage, len(waiting), quiet) is not Room.NOW:
            quiet = self._find_quiet_workers(stage, waiting, candidates)
        if not quiet:
            return
        planned = len(self.starts)
        self._place_tasks(stage, stage_rank, waiting, quiet)
        self._mark_observers(planned)

    def _mark_observers(self, planned: int) -> None:
        """Keep other starts of the pass away from the workers of suspects.

        Args:
            planned: Number of starts before the suspects were placed.
        """
        for _, worker in self.starts[planned:]:
            worker.observes_suspect = True
            self._observers = True

    def _find_quiet_workers(
        self,
        stage: Stage,
        waiting: list[Task],
        candidates: list[Worker],
        lent: bool = False,
    ) -> list[Worker]:
        busy_ids = {worker.facts.worker_id for _, worker in self.starts}
        return isolation_candidates(
            candidates, stage, len(waiting), busy_ids, self._now, lent
        )

    def _keeps_to_sound(self, stage: Stage, count: int, sound: list[Worker]) -> bool:
        """Return whether a gang with failed runs uses only proved workers.

        It waits for them until ``SUSPECT_S`` after its newest failure.
        """
        room = find_room(stage, count, sound)
        waits = self._now - stage.failed_at < SUSPECT_S
        return room is Room.NOW or (room is Room.LATER and waits)

    def _retry(
        self, stage: Stage, waiting: list[Task], sound: list[Worker]
    ) -> list[Task]:
        """Start tasks with failed runs on workers that have proved sound.

        For ``SOUND_WORKER_WAIT_S`` only their idle capacity is used: they are
        in use, and stopping their runs would cost more than the wait.

        Returns:
            The tasks that may be placed otherwise.
        """
        gang = stage.spec.gang
        retried = [task for task in waiting if gang or task.failures]
        left = self._start_in_idle(stage, retried, sound)
        if len(left) < len(retried) and stage.spec.worker_limit:
            # The limit counts placed runs, and those of this pass are not
            # placed yet; the other tasks wait for the next pass.
            return []
        if self._now - stage.failed_at < SOUND_WORKER_WAIT_S:
            left = []
        return left + [task for task in waiting if task not in retried]

    def _place_tasks(
        self,
        stage: Stage,
        stage_rank: int,
        waiting: list[Task],
        candidates: list[Worker],
    ) -> None:
        """Start tasks, and make room for those that do not fit yet."""
        near_data = self._near_data(stage, candidates)
        unplaced = self._start_in_idle(stage, waiting, near_data)
        if len(unplaced) == len(waiting) or not stage.spec.worker_limit:
            # The limit counts placed runs, and those of this pass are not
            # placed yet; the other tasks wait for the next pass.
            unplaced = self._backfill(stage, unplaced, near_data)
        if not unplaced:
            return
        if self._may_preempt(stage, stage_rank):
            source = PreemptibleCapacity(
                self._now,
                stage_rank,
                lambda s: rank(s, self._entitled),
                self.stops,
                self._run_times,
            )
            self._preempt_permitted(stage, unplaced, candidates, source)
        elif self._reserving_steps < MAX_RESERVING_STEPS and not stage.spec.service:
            if stage.spec.gang and not may_find_room(stage, len(unplaced), candidates):
                return
            self._reserving_steps += 1
            released = ReleasedCapacity(self._now, self._run_times)
            self._reserve(
                stage, choose_options(stage, unplaced, near_data, released, self._now)
            )

    def _backfill(
        self, stage: Stage, tasks: list[Task], workers: list[Worker]
    ) -> list[Task]:
        """Start tasks whose runs end before reserved capacity is needed.

        A run may take up to ``LONG_RUN_FACTOR`` times the expected time, and
        the wait for advice is not counted, so permits have to be there.

        Returns:
            The tasks without room.
        """
        if not tasks or stage.spec.service:
            return tasks
        run_s = LONG_RUN_FACTOR * self._run_times.expected_s(stage)
        demand = resources_used(stage.spec)
        lenders = {
            id(worker)
            for worker in self._reserved_workers
            if run_s <= worker.reserved_in_s and worker.unclaimed.covers(demand)
        }
        if not lenders:
            return tasks
        if not stage.spec.gang:
            workers = [worker for worker in workers if id(worker) in lenders]
        if stage.workflow.policy.advised:
            workers = permitted_workers(stage, workers, self._now)
        lent = LentCapacity(run_s)
        options = choose_options(stage, tasks, workers, lent, self._now)
        self._add_starts(stage, tasks, options)
        return tasks[len(options) :]

    def _note_deferral(
        self,
        stage: Stage,
        waiting: list[Task],
        candidates: list[Worker],
        usable: list[Worker],
        since: float,
    ) -> None:
        """Note that a step waits for better room, if it does.

        A step with failed runs uses none but its candidates, as these are
        chosen to save its attempts.

        Args:
            stage: The step, of which nothing starts in this pass.
            waiting: Its tasks that may start.
            candidates: Workers on which it would start if they had room.
            usable: Workers of its pool, with its label, that accept new runs.
            since: Node-clock seconds since which it has waited, if it does.
        """
        needed = len(waiting) if stage.spec.gang else 1
        # This step was placed last, so it can only be the last one there.
        if self.advice_waits and self.advice_waits[-1] is stage:
            return
        if not self._deferral_limit.applies(stage):
            return
        if not self._has_visible_room(stage, needed):
            return
        workers, end = self._near_data(stage, candidates), DeferralEnd.RESERVED
        if not self._fits_if_lent(stage, waiting[:needed], workers):
            if any(task.failures for task in stage.tasks):
                return
            if not self._has_visible_room(stage, MIN_SPARE_ROOM * needed):
                return
            workers, end = usable, DeferralEnd.SLOWER
            if stage.workflow.policy.advised:
                workers = [w for w in usable if not stage.advice.denies(w.facts)]
        stage.deferred_since = since
        self._deferrals.append(Deferral(stage, waiting, workers, end))

    def _fits_if_lent(
        self, stage: Stage, tasks: list[Task], workers: list[Worker]
    ) -> bool:
        """Return whether tasks fit on workers if reservations are lent."""
        if stage.spec.gang and stage.spec.same_rack:
            lent = LentCapacity()
            return bool(choose_options(stage, tasks, workers, lent, self._now))
        demand = resources_used(stage.spec)
        found = 0
        for worker in workers:
            if worker.unclaimed.covers(demand):
                max_count = max_tasks_on_worker(stage, worker, len(tasks) - found)
                found += count_fitting(worker.unclaimed, demand, max_count)
                if found >= len(tasks):
                    return True
        return False

    def end_deferrals(self) -> None:
        """Start the steps that may not wait longer for better room."""
        for deferral in self._deferral_limit.ended(self._deferrals):
            if self._deferral_limit.applies(deferral.stage):
                self._start_deferred(*deferral)

    def _has_visible_room(self, stage: Stage, count: int) -> bool:
        """Return whether callers see room for tasks in the pool.

        Reserved capacity counts. So do workers that get no new runs for a
        while, so that the wait for them is a part of the limit. Such room only
        shrinks within a pass. What has none is therefore remembered, and as
        much or more is not looked for.
        """
        demand = resources_used(stage.spec)
        kind = (stage.workflow.policy.pool, stage.spec.worker_label)
        without_room = self._without_visible_room.setdefault(kind, [])
        if any(
            demand.covers(known_demand) and count >= known_count
            for known_demand, known_count in without_room
        ):
            return False
        if kind not in self._present_by_kind:
            self._present_by_kind[kind] = present_workers(*kind, self._workers)
        found = 0
        for worker in self._present_by_kind[kind]:
            found += count_fitting(worker.unclaimed, demand, count - found)
            if found >= count:
                return True
        without_room.append((demand, count))
        return False

    def _start_deferred(
        self, stage: Stage, tasks: list[Task], workers: list[Worker], end: DeferralEnd
    ) -> None:
        """Start tasks on idle capacity, reserved or not, or ask for advice.

        One task that runs slower is enough for a job to be at work, so the
        others go on waiting for better room.
        """
        if not stage.spec.gang:
            count = self._deferral_limit.count_startable(stage, len(tasks))
            if end is DeferralEnd.SLOWER and not stage.spec.service:
                count = 1
            tasks = tasks[:count]
        if self._observers:
            workers = [w for w in workers if not w.observes_suspect]
        observed = is_suspected(tasks[0])
        if observed:
            tasks = tasks if stage.spec.gang else tasks[:1]
            workers = self._find_quiet_workers(stage, tasks, workers, lent=True)
        permitted = workers
        is_advised = stage.workflow.policy.advised
        if is_advised:
            permitted = permitted_workers(stage, workers, self._now)
        lent, may_cross = LentCapacity(), end is DeferralEnd.SLOWER
        options = choose_options(stage, tasks, permitted, lent, self._now, may_cross)
        if options:
            planned = len(self.starts)
            self._add_starts(stage, tasks, options)
            if observed:
                self._mark_observers(planned)
            if len(self.starts) > planned:
                self.deferral_ends.append((stage, end))
                if not stage.spec.service:
                    stage.deferred_since = None
        elif is_advised and self._has_turn(stage, bool(permitted)):
            options = choose_options(stage, tasks, workers, lent, self._now, may_cross)
            if options:
                self._await_advice(stage, tasks, options, workers)

    def _find_usable_workers(self, stage: Stage) -> tuple[list[Worker], list[Worker]]:
        """Return the usable workers of a step, and those that are not slow."""
        kind = (stage.workflow.policy.pool, stage.spec.worker_label)
        if kind not in self._usable_by_kind:
            usable = usable_workers(*kind, self._workers, self._now)
            not_slow = [worker for worker in usable if not is_slow(worker)]
            self._usable_by_kind[kind] = usable, not_slow
        usable, not_slow = self._usable_by_kind[kind]
        return (
            without_quarantined(stage, usable, self._suspects, self._now),
            without_quarantined(stage, not_slow, self._suspects, self._now),
        )

    def _choose_idle(
        self, stage: Stage, waiting: list[Task], workers: list[Worker]
    ) -> list[PlacementOption]:
        """Choose options in idle capacity.

        Idle capacity only shrinks within a pass. A demand that did not fit in
        the whole pool is therefore remembered, and equal or larger demands
        are skipped, which bounds the cost of a pass while many steps wait.
        """
        demand = resources_used(stage.spec)
        count = len(waiting) if stage.spec.gang else 1
        pool = stage.workflow.policy.pool
        if not workers:
            return []
        whole_pool = self._usable_by_kind.get((pool, ""))
        covers_whole_pool = whole_pool is not None and workers is whole_pool[1]
        unplaceable = self._unplaceable_by_pool.setdefault(pool, [])
        if covers_whole_pool and any(
            demand.covers(unplaceable_demand) and count >= unplaceable_count
            for unplaceable_demand, unplaceable_count in unplaceable
        ):
            return []
        options = choose_options(stage, waiting, workers, IdleCapacity(), self._now)
        restricted = stage.spec.same_rack or stage.spec.worker_limit
        if covers_whole_pool and not options and not restricted:
            unplaceable.append((demand, count))
        return options

    def _start_in_idle(
        self, stage: Stage, tasks: list[Task], workers: list[Worker]
    ) -> list[Task]:
        """Start tasks in idle capacity.

        Returns:
            The tasks without room. Those that lack only permits wait for
            advice.
        """
        if not stage.workflow.policy.advised:
            options = self._choose_idle(stage, tasks, workers)
            self._add_starts(stage, tasks, options)
            return tasks[len(options) :]
        permitted = permitted_workers(stage, workers, self._now)
        options = self._choose_idle(stage, tasks, permitted)
        if _crosses_racks(stage, options) and not _crosses_racks(
            stage, self._choose_idle(stage, tasks, workers)
        ):
            options = []
        self._add_starts(stage, tasks, options)
        unplaced = tasks[len(options) :]
        if not unplaced:
            return []
        if not self._has_turn(stage, bool(permitted)):
            count = len(unplaced) if stage.spec.gang else 1
            if find_room(stage, count, workers) is not Room.NOW:
                return unplaced
            self.advice_waits.append(stage)
            return []
        options = self._choose_for_advice(stage, unplaced, workers)
        if options:
            self._await_advice(stage, unplaced[: len(options)], options, workers)
        return unplaced[len(options) :]

    def _has_turn(self, stage: Stage, has_permits: bool) -> bool:
        """Return whether a step is asked about, or may be in this pass.

        Placements are chosen for such steps only, which bounds the cost of a
        pass while many steps wait for advice.
        """
        if stage.advice.asked_ids:
            return True
        if not self._may_ask or self._now < stage.advice.retry_at:
            return False
        return self.advice_need is None or (stage.spec.gang and has_permits)

    def _choose_for_advice(
        self, stage: Stage, tasks: list[Task], workers: list[Worker]
    ) -> list[PlacementOption]:
        """Choose idle capacity, if possible of workers known to be allowed."""
        allowed = [worker for worker in workers if stage.advice.allows(worker.facts)]
        options = self._choose_idle(stage, tasks, allowed)
        crosses_racks = _crosses_racks(stage, options)
        if len(options) == len(tasks) and not crosses_racks:
            return options
        on_all = self._choose_idle(stage, tasks, workers)
        if len(on_all) > len(options):
            return on_all
        is_closer = crosses_racks and not _crosses_racks(stage, on_all)
        return on_all if is_closer else options

    def _preempt_permitted(
        self,
        stage: Stage,
        unplaced: list[Task],
        candidates: list[Worker],
        source: CapacitySource,
    ) -> None:
        """Make room by stopping runs, if advice is needed once it is given."""
        if not stage.workflow.policy.advised:
            self._preempt(stage, unplaced, candidates, source)
            return
        permitted = permitted_workers(stage, candidates, self._now)
        options = choose_options(stage, unplaced, permitted, source, self._now)
        if options:
            self._preempt(stage, unplaced[: len(options)], permitted, source)
        unplaced = unplaced[len(options) :]
        if not unplaced or not self._has_turn(stage, bool(permitted)):
            return
        options = choose_options(stage, unplaced, candidates, source, self._now)
        if options:
            self._await_advice(stage, unplaced, options, candidates, preempts=True)

    def _await_advice(
        self,
        stage: Stage,
        tasks: list[Task],
        options: list[PlacementOption],
        workers: list[Worker],
        preempts: bool = False,
    ) -> None:
        """Let tasks wait for advice, and ask for it if it is their turn.

        The first step in the order of placement that has room is asked about,
        but a gang goes on with its further calls. Only the step that the
        service is asked about keeps its room: the call ends soon, while
        further steps wait for an unknown time.

        Args:
            stage: The step.
            tasks: Its tasks that lack permits.
            options: Room for these tasks.
            workers: Workers that may run them.
            preempts: Whether runs have to be stopped for this room.
        """
        self.advice_waits.append(stage)
        asked_ids = stage.advice.asked_ids
        if asked_ids:
            asked = [w for w in workers if w.facts.worker_id in asked_ids]
            idle = IdleCapacity()
            self._reserve(stage, choose_options(stage, tasks, asked, idle, self._now))
        elif self._has_turn(stage, True):
            need = AdviceNeed(
                stage,
                tuple(dict.fromkeys(option.worker for option in options)),
                tuple(workers),
                self._now,
                preempts,
            )
            if self.advice_need is None or self._goes_before(need, self.advice_need):
                self.advice_need = need
                self._reserve(stage, options)

    def _goes_before(self, need: AdviceNeed, other: AdviceNeed) -> bool:
        """Return whether a step is asked about before one placed earlier.

        A gang with permits for some members is, as these expire, unless the
        other step is more urgent.
        """
        if not need.has_some_permits or other.has_some_permits:
            return False
        rank_of_other = rank(other.stage, self._entitled)
        return rank(need.stage, self._entitled) <= rank_of_other

    def _near_data(self, stage: Stage, candidates: list[Worker]) -> list[Worker]:
        """Return the workers that are worth waiting for, near the input data.

        These are the candidates in the step's data rack. All candidates are
        returned if the step has no data rack or has waited long enough, if no
        candidate is in that rack, or if the step is a gang that would not fit
        into it.
        """
        rack = stage.spec.data_rack
        waited = self._now - (stage.ready_at or self._now)
        if not rack or waited > self._run_times.data_wait_s(stage):
            return candidates
        near_data = [worker for worker in candidates if worker.facts.rack == rack]
        if stage.spec.gang and not may_find_room(stage, stage.spec.tasks, near_data):
            return candidates
        return near_data or candidates

    def _may_preempt(self, stage: Stage, stage_rank: int) -> bool:
        if not self._preemption_allowed:
            return False
        if stage_rank <= URGENT_PRIORITY:
            return True
        return 0.0 <= slack_s(stage, self._run_times, self._now) < PREEMPT_SLACK_S

    def _preempt(
        self,
        stage: Stage,
        unplaced: list[Task],
        candidates: list[Worker],
        source: CapacitySource,
    ) -> None:
        near_data = self._near_data(stage, candidates)
        options: list[PlacementOption] = []
        for _ in range(MAX_VICTIM_GANGS):
            options = choose_options(stage, unplaced, near_data, source, self._now)
            if len(options) < len(unplaced) and near_data is not candidates:
                options = (
                    choose_options(stage, unplaced, candidates, source, self._now)
                    or options
                )
            victims = [victim for option in options for victim in option.victims]
            gangs = [victim for victim in victims if victim.stage.spec.gang]
            if not gangs:
                break
            # Stopping one gang frees capacity on many workers, so the options
            # are chosen anew before another gang is stopped.
            self._add_stop(min(gangs, key=lambda task: stop_cost(task, self._now)))
        for option in options:
            for victim in option.victims:
                self._add_stop(victim)
        self._reserve(stage, options)

    def _add_stop(self, victim: Task) -> None:
        """Plan to stop a run; for a gang, the runs of all members."""
        members = victim.stage.tasks if victim.stage.spec.gang else [victim]
        for task in members:
            if task.state in ("starting", "running"):
                self.stops[task.key] = task

    def _reserve(self, stage: Stage, options: list[PlacementOption]) -> None:
        """Keep capacity for a step until the next pass.

        A gang needs none of it before all of it is available.
        """
        demand = resources_used(stage.spec)
        last_in_s = max((option.available_in_s for option in options), default=0.0)
        for option in options:
            available_in_s = last_in_s if stage.spec.gang else option.available_in_s
            self._reserve_on(option.worker, demand, available_in_s)

    def _reserve_on(
        self, worker: Worker, demand: Resources, available_in_s: float = 0.0
    ) -> None:
        if math.isinf(worker.reserved_in_s):
            self._reserved_workers.append(worker)
        worker.reserve(demand, available_in_s)

    def _add_starts(
        self, stage: Stage, tasks: list[Task], options: list[PlacementOption]
    ) -> None:
        """Plan starts and claim their capacity until the next pass.

        A task whose earlier start a worker may still carry out is held, and a
        gang with it, until that worker answers. Its capacity is reserved.
        """
        pairs = match_workers(tasks[: len(options)], options, self._now)
        demand = resources_used(stage.spec)
        starts, held_starts = [], []
        for task, worker in pairs:
            worker_ids = unconfirmed_workers(
                task, worker, self._workers_by_id, self._now
            )
            if worker_ids:
                held_starts.append(HeldStart(task, worker_ids))
                self._reserve_on(worker, demand)
            else:
                starts.append((task, worker))
        self.held_starts += held_starts
        if stage.spec.gang and held_starts:
            for _, worker in starts:
                self._reserve_on(worker, demand)
            return
        self.starts += starts
        for _, worker in starts:
            worker.claim(demand)
            worker.start_trials.note_planned()
            self._deferral_limit.add_start(stage)


def _crosses_racks(stage: Stage, options: list[PlacementOption]) -> bool:
    """Return whether options slow a gang down by being in several racks."""
    if not (stage.spec.gang and stage.spec.same_rack):
        return False
    return len({option.worker.facts.rack for option in options}) > 1


def rank(stage: Stage, entitled: frozenset[str]) -> int:
    """Return the rank of a step; a lower rank may preempt a higher one.

    Args:
        stage: The step.
        entitled: Organisations whose urgent work fits their guarantee.
    """
    priority = stage.workflow.policy.priority
    organisation = stage.workflow.workflow.organisation
    if priority == URGENT_PRIORITY and organisation in entitled:
        return GUARANTEED_RANK
    return priority


def entitled_organisations(
    active: list[WorkflowProgress], guaranteed_by_organisation: dict[str, int]
) -> frozenset[str]:
    """Return the organisations whose urgent work fits their guarantee.

    Args:
        active: Workflows that have not ended.
        guaranteed_by_organisation: Number of guaranteed accelerators.
    """
    needed: dict[str, int] = {}
    for progress in active:
        workflow = progress.workflow
        if progress.policy.priority == URGENT_PRIORITY and progress.ended_at is None:
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
    """Return the steps with tasks that may start, and set their ready time.

    The others wait for nothing, so their deferrals end.

    Args:
        active: Workflows that have not ended.
        now: Node-clock seconds, the ready time of steps without one.
        wall: Unix seconds; occurrences that are due later are skipped.
    """
    ready = []
    for progress in active:
        if progress.ended_at is not None:
            continue
        for occurrence in progress.occurrences:
            if occurrence.due_at > wall:
                break
            for stage in occurrence.stages:
                if not _startable(stage, occurrence.stages):
                    stage.deferred_since = None
                    continue
                if stage.ready_at is None:
                    stage.ready_at = now
                ready.append(stage)
    return ready


def _startable(stage: Stage, stages: list[Stage]) -> bool:
    if not any(task.state == "waiting" for task in stage.tasks):
        return False
    return all(stages[index].done for index in stage.spec.after)


def waiting_tasks(stage: Stage) -> list[Task]:
    """Return the tasks of a step to start; for a gang, all or none.

    The members of a gang share a run number, so a gang can start only after
    all members of its previous run have ended.
    """
    if stage.spec.gang:
        ready = all(task.state == "waiting" for task in stage.tasks)
        return list(stage.tasks) if ready else []
    return [task for task in stage.tasks if task.state == "waiting"]
