"""Gangs of the domain: their creation and the answers of their workers."""

from ._scheduler_chart import GANG_CHART
from ._scheduler_gang_lifecycle import GangLifecycle, service_units
from ._scheduler_state import GangRecord, GangStopCause, JobRecord
from .exceptions import RedwingrudderError
from .messages import (
    ReserveAnswered,
    StartAnswered,
    StartRecordAnswered,
    TaskEnded,
)
from .model import MemberPlacement, Placement, TaskOutcome

# Refusal codes of a repeated start, which confirm that the member has started.
STARTED_REASONS = frozenset({"already_started", "already_ended"})

# A gang beyond its expected end is assumed to run for another half of the time
# that it has already run.
OVERRUN_SHARE = 0.5
MS_PER_S = 1000  # gang ids hold the time of their creation in milliseconds


class GangTable(GangLifecycle):
    """All gangs that hold resources or wait for answers from workers."""

    def create(
        self, job: JobRecord, placement: Placement, probed_worker: str | None
    ) -> None:
        """Create the gang of a queued job and reserve its members.

        Args:
            job: The queued job.
            placement: Free resources for all members.
            probed_worker: Quarantined worker that this gang probes, if any.
        """
        gang = self._new_gang(job, placement)._replace(probed_worker=probed_worker)
        self._context.fleet.hold(gang.gang_id, job.spec, placement)
        self._add_for_job(gang, job)
        self.fire(gang.gang_id, "placed")

    def create_reclaiming(
        self, job: JobRecord, placement: Placement, borrowers: tuple[str, ...]
    ) -> None:
        """Create a gang that is placed after stopping the given borrowers."""
        gang = self._new_gang(job, placement)._replace(borrowers=borrowers)
        gang.unheld.update(gang.members_by_worker)
        self._add_for_job(gang, job)
        self.reclaiming.add(gang.gang_id)
        self.fire(gang.gang_id, "reclaim_planned")

    def add_recovered(self, gang: GangRecord) -> None:
        """Add a gang that was rebuilt from the report of a worker."""
        self.gangs_by_id[gang.gang_id] = gang
        self._count_held(gang, 1)
        self.recovering.add(gang.gang_id)

    def advance_reclaims(self) -> bool:
        """Hold resources freed by borrowers for the reclaiming gangs.

        Returns:
            Whether at least one gang now holds all its resources.
        """
        placed = False
        for gang_id in sorted(self.reclaiming):
            gang = self.gangs_by_id[gang_id]
            if not self._is_still_allowed(gang):
                # The cells have been reassigned since the reclaim was planned.
                self.set_cause(gang_id, GangStopCause.BUSY, "cells_changed")
                self.fire(gang_id, "member_draining")
                self.advance(gang_id)
                continue
            for worker_id in sorted(gang.unheld):
                self._try_hold(gang, gang.members_by_worker[worker_id])
            if not gang.unheld:
                self.fire(gang_id, "placed")
                placed = True
        return placed

    def pending_workers(self) -> frozenset[str]:
        """Return the workers on which reclaiming gangs wait for resources."""
        return frozenset(
            worker_id
            for gang_id in self.reclaiming
            for worker_id in self.gangs_by_id[gang_id].unheld
        )

    def reserve_answered(self, event: ReserveAnswered) -> None:
        """Handle the answer of a worker to a reservation."""
        gang = self._find_gang(event.gang_id, event.worker_id)
        if gang is None or event.worker_id in gang.reserved or gang.stop_sent:
            return
        if event.accepted:
            gang.reserved.add(event.worker_id)
            self.fire(gang.gang_id, "member_reserved")
            self.advance(gang.gang_id)
            return
        cause = (
            GangStopCause.REFUSED if event.reason == "draining" else GangStopCause.BUSY
        )
        self._mark_member_released(gang, event.worker_id)
        self.set_cause(gang.gang_id, cause, event.reason)
        self.fire(gang.gang_id, "member_refused")
        self.advance(gang.gang_id)
        if event.reason == "draining":
            self.worker_draining(event.worker_id)

    def start_record_answered(self, event: StartRecordAnswered) -> None:
        """Handle the answer of the store to a start record."""
        gang = self.gangs_by_id.get(event.gang_id)
        if gang is None or gang.spec.idempotent:
            return
        if event.accepted:
            self.fire(gang.gang_id, "start_recorded")
            return
        if gang.state == "recording":
            self.set_cause(
                gang.gang_id, GangStopCause.BUSY, event.reason or "record_refused"
            )
        self.fire(gang.gang_id, "record_refused")
        self.advance(gang.gang_id)

    def start_answered(self, event: StartAnswered) -> None:
        """Handle the answer of a worker to a start."""
        gang = self._find_gang(event.gang_id, event.worker_id)
        if gang is None or event.worker_id not in gang.start_sent:
            return
        if event.worker_id in gang.started:
            return
        if event.accepted or event.reason in STARTED_REASONS:
            self._member_started(gang, event.worker_id)
        else:
            # The member did not start, so a release is sent instead of a stop.
            gang.start_sent.discard(event.worker_id)
            gang.stop_sent.discard(event.worker_id)
            self.set_cause(
                gang.gang_id, GangStopCause.LOST, event.reason or "start_refused"
            )
            self.fire(gang.gang_id, "start_refused")
        self.advance(gang.gang_id)

    def task_ended(self, event: TaskEnded) -> None:
        """Handle the end of a task; repeated and unknown ends are ignored."""
        gang = self._find_gang(event.gang_id, event.worker_id)
        result = event.result
        if gang is None or event.worker_id not in gang.start_sent:
            return
        if result.task_index not in gang.members_by_worker[event.worker_id].tasks:
            return
        if result.task_index in gang.results_by_task:
            return
        gang.results_by_task[result.task_index] = result
        if event.worker_id not in gang.started:
            self._member_started(gang, event.worker_id)
        if gang.member_ended(event.worker_id):
            self._context.release(gang.gang_id, event.worker_id)
        self._handle_outcome(gang, event)
        self.advance(gang.gang_id)

    def release_answered(self, gang_id: str, worker_id: str) -> None:
        """Handle the confirmation that a worker has released a member."""
        gang = self._find_gang(gang_id, worker_id)
        if (
            gang is None
            or worker_id not in gang.stop_sent
            or worker_id in gang.start_sent
        ):
            return
        self._mark_member_released(gang, worker_id)
        self.advance(gang_id)

    def worker_draining(self, worker_id: str) -> None:
        """Mark a worker as draining and preempt the gangs that can move."""
        fleet = self._context.fleet
        worker = fleet.workers_by_id.get(worker_id)
        if worker is None or worker.draining:
            return
        fleet.set_draining(worker_id)
        self._context.cells_changed = self._context.resources_changed = True
        for gang in list(self.gangs_by_id.values()):
            if worker_id not in gang.members_by_worker or worker_id in gang.released:
                continue
            if not gang.start_sent:
                self.set_cause(gang.gang_id, GangStopCause.REFUSED, "draining")
            self.fire(gang.gang_id, "member_draining")
            self.preempt(gang.gang_id)
            self.advance(gang.gang_id)

    def worker_lost(self, worker_id: str, reason: str) -> None:
        """Mark the members of all gangs on a lost worker as lost."""
        affected = [
            gang
            for gang in self.gangs_by_id.values()
            if worker_id in gang.members_by_worker and worker_id not in gang.released
        ]
        for gang in affected:
            self.member_lost(gang.gang_id, worker_id, reason)

    def member_lost(self, gang_id: str, worker_id: str, reason: str) -> None:
        """Mark a member as lost; the results it has reported stay valid."""
        gang = self.gangs_by_id[gang_id]
        ended = gang.member_ended(worker_id)
        self._mark_member_released(gang, worker_id)
        if not ended:
            self.set_cause(gang_id, GangStopCause.LOST, reason)
            self.fire(gang_id, "member_lost")
        self.advance(gang_id)

    def cancel(self, gang_id: str, cause: GangStopCause) -> None:
        """Release or stop a gang whose job was cancelled or has expired."""
        gang = self.gangs_by_id[gang_id]
        self.gangs_by_id[gang_id] = gang._replace(cause=cause, reason=cause.value)
        self.fire(gang_id, "cancel")
        self.advance(gang_id)

    def expected_end(self, gang_id: str) -> float:
        """Return the Unix time at which a gang should free its resources."""
        gang, now = self.gangs_by_id[gang_id], self._context.now
        if gang.state in ("stopping", "releasing"):
            return now + gang.spec.stop_bound_s
        end = gang.started_at + gang.expected_run_s
        if end > now:
            return end
        return now + OVERRUN_SHARE * (now - gang.started_at)

    def _new_gang(self, job: JobRecord, placement: Placement) -> GangRecord:
        now = self._context.now
        self._serial += 1
        # Ids are unique across owners, since a worker never runs an id twice.
        owner = self._context.owner
        gang_id = f"{job.job_id}.{owner}{int(now * MS_PER_S):x}.{self._serial:x}"
        members = {member.worker_id: member for member in placement.members}
        gang = empty_gang(gang_id, job, len(members))
        gang.members_by_worker.update(members)
        expected_run_s = self._context.policies.order.expected_run_s(job.spec)
        return gang._replace(started_at=now, expected_run_s=expected_run_s)

    def _add_for_job(self, gang: GangRecord, job: JobRecord) -> None:
        charged = gang.expected_run_s * service_units(gang)
        policies = self._context.policies
        policies.order.observe_service(job.spec, charged, self._context.now)
        self.gangs_by_id[gang.gang_id] = gang._replace(charged=charged)
        self._count_held(gang, 1)
        self._jobs.fire(job.job_id, "gang_created", gang_id=gang.gang_id, reason="")

    def _find_gang(self, gang_id: str, worker_id: str) -> GangRecord | None:
        """Return a gang if it has an unreleased member on a worker."""
        gang = self.gangs_by_id.get(gang_id)
        if gang is None or worker_id not in gang.members_by_worker:
            return None
        return None if worker_id in gang.released else gang

    def _mark_member_released(self, gang: GangRecord, worker_id: str) -> None:
        gang.released.add(worker_id)
        gang.unheld.discard(worker_id)
        self._context.release(gang.gang_id, worker_id)

    def _member_started(self, gang: GangRecord, worker_id: str) -> None:
        gang.started.add(worker_id)
        self.fire(gang.gang_id, "member_started")

    def _handle_outcome(self, gang: GangRecord, event: TaskEnded) -> None:
        outcome = event.result.outcome
        health, now = self._context.policies.health, self._context.now
        if outcome is TaskOutcome.SUCCEEDED:
            health.observe(event.worker_id, gang.job_id, False, now)
            self.fire(gang.gang_id, "task_ended")
            return
        if outcome is TaskOutcome.FAILED:
            health.observe(event.worker_id, gang.job_id, True, now)
            self.set_cause(gang.gang_id, GangStopCause.FAILED, "task_failed")
        # Without effect if a cause is set already, as for a failed task.
        self.set_cause(gang.gang_id, GangStopCause.LOST, "stopped_by_worker")
        self.fire(gang.gang_id, "task_failed")

    def _is_still_allowed(self, gang: GangRecord) -> bool:
        cell_table = self._context.guarantees
        return all(
            cell_table.allows_member(gang.spec, gang.members_by_worker[worker_id])
            for worker_id in gang.unheld
        )

    def _try_hold(self, gang: GangRecord, member: MemberPlacement) -> None:
        try:
            self._context.fleet.hold_member(gang.gang_id, gang.spec, member)
        except RedwingrudderError:
            return
        gang.unheld.discard(member.worker_id)


def empty_gang(gang_id: str, job: JobRecord, member_count: int) -> GangRecord:
    """Return a new gang of a job, without members yet."""
    return GangRecord(
        gang_id,
        job.job_id,
        job.spec,
        job.submitted_at,
        GANG_CHART.initial,
        member_count,
        members_by_worker={},
        reserved=set(),
        started=set(),
        start_sent=set(),
        stop_sent=set(),
        released=set(),
        unheld=set(),
        results_by_task={},
    )
