"""Policies of the queues in the operators' configuration."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from .model import AdviceTimes, QueuePolicy
from .state import WorkflowProgress


class QueuePolicies(NamedTuple):
    """Policies of all queues in one version of the configuration.

    Attributes:
        version: Version of the configuration, 0 before the first one.
        by_queue: Policy of each queue, by the name of the queue.
        advice_times_by_queue: Times of the advice service for the queues that
            need advice.
    """

    version: int = 0
    by_queue: Mapping[str, QueuePolicy] = MappingProxyType({})
    advice_times_by_queue: Mapping[str, AdviceTimes] = MappingProxyType({})

    def apply(self, progress: WorkflowProgress) -> bool:
        """Put the policy of a workflow's queue in force.

        A workflow whose queue is not in the configuration keeps the last
        policy that the queue had.

        Returns:
            Whether the policy of the workflow has changed.
        """
        policy = self.by_queue.get(progress.workflow.queue)
        return policy is not None and progress.set_policy(policy, self.version)
