"""make bench: measures scheduling under load against baselines; writes a page of plots."""

import argparse
import json
import os
import shutil
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "rig"))

from deploy import Deployment, http, table_text, wait_for  # noqa: E402
from load import Load, latencies_ms, quantile  # noqa: E402

LEASES = {"worker": "30s", "queue": "4s"}
RESULTS = []
LOAD_GENERATORS = 4


def now_us():
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1e6)


def record_measure(example, measure, value, unit, bound, ok, baseline=None):
    """Records a measure and prints it on one line; ok: whether it meets the bound."""
    baseline_text = "" if baseline is None else f" baseline={baseline:.3g}"
    text = (f"{example}: {measure} {value:.4g} {unit} bound={bound} "
            f"{'pass' if ok else 'short'}{baseline_text}")
    RESULTS.append({"example": example, "measure": measure, "value": value, "unit": unit,
                    "bound": bound, "ok": ok, "baseline": baseline})
    print(text, flush=True)


class BenchDeployment:
    """A deployment and the loads that run on it."""

    def __init__(self, example, seed, name, net, colocate=True, workers=None):
        run_dir = os.path.join(ROOT, "run", f"bench-{example}-{name}")
        shutil.rmtree(run_dir, ignore_errors=True)
        self.seed = seed
        self.deployment = Deployment(os.path.join(ROOT, "examples", f"{example}.yaml"), run_dir,
                                     build=os.path.join(ROOT, os.environ.get("BUILD", "build")),
                                     net=net, seed=seed, proxied=True, workers=workers,
                                     overrides={"lease": LEASES})
        if not colocate:
            self.deployment.extra_agent_settings = {"colocate": {"enabled": False}}
        self.spec = self.deployment.spec
        self.load_count = 0

    def __enter__(self):
        self.deployment.start_all()
        return self

    def __exit__(self, *error):
        self.deployment.stop_all()

    def capacity_cores(self):
        return sum(w["millicores"] for w in self.deployment.get("/workers")["workers"]) / 1000

    def load(self, duration_s, rate, peak=None, timeout_ms=2000):
        self.load_count += 1
        return Load(self.deployment, f"load{self.load_count}", self.seed * 100 + self.load_count,
                    duration_s, rate, 0, {"get": 1.0}, peak, timeout_ms=timeout_ms)

    def submit(self, team, kind, count, cores, work_ms, **more):
        """Submits a job; returns its id and the time of the submission in us."""
        body = {"team": team, "kind": kind, "count": count, "cores": cores, "memory": "512MB",
                "run_time": f"{more.pop('declared_ms', work_ms)}ms",
                "payload": json.dumps({"work_ms": work_ms})}
        body.update(more)
        at_us = now_us()
        status, _, answer = self.deployment.call("POST", "/jobs", json.dumps(body))
        assert status == 201, (status, answer)
        return json.loads(answer)["id"], at_us

    def lift_team_limits(self):
        """Raises the limits of all teams so that only weights restrict them."""
        rows = [dict(row, cores=100000, memory="100TB", accelerators=1000)
                for row in self.spec["weights"]]
        version = self.deployment.get("/table")["version"]
        status = self.deployment.call("PUT", "/table", table_text(rows),
                                      {"If-Match": str(version)})[0]
        assert status == 200
        wait_for(lambda: self.deployment.get("/status")["table"]["in_force"] ==
                 len(self.deployment.workers) and
                 self.deployment.get("/table")["version"] > version)

    def batch_teams(self):
        """All teams but the first one of the example."""
        return [row["team"] for row in self.spec["weights"]][1:]

    def cancel_all(self):
        for job in self.deployment.get("/jobs")["jobs"]:
            if job["state"] == "open":
                self.deployment.call("DELETE", f"/jobs/{job['id']}?team={job['team']}")
        wait_for(lambda: all(w["tasks"] == 0 for w in self.deployment.get("/workers")["workers"]),
                 60, "empty workers", 0.2)

    def submit_batch_work(self, seconds):
        """Submits more work of the batch teams than the workers can run in the given time.

        Each team gets three jobs. The tasks of a job use all cores for a quarter of the given time.
        """
        cores = self.capacity_cores()
        for team in self.batch_teams():
            for kind in ("grain", "sand", "polish"):
                self.submit(team, f"{team}-{kind}"[:32], int(cores * seconds / 6) + 20, 1, 1500)


def progress_between_ms(history, from_us, until_us):
    """Milliseconds of progress in an interval, from the ended attempts.

    The progress of an attempt is assumed to be even over its run time.
    """
    starts, total = {}, 0
    for event in history:
        key = (event["worker"], event["job"], event["index"], event["attempt"])
        if event["event"] == "start":
            starts[key] = event["t_us"]
        elif event["event"] in ("done", "evicted", "failed") and key in starts:
            begin_us, end_us = starts.pop(key), event["t_us"]
            overlap = max(0, min(end_us, until_us) - max(begin_us, from_us))
            total += event["progress_ms"] * overlap / max(end_us - begin_us, 1)
    return total


