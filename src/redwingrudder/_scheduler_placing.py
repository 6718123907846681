"""Placement passes over the queue."""

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

# Candidates that are ordered at a time between two full passes, and among
# which the next job of a lane is ordered after a placement.
ORDER_WINDOW = 32
# Candidates for the probe of a quarantined worker that are tried per pass.
PROBE_CANDIDATES = 8
# Ordering all lanes costs time linear in their number, so a release of
# resources orders only the lanes that it helps until this time has passed.
FULL_PASS_INTERVAL_S = 1.0
# While a class leaves headroom to others, it is tried again after this time.
HEADROOM_RECHECK_S = 1.0


class Placer:
    """Tries queued jobs when something changed, never otherwise.

    After a pass, every queued job is known not to fit: its shape is in
    ``blocked``, or in ``limited`` when the reservation for the head of
    the queue stands against it, or its class is ``restrained`` to leave
    headroom for other work. A new job of such a shape costs no search.
    """

    def __init__(self, context: Context, jobs: JobTable, gangs: GangTable) -> None:
        self._context = context
        self._jobs = jobs
        self._gangs = gangs
        self.blocked: set[ShapeKey] = set()
        self.limited: set[ShapeKey] = set()
        self.restrained: set[str] = set()
        self._claimant: QueuedJob | None = None
        self.reservation: Reservation | None = None
        self._reservation_tried = False
        self._ranks_by_lane: dict[LaneKey, int] = {}
        self._full_pass_at = float("-inf")
        self._free_capacity = NO_FREE_CAPACITY

    def run(self) -> None:
        """Place what can be placed after the events since the last run."""
        context = self._context
        if context.configuration is None:
            return
        fresh, self._jobs.fresh = self._jobs.fresh, []
        freed, context.freed_workers = context.freed_workers, set()
        if freed and self._gangs.advance_reclaims():
            context.resources_changed = True
        if context.resources_changed:
            context.resources_changed = False
            self.blocked.clear()
            self._full_pass()
        elif freed:
            self._unblock(freed)
            self._pass_after_release()
        elif (
            self._must_poll_again()
            or self._can_lift_limits()
            or (fresh and self._due_probes())
        ):
            self._full_pass()
        elif fresh:
            self._try_fresh(fresh)

    def _unblock(self, freed: set[str]) -> None:
        """Forget the shapes for which a freed worker makes a difference."""
        context = self._context
        workers = [context.fleet.workers_by_id.get(worker_id) for worker_id in freed]
        workers = [worker for worker in workers if worker and worker.accepts_work]
        for shape in list(self.blocked | self.limited):
            job_id = self._jobs.queue.example(shape)
            if job_id is not None:
                spec = self._jobs.jobs_by_id[job_id].spec
                if not any(
                    can_place_task(spec, w, context.guarantees) for w in workers
                ):
                    continue
            self.blocked.discard(shape)
            self.limited.discard(shape)

    def _pass_after_release(self) -> None:
        now = self._context.now
        if now - self._full_pass_at >= FULL_PASS_INTERVAL_S:
            self._full_pass()
            return
        self._free_capacity = measure_free_capacity(self._context)
        self.restrained.clear()
        self._try_reserved()
        tried: set[LaneKey] = set()
        keys = self._next_lanes(tried)
        while keys:
            tried.update(keys)
            self._try_all(self._order(self._heads(keys)))
            keys = self._next_lanes(tried)

    def _try_reserved(self) -> None:
        """Try the job that holds the reservation.

        It may stand behind a job of its own lane and shape, which the
        reservation limits; no head of a lane would stand for it then.
        """
        queue, reservation = self._jobs.queue, self.reservation
        if reservation is None or reservation.job_id not in queue:
            return
        shape = queue.key(reservation.job_id).shape
        self._try(self._jobs.queued_job(reservation.job_id), shape)

    def _next_lanes(self, tried: set[LaneKey]) -> list[LaneKey]:
        """Return the lanes that were first at the last full pass.

        Lanes that are new since then get a rank in the middle of the window,
        so that neither they nor the older ones are left out.
        """
        queue, ranks = self._jobs.queue, self._ranks_by_lane
        shapes = queue.shapes() - self.blocked - self.limited
        keys = (
            key
            for key in queue.lanes_of(shapes)
            if key not in tried and key.job_class not in self.restrained
        )
        middle = ORDER_WINDOW // 2
        return heapq.nsmallest(ORDER_WINDOW, keys, lambda k: ranks.get(k, middle))

    def _heads(self, keys: Iterable[LaneKey]) -> list[QueuedJob]:
        jobs = self._jobs
        return [jobs.queued_job(jobs.queue.head(key)) for key in keys]

    def _full_pass(self) -> None:
        """Try all lanes and choose the head of the queue anew."""
        self._full_pass_at = self._context.now
        self._free_capacity = measure_free_capacity(self._context)
        self.limited.clear()
        self.restrained.clear()
        self._claimant = None
        self.reservation = None
        jobs = self._jobs
        self._reservation_tried = False
        waiting = self._order(self._heads(jobs.queue.lanes()))
        self._ranks_by_lane = {
            jobs.queue.key(job.job_id): rank for rank, job in enumerate(waiting)
        }
        self._probe(waiting)
        self._try_all(waiting)

    def _try_all(self, waiting: list[QueuedJob]) -> None:
        queue = self._jobs.queue
        index = 0
        while index < len(waiting) and not self._nothing_fits():
            job = waiting[index]
            index += 1
            if job.job_id not in queue:
                continue
            key = queue.key(job.job_id)
            if not self._try(job, key.shape):
                continue
            following = queue.head(key)
            if following is not None and key.shape not in self.blocked:
                end = index + ORDER_WINDOW
                window = [self._jobs.queued_job(following), *waiting[index:end]]
                waiting[index:end] = self._order(window)

    def _nothing_fits(self) -> bool:
        """Whether all queued shapes were tried and the head is chosen."""
        shapes = self._jobs.queue.shapes()
        if shapes - self.blocked:
            return False
        return self._reservation_tried or not any(map(_is_gang, shapes))

    def _try_fresh(self, fresh: list[str]) -> None:
        queue = self._jobs.queue
        if self._reservation_is_stale():
            self._reservation_tried = False
        for job_id in fresh:
            if job_id not in queue:
                continue
            shape = queue.key(job_id).shape
            if shape not in self.blocked:
                self._try(self._jobs.queued_job(job_id), shape)

    def _try(self, job: QueuedJob, shape: ShapeKey) -> bool:
        if shape in self.blocked:
            self._reserve_for(job)
            return False
        reserved = self._reserved(job)
        if reserved and shape in self.limited:
            return False
        avoid = self._gangs.pending_workers() | shape.avoided
        if not self._leaves_headroom(job):
            return self._try_outside_headroom(job, avoid | reserved)
        if self._free_capacity.may_fit(job.spec) and self._place(job, avoid | reserved):
            return True
        if self._reclaim(job, avoid):
            return True
        (self.limited if reserved else self.blocked).add(shape)
        self._reserve_for(job)
        return False

    def _leaves_headroom(self, job: QueuedJob) -> bool:
        capacity, spec = self._free_capacity, job.spec
        accelerated = spec.accelerators_per_task > 0
        free = capacity.open_accelerators if accelerated else capacity.slots
        use = ResourceUse(
            capacity.total_accelerators if accelerated else capacity.total_slots,
            free - self._claimed_by_other(job),
            self._gangs.held_by_class[accelerated],
        )
        order = self._context.policies.order
        return order.leaves_headroom(job, use, self._context.now)

    def _claimed_by_other(self, job: QueuedJob) -> int:
        """Return what the first restrained gang needs beside the headroom.

        Without it, small jobs would use up each accelerator as it gets free.
        """
        claimant = self._claimant
        if claimant is None or claimant.job_id not in self._jobs.queue:
            return 0
        same_kind = (claimant.spec.accelerators_per_task > 0) == (
            job.spec.accelerators_per_task > 0
        )
        if claimant.job_id == job.job_id or not same_kind:
            return 0
        return claimant.spec.accelerators or claimant.spec.tasks

    def _try_outside_headroom(self, job: QueuedJob, avoid: frozenset[str]) -> bool:
        """Use only cells, so that the accelerators outside stay free."""
        context = self._context
        if not self.restrained:
            # Demand fades without an event, so the passes go on with time.
            again_at = context.now + HEADROOM_RECHECK_S
            context.times.add(again_at, TimerKind.PLACEMENT)
        self.restrained.add(job.spec.job_class)
        if self._claimant is None or self._claimant.job_id not in self._jobs.queue:
            self._claimant = job
        if self._reclaim(job, avoid):
            return True
        if not is_borrower(job.spec) or not self._free_capacity.may_fit(job.spec):
            return False
        return self._place(job, avoid | self._free_capacity.open_workers)

    def _place(
        self, job: QueuedJob, avoid: frozenset[str], probed: str | None = None
    ) -> bool:
        context = self._context
        placement = context.policies.placement.place(
            job.spec, context.fleet, context.guarantees, avoid
        )
        if placement is None:
            return False
        self._free_capacity = self._free_capacity.without(job.spec)
        record = self._jobs.jobs_by_id[job.job_id]
        self._gangs.create(record, placement, probed)
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

    def _reserved(self, job: QueuedJob) -> frozenset[str]:
        """Return the workers that are kept for the head of the queue."""
        reservation = self.reservation
        if reservation is None or reservation.job_id == job.job_id:
            return frozenset()
        ends_at = self._context.now + job.expected_run_s
        if ends_at <= reservation.at or self._reservation_is_stale():
            return frozenset()
        return frozenset() if self._precedes_head(job) else reservation.workers

    def _precedes_head(self, job: QueuedJob) -> bool:
        queue, ranks = self._jobs.queue, self._ranks_by_lane
        head_id = self.reservation.job_id
        rank = ranks.get(queue.key(job.job_id))
        head_rank = ranks.get(queue.key(head_id))
        if rank is not None and head_rank is not None:
            return rank < head_rank
        head = self._jobs.queued_job(head_id)
        return self._order([head, job])[0] is job

    def _reserve_for(self, job: QueuedJob) -> None:
        """Reserve workers for the first gang of the pass that does not fit."""
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

    def _must_poll_again(self) -> bool:
        passed_s = self._context.now - self._full_pass_at
        return bool(self.restrained) and passed_s >= HEADROOM_RECHECK_S

    def _can_lift_limits(self) -> bool:
        return bool(self.limited) and self._reservation_is_stale()

    def _reservation_is_stale(self) -> bool:
        reservation = self.reservation
        return reservation is None or reservation.job_id not in self._jobs.queue

    def _probe(self, waiting: list[QueuedJob]) -> None:
        """Give each quarantined worker that is due one idempotent job."""
        context = self._context
        candidates = [job for job in waiting if job.spec.idempotent]
        for worker_id in sorted(self._due_probes()):
            avoid = frozenset(context.fleet.workers_by_id.keys() - {worker_id})
            context.fleet.set_quarantined(worker_id, False)
            for job in candidates[:PROBE_CANDIDATES]:
                queued = job.job_id in self._jobs.queue
                if queued and self._place(job, avoid, worker_id):
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


def _is_gang(shape: ShapeKey) -> bool:
    return shape.tasks * shape.accelerators_per_task > 1
