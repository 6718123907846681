"""Jobs that have not begun are left out of the queue's `pending`."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin_3 import world as deployment  # noqa: E402

WORKERS = 24
CUT = 4  # share 0.17 of the workers
CUT_S = 5.5  # for_s
STALE_S = 2.0  # "This value may be 2 s old"


async def scenario(trouble):
    world = deployment.World(FOLDER, "huonwrap-sched")
    try:
        for index in range(WORKERS):
            world.add_worker(f"w{index:02d}", rack=f"r{index // 8}")
        await world.open()
        await asyncio.sleep(2.0)
        cut = [world.workers[f"w{index:02d}"] for index in range(CUT)]
        if trouble:
            for worker in cut:
                worker.server.set_cut(True)
            world.log("cut begins", workers=",".join(w.worker_id for w in cut))
        cut_ends_at = world.now + CUT_S
        step = {"count": 1, "cpu": 15000, "memMb": 31000, "gpu": 8, "estimatedMs": 2000}
        accepted_at = {}
        for _ in range(CUT):
            job = await world.submit("normal", [step], 2.0)
            accepted_at[job] = world.now
        old_s = world.bounds["visible_ms"] / 1000 + STALE_S
        await asyncio.sleep(max(accepted_at.values()) + old_s - world.now + 0.01)
        broken = checked = 0
        while world.now < cut_ends_at - 0.1:
            for node in range(3):
                asked_at = world.now
                _, answer = await world.request("GET", "/normal/", node=node)
                waiting = [
                    job
                    for job, at in accepted_at.items()
                    if asked_at - at > old_s and not world.runs_of(job)
                ]
                if "pending" in answer:
                    checked += 1
                    broken += 2 * answer["pending"] < len(waiting)
                    world.log(
                        "check",
                        node=node,
                        not_begun=len(waiting),
                        pending=answer["pending"],
                    )
            await asyncio.sleep(0.05)
        for worker in cut:
            worker.server.set_cut(False)
        world.log("cut ends", checks=checked, wrong=broken)
        if not checked:
            raise RuntimeError("the queue was not asked in time")
        return not broken
    finally:
        await world.close()


sys.exit(deployment.main(FOLDER, scenario))
