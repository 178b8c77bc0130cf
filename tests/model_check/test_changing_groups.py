"""Model check: takeovers in groups that grow and shrink meanwhile."""

import pytest

from fescuestile import promotion
from tests import changing_group
from tests import virtual_time

# Seeds that break a promise if two endpoints of any group confirm a term.
STALE_READS = (19, 254, 257)
SEEDS = (*range(4), *STALE_READS)


def play(seed):
    """Return the world after the rounds of a seed."""
    with pytest.MonkeyPatch.context() as patch:
        return virtual_time.run(changing_group.run_rounds(seed), patch)


def test_no_write_is_lost_and_no_read_is_stale():
    """Guards against reads at a former primary after its replacement.

    Some replicas that were fenced report its term again, because they do not
    reach the new primary.
    """
    worlds = [play(seed) for seed in SEEDS]
    assert sum(world.promotions for world in worlds) > len(SEEDS)
    assert sum(world.reads for world in worlds) > 20 * len(SEEDS)


@pytest.mark.parametrize("seed", STALE_READS)
def test_two_of_any_group_are_too_few_to_confirm(monkeypatch, seed):
    monkeypatch.setattr(promotion, "count_confirming", lambda size: 2)
    with pytest.raises(changing_group.BrokenPromise):
        play(seed)
