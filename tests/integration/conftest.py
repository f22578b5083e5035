"""Fixtures: deployments of real processes on loopback."""

import itertools
import os
import sys

import pytest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "rig"))

from deploy import Deployment  # noqa: E402

NETS = itertools.count(40, 2)


@pytest.fixture
def deploy(tmp_path):
    """Returns a function that starts a deployment; every process is ended after the test."""
    started = []

    def start(example="lemnaria", start=True, **kwargs):
        build = os.path.join(ROOT, os.environ.get("BUILD", "build"))
        deployment = Deployment(os.path.join(ROOT, "examples", f"{example}.yaml"),
                                str(tmp_path / f"run{len(started)}"), build=build,
                                net=next(NETS), **kwargs)
        started.append(deployment)
        if start:
            deployment.start_all()
        return deployment

    yield start
    bad = {}
    for deployment in started:
        bad.update(deployment.stop_all())
    assert not bad, f"daemons that did not stop cleanly: {bad}"
