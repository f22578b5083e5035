"""Runs the unit tests and the integration tests and closes with one line of counts."""

import os
import re
import subprocess
import sys
import xml.etree.ElementTree as tree

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.path.join(ROOT, os.environ.get("BUILD", "build"))
KNOWN_RED = os.path.join(ROOT, "KNOWN-RED.txt")


def known_red():
    """Names of tests that are listed as failing for a known fault."""
    if not os.path.exists(KNOWN_RED):
        return set()
    with open(KNOWN_RED, encoding="utf-8") as file:
        return set(re.findall(r"^test: (\S+)", file.read(), re.MULTILINE))


def read_report(path):
    """Passed and failed test names of a JUnit report."""
    passed, failed = [], []
    if not os.path.exists(path):
        return passed, [f"no report {os.path.basename(path)}"]
    for case in tree.parse(path).getroot().iter("testcase"):
        name = f"{case.get('classname')}.{case.get('name')}"
        bad = case.find("failure") is not None or case.find("error") is not None
        (failed if bad else passed).append(name)
    return passed, failed


def run(command, report, env=None):
    if os.path.exists(report):
        os.remove(report)
    code = subprocess.run(command, cwd=ROOT, env=env, check=False).returncode
    passed, failed = read_report(report)
    if code and not failed:
        failed.append(f"{os.path.basename(command[0])} ended with {code}")
    return passed, failed


def main():
    env = dict(os.environ)
    env["PYTHONDONTWRITEBYTECODE"] = "1"
    unit_report = os.path.join(BUILD, "unit.xml")
    integration_report = os.path.join(BUILD, "integration.xml")
    passed, failed = run([os.path.join(BUILD, "unit-tests"), "--gtest_brief=1",
                          f"--gtest_output=xml:{unit_report}"], unit_report)
    more = run([sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider",
                "tests/integration", f"--junitxml={integration_report}"] + sys.argv[1:],
               integration_report, env)
    passed += more[0]
    failed += more[1]
    red = known_red()
    for name in failed:
        print(f"{'known red' if name in red else 'FAILED'}: {name}")
    unexpected = [name for name in failed if name not in red]
    print(f"{len(passed)} passed, {len(unexpected)} failed")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
