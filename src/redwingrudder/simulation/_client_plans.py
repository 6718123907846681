"""What the clients of jobs do."""

import random
from typing import NamedTuple

HUNG_UP_SHARE = 0.15  # of clients that lose their first connection
REPEATED_SHARE = 0.2  # of submissions that arrive again after their answer
REPEAT_AFTER_S = (0.5, 8.0)
RESEND_AFTER_S = (0.05, 1.0)
# Share of the jobs that are not cancelled by their schedule, but are here.
CANCELLED_SHARE = 0.4
CANCEL_AFTER_S = (0.0, 4.0)
OVERTAKING_SHARE = 0.3  # of cancellations that are sent with the submission
OVERTAKING_S = (0.0, 0.1)


class ClientPlan(NamedTuple):
    """What the client of a job does.

    Attributes:
        workflow_id: Id of the job.
        node: Index of the node that it calls first.
        hangs_up: Whether it loses the connection of its first submission.
        resend_after_s: Seconds from a call without an answer to the next one.
        repeat_after_s: Seconds from the acceptance until the submission
            arrives once more, None if it does not.
        cancel_node: Index of the node at which it first cancels the job.
        cancel_after_s: Seconds from the submission to the cancellation, None
            if the job is not cancelled.
    """

    workflow_id: str
    node: int = 0
    hangs_up: bool = False
    resend_after_s: float = 0.5
    repeat_after_s: float | None = None
    cancel_node: int = 0
    cancel_after_s: float | None = None


def draw_client(
    seed: int, workflow_id: str, cancel_after_s: float | None, nodes: int
) -> ClientPlan:
    """Return what the client of a job does; other jobs have no part in it.

    Args:
        seed: Seed of the schedule.
        workflow_id: Id of the job.
        cancel_after_s: Seconds from the submission to the cancellation if the
            schedule cancels the job, else None.
        nodes: Number of nodes.
    """
    rng = random.Random(f"{seed} client {workflow_id}")
    repeat_after_s = rng.uniform(*REPEAT_AFTER_S)
    if cancel_after_s is None and rng.random() < CANCELLED_SHARE:
        cancel_after_s = rng.uniform(*CANCEL_AFTER_S)
    if cancel_after_s is not None and rng.random() < OVERTAKING_SHARE:
        cancel_after_s = rng.uniform(*OVERTAKING_S)
    return ClientPlan(
        workflow_id,
        rng.randrange(nodes),
        rng.random() < HUNG_UP_SHARE,
        rng.uniform(*RESEND_AFTER_S),
        repeat_after_s if rng.random() < REPEATED_SHARE else None,
        rng.randrange(nodes),
        cancel_after_s,
    )
