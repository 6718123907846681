"""Clients that submit and cancel jobs at the nodes of a simulation."""

from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.interfaces import IReactorTime

from .._background import pause, run
from ..coordination.messages import CancelWorkflow, GetState, SubmitWorkflow
from ..exceptions import OutcomeUnknownError, RedwingrudderError
from ..workflows.model import FINAL_STATES
from ._client_plans import ClientPlan
from ._history import Cancellation, Submission
from ._schedule import NODES, Job

ANSWER_TIMEOUT_S = 2.4  # until a node gives up
CLIENT_TIMEOUT_S = 3.0  # until a client gives up an answer
STATE_INTERVAL_S = 0.5  # between queries for the state of an earlier job
MAX_ATTEMPTS = 6  # of one call


class Clients:
    """The clients of all jobs.

    A client without an answer, or with one that leaves the outcome open,
    sends its request again, to the other node. It gives up a submission that
    is refused.

    Args:
        clock: Clock of the simulation.
        plans: What the clients do.
        ask: Asks the intake of the node with an index.
        unix_time: Returns the time of day in seconds since the Unix epoch.
        submitted: Called with each job when it is first sent, and the time.
        log: Called with a line about each request and answer.

    Attributes:
        cancellations: Acknowledged cancellations.
        cancelled_ids: Jobs of which a cancellation was sent.
        submissions_by_id: What became of each submission.
    """

    def __init__(
        self,
        clock: IReactorTime,
        plans: Iterable[ClientPlan],
        ask: Callable[[int, Any], Deferred],
        unix_time: Callable[[], float],
        submitted: Callable[[Job, float], None],
        log: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._plan_by_id = {plan.workflow_id: plan for plan in plans}
        self._ask = ask
        self._unix_time = unix_time
        self._submitted = submitted
        self._log = log
        self.cancellations: list[Cancellation] = []
        self.cancelled_ids: list[str] = []
        self.submissions_by_id: dict[str, Submission] = {}

    def submit(self, job: Job) -> None:
        """Submit a job, and cancel it as its client's plan says."""
        if job.used_id:
            run(self._submit_once_removed(job), "clients")
        else:
            self._begin(job)

    async def _submit_once_removed(self, job: Job) -> None:
        """Submit a job after the records of the earlier one are removed."""
        plan = self._plan_by_id[job.workflow_id]
        has_ended = False
        while True:
            await pause(self._clock, STATE_INTERVAL_S)
            try:
                state = await self._send(plan.node, GetState(job.used_id))
            except (RedwingrudderError, TimeoutError):
                continue
            if has_ended and not state:
                self._log(f"{job.used_id} is removed")
                self._begin(job)
                return
            has_ended = has_ended or state in FINAL_STATES

    def _begin(self, job: Job) -> None:
        plan = self._plan_by_id[job.workflow_id]
        self._submitted(job, self._clock.seconds())
        self.submissions_by_id[job.workflow_id] = Submission(job.workflow_id)
        run(self._submit(job, plan), "clients")
        if plan.cancel_after_s is not None:
            run(self._cancel(job, plan), "clients")

    async def _submit(self, job: Job, plan: ClientPlan) -> None:
        name = job.workflow_id
        is_uncertain = False
        for attempt in range(MAX_ATTEMPTS):
            node = (plan.node + attempt) % NODES
            self._log(f"{name} is submitted at n{node + 1}: {job.describe()}")
            answer = self._send(node, self._submission(job))
            try:
                if attempt == 0 and plan.hangs_up:
                    answer.addErrback(lambda _: None)
                    raise OutcomeUnknownError("the connection was lost")
                await answer
            except (OutcomeUnknownError, TimeoutError) as error:
                self._log(f"submission of {name} gets no answer: {error}")
                is_uncertain = True
                await pause(self._clock, plan.resend_after_s)
            except RedwingrudderError as error:
                self._log(f"submission of {name} is refused: {error}")
                if not is_uncertain:
                    self._settle(Submission(name, None, refused=True))
                return
            else:
                self._log(f"submission of {name} is acknowledged")
                self._settle(Submission(name, self._clock.seconds()))
                break
        if plan.repeat_after_s is not None:
            await pause(self._clock, plan.repeat_after_s)
            other = (node + 1) % NODES
            self._log(f"submission of {name} arrives again at n{other + 1}")
            await self._send(other, self._submission(job)).addErrback(lambda _: None)

    async def _cancel(self, job: Job, plan: ClientPlan) -> None:
        name = job.workflow_id
        await pause(self._clock, plan.cancel_after_s)
        self.cancelled_ids.append(name)
        for attempt in range(MAX_ATTEMPTS):
            node = (plan.cancel_node + attempt) % NODES
            self._log(f"{name} is cancelled at n{node + 1}")
            try:
                message = CancelWorkflow(job.submitted_id, ANSWER_TIMEOUT_S)
                exists = await self._send(node, message)
            except (RedwingrudderError, TimeoutError) as error:
                self._log(f"cancellation of {name} fails: {error}")
                await pause(self._clock, plan.resend_after_s)
            else:
                outcome = "" if exists else ", no such job"
                self._log(f"cancellation of {name} is acknowledged{outcome}")
                now = self._clock.seconds()
                self.cancellations.append(Cancellation(name, now))
                return

    def _submission(self, job: Job) -> SubmitWorkflow:
        return SubmitWorkflow(job.workflow(self._unix_time()), ANSWER_TIMEOUT_S)

    def _settle(self, submission: Submission) -> None:
        self.submissions_by_id[submission.workflow_id] = submission

    def _send(self, node: int, message: Any) -> Deferred:
        return self._ask(node, message).addTimeout(CLIENT_TIMEOUT_S, self._clock)
