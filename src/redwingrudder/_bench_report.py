"""Figures of a bench run: what the users measure."""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ._bench_runner import START_OF_RUN_S, JobRecord, RunResult, Sample
from ._scheduler_jobs import find_target
from .model import FINAL_JOB_STATES, Configuration, JobClass, JobState

RECLAIM_START_S = 2.6  # a guaranteed job starts within this time


class ClassFigures(NamedTuple):
    """Jobs of one class; completion times in seconds."""

    job_class: str
    submitted: int
    refused: int
    succeeded: int
    target_met_percent: float
    p50_s: float
    p95_s: float
    p99_s: float


class OrganisationFigures(NamedTuple):
    """Jobs of one organisation that lie within its guarantee."""

    organisation: str
    guaranteed_jobs: int
    honoured_percent: float
    start_p95_s: float


class Figures(NamedTuple):
    """All figures of one run.

    ``fragmentation_percent`` is the mean share of free accelerators outside
    the largest placeable gang. ``work_factor`` is all work over the work
    that the jobs which succeeded needed.
    """

    classes: tuple[ClassFigures, ...]
    organisations: tuple[OrganisationFigures, ...]
    fragmentation_percent: float
    lost: int
    doubled: int
    work_factor: float
    events: int


def figures(result: RunResult, configuration: Configuration) -> Figures:
    """Work out the figures of a run."""
    by_class = _group(result.records, lambda r: r.arrival.spec.job_class)
    by_organisation = _group(result.records, lambda r: r.arrival.spec.organisation)
    classes = configuration.classes_by_name
    work = _useful_work_s(result.records)
    return Figures(
        tuple(_class_figures(classes[name], by_class[name]) for name in by_class),
        tuple(
            _organisation_figures(name, by_organisation[name])
            for name in by_organisation
        ),
        _fragmentation_percent(result.samples),
        sum(record.state not in FINAL_JOB_STATES for record in result.records),
        sum(_is_doubled(record) for record in result.records),
        result.work_s / work if work else 1.0,
        result.events,
    )


def met_target(record: JobRecord, job_class: JobClass) -> bool:
    """Return whether a job succeeded by the target of its class."""
    if record.state is not JobState.SUCCEEDED or record.finished_at is None:
        return False
    target_at = find_target(job_class, START_OF_RUN_S + record.arrival.at)
    return START_OF_RUN_S + record.finished_at <= target_at


def met_share(records: Iterable[JobRecord], configuration: Configuration) -> float:
    """Return the share of jobs, refused ones too, that met their target."""
    classes = configuration.classes_by_name
    met = [met_target(r, classes[r.arrival.spec.job_class]) for r in records]
    return sum(met) / len(met) if met else 1.0


def completion_p95_s(records: Iterable[JobRecord]) -> float:
    """Return the 95th percentile of completion times in seconds."""
    return percentile(_completions(records), 0.95)


def percentile(values: list[float], share: float) -> float:
    """Return a percentile by the nearest rank, or NaN without values."""
    if not values:
        return math.nan
    return sorted(values)[max(0, math.ceil(share * len(values)) - 1)]


def _class_figures(job_class: JobClass, records: list[JobRecord]) -> ClassFigures:
    completions = _completions(records)
    met = sum(met_target(record, job_class) for record in records)
    return ClassFigures(
        job_class.name,
        len(records),
        sum(record.state is JobState.NOT_RUN for record in records),
        sum(record.state is JobState.SUCCEEDED for record in records),
        100.0 * met / len(records),
        percentile(completions, 0.5),
        percentile(completions, 0.95),
        percentile(completions, 0.99),
    )


def _organisation_figures(name: str, records: list[JobRecord]) -> OrganisationFigures:
    waits = [
        record.started_at - record.arrival.at
        if record.started_at is not None
        else math.inf
        for record in records
        if record.guaranteed
    ]
    honoured = sum(wait <= RECLAIM_START_S for wait in waits)
    percent = 100.0 * honoured / len(waits) if waits else 100.0
    return OrganisationFigures(name, len(waits), percent, percentile(waits, 0.95))


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


def _is_doubled(record: JobRecord) -> bool:
    return record.starts > 1 and not record.arrival.spec.idempotent


def _completions(records: Iterable[JobRecord]) -> list[float]:
    return [
        record.finished_at - record.arrival.at
        for record in records
        if record.state is JobState.SUCCEEDED and record.finished_at is not None
    ]


def _group(
    records: Iterable[JobRecord], key: Callable[[JobRecord], str]
) -> dict[str, list[JobRecord]]:
    groups: dict[str, list[JobRecord]] = defaultdict(list)
    for record in records:
        groups[key(record)].append(record)
    return dict(sorted(groups.items()))
