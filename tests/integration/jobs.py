"""Helpers for tests that submit jobs."""

import json

from deploy import wait_for


def submit(deployment, token=None, **job):
    """Submits a job of the team renderings; returns status and decoded answer."""
    body = {"team": "renderings", "kind": "rendering", "count": 1, "cores": 2, "memory": "1GB",
            "run_time": "1s"}
    work_ms = job.pop("work_ms", 200)
    body["payload"] = json.dumps({"work_ms": work_ms, "fail": job.pop("fail", False)})
    body.update(job)
    options = {"token": token} if token else {}
    status, _, answer = deployment.call("POST", "/jobs", json.dumps(body), **options)
    return status, json.loads(answer)


def wait_for_job_end(deployment, team, job_id, timeout_s=60):
    """Waits until a job has ended and returns the job."""
    def job_if_ended():
        job = deployment.get(f"/jobs/{job_id}?team={team}")
        return job if job["state"] in ("done", "failed", "cancelled") else None
    return wait_for(job_if_ended, timeout_s, f"end of job {job_id}")


def wait_for_task_starts(deployment, job_id, count=1):
    """Waits until the workers have started at least count tasks of a job."""
    return wait_for(lambda: len([e for e in deployment.history() if e["event"] == "start" and
                                 e["job"] == job_id]) >= count, what="start of tasks")
