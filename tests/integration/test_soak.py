"""Short soak runs: each accepted job reaches its expected state under random faults."""

import itertools

import pytest
from soak import Soak

FAULTS_DURATION_S = 6
# Second octets of the loopback addresses of the deployments.
FREE_NETS = itertools.count(211)


@pytest.mark.parametrize("seed", [1, 23, 325, 1006])
def test_the_queue_daemons_under_faults_of_a_seed(seed):
    soak = Soak(seed, FAULTS_DURATION_S, next(FREE_NETS))
    assert soak.run() == []
    assert soak.accepted
