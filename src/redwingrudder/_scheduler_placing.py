"""Placement of queued jobs in passes over the queue."""

import heapq
from collections.abc import Iterable

from ._scheduler_backfill import Forecast, Reservation, reserve
from ._scheduler_capacity import NO_FREE_CAPACITY, can_place_task, measure_free_capacity
from ._scheduler_gangs import GangTable
from ._scheduler_jobs import JobTable
from ._scheduler_queue import LaneKey, ShapeKey
from ._scheduler_state import Context, TimerKind
from .guarantees import is_borrower
from .policies import QueuedJob, ResourceUse

# Number of candidates that are ordered at a time between two full passes.
# After a placement, the next job of the lane is ordered among this many.
ORDER_WINDOW = 32
# Number of jobs tried per pass as the probe of a quarantined worker.
PROBE_CANDIDATES = 8
# Minimum interval between full passes that are caused by released resources.
# Ordering all lanes takes time linear in their number, so the passes in
# between order only the lanes that the release may help.
FULL_PASS_INTERVAL_S = 1.0
# Interval at which classes that must leave headroom are tried again.
HEADROOM_RECHECK_S = 1.0


class Placer:
    """Places queued jobs when jobs, resources or timers have changed.

    After a pass, no queued job can be placed: for each one, its shape or its
    class is in one of the sets below. A new job of a blocked shape therefore
    needs no placement search.

    Attributes:
        blocked_shapes: Shapes that fit nowhere.
        reservation_blocked_shapes: Shapes that could be placed only on
            workers reserved for the first gang that does not fit.
        headroom_blocked_classes: Classes that are placed only within cells,
            to leave headroom for other work.
        reservation: Workers reserved for the first gang that does not fit.
    """

    def __init__(self, context: Context, jobs: JobTable, gangs: GangTable) -> None:
        self._context = context
        self._jobs = jobs
        self._gangs = gangs
        self.blocked_shapes: set[ShapeKey] = set()
        self.reservation_blocked_shapes: set[ShapeKey] = set()
        self.headroom_blocked_classes: set[str] = set()
        self._headroom_claimant: QueuedJob | None = None
        self.reservation: Reservation | None = None
        self._reservation_tried = False
        self._ranks_by_lane: dict[LaneKey, int] = {}
        self._full_pass_at = float("-inf")
        self._free_capacity = NO_FREE_CAPACITY

    def run(self) -> None:
        """Place all jobs that fit after the events since the last run."""
        context = self._context
        if context.configuration is None:
            return
        new_job_ids, self._jobs.new_job_ids = self._jobs.new_job_ids, []
        freed, context.freed_workers = context.freed_workers, set()
        if freed and self._gangs.advance_reclaims():
            context.resources_changed = True
        if context.resources_changed:
            context.resources_changed = False
            self.blocked_shapes.clear()
            self._full_pass()
        elif freed:
            self._unblock_shapes(freed)
            self._pass_after_release()
        elif (
            self._is_headroom_recheck_due()
            or self._can_unblock_reserved()
            or (new_job_ids and self._due_probes())
        ):
            self._full_pass()
        elif new_job_ids:
            self._try_new_jobs(new_job_ids)

    def _unblock_shapes(self, freed: set[str]) -> None:
        """Unblock the shapes of which a task now fits on a freed worker."""
        context = self._context
        workers = [context.fleet.workers_by_id.get(worker_id) for worker_id in freed]
        workers = [worker for worker in workers if worker and worker.accepts_work]
        for shape in list(self.blocked_shapes | self.reservation_blocked_shapes):
            job_id = self._jobs.queue.any_job(shape)
            if job_id is not None:
                spec = self._jobs.jobs_by_id[job_id].spec
                if not any(
                    can_place_task(spec, worker, context.guarantees)
                    for worker in workers
                ):
                    continue
            self.blocked_shapes.discard(shape)
            self.reservation_blocked_shapes.discard(shape)

    def _pass_after_release(self) -> None:
        """Try the unblocked lanes, or all lanes if a full pass is due."""
        now = self._context.now
        if now - self._full_pass_at >= FULL_PASS_INTERVAL_S:
            self._full_pass()
            return
        self._free_capacity = measure_free_capacity(self._context)
        self.headroom_blocked_classes.clear()
        self._try_reservation_holder()
        tried: set[LaneKey] = set()
        keys = self._best_ranked_lanes(tried)
        while keys:
            tried.update(keys)
            self._try_in_order(self._order(self._head_jobs(keys)))
            keys = self._best_ranked_lanes(tried)

    def _try_reservation_holder(self) -> None:
        """Try the job that holds the reservation.

        Only the first jobs of lanes are tried otherwise. The holder may be
        behind a job of its own lane, which its reservation blocks.
        """
        queue, reservation = self._jobs.queue, self.reservation
        if reservation is None or reservation.job_id not in queue:
            return
        shape = queue.lane_key(reservation.job_id).shape
        self._try_job(self._jobs.queued_job(reservation.job_id), shape)

    def _best_ranked_lanes(self, tried: set[LaneKey]) -> list[LaneKey]:
        """Return the untried lanes that ranked best in the last full pass.

        At most ``ORDER_WINDOW`` lanes are returned. Lanes created since then
        get a rank in the middle of the window, so that neither they nor the
        older lanes are always left out.
        """
        queue, ranks = self._jobs.queue, self._ranks_by_lane
        shapes = queue.shapes() - self.blocked_shapes - self.reservation_blocked_shapes
        keys = (
            key
            for key in queue.lanes_of_shapes(shapes)
            if key not in tried and key.job_class not in self.headroom_blocked_classes
        )
        default_rank = ORDER_WINDOW // 2
        return heapq.nsmallest(
            ORDER_WINDOW, keys, lambda key: ranks.get(key, default_rank)
        )

    def _head_jobs(self, keys: Iterable[LaneKey]) -> list[QueuedJob]:
        jobs = self._jobs
        return [jobs.queued_job(jobs.queue.first_job(key)) for key in keys]

    def _full_pass(self) -> None:
        """Try all lanes in order and make a new reservation."""
        self._full_pass_at = self._context.now
        self._free_capacity = measure_free_capacity(self._context)
        self.reservation_blocked_shapes.clear()
        self.headroom_blocked_classes.clear()
        self._headroom_claimant = None
        self.reservation = None
        jobs = self._jobs
        self._reservation_tried = False
        waiting = self._order(self._head_jobs(jobs.queue.lanes()))
        self._ranks_by_lane = {
            jobs.queue.lane_key(job.job_id): rank for rank, job in enumerate(waiting)
        }
        self._place_probes(waiting)
        self._try_in_order(waiting)

    def _try_in_order(self, waiting: list[QueuedJob]) -> None:
        """Try the jobs; after a success, the next job of the lane as well."""
        queue = self._jobs.queue
        index = 0
        while index < len(waiting) and not self._all_shapes_tried():
            job = waiting[index]
            index += 1
            if job.job_id not in queue:
                continue
            key = queue.lane_key(job.job_id)
            if not self._try_job(job, key.shape):
                continue
            next_job_id = queue.first_job(key)
            if next_job_id is not None and key.shape not in self.blocked_shapes:
                end = index + ORDER_WINDOW
                window = [self._jobs.queued_job(next_job_id), *waiting[index:end]]
                waiting[index:end] = self._order(window)

    def _all_shapes_tried(self) -> bool:
        """Whether no shape is left to try and no reservation left to make."""
        shapes = self._jobs.queue.shapes()
        if shapes - self.blocked_shapes:
            return False
        return self._reservation_tried or not any(
            map(_uses_several_accelerators, shapes)
        )

    def _try_new_jobs(self, new_job_ids: list[str]) -> None:
        queue = self._jobs.queue
        if self._reservation_is_stale():
            self._reservation_tried = False
        for job_id in new_job_ids:
            if job_id not in queue:
                continue
            shape = queue.lane_key(job_id).shape
            if shape not in self.blocked_shapes:
                self._try_job(self._jobs.queued_job(job_id), shape)

    def _try_job(self, job: QueuedJob, shape: ShapeKey) -> bool:
        """Create a gang for a job if it fits now or after a reclaim."""
        if shape in self.blocked_shapes:
            self._reserve_for(job)
            return False
        reserved = self._reserved_workers(job)
        if reserved and shape in self.reservation_blocked_shapes:
            return False
        avoid = self._gangs.pending_workers() | shape.avoided
        if not self._leaves_headroom(job):
            return self._try_within_cells(job, avoid | reserved)
        if self._free_capacity.may_fit(job.spec) and self._place(job, avoid | reserved):
            return True
        if self._reclaim(job, avoid):
            return True
        (self.reservation_blocked_shapes if reserved else self.blocked_shapes).add(
            shape
        )
        self._reserve_for(job)
        return False

    def _leaves_headroom(self, job: QueuedJob) -> bool:
        capacity, spec = self._free_capacity, job.spec
        accelerated = spec.accelerators_per_task > 0
        free = capacity.unassigned_accelerators if accelerated else capacity.slots
        use = ResourceUse(
            capacity.total_accelerators if accelerated else capacity.total_slots,
            free - self._headroom_claimed_by_other(job),
            self._gangs.held_by_class[accelerated],
        )
        order = self._context.policies.order
        return order.leaves_headroom(job, use, self._context.now)

    def _headroom_claimed_by_other(self, job: QueuedJob) -> int:
        """Return the units claimed by another job that waits for headroom.

        The claimant is the first job in the pass that was not placed in order
        to leave headroom. Without its claim, small jobs would use each
        accelerator that becomes free.
        """
        claimant = self._headroom_claimant
        if claimant is None or claimant.job_id not in self._jobs.queue:
            return 0
        same_kind = (claimant.spec.accelerators_per_task > 0) == (
            job.spec.accelerators_per_task > 0
        )
        if claimant.job_id == job.job_id or not same_kind:
            return 0
        return claimant.spec.accelerators or claimant.spec.tasks

    def _try_within_cells(self, job: QueuedJob, avoid: frozenset[str]) -> bool:
        """Try only cells, so that the accelerators outside them stay free."""
        context = self._context
        if not self.headroom_blocked_classes:
            # The demand of other classes decays without an event, so a timer
            # starts the next pass.
            recheck_at = context.now + HEADROOM_RECHECK_S
            context.timers.add(recheck_at, TimerKind.PLACEMENT)
        self.headroom_blocked_classes.add(job.spec.job_class)
        if (
            self._headroom_claimant is None
            or self._headroom_claimant.job_id not in self._jobs.queue
        ):
            self._headroom_claimant = job
        if self._reclaim(job, avoid):
            return True
        if not is_borrower(job.spec) or not self._free_capacity.may_fit(job.spec):
            return False
        return self._place(job, avoid | self._free_capacity.workers_with_unassigned)

    def _place(
        self, job: QueuedJob, avoid: frozenset[str], probed_worker: str | None = None
    ) -> bool:
        context = self._context
        placement = context.policies.placement.place(
            job.spec, context.fleet, context.guarantees, avoid
        )
        if placement is None:
            return False
        self._free_capacity = self._free_capacity.without(job.spec)
        record = self._jobs.jobs_by_id[job.job_id]
        self._gangs.create(record, placement, probed_worker)
        return True

    def _reclaim(self, job: QueuedJob, avoid: frozenset[str]) -> bool:
        context = self._context
        plan = context.policies.reclaim.reclaim(
            job.spec, context.fleet, context.guarantees, avoid
        )
        if plan is None:
            return False
        record = self._jobs.jobs_by_id[job.job_id]
        if plan.gangs_to_stop:
            self._gangs.create_reclaiming(record, plan.placement, plan.gangs_to_stop)
        else:
            self._gangs.create(record, plan.placement, None)
        return True

    def _reserved_workers(self, job: QueuedJob) -> frozenset[str]:
        """Return the reserved workers that a job must not use."""
        reservation = self.reservation
        if reservation is None or reservation.job_id == job.job_id:
            return frozenset()
        ends_at = self._context.now + job.expected_run_s
        if ends_at <= reservation.at or self._reservation_is_stale():
            return frozenset()
        return (
            frozenset()
            if self._ranks_before_reservation_holder(job)
            else reservation.workers
        )

    def _ranks_before_reservation_holder(self, job: QueuedJob) -> bool:
        queue, ranks = self._jobs.queue, self._ranks_by_lane
        holder_id = self.reservation.job_id
        rank = ranks.get(queue.lane_key(job.job_id))
        holder_rank = ranks.get(queue.lane_key(holder_id))
        if rank is not None and holder_rank is not None:
            return rank < holder_rank
        holder = self._jobs.queued_job(holder_id)
        return self._order([holder, job])[0] is job

    def _reserve_for(self, job: QueuedJob) -> None:
        """Reserve workers for the first gang in a pass that does not fit.

        Only gangs with several accelerators get a reservation.
        """
        if self._reservation_tried or job.spec.accelerators <= 1:
            return
        self._reservation_tried = True
        context = self._context
        forecast = Forecast(
            context.fleet,
            context.guarantees,
            self._gangs.expected_end,
            context.now,
        )
        self.reservation = reserve(job.job_id, job.spec, forecast)

    def _is_headroom_recheck_due(self) -> bool:
        elapsed_s = self._context.now - self._full_pass_at
        return bool(self.headroom_blocked_classes) and elapsed_s >= HEADROOM_RECHECK_S

    def _can_unblock_reserved(self) -> bool:
        return bool(self.reservation_blocked_shapes) and self._reservation_is_stale()

    def _reservation_is_stale(self) -> bool:
        reservation = self.reservation
        return reservation is None or reservation.job_id not in self._jobs.queue

    def _place_probes(self, waiting: list[QueuedJob]) -> None:
        """Place one idempotent job on each worker that is due for a probe.

        The quarantine is lifted during the search, because policies place
        nothing on quarantined workers.
        """
        context = self._context
        candidates = [job for job in waiting if job.spec.idempotent]
        for worker_id in sorted(self._due_probes()):
            avoid = frozenset(context.fleet.workers_by_id.keys() - {worker_id})
            context.fleet.set_quarantined(worker_id, False)
            for job in candidates[:PROBE_CANDIDATES]:
                is_queued = job.job_id in self._jobs.queue
                if is_queued and self._place(job, avoid, worker_id):
                    break
            context.fleet.set_quarantined(worker_id, True)

    def _due_probes(self) -> frozenset[str]:
        due = self._context.probes & self._context.fleet.workers_by_id.keys()
        if not due:
            return due
        gangs = self._gangs.gangs_by_id.values()
        return due - {gang.probed_worker for gang in gangs}

    def _order(self, jobs: list[QueuedJob]) -> list[QueuedJob]:
        return self._context.policies.order.order(jobs, self._context.now)


def _uses_several_accelerators(shape: ShapeKey) -> bool:
    return shape.tasks * shape.accelerators_per_task > 1
