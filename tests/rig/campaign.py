"""make fault-campaign: many seeds of make fault, a few side by side, and their tally."""

import argparse
import concurrent.futures
import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
EACH_FAULT_MIN = 5


def one(job):
    slot, example, seed, duration = job
    command = [sys.executable, "tests/rig/fault.py", "--seed", str(seed), "--example", example,
               "--duration", str(duration), "--net", str(slot)]
    done = subprocess.run(command, cwd=ROOT, check=False, capture_output=True, text=True)
    return example, seed, done.returncode, done.stdout + done.stderr


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
    tally, bad = {}, []
    with concurrent.futures.ThreadPoolExecutor(args.parallel) as pool:
        for example, seed, code, text in pool.map(one, jobs):
            line = [row for row in text.splitlines() if row.startswith("operations=")]
            print(f"{example} {line[-1] if line else 'no result'} exit={code}", flush=True)
            for name, count in re.findall(r"([a-z-]+)=(\d+)", "".join(
                    row for row in text.splitlines() if row.startswith("fired:"))):
                tally[name] = tally.get(name, 0) + int(count)
            if code:
                bad.append((example, seed))
                print("\n".join("    " + row[:300] for row in text.splitlines()[-40:]), flush=True)
    print("tally: " + " ".join(f"{name}={count}" for name, count in sorted(tally.items())))
    rare = [name for name, count in tally.items() if count < EACH_FAULT_MIN]
    if rare:
        print(f"drawn fewer than {EACH_FAULT_MIN} times: {rare}")
    print(f"runs={len(jobs)} bad={len(bad)} {bad}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
