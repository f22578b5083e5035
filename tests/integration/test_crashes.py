"""Queue daemons whose workers crash under a task, or change the room that they have."""

import itertools
import signal
import threading
import time

import pytest

import checker
from deploy import wait_for
from hub import wait_for_state
from jobs import submit, wait_for_job_end

JOB_IDS = (f"{number:016x}" for number in itertools.count(0xc0))
# Starts of a task that crashes its worker: no more than two after the third crash.
MAX_STARTS = 5


def crash_count(deployment):
    return sum(worker.crashes for worker in deployment.workers.values())


def start_count(deployment, task):
    return len([e for e in deployment.history() if e[0] == "start" and e[2] == task])


def test_task_that_crashes_workers_is_given_up(start_queue_deployment):
    """Guards against incident task-crashes-worker-after-worker."""
    deployment = start_queue_deployment(workers=4)
    beside = [next(JOB_IDS) for _ in range(4)]
    for job in beside:
        assert deployment.submit(job, {"ms": 1500}, [{"count": 3, "cpu": 500}]) == 200
    crashing = next(JOB_IDS)
    assert deployment.submit(crashing, {"ms": 300, "crashes": ["0.1"]},
                             [{"count": 3, "cpu": 500}]) == 200
    wait_for_state(deployment, crashing, 20, "failed")
    assert 2 <= start_count(deployment, f"{crashing}.0.0.1") <= MAX_STARTS
    for job in beside:
        wait_for_state(deployment, job, 20)
    crashes = crash_count(deployment)
    time.sleep(3)
    assert crash_count(deployment) == crashes
    assert deployment.violations() == []


def test_task_that_crashes_workers_before_they_answer_is_given_up(start_queue_deployment):
    """No start of the task is ever confirmed, so no crash is known to be one under it."""
    deployment = start_queue_deployment(workers=4)
    sound, crashing = next(JOB_IDS), next(JOB_IDS)
    assert deployment.submit(sound, {"ms": 1500}, [{"count": 3, "cpu": 500}]) == 200
    assert deployment.submit(crashing, {"ms": 300, "crashes": ["0.1"], "crash_ms": 0},
                             [{"count": 3, "cpu": 500}]) == 200
    wait_for_state(deployment, crashing, 30, "failed")
    assert 2 <= start_count(deployment, f"{crashing}.0.0.1") <= MAX_STARTS
    wait_for_state(deployment, sound, 20)
    assert deployment.violations() == []


def test_crashing_tasks_of_several_jobs_spare_the_other_jobs(start_queue_deployment):
    deployment = start_queue_deployment(workers=4)
    sound, crashing = [], []
    for number in range(12):
        job = next(JOB_IDS)
        deadly = number % 4 == 1
        (crashing if deadly else sound).append(job)
        spec = {"ms": 400, "crashes": ["1.0"] if deadly else []}
        steps = [{"count": 2, "cpu": 300}, {"count": 3, "cpu": 300, "after": [0]}]
        assert deployment.submit(job, spec, steps) == 200
        time.sleep(0.1)
    for job in sound:
        wait_for_state(deployment, job, 40)
    for job in crashing:
        wait_for_state(deployment, job, 20, "failed")
        assert start_count(deployment, f"{job}.0.1.0") <= MAX_STARTS
    assert deployment.violations() == []


def test_jobs_count_as_pending_while_their_worker_is_down(start_queue_deployment):
    """A start without an answer is no beginning of its job."""
    deployment = start_queue_deployment(workers=1, shards=1)
    first = next(JOB_IDS)
    assert deployment.submit(first, {"ms": 50}) == 200
    wait_for_state(deployment, first)
    deployment.workers["agent-1"].down_until = time.monotonic() + 4
    jobs = [next(JOB_IDS) for _ in range(3)]
    for job in jobs:
        assert deployment.submit(job, {"ms": 100}) == 200
    until = time.monotonic() + 3
    while time.monotonic() < until:
        code, body = deployment.request("GET", "/jobs/")
        assert code != 200 or body["pending"] == len(jobs)
        time.sleep(0.1)
    for job in jobs:
        wait_for_state(deployment, job, 15)


def test_ends_are_acknowledged_to_the_incarnation_that_listed_them(start_queue_deployment):
    """Guards against seed 2015 of the soak: a resent poll made the next incarnation forget ends."""
    deployment = start_queue_deployment(workers=2)
    worker = deployment.workers["agent-1"]
    jobs = []
    for number in range(30):
        jobs.append(next(JOB_IDS))
        assert deployment.submit(jobs[-1], {"ms": 60}, [{"count": 2, "cpu": 300}]) == 200
        if number % 3 == 2:
            time.sleep(0.2)
            worker.crash()
    for job in jobs:
        wait_for_state(deployment, job, 20)
    assert worker.acks_of_others == []
    assert deployment.violations() == []


