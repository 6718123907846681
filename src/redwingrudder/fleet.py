"""Workers of one failure domain and the resources that gangs hold on them.

The module does no input or output. The fleet rejects a placement whose
resources are not free, so a fault in a policy cannot place two gangs on one
accelerator.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from .exceptions import ConflictError, NotFoundError
from .model import JobSpec, MemberPlacement, Placement, WorkerInfo


class WorkerKind(NamedTuple):
    """The resources of an empty worker, the same for all workers of a kind."""

    accelerators: int
    slots: int
    cores: int
    memory_mb: int

    def task_capacity(self, spec: JobSpec) -> int:
        """Return how many tasks of a job fit on an empty worker."""
        return count_tasks(spec, *self)


def count_tasks(
    spec: JobSpec, accelerators: int, slots: int, cores: int, memory_mb: int
) -> int:
    """Return how many tasks of a job fit into the given resources."""
    tasks = slots
    if spec.accelerators_per_task:
        tasks = min(tasks, accelerators // spec.accelerators_per_task)
    if spec.cores_per_task:
        tasks = min(tasks, cores // spec.cores_per_task)
    if spec.memory_mb_per_task:
        tasks = min(tasks, memory_mb // spec.memory_mb_per_task)
    return max(tasks, 0)


class WorkerState(NamedTuple):
    """A worker with its free resources, replaced by a new value on changes.

    ``boot_id`` identifies one start of the worker process. For each
    accelerator, ``gangs_by_accelerator`` has the id of the gang that holds
    it, or None if it is free.
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
        """Whether new tasks may be placed on this worker."""
        return not (self.draining or self.quarantined)

    @property
    def free_accelerators(self) -> tuple[int, ...]:
        """Indexes of the free accelerators."""
        return tuple(
            index
            for index, gang_id in enumerate(self.gangs_by_accelerator)
            if gang_id is None
        )


class HeldGang(NamedTuple):
    """A gang with those of its members that still hold resources."""

    gang_id: str
    spec: JobSpec
    members_by_worker: dict[str, MemberPlacement]


