"""Faults that the rig has found, each brought about on its own."""

import json
import signal
import threading

from deploy import http, table_text, wait_for
from jobs import submit, wait_done


def starts_by_task(deployment):
    starts = {}
    for event in deployment.history():
        if event["event"] == "start":
            key = (event["job"], event["index"])
            starts[key] = starts.get(key, 0) + 1
    return starts


def test_ended_job_is_not_begun_again_from_a_late_answer(deploy):
    """Rows that were read before a job ended came after its end (trials, seed 1)."""
    deployment = deploy(workers=3)
    deployment.platform(delay_ms=250)
    jobs = []
    for number in range(25):
        status, body = submit(deployment, work_ms=30, cores=0.5, key=f"late-{number}")
        assert status == 201
        jobs.append(body["id"])
    for job in jobs:
        assert wait_done(deployment, "renderings", job)["state"] == "done"
    deployment.platform(delay_ms=0)
    # Anything begun again would be open again after the next look at the rows.
    status, body = submit(deployment, work_ms=30)
    wait_done(deployment, "renderings", body["id"])
    assert set(starts_by_task(deployment).values()) == {1}


def test_request_that_may_have_run_is_not_told_as_not_run(deploy):
    """One attempt had no answer, the next was refused (lemnaria, seed 4)."""
    deployment = deploy(workers=2)
    service = deployment.spec["service"]
    service["slots"], service["connections"] = 1, 1
    for worker in deployment.workers:
        agent = deployment.agent(worker)
        deployment.stop(agent)
        deployment.start(agent)
    deployment.wait_ready()
    long = threading.Thread(target=deployment.call, args=(
        "GET", "/service/atelier-desk/long?ms=6000"), kwargs={
            "headers": {"X-Team": "quotes", "X-Timeout-Ms": "9000"}})
    long.start()
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
    long.join()
    assert status == 504 and body["error"] == "outcome_unknown" and not body["not_run"], body


def test_two_edits_in_one_commit_are_one_accepted_and_one_refused(deploy):
    """Two edits waited for the same commit of one entry (lemnaria, seed 1)."""
    deployment = deploy(workers=1)
    deployment.platform(delay_ms=300)
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
    deployment.platform(delay_ms=0)
    assert sorted(answers) == [200, 409, 409, 409, 409]


def test_one_key_runs_once_though_sent_many_times_at_once(deploy):
    deployment = deploy(workers=2)
    deployment.platform(delay_ms=150)
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
    deployment.platform(delay_ms=0)
    runs = [e for e in deployment.history() if e.get("key") == "once"]
    assert len(runs) == 1 and answers.count(200) >= 1 and set(answers) <= {200, 409}
    status, headers, _ = deployment.call("POST", "/service/atelier-desk/invoice?ms=5&key=once",
                                         "body", {"X-Team": "invoices",
                                                  "Idempotency-Key": "march"})
    assert status == 200 and headers["Idempotent-Replay"] == "true"


def test_key_is_free_again_after_not_run(deploy):
    deployment = deploy(workers=1)
    deployment.platform(outage=1)
    headers = {"X-Team": "invoices", "Idempotency-Key": "april", "X-Timeout-Ms": "700"}
    path = "/service/atelier-desk/invoice?ms=5&key=april"
    status, _, body = deployment.call("POST", path, "b", headers)
    assert status == 503 and json.loads(body)["not_run"]
    deployment.platform(outage=0)
    headers["X-Timeout-Ms"] = "5000"
    wait_for(lambda: deployment.call("POST", path, "b", headers)[0] == 200, what="free key")
    assert len([e for e in deployment.history() if e.get("key") == "april"]) == 1


def test_stranger_on_the_inner_address_is_refused_and_counted(deploy):
    deployment = deploy(workers=1)
    stranger = deploy(start=False)
    settings = deployment.agent_settings("worker-01")
    settings.update({"name": "worker-77", "keys": stranger.inner_keys(),
                     "http": f"{stranger.ip('agent-77')}:8080",
                     "inner": f"{stranger.ip('agent-77')}:7000",
                     "advertise": f"{stranger.ip('agent-77')}:7000",
                     "source": stranger.ip("agent-77")})
    path = stranger._write_settings("agent-77", settings)  # pylint: disable=protected-access
    stranger.command = lambda name: [f"{stranger.build}/catkinlug-agentd", path]
    stranger.start("agent-77")

    def refused():
        text = http("GET", deployment.entry_url() + "/metrics")[2].decode()
        return int(text.split("\ncatkinlug_strangers ")[1].split("\n")[0])
    wait_for(refused, what="refused stranger")
    assert [w["worker"] for w in deployment.get("/workers")["workers"]] == ["worker-01"]


def test_keys_are_rotated_without_losing_an_agent(deploy):
    """First every process accepts both keys, then each takes the new one."""
    deployment = deploy(workers=2)
    old = deployment.inner_keys()[0]
    new = deploy(start=False).inner_keys()[0]
    names = deployment.entries + [deployment.agent(w) for w in deployment.workers]
    for keys in ([old, new], [new, old]):
        deployment.keys = keys
        for name in names:
            assert deployment.stop(name) == 0
            deployment.start(name)
            deployment.wait_ready()
            assert deployment.call("GET", "/service/atelier-desk/x?ms=1",
                                   headers={"X-Team": "quotes"})[0] == 200
