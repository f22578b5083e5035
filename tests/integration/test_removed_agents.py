"""Agents that are removed for good, while their workers stay and execute their last runs."""

import itertools
import signal
import threading
import time

import pytest

JOB_IDS = (f"{number:016x}" for number in itertools.count(0x5300))
# The bounds that the rules name cancel_ms, stop_grace_ms and ack_timeout_ms.
CANCEL_S, STOP_GRACE_S, ACK_TIMEOUT_S = 3.0, 0.4, 4.0
# Resolution of the stand-in worker, and of the test's clock beside its calls.
MEASURING_S = 0.1
TASKS = 14


@pytest.fixture
def deployment(start_queue_deployment):
    """Four workers, nearly filled by a job of TASKS, and one shard."""
    return start_queue_deployment(workers=4, entries=2, shards=1)


def running(deployment):
    return sum(len(worker.running) for worker in deployment.workers.values())


def start_job(deployment):
    """Submits a job with tasks on all workers, and waits until they run; returns its id."""
    job = next(JOB_IDS)
    assert deployment.submit(job, {"ms": 30000}, [{"count": TASKS, "cpu": 1000}]) == 200
    assert deployment.wait_until(lambda: running(deployment) == TASKS)
    assert all(worker.running for worker in deployment.workers.values())
    return job


def cancel(deployment, job):
    """Cancels a job, again after an answer other than 200.

    Returns the time of the acknowledgement, and that since the first call.
    """
    sent_s = time.monotonic()
    while time.monotonic() < sent_s + 12:
        code, _ = deployment.request("DELETE", f"/jobs/{job}", timeout=5)
        if code == 200:
            return time.monotonic(), time.monotonic() - sent_s
        time.sleep(0.1)
    raise AssertionError("no acknowledgement")


def choose_agent(deployment, owns_shard):
    owner = deployment.owner_name()
    return owner if owns_shard else next(name for name in deployment.workers if name != owner)


def assert_gone_in_time(deployment, job, acked_s):
    """Asserts that no run goes on for longer than the acknowledgement of its cancellation allows."""
    assert deployment.wait_until(lambda: not running(deployment))
    ends = [event[1] for event in deployment.history() if event[0] == "end"]
    outlasting_s = max(ends) - acked_s
    assert outlasting_s <= CANCEL_S + STOP_GRACE_S + MEASURING_S, \
        f"a run went on for {outlasting_s:.2f} s after the acknowledgement"
    assert deployment.state(job) == "cancelled"


@pytest.mark.parametrize("owns_shard", [True, False], ids=["owner", "other"])
@pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGTERM], ids=["killed", "stopped"])
def test_no_run_outlasts_the_acknowledgement_of_its_cancellation(deployment, how, owns_shard):
    """The agent of some of the runs is gone when their job is cancelled."""
    job = start_job(deployment)
    deployment.signal_process(choose_agent(deployment, owns_shard), how)
    acked_s, waited_s = cancel(deployment, job)
    assert_gone_in_time(deployment, job, acked_s)
    # Without an owner, the next one begins to watch the lease only once it has taken the shard.
    assert waited_s <= ACK_TIMEOUT_S or owns_shard, f"acknowledged after {waited_s:.2f} s"


def test_no_run_outlasts_the_acknowledgement_by_the_next_owner(deployment):
    """The owner is killed while it waits for the end of a run whose agent is gone."""
    job = start_job(deployment)
    deployment.signal_process(choose_agent(deployment, owns_shard=False))
    killer = threading.Timer(1.0, deployment.signal_process, [deployment.owner_name()])
    killer.start()
    acked_s, _ = cancel(deployment, job)
    killer.join()
    assert_gone_in_time(deployment, job, acked_s)


def test_cancellation_is_acknowledged_at_once_when_its_runs_are_stopped(deployment):
    """All agents answer: nothing is left to wait for."""
    job = start_job(deployment)
    acked_s, waited_s = cancel(deployment, job)
    assert_gone_in_time(deployment, job, acked_s)
    assert waited_s <= 0.5, f"acknowledged after {waited_s:.2f} s"
