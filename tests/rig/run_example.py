"""make run: the main job on stand-ins, some 20 s of mixed load with an edit and a job wave."""

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
WAVE_RATE = 2.5
CREST_GOODPUT_S = 1e6


def cli(deployment, *words, check=True):
    """Runs the command line against the deployment."""
    env = dict(os.environ, CATKINLUG_TOKEN=OPERATOR_TOKEN,
               CATKINLUG_ENTRY=",".join(deployment.entry_url(i)
                                        for i in range(len(deployment.entries))))
    done = subprocess.run([f"{deployment.build}/catkinlug", *words], env=env, check=False,
                          stdin=subprocess.DEVNULL, capture_output=True, text=True)
    if check and done.returncode:
        raise RuntimeError(f"catkinlug {' '.join(words)}: {done.returncode} {done.stderr}")
    return done


def edit(deployment):
    """A live edit: moves five points of weight between two teams."""
    rows = [dict(row) for row in deployment.spec["weights"]]
    rows[0]["weight"] -= 5
    rows[1]["weight"] += 5
    path = os.path.join(deployment.dir, "edit.txt")
    with open(path, "w", encoding="utf-8") as file:
        file.write(table_text(rows))
    started = time.monotonic()
    cli(deployment, "table", "apply", "--by", "run", path)
    def in_force():
        table = deployment.get("/status")["table"]
        return table["version"] >= 2 and table["in_force"] == table["agents"]
    wait_for(in_force, what="edit in force")
    return time.monotonic() - started


def wait_jobs(deployment, lines):
    """Waits for the end of all accepted jobs and returns their rows."""
    wanted = {line["id"] for line in lines if line["op"] == "job" and line["http"] in (200, 201)}
    def ended():
        jobs = {job["id"]: job for job in deployment.get("/jobs")["jobs"]}
        open_jobs = [i for i in wanted if jobs.get(i, {}).get("state") not in
                     ("done", "failed", "cancelled")]
        return jobs if not open_jobs else None
    jobs = wait_for(ended, 90, "end of all jobs", 0.3)
    return [jobs[i] for i in wanted]


def first_starts(history):
    starts = {}
    for event in history:
        if event["event"] == "start":
            key = (event["job"], event["index"])
            starts.setdefault(key, event["t_us"])
    return starts


def waits_by_kind(lines, jobs, history):
    """Wait of each task from the due time of its job to its first start, by kind."""
    due = {line["id"]: line["due_us"] for line in lines if line["op"] == "job"}
    kinds = {job["id"]: job["kind"] for job in jobs}
    waits = {}
    for (job, _), at_us in first_starts(history).items():
        if job in due:
            waits.setdefault(kinds[job], []).append((at_us - due[job]) / 1000)
    return waits


def charges(deployment):
    """Charged and metered core-milliseconds, from the entries and from the workers."""
    def equal():
        charged = sum(row["service_core_ms"] for row in deployment.get("/charges")["charges"])
        metered = 0
        for worker in deployment.workers:
            status, _, body = http_control(deployment, worker)
            assert status == 200
            metered += sum(json.loads(body)["meters"].values())
        return (charged, metered) if charged == metered else None
    try:
        service = wait_for(equal, 15, "equal charges", 0.5)
    except TimeoutError:
        service = (None, None)
    batch = sum(row["batch_core_ms"] for row in deployment.get("/charges")["charges"])
    used = sum(event["used_ms"] for event in deployment.history()
               if event["event"] in ("done", "failed", "evicted"))
    return service, (batch, used)


def http_control(deployment, worker):
    from deploy import http
    return http("POST", f"{deployment.worker_url(worker)}/control", "{}")


def ms(value):
    return "-" if value is None else f"{value:.1f} ms"


