"""A queue moves to another service, and the workers of the first one leave."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

import rig as rigs  # noqa: E402

OLD, NEW = "scoring-old", "scoring"
OLD_WORKERS = ("w00", "w01")
WORKERS = [f"w{index:02}" for index in range(28)]
TIMED, LASTING = "00000000000000f1", "00000000000000f2"
TASK_MS = 2000
REPEATS, INTERVAL_S = 6, 4.0
DRAIN_S = 2.0
CHANGE_AFTER_S = 6.0
LEAVE_AFTER_S = 4.0  # twice configApplyMs
FINISH_S = 14.0
STUCK_S = 3.0
STEP = {"count": 1, "cpu": 11000, "memMb": 29000, "gpu": 1}


def case(folder):
    document = rigs.configuration(1, (OLD, NEW), service=OLD)
    return rigs.Rig(folder, document=document), run


def run(rig, trouble):
    rig.start_all(
        {name: {"service": OLD if name in OLD_WORKERS else NEW} for name in WORKERS}
    )
    time.sleep(1)
    timed_body = {
        "spec": f'{{"ms": {TASK_MS}}}',
        "steps": [{**STEP, "estimatedMs": TASK_MS}],
        "repeats": REPEATS,
        "startAtMs": int(1000 * (time.time() + 2)),
        "intervalMs": int(1000 * INTERVAL_S),
    }
    lasting_body = {"spec": "{}", "steps": [{**STEP, "longRunning": True}]}
    began_at = time.monotonic()
    rig.submit(TIMED, timed_body)
    rig.submit(LASTING, lasting_body)
    if not rig.wait_for(lambda: rig.starts(TIMED) and rig.starts(LASTING), 8):
        raise rigs.CannotRun("the jobs did not start")
    time.sleep(max(began_at + CHANGE_AFTER_S - time.monotonic(), 0))
    if trouble:
        rig.put("op/config", rigs.configuration(2, (OLD, NEW), service=NEW))
        time.sleep(LEAVE_AFTER_S)
        for name in OLD_WORKERS:
            rig.drain_worker(name, int(1000 * DRAIN_S))
        time.sleep(DRAIN_S + 1)
        for name in OLD_WORKERS:
            rig.remove_worker(name)
    last_due_at = began_at + 2 + (REPEATS - 1) * INTERVAL_S
    time.sleep(max(last_due_at + FINISH_S + STUCK_S + 1 - time.monotonic(), 0))
    now = time.monotonic()
    states = {job: rig.state(job) for job in (TIMED, LASTING)}
    rows = rig.worker_rows()
    ended = {(r["task"], r["run"]): r["at"] for r in rows if r["event"] == "end"}
    stuck = []
    for job, state in states.items():
        at_work = any(
            ended.get((row["task"], row["run"]), now) > now - STUCK_S
            for row in rows
            if row["event"] == "start"
            and row["task"].startswith(job)
            and not (trouble and row["worker"] in OLD_WORKERS)
        )
        if state not in ("done", "cancelled") and not at_work:
            stuck.append(job)
    occurrences = {row["task"] for row in rig.starts(TIMED)}
    rig.note("check", states=states, stuck=stuck, occurrences=len(occurrences))
    if stuck:
        return (
            f"{len(stuck)} of 2 accepted jobs have had nothing running for "
            f"{STUCK_S:.0f} s, {FINISH_S:.0f} s after the last due time, with all "
            f"{len(WORKERS) - len(OLD_WORKERS)} workers of the queue's service idle "
            f"(states {sorted(states.values())}, {len(occurrences)} of {REPEATS} "
            "occurrences have run)"
        )
    return ""


rigs.main(case, FOLDER)
