"""Model check: takeovers while the store comes back from older copies."""

import functools

import pytest

from tests import group_rounds
from tests import restored_stores
from tests import virtual_time

SEEDS = tuple(range(8))


@functools.cache
def play(seed, hides_unrecorded=False):
    """Return the world after the rounds of a seed."""
    with pytest.MonkeyPatch.context() as patch:
        return virtual_time.run(
            group_rounds.run_rounds(
                restored_stores.RestoredWorld, seed, hides_unrecorded
            ),
            patch,
        )


@pytest.mark.parametrize("seed", SEEDS)
def test_a_store_that_goes_back_breaks_no_promise(seed):
    """Guards against LOST and STALE: the record forgets members and orders."""
    world = play(seed)
    assert world.drills
    assert world.reads > 20
    assert len(world.acknowledged) > 20


def test_primaries_are_replaced_meanwhile():
    """Shows that the search covers takeovers; a few seeds see none."""
    promotions = [play(seed).promotions for seed in SEEDS]
    assert sum(promotions) > len(SEEDS)
    assert sum(map(bool, promotions)) > len(SEEDS) / 2


@pytest.mark.parametrize("seed", SEEDS)
def test_it_breaks_none_beside_members_that_nobody_recorded(seed):
    """Guards against LOST and STALE: replicas join meanwhile."""
    assert play(seed, hides_unrecorded=True).drills
