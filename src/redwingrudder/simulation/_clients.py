"""Clients that submit and cancel jobs at the nodes of a simulation."""

from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.interfaces import IReactorTime

from .._background import pause, run
from ..coordination.messages import CancelWorkflow, SubmitWorkflow
from ..exceptions import OutcomeUnknownError, RedwingrudderError
from ._client_plans import ClientPlan
from ._history import Cancellation, Submission
from ._schedule import NODES, Job

ANSWER_TIMEOUT_S = 2.4  # until a node gives up
CLIENT_TIMEOUT_S = 3.0  # until a client gives up an answer
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
        log: Called with a line about each request and answer.

    Attributes:
        cancellations: Acknowledged cancellations.
        submissions_by_id: What became of each submission.
    """

    def __init__(
        self,
        clock: IReactorTime,
        plans: Iterable[ClientPlan],
        ask: Callable[[int, Any], Deferred],
        unix_time: Callable[[], float],
        log: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._plan_by_id = {plan.workflow_id: plan for plan in plans}
        self._ask = ask
        self._unix_time = unix_time
        self._log = log
        self.cancellations: list[Cancellation] = []
        self.submissions_by_id: dict[str, Submission] = {}

    def submit(self, job: Job) -> None:
        """Submit a job, and cancel it as its client's plan says."""
        plan = self._plan_by_id[job.workflow_id]
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
        for attempt in range(MAX_ATTEMPTS):
            node = (plan.cancel_node + attempt) % NODES
            self._log(f"{name} is cancelled at n{node + 1}")
            try:
                exists = await self._send(node, CancelWorkflow(name, ANSWER_TIMEOUT_S))
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
