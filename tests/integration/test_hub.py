"""Workflows on real queue daemons, with stand-ins for the table service and the workers.

Events of the workers' history are (kind, time, task, run, outcome).
"""

import itertools
import json
import os
import signal
import socket
import time

import pytest
from hub import wait_for_state
from standins import call

JOB_IDS = (f"{number:016x}" for number in itertools.count(1))


@pytest.fixture
def start_deployment(start_queue_deployment):
    """The deployments of this module are those of the queue daemons."""
    return start_queue_deployment


def test_steps_run_in_order(start_deployment):
    deployment = start_deployment()
    job = next(JOB_IDS)
    steps = [{"count": 3, "cpu": 1000}, {"count": 2, "cpu": 500, "after": [0]}]
    assert deployment.submit(job, {"ms": 200}, steps) == 200
    wait_for_state(deployment, job)
    # Tasks are named JOB.OCCURRENCE.STEP.INDEX.
    events = deployment.history()
    first = [e[1] for e in events if e[0] == "end" and f"{job}.0.0." in e[2]]
    second = [e[1] for e in events if e[0] == "start" and f"{job}.0.1." in e[2]]
    assert len(first) == 3 and len(second) == 2
    assert max(first) < min(second)
    assert deployment.violations() == []


def test_resubmitted_job_runs_once(start_deployment):
    deployment = start_deployment(entries=2)
    job = next(JOB_IDS)
    assert deployment.submit(job, {"ms": 100}) == 200
    assert deployment.submit(job, {"ms": 100}, entry=2) == 200
    wait_for_state(deployment, job, entry=2)
    assert deployment.submit(job, {"ms": 100}) == 200
    # A second run would start within this time.
    time.sleep(0.5)
    assert len([e for e in deployment.history() if e[0] == "start"]) == 1


def test_failed_task_is_retried_up_to_attempt_limit(start_deployment):
    deployment = start_deployment()
    once, always = next(JOB_IDS), next(JOB_IDS)
    assert deployment.submit(once, {"ms": 50, "fails": 1}) == 200
    assert deployment.submit(always, {"ms": 50, "fails": 9}) == 200
    wait_for_state(deployment, once)
    wait_for_state(deployment, always, state="failed")
    runs = [e for e in deployment.history() if e[0] == "start" and always in e[2]]
    assert len(runs) == 2


def test_cancelled_job_stops(start_deployment):
    deployment = start_deployment()
    job = next(JOB_IDS)
    steps = [{"count": 2, "cpu": 1000, "long_running": True}]
    assert deployment.submit(job, {"ms": 60000}, steps) == 200
    assert deployment.wait_until(lambda: deployment.state(job) == "running")
    assert deployment.request("DELETE", f"/jobs/{job}")[0] == 200
    assert deployment.state(job) == "cancelled"
    assert deployment.wait_until(lambda: not any(w.running for w in deployment.workers.values()), 3)


def test_unknown_jobs_queues_and_invalid_bodies_are_refused(start_deployment):
    deployment = start_deployment()
    assert deployment.state("f" * 16) == 410
    assert deployment.request("DELETE", f"/jobs/{'f' * 16}")[0] == 410
    assert deployment.request("GET", "/nothing/")[0] == 404
    assert deployment.request("POST", f"/nothing/{'f' * 16}", {})[0] == 404
    code, body = deployment.request("POST", f"/jobs/{'e' * 16}", b"{")
    assert code == 400 and body["remedy"]
    code, body = deployment.request("POST", f"/jobs/{'e' * 16}",
                                    {"spec": "", "steps": [{"count": 0}]})
    assert code == 400 and "step 0" in body["error"]
    assert deployment.request("POST", "/jobs/short", {})[0] != 200
    assert deployment.state("e" * 16) == 410


def test_malformed_worker_heartbeats_are_refused(start_deployment):
    deployment = start_deployment()
    heartbeat_url = f"http://{deployment.address(1, 8166)}/instances/i-x"
    good = {"service": "pool", "born": 5, "seq": 1, "state": "ready",
            "room": {"cpu": 1, "mem_mb": 1, "gpu": 0}, "labels": []}
    for change in ({"service": 7}, {"born": "x"}, {"state": "odd"}, {"room": []},
                   {"room": {"cpu": -1, "mem_mb": 1}}, {"seq": None}):
        assert call("PUT", heartbeat_url, dict(good, **change))[0] == 400, change
    assert call("PUT", heartbeat_url, b"\xff\x00{")[0] == 400
    job = next(JOB_IDS)
    assert deployment.submit(job) == 200
    wait_for_state(deployment, job)


