"""A task that has failed once, beside a worker that lasting tasks fill."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

import rig as rigs  # noqa: E402

LASTING, JOB = "00000000000000a7", "00000000000000b7"
WORKERS = [f"w{index:02}" for index in range(24)]
KIND_B = ("w00", "w01")
FINISH_S = 14.0
STUCK_S = 3.0
RUN_MS = 2000
LASTING_BODY = {
    "spec": "{}",
    "steps": [
        {
            "count": 8,
            "cpu": 11000,
            "memMb": 29000,
            "gpu": 1,
            "longRunning": True,
            "requirements": "b",
        }
    ],
}
BODY = {
    "spec": f'{{"ms": {RUN_MS}}}',
    "steps": [
        {
            "count": 1,
            "cpu": 15000,
            "memMb": 31000,
            "gpu": 2,
            "estimatedMs": RUN_MS,
            "requirements": "b",
        }
    ],
}


def case(folder):
    return rigs.Rig(folder), run


def run(rig, trouble):
    # In the time of the trouble one of the 24 workers fails what it starts.
    tasks = [f"{JOB}.0.0.0"] if trouble else []
    rig.start_all(
        {
            name: {
                "labels": ["b" if name in KIND_B else "a", "r1"],
                "fail_first": tasks if name in KIND_B else [],
            }
            for name in WORKERS
        }
    )
    time.sleep(1)
    rig.submit(LASTING, LASTING_BODY)
    if not rig.wait_for(lambda: len(rig.starts(LASTING)) >= 8, 8):
        raise rigs.CannotRun("the lasting tasks did not start")
    full = {row["worker"] for row in rig.starts(LASTING)}
    if len(full) != 1:
        raise rigs.CannotRun("the lasting tasks are on several workers")
    time.sleep(2)
    rig.submit(JOB, BODY)
    time.sleep(FINISH_S + STUCK_S + 3)
    now = time.monotonic()
    state = rig.state(JOB)
    rows = rig.worker_rows()
    ends = [r for r in rows if r["event"] == "end" and r["task"].startswith(JOB)]
    starts = rig.starts(JOB)
    idle = set(KIND_B) - full
    rig.note("check", state=state, starts=len(starts), ends=ends, idle=sorted(idle))
    if (
        state not in ("done", "failed")
        and len(starts) == len(ends)
        and all(end["at"] < now - STUCK_S for end in ends)
    ):
        return (
            f"the job is shown as {state!r} and has had nothing running for "
            f"{now - max(end['at'] for end in ends):.0f} s, after {len(ends)} of 4 "
            f"attempts, while worker {sorted(idle)} with the label that it requires "
            "is idle"
        )
    return ""


rigs.main(case, FOLDER)
