"""Tells jobs apart that use the same id one after the other."""

from typing import NamedTuple, TypeVar

from ..workflows.model import TaskKey
from ._history import History
from ._run_records import AcknowledgedEnd, RunInterval
from ._schedule import Job

_Keyed = TypeVar("_Keyed", bound=NamedTuple)


class Generations:
    """Names the later job of each id that is used again.

    In a history, the tasks of a later job have the id of that job, which no
    other job has, in place of the id under which it was submitted. A start
    names its job by the payload; a stop or a checkpoint counts as that of the
    later job once that was submitted.

    Args:
        jobs: All jobs.
    """

    def __init__(self, jobs: tuple[Job, ...]) -> None:
        self._later_by_payload = {job.payload: job for job in jobs if job.used_id}
        self._later_by_id = {job.used_id: job for job in jobs if job.used_id}
        self._submitted_at_by_id: dict[str, float] = {}

    def add_submission(self, job: Job, now: float) -> None:
        """Note the first submission of a job."""
        if job.used_id:
            self._submitted_at_by_id.setdefault(job.used_id, now)

    def id_at(self, workflow_id: str, at: float) -> str:
        """Return the id of the job that uses an id at some time."""
        if at < self._submitted_at_by_id.get(workflow_id, float("inf")):
            return workflow_id
        return self._later_by_id[workflow_id].workflow_id

    def rename(self, history: History) -> History:
        """Return a history in which the tasks of later jobs are renamed."""
        if not self._later_by_id:
            return history
        payload_by_start = {
            (start.key, start.run, start.worker_id, start.sent_at): start.payload
            for start in history.starts
        }

        def rename_run(run: RunInterval) -> RunInterval:
            start = (run.key, run.run, run.worker_id, run.sent_at)
            return run._replace(key=self._by_payload(run.key, payload_by_start[start]))

        def rename_end(end: AcknowledgedEnd) -> AcknowledgedEnd:
            interval = rename_run(end.interval)
            return end._replace(
                interval=interval, end=end.end._replace(key=interval.key)
            )

        return history._replace(
            runs=tuple(map(rename_run, history.runs)),
            acknowledged=tuple(map(rename_end, history.acknowledged)),
            starts=tuple(
                start._replace(key=self._by_payload(start.key, start.payload))
                for start in history.starts
            ),
            stops=tuple(self._by_time(stop, stop.sent_at) for stop in history.stops),
            checkpoints=tuple(
                self._by_time(checkpoint, checkpoint.listed_at)
                for checkpoint in history.checkpoints
            ),
        )

    def _by_payload(self, key: TaskKey, payload: str) -> TaskKey:
        job = self._later_by_payload.get(payload)
        is_later = job is not None and job.used_id == key.workflow_id
        return key._replace(workflow_id=job.workflow_id) if is_later else key

    def _by_time(self, item: _Keyed, at: float) -> _Keyed:
        workflow_id = self.id_at(item.key.workflow_id, at)
        return item._replace(key=item.key._replace(workflow_id=workflow_id))
