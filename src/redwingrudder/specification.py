"""Model check of the core protocol: ``python -m redwingrudder.specification``.

The models run the same state charts and guarantee policies as the production
code, and the checker explores all of their reachable states. For each
property there is also a broken variant of a model, which leaves out one rule
of the protocol. The checker must find a violation in it; this shows that the
property can fail at all.
"""

import sys
from collections.abc import Callable
from typing import NamedTuple

from tabulate import tabulate

from . import (
    _spec_cancellation,
    _spec_configuration,
    _spec_gang,
    _spec_guarantee,
    _spec_ownership,
    _spec_run_ends,
    _spec_worker_process,
    _spec_workflow,
)
from ._spec_common import Coverage, Finding, Model, check, find_violation

__all__ = [
    "UNREACHED",
    "Coverage",
    "Rejection",
    "Result",
    "check_models",
    "check_rejections",
    "main",
    "report",
]

_PREEMPTION = (
    "the job of the model is not a borrower; tests.test_scheduler covers preemption"
)
_RECLAIM = "the guarantee model stops borrowers without running the gang chart"
_ONE_START_RECORD = (
    "an owner has at most one start record in flight, that of its reserving gang"
)
_DRAIN_WITHOUT_RECOVERY = (
    "workers drain only in the scenario with one owner, which has no recovery"
)
_LOSS_BEFORE_CLAIM = (
    "an owner handles the loss of a worker before it claims the worker again"
)
_NO_JOB_FAILURE = "tasks do not fail by themselves; a stopped task counts as failed"
_NO_REFUSAL = "admission and expiry of jobs are not modelled"
_NO_SUBMISSION = "the job is in the queue from the beginning"
_NO_RETRY = "a running idempotent job ends in its first attempt unless it is cancelled"
_ONE_READ = "the model has at most one read in flight"
_ONE_WATCH_RESET = (
    "the model resets a watch once, while the node is in the state following"
)
_NO_TASK_FAILURE = "the tasks of the models do not fail"
_ONE_TASK_STOP = "the engine of the model stops a placed task once"
_SETTLED_BY_SESSION = "the worker session settles a run before the task is placed again"
_PLACED_TASKS_ONLY = "a restart of a worker concerns its runs only"
_NO_STOP_BESIDE_RESTART = "the model of restarted workers stops no confirmed run"
_RAISED_BY_OWNER_ONLY = (
    "production code raises the event only while the node is the owner"
)

_UNREACHED_BY_REASON: dict[str, tuple[str, ...]] = {
    _PREEMPTION: (
        "gang reclaiming preempt",
        "gang recovering preempt",
        "gang reserving preempt",
        "gang starting preempt",
        "gang running preempt",
        "gang stopping preempt",
        "gang releasing preempt",
    ),
    _RECLAIM: (
        "gang created reclaim_planned",
        "gang reclaiming placed",
        "gang reclaiming member_lost",
        "gang reclaiming cancel",
        "gang reclaiming member_draining",
    ),
    _ONE_START_RECORD: (
        "gang recovering start_recorded",
        "gang recovering record_refused",
        "gang starting start_recorded",
        "gang starting record_refused",
        "gang running start_recorded",
        "gang running record_refused",
        "gang stopping start_recorded",
        "gang stopping record_refused",
    ),
    _DRAIN_WITHOUT_RECOVERY: ("gang recovering member_draining",),
    _LOSS_BEFORE_CLAIM: ("gang starting reported", "gang running reported"),
    _NO_JOB_FAILURE: ("job placing failed", "job running failed"),
    _NO_REFUSAL: ("job queued refused", "job placing refused"),
    _NO_SUBMISSION: ("job queued submitted",),
    _NO_RETRY: ("job running retry",),
    _ONE_READ: (
        "configuration following document_read",
        "configuration following read_failed",
    ),
    _ONE_WATCH_RESET: (
        "configuration reading watch_reset",
        "configuration waiting watch_reset",
    ),
    _NO_TASK_FAILURE: (
        "task waiting run_failed",
        "task starting run_failed",
        "task running run_failed",
        "task stopping run_failed",
        "task waiting give_up",
        "task starting give_up",
        "task running give_up",
        "task stopping give_up",
    ),
    _ONE_TASK_STOP: ("task waiting stop", "task stopping stop"),
    _SETTLED_BY_SESSION: (
        "task waiting started",
        "task waiting rejected",
        "task waiting run_interrupted",
        "task starting assign",
        "task running assign",
        "task running rejected",
        "task stopping assign",
    ),
    _PLACED_TASKS_ONLY: ("task waiting worker_restarted",),
    _NO_STOP_BESIDE_RESTART: ("task stopping worker_restarted",),
    _RAISED_BY_OWNER_ONLY: (
        "ownership following fenced",
        "ownership following lease_lapsed",
        "ownership acquiring fenced",
    ),
}

