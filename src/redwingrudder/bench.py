"""Benchmark of scheduling policies in a simulation.

Every policy runs the production ``Scheduler`` on the same generated arrivals.
Time is simulated, so that the same seed gives the same figures on any machine.
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
    generate_arrivals,
)
from ._bench_report import Figures, completion_p95_s, compute_figures, target_met_share
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

# Lower bound of ``Comparison.kept_share``.
KEPT_SHARE_TARGET = 0.95
# Upper bound of ``Comparison.small_caller_ratio``.
SMALL_CALLER_RATIO_TARGET = 1.5
# Upper bound of the work done over the work that the succeeded jobs needed.
WORK_FACTOR_TARGET = 1.2
HONOURED_TARGET_PERCENT = 100.0
DEFAULT_WORKLOAD = "huon"


class Fleet(NamedTuple):
    """Simulated workers, configuration and load of one deployment."""

    name: str
    workers: tuple[WorkerInfo, ...]
    configuration: Configuration
    workload: Workload


class Comparison(NamedTuple):
    """Figures relative to a second run without the disturbance.

    Attributes:
        kept_share: Share of the jobs outside the flooded class that met their
            target, over the same share in the "steady" scenario. None in
            scenarios without a flood, or if the latter share is 0.
        small_caller_ratio: 95th percentile of the completion time of the small
            callers' jobs, over the same percentile in a run with only these
            jobs. None in scenarios without a large caller.
    """

    kept_share: float | None
    small_caller_ratio: float | None


class BenchReport(NamedTuple):
    """Result of one scenario under one policy.

    Attributes:
        scenario: Name of the scenario.
        policy: Name of the policy set.
        seed: Seed of the arrivals and of the simulated workers.
        figures: Figures of the run itself.
        comparison: Figures relative to a second run.
        shortfalls: One sentence for each target that was missed.
    """

    scenario: str
    policy: str
    seed: int
    figures: Figures
    comparison: Comparison
    shortfalls: tuple[str, ...]


def find_scenario(name: str) -> Scenario:
    """Return a scenario by its name.

    Raises:
        NotFoundError: The scenario does not exist; all names are listed.
    """
    if name not in SCENARIOS_BY_NAME:
        available = ", ".join(SCENARIOS_BY_NAME)
        raise NotFoundError(f"unknown scenario {name!r}; available: {available}")
    return SCENARIOS_BY_NAME[name]


def find_workload(name: str) -> Workload:
    """Return the workload of a deployment, or that of ``DEFAULT_WORKLOAD``."""
    return WORKLOADS_BY_DEPLOYMENT.get(name, WORKLOADS_BY_DEPLOYMENT[DEFAULT_WORKLOAD])


def load_fleet(folder: str) -> Fleet:
    """Load the deployment and the configuration of an example folder.

    The cells of the configuration are planned on the deployment's workers.

    Args:
        folder: Folder with deployment.jsonc and configuration.jsonc.

    Raises:
        SettingsError: A file cannot be read, or the deployment file is
            invalid.
        BadRequestError: The configuration is invalid, or its guarantees do not
            fit the workers.
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


class _RunParameters(NamedTuple):
    """Input of a run.

    A run for comparison replaces the scenario or leaves out some arrivals.
    """

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
    """Run one scenario under one policy, and the runs to compare it with.

    Args:
        fleet: Workers, configuration and workload.
        scenario: Load and faults of the run.
        policy: Key of ``POLICIES_BY_NAME``.
        seed: The same seed gives the same figures.
        horizon_s: Simulated seconds in which jobs arrive.

    Raises:
        NotFoundError: The policy does not exist; all names are listed.
    """
    if policy not in POLICIES_BY_NAME:
        available = ", ".join(POLICIES_BY_NAME)
        raise NotFoundError(f"unknown policy {policy!r}; available: {available}")
    parameters = _RunParameters(fleet, scenario, policy, seed, horizon_s)
    result = _run(parameters)
    comparison = Comparison(
        _kept_share(parameters, result), _small_caller_ratio(parameters, result)
    )
    figures = compute_figures(result, fleet.configuration)
    return BenchReport(
        scenario.name,
        policy,
        seed,
        figures,
        comparison,
        _shortfalls(figures, comparison),
    )