def test_starts_respect_a_room_that_shrinks_and_grows(start_queue_deployment):
    deployment = start_queue_deployment(workers=2)
    jobs = []
    for number in range(40):
        if number % 8 == 2:
            deployment.workers["agent-1"].set_room((1000, 4000)[number // 8 % 2])
        if number % 8 == 5:
            deployment.workers["agent-2"].set_room((4000, 1500)[number // 8 % 2])
        jobs.append(next(JOB_IDS))
        spec = {"ms": 500, "cpu": 1000}
        assert deployment.submit(jobs[-1], spec, [{"count": 2, "cpu": 1000}]) == 200
        if number % 5 == 3:
            deployment.request("DELETE", f"/jobs/{jobs.pop()}")
        time.sleep(0.15)
    for worker in deployment.workers.values():
        worker.set_room(4000)
    for job in jobs:
        wait_for_state(deployment, job, 30)
    assert [w.starts_over_room for w in deployment.workers.values()] == [[], []]
    assert deployment.violations() == []


def test_starts_end_when_the_room_is_not_known_any_more(start_queue_deployment):
    """Rule LIMIT: a room that has shrunk counts some seconds later, also without a heartbeat."""
    deployment = start_queue_deployment(workers=1, shards=1)
    worker = deployment.workers["agent-1"]
    first = next(JOB_IDS)
    assert deployment.submit(first, {"ms": 50, "cpu": 1000}, [{"count": 1, "cpu": 1000}]) == 200
    wait_for_state(deployment, first)
    worker.room_notice_s = 4.1
    worker.sends_heartbeats = False
    worker.set_room(500)
    jobs = []
    for _ in range(40):
        jobs.append(next(JOB_IDS))
        assert deployment.submit(jobs[-1], {"ms": 150, "cpu": 1000},
                                 [{"count": 1, "cpu": 1000}]) == 200
        time.sleep(0.15)
    assert worker.starts_over_room == []
    worker.set_room(4000)
    worker.sends_heartbeats = True
    for job in jobs:
        wait_for_state(deployment, job, 20)


@pytest.mark.parametrize("agent_too", [False, True], ids=["worker", "instance"])
def test_team_task_under_which_workers_crash_is_given_up(start_deployment, agent_too):
    """The tasks of teams' queues have the same bound, whatever kills their workers."""
    deployment = start_deployment(workers=3)
    job = submit(deployment, work_ms=60000, idempotent=True)[1]["id"]

    def starts():
        return [e for e in deployment.history() if e["event"] == "start" and e["job"] == job]

    def state():
        return deployment.get(f"/jobs/{job}?team=renderings")["state"]

    crashes = 0
    while state() not in ("failed", "done") and crashes < MAX_STARTS + 1:
        wait_for(lambda: len(starts()) > crashes or state() == "failed", 20, "next attempt")
        if state() == "failed":
            break
        # The attempt is confirmed and no longer an early one.
        time.sleep(0.8)
        worker = starts()[-1]["worker"]
        crashed = [worker] + [deployment.agent(worker)] * agent_too
        for name in crashed:
            deployment.kill(name)
        for name in crashed:
            deployment.start(name)
        crashes += 1
    wait_for(lambda: state() == "failed", 10, "end of the job")
    assert crashes <= MAX_STARTS


def test_attempt_that_a_restarted_worker_has_started_goes_on(start_deployment):
    """The worker restarts while its agent is stopped, and takes starts before the agent knows."""
    deployment = start_deployment(workers=2)
    jobs = []

    def submit_jobs():
        for work_ms in (2500, 30):
            jobs.append(submit(deployment, work_ms=work_ms, idempotent=True, count=3)[1]["id"])

    for _ in range(5):
        submit_jobs()
        time.sleep(0.8)
        worker = [e for e in deployment.history() if e["event"] == "start"][-1]["worker"]
        deployment.signal(deployment.agent(worker), signal.SIGSTOP)
        deployment.kill(worker)
        deployment.start(worker)
        submit_jobs()
        time.sleep(0.5)
        deployment.signal(deployment.agent(worker), signal.SIGCONT)
        time.sleep(1)
    for job in jobs:
        wait_for_job_end(deployment, "renderings", job)
    run = {"history": deployment.history()}
    assert checker.never_in_two_places(run) == []
    assert checker.never_over_capacity(run) == []


def test_request_that_breaks_its_servers_does_not_reach_a_third(start_deployment):
    deployment = start_deployment(workers=5)
    answers = []

    def call():
        answers.append(deployment.call("GET", "/service/atelier-desk/long?ms=30000", headers={
            "X-Team": "quotes", "X-Timeout-Ms": "20000"})[0])

    caller = threading.Thread(target=call)
    caller.start()
    broken = 0
    until = time.monotonic() + 15
    while not answers and time.monotonic() < until:
        requests = [e for e in deployment.history() if e["event"] == "request"]
        if len(requests) > broken:
            time.sleep(0.3)
            deployment.kill(requests[-1]["worker"])
            broken += 1
        time.sleep(0.05)
    caller.join()
    assert (answers, broken) == ([504], 2)
