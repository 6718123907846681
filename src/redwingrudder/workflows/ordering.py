"""Order in which ready steps are given capacity."""

import abc

from .run_times import RunTimeEstimates
from .state import Stage

# A workflow that ends later than its objective earns reduced credit, up to
# this multiple of the objective.
PARTIAL_CREDIT_FACTOR = 3.0
# Lateness of a step in its sort key, in the order of placement.
ON_TIME = 0
LATE = 1
WITHOUT_CREDIT = 2


class StageOrder(abc.ABC):
    """Sort order of the ready steps of a planning pass."""

    @abc.abstractmethod
    def key(self, stage: Stage, now: float) -> tuple:
        """Return the sort key of a step; lower keys are placed first."""


def remaining_chain_s(stage: Stage, run_times: RunTimeEstimates) -> float:
    """Return the expected seconds of the longest chain from this step on."""
    steps = stage.workflow.workflow.steps
    stages = stage.workflow.occurrences[stage.occurrence].stages
    longest_s = [0.0] * len(steps)
    for index in range(len(steps) - 1, stage.index - 1, -1):
        followers = [
            longest_s[later]
            for later in range(index + 1, len(steps))
            if index in steps[later].after
        ]
        own_s = run_times.expected_s(stages[index])
        longest_s[index] = own_s + max(followers, default=0.0)
    return longest_s[stage.index]


def chain_s(stage: Stage, run_times: RunTimeEstimates) -> float:
    """Return the expected seconds of the workflow's critical path."""
    stages = stage.workflow.occurrences[stage.occurrence].stages
    ends_s: list[float] = []
    for each in stages:
        begins_s = max((ends_s[i] for i in each.spec.after), default=0.0)
        ends_s.append(begins_s + run_times.expected_s(each))
    return max(ends_s, default=0.0)


def objective_s(stage: Stage, run_times: RunTimeEstimates) -> float:
    """Return the seconds after acceptance within which full credit is due."""
    policy = stage.workflow.policy
    return policy.stretch * chain_s(stage, run_times) + policy.latency_s


def slack_s(stage: Stage, run_times: RunTimeEstimates, now: float) -> float:
    """Return how many seconds the step can wait without being late."""
    waited = now - stage.workflow.accepted_at
    return objective_s(stage, run_times) - waited - remaining_chain_s(stage, run_times)


class SlackOrder(StageOrder):
    """Orders steps by priority, then lateness, then slack or amount of work.

    Within a priority, steps that are on time come first, the one with the
    least slack first. They are followed by steps that are late but earn
    reduced credit, and then by steps that are too late for any credit; both
    of these groups are sorted by amount of work, the smallest first. Services
    always count as on time.

    Args:
        run_times: Expected run times.
    """

    def __init__(self, run_times: RunTimeEstimates) -> None:
        self._run_times = run_times

    def key(self, stage: Stage, now: float) -> tuple:
        """See base class."""
        policy = stage.workflow.policy
        slack = slack_s(stage, self._run_times, now)
        waited = now - stage.workflow.accepted_at
        if slack >= 0 or stage.spec.service:
            lateness = ON_TIME
        elif waited + remaining_chain_s(
            stage, self._run_times
        ) < PARTIAL_CREDIT_FACTOR * objective_s(stage, self._run_times):
            lateness = LATE
        else:
            lateness = WITHOUT_CREDIT
        return (
            policy.priority,
            lateness,
            slack if lateness == ON_TIME else self._work_estimate(stage),
        )

    def _work_estimate(self, stage: Stage) -> float:
        """Return task-seconds of the step, weighted by accelerators."""
        demand = stage.spec.demand
        expected = self._run_times.expected_s(stage)
        return stage.spec.tasks * expected * (1 + demand.accelerators)
