"""Judges a run by what the stand-ins saw. Each rule returns a list of violations."""

RUN_ENDS = {"done", "failed", "evicted", "killed"}
LEAVE_GRACE_US = 3_000_000


def task_key(event):
    return event["job"], event["index"]


def run_intervals(history):
    """Times during which an attempt ran: (start, end, worker, attempt) by task."""
    open_runs = {}
    intervals = {}

    def close(key, at_us):
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
            close(key, max(event.get("at_us", event["t_us"]), open_runs.get(key, 0)))
        elif name in RUN_ENDS:
            close(key, event["t_us"])
        elif name in ("boot", "worker_dead"):
            for other in [k for k in open_runs if k[0] == worker]:
                close(other, event["t_us"])
    for key in list(open_runs):
        close(key, float("inf"))
    return intervals


def never_in_two_places(run):
    found = []
    for task, intervals in run_intervals(run["history"]).items():
        intervals.sort()
        for before, after in zip(intervals, intervals[1:]):
            if after[0] < before[1]:
                found.append((f"task {task} attempt {after[3]} began on {after[2]} while attempt "
                              f"{before[3]} ran on {before[2]}", task[0]))
    return found


def never_over_capacity(run):
    return [(f"{event['worker']} was given more than it holds", event["worker"])
            for event in run["history"] if event["event"] == "over_capacity"]


def at_most_once(run):
    """A task that is not idempotent runs again only after a checkpoint."""
    once = {job["id"] for job in run["jobs"] if not job["idempotent"]}
    state = {}
    found = []
    for event in sorted(run["history"], key=lambda e: e["t_us"]):
        if event["job"] not in once:
            continue
        key = task_key(event)
        if event["event"] == "start":
            last = state.get(key)
            if last and last[0] != event["attempt"] and last[1] != "evicted":
                found.append((f"task {key} is not idempotent; attempt {event['attempt']} began after "
                              f"attempt {last[0]} was {last[1]}", key[0]))
            state[key] = (event["attempt"], "started")
        elif event["event"] in RUN_ENDS and state.get(key, (None,))[0] == event["attempt"]:
            state[key] = (event["attempt"], event["event"])
    return found


def finishes_once(run):
    """A task that is done is not begun again, unless its worker was lost with the report."""
    done = {}
    lost_at = {}
    found = []
    for event in sorted(run["history"], key=lambda e: e["t_us"]):
        if event["event"] in ("worker_dead", "killed", "lease_lost"):
            lost_at[event["worker"]] = event["t_us"]
        if event["event"] == "done":
            done[task_key(event)] = event
        if event["event"] == "start" and task_key(event) in done:
            first = done[task_key(event)]
            if first["worker"] in run["fenced"]:
                continue
            if lost_at.get(first["worker"], -1) < first["t_us"]:
                found.append((f"task {task_key(event)} was done on {first['worker']} and began again "
                              f"on {event['worker']}", event["job"]))
    return found


def runs_by_key(run):
    runs = {}
    for event in run["history"]:
        if event["event"] == "request" and event.get("key"):
            runs.setdefault(event["key"], []).append(event)
    return runs


def not_run_means_not_run(run):
    runs = runs_by_key(run)
    return [(f"request {op['key']} ({op['mode']}) was told \"not run\" ({op['error']}) but ran on "
             f"{[e['worker'] for e in runs[op['key']]]}", op["key"])
            for op in run["ops"] if op["op"] == "request" and op["not_run"] and op["http"] != 200
            and op["key"] in runs]


def request_at_most_once(run):
    runs = runs_by_key(run)
    return [(f"request {op['key']} ({op['mode']}) ran {len(runs[op['key']])} times", op["key"])
            for op in run["ops"] if op["op"] == "request" and op["mode"] != "get"
            and len(runs.get(op["key"], [])) > 1]


def answers_are_whole(run):
    runs = runs_by_key(run)
    found = []
    for op in run["ops"]:
        if op["op"] != "request" or op["http"] != 200:
            continue
        if not op["whole"]:
            found.append((f"request {op['key']} got another answer than its own", op["key"]))
        if op["key"] not in runs:
            found.append((f"request {op['key']} was answered but ran nowhere", op["key"]))
    return found


