"""Races and failures that need a particular order of events."""

import json
import signal
import threading

from deploy import http, table_text, wait_for
from jobs import submit, wait_for_job_end


def starts_by_task(deployment):
    """Number of starts by (job, index of the task)."""
    starts = {}
    for event in deployment.history():
        if event["event"] == "start":
            key = (event["job"], event["index"])
            starts[key] = starts.get(key, 0) + 1
    return starts


def test_ended_job_is_not_restarted_by_late_answer(start_deployment):
    """An answer with the rows of a job can arrive after the job has ended.

    The owner must not restart tasks from such outdated rows.
    """
    deployment = start_deployment(workers=3)
    deployment.control_platform(delay_ms=250)
    jobs = []
    for number in range(25):
        status, body = submit(deployment, work_ms=30, cores=0.5, key=f"late-{number}")
        assert status == 201
        jobs.append(body["id"])
    for job in jobs:
        assert wait_for_job_end(deployment, "renderings", job)["state"] == "done"
    deployment.control_platform(delay_ms=0)
    # The rows are read again for another job; the history would then show a restarted task.
    status, body = submit(deployment, work_ms=30)
    wait_for_job_end(deployment, "renderings", body["id"])
    assert set(starts_by_task(deployment).values()) == {1}


def test_request_with_unknown_outcome_is_not_reported_as_not_run(start_deployment):
    """The first attempt of a request gets no answer, the second one is refused.

    The first one may have run, so the answer must not be "not run".
    """
    deployment = start_deployment(workers=2)
    service = deployment.spec["service"]
    service["slots"], service["connections"] = 1, 1
    for worker in deployment.workers:
        agent = deployment.agent(worker)
        deployment.stop(agent)
        deployment.start(agent)
    deployment.wait_ready()
    long_request = threading.Thread(target=deployment.call, args=(
        "GET", "/service/atelier-desk/long?ms=6000"), kwargs={
            "headers": {"X-Team": "quotes", "X-Timeout-Ms": "9000"}})
    long_request.start()
    busy = wait_for(lambda: [e["worker"] for e in deployment.history()
                             if e["event"] == "request"], what="long request")[0]
    idle = [w for w in deployment.workers if w != busy][0]
    wait_for(lambda: {w["worker"]: w["busy"] for w in deployment.get("/workers")["workers"]}[busy],
             what="load of the busy worker")
    deployment.signal(deployment.agent(idle), signal.SIGSTOP)
    status, _, body = deployment.call("GET", "/service/atelier-desk/x?ms=1&key=doubt",
                                      headers={"X-Team": "quotes", "X-Timeout-Ms": "1500"})
    deployment.signal(deployment.agent(idle), signal.SIGCONT)
    body = json.loads(body)
    long_request.join()
    assert status == 504 and body["error"] == "outcome_unknown" and not body["not_run"], body


