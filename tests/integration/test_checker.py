"""Each rule of the checker reports a history that violates it, and none reports the valid one."""

import copy

import checker
import pytest

IDEMPOTENT_JOB = {"id": "j1", "team": "t", "idempotent": True, "count": 1, "state": "done",
                  "why": "", "used_ms": 100}
NON_IDEMPOTENT_JOB = dict(IDEMPOTENT_JOB, id="j2", idempotent=False)


def event(t_us, name, job="", worker="w1", attempt=1, index=0, **more):
    return dict({"t_us": t_us, "worker": worker, "event": name, "job": job, "index": index,
                 "attempt": attempt, "progress_ms": 0, "used_ms": 0}, **more)


def request(key, http, **more):
    return dict({"op": "request", "key": key, "mode": "post", "http": http, "not_run": False,
                 "whole": http == 200, "error": "", "id": "", "due_us": 1}, **more)


VALID_RUN = {
    "history": [
        event(1, "boot"), event(10, "start", "j1"), event(100, "done", "j1", used_ms=100),
        event(20, "start", "j2"), event(60, "evicted", "j2", used_ms=60),
        event(70, "start", "j2", worker="w2", attempt=2),
        event(110, "done", "j2", worker="w2", attempt=2, used_ms=40),
        event(200, "request", key="r1"),
    ],
    "ops": [request("r1", 200), request("r2", 503, not_run=True, error="not_run"),
            {"op": "job", "key": "", "http": 201, "id": "j1", "mode": "", "not_run": False},
            {"op": "job", "key": "", "http": 201, "id": "j2", "mode": "", "not_run": False}],
    "jobs": [IDEMPOTENT_JOB, NON_IDEMPOTENT_JOB], "edits": [{"version": 2, "by": "a"}],
    "table_history": [{"version": 1, "by": "s"}, {"version": 2, "by": "a"}],
    "final_versions": {"w1": 2}, "versions": [("w1", 1, 1), ("w1", 1, 2), ("w1", 9, 0)],
    "drains": [("w1", 1_000_000, 9_000_000)], "stops": [("entry-1", 0, "0")], "fenced": set(),
    "cancelled": set(), "fail_all": False, "all_ended": True, "charged_batch": 200,
    "metered_service": 7, "charged_service": 7,
}


def violated_rules(change):
    """Names of the rules that a modified copy of the valid run violates."""
    run = copy.deepcopy(VALID_RUN)
    change(run)
    return {rule for rule, _, _ in checker.find_violations(run)}


def add_events(*events):
    return lambda run: run["history"].extend(events)


def set_job(**values):
    return lambda run: run["jobs"][0].update(values)


# (rule, change of the valid run that violates it). In the history of the valid run, index 4 is the
# eviction of j2 and the last event is request r1.
CASES = [
    ("never_in_two_places", add_events(event(50, "start", "j1", worker="w2", attempt=2),
                                       event(99, "evicted", "j1", worker="w2", attempt=2))),
    ("never_over_capacity", add_events(event(5, "over_capacity"))),
    ("at_most_once", lambda run: run["history"].__setitem__(4, event(60, "failed", "j2"))),
    ("finishes_once", add_events(event(150, "start", "j1", attempt=2))),
    ("not_run_means_not_run", add_events(event(210, "request", key="r2"))),
    ("request_at_most_once", add_events(event(210, "request", key="r1"))),
    ("answers_are_whole", lambda run: run["ops"][0].update(whole=False)),
    ("answers_are_whole", lambda run: run["history"].pop()),
    ("accepted_jobs_end", set_job(state="running")),
    ("accepted_jobs_end", lambda run: run["jobs"].pop(0)),
    ("accepted_jobs_end", set_job(state="cancelled")),
    ("accepted_jobs_end", set_job(state="failed")),
    ("done_jobs_ran", set_job(count=2)),
    ("edits_keep_their_order", lambda run: run["edits"].append({"version": 2, "by": "b"})),
    ("edits_keep_their_order", lambda run: run["final_versions"].update(w1=1)),
    ("versions_never_fall", lambda run: run["versions"].append(("w1", 1, 1))),
    ("leaving_worker_gets_nothing", add_events(event(5_000_000, "request", key="r9"))),
    ("graceful_stops_cut_nothing", lambda run: run["stops"].append(("agent-01", 0, "some"))),
    ("charges_equal_use", lambda run: run.update(charged_batch=199)),
    ("charges_equal_use", lambda run: run.update(charged_service=6)),
]


def test_valid_history_has_no_violations():
    assert checker.find_violations(copy.deepcopy(VALID_RUN)) == []


@pytest.mark.parametrize("rule,change", CASES, ids=[f"{c[0]}-{i}" for i, c in enumerate(CASES)])
def test_rule_reports_violation(rule, change):
    assert rule in violated_rules(change)


def test_each_rule_has_a_violating_history():
    assert {rule.__name__ for rule in checker.RULES} == {case[0] for case in CASES}