# Transitions that no model takes, as (chart, state, event), with the reason.
UNREACHED: dict[tuple[str, str, str], str] = {
    (chart, state, event): reason
    for reason, transitions in _UNREACHED_BY_REASON.items()
    for chart, state, event in (transition.split() for transition in transitions)
}


class Result(NamedTuple):
    """A property of a model, with the outcome of its check."""

    model: str
    finding: Finding


class Rejection(NamedTuple):
    """A broken variant of a model, with the violation that was found."""

    model: str
    flaw: str
    finding: Finding

    @property
    def steps(self) -> int:
        """Number of steps in the counterexample."""
        return len(self.finding.trace)


def check_models(coverage: Coverage) -> tuple[Result, ...]:
    """Check all properties of all models.

    Args:
        coverage: Collects the chart transitions that the models take.
    """
    models = (
        *_spec_gang.gang_models(coverage),
        _spec_ownership.build_model(coverage),
        _spec_configuration.build_model(coverage),
        _spec_guarantee.build_model(coverage),
        _spec_workflow.build_model(coverage),
        _spec_run_ends.build_model(coverage),
        _spec_worker_process.build_model(coverage),
        _spec_cancellation.build_model(coverage),
    )
    return tuple(
        Result(model.name, finding) for model in models for finding in check(model)
    )


def check_rejections() -> tuple[Rejection, ...]:
    """Search each broken variant for a violation of its property."""
    return tuple(
        Rejection(model.name, model.flaw, find_violation(model, property_name))
        for model, property_name in _broken_models()
    )


def _broken_models() -> list[tuple[Model, str]]:
    coverage = Coverage()  # discarded: transitions of broken variants do not count
    broken = [
        (_spec_gang.build_broken_model(coverage, scenario_name, flaw), property_name)
        for scenario_name, flaw, property_name in _spec_gang.FLAWS
    ]
    modules = (
        _spec_ownership,
        _spec_configuration,
        _spec_guarantee,
        _spec_workflow,
        _spec_run_ends,
        _spec_worker_process,
        _spec_cancellation,
    )
    for module in modules:
        broken += [
            (module.build_model(coverage, flaw), property_name)
            for flaw, property_name in module.FLAWS
        ]
    return broken


def report(
    results: tuple[Result, ...],
    rejections: tuple[Rejection, ...],
    write: Callable[[str], object],
) -> bool:
    """Write the outcome as tables.

    Args:
        results: Properties that must hold.
        rejections: Broken variants that must violate their property.
        write: Called with each part of the text.

    Returns:
        Whether every property holds and every broken variant was rejected.
    """
    rows = [
        (
            result.model,
            finding.states,
            finding.property_name,
            _format_holds(finding.holds),
        )
        for result in results
        for finding in (result.finding,)
    ]
    write(tabulate(rows, ("model", "states", "property", "holds")) + "\n\n")
    broken = [
        (
            rejection.model,
            rejection.flaw,
            rejection.finding.property_name,
            _format_rejection(rejection),
        )
        for rejection in rejections
    ]
    write(tabulate(broken, ("model", "left out", "property", "rejected")) + "\n")
    for result in results:
        if result.finding.trace:
            write(f"\n{result.model}: {result.finding.property_name}\n")
            write("".join(f"  {step}\n" for step in result.finding.trace))
    all_hold = all(result.finding.holds for result in results)
    return all_hold and all(
        rejection.finding.holds is False for rejection in rejections
    )


def _format_holds(holds: bool | None) -> str:
    return {True: "yes", False: "NO", None: "not decided"}[holds]


def _format_rejection(rejection: Rejection) -> str:
    if rejection.finding.holds is False:
        return f"after {rejection.steps} steps"
    return "NOT REJECTED"


def main() -> int:
    """Check all models, print the tables and return the exit status."""
    results = check_models(Coverage())
    passed = report(results, check_rejections(), sys.stdout.write)
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
