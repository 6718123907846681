"""Rules on what clients were told and on the order of steps."""

from ..workflows.model import WorkflowState
from ._history import History
from ._invariants import Invariant, Violation, ViolationClass


class NoStartOfRefused(Invariant):
    """No run of a job begins whose client was told that it never runs.

    A client without an answer to an earlier request was not told so.
    """

    name = "no start of a refused job"

    def violations(self, history: History) -> list[Violation]:
        """See base class."""
        refused = {job.workflow_id for job in history.submissions if job.refused}
        return [
            self.violation(run)
            for run in history.runs
            if run.key.workflow_id in refused
        ]


class StepsInOrder(Invariant):
    """No run of a second step begins before the first step is done."""

    name = "no start before the step it waits for is done"

    def violations(self, history: History) -> list[Violation]:
        """See base class."""
        early = set(history.early_runs)
        return [
            self.violation(run) for run in history.runs if (run.key, run.run) in early
        ]


class CancelledByClient(Invariant):
    """No job is recorded as cancelled that its client has not cancelled."""

    name = "no job is cancelled unasked"

    def violations(self, history: History) -> list[Violation]:
        """See base class."""
        submitted = {submission.workflow_id for submission in history.submissions}
        return [
            Violation(
                self.name,
                tuple(r for r in history.runs if r.key.workflow_id == job.workflow_id),
                ViolationClass.OTHER,
            )
            for job in history.jobs
            if job.workflow_id in submitted
            and job.workflow_id not in history.cancelled_ids
            and job.state is WorkflowState.CANCELLED
        ]
