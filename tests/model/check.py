"""make model: checks the claim protocol exhaustively, and that it fails when a rule is left out."""

import os
import re
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
WORK = os.path.join(os.path.dirname(os.path.dirname(HERE)), "run", "model")
VARIANTS = [("", False), ("NO_SEQ", True), ("NO_EPOCH", True), ("NO_PAUSE", True)]


def check(variant):
    """Runs one variant; returns whether an assertion failed, and the states seen."""
    os.makedirs(WORK, exist_ok=True)
    flags = [f"-D{variant}"] if variant else []
    subprocess.run(["spin", "-a", *flags, os.path.join(HERE, "claim.pml")], cwd=WORK, check=True,
                   stdout=subprocess.DEVNULL)
    subprocess.run(["gcc", "-O2", "-w", "-DSAFETY", "-DCOLLAPSE", "-o", "pan", "pan.c"], cwd=WORK,
                   check=True)
    done = subprocess.run(["./pan", "-m1000000", "-w26", "-E"], cwd=WORK, check=True,
                          capture_output=True, text=True)
    if "max search depth too small" in done.stdout or "pan: out of memory" in done.stdout:
        raise RuntimeError("the search was cut short")
    return "assertion violated" in done.stdout, re.search(r"(\S+) states, stored", done.stdout)


def main():
    bad = 0
    for variant, must_fail in VARIANTS:
        failed, states = check(variant)
        ok = failed == must_fail
        bad += not ok
        print(f"model {variant or 'as built'}: {'assertion violated' if failed else 'holds'}, "
              f"{states.group(1) if states else '?'} states, "
              f"{'as expected' if ok else 'NOT AS EXPECTED'}", flush=True)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
