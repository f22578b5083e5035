"""Heartbeats that another writer sends to an agent, well-formed but of no worker of its instance."""

import itertools
import threading
import time

import pytest
from hub import wait_for_state
from standins import call

JOB_IDS = (f"{number:016x}" for number in itertools.count(0x5380))
LATE_NUMBER = 1 << 40


def send_foreign_heartbeat(deployment, agent, **changes):
    """Sends an agent the heartbeat of a worker that does not exist; returns the code."""
    worker = deployment.workers[agent]
    body = {"service": "pool", "born": worker.incarnation, "seq": LATE_NUMBER, "state": "ready",
            "address": "x", "zone": worker.zone, "labels": [], "cold_remaining_ms": 0,
            "room": {"cpu": 4000, "mem_mb": 4096, "gpu": 0}, "server_time_ms": worker.clock_ms()}
    url = f"http://{worker.heartbeat_address}/instances/i-foreign"
    return call("PUT", url, {**body, **changes})[0]


def birth(deployment, kind):
    """Incarnation of a foreign heartbeat: that of the worker, or a later one."""
    return deployment.workers["agent-1"].incarnation + (60000 if kind == "later" else 0)


@pytest.mark.parametrize("kind", ["same", "later"])
def test_worker_is_not_lost_to_a_heartbeat_of_another_writer(start_queue_deployment, kind):
    """All calls would name the other writer's worker, and be refused."""
    deployment = start_queue_deployment(workers=1, shards=1)
    worker = deployment.workers["agent-1"]
    job, later = next(JOB_IDS), next(JOB_IDS)
    assert deployment.submit(job, {"ms": 60000}, [{"count": 2, "cpu": 1000}]) == 200
    assert deployment.wait_until(lambda: len(worker.running) == 2)
    send_foreign_heartbeat(deployment, "agent-1", born=birth(deployment, kind))
    time.sleep(1)
    assert deployment.request("DELETE", f"/jobs/{job}")[0] == 200
    assert deployment.wait_until(lambda: not worker.running, 3.5), "runs are not stopped"
    assert {event[4] for event in deployment.history() if event[0] == "end"} == {"stopped"}
    assert deployment.submit(later, {"ms": 100}) == 200
    wait_for_state(deployment, later)


@pytest.mark.parametrize("kind", ["same", "later"])
def test_task_runs_once_when_another_writer_sends_a_heartbeat_during_its_start(
        start_queue_deployment, kind):
    """The worker has carried the start out and its answer is lost, as the heartbeat comes."""
    deployment = start_queue_deployment(workers=2, shards=1)
    first = deployment.workers["agent-1"]
    # Only the first worker has room for the task, until it has begun.
    deployment.workers["agent-2"].set_room(500)
    time.sleep(1)
    first.mode = "mute"
    job = next(JOB_IDS)
    threading.Thread(target=deployment.submit, args=(job, {"ms": 3000},)).start()
    assert deployment.wait_until(lambda: first.running)
    deployment.workers["agent-2"].set_room(4000)
    send_foreign_heartbeat(deployment, "agent-1", born=birth(deployment, kind))
    time.sleep(1)
    first.mode = ""
    wait_for_state(deployment, job, 15)
    assert deployment.violations() == []
