"""The tables of docs/CAPACITY.md are those of the committed measurement."""

import os
import subprocess
import sys

from conftest import ROOT


def test_page_agrees_with_its_data():
    done = subprocess.run([sys.executable, os.path.join(ROOT, "tests", "bench", "capacity.py"),
                           "--check"], check=False, capture_output=True, text=True)
    assert done.returncode == 0, done.stdout + done.stderr
