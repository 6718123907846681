"""The order in which ready steps get capacity."""

import abc

from .run_times import RunTimeEstimates
from .state import Stage

# A workflow earns a smaller credit up to this multiple of its objective.
LATE_FACTOR = 3.0


class StageOrder(abc.ABC):
    """Orders ready steps."""

    @abc.abstractmethod
    def key(self, stage: Stage, now: float) -> tuple:
        """Return the sort key; the lowest comes first."""


def remaining_chain_s(stage: Stage, run_times: RunTimeEstimates) -> float:
    """Return the longest chain of expected run times from this step on."""
    steps = stage.workflow.workflow.steps
    stages = stage.workflow.occurrences[stage.occurrence].stages
    longest = [0.0] * len(steps)
    for index in range(len(steps) - 1, stage.index - 1, -1):
        followers = [
            longest[later]
            for later in range(index + 1, len(steps))
            if index in steps[later].after
        ]
        own = run_times.expected_s(stages[index])
        longest[index] = own + max(followers, default=0.0)
    return longest[stage.index]


def chain_s(stage: Stage, run_times: RunTimeEstimates) -> float:
    """Return the longest chain of expected run times of the workflow."""
    stages = stage.workflow.occurrences[stage.occurrence].stages
    reach: list[float] = []
    for each in stages:
        begin = max((reach[i] for i in each.spec.after), default=0.0)
        reach.append(begin + run_times.expected_s(each))
    return max(reach, default=0.0)


def objective_s(stage: Stage, run_times: RunTimeEstimates) -> float:
    """Return the seconds from acceptance within which full credit is due."""
    policy = stage.workflow.workflow.policy
    return policy.stretch * chain_s(stage, run_times) + policy.latency_s


def slack_s(stage: Stage, run_times: RunTimeEstimates, now: float) -> float:
    """Return how long the step can still wait and be on time."""
    waited = now - stage.workflow.accepted_mono
    return objective_s(stage, run_times) - waited - remaining_chain_s(stage, run_times)


class SlackOrder(StageOrder):
    """Urgent queues first, then the least slack among steps still on time.

    Steps that are late follow the ones on time of the same priority, and
    those too late for any credit come last, shortest work first.

    Args:
        run_times: Expected run times.
    """

    def __init__(self, run_times: RunTimeEstimates) -> None:
        self._run_times = run_times

    def key(self, stage: Stage, now: float) -> tuple:
        """See base class."""
        policy = stage.workflow.workflow.policy
        slack = slack_s(stage, self._run_times, now)
        waited = now - stage.workflow.accepted_mono
        if slack >= 0 or stage.spec.service:
            lateness = 0
        elif waited + remaining_chain_s(
            stage, self._run_times
        ) < LATE_FACTOR * objective_s(stage, self._run_times):
            lateness = 1
        else:
            lateness = 2
        return (
            policy.priority,
            lateness,
            slack if lateness == 0 else self._work(stage),
        )

    def _work(self, stage: Stage) -> float:
        demand = stage.spec.demand
        expected = self._run_times.expected_s(stage)
        return stage.spec.tasks * expected * (1 + demand.accelerators)
