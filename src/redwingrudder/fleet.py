"""Workers of one failure domain and what is held on them.

Pure bookkeeping without input or output. Holdings are keyed by gang; the
fleet refuses a double holding, so a fault in a policy cannot place two gangs
on one accelerator.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .exceptions import ConflictError, NotFoundError
from .model import JobSpec, MemberPlacement, Placement, WorkerInfo


class WorkerState(NamedTuple):
    """A worker with its free resources; replaced on every change.

    ``gangs_by_accelerator`` has one entry per accelerator: the id of the
    gang that holds it, or None.
    """

    info: WorkerInfo
    boot_id: str
    draining: bool
    quarantined: bool
    gangs_by_accelerator: tuple[str | None, ...]
    free_slots: int
    free_cores: int
    free_memory_mb: int

    @property
    def accepts_work(self) -> bool:
        """Whether new work may be placed here."""
        return not (self.draining or self.quarantined)

    @property
    def free_accelerators(self) -> tuple[int, ...]:
        """Indexes of the accelerators that no gang holds."""
        return tuple(
            index
            for index, gang_id in enumerate(self.gangs_by_accelerator)
            if gang_id is None
        )


class HeldGang(NamedTuple):
    """A gang with the members that still hold resources."""

    gang_id: str
    spec: JobSpec
    members_by_worker: dict[str, MemberPlacement]


class Fleet:
    """All workers of one failure domain, by id and by rack."""

    def __init__(self) -> None:
        self.workers_by_id: dict[str, WorkerState] = {}
        self.worker_ids_by_rack: dict[str, set[str]] = {}
        self.gangs_by_id: dict[str, HeldGang] = {}

    def add_worker(self, info: WorkerInfo, boot_id: str, draining: bool) -> None:
        """Add a worker with nothing held; an existing one is replaced."""
        self.remove_worker(info.worker_id)
        self.workers_by_id[info.worker_id] = WorkerState(
            info,
            boot_id,
            draining,
            False,
            (None,) * info.accelerators,
            info.slots,
            info.cores,
            info.memory_mb,
        )
        self.worker_ids_by_rack.setdefault(info.rack, set()).add(info.worker_id)

    def remove_worker(self, worker_id: str) -> tuple[str, ...]:
        """Remove a worker; returns the gangs that held resources there."""
        worker = self.workers_by_id.pop(worker_id, None)
        if worker is None:
            return ()
        rack = self.worker_ids_by_rack[worker.info.rack]
        rack.discard(worker_id)
        if not rack:
            del self.worker_ids_by_rack[worker.info.rack]
        affected = tuple(
            gang.gang_id
            for gang in self.gangs_by_id.values()
            if worker_id in gang.members_by_worker
        )
        for gang_id in affected:
            self._drop_member(gang_id, worker_id)
        return affected

    def set_draining(self, worker_id: str) -> None:
        """Mark a worker as leaving."""
        self._update(worker_id, draining=True)

    def set_quarantined(self, worker_id: str, quarantined: bool) -> None:
        """Exclude a worker from placement, or include it again."""
        self._update(worker_id, quarantined=quarantined)

    def hold(self, gang_id: str, spec: JobSpec, placement: Placement) -> None:
        """Hold the resources of a whole placement, or raise and hold none.

        Raises:
            ConflictError: Something is held already or does not exist.
        """
        for member in placement.members:
            self._check_free(spec, member)
        if gang_id in self.gangs_by_id:
            raise ConflictError(f"gang {gang_id} holds resources already")
        self.gangs_by_id[gang_id] = HeldGang(gang_id, spec, {})
        for member in placement.members:
            self.hold_member(gang_id, spec, member)

    def hold_member(self, gang_id: str, spec: JobSpec, member: MemberPlacement) -> None:
        """Hold one member, as a worker reports it during recovery."""
        self._check_free(spec, member)
        gang = self.gangs_by_id.setdefault(gang_id, HeldGang(gang_id, spec, {}))
        if member.worker_id in gang.members_by_worker:
            raise ConflictError(f"gang {gang_id} already holds {member.worker_id}")
        gang.members_by_worker[member.worker_id] = member
        self._occupy(member, spec, gang_id, sign=-1)

    def release_member(self, gang_id: str, worker_id: str) -> None:
        """Free what a member holds; unknown members are ignored."""
        gang = self.gangs_by_id.get(gang_id)
        member = gang and gang.members_by_worker.get(worker_id)
        if member is None:
            return
        self._occupy(member, gang.spec, None, sign=1)
        self._drop_member(gang_id, worker_id)

    def total_accelerators(self) -> int:
        """Return the number of accelerators of all workers."""
        return sum(w.info.accelerators for w in self.workers_by_id.values())

    def count_free_accelerators(self, workers: Iterable[WorkerState]) -> int:
        """Return the free accelerators of the given workers."""
        return sum(worker.gangs_by_accelerator.count(None) for worker in workers)

    def placeable_workers(self) -> list[WorkerState]:
        """Return the workers that accept new work."""
        return [w for w in self.workers_by_id.values() if w.accepts_work]

    def _check_free(self, spec: JobSpec, member: MemberPlacement) -> None:
        worker = self.workers_by_id.get(member.worker_id)
        if worker is None:
            raise NotFoundError(f"no worker {member.worker_id}", code="no_such_worker")
        for index in member.accelerators:
            held = not 0 <= index < worker.info.accelerators or (
                worker.gangs_by_accelerator[index] is not None
            )
            if held:
                raise ConflictError(
                    f"accelerator {index} of {member.worker_id} is not free"
                )
        count = len(member.tasks)
        if (
            worker.free_slots < count
            or worker.free_cores < count * spec.cores_per_task
            or worker.free_memory_mb < count * spec.memory_mb_per_task
        ):
            raise ConflictError(f"{member.worker_id} lacks slots, cores or memory")

    def _occupy(
        self, member: MemberPlacement, spec: JobSpec, gang_id: str | None, sign: int
    ) -> None:
        worker = self.workers_by_id[member.worker_id]
        holders = list(worker.gangs_by_accelerator)
        for index in member.accelerators:
            holders[index] = gang_id
        count = len(member.tasks)
        self.workers_by_id[member.worker_id] = worker._replace(
            gangs_by_accelerator=tuple(holders),
            free_slots=worker.free_slots + sign * count,
            free_cores=worker.free_cores + sign * count * spec.cores_per_task,
            free_memory_mb=worker.free_memory_mb
            + sign * count * spec.memory_mb_per_task,
        )

    def _drop_member(self, gang_id: str, worker_id: str) -> None:
        gang = self.gangs_by_id[gang_id]
        del gang.members_by_worker[worker_id]
        if not gang.members_by_worker:
            del self.gangs_by_id[gang_id]

    def _update(self, worker_id: str, **changes: bool) -> None:
        worker = self.workers_by_id.get(worker_id)
        if worker is not None:
            self.workers_by_id[worker_id] = worker._replace(**changes)
