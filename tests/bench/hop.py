"""make bench-hop: CPU time of the entry per request, against a bare server on the same library."""

import os
import shutil
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "rig"))

from deploy import Deployment, http, wait_for  # noqa: E402
from load import Load, latencies_ms, quantile  # noqa: E402

ROUNDS = 3
REQUESTS_PER_S = 3000
DURATION_S = 4
# Requests per CPU-second of the entry, as a ratio to those of the bare server.
ENTRY_TO_BARE_RATIO_MIN = 0.5
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid):
    """CPU seconds of a process, summed over its threads."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        # The fields after the command; 11 is utime, 12 stime.
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def measure(deployment, name, pid, url, seed):
    """Loads url; returns requests per CPU-second of process pid, p50 and p99 latency in ms."""
    before = cpu_s(pid)
    load = Load(deployment, name, seed, DURATION_S, REQUESTS_PER_S, urls=[url])
    operations = load.wait()
    cpu_used_s = cpu_s(pid) - before
    answered = [op for op in operations if op["http"] == 200]
    if len(answered) < 0.99 * len(operations):
        raise RuntimeError(f"{name}: {len(operations) - len(answered)} of {len(operations)} "
                           "requests failed")
    values = latencies_ms(operations)
    return len(answered) / cpu_used_s, quantile(values, .5), quantile(values, .99)


def main():
    run_dir = os.path.join(ROOT, "run", "bench-hop")
    shutil.rmtree(run_dir, ignore_errors=True)
    deployment = Deployment(os.path.join(ROOT, "examples", "lemnaria.yaml"), run_dir,
                            build=os.path.join(ROOT, "build"), net=70, workers=4)
    deployment.spec["requests"]["mix"] = [{"team": "quotes", "path": "/quote", "ms": 0, "share": 1}]
    bare = subprocess.Popen([os.path.join(ROOT, "build", "standin-bare"), "127.70.9.1", "8080"],
                            stdin=subprocess.DEVNULL)
    ratios = []
    try:
        deployment.start_all()
        wait_for(lambda: http("GET", "http://127.70.9.1:8080/")[0] == 200)
        backend_url = f"http://{deployment.ip('worker-01')}:8101"
        entry_pid = deployment.processes["entry-1"].pid
        worker_pid = deployment.processes["worker-01"].pid
        for round_number in range(ROUNDS):
            bare_rate, _, _ = measure(deployment, f"bare{round_number}", bare.pid,
                                      "http://127.70.9.1:8080", round_number)
            entry_rate, p50, p99 = measure(deployment, f"entry{round_number}", entry_pid,
                                           deployment.entry_url(), round_number)
            _, direct_p50, direct_p99 = measure(deployment, f"direct{round_number}", worker_pid,
                                                backend_url, round_number)
            ratios.append(entry_rate / bare_rate)
            print(f"round {round_number + 1}: bare {bare_rate:.0f} requests/CPU-s, "
                  f"entry {entry_rate:.0f}, ratio {entry_rate / bare_rate:.2f}; "
                  f"direct p50 {direct_p50:.2f} ms p99 {direct_p99:.2f} ms, "
                  f"whole path p50 {p50:.2f} ms p99 {p99:.2f} ms, "
                  f"added p50 {p50 - direct_p50:.2f} ms p99 {p99 - direct_p99:.2f} ms", flush=True)
    finally:
        bare.kill()
        bare.wait()
        deployment.stop_all()
    ratio = sorted(ratios)[len(ratios) // 2]
    print(f"hop-ratio {ratio:.2f} of-bare bound {ENTRY_TO_BARE_RATIO_MIN} "
          f"{'pass' if ratio >= ENTRY_TO_BARE_RATIO_MIN else 'short'}")
    return 0 if ratio >= ENTRY_TO_BARE_RATIO_MIN else 1


if __name__ == "__main__":
    sys.exit(main())
