"""make bench-hop: CPU time of the entry per request, against a bare server on the same library."""

import os
import shutil
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "rig"))

from deploy import Deployment, http, wait_for  # noqa: E402
from load import Load, latencies_ms, quantile  # noqa: E402

REPEATS = 3
REQUESTS_PER_S = 3000
DURATION_S = 4
RATIO_BOUND = 0.5
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid):
    """CPU seconds of a process, summed over its threads."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def measure(deployment, name, pid, url, seed):
    """Requests per CPU-second of the process pid, and p50 and p99 latency in ms."""
    before = cpu_s(pid)
    load = Load(deployment, name, seed, DURATION_S, REQUESTS_PER_S, urls=[url])
    lines = load.wait()
    cpu_used_s = cpu_s(pid) - before
    answered = [line for line in lines if line["http"] == 200]
    if len(answered) < 0.99 * len(lines):
        raise RuntimeError(f"{name}: {len(lines) - len(answered)} of {len(lines)} requests failed")
    values = latencies_ms(lines)
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
        worker = f"http://{deployment.ip('worker-01')}:8101"
        entry_pid = deployment.processes["entry-1"].pid
        worker_pid = deployment.processes["worker-01"].pid
        for pair in range(REPEATS):
            bare_rate, _, _ = measure(deployment, f"bare{pair}", bare.pid, "http://127.70.9.1:8080",
                                      pair)
            entry_rate, p50, p99 = measure(deployment, f"entry{pair}", entry_pid,
                                           deployment.entry_url(), pair)
            _, direct_p50, direct_p99 = measure(deployment, f"direct{pair}", worker_pid, worker,
                                                pair)
            ratios.append(entry_rate / bare_rate)
            print(f"pair {pair + 1}: bare {bare_rate:.0f} requests/CPU-s, entry {entry_rate:.0f}, "
                  f"ratio {entry_rate / bare_rate:.2f}; direct p50 {direct_p50:.2f} ms "
                  f"p99 {direct_p99:.2f} ms, whole path p50 {p50:.2f} ms p99 {p99:.2f} ms, "
                  f"added p50 {p50 - direct_p50:.2f} ms p99 {p99 - direct_p99:.2f} ms", flush=True)
    finally:
        bare.kill()
        bare.wait()
        deployment.stop_all()
    ratio = sorted(ratios)[len(ratios) // 2]
    print(f"hop-ratio {ratio:.2f} of-bare bound {RATIO_BOUND} "
          f"{'pass' if ratio >= RATIO_BOUND else 'short'}")
    return 0 if ratio >= RATIO_BOUND else 1


if __name__ == "__main__":
    sys.exit(main())
