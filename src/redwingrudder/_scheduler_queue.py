"""Job queue that is divided into lanes of equivalent jobs.

The jobs of a lane have the same requirements, class and caller, so only the
first job of each lane is a candidate for placement. A burst of jobs from a
few callers creates few lanes, however many jobs it has.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator, Set
from typing import NamedTuple

from ._scheduler_state import JobRecord


class ShapeKey(NamedTuple):
    """All properties of a job that decide whether it can be placed.

    Properties that have no influence are left empty or zero. Jobs of all
    organisations without a cell therefore share their shapes, as do jobs of
    all organisations that use no accelerators.
    """

    organisation: str
    tasks: int
    accelerators_per_task: int
    cores_per_task: int
    memory_mb_per_task: int
    may_borrow: bool
    stop_bound_s: float
    avoided: frozenset[str]


class LaneKey(NamedTuple):
    """Key of a lane: jobs of equal shape, organisation, class and caller."""

    shape: ShapeKey
    organisation: str
    job_class: str
    caller: str


class JobQueue:
    """Ids of queued jobs by lane, in the order in which they were added.

    ``cell_owners`` are the organisations that have cells in this domain.
    """

    def __init__(self) -> None:
        self._lanes_by_key: dict[LaneKey, OrderedDict[str, None]] = {}
        self._keys_by_shape: dict[ShapeKey, dict[LaneKey, None]] = {}
        self._keys_by_job: dict[str, LaneKey] = {}
        self.cell_owners: frozenset[str] = frozenset()

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._keys_by_job

    def add(self, job: JobRecord) -> None:
        """Add a job to the end of its lane; a retry goes to the front."""
        key = self._lane_key(job)
        lane = self._lanes_by_key.get(key)
        if lane is None:
            lane = self._lanes_by_key[key] = OrderedDict()
            self._keys_by_shape.setdefault(key.shape, {})[key] = None
        lane[job.job_id] = None
        self._keys_by_job[job.job_id] = key
        if job.attempts:
            lane.move_to_end(job.job_id, last=False)

    def remove(self, job_id: str) -> None:
        """Remove a job if it is queued."""
        key = self._keys_by_job.pop(job_id, None)
        if key is None:
            return
        lane = self._lanes_by_key[key]
        del lane[job_id]
        if lane:
            return
        del self._lanes_by_key[key]
        keys = self._keys_by_shape[key.shape]
        del keys[key]
        if not keys:
            del self._keys_by_shape[key.shape]

    def pop_all(self) -> list[str]:
        """Empty the queue and return the ids of its jobs, lane by lane."""
        job_ids = [job_id for lane in self._lanes_by_key.values() for job_id in lane]
        self._lanes_by_key.clear()
        self._keys_by_shape.clear()
        self._keys_by_job.clear()
        return job_ids

    def lane_key(self, job_id: str) -> LaneKey:
        """Return the key of a queued job's lane."""
        return self._keys_by_job[job_id]

    def first_job(self, key: LaneKey) -> str | None:
        """Return the id of the first job of a lane, or None if it is empty."""
        lane = self._lanes_by_key.get(key)
        return next(iter(lane)) if lane else None

    def lanes(self) -> Iterable[LaneKey]:
        """Return the keys of all lanes; no lane is empty."""
        return self._lanes_by_key.keys()

    def lanes_of_shapes(self, shapes: Iterable[ShapeKey]) -> Iterator[LaneKey]:
        """Yield the keys of all lanes with one of the given shapes."""
        for shape in shapes:
            yield from self._keys_by_shape.get(shape, ())

    def any_job(self, shape: ShapeKey) -> str | None:
        """Return the id of any queued job of a shape, or None without one."""
        keys = self._keys_by_shape.get(shape)
        return self.first_job(next(iter(keys))) if keys else None

    def shapes(self) -> Set[ShapeKey]:
        """Return the shapes of all queued jobs as a live view."""
        return self._keys_by_shape.keys()

    def _lane_key(self, job: JobRecord) -> LaneKey:
        spec = job.spec
        has_cell = spec.organisation in self.cell_owners
        uses_accelerators = spec.accelerators_per_task > 0
        shape = ShapeKey(
            spec.organisation if has_cell and uses_accelerators else "",
            spec.tasks,
            spec.accelerators_per_task,
            spec.cores_per_task,
            spec.memory_mb_per_task,
            uses_accelerators and spec.preemptible and spec.idempotent,
            spec.stop_bound_s if uses_accelerators else 0.0,
            job.avoided,
        )
        return LaneKey(shape, spec.organisation, spec.job_class, spec.caller)
