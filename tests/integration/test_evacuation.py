"""Evacuation of a zone under load, with real queue daemons.

No task may start in an evacuated zone later than 5 s after the operator's row was written. Workers 1
and 3 are in zone a, workers 2 and 4 in zone b.
"""

import itertools
import threading
import time

JOB_IDS = (f"{number:016x}" for number in itertools.count(0xe7ac))
EVACUATION_S = 5.0
ZONE = "a"


class Load:
    """Submits short jobs in a thread until it is stopped."""

    def __init__(self, deployment):
        self.deployment, self.jobs, self.running = deployment, [], True
        self.thread = threading.Thread(target=self._submit_jobs, daemon=True)
        self.thread.start()

    def _submit_jobs(self):
        while self.running:
            job = next(JOB_IDS)
            if self.deployment.submit(job, {"ms": 150}, [{"count": 2, "cpu": 500}]) == 200:
                self.jobs.append(job)
            time.sleep(0.08)

    def stop(self):
        self.running = False
        self.thread.join()


def starts(deployment, after, zone=ZONE):
    """Times of the starts on workers of a zone after a time."""
    return [event[1] for worker in deployment.workers.values() if worker.zone == zone
            for event in list(worker.history) if event[0] == "start" and event[1] > after]


def evacuate(deployment, value):
    deployment.store.put("op", f"evacuate/{ZONE}", value)
    return time.monotonic()


def check_return(deployment):
    deployment.store.put("op", f"evacuate/{ZONE}", None)
    # A deletion that no watch reports must not hold the zone.
    deployment.store.discard_feed_history()
    deleted = time.monotonic()
    assert deployment.wait_until(lambda: len(starts(deployment, deleted)) > 3, 6), \
        "no work returns"


def test_no_task_starts_in_an_evacuated_zone(start_queue_deployment):
    deployment = start_queue_deployment(workers=4, shards=2, zones=("a", "b"))
    lasting = next(JOB_IDS)
    steps = [{"count": 4, "cpu": 500, "long_running": True, "spread": 1}]
    assert deployment.submit(lasting, {"ms": 120000}, steps) == 200
    assert deployment.wait_until(
        lambda: all(worker.running for worker in deployment.workers.values()), 5)
    load = Load(deployment)
    assert deployment.wait_until(lambda: len(starts(deployment, 0)) > 10, 5)

    # The owner dies as the row is written; its successor and its next process have to know of it.
    owner = deployment.owner_name("0")
    evacuated = evacuate(deployment, {})
    deployment.signal_process(owner)
    time.sleep(1.5)
    deployment.start(owner)
    time.sleep(EVACUATION_S + 3 - 1.5)
    late = starts(deployment, evacuated)
    print("starts after the evacuation:", [round(at - evacuated, 3) for at in late[-3:]])
    assert not [at for at in late if at > evacuated + EVACUATION_S]
    assert len(starts(deployment, evacuated + EVACUATION_S, "b")) > 10, "work goes on elsewhere"
    assert not [event for worker in deployment.workers.values() for event in worker.history
                if lasting in event[2] and event[0] != "start"], "running tasks go on"
    check_return(deployment)

    # An unreadable row, reported by no watch, is an evacuation too.
    evacuated = evacuate(deployment, b"\xff{")
    deployment.store.discard_feed_history()
    time.sleep(EVACUATION_S + 2)
    assert not [at for at in starts(deployment, evacuated) if at > evacuated + EVACUATION_S]
    check_return(deployment)

    load.stop()
    for job in load.jobs:
        assert deployment.wait_until(lambda job=job: deployment.state(job) == "completed", 10), job
    assert deployment.violations() == []
    for agent in ("agent-1", "agent-2"):
        assert "event=zone_evacuated" in deployment.log(agent)
        assert "event=zone_returned" in deployment.log(agent)
