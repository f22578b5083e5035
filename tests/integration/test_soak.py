"""Short soak runs: each accepted job reaches its expected state under random faults."""

import itertools
import os
import time
from types import SimpleNamespace

import pytest
from cancel_check import CancelCheck
from config_check import ConfigCheck
from hub import QueueDeployment
import soak as rig
from soak import Soak
from standins import Worker, call

FAULTS_DURATION_S = 6
# Second octets of the loopback addresses; TEST_NET_OFFSET separates the runs of several checkouts.
FIRST_NET, NETS = 211 + int(os.environ.get("TEST_NET_OFFSET", "0")), 5
FREE_NETS = itertools.cycle(range(FIRST_NET, FIRST_NET + NETS))


# Calls that the next incarnation of a worker carries out late.
LATE = ("worker_late", "worker_restart_and_cut")
# Cuts between daemons, and between daemons and the table service.
CUTS = ("cut_off", "cut_daemons", "cut_sent", "cut_received", "cut_pair", "cut_store",
        "cut_store_answers", "cut_worker_restart")


@pytest.mark.parametrize("seed, often", [(1, ()), (23, ()), (325, ()), (1006, ()), (43002, LATE),
                                         (58000, CUTS)])
def test_the_queue_daemons_under_faults_of_a_seed(seed, often):
    soak = Soak(seed, FAULTS_DURATION_S, next(FREE_NETS), often)
    assert soak.run() == []
    assert soak.accepted


def test_removed_agents_and_planned_stops():
    """Nothing else disturbs, so that the check of cancellations applies all the time."""
    soak = Soak(60001, FAULTS_DURATION_S, next(FREE_NETS), only=("remove", "stop"))
    assert soak.run() == []
    assert soak.accepted
    assert soak.removed


JOB = "00000000000000d0"
TASK = f"{JOB}.0.0.0"


@pytest.fixture
def worker():
    """A worker without an agent."""
    net = next(FREE_NETS)
    created = Worker(1, f"127.{net}.0.1:8165", f"127.{net}.0.1:8166")
    created.sends_heartbeats = False
    yield created
    created.close()


def order(worker, path, lease_ms=5000, **body):
    body = {"task": TASK, "expires_ms": worker.clock_ms() + lease_ms, "fencing_token": 1, **body}
    assert worker.perform(path, body, {})[0] == 200


@pytest.mark.parametrize("lapses", [False, True], ids=["held", "lapsed"])
def test_an_end_noted_after_the_lease_lapsed_does_not_count(worker, lapses):
    lease_ms = 200 if lapses else 2000
    order(worker, "/run-start", lease_ms, run=1, spec='{"ms": 20}')
    time.sleep(0.5)
    assert worker.history[-1][4] == "done"
    order(worker, "/hold", lease_ms, ack_seq=1)
    assert worker.history[-1][0] == "noted"
    order(worker, "/run-start", lease_ms, run=2, spec='{"ms": 20}')
    checked = SimpleNamespace(workers={"agent-1": worker})
    assert len(QueueDeployment.violations(checked)) == (0 if lapses else 1)


def test_a_call_put_off_is_carried_out_by_the_next_incarnation(worker):
    worker.choose_late_delay_s = lambda: 0.2
    worker.is_late = lambda path, body: True
    # A time that has not come on any clock of the next incarnation.
    body = {"task": TASK, "run": 1, "spec": "{}", "fencing_token": 1, "expires_ms": 10**8}
    address = worker.server.server_address[0]
    assert call("POST", f"http://{address}:8165/run-start", body, 0.1)[0] == 0
    former = worker.incarnation
    worker.crash(0.6)
    time.sleep(0.4)
    assert worker.history == []
    time.sleep(0.4)
    assert [event[:1] + event[2:4] for event in worker.history][:1] == [("start", TASK, 1)]
    assert worker.late_starts == [(TASK, 1, worker.incarnation)]
    assert worker.incarnation != former


@pytest.mark.parametrize("calm_s, cancelled_s, started_late, orders, stays",
                         [(9, 8, False, 1, 0), (9, 8, True, 0, 0), (9, 1, False, 0, 0),
                          (1, 8, False, 0, 0), (9, 8, False, 1, 1)])
