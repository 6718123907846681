"""Decisions about workflows: jobs of several steps on one shared fleet.

Nothing here performs input or output. ``Engine`` takes events and returns
effects; ``records`` turns progress into documents and back.
"""

from .engine import Engine
from .model import (
    Effect,
    QueuePolicy,
    Resources,
    RunEnd,
    RunReport,
    StartRun,
    StepSpec,
    StopRun,
    TaskKey,
    WorkerFacts,
    Workflow,
    WorkflowState,
)

__all__ = [
    "Effect",
    "Engine",
    "QueuePolicy",
    "Resources",
    "RunEnd",
    "RunReport",
    "StartRun",
    "StepSpec",
    "StopRun",
    "TaskKey",
    "WorkerFacts",
    "Workflow",
    "WorkflowState",
]
