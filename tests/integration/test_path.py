"""One request, one job and one edit through real processes."""

import json

from deploy import table_text, wait_for


def submit(deployment, **job):
    body = {"team": "renderings", "kind": "rendering", "count": 1, "cores": 2, "memory": "1GB",
            "run_time": "1s", "payload": json.dumps({"work_ms": 200})}
    body.update(job)
    status, _, answer = deployment.call("POST", "/jobs", json.dumps(body))
    return status, json.loads(answer)


def job_state(deployment, team, job_id):
    return deployment.get(f"/jobs/{job_id}?team={team}")


def wait_done(deployment, team, job_id, timeout_s=30):
    def ended():
        job = job_state(deployment, team, job_id)
        return job if job["state"] in ("done", "failed", "cancelled") else None
    return wait_for(ended, timeout_s, f"end of job {job_id}")


def test_request_job_and_edit(deploy):
    deployment = deploy(workers=4)
    status, headers, body = deployment.call("POST", "/service/atelier-desk/quote?ms=5", "board 7",
                                            {"X-Team": "quotes"})
    assert status == 200 and headers["X-Request-Id"]
    assert json.loads(body)["bytes"] == len("board 7")

    status, answer = submit(deployment, count=5, key="wave-1")
    assert status == 201
    again, same = submit(deployment, count=5, key="wave-1")
    assert again == 200 and same["id"] == answer["id"] and same["existing"]
    job = wait_done(deployment, "renderings", answer["id"])
    assert (job["state"], job["done"], job["attempts"]) == ("done", 5, 5)
    starts = [e for e in deployment.history() if e["event"] == "start"]
    assert len(starts) == 5

    rows = [dict(row) for row in deployment.spec["weights"]]
    rows[0]["weight"], rows[1]["weight"] = 25, 35
    status, _, body = deployment.call("PUT", "/table", table_text(rows), {"If-Match": "1"})
    assert status == 200 and json.loads(body)["version"] == 2
    wait_for(lambda: deployment.get("/status", entry=1)["table"]["in_force"] == 4 and
             deployment.get("/status", entry=1)["table"]["version"] == 2, what="edit in force")
