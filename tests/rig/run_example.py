"""make run: about 20 s of mixed load on stand-ins, with a table edit, a load peak and jobs."""

import argparse
import json
import os
import shutil
import subprocess
import sys
import time

from deploy import OPERATOR_TOKEN, Deployment, table_text, wait_for
from load import Load, latencies_ms, quantile

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LOAD_S = 18
JOBS_PER_S = 2.5
PEAK_GOODPUT_S = 1e6


def run_cli(deployment, *args, check=True):
    """Runs the command-line tool against the deployment."""
    env = dict(os.environ, CATKINLUG_TOKEN=OPERATOR_TOKEN,
               CATKINLUG_ENTRY=",".join(deployment.entry_url(i)
                                        for i in range(len(deployment.entries))))
    result = subprocess.run([f"{deployment.build}/catkinlug", *args], env=env, check=False,
                            stdin=subprocess.DEVNULL, capture_output=True, text=True)
    if check and result.returncode:
        raise RuntimeError(f"catkinlug {' '.join(args)}: {result.returncode} {result.stderr}")
    return result


def edit_table(deployment):
    """Moves five points of weight between two teams; returns the seconds until it is in force."""
    rows = [dict(row) for row in deployment.spec["weights"]]
    rows[0]["weight"] -= 5
    rows[1]["weight"] += 5
    path = os.path.join(deployment.dir, "edit.txt")
    with open(path, "w", encoding="utf-8") as file:
        file.write(table_text(rows))
    started = time.monotonic()
    run_cli(deployment, "table", "apply", "--by", "run", path)
    def in_force():
        table = deployment.get("/status")["table"]
        return table["version"] >= 2 and table["in_force"] == table["agents"]
    wait_for(in_force, what="edit in force")
    return time.monotonic() - started


def wait_for_jobs(deployment, operations):
    """Waits for the end of all accepted jobs and returns their rows."""
    wanted = {op["id"] for op in operations if op["op"] == "job" and op["http"] in (200, 201)}
    def ended():
        jobs = {job["id"]: job for job in deployment.get("/jobs")["jobs"]}
        open_jobs = [i for i in wanted if jobs.get(i, {}).get("state") not in
                     ("done", "failed", "cancelled")]
        return jobs if not open_jobs else None
    jobs = wait_for(ended, 90, "end of all jobs", 0.3)
    return [jobs[i] for i in wanted]


def first_start_by_task(history):
    starts = {}
    for event in history:
        if event["event"] == "start":
            key = (event["job"], event["index"])
            starts.setdefault(key, event["t_us"])
    return starts


def waits_by_kind(operations, jobs, history):
    """Times in ms from the due time of a job to the first starts of its tasks, by kind of job."""
    due = {op["id"]: op["due_us"] for op in operations if op["op"] == "job"}
    kinds = {job["id"]: job["kind"] for job in jobs}
    waits = {}
    for (job, _), at_us in first_start_by_task(history).items():
        if job in due:
            waits.setdefault(kinds[job], []).append((at_us - due[job]) / 1000)
    return waits


def service_and_batch_charges(deployment):
    """Core-milliseconds as pairs (charged, metered), one for the service and one for batch tasks.

    The pair of the service is (None, None) if its sums are not equal within 15 s.
    """
    def sums_if_equal():
        charged = sum(row["service_core_ms"] for row in deployment.get("/charges")["charges"])
        metered = 0
        for worker in deployment.workers:
            status, _, body = read_worker_control(deployment, worker)
            assert status == 200
            metered += sum(json.loads(body)["meters"].values())
        return (charged, metered) if charged == metered else None
    try:
        service = wait_for(sums_if_equal, 15, "equal charges", 0.5)
    except TimeoutError:
        service = (None, None)
    batch = sum(row["batch_core_ms"] for row in deployment.get("/charges")["charges"])
    used = sum(event["used_ms"] for event in deployment.history()
               if event["event"] in ("done", "failed", "evicted"))
    return service, (batch, used)


def read_worker_control(deployment, worker):
    from deploy import http
    return http("POST", f"{deployment.worker_url(worker)}/control", "{}")


def format_ms(value):
    return "-" if value is None else f"{value:.1f} ms"


