"""A large task beside small ones that take each gap, on real queue daemons."""

import itertools
import time

JOB_IDS = (f"{number:016x}" for number in itertools.count(1))

# Once a long-running task has waited for 4 s its owner asks for a reservation, on a worker whose
# room is expected to be free within the look-ahead of 2 s. The occupying tasks end 1.3 s later.
OCCUPIED_MS = 6000


def occupy_workers(deployment):
    """Starts a task on each worker, which leaves no room for the large one until it ends.

    Two of them do not fit into the memory of a worker. They report no progress, so that their ends
    are foreseen by the expected run time.
    """
    job = next(JOB_IDS)
    steps = [{"count": len(deployment.workers), "cpu": 1000, "mem_mb": 3000, "image": "occupying",
              "est_runtime_ms": OCCUPIED_MS}]
    assert deployment.submit(job, {"ms": OCCUPIED_MS, "progress": 0}, steps) == 200
    assert deployment.wait_until(lambda: all(
        [task.startswith(job) for task in worker.running] == [True]
        for worker in deployment.workers.values()))


def submit_small_jobs(deployment, n_jobs=75):
    """Submits tasks of one core for about 20 s on two workers of four cores; their ends differ."""
    for number in range(n_jobs):
        run_time_ms = 200 + 37 * number % 450
        steps = [{"count": 5, "cpu": 1000, "image": "small", "est_runtime_ms": run_time_ms}]
        assert deployment.submit(next(JOB_IDS), {"ms": run_time_ms}, steps) == 200


def wait_for_large_task(deployment, limit_s):
    """Submits a task of 3.5 cores; returns how long it waits for its start, at most limit_s."""
    job = next(JOB_IDS)
    began_s = time.monotonic()
    steps = [{"count": 1, "cpu": 3500, "image": "large", "long_running": True}]
    assert deployment.submit(job, {"ms": 60000}, steps) == 200
    deployment.wait_until(lambda: any(event[0] == "start" and job in event[2]
                                      for event in deployment.history()), limit_s)
    return time.monotonic() - began_s


def test_large_task_starts_beside_small_ones(start_queue_deployment):
    """Without the messages between owners and agents the task waits until the small ones end."""
    deployment = start_queue_deployment(agent_settings=["schedule: {lookahead: 2s}"])
    occupy_workers(deployment)
    submit_small_jobs(deployment)
    assert deployment.wait_until(lambda: all(len(worker.running) == 4
                                             for worker in deployment.workers.values()))
    waited_s = wait_for_large_task(deployment, 15)
    ended = "".join(line for name in deployment.workers
                    for line in deployment.log(name).splitlines(keepends=True)
                    if "event=reservation_" in line)
    assert waited_s < 8, ended
    assert "reason=used" in ended, ended
    assert deployment.violations() == []
