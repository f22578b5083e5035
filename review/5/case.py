"""Jobs of many small tasks come at once: over 2,000 tasks run on each worker."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig"))
import rig  # noqa: E402

JOBS = ["5c0e7a21d94b36f8", "1c0e7a21d94b36f8"]
# Together 4,800 or 3,200 tasks on two workers of 16 cores.
TASKS = 2400 if rig.TROUBLE else 1600


def work_ms(task, run):
    return 14000 + int(task.rsplit(".", 1)[1]) % 100 * 40


async def play(record):
    deployment = rig.Deployment(record, agents=2, entries=2, work_ms=work_ms)

    def count(kind):
        return sum(event[0] == kind for event in deployment.history())

    try:
        await deployment.start()
        if not await deployment.wait_until_serving():
            raise rig.CannotRun("the deployment did not come up")
        for number, job in enumerate(JOBS):
            code, _ = await deployment.request("POST", job, {"spec": "s", "steps": [
                {"count": TASKS, "cpu": 5, "mem_mb": 8, "est_runtime_ms": 16000}]},
                entry=f"entry-{1 + number}")
            if code != 200:
                raise rig.CannotRun("a job was not accepted")
        most = 0
        for _ in range(120):
            await asyncio.sleep(0.5)
            most = max([most] + [len(worker.running) for worker in deployment.workers.values()])
            if deployment.twice():
                break
            if count("start") and not any(worker.running for worker in deployment.workers.values()):
                break
        record.note("most tasks at once on one worker:", most, "starts:", count("start"), "tasks:",
                    2 * TASKS)
        broken = deployment.twice()
        if not broken and count("start") < 2 * TASKS:
            raise rig.CannotRun("not all tasks were started")
        return broken
    finally:
        await deployment.close()


rig.main(play)
