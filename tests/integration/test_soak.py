"""Short runs of the soak; seeds that ever failed are added here."""

import itertools

import pytest
from soak import Soak

SECONDS = 6
NETS = itertools.count(211)


@pytest.mark.parametrize("seed", [1, 23, 325])
def test_the_queue_daemons_under_faults_of_a_seed(seed):
    soak = Soak(seed, SECONDS, next(NETS))
    assert soak.run() == []
    assert soak.accepted
