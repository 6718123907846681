"""Scheduler for multi-accelerator jobs under organisation guarantees.

The package exports the scheduling decisions, which perform no input or output.
``redwingrudder.node.Node`` is an entry node, ``redwingrudder.client.Client``
the HTTP client.
"""

import importlib
from typing import Any

__version__ = "0.1.0"

# Module of each public name. Modules are imported on first use, so that a node
# imports only those that it needs.
_MODULES_BY_NAME = {
    "Configuration": "model",
    "Fleet": "fleet",
    "CellTable": "guarantees",
    "JobSpec": "model",
    "JobState": "model",
    "JobView": "model",
    "PolicySet": "policies",
    "RedwingrudderError": "exceptions",
    "Scheduler": "scheduler",
    "WorkerInfo": "model",
    "fcfs_policies": "policies",
    "plan_cells": "guarantees",
    "slack_policies": "policies",
}

__all__ = [*_MODULES_BY_NAME, "__version__"]  # noqa: PLE0604


def __getattr__(name: str) -> Any:
    """Return a public name from its module, which is imported on first use."""
    module = _MODULES_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f".{module}", __name__), name)
