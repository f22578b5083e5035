"""Starts that are carried out late, by the second incarnation after the one that they were meant for."""

import itertools
import time

import pytest

JOB_IDS = (f"{number:016x}" for number in itertools.count(0x43d0))
# A lease that ends on a clock that starts high is far away on one that starts low.
FORMER_CLOCK_MS, PRESENT_CLOCK_MS = (8000000, 8000001), (1000000, 1000001)


def restart(deployment, worker):
    """Restarts a worker under its id and waits until its agent polls it under a new token."""
    worker.crash()
    assert deployment.wait_until(lambda: not worker.down_until and worker.fencing_token, 5)


@pytest.mark.parametrize("answered", [True, False], ids=["repeated", "unanswered"])
def test_a_start_that_the_second_next_incarnation_carries_out_runs_alone(start_queue_deployment,
                                                                        answered):
    """The first start of a run has no answer, and the worker restarts. Its next incarnation answers a
    poll, so that the run counts as ended and the next one starts on another worker. The worker
    restarts again, knows no token, and carries out the start."""
    deployment = start_queue_deployment(workers=2, shards=1)
    worker, other = deployment.workers["agent-1"], deployment.workers["agent-2"]
    worker.clock_start_range_ms = FORMER_CLOCK_MS
    restart(deployment, worker)
    worker.clock_start_range_ms = PRESENT_CLOCK_MS
    other.draining = True
    time.sleep(1.5)

    worker.is_late = lambda path, body: path == "/run-start" and not (answered and worker.late)
    assert deployment.submit(next(JOB_IDS), {"ms": 8000}) == 200
    assert deployment.wait_until(lambda: worker.late and (worker.running or not answered), 5)
    worker.is_late = lambda path, body: False
    worker.draining, other.draining = True, False
    restart(deployment, worker)
    assert deployment.wait_until(lambda: other.running, 8), "the next run is not started"
    worker.on_start = worker.perform_late
    restart(deployment, worker)
    time.sleep(0.5)
    assert deployment.violations() == []
