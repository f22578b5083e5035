"""make fault-campaign: runs make fault for many seeds, several in parallel, and counts faults."""

import argparse
import concurrent.futures
import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DRAWS_PER_FAULT_MIN = 5


def run_seed(job):
    """Runs make fault once; returns example, seed, exit code and output."""
    slot, example, seed, duration = job
    command = [sys.executable, "tests/rig/fault.py", "--seed", str(seed), "--example", example,
               "--duration", str(duration), "--net", str(slot)]
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
    jobs = [(0, example, seed, args.duration) for example in args.examples.split(",")
            for seed in range(first, last + 1)]
    jobs = [(100 + 2 * (index % 60), *job[1:]) for index, job in enumerate(jobs)]
    tally, failed_runs = {}, []
    with concurrent.futures.ThreadPoolExecutor(args.parallel) as pool:
        for example, seed, exit_code, output in pool.map(run_seed, jobs):
            summaries = [row for row in output.splitlines() if row.startswith("operations=")]
            print(f"{example} {summaries[-1] if summaries else 'no result'} exit={exit_code}",
                  flush=True)
            for name, count in re.findall(r"([a-z-]+)=(\d+)", "".join(
                    row for row in output.splitlines() if row.startswith("fired:"))):
                tally[name] = tally.get(name, 0) + int(count)
            if exit_code:
                failed_runs.append((example, seed))
                print("\n".join("    " + row[:300] for row in output.splitlines()[-40:]),
                      flush=True)
    print("tally: " + " ".join(f"{name}={count}" for name, count in sorted(tally.items())))
    rarely_drawn = [name for name, count in tally.items() if count < DRAWS_PER_FAULT_MIN]
    if rarely_drawn:
        print(f"drawn fewer than {DRAWS_PER_FAULT_MIN} times: {rarely_drawn}")
    print(f"runs={len(jobs)} bad={len(failed_runs)} {failed_runs}")
    return 1 if failed_runs else 0


if __name__ == "__main__":
    sys.exit(main())
