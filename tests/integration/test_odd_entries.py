"""Odd entries of other writers, odd bodies and odd answers: each costs itself alone.

Odd means: nested very deeply, with a number too large, with a port out of range, of another type.
No process may end, and none may stop following the tables.
"""

import json
import time

import pytest
from deploy import http, wait_for
from hub import wait_for_state
from jobs import submit, wait_for_job_end
from standins import call

DEEP = b"[" * 400000
DEEP_OBJECT = b'{"a":' * 100000
TOO_LARGE = b"99999999999999999999999"


def body_with(member, value):
    """Body of a job with one step, in which a member has a value given as JSON."""
    return b'{"spec":"","steps":[{"count":1,"cpu":1000,"' + member + b'":' + value + b'}]}'


ODD_JOBS = {
    "deep": DEEP, "deep object": DEEP_OBJECT, "deep member": body_with(b"x", DEEP),
    "closed": body_with(b"x", b"[" * 60000 + b"]" * 60000),
    "too large": body_with(b"est_runtime_ms", TOO_LARGE), "float": body_with(b"cpu", b"1e999"),
    "too large for an integer": body_with(b"spread", b"1e300"),
    "negative": body_with(b"spread", b"-1"), "text": body_with(b"cpu", b'"7"'),
    "steps": b'{"spec":"","steps":{"0":1}}', "step": b'{"spec":"","steps":[1]}',
    "after": body_with(b"after", b'["0"]'), "not a number": body_with(b"cpu", b"NaN"),
    "NUL": b'{"spec":"a\\u0000b","steps":[{"count":1,"cpu":1}]}',
    "surrogate": b'{"spec":"a\\ud800\\nb","steps":[{"count":1,"cpu":1}]}',
    "target": body_with(b"target_ms", b"9223372036854775807"),
    "interval": b'{"spec":"","run_count":9,"interval_ms":9223372036854775807,'
                b'"steps":[{"count":1,"cpu":1}]}',
}


def pids(deployment):
    """Process ids by name; fails if a process has ended by itself."""
    ended = {n: p.poll() for n, p in deployment.processes.items() if p.poll() is not None}
    assert not ended, ended
    return {name: process.pid for name, process in deployment.processes.items()}


def runs_job(deployment, job, seconds=10):
    assert deployment.wait_until(lambda: deployment.submit(job, {"ms": 50}) == 200, seconds)
    wait_for_state(deployment, job, seconds)


def test_odd_bodies_of_submitters_are_refused(start_queue_deployment):
    deployment = start_queue_deployment()
    before = pids(deployment)
    for number, (name, body) in enumerate(ODD_JOBS.items()):
        path = f"/jobs/{number:016x}"
        code, answer = deployment.request("POST", path, body)
        assert code == 400 and answer["remedy"], (name, code, answer)
        assert deployment.request("GET", path)[0] == 410, name
    runs_job(deployment, "a" * 16)
    assert pids(deployment) == before


def test_job_of_very_many_occurrences_leaves_room_for_others(start_queue_deployment):
    """A job whose occurrences are all due at once; a task of it needs more than a worker has."""
    deployment = start_queue_deployment(workers=1, shards=1)
    before = pids(deployment)
    body = {"spec": "", "run_count": 1000000, "start_at_ms": 0, "interval_ms": 1,
            "steps": [{"count": 4000, "cpu": 64000}]}
    assert deployment.request("POST", f"/jobs/{'b' * 16}", body)[0] in (200, 504)
    runs_job(deployment, "a" * 16, 20)
    assert pids(deployment) == before


ODD_HEARTBEATS = [
    {"address": "127.0.0.1:99999"}, {"address": "127.0.0.1:0"}, {"address": "127.0.0.1:-1"},
    {"room": {"cpu": 1 << 40, "mem_mb": 1, "gpu": 0}}, {"room": {"cpu": 1, "mem_mb": 1 << 60}},
    {"server_time_ms": 1 << 62}, {"server_time_ms": -1}, {"seq": 1 << 70}, {"born": 1e300},
    {"room": [1]}, {"service": "a\0b"}, {"labels": [["a"] * 3, "\ud800"]},
]


