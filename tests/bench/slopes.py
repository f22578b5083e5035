"""make slopes: measures the cost of entries, agents and queue owners by number of agents.

The figures come from /proc and /metrics.
"""

import argparse
import json
import os
import random
import shutil
import signal
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "rig"))

from deploy import Deployment, http, table_text, wait_for  # noqa: E402

SIZES = [12, 24, 48, 96]
# Deployment to which the measurements are projected.
TARGET = {"agents": 440, "tasks": 5100, "starts_per_s": 57, "teams": 23, "edits_per_day": 270}
WARMUP_S = 8
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Bytes that TCP/IP and framing add to an internal message, and HTTP to a table service call.
MESSAGE_HEADER_BYTES = 75
CALL_HEADER_BYTES = 700
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def teams_for(agents):
    count = max(2, round(TARGET["teams"] * agents / TARGET["agents"]))
    weights = [100 // count] * count
    weights[0] += 100 - sum(weights)
    return [{"team": f"team-{i + 1}", "weight": weights[i], "cores": 100000, "memory": "100TB",
             "accelerators": 0, "price": 1} for i in range(count)]


def spec_overrides(agents, lease):
    return {"weights": teams_for(agents), "entries": max(2, round(agents / 24)),
            "lease": {"worker": lease, "queue": "8s"}, "beat": "1s",
            "zones": ["z1", "z2", "z3", "z4", "z5"],
            "workers": {"count": agents, "rack_size": 8, "cores": 64, "memory": "250GB",
                        "accelerators": [2, 2, 2, 2, 2, 2, 2, 1]}}


def read_metrics(url):
    text = http("GET", url + "/metrics")[2].decode()
    return {line.split()[0][len("catkinlug_"):]: float(line.split()[1])
            for line in text.splitlines() if line and line[0] != "#" and "{" not in line}


def read_cpu_and_rss(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        # The fields after the command; 11 is utime, 12 stime, 21 the resident pages.
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S, int(fields[21]) * PAGE_BYTES


class Sample:
    """Counters of the table service, and (metrics, CPU seconds, memory in bytes) of each daemon."""

    def __init__(self, deployment):
        self.at = time.monotonic()
        self.daemons = {}
        for name in deployment.entries + [deployment.agent(w) for w in deployment.workers]:
            metrics = read_metrics(f"http://{deployment.ip(name)}:8080")
            cpu, rss = read_cpu_and_rss(deployment.processes[name].pid)
            self.daemons[name] = (metrics, cpu, rss)
        self.store = deployment.control_platform()


def control_cost(before, after, name):
    """Control cost per second of one daemon between two samples."""
    span_s = after.at - before.at
    # Each is (metrics, CPU seconds, memory in bytes).
    first, last = before.daemons[name], after.daemons[name]

    def rate(key):
        return (last[0][key] - first[0][key]) / span_s
    header_bytes_s = (rate("control_tx_messages") +
                      rate("control_rx_messages")) * MESSAGE_HEADER_BYTES
    inner = rate("control_tx_bytes") + rate("control_rx_bytes") + header_bytes_s
    calls = rate("store_reads") + rate("store_writes")
    return {"inner_bytes_s": inner,
            "store_bytes_s": rate("store_bytes") + calls * CALL_HEADER_BYTES,
            "cpu": (last[1] - first[1]) / span_s, "rss_mb": last[2] / 1e6,
            "queues": last[0]["queues_owned"],
            "messages_s": rate("control_tx_messages") + rate("control_rx_messages")}


def mean(rows, key):
    return sum(row[key] for row in rows) / len(rows) if rows else None


class TaskFeeder:
    """Keeps running tasks and starts per second in the same ratio to agents as at the target."""

    def __init__(self, deployment, agents, seed):
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.rate = TARGET["starts_per_s"] * agents / TARGET["agents"]
        self.stop = threading.Event()
        self.thread = threading.Thread(target=self.submit_at_rate)
        self.submitted = 0
        initial_tasks = round(TARGET["tasks"] * agents / TARGET["agents"])
        for team in deployment.spec["weights"]:
            self.submit(team["team"], initial_tasks // len(deployment.spec["weights"]),
                        self.rng.randint(60000, 120000))

    def submit(self, team, count, work_ms):
        body = {"team": team, "kind": "steady", "count": count, "cores": 0.1, "memory": "64MB",
                "run_time": "90s", "payload": json.dumps({"work_ms": work_ms})}
        status, _, _ = self.deployment.call("POST", "/jobs", json.dumps(body))
        assert status == 201, status
        self.submitted += count

    def submit_at_rate(self):
        teams = [team["team"] for team in self.deployment.spec["weights"]]
        due = time.monotonic()
        while not self.stop.is_set():
            # Each job has 4 tasks.
            due += 4 / self.rate
            self.submit(self.rng.choice(teams), 4, self.rng.randint(500, 4000))
            self.stop.wait(max(0, due - time.monotonic()))

    def stop_feeding(self):
        self.stop.set()
        self.thread.join()


def edit_propagation_s(deployment):
    """Seconds until every entry reports that an edit is in force on all agents."""
    rows = [dict(row) for row in deployment.spec["weights"]]
    version = deployment.get("/table")["version"]
    rows[0]["price"] = 1 + version / 100
    started = time.monotonic()
    status = deployment.call("PUT", "/table", table_text(rows), {"If-Match": str(version)})[0]
    assert status == 200, status

    def in_force():
        tables = [deployment.get("/status", entry=i)["table"]
                  for i in range(len(deployment.entries))]
        return all(t["version"] > version and t["in_force"] == t["agents"] for t in tables)
    wait_for(in_force, 30, "edit in force", 0.1)
    return time.monotonic() - started


def departure_detection_s(deployment, signal_number):
    """Signals the last agent; returns seconds until its worker has a state other than live."""
    worker = deployment.workers[-1]
    started = time.monotonic()
    deployment.signal(deployment.agent(worker), signal_number)
    wait_for(lambda: [w for w in deployment.get("/workers")["workers"] if w["worker"] == worker and
                      w["state"] != "live"], 30, "notice", 0.05)
    return time.monotonic() - started


def measure(agents, seed, window_s):
    run_dir = os.path.join(ROOT, "run", "slopes")
    shutil.rmtree(run_dir, ignore_errors=True)
    deployment = Deployment(os.path.join(ROOT, "examples", "trials.yaml"), run_dir,
                            build=os.path.join(ROOT, os.environ.get("BUILD", "build")), net=10,
                            seed=seed, overrides=spec_overrides(agents, "120s"))
    try:
        deployment.start_all()
        feeder = TaskFeeder(deployment, agents, seed)
        feeder.thread.start()
        time.sleep(WARMUP_S)
        before = Sample(deployment)
        started_before = sum(d[0]["tasks_started"] for d in before.daemons.values())
        time.sleep(window_s)
        after = Sample(deployment)
        started_after = sum(d[0]["tasks_started"] for d in after.daemons.values())
        feeder.stop_feeding()
        span_s = after.at - before.at
        rows = {name: control_cost(before, after, name) for name in after.daemons}
        entries = [rows[n] for n in deployment.entries]
        agents_without_queue = [r for n, r in rows.items()
                                if n.startswith("agent") and not r["queues"]]
        owners = [r for n, r in rows.items() if n.startswith("agent") and r["queues"]]
        result = {"agents": agents, "entries": len(entries), "teams": len(teams_for(agents)),
                  "seed": seed, "starts_per_s": (started_after - started_before) / span_s,
                  "store_reads_s": (after.store["reads"] - before.store["reads"]) / span_s,
                  "store_writes_s": (after.store["writes"] - before.store["writes"]) / span_s,
                  "edit_s": edit_propagation_s(deployment),
                  "leave_s": departure_detection_s(deployment, signal.SIGTERM)}
        for role, group in (("entry", entries), ("agent", agents_without_queue), ("owner", owners)):
            for key in ("inner_bytes_s", "store_bytes_s", "cpu", "rss_mb", "messages_s", "queues"):
                result[f"{role}_{key}"] = mean(group, key)
        # departure_detection_s() stopped this agent.
        last_agent = deployment.agent(deployment.workers[-1])
        deployment.processes[last_agent].wait(60)
        deployment.start(last_agent)
        wait_for(lambda: len([w for w in deployment.get("/workers")["workers"]
                              if w["state"] == "live"]) == agents, 30, "all live")
        result["dead_s"] = departure_detection_s(deployment, signal.SIGKILL)
        return result
    finally:
        deployment.stop_all()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--window", type=float, default=12)
    parser.add_argument("--sizes", default=",".join(str(size) for size in SIZES))
    parser.add_argument("--out", default=os.path.join(ROOT, "docs", "capacity", "slopes.json"))
    args = parser.parse_args()
    results = []
    for repeat in range(args.repeats):
        for size in (int(text) for text in args.sizes.split(",")):
            result = measure(size, repeat + 1, args.window)
            results.append(result)
            print(json.dumps({k: round(v, 4) if isinstance(v, float) else v
                              for k, v in result.items()}), flush=True)
            os.makedirs(os.path.dirname(args.out), exist_ok=True)
            with open(args.out, "w", encoding="utf-8") as file:
                json.dump({"date": time.strftime("%Y-%m-%d"), "window_s": args.window,
                           "runs": results}, file, indent=1)
    return 0


if __name__ == "__main__":
    sys.exit(main())
