"""make fault-campaign: runs make fault for many seeds in parallel and counts injected faults."""

import argparse
import concurrent.futures
import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
INJECTIONS_PER_FAULT_MIN = 5


def run_seed(run):
    """Runs make fault once; returns example, seed, exit code and output."""
    net, example, seed, duration = run
    command = [sys.executable, "tests/rig/fault.py", "--seed", str(seed), "--example", example,
               "--duration", str(duration), "--net", str(net)]
    result = subprocess.run(command, cwd=ROOT, check=False, capture_output=True, text=True)
    return example, seed, result.returncode, result.stdout + result.stderr


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-20")
    parser.add_argument("--examples", default="lemnaria,trials")
    parser.add_argument("--duration", type=float, default=30)
    parser.add_argument("--parallel", type=int, default=3)
    args = parser.parse_args()
    first, last = (int(part) for part in args.seeds.split("-"))
    # (net, example, seed, duration); the net is set below.
    runs = [(0, example, seed, args.duration) for example in args.examples.split(",")
            for seed in range(first, last + 1)]
    # Each run uses two nets for its addresses; they are assigned from 100 to 219 and reused.
    runs = [(100 + 2 * (index % 60), *run[1:]) for index, run in enumerate(runs)]
    injections, failed_runs = {}, []
    with concurrent.futures.ThreadPoolExecutor(args.parallel) as pool:
        for example, seed, exit_code, output in pool.map(run_seed, runs):
            summaries = [row for row in output.splitlines() if row.startswith("operations=")]
            print(f"{example} {summaries[-1] if summaries else 'no result'} exit={exit_code}",
                  flush=True)
            for name, count in re.findall(r"([a-z-]+)=(\d+)", "".join(
                    row for row in output.splitlines() if row.startswith("fired:"))):
                injections[name] = injections.get(name, 0) + int(count)
            if exit_code:
                failed_runs.append((example, seed))
                print("\n".join("    " + row[:300] for row in output.splitlines()[-40:]),
                      flush=True)
    print("tally: " + " ".join(f"{name}={count}" for name, count in sorted(injections.items())))
    rarely_injected = [name for name, count in injections.items()
                       if count < INJECTIONS_PER_FAULT_MIN]
    if rarely_injected:
        print(f"injected at least once, but fewer than {INJECTIONS_PER_FAULT_MIN} times: "
              f"{rarely_injected}")
    print(f"runs={len(runs)} bad={len(failed_runs)} {failed_runs}")
    return 1 if failed_runs else 0


if __name__ == "__main__":
    sys.exit(main())
