"""Fixtures that start real processes on loopback addresses."""

import itertools
import os
import subprocess
import sys

import pytest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "rig"))

from deploy import OPERATOR_TOKEN, Deployment  # noqa: E402
from hub import QueueDeployment  # noqa: E402

# Second octets of the loopback addresses. A proxied deployment uses two: its own and the next one.
FREE_NETS = itertools.count(40, 2)
# TEST_NET_OFFSET separates the runs of several checkouts on one machine.
FREE_QUEUE_NETS = itertools.cycle(range(140 + int(os.environ.get("TEST_NET_OFFSET", "0")), 250))
BUILD = os.path.join(ROOT, os.environ.get("BUILD", "build"))


def make_deployment(run_dir, example="lemnaria", **kwargs):
    """Creates a deployment on addresses that no other test uses."""
    return Deployment(os.path.join(ROOT, "examples", f"{example}.yaml"), str(run_dir),
                      build=BUILD, net=next(FREE_NETS), **kwargs)


@pytest.fixture
def start_deployment(tmp_path):
    """Returns a function that creates and starts a deployment; it is stopped after the test."""
    started = []

    def create(example="lemnaria", start=True, **kwargs):
        deployment = make_deployment(tmp_path / f"run{len(started)}", example, **kwargs)
        started.append(deployment)
        if start:
            deployment.start_all()
        return deployment

    yield create
    bad_exits = {}
    for deployment in started:
        bad_exits.update(deployment.stop_all())
    assert not bad_exits, f"daemons that did not stop cleanly: {bad_exits}"


@pytest.fixture
def start_queue_deployment(tmp_path):
    """Returns a function that starts queue daemons and waits until all shards have owners."""
    started = []

    def start(**kwargs):
        deployment = QueueDeployment(tmp_path / f"hub{len(started)}", BUILD, next(FREE_QUEUE_NETS),
                                     **kwargs)
        started.append(deployment)
        assert deployment.wait_until(lambda: deployment.ready(), 8)
        assert deployment.wait_until(
            lambda: len([a for a in deployment.owners().values() if a]) == deployment.shards, 8)
        return deployment

    yield start
    bad_exits = {}
    for deployment in started:
        bad_exits.update(deployment.close())
    assert not bad_exits, f"daemons that did not stop cleanly: {bad_exits}"


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    """A small deployment shared by the tests of a module.

    They may submit jobs, but must not change its table, settings or processes.
    """
    deployment = make_deployment(tmp_path_factory.mktemp("shared"), workers=4)
    deployment.start_all()
    yield deployment
    assert not deployment.stop_all()


@pytest.fixture
def cli():
    """Returns a function that runs the command-line tool, with or without a deployment."""

    def run(deployment, *args, token=OPERATOR_TOKEN, env=None, stdin=None):
        full_env = dict(os.environ, CATKINLUG_TOKEN=token, **(env or {}))
        if deployment:
            full_env["CATKINLUG_ENTRY"] = deployment.entry_url()
        return subprocess.run([os.path.join(BUILD, "catkinlug"), *args], env=full_env, check=False,
                              input=stdin, capture_output=True, text=True)

    return run


@pytest.fixture
def program():
    """Returns a function that runs a program until it exits."""

    def run(name, *args):
        return subprocess.run([os.path.join(BUILD, name), *args], check=False,
                              stdin=subprocess.DEVNULL, capture_output=True, text=True)

    return run