def test_late_exit_of_former_worker_does_not_concern_its_successor(start_deployment):
    """The path of an exit names the worker; a late one may follow its successor's start."""
    deployment = start_deployment(workers=1)
    job, later = next(JOB_IDS), next(JOB_IDS)
    steps = [{"count": 1, "cpu": 1000, "long_running": True}]
    assert deployment.submit(job, {"ms": 60000}, steps) == 200
    assert deployment.wait_until(lambda: deployment.state(job) == "running")
    assert call("DELETE", f"http://{deployment.address(1, 8166)}/instances/i-former")[0] == 200
    assert deployment.submit(later, {"ms": 100}) == 200
    completed = deployment.wait_until(lambda: deployment.state(later) == "completed", 8)
    starts = [e for e in deployment.history() if e[0] == "start" and job in e[2]]
    assert len(starts) == 1
    assert completed, deployment.log("agent-1")[-1500:]


def test_tasks_fit_into_room_of_worker(start_deployment):
    deployment = start_deployment(workers=2, cpu=2000)
    jobs = [next(JOB_IDS) for _ in range(6)]
    for job in jobs:
        assert deployment.submit(job, {"ms": 300}, [{"count": 2, "cpu": 900}]) == 200
    assert deployment.wait_until(
        lambda: all(len(w.running) <= 2 for w in deployment.workers.values())
        and all(deployment.state(j) == "completed" for j in jobs), 15)
    for worker in deployment.workers.values():
        running = running_max = 0
        for kind, *_ in worker.history:
            # "end" and "gone" both end a run.
            running += {"start": 1, "noted": 0}.get(kind, -1)
            running_max = max(running_max, running)
        assert running_max <= 2
    assert deployment.violations() == []


def test_queue_and_tasks_survive_death_of_owner(start_deployment):
    """Another agent acquires the shard of a killed owner; running tasks are not restarted."""
    deployment = start_deployment(workers=3)
    job, later = next(JOB_IDS), next(JOB_IDS)
    assert deployment.submit(job, {"ms": 2500}, [{"count": 3, "cpu": 1000}]) == 200
    assert deployment.wait_until(
        lambda: sum(len(w.running) for w in deployment.workers.values()) == 3)
    owner = deployment.owner_name("0")
    deployment.signal_process(owner)
    began = time.monotonic()
    assert deployment.wait_until(lambda: deployment.owner_name("0") not in (owner, None), 8)
    # The queue lease is 8 s; the takeover must not take that long.
    assert time.monotonic() - began < 4
    assert deployment.submit(later, {"ms": 50}) == 200
    wait_for_state(deployment, later, 8)
    deployment.start(owner)
    wait_for_state(deployment, job, 12)
    assert deployment.violations() == []
    assert len([e for e in deployment.history() if e[0] == "start" and job in e[2]]) == 3


def test_tasks_survive_restart_of_agent(start_deployment):
    deployment = start_deployment(workers=1, shards=1)
    job = next(JOB_IDS)
    assert deployment.submit(job, {"ms": 3000}) == 200
    assert deployment.wait_until(lambda: deployment.workers["agent-1"].running)
    assert deployment.signal_process("agent-1", signal.SIGTERM) == 0
    deployment.start("agent-1")
    wait_for_state(deployment, job, 12)
    assert [e[0] for e in deployment.history() if e[0] != "noted"] == ["start", "end"]


def test_no_task_is_sent_to_an_agent_that_has_stopped(start_deployment):
    """Guards against incident starts-sent-to-a-stopped-agent: such tasks waited for long."""
    deployment = start_deployment(workers=3, shards=1)
    # One on each worker, with room for another 1000 millicores there.
    assert deployment.submit(next(JOB_IDS), {"ms": 8000}, [{"count": 3, "cpu": 3000}]) == 200
    assert deployment.wait_until(
        lambda: all(worker.running for worker in deployment.workers.values()))
    name = next(name for name in deployment.workers if name != deployment.owner_name())
    assert deployment.signal_process(name, signal.SIGTERM) == 0
    for _ in range(4):
        job = next(JOB_IDS)
        assert deployment.submit(job, {"ms": 100}, [{"count": 2, "cpu": 1000}]) == 200
        wait_for_state(deployment, job, 3)
    deployment.start(name)
    assert deployment.wait_until(lambda: deployment.log(name).count("event=started") == 2)
    assert deployment.violations() == []