def _run(
    parameters: _RunParameters,
    is_included: Callable[[Arrival], bool] = lambda arrival: True,
) -> RunResult:
    run = BenchRun(
        parameters.fleet.workers,
        parameters.fleet.configuration,
        parameters.scenario,
        POLICIES_BY_NAME[parameters.policy],
        parameters.seed,
    )
    return run.run(
        filter(is_included, _arrivals_before_horizon(parameters)), parameters.horizon_s
    )


def _arrivals_before_horizon(parameters: _RunParameters) -> Iterator[Arrival]:
    accelerators_by_domain: dict[str, int] = {}
    for worker in parameters.fleet.workers:
        name = worker.failure_domain
        accelerators_by_domain[name] = (
            accelerators_by_domain.get(name, 0) + worker.accelerators
        )
    total_accelerators, smallest_domain_accelerators = (
        sum(accelerators_by_domain.values()),
        min(accelerators_by_domain.values()),
    )
    generated = generate_arrivals(
        parameters.fleet.workload,
        parameters.scenario,
        total_accelerators,
        smallest_domain_accelerators,
        parameters.seed,
    )
    return (arrival for arrival in generated if arrival.at < parameters.horizon_s)


def _kept_share(parameters: _RunParameters, result: RunResult) -> float | None:
    fleet = parameters.fleet
    if not parameters.scenario.flood_role:
        return None
    flood_class = fleet.workload.kinds_by_role[parameters.scenario.flood_role].job_class

    def select_other_classes(records: tuple[JobRecord, ...]) -> list[JobRecord]:
        return [
            record for record in records if record.arrival.spec.job_class != flood_class
        ]

    steady_result = _run(parameters._replace(scenario=find_scenario("steady")))
    share_without_flood = target_met_share(
        select_other_classes(steady_result.records), fleet.configuration
    )
    share_with_flood = target_met_share(
        select_other_classes(result.records), fleet.configuration
    )
    return share_with_flood / share_without_flood if share_without_flood else None


def _small_caller_ratio(parameters: _RunParameters, result: RunResult) -> float | None:
    scenario = parameters.scenario
    if not scenario.large_caller:
        return None
    flood_class = parameters.fleet.workload.kinds_by_role[scenario.flood_role].job_class

    def is_small_caller_job(arrival: Arrival) -> bool:
        spec = arrival.spec
        return spec.job_class == flood_class and spec.caller != LARGE_CALLER

    alone_result = _run(parameters, is_included=is_small_caller_job)
    records_beside_flood = [
        record for record in result.records if is_small_caller_job(record.arrival)
    ]
    return completion_p95_s(records_beside_flood) / completion_p95_s(
        alone_result.records
    )


def _shortfalls(figures: Figures, comparison: Comparison) -> tuple[str, ...]:
    """Return a sentence for every target that the run missed."""
    checks = [
        (figures.lost == 0, f"{figures.lost} jobs lost"),
        (
            figures.doubled == 0,
            f"{figures.doubled} non-idempotent jobs started more than once",
        ),
        (
            figures.work_factor <= WORK_FACTOR_TARGET,
            f"work factor {figures.work_factor:.2f}, target {WORK_FACTOR_TARGET}",
        ),
    ]
    for row in figures.organisations:
        honoured_percent = row.honoured_percent
        text = (
            f"{row.organisation}: guarantee honoured for "
            f"{honoured_percent:.2f} % of jobs, target {HONOURED_TARGET_PERCENT} %"
        )
        checks.append((honoured_percent == HONOURED_TARGET_PERCENT, text))
    kept_share = comparison.kept_share
    if kept_share is not None:
        text = (
            f"share of targets kept by classes that are not flooded "
            f"{kept_share:.3f}, target {KEPT_SHARE_TARGET}"
        )
        checks.append((kept_share >= KEPT_SHARE_TARGET, text))
    ratio = comparison.small_caller_ratio
    if ratio is not None:
        text = (
            f"p95 ratio of the small callers {ratio:.2f}, "
            f"target {SMALL_CALLER_RATIO_TARGET}"
        )
        checks.append((ratio <= SMALL_CALLER_RATIO_TARGET, text))
    return tuple(text for reached, text in checks if not reached)