def test_odd_heartbeats_of_workers_are_refused(start_queue_deployment):
    deployment = start_queue_deployment()
    before = pids(deployment)
    worker = deployment.workers["agent-1"]
    url = f"http://{deployment.address(1, 8166)}/instances/{worker.id}"
    good = {"service": "pool", "born": worker.incarnation, "seq": 1 << 40, "state": "ready",
            "address": "x", "room": {"cpu": 1, "mem_mb": 1, "gpu": 0}, "labels": []}
    for change in ODD_HEARTBEATS:
        code, answer = call("PUT", url, dict(good, **change))
        assert code == 400 and answer["remedy"], change
    for raw in (DEEP, DEEP_OBJECT, b'{"seq":' + TOO_LARGE + b"}",
                json.dumps(good).encode()[:-1] + b',"x":' + DEEP):
        code, answer = call("PUT", url, raw)
        assert code == 400 and answer["remedy"], raw[:60]
    assert call("PUT", url.replace(worker.id, "%ff%fe"), good)[0] == 400
    # The heartbeats of the worker still count: a refused one would have shrunk its room.
    runs_job(deployment, "a" * 16)
    assert pids(deployment) == before


def answer_starts_late(worker):
    perform = worker.perform

    def answer_late(path, body, headers):
        answer = perform(path, body, headers)
        time.sleep(0.5 if path == "/run-start" else 0)
        return answer

    worker.perform = answer_late


@pytest.mark.parametrize("name", ["i-other", "%ff%fe"], ids=["another-id", "unreadable-id"])
def test_reports_under_another_id_end_no_runs(start_queue_deployment, name):
    """Such a report is like the worker's own otherwise, and comes while starts have no answer yet."""
    deployment = start_queue_deployment(workers=3, shards=1)
    for worker in deployment.workers.values():
        answer_starts_late(worker)
    for number in range(8):
        started = len(deployment.history())
        assert deployment.submit(f"{number:016x}", {"ms": 2500}, [{"count": 6, "cpu": 200}]) == 200
        deployment.wait_until(lambda: len(deployment.history()) >= started + 6, 1)
        for worker in deployment.workers.values():
            worker.seq += 1
            call("PUT", f"http://{worker.heartbeat_address}/instances/{name}",
                 {"service": "pool", "born": worker.incarnation, "seq": worker.seq, "state": "ready",
                  "address": "x", "room": {"cpu": 4000, "mem_mb": 4096, "gpu": 0}, "labels": []})
        time.sleep(0.3)
    for number in range(8):
        wait_for_state(deployment, f"{number:016x}")
    assert deployment.violations() == []


ODD_VALUES = {
    "deep": DEEP, "deep-object": DEEP_OBJECT, "too-large": b'{"epoch":' + TOO_LARGE + b"}",
    "float": b'{"epoch":1e999}', "text": b"\xff\x00not JSON", "array": b"[1,2]", "empty": b"",
    "types": b'{"epoch":"x","address":7,"steps":[1,"a",[2]],"occurrences":[1],"workers":{}}',
}
ODD_OWNERS = {
    "port": {"epoch": 1 << 40, "address": "127.0.0.1:99999"},
    "host": {"epoch": 1 << 40, "address": "host:"}, "v6": {"epoch": 1 << 40, "address": "::1:80"},
    "epoch": {"epoch": (1 << 63) - 1, "address": "127.0.0.1:1"},
    "negative": {"epoch": -1, "address": "127.0.0.1:1"},
    "control": {"epoch": 1 << 40, "address": "127.0.0.1\n:80"},
    "list": {"epoch": [1], "address": ["127.0.0.1:1"]},
}


