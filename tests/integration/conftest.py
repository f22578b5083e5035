"""Fixtures: deployments of real processes on loopback."""

import itertools
import os
import subprocess
import sys

import pytest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "rig"))

from deploy import OPERATOR_TOKEN, Deployment  # noqa: E402

NETS = itertools.count(40, 2)
BUILD = os.path.join(ROOT, os.environ.get("BUILD", "build"))


def make(directory, example="lemnaria", **kwargs):
    return Deployment(os.path.join(ROOT, "examples", f"{example}.yaml"), str(directory),
                      build=BUILD, net=next(NETS), **kwargs)


@pytest.fixture
def deploy(tmp_path):
    """Returns a function that starts a deployment; every process is ended after the test."""
    started = []

    def start(example="lemnaria", start=True, **kwargs):
        deployment = make(tmp_path / f"run{len(started)}", example, **kwargs)
        started.append(deployment)
        if start:
            deployment.start_all()
        return deployment

    yield start
    bad = {}
    for deployment in started:
        bad.update(deployment.stop_all())
    assert not bad, f"daemons that did not stop cleanly: {bad}"


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    """One small deployment for all tests of a module that leave it as it was."""
    deployment = make(tmp_path_factory.mktemp("shared"), workers=4)
    deployment.start_all()
    yield deployment
    assert not deployment.stop_all()


@pytest.fixture
def cli():
    """Runs the command line against a deployment, or without one."""

    def run(deployment, *words, token=OPERATOR_TOKEN, env=None, stdin=None):
        full = dict(os.environ, CATKINLUG_TOKEN=token, **(env or {}))
        if deployment:
            full["CATKINLUG_ENTRY"] = deployment.entry_url()
        return subprocess.run([os.path.join(BUILD, "catkinlug"), *words], env=full, check=False,
                              input=stdin, capture_output=True, text=True)

    return run


@pytest.fixture
def program():
    """Runs one of the programs to its end."""

    def run(name, *words):
        return subprocess.run([os.path.join(BUILD, name), *words], check=False,
                              stdin=subprocess.DEVNULL, capture_output=True, text=True)

    return run
