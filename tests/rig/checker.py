"""Checks the recorded history of a run.

Each rule returns its violations as (text, subject). The subject is the job, worker, process or
request concerned, "table" or "charges".
"""

RUN_END_EVENTS = {"done", "failed", "evicted", "killed"}
# Time until all entries and owners have learnt that a worker drains.
DRAIN_GRACE_US = 3_000_000


def task_key(event):
    return event["job"], event["index"]


def run_intervals(history):
    """Intervals in which attempts ran, by task: (start, end, worker, attempt), times in us."""
    open_runs = {}
    intervals = {}

    def close_interval(key, at_us):
        start = open_runs.pop(key, None)
        if start is not None:
            worker, job, index, attempt = key
            intervals.setdefault((job, index), []).append((start, at_us, worker, attempt))

    for event in sorted(history, key=lambda e: e["t_us"]):
        name, worker = event["event"], event["worker"]
        key = (worker, event["job"], event["index"], event["attempt"])
        if name in ("start", "resumed"):
            open_runs.setdefault(key, event["t_us"])
        elif name == "paused":
            # at_us is the end of the lease, which may precede the start of the task.
            close_interval(key, max(event.get("at_us", event["t_us"]), open_runs.get(key, 0)))
        elif name in RUN_END_EVENTS:
            close_interval(key, event["t_us"])
        elif name in ("boot", "worker_dead"):
            for worker_key in [k for k in open_runs if k[0] == worker]:
                close_interval(worker_key, event["t_us"])
    for key in list(open_runs):
        close_interval(key, float("inf"))
    return intervals


def never_in_two_places(run):
    violations = []
    # An interval is (start, end, worker, attempt).
    for task, intervals in run_intervals(run["history"]).items():
        intervals.sort()
        for before, after in zip(intervals, intervals[1:]):
            if after[0] < before[1]:
                violations.append((f"task {task} attempt {after[3]} started on {after[2]} while "
                                   f"attempt {before[3]} was running on {before[2]}", task[0]))
    return violations


def never_over_capacity(run):
    return [(f"{event['worker']} was given tasks beyond its capacity", event["worker"])
            for event in run["history"] if event["event"] == "over_capacity"]


def at_most_once(run):
    """A task that is not idempotent starts again only after an eviction."""
    non_idempotent_jobs = {job["id"] for job in run["jobs"] if not job["idempotent"]}
    # By task: the last attempt as (number, "started" or the event that ended it).
    last_attempts = {}
    violations = []
    for event in sorted(run["history"], key=lambda e: e["t_us"]):
        if event["job"] not in non_idempotent_jobs:
            continue
        key = task_key(event)
        if event["event"] == "start":
            last = last_attempts.get(key)
            if last and last[0] != event["attempt"] and last[1] != "evicted":
                violations.append((f"task {key} is not idempotent; attempt {event['attempt']} "
                                   f"started after attempt {last[0]} was {last[1]}", key[0]))
            last_attempts[key] = (event["attempt"], "started")
        elif event["event"] in RUN_END_EVENTS and \
                last_attempts.get(key, (None,))[0] == event["attempt"]:
            last_attempts[key] = (event["attempt"], event["event"])
    return violations


def finishes_once(run):
    """A finished task does not start again, unless its end may not have been reported.

    The end may not have been reported if the worker was fenced at any time, or if it has an event
    worker_dead, killed or lease_lost after the end.
    """
    done_events = {}
    lost_at = {}
    violations = []
    for event in sorted(run["history"], key=lambda e: e["t_us"]):
        if event["event"] in ("worker_dead", "killed", "lease_lost"):
            lost_at[event["worker"]] = event["t_us"]
        if event["event"] == "done":
            done_events[task_key(event)] = event
        if event["event"] == "start" and task_key(event) in done_events:
            done_event = done_events[task_key(event)]
            if done_event["worker"] in run["fenced"]:
                continue
            if lost_at.get(done_event["worker"], -1) < done_event["t_us"]:
                violations.append((f"task {task_key(event)} was done on {done_event['worker']} "
                                   f"and started again on {event['worker']}", event["job"]))
    return violations


def request_events_by_key(run):
    """Requests that backend servers received, by the key that the load generator gave them."""
    events_by_key = {}
    for event in run["history"]:
        if event["event"] == "request" and event.get("key"):
            events_by_key.setdefault(event["key"], []).append(event)
    return events_by_key


def not_run_means_not_run(run):
    events_by_key = request_events_by_key(run)
    return [(f"request {op['key']} ({op['mode']}) was answered \"not run\" ({op['error']}) but "
             f"ran on {[e['worker'] for e in events_by_key[op['key']]]}", op["key"])
            for op in run["ops"] if op["op"] == "request" and op["not_run"] and op["http"] != 200
            and op["key"] in events_by_key]


def request_at_most_once(run):
    events_by_key = request_events_by_key(run)
    return [(f"request {op['key']} ({op['mode']}) ran {len(events_by_key[op['key']])} times",
             op["key"])
            for op in run["ops"] if op["op"] == "request" and op["mode"] != "get"
            and len(events_by_key.get(op["key"], [])) > 1]


def answers_are_whole(run):
    """A request that was answered with 200 ran on a worker and received its own answer."""
    events_by_key = request_events_by_key(run)
    violations = []
    for op in run["ops"]:
        if op["op"] != "request" or op["http"] != 200:
            continue
        if not op["whole"]:
            violations.append((f"request {op['key']} received the answer to another request",
                               op["key"]))
        if op["key"] not in events_by_key:
            violations.append((f"request {op['key']} was answered but ran on no worker", op["key"]))
    return violations


