"""Runs that are counted as lost, and end as done under a lease that outlasts what is known of it."""

import itertools
import time

import pytest

JOB_IDS = (f"{number:016x}" for number in itertools.count(0x5600))
# A lease that ends on a clock that starts high is far away on one that starts low.
FORMER_CLOCK_MS, PRESENT_CLOCK_MS = (8000000, 8000001), (1000000, 1000001)


def set_draining(deployment, worker, draining):
    """Has all workers but one drain, so that tasks start on that one, or has them stop that."""
    for other in deployment.workers.values():
        if other is not worker:
            other.draining = draining
            other.beat()
    # Longer than the interval at which agents report to owners.
    time.sleep(0.7)


def restart(deployment, worker, clock_start_range_ms):
    """Restarts a worker under its id."""
    former = worker.incarnation
    worker.clock_start_range_ms = clock_start_range_ms
    worker.crash()
    assert deployment.wait_until(lambda: worker.incarnation != former, 5)


def ends_as_done(worker, job):
    return [event for event in worker.history
            if event[0] == "end" and event[2].startswith(job) and event[4] == "done"]


def starts_elsewhere(deployment, worker, job):
    return [event for other in deployment.workers.values() if other is not worker
            for event in other.history if event[0] == "start" and event[2].startswith(job)]


def test_end_on_an_incarnation_that_was_not_heard_is_not_noted(start_queue_deployment):
    """The worker restarts behind a cut and carries out a start that was meant for the former
    incarnation. Its run counts as lost and the task starts elsewhere; then the cut ends."""
    deployment = start_queue_deployment(workers=2, shards=1)
    worker = deployment.workers["agent-1"]
    restart(deployment, worker, FORMER_CLOCK_MS)
    time.sleep(1.5)
    set_draining(deployment, worker, True)
    worker.is_late = lambda path, body: path == "/run-start"
    job = next(JOB_IDS)
    assert deployment.submit(job, {"ms": 3000}) == 200
    assert deployment.wait_until(lambda: worker.late, 3)
    worker.mode = "dark"
    worker.is_late = lambda path, body: False
    worker.draining = True
    set_draining(deployment, worker, False)
    restart(deployment, worker, PRESENT_CLOCK_MS)
    time.sleep(0.5)
    worker.perform_late()
    assert worker.running, "the late start is not carried out"
    assert deployment.wait_until(lambda: starts_elsewhere(deployment, worker, job), 12)
    assert ends_as_done(worker, job)
    assert worker.lease_expires_ms - worker.clock_ms() > 500, "the lease has lapsed"
    worker.mode = ""
    assert deployment.wait_until(lambda: deployment.state(job) == "completed", 10)
    assert deployment.wait_until(lambda: not worker.finished, 15), "the end is not acknowledged"
    assert deployment.violations() == []


@pytest.mark.parametrize("killed", ["", "before-the-fence", "after-the-fence"],
                         ids=lambda moment: moment or "cut-off")
def test_end_under_a_lease_that_owners_have_fenced_is_not_noted(start_queue_deployment, killed):
    """The agent is cut off, and its worker restarts behind the cut and carries out the first attempt
    of a start, whose repetition the former incarnation has answered. It may hold the lease in that
    start for longer than the lease's row states. In two cases the agent's next process comes back."""
    deployment = start_queue_deployment(workers=3, shards=1)
    name = next(name for name in deployment.workers if name != deployment.owner_name())
    worker = deployment.workers[name]
    restart(deployment, worker, FORMER_CLOCK_MS)
    time.sleep(1.5)
    set_draining(deployment, worker, True)
    worker.is_late = lambda path, body: path == "/run-start" and not worker.late
    job = next(JOB_IDS)
    assert deployment.submit(job, {"ms": 3000}) == 200
    assert deployment.wait_until(lambda: worker.running, 3)
    # The agent has the answer.
    time.sleep(0.1)
    undo = deployment.cut_off(name)
    worker.is_late = lambda path, body: False
    worker.on_start = worker.perform_late
    restart(deployment, worker, PRESENT_CLOCK_MS)
    worker.on_start = lambda: None
    assert worker.running, "the late start is not carried out"
    set_draining(deployment, worker, False)
    if killed == "before-the-fence":
        assert deployment.wait_until(lambda: ends_as_done(worker, job), 5)
        deployment.signal_process(name)
    assert deployment.wait_until(lambda: starts_elsewhere(deployment, worker, job), 12)
    assert ends_as_done(worker, job)
    assert worker.lease_expires_ms - worker.clock_ms() > 500, "the lease has lapsed"
    if killed == "after-the-fence":
        deployment.signal_process(name)
    undo()
    if killed:
        deployment.start(name)
    assert deployment.wait_until(lambda: deployment.state(job) == "completed", 10)
    assert deployment.wait_until(lambda: not worker.finished, 15), "the end is not acknowledged"
    assert deployment.violations() == []