def test_the_soak_finds_runs_of_cancelled_jobs(worker, monkeypatch, calm_s, cancelled_s,
                                               started_late, orders, stays):
    monkeypatch.setattr(rig, "STOP_GRACE_S", 0.5)
    monkeypatch.setattr(rig, "CONTACT_S", 1.5)
    monkeypatch.setattr(rig, "CANCEL_S", 1.5)
    soak = Soak.__new__(Soak)
    soak.deployment = SimpleNamespace(workers={"agent-1": worker},
                                      state=lambda job, entry: "cancelled")
    now = time.monotonic()
    soak.accepted, soak.cancel_acks = {JOB: now}, {JOB: now - cancelled_s}
    soak.calm_since = now - calm_s
    # The run ends before 3.5 s have passed, or does not.
    order(worker, "/run-start", run=1, spec=f'{{"ms": {5000 if stays else 1500}}}')
    if started_late:
        worker.late_starts.append((TASK, 1, worker.incarnation))
    assert len(soak.find_late_orders()) == orders
    assert len(soak.find_runs_of_ended_jobs()) == stays
    if stays:
        assert time.monotonic() - now > 3.5


@pytest.mark.parametrize("code, age_s, gone_s, calm_s, known, found", [
    (404, 2, None, 9, 0, 0), (404, 4, None, 9, 0, 1), (404, 4, None, 1, 0, 0),
    (503, 4, None, 9, 0, 0), (404, 2, None, 1, 1, 1), (404, 12, None, 9, 1, 0),
    (410, 20, 2, 9, 1, 0), (410, 20, 4, 9, 1, 1), (200, 20, 4, 1, 1, 0)])
def test_the_soak_finds_late_and_reverted_configurations(code, age_s, gone_s, calm_s, known,
                                                         found):
    check = ConfigCheck(SimpleNamespace(), 1, 1)
    now = time.monotonic()
    check.added = {"q1": now - age_s}
    check.removed = {} if gone_s is None else {"q1": now - gone_s}
    check.disturbed = {1: now - calm_s}
    check._check(1, "q1", code, now, known)
    assert len(check.violations) == found


# Times in seconds from the acknowledgement; a worker's stop takes 0.2 s, so that 3.5 s are allowed.
@pytest.mark.parametrize("run, disturbed, late, code, found", [
    ((-1, 3.4), [], False, 200, 0), ((-1, 3.6), [], False, 200, 1), ((-1, 3.6), [], False, 410, 0),
    ((-1, 3.6), [("", -4, -3.1)], False, 200, 1), ((-1, 3.6), [("", -4, -2)], False, 200, 0),
    ((-1, 3.6), [("", 2, 2.1)], False, 200, 0), ((-1, 3.6), [("agent-1", 2, 2.1)], False, 200, 0),
    ((-1, 3.6), [("agent-2", 2, 2.1)], False, 200, 1), ((-1, 9.5), [("", 2, 2.1)], False, 200, 1),
    ((3.6, 3.7), [], False, 200, 1), ((-1, 3.6), [], True, 200, 0), ((1, 8), [], True, 200, 1),
    ((-1, None), [], False, 200, 1)])
def test_the_soak_finds_runs_that_outlast_an_acknowledgement(worker, run, disturbed, late, code,
                                                             found):
    acked = time.monotonic() - 10
    start, end = run
    worker.history = [("start", acked + start, TASK, 1, "")]
    worker.history += [("end", acked + end, TASK, 1, "lapsed")] if end else []
    worker.late_starts = [(TASK, 1, worker.incarnation)] if late else []
    canceller = SimpleNamespace(codes={JOB: code}, acks={JOB: acked}, sent={JOB: acked - 1})
    check = CancelCheck(SimpleNamespace(workers={"agent-1": worker}), canceller)
    check.disturbances["agent-2"] = []
    check.began = acked - 9
    for name, began, ended in disturbed:
        check.disturbances[name].append([acked + began, acked + ended])
    assert len(check.find_outlasting_runs()) == found


@pytest.mark.parametrize("waited_s, disturbed, late", [
    (3.9, [], 0), (4.1, [], 1), (4.1, [("", 2, 2.1)], 0), (4.1, [("agent-1", 2, 2.1)], 1),
    (9.5, [("", 2, 2.1)], 1), (4.1, [("", -4, -2)], 0)])
def test_the_soak_counts_late_acknowledgements(worker, waited_s, disturbed, late):
    sent = time.monotonic() - 10
    canceller = SimpleNamespace(codes={JOB: 200}, acks={JOB: sent + waited_s}, sent={JOB: sent})
    check = CancelCheck(SimpleNamespace(workers={"agent-1": worker}), canceller)
    check.began = sent - 9
    for name, began, ended in disturbed:
        check.disturbances[name].append([sent + began, sent + ended])
    assert check.count_late_acks() == late
