"""Arrivals of jobs for the bench: kinds of work, scenarios and their mix."""

import random
from collections.abc import Iterator
from typing import NamedTuple

from .model import JobSpec

HORIZON_S = 3_600.0
FLOOD_START_S = 1_200.0
FLOOD_S = 300.0
FLOOD_FACTOR = 10.0  # arrivals over what the whole fleet can take
STEADY_SHARE = 0.7  # of the fleet's accelerator-seconds
LARGE_CALLER = "large"


class WorkKind(NamedTuple):
    """One kind of work.

    ``share`` is its part of the steady load in accelerator-seconds.
    ``run_s`` is the median of a log-normal run time with ``sigma``; the
    declared run time is off by a random factor between 1/4 and 4.
    """

    job_class: str
    organisation: str
    share: float
    gang_sizes: tuple[int, ...]
    run_s: float
    sigma: float
    idempotent: bool
    preemptible: bool


class Arrival(NamedTuple):
    """A job with its true run time, which the scheduler does not see."""

    at: float
    spec: JobSpec
    run_s: float


class CancelWave(NamedTuple):
    """A share of all jobs that are not final is cancelled at one time."""

    at: float
    share: float


class Outage(NamedTuple):
    """A part is away from ``start`` to ``end`` (seconds of the run)."""

    start: float
    end: float


class Scenario(NamedTuple):
    """What differs from the steady load."""

    name: str
    description: str
    flood_role: str = ""
    flood_gangs: bool = False
    large_caller: bool = False
    large_gangs: bool = False
    failing_workers: int = 0
    cancel_wave: CancelWave | None = None
    store_outage: Outage | None = None
    rack_loss: Outage | None = None


SCENARIOS = (
    Scenario("steady", "the usual mix at 70 % of the fleet"),
    Scenario("flood-patient", "ten times the fleet in patient work", "patient"),
    Scenario("flood-urgent", "ten times the fleet in urgent work", "urgent"),
    Scenario(
        "flood-gangs", "ten times the fleet in large jobs", "patient", flood_gangs=True
    ),
    Scenario(
        "small-among-large",
        "one caller asks for ten times the fleet beside small callers",
        "urgent",
        large_caller=True,
    ),
    Scenario("gangs", "gangs as large as a failure domain holds", large_gangs=True),
    Scenario("bad-workers", "one worker a domain fails everything", failing_workers=1),
    Scenario(
        "cancellations",
        "half of all open jobs are cancelled at once",
        cancel_wave=CancelWave(1_800.0, 0.5),
    ),
    Scenario(
        "store-outage",
        "the platform store is down for half of the run",
        store_outage=Outage(900.0, 2_700.0),
    ),
    Scenario(
        "rack-loss",
        "one rack is lost for ten minutes",
        rack_loss=Outage(1_200.0, 1_800.0),
    ),
)
SCENARIOS_BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


class Workload(NamedTuple):
    """The kinds of work of a deployment; roles name the flooded ones."""

    kinds: tuple[WorkKind, ...]
    kinds_by_role: dict[str, WorkKind]


def _workload(urgent: WorkKind, patient: WorkKind, *others: WorkKind) -> Workload:
    return Workload((urgent, patient, *others), {"urgent": urgent, "patient": patient})


WORKLOADS_BY_DEPLOYMENT = {
    "huon": _workload(
        WorkKind("counter-proof", "shop-counters", 0.08, (1,), 4.0, 0.4, True, False),
        WorkKind("swatch-check", "swatch-lab", 0.22, (1, 2), 90.0, 0.6, True, True),
        WorkKind(
            "pattern-run", "seasonal-buyers", 0.45, (8, 16), 900.0, 0.5, False, False
        ),
        WorkKind(
            "swatch-check", "franchise-office", 0.25, (4, 8), 300.0, 0.6, True, True
        ),
    ),
    "saengthong": _workload(
        WorkKind("urgent-scoring", "lenders", 0.15, (1, 2), 8.0, 0.4, True, False),
        WorkKind("patient-scoring", "utilities", 0.35, (4, 8), 300.0, 0.6, True, True),
        WorkKind(
            "demand-letters", "cooperatives", 0.2, (2, 4), 240.0, 0.5, False, False
        ),
        WorkKind(
            "patient-scoring", "recovery-desk", 0.3, (8, 16), 600.0, 0.6, True, True
        ),
    ),
}