def test_concurrent_edits_in_one_commit_accept_one(start_deployment):
    """Several edits of the same version wait for one commit of an entry.

    Only one of them may be accepted.
    """
    deployment = start_deployment(workers=1)
    deployment.control_platform(delay_ms=300)
    answers = []

    def edit(number):
        rows = [dict(row) for row in deployment.spec["weights"]]
        rows[0]["price"] = 1 + number / 10
        answers.append(deployment.call("PUT", "/table", table_text(rows), {"If-Match": "1"})[0])
    threads = [threading.Thread(target=edit, args=(n,)) for n in range(5)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    deployment.control_platform(delay_ms=0)
    assert sorted(answers) == [200, 409, 409, 409, 409]


def test_concurrent_requests_with_one_key_run_once(start_deployment):
    """Requests with one idempotency key arrive at both entries while the table service is slow.

    The query parameter "key" only labels the request in the history of the workers.
    """
    deployment = start_deployment(workers=2)
    deployment.control_platform(delay_ms=150)
    answers = []

    def send(entry):
        answers.append(deployment.call(
            "POST", "/service/atelier-desk/invoice?ms=5&key=once", "body",
            {"X-Team": "invoices", "Idempotency-Key": "march", "X-Timeout-Ms": "8000"},
            entry=entry)[0])
    threads = [threading.Thread(target=send, args=(n % 2,)) for n in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    deployment.control_platform(delay_ms=0)
    runs = [e for e in deployment.history() if e.get("key") == "once"]
    assert len(runs) == 1 and answers.count(200) >= 1 and set(answers) <= {200, 409}
    status, headers, _ = deployment.call("POST", "/service/atelier-desk/invoice?ms=5&key=once",
                                         "body", {"X-Team": "invoices",
                                                  "Idempotency-Key": "march"})
    assert status == 200 and headers["Idempotent-Replay"] == "true"


def test_request_of_a_taken_key_is_not_reported_as_not_run(start_deployment):
    """The key's row can't be read, for a moment and then for longer than the caller waits."""
    deployment = start_deployment(workers=1)
    headers = {"X-Team": "invoices", "Idempotency-Key": "may", "X-Timeout-Ms": "5000"}
    path = "/service/atelier-desk/invoice?ms=5&key=may"
    assert deployment.call("POST", path, "b", headers)[0] == 200
    deployment.control_platform(refuse_key_scans=3)
    status, answer_headers, _ = deployment.call("POST", path, "b", headers)
    assert status == 200 and answer_headers["Idempotent-Replay"] == "true"
    deployment.control_platform(refuse_key_scans=1000)
    headers["X-Timeout-Ms"] = "600"
    status, _, body = deployment.call("POST", path, "b", headers)
    deployment.control_platform(refuse_key_scans=0)
    assert status == 504 and not json.loads(body)["not_run"], body
    assert len([e for e in deployment.history() if e.get("key") == "may"]) == 1


def test_key_can_be_reused_after_not_run(start_deployment):
    """A request that was refused as "not run" must not block later requests with the same key."""
    deployment = start_deployment(workers=1)
    deployment.control_platform(outage=1)
    headers = {"X-Team": "invoices", "Idempotency-Key": "april", "X-Timeout-Ms": "700"}
    path = "/service/atelier-desk/invoice?ms=5&key=april"
    status, _, body = deployment.call("POST", path, "b", headers)
    assert status == 503 and json.loads(body)["not_run"]
    deployment.control_platform(outage=0)
    headers["X-Timeout-Ms"] = "5000"
    wait_for(lambda: deployment.call("POST", path, "b", headers)[0] == 200, what="free key")
    assert len([e for e in deployment.history() if e.get("key") == "april"]) == 1


def test_peer_with_unknown_key_is_refused_and_counted(start_deployment):
    """An agent whose key pair the entry does not accept must not join the deployment."""
    deployment = start_deployment(workers=1)
    unknown_peer = start_deployment(start=False)
    settings = deployment.agent_settings("worker-01")
    settings.update({"name": "worker-77", "keys": unknown_peer.internal_keys(),
                     "http": f"{unknown_peer.ip('agent-77')}:8080",
                     "inner": f"{unknown_peer.ip('agent-77')}:7000",
                     "advertise": f"{unknown_peer.ip('agent-77')}:7000",
                     "source": unknown_peer.ip("agent-77")})
    path = unknown_peer._write_settings("agent-77", settings)  # pylint: disable=protected-access
    unknown_peer.command_line = lambda name: [f"{unknown_peer.build}/catkinlug-agentd", path]
    unknown_peer.start("agent-77")

    def refused_count():
        text = http("GET", deployment.entry_url() + "/metrics")[2].decode()
        return int(text.split("\ncatkinlug_strangers ")[1].split("\n")[0])
    wait_for(refused_count, what="refused peer")
    assert [w["worker"] for w in deployment.get("/workers")["workers"]] == ["worker-01"]


def test_key_rotation_keeps_agents_connected(start_deployment):
    """All processes first accept both keys, then use the new key."""
    deployment = start_deployment(workers=2)
    old = deployment.internal_keys()[0]
    new = start_deployment(start=False).internal_keys()[0]
    names = deployment.entries + [deployment.agent(w) for w in deployment.workers]
    for keys in ([old, new], [new, old]):
        deployment.keys = keys
        for name in names:
            assert deployment.stop(name) == 0
            deployment.start(name)
            # pylint: disable-next=cell-var-from-loop
            wait_for(lambda: deployment.is_ready(name), what=f"ready {name}")
            deployment.wait_ready()
            assert deployment.call("GET", "/service/atelier-desk/x?ms=1",
                                   headers={"X-Team": "quotes"})[0] == 200


def test_rolling_restart_by_readiness_turns_no_request_away(start_deployment):
    """Each process is restarted once the former one reports ready; nothing else is waited for.

    Heartbeats to entries are delayed, so that a restarted agent is unknown to them for a while.
    """
    deployment = start_deployment(workers=2, proxied=True)
    deployment.control_proxy(set=[
        {"a": deployment.agent(worker), "b": entry, "effect": "delay", "ms": 150}
        for worker in deployment.workers for entry in deployment.entries])
    for name in [deployment.agent(w) for w in deployment.workers] + deployment.entries:
        assert deployment.stop(name) == 0
        deployment.start(name)
        # pylint: disable-next=cell-var-from-loop
        wait_for(lambda: deployment.is_ready(name), what=f"ready {name}")
        for entry in range(len(deployment.entries)):
            if deployment.is_ready(deployment.entries[entry]):
                status, _, body = deployment.call("GET", "/service/atelier-desk/x?ms=1",
                                                  headers={"X-Team": "quotes"}, entry=entry)
                assert status == 200, (name, entry, body)
