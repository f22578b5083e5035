"""Jobs that exceed what one message or one row holds, on real queue daemons."""

import itertools
import time

import pytest
from hub import wait_for_state

JOB_IDS = (f"{number:016x}" for number in itertools.count(1))


@pytest.fixture
def start_deployment(start_queue_deployment):
    """The deployments of this module are those of the queue daemons."""
    return start_queue_deployment


def starts(deployment):
    return [event for event in deployment.history() if event[0] == "start"]


def test_tasks_with_more_ends_than_a_poll_lists_run_once(start_deployment):
    """A poll lists 500 ends. The runs behind these must not count as lost."""
    deployment = start_deployment(workers=2, shards=1)
    job, tasks = next(JOB_IDS), 1400
    assert deployment.submit(job, {"ms": 4000}, [{"count": tasks, "cpu": 1}]) == 200
    assert deployment.wait_until(lambda: any(e[0] == "end" for e in deployment.history()), 15)
    # All tasks end while nobody can store their ends.
    owner = deployment.owner_name("0")
    deployment.store.refused_callers = {f"127.{deployment.net}.0.{owner.split('-')[1]}"}
    assert deployment.wait_until(lambda: deployment.owner_name("0") not in (owner, None), 12)
    # The new owner compares the claims with the lists of the agents.
    time.sleep(2)
    deployment.store.refused_callers = set()
    wait_for_state(deployment, job, 20)
    assert deployment.violations() == []
    assert len(starts(deployment)) == tasks


def test_tasks_beyond_the_list_of_a_heartbeat_run_once(start_deployment):
    """A heartbeat lists part of a worker's runs. The others must not count as lost."""
    deployment = start_deployment(workers=1, shards=1)
    job, tasks = next(JOB_IDS), 2400
    assert deployment.submit(job, {"ms": 7000}, [{"count": tasks, "cpu": 1}]) == 200
    wait_for_state(deployment, job, 40)
    assert deployment.violations() == []
    assert len(starts(deployment)) == tasks


def test_schedule_with_many_due_occurrences_does_not_hold_up_other_jobs(start_deployment):
    """All due occurrences began at once, and their row was larger than the table service stores."""
    deployment = start_deployment(workers=2, shards=1)
    schedule, occurrences = next(JOB_IDS), 3000
    body = {"spec": "{}", "steps": [{"count": 1, "cpu": 5}], "run_count": occurrences,
            "interval_ms": 1000, "start_at_ms": int(time.time() * 1000) - occurrences * 1000}
    assert deployment.request("POST", f"/jobs/{schedule}", body)[0] == 200
    jobs = [next(JOB_IDS) for _ in range(5)]
    for job in jobs:
        assert deployment.submit(job, {"ms": 50}) == 200
    for job in jobs:
        wait_for_state(deployment, job, 10)
    wait_for_state(deployment, schedule, 40)
    assert deployment.store.refused_for_size == 0
    assert deployment.violations() == []
    assert len(starts(deployment)) == occurrences + len(jobs)


def test_job_too_large_to_be_stored_is_refused(start_deployment):
    """Escaped, the spec is longer than a row. The answer tells the caller not to try again."""
    deployment = start_deployment(workers=1, shards=1)
    large, small = next(JOB_IDS), next(JOB_IDS)
    body = {"spec": "\x01" * 16000, "steps": [{"count": 1, "cpu": 1000}]}
    assert deployment.request("POST", f"/jobs/{large}", body)[0] == 413
    assert deployment.state(large) == 410
    assert deployment.submit(small, {"ms": 50}) == 200
    wait_for_state(deployment, small)