class Fleet:
    """All workers of one failure domain, by id and by rack.

    The indexes (gangs by worker, kinds by rack, workers that accept work by
    their free accelerators, free accelerators by rack) are updated on every
    change, so that a placement decision need not iterate over the gangs. A
    changed worker gets a new ``WorkerState``. Other modules can therefore
    cache values that are derived from a state as long as it is the same
    object.

    Attributes:
        workers_by_id: The workers.
        worker_ids_by_rack: Ids of the workers of each rack.
        gangs_by_id: The gangs that hold resources.
        gang_ids_by_worker: Ids of the gangs that hold resources on a worker.
        kinds_by_rack: Number of workers of each kind in a rack.
    """

    def __init__(self) -> None:
        self.workers_by_id: dict[str, WorkerState] = {}
        self.worker_ids_by_rack: dict[str, set[str]] = {}
        self.gangs_by_id: dict[str, HeldGang] = {}
        self.gang_ids_by_worker: dict[str, set[str]] = {}
        self.kinds_by_rack: dict[str, Counter[WorkerKind]] = {}
        self._workers_by_free: dict[int, dict[str, WorkerState]] = {}
        self._free_by_rack: Counter[str] = Counter()
        self._sequences_by_gang: dict[str, int] = {}
        self._last_sequence = 0

    def add_worker(self, info: WorkerInfo, boot_id: str, draining: bool) -> None:
        """Add an empty worker; a worker with the same id is removed first."""
        self.remove_worker(info.worker_id)
        worker = WorkerState(
            info,
            boot_id,
            draining,
            False,
            (None,) * info.accelerators,
            info.slots,
            info.cores,
            info.memory_mb,
        )
        self.workers_by_id[info.worker_id] = worker
        self._add_to_indexes(worker)
        self.worker_ids_by_rack.setdefault(info.rack, set()).add(info.worker_id)
        self.gang_ids_by_worker[info.worker_id] = set()
        self.kinds_by_rack.setdefault(info.rack, Counter())[_worker_kind(info)] += 1

    def remove_worker(self, worker_id: str) -> tuple[str, ...]:
        """Remove a worker and the members that hold its resources.

        Returns:
            The ids of the affected gangs, the oldest gang first; empty if the
            worker does not exist.
        """
        worker = self.workers_by_id.pop(worker_id, None)
        if worker is None:
            return ()
        self._remove_from_indexes(worker)
        self._remove_from_rack(worker.info)
        affected = tuple(
            sorted(self.gang_ids_by_worker[worker_id], key=self.gang_sequence)
        )
        for gang_id in affected:
            self._remove_member(gang_id, worker_id)
        del self.gang_ids_by_worker[worker_id]
        return affected

    def set_draining(self, worker_id: str) -> None:
        """Exclude a worker that is going to shut down from placement."""
        self._update(worker_id, draining=True)

    def set_quarantined(self, worker_id: str, quarantined: bool) -> None:
        """Exclude a faulty worker from placement, or include it again."""
        self._update(worker_id, quarantined=quarantined)

    def hold(self, gang_id: str, spec: JobSpec, placement: Placement) -> None:
        """Assign the resources of all members to a gang, or none on an error.

        Raises:
            ConflictError: The gang holds resources already, the placement
                lists a worker twice, or resources are not free.
            NotFoundError: A worker does not exist.
        """
        for member in placement.members:
            self._check_available(spec, member)
        if gang_id in self.gangs_by_id:
            raise ConflictError(f"gang {gang_id} already holds resources")
        if len({m.worker_id for m in placement.members}) < len(placement.members):
            raise ConflictError(
                f"the placement of gang {gang_id} lists a worker more than once"
            )
        for member in placement.members:
            self.hold_member(gang_id, spec, member)

    def hold_member(self, gang_id: str, spec: JobSpec, member: MemberPlacement) -> None:
        """Assign the resources of one member to a gang.

        It is called separately for members that a worker reports during
        recovery.

        Raises:
            ConflictError: The gang has a member on this worker already, or
                the resources are not free.
            NotFoundError: The worker does not exist.
        """
        self._check_available(spec, member)
        gang = self.gangs_by_id.get(gang_id) or self._add_gang(gang_id, spec)
        if member.worker_id in gang.members_by_worker:
            raise ConflictError(
                f"gang {gang_id} already holds resources on {member.worker_id}"
            )
        gang.members_by_worker[member.worker_id] = member
        self.gang_ids_by_worker[member.worker_id].add(gang_id)
        self._set_holder(member, spec, gang_id, sign=-1)

    def release_member(self, gang_id: str, worker_id: str) -> None:
        """Free the resources of a member; unknown members are ignored."""
        gang = self.gangs_by_id.get(gang_id)
        member = gang and gang.members_by_worker.get(worker_id)
        if member is None:
            return
        self._set_holder(member, gang.spec, None, sign=1)
        self._remove_member(gang_id, worker_id)

    def gang_sequence(self, gang_id: str) -> int:
        """Return a number that is higher for gangs that were added later."""
        return self._sequences_by_gang[gang_id]

    def workers_by_free(self, min_free_accelerators: int) -> Iterator[WorkerState]:
        """Yield workers that accept work, by increasing free accelerators.

        Args:
            min_free_accelerators: Workers with fewer free accelerators are
                skipped.
        """
        for free in sorted(self._workers_by_free):
            if free >= min_free_accelerators:
                yield from self._workers_by_free[free].values()

    def racks_by_free(self, min_free_accelerators: int) -> list[tuple[int, str]]:
        """Return racks with their free accelerators, the fullest rack first.

        Args:
            min_free_accelerators: Racks with fewer free accelerators are
                skipped.

        Returns:
            Pairs of free accelerators and name of the rack.
        """
        racks = ((free, rack) for rack, free in self._free_by_rack.items())
        return sorted(entry for entry in racks if entry[0] >= min_free_accelerators)

    def workers_in_rack(
        self, rack: str, min_free_accelerators: int
    ) -> list[WorkerState]:
        """Return workers of a rack that accept work, the fullest first.

        Args:
            rack: Name of the rack.
            min_free_accelerators: Workers with fewer free accelerators are
                skipped.
        """
        found = []
        for worker_id in self.worker_ids_by_rack[rack]:
            worker = self.workers_by_id[worker_id]
            free = worker.gangs_by_accelerator.count(None)
            if free >= min_free_accelerators and worker.accepts_work:
                found.append((free, worker_id, worker))
        return [worker for _, _, worker in sorted(found)]

    def most_free_on_worker(self) -> int:
        """Return the largest number of free accelerators on one worker.

        Workers that accept no work are left out.
        """
        return max(
            (n for n, group in self._workers_by_free.items() if group), default=0
        )

    def most_free_on_rack(self) -> int:
        """Return the largest number of free accelerators in one rack.

        Workers that accept no work are left out.
        """
        return max(self._free_by_rack.values(), default=0)

    def free_in_domain(self) -> int:
        """Count the free accelerators of all workers that accept work."""
        return sum(self._free_by_rack.values())

    def largest_worker(self) -> int:
        """Return the number of accelerators of the largest worker."""
        kinds = set().union(*self.kinds_by_rack.values())
        return max((kind.accelerators for kind in kinds), default=0)

    def largest_rack(self) -> int:
        """Return the number of accelerators of the largest rack."""
        return max(
            (
                sum(kind.accelerators * count for kind, count in kinds.items())
                for kinds in self.kinds_by_rack.values()
            ),
            default=0,
        )

    def fits_empty_worker(self, spec: JobSpec) -> bool:
        """Return whether the whole gang would fit on some empty worker."""
        kinds = set().union(*self.kinds_by_rack.values())
        return any(kind.task_capacity(spec) >= spec.tasks for kind in kinds)

    def fits_empty_rack(self, spec: JobSpec) -> bool:
        """Return whether the whole gang would fit in some empty rack."""
        return any(
            sum(kind.task_capacity(spec) * count for kind, count in kinds.items())
            >= spec.tasks
            for kinds in self.kinds_by_rack.values()
        )

    def total_accelerators(self) -> int:
        """Count the accelerators of all workers, free or in use."""
        return sum(w.info.accelerators for w in self.workers_by_id.values())

    def count_free_accelerators(self, workers: Iterable[WorkerState]) -> int:
        """Count the free accelerators of the given workers."""
        return sum(worker.gangs_by_accelerator.count(None) for worker in workers)

    def placeable_workers(self) -> list[WorkerState]:
        """Return the workers that are neither draining nor quarantined."""
        return [w for w in self.workers_by_id.values() if w.accepts_work]

    def _check_available(self, spec: JobSpec, member: MemberPlacement) -> None:
        worker = self.workers_by_id.get(member.worker_id)
        if worker is None:
            raise NotFoundError(
                f"worker {member.worker_id} does not exist", code="no_such_worker"
            )
        for index in member.accelerators:
            unavailable = not 0 <= index < worker.info.accelerators or (
                worker.gangs_by_accelerator[index] is not None
            )
            if unavailable:
                raise ConflictError(
                    f"accelerator {index} of {member.worker_id} is in use or "
                    "does not exist"
                )
        count = len(member.tasks)
        if (
            worker.free_slots < count
            or worker.free_cores < count * spec.cores_per_task
            or worker.free_memory_mb < count * spec.memory_mb_per_task
        ):
            raise ConflictError(
                f"{member.worker_id} lacks slots, cores or memory for {count} tasks: "
                f"{worker.free_slots} slots, {worker.free_cores} cores and "
                f"{worker.free_memory_mb} MB are free"
            )

    def _set_holder(
        self, member: MemberPlacement, spec: JobSpec, gang_id: str | None, sign: int
    ) -> None:
        worker = self.workers_by_id[member.worker_id]
        holders = list(worker.gangs_by_accelerator)
        for index in member.accelerators:
            holders[index] = gang_id
        count = len(member.tasks)
        self._replace(
            worker,
            gangs_by_accelerator=tuple(holders),
            free_slots=worker.free_slots + sign * count,
            free_cores=worker.free_cores + sign * count * spec.cores_per_task,
            free_memory_mb=worker.free_memory_mb
            + sign * count * spec.memory_mb_per_task,
        )

    def _add_gang(self, gang_id: str, spec: JobSpec) -> HeldGang:
        gang = HeldGang(gang_id, spec, {})
        self.gangs_by_id[gang_id] = gang
        self._last_sequence += 1
        self._sequences_by_gang[gang_id] = self._last_sequence
        return gang

    def _remove_member(self, gang_id: str, worker_id: str) -> None:
        gang = self.gangs_by_id[gang_id]
        del gang.members_by_worker[worker_id]
        self.gang_ids_by_worker[worker_id].discard(gang_id)
        if not gang.members_by_worker:
            del self.gangs_by_id[gang_id]
            del self._sequences_by_gang[gang_id]

    def _remove_from_rack(self, info: WorkerInfo) -> None:
        worker_ids = self.worker_ids_by_rack[info.rack]
        worker_ids.discard(info.worker_id)
        kinds = self.kinds_by_rack[info.rack]
        kinds[_worker_kind(info)] -= 1
        if not kinds[_worker_kind(info)]:
            del kinds[_worker_kind(info)]
        if not worker_ids:
            del self.worker_ids_by_rack[info.rack]
            del self.kinds_by_rack[info.rack]
            del self._free_by_rack[info.rack]

    def _update(self, worker_id: str, **changes: bool) -> None:
        worker = self.workers_by_id.get(worker_id)
        if worker is not None:
            self._replace(worker, **changes)

    def _replace(self, worker: WorkerState, **changes: object) -> None:
        self._remove_from_indexes(worker)
        changed = worker._replace(**changes)
        self.workers_by_id[worker.info.worker_id] = changed
        self._add_to_indexes(changed)

    def _add_to_indexes(self, worker: WorkerState) -> None:
        if worker.accepts_work:
            free = worker.gangs_by_accelerator.count(None)
            group = self._workers_by_free.setdefault(free, {})
            group[worker.info.worker_id] = worker
            self._free_by_rack[worker.info.rack] += free

    def _remove_from_indexes(self, worker: WorkerState) -> None:
        if worker.accepts_work:
            free = worker.gangs_by_accelerator.count(None)
            del self._workers_by_free[free][worker.info.worker_id]
            self._free_by_rack[worker.info.rack] -= free


def _worker_kind(info: WorkerInfo) -> WorkerKind:
    return WorkerKind(info.accelerators, info.slots, info.cores, info.memory_mb)
