"""A request, a job and a table edit through real processes."""

import json

from deploy import table_text, wait_for
from jobs import submit, wait_for_job_end


def test_request_job_and_table_edit(start_deployment):
    deployment = start_deployment(workers=4)
    status, headers, body = deployment.call("POST", "/service/atelier-desk/quote?ms=5", "board 7",
                                            {"X-Team": "quotes"})
    assert status == 200 and headers["X-Request-Id"]
    assert json.loads(body)["bytes"] == len("board 7")

    status, answer = submit(deployment, count=5, key="wave-1")
    assert status == 201
    repeated_status, repeated = submit(deployment, count=5, key="wave-1")
    assert repeated_status == 200 and repeated["id"] == answer["id"] and repeated["existing"]
    job = wait_for_job_end(deployment, "renderings", answer["id"])
    assert (job["state"], job["done"], job["attempts"]) == ("done", 5, 5)
    starts = [e for e in deployment.history() if e["event"] == "start"]
    assert len(starts) == 5

    rows = [dict(row) for row in deployment.spec["weights"]]
    rows[0]["weight"], rows[1]["weight"] = 25, 35
    status, _, body = deployment.call("PUT", "/table", table_text(rows), {"If-Match": "1"})
    assert status == 200 and json.loads(body)["version"] == 2
    wait_for(lambda: deployment.get("/status", entry=1)["table"]["in_force"] == 4 and
             deployment.get("/status", entry=1)["table"]["version"] == 2, what="edit in force")


def test_trials_example_starts(start_deployment):
    deployment = start_deployment("trials", workers=4)
    status, _, body = deployment.call("GET", "/service/entries/check?ms=2", token="handlers-secret")
    assert status == 200 and json.loads(body)["path"] == "/check"
