"""The order in which ready steps get room."""

import abc

from .state import Stage

# A workflow earns a smaller credit up to this multiple of its objective.
LATE_FACTOR = 3.0
UNKNOWN_ESTIMATE_S = 5.0  # run time of a task that states none


class StageOrder(abc.ABC):
    """Orders ready steps."""

    @abc.abstractmethod
    def key(self, stage: Stage, now: float) -> tuple:
        """Return the sort key; the lowest comes first."""


def estimate_s(stage: Stage) -> float:
    """Return the expected run time of one task."""
    return stage.spec.estimate_s or UNKNOWN_ESTIMATE_S


def remaining_chain_s(stage: Stage) -> float:
    """Return the longest chain of estimates from this step to the end."""
    steps = stage.workflow.workflow.steps
    longest = [0.0] * len(steps)
    for index in range(len(steps) - 1, stage.index - 1, -1):
        followers = [
            longest[later]
            for later in range(index + 1, len(steps))
            if index in steps[later].after
        ]
        own = steps[index].estimate_s or UNKNOWN_ESTIMATE_S
        longest[index] = own + max(followers, default=0.0)
    return longest[stage.index]


def chain_s(stage: Stage) -> float:
    """Return the longest chain of estimates of the whole workflow."""
    steps = stage.workflow.workflow.steps
    reach: list[float] = []
    for step in steps:
        begin = max((reach[i] for i in step.after if i < len(reach)), default=0.0)
        reach.append(begin + (step.estimate_s or UNKNOWN_ESTIMATE_S))
    return max(reach, default=0.0)


def objective_s(stage: Stage) -> float:
    """Return the seconds from acceptance within which full credit is due."""
    policy = stage.workflow.workflow.policy
    return policy.stretch * chain_s(stage) + policy.latency_s


def slack_s(stage: Stage, now: float) -> float:
    """Return how long the step can still wait and be on time."""
    waited = now - stage.workflow.accepted_mono
    return objective_s(stage) - waited - remaining_chain_s(stage)


class SlackOrder(StageOrder):
    """Urgent queues first, then the least slack among steps still on time.

    Steps that are late follow the ones on time of the same priority, and
    those too late for any credit come last, shortest work first.
    """

    def key(self, stage: Stage, now: float) -> tuple:
        """See base class."""
        policy = stage.workflow.workflow.policy
        slack = slack_s(stage, now)
        waited = now - stage.workflow.accepted_mono
        if slack >= 0 or stage.spec.service:
            lateness = 0
        elif waited + remaining_chain_s(stage) < LATE_FACTOR * objective_s(stage):
            lateness = 1
        else:
            lateness = 2
        return (policy.priority, lateness, slack if lateness == 0 else _work(stage))


def _work(stage: Stage) -> float:
    demand = stage.spec.demand
    return stage.spec.tasks * estimate_s(stage) * (1 + demand.accelerators)