def compare_tail_latency(bench, duration_s):
    """Ratios, colocated to alone, of the service's p99 and p99.9 and of the batch progress."""
    rate = bench.spec["requests"]["rate"]
    alone = latencies_ms(bench.load(duration_s, rate).wait())
    bench.submit_batch_work(duration_s * 2.5)
    # Progress is not measured while the first batch tasks start.
    time.sleep(2.5)
    begin_us = now_us()
    colocated = latencies_ms(bench.load(duration_s, rate).wait())
    middle_us = now_us()
    # From middle_us to end_us the batch work runs without requests to the service.
    time.sleep(duration_s)
    end_us = now_us()
    # Time for attempts that run at end_us to end: only ended attempts are counted.
    time.sleep(2)
    history = bench.deployment.history()
    bench.cancel_all()
    batch_colocated = progress_between_ms(history, begin_us, middle_us) / (middle_us - begin_us)
    batch_alone = progress_between_ms(history, middle_us, end_us) / (end_us - middle_us)
    return {"p99": quantile(colocated, .99) / quantile(alone, .99),
            "p999": quantile(colocated, .999) / quantile(alone, .999),
            "alone": alone, "beside": colocated,
            "batch": batch_colocated / batch_alone if batch_alone else 0}


def measure_tail(example, seed, duration_s, plots):
    results = {}
    for name, colocate, net in (("policy", True, 60), ("none", False, 64)):
        with BenchDeployment(example, seed, f"tail-{name}", net, colocate) as bench:
            bench.lift_team_limits()
            results[name] = compare_tail_latency(bench, duration_s)
    control_on, control_off = results["policy"], results["none"]
    record_measure(example, "service-p99-beside-batch", control_on["p99"], "x-alone", 1.2,
                   control_on["p99"] <= 1.2, control_off["p99"])
    record_measure(example, "service-p999-beside-batch", control_on["p999"], "x-alone", 1.5,
                   control_on["p999"] <= 1.5, control_off["p999"])
    record_measure(example, "batch-beside-service", control_on["batch"], "x-alone", 0.85,
                   control_on["batch"] >= 0.85, control_off["batch"])
    plots.append((f"{example}: latency of the service, ms", {
        "alone": control_on["alone"], "colocated, control on": control_on["beside"],
        "colocated, control off": control_off["beside"]}))


def measure_load_peak(example, seed, bench, plots):
    """Triples the load for 4 s, from a third of the capacity of the service slots to all of it."""
    service_ms, deadline_ms = 60, 600
    slots = len(bench.deployment.workers) * bench.spec["service"]["slots"]
    capacity = slots / (service_ms / 1000)
    for item in bench.spec["requests"]["mix"]:
        item["ms"] = service_ms
    peak = {"factor": 3, "start_ms": 4000, "length_ms": 4000}
    begin_us = now_us()
    # A single load generator would be the bottleneck at the peak.
    loads = [bench.load(14, capacity / 3 / LOAD_GENERATORS, peak, deadline_ms)
             for _ in range(LOAD_GENERATORS)]
    operations = [op for load in loads for op in load.wait()]
    due_s = [(op["due_us"] - begin_us) / 1e6 for op in operations]
    # The peak lasts from 4 to 8 s; its first 0.5 s are not measured.
    peak_requests = [op for op, t in zip(operations, due_s) if 4.5 <= t < 8]
    answered = [op for op in peak_requests if op["http"] == 200]
    expected_goodput = min(capacity, len(peak_requests) / 3.5)
    p99 = quantile(latencies_ms(peak_requests), .99)
    before = quantile(latencies_ms([op for op, t in zip(operations, due_s) if 1 <= t < 4]), .99)
    after = quantile(latencies_ms([op for op, t in zip(operations, due_s) if t >= 13]), .99)
    record_measure(example, "crest-goodput", len(answered) / 3.5 / expected_goodput, "of-capacity",
                   0.95, len(answered) / 3.5 >= 0.95 * expected_goodput)
    record_measure(example, "crest-p99-of-admitted", p99, "ms", deadline_ms, p99 <= deadline_ms)
    ratio = after / before if after else float("inf")
    record_measure(example, "after-crest-p99", ratio, "x-before", 1.2, ratio <= 1.2)
    plots.append((f"{example}: latency at the load peak, ms", {
        "before": latencies_ms([op for op, t in zip(operations, due_s) if t < 4]),
        "crest": latencies_ms(peak_requests)}))
    del seed


