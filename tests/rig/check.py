"""Runs the unit and integration tests; the last line counts passed and failed tests.

Known failures are printed, but do not count as failed.
"""

import os
import re
import subprocess
import sys
import xml.etree.ElementTree as etree

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.path.join(ROOT, os.environ.get("BUILD", "build"))
KNOWN_FAILURES_PATH = os.path.join(ROOT, "KNOWN-RED.txt")


def read_known_failures():
    """Names of the known failures, the tests that KNOWN-RED.txt lists."""
    if not os.path.exists(KNOWN_FAILURES_PATH):
        return set()
    with open(KNOWN_FAILURES_PATH, encoding="utf-8") as file:
        return set(re.findall(r"^test: (\S+)", file.read(), re.MULTILINE))


def read_report(path):
    """Names of the passed and failed tests in a JUnit report."""
    passed, failed = [], []
    if not os.path.exists(path):
        return passed, [f"no report {os.path.basename(path)}"]
    for case in etree.parse(path).getroot().iter("testcase"):
        name = f"{case.get('classname')}.{case.get('name')}"
        has_failed = case.find("failure") is not None or case.find("error") is not None
        (failed if has_failed else passed).append(name)
    return passed, failed


def run_tests(command, report, env=None):
    """Runs a test command; returns the passed and failed tests of the report that it writes."""
    if os.path.exists(report):
        os.remove(report)
    exit_code = subprocess.run(command, cwd=ROOT, env=env, check=False).returncode
    passed, failed = read_report(report)
    if exit_code and not failed:
        failed.append(f"{os.path.basename(command[0])} exited with code {exit_code}")
    return passed, failed


def main():
    env = dict(os.environ)
    env["PYTHONDONTWRITEBYTECODE"] = "1"
    unit_report = os.path.join(BUILD, "unit.xml")
    integration_report = os.path.join(BUILD, "integration.xml")
    passed, failed = run_tests([os.path.join(BUILD, "unit-tests"), "--gtest_brief=1",
                                f"--gtest_output=xml:{unit_report}"], unit_report)
    integration = run_tests([sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider",
                             "tests/integration", f"--junitxml={integration_report}"] +
                            sys.argv[1:], integration_report, env)
    passed += integration[0]
    failed += integration[1]
    known_failures = read_known_failures()
    for name in failed:
        print(f"{'known red' if name in known_failures else 'FAILED'}: {name}")
    unexpected = [name for name in failed if name not in known_failures]
    print(f"{len(passed)} passed, {len(unexpected)} failed")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
