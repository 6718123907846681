"""Queued jobs in lanes of equal jobs.

Jobs of a lane differ neither in what they need nor in who asks for it, so
only the first job of each lane is a candidate for placement. A flood from a
few callers makes few lanes, however many jobs it has.
"""

from collections import OrderedDict
from typing import NamedTuple

from ._scheduler_state import JobRecord


class ShapeKey(NamedTuple):
    """Everything that decides whether a job can be placed."""

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
    job_class: str
    caller: str


def lane_key(job: JobRecord) -> LaneKey:
    """Return the lane of a job."""
    spec = job.spec
    shape = ShapeKey(
        spec.organisation,
        spec.tasks,
        spec.accelerators_per_task,
        spec.cores_per_task,
        spec.memory_mb_per_task,
        spec.preemptible and spec.idempotent,
        spec.stop_bound_s,
        job.avoided,
    )
    return LaneKey(shape, spec.job_class, spec.caller)


class JobQueue:
    """Lanes of job ids in the order of submission."""

    def __init__(self) -> None:
        self._lanes_by_key: dict[LaneKey, OrderedDict[str, None]] = {}
        self._keys_by_job: dict[str, LaneKey] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._keys_by_job

    def add(self, job: JobRecord) -> None:
        """Add a job; one that was tried before goes to the front."""
        key = lane_key(job)
        lane = self._lanes_by_key.setdefault(key, OrderedDict())
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
        if not lane:
            del self._lanes_by_key[key]

    def key(self, job_id: str) -> LaneKey:
        """Return the lane of a queued job."""
        return self._keys_by_job[job_id]

    def head(self, key: LaneKey) -> str | None:
        """Return the first job of a lane."""
        lane = self._lanes_by_key.get(key)
        return next(iter(lane)) if lane else None

    def heads(self) -> list[str]:
        """Return the first job of every lane."""
        return [next(iter(lane)) for lane in self._lanes_by_key.values()]
