import random

import pytest

from fescuestile import members
from tests import builders


def build_snapshot(count):
    all_members = tuple(builders.build_member(n) for n in range(1, count + 1))
    return members.MembershipSnapshot(all_members[0], all_members)


@pytest.mark.parametrize(("count", "expected"), [(1, 0), (4, 3), (300, 8)])
def test_alternatives_are_few_distinct_and_not_the_daemon_itself(
    count, expected
):
    snapshot = build_snapshot(count)
    found = snapshot.sample_alternatives(8, random.Random(1))
    assert len(set(found)) == expected
    assert snapshot.own not in found


def test_alternatives_of_the_own_zone_come_first_and_are_random():
    snapshot = build_snapshot(300)
    first = snapshot.sample_alternatives(8, random.Random(1))
    second = snapshot.sample_alternatives(8, random.Random(2))
    assert {member.zone for member in first} == {snapshot.own.zone}
    assert first != second


def test_a_member_is_found_by_id():
    snapshot = build_snapshot(4)
    assert snapshot.by_id["daemon-3"] is snapshot.members[2]