def first_start_by_job(history):
    starts = {}
    for event in history:
        if event["event"] == "start":
            starts.setdefault(event["job"], event["t_us"])
    return starts


def measure_urgent(example, bench):
    """Start delay of urgent tasks on workers filled with long batch tasks."""
    teams = bench.batch_teams()
    cores = bench.capacity_cores()
    for team in teams:
        bench.submit(team, "long", int(cores), 1, 60000)
    wait_for(lambda: sum(w["free_millicores"] for w in bench.deployment.get("/workers")["workers"])
             < 1000, 30, "full pool", 0.2)
    sent = []
    for _ in range(12):
        sent.append(bench.submit(teams[-1], "urgent", 1, 1, 200, urgent=True))
        time.sleep(0.4)
    wait_for(lambda: all(job in first_start_by_job(bench.deployment.history()) for job, _ in sent),
             30, "urgent starts", 0.2)
    starts = first_start_by_job(bench.deployment.history())
    worst = max((starts[job] - sent_us) / 1e6 for job, sent_us in sent)
    record_measure(example, "urgent-start-worst", worst, "s", 5.1, worst <= 5.1)
    bench.cancel_all()


def start_waits_ms(bench, jobs):
    starts = first_start_by_job(bench.deployment.history())
    return [(starts[job] - sent_us) / 1e3 for job, sent_us in jobs if job in starts]


def short_task_waits_ms(bench, seconds):
    jobs = []
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        jobs.append(bench.submit(bench.batch_teams()[0], "short", 1, 1, 200, declared_ms=2000))
        time.sleep(0.2)
    # Time for the last jobs to start: jobs without a start are left out.
    time.sleep(2)
    return start_waits_ms(bench, jobs)


def measure_short(example, bench, seconds):
    """Start delay of short tasks, alone and beside large tasks of the same team.

    There are more large tasks than the workers can run at once. The declared run times are wrong:
    ten times too long for short tasks, a tenth of the real one for large tasks.
    """
    alone = short_task_waits_ms(bench, seconds)
    cores = bench.capacity_cores()
    bench.submit(bench.batch_teams()[0], "giant", int(cores), 2, 6000, declared_ms=600)
    # The large tasks start before the first short task is submitted.
    time.sleep(1)
    mixed = short_task_waits_ms(bench, seconds)
    ratio = quantile(mixed, .99) / quantile(alone, .99) if mixed else float("inf")
    print(f"  short tasks alone p99 {quantile(alone, .99):.0f} ms of {len(alone)}, beside large "
          f"ones {quantile(mixed, .99) or float('inf'):.0f} ms of {len(mixed)}", flush=True)
    record_measure(example, "short-wait-p99-beside-giants", ratio, "x-alone", 1.5, ratio <= 1.5)
    bench.cancel_all()


def measure_shares(example, bench, seconds):
    """Share of the progress that each team makes under full demand, against its weight.

    The weights of an example have to add up to 100.
    """
    weights = {row["team"]: row["weight"] for row in bench.spec["weights"]}
    cores = bench.capacity_cores()
    jobs = {}
    for team in weights:
        jobs[team] = bench.submit(team, "hungry", int(cores * (seconds + 8) / 2), 1, 2000)[0]
    # Shares are not measured while the first tasks start.
    time.sleep(4)
    begin_us = now_us()
    time.sleep(seconds)
    end_us = now_us()
    # Time for attempts that run at end_us to end: only ended attempts are counted.
    time.sleep(1.5)
    history = bench.deployment.history()
    progress_ms = {team: progress_between_ms([e for e in history if e["job"] == job], begin_us,
                                             end_us)
                   for team, job in jobs.items()}
    total = sum(progress_ms.values())
    print("  shares " + " ".join(f"{team}={progress_ms[team] / total:.3f}/{weights[team] / 100}"
                                 for team in weights), flush=True)
    worst = max(abs(progress_ms[team] / total - weights[team] / 100) / (weights[team] / 100)
                for team in weights)
    record_measure(example, "share-worst-deviation", worst, "of-share", 0.05, worst <= 0.05)
    bench.cancel_all()


def measure_failing_worker(example, bench, seconds):
    """Starts per minute on a worker that fails every task, under a steady load of small tasks."""
    failing = bench.deployment.workers[0]
    http("POST", bench.deployment.worker_url(failing) + "/control", json.dumps({"fail_all": 1}))
    begin_us = now_us()
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        for team in bench.batch_teams():
            bench.submit(team, "steady", 10, 1, 300)
        time.sleep(0.5)
    starts = [e for e in bench.deployment.history() if e["event"] == "start" and
              e["worker"] == failing and e["t_us"] > begin_us]
    http("POST", bench.deployment.worker_url(failing) + "/control", json.dumps({"fail_all": 0}))
    value = len(starts) * 60 / max(seconds, 60)
    record_measure(example, "bad-worker-starts", value, "a-minute", 5, value <= 5)
    bench.cancel_all()


