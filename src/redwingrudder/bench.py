"""Measures policies on the real decision code, from the same arrivals.

The clock is virtual: the same seed gives the same figures on any machine.
"""

import pathlib
from collections.abc import Callable, Iterator
from typing import NamedTuple

from ._bench_load import (
    HORIZON_S,
    LARGE_CALLER,
    SCENARIOS_BY_NAME,
    WORKLOADS_BY_DEPLOYMENT,
    Arrival,
    Scenario,
    Workload,
    arrivals,
)
from ._bench_report import Figures, completion_p95_s, figures, met_share
from ._bench_runner import BenchRun, JobRecord, RunResult
from .configuration import parse_document, to_configuration
from .exceptions import NotFoundError
from .guarantees import plan_cells
from .model import Configuration, WorkerInfo
from .policies import PolicySet, fcfs_policies, slack_policies
from .settings import deployment_workers, load_deployment, read_file

POLICIES_BY_NAME: dict[str, Callable[[], PolicySet]] = {
    "slack": slack_policies,
    "fcfs": fcfs_policies,
}

KEPT_SHARE_TARGET = 0.95  # of the target-met share without the flood
SMALL_CALLER_TARGET = 1.5  # times its 95th percentile alone
WORK_FACTOR_TARGET = 1.2  # all work over the work of first attempts


class Fleet(NamedTuple):
    """What a scenario runs on."""

    name: str
    workers: tuple[WorkerInfo, ...]
    configuration: Configuration
    workload: Workload


class Comparison(NamedTuple):
    """Figures that need a second run; None where they do not apply.

    ``kept_share`` is the target-met share of the work that does not flood
    over the same share without the flood. ``small_caller_ratio`` is the
    small caller's 95th percentile of completion over its value alone.
    """

    kept_share: float | None
    small_caller_ratio: float | None


class BenchReport(NamedTuple):
    """The figures of one scenario under one policy, and its shortfalls."""

    scenario: str
    policy: str
    seed: int
    figures: Figures
    comparison: Comparison
    shortfalls: tuple[str, ...]


def find_scenario(name: str) -> Scenario:
    """Return a scenario by its name.

    Raises:
        NotFoundError: With the names that exist.
    """
    if name not in SCENARIOS_BY_NAME:
        known = ", ".join(SCENARIOS_BY_NAME)
        raise NotFoundError(f"no scenario {name!r}; there are: {known}")
    return SCENARIOS_BY_NAME[name]


def find_workload(name: str) -> Workload:
    """Return the workload of a deployment; other names use Huon's."""
    return WORKLOADS_BY_DEPLOYMENT.get(name, WORKLOADS_BY_DEPLOYMENT["huon"])


def load_fleet(folder: str) -> Fleet:
    """Load an example folder with a deployment and its configuration.

    Raises:
        SettingsError: A file has problems.
    """
    path = pathlib.Path(folder)
    deployment = load_deployment(str(path / "deployment.jsonc"))
    document = parse_document(read_file(str(path / "configuration.jsonc")))
    workers = deployment_workers(deployment)
    configuration = to_configuration(document, 1)
    cells = plan_cells(configuration, workers)
    return Fleet(
        deployment["name"],
        workers,
        configuration._replace(cells=cells),
        find_workload(deployment["name"]),
    )


class _Plan(NamedTuple):
    """What a run is made from; runs that are compared differ in one field."""

    fleet: Fleet
    scenario: Scenario
    policy: str
    seed: int
    horizon_s: float


def run_scenario(
    fleet: Fleet,
    scenario: Scenario,
    policy: str,
    seed: int,
    horizon_s: float = HORIZON_S,
) -> BenchReport:
    """Run one scenario under one policy.

    Raises:
        NotFoundError: The policy does not exist.
    """
    if policy not in POLICIES_BY_NAME:
        known = ", ".join(POLICIES_BY_NAME)
        raise NotFoundError(f"no policy {policy!r}; there are: {known}")
    plan = _Plan(fleet, scenario, policy, seed, horizon_s)
    result = _run(plan)
    comparison = Comparison(
        _kept_share(plan, result), _small_caller_ratio(plan, result)
    )
    found = figures(result, fleet.configuration)
    return BenchReport(
        scenario.name, policy, seed, found, comparison, _shortfalls(found, comparison)
    )


def _run(
    plan: _Plan, keep: Callable[[Arrival], bool] = lambda arrival: True
) -> RunResult:
    run = BenchRun(
        plan.fleet.workers,
        plan.fleet.configuration,
        plan.scenario,
        POLICIES_BY_NAME[plan.policy],
        plan.seed,
    )
    return run.run(filter(keep, _arrivals(plan)), plan.horizon_s)


def _arrivals(plan: _Plan) -> Iterator[Arrival]:
    by_domain: dict[str, int] = {}
    for worker in plan.fleet.workers:
        name = worker.failure_domain
        by_domain[name] = by_domain.get(name, 0) + worker.accelerators
    total, smallest = sum(by_domain.values()), min(by_domain.values())
    jobs = arrivals(plan.fleet.workload, plan.scenario, total, smallest, plan.seed)
    return (job for job in jobs if job.at < plan.horizon_s)


def _kept_share(plan: _Plan, result: RunResult) -> float | None:
    fleet = plan.fleet
    if not plan.scenario.flood_role:
        return None
    flooded = fleet.workload.kinds_by_role[plan.scenario.flood_role].job_class

    def others(records: tuple[JobRecord, ...]) -> list[JobRecord]:
        return [r for r in records if r.arrival.spec.job_class != flooded]

    calm = _run(plan._replace(scenario=find_scenario("steady")))
    without = met_share(others(calm.records), fleet.configuration)
    with_flood = met_share(others(result.records), fleet.configuration)
    return with_flood / without if without else None


def _small_caller_ratio(plan: _Plan, result: RunResult) -> float | None:
    scenario = plan.scenario
    if not scenario.large_caller:
        return None
    flooded = plan.fleet.workload.kinds_by_role[scenario.flood_role].job_class

    def small(arrival: Arrival) -> bool:
        spec = arrival.spec
        return spec.job_class == flooded and spec.caller != LARGE_CALLER

    alone = _run(plan, keep=small)
    beside = [record for record in result.records if small(record.arrival)]
    return completion_p95_s(beside) / completion_p95_s(alone.records)


def _shortfalls(found: Figures, comparison: Comparison) -> tuple[str, ...]:
    """Name every target of the design that the run did not reach."""
    checks = [
        (found.lost == 0, f"{found.lost} jobs lost"),
        (found.doubled == 0, f"{found.doubled} jobs doubled"),
        (
            found.work_factor <= WORK_FACTOR_TARGET,
            f"work factor {found.work_factor:.2f} above {WORK_FACTOR_TARGET}",
        ),
    ]
    for row in found.organisations:
        honoured = row.honoured_percent
        text = f"{row.organisation}: guarantee honoured {honoured:.2f} % of jobs"
        checks.append((honoured == 100.0, text))
    kept = comparison.kept_share
    if kept is not None:
        text = f"other work keeps {kept:.3f}, target {KEPT_SHARE_TARGET}"
        checks.append((kept >= KEPT_SHARE_TARGET, text))
    ratio = comparison.small_caller_ratio
    if ratio is not None:
        text = f"small caller's p95 ratio {ratio:.2f}, target {SMALL_CALLER_TARGET}"
        checks.append((ratio <= SMALL_CALLER_TARGET, text))
    return tuple(text for reached, text in checks if not reached)
