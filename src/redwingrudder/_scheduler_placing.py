"""Placement passes over the queue."""

from typing import NamedTuple

from ._scheduler_backfill import Reservation, reserve
from ._scheduler_gangs import GangTable
from ._scheduler_jobs import JobTable
from ._scheduler_queue import ShapeKey
from ._scheduler_state import Context
from .fleet import Fleet
from .policies import QueuedJob

# After a placement, the next job of the lane is ordered among this many
# candidates, so that a pass does not sort all candidates for each placement.
ORDER_WINDOW = 16
# Candidates for the probe of a quarantined worker that are tried per pass.
PROBE_CANDIDATES = 8


class _Room(NamedTuple):
    """Upper bounds of what is free, to skip searches that cannot succeed."""

    accelerators: int
    widest: int
    slots: int

    def may_hold(self, job: QueuedJob) -> bool:
        spec = job.spec
        return (
            spec.accelerators <= self.accelerators
            and spec.accelerators_per_task <= self.widest
            and spec.tasks <= self.slots
        )


class Placer:
    """Tries queued jobs when something changed, never otherwise.

    After a pass, every queued job is known not to fit: its shape is in
    ``blocked``, or in ``limited`` when only the reservation for the head of
    the queue stands against it. A new job of such a shape costs no search.
    """

    def __init__(self, context: Context, jobs: JobTable, gangs: GangTable) -> None:
        self._context = context
        self._jobs = jobs
        self._gangs = gangs
        self.blocked: set[ShapeKey] = set()
        self.limited: set[ShapeKey] = set()
        self.reservation: Reservation | None = None
        self._reservation_tried = False
        self._room = _Room(0, 0, 0)

    def run(self) -> None:
        """Place what can be placed after the events since the last run."""
        context = self._context
        if context.configuration is None:
            return
        fresh, self._jobs.fresh = self._jobs.fresh, []
        if context.resources_changed:
            context.resources_changed = False
            self._gangs.advance_reclaims()
            self._full_pass()
        elif self._can_lift_limits() or (fresh and self._due_probes()):
            self._pass()
        elif fresh:
            self._try_fresh(fresh)

    def _full_pass(self) -> None:
        self.blocked.clear()
        self._room = _measure(self._context.fleet)
        self._pass()

    def _pass(self) -> None:
        self.limited.clear()
        self.reservation = None
        self._reservation_tried = False
        jobs = self._jobs
        waiting = [jobs.queued_job(job_id) for job_id in jobs.queue.heads()]
        waiting = self._order(waiting)
        self._probe(waiting)
        self._try_all(waiting)

    def _try_all(self, waiting: list[QueuedJob]) -> None:
        queue = self._jobs.queue
        index = 0
        while index < len(waiting):
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

    def _try_fresh(self, fresh: list[str]) -> None:
        queue = self._jobs.queue
        for job_id in fresh:
            if job_id not in queue:
                continue
            shape = queue.key(job_id).shape
            if shape in self.blocked or shape in self.limited:
                continue
            job = self._jobs.queued_job(job_id)
            self._try(job, shape, self._precedes_head(job))

    def _precedes_head(self, job: QueuedJob) -> bool:
        if self._reservation_is_stale():
            return True
        head = self._jobs.queued_job(self.reservation.job_id)
        return self._order([head, job])[0] is job

    def _try(
        self, job: QueuedJob, shape: ShapeKey, ignore_reservation: bool = False
    ) -> bool:
        if shape in self.blocked or shape in self.limited:
            self._reserve_for(job)
            return False
        avoid = self._gangs.pending_workers() | shape.avoided
        reserved = frozenset() if ignore_reservation else self._reserved(job)
        if self._room.may_hold(job) and self._place(job, avoid | reserved):
            return True
        if self._reclaim(job):
            return True
        (self.limited if reserved else self.blocked).add(shape)
        self._reserve_for(job)
        return False

    def _place(
        self, job: QueuedJob, avoid: frozenset[str], probed: str | None = None
    ) -> bool:
        context = self._context
        placement = context.policies.placement.place(
            job.spec, context.fleet, context.guarantees, avoid
        )
        if placement is None:
            return False
        self._take_room(job)
        record = self._jobs.jobs_by_id[job.job_id]
        self._gangs.create(record, placement, probed)
        return True

    def _reclaim(self, job: QueuedJob) -> bool:
        context = self._context
        plan = context.policies.reclaim.reclaim(
            job.spec, context.fleet, context.guarantees
        )
        if plan is None:
            return False
        workers = {member.worker_id for member in plan.placement.members}
        if workers & self._gangs.pending_workers():
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
        return reservation.workers if ends_at > reservation.at else frozenset()

    def _reserve_for(self, job: QueuedJob) -> None:
        """Reserve workers for the first gang of the pass that does not fit."""
        if self._reservation_tried or job.spec.accelerators <= 1:
            return
        self._reservation_tried = True
        ends = {gang.gang_id: gang.expected_end for gang in self._gangs.running_gangs()}
        self.reservation = reserve(
            job.job_id, job.spec, self._context.fleet, ends, self._context.now
        )

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

    def _take_room(self, job: QueuedJob) -> None:
        room = self._room
        self._room = room._replace(
            accelerators=room.accelerators - job.spec.accelerators,
            slots=room.slots - job.spec.tasks,
        )


def _measure(fleet: Fleet) -> _Room:
    accelerators = widest = slots = 0
    for worker in fleet.placeable_workers():
        free = worker.gangs_by_accelerator.count(None)
        accelerators += free
        widest = max(widest, free)
        slots += worker.free_slots
    return _Room(accelerators, widest, slots)