def accepted_jobs_end(run):
    """Accepted jobs end; they fail or are cancelled only for a reason that the run contains."""
    rows = {job["id"]: job for job in run["jobs"]}
    violations = []
    for op in run["ops"]:
        if op["op"] != "job" or op["http"] not in (200, 201):
            continue
        row = rows.get(op["id"])
        if not row:
            violations.append((f"accepted job {op['id']} is unknown", op["id"]))
        elif row["state"] not in ("done", "failed", "cancelled"):
            violations.append((f"accepted job {op['id']} did not end: {row['state']}", op["id"]))
        elif row["state"] == "failed" and row["idempotent"] and not run["fail_all"]:
            violations.append((f"job {op['id']} failed: {row['why']}", op["id"]))
        elif row["state"] == "cancelled" and op["id"] not in run["cancelled"]:
            violations.append((f"job {op['id']} was cancelled without a request", op["id"]))
    return violations


def done_jobs_ran(run):
    """Each task of a job that is reported as done has an attempt that ended as done."""
    done_tasks = {}
    for event in run["history"]:
        if event["event"] == "done":
            done_tasks.setdefault(event["job"], set()).add(event["index"])
    return [(f"job {job['id']} is reported as done; {len(done_tasks.get(job['id'], ()))} of "
             f"{job['count']} tasks are", job["id"])
            for job in run["jobs"] if job["state"] == "done"
            and len(done_tasks.get(job["id"], ())) != job["count"]]


def edits_keep_their_order(run):
    """Accepted edits have distinct versions and are in the history; the newest is in force."""
    violations = []
    versions = [edit["version"] for edit in run["edits"]]
    for version in {v for v in versions if versions.count(v) > 1}:
        violations.append((f"two edits were accepted as version {version}", "table"))
    rows = {row["version"]: row for row in run["table_history"]}
    for edit in run["edits"]:
        row = rows.get(edit["version"])
        if not row or row["by"] != edit["by"]:
            violations.append((f"accepted edit {edit} is not in the history", "table"))
    newest = max(rows) if rows else 0
    for process, version in run["final_versions"].items():
        if version != newest:
            violations.append((f"{process} has version {version} in force instead of {newest}",
                               process))
    return violations


def versions_never_fall(run):
    """The table version in force of a process does not fall while the process runs."""
    violations = []
    last_versions = {}
    for process, pid, version in run["versions"]:
        before = last_versions.get((process, pid), 0)
        if version < before:
            violations.append((f"{process} went from version {before} back to {version}", process))
        last_versions[(process, pid)] = version
    return violations


def leaving_worker_gets_nothing(run):
    violations = []
    for worker, from_us, until_us in run["drains"]:
        late_events = [e for e in run["history"]
                       if e["worker"] == worker and e["event"] in ("request", "start")
                       and from_us + DRAIN_GRACE_US < e["t_us"] < until_us]
        if late_events:
            violations.append((f"{worker} was draining and received {len(late_events)} requests "
                               "and tasks", worker))
    return violations


def graceful_stops_cut_nothing(run):
    """Stopped daemons exit with code 0 and log that no request was aborted."""
    return [(f"{name} stopped with code {code} and {aborted} requests aborted", name)
            for name, code, aborted in run["stops"] if code != 0 or aborted != "0"]


def charges_equal_use(run):
    """Batch charges equal the jobs' use, service charges the sum of the workers' meters.

    No job is charged more than the workers metered for it. metered_service is None if a worker was
    killed, because its meters are lost.
    """
    violations = []
    used_ms = sum(job["used_ms"] for job in run["jobs"] if "used_ms" in job)
    if run["all_ended"] and run["charged_batch"] != used_ms:
        violations.append((f"batch charges are {run['charged_batch']} core-ms, jobs used {used_ms}",
                           "charges"))
    metered_by_attempt = {}
    for event in run["history"]:
        if event["event"] in ("done", "failed", "evicted"):
            metered_by_attempt[(event["job"], event["index"], event["attempt"],
                                event["worker"])] = event["used_ms"]
    metered_by_job = {}
    for key, ms in metered_by_attempt.items():
        metered_by_job[key[0]] = metered_by_job.get(key[0], 0) + ms
    for job in run["jobs"]:
        if job.get("used_ms", 0) > metered_by_job.get(job["id"], 0):
            violations.append((f"job {job['id']} is charged {job['used_ms']} core-ms, workers "
                               f"metered {metered_by_job.get(job['id'], 0)}", job["id"]))
    if run["metered_service"] is not None and run["charged_service"] != run["metered_service"]:
        violations.append((f"service charges are {run['charged_service']} core-ms, meters say "
                           f"{run['metered_service']}", "charges"))
    return violations


RULES = [never_in_two_places, never_over_capacity, at_most_once, finishes_once,
         not_run_means_not_run, request_at_most_once, answers_are_whole, accepted_jobs_end,
         done_jobs_ran, edits_keep_their_order, versions_never_fall, leaving_worker_gets_nothing,
         graceful_stops_cut_nothing, charges_equal_use]


def find_violations(run):
    """All violations of a run as (rule, text, subject)."""
    return [(rule.__name__, text, subject) for rule in RULES for text, subject in rule(run)]