def test_stopped_owner_releases_its_shards(start_deployment):
    """Another agent acquires a released shard without waiting for the lease to expire."""
    deployment = start_deployment(workers=3, shards=1)
    owner = deployment.owner_name("0")
    began = time.monotonic()
    assert deployment.signal_process(owner, signal.SIGTERM) == 0
    assert "event=shard_released" in deployment.log(owner)
    assert deployment.wait_until(lambda: deployment.owner_name("0") not in (owner, None), 3)
    assert time.monotonic() - began < 1.5


def test_owner_that_is_stopped_while_it_takes_a_shard_releases_it(start_deployment):
    """The shard waited for the expiry of a lease that a stopped process held."""
    deployment = start_deployment(workers=3, shards=1)
    first = deployment.owner_name("0")

    def answer_late(path, code, body):
        if path == "/rows-tx":
            time.sleep(0.4)
        return body

    deployment.store.alter_answer = answer_late
    assert deployment.signal_process(first, signal.SIGTERM) == 0
    assert deployment.wait_until(lambda: deployment.owner_name("0") not in (first, None), 3)
    second = deployment.owner_name("0")
    # Its take has been committed, but not answered yet.
    assert deployment.signal_process(second, signal.SIGTERM) == 0
    deployment.store.alter_answer = None
    assert "event=shard_released" in deployment.log(second)
    assert deployment.wait_until(
        lambda: deployment.owner_name("0") not in (first, second, None), 1.5)


def test_tasks_restart_on_new_incarnation_of_worker(start_deployment):
    """Tasks that a worker lost in a crash run a second time on its new incarnation."""
    deployment = start_deployment(workers=1, shards=1)
    job = next(JOB_IDS)
    assert deployment.submit(job, {"ms": 1500}) == 200
    assert deployment.wait_until(lambda: deployment.workers["agent-1"].running)
    deployment.workers["agent-1"].crash()
    wait_for_state(deployment, job, 12)
    assert [e[3] for e in deployment.history() if e[0] == "start"] == [1, 2]


def test_tasks_of_lost_worker_move_after_lease_expiry(start_deployment):
    deployment = start_deployment(workers=2, shards=1)
    job = next(JOB_IDS)
    assert deployment.submit(job, {"ms": 2500}, [{"count": 2, "cpu": 3000}]) == 200
    assert deployment.wait_until(lambda: all(w.running for w in deployment.workers.values()))
    lost = next(n for n in deployment.workers if n != deployment.owner_name("0"))
    deployment.workers[lost].mode = "dark"
    deployment.signal_process(lost)
    wait_for_state(deployment, job, 25)
    assert deployment.violations() == []
    deployment.workers[lost].mode = ""


def test_tasks_of_lost_worker_move_although_its_agent_lives_again(start_deployment):
    """The agent restarts and renews its lease; the worker does not answer any more."""
    deployment = start_deployment(workers=2, shards=1)
    job = next(JOB_IDS)
    assert deployment.submit(job, {"ms": 2500}, [{"count": 2, "cpu": 3000}]) == 200
    assert deployment.wait_until(lambda: all(w.running for w in deployment.workers.values()))
    lost = next(n for n in deployment.workers if n != deployment.owner_name("0"))
    deployment.workers[lost].mode = "dark"
    deployment.signal_process(lost)
    deployment.start(lost)
    wait_for_state(deployment, job, 25)
    assert deployment.violations() == []
    deployment.workers[lost].mode = ""


def test_tasks_of_departed_worker_move_before_lease_expiry(start_deployment):
    """The tasks of a worker that has unregistered start on another one as soon as there is room.

    They do not wait for the expiry of the departed worker's lease.
    """
    deployment = start_deployment(workers=3, shards=1)
    job = next(JOB_IDS)
    steps = [{"count": 3, "cpu": 3000, "long_running": True}]
    assert deployment.submit(job, {"ms": 60000}, steps) == 200
    assert deployment.wait_until(lambda: all(w.running for w in deployment.workers.values()))
    departed = deployment.owner_name("0")
    deployment.workers[departed].leave()
    time.sleep(0.7)
    assert deployment.signal_process(departed, signal.SIGTERM) == 0
    assert deployment.store.value("worker", departed, departed)["owner"] == ""
    others = [w for n, w in deployment.workers.items() if n != departed]
    assert deployment.wait_until(
        lambda: any(e[3] == 2 for w in others for e in w.history), 0.1) is False
    others[0].cpu = 8000
    assert deployment.wait_until(lambda: any(e[3] == 2 for w in others for e in w.history), 5)


