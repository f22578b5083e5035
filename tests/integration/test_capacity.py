"""The tables of docs/CAPACITY.md match the committed measurement."""

import os
import subprocess
import sys

from conftest import ROOT


def test_capacity_page_matches_measurement():
    result = subprocess.run([sys.executable, os.path.join(ROOT, "tests", "bench", "capacity.py"),
                             "--check"], check=False, capture_output=True, text=True)
    assert result.returncode == 0, result.stdout + result.stderr
