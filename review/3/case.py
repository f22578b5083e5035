"""Owners are killed, one after the other, while a cancellation waits in the store."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig"))
import rig  # noqa: E402

JOB = "5c0e7a21d94b36f8"
DOWN_S = 3.0
STEPS = [{"count": 6, "cpu": 1000, "mem_mb": 256, "long_running": True}]


async def play(record):
    deployment = rig.Deployment(record, agents=4, entries=2, work_ms=lambda task, run: 600000)
    killed = []

    def running():
        return [task for worker in deployment.workers.values() for task in worker.running]

    async def restart(name):
        await asyncio.sleep(DOWN_S)
        record.note("start", name)
        await deployment.start_daemon(name)

    def kill(name):
        killed.append(name)
        deployment.kill(name)
        return asyncio.ensure_future(restart(name))

    def after_tx(caller, body):
        """Kills the process that has just written to the store under a condition: the shard's owner."""
        removed = any(r["table"] == "inbox" and r["key"] == JOB + ".cancel" for r in body["remove"])
        if removed and len(killed) < 2:
            record.note(caller, "has removed the cancellation from the inbox; the job is",
                        "ended" if deployment.store.get("ended", JOB, shard) else "not ended")
            kill(caller)
        return False

    try:
        await deployment.start()
        if not await deployment.wait_until_serving():
            raise rig.CannotRun("the deployment did not come up")
        code, _ = await deployment.request("POST", JOB, {"spec": "s", "steps": STEPS})
        if code != 200 or not await deployment.wait(lambda: len(running()) == 6, 10):
            raise rig.CannotRun("the job does not run")
        await asyncio.sleep(1)
        shard = deployment.shard_of(JOB)
        if rig.TROUBLE:
            deployment.store.after_tx = after_tx
            kill(deployment.owners()[shard])
        cancelled = 0
        for _ in range(8):
            code, _ = await deployment.request("DELETE", JOB)
            if code in (200, 410):
                cancelled = time.monotonic()
                break
            await asyncio.sleep(0.3)
        if not cancelled:
            raise rig.CannotRun("no cancellation was acknowledged")
        await asyncio.sleep(20)
        await deployment.request("GET", JOB, entry="entry-2")
        late = cancelled + rig.CANCEL_MS / 1000
        broken = [f"UNASKED: {e[2]} run {e[3]} starts {e[1] - cancelled:.1f} s after the job's cancelling "
                  "was acknowledged" for e in deployment.history() if e[0] == "start" and e[1] > late]
        # The last 10 s and more were calm.
        broken += [f"UNASKED: {task} still runs {time.monotonic() - cancelled:.1f} s after the job's "
                   "cancelling was acknowledged" for task in running()]
        return broken
    finally:
        await deployment.close()


rig.main(play)
