"""A worker has over 500 ends that wait for the next owner to take note of them."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig"))
import rig  # noqa: E402

JOB = "5c0e7a21d94b36f8"
TASKS = 1500
OUTAGE_S = 5.0


def work_ms(task, run):
    return 7000 + int(task.rsplit(".", 1)[1]) % 100 * 20


async def play(record):
    deployment = rig.Deployment(record, agents=2, entries=1, work_ms=work_ms)
    try:
        await deployment.start()
        if not await deployment.wait_until_serving():
            raise rig.CannotRun("the deployment did not come up")
        code, _ = await deployment.request("POST", JOB, {"spec": "s", "steps": [
            {"count": TASKS, "cpu": 20, "mem_mb": 32, "est_runtime_ms": 8000}]})
        if code != 200:
            raise rig.CannotRun("the job was not accepted")
        starts = lambda: sum(e[0] == "start" for e in deployment.history())  # noqa: E731
        ends = lambda: sum(e[0] == "end" for e in deployment.history())  # noqa: E731
        if not await deployment.wait(lambda: starts() >= TASKS, 30):
            raise rig.CannotRun(f"{starts()} of {TASKS} tasks were started")
        await deployment.wait(lambda: ends() > 0, 20, every=0.01)
        owner = deployment.owners()[deployment.shard_of(JOB)]
        if rig.TROUBLE:
            record.note("the store turns", owner, "away (503) for", OUTAGE_S, "s")
            deployment.store.modes[owner] = "busy"
            for _ in range(int(OUTAGE_S * 2)):
                await asyncio.sleep(0.5)
                for name, worker in deployment.workers.items():
                    record.note(name, "lists", len(worker.finished), "ends, not yet taken note of")
            deployment.store.modes.clear()
            record.note("the store serves", owner, "again")
        done = False
        for _ in range(45):
            await asyncio.sleep(1)
            _, answer = await deployment.request("GET", JOB)
            done = done or answer.get("state") == "completed"
            if done and not any(w.running for w in deployment.workers.values()):
                break
        await asyncio.sleep(1)
        record.note("starts", starts(), "tasks", TASKS, "completed", done)
        return deployment.twice()
    finally:
        await deployment.close()


rig.main(play)
