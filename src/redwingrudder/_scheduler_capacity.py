"""What is free, as far as placement passes need to know it."""

from typing import NamedTuple

from ._scheduler_state import Context
from .fleet import WorkerState
from .guarantees import CellTable
from .model import JobSpec


class FreeCapacity(NamedTuple):
    """Free resources of a domain at one time.

    ``widest`` is the most free accelerators on one worker. ``open_workers``
    have free accelerators outside all cells, ``open_accelerators`` in total.
    """

    accelerators: int
    widest: int
    slots: int
    open_accelerators: int
    open_workers: frozenset[str]
    total_accelerators: int
    total_slots: int

    def may_fit(self, spec: JobSpec) -> bool:
        """Whether a search for a place can succeed at all."""
        return (
            spec.accelerators <= self.accelerators
            and spec.accelerators_per_task <= self.widest
            and spec.tasks <= self.slots
        )

    def without(self, spec: JobSpec) -> "FreeCapacity":
        """Return the capacity after a job was placed; bounds stay bounds."""
        return self._replace(
            accelerators=self.accelerators - spec.accelerators,
            slots=self.slots - spec.tasks,
            open_accelerators=max(0, self.open_accelerators - spec.accelerators),
        )


NO_FREE_CAPACITY = FreeCapacity(0, 0, 0, 0, frozenset(), 0, 0)


def measure_free_capacity(context: Context) -> FreeCapacity:
    """Return the free resources of the workers that accept work."""
    fleet = context.fleet
    layout = context.guarantees.layout_of(fleet)
    slots = total = total_slots = open_accelerators = 0
    open_workers = set()
    for worker in fleet.placeable_workers():
        slots += worker.free_slots
        total_slots += worker.info.slots
        total += worker.info.accelerators
        if None in worker.gangs_by_accelerator:
            unassigned = len(layout.capacity(worker).unassigned)
            open_accelerators += unassigned
            if unassigned:
                open_workers.add(worker.info.worker_id)
    return FreeCapacity(
        fleet.free_in_domain(),
        fleet.most_free_on_worker(),
        slots,
        open_accelerators,
        frozenset(open_workers),
        total,
        total_slots,
    )


def can_place_task(spec: JobSpec, worker: WorkerState, guarantees: CellTable) -> bool:
    """Whether a worker has capacity for at least one task of a job."""
    needed = spec.accelerators_per_task
    if worker.free_slots < 1 or worker.free_cores < spec.cores_per_task:
        return False
    if worker.free_memory_mb < spec.memory_mb_per_task:
        return False
    usable = guarantees.usable_accelerators if needed else None
    return usable is None or len(usable(spec, worker.info.worker_id)) >= needed
