"""Short soak runs: each accepted job reaches its expected state under random faults."""

import itertools
import time
from types import SimpleNamespace

import pytest
from hub import QueueDeployment
from soak import Soak
from standins import Worker

FAULTS_DURATION_S = 6
# Second octets of the loopback addresses of the deployments.
FREE_NETS = itertools.count(211)


@pytest.mark.parametrize("seed", [1, 23, 325, 1006])
def test_the_queue_daemons_under_faults_of_a_seed(seed):
    soak = Soak(seed, FAULTS_DURATION_S, next(FREE_NETS))
    assert soak.run() == []
    assert soak.accepted


@pytest.mark.parametrize("lapses", [False, True], ids=["held", "lapsed"])
def test_an_end_noted_after_the_lease_lapsed_does_not_count(lapses):
    net = next(FREE_NETS)
    worker = Worker(1, f"127.{net}.0.1:8165", f"127.{net}.0.1:8166")
    worker.sends_heartbeats = False
    checked = SimpleNamespace(workers={"agent-1": worker})
    task = "00000000000000d0.0.0.0"

    def order(path, **body):
        expires_ms = worker.clock_ms() + (200 if lapses else 2000)
        return worker.perform(path, {"expires_ms": expires_ms, "fencing_token": 1, **body}, {})

    try:
        order("/run-start", task=task, run=1, spec='{"ms": 20}')
        time.sleep(0.5)
        assert worker.history[-1][4] == "done"
        order("/hold", ack_seq=1)
        assert worker.history[-1][0] == "noted"
        order("/run-start", task=task, run=2, spec='{"ms": 20}')
        assert len(QueueDeployment.violations(checked)) == (0 if lapses else 1)
    finally:
        worker.close()