def report(deployment, lines, jobs, crest, edit_s):
    """The summary table."""
    requests = [line for line in lines if line["op"] == "request"]
    history = deployment.history()
    rows = []
    for path in sorted({line["path"] for line in requests}):
        values = latencies_ms([line for line in requests if line["path"] == path])
        rows.append((f"latency {deployment.spec['service']['name']}{path}",
                     f"n={len(values)} p50={ms(quantile(values, .5))} p99={ms(quantile(values, .99))} "
                     f"p99.9={ms(quantile(values, .999))}"))
    in_crest = [line for line in requests if crest[0] <= line["due_us"] < crest[1]]
    good = [line for line in in_crest if line["http"] == 200]
    rows.append(("crest goodput", f"{len(good)} of {len(in_crest)} requests answered well, "
                 f"p99={ms(quantile(latencies_ms(in_crest), .99))}"))
    refused = sum(1 for line in requests if line["http"] != 200)
    rows.append(("requests not answered", f"{refused} of {len(requests)}"))
    done = [event for event in history if event["event"] == "done"]
    rows.append(("batch throughput", f"{len(done)} tasks, "
                 f"{sum(e['used_ms'] for e in done) / 1000:.1f} core-s"))
    states = {}
    for job in jobs:
        states[job["state"]] = states.get(job["state"], 0) + 1
    rows.append(("jobs", ", ".join(f"{n} {state}" for state, n in sorted(states.items()))))
    rows.append(("evictions", str(sum(1 for e in history if e["event"] == "evicted"))))
    for kind, values in sorted(waits_by_kind(lines, jobs, history).items()):
        rows.append((f"wait for a start, {kind}",
                     f"p50={ms(quantile(values, .5))} p99={ms(quantile(values, .99))}"))
    service, batch = charges(deployment)
    rows.append(("charged / metered service", f"{service[0]} / {service[1]} core-ms"))
    rows.append(("charged / metered batch", f"{batch[0]} / {batch[1]} core-ms"))
    table = deployment.get("/status")["table"]
    rows.append(("weights and limits", f"version {table['version']} in force on {table['in_force']} "
                 f"of {table['agents']} agents, {edit_s:.2f} s after the edit"))
    width = max(len(name) for name, _ in rows)
    for name, value in rows:
        print(f"  {name:<{width}}  {value}")
    ok = service[0] is not None and batch[0] == batch[1] and all(j["state"] == "done" for j in jobs)
    return ok


def drive(deployment, seed):
    spec = deployment.spec["requests"]
    crest = spec["crest"]
    start_ms, length_ms = crest["at"] * LOAD_S * 1000, crest["length"] * LOAD_S * 1000
    window = {"factor": crest["factor"], "start_ms": int(start_ms), "length_ms": int(length_ms)}
    begun_us = time.clock_gettime(time.CLOCK_BOOTTIME) * 1e6
    load = Load(deployment, "run", seed, LOAD_S, spec["rate"], WAVE_RATE,
                {"get": 0.8, "post": 0.15, "keyed": 0.05}, window)
    time.sleep(LOAD_S / 4)
    edit_s = edit(deployment)
    lines = load.wait()
    crest_us = (begun_us + start_ms * 1000, begun_us + (start_ms + length_ms) * 1000)
    jobs = wait_jobs(deployment, lines)
    return report(deployment, lines, jobs, crest_us, edit_s)


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
        print(f"{args.example}: {len(deployment.entries)} entries, {len(deployment.workers)} agents "
              f"and workers, {deployment.spec['link_ms']} ms between zones, seed {args.seed}",
              flush=True)
        ok = drive(deployment, args.seed)
        page = os.path.join(run_dir, "timeline.html")
        cli(deployment, "timeline", "--html", page)
        print(f"time line: {os.path.relpath(page, ROOT)}")
    finally:
        bad = deployment.stop_all()
        if bad:
            print(f"daemons that did not stop cleanly: {bad}")
    return 0 if ok and not bad else 1


if __name__ == "__main__":
    sys.exit(main())