def test_running_tasks_survive_outage_of_table_service(start_deployment):
    deployment = start_deployment(workers=2)
    job, refused = next(JOB_IDS), next(JOB_IDS)
    assert deployment.submit(job, {"ms": 1500}) == 200
    assert deployment.wait_until(lambda: any(w.running for w in deployment.workers.values()))
    deployment.store.mode = "busy"
    assert deployment.submit(refused, {"ms": 50}) == 503
    # The task's run time of 1.5 s ends during the outage.
    time.sleep(2.5)
    deployment.store.mode = ""
    wait_for_state(deployment, job, 8)
    assert deployment.state(refused) == 410
    assert len([e for e in deployment.history() if e[0] == "start"]) == 1


def test_silent_table_service_yields_no_false_refusal(start_deployment):
    """A submission with unknown outcome must not be refused: it may have been stored."""
    deployment = start_deployment(workers=1, shards=1)
    job = next(JOB_IDS)
    deployment.store.mode = "silent"
    assert deployment.submit(job, {"ms": 50}) in (504, 0)
    deployment.store.mode = ""
    assert deployment.wait_until(lambda: deployment.submit(job, {"ms": 50}) == 200, 8)
    wait_for_state(deployment, job)
    assert deployment.violations() == []


def test_entry_refused_by_table_service_serves_through_owners(start_deployment):
    """An entry that the table service refuses passes submissions to the owners and stays ready."""
    deployment = start_deployment()
    deployment.store.refused_callers = {f"127.{deployment.net}.0.101"}
    jobs = [next(JOB_IDS) for _ in range(3)]
    for job in jobs:
        assert deployment.submit(job, {"ms": 50}) == 200
        assert deployment.submit(job, {"ms": 50}) == 200
    for job in jobs:
        wait_for_state(deployment, job)
    # The entry must stay ready while the table service refuses it.
    time.sleep(3)
    assert deployment.ready()
    deployment.store.refused_callers = set()
    assert len([e for e in deployment.history() if e[0] == "start"]) == len(jobs)


def test_owner_refused_by_table_service_is_replaced(start_deployment):
    """Another agent acquires the shard of an owner that cannot renew its lease."""
    deployment = start_deployment(workers=3)
    owner = deployment.owner_name("0")
    deployment.store.refused_callers = {f"127.{deployment.net}.0.{owner.split('-')[1]}"}
    assert deployment.wait_until(lambda: deployment.owner_name("0") not in (owner, None), 8)
    job = next(JOB_IDS)
    assert deployment.submit(job, {"ms": 50}) == 200
    wait_for_state(deployment, job)
    deployment.store.refused_callers = set()
    assert deployment.violations() == []


def test_lost_commit_answers_do_not_duplicate_tasks(start_deployment):
    """About 30 % of the transactions are committed without an answer."""
    deployment = start_deployment(workers=2)
    deployment.store.lost_answer_share = 0.3
    jobs = [next(JOB_IDS) for _ in range(6)]
    for job in jobs:
        assert deployment.wait_until(lambda job=job: deployment.submit(job, {"ms": 100}) == 200, 10)
    for job in jobs:
        wait_for_state(deployment, job, 20)
    deployment.store.lost_answer_share = 0
    assert deployment.violations() == []
    assert len([e for e in deployment.history() if e[0] == "start"]) == len(jobs)


def test_lost_start_answers_run_task_once(start_deployment):
    """Calls that start a task take effect, but their answers are lost, and the calls are resent."""
    deployment = start_deployment(workers=1, shards=1)
    job = next(JOB_IDS)
    deployment.workers["agent-1"].mode = "mute"
    assert deployment.submit(job, {"ms": 300}) == 200
    # Calls are resent without an answer during this time.
    time.sleep(1.2)
    deployment.workers["agent-1"].mode = ""
    wait_for_state(deployment, job, 12)
    assert deployment.violations() == []


