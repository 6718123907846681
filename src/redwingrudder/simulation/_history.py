"""What happened in a schedule, and a text form of it."""

import math
from typing import NamedTuple

from ..workflows.model import NO_RESOURCES, Resources, TaskKey, WorkflowState
from ._disruptions import Disruption
from ._run_records import (
    AcknowledgedEnd,
    ProducedCheckpoint,
    RunInterval,
    SentStart,
    SentStop,
)


class Event(NamedTuple):
    """A line about an event at a time in clock seconds."""

    at_s: float
    line: str


class Cancellation(NamedTuple):
    """A cancellation that was stored at a time in clock seconds.

    That of a client counts as stored once it is acknowledged.
    """

    workflow_id: str
    stored_at: float


class Submission(NamedTuple):
    """A job that a client has submitted.

    Attributes:
        workflow_id: Id of the job.
        acknowledged_at: Time of the first positive answer in clock seconds,
            None without one.
        refused: Whether the client was told that the job never runs.
    """

    workflow_id: str
    acknowledged_at: float | None = None
    refused: bool = False


class JobOutcome(NamedTuple):
    """What a caller sees of a job.

    Attributes:
        workflow_id: Id of the job.
        submitted_at: Time of the submission in clock seconds.
        state: Last recorded state.
        ended_at: Time at which the end was recorded, None before.
        payload: Its payload.
        tasks_by_step: Number of tasks of each of its steps.
        gang: Whether those of the first step share checkpoints.
        demand: Resources that each task uses.
        run_s: Seconds that each run takes, infinite for a service, None if
            that is drawn for each.
    """

    workflow_id: str
    submitted_at: float
    state: WorkflowState
    ended_at: float | None
    payload: str = ""
    tasks_by_step: tuple[int, ...] = (1,)
    gang: bool = False
    demand: Resources = NO_RESOURCES
    run_s: float | None = None


class History(NamedTuple):
    """Everything that the invariants are checked on.

    Attributes:
        runs: All runs in the order of their begin.
        acknowledged: All acknowledged ends.
        stops: All stops that were sent.
        cancellations: All stored cancellations.
        jobs: All submitted jobs.
        events: Lines about all events, in their order.
        submissions: All jobs that clients have submitted.
        cancelled_ids: Jobs of which a client has sent a cancellation.
        early_runs: Runs of second steps that began before the first step was
            done: their task and number.
        disruptions: All disruptions in the order of their begin.
        ended_at: End of the history in clock seconds.
        starts: All starts that were sent, by worker.
        checkpoints: All checkpoints that workers have listed.
        worker_ids: Ids of the workers, which have equal capacity.
    """

    runs: tuple[RunInterval, ...] = ()
    acknowledged: tuple[AcknowledgedEnd, ...] = ()
    stops: tuple[SentStop, ...] = ()
    cancellations: tuple[Cancellation, ...] = ()
    jobs: tuple[JobOutcome, ...] = ()
    events: tuple[Event, ...] = ()
    submissions: tuple[Submission, ...] = ()
    cancelled_ids: tuple[str, ...] = ()
    early_runs: tuple[tuple[TaskKey, int], ...] = ()
    disruptions: tuple[Disruption, ...] = ()
    ended_at: float = math.inf
    starts: tuple[SentStart, ...] = ()
    checkpoints: tuple[ProducedCheckpoint, ...] = ()
    worker_ids: tuple[str, ...] = ()

    def timeline(self) -> str:
        """Return the events, one a line, with times in seconds."""
        return "\n".join(f"{at_s:7.3f}  {line}" for at_s, line in self.events)