# About 3,400 jobs a day, most of which run for hours.
WORKLOADS_BY_DEPLOYMENT["target"] = _workload(
    WorkKind("counter-proof", "shop-counters", 0.01, (1, 2), 600.0, 0.5, True, False),
    WorkKind("swatch-check", "swatch-lab", 0.35, (4, 8), 7_200.0, 0.5, True, True),
    WorkKind(
        "pattern-run", "seasonal-buyers", 0.30, (16, 32), 5_400.0, 0.5, False, False
    ),
    WorkKind(
        "swatch-check", "franchise-office", 0.34, (8, 64), 7_200.0, 0.5, True, True
    ),
)


def arrivals(
    workload: Workload,
    scenario: Scenario,
    accelerators: int,
    largest_gang: int,
    seed: int,
) -> Iterator[Arrival]:
    """Yield the arrivals of a run ordered by time.

    Args:
        workload: Kinds of work.
        scenario: What differs from the steady load.
        accelerators: Accelerators of the whole fleet.
        largest_gang: Accelerators of the smallest failure domain.
        seed: The same seed gives the same arrivals.
    """
    streams: list[Arrival] = []
    for index, kind in enumerate(workload.kinds):
        rate = STEADY_SHARE * kind.share * accelerators
        streams += _stream(kind, rate, 0.0, HORIZON_S, f"{seed}-{index}", scenario)
    if scenario.flood_role:
        kind = workload.kinds_by_role[scenario.flood_role]
        if scenario.flood_gangs:
            kind = kind._replace(gang_sizes=(16, 32), run_s=600.0)
        rate = FLOOD_FACTOR * accelerators
        end = FLOOD_START_S + FLOOD_S
        streams += _stream(kind, rate, FLOOD_START_S, end, f"{seed}-flood", scenario)
    if scenario.large_gangs:
        size = min(64, largest_gang)
        kind = workload.kinds[-1]._replace(gang_sizes=(size,), run_s=300.0)
        rate = 0.15 * accelerators
        streams += _stream(kind, rate, 0.0, HORIZON_S, f"{seed}-gangs", scenario)
    return iter(sorted(streams, key=lambda arrival: arrival.at))


def _stream(
    kind: WorkKind,
    rate: float,
    start: float,
    end: float,
    stream: str,
    scenario: Scenario,
) -> list[Arrival]:
    """Return Poisson arrivals that ask for ``rate`` accelerators in all."""
    rng = random.Random(f"{stream}-{kind.job_class}-{kind.organisation}")
    mean_size = sum(kind.gang_sizes) / len(kind.gang_sizes)
    mean_run_s = kind.run_s * 2.718281828 ** (kind.sigma**2 / 2)
    interval_s = mean_size * mean_run_s / rate
    result = []
    at = start + rng.expovariate(1 / interval_s)
    while at < end:
        result.append(_arrival(kind, at, f"{stream}-{len(result)}", rng, scenario))
        at += rng.expovariate(1 / interval_s)
    return result


def _arrival(
    kind: WorkKind, at: float, key: str, rng: random.Random, scenario: Scenario
) -> Arrival:
    run_s = rng.lognormvariate(0.0, kind.sigma) * kind.run_s
    declared_run_s = run_s * 4 ** rng.uniform(-1, 1)
    caller = f"caller-{rng.randrange(4)}"
    if scenario.large_caller and "flood" in key:
        caller = LARGE_CALLER
    spec = JobSpec(
        organisation=kind.organisation,
        job_class=kind.job_class,
        caller=caller,
        idempotency_key=key,
        tasks=rng.choice(kind.gang_sizes),
        accelerators_per_task=1,
        cores_per_task=4,
        memory_mb_per_task=4_096,
        idempotent=kind.idempotent,
        preemptible=kind.preemptible,
        declared_run_s=declared_run_s,
        stop_bound_s=1.0,
        payload="",
    )
    return Arrival(at, spec, run_s)
