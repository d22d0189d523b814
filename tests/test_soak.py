"""The seeded soak test, short. The long one is run by hand: python -m benchmarks.soak --seeds 50."""

import pytest
import trio

from rookbend.testing.cluster.soak import soak

SECONDS = 10.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_short_soak(seed):
    result = trio.run(soak, seed, SECONDS)
    assert result.events and result.served
