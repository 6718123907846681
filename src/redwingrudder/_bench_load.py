"""Load of the benchmark: workloads, scenarios and the generated arrivals."""

import random
from collections.abc import Iterator
from typing import NamedTuple

from .model import JobSpec

HORIZON_S = 3_600.0
FLOOD_START_S = 1_200.0
FLOOD_DURATION_S = 300.0
# Accelerators that the arrivals of a flood ask for, over those of the fleet.
FLOOD_FACTOR = 10.0
# Tasks per gang and median run time of a flood of large gangs.
FLOOD_GANG_SIZES = (16, 32)
FLOOD_GANG_RUN_S = 600.0
# Share of the fleet's accelerator-seconds that the steady load asks for.
STEADY_SHARE = 0.7
# The same for the additional gangs of the "gangs" scenario.
LARGE_GANG_SHARE = 0.15
MAX_GANG_TASKS = 64
LARGE_GANG_RUN_S = 300.0
# Declared run times are wrong by up to this factor in both directions.
MAX_DECLARED_RUN_ERROR = 4
CALLERS = 4  # callers of each kind of work
LARGE_CALLER = "large"
EULER_NUMBER = 2.718281828


class WorkKind(NamedTuple):
    """Jobs of one class that one organisation submits.

    Run times are log-normal. The declared run time is the true one multiplied
    by a random factor between 1/4 and 4.

    Attributes:
        job_class: Name of the job class.
        organisation: Name of the organisation.
        share: Part of the steady load, in accelerator-seconds.
        gang_sizes: Numbers of tasks, chosen with equal probability.
        run_s: Median of the run time in seconds.
        sigma: Standard deviation of the run time's logarithm.
        idempotent: Whether jobs may run more than once.
        preemptible: Whether jobs may be stopped for other jobs.
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
    """A submitted job.

    Attributes:
        at: Seconds since the start of the run.
        spec: Specification that the scheduler gets.
        run_s: True run time in seconds, which the scheduler does not know.
    """

    at: float
    spec: JobSpec
    run_s: float


class CancelWave(NamedTuple):
    """Cancellation of many jobs at one time.

    Attributes:
        at: Seconds since the start of the run.
        share: Probability with which each job that is not final is cancelled.
    """

    at: float
    share: float


class Outage(NamedTuple):
    """Unavailability from ``start`` to ``end``, in seconds since the start."""

    start: float
    end: float


class Scenario(NamedTuple):
    """Load and faults that are added to the steady load.

    Attributes:
        name: Name on the command line.
        description: What the scenario does, in a few words.
        flood_role: Role in the workload of the flooded kind of work, or "".
        flood_gangs: Whether the flood consists of large gangs.
        large_caller: Whether all jobs of the flood come from one caller.
        large_gangs: Whether gangs of up to a whole failure domain arrive too.
        failing_workers: Workers in each failure domain on which tasks fail.
        cancel_wave: Cancellation of many jobs at one time, or None.
        store_outage: Time without the platform store, or None.
        rack_loss: Time in which the workers of one rack are lost, or None.
    """

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
    Scenario("steady", "the usual mix at 70 % of the fleet's capacity"),
    Scenario(
        "flood-patient",
        "arrivals of patient work at ten times the fleet's capacity",
        "patient",
    ),
    Scenario(
        "flood-urgent",
        "arrivals of urgent work at ten times the fleet's capacity",
        "urgent",
    ),
    Scenario(
        "flood-gangs",
        "arrivals of large gangs at ten times the fleet's capacity",
        "patient",
        flood_gangs=True,
    ),
    Scenario(
        "small-among-large",
        "one caller submits ten times the fleet's capacity beside small callers",
        "urgent",
        large_caller=True,
    ),
    Scenario("gangs", "gangs of up to a whole failure domain", large_gangs=True),
    Scenario(
        "bad-workers",
        "every task fails on one worker of each failure domain",
        failing_workers=1,
    ),
    Scenario(
        "cancellations",
        "half of all jobs that are not final are cancelled at once",
        cancel_wave=CancelWave(1_800.0, 0.5),
    ),
    Scenario(
        "store-outage",
        "the platform store is unavailable for half of the run",
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
    """Kinds of work of a deployment.

    Attributes:
        kinds: All kinds; the last one is also used for large gangs.
        kinds_by_role: The kinds that a scenario can flood; the roles are
            "urgent" and "patient".
    """

    kinds: tuple[WorkKind, ...]
    kinds_by_role: dict[str, WorkKind]


def _build_workload(urgent: WorkKind, patient: WorkKind, *others: WorkKind) -> Workload:
    return Workload((urgent, patient, *others), {"urgent": urgent, "patient": patient})


WORKLOADS_BY_DEPLOYMENT = {
    "huon": _build_workload(
        WorkKind("counter-proof", "shop-counters", 0.08, (1,), 4.0, 0.4, True, False),
        WorkKind("swatch-check", "swatch-lab", 0.22, (1, 2), 90.0, 0.6, True, True),
        WorkKind(
            "pattern-run", "seasonal-buyers", 0.45, (8, 16), 900.0, 0.5, False, False
        ),
        WorkKind(
            "swatch-check", "franchise-office", 0.25, (4, 8), 300.0, 0.6, True, True
        ),
    ),
    "saengthong": _build_workload(
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
WORKLOADS_BY_DEPLOYMENT["target"] = _build_workload(
    WorkKind("counter-proof", "shop-counters", 0.01, (1, 2), 600.0, 0.5, True, False),
    WorkKind("swatch-check", "swatch-lab", 0.35, (4, 8), 7_200.0, 0.5, True, True),
    WorkKind(
        "pattern-run", "seasonal-buyers", 0.30, (16, 32), 5_400.0, 0.5, False, False
    ),
    WorkKind(
        "swatch-check", "franchise-office", 0.34, (8, 64), 7_200.0, 0.5, True, True
    ),
)


def generate_arrivals(
    workload: Workload,
    scenario: Scenario,
    accelerators: int,
    largest_gang: int,
    seed: int,
) -> Iterator[Arrival]:
    """Generate the arrivals of a run, ordered by time.

    Args:
        workload: Kinds of work of the steady load.
        scenario: Flood and large gangs that are added.
        accelerators: Accelerators of the whole fleet.
        largest_gang: Accelerators of the smallest failure domain, which limit
            the size of large gangs.
        seed: The same seed gives the same arrivals.
    """
    generated: list[Arrival] = []
    for index, kind in enumerate(workload.kinds):
        demanded_accelerators = STEADY_SHARE * kind.share * accelerators
        generated += _generate_stream(
            kind, demanded_accelerators, 0.0, HORIZON_S, f"{seed}-{index}", scenario
        )
    if scenario.flood_role:
        kind = workload.kinds_by_role[scenario.flood_role]
        if scenario.flood_gangs:
            kind = kind._replace(gang_sizes=FLOOD_GANG_SIZES, run_s=FLOOD_GANG_RUN_S)
        demanded_accelerators = FLOOD_FACTOR * accelerators
        end = FLOOD_START_S + FLOOD_DURATION_S
        generated += _generate_stream(
            kind, demanded_accelerators, FLOOD_START_S, end, f"{seed}-flood", scenario
        )
    if scenario.large_gangs:
        size = min(MAX_GANG_TASKS, largest_gang)
        kind = workload.kinds[-1]._replace(gang_sizes=(size,), run_s=LARGE_GANG_RUN_S)
        demanded_accelerators = LARGE_GANG_SHARE * accelerators
        generated += _generate_stream(
            kind, demanded_accelerators, 0.0, HORIZON_S, f"{seed}-gangs", scenario
        )
    return iter(sorted(generated, key=lambda arrival: arrival.at))


def _generate_stream(
    kind: WorkKind,
    demanded_accelerators: float,
    start: float,
    end: float,
    stream_key: str,
    scenario: Scenario,
) -> list[Arrival]:
    """Return Poisson arrivals of one kind, from ``start`` to ``end`` seconds.

    The interval between arrivals is chosen so that the running jobs would
    occupy ``demanded_accelerators`` on average if no job had to wait.
    """
    rng = random.Random(f"{stream_key}-{kind.job_class}-{kind.organisation}")
    mean_size = sum(kind.gang_sizes) / len(kind.gang_sizes)
    mean_run_s = kind.run_s * EULER_NUMBER ** (kind.sigma**2 / 2)
    interval_s = mean_size * mean_run_s / demanded_accelerators
    generated = []
    at = start + rng.expovariate(1 / interval_s)
    while at < end:
        generated.append(
            _generate_arrival(kind, at, f"{stream_key}-{len(generated)}", rng, scenario)
        )
        at += rng.expovariate(1 / interval_s)
    return generated


def _generate_arrival(
    kind: WorkKind,
    at: float,
    idempotency_key: str,
    rng: random.Random,
    scenario: Scenario,
) -> Arrival:
    run_s = rng.lognormvariate(0.0, kind.sigma) * kind.run_s
    declared_run_s = run_s * MAX_DECLARED_RUN_ERROR ** rng.uniform(-1, 1)
    caller = f"caller-{rng.randrange(CALLERS)}"
    # The keys of a flood's arrivals contain the name of their stream.
    if scenario.large_caller and "flood" in idempotency_key:
        caller = LARGE_CALLER
    spec = JobSpec(
        organisation=kind.organisation,
        job_class=kind.job_class,
        caller=caller,
        idempotency_key=idempotency_key,
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
