"""Scheduler for multi-accelerator jobs under organisation guarantees.

The names below are the decision core, which performs no input or output. An
entry node is ``redwingrudder.node.Node``, the HTTP client
``redwingrudder.client.Client``.
"""

from .exceptions import RedwingrudderError
from .fleet import Fleet
from .guarantees import GuaranteeBook, plan_cells
from .model import Configuration, JobSpec, JobState, JobView, WorkerInfo
from .policies import PolicySet, fcfs_policies, slack_policies
from .scheduler import Scheduler

__all__ = [
    "Configuration",
    "Fleet",
    "GuaranteeBook",
    "JobSpec",
    "JobState",
    "JobView",
    "PolicySet",
    "RedwingrudderError",
    "Scheduler",
    "WorkerInfo",
    "__version__",
    "fcfs_policies",
    "plan_cells",
    "slack_policies",
]

__version__ = "0.1.0"
