"""Summary of free resources, used to skip futile placement searches."""

from typing import NamedTuple

from ._scheduler_state import Context
from .fleet import WorkerState
from .guarantees import CellTable
from .model import JobSpec


class FreeCapacity(NamedTuple):
    """Free and total resources of the workers that accept work.

    Attributes:
        accelerators: Free accelerators of the domain.
        max_free_on_worker: Largest number of free accelerators on one worker.
        slots: Free slots of the domain.
        unassigned_accelerators: Free accelerators outside all cells.
        workers_with_unassigned: Workers that have such accelerators.
        total_accelerators: Accelerators, free or in use.
        total_slots: Slots, free or in use.
    """

    accelerators: int
    max_free_on_worker: int
    slots: int
    unassigned_accelerators: int
    workers_with_unassigned: frozenset[str]
    total_accelerators: int
    total_slots: int

    def may_fit(self, spec: JobSpec) -> bool:
        """Whether a placement search for this job can succeed at all."""
        return (
            spec.accelerators <= self.accelerators
            and spec.accelerators_per_task <= self.max_free_on_worker
            and spec.tasks <= self.slots
        )

    def without(self, spec: JobSpec) -> "FreeCapacity":
        """Return the capacity that is left after a job was placed.

        ``max_free_on_worker`` and ``workers_with_unassigned`` are not
        updated and remain upper bounds.
        """
        return self._replace(
            accelerators=self.accelerators - spec.accelerators,
            slots=self.slots - spec.tasks,
            unassigned_accelerators=max(
                0, self.unassigned_accelerators - spec.accelerators
            ),
        )


NO_FREE_CAPACITY = FreeCapacity(0, 0, 0, 0, frozenset(), 0, 0)


def measure_free_capacity(context: Context) -> FreeCapacity:
    """Sum up the resources of the workers that accept work."""
    fleet = context.fleet
    layout = context.guarantees.layout_of(fleet)
    slots = total_accelerators = total_slots = unassigned_accelerators = 0
    workers_with_unassigned = set()
    for worker in fleet.placeable_workers():
        slots += worker.free_slots
        total_slots += worker.info.slots
        total_accelerators += worker.info.accelerators
        if None in worker.gangs_by_accelerator:
            unassigned = len(layout.capacity(worker).unassigned)
            unassigned_accelerators += unassigned
            if unassigned:
                workers_with_unassigned.add(worker.info.worker_id)
    return FreeCapacity(
        fleet.free_in_domain(),
        fleet.most_free_on_worker(),
        slots,
        unassigned_accelerators,
        frozenset(workers_with_unassigned),
        total_accelerators,
        total_slots,
    )


def can_place_task(spec: JobSpec, worker: WorkerState, guarantees: CellTable) -> bool:
    """Whether a worker has the resources for at least one task of a job."""
    needed = spec.accelerators_per_task
    if worker.free_slots < 1 or worker.free_cores < spec.cores_per_task:
        return False
    if worker.free_memory_mb < spec.memory_mb_per_task:
        return False
    usable = guarantees.usable_accelerators if needed else None
    return usable is None or len(usable(spec, worker.info.worker_id)) >= needed
