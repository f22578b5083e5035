"""Configures the load generator from the mix of an example and reads its results."""

import json
import os
import subprocess


def request_mix(spec, modes):
    """Request mix of an example; modes maps get, post and keyed to their shares."""
    mix = []
    for item in spec["requests"]["mix"]:
        for mode, mode_share in modes.items():
            mix.append({"team": item["team"], "token": f"{item['team']}-secret",
                        "service": spec["service"]["name"], "path": item["path"],
                        "ms": item["ms"], "share": item["share"] * mode_share, "mode": mode})
    return mix


def job_mix(spec, job_kinds=None):
    """Job mix of an example, limited to job_kinds if they are given."""
    mix = []
    for item in spec["jobs"]:
        if job_kinds and item["kind"] not in job_kinds:
            continue
        body = {"team": item["team"], "kind": item["kind"], "count": item["count"],
                "cores": item["cores"], "memory": item["memory"], "run_time": item["run_time"],
                "accelerators": item.get("accelerators", 0), "urgent": item.get("urgent", False),
                "idempotent": item.get("idempotent", True),
                "payload": json.dumps({"work_ms": item["work_ms"],
                                       "fail": item.get("fail", False)})}
        mix.append({"team": item["team"], "kind": item["kind"], "token": f"{item['team']}-secret",
                    "share": item["share"], "body": body})
    return mix


class Load:
    """One run of the load generator; urls are those of the entries by default."""

    def __init__(self, deployment, name, seed, duration_s, request_rate, job_rate=0, modes=None,
                 peak=None, job_kinds=None, timeout_ms=2000, urls=None):
        self.out = os.path.join(deployment.dir, f"{name}.jsonl")
        config = {
            "entries": urls or [deployment.entry_url(i) for i in range(len(deployment.entries))],
            "seed": seed, "run": name, "out": self.out, "duration_ms": int(duration_s * 1000),
            "timeout_ms": timeout_ms,
            "requests": {"rate": request_rate,
                         "mix": request_mix(deployment.spec, modes or {"get": 1.0}),
                         "crest": peak or {}},
            "jobs": {"rate": job_rate, "mix": job_mix(deployment.spec, job_kinds)},
        }
        path = os.path.join(deployment.dir, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        self.process = subprocess.Popen([f"{deployment.build}/standin-load", path],
                                        stdin=subprocess.DEVNULL)

    def wait(self):
        self.process.wait()
        return self.read_operations()

    def read_operations(self):
        with open(self.out, encoding="utf-8") as file:
            # The last line is incomplete while it is being written.
            return [json.loads(line) for line in file if line.endswith("}\n")]


def quantile(values, fraction):
    """Smallest value with more than the given fraction of the values up to it; None if empty."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def latencies_ms(operations, since_us=0, until_us=None):
    """Latencies, from the due time, of the requests that were answered with status 200."""
    return [(op["done_us"] - op["due_us"]) / 1000 for op in operations
            if op["op"] == "request" and op["http"] == 200 and op["due_us"] >= since_us
            and (until_us is None or op["due_us"] < until_us)]
