"""Scheduling of workflows: multi-step jobs that share one fleet of workers.

This package performs no input or output. ``Engine`` handles events and
returns effects that its caller carries out; ``records`` encodes workflows and
their progress for the store, and decodes them.

Node-clock seconds are readings of the clock that the caller passes as ``now``:
that of the node's reactor, or simulated time in tests.
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