def print_summary(deployment, operations, jobs, peak_interval_us, edit_s):
    """Prints the summary; returns whether charges equal meters and all jobs are done."""
    requests = [op for op in operations if op["op"] == "request"]
    history = deployment.history()
    rows = []
    for path in sorted({op["path"] for op in requests}):
        values = latencies_ms([op for op in requests if op["path"] == path])
        rows.append((f"latency {deployment.spec['service']['name']}{path}",
                     f"n={len(values)} p50={format_ms(quantile(values, .5))} "
                     f"p99={format_ms(quantile(values, .99))} "
                     f"p99.9={format_ms(quantile(values, .999))}"))
    peak_requests = [op for op in requests
                     if peak_interval_us[0] <= op["due_us"] < peak_interval_us[1]]
    answered = [op for op in peak_requests if op["http"] == 200]
    rows.append(("crest goodput", f"{len(answered)} of {len(peak_requests)} requests answered "
                 f"with 200, p99={format_ms(quantile(latencies_ms(peak_requests), .99))}"))
    not_ok = sum(1 for op in requests if op["http"] != 200)
    rows.append(("requests not answered with 200", f"{not_ok} of {len(requests)}"))
    done = [event for event in history if event["event"] == "done"]
    rows.append(("batch throughput", f"{len(done)} tasks, "
                 f"{sum(e['used_ms'] for e in done) / 1000:.1f} core-s"))
    states = {}
    for job in jobs:
        states[job["state"]] = states.get(job["state"], 0) + 1
    rows.append(("jobs", ", ".join(f"{n} {state}" for state, n in sorted(states.items()))))
    rows.append(("evictions", str(sum(1 for e in history if e["event"] == "evicted"))))
    for kind, values in sorted(waits_by_kind(operations, jobs, history).items()):
        rows.append((f"wait for a start, {kind}",
                     f"p50={format_ms(quantile(values, .5))} "
                     f"p99={format_ms(quantile(values, .99))}"))
    service, batch = service_and_batch_charges(deployment)
    rows.append(("charged / metered service", f"{service[0]} / {service[1]} core-ms"))
    rows.append(("charged / metered batch", f"{batch[0]} / {batch[1]} core-ms"))
    table = deployment.get("/status")["table"]
    rows.append(("weights and limits", f"version {table['version']} in force on "
                 f"{table['in_force']} of {table['agents']} agents, {edit_s:.2f} s after the edit"))
    width = max(len(name) for name, _ in rows)
    for name, value in rows:
        print(f"  {name:<{width}}  {value}")
    ok = service[0] is not None and batch[0] == batch[1] and all(j["state"] == "done" for j in jobs)
    return ok


def run_load(deployment, seed):
    spec = deployment.spec["requests"]
    peak_spec = spec["crest"]
    start_ms, length_ms = peak_spec["at"] * LOAD_S * 1000, peak_spec["length"] * LOAD_S * 1000
    peak = {"factor": peak_spec["factor"], "start_ms": int(start_ms), "length_ms": int(length_ms)}
    begun_us = time.clock_gettime(time.CLOCK_BOOTTIME) * 1e6
    load = Load(deployment, "run", seed, LOAD_S, spec["rate"], JOBS_PER_S,
                {"get": 0.8, "post": 0.15, "keyed": 0.05}, peak)
    time.sleep(LOAD_S / 4)
    edit_s = edit_table(deployment)
    operations = load.wait()
    peak_interval_us = (begun_us + start_ms * 1000, begun_us + (start_ms + length_ms) * 1000)
    jobs = wait_for_jobs(deployment, operations)
    return print_summary(deployment, operations, jobs, peak_interval_us, edit_s)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--example", default="lemnaria")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    run_dir = os.path.join(ROOT, "run", args.example)
    shutil.rmtree(run_dir, ignore_errors=True)
    deployment = Deployment(os.path.join(ROOT, "examples", f"{args.example}.yaml"), run_dir,
                            build=os.path.join(ROOT, "build"), seed=args.seed, proxied=True)
    ok = False
    try:
        deployment.start_all()
        print(f"{args.example}: {len(deployment.entries)} entries, {len(deployment.workers)} "
              f"agents and workers, {deployment.spec['link_ms']} ms between zones, "
              f"seed {args.seed}", flush=True)
        ok = run_load(deployment, args.seed)
        page_path = os.path.join(run_dir, "timeline.html")
        run_cli(deployment, "timeline", "--html", page_path)
        print(f"timeline: {os.path.relpath(page_path, ROOT)}")
    finally:
        bad_exits = deployment.stop_all()
        if bad_exits:
            print(f"daemons that did not stop cleanly: {bad_exits}")
    return 0 if ok and not bad_exits else 1


if __name__ == "__main__":
    sys.exit(main())