def plot_html(title, series):
    """Heading and SVG plot of the share of values above each value; both axes are logarithmic."""
    import math
    colors = ["#2f6f4f", "#d07000", "#c02020", "#7040a0"]
    width, height, left, margin_top = 640, 260, 60, 30
    max_ms = max(max(v) for v in series.values() if v)
    low = 1
    parts = [f"<h3>{title}</h3><svg width='{width + 260}' height='{height + 70}'>"]
    for power in range(0, int(math.log10(max_ms)) + 1):
        x = left + width * power / math.log10(max_ms / low)
        parts.append(f"<line x1='{x}' y1='{margin_top}' x2='{x}' y2='{margin_top + height}' "
                     f"stroke='#ddd'/>"
                     f"<text x='{x}' y='{margin_top + height + 16}'>{10 ** power}</text>")
    for row, label in enumerate(("100 %", "10 %", "1 %", "0.1 %")):
        y = margin_top + height * row / 3
        parts.append(f"<line x1='{left}' y1='{y}' x2='{left + width}' y2='{y}' stroke='#eee'/>"
                     f"<text x='4' y='{y + 4}'>{label}</text>")
    for (name, values), color in zip(series.items(), colors):
        ordered = sorted(values)
        points = []
        for i, value in enumerate(ordered):
            above = (len(ordered) - i) / len(ordered)
            if above < 0.001:
                break
            x = left + width * math.log10(max(value, low)) / math.log10(max_ms / low)
            points.append(f"{x:.1f},{margin_top - height * math.log10(above) / 3:.1f}")
        parts.append(f"<polyline points='{' '.join(points)}' fill='none' stroke='{color}' "
                     f"stroke-width='2'/>")
        y = margin_top + 16 + 18 * list(series).index(name)
        parts.append(f"<text x='{left + width + 16}' y='{y}' fill='{color}'>{name}</text>")
    return "".join(parts) + "</svg>"


def write_page(plots, seed):
    rows = "".join(
        f"<tr><td>{result['example']}</td><td>{result['measure']}</td>"
        f"<td>{result['value']:.4g} {result['unit']}</td>"
        f"<td>{result['bound']}</td>"
        f"<td>{'' if result['baseline'] is None else format(result['baseline'], '.3g')}"
        f"</td><td style='color:{'green' if result['ok'] else 'crimson'}'>"
        f"{'pass' if result['ok'] else 'short'}</td></tr>" for result in RESULTS)
    page = ("<!DOCTYPE html><html lang='en'><head><meta charset='utf-8'><title>catkinlug bench"
            "</title><style>body{font:14px sans-serif;margin:24px}td,th{padding:2px 10px;"
            "text-align:left;border-bottom:1px solid #eee}text{font-size:12px}</style></head><body>"
            f"<h1>Measures, seed {seed}</h1><table><tr><th>example</th><th>measure</th>"
            f"<th>value</th><th>bound</th><th>baseline</th><th></th></tr>{rows}</table>"
            "<h2>Share of requests slower than</h2>"
            + "".join(plot_html(title, series) for title, series in plots) + "</body></html>\n")
    path = os.path.join(ROOT, "run", "bench.html")
    with open(path, "w", encoding="utf-8") as file:
        file.write(page)
    print(f"page: {os.path.relpath(path, ROOT)}")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--only", default="")
    parser.add_argument("--examples", default="lemnaria,trials")
    args = parser.parse_args()
    plots = []
    seconds = 4 if args.quick else 10
    examples = args.examples.split(",")[:1] if args.quick else args.examples.split(",")
    print(f"seed {args.seed}")

    def wanted(name):
        return not args.only or name in args.only.split(",")
    for example in examples:
        if wanted("tail"):
            measure_tail(example, args.seed, seconds, plots)
        # A proxied deployment also uses the net after its own: 60 and 64 above, 68 here.
        with BenchDeployment(example, args.seed, "rest", 68) as bench:
            bench.lift_team_limits()
            for name, run in (("urgent", lambda: measure_urgent(example, bench)),
                              ("short", lambda: measure_short(example, bench, seconds)),
                              ("shares", lambda: measure_shares(example, bench, seconds)),
                              ("bad", lambda: measure_failing_worker(example, bench, 60)),
                              ("crest",
                               lambda: measure_load_peak(example, args.seed, bench, plots))):
                if wanted(name) and not (args.quick and name == "bad" and not args.only):
                    run()
    if plots:
        write_page(plots, args.seed)
    return 0 if all(result["ok"] for result in RESULTS) else 1


if __name__ == "__main__":
    sys.exit(main())
