"""A short morning of jobs on an example deployment, with a summary."""

import json
import pathlib
import random
from collections import Counter
from typing import Any, NamedTuple

from twisted.internet.defer import DeferredList, ensureDeferred
from twisted.internet.task import LoopingCall, deferLater

from ._bench_report import percentile
from ._tables import print_table
from .client import Client
from .configuration import parse_document
from .exceptions import RedwingrudderError
from .local import LocalDeployment
from .logs import configure_logging
from .model import FINAL_JOB_STATES, JobState
from .settings import load_deployment, read_file

FIRST_PORT = 18_080
DURATION_S = 12.0  # over which the jobs are submitted
POLL_S = 20.0
PROGRESS_INTERVAL_S = 2.0
FINAL_STATES = frozenset(str(state) for state in FINAL_JOB_STATES)


class DemoKind(NamedTuple):
    """Jobs of one kind; run times are seconds of real time."""

    job_class: str
    organisation: str
    jobs: int
    tasks: tuple[int, ...]
    run_s: tuple[float, float]
    idempotent: bool
    preemptible: bool


class DemoJob(NamedTuple):
    """One job and what its caller was told last."""

    kind: DemoKind
    state: str
    completion_s: float
    target_missed: bool
    results: int
    tasks: int


KINDS_BY_DEPLOYMENT = {
    "huon": (
        DemoKind("counter-proof", "shop-counters", 80, (1,), (0.3, 1.0), True, False),
        DemoKind(
            "pattern-run", "seasonal-buyers", 8, (8, 16), (3.0, 6.0), False, False
        ),
        DemoKind("pattern-run", "franchise-office", 4, (8,), (2.0, 4.0), False, False),
        DemoKind("swatch-check", "swatch-lab", 40, (1, 2, 4), (1.0, 3.0), True, True),
    ),
    "saengthong": (
        DemoKind("urgent-scoring", "lenders", 80, (1, 2), (0.3, 1.0), True, False),
        DemoKind(
            "demand-letters", "cooperatives", 10, (2, 4), (2.0, 4.0), False, False
        ),
        DemoKind("patient-scoring", "utilities", 30, (4, 8), (1.0, 3.0), True, True),
        DemoKind("patient-scoring", "recovery-desk", 8, (16,), (3.0, 6.0), True, True),
    ),
}