def test_older_config_is_ignored_and_queues_can_be_removed(start_deployment):
    deployment = start_deployment()
    assert deployment.request("GET", "/more/")[0] == 404
    deployment.put_config(queues=("jobs", "more"))
    assert deployment.wait_until(lambda: deployment.request("GET", "/more/")[0] == 200, 2)
    deployment.store.put("op", "config", {"version": 1, "routes": [], "services": []})
    # Time for the daemons to read the older configuration.
    time.sleep(0.5)
    assert deployment.request("GET", "/more/")[0] == 200
    deployment.store.discard_feed_history()
    deployment.put_config(queues=("jobs",))
    assert deployment.wait_until(lambda: deployment.request("GET", "/more/")[0] == 404, 3)


def test_pending_counts_tasks_not_started(start_deployment):
    deployment = start_deployment(workers=1, cpu=1000)
    for _ in range(3):
        assert deployment.submit(next(JOB_IDS), {"ms": 1500}) == 200
    assert deployment.wait_until(
        lambda: deployment.request("GET", "/jobs/")[1].get("pending") == 2, 2)


def test_pending_is_not_told_without_the_count_of_a_silent_owner(start_deployment):
    """A count that leaves out a shard tells that fewer jobs wait than do."""
    deployment = start_deployment(workers=3, shards=4)
    # No worker holds these tasks.
    jobs = [next(JOB_IDS) for _ in range(12)]
    for job in jobs:
        assert deployment.submit(job, {"ms": 50}, [{"count": 1, "cpu": 64000}]) == 200

    def pending():
        return deployment.request("GET", "/jobs/")
    assert deployment.wait_until(lambda: pending()[1].get("pending") == len(jobs), 2)
    owner = deployment.owner_name("0")
    deployment.signal_process(owner, signal.SIGSTOP)
    answers = []
    until_s = time.monotonic() + 5
    while time.monotonic() < until_s:
        answers.append(pending())
        time.sleep(0.05)
    deployment.signal_process(owner, signal.SIGCONT)
    assert {status for status, _ in answers} <= {200, 503}
    counts = {body["pending"] for status, body in answers if status == 200}
    assert counts == {len(jobs)}, counts
    assert answers[-1][0] == 200, "another agent has taken the shard over"


def test_draining_worker_gets_no_tasks(start_deployment):
    deployment = start_deployment(workers=2, shards=1)
    deployment.workers["agent-1"].draining = True
    # Time for a heartbeat of the worker to report the drain.
    time.sleep(1.2)
    jobs = [next(JOB_IDS) for _ in range(4)]
    for job in jobs:
        assert deployment.submit(job, {"ms": 100}) == 200
    for job in jobs:
        wait_for_state(deployment, job)
    assert deployment.workers["agent-1"].history == []


def test_stopping_entry_answers_a_request_that_is_on_its_way(start_deployment):
    """The load balancer sends new connections for 2 s after SIGTERM, and links may be slow."""
    deployment = start_deployment(entries=2)
    body = json.dumps({"spec": "{}", "steps": [{"count": 1, "cpu": 64000}]}).encode()
    head = (f"POST /jobs/{next(JOB_IDS)} HTTP/1.1\r\nHost: hub.example\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n").encode()
    deployment.processes["entry-2"].send_signal(signal.SIGTERM)
    stopped_s = time.monotonic()
    time.sleep(2)
    with socket.create_connection((deployment.address(102, 0).split(":")[0], 8161)) as client:
        client.settimeout(3)
        client.sendall(head)
        time.sleep(stopped_s + 2.4 - time.monotonic())
        client.sendall(body)
        assert client.recv(100).startswith(b"HTTP/1.1 200")
    deployment.processes["entry-2"].wait(timeout=5)
    assert "event=stopped cut=0" in deployment.log("entry-2")


def test_idle_entry_stops_without_aborted_calls(start_deployment):
    deployment = start_deployment(entries=2)
    deployment.signal_process("entry-2", signal.SIGTERM)
    assert "event=stopped cut=0" in deployment.log("entry-2")
    job = next(JOB_IDS)
    assert deployment.submit(job, {"ms": 50}) == 200
    wait_for_state(deployment, job)


def replace_owner(deployment):
    """Kills the owner of shard 0; returns its name and that of its successor."""
    former = deployment.owner_name()
    deployment.signal_process(former)
    assert deployment.wait_until(lambda: deployment.owner_name() not in (None, former))
    starts = deployment.log(former).count("event=started")
    deployment.start(former)
    assert deployment.wait_until(
        lambda: deployment.log(former).count("event=started") > starts)
    return former, deployment.owner_name()