def test_odd_rows_of_owners_do_not_displace_good_ones(start_queue_deployment):
    deployment = start_queue_deployment(workers=3)
    before = pids(deployment)
    good = deployment.store.value("owner", "0")
    # Keys that sort before those of the shards, and keys that start with a number.
    for number, value in enumerate([*ODD_VALUES.values(), *ODD_OWNERS.values()]):
        deployment.store.put("owner", f"!{number}", value)
        deployment.store.put("owner", f"0x{number}", value)
        deployment.store.put("owner", "0", value)
    deployment.store.put("owner", "0", good)
    # A daemon that starts now reads all rows at once; the others have watched them come.
    deployment.start("entry-2")
    assert deployment.wait_until(lambda: deployment.ready(2), 8)
    for number in range(8):
        job = f"{number:016x}"
        assert deployment.wait_until(
            lambda job=job: deployment.submit(job, {"ms": 50}, entry=1 + int(job, 16) % 2) == 200, 5)
        wait_for_state(deployment, job, entry=2)
    assert {n: p for n, p in pids(deployment).items() if n != "entry-2"} == before
    assert "event=row_skipped" in deployment.log("entry-1")
    # A later good row is still seen: that of the next owner.
    owner = deployment.owner_name("0")
    deployment.signal_process(owner)
    assert deployment.wait_until(lambda: deployment.owner_name("0") not in (owner, None), 8)
    del deployment.processes[owner]
    for number in range(8, 12):
        runs_job(deployment, f"{number:016x}")
    pids(deployment)


@pytest.mark.parametrize("name", list(ODD_VALUES))
def test_odd_configuration_is_skipped_and_the_next_one_applied(start_queue_deployment, name):
    deployment = start_queue_deployment(workers=1, shards=1)
    before = pids(deployment)
    deployment.store.put("op", "config", ODD_VALUES[name])
    deployment.store.put("op", "config-odd", ODD_VALUES[name])
    time.sleep(0.3)
    deployment.put_config(queues=("jobs", "more"))
    assert deployment.wait_until(lambda: deployment.request("GET", "/more/")[0] == 200, 3)
    runs_job(deployment, "a" * 16)
    assert pids(deployment) == before
    # Reads of the feed wait up to 0.9 s; a daemon that repeats them at once makes far more.
    assert deployment.log("entry-1").count("row_skipped") < 5


def test_odd_rows_among_jobs_are_skipped(start_queue_deployment):
    """Rows of the shard's tables that its next owner reads."""
    deployment = start_queue_deployment(workers=3, shards=1)
    kept = "c" * 16
    steps = [{"count": 1, "cpu": 64000}]
    assert deployment.submit(kept, {"ms": 50}, steps) == 200
    for name, value in ODD_VALUES.items():
        for table in ("live", "runs", "inbox", "ended"):
            deployment.store.put(table, f"{name}-{table}", value, part="0")
        # Jobs that are well formed, with an odd state.
        deployment.store.put("live", f"0-{name}",
                             deployment.store.value("live", kept, part="0"), part="0")
        deployment.store.put("runs", f"0-{name}", value, part="0")
        deployment.store.put("inbox", f"1-{name}.cancel", value, part="0")
    runs_job(deployment, "a" * 16)
    owner = deployment.owner_name("0")
    deployment.signal_process(owner)
    del deployment.processes[owner]
    before = pids(deployment)
    assert deployment.wait_until(lambda: deployment.owner_name("0") not in (owner, None), 8)
    runs_job(deployment, "b" * 16)
    assert deployment.state(kept) in ("queued", "running")
    assert pids(deployment) == before
    assert "event=row_skipped" in deployment.log(deployment.owner_name("0"))


@pytest.mark.parametrize("name", list(ODD_VALUES))
def test_odd_lease_rows_are_replaced(start_queue_deployment, name):
    """The lease of a shard and that of a worker; their epochs do not go back."""
    deployment = start_queue_deployment(workers=2, shards=1)
    before = pids(deployment)
    runs_job(deployment, "a" * 16)

    def epoch(table, key, part):
        row = deployment.store.value(table, key, part=part)
        return row.get("epoch", 0) if isinstance(row, dict) and row.get("owner") else 0
    assert deployment.wait_until(lambda: epoch("worker", "agent-1", "agent-1"))
    shard, lease = epoch("shard", "0", "0"), epoch("worker", "agent-1", "agent-1")
    deployment.store.put("shard", "0", ODD_VALUES[name], part="0")
    deployment.store.put("worker", "agent-1", ODD_VALUES[name], part="agent-1")
    assert deployment.wait_until(lambda: epoch("shard", "0", "0") > shard, 12)
    assert deployment.wait_until(lambda: epoch("worker", "agent-1", "agent-1") > lease, 12)
    runs_job(deployment, "b" * 16, 20)
    assert pids(deployment) == before
    assert deployment.violations() == []


