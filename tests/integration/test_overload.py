"""Refusal of jobs that can't end in time, on real queue daemons."""

import json
import time
import urllib.error
import urllib.request

import pytest

from hub import wait_for_state

# 8 tasks run at a time: 20 jobs of 100 tasks of 200 ms take 50 s.
BACKLOG = [f"{number:016x}" for number in range(1, 21)]
STEP = {"cpu": 1000, "est_runtime_ms": 200}


def submit(deployment, path, count, entry=1):
    """Submits a job; returns the status code and the header Retry-After."""
    body = {"spec": json.dumps({"ms": 200}), "steps": [{**STEP, "count": count}]}
    request = urllib.request.Request(
        f"http://{deployment.address(100 + entry, 8161)}{path}", data=json.dumps(body).encode(),
        method="POST", headers={"Content-Type": "application/json", "Host": "hub.example"})
    try:
        with urllib.request.urlopen(request, timeout=3) as answer:
            return answer.status, None
    except urllib.error.HTTPError as error:
        return error.code, error.headers["Retry-After"]


@pytest.fixture
def overloaded(start_queue_deployment):
    """A deployment with a backlog of higher priority that takes 50 s."""
    deployment = start_queue_deployment(shards=1, agent_settings=["schedule: {overload: true}"])
    deployment.put_config(queues=("urgent", "jobs"))
    config = deployment.store.value("op", "config")
    config["routes"][1]["priority"] = 1
    config["version"] += 1
    deployment.store.put("op", "config", config)
    assert deployment.wait_until(lambda: submit(deployment, f"/urgent/{BACKLOG[0]}", 100)[0] == 200)
    for job in BACKLOG[1:]:
        assert submit(deployment, f"/urgent/{job}", 100)[0] == 200
    return deployment


def submit_until_refused(deployment):
    """Submits jobs 100, 101, ... until one is refused. Nothing is refused in an owner's first 5 s."""
    for number in range(100, 160):
        code, _ = submit(deployment, f"/jobs/{number:016x}", 1)
        if code == 503:
            return number
        assert code == 200
        time.sleep(0.25)
    return None


def cancel_backlog(deployment):
    for job in BACKLOG:
        assert deployment.wait_until(
            lambda: deployment.request("DELETE", f"/urgent/{job}")[0] == 200)


def test_hopeless_job_is_refused_at_once_and_never_starts(overloaded):
    deployment = overloaded
    job = "a" * 16
    assert submit_until_refused(deployment)
    began_s = time.monotonic()
    code, retry_after = submit(deployment, f"/jobs/{job}", 1)
    assert code == 503 and time.monotonic() - began_s < 0.3
    assert 1 <= int(retry_after) <= 25
    assert deployment.state(job) == 410
    assert not [key for key in deployment.store.table("live") if job in key]
    log = "".join(deployment.log(name) for name in ("agent-1", "agent-2"))
    assert f"event=job_refused job={job}" in log and "expected_ms=" in log
    # A known job is not refused, whatever the backlog.
    assert submit(deployment, f"/jobs/{100:016x}", 1)[0] == 200
    cancel_backlog(deployment)
    wait_for_state(deployment, f"{100:016x}")
    assert not [e for e in deployment.history() if e[0] == "start" and job in e[2]]
    assert deployment.wait_until(lambda: submit(deployment, f"/jobs/{job}", 1)[0] == 200)
    wait_for_state(deployment, job)
    assert deployment.violations() == []


def test_death_of_the_owner_loses_no_job(overloaded):
    """Accepted jobs run under the next owner; the refused one runs only as it is submitted again."""
    deployment = overloaded
    refused = submit_until_refused(deployment)
    assert refused
    deployment.signal_process(deployment.owner_name())
    time.sleep(3)
    cancel_backlog(deployment)
    for number in range(100, refused):
        wait_for_state(deployment, f"{number:016x}", 20)
    job = f"{refused:016x}"
    assert deployment.state(job) == 410
    assert not [e for e in deployment.history() if e[0] == "start" and job in e[2]]
    assert submit(deployment, f"/jobs/{job}", 1)[0] == 200
    wait_for_state(deployment, job)
    assert deployment.violations() == []
