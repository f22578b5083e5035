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
