"""Scheduler for multi-accelerator jobs under organisation guarantees.

The names below are the decision core, which performs no input or output. An
entry node is ``redwingrudder.node.Node``, the HTTP client
``redwingrudder.client.Client``.
"""

import importlib
from typing import Any

__version__ = "0.1.0"

# Loaded on first use, so that a node imports only what it runs.
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
    """Import the module of a public name."""
    module = _MODULES_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f".{module}", __name__), name)
