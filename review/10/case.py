"""A large job that waits for room keeps small jobs from idle workers."""

import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standin-2"))

from deployment import LOW_PREFIX, TROUBLE, CaseError, run_case  # noqa: E402

NODES, WORKERS = 3, 8
LONG_JOB, LARGE_JOB = "00000000000000d0", "00000000000000d1"
LONG_MS = 600_000
LARGE_MS = 30_000
SMALL_MS = 1000
CALM_S = 7.0  # contactMs and the 4 s of the rule
FINISH_S = 14.0
IDLE_S = 3.0


def play(deployment):
    deployment.start_all()
    deployment.wait_for(
        lambda: (
            all(map(deployment.is_ready, range(NODES)))
            and len(deployment.admin("/state")["servers"]) == WORKERS
        ),
        10.0,
        "the deployment",
    )
    # One of the eight accelerators of each worker is in use from now on.
    if not deployment.submit(0, LONG_JOB, WORKERS, LONG_MS, cpu=15_000, maxPerServer=1):
        raise CaseError("the long job is not accepted")
    time.sleep(2.0)
    if TROUBLE and not deployment.submit(
        1, LARGE_JOB, WORKERS, LARGE_MS, cpu=52_000, gpu=8
    ):
        raise CaseError("the large job is not accepted")
    time.sleep(CALM_S)
    small_jobs = [f"00000000000000e{number}" for number in range(4)]
    for number, job_id in enumerate(small_jobs):
        if not deployment.submit(
            number % NODES, job_id, 2, SMALL_MS, prefix=LOW_PREFIX
        ):
            raise CaseError("a small job is not accepted")
    time.sleep(FINISH_S + IDLE_S)
    started = {
        event["task"][:16]
        for event in deployment.worker_events()
        if event["event"] == "start"
    }
    idle = [job_id for job_id in small_jobs if job_id not in started]
    deployment.note(f"small jobs without a start: {idle}")
    if idle:
        return (
            f"LOST: {len(idle)} accepted jobs have nothing running for over "
            f"{FINISH_S + IDLE_S:g} s while each worker has 113 of 128 cores and "
            "7 of 8 accelerators idle"
        )
    return ""


run_case(CASE, NODES, WORKERS, play)
