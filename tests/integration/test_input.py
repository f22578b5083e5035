"""Invalid input is refused with a typed error and a remedy, and changes nothing."""

import json
import socket

import pytest
from deploy import http, table_text
from jobs import submit


def parse_error(answer):
    """Status, error type and message of an answer; checks that it names a remedy."""
    body = json.loads(answer[2])
    assert body["remedy"], body
    return answer[0], body["error"], body["message"]


REFUSED_JOBS = [
    ({"team": "nobody"}, 400, "team nobody is not in the table"),
    ({"cores": -1}, 400, "cores: -1"),
    ({"memory": "1"}, 400, "memory: \"1\""),
    ({"count": 0}, 400, "count: 0"),
    ({"count": 20000}, 400, "count: 20000"),
    ({"count": "3"}, 400, "count: give a whole number"),
    ({"accelerators": -2}, 400, "accelerators: -2"),
    ({"run_time": "10"}, 400, "run_time: \"10\""),
    ({"kind": "Bad Kind"}, 400, "kind: \"Bad Kind\""),
    ({"surprise": 1}, 400, "unknown member \"surprise\""),
    ({"cores": 64}, 422, "a task would never fit"),
    ({"accelerators": 3}, 422, "the most that workers have"),
    ({"team": "quotes", "accelerators": 1}, 422, "team quotes is limited to"),
    ({"zones": ["nowhere"]}, 422, "no worker is in the regions and zones"),
]


@pytest.mark.parametrize("job,status,message", REFUSED_JOBS, ids=[str(j[0]) for j in REFUSED_JOBS])
def test_invalid_job_is_refused(shared, job, status, message):
    got, body = submit(shared, **job)
    assert got == status and message in body["message"] and body["remedy"]
    # Only later tests of this module submit valid jobs.
    assert shared.get("/jobs")["jobs"] == []


def test_body_that_is_not_json_object_is_refused(shared):
    assert parse_error(shared.call("POST", "/jobs", "{cut"))[:2] == (400, "bad_input")
    assert parse_error(shared.call("POST", "/jobs", "[]"))[:2] == (400, "bad_input")


REFUSED_TABLES = [
    ("drop", "team quotes is missing"),
    ("twice", "has a row already"),
    ("sum", "the weights add up to"),
    ("negative", "cores \"-4\""),
    ("header", "the header is not accepted"),
]


@pytest.mark.parametrize("fault,message", REFUSED_TABLES, ids=[t[0] for t in REFUSED_TABLES])
def test_invalid_table_is_refused_and_not_applied(shared, fault, message):
    rows = [dict(row) for row in shared.spec["weights"]]
    if fault == "drop":
        rows[1]["weight"] += rows.pop(0)["weight"]
    if fault == "twice":
        rows.append(dict(rows[0]))
    if fault == "sum":
        rows[0]["weight"] += 1
    if fault == "negative":
        rows[0]["cores"] = -4
    text = table_text(rows)
    if fault == "header":
        text = text.replace("weight", "wait", 1)
    before = shared.get("/table")
    status, error, got = parse_error(shared.call("PUT", "/table", text,
                                                 {"If-Match": str(before["version"])}))
    assert (status, error) == (400, "bad_input") and message in got
    assert shared.get("/table")["version"] == before["version"]


def test_edit_without_or_with_outdated_version_is_refused(shared):
    text = table_text(shared.spec["weights"])
    assert parse_error(shared.call("PUT", "/table", text))[0] == 400
    status, _, body = shared.call("PUT", "/table", text, {"If-Match": "0"})
    body = json.loads(body)
    assert status == 409 and body["error"] == "conflict" and body["current"]["version"] == 1


def test_invalid_service_requests_are_refused(shared):
    call = shared.call
    assert parse_error(call("GET", "/service/nothing/x", headers={"X-Team": "quotes"}))[0] == 404
    assert parse_error(call("GET", "/service/atelier-desk/x", headers={"X-Team": "no"}))[0] == 403
    assert parse_error(call("GET", "/service/atelier-desk/x", headers={
        "X-Team": "quotes", "X-Timeout-Ms": "0"}))[0] == 400
    assert parse_error(call("GET", "/nothing"))[0] == 404
    assert parse_error(call("GET", "/jobs", token="stranger"))[:2] == (403, "denied")


def test_body_above_size_limit_is_refused(shared):
    status, error, _ = parse_error(shared.call("POST", "/service/atelier-desk/x", b"x" * (1 << 20) +
                                               b"y", {"X-Team": "quotes"}))
    assert (status, error) == (413, "too_large")


def test_truncated_body_is_not_forwarded(shared):
    before = len(shared.history())
    host = shared.ip("entry-1")
    with socket.create_connection((host, 8080)) as connection:
        connection.sendall(b"POST /service/atelier-desk/cut HTTP/1.1\r\nHost: x\r\nAuthorization: "
                           b"Bearer quotes-secret\r\nContent-Length: 1000\r\n\r\nonly this")
    assert shared.call("GET", "/service/atelier-desk/whole", token="quotes-secret")[0] == 200
    requests = [e for e in shared.history()[before:] if e["event"] == "request"]
    assert len(requests) == 1


def test_team_token_is_limited_to_its_own_team(shared):
    status, body = submit(shared, token="renderings-secret", work_ms=50)
    assert status == 201
    other_token = "invoices-secret"
    assert shared.call("GET", f"/jobs/{body['id']}", token=other_token)[0] == 404
    assert shared.call("DELETE", f"/jobs/{body['id']}?team=renderings", token=other_token)[0] == 404
    assert json.loads(shared.call("GET", "/jobs", token=other_token)[2])["jobs"] == []
    assert submit(shared, token=other_token)[0] == 403
    assert shared.call("PUT", "/table", "x", {"If-Match": "1"}, token=other_token)[0] == 403
    assert shared.call("POST", "/workers/worker-01/drain", token=other_token)[0] == 403
    assert shared.call("GET", "/timeline", token=other_token)[0] == 403
    charges = json.loads(shared.call("GET", "/charges", token=other_token)[2])["charges"]
    assert [row["team"] for row in charges] == ["invoices"]


def test_health_readiness_and_metrics(shared):
    for url in (shared.entry_url(), shared.agent_url("worker-01")):
        assert http("GET", url + "/healthz")[0] == 200
        assert http("GET", url + "/readyz")[0] == 200
        text = http("GET", url + "/metrics")[2].decode()
        assert "# TYPE catkinlug_requests counter" in text
        assert "catkinlug_request_us{quantile=\"0.99\"}" in text


def test_entry_survives_malformed_internal_traffic(shared):
    host = shared.ip("entry-1")
    for payload in (b"\xff" * 64, b"GET / HTTP/1.0\r\n\r\n", b"\x00" * 500):
        with socket.create_connection((host, 7000)) as connection:
            connection.sendall(payload)
    assert shared.call("GET", "/service/atelier-desk/x", token="quotes-secret")[0] == 200