def replace_owner_whose_announcement_is_late(deployment):
    """Replaces an owner, then lets its announcement take effect; returns the present owner."""
    late_callers = set()

    def is_first_announcement(body, caller):
        if caller in late_callers or all(i["table"] != "owner" for i in body["set_keys"]):
            return False
        late_callers.add(caller)
        return True

    assert deployment.wait_until(deployment.owner_name)
    deployment.store.is_late = is_first_announcement
    _, late_owner = replace_owner(deployment)
    deployment.store.is_late = lambda body, caller: False
    assert deployment.store.late
    former, owner = replace_owner(deployment)
    assert former == late_owner
    deployment.store.perform_late()
    return owner


def test_late_write_of_a_former_owner_does_not_replace_the_present_one(start_deployment):
    deployment = start_deployment(workers=3, shards=1)
    owner = replace_owner_whose_announcement_is_late(deployment)
    assert deployment.owner_name() == owner


def test_late_write_of_a_former_owner_does_not_leave_a_shard_without_an_owner(start_deployment):
    deployment = start_deployment(workers=3, shards=1)
    replace_owner_whose_announcement_is_late(deployment)
    for name in deployment.workers:
        deployment.signal_process(name)
    for name in deployment.workers:
        deployment.start(name)
    job = next(JOB_IDS)
    assert deployment.wait_until(lambda: deployment.submit(job, {"ms": 100}) == 200)
    wait_for_state(deployment, job)


def test_agent_that_starts_with_an_outdated_owner_finds_the_present_one(start_deployment):
    deployment = start_deployment(workers=3, shards=1)
    assert deployment.wait_until(deployment.owner_name)
    outdated = deployment.store.table("owner").popitem()
    former, owner = replace_owner(deployment)
    third = next(name for name in deployment.workers if name not in (former, owner))
    deployment.signal_process(third)
    deployment.store.put("owner", "0", outdated[1], part=outdated[0][1])
    deployment.start(third)
    job = next(JOB_IDS)
    # Each task needs a whole worker.
    assert deployment.submit(job, {"ms": 60000}, [{"count": 3, "cpu": 4000,
                                                   "long_running": True}]) == 200
    assert deployment.wait_until(lambda: all(w.running for w in deployment.workers.values()))


def start_job_with_late_store(deployment, job):
    """Submits a job whose only store takes effect with perform_late(). Its owner is stopped."""
    entry = f"127.{deployment.net}.0.101"
    owner = deployment.owner_name("0")
    deployment.signal_process(owner, signal.SIGSTOP)
    deployment.store.is_late = lambda body, caller: caller == entry and any(
        item["table"] == "live" for item in body["set_keys"])
    assert deployment.submit(job, {"ms": 5000}) in (504, 0)
    return owner


def test_job_stored_after_its_cancellation_does_not_run(start_deployment):
    """A cancellation was answered 410, and then a late write stored the job, which ran."""
    deployment = start_deployment(workers=1, shards=1)
    job = next(JOB_IDS)
    owner = start_job_with_late_store(deployment, job)
    assert deployment.request("DELETE", f"/jobs/{job}")[0] in (200, 410)
    deployment.store.is_late = lambda body, caller: False
    deployment.store.perform_late()
    deployment.signal_process(owner, signal.SIGCONT)
    # Longer than it takes to find a job in the inbox and to start it.
    time.sleep(4)
    assert deployment.history() == []
    assert deployment.state(job) in (410, "cancelled")


def test_late_store_fails_after_its_owner_has_handled_the_cancellation(start_deployment):
    deployment = start_deployment(workers=1, shards=1)
    job = next(JOB_IDS)
    owner = start_job_with_late_store(deployment, job)
    assert deployment.request("DELETE", f"/jobs/{job}")[0] in (200, 410)
    deployment.store.is_late = lambda body, caller: False
    deployment.signal_process(owner, signal.SIGCONT)
    assert deployment.wait_until(lambda: not deployment.store.table("inbox"), 6)
    assert [code for code, _ in deployment.store.perform_late()] == [412]
    assert deployment.submit(job, {"ms": 50}) == 200
    time.sleep(2)
    assert deployment.history() == []