def accepted_jobs_end(run):
    rows = {job["id"]: job for job in run["jobs"]}
    found = []
    for op in run["ops"]:
        if op["op"] != "job" or op["http"] not in (200, 201):
            continue
        row = rows.get(op["id"])
        if not row:
            found.append((f"accepted job {op['id']} is unknown", op["id"]))
        elif row["state"] not in ("done", "failed", "cancelled"):
            found.append((f"accepted job {op['id']} did not end: {row['state']}", op["id"]))
        elif row["state"] == "failed" and row["idempotent"] and not run["fail_all"]:
            found.append((f"job {op['id']} failed: {row['why']}", op["id"]))
        elif row["state"] == "cancelled" and op["id"] not in run["cancelled"]:
            found.append((f"job {op['id']} was cancelled by nobody", op["id"]))
    return found


def done_jobs_ran(run):
    """A job that is told as done has one done attempt of each task."""
    done = {}
    for event in run["history"]:
        if event["event"] == "done":
            done.setdefault(event["job"], set()).add(event["index"])
    return [(f"job {job['id']} is told as done; {len(done.get(job['id'], ()))} of {job['count']} "
             f"tasks were", job["id"])
            for job in run["jobs"] if job["state"] == "done"
            and len(done.get(job["id"], ())) != job["count"]]


def edits_keep_their_order(run):
    """Accepted edits have versions of their own, are all in the history, and stand."""
    found = []
    versions = [edit["version"] for edit in run["edits"]]
    for version in {v for v in versions if versions.count(v) > 1}:
        found.append((f"two edits were accepted as version {version}", "table"))
    rows = {row["version"]: row for row in run["table_history"]}
    for edit in run["edits"]:
        row = rows.get(edit["version"])
        if not row or row["by"] != edit["by"]:
            found.append((f"accepted edit {edit} is not in the history", "table"))
    last = max(rows) if rows else 0
    for process, version in run["final_versions"].items():
        if version != last:
            found.append((f"{process} has version {version} in force, not {last}", process))
    return found


def versions_never_fall(run):
    found = []
    seen = {}
    for process, incarnation, version in run["versions"]:
        before = seen.get((process, incarnation), 0)
        if version < before:
            found.append((f"{process} went from version {before} back to {version}", process))
        seen[(process, incarnation)] = version
    return found


def leaving_worker_gets_nothing(run):
    found = []
    for worker, from_us, until_us in run["drains"]:
        late = [e for e in run["history"] if e["worker"] == worker and
                e["event"] in ("request", "start") and from_us + LEAVE_GRACE_US < e["t_us"] < until_us]
        if late:
            found.append((f"{worker} was leaving and got {len(late)} pieces of new work", worker))
    return found


def graceful_stops_cut_nothing(run):
    return [(f"{name} stopped with code {code} and {cut} requests cut", name)
            for name, code, cut in run["stops"] if code != 0 or cut != "0"]


def charges_equal_use(run):
    """Batch charges are the sum of the jobs' use; service charges the sum of the meters."""
    found = []
    used = sum(job["used_ms"] for job in run["jobs"] if "used_ms" in job)
    if run["all_ended"] and run["charged_batch"] != used:
        found.append((f"batch charges are {run['charged_batch']} core-ms, jobs used {used}",
                      "charges"))
    seen = {}
    for event in run["history"]:
        if event["event"] in ("done", "failed", "evicted"):
            seen[(event["job"], event["index"], event["attempt"], event["worker"])] = event["used_ms"]
    by_job = {}
    for key, ms in seen.items():
        by_job[key[0]] = by_job.get(key[0], 0) + ms
    for job in run["jobs"]:
        if job.get("used_ms", 0) > by_job.get(job["id"], 0):
            found.append((f"job {job['id']} is charged {job['used_ms']} core-ms, workers metered "
                          f"{by_job.get(job['id'], 0)}", job["id"]))
    if run["metered_service"] is not None and run["charged_service"] != run["metered_service"]:
        found.append((f"service charges are {run['charged_service']} core-ms, meters say "
                      f"{run['metered_service']}", "charges"))
    return found


RULES = [never_in_two_places, never_over_capacity, at_most_once, finishes_once,
         not_run_means_not_run, request_at_most_once, answers_are_whole, accepted_jobs_end,
         done_jobs_ran, edits_keep_their_order, versions_never_fall, leaving_worker_gets_nothing,
         graceful_stops_cut_nothing, charges_equal_use]


def check(run):
    """All violations as (rule, text, subject)."""
    return [(rule.__name__, text, subject) for rule in RULES for text, subject in rule(run)]