def test_tasks_of_lost_worker_move_despite_odd_lease_row(start_queue_deployment):
    deployment = start_queue_deployment(workers=2, shards=1)
    job = "a" * 16
    assert deployment.submit(job, {"ms": 2500}, [{"count": 2, "cpu": 3000}]) == 200
    assert deployment.wait_until(lambda: all(w.running for w in deployment.workers.values()))
    lost = next(n for n in deployment.workers if n != deployment.owner_name("0"))
    deployment.workers[lost].mode = "dark"
    deployment.signal_process(lost)
    deployment.store.put("worker", lost, DEEP, part=lost)
    wait_for_state(deployment, job, 25)
    assert deployment.violations() == []
    deployment.workers[lost].mode = ""


def with_odd_rows(rows):
    """An answer's text with odd rows among its rows, which JSON encoders do not produce."""
    odd = [b'{"key":"!a","table":"owner","ver":' + TOO_LARGE + b',"value":""}',
           b'{"key":"!b","table":"owner","ver":1,"value":' + DEEP + b"]" * len(DEEP) + b"}",
           b'{"key":7,"ver":1e999}', b"7", b"null", b'[{"a":1}]', b'{"ver":"x","key":"!c"}']
    return b"[" + b",".join(odd + [json.dumps(row).encode() for row in rows]) + b"]"


ODD_ANSWERS = {
    "deep": lambda body: DEEP, "text": lambda body: b"<html>", "array": lambda body: b"[]",
    "too large": lambda body: b'{"ver":' + TOO_LARGE + b',"rows":[]}',
    "negative": lambda body: b'{"ver":-1,"rows":[]}', "rows": lambda body: b'{"ver":1,"rows":7}',
    "types": lambda body: b'{"ver":"x","rows":{"a":1}}',
}


@pytest.mark.parametrize("name", list(ODD_ANSWERS))
def test_odd_answers_of_table_service_count_as_failed_calls(start_queue_deployment, name):
    deployment = start_queue_deployment()
    before = pids(deployment)
    calls = []

    def alter(path, _, body):
        calls.append(path)
        return ODD_ANSWERS[name](body)
    deployment.store.alter_answer = alter
    # The transaction takes effect; its answer does not tell so.
    # 412 for a transaction that is sent again tells, without its body, that the job is stored.
    assert deployment.submit("a" * 16, {"ms": 50}) in (200, 504, 0)
    time.sleep(0.7)
    deployment.store.alter_answer = None
    # Three daemons that retry each call at once would make thousands.
    assert len(calls) < 500
    runs_job(deployment, "a" * 16, 15)
    deployment.put_config(queues=("jobs", "more"))
    assert deployment.wait_until(lambda: deployment.request("GET", "/more/")[0] == 200, 3)
    assert pids(deployment) == before
    assert deployment.violations() == []
    assert len([e for e in deployment.history() if e[0] == "start"]) == 1


def test_odd_rows_in_an_answer_are_skipped(start_queue_deployment):
    """The answer itself is odd: the service returns rows that no encoder writes."""
    deployment = start_queue_deployment(workers=3)
    before = pids(deployment)

    def alter(path, code, body):
        if path == "/rows-tx" or code != 200:
            return body
        members = {k: v for k, v in body.items() if k != "rows"}
        return json.dumps(members).encode()[:-1] + b',"rows":' + with_odd_rows(body["rows"]) + b"}"
    deployment.store.alter_answer = alter
    deployment.start("entry-2")
    assert deployment.wait_until(lambda: deployment.ready(2), 8)
    deployment.put_config(queues=("jobs", "more"))
    assert deployment.wait_until(lambda: deployment.request("GET", "/more/")[0] == 200, 3)
    runs_job(deployment, "a" * 16)
    owner = deployment.owner_name("0")
    deployment.signal_process(owner)
    del deployment.processes[owner]
    assert deployment.wait_until(lambda: deployment.owner_name("0") not in (owner, None), 12)
    runs_job(deployment, "b" * 16, 15)
    deployment.store.alter_answer = None
    after = pids(deployment)
    assert all(after[name] == before[name] for name in before if name != owner)
    assert deployment.violations() == []


