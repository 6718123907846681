"""Queued jobs in lanes of equal jobs.

Jobs of a lane differ neither in what they need nor in who asks for it, so
only the first job of each lane is a candidate for placement. A flood from a
few callers makes few lanes, however many jobs it has.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator, Set
from typing import NamedTuple

from ._scheduler_state import JobRecord


class ShapeKey(NamedTuple):
    """Everything that decides whether a job can be placed.

    Fields without influence are left empty, so that jobs of organisations
    without a cell share their shapes, and so do all jobs that take no
    accelerators.
    """

    organisation: str
    tasks: int
    accelerators_per_task: int
    cores_per_task: int
    memory_mb_per_task: int
    borrows: bool
    stop_bound_s: float
    avoided: frozenset[str]


class LaneKey(NamedTuple):
    """Jobs of equal shape, class and caller."""

    shape: ShapeKey
    organisation: str
    job_class: str
    caller: str


class JobQueue:
    """Lanes of job ids in the order of submission."""

    def __init__(self) -> None:
        self._lanes_by_key: dict[LaneKey, OrderedDict[str, None]] = {}
        self._keys_by_shape: dict[ShapeKey, dict[LaneKey, None]] = {}
        self._keys_by_job: dict[str, LaneKey] = {}
        self.cell_owners: frozenset[str] = frozenset()

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._keys_by_job

    def add(self, job: JobRecord) -> None:
        """Add a job; one that was tried before goes to the front."""
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
        """Remove a job; an unknown one is ignored."""
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

    def take_all(self) -> list[str]:
        """Empty the queue and return its jobs, lane by lane."""
        job_ids = [job_id for lane in self._lanes_by_key.values() for job_id in lane]
        self._lanes_by_key.clear()
        self._keys_by_shape.clear()
        self._keys_by_job.clear()
        return job_ids

    def key(self, job_id: str) -> LaneKey:
        """Return the lane of a queued job."""
        return self._keys_by_job[job_id]

    def head(self, key: LaneKey) -> str | None:
        """Return the first job of a lane."""
        lane = self._lanes_by_key.get(key)
        return next(iter(lane)) if lane else None

    def lanes(self) -> Iterable[LaneKey]:
        """Return all lanes that have a job."""
        return self._lanes_by_key.keys()

    def lanes_of(self, shapes: Iterable[ShapeKey]) -> Iterator[LaneKey]:
        """Yield every lane of the given shapes."""
        for shape in shapes:
            yield from self._keys_by_shape.get(shape, ())

    def example(self, shape: ShapeKey) -> str | None:
        """Return any job of a shape."""
        keys = self._keys_by_shape.get(shape)
        return self.head(next(iter(keys))) if keys else None

    def shapes(self) -> Set[ShapeKey]:
        """Return the shapes of all queued jobs."""
        return self._keys_by_shape.keys()

    def _lane_key(self, job: JobRecord) -> LaneKey:
        spec = job.spec
        has_cell = spec.organisation in self.cell_owners
        takes = spec.accelerators_per_task > 0
        shape = ShapeKey(
            spec.organisation if has_cell and takes else "",
            spec.tasks,
            spec.accelerators_per_task,
            spec.cores_per_task,
            spec.memory_mb_per_task,
            takes and spec.preemptible and spec.idempotent,
            spec.stop_bound_s if takes else 0.0,
            job.avoided,
        )
        return LaneKey(shape, spec.organisation, spec.job_class, spec.caller)
