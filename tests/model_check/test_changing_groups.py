"""Model check: takeovers in groups that grow and shrink meanwhile."""

import pytest

from fescuestile import group_members
from tests import changing_group
from tests import virtual_time

# Broke a promise: 19, 254, 257 while two endpoints confirmed a term, 21 and 24
# while daemons did not read the record of the members.
SEEDS = (*range(6), 19, 21, 24, 254, 257)


# Broke a promise while a member confirmed writes that nobody knew.
UNRECORDED_SEEDS = (2, 11, 245, 276, 287, 299)


def play(seed, hides_unrecorded=False):
    """Return the world after the rounds of a seed."""
    with pytest.MonkeyPatch.context() as patch:
        return virtual_time.run(
            changing_group.run_rounds(seed, hides_unrecorded), patch
        )


def test_no_write_is_lost_and_no_read_is_stale():
    """Guards against reads at a former primary after its replacement.

    Some replicas that were fenced report its term again, because they do not
    reach the new primary.
    """
    worlds = [play(seed) for seed in SEEDS]
    assert sum(world.promotions for world in worlds) > len(SEEDS)
    assert sum(world.reads for world in worlds) > 20 * len(SEEDS)


@pytest.mark.parametrize("seed", UNRECORDED_SEEDS)
def test_members_that_nobody_recorded_break_no_promise(seed):
    """Guards against promotions and reads that don't know a new replica."""
    play(seed, hides_unrecorded=True)


def forget_record(members, recorded, now):
    members.recorded = frozenset()


def test_daemons_that_know_only_what_they_see_are_detected(monkeypatch):
    """Shows that the search fails without the record of the members."""
    monkeypatch.setattr(
        group_members.GroupMembers, "apply_record", forget_record
    )
    for seed in (21, 24):
        with pytest.raises(changing_group.BrokenPromise):
            play(seed)