ODD_WORKER_ANSWERS = {
    "deep": lambda body: DEEP, "text": lambda body: b"{", "array": lambda body: b"[1]",
    "too large": lambda body: b'{"server_time_ms":' + TOO_LARGE + b"}",
    "clock": lambda body: json.dumps(dict(body, server_time_ms=1 << 62)).encode(),
    "run": lambda body: json.dumps(
        dict(body, running=[[f"{'a' * 16}.0.0.0", (1 << 32) + 1, "", 0, 0]])).encode(),
    "task": lambda body: json.dumps(dict(body, running=[[7, 1, "", 0, 0]])).encode(),
    "row": lambda body: json.dumps(dict(body, running=[{"a": 1}])).encode(),
    "finished": lambda body: json.dumps(dict(body, finished=7)).encode(),
    "end": lambda body: json.dumps(
        dict(body, finished=[["x", *row[1:]] for row in body["finished"]] or [[1]])).encode(),
}


@pytest.mark.parametrize("name", list(ODD_WORKER_ANSWERS))
def test_odd_lists_of_worker_count_as_failed_polls(start_queue_deployment, name):
    """A task that a worker has started is neither started again nor given up."""
    deployment = start_queue_deployment(workers=1, shards=1)
    before = pids(deployment)
    worker = deployment.workers["agent-1"]
    assert deployment.submit("a" * 16, {"ms": 800}) == 200
    assert deployment.wait_until(lambda: worker.history, 5)
    worker.alter_answer = lambda path, _, body: ODD_WORKER_ANSWERS[name](body) \
        if path == "/hold" else body
    time.sleep(1.5)
    assert deployment.state("a" * 16) != "completed"
    worker.alter_answer = None
    wait_for_state(deployment, "a" * 16, 12)
    assert [e[0] for e in deployment.history() if e[0] != "noted"] == ["start", "end"]
    assert pids(deployment) == before


@pytest.mark.parametrize("name", ["deep", "text", "array", "too large"])
def test_odd_answers_of_worker_to_starts_leave_them_unknown(start_queue_deployment, name):
    """The run may have begun: it is stopped before another one starts."""
    deployment = start_queue_deployment(workers=1, shards=1)
    before = pids(deployment)
    worker = deployment.workers["agent-1"]
    worker.alter_answer = lambda path, _, body: ODD_WORKER_ANSWERS[name](body) \
        if path == "/run-start" else body
    assert deployment.submit("a" * 16, {"ms": 800}) == 200
    assert deployment.wait_until(lambda: worker.history, 5)
    worker.alter_answer = None
    wait_for_state(deployment, "a" * 16, 12)
    assert "event=start_unanswered" in deployment.log("agent-1")
    assert deployment.violations() == []
    assert pids(deployment) == before


def test_run_with_a_foreign_name_costs_itself_alone(start_queue_deployment):
    """Names that no task of the system has, and numbers that would be those of another task."""
    deployment = start_queue_deployment(workers=1, shards=1)
    worker = deployment.workers["agent-1"]
    names = ["x", "", "a.b", "a" * 200 + ".0.0.0", f"{'a' * 16}.0.0.{1 << 32}", "a.0.0.-1",
             "a.0.0.0.0", "....", "a.0.0.x"]

    def alter(path, _, body):
        if path != "/hold":
            return body
        running = [[name, 1, "", 0, 0] for name in names]
        return dict(body, running=running + body["running"])
    worker.alter_answer = alter
    runs_job(deployment, "a" * 16)
    pids(deployment)
    assert deployment.violations() == []


