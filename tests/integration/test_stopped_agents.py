"""Agents that stop, or are followed by another process, while calls to their workers have no answer."""

import itertools
import signal
import time

import pytest

import standins

JOB_IDS = (f"{number:016x}" for number in itertools.count(0x5400))
# A lease that ends on a clock that starts high is far away on one that starts low.
FORMER_CLOCK_MS, PRESENT_CLOCK_MS = (8000000, 8000001), (1000000, 1000001)


@pytest.mark.parametrize("how, followed", [(signal.SIGTERM, False), (signal.SIGTERM, True),
                                           (signal.SIGKILL, True)],
                         ids=["stopped", "stopped-and-followed", "killed-and-followed"])
def test_an_end_that_a_late_start_may_follow_is_not_acknowledged(start_queue_deployment, monkeypatch,
                                                                 how, followed):
    """The first attempt of a start is carried out by the next incarnation, soon after the stop."""
    monkeypatch.setattr(standins, "CLOCK_START_MS", FORMER_CLOCK_MS)
    deployment = start_queue_deployment(workers=2, shards=1)
    name = next(name for name in deployment.workers if name != deployment.owner_name())
    worker = deployment.workers[name]
    for other in deployment.workers.values():
        other.draining = other is not worker
        other.beat()
    time.sleep(0.8)
    worker.is_late = lambda path, body: path == "/run-start" and not worker.late
    assert deployment.submit(next(JOB_IDS), {"ms": 300}) == 200
    assert deployment.wait_until(lambda: worker.finished, 5)
    # The owner has stored the end, and its agent knows that.
    time.sleep(0.3)
    assert worker.finished, "acknowledged before the stop"
    deployment.signal_process(name, how)
    if followed:
        deployment.start(name)
        deployment.wait_until(lambda: not worker.finished, 1)
    worker.clock_start_range_ms = PRESENT_CLOCK_MS
    worker.on_start = worker.perform_late
    worker.crash()
    assert deployment.wait_until(lambda: worker.running, 3), "the late start is not carried out"
    assert deployment.violations() == []
