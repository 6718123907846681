"""Demonstration: runs a mix of jobs on an example deployment.

It prints the progress, and at the end a summary by job class and organisation.
"""

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

FIRST_PORT = 18_080  # HTTP port of the first entry node
SUBMISSION_PERIOD_S = 12.0  # the submissions are spread over this time
LONG_POLL_S = 20.0  # wait of one request for the end of a job
PROGRESS_INTERVAL_S = 2.0
CALLERS = 5
STOP_BOUND_S = 1.0
# The declared run time of a job is its real run time times a random factor in
# this range.
MIN_DECLARED_RUN_FACTOR = 0.3
MAX_DECLARED_RUN_FACTOR = 3.0
FINAL_STATES = frozenset(str(state) for state in FINAL_JOB_STATES)


class DemoKind(NamedTuple):
    """A group of similar jobs of one organisation.

    Attributes:
        job_class: Class of the jobs.
        organisation: Organisation that submits them.
        jobs: Number of jobs.
        tasks: Numbers of tasks, one of which is chosen for each job.
        run_s: Shortest and longest run time in seconds of real time.
        idempotent: Whether a job may be run again after an interruption.
        preemptible: Whether a job may be stopped for another one.
    """

    job_class: str
    organisation: str
    jobs: int
    tasks: tuple[int, ...]
    run_s: tuple[float, float]
    idempotent: bool
    preemptible: bool


