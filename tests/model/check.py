"""make model: checks the claim protocol exhaustively; without one of its rules, it must fail."""

import os
import re
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
WORK_DIR = os.path.join(os.path.dirname(os.path.dirname(HERE)), "run", "model")
# (macro that removes a rule from the model, whether the check must then fail)
VARIANTS = [("", False), ("NO_SEQ", True), ("NO_EPOCH", True), ("NO_PAUSE", True)]


def check_variant(variant):
    """Checks one variant; returns whether it failed, and the regex match of the state count."""
    os.makedirs(WORK_DIR, exist_ok=True)
    flags = [f"-D{variant}"] if variant else []
    subprocess.run(["spin", "-a", *flags, os.path.join(HERE, "claim.pml")], cwd=WORK_DIR,
                   check=True, stdout=subprocess.DEVNULL)
    subprocess.run(["gcc", "-O2", "-w", "-DSAFETY", "-DCOLLAPSE", "-o", "pan", "pan.c"],
                   cwd=WORK_DIR, check=True)
    result = subprocess.run(["./pan", "-m1000000", "-w26", "-E"], cwd=WORK_DIR, check=True,
                            capture_output=True, text=True)
    if "max search depth too small" in result.stdout or "pan: out of memory" in result.stdout:
        raise RuntimeError("the search did not cover all states")
    return "assertion violated" in result.stdout, re.search(r"(\S+) states, stored", result.stdout)


def main():
    unexpected = 0
    for variant, must_fail in VARIANTS:
        failed, states = check_variant(variant)
        as_expected = failed == must_fail
        unexpected += not as_expected
        print(f"model {variant or 'as built'}: {'assertion violated' if failed else 'holds'}, "
              f"{states.group(1) if states else '?'} states, "
              f"{'as expected' if as_expected else 'NOT AS EXPECTED'}", flush=True)
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