def put_rows(deployment, rows):
    """Writes rows (table, key, value) into the table service of the daemons entry and agent."""
    puts = [{"t": table, "k": key, "d": value} for table, key, value in rows]
    body = json.dumps({"checks": [], "puts": puts})
    assert http("POST", f"{deployment.platform_url()}/v1/txn", body)[0] == 200


def live(deployment):
    """Process ids by name; fails if a process has ended."""
    assert all(p.poll() is None for p in deployment.processes.values())
    return {name: process.pid for name, process in deployment.processes.items()}


ODD_TEXTS = ["[" * 100000, '{"a":' * 100000, '{"epoch":' + TOO_LARGE.decode() + "}",
             '{"epoch":1e999}', "not JSON", "[]", "", '{"owner":7,"at_ms":"x","epoch":[]}',
             '{"owner":"x","address":"127.0.0.1:99999","at_ms":99999999999999,"epoch":1}',
             '{"owner":"x","address":"host:","http":"host:99999","at_ms":99999999999999}',
             '{"owner":"x","address":"127.0.0.1:0","at_ms":99999999999999,"ttl_ms":-5}']


def test_odd_rows_among_entries_workers_and_queues(start_deployment):
    deployment = start_deployment(workers=3)
    before = live(deployment)
    rows = []
    for number, text in enumerate(ODD_TEXTS):
        rows += [(table, f"{prefix}{number}", text) for table in ("entry", "worker", "queue")
                 for prefix in ("!odd-", "worker-01-odd-")]
        rows += [("job", f"renderings/odd{number}", text), ("task", f"renderings/odd/{number}", text),
                 ("jobdone", f"renderings/0dd{number}", text), ("history", f"!{number}", text)]
    put_rows(deployment, rows)
    # The rows are read every 3 s.
    time.sleep(4)
    status, body = submit(deployment)
    assert status == 201
    assert wait_for_job_end(deployment, "renderings", body["id"])["state"] == "done"
    for path in ("/status", "/jobs", "/jobs?team=renderings", "/charges", "/workers",
                 "/table/history"):
        assert deployment.call("GET", path)[0] == 200, path
    for number in range(len(ODD_TEXTS)):
        assert deployment.call("GET", f"/jobs/0dd{number}?team=renderings")[0] in (200, 400, 500)
        assert deployment.call("DELETE", f"/jobs/odd{number}?team=renderings")[0] != 200
    assert live(deployment) == before


@pytest.mark.parametrize("text", ODD_TEXTS[:1] + ODD_TEXTS[2:3] + ODD_TEXTS[7:8])
def test_odd_lease_rows_of_worker_and_queue_are_replaced(start_deployment, text):
    deployment = start_deployment(workers=2)
    before = live(deployment)
    owner = next(q for q in deployment.get("/status")["queues"] if q["queue"] == "renderings")
    assert owner["owner"]
    put_rows(deployment, [("worker", "worker-01", text), ("queue", "renderings", text),
                          ("entry", "entry-1", text)])

    def job_ends():
        status, body = submit(deployment, key="after")
        return body if status in (200, 201) else None
    body = wait_for(job_ends, 30, "submission")
    assert wait_for_job_end(deployment, "renderings", body["id"])["state"] == "done"
    assert live(deployment) == before


ODD_ENTRY_BODIES = [DEEP, DEEP_OBJECT, b'{"team":' + DEEP, b'{"count":' + TOO_LARGE + b"}",
                    b'{"team":"renderings","kind":"rendering","cores":1e999}',
                    b'{"team":"renderings","kind":"rendering","count":[1]}',
                    b'{"team":["renderings"],"kind":{}}',
                    b'{"team":"renderings","kind":"rendering","key":"a\\u0000b"}',
                    b'{"team":"renderings","kind":"rendering","payload":"\\ud800\\n"}']


def test_odd_bodies_at_an_entry_are_refused(shared):
    before = live(shared)
    for body in ODD_ENTRY_BODIES:
        status, _, answer = shared.call("POST", "/jobs", body)
        answer = json.loads(answer)
        assert status == 400 and answer["remedy"], (body[:60], answer)
    status, body = submit(shared)
    assert status == 201
    wait_for_job_end(shared, "renderings", body["id"])
    assert live(shared) == before