class DemoJob(NamedTuple):
    """A job in its final state, as its caller saw it.

    Attributes:
        kind: The kind that the job was created from.
        state: Its final state.
        completion_s: Seconds from submission until the caller saw the end.
        target_missed: Whether it missed the target of its class.
        results: Number of task results in the last reply.
        tasks: Number of its tasks.
    """

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
    """Submits jobs over HTTP to all entry nodes in turn and awaits their end.

    Args:
        local: A started deployment.
        reactor: The Twisted reactor.
        seed: Seed of the order, the sizes and the run times of the jobs.
    """

    def __init__(self, local: LocalDeployment, reactor: Any, seed: int) -> None:
        self._local = local
        self._reactor = reactor
        self._rng = random.Random(seed)
        self._jobs: list[DemoJob] = []
        self._job_counts: Counter[str] = Counter()
        self._peak_in_use_by_organisation: Counter[str] = Counter()
        self._guaranteed_by_organisation: Counter[str] = Counter()
        # Shares of the free accelerators outside the largest possible gang.
        self._fragmentation_shares: list[float] = []
        self._organisations_with_shortage: set[str] = set()

    async def run(self, kinds: tuple[DemoKind, ...]) -> bool:
        """Run the jobs of all kinds and print a summary.

        Returns:
            Whether every job reached a final state and every job that
            succeeded has the results of all of its tasks.

        Raises:
            FirstError: A request of a job failed; it holds the failure.
        """
        submissions = [kind for kind in kinds for _ in range(kind.jobs)]
        self._rng.shuffle(submissions)
        progress_loop = LoopingCall(self._print_progress)
        progress_loop.clock = self._reactor
        progress_loop.start(PROGRESS_INTERVAL_S, now=False)
        pending = [
            ensureDeferred(self._run_job(kind, index, index / len(submissions)))
            for index, kind in enumerate(submissions)
        ]
        await DeferredList(pending, fireOnOneErrback=True, consumeErrors=True)
        if progress_loop.running:
            progress_loop.stop()
        await self._print_progress()
        self._print_summary(kinds)
        results_complete = all(
            job.results == job.tasks for job in self._succeeded_jobs()
        )
        all_ended = all(job.state in FINAL_STATES for job in self._jobs)
        return results_complete and all_ended and len(self._jobs) == len(submissions)

    async def _run_job(self, kind: DemoKind, index: int, period_share: float) -> None:
        """Submit one job and wait for its end.

        Args:
            kind: Kind of the job.
            index: Position of the job among all submissions.
            period_share: Time of submission, as a share of the submission
                period.
        """
        urls = self._local.urls
        # Each job starts at another node; the others are its fallbacks.
        first_node = index % len(urls)
        client = Client(urls[first_node:] + urls[:first_node], self._reactor)
        body = self._job_body(kind, index)
        await deferLater(self._reactor, period_share * SUBMISSION_PERIOD_S)
        submitted_at = self._reactor.seconds()
        self._job_counts["submitted"] += 1
        view = (await client.submit(body, f"demo-{index}")).body
        while view["state"] not in FINAL_STATES:
            view = (await client.job(view["job_id"], LONG_POLL_S)).body
        self._job_counts["ended"] += 1
        self._jobs.append(
            DemoJob(
                kind,
                view["state"],
                self._reactor.seconds() - submitted_at,
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
            "caller": f"shop-{index % CALLERS}",
            "tasks": self._rng.choice(kind.tasks),
            "accelerators_per_task": 1,
            "idempotent": kind.idempotent,
            "preemptible": kind.preemptible,
            "declared_run_s": run_s
            * self._rng.uniform(MIN_DECLARED_RUN_FACTOR, MAX_DECLARED_RUN_FACTOR),
            "stop_bound_s": STOP_BOUND_S,
            "payload": json.dumps({"run_s": run_s}),
        }

    async def _print_progress(self) -> None:
        client = Client(self._local.urls, self._reactor)
        try:
            domains = (await client.status()).body["failure_domains"]
        except RedwingrudderError:
            return
        free = sum(domain["free_accelerators"] for domain in domains)
        total = sum(domain["accelerators"] for domain in domains)
        self._record_status(domains)
        print(
            f"submitted {self._job_counts['submitted']:4d}  "
            f"ended {self._job_counts['ended']:4d}  "
            f"accelerators in use {total - free:4d} of {total}",
            flush=True,
        )

    def _record_status(self, domains: list[dict[str, Any]]) -> None:
        in_use: Counter[str] = Counter()
        guaranteed: Counter[str] = Counter()
        for domain in domains:
            if domain["free_accelerators"]:
                share = domain["largest_gang"] / domain["free_accelerators"]
                self._fragmentation_shares.append(1.0 - share)
            for shortage in domain["shortages"]:
                self._organisations_with_shortage.add(shortage["organisation"])
            for row in domain["organisations"]:
                in_use[row["organisation"]] += row["in_use"]
                guaranteed[row["organisation"]] += row["guaranteed"]
        # The union of two counters keeps the higher count of each key.
        self._guaranteed_by_organisation |= guaranteed
        self._peak_in_use_by_organisation |= in_use

    def _succeeded_jobs(self) -> list[DemoJob]:
        return [job for job in self._jobs if job.state == JobState.SUCCEEDED]

    def _print_summary(self, kinds: tuple[DemoKind, ...]) -> None:
        print("\nJobs by class (seconds of real time)")
        class_names = sorted({kind.job_class for kind in kinds})
        print_table([self._class_row(name) for name in class_names])
        print("\nOrganisations")
        print_table(
            [
                {
                    "organisation": name,
                    "guaranteed accelerators": guaranteed,
                    "guarantee held": name not in self._organisations_with_shortage,
                    "most in use": self._peak_in_use_by_organisation[name],
                }
                for name, guaranteed in sorted(self._guaranteed_by_organisation.items())
            ]
        )
        shares = self._fragmentation_shares or [0.0]
        mean_percent = 100.0 * sum(shares) / len(shares)
        print(
            f"\nFree accelerators outside the largest gang: "
            f"{mean_percent:.1f} % on average"
        )

    def _class_row(self, name: str) -> dict[str, Any]:
        jobs = [job for job in self._jobs if job.kind.job_class == name]
        succeeded_jobs = [job for job in jobs if job.state == JobState.SUCCEEDED]
        completion_times_s = [job.completion_s for job in succeeded_jobs]
        return {
            "class": name,
            "submitted": len(jobs),
            "done": len(succeeded_jobs),
            "target met": sum(not job.target_missed for job in succeeded_jobs),
            "p50 s": percentile(completion_times_s, 0.5),
            "p95 s": percentile(completion_times_s, 0.95),
        }


def run_demo(example: str, seed: int, reactor: Any) -> bool:
    """Run the demo in this process until all of its jobs have ended.

    Args:
        example: Folder with ``deployment.jsonc`` and ``configuration.jsonc``.
        seed: Seed of the job mix.
        reactor: The Twisted reactor, not yet running.

    Returns:
        Whether every job reached a final state and every job that succeeded
        has all of its results.

    Raises:
        SettingsError: A file cannot be read, or the deployment file is
            invalid.
        RedwingrudderError: The configuration is invalid, or the deployment
            did not become ready.
        FirstError: A request of a job failed; it holds the failure.
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

    def stop_reactor(outcome: Any) -> None:
        outcomes.append(outcome)
        reactor.stop()

    def start_demo() -> None:
        ensureDeferred(run()).addBoth(stop_reactor)

    reactor.callWhenRunning(start_demo)
    reactor.run()
    # A failure of the demo is passed on as a Failure object.
    outcome = outcomes[0]
    if not isinstance(outcome, bool):
        outcome.raiseException()
    return outcome
