"""One caller hands in a schedule that began 50 minutes ago; the other callers' jobs are asked for."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig"))
import rig  # noqa: E402

FINISH_S = 14
JOBS = 40
OCCURRENCES = 3000
STEPS = [{"count": 2, "cpu": 500, "mem_mb": 256, "est_runtime_ms": 500}]


async def play(record):
    deployment = rig.Deployment(record, agents=4, entries=2, work_ms=lambda task, run: 500)
    ids = random.Random(31)
    accepted = []

    try:
        await deployment.start()
        if not await deployment.wait_until_serving():
            raise rig.CannotRun("the deployment did not come up")
        for number in range(JOBS):
            job = f"{ids.getrandbits(64):016x}"
            body = {"spec": "s", "steps": STEPS}
            if rig.TROUBLE and number == 5:
                body = {"spec": "every second", "run_count": OCCURRENCES, "interval_ms": 1000,
                        "start_at_ms": int(time.time() * 1000) - OCCURRENCES * 1000,
                        "steps": [{"count": 1, "cpu": 50, "mem_mb": 16, "est_runtime_ms": 500}]}
                record.note("this is the schedule that began", OCCURRENCES, "s ago:")
                await deployment.request("POST", job, body)
                continue
            code, _ = await deployment.request("POST", job, body, entry=f"entry-{1 + number % 2}")
            if code == 200:
                accepted.append(job)
            await asyncio.sleep(0.4)
        record.note("end of the traffic;", len(accepted), "jobs with two tasks are accepted")
        left = list(accepted)
        until = time.monotonic() + FINISH_S + 16
        while left and time.monotonic() < until:
            for job in list(left):
                _, answer = await deployment.request("GET", job, entry="entry-2")
                if answer.get("state") == "completed":
                    left.remove(job)
            await asyncio.sleep(2)
        last = {}
        for kind, at, task, _, _ in deployment.history():
            last[task[:16]] = at
        calm = time.monotonic() - 3
        broken = [f"LOST: {job} was accepted and is not completed {FINISH_S + 16} s after the end of the "
                  "traffic; nothing of it has run for 3 s" for job in left if last.get(job, 0) < calm]
        record.note("rows refused by the store:", deployment.store.refused_sizes, "accepted jobs that are "
                    "not completed:", len(left), "of them never started:", sum(j not in last for j in left))
        return broken
    finally:
        await deployment.close()


rig.main(play)