class Demo:
    """Submits the jobs over HTTP to all entry nodes in turn."""

    def __init__(self, local: LocalDeployment, reactor: Any, seed: int) -> None:
        self._local = local
        self._reactor = reactor
        self._rng = random.Random(seed)
        self._jobs: list[DemoJob] = []
        self._states: Counter[str] = Counter()
        self._peak_by_organisation: Counter[str] = Counter()
        self._guaranteed_by_organisation: Counter[str] = Counter()
        self._free_shares: list[float] = []
        self._short_organisations: set[str] = set()

    async def run(self, kinds: tuple[DemoKind, ...]) -> bool:
        """Run all jobs; returns whether every job is accounted for."""
        submissions = [kind for kind in kinds for _ in range(kind.jobs)]
        self._rng.shuffle(submissions)
        progress = LoopingCall(self._progress)
        progress.clock = self._reactor
        progress.start(PROGRESS_INTERVAL_S, now=False)
        pending = [
            ensureDeferred(self._run_job(kind, index, index / len(submissions)))
            for index, kind in enumerate(submissions)
        ]
        await DeferredList(pending, fireOnOneErrback=True, consumeErrors=True)
        if progress.running:
            progress.stop()
        await self._progress()
        self._summarise(kinds)
        whole = all(job.results == job.tasks for job in self._succeeded())
        ended = all(job.state in FINAL_STATES for job in self._jobs)
        return whole and ended and len(self._jobs) == len(submissions)

    async def _run_job(self, kind: DemoKind, index: int, share: float) -> None:
        urls = self._local.urls
        first = index % len(urls)
        client = Client(urls[first:] + urls[:first], self._reactor)
        body = self._job_body(kind, index)
        await deferLater(self._reactor, share * DURATION_S)
        started_at = self._reactor.seconds()
        self._states["submitted"] += 1
        view = (await client.submit(body, f"demo-{index}")).body
        while view["state"] not in FINAL_STATES:
            view = (await client.job(view["job_id"], POLL_S)).body
        self._states["ended"] += 1
        self._jobs.append(
            DemoJob(
                kind,
                view["state"],
                self._reactor.seconds() - started_at,
                view["target_missed"],
                len(view["results"]),
                body["tasks"],
            )
        )

    def _job_body(self, kind: DemoKind, index: int) -> dict[str, Any]:
        run_s = self._rng.uniform(*kind.run_s)
        return {
            "organisation": kind.organisation,
            "class": kind.job_class,
            "caller": f"shop-{index % 5}",
            "tasks": self._rng.choice(kind.tasks),
            "accelerators_per_task": 1,
            "idempotent": kind.idempotent,
            "preemptible": kind.preemptible,
            "declared_run_s": run_s * self._rng.uniform(0.3, 3.0),
            "stop_bound_s": 1.0,
            "payload": json.dumps({"run_s": run_s}),
        }

    async def _progress(self) -> None:
        client = Client(self._local.urls, self._reactor)
        try:
            domains = (await client.status()).body["failure_domains"]
        except RedwingrudderError:
            return
        free = sum(domain["free_accelerators"] for domain in domains)
        total = sum(domain["accelerators"] for domain in domains)
        self._observe(domains)
        print(
            f"submitted {self._states['submitted']:4d}  "
            f"ended {self._states['ended']:4d}  "
            f"accelerators in use {total - free:4d} of {total}",
            flush=True,
        )

    def _observe(self, domains: list[dict[str, Any]]) -> None:
        in_use: Counter[str] = Counter()
        guaranteed: Counter[str] = Counter()
        for domain in domains:
            if domain["free_accelerators"]:
                share = domain["largest_gang"] / domain["free_accelerators"]
                self._free_shares.append(1.0 - share)
            for shortage in domain["shortages"]:
                self._short_organisations.add(shortage["organisation"])
            for row in domain["organisations"]:
                in_use[row["organisation"]] += row["in_use"]
                guaranteed[row["organisation"]] += row["guaranteed"]
        self._guaranteed_by_organisation |= guaranteed
        self._peak_by_organisation |= in_use

    def _succeeded(self) -> list[DemoJob]:
        return [job for job in self._jobs if job.state == JobState.SUCCEEDED]

    def _summarise(self, kinds: tuple[DemoKind, ...]) -> None:
        print("\nJobs by class (seconds of real time)")
        names = sorted({kind.job_class for kind in kinds})
        print_table([self._class_row(name) for name in names])
        print("\nOrganisations")
        print_table(
            [
                {
                    "organisation": name,
                    "guaranteed accelerators": guaranteed,
                    "guarantee held": name not in self._short_organisations,
                    "most in use": self._peak_by_organisation[name],
                }
                for name, guaranteed in sorted(self._guaranteed_by_organisation.items())
            ]
        )
        shares = self._free_shares or [0.0]
        mean = 100.0 * sum(shares) / len(shares)
        print(f"\nFree accelerators outside the largest gang: {mean:.1f} % on average")

    def _class_row(self, name: str) -> dict[str, Any]:
        jobs = [job for job in self._jobs if job.kind.job_class == name]
        done = [job for job in jobs if job.state == JobState.SUCCEEDED]
        times = [job.completion_s for job in done]
        return {
            "class": name,
            "submitted": len(jobs),
            "done": len(done),
            "target met": sum(not job.target_missed for job in done),
            "p50 s": percentile(times, 0.5),
            "p95 s": percentile(times, 0.95),
        }


def run_demo(example: str, seed: int, reactor: Any) -> bool:
    """Run the demo; returns whether every job ended accounted for.

    Args:
        example: Folder with ``deployment.jsonc`` and ``configuration.jsonc``.
        seed: Seed of the job mix.
        reactor: The twisted reactor, not yet running.
    """
    folder = pathlib.Path(example)
    deployment = load_deployment(str(folder / "deployment.jsonc"))
    document = parse_document(read_file(str(folder / "configuration.jsonc")))
    kinds = KINDS_BY_DEPLOYMENT.get(deployment["name"], KINDS_BY_DEPLOYMENT["huon"])
    configure_logging(deployment["name"], "ERROR")
    local = LocalDeployment(deployment, reactor, FIRST_PORT)
    outcomes: list[Any] = []

    async def run() -> bool:
        try:
            await local.start(document)
            print(f"{len(local.nodes)} entry nodes are ready", flush=True)
            return await Demo(local, reactor, seed).run(kinds)
        finally:
            await local.stop()

    def finish(outcome: Any) -> None:
        outcomes.append(outcome)
        reactor.stop()

    def begin() -> None:
        ensureDeferred(run()).addBoth(finish)

    reactor.callWhenRunning(begin)
    reactor.run()
    outcome = outcomes[0]
    if not isinstance(outcome, bool):
        outcome.raiseException()
    return outcome
