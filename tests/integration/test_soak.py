"""Short soak runs, including seeds that have failed before."""

import itertools

import pytest
from soak import Soak

FAULTS_DURATION_S = 6
FREE_NETS = itertools.count(211)


@pytest.mark.parametrize("seed", [1, 23, 325])
def test_the_queue_daemons_under_faults_of_a_seed(seed):
    soak = Soak(seed, FAULTS_DURATION_S, next(FREE_NETS))
    assert soak.run() == []
    assert soak.accepted
