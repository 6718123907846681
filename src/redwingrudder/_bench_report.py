"""Figures of a benchmark run, as users of the system would measure them."""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ._bench_runner import START_TIME_OF_DAY_S, JobRecord, RunResult, Sample
from ._scheduler_jobs import find_target
from .model import FINAL_JOB_STATES, Configuration, JobClass, JobState

# A guarantee is honoured if the job starts within this time after it arrived.
GUARANTEED_START_LIMIT_S = 2.6


class ClassFigures(NamedTuple):
    """Jobs of one class.

    Attributes:
        job_class: Name of the class.
        submitted: All jobs that arrived.
        refused: Jobs that were refused on arrival or ended without a run.
        succeeded: Jobs that succeeded.
        target_met_percent: Share of all jobs that succeeded by their target.
        p50_s: Median time from arrival to success, in seconds.
        p95_s: 95th percentile of that time, in seconds.
        p99_s: 99th percentile of that time, in seconds.
    """

    job_class: str
    submitted: int
    refused: int
    succeeded: int
    target_met_percent: float
    p50_s: float
    p95_s: float
    p99_s: float


class OrganisationFigures(NamedTuple):
    """Jobs of one organisation that were within its guarantee on arrival.

    Attributes:
        organisation: Name of the organisation.
        guaranteed_jobs: Number of these jobs.
        honoured_percent: Share that started within
            ``GUARANTEED_START_LIMIT_S``; 100 without such jobs.
        start_p95_s: 95th percentile of the time from arrival to the first
            start, in seconds; jobs that never started count as infinite.
    """

    organisation: str
    guaranteed_jobs: int
    honoured_percent: float
    start_p95_s: float


class Figures(NamedTuple):
    """All figures of one run.

    Attributes:
        classes: Figures of each job class.
        organisations: Figures of each organisation.
        fragmentation_percent: Mean share of the free accelerators that are
            not part of the largest gang that could be placed.
        lost: Accepted jobs that are not final at the end of the run.
        doubled: Jobs that are not idempotent and started more than once.
        work_factor: Work done over the work that the succeeded jobs needed.
        events: Events that the schedulers handled.
    """

    classes: tuple[ClassFigures, ...]
    organisations: tuple[OrganisationFigures, ...]
    fragmentation_percent: float
    lost: int
    doubled: int
    work_factor: float
    events: int


def compute_figures(result: RunResult, configuration: Configuration) -> Figures:
    """Compute the figures of a run."""
    by_class = _group_records(
        result.records, lambda record: record.arrival.spec.job_class
    )
    by_organisation = _group_records(
        result.records, lambda record: record.arrival.spec.organisation
    )
    classes = configuration.classes_by_name
    useful_work_s = _useful_work_s(result.records)
    return Figures(
        tuple(_class_figures(classes[name], by_class[name]) for name in by_class),
        tuple(
            _organisation_figures(name, by_organisation[name])
            for name in by_organisation
        ),
        _fragmentation_percent(result.samples),
        sum(record.state not in FINAL_JOB_STATES for record in result.records),
        sum(_has_repeated_start(record) for record in result.records),
        result.work_s / useful_work_s if useful_work_s else 1.0,
        result.events,
    )


def has_met_target(record: JobRecord, job_class: JobClass) -> bool:
    """Return whether a job succeeded by the target time of its class."""
    if record.state is not JobState.SUCCEEDED or record.finished_at is None:
        return False
    target_at = find_target(job_class, START_TIME_OF_DAY_S + record.arrival.at)
    return START_TIME_OF_DAY_S + record.finished_at <= target_at


def target_met_share(
    records: Iterable[JobRecord], configuration: Configuration
) -> float:
    """Return the share of all jobs, including refused ones, that met targets.

    Without jobs it is 1.
    """
    classes = configuration.classes_by_name
    met_flags = [
        has_met_target(record, classes[record.arrival.spec.job_class])
        for record in records
    ]
    return sum(met_flags) / len(met_flags) if met_flags else 1.0


def completion_p95_s(records: Iterable[JobRecord]) -> float:
    """Return the 95th percentile of the completion times, in seconds."""
    return percentile(_completion_times_s(records), 0.95)


def percentile(values: list[float], share: float) -> float:
    """Return a percentile by the nearest-rank method, or NaN without values.

    Args:
        values: Values in any order.
        share: The percentile, as a number from 0 to 1.
    """
    if not values:
        return math.nan
    return sorted(values)[max(0, math.ceil(share * len(values)) - 1)]


def _class_figures(job_class: JobClass, records: list[JobRecord]) -> ClassFigures:
    completion_times_s = _completion_times_s(records)
    met_count = sum(has_met_target(record, job_class) for record in records)
    return ClassFigures(
        job_class.name,
        len(records),
        sum(record.state is JobState.NOT_RUN for record in records),
        sum(record.state is JobState.SUCCEEDED for record in records),
        100.0 * met_count / len(records),
        percentile(completion_times_s, 0.5),
        percentile(completion_times_s, 0.95),
        percentile(completion_times_s, 0.99),
    )


def _organisation_figures(name: str, records: list[JobRecord]) -> OrganisationFigures:
    waits_s = [
        record.started_at - record.arrival.at
        if record.started_at is not None
        else math.inf
        for record in records
        if record.guaranteed
    ]
    honoured_count = sum(wait_s <= GUARANTEED_START_LIMIT_S for wait_s in waits_s)
    honoured_percent = 100.0 * honoured_count / len(waits_s) if waits_s else 100.0
    return OrganisationFigures(
        name, len(waits_s), honoured_percent, percentile(waits_s, 0.95)
    )


def _fragmentation_percent(samples: tuple[Sample, ...]) -> float:
    shares = [
        1.0 - sample.largest_gang / sample.free_accelerators
        for sample in samples
        if sample.free_accelerators
    ]
    return 100.0 * sum(shares) / len(shares) if shares else 0.0


def _useful_work_s(records: Iterable[JobRecord]) -> float:
    return sum(
        record.arrival.run_s * max(1, record.arrival.spec.accelerators)
        for record in records
        if record.state is JobState.SUCCEEDED
    )


def _has_repeated_start(record: JobRecord) -> bool:
    return record.starts > 1 and not record.arrival.spec.idempotent


def _completion_times_s(records: Iterable[JobRecord]) -> list[float]:
    return [
        record.finished_at - record.arrival.at
        for record in records
        if record.state is JobState.SUCCEEDED and record.finished_at is not None
    ]


def _group_records(
    records: Iterable[JobRecord], key: Callable[[JobRecord], str]
) -> dict[str, list[JobRecord]]:
    groups: dict[str, list[JobRecord]] = defaultdict(list)
    for record in records:
        groups[key(record)].append(record)
    return dict(sorted(groups.items()))
