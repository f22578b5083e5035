"""A large task beside small ones that take each gap, on real queue daemons."""

import itertools
import time

JOB_IDS = (f"{number:016x}" for number in itertools.count(1))


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
